//! Changes of operators' values must be in force within a second at each VM that reaches the store
//! or a member that has them, whichever of its paths to other VMs lose messages.

use std::time::Duration;

use badgerfield_core::ids::{Domain, TemplateVersion};
use badgerfield_core::rollout::RolloutOrder;
use badgerfield_core::routing::Route;
use badgerfield_core::template::KeyDigest;
use badgerfield_standin::fleet::{Fleet, version};

/// The number of upstreams in the platform's list.
const UPSTREAMS: usize = 140;
/// The number of routes that are too many for a broadcast of their change.
const MANY_ROUTES: usize = 400;
/// The time from the acknowledgement of a change until it must be in force.
const BOUND: Duration = Duration::from_secs(1);
/// The time after which a VM without a change counts as one that never has it.
const GIVE_UP: Duration = Duration::from_secs(8);
/// The interval at which the VMs are checked.
const STEP: Duration = Duration::from_millis(10);

/// A fleet in which the watches of the VMs that were the first to start have ended.
fn fleet(vms: usize, seed: u64) -> Fleet {
    Fleet::started_with_listing(vms, UPSTREAMS, seed, Duration::from_secs(28))
}

/// VMs that neither watch nor regularly read operators' values, spread over the fleet.
fn followers(fleet: &Fleet, step: usize) -> Vec<usize> {
    let readers = fleet.operator_readers();
    (0..fleet.size()).filter(|vm| !readers.contains(vm)).step_by(step).collect()
}

fn replace_key(fleet: &mut Fleet, secret: &str) -> TemplateVersion {
    let is_written = fleet.change_templates(|set| {
        if let Some(budget) = set.budgets.get_mut(&Fleet::budget(1)) {
            budget.keys = [KeyDigest::from_secret(secret)].into();
        }
    });
    assert!(is_written, "the store has refused a change");
    fleet.templates.version
}

fn add_routes(fleet: &mut Fleet, prefix: &str) -> TemplateVersion {
    let is_written = fleet.change_templates(|set| {
        let route = set.routing.routes[0].clone();
        let new = (0..MANY_ROUTES).map(|n| {
            let name = format!("{prefix}-{n}");
            Route { host: format!("{name}.example"), name, ..route.clone() }
        });
        set.routing.routes.extend(new);
    });
    assert!(is_written, "the store has refused a change");
    fleet.templates.version
}

/// Advances the time until the VMs have a version, or gives up. Returns how long it took.
fn wait_for(fleet: &mut Fleet, vms: &[usize], version: TemplateVersion) -> Duration {
    let mut took = Duration::ZERO;
    let has_version =
        |fleet: &Fleet, vm| fleet.node(vm).is_some_and(|n| n.template_version() >= version);
    while took < GIVE_UP && !vms.iter().all(|vm| has_version(fleet, *vm)) {
        fleet.advance_listing(STEP);
        took += STEP;
    }
    took
}

/// Makes small changes around a large one, and returns how long each took to be in force.
fn change_series(fleet: &mut Fleet, vms: &[usize]) -> Vec<Duration> {
    let mut lags = Vec::new();
    for change in 0..5 {
        fleet.advance_listing(Duration::from_millis(300 + 470 * change));
        let version = match change {
            1 => add_routes(fleet, "new"),
            _ => replace_key(fleet, &format!("secret {change}")),
        };
        lags.push(wait_for(fleet, vms, version));
    }
    lags
}

/// Loses what some VMs send to others.
fn cut_outgoing(fleet: &mut Fleet, vms: &[usize]) {
    let size = fleet.size();
    let paths = vms.iter().flat_map(|vm| (0..size).map(move |other| (*vm, other)));
    fleet.lost_paths.extend(paths);
}

/// Loses what others send to some VMs.
fn cut_incoming(fleet: &mut Fleet, vms: &[usize]) {
    let size = fleet.size();
    let paths = vms.iter().flat_map(|vm| (0..size).map(move |other| (other, *vm)));
    fleet.lost_paths.extend(paths);
}

fn assert_in_time(late: &[(usize, u64, Vec<Duration>)]) {
    assert!(late.is_empty(), "in force later than {BOUND:?}: {late:?}");
}

