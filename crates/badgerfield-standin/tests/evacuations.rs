//! Evacuations of failure domains: updates must reach all VMs, and no VM may return to an earlier
//! state.

use std::time::Duration;

use badgerfield_core::ids::Domain;
use badgerfield_standin::fleet::{Fleet, Shape};

/// The time within which an update must reach all VMs if there are no faults. Users require 5 s.
const UPDATE_TIMEOUT: Duration = Duration::from_millis(1000);
/// The interval at which the VMs are checked while an update is distributed.
const STEP: Duration = Duration::from_millis(10);

fn fleet(vms: usize, noise: u64, seed: u64) -> Fleet {
    Fleet::started(Shape { regions: vec![vms], seals: true, noise, seed, ..Shape::default() })
}

fn domain(name: &str) -> Domain {
    name.parse().expect("the name is valid")
}

/// Advances the time until a domain is evacuated at `count` VMs. Returns how long that took.
fn wait_until_evacuated(fleet: &mut Fleet, domain: &Domain, count: usize) -> Duration {
    let mut took = Duration::ZERO;
    while fleet.evacuated_count(domain) != count {
        assert!(took < Duration::from_secs(8), "{} of {count}", fleet.evacuated_count(domain));
        fleet.advance(STEP);
        took += STEP;
    }
    took
}

/// Guards against slow updates and against updates with many messages, in fleets of several sizes.
#[test]
fn updates_reach_all_vms_in_time_with_few_messages() {
    for vms in [6, 87, 300] {
        let mut fleet = fleet(vms, 10, 1);
        let zone = domain("d-1");
        let before = fleet.messages().get("evacuations").copied().unwrap_or_default();
        assert_eq!(before, (0, 0), "updates were sent without an evacuation");
        assert!(fleet.evacuate(&zone, true));
        let (evacuated, sent) =
            (wait_until_evacuated(&mut fleet, &zone, vms), fleet.messages()["evacuations"]);
        assert!(fleet.evacuate(&zone, false));
        let restored = wait_until_evacuated(&mut fleet, &zone, 0);
        println!(
            "{vms} VMs: evacuated after {evacuated:?}, restored after {restored:?}, \
             {sent:?} messages, bytes"
        );
        assert!(
            evacuated <= UPDATE_TIMEOUT && restored <= UPDATE_TIMEOUT,
            "{vms} VMs: {evacuated:?}, {restored:?}"
        );
        let vms = u64::try_from(vms).expect("few VMs");
        assert!(sent.0 <= 6 * vms, "{sent:?} messages and bytes for {vms} VMs");
    }
}

/// A restarted process has lost its state. Peers must send it the evacuations in force, and no
/// earlier state.
#[test]
fn restarted_vm_receives_evacuations_from_peers() {
    for vms in [6, 87] {
        let mut fleet = fleet(vms, 0, 2);
        let (one, two) = (domain("d-1"), domain("d-2"));
        fleet.evacuate(&one, true);
        fleet.evacuate(&two, true);
        wait_until_evacuated(&mut fleet, &two, vms);
        fleet.evacuate(&two, false);
        wait_until_evacuated(&mut fleet, &two, 0);
        // The process of a member is killed, and its knowledge of evacuations is lost.
        fleet.kill(3);
        fleet.platform.down = true;
        fleet.advance(Duration::from_millis(500));
        fleet.platform.down = false;
        fleet.start(3);
        fleet.advance(Duration::from_secs(3));
        assert!(fleet.is_evacuated_at(3, &one), "{vms} VMs");
        assert!(!fleet.is_evacuated_at(3, &two), "{vms} VMs: an earlier state is in force again");
    }
}

/// The store may compact its history or close a watch at any time. VMs must find missed changes by
/// reading the store.
#[test]
fn change_missed_by_all_watches_is_found_by_reading() {
    for vms in [6, 87] {
        let mut fleet = fleet(vms, 0, 3);
        let zone = domain("d-1");
        fleet.platform.cut_regions.insert(0);
        assert!(fleet.evacuate(&zone, true));
        fleet.advance(Duration::from_millis(100));
        assert_eq!(fleet.evacuated_count(&zone), 0, "a watch has reported the change");
        fleet.platform.cut_regions.clear();
        let took = wait_until_evacuated(&mut fleet, &zone, vms);
        assert!(took <= Duration::from_secs(4), "{vms} VMs: {took:?}");
    }
}

/// Updates may be lost, duplicated or reordered. All VMs must end with the newest state of each
/// domain, whatever order the updates arrive in.
#[test]
fn all_vms_end_with_the_newest_of_many_changes() {
    for seed in 0..5 {
        let mut fleet = fleet(48, 50, seed);
        let zones = [domain("d-1"), domain("d-2"), domain("d-3")];
        for round in 0..12 {
            for (n, zone) in zones.iter().enumerate() {
                fleet.evacuate(zone, (round + n) % 3 != 0);
                fleet.advance(Duration::from_millis(20));
            }
            if round == 6 {
                fleet.kill(7);
                fleet.start(7);
            }
        }
        fleet.evacuate(&zones[0], true);
        fleet.evacuate(&zones[1], false);
        fleet.evacuate(&zones[2], true);
        fleet.advance(Duration::from_secs(4));
        assert_eq!(zones.iter().map(|z| fleet.evacuated_count(z)).collect::<Vec<_>>(), [48, 0, 48]);
    }
}
