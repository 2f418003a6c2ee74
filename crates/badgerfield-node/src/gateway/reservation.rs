//! Tokens that are reserved for one request and settled exactly once, however the request ends.

use std::sync::Arc;

use badgerfield_core::Event;
use badgerfield_core::amount::{Time, Tokens};
use badgerfield_core::event::{ReservationEnd, ReserveRequest};
use badgerfield_core::ids::{BudgetId, Period};
use badgerfield_core::refusal::{Cause, Refusal};
use tokio::sync::oneshot;

use crate::driver::Driver;

/// Reserved tokens. Unused ones are returned on drop.
#[derive(Debug)]
pub(crate) struct Reservation {
    driver: Arc<Driver>,
    budget: BudgetId,
    period: Period,
    reserved: Tokens,
    used: Tokens,
}

impl Reservation {
    /// Reserves tokens, waiting for them until a deadline.
    ///
    /// # Errors
    ///
    /// Returns the refusal if there are no tokens.
    pub(crate) async fn acquire(
        driver: &Arc<Driver>,
        budget: &BudgetId,
        amount: Tokens,
        deadline: Time,
    ) -> Result<Self, Refusal> {
        let id = driver.next_reservation();
        let request = ReserveRequest { id, budget: budget.clone(), amount, deadline };
        let answer = driver.await_reservation(&request);
        let mut pending = PendingReservation { driver, request: Some(request.clone()), answer };
        driver.handle_event(Event::Reserve(request));
        let result = (&mut pending.answer).await;
        pending.request = None;
        let period = result.unwrap_or(Err(Refusal::not_run(Cause::Stopping)))?;
        let (driver, budget) = (Arc::clone(driver), budget.clone());
        Ok(Self { driver, budget, period, reserved: amount, used: Tokens::ZERO })
    }

    /// Records the number of tokens used so far. A smaller number than before has no effect.
    pub(crate) fn record_used(&mut self, tokens: Tokens) {
        self.used = self.used.max(tokens).min(self.reserved);
    }

    /// Returns the recorded number of used tokens.
    pub(crate) fn used(&self) -> Tokens {
        self.used
    }

    /// Returns the number of reserved tokens.
    pub(crate) fn reserved(&self) -> Tokens {
        self.reserved
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.driver.handle_event(Event::ReservationEnded(ReservationEnd {
            budget: self.budget.clone(),
            period: self.period,
            reserved: self.reserved,
            used: self.used,
        }));
    }
}

/// A pending reservation. Dropping it cancels the reservation and returns its tokens.
struct PendingReservation<'a> {
    driver: &'a Arc<Driver>,
    request: Option<ReserveRequest>,
    answer: oneshot::Receiver<Result<Period, Refusal>>,
}

impl Drop for PendingReservation<'_> {
    fn drop(&mut self) {
        let Some(request) = self.request.take() else {
            return;
        };
        self.driver.handle_event(Event::CancelReserve(request.clone()));
        // Another thread may be about to send the result. It returns the tokens if the receiver is
        // closed, and otherwise the result is available now.
        self.answer.close();
        if let Ok(Ok(period)) = self.answer.try_recv() {
            self.driver.handle_event(Event::ReservationEnded(ReservationEnd {
                budget: request.budget,
                period,
                reserved: request.amount,
                used: Tokens::ZERO,
            }));
        }
    }
}
