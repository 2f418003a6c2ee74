//! How soon a fleet avoids an engine that has become slow, and uses it again after recovery.
//!
//! Each VM sends too few requests to notice a slow engine by itself. Without the delay reports of
//! others, it continues to send a share of its requests there.

use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::{Service, UpstreamId};
use badgerfield_core::residency::EVERYWHERE;
use badgerfield_core::upstream_list::{ListedUpstream, UpstreamEntry, UpstreamList};
use badgerfield_core::upstream_table::{
    AttemptOutcome, PromptPart, UpstreamCriteria, UpstreamTable,
};

const ENGINES: u32 = 20;
const VMS: usize = 60;
/// The time between two requests of a VM.
const REQUEST_INTERVAL_MS: u64 = 200;
/// The wait for the first event at a normal engine and at the slow one.
const NORMAL_WAIT: Duration = Duration::from_millis(40);
const SLOW_WAIT: Duration = Duration::from_millis(900);

fn id(n: u32) -> UpstreamId {
    format!("engine-{n}").parse().expect("a name")
}

fn service() -> Service {
    "engines".parse().expect("a name")
}

fn new_table() -> UpstreamTable {
    let entry = |n: u32| UpstreamEntry {
        revision: 1,
        info: ListedUpstream {
            id: id(n),
            service: service(),
            address: ([127, 0, 0, 1], 9000).into(),
            domain: "d".parse().expect("a name"),
            version: None,
            slots: 32,
            leaving: false,
            started_at: None,
        },
        warm_in: Duration::ZERO,
    };
    let mut table = UpstreamTable::default();
    let entries = (0..ENGINES).map(entry).collect();
    table.apply_list(Time::default(), UpstreamList { revision: 1, entries });
    table
}

/// Simulates a fleet whose first engine is slow for some seconds; returns the percentage of
/// requests sent to this engine in each second.
fn simulate(seconds: u64, slow: std::ops::Range<u64>, send_reports: bool) -> Vec<u64> {
    let mut tables: Vec<_> = (0..VMS).map(|_| new_table()).collect();
    let mut shares = Vec::new();
    let mut random: u64 = 7;
    // Requests in flight: their end in milliseconds, VM, engine and wait.
    let mut in_flight: Vec<(u64, usize, UpstreamId, Duration)> = Vec::new();
    for second in 0..seconds {
        let (mut slow_count, mut total) = (0, 0);
        for tenth in 0..10_u64 {
            let ms = second * 1000 + tenth * 100;
            let now = Time::from_millis(ms);
            for (_, vm, engine, wait) in in_flight.extract_if(.., |(at, ..)| *at <= ms) {
                tables[vm].record_first_event_wait(now, &engine, wait, 0);
                tables[vm].end_request(now, &engine, AttemptOutcome::Answered);
            }
            for (vm, table) in tables.iter_mut().enumerate() {
                let phase = u64::try_from(vm).expect("few VMs") * 100 % REQUEST_INTERVAL_MS;
                if (ms + phase).is_multiple_of(REQUEST_INTERVAL_MS) {
                    random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                    let parts = [PromptPart { id: random >> 20, tokens: 500 }];
                    let criteria = UpstreamCriteria {
                        service: &service(),
                        route: "chat",
                        parts: &parts,
                        bytes: 0,
                        residency: &EVERYWHERE,
                        tried: &[],
                        bound_version: None,
                        is_resumable: false,
                        max_connections: 5,
                        random: random.rotate_left(17),
                        rendezvous_key: None,
                    };
                    let chosen = table.choose(now, &criteria).expect("there are engines").id;
                    table.start_request(now, &chosen, &parts);
                    let is_slow = chosen == id(0) && slow.contains(&second);
                    let wait = if is_slow { SLOW_WAIT } else { NORMAL_WAIT };
                    total += 1;
                    slow_count += u64::from(chosen == id(0));
                    let end = ms + u64::try_from(wait.as_millis()).expect("short");
                    in_flight.push((end, vm, chosen, wait));
                }
            }
            // Each VM sends heartbeats to a few others three times a second.
            if send_reports && tenth.is_multiple_of(4) {
                let round = usize::try_from(second * 10 + tenth).expect("short");
                for from in 0..VMS {
                    let reports = tables[from].delay_reports(now, round);
                    for step in [1, 2, 4, 8, 16, 32] {
                        tables[(from + step) % VMS].apply_delay_reports(now, &reports);
                    }
                }
            }
        }
        shares.push(slow_count * 100 / total);
    }
    shares
}

#[test]
fn a_fleet_avoids_an_engine_that_becomes_slow_within_two_seconds() {
    let without_reports = simulate(14, 2..8, false);
    let with_reports = simulate(14, 2..8, true);
    println!(
        "percent at the slow engine by second: {without_reports:?} without reports, \
         {with_reports:?} with reports"
    );
    // With an even distribution, the engine would get 5 of 100 requests.
    let sum = |shares: &[u64]| shares.iter().sum::<u64>();
    assert!(sum(&with_reports[4..8]) <= 4, "{with_reports:?}");
    assert!(
        sum(&without_reports[4..8]) >= 2 * sum(&with_reports[4..8]).max(1),
        "{without_reports:?} {with_reports:?}"
    );
}

/// Nobody would observe the recovery of an engine that all processes avoid, if the reported delay
/// did not decay.
#[test]
fn an_engine_is_used_again_after_recovery() {
    let with_reports = simulate(24, 2..8, true);
    let late: u64 = with_reports[18..24].iter().sum();
    assert!(late >= 12, "{with_reports:?}");
}
