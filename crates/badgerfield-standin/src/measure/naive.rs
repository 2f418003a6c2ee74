//! Naive baselines, which are only measured and never shipped.
//!
//! - [`Central`]: one ledger write for each request, before it runs.
//! - [`Split`]: every VM gets an equal part of every budget once, at the start.
//! - [`Lease`]: each budget has one VM that counts in memory under a lease of 10 s and
//!   writes the count to the platform every second.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::workload::{ACCOUNTS, CASE_DURATION, VMS};
use super::{Arrival, Case, CaseResult, Fault, System, percentile};

/// The duration of a call to the platform.
const CALL_TIME: Duration = Duration::from_millis(6);
/// The duration of a request after its dispatch.
const REQUEST_TIME: Duration = Duration::from_millis(600);
/// The duration of a lease.
const LEASE_TIME: Duration = Duration::from_secs(10);
/// The interval at which a lease holder writes its count.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// The faults that are in effect.
#[derive(Debug, Clone, Default)]
struct SiteState {
    platform_down: bool,
    region_cut: bool,
    killed: [bool; VMS],
    frozen: [bool; VMS],
    stopping: [bool; VMS],
}

impl SiteState {
    fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::PlatformDown(is_down) => self.platform_down = is_down,
            Fault::RegionCut(is_cut) => self.region_cut = is_cut,
            Fault::Kill(vm) => self.killed[vm] = true,
            Fault::Stop(vm) => self.stopping[vm] = true,
            Fault::Start(vm) => {
                self.killed[vm] = false;
                self.stopping[vm] = false;
            }
            Fault::Freeze(vm, is_frozen) => self.frozen[vm] = is_frozen,
        }
    }

    fn is_serving(&self, vm: usize) -> bool {
        !self.killed[vm] && !self.stopping[vm]
    }

    fn can_reach_platform(&self, vm: usize) -> bool {
        let is_cut_off = self.region_cut && vm >= VMS / 2;
        !self.platform_down && !is_cut_off
    }

    fn are_linked(&self, a: usize, b: usize) -> bool {
        !(self.region_cut && (a >= VMS / 2) != (b >= VMS / 2))
    }

    /// Returns the VM that serves a caller of `vm`: `vm` itself if it serves, otherwise another
    /// one, in the same region if possible.
    fn choose_vm(&self, vm: usize) -> usize {
        if self.is_serving(vm) {
            return vm;
        }
        let region_start = vm / (VMS / 2) * (VMS / 2);
        let in_region = region_start..region_start + VMS / 2;
        in_region.chain(0..VMS).find(|v| self.is_serving(*v) && !self.frozen[*v]).unwrap_or(vm)
    }
}

/// The decision of a baseline about a request.
enum Admission {
    /// The request runs, with this delay to its dispatch.
    Admit(Duration),
    /// The request is refused.
    Refuse,
}

/// The admission control of one baseline.
trait BudgetGuard {
    /// Decides whether a request runs at a VM, and reserves its maximum cost if so.
    fn admit(&mut self, now: Duration, site: &SiteState, vm: usize, arrival: &Arrival)
    -> Admission;

    /// Returns the reserved tokens that an ended request did not use.
    fn settle(&mut self, now: Duration, site: &SiteState, vm: usize, arrival: &Arrival, used: u64);

    /// Reacts to a fault before it takes effect.
    fn handle_fault(&mut self, now: Duration, site: &SiteState, fault: Fault);

    /// Returns the number of calls to the platform so far.
    fn call_count(&self) -> u64;
}

/// A running request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Running {
    end: Duration,
    vm: usize,
    account: usize,
    prompt: u64,
    output: u64,
    used: u64,
}

/// The simulation of one case under one baseline.
struct Simulation<'a> {
    case: &'a Case,
    site: SiteState,
    running: BinaryHeap<Reverse<Running>>,
    /// The tokens served for each account.
    served: Vec<u64>,
    /// The maximum cost of the running requests of each account.
    reserved: Vec<u64>,
    /// Requests that wait at frozen VMs.
    waiting: Vec<(usize, Arrival)>,
    dispatch_delays: Vec<Duration>,
    result: CaseResult,
    rng: ChaCha8Rng,
}

