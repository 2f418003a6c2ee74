//! Series of planned stops that follow each other faster than one stop takes, under load.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_standin::fleet::{End, Fleet, FleetConfig, Link, RequestSpec};

/// The time after which a process that has been asked to stop is killed.
const GRACE: Duration = Duration::from_secs(8);
/// The time between the end of a process and the start of the next one on its VM.
const RESTART_DELAY: Duration = Duration::from_millis(800);
const STEP: Duration = Duration::from_millis(50);
/// The time for which callers use a directory that they have read.
const DIRECTORY_TTL: Duration = Duration::from_secs(2);
/// The requests that callers send in each step.
const REQUESTS_PER_STEP: usize = 6;
/// The limit of each of the two budgets.
const LIMIT: u64 = 1_000_000;
/// The most tokens of a budget that may be lost: 1 in 100.
const MAX_LOST: u64 = LIMIT / 100;
/// The most writes of the view for each stop and the start after it, with conflicts: leaving,
/// quitting and joining, the completion of each, the first write of a process that starts, which
/// always meets a view, and one conflict.
const MAX_VIEW_WRITES: u64 = 8;

/// A series of stops.
#[derive(Debug, Clone, Copy)]
struct Series {
    begins_at: Duration,
    gap: Duration,
    /// The number of VMs that are stopped at the same moment.
    at_once: usize,
    first_vm: usize,
    stops: usize,
}

/// What planned stops did to a fleet.
#[derive(Debug, Default)]
struct Outcome {
    stops: usize,
    killed: Vec<String>,
    slowest: Duration,
    lost_requests: usize,
    requests: usize,
}

#[derive(Debug)]
struct Play {
    fleet: Fleet,
    begun: BTreeMap<usize, Time>,
    restarts: BTreeMap<usize, Time>,
    directory: Vec<usize>,
    directory_at: Time,
    outcome: Outcome,
    next: usize,
}

impl Play {
    fn new(config: FleetConfig) -> Self {
        let fleet = Fleet::started(config);
        let directory_at = Time::default();
        Self {
            fleet,
            begun: BTreeMap::new(),
            restarts: BTreeMap::new(),
            directory: Vec::new(),
            directory_at,
            outcome: Outcome::default(),
            next: 0,
        }
    }

    fn stop(&mut self, vm: usize) {
        if self.fleet.is_running(vm) && !self.begun.contains_key(&vm) {
            self.begun.insert(vm, self.fleet.now);
            self.fleet.stop(vm);
            self.outcome.stops += 1;
        }
    }

    fn send_requests(&mut self) {
        if self.fleet.now.since(self.directory_at) >= DIRECTORY_TTL {
            self.directory = self.fleet.directory(0);
            self.directory_at = self.fleet.now;
        }
        for _ in 0..REQUESTS_PER_STEP {
            self.next += 1;
            let Some(vm) = self.directory.get(self.next * 7 % self.directory.len().max(1)) else {
                continue;
            };
            let key = self.next.is_multiple_of(4).then(|| format!("key-{}", self.next));
            let spec = RequestSpec {
                budget: self.next % 2,
                key,
                at_most_once: false,
                service: false,
                prompt: 60,
                output: 40,
            };
            self.fleet.send_request(*vm, spec);
        }
    }

    /// Advances the time by a step. Kills processes after the grace time, and starts ended ones.
    fn step(&mut self) {
        self.send_requests();
        self.fleet.advance(STEP);
        let now = self.fleet.now;
        for (vm, at) in self.begun.clone() {
            let span = now.since(at);
            if self.fleet.is_running(vm) && span < GRACE {
                continue;
            }
            self.outcome.slowest = self.outcome.slowest.max(span);
            if let Some(node) = self.fleet.node(vm) {
                let status = node.status();
                self.outcome.killed.push(format!("vm {vm} at {now:?}: {status:?}"));
                self.fleet.kill(vm);
            }
            self.begun.remove(&vm);
            self.restarts.insert(vm, now.after(RESTART_DELAY));
        }
        for (vm, _) in self.restarts.clone().into_iter().filter(|(_, at)| now >= *at) {
            self.restarts.remove(&vm);
            self.fleet.start(vm);
        }
    }

