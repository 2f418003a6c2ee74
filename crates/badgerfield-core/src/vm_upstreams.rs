//! Upstreams: what the process knows of the replicas behind it, and which one it picks.
//!
//! Knowledge is late: reports lag, the VM list lags, cache knowledge ages. The table
//! therefore adds the process's own unreported dispatches to the last report, counts
//! any sign of leaving as leaving, and trusts a remembered prefix less as it ages.

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

/// How many tokens one step of the prefix digests covers.
pub const PREFIX_STEP: usize = 256;
/// How many prefix digests are remembered for one upstream.
const MAX_PREFIXES: usize = 4096;
/// The age at which a remembered prefix counts half.
const PREFIX_HALF: Duration = Duration::from_mins(1);
/// How many upstreams every VM prefers for a prefix that it has not sent there itself.
const HOMES: usize = 2;
/// How much such an upstream is trusted to have it.
const HOME_TRUST: f64 = 0.5;
/// The longest time for which an upstream that failed gets nothing.
const MAX_BREAK: Duration = Duration::from_secs(20);
/// The time for which an upstream gets nothing after its first failure.
const FIRST_BREAK: Duration = Duration::from_millis(500);
/// The spread of the random factor that keeps several VMs from choosing alike, in hundredths.
const JITTER: u64 = 15;
/// The share of one new sample in the moving average of an upstream's slowness.
const SMOOTHING: f64 = 0.2;

/// What an upstream is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine.
    Engine(EngineInfo),
    /// A plain service.
    Service(Service),
}

/// What is known of a model engine from the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineInfo {
    /// The model that it serves.
    pub model: Model,
    /// The adapters that it has loaded.
    #[serde(default)]
    pub adapters: BTreeSet<Adapter>,
    /// The prompt tokens that it reads in a second.
    pub prefill: TokenRate,
    /// The output tokens that one stream gets in a second.
    pub decode: TokenRate,
}

/// One upstream as the VM list shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmUpstreamInfo {
    /// The name.
    pub id: UpstreamId,
    /// The address.
    pub address: SocketAddr,
    /// The region.
    pub region: Region,
    /// The hardware generation.
    pub hardware: Hardware,
    /// How many requests it runs at once.
    pub slots: u32,
    /// What it is.
    pub kind: UpstreamKind,
}

/// One line of the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The VM.
    pub vm: VmId,
    /// Whether the platform is about to take it away.
    #[serde(default)]
    pub leaving: bool,
    /// The upstream on it, if it is not one of the system's own VMs.
    #[serde(default)]
    pub upstream: Option<VmUpstreamInfo>,
}

/// The VM list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// The number of the list; it only grows.
    pub version: u64,
    /// The VMs.
    pub vms: Vec<VmEntry>,
}

/// What an upstream says about its load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Prompt tokens still to be read.
    pub prefill: Tokens,
    /// Whether the upstream is about to leave.
    #[serde(default)]
    pub leaving: bool,
}

/// What the table knows of one upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// What the VM list says.
    pub info: VmUpstreamInfo,
    /// Whether any sign says that it is leaving.
    pub leaving: bool,
    report: LoadReport,
    reported: Option<Time>,
    own: u32,
    unreported: u32,
    reading: Tokens,
    slowness: f64,
    failures: u32,
    closed: Option<Time>,
    /// Until when it wants nothing from this process.
    rests_until: Time,
    prefixes: HashMap<u64, Time>,
}

impl Upstream {
    fn new(info: VmUpstreamInfo, leaving: bool) -> Self {
        Self {
            info,
            leaving,
            report: LoadReport::default(),
            reported: None,
            own: 0,
            unreported: 0,
            reading: Tokens::ZERO,
            slowness: 1.0,
            failures: 0,
            closed: None,
            rests_until: Time::default(),
            prefixes: HashMap::new(),
        }
    }

    fn running(&self) -> u32 {
        let reported = self.report.running.saturating_add(self.report.queued);
        reported.saturating_add(self.unreported).max(self.own)
    }

