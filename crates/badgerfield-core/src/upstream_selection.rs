//! The selection of the upstreams that the fleet uses, out of all that the platform lists.
//!
//! A platform may list many more upstreams than the fleet has requests for, and upstreams that
//! renew their entries late appear and vanish all the time. If each VM knew all of them, each
//! change would be a message to each VM, prompts would be spread over upstreams that have not read
//! them, and each request would need a new connection. The few members that watch the platform
//! therefore pass on only as many upstreams as the demand needs several times over.
//!
//! Upstreams whose entries have existed longest are selected first, since these are the least
//! likely to vanish. All watchers so select nearly the same ones. What is selected stays selected
//! as long as it is listed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::amount::Time;
use crate::ids::{Domain, Service, SoftwareVersion, UpstreamId};
use crate::request_mix::{EngineDemand, service_hash};
use crate::upstream_list::{
    ListedEntry, ListedUpstream, PlatformChanges, PlatformList, UpstreamList, UpstreamListChanges,
};

/// The number of slots of a service that are selected in any case, as long as it has so many.
///
/// It is far above what the requests of a large fleet occupy at a time, so that services of up to
/// some hundred upstreams are not reduced at all.
const MIN_SLOTS: u64 = 16_384;
/// How many times the engines that are needed by the demand are selected: a burst and the loss of
/// a failure domain must find room.
const DEMAND_FACTOR: u64 = 4;
/// How long further watchers wait, each longer than the one before, before they select upstreams
/// in place of missing ones. If all did so at once, their lists would differ for a moment, and
/// members compare lists.
const WATCHER_STAGGER: Duration = Duration::from_millis(1500);

/// The upstreams that can replace each other: of one service, failure domain and version.
type Group = (Service, Domain, Option<SoftwareVersion>);

/// What a selection depends on, besides the list.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SelectionBasis {
    /// The average demand of all processes on engines.
    pub demand: Vec<EngineDemand>,
    /// The number of processes.
    pub members: usize,
    /// The rank of this process among the members that watch the platform.
    pub watcher_rank: u32,
}

/// All upstreams that the platform lists, and the selected ones.
#[derive(Debug, Default)]
pub struct UpstreamSelection {
    entries: BTreeMap<UpstreamId, ListedEntry>,
    selected: BTreeSet<UpstreamId>,
    /// Since when each group has lacked selected slots.
    short_since: BTreeMap<Group, Time>,
}

impl UpstreamSelection {
    /// Applies the platform's list and returns the selected part of it.
    ///
    /// `is_used` is whether the fleet uses an upstream already.
    pub fn apply_list(
        &mut self,
        list: PlatformList,
        is_used: impl Fn(&UpstreamId) -> bool,
        basis: &SelectionBasis,
        now: Time,
    ) -> UpstreamList {
        let PlatformList { revision, entries } = list;
        self.entries =
            entries.into_iter().map(|listed| (listed.entry.info.id.clone(), listed)).collect();
        self.selected.retain(|id| self.entries.contains_key(id));
        self.selected.extend(self.entries.keys().filter(|id| is_used(id)).cloned());
        self.fill(basis, now);
        let selected = self.selected.iter().filter_map(|id| self.entries.get(id));
        UpstreamList { revision, entries: selected.map(|listed| listed.entry.clone()).collect() }
    }

    /// Applies changes of the platform's list and returns those of the selected upstreams, with
    /// the upstreams that are selected in place of missing ones.
    pub fn apply_changes(
        &mut self,
        changes: PlatformChanges,
        is_used: impl Fn(&UpstreamId) -> bool,
        basis: &SelectionBasis,
        now: Time,
    ) -> UpstreamListChanges {
        let PlatformChanges { revision, written, gone } = changes;
        let mut touched = BTreeSet::new();
        for listed in written {
            let id = listed.entry.info.id.clone();
            let known = self.entries.get(&id);
            if known.is_some_and(|known| known.entry.revision >= listed.entry.revision) {
                continue;
            }
            if is_used(&id) {
                self.selected.insert(id.clone());
            }
            touched.insert(id.clone());
            self.entries.insert(id, listed);
        }
        let mut selected_gone = Vec::new();
        for (id, revision) in gone {
            let is_older =
                self.entries.get(&id).is_some_and(|known| known.entry.revision > revision);
            if is_older {
                continue;
            }
            self.entries.remove(&id);
            if self.selected.remove(&id) || is_used(&id) {
                selected_gone.push((id, revision));
            }
        }
        touched.retain(|id| self.selected.contains(id));
        touched.extend(self.fill(basis, now));
        let mut written: Vec<_> =
            touched.iter().filter_map(|id| self.entries.get(id)).map(|l| l.entry.clone()).collect();
        written.sort_by_key(|entry| entry.revision);
        UpstreamListChanges { revision, written, gone: selected_gone }
    }

