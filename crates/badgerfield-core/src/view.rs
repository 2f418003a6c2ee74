//! The membership view: which processes take part, as one numbered value of the platform.
//!
//! Views are ordered by the platform's compare-and-swap. A process that was removed
//! never comes back under the same incarnation. Two rules rest on that order and on
//! nothing else: which process decides about a request's key, and which of two
//! processes keeps a parked amount when one of them is removed.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{Domain, Epoch, Incarnation, Region, RequestKey, VmId, rendezvous_weight};

/// The most members of a small view, in which everybody does what in a large one is left to
/// a few; `docs/PLATFORM.md` lists what that is.
pub(crate) const MAX_SMALL_VIEW_MEMBERS: usize = 16;
/// How many doubts a view keeps.
const MAX_DOUBTS: usize = 16;

/// Whether a member takes on duties.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// The member decides about keys and keeps parked amounts.
    Active,
    /// The member is stopping; it finishes what runs and takes on nothing new.
    Leaving,
}

/// One process in the view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The VM on which the process runs.
    pub vm: VmId,
    /// The run of the process.
    pub incarnation: Incarnation,
    /// The region.
    pub region: Region,
    /// The failure domain.
    pub domain: Domain,
    /// The address for the system's own messages.
    pub peer: SocketAddr,
    /// The address for callers.
    pub caller: SocketAddr,
    /// Whether it takes on duties.
    pub standing: MemberState,
}

/// What became of a member that decided about keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fate {
    /// It decided all the time.
    Stayed,
    /// It joined since the last complete epoch.
    Joined,
    /// It is gone.
    Gone,
}

/// A member that decided about keys since the last complete epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decider {
    /// The member.
    pub id: Incarnation,
    /// Its region.
    pub region: Region,
    /// What became of it.
    pub fate: Fate,
}

/// Keys whose memory may be lost, because several members went before all hand-overs
/// were complete.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Doubt {
    /// The epoch that recorded the doubt.
    pub epoch: Epoch,
    /// Who decided about keys.
    pub deciders: Vec<Decider>,
}

/// The numbered view.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The number of the view.
    pub epoch: Epoch,
    /// The members, by incarnation.
    pub members: Vec<Member>,
    /// The last epoch of which every hand-over is known to be complete.
    pub complete: Epoch,
    /// All members that decided about keys since that epoch.
    pub deciders: Vec<Decider>,
    /// The doubts of late, oldest first.
    #[serde(rename = "doubts")]
    pub uncertain_keys: Vec<Doubt>,
}

