//! Upstreams as the fleet sees them: engines whose streams outlive their callers, and
//! a plain service.

use std::collections::HashMap;
use std::time::Duration;

use badgerfield_core::amount::{Time, TokenRate, Tokens};
use badgerfield_core::event::{Chunk, Dispatch, Event, UpstreamEvent, Usage};
use badgerfield_core::ids::{AttemptId, Incarnation, UpstreamId};
use badgerfield_core::message::Head;
use badgerfield_core::vm_upstreams::{EngineInfo, UpstreamKind, VmEntry, VmUpstreamInfo};
use bytes::Bytes;
use rand::RngExt;

use super::{Fleet, Turn, region_name};

/// What a call of the plain service costs.
pub(super) const CALL_COST: u64 = 5;
/// How many parts an answer has.
const PARTS: u64 = 4;
/// How long a message to or from an upstream takes.
const WIRE: Duration = Duration::from_millis(1);
/// How long an engine takes for the first part, and then for each further one.
const PACE: Duration = Duration::from_millis(150);

/// One stream at an upstream.
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
    dead: Vec<bool>,
    streams: Vec<Stream>,
    names: HashMap<(usize, String), usize>,
    attempts: HashMap<(Incarnation, AttemptId), usize>,
}

impl Upstreams {
    pub(super) fn new(engines: usize) -> Self {
        Self {
            engines,
            dead: vec![false; engines + 1],
            streams: Vec::new(),
            names: HashMap::new(),
            attempts: HashMap::new(),
        }
    }

    /// Returns the name of an upstream; the last one is the plain service.
    pub(super) fn id(index: usize) -> UpstreamId {
        format!("u-{index}").parse().unwrap_or_else(|_| unreachable!("the name is valid"))
    }

    fn index(id: &UpstreamId) -> usize {
        id.as_str().trim_start_matches("u-").parse().unwrap_or(0)
    }

    /// Kills an upstream; returns the attempts whose connections break.
    pub(super) fn kill(&mut self, index: usize) -> Vec<(Incarnation, AttemptId)> {
        self.dead[index] = true;
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
        if self.upstreams.dead[index] {
            self.tell(from, attempt, UpstreamEvent::NotSent);
            return;
        }
        if let Some(next) = dispatch.resume_from {
            self.resume(from, attempt, &(index, dispatch.stream), next);
            return;
        }
        let Some(asked) = dispatch.request.and_then(|id| self.asked.get_mut(&id)) else {
            self.tell(from, attempt, UpstreamEvent::NotSent);
            return;
        };
        asked.sent.get_or_insert(self.now);
        let wish = asked.wish.clone();
        self.truth.run(&wish, &dispatch.upstream, self.now);
        let output = if wish.service { 0 } else { self.rng.random_range(1..=wish.output) };
        let prompt = if wish.service { CALL_COST } else { wish.prompt * 3 / 4 };
        self.truth.serve(wish.budget, &self.templates, prompt);
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
        let number = self.upstreams.streams.len();
        self.upstreams.streams.push(stream);
        self.upstreams.names.insert((index, dispatch.stream), number);
        self.upstreams.attempts.insert((from, attempt), number);
        self.tell(from, attempt, UpstreamEvent::Head(head()));
        self.at(self.now.after(PACE), Turn::Step(number));
    }

    fn resume(&mut self, from: Incarnation, attempt: AttemptId, name: &(usize, String), next: u64) {
        let Some(number) = self.upstreams.names.get(name).copied() else {
            self.tell(from, attempt, UpstreamEvent::NoStream);
            return;
        };
        self.upstreams.attempts.insert((from, attempt), number);
        self.tell(from, attempt, UpstreamEvent::Head(head()));
        self.upstreams.streams[number].followers.push((from, attempt, next));
        self.feed(number);
    }

