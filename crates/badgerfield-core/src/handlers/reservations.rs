//! Reservations: tokens reserved for requests on routes, which have no run in this node.

use crate::amount::Time;
use crate::event::{Command, Outbox, ReservationEnd, ReserveRequest};
use crate::holdings::{ReserveDecision, ReserveOutcome};
use crate::ids::ReservationId;
use crate::node::Node;
use crate::refusal::{Cause, Refusal};

impl Node {
    /// Reserves tokens for a request on a route.
    pub(crate) fn reserve_for_route(&self, now: Time, request: &ReserveRequest, out: &mut Outbox) {
        self.update_terms(now, &request.budget);
        let waiter = (request.id.to_run_id(), request.amount, request.deadline);
        let outcome = self.state.holdings().reserve(now, &request.budget, waiter, out);
        match outcome {
            ReserveOutcome::Reserved(period) => {
                out.push(Command::AnswerReserve(request.id, Ok(period)));
            }
            ReserveOutcome::Waiting => {}
            ReserveOutcome::Refused(refusal) => {
                out.push(Command::AnswerReserve(request.id, Err(refusal)));
            }
        }
    }

    /// Cancels a reservation request that waits for tokens.
    pub(crate) fn cancel_reserve(&self, _now: Time, request: &ReserveRequest, out: &mut Outbox) {
        if self.state.holdings().cancel_request(&request.budget, request.id.to_run_id()) {
            let refusal = Refusal::not_run(Cause::Stopping);
            out.push(Command::AnswerReserve(request.id, Err(refusal)));
        }
    }

    /// Ends a reservation: bills the tokens used and frees the rest.
    pub(crate) fn settle_reservation(&self, now: Time, end: &ReservationEnd, _out: &mut Outbox) {
        let mut holdings = self.state.holdings();
        holdings.settle(now, &end.budget, end.period, end.reserved, end.used);
        holdings.record_charge(&end.budget, end.period, end.used, true);
    }
}

/// Sends the decision on a reservation to the request that waits for it.
pub(crate) fn answer_reserve(id: ReservationId, decision: &ReserveDecision, out: &mut Outbox) {
    let result = decision.refusal.map_or(Ok(decision.period), Err);
    out.push(Command::AnswerReserve(id, result));
}
