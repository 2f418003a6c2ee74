//! How word of the list of upstreams goes round: who follows it, and how lists are compared.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::event::Command;
use badgerfield_core::ids::Incarnation;
use badgerfield_core::message::{Envelope, Heartbeat, Message, UpstreamUpdate};
use badgerfield_core::request_mix::{EngineDemand, EngineDivision};
use badgerfield_core::upstream_list::{ListVersion, UpstreamListChanges};
use badgerfield_core::{Event, Node};
use badgerfield_standin::fleet::{Fleet, Shape};

const VMS: usize = 48;

fn fleet(vms: usize) -> Fleet {
    Fleet::started(Shape { regions: vec![vms], seals: true, noise: 0, ..Shape::default() })
}

/// Returns how many VMs follow the platform that heard of it so long ago.
fn followers(fleet: &Fleet, heard: Option<Duration>) -> usize {
    let now = Time::from_millis(5_000);
    (0..fleet.size()).filter(|vm| node(fleet, *vm).watches_store(now, heard)).count()
}

fn node(fleet: &Fleet, vm: usize) -> &Node {
    fleet.node(vm).expect("the VM runs")
}

/// Lets a node hear a neighbour's sign of life with a mark of its list; returns the orders.
fn hear(node: &Node, from: Incarnation, list: ListVersion) -> Vec<Command> {
    hear_at(5_000, node, from, list)
}

fn hear_at(millis: u64, node: &Node, from: Incarnation, list: ListVersion) -> Vec<Command> {
    let epoch = node.view().epoch;
    let beat = Heartbeat {
        epoch,
        version: node.template_version(),
        upstream_list: list,
        ..Heartbeat::default()
    };
    let address = ([127, 0, 0, 1], 1).into();
    let message = Message::Heartbeat(beat);
    let envelope = Envelope { from, sender_address: address, to: node.id(), message };
    node.handle(Time::from_millis(millis), Event::Peer(envelope))
}

/// Returns what a follower of the platform tells of changes.
fn followed(changes: UpstreamListChanges) -> UpstreamUpdate {
    UpstreamUpdate { changes, since: 0, version: ListVersion::default(), reach: 0 }
}

/// Returns since which revision the list is asked for, if it is.
fn asked_since(orders: &[Command]) -> Option<u64> {
    orders.iter().find_map(|order| match order {
        Command::Send(_, Message::FetchUpstreams { since }) => Some(*since),
        _ => None,
    })
}

fn asks_for_list(orders: &[Command]) -> bool {
    asked_since(orders).is_some()
}

#[test]
fn a_few_follow_the_platform_and_more_when_they_hear_nothing() {
    let fleet = fleet(VMS);
    assert_eq!(followers(&fleet, Some(Duration::from_millis(400))), 3);
    // An upstream that leaves gives three seconds' notice.
    assert_eq!(followers(&fleet, Some(Duration::from_millis(1900))), 12);
    assert_eq!(followers(&fleet, Some(Duration::from_millis(2200))), VMS);
    assert_eq!(followers(&fleet, None), VMS);
}

#[test]
fn everybody_follows_the_platform_in_a_small_fleet() {
    let fleet = fleet(6);
    assert_eq!(followers(&fleet, Some(Duration::from_millis(400))), 6);
}

#[test]
fn a_newer_list_is_fetched_and_an_equal_one_confirms_what_is_known() {
    let fleet = fleet(3);
    let (here, other) = (node(&fleet, 0), node(&fleet, 1).id());
    here.handle(
        Time::from_millis(5_000),
        Event::UpstreamListVersion(ListVersion { revision: 7, digest: 1 }),
    );
    let older = hear(here, other, ListVersion { revision: 6, digest: 2 });
    assert!(!asks_for_list(&older), "{older:?}");
    let equal = hear(here, other, ListVersion { revision: 9, digest: 1 });
    assert!(equal.contains(&Command::ConfirmUpstreamList(9)), "{equal:?}");
    assert!(!asks_for_list(&equal), "{equal:?}");
    // What is newer may be under way by the broadcast; it is asked for at the next sign of life.
    let newer = hear(here, other, ListVersion { revision: 11, digest: 3 });
    assert!(!asks_for_list(&newer), "{newer:?}");
    let next = hear_at(5_300, here, other, ListVersion { revision: 12, digest: 4 });
    assert!(asks_for_list(&next), "{next:?}");
}

#[test]
fn only_what_is_missing_is_asked_for() {
    // A VM that had missed one change fetched the whole list: 330 KB for 3,000 upstreams.
    let fleet = fleet(3);
    let (here, other) = (node(&fleet, 0), node(&fleet, 1).id());
    here.handle(
        Time::from_millis(5_000),
        Event::UpstreamListVersion(ListVersion { revision: 7, digest: 1 }),
    );
    let mark = ListVersion { revision: 11, digest: 3 };
    assert_eq!(asked_since(&hear(here, other, mark)), None);
    assert_eq!(asked_since(&hear_at(5_300, here, other, mark)), Some(7));
    // The answer is under way: nobody else is asked for the same.
    let third = node(&fleet, 2).id();
    assert_eq!(asked_since(&hear_at(5_310, here, third, mark)), None);
    assert_eq!(asked_since(&hear_at(5_450, here, third, mark)), None);
    assert_eq!(asked_since(&hear_at(5_700, here, third, mark)), Some(7));
}

