//! One holding: what a process may spend of one budget in one period.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use super::coming::Coming;
use super::demand::Requests;
use super::giving::Giving;
use super::promises::Promises;
use super::waiting::Waiter;
use crate::amount::{Percent, Time, TokenRate, Tokens};
use crate::ids::{BudgetId, Incarnation, Region, VmId};
use crate::ledger::{BudgetTerms, HoldingPlan, LedgerOp, WitnessReport};
use crate::message::TokenRequest;
use crate::rate_meter::RateMeter;
use crate::refusal::Refusal;
use crate::seal::{FleetClock, Orphan, Seal, SealClaim, falls_ms};

/// How much demand, in time, a holding keeps ready to spend; the rest is parked.
const WORKING: Duration = Duration::from_secs(1);

/// After how long without use a holding is given back.
const IDLE: Duration = Duration::from_mins(1);

/// How much demand, in time, is left unsealed: sealed tokens come free as fast as they are used
/// as a rule, and the rest is for a report that was due and for what comes in clumps.
const OPEN: Duration = Duration::from_millis(2000);
/// A holding is balanced anew when it is off by one part in so many of what is to be open.
const MARGIN: u64 = 8;
/// The most of a holding that is left unsealed, in hundredths.
const OPEN_PERCENT: u64 = 40;
/// After how long without the platform's word nothing is promised.
const SURE: Duration = Duration::from_millis(1100);

/// A borrower is busy when it may need so many large requests' tokens while it waits for a
/// lender.
const BUSY: u64 = 4;
/// A holding is topped up when it lacks one part in so many of its share.
const TOP_UP: u64 = 4;

/// What a process needs for sealing tokens.
#[derive(Debug)]
pub(crate) struct Sealing {
    pub(crate) vm: VmId,
    pub(crate) clock: FleetClock,
    /// When the ledger last answered a change.
    pub(crate) heard: Option<Time>,
}

impl Sealing {
    /// Tells whether the platform is known to be there.
    pub(super) fn is_sure(&self, now: Time) -> bool {
        self.heard.is_some_and(|at| now.since(at) < SURE)
    }
}

impl Maker {
    /// Tells whether the platform takes changes at present, as far as is known.
    pub(super) fn is_sure(&self, now: Time) -> bool {
        self.sealing.as_ref().is_some_and(|sealing| sealing.is_sure(now))
    }
}

/// Who makes changes for the ledger.
#[derive(Debug)]
pub(crate) struct Maker {
    pub(crate) me: Incarnation,
    /// Nothing if the process seals no tokens and parks them instead.
    pub(crate) sealing: Option<Sealing>,
}

/// Where the search for tokens stands.
#[derive(Debug, Clone)]
pub(crate) enum Search {
    /// The bank was asked for what is parked there.
    Bank { since: Time },
    /// A lender, or the holder that collects a low budget, was asked.
    Lender { since: Time, asked: Vec<Incarnation> },
    /// The ledger was asked.
    Ledger { since: Time },
    /// Other holders were asked, and these have not answered. Of those that have, one may come to
    /// have so much.
    Peers { since: Time, open: BTreeSet<Incarnation>, reach: Tokens },
}

/// What a witness knows to be untouched, as its owner sees it.
///
/// It is a part of what is free and sealed together: whatever leaves the holding leaves at least
/// so much, until the witness has acknowledged a smaller figure.
#[derive(Debug, Clone, Default)]
pub(crate) struct Parked {
    pub(crate) bank: Option<Incarnation>,
    pub(crate) seq: u64,
    /// What the bank has acknowledged.
    pub(crate) total: Tokens,
    /// What the bank was told last, and when, if it has not acknowledged it.
    pub(crate) sent: Option<(Tokens, Option<Time>)>,
}

