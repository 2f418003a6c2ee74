//! Limits the requests that each version of a service gets.
//!
//! During a rollout each process enforces the rule by counting its own requests, so that the bound
//! needs no messages. Every request to the service adds the allowed share to a credit of its route,
//! and a request to the target takes one off. Credits start at a random fraction of a request, so
//! that the processes of a fleet reach the share together, instead of each sending its first
//! request at the same time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::UpstreamCriteria;
use super::upstream::{Upstream, shared_parts};
use crate::amount::{Percent, Time};
use crate::ids::{Service, SoftwareVersion, VersionTag};
use crate::rollout::{Allowance, RolloutRule};

/// How long a version that is new to a service gets no requests while other versions serve. The
/// rollout order and the list of upstreams arrive by different watches; a connected process
/// receives either within a few seconds.
pub(super) const ORDER_DELAY: Duration = Duration::from_secs(10);
/// The maximum credit of a route, in requests. It evens out the uneven arrival of prompt prefixes,
/// and is small beside the dozens of requests that a fleet is usually allowed.
const MAX_CREDIT: f64 = 3.0;
/// The minimum number of target upstreams that get requests, so that a single faulty upstream can
/// be told from a faulty version.
const MIN_TARGET_UPSTREAMS: usize = 2;
/// How many times as many upstreams another version may have before an open one does not count as
/// established at the start of a process: it would get the requests of all.
const MAX_OPEN_DISADVANTAGE: usize = 4;
/// The number of distinct values of a random fraction: far more than a share in hundredths needs.
const FRACTION_STEPS: u32 = 1 << 16;

/// The access of a version to requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Access {
    /// Any request.
    Unrestricted,
    /// The share of requests that the rule allows.
    Limited,
    /// None while another version serves.
    Delayed,
    /// None.
    Blocked,
}

/// How many requests this process has sent to a service since it received the order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SentCounts {
    /// To the version that is rolled out.
    pub target: u64,
    /// To any version.
    pub all: u64,
}

/// A rollout rule in force.
#[derive(Debug)]
struct ActiveRule {
    rule: RolloutRule,
    /// Whether the list has named an upstream of another version while the rule was known. Until
    /// then the target serves whatever the rule says, since there is no version to roll out from.
    /// After that the target gets no more than its rule allows, even when all others are gone: a
    /// refused request can be repeated, a bad answer cannot be taken back.
    has_others: bool,
}

/// The versions of one service.
#[derive(Debug, Default)]
struct ServiceVersions {
    /// Whether any listed upstream names no version; these count as another version.
    has_unnamed: bool,
    rules: Vec<ActiveRule>,
    /// The requests that the target may get, by route.
    credits: BTreeMap<String, f64>,
    sent: SentCounts,
    /// The versions that the list names, and until when each is delayed.
    versions: BTreeMap<SoftwareVersion, Time>,
    /// The version that counts as established only because it has the most upstreams.
    assumed: Option<SoftwareVersion>,
}

/// The number of listed upstreams of each version, by service.
pub(super) type VersionsByService<'a> = BTreeMap<&'a Service, VersionCounts<'a>>;

/// The number of listed upstreams of each version of one service.
#[derive(Debug, Default)]
pub(super) struct VersionCounts<'a> {
    pub(super) named: BTreeMap<&'a SoftwareVersion, usize>,
    /// Those that may begin streams: others have used them.
    pub(super) open: BTreeSet<&'a SoftwareVersion>,
    /// The upstreams that name no version.
    pub(super) unnamed: usize,
}

/// The versions of all services.
#[derive(Debug, Default)]
pub(super) struct Canary {
    services: BTreeMap<Service, ServiceVersions>,
}

impl Canary {
    /// Replaces the rules in force; returns those that are new or have changed.
    pub(super) fn set_rules(&mut self, rules: Vec<RolloutRule>) -> Vec<RolloutRule> {
        let mut next: BTreeMap<Service, Vec<RolloutRule>> = BTreeMap::new();
        for rule in rules {
            next.entry(rule.service.clone()).or_default().push(rule);
        }
        let mut changed = Vec::new();
        for (service, versions) in &mut self.services {
            changed.extend(versions.set_rules(next.remove(service).unwrap_or_default()));
        }
        for (service, rules) in next {
            changed.extend(self.services.entry(service).or_default().set_rules(rules));
        }
        changed
    }

    /// Records the versions that the list names.
    pub(super) fn record_versions(&mut self, now: Time, listed: &VersionsByService<'_>) {
        self.services
            .retain(|name, versions| listed.contains_key(name) || !versions.rules.is_empty());
        for (service, versions) in listed {
            if !self.services.contains_key(*service) {
                self.services.insert((*service).clone(), ServiceVersions::default());
            }
            if let Some(known) = self.services.get_mut(*service) {
                known.record_versions(now, versions);
            }
        }
    }

