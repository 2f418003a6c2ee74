//! A record of what upstreams ran and what was billed, against which answers, refusals and bills
//! are checked.

use std::collections::BTreeMap;

use badgerfield_core::amount::{Time, Tokens};
use badgerfield_core::event::Bill;
use badgerfield_core::ids::{BudgetId, Period, RequestKey, UpstreamId};
use badgerfield_core::refusal::Outcome;
use badgerfield_core::template::TemplateSet;

use super::upstreams::{expected_part, part_count};
use super::{End, Fleet, Wish};

/// What upstreams ran and what was billed.
#[derive(Debug, Default)]
pub struct Truth {
    /// How many times each key was run.
    pub runs: BTreeMap<RequestKey, u64>,
    /// How many times each key was billed, and the total cost.
    pub bills: BTreeMap<RequestKey, (u64, Tokens)>,
    /// Tokens served by upstreams, by budget.
    pub served: BTreeMap<usize, u64>,
    /// Tokens billed, by budget.
    pub billed: BTreeMap<BudgetId, u64>,
    /// The number of dispatches to each upstream, and the time of the last one.
    pub dispatches: BTreeMap<UpstreamId, (u64, Time)>,
    allowed: BTreeMap<usize, BTreeMap<Period, u64>>,
}

impl Truth {
    /// Records the limits of templates that an operator wrote.
    pub(super) fn record_limits(&mut self, set: &TemplateSet) {
        for (i, id) in (0..set.budgets.len()).map(|i| (i, Fleet::budget(i))) {
            let Some(budget) = set.budgets.get(&id) else {
                continue;
            };
            let periods = self.allowed.entry(i).or_default();
            let allowed = periods.entry(budget.period).or_default();
            // Tokens that were held before a limit was lowered may still be spent.
            *allowed = (*allowed).max(budget.limit.0);
        }
    }

    /// Returns the tokens of a budget that upstreams may serve, as the sum over its periods so far.
    #[must_use]
    pub fn allowed(&self, budget: usize) -> u64 {
        self.allowed.get(&budget).map_or(0, |periods| periods.values().sum())
    }

    /// Returns the tokens served above the allowed amounts, as the sum over all budgets.
    #[must_use]
    pub fn overspend(&self) -> u64 {
        self.served
            .iter()
            .map(|(budget, served)| served.saturating_sub(self.allowed(*budget)))
            .sum()
    }

    pub(super) fn record_run(&mut self, wish: &Wish, upstream: &UpstreamId, now: Time) {
        let dispatches = self.dispatches.entry(upstream.clone()).or_default();
        *dispatches = (dispatches.0 + 1, now);
        if let Some(key) = key_of(wish) {
            *self.runs.entry(key).or_default() += 1;
        }
    }

    pub(super) fn record_served(&mut self, budget: usize, _set: &TemplateSet, tokens: u64) {
        *self.served.entry(budget).or_default() += tokens;
    }

    pub(super) fn record_bill(&mut self, bill: &Bill) {
        if !bill.billed {
            return;
        }
        *self.billed.entry(bill.budget.clone()).or_default() += bill.cost.0;
        let Some(key) = bill.key else {
            return;
        };
        let entry = self.bills.entry(key).or_default();
        *entry = (entry.0 + 1, entry.1.saturating_add(bill.cost));
    }

    /// Checks the end of a request against this record, and adds violations to `faults`.
    pub(super) fn check_end(&self, wish: &Wish, end: &End, data: &[u64], faults: &mut Vec<String>) {
        let Some(key) = key_of(wish) else {
            return;
        };
        let ran = self.runs.get(&key).copied().unwrap_or(0);
        let billed = self.bills.get(&key).map_or(0, |b| b.0);
        if let End::Refused(refusal) | End::Broken(refusal) = end
            && refusal.outcome == Outcome::NotRun
            && (ran > 0 || billed > 0)
        {
            let cause = refusal.cause;
            faults.push(format!("{key} ran {ran} times, but was refused as not run: {cause}"));
        }
        let name = key.to_string();
        let expected: Vec<_> =
            (0..part_count(wish.service)).map(|i| expected_part(&name, i as u64)).collect();
        if matches!(end, End::Whole(_)) && data != expected {
            faults.push(format!("{key} got {data:?} as a whole answer"));
        }
        if !expected.starts_with(data) {
            faults.push(format!("{key} got {data:?}, which is not its answer"));
        }
    }

    /// Returns the violations among all runs and bills so far. `once` returns whether a key belongs
    /// to an at-most-once request.
    #[must_use]
    pub fn violations(&self, once: &dyn Fn(&RequestKey) -> bool) -> Vec<String> {
        let mut found = Vec::new();
        for (budget, served) in &self.served {
            let allowed = self.allowed(*budget);
            if *served > allowed {
                found.push(format!("budget {budget}: served {served}, allowed {allowed}"));
            }
        }
        for (key, (count, _)) in &self.bills {
            if *count > 1 {
                found.push(format!("{key} was billed {count} times"));
            }
        }
        for (key, runs) in &self.runs {
            if *runs > 1 && once(key) {
                found.push(format!("{key} may run once, but ran {runs} times"));
            }
        }
        found
    }
}

/// Returns the system's key of a request, if the caller set one.
#[must_use]
pub fn key_of(wish: &Wish) -> Option<RequestKey> {
    let key = wish.key.as_ref()?;
    Some(RequestKey::new(&Fleet::budget(wish.budget), key))
}
