//! Membership: joins and leaves the view, removes lost members, and distributes views and template
//! versions.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::amount::Time;
use crate::event::{
    Command, LogEntry, Outbox, StoreCall, StoreKey, StoreResult, Versioned, is_due,
};
use crate::handlers::joining;
use crate::ids::{Epoch, Incarnation, StoreCallId, TemplateVersion};
use crate::joining::JoinStep;
use crate::membership::{Membership, MembershipIntent};
use crate::message::{Heartbeat, Message};
use crate::node::Node;
use crate::pending_calls::Purpose;
use crate::stop_reason::StopReason;
use crate::upstream_selection::SelectionBasis;
use crate::view::{MAX_SMALL_VIEW_MEMBERS, Member, MemberState, View};
use crate::view_update::ViewUpdate;

/// Interval at which values are read from the store.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between two writes of the view by one process.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum time between two fetches from one member.
const MIN_FETCH_INTERVAL: Duration = Duration::from_millis(200);
/// Additional time for a reply with a whole view, for each member in it: some 60 bytes, sent to
/// ten neighbours at once over the slowest VM link, 20 Mbit/s in the fleets that are so large.
const FETCH_TIME_PER_MEMBER: Duration = Duration::from_micros(250);
/// Time between two requests for the values that a process lacks after its start. A member that
/// lacks them too sends them as soon as it has them, so they need not be requested often.
const BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(400);

impl Node {
    /// Returns the members to which callers may be sent.
    #[must_use]
    pub fn available_members(&self, now: Time) -> Vec<Member> {
        self.state.membership().available_members(now)
    }

    /// Returns the members to which callers should be sent only if there are few others.
    #[must_use]
    pub fn overloaded_members(&self, now: Time) -> BTreeSet<Incarnation> {
        self.state.membership().overloaded_members(now)
    }

    /// Returns the members that are cut off from upstreams, and send requests through peers.
    #[must_use]
    pub fn cut_off_members(&self, now: Time) -> BTreeSet<Incarnation> {
        self.state.membership().cut_off_members(now)
    }

    /// Sends heartbeats if they are due.
    pub(crate) fn tick_heartbeat(&self, now: Time, out: &mut Outbox) {
        let is_due = {
            let members = self.state.membership();
            members.confirmations_pending.is_some()
                || is_due(now, members.heartbeat_at, self.config.pacing.heartbeat_interval)
        };
        if is_due {
            self.send_heartbeats(now, out);
        }
    }

    /// Sends a heartbeat with the versions in force to all neighbours.
    pub(crate) fn send_heartbeats(&self, now: Time, out: &mut Outbox) {
        let version = self.state.templates().version;
        let confirmed = self.state.claims().confirmation_status();
        let evacuations = self.state.evacuations().digest();
        let rollouts = self.state.rollouts().digest();
        let blocked = self.state.poison().digest(now);
        let operators_digest = self.operators_digest();
        let (neighbours, heartbeat) = {
            let mut members = self.state.membership();
            members.heartbeat_at = Some(now);
            members.confirmations_pending = None;
            if !members.sends_heartbeats() {
                return;
            }
            let heartbeat = Heartbeat {
                epoch: members.view.epoch,
                confirmations: confirmed,
                version,
                operator_read: members.latest_operator_read(now),
                operators_digest,
                serving: members.serving && members.stopping_since.is_none(),
                upstream_list: members.upstream_list,
                evacuations_digest: evacuations,
                rollouts_digest: rollouts,
                blocked_digest: blocked,
                wall_ms: members.wall_ms(now),
                engine_demand: members.engine_demand.average(now),
                delay_reports: members.delay_reports.clone(),
            };
            (members.neighbours(), heartbeat)
        };
        for to in neighbours {
            out.send(to, Message::Heartbeat(heartbeat.clone()));
        }
    }

    /// Returns whether this process watches the store's values itself. `last_update` is the
    /// time since it last received an update of the list of upstreams.
    #[must_use]
    pub fn watches_store(&self, now: Time, last_update: Option<Duration>) -> bool {
        self.state.membership().watches_store(now, last_update)
    }

