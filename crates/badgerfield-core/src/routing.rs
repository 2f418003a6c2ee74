//! Routing: which service serves a request, by its host and the longest path prefix.
//!
//! Operators write [`Routing`] together with the templates, under one version.
//! [`RouteTable`] is the same in the form that each request is looked up in.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::amount::Tokens;
use crate::ids::{Account, BudgetId, Service};
use crate::residency::{EVERYWHERE, Residency};
use crate::template::{KeyDigest, TemplateSet, account_name};
use crate::warm_up::WarmUp;

/// What may happen more than once to a request of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetryPolicy {
    /// The request may run any number of times.
    Safe,
    /// The request runs at most once.
    Never,
    /// The answer is a stream of events.
    Stream {
        /// Whether another upstream may go on after the last event that arrived.
        resumes: bool,
    },
}

impl RetryPolicy {
    /// Tells whether a request that may have run may be sent again.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumes: true })
    }

    /// Tells whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that a route sends requests to, and its share of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: Service,
    /// Its weight among the route's services.
    pub weight: u32,
}

/// Where the requests for one host and path prefix go.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The name that operators gave the route.
    pub name: String,
    /// The host, in lower case.
    pub host: String,
    /// The prefix that the path begins with.
    pub prefix: String,
    /// What may be repeated.
    pub repeat: RetryPolicy,
    /// The longest time that a request may be held.
    pub timeout: Duration,
    /// The time within which an answer is wanted.
    pub objective: Duration,
    /// The rank of its requests; 0 goes first.
    pub rank: u8,
    /// The services, each with its weight.
    pub split: Vec<WeightedService>,
    /// To how many upstreams one request may be sent.
    pub attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// Whether requests that share prompt parts should meet at one upstream.
    pub affinity: bool,
    /// The longest wanted pause between two events.
    pub pause: Option<Duration>,
    /// The regions in which its requests may be served.
    #[serde(default)]
    pub regions: Residency,
}

impl Route {
    /// Chooses a service by weight; `draw` is a random number.
    #[must_use]
    pub fn choose_service(&self, draw: u64) -> Option<&Service> {
        let total: u64 = self.split.iter().map(|s| u64::from(s.weight)).sum();
        if total == 0 {
            return self.split.first().map(|s| &s.service);
        }
        let mut place = draw % total;
        for split in &self.split {
            let weight = u64::from(split.weight);
            if place < weight {
                return Some(&split.service);
            }
            place -= weight;
        }
        None
    }
}

/// What a model engine's replicas can do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// How many requests run at once.
    pub slots: u32,
    /// The memory for prompts and answers, in tokens.
    pub memory: u64,
    /// The bytes that one token takes when memory is moved.
    pub token_bytes: u64,
    /// Whether memory can be fetched from another replica.
    pub moves: bool,
    /// The most tokens that one event holds.
    pub stride: u64,
}

/// How the upstreams of one service are talked to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// The path of the health check.
    pub health: String,
    /// How many connections one upstream takes from all VMs together.
    pub connections: u32,
    /// What its engines can do; nothing for a plain service.
    pub engine: Option<EngineSpec>,
    /// How its upstreams start; nothing if they are as good as warm at once.
    #[serde(default)]
    pub warm_up: Option<WarmUp>,
}

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The largest head, in bytes.
    pub head: usize,
    /// The largest body, in bytes.
    pub body: usize,
    /// How long a head may take to arrive.
    pub head_time: Duration,
    /// How long a connection may rest between two requests.
    pub idle: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head: 16 * 1024,
            body: 4 * 1024 * 1024,
            head_time: Duration::from_secs(10),
            idle: Duration::from_secs(30),
        }
    }
}

/// All routes and services.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Routing {
    /// The routes.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: BTreeMap<Service, ServiceSpec>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// The ranks of client accounts; they go before the rank of a route.
    pub ranks: BTreeMap<Account, u8>,
}

/// How the routes and services of a set differ from those of an older one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingDelta {
    /// The routes, in their order.
    pub parts: Vec<RoutePart>,
    /// Services, limits and ranks, if they differ; it lists no routes.
    pub rest: Option<Routing>,
}

