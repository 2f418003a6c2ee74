//! Requests that wait for tokens returned by running ones.
//!
//! Many requests arrived at once for a nearly empty budget. Each request reserves the most that it
//! can cost, 133 tokens, and uses about 25 of them. Most of the remaining budget is thus reserved
//! at any moment and is returned within 0.1 to 0.3 s. Requests that arrived meanwhile were refused
//! with a retry delay of 5 s, although their callers were ready to wait for 5 s. Afterwards 400 to
//! 530 of 3,000 tokens were left. The log had
//!
//! `refused request=67 cause=budget_held run=not_run come_back_ms=5000`
//!
//! twelve times in one millisecond, with 267 tokens reserved, 100 of 133 free, and 101 more free
//! 0.1 s later.

mod support;

use std::sync::Arc;

use assert_matches::assert_matches;
use badgerfield_core::Pacing;
use badgerfield_core::amount::{Percent, Tokens};
use badgerfield_core::event::{Command, Outbox};
use badgerfield_core::holdings::{Holdings, ReserveOutcome};
use badgerfield_core::ids::{Epoch, Incarnation, Period, ReservationId, RunId, TemplateVersion};
use badgerfield_core::ledger::{BudgetTerms, HoldingPlan, LedgerReply};
use badgerfield_core::message::{Message, NoTokensReason, TokenRequest};
use badgerfield_core::refusal::Cause;
use badgerfield_core::view::View;
use support::{at, budget, member};

const NEED: Tokens = Tokens(133);
const USED: Tokens = Tokens(23);
/// How many requests have run before, so that the share of returned tokens is known.
const EARLIER_RUNS: u64 = 10;
const OTHER: Incarnation = Incarnation(2);

/// Makes one of two holders of a budget that is empty at the ledger. It has 67 free tokens besides
/// those reserved for one request.
fn holder() -> Holdings {
    holder_with(HoldingPlan::Share(Tokens::ZERO))
}

fn holder_with(plan: HoldingPlan) -> Holdings {
    let own = member(1);
    let mut holdings = Holdings::new(Incarnation(1), own.vm.clone(), own.region, Pacing::default());
    let members = vec![member(1), member(2)];
    let view = View { epoch: Epoch(2), members, ..View::default() };
    holdings.apply_view(at(0), &Arc::new(view), &mut Outbox::default());
    let terms =
        BudgetTerms { version: TemplateVersion(1), period: Period(1), limit: Tokens(3_000) };
    holdings.update_terms(at(0), &budget(), terms, Percent::new(80).expect("a share"));
    assert_eq!(reserve(&mut holdings, 10, RunId(1), 5_000), ReserveOutcome::Waiting);
    answer_ledger_with(&mut holdings, 20, Tokens(200 + EARLIER_RUNS * USED.0), plan);
    assert_eq!(served_runs(&mut holdings), [RunId(1)]);
    for _ in 0..EARLIER_RUNS {
        settle(&mut holdings, 30);
        assert_eq!(
            reserve(&mut holdings, 30, RunId(1), 5_000),
            ReserveOutcome::Reserved(Period(1))
        );
    }
    assert_eq!(holdings.balance(&budget()).free, Tokens(67));
    holdings
}

fn reserve(holdings: &mut Holdings, now: u64, run: RunId, deadline: u64) -> ReserveOutcome {
    holdings.reserve(at(now), &budget(), (run, NEED, at(deadline)), &mut Outbox::default())
}

/// Confirms the pending ledger operation.
fn answer_ledger(holdings: &mut Holdings, now: u64, granted: Tokens) -> Outbox {
    answer_ledger_with(holdings, now, granted, HoldingPlan::Share(Tokens::ZERO))
}