    /// Returns whether it is this process's turn to read complete values from the store after its
    /// start. Otherwise it requests them from members of its region.
    #[must_use]
    pub fn is_bootstrap_reader(&self, now: Time) -> bool {
        self.state.membership().is_bootstrap_reader(now)
    }

    /// Returns what the selection of upstreams depends on.
    #[must_use]
    pub fn selection_basis(&self, now: Time) -> SelectionBasis {
        let mut members = self.state.membership();
        SelectionBasis {
            demand: members.engine_demand.average(now),
            members: members.view.members.len(),
            watcher_rank: members.watcher_rank(),
        }
    }

    /// Returns whether this process is one of the few that probe the store often while it does
    /// not answer, or hears nobody: those few notify the others once it answers again.
    #[must_use]
    pub fn can_probe_store(&self, now: Time) -> bool {
        self.state.membership().can_probe_store(now)
    }

    /// Handles a heartbeat and fetches what the sender has newer.
    pub(crate) fn handle_heartbeat(
        &self,
        now: Time,
        from: Incarnation,
        heartbeat: &Heartbeat,
        out: &mut Outbox,
    ) {
        self.compare_list_version(now, from, heartbeat.upstream_list, out);
        self.compare_evacuation_digest(now, from, heartbeat.evacuations_digest, out);
        self.compare_rollout_digest(now, from, heartbeat.rollouts_digest, out);
        self.compare_crash_digest(now, from, heartbeat.blocked_digest, out);
        self.apply_confirmations(now, heartbeat);
        if let Some(read) = heartbeat.operator_read {
            self.confirm_operators(now, read, heartbeat.operators_digest);
        }
        if !heartbeat.delay_reports.is_empty() {
            out.push(Command::ApplyDelayReports(heartbeat.delay_reports.clone()));
        }
        let version = self.state.templates().version;
        let (epoch, is_near) = {
            let mut members = self.state.membership();
            members.record_contact(now, from, Some(heartbeat));
            let is_behind = heartbeat.epoch < members.view.epoch;
            // A removed member is informed by the members to which it still sends heartbeats. A
            // member with an older view that is no neighbour may receive heartbeats only from
            // members that it does not know yet, and cannot fetch the view from those.
            let cannot_ask =
                !members.view.has_member(from) || !members.neighbours().contains(&from);
            if is_behind
                && cannot_ask
                && is_due(now, members.views_pushed.get(&from).copied(), MIN_FETCH_INTERVAL)
            {
                // Removed members send heartbeats for a while; their entries are dropped nowhere
                // else.
                members.views_pushed.retain(|_, at| now.since(*at) < MIN_FETCH_INTERVAL);
                members.views_pushed.insert(from, now);
                out.send(
                    from,
                    Message::View(members.view_log.update_since(&members.view, heartbeat.epoch)),
                );
            }
            let has_templates = heartbeat.version > version;
            if has_templates {
                members.pending_templates.notice(now, heartbeat.version);
            }
            let newer = heartbeat.epoch > members.view.epoch || has_templates;
            let interval = fetch_interval(members.view.members.len());
            if !newer || !is_due(now, members.fetch_sent_at, interval) {
                return;
            }
            members.fetch_sent_at = Some(now);
            if has_templates {
                members.pending_templates.record_fetch();
            }
            let is_near = members.view.member(from).is_some_and(|m| m.region == members.me.region);
            (members.view.epoch, is_near)
        };
        let needs_full = version == TemplateVersion(0);
        // Complete templates are requested only from members of the same region.
        let version = if needs_full && !is_near { heartbeat.version } else { version };
        out.send(from, Message::Fetch { epoch, version, full: needs_full });
    }

