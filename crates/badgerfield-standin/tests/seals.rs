//! Sealed tokens when all processes are killed at once: unspent tokens must be recovered, and
//! tokens spent during an outage of the store must not be spent again.

use std::time::Duration;

use badgerfield_standin::fleet::{End, Fleet, Shape, Wish};

const LIMIT: u64 = 60_000;
const VMS: usize = 6;
/// The demand of [`load`], in tokens per second.
const DEMAND: u64 = 4_000;

fn fleet() -> Fleet {
    let shape = Shape {
        regions: vec![VMS],
        limits: vec![LIMIT],
        spread: 80,
        shards: 1,
        seals: true,
        noise: 0,
        ..Shape::default()
    };
    Fleet::started(shape)
}

fn request() -> Wish {
    Wish { budget: 0, key: None, once: false, service: false, prompt: 60, output: 40 }
}

/// Sends requests at a constant rate, to all VMs in turn.
fn load(fleet: &mut Fleet, requests: usize) {
    for n in 0..requests {
        fleet.ask(n % VMS, request());
        fleet.advance(Duration::from_millis(25));
    }
}

fn restart_all(fleet: &mut Fleet, downtime: Duration) {
    for vm in 0..VMS {
        fleet.kill(vm);
    }
    fleet.advance(downtime);
    fleet.platform.down = false;
    for vm in 0..VMS {
        fleet.start(vm);
    }
    fleet.advance(Duration::from_secs(4));
}

fn served_tokens(fleet: &Fleet) -> u64 {
    fleet.truth.served.values().sum()
}

/// Sends requests until none is served any more.
fn drain(fleet: &mut Fleet) {
    for _ in 0..40 {
        let before = served_tokens(fleet);
        load(fleet, 60);
        fleet.advance(Duration::from_secs(3));
        if served_tokens(fleet) == before {
            return;
        }
    }
}

/// If sealed tokens were not recovered, a crash of all processes would lose all that they hold.
#[test]
fn unspent_sealed_tokens_are_recovered() {
    let mut fleet = fleet();
    load(&mut fleet, 160);
    fleet.advance(Duration::from_secs(1));
    restart_all(&mut fleet, Duration::from_millis(700));
    drain(&mut fleet);
    assert_eq!(fleet.truth.overspend(), 0);
    let lost = LIMIT - served_tokens(&fleet);
    // Lost are the unsealed tokens for the next three seconds and the tokens of running requests.
    // Without seals all tokens held ahead would be lost, which are those for eleven seconds.
    assert!(lost <= 4 * DEMAND, "{lost} of {LIMIT} were lost");
}

/// During an outage seals expire and their tokens are spent. If these were recovered, they would be
/// spent twice.
#[test]
fn tokens_spent_during_an_outage_are_not_recovered() {
    let mut fleet = fleet();
    load(&mut fleet, 160);
    fleet.platform.down = true;
    // Long enough for the seals to expire and their tokens to be spent.
    load(&mut fleet, 400);
    restart_all(&mut fleet, Duration::from_millis(700));
    drain(&mut fleet);
    assert_eq!(fleet.truth.overspend(), 0);
}

/// The age of a seal is known only from the clocks. If they disagree, no sealed tokens may be
/// recovered, since they may have been spent.
#[test]
fn no_tokens_are_recovered_if_clocks_disagree() {
    let mut fleet = fleet();
    load(&mut fleet, 160);
    fleet.platform.down = true;
    load(&mut fleet, 400);
    for vm in 0..VMS {
        // Each clock has a different offset, so no majority agrees.
        let millis = i64::try_from(vm).expect("few VMs") * -20_000;
        fleet.step_clock(vm, millis);
    }
    restart_all(&mut fleet, Duration::from_millis(700));
    drain(&mut fleet);
    assert_eq!(fleet.truth.overspend(), 0);
}

/// If too few tokens were held ahead of demand, requests would be refused before the store is back.
#[test]
fn requests_are_served_during_a_nine_second_outage() {
    let mut fleet = fleet();
    load(&mut fleet, 300);
    fleet.platform.down = true;
    load(&mut fleet, 360);
    fleet.platform.down = false;
    fleet.advance(Duration::from_secs(10));
    let refused = |end: &End| matches!(end, End::Refused(_));
    let ends = fleet.asked.values().filter_map(|asked| asked.end.as_ref());
    let count = ends.filter(|(end, _)| refused(end)).count();
    assert_eq!(count, 0, "requests were refused during the outage");
}

/// A VM that stops during an outage cannot return its tokens to the ledger, so it must send them to
/// other VMs.
#[test]
fn vm_that_stops_during_an_outage_transfers_its_tokens() {
    let mut fleet = fleet();
    load(&mut fleet, 300);
    fleet.advance(Duration::from_secs(1));
    fleet.platform.down = true;
    fleet.advance(Duration::from_secs(1));
    let before = fleet.held(0);
    fleet.stop(0);
    // The platform kills a process eight seconds after the request to stop.
    fleet.advance(Duration::from_millis(7900));
    if fleet.runs(0) {
        fleet.kill(0);
    }
    fleet.advance(Duration::from_secs(1));
    let after = fleet.held(0);
    assert!(before > DEMAND, "{before} tokens were held");
    assert!(after >= before * 95 / 100, "{after} of {before} tokens are left");
}
