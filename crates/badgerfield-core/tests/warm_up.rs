//! The requests to cold upstreams: from each process and from the whole fleet.

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

/// A bound as in the deployments this is built for: 9.9 * 1.5 + 5 = 19.85 requests a second.
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

/// Returns the table of VM `me` in a view of the first `vms` VMs.
fn table(me: usize, vms: usize, entries: Vec<UpstreamEntry>) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    table.set_warm_up_bound(Some(BOUND), SENDERS);
    table.set_warm_ups(BTreeMap::from([(service(), warm_up())]));
    set_view(&mut table, at(0), me, vms);
    table.apply_list(at(0), UpstreamList { revision: 1, entries });
    table
}

/// Sets a table's senders to those of a view of the first `vms` VMs.
fn set_view(table: &mut UpstreamTable, now: Time, me: usize, vms: usize) {
    let members: Vec<_> = (0..vms).map(vm).collect();
    table.set_senders(now, Senders::new(&vm(me), &members));
}

/// Sends a request if the table has an available upstream for it.
fn send(table: &mut UpstreamTable, now: Time, random: u64) -> Option<UpstreamId> {
    let service = service();
    let criteria = UpstreamCriteria {
        service: &service,
        route: "r",
        parts: &[],
        bytes: 0,
        residency: &EVERYWHERE,
        tried: &[],
        bound_version: None,
        is_resumable: false,
        max_connections: 100,
        random,
        rendezvous_key: None,
    };
    let id = table.choose(now, &criteria)?.id;
    table.start_request(now, &id, &[]);
    Some(id)
}

/// Returns the largest number of requests in any second, from their times in milliseconds.
fn max_per_second(sent: &[u64]) -> usize {
    let mut sent = sent.to_vec();
    sent.sort_unstable();
    let within =
        |(n, from): (usize, &u64)| sent[n..].iter().take_while(|t| **t < from + 1000).count();
    sent.iter().enumerate().map(within).max().unwrap_or(0)
}

/// During a view change, the senders of two views may send.
#[test]
fn shares_of_two_views_stay_within_the_bound() {
    for rate in [0.5, 2.0, 9.9, 100.0] {
        let warm_up = WarmUp { interval: Duration::from_secs_f64(1.0 / rate), ..warm_up() };
        for senders in 1..10_u32 {
            let count = usize::try_from(senders).expect("small");
            let Some(share) = SenderShare::new(&warm_up, &BOUND, count) else {
                continue;
            };
            let total = 2.0 * f64::from(senders) * (1.0 + share.rate);
            assert!(total <= BOUND.max_rate(&warm_up) + 1e-6, "{rate} {senders}: {total}");
            assert!(share.rate * f64::from(senders) <= rate + 1e-6);
        }
    }
    assert_eq!(SenderShare::new(&warm_up(), &BOUND, 0), None);
}

/// Observed when an evacuated failure domain was restored: its cold upstreams received as many
/// requests as warm ones.
#[test]
fn a_cold_upstream_gets_few_requests_under_high_load() {
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
        let max = max_per_second(&sent);
        assert!(max <= 10, "{vms} VMs: {max} in a second");
        assert!(!sent.is_empty(), "{vms} VMs: nothing was sent");
    }
}

/// VMs receive a view at different times, so the senders of an old view may send together with
/// those of a new one.
#[test]
fn the_bound_holds_during_constant_view_changes() {
    let vms = 40;
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let entries = || vec![entry(1, 1, 60_000)];
        let mut fleet: Vec<_> = (0..vms).map(|me| table(me, vms, entries())).collect();
        // There is a new view every second, and it reaches each VM up to 0.9 s late.
        let mut views: Vec<(u64, usize, usize)> = Vec::new();
        for second in 1..10 {
            let members = rng.random_range(2..=vms);
            views
                .extend((0..vms).map(|me| (second * 1000 + rng.random_range(0..900), me, members)));
        }
        let mut sent = Vec::new();
        for millis in 0..10_000 {
            for (_, me, members) in views.iter().filter(|(when, ..)| *when == millis) {
                set_view(&mut fleet[*me], at(millis), *me, *members);
            }
            for table in &mut fleet {
                sent.extend(send(table, at(millis), millis).map(|_| millis));
            }
        }
        let max = max_per_second(&sent);
        assert!(max <= 19, "seed {seed}: {max} in a second");
    }
}

/// A process outside the view has no rank among the senders.
#[test]
fn a_process_outside_the_view_sends_nothing_to_cold_upstreams() {
    let mut table = table(0, 3, vec![entry(1, 1, 3000)]);
    table.set_senders(at(0), Senders::default());
    assert_eq!(send(&mut table, at(1000), 1), None);
    assert_eq!(table.time_until_warm(at(1000), &service()), Some(Duration::from_millis(2000)));
    assert!(send(&mut table, at(3001), 1).is_some(), "it is warm");
}

