//! The ledger: records in the store how much of each budget was granted to holders.
//!
//! A shard of the ledger is one value of the store with many budgets. A holder spends only tokens
//! that were granted to it, so the sum of all spending stays within the limit, whatever happens to
//! messages, replies, leases or clocks. Every operation carries the holder's own sequence number:
//! an operation that is applied twice, or sent again after its reply was lost, takes effect once.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::amount::{Percent, TokenRate, Tokens};
use crate::ids::{BudgetId, Incarnation, Period, Region, TemplateVersion, VmId, rendezvous_weight};
use crate::seal::{OrphanedSeal, Seal, SealRecord, sealed_part};

/// The base of the horizon, which is the span of demand that a holder may hold ahead.
///
/// The horizon is twice this span at a holder's first operation and doubles with each further one,
/// so that the demand of all holders is known before much is granted.
const BASE_HORIZON: Duration = Duration::from_secs(10);
/// The base horizon is at most the maximum horizon divided by this: the measured rate of a new
/// holder is not reliable yet.
const BASE_HORIZON_DIVISOR: u32 = 16;
/// The maximum number of times that the horizon doubles.
const MAX_DOUBLINGS: u64 = 9;
/// A budget is low when there are fewer than this many requests left for each active holder.
const LOW_SHARE_REQUESTS: u64 = 3;
/// A low budget has one collector for all regions when fewer than this many requests are left.
const SINGLE_COLLECTOR_REQUESTS: u64 = 6;
/// A holder whose rate is below the largest rate divided by this gets its need, but no share:
/// many such holders would make a budget seem low.
const MIN_RATE_DIVISOR: u64 = 32;
/// The maximum number of other holders that a reply lists.
const MAX_OTHER_HOLDERS: usize = 8;
/// The maximum number of removed holders that a shard lists.
const MAX_REMOVED_HOLDERS: usize = 256;
/// The maximum size of an encoded shard, with a margin below the store's limit of 1 MB.
pub const MAX_SHARD_BYTES: usize = 950_000;

/// The terms of a budget as one version of its template states them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetTerms {
    /// The version of the template.
    #[serde(rename = "v")]
    pub version: TemplateVersion,
    /// The period.
    #[serde(rename = "p")]
    pub period: Period,
    /// The limit of the period.
    #[serde(rename = "l")]
    pub limit: Tokens,
}

/// The record of one holder of a budget.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderEntry {
    /// The sequence number of the last operation.
    #[serde(rename = "s")]
    pub seq: u64,
    /// The amount that the last operation granted.
    #[serde(rename = "g")]
    pub granted: Tokens,
    /// The holding after the last operation.
    #[serde(rename = "h")]
    pub held: Tokens,
    /// The holder's demand at its last operation.
    #[serde(rename = "r")]
    pub rate: TokenRate,
    /// The amount that the holder has billed in this period.
    #[serde(rename = "b")]
    pub billed: Tokens,
    /// The amount that the holder has used up without billing it.
    #[serde(rename = "w")]
    pub wasted: Tokens,
    /// The maximum cost of a large recent request.
    #[serde(rename = "u")]
    pub request_size: Tokens,
    /// The holder's region.
    #[serde(rename = "z")]
    pub region: Option<Region>,
    /// Whether the holder has closed. Its record stays, so that old operations have no second
    /// effect.
    #[serde(rename = "c", default, skip_serializing_if = "std::ops::Not::not")]
    pub closed: bool,
    /// The sealed tokens that the holder reported.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub seal: Option<SealRecord>,
    /// The process that may report the holder's unspent tokens, once the holder is removed from the
    /// view.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub witness: Option<Incarnation>,
    /// The amount that the holder's successor or witness returned after the holder had ended.
    #[serde(rename = "y", default, skip_serializing_if = "is_nothing")]
    pub restored: Tokens,
}

/// The record of one budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetEntry {
    /// The newest terms that any holder has sent.
    #[serde(rename = "t")]
    pub terms: BudgetTerms,
    /// The amount that was granted and not returned.
    #[serde(rename = "d")]
    pub drawn: Tokens,
    /// The amount that closed holders have billed in this period.
    #[serde(rename = "b")]
    pub billed: Tokens,
    /// The amount that closed holders have used up without billing it.
    #[serde(rename = "w")]
    pub wasted: Tokens,
    /// The holders.
    #[serde(rename = "h")]
    pub holders: BTreeMap<Incarnation, HolderEntry>,
}