    fn run(&mut self, series: &[Series], mut disturb: impl FnMut(&mut Fleet, Duration)) {
        let began = self.fleet.now;
        let ends = series
            .iter()
            .map(|s| s.begins_at + s.gap * u32::try_from(s.stops).expect("a small number"));
        let end = ends.max().unwrap_or_default() + GRACE + Duration::from_secs(4);
        let mut done = vec![0; series.len()];
        while self.fleet.now.since(began) < end {
            let at = self.fleet.now.since(began);
            disturb(&mut self.fleet, at);
            for (series, done) in series.iter().zip(&mut done) {
                while *done < series.stops
                    && at
                        >= series.begins_at
                            + series.gap
                                * u32::try_from(*done / series.at_once).expect("a small number")
                {
                    self.stop((series.first_vm + *done) % self.fleet.size());
                    *done += 1;
                }
            }
            self.step();
        }
        let lost = |end: &End| matches!(end, End::Lost);
        let requests = self.fleet.requests.values();
        self.outcome.requests = self.fleet.requests.len();
        self.outcome.lost_requests =
            requests.filter(|r| r.end.as_ref().is_some_and(|(end, _)| lost(end))).count();
    }
}

fn config(vms: usize, seed: u64) -> FleetConfig {
    FleetConfig {
        regions: vec![vms],
        domains: 4,
        limits: vec![LIMIT; 2],
        seals: true,
        noise_permille: 5,
        seed,
        ..FleetConfig::default()
    }
}

/// Returns two series that overlap, each of a part of the VMs.
fn overlapping(vms: usize, part: usize, gap: Duration, at_once: usize) -> Vec<Series> {
    let stops = vms / part;
    let first = Series { begins_at: Duration::from_secs(1), gap, at_once, first_vm: 0, stops };
    let begins_at =
        first.begins_at + gap * u32::try_from(stops / at_once / 2).expect("a small number");
    vec![first, Series { begins_at, first_vm: vms / 2, ..first }]
}

/// Plays series of stops. Checks that all processes end in time, that callers find running VMs, and
/// that few tokens are lost. Returns the writes of the view.
fn check(mut play: Play, series: &[Series], disturb: impl FnMut(&mut Fleet, Duration)) -> u64 {
    let (writes, conflicts) = (play.fleet.store.view_writes, play.fleet.store.conflicts);
    let kills = play.fleet.kill_count();
    play.run(series, disturb);
    play.fleet.store.slow = Duration::ZERO;
    play.fleet.advance(Duration::from_secs(5));
    let fleet = &play.fleet;
    let view = fleet.store.view();
    let is_listed = |vm: &usize| fleet.node(*vm).is_some_and(|n| view.has_member(n.id()));
    let removed: Vec<_> =
        (0..fleet.size()).filter(|vm| fleet.is_running(*vm) && !is_listed(vm)).collect();
    let writes = fleet.store.view_writes - writes;
    println!(
        "{} stops, slowest {:?}, {writes} writes of the view, {} conflicts, {}; {}",
        play.outcome.stops,
        play.outcome.slowest,
        fleet.store.conflicts - conflicts,
        fleet.balance(0),
        fleet.balance(1),
    );
    assert!(play.outcome.killed.is_empty(), "killed: {:#?}", play.outcome.killed);
    assert!(removed.is_empty(), "members that run were removed: {removed:?}");
    assert!(fleet.kill_count() > kills || play.outcome.lost_requests == 0, "{:?}", play.outcome);
    for budget in 0..2 {
        let balance = fleet.balance(budget);
        assert!(balance.lost <= MAX_LOST, "{balance}");
    }
    assert_eq!(fleet.truth.overspend(), 0);
    assert_eq!(fleet.violations, Vec::<String>::new());
    writes
}

