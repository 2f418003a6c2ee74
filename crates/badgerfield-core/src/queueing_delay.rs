//! How long requests wait at each upstream beyond what their prompts take to read, learned by
//! all processes together.
//!
//! One process of hundreds sees an upstream every half minute, too seldom to notice that it has
//! turned slow or is crowded; all of them together see it several times a second. So each passes
//! on the largest lags that it knows of, its own and others', with its signs of life. What was
//! seen last counts, and halves with time, so that an upstream that is avoided is soon tried
//! again by a few.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::amount::Time;

/// After how long a lag counts half. Trouble of upstreams on the users' sheets lasts 3 to 9 s.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// The weight of one observation against what is known.
const WEIGHT: f64 = 0.6;
/// The least and the most that one request takes a lag for, as parts of it.
const SPREAD: (f64, f64) = (0.5, 1.5);
/// A lag that an engine may have for a moment because some long prompts came together, in
/// milliseconds. It is over when the next request comes, and a request that is sent elsewhere
/// for it has its shared parts read again. With 60 ms the first sites lost half of their worth
/// (docs/POLICY.md); 500 was chosen, as were the other figures here, and not varied.
const IGNORED_MS: f64 = 500.0;
/// How many times the median of its service a lag may be before it counts: where all are
/// crowded, none is to be avoided.
const IGNORED_RATIO: f64 = 4.0;
/// From which lag on others are told, in milliseconds.
const NOTED_MS: f64 = 400.0;
/// The same for an upstream of a plain service, whose answers are wanted within 300 ms and
/// more by the users' sheets: half of that is where it begins to matter ([`crate::overload`]).
const NOTED_PLAIN_MS: f64 = 100.0;
/// How many upstreams one sign of life tells of: some 60 B, 1.2 KB/s at 20 signs a second,
/// and only while so many lag.
pub(crate) const MAX_NOTES: usize = 8;
/// The unit of a lag in a message, in milliseconds.
const LAG_UNIT_MS: f64 = 10.0;

/// Returns the lag that is ordinary for a service, from those of its upstreams.
pub(crate) fn ordinary(mut lags: Vec<f64>) -> f64 {
    let middle = lags.len() / 2;
    if lags.is_empty() {
        return IGNORED_MS;
    }
    let (_, median, _) = lags.select_nth_unstable_by(middle, f64::total_cmp);
    (*median * IGNORED_RATIO).max(IGNORED_MS)
}

/// What a sign of life says about one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DelayReport {
    /// Stands for the upstream.
    pub upstream: u32,
    /// The lag when it was seen, in units of 10 ms.
    pub lag: u16,
    /// How long ago that was, in milliseconds.
    pub age: u16,
}

/// The lag of one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Lag {
    millis: f64,
    /// When it was seen last, here or elsewhere.
    at: Option<Time>,
}

impl Lag {
    /// Returns the lag in milliseconds as it counts now.
    pub(crate) fn millis(&self, now: Time) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let halvings = now.since(at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.millis * (-halvings).exp2()
    }

    /// Returns by how many milliseconds the lag delays a request beyond what is ordinary for
    /// its service.
    ///
    /// Each request takes it for half to one and a half of what it is, by a random number: as
    /// a lag grows old a few requests try the upstream before all do, and what they see is
    /// told to the others.
    pub(crate) fn cost(&self, now: Time, ordinary: f64, draw: u64) -> f64 {
        let [byte, ..] = draw.to_be_bytes();
        let (least, most) = SPREAD;
        let part = least + (most - least) * f64::from(byte) / f64::from(u8::MAX);
        (self.millis(now) * part - ordinary).max(0.0)
    }

    /// Takes in how long a request waited beyond what its prompt takes to read.
    pub(crate) fn observe(&mut self, now: Time, seen: Duration) {
        let known = self.millis(now);
        self.millis = known + (seen.as_secs_f64() * 1e3 - known) * WEIGHT;
        self.at = Some(now);
    }

    /// Takes in what another process saw, if that is newer.
    pub(crate) fn hear(&mut self, now: Time, note: DelayReport) {
        let age = Duration::from_millis(note.age.into());
        let is_newer = self.at.is_none_or(|at| now.since(at) > age);
        if is_newer {
            self.millis = f64::from(note.lag) * LAG_UNIT_MS;
            self.at = Some(Time(now.0.saturating_sub(age)));
        }
    }

    /// Makes a note of the lag of an engine, or of an upstream of a plain service, if others
    /// should know of it.
    pub(crate) fn note(&self, now: Time, upstream: u32, is_plain: bool) -> Option<DelayReport> {
        let noted = if is_plain { NOTED_PLAIN_MS } else { NOTED_MS };
        let at = self.at.filter(|_| self.millis(now) >= noted)?;
        let age = u16::try_from(now.since(at).as_millis()).ok()?;
        let units = (self.millis / LAG_UNIT_MS).min(f64::from(u16::MAX));
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "within range")]
        let lag = units as u16;
        Some(DelayReport { upstream, lag, age })
    }
}
