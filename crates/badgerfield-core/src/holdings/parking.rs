//! What a holding does of its own accord: tells the ledger, parks, and passes on.

use std::collections::BTreeMap;
use std::time::Duration;

use super::holding::{HoldingState, Search};
use super::search::next_lender;
use super::{Holdings, Leaving};
use crate::amount::{Time, Tokens};
use crate::event::{Outbox, is_due};
use crate::ids::{BudgetId, Incarnation};
use crate::ledger::HoldingPlan;
use crate::message::{Message, ParkItem};
use crate::view::MemberState;

/// How often a parked amount is sent again.
const PARK_RESEND_INTERVAL: Duration = Duration::from_millis(100);
/// How often a borrower gives back what it does not need.
const RETURN_INTERVAL: Duration = Duration::from_millis(100);
/// How many times what it keeps at hand a borrower may have before it gives the rest back.
const MAX_PREFETCH_FACTOR: u64 = 2;
/// How often what is left over of a low budget is passed on.
const FORWARD_INTERVAL: Duration = Duration::from_millis(500);

impl Holdings {
    /// Decides whether the ledger is to be told something.
    pub(super) fn plan_op(&mut self, now: Time, budget: &BudgetId) {
        let report = self.pacing.report_interval;
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        if holding.op.is_some() || holding.state == HoldingState::Closed || !self.joined {
            return;
        }
        if !holding.witness_reports.is_empty() {
            // What a removed holder left is missed by all until the ledger has it.
            holding.make_op(now, budget, &self.local, Tokens::ZERO, false);
            return;
        }
        if matches!(holding.search, Some(Search::Ledger { .. })) {
            holding.make_op(now, budget, &self.local, Tokens::ZERO, false);
            return;
        }
        if holding.is_borrower() {
            self.plan_return(now, budget);
            return;
        }
        if self.leaving == Leaving::Retiring {
            holding.state = HoldingState::Retiring;
            let keep = holding.working_target(now).min(holding.spare());
            let rest = holding.returnable().saturating_sub(keep);
            if holding.seq > 0 && !rest.is_zero() && self.local.is_store_reachable(now) {
                holding.make_op(now, budget, &self.local, rest, false);
            }
            return;
        }
        if self.leaving.is_closing() {
            holding.state = HoldingState::Retiring;
            let sealed_total = holding.sealed_total();
            let ready = holding.reserved.is_zero()
                && holding.waiters.is_empty()
                && holding.parked_amount().is_zero();
            let all = holding.free.saturating_add(sealed_total);
            if ready && holding.seq + all.0 > 0 {
                if holding.seq == 0 {
                    // The first change registers the holder and gives nothing back.
                    holding.make_op(now, budget, &self.local, Tokens::ZERO, false);
                    return;
                }
                holding.make_op(now, budget, &self.local, all, true);
            } else if holding.seq > 0 && !holding.returnable().is_zero() {
                // What runs keeps its tokens; the rest goes back now, should this process
                // be ended before its requests are.
                let rest = holding.returnable();
                holding.make_op(now, budget, &self.local, rest, false);
            }
            return;
        }
        if holding.seq == 0 && self.local.sealing.is_some() {
            // The first change tells what earlier processes of this VM left sealed.
            holding.make_op(now, budget, &self.local, Tokens::ZERO, false);
            return;
        }
        let idle = holding.is_idle(now);
        if holding.seq > 0 && (idle || holding.return_all) && holding.parked_amount().is_zero() {
            let back = holding.spare().saturating_add(holding.sealed);
            let is_unreported = holding.reported != (holding.billed, holding.wasted);
            holding.return_all = false;
            if !back.is_zero() || is_unreported {
                holding.make_op(now, budget, &self.local, back, false);
            }
            return;
        }
        if !is_due(now, holding.last_op_at, report) || idle {
            return;
        }
        let surplus = holding.surplus(now).min(holding.returnable());
        if !surplus.is_zero() && holding.seq > 0 {
            holding.make_op(now, budget, &self.local, surplus, false);
            return;
        }
        // A seal is said anew all the time, since it holds but for a moment.
        let is_unreported = holding.reported != (holding.billed, holding.wasted);
        let seals = self.local.sealing.is_some() && self.pacing.policy.top_up;
        let unbalanced = seals && (holding.is_below_share() || holding.has_excess_unsealed(now));
        if is_unreported
            || unbalanced
            || !holding.sealed.is_zero()
            || !holding.orphaned_seals.is_empty()
        {
            holding.make_op(now, budget, &self.local, Tokens::ZERO, false);
        }
    }