fn answer_ledger_with(
    holdings: &mut Holdings,
    now: u64,
    granted: Tokens,
    plan: HoldingPlan,
) -> Outbox {
    let (op, _) = holdings.take_due_ops(at(now)).pop().expect("the ledger is asked");
    let reply = LedgerReply::Applied {
        seq: op.seq,
        granted,
        remaining: Tokens::ZERO,
        other_holders: vec![OTHER],
        plan,
        orphaned_seals: Vec::new(),
    };
    let mut out = Outbox::default();
    holdings.apply_ledger_reply(at(now), &budget(), Period(1), &reply, &mut out);
    out
}

/// Ends the search: the ledger has no tokens, and the other holder has reserved all of its own.
fn fail_search(holdings: &mut Holdings, now: u64) {
    answer_ledger(holdings, now, Tokens::ZERO);
    let reason = NoTokensReason::Reserved(std::time::Duration::from_secs(1));
    holdings.handle_no_tokens(at(now), OTHER, &budget(), (NEED, reason), &mut Outbox::default());
}

fn settle(holdings: &mut Holdings, now: u64) {
    holdings.settle(at(now), &budget(), Period(1), NEED, USED);
}

/// Returns the requests that got their tokens since the last call. None may have been refused.
fn served_runs(holdings: &mut Holdings) -> Vec<RunId> {
    let decisions = holdings.take_decisions();
    assert!(decisions.iter().all(|d| d.refusal.is_none()), "{decisions:?}");
    decisions.into_iter().map(|decision| decision.run).collect()
}

/// Returns the requests that were refused since the last call. All must be refused as
/// `budget_held`.
fn refused_runs(holdings: &mut Holdings) -> Vec<RunId> {
    let decisions = holdings.take_decisions();
    let cause =
        |d: &badgerfield_core::holdings::ReserveDecision| d.refusal.map(|refusal| refusal.cause);
    assert!(decisions.iter().all(|d| cause(d) == Some(Cause::BudgetHeld)), "{decisions:?}");
    decisions.into_iter().map(|decision| decision.run).collect()
}

/// A request for which the search finds no tokens waits if the expected returns of running requests
/// cover it.
#[test]
fn request_waits_for_returned_tokens() {
    let mut holdings = holder();
    assert_eq!(reserve(&mut holdings, 100, RunId(2), 5_000), ReserveOutcome::Waiting);
    fail_search(&mut holdings, 110);
    assert_eq!(served_runs(&mut holdings), []);
    settle(&mut holdings, 200);
    assert_eq!(served_runs(&mut holdings), [RunId(2)]);
}

/// Requests that the expected returns do not cover are refused without a wait, also if they arrive
/// after the search.
#[test]
fn requests_beyond_expected_returns_are_refused_at_once() {
    let mut holdings = holder();
    for run in 2..6 {
        assert_eq!(reserve(&mut holdings, 100, RunId(run), 5_000), ReserveOutcome::Waiting);
    }
    fail_search(&mut holdings, 110);
    assert_eq!(refused_runs(&mut holdings), [RunId(3), RunId(4), RunId(5)]);
    let reserved = reserve(&mut holdings, 120, RunId(6), 5_000);
    assert!(matches!(reserved, ReserveOutcome::Refused(r) if r.cause == Cause::BudgetHeld));
    settle(&mut holdings, 200);
    assert_eq!(served_runs(&mut holdings), [RunId(2)]);
}

/// A recent refusal must not apply to a request that the expected returns cover.
#[test]
fn request_after_a_refusal_may_wait_too() {
    let mut holdings = holder();
    for run in 2..4 {
        reserve(&mut holdings, 100, RunId(run), 5_000);
    }
    fail_search(&mut holdings, 110);
    assert_eq!(refused_runs(&mut holdings), [RunId(3)]);
    settle(&mut holdings, 200);
    assert_eq!(served_runs(&mut holdings), [RunId(2)]);
    // That request runs now, and the tokens it returns are enough for one more.
    assert_eq!(reserve(&mut holdings, 210, RunId(4), 5_000), ReserveOutcome::Waiting);
    settle(&mut holdings, 300);
    assert_eq!(served_runs(&mut holdings), [RunId(4)]);
}

