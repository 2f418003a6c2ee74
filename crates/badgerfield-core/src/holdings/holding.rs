//! One holding: what a process may spend of one budget in one period.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use super::demand::RequestSizes;
use super::pending_loans::PendingLoans;
use super::promises::Promises;
use super::return_stats::ReturnStats;
use super::waiting::Waiter;
use crate::amount::{Percent, Time, TokenRate, Tokens};
use crate::ids::{BudgetId, Incarnation, Region, VmId};
use crate::ledger::{BudgetTerms, HoldingPlan, LedgerOp, WitnessReport};
use crate::message::TokenRequest;
use crate::rate_meter::RateMeter;
use crate::refusal::Refusal;
use crate::seal::{FleetClock, Orphan, Seal, SealClaim, falls_ms};

/// How much demand, in time, a holding keeps ready to spend; the rest is parked.
const WORKING_SPAN: Duration = Duration::from_secs(1);

/// After how long without use a holding is given back.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// How much demand, in time, is left unsealed: sealed tokens come free as fast as they are used
/// as a rule, and the rest is for a report that was due and for what comes in clumps.
const UNSEALED_SPAN: Duration = Duration::from_millis(2000);
/// A holding is balanced anew when it is off by one part in so many of what is to be open.
const MARGIN_DIVISOR: u64 = 8;
/// The most of a holding that is left unsealed, in hundredths.
const MAX_UNSEALED_PERCENT: u64 = 40;
/// After how long without the platform's word nothing is promised.
const MAX_REPLY_AGE: Duration = Duration::from_millis(1100);

/// A borrower is busy when it may need so many large requests' tokens while it waits for a
/// lender.
const BUSY_DIVISOR: u64 = 4;
/// A holding is topped up when it lacks one part in so many of its share.
const TOP_UP_DIVISOR: u64 = 4;

/// What a process needs for sealing tokens.
#[derive(Debug)]
pub(crate) struct Sealing {
    pub(crate) vm: VmId,
    pub(crate) clock: FleetClock,
    /// When the ledger last answered a change.
    pub(crate) last_reply: Option<Time>,
}

impl Sealing {
    /// Tells whether the platform is known to be there.
    pub(super) fn is_store_reachable(&self, now: Time) -> bool {
        self.last_reply.is_some_and(|at| now.since(at) < MAX_REPLY_AGE)
    }
}

impl LocalHolder {
    /// Tells whether the platform takes changes at present, as far as is known.
    pub(super) fn is_store_reachable(&self, now: Time) -> bool {
        self.sealing.as_ref().is_some_and(|sealing| sealing.is_store_reachable(now))
    }
}

/// Who makes changes for the ledger.
#[derive(Debug)]
pub(crate) struct LocalHolder {
    pub(crate) me: Incarnation,
    /// Nothing if the process seals no tokens and parks them instead.
    pub(crate) sealing: Option<Sealing>,
}

/// Where the search for tokens stands.
#[derive(Debug, Clone)]
pub(crate) enum Search {
    /// The bank was asked for what is parked there.
    Witness { since: Time },
    /// A lender, or the holder that collects a low budget, was asked.
    Lender { since: Time, tried: Vec<Incarnation> },
    /// The ledger was asked.
    Ledger { since: Time },
    /// Other holders were asked, and these have not answered. Of those that have, one may come to
    /// have so much.
    Peers { since: Time, unanswered: BTreeSet<Incarnation>, max_available: Tokens },
}

/// What a witness knows to be untouched, as its owner sees it.
///
/// It is a part of what is free and sealed together: whatever leaves the holding leaves at least
/// so much, until the witness has acknowledged a smaller figure.
#[derive(Debug, Clone, Default)]
pub(crate) struct Parked {
    pub(crate) witness: Option<Incarnation>,
    pub(crate) seq: u64,
    /// What the bank has acknowledged.
    pub(crate) total: Tokens,
    /// What the bank was told last, and when, if it has not acknowledged it.
    pub(crate) sent: Option<(Tokens, Option<Time>)>,
}

