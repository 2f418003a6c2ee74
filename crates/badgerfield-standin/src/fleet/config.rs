//! The configuration of a fleet: its VMs, templates and requests.

use std::collections::BTreeSet;
use std::time::Duration;

use badgerfield_core::amount::{Percent, Tokens};
use badgerfield_core::event::{Call, Chat, IncomingRequest, Work};
use badgerfield_core::ids::{Incarnation, Period, Region, TemplateVersion};
use badgerfield_core::residency::Residency;
use badgerfield_core::routing::{RetryPolicy, Route, WeightedService};
use badgerfield_core::template::{AccountTemplate, BudgetTemplate, KeyDigest};
use badgerfield_core::view::{Member, MemberState};
use badgerfield_core::vm_upstreams::VmEntry;

use super::upstreams::{self, Upstreams};

/// The configuration of a fleet.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// The number of VMs of each region.
    pub regions: Vec<usize>,
    /// The number of failure domains of each region.
    pub domains: usize,
    /// The limit of each budget, in tokens. Budget 0 belongs to account 0, and so on.
    pub limits: Vec<u64>,
    /// The part of a budget that VMs hold ahead of demand, in percent.
    pub spread: u64,
    /// The number of routes.
    pub routes: usize,
    /// The number of shards of the ledger.
    pub shards: u32,
    /// The number of engines that serve the model.
    pub engines: usize,
    /// How many of a thousand messages are lost, and how many are duplicated.
    pub noise_permille: u64,
    /// Whether tokens held ahead of demand are sealed, instead of parked at a peer.
    pub seals: bool,
    /// Whether incarnations are in no order, as those of real processes. Otherwise each is larger
    /// than those of all processes before it.
    pub unordered_incarnations: bool,
    /// The seed of all random numbers.
    pub seed: u64,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            regions: vec![4, 4],
            domains: 2,
            limits: vec![1_000_000; 4],
            spread: 80,
            routes: 0,
            shards: 4,
            engines: 4,
            noise_permille: 5,
            seals: false,
            unordered_incarnations: false,
            seed: 1,
        }
    }
}

/// The content of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestSpec {
    /// The budget.
    pub budget: usize,
    /// The caller's key, if any.
    pub key: Option<String>,
    /// Whether the request may run at most once.
    pub at_most_once: bool,
    /// Whether the request is for the plain service rather than an engine.
    pub service: bool,
    /// The upper bound of the prompt, in tokens.
    pub prompt: u64,
    /// The output limit, in tokens.
    pub output: u64,
}

/// Returns the digest of the secret with which callers use a budget.
#[must_use]
pub fn secret(budget: usize) -> KeyDigest {
    KeyDigest::from_secret(&format!("secret-{budget}"))
}

/// Returns the entry of a VM in the view.
#[must_use]
pub fn member(index: usize, region: usize, domain: usize, incarnation: Incarnation) -> Member {
    let name = |text: String| text.parse().unwrap_or_else(|_| unreachable!("the name is valid"));
    let port = u16::try_from(index).unwrap_or(0) + 10_000;
    Member {
        vm: name(format!("vm-{index}")),
        incarnation,
        region: region_name(region),
        domain: format!("d{region}-{domain}")
            .parse()
            .unwrap_or_else(|_| unreachable!("the name is valid")),
        peer: ([127, 0, 0, 1], port).into(),
        caller: ([127, 0, 0, 1], port).into(),
        standing: MemberState::Active,
        link_mbps: 0,
    }
}

/// Returns the name of a region.
#[must_use]
pub fn region_name(region: usize) -> Region {
    format!("r{region}").parse().unwrap_or_else(|_| unreachable!("the name is valid"))
}

/// Returns the template of a client account, as in simulated fleets.
#[must_use]
pub fn account() -> AccountTemplate {
    account_template(Percent::new(80).unwrap_or_else(|_| unreachable!("a share")))
}

/// Returns the entries of a number of engines and of the plain service in the list of VMs.
#[must_use]
pub fn engines(count: usize) -> Vec<VmEntry> {
    Upstreams::new(count).entries()
}

pub(super) fn account_template(spread: Percent) -> AccountTemplate {
    let one = |name: &str| name.parse().unwrap_or_else(|_| unreachable!("the name is valid"));
    let service = "scoring".parse().unwrap_or_else(|_| unreachable!("the name is valid"));
    AccountTemplate {
        changed: TemplateVersion(0),
        priority: 3,
        models: BTreeSet::from([one("m")]),
        adapters: BTreeSet::new(),
        hardware: BTreeSet::new(),
        services: BTreeSet::from([service]),
        unrepeatable: BTreeSet::new(),
        home: None,
        spread,
        output_limit: Tokens(200),
        call_cost: Tokens(upstreams::CALL_COST),
        queue_wait: Duration::from_secs(5),
        regions: Residency::default(),
    }
}

pub(super) fn budget_template(index: usize, limit: u64) -> BudgetTemplate {
    let keys = BTreeSet::from([secret(index)]);
    BudgetTemplate { changed: TemplateVersion(0), limit: Tokens(limit), period: Period(1), keys }
}

pub(super) fn incoming_request(spec: &RequestSpec) -> IncomingRequest {
    let name = |text: &str| text.parse().unwrap_or_else(|_| unreachable!("the name is valid"));
    let work = if spec.service {
        let service = "scoring".parse().unwrap_or_else(|_| unreachable!("the name is valid"));
        Work::Call(Call { service, path: "score".into() })
    } else {
        Work::Chat(Chat {
            model: name("m"),
            adapter: None,
            prompt_tokens: Tokens(spec.prompt),
            output_limit: Some(Tokens(spec.output)),
            prefix_digests: Vec::new(),
        })
    };
    let (secret, key, once) = (secret(spec.budget), spec.key.clone(), spec.at_most_once);
    IncomingRequest { secret_digest: secret, key, at_most_once: once, work, max_wait: None }
}

/// Returns routes of one service.
pub(super) fn routes(count: usize) -> Vec<Route> {
    let service = || "badgerfield-pool".parse().unwrap_or_else(|_| unreachable!("a valid name"));
    let route = |n: usize| Route {
        name: format!("route-{n}"),
        host: format!("host-{n}.example"),
        prefix: "/".into(),
        repeat: RetryPolicy::Never,
        timeout: Duration::from_secs(10),
        objective: Duration::from_secs(1),
        rank: 0,
        split: vec![WeightedService { service: service(), weight: 1 }],
        attempts: 1,
        anonymous: false,
        affinity: true,
        pause: None,
        regions: Residency::default(),
    };
    (0..count).map(route).collect()
}
