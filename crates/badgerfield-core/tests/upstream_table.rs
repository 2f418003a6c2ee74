//! Tests of the table of upstreams: which upstreams get requests, and which must not.

use std::collections::BTreeSet;
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::{Service, UpstreamId};
use badgerfield_core::request_mix::PromptSize;
use badgerfield_core::residency::EVERYWHERE;
use badgerfield_core::upstream_list::{
    ListVersion, ListedUpstream, UpstreamEntry, UpstreamList, UpstreamListChanges,
};
use badgerfield_core::upstream_table::{
    AttemptOutcome, ListGap, PromptPart, UpstreamCriteria, UpstreamTable,
};

fn service(name: &str) -> Service {
    name.parse().expect("the name is valid")
}

fn id(n: usize) -> UpstreamId {
    format!("u-{n}").parse().expect("the name is valid")
}

fn info(n: usize, leaving: bool) -> ListedUpstream {
    ListedUpstream {
        id: id(n),
        service: service("pool"),
        address: format!("10.0.0.{n}:80").parse().expect("the address is valid"),
        domain: "d".parse().expect("the name is valid"),
        version: None,
        slots: 8,
        leaving,
        started_at: None,
    }
}

fn entry(revision: u64, info: ListedUpstream) -> UpstreamEntry {
    UpstreamEntry { revision, info, warm_in: Duration::ZERO }
}

fn list(revision: u64, upstreams: Vec<ListedUpstream>) -> UpstreamList {
    let entry = |info| entry(revision, info);
    UpstreamList { revision, entries: upstreams.into_iter().map(entry).collect() }
}

fn table(count: usize) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    table.apply_list(Time::default(), list(1, (1..=count).map(|n| info(n, false)).collect()));
    table
}

fn choose(
    table: &UpstreamTable,
    now: Time,
    parts: &[PromptPart],
    random: u64,
) -> Option<UpstreamId> {
    let service = service("pool");
    let criteria = UpstreamCriteria {
        service: &service,
        route: "r",
        parts,
        bytes: 0,
        residency: &EVERYWHERE,
        tried: &[],
        bound_version: None,
        is_resumable: false,
        max_connections: 4,
        random,
        rendezvous_key: None,
    };
    table.choose(now, &criteria).map(|chosen| chosen.id)
}

