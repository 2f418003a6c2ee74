//! A process of the system: handles events and returns commands.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::amount::{Time, Tokens};
use crate::claims::Claims;
use crate::evacuation::DomainChange;
use crate::event::{Command, Event, Outbox};
use crate::holdings::{HoldingBalance, Holdings};
use crate::ids::{BudgetId, Epoch, Incarnation, RunId, TemplateVersion, UpstreamId};
use crate::ledger_writer::LedgerWriter;
use crate::membership::Membership;
use crate::message::{Envelope, Message};
use crate::poison::{Fingerprint, PoisonStatus};
use crate::policy::Policy;
use crate::rollout::{RolloutBound, RolloutStatus};
use crate::routing::RouteTable;
use crate::runs::{RunKey, Runs};
use crate::shared_state::SharedState;
use crate::stop_reason::StopReason;
use crate::template::TemplateSet;
use crate::template_arrival::TemplateSource;
use crate::view::{MAX_SMALL_VIEW_MEMBERS, Member, MemberState, View};
use crate::view_status::ViewStatus;
use crate::vm_upstreams::UpstreamKind;
use crate::warm_up::Senders;

/// The interval at which a driver sends [`Event::Tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Intervals and time limits of a process's periodic work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pacing {
    /// The longest span of future demand for which a process holds tokens.
    pub hold_ahead: Duration,
    /// The interval at which a holding reports its billed tokens and gets a new share.
    pub report_interval: Duration,
    /// The interval between heartbeats.
    pub heartbeat_interval: Duration,
    /// The maximum time that returning holdings to the ledger may take when a process stops; after
    /// that they go to another process.
    pub return_timeout: Duration,
    /// How long a leaving upstream accepts requests after it has announced that it leaves.
    pub leave_notice: Duration,
    /// The time within which a change of operators' values has to be in force at all processes.
    pub apply_timeout: Duration,
    /// Whether tokens held ahead are sealed instead of parked at a peer.
    pub seal_holdings: bool,
    /// The limits that the platform sets for rollouts.
    pub rollout: RolloutBound,
    /// Settings of mechanisms that can be switched off.
    pub policy: Policy,
}

impl Default for Pacing {
    fn default() -> Self {
        Self {
            hold_ahead: Duration::from_secs(7200),
            report_interval: Duration::from_secs(5),
            heartbeat_interval: Duration::from_secs(1),
            return_timeout: Duration::from_secs(8),
            leave_notice: Duration::from_secs(3),
            apply_timeout: Duration::from_secs(3),
            seal_holdings: false,
            rollout: RolloutBound::default(),
            policy: Policy::default(),
        }
    }
}

/// The configuration of a process.
#[derive(Debug, Clone)]
pub struct Config {
    /// This process as a member.
    pub member: Member,
    /// The number of shards of the ledger; the same for all processes.
    pub ledger_shards: u32,
    /// How long claimed keys are remembered.
    pub key_retention: Duration,
    /// How long answers of ended requests are kept for retries.
    pub answer_retention: Duration,
    /// The maximum size of the kept answers, in bytes.
    pub max_answer_bytes: usize,
    /// How long callers may cache an answer of the directory.
    pub directory_ttl: Duration,
    /// Intervals and time limits of periodic work.
    pub pacing: Pacing,
    /// Random number that differs between processes.
    pub seed: u64,
}

/// One process of the system.
#[derive(Debug)]
pub struct Node {
    pub(crate) state: SharedState,
    pub(crate) config: Config,
}

/// The state of one budget at one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BudgetStatus {
    /// The id of the budget.
    pub budget: BudgetId,
    /// The balance of the budget's holding.
    pub balance: HoldingBalance,
}

/// The state of one process, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The epoch of the view in force.
    pub epoch: Epoch,
    /// The newest epoch whose handovers are complete.
    pub complete_epoch: Epoch,
    /// The version of the templates in force.
    pub template_version: TemplateVersion,
    /// Whether the process is an active member of the view.
    pub active: bool,
    /// Whether the process is stopping.
    pub stopping: bool,
    /// The number of members in the view.
    pub members: usize,
    /// The number of requests that have not ended.
    pub running: usize,
    /// The number of requests that wait for an upstream.
    pub queued: usize,
    /// The number of keys whose claims are remembered.
    pub remembered_keys: usize,
    /// The number of streams whose beginning is recorded, copies for other processes included.
    pub recorded_streams: usize,
    /// The number of charges that wait for their arbiter's decision.
    pub unsettled_charges: usize,
    /// The size of the kept answers, in bytes.
    pub answer_bytes: usize,
    /// The number of ledger writes that had a conflict, and of all ledger writes.
    pub write_counts: (u64, u64),
    /// The tokens that upstreams used beyond what was reserved.
    pub excess_tokens: Tokens,
    /// The budgets that this process holds or borrows.
    pub budgets: Vec<BudgetStatus>,
}

