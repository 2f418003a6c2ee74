//! The signs by which a VM notices that it is overloaded.

use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::vm_load::VmLoad;

const TICK: Duration = Duration::from_millis(50);

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Guards against a VM whose processor is spent and that stays in the directory.
#[test]
fn a_vm_whose_timers_are_late_is_overloaded_until_they_are_on_time() {
    let mut load = VmLoad::default();
    let mut now = Time::default();
    for _ in 0..10 {
        now = now.after(millis(250));
        load.record_timer(now, TICK, millis(250));
    }
    assert!(load.is_overloaded(now));
    for _ in 0..20 {
        now = now.after(TICK);
        load.record_timer(now, TICK, TICK);
    }
    // It recovers only after a while, so that callers do not swing back and forth.
    assert!(load.is_overloaded(now));
    for _ in 0..60 {
        now = now.after(TICK);
        load.record_timer(now, TICK, TICK);
        load.is_overloaded(now);
    }
    assert!(!load.is_overloaded(now));
}

/// A single stall, as of a VM that was suspended for a moment, is no overload.
#[test]
fn a_single_late_timer_is_no_overload() {
    let mut load = VmLoad::default();
    let mut now = Time::default();
    for n in 0..40 {
        let actual = if n == 20 { millis(170) } else { TICK };
        now = now.after(actual);
        load.record_timer(now, TICK, actual);
        assert!(!load.is_overloaded(now), "{n}");
    }
}

/// Guards against a VM behind a full link that stays in the directory.
#[test]
fn a_vm_whose_connections_open_late_is_overloaded() {
    let mut load = VmLoad::default();
    let now = Time::from_millis(5_000);
    for n in 0..12 {
        load.record_connect(now, millis(if n % 4 == 0 { 5 } else { 400 }));
    }
    assert!(load.is_overloaded(now));
}

/// One upstream that is out of reach says nothing about the VM.
#[test]
fn a_few_late_connections_are_no_overload() {
    let mut load = VmLoad::default();
    let now = Time::from_millis(5_000);
    for _ in 0..5 {
        load.record_connect(now, millis(900));
    }
    assert!(!load.is_overloaded(now), "few connections");
    for _ in 0..8 {
        load.record_connect(now, millis(4));
    }
    assert!(!load.is_overloaded(now), "most are on time");
}
