//! The choice of an upstream for one request.
//!
//! The candidates are the upstreams that may get the request at all. The one with the lowest cost
//! is chosen, that is, the one where the first part of the answer is expected soonest. For each
//! shared prefix of prompts, one upstream in each scope is preferred: it counts as having cached
//! the prefix. Rendezvous hashing makes it the same on all VMs, so that few upstreams read the
//! prefix.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::upstream::{CostParams, Upstream, shared_parts};
use super::{ChosenUpstream, PromptPart, UpstreamCriteria, UpstreamTable};
use crate::amount::Time;
use crate::ids::UpstreamId;
use crate::locality::{CrossingReason, Distance};
use crate::overload;
use crate::queueing_delay;

/// The scope within which a shared prefix has one preferred upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    /// One in the whole fleet.
    Fleet,
    /// One in each region.
    Region,
    /// One in each failure domain.
    Domain,
}

impl UpstreamTable {
    /// Chooses an upstream for a request; returns `None` if no upstream can take it.
    #[must_use]
    pub fn choose(&self, now: Time, criteria: &UpstreamCriteria<'_>) -> Option<ChosenUpstream> {
        let pool = self.candidates(now, criteria);
        let mix = self.request_mixes.get(criteria.service).filter(|_| !criteria.parts.is_empty());
        let params = CostParams::new(mix, criteria);
        let tolerated = queueing_delay::tolerated_delay(
            pool.iter().map(|u| u.queueing_delay.current_ms(now)).collect(),
        );
        let in_group: Vec<_> = pool.iter().copied().filter(|u| params.is_in_group(u)).collect();
        let preferred = preferred_upstreams(
            if in_group.is_empty() { &pool } else { &in_group },
            criteria.parts,
            self.scope(&params, criteria),
        );
        let mut best: Option<(&Upstream, f64)> = None;
        let mut runner_up: Option<(&Upstream, f64)> = None;
        let cost_of = |upstream: &Upstream| {
            let is_preferred = preferred.contains(&&upstream.info.id);
            let mut cost = upstream.cost(now, criteria, &params, is_preferred);
            cost += self.distance_costs.cost(upstream.distance, criteria.bytes);
            if criteria.parts.is_empty() {
                cost += overload::wait_cost(
                    upstream.queueing_delay.current_ms(now),
                    upstream.seed ^ criteria.random,
                );
            } else {
                cost += upstream.queueing_delay.excess_ms(now, tolerated, criteria.random);
            }
            cost
        };
        for upstream in &pool {
            let cost = cost_of(upstream);
            if best.is_none_or(|(_, least)| cost < least) {
                runner_up = best;
                best = Some((upstream, cost));
            } else if runner_up.is_none_or(|(_, least)| cost < least) {
                runner_up = Some((upstream, cost));
            }
        }
        let by_key = criteria.rendezvous_key.and_then(|key| choose_by_rendezvous(&pool, key));
        let (upstream, cost) = by_key.map(|u| (u, cost_of(u))).or(best)?;
        let is_preferred = preferred.contains(&&upstream.info.id);
        Some(ChosenUpstream {
            uncached_tokens: upstream.uncached_tokens(now, criteria.parts, is_preferred),
            queueing_delay: upstream.queueing_delay.current_ms(now),
            group: params.division.map(|(_, group)| (group, params.is_in_group(upstream))),
            id: upstream.info.id.clone(),
            address: upstream.info.address,
            process: upstream.process,
            version: upstream.info.version.clone(),
            version_tag: upstream.version_tag,
            is_bound: criteria.bound_version.is_some(),
            cost,
            distance: upstream.distance,
            crossing: crossing_reason(&pool, upstream),
            candidates: pool.len(),
            runner_up: runner_up.map(|(u, cost)| (u.info.id.clone(), cost)),
        })
    }

    /// Returns the scope within which the shared prefix of a request has one preferred upstream.
    ///
    /// If it costs more to leave a domain or region than to read the prefix, each domain or region
    /// has its own. If reading costs more, one upstream serves the whole fleet, and the prefix
    /// takes up cache memory only once.
    fn scope(&self, params: &CostParams, criteria: &UpstreamCriteria<'_>) -> Scope {
        let read = params.read_ms(shared_parts(criteria.parts));
        if read < self.distance_costs.cost(Distance::SameRegion, criteria.bytes) {
            return Scope::Domain;
        }
        if read < self.distance_costs.cost(Distance::OtherRegion, criteria.bytes) {
            return Scope::Region;
        }
        Scope::Fleet
    }

