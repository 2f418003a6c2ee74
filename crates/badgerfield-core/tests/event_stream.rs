//! Tests of the event scanner: wherever the bytes of a stream are split, it forwards only complete
//! events, each once and in order.

use badgerfield_core::event_stream::{EventScanner, SourceFault, StreamFault};
use proptest::prelude::*;

fn stream(events: u64) -> Vec<u8> {
    let event =
        |n: u64| format!("id: {n}\ndata: {}\n\n", "x".repeat(usize::try_from(n % 7).unwrap_or(0)));
    (1..=events).map(event).collect::<String>().into_bytes()
}

/// Returns the ids of the events in `bytes`.
fn event_ids(bytes: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(bytes);
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against incomplete, lost or changed events when the bytes arrive in pieces of any
    /// size.
    #[test]
    fn complete_events_are_forwarded_unchanged(events in 0_u64..40, cuts in prop::collection::vec(1_usize..30, 1..200)) {
        let bytes = stream(events);
        let mut scanner = EventScanner::default();
        let (mut offset, mut out) = (0, Vec::new());
        for cut in cuts.iter().cycle() {
            if offset >= bytes.len() {
                break;
            }
            let end = (offset + cut).min(bytes.len());
            let complete = scanner.push(&bytes[offset..end]);
            prop_assert!(complete.is_empty() || complete.ends_with(b"\n\n"));
            out.extend_from_slice(&complete);
            offset = end;
        }
        prop_assert_eq!(out, bytes);
        prop_assert_eq!(scanner.event_count(), events);
        prop_assert!(scanner.partial_event().is_empty());
    }

    /// Guards against lost or repeated events when a stream breaks off and a second upstream
    /// resumes it after the last event or repeats earlier ones.
    #[test]
    fn resumed_stream_has_each_event_once(
        events in 2_u64..40,
        broken_at in 0_usize..400,
        resume_from in 0_u64..40,
    ) {
        let bytes = stream(events);
        let mut scanner = EventScanner::default();
        let mut out = scanner.push(&bytes[..broken_at.min(bytes.len())]).to_vec();
        scanner.start_source();
        // The second upstream starts after the last event or at an earlier one.
        let last = scanner.last_event_id().unwrap_or(0);
        let from = resume_from.min(last);
        let skip = stream(from).len();
        out.extend_from_slice(&scanner.push(&bytes[skip..]));
        prop_assert_eq!(event_ids(&out), (1..=events).collect::<Vec<_>>());
    }
}

/// Guards against missed event boundaries in streams with CRLF line ends and comment lines.
#[test]
fn carriage_returns_and_comments_are_part_of_events() {
    let mut scanner = EventScanner::default();
    let bytes = b": hello\r\nid: 4\r\ndata: a\r\n\r\nid: 5\r\ndata:";
    let complete = scanner.push(bytes);
    assert_eq!(complete.as_ref(), b": hello\r\nid: 4\r\ndata: a\r\n\r\n");
    assert_eq!(scanner.last_event_id(), Some(4));
    assert_eq!(scanner.partial_event(), b"id: 5\r\ndata:");
}

/// Guards against events that a caller already has being sent again when it resumes a stream.
#[test]
fn stream_resumes_after_the_last_event_of_the_caller() {
    let mut scanner = EventScanner::resume_after(Some(2));
    let complete = scanner.push(&stream(4));
    assert_eq!(event_ids(&complete), vec![3, 4]);
}

fn scan(scanner: &mut EventScanner, text: &str) -> Vec<u64> {
    event_ids(&scanner.push(text.as_bytes()))
}

