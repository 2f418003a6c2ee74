//! What cold upstreams get: from each process, and from all of a fleet together.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::evacuation::DomainChange;
use badgerfield_core::ids::{Service, UpstreamId, VmId};
use badgerfield_core::residency::EVERYWHERE;
use badgerfield_core::upstream_list::{
    ListedUpstream, UpstreamEntry, UpstreamList, UpstreamListChanges,
};
use badgerfield_core::upstream_table::{UpstreamCriteria, UpstreamTable};
use badgerfield_core::warm_up::{SenderShare, Senders, WarmUp, WarmUpBound};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A bound such as that of the users' sheets: 9.9 * 1.5 + 5 = 19.85 requests a second.
const BOUND: WarmUpBound = WarmUpBound { overshoot: 1.5, extra_requests: 5.0 };
const SENDERS: usize = 3;

fn warm_up() -> WarmUp {
    WarmUp { span: Duration::from_secs(3), interval: Duration::from_secs_f64(1.0 / 9.9) }
}

fn service() -> Service {
    "pool".parse().expect("the name is valid")
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn entry(n: u32, revision: u64, warm_in: u64) -> UpstreamEntry {
    let info = ListedUpstream {
        id: format!("u-{n}").parse().expect("the name is valid"),
        service: service(),
        address: ([10, 0, 0, 1], 80).into(),
        domain: format!("d-{}", n % 3).parse().expect("the name is valid"),
        version: None,
        slots: 48,
        leaving: false,
        started_at: None,
    };
    UpstreamEntry { revision, info, warm_in: Duration::from_millis(warm_in) }
}

fn vm(n: usize) -> VmId {
    format!("vm-{n}").parse().expect("the name is valid")
}

/// Returns the table of one of several VMs.
fn table(me: usize, vms: usize, replicas: Vec<UpstreamEntry>) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    table.set_warm_up_bound(Some(BOUND), SENDERS);
    table.set_warm_ups(BTreeMap::from([(service(), warm_up())]));
    view(&mut table, at(0), me, vms);
    table.apply_list(at(0), UpstreamList { revision: 1, entries: replicas });
    table
}

/// Lets a table know a view of the first so many VMs.
fn view(table: &mut UpstreamTable, now: Time, me: usize, vms: usize) {
    let members: Vec<_> = (0..vms).map(vm).collect();
    table.set_senders(now, Senders::new(&vm(me), &members));
}

/// Sends a request, if the table has an upstream for it.
fn send(table: &mut UpstreamTable, now: Time, draw: u64) -> Option<UpstreamId> {
    let service = service();
    let wanted = UpstreamCriteria {
        service: &service,
        route: "r",
        parts: &[],
        bytes: 0,
        residency: &EVERYWHERE,
        tried: &[],
        resumed_version: None,
        max_connections: 100,
        random: draw,
        rendezvous_key: None,
    };
    let id = table.choose(now, &wanted)?.id;
    table.start_request(now, &id, &[]);
    Some(id)
}

/// Returns the most that was sent in any second.
fn most_in_a_second(sent: &[u64]) -> usize {
    let mut sent = sent.to_vec();
    sent.sort_unstable();
    let within =
        |(n, from): (usize, &u64)| sent[n..].iter().take_while(|t| **t < from + 1000).count();
    sent.iter().enumerate().map(within).max().unwrap_or(0)
}

#[test]
fn the_parts_of_two_views_fit_into_the_bound() {
    for rate in [0.5, 2.0, 9.9, 100.0] {
        let warm_up = WarmUp { interval: Duration::from_secs_f64(1.0 / rate), ..warm_up() };
        for senders in 1..10_u32 {
            let count = usize::try_from(senders).expect("small");
            let Some(share) = SenderShare::of(&warm_up, &BOUND, count) else {
                continue;
            };
            let all = 2.0 * f64::from(senders) * (1.0 + share.rate);
            assert!(all <= BOUND.max_rate(&warm_up) + 1e-6, "{rate} {senders}: {all}");
            assert!(share.rate * f64::from(senders) <= rate + 1e-6);
        }
    }
    assert_eq!(SenderShare::of(&warm_up(), &BOUND, 0), None);
}

