//! How the requests of one process go at services that are rolled out.
//!
//! An answer is slow if its first part takes several times what is usual at the other versions
//! on the same route, beside what its prompt takes to read. Those of the other versions are
//! held to the same, so that trouble which hits all alike shows at both.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Allowance, AnswerCounts, RolloutRule, RolloutTally, RouteTally};
use crate::ids::Service;

/// From how many times the usual on an answer is slow.
const SLOW_TIMES: u32 = 3;
/// Within this time no answer is slow: so long others on its VM may keep a process from running.
const LEAST_SLOW: Duration = Duration::from_millis(30);
/// From how many answers of other versions on it is known what is usual: one or two late ones
/// among them move the mean little.
const ENOUGH: u32 = 8;
/// After how many further answers an answer counts half for what is usual: more than chance
/// makes of it, and few enough to follow the load within seconds.
const HALF_LIFE: f64 = 50.0;
/// How many routes of a service are told apart; those beyond count as one.
const MAX_ROUTES: usize = 32;
/// The name of all routes beyond.
const OTHER_ROUTES: &str = "*";
/// How many upstreams of the target are told apart. A trial has a few; beyond it, the routes
/// tell enough.
const MAX_UPSTREAMS: usize = 64;
/// The shortest wait that is told from none, in milliseconds: none has no logarithm.
const LEAST_MS: f64 = 0.1;

/// How the first part of an answer came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerSpeed {
    /// In time.
    Normal,
    /// Several times later than is usual.
    Slow,
}

/// Where an answer comes from.
#[derive(Debug, Clone, Copy)]
pub struct AnswerSource<'a> {
    /// The route.
    pub route: &'a str,
    /// The number that stands for the upstream in messages.
    pub upstream: u32,
    /// Whether it has the version that is rolled out.
    pub is_target: bool,
}

/// What is usual at the other versions: the mean of the logarithms of their times, which a few
/// late ones move little.
#[derive(Debug, Clone, Copy, Default)]
struct Usual {
    count: u32,
    log_ms: f64,
}

#[derive(Debug, Default)]
struct Route {
    target: AnswerCounts,
    others: AnswerCounts,
    usual: Usual,
}

/// How requests went at one service since an order was learned.
#[derive(Debug, Default)]
pub struct Tally {
    routes: BTreeMap<String, Route>,
    upstreams: BTreeMap<u32, AnswerCounts>,
}

/// The tallies of all services that are rolled out.
#[derive(Debug, Default)]
pub struct Tallies {
    services: BTreeMap<Service, (RolloutRule, Tally)>,
}

impl Tallies {
    /// Counts for these rules and for no others; a newer order begins anew. Where a service has
    /// several rules the newest counts, and of one order the one that lets requests through.
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

    /// Tells whether nothing is counted.
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
    /// Returns how requests went on all routes, at the target and at others.
    #[must_use]
    pub fn totals(&self) -> (AnswerCounts, AnswerCounts) {
        let zero = (AnswerCounts::default(), AnswerCounts::default());
        self.routes
            .iter()
            .fold(zero, |sum, route| (sum.0.plus(route.target), sum.1.plus(route.others)))
    }
}

impl Tally {
    /// Notes that the first part of an answer has come after a wait, where reading the prompt
    /// was expected to take so long; returns how it came.
    pub fn record_answer(
        &mut self,
        seen: &AnswerSource<'_>,
        wait: Duration,
        reading: Duration,
    ) -> AnswerSpeed {
        let pace = self.pace(seen, wait, reading);
        let slow = u32::from(pace == AnswerSpeed::Slow);
        self.count(seen, AnswerCounts { answers: 1, failed: 0, slow });
        if !seen.is_target {
            self.route(seen.route).usual.note(wait.saturating_sub(reading));
        }
        pace
    }

    /// Notes that an answer did not come or broke off; `came` is how its first part came, if it
    /// did. One that was slow counts as that.
    pub fn record_failure(&mut self, seen: &AnswerSource<'_>, came: Option<AnswerSpeed>) {
        match came {
            None => self.count(seen, AnswerCounts { answers: 1, failed: 1, slow: 0 }),
            Some(AnswerSpeed::Normal) => {
                self.count(seen, AnswerCounts { answers: 0, failed: 1, slow: 0 });
            }
            Some(AnswerSpeed::Slow) => {}
        }
    }

    /// Notes that nobody waits any longer for the first part of an answer. Whoever left early
    /// says nothing of the upstream; returns whether it was late.
    pub fn record_abandoned(
        &mut self,
        seen: &AnswerSource<'_>,
        wait: Duration,
        reading: Duration,
    ) -> bool {
        let is_late = self.pace(seen, wait, reading) == AnswerSpeed::Slow;
        if is_late {
            self.count(seen, AnswerCounts { answers: 1, failed: 0, slow: 1 });
        }
        is_late
    }

    /// Returns the tally as it is told, with what the table of upstreams knows.
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

    /// Tells how an answer came that took this wait.
    fn pace(&mut self, seen: &AnswerSource<'_>, wait: Duration, reading: Duration) -> AnswerSpeed {
        let Some(usual) = self.route(seen.route).usual.span() else {
            return AnswerSpeed::Normal;
        };
        let most = usual.saturating_add(reading).saturating_mul(SLOW_TIMES).max(LEAST_SLOW);
        if wait > most { AnswerSpeed::Slow } else { AnswerSpeed::Normal }
    }

    fn count(&mut self, seen: &AnswerSource<'_>, more: AnswerCounts) {
        let route = self.route(seen.route);
        if !seen.is_target {
            route.others = route.others.plus(more);
            return;
        }
        route.target = route.target.plus(more);
        let is_room = self.upstreams.len() < MAX_UPSTREAMS;
        if is_room || self.upstreams.contains_key(&seen.upstream) {
            let counts = self.upstreams.entry(seen.upstream).or_default();
            *counts = counts.plus(more);
        }
    }

    fn route(&mut self, name: &str) -> &mut Route {
        let is_room = self.routes.len() < MAX_ROUTES || self.routes.contains_key(name);
        let name = if is_room { name } else { OTHER_ROUTES };
        self.routes.entry(name.to_owned()).or_default()
    }
}

impl Usual {
    /// Takes in how long an answer took.
    fn note(&mut self, span: Duration) {
        let log_ms = (span.as_secs_f64() * 1e3).max(LEAST_MS).ln();
        self.count = self.count.saturating_add(1);
        let weight = f64::from(self.count).recip().max(1.0 - 0.5_f64.powf(HALF_LIFE.recip()));
        self.log_ms += (log_ms - self.log_ms) * weight;
    }

    /// Returns how long answers usually take, once that is known.
    fn span(self) -> Option<Duration> {
        (self.count >= ENOUGH).then(|| Duration::from_secs_f64(self.log_ms.exp() / 1e3))
    }
}
