//! How soon a fleet avoids an engine that has turned slow, and comes back to it.

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
/// How often each VM gets a request.
const EVERY_MS: u64 = 200;
/// How long a request waits at an engine that is well, and at the slow one.
const WELL: Duration = Duration::from_millis(40);
const SLOW: Duration = Duration::from_millis(900);

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
    let replicas = (0..ENGINES).map(entry).collect();
    table.apply_list(Time::default(), UpstreamList { revision: 1, entries: replicas });
    table
}

/// Plays a fleet whose first engine is slow in a span; returns how many of 100 requests went
/// there in each second.
fn play(seconds: u64, slow: std::ops::Range<u64>, tell: bool) -> Vec<u64> {
    let mut tables: Vec<_> = (0..VMS).map(|_| new_table()).collect();
    let mut shares = Vec::new();
    let mut draw: u64 = 7;
    // Waits that end later, with the table that they belong to.
    let mut waits: Vec<(u64, usize, UpstreamId, Duration)> = Vec::new();
    for second in 0..seconds {
        let (mut there, mut all) = (0, 0);
        for tenth in 0..10_u64 {
            let ms = second * 1000 + tenth * 100;
            let now = Time::from_millis(ms);
            for (_, vm, engine, span) in waits.extract_if(.., |(at, ..)| *at <= ms) {
                tables[vm].record_first_event_wait(now, &engine, span, 0);
                tables[vm].end_request(now, &engine, AttemptOutcome::Answered);
            }
            for (vm, table) in tables.iter_mut().enumerate() {
                let phase = u64::try_from(vm).expect("few VMs") * 100 % EVERY_MS;
                if (ms + phase).is_multiple_of(EVERY_MS) {
                    draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                    let parts = [PromptPart { id: draw >> 20, tokens: 500 }];
                    let wanted = UpstreamCriteria {
                        service: &service(),
                        route: "chat",
                        parts: &parts,
                        bytes: 0,
                        residency: &EVERYWHERE,
                        tried: &[],
                        resumed_version: None,
                        max_connections: 5,
                        random: draw.rotate_left(17),
                        rendezvous_key: None,
                    };
                    let chosen = table.choose(now, &wanted).expect("there are engines").id;
                    table.start_request(now, &chosen, &parts);
                    let is_slow = chosen == id(0) && slow.contains(&second);
                    let span = if is_slow { SLOW } else { WELL };
                    all += 1;
                    there += u64::from(chosen == id(0));
                    let end = ms + u64::try_from(span.as_millis()).expect("short");
                    waits.push((end, vm, chosen, span));
                }
            }
            // Signs of life go to a few members four times in ten tenths.
            if tell && tenth.is_multiple_of(4) {
                let turn = usize::try_from(second * 10 + tenth).expect("short");
                for from in 0..VMS {
                    let notes = tables[from].delay_reports(now, turn);
                    for step in [1, 2, 4, 8, 16, 32] {
                        tables[(from + step) % VMS].apply_delay_reports(now, &notes);
                    }
                }
            }
        }
        shares.push(there * 100 / all);
    }
    shares
}

#[test]
fn a_fleet_avoids_an_engine_that_turns_slow_within_two_seconds() {
    let alone = play(14, 2..8, false);
    let told = play(14, 2..8, true);
    println!("percent at the slow engine, by second: alone {alone:?}, told {told:?}");
    // Evenly spread it would get 5 in 100.
    let sum = |shares: &[u64]| shares.iter().sum::<u64>();
    assert!(sum(&told[4..8]) <= 4, "{told:?}");
    assert!(sum(&alone[4..8]) >= 2 * sum(&told[4..8]).max(1), "{alone:?} {told:?}");
}

#[test]
fn an_engine_that_is_well_again_is_used_again() {
    let told = play(24, 2..8, true);
    let late: u64 = told[18..24].iter().sum();
    assert!(late >= 12, "{told:?}");
}
