//! The requests of a service by prompt length, and the division of its engines among them.
//!
//! An engine reads prompts in pieces between the output tokens of its running streams, so a
//! long prompt delays every stream of the engine. Where the prompts of some routes are much
//! longer than those of others, each group gets engines of its own in proportion to its demand
//! (size-interval task assignment). A process estimates the demand and the read rate of the
//! engines from its own requests, and averages its demand with that of other processes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::amount::Time;
use crate::ids::{Incarnation, Service};

/// The time constant with which past requests decay (to about a third), in seconds. It is
/// longer than the waves in the users' traffic (11 s) and short compared with a day.
const DECAY_SECS: f64 = 15.0;
/// The number of recent requests that each group needs before engines are divided.
const MIN_GROUP_REQUESTS: f64 = 6.0;
/// The minimum ratio between the prompt lengths of two routes that separates long from short
/// prompts. The prompts of a single route may differ by a factor of 2.
const MIN_GAP_RATIO: f64 = 2.5;
/// The fraction of an engine's time that may go into reading prompts. Beyond it, requests wait
/// too long, since prompts are read one after the other. Only the ratio to
/// [`MAX_SLOT_UTILIZATION`] matters.
const MAX_READ_UTILIZATION: f64 = 0.35;
/// The fraction of the slots that may be in use before requests wait for one. It is higher than
/// [`MAX_READ_UTILIZATION`], since many slots even out bursts that a single reader cannot.
const MAX_SLOT_UTILIZATION: f64 = 0.7;
/// The weight of a process's own demand in the average with its peers. A lower weight makes
/// the averages of VMs more alike; a higher one lets the fleet follow its traffic sooner (at
/// present by a tenth of the difference every 0.4 s).
const OWN_WEIGHT: f64 = 0.08;
/// How long the demand received from a peer counts, since some heartbeats may be lost.
const PEER_DEMAND_TTL: Duration = Duration::from_secs(3);
/// The minimum change of a group's share of the engines that is logged.
const MIN_REPORTED_CHANGE: f64 = 0.03;
/// The assumed duration of an answer before the first has ended, in milliseconds.
const DEFAULT_ANSWER_MS: f64 = 1000.0;
/// The minimum share of the engines that a group gets, since a few engines may fail.
const MIN_SHARE: f64 = 0.15;
/// The assumed time to read a prompt token before enough prompts were observed, in
/// milliseconds. The published data of the engines' hardware gives 0.018 to 0.031.
pub(crate) const DEFAULT_MS_PER_TOKEN: f64 = 0.025;
/// The bounds of the estimated time to read a prompt token, in milliseconds: ten times faster
/// and slower than known engines.
const READ_MS_RANGE: (f64, f64) = (0.002, 0.5);
/// The number of observed prompts needed before the estimated read rate is used.
const MIN_READ_SAMPLES: f64 = 12.0;
/// The factor by which each observation reduces the weight of the earlier ones.
const SAMPLE_DECAY: f64 = 0.99;
/// The longest wait for a first event that counts for the read rate, in milliseconds. Longer
/// waits are caused by faults.
const MAX_READ_WAIT_MS: f64 = 3000.0;

/// The size of a prompt, as given by the header fields of the request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PromptSize {
    /// The number of tokens of the whole prompt.
    pub total_tokens: u64,
    /// The number of tokens that the prompt shares with no other request.
    pub unshared_tokens: u64,
}

/// The observed timing of one request at an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ObservedTiming {
    /// The prompt tokens that the engine was expected to read, being not in its cache.
    pub uncached_tokens: u64,
    /// The time from sending the request to its first event.
    pub time_to_first: Duration,
    /// The time from the first event to the last.
    pub stream_time: Duration,
}

/// The group of a request by the length of its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromptGroup {
    /// Requests with short prompts.
    Short,
    /// Requests with long prompts.
    Long,
}

/// The number of engines that each group of requests needs, as estimated by one process.
///
/// Processes exchange and average their estimates, so that all divide the engines nearly in
/// the same way. An engine that some processes assign to long prompts and others to short ones
/// would serve both.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineDemand {
    /// A hash of the service's name.
    pub service: u32,
    /// The demand of short prompts, in thousandths of an engine.
    pub short: u32,
    /// The demand of long prompts, in thousandths of an engine.
    pub long: u32,
    /// The minimum length of a long prompt, in tokens; 0 if unknown.
    pub long_threshold: u32,
}

