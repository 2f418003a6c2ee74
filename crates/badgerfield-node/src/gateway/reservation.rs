//! Tokens set aside for one request: settled once, whatever becomes of the request.

use std::sync::Arc;

use badgerfield_core::Event;
use badgerfield_core::amount::{Time, Tokens};
use badgerfield_core::event::{ReservationEnd, ReserveRequest};
use badgerfield_core::ids::{BudgetId, Period};
use badgerfield_core::refusal::{Cause, Refusal};
use tokio::sync::oneshot;

use crate::driver::Driver;

/// Tokens that are set aside; what was not used is given back when this is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    driver: Arc<Driver>,
    budget: BudgetId,
    period: Period,
    reserved: Tokens,
    used: Tokens,
}

impl Reservation {
    /// Sets tokens aside, waiting for them until a given time.
    ///
    /// # Errors
    ///
    /// Returns the refusal if there are none.
    pub(crate) async fn acquire(
        driver: &Arc<Driver>,
        budget: &BudgetId,
        amount: Tokens,
        deadline: Time,
    ) -> Result<Self, Refusal> {
        let (id, answer) = driver.await_reservation();
        let request = ReserveRequest { id, budget: budget.clone(), amount, deadline };
        let mut pending = PendingReservation { driver, request: Some(request.clone()), answer };
        driver.feed(Event::Reserve(request));
        let result = (&mut pending.answer).await;
        pending.request = None;
        let period = result.unwrap_or(Err(Refusal::not_run(Cause::Stopping)))?;
        let (driver, budget) = (Arc::clone(driver), budget.clone());
        Ok(Self { driver, budget, period, reserved: amount, used: Tokens::ZERO })
    }

    /// Notes how much was used so far; less than before changes nothing.
    pub(crate) fn record_used(&mut self, tokens: Tokens) {
        self.used = self.used.max(tokens).min(self.reserved);
    }

    /// Returns how much was noted as used.
    pub(crate) fn used(&self) -> Tokens {
        self.used
    }

    /// Returns how much is set aside.
    pub(crate) fn reserved(&self) -> Tokens {
        self.reserved
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.driver.feed(Event::ReservationEnded(ReservationEnd {
            budget: self.budget.clone(),
            period: self.period,
            reserved: self.reserved,
            used: self.used,
        }));
    }
}

/// The wait for an answer; gives the tokens back if the request goes meanwhile.
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
        self.driver.feed(Event::CancelReserve(request.clone()));
        // The answer is there now: either the wish was withdrawn, or tokens had come.
        if let Ok(Ok(period)) = self.answer.try_recv() {
            self.driver.feed(Event::ReservationEnded(ReservationEnd {
                budget: request.budget,
                period,
                reserved: request.amount,
                used: Tokens::ZERO,
            }));
        }
    }
}
