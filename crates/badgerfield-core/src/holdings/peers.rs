//! What other holders ask for, give, and park here.

use super::holding::Life;
use super::{COME_BACK, Holdings, Leaving};
use crate::amount::{Time, Tokens};
use crate::event::Outbox;
use crate::ids::{BudgetId, Incarnation};
use crate::ledger::HoldingPlan;
use crate::message::{Message, NoTokensReason, ParkItem, TokenRequest, Transfer};

/// How many times its need a holder may get at once, to ask less often.
const LUMP: u64 = 8;

impl Holdings {
    /// Answers a holder that asks for tokens.
    pub fn handle_token_request(
        &mut self,
        now: Time,
        from: Incarnation,
        ask: &TokenRequest,
        out: &mut Outbox,
    ) {
        let (budget, period) = (ask.budget.clone(), ask.period);
        let need = ask.need;
        let nothing = |need, lack| Message::NoTokens {
            budget: ask.budget.clone(),
            period,
            need,
            reason: lack,
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
        let leaves = self.leaving != Leaving::Stays;
        let from_holder = self.lenders.holds(&budget, from);
        if !self.lenders.is_empty() && holding.may_draw() && !leaves && !from_holder {
            self.lend(now, from, ask, out);
            return;
        }
        // Of two that both lack tokens, the one with the lower number collects.
        let collects = matches!(holding.plan, HoldingPlan::Collect(_));
        if self.maker.sealing.is_some() {
            holding.unseal_due(now);
        }
        let keep = if collects || self.me < from { holding.wanted() } else { Tokens::ZERO };
        let spare = holding.ready().saturating_sub(keep);
        // Who asks again and again gets more at once than what is ready for the next moment.
        let times = if collects || self.lenders.is_empty() { 1 } else { LUMP };
        let wish = need.saturating_add(ask.extra);
        let lump = wish.part(times, 1);
        if spare < lump && holding.ready() < holding.free {
            holding.owed.retain(|(to, _)| *to != from);
            holding.owed.push((from, ask.clone()));
            self.touched.insert(budget);
            self.process_changed(now, out);
            return;
        }
        if spare.is_zero() || (collects && spare < ask.need) {
            let answer = if holding.borrows() || leaves {
                nothing(need, NoTokensReason::NotHolder)
            } else if holding.may_give(now, need) {
                nothing(holding.within_reach(now), NoTokensReason::Reserved(COME_BACK))
            } else {
                nothing(need, NoTokensReason::Spent)
            };
            out.send(from, answer);
            return;
        }
        let more = if collects { Tokens::ZERO } else { spare.part(1, 4).min(wish.part(LUMP, 1)) };
        let amount = holding.take(wish.max(more).min(spare));
        // Whoever gave the last it had must not be waited for.
        let rest = need.saturating_sub(amount);
        let has_more = spare > amount || holding.may_give(now, rest);
        self.transfers.give(now, from, &budget, period, (amount, has_more), out);
    }

    /// Takes in the answer of a holder that has nothing to give.
    pub fn handle_no_tokens(
        &mut self,
        now: Time,
        from: Incarnation,
        budget: &BudgetId,
        (need, lack): (Tokens, NoTokensReason),
        out: &mut Outbox,
    ) {
        let may_have =
            if matches!(lack, NoTokensReason::Reserved(_)) { need } else { Tokens::ZERO };
        self.answered(from, budget, may_have);
        if let Some(holding) = self.table.get_mut(budget) {
            holding.coming.answered(now, from);
        }
        if self.is_refused_by_lender(from, budget, lack) {
            self.refuse_borrowing(now, budget, need, lack);
            return;
        }
        self.skip_lender(now, budget, out);
        self.next_search(now, budget, out);
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
        if transfer.period > holding.terms.period || holding.life == Life::Closed {
            return false;
        }
        let new = self.transfers.is_new(from, transfer);
        if new && transfer.period == holding.terms.period {
            holding.free = holding.free.saturating_add(transfer.amount);
            if holding.lent.is_some() && holding.search.is_none() {
                // What a borrower gives back was lent before, and was no demand: counted as such
                // it made lenders draw half of a budget for an account that used a tenth.
                holding.giving.come_back(transfer.amount);
                holding.meter.uncount(now, transfer.amount);
            }
            holding.forget_refusals();
            holding.used_at = now;
            holding.coming.answered(now, from);
            self.touched.insert(transfer.budget.clone());
            self.mute.remove(&from);
            // How much more a giver has it does not say.
            let may_have = if transfer.has_more { Tokens::MAX } else { Tokens::ZERO };
            self.answered(from, &transfer.budget, may_have);
            self.serve_waiters(now, &transfer.budget);
            self.ask_rest(now, from, &transfer.budget, out);
            self.next_search(now, &transfer.budget, out);
        }
        true
    }

    /// Notes that a transfer arrived.
    pub fn confirm_transfer(&mut self, now: Time, from: Incarnation, seq: u64) {
        self.transfers.acknowledged(now, from, seq);
    }

    /// Keeps amounts that another holder parks here; returns what to acknowledge.
    pub fn accept_parked(&mut self, from: Incarnation, items: &[ParkItem]) -> Vec<ParkItem> {
        let mut kept = Vec::new();
        for item in items {
            if self.bank.set(&self.view, from, item) {
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
            let expected = parked.bank == Some(from)
                && parked.seq == item.seq
                && parked.sent.is_some_and(|(total, _)| total == item.total);
            if !expected || holding.terms.period != item.period {
                continue;
            }
            parked.total = item.total;
            parked.sent = None;
            self.touched.insert(item.budget.clone());
            self.serve_waiters(now, &item.budget);
            self.pay_owed(now, &item.budget, out);
            self.next_search(now, &item.budget, out);
        }
    }
}
