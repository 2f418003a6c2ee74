//! How much a busy borrower prefetches.
//!
//! It prefetched 1.5 s of its demand and kept up to twice as much, however quickly its lenders
//! answered. No promise covers these tokens, so all of them were lost with the power, besides the
//! tokens that the lender left unsealed for the same demand.

mod support;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use badgerfield_core::Pacing;
use badgerfield_core::amount::{Percent, Tokens};
use badgerfield_core::event::{Command, Outbox};
use badgerfield_core::holdings::{Holdings, ReserveOutcome};
use badgerfield_core::ids::{Epoch, Incarnation, Period, RunId, TemplateVersion};
use badgerfield_core::ledger::BudgetTerms;
use badgerfield_core::message::{Message, TokenRequest, Transfer};
use badgerfield_core::view::View;
use support::{at, budget, member};

/// The most that one request can cost, in tokens. All of it is used.
const REQUEST_COST: Tokens = Tokens(100);
/// The time between two requests, in milliseconds.
const REQUEST_INTERVAL: u64 = 20;
/// The time that a request runs, in milliseconds.
const RUN_TIME: u64 = 100;
/// The demand of one second, in tokens.
const DEMAND: u64 = 1000 / REQUEST_INTERVAL * REQUEST_COST.0;
/// The size of the largest view that is tried until this process is a borrower.
const MAX_MEMBERS: u64 = 200;

/// A borrower with a constant demand whose lenders have as many tokens as it requests.
struct Borrower {
    holdings: Holdings,
    /// The time in milliseconds.
    now: u64,
    /// How long a lender takes to answer, in milliseconds.
    answer_time: u64,
    /// Requests to lenders, and when they are answered.
    asked: VecDeque<(u64, Incarnation, TokenRequest)>,
    /// When running requests end.
    running: VecDeque<u64>,
    transfers: u64,
}

impl Borrower {
    fn new(answer_time: u64) -> Self {
        let pacing = Pacing { seal_holdings: true, ..Pacing::default() };
        let own = member(1);
        let mut holdings = Holdings::new(Incarnation(1), own.vm.clone(), own.region, pacing);
        let terms = BudgetTerms {
            version: TemplateVersion(1),
            period: Period(1),
            limit: Tokens(1000 * DEMAND),
        };
        holdings.update_terms(at(0), &budget(), terms, Percent::new(50).expect("a share"));
        let mut borrower = Self {
            holdings,
            now: 0,
            answer_time,
            asked: VecDeque::new(),
            running: VecDeque::new(),
            transfers: 0,
        };
        assert!((20..MAX_MEMBERS).any(|members| borrower.borrows_in(members)));
        borrower
    }

    /// Applies a view with this many members. Returns whether the process borrows then.
    fn borrows_in(&mut self, members: u64) -> bool {
        let members = (1..=members).map(member).collect();
        let view = View { epoch: Epoch(2), members, ..View::default() };
        let mut out = Outbox::default();
        self.holdings.apply_view(at(0), &Arc::new(view), &mut out);
        let run = RunId(1);
        let waiter = (run, REQUEST_COST, at(0));
        self.holdings.reserve(at(0), &budget(), waiter, &mut out);
        self.holdings.cancel_request(&budget(), run);
        self.collect_asked(out);
        !self.asked.is_empty()
    }

    /// Records the requests to lenders. Returns how many tokens they ask for beyond their needs.
    fn collect_asked(&mut self, mut out: Outbox) -> u64 {
        let mut extra = 0;
        for command in out.take() {
            let Command::Send(to, Message::TokenRequest(request)) = command else {
                continue;
            };
            extra += request.extra.0;
            self.asked.push_back((self.now + self.answer_time, to, request));
        }
        extra
    }

    /// Applies the answers of lenders that are due.
    fn receive_answers(&mut self) {
        while self.asked.front().is_some_and(|(due, ..)| *due <= self.now) {
            let Some((_, from, request)) = self.asked.pop_front() else {
                return;
            };
            self.transfers += 1;
            let transfer = Transfer {
                seq: self.transfers,
                acked_seq: 0,
                budget: request.budget,
                period: request.period,
                amount: request.need.saturating_add(request.extra),
                has_more: true,
            };
            let mut out = Outbox::default();
            self.holdings.receive_transfer(at(self.now), from, &transfer, &mut out);
            self.collect_asked(out);
        }
    }

