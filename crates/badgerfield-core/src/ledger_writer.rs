//! Writes the ledger changes of many holders in few writes.
//!
//! Any process can do this for any shard; by rank, the processes of a region choose
//! the same one. Nothing depends on that choice being unique: the platform's
//! compare-and-swap orders the writes, and each change has its effect once.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;

use crate::amount::{Time, TokenRate};
use crate::event::{StoreCall, StoreKey, StoreResult, Versioned, is_due};
use crate::ids::{BudgetId, Incarnation, Period};
use crate::ledger::{LedgerOp, LedgerReply, LedgerShard};

/// How many shards are written at the full pace; with more, each is written less often,
/// so that the writes of all together stay the same.
const FULL_PACE: u32 = 8;
/// The least time between two writes of one shard that nobody waits for.
const PACE: Duration = Duration::from_secs(1);
/// The least time between two writes of one shard that a request waits for.
const URGENT_PACE: Duration = Duration::from_millis(100);
/// The same while the last such write had nothing to hand out.
const STARVED_PACE: Duration = Duration::from_millis(300);
/// How long the platform is left alone after it did not answer.
const PAUSE: Duration = Duration::from_secs(1);
/// How many removed holders are remembered.
const MAX_GONE: usize = 256;

/// What became of a change, and for whom it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpResult {
    /// The holder.
    pub holder: Incarnation,
    /// The budget.
    pub budget: BudgetId,
    /// The period.
    pub period: Period,
    /// What became of it.
    pub reply: LedgerReply,
}

#[derive(Debug, Default)]
enum Phase {
    #[default]
    Idle,
    Reading,
    Writing {
        next: LedgerShard,
        replies: Vec<OpResult>,
    },
}

#[derive(Debug, Default)]
struct Shard {
    queue: BTreeMap<(Incarnation, BudgetId), LedgerOp>,
    phase: Phase,
    cached: Option<(LedgerShard, u64)>,
    written: Option<Time>,
    failed: Option<Time>,
    /// Whether the last write had nothing to hand out.
    starved: bool,
}

/// The changes that wait for the platform, by shard.
#[derive(Debug, Default)]
pub struct LedgerWriter {
    shards: BTreeMap<u32, Shard>,
    gone: VecDeque<Incarnation>,
    stretch: u32,
    pace: Duration,
    conflicts: u64,
    writes: u64,
}

impl LedgerWriter {
    /// Makes a writer without changes, of a ledger with a number of shards, for holders that report
    /// this often.
    #[must_use]
    pub fn new(shards: u32, report: Duration) -> Self {
        let stretch = shards.div_ceil(FULL_PACE).max(1);
        Self { stretch, pace: PACE.min(report), ..Self::default() }
    }

    /// Returns how many writes met another value, and how many there were.
    #[must_use]
    pub fn write_counts(&self) -> (u64, u64) {
        (self.conflicts, self.writes)
    }

    /// Returns the present value of a shard as this process last saw it.
    #[must_use]
    pub fn cached(&self, shard: u32) -> Option<&LedgerShard> {
        self.shards.get(&shard)?.cached.as_ref().map(|(value, _)| value)
    }

    /// Remembers holders that were removed, to drop them with the next write.
    pub fn mark_removed(&mut self, gone: impl IntoIterator<Item = Incarnation>) {
        self.gone.extend(gone);
        let excess = self.gone.len().saturating_sub(MAX_GONE);
        self.gone.drain(..excess);
    }

    /// Adds a change; returns a reply at once while the platform is being left alone.
    pub fn add(&mut self, now: Time, shard: u32, op: LedgerOp) -> Option<OpResult> {
        if self.gone.contains(&op.holder) {
            let reply = LedgerReply::UnknownHolder { seq: op.seq };
            let (budget, period) = (op.budget, op.terms.period);
            return Some(OpResult { holder: op.holder, budget, period, reply });
        }
        let state = self.shards.entry(shard).or_default();
        if !is_due(now, state.failed, PAUSE) {
            return Some(down(&op));
        }
        let waiting = state.queue.entry((op.holder, op.budget.clone()));
        let waiting = waiting.or_insert_with(|| op.clone());
        // A message that was overtaken does not replace a later one.
        if waiting.seq < op.seq || waiting.terms.period < op.terms.period {
            *waiting = op;
        }
        None
    }

    /// Returns the calls that are due.
    pub fn next_calls(&mut self, now: Time) -> Vec<(u32, StoreCall)> {
        let mut calls = Vec::new();
        let gone: Vec<_> = self.gone.iter().copied().collect();
        for (id, shard) in &mut self.shards {
            if let Some(call) = shard.next(now, *id, &gone, (self.stretch, self.pace)) {
                calls.push((*id, call));
            }
        }
        calls
    }