#[test]
fn a_cold_upstream_gets_little_from_a_fleet_that_wants_to_send_much() {
    // Seen as FAILBACK: those that came back were loaded like warm ones.
    for vms in [1, 3, 6, 87] {
        let entries = || vec![entry(1, 1, 3000), entry(2, 1, 0)];
        let mut fleet: Vec<_> = (0..vms).map(|me| table(me, vms, entries())).collect();
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut sent = Vec::new();
        for millis in 0..2900 {
            let table = &mut fleet[rng.random_range(0..vms)];
            let chosen = send(table, at(millis), rng.random());
            sent.extend(chosen.filter(|id| id.as_str() == "u-1").map(|_| millis));
        }
        let most = most_in_a_second(&sent);
        assert!(most <= 10, "{vms} VMs: {most} in a second");
        assert!(!sent.is_empty(), "{vms} VMs: nothing was sent");
    }
}

#[test]
fn the_bound_holds_while_the_view_changes_all_the_time() {
    let vms = 40;
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let entries = || vec![entry(1, 1, 60_000)];
        let mut fleet: Vec<_> = (0..vms).map(|me| table(me, vms, entries())).collect();
        // Views come a second apart and reach each VM up to 0.9 s late.
        let mut news: Vec<(u64, usize, usize)> = Vec::new();
        for turn in 1..10 {
            let members = rng.random_range(2..=vms);
            news.extend((0..vms).map(|me| (turn * 1000 + rng.random_range(0..900), me, members)));
        }
        let mut sent = Vec::new();
        for millis in 0..10_000 {
            for (_, me, members) in news.iter().filter(|(when, ..)| *when == millis) {
                view(&mut fleet[*me], at(millis), *me, *members);
            }
            for table in &mut fleet {
                sent.extend(send(table, at(millis), millis).map(|_| millis));
            }
        }
        let most = most_in_a_second(&sent);
        assert!(most <= 19, "seed {seed}: {most} in a second");
    }
}

#[test]
fn who_is_in_no_view_leaves_cold_upstreams_alone() {
    let mut table = table(0, 3, vec![entry(1, 1, 3000)]);
    table.set_senders(at(0), Senders::default());
    assert_eq!(send(&mut table, at(1000), 1), None);
    assert_eq!(table.time_until_warm(at(1000), &service()), Some(Duration::from_millis(2000)));
    assert!(send(&mut table, at(3001), 1).is_some(), "it is warm");
}

#[test]
fn an_upstream_may_turn_cold_and_warm_at_any_moment() {
    let mut table = table(0, 1, vec![entry(1, 1, 0)]);
    assert!(send(&mut table, at(0), 1).is_some());
    let change = |revision, warm_in| UpstreamListChanges {
        revision,
        written: vec![entry(1, revision, warm_in)],
        gone: Vec::new(),
    };
    assert_eq!(table.apply_changes(at(100), change(2, 2000)).len(), 1, "turning cold is news");
    assert_eq!(send(&mut table, at(100), 1), None);
    assert_eq!(
        table.apply_changes(at(1300), change(3, 800)),
        Vec::new(),
        "that it still is, is none"
    );
    // The same entry read once more does not make it cold for longer.
    table.apply_list(at(2000), UpstreamList { revision: 4, entries: vec![entry(1, 3, 800)] });
    assert_eq!(table.time_until_warm(at(2000), &service()), Some(Duration::from_millis(100)));
    assert_eq!(
        table.apply_changes(at(2050), change(5, 0)).len(),
        1,
        "that it is warm again is news"
    );
    assert!(send(&mut table, at(2050), 1).is_some());
    assert!(send(&mut table, at(2051), 1).is_some());
}

