//! The search for tokens: the bank first, then the collector or the ledger, then others.

use std::collections::BTreeSet;
use std::time::Duration;

use super::holding::Hunt;
use super::{Decision, Holdings};
use crate::amount::{Time, Tokens};
use crate::event::Outbox;
use crate::ids::{BudgetId, Incarnation};
use crate::ledger::Plan;
use crate::message::{Ask, Message};
use crate::refusal::{Cause, Refusal};

/// How long the ledger may take before other holders are asked.
const LEDGER_WAIT: Duration = Duration::from_millis(400);
/// How long the bank may take before others are asked.
const BANK_WAIT: Duration = Duration::from_millis(150);
/// How long the collector of a low budget may take before the ledger is asked.
const COLLECTOR_WAIT: Duration = Duration::from_millis(200);
/// How long other holders may take.
const PEER_WAIT: Duration = Duration::from_millis(400);
/// How many members are asked besides the holders that the ledger named.
const MAX_ASKED: usize = 8;
/// When to come back if the rest of a budget is reserved.
const COME_BACK: Duration = Duration::from_secs(1);
/// The same while the platform is away.
const COME_BACK_DOWN: Duration = Duration::from_secs(3);

impl Holdings {
    pub(super) fn serve_waiters(&mut self, now: Time, budget: &BudgetId) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        if !holding.waiters.is_empty() && self.maker.sealing.is_some() {
            holding.unseal_late(now);
        }
        let period = holding.terms.period;
        let mut waiting = std::mem::take(&mut holding.waiters);
        let mut done = Vec::new();
        waiting.retain(|waiter| {
            if !holding.set_aside(now, waiter.need) {
                return true;
            }
            done.push(Decision { run: waiter.run, period, refusal: None });
            false
        });
        holding.waiters = waiting;
        if holding.waiters.is_empty() {
            holding.hunt = None;
        }
        self.decisions.append(&mut done);
    }

    /// Starts the search for tokens, or lets a running one see the new need.
    pub(super) fn pursue(&mut self, now: Time, budget: &BudgetId, out: &mut Outbox) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        let parks = self.maker.sealing.is_none();
        if holding.hunt.is_none() && parks && holding.covers_wanted() {
            holding.hunt = Some(Hunt::Bank { since: now });
        } else {
            self.look_elsewhere(now, budget, out);
        }
        self.touched.insert(budget.clone());
        self.busy.insert(budget.clone());
        self.plan_park(now, budget);
        self.send_parks(now, out);
    }

    /// Asks the collector of a low budget, else the ledger, unless a search is under way.
    pub(super) fn look_elsewhere(&mut self, now: Time, budget: &BudgetId, out: &mut Outbox) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        let collector = match holding.plan {
            Plan::Defer(id) if self.view.has(id) && id != self.me => Some(id),
            Plan::Defer(_) | Plan::Share(_) | Plan::Collect(_) => None,
        };
        match (&holding.hunt, collector) {
            (None | Some(Hunt::Collector { .. }), Some(to)) => {
                holding.hunt.get_or_insert(Hunt::Collector { since: now });
                let (budget, period) = (budget.clone(), holding.terms.period);
                let need = holding.waiters.back().map_or(Tokens::ZERO, |w| w.need);
                out.send(to, Message::Ask(Ask { budget, period, need }));
            }
            (None, None) => {
                holding.hunt = Some(Hunt::Ledger { since: now });
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
        holding.hunt = None;
        self.look_elsewhere(now, budget, out);
    }

    /// Turns to the ledger because the collector has nothing or does not answer.
    pub(super) fn skip_collector(&mut self, now: Time, budget: &BudgetId) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        if !matches!(holding.hunt, Some(Hunt::Collector { .. })) {
            return;
        }
        holding.hunt = Some(Hunt::Ledger { since: now });
        if holding.op.is_none() {
            holding.make_op(now, budget, &self.maker, Tokens::ZERO, false);
        }
        self.touched.insert(budget.clone());
    }

    /// Moves a search on after an answer.
    pub(super) fn next_hunt(&mut self, now: Time, budget: &BudgetId, out: &mut Outbox) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        match &holding.hunt {
            Some(Hunt::Ledger { .. }) => {
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
            Some(Hunt::Peers { open, .. }) if open.is_empty() => self.give_up(now, budget),
            Some(Hunt::Bank { .. }) if holding.parked.sent.is_none() => {
                self.after_bank(now, budget, out);
            }
            Some(Hunt::Bank { .. } | Hunt::Peers { .. } | Hunt::Collector { .. }) | None => {}
        }
    }

    /// Turns to other holders because the platform does not answer.
    pub(super) fn skip_ledger(&mut self, now: Time, budget: &BudgetId, out: &mut Outbox) {
        let hunt = self.table.get(budget).and_then(|h| h.hunt.as_ref());
        if matches!(hunt, Some(Hunt::Ledger { .. })) {
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
        let need = holding.wanted().saturating_minus(holding.free);
        for to in &open {
            let (budget, period) = (budget.clone(), holding.terms.period);
            out.send(*to, Message::Ask(Ask { budget, period, need }));
        }
        let alone = open.is_empty();
        holding.hunt = Some(Hunt::Peers { since: now, open, reserved: false });
        if alone {
            self.give_up(now, budget);
        }
    }

    pub(super) fn answered(&mut self, from: Incarnation, budget: &BudgetId, has_more: bool) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        if let Some(Hunt::Peers { open, reserved, .. }) = &mut holding.hunt {
            open.remove(&from);
            *reserved |= has_more;
        }
    }

    pub(super) fn drop_gone(&mut self, budget: &BudgetId) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        if let Some(Hunt::Peers { open, .. }) = &mut holding.hunt {
            open.retain(|id| self.view.has(*id));
        }
    }

    /// Refuses what could not be found: nobody has it.
    pub(super) fn give_up(&mut self, now: Time, budget: &BudgetId) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        if holding.parked.sent.is_some() {
            return;
        }
        let Some(Hunt::Peers { open, reserved, .. }) = &holding.hunt else {
            return;
        };
        // The ledger was asked and may answer yet.
        if holding.op.is_some() && !holding.down {
            holding.hunt = Some(Hunt::Ledger { since: now });
            return;
        }
        let sure =
            open.is_empty() && !reserved && holding.reserved.is_zero() && holding.op.is_none();
        let refusal = if sure {
            Refusal::not_run(Cause::BudgetSpent)
        } else {
            let after = if holding.down { COME_BACK_DOWN } else { COME_BACK };
            Refusal::not_run(Cause::BudgetHeld).after(after)
        };
        let least = holding.waiters.iter().map(|w| w.need).min();
        holding.refused = least.map(|least| (refusal, now, least));
        holding.hunt = None;
        let period = holding.terms.period;
        for waiter in std::mem::take(&mut holding.waiters) {
            let refusal = Some(refusal);
            self.decisions.push(Decision { run: waiter.run, period, refusal });
        }
        self.touched.insert(budget.clone());
        self.serve_waiters(now, budget);
    }

    pub(super) fn time_out(&mut self, now: Time, budget: &BudgetId, out: &mut Outbox) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        let mut late = Vec::new();
        let period = holding.terms.period;
        holding.waiters.retain(|waiter| {
            if waiter.until > now {
                return true;
            }
            let refusal = Some(Refusal::not_run(Cause::BudgetHeld).after(COME_BACK));
            late.push(Decision { run: waiter.run, period, refusal });
            false
        });
        if holding.waiters.is_empty() {
            holding.hunt = None;
        }
        self.decisions.append(&mut late);
        match &holding.hunt {
            Some(Hunt::Bank { since }) if now.since(*since) >= BANK_WAIT => {
                holding.hunt = None;
                self.look_elsewhere(now, budget, out);
            }
            Some(Hunt::Collector { since }) if now.since(*since) >= COLLECTOR_WAIT => {
                self.skip_collector(now, budget);
            }
            Some(Hunt::Ledger { since }) if now.since(*since) >= LEDGER_WAIT => {
                self.ask_peers(now, budget, out);
            }
            Some(Hunt::Peers { since, .. }) if now.since(*since) >= PEER_WAIT => {
                self.give_up(now, budget);
            }
            Some(_) | None => {}
        }
    }
}
