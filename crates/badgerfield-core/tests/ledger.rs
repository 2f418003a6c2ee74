//! Tests of the ledger: an operation takes effect once, even if it is delivered twice, late or out
//! of order, and the ledger never grants more than the limit.

use std::collections::BTreeMap;

use badgerfield_core::amount::{Percent, TokenRate, Tokens};
use badgerfield_core::ids::{BudgetId, Incarnation, Period, Region, TemplateVersion};
use badgerfield_core::ledger::{BudgetTerms, LedgerOp, LedgerReply, LedgerShard, WitnessReport};
use badgerfield_core::seal::{FleetTime, Seal, SealClaim, SealRecord};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const LIMIT: u64 = 10_000;
/// The number of VMs. Each incarnation of a VM is a holder.
const VMS: u64 = 4;

/// The reference model of a holder: its tokens according to the replies it has received.
#[derive(Debug, Default)]
struct Holder {
    seq: u64,
    held: u64,
    spent: u64,
    pending: Option<LedgerOp>,
}

#[derive(Debug, Clone)]
enum Step {
    /// A holder sends an operation, which is delivered `deliveries` times. If `first_replies_lost`
    /// is set, the holder receives only the last reply.
    Draw {
        holder: u64,
        need: u64,
        returned: u64,
        deliveries: usize,
        first_replies_lost: bool,
    },
    Spend {
        holder: u64,
        amount: u64,
    },
    /// An earlier operation is delivered again.
    Replay {
        index: usize,
    },
    Close {
        holder: u64,
    },
    /// The holders of all earlier incarnations are removed.
    Remove,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..4_u64, 0..3000_u64, 0..2000_u64, 1..4_usize, any::<bool>())
            .prop_map(|(holder, need, returned, deliveries, first_replies_lost)| Step::Draw { holder, need, returned, deliveries, first_replies_lost }),
        4 => (0..4_u64, 0..2000_u64).prop_map(|(holder, amount)| Step::Spend { holder, amount }),
        2 => (0..50_usize).prop_map(|index| Step::Replay { index }),
        1 => (0..4_u64).prop_map(|holder| Step::Close { holder }),
        1 => Just(Step::Remove),
    ]
}

fn budget() -> BudgetId {
    "account/main".parse().expect("the name is valid")
}

