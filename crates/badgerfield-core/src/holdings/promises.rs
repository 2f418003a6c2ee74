//! What a holder has promised the ledger not to touch, and how much of that still holds.

use std::time::Duration;

use crate::amount::{Time, Tokens};
use crate::seal::{falls_after, promised};

/// One promise, as the ledger may have it on record.
#[derive(Debug, Clone, Copy)]
struct Promise {
    amount: Tokens,
    /// When it was said.
    said: Time,
}

impl Promise {
    fn left(self, now: Time) -> Tokens {
        promised(self.amount, now.since(self.said))
    }

    /// Returns after how long no more than so much of it is left.
    fn falls_to(self, now: Time, least: Tokens) -> Duration {
        falls_after(self.amount, least).saturating_sub(now.since(self.said))
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
    under_way: Vec<Promise>,
}

impl Promises {
    /// Notes the promise of a new change.
    pub(super) fn say(&mut self, now: Time, amount: Tokens) {
        self.under_way = vec![Promise { amount, said: now }];
    }

    /// Notes that the change under way is sent again and promises only what it hands out.
    pub(super) fn say_again(&mut self, now: Time) {
        self.under_way.truncate(1);
        self.under_way.push(Promise { amount: Tokens::ZERO, said: now });
    }

    /// Notes that a new change promises nothing.
    pub(super) fn say_nothing(&mut self) {
        self.under_way.clear();
    }

    /// Tells whether the change under way promises what it hands out.
    pub(super) fn is_said(&self) -> bool {
        !self.under_way.is_empty()
    }

    /// Notes that the change under way was answered, and how much of what it handed out is sealed.
    pub(super) fn confirm(&mut self, sealed: Tokens) {
        self.confirmed = std::mem::take(&mut self.under_way);
        for promise in &mut self.confirmed {
            promise.amount = promise.amount.saturating_add(sealed);
        }
    }

    /// Returns how much must stay untouched of what is sealed and what the change under way gives
    /// back of it, should the ledger have the change before.
    pub(super) fn confirmed(&self, now: Time) -> Tokens {
        most(&self.confirmed, now)
    }

    /// Returns how much must stay untouched of what is sealed, should the ledger have the change
    /// under way.
    pub(super) fn under_way(&self, now: Time) -> Tokens {
        most(&self.under_way, now)
    }

    /// Returns after how long no more than `sealed` must stay untouched, where the change under way
    /// gives back `returning` of what was promised before.
    pub(super) fn fall_to(&self, now: Time, sealed: Tokens, returning: Tokens) -> Duration {
        let confirmed = falls_to(&self.confirmed, now, sealed.saturating_add(returning));
        confirmed.max(falls_to(&self.under_way, now, sealed))
    }
}

/// Returns after how long none of the promises holds for more than so much.
fn falls_to(promises: &[Promise], now: Time, least: Tokens) -> Duration {
    promises.iter().map(|promise| promise.falls_to(now, least)).max().unwrap_or_default()
}

fn most(promises: &[Promise], now: Time) -> Tokens {
    promises.iter().map(|promise| promise.left(now)).max().unwrap_or_default()
}
