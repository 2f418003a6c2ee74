//! What a borrower has asked its lenders for and not been answered yet.
//!
//! Answers come within milliseconds as a rule, and after seconds where the link of the borrower's
//! VM is full. What is on its way serves the requests that wait when it comes, so that it is not
//! asked for again for those that came later, nor at another lender.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::amount::{Time, Tokens};
use crate::ids::Incarnation;

/// The longest that a lender is waited for: packets wait for a second or two at a full link, each
/// way, and a lender that is gone must not keep requests waiting for longer.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// How many times as long as its last answer took a lender may take before another is asked.
const TIMEOUT_FACTOR: u32 = 2;
/// An answer that took no longer than this shows that the VM's link is not full: those that are
/// silent for longer are gone.
const FAST_ANSWER: Duration = Duration::from_millis(300);
/// How many asks of a lender are remembered.
const MAX_PENDING: usize = 256;

/// What lenders were asked for.
#[derive(Debug, Clone, Default)]
pub(super) struct PendingLoans {
    lenders: BTreeMap<Incarnation, LenderRequests>,
    /// How long the last answer took.
    last_answer_time: Duration,
}

/// One ask.
#[derive(Debug, Clone, Copy)]
struct PendingLoan {
    /// What a request needs.
    need: Tokens,
    /// Whether more was asked for, to be kept at hand.
    is_prefetch: bool,
    sent_at: Time,
}

/// The asks that a lender has not answered.
#[derive(Debug, Clone, Default)]
struct LenderRequests {
    pending: VecDeque<PendingLoan>,
    /// Whether others were asked for the same since, because it was silent.
    is_silent: bool,
}

impl PendingLoans {
    /// Notes that a lender is asked for what a request needs, and perhaps for more.
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

    /// Tells whether what was asked for to be kept at hand may still come.
    pub(super) fn has_prefetch(&self, now: Time) -> bool {
        let mut pending = self.lenders.values().flat_map(|requests| &requests.pending);
        pending.any(|loan| loan.is_prefetch && now.since(loan.sent_at) < MAX_ANSWER_TIMEOUT)
    }

    /// Notes a lender's answer, be it tokens or that there are none.
    pub(super) fn record_answer(&mut self, now: Time, lender: Incarnation) {
        let Some(requests) = self.lenders.get_mut(&lender) else {
            return;
        };
        requests.is_silent = false;
        if let Some(loan) = requests.pending.pop_front() {
            self.last_answer_time = now.since(loan.sent_at);
        }
        let is_fast = self.last_answer_time <= FAST_ANSWER;
        // Those that stayed silent while another answers at once are gone.
        self.lenders.retain(|_, requests| {
            let is_gone = is_fast && requests.is_silent;
            !is_gone && !requests.pending.is_empty()
        });
    }

    /// Notes that a lender is silent, so that others are asked for the same.
    pub(super) fn mark_silent(&mut self, lender: Incarnation) {
        if let Some(requests) = self.lenders.get_mut(&lender) {
            requests.is_silent = true;
        }
    }

    /// Tells whether a lender was asked and has not answered.
    pub(super) fn has_pending(&self, lender: Incarnation) -> bool {
        self.lenders.contains_key(&lender)
    }

    /// Forgets lenders that have left.
    pub(super) fn retain_lenders(&mut self, is_member: impl Fn(Incarnation) -> bool) {
        self.lenders.retain(|lender, _| is_member(*lender));
    }

    /// Returns how much may still come.
    ///
    /// One silent lender may be gone; where several are silent at once, it is the link of this VM
    /// that is slow, and their answers are on their way.
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

    /// Returns how long to wait for a lender's answer, and at least so long: where all answers are
    /// slow, asking others too would only bring the same tokens several times.
    pub(super) fn answer_timeout(&self, least: Duration) -> Duration {
        self.last_answer_time.saturating_mul(TIMEOUT_FACTOR).clamp(least, MAX_ANSWER_TIMEOUT)
    }
}
