//! Messages from other holders: requests for tokens, transfers and parked amounts.

use super::holding::HoldingState;
use super::{Holdings, Leaving, RETRY_AFTER};
use crate::amount::{Time, Tokens};
use crate::event::Outbox;
use crate::ids::{BudgetId, Incarnation};
use crate::ledger::HoldingPlan;
use crate::message::{Message, NoTokensReason, ParkItem, TokenRequest, Transfer};

/// A holder may get up to this multiple of its request at once, so that it asks less often.
const BATCH_FACTOR: u64 = 8;

impl Holdings {
    /// Answers a token request of another holder.
    pub fn handle_token_request(
        &mut self,
        now: Time,
        from: Incarnation,
        request: &TokenRequest,
        out: &mut Outbox,
    ) {
        let (budget, period) = (request.budget.clone(), request.period);
        let need = request.need;
        let no_tokens = |need, reason| Message::NoTokens {
            budget: request.budget.clone(),
            period,
            need,
            reason,
        };
        // Tokens sent to a removed process are lost when it ends.
        let is_member = self.view.has_member(from);
        let current = self.table.get_mut(&budget).filter(|h| is_member && h.terms.period == period);
        let Some(holding) = current else {
            out.send(from, no_tokens(need, NoTokensReason::NotHolder));
            return;
        };
        // If two holders of the same budget both search, they answer each other at once. Otherwise
        // each would wait for the other, and neither could find out that nothing is left.
        let is_leaving = self.leaving != Leaving::Active;
        let from_holder = self.lenders.is_lender(&budget, from);
        if !self.lenders.is_empty() && holding.can_draw() && !is_leaving && !from_holder {
            self.handle_loan_request(now, from, request, out);
            return;
        }
        // If both lack tokens, the one with the lower incarnation keeps those it needs.
        let collects = matches!(holding.plan, HoldingPlan::Collect(_));
        if self.local.sealing.is_some() {
            holding.unseal_due(now);
        }
        let keep = if collects || self.me < from { holding.total_need() } else { Tokens::ZERO };
        let spare = holding.available().saturating_sub(keep);
        // A holder that asks repeatedly gets more at once than the tokens kept available here.
        let factor = if collects || self.lenders.is_empty() { 1 } else { BATCH_FACTOR };
        let wanted = need.saturating_add(request.extra);
        let batch = wanted.part(factor, 1);
        if spare < batch && holding.available() < holding.free {
            holding.deferred.retain(|(to, _)| *to != from);
            holding.deferred.push((from, request.clone()));
            self.changed.insert(budget);
            self.process_changed(now, out);
            return;
        }
        if spare.is_zero() || (collects && spare < request.need) {
            let answer = if holding.is_borrower() || is_leaving {
                no_tokens(need, NoTokensReason::NotHolder)
            } else if holding.can_give(now, need) {
                no_tokens(holding.max_available(now), NoTokensReason::Reserved(RETRY_AFTER))
            } else {
                no_tokens(need, NoTokensReason::Spent)
            };
            out.send(from, answer);
            return;
        }
        let surplus = if collects {
            Tokens::ZERO
        } else {
            spare.part(1, 4).min(wanted.part(BATCH_FACTOR, 1))
        };
        let amount = holding.take(wanted.max(surplus).min(spare));
        // A holder that has given its last tokens must not be waited for.
        let rest = need.saturating_sub(amount);
        let has_more = spare > amount || holding.can_give(now, rest);
        self.transfers.send_new(now, from, &budget, period, (amount, has_more), out);
    }

    /// Handles the answer of a holder that has no tokens to give.
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

    /// Applies a transfer from another holder. Returns whether to acknowledge it.
    pub fn receive_transfer(
        &mut self,
        now: Time,
        from: Incarnation,
        transfer: &Transfer,
        out: &mut Outbox,
    ) -> bool {
        // A transfer of a removed sender may have been counted already: the sequence numbers
        // received from it are dropped when it leaves the view.
        if !self.view.has_member(from) {
            return false;
        }
        let Some(holding) = self.table.get_mut(&transfer.budget) else {
            return false;
        };
        if transfer.period > holding.terms.period || holding.state == HoldingState::Closed {
            return false;
        }
        let is_new = self.transfers.record_received(from, transfer);
        if is_new && transfer.period == holding.terms.period {
            holding.free = holding.free.saturating_add(transfer.amount);
            if holding.lent_at.is_some() && holding.search.is_none() {
                // Tokens returned by a borrower were counted as demand when they were lent, but
                // were not used. Left in the demand, they made lenders draw half of a budget for an
                // account that used a tenth.
                holding.returns.record_returned(transfer.amount);
                holding.meter.uncount(now, transfer.amount);
            }
            holding.clear_refusals();
            holding.used_at = now;
            holding.pending_loans.record_answer(now, from);
            self.changed.insert(transfer.budget.clone());
            self.silent_lenders.remove(&from);
            // A transfer does not say how many more tokens its sender has.
            let max_available = if transfer.has_more { Tokens::MAX } else { Tokens::ZERO };
            self.record_peer_answer(from, &transfer.budget, max_available);
            self.serve_waiters(now, &transfer.budget);
            self.request_remaining(now, from, &transfer.budget, out);
            self.advance_search(now, &transfer.budget, out);
        }
        true
    }

    /// Records that a transfer has arrived.
    pub fn confirm_transfer(&mut self, now: Time, from: Incarnation, seq: u64) {
        self.transfers.record_ack(now, from, seq);
    }

    /// Records amounts that another holder parks here. Returns those to acknowledge.
    pub fn accept_parked(&mut self, from: Incarnation, items: &[ParkItem]) -> Vec<ParkItem> {
        let mut accepted = Vec::new();
        for item in items {
            if self.is_closing_account(&item.budget)
                && self.witness.total_of(from, &item.budget).is_zero()
                && !item.total.is_zero()
            {
                continue;
            }
            if self.witness.record(&self.view, from, item) {
                accepted.push(item.clone());
            }
        }
        accepted
    }

    /// Applies the witness's acknowledgement of parked amounts.
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
            let is_expected = parked.witness == Some(from)
                && parked.seq == item.seq
                && parked.sent.is_some_and(|(total, _)| total == item.total);
            if !is_expected || holding.terms.period != item.period {
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