    /// Gives back to the ledger what this process held before it began to borrow.
    fn plan_return(&mut self, now: Time, budget: &BudgetId) {
        let report = self.pacing.report_interval;
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        let sealed_total = holding.sealed_total();
        let is_done = holding.reserved.is_zero()
            && holding.waiters.is_empty()
            && holding.parked_amount().is_zero();
        if self.leaving.is_closing() && holding.seq > 0 && is_done {
            let all = holding.free.saturating_add(sealed_total);
            holding.state = HoldingState::Retiring;
            holding.make_op(now, budget, &self.local, all, true);
            return;
        }
        if !is_due(now, holding.last_op_at, report) {
            return;
        }
        // What went to lenders is held there; the ledger hands out less while it takes it to
        // be held here as well.
        let is_stale = !holding.ledger_held.is_zero();
        if !sealed_total.is_zero() || !holding.orphaned_seals.is_empty() || is_stale {
            let back = if is_stale { sealed_total } else { holding.returnable() };
            holding.make_op(now, budget, &self.local, back, false);
        }
    }

    /// Decides how much is to be parked, and with whom.
    pub(super) fn plan_park(&mut self, now: Time, budget: &BudgetId) {
        let report = self.pacing.report_interval;
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        if holding.parked.sent.is_some() || self.removed {
            return;
        }
        // Few hold a budget of a large fleet, and each much of it; in a small fleet that seals its
        // tokens each holds little.
        let has_witness = self.local.sealing.is_none() || !self.lenders.is_empty();
        let witness = holding.parked.witness;
        let stays = witness
            .and_then(|id| self.view.member(id))
            .is_some_and(|m| m.standing == MemberState::Active);
        let working = holding.working_target(now);
        let wanted = holding.total_need();
        let total = holding.parked.total;
        let idle = holding.is_idle(now);
        let low = !matches!(holding.plan, HoldingPlan::Share(_));
        let empty = self.leaving.is_closing()
            || idle
            || low
            || holding.return_all
            || !stays
            || !holding.deferred.is_empty();
        let empty = empty || !has_witness || holding.is_borrower();
        // The ledger takes back what a process that stops has; while it cannot, the witness
        // keeps it, and tells the ledger when this process has gone.
        let leaves = self.leaving != Leaving::Active && self.local.sealing.is_some();
        let leaves_parked = leaves && has_witness && stays && !self.local.is_store_reachable(now);
        // What is to be given back is unparked only when it can go at once: should this
        // process die on the way, nobody else can spend it.
        let ready = holding.op.is_none() && is_due(now, holding.last_op_at, report);
        let surplus = if ready { holding.surplus(now) } else { Tokens::ZERO };
        let keep = wanted.saturating_add(working);
        let half = working.part(1, 2);
        let target = if leaves_parked {
            let serves = if self.leaving.is_closing() { Tokens::ZERO } else { working };
            holding.unspent().saturating_sub(wanted).saturating_sub(serves)
        } else if empty || leaves {
            Tokens::ZERO
        } else if !surplus.is_zero() {
            // What is to be given back is made free, and stays so.
            total.saturating_sub(surplus.saturating_sub(holding.returnable()))
        } else if holding.available() < holding.free.min(wanted.saturating_add(half)) {
            total.saturating_sub(keep.saturating_sub(holding.available()))
        } else if holding.unparked() > keep.saturating_add(half) {
            total.saturating_add(holding.unparked().saturating_sub(keep))
        } else {
            total
        };
        // An upstream that serves beyond its limit spends what the witness knows as untouched;
        // should this process be removed, as much would be handed out a second time.
        let target = target.min(holding.unspent());
        if target == total {
            if total.is_zero() && !stays && has_witness {
                let me = self.view.witness_of(self.me);
                holding.parked.witness = me.map(|m| m.incarnation);
            }
            return;
        }
        // What is parked is not spent from now on, before the bank is told.
        holding.parked.seq += 1;
        holding.parked.sent = Some((target, None));
    }

