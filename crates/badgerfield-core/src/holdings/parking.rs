//! What a holding does of its own accord: tells the ledger, parks, and passes on.

use std::collections::BTreeMap;
use std::time::Duration;

use super::holding::{Life, Search};
use super::search::next_lender;
use super::{Holdings, Leaving};
use crate::amount::{Time, Tokens};
use crate::event::{Outbox, is_due};
use crate::ids::{BudgetId, Incarnation};
use crate::ledger::HoldingPlan;
use crate::message::{Message, ParkItem};
use crate::view::MemberState;

/// How often a parked amount is sent again.
const PARK_RESEND: Duration = Duration::from_millis(100);
/// How often a borrower gives back what it does not need.
const RETURN: Duration = Duration::from_millis(100);
/// How many times what it keeps at hand a borrower may have before it gives the rest back.
const AT_HAND_MOST: u64 = 2;
/// How often what is left over of a low budget is passed on.
const PASS: Duration = Duration::from_millis(500);

impl Holdings {
    /// Decides whether the ledger is to be told something.
    pub(super) fn plan_op(&mut self, now: Time, budget: &BudgetId) {
        let report = self.pacing.report_interval;
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        if holding.op.is_some() || holding.life == Life::Closed || !self.joined {
            return;
        }
        if !holding.untouched.is_empty() {
            // What a removed holder left is missed by all until the ledger has it.
            holding.make_op(now, budget, &self.maker, Tokens::ZERO, false);
            return;
        }
        if matches!(holding.search, Some(Search::Ledger { .. })) {
            holding.make_op(now, budget, &self.maker, Tokens::ZERO, false);
            return;
        }
        if holding.borrows() {
            self.plan_return(now, budget);
            return;
        }
        if self.leaving == Leaving::Retiring {
            holding.life = Life::Retiring;
            let keep = holding.working(now).min(holding.spare());
            let rest = holding.returnable().saturating_sub(keep);
            if holding.seq > 0 && !rest.is_zero() && self.maker.is_sure(now) {
                holding.make_op(now, budget, &self.maker, rest, false);
            }
            return;
        }
        if self.leaving.closes() {
            holding.life = Life::Retiring;
            let shut = holding.shut();
            let ready = holding.reserved.is_zero()
                && holding.waiters.is_empty()
                && holding.parked_amount().is_zero();
            let all = holding.free.saturating_add(shut);
            if ready && holding.seq + all.0 > 0 {
                if holding.seq == 0 {
                    // The first change registers the holder and gives nothing back.
                    holding.make_op(now, budget, &self.maker, Tokens::ZERO, false);
                    return;
                }
                holding.make_op(now, budget, &self.maker, all, true);
            } else if holding.seq > 0 && !holding.returnable().is_zero() {
                // What runs keeps its tokens; the rest goes back now, should this process
                // be ended before its requests are.
                let rest = holding.returnable();
                holding.make_op(now, budget, &self.maker, rest, false);
            }
            return;
        }
        if holding.seq == 0 && self.maker.sealing.is_some() {
            // The first change tells what earlier processes of this VM left sealed.
            holding.make_op(now, budget, &self.maker, Tokens::ZERO, false);
            return;
        }
        let idle = holding.is_idle(now);
        if holding.seq > 0 && (idle || holding.recall) && holding.parked_amount().is_zero() {
            let back = holding.spare().saturating_add(holding.sealed);
            let news = holding.reported != (holding.billed, holding.wasted);
            holding.recall = false;
            if !back.is_zero() || news {
                holding.make_op(now, budget, &self.maker, back, false);
            }
            return;
        }
        if !is_due(now, holding.drawn_at, report) || idle {
            return;
        }
        let surplus = holding.surplus(now).min(holding.returnable());
        if !surplus.is_zero() && holding.seq > 0 {
            holding.make_op(now, budget, &self.maker, surplus, false);
            return;
        }
        // A seal is said anew all the time, since it holds but for a moment.
        let news = holding.reported != (holding.billed, holding.wasted);
        let seals = self.maker.sealing.is_some() && self.pacing.policy.top_up;
        let unbalanced = seals && (holding.lacks_share() || holding.is_too_open(now));
        if news || unbalanced || !holding.sealed.is_zero() || !holding.orphans.is_empty() {
            holding.make_op(now, budget, &self.maker, Tokens::ZERO, false);
        }
    }

