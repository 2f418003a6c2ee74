//! Membership: the view in force, signs of life, and calls to the platform about them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::amount::Time;
use crate::bootstrap;
use crate::broadcast::{self, Leg};
use crate::event::LogEntry;
use crate::ids::{Epoch, Incarnation, VmId};
use crate::joining::Joining;
use crate::message::Heartbeat;
use crate::pending_calls::PendingCalls;
use crate::queueing_delay::DelayReport;
use crate::ranks::Ranks;
use crate::request_mix::DemandAverage;
use crate::seal::FleetClock;
use crate::upstream_list::ListVersion;
use crate::view::{MAX_SMALL_VIEW_MEMBERS, Member, MemberState, View};
use crate::view_update::ViewLog;

/// After how long without a sign of life a member is removed from the view.
const SILENCE: Duration = Duration::from_secs(20);
/// After how many intervals without a sign of life a member is left out of the directory.
const DOUBT_BEATS: u32 = 4;
/// For how long a member is passed over that could not reach the platform.
const AWAY: Duration = Duration::from_secs(1);
/// After how long without a tick this process takes itself to have been paused.
const PAUSED: Duration = Duration::from_secs(2);
/// How much longer each further observer waits before it removes a member.
const TURN: Duration = Duration::from_secs(3);
/// How many processes that are not in the view are remembered, removed or about to join.
const MAX_FORMER: usize = 64;
/// How many times longer a process that joins a large view waits between reads of it.
const JOINING_READS: u32 = 3;
/// By how many places the next member of the region is asked that may know what a process
/// that starts does not.
const SOURCE_STEP: usize = 7;
/// To how many members signs of life go in a larger view.
const NEIGHBOURS: usize = 8;

/// What a process wants changed in the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum MembershipIntent {
    /// Be a member.
    Join,
    /// Be marked as leaving.
    Leave,
    /// Be no member any more.
    Quit,
}

/// What is known of another member.
#[derive(Debug, Clone, Copy, Default)]
struct Sign {
    /// When anything came from the member last.
    heard: Time,
    /// When a sign of life came, which says all that follows.
    told: Time,
    /// Whether the member said that it does not serve callers.
    closed: bool,
    /// The member's time of day, less this process's own time when it was heard.
    offset: Option<u64>,
}

/// A list of upstreams that another member knows, and this process does not yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NewerList {
    /// Up to which revision.
    pub(crate) revision: u64,
    /// Since when that is known here.
    pub(crate) noticed_at: Time,
}

/// The table of members.
#[derive(Debug)]
pub(crate) struct Membership {
    pub(crate) me: Member,
    /// The view in force.
    pub(crate) view: Arc<View>,
    ranks: Ranks,
    /// How the view has changed of late, for members that are behind.
    pub(crate) view_log: ViewLog,
    /// The view as the platform had it at `stored_revision`: what a write of the view builds on.
    pub(crate) stored: Arc<View>,
    pub(crate) stored_revision: u64,
    pub(crate) stored_known: bool,
    pub(crate) intent: MembershipIntent,
    pub(crate) joining: Joining,
    pub(crate) removed: bool,
    pub(crate) stopping_since: Option<Time>,
    /// Since when nothing runs here, during a stop.
    pub(crate) idle_since: Option<Time>,
    /// Members that could not reach the platform, and when they said so.
    away: BTreeMap<Incarnation, Time>,
    /// This VM's time of day, less this process's own time.
    offset: Option<u64>,
    /// Whether this process serves callers at present.
    pub(crate) serving: bool,
    /// How much of the list of upstreams is known here.
    pub(crate) upstream_list: ListVersion,
    /// What requests need of engines, here and elsewhere.
    pub(crate) needs: DemandAverage,
    /// The upstreams at which requests wait.
    pub(crate) delay_reports: Vec<DelayReport>,
    /// The last revision of that list up to which all were told every change.
    pub(crate) announced_revision: u64,
    /// What others know of that list beyond this process.
    pub(crate) newer_list: Option<NewerList>,
    /// When any member was asked for the list.
    pub(crate) list_requested_at: Option<Time>,
    /// When evacuations were compared with each member last.
    pub(crate) evacuations_compared: HashMap<Incarnation, Time>,
    /// The same for roll-outs.
    pub(crate) rollouts_compared: HashMap<Incarnation, Time>,
    /// The same for blocked requests.
    pub(crate) crashes_compared: HashMap<Incarnation, Time>,
    /// When anybody told how new the list of upstreams is.
    pub(crate) list_confirmed_at: Option<Time>,
    /// After how long without a sign of life a member is in doubt.
    doubt: Duration,
    /// How long upstreams that leave take requests after they have said so.
    notice: Duration,
    pub(crate) store_calls: PendingCalls,
    signs: BTreeMap<Incarnation, Sign>,
    former: BTreeMap<Incarnation, SocketAddr>,
    listed: BTreeSet<VmId>,
    unlisted: BTreeSet<VmId>,
    leaving: BTreeSet<VmId>,
    list_version: u64,
    ticked: Option<Time>,
    pub(crate) heartbeat_at: Option<Time>,
    pub(crate) view_read_at: Option<Time>,
    /// When the platform was asked for the view last, and the same of the last answer.
    pub(crate) view_requested_at: Option<Time>,
    pub(crate) view_known_at: Option<Time>,
    /// When the templates were read last.
    pub(crate) templates_read_at: Option<Time>,
    /// When a member was asked for what this process knows nothing of.
    pub(crate) bootstrap_at: Option<Time>,
    /// Where the next one to be asked for it stands among those of the region.
    asked_first: usize,
    /// How often members were asked for it.
    asks: usize,
    pub(crate) view_written_at: Option<Time>,
    /// When a view or templates were asked for last; one member is asked at a time.
    pub(crate) fetch_sent_at: Option<Time>,
    /// When members that were behind were sent the view unasked.
    pub(crate) views_pushed: HashMap<Incarnation, Time>,
    /// When confirmations were heard that others wait for and have not been told.
    pub(crate) confirmations_pending: Option<Time>,
}

