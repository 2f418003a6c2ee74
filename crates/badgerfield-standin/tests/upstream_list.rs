//! Distribution of the list of upstreams: which VMs watch the store, how updates are broadcast,
//! and how members compare and fetch lists.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::event::Command;
use badgerfield_core::ids::Incarnation;
use badgerfield_core::message::{Envelope, Heartbeat, Message, UpstreamUpdate};
use badgerfield_core::request_mix::{EngineDemand, EngineDivision};
use badgerfield_core::upstream_list::{ListVersion, UpstreamListChanges};
use badgerfield_core::{Event, Node};
use badgerfield_standin::fleet::{Fleet, FleetConfig};

const VMS: usize = 48;

fn fleet(vms: usize) -> Fleet {
    Fleet::started(FleetConfig {
        regions: vec![vms],
        seals: true,
        noise_permille: 0,
        ..FleetConfig::default()
    })
}

/// Returns how many VMs watch the store if each last received the list `list_age` ago.
fn watcher_count(fleet: &Fleet, list_age: Option<Duration>) -> usize {
    let now = Time::from_millis(5_000);
    (0..fleet.size()).filter(|vm| node(fleet, *vm).watches_store(now, list_age)).count()
}

fn node(fleet: &Fleet, vm: usize) -> &Node {
    fleet.node(vm).expect("the VM runs")
}

/// Passes a heartbeat of a neighbor to a node, with the version of the neighbor's list. Returns the
/// commands of the node.
fn handle_heartbeat(node: &Node, from: Incarnation, list: ListVersion) -> Vec<Command> {
    handle_heartbeat_at(5_000, node, from, list)
}

fn handle_heartbeat_at(
    millis: u64,
    node: &Node,
    from: Incarnation,
    list: ListVersion,
) -> Vec<Command> {
    let epoch = node.view().epoch;
    let heartbeat = Heartbeat {
        epoch,
        version: node.template_version(),
        upstream_list: list,
        ..Heartbeat::default()
    };
    let address = ([127, 0, 0, 1], 1).into();
    let message = Message::Heartbeat(heartbeat);
    let envelope = Envelope { from, sender_address: address, to: node.id(), message };
    node.handle(Time::from_millis(millis), Event::Peer(envelope))
}

/// Returns the update that a watcher of the store broadcasts for these changes.
fn update_of(changes: UpstreamListChanges) -> UpstreamUpdate {
    UpstreamUpdate { changes, since: 0, version: ListVersion::default(), reach: 0 }
}

/// Returns the revision since which changes of the list are requested, if any are.
fn fetched_since(commands: &[Command]) -> Option<u64> {
    commands.iter().find_map(|command| match command {
        Command::Send(_, Message::FetchUpstreams { since }) => Some(*since),
        _ => None,
    })
}

fn fetches_list(commands: &[Command]) -> bool {
    fetched_since(commands).is_some()
}

/// If all VMs watched the store, its load would grow with the fleet. If no other VM started to
/// watch when updates stop, a failure of the usual watchers would leave the list outdated.
#[test]
fn more_vms_watch_the_store_if_no_updates_arrive() {
    let fleet = fleet(VMS);
    assert_eq!(watcher_count(&fleet, Some(Duration::from_millis(400))), 3);
    // A leaving upstream is announced three seconds ahead.
    assert_eq!(watcher_count(&fleet, Some(Duration::from_millis(1900))), 12);
    assert_eq!(watcher_count(&fleet, Some(Duration::from_millis(2200))), VMS);
    assert_eq!(watcher_count(&fleet, None), VMS);
}

/// A small fleet has too few VMs to rely on three watchers.
#[test]
fn all_vms_of_a_small_fleet_watch_the_store() {
    let fleet = fleet(6);
    assert_eq!(watcher_count(&fleet, Some(Duration::from_millis(400))), 6);
}

