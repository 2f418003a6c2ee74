//! The failure domains that operators have evacuated, as known to a process.
//!
//! The store orders all changes by its revisions. For each domain the change with the highest
//! revision counts, regardless of its sender. The order in which changes arrive therefore does not
//! matter, an older change never undoes a newer one, and two processes that have exchanged their
//! changes have the same state.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::Domain;

/// Maximum number of domains in the table.
///
/// Operators evacuate one of a few domains. The bound protects against random names; beyond it
/// the domain whose change is the oldest is dropped.
const MAX_DOMAINS: usize = 64;

/// The last change of a failure domain by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainChange {
    /// The failure domain.
    pub domain: Domain,
    /// The store's revision of the change.
    pub revision: u64,
    /// Whether the change evacuated the domain; otherwise it restored the domain.
    pub evacuated: bool,
}

/// The newest change of each failure domain that was ever evacuated.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    changes: BTreeMap<Domain, DomainChange>,
    digest: u64,
}

impl Evacuations {
    /// Applies changes, in any order.
    ///
    /// Returns the changes that evacuated a domain that was in use, or restored an evacuated one.
    pub fn apply(&mut self, changes: impl IntoIterator<Item = DomainChange>) -> Vec<DomainChange> {
        let mut transitions = Vec::new();
        for change in changes {
            let known = self.changes.get(&change.domain);
            if known.is_some_and(|known| known.revision >= change.revision) {
                continue;
            }
            if known.is_some_and(|known| known.evacuated) != change.evacuated {
                transitions.push(change.clone());
            }
            self.changes.insert(change.domain.clone(), change);
        }
        self.evict_oldest();
        self.digest = self.changes.values().fold(0, |sum, change| sum ^ change_digest(change));
        transitions
    }

    /// Applies the list of all domains that are evacuated at a revision; any other domain has been
    /// restored by then.
    ///
    /// Returns the same as [`Evacuations::apply`].
    pub fn apply_snapshot(
        &mut self,
        revision: u64,
        evacuated: Vec<DomainChange>,
    ) -> Vec<DomainChange> {
        let is_missing = |domain: &Domain| evacuated.iter().all(|change| change.domain != *domain);
        let restore = |known: &DomainChange| DomainChange {
            domain: known.domain.clone(),
            revision,
            evacuated: false,
        };
        let restored: Vec<_> = self
            .changes
            .values()
            .filter(|known| known.evacuated && is_missing(&known.domain))
            .map(restore)
            .collect();
        self.apply(evacuated.into_iter().chain(restored))
    }

    /// Returns all known changes, for processes that may lack some.
    #[must_use]
    pub fn changes(&self) -> Vec<DomainChange> {
        self.changes.values().cloned().collect()
    }

    /// Returns a digest of all known changes; 0 if there are none.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns a digest of the domains that are evacuated; 0 if there are none.
    ///
    /// Unlike [`Self::digest`] it is the same for a process that knows nothing of restored domains.
    #[must_use]
    pub fn active_digest(&self) -> u64 {
        let active = self.changes.values().filter(|change| change.evacuated);
        active.fold(0, |sum, change| sum ^ change_digest(change))
    }

    fn evict_oldest(&mut self) {
        while self.changes.len() > MAX_DOMAINS {
            // Evacuated domains are dropped last: otherwise the change that restores one would not
            // be reported.
            let order = |change: &&DomainChange| (change.evacuated, change.revision);
            let oldest = self.changes.values().min_by_key(order);
            let Some(domain) = oldest.map(|change| change.domain.clone()) else {
                return;
            };
            self.changes.remove(&domain);
        }
    }
}

fn change_digest(change: &DomainChange) -> u64 {
    let seed = change.revision << 1 | u64::from(change.evacuated);
    xxh3_64_with_seed(change.domain.as_str().as_bytes(), seed)
}
