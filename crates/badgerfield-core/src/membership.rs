//! Membership: the current view, the liveness of its members, and store calls about both.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::amount::Time;
use crate::availability::{Availability, Condition, ConditionReport};
use crate::bootstrap;
use crate::broadcast::{self, BroadcastTarget};
use crate::event::LogEntry;
use crate::ids::{Epoch, Incarnation, VmId};
use crate::joining::Joining;
use crate::message::Heartbeat;
use crate::node::Pacing;
use crate::pending_calls::PendingCalls;
use crate::queueing_delay::DelayReport;
use crate::ranks::Ranks;
use crate::request_mix::DemandAverage;
use crate::seal::FleetClock;
use crate::template_arrival::PendingArrival;
use crate::upstream_list::ListVersion;
use crate::view::{MAX_SMALL_VIEW_MEMBERS, Member, MemberState, View};
use crate::view_update::ViewLog;

/// Silence after which a member is removed from the view.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(20);
/// Heartbeat intervals of silence after which a member counts as unresponsive and is left out
/// of the directory.
const MAX_MISSED_HEARTBEATS: u32 = 4;
/// How long a member that could not reach the store is not chosen to write the ledger.
const STORE_FAILURE_TTL: Duration = Duration::from_secs(1);
/// Time without a tick after which this process counts as having been stalled.
const STALL_THRESHOLD: Duration = Duration::from_secs(2);
/// Additional wait of each further observer before it removes a member.
const REMOVAL_STAGGER: Duration = Duration::from_secs(3);
/// Maximum number of processes outside the view, removed or joining, whose address is kept.
const MAX_NON_MEMBERS: usize = 64;
/// Factor by which a process that joins waits longer between reads of the view.
const JOINING_READ_FACTOR: u32 = 3;
/// Step by which a starting process advances in the list of the region's members when it asks the
/// next one for values.
const BOOTSTRAP_PEER_STRIDE: usize = 7;
/// Maximum number of entries that all members together may read if the usual watchers of the list
/// fail: 450 bytes each, a second of a link of 1 Gbit/s.
const MAX_FALLBACK_ENTRIES: usize = 250_000;
/// The share, in percent, of the time within which operators' values have to be in force, after
/// which the members that watch them read them if no member has.
const WATCHER_READ_PERCENT: u32 = 60;
/// Minimum number of doubling distances in the ring at which a member has neighbours.
const MIN_NEIGHBOURS: u32 = 8;

/// The change that a process intends to make to its own entry in the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum MembershipIntent {
    /// Become a member.
    Join,
    /// Be marked as leaving, while running requests finish.
    Leave,
    /// Be removed from the view.
    Quit,
}

/// What this process knows about the liveness of another process.
#[derive(Debug, Clone, Copy, Default)]
struct Contact {
    /// When the last message of any kind was received.
    last_message: Time,
    /// When the last heartbeat was received; the fields below are taken from it.
    last_heartbeat: Time,
    /// Whether the sender does not serve callers.
    not_serving: bool,
    /// The sender's wall clock minus this process's monotonic clock on receipt, in milliseconds.
    wall_offset: Option<u64>,
}

/// A revision of the upstream list that another member has and this process lacks.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NewerList {
    pub(crate) revision: u64,
    /// When this process first learned of the revision.
    pub(crate) noticed_at: Time,
}

