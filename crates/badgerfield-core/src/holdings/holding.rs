//! The tokens that a process may spend of one budget in one period.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use super::demand::RequestSizes;
use super::local_holder::{LocalHolder, Sealing};
use super::pending_loans::PendingLoans;
use super::promises::{Promise, Promises};
use super::return_stats::ReturnStats;
use super::waiting::Waiter;
use crate::amount::{Percent, Time, TokenRate, Tokens};
use crate::ids::{BudgetId, Incarnation, Region};
use crate::ledger::{BudgetTerms, HoldingPlan, LedgerOp, WitnessReport};
use crate::message::TokenRequest;
use crate::rate_meter::RateMeter;
use crate::refusal::Refusal;
use crate::seal::{FleetClock, OrphanedSeal, Seal, SealClaim, millis};

/// How much demand, in time, a holding keeps available; the rest is parked.
const WORKING_SPAN: Duration = Duration::from_secs(1);

/// A holding that no request has used for this long is returned to the ledger.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// How much demand, in time, is left unsealed. Sealed tokens normally become free at the rate at
/// which they are used; this reserve covers a late report and bursts of requests.
const UNSEALED_SPAN: Duration = Duration::from_millis(2000);
/// The measured demand of a holding counts as current if a request has used the holding within this
/// time.
const RECENT_USE: Duration = Duration::from_secs(1);
/// One `BURST_DIVISOR`-th of the unsealed tokens is not counted on for the expected demand, since
/// requests come in bursts and the measured demand lags behind.
const BURST_DIVISOR: u64 = 4;
/// A holding is rebalanced when its unsealed amount differs from the target by more than one
/// `MARGIN_DIVISOR`-th of the target.
const MARGIN_DIVISOR: u64 = 8;
/// The largest part of a holding that is left unsealed for its demand. `min_unsealed` may ask for
/// more.
const MAX_UNSEALED_PERCENT: u64 = 40;

/// A holding is topped up when it lacks at least one `TOP_UP_DIVISOR`-th of its share.
const TOP_UP_DIVISOR: u64 = 4;

/// The state of a search for tokens.
#[derive(Debug, Clone)]
pub(crate) enum Search {
    /// Waits for the witness to release parked tokens.
    Witness { since: Time },
    /// Waits for a lender, or for the collector of a low budget.
    Lender { since: Time, tried: Vec<Incarnation> },
    /// Waits for the ledger.
    Ledger { since: Time },
    /// Waits for the peers in `unanswered`. `max_available` is the most that one of the other peers
    /// may have available later.
    Peers { since: Time, unanswered: BTreeSet<Incarnation>, max_available: Tokens },
}

/// The tokens that the witness has on record as unspent, as seen by their owner.
///
/// They are part of the free and sealed tokens. The holding must retain at least this many until
/// the witness has acknowledged a smaller amount.
#[derive(Debug, Clone, Default)]
pub(crate) struct Parked {
    pub(crate) witness: Option<Incarnation>,
    pub(crate) seq: u64,
    /// The amount that the witness has acknowledged last.
    pub(crate) total: Tokens,
    /// The amount that the witness has not acknowledged yet, and when it was sent last.
    pub(crate) sent: Option<(Tokens, Option<Time>)>,
}

/// The state of a holding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HoldingState {
    /// Serves requests.
    Open,
    /// The process is stopping. The holding draws no more tokens and returns those it does not
    /// need.
    Retiring,
    /// The ledger has confirmed that all tokens were returned.
    Closed,
}

