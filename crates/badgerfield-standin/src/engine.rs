//! Stand-in for a model engine: the OpenAI API with resumable streams.
//!
//! The engine batches: every running stream gets its tokens at the decode rate. Prompts
//! are read one after the other at the prefill rate, except the tokens that the prefix
//! cache holds. A stream continues when its connection breaks, and can be resumed by its
//! name. The answer depends on the prompt alone, so that a caller can check it.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Result;
use badgerfield_core::vm_upstreams::{PREFIX_STEP_BYTES, prefix_digests};
use badgerfield_node::http::Body;
use badgerfield_node::sync::lock;
use badgerfield_node::upstream_client::STREAM_HEADER;
use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::header::HeaderValue;
use hyper::{Method, Response, StatusCode, header};
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::server::{BufferedRequest, Reply, error_reply, json_reply, serve};

/// The time between the arrival of a prompt that crashes the engine and the crash.
const CRASH_DELAY: Duration = Duration::from_millis(20);
/// The number of prompt bytes that count as one token.
const BYTES_PER_TOKEN: usize = 4;
/// The maximum length of an answer in tokens, also without `max_tokens`.
const MAX_ANSWER_TOKENS: u64 = 60;

/// The speed and the capacity of the engine.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    /// Prompt tokens read per second.
    pub prefill: u64,
    /// Output tokens of each stream per second.
    pub decode: u64,
    /// The maximum number of concurrent streams.
    pub slots: usize,
    /// The number of prefix digests that the cache holds.
    pub cache: usize,
}

/// One stream with all events that it has produced.
#[derive(Debug)]
struct Stream {
    events: Mutex<Vec<Bytes>>,
    event_added: Notify,
    progress: Mutex<Progress>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Progress {
    prompt_tokens: u64,
    output_tokens: u64,
    ended: bool,
    cancelled: bool,
}

#[derive(Debug, Clone, Default)]
struct Faults {
    /// Refuse new requests as if all slots were taken.
    busy: bool,
    /// The `Retry-After` header of refusals, in seconds.
    retry_after_s: Option<u64>,
    /// Break the connection of every stream after this number of events.
    break_after: Option<usize>,
    /// Answer requests to resume a stream with this status and a text.
    resume_status: Option<StatusCode>,
    /// End lines of streams with a carriage return and a line feed.
    has_carriage_returns: bool,
    /// Report in `/load` that the engine is leaving.
    leaving: bool,
    /// Exit shortly after a prompt that contains this text arrives.
    crash_text: Option<String>,
}

#[derive(Debug, Default)]
struct State {
    streams: HashMap<String, Arc<Stream>>,
    run_counts: BTreeMap<String, u64>,
    cache: VecDeque<u64>,
    running: usize,
    unread_tokens: u64,
    faults: Faults,
}

#[derive(Debug)]
struct Engine {
    speed: Speed,
    state: Mutex<State>,
    prefill_lock: tokio::sync::Mutex<()>,
}

/// Starts the stand-in and its admin port; both serve until the process ends.
///
/// # Errors
///
/// Fails if a listener cannot be bound to its address.
pub async fn run(address: SocketAddr, admin: SocketAddr, speed: Speed) -> Result<()> {
    let state = Mutex::default();
    let engine = Arc::new(Engine { speed, state, prefill_lock: tokio::sync::Mutex::default() });
    let admin_engine = Arc::clone(&engine);
    serve(address, move |request| {
        let reply = engine.handle_request(&request);
        async move { reply }
    })
    .await?;
    serve(admin, move |request| {
        let reply = admin_engine.handle_admin_request(&request);
        async move { reply }
    })
    .await
}

/// Returns the answer to a prompt, one word per token.
///
/// The engine and the callers that check its answers both use this function.
#[must_use]
pub fn answer_words(prompt: &str, limit: u64) -> Vec<String> {
    let digest = prefix_digests(&vec![0; PREFIX_STEP_BYTES]).len() as u64 + hash_prompt(prompt);
    let count = (digest % MAX_ANSWER_TOKENS + 1).min(limit);
    (0..count).map(|i| format!("w{:x}.{i} ", digest & 0xffff)).collect()
}

/// Returns the text of all messages of a request body; the answer depends on it.
#[must_use]
pub fn prompt_text(body: &Value) -> String {
    let messages = body["messages"].as_array().cloned().unwrap_or_default();
    let texts: Vec<_> = messages.iter().filter_map(|m| m["content"].as_str()).collect();
    texts.join("\n")
}

fn hash_prompt(text: &str) -> u64 {
    let mut padded = text.as_bytes().to_vec();
    padded.resize(text.len().div_ceil(PREFIX_STEP_BYTES).max(1) * PREFIX_STEP_BYTES, 0);
    prefix_digests(&padded).last().copied().unwrap_or(0) >> 1
}

impl Stream {
    /// Waits for the event at an index; returns `None` if the stream ends before it.
    async fn event_at(&self, index: usize) -> Option<Bytes> {
        loop {
            let event_added = self.event_added.notified();
            if let Some(event) = lock(&self.events).get(index).cloned() {
                return Some(event);
            }
            if lock(&self.progress).ended {
                return lock(&self.events).get(index).cloned();
            }
            // The event may be pushed, or the stream may end, between the checks and this wait.
            // The timeout bounds the wait if that notification is missed.
            let _ = tokio::time::timeout(Duration::from_millis(20), event_added).await;
        }
    }
}

impl Engine {
    fn handle_request(self: &Arc<Self>, request: &BufferedRequest) -> Reply {
        let path = request.path.as_str();
        if let Some(name) = path.strip_prefix("/v1/streams/") {
            let stream = lock(&self.state).streams.get(name).cloned();
            let Some(stream) = stream else {
                return error_reply(StatusCode::NOT_FOUND);
            };
            if request.method == Method::DELETE {
                return json_reply(&cancel_stream(&stream));
            }
            let resume_status = lock(&self.state).faults.resume_status;
            if let Some(status) = resume_status {
                return error_reply(status);
            }
            let from =
                request.query_number("from").and_then(|n| usize::try_from(n).ok()).unwrap_or(0);
            return Some(self.stream_response(stream, from));
        }
        match (&request.method, path) {
            (&Method::POST, "/v1/chat/completions") => self.start_chat(request),
            (&Method::GET, "/load") => json_reply(&self.load_report()),
            _ => error_reply(StatusCode::NOT_FOUND),
        }
    }

