//! What a fleet sends to an upstream that names a limit.

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

/// How long the steps of the emulation are, in milliseconds.
const STEP: u64 = 50;
/// How often a VM tells its neighbours of limits, in milliseconds.
const TELL_EVERY: u64 = 400;
/// From when on a limit binds, after it was named first, in milliseconds.
const BINDS_AFTER: u64 = 3000;
/// How long before a request arrives its VM must have had an answer that names the limit, in
/// milliseconds.
const TOLD_BEFORE: u64 = 500;
/// The span in which requests count, in milliseconds.
const SPAN: u64 = 4000;
/// The most that an answer, a message and a newer view take to arrive, in milliseconds.
const ANSWER: u64 = 300;
const MESSAGE: u64 = 100;
const VIEW: u64 = 900;

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
    let replicas = (0..upstreams).map(entry).collect();
    table.apply_list(Time::default(), UpstreamList { revision: 1, entries: replicas });
    table
}

fn choose(table: &mut UpstreamTable, now: Time, draw: u64) -> Option<UpstreamId> {
    let service = service();
    table.record_request(now, &service);
    let wanted = UpstreamCriteria {
        service: &service,
        route: "r",
        parts: &[],
        bytes: 0,
        residency: &EVERYWHERE,
        tried: &[],
        resumed_version: None,
        max_connections: 100,
        random: draw,
        rendezvous_key: None,
    };
    let id = table.choose(now, &wanted)?.id;
    table.start_request(now, &id, &[]);
    Some(id)
}

/// VMs before one upstream.
struct Fleet {
    rng: ChaCha8Rng,
    now: u64,
    tables: Vec<UpstreamTable>,
    /// Which VMs have requests.
    wants: Vec<bool>,
    /// Which VMs are members.
    active: Vec<bool>,
    /// When a VM learns of which members.
    views: Vec<(u64, usize, Vec<bool>)>,
    /// When which VM gets an answer to a request.
    answers: Vec<(u64, usize)>,
    /// What a VM gets told, and when.
    notes: Vec<(u64, usize, Vec<LimitReport>)>,
    /// When each VM had its first answer that names the limit.
    told: Vec<Option<u64>>,
    /// What the upstream names.
    limit: Option<f64>,
    /// When requests of which VM arrived.
    arrived: Vec<(u64, usize)>,
}

