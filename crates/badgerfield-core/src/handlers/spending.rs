//! Spending: sends ledger operations and moves tokens between holders.

use std::collections::BTreeMap;

use crate::amount::Time;
use crate::event::{Command, Outbox, StoreResult};
use crate::handlers::reservations;
use crate::holdings::ReserveOutcome;
use crate::ids::{BudgetId, Incarnation, Period, ReservationId, RunId};
use crate::ledger::{LedgerOp, LedgerReply, shard_of};
use crate::ledger_writer;
use crate::message::{Message, ParkItem, TokenRequest, Transfer};
use crate::node::Node;
use crate::pending_calls::Purpose;
use crate::runs::Stage;
use crate::view::MAX_SMALL_VIEW_MEMBERS;

/// If there are more budgets than this, none is opened before a request needs it.
const MAX_OPENED_BUDGETS: usize = 256;

impl Node {
    /// Reserves the maximum cost of a run.
    pub(crate) fn reserve(&self, now: Time, id: RunId, out: &mut Outbox) {
        let (budget, max_cost, deadline) = {
            let mut runs = self.state.runs();
            let Some(run) = runs.get_mut(id) else {
                return;
            };
            run.stage = Stage::Reserving;
            (run.budget.clone(), run.max_cost, run.deadline)
        };
        self.update_terms(now, &budget);
        let outcome = self.state.holdings().reserve(now, &budget, (id, max_cost, deadline), out);
        match outcome {
            ReserveOutcome::Reserved(period) => self.apply_reservation(now, id, period, out),
            ReserveOutcome::Waiting => {}
            ReserveOutcome::Refused(refusal) => self.refuse(now, id, refusal, out),
        }
    }

    /// Continues a run whose tokens were reserved in the given period.
    ///
    /// The period is recorded with the tokens. If the budget is renewed before the run ends, the
    /// new period must not get back tokens that it never granted.
    fn apply_reservation(&self, now: Time, id: RunId, period: Period, out: &mut Outbox) {
        let must_resume = {
            let mut runs = self.state.runs();
            let Some(run) = runs.get_mut(id) else {
                return;
            };
            run.reserved = run.max_cost;
            run.period = period;
            run.previous_upstream.is_some() || !run.parts.is_empty()
        };
        if must_resume {
            self.resume_earlier(now, id, out);
            return;
        }
        self.enqueue(now, id, out);
    }

    /// Receives tokens from another holder.
    pub(crate) fn receive_transfer(
        &self,
        now: Time,
        from: Incarnation,
        transfer: &Transfer,
        out: &mut Outbox,
    ) {
        self.update_terms(now, &transfer.budget);
        if self.state.holdings().receive_transfer(now, from, transfer, out) {
            out.send(from, Message::TransferAck { seq: transfer.seq });
        }
    }

    /// Stores amounts that another holder parks here.
    pub(crate) fn handle_park(
        &self,
        now: Time,
        from: Incarnation,
        items: &[ParkItem],
        out: &mut Outbox,
    ) {
        // A parked amount may pass to this process, which must know the terms of its budget by
        // then.
        for item in items {
            self.update_terms(now, &item.budget);
        }
        let accepted = self.state.holdings().accept_parked(from, items);
        if !accepted.is_empty() {
            out.send(from, Message::ParkAck(accepted));
        }
    }

    /// Runs the periodic work of the holdings.
    pub(crate) fn tick_holdings(&self, now: Time, out: &mut Outbox) {
        self.open_holdings(now);
        self.state.holdings().tick(now, out);
    }

    /// Opens a holding of every budget if tokens are sealed, so that amounts left by earlier
    /// processes of this VM are settled before requests need them.
    fn open_holdings(&self, now: Time) {
        if !self.config.pacing.seal_holdings || !self.is_ready() {
            return;
        }
        let version = self.state.templates().version;
        if self.state.holdings().opened_version == Some(version) {
            return;
        }
        let budgets: Vec<_> = self.state.templates().budgets.keys().cloned().collect();
        self.state.holdings().opened_version = Some(version);
        if budgets.len() > MAX_OPENED_BUDGETS {
            return;
        }
        for budget in budgets {
            self.update_terms(now, &budget);
        }
    }

    /// Does work that any event may have made due: sends ledger operations and answers waiting
    /// requests.
    pub(crate) fn flush_holdings(&self, now: Time, out: &mut Outbox) {
        let (ops, decisions) = {
            let mut holdings = self.state.holdings();
            holdings.process_changed(now, out);
            (holdings.take_due_ops(now), holdings.take_decisions())
        };
        self.send_ops(now, ops, out);
        self.start_ledger_calls(now, out);
        for decision in decisions {
            let id = decision.run;
            if let Some(reservation) = ReservationId::from_run_id(id) {
                reservations::answer_reserve(reservation, &decision, out);
                continue;
            }
            if let Some(refusal) = decision.refusal {
                self.refuse(now, id, refusal, out);
                continue;
            }
            self.apply_reservation(now, id, decision.period, out);
        }
    }

