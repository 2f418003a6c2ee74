//! Who waits for tokens, and who is told at once that there are none.

use std::collections::VecDeque;
use std::time::Duration;

use super::holding::Holding;
use crate::amount::{Time, Tokens};
use crate::ids::{Incarnation, ReservationId, RunId};
use crate::refusal::{Cause, Refusal};

/// How long a refusal holds for further requests.
const REFUSAL_HOLDS: Duration = Duration::from_millis(800);
/// How long a request waits for what running ones give back, after the search. Short answers of the
/// users' sheets end within this; whoever gets nothing by then is told.
const GIVEN_BACK: Duration = Duration::from_millis(500);

/// For whom tokens are wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Wanter {
    /// A request at this process.
    Run(RunId),
    /// A process that borrows here.
    Borrower(Incarnation),
}

/// A request, here or at a borrower, that waits for tokens.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiter {
    pub(crate) wanter: Wanter,
    pub(crate) need: Tokens,
    pub(crate) until: Time,
}

impl Waiter {
    /// Tells whether it waits for what running requests give back. Its caller said for how long;
    /// one on a route is told at once, and may try another VM.
    fn is_patient(&self) -> bool {
        matches!(self.wanter, Wanter::Run(run) if ReservationId::from_run_id(run).is_none())
    }

    /// Returns it as one that waits for what running requests give back.
    pub(super) fn for_given_back(self, now: Time) -> Self {
        Self { until: self.until.min(now.after(GIVEN_BACK)), ..self }
    }
}

/// What becomes of a request for which too little is ready.
pub(super) enum Queued {
    /// Others were refused a moment ago, and so is it.
    Refused(Refusal),
    /// It waits for what comes free or back here.
    WaitsOn,
    /// It waits for what a search brings.
    Searches,
}

impl Holding {
    /// Returns what all waiting requests need together.
    pub(crate) fn wanted(&self) -> Tokens {
        self.waiters.iter().map(|w| w.need).sum()
    }

    /// Tells whether what is free, parked or not, is enough for all waiting requests.
    pub(crate) fn covers_wanted(&self) -> bool {
        self.free >= self.wanted()
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
        let mut reach = if refusal.cause == Cause::BudgetHeld && self.may_get_back(now) {
            self.within_reach(now)
        } else {
            Tokens::ZERO
        };
        let mut refused = Vec::new();
        let mut waiting = VecDeque::new();
        let mut before = Tokens::ZERO;
        for waiter in std::mem::take(&mut self.waiters) {
            let opens = self.opens_for(now, before, &waiter);
            let stays = waiter.is_patient() && waiter.need <= reach;
            if waiter.need >= need && !stays && !opens {
                refused.push(waiter);
                continue;
            }
            before = before.saturating_add(waiter.need);
            reach = reach.saturating_sub(waiter.need);
            let waits_on = stays && !opens && waiter.need >= need;
            waiting.push_back(if waits_on { waiter.for_given_back(now) } else { waiter });
        }
        self.waiters = waiting;
        refused
    }

    /// Queues a request for which too little is ready, unless one like it was refused a moment ago
    /// and nothing that comes free or back here is for this one.
    pub(super) fn queue(&mut self, now: Time, waiter: Waiter) -> Queued {
        let Some(refusal) = self.refused_lately(now, waiter.need) else {
            self.waiters.push_back(waiter);
            self.used_at = now;
            return Queued::Searches;
        };
        let waits = self.wait_on(now, waiter).filter(|_| refusal.cause == Cause::BudgetHeld);
        let Some(waits) = waits else {
            return Queued::Refused(refusal);
        };
        self.waiters.push_back(waits);
        Queued::WaitsOn
    }

    /// Returns a request as it waits though others were refused a moment ago: sealed tokens come
    /// free in time for it, or enough comes back here as a rule, beside all who wait already.
    fn wait_on(&self, now: Time, waiter: Waiter) -> Option<Waiter> {
        if self.opens_for(now, self.wanted(), &waiter) {
            return Some(waiter);
        }
        let wanted = self.wanted().saturating_add(waiter.need);
        let comes_back = self.may_get_back(now) && wanted <= self.within_reach(now);
        (waiter.is_patient() && comes_back).then(|| waiter.for_given_back(now))
    }

    /// Returns the refusal of a moment ago, if it holds for this need too.
    ///
    /// A budget that nobody has anything left of is not looked for again with each
    /// request: the refusal comes at once, and costs the platform no call.
    fn refused_lately(&self, now: Time, need: Tokens) -> Option<Refusal> {
        let is_late = |at: Time| now.since(at) >= REFUSAL_HOLDS;
        if self.spent.is_some_and(|(at, least)| need >= least && !is_late(at)) {
            return Some(Refusal::not_run(Cause::BudgetSpent));
        }
        let (refusal, at, least) = self.refused?;
        (need >= least && !is_late(at)).then_some(refusal)
    }

    /// Forgets refusals, because there is more than when they were made.
    pub(crate) fn forget_refusals(&mut self) {
        self.refused = None;
        self.spent = None;
    }
}
