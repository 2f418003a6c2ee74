//! Holdings of one process: what it tells the ledger when it begins to borrow.

mod support;

use std::sync::Arc;
use std::time::Duration;

use badgerfield_core::Pacing;
use badgerfield_core::amount::{Percent, Time, Tokens};
use badgerfield_core::event::{Command, Outbox};
use badgerfield_core::holdings::{Holdings, ReserveOutcome};
use badgerfield_core::ids::{Epoch, Incarnation, Period, RunId, TemplateVersion};
use badgerfield_core::ledger::{BudgetTerms, HoldingPlan, LedgerOp, LedgerReply};
use badgerfield_core::message::{Message, NoTokensReason, ParkItem};
use badgerfield_core::refusal::Cause;
use badgerfield_core::view::View;
use support::{at, budget, member};

const ME: Incarnation = Incarnation(1);
const HELD: Tokens = Tokens(100_000);

/// Returns a view with so many members, of which this process is one.
fn view(members: u64) -> View {
    let members: Vec<_> = (1..=members).map(member).collect();
    View { epoch: Epoch(u64::try_from(members.len()).unwrap_or(0)), members, ..View::default() }
}

/// Answers a change of the ledger that hands out so much.
fn answer(holdings: &mut Holdings, now: Time, op: &LedgerOp, granted: Tokens) {
    let reply = LedgerReply::Applied {
        seq: op.seq,
        granted,
        remaining: Tokens(1_000_000),
        other_holders: Vec::new(),
        plan: HoldingPlan::Share(HELD),
        orphaned_seals: Vec::new(),
    };
    holdings.apply_ledger_reply(now, &budget(), Period(1), &reply, &mut Outbox::default());
}

/// Lets time pass; answers every change, and returns the last.
fn pass(holdings: &mut Holdings, from: u64, to: u64, granted: Tokens) -> Option<LedgerOp> {
    let mut last = None;
    for millis in (from..to).step_by(100) {
        holdings.tick(at(millis), &mut Outbox::default());
        for (op, _) in holdings.take_due_ops(at(millis)) {
            answer(holdings, at(millis), &op, granted);
            last = Some(op);
        }
    }
    last
}

#[test]
fn who_begins_to_borrow_tells_the_ledger_that_it_holds_nothing() {
    let pacing = Pacing {
        seal_holdings: true,
        hold_ahead: Duration::from_secs(11),
        report_interval: Duration::from_millis(500),
        ..Pacing::default()
    };
    let own = member(1);
    let mut holdings = Holdings::new(ME, own.vm.clone(), own.region.clone(), pacing);
    // In a small view every process holds rights of its own.
    holdings.apply_view(at(0), &Arc::new(view(4)), &mut Outbox::default());
    let terms =
        BudgetTerms { version: TemplateVersion(1), period: Period(1), limit: Tokens(2_000_000) };
    holdings.update_terms(at(0), &budget(), terms, Percent::new(50).expect("a share"));
    pass(&mut holdings, 0, 200, HELD);
    assert_eq!(holdings.balance(&budget()).free, HELD);
    // Find a view in which others lend: then what is held goes to them.
    let grown = (17..200).find(|members| {
        holdings.apply_view(at(300), &Arc::new(view(*members)), &mut Outbox::default());
        holdings.tick(at(400), &mut Outbox::default());
        holdings.balance(&budget()).free.is_zero()
    });
    assert!(grown.is_some(), "the process lends in every view");
    assert_eq!(holdings.balance(&budget()).in_transit, HELD);
    let told = pass(&mut holdings, 500, 2500, Tokens::ZERO).expect("a change is made");
    assert_eq!((told.held, told.rate.0), (Tokens::ZERO, 0));
    // Once is enough.
    assert!(pass(&mut holdings, 2500, 6000, Tokens::ZERO).is_none(), "told again and again");
}

