//! Roll-outs: takes orders in, tells members what is known, judges, and writes the record.
//!
//! News travel as those of evacuated failure domains do: by a broadcast, made up for by digests
//! in signs of life. The three members that rank first for a service judge it; every process
//! tells them how its requests went.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::amount::Time;
use crate::broadcast;
use crate::event::{
    Command, LogEntry, Outbox, StoreCall, StoreKey, StoreResult, Versioned, is_due,
};
use crate::handlers::evacuations::COMPARE;
use crate::handlers::members::read;
use crate::ids::{Incarnation, Service};
use crate::message::{Message, RolloutUpdate};
use crate::node::Node;
use crate::pending_calls::Purpose;
use crate::rollout::{
    Evidence, KnownRollout, OrderChange, RecorderCall, RolloutLogEntry, RolloutPhase,
    RolloutReason, RolloutRecord, RolloutTally, StepContext,
};
use crate::seal::FleetClock;
use crate::view::View;

/// How many members judge a service: two may be lost at once.
const JUDGES: usize = 3;

/// Who judges what, at one moment.
struct Bench {
    view: Arc<View>,
    me: Incarnation,
    clock: FleetClock,
    /// When the platform was asked for the view that was read last.
    view_asked: Option<Time>,
}

impl Node {
    /// Takes in all orders that the platform has.
    pub(crate) fn read_orders(
        &self,
        now: Time,
        revision: u64,
        orders: Vec<OrderChange>,
        out: &mut Outbox,
    ) {
        let turned = self.state.rollouts().apply_snapshot(now, revision, orders);
        self.tell_rollouts(now, &turned, out);
        self.put_rules(now, turned, out);
    }

    /// Takes in orders that were given or withdrawn.
    pub(crate) fn orders_changed(&self, now: Time, orders: Vec<OrderChange>, out: &mut Outbox) {
        let news = orders.into_iter().map(|change| KnownRollout { change, stage: None }).collect();
        self.learn_rollouts(now, news, out);
    }

    /// Takes in what another process tells, and passes it on to its part of the ring.
    pub(crate) fn receive_rollout_update(&self, now: Time, news: RolloutUpdate, out: &mut Outbox) {
        if news.reach > 0 {
            for (to, reach) in self.state.membership().broadcast_targets(now, news.reach) {
                out.send(to, Message::Rollouts(RolloutUpdate { reach, ..news.clone() }));
            }
        }
        let turned = self.state.rollouts().apply(now, news.known);
        self.put_rules(now, turned, out);
    }

    /// Tells a neighbour whose digest differs all that is known here, and so asks it for what
    /// it knows beyond that.
    pub(crate) fn compare_rollouts(
        &self,
        now: Time,
        from: Incarnation,
        theirs: u64,
        out: &mut Outbox,
    ) {
        let known = {
            let mut members = self.state.membership();
            let mut table = self.state.rollouts();
            if table.digest() == theirs {
                table.record_agreement(members.is_active() && members.view.has(from));
                return;
            }
            if !is_due(now, members.rollouts_compared.get(&from).copied(), COMPARE) {
                return;
            }
            members.rollouts_compared.insert(from, now);
            table.all()
        };
        out.send(from, Message::CompareRollouts(known));
    }

    /// Takes in what a neighbour knows, and answers if more is known here.
    pub(crate) fn reconcile_rollouts(
        &self,
        now: Time,
        from: Incarnation,
        theirs: &[KnownRollout],
        out: &mut Outbox,
    ) {
        let (turned, known) = {
            let members = self.state.membership();
            let mut table = self.state.rollouts();
            let turned = table.apply(now, theirs.to_vec());
            let known = table.all();
            if known == theirs {
                table.record_agreement(members.is_active() && members.view.has(from));
            }
            (turned, known)
        };
        self.put_rules(now, turned, out);
        if known != theirs {
            out.send(from, Message::Rollouts(RolloutUpdate { known, reach: 0 }));
        }
    }

    /// Takes in how requests of this process went, and tells the judges what is due.
    pub(crate) fn record_rollout_tallies(
        &self,
        now: Time,
        tallies: Vec<RolloutTally>,
        out: &mut Outbox,
    ) {
        if tallies.is_empty() {
            return;
        }
        self.state.rollouts().record_tallies(tallies);
        self.report_rollouts(now, &self.bench(now), out);
    }

