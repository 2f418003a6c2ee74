//! Membership: the current view, and how this process hears from its members.
//!
//! [`roles`] tells which values of the store this process reads and watches for others,
//! [`liveness`] which members are silent, unavailable or to be removed, [`departures`] which members
//! leave a large view, [`freshness`] whether operators' values are current, and [`clock`] what the clocks of the fleet agree on.

mod clock;
pub(crate) mod departures;
mod freshness;
mod liveness;
mod roles;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use self::departures::{Departures, OwnNotices};
use self::freshness::Freshness;
use crate::amount::Time;
use crate::availability::{Availability, ConditionReport};
use crate::broadcast::{self, BroadcastTarget};
use crate::ids::{Epoch, Incarnation, TemplateVersion, VmId};
use crate::joining::Joining;
use crate::message::Heartbeat;
use crate::node::Pacing;
use crate::pending_calls::PendingCalls;
use crate::queueing_delay::DelayReport;
use crate::ranks::Ranks;
use crate::request_mix::DemandAverage;
use crate::template_arrival::PendingArrival;
use crate::upstream_list::ListVersion;
use crate::view::{MAX_SMALL_VIEW_MEMBERS, Member, MemberState, View};
use crate::view_update::ViewLog;

/// Heartbeat intervals of silence after which a member counts as unresponsive and is left out
/// of the directory.
const MAX_MISSED_HEARTBEATS: u32 = 4;
/// Time without a tick after which this process counts as having been stalled.
const STALL_THRESHOLD: Duration = Duration::from_secs(2);
/// Maximum number of processes outside the view, removed or joining, whose address is kept.
const MAX_NON_MEMBERS: usize = 64;
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
    /// The time before which its silence says nothing: it did not send to this process, or this
    /// process could not receive.
    expected_from: Time,
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
    /// The last handover of each member that came before its view, with its part.
    pub(crate) early_handovers: BTreeMap<Incarnation, (Epoch, u32)>,
    /// The departures that this process writes for others.
    pub(crate) departures: Departures,
    /// The notices that this process has sent about its own departure.
    own_notices: OwnNotices,
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
    /// The members that asked for templates before they arrived here, with their versions.
    template_waiters: BTreeMap<Incarnation, TemplateVersion>,
    pub(crate) view_written_at: Option<Time>,
    /// When a member was last asked for the view or the templates; one member is asked at a time.
    pub(crate) fetch_sent_at: Option<Time>,
    /// What has happened since this process first heard of templates newer than its own.
    pub(crate) pending_templates: PendingArrival,
    /// Since when reads of operators' values from the store have failed.
    pub(crate) operators_lost_at: Option<Time>,
    /// When the operators' values in force here were last known to be those in the store.
    freshness: Freshness,
    /// How often members were asked for operators' values that this process has missed.
    search_turn: usize,
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
            early_handovers: BTreeMap::new(),
            departures: Departures::default(),
            own_notices: OwnNotices::default(),
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
            template_waiters: BTreeMap::new(),
            view_written_at: None,
            fetch_sent_at: None,
            pending_templates: PendingArrival::default(),
            operators_lost_at: None,
            freshness: Freshness::default(),
            search_turn: 0,
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
            let contact = Contact { expected_from: now, ..Contact::default() };
            self.contacts.entry(member.incarnation).or_insert(contact);
        }
        // Each change of the view moves the ring. Members that this process did not watch before
        // have sent it no heartbeats, so their silence counts from now on.
        let watched_now: Vec<_> = self.watched().map(|(_, m)| m.incarnation).collect();
        for id in watched_now.into_iter().filter(|id| !watched_before.contains(id)) {
            let contact = self.contacts.entry(id).or_default();
            contact.expected_from = contact.expected_from.max(now);
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
            self.crashes_compared.remove(id);
        }
        self.forget_former_members();
        Some(gone)
    }

    /// Drops what is known of processes that have left the view long ago.
    ///
    /// Messages of a removed member may arrive after its removal, so dropping its entries only then
    /// would leave some forever. Processes whose address is kept may be joining.
    fn forget_former_members(&mut self) {
        let (view, non_members) = (&self.view, &self.non_members);
        let is_known = |id: &Incarnation| view.has_member(*id) || non_members.contains_key(id);
        self.contacts.retain(|id, _| is_known(id));
        self.evacuations_compared.retain(|id, _| is_known(id));
        self.rollouts_compared.retain(|id, _| is_known(id));
        self.crashes_compared.retain(|id, _| is_known(id));
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
                heartbeat.wall_ms.map(|wall_ms| wall_ms.saturating_sub(clock::to_millis(now)));
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
            contact.expected_from = now;
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

    fn is_same_region(&self, member: &Member) -> bool {
        member.region == self.me.region
    }

    fn silence(&self, now: Time, id: Incarnation) -> Duration {
        let contact = self.contacts.get(&id);
        let since = contact.map(|contact| contact.last_message.max(contact.expected_from));
        since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Returns the time since the last message of a member; [`Duration::MAX`] if there was none.
    ///
    /// A process that has just begun to watch an ended member has not heard it: if it told others
    /// that it had, they would keep that member.
    fn unheard_for(&self, now: Time, id: Incarnation) -> Duration {
        let last_message = self.contacts.get(&id).map(|contact| contact.last_message);
        let last_message = last_message.filter(|at| *at > Time::default());
        last_message.map_or(Duration::MAX, |at| now.since(at))
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
