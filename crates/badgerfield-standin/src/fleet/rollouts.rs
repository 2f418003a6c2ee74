//! Roll-outs as an operator orders them, a small gateway at each VM that keeps to the rules it
//! is given, and what the versions really got.
//!
//! Until an order completes, one version is in use; an order brings upstreams of another.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerfield_core::Event;
use badgerfield_core::amount::{Percent, Time};
use badgerfield_core::event::{OperatorChanges, StoreCall, StoreKey};
use badgerfield_core::ids::{Incarnation, Service, SoftwareVersion, StoreCallId};
use badgerfield_core::rollout::{
    Allowance, AnswerCounts, OrderChange, RolloutBound, RolloutOrder, RolloutRecord, RolloutRule,
    RolloutState, RolloutTally, RouteTally,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Fleet, Turn};

/// How many routes lead to the service, and how many upstreams a new version has.
const ROUTES: usize = 3;
const UPSTREAMS: u32 = 4;
/// How often a gateway tells how requests went, if none went badly.
const TELL: Duration = Duration::from_millis(250);
/// How long requests run: most, and one in so many.
const RUNS_MS: (u64, u64, u32) = (300, 3000, 50);
/// What the platform allows a bad version.
const SHARE: f64 = 0.1;
const ALLOWANCE: f64 = 50.0;
const ROLLBACK: Duration = Duration::from_secs(5);
/// After how many bad answers a version gets nothing more, some time later.
const BAD_ANSWERS: u64 = 50;
/// How much later than its caller gave it up a late write is carried out.
const LATE: Duration = Duration::from_secs(3);

/// What requests there are, and what versions do to them.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    /// Requests a second at each VM.
    pub rate: u32,
    /// Thousandths that fail at any version.
    pub base: u32,
    /// Bad versions: from how long after their order on so many hundredths are bad, and how.
    pub bad: BTreeMap<SoftwareVersion, Badness>,
    /// The upstream of a new version that fails half of all, whatever the version.
    pub faulty: Option<u32>,
}

/// How a version is bad.
#[derive(Debug, Clone, Default)]
pub struct Badness {
    /// How many hundredths are bad.
    pub worse: u32,
    /// Whether these are late; otherwise they fail.
    pub slow: bool,
    /// On which route, if only on one.
    pub route: Option<usize>,
    /// From how long after the order on.
    pub after: Duration,
}

/// The gateway of one VM.
#[derive(Debug, Default)]
pub(super) struct Gateway {
    rules: Vec<RolloutRule>,
    credits: [f64; ROUTES],
    owed: u32,
    routes: Vec<RouteTally>,
    upstreams: BTreeMap<u32, AnswerCounts>,
    counted: u64,
    told: (Time, u32),
    running: Vec<(SoftwareVersion, Time)>,
}

/// What a version got since its order.
#[derive(Debug, Clone, Copy, Default)]
struct Got {
    sent: u64,
    bad: u64,
    fiftieth: Option<Time>,
}

/// The operator's and the upstreams' side of roll-outs.
#[derive(Debug)]
pub struct RolloutTruth {
    /// What requests there are.
    pub traffic: Traffic,
    /// The version in use.
    pub in_use: SoftwareVersion,
    /// How many writes are given up, and carried out some seconds later.
    pub late_writes: u32,
    /// The orders of the operator.
    pub(super) orders: BTreeMap<Service, OrderChange>,
    /// When the newest order was given.
    ordered: Time,
    /// How many requests came since.
    all: u64,
    got: BTreeMap<SoftwareVersion, Got>,
    record: Option<RolloutRecord>,
    /// When the newest order ended, by the record.
    pub ended: Option<(Time, RolloutState)>,
    rng: ChaCha8Rng,
}

impl RolloutTruth {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            traffic: Traffic::default(),
            in_use: version("v1"),
            late_writes: 0,
            orders: BTreeMap::new(),
            ordered: Time::default(),
            all: 0,
            got: BTreeMap::new(),
            record: None,
            ended: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }
}

/// Returns what the platform allows, as the settings of a VM say it.
pub(super) fn bound() -> RolloutBound {
    RolloutBound { share: Percent::from_fraction(SHARE), ..RolloutBound::default() }
}

/// Returns the service that is rolled out.
#[must_use]
pub fn service() -> Service {
    "model".parse().unwrap_or_else(|_| unreachable!("the name is valid"))
}

/// Returns a version.
#[must_use]
pub fn version(name: &str) -> SoftwareVersion {
    name.parse().unwrap_or_else(|_| unreachable!("the name is valid"))
}

impl Fleet {
    /// Orders a roll-out, or withdraws the last order; `false` while the platform is down.
    pub fn roll_out(&mut self, order: Option<RolloutOrder>) -> bool {
        if self.platform.down {
            return false;
        }
        let revision = self.platform.change();
        let change = OrderChange { service: service(), revision, order };
        let truth = &mut self.rollouts;
        truth.orders.insert(service(), change.clone());
        truth.ordered = self.now;
        truth.ended = None;
        truth.all = 0;
        truth.got.clear();
        let at = self.now.after(self.platform.delay());
        for vm in (0..self.size()).filter(|vm| self.watches(*vm)).collect::<Vec<_>>() {
            let event = Event::OperatorChanges(OperatorChanges {
                revision,
                rollouts: vec![change.clone()],
                ..OperatorChanges::default()
            });
            self.at(at, Turn::Event(self.vms[vm].member.incarnation, event));
        }
        true
    }

