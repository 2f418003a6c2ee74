//! What a process believes of evacuated failure domains, in whatever order it hears of them.

use badgerfield_core::evacuation::{DomainChange, Evacuations};
use badgerfield_core::ids::Domain;
use proptest::prelude::*;

fn domain(n: u8) -> Domain {
    format!("d-{n}").parse().expect("the name is valid")
}

fn change(n: u8, revision: u64, evacuated: bool) -> DomainChange {
    DomainChange { domain: domain(n), revision, evacuated }
}

#[test]
fn only_what_turns_a_domain_is_told_on() {
    let mut known = Evacuations::default();
    assert_eq!(known.apply([change(1, 5, true)]), vec![change(1, 5, true)]);
    assert_eq!(known.apply([change(1, 5, true)]), Vec::new(), "heard again");
    assert_eq!(known.apply([change(1, 7, true)]), Vec::new(), "evacuated once more");
    assert_eq!(known.apply([change(1, 6, false)]), Vec::new(), "older than what is known");
    assert_eq!(known.apply([change(1, 9, false)]), vec![change(1, 9, false)]);
}

#[test]
fn a_reading_of_all_takes_back_what_it_does_not_hold() {
    let mut known = Evacuations::default();
    known.apply([change(1, 5, true), change(2, 6, true)]);
    let turned = known.apply_snapshot(10, vec![change(2, 6, true), change(3, 8, true)]);
    assert_eq!(turned, vec![change(3, 8, true), change(1, 10, false)]);
    assert_eq!(known.apply_snapshot(11, vec![change(2, 6, true), change(3, 8, true)]), Vec::new());
}

#[test]
fn a_reading_of_all_that_is_older_changes_nothing() {
    let mut known = Evacuations::default();
    known.apply([change(1, 5, true)]);
    assert_eq!(known.apply_snapshot(4, Vec::new()), Vec::new());
    assert_eq!(known.changes(), vec![change(1, 5, true)]);
}

#[test]
fn nothing_known_has_the_digest_of_a_process_that_says_nothing() {
    assert_eq!(Evacuations::default().digest(), 0);
}

#[test]
fn names_at_random_are_bounded() {
    let mut known = Evacuations::default();
    for revision in 1..=200 {
        known.apply([change(u8::try_from(revision).expect("small"), revision, true)]);
    }
    assert_eq!(known.changes().len(), 64);
    assert!(known.changes().iter().all(|change| change.revision > 136));
}

proptest! {
    /// Two processes that hear the same in other orders, some of it twice, believe the same.
    #[test]
    fn the_order_of_news_does_not_matter(
        news in proptest::collection::vec((0_u8..4, any::<bool>()), 1..20),
        order in proptest::collection::vec(any::<prop::sample::Index>(), 1..60),
    ) {
        let news: Vec<_> = (1..).zip(&news).map(|(r, (n, evacuated))| change(*n, r, *evacuated)).collect();
        let (mut here, mut there) = (Evacuations::default(), Evacuations::default());
        here.apply(news.iter().cloned());
        for index in &order {
            there.apply([index.get(&news).clone()]);
        }
        there.apply(news.iter().rev().cloned());
        prop_assert_eq!(here.changes(), there.changes());
        prop_assert_eq!(here.digest(), there.digest());
    }
}

#[test]
fn a_domain_that_is_evacuated_is_not_forgotten_for_those_that_are_back() {
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
