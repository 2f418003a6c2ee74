//! One upstream of the table: what the list says of it, and what this VM saw of it.

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{AttemptOutcome, PromptPart, UpstreamCriteria};
use crate::amount::Time;
use crate::ids::Region;
use crate::locality::{Distance, Location};
use crate::queueing_delay::Lag;
use crate::rate_limit;
use crate::request_mix::{EngineDivision, PromptGroup, READ_MS_PRIOR, RequestMix, float};
use crate::residency::RegionMap;
use crate::upstream_list::{ListedUpstream, UpstreamEntry, digest_of};
use crate::upstream_table::announcements::Announcements;
use crate::upstream_table::slow_start::SlowStart;
use crate::warm_up::{Bucket, HOLD_OFF, SenderShare};

/// The expected delay by each request under way at an engine, in milliseconds.
const RUNNING_REQUEST_COST_MS: f64 = 1.5;
/// The expected delay by each call under way at a plain service, in milliseconds.
const RUNNING_CALL_COST_MS: f64 = 30.0;
/// How long a read prompt part is taken to stay in an engine's memory.
const PART_RETENTION: Duration = Duration::from_secs(120);
/// How many prompt parts are remembered for each upstream.
const MAX_PARTS: usize = 4096;
/// After how many failures in a row an upstream rests.
const FAILURES_BEFORE_BACK_OFF: u32 = 2;
/// How long an upstream rests after failures.
const FAILURE_BACK_OFF: Duration = Duration::from_secs(2);
/// The longest that an upstream rests.
const MAX_FAILURE_BACK_OFF: Duration = Duration::from_secs(8);
/// The weight of one outcome in the failing share of an upstream.
const OUTCOME_WEIGHT: f64 = 0.15;
/// What a request that was turned away counts in the share of these: it was not lost, and may
/// still be served elsewhere.
const REJECTED_OUTCOME: f64 = 0.5;
/// The expected delay by a failing share of one, in milliseconds.
const FAILURE_COST_MS: f64 = 2000.0;
/// After how long the share of requests that were turned away as too many counts half. An
/// upstream that is avoided shows nothing new; crowds on the users' sheets last 3 to 9 s.
const REJECTED_HALF_LIFE: Duration = Duration::from_secs(3);
/// After how long the share of requests that failed counts half: what fails a part of its
/// requests is seldom mended soon, and each that is sent to find out may be lost.
const FAILED_HALF_LIFE: Duration = Duration::from_secs(15);
/// How long an upstream may still be used whose entry vanished together with those of all
/// others of its service.
const LAPSE_GRACE: Duration = Duration::from_millis(1300);

/// One upstream, with what this VM saw of it.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) info: ListedUpstream,
    /// The revision of the list at which it was written or went last.
    pub(super) revision: u64,
    /// The revision up to which all that it says was known. Upstreams write their entries anew
    /// every second, and what says nothing new is not told to others.
    pub(super) changed_revision: u64,
    /// Stands for what the list says of it. Lists are compared with each piece of news: to
    /// reckon it anew for 3,000 upstreams each time took a tenth of a small VM's processor.
    pub(super) digest: u64,
    /// Stands for its process in messages: one that starts again has another.
    pub(super) process: u32,
    pub(super) seed: u64,
    /// Where it stands among the upstreams of its service, from 0 to 1.
    pub(super) position: f64,
    pub(super) running: u32,
    /// When its entry was found gone, if it has not come back since.
    pub(super) removed_at: Option<Time>,
    /// Whether all entries of its service vanished at once, as they do when the platform
    /// lets leases lapse; upstreams that leave do so one after the other.
    pub(super) leases_lapsed: bool,
    /// The share of requests that failed there, and of those that it turned away.
    failed_share: f64,
    rejected_share: f64,
    /// When it was seen last how a request ended there.
    outcome_at: Time,
    pub(super) consecutive_failures: u32,
    pub(super) avoid_until: Time,
    pub(super) parts: HashMap<u64, Time>,
    /// How long requests wait there beyond what their prompts take to read.
    pub(super) queueing_delay: Lag,
    /// Whether operators have evacuated its failure domain.
    pub(super) evacuated: bool,
    /// Its region, if it is known.
    pub(super) region: Option<Region>,
    /// How far it is from this process.
    pub(super) distance: Distance,
    /// Until when and how it is spared, while it is cold.
    cold: Option<ColdState>,
    /// What its process has said of itself in its answers.
    pub(super) announced: Announcements,
}

