//! Records of streams that a process writes to the store: how they are gathered, written and read.

use std::time::Duration;

use assert_matches::assert_matches;
use badgerfield_core::amount::Time;
use badgerfield_core::event::{Command, LogEntry, StoreCall, StoreKey, StoreResult};
use badgerfield_core::ids::{Incarnation, Service, SoftwareVersion, StoreCallId, VersionTag};
use badgerfield_core::stream_origins::{OriginSource, StreamKey, StreamOrigin};
use badgerfield_core::stream_segments::{SegmentId, StreamShard};
use badgerfield_core::{Event, Node};
use bytes::Bytes;

#[path = "support/lone_node.rs"]
mod lone_node;
use lone_node::node;

const SHORT: Duration = Duration::from_secs(4);
const LONG: Duration = Duration::from_secs(30);
/// The maximum number of writes that have not succeeded yet.
const MAX_WRITES: usize = 4;
/// The maximum number of records that wait to be written.
const MAX_WAITING: u64 = 65_536;

type Segments = Vec<(SegmentId, Bytes)>;
type Write = (StoreCallId, StoreCall);

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn tag(version: &str) -> VersionTag {
    let service: Service = "pool".parse().expect("the name is valid");
    let version: SoftwareVersion = version.parse().expect("the name is valid");
    VersionTag::new(&service, Some(&version))
}

fn key(n: u64) -> StreamKey {
    StreamKey::new(None, &format!("stream-{n}"))
}

fn begin(node: &Node, now: Time, origin: StreamOrigin) -> Vec<Command> {
    node.handle(now, Event::StreamBegun { origin, copied: true })
}

fn begin_short(node: &Node, now: Time, n: u64) -> Vec<Write> {
    writes(begin(node, now, StreamOrigin::new(key(n), tag("v1"), SHORT)))
}

/// Returns the calls that write segments.
fn writes(commands: Vec<Command>) -> Vec<Write> {
    let calls = commands.into_iter().filter_map(|command| match command {
        Command::CallStore(id, call @ StoreCall::WriteAll { .. }) => Some((id, call)),
        _ => None,
    });
    calls.collect()
}

fn tick(node: &Node, now: Time) -> Vec<Write> {
    writes(node.handle(now, Event::Tick))
}

/// Returns the segments that a call writes.
fn segments(call: &StoreCall) -> Segments {
    let StoreCall::WriteAll { put, .. } = call else {
        panic!("expected a write of segments, found {call:?}");
    };
    let segment = |(key, value): &(StoreKey, Bytes)| match key {
        StoreKey::StreamSegment(id) => (*id, value.clone()),
        other => panic!("expected a segment, found {other:?}"),
    };
    put.iter().map(segment).collect()
}

/// Passes segments to a process as read from the store, by shard.
fn read(node: &Node, now: Time, segments: &Segments) -> Vec<Command> {
    let mut commands = Vec::new();
    for shard in StreamShard::all() {
        let found = segments.iter().filter(|(id, _)| id.shard() == shard).cloned().collect();
        commands.extend(node.handle(now, Event::StreamSegments(shard, found)));
    }
    commands
}

/// Guards against records that lose their version or their time in the store, or are written to
/// the segment of another shard.
#[test]
fn all_records_are_read_as_they_were_written() {
    let (writer, reader) = (node(1), node(2));
    let version = |n: u64| tag(["v1", "v2", "v3"][usize::try_from(n % 3).expect("small")]);
    let timeout = |n: u64| if n.is_multiple_of(2) { SHORT } else { LONG };
    let mut stored = Vec::new();
    let mut store = |calls: Vec<Write>| {
        for (id, call) in calls {
            stored.extend(segments(&call));
            writer.handle(at(60_000), Event::StoreReply(id, StoreResult::Written(1)));
        }
    };
    for n in 0..1000 {
        let origin = StreamOrigin::new(key(n), version(n), timeout(n));
        store(writes(begin(&writer, at(60_000), origin)));
    }
    store(tick(&writer, at(60_300)));
    for (id, bytes) in &stored {
        assert_eq!(id.writer(), Incarnation(1));
        assert_eq!(id.to_string().parse(), Ok(*id));
        let other = node(3);
        other.handle(at(0), Event::StreamSegments(id.shard(), vec![(*id, bytes.clone())]));
        let known = (0..1000).filter(|n| other.stream_origin(at(0), key(*n)).is_some());
        assert!(known.into_iter().all(|n| StreamShard::of(key(n)) == id.shard()));
    }
    read(&reader, at(1000), &stored);
    for n in 0..1000 {
        let known = reader.stream_origin(at(1000), key(n)).expect("a record");
        assert_eq!((known.version, known.source), (Some(version(n)), OriginSource::Store));
        let later = reader.stream_origin(at(1000).after(SHORT * 4 + SHORT), key(n));
        assert_eq!(later.is_some(), timeout(n) == LONG);
    }
}

