//! When sealed tokens come free: who waits for them is neither refused before, nor told to come back
//! long after.

use std::time::Duration;

use super::holding::Holding;
use super::waiting::{Waiter, Wanter};
use crate::amount::{Time, Tokens};

impl Holding {
    /// Returns after how long so many tokens are ready, if only what is sealed here comes free until
    /// then; nothing if there are not enough.
    pub(super) fn opens_in(&self, now: Time, need: Tokens) -> Option<Duration> {
        if self.ready() >= need {
            return Some(Duration::ZERO);
        }
        if self.room() < need {
            return None;
        }
        let may_stay = self.unspent().saturating_sub(need);
        let returning = if self.op.is_some() { self.returning } else { Tokens::ZERO };
        Some(self.promises.fall_to(now, may_stay, returning))
    }

    /// Tells whether what is sealed comes free in time for a request here, after all who wait before
    /// it. A borrower is answered at once: it may ask another lender.
    pub(super) fn opens_for(&self, now: Time, before: Tokens, waiter: &Waiter) -> bool {
        if matches!(waiter.wanter, Wanter::Borrower(_)) {
            return false;
        }
        let need = before.saturating_add(waiter.need);
        self.opens_in(now, need).is_some_and(|span| now.after(span) <= waiter.until)
    }
}