    /// Serves requests until a time. Returns the most tokens that were free, and the largest
    /// prefetch that was requested.
    fn run_until(&mut self, until: u64) -> (u64, u64) {
        let (mut most_free, mut largest_prefetch) = (0, 0);
        while self.now < until {
            self.now += REQUEST_INTERVAL;
            self.receive_answers();
            let mut out = Outbox::default();
            while self.running.front().is_some_and(|end| *end <= self.now) {
                self.running.pop_front();
                let now = at(self.now);
                self.holdings.settle(now, &budget(), Period(1), REQUEST_COST, REQUEST_COST);
            }
            let waiter = (RunId(self.now), REQUEST_COST, at(self.now + 5000));
            let outcome = self.holdings.reserve(at(self.now), &budget(), waiter, &mut out);
            let decisions = self.holdings.take_decisions();
            let served = decisions.iter().filter(|decision| decision.refusal.is_none()).count()
                + usize::from(matches!(outcome, ReserveOutcome::Reserved(_)));
            self.running.extend((0..served).map(|_| self.now + RUN_TIME));
            self.holdings.tick(at(self.now), &mut out);
            largest_prefetch = self.collect_asked(out).max(largest_prefetch);
            most_free = self.holdings.balance(&budget()).free.0.max(most_free);
        }
        (most_free, largest_prefetch)
    }
}

/// Returns the demand of a span, in tokens.
fn demand_of(span: Duration) -> u128 {
    u128::from(DEMAND) * span.as_millis() / 1000
}

/// Prefetched tokens are lost with the power, so there must be no more than the next answer takes.
#[test]
fn borrower_with_quick_lenders_keeps_few_tokens() {
    let mut borrower = Borrower::new(5);
    borrower.run_until(20_000);
    let (free, _) = borrower.run_until(30_000);
    assert!(u128::from(free) <= demand_of(Duration::from_millis(600)), "{free} tokens were free");
    assert!(free > 0, "nothing was prefetched");
}

/// Where the link of the VM is full, answers take long. With less than the demand of that time, each
/// request would ask a lender, and the messages would delay the heartbeats of the VM.
#[test]
fn borrower_with_slow_lenders_prefetches_more() {
    let mut borrower = Borrower::new(600);
    borrower.run_until(20_000);
    let (_, prefetch) = borrower.run_until(30_000);
    let least = demand_of(Duration::from_millis(1100));
    assert!(u128::from(prefetch) >= least, "at most {prefetch} tokens were prefetched");
}

/// A link is full for seconds at a time. If quick answers in between were taken for good, the VM
/// would have too few tokens each time that the link fills up again.
#[test]
fn borrower_remembers_slow_lenders() {
    let mut borrower = Borrower::new(600);
    borrower.run_until(20_000);
    borrower.answer_time = 5;
    borrower.run_until(22_000);
    let (_, prefetch) = borrower.run_until(28_000);
    let least = demand_of(Duration::from_millis(1100));
    assert!(u128::from(prefetch) >= least, "at most {prefetch} tokens were prefetched");
    borrower.run_until(50_000);
    let (free, _) = borrower.run_until(60_000);
    assert!(u128::from(free) <= demand_of(Duration::from_millis(600)), "{free} tokens were free");
}

/// The first answers are quick even where the link fills up afterwards.
#[test]
fn borrower_prefetches_more_until_its_lenders_are_known() {
    let mut borrower = Borrower::new(5);
    let (_, prefetch) = borrower.run_until(8_000);
    let least = demand_of(Duration::from_millis(1100));
    assert!(u128::from(prefetch) >= least, "at most {prefetch} tokens were prefetched");
}

/// Returns what a process knows of silent lenders.
fn silent_lenders(holdings: &Holdings) -> String {
    let text = format!("{holdings:?}");
    let (_, silent) = text.split_once("silent_lenders: {").expect("the field exists");
    silent.split_once('}').expect("the map ends").0.to_owned()
}

/// Guards against a process that grows with each lender that ends without an answer: only an answer
/// removed what is known of a silent lender.
#[test]
fn silent_lenders_that_have_left_are_forgotten() {
    let mut borrower = Borrower::new(5);
    let holdings = &mut borrower.holdings;
    let mut out = Outbox::default();
    let waiter = (RunId(2), REQUEST_COST, at(60_000));
    holdings.reserve(at(0), &budget(), waiter, &mut out);
    for now in (0..20_000).step_by(50) {
        holdings.tick(at(now), &mut out);
    }
    assert_ne!(silent_lenders(holdings), "");
    let members = std::iter::once(1).chain(1000..1100).map(member).collect();
    let view = View { epoch: Epoch(3), members, ..View::default() };
    holdings.apply_view(at(20_000), &Arc::new(view), &mut out);
    assert_eq!(silent_lenders(holdings), "");
}
