//! The members that have been able to decide about keys since the last complete view.

use std::collections::BTreeMap;

use crate::ids::{Incarnation, Region, RequestKey, rendezvous_weight};
use crate::view::{MAX_RECENT_ARBITERS, Member, MemberState, View};

/// The active members of several views together.
///
/// It takes the place of the views themselves: views may follow each other for a long time before
/// one is complete, and a process that kept all of them would exceed its memory.
#[derive(Debug, Default)]
pub(super) struct ArbiterHistory {
    /// The members that were active in any of the views.
    active: BTreeMap<Incarnation, Region>,
    /// Whether this process was missing from a view, or was not active in it.
    was_absent: bool,
}

impl ArbiterHistory {
    /// Adds the active members of a view.
    pub(super) fn record(&mut self, me: Incarnation, view: &View) {
        let is_active = |m: &&Member| m.standing == MemberState::Active;
        self.was_absent |= !view.member(me).is_some_and(|m| is_active(&m));
        if self.was_absent {
            self.active.clear();
            return;
        }
        for member in view.members.iter().filter(is_active) {
            self.active.entry(member.incarnation).or_insert_with(|| member.region.clone());
        }
        // With an incomplete history, this process could take itself for the arbiter of a key about
        // which another one has decided.
        if self.active.len() > MAX_RECENT_ARBITERS {
            self.was_absent = true;
            self.active.clear();
        }
    }

    /// Returns whether a process is the arbiter of a key in each of the views.
    pub(super) fn always_ranks_first(
        &self,
        me: Incarnation,
        key: RequestKey,
        home: Option<&Region>,
    ) -> bool {
        let subject = key.0.to_be_bytes();
        let rank = |id: Incarnation| (rendezvous_weight(&subject, id), std::cmp::Reverse(id));
        let in_home = |region: &Region| home.is_none_or(|home| region == home);
        let own = rank(me);
        self.active.get(&me).is_some_and(in_home)
            && self.active.iter().all(|(id, region)| !in_home(region) || rank(*id) <= own)
    }
}
