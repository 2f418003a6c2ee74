//! What the table of upstreams knows of services that are rolled out, for other parts.

use std::time::Duration;

use super::canary::{SentCounts, VersionAccess, VersionsByService};
use super::upstream::Upstream;
use super::{UpstreamCriteria, UpstreamTable};
use crate::amount::Time;
use crate::ids::{Service, UpstreamId};
use crate::request_mix::{READ_MS_PRIOR, RequestMix, float};
use crate::rollout::tally::{AnswerSource, AnswerSpeed, Tally};
use crate::rollout::{Allowance, RolloutRule, RolloutRules, RolloutTally};

impl UpstreamTable {
    /// Puts rules in force, and no others; returns those that are new or differ.
    pub fn set_rollout_rules(&mut self, rules: Vec<RolloutRule>) -> Vec<RolloutRule> {
        self.tallies.set_rules(&rules);
        self.canary.set_rules(rules)
    }

    /// Puts a set of rules in force, unless a newer one is; returns those that are news.
    pub fn apply_rule_set(&mut self, set: RolloutRules) -> Vec<RolloutRule> {
        if set.sequence <= self.rules_sequence {
            return Vec::new();
        }
        self.rules_sequence = set.sequence;
        self.set_rollout_rules(set.rules)
    }

    /// Returns the rules in force, with how many requests of this process went by each.
    #[must_use]
    pub fn rollout_rules(&self) -> Vec<(RolloutRule, SentCounts)> {
        self.canary.rules().map(|(rule, sent)| (rule.clone(), sent)).collect()
    }

    /// Counts a request that goes to an upstream among those of the versions of its service.
    pub fn record_sent(&mut self, now: Time, criteria: &UpstreamCriteria<'_>, id: &UpstreamId) {
        let version = self.upstreams.get(id).and_then(|upstream| upstream.info.version.as_ref());
        let Some(target) = self.canary.target(criteria.service) else {
            return;
        };
        let share = self.slow_start.sender_share(criteria.service);
        let limits_cold = self.slow_start.warm_up(criteria.service).is_some();
        let may_take = |u: &Upstream| {
            u.info.version.as_ref() == Some(target)
                && u.info.service == *criteria.service
                && u.is_usable(now)
                && u.avoid_until <= now
                && u.announced.admits(now)
                && (!limits_cold || u.has_cold_capacity(now, share))
        };
        let target_available = self.upstreams.values().any(may_take);
        self.canary.record_sent(criteria, version, target_available);
    }

    /// Takes back that a request went to an upstream: nothing of it got there.
    pub fn undo_sent(&mut self, id: &UpstreamId, route: &str) {
        let Some(upstream) = self.upstreams.get(id) else {
            return;
        };
        let info = &upstream.info;
        self.canary.undo_sent(&info.service, route, info.version.as_ref());
    }

    /// Notes that the first part of an answer (of a plain one, the whole) has come, so long
    /// after the request was sent to an upstream that was expected to read so many tokens first.
    ///
    /// Returns how it came, and whether it is a bad answer of the target; nothing where nobody
    /// asks.
    pub fn record_answer(
        &mut self,
        id: &UpstreamId,
        route: &str,
        wait: Duration,
        uncached: u64,
    ) -> Option<(AnswerSpeed, bool)> {
        let read_time = self.read_time(id, uncached);
        self.with_tally(id, route, |tally, source| {
            let speed = tally.record_answer(source, wait, read_time);
            (speed, speed == AnswerSpeed::Slow && source.is_target)
        })
    }

    /// Notes that an answer did not come or broke off; `came` is how its first part came, if it
    /// did. Returns whether it is a bad answer of the target.
    pub fn record_failure(
        &mut self,
        id: &UpstreamId,
        route: &str,
        first_part: Option<AnswerSpeed>,
    ) -> bool {
        let is_target = self.with_tally(id, route, |tally, source| {
            tally.record_failure(source, first_part);
            source.is_target
        });
        is_target.unwrap_or(false)
    }

    /// Notes that a request was given up, so long after it was sent and before anything came
    /// of it; it counts if it had come late anyway. Returns whether it is a bad answer of the
    /// target.
    pub fn record_abandoned(
        &mut self,
        id: &UpstreamId,
        route: &str,
        wait: Duration,
        uncached: u64,
    ) -> bool {
        let read_time = self.read_time(id, uncached);
        let late = self.with_tally(id, route, |tally, source| {
            tally.record_abandoned(source, wait, read_time) && source.is_target
        });
        late.unwrap_or(false)
    }

    /// Returns how requests of this process went at services that are rolled out.
    #[must_use]
    pub fn rollout_tallies(&self, now: Time) -> Vec<RolloutTally> {
        let mut tallies = Vec::new();
        for (rule, tally) in self.tallies.iter() {
            let listed = || self.upstreams.values().filter(|u| u.info.service == rule.service);
            let is_target = |version: Option<&_>| version == Some(&rule.target);
            let ready = listed().filter(|u| is_target(u.info.version.as_ref()));
            let ready = ready.filter(|u| u.is_usable(now)).count();
            let others = listed().filter(|u| !is_target(u.info.version.as_ref()));
            let running = others.fold(0_u32, |sum, u| sum.saturating_add(u.running));
            let ready = u32::try_from(ready).unwrap_or(u32::MAX);
            let moved = rule.allowance == Allowance::All;
            tallies.push(tally.snapshot(rule, ready, running, moved));
        }
        tallies
    }

    /// Tells whether an upstream serves whose version is free to get requests.
    pub(super) fn has_unrestricted(&self, now: Time, service: &Service) -> bool {
        let usable = self.upstreams.values().filter(|u| u.info.service == *service);
        let mut usable = usable.filter(|u| u.is_usable(now));
        usable.any(|u| self.canary.access(now, u) == VersionAccess::Unrestricted)
    }

    /// Takes in which versions there are. What is known before the whole list tells nothing.
    pub(super) fn update_versions(&mut self, now: Time) {
        if self.revision == 0 {
            return;
        }
        let mut listed = VersionsByService::new();
        for upstream in self.upstreams.values() {
            let versions = listed.entry(&upstream.info.service).or_default();
            match &upstream.info.version {
                Some(version) => *versions.named.entry(version).or_default() += 1,
                None => versions.unnamed += 1,
            }
        }
        self.canary.record_versions(now, &listed);
    }

    /// Returns how long an upstream is expected to read so many tokens.
    fn read_time(&self, id: &UpstreamId, uncached: u64) -> Duration {
        if uncached == 0 {
            return Duration::ZERO;
        }
        let upstream = self.upstreams.get(id);
        let mix = upstream.and_then(|upstream| self.request_mixes.get(&upstream.info.service));
        Duration::from_secs_f64(
            float(uncached) * mix.map_or(READ_MS_PRIOR, RequestMix::ms_per_token) / 1e3,
        )
    }

    /// Hands a tally what is known of an upstream; nothing where its service has none.
    fn with_tally<T>(
        &mut self,
        id: &UpstreamId,
        route: &str,
        update: impl FnOnce(&mut Tally, &AnswerSource<'_>) -> T,
    ) -> Option<T> {
        let upstream = self.upstreams.get(id)?;
        let (rule, tally) = self.tallies.get_mut(&upstream.info.service)?;
        let is_target = upstream.info.version.as_ref() == Some(&rule.target);
        Some(update(tally, &AnswerSource { route, upstream: upstream.short_id(), is_target }))
    }
}