/// The tokens that a process may spend of one budget.
#[derive(Debug, Clone)]
pub(crate) struct Holding {
    pub(crate) terms: BudgetTerms,
    pub(crate) region: Region,
    pub(crate) spread: Percent,
    pub(crate) horizon: Duration,
    /// Tokens that are neither reserved nor sealed. The parked part of them is not available.
    pub(crate) free: Tokens,
    /// Tokens reserved for running requests.
    pub(crate) reserved: Tokens,
    pub(crate) billed: Tokens,
    pub(crate) wasted: Tokens,
    pub(crate) parked: Parked,
    pub(crate) seq: u64,
    /// The operation that the ledger has not confirmed, and when it was sent last.
    pub(crate) op: Option<(LedgerOp, Option<Time>)>,
    pub(crate) op_attempts: u32,
    /// Whether the store counts as unavailable because no member that was asked could write the
    /// pending operation.
    pub(crate) store_down: bool,
    pub(crate) last_op_at: Option<Time>,
    pub(crate) reported: (Tokens, Tokens),
    /// How many tokens the ledger has on record as held here.
    pub(crate) ledger_held: Tokens,
    /// How many tokens the ledger had left when it replied last.
    pub(crate) remaining: Option<Tokens>,
    pub(crate) other_holders: Vec<Incarnation>,
    /// How the ledger wants this process to hold the budget.
    pub(crate) plan: HoldingPlan,
    /// The lenders of this process; empty if it holds tokens of its own.
    pub(crate) lenders: Vec<Incarnation>,
    /// Whether this process is a backup lender.
    pub(crate) is_backup: bool,
    /// Tokens reserved and lent, and how many of them came back unused.
    pub(super) returns: ReturnStats,
    /// When tokens were last lent.
    pub(crate) lent_at: Option<Time>,
    /// When a prefetch was last requested.
    pub(crate) prefetched_at: Option<Time>,
    /// Requests that lenders have not answered.
    pub(super) pending_loans: PendingLoans,
    pub(crate) waiters: VecDeque<Waiter>,
    pub(crate) search: Option<Search>,
    /// Requests from other holders that wait until the tokens here are no longer parked.
    pub(crate) deferred: Vec<(Incarnation, TokenRequest)>,
    pub(crate) used_at: Time,
    pub(crate) largest_request: Tokens,
    pub(crate) meter: RateMeter,
    pub(super) request_sizes: RequestSizes,
    /// When tokens were last forwarded to a lender or to the collector.
    pub(crate) forwarded_at: Option<Time>,
    /// Whether all tokens are to be returned because the limit of the budget was lowered.
    pub(crate) return_all: bool,
    /// Held tokens that are sealed.
    pub(crate) sealed: Tokens,
    /// Sealed tokens that the pending operation returns. They must not be spent.
    pub(crate) returning_sealed: Tokens,
    /// Tokens that the pending operation unseals.
    pub(crate) unsealing: Tokens,
    /// The promises about sealed tokens that the ledger may have on record.
    pub(super) promises: Promises,
    /// Sealed tokens of earlier processes of this VM that are not claimed yet.
    pub(crate) orphaned_seals: Vec<OrphanedSeal>,
    /// Unspent tokens of removed holders whose witness was this process.
    pub(crate) witness_reports: Vec<WitnessReport>,
    pub(crate) state: HoldingState,
    /// The last refusal, when it was made, and the smallest need that was refused.
    pub(crate) last_refusal: Option<(Refusal, Time, Tokens)>,
    /// When a search found that no holder had enough tokens left, and the smallest need that the
    /// expected returns of running requests do not cover.
    pub(crate) exhausted: Option<(Time, Tokens)>,
}

impl Holding {
    pub(crate) fn new(
        now: Time,
        terms: BudgetTerms,
        (spread, horizon): (Percent, Duration),
        region: Region,
    ) -> Self {
        Self {
            terms,
            region,
            spread,
            horizon,
            free: Tokens::ZERO,
            reserved: Tokens::ZERO,
            billed: Tokens::ZERO,
            wasted: Tokens::ZERO,
            parked: Parked::default(),
            seq: 0,
            op: None,
            op_attempts: 0,
            store_down: false,
            last_op_at: None,
            reported: (Tokens::ZERO, Tokens::ZERO),
            ledger_held: Tokens::ZERO,
            remaining: None,
            other_holders: Vec::new(),
            plan: HoldingPlan::Share(Tokens::MAX),
            lenders: Vec::new(),
            is_backup: false,
            returns: ReturnStats::default(),
            lent_at: None,
            prefetched_at: None,
            pending_loans: PendingLoans::default(),
            waiters: VecDeque::new(),
            search: None,
            deferred: Vec::new(),
            used_at: now,
            largest_request: Tokens::ZERO,
            meter: RateMeter::default(),
            request_sizes: RequestSizes::default(),
            forwarded_at: None,
            return_all: false,
            sealed: Tokens::ZERO,
            returning_sealed: Tokens::ZERO,
            unsealing: Tokens::ZERO,
            promises: Promises::default(),
            orphaned_seals: Vec::new(),
            witness_reports: Vec::new(),
            state: HoldingState::Open,
            last_refusal: None,
            exhausted: None,
        }
    }

