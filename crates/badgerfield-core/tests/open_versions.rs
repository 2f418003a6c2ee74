//! Which versions begin streams: those that the record in the store names.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::{Service, SoftwareVersion, VersionTag};
use badgerfield_core::residency::EVERYWHERE;
use badgerfield_core::upstream_list::{
    ListedUpstream, UpstreamEntry, UpstreamList, UpstreamListChanges,
};
use badgerfield_core::upstream_table::{AttemptOutcome, UpstreamCriteria, UpstreamTable};
use badgerfield_core::version_record::OpenVersions;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const START: Time = Time::from_millis(1000);
/// A time at which both versions have been listed for long enough.
const LATER: Time = Time::from_millis(60_000);
const LIFETIME: Duration = Duration::from_secs(60);

fn service() -> Service {
    "pool".parse().expect("the name is valid")
}

fn version(name: &str) -> SoftwareVersion {
    name.parse().expect("the name is valid")
}

fn entry(version_name: &str, n: usize) -> UpstreamEntry {
    let info = ListedUpstream {
        id: format!("{version_name}-{n}").parse().expect("the name is valid"),
        service: service(),
        address: format!("10.0.0.{n}:80").parse().expect("the address is valid"),
        domain: "d".parse().expect("the name is valid"),
        version: Some(version(version_name)),
        slots: 8,
        leaving: false,
        started_at: None,
    };
    UpstreamEntry { revision: 1, info, warm_in: Duration::ZERO }
}

fn old_entries() -> Vec<UpstreamEntry> {
    (1..=2).map(|n| entry("v1", n)).collect()
}

/// Returns the entries of a version with more upstreams than the old one.
fn new_entries() -> Vec<UpstreamEntry> {
    (1..=6).map(|n| entry("v2", n)).collect()
}

fn open(names: &[&str]) -> OpenVersions {
    let tags = names.iter().map(|name| VersionTag::new(&service(), Some(&version(name))));
    OpenVersions { revision: 9, versions: BTreeMap::from([(service(), tags.collect())]) }
}

/// Returns to which versions requests go.
fn versions_of(
    table: &mut UpstreamTable,
    now: Time,
    is_resumable: bool,
    bound: Option<&str>,
) -> BTreeSet<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let service = service();
    let mut versions = BTreeSet::new();
    for _ in 0..200 {
        let criteria = UpstreamCriteria {
            service: &service,
            route: "r",
            parts: &[],
            bytes: 0,
            residency: &EVERYWHERE,
            tried: &[],
            bound_version: bound.map(|name| VersionTag::new(&service, Some(&version(name)))),
            is_resumable,
            max_connections: 1000,
            random: rng.next_u64(),
            rendezvous_key: None,
        };
        let Some(chosen) = table.choose(now, &criteria) else {
            continue;
        };
        table.start_request(now, &chosen.id, criteria.parts);
        table.record_sent(now, &criteria, &chosen.id);
        table.end_request(now, &chosen.id, AttemptOutcome::Answered);
        versions.extend(chosen.version.map(|version| version.as_str().to_owned()));
    }
    versions
}

/// Guards against streams that begin at a version which the store does not record, and against a
/// version that gets no requests at all or loses its streams because of that.
#[test]
fn a_version_that_is_not_open_begins_no_streams_but_serves() {
    let both = BTreeSet::from(["v1".to_owned(), "v2".to_owned()]);
    let of = |name: &str| BTreeSet::from([name.to_owned()]);
    let mut table = UpstreamTable::default();
    table.apply_list(START, UpstreamList { revision: 1, entries: old_entries() });
    let (written, gone) = (new_entries(), Vec::new());
    table.apply_changes(START, UpstreamListChanges { revision: 2, written, gone });
    assert_eq!(versions_of(&mut table, LATER, true, None), BTreeSet::new(), "no record is known");
    assert_eq!(versions_of(&mut table, LATER, false, None), both);
    table.set_open_versions(LATER, open(&["v1"]));
    assert_eq!(versions_of(&mut table, LATER, true, None), of("v1"));
    assert_eq!(versions_of(&mut table, LATER, false, None), both);
    assert_eq!(versions_of(&mut table, LATER, true, Some("v2")), of("v2"));
    table.set_open_versions(LATER, OpenVersions { revision: 10, ..open(&["v1", "v2"]) });
    assert_eq!(versions_of(&mut table, LATER, true, None), both);
    // An older record changes nothing.
    table.set_open_versions(LATER, open(&["v1"]));
    assert_eq!(versions_of(&mut table, LATER, true, None), both);
}

/// Guards against a process that starts during a rollout and sends to the version with the most
/// upstreams, though streams have begun at the other one only.
#[test]
fn an_open_version_is_established_rather_than_a_larger_one() {
    let of = |name: &str| BTreeSet::from([name.to_owned()]);
    for is_record_first in [true, false] {
        let mut table = UpstreamTable::default();
        if is_record_first {
            table.set_open_versions(START, open(&["v1"]));
        }
        let entries = [old_entries(), new_entries()].concat();
        table.apply_list(START, UpstreamList { revision: 1, entries });
        // A record that was read before the list allows nothing, so it is read again.
        assert_eq!(versions_of(&mut table, START, true, None), BTreeSet::new());
        assert_eq!(versions_of(&mut table, START, false, None), of("v2"), "as far as known");
        table.set_open_versions(START, open(&["v1"]));
        assert_eq!(versions_of(&mut table, START, false, None), of("v1"));
        assert_eq!(versions_of(&mut table, START, true, None), of("v1"));
        let known = table.all_known_versions(START, LIFETIME);
        assert!(known.to_open.is_empty(), "v2 waits until its delay has passed");
        let later = START.after(Duration::from_secs(11));
        let known = table.all_known_versions(later, LIFETIME);
        assert_eq!(known.to_open, open(&["v2"]).versions);
        assert!(!known.is_urgent);
    }
}