    /// Returns the record as it stands.
    #[must_use]
    pub fn record(&self) -> Option<&RolloutRecord> {
        self.rollouts.record.as_ref()
    }

    /// Returns how many requests a version got since the newest order, how many of these were
    /// bad, and how many there were.
    #[must_use]
    pub fn got(&self, name: &str) -> (u64, u64, u64) {
        let got = self.rollouts.got.get(&version(name)).copied().unwrap_or_default();
        (got.sent, got.bad, self.rollouts.all)
    }

    pub(super) fn put_rules(&mut self, vm: usize, rules: Vec<RolloutRule>) {
        let gateway = &mut self.vms[vm].gateway;
        let revision = rules.iter().map(|rule| rule.revision).max().unwrap_or_default();
        if revision != gateway.counted {
            let running = std::mem::take(&mut gateway.running);
            *gateway = Gateway { counted: revision, running, ..Gateway::default() };
        }
        let rng = &mut self.rollouts.rng;
        for credit in gateway.credits.iter_mut().filter(|credit| **credit == 0.0) {
            // Begun at random, so that all VMs together give the share at any time.
            *credit = rng.random_range(0.0..1.0);
        }
        gateway.rules = rules;
    }

    /// Lets a gateway send the requests of one tick, and tell how they went.
    pub(super) fn gateway_tick(&mut self, vm: usize) {
        let now = self.now;
        self.vms[vm].gateway.running.retain(|(_, end)| *end > now);
        if self.node(vm).is_some_and(badgerfield_core::Node::is_ready) {
            self.vms[vm].gateway.owed += self.rollouts.traffic.rate;
            while self.vms[vm].gateway.owed >= 20 {
                self.vms[vm].gateway.owed -= 20;
                self.request(vm);
            }
        }
        let tallies = self.vms[vm].gateway.tallies(now);
        if !tallies.is_empty() {
            self.take(vm, Event::RolloutTallies(tallies));
        }
    }

    fn request(&mut self, vm: usize) {
        let now = self.now;
        let route = self.rollouts.rng.random_range(0..ROUTES);
        let target = self.vms[vm].gateway.choose(route);
        let version = target.clone().unwrap_or_else(|| self.rollouts.in_use.clone());
        self.check_sent(vm, &version);
        let truth = &mut self.rollouts;
        let upstream = truth.rng.random_range(0..UPSTREAMS);
        let counts = truth.answer(now, &version, route, upstream);
        let (most, long, one_in) = RUNS_MS;
        let most = if truth.rng.random_range(0..one_in) == 0 { long } else { most };
        let runs = Duration::from_millis(truth.rng.random_range(20..most));
        truth.all += 1;
        let got = truth.got.entry(version.clone()).or_default();
        got.sent += 1;
        got.bad += u64::from(counts.bad());
        if got.bad >= BAD_ANSWERS {
            got.fiftieth.get_or_insert(now);
        }
        let gateway = &mut self.vms[vm].gateway;
        gateway.running.push((version.clone(), now.after(runs)));
        gateway.count(&version, route, upstream, counts);
        self.check_exposure(&version);
    }

    /// Checks that a request goes to a version that may get it.
    fn check_sent(&mut self, vm: usize, version: &SoftwareVersion) {
        let now = self.now;
        let in_touch = self.cut.is_empty() && self.platform.cut.is_empty();
        let fiftieth = self.rollouts.got.get(version).and_then(|got| got.fiftieth);
        let is_bad = self.rollouts.traffic.bad.contains_key(version);
        if in_touch && is_bad && fiftieth.is_some_and(|at| now.since(at) > ROLLBACK) {
            self.faults.push(format!("VM {vm} sent to {version} long after its 50th bad answer"));
        }
        let record = self.rollouts.record.as_ref();
        let over =
            record.is_some_and(|r| r.state == RolloutState::Completed && r.target != *version);
        if over && self.is_in_view(vm) {
            self.faults.push(format!("VM {vm} sent to {version}, which has ended"));
        }
    }

    fn check_exposure(&mut self, version: &SoftwareVersion) {
        let truth = &self.rollouts;
        if !truth.traffic.bad.contains_key(version) {
            return;
        }
        let (sent, _, all) = self.got(version.as_str());
        let (sent, all) = (float(sent), float(all));
        if sent > SHARE * all + ALLOWANCE {
            self.faults.push(format!("{version} got {sent} of {all} requests"));
        }
    }

    fn is_in_view(&self, vm: usize) -> bool {
        self.runs(vm) && self.platform.view().has_member(self.vms[vm].member.incarnation)
    }