    fn is_open(&self, now: Time) -> bool {
        let is_closed = self.closed.is_some_and(|until| now < until);
        !self.leaving && !is_closed && self.rests_until <= now
    }

    /// Returns the share of the prompt that the cache may hold, in tokens.
    fn cached(&self, now: Time, chat: &Chat, anchor: Option<&Anchor>) -> f64 {
        for (i, prefix) in chat.prefix_digests.iter().enumerate().rev() {
            let Some(at) = self.prefixes.get(prefix) else {
                continue;
            };
            let age = now.since(*at).as_secs_f64() / PREFIX_HALF.as_secs_f64();
            return covered(i, chat) * 0.5_f64.powf(age);
        }
        // Another VM with the same rule has probably sent the prefix there.
        let anchor = anchor.filter(|a| a.homes.contains(&self.info.id));
        anchor.map_or(0.0, |a| covered(a.depth, chat) * HOME_TRUST)
    }

    /// Estimates the time to the first token in seconds.
    fn estimate(&self, now: Time, work: &Work, anchor: Option<&Anchor>) -> f64 {
        let slots = f64::from(self.info.slots.max(1));
        let excess = (f64::from(self.running()) + 1.0 - slots).max(0.0);
        let UpstreamKind::Engine(engine) = &self.info.kind else {
            return (1.0 + f64::from(self.running())) / slots * self.slowness;
        };
        let Work::Chat(chat) = work else {
            return f64::MAX;
        };
        let prefill = real(engine.prefill.0.max(1));
        let fresh = (real(chat.prompt_tokens.0) - self.cached(now, chat, anchor)).max(0.0);
        let ahead = real(self.report.prefill.0.max(self.reading.0));
        let reading = (fresh + ahead) / prefill;
        // A stream ends, and frees its slot, after a few hundred tokens.
        let waiting = excess / slots * 200.0 / real(engine.decode.0.max(1));
        let batch = f64::from(self.running()) / slots / real(engine.decode.0.max(1));
        (reading + waiting + batch) * self.slowness
    }
}

/// The longest prefix of a prompt that was seen before, and where it should be cached.
#[derive(Debug)]
struct Anchor {
    depth: usize,
    homes: Vec<UpstreamId>,
}

/// What a request may run on.
#[derive(Debug, Clone, Copy)]
pub struct VmUpstreamCriteria<'a> {
    /// What is asked for.
    pub work: &'a Work,
    /// What the template allows.
    pub template: &'a AccountTemplate,
    /// The regions in which the request was let in to be served.
    pub residency: &'a Residency,
    /// The region of this process.
    pub region: &'a Region,
    /// Random bits that differ from process to process.
    pub seed: u64,
}

/// What came of looking for an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum VmUpstreamChoice {
    /// This one.
    Selected(UpstreamId),
    /// All are full; one is free in about this time.
    Full(Duration),
    /// None serves this.
    Unavailable,
}

/// All upstreams that the process knows.
#[derive(Debug, Default)]
pub struct VmUpstreams {
    table: BTreeMap<UpstreamId, Upstream>,
    /// Prefixes that were seen of late, on whatever upstream.
    seen: HashMap<u64, Time>,
    version: u64,
}

impl VmUpstreams {
    /// Takes in a VM list unless it is older than the last one.
    pub fn apply_list(&mut self, list: &VmList) -> bool {
        if list.version < self.version {
            return false;
        }
        self.version = list.version;
        let mut seen = BTreeSet::new();
        for vm in &list.vms {
            let Some(info) = &vm.upstream else {
                continue;
            };
            seen.insert(info.id.clone());
            let leaving = vm.leaving;
            let entry = self
                .table
                .entry(info.id.clone())
                .or_insert_with(|| Upstream::new(info.clone(), leaving));
            // A report of leaving outlasts a list that lags.
            entry.leaving |= leaving;
            if entry.info.address != info.address {
                *entry = Upstream::new(info.clone(), leaving);
            }
            entry.info = info.clone();
        }
        self.table.retain(|id, upstream| seen.contains(id) || upstream.own > 0);
        for (id, upstream) in &mut self.table {
            upstream.leaving |= !seen.contains(id);
        }
        true
    }

