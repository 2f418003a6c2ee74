//! Rollouts: applies orders, broadcasts them to members, judges targets, and writes the record.
//!
//! Updates are distributed like those of evacuated failure domains: by a broadcast, with digests
//! in heartbeats to repair losses. The three members that rank first for a service judge its
//! rollouts; every process reports the results of its requests to them.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::amount::Time;
use crate::broadcast;
use crate::event::{
    Command, LogEntry, Outbox, StoreCall, StoreKey, StoreResult, Versioned, is_due,
};
use crate::handlers::evacuations::MIN_COMPARE_INTERVAL;
use crate::handlers::members::start_read;
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

/// Number of members that judge a service: two may be lost at once.
const JUDGES_PER_SERVICE: usize = 3;

/// The view and clock by which a member judges rollouts.
struct JudgeContext {
    view: Arc<View>,
    me: Incarnation,
    clock: FleetClock,
    /// When the view that was read last was requested from the store.
    view_requested: Option<Time>,
}

impl Node {
    /// Applies a snapshot of all orders from the store.
    pub(crate) fn apply_order_snapshot(
        &self,
        now: Time,
        revision: u64,
        orders: Vec<OrderChange>,
        out: &mut Outbox,
    ) {
        let changed = self.state.rollouts().apply_snapshot(now, revision, orders);
        self.broadcast_rollouts(now, &changed, out);
        self.apply_rollout_rules(now, changed, out);
    }

    /// Applies orders that were added or withdrawn.
    pub(crate) fn apply_order_changes(
        &self,
        now: Time,
        orders: Vec<OrderChange>,
        out: &mut Outbox,
    ) {
        let updates =
            orders.into_iter().map(|change| KnownRollout { change, stage: None }).collect();
        self.update_rollouts(now, updates, out);
    }

    /// Applies a rollout update and forwards it to this process's part of the ring.
    pub(crate) fn receive_rollout_update(
        &self,
        now: Time,
        update: RolloutUpdate,
        out: &mut Outbox,
    ) {
        if update.reach > 0 {
            for (to, reach) in self.state.membership().broadcast_targets(now, update.reach) {
                out.send(to, Message::Rollouts(RolloutUpdate { reach, ..update.clone() }));
            }
        }
        let changed = self.state.rollouts().apply(now, update.known);
        self.apply_rollout_rules(now, changed, out);
    }

    /// Sends all known rollouts to a neighbour whose digest differs. The neighbour replies if it
    /// knows more.
    pub(crate) fn compare_rollout_digest(
        &self,
        now: Time,
        from: Incarnation,
        peer_digest: u64,
        out: &mut Outbox,
    ) {
        let known = {
            let mut members = self.state.membership();
            let mut table = self.state.rollouts();
            if table.digest() == peer_digest {
                table.record_agreement(members.is_active() && members.view.has_member(from));
                return;
            }
            if !is_due(now, members.rollouts_compared.get(&from).copied(), MIN_COMPARE_INTERVAL) {
                return;
            }
            members.rollouts_compared.insert(from, now);
            table.all()
        };
        out.send(from, Message::CompareRollouts(known));
    }

    /// Applies the rollouts of a neighbour and replies if this process knows more.
    pub(crate) fn reconcile_rollouts(
        &self,
        now: Time,
        from: Incarnation,
        peer_known: &[KnownRollout],
        out: &mut Outbox,
    ) {
        let (changed, known) = {
            let members = self.state.membership();
            let mut table = self.state.rollouts();
            let changed = table.apply(now, peer_known.to_vec());
            let known = table.all();
            if known == peer_known {
                table.record_agreement(members.is_active() && members.view.has_member(from));
            }
            (changed, known)
        };
        self.apply_rollout_rules(now, changed, out);
        if known != peer_known {
            out.send(from, Message::Rollouts(RolloutUpdate { known, reach: 0 }));
        }
    }

