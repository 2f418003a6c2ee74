//! The ledger: spending rights of many budgets, kept in one value of the platform.
//!
//! The value records how much of each budget was handed out. A holder spends only
//! out of what it was handed, so the sum of all spending stays within the limit
//! whatever happens to messages, replies, leases or clocks. Every change carries
//! the holder's own sequence number: a change that is applied twice, or read again
//! after its reply was lost, has its effect once.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::amount::{Percent, TokenRate, Tokens};
use crate::ids::{BudgetId, Incarnation, Period, Region, TemplateVersion, VmId, rendezvous_weight};
use crate::seal::{Orphan, Seal, SealRecord, sealed_part};

/// How much demand, in time, a holder may hold after its first change; it doubles with
/// each further change, so that the demand of all is known before much is handed out.
const FIRST_HORIZON: Duration = Duration::from_secs(10);
/// The first horizon is at most this part of the longest one: the rate of a holder that
/// has just begun is little known.
const FIRST_PART: u32 = 16;
/// How often the horizon doubles.
const MAX_DOUBLINGS: u64 = 9;
/// A budget is low when the share of a holder is less than this many requests.
const LOW: u64 = 3;
/// A low budget is collected in one place when this many requests are left of it.
const LAST: u64 = 6;
/// A holder with less than this part of the largest demand gets what it needs, and no
/// share: many such holders would make a budget look low.
const FAINT: u64 = 32;
/// How many other holders a reply names.
const MAX_NAMED: usize = 8;
/// How many forgotten holders a shard remembers.
const MAX_GONE: usize = 256;
/// The largest encoded shard, with room left below the service's limit of 1 MB.
pub const MAX_SHARD: usize = 950_000;

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

/// One holder's part in a budget.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderEntry {
    /// The sequence number of the last change.
    #[serde(rename = "s")]
    pub seq: u64,
    /// What the last change handed out.
    #[serde(rename = "g")]
    pub granted: Tokens,
    /// What the holder had after the last change.
    #[serde(rename = "h")]
    pub held: Tokens,
    /// The holder's demand when it made the last change.
    #[serde(rename = "r")]
    pub rate: TokenRate,
    /// What the holder has billed in this period.
    #[serde(rename = "b")]
    pub billed: Tokens,
    /// What the holder has used up without billing it.
    #[serde(rename = "w")]
    pub wasted: Tokens,
    /// What a large request of late can cost.
    #[serde(rename = "u")]
    pub unit: Tokens,
    /// The holder's region.
    #[serde(rename = "z")]
    pub region: Option<Region>,
    /// Whether the holder has closed; it stays here so that old changes do not count again.
    #[serde(rename = "c", default, skip_serializing_if = "std::ops::Not::not")]
    pub closed: bool,
    /// What the holder said of its sealed tokens.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub seal: Option<SealRecord>,
    /// Who may say what the holder left untouched, once it is removed from the view.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub witness: Option<Incarnation>,
    /// What was given back for the holder after its end, by its successor or its witness.
    #[serde(rename = "y", default, skip_serializing_if = "is_nothing")]
    pub restored: Tokens,
}

/// One budget's record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetEntry {
    /// The newest terms that any holder has shown.
    #[serde(rename = "t")]
    pub terms: BudgetTerms,
    /// What was handed out and not given back.
    #[serde(rename = "d")]
    pub drawn: Tokens,
    /// What holders that have closed billed in this period.
    #[serde(rename = "b")]
    pub billed: Tokens,
    /// What holders that have closed used up without billing it.
    #[serde(rename = "w")]
    pub wasted: Tokens,
    /// The holders.
    #[serde(rename = "h")]
    pub holders: BTreeMap<Incarnation, HolderEntry>,
}

/// One value of the ledger.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerShard {
    /// The budgets whose names fall into this shard.
    pub budgets: BTreeMap<BudgetId, BudgetEntry>,
    /// Holders that were forgotten of late, whose old changes must not make them anew.
    #[serde(default)]
    pub gone: VecDeque<Incarnation>,
}

