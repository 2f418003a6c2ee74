//! Rollouts ordered by an operator, a small gateway at each VM that follows the rules of its
//! node, and the requests that versions really received.
//!
//! One version is in use until an order completes. An order adds upstreams of its target version.

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

use super::{Fleet, ScheduledAction};

/// The number of routes to the service.
const ROUTES: usize = 3;
/// The number of upstreams of a new version.
const TARGET_UPSTREAMS: u32 = 4;
/// The interval at which a gateway reports its tallies if there are no new bad answers.
const TALLY_INTERVAL: Duration = Duration::from_millis(250);
/// The maximum run time of most requests and of long ones, in milliseconds, and how many requests
/// there are for each long one.
const RUN_TIMES_MS: (u64, u64, u32) = (300, 3000, 50);
/// The share of all requests that a bad version may receive, beside [`EXTRA_REQUESTS`].
const MAX_BAD_SHARE: f64 = 0.1;
/// How many requests a bad version may receive above [`MAX_BAD_SHARE`].
const EXTRA_REQUESTS: f64 = 50.0;
/// The time after which no more requests may be sent to a version that gave [`MAX_BAD_ANSWERS`].
const ROLLBACK_TIMEOUT: Duration = Duration::from_secs(5);
/// The number of bad answers after which a version must be rolled back.
const MAX_BAD_ANSWERS: u64 = 50;
/// The time after which a deferred write is executed; the call has timed out by then.
const LATE_WRITE_DELAY: Duration = Duration::from_secs(3);

/// The load of the gateways, and how versions answer.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    /// Requests per second at each VM.
    pub requests_per_second: u32,
    /// How many of a thousand requests fail at any version.
    pub failure_permille: u32,
    /// The bad versions.
    pub bad_versions: BTreeMap<SoftwareVersion, VersionFault>,
    /// An upstream that fails half of its requests, at any version that is not in use.
    pub faulty_upstream: Option<u32>,
}

/// The fault of a bad version.
#[derive(Debug, Clone, Default)]
pub struct VersionFault {
    /// How many of a hundred answers are bad.
    pub worse: u32,
    /// Whether bad answers are slow; otherwise they fail.
    pub slow: bool,
    /// The route on which the version is bad, if it is only one.
    pub route: Option<usize>,
    /// The time from the order until the version becomes bad.
    pub after: Duration,
}

/// A gateway, which sends the requests of one VM.
#[derive(Debug, Default)]
pub(super) struct Gateway {
    rules: Vec<RolloutRule>,
    credits: [f64; ROUTES],
    /// The requests to send, in twentieths: a second has 20 ticks.
    request_credit: u32,
    routes: Vec<RouteTally>,
    upstreams: BTreeMap<u32, AnswerCounts>,
    revision: u64,
    last_report: (Time, u32),
    running: Vec<(SoftwareVersion, Time)>,
}

/// The requests that a version has received since the newest order.
#[derive(Debug, Clone, Copy, Default)]
struct VersionCounts {
    sent: u64,
    bad: u64,
    rollback_due_since: Option<Time>,
}

/// The orders of the operator, and the requests that the upstreams of versions received.
#[derive(Debug)]
pub struct RolloutTruth {
    /// The load, and how versions answer.
    pub traffic: Traffic,
    /// The version in use.
    pub in_use: SoftwareVersion,
    /// How many of the next writes of the record time out and are executed seconds later.
    pub late_writes: u32,
    /// The orders of the operator.
    pub(super) orders: BTreeMap<Service, OrderChange>,
    /// When the newest order was given.
    ordered_at: Time,
    /// The number of requests since the newest order.
    request_count: u64,
    counts: BTreeMap<SoftwareVersion, VersionCounts>,
    record: Option<RolloutRecord>,
    /// When and how the newest order ended, according to the record.
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
            ordered_at: Time::default(),
            request_count: 0,
            counts: BTreeMap::new(),
            record: None,
            ended: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }
}

/// Returns the bound on requests to new versions, as VMs have it in their settings.
pub(super) fn rollout_bound() -> RolloutBound {
    RolloutBound { share: Percent::from_fraction(MAX_BAD_SHARE), ..RolloutBound::default() }
}

/// Returns the service whose versions are rolled out.
#[must_use]
pub fn service() -> Service {
    "model".parse().unwrap_or_else(|_| unreachable!("the name is valid"))
}

/// Parses the name of a version.
#[must_use]
pub fn version(name: &str) -> SoftwareVersion {
    name.parse().unwrap_or_else(|_| unreachable!("the name is valid"))
}

