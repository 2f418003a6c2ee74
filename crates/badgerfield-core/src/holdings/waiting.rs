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
        matches!(self.wanter, Wanter::Run(run) if ReservationId::of(run).is_none())
    }

    /// Returns it as one that waits for what running requests give back.
    pub(super) fn for_given_back(self, now: Time) -> Self {
        Self { until: self.until.min(now.after(GIVEN_BACK)), ..self }
    }
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

    /// Takes out those who wait for so much or more and are refused. Of those that may come back
    /// for it, patient ones stay as long as what comes back here as a rule is enough for them.
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
        for waiter in std::mem::take(&mut self.waiters) {
            let stays = waiter.is_patient() && waiter.need <= reach;
            if waiter.need >= need && !stays {
                refused.push(waiter);
                continue;
            }
            reach = reach.saturating_minus(waiter.need);
            let waits_on = stays && waiter.need >= need;
            waiting.push_back(if waits_on { waiter.for_given_back(now) } else { waiter });
        }
        self.waiters = waiting;
        refused
    }

    /// Tells whether a request may wait though others were refused a moment ago, since enough
    /// comes back here as a rule for it and all who wait already.
    pub(super) fn has_room_for(&self, now: Time, waiter: &Waiter) -> bool {
        let wanted = self.wanted().saturating_plus(waiter.need);
        waiter.is_patient() && self.may_get_back(now) && wanted <= self.within_reach(now)
    }

    /// Returns the refusal of a moment ago, if it holds for this need too.
    ///
    /// A budget that nobody has anything left of is not looked for again with each
    /// request: the refusal comes at once, and costs the platform no call.
    pub(crate) fn refused_lately(&self, now: Time, need: Tokens) -> Option<Refusal> {
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
