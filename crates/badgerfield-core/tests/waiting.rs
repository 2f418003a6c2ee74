//! Requests that wait for what running ones give back.
//!
//! A crowd asked for a nearly empty budget. Each request sets aside the most that it can cost, 133
//! tokens, and uses some 25 of them, so most of what a budget has left is set aside at any moment
//! and comes back within 0.1 to 0.3 s. Whoever asked meanwhile was refused, with 5 s as the time to
//! come back, though it was ready to wait for 5 s; after the crowd 400 to 530 of 3,000 tokens were
//! left: `refused request=67 cause=budget_held run=not_run come_back_ms=5000` twelve times in one
//! millisecond, 267 tokens set aside there, 100 of 133 free, and 101 more free 0.1 s later.

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
/// How many requests have run before, so that it is known what comes back as a rule.
const BEFORE: u64 = 10;
const OTHER: Incarnation = Incarnation(2);

/// Makes one of two holders of a budget that is empty at the ledger. It has 67 tokens left beside
/// what a request has set aside.
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
    assert_eq!(ask(&mut holdings, 10, RunId(1), 5_000), ReserveOutcome::Waiting);
    answer_ledger_with(&mut holdings, 20, Tokens(200 + BEFORE * USED.0), plan);
    assert_eq!(served(&mut holdings), [RunId(1)]);
    for _ in 0..BEFORE {
        end(&mut holdings, 30);
        assert_eq!(ask(&mut holdings, 30, RunId(1), 5_000), ReserveOutcome::Reserved(Period(1)));
    }
    assert_eq!(holdings.balance(&budget()).free, Tokens(67));
    holdings
}

fn ask(holdings: &mut Holdings, now: u64, run: RunId, until: u64) -> ReserveOutcome {
    holdings.reserve(at(now), &budget(), (run, NEED, at(until)), &mut Outbox::default())
}

/// Answers the change that is under way.
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

/// Ends the search: the ledger has nothing, and the other holder has all of its own set aside.
fn find_nothing(holdings: &mut Holdings, now: u64) {
    answer_ledger(holdings, now, Tokens::ZERO);
    let lack = NoTokensReason::Reserved(std::time::Duration::from_secs(1));
    holdings.handle_no_tokens(at(now), OTHER, &budget(), (NEED, lack), &mut Outbox::default());
}

fn end(holdings: &mut Holdings, now: u64) {
    holdings.settle(at(now), &budget(), Period(1), NEED, USED);
}

/// Returns the requests that got their tokens meanwhile; none may have been refused.
fn served(holdings: &mut Holdings) -> Vec<RunId> {
    let decisions = holdings.take_decisions();
    assert!(decisions.iter().all(|d| d.refusal.is_none()), "{decisions:?}");
    decisions.into_iter().map(|decision| decision.run).collect()
}

/// Returns the requests that were told to come back meanwhile; none may have got its tokens.
fn held(holdings: &mut Holdings) -> Vec<RunId> {
    let decisions = holdings.take_decisions();
    let cause =
        |d: &badgerfield_core::holdings::ReserveDecision| d.refusal.map(|refusal| refusal.cause);
    assert!(decisions.iter().all(|d| cause(d) == Some(Cause::BudgetHeld)), "{decisions:?}");
    decisions.into_iter().map(|decision| decision.run).collect()
}

#[test]
fn a_request_gets_what_another_gives_back() {
    let mut holdings = holder();
    assert_eq!(ask(&mut holdings, 100, RunId(2), 5_000), ReserveOutcome::Waiting);
    find_nothing(&mut holdings, 110);
    assert_eq!(served(&mut holdings), []);
    end(&mut holdings, 200);
    assert_eq!(served(&mut holdings), [RunId(2)]);
}

#[test]
fn those_for_whom_too_little_comes_back_are_told_at_once() {
    let mut holdings = holder();
    for run in 2..6 {
        assert_eq!(ask(&mut holdings, 100, RunId(run), 5_000), ReserveOutcome::Waiting);
    }
    find_nothing(&mut holdings, 110);
    assert_eq!(held(&mut holdings), [RunId(3), RunId(4), RunId(5)]);
    let reserved = ask(&mut holdings, 120, RunId(6), 5_000);
    assert!(matches!(reserved, ReserveOutcome::Refused(r) if r.cause == Cause::BudgetHeld));
    end(&mut holdings, 200);
    assert_eq!(served(&mut holdings), [RunId(2)]);
}

