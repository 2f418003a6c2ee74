//! Fast series of planned stops: each VM in turn is asked to stop, and its process is started again.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_standin::fleet::{Fleet, FleetConfig};

/// The time between two stops of a series.
const GAP: Duration = Duration::from_millis(250);
/// The time after which a process that has been asked to stop is killed.
const GRACE: Duration = Duration::from_secs(8);
/// The time between the end of a process and the start of the next one on its VM.
const RESTART_DELAY: Duration = Duration::from_millis(800);
const STEP: Duration = Duration::from_millis(50);
/// The memory that a process may take, in kB: 128 MB are there for all control of a full-size fleet.
const MAX_MEMORY_KB: u64 = 16 << 10;

/// What planned stops did to the processes.
#[derive(Debug, Default)]
struct Stops {
    begun: BTreeMap<usize, Time>,
    restarts: BTreeMap<usize, Time>,
    killed: usize,
    ended: usize,
}

impl Stops {
    fn begin(&mut self, fleet: &mut Fleet, vm: usize) {
        if fleet.is_running(vm) && !self.begun.contains_key(&vm) {
            self.begun.insert(vm, fleet.now);
            fleet.stop(vm);
        }
    }

    /// Advances the time by a step. Kills processes after the grace time, and starts ended ones.
    fn step(&mut self, fleet: &mut Fleet) {
        fleet.advance(STEP);
        let now = fleet.now;
        for (vm, at) in self.begun.clone() {
            if fleet.is_running(vm) && now.since(at) < GRACE {
                continue;
            }
            if fleet.is_running(vm) {
                self.killed += 1;
                fleet.kill(vm);
            }
            self.ended += 1;
            self.begun.remove(&vm);
            self.restarts.insert(vm, now.after(RESTART_DELAY));
        }
        for (vm, _) in self.restarts.clone().into_iter().filter(|(_, at)| now >= *at) {
            self.restarts.remove(&vm);
            fleet.start(vm);
        }
    }
}

fn fleet(vms: usize) -> Fleet {
    let config = FleetConfig {
        regions: vec![vms],
        domains: 4,
        seals: true,
        noise_permille: 0,
        ..FleetConfig::default()
    };
    Fleet::started(config)
}

fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the file can be read");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("the line exists");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).expect("a number")
}

/// Guards against processes that exceed the memory of their VMs while views follow each other too
/// fast to become complete.
#[test]
fn processes_stay_small_in_four_series_of_stops() {
    let vms = 72;
    let mut fleet = fleet(vms);
    let before = resident_kb();
    let mut stops = Stops::default();
    for stop in 0..4 * vms {
        stops.begin(&mut fleet, stop % vms);
        for _ in 0..GAP.as_millis() / STEP.as_millis() {
            stops.step(&mut fleet);
        }
        let used = resident_kb().saturating_sub(before) / 72;
        assert!(used <= MAX_MEMORY_KB, "{used} kB a process after {stop} stops: {stops:?}");
    }
}