/// The membership state of this process.
#[derive(Debug)]
pub(crate) struct Membership {
    pub(crate) me: Member,
    /// The current view.
    pub(crate) view: Arc<View>,
    ranks: Ranks,
    /// The recent changes of the view, for members with an older view.
    pub(crate) view_log: ViewLog,
    /// The view as the store had it at `stored_revision`; writes of the view are based on it.
    pub(crate) stored: Arc<View>,
    pub(crate) stored_revision: u64,
    pub(crate) stored_known: bool,
    pub(crate) intent: MembershipIntent,
    pub(crate) joining: Joining,
    /// The rank of this process among the hosts of joining processes, if it is one.
    host_rank: Option<usize>,
    pub(crate) removed: bool,
    pub(crate) stopping_since: Option<Time>,
    /// Since when no request has been running, during a stop.
    pub(crate) idle_since: Option<Time>,
    /// When each member last reported that it could not reach the store.
    store_failures: BTreeMap<Incarnation, Time>,
    /// This VM's wall clock minus this process's monotonic clock, in milliseconds.
    wall_offset: Option<u64>,
    /// Whether this process serves callers.
    pub(crate) serving: bool,
    /// What members have reported about each other and themselves.
    pub(crate) availability: Availability,
    /// The version of the upstream list that this process has.
    pub(crate) upstream_list: ListVersion,
    /// The number of entries of that list.
    pub(crate) list_entries: usize,
    /// The demand of requests on engines, at this process and at the others.
    pub(crate) engine_demand: DemandAverage,
    /// The upstreams with a queueing delay.
    pub(crate) delay_reports: Vec<DelayReport>,
    /// The revision of the upstream list up to which all changes were announced to all members.
    pub(crate) announced_revision: u64,
    /// The newer upstream list of another member, if there is one.
    pub(crate) newer_list: Option<NewerList>,
    /// When a member was last asked for the upstream list.
    pub(crate) list_requested_at: Option<Time>,
    /// When evacuations were last compared with each member.
    pub(crate) evacuations_compared: HashMap<Incarnation, Time>,
    /// When rollouts were last compared with each member.
    pub(crate) rollouts_compared: HashMap<Incarnation, Time>,
    /// When blocked requests were last compared with each member.
    pub(crate) crashes_compared: HashMap<Incarnation, Time>,
    /// When the revision of the upstream list was last announced, by this process or another.
    pub(crate) list_confirmed_at: Option<Time>,
    /// Silence after which a member counts as unresponsive.
    unresponsive_after: Duration,
    /// How long a leaving upstream accepts requests after it has announced that it leaves.
    leave_notice: Duration,
    /// The time within which a change of operators' values has to be in force everywhere.
    apply_timeout: Duration,
    pub(crate) store_calls: PendingCalls,
    contacts: BTreeMap<Incarnation, Contact>,
    non_members: BTreeMap<Incarnation, SocketAddr>,
    listed_vms: BTreeSet<VmId>,
    unlisted_vms: BTreeSet<VmId>,
    leaving_vms: BTreeSet<VmId>,
    vm_list_version: u64,
    last_tick: Option<Time>,
    pub(crate) heartbeat_at: Option<Time>,
    pub(crate) view_read_at: Option<Time>,
    /// When the store was last asked for the view.
    pub(crate) view_requested_at: Option<Time>,
    /// When the read that returned the latest stored view was requested.
    pub(crate) stored_view_requested_at: Option<Time>,
    /// When the templates were last read from the store.
    pub(crate) templates_read_at: Option<Time>,
    /// When this process first knew a view of a large fleet.
    large_view_at: Option<Time>,
    /// When a member was last asked for the values that this process lacks after its start.
    pub(crate) bootstrap_at: Option<Time>,
    /// Index, among the members of the region, of the next member to ask for these values.
    next_peer_index: usize,
    /// How often members were asked for these values.
    bootstrap_attempts: usize,
    /// The members that asked for templates before this process had any.
    template_waiters: BTreeSet<Incarnation>,
    pub(crate) view_written_at: Option<Time>,
    /// When a member was last asked for the view or the templates; one member is asked at a time.
    pub(crate) fetch_sent_at: Option<Time>,
    /// What has happened since this process first heard of templates newer than its own.
    pub(crate) pending_templates: PendingArrival,
    /// Since when reads of operators' values from the store have failed.
    pub(crate) operators_lost_at: Option<Time>,
    /// When a member last read operators' values from the store, as far as known.
    operators_read_at: Option<Time>,
    /// When such a read was last announced to all members, by this process or another.
    pub(crate) operators_announced_at: Option<Time>,
    /// The number of accounts, budgets and routes in the templates.
    pub(crate) template_entries: usize,
    /// When each member with an older view was last sent the view without having asked.
    pub(crate) views_pushed: HashMap<Incarnation, Time>,
    /// When confirmations were received that the next tick has to forward.
    pub(crate) confirmations_pending: Option<Time>,
}