/// Where a holding is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Life {
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
    pub(crate) ahead: Duration,
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
    pub(crate) tries: u32,
    /// Whether the platform was down when it was last heard of.
    pub(crate) down: bool,
    pub(crate) drawn_at: Option<Time>,
    pub(crate) reported: (Tokens, Tokens),
    /// What the ledger takes to be held here.
    pub(crate) known: Tokens,
    /// What the ledger had left, as far as it has said.
    pub(crate) left: Option<Tokens>,
    pub(crate) others: Vec<Incarnation>,
    /// How the ledger wants the budget held.
    pub(crate) plan: HoldingPlan,
    /// Whom this process borrows from; none if it holds rights of its own.
    pub(crate) lenders: Vec<Incarnation>,
    /// Whether this process stands in for lenders that do not answer.
    pub(crate) stands_in: bool,
    /// What was set aside and lent, and what of it came back.
    pub(super) giving: Giving,
    /// When something was lent last.
    pub(crate) lent: Option<Time>,
    /// When a lender was asked for what is to be kept at hand.
    pub(crate) asked: Option<Time>,
    /// What lenders were asked for and have not answered.
    pub(super) coming: Coming,
    pub(crate) waiters: VecDeque<Waiter>,
    pub(crate) search: Option<Search>,
    /// Holders that asked for tokens while they were parked.
    pub(crate) owed: Vec<(Incarnation, TokenRequest)>,
    pub(crate) used_at: Time,
    pub(crate) largest: Tokens,
    pub(crate) meter: RateMeter,
    pub(super) requests: Requests,
    /// When something was passed on to the collector.
    pub(crate) passed: Option<Time>,
    /// Whether everything is to go back, because the budget was lowered.
    pub(crate) recall: bool,
    /// What is held and promised not to be touched.
    pub(crate) sealed: Tokens,
    /// Sealed tokens that the change under way gives back; nobody touches them.
    pub(crate) returning: Tokens,
    /// What the change under way unseals.
    pub(crate) releasing: Tokens,
    /// What the ledger was promised of that.
    pub(super) promises: Promises,
    /// Sealed tokens of earlier processes of this VM that were not looked at yet.
    pub(crate) orphans: Vec<Orphan>,
    /// What removed holders had left untouched, as their witness here knows.
    pub(crate) untouched: Vec<WitnessReport>,
    pub(crate) life: Life,
    /// The last refusal, when it was made, and the least need that was refused.
    pub(crate) refused: Option<(Refusal, Time, Tokens)>,
    /// When nobody had anything left, and from which need on nothing that runs could give
    /// enough back.
    pub(crate) spent: Option<(Time, Tokens)>,
}

impl Holding {
    pub(crate) fn new(
        now: Time,
        terms: BudgetTerms,
        (spread, ahead): (Percent, Duration),
        region: Region,
    ) -> Self {
        Self {
            terms,
            region,
            spread,
            ahead,
            free: Tokens::ZERO,
            reserved: Tokens::ZERO,
            billed: Tokens::ZERO,
            wasted: Tokens::ZERO,
            parked: Parked::default(),
            seq: 0,
            op: None,
            tries: 0,
            down: false,
            drawn_at: None,
            reported: (Tokens::ZERO, Tokens::ZERO),
            known: Tokens::ZERO,
            left: None,
            others: Vec::new(),
            plan: HoldingPlan::Share(Tokens::MAX),
            lenders: Vec::new(),
            stands_in: false,
            giving: Giving::default(),
            lent: None,
            asked: None,
            coming: Coming::default(),
            waiters: VecDeque::new(),
            search: None,
            owed: Vec::new(),
            used_at: now,
            largest: Tokens::ZERO,
            meter: RateMeter::default(),
            requests: Requests::default(),
            passed: None,
            recall: false,
            sealed: Tokens::ZERO,
            returning: Tokens::ZERO,
            releasing: Tokens::ZERO,
            promises: Promises::default(),
            orphans: Vec::new(),
            untouched: Vec::new(),
            life: Life::Open,
            refused: None,
            spent: None,
        }
    }

    /// Returns what is neither spent nor set aside, parked or not.
    pub(crate) fn unspent(&self) -> Tokens {
        self.free.saturating_add(self.shut())
    }

    /// Returns what may leave this holding, free or sealed: the witness knows the rest.
    pub(crate) fn room(&self) -> Tokens {
        self.unspent().saturating_sub(self.parked_amount())
    }

    /// Returns what was free and goes back to the ledger with the change under way.
    pub(crate) fn back_under_way(&self) -> Tokens {
        let back = self.op.as_ref().map_or(Tokens::ZERO, |(op, _)| op.returned);
        back.saturating_sub(self.returning)
    }