    pub(super) fn send_parks(&mut self, now: Time, out: &mut Outbox) {
        let mut batches: BTreeMap<Incarnation, Vec<ParkItem>> = BTreeMap::new();
        for id in &self.busy {
            let Some(holding) = self.table.get_mut(id) else {
                continue;
            };
            let Some((total, at)) = &mut holding.parked.sent else {
                continue;
            };
            let total = *total;
            let Some(witness) = holding.parked.witness else {
                continue;
            };
            if !is_due(now, *at, PARK_RESEND_INTERVAL) {
                continue;
            }
            *at = Some(now);
            let (budget, period, seq) = (id.clone(), holding.terms.period, holding.parked.seq);
            batches.entry(witness).or_default().push(ParkItem { budget, period, seq, total });
        }
        for (witness, items) in batches {
            out.send(witness, Message::Park(items));
        }
    }

    /// Answers holders that asked while everything was parked, once it is free.
    pub(super) fn answer_deferred(&mut self, now: Time, budget: &BudgetId, out: &mut Outbox) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        if !holding.parked_amount().is_zero() {
            return;
        }
        for (to, request) in std::mem::take(&mut holding.deferred) {
            self.handle_token_request(now, to, &request, out);
        }
    }

    /// Passes what is left over of a low budget on to the holder that collects it.
    pub(super) fn forward_spare(&mut self, now: Time, budget: &BudgetId, out: &mut Outbox) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        let is_borrower = holding.is_borrower();
        let span = self.pacing.policy.prefetch_span;
        let keep = if is_borrower && !self.leaving.is_closing() {
            holding.prefetch_target(now, span)
        } else {
            Tokens::ZERO
        };
        let spare = holding.free.saturating_sub(keep.part(MAX_PREFETCH_FACTOR, 1));
        let lender = next_lender(holding, &self.view, &self.silent_lenders, now, &[]);
        let Some(to) = lender.filter(|to| *to != self.me) else {
            return;
        };
        let waits = holding.search.is_some() || !holding.waiters.is_empty();
        let can_forward = !waits && (is_borrower || !self.leaving.is_closing());
        // Two that take each other for the collector must not pass tokens to and fro.
        let interval = if is_borrower { RETURN_INTERVAL } else { FORWARD_INTERVAL };
        if !can_forward || spare.is_zero() || !is_due(now, holding.forwarded_at, interval) {
            return;
        }
        // What cannot leave this VM is of more use here, where the account's requests come.
        if is_borrower && self.transfers.is_ack_overdue(now, to, budget) {
            return;
        }
        holding.forwarded_at = Some(now);
        let amount = holding.take(spare);
        let offer = (amount, holding.has_more(now));
        self.transfers.send_new(now, to, budget, holding.terms.period, offer, out);
    }

    /// Takes parked amounts back whose bank was removed while this process stayed.
    pub(super) fn reclaim_parked(&mut self) {
        for (id, holding) in &mut self.table {
            let Some(witness) = holding.parked.witness else {
                continue;
            };
            if self.view.has(witness) {
                continue;
            }
            holding.parked.total = Tokens::ZERO;
            holding.parked.sent = None;
            holding.parked.witness = None;
            self.changed.insert(id.clone());
        }
    }

    /// Writes off parked amounts: this process was removed first, so they are the bank's.
    pub(super) fn write_off_parked(&mut self) {
        for holding in self.table.values_mut() {
            holding.drop_parked();
            holding.parked.witness = None;
        }
    }
}
