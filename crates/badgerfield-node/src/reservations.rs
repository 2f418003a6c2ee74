//! The reservations of tokens whose requests wait for the answer of the core.

use std::collections::HashMap;

use badgerfield_core::amount::Tokens;
use badgerfield_core::event::{ReservationEnd, ReserveRequest};
use badgerfield_core::ids::{BudgetId, Period, ReservationId};
use badgerfield_core::refusal::Refusal;
use tokio::sync::oneshot;

/// The result of a reservation.
pub type ReserveResult = Result<Period, Refusal>;

/// A reservation that waits for its result.
#[derive(Debug)]
struct Waiting {
    budget: BudgetId,
    amount: Tokens,
    answer: oneshot::Sender<ReserveResult>,
}

/// The reservations that wait for their results.
#[derive(Debug, Default)]
pub struct WaitingReservations {
    waiting: HashMap<ReservationId, Waiting>,
}

impl WaitingReservations {
    /// Adds a reservation and returns the receiver of its result.
    pub fn insert(&mut self, request: &ReserveRequest) -> oneshot::Receiver<ReserveResult> {
        let (answer, receiver) = oneshot::channel();
        let waiting = Waiting { budget: request.budget.clone(), amount: request.amount, answer };
        self.waiting.insert(request.id, waiting);
        receiver
    }

    /// Sends the result of a reservation to the request that waits for it.
    ///
    /// Returns the end of a reservation that was made after its request had ended. Nobody else
    /// knows of its tokens, and they would stay reserved for ever.
    pub fn answer(&mut self, id: ReservationId, result: ReserveResult) -> Option<ReservationEnd> {
        let Waiting { budget, amount, answer } = self.waiting.remove(&id)?;
        let period = answer.send(result).err()?.ok()?;
        Some(ReservationEnd { budget, period, reserved: amount, used: Tokens::ZERO })
    }
}
