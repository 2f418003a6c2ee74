//! Rollouts of good and bad versions in fleets, with and without faults.
//!
//! The simulated fleet records as faults: more requests to a bad version than the settings allow,
//! requests to it long after its 50th bad answer, requests that are cut when an order completes,
//! and a record that returns to an earlier state.

use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::rollout::{RolloutOrder, RolloutPhase, RolloutState};
use badgerfield_standin::fleet::{Fleet, Shape, Traffic, VersionFault, version};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SPAN: Duration = Duration::from_secs(40);

fn order(target: &str) -> RolloutOrder {
    RolloutOrder { target: version(target), span: SPAN }
}

/// Creates a fleet in three regions with about 600 requests per second in total.
fn fleet(vms: usize, seed: u64, bad: Option<VersionFault>) -> Fleet {
    let shape = Shape {
        regions: vec![vms / 3; 3],
        limits: vec![1000],
        engines: 1,
        seals: true,
        seed,
        ..Shape::default()
    };
    let mut fleet = Fleet::started(shape);
    let rate = u32::try_from(600_usize.div_ceil(vms)).unwrap_or(1);
    let bad = bad.into_iter().map(|bad| (version("v2"), bad)).collect();
    fleet.rollouts.traffic = Traffic {
        requests_per_second: rate,
        failure_permille: 4,
        bad_versions: bad,
        faulty_upstream: None,
    };
    fleet
}

fn ended(fleet: &Fleet) -> Option<RolloutState> {
    fleet.rollouts.ended.map(|(_, state)| state)
}

/// Advances the time until the order has ended, but by no more than `timeout`, and then by another
/// 1.5 s.
fn run(fleet: &mut Fleet, timeout: Duration) {
    let until = fleet.now.after(timeout);
    while fleet.now < until && fleet.rollouts.ended.is_none() {
        fleet.advance(Duration::from_millis(100));
    }
    fleet.advance(Duration::from_millis(1500));
}

/// Returns the fault of a version that fails this many of a hundred requests.
fn fail(worse: u32) -> VersionFault {
    VersionFault { worse, ..VersionFault::default() }
}

/// Guards against a rollout of a good version that is rolled back or late, or that cuts requests.
#[test]
fn a_good_version_completes_in_time_and_no_request_is_cut() {
    for (vms, seed) in [(6, 1), (6, 2), (72, 3)] {
        let mut fleet = fleet(vms, seed, None);
        assert!(fleet.roll_out(Some(order("v2"))));
        run(&mut fleet, SPAN);
        assert_eq!(fleet.faults, Vec::<String>::new());
        assert_eq!(ended(&fleet), Some(RolloutState::Completed), "{vms} VMs");
    }
}

/// Guards against bad versions that complete or receive too many requests: versions that fail or
/// are slow, on all routes or one, and from the start or after a while.
#[test]
fn bad_versions_of_each_kind_are_rolled_back_in_time() {
    let late = Duration::from_secs(15);
    let kinds = [
        fail(5),
        fail(10),
        fail(100),
        VersionFault { slow: true, ..fail(20) },
        VersionFault { route: Some(1), ..fail(20) },
        VersionFault { after: late, ..fail(30) },
    ];
    for (vms, kinds) in [(6, &kinds[..]), (72, &kinds[1..3])] {
        for bad in kinds {
            let mut fleet = fleet(vms, 7, Some(bad.clone()));
            assert!(fleet.roll_out(Some(order("v2"))));
            run(&mut fleet, SPAN);
            assert_eq!(fleet.faults, Vec::<String>::new(), "{bad:?}");
            assert_eq!(ended(&fleet), Some(RolloutState::RolledBack), "{vms} VMs, {bad:?}");
            let (sent, bad_answers, all) = fleet.request_counts("v2");
            println!("{vms} VMs {bad:?}: {sent} of {all} requests, {bad_answers} bad answers");
        }
    }
}

/// A single faulty upstream of the target must not cause a rollback.
#[test]
fn one_faulty_upstream_is_not_a_bad_version() {
    let mut fleet = fleet(6, 17, None);
    fleet.rollouts.traffic.faulty_upstream = Some(2);
    assert!(fleet.roll_out(Some(order("v2"))));
    run(&mut fleet, SPAN);
    assert_eq!(ended(&fleet), Some(RolloutState::Completed), "{:?}", fleet.record());
    assert_eq!(fleet.faults, Vec::<String>::new());
}