impl Membership {
    /// Creates the state of a process that has not joined.
    pub(crate) fn new(me: Member, pacing: &Pacing) -> Self {
        Self {
            me,
            view: Arc::default(),
            ranks: Ranks::default(),
            view_log: ViewLog::default(),
            stored: Arc::default(),
            stored_revision: 0,
            stored_known: false,
            intent: MembershipIntent::Join,
            joining: Joining::default(),
            host_rank: None,
            removed: false,
            stopping_since: None,
            idle_since: None,
            store_failures: BTreeMap::new(),
            wall_offset: None,
            serving: true,
            availability: Availability::default(),
            upstream_list: ListVersion::default(),
            list_entries: 0,
            engine_demand: DemandAverage::default(),
            delay_reports: Vec::new(),
            announced_revision: 0,
            newer_list: None,
            list_requested_at: None,
            evacuations_compared: HashMap::new(),
            rollouts_compared: HashMap::new(),
            crashes_compared: HashMap::new(),
            list_confirmed_at: None,
            unresponsive_after: pacing.heartbeat_interval.saturating_mul(MAX_MISSED_HEARTBEATS),
            leave_notice: pacing.leave_notice,
            apply_timeout: pacing.apply_timeout,
            store_calls: PendingCalls::default(),
            contacts: BTreeMap::new(),
            non_members: BTreeMap::new(),
            listed_vms: BTreeSet::new(),
            unlisted_vms: BTreeSet::new(),
            leaving_vms: BTreeSet::new(),
            vm_list_version: 0,
            last_tick: None,
            heartbeat_at: None,
            view_read_at: None,
            view_requested_at: None,
            stored_view_requested_at: None,
            templates_read_at: None,
            large_view_at: None,
            bootstrap_at: None,
            next_peer_index: 0,
            bootstrap_attempts: 0,
            template_waiters: BTreeSet::new(),
            view_written_at: None,
            fetch_sent_at: None,
            pending_templates: PendingArrival::default(),
            operators_lost_at: None,
            operators_read_at: None,
            operators_announced_at: None,
            template_entries: 0,
            views_pushed: HashMap::new(),
            confirmations_pending: None,
        }
    }

    /// Returns the incarnation of this process.
    pub(crate) fn id(&self) -> Incarnation {
        self.me.incarnation
    }

    /// Returns whether this process is in the view, active or leaving.
    pub(crate) fn is_member(&self) -> bool {
        self.view.has_member(self.id())
    }

    /// Returns whether this process is an active member.
    pub(crate) fn is_active(&self) -> bool {
        self.view.member(self.id()).is_some_and(|m| m.standing == MemberState::Active)
    }

    /// Records the address of a process that is not in the view: it may have joined in a view
    /// that this process does not have yet.
    pub(crate) fn record_address(&mut self, id: Incarnation, address: SocketAddr) {
        if self.view.has_member(id) {
            return;
        }
        self.non_members.insert(id, address);
        while self.non_members.len() > MAX_NON_MEMBERS {
            self.non_members.pop_first();
        }
    }

    /// Returns the address of a member, or of a process outside the view whose address is kept.
    pub(crate) fn address(&self, id: Incarnation) -> Option<SocketAddr> {
        let member = self.view.member(id).map(|m| m.peer);
        member.or_else(|| self.non_members.get(&id).copied())
    }

    /// Records the version of the upstream list that this process has.
    ///
    /// Threads report versions independently. An older version that arrives after a newer one is
    /// ignored.
    pub(crate) fn record_list_version(&mut self, version: ListVersion) {
        if version.revision >= self.upstream_list.revision {
            self.upstream_list = version;
        }
    }

    /// Makes a newer view the current one and returns the members that were removed.
    ///
    /// Returns `None` if the view has no newer epoch. A view of the same epoch still replaces the
    /// current one if a newer epoch is marked as complete in it.
    pub(crate) fn apply_view(&mut self, now: Time, view: &Arc<View>) -> Option<Vec<Incarnation>> {
        if view.epoch == self.view.epoch && view.complete > self.view.complete {
            self.view = Arc::clone(view);
        }
        if view.epoch <= self.view.epoch {
            return None;
        }
        self.record_view_size(now, view);
        let was_member = self.is_member();
        let watched_before: BTreeSet<_> = self.watched().map(|(_, m)| m.incarnation).collect();
        let old = std::mem::replace(&mut self.view, Arc::clone(view));
        self.view_log.record(&old, view);
        self.ranks = Ranks::new(view, &self.me);
        self.host_rank = self.joining.host_rank(view, self.me.incarnation);
        self.removed |= was_member && !self.is_member() && self.intent != MembershipIntent::Quit;
        for member in &self.view.members {
            let contact = Contact { last_message: now, ..Contact::default() };
            self.contacts.entry(member.incarnation).or_insert(contact);
        }
        // Each change of the view moves the ring. Members that this process did not watch before
        // have sent it no heartbeats, so their silence counts from now on.
        let watched_now: Vec<_> = self.watched().map(|(_, m)| m.incarnation).collect();
        for id in watched_now.into_iter().filter(|id| !watched_before.contains(id)) {
            let contact = self.contacts.entry(id).or_default();
            contact.last_message = contact.last_message.max(now);
        }
        let ids = old.members.iter().map(|m| m.incarnation);
        let gone: Vec<_> = ids.filter(|id| !self.view.has_member(*id)).collect();
        for member in old.members.iter().filter(|m| !self.view.has_member(m.incarnation)) {
            self.non_members.insert(member.incarnation, member.peer);
        }
        while self.non_members.len() > MAX_NON_MEMBERS {
            self.non_members.pop_first();
        }
        self.availability.retain(|id| view.has_member(id));
        for id in &gone {
            self.contacts.remove(id);
            self.views_pushed.remove(id);
            self.evacuations_compared.remove(id);
            self.rollouts_compared.remove(id);
        }
        Some(gone)
    }

