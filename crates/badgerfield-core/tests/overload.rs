//! A plain service that is asked for more than it can do, by a fleet of which no VM sees more
//! than a few of its requests.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::{Service, UpstreamId};
use badgerfield_core::overload;
use badgerfield_core::residency::EVERYWHERE;
use badgerfield_core::upstream_list::{ListedUpstream, UpstreamEntry, UpstreamList};
use badgerfield_core::upstream_table::{AttemptOutcome, UpstreamCriteria, UpstreamTable};

const VMS: usize = 48;
const SLOTS: usize = 6;
/// How many requests may wait at an upstream; it turns others away.
const QUEUE: usize = 24;
/// The mean time that an upstream of usual speed works on a request, in microseconds.
const WORK_US: f64 = 60_000.0;
/// The time within which callers want an answer.
const OBJECTIVE_US: u64 = 300_000;
/// The time that callers wait, and how many times they come.
const PATIENCE_US: u64 = 4_000_000;
const COMES: u32 = 2;
/// How often VMs tell each other what they know.
const BEAT_US: u64 = 400_000;
const SECONDS: u64 = 20;

/// A sequence of random numbers.
struct Draws(u64);

impl Draws {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number between 0 and 1.
    fn part(&mut self) -> f64 {
        f64::from(u32::try_from(self.next() >> 32).expect("it fits")) / f64::from(u32::MAX)
    }

    /// Returns the time between two events that come so far apart in the mean.
    fn pause(&mut self, mean: f64) -> u64 {
        whole(-mean * self.part().max(1e-9).ln())
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "times are small")]
fn whole(value: f64) -> u64 {
    value as u64
}

#[derive(Debug, Clone)]
struct Request {
    since: u64,
    comes: u32,
    /// Whether it may be sent to a second upstream.
    again: bool,
    tried: Vec<UpstreamId>,
    vm: usize,
    sent: u64,
}

#[derive(Debug, Default)]
struct Upstream {
    working: usize,
    waiting: VecDeque<u64>,
}

#[derive(Debug)]
enum Turn {
    Arrives,
    Returns(u64),
    Answers(usize, u64),
    Beat(u64),
}

/// What callers saw, in parts of all requests.
#[derive(Debug, Default)]
struct Seen {
    requests: f64,
    served: f64,
    in_time: f64,
    /// Tries that upstreams turned away.
    turned_away: f64,
    tries: f64,
}

/// A fleet before a plain service.
struct Play {
    tables: Vec<UpstreamTable>,
    speeds: Vec<f64>,
    upstreams: Vec<Upstream>,
    requests: BTreeMap<u64, Request>,
    turns: BTreeMap<(u64, u64), Turn>,
    next: u64,
    draws: Draws,
    seen: Seen,
}

fn id(n: usize) -> UpstreamId {
    format!("plain-{n}").parse().expect("a name")
}

fn service() -> Service {
    "plain".parse().expect("a name")
}

