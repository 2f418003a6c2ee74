//! The upstreams of the VM list and the choice among them.
//!
//! Load reports, the VM list and the recorded cache contents are always somewhat out of date.
//! The table therefore adds this process's unreported dispatches to the last load report,
//! treats an upstream as leaving as soon as any source says so, and counts a cached prefix
//! for less the older its record is.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::amount::{Time, TokenRate, Tokens};
use crate::event::{Chat, Work};
use crate::ids::{Adapter, Hardware, Model, Region, Service, UpstreamId, VmId};
use crate::residency::Residency;
use crate::template::AccountTemplate;

/// The number of prompt bytes between two prefix digests.
pub const PREFIX_STEP_BYTES: usize = 256;
/// The maximum number of prefix digests recorded per upstream.
const MAX_PREFIXES: usize = 4096;
/// The age at which a recorded prefix counts for half.
const PREFIX_HALF_LIFE: Duration = Duration::from_mins(1);
/// The number of upstreams that every VM prefers for a prefix, by rendezvous hashing.
const PREFERRED_COUNT: usize = 2;
/// The assumed probability that a preferred upstream has a prefix cached that this process
/// has not sent there.
const PREFERRED_HIT_RATE: f64 = 0.5;
/// The longest time for which a failed upstream receives no requests.
const MAX_EJECTION: Duration = Duration::from_secs(20);
/// The time for which an upstream receives no requests after its first failure.
const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// The range of the per-process random factor that keeps VMs from choosing the same upstream.
const JITTER_PERCENT: u64 = 15;
/// The weight of a new sample in the moving average of an upstream's slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.2;

/// The kind of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine.
    Engine(EngineInfo),
    /// A plain service.
    Service(Service),
}

/// A model engine as described in the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineInfo {
    /// The model that the engine serves.
    pub model: Model,
    /// The adapters that are loaded.
    #[serde(default)]
    pub adapters: BTreeSet<Adapter>,
    /// The number of prompt tokens that the engine reads per second.
    pub prefill: TokenRate,
    /// The number of output tokens per second and stream.
    pub decode: TokenRate,
}

/// An upstream as described in the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmUpstreamInfo {
    /// The upstream's id.
    pub id: UpstreamId,
    /// The address that takes requests.
    pub address: SocketAddr,
    /// The region of the VM.
    pub region: Region,
    /// The hardware generation of the VM.
    pub hardware: Hardware,
    /// The number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream is an engine or a plain service.
    pub kind: UpstreamKind,
}

/// An entry of the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The id of the VM.
    pub vm: VmId,
    /// Whether the platform is about to remove the VM.
    #[serde(default)]
    pub leaving: bool,
    /// The upstream on the VM; `None` for the VMs that run badgerfield itself.
    #[serde(default)]
    pub upstream: Option<VmUpstreamInfo>,
}

/// The platform's list of VMs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// The version of the list; it never decreases.
    pub version: u64,
    /// One entry per VM.
    pub vms: Vec<VmEntry>,
}

/// A load report of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The number of running requests.
    pub running: u32,
    /// The number of queued requests.
    pub queued: u32,
    /// The number of prompt tokens not yet read.
    pub prefill: Tokens,
    /// Whether the upstream is about to stop serving.
    #[serde(default)]
    pub leaving: bool,
}

/// The state of one upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// The description from the VM list.
    pub info: VmUpstreamInfo,
    /// Whether the VM list or a load report says that the upstream is leaving.
    pub leaving: bool,
    last_report: LoadReport,
    reported_at: Option<Time>,
    /// The number of requests of this process that have not ended.
    in_flight: u32,
    /// The number of requests sent by this process since the last load report.
    unreported: u32,
    /// The prompt tokens of this process's requests without a first token.
    pending_prefill: Tokens,
    /// The moving average of actual over expected time to the first token.
    slowdown: f64,
    failure_count: u32,
    /// When the upstream receives requests again after a failure.
    ejected_until: Option<Time>,
    /// When the back-off ends that the upstream requested from this process.
    back_off_until: Time,
    /// The prefixes that this process sent to the upstream, with the time of the last dispatch.
    cached_prefixes: HashMap<u64, Time>,
}

impl Upstream {
    fn new(info: VmUpstreamInfo, leaving: bool) -> Self {
        Self {
            info,
            leaving,
            last_report: LoadReport::default(),
            reported_at: None,
            in_flight: 0,
            unreported: 0,
            pending_prefill: Tokens::ZERO,
            slowdown: 1.0,
            failure_count: 0,
            ejected_until: None,
            back_off_until: Time::default(),
            cached_prefixes: HashMap::new(),
        }
    }

