//! A short soak of real processes with fixed seeds; `scripts/soak` plays others, and longer.

use std::path::Path;
use std::time::Duration;

use badgerfield_platform_standin::soak::schedule::{self, Fault, Size, Timed, Version};
use badgerfield_platform_standin::soak::{self, Plan};

/// Plays one seed; every rule must hold.
async fn plays(seed: u64) {
    let length = Duration::from_secs(30);
    let size = Size { vms: 3, upstreams: 5, zones: 3 };
    holds(seed, schedule::make(seed, length, size), size, length).await;
}

/// Plays a roll-out alone; every rule must hold, and it must end in time and as it should.
async fn rolls_out(seed: u64, version: Version, engines: bool) {
    let span = Duration::from_secs(24);
    let at = schedule::CALM;
    let faults = vec![Timed { at, fault: Fault::Rollout(version, engines, span) }];
    let size = Size { vms: 3, upstreams: 5, zones: 3 };
    holds(seed, faults, size, span).await;
}

/// Plays faults; every rule must hold.
async fn holds(seed: u64, faults: Vec<Timed>, size: Size, length: Duration) {
    let program = Path::new(env!("CARGO_BIN_EXE_badgerfield"));
    let folder = program.with_file_name(format!("soak-test-{seed}"));
    let plan = Plan { program: program.to_owned(), folder: folder.clone(), seed, length, size };
    let report = soak::play(&plan, faults).await.expect("the site can be played");
    println!("{report:?}");
    let broken: Vec<_> = report.broken.iter().map(ToString::to_string).collect();
    assert!(broken.is_empty(), "kept in {}: {broken:#?}", folder.display());
    assert!(report.requests > 500, "{report:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn every_rule_holds_under_the_faults_of_seed_1() {
    plays(1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn every_rule_holds_under_the_faults_of_seed_2() {
    plays(2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_good_version_of_engines_takes_over_in_time() {
    rolls_out(101, Version::Good, true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failing_version_of_engines_is_rolled_back_in_time() {
    rolls_out(102, Version::Fails, true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_version_of_plain_upstreams_is_rolled_back_in_time() {
    rolls_out(103, Version::Slow, false).await;
}
