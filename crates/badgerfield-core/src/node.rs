//! One process of the system: takes events, yields orders.

use std::net::SocketAddr;
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
use crate::poison::{Fingerprint, PoisonStatus as RequestStanding};
use crate::policy::Policy;
use crate::rollout::{RolloutBound, RolloutStatus};
use crate::routing::RouteTable;
use crate::runs::{RunKey, Runs};
use crate::shared_state::SharedState;
use crate::template::TemplateSet;
use crate::view::{MAX_SMALL_VIEW_MEMBERS, Member, MemberState, View};
use crate::vm_upstreams::UpstreamKind;
use crate::warm_up::Senders;

/// How often a driver sends [`Event::Tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// How far ahead and how often a process does its regular work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pacing {
    /// The longest demand, in time, that spending rights are held ahead for.
    pub hold_ahead: Duration,
    /// How often a holding reports what it billed, and gets its share anew.
    pub report_interval: Duration,
    /// How often signs of life are sent.
    pub heartbeat_interval: Duration,
    /// How long the platform may take at a stop to take holdings back; then they go to
    /// another process.
    pub return_timeout: Duration,
    /// How long upstreams that leave take requests after they have said so.
    pub leave_notice: Duration,
    /// Whether tokens that are held ahead are sealed, instead of parked with a peer.
    pub seal_holdings: bool,
    /// What the platform allows versions that are rolled out.
    pub rollout: RolloutBound,
    /// What may be set otherwise to measure its worth.
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
            seal_holdings: false,
            rollout: RolloutBound::default(),
            policy: Policy::default(),
        }
    }
}

/// What a process is told at its start.
#[derive(Debug, Clone)]
pub struct Config {
    /// This process.
    pub member: Member,
    /// How many values the ledger is divided into; the same everywhere.
    pub ledger_shards: u32,
    /// How long keys are remembered.
    pub key_retention: Duration,
    /// How long ended answers are kept for retries.
    pub answer_retention: Duration,
    /// How many bytes of ended answers are kept.
    pub max_answer_bytes: usize,
    /// How long callers may keep an answer of the directory.
    pub directory_ttl: Duration,
    /// How far ahead and how often it does its regular work.
    pub pacing: Pacing,
    /// Random bits of this process.
    pub seed: u64,
}

/// One process of the system.
#[derive(Debug)]
pub struct Node {
    pub(crate) state: SharedState,
    pub(crate) config: Config,
}

/// The figures of one budget at one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BudgetStatus {
    /// The budget.
    pub budget: BudgetId,
    /// Its figures.
    pub balance: HoldingBalance,
}

/// The state of one process, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The run of the process.
    pub incarnation: Incarnation,
    /// The view in force.
    pub epoch: Epoch,
    /// The newest epoch whose hand-overs are complete.
    pub complete_epoch: Epoch,
    /// The templates in force.
    pub template_version: TemplateVersion,
    /// Whether it takes part in full.
    pub active: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Members in the view.
    pub members: usize,
    /// Requests that have not ended.
    pub running: usize,
    /// Requests that wait for an upstream.
    pub queued: usize,
    /// Keys that are remembered.
    pub remembered_keys: usize,
    /// Charges that wait for an arbiter's word.
    pub unsettled_charges: usize,
    /// Bytes of ended answers.
    pub answer_bytes: usize,
    /// Ledger writes that met another value, and all ledger writes.
    pub write_counts: (u64, u64),
    /// Tokens served beyond what was set aside.
    pub excess_tokens: Tokens,
    /// The budgets that are held here.
    pub budgets: Vec<BudgetStatus>,
}