    /// Tells whether a witness knows of all that is left, so that this process may go.
    pub(crate) fn is_witnessed(&self) -> bool {
        let is_idle = self.reserved.is_zero() && self.waiters.is_empty();
        let has_witness = self.parked.bank.is_some() && self.parked.sent.is_none();
        // What a change gives back, or tells of others, is known to nobody else until it is
        // answered.
        let is_told = self
            .op
            .as_ref()
            .is_none_or(|(op, _)| op.returned.is_zero() && op.witness_reports.is_empty());
        is_idle && is_told && has_witness && !self.parked.total.is_zero() && self.room().is_zero()
    }

    /// Returns what may be spent at once.
    pub(crate) fn ready(&self) -> Tokens {
        self.free.min(self.room())
    }

    /// Returns what is sealed, or not unsealed yet.
    pub(crate) fn shut(&self) -> Tokens {
        self.sealed.saturating_add(self.releasing)
    }

    /// Drops what is parked, of what is sealed first.
    pub(crate) fn drop_parked(&mut self) {
        let parked = self.parked_amount();
        deduct(parked, [&mut self.sealed, &mut self.free, &mut self.releasing]);
        self.parked.total = Tokens::ZERO;
        self.parked.sent = None;
    }

    /// Writes off what an upstream served beyond what was set aside, of what is free first: what
    /// is left over would be spent a second time.
    pub(crate) fn write_off(&mut self, excess: Tokens) {
        deduct(excess, [&mut self.free, &mut self.releasing, &mut self.sealed]);
    }

    /// Returns how much of what is sealed the ledger takes to be untouched.
    fn promised(&self, now: Time) -> Tokens {
        let returning = if self.op.is_some() { self.returning } else { Tokens::ZERO };
        let confirmed = self.promises.confirmed(now).saturating_sub(returning);
        confirmed.max(self.promises.under_way(now))
    }

    /// Unseals what is promised no more.
    pub(crate) fn unseal_due(&mut self, now: Time) {
        let due = self.shut().saturating_sub(self.promised(now));
        deduct(due, [&mut self.releasing, &mut self.sealed]);
        self.free = self.free.saturating_add(due);
    }

    /// Takes in that the change under way was answered, with what it hands out sealed and open.
    pub(super) fn answered(&mut self, now: Time, shut: Tokens, open: Tokens) {
        self.promises.confirm(shut);
        self.returning = Tokens::ZERO;
        // What the change unsealed is free now, but for what its first sending promised.
        let released = std::mem::take(&mut self.releasing);
        self.sealed = self.sealed.saturating_add(released).saturating_add(shut);
        let due = self.sealed.saturating_sub(self.promised(now)).min(released);
        self.sealed = self.sealed.saturating_sub(due);
        self.free = self.free.saturating_add(open).saturating_add(due);
    }

    /// Takes tokens out for giving back, of what is free first, then of what is sealed;
    /// returns both parts.
    fn take_back(&mut self, amount: Tokens) -> (Tokens, Tokens) {
        let taken = self.take(amount);
        let more = amount.saturating_sub(taken).min(self.sealed).min(self.room());
        self.sealed = self.sealed.saturating_sub(more);
        (taken, more)
    }

    /// Seals what is beyond the needs of the next moments, or unseals what they lack.
    fn balance(&mut self, now: Time) {
        let keep = self.wanted().saturating_add(self.open(now));
        let margin = keep.part(1, MARGIN);
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
        self.releasing = self.releasing.saturating_add(lack);
    }

    /// Tells whether much less is held than the share that the ledger named, which has
    /// more left: what the platform takes down with it must be held before.
    pub(crate) fn lacks_share(&self) -> bool {
        let HoldingPlan::Share(share) = self.plan else {
            return false;
        };
        let has_more = self.left.is_some_and(|left| !left.is_zero());
        let lack = share.saturating_sub(self.unspent());
        let least = self.largest.max(share.part(1, TOP_UP));
        has_more && !self.largest.is_zero() && lack >= least
    }

    /// Tells whether more is free than is to be left unsealed.
    pub(crate) fn is_too_open(&self, now: Time) -> bool {
        let keep = self.wanted().saturating_add(self.open(now));
        self.free > keep.saturating_add(keep.part(1, 2))
    }

