//! The orders for rollouts and their progress, as one process knows them.
//!
//! For each service, the order with the highest revision of the store counts, and of that order the
//! furthest phase. Therefore the order in which updates arrive does not matter, a rollout never
//! goes back to an earlier phase, and two processes that have exchanged all they know have the same
//! state.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{OrderChange, RolloutReason, RolloutRecord, RolloutState};
use crate::ids::{Service, SoftwareVersion};

/// Maximum number of services that are kept. A deployment has a handful; the limit protects against
/// an operator that writes arbitrary names. The service with the oldest order is removed first.
const MAX_SERVICES: usize = 64;
/// Maximum number of versions of a service that are kept as refused. Each order that did not
/// complete adds one, and its upstreams may still be listed.
const MAX_REFUSED: usize = 8;

/// The phase of an order. Later phases take precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RolloutPhase {
    /// The record names the order: a bounded share of the requests goes to the target.
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

/// The progress of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutProgress {
    /// The phase.
    pub phase: RolloutPhase,
    /// The reason for the phase.
    pub reason: RolloutReason,
    /// Targets of earlier orders that no request may go to.
    pub refused: BTreeSet<SoftwareVersion>,
}

impl RolloutProgress {
    /// Returns the progress of the order that the record names.
    #[must_use]
    pub fn from_record(record: &RolloutRecord) -> Self {
        let phase = match record.state {
            RolloutState::InProgress if record.moving => RolloutPhase::Moving,
            RolloutState::InProgress => RolloutPhase::Canary,
            RolloutState::RolledBack => RolloutPhase::RolledBack,
            RolloutState::Completed => RolloutPhase::Completed,
        };
        Self { phase, reason: record.reason, refused: record.refused.clone() }
    }
}

/// The rollout of one service as a process knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownRollout {
    /// The newest change of the order.
    pub change: OrderChange,
    /// The progress of the order; `None` while no record that names it is known.
    pub stage: Option<RolloutProgress>,
}

/// All rollouts that a process knows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KnownRollouts {
    services: BTreeMap<Service, KnownRollout>,
    digest: u64,
}

impl KnownRollouts {
    /// Applies updates, which may arrive in any order. Returns the new state of each service that
    /// they change.
    pub fn apply(&mut self, updates: impl IntoIterator<Item = KnownRollout>) -> Vec<KnownRollout> {
        let mut changed = Vec::new();
        for update in updates {
            let service = update.change.service.clone();
            let merged = match self.services.get(&service) {
                Some(known) => known.clone().merge(update),
                None => update,
            };
            if self.services.get(&service) == Some(&merged) {
                continue;
            }
            changed.push(merged.clone());
            self.services.insert(service, merged);
        }
        self.remove_oldest();
        self.digest = self.services.values().fold(0, |sum, known| sum ^ known.digest());
        changed
    }

    /// Applies all orders that existed at a revision. Other known orders had been withdrawn by
    /// then.
    ///
    /// Returns the same as [`KnownRollouts::apply`].
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

    /// Returns the rollout of a service.
    #[must_use]
    pub fn get(&self, service: &Service) -> Option<&KnownRollout> {
        self.services.get(service)
    }

    /// Returns all known rollouts, to send them to other processes.
    #[must_use]
    pub fn all(&self) -> Vec<KnownRollout> {
        self.services.values().cloned().collect()
    }

    /// Returns a digest of all known rollouts; 0 if there are none.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns a digest of the orders that were not withdrawn, whatever their phase; 0 if there are
    /// none.
    #[must_use]
    pub fn order_digest(&self) -> u64 {
        let ordered = self.services.values().filter(|known| known.change.order.is_some());
        ordered.fold(0, |sum, known| {
            let name = known.change.service.as_str().as_bytes();
            sum ^ xxh3_64_with_seed(name, known.change.revision)
        })
    }

    fn remove_oldest(&mut self) {
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
    /// Returns the target of the order, or `None` if the order was withdrawn.
    #[must_use]
    pub fn target(&self) -> Option<&SoftwareVersion> {
        self.change.order.as_ref().map(|order| &order.target)
    }

    /// Returns the phase of the order, or `None` while no record that names it is known.
    #[must_use]
    pub fn phase(&self) -> Option<RolloutPhase> {
        self.stage.as_ref().map(|stage| stage.phase)
    }

    /// Merges the states of two processes.
    fn merge(self, other: Self) -> Self {
        if self.change.revision != other.change.revision {
            let self_is_newer = self.change.revision > other.change.revision;
            return if self_is_newer { self } else { other };
        }
        let stage = match (self.stage, other.stage) {
            (Some(a), Some(b)) => Some(a.merge(b)),
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
    /// Merges the progress that two processes know. The refused versions come from the record, so
    /// they are the same for all phases of an order.
    fn merge(self, other: Self) -> Self {
        if other.phase > self.phase { other } else { self }
    }
}

/// Returns the versions that the next record refuses: those that the last record refuses, and the
/// target of the last record unless that was completed. The target of the new order is never
/// refused.
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
    // The target of the last record is dropped last: its upstreams may still be listed.
    while refused.len() > MAX_REFUSED {
        let oldest = refused.iter().find(|version| **version != last.target).cloned();
        let Some(oldest) = oldest else {
            break;
        };
        refused.remove(&oldest);
    }
    refused
}
