//! Accounts that may be served in some regions only, on the product's own interface.

use std::collections::BTreeSet;
use std::time::Duration;

use badgerfield_core::residency::Residency;
use badgerfield_standin::fleet::{End, Fleet, Shape, Wish, region_name};

/// The first VMs of the two regions; all upstreams stand in region 0.
const NEAR: usize = 0;
const FAR: usize = 4;

fn bind(fleet: &mut Fleet, regions: &[usize]) {
    let regions: BTreeSet<_> = regions.iter().map(|region| region_name(*region)).collect();
    let done = fleet.apply(|set| {
        for account in set.accounts.values_mut() {
            account.regions = Residency::restricted_to(regions.clone());
        }
    });
    assert!(done);
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

/// Returns how many bytes of ended answers a VM keeps.
fn kept(fleet: &Fleet, vm: usize) -> usize {
    fleet.node(vm).expect("it runs").status().answer_bytes
}

fn runs(fleet: &Fleet) -> u64 {
    fleet.truth.dispatches.values().map(|(count, _)| count).sum()
}

/// An upstream outside the regions gets nothing, and the caller is told at once.
#[test]
fn nothing_runs_outside_the_regions_of_an_account() {
    for (regions, cause) in [(vec![1], "no_upstream"), (vec![], "no_region_allowed")] {
        let mut fleet = Fleet::started(Shape::default());
        bind(&mut fleet, &regions);
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
        assert_eq!(runs(&fleet), 0);
        assert_eq!(fleet.faults, Vec::<String>::new());
    }
}

/// A VM outside passes an answer on, and keeps none of it for replay.
#[test]
fn an_answer_is_not_kept_outside_the_regions() {
    let mut fleet = Fleet::started(Shape::default());
    bind(&mut fleet, &[0]);
    for vm in [NEAR, FAR] {
        fleet.ask(vm, keyed(&format!("key-{vm}")));
    }
    fleet.advance(Duration::from_secs(3));
    let whole =
        |asked: &badgerfield_standin::fleet::Asked| matches!(asked.end, Some((End::Whole(_), _)));
    assert!(fleet.asked.values().all(whole), "both are served");
    assert!(kept(&fleet, NEAR) > 0);
    assert_eq!(kept(&fleet, FAR), 0);
    // What was stored under older templates is dropped under the newer ones.
    bind(&mut fleet, &[1]);
    assert_eq!(kept(&fleet, NEAR), 0);
}

/// A stream that ran at an upstream which newer templates exclude is not resumed there.
#[test]
fn a_stream_is_not_resumed_at_an_upstream_that_is_excluded_since() {
    let mut fleet = Fleet::started(Shape::default());
    fleet.ask(NEAR, keyed("key"));
    fleet.advance(Duration::from_millis(200));
    assert_eq!(runs(&fleet), 1);
    fleet.kill(NEAR);
    bind(&mut fleet, &[1]);
    let again = fleet.ask(FAR, keyed("key"));
    fleet.advance(Duration::from_secs(10));
    let end = fleet.asked.get(&again).and_then(|asked| asked.end.clone());
    assert!(!matches!(end, Some((End::Whole(_), _)) | None), "{end:?}");
    assert_eq!(runs(&fleet), 1);
    assert_eq!(fleet.faults, Vec::<String>::new());
}
