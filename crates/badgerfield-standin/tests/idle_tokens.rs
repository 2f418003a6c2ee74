//! Tokens of a budget that no process uses while requests are refused: idle at holders without
//! need, or lost with all processes.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::RequestId;
use badgerfield_core::seal::FleetTime;
use badgerfield_standin::fleet::{End, Fleet, FleetConfig, RequestSpec};

const VMS: usize = 75;
/// The most that requests can cost, in tokens per second.
const DEMAND: u64 = 5000;
/// The time between two looks at the tokens of all VMs.
const STEP: Duration = Duration::from_millis(20);
/// One round of ledger operations: a holder reports every 500 ms, and what another holder returns
/// arrives with its next report.
const ROUND: Duration = Duration::from_secs(1);
/// The time from the kill of all processes until they start again.
const DOWNTIME: Duration = Duration::from_millis(1200);
/// The length of an outage of the store, in seconds.
const OUTAGE: f64 = 5.4;
/// The time at which simulated clocks start, in milliseconds since 1970.
const CLOCK_START_MS: u64 = 1_800_000_000_000;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;
const ALL_SIZES: [Sizes; 3] = [Sizes::Small, Sizes::Medium, Sizes::Mixed];

/// The sizes of requests. The demand is about the same for all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sizes {
    /// 50 requests a second of 100 tokens.
    Small,
    /// Ten requests a second of 500 tokens.
    Medium,
    /// Ten requests a second of 300 tokens, but every eighth of 2,000.
    Mixed,
}

impl Sizes {
    /// Returns the most that the `n`-th request can cost.
    fn cost(self, n: usize) -> u64 {
        match self {
            Self::Small => 100,
            Self::Medium => 500,
            Self::Mixed if n % 8 == 7 => 2000,
            Self::Mixed => 300,
        }
    }

    /// Returns how many steps pass between two requests.
    fn steps(self) -> usize {
        if self == Self::Small { 1 } else { 5 }
    }
}

