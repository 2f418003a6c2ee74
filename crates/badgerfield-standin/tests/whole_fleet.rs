//! The start of a whole fleet, and how changes reach all of its VMs, at a size that takes seconds.
//! `badgerfield-standin fleet` measures the same at full size.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use badgerfield_core::Event;
use badgerfield_core::amount::Time;
use badgerfield_core::event::Command;
use badgerfield_core::message::{Envelope, Message, UpstreamUpdate};
use badgerfield_core::upstream_list::{ListVersion, UpstreamListChanges};
use badgerfield_standin::fleet::Fleet;
use badgerfield_standin::whole_fleet::{FleetSize, create, ready_count, start};

const SIZE: FleetSize = FleetSize { vms: 200, domains: 5, upstreams: 4000, budgets: 100, seed: 1 };
/// The time within which all VMs are ready after all have started.
const START_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum number of calls of the store for each VM that starts: one to read or write the view,
/// and two to announce itself over what an earlier process has left.
const MAX_CALLS_PER_VM: u64 = 4;

fn calls(fleet: &Fleet) -> u64 {
    fleet.store.reads + fleet.store.writes + fleet.listing.calls
}

fn started() -> Fleet {
    let mut fleet = create(SIZE);
    let (_, all) = start(&mut fleet);
    assert!(all.is_some_and(|span| span <= START_TIMEOUT), "ready after {all:?}");
    fleet
}

/// Guards against VMs that are not ready when callers come, because each of them asks the same
/// member to add it, and reads the templates and the whole list of upstreams from the store.
#[test]
fn all_vms_are_ready_soon_and_call_the_store_little() {
    let fleet = started();
    let calls = calls(&fleet);
    let max = MAX_CALLS_PER_VM * u64::try_from(SIZE.vms).expect("few VMs");
    assert!(calls <= max, "{calls} calls, at most {max}");
}

/// Guards against a fleet that does not come back after all its processes have ended: the view in
/// the store then names no process that runs.
#[test]
fn all_vms_are_ready_again_after_the_loss_of_all() {
    let mut fleet = started();
    fleet.advance_listing(Duration::from_secs(2));
    for vm in 0..SIZE.vms {
        fleet.kill(vm);
    }
    fleet.advance(Duration::from_secs(1));
    let before = calls(&fleet);
    let (_, all) = start(&mut fleet);
    assert!(all.is_some_and(|span| span <= START_TIMEOUT), "ready after {all:?}");
    let calls = calls(&fleet) - before;
    let max = MAX_CALLS_PER_VM * u64::try_from(SIZE.vms).expect("few VMs");
    assert!(calls <= max, "{calls} calls, at most {max}");
}

/// Guards against VMs that stay without the rest: those that start alone, into a fleet that runs.
#[test]
fn a_third_of_the_vms_joins_a_running_fleet() {
    let mut fleet = started();
    let third: Vec<_> = (0..SIZE.vms).filter(|vm| vm % 3 == 0).collect();
    for vm in &third {
        fleet.kill(*vm);
    }
    fleet.advance_listing(Duration::from_secs(2));
    for vm in &third {
        fleet.start(*vm);
    }
    fleet.advance_listing(START_TIMEOUT);
    assert_eq!(ready_count(&fleet), SIZE.vms);
}

/// A list of thousands of upstreams that appear and vanish all the time must not fill the tables
/// of all VMs, and what the fleet uses must be the same everywhere.
#[test]
fn all_vms_use_the_same_few_upstreams() {
    let mut fleet = started();
    // All upstreams have been listed by then.
    fleet.advance_listing(Duration::from_secs(30));
    // The last changes reach all VMs.
    fleet.listing.lapses_per_second = 0;
    fleet.advance_listing(Duration::from_secs(3));
    let known: BTreeSet<_> = (0..SIZE.vms).map(|vm| fleet.known_upstreams(vm)).collect();
    assert_eq!(known.len(), 1, "{known:?}");
    let most = known.last().copied().unwrap_or_default();
    assert!((512..700).contains(&most), "{most} of {} listed", fleet.listing.len());
}

