//! What upstreams really did and what was billed, to hold the system's word against.

use std::collections::BTreeMap;

use badgerfield_core::amount::{Time, Tokens};
use badgerfield_core::event::Bill;
use badgerfield_core::ids::{BudgetId, Period, RequestKey, UpstreamId};
use badgerfield_core::refusal::Outcome;
use badgerfield_core::template::TemplateSet;

use super::upstreams::{parts_of, truth_part};
use super::{End, Fleet, Wish};

/// What really happened.
#[derive(Debug, Default)]
pub struct Truth {
    /// How often each key ran.
    pub runs: BTreeMap<RequestKey, u64>,
    /// How often each key was billed, and for how much in all.
    pub bills: BTreeMap<RequestKey, (u64, Tokens)>,
    /// Tokens that upstreams served, by budget.
    pub served: BTreeMap<usize, u64>,
    /// Tokens billed, by budget.
    pub billed: BTreeMap<BudgetId, u64>,
    /// Dispatches to each upstream, with the time of the last.
    pub dispatches: BTreeMap<UpstreamId, (u64, Time)>,
    allowed: BTreeMap<usize, BTreeMap<Period, u64>>,
}

impl Truth {
    /// Notes the limits that operators have set.
    pub(super) fn limits(&mut self, set: &TemplateSet) {
        for (i, id) in (0..set.budgets.len()).map(|i| (i, Fleet::budget(i))) {
            let Some(budget) = set.budgets.get(&id) else {
                continue;
            };
            let periods = self.allowed.entry(i).or_default();
            let allowed = periods.entry(budget.period).or_default();
            // What was held under a higher limit may still be spent.
            *allowed = (*allowed).max(budget.limit.0);
        }
    }

    /// Returns what may be served of a budget over all its periods so far.
    #[must_use]
    pub fn allowed(&self, budget: usize) -> u64 {
        self.allowed.get(&budget).map_or(0, |periods| periods.values().sum())
    }

    /// Returns the tokens served beyond what was allowed, over all budgets.
    #[must_use]
    pub fn overspend(&self) -> u64 {
        self.served
            .iter()
            .map(|(budget, served)| served.saturating_sub(self.allowed(*budget)))
            .sum()
    }

    pub(super) fn run(&mut self, wish: &Wish, upstream: &UpstreamId, now: Time) {
        let dispatches = self.dispatches.entry(upstream.clone()).or_default();
        *dispatches = (dispatches.0 + 1, now);
        if let Some(key) = key_of(wish) {
            *self.runs.entry(key).or_default() += 1;
        }
    }

    pub(super) fn serve(&mut self, budget: usize, _set: &TemplateSet, tokens: u64) {
        *self.served.entry(budget).or_default() += tokens;
    }

    pub(super) fn bill(&mut self, bill: &Bill) {
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

    /// Holds the end of a request against the truth.
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
            (0..parts_of(wish.service)).map(|i| truth_part(&name, i as u64)).collect();
        if matches!(end, End::Whole(_)) && data != expected {
            faults.push(format!("{key} got {data:?} as a whole answer"));
        }
        if !expected.starts_with(data) {
            faults.push(format!("{key} got {data:?}, which is not its answer"));
        }
    }

    /// Lists what must never be, as far as it is visible now.
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

/// Returns the key of a wish as the system knows it.
#[must_use]
pub fn key_of(wish: &Wish) -> Option<RequestKey> {
    let key = wish.key.as_ref()?;
    Some(RequestKey::new(&Fleet::budget(wish.budget), key))
}
