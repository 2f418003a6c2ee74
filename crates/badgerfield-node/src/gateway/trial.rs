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
pub(crate) struct Trial {
    upstream: UpstreamId,
    route: Arc<Route>,
    sent: Time,
    /// The prompt tokens that the upstream is expected to read.
    unread: u64,
    /// How the first part of the answer came, once it has.
    came: Option<AnswerSpeed>,
    /// Whether the try has failed or come to its end, so that nothing more of it counts.
    is_over: bool,
}

impl Trial {
    pub(crate) fn new(now: Time, upstream: &UpstreamId, route: &Arc<Route>, unread: u64) -> Self {
        Self {
            upstream: upstream.clone(),
            route: Arc::clone(route),
            sent: now,
            unread,
            came: None,
            is_over: false,
        }
    }

    /// Tells whether it says nothing more of the version: it is over, or the process stood still
    /// meanwhile, so that its own delay would be taken for the version's.
    fn is_void(&self, gateway: &Gateway) -> bool {
        self.is_over || gateway.clock.stood_still_since(self.sent)
    }

    /// Notes that the first part of the answer has come; tells whether it is a bad answer
    /// of the version that is rolled out.
    pub(crate) fn note_answer(&mut self, gateway: &Gateway) -> bool {
        if self.came.is_some() || self.is_void(gateway) {
            return false;
        }
        let wait = gateway.clock.now().since(self.sent);
        let mut replicas = gateway.replicas();
        let noted = replicas.record_answer(&self.upstream, &self.route.name, wait, self.unread);
        self.came = noted.map(|(pace, _)| pace);
        noted.is_some_and(|(_, is_bad)| is_bad)
    }

    /// Notes that the answer does not come, or broke off; tells whether it is a bad
    /// answer of the version that is rolled out.
    pub(crate) fn note_failed(&mut self, gateway: &Gateway) -> bool {
        if self.is_void(gateway) {
            return false;
        }
        self.is_over = true;
        gateway.replicas().record_failure(&self.upstream, &self.route.name, self.came)
    }

    /// Notes that the request is at its end, whatever came of it; tells whether it is a bad answer
    /// of the version that is rolled out.
    pub(crate) fn note_end(&mut self, gateway: &Gateway) -> bool {
        if self.came.is_some() || self.is_void(gateway) {
            return false;
        }
        self.is_over = true;
        let wait = gateway.clock.now().since(self.sent);
        gateway.replicas().record_abandoned(&self.upstream, &self.route.name, wait, self.unread)
    }
}
