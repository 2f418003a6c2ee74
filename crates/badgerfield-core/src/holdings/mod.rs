//! Holdings: the spending rights of this process, and how it gets and gives them.
//!
//! A request sets aside the most it can cost before it may run. When too little is
//! free, the process asks its bank for what it parked, then the ledger, then other
//! holders, and refuses only when all of them have nothing.

mod bank;
mod giving;
mod holding;
mod lending;
mod parking;
mod search;
mod transfer;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use self::bank::Bank;
use self::holding::{Holding, Life, Maker, Sealing, Search, Waiter, Wanter};
use self::transfer::Transfers;
use crate::amount::{Percent, Time, Tokens};
use crate::event::{Note, Order, Outbox, due};
use crate::ids::{BudgetId, Incarnation, Period, Region, RunId, Version, VmId};
use crate::ledger::{LedgerOp, LedgerReply, Plan, Terms};
use crate::lending::Lenders;
use crate::message::{Ask, Lack, Message, ParkItem, Transfer};
use crate::node::Pacing;
use crate::refusal::{Cause, Refusal};
use crate::seal::{FleetClock, sealed_part};
use crate::view::View;

/// How long an unconfirmed change waits before it is sent again.
const RESEND: Duration = Duration::from_secs(1);
/// The same while a request waits for it.
const URGENT_RESEND: Duration = Duration::from_millis(500);
/// How many members are asked to write a change before the platform counts as away.
const WRITERS: u32 = 3;
/// When to come back if the rest of a budget is reserved.
const COME_BACK: Duration = Duration::from_secs(1);
/// How many times its need a holder may get at once, to ask less often.
const LUMP: u64 = 8;

/// What came of a wish to set tokens aside.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reserved {
    /// They are set aside.
    Done,
    /// The answer comes later.
    Waiting,
    /// There are none.
    Refused(Refusal),
}

/// The answer to a request that waited for tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// The request.
    pub run: RunId,
    /// The period of the budget.
    pub period: Period,
    /// Nothing if the tokens are set aside.
    pub refusal: Option<Refusal>,
}

/// The figures of one budget at this process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Figures {
    /// Ready to spend.
    pub free: Tokens,
    /// Set aside for running requests.
    pub reserved: Tokens,
    /// Parked with another process.
    pub parked: Tokens,
    /// Promised not to be touched for a while.
    pub sealed: Tokens,
    /// Promised before, and on the way back to the ledger.
    pub returning: Tokens,
    /// On the way to other holders.
    pub moving: Tokens,
    /// Parked here by other processes.
    pub banked: Tokens,
    /// Billed in this period.
    pub billed: Tokens,
    /// Used up without being billed in this period.
    pub wasted: Tokens,
}

/// The spending rights of this process.
#[derive(Debug)]
pub struct Holdings {
    me: Incarnation,
    maker: Maker,
    region: Region,
    pacing: Pacing,
    /// The version of the templates whose budgets were all opened.
    pub(crate) opened: Option<Version>,
    table: BTreeMap<BudgetId, Holding>,
    transfers: Transfers,
    bank: Bank,
    view: Arc<View>,
    lenders: Lenders,
    /// Lenders that did not answer, and when they were asked.
    mute: BTreeMap<Incarnation, Time>,
    /// What became of borrowers' asks, to be sent.
    answers: Vec<lending::BorrowerAnswer>,
    /// Whether this process has been in a view. Before that it does not know who lends and who
    /// writes the ledger, and would write for itself beside all others that start.
    joined: bool,
    removed: bool,
    closing: bool,
    decisions: Vec<Decision>,
    /// Holdings that changed and are to be looked at.
    touched: BTreeSet<BudgetId>,
    /// Holdings that wait for an answer.
    busy: BTreeSet<BudgetId>,
    checked: Option<Time>,
    excess: Tokens,
}

impl Holdings {
    /// Makes an empty set of rights.
    #[must_use]
    pub fn new(me: Incarnation, vm: VmId, region: Region, pacing: Pacing) -> Self {
        let sealing =
            pacing.seals.then(|| Sealing { vm, clock: FleetClock::default(), heard: None });
        Self {
            me,
            maker: Maker { me, sealing },
            region,
            pacing,
            opened: None,
            table: BTreeMap::new(),
            transfers: Transfers::default(),
            bank: Bank::default(),
            view: Arc::default(),
            lenders: Lenders::default(),
            mute: BTreeMap::new(),
            answers: Vec::new(),
            joined: false,
            removed: false,
            closing: false,
            decisions: Vec::new(),
            touched: BTreeSet::new(),
            busy: BTreeSet::new(),
            checked: None,
            excess: Tokens::ZERO,
        }
    }

