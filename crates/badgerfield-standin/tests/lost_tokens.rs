//! Tokens that are lost with the processes that hold them, by which kind of death.

use std::time::Duration;

use badgerfield_standin::fleet::{Balance, End, Fleet, Shape, Wish};

const VMS: usize = 60;
/// What one request can cost, in tokens.
const COST: u64 = 100;
/// What is asked for of each budget in a second, in tokens.
const DEMAND: u64 = 50 * COST;
/// What each budget may spend, in tokens: 24 s of demand.
const LIMIT: u64 = 24 * DEMAND;
/// How long a process that is asked to stop may take.
const GRACE: Duration = Duration::from_secs(3);
/// The VM to which the account of the first budget keeps.
const HOT: usize = 3;
/// The VMs that still reach the store when most are cut off from it.
const REACHING: [usize; 8] = [1, 9, 17, 25, 33, 41, 49, 57];

/// Plays of each test, which differ in all that is random.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=5;

fn fleet(seed: u64) -> Fleet {
    Fleet::started(Shape {
        regions: vec![VMS / 2; 2],
        domains: 3,
        limits: vec![LIMIT; 2],
        spread: 50,
        shards: 1,
        engines: 12,
        seals: true,
        noise: 0,
        seed,
    })
}

/// Plays for some seconds: the first budget at one VM, the second at all in turn.
fn play(fleet: &mut Fleet, seconds: f64) {
    let until = fleet.now.after(Duration::from_secs_f64(seconds));
    let mut turn = fleet.asked.len();
    while fleet.now < until {
        for (budget, vm) in [(0, HOT), (1, turn * 7 % VMS)] {
            if fleet.runs(vm) {
                let (prompt, output) = (60, 40);
                fleet.ask(
                    vm,
                    Wish { budget, key: None, once: false, service: false, prompt, output },
                );
            }
        }
        turn += 1;
        fleet.advance(Duration::from_millis(20));
    }
}

/// Waits until nothing runs, and reckons where the tokens of a budget are.
///
/// Checks that no more is in nobody's hands than processes that ended had or were sent.
fn balance(fleet: &mut Fleet, budget: usize) -> Balance {
    fleet.advance(Duration::from_secs(3));
    let balance = fleet.balance(budget);
    let had: u64 = fleet.deaths().iter().map(|death| death.had[budget]).sum();
    assert_eq!(fleet.truth.overspend(), 0);
    let sent = fleet.sent_to_dead(budget);
    let deaths = fleet.deaths();
    assert!(balance.lost <= had + sent, "{balance}: ended {deaths:?}, and were sent {sent}");
    balance
}

/// Returns the VM that holds most of a budget.
fn richest(fleet: &Fleet, budget: usize) -> usize {
    let held = |vm: &usize| {
        let figures = fleet.node(*vm).map(|node| node.balance(&Fleet::budget(budget)));
        figures.map_or(0, |f| f.free.0 + f.sealed.0)
    };
    (0..VMS).max_by_key(held).expect("a fleet has VMs")
}

fn cut_most(fleet: &mut Fleet) {
    fleet.platform.cut_vms = (0..VMS).filter(|vm| !REACHING.contains(vm)).collect();
}

fn refused(fleet: &Fleet, budget: usize) -> usize {
    let asked = fleet.asked.values().filter(|asked| asked.wish.budget == budget);
    asked.filter(|asked| matches!(asked.end, Some((End::Refused(_), _)))).count()
}

/// Loses the power of one VM while the store is away; returns what is lost then.
fn lose_one(fleet: &mut Fleet) -> Balance {
    play(fleet, 3.1);
    fleet.platform.down = true;
    play(fleet, 1.1);
    let vm = richest(fleet, 0);
    fleet.kill(vm);
    play(fleet, 2.2);
    fleet.platform.down = false;
    play(fleet, 1.1);
    fleet.start(vm);
    balance(fleet, 0)
}