fn check_writes(writes: u64, series: &[Series]) {
    let stops: usize = series.iter().map(|s| s.stops).sum();
    let stops = u64::try_from(stops).expect("a small number");
    assert!(writes <= MAX_VIEW_WRITES * stops, "{writes} writes of the view in {stops} stops");
}

/// Guards against processes that are killed at the end of the grace time, because each change of
/// the view delays the departure of all that stop.
#[test]
fn all_processes_stop_in_time_in_overlapping_series() {
    for (seed, slow_ms) in [(1, 0), (2, 0), (3, 30), (1, 30), (2, 100), (3, 100)] {
        let mut play = Play::new(config(72, seed));
        play.fleet.store.slow = Duration::from_millis(slow_ms);
        let series = overlapping(72, 2, Duration::from_millis(250), 1);
        let writes = check(play, &series, |_, _| {});
        check_writes(writes, &series);
    }
}

/// The same for other intervals and for several stops at once.
#[test]
fn all_processes_stop_in_time_at_other_intervals() {
    for (seed, gap_ms, at_once) in [(1, 100, 1), (2, 250, 4), (3, 1000, 4), (4, 2000, 3)] {
        let play = Play::new(config(72, seed));
        let series = overlapping(72, 2, Duration::from_millis(gap_ms), at_once);
        check(play, &series, |_, _| {});
    }
}

/// Guards against writes of the view that grow with the number of processes that leave.
#[test]
fn writes_of_the_view_are_few_in_a_large_fleet_with_a_slow_store() {
    let mut play = Play::new(config(300, 1));
    play.fleet.store.slow = Duration::from_millis(30);
    let series = overlapping(300, 6, Duration::from_millis(250), 1);
    let writes = check(play, &series, |_, _| {});
    check_writes(writes, &series);
}

/// The same in a small fleet, where each process writes for itself.
#[test]
fn all_processes_of_a_small_fleet_stop_in_time() {
    for (seed, slow_ms) in [(1, 0), (2, 30), (3, 60)] {
        let mut play = Play::new(config(6, seed));
        play.fleet.store.slow = Duration::from_millis(slow_ms);
        let series = overlapping(6, 3, Duration::from_millis(250), 1);
        check(play, &series, |_, _| {});
    }
}

/// Guards against a store that is slow now and then: all that write then try again at once.
#[test]
fn all_processes_stop_in_time_while_the_store_is_slow_at_times() {
    for seed in 1..=3 {
        let series = overlapping(72, 3, Duration::from_millis(250), 1);
        check(Play::new(config(72, seed)), &series, |fleet, at| {
            let is_slow = at.as_millis() % 3000 < 600;
            fleet.store.slow = Duration::from_millis(if is_slow { 400 } else { 0 });
        });
    }
}

/// Guards against stops that wait for the acknowledgement of a member that has ended.
#[test]
fn all_processes_stop_in_time_beside_killed_vms() {
    for seed in 1..=3 {
        let series = overlapping(72, 3, Duration::from_millis(250), 1);
        let mut has_killed = false;
        check(Play::new(config(72, seed)), &series, |fleet, at| {
            if at > Duration::from_secs(4) && !has_killed {
                has_killed = true;
                fleet.kill(70);
                fleet.remove_vm_from_list(71);
                fleet.kill(71);
            }
        });
    }
}

/// Guards against stops that wait for a member whose link is full.
#[test]
fn all_processes_stop_in_time_beside_a_full_link() {
    for seed in 1..=2 {
        let mut play = Play::new(config(72, seed));
        let link = Link::new(Duration::from_millis(50), 1e6);
        play.fleet.full_links.insert(65, link);
        check(play, &overlapping(72, 3, Duration::from_millis(250), 1), |_, _| {});
    }
}