impl Fleet {
    fn new(vms: usize, seed: u64) -> Self {
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            tables: (0..vms).map(|_| table(1)).collect(),
            wants: vec![true; vms],
            active: vec![true; vms],
            views: Vec::new(),
            answers: Vec::new(),
            notes: Vec::new(),
            told: vec![None; vms],
            limit: None,
            arrived: Vec::new(),
        };
        for me in 0..vms {
            fleet.learn_view(me, &vec![true; vms]);
        }
        fleet
    }

    fn learn_view(&mut self, me: usize, active: &[bool]) {
        let members: Vec<_> = (0..active.len()).filter(|n| active[*n]).map(vm).collect();
        let now = Time::from_millis(self.now);
        self.tables[me].set_senders(now, Senders::new(&vm(me), &members));
    }

    /// A VM leaves the view, or comes back as a new process.
    fn change_view(&mut self) {
        let who = self.rng.random_range(0..self.tables.len());
        self.active[who] = !self.active[who];
        if self.active[who] {
            self.tables[who] = table(1);
            self.told[who] = None;
        }
        for me in 0..self.tables.len() {
            let at = self.now + self.rng.random_range(0..VIEW);
            self.views.push((at, me, self.active.clone()));
        }
    }

    fn run(&mut self, millis: u64, view_every: Option<u64>) {
        let until = self.now + millis;
        while self.now < until {
            self.now += STEP;
            if view_every.is_some_and(|every| self.now.is_multiple_of(every)) {
                self.change_view();
            }
            self.deliver();
            self.send();
            self.tell();
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let views: Vec<_> = self.views.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, me, active) in views {
            self.learn_view(me, &active);
        }
        let time = Time::from_millis(now);
        for (_, me) in self.answers.extract_if(.., |(at, _)| *at <= now) {
            self.tables[me].record_limit(time, &upstream(0), self.limit.map(limit));
            self.tables[me].end_request(time, &upstream(0), AttemptOutcome::Answered);
            if self.limit.is_some() {
                self.told[me].get_or_insert(now);
            }
        }
        for (_, me, notes) in self.notes.extract_if(.., |(at, ..)| *at <= now) {
            self.tables[me].apply_limit_reports(time, &notes);
        }
    }

    fn send(&mut self) {
        let now = Time::from_millis(self.now);
        for me in 0..self.tables.len() {
            if !self.wants[me] || !self.active[me] {
                continue;
            }
            if choose(&mut self.tables[me], now, self.rng.random()).is_some() {
                let arrives = self.now + self.rng.random_range(0..ANSWER);
                self.arrived.push((arrives, me));
                self.answers.push((arrives + self.rng.random_range(0..ANSWER), me));
            }
        }
    }

    fn tell(&mut self) {
        let count = self.tables.len();
        for me in 0..count {
            let phase = u64::try_from(me).expect("few") * STEP % TELL_EVERY;
            if !self.active[me] || !(self.now + phase).is_multiple_of(TELL_EVERY) {
                continue;
            }
            let notes = self.tables[me].limit_reports(Time::from_millis(self.now));
            if notes.is_empty() {
                continue;
            }
            let steps = (0..8).map(|n| 1 << n).filter(|step| *step < count);
            for step in steps {
                let at = self.now + self.rng.random_range(0..MESSAGE);
                self.notes.push((at, (me + step) % count, notes.clone()));
            }
        }
    }

    /// Returns the most requests in any span of four seconds from a time on, of VMs that had been
    /// told half a second before.
    fn most(&self, from: u64) -> usize {
        let was_told =
            |at: u64, me: usize| self.told[me].is_some_and(|told| told + TOLD_BEFORE <= at);
        let counted = self.arrived.iter().filter(|(at, me)| *at >= from && was_told(*at, *me));
        let mut times: Vec<_> = counted.map(|(at, _)| *at).collect();
        times.sort_unstable();
        let within = |n: usize| times[n..].iter().take_while(|at| **at < times[n] + SPAN).count();
        (0..times.len()).map(within).max().unwrap_or(0)
    }

    fn arrived_since(&self, from: u64) -> usize {
        self.arrived.iter().filter(|(at, _)| *at >= from).count()
    }
}

fn allowed(rate: f64) -> f64 {
    rate * 1.5 * 4.0 + 5.0
}

fn expect_kept(vms: usize, rate: f64, wanting: f64, seed: u64, view_every: Option<u64>) {
    let mut fleet = Fleet::new(vms, seed);
    for me in 0..vms {
        fleet.wants[me] = fleet.rng.random_bool(wanting);
    }
    fleet.run(1000, None);
    let named = fleet.now;
    fleet.limit = Some(rate);
    fleet.run(30_000, view_every);
    let most = fleet.most(named + BINDS_AFTER);
    let allowed = allowed(rate);
    assert!(
        f64::from(u32::try_from(most).expect("few")) <= allowed,
        "{vms} VMs, {rate} a second, seed {seed}: {most} of {allowed}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    #[test]
    fn no_fleet_sends_more_than_the_limit_while_its_views_change(
        vms in 1_usize..=30,
        rate in prop_oneof![0.0..2.0, 2.0..20.0],
        wanting in 0.02..=1.0,
        seed: u64,
        every in 1_u64..8,
    ) {
        expect_kept(vms, rate, wanting, seed, Some(every * 1000));
    }
}

#[test]
fn a_fleet_of_300_sends_no_more_than_the_limit() {
    for (n, rate) in [0.2, 0.4, 1.1, 5.0, 20.0].into_iter().enumerate() {
        for wanting in [0.05, 1.0] {
            let seed = u64::try_from(n).expect("few");
            expect_kept(300, rate, wanting, seed, Some(6000));
        }
    }
}

#[test]
fn a_fleet_uses_most_of_a_limit() {
    for (vms, rate) in [(1, 1.1), (6, 0.4), (6, 5.0), (6, 20.0), (30, 1.5), (300, 20.0)] {
        let mut fleet = Fleet::new(vms, 7);
        fleet.limit = Some(rate);
        fleet.run(5000, None);
        let from = fleet.now;
        fleet.run(40_000, None);
        let used = fleet.arrived_since(from);
        let part = f64::from(u32::try_from(used).expect("few")) / (rate * 40.0);
        assert!((0.6..=1.2).contains(&part), "{vms} VMs, {rate} a second: {part}");
    }
}

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

#[test]
fn a_vm_that_alone_has_requests_learns_that_a_limit_has_ended() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(300, seed);
        fleet.limit = Some(0.0);
        fleet.run(3000, None);
        let only = fleet.rng.random_range(0..300);
        fleet.wants = (0..300).map(|me| me == only).collect();
        fleet.limit = None;
        fleet.run(2000, None);
        let from = fleet.now;
        fleet.run(400_000, None);
        assert!(fleet.arrived_since(from) > 100, "seed {seed}: VM {only} sends nothing");
    }
}

