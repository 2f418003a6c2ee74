//! Holdings: the tokens that this process may spend, and how it gets and gives them.
//!
//! Before a request may run, the most tokens it can cost are reserved. If too few are available,
//! the process searches for more: at the witness of its parked tokens, then at a lender, the
//! collector of the budget or the ledger, then at other holders. It refuses the request only when
//! none of them has enough.

mod demand;
mod holding;
mod ledger_replies;
mod lending;
mod local_holder;
mod parking;
mod peers;
mod pending_loans;
mod prefetch;
mod promises;
mod requests;
mod return_stats;
mod search;
mod slowest_answers;
mod transfer;
mod unsealing;
mod views;
mod waiting;
mod witness;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use self::holding::{Holding, Search};
use self::local_holder::{LocalHolder, Sealing};
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

/// Retry delay while the rest of a budget is reserved.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The outcome of a request to reserve tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The tokens are reserved, from the holding of this period.
    Reserved(Period),
    /// The decision follows as a [`ReserveDecision`].
    Waiting,
    /// No tokens are available.
    Refused(Refusal),
}

/// The decision on a request that waited for tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReserveDecision {
    /// The request.
    pub run: RunId,
    /// The period of the budget.
    pub period: Period,
    /// Why the request is refused, or `None` if the tokens are reserved.
    pub refusal: Option<Refusal>,
}

/// The balance of one budget at this process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HoldingBalance {
    /// Tokens available at once.
    pub free: Tokens,
    /// Tokens reserved for running requests.
    pub reserved: Tokens,
    /// Unsealed tokens that may be spent only after the witness has acknowledged a smaller parked
    /// amount.
    pub parked: Tokens,
    /// Sealed tokens, which are not spent until the seal has expired.
    pub sealed: Tokens,
    /// Sealed tokens on their way back to the ledger.
    pub returning_sealed: Tokens,
    /// Whether a ledger operation is pending, whose granted tokens are not known here yet.
    pub op_pending: bool,
    /// Unsealed tokens on their way back to the ledger.
    pub returning_free: Tokens,
    /// Tokens on their way to other holders.
    pub in_transit: Tokens,
    /// Tokens that other processes have parked here.
    pub witnessed: Tokens,
    /// Tokens billed in this period.
    pub billed: Tokens,
    /// Tokens used in this period without being billed.
    pub wasted: Tokens,
}

/// Whether a process is about to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Leaving {
    /// The process is not about to stop.
    Active,
    /// The process still serves requests, and returns the tokens they do not need.
    Retiring,
    /// The process receives no more requests.
    Closing,
}

impl Leaving {
    fn is_closing(self) -> bool {
        self == Self::Closing
    }
}

/// The holdings of this process.
#[derive(Debug)]
pub struct Holdings {
    me: Incarnation,
    local: LocalHolder,
    region: Region,
    pacing: Pacing,
    /// The version of the templates whose budgets have all been opened.
    pub(crate) opened_version: Option<TemplateVersion>,
    table: BTreeMap<BudgetId, Holding>,
    transfers: Transfers,
    witness: Witness,
    view: Arc<View>,
    lenders: Lenders,
    /// Lenders that did not answer, and when that was noticed.
    silent_lenders: BTreeMap<Incarnation, Time>,
    /// Answers to borrowers that are not sent yet.
    borrower_answers: Vec<lending::BorrowerAnswer>,
    /// Whether this process has been in a view. Before that it does not know which members lend and
    /// which of them writes the ledger: all processes that start at the same time would write it
    /// concurrently.
    joined: bool,
    removed: bool,
    leaving: Leaving,
    decisions: Vec<ReserveDecision>,
    /// Holdings that have changed and must be processed.
    changed: BTreeSet<BudgetId>,
    /// Holdings with waiting requests or outstanding answers.
    busy: BTreeSet<BudgetId>,
    checked_at: Option<Time>,
    excess: Tokens,
}

impl Holdings {
    /// Makes an empty table of holdings.
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

    /// Sets the fleet clock.
    pub(crate) fn set_clock(&mut self, clock: FleetClock) {
        if let Some(sealing) = self.local.sealing.as_mut() {
            sealing.clock = clock;
        }
    }

