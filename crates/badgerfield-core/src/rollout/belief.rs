//! Which roll-outs are ordered and how far they have come, as the processes of a fleet believe it.
//!
//! Of each service the order with the highest revision of the platform counts, and of that order
//! the furthest phase. So the order in which news arrives does not matter, nothing steps back,
//! and two processes that have told each other what they know believe the same.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{OrderChange, RolloutReason, RolloutRecord, RolloutState};
use crate::ids::{Service, SoftwareVersion};

/// How many services are remembered. A deployment has a handful; the bound is for an operator
/// that writes names at random, and drops what was ordered longest ago.
const MAX_SERVICES: usize = 64;
/// How many versions of a service are remembered that no request may go to. Each order that did
/// not complete leaves one, whose upstreams may still be listed.
const MAX_REFUSED: usize = 8;

/// How far an order has come. Later phases count more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RolloutPhase {
    /// The record names the order: a bounded share of the requests tries the target.
    Canary,
    /// The record says that all requests move to the target.
    Moving,
    /// A judge found the target bad; the record does not say so yet.
    Rejected,
    /// The record says that no request goes to the target.
    RolledBack,
    /// The record says that all requests go to the target.
    Completed,
}

/// What is known of how far an order has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutProgress {
    /// How far.
    pub phase: RolloutPhase,
    /// Why.
    pub reason: RolloutReason,
    /// Versions of earlier orders that no request may go to.
    pub refused: BTreeSet<SoftwareVersion>,
}

impl RolloutProgress {
    /// Reads how far an order has come off the record that names it.
    #[must_use]
    pub fn of(record: &RolloutRecord) -> Self {
        let phase = match record.state {
            RolloutState::InProgress if record.moving => RolloutPhase::Moving,
            RolloutState::InProgress => RolloutPhase::Canary,
            RolloutState::RolledBack => RolloutPhase::RolledBack,
            RolloutState::Completed => RolloutPhase::Completed,
        };
        Self { phase, reason: record.reason, refused: record.refused.clone() }
    }
}

/// What a process knows of the roll-out of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownRollout {
    /// The newest order.
    pub change: OrderChange,
    /// How far it has come; nothing while no record is known that names it.
    pub stage: Option<RolloutProgress>,
}

/// What a process knows of all roll-outs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KnownRollouts {
    services: BTreeMap<Service, KnownRollout>,
    digest: u64,
}

impl KnownRollouts {
    /// Takes in news, in any order; returns what is known now of each service of which they
    /// told something new.
    pub fn apply(&mut self, news: impl IntoIterator<Item = KnownRollout>) -> Vec<KnownRollout> {
        let mut turned = Vec::new();
        for found in news {
            let service = found.change.service.clone();
            let next = match self.services.get(&service) {
                Some(known) => known.clone().join(found),
                None => found,
            };
            if self.services.get(&service) == Some(&next) {
                continue;
            }
            turned.push(next.clone());
            self.services.insert(service, next);
        }
        self.forget_oldest();
        self.digest = self.services.values().fold(0, |sum, known| sum ^ known.digest());
        turned
    }

    /// Takes in all orders that stood at a revision: any other was withdrawn by then.
    ///
    /// Returns what [`KnownRollouts::apply`] does.
    pub fn apply_snapshot(&mut self, revision: u64, orders: Vec<OrderChange>) -> Vec<KnownRollout> {
        let is_missing = |service: &Service| orders.iter().all(|o| o.service != *service);
        let withdrawn: Vec<_> = self
            .services
            .values()
            .filter(|known| known.change.order.is_some() && is_missing(&known.change.service))
            .map(|known| OrderChange {
                service: known.change.service.clone(),
                revision,
                order: None,
            })
            .collect();
        let orders = orders.into_iter().chain(withdrawn);
        self.apply(orders.map(|change| KnownRollout { change, stage: None }))
    }

    /// Returns what is known of a service.
    #[must_use]
    pub fn get(&self, service: &Service) -> Option<&KnownRollout> {
        self.services.get(service)
    }

    /// Returns all that is known, for processes that may know less.
    #[must_use]
    pub fn all(&self) -> Vec<KnownRollout> {
        self.services.values().cloned().collect()
    }

    /// Returns a number that stands for all that is known; 0 if that is nothing.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    fn forget_oldest(&mut self) {
        while self.services.len() > MAX_SERVICES {
            let oldest = self.services.values().min_by_key(|known| known.change.revision);
            let Some(service) = oldest.map(|known| known.change.service.clone()) else {
                return;
            };
            self.services.remove(&service);
        }
    }
}

impl KnownRollout {
    /// Returns the target of the order, unless it was withdrawn.
    #[must_use]
    pub fn target(&self) -> Option<&SoftwareVersion> {
        self.change.order.as_ref().map(|order| &order.target)
    }

    /// Tells how far the order has come; nothing while no record is known that names it.
    #[must_use]
    pub fn phase(&self) -> Option<RolloutPhase> {
        self.stage.as_ref().map(|stage| stage.phase)
    }

    /// Returns what two processes know together.
    fn join(self, other: Self) -> Self {
        if self.change.revision != other.change.revision {
            let self_is_newer = self.change.revision > other.change.revision;
            return if self_is_newer { self } else { other };
        }
        let stage = match (self.stage, other.stage) {
            (Some(a), Some(b)) => Some(a.join(b)),
            (a, b) => a.or(b),
        };
        Self { change: self.change, stage }
    }

    fn digest(&self) -> u64 {
        let phase = match self.phase() {
            None => 0,
            Some(RolloutPhase::Canary) => 1,
            Some(RolloutPhase::Moving) => 2,
            Some(RolloutPhase::Rejected) => 3,
            Some(RolloutPhase::RolledBack) => 4,
            Some(RolloutPhase::Completed) => 5,
        };
        let seed = self.change.revision << 3 | phase;
        xxh3_64_with_seed(self.change.service.as_str().as_bytes(), seed)
    }
}

impl RolloutProgress {
    /// Returns what two processes know together. Versions that are refused come from the
    /// record, and so are the same for all phases of an order.
    fn join(self, other: Self) -> Self {
        if other.phase > self.phase { other } else { self }
    }
}

/// Returns the versions that a new record refuses: what the last one refused, and its target
/// unless that was completed, but never the target of the new order.
#[must_use]
pub(super) fn refused_after(
    last: &RolloutRecord,
    target: Option<&SoftwareVersion>,
) -> BTreeSet<SoftwareVersion> {
    let mut refused = last.refused.clone();
    if last.state != RolloutState::Completed {
        refused.insert(last.target.clone());
    }
    if let Some(target) = target {
        refused.remove(target);
    }
    // The one that was just found to be bad is the last to be forgotten: its upstreams may
    // still be listed.
    while refused.len() > MAX_REFUSED {
        let oldest = refused.iter().find(|version| **version != last.target).cloned();
        let Some(oldest) = oldest else {
            break;
        };
        refused.remove(&oldest);
    }
    refused
}
