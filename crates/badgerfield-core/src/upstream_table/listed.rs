//! What the platform's list says of upstreams, and what processes tell each other of it.
//!
//! An entry never steps back, whoever tells it. Of the whole list a process knows up to which
//! revision it has heard of every change; differences start from there.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::replica::Replica;
use super::{ListGap, UpstreamTable};
use crate::amount::Time;
use crate::ids::{Service, UpstreamId};
use crate::upstream_list::{ListVersion, UpstreamEntry, UpstreamList, UpstreamListChanges};

/// How long an upstream is remembered after its entry is gone.
const FORGET: Duration = Duration::from_secs(30);

impl UpstreamTable {
    /// Takes in the platform's list, unless it is older than the last one.
    ///
    /// Returns the upstreams that were added, changed or removed.
    pub fn apply_list(&mut self, now: Time, list: UpstreamList) -> Vec<UpstreamId> {
        if list.revision < self.revision {
            return Vec::new();
        }
        if self.revision == 0 {
            // What went before this process knew any list is not remembered here.
            self.forgotten = list.revision;
        }
        let present: BTreeSet<_> = list.entries.iter().map(|r| r.info.id.clone()).collect();
        let missing = self.table.keys().filter(|id| !present.contains(*id));
        let gone = missing.map(|id| (id.clone(), list.revision)).collect();
        let (revision, written) = (list.revision, list.entries);
        self.apply_changes(now, UpstreamListChanges { revision, written, gone })
    }

    /// Takes in changes of the platform's list; an entry never steps back.
    ///
    /// Returns the upstreams that were added, changed or removed.
    pub fn apply_changes(&mut self, now: Time, changes: UpstreamListChanges) -> Vec<UpstreamId> {
        let UpstreamListChanges { revision, written, gone } = changes;
        if revision > 0 && revision >= self.revision {
            self.revision = revision;
            self.learned = Some(now);
        }
        let mut news: Vec<_> =
            written.into_iter().filter_map(|entry| self.write(now, entry)).collect();
        let gone: Vec<_> = gone.into_iter().filter(|gone| self.is_news(gone)).collect();
        let lapsed = self.lapsed_services(&gone);
        for (id, revision) in gone {
            let Some(replica) = self.table.get_mut(&id) else {
                continue;
            };
            replica.vanished = Some(now);
            replica.lapsed = lapsed.contains(&replica.info.service);
            replica.revision = revision;
            replica.changed = revision;
            news.push(id);
        }
        self.forget(now);
        if !news.is_empty() {
            self.place_all();
            self.see_versions(now);
        }
        news
    }

    /// Drops upstreams whose entries went long ago.
    fn forget(&mut self, now: Time) {
        let forgotten = &mut self.forgotten;
        self.table.retain(|_, r| {
            let stays = r.running > 0 || r.vanished.is_none_or(|at| now.since(at) < FORGET);
            if !stays {
                *forgotten = r.changed.max(*forgotten);
            }
            stays
        });
    }

    /// Gives each upstream its place among those of its service, by which engines are divided.
    ///
    /// All processes order them alike, so that they divide alike; one that comes or goes moves
    /// the others little.
    fn place_all(&mut self) {
        let mut orders: BTreeMap<Service, Vec<(u64, UpstreamId)>> = BTreeMap::new();
        for replica in self.table.values().filter(|r| r.vanished.is_none() && !r.info.leaving) {
            let order = orders.entry(replica.info.service.clone()).or_default();
            order.push((replica.seed, replica.info.id.clone()));
        }
        for order in orders.values_mut() {
            order.sort_unstable();
            let count = f64::from(u32::try_from(order.len()).unwrap_or(u32::MAX));
            for (n, (_, id)) in (0_u32..).zip(order.iter()) {
                if let Some(replica) = self.table.get_mut(id) {
                    replica.place = (f64::from(n) + 0.5) / count;
                }
            }
        }
    }

    /// Takes in an entry that was written; returns its upstream if that is news.
    fn write(&mut self, now: Time, entry: UpstreamEntry) -> Option<UpstreamId> {
        let UpstreamEntry { revision, info, warm_in } = entry;
        let id = info.id.clone();
        let Some(known) = self.table.get_mut(&id) else {
            let mut replica = Replica::new(info, revision);
            replica.evacuated = self.evacuated.contains(&replica.info.domain);
            replica.locate(&self.place, &self.regions);
            replica.hear_start(now, &self.starts, revision, warm_in);
            self.table.insert(id.clone(), replica);
            return Some(id);
        };
        if revision < known.revision {
            return None;
        }
        if known.is_another(&info) {
            known.start_again();
            self.started_again.push(id.clone());
        }
        // An entry that was read before says no more about how long it is cold.
        let is_newer = revision > known.revision;
        let turned = is_newer && known.hear_start(now, &self.starts, revision, warm_in);
        let is_news = turned || known.info != info || known.vanished.is_some();
        known.revision = revision;
        if is_news {
            known.changed = revision;
        }
        if known.info != info {
            known.describe(info);
            known.locate(&self.place, &self.regions);
        }
        known.vanished = None;
        is_news.then_some(id)
    }

