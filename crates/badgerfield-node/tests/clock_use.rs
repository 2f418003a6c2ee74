//! The process reads its time in one place.
//!
//! Deadlines and ages that were taken from the steady clock came out too young after a suspension of
//! the VM, in nine modules, each of which had read that clock for itself.

use std::path::Path;

/// What reads a clock that stands still while the VM is suspended.
const STEADY: [&str; 3] = ["Instant::now", "std::time::Instant", "tokio::time::Instant"];

fn check(folder: &Path) {
    for entry in std::fs::read_dir(folder).expect("the sources are there").flatten() {
        let path = entry.path();
        if path.is_dir() {
            check(&path);
            continue;
        }
        let text = std::fs::read_to_string(&path).expect("a source is text");
        for steady in STEADY {
            assert!(!text.contains(steady), "{} uses {steady}; take `Clock`", path.display());
        }
    }
}

#[test]
fn no_module_takes_its_time_from_the_steady_clock() {
    check(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"));
}