    /// Returns the upstreams that may get a request.
    fn candidates(&self, now: Time, criteria: &UpstreamCriteria<'_>) -> Vec<&Upstream> {
        let limits_cold = self.slow_start.warm_up(criteria.service).is_some();
        let share = self.slow_start.sender_share(criteria.service);
        let eligible: Vec<_> = self
            .upstreams
            .values()
            .filter(|u| u.info.service == *criteria.service)
            .filter(|u| u.is_usable(now))
            .filter(|u| is_residency_allowed(u, criteria))
            .filter(|u| !limits_cold || u.has_cold_capacity(now, share))
            .filter(|u| u.announced.admits(now))
            .filter(|u| !criteria.tried.contains(&u.info.id))
            .filter(|u| u.running < criteria.max_connections)
            .filter(|u| u.has_place(now))
            .filter(|u| !criteria.begins_stream() || self.versions.is_open(u))
            .collect();
        let eligible = if let Some(version) = criteria.bound_version {
            self.canary.filter_bound(now, criteria, eligible, version)
        } else {
            let has_unrestricted = || {
                if criteria.begins_stream() {
                    self.has_unrestricted_open(now, criteria.service)
                } else {
                    self.has_unrestricted(now, criteria.service)
                }
            };
            self.canary.filter_by_version(now, criteria, eligible, has_unrestricted)
        };
        let available: Vec<_> = eligible.iter().copied().filter(|u| u.avoid_until <= now).collect();
        // If all of them failed recently, the fault is probably elsewhere, and one may still serve.
        if available.is_empty() { eligible } else { available }
    }
}

/// Returns whether the residency of a request allows the region of an upstream.
fn is_residency_allowed(upstream: &Upstream, criteria: &UpstreamCriteria<'_>) -> bool {
    let bound = criteria.residency;
    !bound.is_restricted() || bound.allows(upstream.region.as_ref())
}

/// Returns the preferred upstream for a shared prefix in each scope; all VMs compute the same ones.
fn preferred_upstreams<'a>(
    pool: &[&'a Upstream],
    parts: &[PromptPart],
    scope: Scope,
) -> Vec<&'a UpstreamId> {
    let Some(prefix) = shared_parts(parts).last() else {
        return Vec::new();
    };
    let mut best: Vec<(&Upstream, u64)> = Vec::new();
    for upstream in pool {
        let weight = xxh3_64_with_seed(&prefix.id.to_be_bytes(), upstream.seed);
        match best.iter_mut().find(|(other, _)| is_same_scope(scope, other, upstream)) {
            Some(known) if known.1 < weight => *known = (upstream, weight),
            Some(_) => {}
            None => best.push((upstream, weight)),
        }
    }
    best.into_iter().map(|(upstream, _)| &upstream.info.id).collect()
}

/// Returns the upstream with the highest rendezvous weight for a key. All VMs of a region choose
/// the same one. Upstreams of their own region take precedence.
fn choose_by_rendezvous<'a>(pool: &[&'a Upstream], key: u64) -> Option<&'a Upstream> {
    let weight = |u: &&&Upstream| xxh3_64_with_seed(&key.to_be_bytes(), u.seed);
    let near = pool.iter().filter(|u| u.distance < Distance::OtherRegion).max_by_key(weight);
    near.or_else(|| pool.iter().max_by_key(weight)).copied()
}

/// Returns whether two upstreams lie in the same scope.
fn is_same_scope(scope: Scope, one: &Upstream, other: &Upstream) -> bool {
    match scope {
        Scope::Fleet => true,
        Scope::Region => one.region == other.region,
        Scope::Domain => one.info.domain == other.info.domain,
    }
}

/// Returns why a request leaves its region for an upstream, if it does.
fn crossing_reason(pool: &[&Upstream], chosen: &Upstream) -> Option<CrossingReason> {
    if chosen.distance < Distance::OtherRegion {
        return None;
    }
    let near = pool.iter().any(|upstream| upstream.distance < Distance::OtherRegion);
    Some(if near { CrossingReason::Cost } else { CrossingReason::NoneInRegion })
}