/// A change that a holder asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerOp {
    /// The budget.
    pub budget: BudgetId,
    /// The terms that the holder knows.
    pub terms: BudgetTerms,
    /// The holder.
    pub holder: Incarnation,
    /// The holder's sequence number for this budget and period, from 1 on.
    pub seq: u64,
    /// The least that would help now; zero if nothing waits.
    pub need: Tokens,
    /// What is given back; the holder has already deducted it.
    pub returned: Tokens,
    /// What the holder has left, without what is given back.
    pub held: Tokens,
    /// The holder's demand.
    pub rate: TokenRate,
    /// What a large request of late can cost.
    pub request_size: Tokens,
    /// The holder's region.
    pub region: Region,
    /// How much of the budget holders may hold ahead of demand.
    pub spread: Percent,
    /// The longest demand, in time, that the holder may hold ahead.
    pub horizon: Duration,
    /// What the holder has billed in this period.
    pub billed: Tokens,
    /// What the holder has used up without billing it.
    pub wasted: Tokens,
    /// Whether the holder is closing and wants nothing more.
    pub close: bool,
    /// What the holder says about its sealed tokens, if it seals any.
    pub seal: Option<Seal>,
    /// Who knows what of the holding is untouched, should the holder be gone.
    pub witness: Option<Incarnation>,
    /// What removed holders had left untouched, as this holder knows that was their witness.
    pub witness_reports: Vec<WitnessReport>,
}

/// What a witness knows of the holding of a removed holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessReport {
    /// The removed holder.
    pub holder: Incarnation,
    /// How much of its holding it cannot have spent.
    pub amount: Tokens,
}

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerReply {
    /// The change is in the ledger.
    Applied {
        /// The change's sequence number.
        seq: u64,
        /// What was handed out.
        granted: Tokens,
        /// What is left in the ledger.
        remaining: Tokens,
        /// Other holders with something left, the richest first.
        other_holders: Vec<Incarnation>,
        /// How the holder should hold the budget from now on.
        plan: HoldingPlan,
        /// Sealed tokens of earlier processes of the holder's VM.
        orphaned_seals: Vec<Orphan>,
    },
    /// The period has ended; nothing of the change took effect.
    Ended {
        /// The newest terms.
        terms: BudgetTerms,
    },
    /// The ledger does not know the holder; nothing of the change took effect.
    UnknownHolder {
        /// The change's sequence number.
        seq: u64,
    },
    /// The platform does not answer; the change may have taken effect.
    StoreUnavailable,
}

/// How a holder should hold a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HoldingPlan {
    /// Hold up to this share ahead of demand.
    Share(Tokens),
    /// The budget is low: hold this much of it, for the region or for everybody.
    Collect(Tokens),
    /// The budget is low: leave it to this holder and ask there.
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

