//! Combines the ledger operations of many holders into few writes.
//!
//! Any process can be the writer of any shard; the processes of a region choose the same one by
//! rank. Correctness does not depend on a unique writer: the store's compare-and-swap orders the
//! writes, and each operation takes effect once.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;

use crate::amount::{Time, TokenRate};
use crate::event::{StoreCall, StoreKey, StoreResult, Versioned, is_due};
use crate::ids::{BudgetId, Incarnation, Period};
use crate::ledger::{LedgerOp, LedgerReply, LedgerShard};

/// The maximum number of shards that are written at the full rate. With more shards, each is
/// written less often, so that the total write rate stays the same.
const MAX_FULL_RATE_SHARDS: u32 = 8;
/// The minimum interval between writes of a shard for which no request waits.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// The minimum interval between writes of a shard for which a request waits.
const URGENT_WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// The same interval if the last write granted no tokens.
const EXHAUSTED_WRITE_INTERVAL: Duration = Duration::from_millis(300);
/// The delay before the next call for a shard after the store did not answer.
const STORE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// The maximum number of removed holders to keep.
const MAX_REMOVED_HOLDERS: usize = 256;

/// The result of an operation, with the holder that requested it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpResult {
    /// The holder.
    pub holder: Incarnation,
    /// The budget.
    pub budget: BudgetId,
    /// The period.
    pub period: Period,
    /// The result.
    pub reply: LedgerReply,
}

#[derive(Debug, Default)]
enum Phase {
    #[default]
    Idle,
    Reading,
    Writing {
        next: LedgerShard,
        results: Vec<OpResult>,
    },
}

#[derive(Debug, Default)]
struct Shard {
    queue: BTreeMap<(Incarnation, BudgetId), LedgerOp>,
    phase: Phase,
    /// The last value read or written, with its revision in the store.
    cached: Option<(LedgerShard, u64)>,
    last_write: Option<Time>,
    last_failure: Option<Time>,
    /// Whether the last write granted no tokens.
    is_exhausted: bool,
}

/// The operations that wait to be written, by shard.
#[derive(Debug, Default)]
pub struct LedgerWriter {
    shards: BTreeMap<u32, Shard>,
    removed: VecDeque<Incarnation>,
    /// The factor by which all intervals are extended if there are many shards.
    interval_factor: u32,
    default_interval: Duration,
    conflicts: u64,
    writes: u64,
}

impl LedgerWriter {
    /// Creates a writer without operations for a ledger with `shards` shards and holders that
    /// report every `report_interval`.
    #[must_use]
    pub fn new(shards: u32, report_interval: Duration) -> Self {
        let interval_factor = shards.div_ceil(MAX_FULL_RATE_SHARDS).max(1);
        Self {
            interval_factor,
            default_interval: WRITE_INTERVAL.min(report_interval),
            ..Self::default()
        }
    }

    /// Returns the number of writes that had a conflict, and of all writes.
    #[must_use]
    pub fn write_counts(&self) -> (u64, u64) {
        (self.conflicts, self.writes)
    }

    /// Returns the last value of a shard that this process has read or written.
    #[must_use]
    pub fn cached(&self, shard: u32) -> Option<&LedgerShard> {
        self.shards.get(&shard)?.cached.as_ref().map(|(value, _)| value)
    }

    /// Marks holders as removed, to remove them from each shard with its next write.
    pub fn mark_removed(&mut self, removed: impl IntoIterator<Item = Incarnation>) {
        self.removed.extend(removed);
        let excess = self.removed.len().saturating_sub(MAX_REMOVED_HOLDERS);
        self.removed.drain(..excess);
    }

    /// Queues an operation.
    ///
    /// Returns a result at once if the holder is removed, or during the delay after a failed call.
    pub fn add(&mut self, now: Time, shard: u32, op: LedgerOp) -> Option<OpResult> {
        if self.removed.contains(&op.holder) {
            let reply = LedgerReply::UnknownHolder { seq: op.seq };
            let (budget, period) = (op.budget, op.terms.period);
            return Some(OpResult { holder: op.holder, budget, period, reply });
        }
        let shard_state = self.shards.entry(shard).or_default();
        if !is_due(now, shard_state.last_failure, STORE_RETRY_DELAY) {
            return Some(store_unavailable(&op));
        }
        let queued = shard_state.queue.entry((op.holder, op.budget.clone()));
        let queued = queued.or_insert_with(|| op.clone());
        // An operation that arrives late does not replace a newer one.
        if queued.seq < op.seq || queued.terms.period < op.terms.period {
            *queued = op;
        }
        None
    }

    /// Returns the calls that are due, and marks them as begun.
    pub fn next_calls(&mut self, now: Time) -> Vec<(u32, StoreCall)> {
        let mut calls = Vec::new();
        let removed: Vec<_> = self.removed.iter().copied().collect();
        for (id, shard) in &mut self.shards {
            if let Some(call) =
                shard.next_call(now, *id, &removed, (self.interval_factor, self.default_interval))
            {
                calls.push((*id, call));
            }
        }
        calls
    }