    /// Takes in the fleet's time.
    pub(crate) fn set_clock(&mut self, clock: FleetClock) {
        if let Some(sealing) = self.maker.sealing.as_mut() {
            sealing.clock = clock;
        }
    }

    /// Returns the budgets that have a holding.
    pub fn budgets(&self) -> impl Iterator<Item = &BudgetId> {
        self.table.keys()
    }

    /// Returns the figures of one budget.
    #[must_use]
    pub fn figures(&self, budget: &BudgetId) -> Figures {
        let moving = self.transfers.under_way(budget);
        let banked = self.bank.total(budget);
        let Some(holding) = self.table.get(budget) else {
            return Figures { moving, banked, ..Figures::default() };
        };
        Figures {
            free: holding.free,
            reserved: holding.reserved,
            parked: holding.parked_amount(),
            sealed: holding.shut(),
            returning: if holding.op.is_some() { holding.returning } else { Tokens::ZERO },
            moving,
            banked,
            billed: holding.billed,
            wasted: holding.wasted,
        }
    }

    /// Returns how many tokens upstreams served beyond what was set aside for them.
    #[must_use]
    pub fn excess(&self) -> Tokens {
        self.excess
    }

    /// Learns the terms of a budget; a new period starts with nothing in hand.
    pub fn learn(&mut self, now: Time, budget: &BudgetId, terms: Terms, spread: Percent) {
        let Some(holding) = self.table.get_mut(budget) else {
            let hold = (spread, self.pacing.ahead);
            let mut holding = Holding::new(now, terms, hold, self.region.clone());
            let part = self.lenders.part(budget, self.me);
            holding.lenders = part.lenders;
            holding.stands_in = part.stands_in;
            self.table.insert(budget.clone(), holding);
            return;
        };
        holding.spread = spread;
        if terms.version <= holding.terms.version {
            return;
        }
        if terms.period > holding.terms.period {
            let waiters = std::mem::take(&mut holding.waiters);
            let hold = (spread, self.pacing.ahead);
            let lenders = std::mem::take(&mut holding.lenders);
            let stands_in = holding.stands_in;
            *holding = Holding::new(now, terms, hold, self.region.clone());
            holding.lenders = lenders;
            holding.stands_in = stands_in;
            // Whoever waits is served from the new period, and the search starts anew.
            holding.search = (!waiters.is_empty()).then_some(Search::Ledger { since: now });
            holding.waiters = waiters;
            self.touched.insert(budget.clone());
            return;
        }
        // What is held of a lowered budget goes back, so that the ledger shares it out anew.
        holding.recall |= terms.limit < holding.terms.limit;
        holding.left = None;
        holding.plan = Plan::Share(Tokens::MAX);
        holding.terms = terms;
    }

    /// Returns the period of a budget in force here.
    #[must_use]
    pub fn period(&self, budget: &BudgetId) -> Option<Period> {
        self.table.get(budget).map(|h| h.terms.period)
    }

    /// Sets tokens aside for a request, now or later.
    pub fn reserve(
        &mut self,
        now: Time,
        budget: &BudgetId,
        waiter: (RunId, Tokens, Time),
        out: &mut Outbox,
    ) -> Reserved {
        let (run, need, until) = waiter;
        let Some(holding) = self.table.get_mut(budget) else {
            return Reserved::Refused(Refusal::not_run(Cause::BudgetSpent));
        };
        holding.largest = holding.largest.max(need);
        if holding.free < need && self.maker.sealing.is_some() {
            holding.unseal_late(now);
        }
        if need > holding.terms.limit {
            return Reserved::Refused(Refusal::not_run(Cause::BudgetSpent));
        }
        if holding.set_aside(now, need) {
            self.touched.insert(budget.clone());
            self.borrow_ahead(now, budget, out);
            return Reserved::Done;
        }
        if let Some(refusal) = holding.refused_lately(now, need) {
            return Reserved::Refused(refusal);
        }
        holding.waiters.push_back(Waiter { wanter: Wanter::Run(run), need, until });
        holding.used_at = now;
        self.pursue(now, budget, out);
        Reserved::Waiting
    }