    /// Records the results of this process's requests and sends due reports to the judges.
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
        self.report_rollouts(now, &self.judge_context(now), out);
    }

    /// Runs the periodic work of rollouts.
    pub(crate) fn tick_rollouts(&self, now: Time, out: &mut Outbox) {
        let is_active = self.state.membership().is_active();
        {
            let mut table = self.state.rollouts();
            table.tick(now, is_active);
            if table.is_empty() {
                return;
            }
        }
        let unfinished = self.state.rollouts().unfinished();
        if !unfinished.is_empty() {
            let context = self.judge_context(now);
            self.report_rollouts(now, &context, out);
            for (known, received) in unfinished {
                self.judge_rollout(now, &context, &known, received, out);
            }
        }
        self.apply_rollout_rules(now, Vec::new(), out);
    }

    /// Handles the store's result for a call about a rollout record.
    pub(crate) fn handle_record_result(
        &self,
        now: Time,
        service: &Service,
        written: Option<RolloutRecord>,
        result: StoreResult,
        out: &mut Outbox,
    ) {
        let call_failed = |outcome| {
            let entry = RolloutLogEntry::CallFailed { service: service.clone(), outcome };
            Command::Log(LogEntry::Rollout(Box::new(entry)))
        };
        match (result, written) {
            (StoreResult::Written(revision), Some(record)) => {
                self.apply_record(now, service, revision, Some(record), out);
            }
            (StoreResult::Conflict(found), _) => {
                out.push(call_failed("conflicting record found"));
                self.apply_stored_record(now, service, &found, out);
            }
            (StoreResult::Value(found), _) => self.apply_stored_record(now, service, &found, out),
            (result, _) => {
                let refused = matches!(result, StoreResult::Refused);
                out.push(call_failed(if refused { "refused" } else { "no answer" }));
                if let Some(recorder) = self.state.rollouts().recorder_mut(service) {
                    recorder.invalidate();
                }
            }
        }
    }

    fn apply_stored_record(
        &self,
        now: Time,
        service: &Service,
        found: &Versioned,
        out: &mut Outbox,
    ) {
        let record = match RolloutRecord::decode(found.value.as_deref()) {
            Ok(record) => record,
            // An unreadable record blocks nothing: the next record replaces it.
            Err(error) => {
                let key = StoreKey::Rollout(service.clone());
                out.push(Command::Log(LogEntry::BadValue(key, error.to_string())));
                None
            }
        };
        self.apply_record(now, service, found.revision, record, out);
    }

    fn apply_record(
        &self,
        now: Time,
        service: &Service,
        revision: u64,
        record: Option<RolloutRecord>,
        out: &mut Outbox,
    ) {
        let update = {
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
        self.update_rollouts(now, update.into_iter().collect(), out);
    }

    /// Judges the target of an order and takes the step that is due.
    fn judge_rollout(
        &self,
        now: Time,
        context: &JudgeContext,
        known: &KnownRollout,
        received: Time,
        out: &mut Outbox,
    ) {
        let service = &known.change.service;
        let judges = context.judges(service);
        let rank_index = judges.iter().position(|id| *id == context.me);
        let max_duration = self.max_route_timeout(service);
        let members: Vec<_> = context.view.members.iter().map(|m| m.incarnation).collect();
        let mut table = self.state.rollouts();
        // Another task may have applied a newer order since.
        let newest = table.known(service).map(|newest| newest.change.revision);
        if newest != Some(known.change.revision) {
            return;
        }
        let Some(recorder) = table.recorder_mut(service) else {
            return;
        };
        let Some(rank) = rank_index.and_then(|index| u32::try_from(index).ok()) else {
            recorder.stop_judging();
            return;
        };
        recorder.judge.tick(now);
        let is_in_progress =
            matches!(known.phase(), Some(RolloutPhase::Canary | RolloutPhase::Moving));
        let verdict = if is_in_progress { recorder.judge.verdict() } else { None };
        if let Some(reason) = verdict {
            let evidence = recorder.judge.evidence().clone();
            let changed = table.reject(now, known, reason);
            drop(table);
            self.handle_rejection(now, known, reason, evidence, changed, out);
            return;
        }
        let clock = context.clock;
        let step = StepContext {
            now,
            known,
            received,
            clock,
            max_duration,
            members: &members,
            view_requested: context.view_requested,
            rank,
        };
        let call = recorder.next_call(&step);
        let evidence = recorder.judge.evidence().clone();
        drop(table);
        if let Some(call) = call {
            self.start_record_call(now, service, call, evidence, out);
        }
    }

    /// Logs that the target of an order was rejected, broadcasts that, and applies the rules.
    fn handle_rejection(
        &self,
        now: Time,
        known: &KnownRollout,
        reason: RolloutReason,
        evidence: Evidence,
        changed: Vec<KnownRollout>,
        out: &mut Outbox,
    ) {
        let (service, revision) = (known.change.service.clone(), known.change.revision);
        let entry = RolloutLogEntry::Rejected { service, revision, reason, evidence };
        out.push(Command::Log(LogEntry::Rollout(Box::new(entry))));
        self.broadcast_rollouts(now, &changed, out);
        self.apply_rollout_rules(now, changed, out);
    }

    /// Starts a store call that a judge needs.
    fn start_record_call(
        &self,
        now: Time,
        service: &Service,
        call: RecorderCall,
        evidence: Evidence,
        out: &mut Outbox,
    ) {
        let key = StoreKey::Rollout(service.clone());
        let (written, call) = match call {
            RecorderCall::Read => (None, StoreCall::Get(key)),
            RecorderCall::ReadView => {
                start_read(&mut self.state.membership(), now, StoreKey::View, out);
                return;
            }
            RecorderCall::Write(expect, record) => {
                let value = Bytes::from(record.encode());
                let entry = RolloutLogEntry::WritingRecord {
                    service: service.clone(),
                    record: record.clone(),
                    evidence,
                };
                out.push(Command::Log(LogEntry::Rollout(Box::new(entry))));
                (Some(record), StoreCall::CompareAndSwap { key, expected_revision: expect, value })
            }
        };
        let purpose = Purpose::Rollout(service.clone(), written);
        let ticket = self.state.membership().store_calls.begin(purpose);
        out.push(Command::CallStore(ticket, call));
    }

    /// Sends due reports on this process's requests to the judges.
    fn report_rollouts(&self, now: Time, context: &JudgeContext, out: &mut Outbox) {
        let members = u32::try_from(context.view.members.len()).unwrap_or(u32::MAX);
        let mut table = self.state.rollouts();
        for (judges, report) in table.due_reports(now, members, |service| context.judges(service)) {
            for judge in judges {
                if judge == context.me {
                    table.apply_report(judge, report.clone());
                } else {
                    out.send(judge, Message::RolloutReport(report.clone()));
                }
            }
        }
    }

    /// Applies updates, broadcasts those that are new here, and applies the rules.
    fn update_rollouts(&self, now: Time, updates: Vec<KnownRollout>, out: &mut Outbox) {
        if updates.is_empty() {
            return;
        }
        let changed = self.state.rollouts().apply(now, updates);
        self.broadcast_rollouts(now, &changed, out);
        self.apply_rollout_rules(now, changed, out);
    }

    /// Broadcasts rollouts that have changed here.
    fn broadcast_rollouts(&self, now: Time, changed: &[KnownRollout], out: &mut Outbox) {
        if changed.is_empty() {
            return;
        }
        let members = self.state.membership();
        for (to, reach) in members.broadcast_targets(now, broadcast::full_reach(&members.view)) {
            let update = RolloutUpdate { known: changed.to_vec(), reach };
            out.send(to, Message::Rollouts(update));
        }
    }

    /// Logs changed rollouts and applies the rules that follow from them.
    fn apply_rollout_rules(&self, now: Time, changed: Vec<KnownRollout>, out: &mut Outbox) {
        for known in changed {
            out.push(Command::Log(LogEntry::Rollout(Box::new(RolloutLogEntry::Updated(known)))));
        }
        let limits = &self.config.pacing.rollout;
        if let Some(rules) = self.state.rollouts().changed_rules(now, limits) {
            out.push(Command::ApplyRolloutRules(rules));
        }
    }

    /// Returns how long a request of a service may run: the longest timeout of its routes.
    fn max_route_timeout(&self, service: &Service) -> Duration {
        let templates = self.state.templates();
        let routes = templates.routing.routes.iter();
        let matching =
            routes.filter(|route| route.split.iter().any(|split| split.service == *service));
        matching.map(|route| route.timeout).max().unwrap_or_default()
    }

    fn judge_context(&self, now: Time) -> JudgeContext {
        let members = self.state.membership();
        let (view, clock) = (Arc::clone(&members.view), members.fleet_clock(now));
        JudgeContext {
            view,
            me: members.id(),
            clock,
            view_requested: members.stored_view_requested_at,
        }
    }
}

impl JudgeContext {
    /// Returns the members that judge a service, in order of rank.
    fn judges(&self, service: &Service) -> Vec<Incarnation> {
        let subject = [b"rollout/", service.as_str().as_bytes()].concat();
        let ranked = self.view.ranked(&subject, None);
        ranked.iter().take(JUDGES_PER_SERVICE).map(|member| member.incarnation).collect()
    }
}