    /// Makes the next part of a stream.
    pub(super) fn step(&mut self, number: usize) {
        let stream = &mut self.upstreams.streams[number];
        if stream.ended || self.upstreams.dead[stream.upstream] {
            return;
        }
        let place = u64::try_from(stream.parts.len()).unwrap_or(0);
        let before = stream.output * place / stream.total;
        let after = stream.output * (place + 1) / stream.total;
        stream.parts.push(truth_part(&stream.name, place));
        stream.ended = place + 1 == stream.total;
        let (budget, ended) = (stream.budget, stream.ended);
        self.truth.serve(budget, &self.templates, after - before);
        self.feed(number);
        if !ended {
            self.at(self.now.after(PACE), Turn::Step(number));
        }
    }

    /// Sends every follower of a stream what it has not got.
    fn feed(&mut self, number: usize) {
        let stream = &mut self.upstreams.streams[number];
        let mut events = Vec::new();
        let made = u64::try_from(stream.parts.len()).unwrap_or(0);
        for (to, attempt, next) in &mut stream.followers {
            while *next < made {
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
            self.tell(to, attempt, event);
        }
    }

    pub(super) fn cancel(&mut self, from: Incarnation, attempt: AttemptId) {
        let Some(number) = self.upstreams.attempts.get(&(from, attempt)).copied() else {
            return;
        };
        let stream = &mut self.upstreams.streams[number];
        stream.ended = true;
        stream.followers.clear();
        let made = u64::try_from(stream.parts.len()).unwrap_or(0);
        let output = Tokens(stream.output * made / stream.total);
        let usage = Usage { prompt: Tokens(stream.prompt), output };
        self.tell(from, attempt, UpstreamEvent::Ended { parts: 0, usage: Some(usage) });
    }

    /// Returns the tokens that upstreams have served of streams that are not over.
    #[must_use]
    pub fn running(&self, budget: usize) -> u64 {
        let running = self.upstreams.streams.iter().filter(|s| !s.ended && s.budget == budget);
        let made = |s: &Stream| s.output * u64::try_from(s.parts.len()).unwrap_or(0) / s.total;
        running.map(|s| s.prompt + made(s)).sum()
    }

    /// Kills an engine with all its streams.
    pub fn kill_engine(&mut self, index: usize) {
        for (to, attempt) in self.upstreams.kill(index) {
            self.tell(to, attempt, UpstreamEvent::Broken);
        }
    }

    /// Sends an event in the order in which the upstream made it, but for noise: a part of
    /// an answer may come twice, or after the next one.
    fn tell(&mut self, to: Incarnation, attempt: AttemptId, event: UpstreamEvent) {
        let at: Time = self.now.after(WIRE);
        let roll = self.rng.random_range(0..1000);
        let number = self.upstreams.attempts.get(&(to, attempt));
        let engine = number.is_some_and(|n| self.upstreams.streams[*n].total > 1);
        let part = engine && matches!(event, UpstreamEvent::Chunk(_));
        let late = part && roll < self.shape.noise;
        let twice = part && roll >= 1000 - self.shape.noise;
        if late || twice {
            let late = Turn::Event(to, Event::Upstream(attempt, event.clone()));
            self.at(at.after(PACE).after(PACE / 4), late);
        }
        if !late {
            self.at(at, Turn::Event(to, Event::Upstream(attempt, event)));
        }
    }
}

/// Returns the part of a stream at a place, which its name decides.
pub(super) fn truth_part(name: &str, place: u64) -> u64 {
    let digests =
        badgerfield_core::vm_upstreams::prefix_digests(&name.as_bytes().repeat(256)[..256]);
    (digests[0] ^ place) >> 1
}

/// Returns how many parts an answer has.
pub(super) fn parts_of(service: bool) -> usize {
    if service { 1 } else { usize::try_from(PARTS).unwrap_or(0) }
}

fn head() -> Head {
    Head { status: 200, content_type: "text/event-stream".into() }
}