    /// Takes in the platform's answer; returns what became of changes.
    pub fn handle_result(&mut self, now: Time, id: u32, result: StoreResult) -> Vec<OpResult> {
        let Some(shard) = self.shards.get_mut(&id) else {
            return Vec::new();
        };
        match (std::mem::take(&mut shard.phase), result) {
            (Phase::Reading, StoreResult::Value(found)) => shard.learn(now, &found),
            (Phase::Writing { next, replies }, StoreResult::Written(revision)) => {
                self.writes += 1;
                shard.cached = Some((next, revision));
                shard.written = Some(now);
                shard.settle(replies)
            }
            (Phase::Writing { .. }, StoreResult::Conflict(found)) => {
                self.conflicts += 1;
                self.writes += 1;
                shard.learn(now, &found)
            }
            // The write may have taken effect; a read tells, and is made at once.
            (Phase::Writing { .. }, StoreResult::Unknown) => {
                shard.cached = None;
                shard.written = None;
                Vec::new()
            }
            (_, StoreResult::Refused | StoreResult::Unknown) => shard.give_up(now),
            (phase, _) => {
                shard.phase = phase;
                Vec::new()
            }
        }
    }
}

impl Shard {
    fn next(
        &mut self,
        now: Time,
        id: u32,
        gone: &[Incarnation],
        (stretch, slow): (u32, Duration),
    ) -> Option<StoreCall> {
        if !matches!(self.phase, Phase::Idle) || self.queue.is_empty() {
            return None;
        }
        let urgent = self.queue.values().any(is_urgent);
        let pace = match (urgent, self.starved) {
            (true, false) => URGENT_PACE,
            (true, true) => STARVED_PACE,
            (false, _) => slow,
        };
        if !is_due(now, self.written, pace.saturating_mul(stretch))
            || !is_due(now, self.failed, PAUSE)
        {
            return None;
        }
        let name = StoreKey::Ledger(id);
        let Some((value, revision)) = &self.cached else {
            self.phase = Phase::Reading;
            return Some(StoreCall::Get(name));
        };
        let mut next = value.clone();
        next.remove_holders(gone);
        let replies = apply(&mut next, &self.queue);
        let value = Bytes::from(next.encode());
        let expect = *revision;
        self.phase = Phase::Writing { next, replies };
        Some(StoreCall::CompareAndSwap { key: name, expected_revision: expect, value })
    }

    fn learn(&mut self, now: Time, found: &Versioned) -> Vec<OpResult> {
        self.written = None;
        if let Ok(value) = LedgerShard::decode(found.value.as_deref()) {
            self.cached = Some((value, found.revision));
            Vec::new()
        } else {
            self.cached = None;
            self.give_up(now)
        }
    }

    fn settle(&mut self, replies: Vec<OpResult>) -> Vec<OpResult> {
        self.starved = !replies.iter().any(|r| handed_out(&r.reply));
        for reply in &replies {
            let id = (reply.holder, reply.budget.clone());
            let done = self.queue.get(&id).is_some_and(|op| answers(op, &reply.reply));
            if done {
                self.queue.remove(&id);
            }
        }
        replies
    }

    fn give_up(&mut self, now: Time) -> Vec<OpResult> {
        self.failed = Some(now);
        let queue = std::mem::take(&mut self.queue);
        queue.values().map(down).collect()
    }
}

fn apply(
    shard: &mut LedgerShard,
    queue: &BTreeMap<(Incarnation, BudgetId), LedgerOp>,
) -> Vec<OpResult> {
    let mut replies = Vec::new();
    for op in queue.values() {
        let reply = shard.apply(op);
        replies.push(OpResult {
            holder: op.holder,
            budget: op.budget.clone(),
            period: op.terms.period,
            reply,
        });
    }
    replies
}

/// Tells whether somebody waits for a change, or could use what it gives back.
///
/// What a holder that seals has too much of in the course of things waits for the usual
/// pace, and so does what it unseals, since it leaves enough open; what a process gives back
/// that stops or borrows does not wait.
fn is_urgent(op: &LedgerOp) -> bool {
    let keeps_on = op.seal.is_some() && op.rate > TokenRate(0);
    let gives = !op.returned.is_zero() && !keeps_on;
    op.close || gives || !op.need.is_zero()
}

fn handed_out(reply: &LedgerReply) -> bool {
    matches!(reply, LedgerReply::Applied { granted, .. } if !granted.is_zero())
}

/// Tells whether a reply is the answer to a change, and not to one before it.
fn answers(op: &LedgerOp, reply: &LedgerReply) -> bool {
    match reply {
        LedgerReply::Applied { seq, .. } | LedgerReply::UnknownHolder { seq } => op.seq <= *seq,
        LedgerReply::Ended { .. } | LedgerReply::StoreUnavailable => true,
    }
}

fn down(op: &LedgerOp) -> OpResult {
    let (budget, period) = (op.budget.clone(), op.terms.period);
    OpResult { holder: op.holder, budget, period, reply: LedgerReply::StoreUnavailable }
}