#[test]
fn others_learn_how_long_an_upstream_stays_cold() {
    let mut here = table(0, 87, vec![entry(1, 1, 0)]);
    let mut there = table(1, 87, vec![entry(1, 1, 0)]);
    let written = vec![entry(1, 2, 3000)];
    let news =
        here.apply_changes(at(0), UpstreamListChanges { revision: 2, written, gone: Vec::new() });
    there.apply_changes(at(700), here.changes_of(at(700), &news));
    assert_eq!(there.time_until_warm(at(700), &service()), Some(Duration::from_millis(2300)));
}

fn evacuation(domain: u32, revision: u64, evacuated: bool) -> DomainChange {
    let domain = format!("d-{domain}").parse().expect("the name is valid");
    DomainChange { domain, revision, evacuated }
}

#[test]
fn an_evacuated_domain_gets_nothing_and_comes_back_slowly() {
    let mut table = table(0, 1, (0..6).map(|n| entry(n, 1, 0)).collect());
    let concerned = table.apply_evacuations(at(0), &[evacuation(1, 9, true)]);
    assert_eq!(concerned.len(), 2);
    for draw in 0..300 {
        let id = send(&mut table, at(10), draw).expect("others serve");
        assert!(!concerned.contains(&id), "{id} was sent to");
        table.end_request(at(10), &id, badgerfield_core::upstream_table::AttemptOutcome::Answered);
    }
    // One that starts there meanwhile gets nothing either.
    let written = vec![entry(7, 10, 0)];
    table.apply_changes(at(20), UpstreamListChanges { revision: 10, written, gone: Vec::new() });
    assert_eq!(table.restricted_counts(at(20)), (3, 0));
    table.apply_evacuations(at(100), &[evacuation(1, 12, false)]);
    assert_eq!(table.restricted_counts(at(100)), (0, 3), "they count as cold");
    let mut back = 0;
    for draw in 0..300 {
        let id = send(&mut table, at(101 + draw * 5), draw * 7919).expect("others serve");
        back += usize::from(["u-1", "u-4", "u-7"].contains(&id.as_str()));
    }
    assert!((3..=12).contains(&back), "{back} of 300 requests went to cold upstreams");
}

#[test]
fn all_domains_evacuated_leave_nobody() {
    let mut table = table(0, 1, (0..6).map(|n| entry(n, 1, 0)).collect());
    let all: Vec<_> = (0..3).map(|n| evacuation(n, 9, true)).collect();
    table.apply_evacuations(at(0), &all);
    assert_eq!(send(&mut table, at(10), 1), None);
    assert_eq!(table.time_until_warm(at(10), &service()), None, "nobody knows when");
}

#[test]
fn nothing_is_spared_where_the_platform_sets_no_bound() {
    let mut table = table(0, 87, vec![entry(1, 1, 3000)]);
    table.set_warm_up_bound(None, SENDERS);
    assert!(send(&mut table, at(0), 1).is_some());
    assert!(send(&mut table, at(1), 1).is_some());
}

#[test]
fn who_becomes_a_sender_waits_until_the_former_ones_have_learned_of_it() {
    let cold = || vec![entry(1, 1, 60_000)];
    let is_sender = |me: &usize| send(&mut table(*me, 40, cold()), at(5_000), 1).is_some();
    let other = (0..40).find(|me| !is_sender(me)).expect("most are no senders");
    let mut table = table(other, 40, cold());
    // The next view has this VM alone.
    let alone = [vm(other)];
    table.set_senders(at(10_000), Senders::new(&vm(other), &alone));
    let first = (10_000..13_000).find(|millis| send(&mut table, at(*millis), 1).is_some());
    let waited = first.expect("it is a sender now") - 10_000;
    assert!(waited >= 1_300, "it sent after {waited} ms");
}
