//! The table of upstreams: who gets requests, and who must not.

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

fn list(revision: u64, replicas: Vec<ListedUpstream>) -> UpstreamList {
    let entry = |info| entry(revision, info);
    UpstreamList { revision, entries: replicas.into_iter().map(entry).collect() }
}

fn table(count: usize) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    table.apply_list(Time::default(), list(1, (1..=count).map(|n| info(n, false)).collect()));
    table
}

fn choose(table: &UpstreamTable, now: Time, parts: &[PromptPart], draw: u64) -> Option<UpstreamId> {
    let service = service("pool");
    let wanted = UpstreamCriteria {
        service: &service,
        route: "r",
        parts,
        bytes: 0,
        residency: &EVERYWHERE,
        tried: &[],
        resumed_version: None,
        max_connections: 4,
        random: draw,
        rendezvous_key: None,
    };
    table.choose(now, &wanted).map(|chosen| chosen.id)
}

/// Returns everybody who is chosen over many draws.
fn chosen(table: &UpstreamTable, now: Time) -> BTreeSet<UpstreamId> {
    (0..500).filter_map(|draw| choose(table, now, &[], draw * 7919)).collect()
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn who_leaves_gets_nothing() {
    let mut table = table(3);
    assert_eq!(chosen(&table, at(0)).len(), 3);
    table.apply_list(at(10), list(2, vec![info(1, true), info(2, false), info(3, false)]));
    assert_eq!(chosen(&table, at(10)), BTreeSet::from([id(2), id(3)]));
}

#[test]
fn an_older_list_brings_nobody_back() {
    let mut table = table(2);
    table.apply_list(at(10), list(5, vec![info(1, true), info(2, false)]));
    table.apply_list(at(20), list(4, vec![info(1, false), info(2, false)]));
    assert_eq!(chosen(&table, at(20)), BTreeSet::from([id(2)]));
}

#[test]
fn entries_that_vanish_one_by_one_are_gone_at_once() {
    // Seen as a broken DRAIN rule: of three entries two had vanished within two seconds,
    // which was taken for a lapse of all leases.
    let mut table = table(3);
    table.apply_list(at(10), list(2, vec![info(2, false), info(3, false)]));
    table.apply_list(at(900), list(3, vec![info(3, false)]));
    assert_eq!(chosen(&table, at(900)), BTreeSet::from([id(3)]));
    table.apply_list(at(1000), list(4, Vec::new()));
    assert_eq!(chosen(&table, at(1000)), BTreeSet::new());
}

#[test]
fn entries_that_vanish_all_at_once_may_be_used_for_a_moment() {
    let mut table = table(3);
    table.apply_list(at(10), list(2, Vec::new()));
    assert_eq!(chosen(&table, at(500)).len(), 3);
    assert_eq!(chosen(&table, at(2000)), BTreeSet::new());
    table.apply_list(at(2100), list(3, vec![info(2, false)]));
    assert_eq!(chosen(&table, at(2100)), BTreeSet::from([id(2)]));
}

#[test]
fn who_fails_rests_and_comes_back() {
    let mut table = table(2);
    for _ in 0..3 {
        table.start_request(at(0), &id(1), &[]);
        table.end_request(at(0), &id(1), AttemptOutcome::Failed);
    }
    assert_eq!(chosen(&table, at(1)), BTreeSet::from([id(2)]));
    for _ in 0..40 {
        table.start_request(at(9000), &id(1), &[]);
        table.end_request(at(9000), &id(1), AttemptOutcome::Answered);
    }
    table.start_request(at(9000), &id(2), &[]);
    assert_eq!(chosen(&table, at(9000)), BTreeSet::from([id(1)]));
}

#[test]
fn nobody_gets_more_connections_than_allowed() {
    let mut table = table(1);
    for _ in 0..4 {
        assert_eq!(choose(&table, at(0), &[], 1), Some(id(1)));
        table.start_request(at(0), &id(1), &[]);
    }
    assert_eq!(choose(&table, at(0), &[], 1), None);
    table.end_request(at(1), &id(1), AttemptOutcome::Answered);
    assert_eq!(choose(&table, at(1), &[], 1), Some(id(1)));
}

#[test]
fn requests_that_share_parts_meet_at_one_upstream_on_every_vm() {
    let (here, there) = (table(8), table(8));
    for chain in 0..50 {
        let own = |n: u64| PromptPart { id: 9000 + n, tokens: 500 };
        let part = PromptPart { id: chain, tokens: 5000 };
        let one = choose(&here, at(0), &[part, own(1)], 3);
        let two = choose(&there, at(0), &[part, own(2)], 99);
        assert_eq!(one, two, "chain {chain}");
    }
}

#[test]
fn a_loaded_home_gives_way_when_reading_again_is_cheaper() {
    let mut table = table(4);
    let parts = [PromptPart { id: 1, tokens: 200 }, PromptPart { id: 2, tokens: 10 }];
    let home = choose(&table, at(0), &parts, 0).expect("somebody serves");
    let service = service("pool");
    for _ in 0..50 {
        table.start_request(at(0), &home, &parts);
    }
    let wanted = UpstreamCriteria {
        service: &service,
        route: "r",
        parts: &parts,
        bytes: 0,
        residency: &EVERYWHERE,
        tried: &[],
        resumed_version: None,
        max_connections: 100,
        random: 0,
        rendezvous_key: None,
    };
    let other = table.choose(at(1), &wanted).expect("somebody serves").id;
    assert_ne!(other, home);
    let table_age = table.last_update().1.map(|t| at(1).since(t));
    assert_eq!(table_age, Some(Duration::from_millis(1)));
}

#[test]
fn an_entry_never_steps_back() {
    let mut table = table(2);
    // The list was read while the upstream began to leave: its entry is newer than the list.
    table.apply_list(
        at(10),
        UpstreamList {
            revision: 5,
            entries: vec![entry(8, info(1, true)), entry(4, info(2, false))],
        },
    );
    // The watch goes on from the revision of the list, and tells an older state first.
    let older = UpstreamListChanges {
        revision: 7,
        written: vec![entry(6, info(1, false))],
        gone: Vec::new(),
    };
    assert!(table.apply_changes(at(20), older).is_empty());
    assert_eq!(chosen(&table, at(20)), BTreeSet::from([id(2)]));
}

#[test]
fn an_entry_written_after_a_late_word_of_its_end_stays() {
    let mut table = table(2);
    let rewritten = UpstreamListChanges {
        revision: 9,
        written: vec![entry(9, info(1, false))],
        gone: Vec::new(),
    };
    table.apply_changes(at(10), rewritten);
    let late = UpstreamListChanges { revision: 8, written: Vec::new(), gone: vec![(id(1), 8)] };
    assert!(table.apply_changes(at(20), late).is_empty());
    assert_eq!(chosen(&table, at(20)), BTreeSet::from([id(1), id(2)]));
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
    assert_eq!(chosen(&table, at(10)), BTreeSet::from([id(3)]));
}

#[test]
fn equal_lists_have_equal_digests_and_others_do_not() {
    let (mut here, there) = (table(3), table(3));
    assert_eq!(here.list_version(), there.list_version());
    let leaving = UpstreamListChanges {
        revision: 2,
        written: vec![entry(2, info(1, true))],
        gone: Vec::new(),
    };
    let news = here.apply_changes(at(10), leaving);
    assert_ne!(here.list_version().digest, there.list_version().digest);
    // What one passes on makes the other's list the same, but says nothing of its age.
    let mut there = there;
    there.apply_changes(at(20), here.changes_of(at(20), &news));
    assert_eq!(here.list_version().digest, there.list_version().digest);
    assert_eq!(there.list_version().revision, 1);
    there.confirm_revision(at(30), 2);
    assert_eq!(here.list_version(), there.list_version());
}

#[test]
fn a_whole_list_of_another_process_brings_its_end_of_an_upstream() {
    let (mut here, mut there) = (table(3), table(3));
    let gone = UpstreamListChanges { revision: 5, written: Vec::new(), gone: vec![(id(2), 5)] };
    there.apply_changes(at(10), gone);
    assert_eq!(here.apply_list(at(20), there.list(at(20))), vec![id(2)]);
    assert_eq!(chosen(&here, at(20)), BTreeSet::from([id(1), id(3)]));
}

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
        let needs = table.engine_demand(at(1000));
        table.divide_engines(&needs).len()
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
    let needs = table.engine_demand(at(2000));
    table.divide_engines(&needs);
    let service = service("pool");
    let taken = [("long", 9000), ("short", 800)].map(|(route, tokens)| {
        let mut taken = BTreeSet::new();
        for id in 0..200 {
            let parts = [PromptPart { id, tokens }, PromptPart { id: 1000 + id, tokens: 100 }];
            let wanted = UpstreamCriteria {
                service: &service,
                route,
                parts: &parts,
                bytes: 0,
                residency: &EVERYWHERE,
                tried: &[],
                resumed_version: None,
                max_connections: 100,
                random: id * 7919,
                rendezvous_key: None,
            };
            taken.extend(table.choose(at(2000), &wanted).map(|chosen| chosen.id));
        }
        taken
    });
    assert!(taken[0].is_disjoint(&taken[1]), "some engines take both");
    assert!(taken.iter().all(|taken| taken.len() >= 9), "{taken:?}");
}