    /// Does what is due about roll-outs.
    pub(crate) fn tick_rollouts(&self, now: Time, out: &mut Outbox) {
        let is_active = self.state.membership().is_active();
        {
            let mut table = self.state.rollouts();
            table.tick(now, is_active);
            if table.is_empty() {
                return;
            }
        }
        let open = self.state.rollouts().unfinished();
        if !open.is_empty() {
            let bench = self.bench(now);
            self.report_rollouts(now, &bench, out);
            for (known, heard) in open {
                self.judge_rollout(now, &bench, &known, heard, out);
            }
        }
        self.put_rules(now, Vec::new(), out);
    }

    /// Takes in an answer of the key-value service about a record.
    pub(crate) fn record_answered(
        &self,
        now: Time,
        service: &Service,
        written: Option<RolloutRecord>,
        result: StoreResult,
        out: &mut Outbox,
    ) {
        let missed = |outcome| {
            let note = RolloutLogEntry::CallFailed { service: service.clone(), outcome };
            Command::Log(LogEntry::Rollout(Box::new(note)))
        };
        match (result, written) {
            (StoreResult::Written(revision), Some(record)) => {
                self.record_found(now, service, revision, Some(record), out);
            }
            (StoreResult::Conflict(found), _) => {
                out.push(missed("another value stands there"));
                self.record_read(now, service, &found, out);
            }
            (StoreResult::Value(found), _) => self.record_read(now, service, &found, out),
            (result, _) => {
                let refused = matches!(result, StoreResult::Refused);
                out.push(missed(if refused { "refused" } else { "no answer" }));
                if let Some(recorder) = self.state.rollouts().recorder_mut(service) {
                    recorder.invalidate();
                }
            }
        }
    }

    fn record_read(&self, now: Time, service: &Service, found: &Versioned, out: &mut Outbox) {
        let record = match RolloutRecord::decode(found.value.as_deref()) {
            Ok(record) => record,
            // What nobody can read holds nothing up: the next record replaces it.
            Err(error) => {
                let name = StoreKey::Rollout(service.clone());
                out.push(Command::Log(LogEntry::BadValue(name, error.to_string())));
                None
            }
        };
        self.record_found(now, service, found.revision, record, out);
    }

    fn record_found(
        &self,
        now: Time,
        service: &Service,
        revision: u64,
        record: Option<RolloutRecord>,
        out: &mut Outbox,
    ) {
        let news = {
            let mut table = self.state.rollouts();
            let Some(known) = table.known(service).cloned() else {
                return;
            };
            let Some(recorder) = table.recorder_mut(service) else {
                return;
            };
            let stage = recorder.apply_record(revision, record, &known);
            stage.map(|stage| KnownRollout { stage: Some(stage), ..known })
        };
        self.learn_rollouts(now, news.into_iter().collect(), out);
    }

    /// Judges an order, and takes the step that is due.
    fn judge_rollout(
        &self,
        now: Time,
        bench: &Bench,
        known: &KnownRollout,
        heard: Time,
        out: &mut Outbox,
    ) {
        let service = &known.change.service;
        let judges = bench.judges(service);
        let place = judges.iter().position(|id| *id == bench.me);
        let longest = self.longest(service);
        let members: Vec<_> = bench.view.members.iter().map(|m| m.incarnation).collect();
        let mut table = self.state.rollouts();
        let Some(recorder) = table.recorder_mut(service) else {
            return;
        };
        let Some(rank) = place.and_then(|place| u32::try_from(place).ok()) else {
            recorder.stop_judging();
            return;
        };
        recorder.judge.tick(now);
        let is_tried = matches!(known.phase(), Some(RolloutPhase::Canary | RolloutPhase::Moving));
        let verdict = if is_tried { recorder.judge.verdict() } else { None };
        if let Some(reason) = verdict {
            let evidence = recorder.judge.evidence().clone();
            let turned = table.reject(now, known, reason);
            drop(table);
            self.target_rejected(now, known, reason, evidence, turned, out);
            return;
        }
        let clock = bench.clock;
        let at = StepContext {
            now,
            known,
            received: heard,
            clock,
            max_duration: longest,
            members: &members,
            view_requested: bench.view_asked,
            rank,
        };
        let call = recorder.next_call(&at);
        let evidence = recorder.judge.evidence().clone();
        drop(table);
        if let Some(call) = call {
            self.call_record(now, service, call, evidence, out);
        }
    }

