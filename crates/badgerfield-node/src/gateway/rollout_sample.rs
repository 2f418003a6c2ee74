//! Measures how a version responds to one attempt while its service has a rollout.

use std::sync::Arc;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::UpstreamId;
use badgerfield_core::rollout::tally::AnswerSpeed;
use badgerfield_core::routing::Route;

use crate::gateway::state::Gateway;

/// One attempt, from its dispatch on.
#[derive(Debug)]
pub(crate) struct RolloutSample {
    upstream: UpstreamId,
    route: Arc<Route>,
    sent_at: Time,
    /// The prompt tokens that the upstream is expected to read.
    uncached_tokens: u64,
    /// The speed of the first part of the response, once it has arrived.
    speed: Option<AnswerSpeed>,
    /// Whether the attempt has failed or ended, so that nothing more is counted.
    is_finished: bool,
}

impl RolloutSample {
    pub(crate) fn new(
        now: Time,
        upstream: &UpstreamId,
        route: &Arc<Route>,
        uncached_tokens: u64,
    ) -> Self {
        Self {
            upstream: upstream.clone(),
            route: Arc::clone(route),
            sent_at: now,
            uncached_tokens,
            speed: None,
            is_finished: false,
        }
    }

    /// Returns whether the attempt no longer counts: it is finished, or this process was stalled
    /// during it, so that the measured delay may be its own.
    fn is_excluded(&self, gateway: &Gateway) -> bool {
        self.is_finished || gateway.clock.has_stalled_since(self.sent_at)
    }

    /// Records the arrival of the first part of the response. Returns whether it is a bad response
    /// of the target.
    pub(crate) fn record_answer(&mut self, gateway: &Gateway) -> bool {
        if self.speed.is_some() || self.is_excluded(gateway) {
            return false;
        }
        let wait = gateway.clock.now().since(self.sent_at);
        let mut upstreams = gateway.upstreams();
        let recorded =
            upstreams.record_answer(&self.upstream, &self.route.name, wait, self.uncached_tokens);
        self.speed = recorded.map(|(speed, _)| speed);
        recorded.is_some_and(|(_, is_bad)| is_bad)
    }

    /// Records that no response arrived or that the response ended early. Returns whether it is a
    /// bad response of the target.
    pub(crate) fn record_failure(&mut self, gateway: &Gateway) -> bool {
        if self.is_excluded(gateway) {
            return false;
        }
        self.is_finished = true;
        gateway.upstreams().record_failure(&self.upstream, &self.route.name, self.speed)
    }

    /// Records that the request has ended, whatever its outcome. Returns whether it is a bad
    /// response of the target.
    pub(crate) fn record_end(&mut self, gateway: &Gateway) -> bool {
        if self.speed.is_some() || self.is_excluded(gateway) {
            return false;
        }
        self.is_finished = true;
        let wait = gateway.clock.now().since(self.sent_at);
        gateway.upstreams().record_abandoned(
            &self.upstream,
            &self.route.name,
            wait,
            self.uncached_tokens,
        )
    }
}
