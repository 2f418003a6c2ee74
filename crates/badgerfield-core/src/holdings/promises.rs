//! What a holder has promised the ledger not to touch, and how much of that still holds.

use std::time::Duration;

use crate::amount::{Time, Tokens};
use crate::seal::{falls_after, promised};

/// One promise, as the ledger may have it on record.
#[derive(Debug, Clone, Copy)]
struct Promise {
    amount: Tokens,
    /// When it was said.
    made_at: Time,
}

impl Promise {
    fn remaining(self, now: Time) -> Tokens {
        promised(self.amount, now.since(self.made_at))
    }

    /// Returns after how long no more than so much of it is left.
    fn time_until(self, now: Time, least: Tokens) -> Duration {
        falls_after(self.amount, least).saturating_sub(now.since(self.made_at))
    }
}

/// The promises that the ledger may have on record.
///
/// While a change is under way nobody here knows which of its sendings the ledger has taken in, or
/// whether it has the change before still: all of them are kept.
#[derive(Debug, Clone, Default)]
pub(super) struct Promises {
    /// Those of the last change that was answered.
    confirmed: Vec<Promise>,
    /// Those of the change under way: of its first sending and of its last.
    pending: Vec<Promise>,
}

impl Promises {
    /// Notes the promise of a new change.
    pub(super) fn record_pending(&mut self, now: Time, amount: Tokens) {
        self.pending = vec![Promise { amount, made_at: now }];
    }

    /// Notes that the change under way is sent again and promises only what it hands out.
    pub(super) fn record_resend(&mut self, now: Time) {
        self.pending.truncate(1);
        self.pending.push(Promise { amount: Tokens::ZERO, made_at: now });
    }

    /// Notes that a new change promises nothing.
    pub(super) fn clear_pending(&mut self) {
        self.pending.clear();
    }

    /// Tells whether the change under way promises what it hands out.
    pub(super) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Notes that the change under way was answered, and how much of what it handed out is sealed.
    pub(super) fn confirm(&mut self, sealed: Tokens) {
        self.confirmed = std::mem::take(&mut self.pending);
        for promise in &mut self.confirmed {
            promise.amount = promise.amount.saturating_add(sealed);
        }
    }

    /// Returns how much must stay untouched of what is sealed and what the change under way gives
    /// back of it, should the ledger have the change before.
    pub(super) fn confirmed(&self, now: Time) -> Tokens {
        max_remaining(&self.confirmed, now)
    }

    /// Returns how much must stay untouched of what is sealed, should the ledger have the change
    /// under way.
    pub(super) fn pending(&self, now: Time) -> Tokens {
        max_remaining(&self.pending, now)
    }

    /// Returns after how long no more than `sealed` must stay untouched, where the change under way
    /// gives back `returning` of what was promised before.
    pub(super) fn time_until(&self, now: Time, sealed: Tokens, returning: Tokens) -> Duration {
        let confirmed = time_until(&self.confirmed, now, sealed.saturating_add(returning));
        confirmed.max(time_until(&self.pending, now, sealed))
    }
}

/// Returns after how long none of the promises holds for more than so much.
fn time_until(promises: &[Promise], now: Time, least: Tokens) -> Duration {
    promises.iter().map(|promise| promise.time_until(now, least)).max().unwrap_or_default()
}

fn max_remaining(promises: &[Promise], now: Time) -> Tokens {
    promises.iter().map(|promise| promise.remaining(now)).max().unwrap_or_default()
}
