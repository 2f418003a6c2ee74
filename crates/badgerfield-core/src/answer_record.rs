//! How the answers of an upstream have ended lately.
//!
//! Nothing in an answer without a length tells whether it is whole. How the other answers of its
//! upstream ended does not tell either, but how likely it is.

use std::fmt;
use std::time::Duration;

use crate::amount::Time;

/// The half-life of what was recorded. An upstream that breaks off answers may be repaired, or its
/// fault may concern few requests.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// The number of failed or broken answers from which they count, so that a single one counts for a
/// half-life.
const MIN_COUNT: f64 = 0.5;
/// The share of failed and broken answers from which an upstream fails.
const FAILED_SHARE: f64 = 0.05;
/// The share of broken answers from which an upstream breaks them off.
const BROKEN_SHARE: f64 = 0.1;

/// How an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEnd {
    /// It was whole as far as known.
    Whole,
    /// It was an error, or never began.
    Failed,
    /// It began and was provably not whole.
    BrokenOff,
}

/// What the recent answers of an upstream say about the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reliability {
    /// Nothing bad.
    Sound,
    /// It fails some requests.
    Fails,
    /// It breaks off some answers.
    BreaksOff,
}

/// The ends of the recent answers of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AnswerRecord {
    whole: f64,
    failed: f64,
    broken: f64,
    /// The time to which the counts have decayed.
    as_of: Time,
}

impl AnswerRecord {
    /// Records the end of an answer.
    pub fn record(&mut self, now: Time, end: AnswerEnd) {
        *self = self.decayed(now);
        match end {
            AnswerEnd::Whole => self.whole += 1.0,
            AnswerEnd::Failed => self.failed += 1.0,
            AnswerEnd::BrokenOff => self.broken += 1.0,
        }
    }

    /// Returns what the answers say about the next one.
    #[must_use]
    pub fn reliability(&self, now: Time) -> Reliability {
        let Self { whole, failed, broken, .. } = self.decayed(now);
        let all = whole + failed + broken;
        let counts = |bad: f64, share: f64| bad >= MIN_COUNT && bad >= all * share;
        if counts(broken, BROKEN_SHARE) {
            Reliability::BreaksOff
        } else if counts(failed + broken, FAILED_SHARE) {
            Reliability::Fails
        } else {
            Reliability::Sound
        }
    }

    /// Returns the record with its counts decayed to the present.
    #[must_use]
    pub fn decayed(&self, now: Time) -> Self {
        let age = now.since(self.as_of).as_secs_f64();
        let rest = (-age / HALF_LIFE.as_secs_f64()).exp2();
        Self {
            whole: self.whole * rest,
            failed: self.failed * rest,
            broken: self.broken * rest,
            as_of: self.as_of.max(now),
        }
    }
}

impl fmt::Display for AnswerRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1}/{:.1}/{:.1}", self.whole, self.failed, self.broken)
    }
}