/// Why a value is not a shard of the ledger.
#[derive(Debug, Error)]
#[error("expected a shard of the ledger in JSON: {0}")]
pub struct ShardError(#[from] serde_json::Error);

impl LedgerShard {
    /// Decodes a value; an absent one is an empty shard.
    ///
    /// # Errors
    ///
    /// Refuses what is not JSON of this shape.
    pub fn decode(bytes: Option<&[u8]>) -> Result<Self, ShardError> {
        let Some(bytes) = bytes else {
            return Ok(Self::default());
        };
        Ok(serde_json::from_slice(bytes)?)
    }

    /// Encodes the shard as the value that the platform keeps.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // A map with typed text keys and plain fields always has a JSON form.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Applies one change and returns what became of it.
    pub fn apply(&mut self, op: &LedgerOp) -> LedgerReply {
        if self.gone.contains(&op.holder) {
            return LedgerReply::UnknownHolder { seq: op.seq };
        }
        let entry =
            self.budgets.entry(op.budget.clone()).or_insert_with(|| BudgetEntry::new(op.terms));
        entry.apply(op)
    }

    /// Forgets holders that are known to be gone and drops what they held.
    ///
    /// What they held stays drawn: nobody can tell what they spent of it.
    pub fn remove_holders(&mut self, gone: &[Incarnation]) {
        for id in gone {
            if self.gone.contains(id) {
                continue;
            }
            self.gone.push_back(*id);
            for entry in self.budgets.values_mut() {
                entry.close(*id);
                entry.forget(*id);
            }
        }
        let excess = self.gone.len().saturating_sub(MAX_GONE);
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

    /// Returns what is neither spent nor held.
    #[must_use]
    pub fn remaining(&self) -> Tokens {
        self.terms.limit.saturating_sub(self.drawn)
    }

    /// Returns what is billed in this period as far as holders have reported it.
    #[must_use]
    pub fn total_billed(&self) -> Tokens {
        let live: Tokens = self.holders.values().map(|h| h.billed).sum();
        self.billed.saturating_add(live)
    }

    fn apply(&mut self, op: &LedgerOp) -> LedgerReply {
        self.learn(op.terms);
        if op.terms.period < self.terms.period {
            return LedgerReply::Ended { terms: self.terms };
        }
        let known = self.holders.contains_key(&op.holder);
        // A holder that was forgotten must not give back twice.
        if !known && op.seq != 1 {
            return LedgerReply::UnknownHolder { seq: op.seq };
        }
        let holder = self.holders.entry(op.holder).or_default();
        if holder.closed && op.seq > holder.seq {
            return LedgerReply::UnknownHolder { seq: op.seq };
        }
        if op.seq <= holder.seq {
            let granted = if op.seq == holder.seq { holder.granted } else { Tokens::ZERO };
            return self.applied(op, granted);
        }
        self.drawn = self.drawn.saturating_sub(op.returned);
        holder.seq = op.seq;
        holder.held = op.held;
        holder.rate = op.rate;
        holder.unit = op.request_size;
        holder.region = Some(op.region.clone());
        holder.billed = op.billed;
        holder.wasted = op.wasted;
        self.settle_orphans(op);
        self.settle_untouched(op);
        let granted = self.grant(op);
        let record = op.seal.as_ref().and_then(|seal| record_of(seal, granted, op.need));
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
        self.applied(op, granted)
    }

    /// Settles the sealed tokens of earlier processes: what is untouched goes back.
    fn settle_orphans(&mut self, op: &LedgerOp) {
        let claims = op.seal.as_ref().map_or(&[][..], |seal| &seal.claims);
        for claim in claims {
            let holder = self.holders.get_mut(&claim.holder);
            let Some(record) = holder.and_then(|h| h.seal.take()) else {
                continue;
            };
            self.restore(claim.holder, claim.unspent.min(record.amount));
            self.close(claim.holder);
        }
    }

    /// Takes back what witnesses know that removed holders left untouched.
    ///
    /// A holder spends nothing of it without its witness, which allows nothing more once it has
    /// seen the view without that holder.
    fn settle_untouched(&mut self, op: &LedgerOp) {
        for found in &op.witness_reports {
            let holder = self.holders.get_mut(&found.holder);
            let Some(holder) = holder.filter(|h| h.witness == Some(op.holder)) else {
                continue;
            };
            holder.witness = None;
            self.restore(found.holder, found.amount);
            self.close(found.holder);
        }
    }

    /// Takes back what a holder that has ended left untouched, beyond what was taken back of it
    /// before: what a seal and a witness say may be the same tokens.
    fn restore(&mut self, id: Incarnation, untouched: Tokens) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        let more = untouched.saturating_sub(holder.restored);
        holder.restored = holder.restored.saturating_add(more);
        self.drawn = self.drawn.saturating_sub(more);
    }

    /// Returns the sealed tokens of earlier processes of a VM.
    fn orphans(&self, vm: &VmId, holder: Incarnation) -> Vec<Orphan> {
        let others = self.holders.iter().filter(|(id, _)| **id != holder);
        let sealed = others.filter_map(|(id, h)| Some((*id, h.seal.as_ref()?)));
        let orphan = |(holder, seal): (Incarnation, &SealRecord)| Orphan {
            holder,
            amount: seal.amount,
            at: seal.sealed_at,
            falls_ms: seal.decay_ms,
        };
        sealed.filter(|(_, seal)| seal.vm == *vm).map(orphan).collect()
    }

    fn learn(&mut self, terms: BudgetTerms) {
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

    /// Decides how a holder should hold the budget, by its share of the demand.
    fn plan(&self, op: &LedgerOp) -> HoldingPlan {
        let held: Tokens = self.holders.values().map(|h| h.held).sum();
        let remaining = op.spread.of(self.remaining().saturating_add(held));
        let unit = self.busy().map(|(_, h)| h.unit.0).max().unwrap_or(0);
        let count = u64::try_from(self.busy().count()).unwrap_or(u64::MAX);
        let rates: u64 = self.busy().map(|(_, h)| h.rate.0).sum();
        if remaining.0 >= count.saturating_mul(unit).saturating_mul(LOW) {
            let share = remaining.part(op.rate.0, rates.max(1));
            // Where nothing is parked, what exceeds the horizon goes back soon.
            let most = op.rate.over(horizon(op.seq, op.horizon));
            return HoldingPlan::Share(if op.seal.is_some() { share.min(most) } else { share });
        }
        let last = remaining.0 < unit.saturating_mul(LAST);
        let near = |h: &HolderEntry| last || h.region.as_ref() == Some(&op.region);
        let scope = || self.busy().filter(|(_, h)| near(h));
        let subject = op.budget.as_str().as_bytes();
        match scope().map(|(id, _)| *id).max_by_key(|id| rendezvous_weight(subject, *id)) {
            Some(id) if id != op.holder => HoldingPlan::Defer(id),
            Some(_) if last => HoldingPlan::Collect(self.terms.limit),
            Some(_) => {
                let rate: u64 = scope().map(|(_, h)| h.rate.0).sum();
                HoldingPlan::Collect(remaining.part(rate, rates.max(1)))
            }
            None => HoldingPlan::Share(Tokens::ZERO),
        }
    }

    /// Returns the holders that have demand worth a share.
    fn busy(&self) -> impl Iterator<Item = (&Incarnation, &HolderEntry)> {
        let most = self.holders.values().map(|h| h.rate.0).max().unwrap_or(0);
        let least = (most / FAINT).max(1);
        self.holders.iter().filter(move |(_, h)| h.rate.0 >= least)
    }

    /// Decides how much a holder gets: never less than it needs, if that is left.
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
            wanted = wanted.min(self.ahead_left(op.spread));
        }
        wanted.max(op.need).min(self.remaining())
    }

    /// Returns how much more may be held ahead of demand by all holders together.
    ///
    /// Shares are reckoned one after the other, by the rates that are known then; without
    /// this bound their sum comes to nearly the whole budget while demand is young.
    fn ahead_left(&self, spread: Percent) -> Tokens {
        let held: Tokens = self.holders.values().map(|h| h.held).sum();
        spread.of(self.remaining().saturating_add(held)).saturating_sub(held)
    }

    /// Drops the record of a holder that is gone, and of those that wait for it as their witness.
    fn forget(&mut self, id: Incarnation) {
        let mut ended = vec![id];
        for (other, holder) in self.holders.iter_mut().filter(|(_, h)| h.closed) {
            if holder.witness.take_if(|witness| *witness == id).is_some() {
                ended.push(*other);
            }
        }
        // What is sealed waits for the holder's successor, and the rest for its witness.
        let waits = |h: &HolderEntry| h.seal.is_some() || h.witness.is_some();
        for id in ended {
            if self.holders.get(&id).is_some_and(|h| !waits(h)) {
                self.holders.remove(&id);
            }
        }
    }

    /// Ends a holder's part; its record stays, so that old changes do not count again.
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

    fn applied(&self, op: &LedgerOp, granted: Tokens) -> LedgerReply {
        let mut rich: Vec<_> = self
            .holders
            .iter()
            .filter(|(id, holder)| **id != op.holder && !holder.held.is_zero())
            .collect();
        rich.sort_by_key(|(id, holder)| (std::cmp::Reverse(holder.held), **id));
        let others = rich.into_iter().take(MAX_NAMED).map(|(id, _)| *id).collect();
        let (seq, left, plan) = (op.seq, self.remaining(), self.plan(op));
        let orphans = op.seal.as_ref().map_or_else(Vec::new, |s| self.orphans(&s.vm, op.holder));
        LedgerReply::Applied {
            seq,
            granted,
            remaining: left,
            other_holders: others,
            plan,
            orphaned_seals: orphans,
        }
    }
}

