//! Compares policies for choosing an upstream, on the same arrivals.
//!
//! Engines read prompts one after the other, except the tokens that their bounded prefix
//! cache holds, and produce the tokens of up to `SLOTS` streams at the decode rate. Several
//! VMs choose independently, each from its own requests and from delayed load reports.

mod policies;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use badgerfield_core::amount::Tokens;
use badgerfield_core::event::{Chat, Work};
use badgerfield_core::vm_upstreams::LoadReport;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::policies::Policy;

/// The number of VMs that choose.
const VMS: usize = 8;
/// The number of engines to choose from.
const ENGINES: usize = 20;
/// The maximum number of concurrent streams of an engine.
const SLOTS: u32 = 32;
/// Prompt tokens that an engine reads per second.
const PREFILL_RATE: u64 = 20_000;
/// Output tokens of each stream per second.
const DECODE_RATE: u64 = 40;
/// The number of prefixes that the cache of an engine holds.
const CACHE_SIZE: usize = 8;
/// The tokens of the prefix, and of the rest of the prompt.
const PROMPT_TOKENS: (u64, u64) = (2048, 200);
/// The time during which requests arrive.
const CASE_DURATION: Duration = Duration::from_secs(90);
/// The time at which engine 0 slows down or fails.
const FAULT_TIME: Duration = Duration::from_secs(30);
/// The target for the time to the first token.
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(1400);
/// The maximum time that a request waits for an engine before it is refused.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// The interval at which a waiting request chooses again.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// One simulated case.
struct Case {
    name: &'static str,
    /// Requests per second.
    rate: u64,
    /// The percentage of requests with a shared prefix, and the percentage with the most
    /// frequent prefix.
    prefix_percent: (u64, u64),
    /// The interval of the load reports, which is also their maximum age.
    report_interval: Duration,
    /// The factor by which every second engine is slower.
    slow_factor: u64,
    /// The factor by which engine 0 slows down at the fault; 0 means that it fails.
    fault_factor: Option<u64>,
}

/// One request and the VM that receives it.
#[derive(Clone)]
struct Job {
    arrives_at: Duration,
    vm: usize,
    prefix: Option<u64>,
    output: u64,
    work: Work,
}

#[derive(Default)]
struct Engine {
    /// The time at which the last admitted prompt will have been read.
    prefill_end: Duration,
    running: u32,
    queue: VecDeque<usize>,
    cache: VecDeque<u64>,
    slowdown: u64,
    has_failed: bool,
}

/// Runs every policy in every case and prints the results.
pub fn print(seed: u64) {
    println!(
        "{VMS} VMs, {ENGINES} engines, {} s, seed {seed}; first token and time between tokens in ms",
        CASE_DURATION.as_secs()
    );
    for case in cases() {
        println!();
        println!("{}", case.name);
        println!(
            "  {:<28} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8} {:>8}",
            "", "p50", "p95", "p99", "tbt p95", "tbt p99", "hits %", "in aim %", "refused"
        );
        let jobs = generate_jobs(&case, seed);
        for mut policy in policies::all(&case, seed) {
            Simulation::run(&case, &jobs, policy.as_mut()).print(policy.name());
        }
    }
    println!();
    println!(
        "in aim: requests whose first token came within {} ms, of all requests",
        FIRST_TOKEN_TARGET.as_millis()
    );
}

fn cases() -> Vec<Case> {
    let base = |name| Case {
        name,
        rate: 60,
        prefix_percent: (50, 10),
        report_interval: Duration::from_millis(500),
        slow_factor: 1,
        fault_factor: None,
    };
    let millis = Duration::from_millis;
    vec![
        Case { prefix_percent: (0, 0), ..base("no shared prefixes, reports 0.5 s late") },
        base("half of the requests share 40 prefixes, reports 0.5 s late"),
        Case { prefix_percent: (90, 10), ..base("9 in 10 share 40 prefixes, reports 0.5 s late") },
        Case { prefix_percent: (90, 60), ..base("one hot prefix at 60%, reports 0.5 s late") },
        Case { report_interval: millis(1), ..base("half shared, reports at once") },
        Case { report_interval: millis(2000), ..base("half shared, reports 2 s late") },
        Case {
            slow_factor: 3,
            rate: 40,
            ..base("half shared, every second engine 3 times slower")
        },
        Case { fault_factor: Some(5), ..base("half shared, one engine slows down 5 times") },
        Case { fault_factor: Some(0), ..base("half shared, one engine fails") },
        Case { rate: 120, ..base("half shared, 1.4 times the capacity") },
    ]
}

