//! Sends requests as callers do, and compares what they got with the truth.
//!
//! Arrivals are open-loop: they come at their time, however slow the answers are. A
//! caller asks the directory, keeps its answer for as long as it may, retries with the
//! same key when a VM is gone or says when to come back, and gives up after a while.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use badgerfield_node::http::{self, HttpClient};
use badgerfield_node::sync::lock;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use crate::engine::{prompt_of, words};

/// How often a caller tries one request.
const TRIES: u32 = 4;
/// How long one try may take.
const PATIENCE: Duration = Duration::from_secs(60);
/// The first pause before a retry; it doubles.
const PAUSE: Duration = Duration::from_millis(200);
/// How many prompts share each prefix.
const PREFIXES: u64 = 10;
/// The largest time that a histogram holds, in microseconds.
const MAX_MICROS: u64 = 120_000_000;

/// What to send.
#[derive(Debug, Clone)]
pub struct Plan {
    /// A VM that answers for the directory.
    pub directory: SocketAddr,
    /// The caller's key.
    pub key: String,
    /// The model.
    pub model: String,
    /// Requests a second.
    pub rate: u64,
    /// For how long.
    pub length: Duration,
    /// The output limit of each request.
    pub output: u64,
    /// The share of requests that begin with a shared prefix, in hundredths.
    pub shared: u64,
    /// The seed of arrivals and prompts.
    pub seed: u64,
    /// The admin ports of the engines, which tell the truth.
    pub engines: Vec<SocketAddr>,
    /// The limit of the budget, to compare with what was served.
    pub limit: u64,
}

#[derive(Debug, Default)]
struct Counts {
    whole: AtomicU64,
    wrong: AtomicU64,
    spent: AtomicU64,
    refused: AtomicU64,
    lost: AtomicU64,
    retries: AtomicU64,
}

struct Shared {
    plan: Plan,
    client: HttpClient,
    vms: Mutex<(Vec<SocketAddr>, Instant)>,
    counts: Counts,
    first: Mutex<Histogram<u64>>,
    gaps: Mutex<Histogram<u64>>,
}

/// How one try ended.
enum Tried {
    Whole(String),
    Final(u64),
    Again(Duration),
}

/// Runs a plan and prints a report, as text or as JSON.
///
/// # Errors
///
/// Fails if the directory or an engine does not answer.
pub async fn run(plan: Plan, machine: bool) -> Result<()> {
    let client = http::client();
    let vms = directory(&client, &plan).await.context("the directory does not answer")?;
    let before = served(&client, &plan.engines).await?;
    let shared = Arc::new(Shared {
        vms: Mutex::new(vms),
        counts: Counts::default(),
        first: Mutex::new(Histogram::new_with_bounds(1, MAX_MICROS, 3)?),
        gaps: Mutex::new(Histogram::new_with_bounds(1, MAX_MICROS, 3)?),
        client,
        plan,
    });
    send_all(&shared).await;
    let after = served(&shared.client, &shared.plan.engines).await?;
    let report = report(&shared, after.saturating_sub(before), after);
    if machine {
        println!("{report}");
        return Ok(());
    }
    for (name, value) in report.as_object().into_iter().flatten() {
        println!("{name:<28} {value}");
    }
    Ok(())
}

async fn send_all(shared: &Arc<Shared>) {
    let mut rng = ChaCha8Rng::seed_from_u64(shared.plan.seed);
    let start = Instant::now();
    let mut at = Duration::ZERO;
    let mut open = tokio::task::JoinSet::new();
    let mut number = 0_u64;
    while at < shared.plan.length {
        let unit: f64 = rng.random_range(1e-9..1.0);
        let rate = f64::from(u32::try_from(shared.plan.rate.max(1)).unwrap_or(u32::MAX));
        at += Duration::from_secs_f64(-unit.ln() / rate);
        let prompt = prompt(shared.plan.shared, number, &mut rng);
        let seed = rng.random();
        tokio::time::sleep_until((start + at).into()).await;
        let shared = Arc::clone(shared);
        let key = format!("load-{}-{number}", shared.plan.seed);
        open.spawn(async move { shared.caller(&key, &prompt, seed).await });
        number += 1;
    }
    while open.join_next().await.is_some() {}
}

fn prompt(shared: u64, number: u64, rng: &mut ChaCha8Rng) -> String {
    let own = format!("question {number}: {}", "why ".repeat(rng.random_range(1..40)));
    if rng.random_range(0..100) >= shared {
        return own;
    }
    let prefix = format!("deed {} ", rng.random_range(0..PREFIXES)).repeat(200);
    format!("{prefix}{own}")
}

