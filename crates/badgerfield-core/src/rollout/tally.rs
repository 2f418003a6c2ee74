//! Counts of a process's requests to services with a rollout.
//!
//! An answer is slow if the wait for its first part is several times as long as expected. The
//! expected wait is the normal wait of the other versions on the same route plus the time to read
//! the prompt. Answers of the other versions are measured the same way, so a fault that affects all
//! versions shows in the counts of both.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Allowance, AnswerCounts, RolloutRule, RolloutTally, RouteTally};
use crate::ids::Service;

/// Multiple of the normal wait above which an answer is slow.
const SLOW_FACTOR: u32 = 3;
/// Shortest wait that counts as slow: other processes on its VM may stall a process for this long.
const MIN_SLOW_WAIT: Duration = Duration::from_millis(30);
/// Number of answers of other versions from which the normal wait is known: with this many, one or
/// two late answers hardly move the mean.
const MIN_SAMPLES: u32 = 8;
/// Number of further answers after which the weight of an answer in the normal wait is halved:
/// enough to average out random variation, and few enough to follow the load within seconds.
const HALF_LIFE_ANSWERS: f64 = 50.0;
/// Maximum number of routes of a service that are counted separately. The others are counted
/// together.
const MAX_ROUTES: usize = 32;
/// The name under which the other routes are counted.
const OTHER_ROUTES: &str = "*";
/// Maximum number of upstreams of the target that are counted separately. A canary has a few; with
/// more of them the counts of the routes suffice.
const MAX_UPSTREAMS: usize = 64;
/// Lower limit of a wait, in milliseconds: zero has no logarithm.
const MIN_WAIT_MS: f64 = 0.1;

/// Speed of the first part of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerSpeed {
    /// In time.
    Normal,
    /// Several times later than normal.
    Slow,
}

/// The source of an answer.
#[derive(Debug, Clone, Copy)]
pub struct AnswerSource<'a> {
    /// The route.
    pub route: &'a str,
    /// The number that identifies the upstream in messages.
    pub upstream: u32,
    /// Whether the upstream has the target version.
    pub is_target: bool,
}

/// The normal wait at the other versions: the mean of the logarithms of their waits, which a few
/// late answers hardly change.
#[derive(Debug, Clone, Copy, Default)]
struct Baseline {
    count: u32,
    mean_log_ms: f64,
}

#[derive(Debug, Default)]
struct Route {
    target: AnswerCounts,
    others: AnswerCounts,
    baseline: Baseline,
}

/// The tally of one service since the order was received.
#[derive(Debug, Default)]
pub struct Tally {
    routes: BTreeMap<String, Route>,
    upstreams: BTreeMap<u32, AnswerCounts>,
}

/// The tallies of all services with a rollout.
#[derive(Debug, Default)]
pub struct Tallies {
    services: BTreeMap<Service, (RolloutRule, Tally)>,
}

impl Tallies {
    /// Sets the rules to count for. A newer order starts a new tally. If a service has several
    /// rules, the one of the newest order counts, and of these one that allows requests.
    pub fn set_rules(&mut self, rules: &[RolloutRule]) {
        let mut next: BTreeMap<Service, (RolloutRule, Tally)> = BTreeMap::new();
        for rule in rules {
            let rank = |rule: &RolloutRule| (rule.revision, rule.allowance != Allowance::Nothing);
            let found = next.get(&rule.service);
            if found.is_some_and(|(other, _)| rank(other) >= rank(rule)) {
                continue;
            }
            next.insert(rule.service.clone(), (rule.clone(), Tally::default()));
        }
        for (service, (rule, tally)) in &mut next {
            let known = self.services.remove(service);
            let is_same = |known: &RolloutRule| {
                known.revision == rule.revision && known.target == rule.target
            };
            if let Some((_, known)) = known.filter(|(known, _)| is_same(known)) {
                *tally = known;
            }
        }
        self.services = next;
    }

    /// Returns whether no rule is set.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Returns the rule and the tally of a service.
    pub fn get_mut(&mut self, service: &Service) -> Option<(&RolloutRule, &mut Tally)> {
        let (rule, tally) = self.services.get_mut(service)?;
        Some((rule, tally))
    }

    /// Returns all rules with their tallies.
    pub fn iter(&self) -> impl Iterator<Item = (&RolloutRule, &Tally)> {
        self.services.values().map(|(rule, tally)| (rule, tally))
    }
}

impl RolloutTally {
    /// Returns the counts of the target and of the other versions over all routes.
    #[must_use]
    pub fn totals(&self) -> (AnswerCounts, AnswerCounts) {
        let zero = (AnswerCounts::default(), AnswerCounts::default());
        self.routes.iter().fold(zero, |sum, route| {
            (sum.0.saturating_add(route.target), sum.1.saturating_add(route.others))
        })
    }
}