    fn start_chat(self: &Arc<Self>, request: &BufferedRequest) -> Reply {
        let body = request.json();
        let prompt = prompt_text(&body);
        let limit = body["max_tokens"].as_u64().unwrap_or(MAX_ANSWER_TOKENS);
        let name = request.header(STREAM_HEADER).unwrap_or("unnamed").to_owned();
        let tokens = prompt.len().div_ceil(BYTES_PER_TOKEN) as u64;
        let stream = {
            let mut state = lock(&self.state);
            if state.faults.busy || state.running >= self.speed.slots {
                return busy_reply(state.faults.retry_after_s);
            }
            if state.faults.crash_text.as_ref().is_some_and(|text| prompt.contains(text)) {
                tokio::spawn(async {
                    tokio::time::sleep(CRASH_DELAY).await;
                    std::process::exit(1);
                });
            }
            state.running += 1;
            state.unread_tokens += tokens;
            *state.run_counts.entry(name.clone()).or_default() += 1;
            let progress = Progress { prompt_tokens: tokens, ..Progress::default() };
            let stream = Arc::new(Stream {
                events: Mutex::default(),
                event_added: Notify::new(),
                progress: Mutex::new(progress),
            });
            state.streams.insert(name, Arc::clone(&stream));
            stream
        };
        let engine = Arc::clone(self);
        let generated = Arc::clone(&stream);
        tokio::spawn(async move { engine.generate(&generated, &prompt, tokens, limit).await });
        Some(self.stream_response(stream, 0))
    }

    async fn generate(&self, stream: &Stream, prompt: &str, tokens: u64, limit: u64) {
        {
            let _guard = self.prefill_lock.lock().await;
            let uncached = self.cache_prompt(prompt, tokens);
            sleep(processing_time(uncached, self.speed.prefill)).await;
            lock(&self.state).unread_tokens -= tokens;
        }
        for word in answer_words(prompt, limit) {
            sleep(processing_time(1, self.speed.decode)).await;
            if lock(&stream.progress).cancelled {
                break;
            }
            let output = {
                let mut progress = lock(&stream.progress);
                progress.output_tokens += 1;
                progress.output_tokens
            };
            push_event(stream, &token_event(&word, tokens, output));
        }
        let output = lock(&stream.progress).output_tokens;
        push_event(stream, &final_event(tokens, output));
        lock(&stream.progress).ended = true;
        stream.event_added.notify_waiters();
        lock(&self.state).running -= 1;
    }

    /// Returns the number of prompt tokens that are not in the cache, and caches the prompt.
    fn cache_prompt(&self, prompt: &str, tokens: u64) -> u64 {
        let digests = prefix_digests(prompt.as_bytes());
        let mut state = lock(&self.state);
        let hits = digests.iter().take_while(|d| state.cache.contains(d)).count();
        for digest in digests {
            state.cache.retain(|d| *d != digest);
            state.cache.push_back(digest);
        }
        let excess = state.cache.len().saturating_sub(self.speed.cache);
        state.cache.drain(..excess);
        let cached = (hits * PREFIX_STEP_BYTES / BYTES_PER_TOKEN) as u64;
        tokens.saturating_sub(cached)
    }

