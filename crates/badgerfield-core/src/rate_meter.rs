//! A moving rate: how fast tokens are used, with old use counting less.

use std::time::Duration;

use crate::amount::{Time, TokenRate, Tokens};

/// The span after which past use counts for about a third.
const SPAN: Duration = Duration::from_secs(20);

/// The least age that a meter is taken to have.
const YOUNG: Duration = Duration::from_secs(1);

/// Measures a rate.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RateMeter {
    level: f64,
    at: Time,
    born: Option<Time>,
}

impl RateMeter {
    /// Counts tokens that are used.
    pub(crate) fn count(&mut self, now: Time, used: Tokens) {
        self.level = self.decayed(now) + f64::from(u32::try_from(used.0).unwrap_or(u32::MAX));
        self.at = now;
        self.born.get_or_insert(now);
    }

    /// Takes back tokens that were counted and then not used.
    pub(crate) fn uncount(&mut self, now: Time, unused: Tokens) {
        let unused = f64::from(u32::try_from(unused.0).unwrap_or(u32::MAX));
        self.level = (self.decayed(now) - unused).max(0.0);
        self.at = now;
    }

    /// Returns the rate.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the level is never negative, and a rate is an estimate"
    )]
    pub(crate) fn rate(&self, now: Time) -> TokenRate {
        let Some(born) = self.born else {
            return TokenRate(0);
        };
        // A young meter has only seen a part of its span.
        let age = now.since(born).max(YOUNG).as_secs_f64();
        let seen = SPAN.as_secs_f64() * (1.0 - (-age / SPAN.as_secs_f64()).exp());
        TokenRate((self.decayed(now) / seen) as u64)
    }

    fn decayed(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64() / SPAN.as_secs_f64();
        self.level * (-age).exp()
    }
}