    /// Returns what is known of an upstream.
    #[must_use]
    pub fn get(&self, id: &UpstreamId) -> Option<&Upstream> {
        self.table.get(id)
    }

    /// Returns all upstreams in order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.table.values()
    }

    /// Takes in a report of load.
    pub fn apply_report(&mut self, now: Time, id: &UpstreamId, report: LoadReport) {
        let Some(upstream) = self.table.get_mut(id) else {
            return;
        };
        upstream.report = report;
        upstream.reported = Some(now);
        upstream.unreported = 0;
        upstream.leaving |= report.leaving;
    }

    /// Picks the upstream with the shortest estimated time to the first token.
    #[must_use]
    pub fn choose(&self, now: Time, wish: &VmUpstreamCriteria<'_>) -> VmUpstreamChoice {
        let anchor = self.anchor(wish);
        let mut best: Option<(f64, &UpstreamId)> = None;
        let mut full = None;
        for (id, upstream) in &self.table {
            if !serves(upstream, wish) || !upstream.is_open(now) {
                continue;
            }
            let mut cost = upstream.estimate(now, wish.work, anchor.as_ref());
            if upstream.running() >= upstream.info.slots {
                full = Some(full.map_or(cost, |least: f64| least.min(cost)));
                continue;
            }
            let far = &upstream.info.region != wish.region;
            cost *= if far { 1.5 } else { 1.0 };
            cost *= jitter(wish.seed, id);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, id));
            }
        }
        if let Some((_, id)) = best {
            return VmUpstreamChoice::Selected(id.clone());
        }
        full.map_or(VmUpstreamChoice::Unavailable, |cost| VmUpstreamChoice::Full(span(cost)))
    }

    /// Finds the longest prefix that was seen before, and the upstreams that rank first
    /// for it; every VM finds the same ones.
    fn anchor(&self, wish: &VmUpstreamCriteria<'_>) -> Option<Anchor> {
        let Work::Chat(chat) = wish.work else {
            return None;
        };
        let depth = chat.prefix_digests.iter().rposition(|p| self.seen.contains_key(p))?;
        let subject = chat.prefix_digests.get(depth)?;
        let fits = self.table.iter().filter(|(_, upstream)| serves(upstream, wish));
        let mut ranked: Vec<_> = fits.map(|(id, _)| id).collect();
        ranked.sort_by_cached_key(|id| xxh3_64_with_seed(id.as_str().as_bytes(), *subject));
        let homes = ranked.into_iter().take(HOMES).cloned().collect();
        Some(Anchor { depth, homes })
    }

    /// Remembers prefixes, and forgets old ones when there are too many.
    fn remember(&mut self, now: Time, chat: &Chat) {
        forget_old(&mut self.seen, chat.prefix_digests.len());
        for prefix in &chat.prefix_digests {
            self.seen.insert(*prefix, now);
        }
    }

    /// Notes a dispatch.
    pub fn record_dispatch(&mut self, now: Time, id: &UpstreamId, work: &Work) {
        let Some(upstream) = self.table.get_mut(id) else {
            return;
        };
        upstream.own += 1;
        upstream.unreported += 1;
        let Work::Chat(chat) = work else {
            return;
        };
        upstream.reading = upstream.reading.saturating_add(chat.prompt_tokens);
        forget_old(&mut upstream.prefixes, chat.prefix_digests.len());
        for prefix in &chat.prefix_digests {
            upstream.prefixes.insert(*prefix, now);
        }
        self.remember(now, chat);
    }

    /// Notes the first token of a dispatch that took a span.
    pub fn record_first_token(&mut self, id: &UpstreamId, work: &Work, took: Duration) {
        let Some(upstream) = self.table.get_mut(id) else {
            return;
        };
        upstream.failures = 0;
        upstream.closed = None;
        let (Work::Chat(chat), UpstreamKind::Engine(engine)) = (work, &upstream.info.kind) else {
            return;
        };
        upstream.reading = upstream.reading.saturating_sub(chat.prompt_tokens);
        let expected = real(chat.prompt_tokens.0) / real(engine.prefill.0.max(1)) + 0.02;
        let ratio = (took.as_secs_f64() / expected).clamp(0.5, 20.0);
        upstream.slowness = upstream.slowness * (1.0 - SMOOTHING) + ratio * SMOOTHING;
    }

    /// Notes the end of a dispatch.
    pub fn record_end(&mut self, id: &UpstreamId, work: &Work, started: bool) {
        let Some(upstream) = self.table.get_mut(id) else {
            return;
        };
        upstream.own = upstream.own.saturating_sub(1);
        upstream.report.running = upstream.report.running.saturating_sub(1);
        if let Work::Chat(chat) = work
            && !started
        {
            upstream.reading = upstream.reading.saturating_sub(chat.prompt_tokens);
        }
    }

    /// Takes in that an upstream wants nothing from this process for a span. A rest that it asked
    /// for before is not cut short.
    pub fn back_off(&mut self, now: Time, id: &UpstreamId, span: Duration) {
        if let Some(upstream) = self.table.get_mut(id) {
            upstream.rests_until = upstream.rests_until.max(now.after(span));
        }
    }

    /// Notes a failure: the upstream gets nothing for a while that doubles each time.
    pub fn record_failure(&mut self, now: Time, id: &UpstreamId) {
        let Some(upstream) = self.table.get_mut(id) else {
            return;
        };
        upstream.prefixes.clear();
        let span = FIRST_BREAK.saturating_mul(1 << upstream.failures.min(6));
        upstream.failures += 1;
        upstream.closed = Some(now.after(span.min(MAX_BREAK)));
    }
}

