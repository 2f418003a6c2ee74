//! Who waits for tokens, and who is told at once that there are none.

use std::collections::VecDeque;
use std::time::Duration;

use super::holding::Holding;
use crate::amount::{Time, Tokens};
use crate::ids::{Incarnation, ReservationId, RunId};
use crate::refusal::{Cause, Refusal};

/// How long a refusal holds for further requests.
const REFUSAL_LIFETIME: Duration = Duration::from_millis(800);
/// How long a request waits for what running ones give back, after the search. Short answers of the
/// users' sheets end within this; whoever gets nothing by then is told.
const MAX_RETURN_WAIT: Duration = Duration::from_millis(500);

/// For whom tokens are wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Requester {
    /// A request at this process.
    Run(RunId),
    /// A process that borrows here.
    Borrower(Incarnation),
}

/// A request, here or at a borrower, that waits for tokens.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiter {
    pub(crate) requester: Requester,
    pub(crate) need: Tokens,
    pub(crate) deadline: Time,
}

impl Waiter {
    /// Tells whether it waits for what running requests give back. Its caller said for how long;
    /// one on a route is told at once, and may try another VM.
    fn can_wait_for_returns(&self) -> bool {
        matches!(self.requester, Requester::Run(run) if ReservationId::from_run_id(run).is_none())
    }

    /// Returns it as one that waits for what running requests give back.
    pub(super) fn with_return_wait(self, now: Time) -> Self {
        Self { deadline: self.deadline.min(now.after(MAX_RETURN_WAIT)), ..self }
    }
}

/// What becomes of a request for which too little is ready.
pub(super) enum QueueOutcome {
    /// Others were refused a moment ago, and so is it.
    Refused(Refusal),
    /// It waits for what comes free or back here.
    Waiting,
    /// It waits for what a search brings.
    Searching,
}

impl Holding {
    /// Returns what all waiting requests need together.
    pub(crate) fn total_need(&self) -> Tokens {
        self.waiters.iter().map(|w| w.need).sum()
    }

    /// Tells whether what is free, parked or not, is enough for all waiting requests.
    pub(crate) fn covers_total_need(&self) -> bool {
        self.free >= self.total_need()
    }

    /// Takes out those who wait for so much or more and are refused. Those stay for whom sealed
    /// tokens come free in time; of those that may come back for it, patient ones stay as long as
    /// what comes back here as a rule is enough for them.
    pub(super) fn take_refused(
        &mut self,
        now: Time,
        need: Tokens,
        refusal: &Refusal,
    ) -> Vec<Waiter> {
        let mut available = if refusal.cause == Cause::BudgetHeld && self.expects_returns(now) {
            self.max_available(now)
        } else {
            Tokens::ZERO
        };
        let mut refused = Vec::new();
        let mut waiting = VecDeque::new();
        let mut before = Tokens::ZERO;
        for waiter in std::mem::take(&mut self.waiters) {
            let unseals = self.unseals_in_time(now, before, &waiter);
            let stays = waiter.can_wait_for_returns() && waiter.need <= available;
            if waiter.need >= need && !stays && !unseals {
                refused.push(waiter);
                continue;
            }
            before = before.saturating_add(waiter.need);
            available = available.saturating_sub(waiter.need);
            let waits_for_returns = stays && !unseals && waiter.need >= need;
            waiting.push_back(if waits_for_returns {
                waiter.with_return_wait(now)
            } else {
                waiter
            });
        }
        self.waiters = waiting;
        refused
    }

    /// Queues a request for which too little is ready, unless one like it was refused a moment ago
    /// and nothing that comes free or back here is for this one.
    pub(super) fn enqueue(&mut self, now: Time, waiter: Waiter) -> QueueOutcome {
        let Some(refusal) = self.recent_refusal(now, waiter.need) else {
            self.waiters.push_back(waiter);
            self.used_at = now;
            return QueueOutcome::Searching;
        };
        let waits = self.while_refusing(now, waiter).filter(|_| refusal.cause == Cause::BudgetHeld);
        let Some(waits) = waits else {
            return QueueOutcome::Refused(refusal);
        };
        self.waiters.push_back(waits);
        QueueOutcome::Waiting
    }

    /// Returns a request as it waits though others were refused a moment ago: sealed tokens come
    /// free in time for it, or enough comes back here as a rule, beside all who wait already.
    fn while_refusing(&self, now: Time, waiter: Waiter) -> Option<Waiter> {
        if self.unseals_in_time(now, self.total_need(), &waiter) {
            return Some(waiter);
        }
        let total_need = self.total_need().saturating_add(waiter.need);
        let is_covered = self.expects_returns(now) && total_need <= self.max_available(now);
        (waiter.can_wait_for_returns() && is_covered).then(|| waiter.with_return_wait(now))
    }

    /// Returns the refusal of a moment ago, if it holds for this need too.
    ///
    /// A budget that nobody has anything left of is not looked for again with each
    /// request: the refusal comes at once, and costs the platform no call.
    fn recent_refusal(&self, now: Time, need: Tokens) -> Option<Refusal> {
        let is_late = |at: Time| now.since(at) >= REFUSAL_LIFETIME;
        if self.exhausted.is_some_and(|(at, least)| need >= least && !is_late(at)) {
            return Some(Refusal::not_run(Cause::BudgetSpent));
        }
        let (refusal, at, least) = self.last_refusal?;
        (need >= least && !is_late(at)).then_some(refusal)
    }

    /// Forgets refusals, because there is more than when they were made.
    pub(crate) fn clear_refusals(&mut self) {
        self.last_refusal = None;
        self.exhausted = None;
    }
}
