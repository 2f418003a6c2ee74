//! The platform's list of upstreams, and the tables of upstreams that VMs keep of it.
//!
//! Upstreams appear one after the other, some of them renew their entries too late and vanish, and
//! VMs that watch the platform read the list page by page over their links.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::event::{Command, Event};
use badgerfield_core::ids::{Incarnation, UpstreamId};
use badgerfield_core::message::{Message, UpstreamUpdate};
use badgerfield_core::upstream_list::{
    ListedEntry, ListedUpstream, PlatformChanges, PlatformList, UpstreamEntry, UpstreamList,
    UpstreamListChanges,
};
use badgerfield_core::upstream_selection::UpstreamSelection;
use badgerfield_core::upstream_table::{ListGap, UpstreamTable};
use rand::RngExt;

use super::{Fleet, FleetConfig, ScheduledAction, link};

/// The interval between two calls of a VM that watches the list.
const WATCH_INTERVAL: Duration = Duration::from_millis(400);
/// The size of an entry in an answer of the store, in bytes.
const ENTRY_BYTES: usize = 450;
/// The number of entries in a page of the store.
const PAGE_ENTRIES: usize = 500;

/// What a VM has of the list.
#[derive(Debug, Default)]
pub(super) struct ListState {
    pub(super) table: UpstreamTable,
    followed: Option<Followed>,
    /// When the VM calls the store next.
    call_at: Time,
    waiters: BTreeSet<Incarnation>,
    /// When the VM learned that an upstream leaves.
    pub(super) leaving_known: BTreeMap<UpstreamId, Time>,
}

#[derive(Debug)]
struct Followed {
    selection: UpstreamSelection,
    revision: u64,
}

/// The list at the platform.
#[derive(Debug, Default)]
pub struct Listing {
    /// How many upstreams write their entries per second, of those that have none or are due.
    pub writes_per_second: usize,
    /// How many of the listed upstreams vanish and return per second.
    pub lapses_per_second: usize,
    /// The number of upstreams.
    pub upstreams: usize,
    entries: BTreeMap<usize, ListedEntry>,
    changes: Vec<(u64, usize)>,
    revision: u64,
    written: usize,
    /// Pages that VMs have read, and watches that were answered.
    pub calls: u64,
}

impl Listing {
    /// Returns the number of listed upstreams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no upstream is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn write(&mut self, index: usize, domains: usize, leaving: bool) {
        self.revision += 1;
        let created = self.entries.get(&index).map_or(self.revision, |listed| listed.created);
        let name = |text: String| text.parse().unwrap_or_else(|_| unreachable!("a valid name"));
        let info = ListedUpstream {
            id: id(index),
            service: "badgerfield-pool".parse().unwrap_or_else(|_| unreachable!("a valid name")),
            address: ([10, 4, 0, 1], u16::try_from(index % 60_000).unwrap_or(0)).into(),
            domain: name(format!("d0-{}", index % domains)),
            version: "v1".parse().ok(),
            slots: 32,
            leaving,
            started_at: Some(1_800_000_000_000),
        };
        let entry = UpstreamEntry { revision: self.revision, info, warm_in: Duration::ZERO };
        self.entries.insert(index, ListedEntry { created, entry });
        self.changes.push((self.revision, index));
    }

    fn remove(&mut self, index: usize) {
        self.revision += 1;
        self.entries.remove(&index);
        self.changes.push((self.revision, index));
    }

    fn list(&self) -> PlatformList {
        PlatformList { revision: self.revision, entries: self.entries.values().cloned().collect() }
    }

    fn changes_since(&self, revision: u64) -> PlatformChanges {
        let first = self.changes.partition_point(|(at, _)| *at <= revision);
        let mut changes = PlatformChanges { revision: self.revision, ..PlatformChanges::default() };
        let indexes: BTreeSet<usize> = self.changes[first..].iter().map(|(_, n)| *n).collect();
        for index in indexes {
            match self.entries.get(&index) {
                Some(listed) => changes.written.push(listed.clone()),
                None => changes.gone.push((id(index), self.revision)),
            }
        }
        changes.written.sort_by_key(|listed| listed.entry.revision);
        changes
    }
}

/// Returns the id of an upstream.
fn id(index: usize) -> UpstreamId {
    format!("i-{index:08x}").parse().unwrap_or_else(|_| unreachable!("the name is valid"))
}

