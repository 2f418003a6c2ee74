//! What a fleet says to itself across the links between its regions.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerfield_core::ids::Domain;
use badgerfield_standin::fleet::{Fleet, Shape};

type Counts = BTreeMap<&'static str, (u64, u64)>;

fn started(regions: &[usize]) -> Fleet {
    let shape = Shape { regions: regions.to_vec(), seals: true, noise: 0, ..Shape::default() };
    let mut fleet = Fleet::new(shape);
    // Processes of all regions start at the same time, so that their numbers are mixed.
    for vm in 0..fleet.size() {
        fleet.start(vm * STRIDE % fleet.size());
    }
    fleet.advance(Duration::from_secs(10));
    fleet
}

/// Returns what crossed since an earlier count.
fn since(fleet: &Fleet, before: &Counts) -> Counts {
    let less = |kind: &str, now: &(u64, u64)| {
        let earlier = before.get(kind).copied().unwrap_or_default();
        (now.0 - earlier.0, now.1 - earlier.1)
    };
    fleet.cross_region_messages().iter().map(|(kind, now)| (*kind, less(kind, now))).collect()
}

/// Has no divisor in common with the sizes of the fleets.
const STRIDE: usize = 37;
const SHAPES: [&[usize]; 2] = [&[30, 30], &[100, 100, 100]];

/// Counts what crosses by kind, for docs/CAPACITY.md; and bounds it in calm.
#[test]
fn what_crosses_between_regions_by_kind() {
    for shape in SHAPES {
        let mut fleet = started(shape);
        println!("{shape:?} start: {:?}", fleet.cross_region_messages());
        let before = fleet.cross_region_messages().clone();
        fleet.advance(Duration::from_secs(5));
        let calm = since(&fleet, &before);
        println!("{shape:?} 5 s of calm: {calm:?}");
        let bytes: u64 = calm.values().map(|(_, bytes)| bytes).sum();
        let vms = u64::try_from(fleet.size()).expect("few");
        assert!(bytes / 5 <= 2_000 * vms, "{bytes} in 5 s");
    }
}

/// News that all must know crossed a link once for each member.
#[test]
fn news_crosses_once_for_each_region_and_follower() {
    for shape in SHAPES {
        let mut fleet = started(shape);
        let before = fleet.cross_region_messages().clone();
        let domain: Domain = "d0-1".parse().expect("a name");
        assert!(fleet.evacuate(&domain, true));
        fleet.advance(Duration::from_secs(1));
        assert_eq!(fleet.evacuated_count(&domain), fleet.size(), "all know");
        let crossed = since(&fleet, &before).get("evacuations").copied().unwrap_or_default();
        println!("{shape:?} an evacuation: {crossed:?}");
        // Three members follow the platform, and each tells one member of each other region;
        // the rest are digests that were compared before all knew.
        let most = u64::try_from(9 * (shape.len() - 1)).expect("few");
        assert!(crossed.0 <= most, "{crossed:?} of {}", fleet.size());
    }
}
