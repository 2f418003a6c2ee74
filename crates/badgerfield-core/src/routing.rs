//! Routing: selects the service for a request by its host and the longest path prefix.
//!
//! Operators write [`Routing`] together with the templates, under one version.
//! [`RouteTable`] indexes its routes for the lookup of requests.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::amount::Tokens;
use crate::ids::{Account, BudgetId, Service};
use crate::residency::{EVERYWHERE, Residency};
use crate::template::{KeyDigest, TemplateSet, account_name};
use crate::warm_up::WarmUp;

/// Whether the requests of a route may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetryPolicy {
    /// A request may run any number of times.
    Safe,
    /// A request runs at most once.
    Never,
    /// The answer is a stream of events.
    Stream {
        /// Whether another upstream can resume the stream after the last received event.
        resumes: bool,
    },
}

impl RetryPolicy {
    /// Returns whether a request that may have run already may be sent again.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumes: true })
    }

    /// Returns whether the answer is a stream that its caller may resume.
    #[must_use]
    pub fn is_resumable(self) -> bool {
        self.is_stream() && self.is_idempotent()
    }

    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service of a route, with its weight.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: Service,
    /// The weight of the service among those of the route.
    pub weight: u32,
}

/// The settings of requests for one host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The name of the route.
    pub name: String,
    /// The host, in lower case.
    pub host: String,
    /// The prefix of the paths that belong to the route.
    pub prefix: String,
    /// Whether its requests may be retried.
    pub repeat: RetryPolicy,
    /// The maximum time that the gateway holds a request.
    pub timeout: Duration,
    /// The target for the response time.
    pub objective: Duration,
    /// The priority rank of its requests; 0 is the highest priority.
    pub rank: u8,
    /// The services that serve the route, with their weights.
    pub split: Vec<WeightedService>,
    /// The maximum number of upstreams to which one request is sent.
    pub attempts: u32,
    /// Whether requests are accepted without a key.
    pub anonymous: bool,
    /// Whether requests that share prompt parts are sent to the same upstream if possible.
    pub affinity: bool,
    /// The target for the longest pause between two events of a stream.
    pub pause: Option<Duration>,
    /// The regions in which requests of the route may be served.
    #[serde(default)]
    pub regions: Residency,
}

impl Route {
    /// Chooses a service by weight, with a random number.
    #[must_use]
    pub fn choose_service(&self, random: u64) -> Option<&Service> {
        let total: u64 = self.split.iter().map(|s| u64::from(s.weight)).sum();
        if total == 0 {
            return self.split.first().map(|s| &s.service);
        }
        let mut position = random % total;
        for split in &self.split {
            let weight = u64::from(split.weight);
            if position < weight {
                return Some(&split.service);
            }
            position -= weight;
        }
        None
    }
}

/// The properties of the engines of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// The number of requests that an engine runs concurrently.
    pub slots: u32,
    /// The capacity of the KV cache, in tokens.
    pub memory: u64,
    /// The number of bytes per token when KV cache entries are transferred.
    pub token_bytes: u64,
    /// Whether an engine can fetch KV cache entries from another engine.
    pub moves: bool,
    /// The maximum number of tokens in one event.
    pub stride: u64,
}

/// The properties of the upstreams of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// The path of the health check.
    pub health: String,
    /// The maximum number of connections to one upstream from all VMs together.
    pub connections: u32,
    /// The properties of its engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
    /// The slow start of its upstreams; `None` if they take full load at once.
    #[serde(default)]
    pub warm_up: Option<WarmUp>,
}

/// Limits on the requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The maximum size of a request's head, in bytes.
    pub head: usize,
    /// The maximum size of a request's body, in bytes.
    pub body: usize,
    /// The time within which the head of a request must arrive.
    pub head_time: Duration,
    /// The maximum idle time of a connection between two requests.
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