    /// Returns how much to leave unsealed: what requests may need before the ledger can
    /// be told that more is unsealed, and until a seal is over.
    fn open(&self, now: Time) -> Tokens {
        let flow = self.meter.rate(now).over(OPEN);
        // A request's worth is left open only where it is soon spent.
        let soon = flow.saturating_add(flow) >= self.largest;
        let open = if soon { flow.max(self.largest) } else { flow };
        let open = open.min(self.unspent().part(OPEN_PERCENT, 100));
        open.max(self.least_open())
    }

    /// Says what is sealed, with a promise if the platform is known to be there.
    fn seal(&mut self, now: Time, sealing: &Sealing, close: bool) -> Seal {
        if !close {
            self.balance(now);
        }
        let at = sealing.clock.time_at(now);
        // Where the platform may be away only what it will hand out is promised: what is
        // held must stay in use.
        let sure = at.is_some() && sealing.is_sure(now);
        let amount = if sure { self.sealed } else { Tokens::ZERO };
        match at {
            Some(_) => self.promises.say(now, amount),
            None => self.promises.say_nothing(),
        }
        let claims = sealing.clock.started.map_or_else(Vec::new, |started| {
            let claim = |e: Orphan| SealClaim { holder: e.holder, unspent: e.untouched(started) };
            std::mem::take(&mut self.orphans).into_iter().map(claim).collect()
        });
        let (vm, released) = (sealing.vm.clone(), self.releasing);
        Seal { vm, amount, unsealed: released, sealed_at: at, decay_ms: falls_ms(), claims }
    }

    /// Says the promise of the change under way anew, because it is sent again.
    ///
    /// What was held when the change was made may be in use by now, so only what the change
    /// hands out is promised.
    pub(crate) fn restamp(&mut self, now: Time, clock: FleetClock) {
        let Some(seal) = self.op.as_mut().and_then(|(op, _)| op.seal.as_mut()) else {
            return;
        };
        seal.amount = Tokens::ZERO;
        seal.sealed_at = clock.time_at(now);
        if seal.sealed_at.is_some() {
            self.promises.say_again(now);
        }
    }

    /// Returns what is parked or on its way there.
    pub(crate) fn parked_amount(&self) -> Tokens {
        let sent = self.parked.sent.map_or(Tokens::ZERO, |(total, _)| total);
        self.parked.total.max(sent)
    }

    /// Returns what is ready beyond the needs of waiting requests.
    pub(crate) fn spare(&self) -> Tokens {
        self.ready().saturating_sub(self.wanted())
    }

    /// Returns what may be given back to the ledger now.
    pub(crate) fn returnable(&self) -> Tokens {
        self.spare().saturating_add(self.shut()).min(self.room())
    }

    /// Returns what is held beyond the share that the ledger named.
    pub(crate) fn surplus(&self, now: Time) -> Tokens {
        let share = match self.plan {
            HoldingPlan::Share(share) | HoldingPlan::Collect(share) => share,
            HoldingPlan::Defer(_) => return Tokens::ZERO,
        };
        let ample = share.saturating_add(share.part(1, 4)).saturating_add(self.working(now));
        if self.unspent() <= ample {
            return Tokens::ZERO;
        }
        self.unspent().saturating_sub(share).saturating_sub(self.wanted())
    }

    /// Returns how much to keep ready to spend.
    pub(crate) fn working(&self, now: Time) -> Tokens {
        let flow = self.meter.rate(now).over(WORKING);
        // A request's worth is kept ready only where it is soon spent, since what is
        // ready is lost when this process dies.
        let soon = flow.saturating_add(flow) >= self.largest;
        if soon { flow.max(self.largest) } else { flow }
    }

    /// Returns how much a borrower keeps at hand for so long; nothing unless it is busy.
    pub(crate) fn at_hand(&self, now: Time, span: Duration) -> Tokens {
        let flow = self.meter.rate(now).over(span);
        let is_busy = !self.largest.is_zero() && flow >= self.largest.part(BUSY, 1);
        if is_busy && self.life == Life::Open { flow } else { Tokens::ZERO }
    }

