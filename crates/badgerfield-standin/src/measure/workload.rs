//! Arrivals and faults of the measured cases, the same for every system.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The number of client accounts; account 0 sends the most requests.
pub(super) const ACCOUNTS: usize = 10;
/// The number of VMs, half of them in each region.
pub(super) const VMS: usize = 8;
/// The duration of a case.
pub(super) const CASE_DURATION: Duration = Duration::from_mins(4);
/// The time at which the fault of a case begins.
const FAULT_START: Duration = Duration::from_mins(1);
/// The time at which the fault of a case ends, unless the case sets another time.
const FAULT_END: Duration = Duration::from_mins(3);
/// Requests per second of all accounts together.
const REQUESTS_PER_SECOND: u64 = 30;

/// One request and the time of its arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// The time of arrival since the start of the case.
    pub at: Duration,
    /// The index of the account.
    pub account: usize,
    /// The VM that the caller prefers.
    pub vm: usize,
    /// The upper bound of the prompt tokens.
    pub prompt: u64,
    /// The output limit in tokens.
    pub output: u64,
}

impl Arrival {
    /// Returns the maximum cost of the request in tokens.
    #[must_use]
    pub fn max_cost(&self) -> u64 {
        self.prompt + self.output
    }
}

/// A fault, or its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The platform stops answering (true) or answers again (false).
    PlatformDown(bool),
    /// Region 1 loses (true) or regains (false) its links to region 0 and the platform.
    RegionCut(bool),
    /// The process of a VM is killed.
    Kill(usize),
    /// The process of a VM starts.
    Start(usize),
    /// The process of a VM is asked to stop.
    Stop(usize),
    /// The process of a VM is frozen (true) or continues (false).
    Freeze(usize, bool),
}

/// One case: arrivals, budgets and faults.
#[derive(Debug, Clone)]
pub struct Case {
    /// The name of the case.
    pub name: &'static str,
    /// A summary of its faults and budgets.
    pub description: &'static str,
    /// The budget limit of each account, in tokens.
    pub limits: Vec<u64>,
    /// The arrivals in the order of time.
    pub arrivals: Vec<Arrival>,
    /// The faults with their times, in the order of time.
    pub faults: Vec<(Duration, Fault)>,
    /// The seed of the arrivals and of the simulation.
    pub seed: u64,
}

impl Case {
    /// Returns all cases.
    #[must_use]
    pub fn all(seed: u64) -> Vec<Self> {
        let case = |name, description, percent, faults| {
            Self::new(name, description, percent, faults, seed)
        };
        vec![
            case("healthy", "nothing fails; budgets of 4 times the demand", 400, vec![]),
            case("outage", "the platform gives no answers for 2 minutes", 400, outage_faults()),
            case(
                "cut",
                "region 1 is cut off, also from the platform, for 2 minutes",
                400,
                cut_faults(),
            ),
            case("kill", "one VM is killed and comes back after 30 s", 400, kill_faults()),
            case("pause", "one VM is frozen for 30 s, longer than any lease", 100, pause_faults()),
            case("rolling", "every VM is replaced, one after the other", 400, rolling_restart()),
            case(
                "all at once",
                "outage, cut, kill, pause, and two replacements",
                400,
                all_faults(),
            ),
            case("last 5%", "budgets of 5% of the demand", 5, vec![]),
            case(
                "tight cut",
                "budgets of the demand, region 1 cut off for 2 minutes",
                100,
                cut_faults(),
            ),
        ]
    }

    fn new(
        name: &'static str,
        description: &'static str,
        limit_percent: u64,
        faults: Vec<(Duration, Fault)>,
        seed: u64,
    ) -> Self {
        let arrivals = generate_arrivals(seed);
        let mut demand = [0; ACCOUNTS];
        for arrival in &arrivals {
            // On average a request uses half of its output limit and 3/4 of its prompt bound.
            demand[arrival.account] += arrival.prompt * 3 / 4 + arrival.output / 2;
        }
        let limits = demand.iter().map(|d| d * limit_percent / 100).collect();
        Self { name, description, limits, arrivals, faults, seed }
    }
}

fn generate_arrivals(seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        // Arrivals are a Poisson process, with exponential times between them.
        let unit: f64 = rng.random_range(1e-9..1.0);
        let rate = f64::from(u32::try_from(REQUESTS_PER_SECOND).unwrap_or(1));
        at += Duration::from_secs_f64(-unit.ln() / rate);
        if at >= CASE_DURATION {
            return arrivals;
        }
        // The share of account n is proportional to 1 / (n + 1).
        let account = pick_account(&mut rng);
        let vm = rng.random_range(0..VMS);
        let (prompt, output) = (rng.random_range(50..300), rng.random_range(50..200));
        arrivals.push(Arrival { at, account, vm, prompt, output });
    }
}

fn pick_account(rng: &mut ChaCha8Rng) -> usize {
    let total: f64 = (1..=ACCOUNTS).map(|n| 1.0 / f64::from(u32::try_from(n).unwrap_or(1))).sum();
    let mut point = rng.random_range(0.0..total);
    for n in 0..ACCOUNTS {
        point -= 1.0 / f64::from(u32::try_from(n + 1).unwrap_or(1));
        if point <= 0.0 {
            return n;
        }
    }
    ACCOUNTS - 1
}

fn outage_faults() -> Vec<(Duration, Fault)> {
    vec![(FAULT_START, Fault::PlatformDown(true)), (FAULT_END, Fault::PlatformDown(false))]
}

fn cut_faults() -> Vec<(Duration, Fault)> {
    vec![(FAULT_START, Fault::RegionCut(true)), (FAULT_END, Fault::RegionCut(false))]
}

fn kill_faults() -> Vec<(Duration, Fault)> {
    let restart_at = FAULT_START + Duration::from_secs(30);
    vec![(FAULT_START, Fault::Kill(1)), (restart_at, Fault::Start(1))]
}

fn pause_faults() -> Vec<(Duration, Fault)> {
    let thaw_at = FAULT_START + Duration::from_secs(30);
    vec![(FAULT_START, Fault::Freeze(1, true)), (thaw_at, Fault::Freeze(1, false))]
}

fn rolling_restart() -> Vec<(Duration, Fault)> {
    let mut faults = Vec::new();
    for vm in 0..VMS {
        let at = Duration::from_secs(20 + 25 * u64::try_from(vm).unwrap_or(0));
        faults.push((at, Fault::Stop(vm)));
        faults.push((at + Duration::from_secs(20), Fault::Start(vm)));
    }
    faults
}

fn all_faults() -> Vec<(Duration, Fault)> {
    let seconds = Duration::from_secs;
    let mut faults = vec![
        (seconds(30), Fault::Stop(6)),
        (seconds(55), Fault::Start(6)),
        (seconds(60), Fault::PlatformDown(true)),
        (seconds(70), Fault::RegionCut(true)),
        (seconds(80), Fault::Kill(1)),
        (seconds(90), Fault::Freeze(5, true)),
        (seconds(110), Fault::Start(1)),
        (seconds(125), Fault::Freeze(5, false)),
        (seconds(130), Fault::PlatformDown(false)),
        (seconds(150), Fault::RegionCut(false)),
        (seconds(170), Fault::Stop(2)),
        (seconds(200), Fault::Start(2)),
        (seconds(201), Fault::Start(5)),
    ];
    faults.sort_by_key(|(at, _)| *at);
    faults
}