/// Guards against a missed update that is never fetched, and against a fetch although the lists are
/// equal or the neighbor's list is older.
#[test]
fn a_newer_list_is_fetched_and_an_equal_one_confirms_the_revision() {
    let fleet = fleet(3);
    let (here, other) = (node(&fleet, 0), node(&fleet, 1).id());
    here.handle(
        Time::from_millis(5_000),
        Event::UpstreamListVersion(ListVersion { revision: 7, digest: 1 }, 1),
    );
    let older = handle_heartbeat(here, other, ListVersion { revision: 6, digest: 2 });
    assert!(!fetches_list(&older), "{older:?}");
    let equal = handle_heartbeat(here, other, ListVersion { revision: 9, digest: 1 });
    assert!(equal.contains(&Command::ConfirmUpstreamList(9)), "{equal:?}");
    assert!(!fetches_list(&equal), "{equal:?}");
    // The newer changes may be in transit as a broadcast, so they are requested only at the next
    // heartbeat.
    let newer = handle_heartbeat(here, other, ListVersion { revision: 11, digest: 3 });
    assert!(!fetches_list(&newer), "{newer:?}");
    let next = handle_heartbeat_at(5_300, here, other, ListVersion { revision: 12, digest: 4 });
    assert!(fetches_list(&next), "{next:?}");
}

/// A VM that had missed one change fetched the whole list: 330 KB for 3,000 upstreams.
#[test]
fn only_missing_changes_are_fetched() {
    let fleet = fleet(3);
    let (here, other) = (node(&fleet, 0), node(&fleet, 1).id());
    here.handle(
        Time::from_millis(5_000),
        Event::UpstreamListVersion(ListVersion { revision: 7, digest: 1 }, 1),
    );
    let version = ListVersion { revision: 11, digest: 3 };
    assert_eq!(fetched_since(&handle_heartbeat(here, other, version)), None);
    assert_eq!(fetched_since(&handle_heartbeat_at(5_300, here, other, version)), Some(7));
    // The reply may be in transit, so the same changes are not requested from other members yet.
    let third = node(&fleet, 2).id();
    assert_eq!(fetched_since(&handle_heartbeat_at(5_310, here, third, version)), None);
    assert_eq!(fetched_since(&handle_heartbeat_at(5_450, here, third, version)), None);
    assert_eq!(fetched_since(&handle_heartbeat_at(5_700, here, third, version)), Some(7));
}

/// Guards against lists that stay different, and against a fetch of the whole list for each update
/// that shows the difference.
#[test]
fn the_whole_list_is_fetched_if_lists_differ_without_missing_changes() {
    let fleet = fleet(3);
    let (here, other) = (node(&fleet, 0), node(&fleet, 1).id());
    let at = Time::from_millis;
    here.handle(at(5_000), Event::UpstreamListVersion(ListVersion { revision: 7, digest: 1 }, 1));
    assert_eq!(fetched_since(&here.handle(at(5_000), Event::UpstreamListsDiffer(other))), Some(0));
    // Another update that shows the difference before the reply does not repeat the request.
    assert_eq!(fetched_since(&here.handle(at(5_500), Event::UpstreamListsDiffer(other))), None);
    assert_eq!(fetched_since(&here.handle(at(7_100), Event::UpstreamListsDiffer(other))), Some(0));
}

/// In a small fleet a watcher must send a change to each other member.
#[test]
fn changes_are_sent_to_all_members_of_a_small_fleet() {
    let fleet = fleet(4);
    let here = node(&fleet, 0);
    let changes = UpstreamListChanges {
        gone: vec![("u-1".parse().expect("a name"), 3)],
        ..UpstreamListChanges::default()
    };
    let commands =
        here.handle(Time::from_millis(5_000), Event::UpstreamChanges(update_of(changes)));
    let updates = commands
        .iter()
        .filter(|command| matches!(command, Command::Send(_, Message::UpstreamChanges(_))));
    assert_eq!(updates.count(), 3);
}