/// Makes room for more prefixes by forgetting the older half.
fn forget_old(prefixes: &mut HashMap<u64, Time>, more: usize) {
    if prefixes.len() + more <= MAX_PREFIXES {
        return;
    }
    let mut ages: Vec<_> = prefixes.values().copied().collect();
    ages.sort_unstable();
    let median = ages.get(ages.len() / 2).copied().unwrap_or_default();
    prefixes.retain(|_, at| *at > median);
}

/// Returns how many tokens the prefixes up to a place cover.
fn covered(place: usize, chat: &Chat) -> f64 {
    let tokens = u64::try_from((place + 1) * PREFIX_STEP).unwrap_or(u64::MAX);
    real(tokens.min(chat.prompt_tokens.0))
}

/// Digests the prefixes of a prompt, one every [`PREFIX_STEP`] bytes.
#[must_use]
pub fn prefix_digests(prompt: &[u8]) -> Vec<u64> {
    let mut digests = Vec::new();
    let mut last = 0_u64;
    for step in prompt.chunks_exact(PREFIX_STEP) {
        let mut bytes = last.to_be_bytes().to_vec();
        bytes.extend_from_slice(step);
        last = xxh3_64(&bytes);
        digests.push(last);
    }
    digests
}

fn serves(upstream: &Upstream, wish: &VmUpstreamCriteria<'_>) -> bool {
    let hardware = &wish.template.hardware;
    if !hardware.is_empty() && !hardware.contains(&upstream.info.hardware) {
        return false;
    }
    let region = Some(&upstream.info.region);
    if !wish.residency.allows(region) || !wish.template.regions.allows(region) {
        return false;
    }
    match (&upstream.info.kind, wish.work) {
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

fn jitter(seed: u64, id: &UpstreamId) -> f64 {
    let mut bytes = seed.to_be_bytes().to_vec();
    bytes.extend_from_slice(id.as_str().as_bytes());
    1.0 + real(xxh3_64(&bytes) % JITTER) / 100.0
}

/// Returns a number for estimates, where the last digits do not matter.
#[expect(clippy::cast_precision_loss, reason = "estimates need no more than 52 bits")]
fn real(number: u64) -> f64 {
    number as f64
}

fn span(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::from_mins(1))
}
