//! What was set aside or lent, and what of it comes back: so a holder knows whether waiting for
//! it can help a request that it has too little for.

use std::time::Duration;

use crate::amount::{Time, Tokens};

/// For how long what was lent may come back: borrowers give back within moments what they do
/// not use, and streams on the users' sheets last 0.5 to 3 s.
const LENT_WINDOW: Duration = Duration::from_secs(4);

/// What a holding has given out.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ReturnStats {
    /// All that was ever set aside or lent.
    issued: Tokens,
    /// What of it came back unused.
    returned: Tokens,
    /// What was lent of late, in two halves of [`LENT`].
    recent_lent: (Tokens, Tokens),
    /// When the newer half began.
    window_start: Time,
}

impl ReturnStats {
    /// Counts tokens that are set aside for a request here.
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

    /// Returns how much may come back soon, at the most, while so much is set aside here.
    ///
    /// A part of what is out comes back as a rule; before anything did, all of it may.
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
