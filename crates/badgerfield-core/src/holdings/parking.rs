//! Periodic work of a holding: reports to the ledger, parking, and forwarding to other holders.

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

/// How often an unacknowledged parked amount is sent again.
const PARK_RESEND_INTERVAL: Duration = Duration::from_millis(100);
/// How often a borrower returns tokens that it does not need.
const RETURN_INTERVAL: Duration = Duration::from_millis(100);
/// How often the rest of a low budget is forwarded to its collector.
const FORWARD_INTERVAL: Duration = Duration::from_millis(500);

impl Holdings {
    /// Makes a ledger operation if one is due.
    pub(super) fn plan_op(&mut self, now: Time, budget: &BudgetId) {
        let report_interval = self.pacing.report_interval;
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        if holding.op.is_some() || holding.state == HoldingState::Closed || !self.joined {
            return;
        }
        if !holding.witness_reports.is_empty() {
            // No process can spend the unspent tokens of a removed holder until the ledger has the
            // report.
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
            let is_done = holding.reserved.is_zero()
                && holding.waiters.is_empty()
                && holding.parked_amount().is_zero()
                && self.witness.total(budget).is_zero();
            let all = holding.free.saturating_add(sealed_total);
            if is_done && holding.seq + all.0 > 0 {
                if holding.seq == 0 {
                    // The first operation registers the holder and returns nothing.
                    holding.make_op(now, budget, &self.local, Tokens::ZERO, false);
                    return;
                }
                holding.make_op(now, budget, &self.local, all, true);
            } else if holding.seq > 0 && !holding.returnable().is_zero() {
                // Running requests keep their tokens. The rest is returned now, in case this
                // process is killed before its requests have ended.
                let rest = holding.returnable();
                holding.make_op(now, budget, &self.local, rest, false);
            }
            return;
        }
        if holding.seq == 0 && self.local.sealing.is_some() {
            // The reply to the first operation names the tokens that earlier processes of this VM
            // left sealed.
            holding.make_op(now, budget, &self.local, Tokens::ZERO, false);
            return;
        }
        let is_idle = holding.is_idle(now);
        if holding.seq > 0 && (is_idle || holding.return_all) && holding.parked_amount().is_zero() {
            let returned = holding.spare().saturating_add(holding.sealed);
            let is_unreported = holding.reported != (holding.billed, holding.wasted);
            holding.return_all = false;
            if !returned.is_zero() || is_unreported {
                holding.make_op(now, budget, &self.local, returned, false);
            }
            return;
        }
        if !is_due(now, holding.last_op_at, report_interval) || is_idle {
            return;
        }
        let surplus = holding.surplus(now).min(holding.returnable());
        // While the store is unavailable, no process can use the tokens of a pending return.
        let can_return = self.local.sealing.is_none() || self.local.is_store_reachable(now);
        if !surplus.is_zero() && holding.seq > 0 && can_return {
            holding.make_op(now, budget, &self.local, surplus, false);
            return;
        }
        // Every report renews the seal, because promises end.
        let is_unreported = holding.reported != (holding.billed, holding.wasted);
        let tops_up = self.local.sealing.is_some() && self.pacing.policy.top_up;
        let is_unbalanced =
            tops_up && (holding.is_below_share() || holding.has_excess_unsealed(now));
        if is_unreported
            || is_unbalanced
            || !holding.sealed.is_zero()
            || !holding.orphaned_seals.is_empty()
        {
            holding.make_op(now, budget, &self.local, Tokens::ZERO, false);
        }
    }

    /// Returns to the ledger what this process held before it became a borrower.
    fn plan_return(&mut self, now: Time, budget: &BudgetId) {
        let report_interval = self.pacing.report_interval;
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
        if !is_due(now, holding.last_op_at, report_interval) {
            return;
        }
        // Tokens forwarded to lenders are held there. The ledger grants less as long as it has them
        // on record here as well.
        let is_stale = !holding.ledger_held.is_zero();
        if !sealed_total.is_zero() || !holding.orphaned_seals.is_empty() || is_stale {
            let returned = if is_stale { sealed_total } else { holding.returnable() };
            holding.make_op(now, budget, &self.local, returned, false);
        }
    }

