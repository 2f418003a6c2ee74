//! Holdings of one process: what it tells the ledger when it begins to borrow.

use std::sync::Arc;
use std::time::Duration;

use badgerfield_core::Pacing;
use badgerfield_core::amount::{Percent, Time, Tokens};
use badgerfield_core::event::Outbox;
use badgerfield_core::holdings::Holdings;
use badgerfield_core::ids::{BudgetId, Epoch, Incarnation, Period, Version};
use badgerfield_core::ledger::{LedgerOp, LedgerReply, Plan, Terms};
use badgerfield_core::view::{Member, Standing, View};

const ME: Incarnation = Incarnation(1);
const HELD: Tokens = Tokens(100_000);

fn budget() -> BudgetId {
    "account/main".parse().expect("the name is valid")
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn member(id: u64) -> Member {
    Member {
        vm: format!("vm-{id}").parse().expect("the name is valid"),
        incarnation: Incarnation(id),
        region: "north".parse().expect("the name is valid"),
        domain: "d".parse().expect("the name is valid"),
        peer: ([127, 0, 0, 1], 1).into(),
        caller: ([127, 0, 0, 1], 2).into(),
        standing: Standing::Active,
    }
}

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
        left: Tokens(1_000_000),
        others: Vec::new(),
        plan: Plan::Share(HELD),
        orphans: Vec::new(),
    };
    holdings.drawn(now, &budget(), Period(1), &reply, &mut Outbox::default());
}

/// Lets time pass; answers every change, and returns the last.
fn pass(holdings: &mut Holdings, from: u64, to: u64, granted: Tokens) -> Option<LedgerOp> {
    let mut last = None;
    for millis in (from..to).step_by(100) {
        holdings.tick(at(millis), &mut Outbox::default());
        for (op, _) in holdings.ops(at(millis)) {
            answer(holdings, at(millis), &op, granted);
            last = Some(op);
        }
    }
    last
}

#[test]
fn who_begins_to_borrow_tells_the_ledger_that_it_holds_nothing() {
    let pacing = Pacing {
        seals: true,
        ahead: Duration::from_secs(11),
        report: Duration::from_millis(500),
        ..Pacing::default()
    };
    let own = member(1);
    let mut holdings = Holdings::new(ME, own.vm.clone(), own.region.clone(), pacing);
    // In a small view every process holds rights of its own.
    holdings.adopt(at(0), &Arc::new(view(4)), &mut Outbox::default());
    let terms = Terms { version: Version(1), period: Period(1), limit: Tokens(2_000_000) };
    holdings.learn(at(0), &budget(), terms, Percent::new(50).expect("a share"));
    pass(&mut holdings, 0, 200, HELD);
    assert_eq!(holdings.figures(&budget()).free, HELD);
    // Find a view in which others lend: then what is held goes to them.
    let grown = (17..200).find(|members| {
        holdings.adopt(at(300), &Arc::new(view(*members)), &mut Outbox::default());
        holdings.tick(at(400), &mut Outbox::default());
        holdings.figures(&budget()).free.is_zero()
    });
    assert!(grown.is_some(), "the process lends in every view");
    assert_eq!(holdings.figures(&budget()).moving, HELD);
    let told = pass(&mut holdings, 500, 2500, Tokens::ZERO).expect("a change is made");
    assert_eq!((told.held, told.rate.0), (Tokens::ZERO, 0));
    // Once is enough.
    assert!(pass(&mut holdings, 2500, 6000, Tokens::ZERO).is_none(), "told again and again");
}