    /// Tells whether this process borrows instead of holding rights of its own.
    pub(crate) fn borrows(&self) -> bool {
        !self.lenders.is_empty()
    }

    /// Tells whether this process may draw from the ledger for itself or for others.
    pub(crate) fn may_draw(&self) -> bool {
        !self.borrows() || self.stands_in
    }

    /// Returns how much may come to be free here, when requests here or at borrowers end.
    pub(crate) fn within_reach(&self, now: Time) -> Tokens {
        let coming = self.giving.may_come_back(now, self.reserved);
        self.unspent().saturating_add(coming)
    }

    /// Tells whether so much may come to be free here in a while.
    pub(crate) fn may_give(&self, now: Time, need: Tokens) -> bool {
        self.within_reach(now) >= need && self.may_get_back(now)
    }

    /// Tells whether anything is left here, or may come back.
    pub(crate) fn has_more(&self, now: Time) -> bool {
        !self.unspent().is_zero() || self.may_get_back(now)
    }

    /// Tells whether something may come back from requests here or at borrowers.
    pub(crate) fn may_get_back(&self, now: Time) -> bool {
        !self.giving.may_come_back(now, self.reserved).is_zero()
    }

    /// Tells whether the holding waits for somebody's answer.
    pub(crate) fn is_busy(&self) -> bool {
        let waits = !self.waiters.is_empty() || self.search.is_some();
        waits || self.op.is_some() || self.parked.sent.is_some()
    }

    /// Tells whether no request has used the holding for a while.
    pub(crate) fn is_idle(&self, now: Time) -> bool {
        self.waiters.is_empty() && self.reserved.is_zero() && now.since(self.used_at) >= IDLE
    }

    /// Takes tokens out of what is free, as many as there are; returns how many.
    ///
    /// Whatever leaves a holding leaves by this, so that nothing is made on the way.
    pub(crate) fn take(&mut self, amount: Tokens) -> Tokens {
        let taken = amount.min(self.ready());
        self.free = self.free.saturating_sub(taken);
        taken
    }

    /// Sets tokens aside if there are enough.
    pub(crate) fn set_aside(&mut self, now: Time, need: Tokens) -> bool {
        if self.ready() < need {
            return false;
        }
        self.free = self.free.saturating_sub(need);
        self.giving.set_aside(need);
        self.reserved = self.reserved.saturating_add(need);
        self.used_at = now;
        true
    }

    /// Makes the next change for the ledger.
    pub(crate) fn make_op(
        &mut self,
        now: Time,
        budget: &BudgetId,
        maker: &Maker,
        back: Tokens,
        close: bool,
    ) {
        // What is given back is deducted before anyone is told.
        let (back, returning) = self.take_back(back);
        self.returning = returning;
        let seal = maker.sealing.as_ref().map(|sealing| self.seal(now, sealing, close));
        let shortage = self.wanted().saturating_sub(self.ready()).saturating_sub(self.releasing);
        self.seq += 1;
        // A holding that is not in use has no share.
        let busy = !self.waiters.is_empty() || self.may_get_back(now);
        let unused = self.is_idle(now) || !busy;
        let least = if unused { TokenRate(0) } else { TokenRate(1) };
        let no_share = self.life == Life::Retiring || self.borrows();
        let demand = if maker.sealing.is_some() { self.demand(now) } else { self.meter.rate(now) };
        let rate = if no_share { TokenRate(0) } else { demand.max(least) };
        let op = LedgerOp {
            budget: budget.clone(),
            terms: self.terms,
            holder: maker.me,
            seq: self.seq,
            need: shortage,
            returned: back.saturating_add(returning),
            // What a borrower has at hand is soon spent, and not held ahead.
            held: if self.borrows() { Tokens::ZERO } else { self.unspent() },
            rate,
            request_size: self.largest,
            region: self.region.clone(),
            spread: self.spread,
            horizon: self.ahead,
            billed: self.billed,
            wasted: self.wasted,
            close,
            seal,
            witness: self.parked.bank.filter(|_| !close),
            witness_reports: std::mem::take(&mut self.untouched),
        };
        self.reported = (self.billed, self.wasted);
        self.drawn_at = Some(now);
        self.tries = 0;
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
