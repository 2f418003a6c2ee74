//! Applies the platform's list of upstreams, and exchanges it with other processes.
//!
//! An entry never goes back to an older state, whichever process sends it. A process also knows the
//! revision up to which it has seen every change of the list; differences between processes start
//! from there.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::upstream::Upstream;
use super::{ListGap, UpstreamTable};
use crate::amount::Time;
use crate::ids::{Service, UpstreamId};
use crate::upstream_list::{ListVersion, UpstreamEntry, UpstreamList, UpstreamListChanges};

/// How long an upstream is kept after its entry was removed.
const REMOVED_RETENTION: Duration = Duration::from_secs(30);
/// How long the list must differ from those of all members that announce changes before it is
/// fetched: some announcements long.
const MIN_DIFFERENCE_TIME: Duration = Duration::from_secs(1);

impl UpstreamTable {
    /// Applies the platform's list, unless it is older than the last one.
    ///
    /// Returns the upstreams that were added, changed or removed.
    pub fn apply_list(&mut self, now: Time, list: UpstreamList) -> Vec<UpstreamId> {
        if list.revision < self.revision {
            return Vec::new();
        }
        if self.revision == 0 {
            // This process has no record of entries that were removed before its first list.
            self.dropped_revision = list.revision;
        }
        let present: BTreeSet<_> = list.entries.iter().map(|entry| entry.info.id.clone()).collect();
        let missing = self.upstreams.keys().filter(|id| !present.contains(*id));
        let gone = missing.map(|id| (id.clone(), list.revision)).collect();
        let (revision, written) = (list.revision, list.entries);
        self.apply_changes(now, UpstreamListChanges { revision, written, gone })
    }

    /// Applies changes of the platform's list; an entry never goes back to an older state.
    ///
    /// Returns the upstreams that were added, changed or removed.
    pub fn apply_changes(&mut self, now: Time, changes: UpstreamListChanges) -> Vec<UpstreamId> {
        let revision = changes.revision;
        self.apply_changes_at(now, changes, revision)
    }

    /// Applies changes that were announced at a revision of the list.
    fn apply_changes_at(
        &mut self,
        now: Time,
        changes: UpstreamListChanges,
        announced_at: u64,
    ) -> Vec<UpstreamId> {
        let UpstreamListChanges { revision, written, gone } = changes;
        let list_age = self.updated_at.map(|at| now.since(at));
        if revision > 0 && revision >= self.revision {
            self.record_revision(now, revision);
        }
        let mut affected: Vec<_> =
            written.into_iter().filter_map(|e| self.apply_entry(now, e, announced_at)).collect();
        let gone: Vec<_> = gone.into_iter().filter(|gone| self.is_new_removal(gone)).collect();
        let lapsed = self.lapsed_services(&gone);
        for (id, revision) in gone {
            let Some(upstream) = self.upstreams.get_mut(&id) else {
                continue;
            };
            upstream.removed_at = Some(now);
            upstream.leases_lapsed = lapsed.contains(&upstream.info.service);
            upstream.revision = revision;
            upstream.changed_revision = revision.max(announced_at);
            affected.push(id);
        }
        self.record_departures(now, &affected, list_age);
        self.drop_removed(now);
        if !affected.is_empty() {
            self.assign_positions();
            self.update_versions(now);
        }
        affected
    }

    /// Drops upstreams whose entries were removed long ago.
    fn drop_removed(&mut self, now: Time) {
        let (dropped_revision, versions) = (&mut self.dropped_revision, &mut self.versions);
        self.upstreams.retain(|_, u| {
            let is_kept =
                u.running > 0 || u.removed_at.is_none_or(|at| now.since(at) < REMOVED_RETENTION);
            if !is_kept {
                *dropped_revision = u.changed_revision.max(*dropped_revision);
                versions.record_past(now, &u.info.service, u.version_tag);
            }
            is_kept
        });
    }

    /// Assigns each upstream its position among those of its service, by which engines are divided.
    ///
    /// All processes sort them the same way and so arrive at the same division; an upstream that is
    /// added or removed shifts the others little.
    fn assign_positions(&mut self) {
        let mut by_service: BTreeMap<Service, Vec<(u64, UpstreamId)>> = BTreeMap::new();
        for upstream in
            self.upstreams.values().filter(|u| u.removed_at.is_none() && !u.info.leaving)
        {
            let sorted = by_service.entry(upstream.info.service.clone()).or_default();
            sorted.push((upstream.seed, upstream.info.id.clone()));
        }
        for sorted in by_service.values_mut() {
            sorted.sort_unstable();
            let count = f64::from(u32::try_from(sorted.len()).unwrap_or(u32::MAX));
            for (n, (_, id)) in (0_u32..).zip(sorted.iter()) {
                if let Some(upstream) = self.upstreams.get_mut(id) {
                    upstream.position = (f64::from(n) + 0.5) / count;
                }
            }
        }
    }

