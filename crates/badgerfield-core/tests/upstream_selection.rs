//! The selection of upstreams out of a list of which entries appear and vanish all the time.

use std::collections::BTreeSet;
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::UpstreamId;
use badgerfield_core::request_mix::EngineDemand;
use badgerfield_core::upstream_list::{
    ListedEntry, ListedUpstream, PlatformChanges, PlatformList, UpstreamEntry,
};
use badgerfield_core::upstream_selection::{SelectionBasis, UpstreamSelection};

const DOMAINS: u64 = 5;

fn id(n: u64) -> UpstreamId {
    format!("u-{n}").parse().expect("a name")
}

/// Returns the entry of an upstream with 32 slots.
fn listed(n: u64, created: u64, revision: u64) -> ListedEntry {
    let info = ListedUpstream {
        id: id(n),
        service: "pool".parse().expect("a name"),
        address: ([10, 0, 0, 1], u16::try_from(n % 60_000).expect("a port")).into(),
        domain: format!("d-{}", n % DOMAINS).parse().expect("a name"),
        version: None,
        slots: 32,
        leaving: false,
        started_at: None,
    };
    ListedEntry { created, entry: UpstreamEntry { revision, info, warm_in: Duration::ZERO } }
}

fn list(count: u64) -> PlatformList {
    PlatformList { revision: count, entries: (0..count).map(|n| listed(n, n + 1, n + 1)).collect() }
}

fn basis(watcher_rank: u32) -> SelectionBasis {
    SelectionBasis { demand: Vec::new(), members: 984, watcher_rank }
}

fn nothing_used(_: &UpstreamId) -> bool {
    false
}

/// Guards against a fleet that leaves upstreams unused though it has few of them.
#[test]
fn all_upstreams_of_a_usual_service_are_selected() {
    let mut selection = UpstreamSelection::default();
    let selected = selection.apply_list(list(165), nothing_used, &basis(0), Time::default());
    assert_eq!(selected.entries.len(), 165);
}

/// Guards against lists, messages and state that grow with the upstreams of the platform instead
/// of with the demand.
#[test]
fn as_many_upstreams_of_each_domain_are_selected_as_the_demand_needs() {
    for count in [10_000, 20_000] {
        let mut selection = UpstreamSelection::default();
        let selected = selection.apply_list(list(count), nothing_used, &basis(0), Time::default());
        assert!((512..=520).contains(&selected.entries.len()), "{}", selected.entries.len());
        let domain = "d-0".parse().expect("a name");
        let in_domain = selected.entries.iter().filter(|e| e.info.domain == domain).count();
        assert_eq!(in_domain, 103, "of {count}");
    }
}

/// Guards against a busy fleet that has to do with the upstreams of an idle one.
#[test]
fn a_higher_demand_selects_more_upstreams() {
    let mut selection = UpstreamSelection::default();
    // 250 thousandths of an engine at each of 984 processes are 246 engines.
    let demand =
        EngineDemand { service: service_number(), short: 100, long: 150, long_threshold: 0 };
    let busy = SelectionBasis { demand: vec![demand], ..basis(0) };
    let selected = selection.apply_list(list(10_000), nothing_used, &busy, Time::default());
    assert!((984..=990).contains(&selected.entries.len()), "{}", selected.entries.len());
}

/// Returns the number by which processes name the service of the tests to each other.
fn service_number() -> u32 {
    u32::try_from(xxhash_rust::xxh3::xxh3_64(b"pool") >> 32).expect("32 bits")
}