#[test]
fn a_request_that_was_under_way_when_the_limit_was_named_needs_a_permit() {
    let mut table = table(1);
    table.set_senders(Time::default(), Senders::new(&vm(0), &[vm(0)]));
    let at = Time::from_millis;
    let begun = at(1000);
    assert!(table.can_still_send(at(1100), &upstream(0), begun));
    table.record_limit(at(1200), &upstream(0), Some(limit(1.0)));
    assert!(!table.can_still_send(at(1300), &upstream(0), begun), "nothing may be sent yet");
    assert!(table.can_still_send(at(2300), &upstream(0), begun));
    assert!(!table.can_still_send(at(2300), &upstream(0), begun), "the permit is taken");
}

#[test]
fn a_process_that_stood_still_or_is_in_no_view_sends_no_crowd() {
    let at = Time::from_millis;
    let mut awake = table(1);
    awake.set_senders(Time::default(), Senders::new(&vm(0), &[vm(0), vm(1)]));
    let mut alone = table(1);
    for table in [&mut awake, &mut alone] {
        table.record_limit(at(1000), &upstream(0), Some(limit(2.0)));
    }
    let sent = (0..100).filter(|draw| choose(&mut awake, at(600_000), *draw).is_some()).count();
    assert_eq!(sent, 1);
    let sent = (0..100).filter(|draw| choose(&mut alone, at(600_000), *draw).is_some()).count();
    assert_eq!(sent, 0);
}

#[test]
fn a_limit_that_others_tell_is_the_one_that_was_heard() {
    let at = Time::from_millis;
    let (mut one, mut other) = (table(1), table(1));
    for table in [&mut one, &mut other] {
        table.record_limit(at(1000), &upstream(0), Some(limit(1.234_567_8)));
    }
    one.record_limit(at(2000), &upstream(0), Some(limit(1.234_567_8)));
    let notes = one.limit_reports(at(2000));
    assert_eq!(other.apply_limit_reports(at(2100), &notes), [], "nothing has changed");
}

#[test]
fn senders_that_all_change_with_each_view_send_no_more_than_the_limit() {
    let rate = 0.2;
    for seed in 0..5 {
        let mut fleet = Fleet::new(30, seed);
        fleet.limit = Some(rate);
        fleet.run(4000, None);
        let from = fleet.now;
        for turn in 0..20 {
            let members: Vec<_> = (0..30).map(|me| me % 2 == turn % 2).collect();
            for me in 0..30 {
                let at = fleet.now + fleet.rng.random_range(0..VIEW);
                fleet.views.push((at, me, members.clone()));
            }
            fleet.run(1000, None);
        }
        let most = f64::from(u32::try_from(fleet.most(from)).expect("few"));
        assert!(most <= allowed(rate), "seed {seed}: {most}");
    }
}