#[test]
fn a_list_that_differs_though_nothing_is_missing_is_asked_for_whole() {
    let fleet = fleet(3);
    let (here, other) = (node(&fleet, 0), node(&fleet, 1).id());
    let at = Time::from_millis;
    here.handle(at(5_000), Event::UpstreamListVersion(ListVersion { revision: 7, digest: 1 }));
    assert_eq!(asked_since(&here.handle(at(5_000), Event::UpstreamListsDiffer(other))), Some(0));
    // Not again with each piece of news that finds it different before the answer.
    assert_eq!(asked_since(&here.handle(at(5_500), Event::UpstreamListsDiffer(other))), None);
    assert_eq!(asked_since(&here.handle(at(7_100), Event::UpstreamListsDiffer(other))), Some(0));
}

#[test]
fn what_is_news_goes_to_all_neighbours() {
    let fleet = fleet(4);
    let here = node(&fleet, 0);
    let changes = UpstreamListChanges {
        gone: vec![("u-1".parse().expect("a name"), 3)],
        ..UpstreamListChanges::default()
    };
    let orders = here.handle(Time::from_millis(5_000), Event::UpstreamChanges(followed(changes)));
    let told = orders
        .iter()
        .filter(|order| matches!(order, Command::Send(_, Message::UpstreamChanges(_))));
    assert_eq!(told.count(), 3);
}

#[test]
fn news_reaches_every_member_of_a_large_fleet_once() {
    for vms in [17, 48, 100] {
        let fleet = fleet(vms);
        let now = Time::from_millis(5_000);
        let index: BTreeMap<_, _> = (0..vms).map(|vm| (node(&fleet, vm).id(), vm)).collect();
        let gone = vec![("u-1".parse().expect("a name"), 3)];
        let changes = UpstreamListChanges { gone, ..UpstreamListChanges::default() };
        let orders = node(&fleet, 0).handle(now, Event::UpstreamChanges(followed(changes)));
        let mut waiting: Vec<_> = orders.into_iter().map(|order| (0, 1, order)).collect();
        let mut reached = vec![0; vms];
        let mut steps = 0;
        while let Some((from, step, order)) = waiting.pop() {
            let Command::Send(to, message @ Message::UpstreamChanges(_)) = order else {
                continue;
            };
            let vm = index[&to];
            reached[vm] += 1;
            steps = steps.max(step);
            let (from, address) = (node(&fleet, from).id(), ([127, 0, 0, 1], 1).into());
            let envelope = Envelope { from, sender_address: address, to, message };
            let orders = node(&fleet, vm).handle(now, Event::Peer(envelope));
            waiting.extend(orders.into_iter().map(|order| (vm, step + 1, order)));
        }
        assert!(reached[1..].iter().all(|count| *count == 1), "{vms}: {reached:?}");
        assert_eq!(reached[0], 0, "{vms}: it came back");
        assert!(steps <= usize::BITS - vms.leading_zeros(), "{vms}: {steps} steps");
    }
}

#[test]
fn news_passes_over_members_that_are_silent() {
    let vms = 48;
    for frozen in [1, 7, 20, 31, 40] {
        let mut fleet = fleet(vms);
        fleet.freeze(frozen);
        // Longer than the four beats after which a member is in doubt, and less than a removal.
        fleet.advance(Duration::from_secs(4));
        // Processes count time from their start, a second after the fleet's.
        let now = Time(fleet.now.0.saturating_sub(Duration::from_secs(1)));
        let index: BTreeMap<_, _> = (0..vms).map(|vm| (node(&fleet, vm).id(), vm)).collect();
        let changes = UpstreamListChanges {
            gone: vec![("u-1".parse().expect("a name"), 3)],
            ..Default::default()
        };
        let orders = node(&fleet, 0).handle(now, Event::UpstreamChanges(followed(changes)));
        let mut waiting: Vec<_> = orders.into_iter().map(|order| (0, order)).collect();
        let mut reached = BTreeSet::from([0]);
        while let Some((from, order)) = waiting.pop() {
            let Command::Send(to, message @ Message::UpstreamChanges(_)) = order else {
                continue;
            };
            let vm = index[&to];
            if vm == frozen {
                continue;
            }
            reached.insert(vm);
            let (from, address) = (node(&fleet, from).id(), ([127, 0, 0, 1], 1).into());
            let envelope = Envelope { from, sender_address: address, to, message };
            let orders = node(&fleet, vm).handle(now, Event::Peer(envelope));
            waiting.extend(orders.into_iter().map(|order| (vm, order)));
        }
        assert_eq!(reached.len(), vms - 1, "with VM {frozen} frozen");
    }
}

#[test]
fn what_engines_are_needed_for_is_blended_over_the_fleet() {
    let mut fleet = fleet(VMS);
    let mut told = Vec::new();
    for round in 0..20 {
        told.clear();
        for vm in 0..VMS {
            // Every VM sees another part of the traffic, and one knows no border.
            let n = u32::try_from(vm).expect("few VMs");
            let long_from = if vm == 0 { 0 } else { 2700 };
            let own = EngineDemand {
                service: 7,
                short: n * 10,
                long: 500 - n * 10,
                long_threshold: long_from,
            };
            let orders = node(&fleet, vm).handle(fleet.now, Event::EngineDemand(vec![own]));
            told.extend(orders.into_iter().filter_map(|order| match order {
                Command::DivideEngines(needs) => {
                    needs.first().and_then(EngineDivision::from_demand)
                }
                _ => None,
            }));
        }
        assert!(round < 5 || told.len() == VMS, "{} of {VMS} divide", told.len());
        fleet.advance(Duration::from_millis(500));
    }
    let shares: Vec<_> = told.iter().map(|division| division.short_share).collect();
    let least = shares.iter().copied().fold(f64::MAX, f64::min);
    let most = shares.iter().copied().fold(0.0, f64::max);
    // The mean need of short prompts is 235 of 500; alone VMs would take from 0 to 0.94.
    assert!((0.40..0.55).contains(&least) && (0.40..0.55).contains(&most), "{least} to {most}");
}
