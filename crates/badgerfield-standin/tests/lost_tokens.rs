//! Bounds on the tokens that are lost when processes end, for several ways to end.

use std::time::Duration;

use badgerfield_standin::fleet::{Balance, End, Fleet, FleetConfig, RequestSpec};

const VMS: usize = 60;
/// The most that one request can cost, in tokens.
const REQUEST_COST: u64 = 100;
/// The demand for each budget, in tokens per second.
const DEMAND: u64 = 50 * REQUEST_COST;
/// The limit of each budget, in tokens: 24 s of demand.
const LIMIT: u64 = 24 * DEMAND;
/// The time after which a stopping process is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(3);
/// The VM that receives all requests for the first budget.
const BUSY_VM: usize = 3;
/// The VMs that can reach the store when most cannot.
const VMS_WITH_STORE: [usize; 8] = [1, 9, 17, 25, 33, 41, 49, 57];

/// The seeds with which each test runs.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=5;

fn fleet(seed: u64) -> Fleet {
    Fleet::started(FleetConfig {
        regions: vec![VMS / 2; 2],
        domains: 3,
        limits: vec![LIMIT; 2],
        spread: 50,
        routes: 0,
        shards: 1,
        engines: 12,
        seals: true,
        noise_permille: 0,
        unordered_incarnations: false,
        seed,
    })
}

/// Sends requests for some seconds: for the first budget to one VM, for the second to all in turn.
fn load(fleet: &mut Fleet, seconds: f64) {
    let until = fleet.now.after(Duration::from_secs_f64(seconds));
    let mut round = fleet.requests.len();
    while fleet.now < until {
        for (budget, vm) in [(0, BUSY_VM), (1, round * 7 % VMS)] {
            if fleet.is_running(vm) {
                let (prompt, output) = (60, 40);
                fleet.send_request(
                    vm,
                    RequestSpec {
                        budget,
                        key: None,
                        at_most_once: false,
                        service: false,
                        prompt,
                        output,
                    },
                );
            }
        }
        round += 1;
        fleet.advance(Duration::from_millis(20));
    }
}

/// Waits until no request runs, and returns the balance of a budget.
///
/// Checks that no more tokens are lost than ended processes held, plus those sent to them later.
fn settled_balance(fleet: &mut Fleet, budget: usize) -> Balance {
    fleet.advance(Duration::from_secs(3));
    let balance = fleet.balance(budget);
    let held: u64 = fleet.ended_processes().iter().map(|process| process.tokens[budget]).sum();
    assert_eq!(fleet.truth.overspend(), 0);
    let sent = fleet.sent_to_ended_processes(budget);
    let ended = fleet.ended_processes();
    assert!(balance.lost <= held + sent, "{balance}: ended {ended:?}, and were sent {sent}");
    balance
}

/// Returns the VM that holds the most tokens of a budget.
fn largest_holder(fleet: &Fleet, budget: usize) -> usize {
    let held = |vm: &usize| {
        let balance = fleet.node(*vm).map(|node| node.balance(&Fleet::budget(budget)));
        balance.map_or(0, |b| b.free.0 + b.sealed.0)
    };
    (0..VMS).max_by_key(held).expect("a fleet has VMs")
}

fn cut_off_most(fleet: &mut Fleet) {
    fleet.store.partitioned_vms = (0..VMS).filter(|vm| !VMS_WITH_STORE.contains(vm)).collect();
}

fn refused_count(fleet: &Fleet, budget: usize) -> usize {
    let requests = fleet.requests.values().filter(|request| request.spec.budget == budget);
    requests.filter(|request| matches!(request.end, Some((End::Refused(_), _)))).count()
}

/// Kills one VM during an outage of the store. Returns the balance after the VM has restarted.
fn kill_one_during_outage(fleet: &mut Fleet) -> Balance {
    load(fleet, 3.1);
    fleet.store.down = true;
    load(fleet, 1.1);
    let vm = largest_holder(fleet, 0);
    fleet.kill(vm);
    load(fleet, 2.2);
    fleet.store.down = false;
    load(fleet, 1.1);
    fleet.start(vm);
    settled_balance(fleet, 0)
}

/// Stops and restarts VMs one after the other. Those that take longer than [`STOP_TIMEOUT`] are
/// killed.
fn stop_in_turn(fleet: &mut Fleet, vms: &[usize]) {
    for vm in vms {
        fleet.stop(*vm);
        load(fleet, STOP_TIMEOUT.as_secs_f64());
        if fleet.is_running(*vm) {
            fleet.kill(*vm);
        }
        fleet.start(*vm);
    }
}