    /// Checks what the record has become, and ends the upstreams that it ends.
    pub(super) fn record_written(&mut self) {
        let value = self.platform.value(&StoreKey::Rollout(service()));
        let Ok(Some(next)) = RolloutRecord::decode(value.as_deref()) else {
            return;
        };
        if self.rollouts.record.as_ref() == Some(&next) {
            return;
        }
        if let Some(last) = &self.rollouts.record {
            let back = next.order < last.order
                || next.order == last.order
                    && (last.state.is_final() || last.moving && !next.moving);
            if back {
                self.faults.push(format!("the record went from {last:?} to {next:?}"));
            }
        }
        let newest = self.rollouts.orders.get(&service());
        if next.state.is_final() && newest.is_some_and(|o| o.revision == next.order) {
            self.rollouts.ended = Some((self.now, next.state));
        }
        if next.state == RolloutState::Completed {
            self.rollouts.in_use = next.target.clone();
            for vm in (0..self.size()).filter(|vm| self.is_in_view(*vm)).collect::<Vec<_>>() {
                let is_cut = |(version, end): &&(SoftwareVersion, Time)| {
                    *version != next.target && *end > self.now
                };
                let cut = self.vms[vm].gateway.running.iter().filter(is_cut).count();
                if cut > 0 {
                    self.faults.push(format!("{cut} requests of VM {vm} were cut"));
                }
            }
        }
        self.rollouts.record = Some(next);
    }

    /// Puts a write off that its caller gives up; tells whether it does.
    pub(super) fn is_late(
        &mut self,
        from: Incarnation,
        ticket: StoreCallId,
        call: &StoreCall,
    ) -> bool {
        let is_record = matches!(call, StoreCall::CompareAndSwap { key: StoreKey::Rollout(_), .. });
        if !is_record || self.rollouts.late_writes == 0 {
            return false;
        }
        self.rollouts.late_writes -= 1;
        self.at(self.now.after(LATE), Turn::KvApply(from, ticket, call.clone(), self.now));
        true
    }
}

impl RolloutTruth {
    fn answer(
        &mut self,
        now: Time,
        version: &SoftwareVersion,
        route: usize,
        upstream: u32,
    ) -> AnswerCounts {
        let is_new = *version != self.in_use;
        let fails = self.rng.random_range(0..1000) < self.traffic.base;
        let faulty =
            is_new && self.traffic.faulty == Some(upstream) && self.rng.random_range(0..2) == 0;
        let mut counts = AnswerCounts { answers: 1, failed: u32::from(fails || faulty), slow: 0 };
        let Some(bad) = self.traffic.bad.get(version) else {
            return counts;
        };
        let is_bad = now.since(self.ordered) >= bad.after
            && bad.route.is_none_or(|only| only == route)
            && self.rng.random_range(0..100) < bad.worse;
        if is_bad && counts.failed == 0 {
            counts.slow = u32::from(bad.slow);
            counts.failed = u32::from(!bad.slow);
        }
        counts
    }
}

impl Gateway {
    /// Returns the version that a request goes to; nothing stands for the one in use.
    fn choose(&mut self, route: usize) -> Option<SoftwareVersion> {
        for rule in &self.rules {
            match rule.allowance {
                Allowance::All => return Some(rule.target.clone()),
                Allowance::Share(share) => {
                    self.credits[route] += float(u64::from(share)) / 100.0;
                    if self.credits[route] >= 1.0 {
                        self.credits[route] -= 1.0;
                        return Some(rule.target.clone());
                    }
                }
                Allowance::Nothing => {}
            }
        }
        None
    }

    fn count(
        &mut self,
        version: &SoftwareVersion,
        route: usize,
        upstream: u32,
        counts: AnswerCounts,
    ) {
        let Some(target) = self.rules.first().map(|rule| rule.target.clone()) else {
            return;
        };
        if self.routes.is_empty() {
            let named = |n| RouteTally { route: format!("route-{n}"), ..RouteTally::default() };
            self.routes = (0..ROUTES).map(named).collect();
        }
        if *version == target {
            let sum = self.upstreams.entry(upstream).or_default();
            *sum = sum.saturating_add(counts);
            self.routes[route].target = self.routes[route].target.saturating_add(counts);
        } else {
            self.routes[route].others = self.routes[route].others.saturating_add(counts);
        }
    }

    /// Returns what is to be told: bad answers at once, others now and then.
    fn tallies(&mut self, now: Time) -> Vec<RolloutTally> {
        let Some(rule) = self.rules.first() else {
            return Vec::new();
        };
        let bad = self.routes.iter().map(|route| route.target.bad()).sum();
        if bad == self.told.1 && now.since(self.told.0) < TELL {
            return Vec::new();
        }
        self.told = (now, bad);
        let others = self.running.iter().filter(|(version, _)| *version != rule.target);
        vec![RolloutTally {
            service: rule.service.clone(),
            revision: rule.revision,
            routes: self.routes.clone(),
            upstreams: self.upstreams.iter().map(|(id, counts)| (*id, *counts)).collect(),
            ready: UPSTREAMS,
            running: u32::try_from(others.count()).unwrap_or(u32::MAX),
            moved: rule.allowance == Allowance::All,
        }]
    }
}

fn float(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
