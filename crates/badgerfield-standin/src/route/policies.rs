//! The policies that are compared.

use std::time::Duration;

use badgerfield_core::amount::{Time, TokenRate};
use badgerfield_core::event::Work;
use badgerfield_core::ids::{Region, UpstreamId};
use badgerfield_core::residency::EVERYWHERE;
use badgerfield_core::template::AccountTemplate;
use badgerfield_core::vm_upstreams::{
    EngineInfo, LoadReport, UpstreamKind, VmEntry, VmList, VmUpstreamChoice, VmUpstreamCriteria,
    VmUpstreamInfo, VmUpstreams,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Case, DECODE_RATE, ENGINES, Job, PREFILL_RATE, SLOTS, VMS};
use crate::fleet::{account, region_name};

/// A policy for choosing an engine, with its state on all VMs.
pub(super) trait Policy {
    fn name(&self) -> &'static str;
    fn choose(&mut self, now: Duration, job: &Job) -> Option<usize>;
    fn record_sent(&mut self, _now: Duration, _job: &Job, _engine: usize) {}
    fn record_first_token(&mut self, _job: &Job, _engine: usize, _took: Duration) {}
    fn record_end(&mut self, _job: &Job, _engine: usize) {}
    fn record_failure(&mut self, _now: Duration, _job: &Job, _engine: usize) {}
    fn apply_report(&mut self, _now: Duration, _vm: usize, _engine: usize, _report: LoadReport) {}
}

/// Returns all policies for a case; `seed` is that of the random ones.
pub(super) fn all(case: &Case, seed: u64) -> [Box<dyn Policy>; 6] {
    let two_choices = Some(ChaCha8Rng::seed_from_u64(seed));
    [
        Box::new(RoundRobin { next: [0; VMS] }),
        Box::new(LeastOutstanding { loads: Loads::new(), two_choices: None }),
        Box::new(LeastOutstanding { loads: Loads::new(), two_choices }),
        Box::new(PrefixHash { bound_percent: None, loads: Loads::new() }),
        Box::new(PrefixHash { bound_percent: Some(125), loads: Loads::new() }),
        Box::new(BadgerfieldPolicy::new(case)),
    ]
}

struct RoundRobin {
    next: [usize; VMS],
}

impl Policy for RoundRobin {
    fn name(&self) -> &'static str {
        "round robin"
    }

    fn choose(&mut self, _: Duration, job: &Job) -> Option<usize> {
        self.next[job.vm] += 1;
        Some((self.next[job.vm] + job.vm * 7) % ENGINES)
    }
}

/// The load of each engine as each VM knows it: its own requests, and the last reports.
struct Loads {
    own_requests: Vec<[u32; ENGINES]>,
    reported: Vec<[u32; ENGINES]>,
}

impl Loads {
    fn new() -> Self {
        Self { own_requests: vec![[0; ENGINES]; VMS], reported: vec![[0; ENGINES]; VMS] }
    }

    fn load(&self, vm: usize, engine: usize) -> u32 {
        self.reported[vm][engine].max(self.own_requests[vm][engine])
    }

    fn record_sent(&mut self, vm: usize, engine: usize) {
        self.own_requests[vm][engine] += 1;
        self.reported[vm][engine] += 1;
    }

    fn record_end(&mut self, vm: usize, engine: usize) {
        self.own_requests[vm][engine] -= 1;
    }

    fn apply_report(&mut self, vm: usize, engine: usize, report: LoadReport) {
        self.reported[vm][engine] = report.running + report.queued;
    }
}

/// Chooses the engine with the fewest outstanding requests, of all engines or of two random
/// ones.
struct LeastOutstanding {
    loads: Loads,
    two_choices: Option<ChaCha8Rng>,
}

impl Policy for LeastOutstanding {
    fn name(&self) -> &'static str {
        if self.two_choices.is_some() { "power of two choices" } else { "least outstanding" }
    }

    fn choose(&mut self, _: Duration, job: &Job) -> Option<usize> {
        let load = |e: &usize| self.loads.load(job.vm, *e);
        let Some(rng) = &mut self.two_choices else {
            return (0..ENGINES).min_by_key(load);
        };
        let pair = [rng.random_range(0..ENGINES), rng.random_range(0..ENGINES)];
        pair.into_iter().min_by_key(load)
    }

    fn record_sent(&mut self, _: Duration, job: &Job, engine: usize) {
        self.loads.record_sent(job.vm, engine);
    }

    fn record_end(&mut self, job: &Job, engine: usize) {
        self.loads.record_end(job.vm, engine);
    }

    fn apply_report(&mut self, _: Duration, vm: usize, engine: usize, report: LoadReport) {
        self.loads.apply_report(vm, engine, report);
    }
}

/// Chooses the engine that the prefix hashes to, or the next one below a load bound.
struct PrefixHash {
    /// The maximum load of an engine, in percent of the mean load.
    bound_percent: Option<u32>,
    loads: Loads,
}