impl Shared {
    async fn caller(&self, key: &str, prompt: &str, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let start = Instant::now();
        for attempt in 0..TRIES {
            let vm = self.vm(&mut rng).await;
            match self.attempt(vm, key, prompt, start).await {
                Tried::Whole(text) => {
                    let body = json!({ "messages": [{ "content": prompt }] });
                    let expected = words(&prompt_of(&body), self.plan.output).concat();
                    let count =
                        if text == expected { &self.counts.whole } else { &self.counts.wrong };
                    count.fetch_add(1, Ordering::Relaxed);
                    return;
                }
                Tried::Final(status) => {
                    let count =
                        if status == 402 { &self.counts.spent } else { &self.counts.refused };
                    count.fetch_add(1, Ordering::Relaxed);
                    return;
                }
                Tried::Again(after) => {
                    self.counts.retries.fetch_add(1, Ordering::Relaxed);
                    let pause = after.max(PAUSE.saturating_mul(1 << attempt));
                    let jitter = Duration::from_millis(rng.random_range(0..100));
                    tokio::time::sleep(pause + jitter).await;
                }
            }
        }
        self.counts.lost.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns a VM that the directory names.
    async fn vm(&self, rng: &mut ChaCha8Rng) -> SocketAddr {
        let (mut vms, until) = lock(&self.vms).clone();
        if Instant::now() >= until
            && let Some(fresh) = directory(&self.client, &self.plan).await
        {
            vms.clone_from(&fresh.0);
            *lock(&self.vms) = fresh;
        }
        vms.get(rng.random_range(0..vms.len().max(1))).copied().unwrap_or(self.plan.directory)
    }

    async fn attempt(&self, vm: SocketAddr, key: &str, prompt: &str, start: Instant) -> Tried {
        let body = json!({
            "model": self.plan.model,
            "stream": true,
            "max_tokens": self.plan.output,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let request = Request::post(format!("http://{vm}/v1/chat/completions"))
            .header("authorization", format!("Bearer {}", self.plan.key))
            .header("idempotency-key", key)
            .body(Full::new(Bytes::from(body.to_string())));
        let again = Tried::Again(Duration::ZERO);
        let Ok(request) = request else {
            return again;
        };
        let work = async {
            let response = self.client.request(request).await.ok()?;
            let status = response.status().as_u16();
            let wait = response.headers().get("retry-after").and_then(|v| v.to_str().ok());
            let wait = wait.and_then(|v| v.parse().ok()).map(Duration::from_secs);
            if status != 200 {
                return Some(wait.map_or(Tried::Final(status.into()), Tried::Again));
            }
            self.read(response.into_body(), start).await.map(Tried::Whole)
        };
        tokio::time::timeout(PATIENCE, work).await.ok().flatten().unwrap_or(again)
    }

    /// Reads a stream; returns its text if it is whole.
    async fn read(&self, mut body: hyper::body::Incoming, start: Instant) -> Option<String> {
        let (mut text, mut buffer) = (String::new(), Vec::new());
        let mut last: Option<Instant> = None;
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.ok()?.into_data() else {
                continue;
            };
            buffer.extend_from_slice(&data);
            while let Some(end) = buffer.windows(2).position(|w| w == b"\n\n") {
                let event: Vec<u8> = buffer.drain(..end + 2).collect();
                let event = event.strip_prefix(b"data: ")?;
                if event.starts_with(b"[DONE]") {
                    return Some(text);
                }
                let now = Instant::now();
                match last.replace(now) {
                    None => record(&self.first, now - start),
                    Some(before) => record(&self.gaps, now - before),
                }
                let event: Value = serde_json::from_slice(event).ok()?;
                text.push_str(event["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
            }
        }
        None
    }
}

async fn directory(client: &HttpClient, plan: &Plan) -> Option<(Vec<SocketAddr>, Instant)> {
    let request = Request::get(format!("http://{}/v1/vms", plan.directory))
        .header("authorization", format!("Bearer {}", plan.key))
        .body(Full::default())
        .ok()?;
    let answer = http::call_json(client, request, Duration::from_secs(2)).await.ok()?;
    let vms = answer["vms"].as_array()?;
    let vms = vms.iter().filter_map(|vm| vm["address"].as_str()?.parse().ok()).collect();
    let ttl = Duration::from_secs(answer["ttl_s"].as_u64().unwrap_or(1));
    Some((vms, Instant::now() + ttl))
}

/// Returns the tokens that the engines have truly served.
async fn served(client: &HttpClient, engines: &[SocketAddr]) -> Result<u64> {
    let mut sum = 0;
    for admin in engines {
        let request = Request::get(format!("http://{admin}/truth")).body(Full::default())?;
        let truth = http::call_json(client, request, Duration::from_secs(5)).await?;
        for stream in truth.as_object().into_iter().flat_map(serde_json::Map::values) {
            sum += stream["prompt"].as_u64().unwrap_or(0) + stream["output"].as_u64().unwrap_or(0);
        }
    }
    Ok(sum)
}

fn report(shared: &Shared, served: u64, total: u64) -> Value {
    let counts = &shared.counts;
    let get = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let limit = shared.plan.limit;
    let (first, gaps) = (lock(&shared.first), lock(&shared.gaps));
    let millis = |h: &Histogram<u64>, q: f64| {
        f64::from(u32::try_from(h.value_at_quantile(q)).unwrap_or(0)) / 1000.0
    };
    // What was refused for want of budget is false as far as the engines served less.
    let left = limit.saturating_sub(total);
    json!({
        "whole answers": get(&counts.whole),
        "wrong answers": get(&counts.wrong),
        "refused, budget spent": get(&counts.spent),
        "refused otherwise": get(&counts.refused),
        "given up after retries": get(&counts.lost),
        "retries": get(&counts.retries),
        "tokens served": served,
        "overspend": total.saturating_sub(limit),
        "budget not served": left,
        "first token ms p50": millis(&first, 0.5),
        "first token ms p95": millis(&first, 0.95),
        "first token ms p99": millis(&first, 0.99),
        "between tokens ms p50": millis(&gaps, 0.5),
        "between tokens ms p95": millis(&gaps, 0.95),
        "between tokens ms p99": millis(&gaps, 0.99),
    })
}

fn record(histogram: &Mutex<Histogram<u64>>, span: Duration) {
    let micros = u64::try_from(span.as_micros()).unwrap_or(MAX_MICROS).clamp(1, MAX_MICROS);
    // A value within the bounds can always be recorded.
    let _ = lock(histogram).record(micros);
}
