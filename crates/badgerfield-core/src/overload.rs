//! Which part of the requests for an overloaded plain service is refused at once, and when
//! those who were refused should come back.
//!
//! The load that this answers: a service is asked for more than it can do, for seconds, by
//! hundreds of VMs of which each sees a few requests a second. Its upstreams queue what they
//! cannot work on. They do as much with a short queue as with a full one, but behind a full
//! one nobody gets an answer in time, and whoever is turned away by one upstream spends a try.
//! So a part of the requests is refused before it is sent, as large as keeps the wait
//! below what callers want.
//!
//! Each process decides alone, by the wait that all of them see ([`crate::lag`]): none knows
//! what the others send, but all know nearly the same wait, and so refuse nearly the same
//! part. The part follows the wait at once, and its mean over seconds, so that a lasting
//! overload is met without a lasting wait.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::amount::Time;

/// The part of the objective that a request may take before others are refused: the
/// rest is for the spread of the work itself and for what is known late.
const AIM: f64 = 0.6;
/// How many times what its work takes in calm a request may take before others are refused:
/// a service whose answers always take most of the objective is not overloaded by that.
const USUAL_RATIO: f64 = 2.0;
/// By which part of the objective a rank is refused before the one above it: callers of
/// a higher rank are refused only when that did not help.
const RANK_STEP: f64 = 0.03;
/// The lowest aim of any rank, as a part of the objective.
const LEAST_AIM: f64 = 0.3;
/// The wait beyond the aim for which all would be refused, in seconds. What a process knows
/// is about half a second old, and a queue grows by as much as comes too much in that time; a
/// shorter span makes the fleet swing between too many and too few.
const SPAN_S: f64 = 0.6;
/// The time over which a wait that stays beyond the aim is made up for, in seconds.
const SETTLE_S: f64 = 3.0;
/// The longest time between two requests that counts as one step, in seconds.
const LONGEST_STEP_S: f64 = 0.5;
/// The largest part that is refused: some must go out, or nobody learns that the wait is over.
const MOST: f64 = 0.8;
/// The time that a request which is turned away is counted for, in parts of the objective:
/// it would have waited longer than for all that is queued.
const TURNED_AWAY: f64 = 1.5;
/// How long a service counts as overloaded, whatever its work takes, after one of its
/// upstreams turned a request away: a VM of a large fleet sees that every few seconds.
const FULL_FOR: Duration = Duration::from_secs(10);
/// The weight of one answer in what work takes in calm.
const USUAL_WEIGHT: f64 = 0.1;
/// When refused callers come back at the soonest, in seconds; some come at a time before.
const COME_BACK_S: f64 = 0.4;
/// How much later they come back for the whole of what is refused, in seconds: the more is
/// too much, the longer it takes until there is room for those who come again.
const COME_BACK_SPAN_S: f64 = 1.2;
/// The least and the most of that time, as parts of it, so that callers who were refused
/// together do not come back together.
const COME_BACK_SPREAD: (f64, f64) = (0.5, 1.5);

/// What this process refuses of the requests for one service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Throttle {
    /// The part that has been needed of late, from 0 to 1.
    level: f64,
    /// The part that is refused now.
    share: f64,
    /// When that was decided.
    at: Time,
    /// What work takes in calm, in seconds.
    usual: Option<f64>,
    /// When a request was turned away last.
    full_at: Option<Time>,
}

impl Throttle {
    /// Takes in how long a request takes at present, at the upstream where it takes the
    /// least, and tells whether the next one is sent; `draw` is a random number.
    pub fn admits(&mut self, now: Time, took: Duration, want: Want, draw: u64) -> bool {
        let step = now.since(self.at).as_secs_f64().min(LONGEST_STEP_S);
        self.at = now;
        let Some(aim) = self.aim(now, want) else {
            return true;
        };
        let beyond = (took.as_secs_f64() - aim) / SPAN_S;
        self.level = (self.level + beyond * step / SETTLE_S).clamp(0.0, MOST);
        self.share = (self.level + beyond).clamp(0.0, MOST);
        part_of(draw) >= self.share
    }

    /// Returns how long a request may take before others are refused, in seconds; nothing
    /// while it is not known what work takes.
    fn aim(&self, now: Time, want: Want) -> Option<f64> {
        let part = (AIM - RANK_STEP * f64::from(want.rank)).max(LEAST_AIM);
        let aim = part * want.objective.as_secs_f64();
        if self.full_at.is_some_and(|at| now.since(at) < FULL_FOR) {
            return Some(aim);
        }
        Some(aim.max(self.usual? * USUAL_RATIO))
    }

    /// Notes how long a request took that an upstream answered.
    pub fn answered(&mut self, span: Duration) {
        let span = span.as_secs_f64();
        let usual = self.usual.unwrap_or(span);
        // While some are refused, answers take longer than the work.
        let counts = span < usual || self.share <= 0.0;
        let weight = if counts { USUAL_WEIGHT } else { 0.0 };
        self.usual = Some(usual + (span - usual) * weight);
    }

    /// Notes that an upstream turned a request away; returns the time that this counts for.
    pub fn turned_away(&mut self, now: Time, objective: Duration) -> Duration {
        self.full_at = Some(now);
        objective.mul_f64(TURNED_AWAY)
    }

    /// Returns the part that is refused.
    #[must_use]
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns when a caller who is refused should come back; `draw` is a random number.
    #[must_use]
    pub fn come_back(&self, draw: u64) -> Duration {
        let (least, most) = COME_BACK_SPREAD;
        let spread = least + (most - least) * part_of(draw);
        Duration::from_secs_f64((COME_BACK_S + COME_BACK_SPAN_S * self.share) * spread)
    }
}

/// What the caller of a request wants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Want {
    /// The time within which an answer is wanted.
    pub objective: Duration,
    /// The rank of the request; 0 goes first.
    pub rank: u8,
}

/// Returns what a request's wait at an upstream counts for in the choice among those of a plain
/// service, in milliseconds; `draw` is a random number of the request and the upstream.
///
/// All processes know nearly the same waits, and would all send to the same upstream until
/// they hear that it is full. So each request takes a wait for a part of what it is, by chance.
pub(crate) fn wait_cost(millis: f64, draw: u64) -> f64 {
    millis * part_of(xxh3_64(&draw.to_be_bytes()))
}

/// Returns a number from 0 to 1 for a random one.
fn part_of(draw: u64) -> f64 {
    let [a, b, c, d, ..] = draw.to_be_bytes();
    f64::from(u32::from_be_bytes([a, b, c, d])) / f64::from(u32::MAX)
}
