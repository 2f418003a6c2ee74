//! The search for tokens: the bank first, then the collector or the ledger, then others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::holding::{Holding, Search};
use super::lending::BorrowerAnswer;
use super::waiting::{Waiter, Wanter};
use super::{COME_BACK, Holdings, ReserveDecision};
use crate::amount::{Time, Tokens};
use crate::event::{Command, LogEntry, Outbox};
use crate::ids::{BudgetId, Incarnation};
use crate::ledger::HoldingPlan;
use crate::message::{Message, TokenRequest};
use crate::refusal::{Cause, Refusal};
use crate::view::View;

/// How long the ledger may take before other holders are asked.
const LEDGER_WAIT: Duration = Duration::from_millis(400);
/// How long the bank may take before others are asked.
const BANK_WAIT: Duration = Duration::from_millis(150);
/// How long the collector of a low budget may take before the ledger is asked.
const COLLECTOR_WAIT: Duration = Duration::from_millis(200);
/// How long a lender may take before another is asked; it may have to ask the ledger.
const LENDER_WAIT: Duration = Duration::from_millis(700);
/// How long a lender is passed over that did not answer.
const MUTE: Duration = Duration::from_secs(2);
/// How long other holders may take.
const PEER_WAIT: Duration = Duration::from_millis(400);
/// How many members are asked besides the holders that the ledger named.
const MAX_ASKED: usize = 8;
/// When to come back while the platform is away, or nothing is left of a budget: outages of
/// the users' platform last 4 to 9 s, and a spent budget is raised now and then. A caller
/// that came back after a second would only be refused again.
const COME_BACK_LATER: Duration = Duration::from_secs(5);

/// The least time after which a caller is told to come back for sealed tokens.
const SOON: Duration = Duration::from_millis(500);