/// Creates a fleet with one budget, whose limit is the demand of `seconds` seconds.
fn fleet(seconds: u64, seed: u64) -> Fleet {
    Fleet::started(FleetConfig {
        regions: vec![VMS],
        domains: 3,
        limits: vec![seconds * DEMAND],
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

fn request(cost: u64) -> RequestSpec {
    let (prompt, output) = (cost * 4 / 5, cost / 5);
    RequestSpec { budget: 0, key: None, at_most_once: false, service: false, prompt, output }
}

fn all_vms() -> Vec<usize> {
    (0..VMS).map(|n| n * 7 % VMS).collect()
}

/// Returns the tokens that one VM holds and no request has reserved.
fn unspent(fleet: &Fleet, vm: usize) -> u64 {
    let Some(node) = fleet.node(vm) else {
        return 0;
    };
    let balance = node.balance(&Fleet::budget(0));
    balance.free.0 + balance.sealed.0 + balance.returning_sealed.0 + balance.parked.0
}

/// Kills all processes and starts them again.
fn restart_all(fleet: &mut Fleet) {
    for vm in 0..VMS {
        fleet.kill(vm);
    }
    fleet.advance(DOWNTIME);
    for vm in 0..VMS {
        fleet.start(vm);
    }
}

/// A lender and the VMs that ask it first.
#[derive(Debug, Clone)]
struct Group {
    lender: usize,
    borrowers: Vec<usize>,
}

impl Group {
    fn contains(&self, vm: usize) -> bool {
        vm == self.lender || self.borrowers.contains(&vm)
    }
}

/// Returns the two largest groups of a fleet with this seed, before or after a restart of all
/// processes.
///
/// The order of lenders depends on the ids of VMs and processes alone, so it is the same in every
/// fleet with this seed.
fn groups(seed: u64, after_restart: bool) -> [Group; 2] {
    let mut fleet = fleet(1000, seed);
    if after_restart {
        restart_all(&mut fleet);
        fleet.advance(Duration::from_secs(5));
    }
    watch(&mut fleet, Sizes::Small, &all_vms(), 3.0, |_| true);
    fleet.advance(Duration::from_secs(4));
    let mut groups: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
    for vm in 0..VMS {
        if let Some(lender) = lender_of(&mut fleet, vm) {
            groups.entry(lender).or_default().push(vm);
        }
        fleet.advance(Duration::from_secs(3));
    }
    let mut groups: Vec<_> =
        groups.into_iter().map(|(lender, borrowers)| Group { lender, borrowers }).collect();
    groups.sort_by_key(|group| std::cmp::Reverse(group.borrowers.len()));
    let [first, second, ..] = groups.as_slice() else {
        panic!("the budget has fewer than two lenders: {groups:?}");
    };
    [first.clone(), second.clone()]
}

/// Sends a request to a VM. Returns the VM that lends the tokens for it, if any does.
fn lender_of(fleet: &mut Fleet, vm: usize) -> Option<usize> {
    fleet.send_request(vm, request(100));
    let lends = |fleet: &Fleet, other: usize| {
        let node = fleet.node(other).filter(|_| other != vm);
        node.is_some_and(|node| node.balance(&Fleet::budget(0)).in_transit.0 > 0)
    };
    for _ in 0..40 {
        fleet.advance(Duration::from_micros(500));
        if let Some(lender) = (0..VMS).find(|other| lends(fleet, *other)) {
            return Some(lender);
        }
    }
    None
}

/// The requests that were sent in some span, and those refused.
#[derive(Debug, Default, Clone)]
struct Watch {
    sent: usize,
    refused: BTreeMap<&'static str, usize>,
    /// Requests refused although, for a whole round, requests were refused and VMs without need
    /// had tokens for at least two such requests.
    refused_while_idle: BTreeMap<&'static str, usize>,
    /// The time from the first to the last of these.
    idle_span: Duration,
    /// The most tokens that were idle at one of these.
    most_idle: u64,
}

impl fmt::Display for Watch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { sent, refused, refused_while_idle, idle_span, most_idle } = self;
        write!(
            f,
            "sent {sent}, refused {refused:?}, of these {refused_while_idle:?} in {idle_span:?} \
             while up to {most_idle} were idle"
        )
    }
}

/// The state of a [`watch`].
#[derive(Debug, Default)]
struct Watcher {
    watch: Watch,
    pending: Vec<RequestId>,
    /// The idle tokens at each step of the last round.
    idle: VecDeque<(Time, u64)>,
    /// When requests were refused, in the last two rounds.
    refused_at: VecDeque<Time>,
    first_idle_refusal: Option<Time>,
}

impl Watcher {
    fn observe(&mut self, fleet: &Fleet, has_need: impl Fn(usize) -> bool) {
        let now = fleet.now;
        let idle = (0..VMS).filter(|vm| !has_need(*vm)).map(|vm| unspent(fleet, vm)).sum();
        self.idle.push_back((now, idle));
        let is_full = self.idle.front().is_some_and(|(at, _)| now.since(*at) >= ROUND);
        self.idle.retain(|(at, _)| now.since(*at) <= ROUND);
        self.refused_at.retain(|at| now.since(*at) <= ROUND.saturating_mul(2));
        let least_idle = self.idle.iter().map(|(_, idle)| *idle).min().unwrap_or_default();
        for id in std::mem::take(&mut self.pending) {
            let Some(request) = fleet.requests.get(&id) else {
                continue;
            };
            let Some((end, at)) = &request.end else {
                self.pending.push(id);
                continue;
            };
            let End::Refused(refusal) = end else {
                continue;
            };
            self.refused_at.push_back(*at);
            *self.watch.refused.entry(refusal.cause.code()).or_default() += 1;
            let has_lasted = self.refused_at.iter().any(|earlier| now.since(*earlier) >= ROUND);
            let need = request.spec.prompt + request.spec.output;
            if !is_full || !has_lasted || least_idle < 2 * need {
                continue;
            }
            *self.watch.refused_while_idle.entry(refusal.cause.code()).or_default() += 1;
            self.watch.most_idle = self.watch.most_idle.max(least_idle);
            self.watch.idle_span = now.since(*self.first_idle_refusal.get_or_insert(now));
        }
    }
}

/// Sends requests to some VMs in turn for some seconds, and observes the tokens of the VMs that
/// have no need.
fn watch(
    fleet: &mut Fleet,
    sizes: Sizes,
    vms: &[usize],
    seconds: f64,
    has_need: impl Fn(usize) -> bool,
) -> Watch {
    let until = fleet.now.after(Duration::from_secs_f64(seconds));
    let mut watcher = Watcher::default();
    let mut step = 0;
    while fleet.now < until {
        if step % sizes.steps() == 0 {
            let n = watcher.watch.sent;
            let id = fleet.send_request(vms[n % vms.len()], request(sizes.cost(n)));
            watcher.pending.push(id);
            watcher.watch.sent += 1;
        }
        step += 1;
        fleet.advance(STEP);
        watcher.observe(fleet, &has_need);
    }
    watcher.watch
}

/// Sends requests to the borrowers of one group.
fn watch_group(fleet: &mut Fleet, sizes: Sizes, group: &Group, seconds: f64) -> Watch {
    watch(fleet, sizes, &group.borrowers, seconds, |vm| group.contains(vm))
}

/// Where the tokens were when all processes ended.
#[derive(Debug, Default, Clone, Copy)]
struct Parts {
    /// Left in the ledger.
    remaining: u64,
    /// Held as the ledger has it on record; the sum of the next four.
    on_record: u64,
    /// Not sealed by the last recorded operation.
    unsealed: u64,
    /// Sealed, and no longer promised when the processes ended.
    decayed: u64,
    /// Promised then, and no longer when the successors started.
    decayed_in_downtime: u64,
    /// Still promised when the successors started: what comes back.
    promised: u64,
    /// Unspent at the holders on record, sealed or not.
    unspent: u64,
    /// Unspent at borrowers.
    prefetched: u64,
    /// Reserved for running requests.
    reserved: u64,
    /// On their way between processes.
    in_transit: u64,
}

impl Parts {
    fn of(fleet: &Fleet) -> Self {
        let id = Fleet::budget(0);
        let ledger = fleet.store.ledger(0);
        let entry = &ledger.budgets[&id];
        let millis = |span: Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        let ended_at = FleetTime(CLOCK_START_MS + millis(fleet.now.0));
        let margin = badgerfield_core::seal::MAX_CLOCK_DIFFERENCE;
        let started_at = FleetTime(ended_at.0 + millis(DOWNTIME) + millis(margin));
        let mut parts = Self { remaining: fleet.remaining(0), ..Self::default() };
        for vm in 0..VMS {
            let Some(node) = fleet.node(vm) else {
                continue;
            };
            let balance = node.balance(&id);
            parts.reserved += balance.reserved.0;
            parts.in_transit += balance.in_transit.0 + balance.returning_free.0;
            let Some(holder) = entry.holders.get(&node.id()).filter(|h| h.held.0 > 0) else {
                parts.prefetched += unspent(fleet, vm);
                continue;
            };
            parts.unspent += unspent(fleet, vm);
            parts.on_record += holder.held.0;
            let (mut sealed, mut at_end, mut at_start) = (0, 0, 0);
            if let Some(seal) = &holder.seal {
                sealed = seal.amount.0;
                at_end = seal.unspent_at(ended_at).0;
                at_start = seal.unspent_at(started_at).0;
            }
            parts.unsealed += holder.held.0.saturating_sub(sealed);
            parts.decayed += sealed - at_end;
            parts.decayed_in_downtime += at_end - at_start;
            parts.promised += at_start;
        }
        parts
    }
}

impl fmt::Display for Parts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { remaining, on_record, unsealed, decayed, decayed_in_downtime, .. } = self;
        let Self { promised, unspent, prefetched, reserved, in_transit, .. } = self;
        write!(
            f,
            "ledger {remaining}, on record {on_record} (unsealed {unsealed}, decayed {decayed} and \
             {decayed_in_downtime} in the downtime, promised {promised}), unspent {unspent}, \
             prefetched {prefetched}, reserved {reserved}, in transit {in_transit}"
        )
    }
}

