//! The memory of a process while views follow each other too fast to become complete. The file has
//! one test only, because it measures the memory of the whole test process.

#[path = "support/stop_series.rs"]
mod stop_series;

use std::sync::Arc;
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::claims::Claims;
use badgerfield_core::event::Outbox;
use badgerfield_core::ids::Incarnation;

/// The memory that the views of a fleet may take at one process, in kB: 128 MB are there for all
/// control.
const MAX_MEMORY_KB: u64 = 16 << 10;

fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the file can be read");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("the line exists");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).expect("a number")
}

/// Guards against a process that exceeds the memory of its VM in a fast series of stops, and so
/// cuts off its requests.
#[test]
fn views_that_are_never_complete_take_little_memory() {
    let mut claims = Claims::new(Incarnation(1), Duration::from_secs(900));
    let before = resident_kb();
    for (count, view) in (1..).zip(stop_series::views()) {
        let mut out = Outbox::default();
        claims.apply_view(Time::from_millis(count * 100), &Arc::new(view), &mut out);
        let used = resident_kb().saturating_sub(before);
        assert!(used <= MAX_MEMORY_KB, "{used} kB after {count} views");
    }
}
