//! Rollout rules, counts and tallies in the table of upstreams.

use std::time::Duration;

use super::canary::{Access, SentCounts, VersionsByService};
use super::upstream::Upstream;
use super::{UpstreamCriteria, UpstreamTable};
use crate::amount::Time;
use crate::ids::{Service, UpstreamId};
use crate::request_mix::{DEFAULT_MS_PER_TOKEN, RequestMix, to_f64};
use crate::rollout::tally::{AnswerSource, AnswerSpeed, Tally};
use crate::rollout::{Allowance, RolloutRule, RolloutRules, RolloutTally};

impl UpstreamTable {
    /// Replaces the rules in force; returns those that are new or have changed.
    pub fn set_rollout_rules(&mut self, rules: Vec<RolloutRule>) -> Vec<RolloutRule> {
        self.tallies.set_rules(&rules);
        self.canary.set_rules(rules)
    }

    /// Puts a set of rules in force, unless a newer set is; returns those that are new or have
    /// changed.
    pub fn apply_rule_set(&mut self, set: RolloutRules) -> Vec<RolloutRule> {
        if set.sequence <= self.rules_sequence {
            return Vec::new();
        }
        self.rules_sequence = set.sequence;
        self.set_rollout_rules(set.rules)
    }

    /// Returns the rules in force, with the requests that this process has sent to the service of
    /// each.
    #[must_use]
    pub fn rollout_rules(&self) -> Vec<(RolloutRule, SentCounts)> {
        self.canary.rules().map(|(rule, sent)| (rule.clone(), sent)).collect()
    }

    /// Counts a request that is sent to an upstream, for the shares of the versions of its service.
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

    /// Undoes `record_sent` for a request of which nothing reached the upstream.
    pub fn undo_sent(&mut self, id: &UpstreamId, route: &str) {
        let Some(upstream) = self.upstreams.get(id) else {
            return;
        };
        let info = &upstream.info;
        self.canary.undo_sent(&info.service, route, info.version.as_ref());
    }

    /// Records that the first part of an answer (the whole answer, if it is not streamed) arrived
    /// `wait` after the request was sent to an upstream that was expected to read `uncached` tokens
    /// first.
    ///
    /// Returns the speed of the answer, and whether it is a bad answer of the target; `None` if the
    /// service has no rollout.
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

    /// Records that an answer did not come or broke off; `first_part` is the speed of its first
    /// part, if that arrived. Returns whether it is a bad answer of the target.
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

    /// Records that a request was abandoned `wait` after it was sent, before any part of the answer
    /// arrived. It counts if it was late already. Returns whether it is a bad answer of the target.
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

    /// Returns the outcomes of requests of this process at services with a rollout.
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
            let is_complete = rule.allowance == Allowance::All;
            tallies.push(tally.snapshot(rule, ready, running, is_complete));
        }
        tallies
    }

    /// Returns whether a service has a usable upstream whose version has unrestricted access.
    pub(super) fn has_unrestricted(&self, now: Time, service: &Service) -> bool {
        self.usable(now, service).any(|u| self.canary.access(now, u) == Access::Unrestricted)
    }

    /// Returns whether a version with unrestricted access that may begin streams has a usable
    /// upstream.
    pub(super) fn has_unrestricted_open(&self, now: Time, service: &Service) -> bool {
        let mut open = self.usable(now, service).filter(|u| self.versions.is_open(u));
        open.any(|u| self.canary.access(now, u) == Access::Unrestricted)
    }

    pub(super) fn usable(&self, now: Time, service: &Service) -> impl Iterator<Item = &Upstream> {
        let in_service = self.upstreams.values().filter(move |u| u.info.service == *service);
        in_service.filter(move |u| u.is_usable(now))
    }

    /// Updates the versions that the list names. Entries that arrive before the first full list are
    /// ignored, since they do not show which versions there are.
    pub(super) fn update_versions(&mut self, now: Time) {
        if self.revision == 0 {
            return;
        }
        let mut listed = VersionsByService::new();
        for upstream in self.upstreams.values() {
            let versions = listed.entry(&upstream.info.service).or_default();
            match &upstream.info.version {
                Some(version) => {
                    *versions.named.entry(version).or_default() += 1;
                    if self.versions.is_open(upstream) {
                        versions.open.insert(version);
                    }
                }
                None => versions.unnamed += 1,
            }
        }
        self.canary.record_versions(now, &listed);
    }

    /// Returns how long an upstream is expected to take to read `uncached` tokens.
    fn read_time(&self, id: &UpstreamId, uncached: u64) -> Duration {
        if uncached == 0 {
            return Duration::ZERO;
        }
        let upstream = self.upstreams.get(id);
        let mix = upstream.and_then(|upstream| self.request_mixes.get(&upstream.info.service));
        Duration::from_secs_f64(
            to_f64(uncached) * mix.map_or(DEFAULT_MS_PER_TOKEN, RequestMix::ms_per_token) / 1e3,
        )
    }

    /// Calls `update` with the tally of an upstream's service; returns `None` if the service has
    /// none.
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
