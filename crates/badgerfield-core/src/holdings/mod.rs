//! Holdings: the spending rights of this process, and how it gets and gives them.
//!
//! A request sets aside the most it can cost before it may run. When too little is
//! free, the process asks its bank for what it parked, then the ledger, then other
//! holders, and refuses only when all of them have nothing.

mod demand;
mod holding;
mod ledger_replies;
mod lending;
mod parking;
mod peers;
mod pending_loans;
mod promises;
mod requests;
mod return_stats;
mod search;
mod transfer;
mod unsealing;
mod views;
mod waiting;
mod witness;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use self::holding::{Holding, LocalHolder, Sealing, Search};
use self::transfer::Transfers;
use self::witness::Witness;
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
const RETRY_AFTER: Duration = Duration::from_secs(1);

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
    Active,
    /// It still serves those who ask it, and gives back what they do not need.
    Retiring,
    /// Nobody asks it any more.
    Closing,
}

impl Leaving {
    fn is_closing(self) -> bool {
        self == Self::Closing
    }
}

/// The spending rights of this process.
#[derive(Debug)]
pub struct Holdings {
    me: Incarnation,
    local: LocalHolder,
    region: Region,
    pacing: Pacing,
    /// The version of the templates whose budgets were all opened.
    pub(crate) opened_version: Option<TemplateVersion>,
    table: BTreeMap<BudgetId, Holding>,
    transfers: Transfers,
    witness: Witness,
    view: Arc<View>,
    lenders: Lenders,
    /// Lenders that did not answer, and when they were asked.
    silent_lenders: BTreeMap<Incarnation, Time>,
    /// What became of borrowers' asks, to be sent.
    borrower_answers: Vec<lending::BorrowerAnswer>,
    /// Whether this process has been in a view. Before that it does not know who lends and who
    /// writes the ledger, and would write for itself beside all others that start.
    joined: bool,
    removed: bool,
    leaving: Leaving,
    decisions: Vec<ReserveDecision>,
    /// Holdings that changed and are to be looked at.
    changed: BTreeSet<BudgetId>,
    /// Holdings that wait for an answer.
    busy: BTreeSet<BudgetId>,
    checked_at: Option<Time>,
    excess: Tokens,
}

impl Holdings {
    /// Makes an empty set of rights.
    #[must_use]
    pub fn new(me: Incarnation, vm: VmId, region: Region, pacing: Pacing) -> Self {
        let sealing = pacing.seal_holdings.then(|| Sealing {
            vm,
            clock: FleetClock::default(),
            last_reply: None,
        });
        Self {
            me,
            local: LocalHolder { me, sealing },
            region,
            pacing,
            opened_version: None,
            table: BTreeMap::new(),
            transfers: Transfers::default(),
            witness: Witness::default(),
            view: Arc::default(),
            lenders: Lenders::default(),
            silent_lenders: BTreeMap::new(),
            borrower_answers: Vec::new(),
            joined: false,
            removed: false,
            leaving: Leaving::Active,
            decisions: Vec::new(),
            changed: BTreeSet::new(),
            busy: BTreeSet::new(),
            checked_at: None,
            excess: Tokens::ZERO,
        }
    }

    /// Takes in the fleet's time.
    pub(crate) fn set_clock(&mut self, clock: FleetClock) {
        if let Some(sealing) = self.local.sealing.as_mut() {
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
        let in_transit = self.transfers.in_transit(budget);
        let witnessed = self.witness.total(budget);
        let Some(holding) = self.table.get(budget) else {
            return HoldingBalance {
                in_transit: in_transit,
                witnessed: witnessed,
                ..HoldingBalance::default()
            };
        };
        HoldingBalance {
            free: holding.available(),
            reserved: holding.reserved,
            parked: holding.free.saturating_sub(holding.available()),
            sealed: holding.sealed_total(),
            returning_sealed: if holding.op.is_some() {
                holding.returning_sealed
            } else {
                Tokens::ZERO
            },
            op_pending: holding.op.is_some(),
            returning_free: holding.returning_free(),
            in_transit: in_transit,
            witnessed: witnessed,
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
            holding.is_backup = part.stands_in;
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
            let is_backup = holding.is_backup;
            *holding = Holding::new(now, terms, hold, self.region.clone());
            holding.lenders = lenders;
            holding.is_backup = is_backup;
            // Whoever waits is served from the new period, and the search starts anew.
            holding.search = (!waiters.is_empty()).then_some(Search::Ledger { since: now });
            holding.waiters = waiters;
            self.changed.insert(budget.clone());
            return;
        }
        // What is held of a lowered budget goes back, so that the ledger shares it out anew.
        holding.return_all |= terms.limit < holding.terms.limit;
        holding.remaining = None;
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
        self.transfers.resend_due(now, out);
        if is_due(now, self.checked_at, Duration::from_secs(1)) {
            self.checked_at = Some(now);
            self.changed.extend(self.table.keys().cloned());
            self.log_prefetched(now, out);
        }
        for id in self.busy.clone() {
            if self.lenders.is_empty() {
                // Sealed tokens come free with time alone; borrowers turn to another lender instead.
                self.serve_waiters(now, &id);
            }
            self.handle_timeouts(now, &id, out);
            self.changed.insert(id);
        }
        self.process_changed(now, out);
    }

    /// Looks again at every holding that changed.
    pub fn process_changed(&mut self, now: Time, out: &mut Outbox) {
        for id in std::mem::take(&mut self.changed) {
            self.plan_op(now, &id);
            self.plan_park(now, &id);
            self.answer_deferred(now, &id, out);
            self.forward_spare(now, &id, out);
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