    /// Applies a written entry; returns its upstream if the entry changed.
    fn apply_entry(
        &mut self,
        now: Time,
        entry: UpstreamEntry,
        announced_at: u64,
    ) -> Option<UpstreamId> {
        let UpstreamEntry { revision, info, warm_in } = entry;
        let id = info.id.clone();
        let Some(known) = self.upstreams.get_mut(&id) else {
            let mut upstream = Upstream::new(info, revision);
            // The fleet may begin to use an upstream long after its entry was written.
            upstream.changed_revision = revision.max(announced_at);
            upstream.evacuated = self.evacuated.contains(&upstream.info.domain);
            upstream.update_location(&self.location, &self.regions);
            upstream.apply_warm_in(now, &self.slow_start, revision, warm_in);
            self.upstreams.insert(id.clone(), upstream);
            self.open_places(now, &id);
            return Some(id);
        };
        if revision < known.revision {
            return None;
        }
        let is_restarted = known.is_other_process(&info);
        if is_restarted {
            known.reset_process();
            self.restarted.push(id.clone());
        }
        // An entry that was applied before has no new information about the remaining cold time.
        let is_newer = revision > known.revision;
        let cold_changed =
            is_newer && known.apply_warm_in(now, &self.slow_start, revision, warm_in);
        let is_change = cold_changed || known.info != info || known.removed_at.is_some();
        known.revision = revision;
        if is_change {
            known.changed_revision = revision.max(announced_at);
        }
        if known.info != info {
            self.versions.record_past(now, &known.info.service, known.version_tag);
            known.set_info(info);
            known.update_location(&self.location, &self.regions);
        }
        known.removed_at = None;
        if is_restarted {
            self.open_places(now, &id);
        }
        is_change.then_some(id)
    }

    /// Takes the upstreams that restarted under the same id: connections to them lead to a process
    /// that no longer exists.
    pub fn take_restarted(&mut self) -> Vec<UpstreamId> {
        std::mem::take(&mut self.restarted)
    }

    /// Returns whether an entry was still present, and was not written after its removal.
    fn is_new_removal(&self, (id, revision): &(UpstreamId, u64)) -> bool {
        let known = self.upstreams.get(id);
        known.is_some_and(|known| known.removed_at.is_none() && known.revision <= *revision)
    }

    /// Records that the list has no further changes up to a revision.
    pub fn confirm_revision(&mut self, now: Time, revision: u64) {
        if revision > self.revision {
            self.record_revision(now, revision);
        }
    }

    fn record_revision(&mut self, now: Time, revision: u64) {
        self.versions.record_contact(now, self.updated_at);
        self.revision = revision;
        self.updated_at = Some(now);
    }

    /// Returns the version of the list in this process.
    #[must_use]
    pub fn list_version(&self) -> ListVersion {
        let listed = self.upstreams.values().filter(|u| u.removed_at.is_none());
        let digest = listed.fold(0, |sum, u| sum ^ u.digest);
        ListVersion { revision: self.revision, digest }
    }

    /// Returns the full list as this process knows it.
    #[must_use]
    pub fn list(&self, now: Time) -> UpstreamList {
        let listed = self.upstreams.values().filter(|u| u.removed_at.is_none());
        let entries = listed.map(|u| u.entry(now)).collect();
        UpstreamList { revision: self.revision, entries }
    }

    /// Returns the entries or removals of some upstreams, for processes that may lack them.
    ///
    /// The changes carry no revision of the list, since they do not include changes of other
    /// upstreams.
    #[must_use]
    pub fn changes_of(&self, now: Time, ids: &[UpstreamId]) -> UpstreamListChanges {
        let mut changes = UpstreamListChanges::default();
        for upstream in ids.iter().filter_map(|id| self.upstreams.get(id)) {
            if upstream.removed_at.is_some() {
                changes.gone.push((upstream.info.id.clone(), upstream.revision));
            } else {
                changes.written.push(upstream.entry(now));
            }
        }
        changes
    }