    /// Returns which requests the version of an upstream may get.
    pub(super) fn access(&self, now: Time, upstream: &Upstream) -> Access {
        let versions = self.active_service(&upstream.info.service);
        versions.map_or(Access::Unrestricted, |versions| {
            versions.access(now, upstream.info.version.as_ref())
        })
    }

    /// Returns those of the `eligible` upstreams that a request may go to by their versions.
    /// `has_unrestricted` returns whether a version with unrestricted access has usable upstreams,
    /// eligible or not.
    pub(super) fn filter_by_version<'a>(
        &self,
        now: Time,
        criteria: &UpstreamCriteria<'_>,
        eligible: Vec<&'a Upstream>,
        has_unrestricted: impl FnOnce() -> bool,
    ) -> Vec<&'a Upstream> {
        match self.active_service(criteria.service) {
            Some(versions) => versions.filter_by_version(now, criteria, eligible, has_unrestricted),
            None => eligible,
        }
    }

    /// Returns those of the `eligible` upstreams at which a stream that began at `version` can be
    /// resumed. What two versions write does not fit together.
    pub(super) fn filter_bound<'a>(
        &self,
        now: Time,
        criteria: &UpstreamCriteria<'_>,
        mut eligible: Vec<&'a Upstream>,
        version: VersionTag,
    ) -> Vec<&'a Upstream> {
        eligible.retain(|upstream| upstream.version_tag == version);
        if let Some(versions) = self.active_service(criteria.service) {
            eligible.retain(|upstream| versions.may_continue(now, criteria, upstream));
        }
        eligible
    }

    /// Returns the version that is rolled out at a service.
    pub(super) fn target(&self, service: &Service) -> Option<&SoftwareVersion> {
        let first = self.services.get(service)?.rules.first()?;
        Some(&first.rule.target)
    }

    /// Records that a request is sent to an upstream of a version; `target_available` is whether
    /// the target could have taken it.
    pub(super) fn record_sent(
        &mut self,
        criteria: &UpstreamCriteria<'_>,
        version: Option<&SoftwareVersion>,
        target_available: bool,
    ) {
        if let Some(versions) = self.services.get_mut(criteria.service) {
            versions.record_sent(criteria, version, target_available);
        }
    }

    /// Undoes `record_sent` for a request that reached no upstream.
    pub(super) fn undo_sent(
        &mut self,
        service: &Service,
        route: &str,
        version: Option<&SoftwareVersion>,
    ) {
        if let Some(versions) = self.services.get_mut(service) {
            versions.undo_sent(route, version);
        }
    }

    /// Returns the rules in force, with the requests that this process has sent to the service of
    /// each.
    pub(super) fn rules(&self) -> impl Iterator<Item = (&RolloutRule, SentCounts)> {
        let services = self.services.values();
        services
            .flat_map(|versions| versions.rules.iter().map(|active| (&active.rule, versions.sent)))
    }

    fn active_service(&self, service: &Service) -> Option<&ServiceVersions> {
        let known = self.services.get(service)?;
        let kind_count = known.versions.len() + usize::from(known.has_unnamed);
        (!known.rules.is_empty() || kind_count > 1).then_some(known)
    }
}

impl ServiceVersions {
    fn set_rules(&mut self, rules: Vec<RolloutRule>) -> Vec<RolloutRule> {
        let newest = |rules: &[ActiveRule]| rules.iter().map(|active| active.rule.revision).max();
        let before = newest(&self.rules);
        let mut changed = Vec::new();
        let mut next = Vec::new();
        for rule in rules {
            let known = self.rules.iter().find(|active| active.rule.target == rule.target);
            let is_other = |version: &SoftwareVersion| *version != rule.target;
            let has_others = known.is_some_and(|active| active.has_others)
                || self.has_unnamed
                || self.versions.keys().any(is_other);
            if known.is_none_or(|known| known.rule != rule) {
                changed.push(rule.clone());
            }
            next.push(ActiveRule { rule, has_others });
        }
        self.rules = next;
        // A new order starts without the remaining credits of the previous one.
        if newest(&self.rules) != before {
            self.credits.clear();
            self.sent = SentCounts::default();
        }
        changed
    }

