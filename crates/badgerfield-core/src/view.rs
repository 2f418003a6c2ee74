//! The membership view: the member processes, as one numbered value of the store.
//!
//! The store's compare-and-swap orders the views. A removed process never rejoins under the
//! same incarnation. Two rules depend on that order and on nothing else: which process is the
//! arbiter of a request's key, and which of two processes keeps a parked amount when one of
//! them is removed.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{Domain, Epoch, Incarnation, Region, RequestKey, VmId, rendezvous_weight};

/// Maximum number of members of a small view.
///
/// In a small view every member does the work that only a few members do in a large one;
/// `docs/PLATFORM.md` lists this work.
pub(crate) const MAX_SMALL_VIEW_MEMBERS: usize = 16;
/// Maximum number of [`UncertainKeys`] entries of a view.
const MAX_UNCERTAIN_KEYS: usize = 16;
/// Maximum number of [`RecentArbiter`] entries of a view: three times the members of a full-size
/// fleet. Each write of the view carries them.
pub(crate) const MAX_RECENT_ARBITERS: usize = 2048;

/// Whether a member accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// The member is an arbiter of keys and a witness of parked amounts.
    Active,
    /// The member is stopping: it finishes running requests and accepts no new work.
    Leaving,
}

/// One process in the view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The VM on which the process runs.
    pub vm: VmId,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The region of the VM.
    pub region: Region,
    /// The failure domain of the VM.
    pub domain: Domain,
    /// The address for messages from other members.
    pub peer: SocketAddr,
    /// The address for requests of callers.
    pub caller: SocketAddr,
    /// Whether the member accepts new work.
    pub standing: MemberState,
    /// The bandwidth of the VM's link in Mbit/s; 0 if it is unknown.
    #[serde(default)]
    pub link_mbps: u32,
}

impl Member {
    /// Returns the class of the VM's capacity; VMs of a higher class do work for others first.
    ///
    /// Classes are factors of two, so that VMs of nearly the same size share the work.
    pub(crate) fn capacity_class(&self) -> u32 {
        self.link_mbps.checked_ilog2().map_or(0, |class| class + 1)
    }
}

/// Whether a member has been an arbiter without interruption since the last complete epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ArbiterState {
    /// It has been a member since the last complete epoch.
    Stayed,
    /// It joined since the last complete epoch.
    Joined,
    /// It was removed.
    Gone,
}

/// A member that has been an arbiter of keys since the last complete epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentArbiter {
    /// The incarnation of the member.
    pub id: Incarnation,
    /// The region of the member.
    pub region: Region,
    /// The state of the member since that epoch.
    #[serde(rename = "fate")]
    pub state: ArbiterState,
}

/// Keys whose earlier claims may be lost, because several members were removed before all
/// handovers were complete.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UncertainKeys {
    /// The first epoch in which the keys are uncertain.
    pub epoch: Epoch,
    /// The members that may have been arbiters of the keys.
    #[serde(rename = "deciders")]
    pub arbiters: Vec<RecentArbiter>,
}

/// The membership view, numbered by its epoch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The number of the view.
    pub epoch: Epoch,
    /// The members, ordered by incarnation.
    pub members: Vec<Member>,
    /// The last epoch whose handovers are all known to be complete.
    pub complete: Epoch,
    /// All members that have been arbiters of keys since that epoch.
    #[serde(rename = "deciders")]
    pub recent_arbiters: Vec<RecentArbiter>,
    /// The most recent sets of uncertain keys, oldest first.
    #[serde(rename = "doubts")]
    pub uncertain_keys: Vec<UncertainKeys>,
    /// The store's revision of the newest announcement of a process that the view takes into
    /// account. A process that announced itself up to it was added, and is not added again.
    #[serde(default)]
    pub joined_revision: u64,
}

/// The first byte of a stored view in the binary format.
const BINARY_FORMAT: u8 = 2;

/// The stored value is not a valid view.
#[derive(Debug, Error)]
pub enum ViewError {
    /// The value begins like JSON, but is not a view in JSON.
    #[error("expected a membership view in JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The value is not a view in the binary format.
    #[error("expected a membership view in binary format: {0}")]
    Binary(#[from] postcard::Error),
}

impl View {
    /// Decodes a stored value; an absent value is the empty view.
    ///
    /// Views that were stored in JSON can be read too.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a view.
    pub fn decode(bytes: Option<&[u8]>) -> Result<Self, ViewError> {
        let Some(bytes) = bytes else {
            return Ok(Self::default());
        };
        let mut view: Self = match bytes.split_first() {
            Some((&BINARY_FORMAT, rest)) => postcard::from_bytes(rest)?,
            _ => serde_json::from_slice(bytes)?,
        };
        // Members are looked up by binary search.
        view.members.sort_by_key(|m| m.incarnation);
        Ok(view)
    }

