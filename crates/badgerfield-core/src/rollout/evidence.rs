//! How requests went, added up over processes.

use std::collections::BTreeMap;

use super::{AnswerCounts, RolloutTally};

/// How requests went at the target and, on the same routes over the same time, at others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evidence {
    /// By route: at the target, and at others.
    pub routes: BTreeMap<String, (AnswerCounts, AnswerCounts)>,
    /// By upstream of the target.
    pub upstreams: BTreeMap<u32, AnswerCounts>,
}

impl AnswerCounts {
    /// Returns the sum.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            answers: self.answers.saturating_add(other.answers),
            failed: self.failed.saturating_add(other.failed),
            slow: self.slow.saturating_add(other.slow),
        }
    }

    /// Returns what came since an older count.
    #[must_use]
    pub fn minus(self, older: Self) -> Self {
        Self {
            answers: self.answers.saturating_sub(older.answers),
            failed: self.failed.saturating_sub(older.failed),
            slow: self.slow.saturating_sub(older.slow),
        }
    }

    /// Returns how many answers were bad.
    #[must_use]
    pub fn bad(self) -> u32 {
        self.failed.saturating_add(self.slow)
    }
}

impl Evidence {
    /// Adds what one process told.
    pub fn add(&mut self, tally: &RolloutTally) {
        for route in &tally.routes {
            if !self.routes.contains_key(&route.route) {
                self.routes.insert(route.route.clone(), Default::default());
            }
        }
        self.change(tally, AnswerCounts::plus);
    }

    /// Takes back what one process told before.
    pub fn take_back(&mut self, tally: &RolloutTally) {
        self.change(tally, AnswerCounts::minus);
    }

    fn change(
        &mut self,
        tally: &RolloutTally,
        with: impl Fn(AnswerCounts, AnswerCounts) -> AnswerCounts,
    ) {
        for route in &tally.routes {
            if let Some(sum) = self.routes.get_mut(&route.route) {
                *sum = (with(sum.0, route.target), with(sum.1, route.others));
            }
        }
        for (upstream, counts) in &tally.upstreams {
            let sum = self.upstreams.entry(*upstream).or_default();
            *sum = with(*sum, *counts);
        }
    }

    /// Returns what came since older evidence of the same roll-out.
    #[must_use]
    pub fn since(&self, older: &Self) -> Self {
        let mut since = self.clone();
        for (route, counts) in &mut since.routes {
            if let Some(old) = older.routes.get(route) {
                *counts = (counts.0.minus(old.0), counts.1.minus(old.1));
            }
        }
        for (upstream, counts) in &mut since.upstreams {
            if let Some(old) = older.upstreams.get(upstream) {
                *counts = counts.minus(*old);
            }
        }
        since
    }

    /// Returns all answers of the target.
    #[must_use]
    pub fn target(&self) -> AnswerCounts {
        self.routes.values().fold(AnswerCounts::default(), |sum, (target, _)| sum.plus(*target))
    }

    /// Returns all answers of others.
    #[must_use]
    pub fn others(&self) -> AnswerCounts {
        self.routes.values().fold(AnswerCounts::default(), |sum, (_, others)| sum.plus(*others))
    }
}