    /// Records a message from another process, and the contents of a heartbeat.
    pub(crate) fn record_contact(
        &mut self,
        now: Time,
        from: Incarnation,
        heartbeat: Option<&Heartbeat>,
    ) {
        let contact = self.contacts.entry(from).or_default();
        contact.last_message = contact.last_message.max(now);
        if let Some(heartbeat) = heartbeat {
            contact.last_heartbeat = now;
            contact.not_serving = !heartbeat.serving;
            self.engine_demand.record_peer(now, from, &heartbeat.engine_demand);
            contact.wall_offset =
                heartbeat.wall_ms.map(|wall_ms| wall_ms.saturating_sub(to_millis(now)));
        }
    }

    /// Records a tick and resets the silence of all members if this process was stalled.
    ///
    /// A stalled process receives no messages, so the silence says nothing about the members.
    pub(crate) fn tick(&mut self, now: Time) {
        let was_stalled = self.last_tick.is_some_and(|at| now.since(at) >= STALL_THRESHOLD);
        self.last_tick = Some(now);
        if !was_stalled {
            return;
        }
        for contact in self.contacts.values_mut() {
            contact.last_message = now;
        }
    }

    /// Applies the VM list unless it is older than the last one.
    pub(crate) fn apply_vm_list(&mut self, list: &crate::vm_upstreams::VmList) {
        if list.version < self.vm_list_version {
            return;
        }
        self.vm_list_version = list.version;
        let present: BTreeSet<_> = list.vms.iter().map(|vm| vm.vm.clone()).collect();
        // A VM counts as unlisted only if it was on the list before.
        self.unlisted_vms = self.listed_vms.difference(&present).cloned().collect();
        self.listed_vms.extend(present);
        self.leaving_vms =
            list.vms.iter().filter(|vm| vm.leaving).map(|vm| vm.vm.clone()).collect();
    }

    /// Returns the members to which this process sends heartbeats.
    pub(crate) fn neighbours(&self) -> Vec<Incarnation> {
        let ids: Vec<_> = self.view.members.iter().map(|m| m.incarnation).collect();
        let others = ids.iter().copied().filter(|id| *id != self.id());
        if ids.len() <= MAX_SMALL_VIEW_MEMBERS {
            return others.collect();
        }
        // The members form a ring, ordered by incarnation. With distances that double, information
        // reaches all members in a logarithmic number of hops.
        let own_index = self.own_index();
        let mut neighbours = BTreeSet::new();
        for exponent in 0..neighbour_count(ids.len()) {
            let next = ids.get((own_index + (1 << exponent)) % ids.len());
            neighbours.extend(next.copied().filter(|id| *id != self.id()));
        }
        neighbours.into_iter().collect()
    }

    /// Returns the members to which this process sends an update that has to reach the `reach`
    /// members before it in the ring.
    pub(crate) fn broadcast_targets(&self, now: Time, reach: u32) -> Vec<BroadcastTarget> {
        let unheard = self.unheard_members(now);
        broadcast::targets(&self.view, self.id(), reach, |id| unheard.contains(&id))
    }

    /// Returns the same for reports about members. These members do not forward the reports: others
    /// may not hear them.
    pub(crate) fn report_targets(
        &self,
        now: Time,
        reach: u32,
        reports: &[ConditionReport],
    ) -> Vec<BroadcastTarget> {
        let mut unheard = self.unheard_members(now);
        unheard.extend(reports.iter().map(|report| report.member));
        broadcast::targets(&self.view, self.id(), reach, |id| unheard.contains(&id))
    }

