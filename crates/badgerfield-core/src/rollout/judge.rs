//! The state of a judge for one order: the newest tally of each process, and snapshots of the
//! evidence.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::verdict;
use super::{Evidence, RecordedEvidence, RolloutReason, RolloutTally};
use crate::amount::Time;
use crate::event::is_due;
use crate::ids::{Incarnation, Service};

/// Maximum number of processes whose tallies are kept, ended ones included. It exceeds the largest
/// supported fleet with several restarts of each process.
const MAX_REPORTERS: usize = 2048;
/// Time between two snapshots of the evidence, which reveal a version that turns bad later.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of snapshots: they cover the last half minute.
const MAX_SNAPSHOTS: usize = 6;
/// Number of answers of other versions from which the lack of answers of the target is suspicious.
const MIN_OTHER_ANSWERS: u32 = 200;
/// Number of answers of the target up to which a version that fails three in ten may lack the proof
/// that ends a canary.
const FEW_ANSWERS: u32 = 30;
/// Divisor of the order's time. Half of the processes must have counted for at least this part of
/// it before all requests move: if all processes restart, their latest counts are lost.
const COUNTED_TIME_DIVISOR: u32 = 8;

/// The evidence of one order.
#[derive(Debug, Clone, Default)]
pub struct Judge {
    tallies: BTreeMap<Incarnation, RolloutTally>,
    /// How long each process that has reported to this judge has counted.
    ages: BTreeMap<Incarnation, Duration>,
    /// Snapshots of `total`, the oldest first.
    snapshots: VecDeque<Evidence>,
    last_snapshot: Option<Time>,
    /// The sum of all tallies.
    total: Evidence,
    /// Whether reports have been received since the last verdict.
    has_new_reports: bool,
}

impl Judge {
    /// Applies the report of a process that has counted for `age`. Reports may arrive in any order;
    /// the counts of a process only grow, so the larger of two tallies is the newer one.
    pub fn apply_report(&mut self, reporter: Incarnation, tally: RolloutTally, age: Duration) {
        let is_older = self.tallies.get(&reporter).is_some_and(|known| {
            known.total_count() > tally.total_count() || known.moved && !tally.moved
        });
        if !is_older && self.replace_tally(reporter, tally) {
            self.ages.insert(reporter, age);
        }
    }

    /// Applies the evidence in the record, which has counts of processes that have ended.
    pub fn apply_recorded(
        &mut self,
        service: &Service,
        revision: u64,
        recorded: &RecordedEvidence,
    ) {
        for (reporter, counts) in recorded.tallies() {
            let known = self.tallies.get(&reporter);
            let tally = RolloutTally {
                service: service.clone(),
                revision,
                routes: counts.routes.clone(),
                upstreams: counts.upstreams.clone(),
                ready: known.map_or(0, |known| known.ready),
                running: known.map_or(0, |known| known.running),
                moved: known.is_some_and(|known| known.moved),
            };
            if known.is_none_or(|known| known.total_count() < tally.total_count()) {
                self.replace_tally(reporter, tally);
            }
        }
    }

    /// Returns the evidence to be recorded, if it has more of the target than what is recorded.
    #[must_use]
    pub fn evidence_to_record(
        &self,
        recorded: Option<&RecordedEvidence>,
    ) -> Option<RecordedEvidence> {
        let evidence = RecordedEvidence::new(&self.tallies);
        let known = recorded.map_or(0, RecordedEvidence::target_count);
        (evidence.target_count() > known).then_some(evidence)
    }

    /// Replaces the tally of a process; returns whether there is room for it.
    fn replace_tally(&mut self, reporter: Incarnation, tally: RolloutTally) -> bool {
        if self.tallies.len() >= MAX_REPORTERS && !self.tallies.contains_key(&reporter) {
            return false;
        }
        self.total.add(&tally);
        if let Some(old) = self.tallies.insert(reporter, tally) {
            self.total.subtract(&old);
        }
        self.has_new_reports = true;
        true
    }