/// Some routes of a set that follow each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RoutePart {
    /// Routes that the older set has too.
    Kept {
        /// Where the first of them stands in the older set.
        first: usize,
        /// How many they are.
        count: usize,
    },
    /// A route that the older set does not have.
    New(Box<Route>),
}

impl RoutingDelta {
    /// Returns the routing that this leads to from an older one; nothing if it does not fit.
    #[must_use]
    pub fn apply(&self, old: &Routing) -> Option<Routing> {
        let mut routes = Vec::new();
        for part in &self.parts {
            match part {
                RoutePart::Kept { first, count } => {
                    let kept = old.routes.get(*first..first.checked_add(*count)?)?;
                    routes.extend_from_slice(kept);
                }
                RoutePart::New(route) => routes.push(Route::clone(route)),
            }
        }
        let rest = self.rest.as_ref().unwrap_or(old);
        Some(Routing { routes, ..rest.clone() })
    }
}

/// Who sends a request, as its key tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// The client account.
    pub account: Account,
    /// The budget that pays.
    pub budget: BudgetId,
    /// The budget's limit; nothing if the account pays for no tokens in advance.
    pub limit: Option<Tokens>,
    /// The account's own rank.
    pub rank: Option<u8>,
}

/// Routes and keys in the form in which requests are looked up.
#[derive(Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<String, Vec<Arc<Route>>>,
    callers: HashMap<KeyDigest, Caller>,
    services: BTreeMap<Service, ServiceSpec>,
    limits: CallerLimits,
    /// The regions of the accounts that are bound to some.
    regions: BTreeMap<Account, Residency>,
}

impl RouteTable {
    /// Makes the table of a set of templates.
    #[must_use]
    pub fn new(set: &TemplateSet) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &set.routing.routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut callers = HashMap::new();
        for (budget, template) in &set.budgets {
            let Ok(account) = account_name(budget).parse::<Account>() else {
                continue;
            };
            let rank = set.routing.ranks.get(&account).copied();
            let limit = (template.limit < Tokens::MAX).then_some(template.limit);
            let caller = Caller { account, budget: budget.clone(), limit, rank };
            for key in &template.keys {
                callers.insert(*key, caller.clone());
            }
        }
        let services = set.routing.services.clone();
        let bound = set.accounts.iter().filter(|(_, account)| account.regions.is_restricted());
        let regions = bound.map(|(id, account)| (id.clone(), account.regions.clone())).collect();
        Self { hosts, callers, services, limits: set.routing.limits, regions }
    }

    /// Finds the route of a host and path; a port behind the host does not count.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Finds who has a key.
    #[must_use]
    pub fn caller(&self, key: &KeyDigest) -> Option<&Caller> {
        self.callers.get(key)
    }

    /// Returns the regions in which a route and a client account both let a request be served.
    #[must_use]
    pub fn residency(&self, route: &Route, account: Option<&Account>) -> Residency {
        let own = account.and_then(|account| self.regions.get(account));
        route.regions.intersect(own.unwrap_or(&EVERYWHERE))
    }

    /// Returns the regions in which a request for a host and path may be served; one that no
    /// route takes any more is bound by its client account alone.
    #[must_use]
    pub fn residency_at(&self, host: &str, path: &str, account: Option<&Account>) -> Residency {
        if let Some(route) = self.route(host, path) {
            return self.residency(route, account);
        }
        let own = account.and_then(|account| self.regions.get(account));
        own.unwrap_or(&EVERYWHERE).clone()
    }

    /// Returns how the upstreams of a service are talked to.
    #[must_use]
    pub fn service(&self, name: &Service) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Returns how the upstreams of each service start that has to be spared then.
    pub fn warm_ups(&self) -> impl Iterator<Item = (&Service, WarmUp)> {
        self.services.iter().filter_map(|(name, spec)| Some((name, spec.warm_up?)))
    }

    /// Returns what callers may send.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }
}