fn op(id: u64, holder: &mut Holder, need: u64, returned: u64, close: bool) -> LedgerOp {
    holder.seq += 1;
    let region: Region = "north".parse().expect("the name is valid");
    LedgerOp {
        budget: budget(),
        terms: BudgetTerms { version: TemplateVersion(1), period: Period(1), limit: Tokens(LIMIT) },
        holder: Incarnation(id),
        seq: holder.seq,
        need: Tokens(need),
        returned: Tokens(returned),
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

/// Delivers an operation and applies the first received reply to the model.
fn send(
    shard: &mut LedgerShard,
    holder: &mut Holder,
    op: &LedgerOp,
    deliveries: usize,
    first_replies_lost: bool,
) {
    for delivery in 0..deliveries {
        let reply = shard.apply(op);
        if first_replies_lost && delivery + 1 < deliveries {
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

    /// Guards against grants beyond the limit when operations are repeated or their replies are
    /// lost.
    #[test]
    fn grants_stay_within_the_limit(steps in proptest::collection::vec(step(), 1..80)) {
        let mut shard = LedgerShard::default();
        let mut holders: BTreeMap<u64, Holder> = BTreeMap::new();
        let mut sent: Vec<LedgerOp> = Vec::new();
        let mut incarnations: BTreeMap<u64, u64> = (0..VMS).map(|id| (id, id)).collect();
        for step in steps {
            match step {
                Step::Draw { holder: vm, need, returned, deliveries, first_replies_lost } => {
                    let id = incarnations[&vm];
                    let holder = holders.entry(id).or_default();
                    // A holder repeats an operation without a reply before it makes the next one.
                    if let Some(pending) = holder.pending.clone() {
                        send(&mut shard, holder, &pending, deliveries, first_replies_lost);
                        continue;
                    }
                    let returned = if holder.seq == 0 { 0 } else { returned.min(holder.held) };
                    holder.held -= returned;
                    let op = op(id, holder, need, returned, false);
                    holder.pending = Some(op.clone());
                    sent.push(op.clone());
                    send(&mut shard, holder, &op, deliveries, first_replies_lost);
                }
                Step::Spend { holder: vm, amount } => {
                    let id = incarnations[&vm];
                    let holder = holders.entry(id).or_default();
                    let amount = amount.min(holder.held);
                    holder.held -= amount;
                    holder.spent += amount;
                }
                Step::Replay { index } => {
                    if let Some(op) = sent.get(index % sent.len().max(1)) {
                        shard.apply(&op.clone());
                    }
                }
                Step::Remove => {
                    let removed: Vec<_> = holders
                        .keys()
                        .filter(|id| incarnations[&(**id % VMS)] != **id)
                        .map(|id| Incarnation(*id))
                        .collect();
                    shard.remove_holders(&removed);
                }
                Step::Close { holder: vm } => {
                    let id = incarnations[&vm];
                    let Some(holder) = holders.get_mut(&id) else {
                        continue;
                    };
                    if holder.pending.is_some() || holder.seq == 0 {
                        continue;
                    }
                    let returned = std::mem::take(&mut holder.held);
                    let op = op(id, holder, 0, returned, true);
                    sent.push(op.clone());
                    shard.apply(&op);
                    // Incarnations are not reused; the VM continues with the next one.
                    incarnations.insert(id % VMS, id + VMS);
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
/// The amount that the holder draws in [`drawn_ledger`], and the part of it that is sealed.
const DRAWN: u64 = 1000;
const SEALED: u64 = 300;

/// Creates a ledger from which one holder with a witness and a seal has drawn tokens.
fn drawn_ledger() -> LedgerShard {
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
    let decays_from = Some(FleetTime(1));
    let (amount, unsealed) = (Tokens(amount), Tokens::ZERO);
    Seal { vm, amount, unsealed, decays_from, decay_ms: 10_000, claims: claims.to_vec() }
}

/// Creates the first operation of a process that reports the holder's unspent tokens as witness.
fn witness_op(id: u64, amount: u64) -> LedgerOp {
    let mut op = op(id, &mut Holder::default(), 0, 0, true);
    op.witness_reports =
        vec![WitnessReport { holder: Incarnation(HOLDER), amount: Tokens(amount) }];
    op
}

/// Creates the first operation of a successor that claims all of the holder's sealed tokens.
fn successor_op() -> LedgerOp {
    let mut op = op(SUCCESSOR, &mut Holder::default(), 0, 0, true);
    let claim = SealClaim { holder: Incarnation(HOLDER), unspent: Tokens(u64::MAX) };
    op.seal = Some(seal("vm-1", 0, &[claim]));
    op
}

fn remaining(shard: &LedgerShard) -> u64 {
    shard.budgets[&budget()].remaining().0
}

/// Guards against unspent tokens of a removed holder that are added back more than once, when the
/// witness repeats its report or another process sends it too.
#[test]
fn witness_report_is_applied_once() {
    let mut shard = drawn_ledger();
    assert_eq!(remaining(&shard), LIMIT - DRAWN);
    shard.remove_holders(&[Incarnation(HOLDER)]);
    shard.apply(&witness_op(WITNESS, 700));
    assert_eq!(remaining(&shard), LIMIT - DRAWN + 700);
    // A second operation with the report, and one from another process, have no effect.
    let mut repeated = witness_op(WITNESS, 700);
    repeated.seq = 2;
    shard.apply(&repeated);
    shard.apply(&witness_op(9, 700));
    assert_eq!(remaining(&shard), LIMIT - DRAWN + 700);
}

/// Guards against reports from a process that is not the holder's witness, which would return
/// tokens that the holder still spends.
#[test]
fn only_the_recorded_witness_can_report() {
    let mut shard = drawn_ledger();
    shard.apply(&witness_op(9, 700));
    assert_eq!(remaining(&shard), LIMIT - DRAWN);
}

/// Guards against tokens that are added back twice because both the successor's claim and the
/// witness's report cover them.
#[test]
fn tokens_both_sealed_and_witnessed_are_restored_once() {
    for seal_first in [true, false] {
        let mut shard = drawn_ledger();
        shard.remove_holders(&[Incarnation(HOLDER)]);
        let mut ops = [successor_op(), witness_op(WITNESS, 700)];
        if !seal_first {
            ops.reverse();
        }
        for op in &ops {
            shard.apply(op);
        }
        // The claim and the report cover the same tokens; the larger amount is unspent.
        assert_eq!(remaining(&shard), LIMIT - DRAWN + 700, "seal first: {seal_first}");
    }
}

/// Guards against a holder that is still running and draws or returns tokens after its witness has
/// reported them as unspent.
#[test]
fn operations_after_the_witness_report_have_no_effect() {
    let mut shard = drawn_ledger();
    shard.apply(&witness_op(WITNESS, 700));
    let mut holder = Holder { seq: 1, ..Holder::default() };
    let reply = shard.apply(&op(HOLDER, &mut holder, 500, 300, false));
    assert!(matches!(reply, LedgerReply::UnknownHolder { .. }), "{reply:?}");
    assert_eq!(remaining(&shard), LIMIT - DRAWN + 700);
}

/// Guards against records of closed holders that stay in the ledger after their witness is removed,
/// and against reports from a removed witness. While the witness can still report, the record
/// stays.
#[test]
fn closed_holder_is_removed_with_its_witness() {
    let mut shard = drawn_ledger();
    shard.apply(&successor_op());
    shard.remove_holders(&[Incarnation(HOLDER)]);
    assert!(shard.budgets[&budget()].holders.contains_key(&Incarnation(HOLDER)));
    shard.remove_holders(&[Incarnation(WITNESS)]);
    shard.apply(&witness_op(WITNESS, 700));
    let returned = LIMIT - DRAWN + SEALED;
    assert_eq!(remaining(&shard), returned, "the report of a removed witness must have no effect");
}

/// Guards against claims to sealed tokens that the holder may have spent. A holder of an older
/// version promises the whole amount for 3.2 s and nothing after, and its record has no decay span.
/// A promise that decays would last longer than that.
#[test]
fn seal_without_decay_span_yields_nothing() {
    let older = r#"{"v":"vm-1","a":5000,"t":1000}"#;
    let record: SealRecord = serde_json::from_str(older).expect("an older record");
    assert_eq!(record.unspent_at(FleetTime(1000)), Tokens::ZERO);
    let newer = SealRecord { decay_ms: 10_000, ..record };
    assert_eq!(newer.unspent_at(FleetTime(3500)), Tokens(3750));
    assert_eq!(newer.unspent_at(FleetTime(11_000)), Tokens::ZERO);
}
