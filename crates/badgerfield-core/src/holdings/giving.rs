//! What was set aside or lent, and what of it comes back: so a holder knows whether waiting for
//! it can help a request that it has too little for.

use std::time::Duration;

use crate::amount::{Time, Tokens};

/// For how long what was lent may come back: borrowers give back within moments what they do
/// not use, and streams on the users' sheets last 0.5 to 3 s.
const LENT: Duration = Duration::from_secs(4);

/// What a holding has given out.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Giving {
    /// All that was ever set aside or lent.
    given: Tokens,
    /// What of it came back unused.
    back: Tokens,
    /// What was lent of late, in two halves of [`LENT`].
    lent: (Tokens, Tokens),
    /// When the newer half began.
    turned: Time,
}

impl Giving {
    /// Counts tokens that are set aside for a request here.
    pub(super) fn set_aside(&mut self, amount: Tokens) {
        self.given = self.given.saturating_add(amount);
    }

    /// Counts tokens that are lent.
    pub(super) fn lend(&mut self, now: Time, amount: Tokens) {
        let span = now.since(self.turned);
        if span >= LENT / 2 {
            let old = if span >= LENT { Tokens::ZERO } else { self.lent.1 };
            self.lent = (old, Tokens::ZERO);
            self.turned = now;
        }
        self.lent.1 = self.lent.1.saturating_add(amount);
        self.given = self.given.saturating_add(amount);
    }

    /// Counts tokens that came back unused.
    pub(super) fn come_back(&mut self, amount: Tokens) {
        self.back = self.back.saturating_add(amount);
    }

    /// Returns how much may come back soon, at the most, while so much is set aside here.
    ///
    /// A part of what is out comes back as a rule; before anything did, all of it may.
    pub(super) fn may_come_back(&self, now: Time, reserved: Tokens) -> Tokens {
        let lent = match now.since(self.turned) {
            span if span >= LENT => Tokens::ZERO,
            span if span >= LENT / 2 => self.lent.1,
            _ => self.lent.0.saturating_add(self.lent.1),
        };
        let out = reserved.saturating_add(lent);
        if self.back.is_zero() {
            return out;
        }
        out.part(self.back.0, self.given.0.max(1)).min(out)
    }
}