    /// Takes a snapshot of the evidence when one is due, so that later answers can be judged
    /// separately.
    pub fn tick(&mut self, now: Time) {
        if !is_due(now, self.last_snapshot, SNAPSHOT_INTERVAL) {
            return;
        }
        self.last_snapshot = Some(now);
        self.snapshots.push_back(self.total.clone());
        if self.snapshots.len() > MAX_SNAPSHOTS {
            self.snapshots.pop_front();
        }
    }

    /// Returns the reason why the target is bad, if the reports since the last call show that it
    /// is.
    #[must_use]
    pub fn verdict(&mut self) -> Option<RolloutReason> {
        if !std::mem::take(&mut self.has_new_reports) {
            return None;
        }
        verdict::judge(&self.windows())
    }

    /// Returns whether half of the processes that have reported have counted for too small a part
    /// of the order's time, or whether none has reported.
    #[must_use]
    pub fn has_short_history(&self, span: Duration) -> bool {
        let mut ages: Vec<_> = self.ages.values().copied().collect();
        ages.sort_unstable();
        ages.get(ages.len() / 2).is_none_or(|median| *median < span / COUNTED_TIME_DIVISOR)
    }

    /// Returns the reason why the requests should not all move to the target, if there is one. This
    /// is the last verdict before they move.
    #[must_use]
    pub fn final_verdict(&self, span: Duration) -> Option<RolloutReason> {
        if self.ready_count() == 0 {
            return Some(RolloutReason::NoUpstreams);
        }
        let reported = self.reported_evidence();
        let lacks_evidence = reported.target().answers == 0 || self.has_short_history(span);
        if lacks_evidence && reported.others().answers >= MIN_OTHER_ANSWERS {
            return Some(RolloutReason::NoEvidence);
        }
        verdict::judge_final(&self.windows())
    }

    /// Returns the reason why the target should not become the only version, if there is one. A target
    /// that has given more than a few answers is left to [`Self::verdict`], for which they suffice.
    #[must_use]
    pub fn verdict_after_move(&self) -> Option<RolloutReason> {
        if self.total.target().answers > FEW_ANSWERS {
            return None;
        }
        verdict::judge_final(&self.windows())
    }

    /// Returns the number of upstreams of the target that take requests: the highest number that
    /// any process reports.
    #[must_use]
    pub fn ready_count(&self) -> u32 {
        self.tallies.values().map(|tally| tally.ready).max().unwrap_or_default()
    }

    /// Returns whether a process has reported that it has no requests running at other versions and
    /// sends none there.
    #[must_use]
    pub fn has_confirmed(&self, id: Incarnation) -> bool {
        self.tallies.get(&id).is_some_and(RolloutTally::is_confirmed)
    }

    /// Returns the sum of all tallies.
    #[must_use]
    pub fn evidence(&self) -> &Evidence {
        &self.total
    }

    /// Returns the sum of the tallies of processes that have reported to this judge.
    fn reported_evidence(&self) -> Evidence {
        let mut sum = Evidence::default();
        let reported = self.tallies.iter().filter(|(id, _)| self.ages.contains_key(id));
        for (_, tally) in reported {
            sum.add(tally);
        }
        sum
    }

    fn windows(&self) -> Vec<Evidence> {
        let recent = self.snapshots.iter().map(|snapshot| self.total.since(snapshot));
        std::iter::once(self.total.clone()).chain(recent).collect()
    }
}

impl RolloutTally {
    /// Returns a number that grows with each answer that is counted.
    #[must_use]
    pub fn total_count(&self) -> u64 {
        let count =
            |counts: super::AnswerCounts| u64::from(counts.answers) + u64::from(counts.bad());
        self.routes.iter().map(|route| count(route.target) + count(route.others)).sum()
    }

    /// Returns the number of bad answers of the target.
    #[must_use]
    pub fn bad_answers(&self) -> u32 {
        self.routes.iter().fold(0, |sum, route| sum.saturating_add(route.target.bad()))
    }

    /// Returns whether the process has no requests running at other versions and sends none there.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.moved && self.running == 0
    }
}
