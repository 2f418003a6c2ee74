//! The limit on requests that an upstream names in its answers.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use thiserror::Error;

/// Why a limit cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("expected a decimal number of requests a second, such as 1.5")]
pub struct InvalidLimit;

/// How many requests a second an upstream takes from all processes together.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RequestLimit(f64);

impl RequestLimit {
    /// Makes a limit of so many requests a second.
    ///
    /// # Errors
    ///
    /// Refuses what is negative or not finite.
    pub fn per_second(rate: f64) -> Result<Self, InvalidLimit> {
        if rate.is_finite() && rate >= 0.0 { Ok(Self(rate)) } else { Err(InvalidLimit) }
    }

    /// Returns the requests a second.
    #[must_use]
    pub fn rate(self) -> f64 {
        self.0
    }
}

impl FromStr for RequestLimit {
    type Err = InvalidLimit;

    fn from_str(text: &str) -> Result<Self, InvalidLimit> {
        Self::per_second(text.trim().parse().map_err(|_| InvalidLimit)?)
    }
}

impl Display for RequestLimit {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
