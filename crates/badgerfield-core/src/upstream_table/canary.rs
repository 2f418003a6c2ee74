//! Which version of a service a request may go to.
//!
//! While a version is rolled out, each process keeps to the rule by counting its own requests,
//! so that the bound needs no message: every request that goes to the service adds the allowed
//! share to a credit of its route, and one that goes to the target takes one off. Credits begin
//! at random parts of a request, so that the processes of a fleet give the share together, and
//! not each its first request at the same time.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::UpstreamCriteria;
use super::replica::{Replica, shared};
use crate::amount::{Percent, Time};
use crate::ids::{Service, SoftwareVersion};
use crate::rollout::{Allowance, RolloutRule};

/// For how long a version gets nothing that is new to a service which other versions serve.
/// The order to roll it out and the list of upstreams come by different watches; a process that
/// is in touch hears of either within a few seconds.
const ORDER_LAG: Duration = Duration::from_secs(10);
/// The most requests that a route may owe the target: it evens out how chains of prompt parts
/// come, and is little beside the dozens that a fleet is usually allowed.
const MAX_CREDIT: f64 = 3.0;
/// The least number of upstreams of the target that get requests, so that one which fails by
/// itself can be told from its version.
const LEAST_UPSTREAMS: usize = 2;
/// How many values a random draw is cut down to: far more than a share in hundredths needs.
const DRAWS: u32 = 1 << 16;

/// What a version may get.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Pass {
    /// Whatever comes.
    Free,
    /// Its share.
    Counted,
    /// Nothing while another version serves.
    Held,
    /// Nothing.
    Barred,
}

/// How many requests of this process went to a service since an order was learned.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SentCounts {
    /// To the version that is rolled out.
    pub target: u64,
    /// To any version.
    pub all: u64,
}

/// A rule, and what was seen since.
#[derive(Debug)]
struct Ruled {
    rule: RolloutRule,
    /// Whether the list has named an upstream of another version while the rule was known.
    /// Until then there is nothing to move from: the target serves, whatever the rule says.
    /// From then on it gets no more than that, also when all others have gone: requests that
    /// are refused can come back, those that a bad version answered cannot.
    has_others: bool,
}

/// The versions of one service.
#[derive(Debug, Default)]
struct Split {
    /// Whether upstreams are listed that name no version; they count as another one.
    has_unnamed: bool,
    rules: Vec<Ruled>,
    /// By route, how many requests the target may get.
    credits: BTreeMap<String, f64>,
    given: SentCounts,
    /// The versions that the list names, and until when each is held.
    versions: BTreeMap<SoftwareVersion, Time>,
}

/// How many upstreams of each version the list names, by service.
pub(super) type Listed<'a> = BTreeMap<&'a Service, Versions<'a>>;

/// How many upstreams of one service name which version.
#[derive(Debug, Default)]
pub(super) struct Versions<'a> {
    pub(super) named: BTreeMap<&'a SoftwareVersion, usize>,
    /// Those that name none.
    pub(super) unnamed: usize,
}

/// The versions of all services.
#[derive(Debug, Default)]
pub(super) struct Canary {
    services: BTreeMap<Service, Split>,
}

impl Canary {
    /// Puts rules in force, and no others; returns those that are new or differ.
    pub(super) fn set_rules(&mut self, rules: Vec<RolloutRule>) -> Vec<RolloutRule> {
        let mut next: BTreeMap<Service, Vec<RolloutRule>> = BTreeMap::new();
        for rule in rules {
            next.entry(rule.service.clone()).or_default().push(rule);
        }
        let mut news = Vec::new();
        for (service, split) in &mut self.services {
            news.extend(split.set_rules(next.remove(service).unwrap_or_default()));
        }
        for (service, rules) in next {
            news.extend(self.services.entry(service).or_default().set_rules(rules));
        }
        news
    }

