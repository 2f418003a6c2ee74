//! The mix of requests at a service, and which part of its engines takes which of them.
//!
//! An engine reads prompts in pieces between the tokens of the streams that it runs, so a
//! long prompt holds up every stream beside it. Where the prompts of some routes are much
//! longer than those of others, each group gets engines of its own (size-interval task
//! assignment), by what it needs. What that is, and how fast engines read, is learned from the
//! requests of this process and blended with what other processes learned.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::amount::Time;
use crate::ids::{Incarnation, Service};

/// The span after which past requests count for about a third, in seconds. It is long
/// against the waves of traffic that the users describe (11 s), and short against a day.
const SPAN_S: f64 = 15.0;
/// How many requests of each group must have come before engines are divided.
const LEAST_SEEN: f64 = 6.0;
/// How many times longer the prompts of the next route must be to begin a group of their
/// own. Twice the length is within the spread of one route.
const LEAST_RATIO: f64 = 2.5;
/// The part of an engine's time that may go into reading prompts before those that wait
/// for it wait too long: prompts are read one after the other. Assumed, not tuned; only its
/// ratio to [`SLOTS_IN_USE`] matters.
const READING: f64 = 0.35;
/// The part of the slots that may be in use before requests wait for one: many slots even
/// out what one reader cannot.
const SLOTS_IN_USE: f64 = 0.7;
/// The weight of a process's own needs among those that it heard: less makes VMs more alike,
/// more lets the fleet follow its traffic sooner (a tenth of the way in each 0.4 s).
const OWN_WEIGHT: f64 = 0.08;
/// For how long what a neighbour told counts: some signs of life may be lost.
const HEARD_FOR: Duration = Duration::from_secs(3);
/// By how much the share of a group must move to be logged.
const NEWS: f64 = 0.03;
/// The time that an answer is taken to take until one has ended, in milliseconds.
const BUSY_MS_PRIOR: f64 = 1000.0;
/// The least part of the engines that a group gets: a few engines may fail.
const LEAST_SHARE: f64 = 0.15;
/// The time that engines are taken to read a prompt token in until it was observed, in
/// milliseconds: the users' engines are listed with 0.018 to 0.031.
pub(crate) const READ_MS_PRIOR: f64 = 0.025;
/// What a learned reading time is held within, in milliseconds a token: ten times faster
/// and slower than the engines that are known.
const READ_MS_RANGE: (f64, f64) = (0.002, 0.5);
/// How many prompts must have been read before the observed rate counts.
const LEAST_READ: f64 = 12.0;
/// What one observation keeps of the weight of those before it.
const KEEP: f64 = 0.99;
/// The longest wait for a first event that says something about reading, in milliseconds;
/// what takes longer was held up by a fault.
const LONGEST_READ_MS: f64 = 3000.0;

/// What a request asks of an engine, by its head.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PromptSize {
    /// All tokens of the prompt.
    pub total_tokens: u64,
    /// The tokens of the prompt that no other request shares.
    pub unshared_tokens: u64,
}

/// How one request went at an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ObservedTiming {
    /// The prompt tokens that the engine was expected to read.
    pub uncached_tokens: u64,
    /// From sending the request to its first event.
    pub time_to_first: Duration,
    /// From the first event to the last.
    pub stream_time: Duration,
}

/// Which of the two groups a request belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromptGroup {
    /// Its prompt is short.
    Short,
    /// Its prompt is long.
    Long,
}

/// How many engines each group of requests needs, as one process sees it.
///
/// Processes tell each other and blend what they hear, so that all divide the engines
/// alike: an engine that some take for long prompts and others for short ones serves both.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineDemand {
    /// Stands for the service's name.
    pub service: u32,
    /// What short prompts need, in thousandths of an engine.
    pub short: u32,
    /// What long prompts need, in thousandths of an engine.
    pub long: u32,
    /// From this length on a prompt counts as long, in tokens; 0 if nothing tells.
    pub long_threshold: u32,
}

/// How the engines of a service are divided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineDivision {
    /// From this length on a prompt counts as long, in tokens.
    pub long_threshold: f64,
    /// The part of the engines, from 0 to 1, that takes short prompts.
    pub short_share: f64,
}

impl EngineDivision {
    /// Divides engines by what the groups need; nothing if only one group is known.
    #[must_use]
    pub fn from_demand(needs: &EngineDemand) -> Option<Self> {
        if needs.long_threshold == 0 || needs.short == 0 || needs.long == 0 {
            return None;
        }
        let (short, long) = (f64::from(needs.short), f64::from(needs.long));
        let share = short / (short + long);
        let short_share = share.clamp(LEAST_SHARE, 1.0 - LEAST_SHARE);
        Some(Self { long_threshold: f64::from(needs.long_threshold), short_share })
    }

    /// Returns the group of a prompt.
    #[must_use]
    pub fn group(&self, prompt: f64) -> PromptGroup {
        if prompt >= self.long_threshold { PromptGroup::Long } else { PromptGroup::Short }
    }

