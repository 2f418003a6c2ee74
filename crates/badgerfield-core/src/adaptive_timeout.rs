//! An adaptive timeout for calls to the store.
//!
//! Over a slow or congested link every response may take longer than the configured timeout. If all
//! processes then repeat their calls while the responses are still in transit, the link stays
//! congested. Therefore the timeout follows the recent response times. It does not grow if
//! responses were fast and then stop: the store is unavailable in that case, and callers should
//! notice soon when it is back. A response that comes after the timeout tells a slow store from an
//! unavailable one, so one of the calls that have timed out is waited for until [`maximum`].
//!
//! [`maximum`]: AdaptiveTimeout::maximum

use std::time::Duration;

/// The ratio of the timeout to the longest recent response time.
const TIMEOUT_RATIO: u32 = 3;
/// The maximum ratio of the timeout to the configured one. With 700 ms configured, the maximum is
/// 2.1 s, which is below the 3 s within which changes must take effect.
const MAX_TIMEOUT_RATIO: u32 = 3;
/// The percentage by which the longest response time decays with each response: after 20 fast
/// responses an eighth of it is left.
const DECAY_PERCENT: u32 = 10;

/// A timeout that follows the response times of calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdaptiveTimeout {
    /// The configured timeout, which is also the minimum.
    configured: Duration,
    /// The longest recent response time; `None` until the first response.
    longest: Option<Duration>,
    current: Duration,
    answer_count: u64,
}

impl AdaptiveTimeout {
    /// Creates a timeout that starts at the configured value.
    #[must_use]
    pub fn new(configured: Duration) -> Self {
        Self { configured, longest: None, current: configured, answer_count: 0 }
    }

    /// Returns the timeout for the next call.
    #[must_use]
    pub fn current(&self) -> Duration {
        self.current
    }

    /// Returns the longest timeout of a call.
    #[must_use]
    pub fn maximum(&self) -> Duration {
        self.configured.saturating_mul(MAX_TIMEOUT_RATIO)
    }

    /// Records the time from a call to its complete response, which may be longer than its timeout.
    pub fn record_answer(&mut self, elapsed: Duration) {
        let decayed = self.longest.unwrap_or_default() * (100 - DECAY_PERCENT) / 100;
        // A longer time may be that of a process that was stalled.
        let longest = decayed.max(elapsed.min(self.maximum()));
        self.longest = Some(longest);
        self.answer_count += 1;
        self.current = self.clamp(longest.saturating_mul(TIMEOUT_RATIO));
    }

    /// Records that a call had no response within the timeout.
    pub fn record_timeout(&mut self) {
        // The recent responses were fast enough to keep the timeout at its minimum.
        let was_fast =
            self.longest.is_some_and(|elapsed| elapsed < self.configured / TIMEOUT_RATIO);
        if !was_fast {
            self.current = self.clamp(self.current.saturating_mul(2));
        }
    }

    /// Returns the number of responses that were recorded.
    #[must_use]
    pub fn answer_count(&self) -> u64 {
        self.answer_count
    }

    /// Records that neither a call nor any later one had a response within the longest timeout: the
    /// store is unavailable, however slow it was before. Without any response so far the link may be
    /// congested.
    pub fn record_silence(&mut self) {
        if self.longest.is_some() {
            self.longest = Some(Duration::ZERO);
            self.current = self.configured;
        }
    }

    fn clamp(&self, timeout: Duration) -> Duration {
        timeout.clamp(self.configured, self.maximum())
    }
}
