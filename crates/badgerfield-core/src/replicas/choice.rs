//! The choice of an upstream for one request.
//!
//! The candidates are those that may get the request at all; among them the one wins at which
//! the first part of the answer is expected soonest.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::replica::{Replica, Weights, shared};
use super::{Chosen, PromptPart, Replicas, Wanted};
use crate::amount::Time;
use crate::ids::UpstreamId;
use crate::lag;
use crate::overload;

impl Replicas {
    /// Chooses an upstream for a request, or none if none can take it.
    #[must_use]
    pub fn choose(&self, now: Time, wanted: &Wanted<'_>) -> Option<Chosen> {
        let pool = self.candidates(now, wanted);
        let mix = self.mixes.get(wanted.service).filter(|_| !wanted.parts.is_empty());
        let weights = Weights::of(mix, wanted);
        let ordinary = lag::ordinary(pool.iter().map(|r| r.lag.millis(now)).collect());
        let own: Vec<_> = pool.iter().copied().filter(|r| weights.takes(r)).collect();
        let home = home_of(if own.is_empty() { &pool } else { &own }, wanted.parts);
        let mut best: Option<(&Replica, f64)> = None;
        let mut second: Option<(&Replica, f64)> = None;
        for replica in &pool {
            let is_home = home.as_ref() == Some(&&replica.info.id);
            let mut cost = replica.cost(now, wanted, &weights, is_home);
            if wanted.parts.is_empty() {
                cost += overload::wait_cost(replica.lag.millis(now), replica.seed ^ wanted.draw);
            } else {
                cost += replica.lag.cost(now, ordinary, wanted.draw);
            }
            if best.is_none_or(|(_, least)| cost < least) {
                second = best;
                best = Some((replica, cost));
            } else if second.is_none_or(|(_, least)| cost < least) {
                second = Some((replica, cost));
            }
        }
        let (replica, cost) = best?;
        let is_home = home == Some(&replica.info.id);
        Some(Chosen {
            unread: replica.unread(now, wanted.parts, is_home),
            lag: replica.lag.millis(now),
            group: weights.division.map(|(_, group)| (group, weights.takes(replica))),
            id: replica.info.id.clone(),
            address: replica.info.address,
            cost,
            weighed: pool.len(),
            second: second.map(|(r, cost)| (r.info.id.clone(), cost)),
        })
    }

    /// Returns the upstreams that may get a request.
    fn candidates(&self, now: Time, wanted: &Wanted<'_>) -> Vec<&Replica> {
        let spares = self.starts.of(wanted.service).is_some();
        let share = self.starts.share(wanted.service);
        let fit: Vec<_> = self
            .table
            .values()
            .filter(|r| r.info.service == *wanted.service)
            .filter(|r| r.is_usable(now))
            .filter(|r| !spares || r.bears_more(now, share))
            .filter(|r| !wanted.tried.contains(&r.info.id))
            .filter(|r| r.running < wanted.connections)
            .collect();
        let rested: Vec<_> = fit.iter().copied().filter(|r| r.rests_until <= now).collect();
        // When most rest, the fault is likely elsewhere, and one of them may serve.
        if rested.is_empty() { fit } else { rested }
    }
}

/// Returns the upstream that all VMs prefer for a chain of shared parts.
fn home_of<'a>(pool: &[&'a Replica], parts: &[PromptPart]) -> Option<&'a UpstreamId> {
    let chain = shared(parts).last()?;
    let weight = |r: &&&Replica| xxh3_64_with_seed(&chain.id.to_be_bytes(), r.seed);
    pool.iter().max_by_key(weight).map(|r| &r.info.id)
}