/// A division of the engines of a service between short and long prompts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineDivision {
    /// The minimum length of a long prompt, in tokens.
    pub long_threshold: f64,
    /// The fraction of the engines that serves short prompts, from 0 to 1.
    pub short_share: f64,
}

impl EngineDivision {
    /// Divides the engines in proportion to the demand of the groups; returns `None` if only one
    /// group has demand or the threshold is unknown.
    #[must_use]
    pub fn from_demand(demand: &EngineDemand) -> Option<Self> {
        if demand.long_threshold == 0 || demand.short == 0 || demand.long == 0 {
            return None;
        }
        let (short, long) = (f64::from(demand.short), f64::from(demand.long));
        let share = short / (short + long);
        let short_share = share.clamp(MIN_SHARE, 1.0 - MIN_SHARE);
        Some(Self { long_threshold: f64::from(demand.long_threshold), short_share })
    }

    /// Returns the group of a prompt of this length, in tokens.
    #[must_use]
    pub fn group(&self, prompt: f64) -> PromptGroup {
        if prompt >= self.long_threshold { PromptGroup::Long } else { PromptGroup::Short }
    }

    /// Returns whether the engine at a position, from 0 to 1, serves a group.
    #[must_use]
    pub fn has_engine(&self, group: PromptGroup, position: f64) -> bool {
        (position < self.short_share) == (group == PromptGroup::Short)
    }
}

/// Statistics of the recent requests of one route.
#[derive(Debug, Clone, Copy, Default)]
struct RouteStats {
    /// The number of requests at `updated_at`, with past requests decayed.
    decayed_count: f64,
    updated_at: Time,
    prompt_tokens: DecayingMean,
    /// The prompt tokens that engines had to read.
    uncached_tokens: DecayingMean,
    /// The duration of answers, in milliseconds.
    answer_ms: DecayingMean,
}

impl RouteStats {
    fn current_count(&self, now: Time) -> f64 {
        self.decayed_count * (-now.since(self.updated_at).as_secs_f64() / DECAY_SECS).exp()
    }

    /// Returns the load of the route's requests: engines busy with reading, and slots in use.
    fn load(&self, now: Time, read_rate: &ReadRateFit) -> (f64, f64) {
        let rate = self.current_count(now) / DECAY_SECS;
        let read = rate * self.uncached_tokens.value * read_rate.ms_per_token() / 1e3;
        // Until an answer has ended, the default duration is assumed.
        let answer_ms =
            if self.answer_ms.weight > 0.0 { self.answer_ms.value } else { DEFAULT_ANSWER_MS };
        (read, rate * answer_ms / 1e3)
    }
}

/// A mean that weighs recent observations more.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingMean {
    value: f64,
    weight: f64,
}

impl DecayingMean {
    fn add(&mut self, value: f64) {
        self.weight = self.weight * SAMPLE_DECAY + 1.0;
        self.value += (value - self.value) / self.weight;
    }
}

/// An estimate of the read rate of a service's engines.
///
/// Fits a line to the waits for the first event, in milliseconds (y), over the uncached tokens,
/// in thousands (x). Its slope is the time to read a token.
#[derive(Debug, Clone, Copy, Default)]
struct ReadRateFit {
    count: f64,
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
}

impl ReadRateFit {
    fn add(&mut self, timing: &ObservedTiming) {
        let wait = timing.time_to_first.as_secs_f64() * 1e3;
        if wait <= MAX_READ_WAIT_MS {
            let x = to_f64(timing.uncached_tokens) / 1e3;
            let sums = [
                &mut self.count,
                &mut self.sum_x,
                &mut self.sum_y,
                &mut self.sum_xx,
                &mut self.sum_xy,
            ];
            for (sum, term) in sums.into_iter().zip([1.0, x, wait, x * x, x * wait]) {
                *sum = *sum * SAMPLE_DECAY + term;
            }
        }
    }