impl Fleet {
    /// Creates a fleet with operators' values and a list of upstreams, starts all processes, and lets
    /// them run for a while.
    ///
    /// Entries of upstreams are written all the time, so that the list is confirmed often.
    #[must_use]
    pub fn started_with_listing(vms: usize, upstreams: usize, seed: u64, span: Duration) -> Self {
        let mut fleet = Self::new(FleetConfig {
            regions: vec![vms],
            domains: 3,
            limits: vec![1_000_000; 4],
            routes: 20,
            seals: true,
            noise_permille: 0,
            seed,
            ..FleetConfig::default()
        });
        fleet.listing.upstreams = upstreams;
        fleet.listing.writes_per_second = 200;
        for vm in 0..vms {
            fleet.start(vm);
        }
        fleet.listing.lapses_per_second = 20;
        fleet.advance_listing(span);
        fleet
    }

    /// Lets upstreams write their entries for a span, and some of them vanish and return.
    pub fn advance_listing(&mut self, span: Duration) {
        const STEP: Duration = Duration::from_millis(50);
        let mut left = span;
        while !left.is_zero() {
            let domains = self.config.domains.max(1);
            for _ in 0..self.listing.writes_per_second / 20 {
                if self.listing.written < self.listing.upstreams {
                    let index = self.listing.written;
                    self.listing.written += 1;
                    self.listing.write(index, domains, false);
                }
            }
            for _ in 0..self.listing.lapses_per_second / 20 {
                let index = self.rng.random_range(0..self.listing.written.max(1));
                if self.listing.entries.contains_key(&index) {
                    self.listing.remove(index);
                } else {
                    self.listing.write(index, domains, false);
                }
            }
            self.advance(STEP.min(left));
            left = left.saturating_sub(STEP);
        }
    }

    /// Marks an upstream that the fleet uses as leaving; returns it and the time of the change.
    pub fn leave_one_upstream(&mut self, known_at: usize) -> Option<(UpstreamId, Time)> {
        let used = self.vms[known_at].listing.table.listed_ids();
        let index = *self.listing.entries.iter().find(|(n, _)| used.contains(&id(**n)))?.0;
        let domains = self.config.domains.max(1);
        self.listing.write(index, domains, true);
        Some((id(index), self.now))
    }

    /// Returns when each running VM learned that an upstream leaves; `None` for those that have
    /// not.
    #[must_use]
    pub fn leaving_known(&self, upstream: &UpstreamId) -> Vec<Option<Time>> {
        let running = self.vms.iter().filter(|vm| vm.node.is_some());
        running.map(|vm| vm.listing.leaving_known.get(upstream).copied()).collect()
    }

    /// Returns the VMs that watch the list.
    #[must_use]
    pub fn list_watchers(&self) -> Vec<usize> {
        (0..self.size()).filter(|vm| self.watches_list(*vm)).collect()
    }

    /// Returns the number of upstreams that a VM has in its table.
    #[must_use]
    pub fn known_upstreams(&self, vm: usize) -> usize {
        self.vms[vm].listing.table.len()
    }

    /// Lets a VM watch the list if that is its role.
    pub(super) fn listing_tick(&mut self, vm: usize) {
        if self.listing.upstreams == 0 || self.now < self.vms[vm].listing.call_at {
            return;
        }
        if !self.watches_list(vm) {
            self.vms[vm].listing.followed = None;
            return;
        }
        self.vms[vm].listing.call_at = self.now.after(WATCH_INTERVAL);
        if self.store.down || self.store.partitioned_vms.contains(&vm) {
            return;
        }
        let followed = self.vms[vm].listing.followed.as_ref();
        let revision = followed.map(|followed| followed.revision);
        let bytes = match revision {
            None => self.listing.len() * ENTRY_BYTES,
            Some(known) => self.listing.changes_since(known).written.len() * ENTRY_BYTES,
        };
        let pages = (bytes / ENTRY_BYTES / PAGE_ENTRIES).max(1);
        self.listing.calls += u64::try_from(pages).unwrap_or(1);
        let now = self.now;
        let arrives = self
            .full_links
            .get_mut(&vm)
            .and_then(|own| own.send(now, (link::OUTSIDE, link::INSIDE), bytes, None));
        let at = arrives.unwrap_or(now).after(self.store.delay() * 2);
        let incarnation = self.vms[vm].member.incarnation;
        // The content is that of the moment at which the last page is sent.
        self.schedule(at, ScheduledAction::ListRead(incarnation, revision));
    }

    /// Returns whether a VM watches the list.
    pub(super) fn watches_list(&self, vm: usize) -> bool {
        let local = self.local_time(vm);
        let (_, updated) = self.vms[vm].listing.table.last_update();
        let Some(node) = self.node(vm) else {
            return false;
        };
        match updated {
            None => node.is_bootstrap_reader(local),
            Some(at) => node.watches_store(local, Some(local.since(at))),
        }
    }

