//! Accounts that are restricted to some regions, for requests of the product's own API.

use std::collections::BTreeSet;
use std::time::Duration;

use badgerfield_core::residency::Residency;
use badgerfield_standin::fleet::{End, Fleet, Shape, Wish, region_name};

/// The first VM of each of the two regions. All upstreams are in region 0.
const VM_IN_REGION_0: usize = 0;
const VM_IN_REGION_1: usize = 4;

fn restrict(fleet: &mut Fleet, regions: &[usize]) {
    let regions: BTreeSet<_> = regions.iter().map(|region| region_name(*region)).collect();
    let is_applied = fleet.apply(|set| {
        for account in set.accounts.values_mut() {
            account.regions = Residency::restricted_to(regions.clone());
        }
    });
    assert!(is_applied);
    fleet.advance(Duration::from_secs(6));
}

fn keyed(key: &str) -> Wish {
    Wish {
        budget: 0,
        key: Some(key.to_owned()),
        once: false,
        service: false,
        prompt: 100,
        output: 100,
    }
}

/// Returns how many bytes of ended answers a VM stores for replay.
fn answer_bytes(fleet: &Fleet, vm: usize) -> usize {
    fleet.node(vm).expect("the VM runs").status().answer_bytes
}

fn dispatch_count(fleet: &Fleet) -> u64 {
    fleet.truth.dispatches.values().map(|(count, _)| count).sum()
}

/// Requests must not be sent to upstreams outside the account's regions. They are refused at once.
#[test]
fn nothing_runs_outside_the_regions_of_an_account() {
    for (regions, cause) in [(vec![1], "no_upstream"), (vec![], "no_region_allowed")] {
        let mut fleet = Fleet::started(Shape::default());
        restrict(&mut fleet, &regions);
        for vm in 0..fleet.size() {
            fleet.ask(vm, Wish { key: None, ..keyed("") });
            fleet.ask(vm, keyed(&format!("key-{vm}")));
        }
        fleet.advance(Duration::from_secs(2));
        for asked in fleet.asked.values() {
            let Some((End::Refused(refusal), _)) = &asked.end else {
                panic!("{:?} was not refused", asked.end);
            };
            assert_eq!(refusal.cause.code(), cause);
        }
        assert_eq!(dispatch_count(&fleet), 0);
        assert_eq!(fleet.faults, Vec::<String>::new());
    }
}

/// A VM outside the account's regions may forward an answer, but must not store it for replay.
#[test]
fn an_answer_is_not_stored_outside_the_regions() {
    let mut fleet = Fleet::started(Shape::default());
    restrict(&mut fleet, &[0]);
    for vm in [VM_IN_REGION_0, VM_IN_REGION_1] {
        fleet.ask(vm, keyed(&format!("key-{vm}")));
    }
    fleet.advance(Duration::from_secs(3));
    let whole =
        |asked: &badgerfield_standin::fleet::Asked| matches!(asked.end, Some((End::Whole(_), _)));
    assert!(fleet.asked.values().all(whole), "a request was not served");
    assert!(answer_bytes(&fleet, VM_IN_REGION_0) > 0);
    assert_eq!(answer_bytes(&fleet, VM_IN_REGION_1), 0);
    // Answers stored under older templates are removed if newer templates exclude the region.
    restrict(&mut fleet, &[1]);
    assert_eq!(answer_bytes(&fleet, VM_IN_REGION_0), 0);
}

/// A stream must not be resumed at its upstream if newer templates exclude the upstream's region.
#[test]
fn a_stream_is_not_resumed_at_an_excluded_upstream() {
    let mut fleet = Fleet::started(Shape::default());
    fleet.ask(VM_IN_REGION_0, keyed("key"));
    fleet.advance(Duration::from_millis(200));
    assert_eq!(dispatch_count(&fleet), 1);
    fleet.kill(VM_IN_REGION_0);
    restrict(&mut fleet, &[1]);
    let retry = fleet.ask(VM_IN_REGION_1, keyed("key"));
    fleet.advance(Duration::from_secs(10));
    let end = fleet.asked.get(&retry).and_then(|asked| asked.end.clone());
    assert!(!matches!(end, Some((End::Whole(_), _)) | None), "{end:?}");
    assert_eq!(dispatch_count(&fleet), 1);
    assert_eq!(fleet.faults, Vec::<String>::new());
}
