//! Incremental updates of the view: the members that were added, changed or removed.
//!
//! The store holds the full view. Processes send each other only differences, so that the size
//! of an update depends on the change and not on the size of the fleet. The sender may have
//! skipped epochs that the receiver has seen. The update therefore carries a digest of all
//! members, and a receiver at which the digest does not match asks for the full view.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{Epoch, Incarnation};
use crate::view::{Member, MemberState, UncertainKeys, View};

/// Maximum number of changes in the log; a process that lacks more gets the full view.
///
/// A change takes 16 B. The bound is three times the number of members of a full-size fleet.
const MAX_CHANGES: usize = 2048;

/// A full or incremental view, as processes send it to each other.
///
/// It does not contain the earlier arbiters of keys (`View::recent_arbiters`): only a process that
/// writes the view needs these, and it reads the store's value first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewUpdate {
    /// The epoch that the receiver must have reached; 0 if the update lists all members.
    pub base: Epoch,
    /// The epoch that the update leads to.
    pub epoch: Epoch,
    /// The last epoch whose handovers are all known to be complete.
    pub complete: Epoch,
    /// The members that were added or changed since the base.
    pub members: Vec<Member>,
    /// The members that were removed since the base.
    pub gone: Vec<Incarnation>,
    /// The uncertain keys since the base.
    #[serde(rename = "doubts")]
    pub uncertain_keys: Vec<UncertainKeys>,
    /// A digest of all members of the view that the update leads to.
    pub digest: u64,
}

impl ViewUpdate {
    /// Applies the update to an older view and returns the result.
    ///
    /// Returns `None` if the update does not fit the older view; the caller asks for the full view
    /// then.
    #[must_use]
    pub fn apply(&self, old: &View) -> Option<View> {
        if old.epoch < self.base {
            return None;
        }
        let mut members: BTreeMap<_, _> = BTreeMap::new();
        let mut uncertain_keys = Vec::new();
        if self.base > Epoch(0) {
            members.extend(old.members.iter().map(|m| (m.incarnation, m.clone())));
            uncertain_keys
                .extend(old.uncertain_keys.iter().filter(|d| d.epoch <= self.base).cloned());
        }
        for id in &self.gone {
            members.remove(id);
        }
        members.extend(self.members.iter().map(|m| (m.incarnation, m.clone())));
        uncertain_keys.extend(self.uncertain_keys.iter().cloned());
        let mut view = View {
            epoch: self.epoch,
            members: members.into_values().collect(),
            complete: self.complete,
            recent_arbiters: Vec::new(),
            uncertain_keys,
            // Only a process that writes the view needs it.
            joined_revision: 0,
        };
        view.compact_uncertain_keys();
        (digest(&view) == self.digest).then_some(view)
    }
}

/// The most recent changes of members that this process has applied.
#[derive(Debug, Default)]
pub(crate) struct ViewLog {
    /// The epoch after which every change is in the log.
    complete_since: Epoch,
    changes: VecDeque<(Epoch, Incarnation)>,
}

impl ViewLog {
    /// Records the differences between a view and the one before it.
    pub(crate) fn record(&mut self, old: &View, new: &View) {
        if old.epoch == Epoch(0) {
            self.complete_since = new.epoch;
            return;
        }
        let added = new.members.iter().filter(|m| old.member(m.incarnation) != Some(m));
        let removed = old.members.iter().filter(|m| !new.has_member(m.incarnation));
        self.changes.extend(added.chain(removed).map(|m| (new.epoch, m.incarnation)));
        while self.changes.len() > MAX_CHANGES {
            if let Some((epoch, _)) = self.changes.pop_front() {
                self.complete_since = epoch;
            }
        }
    }

    /// Returns the update for a process whose view has the epoch `base`.
    pub(crate) fn update_since(&self, view: &View, base: Epoch) -> ViewUpdate {
        let mut update = ViewUpdate {
            epoch: view.epoch,
            complete: view.complete,
            digest: digest(view),
            ..ViewUpdate::default()
        };
        if base < self.complete_since || base == Epoch(0) {
            update.members.clone_from(&view.members);
            update.uncertain_keys.clone_from(&view.uncertain_keys);
            return update;
        }
        update.base = base;
        for (_, id) in self.changes.iter().filter(|(epoch, _)| *epoch > base) {
            match view.member(*id) {
                Some(member) if update.members.iter().all(|m| m.incarnation != *id) => {
                    update.members.push(member.clone());
                }
                Some(_) => {}
                None => update.gone.push(*id),
            }
        }
        update
            .uncertain_keys
            .extend(view.uncertain_keys.iter().filter(|d| d.epoch > base).cloned());
        update
    }
}

/// Returns a digest of the members of a view, their states included.
fn digest(view: &View) -> u64 {
    let member_digest = |m: &Member| {
        let seed = match m.standing {
            MemberState::Active => 0,
            MemberState::Leaving => 1,
        };
        xxh3_64_with_seed(&m.incarnation.0.to_be_bytes(), seed)
    };
    view.members.iter().fold(0, |sum, m| sum ^ member_digest(m))
}