/// Where a holding is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HoldingState {
    /// It serves requests.
    Open,
    /// Its process is stopping: it wants nothing more, and gives back what is not needed.
    Retiring,
    /// The ledger knows that everything was given back.
    Closed,
}

/// What a process may spend of one budget.
#[derive(Debug, Clone)]
pub(crate) struct Holding {
    pub(crate) terms: BudgetTerms,
    pub(crate) region: Region,
    pub(crate) spread: Percent,
    pub(crate) horizon: Duration,
    /// Neither set aside nor sealed. What a witness knows of it is not ready to spend.
    pub(crate) free: Tokens,
    /// Set aside for running requests.
    pub(crate) reserved: Tokens,
    pub(crate) billed: Tokens,
    pub(crate) wasted: Tokens,
    pub(crate) parked: Parked,
    pub(crate) seq: u64,
    /// The change that the ledger has not confirmed, and when it was sent last.
    pub(crate) op: Option<(LedgerOp, Option<Time>)>,
    pub(crate) op_attempts: u32,
    /// Whether the platform was down when it was last heard of.
    pub(crate) store_down: bool,
    pub(crate) last_op_at: Option<Time>,
    pub(crate) reported: (Tokens, Tokens),
    /// What the ledger takes to be held here.
    pub(crate) ledger_held: Tokens,
    /// What the ledger had left, as far as it has said.
    pub(crate) remaining: Option<Tokens>,
    pub(crate) other_holders: Vec<Incarnation>,
    /// How the ledger wants the budget held.
    pub(crate) plan: HoldingPlan,
    /// Whom this process borrows from; none if it holds rights of its own.
    pub(crate) lenders: Vec<Incarnation>,
    /// Whether this process stands in for lenders that do not answer.
    pub(crate) is_backup: bool,
    /// What was set aside and lent, and what of it came back.
    pub(super) returns: ReturnStats,
    /// When something was lent last.
    pub(crate) lent_at: Option<Time>,
    /// When a lender was asked for what is to be kept at hand.
    pub(crate) prefetched_at: Option<Time>,
    /// What lenders were asked for and have not answered.
    pub(super) pending_loans: PendingLoans,
    pub(crate) waiters: VecDeque<Waiter>,
    pub(crate) search: Option<Search>,
    /// Holders that asked for tokens while they were parked.
    pub(crate) deferred: Vec<(Incarnation, TokenRequest)>,
    pub(crate) used_at: Time,
    pub(crate) largest_request: Tokens,
    pub(crate) meter: RateMeter,
    pub(super) request_sizes: RequestSizes,
    /// When something was passed on to the collector.
    pub(crate) forwarded_at: Option<Time>,
    /// Whether everything is to go back, because the budget was lowered.
    pub(crate) return_all: bool,
    /// What is held and promised not to be touched.
    pub(crate) sealed: Tokens,
    /// Sealed tokens that the change under way gives back; nobody touches them.
    pub(crate) returning_sealed: Tokens,
    /// What the change under way unseals.
    pub(crate) unsealing: Tokens,
    /// What the ledger was promised of that.
    pub(super) promises: Promises,
    /// Sealed tokens of earlier processes of this VM that were not looked at yet.
    pub(crate) orphaned_seals: Vec<Orphan>,
    /// What removed holders had left untouched, as their witness here knows.
    pub(crate) witness_reports: Vec<WitnessReport>,
    pub(crate) state: HoldingState,
    /// The last refusal, when it was made, and the least need that was refused.
    pub(crate) last_refusal: Option<(Refusal, Time, Tokens)>,
    /// When nobody had anything left, and from which need on nothing that runs could give
    /// enough back.
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

    /// Returns what is neither spent nor set aside, parked or not.
    pub(crate) fn unspent(&self) -> Tokens {
        self.free.saturating_add(self.sealed_total())
    }

    /// Returns what may leave this holding, free or sealed: the witness knows the rest.
    pub(crate) fn unparked(&self) -> Tokens {
        self.unspent().saturating_sub(self.parked_amount())
    }

    /// Returns what was free and goes back to the ledger with the change under way.
    pub(crate) fn returning_free(&self) -> Tokens {
        let returned = self.op.as_ref().map_or(Tokens::ZERO, |(op, _)| op.returned);
        returned.saturating_sub(self.returning_sealed)
    }

