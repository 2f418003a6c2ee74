//! Bounds on the messages that a fleet sends between its regions.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerfield_core::ids::Domain;
use badgerfield_standin::fleet::{Fleet, Shape};

type Counts = BTreeMap<&'static str, (u64, u64)>;

fn started(regions: &[usize]) -> Fleet {
    let shape = Shape { regions: regions.to_vec(), seals: true, noise: 0, ..Shape::default() };
    let mut fleet = Fleet::new(shape);
    // Processes of different regions start in turn, so that their incarnations are mixed.
    for vm in 0..fleet.size() {
        fleet.start(vm * STRIDE % fleet.size());
    }
    fleet.advance(Duration::from_secs(10));
    fleet
}

/// Returns the counts of messages between regions since an earlier count.
fn counts_since(fleet: &Fleet, before: &Counts) -> Counts {
    let less = |kind: &str, now: &(u64, u64)| {
        let earlier = before.get(kind).copied().unwrap_or_default();
        (now.0 - earlier.0, now.1 - earlier.1)
    };
    fleet.cross_region_messages().iter().map(|(kind, now)| (*kind, less(kind, now))).collect()
}

/// The step at which VMs start; it has no common divisor with the sizes of the fleets.
const STRIDE: usize = 37;
const SHAPES: [&[usize]; 2] = [&[30, 30], &[100, 100, 100]];

/// Bounds the bytes between regions without faults or requests. Prints the messages by kind, for
/// docs/CAPACITY.md.
#[test]
fn idle_fleet_sends_few_bytes_between_regions() {
    for shape in SHAPES {
        let mut fleet = started(shape);
        println!("{shape:?} start: {:?}", fleet.cross_region_messages());
        let before = fleet.cross_region_messages().clone();
        fleet.advance(Duration::from_secs(5));
        let idle = counts_since(&fleet, &before);
        println!("{shape:?} 5 s without requests: {idle:?}");
        let bytes: u64 = idle.values().map(|(_, bytes)| bytes).sum();
        let vms = u64::try_from(fleet.size()).expect("few VMs");
        assert!(bytes / 5 <= 2_000 * vms, "{bytes} bytes in 5 s");
    }
}

/// An update for all members was sent over the link between regions once for each member.
#[test]
fn updates_are_sent_once_per_region_and_watcher() {
    for shape in SHAPES {
        let mut fleet = started(shape);
        let before = fleet.cross_region_messages().clone();
        let domain: Domain = "d0-1".parse().expect("a name");
        assert!(fleet.evacuate(&domain, true));
        fleet.advance(Duration::from_secs(1));
        assert_eq!(fleet.evacuated_count(&domain), fleet.size(), "not all VMs have the update");
        let crossed = counts_since(&fleet, &before).get("evacuations").copied().unwrap_or_default();
        println!("{shape:?} an evacuation: {crossed:?}");
        // Three members watch the platform, and each sends the update to one member of each other
        // region. Other messages compare digests before all members have the update.
        let max = u64::try_from(9 * (shape.len() - 1)).expect("few VMs");
        assert!(crossed.0 <= max, "{crossed:?} of {}", fleet.size());
    }
}
