//! The memory of the process: a process that is about to exceed its limit says so beforehand.

use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::Epoch;
use badgerfield_core::view_status::ViewStatus;
use badgerfield_node::memory::{Kilobytes, MemoryUsage, MemoryWatch, read_usage};

fn usage(resident: u64) -> MemoryUsage {
    MemoryUsage { resident: Kilobytes(resident), peak: Kilobytes(resident) }
}

fn at(seconds: u64) -> Time {
    Time(Duration::from_secs(seconds))
}

/// Fails if a process ends for its memory and no line has told, or if a line tells with each
/// reading.
#[test]
fn process_warns_once_each_time_it_passes_the_share_of_its_limit() {
    let mut watch = MemoryWatch::new(Some(Kilobytes(1000)));
    let readings =
        [(500, false), (800, false), (801, true), (990, false), (700, false), (900, true)];
    for (resident, warns) in readings {
        assert_eq!(watch.record_usage(usage(resident)), warns, "at {resident} kB");
    }
    let mut unlimited = MemoryWatch::new(None);
    assert!(!unlimited.record_usage(usage(u64::MAX)));
}

/// Fails if a file that cannot be read is an error of each reading.
#[test]
fn unreadable_memory_is_reported_once() {
    let mut watch = MemoryWatch::new(None);
    assert!(watch.record_error());
    assert!(!watch.record_error());
    assert!(MemoryUsage::parse("VmRSS:\t 4 kB").is_err());
}

/// Fails if the memory of the running process is not read.
#[test]
fn memory_of_this_process_is_read() {
    let usage = read_usage().expect("the kernel states the memory");
    assert!(usage.resident > Kilobytes(0));
    assert!(usage.peak >= usage.resident);
}

/// Fails if views that follow each other without becoming complete look like complete ones.
#[test]
fn time_without_a_complete_view_grows_until_one_is_complete() {
    let mut watch = MemoryWatch::new(None);
    let mut incomplete = |seconds, epoch, complete| {
        let view = ViewStatus {
            epoch: Epoch(epoch),
            complete_epoch: Epoch(complete),
            ..ViewStatus::default()
        };
        watch.record_view(at(seconds), &view).as_secs()
    };
    assert_eq!(incomplete(1, 5, 5), 0);
    assert_eq!(incomplete(2, 6, 5), 1);
    assert_eq!(incomplete(12, 99, 5), 11);
    // One was complete between two readings.
    assert_eq!(incomplete(13, 101, 100), 0);
    assert_eq!(incomplete(20, 101, 101), 0);
    assert_eq!(incomplete(30, 101, 101), 0);
}