impl Tally {
    /// Records that the first part of an answer arrived after a wait, of which `prompt_time` was
    /// expected for reading the prompt. Returns the speed of the answer.
    pub fn record_answer(
        &mut self,
        source: &AnswerSource<'_>,
        wait: Duration,
        prompt_time: Duration,
    ) -> AnswerSpeed {
        let speed = self.speed(source, wait, prompt_time);
        let slow = u32::from(speed == AnswerSpeed::Slow);
        self.count(source, AnswerCounts { answers: 1, failed: 0, slow });
        if !source.is_target {
            self.route_mut(source.route).baseline.record(wait.saturating_sub(prompt_time));
        }
        speed
    }

    /// Records that an answer did not arrive or broke off. `speed` is the speed of its first part,
    /// if that arrived. An answer that has been counted as slow is not counted again.
    pub fn record_failure(&mut self, source: &AnswerSource<'_>, speed: Option<AnswerSpeed>) {
        match speed {
            None => self.count(source, AnswerCounts { answers: 1, failed: 1, slow: 0 }),
            Some(AnswerSpeed::Normal) => {
                self.count(source, AnswerCounts { answers: 0, failed: 1, slow: 0 });
            }
            Some(AnswerSpeed::Slow) => {}
        }
    }

    /// Records that the caller stopped waiting for the first part of an answer, and returns whether
    /// that was late. An answer that was not late yet says nothing about the upstream and is not
    /// counted.
    pub fn record_abandoned(
        &mut self,
        source: &AnswerSource<'_>,
        wait: Duration,
        prompt_time: Duration,
    ) -> bool {
        let is_late = self.speed(source, wait, prompt_time) == AnswerSpeed::Slow;
        if is_late {
            self.count(source, AnswerCounts { answers: 1, failed: 0, slow: 1 });
        }
        is_late
    }

    /// Returns the tally to report, with figures from the table of upstreams.
    #[must_use]
    pub fn snapshot(
        &self,
        rule: &RolloutRule,
        ready: u32,
        running: u32,
        moved: bool,
    ) -> RolloutTally {
        let route = |(name, route): (&String, &Route)| RouteTally {
            route: name.clone(),
            target: route.target,
            others: route.others,
        };
        RolloutTally {
            service: rule.service.clone(),
            revision: rule.revision,
            routes: self.routes.iter().map(route).collect(),
            upstreams: self.upstreams.iter().map(|(number, counts)| (*number, *counts)).collect(),
            ready,
            running,
            moved,
        }
    }

    /// Returns the speed of an answer with this wait.
    fn speed(
        &mut self,
        source: &AnswerSource<'_>,
        wait: Duration,
        prompt_time: Duration,
    ) -> AnswerSpeed {
        let Some(baseline) = self.route_mut(source.route).baseline.mean_wait() else {
            return AnswerSpeed::Normal;
        };
        let limit =
            baseline.saturating_add(prompt_time).saturating_mul(SLOW_FACTOR).max(MIN_SLOW_WAIT);
        if wait > limit { AnswerSpeed::Slow } else { AnswerSpeed::Normal }
    }

    fn count(&mut self, source: &AnswerSource<'_>, more: AnswerCounts) {
        let route = self.route_mut(source.route);
        if !source.is_target {
            route.others = route.others.saturating_add(more);
            return;
        }
        route.target = route.target.saturating_add(more);
        let has_room = self.upstreams.len() < MAX_UPSTREAMS;
        if has_room || self.upstreams.contains_key(&source.upstream) {
            let counts = self.upstreams.entry(source.upstream).or_default();
            *counts = counts.saturating_add(more);
        }
    }

    fn route_mut(&mut self, name: &str) -> &mut Route {
        let has_room = self.routes.len() < MAX_ROUTES || self.routes.contains_key(name);
        let name = if has_room { name } else { OTHER_ROUTES };
        self.routes.entry(name.to_owned()).or_default()
    }
}

impl Baseline {
    /// Records the wait of an answer.
    fn record(&mut self, wait: Duration) {
        let log_ms = (wait.as_secs_f64() * 1e3).max(MIN_WAIT_MS).ln();
        self.count = self.count.saturating_add(1);
        let weight =
            f64::from(self.count).recip().max(1.0 - 0.5_f64.powf(HALF_LIFE_ANSWERS.recip()));
        self.mean_log_ms += (log_ms - self.mean_log_ms) * weight;
    }

    /// Returns the mean wait, once enough answers have been recorded.
    fn mean_wait(self) -> Option<Duration> {
        (self.count >= MIN_SAMPLES).then(|| Duration::from_secs_f64(self.mean_log_ms.exp() / 1e3))
    }
}