    /// Decides how many tokens to park, and at which witness.
    pub(super) fn plan_park(&mut self, now: Time, budget: &BudgetId) {
        let report_interval = self.pacing.report_interval;
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        if holding.parked.sent.is_some() || self.removed {
            return;
        }
        // In a large fleet each of the few holders of a budget holds much of it, so parking is
        // worthwhile. In a small fleet that seals its tokens, each process holds little.
        let uses_witness = self.local.sealing.is_none() || !self.lenders.is_empty();
        let witness = holding.parked.witness;
        let witness_stays = witness
            .and_then(|id| self.view.member(id))
            .is_some_and(|m| m.standing == MemberState::Active);
        let working = holding.working_target(now);
        let wanted = holding.total_need();
        let total = holding.parked.total;
        let is_idle = holding.is_idle(now);
        let is_low = !matches!(holding.plan, HoldingPlan::Share(_));
        let parks_nothing = self.leaving.is_closing()
            || is_idle
            || is_low
            || holding.return_all
            || !witness_stays
            || !holding.deferred.is_empty();
        let parks_nothing = parks_nothing || !uses_witness || holding.is_borrower();
        // A process that stops returns its tokens to the ledger. While the store is unavailable it
        // parks them, and the witness reports them to the ledger once this process has been
        // removed.
        let is_leaving = self.leaving != Leaving::Active && self.local.sealing.is_some();
        let parks_all =
            is_leaving && uses_witness && witness_stays && !self.local.is_store_reachable(now);
        // Tokens to be returned are unparked only when they can be sent at once: if this process
        // crashed in between, they would be lost.
        let can_return = holding.op.is_none() && is_due(now, holding.last_op_at, report_interval);
        let surplus = if can_return { holding.surplus(now) } else { Tokens::ZERO };
        let keep = wanted.saturating_add(working);
        let half = working.part(1, 2);
        let target = if parks_all {
            let reserve = if self.leaving.is_closing() { Tokens::ZERO } else { working };
            holding.unspent().saturating_sub(wanted).saturating_sub(reserve)
        } else if parks_nothing || is_leaving {
            Tokens::ZERO
        } else if !surplus.is_zero() {
            // Tokens to be returned are unparked and stay free.
            total.saturating_sub(surplus.saturating_sub(holding.returnable()))
        } else if holding.available() < holding.free.min(wanted.saturating_add(half)) {
            total.saturating_sub(keep.saturating_sub(holding.available()))
        } else if holding.unparked() > keep.saturating_add(half) {
            total.saturating_add(holding.unparked().saturating_sub(keep))
        } else {
            total
        };
        // An upstream that serves beyond its limit also spends tokens that the witness has on
        // record as unspent. If this process were removed then, these tokens would be granted a
        // second time.
        let target = target.min(holding.unspent());
        if target == total {
            if total.is_zero() && !witness_stays && uses_witness {
                let me = self.view.witness_of(self.me);
                holding.parked.witness = me.map(|m| m.incarnation);
            }
            return;
        }
        // From now on the parked amount is not spent, even before the witness has received it.
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

    /// Answers requests of other holders that were deferred while tokens were parked, as soon as no
    /// token is parked any more.
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

    /// Forwards spare tokens: a borrower's to a lender, those of a low budget to its collector.
    pub(super) fn forward_spare(&mut self, now: Time, budget: &BudgetId, out: &mut Outbox) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        let is_borrower = holding.is_borrower();
        let span = self.pacing.policy.prefetch_span;
        let keep = if is_borrower && !self.leaving.is_closing() {
            holding.max_prefetched(now, span)
        } else {
            Tokens::ZERO
        };
        let spare = holding.free.saturating_sub(keep);
        let lender = next_lender(holding, &self.view, &self.silent_lenders, now, &[]);
        let Some(to) = lender.filter(|to| *to != self.me) else {
            return;
        };
        let is_waiting = holding.search.is_some() || !holding.waiters.is_empty();
        let can_forward = !is_waiting && (is_borrower || !self.leaving.is_closing());
        // Two processes that take each other for the collector must not pass tokens back and forth
        // all the time.
        let interval = if is_borrower { RETURN_INTERVAL } else { FORWARD_INTERVAL };
        if !can_forward || spare.is_zero() || !is_due(now, holding.forwarded_at, interval) {
            return;
        }
        // If transfers cannot leave this VM, the tokens are of more use here, where the account's
        // requests arrive.
        if is_borrower && self.transfers.is_ack_overdue(now, to, budget) {
            return;
        }
        holding.forwarded_at = Some(now);
        let amount = holding.take(spare);
        let tokens = (amount, holding.has_more(now));
        self.transfers.send_new(now, to, budget, holding.terms.period, tokens, out);
    }

    /// Reclaims parked amounts whose witness was removed while this process stayed.
    pub(super) fn reclaim_parked(&mut self) {
        for (id, holding) in &mut self.table {
            let Some(witness) = holding.parked.witness else {
                continue;
            };
            if self.view.has_member(witness) {
                continue;
            }
            holding.parked.total = Tokens::ZERO;
            holding.parked.sent = None;
            holding.parked.witness = None;
            self.changed.insert(id.clone());
        }
    }

    /// Writes off parked amounts. This process was removed before the witness, so the tokens belong
    /// to the witness.
    pub(super) fn write_off_parked(&mut self) {
        for holding in self.table.values_mut() {
            holding.drop_parked();
            holding.parked.witness = None;
        }
    }
}