    /// Returns the tokens that are neither spent nor reserved, parked or not.
    pub(crate) fn unspent(&self) -> Tokens {
        self.free.saturating_add(self.sealed_total())
    }

    /// Returns the free and sealed tokens that the witness has no record of. Only these may leave
    /// the holding.
    pub(crate) fn unparked(&self) -> Tokens {
        self.unspent().saturating_sub(self.parked_amount())
    }

    /// Returns the tokens of the pending operation that were free before they were returned.
    pub(crate) fn returning_free(&self) -> Tokens {
        let returned = self.op.as_ref().map_or(Tokens::ZERO, |(op, _)| op.returned);
        returned.saturating_sub(self.returning_sealed)
    }

    /// Returns whether the witness has all remaining tokens on record, so that this process may
    /// stop.
    pub(crate) fn is_fully_parked(&self) -> bool {
        let is_idle = self.reserved.is_zero() && self.waiters.is_empty();
        let has_witness = self.parked.witness.is_some() && self.parked.sent.is_none();
        // Until the pending operation is answered, no other process knows of the tokens it returns
        // or of its witness reports.
        let is_recorded = self
            .op
            .as_ref()
            .is_none_or(|(op, _)| op.returned.is_zero() && op.witness_reports.is_empty());
        is_idle
            && is_recorded
            && has_witness
            && !self.parked.total.is_zero()
            && self.unparked().is_zero()
    }

    /// Returns the tokens that can be spent at once.
    pub(crate) fn available(&self) -> Tokens {
        self.free.min(self.unparked())
    }

    /// Returns the tokens that are sealed or whose unsealing is not confirmed.
    pub(crate) fn sealed_total(&self) -> Tokens {
        self.sealed.saturating_add(self.unsealing)
    }

    /// Drops parked tokens, sealed ones first.
    pub(crate) fn drop_parked(&mut self) {
        let parked = self.parked_amount();
        deduct(parked, [&mut self.sealed, &mut self.free, &mut self.unsealing]);
        self.parked.total = Tokens::ZERO;
        self.parked.sent = None;
    }

    /// Writes off tokens that an upstream used beyond a reservation, free ones first. Otherwise
    /// they would be spent a second time.
    pub(crate) fn write_off(&mut self, excess: Tokens) {
        deduct(excess, [&mut self.free, &mut self.unsealing, &mut self.sealed]);
    }

    /// Returns how many of the sealed tokens the ledger counts as unspent.
    fn promised(&self, now: Time) -> Tokens {
        let returning = if self.op.is_some() { self.returning_sealed } else { Tokens::ZERO };
        let confirmed = self.promises.confirmed(now).saturating_sub(returning);
        confirmed.max(self.promises.pending(now))
    }

    /// Unseals the tokens whose seals have expired.
    pub(crate) fn unseal_due(&mut self, now: Time) {
        let due = self.sealed_total().saturating_sub(self.promised(now));
        deduct(due, [&mut self.unsealing, &mut self.sealed]);
        self.free = self.free.saturating_add(due);
    }

    /// Applies the confirmation of the pending operation, which granted `sealed` and `free` tokens.
    pub(super) fn confirm_op(&mut self, now: Time, sealed: Tokens, free: Tokens) {
        self.promises.confirm(sealed);
        self.returning_sealed = Tokens::ZERO;
        // The unsealed tokens become free, except for those that a sending of the operation promised.
        let unsealed = std::mem::take(&mut self.unsealing);
        self.sealed = self.sealed.saturating_add(unsealed).saturating_add(sealed);
        let due = self.sealed.saturating_sub(self.promised(now)).min(unsealed);
        self.sealed = self.sealed.saturating_sub(due);
        self.free = self.free.saturating_add(free).saturating_add(due);
    }

