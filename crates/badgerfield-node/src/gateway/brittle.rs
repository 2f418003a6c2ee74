//! Sends a request to a brittle service: over a place that this VM has at one of its upstreams, or
//! through a peer that has one.

use badgerfield_core::amount::Time;
use badgerfield_core::refusal::Cause;
use badgerfield_core::upstream_table::ChosenUpstream;

use crate::gateway::attempt::AttemptEnd;
use crate::gateway::dispatch::AttemptStep;
use crate::gateway::exchange::{Exchange, LastDispatch};
use crate::gateway::forward::origin::PeerAttempt;
use crate::gateway::places::{PlaceRequest, place_wait};
use crate::gateway::request_log;

/// The maximum number of peers that one attempt asks for a place.
const MAX_ASKED_PEERS: usize = 3;

impl Exchange {
    /// Returns whether the upstreams of the request's service are brittle.
    pub(super) fn is_service_brittle(&self) -> bool {
        self.gateway.upstreams().brittle_tolerance(&self.service).is_some()
    }

    /// Returns the time until which the request may wait for a place.
    pub(super) fn place_deadline(&self) -> Time {
        self.now().after(place_wait(self.route.objective)).min(self.deadline)
    }

    /// Sends the request to an upstream of a brittle service. It may wait for a place until a time.
    pub(super) async fn attempt_with_place(
        &mut self,
        is_direct: bool,
        last_event: Option<u64>,
        until: Time,
    ) -> Result<AttemptStep, Cause> {
        let started = self.now();
        if is_direct && let Some(chosen) = self.choose_place(until).await? {
            return Ok(self.attempt_at(chosen, self.now(), last_event).await);
        }
        if let Some(step) = self.attempt_through_holders(last_event, until).await? {
            return Ok(step);
        }
        let now = self.now();
        let (tolerance, counts, is_served) = {
            let upstreams = self.gateway.upstreams();
            (
                upstreams.brittle_tolerance(&self.service),
                upstreams.place_counts(now, &self.service),
                upstreams.serves(now, &self.service),
            )
        };
        let waited = now.since(started);
        request_log::without_place(&self.original.id, &self.service, tolerance, counts, waited);
        Err(if is_served { Cause::Brittle } else { Cause::NoUpstream })
    }

    /// Chooses an upstream at which this VM has a place, and waits for one until a time.
    async fn choose_place(&self, until: Time) -> Result<Option<ChosenUpstream>, Cause> {
        let now = self.now();
        let places = &self.gateway.places;
        if !places.is_behind(&self.service, self.rank())
            && let Some(chosen) = self.choose_free(now)?
        {
            return Ok(Some(chosen));
        }
        let counts = self.gateway.upstreams().place_counts(now, &self.service);
        let request = PlaceRequest { service: &self.service, rank: self.rank(), until, counts };
        let clock = &self.driver.clock;
        let chosen = places.wait(clock, request, || self.choose_free(self.now()).transpose()).await;
        chosen.transpose()
    }

    /// Chooses an upstream at which this VM has a free place, if there is one.
    fn choose_free(&self, now: Time) -> Result<Option<ChosenUpstream>, Cause> {
        match self.choose(now, self.driver.node.member_count()) {
            Ok(chosen) => Ok(Some(chosen)),
            Err(Cause::NoUpstream) => Ok(None),
            Err(cause) => Err(cause),
        }
    }

    /// Sends the request through a peer that has a place, if one is found.
    async fn attempt_through_holders(
        &mut self,
        last_event: Option<u64>,
        until: Time,
    ) -> Result<Option<AttemptStep>, Cause> {
        let residency = self.current_residency();
        for _ in 0..MAX_ASKED_PEERS {
            let context = (&*self.driver, &*self.gateway);
            let holders = &self.gateway.place_holders;
            let Some(holder) = holders.choose(context, &self.service, &residency, rand::random())
            else {
                return Ok(None);
            };
            let now = self.now();
            self.last_dispatch = LastDispatch { at: now, prior_crashes: 0, through_peer: true };
            let attempt = self.attempt_through_holder(now, last_event, &holder, until).await?;
            let PeerAttempt { upstream, end, crashed, is_peer_fault } = attempt;
            if matches!(end, AttemptEnd::NotSent(_)) {
                let (holders, now) = (&self.gateway.place_holders, self.now());
                holders.record_unavailable(now, &self.service, holder.id, !is_peer_fault);
                continue;
            }
            self.count_retry(now, self.driver.node.member_count());
            self.timing.record_sent(now.since(self.arrived_at));
            self.tried.extend(upstream.clone());
            return Ok(Some(AttemptStep { upstream, end, crashed }));
        }
        Ok(None)
    }
}