impl Fleet {
    /// Orders a rollout, or withdraws the newest order if `order` is `None`. Returns `false` if the
    /// store is down.
    pub fn roll_out(&mut self, order: Option<RolloutOrder>) -> bool {
        if self.platform.down {
            return false;
        }
        let revision = self.platform.next_revision();
        let change = OrderChange { service: service(), revision, order };
        let truth = &mut self.rollouts;
        truth.orders.insert(service(), change.clone());
        truth.ordered_at = self.now;
        truth.ended = None;
        truth.request_count = 0;
        truth.counts.clear();
        let at = self.now.after(self.platform.delay());
        for vm in (0..self.size()).filter(|vm| self.watches(*vm)).collect::<Vec<_>>() {
            let event = Event::OperatorChanges(OperatorChanges {
                revision,
                rollouts: vec![change.clone()],
                ..OperatorChanges::default()
            });
            self.schedule(at, ScheduledAction::Deliver(self.vms[vm].member.incarnation, event));
        }
        true
    }

    /// Returns the stored record of the rollout.
    #[must_use]
    pub fn record(&self) -> Option<&RolloutRecord> {
        self.rollouts.record.as_ref()
    }

    /// Returns how many requests a version received since the newest order, how many of these got
    /// bad answers, and how many requests all versions received.
    #[must_use]
    pub fn request_counts(&self, name: &str) -> (u64, u64, u64) {
        let got = self.rollouts.counts.get(&version(name)).copied().unwrap_or_default();
        (got.sent, got.bad, self.rollouts.request_count)
    }

    pub(super) fn apply_rules(&mut self, vm: usize, rules: Vec<RolloutRule>) {
        let gateway = &mut self.vms[vm].gateway;
        let revision = rules.iter().map(|rule| rule.revision).max().unwrap_or_default();
        if revision != gateway.revision {
            let running = std::mem::take(&mut gateway.running);
            *gateway = Gateway { revision, running, ..Gateway::default() };
        }
        let rng = &mut self.rollouts.rng;
        for credit in gateway.credits.iter_mut().filter(|credit| **credit == 0.0) {
            // Credits start at random values, so that the VMs together send the allowed share at
            // any time.
            *credit = rng.random_range(0.0..1.0);
        }
        gateway.rules = rules;
    }

    /// Sends the requests of a gateway for one tick, and reports its tallies to the node.
    pub(super) fn gateway_tick(&mut self, vm: usize) {
        let now = self.now;
        self.vms[vm].gateway.running.retain(|(_, end)| *end > now);
        if self.node(vm).is_some_and(badgerfield_core::Node::is_ready) {
            self.vms[vm].gateway.request_credit += self.rollouts.traffic.requests_per_second;
            while self.vms[vm].gateway.request_credit >= 20 {
                self.vms[vm].gateway.request_credit -= 20;
                self.send_request(vm);
            }
        }
        let tallies = self.vms[vm].gateway.due_tallies(now);
        if !tallies.is_empty() {
            self.handle_event(vm, Event::RolloutTallies(tallies));
        }
    }

    fn send_request(&mut self, vm: usize) {
        let now = self.now;
        let route = self.rollouts.rng.random_range(0..ROUTES);
        let target = self.vms[vm].gateway.choose_target(route);
        let version = target.clone().unwrap_or_else(|| self.rollouts.in_use.clone());
        self.check_sent(vm, &version);
        let truth = &mut self.rollouts;
        let upstream = truth.rng.random_range(0..TARGET_UPSTREAMS);
        let counts = truth.answer_counts(now, &version, route, upstream);
        let (normal, long, requests_per_long) = RUN_TIMES_MS;
        let max = if truth.rng.random_range(0..requests_per_long) == 0 { long } else { normal };
        let run_time = Duration::from_millis(truth.rng.random_range(20..max));
        truth.request_count += 1;
        let got = truth.counts.entry(version.clone()).or_default();
        got.sent += 1;
        got.bad += u64::from(counts.bad());
        if got.bad >= MAX_BAD_ANSWERS {
            got.rollback_due_since.get_or_insert(now);
        }
        let gateway = &mut self.vms[vm].gateway;
        gateway.running.push((version.clone(), now.after(run_time)));
        gateway.record_answer(&version, route, upstream, counts);
        self.check_exposure(&version);
    }

    /// Checks that the version of a request may still receive requests.
    fn check_sent(&mut self, vm: usize, version: &SoftwareVersion) {
        let now = self.now;
        let is_connected =
            self.partitioned_regions.is_empty() && self.platform.cut_regions.is_empty();
        let due_since = self.rollouts.counts.get(version).and_then(|got| got.rollback_due_since);
        let is_bad = self.rollouts.traffic.bad_versions.contains_key(version);
        if is_connected && is_bad && due_since.is_some_and(|at| now.since(at) > ROLLBACK_TIMEOUT) {
            self.faults.push(format!("VM {vm} sent to {version} long after its 50th bad answer"));
        }
        let record = self.rollouts.record.as_ref();
        let is_other_completed =
            record.is_some_and(|r| r.state == RolloutState::Completed && r.target != *version);
        if is_other_completed && self.is_in_view(vm) {
            self.faults.push(format!("VM {vm} sent to {version}, which has ended"));
        }
    }