    /// Sends ledger operations to the processes that write their shards.
    fn send_ops(&self, now: Time, ops: Vec<(LedgerOp, u32)>, out: &mut Outbox) {
        let mut batches: BTreeMap<Incarnation, Vec<LedgerOp>> = BTreeMap::new();
        for (op, tries) in ops {
            let shard = shard_of(&op.budget, self.config.ledger_shards);
            let writer = self.shard_writer(now, shard, tries);
            batches.entry(writer).or_default().push(op);
        }
        for (writer, ops) in batches {
            if writer == self.id() {
                self.handle_ledger_request(now, ops, out);
                continue;
            }
            out.send(writer, Message::LedgerRequest(ops));
        }
    }

    /// Returns the process that writes a shard: the first of the region by rank, then the second,
    /// then, in a small view, the holder itself. Skips processes that recently failed to reach the
    /// store.
    fn shard_writer(&self, now: Time, shard: u32, tries: u32) -> Incarnation {
        let members = self.state.membership();
        let ranked =
            members.view.ranked_by_capacity(&shard.to_be_bytes(), Some(&members.me.region));
        let can_reach_store = |id: &Incarnation| !members.has_store_failure(now, *id);
        let mut writers: Vec<_> =
            ranked.iter().map(|m| m.incarnation).filter(can_reach_store).take(2).collect();
        // In a large view, many holders would otherwise write for themselves while the first
        // writers are slow, and so slow each other down.
        let is_large = members.view.members.len() > MAX_SMALL_VIEW_MEMBERS;
        if writers.is_empty() || (!is_large && can_reach_store(&self.id())) {
            writers.push(self.id());
        }
        let choice = usize::try_from(tries).unwrap_or(0) % writers.len();
        writers.get(choice).copied().unwrap_or(self.id())
    }

    /// Answers a token request of another process.
    ///
    /// In a large fleet most lenders of a budget have had no request for it themselves, and know its
    /// terms from the templates only.
    pub(crate) fn handle_token_request(
        &self,
        now: Time,
        from: Incarnation,
        request: &TokenRequest,
        out: &mut Outbox,
    ) {
        let is_known = self.state.holdings().period(&request.budget).is_some();
        if !is_known {
            self.update_terms(now, &request.budget);
        }
        self.state.holdings().handle_token_request(now, from, request, out);
    }

    /// Queues ledger operations that this process writes.
    pub(crate) fn handle_ledger_request(&self, now: Time, ops: Vec<LedgerOp>, out: &mut Outbox) {
        let mut results = Vec::new();
        {
            let mut ledger_writer = self.state.ledger_writer();
            for op in ops {
                let shard = shard_of(&op.budget, self.config.ledger_shards);
                results.extend(ledger_writer.add(now, shard, op));
            }
        }
        self.send_ledger_replies(now, results, out);
        self.start_ledger_calls(now, out);
    }

    /// Handles the store's result for a shard.
    pub(crate) fn handle_ledger_result(
        &self,
        now: Time,
        shard: u32,
        result: StoreResult,
        out: &mut Outbox,
    ) {
        let replies = self.state.ledger_writer().handle_result(now, shard, result);
        self.send_ledger_replies(now, replies, out);
        self.start_ledger_calls(now, out);
    }

    /// Applies the replies to this process's own ledger operations.
    pub(crate) fn apply_ledger_replies(
        &self,
        now: Time,
        from: Incarnation,
        replies: Vec<(BudgetId, Period, LedgerReply)>,
        out: &mut Outbox,
    ) {
        if replies.iter().any(|(_, _, reply)| *reply == LedgerReply::StoreUnavailable) {
            self.state.membership().record_store_failure(now, from);
        }
        let mut holdings = self.state.holdings();
        for (budget, period, reply) in replies {
            holdings.apply_ledger_reply(now, &budget, period, &reply, out);
        }
    }

    fn start_ledger_calls(&self, now: Time, out: &mut Outbox) {
        let calls = self.state.ledger_writer().next_calls(now);
        if calls.is_empty() {
            return;
        }
        let mut members = self.state.membership();
        for (shard, call) in calls {
            let ticket = members.store_calls.begin(Purpose::Ledger(shard));
            out.push(Command::CallStore(ticket, call));
        }
    }

    fn send_ledger_replies(
        &self,
        now: Time,
        results: Vec<ledger_writer::OpResult>,
        out: &mut Outbox,
    ) {
        let mut batches: BTreeMap<Incarnation, Vec<_>> = BTreeMap::new();
        for result in results {
            let reply = (result.budget, result.period, result.reply);
            batches.entry(result.holder).or_default().push(reply);
        }
        for (holder, replies) in batches {
            if holder == self.id() {
                self.apply_ledger_replies(now, holder, replies, out);
                continue;
            }
            out.send(holder, Message::LedgerReplies(replies));
        }
    }
}
