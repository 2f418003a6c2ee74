//! Residency: where a request may be served, over changes of versions, restarts of the process
//! and evacuations.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use badgerfield_core::amount::{Percent, Time, Tokens};
use badgerfield_core::evacuation::DomainChange;
use badgerfield_core::ids::{Account, Domain, Region, Service, TemplateVersion, UpstreamId};
use badgerfield_core::residency::{Admission, EVERYWHERE, RegionMap, Residency, ResidencyError};
use badgerfield_core::routing::{RetryPolicy, Route, RouteTable, Routing, WeightedService};
use badgerfield_core::template::{AccountTemplate, TemplateSet};
use badgerfield_core::upstream_list::{ListedUpstream, UpstreamEntry, UpstreamList};
use badgerfield_core::upstream_table::{
    AttemptOutcome, PromptPart, UpstreamCriteria, UpstreamTable,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const REGIONS: [&str; 3] = ["a", "b", "c"];
/// The domains; of the last one no region is known.
const DOMAINS: [&str; 7] = ["a-1", "a-2", "b-1", "b-2", "c-1", "c-2", "x-1"];
const HOST: &str = "host.example";

fn region(name: &str) -> Region {
    name.parse().expect("a name")
}

fn within(names: &[&str]) -> Residency {
    Residency::within(names.iter().map(|name| region(name)).collect())
}

fn map() -> RegionMap {
    let known = DOMAINS.iter().filter(|domain| !domain.starts_with('x'));
    let pairs = known.map(|domain| (domain.parse().expect("a name"), region(&domain[..1])));
    RegionMap::new(pairs.collect())
}

fn service() -> Service {
    "pool".parse().expect("a name")
}

fn account() -> Account {
    "tenant".parse().expect("a name")
}

fn replicas() -> UpstreamTable {
    let entry = |n: usize| {
        let domain: Domain = DOMAINS[n % DOMAINS.len()].parse().expect("a name");
        let info = ListedUpstream {
            id: format!("{domain}.{n}").parse().expect("a name"),
            service: service(),
            address: ([127, 0, 0, 1], 9000).into(),
            domain,
            version: None,
            slots: 8,
            leaving: false,
            started_at: None,
        };
        UpstreamEntry { revision: 1, info, warm_in: Duration::ZERO }
    };
    let mut table = UpstreamTable::default();
    table.set_regions(map());
    let list = UpstreamList { revision: 1, entries: (0..21).map(entry).collect() };
    table.apply_list(Time::default(), list);
    table
}

/// Returns templates with a route and an account that are bound.
fn templates(version: u64, route: &Residency, tenant: &Residency) -> TemplateSet {
    let route = Route {
        name: "route".into(),
        host: HOST.into(),
        prefix: "/".into(),
        repeat: RetryPolicy::Safe,
        timeout: Duration::from_secs(5),
        objective: Duration::from_millis(300),
        rank: 1,
        split: vec![WeightedService { service: service(), weight: 1 }],
        attempts: 3,
        anonymous: false,
        affinity: false,
        pause: None,
        regions: route.clone(),
    };
    let template = AccountTemplate {
        changed: TemplateVersion(version),
        priority: 1,
        models: BTreeSet::new(),
        adapters: BTreeSet::new(),
        hardware: BTreeSet::new(),
        services: BTreeSet::from([service()]),
        unrepeatable: BTreeSet::new(),
        home: None,
        spread: Percent::WHOLE,
        output_limit: Tokens(100),
        call_cost: Tokens::ZERO,
        queue_wait: Duration::from_secs(1),
        regions: tenant.clone(),
    };
    TemplateSet {
        version: TemplateVersion(version),
        accounts: BTreeMap::from([(account(), template)]),
        routing: Routing { routes: vec![route], ..Routing::default() },
        ..TemplateSet::default()
    }
}

fn region_of(id: &UpstreamId) -> Option<Region> {
    let domain: Domain = id.as_str().split('.').next()?.parse().ok()?;
    map().region(&domain).cloned()
}

#[test]
fn both_bounds_hold_and_what_they_leave_is_checked() {
    let (ab, bc) = (within(&["a", "b"]), within(&["b", "c"]));
    assert_eq!(ab.intersect(&bc), within(&["b"]));
    assert_eq!(ab.intersect(&EVERYWHERE), ab);
    assert_eq!(EVERYWHERE.intersect(&bc), bc);
    assert!(EVERYWHERE.allows(None));
    assert!(!ab.allows(None), "what lies in an unknown region gets nothing that is bound");
    assert_eq!(
        within(&["a"]).intersect(&within(&["c"])).check(&map()),
        Err(ResidencyError::NoRegion)
    );
    let unknown = within(&["nowhere"]);
    assert_eq!(unknown.check(&map()), Err(ResidencyError::Unknown(unknown.clone())));
    assert_eq!(within(&["nowhere", "c"]).check(&map()), Ok(()));
    assert_eq!(EVERYWHERE.check(&RegionMap::default()), Ok(()));
}

#[test]
fn an_account_stays_bound_when_its_route_is_gone() {
    // A request that waited while a newer version took its route away was bound to nothing.
    let set = templates(2, &within(&["a"]), &within(&["b"]));
    let table = RouteTable::new(&set);
    assert_eq!(table.residency_at("other.example", "/x", Some(&account())), within(&["b"]));
}

#[test]
fn bounds_travel_with_the_templates() {
    let set = templates(3, &within(&["a"]), &within(&["a", "b"]));
    let decoded = TemplateSet::decode(&set.encode()).expect("it was just encoded");
    assert_eq!(decoded, set);
    let mut behind = templates(2, &EVERYWHERE, &EVERYWHERE);
    assert!(behind.apply_delta(set.delta_since(TemplateVersion(2))));
    assert_eq!((&behind.accounts, &behind.routing), (&set.accounts, &set.routing));
    // Templates that were written before there were bounds allow every region.
    let text = String::from_utf8(set.encode()).expect("it is text");
    let before = text.replace(r#","regions":["a"]"#, "").replace(r#","regions":["a","b"]"#, "");
    assert_ne!(before, text);
    let old = TemplateSet::decode(before.as_bytes()).expect("it can be read");
    assert!(!old.routing.routes[0].regions.is_restricted());
}

/// A request under way, with all that the operators had bound it to so far.
struct Waiting {
    admission: Admission,
    tried: Vec<UpstreamId>,
}

/// One process: what it has in force, and its table of upstreams.
struct Process {
    version: TemplateVersion,
    table: RouteTable,
    replicas: UpstreamTable,
}

impl Process {
    fn start(set: &TemplateSet) -> Self {
        Self { version: set.version, table: RouteTable::new(set), replicas: replicas() }
    }

    fn admit(&self) -> Admission {
        let residency = self.table.residency_at(HOST, "/x", Some(&account()));
        Admission { version: self.version, residency }
    }

    /// Sends a request to one more upstream; returns where it went.
    fn send(&mut self, now: Time, waiting: &mut Waiting, draw: u64) -> Option<UpstreamId> {
        let newest = || self.table.residency_at(HOST, "/x", Some(&account()));
        let residency = waiting.admission.current_residency(self.version, newest);
        let parts = [PromptPart { id: draw % 5, tokens: 900 }, PromptPart { id: draw, tokens: 90 }];
        let wanted = UpstreamCriteria {
            service: &service(),
            route: "route",
            parts: if draw.is_multiple_of(3) { &[] } else { &parts },
            bytes: 0,
            residency: &residency,
            tried: &waiting.tried,
            resumed_version: None,
            max_connections: 6,
            random: draw,
            rendezvous_key: None,
        };
        let id = self.replicas.choose(now, &wanted)?.id;
        self.replicas.start_request(now, &id, wanted.parts);
        let healths = [
            AttemptOutcome::Answered,
            AttemptOutcome::Answered,
            AttemptOutcome::Failed,
            AttemptOutcome::Full,
        ];
        self.replicas.end_request(now, &id, healths[usize::try_from(draw % 4).unwrap_or(0)]);
        waiting.tried.push(id.clone());
        Some(id)
    }
}

fn random_bound(rng: &mut ChaCha8Rng) -> Residency {
    if rng.random_bool(0.3) {
        return EVERYWHERE.clone();
    }
    let names: Vec<_> = REGIONS.into_iter().filter(|_| rng.random_bool(0.5)).collect();
    within(&names)
}

/// What operators wrote binds first tries, repeats and what waits, also after restarts: nothing
/// goes to a region that the version it was let in with, or the newest, excludes.
#[test]
fn nothing_is_served_outside_over_changes_restarts_and_evacuations() {
    let mut sent = 0;
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut version = 1;
        let mut bound = EVERYWHERE.clone();
        let mut process = Process::start(&templates(version, &bound, &EVERYWHERE));
        let mut waiting: Vec<(Waiting, Residency)> = Vec::new();
        for step in 0..400_u64 {
            let now = Time(Duration::from_millis(step * 20));
            match rng.random_range(0..20) {
                0 => {
                    let (route, tenant) = (random_bound(&mut rng), random_bound(&mut rng));
                    version += 1;
                    bound = route.intersect(&tenant);
                    process.version = TemplateVersion(version);
                    process.table = RouteTable::new(&templates(version, &route, &tenant));
                }
                1 => {
                    // What waited at the process that ended is sent by nobody any more.
                    let (route, tenant) = (random_bound(&mut rng), random_bound(&mut rng));
                    version += 1;
                    bound = route.intersect(&tenant);
                    process = Process::start(&templates(version, &route, &tenant));
                    waiting.clear();
                }
                2 => {
                    let domain = DOMAINS[rng.random_range(0..DOMAINS.len())];
                    let change = DomainChange {
                        domain: domain.parse().expect("a name"),
                        revision: step,
                        evacuated: rng.random_bool(0.5),
                    };
                    process.replicas.apply_evacuations(now, &[change]);
                }
                3..10 => {
                    let admission = process.admit();
                    waiting.push((Waiting { admission, tried: Vec::new() }, bound.clone()));
                }
                _ if waiting.is_empty() => {}
                _ => {
                    let place = rng.random_range(0..waiting.len());
                    let (request, let_in) = &mut waiting[place];
                    let Some(id) = process.send(now, request, rng.random()) else {
                        continue;
                    };
                    sent += 1;
                    let region = region_of(&id);
                    assert!(let_in.allows(region.as_ref()), "seed {seed}: {id}, let in {let_in}");
                    assert!(bound.allows(region.as_ref()), "seed {seed}: {id}, newest {bound}");
                }
            }
        }
    }
    assert!(sent > 3000, "{sent} were sent");
}
