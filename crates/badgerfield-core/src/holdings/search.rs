//! The search for tokens: first at the witness, then at a lender or the collector, then at the
//! ledger, and last at the peers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::holding::{Holding, Search};
use super::lending::BorrowerAnswer;
use super::waiting::{Requester, Waiter};
use super::{Holdings, RETRY_AFTER, ReserveDecision};
use crate::amount::{Time, Tokens};
use crate::event::{Command, LogEntry, Outbox};
use crate::ids::{BudgetId, Incarnation};
use crate::ledger::HoldingPlan;
use crate::message::{Message, TokenRequest};
use crate::refusal::{Cause, Refusal};
use crate::view::View;

/// How long the ledger may take before peers are asked.
const LEDGER_TIMEOUT: Duration = Duration::from_millis(400);
/// How long the witness may take before the search moves on.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(150);
/// How long the collector of a low budget may take before the ledger is asked.
const COLLECTOR_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a lender may take before the next one is asked. A lender may have to ask the ledger
/// first.
const LENDER_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a lender that did not answer is skipped.
const SILENT_LENDER_SKIP: Duration = Duration::from_secs(2);
/// How long peers may take.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);
/// How many members are asked besides the holders named by the ledger.
const MAX_EXTRA_PEERS: usize = 8;
/// Retry delay while the store is unavailable or a budget has nothing left. Outages of the users'
/// platform last 4 to 9 s, and the limit of a spent budget is raised now and then. A caller that
/// retried after one second would only be refused again.
const LONG_RETRY_AFTER: Duration = Duration::from_secs(5);

/// The shortest retry delay for requests that are refused while sealed tokens are expected to
/// become free.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