    fn running(&self) -> u32 {
        let reported = self.last_report.running.saturating_add(self.last_report.queued);
        reported.saturating_add(self.unreported).max(self.in_flight)
    }

    fn is_available(&self, now: Time) -> bool {
        let is_ejected = self.ejected_until.is_some_and(|until| now < until);
        !self.leaving && !is_ejected && self.back_off_until <= now
    }

    /// Estimates how many tokens of the prompt the upstream has cached.
    fn cached_tokens(&self, now: Time, chat: &Chat, prefix_match: Option<&PrefixMatch>) -> f64 {
        for (i, prefix) in chat.prefix_digests.iter().enumerate().rev() {
            let Some(at) = self.cached_prefixes.get(prefix) else {
                continue;
            };
            let age = now.since(*at).as_secs_f64() / PREFIX_HALF_LIFE.as_secs_f64();
            return covered_tokens(i, chat) * 0.5_f64.powf(age);
        }
        // Every VM prefers the same upstreams for a prefix, so another VM has probably sent the
        // prefix to this one.
        let prefix_match = prefix_match.filter(|m| m.preferred.contains(&self.info.id));
        prefix_match.map_or(0.0, |m| covered_tokens(m.index, chat) * PREFERRED_HIT_RATE)
    }

    /// Estimates the time to the first token, in seconds.
    fn estimate_ttft(&self, now: Time, work: &Work, prefix_match: Option<&PrefixMatch>) -> f64 {
        let slots = f64::from(self.info.slots.max(1));
        let excess = (f64::from(self.running()) + 1.0 - slots).max(0.0);
        let UpstreamKind::Engine(engine) = &self.info.kind else {
            return (1.0 + f64::from(self.running())) / slots * self.slowdown;
        };
        let Work::Chat(chat) = work else {
            return f64::MAX;
        };
        let prefill_rate = to_f64(engine.prefill.0.max(1));
        let uncached =
            (to_f64(chat.prompt_tokens.0) - self.cached_tokens(now, chat, prefix_match)).max(0.0);
        let queued = to_f64(self.last_report.prefill.0.max(self.pending_prefill.0));
        let prefill_time = (uncached + queued) / prefill_rate;
        // A stream ends and frees its slot after a few hundred tokens.
        let slot_wait = excess / slots * 200.0 / to_f64(engine.decode.0.max(1));
        let batch_delay = f64::from(self.running()) / slots / to_f64(engine.decode.0.max(1));
        (prefill_time + slot_wait + batch_delay) * self.slowdown
    }
}

/// The longest prefix of a prompt that this process has sent before.
#[derive(Debug)]
struct PrefixMatch {
    /// The index of the prefix among the prompt's digests.
    index: usize,
    /// The upstreams that every VM prefers for the prefix.
    preferred: Vec<UpstreamId>,
}

/// What a request needs from an upstream.
#[derive(Debug, Clone, Copy)]
pub struct VmUpstreamCriteria<'a> {
    /// The chat completion or service call.
    pub work: &'a Work,
    /// The template of the client account.
    pub template: &'a AccountTemplate,
    /// The regions that were allowed for the request when it was admitted.
    pub residency: &'a Residency,
    /// The region of this process.
    pub region: &'a Region,
    /// A random number that differs between processes.
    pub seed: u64,
}

/// The outcome of choosing an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VmUpstreamChoice {
    /// The upstream to send the request to.
    Selected(UpstreamId),
    /// All suitable upstreams are full; the first has a free slot after about this time.
    Full(Duration),
    /// No available upstream can serve the request.
    Unavailable,
}

/// The upstreams of the VM list.
#[derive(Debug, Default)]
pub struct VmUpstreams {
    upstreams: BTreeMap<UpstreamId, Upstream>,
    /// Prefixes that this process sent to any upstream, with the time of the last dispatch.
    recent_prefixes: HashMap<u64, Time>,
    list_version: u64,
}

impl VmUpstreams {
    /// Applies a VM list and returns true, unless the list is older than the last one.
    pub fn apply_list(&mut self, list: &VmList) -> bool {
        if list.version < self.list_version {
            return false;
        }
        self.list_version = list.version;
        let mut listed = BTreeSet::new();
        for vm in &list.vms {
            let Some(info) = &vm.upstream else {
                continue;
            };
            listed.insert(info.id.clone());
            let leaving = vm.leaving;
            let entry = self
                .upstreams
                .entry(info.id.clone())
                .or_insert_with(|| Upstream::new(info.clone(), leaving));
            // Stays set: a load report may say so before the list does.
            entry.leaving |= leaving;
            if entry.info.address != info.address {
                *entry = Upstream::new(info.clone(), leaving);
            }
            entry.info = info.clone();
        }
        self.upstreams.retain(|id, upstream| listed.contains(id) || upstream.in_flight > 0);
        for (id, upstream) in &mut self.upstreams {
            upstream.leaving |= !listed.contains(id);
        }
        true
    }