    /// Logs that the target of an order was found to be bad, tells all members, and acts on it.
    fn target_rejected(
        &self,
        now: Time,
        known: &KnownRollout,
        reason: RolloutReason,
        evidence: Evidence,
        turned: Vec<KnownRollout>,
        out: &mut Outbox,
    ) {
        let (service, revision) = (known.change.service.clone(), known.change.revision);
        let note = RolloutLogEntry::Rejected { service, revision, reason, evidence };
        out.push(Command::Log(LogEntry::Rollout(Box::new(note))));
        self.tell_rollouts(now, &turned, out);
        self.put_rules(now, turned, out);
    }

    /// Makes a call that a judge asks for.
    fn call_record(
        &self,
        now: Time,
        service: &Service,
        call: RecorderCall,
        evidence: Evidence,
        out: &mut Outbox,
    ) {
        let name = StoreKey::Rollout(service.clone());
        let (written, call) = match call {
            RecorderCall::Read => (None, StoreCall::Get(name)),
            RecorderCall::ReadView => {
                read(&mut self.state.membership(), now, StoreKey::View, out);
                return;
            }
            RecorderCall::Write(expect, record) => {
                let value = Bytes::from(record.encode());
                let note = RolloutLogEntry::WritingRecord {
                    service: service.clone(),
                    record: record.clone(),
                    evidence,
                };
                out.push(Command::Log(LogEntry::Rollout(Box::new(note))));
                (
                    Some(record),
                    StoreCall::CompareAndSwap { key: name, expected_revision: expect, value },
                )
            }
        };
        let purpose = Purpose::Rollout(service.clone(), written);
        let ticket = self.state.membership().store_calls.begin(purpose);
        out.push(Command::CallStore(ticket, call));
    }

    /// Tells the judges how requests of this process went, where that is due.
    fn report_rollouts(&self, now: Time, bench: &Bench, out: &mut Outbox) {
        let members = u32::try_from(bench.view.members.len()).unwrap_or(u32::MAX);
        let mut table = self.state.rollouts();
        for (judges, report) in table.due_reports(now, members, |service| bench.judges(service)) {
            for judge in judges {
                if judge == bench.me {
                    table.apply_report(judge, report.clone());
                } else {
                    out.send(judge, Message::RolloutReport(report.clone()));
                }
            }
        }
    }

    /// Takes in news, tells all members what was news here, and puts the rules in force.
    fn learn_rollouts(&self, now: Time, news: Vec<KnownRollout>, out: &mut Outbox) {
        if news.is_empty() {
            return;
        }
        let turned = self.state.rollouts().apply(now, news);
        self.tell_rollouts(now, &turned, out);
        self.put_rules(now, turned, out);
    }

    /// Tells all members what was news here.
    fn tell_rollouts(&self, now: Time, turned: &[KnownRollout], out: &mut Outbox) {
        if turned.is_empty() {
            return;
        }
        let members = self.state.membership();
        for (to, reach) in members.broadcast_targets(now, broadcast::full_reach(&members.view)) {
            let news = RolloutUpdate { known: turned.to_vec(), reach };
            out.send(to, Message::Rollouts(news));
        }
    }

    /// Logs what was news, and puts the rules in force that follow from it.
    fn put_rules(&self, now: Time, turned: Vec<KnownRollout>, out: &mut Outbox) {
        for known in turned {
            out.push(Command::Log(LogEntry::Rollout(Box::new(RolloutLogEntry::Updated(known)))));
        }
        let bound = &self.config.pacing.rollout;
        if let Some(rules) = self.state.rollouts().changed_rules(now, bound) {
            out.push(Command::ApplyRolloutRules(rules));
        }
    }

    /// Returns how long a request of a service may run: the longest timeout of its routes.
    fn longest(&self, service: &Service) -> Duration {
        let set = self.state.templates();
        let routes = set.routing.routes.iter();
        let of = routes.filter(|route| route.split.iter().any(|split| split.service == *service));
        of.map(|route| route.timeout).max().unwrap_or_default()
    }

    fn bench(&self, now: Time) -> Bench {
        let members = self.state.membership();
        let (view, clock) = (Arc::clone(&members.view), members.fleet_clock(now));
        Bench { view, me: members.id(), clock, view_asked: members.view_known_at }
    }
}

impl Bench {
    /// Returns the members that judge a service, the first of them first.
    fn judges(&self, service: &Service) -> Vec<Incarnation> {
        let subject = [b"rollout/", service.as_str().as_bytes()].concat();
        let ranked = self.view.ranked(&subject, None);
        ranked.iter().take(JUDGES).map(|member| member.incarnation).collect()
    }
}
