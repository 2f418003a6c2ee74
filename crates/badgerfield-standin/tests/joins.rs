//! VMs whose processes are killed and started again within a second, many times: the process that
//! runs last has to become the member of its VM, and to stay it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::Incarnation;
use badgerfield_standin::fleet::{Fleet, FleetConfig};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(50);
/// How many VMs are killed and started again.
const RESTARTED_VMS: usize = 10;
/// The duration of a series.
const SERIES: Duration = Duration::from_secs(20);
/// The range of the time that a process lives, and of that until the next one starts, in
/// milliseconds.
const RESTART_MS: std::ops::Range<u64> = 100..1000;
/// The range of the time that a late call takes to be executed, in milliseconds.
const LATE_MS: std::ops::Range<u64> = 1000..4000;
/// The maximum time from the start of a process to the view that contains it.
const JOIN_TIME: Duration = Duration::from_secs(5);

/// What happens to the members of a fleet.
#[derive(Debug, Default)]
struct Observer {
    /// The processes that were members, by VM.
    members: BTreeMap<usize, Incarnation>,
    /// The processes that have not become members, by VM, with the time of their start.
    joining: BTreeMap<usize, Time>,
    join_times: Vec<Duration>,
    /// The members that were removed although they run: their VM and the time of the removal.
    removed: Vec<(usize, Time)>,
}

impl Observer {
    fn kill(&mut self, fleet: &mut Fleet, vm: usize) {
        self.members.remove(&vm);
        self.joining.remove(&vm);
        fleet.kill(vm);
    }

    fn start(&mut self, fleet: &mut Fleet, vm: usize) {
        self.joining.insert(vm, fleet.now);
        fleet.start(vm);
    }

    /// Advances the time by a step, and compares the stored view with the processes that run.
    fn step(&mut self, fleet: &mut Fleet) {
        fleet.advance(STEP);
        let view = fleet.store.view();
        let ids: BTreeSet<_> = view.members.iter().map(|m| m.incarnation).collect();
        for vm in 0..fleet.size() {
            let Some(id) = fleet.incarnation(vm) else {
                continue;
            };
            if ids.contains(&id) {
                self.members.insert(vm, id);
                let started = self.joining.remove(&vm);
                self.join_times.extend(started.map(|at| fleet.now.since(at)));
                continue;
            }
            if self.members.remove(&vm).is_some() {
                self.removed.push((vm, fleet.now));
            }
        }
    }

    fn longest_join(&self) -> Duration {
        self.join_times.iter().copied().max().unwrap_or_default()
    }
}

/// Parameters of a series.
#[derive(Debug, Clone, Copy)]
struct Series {
    vms: usize,
    seed: u64,
    /// Additional delay of announcements on their way to hosts.
    announcement_delay: Duration,
    /// How many of a hundred processes make calls that are executed seconds later.
    late_percent: u32,
    /// Whether the list of VMs lacks those whose process has ended.
    unlists: bool,
}

impl Series {
    fn fleet(&self) -> Fleet {
        let config = FleetConfig {
            regions: vec![self.vms],
            domains: 4,
            seals: true,
            noise_permille: 0,
            unordered_incarnations: true,
            seed: self.seed,
            ..FleetConfig::default()
        };
        let mut fleet = Fleet::started(config);
        fleet.store.announcement_delay = self.announcement_delay;
        fleet
    }

    /// Kills and starts processes, then waits until the last ones have joined.
    fn play(&self) -> Observer {
        let mut fleet = self.fleet();
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut observer = Observer::default();
        observer.step(&mut fleet);
        let end = fleet.now.after(SERIES);
        let mut due: BTreeMap<usize, Time> = BTreeMap::new();
        for n in 0..RESTARTED_VMS {
            let wait = Duration::from_millis(rng.random_range(RESTART_MS));
            due.insert(n * self.vms / RESTARTED_VMS, fleet.now.after(wait));
        }
        while !due.is_empty() {
            observer.step(&mut fleet);
            let now = fleet.now;
            let due_now: Vec<_> = due.iter().filter(|(_, at)| now >= **at).map(|e| *e.0).collect();
            for vm in due_now {
                let is_over = self.turn(&mut fleet, &mut observer, vm, now >= end, &mut rng);
                let wait = Duration::from_millis(rng.random_range(RESTART_MS));
                due.insert(vm, now.after(wait));
                if is_over {
                    due.remove(&vm);
                }
            }
        }
        let until = fleet.now.after(JOIN_TIME * 3);
        while fleet.now < until {
            observer.step(&mut fleet);
        }
        observer
    }

    /// Kills the process of a VM, or starts the next one. Returns whether that is the last one.
    fn turn(
        &self,
        fleet: &mut Fleet,
        observer: &mut Observer,
        vm: usize,
        is_last: bool,
        rng: &mut ChaCha8Rng,
    ) -> bool {
        if fleet.is_running(vm) {
            observer.kill(fleet, vm);
            if self.unlists {
                fleet.remove_vm_from_list(vm);
            }
            return false;
        }
        fleet.store.late_vms.remove(&vm);
        let is_late = rng.random_range(0..100) < self.late_percent;
        if is_late && !is_last {
            let late = Duration::from_millis(rng.random_range(LATE_MS));
            fleet.store.late_vms.insert(vm, late);
        }
        if self.unlists {
            fleet.add_vm_to_list(vm);
        }
        observer.start(fleet, vm);
        is_last
    }
}

/// Plays series, and asserts that no live member is removed and that all processes join in time.
fn check(series: impl Iterator<Item = Series>) {
    let mut faults = Vec::new();
    for series in series {
        let observer = series.play();
        let longest = observer.longest_join();
        println!(
            "{series:?}: {} joined, the last after {longest:?}, {} removed, {} still joining",
            observer.join_times.len(),
            observer.removed.len(),
            observer.joining.len(),
        );
        let is_in_time = longest <= JOIN_TIME + series.announcement_delay;
        if !observer.removed.is_empty() || !observer.joining.is_empty() || !is_in_time {
            faults.push((series, longest, observer.removed, observer.joining));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

fn series(vms: usize, seed: u64) -> Series {
    let announcement_delay = Duration::ZERO;
    Series { vms, seed, announcement_delay, late_percent: 0, unlists: false }
}

/// Guards against a dead process that replaces the live one of its VM.
#[test]
fn last_process_of_a_vm_becomes_its_member() {
    check((1..=8).map(|seed| series(72, seed)));
}

/// The same while hosts learn of announcements late.
#[test]
fn last_process_of_a_vm_becomes_its_member_with_late_announcements() {
    let delays = [300, 1500].map(Duration::from_millis);
    check((1..=8).flat_map(|seed| {
        delays.map(|announcement_delay| Series { announcement_delay, ..series(72, seed) })
    }));
}

/// The same with writes that are executed seconds after the end of the process that made them.
#[test]
fn last_process_of_a_vm_becomes_its_member_with_late_writes() {
    check((1..=8).map(|seed| Series { late_percent: 50, ..series(72, seed) }));
}

/// Guards against live members that are removed because the list of VMs lags.
#[test]
fn live_members_stay_while_the_list_of_vms_lags() {
    check([(72, 1), (72, 2), (72, 3), (300, 1)].into_iter().map(|(vms, seed)| Series {
        unlists: true,
        late_percent: 20,
        ..series(vms, seed)
    }));
}