    /// Returns the state of an upstream.
    #[must_use]
    pub fn get(&self, id: &UpstreamId) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// Returns all upstreams, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Applies a load report.
    pub fn apply_report(&mut self, now: Time, id: &UpstreamId, report: LoadReport) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        upstream.last_report = report;
        upstream.reported_at = Some(now);
        upstream.unreported = 0;
        upstream.leaving |= report.leaving;
    }

    /// Chooses the upstream with the shortest estimated time to the first token.
    ///
    /// The estimate of an upstream in another region counts half as much again.
    #[must_use]
    pub fn choose(&self, now: Time, criteria: &VmUpstreamCriteria<'_>) -> VmUpstreamChoice {
        let prefix_match = self.match_prefix(criteria);
        let mut best: Option<(f64, &UpstreamId)> = None;
        let mut shortest_wait = None;
        for (id, upstream) in &self.upstreams {
            if !can_serve(upstream, criteria) || !upstream.is_available(now) {
                continue;
            }
            let mut cost = upstream.estimate_ttft(now, criteria.work, prefix_match.as_ref());
            if upstream.running() >= upstream.info.slots {
                shortest_wait =
                    Some(shortest_wait.map_or(cost, |shortest: f64| shortest.min(cost)));
                continue;
            }
            let is_remote = &upstream.info.region != criteria.region;
            cost *= if is_remote { 1.5 } else { 1.0 };
            cost *= jitter_factor(criteria.seed, id);
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, id));
            }
        }
        if let Some((_, id)) = best {
            return VmUpstreamChoice::Selected(id.clone());
        }
        shortest_wait
            .map_or(VmUpstreamChoice::Unavailable, |cost| VmUpstreamChoice::Full(to_duration(cost)))
    }

    /// Finds the longest prefix of the prompt that this process has sent before, and the
    /// upstreams that rank first for it. All VMs rank the upstreams in the same order.
    fn match_prefix(&self, criteria: &VmUpstreamCriteria<'_>) -> Option<PrefixMatch> {
        let Work::Chat(chat) = criteria.work else {
            return None;
        };
        let index =
            chat.prefix_digests.iter().rposition(|p| self.recent_prefixes.contains_key(p))?;
        let digest = chat.prefix_digests.get(index)?;
        let candidates =
            self.upstreams.iter().filter(|(_, upstream)| can_serve(upstream, criteria));
        let mut ranked: Vec<_> = candidates.map(|(id, _)| id).collect();
        ranked.sort_by_cached_key(|id| xxh3_64_with_seed(id.as_str().as_bytes(), *digest));
        let preferred = ranked.into_iter().take(PREFERRED_COUNT).cloned().collect();
        Some(PrefixMatch { index, preferred })
    }

    /// Records the prefixes of a prompt that was sent; evicts the oldest if there are too many.
    fn record_prefixes(&mut self, now: Time, chat: &Chat) {
        evict_oldest(&mut self.recent_prefixes, chat.prefix_digests.len());
        for prefix in &chat.prefix_digests {
            self.recent_prefixes.insert(*prefix, now);
        }
    }

    /// Records that a request was sent to an upstream.
    pub fn record_dispatch(&mut self, now: Time, id: &UpstreamId, work: &Work) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        upstream.in_flight += 1;
        upstream.unreported += 1;
        let Work::Chat(chat) = work else {
            return;
        };
        upstream.pending_prefill = upstream.pending_prefill.saturating_add(chat.prompt_tokens);
        evict_oldest(&mut upstream.cached_prefixes, chat.prefix_digests.len());
        for prefix in &chat.prefix_digests {
            upstream.cached_prefixes.insert(*prefix, now);
        }
        self.record_prefixes(now, chat);
    }

    /// Records the first token of a request, which arrived `elapsed` after the dispatch.
    pub fn record_first_token(&mut self, id: &UpstreamId, work: &Work, elapsed: Duration) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        upstream.failure_count = 0;
        upstream.ejected_until = None;
        let (Work::Chat(chat), UpstreamKind::Engine(engine)) = (work, &upstream.info.kind) else {
            return;
        };
        upstream.pending_prefill = upstream.pending_prefill.saturating_sub(chat.prompt_tokens);
        let expected = to_f64(chat.prompt_tokens.0) / to_f64(engine.prefill.0.max(1)) + 0.02;
        let ratio = (elapsed.as_secs_f64() / expected).clamp(0.5, 20.0);
        upstream.slowdown = upstream.slowdown * (1.0 - SLOWDOWN_WEIGHT) + ratio * SLOWDOWN_WEIGHT;
    }

    /// Records the end of a request; `started` tells whether its first token had arrived.
    pub fn record_end(&mut self, id: &UpstreamId, work: &Work, started: bool) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        upstream.last_report.running = upstream.last_report.running.saturating_sub(1);
        if let Work::Chat(chat) = work
            && !started
        {
            upstream.pending_prefill = upstream.pending_prefill.saturating_sub(chat.prompt_tokens);
        }
    }

    /// Records that an upstream asks this process for no requests for a span. An earlier back-off
    /// that lasts longer stays in force.
    pub fn back_off(&mut self, now: Time, id: &UpstreamId, span: Duration) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.back_off_until = upstream.back_off_until.max(now.after(span));
        }
    }

    /// Records a failure: the upstream receives no requests for a time that doubles with each
    /// failure in a row.
    pub fn record_failure(&mut self, now: Time, id: &UpstreamId) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        upstream.cached_prefixes.clear();
        let ejection = FIRST_EJECTION.saturating_mul(1 << upstream.failure_count.min(6));
        upstream.failure_count += 1;
        upstream.ejected_until = Some(now.after(ejection.min(MAX_EJECTION)));
    }
}

