//! Tests of the requests that a fleet sends to an upstream with a rate limit.

use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::{Service, UpstreamId, VmId};
use badgerfield_core::rate_limit::{LimitReport, RateLimit};
use badgerfield_core::residency::EVERYWHERE;
use badgerfield_core::upstream_list::{ListedUpstream, UpstreamEntry, UpstreamList};
use badgerfield_core::upstream_table::{AttemptOutcome, UpstreamCriteria, UpstreamTable};
use badgerfield_core::warm_up::Senders;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The length of a step of the simulation, in milliseconds.
const STEP_MS: u64 = 50;
/// How often a VM sends reports of limits to its neighbours, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 400;
/// How long after its first announcement a limit takes effect, in milliseconds.
const GRACE_MS: u64 = 3000;
/// How long before the arrival of a request its VM must have received an answer with the limit for
/// the request to count, in milliseconds.
const NOTICE_MS: u64 = 500;
/// The window in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4000;
/// The maximum delays of an answer, a message and a newer view, in milliseconds.
const MAX_ANSWER_MS: u64 = 300;
const MAX_MESSAGE_MS: u64 = 100;
const MAX_VIEW_MS: u64 = 900;

fn service() -> Service {
    "pool".parse().expect("the name is valid")
}

fn upstream(n: usize) -> UpstreamId {
    format!("u-{n}").parse().expect("the name is valid")
}

fn vm(n: usize) -> VmId {
    format!("vm-{n}").parse().expect("the name is valid")
}

fn limit(rate: f64) -> RateLimit {
    RateLimit::per_second(rate).expect("the limit is valid")
}

fn table(upstreams: usize) -> UpstreamTable {
    let entry = |n| UpstreamEntry {
        revision: 1,
        info: ListedUpstream {
            id: upstream(n),
            service: service(),
            address: ([10, 0, 0, 1], 80).into(),
            domain: "d".parse().expect("the name is valid"),
            version: None,
            slots: 48,
            leaving: false,
            started_at: None,
        },
        warm_in: Duration::ZERO,
    };
    let mut table = UpstreamTable::default();
    let entries = (0..upstreams).map(entry).collect();
    table.apply_list(Time::default(), UpstreamList { revision: 1, entries });
    table
}

fn choose(table: &mut UpstreamTable, now: Time, random: u64) -> Option<UpstreamId> {
    let service = service();
    table.record_request(now, &service);
    let criteria = UpstreamCriteria {
        service: &service,
        route: "r",
        parts: &[],
        bytes: 0,
        residency: &EVERYWHERE,
        tried: &[],
        bound_version: None,
        is_resumable: false,
        max_connections: 100,
        random,
        rendezvous_key: None,
    };
    let id = table.choose(now, &criteria)?.id;
    table.start_request(now, &id, &[]);
    Some(id)
}

/// VMs that send to one upstream.
struct Fleet {
    rng: ChaCha8Rng,
    now: u64,
    tables: Vec<UpstreamTable>,
    /// Whether each VM has requests.
    has_requests: Vec<bool>,
    /// Whether each VM is a member.
    is_member: Vec<bool>,
    /// Views under way: arrival time, VM and members.
    views: Vec<(u64, usize, Vec<bool>)>,
    /// Answers under way: arrival time and VM.
    answers: Vec<(u64, usize)>,
    /// Reports under way: arrival time, VM and limits.
    reports: Vec<(u64, usize, Vec<LimitReport>)>,
    /// When each VM first received an answer with the limit.
    limit_seen_at: Vec<Option<u64>>,
    /// The limit that the upstream announces.
    limit: Option<f64>,
    /// Requests at the upstream: arrival time and VM.
    arrivals: Vec<(u64, usize)>,
}