impl Node {
    /// Creates a process that has not started.
    #[must_use]
    pub fn new(config: Config) -> Self {
        let me = config.member.incarnation;
        let members = Membership::new(config.member.clone(), &config.pacing);
        let runs = Runs::new(config.answer_retention, config.max_answer_bytes);
        let claims = Claims::new(me, config.key_retention);
        let ledger_writer = LedgerWriter::new(config.ledger_shards, config.pacing.report_interval);
        let holdings = Holdings::new(
            me,
            config.member.vm.clone(),
            config.member.region.clone(),
            config.pacing,
        );
        let state = SharedState::new(members, runs, claims, holdings, ledger_writer);
        Self { state, config }
    }

    /// Returns the incarnation of this process.
    #[must_use]
    pub fn id(&self) -> Incarnation {
        self.config.member.incarnation
    }

    /// Handles an event and returns the commands for the driver.
    pub fn handle(&self, now: Time, event: Event) -> Vec<Command> {
        let mut out = Outbox::default();
        self.handle_event(now, event, &mut out);
        self.follow_up(now, &mut out);
        out.take()
    }

    /// Returns the view in force.
    #[must_use]
    pub fn view(&self) -> View {
        View::clone(&self.state.membership().view)
    }

    /// Returns the size of the view in force.
    #[must_use]
    pub fn view_status(&self) -> ViewStatus {
        let view = Arc::clone(&self.state.membership().view);
        let complete_epoch = self.state.claims().complete_epoch();
        ViewStatus::new(&view, complete_epoch)
    }

    /// Returns the address at which another process receives messages.
    #[must_use]
    pub fn peer_address(&self, id: Incarnation) -> Option<SocketAddr> {
        self.state.membership().address(id)
    }

    /// Returns the version of the templates in force.
    #[must_use]
    pub fn template_version(&self) -> TemplateVersion {
        self.state.templates().version
    }

    /// Returns the balance of a budget at this process.
    #[must_use]
    pub fn balance(&self, budget: &BudgetId) -> HoldingBalance {
        self.state.holdings().balance(budget)
    }

    /// Returns the address of an upstream.
    #[must_use]
    pub fn upstream_address(&self, id: &UpstreamId) -> Option<SocketAddr> {
        self.state.upstreams().get(id).map(|u| u.info.address)
    }

    /// Returns the addresses of all engines.
    #[must_use]
    pub fn engine_addresses(&self) -> Vec<(UpstreamId, SocketAddr)> {
        let table = self.state.upstreams();
        let engines = table.iter().filter(|u| matches!(u.info.kind, UpstreamKind::Engine(_)));
        engines.map(|u| (u.info.id.clone(), u.info.address)).collect()
    }

    /// Returns the number of members in the view; 1 if there is no view.
    #[must_use]
    pub fn member_count(&self) -> usize {
        self.state.membership().view.members.len().max(1)
    }

    /// Returns whether the fleet is so small that every member does the work that only a few
    /// members do in a large one.
    #[must_use]
    pub fn is_small_fleet(&self) -> bool {
        self.state.membership().view.members.len() <= MAX_SMALL_VIEW_MEMBERS
    }

    /// Returns a routing table built from the templates in force, with their version.
    #[must_use]
    pub fn route_table(&self) -> (TemplateVersion, RouteTable) {
        let set = self.state.templates();
        (set.version, RouteTable::new(&set))
    }

    /// Returns all known changes of evacuated failure domains.
    #[must_use]
    pub fn evacuations(&self) -> Vec<DomainChange> {
        self.state.evacuations().changes()
    }

    /// Returns the status of all known rollouts.
    #[must_use]
    pub fn rollout_statuses(&self, now: Time) -> Vec<RolloutStatus> {
        self.state.rollouts().status(now)
    }

    /// Returns whether crashes of upstreams under any request are known.
    #[must_use]
    pub fn has_suspects(&self) -> bool {
        !self.state.poison().is_empty()
    }

    /// Returns whether a request is suspect or blocked.
    #[must_use]
    pub fn request_status(&self, now: Time, request: Fingerprint) -> PoisonStatus {
        self.state.poison().status(now, request)
    }

    /// Returns the same for a request whose prompt has these shared parts.
    #[must_use]
    pub fn prompt_status(
        &self,
        now: Time,
        request: Fingerprint,
        parts: &[Fingerprint],
    ) -> PoisonStatus {
        self.state.poison().status_with_parts(now, request, parts)
    }

