//! Prefetching: a busy borrower asks a lender for the tokens of its next requests, so that these need
//! not wait for an answer.

use std::time::Duration;

use super::Holdings;
use super::holding::{Holding, HoldingState};
use super::search::next_lender;
use crate::amount::{Time, Tokens};
use crate::event::{Command, LogEntry, Outbox, is_due};
use crate::ids::BudgetId;
use crate::message::{Message, TokenRequest};

/// How often a busy borrower requests a prefetch until it has enough.
const PREFETCH_INTERVAL: Duration = Duration::from_millis(300);
/// A borrower prefetches its demand during this many times the time that a lender takes to answer.
/// A prefetch is requested when half of its target is left, which must last until the answer.
const PREFETCH_ANSWERS: u32 = 2;
/// A borrower is busy if its demand during the longest prefetch span is at least this many of its
/// largest requests.
const BUSY_REQUESTS: u64 = 4;
/// A borrower keeps at most this multiple of its prefetch target and returns the rest.
const MAX_PREFETCH_FACTOR: u64 = 2;

impl Holdings {
    /// Asks a lender for the tokens of the next requests, so that these need not wait.
    pub(super) fn prefetch_tokens(&mut self, now: Time, budget: &BudgetId, out: &mut Outbox) {
        let Some(holding) = self.table.get_mut(budget) else {
            return;
        };
        let target = holding.prefetch_target(now, self.pacing.policy.prefetch_span);
        let has_enough = holding.free >= target.part(1, 2).max(Tokens(1));
        if has_enough
            || self.leaving.is_closing()
            || holding.search.is_some()
            || !holding.is_borrower()
        {
            return;
        }
        let Some(to) = next_lender(holding, &self.view, &self.silent_lenders, now, &[]) else {
            return;
        };
        let prefetch = holding.start_prefetch(now, self.pacing.policy.prefetch_span);
        if prefetch.is_zero() {
            return;
        }
        let need = holding.largest_request;
        let prefetch = prefetch.saturating_sub(need);
        holding.pending_loans.record_request(now, to, need, prefetch);
        let (budget, period) = (budget.clone(), holding.terms.period);
        out.send(to, Message::TokenRequest(TokenRequest { budget, period, need, extra: prefetch }));
    }

    /// Logs the tokens of borrowed budgets that are busy here or have tokens in transit.
    pub(super) fn log_prefetched(&self, now: Time, out: &mut Outbox) {
        let in_transit = self.transfers.all_in_transit();
        for (budget, holding) in self.table.iter().filter(|(_, holding)| holding.is_borrower()) {
            let amount_in_transit = in_transit.get(budget).copied().unwrap_or_default();
            let target = holding.prefetch_target(now, self.pacing.policy.prefetch_span);
            if target.is_zero() && amount_in_transit.is_zero() {
                continue;
            }
            out.push(Command::Log(LogEntry::Prefetched {
                budget: budget.clone(),
                free: holding.free,
                reserved: holding.reserved,
                in_transit: amount_in_transit,
                waiting: holding.waiters.len(),
                rate: holding.meter.rate(now),
                answer_time: holding.pending_loans.expected_answer_time(now),
            }));
        }
    }
}

impl Holding {
    /// Returns how many tokens a borrower prefetches; zero unless it is busy.
    ///
    /// They last until the next prefetch has been answered, but for `max_span` at most. No promise
    /// covers prefetched tokens, so they are lost when this process ends.
    fn prefetch_target(&self, now: Time, max_span: Duration) -> Tokens {
        let rate = self.meter.rate(now);
        let is_busy = !self.largest_request.is_zero()
            && rate.over(max_span) >= self.largest_request.part(BUSY_REQUESTS, 1);
        if !is_busy || self.state != HoldingState::Open {
            return Tokens::ZERO;
        }
        let answer_time = self.pending_loans.expected_answer_time(now).unwrap_or(max_span);
        let span = answer_time.saturating_mul(PREFETCH_ANSWERS).max(PREFETCH_INTERVAL);
        rate.over(span.min(max_span))
    }

    /// Returns the most tokens that a borrower keeps; it returns the others to a lender.
    pub(super) fn max_prefetched(&self, now: Time, max_span: Duration) -> Tokens {
        self.prefetch_target(now, max_span).part(MAX_PREFETCH_FACTOR, 1)
    }

    /// Returns how many tokens to prefetch with a request to a lender. It is zero while a prefetch
    /// is pending: otherwise prefetched tokens would pile up here while answers are slow.
    pub(super) fn start_prefetch(&mut self, now: Time, max_span: Duration) -> Tokens {
        let target = self.prefetch_target(now, max_span);
        if target.is_zero()
            || self.pending_loans.has_prefetch(now)
            || !is_due(now, self.prefetched_at, PREFETCH_INTERVAL)
        {
            return Tokens::ZERO;
        }
        self.prefetched_at = Some(now);
        target
    }
}
