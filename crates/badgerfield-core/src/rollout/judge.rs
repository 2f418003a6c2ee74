//! What a judge keeps of one order: the newest tally of every process, and evidence of the past.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::verdict;
use super::{Evidence, RolloutReason, RolloutTally};
use crate::amount::Time;
use crate::event::is_due;
use crate::ids::Incarnation;

/// How many processes' tallies are kept, those of ended ones among them: more than the largest
/// fleet that is meant, each started anew several times.
const MAX_REPORTERS: usize = 2048;
/// How often the evidence is set aside, to find a version that turns bad later.
const SET_ASIDE: Duration = Duration::from_secs(5);
/// How many times it is kept that the evidence was set aside: half a minute of the past.
const MAX_WINDOWS: usize = 6;
/// From how many answers of others on it is odd that the target has none.
const SOME_OTHERS: u32 = 200;
/// Which part of the time of an order half of the processes must have counted for, before all
/// requests move: one in so many. After all of them ended, what they knew is gone.
const COUNTED_PART: u32 = 8;

/// What a judge knows of one order.
#[derive(Debug, Clone, Default)]
pub struct Judge {
    tallies: BTreeMap<Incarnation, RolloutTally>,
    /// For how long each process has counted.
    ages: BTreeMap<Incarnation, Duration>,
    /// What the sum was each time that it was set aside, the oldest first.
    past: VecDeque<Evidence>,
    set_aside_at: Option<Time>,
    /// All tallies added up.
    sum: Evidence,
    /// Whether anything was heard since the last verdict.
    is_news: bool,
}

impl Judge {
    /// Takes in what a process told that has counted for so long. Reports may arrive in any
    /// order; counts of a process only grow, so that the larger one of two is the newer one.
    pub fn apply_report(&mut self, from: Incarnation, tally: RolloutTally, age: Duration) {
        let is_older = self
            .tallies
            .get(&from)
            .is_some_and(|known| known.size() > tally.size() || known.moved && !tally.moved);
        if is_older || self.tallies.len() >= MAX_REPORTERS && !self.tallies.contains_key(&from) {
            return;
        }
        self.sum.add(&tally);
        if let Some(old) = self.tallies.insert(from, tally) {
            self.sum.take_back(&old);
        }
        self.ages.insert(from, age);
        self.is_news = true;
    }

    /// Sets the evidence aside now and then, so that what came since can be looked at by itself.
    pub fn tick(&mut self, now: Time) {
        if !is_due(now, self.set_aside_at, SET_ASIDE) {
            return;
        }
        self.set_aside_at = Some(now);
        self.past.push_back(self.sum.clone());
        if self.past.len() > MAX_WINDOWS {
            self.past.pop_front();
        }
    }

    /// Tells why the target is bad, if what was heard since the last look says so.
    #[must_use]
    pub fn verdict(&mut self) -> Option<RolloutReason> {
        if !std::mem::take(&mut self.is_news) {
            return None;
        }
        verdict::judge(&self.windows())
    }

    /// Tells whether half of the processes that reported here have counted for too small a part
    /// of an order's time, or none has reported.
    #[must_use]
    pub fn is_young(&self, span: Duration) -> bool {
        let mut ages: Vec<_> = self.ages.values().copied().collect();
        ages.sort_unstable();
        ages.get(ages.len() / 2).is_none_or(|middle| *middle < span / COUNTED_PART)
    }

    /// Tells why not all requests should move to the target of an order, at the last look
    /// before.
    #[must_use]
    pub fn last_verdict(&self, span: Duration) -> Option<RolloutReason> {
        if self.ready() == 0 {
            return Some(RolloutReason::NoUpstreams);
        }
        let is_unknown = self.sum.target().answers == 0 || self.is_young(span);
        if is_unknown && self.sum.others().answers >= SOME_OTHERS {
            return Some(RolloutReason::NoEvidence);
        }
        verdict::judge_final(&self.windows())
    }

    /// Returns how many upstreams of the target take requests, as the process tells that knows
    /// most of them.
    #[must_use]
    pub fn ready(&self) -> u32 {
        self.tallies.values().map(|tally| tally.ready).max().unwrap_or_default()
    }

    /// Tells whether a process said that nothing of it runs at other versions, and that it
    /// sends nothing there.
    #[must_use]
    pub fn has_confirmed(&self, id: Incarnation) -> bool {
        self.tallies.get(&id).is_some_and(RolloutTally::is_confirmed)
    }

    /// Returns all that is known.
    #[must_use]
    pub fn evidence(&self) -> &Evidence {
        &self.sum
    }

    fn windows(&self) -> Vec<Evidence> {
        let past = self.past.iter().map(|past| self.sum.since(past));
        std::iter::once(self.sum.clone()).chain(past).collect()
    }
}

impl RolloutTally {
    /// Returns a number that grows with all that is counted.
    #[must_use]
    pub fn size(&self) -> u64 {
        let of = |counts: super::AnswerCounts| u64::from(counts.answers) + u64::from(counts.bad());
        self.routes.iter().map(|route| of(route.target) + of(route.others)).sum()
    }

    /// Returns how many bad answers of the target it counts.
    #[must_use]
    pub fn bad(&self) -> u32 {
        self.routes.iter().fold(0, |sum, route| sum.saturating_add(route.target.bad()))
    }

    /// Tells whether nothing of the process runs at other versions, and nothing is sent there.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.moved && self.running == 0
    }
}