/// In a large fleet each VM sees few answers, so a bad version can be found only from the tallies
/// of all VMs together.
#[test]
fn three_hundred_vms_roll_a_bad_version_back_and_complete_a_good_one() {
    for (bad, state) in
        [(Some(fail(30)), RolloutState::RolledBack), (None, RolloutState::Completed)]
    {
        let mut fleet = fleet(300, 11, bad);
        let span = Duration::from_secs(14);
        assert!(fleet.roll_out(Some(RolloutOrder { span, ..order("v2") })));
        run(&mut fleet, span);
        assert_eq!(fleet.faults, Vec::<String>::new());
        assert_eq!(ended(&fleet), Some(state), "{:?}", fleet.record());
        println!(
            "300 VMs, {state:?}: {:?}, got {:?}",
            fleet.messages().get("rollouts"),
            fleet.request_counts("v2")
        );
    }
}

/// If a verdict took effect only after it was recorded, a bad version would receive requests
/// throughout an outage of the store.
#[test]
fn a_verdict_takes_effect_while_the_store_is_down() {
    let mut fleet = fleet(6, 5, Some(fail(30)));
    assert!(fleet.roll_out(Some(order("v2"))));
    fleet.advance(Duration::from_millis(500));
    fleet.platform.down = true;
    fleet.advance(Duration::from_secs(8));
    assert_eq!(ended(&fleet), None);
    let before = fleet.request_counts("v2").0;
    assert!(before > 0, "the target received no requests before the verdict");
    fleet.advance(Duration::from_secs(5));
    assert_eq!(fleet.request_counts("v2").0, before, "requests still go to a version found bad");
    fleet.platform.down = false;
    run(&mut fleet, Duration::from_secs(10));
    assert_eq!(ended(&fleet), Some(RolloutState::RolledBack));
    assert_eq!(fleet.faults, Vec::<String>::new());
}

/// If VMs sent requests to a target before its record was written, an order that was rolled back
/// earlier could start again.
#[test]
fn no_requests_go_to_a_target_without_a_record() {
    let mut fleet = fleet(6, 6, Some(fail(30)));
    assert!(fleet.roll_out(Some(order("v2"))));
    fleet.advance(Duration::from_millis(10));
    fleet.platform.down = true;
    fleet.advance(Duration::from_secs(8));
    assert!(fleet.record().is_none(), "the record was written before the outage");
    let (sent, _, all) = fleet.request_counts("v2");
    assert!(sent == 0 && all > 1000, "{sent} of {all} requests before the record was written");
    fleet.platform.down = false;
    run(&mut fleet, SPAN);
    assert_eq!(ended(&fleet), Some(RolloutState::RolledBack));
    assert_eq!(fleet.faults, Vec::<String>::new());
}

/// Kills all processes at once and starts them again a second later.
fn restart_all(fleet: &mut Fleet) {
    for vm in 0..fleet.size() {
        fleet.kill(vm);
    }
    fleet.advance(Duration::from_secs(1));
    for vm in 0..fleet.size() {
        fleet.start(vm);
    }
}

/// If the start of an order or a verdict were kept in memory only, a restart of all processes
/// would lose it.
#[test]
fn order_time_and_verdict_survive_a_restart_of_all_processes() {
    let mut good = fleet(6, 21, None);
    assert!(good.roll_out(Some(order("v2"))));
    good.advance(Duration::from_secs(25));
    restart_all(&mut good);
    run(&mut good, Duration::from_secs(14));
    assert_eq!(ended(&good), Some(RolloutState::Completed), "the time left was forgotten");

    let mut bad = fleet(6, 22, Some(fail(30)));
    assert!(bad.roll_out(Some(order("v2"))));
    run(&mut bad, SPAN);
    let before = bad.request_counts("v2").0;
    restart_all(&mut bad);
    bad.advance(Duration::from_secs(10));
    assert_eq!(bad.request_counts("v2").0, before, "the verdict was forgotten");
    assert_eq!([good.faults, bad.faults].concat(), Vec::<String>::new());
}