impl Fleet {
    fn new(vms: usize, seed: u64) -> Self {
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            tables: (0..vms).map(|_| table(1)).collect(),
            has_requests: vec![true; vms],
            is_member: vec![true; vms],
            views: Vec::new(),
            answers: Vec::new(),
            reports: Vec::new(),
            limit_seen_at: vec![None; vms],
            limit: None,
            arrivals: Vec::new(),
        };
        for me in 0..vms {
            fleet.apply_view(me, &vec![true; vms]);
        }
        fleet
    }

    fn apply_view(&mut self, me: usize, active: &[bool]) {
        let members: Vec<_> = (0..active.len()).filter(|n| active[*n]).map(vm).collect();
        let now = Time::from_millis(self.now);
        self.tables[me].set_senders(now, Senders::new(&vm(me), &members));
    }

    /// Removes a VM from the view, or adds it again with a new process.
    fn change_view(&mut self) {
        let changed = self.rng.random_range(0..self.tables.len());
        self.is_member[changed] = !self.is_member[changed];
        if self.is_member[changed] {
            self.tables[changed] = table(1);
            self.limit_seen_at[changed] = None;
        }
        for me in 0..self.tables.len() {
            let at = self.now + self.rng.random_range(0..MAX_VIEW_MS);
            self.views.push((at, me, self.is_member.clone()));
        }
    }

    fn run(&mut self, millis: u64, view_every: Option<u64>) {
        let until = self.now + millis;
        while self.now < until {
            self.now += STEP_MS;
            if view_every.is_some_and(|every| self.now.is_multiple_of(every)) {
                self.change_view();
            }
            self.deliver();
            self.send();
            self.send_reports();
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let views: Vec<_> = self.views.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, me, active) in views {
            self.apply_view(me, &active);
        }
        let time = Time::from_millis(now);
        for (_, me) in self.answers.extract_if(.., |(at, _)| *at <= now) {
            self.tables[me].record_limit(time, &upstream(0), self.limit.map(limit));
            self.tables[me].end_request(time, &upstream(0), AttemptOutcome::Answered);
            if self.limit.is_some() {
                self.limit_seen_at[me].get_or_insert(now);
            }
        }
        for (_, me, reports) in self.reports.extract_if(.., |(at, ..)| *at <= now) {
            self.tables[me].apply_limit_reports(time, &reports);
        }
    }

    fn send(&mut self) {
        let now = Time::from_millis(self.now);
        for me in 0..self.tables.len() {
            if !self.has_requests[me] || !self.is_member[me] {
                continue;
            }
            if choose(&mut self.tables[me], now, self.rng.random()).is_some() {
                let arrives = self.now + self.rng.random_range(0..MAX_ANSWER_MS);
                self.arrivals.push((arrives, me));
                self.answers.push((arrives + self.rng.random_range(0..MAX_ANSWER_MS), me));
            }
        }
    }

    fn send_reports(&mut self) {
        let count = self.tables.len();
        for me in 0..count {
            let offset = u64::try_from(me).expect("the number fits") * STEP_MS % REPORT_INTERVAL_MS;
            if !self.is_member[me] || !(self.now + offset).is_multiple_of(REPORT_INTERVAL_MS) {
                continue;
            }
            let reports = self.tables[me].limit_reports(Time::from_millis(self.now));
            if reports.is_empty() {
                continue;
            }
            let steps = (0..8).map(|n| 1 << n).filter(|step| *step < count);
            for step in steps {
                let at = self.now + self.rng.random_range(0..MAX_MESSAGE_MS);
                self.reports.push((at, (me + step) % count, reports.clone()));
            }
        }
    }

    /// Returns the maximum number of requests in any four seconds after `from`, of VMs that had
    /// received the limit at least half a second before.
    fn max_in_window(&self, from: u64) -> usize {
        let knew_limit = |at: u64, me: usize| {
            self.limit_seen_at[me].is_some_and(|seen_at| seen_at + NOTICE_MS <= at)
        };
        let counted = self.arrivals.iter().filter(|(at, me)| *at >= from && knew_limit(*at, *me));
        let mut times: Vec<_> = counted.map(|(at, _)| *at).collect();
        times.sort_unstable();
        let within =
            |n: usize| times[n..].iter().take_while(|at| **at < times[n] + WINDOW_MS).count();
        (0..times.len()).map(within).max().unwrap_or(0)
    }

    fn arrivals_since(&self, from: u64) -> usize {
        self.arrivals.iter().filter(|(at, _)| *at >= from).count()
    }
}

fn max_requests(rate: f64) -> f64 {
    rate * 1.5 * 4.0 + 5.0
}

