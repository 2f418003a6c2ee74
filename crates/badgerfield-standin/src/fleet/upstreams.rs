//! Fake upstreams: engines whose streams continue after their callers have disconnected, and a
//! plain service.

use std::collections::HashMap;
use std::time::Duration;

use badgerfield_core::amount::{Time, TokenRate, Tokens};
use badgerfield_core::event::{Chunk, Dispatch, Event, UpstreamEvent, Usage};
use badgerfield_core::ids::{AttemptId, Incarnation, UpstreamId};
use badgerfield_core::message::Head;
use badgerfield_core::vm_upstreams::{EngineInfo, UpstreamKind, VmEntry, VmUpstreamInfo};
use bytes::Bytes;
use rand::RngExt;

use super::{Fleet, ScheduledAction, region_name};

/// The cost of a call of the plain service, in tokens.
pub(super) const CALL_COST: u64 = 5;
/// The number of parts of an engine's answer.
const PARTS: u64 = 4;
/// The delay of a message from an upstream.
const EVENT_DELAY: Duration = Duration::from_millis(1);
/// The time an upstream takes for each part of an answer.
const PART_INTERVAL: Duration = Duration::from_millis(150);

/// An answer that is being generated at an upstream.
#[derive(Debug)]
struct Stream {
    upstream: usize,
    name: String,
    budget: usize,
    prompt: u64,
    output: u64,
    parts: Vec<u64>,
    total: u64,
    ended: bool,
    followers: Vec<(Incarnation, AttemptId, u64)>,
}

/// All upstreams.
#[derive(Debug)]
pub(super) struct Upstreams {
    engines: usize,
    killed: Vec<bool>,
    streams: Vec<Stream>,
    names: HashMap<(usize, String), usize>,
    attempts: HashMap<(Incarnation, AttemptId), usize>,
}

impl Upstreams {
    pub(super) fn new(engines: usize) -> Self {
        Self {
            engines,
            killed: vec![false; engines + 1],
            streams: Vec::new(),
            names: HashMap::new(),
            attempts: HashMap::new(),
        }
    }

    /// Returns the id of an upstream. The last upstream is the plain service.
    pub(super) fn id(index: usize) -> UpstreamId {
        format!("u-{index}").parse().unwrap_or_else(|_| unreachable!("the name is valid"))
    }

    fn index(id: &UpstreamId) -> usize {
        id.as_str().trim_start_matches("u-").parse().unwrap_or(0)
    }

    /// Kills an upstream. Returns the attempts that were connected to it.
    pub(super) fn kill(&mut self, index: usize) -> Vec<(Incarnation, AttemptId)> {
        self.killed[index] = true;
        self.names.retain(|(upstream, _), _| *upstream != index);
        let streams = self.streams.iter_mut().filter(|s| s.upstream == index);
        let followers = streams.flat_map(|s| std::mem::take(&mut s.followers));
        followers.map(|(to, attempt, _)| (to, attempt)).collect()
    }

    pub(super) fn entries(&self) -> Vec<VmEntry> {
        let engines = (0..self.engines).map(|i| entry(i, engine()));
        let service = "scoring".parse().unwrap_or_else(|_| unreachable!("the name is valid"));
        engines.chain([entry(self.engines, UpstreamKind::Service(service))]).collect()
    }
}

fn engine() -> UpstreamKind {
    let model = "m".parse().unwrap_or_else(|_| unreachable!("the name is valid"));
    let adapters = std::collections::BTreeSet::new();
    UpstreamKind::Engine(EngineInfo {
        model,
        adapters,
        prefill: TokenRate(20_000),
        decode: TokenRate(50),
    })
}

