//! Statistics of tokens reserved or lent and of those returned unused. They show whether a request
//! for which too few tokens are available can be served by waiting for returns.

use std::time::Duration;

use crate::amount::{Time, Tokens};

/// How long after a loan its tokens may be returned. Borrowers return unused tokens soon after a
/// request has ended, and streams last 0.5 to 3 s in the deployments this is built for.
const LENT_WINDOW: Duration = Duration::from_secs(4);

/// Counts of tokens issued and returned by a holding.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ReturnStats {
    /// All tokens that were ever reserved or lent.
    issued: Tokens,
    /// How many of them came back unused.
    returned: Tokens,
    /// Tokens lent recently, in the older and the newer half of [`LENT_WINDOW`].
    recent_lent: (Tokens, Tokens),
    /// When the newer half began.
    window_start: Time,
}

impl ReturnStats {
    /// Counts tokens reserved for a request here.
    pub(super) fn record_reserved(&mut self, amount: Tokens) {
        self.issued = self.issued.saturating_add(amount);
    }

    /// Counts tokens that are lent.
    pub(super) fn record_lent(&mut self, now: Time, amount: Tokens) {
        let span = now.since(self.window_start);
        if span >= LENT_WINDOW / 2 {
            let old = if span >= LENT_WINDOW { Tokens::ZERO } else { self.recent_lent.1 };
            self.recent_lent = (old, Tokens::ZERO);
            self.window_start = now;
        }
        self.recent_lent.1 = self.recent_lent.1.saturating_add(amount);
        self.issued = self.issued.saturating_add(amount);
    }

    /// Counts tokens that came back unused.
    pub(super) fn record_returned(&mut self, amount: Tokens) {
        self.returned = self.returned.saturating_add(amount);
    }

    /// Returns how many tokens may be returned soon, given how many are reserved here.
    ///
    /// The estimate applies the share returned so far to the outstanding tokens. Before any were
    /// returned, it is all outstanding tokens.
    pub(super) fn expected_returns(&self, now: Time, reserved: Tokens) -> Tokens {
        let lent = match now.since(self.window_start) {
            span if span >= LENT_WINDOW => Tokens::ZERO,
            span if span >= LENT_WINDOW / 2 => self.recent_lent.1,
            _ => self.recent_lent.0.saturating_add(self.recent_lent.1),
        };
        let outstanding = reserved.saturating_add(lent);
        if self.returned.is_zero() {
            return outstanding;
        }
        outstanding.part(self.returned.0, self.issued.0.max(1)).min(outstanding)
    }
}