/// Guards against members that a broadcast does not reach or reaches twice, and against a broadcast
/// with more steps than the logarithm of the number of VMs.
#[test]
fn broadcast_reaches_each_member_of_a_large_fleet_once() {
    for vms in [17, 48, 100] {
        let fleet = fleet(vms);
        let now = Time::from_millis(5_000);
        let index: BTreeMap<_, _> = (0..vms).map(|vm| (node(&fleet, vm).id(), vm)).collect();
        let gone = vec![("u-1".parse().expect("a name"), 3)];
        let changes = UpstreamListChanges { gone, ..UpstreamListChanges::default() };
        let commands = node(&fleet, 0).handle(now, Event::UpstreamChanges(update_of(changes)));
        let mut waiting: Vec<_> = commands.into_iter().map(|command| (0, 1, command)).collect();
        let mut reached = vec![0; vms];
        let mut steps = 0;
        while let Some((from, step, command)) = waiting.pop() {
            let Command::Send(to, message @ Message::UpstreamChanges(_)) = command else {
                continue;
            };
            let vm = index[&to];
            reached[vm] += 1;
            steps = steps.max(step);
            let (from, address) = (node(&fleet, from).id(), ([127, 0, 0, 1], 1).into());
            let envelope = Envelope { from, sender_address: address, to, message };
            let commands = node(&fleet, vm).handle(now, Event::Peer(envelope));
            waiting.extend(commands.into_iter().map(|command| (vm, step + 1, command)));
        }
        assert!(reached[1..].iter().all(|count| *count == 1), "{vms}: {reached:?}");
        assert_eq!(reached[0], 0, "{vms}: the update returned to its sender");
        assert!(steps <= usize::BITS - vms.leading_zeros(), "{vms}: {steps} steps");
    }
}

/// If a broadcast went through a suspended member, members behind it would not receive the update.
#[test]
fn broadcast_bypasses_suspended_members() {
    let vms = 48;
    for suspended in [1, 7, 20, 31, 40] {
        let mut fleet = fleet(vms);
        fleet.suspend(suspended);
        // Longer than the four heartbeat intervals after which a member is suspected, and shorter
        // than the time after which it is removed.
        fleet.advance(Duration::from_secs(4));
        // Processes count time from their start, when the fleet's time is one second.
        let now = Time(fleet.now.0.saturating_sub(Duration::from_secs(1)));
        let index: BTreeMap<_, _> = (0..vms).map(|vm| (node(&fleet, vm).id(), vm)).collect();
        let changes = UpstreamListChanges {
            gone: vec![("u-1".parse().expect("a name"), 3)],
            ..Default::default()
        };
        let commands = node(&fleet, 0).handle(now, Event::UpstreamChanges(update_of(changes)));
        let mut waiting: Vec<_> = commands.into_iter().map(|command| (0, command)).collect();
        let mut reached = BTreeSet::from([0]);
        while let Some((from, command)) = waiting.pop() {
            let Command::Send(to, message @ Message::UpstreamChanges(_)) = command else {
                continue;
            };
            let vm = index[&to];
            if vm == suspended {
                continue;
            }
            reached.insert(vm);
            let (from, address) = (node(&fleet, from).id(), ([127, 0, 0, 1], 1).into());
            let envelope = Envelope { from, sender_address: address, to, message };
            let commands = node(&fleet, vm).handle(now, Event::Peer(envelope));
            waiting.extend(commands.into_iter().map(|command| (vm, command)));
        }
        assert_eq!(reached.len(), vms - 1, "with VM {suspended} suspended");
    }
}

/// If each VM divided the engines by its own requests only, VMs would use the engines differently.
#[test]
fn engine_demand_is_averaged_over_the_fleet() {
    let mut fleet = fleet(VMS);
    let mut divisions = Vec::new();
    for round in 0..20 {
        divisions.clear();
        for vm in 0..VMS {
            // Each VM receives a different part of the requests, and one VM has no threshold for
            // long prompts.
            let n = u32::try_from(vm).expect("few VMs");
            let threshold = if vm == 0 { 0 } else { 2700 };
            let own = EngineDemand {
                service: 7,
                short: n * 10,
                long: 500 - n * 10,
                long_threshold: threshold,
            };
            let commands = node(&fleet, vm).handle(fleet.now, Event::EngineDemand(vec![own]));
            divisions.extend(commands.into_iter().filter_map(|command| match command {
                Command::DivideEngines(needs) => {
                    needs.first().and_then(EngineDivision::from_demand)
                }
                _ => None,
            }));
        }
        assert!(
            round < 5 || divisions.len() == VMS,
            "{} of {VMS} VMs divide their engines",
            divisions.len()
        );
        fleet.advance(Duration::from_millis(500));
    }
    let shares: Vec<_> = divisions.iter().map(|division| division.short_share).collect();
    let min = shares.iter().copied().fold(f64::MAX, f64::min);
    let max = shares.iter().copied().fold(0.0, f64::max);
    // The mean demand of short prompts is 235 of 500. Without the average, shares would be between
    // 0 and 0.94.
    assert!((0.40..0.55).contains(&min) && (0.40..0.55).contains(&max), "{min} to {max}");
}
