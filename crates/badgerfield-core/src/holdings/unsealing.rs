//! When sealed tokens become free. A request that waits for them is not refused before, and the
//! retry delay of a refused request is no longer than needed.

use std::time::Duration;

use super::holding::Holding;
use super::waiting::{Requester, Waiter};
use crate::amount::{Time, Tokens};

impl Holding {
    /// Returns after how long `need` tokens are available if only sealed tokens become free until
    /// then, or `None` if the holding has too few.
    pub(super) fn time_until_available(&self, now: Time, need: Tokens) -> Option<Duration> {
        if self.available() >= need {
            return Some(Duration::ZERO);
        }
        if self.unparked() < need {
            return None;
        }
        let max_sealed = self.unspent().saturating_sub(need);
        let returning = if self.op.is_some() { self.returning_sealed } else { Tokens::ZERO };
        Some(self.promises.time_until_at_most(now, max_sealed, returning))
    }

    /// Returns whether sealed tokens become free in time for a request here that is served after
    /// `before` tokens of other requests. For a borrower this is always false: it is answered at
    /// once and may ask another lender.
    pub(super) fn unseals_in_time(&self, now: Time, before: Tokens, waiter: &Waiter) -> bool {
        if matches!(waiter.requester, Requester::Borrower(_)) {
            return false;
        }
        let need = before.saturating_add(waiter.need);
        self.time_until_available(now, need).is_some_and(|span| now.after(span) <= waiter.deadline)
    }
}