    /// Encodes the view as the value for the store.
    ///
    /// Each process that starts reads the whole view, and each change writes it, so it is encoded
    /// in a binary format, which takes a quarter of the bytes of JSON.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // Encoding cannot fail: views have no field that postcard cannot encode.
        postcard::to_extend(self, vec![BINARY_FORMAT]).unwrap_or_default()
    }

    /// Returns the member with an incarnation.
    #[must_use]
    pub fn member(&self, id: Incarnation) -> Option<&Member> {
        let index = self.members.binary_search_by_key(&id, |m| m.incarnation).ok()?;
        self.members.get(index)
    }

    /// Returns whether a process is a member.
    #[must_use]
    pub fn has_member(&self, id: Incarnation) -> bool {
        self.member(id).is_some()
    }

    /// Returns the next view, with a process added.
    ///
    /// An earlier process of the same VM is removed in the same step: the new one holds the VM's
    /// listener, so the old one has ended.
    #[must_use]
    pub fn with_member(&self, member: Member, handed_over: bool) -> Self {
        self.with_members(vec![member], handed_over)
    }

    /// Returns the next view, with several processes added in one step.
    #[must_use]
    pub fn with_members(&self, mut joiners: Vec<Member>, handed_over: bool) -> Self {
        // If two processes of one VM are joining, one of them has ended.
        let latest: BTreeMap<_, _> =
            joiners.iter().map(|m| (m.vm.clone(), m.incarnation)).collect();
        joiners.retain(|m| latest.get(&m.vm) == Some(&m.incarnation));
        let is_replaced = |m: &&Member| latest.get(&m.vm).is_some_and(|id| *id != m.incarnation);
        let replaced: Vec<_> =
            self.members.iter().filter(is_replaced).map(|m| m.incarnation).collect();
        let mut next = self.without_members(&replaced, handed_over);
        next.members.retain(|m| !latest.contains_key(&m.vm));
        next.members.extend(joiners);
        next.members.sort_by_key(|m| m.incarnation);
        next
    }

    /// Returns the next view, with processes added that have announced themselves up to a revision
    /// of the store.
    #[must_use]
    pub fn with_announced(&self, joiners: Vec<Member>, revision: u64, handed_over: bool) -> Self {
        let mut next = self.with_members(joiners, handed_over);
        next.joined_revision = next.joined_revision.max(revision);
        next
    }

    /// Returns the next view, with a member marked as leaving.
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

    /// Returns the next view, without some members.
    ///
    /// `handed_over` is whether every active member has confirmed its handovers of this view.
    /// Until all have, the next view keeps the members that have been arbiters. If more than one
    /// of these is gone, their claims may be lost, and the view records the uncertain keys.
    #[must_use]
    pub fn without_members(&self, gone: &[Incarnation], handed_over: bool) -> Self {
        let mut next = if handed_over { self.completed() } else { self.clone() };
        next.record_arbiters();
        next.epoch = self.epoch.next();
        next.members.retain(|m| !gone.contains(&m.incarnation));
        let mut gone_count = 0;
        for arbiter in &mut next.recent_arbiters {
            if self.has_member(arbiter.id) && !gone.contains(&arbiter.id) {
                continue;
            }
            arbiter.state = ArbiterState::Gone;
            gone_count += 1;
        }
        next.limit_recent_arbiters();
        if gone_count > 1 && !gone.is_empty() {
            let arbiters = next.recent_arbiters.iter();
            let arbiters = arbiters.filter(|a| a.state != ArbiterState::Joined).cloned().collect();
            next.uncertain_keys.push(UncertainKeys { epoch: next.epoch, arbiters });
        }
        next.compact_uncertain_keys();
        next
    }

    /// Removes entries of uncertain keys that a later entry includes.
    ///
    /// Until a view is complete, arbiters are only added to the recent ones or turn from members
    /// into gone ones, so the last entry since then includes all keys of the earlier ones.
    pub(crate) fn compact_uncertain_keys(&mut self) {
        let complete = self.complete;
        let last = self.uncertain_keys.last().map(|keys| keys.epoch);
        self.uncertain_keys.retain(|keys| keys.epoch <= complete || Some(keys.epoch) == last);
        let excess = self.uncertain_keys.len().saturating_sub(MAX_UNCERTAIN_KEYS);
        self.uncertain_keys.drain(..excess);
    }