/// Why a value is not a view.
#[derive(Debug, Error)]
#[error("expected a membership view in JSON: {0}")]
pub struct ViewError(#[from] serde_json::Error);

impl View {
    /// Decodes a value; an absent one is the empty view.
    ///
    /// # Errors
    ///
    /// Refuses what is not JSON of this shape.
    pub fn decode(bytes: Option<&[u8]>) -> Result<Self, ViewError> {
        let Some(bytes) = bytes else {
            return Ok(Self::default());
        };
        Ok(serde_json::from_slice(bytes)?)
    }

    /// Encodes the view as the value that the platform keeps.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // Plain fields always have a JSON form.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Returns a member.
    #[must_use]
    pub fn member(&self, id: Incarnation) -> Option<&Member> {
        self.members.iter().find(|m| m.incarnation == id)
    }

    /// Tells whether a process is a member.
    #[must_use]
    pub fn has(&self, id: Incarnation) -> bool {
        self.member(id).is_some()
    }

    /// Returns the view in which a process has joined.
    ///
    /// An earlier process of the same VM goes in the same step: the new one holds
    /// the VM's listener, so the old one has ended.
    #[must_use]
    pub fn with_member(&self, member: Member, handed_over: bool) -> Self {
        self.with_members(vec![member], handed_over)
    }

    /// Returns the view in which several processes have joined in one step.
    #[must_use]
    pub fn with_members(&self, mut guests: Vec<Member>, handed_over: bool) -> Self {
        // Of two processes of one VM, one has ended.
        let joins: BTreeMap<_, _> = guests.iter().map(|m| (m.vm.clone(), m.incarnation)).collect();
        guests.retain(|m| joins.get(&m.vm) == Some(&m.incarnation));
        let is_old = |m: &&Member| joins.get(&m.vm).is_some_and(|id| *id != m.incarnation);
        let old: Vec<_> = self.members.iter().filter(is_old).map(|m| m.incarnation).collect();
        let mut next = self.without_members(&old, handed_over);
        next.members.retain(|m| !joins.contains_key(&m.vm));
        next.members.extend(guests);
        next.members.sort_by_key(|m| m.incarnation);
        next
    }

    /// Returns the view in which a member is leaving.
    #[must_use]
    pub fn with_leaving(&self, id: Incarnation, handed_over: bool) -> Self {
        let mut next = self.without_members(&[], handed_over);
        for member in &mut next.members {
            if member.incarnation == id {
                member.standing = MemberState::Leaving;
            }
        }
        next
    }

    /// Returns the view without some members.
    ///
    /// `handed_over` tells whether every active member has confirmed the hand-overs
    /// of this view. While it has not, the view remembers who decided about keys; if
    /// more than one of those goes, what they decided may be lost, and the view says so.
    #[must_use]
    pub fn without_members(&self, gone: &[Incarnation], handed_over: bool) -> Self {
        let mut next = if handed_over { self.completed() } else { self.clone() };
        next.note_deciders();
        next.epoch = self.epoch.next();
        next.members.retain(|m| !gone.contains(&m.incarnation));
        let mut lost = 0;
        for decider in &mut next.deciders {
            if self.has(decider.id) && !gone.contains(&decider.id) {
                continue;
            }
            decider.fate = Fate::Gone;
            lost += 1;
        }
        if lost > 1 && !gone.is_empty() {
            let (epoch, deciders) = (next.epoch, next.deciders.clone());
            next.uncertain_keys.push(Doubt { epoch, deciders });
        }
        let excess = next.uncertain_keys.len().saturating_sub(MAX_DOUBTS);
        next.uncertain_keys.drain(..excess);
        next
    }

    /// Returns the same view with all its hand-overs marked as complete.
    #[must_use]
    pub fn completed(&self) -> Self {
        let mut next = self.clone();
        next.complete = self.epoch;
        next.deciders.clear();
        for member in self.members.iter().filter(|m| m.standing == MemberState::Active) {
            let (id, region) = (member.incarnation, member.region.clone());
            next.deciders.push(Decider { id, region, fate: Fate::Stayed });
        }
        next
    }

    /// Adds members that decide about keys and are not noted yet.
    fn note_deciders(&mut self) {
        for member in self.members.iter().filter(|m| m.standing == MemberState::Active) {
            let (id, region) = (member.incarnation, member.region.clone());
            if self.deciders.iter().all(|d| d.id != id) {
                self.deciders.push(Decider { id, region, fate: Fate::Joined });
            }
        }
    }

    /// Returns the active members in order of their rank for a subject, best first.
    #[must_use]
    pub fn ranked(&self, subject: &[u8], region: Option<&Region>) -> Vec<&Member> {
        let mut members: Vec<_> = self
            .members
            .iter()
            .filter(|m| m.standing == MemberState::Active)
            .filter(|m| region.is_none_or(|r| &m.region == r))
            .collect();
        members
            .sort_by_cached_key(|m| std::cmp::Reverse(rendezvous_weight(subject, m.incarnation)));
        members
    }

    /// Returns the member that decides about a key, and the one that keeps a copy.
    #[must_use]
    pub fn arbiters(
        &self,
        key: RequestKey,
        home: Option<&Region>,
    ) -> Option<(&Member, Option<&Member>)> {
        let subject = key.0.to_be_bytes();
        let mut first = None;
        let mut second = None;
        for member in &self.members {
            let far = home.is_some_and(|home| &member.region != home);
            if far || member.standing != MemberState::Active {
                continue;
            }
            let weight = rendezvous_weight(&subject, member.incarnation);
            if first.is_none_or(|(most, _): (u64, &Member)| weight > most) {
                second = first.replace((weight, member));
            } else if second.is_none_or(|(most, _): (u64, &Member)| weight > most) {
                second = Some((weight, member));
            }
        }
        Some((first?.1, second.map(|(_, member)| member)))
    }

    /// Returns the member that keeps the parked amounts of another: of the same
    /// region, and of another failure domain where there is one.
    ///
    /// It is the next one in the ring of members, so that each keeps the amounts of few: what
    /// is parked with a member that is gone is out of reach until the view says so.
    #[must_use]
    pub fn witness_of(&self, id: Incarnation) -> Option<&Member> {
        let place = self.members.iter().position(|m| m.incarnation == id)?;
        let me = self.members.get(place)?;
        let ring = self.members.iter().cycle().skip(place + 1).take(self.members.len() - 1);
        let is_fit = |m: &&Member| m.standing == MemberState::Active && m.region == me.region;
        let mut others = ring.filter(is_fit);
        let first = others.next()?;
        if first.domain != me.domain {
            return Some(first);
        }
        others.find(|m| m.domain != me.domain).or(Some(first))
    }

    /// Returns the epoch since which a key's memory may be lost, if it may.
    #[must_use]
    pub fn uncertain_since(&self, key: RequestKey, home: Option<&Region>) -> Option<Epoch> {
        let doubt = self.uncertain_keys.iter().rev().find(|doubt| doubt.covers(key, home))?;
        Some(doubt.epoch)
    }
}

impl Doubt {
    /// Tells whether a member that is gone may have decided about a key.
    ///
    /// It may not if a member that stayed all the time ranks above it.
    fn covers(&self, key: RequestKey, home: Option<&Region>) -> bool {
        let mut ranked: Vec<_> =
            self.deciders.iter().filter(|d| home.is_none_or(|r| &d.region == r)).collect();
        ranked.sort_by_key(|d| std::cmp::Reverse(rendezvous_weight(&key.0.to_be_bytes(), d.id)));
        for decider in ranked {
            match decider.fate {
                Fate::Stayed => return false,
                Fate::Joined => {}
                Fate::Gone => return true,
            }
        }
        false
    }
}
