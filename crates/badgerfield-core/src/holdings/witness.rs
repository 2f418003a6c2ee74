//! The witness: records the amounts that other holders have parked at this process.
//!
//! A holder spends parked tokens only after its witness has acknowledged a smaller amount. When the
//! holder is removed from the view, the parked tokens belong to the witness. When the witness is
//! removed first, they belong to the holder again. Views are totally ordered, so both processes see
//! the same one removed first. Neither needs a clock or proof that the other has ended. In a fleet
//! that seals tokens, the witness does not spend them but reports them to the ledger.

use std::collections::BTreeMap;

use crate::amount::Tokens;
use crate::ids::{BudgetId, Incarnation, Period};
use crate::message::ParkItem;
use crate::view::View;

/// The amounts that other processes have parked here.
#[derive(Debug, Default)]
pub(crate) struct Witness {
    owners: BTreeMap<Incarnation, BTreeMap<BudgetId, ParkedAmount>>,
}

#[derive(Debug, Clone, Copy)]
struct ParkedAmount {
    period: Period,
    seq: u64,
    total: Tokens,
}

/// An amount that belongs to the witness because its owner was removed.
#[derive(Debug)]
pub(crate) struct Inherited {
    pub(crate) owner: Incarnation,
    pub(crate) budget: BudgetId,
    pub(crate) period: Period,
    pub(crate) amount: Tokens,
}

impl Witness {
    /// Records a parked amount. Returns whether to acknowledge it.
    pub(crate) fn record(&mut self, view: &View, owner: Incarnation, item: &ParkItem) -> bool {
        // A removed owner may neither add tokens nor reclaim them.
        if !view.has_member(owner) {
            return false;
        }
        let amounts = self.owners.entry(owner).or_default();
        let new = ParkedAmount { period: item.period, seq: item.seq, total: item.total };
        let Some(old) = amounts.get_mut(&item.budget) else {
            amounts.insert(item.budget.clone(), new);
            return true;
        };
        let order = |d: &ParkedAmount| (d.period, d.seq);
        if order(&new) > order(old) {
            *old = new;
        }
        order(&new) >= order(old)
    }

    /// Applies a view. Returns the amounts parked by removed owners.
    pub(crate) fn apply_view(&mut self, view: &View, me: Incarnation) -> Vec<Inherited> {
        let mut inherited = Vec::new();
        if !view.has_member(me) {
            self.owners.clear();
            return inherited;
        }
        self.owners.retain(|owner, amounts| {
            if view.has_member(*owner) {
                return true;
            }
            for (budget, parked) in std::mem::take(amounts) {
                let (period, amount) = (parked.period, parked.total);
                inherited.push(Inherited { owner: *owner, budget, period, amount });
            }
            false
        });
        inherited
    }

    /// Returns whether nothing is parked here.
    pub(crate) fn is_empty(&self) -> bool {
        self.owners.values().flat_map(BTreeMap::values).all(|d| d.total.is_zero())
    }

    /// Returns how many tokens of a budget an owner has parked here.
    pub(crate) fn total_of(&self, owner: Incarnation, budget: &BudgetId) -> Tokens {
        let parked = self.owners.get(&owner).and_then(|amounts| amounts.get(budget));
        parked.map_or(Tokens::ZERO, |amount| amount.total)
    }

    /// Returns how many tokens of a budget are parked here.
    pub(crate) fn total(&self, budget: &BudgetId) -> Tokens {
        let amounts = self.owners.values().filter_map(|d| d.get(budget));
        amounts.map(|d| d.total).sum()
    }
}