fn entry(index: usize, kind: UpstreamKind) -> VmEntry {
    let port = u16::try_from(index).unwrap_or(0) + 30_000;
    let name = format!("u-{index}");
    let upstream = VmUpstreamInfo {
        id: Upstreams::id(index),
        address: ([127, 0, 0, 1], port).into(),
        region: region_name(0),
        hardware: "new".parse().unwrap_or_else(|_| unreachable!("the name is valid")),
        slots: 100_000,
        kind,
    };
    let vm = name.parse().unwrap_or_else(|_| unreachable!("the name is valid"));
    VmEntry { vm, leaving: false, upstream: Some(upstream) }
}

impl Fleet {
    pub(super) fn dispatch(&mut self, from: Incarnation, attempt: AttemptId, dispatch: Dispatch) {
        let index = Upstreams::index(&dispatch.upstream);
        if self.upstreams.killed[index] {
            self.send_event(from, attempt, UpstreamEvent::NotSent);
            return;
        }
        if let Some(next) = dispatch.resume_from {
            self.resume(from, attempt, &(index, dispatch.stream), next);
            return;
        }
        let Some(asked) = dispatch.request.and_then(|id| self.asked.get_mut(&id)) else {
            self.send_event(from, attempt, UpstreamEvent::NotSent);
            return;
        };
        asked.sent.get_or_insert(self.now);
        let wish = asked.wish.clone();
        self.truth.record_run(&wish, &dispatch.upstream, self.now);
        let output = if wish.service { 0 } else { self.rng.random_range(1..=wish.output) };
        let prompt = if wish.service { CALL_COST } else { wish.prompt * 3 / 4 };
        self.truth.record_served(wish.budget, &self.templates, prompt);
        let stream = Stream {
            upstream: index,
            name: dispatch.stream.clone(),
            budget: wish.budget,
            prompt,
            output,
            parts: Vec::new(),
            total: if wish.service { 1 } else { PARTS },
            ended: false,
            followers: vec![(from, attempt, 0)],
        };
        let stream_index = self.upstreams.streams.len();
        self.upstreams.streams.push(stream);
        self.upstreams.names.insert((index, dispatch.stream), stream_index);
        self.upstreams.attempts.insert((from, attempt), stream_index);
        self.send_event(from, attempt, UpstreamEvent::Head(head()));
        self.schedule(self.now.after(PART_INTERVAL), ScheduledAction::ExtendStream(stream_index));
    }

    fn resume(&mut self, from: Incarnation, attempt: AttemptId, name: &(usize, String), next: u64) {
        let Some(stream_index) = self.upstreams.names.get(name).copied() else {
            self.send_event(from, attempt, UpstreamEvent::NoStream);
            return;
        };
        self.upstreams.attempts.insert((from, attempt), stream_index);
        self.send_event(from, attempt, UpstreamEvent::Head(head()));
        self.upstreams.streams[stream_index].followers.push((from, attempt, next));
        self.send_parts(stream_index);
    }

    /// Generates the next part of a stream.
    pub(super) fn extend_stream(&mut self, stream_index: usize) {
        let stream = &mut self.upstreams.streams[stream_index];
        if stream.ended || self.upstreams.killed[stream.upstream] {
            return;
        }
        let index = u64::try_from(stream.parts.len()).unwrap_or(0);
        let before = stream.output * index / stream.total;
        let after = stream.output * (index + 1) / stream.total;
        stream.parts.push(expected_part(&stream.name, index));
        stream.ended = index + 1 == stream.total;
        let (budget, ended) = (stream.budget, stream.ended);
        self.truth.record_served(budget, &self.templates, after - before);
        self.send_parts(stream_index);
        if !ended {
            self.schedule(
                self.now.after(PART_INTERVAL),
                ScheduledAction::ExtendStream(stream_index),
            );
        }
    }