    /// Tells whether a witness knows of all that is left, so that this process may go.
    pub(crate) fn is_fully_parked(&self) -> bool {
        let is_idle = self.reserved.is_zero() && self.waiters.is_empty();
        let has_witness = self.parked.witness.is_some() && self.parked.sent.is_none();
        // What a change gives back, or tells of others, is known to nobody else until it is
        // answered.
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

    /// Returns what may be spent at once.
    pub(crate) fn available(&self) -> Tokens {
        self.free.min(self.unparked())
    }

    /// Returns what is sealed, or not unsealed yet.
    pub(crate) fn sealed_total(&self) -> Tokens {
        self.sealed.saturating_add(self.unsealing)
    }

    /// Drops what is parked, of what is sealed first.
    pub(crate) fn drop_parked(&mut self) {
        let parked = self.parked_amount();
        deduct(parked, [&mut self.sealed, &mut self.free, &mut self.unsealing]);
        self.parked.total = Tokens::ZERO;
        self.parked.sent = None;
    }

    /// Writes off what an upstream served beyond what was set aside, of what is free first: what
    /// is left over would be spent a second time.
    pub(crate) fn write_off(&mut self, excess: Tokens) {
        deduct(excess, [&mut self.free, &mut self.unsealing, &mut self.sealed]);
    }

    /// Returns how much of what is sealed the ledger takes to be untouched.
    fn promised(&self, now: Time) -> Tokens {
        let returning = if self.op.is_some() { self.returning_sealed } else { Tokens::ZERO };
        let confirmed = self.promises.confirmed(now).saturating_sub(returning);
        confirmed.max(self.promises.pending(now))
    }

    /// Unseals what is promised no more.
    pub(crate) fn unseal_due(&mut self, now: Time) {
        let due = self.sealed_total().saturating_sub(self.promised(now));
        deduct(due, [&mut self.unsealing, &mut self.sealed]);
        self.free = self.free.saturating_add(due);
    }

    /// Takes in that the change under way was answered, with what it hands out sealed and open.
    pub(super) fn confirm_op(&mut self, now: Time, sealed: Tokens, free: Tokens) {
        self.promises.confirm(sealed);
        self.returning_sealed = Tokens::ZERO;
        // What the change unsealed is free now, but for what its first sending promised.
        let unsealed = std::mem::take(&mut self.unsealing);
        self.sealed = self.sealed.saturating_add(unsealed).saturating_add(sealed);
        let due = self.sealed.saturating_sub(self.promised(now)).min(unsealed);
        self.sealed = self.sealed.saturating_sub(due);
        self.free = self.free.saturating_add(free).saturating_add(due);
    }

    /// Takes tokens out for giving back, of what is free first, then of what is sealed;
    /// returns both parts.
    fn take_return(&mut self, amount: Tokens) -> (Tokens, Tokens) {
        let taken = self.take(amount);
        let more = amount.saturating_sub(taken).min(self.sealed).min(self.unparked());
        self.sealed = self.sealed.saturating_sub(more);
        (taken, more)
    }

    /// Seals what is beyond the needs of the next moments, or unseals what they lack.
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
        let lack = keep.saturating_sub(self.free).min(self.sealed);
        self.sealed = self.sealed.saturating_sub(lack);
        self.unsealing = self.unsealing.saturating_add(lack);
    }

    /// Tells whether much less is held than the share that the ledger named, which has
    /// more left: what the platform takes down with it must be held before.
    pub(crate) fn is_below_share(&self) -> bool {
        let HoldingPlan::Share(share) = self.plan else {
            return false;
        };
        let has_more = self.remaining.is_some_and(|remaining| !remaining.is_zero());
        let lack = share.saturating_sub(self.unspent());
        let least = self.largest_request.max(share.part(1, TOP_UP_DIVISOR));
        has_more && !self.largest_request.is_zero() && lack >= least
    }

    /// Tells whether more is free than is to be left unsealed.
    pub(crate) fn has_excess_unsealed(&self, now: Time) -> bool {
        let keep = self.total_need().saturating_add(self.unsealed_target(now));
        self.free > keep.saturating_add(keep.part(1, 2))
    }

