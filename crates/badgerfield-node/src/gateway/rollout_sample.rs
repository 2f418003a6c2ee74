//! What one try of a request tells of the version that answers it, while its service is rolled
//! out.

use std::sync::Arc;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::UpstreamId;
use badgerfield_core::rollout::tally::AnswerSpeed;
use badgerfield_core::routing::Route;

use crate::gateway::state::Gateway;

/// One try, from when it was sent on.
#[derive(Debug)]
pub(crate) struct RolloutSample {
    upstream: UpstreamId,
    route: Arc<Route>,
    sent_at: Time,
    /// The prompt tokens that the upstream is expected to read.
    uncached_tokens: u64,
    /// How the first part of the answer came, once it has.
    speed: Option<AnswerSpeed>,
    /// Whether the try has failed or come to its end, so that nothing more of it counts.
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

    /// Tells whether it says nothing more of the version: it is over, or the process stood still
    /// meanwhile, so that its own delay would be taken for the version's.
    fn is_excluded(&self, gateway: &Gateway) -> bool {
        self.is_finished || gateway.clock.stood_still_since(self.sent_at)
    }

    /// Notes that the first part of the answer has come; tells whether it is a bad answer
    /// of the version that is rolled out.
    pub(crate) fn record_answer(&mut self, gateway: &Gateway) -> bool {
        if self.speed.is_some() || self.is_excluded(gateway) {
            return false;
        }
        let wait = gateway.clock.now().since(self.sent_at);
        let mut upstreams = gateway.replicas();
        let recorded =
            upstreams.record_answer(&self.upstream, &self.route.name, wait, self.uncached_tokens);
        self.speed = recorded.map(|(speed, _)| speed);
        recorded.is_some_and(|(_, is_bad)| is_bad)
    }

    /// Notes that the answer does not come, or broke off; tells whether it is a bad
    /// answer of the version that is rolled out.
    pub(crate) fn record_failure(&mut self, gateway: &Gateway) -> bool {
        if self.is_excluded(gateway) {
            return false;
        }
        self.is_finished = true;
        gateway.replicas().record_failure(&self.upstream, &self.route.name, self.speed)
    }

    /// Notes that the request is at its end, whatever came of it; tells whether it is a bad answer
    /// of the version that is rolled out.
    pub(crate) fn record_end(&mut self, gateway: &Gateway) -> bool {
        if self.speed.is_some() || self.is_excluded(gateway) {
            return false;
        }
        self.is_finished = true;
        let wait = gateway.clock.now().since(self.sent_at);
        gateway.replicas().record_abandoned(
            &self.upstream,
            &self.route.name,
            wait,
            self.uncached_tokens,
        )
    }
}
