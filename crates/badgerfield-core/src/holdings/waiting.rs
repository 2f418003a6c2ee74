//! The queue of requests that wait for tokens, and the immediate refusals.

use std::collections::VecDeque;
use std::time::Duration;

use super::holding::Holding;
use crate::amount::{Time, Tokens};
use crate::ids::{Incarnation, ReservationId, RunId};
use crate::refusal::{Cause, Refusal};

/// How long further requests are refused without a new search.
const REFUSAL_LIFETIME: Duration = Duration::from_millis(800);
/// How long a request waits, after the search, for tokens returned by running requests. In the
/// deployments this is built for, short answers end within this time; a request that gets nothing
/// by then is refused.
const MAX_RETURN_WAIT: Duration = Duration::from_millis(500);

/// The requester of tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Requester {
    /// A request at this process.
    Run(RunId),
    /// A borrower that asked this process.
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
    /// Returns whether the request may wait for tokens returned by running requests.
    ///
    /// One that has a run here may, since its deadline limits the wait. A request on a route is
    /// refused at once, since it may try another VM, and so is one of a borrower, since it may ask
    /// another lender.
    fn can_wait_for_returns(&self) -> bool {
        matches!(self.requester, Requester::Run(run) if ReservationId::from_run_id(run).is_none())
    }

    /// Limits the wait to [`MAX_RETURN_WAIT`] from now.
    pub(super) fn with_return_wait(self, now: Time) -> Self {
        Self { deadline: self.deadline.min(now.after(MAX_RETURN_WAIT)), ..self }
    }
}

/// The outcome of queueing a request for which too few tokens are available.
pub(super) enum QueueOutcome {
    /// The request is refused because a similar one was refused recently.
    Refused(Refusal),
    /// The request waits for tokens that are unsealed or returned here.
    Waiting,
    /// The request waits for the result of a search.
    Searching,
}

impl Holding {
    /// Returns the sum of what all waiting requests need.
    pub(crate) fn total_need(&self) -> Tokens {
        self.waiters.iter().map(|w| w.need).sum()
    }

    /// Returns whether the free tokens, parked or not, cover all waiting requests.
    pub(crate) fn covers_total_need(&self) -> bool {
        self.free >= self.total_need()
    }

    /// Removes and returns the waiting requests that are refused, of those that need at least
    /// `need`.
    ///
    /// Requests stay for which sealed tokens become free in time. If the refusal allows a retry,
    /// requests that can wait for returned tokens also stay as long as the expected returns cover
    /// them.
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
        let mut needed_before = Tokens::ZERO;
        for waiter in std::mem::take(&mut self.waiters) {
            let unseals = self.unseals_in_time(now, needed_before, &waiter);
            let is_covered = waiter.can_wait_for_returns() && waiter.need <= available;
            if waiter.need >= need && !is_covered && !unseals {
                refused.push(waiter);
                continue;
            }
            needed_before = needed_before.saturating_add(waiter.need);
            available = available.saturating_sub(waiter.need);
            let waits_for_returns = is_covered && !unseals && waiter.need >= need;
            waiting.push_back(if waits_for_returns {
                waiter.with_return_wait(now)
            } else {
                waiter
            });
        }
        self.waiters = waiting;
        refused
    }

    /// Queues a request for which too few tokens are available. It is refused at once if a similar
    /// request was refused recently and no tokens unsealed or returned here will cover it.
    pub(super) fn enqueue(&mut self, now: Time, waiter: Waiter) -> QueueOutcome {
        let Some(refusal) = self.recent_refusal(now, waiter.need) else {
            self.waiters.push_back(waiter);
            self.used_at = now;
            return QueueOutcome::Searching;
        };
        let queued =
            self.wait_despite_refusal(now, waiter).filter(|_| refusal.cause == Cause::BudgetHeld);
        let Some(queued) = queued else {
            return QueueOutcome::Refused(refusal);
        };
        self.waiters.push_back(queued);
        QueueOutcome::Waiting
    }

    /// Returns the request with its wait if it may wait in spite of a recent refusal: sealed tokens
    /// become free for it in time, or the expected returns cover it and all requests that wait
    /// already.
    fn wait_despite_refusal(&self, now: Time, waiter: Waiter) -> Option<Waiter> {
        if self.unseals_in_time(now, self.total_need(), &waiter) {
            return Some(waiter);
        }
        let total_need = self.total_need().saturating_add(waiter.need);
        let is_covered = self.expects_returns(now) && total_need <= self.max_available(now);
        (waiter.can_wait_for_returns() && is_covered).then(|| waiter.with_return_wait(now))
    }

    /// Returns a recent refusal that also applies to this need.
    ///
    /// A budget of which no holder has tokens left is not searched for again with every request:
    /// the refusal is immediate and costs no call to the store.
    fn recent_refusal(&self, now: Time, need: Tokens) -> Option<Refusal> {
        let is_expired = |at: Time| now.since(at) >= REFUSAL_LIFETIME;
        if self.exhausted.is_some_and(|(at, least)| need >= least && !is_expired(at)) {
            return Some(Refusal::not_run(Cause::BudgetSpent));
        }
        let (refusal, at, least) = self.last_refusal?;
        (need >= least && !is_expired(at)).then_some(refusal)
    }

    /// Clears recent refusals because more tokens have become available since.
    pub(crate) fn clear_refusals(&mut self) {
        self.last_refusal = None;
        self.exhausted = None;
    }
}
