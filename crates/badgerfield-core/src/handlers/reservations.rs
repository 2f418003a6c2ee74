//! Reservations: tokens set aside for requests on routes, which keep no run here.

use crate::amount::Time;
use crate::event::{Command, Outbox, ReservationEnd, ReserveRequest};
use crate::holdings::{ReserveDecision, ReserveOutcome};
use crate::ids::ReservationId;
use crate::node::Node;
use crate::refusal::{Cause, Refusal};

impl Node {
    /// Sets tokens aside for a request on a route.
    pub(crate) fn reserve_for_route(&self, now: Time, ask: &ReserveRequest, out: &mut Outbox) {
        self.learn_terms(now, &ask.budget);
        let waiter = (ask.id.to_run_id(), ask.amount, ask.deadline);
        let reserved = self.state.holdings().reserve(now, &ask.budget, waiter, out);
        match reserved {
            ReserveOutcome::Reserved(period) => {
                out.push(Command::AnswerReserve(ask.id, Ok(period)));
            }
            ReserveOutcome::Waiting => {}
            ReserveOutcome::Refused(refusal) => {
                out.push(Command::AnswerReserve(ask.id, Err(refusal)));
            }
        }
    }

    /// Drops a request that waits for tokens.
    pub(crate) fn cancel_reserve(&self, _now: Time, ask: &ReserveRequest, out: &mut Outbox) {
        if self.state.holdings().cancel_request(&ask.budget, ask.id.to_run_id()) {
            let refusal = Refusal::not_run(Cause::Stopping);
            out.push(Command::AnswerReserve(ask.id, Err(refusal)));
        }
    }

    /// Ends a reservation: bills what was used and frees the rest.
    pub(crate) fn settle_reservation(&self, now: Time, end: &ReservationEnd, _out: &mut Outbox) {
        let mut holdings = self.state.holdings();
        holdings.settle(now, &end.budget, end.period, end.reserved, end.used);
        holdings.record_charge(&end.budget, end.period, end.used, true);
    }
}

/// Tells a request that waited what became of its wish.
pub(crate) fn tell(id: ReservationId, decision: &ReserveDecision, out: &mut Outbox) {
    let result = decision.refusal.map_or(Ok(decision.period), Err);
    out.push(Command::AnswerReserve(id, result));
}