    /// Takes tokens out to return them to the ledger, sealed ones first, then free ones. Returns both
    /// amounts, free ones first.
    ///
    /// Until the ledger has applied the return, the promise on record still covers sealed tokens. If
    /// this process ended before, free ones would be lost.
    fn take_return(&mut self, amount: Tokens) -> (Tokens, Tokens) {
        let sealed = amount.min(self.sealed).min(self.unparked());
        self.sealed = self.sealed.saturating_sub(sealed);
        let free = self.take(amount.saturating_sub(sealed));
        (free, sealed)
    }

    /// Seals tokens beyond those needed soon, or unseals tokens if too few are free.
    fn rebalance(&mut self, now: Time) {
        let keep = self.total_need().saturating_add(self.unsealed_target(now));
        let margin = keep.part(1, MARGIN_DIVISOR);
        if self.free > keep.saturating_add(margin) {
            let excess = self.free.saturating_sub(keep);
            self.free = keep;
            self.sealed = self.sealed.saturating_add(excess);
            return;
        }
        if self.free.saturating_add(margin) > keep {
            return;
        }
        let shortage = keep.saturating_sub(self.free).min(self.sealed);
        self.sealed = self.sealed.saturating_sub(shortage);
        self.unsealing = self.unsealing.saturating_add(shortage);
    }

    /// Returns whether much less is held than the share named by the ledger while the ledger has
    /// tokens left. The share must be drawn before the store fails, because requests need it during
    /// the outage.
    pub(crate) fn is_below_share(&self) -> bool {
        let HoldingPlan::Share(share) = self.plan else {
            return false;
        };
        let has_more = self.remaining.is_some_and(|remaining| !remaining.is_zero());
        let shortage = share.saturating_sub(self.unspent());
        let min_shortage = self.largest_request.max(share.part(1, TOP_UP_DIVISOR));
        has_more && !self.largest_request.is_zero() && shortage >= min_shortage
    }

    /// Returns whether many more tokens are unsealed than needed.
    pub(crate) fn has_excess_unsealed(&self, now: Time) -> bool {
        let keep = self.total_need().saturating_add(self.unsealed_target(now));
        self.free > keep.saturating_add(keep.part(1, 2))
    }

    /// Returns how many tokens to leave unsealed: as many as requests may need before the next
    /// report to the ledger can unseal more, and before a seal expires.
    fn unsealed_target(&self, now: Time) -> Tokens {
        let demand = self.meter.rate(now).over(UNSEALED_SPAN);
        // One request's worth is left unsealed only where it will be spent soon.
        let is_soon_spent = self.is_soon_spent(demand);
        let target = if is_soon_spent { demand.max(self.largest_request) } else { demand };
        let target = target.min(self.unspent().part(MAX_UNSEALED_PERCENT, 100));
        target.max(self.min_unsealed())
    }

    /// Makes the seal of a new operation. The promise is renewed only if the store is known to be
    /// reachable; otherwise requests must be able to use the tokens as the earlier promise decays.
    fn make_seal(&mut self, now: Time, sealing: &Sealing, close: bool) -> Seal {
        if !close {
            self.rebalance(now);
        }
        let promise = if sealing.is_store_reachable(now) {
            Promise::new(now, self.sealed, self.unsealed_span(now))
        } else {
            self.continued_promise(now)
        };
        let decays_from = sealing.clock.time_at(promise.decays_from);
        match decays_from {
            Some(_) => self.promises.record_pending(promise),
            None => self.promises.clear_pending(),
        }
        let claims = sealing.clock.started_at.map_or_else(Vec::new, |started| {
            let claim =
                |e: OrphanedSeal| SealClaim { holder: e.holder, unspent: e.unspent_at(started) };
            std::mem::take(&mut self.orphaned_seals).into_iter().map(claim).collect()
        });
        let (vm, amount, unsealed) = (sealing.vm.clone(), promise.amount, self.unsealing);
        let decay_ms = millis(promise.decay_span);
        Seal { vm, amount, unsealed, decays_from, decay_ms, claims }
    }

    /// Returns the promise that is kept now, without renewing it. It covers no more than is sealed;
    /// the earlier promises stay on record here as long as the ledger may have them.
    fn continued_promise(&self, now: Time) -> Promise {
        let promise = self.promises.continued(now, self.returning_sealed);
        Promise { amount: promise.amount.min(self.sealed), ..promise }
    }

