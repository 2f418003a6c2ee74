//! Measures the growth rates that docs/CAPACITY.md uses.
//!
//! Each table varies one size and keeps the others constant, so that non-linear growth shows.

use std::sync::Arc;
use std::time::{Duration, Instant};

use badgerfield_core::amount::{Percent, Time, TokenRate, Tokens};
use badgerfield_core::claims::Claims;
use badgerfield_core::event::{Chat, Outbox, Work};
use badgerfield_core::ids::{BudgetId, Incarnation, Period, RequestKey, TemplateVersion};
use badgerfield_core::ledger::{BudgetTerms, LedgerOp, LedgerShard};
use badgerfield_core::message::ClaimRequest;
use badgerfield_core::residency::EVERYWHERE;
use badgerfield_core::view::View;
use badgerfield_core::vm_upstreams::{VmList, VmUpstreamCriteria, VmUpstreams};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fleet::{Fleet, Shape, Wish, account, engines, member, region_name};

/// The simulated time of one measurement.
const MEASURED_TIME: Duration = Duration::from_secs(60);
/// The simulated time before the measurement, in which the holdings reach stable sizes.
const WARM_UP_TIME: Duration = Duration::from_secs(30);

/// The maximum number of budgets whose requests arrive at one VM.
const BUDGETS_PER_VM: usize = 64;

/// Runs all measurements and prints their tables.
pub fn print(seed: u64) {
    measure_nodes(seed);
    measure_rates(seed);
    measure_budgets(seed);
    measure_shards(seed);
    measure_claims();
    measure_ledger();
    measure_routing();
    measure_views();
}

/// One measurement of a fleet, which prints one row.
struct Run {
    nodes: usize,
    budgets: usize,
    rate: u64,
    has_keys: bool,
    shards: u32,
    seed: u64,
}

impl Run {
    /// Measures a fleet under load and prints the row, and one line for each kind of message.
    fn print(&self) {
        let half = self.nodes / 2;
        let shape = Shape {
            regions: vec![self.nodes - half, half],
            limits: vec![1_000_000_000; self.budgets],
            shards: self.shards,
            noise: 0,
            seed: self.seed,
            ..Shape::default()
        };
        let mut fleet = Fleet::started(shape);
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        self.send_requests(&mut fleet, &mut rng, WARM_UP_TIME);
        let before: (u64, u64) = message_totals(&fleet);
        let (reads, writes, bytes) =
            (fleet.platform.reads, fleet.platform.writes, fleet.platform.bytes);
        let messages_before = fleet.messages().clone();
        let start = Instant::now();
        let requests = self.send_requests(&mut fleet, &mut rng, MEASURED_TIME);
        let wall_time = start.elapsed();
        let after = message_totals(&fleet);
        let node_seconds = to_f64(self.nodes) * MEASURED_TIME.as_secs_f64();
        let seconds = MEASURED_TIME.as_secs_f64();
        println!(
            "  {:>5} {:>8} {:>9.1} {:>10.1} {:>10.0} {:>9.3} {:>9.1} {:>9.1} {:>10.0}",
            self.nodes,
            self.budgets,
            to_f64(requests) / node_seconds,
            to_f64(after.0 - before.0) / node_seconds,
            to_f64(after.1 - before.1) / node_seconds,
            wall_time.as_secs_f64() / node_seconds * 100.0,
            to_f64(fleet.platform.reads - reads) / seconds,
            to_f64(fleet.platform.writes - writes) / seconds,
            to_f64(fleet.platform.bytes - bytes) / seconds
        );
        for (kind, (count, size)) in fleet.messages() {
            let (old_count, old_size) = messages_before.get(kind).copied().unwrap_or_default();
            let (count, size) = (count - old_count, size - old_size);
            if count > 0 {
                println!(
                    "          {kind:<10} {:>8.2}/s {:>8.1} B/s a node",
                    to_f64(count) / node_seconds,
                    to_f64(size) / node_seconds
                );
            }
        }
    }

    fn send_requests(&self, fleet: &mut Fleet, rng: &mut ChaCha8Rng, duration: Duration) -> u64 {
        let total = self.rate * u64::try_from(self.nodes).unwrap_or(1);
        let gap = Duration::from_secs(1) / u32::try_from(total.max(1)).unwrap_or(1);
        let mut elapsed = Duration::ZERO;
        let mut count = 0;
        while elapsed < duration {
            let vm = rng.random_range(0..self.nodes);
            // Callers of a budget are directed to few VMs.
            let budget = (vm + self.nodes * rng.random_range(0..BUDGETS_PER_VM)) % self.budgets;
            let key = self.has_keys.then(|| format!("{elapsed:?}"));
            let wish = Wish { budget, key, once: false, service: false, prompt: 200, output: 200 };
            fleet.ask(vm, wish);
            fleet.advance(gap);
            elapsed += gap;
            count += 1;
        }
        fleet.forget_ended();
        count
    }
}

