//! Tests of the adaptive timeout for calls to the store.

use std::time::Duration;

use badgerfield_core::adaptive_timeout::AdaptiveTimeout;

const CONFIGURED: Duration = Duration::from_millis(700);

/// Makes calls with these response times in milliseconds; returns the number of timeouts.
fn make_calls(timeout: &mut AdaptiveTimeout, response_times: &[u64]) -> usize {
    let mut timeouts = 0;
    for millis in response_times {
        let elapsed = Duration::from_millis(*millis);
        if elapsed <= timeout.current() {
            timeout.record_answer(elapsed);
        } else {
            timeout.record_timeout();
            timeouts += 1;
        }
    }
    timeouts
}

/// Guards against a process that starts behind a congested link and repeats calls while their
/// responses are still in transit.
#[test]
fn timeout_grows_on_a_congested_link() {
    let mut timeout = AdaptiveTimeout::new(CONFIGURED);
    assert!(make_calls(&mut timeout, &[1200; 20]) <= 1);
}

/// Guards against timeouts of calls whose response times grow slowly with the load on a link.
#[test]
fn timeout_follows_response_times() {
    let mut timeout = AdaptiveTimeout::new(CONFIGURED);
    let response_times: Vec<u64> = (0..40).map(|n| 200 + 40 * n).collect();
    assert_eq!(make_calls(&mut timeout, &response_times), 0);
}

/// Guards against a timeout that grows during an outage of the store, which would delay the
/// detection that the store is available again.
#[test]
fn timeout_stays_when_fast_responses_stop() {
    let mut timeout = AdaptiveTimeout::new(CONFIGURED);
    assert_eq!(make_calls(&mut timeout, &[15; 10]), 0);
    for _ in 0..10 {
        timeout.record_timeout();
    }
    assert_eq!(timeout.current(), CONFIGURED);
}

/// Guards against a process that was stalled for long, takes that for the store's response time and
/// waits for an unavailable store for as long as possible.
#[test]
fn timeout_stays_long_after_a_stall() {
    let mut timeout = AdaptiveTimeout::new(CONFIGURED);
    timeout.record_answer(Duration::from_mins(1));
    assert_eq!(make_calls(&mut timeout, &[20; 25]), 0);
    assert_eq!(timeout.current(), CONFIGURED);
}

/// Guards against calls that wait long for a store that was slow and is unavailable.
#[test]
fn timeout_stays_long_when_slow_responses_stop() {
    let mut timeout = AdaptiveTimeout::new(CONFIGURED);
    make_calls(&mut timeout, &[1200; 20]);
    assert!(timeout.current() > CONFIGURED);
    timeout.record_timeout();
    timeout.record_silence();
    for _ in 0..10 {
        timeout.record_timeout();
    }
    assert_eq!(timeout.current(), CONFIGURED);
}

/// Guards against a timeout that exceeds its maximum, or stays long when the link is free again.
#[test]
fn timeout_is_bounded_and_decreases_again() {
    let mut timeout = AdaptiveTimeout::new(CONFIGURED);
    for _ in 0..20 {
        timeout.record_timeout();
    }
    assert_eq!(timeout.current(), CONFIGURED * 3);
    make_calls(&mut timeout, &[20; 40]);
    assert_eq!(timeout.current(), CONFIGURED);
}