impl Holdings {
    pub(super) fn serve_waiters(&mut self, now: Time, budget: &BudgetId) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        if !holding.waiters.is_empty() && self.local.sealing.is_some() {
            holding.unseal_due(now);
        }
        let mut waiting = std::mem::take(&mut holding.waiters);
        let mut served_waiters = Vec::new();
        waiting.retain(|waiter| {
            let served = match waiter.requester {
                Requester::Run(_) => holding.reserve(now, waiter.need),
                Requester::Borrower(_) => holding.lend(now, waiter.need),
            };
            if served {
                served_waiters.push(*waiter);
            }
            !served
        });
        holding.waiters = waiting;
        if holding.waiters.is_empty() {
            holding.search = None;
        }
        self.answer_waiters(budget, served_waiters, None);
    }

    /// Records the decisions for waiting requests and borrowers.
    pub(super) fn answer_waiters(
        &mut self,
        budget: &BudgetId,
        waiters: Vec<Waiter>,
        refusal: Option<Refusal>,
    ) {
        let Some(period) = self.period(budget) else {
            return;
        };
        for waiter in waiters {
            match waiter.requester {
                Requester::Run(run) => {
                    self.decisions.push(ReserveDecision { run, period, refusal });
                }
                Requester::Borrower(to) => {
                    let (budget, amount) = (budget.clone(), waiter.need);
                    self.borrower_answers.push(BorrowerAnswer {
                        to,
                        budget,
                        period,
                        amount,
                        refusal,
                    });
                }
            }
        }
    }

    /// Refuses waiting requests that need at least `need`, except those that may keep waiting.
    /// Further requests of that size are refused at once for a short time.
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
        holding.last_refusal = least.map(|least| (refusal, now, least)).or(holding.last_refusal);
        // If requests of every size were refused, those that remain wait for tokens returned here,
        // so the search is over.
        if holding.waiters.is_empty() || need.is_zero() {
            holding.search = None;
        }
        self.answer_waiters(budget, refused, Some(refusal));
        self.changed.insert(budget.clone());
        self.serve_waiters(now, budget);
    }

    /// Starts a search for tokens, or updates a running one for a new request.
    pub(super) fn start_search(&mut self, now: Time, budget: &BudgetId, out: &mut Outbox) {
        let joined = self.joined;
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        if !joined {
            // The search starts with the first view.
            self.busy.insert(budget.clone());
            return;
        }
        let has_parked = !holding.parked_amount().is_zero();
        if holding.search.is_none() && has_parked && holding.covers_total_need() {
            holding.search = Some(Search::Witness { since: now });
        } else {
            self.search_elsewhere(now, budget, out);
        }
        self.changed.insert(budget.clone());
        self.busy.insert(budget.clone());
        self.plan_park(now, budget);
        self.send_parks(now, out);
    }

    /// Asks a lender or the collector of a low budget, or else the ledger, unless another kind of
    /// search is running.
    pub(super) fn search_elsewhere(&mut self, now: Time, budget: &BudgetId, out: &mut Outbox) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        let lender = match &holding.search {
            None => next_lender(holding, &self.view, &self.silent_lenders, now, &[]),
            Some(Search::Lender { tried, .. }) => tried.last().copied(),
            Some(_) => return,
        };
        let lender = lender.filter(|id| *id != self.me);
        match (&holding.search, lender) {
            (None | Some(Search::Lender { .. }), Some(to)) => {
                holding.search.get_or_insert(Search::Lender { since: now, tried: vec![to] });
                let (budget, period) = (budget.clone(), holding.terms.period);
                let need = holding.waiters.back().map_or(Tokens::ZERO, |w| w.need);
                let expected = holding.available().saturating_add(holding.pending_loans.total(now));
                if holding.is_borrower() && holding.total_need() <= expected {
                    return;
                }
                let prefetch = holding.start_prefetch(now, self.pacing.policy.prefetch_span);
                holding.pending_loans.record_request(now, to, need, prefetch);
                out.send(
                    to,
                    Message::TokenRequest(TokenRequest { budget, period, need, extra: prefetch }),
                );
            }
            (None, None) if !holding.can_draw() => self.refuse_without_lender(now, budget),
            (None, None) => {
                holding.search = Some(Search::Ledger { since: now });
                if holding.op.is_none() {
                    holding.make_op(now, budget, &self.local, Tokens::ZERO, false);
                }
                // While the store is unavailable, peers are asked at once. The ledger operation is
                // sent as well, in case the store is back.
                if holding.store_down && self.local.sealing.is_some() {
                    self.query_peers(now, budget, out);
                }
            }
            (Some(_), _) => {}
        }
    }

    /// Unparks more tokens for waiting requests, or searches elsewhere if the parked ones do not
    /// suffice.
    pub(super) fn after_witness(&mut self, now: Time, budget: &BudgetId, out: &mut Outbox) {
        self.plan_park(now, budget);
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        if holding.covers_total_need() && holding.parked.sent.is_some() {
            return;
        }
        holding.search = None;
        self.search_elsewhere(now, budget, out);
    }

    /// Asks the next lender, or the ledger, after the previous lender had nothing or did not
    /// answer.
    pub(super) fn try_next_lender(&mut self, now: Time, budget: &BudgetId, out: &mut Outbox) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        let Some(Search::Lender { tried, .. }) = &holding.search else {
            return;
        };
        let mut tried = tried.clone();
        let next = next_lender(holding, &self.view, &self.silent_lenders, now, &tried);
        if let Some(to) = next.filter(|_| holding.is_borrower()) {
            tried.push(to);
            holding.search = Some(Search::Lender { since: now, tried });
            // A lender with pending requests is asked only for needs that are not covered yet.
            let least = if holding.pending_loans.has_pending(to) { 0 } else { usize::MAX };
            holding.request_uncovered(now, budget, to, least, out);
            return;
        }
        if !holding.can_draw() {
            self.refuse_without_lender(now, budget);
            return;
        }
        holding.search = Some(Search::Ledger { since: now });
        if holding.op.is_none() {
            holding.make_op(now, budget, &self.local, Tokens::ZERO, false);
        }
        self.changed.insert(budget.clone());
    }

    /// Refuses waiting requests: no lender or backup lender answers, and a process that is neither
    /// does not draw from the ledger.
    fn refuse_without_lender(&mut self, now: Time, budget: &BudgetId) {
        let refusal = Refusal::not_run(Cause::BudgetHeld).with_retry_after(RETRY_AFTER);
        self.refuse_waiters(now, budget, Tokens::ZERO, refusal);
    }

    /// Starts a search for requests that arrived before this process had joined.
    pub(super) fn resume_search(&mut self, now: Time, budget: &BudgetId, out: &mut Outbox) {
        let holding = self.table.get(budget);
        if holding.is_some_and(|h| h.search.is_none() && !h.waiters.is_empty()) {
            self.start_search(now, budget, out);
        }
    }

    /// Asks another lender at once when the one asked last has left the view. A new process on the
    /// same VM may have replaced it.
    pub(super) fn replace_removed_lender(
        &mut self,
        now: Time,
        budget: &BudgetId,
        out: &mut Outbox,
    ) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        let Some(Search::Lender { tried, .. }) = &holding.search else {
            return;
        };
        let is_gone = tried.last().is_some_and(|id| !self.view.has_member(*id));
        if is_gone && !holding.waiters.is_empty() {
            holding.search = None;
            self.search_elsewhere(now, budget, out);
        }
    }

    /// Takes the next step of a search after an answer.
    pub(super) fn advance_search(&mut self, now: Time, budget: &BudgetId, out: &mut Outbox) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        match &holding.search {
            Some(Search::Ledger { .. }) => {
                // The pending operation may have been made before the need arose.
                let remaining = holding.remaining.unwrap_or_default();
                if holding.op.is_some() {
                    return;
                }
                if !remaining.is_zero() || !holding.sealed.is_zero() {
                    holding.make_op(now, budget, &self.local, Tokens::ZERO, false);
                    return;
                }
                self.query_peers(now, budget, out);
            }
            Some(Search::Peers { unanswered, .. }) if unanswered.is_empty() => {
                self.conclude_search(now, budget);
            }
            Some(Search::Witness { .. }) if holding.parked.sent.is_none() => {
                self.after_witness(now, budget, out);
            }
            Some(Search::Witness { .. } | Search::Peers { .. } | Search::Lender { .. }) | None => {}
        }
    }

    /// Asks peers because the store is unavailable.
    pub(super) fn skip_ledger(&mut self, now: Time, budget: &BudgetId, out: &mut Outbox) {
        let search = self.table.get(budget).and_then(|h| h.search.as_ref());
        if matches!(search, Some(Search::Ledger { .. })) {
            self.query_peers(now, budget, out);
        }
    }

    pub(super) fn query_peers(&mut self, now: Time, budget: &BudgetId, out: &mut Outbox) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        let mut unanswered: BTreeSet<_> = holding.other_holders.iter().copied().collect();
        let ranked = self.view.ranked(budget.as_str().as_bytes(), None);
        unanswered.extend(ranked.iter().take(MAX_EXTRA_PEERS).map(|m| m.incarnation));
        unanswered.retain(|id| *id != self.me && self.view.has_member(*id));
        let shortage = holding.total_need().saturating_sub(holding.available());
        // A peer that cannot cover the total need may still serve one of the waiting requests.
        // Where a few processes hold the budget for all, each holds enough for many requests, and
        // the total is requested at once.
        let least = holding.waiters.iter().map(|w| w.need).min().unwrap_or_default();
        let least = least.saturating_sub(holding.available());
        let need = if self.lenders.is_empty() { least } else { shortage };
        let extra = shortage.saturating_sub(need);
        for to in &unanswered {
            let (budget, period) = (budget.clone(), holding.terms.period);
            out.send(*to, Message::TokenRequest(TokenRequest { budget, period, need, extra }));
        }
        let has_no_peers = unanswered.is_empty();
        holding.search =
            Some(Search::Peers { since: now, unanswered, max_available: Tokens::ZERO });
        if has_no_peers {
            self.conclude_search(now, budget);
        }
    }

    /// Records that a peer has answered, and how many tokens it may have available later.
    pub(super) fn record_peer_answer(
        &mut self,
        from: Incarnation,
        budget: &BudgetId,
        may_have: Tokens,
    ) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        if let Some(Search::Peers { unanswered, max_available, .. }) = &mut holding.search {
            unanswered.remove(&from);
            *max_available = may_have.max(*max_available);
        }
    }

    pub(super) fn drop_removed_peers(&mut self, budget: &BudgetId) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        if let Some(Search::Peers { unanswered, .. }) = &mut holding.search {
            unanswered.retain(|id| self.view.has_member(*id));
        }
    }

    /// Ends a search without success by refusing the waiting requests.
    pub(super) fn conclude_search(&mut self, now: Time, budget: &BudgetId) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        let Some(Search::Peers { since, unanswered, max_available }) = &holding.search else {
            return;
        };
        // The witness may still answer. After `PEER_TIMEOUT` it counts as lost.
        if holding.parked.sent.is_some() && now.since(*since) < PEER_TIMEOUT {
            return;
        }
        // The ledger was asked and may still answer.
        if holding.op.is_some() && !holding.store_down {
            holding.search = Some(Search::Ledger { since: now });
            return;
        }
        let (all_answered, max_available) = (unanswered.is_empty(), *max_available);
        // The successor of a removed holder may return the tokens that the holder had sealed.
        let has_removed_holder = holding.other_holders.iter().any(|id| !self.view.has_member(*id));
        if all_answered && !has_removed_holder && holding.op.is_none() {
            // Returned tokens may serve small requests even if they cannot serve large ones.
            let max_available = holding.max_available(now).max(max_available);
            let least = max_available.saturating_add(Tokens(1));
            let needs = holding.waiters.iter().map(|w| w.need).filter(|need| *need >= least);
            holding.exhausted = needs.min().map(|need| (now, need)).or(holding.exhausted);
            let refusal = Refusal::not_run(Cause::BudgetSpent);
            self.refuse_waiters(now, budget, least, refusal);
        }
        self.refuse_remaining(now, budget);
    }

    /// Refuses the requests that still wait, with a retry delay.
    fn refuse_remaining(&mut self, now: Time, budget: &BudgetId) {
        let Some(holding) = self.table.get(budget).filter(|h| !h.waiters.is_empty()) else {
            return;
        };
        let is_spent = holding.remaining.is_some_and(Tokens::is_zero);
        let after = if holding.store_down || is_spent { LONG_RETRY_AFTER } else { RETRY_AFTER };
        // A refused request would be served after all that still wait, so its retry delay covers
        // the total need.
        let delay = holding.time_until_available(now, holding.total_need());
        let after = delay.map_or(after, |delay| delay.clamp(MIN_RETRY_AFTER, after));
        let refusal = Refusal::not_run(Cause::BudgetHeld).with_retry_after(after);
        self.refuse_waiters(now, budget, Tokens::ZERO, refusal);
    }

    pub(super) fn handle_timeouts(&mut self, now: Time, budget: &BudgetId, out: &mut Outbox) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        let mut expired = Vec::new();
        holding.waiters.retain(|waiter| {
            if waiter.deadline <= now {
                expired.push(*waiter);
            }
            waiter.deadline > now
        });
        if holding.waiters.is_empty() {
            holding.search = None;
        }
        let refusal = Refusal::not_run(Cause::BudgetHeld).with_retry_after(RETRY_AFTER);
        self.answer_waiters(budget, expired, Some(refusal));
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        let lender_wait = holding.pending_loans.answer_timeout(LENDER_TIMEOUT);
        let wait = if holding.is_borrower() { lender_wait } else { COLLECTOR_TIMEOUT };
        match &holding.search {
            Some(Search::Witness { since }) if now.since(*since) >= WITNESS_TIMEOUT => {
                self.clear_search(budget);
                self.search_elsewhere(now, budget, out);
            }
            Some(Search::Lender { since, tried }) if now.since(*since) >= wait => {
                if let Some(lender) = tried.last().copied() {
                    holding.pending_loans.mark_silent(lender);
                    self.silent_lenders.insert(lender, now);
                    let budget = budget.clone();
                    out.push(Command::Log(LogEntry::LenderSilent { budget, lender }));
                }
                self.try_next_lender(now, budget, out);
            }
            Some(Search::Ledger { since }) if now.since(*since) >= LEDGER_TIMEOUT => {
                self.query_peers(now, budget, out);
            }
            Some(Search::Peers { since, .. }) if now.since(*since) >= PEER_TIMEOUT => {
                self.conclude_search(now, budget);
            }
            Some(_) | None => {}
        }
    }

    fn clear_search(&mut self, budget: &BudgetId) {
        if let Some(holding) = self.table.get_mut(budget) {
            holding.search = None;
        }
    }
}

/// Returns the next process to ask: a lender that answers, or the collector of a low budget.
pub(super) fn next_lender(
    holding: &Holding,
    view: &View,
    silent_lenders: &BTreeMap<Incarnation, Time>,
    now: Time,
    tried: &[Incarnation],
) -> Option<Incarnation> {
    let is_silent = |id: &Incarnation| {
        silent_lenders.get(id).is_some_and(|at| now.since(*at) < SILENT_LENDER_SKIP)
    };
    let is_usable =
        |id: &Incarnation| view.has_member(*id) && !tried.contains(id) && !is_silent(id);
    if holding.is_borrower() {
        return holding.lenders.iter().copied().find(is_usable);
    }
    match holding.plan {
        HoldingPlan::Defer(id) if view.has_member(id) => Some(id),
        HoldingPlan::Defer(_) | HoldingPlan::Share(_) | HoldingPlan::Collect(_) => None,
    }
}
