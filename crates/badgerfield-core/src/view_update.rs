//! What a process that is behind is sent of the view: the members that came, changed or went,
//! instead of all of them.
//!
//! The store holds the view whole. Between processes only differences travel, so that a change
//! costs bytes by what changed and not by the size of the fleet. The sender may have jumped
//! over epochs that the receiver has seen, so a digest of all members tells the receiver whether
//! the difference fits; it asks for the whole view if not.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{Epoch, Incarnation};
use crate::view::{Doubt, Member, MemberState, View};

/// How many changes of members are remembered; a process that is further behind gets the
/// whole view. 16 B each; three times the members of the full size.
const MAX_CHANGES: usize = 2048;

/// A view as processes pass it on.
///
/// It does not say who decided about keys before (`View::deciders`): only a writer of the
/// view needs that, and it reads the store's value first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewUpdate {
    /// The epoch that the receiver must have reached; 0 if all members are listed.
    pub base: Epoch,
    /// The epoch that the update leads to.
    pub epoch: Epoch,
    /// The last epoch of which every hand-over is known to be complete.
    pub complete: Epoch,
    /// The members that came or changed since the base.
    pub members: Vec<Member>,
    /// The members that went since the base.
    pub gone: Vec<Incarnation>,
    /// The doubts since the base.
    pub doubts: Vec<Doubt>,
    /// Stands for all members of the view that the update leads to.
    pub digest: u64,
}

impl ViewUpdate {
    /// Returns the view that the update leads to, from the one that a process has.
    ///
    /// Returns nothing if it does not fit; the whole view is asked for then.
    #[must_use]
    pub fn apply(&self, old: &View) -> Option<View> {
        if old.epoch < self.base {
            return None;
        }
        let mut members: BTreeMap<_, _> = BTreeMap::new();
        let mut doubts = Vec::new();
        if self.base > Epoch(0) {
            members.extend(old.members.iter().map(|m| (m.incarnation, m.clone())));
            doubts.extend(old.uncertain_keys.iter().filter(|d| d.epoch <= self.base).cloned());
        }
        for id in &self.gone {
            members.remove(id);
        }
        members.extend(self.members.iter().map(|m| (m.incarnation, m.clone())));
        doubts.extend(self.doubts.iter().cloned());
        let view = View {
            epoch: self.epoch,
            members: members.into_values().collect(),
            complete: self.complete,
            deciders: Vec::new(),
            uncertain_keys: doubts,
        };
        (digest(&view) == self.digest).then_some(view)
    }
}

/// The changes of members of late, as this process saw them.
#[derive(Debug, Default)]
pub(crate) struct ViewLog {
    /// Every change after this epoch is in the log.
    since: Epoch,
    changes: VecDeque<(Epoch, Incarnation)>,
}

impl ViewLog {
    /// Notes how a newer view differs from the one before.
    pub(crate) fn note(&mut self, old: &View, new: &View) {
        if old.epoch == Epoch(0) {
            self.since = new.epoch;
            return;
        }
        let came = new.members.iter().filter(|m| old.member(m.incarnation) != Some(m));
        let went = old.members.iter().filter(|m| !new.has(m.incarnation));
        self.changes.extend(came.chain(went).map(|m| (new.epoch, m.incarnation)));
        while self.changes.len() > MAX_CHANGES {
            if let Some((epoch, _)) = self.changes.pop_front() {
                self.since = epoch;
            }
        }
    }

    /// Makes the update for a process that has an epoch.
    pub(crate) fn update_since(&self, view: &View, base: Epoch) -> ViewUpdate {
        let mut update = ViewUpdate {
            epoch: view.epoch,
            complete: view.complete,
            digest: digest(view),
            ..ViewUpdate::default()
        };
        if base < self.since || base == Epoch(0) {
            update.members.clone_from(&view.members);
            update.doubts.clone_from(&view.uncertain_keys);
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
        update.doubts.extend(view.uncertain_keys.iter().filter(|d| d.epoch > base).cloned());
        update
    }
}

/// Returns a number that stands for the members of a view.
fn digest(view: &View) -> u64 {
    let of = |m: &Member| {
        let seed = match m.standing {
            MemberState::Active => 0,
            MemberState::Leaving => 1,
        };
        xxh3_64_with_seed(&m.incarnation.0.to_be_bytes(), seed)
    };
    view.members.iter().fold(0, |sum, m| sum ^ of(m))
}
