//! One process of the system: takes events, yields orders.

use std::net::SocketAddr;
use std::time::Duration;

use crate::amount::{Time, Tokens};
use crate::board::Board;
use crate::claims::Claims;
use crate::evacuation::DomainChange;
use crate::event::{Event, Order, Outbox};
use crate::holdings::{HoldingBalance, Holdings};
use crate::ids::{BudgetId, Epoch, Incarnation, RunId, UpstreamId, Version};
use crate::ledger_writer::LedgerWriter;
use crate::membership::Membership;
use crate::message::{Envelope, Message};
use crate::poison::{Fingerprint, PoisonStatus as RequestStanding};
use crate::policy::Policy;
use crate::rollout::{RolloutBound, RolloutStatus};
use crate::routing::RouteTable;
use crate::runs::{RunKey, Runs};
use crate::template::TemplateSet;
use crate::upstream::UpstreamKind;
use crate::view::{Member, SMALL_VIEW, Standing, View};
use crate::warm_up::Senders;

/// How often a driver sends [`Event::Tick`].
pub const TICK: Duration = Duration::from_millis(50);

/// How far ahead and how often a process does its regular work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pacing {
    /// The longest demand, in time, that spending rights are held ahead for.
    pub ahead: Duration,
    /// How often a holding reports what it billed, and gets its share anew.
    pub report: Duration,
    /// How often signs of life are sent.
    pub beat: Duration,
    /// How long the platform may take at a stop to take holdings back; then they go to
    /// another process.
    pub hand_on: Duration,
    /// How long upstreams that leave take requests after they have said so.
    pub notice: Duration,
    /// Whether tokens that are held ahead are sealed, instead of parked with a peer.
    pub seals: bool,
    /// What the platform allows versions that are rolled out.
    pub rollout: RolloutBound,
    /// What may be set otherwise to measure its worth.
    pub policy: Policy,
}

impl Default for Pacing {
    fn default() -> Self {
        Self {
            ahead: Duration::from_secs(7200),
            report: Duration::from_secs(5),
            beat: Duration::from_secs(1),
            hand_on: Duration::from_secs(8),
            notice: Duration::from_secs(3),
            seals: false,
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
    pub shards: u32,
    /// How long keys are remembered.
    pub remember: Duration,
    /// How long ended answers are kept for retries.
    pub replay: Duration,
    /// How many bytes of ended answers are kept.
    pub max_replay: usize,
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
    pub(crate) board: Board,
    pub(crate) config: Config,
}

/// The figures of one budget at one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BudgetStatus {
    /// The budget.
    pub budget: BudgetId,
    /// Its figures.
    pub figures: HoldingBalance,
}

/// The state of one process, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The run of the process.
    pub incarnation: Incarnation,
    /// The view in force.
    pub epoch: Epoch,
    /// The newest epoch whose hand-overs are complete.
    pub complete: Epoch,
    /// The templates in force.
    pub version: Version,
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
    pub claims: usize,
    /// Charges that wait for an arbiter's word.
    pub unsettled: usize,
    /// Bytes of ended answers.
    pub kept: usize,
    /// Ledger writes that met another value, and all ledger writes.
    pub conflicts: (u64, u64),
    /// Tokens served beyond what was set aside.
    pub excess: Tokens,
    /// The budgets that are held here.
    pub budgets: Vec<BudgetStatus>,
}

impl Node {
    /// Makes a process that has not started.
    #[must_use]
    pub fn new(config: Config) -> Self {
        let me = config.member.incarnation;
        let members =
            Membership::new(config.member.clone(), config.pacing.beat, config.pacing.notice);
        let runs = Runs::new(config.replay, config.max_replay);
        let claims = Claims::new(me, config.remember);
        let ledger_writer = LedgerWriter::new(config.shards, config.pacing.report);
        let holdings = Holdings::new(
            me,
            config.member.vm.clone(),
            config.member.region.clone(),
            config.pacing,
        );
        let board = Board::new(members, runs, claims, holdings, ledger_writer);
        Self { board, config }
    }

