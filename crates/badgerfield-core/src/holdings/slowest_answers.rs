//! How long answers take at a link that is full for seconds at a time.

use std::time::Duration;

use crate::amount::Time;

/// How long a slow answer counts. The link of a busy VM is full for seconds at a time, and what the
/// VM needs then must have arrived before.
const SLOW_ANSWER_WINDOW: Duration = Duration::from_secs(20);

/// The longest time that an answer took lately.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SlowestAnswers {
    first_at: Option<Time>,
    /// The longest time in the older and the newer half of [`SLOW_ANSWER_WINDOW`].
    longest: (Duration, Duration),
    /// When the newer half began.
    window_start: Time,
}

impl SlowestAnswers {
    /// Records how long an answer took.
    pub(super) fn record(&mut self, now: Time, answer_time: Duration) {
        self.first_at.get_or_insert(now);
        let span = now.since(self.window_start);
        if span >= SLOW_ANSWER_WINDOW / 2 {
            let old = if span >= SLOW_ANSWER_WINDOW { Duration::ZERO } else { self.longest.1 };
            self.longest = (old, Duration::ZERO);
            self.window_start = now;
        }
        self.longest.1 = self.longest.1.max(answer_time);
    }

    /// Returns the longest time, or `None` if answers have been observed for less than half of
    /// [`SLOW_ANSWER_WINDOW`]: the first answers are quick even where the link fills up afterwards.
    pub(super) fn longest(self, now: Time) -> Option<Duration> {
        let is_known = self.first_at.is_some_and(|at| now.since(at) >= SLOW_ANSWER_WINDOW / 2);
        is_known.then(|| self.longest.0.max(self.longest.1))
    }
}
