//! The choice of an upstream for one request.
//!
//! The candidates are those that may get the request at all; among them the one wins at which
//! the first part of the answer is expected soonest.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::replica::{Replica, Weights, shared};
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
    pub fn choose(&self, now: Time, wanted: &UpstreamCriteria<'_>) -> Option<ChosenUpstream> {
        let pool = self.candidates(now, wanted);
        let mix = self.mixes.get(wanted.service).filter(|_| !wanted.parts.is_empty());
        let weights = Weights::of(mix, wanted);
        let ordinary = queueing_delay::ordinary(pool.iter().map(|r| r.lag.millis(now)).collect());
        let own: Vec<_> = pool.iter().copied().filter(|r| weights.takes(r)).collect();
        let homes = homes_of(
            if own.is_empty() { &pool } else { &own },
            wanted.parts,
            self.scope(&weights, wanted),
        );
        let mut best: Option<(&Replica, f64)> = None;
        let mut second: Option<(&Replica, f64)> = None;
        let cost_of = |replica: &Replica| {
            let is_home = homes.contains(&&replica.info.id);
            let mut cost = replica.cost(now, wanted, &weights, is_home);
            cost += self.locality.cost(replica.distance, wanted.bytes);
            if wanted.parts.is_empty() {
                cost += overload::wait_cost(replica.lag.millis(now), replica.seed ^ wanted.random);
            } else {
                cost += replica.lag.cost(now, ordinary, wanted.random);
            }
            cost
        };
        for replica in &pool {
            let cost = cost_of(replica);
            if best.is_none_or(|(_, least)| cost < least) {
                second = best;
                best = Some((replica, cost));
            } else if second.is_none_or(|(_, least)| cost < least) {
                second = Some((replica, cost));
            }
        }
        let alike = wanted.rendezvous_key.and_then(|number| alike(&pool, number));
        let (replica, cost) = alike.map(|r| (r, cost_of(r))).or(best)?;
        let is_home = homes.contains(&&replica.info.id);
        Some(ChosenUpstream {
            uncached_tokens: replica.unread(now, wanted.parts, is_home),
            queueing_delay: replica.lag.millis(now),
            group: weights.division.map(|(_, group)| (group, weights.takes(replica))),
            id: replica.info.id.clone(),
            address: replica.info.address,
            process: replica.process,
            version: replica.info.version.clone().filter(|_| self.canary.counts(wanted.service)),
            cost,
            distance: replica.distance,
            crossing: crossing(&pool, replica),
            candidates: pool.len(),
            runner_up: second.map(|(r, cost)| (r.info.id.clone(), cost)),
        })
    }

    /// Returns within what a request's chain of shared parts has one home.
    ///
    /// Where it costs more to leave a domain or region than to read the chain, each has a home
    /// of its own; where reading costs more, one home serves them all, and its memory is
    /// not spent twice.
    fn scope(&self, weights: &Weights, wanted: &UpstreamCriteria<'_>) -> Scope {
        let read = weights.read_ms(shared(wanted.parts));
        if read < self.locality.cost(Distance::SameRegion, wanted.bytes) {
            return Scope::Domain;
        }
        if read < self.locality.cost(Distance::OtherRegion, wanted.bytes) {
            return Scope::Region;
        }
        Scope::Fleet
    }

    /// Returns the upstreams that may get a request.
    fn candidates(&self, now: Time, wanted: &UpstreamCriteria<'_>) -> Vec<&Replica> {
        let spares = self.starts.of(wanted.service).is_some();
        let share = self.starts.share(wanted.service);
        let fit: Vec<_> = self
            .table
            .values()
            .filter(|r| r.info.service == *wanted.service)
            .filter(|r| r.is_usable(now))
            .filter(|r| may_serve(r, wanted))
            .filter(|r| !spares || r.bears_more(now, share))
            .filter(|r| r.said.admits(now))
            .filter(|r| !wanted.tried.contains(&r.info.id))
            .filter(|r| r.running < wanted.max_connections)
            .collect();
        let serves_freely = || self.serves_freely(now, wanted.service);
        let fit = self.canary.narrow(now, wanted, fit, serves_freely);
        let rested: Vec<_> = fit.iter().copied().filter(|r| r.rests_until <= now).collect();
        // When most rest, the fault is likely elsewhere, and one of them may serve.
        if rested.is_empty() { fit } else { rested }
    }
}

/// Tells whether an upstream lies where a request may be served.
fn may_serve(replica: &Replica, wanted: &UpstreamCriteria<'_>) -> bool {
    let bound = wanted.residency;
    !bound.is_restricted() || bound.allows(replica.region.as_ref())
}

/// Returns the upstreams that all VMs prefer for a chain of shared parts, one in each scope.
fn homes_of<'a>(pool: &[&'a Replica], parts: &[PromptPart], scope: Scope) -> Vec<&'a UpstreamId> {
    let Some(chain) = shared(parts).last() else {
        return Vec::new();
    };
    let mut best: Vec<(&Replica, u64)> = Vec::new();
    for replica in pool {
        let weight = xxh3_64_with_seed(&chain.id.to_be_bytes(), replica.seed);
        match best.iter_mut().find(|(other, _)| shares_home(scope, other, replica)) {
            Some(known) if known.1 < weight => *known = (replica, weight),
            Some(_) => {}
            None => best.push((replica, weight)),
        }
    }
    best.into_iter().map(|(replica, _)| &replica.info.id).collect()
}

/// Returns the upstream that all VMs of a region choose for a number, of those in their region if
/// there are any.
fn alike<'a>(pool: &[&'a Replica], number: u64) -> Option<&'a Replica> {
    let weight = |r: &&&Replica| xxh3_64_with_seed(&number.to_be_bytes(), r.seed);
    let near = pool.iter().filter(|r| r.distance < Distance::OtherRegion).max_by_key(weight);
    near.or_else(|| pool.iter().max_by_key(weight)).copied()
}

/// Tells whether two upstreams are within the same scope of homes.
fn shares_home(scope: Scope, one: &Replica, other: &Replica) -> bool {
    match scope {
        Scope::Fleet => true,
        Scope::Region => one.region == other.region,
        Scope::Domain => one.info.domain == other.info.domain,
    }
}

/// Tells why a request leaves its region for an upstream, if it does.
fn crossing(pool: &[&Replica], chosen: &Replica) -> Option<CrossingReason> {
    if chosen.distance < Distance::OtherRegion {
        return None;
    }
    let near = pool.iter().any(|replica| replica.distance < Distance::OtherRegion);
    Some(if near { CrossingReason::Cost } else { CrossingReason::NoneInRegion })
}