/// Runs a series of changes in fleets of several sizes after a cut, and returns the late ones.
fn late_series(cut: impl Fn(&mut Fleet, &[usize])) -> Vec<(usize, u64, Vec<Duration>)> {
    let mut late = Vec::new();
    for (vms, seed) in [(6, 1), (30, 1), (72, 1), (72, 2), (300, 1)] {
        let mut fleet = fleet(vms, seed);
        let affected = match vms {
            6 => vec![4],
            _ => followers(&fleet, 9),
        };
        cut(&mut fleet, &affected);
        let lags = change_series(&mut fleet, &affected);
        println!("{vms} VMs, seed {seed}: {lags:?}");
        if lags.iter().any(|lag| *lag > BOUND) {
            late.push((vms, seed, lags));
        }
    }
    late
}

/// Guards against VMs that take announcements of a version that they lack for a confirmation.
#[test]
fn changes_reach_vms_that_cannot_send() {
    assert_in_time(&late_series(cut_outgoing));
}

/// Guards against VMs that wait too long before they read what nobody tells them.
#[test]
fn changes_reach_vms_that_cannot_receive() {
    assert_in_time(&late_series(cut_incoming));
}

/// Guards against VMs that are cut off from all others and learn it late.
#[test]
fn changes_reach_vms_that_reach_only_the_store() {
    assert_in_time(&late_series(|fleet, vms| {
        cut_incoming(fleet, vms);
        cut_outgoing(fleet, vms);
    }));
}

/// Guards against VMs that hear some members, and so do not count as isolated, but get no replies.
#[test]
fn changes_reach_vms_with_few_paths() {
    assert_in_time(&late_series(|fleet, vms| {
        let size = fleet.size();
        for (i, vm) in vms.iter().enumerate() {
            for other in 0..size {
                // Which paths remain differs from VM to VM, and for the two directions.
                if (other * 7 + i) % 5 != 0 {
                    fleet.lost_paths.insert((*vm, other));
                }
                if (other * 3 + i) % 4 != 0 {
                    fleet.lost_paths.insert((other, *vm));
                }
            }
        }
    }));
}

/// Guards against a VM without access to the store that does not fetch what the members that it
/// still reaches have.
#[test]
fn changes_reach_vms_without_the_store_and_with_few_paths() {
    assert_in_time(&late_series(|fleet, vms| {
        let size = fleet.size();
        fleet.store.partitioned_vms = vms.iter().copied().collect();
        for (i, vm) in vms.iter().enumerate() {
            for other in (0..size).filter(|other| (other + i) % 4 != 0) {
                fleet.lost_paths.insert((*vm, other));
                fleet.lost_paths.insert((other, *vm));
            }
        }
    }));
}

/// Guards against a process that misses a change while it starts, cannot fetch it, and takes the
/// announcements of that change for a confirmation of what it has.
#[test]
fn changes_reach_vms_that_start_and_cannot_send() {
    let mut late = Vec::new();
    for (vms, seed) in [(6, 1), (30, 1), (72, 1), (72, 2), (300, 1)] {
        let mut fleet = fleet(vms, seed);
        let started = followers(&fleet, 11);
        let started = if vms == 6 { vec![4] } else { started };
        for vm in &started {
            fleet.kill(*vm);
        }
        fleet.advance_listing(Duration::from_millis(900));
        for (i, vm) in started.iter().enumerate() {
            fleet.start(*vm);
            fleet.advance_listing(Duration::from_millis(20));
            if i % 3 == 0 {
                replace_key(&mut fleet, &format!("secret of {vm}"));
            }
        }
        // The paths are lost as soon as the processes are members or about to become so.
        fleet.advance_listing(Duration::from_millis(100));
        cut_outgoing(&mut fleet, &started);
        let last = replace_key(&mut fleet, "during the start");
        let mut lags = vec![wait_for(&mut fleet, &started, last)];
        lags.extend(change_series(&mut fleet, &started));
        println!("{vms} VMs, seed {seed}: {lags:?}");
        if lags.iter().any(|lag| *lag > BOUND) {
            late.push((vms, seed, lags));
        }
    }
    assert_in_time(&late);
}

