//! What the stored view holds until a view is complete, while views follow each other too fast for
//! that.

#[path = "support/stop_series.rs"]
mod stop_series;

use stop_series::{STOPS, VMS, views};

/// The size of a member in the stored view, in bytes.
const MEMBER_BYTES: u64 = 80;
/// The size of what the stored view holds of one ended process, in bytes.
const ENDED_BYTES: u64 = 32;

/// Guards against a stored view that holds the history of all stops many times over: each write and
/// each conflict carries it.
#[test]
fn stored_view_stays_small_while_no_view_is_complete() {
    let last = views().last().expect("there are views");
    let bytes = u64::try_from(last.encode().len()).expect("a small view");
    let max = VMS * MEMBER_BYTES + (VMS + STOPS) * ENDED_BYTES;
    assert!(bytes <= max, "{bytes} bytes, {max} may be");
}