/// Guards against requests to the target of an order that was replaced or withdrawn.
#[test]
fn a_withdrawn_order_is_rolled_back_and_a_newer_one_replaces_the_last() {
    let mut fleet = fleet(6, 9, Some(fail(10)));
    assert!(fleet.roll_out(Some(order("v2"))));
    fleet.advance(Duration::from_millis(300));
    assert!(fleet.roll_out(Some(order("v3"))));
    run(&mut fleet, SPAN);
    assert_eq!(ended(&fleet), Some(RolloutState::Completed));
    assert_eq!(
        fleet.request_counts("v2").0,
        0,
        "requests went to the target of an order that was replaced"
    );
    assert!(fleet.roll_out(Some(order("v4"))));
    fleet.advance(Duration::from_secs(5));
    assert!(fleet.roll_out(None));
    fleet.advance(Duration::from_secs(3));
    let record = fleet.record().expect("it was written");
    assert_eq!((record.state, &record.target), (RolloutState::RolledBack, &version("v4")));
    let before = fleet.request_counts("v4").0;
    fleet.advance(Duration::from_secs(5));
    assert_eq!(
        fleet.request_counts("v4").0,
        before,
        "requests go to the target of a withdrawn order"
    );
    assert_eq!(fleet.faults, Vec::<String>::new());
}

/// A suspended member may still send requests to the old version when it resumes, so an order must
/// not complete before the member has been removed from the view.
#[test]
fn an_order_does_not_complete_while_a_member_is_suspended() {
    let mut fleet = fleet(6, 13, None);
    assert!(fleet.roll_out(Some(order("v2"))));
    fleet.advance(Duration::from_secs(30));
    fleet.freeze(4);
    fleet.advance(Duration::from_secs(12));
    assert_eq!(ended(&fleet), None, "completed while a member may send to the old version");
    run(&mut fleet, Duration::from_secs(60));
    fleet.thaw(4);
    fleet.advance(Duration::from_secs(3));
    assert_eq!(ended(&fleet), Some(RolloutState::Completed));
    assert_eq!(fleet.faults, Vec::<String>::new());
}

/// Guards against rollout messages when there is no order, or after it has ended.
#[test]
fn no_rollout_messages_are_sent_without_a_rollout() {
    let mut fleet = fleet(72, 3, None);
    fleet.advance(Duration::from_secs(20));
    assert_eq!(fleet.messages().get("rollouts"), None);
    assert!(fleet.roll_out(Some(order("v2"))));
    run(&mut fleet, SPAN);
    fleet.advance(Duration::from_secs(5));
    let spent = fleet.messages().get("rollouts").copied();
    println!("72 VMs: {spent:?} messages and bytes for one rollout of {SPAN:?}");
    assert!(spent.is_some_and(|(count, _)| count > 0));
    fleet.advance(Duration::from_secs(20));
    assert_eq!(fleet.messages().get("rollouts").copied(), spent);
}

/// A random history of orders and faults.
struct History {
    fleet: Fleet,
    rng: ChaCha8Rng,
    is_v2_bad: bool,
    /// Whether the target of the newest order is bad.
    bad: bool,
    withdrawn: bool,
    deadline: Time,
    phases: Vec<Option<(u64, Option<RolloutPhase>)>>,
    /// How many faults have been caused so far.
    faults: usize,
}

