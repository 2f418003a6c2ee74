//! How the load of upstreams of plain services counts in the choice among them, and when those
//! who are turned away come back.
//!
//! The load that this answers: a service is asked for about as much as it can do, by hundreds of
//! VMs of which each sees a few requests a second, and one of its upstreams is slower than the
//! others. No VM has enough requests under way to see that. So each learns how long answers
//! take, tells others with the lags of engines ([`crate::queueing_delay`]), and weighs that time in the
//! choice. What upstreams turn away counts as a long answer.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// The time to answer that is noted for a request which is turned away, in parts of the route's
/// objective: it would have waited longer than all that is queued.
const TURNED_AWAY: f64 = 1.5;
/// The least and the most time after which callers come back who were turned away. They left
/// together, and would be turned away together again if they came back so; a longer wait would
/// make the answer come too late for them.
const COME_BACK: (Duration, Duration) = (Duration::from_millis(250), Duration::from_millis(750));

/// Returns the time to answer that is noted for a request which an upstream turned away.
#[must_use]
pub fn rejection_wait(objective: Duration) -> Duration {
    objective.mul_f64(TURNED_AWAY)
}

/// Returns when a caller who was turned away should come back; `draw` is a random number.
#[must_use]
pub fn retry_delay(draw: u64) -> Duration {
    let (least, most) = COME_BACK;
    least + most.saturating_sub(least).mul_f64(fraction(draw))
}

/// Returns what a request's wait at an upstream counts for in the choice among those of a plain
/// service, in milliseconds; `draw` is a random number of the request and the upstream.
///
/// All processes know nearly the same waits, and would all send to the same upstream until
/// they hear that it is full. So each request takes a wait for a part of what it is, by chance.
pub(crate) fn wait_cost(millis: f64, draw: u64) -> f64 {
    millis * fraction(xxh3_64(&draw.to_be_bytes()))
}

/// Returns the number from 0 to 1 that a random draw stands for.
fn fraction(draw: u64) -> f64 {
    let [a, b, c, d, ..] = draw.to_be_bytes();
    f64::from(u32::from_be_bytes([a, b, c, d])) / f64::from(u32::MAX)
}