    /// Returns how long the unsealed tokens are expected to last. Until then the promise need not
    /// decay: if all VMs lost power, unsealed and decayed tokens would be lost together.
    ///
    /// It is zero if a single request may cost more than twice the demand of [`UNSEALED_SPAN`]: it
    /// would need all unsealed tokens at once. It is also zero if no request came lately: requests
    /// that have moved to other holders ask for the tokens from there.
    fn unsealed_span(&self, now: Time) -> Duration {
        let rate = self.meter.rate(now);
        let is_steady = self.is_soon_spent(rate.over(UNSEALED_SPAN));
        let is_recent = now.since(self.used_at) < RECENT_USE;
        if rate == TokenRate(0) || !is_steady || !is_recent {
            return Duration::ZERO;
        }
        let unsealed = self.free.saturating_add(self.unsealing).saturating_sub(self.total_need());
        let expected = unsealed.saturating_sub(unsealed.part(1, BURST_DIVISOR));
        Duration::from_millis(expected.0.saturating_mul(1000) / rate.0)
    }

    /// Returns whether a demand makes it likely that one request's worth is spent soon.
    fn is_soon_spent(&self, demand: Tokens) -> bool {
        demand.saturating_add(demand) >= self.largest_request
    }

    /// Updates the seal of the pending operation before the operation is sent again.
    ///
    /// Tokens that were sealed when the operation was made may be in use by now. What the promise
    /// still covers is repeated: a record without it would replace the one that the ledger has, and
    /// all tokens would be lost if all processes ended before the next operation.
    pub(crate) fn restamp_seal(&mut self, now: Time, clock: FleetClock) {
        let promise = self.continued_promise(now);
        let Some(seal) = self.op.as_mut().and_then(|(op, _)| op.seal.as_mut()) else {
            return;
        };
        seal.amount = promise.amount;
        seal.decays_from = clock.time_at(promise.decays_from);
        seal.decay_ms = millis(promise.decay_span);
        if seal.decays_from.is_some() {
            self.promises.record_resend(now, promise);
        }
    }

    /// Returns the parked tokens, including an amount that the witness has not acknowledged.
    pub(crate) fn parked_amount(&self) -> Tokens {
        let sent = self.parked.sent.map_or(Tokens::ZERO, |(total, _)| total);
        self.parked.total.max(sent)
    }

    /// Returns the available tokens beyond the needs of waiting requests.
    pub(crate) fn spare(&self) -> Tokens {
        self.available().saturating_sub(self.total_need())
    }

    /// Returns the tokens that can be returned to the ledger now.
    pub(crate) fn returnable(&self) -> Tokens {
        self.spare().saturating_add(self.sealed_total()).min(self.unparked())
    }

    /// Returns the tokens held beyond the share named by the ledger.
    pub(crate) fn surplus(&self, now: Time) -> Tokens {
        let share = match self.plan {
            HoldingPlan::Share(share) | HoldingPlan::Collect(share) => share,
            // Free tokens are forwarded to the collector. Sealed ones would stay here while requests
            // for them are refused elsewhere, since each report seals them anew.
            HoldingPlan::Defer(_) => return self.sealed,
        };
        let ample = share.saturating_add(share.part(1, 4)).saturating_add(self.working_target(now));
        if self.unspent() <= ample {
            return Tokens::ZERO;
        }
        self.unspent().saturating_sub(share).saturating_sub(self.total_need())
    }

    /// Returns how many tokens to keep available.
    pub(crate) fn working_target(&self, now: Time) -> Tokens {
        let demand = self.meter.rate(now).over(WORKING_SPAN);
        // One request's worth is kept available only where it will be spent soon, because available
        // tokens are lost when this process crashes.
        if self.is_soon_spent(demand) { demand.max(self.largest_request) } else { demand }
    }

    /// Returns whether this process borrows instead of holding tokens of its own.
    pub(crate) fn is_borrower(&self) -> bool {
        !self.lenders.is_empty()
    }

    /// Returns whether this process may draw from the ledger, as a holder or as a backup lender.
    pub(crate) fn can_draw(&self) -> bool {
        !self.is_borrower() || self.is_backup
    }

    /// Returns the most that may be available here after requests have returned unused tokens.
    pub(crate) fn max_available(&self, now: Time) -> Tokens {
        let expected = self.returns.expected_returns(now, self.reserved);
        self.unspent().saturating_add(expected)
    }