/// A shard: one value of the ledger.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerShard {
    /// The budgets whose ids hash to this shard.
    pub budgets: BTreeMap<BudgetId, BudgetEntry>,
    /// Recently removed holders; their delayed operations must not add them again.
    #[serde(default)]
    pub gone: VecDeque<Incarnation>,
}

/// An operation on the ledger that a holder requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerOp {
    /// The budget.
    pub budget: BudgetId,
    /// The newest terms that the holder has.
    pub terms: BudgetTerms,
    /// The holder.
    pub holder: Incarnation,
    /// The holder's sequence number for this budget and period, from 1 on.
    pub seq: u64,
    /// The minimum grant that waiting requests need; zero if none waits.
    pub need: Tokens,
    /// The amount to return; the holder has already deducted it.
    pub returned: Tokens,
    /// The holding after `returned` was deducted.
    pub held: Tokens,
    /// The holder's demand.
    pub rate: TokenRate,
    /// The maximum cost of a large recent request.
    pub request_size: Tokens,
    /// The holder's region.
    pub region: Region,
    /// The part of the budget that all holders together may hold ahead of demand.
    pub spread: Percent,
    /// The maximum span of demand that the holder may hold ahead.
    pub horizon: Duration,
    /// The amount that the holder has billed in this period.
    pub billed: Tokens,
    /// The amount that the holder has used up without billing it.
    pub wasted: Tokens,
    /// Whether the holder closes and needs no more tokens.
    pub close: bool,
    /// The holder's sealed tokens, if it seals any.
    pub seal: Option<Seal>,
    /// The process that knows which part of the holding is unspent if the holder is removed.
    pub witness: Option<Incarnation>,
    /// Unspent tokens of removed holders for which this holder was the witness.
    pub witness_reports: Vec<WitnessReport>,
}

/// A witness's report on the holding of a removed holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessReport {
    /// The removed holder.
    pub holder: Incarnation,
    /// The part of its holding that it cannot have spent.
    pub amount: Tokens,
}

/// The result of an operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerReply {
    /// The operation was applied to the ledger.
    Applied {
        /// The operation's sequence number.
        seq: u64,
        /// The amount that was granted.
        granted: Tokens,
        /// The amount that remains in the ledger.
        remaining: Tokens,
        /// Other holders with tokens, the largest holding first.
        other_holders: Vec<Incarnation>,
        /// The plan for the holder from now on.
        plan: HoldingPlan,
        /// The sealed tokens of earlier processes on the holder's VM.
        orphaned_seals: Vec<OrphanedSeal>,
    },
    /// The period has ended; the operation had no effect.
    Ended {
        /// The newest terms.
        terms: BudgetTerms,
    },
    /// The ledger has no record of the holder; the operation had no effect.
    UnknownHolder {
        /// The operation's sequence number.
        seq: u64,
    },
    /// The store does not answer; the operation may have been applied.
    StoreUnavailable,
}

/// How much of a budget a holder should hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HoldingPlan {
    /// Hold up to this share ahead of demand.
    Share(Tokens),
    /// The budget is low: collect this much of it, for the region or for all regions.
    Collect(Tokens),
    /// The budget is low: hold nothing and request tokens from this collector.
    Defer(Incarnation),
}

impl fmt::Display for HoldingPlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Share(tokens) => write!(f, "share:{tokens}"),
            Self::Collect(tokens) => write!(f, "collect:{tokens}"),
            Self::Defer(id) => write!(f, "defer:{id}"),
        }
    }
}

