//! The table of evacuated failure domains, for changes that arrive in any order.

use badgerfield_core::evacuation::{DomainChange, Evacuations};
use badgerfield_core::ids::Domain;
use proptest::prelude::*;

fn domain(n: u8) -> Domain {
    format!("d-{n}").parse().expect("the name is valid")
}

fn change(n: u8, revision: u64, evacuated: bool) -> DomainChange {
    DomainChange { domain: domain(n), revision, evacuated }
}

/// Only a change that evacuates or restores a domain is reported, not a repetition or an older one.
#[test]
fn only_changes_of_a_domains_state_are_reported() {
    let mut known = Evacuations::default();
    assert_eq!(known.apply([change(1, 5, true)]), vec![change(1, 5, true)]);
    assert_eq!(known.apply([change(1, 5, true)]), Vec::new(), "the same change again");
    assert_eq!(known.apply([change(1, 7, true)]), Vec::new(), "evacuated again");
    assert_eq!(known.apply([change(1, 6, false)]), Vec::new(), "older than the known change");
    assert_eq!(known.apply([change(1, 9, false)]), vec![change(1, 9, false)]);
}

/// A snapshot of the store does not list restored domains, so a domain that it lacks is restored.
#[test]
fn a_snapshot_restores_domains_that_it_does_not_list() {
    let mut known = Evacuations::default();
    known.apply([change(1, 5, true), change(2, 6, true)]);
    let transitions = known.apply_snapshot(10, vec![change(2, 6, true), change(3, 8, true)]);
    assert_eq!(transitions, vec![change(3, 8, true), change(1, 10, false)]);
    assert_eq!(known.apply_snapshot(11, vec![change(2, 6, true), change(3, 8, true)]), Vec::new());
}

/// A stale snapshot must not restore a domain that was evacuated after it was taken.
#[test]
fn an_older_snapshot_changes_nothing() {
    let mut known = Evacuations::default();
    known.apply([change(1, 5, true)]);
    assert_eq!(known.apply_snapshot(4, Vec::new()), Vec::new());
    assert_eq!(known.changes(), vec![change(1, 5, true)]);
}

/// Digests that differ make processes exchange changes, so an empty table must have the digest 0 of
/// a heartbeat that does not contain one.
#[test]
fn an_empty_table_has_the_digest_zero() {
    assert_eq!(Evacuations::default().digest(), 0);
}

/// An operator's tool that evacuates random names must not grow the table without bound.
#[test]
fn the_number_of_domains_is_bounded() {
    let mut known = Evacuations::default();
    for revision in 1..=200 {
        known.apply([change(u8::try_from(revision).expect("the number fits"), revision, true)]);
    }
    assert_eq!(known.changes().len(), 64);
    assert!(known.changes().iter().all(|change| change.revision > 136));
}

proptest! {
    /// Two processes that receive the same changes in different orders, some of them more than
    /// once, must have the same table.
    #[test]
    fn the_order_of_changes_does_not_matter(
        drawn in proptest::collection::vec((0_u8..4, any::<bool>()), 1..20),
        order in proptest::collection::vec(any::<prop::sample::Index>(), 1..60),
    ) {
        let changes: Vec<_> = (1..)
            .zip(&drawn)
            .map(|(r, (n, evacuated))| change(*n, r, *evacuated))
            .collect();
        let (mut first, mut second) = (Evacuations::default(), Evacuations::default());
        first.apply(changes.iter().cloned());
        for index in &order {
            second.apply([index.get(&changes).clone()]);
        }
        second.apply(changes.iter().rev().cloned());
        prop_assert_eq!(first.changes(), second.changes());
        prop_assert_eq!(first.digest(), second.digest());
    }
}

/// When the table is full, restored domains are dropped first. If an evacuated domain were dropped,
/// its restoration would not be reported.
#[test]
fn an_evacuated_domain_is_not_dropped_for_restored_ones() {
    let mut known = Evacuations::default();
    known.apply([change(0, 1, true)]);
    for n in 1..=70 {
        let revision = u64::from(n) * 10;
        known.apply([change(n, revision, true)]);
        known.apply([change(n, revision + 1, false)]);
    }
    assert!(known.changes().contains(&change(0, 1, true)));
    assert_eq!(known.apply([change(0, 5_000, false)]), vec![change(0, 5_000, false)]);
}
