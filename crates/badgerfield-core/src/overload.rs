//! The load of a plain service's upstreams in the choice among them, and the delay before
//! rejected callers retry.
//!
//! This handles the case that a service receives about as many requests as it can serve, from
//! hundreds of VMs with a few requests a second each, and one of its upstreams is slower than the
//! others. No VM has enough requests in flight to notice that. So each process records response
//! times, reports them to others along with the delays of engines ([`crate::queueing_delay`]), and
//! takes them into account in the choice. A rejected request counts as one with a long response
//! time.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// The response time that is recorded for a rejected request, as a multiple of the route's
/// objective. The request would have waited longer than all queued requests.
const REJECTION_FACTOR: f64 = 1.5;
/// The range of the time after which rejected callers retry. Callers that were rejected together
/// would be rejected together again if they retried at the same time. After a longer delay, the
/// answer would be too late for them.
const RETRY_DELAY: (Duration, Duration) = (Duration::from_millis(250), Duration::from_millis(750));

/// Returns the response time to record for a request that an upstream rejected.
#[must_use]
pub fn rejection_wait(objective: Duration) -> Duration {
    objective.mul_f64(REJECTION_FACTOR)
}

/// Returns the time after which a rejected caller should retry, chosen by a random number.
#[must_use]
pub fn retry_delay(random: u64) -> Duration {
    let (min, max) = RETRY_DELAY;
    min + max.saturating_sub(min).mul_f64(fraction(random))
}

/// Returns the cost of an upstream's response time in the choice among the upstreams of a plain
/// service, in milliseconds. The random number is specific to the request and the upstream.
///
/// All processes have nearly the same response times, and would all send to the same upstream
/// until they receive reports that it is full. So each request scales the times at random.
pub(crate) fn wait_cost(response_ms: f64, random: u64) -> f64 {
    response_ms * fraction(xxh3_64(&random.to_be_bytes()))
}

/// Maps a random number to the range from 0 to 1.
fn fraction(random: u64) -> f64 {
    let [a, b, c, d, ..] = random.to_be_bytes();
    f64::from(u32::from_be_bytes([a, b, c, d])) / f64::from(u32::MAX)
}
