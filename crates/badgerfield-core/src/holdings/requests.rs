//! Reservations of requests: reserving tokens, waiting for them, and settling.

use super::waiting::{QueueOutcome, Requester, Waiter};
use super::{Holdings, ReserveDecision, ReserveOutcome};
use crate::amount::{Time, Tokens};
use crate::event::Outbox;
use crate::ids::{BudgetId, Period, RunId};
use crate::refusal::{Cause, Refusal};

impl Holdings {
    /// Reserves tokens for a request, at once or later.
    pub fn reserve(
        &mut self,
        now: Time,
        budget: &BudgetId,
        waiter: (RunId, Tokens, Time),
        out: &mut Outbox,
    ) -> ReserveOutcome {
        let (run, need, deadline) = waiter;
        let Some(holding) = self.table.get_mut(budget) else {
            return ReserveOutcome::Refused(Refusal::not_run(Cause::BudgetSpent));
        };
        holding.largest_request = holding.largest_request.max(need);
        if self.lenders.is_empty() {
            // Request sizes matter only in fleets without lenders. Where a few lenders hold the
            // budget for all, the share by its rate alone is enough for many requests of each.
            holding.request_sizes.record(now, need);
        }
        if holding.available() < need && self.local.sealing.is_some() {
            holding.unseal_due(now);
        }
        if need > holding.terms.limit {
            return ReserveOutcome::Refused(Refusal::not_run(Cause::BudgetSpent));
        }
        if holding.reserve(now, need) {
            let period = holding.terms.period;
            self.changed.insert(budget.clone());
            self.prefetch_tokens(now, budget, out);
            return ReserveOutcome::Reserved(period);
        }
        let waiter = Waiter { requester: Requester::Run(run), need, deadline };
        match holding.enqueue(now, waiter) {
            QueueOutcome::Refused(refusal) => return ReserveOutcome::Refused(refusal),
            QueueOutcome::Waiting => {
                self.busy.insert(budget.clone());
            }
            QueueOutcome::Searching => self.start_search(now, budget, out),
        }
        ReserveOutcome::Waiting
    }

    /// Removes a request that waits for tokens. Returns whether it was waiting.
    pub fn cancel_request(&mut self, budget: &BudgetId, run: RunId) -> bool {
        let Some(holding) = self.table.get_mut(budget) else {
            return false;
        };
        let before = holding.waiters.len();
        holding.waiters.retain(|w| w.requester != Requester::Run(run));
        before != holding.waiters.len()
    }

    /// Ends a reservation. Unused tokens become free again.
    pub fn settle(
        &mut self,
        now: Time,
        budget: &BudgetId,
        period: Period,
        reserved: Tokens,
        used: Tokens,
    ) {
        let excess = used.saturating_sub(reserved);
        self.excess = self.excess.saturating_add(excess);
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        if holding.terms.period != period {
            return;
        }
        holding.reserved = holding.reserved.saturating_sub(reserved);
        let rest = reserved.saturating_sub(used);
        holding.free = holding.free.saturating_add(rest);
        // An upstream that ignores its token limit uses up other tokens of the holding.
        holding.write_off(excess);
        holding.returns.record_returned(rest);
        holding.meter.count(now, used);
        holding.used_at = now;
        self.changed.insert(budget.clone());
        self.serve_waiters(now, budget);
    }

    /// Counts a charge as billed, or as wasted if another process bills the key.
    pub fn record_charge(&mut self, budget: &BudgetId, period: Period, cost: Tokens, billed: bool) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        if holding.terms.period != period {
            return;
        }
        let sum = if billed { &mut holding.billed } else { &mut holding.wasted };
        *sum = sum.saturating_add(cost);
    }

    /// Takes the decisions on requests that waited.
    pub fn take_decisions(&mut self) -> Vec<ReserveDecision> {
        std::mem::take(&mut self.decisions)
    }
}