fn assert_limit_kept(
    vms: usize,
    rate: f64,
    busy_fraction: f64,
    seed: u64,
    view_every: Option<u64>,
) {
    let mut fleet = Fleet::new(vms, seed);
    for me in 0..vms {
        fleet.has_requests[me] = fleet.rng.random_bool(busy_fraction);
    }
    fleet.run(1000, None);
    let announced_at = fleet.now;
    fleet.limit = Some(rate);
    fleet.run(30_000, view_every);
    let most = fleet.max_in_window(announced_at + GRACE_MS);
    let allowed = max_requests(rate);
    assert!(
        f64::from(u32::try_from(most).expect("the number fits")) <= allowed,
        "{vms} VMs, {rate} a second, seed {seed}: {most} of {allowed}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    #[test]
    fn no_fleet_sends_more_than_the_limit_while_its_views_change(
        vms in 1_usize..=30,
        rate in prop_oneof![0.0..2.0, 2.0..20.0],
        busy_fraction in 0.02..=1.0,
        seed: u64,
        every in 1_u64..8,
    ) {
        assert_limit_kept(vms, rate, busy_fraction, seed, Some(every * 1000));
    }
}

/// In a large fleet, one request of each VM exceeds any of these limits.
#[test]
fn a_fleet_of_300_sends_no_more_than_the_limit() {
    for (n, rate) in [0.2, 0.4, 1.1, 5.0, 20.0].into_iter().enumerate() {
        for busy_fraction in [0.05, 1.0] {
            let seed = u64::try_from(n).expect("the number fits");
            assert_limit_kept(300, rate, busy_fraction, seed, Some(6000));
        }
    }
}

/// Shares that are too small would leave capacity of the upstream unused.
#[test]
fn a_fleet_uses_most_of_a_limit() {
    for (vms, rate) in [(1, 1.1), (6, 0.4), (6, 5.0), (6, 20.0), (30, 1.5), (300, 20.0)] {
        let mut fleet = Fleet::new(vms, 7);
        fleet.limit = Some(rate);
        fleet.run(5000, None);
        let from = fleet.now;
        fleet.run(40_000, None);
        let used = fleet.arrivals_since(from);
        let usage = f64::from(u32::try_from(used).expect("the number fits")) / (rate * 40.0);
        assert!((0.6..=1.2).contains(&usage), "{vms} VMs, {rate} a second: {usage}");
    }
}

/// A VM that sends nothing gets no answer that shows the end of the limit, only the reports of
/// others.
#[test]
fn all_vms_use_an_upstream_again_soon_after_its_limit_has_ended() {
    for vms in [6, 30, 300] {
        let mut fleet = Fleet::new(vms, 3);
        fleet.limit = Some(1.1);
        fleet.run(10_000, None);
        fleet.limit = None;
        fleet.run(8000, None);
        for me in 0..vms {
            let now = Time::from_millis(fleet.now);
            assert!(
                choose(&mut fleet.tables[me], now, 0).is_some(),
                "{vms} VMs: {me} sends nothing"
            );
        }
    }
}

/// The senders have no requests, so no answer shows that the limit has ended until this VM sends a
/// probe.
#[test]
fn a_vm_that_alone_has_requests_detects_the_end_of_a_limit() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(300, seed);
        fleet.limit = Some(0.0);
        fleet.run(3000, None);
        let only = fleet.rng.random_range(0..300);
        fleet.has_requests = (0..300).map(|me| me == only).collect();
        fleet.limit = None;
        fleet.run(2000, None);
        let from = fleet.now;
        fleet.run(400_000, None);
        assert!(fleet.arrivals_since(from) > 100, "seed {seed}: VM {only} sends nothing");
    }
}

/// A request that is assigned to the upstream before the limit is known has not been counted yet.
#[test]
fn a_request_assigned_before_the_limit_was_announced_counts_when_sent() {
    let mut table = table(1);
    table.set_senders(Time::default(), Senders::new(&vm(0), &[vm(0)]));
    let at = Time::from_millis;
    let started = at(1000);
    assert!(table.can_still_send(at(1100), &upstream(0), started));
    table.record_limit(at(1200), &upstream(0), Some(limit(1.0)));
    assert!(!table.can_still_send(at(1300), &upstream(0), started), "nothing may be sent yet");
    assert!(table.can_still_send(at(2300), &upstream(0), started));
    assert!(!table.can_still_send(at(2300), &upstream(0), started), "the only token is used");
}

/// A bucket that filled without bound during the suspension would let the process send a burst.
#[test]
fn a_process_that_was_suspended_or_is_in_no_view_sends_no_burst() {
    let at = Time::from_millis;
    let mut suspended = table(1);
    suspended.set_senders(Time::default(), Senders::new(&vm(0), &[vm(0), vm(1)]));
    let mut outside = table(1);
    for table in [&mut suspended, &mut outside] {
        table.record_limit(at(1000), &upstream(0), Some(limit(2.0)));
    }
    let sent =
        (0..100).filter(|random| choose(&mut suspended, at(600_000), *random).is_some()).count();
    assert_eq!(sent, 1);
    let sent =
        (0..100).filter(|random| choose(&mut outside, at(600_000), *random).is_some()).count();
    assert_eq!(sent, 0);
}

/// If a report rounded the limit, processes would have different limits and see changes without
/// end.
#[test]
fn a_reported_limit_equals_the_announced_one() {
    let at = Time::from_millis;
    let (mut one, mut other) = (table(1), table(1));
    for table in [&mut one, &mut other] {
        table.record_limit(at(1000), &upstream(0), Some(limit(1.234_567_8)));
    }
    one.record_limit(at(2000), &upstream(0), Some(limit(1.234_567_8)));
    let reports = one.limit_reports(at(2000));
    assert_eq!(other.apply_limit_reports(at(2100), &reports), [], "nothing has changed");
}

/// Two sets of members alternate, so that each view replaces all senders.
#[test]
fn senders_that_all_change_with_each_view_send_no_more_than_the_limit() {
    let rate = 0.2;
    for seed in 0..5 {
        let mut fleet = Fleet::new(30, seed);
        fleet.limit = Some(rate);
        fleet.run(4000, None);
        let from = fleet.now;
        for round in 0..20 {
            let members: Vec<_> = (0..30).map(|me| me % 2 == round % 2).collect();
            for me in 0..30 {
                let at = fleet.now + fleet.rng.random_range(0..MAX_VIEW_MS);
                fleet.views.push((at, me, members.clone()));
            }
            fleet.run(1000, None);
        }
        let most = f64::from(u32::try_from(fleet.max_in_window(from)).expect("the number fits"));
        assert!(most <= max_requests(rate), "seed {seed}: {most}");
    }
}