impl Holdings {
    pub(super) fn serve_waiters(&mut self, now: Time, budget: &BudgetId) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        if !holding.waiters.is_empty() && self.maker.sealing.is_some() {
            holding.unseal_due(now);
        }
        let mut waiting = std::mem::take(&mut holding.waiters);
        let mut done = Vec::new();
        waiting.retain(|waiter| {
            let served = match waiter.wanter {
                Wanter::Run(_) => holding.set_aside(now, waiter.need),
                Wanter::Borrower(_) => holding.lend(now, waiter.need),
            };
            if served {
                done.push(*waiter);
            }
            !served
        });
        holding.waiters = waiting;
        if holding.waiters.is_empty() {
            holding.search = None;
        }
        self.decide(budget, done, None);
    }

    /// Tells those who waited what became of their wishes.
    pub(super) fn decide(
        &mut self,
        budget: &BudgetId,
        waiters: Vec<Waiter>,
        refusal: Option<Refusal>,
    ) {
        let Some(period) = self.period(budget) else {
            return;
        };
        for waiter in waiters {
            match waiter.wanter {
                Wanter::Run(run) => self.decisions.push(ReserveDecision { run, period, refusal }),
                Wanter::Borrower(to) => {
                    let (budget, amount) = (budget.clone(), waiter.need);
                    self.answers.push(BorrowerAnswer { to, budget, period, amount, refusal });
                }
            }
        }
    }

    /// Refuses those who wait for so much or more, and whoever asks for as much within a
    /// moment, but for those who may wait on.
    pub(super) fn refuse_waiters(
        &mut self,
        now: Time,
        budget: &BudgetId,
        need: Tokens,
        refusal: Refusal,
    ) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        let refused = holding.take_refused(now, need, &refusal);
        let least = refused.iter().map(|w| w.need).min();
        holding.refused = least.map(|least| (refusal, now, least)).or(holding.refused);
        // Whoever still waits after a refusal of all waits for what comes back here.
        if holding.waiters.is_empty() || need.is_zero() {
            holding.search = None;
        }
        self.decide(budget, refused, Some(refusal));
        self.touched.insert(budget.clone());
        self.serve_waiters(now, budget);
    }

    /// Starts the search for tokens, or lets a running one see the new need.
    pub(super) fn pursue(&mut self, now: Time, budget: &BudgetId, out: &mut Outbox) {
        let joined = self.joined;
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        if !joined {
            // The search starts with the first view.
            self.busy.insert(budget.clone());
            return;
        }
        let parks = !holding.parked_amount().is_zero();
        if holding.search.is_none() && parks && holding.covers_wanted() {
            holding.search = Some(Search::Bank { since: now });
        } else {
            self.look_elsewhere(now, budget, out);
        }
        self.touched.insert(budget.clone());
        self.busy.insert(budget.clone());
        self.plan_park(now, budget);
        self.send_parks(now, out);
    }

    /// Asks a lender or the collector of a low budget, else the ledger, unless a search is
    /// under way.
    pub(super) fn look_elsewhere(&mut self, now: Time, budget: &BudgetId, out: &mut Outbox) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        let lender = match &holding.search {
            None => next_lender(holding, &self.view, &self.mute, now, &[]),
            Some(Search::Lender { asked, .. }) => asked.last().copied(),
            Some(_) => return,
        };
        let lender = lender.filter(|id| *id != self.me);
        match (&holding.search, lender) {
            (None | Some(Search::Lender { .. }), Some(to)) => {
                holding.search.get_or_insert(Search::Lender { since: now, asked: vec![to] });
                let (budget, period) = (budget.clone(), holding.terms.period);
                let need = holding.waiters.back().map_or(Tokens::ZERO, |w| w.need);
                let coming = holding.ready().saturating_add(holding.coming.sum(now));
                if holding.borrows() && holding.wanted() <= coming {
                    return;
                }
                let ahead = holding.ask_ahead(now, self.pacing.policy.prefetch_span);
                holding.coming.ask(now, to, need, ahead);
                out.send(
                    to,
                    Message::TokenRequest(TokenRequest { budget, period, need, extra: ahead }),
                );
            }
            (None, None) if !holding.may_draw() => self.refuse_silent(now, budget),
            (None, None) => {
                holding.search = Some(Search::Ledger { since: now });
                if holding.op.is_none() {
                    holding.make_op(now, budget, &self.maker, Tokens::ZERO, false);
                }
                // While the platform is away others are asked at once; the change is on
                // its way beside that, should the platform be back.
                if holding.down && self.maker.sealing.is_some() {
                    self.ask_peers(now, budget, out);
                }
            }
            (Some(_), _) => {}
        }
    }

    /// Unparks more for whoever waits, or turns elsewhere if that is not enough.
    pub(super) fn after_bank(&mut self, now: Time, budget: &BudgetId, out: &mut Outbox) {
        self.plan_park(now, budget);
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        if holding.covers_wanted() && holding.parked.sent.is_some() {
            return;
        }
        holding.search = None;
        self.look_elsewhere(now, budget, out);
    }

    /// Turns to the next lender, or to the ledger, because the one that was asked has
    /// nothing or does not answer.
    pub(super) fn skip_lender(&mut self, now: Time, budget: &BudgetId, out: &mut Outbox) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        let Some(Search::Lender { asked, .. }) = &holding.search else {
            return;
        };
        let mut asked = asked.clone();
        let next = next_lender(holding, &self.view, &self.mute, now, &asked);
        if let Some(to) = next.filter(|_| holding.borrows()) {
            asked.push(to);
            holding.search = Some(Search::Lender { since: now, asked });
            // One that was asked before has enough to answer.
            let least = if holding.coming.is_asked(to) { 0 } else { usize::MAX };
            holding.ask_uncovered(now, budget, to, least, out);
            return;
        }
        if !holding.may_draw() {
            self.refuse_silent(now, budget);
            return;
        }
        holding.search = Some(Search::Ledger { since: now });
        if holding.op.is_none() {
            holding.make_op(now, budget, &self.maker, Tokens::ZERO, false);
        }
        self.touched.insert(budget.clone());
    }

    /// Refuses those who wait: no lender answers, nor any that stands in for them, and a
    /// process that is neither does not draw from the ledger.
    fn refuse_silent(&mut self, now: Time, budget: &BudgetId) {
        let refusal = Refusal::not_run(Cause::BudgetHeld).with_retry_after(COME_BACK);
        self.refuse_waiters(now, budget, Tokens::ZERO, refusal);
    }

    /// Searches for those who came before this process had joined.
    pub(super) fn start_waiting_search(&mut self, now: Time, budget: &BudgetId, out: &mut Outbox) {
        let holding = self.table.get(budget);
        if holding.is_some_and(|h| h.search.is_none() && !h.waiters.is_empty()) {
            self.pursue(now, budget, out);
        }
    }

    /// Asks another lender at once when the one that was asked has left the view: a process
    /// that has started anew on its VM may have taken its place.
    pub(super) fn leave_gone_lender(&mut self, now: Time, budget: &BudgetId, out: &mut Outbox) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        let Some(Search::Lender { asked, .. }) = &holding.search else {
            return;
        };
        let is_gone = asked.last().is_some_and(|id| !self.view.has(*id));
        if is_gone && !holding.waiters.is_empty() {
            holding.search = None;
            self.look_elsewhere(now, budget, out);
        }
    }

    /// Moves a search on after an answer.
    pub(super) fn next_search(&mut self, now: Time, budget: &BudgetId, out: &mut Outbox) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        match &holding.search {
            Some(Search::Ledger { .. }) => {
                // The change under way may not know of the need yet.
                let left = holding.left.unwrap_or_default();
                if holding.op.is_some() {
                    return;
                }
                if !left.is_zero() || !holding.sealed.is_zero() {
                    holding.make_op(now, budget, &self.maker, Tokens::ZERO, false);
                    return;
                }
                self.ask_peers(now, budget, out);
            }
            Some(Search::Peers { open, .. }) if open.is_empty() => self.give_up(now, budget),
            Some(Search::Bank { .. }) if holding.parked.sent.is_none() => {
                self.after_bank(now, budget, out);
            }
            Some(Search::Bank { .. } | Search::Peers { .. } | Search::Lender { .. }) | None => {}
        }
    }

    /// Turns to other holders because the platform does not answer.
    pub(super) fn skip_ledger(&mut self, now: Time, budget: &BudgetId, out: &mut Outbox) {
        let search = self.table.get(budget).and_then(|h| h.search.as_ref());
        if matches!(search, Some(Search::Ledger { .. })) {
            self.ask_peers(now, budget, out);
        }
    }

    pub(super) fn ask_peers(&mut self, now: Time, budget: &BudgetId, out: &mut Outbox) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        let mut open: BTreeSet<_> = holding.others.iter().copied().collect();
        let ranked = self.view.ranked(budget.as_str().as_bytes(), None);
        open.extend(ranked.iter().take(MAX_ASKED).map(|m| m.incarnation));
        open.retain(|id| *id != self.me && self.view.has(*id));
        let lack = holding.wanted().saturating_sub(holding.ready());
        // A holder that cannot give all that is wanted may still serve one of those who wait. Where a
        // few hold for all, each holds enough for many, and what they lack is asked for at once.
        let least = holding.waiters.iter().map(|w| w.need).min().unwrap_or_default();
        let least = least.saturating_sub(holding.ready());
        let need = if self.lenders.is_empty() { least } else { lack };
        let ahead = lack.saturating_sub(need);
        for to in &open {
            let (budget, period) = (budget.clone(), holding.terms.period);
            out.send(
                *to,
                Message::TokenRequest(TokenRequest { budget, period, need, extra: ahead }),
            );
        }
        let alone = open.is_empty();
        holding.search = Some(Search::Peers { since: now, open, reach: Tokens::ZERO });
        if alone {
            self.give_up(now, budget);
        }
    }

    /// Notes that a holder has answered, and may come to have so much.
    pub(super) fn answered(&mut self, from: Incarnation, budget: &BudgetId, may_have: Tokens) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        if let Some(Search::Peers { open, reach, .. }) = &mut holding.search {
            open.remove(&from);
            *reach = may_have.max(*reach);
        }
    }

    pub(super) fn drop_gone(&mut self, budget: &BudgetId) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        if let Some(Search::Peers { open, .. }) = &mut holding.search {
            open.retain(|id| self.view.has(*id));
        }
    }

    /// Refuses what could not be found: nobody has it.
    pub(super) fn give_up(&mut self, now: Time, budget: &BudgetId) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        let Some(Search::Peers { since, open, reach }) = &holding.search else {
            return;
        };
        // The bank may answer yet; one that is gone never does.
        if holding.parked.sent.is_some() && now.since(*since) < PEER_WAIT {
            return;
        }
        // The ledger was asked and may answer yet.
        if holding.op.is_some() && !holding.down {
            holding.search = Some(Search::Ledger { since: now });
            return;
        }
        let (all_answered, reach) = (open.is_empty(), *reach);
        // A holder that has gone may have a successor that gives back what it had sealed.
        let awaits = holding.others.iter().any(|id| !self.view.has(*id));
        if all_answered && !awaits && holding.op.is_none() {
            // Small requests may be served by what comes back though large ones cannot.
            let reach = holding.within_reach(now).max(reach);
            let least = reach.saturating_add(Tokens(1));
            let needs = holding.waiters.iter().map(|w| w.need).filter(|need| *need >= least);
            holding.spent = needs.min().map(|need| (now, need)).or(holding.spent);
            let refusal = Refusal::not_run(Cause::BudgetSpent);
            self.refuse_waiters(now, budget, least, refusal);
        }
        self.refuse_for_now(now, budget);
    }

    /// Refuses those who still wait, with when to come back.
    fn refuse_for_now(&mut self, now: Time, budget: &BudgetId) {
        let Some(holding) = self.table.get(budget).filter(|h| !h.waiters.is_empty()) else {
            return;
        };
        let is_spent = holding.left.is_some_and(Tokens::is_zero);
        let after = if holding.down || is_spent { COME_BACK_LATER } else { COME_BACK };
        // Whoever is refused waits behind all that are not: it is told when its turn may come.
        let opens = holding.opens_in(now, holding.wanted());
        let after = opens.map_or(after, |opens| opens.clamp(SOON, after));
        let refusal = Refusal::not_run(Cause::BudgetHeld).with_retry_after(after);
        self.refuse_waiters(now, budget, Tokens::ZERO, refusal);
    }

    pub(super) fn time_out(&mut self, now: Time, budget: &BudgetId, out: &mut Outbox) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        let mut late = Vec::new();
        holding.waiters.retain(|waiter| {
            if waiter.until <= now {
                late.push(*waiter);
            }
            waiter.until > now
        });
        if holding.waiters.is_empty() {
            holding.search = None;
        }
        let refusal = Refusal::not_run(Cause::BudgetHeld).with_retry_after(COME_BACK);
        self.decide(budget, late, Some(refusal));
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        let lender_wait = holding.coming.patience(LENDER_WAIT);
        let wait = if holding.borrows() { lender_wait } else { COLLECTOR_WAIT };
        match &holding.search {
            Some(Search::Bank { since }) if now.since(*since) >= BANK_WAIT => {
                self.forget_search(budget);
                self.look_elsewhere(now, budget, out);
            }
            Some(Search::Lender { since, asked }) if now.since(*since) >= wait => {
                if let Some(lender) = asked.last().copied() {
                    holding.coming.give_up(lender);
                    self.mute.insert(lender, now);
                    let budget = budget.clone();
                    out.push(Command::Log(LogEntry::LenderSilent { budget, lender }));
                }
                self.skip_lender(now, budget, out);
            }
            Some(Search::Ledger { since }) if now.since(*since) >= LEDGER_WAIT => {
                self.ask_peers(now, budget, out);
            }
            Some(Search::Peers { since, .. }) if now.since(*since) >= PEER_WAIT => {
                self.give_up(now, budget);
            }
            Some(_) | None => {}
        }
    }

    fn forget_search(&mut self, budget: &BudgetId) {
        if let Some(holding) = self.table.get_mut(budget) {
            holding.search = None;
        }
    }
}

/// Returns whom to ask next: a lender that answers, or the collector of a low budget.
pub(super) fn next_lender(
    holding: &Holding,
    view: &View,
    mute: &BTreeMap<Incarnation, Time>,
    now: Time,
    asked: &[Incarnation],
) -> Option<Incarnation> {
    let is_mute = |id: &Incarnation| mute.get(id).is_some_and(|at| now.since(*at) < MUTE);
    let fits = |id: &Incarnation| view.has(*id) && !asked.contains(id) && !is_mute(id);
    if holding.borrows() {
        return holding.lenders.iter().copied().find(fits);
    }
    match holding.plan {
        HoldingPlan::Defer(id) if view.has(id) => Some(id),
        HoldingPlan::Defer(_) | HoldingPlan::Share(_) | HoldingPlan::Collect(_) => None,
    }
}