impl<'a> Simulation<'a> {
    fn run(case: &'a Case, guard: &mut dyn BudgetGuard) -> CaseResult {
        let mut simulation = Self {
            case,
            site: SiteState::default(),
            running: BinaryHeap::new(),
            served: vec![0; ACCOUNTS],
            reserved: vec![0; ACCOUNTS],
            waiting: Vec::new(),
            dispatch_delays: Vec::new(),
            result: CaseResult::default(),
            rng: ChaCha8Rng::seed_from_u64(case.seed),
        };
        simulation.simulate(guard);
        simulation.result
    }

    fn simulate(&mut self, guard: &mut dyn BudgetGuard) {
        let mut faults = self.case.faults.iter().copied().peekable();
        for arrival in &self.case.arrivals {
            while let Some((at, fault)) = faults.next_if(|(at, _)| *at <= arrival.at) {
                self.end_requests(at, guard);
                guard.handle_fault(at, &self.site, fault);
                self.site.apply(fault);
                self.admit_waiting(at, guard);
            }
            self.end_requests(arrival.at, guard);
            self.result.requests += 1;
            let vm = self.site.choose_vm(arrival.vm);
            if self.site.frozen[vm] {
                self.waiting.push((vm, *arrival));
                continue;
            }
            self.admit(arrival.at, vm, arrival, guard);
        }
        self.end_requests(CASE_DURATION + REQUEST_TIME, guard);
        self.complete_result(guard);
    }

    fn admit(&mut self, now: Duration, vm: usize, arrival: &Arrival, guard: &mut dyn BudgetGuard) {
        match guard.admit(now, &self.site, vm, arrival) {
            Admission::Admit(delay) => {
                let output = self.rng.random_range(1..=arrival.output);
                let used = arrival.prompt * 3 / 4 + output;
                let (account, prompt, output) = (arrival.account, arrival.prompt, arrival.output);
                let end = now + delay + REQUEST_TIME;
                self.running.push(Reverse(Running { end, vm, account, prompt, output, used }));
                self.reserved[account] += arrival.max_cost();
                self.dispatch_delays.push(delay);
            }
            Admission::Refuse => {
                let used = self.served[arrival.account] + self.reserved[arrival.account];
                if self.case.limits[arrival.account].saturating_sub(used) >= arrival.max_cost() {
                    self.result.refused += 1;
                } else {
                    self.result.spent_out += 1;
                }
            }
        }
    }

    /// Admits the requests that waited at VMs that are no longer frozen.
    fn admit_waiting(&mut self, now: Duration, guard: &mut dyn BudgetGuard) {
        for (vm, arrival) in std::mem::take(&mut self.waiting) {
            if self.site.frozen[vm] {
                self.waiting.push((vm, arrival));
                continue;
            }
            self.admit(now, vm, &arrival, guard);
        }
    }

    /// Ends the running requests whose end is not after `now`.
    fn end_requests(&mut self, now: Duration, guard: &mut dyn BudgetGuard) {
        while let Some(Reverse(run)) = self.running.peek().copied() {
            if run.end > now {
                return;
            }
            self.running.pop();
            let (account, prompt, output) = (run.account, run.prompt, run.output);
            let arrival = Arrival { at: run.end, account, vm: run.vm, prompt, output };
            self.reserved[account] -= arrival.max_cost();
            self.served[account] += run.used;
            if self.site.killed[run.vm] {
                self.result.lost += 1;
                continue;
            }
            guard.settle(run.end, &self.site, run.vm, &arrival, run.used);
        }
    }