/// Guards against requests to an upstream that has left, from VMs that never heard of it because
/// those that were to tell them had ended.
#[test]
fn a_leaving_upstream_is_known_everywhere_although_a_tenth_of_the_vms_has_ended() {
    let mut fleet = started();
    fleet.advance_listing(Duration::from_secs(5));
    for vm in (0..SIZE.vms).filter(|vm| vm % 10 == 3) {
        fleet.kill(vm);
    }
    // Longer than the silence after which a member is left out.
    fleet.advance_listing(Duration::from_secs(3));
    let (upstream, since) = fleet.leave_one_upstream(0).expect("upstreams are used");
    fleet.advance_listing(Duration::from_secs(2));
    let late: Vec<_> = fleet
        .leaving_known(&upstream)
        .into_iter()
        .filter(|known| known.is_none_or(|at| at.since(since) > Duration::from_millis(1500)))
        .collect();
    assert!(late.is_empty(), "{} VMs: {late:?}", late.len());
}

/// Each VM hears from few others. If only these left an ended VM out of the directory, all others
/// would send callers to it until it is removed from the view, 20 s later.
#[test]
fn no_directory_names_vms_that_ended_two_seconds_ago() {
    let mut fleet = started();
    fleet.advance_listing(Duration::from_secs(3));
    let ended: BTreeSet<_> = (0..SIZE.vms).filter(|vm| vm % 6 == 1).collect();
    for vm in &ended {
        fleet.kill(*vm);
    }
    fleet.advance_listing(Duration::from_millis(3200));
    let mut named = BTreeMap::new();
    for vm in (0..SIZE.vms).filter(|vm| !ended.contains(vm)) {
        let count = fleet.directory_of(vm).iter().filter(|vm| ended.contains(vm)).count();
        *named.entry(count).or_insert(0) += 1;
    }
    // All observers of a VM may have ended with it, so that nobody reports it.
    let most = named.keys().max().copied().unwrap_or_default();
    assert!(most <= 1, "number of VMs by how many ended ones they name: {named:?}");
}

/// Returns the VMs that an update reaches that one VM sends to all, if some do not forward it.
fn reached(fleet: &Fleet, origin: usize, silent: &BTreeSet<usize>) -> BTreeSet<usize> {
    // Processes count time from their start, when the fleet's time is one second.
    let now = Time(fleet.now.0.saturating_sub(Duration::from_secs(1)));
    let node = |vm: usize| fleet.node(vm).expect("the VM runs");
    let index: BTreeMap<_, _> = (0..fleet.size()).map(|vm| (node(vm).id(), vm)).collect();
    let gone = vec![("u-1".parse().expect("a name"), 3)];
    let changes = UpstreamListChanges { gone, ..UpstreamListChanges::default() };
    let update = UpstreamUpdate { changes, since: 0, version: ListVersion::default(), reach: 0 };
    let commands = node(origin).handle(now, Event::UpstreamChanges(update));
    let mut waiting: Vec<_> = commands.into_iter().map(|command| (origin, command)).collect();
    let mut reached = BTreeSet::from([origin]);
    while let Some((from, command)) = waiting.pop() {
        let Command::Send(to, message @ Message::UpstreamChanges(_)) = command else {
            continue;
        };
        let vm = index[&to];
        if silent.contains(&vm) {
            continue;
        }
        reached.insert(vm);
        let (from, address) = (node(from).id(), ([127, 0, 0, 1], 1).into());
        let envelope = Envelope { from, sender_address: address, to, message };
        let commands = node(vm).handle(now, Event::Peer(envelope));
        waiting.extend(commands.into_iter().map(|command| (vm, command)));
    }
    reached
}

/// A broadcast sends at doubling distances in the ring. With a bound on the distances at which
/// members are watched, a silent one beyond it kept the update from up to half of the fleet.
#[test]
fn broadcast_bypasses_a_silent_member_at_any_distance() {
    const VMS: usize = 300;
    let mut fleet = Fleet::started(badgerfield_standin::fleet::FleetConfig {
        regions: vec![VMS],
        seals: true,
        noise_permille: 0,
        ..Default::default()
    });
    // Members are ordered by incarnation, and incarnations grow with the number of the VM.
    let distances = [1, 2, 64, 128, 256];
    for distance in distances {
        fleet.suspend(VMS - distance);
    }
    fleet.advance(Duration::from_secs(4));
    let silent: BTreeSet<_> = distances.iter().map(|distance| VMS - distance).collect();
    let reached = reached(&fleet, 0, &silent);
    let missed: Vec<_> =
        (0..VMS).filter(|vm| !reached.contains(vm) && !silent.contains(vm)).collect();
    assert!(missed.is_empty(), "{} VMs: {missed:?}", missed.len());
}
