//! Template deltas: they contain only the differences between two sets.

use std::collections::BTreeSet;
use std::time::Duration;

use badgerfield_core::amount::{Percent, Tokens};
use badgerfield_core::ids::{Period, TemplateVersion};
use badgerfield_core::residency::Residency;
use badgerfield_core::routing::{RetryPolicy, Route, WeightedService};
use badgerfield_core::template::{AccountTemplate, BudgetTemplate, KeyDigest, TemplateSet};
use badgerfield_core::template_history::TemplateHistory;
use proptest::prelude::*;

const ACCOUNTS: u64 = 40;
const ROUTES: u64 = 60;

fn account(version: TemplateVersion) -> AccountTemplate {
    AccountTemplate {
        changed: version,
        priority: 1,
        models: BTreeSet::from(["m".parse().expect("a valid name")]),
        adapters: BTreeSet::new(),
        hardware: BTreeSet::new(),
        services: BTreeSet::new(),
        unrepeatable: BTreeSet::new(),
        home: None,
        spread: Percent::new(80).expect("a valid percentage"),
        output_limit: Tokens(100),
        call_cost: Tokens(1),
        queue_wait: Duration::from_secs(5),
        regions: Residency::default(),
    }
}

fn route(n: u64) -> Route {
    Route {
        name: format!("route-{n}"),
        host: "host.example".to_owned(),
        prefix: format!("/p{n}/"),
        repeat: RetryPolicy::Safe,
        timeout: Duration::from_secs(5),
        objective: Duration::from_millis(300),
        rank: 1,
        split: vec![WeightedService { service: "pool".parse().expect("a valid name"), weight: 1 }],
        attempts: 2,
        anonymous: false,
        affinity: false,
        pause: None,
        regions: Residency::default(),
    }
}

/// Returns a set as a platform writes it: all templates are marked as changed in its version.
fn set(version: u64, limit: impl Fn(u64) -> u64, routes: Vec<Route>) -> TemplateSet {
    let version = TemplateVersion(version);
    let mut set = TemplateSet { version, ..TemplateSet::default() };
    for n in 0..ACCOUNTS {
        let keys = BTreeSet::from([KeyDigest::from_secret(&format!("key-{n}"))]);
        let limit = Tokens(limit(n));
        let budget = BudgetTemplate { changed: version, limit, period: Period(1), keys };
        set.accounts.insert(format!("a{n}").parse().expect("a valid name"), account(version));
        set.budgets.insert(format!("a{n}/prepaid").parse().expect("a valid name"), budget);
    }
    set.routing.routes = routes;
    set
}

fn size(value: &impl serde::Serialize) -> usize {
    serde_json::to_vec(value).expect("the value has a JSON form").len()
}

/// A platform marks all templates as changed in each version. The delta must nevertheless contain
/// only the template and the route that differ.
#[test]
fn a_delta_contains_only_the_settings_that_changed() {
    let first = set(3, |_| 1000, (0..ROUTES).map(route).collect());
    let mut routes: Vec<_> = (0..ROUTES).map(route).collect();
    routes[7].timeout = Duration::from_secs(9);
    let second = set(8, |n| if n == 4 { 2000 } else { 1000 }, routes);
    let mut history = TemplateHistory::default();
    history.record(&first);
    let delta = history.delta(&second, first.version).expect("the version is in the history");
    assert!(size(&delta) * 10 < size(&second), "{} of {}", size(&delta), size(&second));
    let mut receiver = first.clone();
    assert!(receiver.apply_delta(delta));
    assert_eq!(receiver, second);
}

/// The history is bounded, and a delta is valid for one version only. A process with a version
/// outside the history gets the full set, and a process with another version rejects the delta.
#[test]
fn a_version_outside_the_history_gets_the_full_set() {
    let mut history = TemplateHistory::default();
    for version in 1..=20 {
        history.record(&set(version, |_| version, Vec::new()));
    }
    let last = set(21, |_| 21, Vec::new());
    assert!(history.delta(&last, TemplateVersion(2)).is_none());
    let delta = history.delta(&last, TemplateVersion(20)).expect("the version is in the history");
    // A process with another version than the base must not apply the delta to its own set.
    let mut other = set(19, |_| 19, Vec::new());
    assert!(!other.apply_delta(delta));
    assert_eq!(other.version, TemplateVersion(19));
}

proptest! {
    /// A delta describes routes as ranges of old routes. For any old and new routes, duplicates
    /// included, applying it must give the new routes in their order.
    #[test]
    fn a_delta_restores_any_change_of_routes(
        old in prop::collection::vec(0..30_u64, 0..30),
        new in prop::collection::vec(0..30_u64, 0..30),
    ) {
        let first = set(1, |_| 5, old.into_iter().map(route).collect());
        let second = set(2, |_| 5, new.into_iter().map(route).collect());
        let mut history = TemplateHistory::default();
        history.record(&first);
        let delta = history.delta(&second, first.version).expect("the version is in the history");
        let mut receiver = first;
        prop_assert!(receiver.apply_delta(delta));
        prop_assert_eq!(receiver, second);
    }
}
