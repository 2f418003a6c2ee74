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
pub(crate) struct Bank {
    owners: BTreeMap<Incarnation, BTreeMap<BudgetId, Deposit>>,
}

#[derive(Debug, Clone, Copy)]
struct Deposit {
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

impl Bank {
    /// Sets a parked amount; tells whether to acknowledge it.
    pub(crate) fn set(&mut self, view: &View, owner: Incarnation, item: &ParkItem) -> bool {
        // Once removed, an owner may neither add nor take back.
        if !view.has(owner) {
            return false;
        }
        let deposits = self.owners.entry(owner).or_default();
        let new = Deposit { period: item.period, seq: item.seq, total: item.total };
        let Some(old) = deposits.get_mut(&item.budget) else {
            deposits.insert(item.budget.clone(), new);
            return true;
        };
        let rank = |d: &Deposit| (d.period, d.seq);
        if rank(&new) > rank(old) {
            *old = new;
        }
        rank(&new) >= rank(old)
    }

    /// Takes over what removed owners had parked.
    pub(crate) fn adopt(&mut self, view: &View, me: Incarnation) -> Vec<Inherited> {
        let mut inherited = Vec::new();
        if !view.has(me) {
            self.owners.clear();
            return inherited;
        }
        self.owners.retain(|owner, deposits| {
            if view.has(*owner) {
                return true;
            }
            for (budget, deposit) in std::mem::take(deposits) {
                let (period, amount) = (deposit.period, deposit.total);
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
        let deposits = self.owners.values().filter_map(|d| d.get(budget));
        deposits.map(|d| d.total).sum()
    }
}