/// How an upstream is spared that is not warm yet.
#[derive(Debug, Clone, Copy)]
struct ColdState {
    until: Time,
    /// The platform's revision at which it was said to be cold; only what was written later
    /// may say that it is warm.
    since_revision: u64,
    /// What this process may send, if it is among the senders.
    bucket: Option<Bucket>,
}

/// What the costs of upstreams are reckoned with, for one request.
#[derive(Debug, Clone, Copy)]
pub(super) struct CostParams {
    /// The time to read a prompt token, in milliseconds.
    read_ms: f64,
    /// How the engines are divided, and the group of the request.
    pub(super) division: Option<(EngineDivision, PromptGroup)>,
    /// What it costs to send the request among those of the other group, in milliseconds:
    /// as much as a long prompt takes to read, since one of the two waits for that.
    other_group_ms: f64,
}

impl CostParams {
    pub(super) fn new(mix: Option<&RequestMix>, criteria: &UpstreamCriteria<'_>) -> Self {
        let prompt = float(criteria.parts.iter().map(|part| part.tokens).sum());
        let read_ms = mix.map_or(READ_MS_PRIOR, RequestMix::ms_per_token);
        let division = mix.and_then(RequestMix::division).map(|division| {
            let usual = mix.and_then(|mix| mix.prompt(criteria.route)).unwrap_or(prompt);
            (division, division.group(usual))
        });
        let other_group_ms =
            division.map_or(0.0, |(division, _)| division.long_threshold * read_ms);
        Self { read_ms, division, other_group_ms }
    }

    /// Returns how long an engine reads parts of a prompt, in milliseconds.
    pub(super) fn read_ms(&self, parts: &[PromptPart]) -> f64 {
        float(parts.iter().map(|part| part.tokens).sum()) * self.read_ms
    }

    pub(super) fn is_in_group(&self, upstream: &Upstream) -> bool {
        self.division.is_none_or(|(division, group)| division.takes(group, upstream.position))
    }
}

impl Upstream {
    pub(super) fn new(info: ListedUpstream, revision: u64) -> Self {
        let seed = xxh3_64_with_seed(info.id.as_str().as_bytes(), 0);
        let (digest, process) = (digest_of(&info), process_id(&info));
        Self {
            info,
            revision,
            changed_revision: revision,
            digest,
            process,
            seed,
            position: 0.0,
            running: 0,
            removed_at: None,
            leases_lapsed: false,
            failed_share: 0.0,
            rejected_share: 0.0,
            outcome_at: Time::default(),
            consecutive_failures: 0,
            avoid_until: Time::default(),
            parts: HashMap::new(),
            queueing_delay: Lag::default(),
            evacuated: false,
            region: None,
            distance: Distance::default(),
            cold: None,
            announced: Announcements::default(),
        }
    }

    /// Tells whether an entry speaks of another process than the one that is known here, under the
    /// same id.
    pub(super) fn is_other_process(&self, info: &ListedUpstream) -> bool {
        let is_later =
            self.info.started_at.zip(info.started_at).is_some_and(|(known, told)| known != told);
        is_later || self.info.address != info.address
    }

    /// Forgets what was seen of an earlier process under its id: a new one has read no prompts,
    /// owes no answers and may be well where the earlier one failed.
    pub(super) fn reset_process(&mut self) {
        self.failed_share = 0.0;
        self.rejected_share = 0.0;
        self.consecutive_failures = 0;
        self.avoid_until = Time::default();
        self.parts.clear();
        self.queueing_delay = Lag::default();
        self.cold = None;
        self.announced = Announcements::default();
    }