fn print_header() {
    println!(
        "  {:>5} {:>8} {:>9} {:>10} {:>10} {:>9} {:>9} {:>9} {:>10}",
        "nodes", "budgets", "req/s", "msgs/s", "B/s", "% core", "kv reads", "kv writes", "kv B/s"
    );
    println!(
        "  (requests, messages, bytes and time of one core per node; the rest for the whole fleet)"
    );
}

fn measure_nodes(seed: u64) {
    println!("nodes, at 2 requests a second each without keys, 8 budgets a node:");
    print_header();
    for nodes in [8, 16, 32, 64] {
        Run { nodes, budgets: nodes * 8, rate: 2, has_keys: false, shards: 8, seed }.print();
    }
    println!("nodes without any request:");
    print_header();
    for nodes in [8, 16, 32, 64, 128] {
        Run { nodes, budgets: 8, rate: 0, has_keys: false, shards: 8, seed }.print_idle();
    }
}

impl Run {
    /// Measures a fleet without requests and prints the row.
    fn print_idle(&self) {
        let half = self.nodes / 2;
        let shape = Shape {
            regions: vec![self.nodes - half, half],
            limits: vec![1_000_000; self.budgets],
            noise: 0,
            seed: self.seed,
            ..Shape::default()
        };
        let mut fleet = Fleet::started(shape);
        fleet.advance(WARM_UP_TIME);
        let before = message_totals(&fleet);
        let (reads, writes) = (fleet.platform.reads, fleet.platform.writes);
        let start = Instant::now();
        fleet.advance(MEASURED_TIME);
        let wall_time = start.elapsed();
        let after = message_totals(&fleet);
        let (seconds, node_seconds) =
            (MEASURED_TIME.as_secs_f64(), to_f64(self.nodes) * MEASURED_TIME.as_secs_f64());
        println!(
            "  {:>5} {:>8} {:>9.1} {:>10.1} {:>10.0} {:>9.3} {:>9.1} {:>9.1}",
            self.nodes,
            self.budgets,
            0.0,
            to_f64(after.0 - before.0) / node_seconds,
            to_f64(after.1 - before.1) / node_seconds,
            wall_time.as_secs_f64() / node_seconds * 100.0,
            to_f64(fleet.platform.reads - reads) / seconds,
            to_f64(fleet.platform.writes - writes) / seconds
        );
    }
}

fn measure_rates(seed: u64) {
    println!("requests a second, 8 nodes, 64 budgets, with keys:");
    print_header();
    for rate in [2, 8, 34] {
        Run { nodes: 8, budgets: 64, rate, has_keys: true, shards: 8, seed }.print();
    }
    println!("the same without keys:");
    print_header();
    for rate in [2, 8, 34] {
        Run { nodes: 8, budgets: 64, rate, has_keys: false, shards: 8, seed }.print();
    }
}

fn measure_budgets(seed: u64) {
    println!("budgets, 8 nodes, 34 requests a second each without keys:");
    print_header();
    for budgets in [8, 64, 512] {
        Run { nodes: 8, budgets, rate: 34, has_keys: false, shards: 8, seed }.print();
    }
}

fn measure_shards(seed: u64) {
    println!("ledger shards, 32 nodes, 2048 budgets, 2 requests a second each without keys:");
    print_header();
    for shards in [8, 16, 32] {
        Run { nodes: 32, budgets: 2048, rate: 2, has_keys: false, shards, seed }.print();
    }
}