impl Node {
    /// Makes a process that has not started.
    #[must_use]
    pub fn new(config: Config) -> Self {
        let me = config.member.incarnation;
        let members = Membership::new(
            config.member.clone(),
            config.pacing.heartbeat_interval,
            config.pacing.leave_notice,
        );
        let runs = Runs::new(config.answer_retention, config.max_answer_bytes);
        let claims = Claims::new(me, config.key_retention);
        let ledger_writer = LedgerWriter::new(config.ledger_shards, config.pacing.report_interval);
        let holdings = Holdings::new(
            me,
            config.member.vm.clone(),
            config.member.region.clone(),
            config.pacing,
        );
        let board = SharedState::new(members, runs, claims, holdings, ledger_writer);
        Self { state: board, config }
    }

    /// Returns this run of the process.
    #[must_use]
    pub fn id(&self) -> Incarnation {
        self.config.member.incarnation
    }

    /// Takes an event and returns what is to be done.
    pub fn handle(&self, now: Time, event: Event) -> Vec<Command> {
        let mut out = Outbox::default();
        self.take(now, event, &mut out);
        self.follow_up(now, &mut out);
        out.take()
    }

    /// Returns the view in force.
    #[must_use]
    pub fn view(&self) -> View {
        View::clone(&self.state.membership().view)
    }

    /// Returns the address for the messages of another process.
    #[must_use]
    pub fn peer_address(&self, id: Incarnation) -> Option<SocketAddr> {
        self.state.membership().address(id)
    }

    /// Returns the version of the templates in force.
    #[must_use]
    pub fn template_version(&self) -> TemplateVersion {
        self.state.templates().version
    }

