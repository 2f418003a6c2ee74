//! Runs badgerfield as a simulated fleet in one process.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::RequestId;

use super::workload::{ACCOUNTS, CASE_DURATION, VMS};
use super::{Arrival, Case, CaseResult, Fault, System, percentile};
use crate::fleet::{End, Fleet, Shape, Wish};

/// The time for which a caller caches an answer of the directory.
const DIRECTORY_TTL: Duration = Duration::from_secs(2);

/// Badgerfield, with one simulated node for each VM.
pub struct Ours;

impl System for Ours {
    fn name(&self) -> &'static str {
        "badgerfield"
    }

    fn run(&self, case: &Case) -> CaseResult {
        Run::new(case).finish(case)
    }
}

struct Run {
    fleet: Fleet,
    result: CaseResult,
    open_requests: BTreeMap<RequestId, Arrival>,
    /// The maximum cost of the open requests of each account.
    reserved: Vec<u64>,
    /// The last time at which the directory listed each VM.
    listed_at: [Time; VMS],
}

impl Run {
    fn new(case: &Case) -> Self {
        let shape = Shape {
            regions: vec![VMS / 2, VMS / 2],
            limits: case.limits.clone(),
            seed: case.seed,
            ..Shape::default()
        };
        let fleet = Fleet::started(shape);
        Self {
            fleet,
            result: CaseResult::default(),
            open_requests: BTreeMap::new(),
            reserved: vec![0; ACCOUNTS],
            listed_at: [Time::default(); VMS],
        }
    }

    fn finish(mut self, case: &Case) -> CaseResult {
        let start = self.fleet.now.0;
        let calls = self.fleet.platform.reads + self.fleet.platform.writes;
        let mut faults = case.faults.iter().copied().peekable();
        for arrival in &case.arrivals {
            while let Some((at, fault)) = faults.next_if(|(at, _)| *at <= arrival.at) {
                self.advance_to(start + at);
                self.apply_fault(fault);
            }
            self.advance_to(start + arrival.at);
            self.send_request(*arrival, arrival.vm);
        }
        self.advance_to(start + CASE_DURATION);
        let calls = self.fleet.platform.reads + self.fleet.platform.writes - calls;
        self.advance_to(start + CASE_DURATION + Duration::from_secs(10));
        let mut delays: Vec<_> =
            self.fleet.asked.values().filter_map(|a| Some(a.sent?.since(a.at))).collect();
        delays.sort_unstable();
        self.result.dispatch_delay = (percentile(&delays, 50), percentile(&delays, 99));
        self.result.overspend = self.fleet.truth.overspend();
        self.result.kv_calls = to_f64(calls) / CASE_DURATION.as_secs_f64();
        self.result.stranded = self.stranded(case);
        self.result
    }

    /// Advances the simulated time in steps of at most 2 ms, so that each refusal is classified
    /// by the state of the budgets at its time.
    fn advance_to(&mut self, time: Duration) {
        while self.fleet.now.0 < time {
            let step = time.saturating_sub(self.fleet.now.0).min(Duration::from_millis(2));
            self.fleet.advance(step);
            self.classify_ended();
        }
    }

    fn send_request(&mut self, arrival: Arrival, vm: usize) {
        let (account, prompt, output) = (arrival.account, arrival.prompt, arrival.output);
        let wish = Wish { budget: account, key: None, once: false, service: false, prompt, output };
        self.result.requests += 1;
        let vm = self.choose_vm(vm);
        let id = self.fleet.ask(vm, wish);
        self.reserved[account] += arrival.max_cost();
        self.open_requests.insert(id, arrival);
        self.classify_ended();
    }

    /// Returns the VM that a caller sends its request to.
    ///
    /// A caller keeps its VM while a cached answer of the directory lists it and it accepts
    /// connections. Otherwise it takes another listed VM, in its region if possible.
    fn choose_vm(&mut self, vm: usize) -> usize {
        let region = self.fleet.region_of(vm);
        let listed = self.fleet.directory(region);
        let now = self.fleet.now;
        for other in &listed {
            self.listed_at[*other] = now;
        }
        let is_usable = now.since(self.listed_at[vm]) <= DIRECTORY_TTL && self.fleet.runs(vm);
        if is_usable {
            return vm;
        }
        let in_region = listed.iter().copied().find(|other| self.fleet.region_of(*other) == region);
        in_region.or_else(|| listed.first().copied()).unwrap_or(vm)
    }

    /// Counts the requests that have ended, by their outcome.
    fn classify_ended(&mut self) {
        let ended: Vec<_> = self
            .open_requests
            .keys()
            .filter_map(|id| Some((*id, self.fleet.asked.get(id)?.end.clone()?.0)))
            .collect();
        for (id, end) in ended {
            let Some(arrival) = self.open_requests.remove(&id) else {
                continue;
            };
            self.reserved[arrival.account] -= arrival.max_cost();
            match end {
                End::Whole(_) | End::Broken(_) => {}
                End::Lost => self.result.lost += 1,
                End::Refused(refusal) if self.ideal_ledger_admits(&arrival) => {
                    self.result.refused += 1;
                    *self.result.causes.entry(refusal.cause.code()).or_default() += 1;
                }
                End::Refused(_) => self.result.spent_out += 1,
            }
        }
    }

    /// Returns whether an ideal ledger would admit a request now.
    fn ideal_ledger_admits(&self, arrival: &Arrival) -> bool {
        let account = arrival.account;
        let served = self.fleet.truth.served.get(&account).copied().unwrap_or(0);
        // Tokens served to running requests are already counted in their reservations.
        let served_running: u64 = self.fleet.running(account);
        let served_ended = served.saturating_sub(served_running);
        let used = served_ended + self.reserved[account];
        self.fleet.truth.allowed(account).saturating_sub(used) >= arrival.max_cost()
    }

    fn apply_fault(&mut self, fault: Fault) {
        let fleet = &mut self.fleet;
        match fault {
            Fault::PlatformDown(down) => fleet.platform.down = down,
            Fault::RegionCut(true) => fleet.cut(1, true),
            Fault::RegionCut(false) => fleet.heal(),
            Fault::Kill(vm) => fleet.kill(vm),
            Fault::Start(vm) => {
                if !fleet.runs(vm) {
                    fleet.start(vm);
                }
            }
            Fault::Stop(vm) => fleet.stop(vm),
            Fault::Freeze(vm, true) => fleet.freeze(vm),
            Fault::Freeze(vm, false) => fleet.thaw(vm),
        }
    }

    /// Returns the tokens that are not served, not left in the ledger and not held by a running
    /// VM.
    fn stranded(&self, case: &Case) -> u64 {
        let mut stranded = 0;
        for (account, limit) in case.limits.iter().enumerate() {
            let served = self.fleet.truth.served.get(&account).copied().unwrap_or(0);
            let accounted = served + self.fleet.left(account) + self.fleet.held(account);
            stranded += limit.saturating_sub(accounted);
        }
        stranded
    }
}

#[expect(clippy::cast_precision_loss, reason = "values of printed tables")]
fn to_f64(count: u64) -> f64 {
    count as f64
}