/// Guards against a stream that counts as whole though it ends within an event, or an event of an
/// earlier source is missing.
#[test]
fn a_stream_that_lacks_an_event_is_not_whole() {
    let mut scanner = EventScanner::default();
    assert_eq!(scan(&mut scanner, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"), [1, 2]);
    assert_eq!(scanner.check_end(), Err(StreamFault::PartialEvent));
    scanner.start_source();
    assert_eq!(scanner.check_end(), Err(StreamFault::MissingEvent));
    assert!(scan(&mut scanner, "id: 1\ndata: a\n\n").is_empty());
    assert_eq!(scanner.check_end(), Err(StreamFault::EndsEarly));
    assert_eq!(scan(&mut scanner, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"), [3]);
    assert_eq!(scanner.check_end(), Ok(()));
}

/// Guards against whole streams that count as cut for what is no event.
#[test]
fn comments_and_empty_lines_are_no_part_of_an_event() {
    for tail in ["", "\n", "\r\n", ": bye", ": bye\n", ": bye\n\n"] {
        let mut scanner = EventScanner::default();
        scan(&mut scanner, &format!("id: 1\ndata: a\n\n{tail}"));
        assert_eq!(scanner.check_end(), Ok(()), "{tail:?}");
        assert!(scanner.is_resumable(), "{tail:?}");
    }
}

/// Guards against events of a second run that are joined to those of the first.
#[test]
fn no_events_are_forwarded_after_a_source_goes_back() {
    let mut scanner = EventScanner::default();
    let text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 1\ndata: c\n\nid: 3\ndata: d\n\n";
    assert_eq!(scan(&mut scanner, text), [1, 2]);
    assert!(scanner.has_fallen_back() && !scanner.is_resumable());
}

/// Guards against events that are forwarded twice because they have no id to resume after.
#[test]
fn a_stream_with_events_without_ids_is_not_resumed() {
    let mut scanner = EventScanner::default();
    scan(&mut scanner, "data: a\n\n");
    assert!(!scanner.is_resumable());
}

/// Guards against other text that is forwarded twice.
#[test]
fn a_stream_with_other_text_is_not_resumed() {
    for text in ["{\"text\": \"a\"}\n\n", "a\n\n", "badgerfield-weight-versions: 7\n\n"] {
        let mut scanner = EventScanner::default();
        scan(&mut scanner, text);
        assert!(!scanner.is_resumable(), "{text:?}");
    }
}

/// What a source sends of a stream.
#[derive(Debug, Clone)]
struct Part {
    /// The number of its first event.
    from: u64,
    /// The offset at which it is cut.
    cut: usize,
    has_mark: bool,
    line_end: &'static str,
    /// The size of the pieces in which it arrives.
    piece: usize,
}

fn parts() -> impl Strategy<Value = Vec<Part>> {
    let line_end = prop_oneof![Just("\n"), Just("\r\n"), Just("\r")];
    let part = (1_u64..14, 0_usize..200, any::<bool>(), line_end, 1_usize..40);
    let part = part.prop_map(|(from, cut, has_mark, line_end, piece)| Part {
        from,
        cut,
        has_mark,
        line_end,
        piece,
    });
    prop::collection::vec(part, 1..6)
}

/// Returns the events of a part with its comments and line ends.
fn format_part(part: &Part, last: u64) -> Vec<u8> {
    let mark = if part.has_mark { "\u{feff}" } else { "" };
    let event = |n: u64| {
        format!("{}id: {n}\ndata: {n}\n\n", if n.is_multiple_of(3) { ": -\n\n" } else { "" })
    };
    let events = (part.from..=last).map(event).collect::<String>();
    format!("{mark}{events}").replace('\n', part.line_end).into_bytes()
}

/// Returns the ids that have arrived whole, in events of any line ends.
fn whole_ids(bytes: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(bytes).replace('\u{feff}', "");
    let ends = text.rfind(['\r', '\n']).map_or(0, |end| end + 1);
    event_ids(text[..ends].replace('\r', "\n").as_bytes())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 4000, ..ProptestConfig::default() })]

    /// Guards against events that come twice, and against streams that count as whole though an
    /// event is missing that had begun, wherever they are cut and wherever they are resumed.
    #[test]
    fn a_stream_from_any_sources_has_each_event_once_or_is_not_whole(parts in parts(), last in 1_u64..12) {
        let mut scanner = EventScanner::default();
        let (mut out, mut begun) = (Vec::new(), Vec::new());
        for (number, part) in parts.iter().enumerate() {
            if number > 0 {
                scanner.start_source();
            }
            let before = scanner.last_event_id();
            let mut bytes = format_part(part, last);
            bytes.truncate(part.cut);
            let mut read = 0;
            // The rest of a source that does not continue the stream is not read.
            while scanner.source_fault().is_none() && read < bytes.len() {
                let end = bytes.len().min(read + part.piece);
                out.extend_from_slice(&scanner.push(&bytes[read..end]));
                read = end;
            }
            bytes.truncate(read);
            // Events before the last one may be left out by ids that rise in larger steps.
            let last = before.unwrap_or(0);
            begun.extend(whole_ids(&bytes).into_iter().filter(|id| *id > last));
        }
        let ids = whole_ids(&out);
        prop_assert!(ids.is_sorted_by(|one, next| one < next), "{:?}", ids);
        if scanner.check_end().is_ok() {
            prop_assert!(begun.iter().all(|id| ids.contains(id)), "{:?} of {:?}", ids, begun);
        }
    }

    /// Guards against streams that count as cut though the last of several sources has sent all that
    /// was left, and something was.
    #[test]
    fn a_stream_that_is_resumed_in_order_is_whole(parts in parts(), last in 1_u64..12) {
        let mut scanner = EventScanner::default();
        let mut out = Vec::new();
        let end = Part { from: last + 1, cut: usize::MAX, has_mark: true, line_end: "\n", piece: 7 };
        for (number, part) in parts.iter().chain([&end]).enumerate() {
            if number > 0 {
                scanner.start_source();
            }
            let last = if number == parts.len() { last + 1 } else { last };
            let next = scanner.last_event_id().unwrap_or(0) + 1;
            let part = Part { from: part.from.min(next), ..part.clone() };
            let mut bytes = format_part(&part, last);
            bytes.truncate(part.cut);
            bytes.chunks(part.piece).for_each(|piece| out.extend_from_slice(&scanner.push(piece)));
            prop_assert!(scanner.is_resumable());
        }
        prop_assert_eq!(scanner.check_end(), Ok(()));
        prop_assert_eq!(whole_ids(&out), (1..=last + 1).collect::<Vec<_>>());
    }
}

/// Guards against a missing event in a stream that counts as whole because later ones came.
#[test]
fn a_source_that_leaves_out_an_event_that_had_begun_is_not_forwarded() {
    let mut scanner = EventScanner::default();
    assert_eq!(scan(&mut scanner, "id: 1\ndata: a\n\nid: 2\nda"), [1]);
    scanner.start_source();
    assert!(scan(&mut scanner, "id: 3\ndata: c\n\n").is_empty());
    assert_eq!(scanner.source_fault(), Some(SourceFault::LeavesOut));
    assert!(scanner.check_end().is_err() && scanner.is_resumable());
    scanner.start_source();
    assert_eq!(scan(&mut scanner, "id: 2\ndata: b\n\n"), [2]);
    assert!(scanner.check_end().is_err(), "the third event had arrived");
    assert_eq!(scan(&mut scanner, "id: 3\ndata: c\n\n"), [3]);
    assert_eq!(scanner.check_end(), Ok(()));
}

/// Guards against a whole stream that counts as cut because a source was cut that repeated it.
#[test]
fn half_a_repeated_event_is_not_missing() {
    let mut scanner = EventScanner::default();
    assert_eq!(scan(&mut scanner, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), [1, 2]);
    scanner.start_source();
    assert!(scan(&mut scanner, "id: 1\nda").is_empty());
    scanner.start_source();
    assert_eq!(scanner.check_end(), Ok(()));
}

/// Guards against an event that is dropped because the one before it has the same id, and against a
/// stream that is cut for an event that was sent twice.
#[test]
fn only_an_equal_event_may_repeat_an_id() {
    let mut scanner = EventScanner::default();
    assert_eq!(scan(&mut scanner, "id: 1\ndata: a\n\nid: 1\ndata: a\n\n"), [1]);
    assert!(scanner.source_fault().is_none());
    assert!(scan(&mut scanner, "id: 1\ndata: b\n\n").is_empty());
    assert_eq!(scanner.source_fault(), Some(SourceFault::FallenBack));
}

/// Guards against events without ids that a caller gets again when the stream is started over.
#[test]
fn events_without_ids_before_the_last_one_of_the_caller_are_skipped() {
    let mut scanner = EventScanner::resume_after(Some(2));
    let text = "id: 1\ndata: a\n\ndata: x\n\nid: 2\ndata: b\n\ndata: y\n\nid: 3\ndata: c\n\n";
    let events = scanner.push(text.as_bytes());
    assert_eq!(events.as_ref(), b"data: y\n\nid: 3\ndata: c\n\n");
}

/// Guards against ids that are read in another way than callers read them.
#[test]
fn the_last_id_line_counts() {
    for (text, id) in [
        ("id: 1\nid: 2\ndata: a\n\n", Some(2)),
        ("id: x\nid: 2\ndata: a\n\n", Some(2)),
        ("id:2\ndata: a\ndata: id: 3\n\n", Some(2)),
        ("badgerfield-weight-versions: 7\nid:  2 \ndata: a\n\n", Some(2)),
        ("\u{feff}id: 2\rdata: a\r\r", Some(2)),
        ("id: 2\nid\ndata: a\n\n", None),
        ("id:\ndata: a\n\n", None),
        ("id: 18446744073709551616\ndata: a\n\n", None),
    ] {
        let mut scanner = EventScanner::default();
        assert_eq!(scanner.push(text.as_bytes()), text, "{text:?}");
        assert_eq!(scanner.last_event_id(), id, "{text:?}");
        assert_eq!(scanner.is_resumable(), id.is_some(), "{text:?}");
    }
}

/// Guards against streams that cannot be resumed because of lines that are no event.
#[test]
fn lines_that_are_no_event_need_no_id() {
    for lines in ["retry: 500\n\n", "event: open\n\n", ": hello\n\n", "\u{feff}\n"] {
        let mut scanner = EventScanner::default();
        assert_eq!(scan(&mut scanner, &format!("{lines}id: 1\ndata: a\n\n")), [1]);
        assert!(scanner.is_resumable(), "{lines:?}");
    }
}

/// Guards against the text of an answer that is no stream behind the events of one.
#[test]
fn a_source_without_events_does_not_resume_a_stream() {
    for text in ["{\"text\": \"b\"}\n\n", "answer of another server\n\n", "<p>: no\r\n\r\n"] {
        let mut scanner = EventScanner::default();
        scan(&mut scanner, "id: 1\ndata: a\n\n");
        scanner.start_source();
        assert!(scanner.push(text.as_bytes()).is_empty(), "{text:?}");
        assert_eq!(scanner.source_fault(), Some(SourceFault::NoEvents), "{text:?}");
    }
}
