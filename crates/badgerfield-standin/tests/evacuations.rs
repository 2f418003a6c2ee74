//! How word of an evacuated failure domain reaches every VM, and that none believes less later.

use std::time::Duration;

use badgerfield_core::ids::Domain;
use badgerfield_standin::fleet::{Fleet, Shape};

/// By when every VM must know, with a calm platform. The deployments this is built
/// for allow 5 s.
const AIM: Duration = Duration::from_millis(1000);
/// How long a look lasts while a change goes round.
const STEP: Duration = Duration::from_millis(10);

fn fleet(vms: usize, noise: u64, seed: u64) -> Fleet {
    Fleet::started(Shape { regions: vec![vms], seals: true, noise, seed, ..Shape::default() })
}

fn domain(name: &str) -> Domain {
    name.parse().expect("the name is valid")
}

/// Lets time pass until so many VMs believe a domain to be evacuated; returns how long it took.
fn until(fleet: &mut Fleet, domain: &Domain, count: usize) -> Duration {
    let mut took = Duration::ZERO;
    while fleet.evacuated_at(domain) != count {
        assert!(took < Duration::from_secs(8), "{} of {count}", fleet.evacuated_at(domain));
        fleet.advance(STEP);
        took += STEP;
    }
    took
}

#[test]
fn every_vm_knows_within_the_aim() {
    for vms in [6, 87, 300] {
        let mut fleet = fleet(vms, 10, 1);
        let zone = domain("d-1");
        let before = fleet.messages().get("evacuations").copied().unwrap_or_default();
        assert_eq!(before, (0, 0), "nothing is said while nothing is evacuated");
        assert!(fleet.evacuate(&zone, true));
        let (there, sent) = (until(&mut fleet, &zone, vms), fleet.messages()["evacuations"]);
        assert!(fleet.evacuate(&zone, false));
        let back = until(&mut fleet, &zone, 0);
        println!("{vms} VMs: known after {there:?}, back after {back:?}, {sent:?} messages, bytes");
        assert!(there <= AIM && back <= AIM, "{vms} VMs: {there:?}, {back:?}");
        let vms = u64::try_from(vms).expect("few");
        assert!(sent.0 <= 6 * vms, "{sent:?} messages are more than a few a VM");
    }
}

#[test]
fn a_vm_that_starts_while_the_platform_is_away_learns_it_from_peers() {
    for vms in [6, 87] {
        let mut fleet = fleet(vms, 0, 2);
        let (one, two) = (domain("d-1"), domain("d-2"));
        fleet.evacuate(&one, true);
        fleet.evacuate(&two, true);
        until(&mut fleet, &two, vms);
        fleet.evacuate(&two, false);
        until(&mut fleet, &two, 0);
        // It joins, and then loses what it knew with its process.
        fleet.kill(3);
        fleet.platform.down = true;
        fleet.advance(Duration::from_millis(500));
        fleet.platform.down = false;
        fleet.start(3);
        fleet.advance(Duration::from_secs(3));
        assert!(fleet.believes(3, &one), "{vms} VMs");
        assert!(!fleet.believes(3, &two), "{vms} VMs: an older state came back");
    }
}

#[test]
fn a_change_that_no_watch_told_is_found_by_reading() {
    // The platform may forget its history, or cut a watch, at any moment.
    for vms in [6, 87] {
        let mut fleet = fleet(vms, 0, 3);
        let zone = domain("d-1");
        fleet.platform.cut.insert(0);
        assert!(fleet.evacuate(&zone, true));
        fleet.advance(Duration::from_millis(100));
        assert_eq!(fleet.evacuated_at(&zone), 0, "no watch told it");
        fleet.platform.cut.clear();
        let took = until(&mut fleet, &zone, vms);
        assert!(took <= Duration::from_secs(4), "{vms} VMs: {took:?}");
    }
}

#[test]
fn many_changes_in_a_row_leave_all_with_the_last() {
    for seed in 0..5 {
        let mut fleet = fleet(48, 50, seed);
        let zones = [domain("d-1"), domain("d-2"), domain("d-3")];
        for turn in 0..12 {
            for (n, zone) in zones.iter().enumerate() {
                fleet.evacuate(zone, (turn + n) % 3 != 0);
                fleet.advance(Duration::from_millis(20));
            }
            if turn == 6 {
                fleet.kill(7);
                fleet.start(7);
            }
        }
        fleet.evacuate(&zones[0], true);
        fleet.evacuate(&zones[1], false);
        fleet.evacuate(&zones[2], true);
        fleet.advance(Duration::from_secs(4));
        assert_eq!(zones.iter().map(|z| fleet.evacuated_at(z)).collect::<Vec<_>>(), [48, 0, 48]);
    }
}