    /// Sends each follower of a stream the parts that it has not yet received.
    fn send_parts(&mut self, stream_index: usize) {
        let stream = &mut self.upstreams.streams[stream_index];
        let mut events = Vec::new();
        let generated_parts = u64::try_from(stream.parts.len()).unwrap_or(0);
        for (to, attempt, next) in &mut stream.followers {
            while *next < generated_parts {
                let part = stream.parts[usize::try_from(*next).unwrap_or(0)];
                let usage = Usage {
                    prompt: Tokens(stream.prompt),
                    output: Tokens(stream.output * (*next + 1) / stream.total),
                };
                let data = Bytes::from(part.to_string());
                let chunk = Chunk { offset: *next, data, usage: Some(usage) };
                events.push((*to, *attempt, UpstreamEvent::Chunk(chunk)));
                *next += 1;
            }
            if stream.ended {
                let usage = Usage { prompt: Tokens(stream.prompt), output: Tokens(stream.output) };
                let (parts, usage) = (stream.total, Some(usage));
                events.push((*to, *attempt, UpstreamEvent::Ended { parts, usage }));
            }
        }
        if stream.ended {
            stream.followers.clear();
        }
        for (to, attempt, event) in events {
            self.send_event(to, attempt, event);
        }
    }

    pub(super) fn cancel(&mut self, from: Incarnation, attempt: AttemptId) {
        let Some(stream_index) = self.upstreams.attempts.get(&(from, attempt)).copied() else {
            return;
        };
        let stream = &mut self.upstreams.streams[stream_index];
        stream.ended = true;
        stream.followers.clear();
        let generated_parts = u64::try_from(stream.parts.len()).unwrap_or(0);
        let output = Tokens(stream.output * generated_parts / stream.total);
        let usage = Usage { prompt: Tokens(stream.prompt), output };
        self.send_event(from, attempt, UpstreamEvent::Ended { parts: 0, usage: Some(usage) });
    }

    /// Returns the tokens that upstreams have served so far for streams that still run.
    #[must_use]
    pub fn running(&self, budget: usize) -> u64 {
        let running = self.upstreams.streams.iter().filter(|s| !s.ended && s.budget == budget);
        let output = |s: &Stream| s.output * u64::try_from(s.parts.len()).unwrap_or(0) / s.total;
        running.map(|s| s.prompt + output(s)).sum()
    }

    /// Kills an engine with all its streams.
    pub fn kill_engine(&mut self, index: usize) {
        for (to, attempt) in self.upstreams.kill(index) {
            self.send_event(to, attempt, UpstreamEvent::Broken);
        }
    }

    /// Sends an event to an attempt, in the order of generation except for noise: a part of an
    /// engine's answer may arrive twice, or after the next one.
    fn send_event(&mut self, to: Incarnation, attempt: AttemptId, event: UpstreamEvent) {
        let at: Time = self.now.after(EVENT_DELAY);
        let random = self.rng.random_range(0..1000);
        let stream_index = self.upstreams.attempts.get(&(to, attempt));
        let is_engine = stream_index.is_some_and(|n| self.upstreams.streams[*n].total > 1);
        let is_part = is_engine && matches!(event, UpstreamEvent::Chunk(_));
        let is_late = is_part && random < self.shape.noise;
        let is_duplicate = is_part && random >= 1000 - self.shape.noise;
        if is_late || is_duplicate {
            let late = ScheduledAction::Deliver(to, Event::Upstream(attempt, event.clone()));
            self.schedule(at.after(PART_INTERVAL).after(PART_INTERVAL / 4), late);
        }
        if !is_late {
            self.schedule(at, ScheduledAction::Deliver(to, Event::Upstream(attempt, event)));
        }
    }
}

/// Returns the correct part of a stream at an index, which is derived from the stream's name.
pub(super) fn expected_part(name: &str, index: u64) -> u64 {
    let digests =
        badgerfield_core::vm_upstreams::prefix_digests(&name.as_bytes().repeat(256)[..256]);
    (digests[0] ^ index) >> 1
}

/// Returns the number of parts of an answer.
pub(super) fn part_count(service: bool) -> usize {
    if service { 1 } else { usize::try_from(PARTS).unwrap_or(0) }
}

fn head() -> Head {
    Head { status: 200, content_type: "text/event-stream".into() }
}