    /// Returns the changes that a later read of the whole list shows.
    ///
    /// Entries that the read does not contain count as removed, unless they were written after it
    /// began.
    #[must_use]
    pub fn changes_from(&self, list: PlatformList) -> PlatformChanges {
        let PlatformList { revision, entries: written } = list;
        let present: BTreeSet<_> = written.iter().map(|listed| &listed.entry.info.id).collect();
        let is_missing = |(id, known): &(&UpstreamId, &ListedEntry)| {
            !present.contains(id) && known.entry.revision <= revision
        };
        let missing = self.entries.iter().filter(is_missing);
        let gone = missing.map(|(id, _)| (id.clone(), revision)).collect();
        PlatformChanges { revision, written, gone }
    }

    /// Returns the number of listed and of selected upstreams.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        (self.entries.len(), self.selected.len())
    }

    /// Selects upstreams of groups that have fewer slots than are wanted; returns the new ones.
    fn fill(&mut self, basis: &SelectionBasis, now: Time) -> Vec<UpstreamId> {
        let mut missing = self.wanted_slots(basis);
        let mut present = BTreeSet::new();
        for id in &self.selected {
            let Some(listed) = self.entries.get(id).filter(|l| !l.entry.info.leaving) else {
                continue;
            };
            if let Some(slots) = missing.get_mut(&group_of(&listed.entry.info)) {
                *slots = slots.saturating_sub(u64::from(listed.entry.info.slots));
            }
            present.insert(group_of(&listed.entry.info));
        }
        missing.retain(|_, slots| *slots > 0);
        self.short_since.retain(|group, _| missing.contains_key(group));
        let wait = WATCHER_STAGGER.saturating_mul(basis.watcher_rank);
        missing.retain(|group, _| {
            let since = *self.short_since.entry(group.clone()).or_insert(now);
            // Without any upstream of the group, requests would be refused meanwhile.
            now.since(since) >= wait || !present.contains(group)
        });
        if missing.is_empty() {
            return Vec::new();
        }
        let is_candidate =
            |l: &&ListedEntry| !l.entry.info.leaving && !self.selected.contains(&l.entry.info.id);
        let mut candidates: Vec<_> = self.entries.values().filter(is_candidate).collect();
        candidates.sort_by_key(|listed| listed.created);
        let mut added = Vec::new();
        for listed in candidates {
            let info = &listed.entry.info;
            let Some(slots) = missing.get_mut(&group_of(info)).filter(|slots| **slots > 0) else {
                continue;
            };
            *slots = slots.saturating_sub(u64::from(info.slots));
            added.push(info.id.clone());
        }
        self.short_since.retain(|group, _| missing.get(group).is_none_or(|slots| *slots > 0));
        self.selected.extend(added.iter().cloned());
        added
    }

    /// Returns how many slots of each group are wanted.
    fn wanted_slots(&self, basis: &SelectionBasis) -> BTreeMap<Group, u64> {
        let mut domains: BTreeMap<&Service, BTreeSet<&Domain>> = BTreeMap::new();
        let mut slots: BTreeMap<&Service, u64> = BTreeMap::new();
        for listed in self.entries.values() {
            let info = &listed.entry.info;
            domains.entry(&info.service).or_default().insert(&info.domain);
            let most = slots.entry(&info.service).or_default();
            *most = u64::from(info.slots).max(*most);
        }
        let wanted_of = |service: &Service| {
            let engine_slots = slots.get(service).copied().unwrap_or_default();
            let by_demand = needed_engines(service, basis).saturating_mul(engine_slots);
            let count = domains.get(service).map_or(1, BTreeSet::len);
            by_demand.max(MIN_SLOTS).div_ceil(u64::try_from(count).unwrap_or(1).max(1))
        };
        let by_service: BTreeMap<&Service, u64> =
            domains.keys().map(|service| (*service, wanted_of(service))).collect();
        let mut wanted = BTreeMap::new();
        for listed in self.entries.values() {
            let info = &listed.entry.info;
            let slots = by_service.get(&info.service).copied().unwrap_or(MIN_SLOTS);
            wanted.entry(group_of(info)).or_insert(slots);
        }
        wanted
    }
}

fn group_of(info: &ListedUpstream) -> Group {
    (info.service.clone(), info.domain.clone(), info.version.clone())
}

/// Returns how many engines of a service are to be selected for the demand of all processes.
fn needed_engines(service: &Service, basis: &SelectionBasis) -> u64 {
    let hash = service_hash(service);
    let Some(demand) = basis.demand.iter().find(|demand| demand.service == hash) else {
        return 0;
    };
    let per_process = u64::from(demand.short) + u64::from(demand.long);
    let members = u64::try_from(basis.members).unwrap_or(u64::MAX);
    // The demand of a process is in thousandths of an engine.
    per_process.saturating_mul(members).div_ceil(1000).saturating_mul(DEMAND_FACTOR)
}
