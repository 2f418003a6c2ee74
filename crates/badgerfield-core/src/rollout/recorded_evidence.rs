//! Evidence in the record of a rollout, which outlasts the processes that counted it.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::Evidence;
use crate::ids::Incarnation;

/// The maximum number of processes whose counts are recorded, which exceeds the largest supported
/// fleet.
const MAX_REPORTERS: usize = 1024;
/// The maximum number of upstreams that are recorded separately: those with the most answers.
const MAX_UPSTREAMS: usize = 64;

/// The evidence of a judge at the time at which it wrote the record.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedEvidence {
    /// The answers that were counted by processes that had ended.
    past: Evidence,
    /// The answers that were counted by `reporters`. Each of them reports all its answers as long as
    /// it runs.
    present: Evidence,
    reporters: BTreeSet<Incarnation>,
}

impl RecordedEvidence {
    /// Creates recorded evidence; returns `None` if there are too many reporters to tell later
    /// whether they have ended.
    pub(super) fn new(
        past: Evidence,
        present: Evidence,
        reporters: BTreeSet<Incarnation>,
    ) -> Option<Self> {
        let [past, present] = [past, present].map(limit_upstreams);
        (reporters.len() <= MAX_REPORTERS).then_some(Self { past, present, reporters })
    }

    /// Returns the answers that were counted by processes that have ended, as far as that is
    /// certain: all if nobody reports who did when this was recorded.
    pub(super) fn past(&self, mut reporters: impl Iterator<Item = Incarnation>) -> Evidence {
        if reporters.any(|reporter| self.reporters.contains(&reporter)) {
            return self.past.clone();
        }
        self.total()
    }

    /// Returns all recorded answers.
    pub(super) fn total(&self) -> Evidence {
        self.past.plus(&self.present)
    }
}

fn limit_upstreams(mut evidence: Evidence) -> Evidence {
    if evidence.upstreams.len() > MAX_UPSTREAMS {
        let mut upstreams: Vec<_> = evidence.upstreams.into_iter().collect();
        upstreams.sort_by_key(|(_, counts)| Reverse(counts.answers));
        upstreams.truncate(MAX_UPSTREAMS);
        evidence.upstreams = upstreams.into_iter().collect();
    }
    evidence
}
