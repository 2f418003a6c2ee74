//! A short soak of real processes with fixed seeds; `scripts/soak` plays others, and longer.

use std::path::Path;
use std::time::Duration;

use badgerfield_platform_standin::soak::schedule::Size;
use badgerfield_platform_standin::soak::{self, Plan};

/// Plays one seed; every rule must hold.
async fn plays(seed: u64) {
    let program = Path::new(env!("CARGO_BIN_EXE_badgerfield"));
    let folder = program.with_file_name(format!("soak-test-{seed}"));
    let plan = Plan {
        program: program.to_owned(),
        folder: folder.clone(),
        seed,
        length: Duration::from_secs(30),
        size: Size { vms: 3, upstreams: 5, zones: 3 },
    };
    let report = soak::run(&plan).await.expect("the site can be played");
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