fn new_table(upstreams: usize) -> UpstreamTable {
    let entry = |n: usize| UpstreamEntry {
        revision: 1,
        info: ListedUpstream {
            id: id(n),
            service: service(),
            address: ([127, 0, 0, 1], 9000).into(),
            domain: "d".parse().expect("a name"),
            version: None,
            slots: 6,
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

impl Play {
    fn new(speeds: &[f64], seed: u64) -> Self {
        Self {
            tables: (0..VMS).map(|_| new_table(speeds.len())).collect(),
            speeds: speeds.to_vec(),
            upstreams: speeds.iter().map(|_| Upstream::default()).collect(),
            requests: BTreeMap::new(),
            turns: BTreeMap::new(),
            next: 0,
            draws: Draws(seed),
            seen: Seen::default(),
        }
    }

    fn at(&mut self, time: u64, turn: Turn) {
        self.next += 1;
        self.turns.insert((time, self.next), turn);
    }

    /// Plays callers that ask for so many times what the upstreams can do.
    fn run(mut self, load: f64) -> Seen {
        let able: f64 = self.speeds.iter().map(|speed| 6.0 * speed / WORK_US).sum();
        let mean = 1.0 / (able * load);
        self.at(0, Turn::Arrives);
        self.at(0, Turn::Beat(0));
        let end = SECONDS * 1_000_000;
        while let Some(((now, _), turn)) = self.turns.pop_first() {
            match turn {
                Turn::Arrives if now < end => {
                    let again = self.draws.part() < 0.2;
                    let request =
                        Request { since: now, comes: 0, again, tried: vec![], vm: 0, sent: 0 };
                    self.next += 1;
                    let number = self.next;
                    self.requests.insert(number, request);
                    self.seen.requests += 1.0;
                    self.comes(now, number);
                    let pause = self.draws.pause(mean);
                    self.at(now + pause, Turn::Arrives);
                }
                Turn::Arrives => {}
                Turn::Returns(number) => self.comes(now, number),
                Turn::Answers(upstream, number) => self.answers(now, upstream, number),
                Turn::Beat(turn) => {
                    if now < end {
                        self.beat(now, turn);
                        self.at(now + BEAT_US / 4, Turn::Beat(turn + 1));
                    }
                }
            }
        }
        self.seen
    }

    /// Lets a caller come to some VM.
    fn comes(&mut self, now: u64, number: u64) {
        let vm = usize::try_from(self.draws.next() % 48).expect("few VMs");
        let request = self.requests.get_mut(&number).expect("it is there");
        request.vm = vm;
        request.comes += 1;
        request.tried.clear();
        self.send(now, number);
    }

    fn send(&mut self, now: u64, number: u64) {
        let time = Time(Duration::from_micros(now));
        let request = self.requests.get_mut(&number).expect("it is there");
        let wanted = UpstreamCriteria {
            service: &service(),
            route: "call",
            parts: &[],
            bytes: 0,
            residency: &EVERYWHERE,
            tried: &request.tried,
            resumed_version: None,
            max_connections: 2,
            random: self.draws.next(),
            rendezvous_key: None,
        };
        let vm = request.vm;
        let Some(chosen) = self.tables[vm].choose(time, &wanted) else {
            return self.refused(now, number);
        };
        self.tables[vm].start_request(time, &chosen.id, &[]);
        request.tried.push(chosen.id.clone());
        request.sent = now;
        self.seen.tries += 1.0;
        let place = (0..self.speeds.len()).find(|n| id(*n) == chosen.id).expect("it is listed");
        let upstream = &mut self.upstreams[place];
        if upstream.working < SLOTS {
            upstream.working += 1;
            return self.work(now, place, number);
        }
        if upstream.waiting.len() < QUEUE {
            return upstream.waiting.push_back(number);
        }
        self.seen.turned_away += 1.0;
        let request = &self.requests[&number];
        let more = request.again && request.tried.len() < 2;
        self.tables[vm].end_request(time, &chosen.id, AttemptOutcome::Full);
        let counts = overload::rejection_wait(Duration::from_micros(OBJECTIVE_US));
        self.tables[vm].record_response_time(time, &chosen.id, counts);
        if more {
            return self.send(now, number);
        }
        self.refused(now, number);
    }

    fn work(&mut self, now: u64, upstream: usize, number: u64) {
        let part = (self.draws.part() + self.draws.part()).max(0.2);
        let took = whole(WORK_US / self.speeds[upstream] * part);
        self.at(now + took, Turn::Answers(upstream, number));
    }

    fn answers(&mut self, now: u64, place: usize, number: u64) {
        let time = Time(Duration::from_micros(now));
        let request = self.requests.remove(&number).expect("it is there");
        let span = Duration::from_micros(now - request.sent);
        self.tables[request.vm].record_response_time(time, &id(place), span);
        self.tables[request.vm].end_request(time, &id(place), AttemptOutcome::Answered);
        self.seen.served += 1.0;
        let in_time = now - request.since <= OBJECTIVE_US;
        self.seen.in_time += f64::from(u8::from(in_time));
        let next = self.upstreams[place].waiting.pop_front();
        match next {
            Some(next) => self.work(now, place, next),
            None => self.upstreams[place].working -= 1,
        }
    }

    fn refused(&mut self, now: u64, number: u64) {
        let request = &self.requests[&number];
        let away = overload::retry_delay(self.draws.next());
        let back = now + whole(away.as_secs_f64() * 1e6);
        if request.comes < COMES && back < request.since + PATIENCE_US {
            return self.at(back, Turn::Returns(number));
        }
        self.requests.remove(&number);
    }

    /// A quarter of the VMs tell a few others what they know.
    fn beat(&mut self, now: u64, turn: u64) {
        let time = Time(Duration::from_micros(now));
        let turn = usize::try_from(turn).expect("short");
        for from in (0..VMS).filter(|vm| vm % 4 == turn % 4) {
            let notes = self.tables[from].delay_reports(time, turn);
            for step in [1, 2, 4, 8, 16, 32] {
                self.tables[(from + step) % VMS].apply_delay_reports(time, &notes);
            }
        }
    }
}

/// Plays several seeds and returns what callers saw, each in parts of all requests.
fn shares(speeds: &[f64], load: f64) -> Seen {
    let mut sum = Seen::default();
    for seed in 1..=6 {
        let seen = Play::new(speeds, seed * 977).run(load);
        sum.requests += seen.requests;
        sum.served += seen.served;
        sum.in_time += seen.in_time;
        sum.turned_away += seen.turned_away;
        sum.tries += seen.tries;
    }
    let of = |count: f64| count / sum.requests;
    let all = Seen {
        requests: 1.0,
        served: of(sum.served),
        in_time: of(sum.in_time),
        turned_away: of(sum.turned_away),
        tries: of(sum.tries),
    };
    println!("load {load}, speeds {speeds:?}: {all:.3?}");
    all
}

/// Shows that upstreams of an overloaded service stand idle while others turn requests away:
/// they can do 0.77 of what is asked.
#[test]
fn upstreams_of_an_overloaded_service_are_kept_busy() {
    for speeds in [&[1.0, 1.0, 1.0][..], &[1.0, 1.0, 0.6], &[1.0]] {
        let seen = shares(speeds, 1.3);
        assert!(seen.served > 0.75, "{seen:?}");
    }
}

/// Shows that a slow upstream gets as much as the others, so that requests wait there which the
/// others had room for: 0.08 and 0.14 of all came late.
#[test]
fn a_slow_upstream_gets_less_than_one_that_is_not() {
    for speeds in [&[1.0, 1.0, 0.6][..], &[1.0, 0.6]] {
        let seen = shares(speeds, 0.9);
        assert!(seen.in_time > 0.95, "{seen:?}");
        assert!(seen.served > 0.995, "{seen:?}");
    }
}

/// Shows that callers who were turned away together come back together.
#[test]
fn those_who_were_turned_away_together_come_back_apart() {
    let mut draws = Draws(7);
    let mut tenths = [0; 10];
    for _ in 0..1000 {
        let after = overload::retry_delay(draws.next()).as_millis();
        tenths[usize::try_from(after / 100).expect("short")] += 1;
    }
    assert!(tenths.iter().all(|count| *count < 250), "{tenths:?}");
    assert!(tenths[0] + tenths[1] == 0, "nobody is called back at once: {tenths:?}");
}