    /// Takes in which versions the list names.
    pub(super) fn see(&mut self, now: Time, listed: &Listed<'_>) {
        self.services.retain(|name, split| listed.contains_key(name) || !split.rules.is_empty());
        for (service, versions) in listed {
            if !self.services.contains_key(*service) {
                self.services.insert((*service).clone(), Split::default());
            }
            if let Some(split) = self.services.get_mut(*service) {
                split.see(now, versions);
            }
        }
    }

    /// Returns what an upstream may get as far as its version says.
    pub(super) fn pass(&self, now: Time, replica: &Replica) -> Pass {
        let split = self.active(&replica.info.service);
        split.map_or(Pass::Free, |split| split.pass(now, replica.info.version.as_ref()))
    }

    /// Leaves those of some upstreams that a request may go to by their versions; `serves_freely`
    /// tells whether a version that waits for no order has usable upstreams, be they fit or not.
    pub(super) fn narrow<'a>(
        &self,
        now: Time,
        wanted: &UpstreamCriteria<'_>,
        fit: Vec<&'a Replica>,
        serves_freely: impl FnOnce() -> bool,
    ) -> Vec<&'a Replica> {
        match self.active(wanted.service) {
            Some(split) => split.narrow(now, wanted, fit, serves_freely),
            None => fit,
        }
    }

    /// Returns the version that is rolled out at a service.
    pub(super) fn target(&self, service: &Service) -> Option<&SoftwareVersion> {
        let first = self.services.get(service)?.rules.first()?;
        Some(&first.rule.target)
    }

    /// Notes that a request goes to an upstream of a version; `is_open` tells whether the
    /// target could have taken it.
    pub(super) fn charge(
        &mut self,
        wanted: &UpstreamCriteria<'_>,
        version: Option<&SoftwareVersion>,
        is_open: bool,
    ) {
        if let Some(split) = self.services.get_mut(wanted.service) {
            split.charge(wanted, version, is_open);
        }
    }

    /// Takes back what was charged for a request that reached no upstream.
    pub(super) fn refund(
        &mut self,
        service: &Service,
        route: &str,
        version: Option<&SoftwareVersion>,
    ) {
        if let Some(split) = self.services.get_mut(service) {
            split.refund(route, version);
        }
    }

    /// Returns the rules in force, with what this process gave by each.
    pub(super) fn rules(&self) -> impl Iterator<Item = (&RolloutRule, SentCounts)> {
        let splits = self.services.values();
        splits.flat_map(|split| split.rules.iter().map(|ruled| (&ruled.rule, split.given)))
    }

    /// Tells whether the versions of a service count at present.
    pub(super) fn counts(&self, service: &Service) -> bool {
        self.active(service).is_some()
    }

    fn active(&self, service: &Service) -> Option<&Split> {
        let split = self.services.get(service)?;
        let kinds = split.versions.len() + usize::from(split.has_unnamed);
        (!split.rules.is_empty() || kinds > 1).then_some(split)
    }
}

impl Split {
    fn set_rules(&mut self, rules: Vec<RolloutRule>) -> Vec<RolloutRule> {
        let newest = |rules: &[Ruled]| rules.iter().map(|ruled| ruled.rule.revision).max();
        let before = newest(&self.rules);
        let mut news = Vec::new();
        let mut next = Vec::new();
        for rule in rules {
            let known = self.rules.iter().find(|ruled| ruled.rule.target == rule.target);
            let is_other = |version: &SoftwareVersion| *version != rule.target;
            let has_others = known.is_some_and(|ruled| ruled.has_others)
                || self.has_unnamed
                || self.versions.keys().any(is_other);
            if known.is_none_or(|known| known.rule != rule) {
                news.push(rule.clone());
            }
            next.push(Ruled { rule, has_others });
        }
        self.rules = next;
        // What one order left over is not the next one's to give.
        if newest(&self.rules) != before {
            self.credits.clear();
            self.given = SentCounts::default();
        }
        news
    }