    /// Returns the changes after a revision, for processes that have seen every change up to it;
    /// `None` if removals since then are no longer recorded.
    #[must_use]
    pub fn changes_since(&self, now: Time, since: u64) -> Option<UpstreamListChanges> {
        if since < self.dropped_revision {
            return None;
        }
        let newer = self.upstreams.iter().filter(|(_, u)| u.changed_revision > since);
        let ids: Vec<_> = newer.map(|(id, _)| id.clone()).collect();
        Some(self.changes_of(now, &ids))
    }

    /// Returns the changes to announce after `updated` have changed, and the revision that they
    /// build on. `announced` is the revision up to which changes were announced.
    ///
    /// An upstream that was selected at a revision which another process has announced already is
    /// not among the changes since then, so the updated ones are added.
    #[must_use]
    pub fn announcement(
        &self,
        now: Time,
        announced: u64,
        updated: &[UpstreamId],
    ) -> (UpstreamListChanges, u64) {
        let Some(mut changes) = self.changes_since(now, announced) else {
            // Receivers detect from the revision that they lack changes, and request them.
            return (self.changes_of(now, updated), self.revision);
        };
        let is_missing = |id: &&UpstreamId| {
            changes.written.iter().all(|entry| entry.info.id != **id)
                && changes.gone.iter().all(|(gone, _)| gone != *id)
        };
        let missing: Vec<_> = updated.iter().filter(is_missing).cloned().collect();
        let added = self.changes_of(now, &missing);
        changes.written.extend(added.written);
        changes.gone.extend(added.gone);
        (changes, announced)
    }

    /// Applies changes that another process sent, together with its list version. A process that
    /// has seen every change up to `since` has, with these, seen every change up to that version.
    ///
    /// Returns the upstreams that changed and the part of the list that is still missing.
    pub fn apply_update(
        &mut self,
        now: Time,
        changes: UpstreamListChanges,
        since: u64,
        version: ListVersion,
    ) -> (Vec<UpstreamId>, ListGap) {
        let written_revisions = changes.written.iter().map(|entry| entry.revision);
        let newest = written_revisions
            .chain(changes.gone.iter().map(|gone| gone.1))
            .fold(version.revision, u64::max);
        let changes = UpstreamListChanges { revision: 0, ..changes };
        let affected = self.apply_changes_at(now, changes, version.revision);
        if self.revision < since {
            let gap =
                if self.revision < version.revision { ListGap::Changes } else { ListGap::Nothing };
            return (affected, gap);
        }
        self.confirm_revision(now, version.revision);
        // If this process has seen newer changes than the sender, the digests cannot be compared.
        let has_newer = self.revision > version.revision
            || self.upstreams.values().any(|upstream| upstream.changed_revision > newest);
        if has_newer {
            return (affected, ListGap::Nothing);
        }
        let differs = self.list_version().digest != version.digest;
        (affected, self.compare_digests(now, differs))
    }

    /// Returns whether the full list is missing, given whether the digests differ.
    ///
    /// Several members announce changes. One that has not received the latest announcement of
    /// another yet has a different list for a moment, and no other member should fetch it then.
    fn compare_digests(&mut self, now: Time, differs: bool) -> ListGap {
        if !differs {
            self.differs_since = None;
            return ListGap::Nothing;
        }
        let since = *self.differs_since.get_or_insert(now);
        if now.since(since) < MIN_DIFFERENCE_TIME {
            return ListGap::Nothing;
        }
        self.differs_since = None;
        ListGap::FullList
    }

    /// Returns the services of which all entries are removed at once.
    fn lapsed_services(&self, gone: &[(UpstreamId, u64)]) -> BTreeSet<Service> {
        let gone: BTreeSet<_> = gone.iter().map(|(id, _)| id).collect();
        let mut counts: BTreeMap<&Service, (usize, usize)> = BTreeMap::new();
        for (id, upstream) in &self.upstreams {
            if upstream.removed_at.is_some() || upstream.info.leaving {
                continue;
            }
            let (listed, missing) = counts.entry(&upstream.info.service).or_default();
            *listed += 1;
            *missing += usize::from(gone.contains(id));
        }
        let lapsed =
            counts.into_iter().filter(|(_, (listed, missing))| *listed > 1 && listed == missing);
        lapsed.map(|(service, _)| service.clone()).collect()
    }
}
