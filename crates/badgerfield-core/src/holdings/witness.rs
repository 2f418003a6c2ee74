//! The bank: amounts that other holders have parked with this process.
//!
//! A holder touches a parked amount only after its bank has acknowledged a smaller
//! figure. When the holder is removed from the view, the amount is the bank's. When
//! the bank is removed first, the amount is the holder's again. Views have one order,
//! so both see the same one go first, and neither needs a clock or proof of death.

use std::collections::BTreeMap;

use crate::amount::Tokens;
use crate::ids::{BudgetId, Incarnation, Period};
use crate::message::ParkItem;
use crate::view::View;

/// What others have parked here.
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

/// An amount that has fallen to the bank.
#[derive(Debug)]
pub(crate) struct Inherited {
    pub(crate) owner: Incarnation,
    pub(crate) budget: BudgetId,
    pub(crate) period: Period,
    pub(crate) amount: Tokens,
}

impl Witness {
    /// Sets a parked amount; tells whether to acknowledge it.
    pub(crate) fn record(&mut self, view: &View, owner: Incarnation, item: &ParkItem) -> bool {
        // Once removed, an owner may neither add nor take back.
        if !view.has(owner) {
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

    /// Takes over what removed owners had parked.
    pub(crate) fn apply_view(&mut self, view: &View, me: Incarnation) -> Vec<Inherited> {
        let mut inherited = Vec::new();
        if !view.has(me) {
            self.owners.clear();
            return inherited;
        }
        self.owners.retain(|owner, amounts| {
            if view.has(*owner) {
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

    /// Tells whether nothing is parked here.
    pub(crate) fn is_empty(&self) -> bool {
        self.owners.values().flat_map(BTreeMap::values).all(|d| d.total.is_zero())
    }

    /// Returns what is parked here of one budget.
    pub(crate) fn total(&self, budget: &BudgetId) -> Tokens {
        let amounts = self.owners.values().filter_map(|d| d.get(budget));
        amounts.map(|d| d.total).sum()
    }
}
