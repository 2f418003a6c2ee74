//! What the last sets of templates in force held, so that a process that is behind is sent
//! just what differs.
//!
//! A version names a content, so the sender can compare what it has now with the digests of
//! what the receiver has. `changed` in a template does not tell: a platform that writes its
//! configuration whole marks everything as changed with each version.

use std::collections::VecDeque;

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::TemplateVersion;
use crate::routing::{Route, RoutePart, Routing, RoutingDelta};
use crate::template::{AccountTemplate, BudgetTemplate, TemplateDelta, TemplateSet};

/// How many versions are remembered; a process that is further behind gets the whole set.
/// At 50,000 budgets a version takes 0.4 MB.
const VERSIONS: usize = 8;

/// The digests of the last sets in force, oldest first.
#[derive(Debug, Default)]
pub struct TemplateHistory {
    versions: VecDeque<Digests>,
}

/// What one version held.
#[derive(Debug)]
struct Digests {
    version: TemplateVersion,
    /// One for each account and budget template with its name, sorted.
    templates: Vec<u64>,
    /// One for each route, in their order.
    routes: Vec<u64>,
    /// Stands for services, limits and ranks.
    rest: u64,
}

impl TemplateHistory {
    /// Notes a set that has come in force.
    pub fn record(&mut self, set: &TemplateSet) {
        let accounts = set.accounts.iter().map(|(id, t)| account_digest(id.as_str(), t));
        let budgets = set.budgets.iter().map(|(id, t)| budget_digest(id.as_str(), t));
        let mut templates: Vec<_> = accounts.chain(budgets).collect();
        templates.sort_unstable();
        let routes = set.routing.routes.iter().map(digest).collect();
        let rest = rest_digest(&set.routing);
        self.versions.push_back(Digests { version: set.version, templates, routes, rest });
        while self.versions.len() > VERSIONS {
            self.versions.pop_front();
        }
    }

    /// Makes the difference between a version and a set; nothing if the version is not
    /// remembered, so that the whole set must be sent.
    #[must_use]
    pub fn delta(&self, set: &TemplateSet, base: TemplateVersion) -> Option<TemplateDelta> {
        let old = self.versions.iter().find(|old| old.version == base)?;
        let is_new = |digest: u64| old.templates.binary_search(&digest).is_err();
        let accounts = set.accounts.iter().filter(|(id, t)| is_new(account_digest(id.as_str(), t)));
        let budgets = set.budgets.iter().filter(|(id, t)| is_new(budget_digest(id.as_str(), t)));
        Some(TemplateDelta {
            base,
            version: set.version,
            is_rewritten: set.is_rewritten(),
            accounts: accounts.map(|(id, t)| (id.clone(), t.clone())).collect(),
            budgets: budgets.map(|(id, t)| (id.clone(), t.clone())).collect(),
            routing: old.routing_delta(&set.routing),
            account_count: set.accounts.len(),
            budget_count: set.budgets.len(),
        })
    }
}

impl Digests {
    /// Returns how routes and services differ from those of this version, if they do.
    fn routing_delta(&self, new: &Routing) -> Option<RoutingDelta> {
        let routes: Vec<_> = new.routes.iter().map(digest).collect();
        let same_rest = rest_digest(new) == self.rest;
        if same_rest && routes == self.routes {
            return None;
        }
        let parts = route_parts(&self.routes, &routes, &new.routes);
        let rest = Routing { routes: Vec::new(), ..new.clone() };
        Some(RoutingDelta { parts, rest: (!same_rest).then_some(rest) })
    }
}

/// Describes routes as runs of older ones and new ones between them.
fn route_parts(old: &[u64], new: &[u64], routes: &[Route]) -> Vec<RoutePart> {
    let mut parts: Vec<RoutePart> = Vec::new();
    let mut next = 0;
    for (digest, route) in new.iter().zip(routes) {
        // Most routes follow the one that they followed before.
        let same = old.get(next) == Some(digest);
        let place = if same { Some(next) } else { old.iter().position(|d| d == digest) };
        let Some(place) = place else {
            parts.push(RoutePart::New(Box::new(route.clone())));
            continue;
        };
        next = place + 1;
        match parts.last_mut() {
            Some(RoutePart::Kept { first, count }) if *first + *count == place => *count += 1,
            _ => parts.push(RoutePart::Kept { first: place, count: 1 }),
        }
    }
    parts
}

/// Returns a number that stands for an account's template, whenever it changed.
fn account_digest(id: &str, template: &AccountTemplate) -> u64 {
    let template = AccountTemplate { changed: TemplateVersion(0), ..template.clone() };
    digest(&(id, template))
}

/// Returns a number that stands for a budget's template, whenever it changed.
fn budget_digest(id: &str, template: &BudgetTemplate) -> u64 {
    let template = BudgetTemplate { changed: TemplateVersion(0), ..template.clone() };
    digest(&(id, template))
}

/// Returns a number that stands for services, limits and ranks.
fn rest_digest(routing: &Routing) -> u64 {
    digest(&(&routing.services, &routing.limits, &routing.ranks))
}

fn digest<T: Serialize>(value: &T) -> u64 {
    // Plain fields always have a JSON form.
    let text = serde_json::to_vec(value).unwrap_or_default();
    xxh3_64_with_seed(&text, 0)
}
