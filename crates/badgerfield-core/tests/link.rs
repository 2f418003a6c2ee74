//! A full link: who is refused, and when.

use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::link::LinkQueue;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Offers so many streams of 10 kB a second for some seconds; returns how many of each rank
/// are admitted, and the longest wait.
fn offer(megabits: f64, per_second: u64) -> ([u32; 2], Duration) {
    let mut link = LinkQueue::new(megabits);
    let mut admitted = [0, 0];
    let mut longest = Duration::ZERO;
    for n in 0..per_second * 5 {
        let now = at(n * 1000 / per_second);
        let rank = u8::from(n % 2 == 0);
        if !link.admits(now, rank) {
            continue;
        }
        admitted[usize::from(rank)] += 1;
        for _ in 0..10 {
            link.send(now, 1000);
        }
        longest = longest.max(link.wait(now));
    }
    (admitted, longest)
}

#[test]
fn a_link_with_room_refuses_nobody() {
    let (admitted, _) = offer(10.0, 80);
    assert_eq!(admitted, [200, 200]);
}

#[test]
fn a_full_link_refuses_the_lower_rank_first_and_keeps_waits_short() {
    let (admitted, longest) = offer(10.0, 160);
    assert_eq!(admitted[0], 400, "requests of rank 0 were refused");
    assert!((100..300).contains(&admitted[1]), "{admitted:?}");
    assert!(longest < Duration::from_millis(200), "{longest:?}");
}

#[test]
fn a_link_twice_too_full_keeps_waits_short_too() {
    let (admitted, longest) = offer(10.0, 400);
    assert!(longest < Duration::from_millis(200), "{longest:?}");
    // 1.19 MB/s carry 111 streams of 10.7 kB a second.
    let sum = admitted[0] + admitted[1];
    assert!((520..620).contains(&sum), "{admitted:?}");
}

#[test]
fn an_unknown_rate_refuses_nobody() {
    let (admitted, longest) = offer(0.0, 1000);
    assert_eq!(admitted, [2500, 2500]);
    assert_eq!(longest, Duration::ZERO);
}

#[test]
fn what_waited_is_gone_after_a_while() {
    let mut link = LinkQueue::new(10.0);
    link.send(at(0), 1_000_000);
    assert!(!link.admits(at(100), 0));
    assert!(link.admits(at(1000), 0));
}
