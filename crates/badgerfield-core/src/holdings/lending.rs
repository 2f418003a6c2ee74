//! Both sides of lending: answers to borrowers, and requests to lenders.

use std::time::Duration;

use super::holding::{Holding, Search};
use super::waiting::{QueueOutcome, Requester, Waiter};
use super::{Holdings, RETRY_AFTER};
use crate::amount::{Time, Tokens};
use crate::event::{Command, LogEntry, Outbox};
use crate::ids::{BudgetId, Incarnation, Period};
use crate::ledger::HoldingPlan;
use crate::lenders::Lenders;
use crate::message::{Message, NoTokensReason, TokenRequest};
use crate::refusal::{Cause, Refusal};

/// How long a borrower's request may wait at its lender.
const BORROWER_TIMEOUT: Duration = Duration::from_millis(1200);

/// Beyond its need a borrower gets at most one `EXTRA_DIVISOR`-th of the spare tokens.
const EXTRA_DIVISOR: u64 = 2;

/// The answer to a borrower's request.
#[derive(Debug)]
pub(crate) struct BorrowerAnswer {
    pub(crate) to: Incarnation,
    pub(crate) budget: BudgetId,
    pub(crate) period: Period,
    /// The amount that was taken out of the holding, or refused.
    pub(crate) amount: Tokens,
    /// Why the request is refused, or `None` if the amount is lent.
    pub(crate) refusal: Option<Refusal>,
}

impl Holdings {
    /// Updates the lenders of every budget, and with them which budgets this process holds or
    /// borrows.
    pub(super) fn update_lenders(&mut self, out: &mut Outbox) {
        if self.local.sealing.is_none() {
            return;
        }
        self.lenders = Lenders::from_view(&self.view, &self.region);
        let mut has_changed = false;
        for (budget, holding) in &mut self.table {
            let role = self.lenders.role(budget, self.me);
            has_changed |= role.lenders.is_empty() != holding.lenders.is_empty();
            holding.lenders = role.lenders;
            holding.is_backup = role.is_backup;
        }
        if has_changed {
            let held = self.table.values().filter(|holding| !holding.is_borrower()).count();
            let borrowed = self.table.len() - held;
            out.push(Command::Log(LogEntry::Lending { epoch: self.view.epoch, held, borrowed }));
        }
    }

    /// Lends to a borrower, at once or after the ledger has answered.
    pub(super) fn handle_loan_request(
        &mut self,
        now: Time,
        from: Incarnation,
        request: &TokenRequest,
        out: &mut Outbox,
    ) {
        let Some(holding) = self.table.get_mut(&request.budget) else {
            return;
        };
        let need = request.need;
        let lends_ahead = matches!(holding.plan, HoldingPlan::Share(_));
        holding.largest_request = holding.largest_request.max(need);
        if holding.available() < need {
            holding.unseal_due(now);
        }
        let waiter = Waiter {
            requester: Requester::Borrower(from),
            need,
            deadline: now.after(BORROWER_TIMEOUT),
        };
        if holding.lend(now, need) {
            let spare = holding.spare().part(1, EXTRA_DIVISOR);
            let prefetch = if lends_ahead { request.extra.min(spare) } else { Tokens::ZERO };
            holding.lend(now, prefetch);
            let waiter = Waiter { need: need.saturating_add(prefetch), ..waiter };
            self.answer_waiters(&request.budget, vec![waiter], None);
        } else {
            match holding.enqueue(now, waiter) {
                QueueOutcome::Refused(refusal) => {
                    self.answer_waiters(&request.budget, vec![waiter], Some(refusal));
                }
                QueueOutcome::Waiting => {
                    self.busy.insert(request.budget.clone());
                }
                QueueOutcome::Searching => self.start_search(now, &request.budget, out),
            }
        }
        self.changed.insert(request.budget.clone());
    }