#[test]
fn what_changed_since_a_revision_leads_to_the_same_list() {
    let mut ahead = table(40);
    let mut behind = table(40);
    let since = behind.list_version().revision;
    let written = vec![entry(5, info(3, true)), entry(6, info(41, false))];
    let gone = vec![(id(7), 8)];
    ahead.apply_changes(at(10), UpstreamListChanges { revision: 9, written, gone });
    let changes = ahead.changes_since(at(20), since).expect("nothing was forgotten");
    assert_eq!((changes.written.len(), changes.gone.len()), (2, 1), "{changes:?}");
    behind.apply_changes(at(20), changes);
    assert_eq!(behind.list_version().digest, ahead.list_version().digest);
}

#[test]
fn what_went_too_long_ago_is_not_left_out_of_a_difference() {
    // A difference without the one that went would leave it in the other's list for good.
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
    let mut young = UpstreamTable::default();
    young.apply_list(at(0), list(30, vec![info(1, false)]));
    assert_eq!(young.changes_since(at(10), 20), None, "it never knew what went before 30");
}

#[test]
fn who_knows_enough_before_news_knows_as_much_after_it_whatever_else_it_has_heard() {
    let mut teller = table(5);
    let mut here = table(5);
    // Something newer came first from elsewhere, so that the lists never are the same.
    here.apply_changes(
        at(5),
        UpstreamListChanges { written: vec![entry(9, info(4, true))], ..Default::default() },
    );
    teller.apply_changes(
        at(10),
        UpstreamListChanges { revision: 6, written: vec![entry(5, info(3, true))], gone: vec![] },
    );
    let changes = teller.changes_since(at(10), 1).expect("nothing was forgotten");
    let (news, lacking) = here.apply_update(at(20), changes, 1, teller.list_version());
    assert_eq!((news, lacking), (vec![id(3)], ListGap::Nothing));
    assert_eq!(here.last_update(), (6, Some(at(20))));
}

