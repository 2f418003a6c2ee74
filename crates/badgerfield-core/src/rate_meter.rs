//! A meter for the rate at which tokens are used, with exponential decay.

use std::time::Duration;

use crate::amount::{Time, TokenRate, Tokens};

/// The time constant of the decay: usage of this age counts for about a third.
const DECAY_TIME: Duration = Duration::from_secs(20);

/// The minimum age that a meter is assumed to have.
const MIN_AGE: Duration = Duration::from_secs(1);

/// Measures the rate of token usage.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RateMeter {
    level: f64,
    updated_at: Time,
    started_at: Option<Time>,
}

impl RateMeter {
    /// Adds used tokens.
    pub(crate) fn count(&mut self, now: Time, used: Tokens) {
        self.level = self.decayed(now) + f64::from(u32::try_from(used.0).unwrap_or(u32::MAX));
        self.updated_at = now;
        self.started_at.get_or_insert(now);
    }

    /// Subtracts tokens that were counted but not used.
    pub(crate) fn uncount(&mut self, now: Time, unused: Tokens) {
        let unused = f64::from(u32::try_from(unused.0).unwrap_or(u32::MAX));
        self.level = (self.decayed(now) - unused).max(0.0);
        self.updated_at = now;
    }

    /// Returns the current rate.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the level is never negative, and a rate is an estimate"
    )]
    pub(crate) fn rate(&self, now: Time) -> TokenRate {
        let Some(started_at) = self.started_at else {
            return TokenRate(0);
        };
        // A new meter has observed only a part of the decay time.
        let age = now.since(started_at).max(MIN_AGE).as_secs_f64();
        let observed = DECAY_TIME.as_secs_f64() * (1.0 - (-age / DECAY_TIME.as_secs_f64()).exp());
        TokenRate((self.decayed(now) / observed) as u64)
    }

    fn decayed(&self, now: Time) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        self.level * (-age).exp()
    }
}
