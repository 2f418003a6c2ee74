//! Members that some of the others do not hear: which of them are removed from the view, and how soon
//! the next process of a removed one is a member.

use std::collections::BTreeSet;
use std::time::Duration;

use badgerfield_standin::fleet::{Fleet, FleetConfig};

const STEP: Duration = Duration::from_millis(50);
/// Twice the silence after which a member is removed, with the waits of all its observers.
const OBSERVED: Duration = Duration::from_secs(60);
/// The maximum time from the end of a member to its removal.
const REMOVAL_TIME: Duration = Duration::from_secs(25);
/// The time between the end of a process and the start of the next one on its VM.
const RESTART_DELAY: Duration = Duration::from_millis(800);
/// The maximum time from the removal of a member that runs until its VM is a member again.
const RETURN_TIME: Duration = Duration::from_secs(5);
/// How many members each fleet is tested with.
const SUBJECTS: usize = 4;

fn fleet(vms: usize, seed: u64) -> Fleet {
    let config = FleetConfig {
        regions: vec![vms],
        domains: 4,
        seals: true,
        noise_permille: 0,
        unordered_incarnations: true,
        seed,
        ..FleetConfig::default()
    };
    Fleet::started(config)
}

/// Returns the VMs in the order of the ring of members.
fn ring(fleet: &Fleet) -> Vec<usize> {
    let members = fleet.store.view().members;
    let vm_of = |id| (0..fleet.size()).find(|vm| fleet.incarnation(*vm) == Some(id));
    members.iter().filter_map(|m| vm_of(m.incarnation)).collect()
}

fn is_member(fleet: &Fleet, vm: usize) -> bool {
    let view = fleet.store.view();
    fleet.incarnation(vm).is_some_and(|id| view.has_member(id))
}

/// Returns members that are far from each other in the ring.
fn subjects(fleet: &Fleet) -> Vec<usize> {
    let ring = ring(fleet);
    ring.iter().step_by(ring.len() / SUBJECTS).copied().take(SUBJECTS).collect()
}

/// Advances the time until a condition holds, and returns how long it took.
fn wait_until(
    fleet: &mut Fleet,
    max: Duration,
    condition: impl Fn(&Fleet) -> bool,
) -> Option<Duration> {
    let start = fleet.now;
    while fleet.now.since(start) < max {
        fleet.advance(STEP);
        if condition(fleet) {
            return Some(fleet.now.since(start));
        }
    }
    None
}

/// Guards against a member that is removed, and ends, because the messages to one of its observers
/// are lost while all others hear it.
#[test]
fn member_that_others_hear_is_not_removed() {
    let mut removed = Vec::new();
    for (vms, seed) in [(72, 1), (72, 2), (72, 3), (300, 1)] {
        for distances in [&[1][..], &[1, 4], &[2, 8, 16]] {
            let mut fleet = fleet(vms, seed);
            let ring = ring(&fleet);
            let subjects = subjects(&fleet);
            for (place, vm) in ring.iter().enumerate().filter(|(_, vm)| subjects.contains(vm)) {
                let observers = distances.iter().map(|d| ring[(place + d) % ring.len()]);
                fleet.lost_paths.extend(observers.map(|observer| (*vm, observer)));
            }
            let is_removed = |fleet: &Fleet| subjects.iter().any(|vm| !is_member(fleet, *vm));
            let after = wait_until(&mut fleet, OBSERVED, is_removed);
            println!("{vms} VMs, seed {seed}, unheard at {distances:?}: removed after {after:?}");
            removed.extend(after.map(|after| (vms, seed, distances, after)));
        }
    }
    assert!(removed.is_empty(), "{removed:?}");
}

/// Guards against ended members that stay in the view: what they held is given back only after
/// their removal.
#[test]
fn ended_member_is_removed_in_time() {
    for (vms, seed) in [(72, 1), (72, 2), (300, 1)] {
        let mut fleet = fleet(vms, seed);
        let subjects = subjects(&fleet);
        let ids: BTreeSet<_> = subjects.iter().filter_map(|vm| fleet.incarnation(*vm)).collect();
        for vm in subjects {
            fleet.kill(vm);
        }
        let are_gone = |fleet: &Fleet| ids.iter().all(|id| !fleet.store.view().has_member(*id));
        let after = wait_until(&mut fleet, OBSERVED, are_gone);
        println!("{vms} VMs, seed {seed}: removed {after:?} after the end");
        assert!(after.is_some_and(|after| after <= REMOVAL_TIME), "{after:?}");
    }
}

/// Guards against a VM that is out of the fleet for long after nobody heard its process for a while:
/// that process has to learn of its removal and end, and the next one has to join.
#[test]
fn vm_that_was_silent_is_a_member_again_within_seconds() {
    for (vms, seed) in [(72, 1), (72, 2), (72, 3), (300, 1)] {
        let mut fleet = fleet(vms, seed);
        let vm = subjects(&fleet)[1];
        fleet.lost_paths = (0..vms).map(|other| (vm, other)).collect();
        let removed = wait_until(&mut fleet, OBSERVED, |fleet| !is_member(fleet, vm));
        assert!(removed.is_some(), "{vms} VMs, seed {seed}: the silent member stays");
        fleet.lost_paths.clear();
        let removed_at = fleet.now;
        let ended = wait_until(&mut fleet, OBSERVED, |fleet| !fleet.is_running(vm));
        assert!(ended.is_some(), "{vms} VMs, seed {seed}: the process does not end");
        fleet.advance(RESTART_DELAY);
        fleet.start(vm);
        let joined = wait_until(&mut fleet, OBSERVED, |fleet| is_member(fleet, vm));
        let total = fleet.now.since(removed_at);
        println!("{vms} VMs, seed {seed}: removed {removed:?}, ended {ended:?}, joined {joined:?}");
        assert!(joined.is_some() && total <= RETURN_TIME, "{vms} VMs, seed {seed}: {total:?}");
    }
}