impl History {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let bad = rng.random_range(0..2) == 0;
        let kind = VersionFault {
            worse: [5, 10, 30, 100][rng.random_range(0..4)],
            slow: rng.random_range(0..3) == 0,
            route: (rng.random_range(0..4) == 0).then_some(0),
            after: Duration::from_secs([0, 0, 5, 15][rng.random_range(0..4)]),
        };
        let fleet = fleet(6, seed, bad.then_some(kind));
        let deadline = fleet.now.after(SPAN);
        Self {
            fleet,
            rng,
            is_v2_bad: bad,
            bad,
            withdrawn: false,
            deadline,
            phases: vec![None; 6],
            faults: 0,
        }
    }

    fn run(&mut self, max_faults: usize) {
        assert!(self.fleet.roll_out(Some(order("v2"))));
        while self.fleet.now < self.deadline && !self.is_over() {
            let millis = self.rng.random_range(200..3000);
            self.advance(Duration::from_millis(millis));
            if self.faults < max_faults && self.rng.random_range(0..4) == 0 {
                self.cause_fault();
                self.faults += 1;
            }
        }
        self.advance(Duration::from_millis(500));
    }

    fn advance(&mut self, span: Duration) {
        let until = self.fleet.now.after(span);
        while self.fleet.now < until {
            self.fleet.advance(Duration::from_millis(100));
            self.check_phases();
        }
    }

    /// Checks that no process returns to an earlier phase of an order.
    fn check_phases(&mut self) {
        for vm in 0..6 {
            let Some(node) = self.fleet.node(vm) else {
                self.phases[vm] = None;
                continue;
            };
            let known = node.rollout_statuses(self.fleet.now);
            let found = known.first().map(|s| (s.known.change.revision, s.known.phase()));
            assert!(found >= self.phases[vm], "VM {vm}: {:?} after {:?}", found, self.phases[vm]);
            self.phases[vm] = found;
        }
    }

    fn cause_fault(&mut self) {
        let vm = self.rng.random_range(0..6);
        let duration = Duration::from_millis(self.rng.random_range(300..6000));
        let fleet = &mut self.fleet;
        match self.rng.random_range(0..10) {
            0 => fleet.kill(vm),
            1 => fleet.freeze(vm),
            2 => fleet.cut(vm % 3, true),
            3 => fleet.cut(vm % 3, false),
            4 => fleet.platform.down = true,
            5 => fleet.platform.slow = Duration::from_millis(400),
            6 => fleet.platform.lose_replies = 2,
            7 => fleet.rollouts.late_writes = 2,
            8 => {
                let target = ["v2", "v3"][vm % 2];
                let next = (vm > 1).then(|| order(target));
                if fleet.roll_out(next.clone()) {
                    self.bad = self.is_v2_bad && target == "v2";
                    self.withdrawn = next.is_none();
                    self.deadline = fleet.now.after(SPAN);
                }
            }
            _ => {
                for vm in 0..6 {
                    fleet.kill(vm);
                }
                self.phases = vec![None; 6];
            }
        }
        self.advance(duration);
        self.end_faults();
    }

    fn end_faults(&mut self) {
        let fleet = &mut self.fleet;
        fleet.heal();
        fleet.platform.down = false;
        fleet.platform.slow = Duration::ZERO;
        for vm in 0..6 {
            fleet.thaw(vm);
            if !fleet.runs(vm) {
                fleet.start(vm);
                self.phases[vm] = None;
            }
        }
    }

    /// Returns whether the newest order has ended.
    fn is_over(&self) -> bool {
        let open = self.fleet.record().is_some_and(|record| !record.state.is_final());
        if self.withdrawn { !open } else { self.fleet.rollouts.ended.is_some() }
    }

    /// Returns whether the order ended as expected and in time.
    fn is_as_expected(&self) -> bool {
        if self.withdrawn {
            return self.is_over();
        }
        let expected = if self.bad { RolloutState::RolledBack } else { RolloutState::Completed };
        self.fleet
            .rollouts
            .ended
            .is_some_and(|(at, state)| state == expected && at <= self.deadline)
    }
}

/// Reads a number from the environment, for longer runs than in CI.
fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Runs histories. Returns how many orders ended as expected and in time, and how many histories
/// ran.
fn run_histories(max_faults: usize) -> (u64, u64) {
    let (first, cases) = (env_number("BADGERFIELD_SEED", 1), env_number("BADGERFIELD_CASES", 60));
    let mut as_expected = 0;
    let mut violations = Vec::new();
    for seed in first..first + cases {
        let mut history = History::new(seed);
        history.run(max_faults);
        let is_as_expected = history.is_as_expected();
        as_expected += u64::from(is_as_expected);
        if !is_as_expected {
            println!("seed {seed}: bad {}, {:?}", history.bad, history.fleet.record());
        }
        // An order must end in any case, even if it is late.
        run(&mut history.fleet, Duration::from_mins(2));
        if !history.is_over() {
            violations.push(format!("seed {seed}: {:?}", history.fleet.record()));
        }
        violations.extend(history.fleet.faults.iter().map(|fault| format!("seed {seed}: {fault}")));
    }
    println!("{as_expected} of {cases} orders ended as expected with up to {max_faults} faults");
    violations.dedup();
    assert_eq!(violations, Vec::<String>::new());
    (as_expected, cases)
}

/// Without faults nearly all orders must end as expected: good versions complete, bad versions are
/// rolled back, in time.
#[test]
fn orders_end_as_expected_without_faults() {
    let (as_expected, cases) = run_histories(0);
    assert!(as_expected * 100 >= cases * 99, "{as_expected} of {cases}");
}

/// Under random faults no guarantee may be violated, and most orders must still end as expected and
/// in time.
#[test]
fn random_faults_violate_no_guarantee() {
    let (as_expected, cases) = run_histories(2);
    assert!(as_expected * 10 >= cases * 9, "{as_expected} of {cases}");
    let (as_expected, cases) = run_histories(8);
    assert!(as_expected * 10 >= cases * 8, "{as_expected} of {cases}");
}
