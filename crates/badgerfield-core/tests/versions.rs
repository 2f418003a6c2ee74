//! When the list of upstreams tells that a service has had one version only.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::{Service, SoftwareVersion, VersionTag};
use badgerfield_core::upstream_list::{
    ListedUpstream, UpstreamEntry, UpstreamList, UpstreamListChanges,
};
use badgerfield_core::upstream_table::UpstreamTable;
use badgerfield_core::version_record::{OpenVersions, ServiceVersions};

const LIFETIME: Duration = Duration::from_secs(60);

fn at(seconds: u64) -> Time {
    Time::from_millis(100_000 + seconds * 1000)
}

fn service() -> Service {
    "pool".parse().expect("the name is valid")
}

fn tag(version: &str) -> VersionTag {
    let version: SoftwareVersion = version.parse().expect("the name is valid");
    VersionTag::new(&service(), Some(&version))
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

/// Returns a table whose first list has an upstream of v1.
fn table() -> UpstreamTable {
    let mut table = UpstreamTable::default();
    table.apply_list(at(0), UpstreamList { revision: 1, entries: vec![entry(1, "v1")] });
    table
}

/// Confirms the list each second from one second to another.
fn follow(table: &mut UpstreamTable, from: u64, until: u64) {
    for second in from..=until {
        let changes = UpstreamListChanges { revision: second + 10, ..Default::default() };
        table.apply_changes(at(second), changes);
    }
}

fn stored(versions: &[&str]) -> ServiceVersions {
    let tags: BTreeSet<_> = versions.iter().map(|version| tag(version)).collect();
    BTreeMap::from([(service(), tags)])
}

fn only(table: &UpstreamTable, second: u64) -> Option<VersionTag> {
    table.only_version(at(second), &service(), LIFETIME)
}

/// Guards against a process that has just started and takes the only listed version for the only
/// one that streams can have begun at.
#[test]
fn a_list_tells_nothing_of_the_time_before_it() {
    let mut table = table();
    follow(&mut table, 0, 59);
    assert_eq!(only(&table, 59), None);
    follow(&mut table, 60, 60);
    assert_eq!(only(&table, 60), Some(tag("v1")));
}

/// Guards against records that outlast a restart for nothing, and against a version that the store
/// or a member knows besides.
#[test]
fn what_others_know_completes_the_list() {
    let mut known = table();
    assert!(known.apply_versions(at(1), at(0), &stored(&["v1"])));
    assert_eq!(only(&known, 1), Some(tag("v1")));
    let mut several = table();
    assert!(several.apply_versions(at(1), at(0), &stored(&["v1", "v2"])));
    assert_eq!(only(&several, 1), None);
    assert!(several.knows_other_version(at(1), &service(), tag("v1"), LIFETIME));
    follow(&mut several, 1, 61);
    assert_eq!(only(&several, 61), Some(tag("v1")));
    // What was known before this process had its list says nothing of the time in between.
    let mut earlier = table();
    assert!(!earlier.apply_versions(at(1), Time::default(), &stored(&["v1"])));
    assert_eq!(only(&earlier, 1), None);
}

/// Guards against a version that appears and goes while a process is cut off from the platform.
#[test]
fn a_gap_in_the_list_ends_what_is_known() {
    let mut table = table();
    table.apply_versions(at(0), at(0), &stored(&["v1"]));
    follow(&mut table, 1, 2);
    assert_eq!(only(&table, 10), Some(tag("v1")));
    assert_eq!(only(&table, 11), None, "the list is too old");
    follow(&mut table, 12, 12);
    assert_eq!(only(&table, 12), None, "a version may have come and gone");
    table.apply_versions(at(13), at(12), &stored(&["v1"]));
    assert_eq!(only(&table, 13), Some(tag("v1")));
}

/// Guards against streams of a version that has left the list, which are taken for those of the one
/// that is left.
#[test]
fn a_version_counts_until_its_streams_have_ended() {
    let mut table = table();
    table.apply_versions(at(0), at(0), &stored(&["v1"]));
    let written = vec![entry(11, "v2")];
    table.apply_changes(at(1), UpstreamListChanges { revision: 11, written, gone: vec![] });
    assert_eq!(only(&table, 1), None);
    let gone = vec![(entry(11, "v2").info.id, 12)];
    table.apply_changes(at(2), UpstreamListChanges { revision: 12, written: vec![], gone });
    follow(&mut table, 3, 50);
    assert_eq!(only(&table, 50), None);
    follow(&mut table, 51, 130);
    assert_eq!(only(&table, 130), Some(tag("v1")));
}

/// Guards against streams without copies at a process whose list may lack a version.
#[test]
fn streams_need_copies_unless_a_fresh_list_shows_one_version() {
    let needs = |table: &UpstreamTable, second| {
        table.needs_stream_copies(at(second), &service(), tag("v1"), LIFETIME)
    };
    let mut table = table();
    assert!(needs(&table, 0));
    table.apply_versions(at(0), at(0), &stored(&["v1"]));
    assert!(!needs(&table, 3));
    assert!(needs(&table, 4), "the list is no longer fresh");
    let written = vec![entry(20, "v2")];
    table.apply_changes(at(4), UpstreamListChanges { revision: 20, written, gone: vec![] });
    assert!(needs(&table, 4));
}

/// Guards against a process that takes the listed version for the only one, though it has learned
/// that another one may begin streams.
#[test]
fn a_version_that_may_begin_streams_is_known() {
    let mut table = table();
    table.apply_versions(at(0), at(0), &stored(&["v1"]));
    let written = vec![entry(11, "v2")];
    table.apply_changes(at(1), UpstreamListChanges { revision: 11, written, gone: vec![] });
    table.set_open_versions(at(1), OpenVersions { revision: 5, versions: stored(&["v1", "v2"]) });
    let gone = vec![(entry(11, "v2").info.id, 12)];
    table.apply_changes(at(2), UpstreamListChanges { revision: 12, written: vec![], gone });
    follow(&mut table, 3, 30);
    assert_eq!(only(&table, 30), None);
    assert!(table.knows_other_version(at(30), &service(), tag("v1"), LIFETIME));
}

/// Guards against a version that begins streams by a record that was read before it was listed: the
/// record may lack it by now.
#[test]
fn a_version_that_is_listed_after_the_record_was_read_is_not_open() {
    let mut table = table();
    let open = OpenVersions { revision: 5, versions: stored(&["v1", "v2"]) };
    table.set_open_versions(at(0), open);
    let written = vec![entry(11, "v2")];
    table.apply_changes(at(1), UpstreamListChanges { revision: 11, written, gone: vec![] });
    let known = table.open_versions().expect("the record was read");
    assert!(known.contains(&service(), tag("v1")));
    assert!(!known.contains(&service(), tag("v2")));
    follow(&mut table, 2, 20);
    let to_open = table.all_known_versions(at(20), LIFETIME).to_open;
    assert_eq!(to_open, stored(&["v2"]));
}

/// Guards against a record that is taken as the present one after the list was not followed for long.
#[test]
fn a_long_gap_in_the_list_ends_what_may_begin_streams() {
    let mut table = table();
    table.set_open_versions(at(0), OpenVersions { revision: 5, versions: stored(&["v1"]) });
    follow(&mut table, 1, 2);
    assert!(table.open_versions().is_some());
    follow(&mut table, 40, 40);
    assert!(table.open_versions().is_none());
}