    fn check_exposure(&mut self, version: &SoftwareVersion) {
        let truth = &self.rollouts;
        if !truth.traffic.bad_versions.contains_key(version) {
            return;
        }
        let (sent, _, all) = self.request_counts(version.as_str());
        let (sent, all) = (to_f64(sent), to_f64(all));
        if sent > MAX_BAD_SHARE * all + EXTRA_REQUESTS {
            self.faults.push(format!("{version} got {sent} of {all} requests"));
        }
    }

    fn is_in_view(&self, vm: usize) -> bool {
        self.runs(vm) && self.platform.view().has_member(self.vms[vm].member.incarnation)
    }

    /// Checks a change of the stored record. If the order has completed, the target becomes the
    /// version in use, and running requests at other versions are faults.
    pub(super) fn check_record_change(&mut self) {
        let value = self.platform.value(&StoreKey::Rollout(service()));
        let Ok(Some(next)) = RolloutRecord::decode(value.as_deref()) else {
            return;
        };
        if self.rollouts.record.as_ref() == Some(&next) {
            return;
        }
        if let Some(last) = &self.rollouts.record {
            let is_regression = next.order < last.order
                || next.order == last.order
                    && (last.state.is_final() || last.moving && !next.moving);
            if is_regression {
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

    /// Defers a write of the record until after it has timed out, if such a fault is due. Returns
    /// whether it has deferred the write.
    pub(super) fn defer_late_write(
        &mut self,
        from: Incarnation,
        call_id: StoreCallId,
        call: &StoreCall,
    ) -> bool {
        let is_record = matches!(call, StoreCall::CompareAndSwap { key: StoreKey::Rollout(_), .. });
        if !is_record || self.rollouts.late_writes == 0 {
            return false;
        }
        self.rollouts.late_writes -= 1;
        self.schedule(
            self.now.after(LATE_WRITE_DELAY),
            ScheduledAction::StoreCall(from, call_id, call.clone(), self.now),
        );
        true
    }
}

impl RolloutTruth {
    fn answer_counts(
        &mut self,
        now: Time,
        version: &SoftwareVersion,
        route: usize,
        upstream: u32,
    ) -> AnswerCounts {
        let is_new = *version != self.in_use;
        let base_failure = self.rng.random_range(0..1000) < self.traffic.failure_permille;
        let upstream_failure = is_new
            && self.traffic.faulty_upstream == Some(upstream)
            && self.rng.random_range(0..2) == 0;
        let mut counts = AnswerCounts {
            answers: 1,
            failed: u32::from(base_failure || upstream_failure),
            slow: 0,
        };
        let Some(bad) = self.traffic.bad_versions.get(version) else {
            return counts;
        };
        let is_bad = now.since(self.ordered_at) >= bad.after
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
    /// Returns the version for a request, or `None` for the version in use.
    fn choose_target(&mut self, route: usize) -> Option<SoftwareVersion> {
        for rule in &self.rules {
            match rule.allowance {
                Allowance::All => return Some(rule.target.clone()),
                Allowance::Share(share) => {
                    self.credits[route] += to_f64(u64::from(share)) / 100.0;
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

    fn record_answer(
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
            let new_tally = |n| RouteTally { route: format!("route-{n}"), ..RouteTally::default() };
            self.routes = (0..ROUTES).map(new_tally).collect();
        }
        if *version == target {
            let sum = self.upstreams.entry(upstream).or_default();
            *sum = sum.saturating_add(counts);
            self.routes[route].target = self.routes[route].target.saturating_add(counts);
        } else {
            self.routes[route].others = self.routes[route].others.saturating_add(counts);
        }
    }

    /// Returns the tallies to report. New bad answers are reported at once, others at an interval.
    fn due_tallies(&mut self, now: Time) -> Vec<RolloutTally> {
        let Some(rule) = self.rules.first() else {
            return Vec::new();
        };
        let bad = self.routes.iter().map(|route| route.target.bad()).sum();
        if bad == self.last_report.1 && now.since(self.last_report.0) < TALLY_INTERVAL {
            return Vec::new();
        }
        self.last_report = (now, bad);
        let others = self.running.iter().filter(|(version, _)| *version != rule.target);
        vec![RolloutTally {
            service: rule.service.clone(),
            revision: rule.revision,
            routes: self.routes.clone(),
            upstreams: self.upstreams.iter().map(|(id, counts)| (*id, *counts)).collect(),
            ready: TARGET_UPSTREAMS,
            running: u32::try_from(others.count()).unwrap_or(u32::MAX),
            moved: rule.allowance == Allowance::All,
        }]
    }
}

fn to_f64(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
