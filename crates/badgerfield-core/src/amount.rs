//! Amounts and times: tokens, rates, percentages and the time since process start.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// An error in the text of an amount.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AmountError {
    /// The text is not a whole number.
    #[error("expected a whole number, for example 250_000, found {0:?}")]
    NotNumber(String),
    /// The number is too large.
    #[error("expected at most {max}, found {found}")]
    TooLarge {
        /// The maximum.
        max: u64,
        /// The number found.
        found: u64,
    },
}

/// A number of tokens.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Tokens(pub u64);

impl Tokens {
    /// No tokens.
    pub const ZERO: Self = Self(0);
    /// The maximum budget, small enough that sums of budgets cannot overflow.
    pub const MAX: Self = Self(1 << 50);

    /// Adds; returns `None` on overflow.
    #[must_use]
    pub fn checked_add(self, other: Self) -> Option<Self> {
        self.0.checked_add(other.0).map(Self)
    }

    /// Subtracts; returns `None` if `other` is larger.
    #[must_use]
    pub fn checked_sub(self, other: Self) -> Option<Self> {
        self.0.checked_sub(other.0).map(Self)
    }

    /// Adds, saturating at the maximum of `u64`.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Subtracts, saturating at zero.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns whether the amount is zero.
    #[must_use]
    pub fn is_zero(self) -> bool {
        self.0 == 0
    }

    /// Returns the fraction `num / den` of the amount, rounded down, or zero if `den` is zero.
    #[must_use]
    pub fn part(self, num: u64, den: u64) -> Self {
        if den == 0 {
            return Self::ZERO;
        }
        let part = u128::from(self.0) * u128::from(num) / u128::from(den);
        Self(u64::try_from(part).unwrap_or(u64::MAX))
    }
}

impl std::iter::Sum for Tokens {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self::ZERO, Self::saturating_add)
    }
}

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Tokens {
    type Err = AmountError;

    fn from_str(text: &str) -> Result<Self, AmountError> {
        let digits = text.replace('_', "");
        let found = digits.parse().map_err(|_| AmountError::NotNumber(text.to_owned()))?;
        if found > Self::MAX.0 {
            let max = Self::MAX.0;
            return Err(AmountError::TooLarge { max, found });
        }
        Ok(Self(found))
    }
}

/// A rate in tokens per second.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TokenRate(pub u64);

impl TokenRate {
    /// Returns the number of tokens at this rate over a span, rounded down.
    #[must_use]
    pub fn over(self, span: Duration) -> Tokens {
        let total = u128::from(self.0) * span.as_millis() / 1000;
        Tokens(u64::try_from(total).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for TokenRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} tokens/s", self.0)
    }
}

/// The rounding error that is allowed for, since decimal fractions have no exact binary form.
const ROUNDING_ERROR: f64 = 1e-9;

/// A percentage from 0 to 100.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "u64", into = "u64")]
pub struct Percent(u64);

impl Percent {
    /// 100 percent.
    pub const WHOLE: Self = Self(100);
    /// 5 percent, the usual share of a canary at the start.
    pub const FIVE: Self = Self(5);

    /// Converts a fraction from 0 to 1, rounding down to a whole percentage.
    #[must_use]
    pub fn from_fraction(part: f64) -> Self {
        let hundredths = part * 100.0 + ROUNDING_ERROR;
        let share = (0..=100_u32).rev().find(|n| f64::from(*n) <= hundredths);
        Self(share.unwrap_or(0).into())
    }

    /// Creates a percentage.
    ///
    /// # Errors
    ///
    /// Returns an error if the number is greater than 100.
    pub fn new(found: u64) -> Result<Self, AmountError> {
        if found > 100 {
            return Err(AmountError::TooLarge { max: 100, found });
        }
        Ok(Self(found))
    }

    /// Returns this percentage of an amount, rounded down.
    #[must_use]
    pub fn of(self, whole: Tokens) -> Tokens {
        whole.part(self.0, 100)
    }
}

impl TryFrom<u64> for Percent {
    type Error = AmountError;

    fn try_from(found: u64) -> Result<Self, AmountError> {
        Self::new(found)
    }
}

impl From<Percent> for u64 {
    fn from(share: Percent) -> Self {
        share.0
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Percent {
    type Err = AmountError;

    fn from_str(text: &str) -> Result<Self, AmountError> {
        let found = text.parse().map_err(|_| AmountError::NotNumber(text.to_owned()))?;
        Self::new(found)
    }
}

/// A time, as the span since the process started on its own monotonic clock.
///
/// Times of different processes are never compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub Duration);

impl Time {
    /// Creates a time from milliseconds since process start.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Returns the time that is `span` later.
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span))
    }

    /// Returns the span since an earlier time, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}