    /// Reduces the recent arbiters to the members and one gone arbiter of each region, if there are
    /// too many.
    ///
    /// All keys of these regions are uncertain then.
    fn limit_recent_arbiters(&mut self) {
        if self.recent_arbiters.len() <= MAX_RECENT_ARBITERS {
            return;
        }
        let mut regions = BTreeSet::new();
        self.recent_arbiters
            .retain(|a| a.state != ArbiterState::Gone || regions.insert(a.region.clone()));
        // A member that stayed would vouch for the keys that it decides about.
        for arbiter in &mut self.recent_arbiters {
            if arbiter.state == ArbiterState::Stayed {
                arbiter.state = ArbiterState::Joined;
            }
        }
    }

    /// Returns the same view with all its handovers marked as complete.
    #[must_use]
    pub fn completed(&self) -> Self {
        let mut next = self.clone();
        next.complete = self.epoch;
        next.recent_arbiters.clear();
        for member in self.members.iter().filter(|m| m.standing == MemberState::Active) {
            let (id, region) = (member.incarnation, member.region.clone());
            next.recent_arbiters.push(RecentArbiter { id, region, state: ArbiterState::Stayed });
        }
        next
    }

    /// Adds the active members that are missing from the recent arbiters.
    fn record_arbiters(&mut self) {
        let known: BTreeSet<_> = self.recent_arbiters.iter().map(|a| a.id).collect();
        for member in self.members.iter().filter(|m| m.standing == MemberState::Active) {
            let (id, region) = (member.incarnation, member.region.clone());
            if !known.contains(&id) {
                self.recent_arbiters.push(RecentArbiter {
                    id,
                    region,
                    state: ArbiterState::Joined,
                });
            }
        }
    }

    /// Returns the active members, of one region if given, by their rank for a subject, highest
    /// first.
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

    /// Returns the same members by their rank for work that a few of them do for all others.
    ///
    /// The VMs with the most capacity come first: such work grows with the fleet, and the smallest
    /// VMs of a large fleet could not do it.
    #[must_use]
    pub fn ranked_by_capacity(&self, subject: &[u8], region: Option<&Region>) -> Vec<&Member> {
        let mut members = self.ranked(subject, region);
        // The sort is stable: within a class the order is that of the subject.
        members.sort_by_key(|m| std::cmp::Reverse(m.capacity_class()));
        members
    }

    /// Returns the arbiter of a key and its backup, if there is one.
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
            let is_other_region = home.is_some_and(|home| &member.region != home);
            if is_other_region || member.standing != MemberState::Active {
                continue;
            }
            let weight = rendezvous_weight(&subject, member.incarnation);
            if first.is_none_or(|(max, _): (u64, &Member)| weight > max) {
                second = first.replace((weight, member));
            } else if second.is_none_or(|(max, _): (u64, &Member)| weight > max) {
                second = Some((weight, member));
            }
        }
        Some((first?.1, second.map(|(_, member)| member)))
    }

    /// Returns the witness of a member's parked amounts: a member of the same region, and of
    /// another failure domain if there is one.
    ///
    /// It is the next suitable member in the ring, so that each member is the witness of few
    /// others: amounts parked at a member that has ended are unavailable until it is removed from
    /// the view.
    #[must_use]
    pub fn witness_of(&self, id: Incarnation) -> Option<&Member> {
        let index = self.members.iter().position(|m| m.incarnation == id)?;
        let owner = self.members.get(index)?;
        let ring = self.members.iter().cycle().skip(index + 1).take(self.members.len() - 1);
        let is_suitable =
            |m: &&Member| m.standing == MemberState::Active && m.region == owner.region;
        let mut candidates = ring.filter(is_suitable);
        let first = candidates.next()?;
        if first.domain != owner.domain {
            return Some(first);
        }
        candidates.find(|m| m.domain != owner.domain).or(Some(first))
    }

    /// Returns the latest epoch at which a key became uncertain, if it did.
    #[must_use]
    pub fn uncertain_since(&self, key: RequestKey, home: Option<&Region>) -> Option<Epoch> {
        let keys = self.uncertain_keys.iter().rev().find(|keys| keys.contains(key, home))?;
        Some(keys.epoch)
    }
}

impl UncertainKeys {
    /// Returns whether a member that is gone may have been the arbiter of a key.
    ///
    /// It cannot have been if a member that stayed all the time ranks above it.
    fn contains(&self, key: RequestKey, home: Option<&Region>) -> bool {
        let mut ranked: Vec<_> =
            self.arbiters.iter().filter(|a| home.is_none_or(|r| &a.region == r)).collect();
        ranked.sort_by_key(|a| std::cmp::Reverse(rendezvous_weight(&key.0.to_be_bytes(), a.id)));
        for arbiter in ranked {
            match arbiter.state {
                ArbiterState::Stayed => return false,
                ArbiterState::Joined => {}
                ArbiterState::Gone => return true,
            }
        }
        false
    }
}