    /// Returns whether this process reads the store's values for its region.
    ///
    /// An isolated process may have been removed, so it reads the store itself to find out.
    pub(crate) fn is_reader(&self, now: Time) -> bool {
        if self.is_isolated(now) || !self.is_member() {
            return true;
        }
        self.ranks.is_reader()
    }

    /// Returns whether this process itself reads from the store the values that it lacks after its
    /// start. Otherwise it asks members of its region for them.
    pub(crate) fn is_bootstrap_reader(&self, now: Time) -> bool {
        let newest = if self.view.epoch > self.stored.epoch { &self.view } else { &self.stored };
        let known = (self.stored_known || self.view.epoch > Epoch(0)).then_some(&**newest);
        let span = now.since(self.large_view_at.unwrap_or_default());
        bootstrap::can_read(Time(span), known, &self.me)
    }

    /// Records when this process first knows that the fleet is large.
    pub(crate) fn record_view_size(&mut self, now: Time, view: &View) {
        if view.members.len() > MAX_SMALL_VIEW_MEMBERS {
            self.large_view_at.get_or_insert(now);
        }
    }

    /// Returns whether this process is starting together with its fleet: the view that it knows is
    /// small and does not contain it yet. Requests to the few members of that view would all come
    /// at the same moment.
    pub(crate) fn is_starting_with_fleet(&self, now: Time) -> bool {
        !self.is_member()
            && self.view.members.len() <= MAX_SMALL_VIEW_MEMBERS
            && now.0 < bootstrap::JOIN_PATIENCE
    }

    /// Returns whether this process takes part in heartbeats. One that has never been a member is
    /// known to none.
    pub(crate) fn sends_heartbeats(&self) -> bool {
        self.is_member() || self.removed || self.intent != MembershipIntent::Join
    }

    /// Returns whether this process reads the record of blocked requests from the store after its
    /// start.
    ///
    /// A process that hears from others gets the record from them, since heartbeats carry its
    /// digest. After the loss of all processes, the first ones in the order of the VMs read it.
    pub(crate) fn reads_poison_record(&self, now: Time) -> bool {
        if self.is_member() && self.view.members.len() <= MAX_SMALL_VIEW_MEMBERS {
            return true;
        }
        let is_heard =
            self.contacts.values().any(|contact| contact.last_heartbeat > Time::default());
        let is_first = self.is_member() && bootstrap::turn_of(&self.view, &self.me) == 0;
        is_first || (!is_heard && self.is_bootstrap_reader(now))
    }

    /// Returns the member of the region to ask next for the values that this process lacks after
    /// its start.
    ///
    /// Every other call, from the first on, returns the parent in the bootstrap tree, if there is
    /// one, because it has the values early. The other calls step through the members of the
    /// region.
    pub(crate) fn next_bootstrap_peer(&mut self) -> Option<Incarnation> {
        self.bootstrap_attempts += 1;
        let parent = bootstrap::tree_parent(&self.view, &self.me)
            .filter(|_| self.bootstrap_attempts % 2 == 1);
        if parent.is_some() {
            return parent;
        }
        let is_candidate = |m: &&Member| m.region == self.me.region && m.incarnation != self.id();
        let mut candidates: Vec<_> =
            self.view.members.iter().filter(is_candidate).map(|m| m.incarnation).collect();
        // Members that joined since this process started are running; others may have ended.
        let running: Vec<_> =
            candidates.iter().copied().filter(|id| self.joining.is_new(*id)).collect();
        if !running.is_empty() {
            candidates = running;
        }
        let index = self.next_peer_index.checked_rem(candidates.len())?;
        let id = candidates.get(index).copied();
        // The stride shares no factor with most region sizes, so that all members are asked.
        self.next_peer_index += BOOTSTRAP_PEER_STRIDE;
        id
    }

    /// Records that a member waits for the first templates that this process gets.
    pub(crate) fn add_template_waiter(&mut self, id: Incarnation) {
        if self.template_waiters.len() < bootstrap::MAX_WAITERS {
            self.template_waiters.insert(id);
        }
    }

    /// Takes the members that wait for the first templates that this process gets.
    pub(crate) fn take_template_waiters(&mut self) -> BTreeSet<Incarnation> {
        std::mem::take(&mut self.template_waiters)
    }

