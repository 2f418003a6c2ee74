//! Reports of silent members, where the observers of a member differ.

use std::time::Duration;

use badgerfield_standin::fleet::{Fleet, FleetConfig};

/// The member that only some hear.
const MEMBER: usize = 5;
const SPAN: Duration = Duration::from_secs(20);
const STEP: Duration = Duration::from_millis(50);

fn fleet(vms: usize, seed: u64) -> Fleet {
    Fleet::started(FleetConfig {
        regions: vec![vms],
        seals: true,
        noise_permille: 0,
        seed,
        ..FleetConfig::default()
    })
}

/// Guards against observers that contradict each other with a broadcast at every tick, and against
/// members that differ for long about a member that some observers hear and others do not.
#[test]
fn observers_that_differ_broadcast_seldom_and_come_to_one_condition() {
    for (vms, seed) in [(60, 1), (60, 2), (300, 1)] {
        let mut fleet = fleet(vms, seed);
        fleet.advance(Duration::from_secs(3));
        fleet.lost_paths = (0..vms).filter(|vm| vm % 2 == 0).map(|vm| (MEMBER, vm)).collect();
        let sent = |fleet: &Fleet| fleet.messages().get("conditions").map_or(0, |sent| sent.0);
        let before = sent(&fleet);
        let (mut differing, mut longest, mut left_out) = (Duration::ZERO, Duration::ZERO, 0);
        let mut took = Duration::ZERO;
        while took < SPAN {
            fleet.advance(STEP);
            took += STEP;
            let listing = (0..vms).filter(|vm| fleet.directory_of(*vm).contains(&MEMBER)).count();
            left_out += usize::from(listing < vms);
            let differ = listing != 0 && listing != vms;
            differing = if differ { differing + STEP } else { Duration::ZERO };
            longest = longest.max(differing);
        }
        let broadcasts = (sent(&fleet) - before) / u64::try_from(vms - 1).expect("few VMs");
        println!(
            "{vms} VMs, seed {seed}: {broadcasts} broadcasts, differing {longest:?}, {left_out}"
        );
        assert!(broadcasts <= SPAN.as_secs(), "{vms} VMs, seed {seed}: {broadcasts} broadcasts");
        assert!(longest <= Duration::from_secs(1), "{vms} VMs, seed {seed}: differ {longest:?}");
    }
}

/// Guards against observers that rely on each other so long that a member that has ended stays in
/// the directory.
#[test]
fn member_that_nobody_hears_leaves_the_directory_in_time() {
    for (vms, seed) in [(60, 1), (60, 2), (300, 1)] {
        let mut fleet = fleet(vms, seed);
        fleet.lost_paths = (0..vms).filter(|vm| vm % 2 == 0).map(|vm| (MEMBER, vm)).collect();
        fleet.advance(Duration::from_secs(8));
        fleet.kill(MEMBER);
        fleet.advance(Duration::from_secs(4));
        let others = (0..vms).filter(|vm| *vm != MEMBER);
        let listing = others.filter(|vm| fleet.directory_of(*vm).contains(&MEMBER)).count();
        assert_eq!(listing, 0, "{vms} VMs, seed {seed}: VMs that list a member that has ended");
    }
}