    /// Returns the estimated time to read a prompt token, in milliseconds.
    fn ms_per_token(&self) -> f64 {
        let spread = self.count * self.sum_xx - self.sum_x * self.sum_x;
        // The slope is unreliable unless prompts differ in length.
        if self.count < MIN_READ_SAMPLES || spread < self.count * self.count * 0.01 {
            return DEFAULT_MS_PER_TOKEN;
        }
        let slope = (self.count * self.sum_xy - self.sum_x * self.sum_y) / spread;
        (slope / 1e3).clamp(READ_MS_RANGE.0, READ_MS_RANGE.1)
    }
}

/// The requests of one service that this process has received, by route.
#[derive(Debug, Default)]
pub struct RequestMix {
    routes: BTreeMap<String, RouteStats>,
    read_rate: ReadRateFit,
    division: Option<EngineDivision>,
    /// The share of short prompts in the division that [`Self::divide`] returned last.
    reported_share: f64,
}

impl RequestMix {
    /// Records the arrival of a request of a route.
    pub fn record_arrival(&mut self, now: Time, route: &str, size: PromptSize) {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), RouteStats::default());
        }
        let Some(stats) = self.routes.get_mut(route) else {
            return;
        };
        stats.decayed_count = stats.current_count(now) + 1.0;
        stats.updated_at = now;
        stats.prompt_tokens.add(to_f64(size.total_tokens));
        if stats.answer_ms.weight == 0.0 {
            stats.uncached_tokens.add(to_f64(size.unshared_tokens));
        }
    }

    /// Records the timing of an answered request of a route.
    pub fn record_timing(&mut self, route: &str, timing: &ObservedTiming) {
        self.read_rate.add(timing);
        let Some(stats) = self.routes.get_mut(route) else {
            return;
        };
        stats.uncached_tokens.add(to_f64(timing.uncached_tokens));
        stats.answer_ms.add((timing.time_to_first + timing.stream_time).as_secs_f64() * 1e3);
    }

    /// Returns the estimated time for an engine to read a prompt token, in milliseconds.
    #[must_use]
    pub fn ms_per_token(&self) -> f64 {
        self.read_rate.ms_per_token()
    }

    /// Returns the mean prompt length of a route, in tokens, or `None` without recent requests.
    #[must_use]
    pub fn mean_prompt_tokens(&self, route: &str) -> Option<f64> {
        self.routes.get(route).map(|stats| stats.prompt_tokens.value)
    }

    /// Returns the current division of the engines, if they are divided.
    #[must_use]
    pub fn division(&self) -> Option<EngineDivision> {
        self.division
    }

    /// Divides the engines by the demand of all processes.
    ///
    /// Returns the division if its shares differ noticeably from those returned last.
    pub fn divide(&mut self, demand: &EngineDemand) -> Option<EngineDivision> {
        self.division = EngineDivision::from_demand(demand);
        let division = self.division?;
        if (division.short_share - self.reported_share).abs() < MIN_REPORTED_CHANGE {
            return None;
        }
        self.reported_share = division.short_share;
        Some(division)
    }

    /// Returns the demand of this process's requests for engines with `slots` slots each.
    pub fn demand(&mut self, now: Time, service: &Service, slots: u32) -> EngineDemand {
        self.routes.retain(|_, stats| stats.current_count(now) > 0.01);
        let fleet_threshold = self.division.map(|division| division.long_threshold);
        let own_threshold = self.find_threshold(now);
        let Some(threshold) = own_threshold.or(fleet_threshold) else {
            return EngineDemand { service: service_hash(service), ..EngineDemand::default() };
        };
        let (mut short, mut long) = ((0.0, 0.0), (0.0, 0.0));
        for stats in self.routes.values() {
            let (read, busy) = stats.load(now, &self.read_rate);
            let group = if stats.prompt_tokens.value >= threshold { &mut long } else { &mut short };
            group.0 += read;
            group.1 += busy / f64::from(slots.max(1));
        }
        let engines = |(read, busy): (f64, f64)| {
            (read / MAX_READ_UTILIZATION).max(busy / MAX_SLOT_UTILIZATION)
        };
        EngineDemand {
            service: service_hash(service),
            short: to_u32(engines(short) * 1e3),
            long: to_u32(engines(long) * 1e3),
            long_threshold: own_threshold.map_or(0, to_u32),
        }
    }

    /// Returns the geometric mean of the prompt lengths on both sides of the widest gap between
    /// routes, in tokens; `None` if no gap is wide enough or a side of it has too few requests.
    fn find_threshold(&self, now: Time) -> Option<f64> {
        let mut routes: Vec<_> = self.routes.values().collect();
        routes.sort_by(|a, b| a.prompt_tokens.value.total_cmp(&b.prompt_tokens.value));
        let ratio = |pair: &[&RouteStats]| {
            pair[1].prompt_tokens.value / pair[0].prompt_tokens.value.max(1.0)
        };
        let (index, widest) = routes
            .windows(2)
            .map(ratio)
            .enumerate()
            .max_by(|(_, a), (_, b)| a.total_cmp(b))
            .filter(|(_, ratio)| *ratio >= MIN_GAP_RATIO)?;
        let (short, long) = routes.split_at(index + 1);
        let count =
            |group: &[&RouteStats]| group.iter().map(|stats| stats.current_count(now)).sum::<f64>();
        if count(short) < MIN_GROUP_REQUESTS || count(long) < MIN_GROUP_REQUESTS {
            return None;
        }
        short.last().map(|longest| longest.prompt_tokens.value * widest.sqrt())
    }
}