fn generate_jobs(case: &Case, seed: u64) -> Vec<Job> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut jobs = Vec::new();
    let mut arrives_at = Duration::ZERO;
    while arrives_at < CASE_DURATION {
        let unit: f64 = rng.random_range(1e-9..1.0);
        arrives_at += Duration::from_secs_f64(-unit.ln() / to_f64(case.rate));
        let percent = rng.random_range(0..100);
        let prefix = if percent < case.prefix_percent.1 {
            Some(0)
        } else if percent < case.prefix_percent.0 {
            Some(rng.random_range(1..40))
        } else {
            None
        };
        let unshared = rng.random::<u64>();
        let digests = (0..PROMPT_TOKENS.0 / 256)
            .map(|i| prefix.unwrap_or(unshared).wrapping_mul(31) + i)
            .collect();
        let work = Work::Chat(Chat {
            model: "m".parse().unwrap_or_else(|_| unreachable!("the name is valid")),
            adapter: None,
            prompt_tokens: Tokens(PROMPT_TOKENS.0 + PROMPT_TOKENS.1),
            output_limit: None,
            prefix_digests: digests,
        });
        let (vm, output) = (rng.random_range(0..VMS), rng.random_range(50..350));
        jobs.push(Job { arrives_at, vm, prefix, output, work });
    }
    jobs
}

/// An event of the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A job arrives, or chooses again.
    Arrive(usize),
    /// A job gets its first token from an engine.
    First(usize, usize),
    /// A job ends at an engine.
    End(usize, usize),
    /// All VMs receive the load report of an engine.
    Report(usize),
    /// The fault of the case occurs.
    Fault,
}

/// The simulation of one case under one policy.
struct Simulation<'a> {
    case: &'a Case,
    jobs: &'a [Job],
    engines: Vec<Engine>,
    /// The pending events with their times; the sequence number orders events of the same
    /// time.
    events: BinaryHeap<Reverse<(Duration, usize, Event)>>,
    event_count: usize,
    first_token_times: Vec<Duration>,
    token_gaps: Vec<Duration>,
    cache_hits: u64,
    /// The requests with a shared prefix.
    prefix_requests: u64,
    refused: u64,
}

/// The results of one simulation.
struct Outcome {
    first_token_times: Vec<Duration>,
    token_gaps: Vec<Duration>,
    /// The percentage of requests with a shared prefix that hit the prefix cache.
    hit_percent: f64,
    /// The percentage of requests whose first token came within the target.
    on_target_percent: f64,
    refused: u64,
}

impl Outcome {
    fn print(&self, name: &str) {
        let quantile_ms = |sorted: &[Duration], percent: usize| {
            let last = sorted.len().saturating_sub(1);
            sorted.get(last * percent / 100).copied().unwrap_or_default().as_secs_f64() * 1000.0
        };
        println!(
            "  {name:<28} {:>7.0} {:>7.0} {:>7.0} {:>7.0} {:>7.0} {:>7.0} {:>8.1} {:>8}",
            quantile_ms(&self.first_token_times, 50),
            quantile_ms(&self.first_token_times, 95),
            quantile_ms(&self.first_token_times, 99),
            quantile_ms(&self.token_gaps, 95),
            quantile_ms(&self.token_gaps, 99),
            self.hit_percent,
            self.on_target_percent,
            self.refused
        );
    }
}

impl<'a> Simulation<'a> {
    fn run(case: &'a Case, jobs: &'a [Job], policy: &mut dyn Policy) -> Outcome {
        let engine = |i: usize| Engine {
            slowdown: if i % 2 == 1 { case.slow_factor } else { 1 },
            ..Engine::default()
        };
        let mut simulation = Self {
            case,
            jobs,
            engines: (0..ENGINES).map(engine).collect(),
            events: BinaryHeap::new(),
            event_count: 0,
            first_token_times: Vec::new(),
            token_gaps: Vec::new(),
            cache_hits: 0,
            prefix_requests: 0,
            refused: 0,
        };
        simulation.simulate(policy);
        simulation.into_outcome()
    }

    fn into_outcome(mut self) -> Outcome {
        self.first_token_times.sort_unstable();
        self.token_gaps.sort_unstable();
        let on_target = self.first_token_times.iter().filter(|f| **f <= FIRST_TOKEN_TARGET).count();
        Outcome {
            hit_percent: 100.0 * to_f64(self.cache_hits) / to_f64(self.prefix_requests.max(1)),
            on_target_percent: 100.0 * to_f64(on_target) / to_f64(self.jobs.len()),
            refused: self.refused,
            first_token_times: self.first_token_times,
            token_gaps: self.token_gaps,
        }
    }