    /// Takes in which versions the list names. Of a service that is new here, the one with the
    /// most upstreams is known already: a process that starts while a version is rolled out
    /// cannot tell otherwise which that is.
    fn see(&mut self, now: Time, listed: &Versions<'_>) {
        let Versions { named: listed, unnamed } = listed;
        self.versions.retain(|version, _| listed.contains_key(version));
        self.has_unnamed = *unnamed > 0;
        let most = listed.iter().rev().max_by_key(|(_, count)| **count);
        let most = most.filter(|(_, count)| *count >= unnamed).map(|(version, _)| *version);
        let established = if self.versions.is_empty() { most } else { None };
        for version in listed.keys().copied() {
            if self.versions.contains_key(version) {
                continue;
            }
            let until = if Some(version) == established { now } else { now.after(ORDER_LAG) };
            self.versions.insert(version.clone(), until);
        }
        for ruled in &mut self.rules {
            ruled.has_others |= self.has_unnamed;
            ruled.has_others |= self.versions.keys().any(|version| *version != ruled.rule.target);
        }
    }

    fn pass(&self, now: Time, version: Option<&SoftwareVersion>) -> Pass {
        let mut is_named = false;
        let mut pass = Pass::Free;
        for ruled in &self.rules {
            let is_target = version == Some(&ruled.rule.target);
            is_named |= is_target;
            match ruled.rule.allowance {
                Allowance::Nothing if is_target && ruled.has_others => return Pass::Barred,
                Allowance::Share(_) if is_target && ruled.has_others => pass = Pass::Counted,
                Allowance::All if !is_target => return Pass::Barred,
                Allowance::Nothing | Allowance::Share(_) | Allowance::All => {}
            }
        }
        let until = version.and_then(|version| self.versions.get(version));
        let is_held = !is_named && until.is_some_and(|until| *until > now);
        if is_held { Pass::Held } else { pass }
    }

    /// Returns the version that gets a share, and that, from 0 to 1.
    fn shared_with(&self) -> Option<(&SoftwareVersion, f64)> {
        self.rules.iter().find_map(|Ruled { rule, .. }| match rule.allowance {
            Allowance::Share(share) => Some((&rule.target, part(share))),
            Allowance::Nothing | Allowance::All => None,
        })
    }

