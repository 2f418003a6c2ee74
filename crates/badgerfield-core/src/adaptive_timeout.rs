//! How long a call of the platform's key-value service is waited for.
//!
//! The load that this answers: a link that is thin or full makes every answer take longer than
//! the time that is set for calls. A caller that gives up then asks again for what is still on
//! its way, and so do all others, which fills the link for good. So the time follows what
//! answers have taken. It does not grow where answers used to be quick and none comes any
//! more: the service is away then, and callers should notice when it is back.

use std::time::Duration;

/// How many times the longest answer of late a call is waited for.
const RATIO: u32 = 3;
/// How many times the time that is set for calls one is waited for at the most. With 700 ms it
/// comes to 2.1 s, which stays below the 3 s in which changes are to be in force.
const MAX_RATIO: u32 = 3;
/// By how many hundredths the longest answer fades with each one that comes after it: after 20
/// quick answers an eighth of it is left.
const FADE_PERCENT: u32 = 10;

/// The time for which calls are waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdaptiveTimeout {
    /// The time that is set for calls.
    set: Duration,
    /// The longest answer of late; nothing until one has come.
    longest: Option<Duration>,
    limit: Duration,
}

impl AdaptiveTimeout {
    /// Starts with the time that is set for calls.
    #[must_use]
    pub fn new(set: Duration) -> Self {
        Self { set, longest: None, limit: set }
    }

    /// Returns how long the next call is waited for.
    #[must_use]
    pub fn current(&self) -> Duration {
        self.limit
    }

    /// Notes how long a whole answer took.
    pub fn record_answer(&mut self, took: Duration) {
        let faded = self.longest.unwrap_or_default() * (100 - FADE_PERCENT) / 100;
        let longest = faded.max(took);
        self.longest = Some(longest);
        self.limit = self.bounded(longest.saturating_mul(RATIO));
    }

    /// Notes that no answer came within the limit.
    pub fn record_timeout(&mut self) {
        // Answers that leave the limit at what is set.
        let was_quick = self.longest.is_some_and(|took| took < self.set / RATIO);
        if !was_quick {
            self.limit = self.bounded(self.limit.saturating_mul(2));
        }
    }

    fn bounded(&self, span: Duration) -> Duration {
        span.clamp(self.set, self.set.saturating_mul(MAX_RATIO))
    }
}
