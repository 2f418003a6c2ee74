//! Changes of the view, and stopping this process.

use std::sync::Arc;

use super::holding::{Holding, HoldingState};
use super::{Holdings, Leaving};
use crate::amount::Time;
use crate::event::{Command, LogEntry, Outbox};
use crate::ids::BudgetId;
use crate::ledger::WitnessReport;
use crate::view::View;

impl Holdings {
    /// Applies a newer view and settles the amounts that removed processes had parked or witnessed.
    pub fn apply_view(&mut self, now: Time, view: &Arc<View>, out: &mut Outbox) {
        if view.epoch <= self.view.epoch {
            return;
        }
        self.removed |= self.view.has_member(self.me) && !view.has_member(self.me);
        self.view = Arc::clone(view);
        self.joined |= view.has_member(self.me);
        self.transfers.apply_view(view);
        // A lender that has ended never answers, which is what removes it otherwise.
        self.silent_lenders.retain(|lender, _| view.has_member(*lender));
        if self.removed {
            self.write_off_parked();
            self.witness.apply_view(view, self.me);
            return;
        }
        for inherited in self.witness.apply_view(view, self.me) {
            // The ledger takes no report of a closed account, and this one says nothing.
            if inherited.amount.is_zero() && self.is_closing_account(&inherited.budget) {
                continue;
            }
            let Some(holding) = self.table.get_mut(&inherited.budget) else {
                continue;
            };
            if holding.terms.period != inherited.period {
                continue;
            }
            if self.local.sealing.is_some() {
                // The successor of the removed holder may return a part of the amount, so the
                // ledger decides.
                let (holder, amount) = (inherited.owner, inherited.amount);
                holding.witness_reports.push(WitnessReport { holder, amount });
                let (budget, epoch) = (inherited.budget.clone(), view.epoch);
                out.push(Command::Log(LogEntry::ParkedReturned { budget, holder, amount, epoch }));
            } else {
                holding.free = holding.free.saturating_add(inherited.amount);
            }
            self.changed.insert(inherited.budget);
        }
        self.reclaim_parked();
        self.update_lenders(out);
        for id in self.table.keys().cloned().collect::<Vec<_>>() {
            self.changed.insert(id.clone());
            self.serve_waiters(now, &id);
            self.drop_removed_peers(&id);
            if let Some(holding) = self.table.get_mut(&id) {
                holding.pending_loans.retain_lenders(|lender| view.has_member(lender));
            }
            self.replace_removed_lender(now, &id, out);
            self.resume_search(now, &id, out);
            self.advance_search(now, &id, out);
        }
    }

    /// Starts to return tokens that requests here do not need, before these requests have ended:
    /// this process may be killed before they have.
    ///
    /// In a small fleet each process holds little, so it waits until the requests have ended.
    pub fn retire(&mut self) {
        if !self.lenders.is_empty() {
            self.leaving = Leaving::Retiring;
        }
        self.changed.extend(self.table.keys().cloned());
    }

    /// Starts to return all tokens.
    pub fn close(&mut self) {
        self.leaving = Leaving::Closing;
        self.changed.extend(self.table.keys().cloned());
    }

    /// Returns whether the ledger closes this process's account of a budget, or has closed it.
    ///
    /// The ledger takes no reports of a holder whose account is closed, so an amount that is parked
    /// here from then on would be lost, and would keep this process from ending. Its owner parks it
    /// elsewhere once its view shows that this process leaves.
    pub(super) fn is_closing_account(&self, budget: &BudgetId) -> bool {
        let Some(holding) = self.table.get(budget) else {
            return false;
        };
        let is_closing = holding.op.as_ref().is_some_and(|(op, _)| op.close);
        is_closing || holding.state == HoldingState::Closed
    }

    /// Returns whether all tokens are returned and nothing is parked here.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        let is_done = |h: &Holding| {
            let is_empty = h.seq == 0 && h.unspent().is_zero();
            let is_over = h.state == HoldingState::Closed || is_empty || h.is_fully_parked();
            h.witness_reports.is_empty() && is_over
        };
        let closed = self.table.values().all(is_done);
        closed && self.transfers.is_empty() && self.witness.is_empty()
    }

    /// Hands the remaining tokens to another process. This is for when the store is unavailable and
    /// cannot take them back.
    pub fn hand_over(&mut self, now: Time, out: &mut Outbox) {
        let to = self
            .view
            .ranked(&self.me.0.to_be_bytes(), None)
            .iter()
            .map(|m| m.incarnation)
            .find(|id| *id != self.me);
        let Some(to) = to else {
            return;
        };
        for (id, holding) in &mut self.table {
            if self.local.sealing.is_some() {
                holding.unseal_due(now);
            }
            if holding.available().is_zero() {
                continue;
            }
            let amount = holding.take(holding.free);
            let tokens = (amount, holding.has_more(now));
            self.transfers.send_new(now, to, id, holding.terms.period, tokens, out);
        }
    }
}