/// Returns the upstreams that are chosen for many random numbers.
fn chosen_ids(table: &UpstreamTable, now: Time) -> BTreeSet<UpstreamId> {
    (0..500).filter_map(|random| choose(table, now, &[], random * 7919)).collect()
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn a_leaving_upstream_gets_no_requests() {
    let mut table = table(3);
    assert_eq!(chosen_ids(&table, at(0)).len(), 3);
    table.apply_list(at(10), list(2, vec![info(1, true), info(2, false), info(3, false)]));
    assert_eq!(chosen_ids(&table, at(10)), BTreeSet::from([id(2), id(3)]));
}

/// Lists arrive from the store and from other processes, so an older one may arrive last.
#[test]
fn an_older_list_restores_no_upstream() {
    let mut table = table(2);
    table.apply_list(at(10), list(5, vec![info(1, true), info(2, false)]));
    table.apply_list(at(20), list(4, vec![info(1, false), info(2, false)]));
    assert_eq!(chosen_ids(&table, at(20)), BTreeSet::from([id(2)]));
}

#[test]
fn upstreams_that_vanish_one_by_one_get_no_requests() {
    // The entries of upstreams that leave vanish one by one. When two of three had vanished within
    // two seconds, this was taken for a lapse of all leases, and upstreams that had left got
    // requests.
    let mut table = table(3);
    table.apply_list(at(10), list(2, vec![info(2, false), info(3, false)]));
    table.apply_list(at(900), list(3, vec![info(3, false)]));
    assert_eq!(chosen_ids(&table, at(900)), BTreeSet::from([id(3)]));
    table.apply_list(at(1000), list(4, Vec::new()));
    assert_eq!(chosen_ids(&table, at(1000)), BTreeSet::new());
}

/// If the store lets all leases lapse, all entries vanish at once while the upstreams still run.
#[test]
fn upstreams_that_vanish_together_stay_usable_briefly() {
    let mut table = table(3);
    table.apply_list(at(10), list(2, Vec::new()));
    assert_eq!(chosen_ids(&table, at(500)).len(), 3);
    assert_eq!(chosen_ids(&table, at(2000)), BTreeSet::new());
    table.apply_list(at(2100), list(3, vec![info(2, false)]));
    assert_eq!(chosen_ids(&table, at(2100)), BTreeSet::from([id(2)]));
}

#[test]
fn a_failing_upstream_is_avoided_for_a_while() {
    let mut table = table(2);
    for _ in 0..3 {
        table.start_request(at(0), &id(1), &[]);
        table.end_request(at(0), &id(1), AttemptOutcome::Failed);
    }
    assert_eq!(chosen_ids(&table, at(1)), BTreeSet::from([id(2)]));
    for _ in 0..40 {
        table.start_request(at(9000), &id(1), &[]);
        table.end_request(at(9000), &id(1), AttemptOutcome::Answered);
    }
    table.start_request(at(9000), &id(2), &[]);
    assert_eq!(chosen_ids(&table, at(9000)), BTreeSet::from([id(1)]));
}

#[test]
fn no_upstream_exceeds_the_connection_limit() {
    let mut table = table(1);
    for _ in 0..4 {
        assert_eq!(choose(&table, at(0), &[], 1), Some(id(1)));
        table.start_request(at(0), &id(1), &[]);
    }
    assert_eq!(choose(&table, at(0), &[], 1), None);
    table.end_request(at(1), &id(1), AttemptOutcome::Answered);
    assert_eq!(choose(&table, at(1), &[], 1), Some(id(1)));
}

/// If VMs preferred different upstreams, each of these would read and cache the prefix.
#[test]
fn all_vms_prefer_the_same_upstream_for_a_shared_prefix() {
    let (local, remote) = (table(8), table(8));
    for prefix in 0..50 {
        let unshared = |n: u64| PromptPart { id: 9000 + n, tokens: 500 };
        let part = PromptPart { id: prefix, tokens: 5000 };
        let one = choose(&local, at(0), &[part, unshared(1)], 3);
        let two = choose(&remote, at(0), &[part, unshared(2)], 99);
        assert_eq!(one, two, "prefix {prefix}");
    }
}

#[test]
fn a_loaded_preferred_upstream_is_left_when_reading_again_is_cheaper() {
    let mut table = table(4);
    let parts = [PromptPart { id: 1, tokens: 200 }, PromptPart { id: 2, tokens: 10 }];
    let preferred = choose(&table, at(0), &parts, 0).expect("an upstream is chosen");
    let service = service("pool");
    for _ in 0..50 {
        table.start_request(at(0), &preferred, &parts);
    }
    let criteria = UpstreamCriteria {
        service: &service,
        route: "r",
        parts: &parts,
        bytes: 0,
        residency: &EVERYWHERE,
        tried: &[],
        bound_version: None,
        is_resumable: false,
        max_connections: 100,
        random: 0,
        rendezvous_key: None,
    };
    let other = table.choose(at(1), &criteria).expect("an upstream is chosen").id;
    assert_ne!(other, preferred);
    let table_age = table.last_update().1.map(|t| at(1).since(t));
    assert_eq!(table_age, Some(Duration::from_millis(1)));
}

#[test]
fn an_entry_never_goes_back_to_an_older_state() {
    let mut table = table(2);
    // The list was read while the upstream began to leave: its entry is newer than the list.
    table.apply_list(
        at(10),
        UpstreamList {
            revision: 5,
            entries: vec![entry(8, info(1, true)), entry(4, info(2, false))],
        },
    );
    // The watch continues from the revision of the list and delivers an older state first.
    let older = UpstreamListChanges {
        revision: 7,
        written: vec![entry(6, info(1, false))],
        gone: Vec::new(),
    };
    assert!(table.apply_changes(at(20), older).is_empty());
    assert_eq!(chosen_ids(&table, at(20)), BTreeSet::from([id(2)]));
}

/// An upstream that restarts writes its entry again; the removal of the old entry may arrive later.
#[test]
fn a_late_removal_does_not_remove_a_newer_entry() {
    let mut table = table(2);
    let rewritten = UpstreamListChanges {
        revision: 9,
        written: vec![entry(9, info(1, false))],
        gone: Vec::new(),
    };
    table.apply_changes(at(10), rewritten);
    let late = UpstreamListChanges { revision: 8, written: Vec::new(), gone: vec![(id(1), 8)] };
    assert!(table.apply_changes(at(20), late).is_empty());
    assert_eq!(chosen_ids(&table, at(20)), BTreeSet::from([id(1), id(2)]));
}

#[test]
fn a_change_takes_an_upstream_out_at_once() {
    let mut table = table(3);
    let leaving = UpstreamListChanges {
        revision: 2,
        written: vec![entry(2, info(1, true))],
        gone: vec![(id(2), 2)],
    };
    assert_eq!(table.apply_changes(at(10), leaving), vec![id(1), id(2)]);
    assert_eq!(chosen_ids(&table, at(10)), BTreeSet::from([id(3)]));
}

/// Processes compare lists by their digests: equal digests of different lists would hide a missed
/// change, and different digests of equal lists would make processes fetch the full list.
#[test]
fn equal_lists_have_equal_digests_and_others_do_not() {
    let (mut local, remote) = (table(3), table(3));
    assert_eq!(local.list_version(), remote.list_version());
    let leaving = UpstreamListChanges {
        revision: 2,
        written: vec![entry(2, info(1, true))],
        gone: Vec::new(),
    };
    let changed = local.apply_changes(at(10), leaving);
    assert_ne!(local.list_version().digest, remote.list_version().digest);
    // Passing on changes makes the lists equal, but does not confirm the revision.
    let mut remote = remote;
    remote.apply_changes(at(20), local.changes_of(at(20), &changed));
    assert_eq!(local.list_version().digest, remote.list_version().digest);
    assert_eq!(remote.list_version().revision, 1);
    remote.confirm_revision(at(30), 2);
    assert_eq!(local.list_version(), remote.list_version());
}

#[test]
fn a_full_list_of_another_process_removes_missing_upstreams() {
    let (mut local, mut remote) = (table(3), table(3));
    let gone = UpstreamListChanges { revision: 5, written: Vec::new(), gone: vec![(id(2), 5)] };
    remote.apply_changes(at(10), gone);
    assert_eq!(local.apply_list(at(20), remote.list(at(20))), vec![id(2)]);
    assert_eq!(chosen_ids(&local, at(20)), BTreeSet::from([id(1), id(3)]));
}

/// A division worsens the service of few engines, since a small group evens out less load.
#[test]
fn few_engines_are_not_divided() {
    let mut tables = [table(18), table(60)];
    let divided = tables.each_mut().map(|table| {
        for n in 0..20 {
            for (route, prompt) in [("long", 9000), ("short", 800)] {
                table.record_arrival(
                    at(n * 50),
                    &service("pool"),
                    route,
                    PromptSize { total_tokens: prompt, unshared_tokens: prompt / 3 },
                );
            }
        }
        let demand = table.engine_demand(at(1000));
        table.divide_engines(&demand).len()
    });
    assert_eq!(divided, [0, 1]);
}

#[test]
fn long_and_short_prompts_go_to_different_engines() {
    let mut table = table(60);
    for n in 0..40 {
        for (route, prompt) in [("long", 9000), ("short", 800)] {
            table.record_arrival(
                at(n * 50),
                &service("pool"),
                route,
                PromptSize { total_tokens: prompt, unshared_tokens: prompt / 3 },
            );
        }
    }
    let demand = table.engine_demand(at(2000));
    table.divide_engines(&demand);
    let service = service("pool");
    let taken = [("long", 9000), ("short", 800)].map(|(route, tokens)| {
        let mut taken = BTreeSet::new();
        for id in 0..200 {
            let parts = [PromptPart { id, tokens }, PromptPart { id: 1000 + id, tokens: 100 }];
            let criteria = UpstreamCriteria {
                service: &service,
                route,
                parts: &parts,
                bytes: 0,
                residency: &EVERYWHERE,
                tried: &[],
                bound_version: None,
                is_resumable: false,
                max_connections: 100,
                random: id * 7919,
                rendezvous_key: None,
            };
            taken.extend(table.choose(at(2000), &criteria).map(|chosen| chosen.id));
        }
        taken
    });
    assert!(taken[0].is_disjoint(&taken[1]), "some engines are in both groups");
    assert!(taken.iter().all(|taken| taken.len() >= 9), "{taken:?}");
}

#[test]
fn changes_since_a_revision_lead_to_the_same_list() {
    let mut ahead = table(40);
    let mut behind = table(40);
    let since = behind.list_version().revision;
    let written = vec![entry(5, info(3, true)), entry(6, info(41, false))];
    let gone = vec![(id(7), 8)];
    ahead.apply_changes(at(10), UpstreamListChanges { revision: 9, written, gone });
    let changes = ahead.changes_since(at(20), since).expect("no removal was dropped");
    assert_eq!((changes.written.len(), changes.gone.len()), (2, 1), "{changes:?}");
    behind.apply_changes(at(20), changes);
    assert_eq!(behind.list_version().digest, ahead.list_version().digest);
}

#[test]
fn changes_that_lack_a_dropped_removal_are_not_returned() {
    // Changes that lack a removal would leave the removed upstream in the other process's list for
    // good.
    let mut ahead = table(3);
    ahead.apply_changes(
        at(10),
        UpstreamListChanges { revision: 9, written: vec![], gone: vec![(id(2), 8)] },
    );
    assert!(ahead.changes_since(at(20), 1).is_some());
    ahead.apply_changes(
        at(40_000),
        UpstreamListChanges { revision: 12, ..UpstreamListChanges::default() },
    );
    assert_eq!(ahead.changes_since(at(40_000), 1), None);
    assert!(ahead.changes_since(at(40_000), 9).is_some());
    let mut late = UpstreamTable::default();
    late.apply_list(at(0), list(30, vec![info(1, false)]));
    assert_eq!(late.changes_since(at(10), 20), None, "removals before revision 30 are unknown");
}

/// Otherwise a process that receives newer entries from a third one would request the full list
/// with each update.
#[test]
fn an_update_confirms_its_revision_despite_newer_entries_from_elsewhere() {
    let mut sender = table(5);
    let mut local = table(5);
    // A newer entry arrived first from another process, so the lists never become equal.
    local.apply_changes(
        at(5),
        UpstreamListChanges { written: vec![entry(9, info(4, true))], ..Default::default() },
    );
    sender.apply_changes(
        at(10),
        UpstreamListChanges { revision: 6, written: vec![entry(5, info(3, true))], gone: vec![] },
    );
    let changes = sender.changes_since(at(10), 1).expect("no removal was dropped");
    let (updated, gap) = local.apply_update(at(20), changes, 1, sender.list_version());
    assert_eq!((updated, gap), (vec![id(3)], ListGap::Nothing));
    assert_eq!(local.last_update(), (6, Some(at(20))));
}

/// If an update is lost and the next one counts as complete, the lost changes never arrive.
#[test]
fn an_update_after_a_gap_is_applied_and_the_gap_is_reported() {
    let mut sender = table(5);
    let mut local = table(5);
    sender.apply_changes(
        at(10),
        UpstreamListChanges { revision: 6, written: vec![entry(5, info(3, true))], gone: vec![] },
    );
    sender.apply_changes(
        at(11),
        UpstreamListChanges { revision: 8, written: vec![entry(7, info(2, true))], gone: vec![] },
    );
    let changes = sender.changes_since(at(11), 6).expect("no removal was dropped");
    let (updated, gap) = local.apply_update(at(20), changes, 6, sender.list_version());
    assert_eq!((updated, gap), (vec![id(2)], ListGap::Changes));
    assert_eq!(local.last_update().0, 1, "the change of upstream 3 is missing");
    // The changes that it then fetches close the gap.
    let changes = sender.changes_since(at(30), 1).expect("no removal was dropped");
    assert_eq!(local.apply_update(at(30), changes, 1, sender.list_version()).1, ListGap::Nothing);
    assert_eq!(local.list_version(), sender.list_version());
}

/// The entry is older than the changes that are sent, so only the digests show the difference.
#[test]
fn a_list_that_differs_in_an_old_entry_is_detected() {
    let mut sender = table(5);
    let mut local = table(4);
    sender.apply_changes(at(10), UpstreamListChanges { revision: 6, ..Default::default() });
    // The sender may have missed what another member has announced a moment ago, so the list is
    // fetched only if the difference lasts.
    let mut compare = |millis| {
        let version = sender.list_version();
        local.apply_update(at(millis), UpstreamListChanges::default(), 1, version).1
    };
    assert_eq!(compare(20), ListGap::Nothing);
    assert_eq!(compare(420), ListGap::Nothing);
    assert_eq!(compare(1020), ListGap::FullList);
}

#[test]
fn entries_rewritten_without_a_change_are_not_sent() {
    // Upstreams rewrite their entries each second. With 3,000 upstreams these would make up most of
    // the changes sent.
    let mut table = table(3);
    let again = vec![entry(8, info(1, false)), entry(9, info(2, true))];
    table.apply_changes(at(10), UpstreamListChanges { revision: 9, written: again, gone: vec![] });
    let changes = table.changes_since(at(20), 1).expect("no removal was dropped");
    let sent: Vec<_> = changes.written.iter().map(|entry| entry.info.id.clone()).collect();
    assert_eq!(sent, vec![id(2)]);
}

/// A process knows of no removals before its first list. If it returned changes since an earlier
/// revision, the receiver would keep the upstreams that were removed in between.
#[test]
fn an_update_before_the_first_list_does_not_extend_the_known_changes() {
    let mut late = UpstreamTable::default();
    let first =
        UpstreamListChanges { written: vec![entry(25, info(1, false))], ..Default::default() };
    late.apply_update(at(0), first, 24, ListVersion { revision: 26, digest: 1 });
    late.apply_list(at(10), list(30, vec![info(1, false), info(2, false)]));
    assert_eq!(late.changes_since(at(20), 20), None);
}

fn started(n: usize, started_at: u64) -> ListedUpstream {
    ListedUpstream { started_at: Some(started_at), ..info(n, false) }
}

/// Guards against connections to an earlier process that are used for streams of another version,
/// because only the version of the entry has changed.
#[test]
fn an_upstream_with_another_version_counts_as_new() {
    let of_version = |version: &str| {
        let version = Some(version.parse().expect("a version"));
        ListedUpstream { version, ..started(1, 1_000) }
    };
    let mut table = table(0);
    table.apply_list(at(0), list(1, vec![of_version("v1")]));
    let known = table.version_tag(&id(1));
    assert!(table.take_restarted().is_empty());
    let changed = UpstreamListChanges {
        revision: 2,
        written: vec![entry(2, of_version("v2"))],
        gone: vec![],
    };
    table.apply_changes(at(1), changed);
    assert_eq!(table.take_restarted(), [id(1)]);
    assert_ne!(table.version_tag(&id(1)), known);
}

#[test]
fn an_upstream_that_restarts_under_its_id_counts_as_new() {
    // The start time of an upstream was ignored. An upstream that crashed and came back under its
    // id was avoided for up to 8 s because of failures of the previous process, got prompts whose
    // prefixes it no longer had in its cache, and got requests on connections to the process that
    // was gone.
    let mut table = table(0);
    table.apply_list(at(0), list(1, vec![started(1, 1_000), started(2, 1_000)]));
    let prefix = [PromptPart { id: 7, tokens: 5000 }, PromptPart { id: 8, tokens: 10 }];
    table.start_request(at(0), &id(1), &prefix);
    for _ in 0..4 {
        table.start_request(at(0), &id(1), &[]);
        table.end_request(at(0), &id(1), AttemptOutcome::Failed);
    }
    assert_eq!(chosen_ids(&table, at(1)), BTreeSet::from([id(2)]));
    let same = UpstreamListChanges {
        revision: 2,
        written: vec![entry(2, started(1, 1_000))],
        gone: vec![],
    };
    table.apply_changes(at(2), same);
    assert!(table.take_restarted().is_empty());
    assert_eq!(chosen_ids(&table, at(2)), BTreeSet::from([id(2)]));
    let again = UpstreamListChanges {
        revision: 3,
        written: vec![entry(3, started(1, 5_000))],
        gone: vec![],
    };
    assert_eq!(table.apply_changes(at(3), again), [id(1)]);
    assert_eq!(table.take_restarted(), [id(1)]);
    table.end_request(at(3), &id(1), AttemptOutcome::Unknown);
    assert!(
        chosen_ids(&table, at(4)).contains(&id(1)),
        "avoided for failures of the previous process"
    );
}

/// While several members announce changes, lists differ for moments. If each difference made all
/// members fetch the whole list, that would be most of the traffic of a large fleet.
#[test]
fn lists_that_are_equal_again_are_not_fetched() {
    let mut local = table(4);
    for round in 0..10_u64 {
        let differing = ListVersion { revision: 10 + 2 * round, digest: 99 };
        let equal = ListVersion { revision: 11 + 2 * round, ..local.list_version() };
        for (millis, version) in [(700 * round, differing), (700 * round + 100, equal)] {
            let update = UpstreamListChanges::default();
            let (_, gap) = local.apply_update(at(20 + millis), update, 1, version);
            assert_eq!(gap, ListGap::Nothing, "round {round}");
        }
    }
}

/// Guards against an upstream that only its watcher knows: another watcher had announced the same
/// revision of the list before this one was selected.
#[test]
fn an_upstream_that_is_selected_at_an_announced_revision_is_announced() {
    let mut table = table(4);
    let written = vec![entry(1, info(9, false))];
    let changes = UpstreamListChanges { revision: 8, written, gone: vec![] };
    let updated = table.apply_changes(at(10), changes);
    let (changes, since) = table.announcement(at(10), 8, &updated);
    let ids: Vec<_> = changes.written.into_iter().map(|entry| entry.info.id).collect();
    assert_eq!((ids, since), (vec![id(9)], 8));
}