/// Asks VMs to stop one after the other; those that outlast their grace are killed.
fn stop_in_turn(fleet: &mut Fleet, vms: &[usize]) {
    for vm in vms {
        fleet.stop(*vm);
        play(fleet, GRACE.as_secs_f64());
        if fleet.runs(*vm) {
            fleet.kill(*vm);
        }
        fleet.start(*vm);
    }
}

/// Returns the VMs that hold most of a budget, the richest first.
fn holders(fleet: &Fleet, budget: usize) -> Vec<usize> {
    let held = |vm: usize| {
        let figures = fleet.node(vm).map(|node| node.balance(&Fleet::budget(budget)));
        figures.map_or(0, |f| f.free.0 + f.sealed.0)
    };
    let mut holders: Vec<_> = (0..VMS).filter(|vm| *vm != HOT && held(*vm) > DEMAND / 2).collect();
    holders.sort_by_key(|vm| std::cmp::Reverse(held(*vm)));
    holders
}

#[test]
fn a_failure_domain_that_goes_leaves_lenders_in_the_others() {
    let mut fleet = fleet(1);
    play(&mut fleet, 6.0);
    let ledger = fleet.platform.ledger(0);
    let holders = &ledger.budgets[&Fleet::budget(1)].holders;
    let holds = |vm: &usize| {
        let id = fleet.node(*vm).map(badgerfield_core::Node::id);
        id.and_then(|id| holders.get(&id)).is_some_and(|holder| holder.held.0 > 0)
    };
    let lenders: Vec<_> = (0..VMS).filter(holds).collect();
    let domains: std::collections::BTreeSet<_> =
        lenders.iter().map(|vm| (fleet.region_of(*vm), vm % 3)).collect();
    // Three holders a region, each in a domain of its own.
    assert_eq!((lenders.len(), domains.len()), (6, 6), "{lenders:?}");
}

#[test]
fn a_vm_that_loses_power_while_the_store_is_away_takes_little_with_it() {
    for seed in SEEDS {
        let mut fleet = fleet(seed);
        let balance = lose_one(&mut fleet);
        println!("one: {balance}");
        assert!(balance.lost <= DEMAND, "seed {seed}: {balance}");
    }
}

#[test]
fn a_stop_while_most_are_cut_off_from_the_store_loses_little() {
    for seed in SEEDS {
        let mut fleet = fleet(seed);
        play(&mut fleet, 4.0);
        cut_most(&mut fleet);
        play(&mut fleet, 1.0);
        let stopping = holders(&fleet, 0);
        stop_in_turn(&mut fleet, &stopping);
        fleet.platform.cut_vms.clear();
        for budget in 0..2 {
            let balance = balance(&mut fleet, budget);
            println!("stop {stopping:?}: {balance}");
            assert!(balance.lost <= DEMAND / 2, "seed {seed}: {balance}");
        }
    }
}

#[test]
fn all_that_end_at_once_in_a_calm_store_lose_what_was_open() {
    for seed in SEEDS {
        let mut fleet = fleet(seed);
        play(&mut fleet, 6.0);
        for vm in 0..VMS {
            fleet.kill(vm);
        }
        fleet.advance(Duration::from_millis(700));
        for vm in 0..VMS {
            fleet.start(vm);
        }
        fleet.advance(Duration::from_secs(4));
        // An account at all VMs has something at hand at each.
        for (budget, bound) in [(0, 3 * DEMAND), (1, 4 * DEMAND)] {
            let balance = balance(&mut fleet, budget);
            println!("all: {balance}");
            assert!(balance.lost <= bound, "seed {seed}: {balance}");
        }
    }
}

#[test]
fn a_hot_account_is_served_while_the_store_is_away_for_nine_seconds() {
    for seed in SEEDS {
        let mut fleet = fleet(seed);
        play(&mut fleet, 6.0);
        let before = refused(&fleet, 0);
        fleet.platform.down = true;
        play(&mut fleet, 9.0);
        fleet.platform.down = false;
        fleet.advance(Duration::from_secs(3));
        let count = refused(&fleet, 0) - before;
        println!("outage: {count}");
        assert!(count <= 9, "seed {seed}: {count} of 450 refused");
    }
}