/// Loses all processes after an outage of the store and `back` seconds in which the store answers
/// again. Returns where the tokens were then, and how many are lost.
fn lose_power(fleet: &mut Fleet, sizes: Sizes, vms: &[usize], back: f64) -> (Parts, u64) {
    fleet.store.down = true;
    watch(fleet, sizes, vms, OUTAGE, |_| true);
    fleet.store.down = false;
    watch(fleet, sizes, vms, back, |_| true);
    let parts = Parts::of(fleet);
    restart_all(fleet);
    fleet.advance(Duration::from_secs(7));
    assert_eq!(fleet.truth.overspend(), 0);
    (parts, fleet.balance(0).lost)
}

/// Requests move to VMs that borrow from another lender when little of the budget is left. Tokens
/// at VMs that have no more requests, lenders or borrowers, must reach those that have.
#[test]
fn tokens_follow_requests_to_other_vms() {
    let mut failures = Vec::new();
    for seed in SEEDS {
        let [first, second] = groups(seed, false);
        for sizes in ALL_SIZES {
            for before in [10.0, 20.0, 26.0, 28.0, 30.0, 31.0, 32.0] {
                let mut fleet = fleet(24, seed);
                watch_group(&mut fleet, sizes, &first, before);
                let moved = watch_group(&mut fleet, sizes, &second, 8.0);
                println!("{sizes:?}, seed {seed}, after {before} s: {moved}");
                if !moved.refused_while_idle.is_empty() {
                    failures.push((sizes, seed, before, moved));
                }
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Requests have moved to VMs that borrow from another lender when the store fails. That lender
/// must have drawn what the requests need during the outage.
#[test]
fn tokens_follow_requests_before_an_outage() {
    let mut failures = Vec::new();
    for seed in SEEDS {
        let [first, second] = groups(seed, false);
        for sizes in ALL_SIZES {
            for (before, since_move) in [(8.0, 2.0), (8.0, 4.0), (14.0, 2.0), (14.0, 4.0)] {
                let mut fleet = fleet(30, seed);
                watch_group(&mut fleet, sizes, &first, before);
                watch_group(&mut fleet, sizes, &second, since_move);
                let (held, idle) = (unspent(&fleet, second.lender), unspent(&fleet, first.lender));
                fleet.store.down = true;
                let outage = watch_group(&mut fleet, sizes, &second, OUTAGE);
                println!(
                    "{sizes:?}, seed {seed}, after {before} s and {since_move} s: the lender with \
                     need holds {held}, the other one {idle}; {outage}"
                );
                if !outage.refused_while_idle.is_empty() {
                    failures.push((sizes, seed, before, since_move, outage));
                }
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// An operation that was made during an outage is recorded when the store is back. It must not
/// replace a promise that its holder still keeps: power may be lost right then.
#[test]
fn operation_recorded_after_an_outage_keeps_the_promise() {
    let mut failures = Vec::new();
    for seed in SEEDS {
        for vms in [all_vms(), vec![3]] {
            for sizes in [Sizes::Small, Sizes::Medium] {
                let run = |back: f64| {
                    let mut fleet = fleet(60, seed);
                    watch(&mut fleet, sizes, &vms, 12.0, |_| true);
                    lose_power(&mut fleet, sizes, &vms, back)
                };
                let (before, lost_before) = run(0.0);
                for back in [0.1, 0.3, 0.6] {
                    let (parts, lost) = run(back);
                    // Of what is drawn, 40 in 100 may be used at once.
                    let drawn = before.remaining.saturating_sub(parts.remaining);
                    let bound = lost_before + drawn * 2 / 5 + DEMAND / 2;
                    println!(
                        "{sizes:?} at {} VMs, seed {seed}, store back for {back} s: lost {lost}, \
                         {lost_before} if it is not back; {parts}; before: {before}",
                        vms.len()
                    );
                    if lost > bound {
                        failures.push((sizes, vms.len(), seed, back, lost, bound));
                    }
                }
            }
        }
    }
    assert!(failures.is_empty(), "sizes, VMs, seed, back, lost, bound: {failures:?}");
}

/// Returns the most tokens that may be lost with all processes. No promise can tell what was spent
/// between its last record and the start of the successor: the downtime and the difference of
/// clocks. Beyond that, a holder must not leave more open than one round of its demand.
fn max_lost() -> u64 {
    let open = DOWNTIME + badgerfield_core::seal::MAX_CLOCK_DIFFERENCE + ROUND;
    DEMAND * u64::try_from(open.as_millis()).unwrap_or(u64::MAX) / 1000
}

/// Loses all processes in an outage, after `before` seconds of demand. Returns the cases in which
/// more is lost than may be.
fn excessive_losses(vms: &[usize], all_sizes: &[Sizes], before: f64) -> Vec<(Sizes, u64, u64)> {
    let mut failures = Vec::new();
    for seed in SEEDS {
        for sizes in all_sizes.iter().copied() {
            let mut fleet = fleet(60, seed);
            watch(&mut fleet, sizes, vms, before, |_| true);
            let used_before = fleet.balance(0).used;
            let (parts, lost) = lose_power(&mut fleet, sizes, vms, 0.0);
            let used = fleet.balance(0).used - used_before;
            println!(
                "{sizes:?} at {} VMs, seed {seed}: lost {lost} ({} may be), used {used} since the \
                 store failed; {parts}",
                vms.len(),
                max_lost()
            );
            if lost > max_lost() {
                failures.push((sizes, seed, lost));
            }
        }
    }
    failures
}

/// Unsealed tokens and tokens whose promise has decayed must not be lost together: a promise need
/// not decay while the unsealed tokens are expected to last.
#[test]
fn loss_of_all_processes_in_an_outage_loses_little_beyond_the_downtime() {
    let failures = excessive_losses(&all_vms(), &[Sizes::Small, Sizes::Medium], 12.0);
    assert!(failures.is_empty(), "sizes, seed, lost: {failures:?}");
}

/// The same where the demand is overstated, for an account that keeps to one VM, or uneven, for
/// requests of different sizes.
#[test]
fn loss_of_all_processes_with_overstated_or_uneven_demand_loses_little() {
    let mut failures = excessive_losses(&[3], &ALL_SIZES, 12.0);
    failures.extend(excessive_losses(&all_vms(), &[Sizes::Mixed], 12.0));
    assert!(failures.is_empty(), "sizes, seed, lost: {failures:?}");
}

/// All requests of an account come to one VM that is no lender. What it has prefetched is in no
/// promise, and its lender leaves the same demand unsealed, so both were lost: 7.3 in 100 of such a
/// budget, and about 4 of others (`at hand .. free=215444 .. rate=161955` at the VM beside
/// `drawn .. held=1745196 sealed=1358172 .. rate=171546` at its lender).
#[test]
fn loss_of_all_processes_loses_little_of_an_account_that_has_kept_to_one_vm() {
    let failures = excessive_losses(&[3], &ALL_SIZES, 30.0);
    assert!(failures.is_empty(), "sizes, seed, lost: {failures:?}");
}

/// Right after a restart of all VMs, tokens are granted on rates of a moment. They must follow the
/// requests when these move on.
#[test]
fn grants_after_a_restart_of_all_vms_follow_the_requests() {
    let mut failures = Vec::new();
    for seed in SEEDS {
        let [first, second] = groups(seed, true);
        for sizes in ALL_SIZES {
            for (limit, outage) in [(20, true), (24, true), (16, false), (20, false)] {
                for at_first in [1.5, 4.0] {
                    let mut fleet = fleet(limit, seed);
                    watch(&mut fleet, sizes, &all_vms(), 12.0, |_| true);
                    fleet.store.down = outage;
                    watch(&mut fleet, sizes, &all_vms(), OUTAGE, |_| true);
                    fleet.store.down = false;
                    restart_all(&mut fleet);
                    fleet.advance(Duration::from_millis(300));
                    watch_group(&mut fleet, sizes, &first, at_first);
                    let idle = unspent(&fleet, first.lender);
                    let moved = watch_group(&mut fleet, sizes, &second, 10.0);
                    println!(
                        "{sizes:?}, limit {limit}, outage {outage}, seed {seed}, {at_first} s at \
                         the first VMs, whose lender holds {idle}: {moved}; {}",
                        fleet.balance(0)
                    );
                    if !moved.refused_while_idle.is_empty() {
                        failures.push((sizes, limit, outage, seed, at_first, moved));
                    }
                }
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
