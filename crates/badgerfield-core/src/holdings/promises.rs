//! Promises of a holder to the ledger that sealed tokens stay unspent, and how much of them still
//! holds.

use std::time::Duration;

use crate::amount::{Time, Tokens};
use crate::seal::{MAX_DECAY_DELAY, PROMISE_SPAN, decay_time, promised_after};

/// A promise that ends sooner than this is not continued: the tokens that an operation grants are
/// sealed by the same promise, which must outlast the time until the next report.
const MIN_CONTINUED_SPAN: Duration = Duration::from_secs(2);

/// A promise that the ledger may have on record.
#[derive(Debug, Clone, Copy)]
pub(super) struct Promise {
    pub(super) amount: Tokens,
    /// When the promise begins to decay.
    pub(super) decays_from: Time,
    /// The span over which the promise decays.
    pub(super) decay_span: Duration,
}

impl Promise {
    /// Makes a promise that covers the whole amount for `delay`, at most [`MAX_DECAY_DELAY`].
    pub(super) fn new(now: Time, amount: Tokens, delay: Duration) -> Self {
        let delay = delay.min(MAX_DECAY_DELAY);
        let decay_span = PROMISE_SPAN.saturating_sub(delay);
        Self { amount, decays_from: now.after(delay), decay_span }
    }

    /// Returns the promise for what is left of the amount now, which decays as this one does.
    fn continued(self, now: Time) -> Self {
        let decays_from = self.decays_from.max(now);
        let decay_span = self.end().since(decays_from);
        Self { amount: self.remaining(now), decays_from, decay_span }
    }

    fn end(self) -> Time {
        self.decays_from.after(self.decay_span)
    }

    fn remaining(self, now: Time) -> Tokens {
        promised_after(self.amount, now.since(self.decays_from), self.decay_span)
    }

    /// Returns after how long at most `limit` tokens of the promise remain.
    fn time_until_at_most(self, now: Time, limit: Tokens) -> Duration {
        if self.amount <= limit {
            return Duration::ZERO;
        }
        let decay = decay_time(self.amount, limit, self.decay_span);
        self.decays_from.after(decay).since(now)
    }
}

/// The promises that the ledger may have on record.
///
/// While an operation is pending, this process does not know which of its sendings the ledger has
/// applied, or whether the ledger still has the previous operation. Hence the promises of all of
/// them are kept.
#[derive(Debug, Clone, Default)]
pub(super) struct Promises {
    /// The promises of the last operation that was answered.
    confirmed: Vec<Promise>,
    /// The promises of the sendings of the pending operation, except for those that have ended.
    pending: Vec<Promise>,
}

impl Promises {
    /// Records the promise of a new operation.
    pub(super) fn record_pending(&mut self, promise: Promise) {
        self.pending = vec![promise];
    }

    /// Records that the pending operation is sent again, with this promise.
    pub(super) fn record_resend(&mut self, now: Time, promise: Promise) {
        self.pending.retain(|earlier| earlier.end() > now);
        self.pending.push(promise);
    }

    /// Returns the promise for what must stay unspent now, without renewing it: as it decays,
    /// requests use the tokens. The pending operation returns `returning` tokens that were promised
    /// before.
    pub(super) fn continued(&self, now: Time, returning: Tokens) -> Promise {
        let confirmed = self.confirmed.iter().map(|promise| {
            let promise = promise.continued(now);
            Promise { amount: promise.amount.saturating_sub(returning), ..promise }
        });
        let pending = self.pending.iter().map(|promise| promise.continued(now));
        // The promise also covers tokens that the operation grants, so it must last for a while.
        let lasting =
            confirmed.chain(pending).filter(|promise| promise.decay_span >= MIN_CONTINUED_SPAN);
        let strongest = lasting.max_by_key(|promise| promise.amount);
        strongest
            .filter(|promise| !promise.amount.is_zero())
            .unwrap_or_else(|| Promise::new(now, Tokens::ZERO, Duration::ZERO))
    }

    /// Records that a new operation promises nothing.
    pub(super) fn clear_pending(&mut self) {
        self.pending.clear();
    }

    /// Returns whether the pending operation promises the tokens that it grants.
    pub(super) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Records that the pending operation was answered and granted `sealed` sealed tokens.
    pub(super) fn confirm(&mut self, sealed: Tokens) {
        self.confirmed = std::mem::take(&mut self.pending);
        for promise in &mut self.confirmed {
            promise.amount = promise.amount.saturating_add(sealed);
        }
    }

    /// Returns how many tokens must stay unspent if the ledger has the previous operation on
    /// record. They include those that the pending operation returns.
    pub(super) fn confirmed(&self, now: Time) -> Tokens {
        max_remaining(&self.confirmed, now)
    }

    /// Returns how many sealed tokens must stay unspent if the ledger has the pending operation on
    /// record.
    pub(super) fn pending(&self, now: Time) -> Tokens {
        max_remaining(&self.pending, now)
    }

    /// Returns after how long at most `sealed` tokens must stay unspent if the pending operation
    /// returns `returning` tokens that were promised before.
    pub(super) fn time_until_at_most(
        &self,
        now: Time,
        sealed: Tokens,
        returning: Tokens,
    ) -> Duration {
        let confirmed = time_until_at_most(&self.confirmed, now, sealed.saturating_add(returning));
        confirmed.max(time_until_at_most(&self.pending, now, sealed))
    }
}

/// Returns after how long none of the promises covers more than `limit` tokens.
fn time_until_at_most(promises: &[Promise], now: Time, limit: Tokens) -> Duration {
    promises.iter().map(|promise| promise.time_until_at_most(now, limit)).max().unwrap_or_default()
}

fn max_remaining(promises: &[Promise], now: Time) -> Tokens {
    promises.iter().map(|promise| promise.remaining(now)).max().unwrap_or_default()
}