/// Guards against updates to all VMs for each of the many upstreams that are not used.
#[test]
fn changes_of_upstreams_that_are_not_selected_are_not_passed_on() {
    let mut selection = UpstreamSelection::default();
    let selected = selection.apply_list(list(10_000), nothing_used, &basis(0), Time::default());
    let selected: BTreeSet<_> = selected.entries.iter().map(|e| e.info.id.clone()).collect();
    let spare = (0..10_000).find(|n| !selected.contains(&id(*n))).expect("some are not selected");
    let changes = PlatformChanges {
        revision: 10_001,
        written: vec![listed(20_000, 10_001, 10_001)],
        gone: vec![(id(spare), 10_001)],
    };
    let changes = selection.apply_changes(changes, nothing_used, &basis(0), Time::default());
    assert_eq!((changes.revision, changes.written.len(), changes.gone.len()), (10_001, 0, 0));
}

/// Guards against a selection that shrinks as upstreams vanish, and against one that takes new
/// entries, which vanish soonest, before old ones.
#[test]
fn the_oldest_entry_of_the_domain_replaces_one_that_vanishes() {
    let mut selection = UpstreamSelection::default();
    selection.apply_list(list(10_000), nothing_used, &basis(0), Time::default());
    let changes =
        PlatformChanges { revision: 10_001, written: Vec::new(), gone: vec![(id(5), 10_001)] };
    let changes = selection.apply_changes(changes, nothing_used, &basis(0), Time::default());
    assert_eq!(changes.gone, vec![(id(5), 10_001)]);
    let written: Vec<_> = changes.written.iter().map(|e| e.info.id.clone()).collect();
    // The first 103 of each of five domains are selected.
    assert_eq!(written, vec![id(515)]);
}

/// If several watchers replaced an upstream at the same time, their lists would differ for a
/// moment, and all members would fetch the whole list.
#[test]
fn further_watchers_wait_before_they_replace_an_upstream() {
    let mut selection = UpstreamSelection::default();
    selection.apply_list(list(10_000), nothing_used, &basis(0), Time::default());
    let gone =
        PlatformChanges { revision: 10_001, written: Vec::new(), gone: vec![(id(5), 10_001)] };
    let at = Time::from_millis;
    let changes = selection.apply_changes(gone, nothing_used, &basis(1), at(1_000));
    assert!(changes.written.is_empty(), "{changes:?}");
    let later = PlatformChanges { revision: 10_002, ..PlatformChanges::default() };
    let changes = selection.apply_changes(later.clone(), nothing_used, &basis(1), at(2_000));
    assert!(changes.written.is_empty(), "{changes:?}");
    let changes = selection.apply_changes(later, nothing_used, &basis(1), at(2_600));
    assert_eq!(changes.written.len(), 1, "{changes:?}");
}

/// Guards against a watcher that removes what another one has selected.
#[test]
fn upstreams_in_use_stay_selected() {
    let mut selection = UpstreamSelection::default();
    let is_used = |used: &UpstreamId| *used == id(9_999);
    let selected = selection.apply_list(list(10_000), is_used, &basis(0), Time::default());
    assert!(selected.entries.iter().any(|e| e.info.id == id(9_999)));
    let gone =
        PlatformChanges { revision: 10_001, written: Vec::new(), gone: vec![(id(9_999), 10_001)] };
    let changes = selection.apply_changes(gone, is_used, &basis(0), Time::default());
    assert_eq!(changes.gone, vec![(id(9_999), 10_001)]);
}

/// Guards against a leaving upstream that keeps its place in the selection: during a replacement
/// of upstreams the fleet would run out of usable ones.
#[test]
fn leaving_upstreams_are_replaced() {
    let mut selection = UpstreamSelection::default();
    selection.apply_list(list(10_000), nothing_used, &basis(0), Time::default());
    let mut leaving = listed(5, 6, 10_001);
    leaving.entry.info.leaving = true;
    let changes =
        PlatformChanges { revision: 10_001, written: vec![leaving], ..PlatformChanges::default() };
    let changes = selection.apply_changes(changes, nothing_used, &basis(0), Time::default());
    let written: Vec<_> = changes.written.iter().map(|e| e.info.id.clone()).collect();
    assert_eq!(written, vec![id(515), id(5)]);
}
