//! What requests do to holdings: set tokens aside, wait for them, and settle.

use super::waiting::{Queued, Waiter, Wanter};
use super::{Holdings, ReserveDecision, ReserveOutcome};
use crate::amount::{Time, Tokens};
use crate::event::Outbox;
use crate::ids::{BudgetId, Period, RunId};
use crate::refusal::{Cause, Refusal};

impl Holdings {
    /// Sets tokens aside for a request, now or later.
    pub fn reserve(
        &mut self,
        now: Time,
        budget: &BudgetId,
        waiter: (RunId, Tokens, Time),
        out: &mut Outbox,
    ) -> ReserveOutcome {
        let (run, need, until) = waiter;
        let Some(holding) = self.table.get_mut(budget) else {
            return ReserveOutcome::Refused(Refusal::not_run(Cause::BudgetSpent));
        };
        holding.largest = holding.largest.max(need);
        if self.lenders.is_empty() {
            // Where a few hold for all, what each holds is many requests' worth by its rate alone.
            holding.requests.count(now, need);
        }
        if holding.ready() < need && self.maker.sealing.is_some() {
            holding.unseal_due(now);
        }
        if need > holding.terms.limit {
            return ReserveOutcome::Refused(Refusal::not_run(Cause::BudgetSpent));
        }
        if holding.set_aside(now, need) {
            let period = holding.terms.period;
            self.touched.insert(budget.clone());
            self.borrow_ahead(now, budget, out);
            return ReserveOutcome::Reserved(period);
        }
        let waiter = Waiter { wanter: Wanter::Run(run), need, until };
        match holding.queue(now, waiter) {
            Queued::Refused(refusal) => return ReserveOutcome::Refused(refusal),
            Queued::WaitsOn => {
                self.busy.insert(budget.clone());
            }
            Queued::Searches => self.pursue(now, budget, out),
        }
        ReserveOutcome::Waiting
    }

    /// Drops a request that waits for tokens; tells whether it waited.
    pub fn cancel_request(&mut self, budget: &BudgetId, run: RunId) -> bool {
        let Some(holding) = self.table.get_mut(budget) else {
            return false;
        };
        let before = holding.waiters.len();
        holding.waiters.retain(|w| w.wanter != Wanter::Run(run));
        before != holding.waiters.len()
    }

    /// Ends a reservation: what was not used is free again.
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
        // An upstream that ignores its limit eats into what is held.
        holding.write_off(excess);
        holding.giving.come_back(rest);
        holding.meter.count(now, used);
        holding.used_at = now;
        self.touched.insert(budget.clone());
        self.serve_waiters(now, budget);
    }

    /// Counts a charge as billed, or as used up for a key that another process bills.
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

    /// Takes the answers to requests that waited.
    pub fn take_decisions(&mut self) -> Vec<ReserveDecision> {
        std::mem::take(&mut self.decisions)
    }
}
