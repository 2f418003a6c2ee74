//! What the table of upstreams knows of services that are rolled out, for other parts.

use std::time::Duration;

use super::canary::{Listed, Pass, SentCounts};
use super::replica::Replica;
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
        if set.sequence <= self.rules_turn {
            return Vec::new();
        }
        self.rules_turn = set.sequence;
        self.set_rollout_rules(set.rules)
    }

    /// Returns the rules in force, with how many requests of this process went by each.
    #[must_use]
    pub fn rollout_rules(&self) -> Vec<(RolloutRule, SentCounts)> {
        self.canary.rules().map(|(rule, given)| (rule.clone(), given)).collect()
    }

    /// Counts a request that goes to an upstream among those of the versions of its service.
    pub fn record_sent(&mut self, now: Time, wanted: &UpstreamCriteria<'_>, id: &UpstreamId) {
        let version = self.table.get(id).and_then(|replica| replica.info.version.as_ref());
        let Some(target) = self.canary.target(wanted.service) else {
            return;
        };
        let share = self.starts.share(wanted.service);
        let spares = self.starts.of(wanted.service).is_some();
        let may_take = |r: &Replica| {
            r.info.version.as_ref() == Some(target)
                && r.info.service == *wanted.service
                && r.is_usable(now)
                && r.rests_until <= now
                && r.said.admits(now)
                && (!spares || r.bears_more(now, share))
        };
        let is_open = self.table.values().any(may_take);
        self.canary.charge(wanted, version, is_open);
    }

    /// Takes back that a request went to an upstream: nothing of it got there.
    pub fn undo_sent(&mut self, id: &UpstreamId, route: &str) {
        let Some(replica) = self.table.get(id) else {
            return;
        };
        let info = &replica.info;
        self.canary.refund(&info.service, route, info.version.as_ref());
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
        unread: u64,
    ) -> Option<(AnswerSpeed, bool)> {
        let reading = self.reading(id, unread);
        self.tally(id, route, |tally, seen| {
            let pace = tally.record_answer(seen, wait, reading);
            (pace, pace == AnswerSpeed::Slow && seen.is_target)
        })
    }

    /// Notes that an answer did not come or broke off; `came` is how its first part came, if it
    /// did. Returns whether it is a bad answer of the target.
    pub fn record_failure(
        &mut self,
        id: &UpstreamId,
        route: &str,
        came: Option<AnswerSpeed>,
    ) -> bool {
        let is_target = self.tally(id, route, |tally, seen| {
            tally.record_failure(seen, came);
            seen.is_target
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
        unread: u64,
    ) -> bool {
        let reading = self.reading(id, unread);
        let late = self.tally(id, route, |tally, seen| {
            tally.record_abandoned(seen, wait, reading) && seen.is_target
        });
        late.unwrap_or(false)
    }

    /// Returns how requests of this process went at services that are rolled out.
    #[must_use]
    pub fn rollout_tallies(&self, now: Time) -> Vec<RolloutTally> {
        let mut tallies = Vec::new();
        for (rule, tally) in self.tallies.iter() {
            let listed = || self.table.values().filter(|r| r.info.service == rule.service);
            let is_target = |version: Option<&_>| version == Some(&rule.target);
            let ready = listed().filter(|r| is_target(r.info.version.as_ref()));
            let ready = ready.filter(|r| r.is_usable(now)).count();
            let others = listed().filter(|r| !is_target(r.info.version.as_ref()));
            let running = others.fold(0_u32, |sum, r| sum.saturating_add(r.running));
            let ready = u32::try_from(ready).unwrap_or(u32::MAX);
            let moved = rule.allowance == Allowance::All;
            tallies.push(tally.snapshot(rule, ready, running, moved));
        }
        tallies
    }

    /// Tells whether an upstream serves whose version is free to get requests.
    pub(super) fn serves_freely(&self, now: Time, service: &Service) -> bool {
        let usable = self.table.values().filter(|r| r.info.service == *service);
        let mut usable = usable.filter(|r| r.is_usable(now));
        usable.any(|r| self.canary.pass(now, r) == Pass::Free)
    }

    /// Takes in which versions there are. What is known before the whole list tells nothing.
    pub(super) fn see_versions(&mut self, now: Time) {
        if self.revision == 0 {
            return;
        }
        let mut listed = Listed::new();
        for replica in self.table.values() {
            let versions = listed.entry(&replica.info.service).or_default();
            match &replica.info.version {
                Some(version) => *versions.named.entry(version).or_default() += 1,
                None => versions.unnamed += 1,
            }
        }
        self.canary.see(now, &listed);
    }

    /// Returns how long an upstream is expected to read so many tokens.
    fn reading(&self, id: &UpstreamId, unread: u64) -> Duration {
        if unread == 0 {
            return Duration::ZERO;
        }
        let replica = self.table.get(id);
        let mix = replica.and_then(|replica| self.mixes.get(&replica.info.service));
        Duration::from_secs_f64(
            float(unread) * mix.map_or(READ_MS_PRIOR, RequestMix::ms_per_token) / 1e3,
        )
    }

    /// Hands a tally what is known of an upstream; nothing where its service has none.
    fn tally<T>(
        &mut self,
        id: &UpstreamId,
        route: &str,
        note: impl FnOnce(&mut Tally, &AnswerSource<'_>) -> T,
    ) -> Option<T> {
        let replica = self.table.get(id)?;
        let (rule, tally) = self.tallies.get_mut(&replica.info.service)?;
        let is_target = replica.info.version.as_ref() == Some(&rule.target);
        Some(note(tally, &AnswerSource { route, upstream: replica.number(), is_target }))
    }
}