/// Returns what the ledger keeps of what a holder says, with the sealed part of what it is
/// granted now; nothing if it promises nothing.
fn record_of(seal: &Seal, granted: Tokens, need: Tokens) -> Option<SealRecord> {
    let at = seal.sealed_at?;
    let amount = seal.amount.saturating_add(sealed_part(granted, need));
    (!amount.is_zero()).then(|| {
        let (vm, falls_ms) = (seal.vm.clone(), seal.decay_ms);
        SealRecord { vm, amount, sealed_at: at, decay_ms: falls_ms }
    })
}

/// Tells serde what to leave out, which hands over references.
#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde asks for a reference")]
fn is_nothing(tokens: &Tokens) -> bool {
    tokens.is_zero()
}

/// Returns how much demand a holder may hold ahead of time.
fn horizon(seq: u64, ahead: Duration) -> Duration {
    let first = FIRST_HORIZON.min(ahead / FIRST_PART);
    first.saturating_mul(1 << seq.min(MAX_DOUBLINGS)).min(ahead)
}

/// Returns the shard that a budget falls into.
#[must_use]
pub fn shard_of(budget: &BudgetId, shards: u32) -> u32 {
    let hash = rendezvous_weight(budget.as_str().as_bytes(), Incarnation(0));
    u32::try_from(hash % u64::from(shards.max(1))).unwrap_or(0)
}