    /// Sends a member the views and templates that it lacks.
    pub(crate) fn handle_fetch(
        &self,
        now: Time,
        from: Incarnation,
        epoch: Epoch,
        version: TemplateVersion,
        needs_full: bool,
        out: &mut Outbox,
    ) {
        {
            let members = self.state.membership();
            if members.view.epoch > epoch {
                out.send(from, Message::View(members.view_log.update_since(&members.view, epoch)));
            }
        }
        let known = self.state.templates().version;
        let is_pending = {
            let mut members = self.state.membership();
            // The sender gets the templates as soon as they arrive here. If it had to ask again,
            // they would be late by half an interval at each member on their way.
            let is_pending = known <= version && members.expects_templates(now, known);
            if is_pending && (needs_full || known > TemplateVersion(0)) {
                members.add_template_waiter(from, version);
            }
            is_pending
        };
        if !is_pending {
            self.send_templates(from, version, needs_full, out);
        }
    }

    /// Applies a neighbour's handover confirmations. A process that stores claims or is in a small
    /// view forwards new confirmations at its next tick, because callers wait for them. Other
    /// processes send them with their next heartbeat.
    fn apply_confirmations(&self, now: Time, heartbeat: &Heartbeat) {
        let (is_new, has_claims) = {
            let mut claims = self.state.claims();
            (
                claims.merge_confirmations(heartbeat.epoch, &heartbeat.confirmations),
                !claims.is_empty(),
            )
        };
        let mut members = self.state.membership();
        if is_new && (has_claims || members.view.members.len() <= MAX_SMALL_VIEW_MEMBERS) {
            members.confirmations_pending = Some(now);
        }
    }

    /// Applies a newer view from a peer, or fetches the complete view if the update does not apply
    /// to the current one.
    pub(crate) fn receive_view_update(
        &self,
        now: Time,
        from: Incarnation,
        update: &ViewUpdate,
        out: &mut Outbox,
    ) {
        let next = {
            let mut members = self.state.membership();
            let old = Arc::clone(&members.view);
            if update.epoch <= old.epoch {
                return;
            }
            // The reply has arrived, so the next fetch may be sent.
            members.fetch_sent_at = None;
            update.apply(&old)
        };
        if let Some(view) = next {
            self.apply_view(now, &Arc::new(view), out);
            return;
        }
        let version = self.state.templates().version;
        let needs_full = version == TemplateVersion(0);
        out.send(from, Message::Fetch { epoch: Epoch(0), version, full: needs_full });
    }

    /// Applies a newer view to every table that depends on it.
    pub(crate) fn apply_view(&self, now: Time, view: &Arc<View>, out: &mut Outbox) {
        let (gone, removed) = {
            let mut members = self.state.membership();
            let was_removed = members.removed;
            let Some(gone) = members.apply_view(now, view) else {
                return;
            };
            (gone, members.removed && !was_removed)
        };
        self.state.claims().apply_view(now, view, out);
        self.acknowledge_early_handovers(view.epoch, out);
        self.state.ledger_writer().mark_removed(gone);
        self.state.holdings().apply_view(now, view, out);
        out.push(Command::Log(LogEntry::View(view.epoch)));
        if removed {
            out.push(Command::Log(LogEntry::Removed));
            self.start_stop(now, StopReason::Removal, out);
        }
        self.send_heartbeats(now, out);
    }

    /// Reads the store's values and writes the view if that is due.
    pub(crate) fn tick_store_reads(&self, now: Time, out: &mut Outbox) {
        let complete = self.state.claims().complete_epoch();
        let version = self.state.templates().version;
        let mut members = self.state.membership();
        let reads_view = members.is_reader(now)
            || !members.stored_known
            || members.must_read_to_complete(complete);
        if is_due(now, members.view_read_at, members.view_read_interval(READ_INTERVAL))
            && reads_view
        {
            members.view_read_at = Some(now);
            start_read(&mut members, now, StoreKey::View, out);
        }
        let reads_templates = if version == TemplateVersion(0) {
            (members.is_bootstrap_reader(now) || members.must_bootstrap_alone(now))
                && is_due(now, members.templates_read_at, READ_INTERVAL)
        } else {
            reads_view && members.is_operator_read_due(now)
        };
        let is_reading = members.store_calls.is_pending(&StoreKey::Templates);
        if reads_templates && !is_reading {
            members.templates_read_at = Some(now);
            start_read(&mut members, now, StoreKey::Templates, out);
        }
        drop(members);
        self.notify_hosts(now, out);
        self.write_view(now, out);
    }

