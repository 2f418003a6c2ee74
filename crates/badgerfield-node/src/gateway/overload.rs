//! Plain services that are asked for more than they can do: what this process refuses at once,
//! and what it notes of answers for that ([`badgerfield_core::overload`]).

use std::time::Duration;

use badgerfield_core::ids::UpstreamId;
use badgerfield_core::overload::Want;
use badgerfield_core::refusal::{Cause, Refusal};
use hyper::StatusCode;

use crate::gateway::flow::Exchange;
use crate::gateway::record;

impl Exchange {
    /// Returns what is wanted of a plain service, if this request goes to one and says so.
    fn plain_want(&self) -> Option<Want> {
        let objective = self.route.objective;
        let is_plain = self.spec.engine.is_none() && !objective.is_zero();
        is_plain.then(|| Want { objective, rank: self.rank() })
    }

    /// Refuses the request if its service has too much to do.
    ///
    /// # Errors
    ///
    /// Returns the refusal.
    pub(super) fn check_overload(&self) -> Result<(), Refusal> {
        let Some(want) = self.plain_want().filter(|_| self.tried.is_empty()) else {
            return Ok(());
        };
        let now = self.now();
        let took = self.gateway.replicas().least_time(now, &self.service);
        let (admitted, share, after) = self.gateway.throttle(&self.service, |throttle| {
            let admitted = throttle.admits(now, took, want, rand::random());
            (admitted, throttle.share(), throttle.come_back(rand::random()))
        });
        if admitted {
            return Ok(());
        }
        record::throttled(&self.original.id, &self.service, took, share, after);
        Err(Refusal::not_run(Cause::Overloaded).after(after))
    }

    /// Returns when a caller who cannot be served should come back, if the request goes to a
    /// plain service.
    pub(super) fn come_back(&self) -> Option<Duration> {
        self.plain_want()?;
        Some(self.gateway.throttle(&self.service, |throttle| throttle.come_back(rand::random())))
    }

    /// Notes how long an upstream took to answer.
    pub(super) fn note_answered(&self, id: &UpstreamId, span: Duration) {
        if self.plain_want().is_none() {
            return;
        }
        self.gateway.throttle(&self.service, |throttle| throttle.answered(span));
        self.gateway.replicas().took(self.now(), id, span);
    }

    /// Notes that an upstream did not run the request.
    pub(super) fn note_not_run(&self, id: &UpstreamId, status: StatusCode) {
        let is_full =
            matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
        let Some(want) = self.plain_want().filter(|_| is_full) else {
            return;
        };
        let now = self.now();
        let span = self
            .gateway
            .throttle(&self.service, |throttle| throttle.turned_away(now, want.objective));
        self.gateway.replicas().took(now, id, span);
    }
}