#[test]
fn one_that_comes_after_others_were_refused_waits_too() {
    let mut holdings = holder();
    for run in 2..4 {
        ask(&mut holdings, 100, RunId(run), 5_000);
    }
    find_nothing(&mut holdings, 110);
    assert_eq!(held(&mut holdings), [RunId(3)]);
    end(&mut holdings, 200);
    assert_eq!(served(&mut holdings), [RunId(2)]);
    // The next one runs now, and what it gives back is enough for one more.
    assert_eq!(ask(&mut holdings, 210, RunId(4), 5_000), ReserveOutcome::Waiting);
    end(&mut holdings, 300);
    assert_eq!(served(&mut holdings), [RunId(4)]);
}

/// Returns the message to the other holder.
fn sent(mut out: Outbox) -> Message {
    let mut to_other = out.take().into_iter().filter_map(|order| match order {
        Command::Send(OTHER, message) => Some(message),
        _ => None,
    });
    to_other.next().expect("something is sent")
}

#[test]
fn a_crowd_asks_for_the_least_that_helps_one_of_it() {
    // It asked for what all needed together. Whoever could not give 2,012 tokens said that it was
    // spent, and so sixteen requests of 133 were refused as spent while 670 were to come back.
    let mut holdings = holder();
    for run in 2..5 {
        ask(&mut holdings, 100, RunId(run), 5_000);
    }
    let out = answer_ledger(&mut holdings, 110, Tokens::ZERO);
    let (need, ahead) = (Tokens(133 - 67), Tokens(2 * 133));
    assert_matches!(sent(out), Message::TokenRequest(ask) if (ask.need, ask.extra) == (need, ahead));
}

#[test]
fn a_collector_gives_a_crowd_what_it_has() {
    let wish = |need: u64| TokenRequest {
        budget: budget(),
        period: Period(1),
        need: Tokens(need),
        extra: Tokens(2_000),
    };
    let mut holdings = holder_with(HoldingPlan::Collect(Tokens(3_000)));
    let mut out = Outbox::default();
    holdings.handle_token_request(at(100), OTHER, &wish(60), &mut out);
    assert_matches!(sent(out), Message::Transfer(gift) if gift.amount == Tokens(67));
    // It has nothing now, and enough is to come back for this one, not for the next.
    let mut out = Outbox::default();
    holdings.handle_token_request(at(110), OTHER, &wish(60), &mut out);
    assert_matches!(sent(out), Message::NoTokens { reason: NoTokensReason::Reserved(_), .. });
    let mut out = Outbox::default();
    holdings.handle_token_request(at(120), OTHER, &wish(2_000), &mut out);
    assert_matches!(sent(out), Message::NoTokens { reason: NoTokensReason::Spent, .. });
}

#[test]
fn nobody_waits_longer_than_it_is_ready_to() {
    let mut holdings = holder();
    ask(&mut holdings, 100, RunId(2), 300);
    find_nothing(&mut holdings, 110);
    assert_eq!(served(&mut holdings), []);
    holdings.tick(at(310), &mut Outbox::default());
    assert_eq!(held(&mut holdings), [RunId(2)]);
    end(&mut holdings, 400);
    assert_eq!(served(&mut holdings), []);
    assert_eq!(holdings.balance(&budget()).free, Tokens(177));
}

#[test]
fn who_gets_nothing_back_is_told_soon() {
    let mut holdings = holder();
    ask(&mut holdings, 100, RunId(2), 5_000);
    ask(&mut holdings, 100, RunId(3), 5_000);
    find_nothing(&mut holdings, 110);
    assert_eq!(held(&mut holdings), [RunId(3)]);
    holdings.tick(at(600), &mut Outbox::default());
    assert_eq!(served(&mut holdings), []);
    holdings.tick(at(620), &mut Outbox::default());
    assert_eq!(held(&mut holdings), [RunId(2)]);
}

#[test]
fn a_request_on_a_route_is_told_at_once() {
    let mut holdings = holder();
    let run = ReservationId(2).to_run_id();
    assert_eq!(ask(&mut holdings, 100, run, 5_000), ReserveOutcome::Waiting);
    find_nothing(&mut holdings, 110);
    assert_eq!(held(&mut holdings), [run]);
}