    /// Records that an answer to a request with these parts has begun. Returns the parts that are
    /// to be cleared.
    #[must_use]
    pub fn record_begun(&self, now: Time, parts: &[Fingerprint]) -> Vec<Fingerprint> {
        self.state.poison().record_begun(now, parts)
    }

    /// Returns whether a request of this VM may try a blocked part.
    #[must_use]
    pub fn is_trial_due(&self, now: Time, part: Fingerprint) -> bool {
        let rank = self.trial_rank(part);
        rank.is_some_and(|rank| self.state.poison().is_trial_due(now, part, rank))
    }

    /// Starts the trial of a blocked part if one is due at this VM; returns whether it is.
    #[must_use]
    pub fn try_start_trial(&self, now: Time, part: Fingerprint) -> bool {
        let rank = self.trial_rank(part);
        rank.is_some_and(|rank| self.state.poison().try_start_trial(now, part, rank))
    }

    /// Returns the rank of this VM among those that may try a part; `None` outside the view.
    fn trial_rank(&self, part: Fingerprint) -> Option<usize> {
        self.warm_up_senders().rank(part.rendezvous_key())
    }

    /// Returns which parts of a prompt a crash of an upstream accuses.
    #[must_use]
    pub fn accusable_parts(&self, now: Time, parts: &[Fingerprint]) -> Vec<Fingerprint> {
        self.state.poison().accusable(now, parts)
    }

    /// Returns how often an upstream has crashed under a request, as far as known.
    #[must_use]
    pub fn crash_count(&self, request: Fingerprint, upstream: &UpstreamId) -> u32 {
        self.state.poison().crash_count(request, upstream)
    }

    /// Returns the processes that may send requests to cold upstreams, according to the view in
    /// force.
    #[must_use]
    pub fn warm_up_senders(&self) -> Senders {
        let members = self.state.membership();
        let active = members.view.members.iter().filter(|m| m.standing == MemberState::Active);
        Senders::with_regions(&self.config.member.vm, active.map(|m| (&m.vm, &m.region)))
    }

    /// Returns the templates in force.
    #[must_use]
    pub fn templates(&self) -> TemplateSet {
        self.state.templates().clone()
    }