/// The routes and services that operators have configured.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Routing {
    /// The routes.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: BTreeMap<Service, ServiceSpec>,
    /// The limits on callers' requests.
    pub limits: CallerLimits,
    /// The priority ranks of client accounts, which take precedence over the rank of a route.
    pub ranks: BTreeMap<Account, u8>,
}

/// The changes of routes and services between two versions of a set.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingDelta {
    /// The routes, in their order.
    pub parts: Vec<RoutePart>,
    /// The services, limits and ranks if any of them changed; its list of routes is empty.
    pub rest: Option<Routing>,
}

/// A range of consecutive routes in the new version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RoutePart {
    /// Routes that are unchanged from the older version.
    Kept {
        /// The index of the first one in the older version.
        first: usize,
        /// The number of routes.
        count: usize,
    },
    /// A route that the older version does not have.
    New(Box<Route>),
}

impl RoutingDelta {
    /// Applies the changes to an older routing; returns `None` if they refer to routes that it
    /// does not have.
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

/// The sender of a request, as identified by its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// The client account.
    pub account: Account,
    /// The budget that is charged.
    pub budget: BudgetId,
    /// The limit of the budget; `None` if the account is not prepaid.
    pub limit: Option<Tokens>,
    /// The priority rank of the account, if it has one.
    pub rank: Option<u8>,
}

/// Routes and keys, indexed for the lookup of requests.
#[derive(Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<String, Vec<Arc<Route>>>,
    callers: HashMap<KeyDigest, Caller>,
    services: BTreeMap<Service, ServiceSpec>,
    limits: CallerLimits,
    /// The allowed regions of accounts that are restricted to some.
    regions: BTreeMap<Account, Residency>,
    max_stream_timeout: Duration,
}

impl RouteTable {
    /// Returns the table for a set of templates.
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
        let restricted = set.accounts.iter().filter(|(_, account)| account.regions.is_restricted());
        let regions =
            restricted.map(|(id, account)| (id.clone(), account.regions.clone())).collect();
        let streams = set.routing.routes.iter().filter(|route| route.repeat.is_stream());
        let max_stream_timeout = streams.map(|route| route.timeout).max().unwrap_or_default();
        let limits = set.routing.limits;
        Self { hosts, callers, services, limits, regions, max_stream_timeout }
    }

    /// Returns the route for a host and path. A port in the host is ignored.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let hostname = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(hostname) {
            Some(routes) => routes,
            None => self.hosts.get(&hostname.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the longest timeout of a route with streams.
    #[must_use]
    pub fn max_stream_timeout(&self) -> Duration {
        self.max_stream_timeout
    }

    /// Returns the caller that a key identifies.
    #[must_use]
    pub fn caller(&self, key: &KeyDigest) -> Option<&Caller> {
        self.callers.get(key)
    }

    /// Returns the regions that both a route and a client account allow for a request.
    #[must_use]
    pub fn residency(&self, route: &Route, account: Option<&Account>) -> Residency {
        let own = account.and_then(|account| self.regions.get(account));
        route.regions.intersect(own.unwrap_or(&EVERYWHERE))
    }

    /// Returns the regions that are allowed for a request to a host and path. If no route matches
    /// any more, only the client account restricts the regions.
    #[must_use]
    pub fn residency_at(&self, host: &str, path: &str, account: Option<&Account>) -> Residency {
        if let Some(route) = self.route(host, path) {
            return self.residency(route, account);
        }
        let own = account.and_then(|account| self.regions.get(account));
        own.unwrap_or(&EVERYWHERE).clone()
    }

    /// Returns the properties of the upstreams of a service.
    #[must_use]
    pub fn service(&self, name: &Service) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Returns the slow start of each service whose upstreams need one.
    pub fn warm_ups(&self) -> impl Iterator<Item = (&Service, WarmUp)> {
        self.services.iter().filter_map(|(name, spec)| Some((name, spec.warm_up?)))
    }

    /// Returns the limits on callers' requests.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }
}