/// The demand of all processes, averaged over the fleet by gossip.
///
/// Each process sends its neighbours a weighted average of its own demand and of what it
/// received from them. After a few rounds, every process has nearly the fleet's mean.
#[derive(Debug, Default)]
pub(crate) struct DemandAverage {
    own: Vec<EngineDemand>,
    /// The demand received from each peer, with the time of arrival.
    received: BTreeMap<Incarnation, (Time, Vec<EngineDemand>)>,
}

impl DemandAverage {
    /// Sets the demand of this process's requests.
    pub(crate) fn set_own(&mut self, own: Vec<EngineDemand>) {
        self.own = own;
    }

    /// Records the demand received from a peer.
    pub(crate) fn record_peer(&mut self, now: Time, from: Incarnation, demand: &[EngineDemand]) {
        if !demand.is_empty() {
            self.received.insert(from, (now, demand.to_vec()));
        }
    }

    /// Returns the weighted average of each service's demand.
    pub(crate) fn average(&mut self, now: Time) -> Vec<EngineDemand> {
        self.received.retain(|_, (at, _)| now.since(*at) < PEER_DEMAND_TTL);
        let mut services: BTreeSet<u32> = self.own.iter().map(|d| d.service).collect();
        services.extend(self.received.values().flat_map(|(_, all)| all.iter().map(|d| d.service)));
        services.into_iter().map(|service| self.average_service(service)).collect()
    }

    fn average_service(&self, service: u32) -> EngineDemand {
        let find = |all: &[EngineDemand]| all.iter().find(|d| d.service == service).copied();
        let own = find(&self.own).unwrap_or(EngineDemand { service, ..EngineDemand::default() });
        let others: Vec<_> = self.received.values().filter_map(|(_, all)| find(all)).collect();
        if others.is_empty() {
            return own;
        }
        let mean = |field: fn(&EngineDemand) -> u32| {
            let sum: f64 = others.iter().map(|d| f64::from(field(d))).sum();
            sum / to_f64(others.len().try_into().unwrap_or(u64::MAX))
        };
        let average = |field: fn(&EngineDemand) -> u32| {
            to_u32(f64::from(field(&own)) * OWN_WEIGHT + mean(field) * (1.0 - OWN_WEIGHT))
        };
        // Processes without a threshold do not count for its mean.
        let thresholds = others.iter().chain([&own]).map(|d| d.long_threshold).filter(|t| *t > 0);
        let (sum, count) = thresholds.fold((0.0, 0.0), |(s, c), t| (s + f64::from(t), c + 1.0));
        let long_threshold = if count > 0.0 { to_u32(sum / count) } else { 0 };
        EngineDemand {
            service,
            short: average(|d| d.short),
            long: average(|d| d.long),
            long_threshold,
        }
    }
}

/// Returns the hash that identifies a service in messages between processes.
pub(crate) fn service_hash(service: &Service) -> u32 {
    let hash = xxh3_64(service.as_str().as_bytes());
    u32::try_from(hash >> 32).unwrap_or_default()
}

/// Truncates a number to an integer within the range of the message field.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range first"
)]
fn to_u32(value: f64) -> u32 {
    value.clamp(0.0, f64::from(u32::MAX)) as u32
}

/// Converts a count to a floating-point number. Counts here are far below `u32::MAX`.
pub(crate) fn to_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