#[test]
fn news_after_a_gap_is_used_and_does_not_count_as_all() {
    let mut teller = table(5);
    let mut here = table(5);
    teller.apply_changes(
        at(10),
        UpstreamListChanges { revision: 6, written: vec![entry(5, info(3, true))], gone: vec![] },
    );
    teller.apply_changes(
        at(11),
        UpstreamListChanges { revision: 8, written: vec![entry(7, info(2, true))], gone: vec![] },
    );
    let changes = teller.changes_since(at(11), 6).expect("nothing was forgotten");
    let (news, lacking) = here.apply_update(at(20), changes, 6, teller.list_version());
    assert_eq!((news, lacking), (vec![id(2)], ListGap::Changes));
    assert_eq!(here.last_update().0, 1, "it has not heard of upstream 3");
    // What it asks for then closes the gap.
    let changes = teller.changes_since(at(30), 1).expect("nothing was forgotten");
    assert_eq!(here.apply_update(at(30), changes, 1, teller.list_version()).1, ListGap::Nothing);
    assert_eq!(here.list_version(), teller.list_version());
}

#[test]
fn a_list_that_is_wrong_in_what_is_old_is_found_out() {
    let mut teller = table(5);
    let mut here = table(4);
    teller.apply_changes(at(10), UpstreamListChanges { revision: 6, ..Default::default() });
    let (_, lacking) =
        here.apply_update(at(20), UpstreamListChanges::default(), 1, teller.list_version());
    assert_eq!(lacking, ListGap::FullList);
}