    /// Records the versions that the list names. If the service is new here, the version with the
    /// most upstreams counts as established, among those that may begin streams if there are any: a
    /// process that starts during a rollout has no other way to tell which one that is.
    fn record_versions(&mut self, now: Time, listed: &VersionCounts<'_>) {
        let VersionCounts { named: listed, open, unnamed } = listed;
        self.versions.retain(|version, _| listed.contains_key(version));
        self.has_unnamed = *unnamed > 0;
        let largest = largest_version(listed, open);
        let largest = largest.filter(|(_, count)| *count >= unnamed).map(|(version, _)| *version);
        let is_new = self.versions.is_empty();
        if is_new {
            self.assumed = largest.filter(|_| open.is_empty()).cloned();
        } else if !open.is_empty()
            && let Some(assumed) = self.assumed.take()
            && !open.contains(&assumed)
            && let Some(largest) = largest
            && *largest != assumed
        {
            self.versions.insert(assumed, now.after(ORDER_DELAY));
            self.versions.insert(largest.clone(), now);
        }
        let established = if is_new { largest } else { None };
        for version in listed.keys().copied() {
            if self.versions.contains_key(version) {
                continue;
            }
            let until = if Some(version) == established { now } else { now.after(ORDER_DELAY) };
            self.versions.insert(version.clone(), until);
        }
        for active in &mut self.rules {
            active.has_others |= self.has_unnamed;
            active.has_others |= self.versions.keys().any(|version| *version != active.rule.target);
        }
    }

    fn access(&self, now: Time, version: Option<&SoftwareVersion>) -> Access {
        let mut is_named = false;
        let mut access = Access::Unrestricted;
        for active in &self.rules {
            let is_target = version == Some(&active.rule.target);
            is_named |= is_target;
            match active.rule.allowance {
                Allowance::Nothing if is_target && active.has_others => return Access::Blocked,
                Allowance::Share(_) if is_target && active.has_others => access = Access::Limited,
                Allowance::All if !is_target => return Access::Blocked,
                Allowance::Nothing | Allowance::Share(_) | Allowance::All => {}
            }
        }
        let until = version.and_then(|version| self.versions.get(version));
        let is_delayed = !is_named && until.is_some_and(|until| *until > now);
        if is_delayed { Access::Delayed } else { access }
    }

    /// Returns the version that is limited to a share, and that share from 0 to 1.
    fn target_share(&self) -> Option<(&SoftwareVersion, f64)> {
        self.rules.iter().find_map(|ActiveRule { rule, .. }| match rule.allowance {
            Allowance::Share(share) => Some((&rule.target, as_fraction(share))),
            Allowance::Nothing | Allowance::All => None,
        })
    }