    fn stream_response(self: &Arc<Self>, stream: Arc<Stream>, from: usize) -> Response<Body> {
        let (break_after, has_carriage_returns) = {
            let faults = &lock(&self.state).faults;
            (faults.break_after, faults.has_carriage_returns)
        };
        let frames =
            stream::unfold((stream, from, false), move |(stream, next, done)| async move {
                if done {
                    return None;
                }
                if break_after.is_some_and(|limit| next >= from + limit) {
                    return Some((Err(ConnectionBroken), (stream, next, true)));
                }
                let event = stream.event_at(next).await;
                let (event, done) = match event {
                    Some(event) => (event, false),
                    None => (Bytes::from_static(b"data: [DONE]\n\n"), true),
                };
                let event =
                    if has_carriage_returns { with_carriage_returns(&event) } else { event };
                Some((Ok(Frame::data(event)), (stream, next + 1, done)))
            });
        let mut response = Response::new(body_until_error(frames));
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        if let Ok(load) = HeaderValue::from_str(&self.load_report().to_string()) {
            headers.insert("x-load", load);
        }
        response
    }

    fn load_report(&self) -> Value {
        let state = lock(&self.state);
        json!({
            "running": state.running,
            "queued": 0,
            "prefill": state.unread_tokens,
            "leaving": state.faults.leaving,
        })
    }

    fn handle_admin_request(&self, request: &BufferedRequest) -> Reply {
        let mut state = lock(&self.state);
        match (&request.method, request.path.as_str()) {
            (&Method::POST, "/faults") => {
                let body = request.json();
                let flag = |name: &str| body[name].as_bool().unwrap_or(false);
                let limit = body["break_after"].as_u64().and_then(|n| usize::try_from(n).ok());
                let status = body["resume_status"].as_u64().and_then(|n| u16::try_from(n).ok());
                let status = status.and_then(|status| StatusCode::from_u16(status).ok());
                state.faults = Faults {
                    busy: flag("busy"),
                    retry_after_s: body["rest"].as_u64(),
                    break_after: limit,
                    resume_status: status,
                    has_carriage_returns: flag("carriage_returns"),
                    leaving: flag("leaving"),
                    crash_text: body["ends_under"].as_str().map(str::to_owned),
                };
                json_reply(&json!({ "set": body }))
            }
            (&Method::GET, "/truth") => {
                let mut truth = serde_json::Map::new();
                for (name, stream) in &state.streams {
                    let progress = *lock(&stream.progress);
                    let runs = state.run_counts.get(name).copied().unwrap_or(0);
                    let entry = json!({
                        "runs": runs,
                        "prompt": progress.prompt_tokens,
                        "output": progress.output_tokens,
                        "ended": progress.ended,
                        "cancelled": progress.cancelled,
                    });
                    truth.insert(name.clone(), entry);
                }
                json_reply(&Value::Object(truth))
            }
            _ => error_reply(StatusCode::NOT_FOUND),
        }
    }
}

/// The error that ends a connection in the middle of a stream.
#[derive(Debug)]
struct ConnectionBroken;

/// Returns a body of frames; an error among them ends the body before its final event.
fn body_until_error<S>(frames: S) -> Body
where
    S: futures::Stream<Item = Result<Frame<Bytes>, ConnectionBroken>> + Send + 'static,
{
    let frames = frames.take_while(|f| futures::future::ready(f.is_ok()));
    let frames = frames.filter_map(|f| futures::future::ready(f.ok().map(Ok)));
    StreamBody::new(frames).boxed_unsync()
}

fn cancel_stream(stream: &Stream) -> Value {
    let mut progress = lock(&stream.progress);
    progress.cancelled = true;
    json!({
        "usage": {
            "prompt_tokens": progress.prompt_tokens,
            "completion_tokens": progress.output_tokens,
        }
    })
}

fn push_event(stream: &Stream, event: &Value) {
    lock(&stream.events).push(Bytes::from(format!("data: {event}\n\n")));
    stream.event_added.notify_waiters();
}

fn token_event(word: &str, prompt: u64, output: u64) -> Value {
    let choice = json!({ "index": 0, "delta": { "content": word }, "finish_reason": null });
    json!({
        "id": "standin",
        "object": "chat.completion.chunk",
        "model": "standin",
        "choices": [choice],
        "usage": usage(prompt, output),
    })
}

fn final_event(prompt: u64, output: u64) -> Value {
    let choice = json!({ "index": 0, "delta": {}, "finish_reason": "stop" });
    json!({
        "id": "standin",
        "object": "chat.completion.chunk",
        "model": "standin",
        "choices": [choice],
        "usage": usage(prompt, output),
    })
}

fn usage(prompt: u64, output: u64) -> Value {
    json!({ "prompt_tokens": prompt, "completion_tokens": output, "total_tokens": prompt + output })
}

fn processing_time(tokens: u64, rate: u64) -> Duration {
    Duration::from_micros(tokens * 1_000_000 / rate.max(1))
}

/// Returns a reply with status 503, with a `Retry-After` header if one is configured.
fn with_carriage_returns(event: &[u8]) -> Bytes {
    String::from_utf8_lossy(event).replace('\n', "\r\n").into()
}

fn busy_reply(retry_after_s: Option<u64>) -> Reply {
    let mut reply = error_reply(StatusCode::SERVICE_UNAVAILABLE)?;
    if let Some(seconds) = retry_after_s {
        reply.headers_mut().insert(header::RETRY_AFTER, seconds.into());
    }
    Some(reply)
}