/// The error for a value that is not a shard of the ledger.
#[derive(Debug, Error)]
#[error("expected a shard of the ledger in JSON: {0}")]
pub struct ShardError(#[from] serde_json::Error);

impl LedgerShard {
    /// Decodes a value; an absent value is an empty shard.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not JSON of this structure.
    pub fn decode(bytes: Option<&[u8]>) -> Result<Self, ShardError> {
        let Some(bytes) = bytes else {
            return Ok(Self::default());
        };
        Ok(serde_json::from_slice(bytes)?)
    }

    /// Encodes the shard as a value for the store.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // Encoding cannot fail: the map has text keys, and the fields are plain values.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Applies an operation and returns its result.
    pub fn apply(&mut self, op: &LedgerOp) -> LedgerReply {
        if self.gone.contains(&op.holder) {
            return LedgerReply::UnknownHolder { seq: op.seq };
        }
        let entry =
            self.budgets.entry(op.budget.clone()).or_insert_with(|| BudgetEntry::new(op.terms));
        entry.apply(op)
    }

    /// Removes holders whose processes have ended, together with their holdings.
    ///
    /// The holdings stay drawn, since no process knows how much of them was spent.
    pub fn remove_holders(&mut self, removed: &[Incarnation]) {
        for id in removed {
            if self.gone.contains(id) {
                continue;
            }
            self.gone.push_back(*id);
            for entry in self.budgets.values_mut() {
                entry.close(*id);
                entry.remove_holder(*id);
            }
        }
        let excess = self.gone.len().saturating_sub(MAX_REMOVED_HOLDERS);
        self.gone.drain(..excess);
    }
}

impl BudgetEntry {
    fn new(terms: BudgetTerms) -> Self {
        Self {
            terms,
            drawn: Tokens::ZERO,
            billed: Tokens::ZERO,
            wasted: Tokens::ZERO,
            holders: BTreeMap::new(),
        }
    }

    /// Returns the amount that is neither spent nor held.
    #[must_use]
    pub fn remaining(&self) -> Tokens {
        self.terms.limit.saturating_sub(self.drawn)
    }

    /// Returns the amount that was billed in this period, as far as holders have reported it.
    #[must_use]
    pub fn total_billed(&self) -> Tokens {
        let open_billed: Tokens = self.holders.values().map(|h| h.billed).sum();
        self.billed.saturating_add(open_billed)
    }

    fn apply(&mut self, op: &LedgerOp) -> LedgerReply {
        self.update_terms(op.terms);
        if op.terms.period < self.terms.period {
            return LedgerReply::Ended { terms: self.terms };
        }
        let is_known = self.holders.contains_key(&op.holder);
        // A removed holder must not return tokens twice.
        if !is_known && op.seq != 1 {
            return LedgerReply::UnknownHolder { seq: op.seq };
        }
        let holder = self.holders.entry(op.holder).or_default();
        if holder.closed && op.seq > holder.seq {
            return LedgerReply::UnknownHolder { seq: op.seq };
        }
        if op.seq <= holder.seq {
            let granted = if op.seq == holder.seq { holder.granted } else { Tokens::ZERO };
            return self.applied_reply(op, granted);
        }
        self.drawn = self.drawn.saturating_sub(op.returned);
        holder.seq = op.seq;
        holder.held = op.held;
        holder.rate = op.rate;
        holder.request_size = op.request_size;
        holder.region = Some(op.region.clone());
        holder.billed = op.billed;
        holder.wasted = op.wasted;
        self.settle_orphaned_seals(op);
        self.settle_witness_reports(op);
        let granted = self.grant(op);
        let record = op.seal.as_ref().and_then(|seal| seal_record(seal, granted, op.need));
        self.drawn = self.drawn.saturating_add(granted);
        if op.close {
            if let Some(holder) = self.holders.get_mut(&op.holder) {
                holder.seal = None;
                holder.witness = None;
            }
            self.close(op.holder);
        } else if let Some(holder) = self.holders.get_mut(&op.holder) {
            holder.granted = granted;
            holder.held = holder.held.saturating_add(granted);
            holder.seal = record;
            holder.witness = op.witness;
        }
        self.applied_reply(op, granted)
    }

    /// Adds the unspent sealed tokens of earlier processes back to the budget.
    fn settle_orphaned_seals(&mut self, op: &LedgerOp) {
        let claims = op.seal.as_ref().map_or(&[][..], |seal| &seal.claims);
        for claim in claims {
            let holder = self.holders.get_mut(&claim.holder);
            let Some(record) = holder.and_then(|h| h.seal.take()) else {
                continue;
            };
            self.restore_unspent(claim.holder, claim.unspent.min(record.amount));
            self.close(claim.holder);
        }
    }

    /// Adds the tokens that removed holders left unspent, as reported by their witnesses, back to
    /// the budget.
    ///
    /// A holder spends parked tokens only with its witness's permission, and a witness gives no
    /// permission once it has the view without that holder.
    fn settle_witness_reports(&mut self, op: &LedgerOp) {
        for report in &op.witness_reports {
            let holder = self.holders.get_mut(&report.holder);
            let Some(holder) = holder.filter(|h| h.witness == Some(op.holder)) else {
                continue;
            };
            holder.witness = None;
            self.restore_unspent(report.holder, report.amount);
            self.close(report.holder);
        }
    }

    /// Adds unspent tokens of a holder that has ended back to the budget, less those already added:
    /// the seal and the witness's report may cover the same tokens.
    fn restore_unspent(&mut self, id: Incarnation, unspent: Tokens) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        let additional = unspent.saturating_sub(holder.restored);
        holder.restored = holder.restored.saturating_add(additional);
        self.drawn = self.drawn.saturating_sub(additional);
    }

    /// Returns the sealed tokens of earlier processes on a VM.
    fn orphaned_seals(&self, vm: &VmId, holder: Incarnation) -> Vec<OrphanedSeal> {
        let others = self.holders.iter().filter(|(id, _)| **id != holder);
        let sealed = others.filter_map(|(id, h)| Some((*id, h.seal.as_ref()?)));
        let orphan = |(holder, seal): (Incarnation, &SealRecord)| OrphanedSeal {
            holder,
            amount: seal.amount,
            decays_from: seal.decays_from,
            decay_ms: seal.decay_ms,
        };
        sealed.filter(|(_, seal)| seal.vm == *vm).map(orphan).collect()
    }

    fn update_terms(&mut self, terms: BudgetTerms) {
        if terms.version <= self.terms.version {
            return;
        }
        if terms.period > self.terms.period {
            *self = Self::new(terms);
            return;
        }
        if terms.period == self.terms.period {
            self.terms = terms;
        }
    }

    /// Returns the plan for a holder, according to its share of the demand.
    fn plan(&self, op: &LedgerOp) -> HoldingPlan {
        let held: Tokens = self.holders.values().map(|h| h.held).sum();
        let remaining = op.spread.of(self.remaining().saturating_add(held));
        let request_size = self.active_holders().map(|(_, h)| h.request_size.0).max().unwrap_or(0);
        let count = u64::try_from(self.active_holders().count()).unwrap_or(u64::MAX);
        let total_rate: u64 = self.active_holders().map(|(_, h)| h.rate.0).sum();
        if remaining.0 >= count.saturating_mul(request_size).saturating_mul(LOW_SHARE_REQUESTS) {
            let share = remaining.part(op.rate.0, total_rate.max(1));
            // Tokens beyond the horizon would soon be returned where none are parked.
            let max_share = op.rate.over(horizon(op.seq, op.horizon));
            return HoldingPlan::Share(if op.seal.is_some() {
                share.min(max_share)
            } else {
                share
            });
        }
        let single_collector = remaining.0 < request_size.saturating_mul(SINGLE_COLLECTOR_REQUESTS);
        let is_in_scope =
            |h: &HolderEntry| single_collector || h.region.as_ref() == Some(&op.region);
        let scope = || self.active_holders().filter(|(_, h)| is_in_scope(h));
        let budget_key = op.budget.as_str().as_bytes();
        match scope().map(|(id, _)| *id).max_by_key(|id| rendezvous_weight(budget_key, *id)) {
            Some(id) if id != op.holder => HoldingPlan::Defer(id),
            Some(_) if single_collector => HoldingPlan::Collect(self.terms.limit),
            Some(_) => {
                let scope_rate: u64 = scope().map(|(_, h)| h.rate.0).sum();
                HoldingPlan::Collect(remaining.part(scope_rate, total_rate.max(1)))
            }
            None => HoldingPlan::Share(Tokens::ZERO),
        }
    }

    /// Returns the holders whose demand is large enough for a share.
    fn active_holders(&self) -> impl Iterator<Item = (&Incarnation, &HolderEntry)> {
        let max_rate = self.holders.values().map(|h| h.rate.0).max().unwrap_or(0);
        let min_rate = (max_rate / MIN_RATE_DIVISOR).max(1);
        self.holders.iter().filter(move |(_, h)| h.rate.0 >= min_rate)
    }

    /// Returns the amount to grant to a holder: at least its need, if that much remains.
    fn grant(&self, op: &LedgerOp) -> Tokens {
        if op.close {
            return Tokens::ZERO;
        }
        let target = match self.plan(op) {
            HoldingPlan::Share(share) => share.min(op.rate.over(horizon(op.seq, op.horizon))),
            HoldingPlan::Collect(share) => share,
            HoldingPlan::Defer(_) => Tokens::ZERO,
        };
        let mut wanted = target.saturating_sub(op.held);
        if op.seal.is_some() {
            wanted = wanted.min(self.remaining_spread(op.spread));
        }
        wanted.max(op.need).min(self.remaining())
    }

    /// Returns how much more all holders together may hold ahead of demand.
    ///
    /// Shares are computed one after the other, from the rates known at that time. Without this
    /// bound their sum reaches nearly the whole budget shortly after demand has begun.
    fn remaining_spread(&self, spread: Percent) -> Tokens {
        let held: Tokens = self.holders.values().map(|h| h.held).sum();
        spread.of(self.remaining().saturating_add(held)).saturating_sub(held)
    }

    /// Removes the record of a holder whose process has ended, and the records of closed holders
    /// that were kept only for it as their witness.
    fn remove_holder(&mut self, id: Incarnation) {
        let mut ended = vec![id];
        for (other, holder) in self.holders.iter_mut().filter(|(_, h)| h.closed) {
            if holder.witness.take_if(|witness| *witness == id).is_some() {
                ended.push(*other);
            }
        }
        // A record with a seal is kept for the holder's successor, one with a witness for the
        // witness's report.
        let has_claimant = |h: &HolderEntry| h.seal.is_some() || h.witness.is_some();
        for id in ended {
            if self.holders.get(&id).is_some_and(|h| !has_claimant(h)) {
                self.holders.remove(&id);
            }
        }
    }

    /// Closes a holder. Its record stays, so that old operations have no second effect.
    fn close(&mut self, id: Incarnation) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        self.billed = self.billed.saturating_add(std::mem::take(&mut holder.billed));
        self.wasted = self.wasted.saturating_add(std::mem::take(&mut holder.wasted));
        holder.granted = Tokens::ZERO;
        holder.held = Tokens::ZERO;
        holder.rate = TokenRate(0);
        holder.closed = true;
    }

    fn applied_reply(&self, op: &LedgerOp, granted: Tokens) -> LedgerReply {
        let mut largest: Vec<_> = self
            .holders
            .iter()
            .filter(|(id, holder)| **id != op.holder && !holder.held.is_zero())
            .collect();
        largest.sort_by_key(|(id, holder)| (std::cmp::Reverse(holder.held), **id));
        let other_holders =
            largest.into_iter().take(MAX_OTHER_HOLDERS).map(|(id, _)| *id).collect();
        let (seq, remaining, plan) = (op.seq, self.remaining(), self.plan(op));
        let orphaned_seals =
            op.seal.as_ref().map_or_else(Vec::new, |s| self.orphaned_seals(&s.vm, op.holder));
        LedgerReply::Applied { seq, granted, remaining, other_holders, plan, orphaned_seals }
    }
}