    /// Returns the interval between reads of the view, which is at least `min_interval`.
    ///
    /// A joining process that has the stored view reads it less often: a host adds it to the view,
    /// and many processes may start at once behind a slow link.
    pub(crate) fn view_read_interval(&self, min_interval: Duration) -> Duration {
        let is_joining =
            self.stored_known && !self.is_member() && self.intent == MembershipIntent::Join;
        if is_joining {
            return min_interval.saturating_mul(JOINING_READ_FACTOR);
        }
        min_interval
    }

    /// Returns whether this process watches the store's values itself.
    ///
    /// `list_age` is the time since it last received an update or a confirmation of the upstream
    /// list, which are frequent. In a small view all members watch the store. In a large view a few
    /// watch it and forward changes, more do so if these seem to be cut off, and all members do so
    /// if no updates arrive at all.
    pub(crate) fn watches_store(&self, now: Time, list_age: Option<Duration>) -> bool {
        self.has_watch_role(now, list_age, self.leave_notice, self.list_entries)
    }

    /// Returns whether this process reads and watches operators' values in the store itself.
    ///
    /// The roles are those of [`Self::watches_store`], but they depend on when a member last read
    /// operators' values. The age of the list of upstreams says nothing about these.
    pub(crate) fn watches_operators(&self, now: Time) -> bool {
        let age = self.operators_age(now);
        self.has_watch_role(now, age, self.apply_timeout, self.template_entries)
    }

    /// Returns whether no member has read operators' values for so long that a process that watches
    /// them should do so: its watch may have stalled without notice.
    pub(crate) fn must_read_operators(&self, now: Time) -> bool {
        let wait = self.apply_timeout * WATCHER_READ_PERCENT / 100;
        self.operators_age(now).is_none_or(|age| age >= wait)
    }

    /// Records that a member has read operators' values from the store.
    pub(crate) fn record_operator_read(&mut self, at: Time) {
        self.operators_read_at = self.operators_read_at.max(Some(at));
    }

    /// Returns the time since a member last read operators' values, as far as known.
    pub(crate) fn operators_age(&self, now: Time) -> Option<Duration> {
        self.operators_read_at.map(|at| now.since(at))
    }

    /// Returns whether this process watches a value of the store whose last confirmation has an age
    /// and that has to be known in time everywhere.
    fn has_watch_role(
        &self,
        now: Time,
        age: Option<Duration>,
        timeout: Duration,
        entries: usize,
    ) -> bool {
        let is_member = self.is_member();
        let is_small = self.view.members.len() <= MAX_SMALL_VIEW_MEMBERS;
        if is_member && (is_small || self.is_isolated(now)) {
            return true;
        }
        let is_heavy = self.view.members.len() * entries > MAX_FALLBACK_ENTRIES;
        let Some(percent) = self.ranks.watch_delay_percent(is_heavy) else {
            return age.is_none();
        };
        let wait = timeout * percent / 100;
        age.is_none_or(|age| age >= wait)
    }

    /// Returns the rank of this process among the members that watch the store.
    pub(crate) fn watcher_rank(&self) -> u32 {
        self.ranks.watcher_rank()
    }

    /// Returns whether this process is a watcher or a backup watcher of the store, or has no rank.
    pub(crate) fn can_probe_store(&self) -> bool {
        let is_small = self.view.members.len() <= MAX_SMALL_VIEW_MEMBERS;
        is_small || self.ranks.can_probe()
    }

    /// Returns the rank of this process among the hosts of joining processes, if it is one.
    pub(crate) fn host_rank(&self) -> Option<usize> {
        self.host_rank
    }

    /// Returns whether no member that this process watches is responsive.
    fn is_isolated(&self, now: Time) -> bool {
        self.watched().all(|(_, m)| self.silence(now, m.incarnation) >= self.unresponsive_after)
    }

    /// Returns whether this process marks views as complete in the store.
    pub(crate) fn is_completion_writer(&self) -> bool {
        self.ranks.is_completion_writer()
    }

    /// Returns whether this process has to read the view from the store before it can mark the
    /// epoch `complete` as complete, because it has received the current view from peers only.
    pub(crate) fn must_read_to_complete(&self, complete: Epoch) -> bool {
        complete == self.view.epoch && self.stored.epoch < complete && self.is_completion_writer()
    }

