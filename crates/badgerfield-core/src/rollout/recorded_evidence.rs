//! Evidence in the record of a rollout, which outlasts the processes that counted it.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{AnswerCounts, RolloutTally, RouteTally};
use crate::ids::Incarnation;

/// The maximum number of counts that are recorded, of some 110 bytes each in JSON: the store takes
/// values up to a megabyte. Processes with the most answers of the target come first.
const MAX_COUNTS: usize = 4096;

/// What one process had counted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RecordedTally {
    pub(super) routes: Vec<RouteTally>,
    pub(super) upstreams: Vec<(u32, AnswerCounts)>,
}

/// The evidence of a judge at the time at which it wrote the record: the counts of each process, so
/// that those which it reports later replace them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedEvidence(BTreeMap<Incarnation, RecordedTally>);

impl RecordedEvidence {
    /// Creates recorded evidence from the tallies of processes that have had answers of the target.
    pub(super) fn new(tallies: &BTreeMap<Incarnation, RolloutTally>) -> Self {
        let mut counted: Vec<_> =
            tallies.iter().filter(|(_, tally)| tally.target_count() > 0).collect();
        counted.sort_by_key(|(_, tally)| Reverse(tally.target_count()));
        let mut recorded = BTreeMap::new();
        let mut count = 0;
        for (id, tally) in counted {
            count += tally.routes.len() + tally.upstreams.len();
            if count > MAX_COUNTS {
                break;
            }
            let (routes, upstreams) = (tally.routes.clone(), tally.upstreams.clone());
            recorded.insert(*id, RecordedTally { routes, upstreams });
        }
        Self(recorded)
    }

    /// Returns the counts of each process.
    pub(super) fn tallies(&self) -> impl Iterator<Item = (Incarnation, &RecordedTally)> {
        self.0.iter().map(|(id, tally)| (*id, tally))
    }

    /// Returns a number that grows with each answer of the target that is recorded, and with each
    /// that turns out to be bad.
    pub(super) fn target_count(&self) -> u64 {
        self.0.values().map(|tally| target_count(&tally.routes)).sum()
    }
}

impl RolloutTally {
    /// Returns a number that grows with each answer of the target, and with each that turns out to
    /// be bad.
    fn target_count(&self) -> u64 {
        target_count(&self.routes)
    }
}

fn target_count(routes: &[RouteTally]) -> u64 {
    let count = |counts: AnswerCounts| u64::from(counts.answers) + u64::from(counts.bad());
    routes.iter().map(|route| count(route.target)).sum()
}
