//! All modules read the time from `Clock`.
//!
//! Nine modules read the monotonic clock directly. It excludes the time during which the VM is
//! suspended, so after a suspension the ages that they computed were too small and their deadlines
//! too late.

use std::path::Path;

/// Expressions that read the monotonic clock, which excludes the time during which the VM is
/// suspended.
const MONOTONIC: [&str; 3] = ["Instant::now", "std::time::Instant", "tokio::time::Instant"];

fn check_sources(folder: &Path) {
    for entry in std::fs::read_dir(folder).expect("the source directory can be read").flatten() {
        let path = entry.path();
        if path.is_dir() {
            check_sources(&path);
            continue;
        }
        let text = std::fs::read_to_string(&path).expect("a source file is text");
        for name in MONOTONIC {
            assert!(!text.contains(name), "{} uses {name}; use `Clock` instead", path.display());
        }
    }
}

/// Fails if a source file names a type or function that reads the monotonic clock.
#[test]
fn no_module_reads_the_monotonic_clock() {
    check_sources(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"));
}