    /// Returns this run of the process.
    #[must_use]
    pub fn id(&self) -> Incarnation {
        self.config.member.incarnation
    }

    /// Takes an event and returns what is to be done.
    pub fn handle(&self, now: Time, event: Event) -> Vec<Order> {
        let mut out = Outbox::default();
        self.take(now, event, &mut out);
        self.follow_up(now, &mut out);
        out.take()
    }

    /// Returns the view in force.
    #[must_use]
    pub fn view(&self) -> View {
        View::clone(&self.board.members().view)
    }

    /// Returns the address for the messages of another process.
    #[must_use]
    pub fn peer_address(&self, id: Incarnation) -> Option<SocketAddr> {
        self.board.members().address(id)
    }

    /// Returns the version of the templates in force.
    #[must_use]
    pub fn version(&self) -> Version {
        self.board.templates().version
    }

    /// Returns the figures of one budget at this process.
    #[must_use]
    pub fn figures(&self, budget: &BudgetId) -> HoldingBalance {
        self.board.holdings().balance(budget)
    }

    /// Returns the address of an upstream.
    #[must_use]
    pub fn upstream_address(&self, id: &UpstreamId) -> Option<SocketAddr> {
        self.board.upstreams().get(id).map(|u| u.info.address)
    }

    /// Returns the addresses of all engines.
    #[must_use]
    pub fn upstream_addresses(&self) -> Vec<(UpstreamId, SocketAddr)> {
        let table = self.board.upstreams();
        let engines = table.iter().filter(|u| matches!(u.info.kind, UpstreamKind::Engine(_)));
        engines.map(|u| (u.info.id.clone(), u.info.address)).collect()
    }

    /// Returns how many members the view has; at least one, this process.
    #[must_use]
    pub fn member_count(&self) -> usize {
        self.board.members().view.members.len().max(1)
    }

    /// Tells whether everybody does here what in a large fleet is left to a few.
    #[must_use]
    pub fn is_small_fleet(&self) -> bool {
        self.board.members().view.members.len() <= SMALL_VIEW
    }

    /// Makes the table in which requests on routes are looked up.
    #[must_use]
    pub fn route_table(&self) -> (Version, RouteTable) {
        let set = self.board.templates();
        (set.version, RouteTable::new(&set))
    }

    /// Returns what is known of evacuated failure domains.
    #[must_use]
    pub fn evacuations(&self) -> Vec<DomainChange> {
        self.board.evacuations().changes()
    }

    /// Returns the state of all roll-outs that are known.
    #[must_use]
    pub fn rollouts(&self, now: Time) -> Vec<RolloutStatus> {
        self.board.rollouts().status(now)
    }

    /// Tells whether anything is held against any request.
    #[must_use]
    pub fn has_suspects(&self) -> bool {
        !self.board.poison().is_empty()
    }

    /// Returns what is held against a request.
    #[must_use]
    pub fn request_standing(&self, now: Time, request: Fingerprint) -> RequestStanding {
        self.board.poison().status(now, request)
    }

    /// Returns how often an upstream is known to have ended under a request.
    #[must_use]
    pub fn ends_under(&self, request: Fingerprint, upstream: &UpstreamId) -> u32 {
        self.board.poison().crash_count(request, upstream)
    }

    /// Returns who may send to cold upstreams by the view in force.
    #[must_use]
    pub fn senders(&self) -> Senders {
        let members = self.board.members();
        let active = members.view.members.iter().filter(|m| m.standing == Standing::Active);
        Senders::new(&self.config.member.vm, active.map(|m| &m.vm))
    }

    /// Returns the templates in force.
    #[must_use]
    pub fn templates(&self) -> TemplateSet {
        self.board.templates().clone()
    }

