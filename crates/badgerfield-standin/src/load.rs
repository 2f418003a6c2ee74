//! Sends requests as callers do, and compares the answers with what the engines served.
//!
//! Arrivals are open-loop: requests are sent on schedule, however slow the answers are. A
//! caller fetches the directory and caches it until its TTL ends. It retries with the same
//! key if the connection fails, the answer is incomplete or the refusal has a `Retry-After`
//! header, and gives up after `MAX_ATTEMPTS` attempts.

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

use crate::engine::{answer_words, prompt_text};

/// The maximum number of attempts for one request.
const MAX_ATTEMPTS: u32 = 4;
/// The timeout of one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(60);
/// The minimum delay before the first retry; it doubles with each retry.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
/// The number of different shared prefixes.
const PREFIX_COUNT: u64 = 10;
/// The largest duration that a histogram holds, in microseconds.
const MAX_MICROS: u64 = 120_000_000;

/// The requests of one load run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The address of a VM that answers directory requests.
    pub directory: SocketAddr,
    /// The API key of the caller.
    pub key: String,
    /// The model of the requests.
    pub model: String,
    /// Requests per second.
    pub rate: u64,
    /// The time during which requests are sent.
    pub duration: Duration,
    /// The output limit of each request, in tokens.
    pub output_limit: u64,
    /// The percentage of requests that begin with a shared prefix.
    pub shared_percent: u64,
    /// The seed of the arrivals and prompts.
    pub seed: u64,
    /// The admin addresses of the engines, which report the served tokens.
    pub engine_admins: Vec<SocketAddr>,
    /// The limit of the budget, which is compared with the served tokens.
    pub budget_limit: u64,
}

#[derive(Debug, Default)]
struct Counts {
    complete: AtomicU64,
    wrong: AtomicU64,
    budget_spent: AtomicU64,
    refused: AtomicU64,
    abandoned: AtomicU64,
    retries: AtomicU64,
}

struct LoadRun {
    plan: Plan,
    client: HttpClient,
    directory: Mutex<(Vec<SocketAddr>, Instant)>,
    counts: Counts,
    first_token_times: Mutex<Histogram<u64>>,
    token_gaps: Mutex<Histogram<u64>>,
}

/// The result of one attempt.
enum AttemptResult {
    /// The text of a complete answer.
    Complete(String),
    /// The status of a refusal that must not be retried.
    Refused(u64),
    /// The request may be retried after at least this delay.
    Retry(Duration),
}

/// Runs a plan and prints a report, as text or as JSON.
///
/// # Errors
///
/// Fails if the directory or an engine does not answer.
pub async fn run(plan: Plan, as_json: bool) -> Result<()> {
    let client = http::client();
    let vms = fetch_directory(&client, &plan).await.context("the directory did not answer")?;
    let before = fetch_served(&client, &plan.engine_admins).await?;
    let run = Arc::new(LoadRun {
        directory: Mutex::new(vms),
        counts: Counts::default(),
        first_token_times: Mutex::new(Histogram::new_with_bounds(1, MAX_MICROS, 3)?),
        token_gaps: Mutex::new(Histogram::new_with_bounds(1, MAX_MICROS, 3)?),
        client,
        plan,
    });
    send_requests(&run).await;
    let after = fetch_served(&run.client, &run.plan.engine_admins).await?;
    let report = build_report(&run, after.saturating_sub(before), after);
    if as_json {
        println!("{report}");
        return Ok(());
    }
    for (name, value) in report.as_object().into_iter().flatten() {
        println!("{name:<28} {value}");
    }
    Ok(())
}

async fn send_requests(run: &Arc<LoadRun>) {
    let mut rng = ChaCha8Rng::seed_from_u64(run.plan.seed);
    let start = Instant::now();
    let mut at = Duration::ZERO;
    let mut open_requests = tokio::task::JoinSet::new();
    let mut number = 0_u64;
    while at < run.plan.duration {
        let unit: f64 = rng.random_range(1e-9..1.0);
        let rate = f64::from(u32::try_from(run.plan.rate.max(1)).unwrap_or(u32::MAX));
        at += Duration::from_secs_f64(-unit.ln() / rate);
        let prompt = random_prompt(run.plan.shared_percent, number, &mut rng);
        let seed = rng.random();
        tokio::time::sleep_until((start + at).into()).await;
        let run = Arc::clone(run);
        let key = format!("load-{}-{number}", run.plan.seed);
        open_requests.spawn(async move { run.send_request(&key, &prompt, seed).await });
        number += 1;
    }
    while open_requests.join_next().await.is_some() {}
}

fn random_prompt(shared_percent: u64, number: u64, rng: &mut ChaCha8Rng) -> String {
    let unshared = format!("question {number}: {}", "why ".repeat(rng.random_range(1..40)));
    if rng.random_range(0..100) >= shared_percent {
        return unshared;
    }
    let prefix = format!("deed {} ", rng.random_range(0..PREFIX_COUNT)).repeat(200);
    format!("{prefix}{unshared}")
}

