//! Residency: requests stay in their allowed regions over changes of versions, restarts of the
//! process and evacuations.

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
/// The failure domains; the region of the last one is unknown.
const DOMAINS: [&str; 7] = ["a-1", "a-2", "b-1", "b-2", "c-1", "c-2", "x-1"];
const HOST: &str = "host.example";

fn region(name: &str) -> Region {
    name.parse().expect("a valid name")
}

fn within(names: &[&str]) -> Residency {
    Residency::restricted_to(names.iter().map(|name| region(name)).collect())
}

fn region_map() -> RegionMap {
    let known = DOMAINS.iter().filter(|domain| !domain.starts_with('x'));
    let pairs = known.map(|domain| (domain.parse().expect("a valid name"), region(&domain[..1])));
    RegionMap::new(pairs.collect())
}

fn service() -> Service {
    "pool".parse().expect("a valid name")
}

fn account() -> Account {
    "tenant".parse().expect("a valid name")
}

fn upstream_table() -> UpstreamTable {
    let entry = |n: usize| {
        let domain: Domain = DOMAINS[n % DOMAINS.len()].parse().expect("a valid name");
        let info = ListedUpstream {
            id: format!("{domain}.{n}").parse().expect("a valid name"),
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
    table.set_regions(region_map());
    let list = UpstreamList { revision: 1, entries: (0..21).map(entry).collect() };
    table.apply_list(Time::default(), list);
    table
}

/// Returns templates with a route and an account that are restricted to regions.
fn templates(
    version: u64,
    route_residency: &Residency,
    account_residency: &Residency,
) -> TemplateSet {
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
        regions: route_residency.clone(),
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
        regions: account_residency.clone(),
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
    region_map().region(&domain).cloned()
}

/// A request is restricted by its route and its account. A combination that leaves no region, or no
/// known one, must be detected.
#[test]
fn restrictions_of_route_and_account_are_combined_and_checked() {
    let (ab, bc) = (within(&["a", "b"]), within(&["b", "c"]));
    assert_eq!(ab.intersect(&bc), within(&["b"]));
    assert_eq!(ab.intersect(&EVERYWHERE), ab);
    assert_eq!(EVERYWHERE.intersect(&bc), bc);
    assert!(EVERYWHERE.allows(None));
    assert!(!ab.allows(None), "an unknown region must not get restricted requests");
    assert_eq!(
        within(&["a"]).intersect(&within(&["c"])).check(&region_map()),
        Err(ResidencyError::NoRegion)
    );
    let unknown = within(&["nowhere"]);
    assert_eq!(unknown.check(&region_map()), Err(ResidencyError::Unknown(unknown.clone())));
    assert_eq!(within(&["nowhere", "c"]).check(&region_map()), Ok(()));
    assert_eq!(EVERYWHERE.check(&RegionMap::default()), Ok(()));
}

/// A newer version may remove the route of a request that is queued. Without the route, the request
/// must not become unrestricted.
#[test]
fn an_account_stays_restricted_when_its_route_is_removed() {
    let set = templates(2, &within(&["a"]), &within(&["b"]));
    let table = RouteTable::new(&set);
    assert_eq!(table.residency_at("other.example", "/x", Some(&account())), within(&["b"]));
}

/// Restrictions must be part of encoded templates and of deltas; otherwise processes that receive
/// these would serve requests in any region.
#[test]
fn templates_and_deltas_contain_restrictions() {
    let set = templates(3, &within(&["a"]), &within(&["a", "b"]));
    let decoded = TemplateSet::decode(&set.encode()).expect("encoded templates decode");
    assert_eq!(decoded, set);
    let mut receiver = templates(2, &EVERYWHERE, &EVERYWHERE);
    assert!(receiver.apply_delta(set.delta_since(TemplateVersion(2))));
    assert_eq!((&receiver.accounts, &receiver.routing), (&set.accounts, &set.routing));
    // Templates of an older format, without the field `regions`, allow every region.
    let text = String::from_utf8(set.encode()).expect("the encoding is UTF-8");
    let before = text.replace(r#","regions":["a"]"#, "").replace(r#","regions":["a","b"]"#, "");
    assert_ne!(before, text);
    let old = TemplateSet::decode(before.as_bytes()).expect("the older format decodes");
    assert!(!old.routing.routes[0].regions.is_restricted());
}

/// A queued request, with its restriction at admission and the upstreams that it was sent to.
struct QueuedRequest {
    admission: Admission,
    tried: Vec<UpstreamId>,
}

/// One process: its current templates and its table of upstreams.
struct Process {
    version: TemplateVersion,
    routes: RouteTable,
    upstreams: UpstreamTable,
}

impl Process {
    fn start(set: &TemplateSet) -> Self {
        Self { version: set.version, routes: RouteTable::new(set), upstreams: upstream_table() }
    }

    fn admit(&self) -> Admission {
        let residency = self.routes.residency_at(HOST, "/x", Some(&account()));
        Admission { version: self.version, residency }
    }

    /// Sends a request to one more upstream and returns the upstream.
    fn send(&mut self, now: Time, request: &mut QueuedRequest, random: u64) -> Option<UpstreamId> {
        let newest = || self.routes.residency_at(HOST, "/x", Some(&account()));
        let residency = request.admission.current_residency(self.version, newest);
        let parts =
            [PromptPart { id: random % 5, tokens: 900 }, PromptPart { id: random, tokens: 90 }];
        let criteria = UpstreamCriteria {
            service: &service(),
            route: "route",
            parts: if random.is_multiple_of(3) { &[] } else { &parts },
            bytes: 0,
            residency: &residency,
            tried: &request.tried,
            bound_version: None,
            is_resumable: false,
            max_connections: 6,
            random,
            rendezvous_key: None,
        };
        let id = self.upstreams.choose(now, &criteria)?.id;
        self.upstreams.start_request(now, &id, criteria.parts);
        let outcomes = [
            AttemptOutcome::Answered,
            AttemptOutcome::Answered,
            AttemptOutcome::Failed,
            AttemptOutcome::Full,
        ];
        self.upstreams.end_request(now, &id, outcomes[usize::try_from(random % 4).unwrap_or(0)]);
        request.tried.push(id.clone());
        Some(id)
    }
}

fn random_residency(rng: &mut ChaCha8Rng) -> Residency {
    if rng.random_bool(0.3) {
        return EVERYWHERE.clone();
    }
    let names: Vec<_> = REGIONS.into_iter().filter(|_| rng.random_bool(0.5)).collect();
    within(&names)
}

/// First attempts, retries and queued requests must stay in the regions that both the version at
/// admission and the newest version allow. A request would leave them if a retry, a newer version,
/// a restart or an evacuation led to a choice without the restriction.
#[test]
fn nothing_is_served_outside_over_changes_restarts_and_evacuations() {
    let mut sent = 0;
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut version = 1;
        let mut newest = EVERYWHERE.clone();
        let mut process = Process::start(&templates(version, &newest, &EVERYWHERE));
        let mut queued: Vec<(QueuedRequest, Residency)> = Vec::new();
        for step in 0..400_u64 {
            let now = Time(Duration::from_millis(step * 20));
            match rng.random_range(0..20) {
                0 => {
                    let (route, account) = (random_residency(&mut rng), random_residency(&mut rng));
                    version += 1;
                    newest = route.intersect(&account);
                    process.version = TemplateVersion(version);
                    process.routes = RouteTable::new(&templates(version, &route, &account));
                }
                1 => {
                    // Requests that were queued at the process that ended are not sent any more.
                    let (route, account) = (random_residency(&mut rng), random_residency(&mut rng));
                    version += 1;
                    newest = route.intersect(&account);
                    process = Process::start(&templates(version, &route, &account));
                    queued.clear();
                }
                2 => {
                    let domain = DOMAINS[rng.random_range(0..DOMAINS.len())];
                    let change = DomainChange {
                        domain: domain.parse().expect("a valid name"),
                        revision: step,
                        evacuated: rng.random_bool(0.5),
                    };
                    process.upstreams.apply_evacuations(now, &[change]);
                }
                3..10 => {
                    let admission = process.admit();
                    queued.push((QueuedRequest { admission, tried: Vec::new() }, newest.clone()));
                }
                _ if queued.is_empty() => {}
                _ => {
                    let index = rng.random_range(0..queued.len());
                    let (request, at_admission) = &mut queued[index];
                    let Some(id) = process.send(now, request, rng.random()) else {
                        continue;
                    };
                    sent += 1;
                    let region = region_of(&id);
                    assert!(
                        at_admission.allows(region.as_ref()),
                        "seed {seed}: {id}, at admission {at_admission}"
                    );
                    assert!(newest.allows(region.as_ref()), "seed {seed}: {id}, newest {newest}");
                }
            }
        }
    }
    assert!(sent > 3000, "only {sent} requests were sent");
}
