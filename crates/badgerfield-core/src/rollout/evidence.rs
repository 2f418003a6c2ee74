//! Counts of answers, added up over processes.

use std::collections::BTreeMap;

use super::{AnswerCounts, RolloutTally};

/// Counts of answers of the target and of the other versions, on the same routes and over the same
/// time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evidence {
    /// By route: the counts of the target, and of the other versions.
    pub routes: BTreeMap<String, (AnswerCounts, AnswerCounts)>,
    /// The counts of each upstream of the target.
    pub upstreams: BTreeMap<u32, AnswerCounts>,
}

impl AnswerCounts {
    /// Returns the sum of both counts.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self {
            answers: self.answers.saturating_add(other.answers),
            failed: self.failed.saturating_add(other.failed),
            slow: self.slow.saturating_add(other.slow),
        }
    }

    /// Returns the answers counted since an older count.
    #[must_use]
    pub fn saturating_sub(self, older: Self) -> Self {
        Self {
            answers: self.answers.saturating_sub(older.answers),
            failed: self.failed.saturating_sub(older.failed),
            slow: self.slow.saturating_sub(older.slow),
        }
    }

    /// Returns the number of bad answers.
    #[must_use]
    pub fn bad(self) -> u32 {
        self.failed.saturating_add(self.slow)
    }
}

impl Evidence {
    /// Adds the tally of one process.
    pub fn add(&mut self, tally: &RolloutTally) {
        for route in &tally.routes {
            if !self.routes.contains_key(&route.route) {
                self.routes.insert(route.route.clone(), Default::default());
            }
        }
        self.combine(tally, AnswerCounts::saturating_add);
    }

    /// Subtracts an older tally of one process.
    pub fn subtract(&mut self, tally: &RolloutTally) {
        self.combine(tally, AnswerCounts::saturating_sub);
    }

    fn combine(
        &mut self,
        tally: &RolloutTally,
        operation: impl Fn(AnswerCounts, AnswerCounts) -> AnswerCounts,
    ) {
        for route in &tally.routes {
            if let Some(sum) = self.routes.get_mut(&route.route) {
                *sum = (operation(sum.0, route.target), operation(sum.1, route.others));
            }
        }
        for (upstream, counts) in &tally.upstreams {
            let sum = self.upstreams.entry(*upstream).or_default();
            *sum = operation(*sum, *counts);
        }
    }

    /// Returns the answers counted since older evidence of the same rollout.
    #[must_use]
    pub fn since(&self, older: &Self) -> Self {
        let mut since = self.clone();
        for (route, counts) in &mut since.routes {
            if let Some(old) = older.routes.get(route) {
                *counts = (counts.0.saturating_sub(old.0), counts.1.saturating_sub(old.1));
            }
        }
        for (upstream, counts) in &mut since.upstreams {
            if let Some(old) = older.upstreams.get(upstream) {
                *counts = counts.saturating_sub(*old);
            }
        }
        since
    }

    /// Returns the counts of the target over all routes.
    #[must_use]
    pub fn target(&self) -> AnswerCounts {
        self.routes
            .values()
            .fold(AnswerCounts::default(), |sum, (target, _)| sum.saturating_add(*target))
    }

    /// Returns the counts of the other versions over all routes.
    #[must_use]
    pub fn others(&self) -> AnswerCounts {
        self.routes
            .values()
            .fold(AnswerCounts::default(), |sum, (_, others)| sum.saturating_add(*others))
    }
}