    /// Tells whether the engine at a place, from 0 to 1, takes a group.
    #[must_use]
    pub fn takes(&self, group: PromptGroup, place: f64) -> bool {
        (place < self.short_share) == (group == PromptGroup::Short)
    }
}

/// The requests of one route, as they came of late.
#[derive(Debug, Clone, Copy, Default)]
struct RouteMix {
    /// How many requests came, where past ones count less.
    level: f64,
    at: Time,
    prompt: Mean,
    /// The tokens that engines had to read.
    unread: Mean,
    /// The time that answers took, in milliseconds.
    busy: Mean,
}

impl RouteMix {
    fn level(&self, now: Time) -> f64 {
        self.level * (-now.since(self.at).as_secs_f64() / SPAN_S).exp()
    }

    /// Returns how many engines' reading the requests take, and how many slots.
    fn load(&self, now: Time, pace: &Pace) -> (f64, f64) {
        let rate = self.level(now) / SPAN_S;
        let read = rate * self.unread.value * pace.read_ms() / 1e3;
        // An answer that has not ended yet is taken to be as long as a usual one.
        let busy = if self.busy.count > 0.0 { self.busy.value } else { BUSY_MS_PRIOR };
        (read, rate * busy / 1e3)
    }
}

/// A mean over the last observations.
#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    value: f64,
    count: f64,
}

impl Mean {
    fn note(&mut self, value: f64) {
        self.count = self.count * KEEP + 1.0;
        self.value += (value - self.value) / self.count;
    }
}

/// How fast the engines of a service read.
#[derive(Debug, Clone, Copy, Default)]
struct Pace {
    /// Sums for a line through waits for the first event over thousands of unread tokens.
    count: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Pace {
    fn note(&mut self, seen: &ObservedTiming) {
        let wait = seen.time_to_first.as_secs_f64() * 1e3;
        if wait <= LONGEST_READ_MS {
            let x = float(seen.uncached_tokens) / 1e3;
            let sums = [&mut self.count, &mut self.x, &mut self.y, &mut self.xx, &mut self.xy];
            for (sum, term) in sums.into_iter().zip([1.0, x, wait, x * x, x * wait]) {
                *sum = *sum * KEEP + term;
            }
        }
    }

    /// Returns the time to read a prompt token, in milliseconds.
    fn read_ms(&self) -> f64 {
        let spread = self.count * self.xx - self.x * self.x;
        // The slope of a line needs prompts of different lengths.
        if self.count < LEAST_READ || spread < self.count * self.count * 0.01 {
            return READ_MS_PRIOR;
        }
        let slope = (self.count * self.xy - self.x * self.y) / spread;
        (slope / 1e3).clamp(READ_MS_RANGE.0, READ_MS_RANGE.1)
    }
}

/// What this process has seen of the requests of one service.
#[derive(Debug, Default)]
pub struct RequestMix {
    routes: BTreeMap<String, RouteMix>,
    pace: Pace,
    division: Option<EngineDivision>,
    /// The share of short prompts that was told last.
    told: f64,
}

impl RequestMix {
    /// Notes that a request of a route came.
    pub fn record_arrival(&mut self, now: Time, route: &str, size: PromptSize) {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), RouteMix::default());
        }
        let Some(mix) = self.routes.get_mut(route) else {
            return;
        };
        mix.level = mix.level(now) + 1.0;
        mix.at = now;
        mix.prompt.note(float(size.total_tokens));
        if mix.busy.count == 0.0 {
            mix.unread.note(float(size.unshared_tokens));
        }
    }

    /// Notes how a request of a route went.
    pub fn record_timing(&mut self, route: &str, seen: &ObservedTiming) {
        self.pace.note(seen);
        let Some(mix) = self.routes.get_mut(route) else {
            return;
        };
        mix.unread.note(float(seen.uncached_tokens));
        mix.busy.note((seen.time_to_first + seen.stream_time).as_secs_f64() * 1e3);
    }

    /// Returns the time in which an engine reads a prompt token, in milliseconds.
    #[must_use]
    pub fn ms_per_token(&self) -> f64 {
        self.pace.read_ms()
    }

    /// Returns the mean prompt of a route, in tokens, or nothing if none came.
    #[must_use]
    pub fn prompt(&self, route: &str) -> Option<f64> {
        self.routes.get(route).map(|mix| mix.prompt.value)
    }

    /// Returns how the engines are divided at present, if they are.
    #[must_use]
    pub fn division(&self) -> Option<EngineDivision> {
        self.division
    }

    /// Divides the engines by what all processes need; returns the
    /// division if that is news.
    pub fn divide(&mut self, needs: &EngineDemand) -> Option<EngineDivision> {
        self.division = EngineDivision::from_demand(needs);
        let division = self.division?;
        if (division.short_share - self.told).abs() < NEWS {
            return None;
        }
        self.told = division.short_share;
        Some(division)
    }

    /// Returns what the requests of this process need of engines with so many slots.
    pub fn demand(&mut self, now: Time, service: &Service, slots: u32) -> EngineDemand {
        self.routes.retain(|_, mix| mix.level(now) > 0.01);
        let agreed = self.division.map(|division| division.long_threshold);
        let own = self.long_from(now);
        let Some(border) = own.or(agreed) else {
            return EngineDemand { service: service_number(service), ..EngineDemand::default() };
        };
        let (mut short, mut long) = ((0.0, 0.0), (0.0, 0.0));
        for mix in self.routes.values() {
            let (read, busy) = mix.load(now, &self.pace);
            let group = if mix.prompt.value >= border { &mut long } else { &mut short };
            group.0 += read;
            group.1 += busy / f64::from(slots.max(1));
        }
        let engines = |(read, busy): (f64, f64)| (read / READING).max(busy / SLOTS_IN_USE);
        EngineDemand {
            service: service_number(service),
            short: whole(engines(short) * 1e3),
            long: whole(engines(long) * 1e3),
            long_threshold: own.map_or(0, whole),
        }
    }

    /// Finds the widest gap between the prompts of routes; nothing if none is wide, or too
    /// few requests came on either side of it.
    fn long_from(&self, now: Time) -> Option<f64> {
        let mut routes: Vec<_> = self.routes.values().collect();
        routes.sort_by(|a, b| a.prompt.value.total_cmp(&b.prompt.value));
        let ratio = |pair: &[&RouteMix]| pair[1].prompt.value / pair[0].prompt.value.max(1.0);
        let (at, widest) = routes
            .windows(2)
            .map(ratio)
            .enumerate()
            .max_by(|(_, a), (_, b)| a.total_cmp(b))
            .filter(|(_, ratio)| *ratio >= LEAST_RATIO)?;
        let (short, long) = routes.split_at(at + 1);
        let seen = |group: &[&RouteMix]| group.iter().map(|mix| mix.level(now)).sum::<f64>();
        if seen(short) < LEAST_SEEN || seen(long) < LEAST_SEEN {
            return None;
        }
        short.last().map(|longest| longest.prompt.value * widest.sqrt())
    }
}