    /// Returns the members that this process should remove from the view.
    ///
    /// Removing a member that is still running is safe and costs only its restart. The observers
    /// of a member wait for different times, so that usually only one of them removes it.
    pub(crate) fn members_to_remove(&self, now: Time) -> Vec<Incarnation> {
        let mut to_remove = Vec::new();
        let watched: Vec<_> = self.watched().collect();
        let is_responsive =
            |m: &&Member| self.silence(now, m.incarnation) < self.unresponsive_after;
        let is_cut_off = !watched.iter().any(|(_, m)| is_responsive(m));
        for (position, member) in watched {
            let wait = REMOVAL_STAGGER.saturating_mul(position);
            let silence = self.silence(now, member.incarnation);
            let is_unlisted = self.unlisted_vms.contains(&member.vm)
                && silence >= self.unresponsive_after.saturating_add(wait);
            // If all watched members are silent, this process is more likely to be cut off than to
            // be the only one left.
            let is_silent = self.is_same_region(member)
                && !is_cut_off
                && silence >= SILENCE_TIMEOUT.saturating_add(wait);
            if is_unlisted || is_silent {
                to_remove.push(member.incarnation);
            }
        }
        to_remove
    }

    /// Returns the log entry for the removal of a member.
    pub(crate) fn removal_entry(&self, now: Time, id: Incarnation) -> LogEntry {
        let vm = self.view.member(id).map_or_else(|| self.me.vm.clone(), |m| m.vm.clone());
        let (silence, epoch) = (self.silence(now, id), self.stored.epoch);
        LogEntry::RemovesMember { member: id, vm, silence, epoch }
    }

    /// Returns the members that send heartbeats to this process, each with this process's position
    /// among its observers.
    fn watched(&self) -> impl Iterator<Item = (u32, &Member)> {
        let count = self.view.members.len();
        let own_index = self.own_index();
        self.view.members.iter().enumerate().filter_map(move |(i, member)| {
            let distance = (own_index + count).checked_sub(i)? % count.max(1);
            if distance == 0 {
                return None;
            }
            if count <= MAX_SMALL_VIEW_MEMBERS {
                return Some((u32::try_from(distance - 1).ok()?, member));
            }
            let exponent = distance.trailing_zeros();
            let is_watched = distance.is_power_of_two() && exponent < neighbour_count(count);
            is_watched.then_some((exponent, member))
        })
    }

    fn own_index(&self) -> usize {
        let me = self.id();
        self.view.members.iter().position(|m| m.incarnation == me).unwrap_or(0)
    }

    /// Returns the members to which callers may be directed.
    pub(crate) fn available_members(&self, now: Time) -> Vec<Member> {
        let silent = self.silent_members(now);
        self.view
            .members
            .iter()
            .filter(|m| m.standing == MemberState::Active && !self.leaving_vms.contains(&m.vm))
            .filter(|m| !self.unlisted_vms.contains(&m.vm))
            .filter(|m| {
                !silent.contains(&m.incarnation) && !self.is_not_serving(now, m.incarnation)
            })
            .cloned()
            .collect()
    }

    /// Returns the members that send nothing to any process: those that this process should hear
    /// from, unless others hear them, and those that others have reported.
    pub(crate) fn silent_members(&self, now: Time) -> BTreeSet<Incarnation> {
        let is_heard = |id: &Incarnation| {
            let silence = self.silence(now, *id);
            self.availability.is_heard_by_others(now, *id, silence, Duration::ZERO)
        };
        let reported = self.availability.with_condition(now, Condition::Silent);
        let mut silent = self.unheard_members(now);
        silent.retain(|id| reported.contains(id) || !is_heard(id));
        silent
    }

    /// Returns the members that this process should hear from but does not, and those that others
    /// have reported to be silent.
    fn unheard_members(&self, now: Time) -> BTreeSet<Incarnation> {
        let mut unheard = self.availability.with_condition(now, Condition::Silent);
        for (_, member) in self.watched() {
            if self.silence(now, member.incarnation) >= self.unresponsive_after {
                unheard.insert(member.incarnation);
            } else {
                unheard.remove(&member.incarnation);
            }
        }
        unheard
    }

    /// Returns the members that are overloaded.
    pub(crate) fn overloaded_members(&self, now: Time) -> BTreeSet<Incarnation> {
        self.availability.with_condition(now, Condition::Overloaded)
    }

    /// Returns the members that are cut off from upstreams.
    pub(crate) fn cut_off_members(&self, now: Time) -> BTreeSet<Incarnation> {
        self.availability.with_condition(now, Condition::CutOff)
    }