    /// Returns the budgets that have a holding.
    pub fn budgets(&self) -> impl Iterator<Item = &BudgetId> {
        self.table.keys()
    }

    /// Returns the balance of one budget.
    #[must_use]
    pub fn balance(&self, budget: &BudgetId) -> HoldingBalance {
        let in_transit = self.transfers.in_transit(budget);
        let witnessed = self.witness.total(budget);
        let Some(holding) = self.table.get(budget) else {
            return HoldingBalance { in_transit, witnessed, ..HoldingBalance::default() };
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
            in_transit,
            witnessed,
            billed: holding.billed,
            wasted: holding.wasted,
        }
    }

    /// Returns how many tokens upstreams used beyond what was reserved for their requests.
    #[must_use]
    pub fn excess(&self) -> Tokens {
        self.excess
    }

    /// Updates the terms of a budget. A new period starts without tokens.
    pub fn update_terms(
        &mut self,
        now: Time,
        budget: &BudgetId,
        terms: BudgetTerms,
        spread: Percent,
    ) {
        let Some(holding) = self.table.get_mut(budget) else {
            let hold_terms = (spread, self.pacing.hold_ahead);
            let mut holding = Holding::new(now, terms, hold_terms, self.region.clone());
            let role = self.lenders.role(budget, self.me);
            holding.lenders = role.lenders;
            holding.is_backup = role.is_backup;
            self.table.insert(budget.clone(), holding);
            return;
        };
        holding.spread = spread;
        if terms.version <= holding.terms.version {
            return;
        }
        if terms.period > holding.terms.period {
            let waiters = std::mem::take(&mut holding.waiters);
            let hold_terms = (spread, self.pacing.hold_ahead);
            let lenders = std::mem::take(&mut holding.lenders);
            let is_backup = holding.is_backup;
            *holding = Holding::new(now, terms, hold_terms, self.region.clone());
            holding.lenders = lenders;
            holding.is_backup = is_backup;
            // Waiting requests are served from the new period, so a new search starts at the
            // ledger.
            holding.search = (!waiters.is_empty()).then_some(Search::Ledger { since: now });
            holding.waiters = waiters;
            self.changed.insert(budget.clone());
            return;
        }
        // If the limit is lowered, held tokens are returned so that the ledger can share them out
        // again.
        holding.return_all |= terms.limit < holding.terms.limit;
        holding.remaining = None;
        holding.plan = HoldingPlan::Share(Tokens::MAX);
        holding.terms = terms;
    }

    /// Returns the current period of a budget.
    #[must_use]
    pub fn period(&self, budget: &BudgetId) -> Option<Period> {
        self.table.get(budget).map(|h| h.terms.period)
    }

    /// Sends due reports, parked amounts, returns and resends, and ends searches that took too
    /// long.
    pub fn tick(&mut self, now: Time, out: &mut Outbox) {
        self.transfers.resend_due(now, out);
        if is_due(now, self.checked_at, Duration::from_secs(1)) {
            self.checked_at = Some(now);
            self.changed.extend(self.table.keys().cloned());
            self.log_prefetched(now, out);
        }
        for id in self.busy.clone() {
            if self.lenders.is_empty() {
                // Sealed tokens become free as time passes, without any event. In a fleet with
                // lenders, borrowers turn to another lender instead.
                self.serve_waiters(now, &id);
            }
            self.handle_timeouts(now, &id, out);
            self.changed.insert(id);
        }
        self.process_changed(now, out);
    }

    /// Processes every holding that has changed.
    pub fn process_changed(&mut self, now: Time, out: &mut Outbox) {
        for id in std::mem::take(&mut self.changed) {
            self.plan_op(now, &id);
            self.plan_park(now, &id);
            self.answer_deferred(now, &id, out);
            self.forward_spare(now, &id, out);
            let is_busy = self.table.get(&id).is_some_and(Holding::is_busy);
            if is_busy {
                self.busy.insert(id);
            } else {
                self.busy.remove(&id);
            }
        }
        self.send_parks(now, out);
        self.answer_borrowers(now, out);
    }
}
