//! How long calls of the platform are waited for, over links of several kinds.

use std::time::Duration;

use badgerfield_core::adaptive_timeout::AdaptiveTimeout;

const SET: Duration = Duration::from_millis(700);

/// Makes calls whose answers take so long; returns how many were given up.
fn calls(patience: &mut AdaptiveTimeout, answers: &[u64]) -> usize {
    let mut given_up = 0;
    for millis in answers {
        let took = Duration::from_millis(*millis);
        if took <= patience.current() {
            patience.record_answer(took);
        } else {
            patience.record_timeout();
            given_up += 1;
        }
    }
    given_up
}

/// Shows that a process which starts behind a full link asks again and again for what is on its
/// way.
#[test]
fn answers_over_a_full_link_are_waited_for() {
    let mut patience = AdaptiveTimeout::new(SET);
    assert!(calls(&mut patience, &[1200; 20]) <= 1);
}

/// Shows that answers which grow slower with the load of a link are given up from some point on.
#[test]
fn the_time_grows_with_what_answers_take() {
    let mut patience = AdaptiveTimeout::new(SET);
    let answers: Vec<u64> = (0..40).map(|n| 200 + 40 * n).collect();
    assert_eq!(calls(&mut patience, &answers), 0);
}

/// Shows that a process takes longer to notice that the platform is back the longer it was away.
#[test]
fn a_platform_that_falls_silent_is_asked_as_often_as_before() {
    let mut patience = AdaptiveTimeout::new(SET);
    assert_eq!(calls(&mut patience, &[15; 10]), 0);
    for _ in 0..10 {
        patience.record_timeout();
    }
    assert_eq!(patience.current(), SET);
}

/// Shows that a long time stays after the link is free again, or passes any bound.
#[test]
fn the_time_is_bounded_and_falls_back() {
    let mut patience = AdaptiveTimeout::new(SET);
    for _ in 0..20 {
        patience.record_timeout();
    }
    assert_eq!(patience.current(), SET * 3);
    calls(&mut patience, &[20; 40]);
    assert_eq!(patience.current(), SET);
}