    /// Returns what the platform's list says of it, for other processes.
    pub(super) fn entry(&self, now: Time) -> UpstreamEntry {
        UpstreamEntry {
            revision: self.revision,
            info: self.info.clone(),
            warm_in: self.time_until_warm(now),
        }
    }

    /// Takes in where it and this process stand.
    pub(super) fn update_location(&mut self, own: &Location, regions: &RegionMap) {
        self.region = regions.region(&self.info.domain).cloned();
        self.distance = own.distance(&self.info.domain, regions);
    }

    /// Returns the number that stands for the upstream in messages.
    pub(super) fn short_id(&self) -> u32 {
        let [a, b, c, d, ..] = self.seed.to_be_bytes();
        u32::from_be_bytes([a, b, c, d])
    }

    /// Takes in what an entry says of it.
    pub(super) fn set_info(&mut self, info: ListedUpstream) {
        self.digest = digest_of(&info);
        self.process = process_id(&info);
        self.info = info;
    }

    pub(super) fn is_usable(&self, now: Time) -> bool {
        if self.info.leaving || self.announced.is_leaving || self.evacuated {
            return false;
        }
        match self.removed_at {
            None => true,
            Some(at) => self.leases_lapsed && now.since(at) < LAPSE_GRACE,
        }
    }

    /// Returns how much longer it is cold; zero if it is warm.
    pub(super) fn time_until_warm(&self, now: Time) -> Duration {
        self.cold.map_or(Duration::ZERO, |cold| cold.until.since(now))
    }

    pub(super) fn is_cold(&self, now: Time) -> bool {
        !self.time_until_warm(now).is_zero()
    }

    /// Takes in what an entry of the list says about how long it stays cold; returns whether
    /// it has turned cold or warm.
    pub(super) fn apply_warm_in(
        &mut self,
        now: Time,
        slow_start: &SlowStart,
        revision: u64,
        warm_in: Duration,
    ) -> bool {
        let was = self.is_cold(now);
        if !warm_in.is_zero() {
            self.mark_cold(now, slow_start, revision, now.after(warm_in));
            return !was;
        }
        if !was || self.cold.is_some_and(|cold| cold.since_revision >= revision) {
            return false;
        }
        self.cold = None;
        true
    }

    /// Counts it as cold until a time, which the platform said at a revision.
    pub(super) fn mark_cold(
        &mut self,
        now: Time,
        slow_start: &SlowStart,
        revision: u64,
        until: Time,
    ) {
        let known = self.cold.filter(|cold| cold.until > now);
        let bucket = match known {
            Some(cold) => cold.bucket,
            None => slow_start.is_sender(self.seed).then(|| Bucket::new(now)),
        };
        self.cold = Some(ColdState { until, since_revision: revision, bucket });
    }

    /// Lets it be sent to by the senders of another view; one that has become a sender waits until
    /// the others have learned of it.
    pub(super) fn apply_senders(&mut self, now: Time, slow_start: &SlowStart) {
        let from = now.after(HOLD_OFF);
        let seed = self.seed;
        self.announced.limit.set_rank(from, || rate_limit::sender_rank(slow_start.senders(), seed));
        let Some(cold) = &mut self.cold else {
            return;
        };
        let is_sender = slow_start.is_sender(self.seed);
        cold.bucket = is_sender.then(|| cold.bucket.unwrap_or_else(|| Bucket::new(from)));
    }

    /// Tells whether a request may be sent there as far as its start allows; `share` is what
    /// each sender may send while it is cold.
    pub(super) fn has_cold_capacity(&self, now: Time, share: Option<SenderShare>) -> bool {
        let Some(cold) = self.cold.filter(|cold| cold.until > now) else {
            return true;
        };
        let bucket = cold.bucket.zip(share);
        bucket.is_some_and(|(bucket, share)| bucket.may_send(now, share))
    }