    /// Requests the templates and the list of upstreams from a member of the region while they are
    /// missing here. This process need not have joined for that.
    pub(crate) fn request_bootstrap(&self, now: Time, out: &mut Outbox) {
        let (has_templates, has_routes) = {
            let templates = self.state.templates();
            (templates.version > TemplateVersion(0), !templates.routing.routes.is_empty())
        };
        let mut members = self.state.membership();
        // Without routes, no list of their upstreams is needed.
        let has_list = members.upstream_list.revision > 0 || !has_routes;
        if (has_templates && has_list)
            || members.is_starting_with_fleet(now)
            || !is_due(now, members.bootstrap_at, BOOTSTRAP_INTERVAL)
        {
            return;
        }
        members.bootstrap_at = Some(now);
        let Some(to) = members.next_bootstrap_peer() else {
            return;
        };
        if !has_templates {
            let epoch = members.view.epoch;
            out.send(to, Message::Fetch { epoch, version: TemplateVersion(0), full: true });
        }
        if !has_list {
            out.send(to, Message::FetchUpstreams { since: 0 });
        }
    }

    /// Writes the view if this process has a change to make.
    pub(super) fn write_view(&self, now: Time, out: &mut Outbox) {
        let complete = self.state.claims().complete_epoch();
        let mut members = self.state.membership();
        if !members.stored_known
            || members.store_calls.is_pending(&StoreKey::View)
            || !is_due(now, members.view_written_at, MIN_WRITE_INTERVAL)
        {
            return;
        }
        // The write is based on the stored view, which takes precedence over views from peers.
        let stored = Arc::clone(&members.stored);
        let handed_over = complete == stored.epoch && complete > Epoch(0);
        let me = members.me.clone();
        let present = members.view.member(me.incarnation).map(|m| m.standing);
        let writes_departure = members.writes_departure(now);
        let next = match (&members.intent, present) {
            (MembershipIntent::Join, None) if !members.removed => {
                match members.joining.next_step(now, &stored, &me) {
                    JoinStep::Write => Some(stored.with_member(me, handed_over)),
                    JoinStep::Announce(revision) => {
                        joining::announce(&mut members, revision, out);
                        return;
                    }
                    JoinStep::Wait => return,
                }
            }
            (MembershipIntent::Leave, Some(MemberState::Active)) if writes_departure => {
                Some(stored.with_leaving(me.incarnation, handed_over))
            }
            (MembershipIntent::Quit, Some(_)) if writes_departure => {
                Some(stored.without_members(&[me.incarnation], handed_over))
            }
            (MembershipIntent::Join | MembershipIntent::Leave | MembershipIntent::Quit, _) => None,
        };
        let next = next.or_else(|| {
            let can_write = members.is_member();
            can_write.then(|| members.departures.due_view(now, &stored, handed_over)).flatten()
        });
        let next = next.or_else(|| {
            let host_rank = members.host_rank().filter(|_| members.is_member())?;
            let (joiners, revision) = members.joining.joiners(now, &stored, host_rank)?;
            Some(stored.with_announced(joiners, revision, handed_over))
        });
        let next = next.or_else(|| {
            let gone = members.members_to_remove(now);
            let can_write = members.is_member() && !gone.is_empty();
            for id in gone.iter().filter(|_| can_write) {
                out.push(Command::Log(members.removal_entry(now, *id)));
            }
            can_write.then(|| stored.without_members(&gone, handed_over))
        });
        let next = next.or_else(|| {
            let incomplete = handed_over && stored.complete < stored.epoch;
            (incomplete && members.is_completion_writer()).then(|| stored.completed())
        });
        let Some(next) = next else {
            return;
        };
        members.view_written_at = Some(now);
        let value = Bytes::from(next.encode());
        let expect = members.stored_revision;
        let ticket = members.store_calls.begin(Purpose::Write(next));
        out.push(Command::CallStore(
            ticket,
            StoreCall::CompareAndSwap { key: StoreKey::View, expected_revision: expect, value },
        ));
    }

