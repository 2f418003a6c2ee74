//! The record in the store of the versions that may begin streams: what a process writes, and when
//! it reads it again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use assert_matches::assert_matches;
use badgerfield_core::amount::Time;
use badgerfield_core::event::{Command, LogEntry, StoreCall, StoreKey, StoreResult, Versioned};
use badgerfield_core::ids::{Service, SoftwareVersion, StoreCallId, VersionTag};
use badgerfield_core::upstream_list::{
    ListedUpstream, UpstreamEntry, UpstreamList, UpstreamListChanges,
};
use badgerfield_core::upstream_table::UpstreamTable;
use badgerfield_core::version_record::{KnownVersions, OpenVersions, ServiceVersions};
use badgerfield_core::{Event, Node};
use bytes::Bytes;

#[path = "support/lone_node.rs"]
mod lone_node;
use lone_node::node;

const LIFETIME: Duration = Duration::from_secs(60);
/// How long the record keeps a version after its streams have ended.
const MARGIN: u64 = 30;
/// How long upstreams stay in the table after they have left the list.
const RETENTION: u64 = 30;

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1000)
}

fn service() -> Service {
    "pool".parse().expect("the name is valid")
}

fn tag(version: &str) -> VersionTag {
    let version: SoftwareVersion = version.parse().expect("the name is valid");
    VersionTag::new(&service(), Some(&version))
}

fn versions(names: &[&str]) -> ServiceVersions {
    let tags: BTreeSet<_> = names.iter().map(|name| tag(name)).collect();
    if tags.is_empty() { BTreeMap::new() } else { BTreeMap::from([(service(), tags)]) }
}

fn encode(content: &ServiceVersions) -> Bytes {
    Bytes::from(serde_json::to_vec(content).expect("a value"))
}

/// Returns what a process knows that lets `to_open` begin streams at once.
fn known(listed: &[&str], to_open: &[&str], is_conclusive: bool) -> KnownVersions {
    KnownVersions {
        versions: versions(listed),
        to_open: versions(to_open),
        is_urgent: !to_open.is_empty(),
        is_complete: is_conclusive,
        is_fresh: is_conclusive,
    }
}

/// Returns the call about the record among commands.
fn call(commands: &[Command]) -> Option<(StoreCallId, StoreCall)> {
    let calls = commands.iter().filter_map(|command| match command {
        Command::CallStore(id, call) => Some((*id, call.clone())),
        _ => None,
    });
    let mut calls = calls.filter(|(_, call)| match call {
        StoreCall::GetCurrent(key) | StoreCall::CompareAndSwap { key, .. } => {
            *key == StoreKey::Versions
        }
        _ => false,
    });
    calls.next()
}

/// Lets a process that starts read the record; returns what it does then.
fn read_record(node: &Node, now: Time, known: KnownVersions, value: Option<Bytes>) -> Vec<Command> {
    let commands = node.handle(now, Event::KnownVersions(known));
    let (id, read) = call(&commands).expect("a call");
    assert_eq!(read, StoreCall::GetCurrent(StoreKey::Versions));
    let found = Versioned { value, revision: 7 };
    node.handle(now, Event::StoreReply(id, StoreResult::Value(found)))
}

/// Returns the content that a process writes in place of the record of revision 7.
fn written(commands: &[Command]) -> Option<ServiceVersions> {
    let (_, write) = call(commands)?;
    let StoreCall::CompareAndSwap { expected_revision: 7, value, .. } = write else {
        panic!("expected a write, found {write:?}");
    };
    Some(serde_json::from_slice(&value).expect("a record"))
}

fn opened(commands: &[Command]) -> Option<&OpenVersions> {
    commands.iter().find_map(|command| match command {
        Command::ApplyVersions(_, open) => Some(open),
        _ => None,
    })
}