/// Returns why a request is refused when the ledger is empty, this holder is named beside one
/// other, and the only other member says that it has nothing.
fn cause_with(other: u64) -> Cause {
    let pacing = Pacing { seal_holdings: true, ..Pacing::default() };
    let vm = "vm-1".parse().expect("the name is valid");
    let region = "north".parse().expect("the name is valid");
    let mut holdings = Holdings::new(ME, vm, region, pacing);
    let terms =
        BudgetTerms { version: TemplateVersion(1), period: Period(1), limit: Tokens(1_000_000) };
    let spread = Percent::new(80).expect("a share");
    holdings.update_terms(at(0), &budget(), terms, spread);
    let out = &mut Outbox::default();
    holdings.apply_view(at(0), &Arc::new(view(2)), out);
    holdings.reserve(at(10), &budget(), (RunId(7), Tokens(500), at(5_000)), out);
    let (op, _) = holdings.take_due_ops(at(10)).pop().expect("the ledger is asked");
    let reply = LedgerReply::Applied {
        seq: op.seq,
        granted: Tokens::ZERO,
        remaining: Tokens::ZERO,
        other_holders: vec![Incarnation(other)],
        plan: HoldingPlan::Share(Tokens::ZERO),
        orphaned_seals: Vec::new(),
    };
    holdings.apply_ledger_reply(at(20), &budget(), Period(1), &reply, out);
    let nothing = (Tokens(500), NoTokensReason::Spent);
    holdings.handle_no_tokens(at(30), Incarnation(2), &budget(), nothing, out);
    let decision = holdings.take_decisions().pop().expect("it is decided");
    decision.refusal.expect("there are no tokens").cause
}

#[test]
fn a_budget_is_not_spent_while_a_gone_holder_may_give_back() {
    assert_eq!(cause_with(2), Cause::BudgetSpent, "all that hold it have said so");
    assert_eq!(cause_with(99), Cause::BudgetHeld, "its successor may give back what it sealed");
}

/// Makes the only holder of a budget beside a witness, with so much in hand.
fn holder_with_witness() -> Holdings {
    let own = member(1);
    let mut holdings = Holdings::new(ME, own.vm.clone(), own.region, Pacing::default());
    holdings.apply_view(at(0), &Arc::new(view(2)), &mut Outbox::default());
    let terms =
        BudgetTerms { version: TemplateVersion(1), period: Period(1), limit: Tokens(2_000_000) };
    holdings.update_terms(at(0), &budget(), terms, Percent::new(50).expect("a share"));
    let waiter = (RunId(7), Tokens(1_000), at(5_000));
    holdings.reserve(at(10), &budget(), waiter, &mut Outbox::default());
    let (op, _) = holdings.take_due_ops(at(10)).pop().expect("the ledger is asked");
    answer(&mut holdings, at(20), &op, HELD);
    holdings
}

/// Lets time pass while the witness acknowledges everything; returns what it was told last.
fn park(holdings: &mut Holdings, from: u64, to: u64) -> Option<ParkItem> {
    let mut last = None;
    for millis in (from..to).step_by(10) {
        let mut out = Outbox::default();
        holdings.tick(at(millis), &mut out);
        for order in out.take() {
            let Command::Send(witness, Message::Park(items)) = order else {
                continue;
            };
            holdings.confirm_parked(at(millis), witness, &items, &mut Outbox::default());
            last = items.into_iter().next_back().or(last);
        }
    }
    last
}

#[test]
fn a_witness_vouches_for_no_more_than_is_left_after_an_upstream_served_beyond_its_limit() {
    let mut holdings = holder_with_witness();
    holdings.settle(at(20), &budget(), Period(1), Tokens(1_000), Tokens(1_000));
    let told = park(&mut holdings, 20, 20_000).expect("a witness is told");
    assert!(told.total > Tokens(50_000), "{} is too little to show anything", told.total);
    // A request is allowed a thousand tokens, and its upstream serves nearly all there is.
    let waiter = (RunId(8), Tokens(1_000), at(25_000));
    holdings.take_decisions();
    holdings.reserve(at(20_000), &budget(), waiter, &mut Outbox::default());
    park(&mut holdings, 20_000, 20_300);
    let decision = holdings.take_decisions().pop().expect("the witness lets go of so much");
    assert_eq!(decision.refusal, None);
    let served = Tokens(90_000);
    holdings.settle(at(20_300), &budget(), Period(1), Tokens(1_000), served);
    // The holder may be removed at any time, so the next word must be right already.
    let told = park(&mut holdings, 20_300, 20_310).expect("the witness is told of it");
    let left = HELD.0 - 1_000 - served.0;
    assert!(told.total.0 <= left, "the witness vouches for {} of {left}", told.total);
}