    fn narrow<'a>(
        &self,
        now: Time,
        wanted: &UpstreamCriteria<'_>,
        fit: Vec<&'a Replica>,
        serves_freely: impl FnOnce() -> bool,
    ) -> Vec<&'a Replica> {
        let mut free = Vec::new();
        let (mut counted, mut held) = (Vec::new(), Vec::new());
        for replica in fit {
            match self.pass(now, replica.info.version.as_ref()) {
                Pass::Free => free.push(replica),
                Pass::Counted => counted.push(replica),
                Pass::Held => held.push(replica),
                Pass::Barred => {}
            }
        }
        let others = if free.is_empty() && !serves_freely() { held } else { free };
        if let Some((target, share)) = self.shared_with().filter(|_| !counted.is_empty())
            && self.gives(wanted, target, share)
        {
            counted.retain(|replica| replica.rests_until <= now);
            let canary = concentrate(counted, share, others.len());
            if !canary.is_empty() {
                return canary;
            }
        }
        match wanted.resumed_version {
            Some(version) => with_version(others, version),
            None => others,
        }
    }

    /// Tells whether a request is one of those that the target gets.
    ///
    /// Those of the same chains of prompt parts go there as far as that makes up the share, so
    /// that its upstreams read few prompts anew; the more the route owes, the more chains.
    fn gives(&self, wanted: &UpstreamCriteria<'_>, target: &SoftwareVersion, share: f64) -> bool {
        let credit = self.credit(wanted) + share;
        if credit < 1.0 {
            return false;
        }
        // A request that failed at one version is not tried out on the other.
        if !wanted.tried.is_empty() {
            return wanted.resumed_version == Some(target);
        }
        let Some(chain) = shared(wanted.parts).last() else {
            return true;
        };
        let lot = fraction(xxh3_64_with_seed(&chain.id.to_be_bytes(), seed_of(target)));
        credit >= MAX_CREDIT || lot < share * credit
    }

    fn credit(&self, wanted: &UpstreamCriteria<'_>) -> f64 {
        let begun = self.credits.get(wanted.route).copied();
        begun.unwrap_or_else(|| fraction(wanted.random))
    }

    fn charge(
        &mut self,
        wanted: &UpstreamCriteria<'_>,
        version: Option<&SoftwareVersion>,
        is_open: bool,
    ) {
        let Some(first) = self.rules.first() else {
            return;
        };
        let is_target = version == Some(&first.rule.target);
        self.given.all += 1;
        self.given.target += u64::from(is_target);
        let Some((target, share)) = self.shared_with() else {
            return;
        };
        let is_given = version == Some(target);
        // What the target could not take is not made up for: all processes would at once.
        let more = if is_open || is_given { share } else { 0.0 };
        let taken = if is_given { 1.0 } else { 0.0 };
        let credit = (self.credit(wanted) + more - taken).min(MAX_CREDIT);
        match self.credits.get_mut(wanted.route) {
            Some(known) => *known = credit,
            None => {
                self.credits.insert(wanted.route.to_owned(), credit);
            }
        }
    }

    fn refund(&mut self, route: &str, version: Option<&SoftwareVersion>) {
        let Some(first) = self.rules.first() else {
            return;
        };
        let is_target = version == Some(&first.rule.target);
        self.given.all = self.given.all.saturating_sub(1);
        self.given.target = self.given.target.saturating_sub(u64::from(is_target));
        let Some((target, share)) = self.shared_with() else {
            return;
        };
        let taken = if version == Some(target) { 1.0 } else { 0.0 };
        if let Some(credit) = self.credits.get_mut(route) {
            *credit = (*credit - share + taken).clamp(-1.0, MAX_CREDIT);
        }
    }
}

/// Leaves as many upstreams of the target as make each about as loaded as one of the others,
/// since a version may be bad under load only. All processes take the same ones, by rank.
fn concentrate(mut counted: Vec<&Replica>, share: f64, others: usize) -> Vec<&Replica> {
    let others = f64::from(u32::try_from(others).unwrap_or(u32::MAX));
    let wanted = (share * others / (1.0 - share)).round();
    // Places among long and short prompts go by the seed itself.
    counted.sort_by_key(|replica| xxh3_64_with_seed(&replica.seed.to_be_bytes(), 1));
    let fits = |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX)) < wanted;
    let count = (0..counted.len()).take_while(|n| *n < LEAST_UPSTREAMS || fits(*n)).count();
    counted.truncate(count);
    counted
}

/// Leaves the upstreams of a version, or all if there is none.
fn with_version<'a>(pool: Vec<&'a Replica>, version: &SoftwareVersion) -> Vec<&'a Replica> {
    let has = |replica: &&&Replica| replica.info.version.as_ref() == Some(version);
    let same: Vec<_> = pool.iter().filter(has).copied().collect();
    if same.is_empty() { pool } else { same }
}

fn seed_of(target: &SoftwareVersion) -> u64 {
    xxh3_64_with_seed(target.as_str().as_bytes(), 0)
}

/// Returns a share as a part from 0 to 1.
fn part(share: Percent) -> f64 {
    f64::from(u32::try_from(u64::from(share)).unwrap_or(100)) / 100.0
}

/// Turns random bits into a part from 0 to below 1.
fn fraction(bits: u64) -> f64 {
    f64::from(u32::try_from(bits % u64::from(DRAWS)).unwrap_or(0)) / f64::from(DRAWS)
}
