//! Holdings: the spending rights of this process, and how it gets and gives them.
//!
//! A request sets aside the most it can cost before it may run. When too little is
//! free, the process asks its bank for what it parked, then the ledger, then other
//! holders, and refuses only when all of them have nothing.

mod answers;
mod bank;
mod coming;
mod demand;
mod giving;
mod holding;
mod lending;
mod opening;
mod parking;
mod peers;
mod promises;
mod requests;
mod search;
mod transfer;
mod views;
mod waiting;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use self::bank::Bank;
use self::holding::{Holding, Maker, Sealing, Search};
use self::transfer::Transfers;
use crate::amount::{Percent, Time, Tokens};
use crate::event::{Outbox, is_due};
use crate::ids::{BudgetId, Incarnation, Period, Region, RunId, TemplateVersion, VmId};
use crate::ledger::{BudgetTerms, HoldingPlan};
use crate::lenders::Lenders;
use crate::node::Pacing;
use crate::refusal::Refusal;
use crate::seal::FleetClock;
use crate::view::View;

/// When to come back if the rest of a budget is reserved.
const COME_BACK: Duration = Duration::from_secs(1);

/// What came of a wish to set tokens aside.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// They are set aside, out of what was held in this period.
    Reserved(Period),
    /// The answer comes later.
    Waiting,
    /// There are none.
    Refused(Refusal),
}

/// The answer to a request that waited for tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReserveDecision {
    /// The request.
    pub run: RunId,
    /// The period of the budget.
    pub period: Period,
    /// Nothing if the tokens are set aside.
    pub refusal: Option<Refusal>,
}

/// The figures of one budget at this process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HoldingBalance {
    /// Ready to spend.
    pub free: Tokens,
    /// Set aside for running requests.
    pub reserved: Tokens,
    /// Not sealed, and only spent after a witness has been told.
    pub parked: Tokens,
    /// Promised not to be touched for a while.
    pub sealed: Tokens,
    /// Promised before, and on the way back to the ledger.
    pub returning_sealed: Tokens,
    /// Whether a change of the ledger is under way, so that what it hands out is not known here.
    pub op_pending: bool,
    /// Not promised before, and on the way back to the ledger.
    pub returning_free: Tokens,
    /// On the way to other holders.
    pub in_transit: Tokens,
    /// Parked here by other processes.
    pub witnessed: Tokens,
    /// Billed in this period.
    pub billed: Tokens,
    /// Used up without being billed in this period.
    pub wasted: Tokens,
}

/// Whether a process is about to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Leaving {
    /// It is not.
    Stays,
    /// It still serves those who ask it, and gives back what they do not need.
    Retiring,
    /// Nobody asks it any more.
    Closing,
}

impl Leaving {
    fn closes(self) -> bool {
        self == Self::Closing
    }
}

/// The spending rights of this process.
#[derive(Debug)]
pub struct Holdings {
    me: Incarnation,
    maker: Maker,
    region: Region,
    pacing: Pacing,
    /// The version of the templates whose budgets were all opened.
    pub(crate) opened_version: Option<TemplateVersion>,
    table: BTreeMap<BudgetId, Holding>,
    transfers: Transfers,
    bank: Bank,
    view: Arc<View>,
    lenders: Lenders,
    /// Lenders that did not answer, and when they were asked.
    mute: BTreeMap<Incarnation, Time>,
    /// What became of borrowers' asks, to be sent.
    answers: Vec<lending::BorrowerAnswer>,
    /// Whether this process has been in a view. Before that it does not know who lends and who
    /// writes the ledger, and would write for itself beside all others that start.
    joined: bool,
    removed: bool,
    leaving: Leaving,
    decisions: Vec<ReserveDecision>,
    /// Holdings that changed and are to be looked at.
    touched: BTreeSet<BudgetId>,
    /// Holdings that wait for an answer.
    busy: BTreeSet<BudgetId>,
    checked: Option<Time>,
    excess: Tokens,
}

impl Holdings {
    /// Makes an empty set of rights.
    #[must_use]
    pub fn new(me: Incarnation, vm: VmId, region: Region, pacing: Pacing) -> Self {
        let sealing =
            pacing.seal_holdings.then(|| Sealing { vm, clock: FleetClock::default(), heard: None });
        Self {
            me,
            maker: Maker { me, sealing },
            region,
            pacing,
            opened_version: None,
            table: BTreeMap::new(),
            transfers: Transfers::default(),
            bank: Bank::default(),
            view: Arc::default(),
            lenders: Lenders::default(),
            mute: BTreeMap::new(),
            answers: Vec::new(),
            joined: false,
            removed: false,
            leaving: Leaving::Stays,
            decisions: Vec::new(),
            touched: BTreeSet::new(),
            busy: BTreeSet::new(),
            checked: None,
            excess: Tokens::ZERO,
        }
    }