    /// Returns how much to leave unsealed: what requests may need before the ledger can
    /// be told that more is unsealed, and until a seal is over.
    fn unsealed_target(&self, now: Time) -> Tokens {
        let demand = self.meter.rate(now).over(UNSEALED_SPAN);
        // A request's worth is left open only where it is soon spent.
        let is_soon_spent = demand.saturating_add(demand) >= self.largest_request;
        let open = if is_soon_spent { demand.max(self.largest_request) } else { demand };
        let open = open.min(self.unspent().part(MAX_UNSEALED_PERCENT, 100));
        open.max(self.min_unsealed())
    }

    /// Says what is sealed, with a promise if the platform is known to be there.
    fn make_seal(&mut self, now: Time, sealing: &Sealing, close: bool) -> Seal {
        if !close {
            self.rebalance(now);
        }
        let at = sealing.clock.time_at(now);
        // Where the platform may be away only what it will hand out is promised: what is
        // held must stay in use.
        let is_reachable = at.is_some() && sealing.is_store_reachable(now);
        let amount = if is_reachable { self.sealed } else { Tokens::ZERO };
        match at {
            Some(_) => self.promises.record_pending(now, amount),
            None => self.promises.clear_pending(),
        }
        let claims = sealing.clock.started.map_or_else(Vec::new, |started| {
            let claim = |e: Orphan| SealClaim { holder: e.holder, unspent: e.untouched(started) };
            std::mem::take(&mut self.orphaned_seals).into_iter().map(claim).collect()
        });
        let (vm, unsealed) = (sealing.vm.clone(), self.unsealing);
        Seal { vm, amount, unsealed: unsealed, sealed_at: at, decay_ms: falls_ms(), claims }
    }

    /// Says the promise of the change under way anew, because it is sent again.
    ///
    /// What was held when the change was made may be in use by now, so only what the change
    /// hands out is promised.
    pub(crate) fn restamp_seal(&mut self, now: Time, clock: FleetClock) {
        let Some(seal) = self.op.as_mut().and_then(|(op, _)| op.seal.as_mut()) else {
            return;
        };
        seal.amount = Tokens::ZERO;
        seal.sealed_at = clock.time_at(now);
        if seal.sealed_at.is_some() {
            self.promises.record_resend(now);
        }
    }

    /// Returns what is parked or on its way there.
    pub(crate) fn parked_amount(&self) -> Tokens {
        let sent = self.parked.sent.map_or(Tokens::ZERO, |(total, _)| total);
        self.parked.total.max(sent)
    }

    /// Returns what is ready beyond the needs of waiting requests.
    pub(crate) fn spare(&self) -> Tokens {
        self.available().saturating_sub(self.total_need())
    }

    /// Returns what may be given back to the ledger now.
    pub(crate) fn returnable(&self) -> Tokens {
        self.spare().saturating_add(self.sealed_total()).min(self.unparked())
    }

    /// Returns what is held beyond the share that the ledger named.
    pub(crate) fn surplus(&self, now: Time) -> Tokens {
        let share = match self.plan {
            HoldingPlan::Share(share) | HoldingPlan::Collect(share) => share,
            HoldingPlan::Defer(_) => return Tokens::ZERO,
        };
        let ample = share.saturating_add(share.part(1, 4)).saturating_add(self.working_target(now));
        if self.unspent() <= ample {
            return Tokens::ZERO;
        }
        self.unspent().saturating_sub(share).saturating_sub(self.total_need())
    }

    /// Returns how much to keep ready to spend.
    pub(crate) fn working_target(&self, now: Time) -> Tokens {
        let demand = self.meter.rate(now).over(WORKING_SPAN);
        // A request's worth is kept ready only where it is soon spent, since what is
        // ready is lost when this process dies.
        let is_soon_spent = demand.saturating_add(demand) >= self.largest_request;
        if is_soon_spent { demand.max(self.largest_request) } else { demand }
    }