    /// Tells whether callers may be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let (is_active, stopping) = {
            let members = self.board.members();
            (members.is_active(), members.stopping.is_some())
        };
        is_active && !stopping && self.board.rollouts().is_synced()
    }

    /// Returns the state of the process, for operators.
    #[must_use]
    pub fn status(&self) -> Status {
        let (epoch, active, stopping, members) = {
            let table = self.board.members();
            (
                table.view.epoch,
                table.is_active(),
                table.stopping.is_some(),
                table.view.members.len(),
            )
        };
        let version = self.board.templates().version;
        let (running, kept) = {
            let runs = self.board.runs();
            (runs.active_count(), runs.replay_bytes())
        };
        let unsettled = self.board.charges().len();
        let queued = self.board.queue().len();
        let (complete, claims) = {
            let table = self.board.claims();
            (table.complete_epoch(), table.len())
        };
        let (excess, budgets) = {
            let table = self.board.holdings();
            let status = |budget: &BudgetId| BudgetStatus {
                budget: budget.clone(),
                figures: table.balance(budget),
            };
            (table.excess(), table.budgets().map(status).collect())
        };
        let conflicts = self.board.ledger_writer().write_counts();
        let incarnation = self.id();
        Status {
            incarnation,
            epoch,
            complete,
            version,
            active,
            stopping,
            members,
            running,
            queued,
            claims,
            unsettled,
            kept,
            conflicts,
            excess,
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
            Event::Arrived(request, arrival) => self.handle_request(now, request, *arrival, out),
            Event::HungUp(request) => self.handle_caller_disconnect(now, request, out),
            Event::Upstream(attempt, event) => self.handle_upstream_event(now, attempt, event, out),
            Event::Load(id, report) => self.board.upstreams().apply_report(now, &id, report),
            Event::Peer(envelope) => self.peer(now, envelope, out),
            Event::KeyValue(ticket, result) => self.handle_store_result(now, ticket, result, out),
            Event::VmList(list) => {
                self.board.members().learn(&list);
                self.board.upstreams().learn(&list);
            }
            Event::Templates(found) => self.apply_stored_templates(now, &found, out),
            Event::Operators(found) => self.apply_operator_values(now, found, out),
            Event::OperatorChanges(found) => self.apply_operator_changes(now, found, out),
            Event::Reserve(ask) => self.reserve_for_route(now, &ask, out),
            Event::Withdraw(ask) => self.cancel_reserve(now, &ask, out),
            Event::Settle(end) => self.settle_reservation(now, &end, out),
            Event::Clock(wall) => self.board.members().set_wall(now, wall),
            Event::Serving(serving) => self.board.members().serving = serving,
            Event::UpstreamChanges(news) => self.announce_upstream_changes(now, &news, out),
            Event::UpstreamsMissed(from, revision) => {
                self.fetch_missing_upstreams(now, from, revision, out);
            }
            Event::UpstreamsDiffer(from) => self.fetch_all_upstreams(now, from, out),
            Event::ListMark(mark) => self.board.members().note_list(mark),
            Event::EngineNeeds(own) => {
                let mut members = self.board.members();
                members.needs.set_own(own);
                out.push(Order::DivideEngines(members.needs.average(now)));
            }
            Event::Lags(lags) => self.board.members().lags = lags,
            Event::Limits(notes) => self.send_limits(&notes, out),
            Event::RolloutTallies(tallies) => self.record_rollout_tallies(now, tallies, out),
            Event::Crashed(crash) => self.record_crash(now, crash, out),
            Event::SuspectServed(request) => self.record_suspect_served(now, request, out),
            Event::Stop => self.stop(now, out),
        }
    }

    fn tick(&self, now: Time, out: &mut Outbox) {
        let clock = {
            let mut members = self.board.members();
            members.tick(now);
            members.clock(now)
        };
        self.board.holdings().set_clock(clock);
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
            let mut members = self.board.members();
            members.heard(now, from, None);
            members.meet(from, envelope.address);
        }
        match envelope.message {
            Message::Heartbeat(beat) => self.handle_heartbeat(now, from, &beat, out),
            Message::Fetch { epoch, version, whole } => {
                self.handle_fetch(from, epoch, version, whole, out);
            }
            Message::Join(guest) => self.handle_join_request(now, from, guest, out),
            Message::View(update) => self.update_view(now, from, &update, out),
            Message::Delta(delta) => self.apply_template_delta(now, from, *delta, out),
            Message::Templates(set) => self.apply_templates(now, *set, out),
            Message::UpstreamChanges(news) => self.receive_upstream_update(now, from, news, out),
            Message::FetchUpstreams { since } => out.push(Order::TellUpstreams(from, since)),
            Message::Upstreams(list) => out.push(Order::LearnUpstreams(list)),
            Message::Limits(notes) => out.push(Order::LearnLimits(from, notes)),
            Message::Evacuations(news) => self.receive_evacuation_update(now, from, news, out),
            Message::CompareEvacuations(theirs) => self.reconcile_evacuations(from, &theirs, out),
            Message::Rollouts(news) => self.receive_rollout_update(now, news, out),
            Message::CompareRollouts(theirs) => self.reconcile_rollouts(now, from, &theirs, out),
            Message::Crashes(news) => self.receive_crash_update(now, from, news, out),
            Message::CompareCrashes(theirs) => self.reconcile_crashes(now, from, &theirs, out),
            Message::RolloutReport(report) => self.board.rollouts().hear(from, report),
            Message::Draw(ops) => self.handle_ledger_request(now, ops, out),
            Message::Drawn(replies) => self.apply_ledger_replies(now, from, replies, out),
            Message::Ask(ask) => self.board.holdings().handle_token_request(now, from, &ask, out),
            Message::Nothing { budget, need, lack, .. } => {
                self.board.holdings().handle_no_tokens(now, from, &budget, (need, lack), out);
            }
            Message::Transfer(transfer) => self.receive_transfer(now, from, &transfer, out),
            Message::Transferred { seq } => self.board.holdings().confirm_transfer(now, from, seq),
            Message::Park(items) => self.handle_park(now, from, &items, out),
            Message::Parked(items) => self.board.holdings().confirm_parked(now, from, &items, out),
            Message::Claim(ask) => self.handle_claim_request(now, from, &ask, out),
            Message::Claimed { key, serial, epoch, verdict } => {
                self.handle_claim_reply(now, from, (key, serial, epoch), verdict, out);
            }
            Message::Copy { epoch, claim } => {
                self.record_claim_backup(now, from, epoch, &claim, out)
            }
            Message::Copied { key, serial, ended } => {
                self.handle_claim_backup_ack(now, from, (key, RunId(serial), ended), out);
            }
            Message::Dispatching { key, serial, upstream } => {
                self.board.claims().record_dispatch(now, from, key, serial, upstream);
            }
            Message::Release { key, serial } => self.board.claims().release(from, key, serial),
            Message::Settle(ask) => self.handle_settle_request(now, from, &ask, out),
            Message::Settled { id, epoch, billed } => {
                self.handle_settle_reply(now, id, epoch, billed, out)
            }
            Message::Charges(notes) => self.take_over_charges(now, from, notes, out),
            Message::ChargesTaken(ids) => self.handle_charges_ack(&ids),
            Message::Handover(part) => {
                let (epoch, number) = (part.epoch, part.part);
                if self.board.claims().receive_handover(now, from, &part) {
                    out.send(from, Message::HandedOver { epoch, part: number });
                }
            }
            Message::HandedOver { epoch, part } => {
                self.board.claims().handle_handover_ack(now, from, epoch, part, out);
            }
            Message::Attach { key, home, serial, offset } => {
                self.handle_answer_request(
                    now,
                    from,
                    &RunKey { key, home },
                    RunId(serial),
                    offset,
                    out,
                );
            }
            Message::Part(part) => self.receive_answer_part(now, from, part, out),
            Message::Pending { key, serial } => self.handle_answer_pending(now, from, key, serial),
            Message::NotHere { key, serial } => {
                self.handle_unknown_request(now, from, key, serial, out)
            }
        }
    }
}