    /// Returns the reports that this process sends to all members now.
    ///
    /// In a small view each member hears from all others, and reports only whether it is cut off
    /// from upstreams itself. A process that hears from few of the members that it watches is more
    /// likely isolated itself, and reports none of them.
    pub(crate) fn condition_reports(&mut self, now: Time) -> Vec<ConditionReport> {
        let members = self.view.members.len();
        if !self.is_member() {
            return Vec::new();
        }
        let me = self.id();
        if members <= MAX_SMALL_VIEW_MEMBERS {
            return self.availability.report_own(now, me, members).into_iter().collect();
        }
        let silent_after = self.unresponsive_after;
        let watched: Vec<_> = self
            .watched()
            .map(|(position, m)| (m.incarnation, position, self.silence(now, m.incarnation)))
            .collect();
        let heard = watched.iter().filter(|(_, _, silence)| *silence < silent_after).count();
        let mut reports = Vec::new();
        if heard * 2 >= watched.len() {
            reports = self.availability.observe(now, me, watched.into_iter(), silent_after);
        }
        reports.extend(self.availability.report_own(now, me, members));
        reports
    }

    /// Applies another member's report about the condition of a member.
    pub(crate) fn apply_condition_report(&mut self, now: Time, report: ConditionReport) {
        self.availability.apply(now, report, self.unresponsive_after);
    }

    /// Records that a member could not reach the store.
    pub(crate) fn record_store_failure(&mut self, now: Time, id: Incarnation) {
        self.store_failures.retain(|_, at| now.since(*at) < STORE_FAILURE_TTL);
        self.store_failures.insert(id, now);
    }

    /// Returns whether a member recently could not reach the store.
    pub(crate) fn has_store_failure(&self, now: Time, id: Incarnation) -> bool {
        self.store_failures.get(&id).is_some_and(|at| now.since(*at) < STORE_FAILURE_TTL)
    }

    /// Sets this VM's wall clock, in milliseconds.
    pub(crate) fn set_wall_ms(&mut self, now: Time, wall_ms: u64) {
        self.wall_offset = Some(wall_ms.saturating_sub(to_millis(now)));
    }

    /// Returns this VM's wall clock in milliseconds, if it is known.
    pub(crate) fn wall_ms(&self, now: Time) -> Option<u64> {
        self.wall_offset.map(|offset| offset.saturating_add(to_millis(now)))
    }

    /// Returns the fleet's clock, from the clocks of this VM and of all members that sent a
    /// heartbeat recently.
    pub(crate) fn fleet_clock(&self, now: Time) -> FleetClock {
        let recent = self
            .contacts
            .values()
            .filter(|contact| now.since(contact.last_heartbeat) < self.unresponsive_after);
        let offsets =
            recent.filter_map(|contact| contact.wall_offset).chain(self.wall_offset).collect();
        FleetClock::from_offsets(offsets, self.clock_quorum())
    }

    /// Returns how many clocks must agree.
    ///
    /// In a small view more than half of all clocks must agree. In a large view, where only some
    /// members send heartbeats to this process, three quarters of the clocks of this process and of
    /// these members must agree.
    fn clock_quorum(&self) -> usize {
        let members = self.view.members.len();
        if members <= MAX_SMALL_VIEW_MEMBERS {
            return members / 2 + 1;
        }
        let clocks = self.watched().count() + 1;
        (clocks * 3).div_ceil(4)
    }

    /// Returns whether a recent heartbeat of a member reports that it does not serve callers.
    ///
    /// In a large view most members send no heartbeats to this process, and those that they sent
    /// while the view was small are out of date.
    fn is_not_serving(&self, now: Time, id: Incarnation) -> bool {
        if id == self.id() {
            return !self.serving;
        }
        let contact = self.contacts.get(&id);
        contact.is_some_and(|contact| {
            contact.not_serving && now.since(contact.last_heartbeat) < self.unresponsive_after
        })
    }

    fn is_same_region(&self, member: &Member) -> bool {
        member.region == self.me.region
    }

    fn silence(&self, now: Time, id: Incarnation) -> Duration {
        self.contacts.get(&id).map_or(Duration::ZERO, |contact| now.since(contact.last_message))
    }
}

/// Returns at how many doubling distances in the ring a member of a large view has neighbours.
///
/// A broadcast sends at all doubling distances, and has to know which of these members are silent:
/// one that has ended would keep an update from up to half of the fleet.
fn neighbour_count(members: usize) -> u32 {
    let distances = usize::BITS - members.saturating_sub(1).leading_zeros();
    distances.max(MIN_NEIGHBOURS)
}

fn to_millis(now: Time) -> u64 {
    u64::try_from(now.0.as_millis()).unwrap_or(u64::MAX)
}