/// What processes need, averaged over the fleet by gossip.
///
/// Each process tells its neighbours a blend of its own needs and of what they told; after
/// a few rounds everybody has nearly the mean of all.
#[derive(Debug, Default)]
pub(crate) struct DemandAverage {
    own: Vec<EngineDemand>,
    heard: BTreeMap<Incarnation, (Time, Vec<EngineDemand>)>,
}

impl DemandAverage {
    /// Notes what the requests of this process need.
    pub(crate) fn set_own(&mut self, own: Vec<EngineDemand>) {
        self.own = own;
    }

    /// Notes what a neighbour told.
    pub(crate) fn record_peer(&mut self, now: Time, from: Incarnation, needs: &[EngineDemand]) {
        if !needs.is_empty() {
            self.heard.insert(from, (now, needs.to_vec()));
        }
    }

    /// Returns the blend.
    pub(crate) fn average(&mut self, now: Time) -> Vec<EngineDemand> {
        self.heard.retain(|_, (at, _)| now.since(*at) < HEARD_FOR);
        let mut services: BTreeSet<u32> = self.own.iter().map(|needs| needs.service).collect();
        services.extend(self.heard.values().flat_map(|(_, all)| all.iter().map(|n| n.service)));
        services.into_iter().map(|service| self.blend_of(service)).collect()
    }

    fn blend_of(&self, service: u32) -> EngineDemand {
        let of = |all: &[EngineDemand]| all.iter().find(|n| n.service == service).copied();
        let own = of(&self.own).unwrap_or(EngineDemand { service, ..EngineDemand::default() });
        let others: Vec<_> = self.heard.values().filter_map(|(_, all)| of(all)).collect();
        if others.is_empty() {
            return own;
        }
        let mean = |field: fn(&EngineDemand) -> u32| {
            let sum: f64 = others.iter().map(|n| f64::from(field(n))).sum();
            sum / float(others.len().try_into().unwrap_or(u64::MAX))
        };
        let blend = |field: fn(&EngineDemand) -> u32| {
            whole(f64::from(field(&own)) * OWN_WEIGHT + mean(field) * (1.0 - OWN_WEIGHT))
        };
        // Only those that know a border have a say about it.
        let borders =
            others.iter().chain([&own]).map(|n| n.long_threshold).filter(|from| *from > 0);
        let (sum, count) = borders.fold((0.0, 0.0), |(s, c), b| (s + f64::from(b), c + 1.0));
        let long_from = if count > 0.0 { whole(sum / count) } else { 0 };
        EngineDemand {
            service,
            short: blend(|n| n.short),
            long: blend(|n| n.long),
            long_threshold: long_from,
        }
    }
}

/// Returns the number that stands for a service between processes.
pub(crate) fn service_number(service: &Service) -> u32 {
    let hash = xxh3_64(service.as_str().as_bytes());
    u32::try_from(hash >> 32).unwrap_or_default()
}

/// Returns a number without its fraction, held within what the wire takes.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is held within the range first"
)]
fn whole(value: f64) -> u32 {
    value.clamp(0.0, f64::from(u32::MAX)) as u32
}

/// Returns a count as a number to reckon with; counts here are far below what loses digits.
pub(crate) fn float(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