    fn filter_by_version<'a>(
        &self,
        now: Time,
        criteria: &UpstreamCriteria<'_>,
        eligible: Vec<&'a Upstream>,
        has_unrestricted: impl FnOnce() -> bool,
    ) -> Vec<&'a Upstream> {
        let mut unrestricted = Vec::new();
        let (mut limited, mut delayed) = (Vec::new(), Vec::new());
        for upstream in eligible {
            match self.access(now, upstream.info.version.as_ref()) {
                Access::Unrestricted => unrestricted.push(upstream),
                Access::Limited => limited.push(upstream),
                Access::Delayed => delayed.push(upstream),
                Access::Blocked => {}
            }
        }
        let others =
            if unrestricted.is_empty() && !has_unrestricted() { delayed } else { unrestricted };
        if let Some((target, share)) = self.target_share().filter(|_| !limited.is_empty())
            && self.goes_to_target(criteria, target, share)
        {
            limited.retain(|upstream| upstream.avoid_until <= now);
            let canary = select_target_upstreams(limited, share, others.len());
            if !canary.is_empty() {
                return canary;
            }
        }
        others
    }

    /// Returns whether an upstream may get a request that resumes a stream of its version.
    ///
    /// A limited version gets it within its share only: otherwise a bad version whose streams break
    /// off would get more requests than the rule allows.
    fn may_continue(
        &self,
        now: Time,
        criteria: &UpstreamCriteria<'_>,
        upstream: &Upstream,
    ) -> bool {
        match self.access(now, upstream.info.version.as_ref()) {
            Access::Unrestricted | Access::Delayed => true,
            Access::Limited => {
                self.target_share().is_some_and(|(_, share)| self.credit(criteria) + share >= 1.0)
            }
            Access::Blocked => false,
        }
    }

    /// Returns whether a request is one of those that go to the target.
    ///
    /// Requests with the same prompt prefixes go to the target as far as they make up the share, so
    /// that its upstreams read few prefixes anew. A larger credit admits more prefixes.
    fn goes_to_target(
        &self,
        criteria: &UpstreamCriteria<'_>,
        target: &SoftwareVersion,
        share: f64,
    ) -> bool {
        let credit = self.credit(criteria) + share;
        if credit < 1.0 {
            return false;
        }
        // A request that failed at one version must not fail at the other too.
        if !criteria.tried.is_empty() {
            return false;
        }
        let Some(prefix) = shared_parts(criteria.parts).last() else {
            return true;
        };
        let prefix_fraction =
            random_fraction(xxh3_64_with_seed(&prefix.id.to_be_bytes(), seed_of(target)));
        credit >= MAX_CREDIT || prefix_fraction < share * credit
    }

    fn credit(&self, criteria: &UpstreamCriteria<'_>) -> f64 {
        let stored = self.credits.get(criteria.route).copied();
        stored.unwrap_or_else(|| random_fraction(criteria.random))
    }

    fn record_sent(
        &mut self,
        criteria: &UpstreamCriteria<'_>,
        version: Option<&SoftwareVersion>,
        target_available: bool,
    ) {
        let Some(first) = self.rules.first() else {
            return;
        };
        let is_target = version == Some(&first.rule.target);
        self.sent.all += 1;
        self.sent.target += u64::from(is_target);
        let Some((target, share)) = self.target_share() else {
            return;
        };
        let is_limited_version = version == Some(target);
        // Requests that the target could not take add no credit: otherwise all processes would
        // catch up at the same time.
        let more = if target_available || is_limited_version { share } else { 0.0 };
        let taken = if is_limited_version { 1.0 } else { 0.0 };
        let credit = (self.credit(criteria) + more - taken).min(MAX_CREDIT);
        match self.credits.get_mut(criteria.route) {
            Some(known) => *known = credit,
            None => {
                self.credits.insert(criteria.route.to_owned(), credit);
            }
        }
    }

    fn undo_sent(&mut self, route: &str, version: Option<&SoftwareVersion>) {
        let Some(first) = self.rules.first() else {
            return;
        };
        let is_target = version == Some(&first.rule.target);
        self.sent.all = self.sent.all.saturating_sub(1);
        self.sent.target = self.sent.target.saturating_sub(u64::from(is_target));
        let Some((target, share)) = self.target_share() else {
            return;
        };
        let taken = if version == Some(target) { 1.0 } else { 0.0 };
        if let Some(credit) = self.credits.get_mut(route) {
            *credit = (*credit - share + taken).clamp(-1.0, MAX_CREDIT);
        }
    }
}

/// Returns the version with the most upstreams, among the open ones if these are not too few to
/// serve the requests of the others, and the number of its upstreams.
fn largest_version<'a>(
    listed: &'a BTreeMap<&'a SoftwareVersion, usize>,
    open: &BTreeSet<&SoftwareVersion>,
) -> Option<(&'a &'a SoftwareVersion, &'a usize)> {
    let largest = listed.iter().rev().max_by_key(|(_, count)| **count);
    let open = listed.iter().rev().filter(|(version, _)| open.contains(**version));
    let largest_open = open.max_by_key(|(_, count)| **count);
    let is_large =
        |count: usize| largest.is_none_or(|(_, most)| count * MAX_OPEN_DISADVANTAGE >= *most);
    largest_open.filter(|(_, count)| is_large(**count)).or(largest)
}

/// Selects as many target upstreams as give each about the load of one of the others, since a
/// version may be bad under load only. All processes select the same ones, by rank.
fn select_target_upstreams(
    mut limited: Vec<&Upstream>,
    share: f64,
    others: usize,
) -> Vec<&Upstream> {
    let others = f64::from(u32::try_from(others).unwrap_or(u32::MAX));
    let target_count = (share * others / (1.0 - share)).round();
    // The seed is hashed again, since the seed alone determines the position of an engine among
    // long and short prompts.
    limited.sort_by_key(|upstream| xxh3_64_with_seed(&upstream.seed.to_be_bytes(), 1));
    let fits = |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX)) < target_count;
    let count = (0..limited.len()).take_while(|n| *n < MIN_TARGET_UPSTREAMS || fits(*n)).count();
    limited.truncate(count);
    limited
}

fn seed_of(target: &SoftwareVersion) -> u64 {
    xxh3_64_with_seed(target.as_str().as_bytes(), 0)
}

/// Converts a share to a fraction from 0 to 1.
fn as_fraction(share: Percent) -> f64 {
    f64::from(u32::try_from(u64::from(share)).unwrap_or(100)) / 100.0
}

/// Converts random bits to a fraction from 0 to below 1.
fn random_fraction(bits: u64) -> f64 {
    f64::from(u32::try_from(bits % u64::from(FRACTION_STEPS)).unwrap_or(0))
        / f64::from(FRACTION_STEPS)
}