/// Returns the VMs that hold more than half a second's demand of a budget, in descending order of
/// their tokens, without [`BUSY_VM`].
fn holders(fleet: &Fleet, budget: usize) -> Vec<usize> {
    let held = |vm: usize| {
        let balance = fleet.node(vm).map(|node| node.balance(&Fleet::budget(budget)));
        balance.map_or(0, |b| b.free.0 + b.sealed.0)
    };
    let mut holders: Vec<_> =
        (0..VMS).filter(|vm| *vm != BUSY_VM && held(*vm) > DEMAND / 2).collect();
    holders.sort_by_key(|vm| std::cmp::Reverse(held(*vm)));
    holders
}

/// If all lenders of a budget were in one failure domain, the loss of this domain would leave no
/// lender.
#[test]
fn lenders_are_in_different_failure_domains() {
    let mut fleet = fleet(1);
    load(&mut fleet, 6.0);
    let ledger = fleet.store.ledger(0);
    let holders = &ledger.budgets[&Fleet::budget(1)].holders;
    let holds = |vm: &usize| {
        let id = fleet.node(*vm).map(badgerfield_core::Node::id);
        id.and_then(|id| holders.get(&id)).is_some_and(|holder| holder.held.0 > 0)
    };
    let lenders: Vec<_> = (0..VMS).filter(holds).collect();
    let domains: std::collections::BTreeSet<_> =
        lenders.iter().map(|vm| (fleet.region_of(*vm), vm % 3)).collect();
    // Each region has three holders, each in a different domain.
    assert_eq!((lenders.len(), domains.len()), (6, 6), "{lenders:?}");
}

/// During an outage the ledger cannot record what a killed VM held. Its witness must report the
/// unspent tokens afterwards, or they are lost.
#[test]
fn vm_killed_during_an_outage_loses_few_tokens() {
    for seed in SEEDS {
        let mut fleet = fleet(seed);
        let balance = kill_one_during_outage(&mut fleet);
        println!("one: {balance}");
        assert!(balance.lost <= DEMAND, "seed {seed}: {balance}");
    }
}

/// A stopping VM that cannot reach the store must send its tokens to other VMs in time.
#[test]
fn stop_without_access_to_the_store_loses_few_tokens() {
    for seed in SEEDS {
        let mut fleet = fleet(seed);
        load(&mut fleet, 4.0);
        cut_off_most(&mut fleet);
        load(&mut fleet, 1.0);
        let stopping = holders(&fleet, 0);
        stop_in_turn(&mut fleet, &stopping);
        fleet.store.partitioned_vms.clear();
        for budget in 0..2 {
            let balance = settled_balance(&mut fleet, budget);
            println!("stop {stopping:?}: {balance}");
            assert!(balance.lost <= DEMAND / 2, "seed {seed}: {balance}");
        }
    }
}

/// When all processes are killed at once, only unsealed tokens may be lost.
#[test]
fn killing_all_processes_loses_only_unsealed_tokens() {
    for seed in SEEDS {
        let mut fleet = fleet(seed);
        load(&mut fleet, 6.0);
        for vm in 0..VMS {
            fleet.kill(vm);
        }
        fleet.advance(Duration::from_millis(700));
        for vm in 0..VMS {
            fleet.start(vm);
        }
        fleet.advance(Duration::from_secs(4));
        // Each VM holds prefetched tokens of a budget that is used at all VMs.
        for (budget, bound) in [(0, 3 * DEMAND), (1, 4 * DEMAND)] {
            let balance = settled_balance(&mut fleet, budget);
            println!("all: {balance}");
            assert!(balance.lost <= bound, "seed {seed}: {balance}");
        }
    }
}

/// If too few tokens were held ahead of the demand at one VM, its requests would be refused during
/// an outage of the store.
#[test]
fn requests_to_one_vm_are_served_during_a_nine_second_outage() {
    for seed in SEEDS {
        let mut fleet = fleet(seed);
        load(&mut fleet, 6.0);
        let before = refused_count(&fleet, 0);
        fleet.store.down = true;
        load(&mut fleet, 9.0);
        fleet.store.down = false;
        fleet.advance(Duration::from_secs(3));
        let count = refused_count(&fleet, 0) - before;
        println!("outage: {count}");
        assert!(count <= 9, "seed {seed}: {count} of 450 refused");
    }
}