    /// Notes that a request goes there.
    pub(super) fn start_request(
        &mut self,
        now: Time,
        share: Option<SenderShare>,
        parts: &[PromptPart],
    ) {
        self.running += 1;
        self.announced.limit.record_sent(now);
        let bucket = self.cold.as_mut().and_then(|cold| cold.bucket.as_mut());
        if let Some((bucket, share)) = bucket.zip(share) {
            bucket.take(now, share);
        }
        if self.parts.len() > MAX_PARTS {
            self.parts.retain(|_, at| now.since(*at) < PART_RETENTION / 4);
        }
        for part in shared_parts(parts) {
            self.parts.insert(part.id, now);
        }
    }

    /// Estimates the delay to the first part of an answer, in milliseconds.
    pub(super) fn cost(
        &self,
        now: Time,
        criteria: &UpstreamCriteria<'_>,
        params: &CostParams,
        is_home: bool,
    ) -> f64 {
        let jitter =
            f64::from(u32::try_from((self.seed ^ criteria.random) % 1000).unwrap_or(0)) / 1e3;
        let (failed, full) = self.failure_shares(now);
        let failing = (failed + full) * FAILURE_COST_MS;
        let running = f64::from(self.running);
        if criteria.parts.is_empty() {
            return running * RUNNING_CALL_COST_MS + failing + jitter;
        }
        let read = float(self.uncached_tokens(now, criteria.parts, is_home)) * params.read_ms;
        let apart = if params.is_in_group(self) { 0.0 } else { params.other_group_ms };
        read + apart + running * RUNNING_REQUEST_COST_MS + failing + jitter
    }

    /// Returns how many tokens of a prompt's shared parts it is expected to read.
    pub(super) fn uncached_tokens(&self, now: Time, parts: &[PromptPart], is_home: bool) -> u64 {
        let mut uncached = 0;
        let mut known = true;
        for part in shared_parts(parts) {
            let fresh = self.parts.get(&part.id).is_some_and(|at| now.since(*at) < PART_RETENTION);
            // All VMs send a chain home, so what another VM sent there is known too.
            known &= fresh || is_home;
            if !known {
                uncached += part.tokens;
            }
        }
        uncached
    }

    /// Returns the shares of requests that failed and that were turned away, as far as they
    /// still count.
    fn failure_shares(&self, now: Time) -> (f64, f64) {
        let age = now.since(self.outcome_at).as_secs_f64();
        let left = |half: Duration| (-age / half.as_secs_f64()).exp2();
        (self.failed_share * left(FAILED_HALF_LIFE), self.rejected_share * left(REJECTED_HALF_LIFE))
    }

    pub(super) fn record_outcome(&mut self, now: Time, outcome: AttemptOutcome) {
        let (failed, full) = match outcome {
            AttemptOutcome::Answered => (0.0, 0.0),
            AttemptOutcome::Failed => (1.0, 0.0),
            AttemptOutcome::Full => (0.0, REJECTED_OUTCOME),
            AttemptOutcome::Unknown => return,
        };
        let known = self.failure_shares(now);
        self.failed_share = known.0 + (failed - known.0) * OUTCOME_WEIGHT;
        self.rejected_share = known.1 + (full - known.1) * OUTCOME_WEIGHT;
        self.outcome_at = now;
        if outcome == AttemptOutcome::Answered {
            self.consecutive_failures = 0;
            return;
        }
        self.consecutive_failures += 1;
        if self.consecutive_failures >= FAILURES_BEFORE_BACK_OFF {
            let rest = FAILURE_BACK_OFF
                .saturating_mul(self.consecutive_failures - FAILURES_BEFORE_BACK_OFF + 1)
                .min(MAX_FAILURE_BACK_OFF);
            self.avoid_until = now.after(rest);
        }
    }
}

/// Returns the number that stands for the process that an entry names.
fn process_id(info: &ListedUpstream) -> u32 {
    let text = format!("{} {}", info.address, info.started_at.unwrap_or_default());
    let [a, b, c, d, ..] = xxh3_64(text.as_bytes()).to_be_bytes();
    u32::from_be_bytes([a, b, c, d])
}

/// Returns the parts that other requests may share: all but the last.
pub(super) fn shared_parts(parts: &[PromptPart]) -> &[PromptPart] {
    parts.split_last().map_or(&[], |(_, rest)| rest)
}