#[test]
fn tokens_set_aside_belong_to_the_period_in_which_they_were() {
    let mut holdings = holder_with_witness();
    let decision = holdings.take_decisions().pop().expect("the first request is answered");
    assert_eq!((decision.period, decision.refusal), (Period(1), None));
    let waiter = (RunId(8), Tokens(1_000), at(5_000));
    let reserved = holdings.reserve(at(30), &budget(), waiter, &mut Outbox::default());
    // The budget is renewed before anybody asks for the period.
    let terms =
        BudgetTerms { version: TemplateVersion(2), period: Period(2), limit: Tokens(2_000_000) };
    holdings.update_terms(at(31), &budget(), terms, Percent::new(50).expect("a share"));
    assert_eq!(reserved, ReserveOutcome::Reserved(Period(1)));
    holdings.settle(at(40), &budget(), Period(1), Tokens(1_000), Tokens::ZERO);
    assert_eq!(holdings.balance(&budget()).free, Tokens::ZERO, "the new period got old tokens");
}

/// Makes the holder of a budget that seals its tokens, in a view of so many members.
fn sealing_holder(me: u64, members: u64) -> Holdings {
    let pacing = Pacing {
        seal_holdings: true,
        hold_ahead: Duration::from_secs(11),
        report_interval: Duration::from_millis(500),
        ..Pacing::default()
    };
    let own = member(me);
    let mut holdings = Holdings::new(Incarnation(me), own.vm.clone(), own.region, pacing);
    holdings.apply_view(at(0), &Arc::new(view(members)), &mut Outbox::default());
    let terms =
        BudgetTerms { version: TemplateVersion(1), period: Period(1), limit: Tokens(2_000_000) };
    holdings.update_terms(at(0), &budget(), terms, Percent::new(50).expect("a share"));
    holdings
}

#[test]
fn what_an_upstream_served_beyond_its_limit_is_not_spent_again() {
    let mut holdings = sealing_holder(1, 4);
    pass(&mut holdings, 0, 100, HELD);
    let waiter = (RunId(7), Tokens(1_000), at(5_000));
    let reserved = holdings.reserve(at(250), &budget(), waiter, &mut Outbox::default());
    assert_eq!(reserved, ReserveOutcome::Reserved(Period(1)));
    pass(&mut holdings, 300, 1_500, Tokens::ZERO);
    let before = holdings.balance(&budget());
    assert!(before.sealed > before.free, "nearly all is sealed: {before:?}");
    let served = Tokens(81_000);
    holdings.settle(at(1_500), &budget(), Period(1), Tokens(1_000), served);
    let figures = holdings.balance(&budget());
    let held = figures.free.0 + figures.sealed.0 + figures.parked.0 + figures.reserved.0;
    assert!(held + served.0 <= HELD.0, "{held} are held yet, of {}", HELD.0);
}

#[test]
fn a_removed_owner_changes_nothing_at_its_witness() {
    let mut witness = sealing_holder(3, 20);
    let owner = Incarnation(20);
    let item = ParkItem { budget: budget(), period: Period(1), seq: 1, total: Tokens(500) };
    assert_eq!(witness.accept_parked(owner, std::slice::from_ref(&item)).len(), 1);
    let without = View { epoch: Epoch(50), ..view(19) };
    witness.apply_view(at(300), &Arc::new(without), &mut Outbox::default());
    // The owner would spend what its witness has given back for it.
    let later = ParkItem { seq: 2, total: Tokens::ZERO, ..item };
    assert!(witness.accept_parked(owner, &[later]).is_empty());
}

#[test]
fn what_a_witness_knows_is_not_set_aside_before_it_allows_that() {
    let mut holdings = holder_with_witness();
    holdings.settle(at(20), &budget(), Period(1), Tokens(1_000), Tokens(1_000));
    park(&mut holdings, 20, 20_000);
    let waiter = (RunId(8), Tokens(1_000), at(25_000));
    let reserved = holdings.reserve(at(20_000), &budget(), waiter, &mut Outbox::default());
    assert_eq!(reserved, ReserveOutcome::Waiting);
}