#[test]
fn entries_that_are_written_anew_and_say_nothing_new_are_not_told() {
    // Upstreams write their entries each second; of 3,000 these would be most of what is told.
    let mut table = table(3);
    let again = vec![entry(8, info(1, false)), entry(9, info(2, true))];
    table.apply_changes(at(10), UpstreamListChanges { revision: 9, written: again, gone: vec![] });
    let changes = table.changes_since(at(20), 1).expect("nothing was forgotten");
    let told: Vec<_> = changes.written.iter().map(|entry| entry.info.id.clone()).collect();
    assert_eq!(told, vec![id(2)]);
}

#[test]
fn who_heard_of_one_upstream_before_any_list_tells_no_difference_that_it_cannot_know() {
    let mut young = UpstreamTable::default();
    let first =
        UpstreamListChanges { written: vec![entry(25, info(1, false))], ..Default::default() };
    young.apply_update(at(0), first, 24, ListVersion { revision: 26, digest: 1 });
    young.apply_list(at(10), list(30, vec![info(1, false), info(2, false)]));
    assert_eq!(young.changes_since(at(20), 20), None);
}

fn started(n: usize, born: u64) -> ListedUpstream {
    ListedUpstream { started_at: Some(born), ..info(n, false) }
}

#[test]
fn an_upstream_that_starts_again_under_its_id_is_taken_for_a_new_one() {
    // Nothing read when an upstream had started: one that crashed and came back under its id was
    // left alone for up to 8 s for failures of the process that was gone, was sent prompts for
    // parts that it had no more, and got requests on connections that led nowhere.
    let mut table = table(0);
    table.apply_list(at(0), list(1, vec![started(1, 1_000), started(2, 1_000)]));
    let chain = [PromptPart { id: 7, tokens: 5000 }, PromptPart { id: 8, tokens: 10 }];
    table.start_request(at(0), &id(1), &chain);
    for _ in 0..4 {
        table.start_request(at(0), &id(1), &[]);
        table.end_request(at(0), &id(1), AttemptOutcome::Failed);
    }
    assert_eq!(chosen(&table, at(1)), BTreeSet::from([id(2)]));
    let same = UpstreamListChanges {
        revision: 2,
        written: vec![entry(2, started(1, 1_000))],
        gone: vec![],
    };
    table.apply_changes(at(2), same);
    assert!(table.take_restarted().is_empty());
    assert_eq!(chosen(&table, at(2)), BTreeSet::from([id(2)]));
    let again = UpstreamListChanges {
        revision: 3,
        written: vec![entry(3, started(1, 5_000))],
        gone: vec![],
    };
    assert_eq!(table.apply_changes(at(3), again), [id(1)]);
    assert_eq!(table.take_restarted(), [id(1)]);
    table.end_request(at(3), &id(1), AttemptOutcome::Unknown);
    assert!(chosen(&table, at(4)).contains(&id(1)), "it rests for failures of another process");
}
