//! The ledger against a naive one: changes that come twice, late or out of order have
//! their effect once, and never is more handed out than the limit.

use std::collections::BTreeMap;

use badgerfield_core::amount::{Percent, TokenRate, Tokens};
use badgerfield_core::ids::{BudgetId, Incarnation, Period, Region, TemplateVersion};
use badgerfield_core::ledger::{BudgetTerms, LedgerOp, LedgerReply, LedgerShard, WitnessReport};
use badgerfield_core::seal::{FleetTime, Seal, SealClaim, SealRecord};
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
        terms: BudgetTerms { version: TemplateVersion(1), period: Period(1), limit: Tokens(LIMIT) },
        holder: Incarnation(id),
        seq: holder.seq,
        need: Tokens(need),
        returned: Tokens(back),
        held: Tokens(holder.held),
        rate: TokenRate(10),
        request_size: Tokens(100),
        region,
        horizon: std::time::Duration::from_secs(7200),
        spread: Percent::new(80).expect("a share"),
        billed: Tokens(holder.spent),
        wasted: Tokens::ZERO,
        close,
        seal: None,
        witness: None,
        witness_reports: Vec::new(),
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
                    shard.remove_holders(&gone);
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

const HOLDER: u64 = 1;
const WITNESS: u64 = 2;
const SUCCESSOR: u64 = 3;
/// What the holder draws in [`held`], and what of it is sealed in the ledger.
const DRAWN: u64 = 1000;
const SEALED: u64 = 300;

/// Makes a ledger of which one holder has drawn a part, with a witness and a seal.
fn held() -> LedgerShard {
    let mut shard = LedgerShard::default();
    let mut holder = Holder::default();
    let mut draw = op(HOLDER, &mut holder, DRAWN, 0, false);
    draw.witness = Some(Incarnation(WITNESS));
    draw.seal = Some(seal("vm-1", SEALED, &[]));
    shard.apply(&draw);
    shard
}

fn seal(vm: &str, amount: u64, claims: &[SealClaim]) -> Seal {
    let vm = vm.parse().expect("the name is valid");
    let at = Some(FleetTime(1));
    let (amount, released) = (Tokens(amount), Tokens::ZERO);
    Seal {
        vm,
        amount,
        unsealed: released,
        sealed_at: at,
        decay_ms: 10_000,
        claims: claims.to_vec(),
    }
}

/// Makes the first change of a process that says what the holder left untouched.
fn witnessed(id: u64, amount: u64) -> LedgerOp {
    let mut change = op(id, &mut Holder::default(), 0, 0, true);
    change.witness_reports =
        vec![WitnessReport { holder: Incarnation(HOLDER), amount: Tokens(amount) }];
    change
}

/// Makes the first change of a successor that found the holder's seal unbroken.
fn unsealed() -> LedgerOp {
    let mut change = op(SUCCESSOR, &mut Holder::default(), 0, 0, true);
    let claim = SealClaim { holder: Incarnation(HOLDER), unspent: Tokens(u64::MAX) };
    change.seal = Some(seal("vm-1", 0, &[claim]));
    change
}

fn left(shard: &LedgerShard) -> u64 {
    shard.budgets[&budget()].remaining().0
}

#[test]
fn what_a_witness_knows_to_be_untouched_comes_back_once() {
    let mut shard = held();
    assert_eq!(left(&shard), LIMIT - DRAWN);
    shard.remove_holders(&[Incarnation(HOLDER)]);
    shard.apply(&witnessed(WITNESS, 700));
    assert_eq!(left(&shard), LIMIT - DRAWN + 700);
    // Another change that says so again, and one of another process, have no effect.
    let mut again = witnessed(WITNESS, 700);
    again.seq = 2;
    shard.apply(&again);
    shard.apply(&witnessed(9, 700));
    assert_eq!(left(&shard), LIMIT - DRAWN + 700);
}

#[test]
fn only_the_named_witness_gives_back_for_a_holder() {
    let mut shard = held();
    shard.apply(&witnessed(9, 700));
    assert_eq!(left(&shard), LIMIT - DRAWN);
}

#[test]
fn what_is_sealed_and_witnessed_comes_back_once() {
    for seal_first in [true, false] {
        let mut shard = held();
        shard.remove_holders(&[Incarnation(HOLDER)]);
        let mut changes = [unsealed(), witnessed(WITNESS, 700)];
        if !seal_first {
            changes.reverse();
        }
        for change in &changes {
            shard.apply(change);
        }
        // The same tokens are sealed and witnessed; the larger of both figures is untouched.
        assert_eq!(left(&shard), LIMIT - DRAWN + 700, "seal first: {seal_first}");
    }
}

#[test]
fn a_holder_for_which_its_witness_spoke_changes_nothing_more() {
    let mut shard = held();
    shard.apply(&witnessed(WITNESS, 700));
    let mut holder = Holder { seq: 1, ..Holder::default() };
    let reply = shard.apply(&op(HOLDER, &mut holder, 500, 300, false));
    assert!(matches!(reply, LedgerReply::UnknownHolder { .. }), "{reply:?}");
    assert_eq!(left(&shard), LIMIT - DRAWN + 700);
}

#[test]
fn a_holder_is_forgotten_with_its_witness() {
    let mut shard = held();
    shard.apply(&unsealed());
    shard.remove_holders(&[Incarnation(HOLDER)]);
    assert!(shard.budgets[&budget()].holders.contains_key(&Incarnation(HOLDER)));
    shard.remove_holders(&[Incarnation(WITNESS)]);
    shard.apply(&witnessed(WITNESS, 700));
    let back = LIMIT - DRAWN + SEALED;
    assert_eq!(left(&shard), back, "a removed witness gives nothing back");
}

#[test]
fn nothing_is_claimed_of_a_holder_that_does_not_say_how_its_promise_falls() {
    // One of an older version keeps its promise whole for 3.2 s and then not at all: what it had
    // sealed may be spent while the promise of a newer one would still hold.
    let older = r#"{"v":"vm-1","a":5000,"t":1000}"#;
    let record: SealRecord = serde_json::from_str(older).expect("an older record");
    assert_eq!(record.unspent_at(FleetTime(1000)), Tokens::ZERO);
    let newer = SealRecord { decay_ms: 10_000, ..record };
    assert_eq!(newer.unspent_at(FleetTime(3500)), Tokens(3750));
    assert_eq!(newer.unspent_at(FleetTime(11_000)), Tokens::ZERO);
}