/// Returns the first message to the other holder.
fn message_to_other(mut out: Outbox) -> Message {
    let mut to_other = out.take().into_iter().filter_map(|command| match command {
        Command::Send(OTHER, message) => Some(message),
        _ => None,
    });
    to_other.next().expect("a message is sent")
}

/// A holder asked its peers for the total need of all waiting requests. Peers that could not give
/// 2,012 tokens answered that the budget was spent, and so sixteen requests of 133 tokens were
/// refused as spent while 670 tokens were still to be returned.
#[test]
fn token_request_asks_for_the_smallest_need() {
    let mut holdings = holder();
    for run in 2..5 {
        reserve(&mut holdings, 100, RunId(run), 5_000);
    }
    let out = answer_ledger(&mut holdings, 110, Tokens::ZERO);
    let (need, extra) = (Tokens(133 - 67), Tokens(2 * 133));
    assert_matches!(
        message_to_other(out),
        Message::TokenRequest(request) if (request.need, request.extra) == (need, extra)
    );
}

/// The collector must not refuse a small need because it cannot give the extra tokens as well. It
/// answers `Spent` only if its expected returns do not cover the need.
#[test]
fn collector_gives_the_tokens_it_has() {
    let request = |need: u64| TokenRequest {
        budget: budget(),
        period: Period(1),
        need: Tokens(need),
        extra: Tokens(2_000),
    };
    let mut holdings = holder_with(HoldingPlan::Collect(Tokens(3_000)));
    let mut out = Outbox::default();
    holdings.handle_token_request(at(100), OTHER, &request(60), &mut out);
    assert_matches!(
        message_to_other(out),
        Message::Transfer(transfer) if transfer.amount == Tokens(67)
    );
    // It has no tokens now. The expected returns cover this request, but not the next one.
    let mut out = Outbox::default();
    holdings.handle_token_request(at(110), OTHER, &request(60), &mut out);
    assert_matches!(
        message_to_other(out),
        Message::NoTokens { reason: NoTokensReason::Reserved(_), .. }
    );
    let mut out = Outbox::default();
    holdings.handle_token_request(at(120), OTHER, &request(2_000), &mut out);
    assert_matches!(message_to_other(out), Message::NoTokens { reason: NoTokensReason::Spent, .. });
}

/// A request that waits for returned tokens is refused at its deadline, and gets none that are
/// returned later.
#[test]
fn request_does_not_wait_past_its_deadline() {
    let mut holdings = holder();
    reserve(&mut holdings, 100, RunId(2), 300);
    fail_search(&mut holdings, 110);
    assert_eq!(served_runs(&mut holdings), []);
    holdings.tick(at(310), &mut Outbox::default());
    assert_eq!(refused_runs(&mut holdings), [RunId(2)]);
    settle(&mut holdings, 400);
    assert_eq!(served_runs(&mut holdings), []);
    assert_eq!(holdings.balance(&budget()).free, Tokens(177));
}

/// A request whose expected returns do not arrive is refused 0.5 s after the search has ended, even
/// if its deadline is later.
#[test]
fn wait_for_returned_tokens_is_limited() {
    let mut holdings = holder();
    reserve(&mut holdings, 100, RunId(2), 5_000);
    reserve(&mut holdings, 100, RunId(3), 5_000);
    fail_search(&mut holdings, 110);
    assert_eq!(refused_runs(&mut holdings), [RunId(3)]);
    holdings.tick(at(600), &mut Outbox::default());
    assert_eq!(served_runs(&mut holdings), []);
    holdings.tick(at(620), &mut Outbox::default());
    assert_eq!(refused_runs(&mut holdings), [RunId(2)]);
}

/// A request on a route does not wait for returned tokens, because it may try another VM.
#[test]
fn request_on_a_route_is_refused_at_once() {
    let mut holdings = holder();
    let run = ReservationId(2).to_run_id();
    assert_eq!(reserve(&mut holdings, 100, run, 5_000), ReserveOutcome::Waiting);
    fail_search(&mut holdings, 110);
    assert_eq!(refused_runs(&mut holdings), [run]);
}