    /// Drops a request that waits for tokens; tells whether it waited.
    pub fn withdraw(&mut self, budget: &BudgetId, run: RunId) -> bool {
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
        let excess = used.saturating_minus(reserved);
        self.excess = self.excess.saturating_plus(excess);
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        if holding.terms.period != period {
            return;
        }
        holding.reserved = holding.reserved.saturating_minus(reserved);
        let rest = reserved.saturating_minus(used);
        // An upstream that ignores its limit eats into what is free.
        holding.free = holding.free.saturating_plus(rest).saturating_minus(excess);
        holding.giving.come_back(rest);
        holding.meter.count(now, used);
        holding.used_at = now;
        self.touched.insert(budget.clone());
        self.serve_waiters(now, budget);
    }

    /// Counts a charge as billed, or as used up for a key that another process bills.
    pub fn charge(&mut self, budget: &BudgetId, period: Period, cost: Tokens, billed: bool) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        if holding.terms.period != period {
            return;
        }
        let sum = if billed { &mut holding.billed } else { &mut holding.wasted };
        *sum = sum.saturating_plus(cost);
    }

    /// Takes the answers to requests that waited.
    pub fn decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Takes the changes that are due to be sent to the ledger.
    pub fn ops(&mut self, now: Time) -> Vec<(LedgerOp, u32)> {
        let mut ops = Vec::new();
        let clock = self.maker.sealing.as_ref().map(|sealing| sealing.clock);
        for id in &self.busy {
            let Some(holding) = self.table.get_mut(id) else {
                continue;
            };
            let Some((op, sent)) = &holding.op else {
                continue;
            };
            let waits = !op.need.is_zero();
            let resend = if waits { URGENT_RESEND } else { RESEND };
            if !due(now, *sent, resend) {
                continue;
            }
            if let Some(clock) = clock.filter(|_| holding.tries > 0) {
                holding.restamp(now, clock);
            }
            let Some((op, sent)) = &mut holding.op else {
                continue;
            };
            *sent = Some(now);
            ops.push((op.clone(), holding.tries));
            holding.tries += 1;
        }
        ops
    }

    /// Takes in what became of a change.
    pub fn drawn(
        &mut self,
        now: Time,
        budget: &BudgetId,
        period: Period,
        reply: &LedgerReply,
        out: &mut Outbox,
    ) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        if holding.terms.period != period {
            return;
        }
        match reply {
            LedgerReply::Applied { seq, granted, left, others, plan, orphans } => {
                let mine = holding.op.as_ref().is_some_and(|(op, _)| op.seq == *seq);
                if !mine {
                    return;
                }
                if !left.is_zero() {
                    holding.forget_refusals();
                }
                let op = holding.op.take().map(|(op, _)| op);
                let closed = op.as_ref().is_some_and(|op| op.close);
                let need = op.as_ref().map_or(Tokens::ZERO, |op| op.need);
                let told = op.as_ref().map_or(Tokens::ZERO, |op| op.held);
                holding.known = told.saturating_plus(*granted);
                let promised = op.and_then(|op| op.seal).is_some_and(|seal| seal.at.is_some());
                let released = std::mem::take(&mut holding.releasing);
                let shut = if promised { sealed_part(*granted, need) } else { Tokens::ZERO };
                let open = granted.saturating_minus(shut);
                if promised {
                    holding.said = holding.said.max(holding.stamped);
                }
                holding.sealed = holding.sealed.saturating_plus(shut);
                holding.free = holding.free.saturating_plus(open).saturating_plus(released);
                holding.left = Some(*left);
                if let Some(sealing) = self.maker.sealing.as_mut() {
                    sealing.heard = Some(now);
                    holding.orphans.clone_from(orphans);
                }
                out.push(Order::Note(Note::Drawn {
                    budget: budget.clone(),
                    limit: holding.terms.limit,
                    granted: *granted,
                    left: *left,
                    held: holding.unspent(),
                    sealed: holding.sealed,
                    promised,
                    reserved: holding.reserved,
                    took: holding.drawn_at.map_or(Duration::ZERO, |at| now.since(at)),
                    plan: *plan,
                    rate: holding.meter.rate(now),
                }));
                holding.down = false;
                holding.plan = *plan;
                holding.others.clone_from(others);
                if closed {
                    holding.life = Life::Closed;
                }
            }
            // The new period's template is on its way; what was held is void.
            LedgerReply::Ended { .. } => {
                holding.op = None;
                holding.free = Tokens::ZERO;
                holding.left = Some(Tokens::ZERO);
            }
            LedgerReply::Unknown { seq } => {
                let mine = holding.op.as_ref().is_some_and(|(op, _)| op.seq == *seq);
                if mine {
                    holding.op = None;
                    holding.left = Some(Tokens::ZERO);
                }
            }
            LedgerReply::Down => {
                // Another member may reach the platform.
                let again = holding.op.as_mut().filter(|_| holding.tries < WRITERS);
                match again {
                    Some((_, sent)) => *sent = None,
                    None => holding.down = true,
                }
            }
        }
        self.touched.insert(budget.clone());
        self.serve_waiters(now, budget);
        if *reply == LedgerReply::Down {
            self.skip_ledger(now, budget, out);
        }
        self.next_search(now, budget, out);
    }

    /// Answers a holder that asks for tokens.
    pub fn asked(&mut self, now: Time, from: Incarnation, ask: &Ask, out: &mut Outbox) {
        let (budget, period) = (ask.budget.clone(), ask.period);
        let need = ask.need;
        let nothing = |lack| Message::Nothing { budget: ask.budget.clone(), period, need, lack };
        // Whatever a removed process gets is lost when it ends.
        let member = self.view.has(from);
        let known = self.table.get_mut(&budget).filter(|h| member && h.terms.period == period);
        let Some(holding) = known else {
            out.send(from, nothing(Lack::NoHolder));
            return;
        };
        // Two that hold the same budget and both search answer each other at once: each would
        // wait for the other otherwise, and neither could tell that nothing is left.
        let from_holder = self.lenders.holds(&budget, from);
        if !self.lenders.is_empty() && holding.may_draw() && !self.closing && !from_holder {
            self.lend(now, from, ask, out);
            return;
        }
        // Of two that both lack tokens, the one with the lower number collects.
        let collects = matches!(holding.plan, Plan::Collect(_));
        if self.maker.sealing.is_some() {
            holding.unseal_late(now);
        }
        let keep = if collects || self.me < from { holding.wanted() } else { Tokens::ZERO };
        let spare = holding.free.saturating_minus(keep);
        if spare < ask.need && !holding.parked.total.is_zero() {
            holding.owed.retain(|(to, _)| *to != from);
            holding.owed.push((from, ask.need));
            self.touched.insert(budget);
            self.review(now, out);
            return;
        }
        if spare.is_zero() || (collects && spare < ask.need) {
            let lack = if holding.borrows() || self.closing {
                Lack::NoHolder
            } else if holding.within_reach(now) >= need && holding.may_get_back(now) {
                Lack::Reserved(COME_BACK)
            } else {
                Lack::Spent
            };
            out.send(from, nothing(lack));
            return;
        }
        let more =
            if collects { Tokens::ZERO } else { spare.part(1, 4).min(ask.need.part(LUMP, 1)) };
        let amount = holding.take(ask.need.max(more).min(spare));
        self.transfers.give(now, from, &budget, period, amount, out);
    }

    /// Takes in the answer of a holder that has nothing to give.
    pub fn nothing(
        &mut self,
        now: Time,
        from: Incarnation,
        budget: &BudgetId,
        (need, lack): (Tokens, Lack),
        out: &mut Outbox,
    ) {
        self.answered(from, budget, matches!(lack, Lack::Reserved(_)));
        if self.is_refused_by_lender(from, budget, lack) {
            self.refuse_borrowing(now, budget, need, lack);
            return;
        }
        self.skip_lender(now, budget, out);
        self.next_search(now, budget, out);
    }

    /// Takes in tokens of another holder; tells whether to acknowledge them.
    pub fn received(
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
            holding.free = holding.free.saturating_plus(transfer.amount);
            if holding.lent.is_some() && holding.search.is_none() {
                // What a borrower gives back was lent before.
                holding.giving.come_back(transfer.amount);
            }
            holding.forget_refusals();
            holding.used_at = now;
            self.touched.insert(transfer.budget.clone());
            self.mute.remove(&from);
            self.answered(from, &transfer.budget, true);
            self.serve_waiters(now, &transfer.budget);
            self.next_search(now, &transfer.budget, out);
        }
        true
    }

    /// Notes that a transfer arrived.
    pub fn transferred(&mut self, from: Incarnation, seq: u64) {
        self.transfers.acknowledged(from, seq);
    }

    /// Keeps amounts that another holder parks here; returns what to acknowledge.
    pub fn park(&mut self, from: Incarnation, items: &[ParkItem]) -> Vec<ParkItem> {
        let mut kept = Vec::new();
        for item in items {
            if self.bank.set(&self.view, from, item) {
                kept.push(item.clone());
            }
        }
        kept
    }

    /// Takes in the bank's acknowledgement of parked amounts.
    pub fn parked(&mut self, now: Time, from: Incarnation, items: &[ParkItem], out: &mut Outbox) {
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
            let released = parked.total.saturating_minus(item.total);
            parked.total = item.total;
            parked.sent = None;
            holding.free = holding.free.saturating_plus(released);
            self.touched.insert(item.budget.clone());
            self.serve_waiters(now, &item.budget);
            self.pay_owed(now, &item.budget, out);
            self.next_search(now, &item.budget, out);
        }
    }

    /// Puts a newer view in force: settles what removed processes had parked or keep.
    pub fn adopt(&mut self, now: Time, view: &Arc<View>, out: &mut Outbox) {
        if view.epoch <= self.view.epoch {
            return;
        }
        self.removed |= self.view.has(self.me) && !view.has(self.me);
        self.view = Arc::clone(view);
        self.joined |= view.has(self.me);
        self.transfers.adopt(view);
        if self.removed {
            self.lose_parked();
            self.bank.adopt(view, self.me);
            return;
        }
        for inherited in self.bank.adopt(view, self.me) {
            let Some(holding) = self.table.get_mut(&inherited.budget) else {
                continue;
            };
            if holding.terms.period != inherited.period {
                continue;
            }
            holding.free = holding.free.saturating_plus(inherited.amount);
            self.touched.insert(inherited.budget);
        }
        self.reclaim_parked();
        self.rank_lenders(out);
        for id in self.table.keys().cloned().collect::<Vec<_>>() {
            self.touched.insert(id.clone());
            self.serve_waiters(now, &id);
            self.drop_gone(&id);
            self.leave_gone_lender(now, &id, out);
            self.start_waiting_search(now, &id, out);
            self.next_search(now, &id, out);
        }
    }

    /// Does what is due: reports, parks, gives back, and ends searches.
    pub fn tick(&mut self, now: Time, out: &mut Outbox) {
        self.transfers.tick(now, out);
        if due(now, self.checked, Duration::from_secs(1)) {
            self.checked = Some(now);
            self.touched.extend(self.table.keys().cloned());
        }
        for id in self.busy.clone() {
            self.time_out(now, &id, out);
            self.touched.insert(id);
        }
        self.review(now, out);
    }

    /// Looks again at every holding that changed.
    pub fn review(&mut self, now: Time, out: &mut Outbox) {
        for id in std::mem::take(&mut self.touched) {
            self.plan_op(now, &id);
            self.plan_park(now, &id);
            self.pay_owed(now, &id, out);
            self.pass_on(now, &id, out);
            let busy = self.table.get(&id).is_some_and(Holding::is_busy);
            if busy {
                self.busy.insert(id);
            } else {
                self.busy.remove(&id);
            }
        }
        self.send_parks(now, out);
        self.answer_borrowers(now, out);
    }

    /// Starts giving everything back.
    pub fn close(&mut self) {
        self.closing = true;
        self.touched.extend(self.table.keys().cloned());
    }

    /// Tells whether everything is given back and nothing is parked here.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        let is_done = |h: &Holding| h.life == Life::Closed || (h.seq == 0 && h.unspent().is_zero());
        let closed = self.table.values().all(is_done);
        closed && self.transfers.is_done() && self.bank.is_empty()
    }

    /// Hands what is left to another process, for when the platform cannot take it back.
    pub fn hand_on(&mut self, now: Time, out: &mut Outbox) {
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
            if self.maker.sealing.is_some() {
                holding.unseal_late(now);
            }
            if holding.free.is_zero() {
                continue;
            }
            let amount = holding.take(holding.free);
            self.transfers.give(now, to, id, holding.terms.period, amount, out);
        }
    }
}