/// Returns the record of a holder's seal, with the sealed part of the current grant; `None` if
/// nothing is sealed.
fn seal_record(seal: &Seal, granted: Tokens, need: Tokens) -> Option<SealRecord> {
    let decays_from = seal.decays_from?;
    let amount = seal.amount.saturating_add(sealed_part(granted, need));
    (!amount.is_zero()).then(|| {
        let (vm, decay_ms) = (seal.vm.clone(), seal.decay_ms);
        SealRecord { vm, amount, decays_from, decay_ms }
    })
}

/// Returns whether serde leaves the field out.
#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde asks for a reference")]
fn is_nothing(tokens: &Tokens) -> bool {
    tokens.is_zero()
}

/// Returns the span of demand that a holder may hold ahead.
fn horizon(seq: u64, max_horizon: Duration) -> Duration {
    let base = BASE_HORIZON.min(max_horizon / BASE_HORIZON_DIVISOR);
    base.saturating_mul(1 << seq.min(MAX_DOUBLINGS)).min(max_horizon)
}

/// Returns the shard of a budget.
#[must_use]
pub fn shard_of(budget: &BudgetId, shards: u32) -> u32 {
    let hash = rendezvous_weight(budget.as_str().as_bytes(), Incarnation(0));
    u32::try_from(hash % u64::from(shards.max(1))).unwrap_or(0)
}
