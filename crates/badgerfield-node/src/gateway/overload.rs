//! Measures the load of plain services by their requests ([`badgerfield_core::overload`]).

use std::time::Duration;

use badgerfield_core::ids::UpstreamId;
use badgerfield_core::overload;
use hyper::StatusCode;

use crate::gateway::exchange::Exchange;

impl Exchange {
    /// Returns the objective for the response time, if the request goes to a plain service and its
    /// route has one.
    fn plain_objective(&self) -> Option<Duration> {
        let objective = self.route.objective;
        (self.spec.engine.is_none() && !objective.is_zero()).then_some(objective)
    }

    /// Records the response time of an upstream.
    pub(super) fn record_response_time(&self, id: &UpstreamId, span: Duration) {
        if self.plain_objective().is_some() {
            self.gateway.upstreams().record_response_time(self.now(), id, span);
        }
    }

    /// Records that an upstream rejected the request without running it.
    pub(super) fn record_rejection(&self, id: &UpstreamId, status: StatusCode) {
        let full = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS];
        if let Some(objective) = self.plain_objective().filter(|_| full.contains(&status)) {
            let span = overload::rejection_wait(objective);
            self.gateway.upstreams().record_response_time(self.now(), id, span);
        }
    }
}