    /// Returns how much a borrower keeps at hand for so long; nothing unless it is busy.
    pub(crate) fn prefetch_target(&self, now: Time, span: Duration) -> Tokens {
        let demand = self.meter.rate(now).over(span);
        let is_busy =
            !self.largest_request.is_zero() && demand >= self.largest_request.part(BUSY_DIVISOR, 1);
        if is_busy && self.state == HoldingState::Open { demand } else { Tokens::ZERO }
    }

    /// Tells whether this process borrows instead of holding rights of its own.
    pub(crate) fn is_borrower(&self) -> bool {
        !self.lenders.is_empty()
    }

    /// Tells whether this process may draw from the ledger for itself or for others.
    pub(crate) fn can_draw(&self) -> bool {
        !self.is_borrower() || self.is_backup
    }

    /// Returns how much may come to be free here, when requests here or at borrowers end.
    pub(crate) fn max_available(&self, now: Time) -> Tokens {
        let pending_loans = self.returns.expected_returns(now, self.reserved);
        self.unspent().saturating_add(pending_loans)
    }

    /// Tells whether so much may come to be free here in a while.
    pub(crate) fn can_give(&self, now: Time, need: Tokens) -> bool {
        self.max_available(now) >= need && self.expects_returns(now)
    }

    /// Tells whether anything is left here, or may come back.
    pub(crate) fn has_more(&self, now: Time) -> bool {
        !self.unspent().is_zero() || self.expects_returns(now)
    }

    /// Tells whether something may come back from requests here or at borrowers.
    pub(crate) fn expects_returns(&self, now: Time) -> bool {
        !self.returns.expected_returns(now, self.reserved).is_zero()
    }

    /// Tells whether the holding waits for somebody's answer.
    pub(crate) fn is_busy(&self) -> bool {
        let waits = !self.waiters.is_empty() || self.search.is_some();
        waits || self.op.is_some() || self.parked.sent.is_some()
    }

    /// Tells whether no request has used the holding for a while.
    pub(crate) fn is_idle(&self, now: Time) -> bool {
        self.waiters.is_empty()
            && self.reserved.is_zero()
            && now.since(self.used_at) >= IDLE_TIMEOUT
    }

    /// Takes tokens out of what is free, as many as there are; returns how many.
    ///
    /// Whatever leaves a holding leaves by this, so that nothing is made on the way.
    pub(crate) fn take(&mut self, amount: Tokens) -> Tokens {
        let taken = amount.min(self.available());
        self.free = self.free.saturating_sub(taken);
        taken
    }

    /// Sets tokens aside if there are enough.
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

    /// Makes the next change for the ledger.
    pub(crate) fn make_op(
        &mut self,
        now: Time,
        budget: &BudgetId,
        local: &LocalHolder,
        returned: Tokens,
        close: bool,
    ) {
        // What is given back is deducted before anyone is told.
        let (returned, returning) = self.take_return(returned);
        self.returning_sealed = returning;
        let seal = local.sealing.as_ref().map(|sealing| self.make_seal(now, sealing, close));
        let shortage =
            self.total_need().saturating_sub(self.available()).saturating_sub(self.unsealing);
        self.seq += 1;
        // A holding that is not in use has no share.
        let busy = !self.waiters.is_empty() || self.expects_returns(now);
        let unused = self.is_idle(now) || !busy;
        let least = if unused { TokenRate(0) } else { TokenRate(1) };
        let no_share = self.state == HoldingState::Retiring || self.is_borrower();
        let demand = if local.sealing.is_some() { self.demand(now) } else { self.meter.rate(now) };
        let rate = if no_share { TokenRate(0) } else { demand.max(least) };
        let op = LedgerOp {
            budget: budget.clone(),
            terms: self.terms,
            holder: local.me,
            seq: self.seq,
            need: shortage,
            returned: returned.saturating_add(returning),
            // What a borrower has at hand is soon spent, and not held ahead.
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

/// Takes an amount out of parts, of the first as much as it has.
fn deduct<const N: usize>(amount: Tokens, parts: [&mut Tokens; N]) {
    let mut rest = amount;
    for part in parts {
        let taken = rest.min(*part);
        *part = part.saturating_sub(taken);
        rest = rest.saturating_sub(taken);
    }
}
