//! Stands in for a model engine: the OpenAI API with streams that can be resumed.
//!
//! The engine batches: every running stream gets its tokens at the decode rate, and
//! prompts are read one after the other at the prefill rate, less what the prefix
//! cache holds. A stream goes on when its connection breaks; it can be resumed by
//! name. The answer is made from the prompt alone, so that a caller can check it.

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

use crate::server::{Answer, Read, ok, serve, status};

/// How long an engine works on a prompt that ends it.
const BEFORE_END: Duration = Duration::from_millis(20);
/// How many bytes of the prompt one token stands for.
const BYTES_PER_TOKEN: usize = 4;
/// The longest answer that the stand-in gives of its own accord, in tokens.
const LONGEST: u64 = 60;

/// How fast the engine is, and how much it takes.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    /// Prompt tokens read in a second.
    pub prefill: u64,
    /// Output tokens of each stream in a second.
    pub decode: u64,
    /// Streams that run at once.
    pub slots: usize,
    /// Prefix digests that the cache holds.
    pub cache: usize,
}

/// One stream with all its events so far.
#[derive(Debug)]
struct Stream {
    events: Mutex<Vec<Bytes>>,
    more: Notify,
    state: Mutex<Progress>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Progress {
    prompt: u64,
    output: u64,
    ended: bool,
    cancelled: bool,
}

#[derive(Debug, Clone, Default)]
struct Faults {
    /// Refuse new work as if full.
    busy: bool,
    /// For how many seconds it asks for rest where it refuses new work.
    rest: Option<u64>,
    /// Break the connection of every stream after this many events.
    break_after: Option<usize>,
    /// Report that the engine is leaving.
    leaving: bool,
    /// End soon after a prompt has come that holds this.
    ends_under: Option<String>,
}

#[derive(Debug, Default)]
struct State {
    streams: HashMap<String, Arc<Stream>>,
    runs: BTreeMap<String, u64>,
    cache: VecDeque<u64>,
    running: usize,
    waiting: u64,
    faults: Faults,
}

#[derive(Debug)]
struct Engine {
    speed: Speed,
    state: Mutex<State>,
    reading: tokio::sync::Mutex<()>,
}

/// Runs the stand-in until the process ends.
///
/// # Errors
///
/// Fails if an address is taken.
pub async fn run(address: SocketAddr, admin: SocketAddr, speed: Speed) -> Result<()> {
    let state = Mutex::default();
    let engine = Arc::new(Engine { speed, state, reading: tokio::sync::Mutex::default() });
    let other = Arc::clone(&engine);
    serve(address, move |read| {
        let answer = engine.answer(&read);
        async move { answer }
    })
    .await?;
    serve(admin, move |read| {
        let answer = other.administer(&read);
        async move { answer }
    })
    .await
}

/// Returns the answer to a prompt, as the engine and its checkers know it.
#[must_use]
pub fn words(prompt: &str, limit: u64) -> Vec<String> {
    let digest = prefix_digests(&vec![0; PREFIX_STEP_BYTES]).len() as u64 + hash(prompt);
    let count = (digest % LONGEST + 1).min(limit);
    (0..count).map(|i| format!("w{:x}.{i} ", digest & 0xffff)).collect()
}

/// Returns the text of the messages of a body, of which the answer is made.
#[must_use]
pub fn prompt_of(body: &Value) -> String {
    let messages = body["messages"].as_array().cloned().unwrap_or_default();
    let texts: Vec<_> = messages.iter().filter_map(|m| m["content"].as_str()).collect();
    texts.join("\n")
}

fn hash(text: &str) -> u64 {
    let mut padded = text.as_bytes().to_vec();
    padded.resize(text.len().div_ceil(PREFIX_STEP_BYTES).max(1) * PREFIX_STEP_BYTES, 0);
    prefix_digests(&padded).last().copied().unwrap_or(0) >> 1
}

impl Stream {
    /// Waits for an event; returns nothing once the stream has ended before it.
    async fn event(&self, place: usize) -> Option<Bytes> {
        loop {
            let more = self.more.notified();
            if let Some(event) = lock(&self.events).get(place).cloned() {
                return Some(event);
            }
            if lock(&self.state).ended {
                return lock(&self.events).get(place).cloned();
            }
            // The wait is bounded so that a notice between the looks is not missed.
            let _ = tokio::time::timeout(Duration::from_millis(20), more).await;
        }
    }
}

impl Engine {
    fn answer(self: &Arc<Self>, read: &Read) -> Answer {
        let path = read.path.as_str();
        if let Some(name) = path.strip_prefix("/v1/streams/") {
            let stream = lock(&self.state).streams.get(name).cloned();
            let Some(stream) = stream else {
                return status(StatusCode::NOT_FOUND);
            };
            if read.method == Method::DELETE {
                return ok(&cancel(&stream));
            }
            let from = read.number("from").and_then(|n| usize::try_from(n).ok()).unwrap_or(0);
            return Some(self.follow(stream, from));
        }
        match (&read.method, path) {
            (&Method::POST, "/v1/chat/completions") => self.chat(read),
            (&Method::GET, "/load") => ok(&self.load()),
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    fn chat(self: &Arc<Self>, read: &Read) -> Answer {
        let body = read.json();
        let prompt = prompt_of(&body);
        let limit = body["max_tokens"].as_u64().unwrap_or(LONGEST);
        let name = read.header(STREAM_HEADER).unwrap_or("unnamed").to_owned();
        let tokens = prompt.len().div_ceil(BYTES_PER_TOKEN) as u64;
        let stream = {
            let mut state = lock(&self.state);
            if state.faults.busy || state.running >= self.speed.slots {
                return full(state.faults.rest);
            }
            if state.faults.ends_under.as_ref().is_some_and(|text| prompt.contains(text)) {
                tokio::spawn(async {
                    tokio::time::sleep(BEFORE_END).await;
                    std::process::exit(1);
                });
            }
            state.running += 1;
            state.waiting += tokens;
            *state.runs.entry(name.clone()).or_default() += 1;
            let progress = Progress { prompt: tokens, ..Progress::default() };
            let stream = Arc::new(Stream {
                events: Mutex::default(),
                more: Notify::new(),
                state: Mutex::new(progress),
            });
            state.streams.insert(name, Arc::clone(&stream));
            stream
        };
        let engine = Arc::clone(self);
        let making = Arc::clone(&stream);
        tokio::spawn(async move { engine.generate(&making, &prompt, tokens, limit).await });
        Some(self.follow(stream, 0))
    }

    async fn generate(&self, stream: &Stream, prompt: &str, tokens: u64, limit: u64) {
        {
            let _turn = self.reading.lock().await;
            let fresh = self.fresh(prompt, tokens);
            sleep(span(fresh, self.speed.prefill)).await;
            lock(&self.state).waiting -= tokens;
        }
        for word in words(prompt, limit) {
            sleep(span(1, self.speed.decode)).await;
            if lock(&stream.state).cancelled {
                break;
            }
            let output = {
                let mut progress = lock(&stream.state);
                progress.output += 1;
                progress.output
            };
            push(stream, &event(&word, tokens, output));
        }
        let output = lock(&stream.state).output;
        push(stream, &last(tokens, output));
        lock(&stream.state).ended = true;
        stream.more.notify_waiters();
        lock(&self.state).running -= 1;
    }

    /// Returns how many tokens of a prompt are not in the cache, and caches them.
    fn fresh(&self, prompt: &str, tokens: u64) -> u64 {
        let digests = prefix_digests(prompt.as_bytes());
        let mut state = lock(&self.state);
        let known = digests.iter().take_while(|d| state.cache.contains(d)).count();
        for digest in digests {
            state.cache.retain(|d| *d != digest);
            state.cache.push_back(digest);
        }
        let excess = state.cache.len().saturating_sub(self.speed.cache);
        state.cache.drain(..excess);
        let cached = (known * PREFIX_STEP_BYTES / BYTES_PER_TOKEN) as u64;
        tokens.saturating_sub(cached)
    }

    fn follow(self: &Arc<Self>, stream: Arc<Stream>, from: usize) -> Response<Body> {
        let broken = lock(&self.state).faults.break_after;
        let frames =
            stream::unfold((stream, from, false), move |(stream, next, done)| async move {
                if done {
                    return None;
                }
                if broken.is_some_and(|limit| next >= from + limit) {
                    return Some((Err(Broken), (stream, next, true)));
                }
                let event = stream.event(next).await;
                let (event, done) = match event {
                    Some(event) => (event, false),
                    None => (Bytes::from_static(b"data: [DONE]\n\n"), true),
                };
                Some((Ok(Frame::data(event)), (stream, next + 1, done)))
            });
        let mut response = Response::new(breakable(frames));
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        if let Ok(load) = HeaderValue::from_str(&self.load().to_string()) {
            headers.insert("x-load", load);
        }
        response
    }

    fn load(&self) -> Value {
        let state = lock(&self.state);
        json!({
            "running": state.running,
            "queued": 0,
            "prefill": state.waiting,
            "leaving": state.faults.leaving,
        })
    }

    fn administer(&self, read: &Read) -> Answer {
        let mut state = lock(&self.state);
        match (&read.method, read.path.as_str()) {
            (&Method::POST, "/faults") => {
                let body = read.json();
                let flag = |name: &str| body[name].as_bool().unwrap_or(false);
                let limit = body["break_after"].as_u64().and_then(|n| usize::try_from(n).ok());
                state.faults = Faults {
                    busy: flag("busy"),
                    rest: body["rest"].as_u64(),
                    break_after: limit,
                    leaving: flag("leaving"),
                    ends_under: body["ends_under"].as_str().map(str::to_owned),
                };
                ok(&json!({ "set": body }))
            }
            (&Method::GET, "/truth") => {
                let mut truth = serde_json::Map::new();
                for (name, stream) in &state.streams {
                    let progress = *lock(&stream.state);
                    let runs = state.runs.get(name).copied().unwrap_or(0);
                    let entry = json!({
                        "runs": runs,
                        "prompt": progress.prompt,
                        "output": progress.output,
                        "ended": progress.ended,
                        "cancelled": progress.cancelled,
                    });
                    truth.insert(name.clone(), entry);
                }
                ok(&Value::Object(truth))
            }
            _ => status(StatusCode::NOT_FOUND),
        }
    }
}

/// Ends a connection in the middle of a stream.
#[derive(Debug)]
struct Broken;

/// Makes a body of frames; a broken frame ends the body early, without its last event.
fn breakable<S>(frames: S) -> Body
where
    S: futures::Stream<Item = Result<Frame<Bytes>, Broken>> + Send + 'static,
{
    let frames = frames.take_while(|f| futures::future::ready(f.is_ok()));
    let frames = frames.filter_map(|f| futures::future::ready(f.ok().map(Ok)));
    StreamBody::new(frames).boxed_unsync()
}

fn cancel(stream: &Stream) -> Value {
    let mut progress = lock(&stream.state);
    progress.cancelled = true;
    json!({ "usage": { "prompt_tokens": progress.prompt, "completion_tokens": progress.output } })
}

fn push(stream: &Stream, event: &Value) {
    lock(&stream.events).push(Bytes::from(format!("data: {event}\n\n")));
    stream.more.notify_waiters();
}

fn event(word: &str, prompt: u64, output: u64) -> Value {
    let choice = json!({ "index": 0, "delta": { "content": word }, "finish_reason": null });
    json!({
        "id": "standin",
        "object": "chat.completion.chunk",
        "model": "standin",
        "choices": [choice],
        "usage": usage(prompt, output),
    })
}

fn last(prompt: u64, output: u64) -> Value {
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

fn span(tokens: u64, rate: u64) -> Duration {
    Duration::from_micros(tokens * 1_000_000 / rate.max(1))
}

/// Refuses new work, and asks for so many seconds of rest.
fn full(rest: Option<u64>) -> Answer {
    let mut answer = status(StatusCode::SERVICE_UNAVAILABLE)?;
    if let Some(seconds) = rest {
        answer.headers_mut().insert(header::RETRY_AFTER, seconds.into());
    }
    Some(answer)
}