    fn schedule(&mut self, time: Duration, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((time, self.event_count, event)));
    }

    fn simulate(&mut self, policy: &mut dyn Policy) {
        for (job_index, job) in self.jobs.iter().enumerate() {
            self.schedule(job.arrives_at, Event::Arrive(job_index));
        }
        self.schedule(FAULT_TIME, Event::Fault);
        for engine in 0..ENGINES {
            self.schedule(Duration::ZERO, Event::Report(engine));
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::Arrive(job) => self.dispatch(now, job, policy),
                Event::First(job, engine) => self.produce_first_token(now, job, engine, policy),
                Event::End(job, engine) => self.end_request(now, job, engine, policy),
                Event::Report(engine) => self.send_reports(now, engine, policy),
                Event::Fault => self.apply_fault(),
            }
        }
    }

    fn dispatch(&mut self, now: Duration, job_index: usize, policy: &mut dyn Policy) {
        let jobs = self.jobs;
        let job = &jobs[job_index];
        let choice = policy.choose(now, job);
        let Some(engine) = choice.filter(|e| !self.engines[*e].has_failed) else {
            if let Some(failed) = choice {
                policy.record_failure(now, job, failed);
            }
            if now.saturating_sub(job.arrives_at) >= MAX_WAIT {
                self.refused += 1;
            } else {
                self.schedule(now + RETRY_INTERVAL, Event::Arrive(job_index));
            }
            return;
        };
        policy.record_sent(now, job, engine);
        self.engines[engine].queue.push_back(job_index);
        self.admit(now, engine);
    }

    /// Admits queued requests of an engine into its free slots.
    fn admit(&mut self, now: Duration, engine_index: usize) {
        while self.engines[engine_index].running < SLOTS {
            let Some(job_index) = self.engines[engine_index].queue.pop_front() else {
                return;
            };
            let engine = &mut self.engines[engine_index];
            engine.running += 1;
            let mut tokens = PROMPT_TOKENS.0 + PROMPT_TOKENS.1;
            if let Some(prefix) = self.jobs[job_index].prefix {
                self.prefix_requests += 1;
                if engine.cache.contains(&prefix) {
                    tokens = PROMPT_TOKENS.1;
                    self.cache_hits += 1;
                }
                engine.cache.retain(|p| *p != prefix);
                engine.cache.push_back(prefix);
                if engine.cache.len() > CACHE_SIZE {
                    engine.cache.pop_front();
                }
            }
            let start = engine.prefill_end.max(now);
            let micros = tokens * 1_000_000 / PREFILL_RATE * engine.slowdown;
            engine.prefill_end = start + Duration::from_micros(micros);
            let first = engine.prefill_end + self.token_gap(engine_index);
            self.schedule(first, Event::First(job_index, engine_index));
        }
    }

    /// Returns the time between two tokens of a stream.
    ///
    /// It grows with the batch, to 1.5 times its base when all slots are taken.
    fn token_gap(&self, engine_index: usize) -> Duration {
        let engine = &self.engines[engine_index];
        let base = 1_000_000 / DECODE_RATE * engine.slowdown;
        Duration::from_micros(base + base * u64::from(engine.running) / u64::from(SLOTS) / 2)
    }

    fn produce_first_token(
        &mut self,
        now: Duration,
        job_index: usize,
        engine: usize,
        policy: &mut dyn Policy,
    ) {
        let job = &self.jobs[job_index];
        self.first_token_times.push(now.saturating_sub(job.arrives_at));
        policy.record_first_token(job, engine, now.saturating_sub(job.arrives_at));
        let gap = self.token_gap(engine);
        self.token_gaps.push(gap);
        let tokens = u32::try_from(job.output).unwrap_or(1);
        self.schedule(now + gap * tokens, Event::End(job_index, engine));
    }

    fn end_request(
        &mut self,
        now: Duration,
        job_index: usize,
        engine: usize,
        policy: &mut dyn Policy,
    ) {
        policy.record_end(&self.jobs[job_index], engine);
        self.engines[engine].running -= 1;
        self.admit(now, engine);
    }

    fn send_reports(&mut self, now: Duration, engine_index: usize, policy: &mut dyn Policy) {
        let engine = &self.engines[engine_index];
        let backlog = engine.prefill_end.saturating_sub(now).as_micros() * u128::from(PREFILL_RATE)
            / 1_000_000;
        let report = LoadReport {
            running: engine.running,
            queued: u32::try_from(engine.queue.len()).unwrap_or(u32::MAX),
            prefill: Tokens(u64::try_from(backlog).unwrap_or(u64::MAX)),
            leaving: false,
        };
        for vm in 0..VMS {
            policy.apply_report(now, vm, engine_index, report);
        }
        if now < CASE_DURATION {
            // The VMs use this report until the next one arrives, one interval later.
            self.schedule(now + self.case.report_interval, Event::Report(engine_index));
        }
    }

    fn apply_fault(&mut self) {
        match self.case.fault_factor {
            None => {}
            Some(0) => self.engines[0].has_failed = true,
            Some(factor) => self.engines[0].slowdown *= factor,
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "values of printed tables")]
fn to_f64(count: impl TryInto<u64>) -> f64 {
    count.try_into().unwrap_or(0) as f64
}