/// Guards against a version that leaves the record because a process does not know it.
#[test]
fn a_version_stays_recorded_unless_it_is_known_to_be_gone() {
    let record = versions(&["v1", "v2"]);
    for (is_complete, is_fresh) in [(false, false), (true, false), (false, true)] {
        let known = KnownVersions { is_complete, is_fresh, ..known(&["v3"], &["v3"], false) };
        let commands = read_record(&node(1), at(0), known, Some(encode(&record)));
        assert_eq!(opened(&commands).map(|open| &open.versions), Some(&record));
        assert_eq!(written(&commands), Some(versions(&["v1", "v2", "v3"])));
    }
    // Another process may have opened a version that this one has not seen yet.
    let later = known(&["v1", "v3"], &["v3"], true);
    let commands = read_record(&node(1), at(0), later.clone(), Some(encode(&record)));
    assert_eq!(written(&commands), Some(versions(&["v1", "v2", "v3"])));
    let node = node(1);
    read_record(&node, at(0), known(&["v1", "v2"], &[], true), Some(encode(&record)));
    let commands = node.handle(at(1), Event::KnownVersions(later));
    assert_eq!(written(&commands), Some(versions(&["v1", "v3"])));
}

/// Guards against a version that is used before the record names it.
#[test]
fn a_version_opens_once_it_is_written() {
    let node = node(1);
    let commands = read_record(&node, at(0), known(&["v1"], &["v1"], false), None);
    assert_eq!(opened(&commands).map(|open| open.versions.len()), Some(0));
    let (id, write) = call(&commands).expect("a write");
    assert_matches!(write, StoreCall::CompareAndSwap { expected_revision: 7, .. });
    // No answer tells nothing: the record is read again before it counts as written.
    let commands = node.handle(at(1), Event::StoreReply(id, StoreResult::Unknown));
    assert_eq!(opened(&commands), None);
    let commands = node.handle(at(2), Event::KnownVersions(known(&["v1"], &["v1"], false)));
    let (id, read) = call(&commands).expect("a call");
    assert_eq!(read, StoreCall::GetCurrent(StoreKey::Versions));
    let found = Versioned { value: Some(encode(&versions(&["v1"]))), revision: 8 };
    let commands = node.handle(at(2), Event::StoreReply(id, StoreResult::Value(found)));
    assert_eq!(opened(&commands).map(|open| &open.versions), Some(&versions(&["v1"])));
}

/// Guards against an unreadable record that counts as one without versions.
#[test]
fn an_unreadable_record_counts_as_an_unknown_version() {
    let node = node(1);
    let garbage = Some(Bytes::from_static(b"{"));
    let commands = read_record(&node, at(0), known(&["v1"], &["v1"], false), garbage);
    let is_logged = |command: &Command| {
        matches!(command, Command::Log(LogEntry::BadValue(StoreKey::Versions, _)))
    };
    assert!(commands.iter().any(is_logged));
    assert_eq!(opened(&commands), None);
    let both = BTreeMap::from([(service(), BTreeSet::from([VersionTag::UNKNOWN, tag("v1")]))]);
    let next = node.handle(at(1), Event::KnownVersions(known(&["v1"], &["v1"], false)));
    let next = if call(&commands).is_some() { commands } else { next };
    assert_eq!(written(&next), Some(both.clone()));
    let (id, _) = call(&next).expect("a write");
    let commands = node.handle(at(1), Event::StoreReply(id, StoreResult::Written(8)));
    assert_eq!(opened(&commands).map(|open| &open.versions), Some(&both));
}