    /// Returns whether this many tokens may become available here after requests have returned
    /// unused tokens.
    pub(crate) fn can_give(&self, now: Time, need: Tokens) -> bool {
        self.max_available(now) >= need && self.expects_returns(now)
    }

    /// Returns whether tokens are left here or may be returned.
    pub(crate) fn has_more(&self, now: Time) -> bool {
        !self.unspent().is_zero() || self.expects_returns(now)
    }

    /// Returns whether requests, here or at borrowers, may return tokens.
    pub(crate) fn expects_returns(&self, now: Time) -> bool {
        !self.returns.expected_returns(now, self.reserved).is_zero()
    }

    /// Returns whether requests wait here, or an answer to this holding is outstanding.
    pub(crate) fn is_busy(&self) -> bool {
        let is_waiting = !self.waiters.is_empty() || self.search.is_some();
        is_waiting || self.op.is_some() || self.parked.sent.is_some()
    }

    /// Returns whether no request has used the holding for [`IDLE_TIMEOUT`].
    pub(crate) fn is_idle(&self, now: Time) -> bool {
        self.waiters.is_empty()
            && self.reserved.is_zero()
            && now.since(self.used_at) >= IDLE_TIMEOUT
    }

    /// Takes up to `amount` available tokens out; returns how many.
    ///
    /// Free tokens leave a holding only through this function, so that none can be spent twice.
    pub(crate) fn take(&mut self, amount: Tokens) -> Tokens {
        let taken = amount.min(self.available());
        self.free = self.free.saturating_sub(taken);
        taken
    }

    /// Reserves tokens if enough are available.
    pub(crate) fn reserve(&mut self, now: Time, need: Tokens) -> bool {
        if self.available() < need {
            return false;
        }
        self.free = self.free.saturating_sub(need);
        self.returns.record_reserved(need);
        self.reserved = self.reserved.saturating_add(need);
        self.used_at = now;
        true
    }

    /// Makes the next ledger operation.
    pub(crate) fn make_op(
        &mut self,
        now: Time,
        budget: &BudgetId,
        local: &LocalHolder,
        returned: Tokens,
        close: bool,
    ) {
        // Returned tokens are deducted before the operation is sent.
        let (returned, returning) = self.take_return(returned);
        self.returning_sealed = returning;
        let seal = local.sealing.as_ref().map(|sealing| self.make_seal(now, sealing, close));
        let shortage =
            self.total_need().saturating_sub(self.available()).saturating_sub(self.unsealing);
        self.seq += 1;
        // A holding that is not in use gets no share.
        let is_used = !self.waiters.is_empty() || self.expects_returns(now);
        let is_unused = self.is_idle(now) || !is_used;
        let min_rate = if is_unused { TokenRate(0) } else { TokenRate(1) };
        let no_share = self.state == HoldingState::Retiring || self.is_borrower();
        let demand = if local.sealing.is_some() { self.demand(now) } else { self.meter.rate(now) };
        let rate = if no_share { TokenRate(0) } else { demand.max(min_rate) };
        let op = LedgerOp {
            budget: budget.clone(),
            terms: self.terms,
            holder: local.me,
            seq: self.seq,
            need: shortage,
            returned: returned.saturating_add(returning),
            // Prefetched tokens of a borrower are spent soon and are not held ahead of demand.
            held: if self.is_borrower() { Tokens::ZERO } else { self.unspent() },
            rate,
            request_size: self.largest_request,
            region: self.region.clone(),
            spread: self.spread,
            horizon: self.horizon,
            billed: self.billed,
            wasted: self.wasted,
            close,
            seal,
            witness: self.parked.witness.filter(|_| !close),
            witness_reports: std::mem::take(&mut self.witness_reports),
        };
        self.reported = (self.billed, self.wasted);
        self.last_op_at = Some(now);
        self.op_attempts = 0;
        self.op = Some((op, None));
    }
}

/// Deducts an amount from the parts in their order, from each as much as it has.
fn deduct<const N: usize>(amount: Tokens, parts: [&mut Tokens; N]) {
    let mut rest = amount;
    for part in parts {
        let taken = rest.min(*part);
        *part = part.saturating_sub(taken);
        rest = rest.saturating_sub(taken);
    }
}
