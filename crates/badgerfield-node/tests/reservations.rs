//! Reservations whose requests end while the core decides about them.

use badgerfield_core::amount::{Time, Tokens};
use badgerfield_core::event::ReserveRequest;
use badgerfield_core::ids::{Period, ReservationId};
use badgerfield_core::refusal::{Cause, Refusal};
use badgerfield_node::reservations::WaitingReservations;

fn request(id: u64) -> ReserveRequest {
    ReserveRequest {
        id: ReservationId(id),
        budget: "account/main".parse().expect("the name is valid"),
        amount: Tokens(322),
        deadline: Time::from_millis(1000),
    }
}

/// Guards against tokens that stay reserved for ever because the caller left at the moment at which
/// they were reserved: a process that holds such tokens cannot hand over its state.
#[test]
fn tokens_reserved_for_a_request_that_has_ended_are_returned() {
    let mut waiting = WaitingReservations::default();
    drop(waiting.insert(&request(1)));
    let end = waiting.answer(ReservationId(1), Ok(Period(3))).expect("the tokens are returned");
    assert_eq!((end.period, end.reserved, end.used), (Period(3), Tokens(322), Tokens::ZERO));
    assert_eq!(waiting.answer(ReservationId(1), Ok(Period(3))), None, "returned twice");
}

/// Guards against tokens that are returned though a request uses them, and against the return of
/// tokens that were refused.
#[test]
fn tokens_of_a_waiting_request_are_not_returned() {
    let mut waiting = WaitingReservations::default();
    let mut answer = waiting.insert(&request(1));
    assert_eq!(waiting.answer(ReservationId(1), Ok(Period(3))), None);
    assert_eq!(answer.try_recv(), Ok(Ok(Period(3))));
    drop(waiting.insert(&request(2)));
    let refusal = Refusal::not_run(Cause::Stopping);
    assert_eq!(waiting.answer(ReservationId(2), Err(refusal)), None);
}