/// Evicts the older half of the prefixes if `added` new ones would exceed [`MAX_PREFIXES`].
fn evict_oldest(prefixes: &mut HashMap<u64, Time>, added: usize) {
    if prefixes.len() + added <= MAX_PREFIXES {
        return;
    }
    let mut times: Vec<_> = prefixes.values().copied().collect();
    times.sort_unstable();
    let median = times.get(times.len() / 2).copied().unwrap_or_default();
    prefixes.retain(|_, at| *at > median);
}

/// Returns how many tokens the prefix at an index covers, with each byte counted as a token.
///
/// The prompt's own length is an upper bound that counts bytes in the same way.
fn covered_tokens(index: usize, chat: &Chat) -> f64 {
    let tokens = u64::try_from((index + 1) * PREFIX_STEP_BYTES).unwrap_or(u64::MAX);
    to_f64(tokens.min(chat.prompt_tokens.0))
}

/// Returns the digests of a prompt's prefixes, one every [`PREFIX_STEP_BYTES`] bytes, shortest first.
#[must_use]
pub fn prefix_digests(prompt: &[u8]) -> Vec<u64> {
    let mut digests = Vec::new();
    let mut digest = 0_u64;
    for step in prompt.chunks_exact(PREFIX_STEP_BYTES) {
        let mut bytes = digest.to_be_bytes().to_vec();
        bytes.extend_from_slice(step);
        digest = xxh3_64(&bytes);
        digests.push(digest);
    }
    digests
}

fn can_serve(upstream: &Upstream, criteria: &VmUpstreamCriteria<'_>) -> bool {
    let hardware = &criteria.template.hardware;
    if !hardware.is_empty() && !hardware.contains(&upstream.info.hardware) {
        return false;
    }
    let region = Some(&upstream.info.region);
    if !criteria.residency.allows(region) || !criteria.template.regions.allows(region) {
        return false;
    }
    match (&upstream.info.kind, criteria.work) {
        (UpstreamKind::Engine(engine), Work::Chat(chat)) => {
            let loaded = |a: &Adapter| engine.adapters.contains(a);
            engine.model == chat.model && chat.adapter.as_ref().is_none_or(loaded)
        }
        (UpstreamKind::Service(service), Work::Call(call)) => service == &call.service,
        (UpstreamKind::Engine(_), Work::Call(_)) | (UpstreamKind::Service(_), Work::Chat(_)) => {
            false
        }
    }
}

fn jitter_factor(seed: u64, id: &UpstreamId) -> f64 {
    let mut bytes = seed.to_be_bytes().to_vec();
    bytes.extend_from_slice(id.as_str().as_bytes());
    1.0 + to_f64(xxh3_64(&bytes) % JITTER_PERCENT) / 100.0
}

/// Converts a number for an estimate, where the lost digits do not matter.
#[expect(clippy::cast_precision_loss, reason = "estimates need no more than 52 bits")]
fn to_f64(number: u64) -> f64 {
    number as f64
}

fn to_duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::from_mins(1))
}