/// Starts VMs again, and lets an operator make a change a while after the first of them has templates.
/// What they send is lost from then on. Returns how long after the change the last VM that has
/// templates knew of it.
fn change_during_start(
    fleet: &mut Fleet,
    delay: Duration,
    change: impl FnOnce(&mut Fleet),
    knows: impl Fn(&Fleet, usize) -> bool,
) -> Duration {
    let has_templates = |fleet: &Fleet, vm| {
        fleet.node(vm).is_some_and(|node| node.template_version() > TemplateVersion(0))
    };
    let started = followers(fleet, 11);
    for vm in &started {
        fleet.kill(*vm);
    }
    fleet.advance_listing(Duration::from_secs(2));
    for vm in &started {
        fleet.start(*vm);
    }
    while !started.iter().any(|vm| has_templates(fleet, *vm)) {
        fleet.advance_listing(STEP);
    }
    fleet.advance_listing(delay);
    cut_outgoing(fleet, &started);
    change(fleet);
    let mut lag = Duration::ZERO;
    while lag < GIVE_UP {
        fleet.advance_listing(STEP);
        lag += STEP;
        if started.iter().all(|vm| knows(fleet, *vm) || !has_templates(fleet, *vm)) {
            break;
        }
    }
    lag
}

/// Asserts that a change that is made during a start is known in time, at fleets and moments that
/// differ.
fn assert_known_in_time(change: impl Fn(&mut Fleet), knows: impl Fn(&Fleet, usize) -> bool) {
    let mut late = Vec::new();
    for (vms, seed, delay) in [(30, 1, 50), (72, 1, 100), (72, 2, 200), (72, 3, 400), (72, 4, 700)]
    {
        let mut fleet = fleet(vms, seed);
        let delay = Duration::from_millis(delay);
        let lag = change_during_start(&mut fleet, delay, &change, &knows);
        println!("{vms} VMs, seed {seed}: {lag:?}");
        if lag > BOUND {
            late.push((vms, seed, vec![lag]));
        }
    }
    assert_in_time(&late);
}

/// Guards against VMs that take a confirmation of the templates for one of all that operators have
/// written.
#[test]
fn evacuations_reach_vms_that_start_and_cannot_send() {
    let domain: Domain = "d-1".parse().expect("the name is valid");
    assert_known_in_time(
        |fleet| assert!(fleet.evacuate(&domain, true)),
        |fleet, vm| fleet.is_evacuated_at(vm, &domain),
    );
}

/// Guards against the same for orders of rollouts.
#[test]
fn orders_reach_vms_that_start_and_cannot_send() {
    let order = RolloutOrder { target: version("v2"), span: Duration::from_secs(40) };
    assert_known_in_time(
        |fleet| assert!(fleet.roll_out(Some(order.clone()))),
        |fleet, vm| fleet.node(vm).is_some_and(|node| !node.rollout_statuses(fleet.now).is_empty()),
    );
}

/// Guards against reads by all VMs of a fleet while the store answers late.
#[test]
fn reads_of_a_slow_store_do_not_grow_with_the_fleet() {
    const SPAN: Duration = Duration::from_secs(10);
    // The watchers, their backups and the readers may read all the time.
    const MAX_READS: u64 = 14 * 10;
    for slow_ms in [150, 300, 600] {
        for vms in [30, 72, 200] {
            let mut fleet = fleet(vms, 1);
            fleet.store.slow = Duration::from_millis(slow_ms);
            fleet.advance_listing(Duration::from_secs(3));
            let before = fleet.store.reads;
            fleet.advance_listing(SPAN);
            let reads = fleet.store.reads - before;
            println!("{vms} VMs, {slow_ms} ms each way: {reads} reads in {SPAN:?}");
            assert!(reads <= MAX_READS, "{vms} VMs, {slow_ms} ms each way: {reads} reads");
        }
    }
}

/// Guards against reads of the store by VMs that others keep current: while nothing is lost, their
/// number must not depend on the size of the fleet, with changes or without.
#[test]
fn reads_of_the_store_do_not_grow_with_the_fleet() {
    const SPAN: Duration = Duration::from_secs(10);
    // Two members read the view each second, and one of the readers operators' values four times.
    const MAX_READS_PER_SECOND: u64 = 8;
    for vms in [30, 72, 300] {
        let mut fleet = fleet(vms, 1);
        for is_changing in [false, true] {
            let before = fleet.store.reads;
            let until = fleet.now.after(SPAN);
            let mut change = 0;
            while fleet.now < until {
                if is_changing {
                    change += 1;
                    replace_key(&mut fleet, &format!("secret {change}"));
                }
                fleet.advance_listing(Duration::from_millis(500));
            }
            let reads = fleet.store.reads - before;
            println!("{vms} VMs, changes {is_changing}: {reads} reads in {SPAN:?}");
            let most = MAX_READS_PER_SECOND * SPAN.as_secs();
            assert!(reads <= most, "{vms} VMs, changes {is_changing}: {reads} reads");
        }
    }
}
