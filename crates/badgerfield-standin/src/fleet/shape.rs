//! What a fleet is made of: its VMs, templates and requests.

use std::collections::BTreeSet;
use std::time::Duration;

use badgerfield_core::amount::{Percent, Tokens};
use badgerfield_core::event::{Call, Chat, IncomingRequest, Work};
use badgerfield_core::ids::{Incarnation, Period, Region, TemplateVersion};
use badgerfield_core::residency::Residency;
use badgerfield_core::template::{AccountTemplate, BudgetTemplate, KeyDigest};
use badgerfield_core::view::{Member, MemberState};
use badgerfield_core::vm_upstreams::VmEntry;

use super::upstreams::{self, Upstreams};

/// What a fleet is made of.
#[derive(Debug, Clone)]
pub struct Shape {
    /// The VMs of each region.
    pub regions: Vec<usize>,
    /// The failure domains of each region.
    pub domains: usize,
    /// The limit of each budget; budget 0 belongs to account 0, and so on.
    pub limits: Vec<u64>,
    /// How much of a budget the VMs hold ahead of demand.
    pub spread: u64,
    /// How many values the ledger is divided into.
    pub shards: u32,
    /// The replicas of the model engine.
    pub engines: usize,
    /// The share of messages that are lost, and that come twice, in thousandths.
    pub noise: u64,
    /// Whether tokens held ahead are sealed, instead of parked with a peer.
    pub seals: bool,
    /// The seed of everything random.
    pub seed: u64,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            regions: vec![4, 4],
            domains: 2,
            limits: vec![1_000_000; 4],
            spread: 80,
            shards: 4,
            engines: 4,
            noise: 5,
            seals: false,
            seed: 1,
        }
    }
}

/// What a caller asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wish {
    /// The budget.
    pub budget: usize,
    /// The caller's key, if it sets one.
    pub key: Option<String>,
    /// Whether the request may run at most once.
    pub once: bool,
    /// Whether it goes to the plain service.
    pub service: bool,
    /// The bound of the prompt.
    pub prompt: u64,
    /// The output limit.
    pub output: u64,
}

/// Returns the secret with which callers draw on a budget.
#[must_use]
pub fn secret(budget: usize) -> KeyDigest {
    KeyDigest::from_secret(&format!("secret-{budget}"))
}

/// Returns a member of a fleet.
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
    }
}

/// Returns the name of a region.
#[must_use]
pub fn region_name(region: usize) -> Region {
    format!("r{region}").parse().unwrap_or_else(|_| unreachable!("the name is valid"))
}

/// Returns a client account's template as fleets have it.
#[must_use]
pub fn account() -> AccountTemplate {
    account_template(Percent::new(80).unwrap_or_else(|_| unreachable!("a share")))
}

/// Returns the entries of some replicas of the model engine.
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

pub(super) fn arrival_of(wish: &Wish) -> IncomingRequest {
    let name = |text: &str| text.parse().unwrap_or_else(|_| unreachable!("the name is valid"));
    let work = if wish.service {
        let service = "scoring".parse().unwrap_or_else(|_| unreachable!("the name is valid"));
        Work::Call(Call { service, path: "score".into() })
    } else {
        Work::Chat(Chat {
            model: name("m"),
            adapter: None,
            prompt_tokens: Tokens(wish.prompt),
            output_limit: Some(Tokens(wish.output)),
            prefix_digests: Vec::new(),
        })
    };
    let (secret, key, once) = (secret(wish.budget), wish.key.clone(), wish.once);
    IncomingRequest { secret_digest: secret, key, at_most_once: once, work, max_wait: None }
}