    /// Handles a result of the store.
    pub(crate) fn handle_store_result(
        &self,
        now: Time,
        ticket: StoreCallId,
        result: StoreResult,
        out: &mut Outbox,
    ) {
        let Some(purpose) = self.state.membership().store_calls.end(ticket) else {
            return;
        };
        match (purpose, result) {
            (Purpose::Rollout(service, written), result) => {
                self.handle_record_result(now, &service, written, result, out);
            }
            (Purpose::PoisonRead, result) => self.handle_poison_result(now, false, result, out),
            (Purpose::PoisonWrite, result) => self.handle_poison_result(now, true, result, out),
            (Purpose::VersionsRead, result) => self.handle_version_result(now, None, result, out),
            (Purpose::VersionsWrite(content), result) => {
                self.handle_version_result(now, Some(content), result, out);
            }
            (Purpose::StreamSegments(number), result) => {
                self.state.stream_segments().handle_result(now, number, &result);
            }
            (Purpose::Ledger(shard), result) => self.handle_ledger_result(now, shard, result, out),
            (Purpose::Read(StoreKey::Templates), result) => {
                let requested_at = self.state.membership().templates_read_at.unwrap_or(now);
                self.handle_operator_read(now, requested_at, result, out);
            }
            (Purpose::Read(StoreKey::View), StoreResult::Value(found)) => {
                self.apply_stored_view(now, &found, out);
            }
            (Purpose::FirstWrite(view), result) => self.handle_first_write(now, &view, result, out),
            (Purpose::Write(view), StoreResult::Written(revision)) => {
                let view = Arc::new(view);
                {
                    let mut members = self.state.membership();
                    members.stored_revision = revision;
                    members.stored = Arc::clone(&view);
                }
                self.apply_view(now, &view, out);
                self.inform_departed(out);
            }
            (Purpose::Write(_), StoreResult::Conflict(found)) => {
                self.apply_stored_view(now, &found, out);
                let mut members = self.state.membership();
                members.view_written_at = None;
                members.joining.record_conflict(now, self.config.seed);
                drop(members);
                self.write_view(now, out);
            }
            (Purpose::Announce, result) => self.handle_announced(now, &result, out),
            // Whether the write succeeded is known after the next read.
            (Purpose::Write(_), _) => {
                let mut members = self.state.membership();
                members.stored_known = false;
                members.view_read_at = None;
            }
            (Purpose::Read(_), _) => {}
        }
    }

    pub(super) fn apply_stored_view(&self, now: Time, found: &Versioned, out: &mut Outbox) {
        let view = match View::decode(found.value.as_deref()) {
            Ok(view) => Arc::new(view),
            Err(error) => {
                out.push(Command::Log(LogEntry::BadValue(StoreKey::View, error.to_string())));
                return;
            }
        };
        let requested_at = {
            let mut members = self.state.membership();
            // A stale read has an older revision, and a write based on it would only conflict.
            if found.revision < members.stored_revision {
                return;
            }
            members.stored_revision = found.revision;
            members.stored = Arc::clone(&view);
            members.stored_known = true;
            members.joining.record_view(&view);
            members.record_view_size(now, &view);
            members.view_requested_at
        };
        self.apply_view(now, &view, out);
        // This is set only after the view is applied. Otherwise a judge could take the older view
        // for the one just read, and would not wait for a member that has just joined.
        let mut members = self.state.membership();
        members.stored_view_requested_at = members.stored_view_requested_at.max(requested_at);
    }
}

/// Returns the minimum time between two fetches of views or templates: so long that the reply to the
/// first one can arrive.
pub(super) fn fetch_interval(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    MIN_FETCH_INTERVAL.saturating_add(FETCH_TIME_PER_MEMBER.saturating_mul(members))
}

/// Starts reading a value from the store unless a read is in progress.
pub(super) fn start_read(members: &mut Membership, now: Time, key: StoreKey, out: &mut Outbox) {
    if members.store_calls.is_pending(&key) {
        return;
    }
    if key == StoreKey::View {
        members.view_requested_at = Some(now);
    }
    let ticket = members.store_calls.begin(Purpose::Read(key.clone()));
    out.push(Command::CallStore(ticket, StoreCall::Get(key)));
}
