//! Which failure domains operators have evacuated, as the processes of a fleet believe it.
//!
//! The platform orders all changes by its revisions. Of each domain the change with the highest
//! revision counts, whoever told it. So the order in which changes arrive does not matter, none
//! is undone by an older one, and two processes that have told each other what they know
//! believe the same.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::Domain;

/// How many domains are remembered. An operator evacuates one of a handful; the bound is for
/// one that writes names at random, and drops what changed longest ago.
const MAX_DOMAINS: usize = 64;

/// What an operator last did to a failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainChange {
    /// The failure domain.
    pub domain: Domain,
    /// The platform's revision at which it was done.
    pub revision: u64,
    /// Whether the domain is evacuated since; otherwise it was taken back.
    pub evacuated: bool,
}

/// The newest change of every failure domain that was ever evacuated.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    changes: BTreeMap<Domain, DomainChange>,
    digest: u64,
}

impl Evacuations {
    /// Takes in changes, in any order; returns those after which a domain is evacuated that was
    /// not, or the other way round.
    pub fn apply(&mut self, changes: impl IntoIterator<Item = DomainChange>) -> Vec<DomainChange> {
        let mut turned = Vec::new();
        for change in changes {
            let known = self.changes.get(&change.domain);
            if known.is_some_and(|known| known.revision >= change.revision) {
                continue;
            }
            if known.is_some_and(|known| known.evacuated) != change.evacuated {
                turned.push(change.clone());
            }
            self.changes.insert(change.domain.clone(), change);
        }
        self.forget_oldest();
        self.digest = self.changes.values().fold(0, |sum, change| sum ^ digest_of(change));
        turned
    }

    /// Takes in all domains that were evacuated at a revision: any other was taken back by then.
    ///
    /// Returns what [`Evacuations::apply`] does.
    pub fn apply_snapshot(
        &mut self,
        revision: u64,
        evacuated: Vec<DomainChange>,
    ) -> Vec<DomainChange> {
        let is_missing = |domain: &Domain| evacuated.iter().all(|change| change.domain != *domain);
        let back = |known: &DomainChange| DomainChange {
            domain: known.domain.clone(),
            revision,
            evacuated: false,
        };
        let taken_back: Vec<_> = self
            .changes
            .values()
            .filter(|known| known.evacuated && is_missing(&known.domain))
            .map(back)
            .collect();
        self.apply(evacuated.into_iter().chain(taken_back))
    }

    /// Returns every change that is known, for processes that may know less.
    #[must_use]
    pub fn changes(&self) -> Vec<DomainChange> {
        self.changes.values().cloned().collect()
    }

    /// Returns a number that stands for all that is known; 0 if that is nothing.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    fn forget_oldest(&mut self) {
        while self.changes.len() > MAX_DOMAINS {
            // One that is evacuated now is kept the longest: its return would be told to nobody.
            let age = |change: &&DomainChange| (change.evacuated, change.revision);
            let oldest = self.changes.values().min_by_key(age);
            let Some(domain) = oldest.map(|change| change.domain.clone()) else {
                return;
            };
            self.changes.remove(&domain);
        }
    }
}

fn digest_of(change: &DomainChange) -> u64 {
    let seed = change.revision << 1 | u64::from(change.evacuated);
    xxh3_64_with_seed(change.domain.as_str().as_bytes(), seed)
}
