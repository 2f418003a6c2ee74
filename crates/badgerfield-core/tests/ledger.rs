//! The ledger against a naive one: changes that come twice, late or out of order have
//! their effect once, and never is more handed out than the limit.

use std::collections::BTreeMap;

use badgerfield_core::amount::{Percent, Rate, Tokens};
use badgerfield_core::ids::{BudgetId, Incarnation, Period, Region, Version};
use badgerfield_core::ledger::{LedgerOp, LedgerReply, LedgerShard, Terms};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const LIMIT: u64 = 10_000;
/// How many VMs there are; each life of one is a holder.
const LIVES: u64 = 4;

/// What a holder has, as the naive version counts it: exactly what it was told.
#[derive(Debug, Default)]
struct Holder {
    seq: u64,
    held: u64,
    spent: u64,
    pending: Option<LedgerOp>,
}

#[derive(Debug, Clone)]
enum Step {
    /// A holder asks; its change reaches the ledger this often, and the reply may be lost.
    Draw {
        holder: u64,
        need: u64,
        back: u64,
        copies: usize,
        lost: bool,
    },
    Spend {
        holder: u64,
        amount: u64,
    },
    /// A message that was sent long ago arrives again.
    Replay {
        nth: usize,
    },
    Close {
        holder: u64,
    },
    /// The holders of all past lives are forgotten.
    Forget,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..4_u64, 0..3000_u64, 0..2000_u64, 1..4_usize, any::<bool>())
            .prop_map(|(holder, need, back, copies, lost)| Step::Draw { holder, need, back, copies, lost }),
        4 => (0..4_u64, 0..2000_u64).prop_map(|(holder, amount)| Step::Spend { holder, amount }),
        2 => (0..50_usize).prop_map(|nth| Step::Replay { nth }),
        1 => (0..4_u64).prop_map(|holder| Step::Close { holder }),
        1 => Just(Step::Forget),
    ]
}

fn budget() -> BudgetId {
    "account/main".parse().expect("the name is valid")
}

fn op(id: u64, holder: &mut Holder, need: u64, back: u64, close: bool) -> LedgerOp {
    holder.seq += 1;
    let region: Region = "north".parse().expect("the name is valid");
    LedgerOp {
        budget: budget(),
        terms: Terms { version: Version(1), period: Period(1), limit: Tokens(LIMIT) },
        holder: Incarnation(id),
        seq: holder.seq,
        need: Tokens(need),
        back: Tokens(back),
        held: Tokens(holder.held),
        rate: Rate(10),
        unit: Tokens(100),
        region,
        ahead: std::time::Duration::from_secs(7200),
        spread: Percent::new(80).expect("a share"),
        billed: Tokens(holder.spent),
        wasted: Tokens::ZERO,
        close,
        seal: None,
    }
}

/// Applies a change, and takes its first good reply into account.
fn send(shard: &mut LedgerShard, holder: &mut Holder, op: &LedgerOp, copies: usize, lost: bool) {
    for copy in 0..copies {
        let reply = shard.apply(op);
        if lost && copy + 1 < copies {
            continue;
        }
        let LedgerReply::Applied { seq, granted, .. } = reply else {
            continue;
        };
        if holder.pending.as_ref().is_some_and(|p| p.seq == seq) {
            holder.held += granted.0;
            holder.pending = None;
        }
    }
}

proptest! {
    #![proptest_config(Config { cases: 1000, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() })]

    #[test]
    fn hands_out_no_more_than_the_limit(steps in proptest::collection::vec(step(), 1..80)) {
        let mut shard = LedgerShard::default();
        let mut holders: BTreeMap<u64, Holder> = BTreeMap::new();
        let mut sent: Vec<LedgerOp> = Vec::new();
        let mut lives: BTreeMap<u64, u64> = (0..LIVES).map(|id| (id, id)).collect();
        for step in steps {
            match step {
                Step::Draw { holder: vm, need, back, copies, lost } => {
                    let id = lives[&vm];
                    let holder = holders.entry(id).or_default();
                    // A change without a reply is sent again before the next is made.
                    if let Some(pending) = holder.pending.clone() {
                        send(&mut shard, holder, &pending, copies, lost);
                        continue;
                    }
                    let back = if holder.seq == 0 { 0 } else { back.min(holder.held) };
                    holder.held -= back;
                    let op = op(id, holder, need, back, false);
                    holder.pending = Some(op.clone());
                    sent.push(op.clone());
                    send(&mut shard, holder, &op, copies, lost);
                }
                Step::Spend { holder: vm, amount } => {
                    let id = lives[&vm];
                    let holder = holders.entry(id).or_default();
                    let amount = amount.min(holder.held);
                    holder.held -= amount;
                    holder.spent += amount;
                }
                Step::Replay { nth } => {
                    if let Some(op) = sent.get(nth % sent.len().max(1)) {
                        shard.apply(&op.clone());
                    }
                }
                Step::Forget => {
                    let gone: Vec<_> = holders
                        .keys()
                        .filter(|id| lives[&(**id % LIVES)] != **id)
                        .map(|id| Incarnation(*id))
                        .collect();
                    shard.forget(&gone);
                }
                Step::Close { holder: vm } => {
                    let id = lives[&vm];
                    let Some(holder) = holders.get_mut(&id) else {
                        continue;
                    };
                    if holder.pending.is_some() || holder.seq == 0 {
                        continue;
                    }
                    let back = std::mem::take(&mut holder.held);
                    let op = op(id, holder, 0, back, true);
                    sent.push(op.clone());
                    shard.apply(&op);
                    // An incarnation is never used again: its VM goes on with the next.
                    lives.insert(id % LIVES, id + LIVES);
                }
            }
            let total: u64 = holders.values().map(|h| h.held + h.spent).sum();
            prop_assert!(total <= LIMIT, "{total} of {LIMIT} is spent or held");
            let entry = &shard.budgets.get(&budget());
            let drawn = entry.map_or(0, |e| e.drawn.0);
            prop_assert!(drawn <= LIMIT, "{drawn} of {LIMIT} is drawn");
        }
    }
}