    /// Applies the answer of the store to a read of the whole list, or of the changes since a
    /// revision.
    pub(super) fn apply_list_answer(&mut self, vm: usize, since: Option<u64>) {
        let local = self.local_time(vm);
        let Some(basis) = self.node(vm).map(|node| node.selection_basis(local)) else {
            return;
        };
        let used = self.vms[vm].listing.table.listed_ids();
        let is_used = |id: &UpstreamId| used.contains(id);
        let Some(since) = since else {
            let list = self.listing.list();
            let (revision, mut selection) = (list.revision, UpstreamSelection::default());
            let selected = selection.apply_list(list, is_used, &basis, local);
            self.vms[vm].listing.followed = Some(Followed { selection, revision });
            self.apply_listed(vm, selected, true);
            return;
        };
        let changes = self.listing.changes_since(since);
        let revision = changes.revision;
        let Some(followed) = self.vms[vm].listing.followed.as_mut() else {
            return;
        };
        followed.revision = revision;
        let changes = followed.selection.apply_changes(changes, is_used, &basis, local);
        let updated = self.vms[vm].listing.table.apply_changes(local, changes.clone());
        self.record_leaving(vm, &changes);
        self.after_list_update(vm, &updated, true);
    }

    fn apply_listed(&mut self, vm: usize, list: UpstreamList, from_platform: bool) {
        let local = self.local_time(vm);
        let is_first = self.vms[vm].listing.table.last_update().0 == 0;
        let updated = self.vms[vm].listing.table.apply_list(local, list);
        self.after_list_update(vm, &updated, from_platform && !is_first);
    }

    fn after_list_update(&mut self, vm: usize, updated: &[UpstreamId], is_source: bool) {
        let local = self.local_time(vm);
        let table = &self.vms[vm].listing.table;
        let (version, entries) = (table.list_version(), table.len());
        self.handle_event(vm, Event::UpstreamListVersion(version, entries));
        if !self.vms[vm].listing.table.is_empty() {
            for waiter in std::mem::take(&mut self.vms[vm].listing.waiters) {
                self.send_list(vm, waiter, 0);
            }
        }
        let is_small = self.node(vm).is_some_and(badgerfield_core::Node::is_small_fleet);
        if !is_source && (!is_small || updated.is_empty()) {
            return;
        }
        let announced = self.node(vm).map_or(0, badgerfield_core::Node::announced_revision);
        let table = &self.vms[vm].listing.table;
        let (changes, since) = table.announcement(local, announced, updated);
        let update = UpstreamUpdate { changes, since, version, reach: 0 };
        self.handle_event(vm, Event::UpstreamChanges(update));
    }

    /// Carries out a command that concerns the list of upstreams.
    pub(super) fn execute_list_command(&mut self, vm: usize, command: Command) {
        if self.listing.upstreams == 0 {
            return;
        }
        let local = self.local_time(vm);
        match command {
            Command::ApplyUpstreamChanges(from, update) => {
                let UpstreamUpdate { changes, since, version, .. } = update;
                self.record_leaving(vm, &changes);
                let table = &mut self.vms[vm].listing.table;
                let (updated, gap) = table.apply_update(local, changes, since, version);
                self.after_list_update(vm, &updated, false);
                match gap {
                    ListGap::Nothing => {}
                    ListGap::Changes => {
                        self.handle_event(vm, Event::UpstreamListGap(from, version.revision));
                    }
                    ListGap::FullList => {
                        self.handle_event(vm, Event::UpstreamListsDiffer(from));
                    }
                }
            }
            Command::ApplyUpstreamList(_, list) => self.apply_listed(vm, list, false),
            Command::ConfirmUpstreamList(revision) => {
                self.vms[vm].listing.table.confirm_revision(local, revision);
            }
            Command::SendUpstreamList(to, since) => self.send_list(vm, to, since),
            _ => {}
        }
    }

    fn send_list(&mut self, vm: usize, to: Incarnation, since: u64) {
        let local = self.local_time(vm);
        let table = &self.vms[vm].listing.table;
        if table.is_empty() {
            if self.vms[vm].listing.waiters.len() < badgerfield_core::MAX_WAITERS {
                self.vms[vm].listing.waiters.insert(to);
            }
            return;
        }
        let message = match table.changes_since(local, since).filter(|_| since > 0) {
            Some(changes) => {
                let version = table.list_version();
                Message::UpstreamChanges(UpstreamUpdate { changes, since, version, reach: 0 })
            }
            None => Message::Upstreams(table.list(local)),
        };
        let from = self.vms[vm].member.incarnation;
        self.execute(vm, from, Command::Send(to, message));
    }

    fn record_leaving(&mut self, vm: usize, changes: &UpstreamListChanges) {
        let now = self.now;
        for entry in changes.written.iter().filter(|entry| entry.info.leaving) {
            self.vms[vm].listing.leaving_known.entry(entry.info.id.clone()).or_insert(now);
        }
    }

    pub(super) fn local_time(&self, vm: usize) -> Time {
        Time(self.now.since(self.vms[vm].started))
    }
}