    /// Takes the upstreams that have started again under the id that they had: connections to
    /// them lead to a process that is gone.
    pub fn take_restarted(&mut self) -> Vec<UpstreamId> {
        std::mem::take(&mut self.started_again)
    }

    /// Tells whether an entry was still there, and was not written after it is said to
    /// have gone.
    fn is_news(&self, (id, revision): &(UpstreamId, u64)) -> bool {
        let known = self.table.get(id);
        known.is_some_and(|known| known.vanished.is_none() && known.revision <= *revision)
    }

    /// Takes in that the list is as it was up to a revision.
    pub fn confirm_revision(&mut self, now: Time, revision: u64) {
        if revision > self.revision {
            self.revision = revision;
            self.learned = Some(now);
        }
    }

    /// Returns how much of the list is known here.
    #[must_use]
    pub fn list_version(&self) -> ListVersion {
        let listed = self.table.values().filter(|r| r.vanished.is_none());
        let digest = listed.fold(0, |sum, r| sum ^ r.digest);
        ListVersion { revision: self.revision, digest }
    }

    /// Returns the whole list as it is known here.
    #[must_use]
    pub fn list(&self, now: Time) -> UpstreamList {
        let listed = self.table.values().filter(|r| r.vanished.is_none());
        let replicas = listed.map(|r| r.entry(now)).collect();
        UpstreamList { revision: self.revision, entries: replicas }
    }

    /// Returns what is known of some upstreams, for processes that may know less.
    ///
    /// It does not tell of other changes, so it names no revision of the list.
    #[must_use]
    pub fn changes_of(&self, now: Time, ids: &[UpstreamId]) -> UpstreamListChanges {
        let mut changes = UpstreamListChanges::default();
        for replica in ids.iter().filter_map(|id| self.table.get(id)) {
            if replica.vanished.is_some() {
                changes.gone.push((replica.info.id.clone(), replica.revision));
            } else {
                changes.written.push(replica.entry(now));
            }
        }
        changes
    }

    /// Returns what has changed since a revision, for processes that know every change up to it;
    /// nothing if what went since then is not remembered any more.
    #[must_use]
    pub fn changes_since(&self, now: Time, since: u64) -> Option<UpstreamListChanges> {
        if since < self.forgotten {
            return None;
        }
        let newer = self.table.iter().filter(|(_, r)| r.changed > since);
        let ids: Vec<_> = newer.map(|(id, _)| id.clone()).collect();
        Some(self.changes_of(now, &ids))
    }

    /// Takes in changes that another process told, with its mark: whoever knows every change up
    /// to `since` knows, with these, every change up to the mark.
    ///
    /// Returns the upstreams for which that was news, and what is still lacking.
    pub fn apply_update(
        &mut self,
        now: Time,
        changes: UpstreamListChanges,
        since: u64,
        mark: ListVersion,
    ) -> (Vec<UpstreamId>, ListGap) {
        let told = changes.written.iter().map(|entry| entry.revision);
        let newest =
            told.chain(changes.gone.iter().map(|gone| gone.1)).fold(mark.revision, u64::max);
        let news = self.apply_changes(now, UpstreamListChanges { revision: 0, ..changes });
        if self.revision < since {
            let lacking =
                if self.revision < mark.revision { ListGap::Changes } else { ListGap::Nothing };
            return (news, lacking);
        }
        self.confirm_revision(now, mark.revision);
        // One that knows more than was told cannot be compared.
        let knows_more = self.revision > mark.revision
            || self.table.values().any(|replica| replica.changed > newest);
        let differs = !knows_more && self.list_version().digest != mark.digest;
        (news, if differs { ListGap::FullList } else { ListGap::Nothing })
    }

    /// Returns the services of which every entry goes at once.
    fn lapsed_services(&self, gone: &[(UpstreamId, u64)]) -> BTreeSet<Service> {
        let gone: BTreeSet<_> = gone.iter().map(|(id, _)| id).collect();
        let mut counts: BTreeMap<&Service, (usize, usize)> = BTreeMap::new();
        for (id, replica) in &self.table {
            if replica.vanished.is_some() || replica.info.leaving {
                continue;
            }
            let (listed, missing) = counts.entry(&replica.info.service).or_default();
            *listed += 1;
            *missing += usize::from(gone.contains(id));
        }
        let all =
            counts.into_iter().filter(|(_, (listed, missing))| *listed > 1 && listed == missing);
        all.map(|(service, _)| service.clone()).collect()
    }
}
