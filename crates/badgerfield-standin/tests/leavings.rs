//! An upstream that leaves accepts requests for a limited time after its entry says so. All VMs must
//! know it in time, whatever their links are like.

use std::time::Duration;

use badgerfield_standin::fleet::{Fleet, Link};

/// The number of upstreams in the platform's list.
const UPSTREAMS: usize = 140;
/// How long an upstream accepts requests after its entry says that it leaves.
const LEAVE_NOTICE: Duration = Duration::from_secs(3);
/// The bandwidth of a full link, in bits per second. Only the delay matters here.
const LINK_BITS_PER_SECOND: f64 = 10e6;
/// How many upstreams leave, one after the other.
const LEAVINGS: usize = 6;

fn fleet(vms: usize, seed: u64) -> Fleet {
    Fleet::started_with_listing(vms, UPSTREAMS, seed, Duration::from_secs(12))
}

/// Lets upstreams leave, and returns the longest time until a VM knew it; `None` if it never did.
fn longest_delay(fleet: &mut Fleet, vm: usize) -> Option<Duration> {
    let mut longest = Duration::ZERO;
    for n in 0..LEAVINGS {
        fleet.advance_listing(Duration::from_millis(500 + 170 * u64::try_from(n).ok()?));
        let (upstream, since) = fleet.leave_one_upstream(0)?;
        fleet.advance_listing(LEAVE_NOTICE);
        let known_at = fleet.leaving_known(&upstream).get(vm).copied().flatten()?;
        longest = longest.max(known_at.since(since));
    }
    Some(longest)
}

/// Returns a VM that does not watch the list itself.
fn other_vm(fleet: &Fleet) -> usize {
    let watchers = fleet.list_watchers();
    (1..fleet.size()).find(|vm| !watchers.contains(vm)).expect("most VMs do not watch the list")
}

/// Guards against a leaving that takes several trips to a VM whose link makes each message wait: a
/// request that the VM sends waits there as well.
#[test]
fn leavings_are_known_in_time_behind_a_full_link() {
    let mut late = Vec::new();
    for (vms, seed, wait_ms) in [(60, 1, 1200), (60, 2, 1200), (60, 2, 500), (300, 1, 1200)] {
        let mut fleet = fleet(vms, seed);
        let busy = other_vm(&fleet);
        let wait = Duration::from_millis(wait_ms);
        fleet.full_links.insert(busy, Link::new(wait, LINK_BITS_PER_SECOND));
        fleet.advance_listing(Duration::from_secs(3));
        let delay = longest_delay(&mut fleet, busy);
        println!("{vms} VMs, seed {seed}, {wait_ms} ms: {delay:?}");
        if delay.is_none_or(|delay| delay + wait > LEAVE_NOTICE) {
            late.push((vms, seed, wait_ms, delay));
        }
    }
    assert!(late.is_empty(), "{late:?}");
}

/// Guards against broadcasts that leave out a VM whose own messages do not get through.
#[test]
fn leavings_are_known_in_time_at_a_vm_that_seems_silent() {
    for (vms, seed) in [(60, 1), (60, 2), (300, 1)] {
        let mut fleet = fleet(vms, seed);
        let mute = other_vm(&fleet);
        fleet.lost_paths = (0..vms).map(|other| (mute, other)).collect();
        fleet.advance_listing(Duration::from_secs(3));
        let delay = longest_delay(&mut fleet, mute);
        println!("{vms} VMs, seed {seed}: {delay:?}");
        let is_in_time = delay.is_some_and(|delay| delay <= LEAVE_NOTICE / 2);
        assert!(is_in_time, "{vms} VMs, seed {seed}: {delay:?}");
    }
}