    /// Gives back to the ledger what this process held before it began to borrow.
    fn plan_return(&mut self, now: Time, budget: &BudgetId) {
        let report = self.pacing.report_interval;
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        let shut = holding.shut();
        let is_done = holding.reserved.is_zero()
            && holding.waiters.is_empty()
            && holding.parked_amount().is_zero();
        if self.leaving.closes() && holding.seq > 0 && is_done {
            let all = holding.free.saturating_add(shut);
            holding.life = Life::Retiring;
            holding.make_op(now, budget, &self.maker, all, true);
            return;
        }
        if !is_due(now, holding.drawn_at, report) {
            return;
        }
        // What went to lenders is held there; the ledger hands out less while it takes it to
        // be held here as well.
        let is_stale = !holding.known.is_zero();
        if !shut.is_zero() || !holding.orphans.is_empty() || is_stale {
            let back = if is_stale { shut } else { holding.returnable() };
            holding.make_op(now, budget, &self.maker, back, false);
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
        let has_witness = self.maker.sealing.is_none() || !self.lenders.is_empty();
        let bank = holding.parked.bank;
        let stays = bank
            .and_then(|id| self.view.member(id))
            .is_some_and(|m| m.standing == MemberState::Active);
        let working = holding.working(now);
        let wanted = holding.wanted();
        let total = holding.parked.total;
        let idle = holding.is_idle(now);
        let low = !matches!(holding.plan, HoldingPlan::Share(_));
        let empty = self.leaving.closes()
            || idle
            || low
            || holding.recall
            || !stays
            || !holding.owed.is_empty();
        let empty = empty || !has_witness || holding.borrows();
        // The ledger takes back what a process that stops has; while it cannot, the witness
        // keeps it, and tells the ledger when this process has gone.
        let leaves = self.leaving != Leaving::Stays && self.maker.sealing.is_some();
        let is_left = leaves && has_witness && stays && !self.maker.is_sure(now);
        // What is to be given back is unparked only when it can go at once: should this
        // process die on the way, nobody else can spend it.
        let ready = holding.op.is_none() && is_due(now, holding.drawn_at, report);
        let surplus = if ready { holding.surplus(now) } else { Tokens::ZERO };
        let keep = wanted.saturating_add(working);
        let half = working.part(1, 2);
        let target = if is_left {
            let serves = if self.leaving.closes() { Tokens::ZERO } else { working };
            holding.unspent().saturating_sub(wanted).saturating_sub(serves)
        } else if empty || leaves {
            Tokens::ZERO
        } else if !surplus.is_zero() {
            // What is to be given back is made free, and stays so.
            total.saturating_sub(surplus.saturating_sub(holding.returnable()))
        } else if holding.ready() < holding.free.min(wanted.saturating_add(half)) {
            total.saturating_sub(keep.saturating_sub(holding.ready()))
        } else if holding.room() > keep.saturating_add(half) {
            total.saturating_add(holding.room().saturating_sub(keep))
        } else {
            total
        };
        // An upstream that serves beyond its limit spends what the witness knows as untouched;
        // should this process be removed, as much would be handed out a second time.
        let target = target.min(holding.unspent());
        if target == total {
            if total.is_zero() && !stays && has_witness {
                let me = self.view.witness_of(self.me);
                holding.parked.bank = me.map(|m| m.incarnation);
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
            let Some(bank) = holding.parked.bank else {
                continue;
            };
            if !is_due(now, *at, PARK_RESEND) {
                continue;
            }
            *at = Some(now);
            let (budget, period, seq) = (id.clone(), holding.terms.period, holding.parked.seq);
            batches.entry(bank).or_default().push(ParkItem { budget, period, seq, total });
        }
        for (bank, items) in batches {
            out.send(bank, Message::Park(items));
        }
    }

    /// Answers holders that asked while everything was parked, once it is free.
    pub(super) fn pay_owed(&mut self, now: Time, budget: &BudgetId, out: &mut Outbox) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        if !holding.parked_amount().is_zero() {
            return;
        }
        for (to, ask) in std::mem::take(&mut holding.owed) {
            self.handle_token_request(now, to, &ask, out);
        }
    }

    /// Passes what is left over of a low budget on to the holder that collects it.
    pub(super) fn pass_on(&mut self, now: Time, budget: &BudgetId, out: &mut Outbox) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        let borrows = holding.borrows();
        let span = self.pacing.policy.prefetch_span;
        let keep = if borrows && !self.leaving.closes() {
            holding.at_hand(now, span)
        } else {
            Tokens::ZERO
        };
        let spare = holding.free.saturating_sub(keep.part(AT_HAND_MOST, 1));
        let lender = next_lender(holding, &self.view, &self.mute, now, &[]);
        let Some(to) = lender.filter(|to| *to != self.me) else {
            return;
        };
        let waits = holding.search.is_some() || !holding.waiters.is_empty();
        let may = !waits && (borrows || !self.leaving.closes());
        // Two that take each other for the collector must not pass tokens to and fro.
        let pace = if borrows { RETURN } else { PASS };
        if !may || spare.is_zero() || !is_due(now, holding.passed, pace) {
            return;
        }
        // What cannot leave this VM is of more use here, where the account's requests come.
        if borrows && self.transfers.is_late(now, to, budget) {
            return;
        }
        holding.passed = Some(now);
        let amount = holding.take(spare);
        let gift = (amount, holding.has_more(now));
        self.transfers.give(now, to, budget, holding.terms.period, gift, out);
    }

    /// Takes parked amounts back whose bank was removed while this process stayed.
    pub(super) fn reclaim_parked(&mut self) {
        for (id, holding) in &mut self.table {
            let Some(bank) = holding.parked.bank else {
                continue;
            };
            if self.view.has(bank) {
                continue;
            }
            holding.parked.total = Tokens::ZERO;
            holding.parked.sent = None;
            holding.parked.bank = None;
            self.touched.insert(id.clone());
        }
    }

    /// Writes off parked amounts: this process was removed first, so they are the bank's.
    pub(super) fn lose_parked(&mut self) {
        for holding in self.table.values_mut() {
            holding.drop_parked();
            holding.parked.bank = None;
        }
    }
}