    fn complete_result(&mut self, guard: &dyn BudgetGuard) {
        for (served, limit) in self.served.iter().zip(&self.case.limits) {
            self.result.overspend += served.saturating_sub(*limit);
        }
        self.dispatch_delays.sort_unstable();
        self.result.dispatch_delay =
            (percentile(&self.dispatch_delays, 50), percentile(&self.dispatch_delays, 99));
        let calls = u32::try_from(guard.call_count()).unwrap_or(u32::MAX);
        self.result.kv_calls = f64::from(calls) / CASE_DURATION.as_secs_f64();
    }
}

/// One ledger write for each request.
pub struct Central;

struct CentralGuard {
    remaining: Vec<u64>,
    calls: u64,
    /// The time until which earlier writes occupy the ledger.
    busy_until: Duration,
}

impl System for Central {
    fn name(&self) -> &'static str {
        "one write a request"
    }

    fn run(&self, case: &Case) -> CaseResult {
        let remaining = case.limits.clone();
        Simulation::run(case, &mut CentralGuard { remaining, calls: 0, busy_until: Duration::ZERO })
    }
}

impl BudgetGuard for CentralGuard {
    fn admit(
        &mut self,
        now: Duration,
        site: &SiteState,
        vm: usize,
        arrival: &Arrival,
    ) -> Admission {
        if !site.can_reach_platform(vm) {
            return Admission::Refuse;
        }
        self.calls += 2;
        let Some(left) = self.remaining[arrival.account].checked_sub(arrival.max_cost()) else {
            return Admission::Refuse;
        };
        self.remaining[arrival.account] = left;
        // A write that conflicts with another one is repeated after it.
        let start = self.busy_until.max(now);
        self.busy_until = start + CALL_TIME / 2;
        Admission::Admit((start + CALL_TIME + CALL_TIME).saturating_sub(now))
    }

    fn settle(&mut self, _: Duration, site: &SiteState, vm: usize, arrival: &Arrival, used: u64) {
        if site.can_reach_platform(vm) {
            self.calls += 2;
            self.remaining[arrival.account] += arrival.max_cost() - used;
        }
    }

    fn handle_fault(&mut self, _: Duration, _: &SiteState, _: Fault) {}

    fn call_count(&self) -> u64 {
        self.calls
    }
}

/// A static equal part of every budget for every VM.
pub struct Split;

struct SplitGuard {
    /// The tokens left for each account and VM.
    remaining: Vec<[u64; VMS]>,
}

impl System for Split {
    fn name(&self) -> &'static str {
        "static equal split"
    }

    fn run(&self, case: &Case) -> CaseResult {
        let equal_parts = |limit: &u64| [limit / u64::try_from(VMS).unwrap_or(1); VMS];
        let remaining = case.limits.iter().map(equal_parts).collect();
        Simulation::run(case, &mut SplitGuard { remaining })
    }
}

impl BudgetGuard for SplitGuard {
    fn admit(&mut self, _: Duration, _: &SiteState, vm: usize, arrival: &Arrival) -> Admission {
        let remaining = &mut self.remaining[arrival.account][vm];
        let Some(left) = remaining.checked_sub(arrival.max_cost()) else {
            return Admission::Refuse;
        };
        *remaining = left;
        Admission::Admit(Duration::ZERO)
    }

    fn settle(&mut self, _: Duration, _: &SiteState, vm: usize, arrival: &Arrival, used: u64) {
        self.remaining[arrival.account][vm] += arrival.max_cost() - used;
    }

    fn handle_fault(&mut self, _: Duration, _: &SiteState, fault: Fault) {
        // A killed process loses its tokens; a stopped one hands them to its successor.
        if let Fault::Kill(vm) = fault {
            for remaining in &mut self.remaining {
                remaining[vm] = 0;
            }
        }
    }

    fn call_count(&self) -> u64 {
        0
    }
}

/// For each budget, one VM that counts in memory under a lease.
pub struct Lease;