#[test]
fn an_upstream_may_become_cold_or_warm_at_any_time() {
    let mut table = table(0, 1, vec![entry(1, 1, 0)]);
    assert!(send(&mut table, at(0), 1).is_some());
    let change = |revision, warm_in| UpstreamListChanges {
        revision,
        written: vec![entry(1, revision, warm_in)],
        gone: Vec::new(),
    };
    assert_eq!(table.apply_changes(at(100), change(2, 2000)).len(), 1, "becoming cold is a change");
    assert_eq!(send(&mut table, at(100), 1), None);
    assert_eq!(
        table.apply_changes(at(1300), change(3, 800)),
        Vec::new(),
        "staying cold is no change"
    );
    // Reading the same entry again does not extend the cold phase.
    table.apply_list(at(2000), UpstreamList { revision: 4, entries: vec![entry(1, 3, 800)] });
    assert_eq!(table.time_until_warm(at(2000), &service()), Some(Duration::from_millis(100)));
    assert_eq!(table.apply_changes(at(2050), change(5, 0)).len(), 1, "becoming warm is a change");
    assert!(send(&mut table, at(2050), 1).is_some());
    assert!(send(&mut table, at(2051), 1).is_some());
}

/// The cold phase must end at the same time at all processes, however late the update arrives.
#[test]
fn updates_contain_the_remaining_cold_time() {
    let mut sender = table(0, 87, vec![entry(1, 1, 0)]);
    let mut receiver = table(1, 87, vec![entry(1, 1, 0)]);
    let written = vec![entry(1, 2, 3000)];
    let changed =
        sender.apply_changes(at(0), UpstreamListChanges { revision: 2, written, gone: Vec::new() });
    receiver.apply_changes(at(700), sender.changes_of(at(700), &changed));
    assert_eq!(receiver.time_until_warm(at(700), &service()), Some(Duration::from_millis(2300)));
}

fn evacuation(domain: u32, revision: u64, evacuated: bool) -> DomainChange {
    let domain = format!("d-{domain}").parse().expect("the name is valid");
    DomainChange { domain, revision, evacuated }
}

/// The upstreams of a restored failure domain are cold and fail under full load.
#[test]
fn an_evacuated_domain_gets_no_requests_and_few_after_the_restore() {
    let mut table = table(0, 1, (0..6).map(|n| entry(n, 1, 0)).collect());
    let affected = table.apply_evacuations(at(0), &[evacuation(1, 9, true)]);
    assert_eq!(affected.len(), 2);
    for random in 0..300 {
        let id = send(&mut table, at(10), random).expect("others serve");
        assert!(!affected.contains(&id), "{id} received a request");
        table.end_request(at(10), &id, badgerfield_core::upstream_table::AttemptOutcome::Answered);
    }
    // An upstream that starts in the domain meanwhile receives no requests either.
    let written = vec![entry(7, 10, 0)];
    table.apply_changes(at(20), UpstreamListChanges { revision: 10, written, gone: Vec::new() });
    assert_eq!(table.restricted_counts(at(20)), (3, 0));
    table.apply_evacuations(at(100), &[evacuation(1, 12, false)]);
    assert_eq!(table.restricted_counts(at(100)), (0, 3), "the restored upstreams count as cold");
    let mut restored_count = 0;
    for random in 0..300 {
        let id = send(&mut table, at(101 + random * 5), random * 7919).expect("others serve");
        restored_count += usize::from(["u-1", "u-4", "u-7"].contains(&id.as_str()));
    }
    assert!(
        (3..=12).contains(&restored_count),
        "{restored_count} of 300 requests went to cold upstreams"
    );
}

#[test]
fn no_upstream_is_available_with_all_domains_evacuated() {
    let mut table = table(0, 1, (0..6).map(|n| entry(n, 1, 0)).collect());
    let all: Vec<_> = (0..3).map(|n| evacuation(n, 9, true)).collect();
    table.apply_evacuations(at(0), &all);
    assert_eq!(send(&mut table, at(10), 1), None);
    assert_eq!(
        table.time_until_warm(at(10), &service()),
        None,
        "the time of the restore is unknown"
    );
}

#[test]
fn cold_upstreams_are_not_limited_without_a_bound() {
    let mut table = table(0, 87, vec![entry(1, 1, 3000)]);
    table.set_warm_up_bound(None, SENDERS);
    assert!(send(&mut table, at(0), 1).is_some());
    assert!(send(&mut table, at(1), 1).is_some());
}

/// A new sender that sends at once may send together with senders that have not yet received
/// the view.
#[test]
fn a_new_sender_waits_until_former_senders_have_received_the_view() {
    let cold = || vec![entry(1, 1, 60_000)];
    let is_sender = |me: &usize| send(&mut table(*me, 40, cold()), at(5_000), 1).is_some();
    let new_sender = (0..40).find(|me| !is_sender(me)).expect("most VMs are no senders");
    let mut table = table(new_sender, 40, cold());
    // The next view contains only this VM.
    let members = [vm(new_sender)];
    table.set_senders(at(10_000), Senders::new(&vm(new_sender), &members));
    let first = (10_000..13_000).find(|millis| send(&mut table, at(*millis), 1).is_some());
    let waited = first.expect("it is a sender now") - 10_000;
    assert!(waited >= 1_300, "it sent after {waited} ms");
}
