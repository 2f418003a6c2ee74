//! When sealed tokens come free: who waits for them is neither refused before, nor told to come back
//! long after.

use std::time::Duration;

use super::holding::Holding;
use super::waiting::{Requester, Waiter};
use crate::amount::{Time, Tokens};

impl Holding {
    /// Returns after how long so many tokens are ready, if only what is sealed here comes free until
    /// then; nothing if there are not enough.
    pub(super) fn time_until_available(&self, now: Time, need: Tokens) -> Option<Duration> {
        if self.available() >= need {
            return Some(Duration::ZERO);
        }
        if self.unparked() < need {
            return None;
        }
        let may_stay = self.unspent().saturating_sub(need);
        let returning = if self.op.is_some() { self.returning_sealed } else { Tokens::ZERO };
        Some(self.promises.time_until(now, may_stay, returning))
    }

    /// Tells whether what is sealed comes free in time for a request here, after all who wait before
    /// it. A borrower is answered at once: it may ask another lender.
    pub(super) fn unseals_in_time(&self, now: Time, before: Tokens, waiter: &Waiter) -> bool {
        if matches!(waiter.requester, Requester::Borrower(_)) {
            return false;
        }
        let need = before.saturating_add(waiter.need);
        self.time_until_available(now, need).is_some_and(|span| now.after(span) <= waiter.deadline)
    }
}
