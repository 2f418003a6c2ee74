//! A short soak test of real processes with fixed seeds. `scripts/soak` runs other seeds and longer
//! tests.

use std::path::Path;
use std::time::Duration;

use badgerfield_platform_standin::soak::schedule::{
    self, End, Fault, SiteSize, StoreFault, TimedFault, Version,
};
use badgerfield_platform_standin::soak::{self, Plan};

/// Runs the soak test with the faults of one seed. Every rule must hold.
async fn run_seed(seed: u64) {
    let length = Duration::from_secs(30);
    let size = SiteSize { vms: 3, upstreams: 5, domains: 3 };
    run_faults(seed, schedule::generate(seed, length, size), size, length).await;
}

/// Runs a rollout as the only fault. Every rule must hold, including those on the outcome and the
/// duration of the rollout.
async fn run_rollout(seed: u64, version: Version, engines: bool) {
    let span = Duration::from_secs(24);
    let at = schedule::FAULT_FREE_START;
    let faults = vec![TimedFault { at, fault: Fault::Rollout(version, engines, span) }];
    let size = SiteSize { vms: 3, upstreams: 5, domains: 3 };
    run_faults(seed, faults, size, span).await;
}

/// Runs two series of planned stops that overlap, and a slow store. Every rule must hold.
async fn run_stop_series(seed: u64) {
    let at = schedule::FAULT_FREE_START;
    let series = |vms: usize, gap_ms: u64, count: usize| {
        let gap = Duration::from_millis(gap_ms);
        Fault::StopSeries { vms, gap, count }
    };
    let slow = Fault::Store(StoreFault::Slow(250), Duration::from_secs(3));
    let faults = vec![
        TimedFault { at, fault: series(2, 600, 10) },
        TimedFault { at: at + Duration::from_secs(2), fault: series(1, 250, 16) },
        TimedFault { at: at + Duration::from_secs(3), fault: slow },
    ];
    let size = SiteSize { vms: 4, upstreams: 5, domains: 3 };
    run_faults(seed, faults, size, Duration::from_secs(14)).await;
}

/// Runs upstreams whose answers have no length, and which end, one at a time and all of a service at
/// once, while others listen in their place. Every rule must hold.
async fn run_ends_of_upstreams(seed: u64) {
    let at = schedule::FAULT_FREE_START;
    let span = Duration::from_secs(14);
    let size = SiteSize { vms: 3, upstreams: 5, domains: 3 };
    let mut faults = [true, false]
        .map(|engines| TimedFault { at, fault: Fault::WithoutLength(engines, span) })
        .to_vec();
    for number in 0..10 {
        let at = at + Duration::from_millis(500) * u32::try_from(number).unwrap_or(0);
        let fault = Fault::RestartAtOnce(number % size.upstreams, End::Close);
        faults.push(TimedFault { at, fault });
    }
    let crashes = [
        (6, true, End::Close, 1000),
        (8, false, End::Close, 0),
        (9, true, End::Close, 0),
        (11, true, End::Reset, 0),
        (13, true, End::Silence, 500),
    ];
    for (seconds, engines, end, downtime_ms) in crashes {
        let fault = Fault::CrashService(engines, end, Duration::from_millis(downtime_ms));
        faults.push(TimedFault { at: at + Duration::from_secs(seconds), fault });
    }
    run_faults(seed, faults, size, span).await;
}

/// Runs upstreams whose answers have no length, and whose successors keep their ids or do not name
/// themselves, also while VMs are stalled. Every rule must hold.
async fn run_successions(seed: u64) {
    let length = Duration::from_secs(26);
    let size = SiteSize { vms: 3, upstreams: 5, domains: 3 };
    let faults = schedule::overlapping_successions(seed, length, size);
    run_faults(seed, faults, size, length).await;
}

/// Runs upstreams whose answers have no length, and which close their streams some time before they
/// exit. Every rule must hold.
async fn run_slow_exits(seed: u64) {
    let length = Duration::from_secs(20);
    let size = SiteSize { vms: 3, upstreams: 5, domains: 3 };
    let faults = schedule::overlapping_slow_exits(seed, length, size);
    run_faults(seed, faults, size, length).await;
}

/// Runs the soak test with a schedule of faults. Every rule must hold.
async fn run_faults(seed: u64, faults: Vec<TimedFault>, size: SiteSize, length: Duration) {
    let program = Path::new(env!("CARGO_BIN_EXE_badgerfield"));
    let folder = program.with_file_name(format!("soak-test-{seed}"));
    let plan = Plan { program: program.to_owned(), folder: folder.clone(), seed, length, size };
    let report = soak::run_schedule(&plan, faults).await.expect("the soak test runs");
    println!("{report:?}");
    let violations: Vec<_> = report.violations.iter().map(ToString::to_string).collect();
    assert!(violations.is_empty(), "files are in {}: {violations:#?}", folder.display());
    assert!(report.requests > 500, "{report:?}");
}

/// Fails if the VMs break a rule of the soak test under random faults, for example overspend a
/// budget.
#[tokio::test(flavor = "multi_thread")]
async fn every_rule_holds_under_the_faults_of_seed_1() {
    run_seed(1).await;
}

/// The same rules under other random faults.
#[tokio::test(flavor = "multi_thread")]
async fn every_rule_holds_under_the_faults_of_seed_2() {
    run_seed(2).await;
}

/// Fails if the rollout of a good version is rolled back or takes too long.
#[tokio::test(flavor = "multi_thread")]
async fn a_good_version_of_engines_completes_in_time() {
    run_rollout(101, Version::Good, true).await;
}

/// Fails if the rollout of an engine version that fails requests completes, or is rolled back too
/// late.
#[tokio::test(flavor = "multi_thread")]
async fn a_failing_version_of_engines_is_rolled_back_in_time() {
    run_rollout(102, Version::Fails, true).await;
}

/// Fails if the rollout of a slow version of the plain upstreams completes, or is rolled back too
/// late.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_version_of_plain_upstreams_is_rolled_back_in_time() {
    run_rollout(103, Version::Slow, false).await;
}

/// Fails if a process that is asked to stop cuts a request on a kept or a new connection, or does
/// not end in time, while series of stops overlap.
#[tokio::test(flavor = "multi_thread")]
async fn overlapping_series_of_stops_break_no_rule() {
    run_stop_series(104).await;
}

/// Fails if an answer without a length counts as whole though its upstream ended in the middle.
#[tokio::test(flavor = "multi_thread")]
async fn answers_without_a_length_end_as_whole_with_their_upstreams() {
    run_ends_of_upstreams(105).await;
}

/// Fails if the successor of an upstream that ended proves that its answer is whole.
#[tokio::test(flavor = "multi_thread")]
async fn successors_prove_the_answers_of_upstreams_that_ended() {
    run_successions(106).await;
}

/// Guards against a sign of life of an upstream that ends counting as proof of its answers.
#[tokio::test(flavor = "multi_thread")]
async fn upstreams_that_close_their_streams_before_they_exit_prove_them() {
    run_slow_exits(107).await;
}