    /// Takes in the fleet's time.
    pub(crate) fn set_clock(&mut self, clock: FleetClock) {
        if let Some(sealing) = self.maker.sealing.as_mut() {
            sealing.clock = clock;
        }
    }

    /// Returns the budgets that have a holding.
    pub fn budgets(&self) -> impl Iterator<Item = &BudgetId> {
        self.table.keys()
    }

    /// Returns the figures of one budget.
    #[must_use]
    pub fn balance(&self, budget: &BudgetId) -> HoldingBalance {
        let moving = self.transfers.under_way(budget);
        let banked = self.bank.total(budget);
        let Some(holding) = self.table.get(budget) else {
            return HoldingBalance {
                in_transit: moving,
                witnessed: banked,
                ..HoldingBalance::default()
            };
        };
        HoldingBalance {
            free: holding.ready(),
            reserved: holding.reserved,
            parked: holding.free.saturating_sub(holding.ready()),
            sealed: holding.shut(),
            returning_sealed: if holding.op.is_some() { holding.returning } else { Tokens::ZERO },
            op_pending: holding.op.is_some(),
            returning_free: holding.back_under_way(),
            in_transit: moving,
            witnessed: banked,
            billed: holding.billed,
            wasted: holding.wasted,
        }
    }

    /// Returns how many tokens upstreams served beyond what was set aside for them.
    #[must_use]
    pub fn excess(&self) -> Tokens {
        self.excess
    }

    /// Learns the terms of a budget; a new period starts with nothing in hand.
    pub fn update_terms(
        &mut self,
        now: Time,
        budget: &BudgetId,
        terms: BudgetTerms,
        spread: Percent,
    ) {
        let Some(holding) = self.table.get_mut(budget) else {
            let hold = (spread, self.pacing.hold_ahead);
            let mut holding = Holding::new(now, terms, hold, self.region.clone());
            let part = self.lenders.part(budget, self.me);
            holding.lenders = part.lenders;
            holding.stands_in = part.stands_in;
            self.table.insert(budget.clone(), holding);
            return;
        };
        holding.spread = spread;
        if terms.version <= holding.terms.version {
            return;
        }
        if terms.period > holding.terms.period {
            let waiters = std::mem::take(&mut holding.waiters);
            let hold = (spread, self.pacing.hold_ahead);
            let lenders = std::mem::take(&mut holding.lenders);
            let stands_in = holding.stands_in;
            *holding = Holding::new(now, terms, hold, self.region.clone());
            holding.lenders = lenders;
            holding.stands_in = stands_in;
            // Whoever waits is served from the new period, and the search starts anew.
            holding.search = (!waiters.is_empty()).then_some(Search::Ledger { since: now });
            holding.waiters = waiters;
            self.touched.insert(budget.clone());
            return;
        }
        // What is held of a lowered budget goes back, so that the ledger shares it out anew.
        holding.recall |= terms.limit < holding.terms.limit;
        holding.left = None;
        holding.plan = HoldingPlan::Share(Tokens::MAX);
        holding.terms = terms;
    }

    /// Returns the period of a budget in force here.
    #[must_use]
    pub fn period(&self, budget: &BudgetId) -> Option<Period> {
        self.table.get(budget).map(|h| h.terms.period)
    }

    /// Does what is due: reports, parks, gives back, and ends searches.
    pub fn tick(&mut self, now: Time, out: &mut Outbox) {
        self.transfers.tick(now, out);
        if is_due(now, self.checked, Duration::from_secs(1)) {
            self.checked = Some(now);
            self.touched.extend(self.table.keys().cloned());
            self.tell_at_hand(now, out);
        }
        for id in self.busy.clone() {
            if self.lenders.is_empty() {
                // Sealed tokens come free with time alone; borrowers turn to another lender instead.
                self.serve_waiters(now, &id);
            }
            self.time_out(now, &id, out);
            self.touched.insert(id);
        }
        self.process_changed(now, out);
    }

    /// Looks again at every holding that changed.
    pub fn process_changed(&mut self, now: Time, out: &mut Outbox) {
        for id in std::mem::take(&mut self.touched) {
            self.plan_op(now, &id);
            self.plan_park(now, &id);
            self.pay_owed(now, &id, out);
            self.pass_on(now, &id, out);
            let busy = self.table.get(&id).is_some_and(Holding::is_busy);
            if busy {
                self.busy.insert(id);
            } else {
                self.busy.remove(&id);
            }
        }
        self.send_parks(now, out);
        self.answer_borrowers(now, out);
    }
}