impl Membership {
    pub(crate) fn new(me: Member, beat: Duration, notice: Duration) -> Self {
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
            removed: false,
            stopping_since: None,
            idle_since: None,
            away: BTreeMap::new(),
            offset: None,
            serving: true,
            upstream_list: ListVersion::default(),
            needs: DemandAverage::default(),
            delay_reports: Vec::new(),
            announced_revision: 0,
            newer_list: None,
            list_requested_at: None,
            evacuations_compared: HashMap::new(),
            rollouts_compared: HashMap::new(),
            crashes_compared: HashMap::new(),
            list_confirmed_at: None,
            doubt: beat.saturating_mul(DOUBT_BEATS),
            notice,
            store_calls: PendingCalls::default(),
            signs: BTreeMap::new(),
            former: BTreeMap::new(),
            listed: BTreeSet::new(),
            unlisted: BTreeSet::new(),
            leaving: BTreeSet::new(),
            list_version: 0,
            ticked: None,
            heartbeat_at: None,
            view_read_at: None,
            view_requested_at: None,
            view_known_at: None,
            templates_read_at: None,
            bootstrap_at: None,
            asked_first: 0,
            asks: 0,
            view_written_at: None,
            fetch_sent_at: None,
            views_pushed: HashMap::new(),
            confirmations_pending: None,
        }
    }

    /// Returns this process.
    pub(crate) fn id(&self) -> Incarnation {
        self.me.incarnation
    }

    /// Tells whether this process is in the view.
    pub(crate) fn is_member(&self) -> bool {
        self.view.has(self.id())
    }

    /// Tells whether this process takes part in full.
    pub(crate) fn is_active(&self) -> bool {
        self.view.member(self.id()).is_some_and(|m| m.standing == MemberState::Active)
    }

    /// Notes where a process takes messages that is not in the view: it may have joined a
    /// moment ago.
    pub(crate) fn meet(&mut self, id: Incarnation, address: SocketAddr) {
        if self.view.has(id) {
            return;
        }
        self.former.insert(id, address);
        while self.former.len() > MAX_FORMER {
            self.former.pop_first();
        }
    }

    /// Returns the address of a member, or of another process that was heard of late.
    pub(crate) fn address(&self, id: Incarnation) -> Option<SocketAddr> {
        let member = self.view.member(id).map(|m| m.peer);
        member.or_else(|| self.former.get(&id).copied())
    }

    /// Notes how much of the list of upstreams is known here; one thread may be behind another.
    pub(crate) fn note_list(&mut self, mark: ListVersion) {
        if mark.revision >= self.upstream_list.revision {
            self.upstream_list = mark;
        }
    }

    /// Puts a newer view in force; returns the members that are gone.
    pub(crate) fn adopt(&mut self, now: Time, view: &Arc<View>) -> Option<Vec<Incarnation>> {
        if view.epoch == self.view.epoch && view.complete > self.view.complete {
            self.view = Arc::clone(view);
        }
        if view.epoch <= self.view.epoch {
            return None;
        }
        let was = self.is_member();
        let observed: BTreeSet<_> = self.watched().map(|(_, m)| m.incarnation).collect();
        let old = std::mem::replace(&mut self.view, Arc::clone(view));
        self.view_log.note(&old, view);
        self.ranks = Ranks::of(view, &self.me);
        self.removed |= was && !self.is_member() && self.intent != MembershipIntent::Quit;
        for member in &self.view.members {
            let sign = Sign { heard: now, ..Sign::default() };
            self.signs.entry(member.incarnation).or_insert(sign);
        }
        // Each change moves the ring: those that this process has not observed until now have
        // sent it no signs of life, and their silence counts from now on.
        let newly: Vec<_> = self.watched().map(|(_, m)| m.incarnation).collect();
        for id in newly.into_iter().filter(|id| !observed.contains(id)) {
            let sign = self.signs.entry(id).or_default();
            sign.heard = sign.heard.max(now);
        }
        let ids = old.members.iter().map(|m| m.incarnation);
        let gone: Vec<_> = ids.filter(|id| !self.view.has(*id)).collect();
        for member in old.members.iter().filter(|m| !self.view.has(m.incarnation)) {
            self.former.insert(member.incarnation, member.peer);
        }
        while self.former.len() > MAX_FORMER {
            self.former.pop_first();
        }
        for id in &gone {
            self.signs.remove(id);
            self.views_pushed.remove(id);
            self.evacuations_compared.remove(id);
            self.rollouts_compared.remove(id);
        }
        Some(gone)
    }

    /// Notes a sign of life.
    pub(crate) fn record_contact(
        &mut self,
        now: Time,
        from: Incarnation,
        beat: Option<&Heartbeat>,
    ) {
        let sign = self.signs.entry(from).or_default();
        sign.heard = sign.heard.max(now);
        if let Some(beat) = beat {
            sign.told = now;
            sign.closed = !beat.serving;
            self.needs.record_peer(now, from, &beat.needs);
            sign.offset = beat.wall_ms.map(|wall| wall.saturating_sub(millis(now)));
        }
    }

    /// Notes a tick: after a pause of this process, the silence of others means nothing.
    pub(crate) fn tick(&mut self, now: Time) {
        let paused = self.ticked.is_some_and(|at| now.since(at) >= PAUSED);
        self.ticked = Some(now);
        if !paused {
            return;
        }
        for sign in self.signs.values_mut() {
            sign.heard = now;
        }
    }

    /// Takes in the VM list unless it is older than the last one.
    pub(crate) fn learn(&mut self, list: &crate::vm_upstreams::VmList) {
        if list.version < self.list_version {
            return;
        }
        self.list_version = list.version;
        let present: BTreeSet<_> = list.vms.iter().map(|vm| vm.vm.clone()).collect();
        // Only a VM that was on the list can be missing from it.
        self.unlisted = self.listed.difference(&present).cloned().collect();
        self.listed.extend(present);
        self.leaving = list.vms.iter().filter(|vm| vm.leaving).map(|vm| vm.vm.clone()).collect();
    }

    /// Returns the members to which signs of life go.
    pub(crate) fn neighbours(&self) -> Vec<Incarnation> {
        let ids: Vec<_> = self.view.members.iter().map(|m| m.incarnation).collect();
        let others = ids.iter().copied().filter(|id| *id != self.id());
        if ids.len() <= MAX_SMALL_VIEW_MEMBERS {
            return others.collect();
        }
        // Members stand in a ring by number; steps that double reach everyone soon.
        let place = self.place();
        let mut chosen = BTreeSet::new();
        for step in 0..NEIGHBOURS {
            let next = ids.get((place + (1 << step)) % ids.len());
            chosen.extend(next.copied().filter(|id| *id != self.id()));
        }
        chosen.into_iter().collect()
    }

    /// Returns to whom news goes that this process passes on to some members before it.
    pub(crate) fn broadcast_targets(&self, now: Time, reach: u32) -> Vec<Leg> {
        let silent: BTreeSet<_> = self
            .watched()
            .map(|(_, m)| m.incarnation)
            .filter(|id| self.silence(now, *id) >= self.doubt)
            .collect();
        broadcast::legs(&self.view, self.id(), reach, |id| silent.contains(&id))
    }

    /// Tells whether this process reads the platform's values for its region.
    ///
    /// One that hears nobody may have been removed, and reads for itself to find out.
    pub(crate) fn is_reader(&self, now: Time) -> bool {
        if self.is_alone(now) || !self.is_member() {
            return true;
        }
        self.ranks.is_reader()
    }

    /// Tells whether this process reads whole values from the platform that it knows nothing
    /// of yet; others of its region give it those otherwise.
    pub(crate) fn is_bootstrap_reader(&self, now: Time) -> bool {
        let stored = self.stored_known.then_some(&*self.stored);
        bootstrap::can_read(now, stored, &self.me)
    }

    /// Returns the member of this process's region that is asked next for what it knows
    /// nothing of yet: by turns one that knows it early, and another one each time.
    pub(crate) fn next_bootstrap_peer(&mut self) -> Option<Incarnation> {
        self.asks += 1;
        let early = bootstrap::tree_parent(&self.view, &self.me).filter(|_| self.asks % 2 == 1);
        if early.is_some() {
            return early;
        }
        let near = |m: &&Member| m.region == self.me.region && m.incarnation != self.id();
        let mut near: Vec<_> =
            self.view.members.iter().filter(near).map(|m| m.incarnation).collect();
        // Those that joined since this process started are alive; others may be gone.
        let alive: Vec<_> = near.iter().copied().filter(|id| self.joining.is_new(*id)).collect();
        if !alive.is_empty() {
            near = alive;
        }
        let place = self.asked_first.checked_rem(near.len())?;
        let id = near.get(place).copied();
        // A step that shares no factor with most sizes of a region, so that all are asked.
        self.asked_first += SOURCE_STEP;
        id
    }

    /// Returns how long after a read of the view it is read again, by the least time for that.
    ///
    /// One that knows the view and wants to join is written into it by a member that it asks:
    /// it reads less often, since many may start at once behind a thin link.
    pub(crate) fn view_read_interval(&self, least: Duration) -> Duration {
        let joins = self.stored_known && !self.is_member() && self.intent == MembershipIntent::Join;
        if joins && self.view.members.len() > MAX_SMALL_VIEW_MEMBERS {
            return least.saturating_mul(JOINING_READS);
        }
        least
    }

    /// Tells whether this process follows the platform's values itself; `heard` is how long
    /// ago it has heard of the list of upstreams, which changes all the time.
    ///
    /// In a small view everybody does. In a large one a few do and pass on what changes,
    /// some more if these seem to be cut off, and all only if nobody says anything.
    pub(crate) fn watches_platform(&self, now: Time, heard: Option<Duration>) -> bool {
        let is_member = self.is_member();
        let is_small = self.view.members.len() <= MAX_SMALL_VIEW_MEMBERS;
        if is_member && (is_small || self.is_alone(now)) {
            return true;
        }
        let wait = self.notice * self.ranks.watch_delay_percent() / 100;
        heard.is_none_or(|age| age >= wait)
    }

    /// Tells whether this process is among the first followers of the platform's values, or
    /// knows no rank of its own.
    pub(crate) fn probes_platform(&self) -> bool {
        let is_small = self.view.members.len() <= MAX_SMALL_VIEW_MEMBERS;
        is_small || self.ranks.can_probe()
    }

    /// Tells whether this process hears no other member.
    fn is_alone(&self, now: Time) -> bool {
        self.watched().all(|(_, m)| self.silence(now, m.incarnation) >= self.doubt)
    }

    /// Tells whether this process marks complete views.
    pub(crate) fn is_completion_writer(&self) -> bool {
        self.ranks.is_completion_writer()
    }

    /// Tells whether this process has a view to mark as complete, up to this epoch, that it
    /// knows from peers only.
    pub(crate) fn must_read_to_complete(&self, complete: Epoch) -> bool {
        complete == self.view.epoch && self.stored.epoch < complete && self.is_completion_writer()
    }

    /// Returns the members that this process should remove from the view.
    ///
    /// Removing a member that is not gone breaks nothing, it only costs a restart.
    /// Those that observe a member take turns, so that one of them usually does it.
    pub(crate) fn members_to_remove(&self, now: Time) -> Vec<Incarnation> {
        let mut gone = Vec::new();
        let watched: Vec<_> = self.watched().collect();
        let heard = |m: &&Member| self.silence(now, m.incarnation) < self.doubt;
        let cut_off = !watched.iter().any(|(_, m)| heard(m));
        for (turn, member) in watched {
            let wait = TURN.saturating_mul(turn);
            let silence = self.silence(now, member.incarnation);
            let unlisted =
                self.unlisted.contains(&member.vm) && silence >= self.doubt.saturating_add(wait);
            // One that hears nobody is more likely cut off than alone.
            let silent =
                self.is_near(member) && !cut_off && silence >= SILENCE.saturating_add(wait);
            if unlisted || silent {
                gone.push(member.incarnation);
            }
        }
        gone
    }

    /// Describes the removal of a member for the log.
    pub(crate) fn removal_entry(&self, now: Time, id: Incarnation) -> LogEntry {
        let vm = self.view.member(id).map_or_else(|| self.me.vm.clone(), |m| m.vm.clone());
        let (silence, epoch) = (self.silence(now, id), self.stored.epoch);
        LogEntry::RemovesMember { member: id, vm, silence, epoch }
    }

    /// Returns the members whose signs of life come here, each with this process's turn.
    fn watched(&self) -> impl Iterator<Item = (u32, &Member)> {
        let count = self.view.members.len();
        let place = self.place();
        self.view.members.iter().enumerate().filter_map(move |(i, member)| {
            let distance = (place + count).checked_sub(i)? % count.max(1);
            if distance == 0 {
                return None;
            }
            if count <= MAX_SMALL_VIEW_MEMBERS {
                return Some((u32::try_from(distance - 1).ok()?, member));
            }
            let step = distance.trailing_zeros();
            let near = distance.is_power_of_two() && usize::try_from(step).ok()? < NEIGHBOURS;
            near.then_some((step, member))
        })
    }

    fn place(&self) -> usize {
        let me = self.id();
        self.view.members.iter().position(|m| m.incarnation == me).unwrap_or(0)
    }

    /// Returns the members that callers may be sent to.
    pub(crate) fn available_members(&self, now: Time) -> Vec<Member> {
        let silent: BTreeSet<_> = self
            .watched()
            .map(|(_, m)| m.incarnation)
            .filter(|id| self.silence(now, *id) >= self.doubt)
            .collect();
        self.view
            .members
            .iter()
            .filter(|m| m.standing == MemberState::Active && !self.leaving.contains(&m.vm))
            .filter(|m| !self.unlisted.contains(&m.vm))
            .filter(|m| !silent.contains(&m.incarnation) && !self.is_closed(now, m.incarnation))
            .cloned()
            .collect()
    }

    /// Notes that a member could not reach the platform.
    pub(crate) fn record_store_failure(&mut self, now: Time, id: Incarnation) {
        self.away.retain(|_, at| now.since(*at) < AWAY);
        self.away.insert(id, now);
    }

    /// Tells whether a member could not reach the platform a moment ago.
    pub(crate) fn has_store_failure(&self, now: Time, id: Incarnation) -> bool {
        self.away.get(&id).is_some_and(|at| now.since(*at) < AWAY)
    }

    /// Takes in this VM's time of day.
    pub(crate) fn set_wall(&mut self, now: Time, wall: u64) {
        self.offset = Some(wall.saturating_sub(millis(now)));
    }

    /// Returns this VM's time of day.
    pub(crate) fn wall_ms(&self, now: Time) -> Option<u64> {
        self.offset.map(|offset| offset.saturating_add(millis(now)))
    }

    /// Reads the fleet's time off the clocks of all members that were heard of late.
    pub(crate) fn fleet_clock(&self, now: Time) -> FleetClock {
        let told = self.signs.values().filter(|sign| now.since(sign.told) < self.doubt);
        let offsets = told.filter_map(|sign| sign.offset).chain(self.offset).collect();
        FleetClock::from_offsets(offsets, self.clock_quorum())
    }

    /// Returns how many clocks must agree: more than half of all, or in a view that is too
    /// large to hear everyone, three quarters of those that are heard.
    fn clock_quorum(&self) -> usize {
        let members = self.view.members.len();
        if members <= MAX_SMALL_VIEW_MEMBERS {
            return members / 2 + 1;
        }
        let heard = self.watched().count() + 1;
        (heard * 3).div_ceil(4)
    }

    /// Tells whether a member said a moment ago that it does not serve callers.
    ///
    /// In a large view most members say nothing to this process any more, and what they
    /// said while the view was small is no longer true.
    fn is_closed(&self, now: Time, id: Incarnation) -> bool {
        if id == self.id() {
            return !self.serving;
        }
        let sign = self.signs.get(&id);
        sign.is_some_and(|sign| sign.closed && now.since(sign.told) < self.doubt)
    }

    fn is_near(&self, member: &Member) -> bool {
        member.region == self.me.region
    }

    fn silence(&self, now: Time, id: Incarnation) -> Duration {
        self.signs.get(&id).map_or(Duration::ZERO, |sign| now.since(sign.heard))
    }
}

fn millis(now: Time) -> u64 {
    u64::try_from(now.0.as_millis()).unwrap_or(u64::MAX)
}