    /// Returns the figures of one budget at this process.
    #[must_use]
    pub fn figures(&self, budget: &BudgetId) -> HoldingBalance {
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

    /// Returns how many members the view has; at least one, this process.
    #[must_use]
    pub fn member_count(&self) -> usize {
        self.state.membership().view.members.len().max(1)
    }

    /// Tells whether everybody does here what in a large fleet is left to a few.
    #[must_use]
    pub fn is_small_fleet(&self) -> bool {
        self.state.membership().view.members.len() <= MAX_SMALL_VIEW_MEMBERS
    }

    /// Makes the table in which requests on routes are looked up.
    #[must_use]
    pub fn route_table(&self) -> (TemplateVersion, RouteTable) {
        let set = self.state.templates();
        (set.version, RouteTable::new(&set))
    }

    /// Returns what is known of evacuated failure domains.
    #[must_use]
    pub fn evacuations(&self) -> Vec<DomainChange> {
        self.state.evacuations().changes()
    }

    /// Returns the state of all roll-outs that are known.
    #[must_use]
    pub fn rollout_statuses(&self, now: Time) -> Vec<RolloutStatus> {
        self.state.rollouts().status(now)
    }

    /// Tells whether anything is held against any request.
    #[must_use]
    pub fn has_suspects(&self) -> bool {
        !self.state.poison().is_empty()
    }

    /// Returns what is held against a request.
    #[must_use]
    pub fn request_status(&self, now: Time, request: Fingerprint) -> RequestStanding {
        self.state.poison().status(now, request)
    }

    /// Returns how often an upstream is known to have ended under a request.
    #[must_use]
    pub fn crash_count(&self, request: Fingerprint, upstream: &UpstreamId) -> u32 {
        self.state.poison().crash_count(request, upstream)
    }

    /// Returns who may send to cold upstreams by the view in force.
    #[must_use]
    pub fn warm_up_senders(&self) -> Senders {
        let members = self.state.membership();
        let active = members.view.members.iter().filter(|m| m.standing == MemberState::Active);
        Senders::new(&self.config.member.vm, active.map(|m| &m.vm))
    }

    /// Returns the templates in force.
    #[must_use]
    pub fn templates(&self) -> TemplateSet {
        self.state.templates().clone()
    }

    /// Tells whether callers may be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let (is_active, stopping) = {
            let members = self.state.membership();
            (members.is_active(), members.stopping_since.is_some())
        };
        is_active && !stopping && self.state.rollouts().is_synced()
    }

    /// Returns the state of the process, for operators.
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
        let version = self.state.templates().version;
        let (running, kept) = {
            let runs = self.state.runs();
            (runs.active_count(), runs.replay_bytes())
        };
        let unsettled = self.state.charges().len();
        let queued = self.state.queue().len();
        let (complete, claims) = {
            let table = self.state.claims();
            (table.complete_epoch(), table.len())
        };
        let (excess, budgets) = {
            let table = self.state.holdings();
            let status = |budget: &BudgetId| BudgetStatus {
                budget: budget.clone(),
                balance: table.balance(budget),
            };
            (table.excess(), table.budgets().map(status).collect())
        };
        let conflicts = self.state.ledger_writer().write_counts();
        let incarnation = self.id();
        Status {
            incarnation,
            epoch,
            complete_epoch: complete,
            template_version: version,
            active,
            stopping,
            members,
            running,
            queued,
            remembered_keys: claims,
            unsettled_charges: unsettled,
            answer_bytes: kept,
            write_counts: conflicts,
            excess_tokens: excess,
            budgets,
        }
    }

    fn take(&self, now: Time, event: Event, out: &mut Outbox) {
        match event {
            Event::Start => {
                self.read_platform(now, out);
                self.tick_poison(now, out);
            }
            Event::Tick => self.tick(now, out),
            Event::RequestArrived(request, arrival) => {
                self.handle_request(now, request, *arrival, out);
            }
            Event::CallerDisconnected(request) => self.handle_caller_disconnect(now, request, out),
            Event::Upstream(attempt, event) => self.handle_upstream_event(now, attempt, event, out),
            Event::Load(id, report) => self.state.upstreams().apply_report(now, &id, report),
            Event::Peer(envelope) => self.peer(now, envelope, out),
            Event::StoreReply(ticket, result) => self.handle_store_result(now, ticket, result, out),
            Event::VmList(list) => {
                self.state.membership().learn(&list);
                self.state.upstreams().apply_list(&list);
            }
            Event::Templates(found) => self.apply_stored_templates(now, &found, out),
            Event::Operators(found) => self.apply_operator_values(now, found, out),
            Event::OperatorChanges(found) => self.apply_operator_changes(now, found, out),
            Event::Reserve(ask) => self.reserve_for_route(now, &ask, out),
            Event::CancelReserve(ask) => self.cancel_reserve(now, &ask, out),
            Event::ReservationEnded(end) => self.settle_reservation(now, &end, out),
            Event::WallClock(wall) => self.state.membership().set_wall(now, wall),
            Event::Serving(serving) => self.state.membership().serving = serving,
            Event::UpstreamChanges(news) => self.announce_upstream_changes(now, &news, out),
            Event::UpstreamListGap(from, revision) => {
                self.fetch_missing_upstreams(now, from, revision, out);
            }
            Event::UpstreamListsDiffer(from) => self.fetch_all_upstreams(now, from, out),
            Event::UpstreamListVersion(mark) => self.state.membership().note_list(mark),
            Event::EngineNeeds(own) => {
                let mut members = self.state.membership();
                members.needs.set_own(own);
                out.push(Command::DivideEngines(members.needs.average(now)));
            }
            Event::DelayReports(lags) => self.state.membership().delay_reports = lags,
            Event::LimitReports(notes) => self.send_limits(&notes, out),
            Event::RolloutTallies(tallies) => self.record_rollout_tallies(now, tallies, out),
            Event::UpstreamCrashed(crash) => self.record_crash(now, crash, out),
            Event::SuspectServed(request) => self.record_suspect_served(now, request, out),
            Event::Stop => self.stop(now, out),
        }
    }

    fn tick(&self, now: Time, out: &mut Outbox) {
        let clock = {
            let mut members = self.state.membership();
            members.tick(now);
            members.fleet_clock(now)
        };
        self.state.holdings().set_clock(clock);
        self.tick_heartbeat(now, out);
        self.tick_rollouts(now, out);
        self.tick_poison(now, out);
        self.read_platform(now, out);
        self.request_bootstrap(now, out);
        self.tick_claims(now, out);
        self.tick_holdings(now, out);
        self.tick_queue(now, out);
        self.tick_charges(now, out);
        self.tick_stop(now, out);
        self.sweep_runs(now);
    }

    /// Does what any event may have made due.
    fn follow_up(&self, now: Time, out: &mut Outbox) {
        self.flush_holdings(now, out);
        self.dispatch_queued(now, out);
    }

    fn peer(&self, now: Time, envelope: Envelope, out: &mut Outbox) {
        if envelope.to != self.id() {
            return;
        }
        let from = envelope.from;
        {
            let mut members = self.state.membership();
            members.record_contact(now, from, None);
            members.meet(from, envelope.sender_address);
        }
        match envelope.message {
            Message::Heartbeat(beat) => self.handle_heartbeat(now, from, &beat, out),
            Message::Fetch { epoch, version, whole } => {
                self.handle_fetch(from, epoch, version, whole, out);
            }
            Message::Join(guest) => self.handle_join_request(now, from, guest, out),
            Message::View(update) => self.update_view(now, from, &update, out),
            Message::TemplateDelta(delta) => self.apply_template_delta(now, from, *delta, out),
            Message::Templates(set) => self.apply_templates(now, *set, out),
            Message::UpstreamChanges(news) => self.receive_upstream_update(now, from, news, out),
            Message::FetchUpstreams { since } => out.push(Command::SendUpstreamList(from, since)),
            Message::Upstreams(list) => out.push(Command::ApplyUpstreamList(list)),
            Message::LimitReports(notes) => out.push(Command::ApplyLimitReports(from, notes)),
            Message::Evacuations(news) => self.receive_evacuation_update(now, from, news, out),
            Message::CompareEvacuations(theirs) => self.reconcile_evacuations(from, &theirs, out),
            Message::Rollouts(news) => self.receive_rollout_update(now, news, out),
            Message::CompareRollouts(theirs) => self.reconcile_rollouts(now, from, &theirs, out),
            Message::Crashes(news) => self.receive_crash_update(now, from, news, out),
            Message::CompareCrashes(theirs) => self.reconcile_crashes(now, from, &theirs, out),
            Message::RolloutReport(report) => self.state.rollouts().apply_report(from, report),
            Message::LedgerRequest(ops) => self.handle_ledger_request(now, ops, out),
            Message::LedgerReplies(replies) => self.apply_ledger_replies(now, from, replies, out),
            Message::TokenRequest(ask) => {
                self.state.holdings().handle_token_request(now, from, &ask, out);
            }
            Message::NoTokens { budget, need, reason: lack, .. } => {
                self.state.holdings().handle_no_tokens(now, from, &budget, (need, lack), out);
            }
            Message::Transfer(transfer) => self.receive_transfer(now, from, &transfer, out),
            Message::TransferAck { seq } => self.state.holdings().confirm_transfer(now, from, seq),
            Message::Park(items) => self.handle_park(now, from, &items, out),
            Message::ParkAck(items) => self.state.holdings().confirm_parked(now, from, &items, out),
            Message::ClaimRequest(ask) => self.handle_claim_request(now, from, &ask, out),
            Message::ClaimReply { key, serial, epoch, decision: verdict } => {
                self.handle_claim_reply(now, from, (key, serial, epoch), verdict, out);
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
            Message::SettleRequest(ask) => self.handle_settle_request(now, from, &ask, out),
            Message::SettleReply { id, epoch, billed } => {
                self.handle_settle_reply(now, id, epoch, billed, out);
            }
            Message::Charges(notes) => self.take_over_charges(now, from, notes, out),
            Message::ChargesAck(ids) => self.handle_charges_ack(&ids),
            Message::Handover(part) => {
                let (epoch, number) = (part.epoch, part.index);
                if self.state.claims().receive_handover(now, from, &part) {
                    out.send(from, Message::HandoverAck { epoch, part: number });
                }
            }
            Message::HandoverAck { epoch, part } => {
                self.state.claims().handle_handover_ack(now, from, epoch, part, out);
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
