//! The choice of an upstream for one request.
//!
//! The candidates are those that may get the request at all; among them the one wins at which
//! the first part of the answer is expected soonest.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::upstream::{CostParams, Upstream, shared_parts};
use super::{ChosenUpstream, PromptPart, UpstreamCriteria, UpstreamTable};
use crate::amount::Time;
use crate::ids::UpstreamId;
use crate::locality::{CrossingReason, Distance};
use crate::overload;
use crate::queueing_delay;

/// Within what a chain of prompt parts has one upstream that all VMs prefer for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    /// In the whole fleet.
    Fleet,
    /// In each region.
    Region,
    /// In each failure domain.
    Domain,
}

impl UpstreamTable {
    /// Chooses an upstream for a request, or none if none can take it.
    #[must_use]
    pub fn choose(&self, now: Time, criteria: &UpstreamCriteria<'_>) -> Option<ChosenUpstream> {
        let pool = self.candidates(now, criteria);
        let mix = self.request_mixes.get(criteria.service).filter(|_| !criteria.parts.is_empty());
        let params = CostParams::new(mix, criteria);
        let ordinary =
            queueing_delay::ordinary(pool.iter().map(|u| u.queueing_delay.millis(now)).collect());
        let own: Vec<_> = pool.iter().copied().filter(|u| params.is_in_group(u)).collect();
        let homes = home_upstreams(
            if own.is_empty() { &pool } else { &own },
            criteria.parts,
            self.scope(&params, criteria),
        );
        let mut best: Option<(&Upstream, f64)> = None;
        let mut runner_up: Option<(&Upstream, f64)> = None;
        let cost_of = |upstream: &Upstream| {
            let is_home = homes.contains(&&upstream.info.id);
            let mut cost = upstream.cost(now, criteria, &params, is_home);
            cost += self.distance_costs.cost(upstream.distance, criteria.bytes);
            if criteria.parts.is_empty() {
                cost += overload::wait_cost(
                    upstream.queueing_delay.millis(now),
                    upstream.seed ^ criteria.random,
                );
            } else {
                cost += upstream.queueing_delay.cost(now, ordinary, criteria.random);
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
        let alike = criteria.rendezvous_key.and_then(|number| choose_alike(&pool, number));
        let (upstream, cost) = alike.map(|u| (u, cost_of(u))).or(best)?;
        let is_home = homes.contains(&&upstream.info.id);
        Some(ChosenUpstream {
            uncached_tokens: upstream.uncached_tokens(now, criteria.parts, is_home),
            queueing_delay: upstream.queueing_delay.millis(now),
            group: params.division.map(|(_, group)| (group, params.is_in_group(upstream))),
            id: upstream.info.id.clone(),
            address: upstream.info.address,
            process: upstream.process,
            version: upstream
                .info
                .version
                .clone()
                .filter(|_| self.canary.has_versions(criteria.service)),
            cost,
            distance: upstream.distance,
            crossing: crossing_reason(&pool, upstream),
            candidates: pool.len(),
            runner_up: runner_up.map(|(u, cost)| (u.info.id.clone(), cost)),
        })
    }

    /// Returns within what a request's chain of shared parts has one home.
    ///
    /// Where it costs more to leave a domain or region than to read the chain, each has a home
    /// of its own; where reading costs more, one home serves them all, and its memory is
    /// not spent twice.
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
        let fit: Vec<_> = self
            .upstreams
            .values()
            .filter(|u| u.info.service == *criteria.service)
            .filter(|u| u.is_usable(now))
            .filter(|u| is_residency_allowed(u, criteria))
            .filter(|u| !limits_cold || u.has_cold_capacity(now, share))
            .filter(|u| u.announced.admits(now))
            .filter(|u| !criteria.tried.contains(&u.info.id))
            .filter(|u| u.running < criteria.max_connections)
            .collect();
        let has_unrestricted = || self.has_unrestricted(now, criteria.service);
        let fit = self.canary.filter_by_version(now, criteria, fit, has_unrestricted);
        let available: Vec<_> = fit.iter().copied().filter(|u| u.avoid_until <= now).collect();
        // When most rest, the fault is likely elsewhere, and one of them may serve.
        if available.is_empty() { fit } else { available }
    }
}

/// Tells whether an upstream lies where a request may be served.
fn is_residency_allowed(upstream: &Upstream, criteria: &UpstreamCriteria<'_>) -> bool {
    let bound = criteria.residency;
    !bound.is_restricted() || bound.allows(upstream.region.as_ref())
}

/// Returns the upstreams that all VMs prefer for a chain of shared parts, one in each scope.
fn home_upstreams<'a>(
    pool: &[&'a Upstream],
    parts: &[PromptPart],
    scope: Scope,
) -> Vec<&'a UpstreamId> {
    let Some(chain) = shared_parts(parts).last() else {
        return Vec::new();
    };
    let mut best: Vec<(&Upstream, u64)> = Vec::new();
    for upstream in pool {
        let weight = xxh3_64_with_seed(&chain.id.to_be_bytes(), upstream.seed);
        match best.iter_mut().find(|(other, _)| shares_home(scope, other, upstream)) {
            Some(known) if known.1 < weight => *known = (upstream, weight),
            Some(_) => {}
            None => best.push((upstream, weight)),
        }
    }
    best.into_iter().map(|(upstream, _)| &upstream.info.id).collect()
}

/// Returns the upstream that all VMs of a region choose for a number, of those in their region if
/// there are any.
fn choose_alike<'a>(pool: &[&'a Upstream], number: u64) -> Option<&'a Upstream> {
    let weight = |u: &&&Upstream| xxh3_64_with_seed(&number.to_be_bytes(), u.seed);
    let near = pool.iter().filter(|u| u.distance < Distance::OtherRegion).max_by_key(weight);
    near.or_else(|| pool.iter().max_by_key(weight)).copied()
}

/// Tells whether two upstreams are within the same scope of homes.
fn shares_home(scope: Scope, one: &Upstream, other: &Upstream) -> bool {
    match scope {
        Scope::Fleet => true,
        Scope::Region => one.region == other.region,
        Scope::Domain => one.info.domain == other.info.domain,
    }
}

/// Tells why a request leaves its region for an upstream, if it does.
fn crossing_reason(pool: &[&Upstream], chosen: &Upstream) -> Option<CrossingReason> {
    if chosen.distance < Distance::OtherRegion {
        return None;
    }
    let near = pool.iter().any(|upstream| upstream.distance < Distance::OtherRegion);
    Some(if near { CrossingReason::Cost } else { CrossingReason::NoneInRegion })
}