/// Guards against a process that takes a version for open by what it read long ago: the version
/// may have left the record since.
#[test]
fn a_version_that_returns_opens_only_after_the_record_is_read_again() {
    let node = node(1);
    let record = versions(&["v1", "v2"]);
    read_record(&node, at(0), known(&["v1", "v2"], &[], true), Some(encode(&record)));
    let back = KnownVersions { is_urgent: false, ..known(&["v1", "v2"], &["v2"], true) };
    // It is left to the writers at first.
    let commands = node.handle(at(300), Event::KnownVersions(back.clone()));
    assert_eq!((call(&commands), opened(&commands)), (None, None));
    let commands = node.handle(at(304), Event::KnownVersions(back));
    let (id, read) = call(&commands).expect("a call");
    assert_eq!(read, StoreCall::GetCurrent(StoreKey::Versions));
    let found = Versioned { value: Some(encode(&versions(&["v1"]))), revision: 7 };
    let commands = node.handle(at(304), Event::StoreReply(id, StoreResult::Value(found)));
    assert_eq!(opened(&commands).map(|open| &open.versions), Some(&versions(&["v1"])));
    let next = node.handle(at(305), Event::Tick);
    let next = if call(&commands).is_some() { commands } else { next };
    assert_eq!(written(&next), Some(record));
}

fn entry(revision: u64, version: &str) -> UpstreamEntry {
    let info = ListedUpstream {
        id: format!("{version}-1").parse().expect("the name is valid"),
        service: service(),
        address: "10.0.0.1:80".parse().expect("the address is valid"),
        domain: "d".parse().expect("the name is valid"),
        version: Some(version.parse().expect("the name is valid")),
        slots: 8,
        leaving: false,
        started_at: None,
    };
    UpstreamEntry { revision, info, warm_in: Duration::ZERO }
}

/// Guards against a version that leaves the record while its streams can be resumed, or while
/// another process still lets it begin streams.
#[test]
fn a_version_stays_known_until_its_streams_have_ended_and_a_margin() {
    let mut table = UpstreamTable::default();
    let entries = vec![entry(1, "v1"), entry(1, "v2")];
    table.apply_list(at(100), UpstreamList { revision: 1, entries });
    let open = OpenVersions { revision: 7, versions: versions(&["v1", "v2"]) };
    table.apply_versions(at(100), at(100), &open.versions);
    table.set_open_versions(at(100), open);
    let gone = vec![(entry(1, "v2").info.id, 2)];
    table.apply_changes(at(101), UpstreamListChanges { revision: 2, written: vec![], gone });
    let left = 101 + RETENTION;
    let ended = left + LIFETIME.as_secs();
    let mut previous = table.all_known_versions(at(101), LIFETIME);
    let has_v2 = |table: &UpstreamTable| {
        table.open_versions().is_some_and(|open| open.contains(&service(), tag("v2")))
    };
    for second in 102..=ended + MARGIN {
        let changes = UpstreamListChanges { revision: second, ..Default::default() };
        table.apply_changes(at(second), changes);
        table.drop_past_versions(at(second), LIFETIME);
        assert_eq!(has_v2(&table), second < ended, "open at {second} s");
        let known = table.all_known_versions(at(second), LIFETIME);
        let is_known = known.versions == versions(&["v1", "v2"]);
        assert_eq!(is_known, second < ended + MARGIN, "known at {second} s");
        // A process that knew both a second ago writes another version.
        let (node, record) = (node(1), encode(&versions(&["v1", "v2"])));
        let next = KnownVersions { to_open: versions(&["v3"]), is_urgent: true, ..known.clone() };
        read_record(&node, at(second - 1), previous, Some(record));
        previous = known;
        let commands = node.handle(at(second), Event::KnownVersions(next));
        let next = written(&commands).expect("a write");
        assert_eq!(next[&service()].contains(&tag("v2")), is_known, "recorded at {second} s");
    }
    // The version returns, and begins no streams by what the process read at first.
    let now = at(ended + MARGIN + 1);
    let written = vec![entry(1000, "v2")];
    table.apply_changes(now, UpstreamListChanges { revision: 1000, written, gone: vec![] });
    assert!(!has_v2(&table));
    let later = now.after(Duration::from_secs(10));
    table.apply_changes(later, UpstreamListChanges { revision: 1001, ..Default::default() });
    assert_eq!(table.all_known_versions(later, LIFETIME).to_open, versions(&["v2"]));
}