impl LoadRun {
    async fn send_request(&self, key: &str, prompt: &str, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let start = Instant::now();
        for attempt in 0..MAX_ATTEMPTS {
            let vm = self.choose_vm(&mut rng).await;
            match self.send_attempt(vm, key, prompt, start).await {
                AttemptResult::Complete(text) => {
                    let body = json!({ "messages": [{ "content": prompt }] });
                    let expected =
                        answer_words(&prompt_text(&body), self.plan.output_limit).concat();
                    let count =
                        if text == expected { &self.counts.complete } else { &self.counts.wrong };
                    count.fetch_add(1, Ordering::Relaxed);
                    return;
                }
                AttemptResult::Refused(status) => {
                    let count = if status == 402 {
                        &self.counts.budget_spent
                    } else {
                        &self.counts.refused
                    };
                    count.fetch_add(1, Ordering::Relaxed);
                    return;
                }
                AttemptResult::Retry(retry_after) => {
                    self.counts.retries.fetch_add(1, Ordering::Relaxed);
                    let delay = retry_after.max(MIN_RETRY_DELAY.saturating_mul(1 << attempt));
                    let jitter = Duration::from_millis(rng.random_range(0..100));
                    tokio::time::sleep(delay + jitter).await;
                }
            }
        }
        self.counts.abandoned.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns a random VM of the directory, which is fetched again once its TTL has ended.
    async fn choose_vm(&self, rng: &mut ChaCha8Rng) -> SocketAddr {
        let (mut vms, expires_at) = lock(&self.directory).clone();
        if Instant::now() >= expires_at
            && let Some(fetched) = fetch_directory(&self.client, &self.plan).await
        {
            vms.clone_from(&fetched.0);
            *lock(&self.directory) = fetched;
        }
        vms.get(rng.random_range(0..vms.len().max(1))).copied().unwrap_or(self.plan.directory)
    }

    async fn send_attempt(
        &self,
        vm: SocketAddr,
        key: &str,
        prompt: &str,
        start: Instant,
    ) -> AttemptResult {
        let body = json!({
            "model": self.plan.model,
            "stream": true,
            "max_tokens": self.plan.output_limit,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let request = Request::post(format!("http://{vm}/v1/chat/completions"))
            .header("authorization", format!("Bearer {}", self.plan.key))
            .header("idempotency-key", key)
            .body(Full::new(Bytes::from(body.to_string())));
        let retry = AttemptResult::Retry(Duration::ZERO);
        let Ok(request) = request else {
            return retry;
        };
        let attempt = async {
            let response = self.client.request(request).await.ok()?;
            let status = response.status().as_u16();
            let retry_after = response.headers().get("retry-after").and_then(|v| v.to_str().ok());
            let retry_after = retry_after.and_then(|v| v.parse().ok()).map(Duration::from_secs);
            if status != 200 {
                return Some(
                    retry_after.map_or(AttemptResult::Refused(status.into()), AttemptResult::Retry),
                );
            }
            self.read_stream(response.into_body(), start).await.map(AttemptResult::Complete)
        };
        tokio::time::timeout(ATTEMPT_TIMEOUT, attempt).await.ok().flatten().unwrap_or(retry)
    }

    /// Reads a stream and records its timing; returns the text if the stream is complete.
    async fn read_stream(&self, mut body: hyper::body::Incoming, start: Instant) -> Option<String> {
        let (mut text, mut buffer) = (String::new(), Vec::new());
        let mut last_event_at: Option<Instant> = None;
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
                match last_event_at.replace(now) {
                    None => record(&self.first_token_times, now - start),
                    Some(previous) => record(&self.token_gaps, now - previous),
                }
                let event: Value = serde_json::from_slice(event).ok()?;
                text.push_str(event["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
            }
        }
        None
    }
}

async fn fetch_directory(client: &HttpClient, plan: &Plan) -> Option<(Vec<SocketAddr>, Instant)> {
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

/// Returns the sum of the prompt and output tokens that the engines have served.
async fn fetch_served(client: &HttpClient, engines: &[SocketAddr]) -> Result<u64> {
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

fn build_report(run: &LoadRun, served: u64, total: u64) -> Value {
    let counts = &run.counts;
    let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let limit = run.plan.budget_limit;
    let (first, gaps) = (lock(&run.first_token_times), lock(&run.token_gaps));
    let millis = |histogram: &Histogram<u64>, quantile: f64| {
        f64::from(u32::try_from(histogram.value_at_quantile(quantile)).unwrap_or(0)) / 1000.0
    };
    // Refusals for a spent budget were false if the engines served less than the limit.
    let unserved = limit.saturating_sub(total);
    json!({
        "whole answers": load(&counts.complete),
        "wrong answers": load(&counts.wrong),
        "refused, budget spent": load(&counts.budget_spent),
        "refused otherwise": load(&counts.refused),
        "given up after retries": load(&counts.abandoned),
        "retries": load(&counts.retries),
        "tokens served": served,
        "overspend": total.saturating_sub(limit),
        "budget not served": unserved,
        "first token ms p50": millis(&first, 0.5),
        "first token ms p95": millis(&first, 0.95),
        "first token ms p99": millis(&first, 0.99),
        "between tokens ms p50": millis(&gaps, 0.5),
        "between tokens ms p95": millis(&gaps, 0.95),
        "between tokens ms p99": millis(&gaps, 0.99),
    })
}

fn record(histogram: &Mutex<Histogram<u64>>, duration: Duration) {
    let micros = u64::try_from(duration.as_micros()).unwrap_or(MAX_MICROS).clamp(1, MAX_MICROS);
    // Recording fails only for values out of the bounds, and the value is clamped to them.
    let _ = lock(histogram).record(micros);
}