    /// Handles a result from the store; returns the results of operations.
    pub fn handle_result(&mut self, now: Time, id: u32, result: StoreResult) -> Vec<OpResult> {
        let Some(shard) = self.shards.get_mut(&id) else {
            return Vec::new();
        };
        match (std::mem::take(&mut shard.phase), result) {
            (Phase::Reading, StoreResult::Value(found)) => shard.apply_value(now, &found),
            (Phase::Writing { next, results }, StoreResult::Written(revision)) => {
                self.writes += 1;
                shard.cached = Some((next, revision));
                shard.last_write = Some(now);
                shard.complete_ops(results)
            }
            (Phase::Writing { .. }, StoreResult::Conflict(found)) => {
                self.conflicts += 1;
                self.writes += 1;
                shard.apply_value(now, &found)
            }
            // The write may have taken effect; the next call is a read, which is due at once.
            (Phase::Writing { .. }, StoreResult::Unknown) => {
                shard.cached = None;
                shard.last_write = None;
                Vec::new()
            }
            (_, StoreResult::Refused | StoreResult::Unknown) => shard.fail_all(now),
            (phase, _) => {
                shard.phase = phase;
                Vec::new()
            }
        }
    }
}

impl Shard {
    fn next_call(
        &mut self,
        now: Time,
        id: u32,
        removed: &[Incarnation],
        (interval_factor, default_interval): (u32, Duration),
    ) -> Option<StoreCall> {
        if !matches!(self.phase, Phase::Idle) || self.queue.is_empty() {
            return None;
        }
        let has_urgent = self.queue.values().any(is_urgent);
        let interval = match (has_urgent, self.is_exhausted) {
            (true, false) => URGENT_WRITE_INTERVAL,
            (true, true) => EXHAUSTED_WRITE_INTERVAL,
            (false, _) => default_interval,
        };
        if !is_due(now, self.last_write, interval.saturating_mul(interval_factor))
            || !is_due(now, self.last_failure, STORE_RETRY_DELAY)
        {
            return None;
        }
        let key = StoreKey::Ledger(id);
        let Some((value, revision)) = &self.cached else {
            self.phase = Phase::Reading;
            return Some(StoreCall::Get(key));
        };
        let mut next = value.clone();
        next.remove_holders(removed);
        let results = apply_queue(&mut next, &self.queue);
        let value = Bytes::from(next.encode());
        let expected_revision = *revision;
        self.phase = Phase::Writing { next, results };
        Some(StoreCall::CompareAndSwap { key, expected_revision, value })
    }

    fn apply_value(&mut self, now: Time, found: &Versioned) -> Vec<OpResult> {
        self.last_write = None;
        if let Ok(value) = LedgerShard::decode(found.value.as_deref()) {
            self.cached = Some((value, found.revision));
            Vec::new()
        } else {
            self.cached = None;
            self.fail_all(now)
        }
    }

    fn complete_ops(&mut self, results: Vec<OpResult>) -> Vec<OpResult> {
        self.is_exhausted = !results.iter().any(|r| has_grant(&r.reply));
        for result in &results {
            let id = (result.holder, result.budget.clone());
            let is_done = self.queue.get(&id).is_some_and(|op| is_answered_by(op, &result.reply));
            if is_done {
                self.queue.remove(&id);
            }
        }
        results
    }

    fn fail_all(&mut self, now: Time) -> Vec<OpResult> {
        self.last_failure = Some(now);
        let queue = std::mem::take(&mut self.queue);
        queue.values().map(store_unavailable).collect()
    }
}

fn apply_queue(
    shard: &mut LedgerShard,
    queue: &BTreeMap<(Incarnation, BudgetId), LedgerOp>,
) -> Vec<OpResult> {
    let mut results = Vec::new();
    for op in queue.values() {
        let reply = shard.apply(op);
        results.push(OpResult {
            holder: op.holder,
            budget: op.budget.clone(),
            period: op.terms.period,
            reply,
        });
    }
    results
}

/// Returns whether a request waits for an operation, or other holders could use the tokens that it
/// returns.
///
/// The regular returns of an active holder that seals, and the tokens it unseals, are written at
/// the usual interval, since such a holder keeps enough tokens unsealed. Tokens returned by a
/// process that stops or borrows are written without that delay.
fn is_urgent(op: &LedgerOp) -> bool {
    let is_active = op.seal.is_some() && op.rate > TokenRate(0);
    let returns_tokens = !op.returned.is_zero() && !is_active;
    op.close || returns_tokens || !op.need.is_zero()
}

fn has_grant(reply: &LedgerReply) -> bool {
    matches!(reply, LedgerReply::Applied { granted, .. } if !granted.is_zero())
}

/// Returns whether a reply answers this operation, rather than an earlier one.
fn is_answered_by(op: &LedgerOp, reply: &LedgerReply) -> bool {
    match reply {
        LedgerReply::Applied { seq, .. } | LedgerReply::UnknownHolder { seq } => op.seq <= *seq,
        LedgerReply::Ended { .. } | LedgerReply::StoreUnavailable => true,
    }
}

fn store_unavailable(op: &LedgerOp) -> OpResult {
    let (budget, period) = (op.budget.clone(), op.terms.period);
    OpResult { holder: op.holder, budget, period, reply: LedgerReply::StoreUnavailable }
}