impl Policy for PrefixHash {
    fn name(&self) -> &'static str {
        if self.bound_percent.is_some() { "prefix hash, bounded load" } else { "prefix hash" }
    }

    fn choose(&mut self, _: Duration, job: &Job) -> Option<usize> {
        let Work::Chat(chat) = &job.work else {
            return None;
        };
        let digest = badgerfield_core::vm_upstreams::prefix_digests(
            &chat.prefix_digests[0].to_be_bytes().repeat(32),
        )[0];
        let first = usize::try_from(digest % u64::try_from(ENGINES).ok()?).ok()?;
        let Some(bound_percent) = self.bound_percent else {
            return Some(first);
        };
        let load = |e: usize| self.loads.load(job.vm, e);
        let total: u32 = (0..ENGINES).map(load).sum();
        let max_load = (total * bound_percent / 100).div_ceil(u32::try_from(ENGINES).ok()?) + 1;
        (0..ENGINES).map(|i| (first + i) % ENGINES).find(|e| load(*e) < max_load).or(Some(first))
    }

    fn record_sent(&mut self, _: Duration, job: &Job, engine: usize) {
        self.loads.record_sent(job.vm, engine);
    }

    fn record_end(&mut self, job: &Job, engine: usize) {
        self.loads.record_end(job.vm, engine);
    }

    fn apply_report(&mut self, _: Duration, vm: usize, engine: usize, report: LoadReport) {
        self.loads.apply_report(vm, engine, report);
    }
}

/// Chooses as badgerfield does, with one upstream table for each VM.
struct BadgerfieldPolicy {
    tables: Vec<VmUpstreams>,
    template: AccountTemplate,
    region: Region,
    choice_count: u64,
}

impl BadgerfieldPolicy {
    fn new(case: &Case) -> Self {
        let vms: Vec<_> = (0..ENGINES).map(|i| vm_entry(case, i)).collect();
        let table = || {
            let mut table = VmUpstreams::default();
            table.apply_list(&VmList { version: 1, vms: vms.clone() });
            table
        };
        let tables = (0..VMS).map(|_| table()).collect();
        Self { tables, template: account(), region: region_name(0), choice_count: 0 }
    }
}

impl Policy for BadgerfieldPolicy {
    fn name(&self) -> &'static str {
        "badgerfield"
    }

    fn choose(&mut self, now: Duration, job: &Job) -> Option<usize> {
        self.choice_count += 1;
        let seed = self.choice_count.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let criteria = VmUpstreamCriteria {
            work: &job.work,
            template: &self.template,
            residency: &EVERYWHERE,
            region: &self.region,
            seed,
        };
        match self.tables[job.vm].choose(Time(now), &criteria) {
            VmUpstreamChoice::Selected(id) => id.as_str().trim_start_matches("e-").parse().ok(),
            VmUpstreamChoice::Full(_) | VmUpstreamChoice::Unavailable => None,
        }
    }

    fn record_sent(&mut self, now: Duration, job: &Job, engine: usize) {
        self.tables[job.vm].record_dispatch(Time(now), &engine_id(engine), &job.work);
    }

    fn record_first_token(&mut self, job: &Job, engine: usize, took: Duration) {
        self.tables[job.vm].record_first_token(&engine_id(engine), &job.work, took);
    }

    fn record_end(&mut self, job: &Job, engine: usize) {
        self.tables[job.vm].record_end(&engine_id(engine), &job.work, true);
    }

    fn record_failure(&mut self, now: Duration, job: &Job, engine: usize) {
        self.tables[job.vm].record_failure(Time(now), &engine_id(engine));
    }

    fn apply_report(&mut self, now: Duration, vm: usize, engine: usize, report: LoadReport) {
        self.tables[vm].apply_report(Time(now), &engine_id(engine), report);
    }
}

fn engine_id(engine: usize) -> UpstreamId {
    format!("e-{engine}").parse().unwrap_or_else(|_| unreachable!("the name is valid"))
}

fn vm_entry(case: &Case, engine: usize) -> VmEntry {
    let slowdown = if engine % 2 == 1 { case.slow_factor } else { 1 };
    let kind = UpstreamKind::Engine(EngineInfo {
        model: "m".parse().unwrap_or_else(|_| unreachable!("the name is valid")),
        adapters: std::collections::BTreeSet::new(),
        prefill: TokenRate(PREFILL_RATE / slowdown),
        decode: TokenRate(DECODE_RATE / slowdown),
    });
    let upstream = VmUpstreamInfo {
        id: engine_id(engine),
        address: ([127, 0, 0, 1], 1).into(),
        region: region_name(0),
        hardware: "new".parse().unwrap_or_else(|_| unreachable!("the name is valid")),
        slots: SLOTS,
        kind,
    };
    let vm = format!("vm-{engine}").parse().unwrap_or_else(|_| unreachable!("the name is valid"));
    VmEntry { vm, leaving: false, upstream: Some(upstream) }
}