/// Measures the memory and the time for remembered keys.
fn measure_claims() {
    println!("remembered keys: bytes and time each");
    println!("  {:>9} {:>10} {:>12} {:>12}", "keys", "B a key", "us a claim", "us a sweep");
    for count in [10_000_u64, 40_000, 160_000] {
        let me = Incarnation(1);
        let mut claims = Claims::new(me, Duration::from_secs(900));
        let mut out = Outbox::default();
        let view = View::default().with_member(member(0, 0, 0, me), true);
        claims.apply_view(Time::default(), &Arc::new(view.clone()), &mut out);
        let before = resident_bytes();
        let start = Instant::now();
        for n in 0..count {
            let key =
                RequestKey(u128::from(n) << 64 | u128::from(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
            let epoch = claims.epoch();
            let request = ClaimRequest {
                key,
                home: None,
                serial: n,
                epoch,
                at_most_once: false,
                replaces: None,
            };
            claims.decide(Time::default(), me, &request, &mut out);
        }
        let wall_time = start.elapsed();
        let bytes = resident_bytes().saturating_sub(before);
        let start = Instant::now();
        claims.tick(Time::from_millis(5000), &mut out);
        let sweep_time = start.elapsed();
        println!(
            "  {:>9} {:>10.0} {:>12.2} {:>12.0}",
            count,
            to_f64(bytes) / to_f64(count),
            wall_time.as_secs_f64() * 1e6 / to_f64(count),
            sweep_time.as_secs_f64() * 1e6
        );
        drop(claims);
    }
}

/// Measures the size of one ledger shard and the time of a write.
fn measure_ledger() {
    println!(
        "ledger shard: bytes and time of one write with 50 changes, by budgets, 4 holders each"
    );
    println!("  {:>9} {:>10} {:>10} {:>12}", "budgets", "bytes", "B/budget", "ms a write");
    for budgets in [100_usize, 400, 1600, 3200] {
        let mut shard = LedgerShard::default();
        for budget in 0..budgets {
            for holder in 0..4 {
                shard.apply(&ledger_op(budget, holder, 1));
            }
        }
        let start = Instant::now();
        for budget in 0..50 {
            shard.apply(&ledger_op(budget % budgets, 0, 2));
        }
        let bytes = shard.encode();
        let wall_time = start.elapsed();
        println!(
            "  {:>9} {:>10} {:>10} {:>12.2}",
            budgets,
            bytes.len(),
            bytes.len() / budgets,
            wall_time.as_secs_f64() * 1e3
        );
    }
}

fn ledger_op(budget: usize, holder: u64, seq: u64) -> LedgerOp {
    let budget: BudgetId = format!("account-{}/budget-{budget}", budget % 950)
        .parse()
        .unwrap_or_else(|_| unreachable!("the name is valid"));
    LedgerOp {
        budget,
        terms: BudgetTerms {
            version: TemplateVersion(1),
            period: Period(1),
            limit: Tokens(1_000_000_000),
        },
        holder: Incarnation(holder.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        seq,
        need: Tokens(400),
        returned: Tokens::ZERO,
        held: Tokens(123_456),
        rate: TokenRate(2000),
        request_size: Tokens(400),
        region: region_name(0),
        horizon: std::time::Duration::from_secs(7200),
        spread: Percent::new(80).unwrap_or_else(|_| unreachable!("a share")),
        billed: Tokens(1_234_567),
        wasted: Tokens::ZERO,
        close: false,
        seal: None,
        witness: None,
        witness_reports: Vec::new(),
    }
}

/// Measures the time of choosing an upstream.
fn measure_routing() {
    println!("routing: time of one choice by replicas that serve the model");
    println!("  {:>9} {:>12}", "replicas", "us a choice");
    for count in [20_usize, 100, 400, 1700] {
        let mut table = VmUpstreams::default();
        table.apply_list(&VmList { version: 1, vms: engines(count) });
        let work = Work::Chat(Chat {
            model: "m".parse().unwrap_or_else(|_| unreachable!("the name is valid")),
            adapter: None,
            prompt_tokens: Tokens(2000),
            output_limit: None,
            prefix_digests: (0..8).collect(),
        });
        let template = account();
        let region = region_name(0);
        let start = Instant::now();
        for seed in 0..1000 {
            let criteria = VmUpstreamCriteria {
                work: &work,
                template: &template,
                residency: &EVERYWHERE,
                region: &region,
                seed,
            };
            std::hint::black_box(table.choose(Time::default(), &criteria));
        }
        println!("  {:>9} {:>12.1}", count, start.elapsed().as_secs_f64() * 1e6 / 1000.0);
    }
}

/// Measures the size of a membership view and the time of ranking its members.
fn measure_views() {
    println!("membership view: bytes, and the time to rank members for a key");
    println!("  {:>9} {:>10} {:>12}", "members", "bytes", "us a rank");
    for count in [8_usize, 64, 217, 650] {
        let mut view = View::default();
        for n in 0..count {
            let id =
                Incarnation(u64::try_from(n + 1).unwrap_or(0).wrapping_mul(0x9e37_79b9_7f4a_7c15));
            view = view.with_member(member(n, 0, n, id), true);
        }
        let bytes = view.completed().encode().len();
        let start = Instant::now();
        for n in 0..200 {
            std::hint::black_box(view.arbiters(RequestKey(n), None));
        }
        println!(
            "  {:>9} {:>10} {:>12.1}",
            count,
            bytes,
            start.elapsed().as_secs_f64() * 1e6 / 200.0
        );
    }
}

/// Returns the number and the total size of all messages so far.
fn message_totals(fleet: &Fleet) -> (u64, u64) {
    let sum = |sum: (u64, u64), message: &(u64, u64)| (sum.0 + message.0, sum.1 + message.1);
    fleet.messages().values().fold((0, 0), sum)
}

/// Returns the resident memory of this process in bytes, for pages of 4096 bytes.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text.split_whitespace().nth(1).and_then(|p| p.parse().ok()).unwrap_or(0);
    pages * 4096
}

#[expect(clippy::cast_precision_loss, reason = "values of printed tables")]
fn to_f64(count: impl TryInto<u64>) -> f64 {
    count.try_into().unwrap_or(0) as f64
}
