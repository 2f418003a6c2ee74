//! Event streams against a naive version that sees the whole stream at once: however the
//! bytes are cut, only whole events leave, each once and in order.

use badgerfield_core::event_stream::EventScanner;
use proptest::prelude::*;

fn stream(events: u64) -> Vec<u8> {
    let event =
        |n: u64| format!("id: {n}\ndata: {}\n\n", "x".repeat(usize::try_from(n % 7).unwrap_or(0)));
    (1..=events).map(event).collect::<String>().into_bytes()
}

/// Returns the numbers of the events in some bytes.
fn numbers(bytes: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(bytes);
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn whole_events_leave_as_they_came(events in 0_u64..40, cuts in prop::collection::vec(1_usize..30, 1..200)) {
        let bytes = stream(events);
        let mut scanner = EventScanner::default();
        let (mut at, mut out) = (0, Vec::new());
        for cut in cuts.iter().cycle() {
            if at >= bytes.len() {
                break;
            }
            let end = (at + cut).min(bytes.len());
            let whole = scanner.push(&bytes[at..end]);
            prop_assert!(whole.is_empty() || whole.ends_with(b"\n\n"));
            out.extend_from_slice(&whole);
            at = end;
        }
        prop_assert_eq!(out, bytes);
        prop_assert_eq!(scanner.event_count(), events);
        prop_assert!(scanner.partial_event().is_empty());
    }

    #[test]
    fn a_stream_that_goes_on_elsewhere_has_each_event_once(
        events in 2_u64..40,
        broken_at in 0_usize..400,
        again_from in 0_u64..40,
    ) {
        let bytes = stream(events);
        let mut scanner = EventScanner::default();
        let mut out = scanner.push(&bytes[..broken_at.min(bytes.len())]).to_vec();
        scanner.discard_partial();
        // The second upstream goes on after the last event, or begins earlier.
        let last = scanner.last_event_id().unwrap_or(0);
        let from = again_from.min(last);
        let skip = stream(from).len();
        out.extend_from_slice(&scanner.push(&bytes[skip..]));
        prop_assert_eq!(numbers(&out), (1..=events).collect::<Vec<_>>());
    }
}

#[test]
fn carriage_returns_and_comments_are_part_of_events() {
    let mut scanner = EventScanner::default();
    let bytes = b": hello\r\nid: 4\r\ndata: a\r\n\r\nid: 5\r\ndata:";
    let whole = scanner.push(bytes);
    assert_eq!(whole.as_ref(), b": hello\r\nid: 4\r\ndata: a\r\n\r\n");
    assert_eq!(scanner.last_event_id(), Some(4));
    assert_eq!(scanner.partial_event(), b"id: 5\r\ndata:");
}

#[test]
fn a_stream_taken_up_by_its_caller_goes_on_after_its_last_event() {
    let mut scanner = EventScanner::resume_after(Some(2));
    let whole = scanner.push(&stream(4));
    assert_eq!(numbers(&whole), vec![3, 4]);
}
