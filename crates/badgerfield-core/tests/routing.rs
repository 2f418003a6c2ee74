//! The lookup of routes and keys, and the distribution of routes with the templates.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use badgerfield_core::amount::{Percent, Tokens};
use badgerfield_core::ids::{Period, TemplateVersion};
use badgerfield_core::residency::Residency;
use badgerfield_core::routing::{RetryPolicy, Route, RouteTable, Routing, WeightedService};
use badgerfield_core::template::{AccountTemplate, BudgetTemplate, KeyDigest, TemplateSet};

fn route(name: &str, host: &str, prefix: &str, split: &[(&str, u32)]) -> Route {
    let split = split.iter().map(|(service, weight)| WeightedService {
        service: service.parse().expect("the name is valid"),
        weight: *weight,
    });
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        repeat: RetryPolicy::Never,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        rank: 0,
        split: split.collect(),
        attempts: 1,
        anonymous: false,
        affinity: false,
        pause: None,
        regions: Residency::default(),
    }
}

fn set(version: u64, routes: Vec<Route>, keys: &[&str]) -> TemplateSet {
    let account = AccountTemplate {
        changed: TemplateVersion(version),
        priority: 1,
        models: BTreeSet::new(),
        adapters: BTreeSet::new(),
        hardware: BTreeSet::new(),
        services: BTreeSet::from(["viewer".parse().expect("the name is valid")]),
        unrepeatable: BTreeSet::new(),
        home: None,
        spread: Percent::WHOLE,
        output_limit: Tokens(100),
        call_cost: Tokens::ZERO,
        queue_wait: Duration::from_secs(1),
        regions: Residency::default(),
    };
    let budget = BudgetTemplate {
        changed: TemplateVersion(version),
        limit: Tokens(1000),
        period: Period(1),
        keys: keys.iter().map(|key| KeyDigest::from_secret(key)).collect(),
    };
    TemplateSet {
        version: TemplateVersion(version),
        accounts: BTreeMap::from([("tenant".parse().expect("the name is valid"), account)]),
        budgets: BTreeMap::from([("tenant/prepaid".parse().expect("the name is valid"), budget)]),
        routing: Routing { routes, ..Routing::default() },
        ..TemplateSet::default()
    }
}

fn route_name(table: &RouteTable, host: &str, path: &str) -> Option<String> {
    table.route(host, path).map(|route| route.name.clone())
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("all", "a.example", "/", &[("viewer", 1)]),
        route("deep", "a.example", "/x/y/", &[("viewer", 1)]),
        route("mid", "a.example", "/x/", &[("viewer", 1)]),
        route("other", "b.example", "/x/", &[("viewer", 1)]),
    ];
    let table = RouteTable::new(&set(1, routes, &[]));
    assert_eq!(route_name(&table, "a.example", "/x/y/z").as_deref(), Some("deep"));
    assert_eq!(route_name(&table, "a.example", "/x/yy").as_deref(), Some("mid"));
    assert_eq!(route_name(&table, "a.example", "/q").as_deref(), Some("all"));
    assert_eq!(route_name(&table, "A.Example:80", "/x/").as_deref(), Some("mid"));
    assert_eq!(route_name(&table, "b.example", "/"), None);
    assert_eq!(route_name(&table, "c.example", "/x/"), None);
}

#[test]
fn weights_split_requests_between_services() {
    let route = route("r", "a.example", "/", &[("one", 90), ("two", 10), ("none", 0)]);
    let mut counts = BTreeMap::new();
    for random in 0..1000 {
        let service = route.choose_service(random).expect("there are services");
        *counts.entry(service.to_string()).or_insert(0) += 1;
    }
    assert_eq!(counts, BTreeMap::from([("one".to_owned(), 900), ("two".to_owned(), 100)]));
}

#[test]
fn keys_are_valid_until_they_are_removed() {
    let table = RouteTable::new(&set(1, Vec::new(), &["first", "second"]));
    let caller = table.caller(&KeyDigest::from_secret("first")).expect("the key is known");
    assert_eq!(caller.account.as_str(), "tenant");
    assert_eq!(caller.limit, Some(Tokens(1000)));
    let table = RouteTable::new(&set(2, Vec::new(), &["second"]));
    assert!(table.caller(&KeyDigest::from_secret("first")).is_none());
    assert!(table.caller(&KeyDigest::from_secret("second")).is_some());
}

/// A late delta from a peer with older templates must not restore the old routes.
#[test]
fn routes_are_distributed_with_the_templates() {
    let old = set(1, vec![route("old", "a.example", "/", &[("viewer", 1)])], &["key"]);
    let new = set(2, vec![route("new", "a.example", "/", &[("viewer", 1)])], &["key"]);
    let decoded = TemplateSet::decode(&new.encode()).expect("the value was encoded from a set");
    assert_eq!(decoded, new);
    let mut receiver = old.clone();
    assert!(receiver.apply_delta(new.delta_since(TemplateVersion(1))));
    assert_eq!(receiver.routing, new.routing);
    // A delta from a peer with an older version is refused.
    assert!(!receiver.apply_delta(old.delta_since(TemplateVersion(0))));
    assert_eq!(receiver.version, TemplateVersion(2));
}
