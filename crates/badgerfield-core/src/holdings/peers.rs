//! What other holders ask for, give, and park here.

use super::holding::HoldingState;
use super::{Holdings, Leaving, RETRY_AFTER};
use crate::amount::{Time, Tokens};
use crate::event::Outbox;
use crate::ids::{BudgetId, Incarnation};
use crate::ledger::HoldingPlan;
use crate::message::{Message, NoTokensReason, ParkItem, TokenRequest, Transfer};

/// How many times its need a holder may get at once, to ask less often.
const BATCH_FACTOR: u64 = 8;

impl Holdings {
    /// Answers a holder that asks for tokens.
    pub fn handle_token_request(
        &mut self,
        now: Time,
        from: Incarnation,
        request: &TokenRequest,
        out: &mut Outbox,
    ) {
        let (budget, period) = (request.budget.clone(), request.period);
        let need = request.need;
        let nothing = |need, reason| Message::NoTokens {
            budget: request.budget.clone(),
            period,
            need,
            reason: reason,
        };
        // Whatever a removed process gets is lost when it ends.
        let member = self.view.has(from);
        let known = self.table.get_mut(&budget).filter(|h| member && h.terms.period == period);
        let Some(holding) = known else {
            out.send(from, nothing(need, NoTokensReason::NotHolder));
            return;
        };
        // Two that hold the same budget and both search answer each other at once: each would
        // wait for the other otherwise, and neither could tell that nothing is left.
        let leaves = self.leaving != Leaving::Active;
        let from_holder = self.lenders.holds(&budget, from);
        if !self.lenders.is_empty() && holding.can_draw() && !leaves && !from_holder {
            self.handle_loan_request(now, from, request, out);
            return;
        }
        // Of two that both lack tokens, the one with the lower number collects.
        let collects = matches!(holding.plan, HoldingPlan::Collect(_));
        if self.local.sealing.is_some() {
            holding.unseal_due(now);
        }
        let keep = if collects || self.me < from { holding.total_need() } else { Tokens::ZERO };
        let spare = holding.available().saturating_sub(keep);
        // Who asks again and again gets more at once than what is ready for the next moment.
        let times = if collects || self.lenders.is_empty() { 1 } else { BATCH_FACTOR };
        let wish = need.saturating_add(request.extra);
        let batch = wish.part(times, 1);
        if spare < batch && holding.available() < holding.free {
            holding.deferred.retain(|(to, _)| *to != from);
            holding.deferred.push((from, request.clone()));
            self.changed.insert(budget);
            self.process_changed(now, out);
            return;
        }
        if spare.is_zero() || (collects && spare < request.need) {
            let answer = if holding.is_borrower() || leaves {
                nothing(need, NoTokensReason::NotHolder)
            } else if holding.can_give(now, need) {
                nothing(holding.max_available(now), NoTokensReason::Reserved(RETRY_AFTER))
            } else {
                nothing(need, NoTokensReason::Spent)
            };
            out.send(from, answer);
            return;
        }
        let more =
            if collects { Tokens::ZERO } else { spare.part(1, 4).min(wish.part(BATCH_FACTOR, 1)) };
        let amount = holding.take(wish.max(more).min(spare));
        // Whoever gave the last it had must not be waited for.
        let rest = need.saturating_sub(amount);
        let has_more = spare > amount || holding.can_give(now, rest);
        self.transfers.send_new(now, from, &budget, period, (amount, has_more), out);
    }

    /// Takes in the answer of a holder that has nothing to give.
    pub fn handle_no_tokens(
        &mut self,
        now: Time,
        from: Incarnation,
        budget: &BudgetId,
        (need, reason): (Tokens, NoTokensReason),
        out: &mut Outbox,
    ) {
        let max_available =
            if matches!(reason, NoTokensReason::Reserved(_)) { need } else { Tokens::ZERO };
        self.record_peer_answer(from, budget, max_available);
        if let Some(holding) = self.table.get_mut(budget) {
            holding.pending_loans.record_answer(now, from);
        }
        if self.is_refused_by_lender(from, budget, reason) {
            self.apply_lender_refusal(now, budget, need, reason);
            return;
        }
        self.try_next_lender(now, budget, out);
        self.advance_search(now, budget, out);
    }

    /// Takes in tokens of another holder; tells whether to acknowledge them.
    pub fn receive_transfer(
        &mut self,
        now: Time,
        from: Incarnation,
        transfer: &Transfer,
        out: &mut Outbox,
    ) -> bool {
        // A removed giver may have been counted before its record was dropped.
        if !self.view.has(from) {
            return false;
        }
        let Some(holding) = self.table.get_mut(&transfer.budget) else {
            return false;
        };
        if transfer.period > holding.terms.period || holding.state == HoldingState::Closed {
            return false;
        }
        let new = self.transfers.record_received(from, transfer);
        if new && transfer.period == holding.terms.period {
            holding.free = holding.free.saturating_add(transfer.amount);
            if holding.lent_at.is_some() && holding.search.is_none() {
                // What a borrower gives back was lent before, and was no demand: counted as such
                // it made lenders draw half of a budget for an account that used a tenth.
                holding.returns.record_returned(transfer.amount);
                holding.meter.uncount(now, transfer.amount);
            }
            holding.clear_refusals();
            holding.used_at = now;
            holding.pending_loans.record_answer(now, from);
            self.changed.insert(transfer.budget.clone());
            self.silent_lenders.remove(&from);
            // How much more a giver has it does not say.
            let max_available = if transfer.has_more { Tokens::MAX } else { Tokens::ZERO };
            self.record_peer_answer(from, &transfer.budget, max_available);
            self.serve_waiters(now, &transfer.budget);
            self.request_remaining(now, from, &transfer.budget, out);
            self.advance_search(now, &transfer.budget, out);
        }
        true
    }

    /// Notes that a transfer arrived.
    pub fn confirm_transfer(&mut self, now: Time, from: Incarnation, seq: u64) {
        self.transfers.record_ack(now, from, seq);
    }

    /// Keeps amounts that another holder parks here; returns what to acknowledge.
    pub fn accept_parked(&mut self, from: Incarnation, items: &[ParkItem]) -> Vec<ParkItem> {
        let mut kept = Vec::new();
        for item in items {
            if self.witness.record(&self.view, from, item) {
                kept.push(item.clone());
            }
        }
        kept
    }

    /// Takes in the bank's acknowledgement of parked amounts.
    pub fn confirm_parked(
        &mut self,
        now: Time,
        from: Incarnation,
        items: &[ParkItem],
        out: &mut Outbox,
    ) {
        for item in items {
            let Some(holding) = self.table.get_mut(&item.budget) else {
                continue;
            };
            let parked = &mut holding.parked;
            let expected = parked.witness == Some(from)
                && parked.seq == item.seq
                && parked.sent.is_some_and(|(total, _)| total == item.total);
            if !expected || holding.terms.period != item.period {
                continue;
            }
            parked.total = item.total;
            parked.sent = None;
            self.changed.insert(item.budget.clone());
            self.serve_waiters(now, &item.budget);
            self.answer_deferred(now, &item.budget, out);
            self.advance_search(now, &item.budget, out);
        }
    }
}
