//! Requests of a borrower that its lenders have not answered.
//!
//! Answers normally take milliseconds, but seconds where the link of the borrower's VM is full.
//! When the tokens of a pending request arrive, they serve all requests that wait then. Hence they
//! are not requested again for later requests, nor from another lender.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::slowest_answers::SlowestAnswers;
use crate::amount::{Time, Tokens};
use crate::ids::Incarnation;

/// The longest time to wait for a lender. At a full link packets are delayed by one to two seconds
/// each way, but a lender that is gone must not keep requests waiting for longer.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a lender may take before another is asked, as a multiple of the time that the last
/// answer took.
const TIMEOUT_FACTOR: u32 = 2;
/// An answer within this time shows that the VM's link is not full, so lenders that have been
/// silent for longer are gone.
const FAST_ANSWER: Duration = Duration::from_millis(300);
/// The most pending requests that are recorded for one lender.
const MAX_PENDING: usize = 256;

/// Pending requests to lenders.
#[derive(Debug, Clone, Default)]
pub(super) struct PendingLoans {
    lenders: BTreeMap<Incarnation, LenderRequests>,
    /// How long the last answer took.
    last_answer_time: Duration,
    slowest_answers: SlowestAnswers,
}

/// One request to a lender.
#[derive(Debug, Clone, Copy)]
struct PendingLoan {
    /// The tokens that a waiting request needs.
    need: Tokens,
    /// Whether it also asks for a prefetch.
    is_prefetch: bool,
    sent_at: Time,
}

/// The pending requests to one lender.
#[derive(Debug, Clone, Default)]
struct LenderRequests {
    pending: VecDeque<PendingLoan>,
    /// Whether other lenders have been asked for the same tokens because this one did not answer.
    is_silent: bool,
}

impl PendingLoans {
    /// Records a request to a lender for `need` tokens and, if `extra` is not zero, for a prefetch.
    pub(super) fn record_request(
        &mut self,
        now: Time,
        lender: Incarnation,
        need: Tokens,
        extra: Tokens,
    ) {
        let requests = self.lenders.entry(lender).or_default();
        if requests.pending.len() >= MAX_PENDING {
            requests.pending.pop_front();
        }
        requests.pending.push_back(PendingLoan {
            need,
            is_prefetch: !extra.is_zero(),
            sent_at: now,
        });
    }

    /// Returns whether a prefetch may still be answered.
    pub(super) fn has_prefetch(&self, now: Time) -> bool {
        let mut pending = self.lenders.values().flat_map(|requests| &requests.pending);
        pending.any(|loan| loan.is_prefetch && now.since(loan.sent_at) < MAX_ANSWER_TIMEOUT)
    }

    /// Records an answer of a lender, whether it lends or refuses.
    pub(super) fn record_answer(&mut self, now: Time, lender: Incarnation) {
        let Some(requests) = self.lenders.get_mut(&lender) else {
            return;
        };
        requests.is_silent = false;
        if let Some(loan) = requests.pending.pop_front() {
            self.last_answer_time = now.since(loan.sent_at);
            self.slowest_answers.record(now, self.last_answer_time);
        }
        let is_fast = self.last_answer_time <= FAST_ANSWER;
        // If one lender answers quickly, lenders that stay silent are gone.
        self.lenders.retain(|_, requests| {
            let is_gone = is_fast && requests.is_silent;
            !is_gone && !requests.pending.is_empty()
        });
    }

    /// Records that a lender is silent and others are asked for the same tokens.
    pub(super) fn mark_silent(&mut self, lender: Incarnation) {
        if let Some(requests) = self.lenders.get_mut(&lender) {
            requests.is_silent = true;
        }
    }

    /// Returns whether requests to a lender are pending.
    pub(super) fn has_pending(&self, lender: Incarnation) -> bool {
        self.lenders.contains_key(&lender)
    }

    /// Drops lenders that have left the view.
    pub(super) fn retain_lenders(&mut self, is_member: impl Fn(Incarnation) -> bool) {
        self.lenders.retain(|lender, _| is_member(*lender));
    }

    /// Returns how many requested tokens may still arrive.
    ///
    /// A single silent lender may be gone. If several are silent at once, the link of this VM is
    /// slow and their answers are on their way.
    pub(super) fn total(&mut self, now: Time) -> Tokens {
        for requests in self.lenders.values_mut() {
            requests
                .pending
                .retain(|loan| now.since(loan.sent_at) < MAX_ANSWER_TIMEOUT.saturating_mul(2));
        }
        self.lenders.retain(|_, requests| !requests.pending.is_empty());
        let silent = self.lenders.values().filter(|requests| requests.is_silent).count();
        let awaited = self.lenders.values().filter(|requests| !requests.is_silent || silent > 1);
        let recent = awaited
            .flat_map(|requests| &requests.pending)
            .filter(|loan| now.since(loan.sent_at) < MAX_ANSWER_TIMEOUT);
        recent.map(|loan| loan.need).sum()
    }

    /// Returns how long to wait for a lender's answer, at least `least`. Where all answers are
    /// slow, asking other lenders as well would only fetch the same tokens several times.
    pub(super) fn answer_timeout(&self, least: Duration) -> Duration {
        self.last_answer_time.saturating_mul(TIMEOUT_FACTOR).clamp(least, MAX_ANSWER_TIMEOUT)
    }

    /// Returns how long a lender may take to answer, judged by the slowest recent answer; `None` if
    /// too few answers are known.
    pub(super) fn expected_answer_time(&self, now: Time) -> Option<Duration> {
        self.slowest_answers.longest(now)
    }
}
