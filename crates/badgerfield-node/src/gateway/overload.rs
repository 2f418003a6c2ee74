//! Measures the load of plain services by their requests ([`badgerfield_core::overload`]).

use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::UpstreamId;
use badgerfield_core::overload;
use badgerfield_core::routing::{Route, ServiceSpec};
use hyper::StatusCode;

use crate::gateway::state::Gateway;

/// Returns the objective for the response time, if a request goes to a plain service and its route
/// has one.
fn plain_objective(spec: &ServiceSpec, route: &Route) -> Option<Duration> {
    let objective = route.objective;
    (spec.engine.is_none() && !objective.is_zero()).then_some(objective)
}

impl Gateway {
    /// Records the response time of an upstream.
    pub(super) fn record_response_time(
        &self,
        now: Time,
        (spec, route): (&ServiceSpec, &Route),
        id: &UpstreamId,
        span: Duration,
    ) {
        if plain_objective(spec, route).is_some() {
            self.upstreams().record_response_time(now, id, span);
        }
    }

    /// Records that an upstream rejected a request without running it.
    pub(super) fn record_rejection(
        &self,
        now: Time,
        (spec, route): (&ServiceSpec, &Route),
        id: &UpstreamId,
        status: StatusCode,
    ) {
        let full = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS];
        if let Some(objective) = plain_objective(spec, route).filter(|_| full.contains(&status)) {
            let span = overload::rejection_wait(objective);
            self.upstreams().record_response_time(now, id, span);
        }
    }
}