struct LeaseGuard {
    /// The lease holder of each account.
    holders: Vec<usize>,
    /// The end of the lease of each account.
    expires_at: Vec<Duration>,
    /// The remaining tokens of each account, as each VM counts them.
    counts: Vec<[u64; VMS]>,
    /// The remaining tokens of each account as last written to the platform.
    written_counts: Vec<u64>,
    /// The time of the last write for each account.
    written_at: Vec<Duration>,
    /// Whether each VM considers itself the lease holder of each account.
    assumes_lease: Vec<[bool; VMS]>,
    calls: u64,
}

impl System for Lease {
    fn name(&self) -> &'static str {
        "lease-guarded counter"
    }

    fn run(&self, case: &Case) -> CaseResult {
        let mut guard = LeaseGuard {
            holders: (0..ACCOUNTS).map(|a| a % VMS).collect(),
            expires_at: vec![LEASE_TIME; ACCOUNTS],
            counts: case.limits.iter().map(|l| [*l; VMS]).collect(),
            written_counts: case.limits.clone(),
            written_at: vec![Duration::ZERO; ACCOUNTS],
            assumes_lease: (0..ACCOUNTS).map(|a| std::array::from_fn(|v| v == a % VMS)).collect(),
            calls: 0,
        };
        Simulation::run(case, &mut guard)
    }
}

impl LeaseGuard {
    /// Writes the count and renews the lease of an account if its holder can, and moves an
    /// expired lease to `vm`.
    fn update_lease(&mut self, now: Duration, site: &SiteState, vm: usize, account: usize) {
        let holder = self.holders[account];
        let can_renew =
            site.is_serving(holder) && !site.frozen[holder] && site.can_reach_platform(holder);
        if can_renew && now >= self.written_at[account] + WRITE_INTERVAL {
            self.written_counts[account] = self.counts[account][holder];
            self.written_at[account] = now;
            self.expires_at[account] = now + LEASE_TIME;
            self.calls += 2;
        }
        if now < self.expires_at[account] || !site.can_reach_platform(vm) {
            return;
        }
        self.calls += 2;
        self.holders[account] = vm;
        self.counts[account][vm] = self.written_counts[account];
        self.assumes_lease[account][vm] = true;
        self.expires_at[account] = now + LEASE_TIME;
    }
}

impl BudgetGuard for LeaseGuard {
    fn admit(
        &mut self,
        now: Duration,
        site: &SiteState,
        vm: usize,
        arrival: &Arrival,
    ) -> Admission {
        let account = arrival.account;
        self.update_lease(now, site, vm, account);
        // A holder that was frozen still counts for itself until it checks the lease.
        let holder = if self.assumes_lease[account][vm] { vm } else { self.holders[account] };
        let is_reachable =
            site.is_serving(holder) && !site.frozen[holder] && site.are_linked(vm, holder);
        if !is_reachable {
            return Admission::Refuse;
        }
        let Some(left) = self.counts[account][holder].checked_sub(arrival.max_cost()) else {
            return Admission::Refuse;
        };
        self.counts[account][holder] = left;
        let delay = if holder == vm { 0 } else { 2 };
        Admission::Admit(Duration::from_millis(delay))
    }

    fn settle(&mut self, now: Duration, site: &SiteState, vm: usize, arrival: &Arrival, used: u64) {
        let account = arrival.account;
        self.update_lease(now, site, vm, account);
        let holder = if self.assumes_lease[account][vm] { vm } else { self.holders[account] };
        if site.are_linked(vm, holder) {
            self.counts[account][holder] += arrival.max_cost() - used;
        }
        // At its next write the former holder notices that another VM holds the lease.
        if holder != self.holders[account] && now >= self.written_at[account] + WRITE_INTERVAL {
            self.assumes_lease[account][vm] = false;
        }
    }

    fn handle_fault(&mut self, _: Duration, _: &SiteState, fault: Fault) {
        if let Fault::Kill(vm) | Fault::Stop(vm) = fault {
            for assumes_lease in &mut self.assumes_lease {
                assumes_lease[vm] = false;
            }
        }
    }

    fn call_count(&self) -> u64 {
        self.calls
    }
}