/// Guards against a segment that cannot be read and hides the others of its shard.
#[test]
fn an_unreadable_segment_leaves_the_others_of_its_shard() {
    let (writer, reader) = (node(1), node(2));
    let (_, call) = begin_short(&writer, at(0), 1).pop().expect("a write");
    let mut stored = segments(&call);
    let (id, value) = stored.pop().expect("a segment");
    let other: SegmentId = format!("{}/7-1", id.shard()).parse().expect("an id");
    let found = vec![(other, value.slice(..value.len() - 1)), (id, value)];
    let commands = reader.handle(at(0), Event::StreamSegments(id.shard(), found));
    let is_bad = |command: &Command| {
        matches!(command, Command::Log(LogEntry::BadValue(StoreKey::StreamSegment(bad), _))
            if *bad == other)
    };
    assert!(commands.iter().any(is_bad));
    assert_eq!(reader.stream_origin(at(0), key(1)).and_then(|k| k.version), Some(tag("v1")));
}

/// Guards against a write that is repeated with other records under the same id, or not at all.
#[test]
fn a_write_without_an_answer_is_repeated_with_the_same_segment() {
    for result in [StoreResult::Unknown, StoreResult::Refused] {
        let node = node(1);
        let calls = begin_short(&node, at(0), 1);
        assert_matches!(calls.as_slice(), [_]);
        let (id, first) = calls[0].clone();
        node.handle(at(10), Event::StoreReply(id, result));
        begin_short(&node, at(20), 2);
        assert!(tick(&node, at(200)).is_empty(), "it is repeated too soon");
        let mut later = tick(&node, at(300));
        // A third record waits when the first write is repeated.
        later.extend(begin_short(&node, at(480), 3));
        later.extend((10..40).flat_map(|n| tick(&node, at(n * 50))));
        assert_eq!(later.len(), 3, "{later:?}");
        let other = later.remove(0).1;
        assert_ne!(segments(&other)[0].0, segments(&first)[0].0, "the id is used again");
        let (id, again) = later.remove(0);
        assert_eq!(again, first);
        node.handle(at(2000), Event::StoreReply(id, StoreResult::Written(9)));
        assert!((41..80).all(|n| tick(&node, at(n * 50)).is_empty()), "it was written");
    }
}

/// Guards against calls that pile up before a store that does not answer, and against records that
/// are not written after it answers again.
#[test]
fn few_writes_are_unfinished_at_a_time() {
    let node = node(1);
    let mut calls = Vec::new();
    for n in 0..40 {
        calls.extend(begin_short(&node, at(n * 300), n));
    }
    assert_eq!(calls.len(), MAX_WRITES);
    let (id, _) = calls.remove(0);
    let now = at(40 * 300);
    node.handle(now, Event::StoreReply(id, StoreResult::Written(1)));
    let mut next = tick(&node, now);
    assert_eq!(next.len(), 1);
    let stored = segments(&next.remove(0).1);
    let reader = lone_node::node(2);
    read(&reader, now, &stored);
    let found = (4..40).filter(|n| reader.stream_origin(now, key(*n)).is_some()).count();
    assert_eq!(found, 36, "all records that waited are written");
    assert!(tick(&node, now.after(Duration::from_secs(1))).is_empty());
}

/// Guards against memory that grows while the store is away, and against records that are dropped
/// without notice, or before older ones.
#[test]
fn the_oldest_of_too_many_waiting_records_are_dropped() {
    const FIRST: u64 = MAX_WRITES as u64;
    const EXTRA: u64 = 10;
    let node = node(1);
    for n in 0..FIRST {
        assert_eq!(begin_short(&node, at(n * 300), n).len(), 1);
    }
    let now = at(2000);
    let mut dropped = 0;
    for n in FIRST..FIRST + MAX_WAITING + EXTRA {
        for command in begin(&node, now, StreamOrigin::new(key(n), tag("v1"), LONG)) {
            match command {
                Command::Log(LogEntry::StreamsNotWritten(count)) => dropped += count,
                other => panic!("unexpected {other:?}"),
            }
        }
    }
    assert_eq!(dropped, EXTRA);
}