    /// Sends the answers to borrowers.
    pub(super) fn answer_borrowers(&mut self, now: Time, out: &mut Outbox) {
        for answer in std::mem::take(&mut self.borrower_answers) {
            let BorrowerAnswer { to, budget, period, amount, refusal } = answer;
            let Some(refusal) = refusal else {
                let holding = self.table.get(&budget);
                let has_more = holding.is_some_and(|holding| holding.has_more(now));
                self.transfers.send_new(now, to, &budget, period, (amount, has_more), out);
                continue;
            };
            let is_spent = refusal.cause == Cause::BudgetSpent;
            let after = refusal.retry_after.unwrap_or(RETRY_AFTER);
            let reason =
                if is_spent { NoTokensReason::Spent } else { NoTokensReason::Reserved(after) };
            out.send(to, Message::NoTokens { budget, period, need: amount, reason });
        }
    }

    /// Asks a lender that has just lent tokens for the needs that no pending request covers.
    pub(super) fn request_remaining(
        &mut self,
        now: Time,
        from: Incarnation,
        budget: &BudgetId,
        out: &mut Outbox,
    ) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        let is_asked =
            matches!(&holding.search, Some(Search::Lender { tried, .. }) if tried.contains(&from));
        if is_asked && holding.is_borrower() {
            holding.request_uncovered(now, budget, from, 0, out);
        }
    }

    /// Returns whether a lender refused tokens that this process wanted to borrow.
    pub(super) fn is_refused_by_lender(
        &self,
        from: Incarnation,
        budget: &BudgetId,
        reason: NoTokensReason,
    ) -> bool {
        let Some(holding) = self.table.get(budget) else {
            return false;
        };
        let Some(Search::Lender { tried, .. }) = &holding.search else {
            return false;
        };
        holding.is_borrower() && tried.contains(&from) && reason != NoTokensReason::NotHolder
    }

    /// Refuses requests as the lender did, because the lender has already searched everywhere.
    ///
    /// Waiting requests that need less than the refused amount stay: the lender answers for them
    /// separately.
    pub(super) fn apply_lender_refusal(
        &mut self,
        now: Time,
        budget: &BudgetId,
        need: Tokens,
        reason: NoTokensReason,
    ) {
        let refusal = match reason {
            NoTokensReason::Spent => Refusal::not_run(Cause::BudgetSpent),
            NoTokensReason::Reserved(after) => {
                Refusal::not_run(Cause::BudgetHeld).with_retry_after(after)
            }
            NoTokensReason::NotHolder => {
                Refusal::not_run(Cause::BudgetHeld).with_retry_after(RETRY_AFTER)
            }
        };
        self.refuse_waiters(now, budget, need, refusal);
    }
}

impl Holding {
    /// Asks a lender for each waiting request that is not covered by available tokens and pending
    /// loans, and for the first `least` requests in any case.
    pub(super) fn request_uncovered(
        &mut self,
        now: Time,
        budget: &BudgetId,
        to: Incarnation,
        least: usize,
        out: &mut Outbox,
    ) {
        let covered = self.available().saturating_add(self.pending_loans.total(now));
        let mut wanted = Tokens::ZERO;
        for (n, waiter) in self.waiters.iter().enumerate() {
            wanted = wanted.saturating_add(waiter.need);
            if wanted <= covered && n >= least {
                continue;
            }
            let (need, prefetch) = (waiter.need, Tokens::ZERO);
            self.pending_loans.record_request(now, to, need, prefetch);
            let (budget, period) = (budget.clone(), self.terms.period);
            out.send(
                to,
                Message::TokenRequest(TokenRequest { budget, period, need, extra: prefetch }),
            );
        }
    }

    /// Takes out the tokens that a borrower needs if enough are available.
    pub(super) fn lend(&mut self, now: Time, need: Tokens) -> bool {
        if self.available() < need {
            return false;
        }
        self.take(need);
        self.lent_at = Some(now);
        self.returns.record_lent(now, need);
        self.used_at = now;
        // Loans count as demand of the lender, because borrowers report no demand of their own.
        self.meter.count(now, need);
        true
    }
}
