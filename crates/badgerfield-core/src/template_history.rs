//! Digests of the last template sets, so that a process with an older set is sent only the
//! differences.
//!
//! A version identifies the contents of a set, so the sender can compare its current set with the
//! digests of the receiver's version. The field `changed` of a template is not sufficient: a
//! platform that rewrites its whole configuration marks all templates as changed in each version.

use std::collections::VecDeque;

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::TemplateVersion;
use crate::routing::{Route, RoutePart, Routing, RoutingDelta};
use crate::template::{AccountTemplate, BudgetTemplate, TemplateDelta, TemplateSet};

/// Maximum number of versions in the history; a process with an older version gets the full set.
///
/// With 50,000 budgets a version takes 0.4 MB.
const MAX_VERSIONS: usize = 8;

/// The digests of the last template sets, oldest first.
#[derive(Debug, Default)]
pub struct TemplateHistory {
    versions: VecDeque<VersionDigests>,
}

/// The digests of one version.
#[derive(Debug)]
struct VersionDigests {
    version: TemplateVersion,
    /// One digest for each account and budget template with its name, sorted.
    templates: Vec<u64>,
    /// One digest for each route, in their order.
    routes: Vec<u64>,
    /// One digest of all services, limits and ranks.
    rest: u64,
    /// The digest of all of these.
    total: u64,
}

impl TemplateHistory {
    /// Records a set that has come into effect.
    pub fn record(&mut self, set: &TemplateSet) {
        let accounts = set.accounts.iter().map(|(id, t)| account_digest(id.as_str(), t));
        let budgets = set.budgets.iter().map(|(id, t)| budget_digest(id.as_str(), t));
        let mut templates: Vec<_> = accounts.chain(budgets).collect();
        templates.sort_unstable();
        let routes: Vec<_> = set.routing.routes.iter().map(digest).collect();
        let rest = rest_digest(&set.routing);
        let total = digest(&(&templates, &routes, rest));
        let version = set.version;
        // A version whose contents were replaced is in the history once.
        self.versions.retain(|old| old.version != version);
        self.versions.push_back(VersionDigests { version, templates, routes, rest, total });
        while self.versions.len() > MAX_VERSIONS {
            self.versions.pop_front();
        }
    }

    /// Returns the digest of the contents of the latest set; 0 if there is none.
    #[must_use]
    pub fn content_digest(&self) -> u64 {
        self.versions.back().map_or(0, |latest| latest.total)
    }

    /// Returns the difference between an older version and a set.
    ///
    /// Returns `None` if the version is not in the history, so that the full set must be sent.
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

impl VersionDigests {
    /// Returns the difference between the routing of this version and a newer one, or `None` if
    /// they are equal.
    fn routing_delta(&self, new: &Routing) -> Option<RoutingDelta> {
        let routes: Vec<_> = new.routes.iter().map(digest).collect();
        let is_same_rest = rest_digest(new) == self.rest;
        if is_same_rest && routes == self.routes {
            return None;
        }
        let parts = route_parts(&self.routes, &routes, &new.routes);
        let rest = Routing { routes: Vec::new(), ..new.clone() };
        Some(RoutingDelta { parts, rest: (!is_same_rest).then_some(rest) })
    }
}

/// Returns new routes as ranges of old routes with new ones between them.
fn route_parts(old: &[u64], new: &[u64], routes: &[Route]) -> Vec<RoutePart> {
    let mut parts: Vec<RoutePart> = Vec::new();
    let mut next = 0;
    for (digest, route) in new.iter().zip(routes) {
        // Most routes come after the same route as before, so check the next old one first.
        let is_next = old.get(next) == Some(digest);
        let index = if is_next { Some(next) } else { old.iter().position(|d| d == digest) };
        let Some(index) = index else {
            parts.push(RoutePart::New(Box::new(route.clone())));
            continue;
        };
        next = index + 1;
        match parts.last_mut() {
            Some(RoutePart::Kept { first, count }) if *first + *count == index => *count += 1,
            _ => parts.push(RoutePart::Kept { first: index, count: 1 }),
        }
    }
    parts
}

/// Returns a digest of an account's template, regardless of when it changed.
fn account_digest(id: &str, template: &AccountTemplate) -> u64 {
    let template = AccountTemplate { changed: TemplateVersion(0), ..template.clone() };
    digest(&(id, template))
}

/// Returns a digest of a budget's template, regardless of when it changed.
fn budget_digest(id: &str, template: &BudgetTemplate) -> u64 {
    let template = BudgetTemplate { changed: TemplateVersion(0), ..template.clone() };
    digest(&(id, template))
}

/// Returns a digest of services, limits and ranks.
fn rest_digest(routing: &Routing) -> u64 {
    digest(&(&routing.services, &routing.limits, &routing.ranks))
}

fn digest<T: Serialize>(value: &T) -> u64 {
    // Serialization to JSON cannot fail for these types.
    let text = serde_json::to_vec(value).unwrap_or_default();
    xxh3_64_with_seed(&text, 0)
}