    /// Returns whether callers may send requests to this process.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let (is_active, stopping) = {
            let members = self.state.membership();
            (members.is_active(), members.stopping_since.is_some())
        };
        is_active && !stopping && self.state.rollouts().is_synced()
    }

    /// Returns the status of the process for operators.
    #[must_use]
    pub fn status(&self) -> Status {
        let (epoch, active, stopping, members) = {
            let table = self.state.membership();
            (
                table.view.epoch,
                table.is_active(),
                table.stopping_since.is_some(),
                table.view.members.len(),
            )
        };
        let template_version = self.state.templates().version;
        let (running, answer_bytes) = {
            let runs = self.state.runs();
            (runs.active_count(), runs.replay_bytes())
        };
        let unsettled_charges = self.state.charges().len();
        let queued = self.state.queue().len();
        let (complete_epoch, remembered_keys) = {
            let table = self.state.claims();
            (table.complete_epoch(), table.len())
        };
        let recorded_streams = self.state.stream_origins().len();
        let (excess_tokens, budgets) = {
            let table = self.state.holdings();
            let status = |budget: &BudgetId| BudgetStatus {
                budget: budget.clone(),
                balance: table.balance(budget),
            };
            (table.excess(), table.budgets().map(status).collect())
        };
        let write_counts = self.state.ledger_writer().write_counts();
        let incarnation = self.id();
        Status {
            incarnation,
            epoch,
            complete_epoch,
            template_version,
            active,
            stopping,
            members,
            running,
            queued,
            remembered_keys,
            recorded_streams,
            unsettled_charges,
            answer_bytes,
            write_counts,
            excess_tokens,
            budgets,
        }
    }

    fn handle_event(&self, now: Time, event: Event, out: &mut Outbox) {
        match event {
            Event::Start => {
                self.start_joining(now, out);
                self.tick_poison(now, out);
            }
            Event::Tick => self.tick(now, out),
            Event::RequestArrived(request, incoming) => {
                self.handle_request(now, request, *incoming, out);
            }
            Event::CallerDisconnected(request) => self.handle_caller_disconnect(now, request, out),
            Event::Upstream(attempt, event) => self.handle_upstream_event(now, attempt, event, out),
            Event::Load(id, report) => self.state.upstreams().apply_report(now, &id, report),
            Event::Peer(envelope) => self.handle_message(now, envelope, out),
            Event::StoreReply(call, result) => self.handle_store_result(now, call, result, out),
            Event::VmList(list) => {
                self.state.membership().apply_vm_list(&list);
                self.state.upstreams().apply_list(&list);
            }
            Event::OperatorsRead { requested_at, result } => {
                self.handle_operator_read(now, requested_at, result, out);
            }
            Event::OperatorChanges(changes) => self.apply_operator_changes(now, changes, out),
            Event::Reserve(request) => self.reserve_for_route(now, &request, out),
            Event::CancelReserve(request) => self.cancel_reserve(now, &request, out),
            Event::ReservationEnded(end) => self.settle_reservation(now, &end, out),
            Event::WallClock(wall_ms) => self.state.membership().set_wall_ms(now, wall_ms),
            Event::Serving(serving) => self.state.membership().serving = serving,
            Event::Overloaded(is_overloaded) => {
                self.state.membership().availability.set_overloaded(is_overloaded);
            }
            Event::CutOff(is_cut_off) => {
                self.state.membership().availability.set_cut_off(is_cut_off);
            }
            Event::Joiners(found) => self.add_joiners(now, &found, out),
            Event::UpstreamChanges(update) => self.announce_upstream_changes(now, &update, out),
            Event::UpstreamListGap(from, revision) => {
                self.fetch_missing_upstreams(now, from, revision, out);
            }
            Event::UpstreamListsDiffer(from) => self.fetch_all_upstreams(now, from, out),
            Event::UpstreamListVersion(version, entries) => {
                let mut members = self.state.membership();
                members.record_list_version(version);
                members.list_entries = entries;
            }
            Event::EngineDemand(demand) => {
                let mut members = self.state.membership();
                members.engine_demand.set_own(demand);
                out.push(Command::DivideEngines(members.engine_demand.average(now)));
            }
            Event::DelayReports(reports) => self.state.membership().delay_reports = reports,
            Event::LimitReports(reports) => self.send_limits(&reports, out),
            Event::BrittleReports(reports) => self.send_brittle(&reports, out),
            Event::RolloutTallies(tallies) => self.record_rollout_tallies(now, tallies, out),
            Event::UpstreamCrashed(crashes) => self.record_crashes(now, crashes, out),
            Event::SuspectServed(request) => self.record_suspect_served(now, request, out),
            Event::KnownVersions(known) => self.handle_known_versions(now, known, out),
            Event::StreamBegun { origin, copied } => self.record_stream(now, origin, copied, out),
            Event::StreamsNeedCopies(versions) => self.copy_streams(now, &versions, out),
            Event::StreamSegments(shard, found) => self.apply_segments(now, shard, found, out),
            Event::Stop => self.start_stop(now, StopReason::Signal, out),
        }
    }

    /// Starts to stop and tells the driver why. A signal changes nothing once a stop has started.
    pub(crate) fn start_stop(&self, now: Time, reason: StopReason, out: &mut Outbox) {
        let has_started = self.state.membership().stopping_since.is_some();
        if has_started && reason == StopReason::Signal {
            return;
        }
        out.push(Command::StopStarted(reason));
        self.stop(now, out);
    }

    fn tick(&self, now: Time, out: &mut Outbox) {
        let clock = {
            let mut members = self.state.membership();
            members.tick(now);
            members.fleet_clock(now)
        };
        self.state.holdings().set_clock(clock);
        self.tick_heartbeat(now, out);
        self.tick_availability(now, out);
        self.tick_rollouts(now, out);
        self.tick_poison(now, out);
        self.report_missing_templates(now, out);
        self.search_newer_templates(now, out);
        self.tick_store_reads(now, out);
        self.request_bootstrap(now, out);
        self.tick_claims(now, out);
        self.tick_holdings(now, out);
        self.tick_queue(now, out);
        self.tick_charges(now, out);
        self.tick_stop(now, out);
        self.sweep_runs(now);
        self.tick_streams(now, out);
    }

    /// Does the work that any event may make necessary.
    fn follow_up(&self, now: Time, out: &mut Outbox) {
        self.flush_holdings(now, out);
        self.dispatch_queued(now, out);
    }

    fn handle_message(&self, now: Time, envelope: Envelope, out: &mut Outbox) {
        if envelope.to != self.id() {
            return;
        }
        let from = envelope.from;
        {
            let mut members = self.state.membership();
            members.record_contact(now, from, None);
            members.record_address(from, envelope.sender_address);
        }
        match envelope.message {
            Message::Heartbeat(heartbeat) => self.handle_heartbeat(now, from, &heartbeat, out),
            Message::Fetch { epoch, version, full } => {
                self.handle_fetch(now, from, epoch, version, full, out);
            }
            Message::Departure(epoch, quits) => {
                self.handle_departure(now, from, epoch, quits, out);
            }
            Message::View(update) => self.receive_view_update(now, from, &update, out),
            Message::TemplateDelta(delta) => self.apply_template_delta(now, from, *delta, out),
            Message::Templates(set) => {
                self.apply_templates(now, *set, TemplateSource::Peer(from), out);
            }
            Message::UpstreamChanges(delta) => self.receive_upstream_update(now, from, delta, out),
            Message::Conditions(update) => self.receive_conditions(now, update, out),
            Message::FetchUpstreams { since } => out.push(Command::SendUpstreamList(from, since)),
            Message::Upstreams(list) => out.push(Command::ApplyUpstreamList(from, list)),
            Message::LimitReports(reports) => out.push(Command::ApplyLimitReports(from, reports)),
            Message::BrittleReports(reports) => {
                out.push(Command::ApplyBrittleReports(from, reports));
            }
            Message::Operators(update) => self.receive_operator_update(now, from, update, out),
            Message::Evacuations(update) => self.receive_evacuation_update(now, from, update, out),
            Message::CompareEvacuations(theirs) => self.reconcile_evacuations(from, &theirs, out),
            Message::Rollouts(update) => self.receive_rollout_update(now, update, out),
            Message::CompareRollouts(theirs) => self.reconcile_rollouts(now, from, &theirs, out),
            Message::Crashes(update) => self.receive_crash_update(now, from, update, out),
            Message::CompareCrashes(theirs) => self.reconcile_crashes(now, from, &theirs, out),
            Message::StreamOrigins(origins) => self.keep_stream_origins(now, from, origins),
            Message::StreamOriginsToWrite(origins) => {
                self.write_stream_origins(now, from, origins, out);
            }
            Message::RolloutReport(report) => self.state.rollouts().apply_report(from, report),
            Message::LedgerRequest(ops) => self.handle_ledger_request(now, ops, out),
            Message::LedgerReplies(replies) => self.apply_ledger_replies(now, from, replies, out),
            Message::TokenRequest(request) => self.handle_token_request(now, from, &request, out),
            Message::NoTokens { budget, need, reason, .. } => {
                self.state.holdings().handle_no_tokens(now, from, &budget, (need, reason), out);
            }
            Message::Transfer(transfer) => self.receive_transfer(now, from, &transfer, out),
            Message::TransferAck { seq } => self.state.holdings().confirm_transfer(now, from, seq),
            Message::Park(items) => self.handle_park(now, from, &items, out),
            Message::ParkAck(items) => self.state.holdings().confirm_parked(now, from, &items, out),
            Message::ClaimRequest(request) => self.handle_claim_request(now, from, &request, out),
            Message::ClaimReply { key, serial, epoch, decision } => {
                self.handle_claim_reply(now, from, (key, serial, epoch), decision, out);
            }
            Message::ClaimBackup { epoch, claim } => {
                self.record_claim_backup(now, from, epoch, &claim, out);
            }
            Message::ClaimBackupAck { key, serial, ended } => {
                self.handle_claim_backup_ack(now, from, (key, RunId(serial), ended), out);
            }
            Message::Dispatching { key, serial, upstream } => {
                self.state.claims().record_dispatch(now, from, key, serial, upstream);
            }
            Message::Release { key, serial } => self.state.claims().release(from, key, serial),
            Message::SettleRequest(request) => self.handle_settle_request(now, from, &request, out),
            Message::SettleReply { id, epoch, billed } => {
                self.handle_settle_reply(now, id, epoch, billed, out);
            }
            Message::Charges(charges) => self.take_over_charges(now, from, charges, out),
            Message::ChargesAck(ids) => self.handle_charges_ack(&ids),
            Message::Handover(part) => self.handle_handover(now, from, &part, out),
            Message::HandoverAck { epoch, index } => {
                self.state.claims().handle_handover_ack(now, from, epoch, index, out);
            }
            Message::AnswerRequest { key, home, serial, offset } => {
                self.handle_answer_request(
                    now,
                    from,
                    &RunKey { key, home },
                    RunId(serial),
                    offset,
                    out,
                );
            }
            Message::AnswerPart(part) => self.receive_answer_part(now, from, part, out),
            Message::AnswerPending { key, serial } => {
                self.handle_answer_pending(now, from, key, serial);
            }
            Message::UnknownRequest { key, serial } => {
                self.handle_unknown_request(now, from, key, serial, out);
            }
        }
    }
}
