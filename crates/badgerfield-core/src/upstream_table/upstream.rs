//! One upstream of the table: its entry in the list, and what this process observed.

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{AttemptOutcome, PromptPart, UpstreamCriteria};
use crate::amount::Time;
use crate::answer_record::AnswerRecord;
use crate::brittle::{Places, RejectionTolerance};
use crate::ids::{Region, SoftwareVersion, VersionTag};
use crate::locality::{Distance, Location};
use crate::queueing_delay::QueueingDelay;
use crate::rate_limit;
use crate::request_mix::{DEFAULT_MS_PER_TOKEN, EngineDivision, PromptGroup, RequestMix, to_f64};
use crate::residency::RegionMap;
use crate::upstream_list::{ListedUpstream, UpstreamEntry, description_digest};
use crate::upstream_table::announcements::Announcements;
use crate::upstream_table::slow_start::SlowStart;
use crate::warm_up::{SENDER_DELAY, SenderShare, TokenBucket};

/// The expected delay from each running request at an engine, in milliseconds.
const RUNNING_REQUEST_COST_MS: f64 = 1.5;
/// The expected delay from each running request at a plain service, in milliseconds.
const RUNNING_CALL_COST_MS: f64 = 30.0;
/// How long an engine is expected to keep a prompt part in its cache after reading it.
const PART_RETENTION: Duration = Duration::from_secs(120);
/// The number of prompt parts recorded for an upstream beyond which older ones are dropped early.
const MAX_PARTS: usize = 4096;
/// The number of consecutive failed or rejected requests from which an upstream is avoided for a
/// while.
const MIN_FAILURES_TO_AVOID: u32 = 2;
/// How long an upstream is avoided after the first such failure; each further one adds as much.
const AVOID_SPAN: Duration = Duration::from_secs(2);
/// The maximum time for which an upstream is avoided after failures.
const MAX_AVOID_SPAN: Duration = Duration::from_secs(8);
/// The weight of one outcome in the average shares of failed and rejected requests.
const OUTCOME_WEIGHT: f64 = 0.15;
/// What a rejected request counts in the share of rejected ones. It counts less than a failed
/// request, since it was not lost and may still be served elsewhere.
const REJECTED_OUTCOME: f64 = 0.5;
/// The expected delay at a share of failures of one, in milliseconds.
const FAILURE_COST_MS: f64 = 2000.0;
/// The half-life of the share of rejected requests. The share decays because an upstream that is
/// avoided yields no new outcomes; overloads last 3 to 9 s in the deployments this is built for.
const REJECTED_HALF_LIFE: Duration = Duration::from_secs(3);
/// The half-life of the share of failed requests. It is longer, since a fault that fails some of
/// the requests is seldom repaired soon, and each request that probes for this may be lost.
const FAILED_HALF_LIFE: Duration = Duration::from_secs(15);
/// How long an upstream remains usable after its entry vanished together with those of all other
/// upstreams of its service.
const LAPSE_GRACE: Duration = Duration::from_millis(1300);

/// One upstream, with the observations of this process.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) info: ListedUpstream,
    /// The revision of the list at which its entry was last written or removed.
    pub(super) revision: u64,
    /// The revision at which its entry last changed. Upstreams rewrite their entries every second,
    /// and entries that are rewritten without a change are not sent to other processes.
    pub(super) changed_revision: u64,
    /// The digest of its entry. Lists are compared with each update: recomputing the digests of
    /// 3,000 upstreams each time took a tenth of a small VM's processor.
    pub(super) digest: u64,
    /// Identifies its process in messages: an upstream that restarts has another value.
    pub(super) process: u32,
    /// The version of its software.
    pub(super) version_tag: VersionTag,
    pub(super) seed: u64,
    /// Its position among the upstreams of its service, from 0 to 1.
    pub(super) position: f64,
    pub(super) running: u32,
    /// When a request was last sent to it.
    pub(super) last_sent_at: Option<Time>,
    /// When its entry was found to be gone, if it has not reappeared since.
    pub(super) removed_at: Option<Time>,
    /// Whether all entries of its service vanished at once, as when the platform lets leases lapse;
    /// upstreams that leave do so one by one.
    pub(super) leases_lapsed: bool,
    /// The shares of failed and of rejected requests, as of `outcome_at`.
    failed_share: f64,
    rejected_share: f64,
    /// When an outcome was last recorded.
    outcome_at: Time,
    pub(super) consecutive_failures: u32,
    pub(super) avoid_until: Time,
    /// How the answers of its process have ended lately.
    pub(super) answers: AnswerRecord,
    pub(super) parts: HashMap<u64, Time>,
    /// The queueing delay at the upstream.
    pub(super) queueing_delay: QueueingDelay,
    /// Whether operators have evacuated its failure domain.
    pub(super) evacuated: bool,
    /// Its region, if known.
    pub(super) region: Option<Region>,
    /// Its distance from this process.
    pub(super) distance: Distance,
    /// How long it is cold and what it may get meanwhile.
    cold: Option<ColdState>,
    /// What its process has announced in its answers.
    pub(super) announced: Announcements,
    /// The places of this process there, if its service is brittle.
    pub(super) places: Option<Places>,
}

/// The state of an upstream that is not warm yet.
#[derive(Debug, Clone, Copy)]
struct ColdState {
    until: Time,
    /// The revision at which the upstream was recorded as cold; only an entry that is written later
    /// can mark it as warm.
    since_revision: u64,
    /// The requests that this process may send, if it is a sender.
    bucket: Option<TokenBucket>,
}

/// The parameters from which the costs of upstreams are computed for one request.
#[derive(Debug, Clone, Copy)]
pub(super) struct CostParams {
    /// The time to read a prompt token, in milliseconds.
    ms_per_token: f64,
    /// How the engines are divided, and the group of the request.
    pub(super) division: Option<(EngineDivision, PromptGroup)>,
    /// The cost of sending the request to an engine of the other group, in milliseconds. Either the
    /// request waits until a long prompt is read, or a request with a short prompt waits for this
    /// one, so the cost is the time to read a long prompt.
    other_group_ms: f64,
}

impl CostParams {
    pub(super) fn new(mix: Option<&RequestMix>, criteria: &UpstreamCriteria<'_>) -> Self {
        let prompt = to_f64(criteria.parts.iter().map(|part| part.tokens).sum());
        let ms_per_token = mix.map_or(DEFAULT_MS_PER_TOKEN, RequestMix::ms_per_token);
        let division = mix.and_then(RequestMix::division).map(|division| {
            let typical_tokens =
                mix.and_then(|mix| mix.mean_prompt_tokens(criteria.route)).unwrap_or(prompt);
            (division, division.group(typical_tokens))
        });
        let other_group_ms =
            division.map_or(0.0, |(division, _)| division.long_threshold * ms_per_token);
        Self { ms_per_token, division, other_group_ms }
    }

    /// Returns how long an engine takes to read parts of a prompt, in milliseconds.
    pub(super) fn read_ms(&self, parts: &[PromptPart]) -> f64 {
        to_f64(parts.iter().map(|part| part.tokens).sum()) * self.ms_per_token
    }

    pub(super) fn is_in_group(&self, upstream: &Upstream) -> bool {
        self.division.is_none_or(|(division, group)| division.has_engine(group, upstream.position))
    }
}

impl Upstream {
    pub(super) fn new(info: ListedUpstream, revision: u64) -> Self {
        let seed = xxh3_64_with_seed(info.id.as_str().as_bytes(), 0);
        let (digest, process) = (description_digest(&info), process_id(&info));
        let version_tag = VersionTag::new(&info.service, info.version.as_ref());
        Self {
            info,
            revision,
            changed_revision: revision,
            digest,
            process,
            version_tag,
            seed,
            position: 0.0,
            running: 0,
            last_sent_at: None,
            removed_at: None,
            leases_lapsed: false,
            failed_share: 0.0,
            rejected_share: 0.0,
            outcome_at: Time::default(),
            consecutive_failures: 0,
            avoid_until: Time::default(),
            answers: AnswerRecord::default(),
            parts: HashMap::new(),
            queueing_delay: QueueingDelay::default(),
            evacuated: false,
            region: None,
            distance: Distance::default(),
            cold: None,
            announced: Announcements::default(),
            places: None,
        }
    }

    /// Returns whether an entry belongs to another process than the recorded one, under the same
    /// id.
    pub(super) fn is_other_process(&self, info: &ListedUpstream) -> bool {
        let is_restarted = self
            .info
            .started_at
            .zip(info.started_at)
            .is_some_and(|(known, listed)| known != listed);
        is_restarted || self.info.address != info.address || self.info.version != info.version
    }

    /// Resets the observations of the previous process: a new process has cached no prompts, has no
    /// backlog and may work where the previous one failed.
    pub(super) fn reset_process(&mut self) {
        self.forget_failures();
        self.parts.clear();
        self.cold = None;
        self.announced = Announcements::default();
    }

    /// Drops what was learned from failed and delayed requests.
    pub(super) fn forget_failures(&mut self) {
        self.failed_share = 0.0;
        self.rejected_share = 0.0;
        self.consecutive_failures = 0;
        self.avoid_until = Time::default();
        self.answers = AnswerRecord::default();
        self.queueing_delay = QueueingDelay::default();
    }

    /// Returns its list entry, for other processes.
    pub(super) fn entry(&self, now: Time) -> UpstreamEntry {
        UpstreamEntry {
            revision: self.revision,
            info: self.info.clone(),
            warm_in: self.time_until_warm(now),
        }
    }

    /// Updates its region and its distance from this process.
    pub(super) fn update_location(&mut self, own: &Location, regions: &RegionMap) {
        self.region = regions.region(&self.info.domain).cloned();
        self.distance = own.distance(&self.info.domain, regions);
    }

    /// Returns the number that identifies the upstream in messages.
    pub(super) fn short_id(&self) -> u32 {
        let [a, b, c, d, ..] = self.seed.to_be_bytes();
        u32::from_be_bytes([a, b, c, d])
    }

    /// Replaces its list entry.
    pub(super) fn set_info(&mut self, info: ListedUpstream) {
        self.digest = description_digest(&info);
        self.process = process_id(&info);
        self.version_tag = VersionTag::new(&info.service, info.version.as_ref());
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

    /// Applies the remaining cold time from a list entry; returns whether the upstream turned cold
    /// or warm.
    pub(super) fn apply_warm_in(
        &mut self,
        now: Time,
        slow_start: &SlowStart,
        revision: u64,
        warm_in: Duration,
    ) -> bool {
        let was_cold = self.is_cold(now);
        if !warm_in.is_zero() {
            self.mark_cold(now, slow_start, revision, now.after(warm_in));
            return !was_cold;
        }
        if !was_cold || self.cold.is_some_and(|cold| cold.since_revision >= revision) {
            return false;
        }
        self.cold = None;
        true
    }

    /// Marks it as cold until a time, as of a revision of the store.
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
            None => slow_start.is_sender(self.seed).then(|| TokenBucket::new(now)),
        };
        self.cold = Some(ColdState { until, since_revision: revision, bucket });
    }

    /// Applies the senders of a new view. A process that becomes a sender first waits for
    /// [`SENDER_DELAY`], so that the others receive the view before it sends.
    pub(super) fn apply_senders(&mut self, now: Time, slow_start: &SlowStart) {
        let from = now.after(SENDER_DELAY);
        let seed = self.seed;
        self.announced.limit.set_rank(from, || rate_limit::sender_rank(slow_start.senders(), seed));
        if let Some(places) = &mut self.places {
            let rank = slow_start.senders().rank_near(seed, self.region.as_ref());
            places.set_rank(self.info.slots, rank);
        }
        let Some(cold) = &mut self.cold else {
            return;
        };
        let is_sender = slow_start.is_sender(self.seed);
        cold.bucket = is_sender.then(|| cold.bucket.unwrap_or_else(|| TokenBucket::new(from)));
    }

    /// Returns whether the warm-up of the upstream allows another request; `share` is the share of
    /// each sender while the upstream is cold.
    pub(super) fn has_cold_capacity(&self, now: Time, share: Option<SenderShare>) -> bool {
        let Some(cold) = self.cold.filter(|cold| cold.until > now) else {
            return true;
        };
        let bucket = cold.bucket.zip(share);
        bucket.is_some_and(|(bucket, share)| bucket.can_send(now, share))
    }

    /// Returns whether this process has a free place there, if its service is brittle.
    pub(super) fn has_place(&self, now: Time) -> bool {
        self.places.as_ref().is_none_or(|places| places.has_free(now, self.running))
    }

    /// Records what the outcome of a request says about the places there.
    pub(super) fn record_place_outcome(
        &mut self,
        now: Time,
        outcome: AttemptOutcome,
        tolerance: RejectionTolerance,
    ) {
        let running = self.running;
        let Some(places) = &mut self.places else {
            return;
        };
        match outcome {
            AttemptOutcome::Answered => places.record_answered(now),
            AttemptOutcome::Full => places.record_rejected(now, running, tolerance),
            AttemptOutcome::Failed | AttemptOutcome::Unknown => places.record_abandoned(now),
        }
    }

    /// Records that a request is sent to the upstream.
    pub(super) fn start_request(
        &mut self,
        now: Time,
        share: Option<SenderShare>,
        parts: &[PromptPart],
    ) {
        self.running += 1;
        self.last_sent_at = Some(now);
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
        is_preferred: bool,
    ) -> f64 {
        let jitter =
            f64::from(u32::try_from((self.seed ^ criteria.random) % 1000).unwrap_or(0)) / 1e3;
        let (failed, rejected) = self.failure_shares(now);
        let failure_cost = (failed + rejected) * FAILURE_COST_MS;
        let running = f64::from(self.running);
        if criteria.parts.is_empty() {
            return running * RUNNING_CALL_COST_MS + failure_cost + jitter;
        }
        let read =
            to_f64(self.uncached_tokens(now, criteria.parts, is_preferred)) * params.ms_per_token;
        let group_cost = if params.is_in_group(self) { 0.0 } else { params.other_group_ms };
        read + group_cost + running * RUNNING_REQUEST_COST_MS + failure_cost + jitter
    }

    /// Returns how many tokens of a prompt's shared parts the upstream is expected to read.
    pub(super) fn uncached_tokens(
        &self,
        now: Time,
        parts: &[PromptPart],
        is_preferred: bool,
    ) -> u64 {
        let mut uncached = 0;
        let mut known = true;
        for part in shared_parts(parts) {
            let is_cached =
                self.parts.get(&part.id).is_some_and(|at| now.since(*at) < PART_RETENTION);
            // All VMs send a prefix to its preferred upstream, so it is assumed to have cached
            // parts that other VMs sent.
            known &= is_cached || is_preferred;
            if !known {
                uncached += part.tokens;
            }
        }
        uncached
    }

    /// Returns the shares of failed and of rejected requests, decayed to the present.
    fn failure_shares(&self, now: Time) -> (f64, f64) {
        let age = now.since(self.outcome_at).as_secs_f64();
        let decay = |half_life: Duration| (-age / half_life.as_secs_f64()).exp2();
        (
            self.failed_share * decay(FAILED_HALF_LIFE),
            self.rejected_share * decay(REJECTED_HALF_LIFE),
        )
    }

    pub(super) fn record_outcome(&mut self, now: Time, outcome: AttemptOutcome) {
        let (failed, rejected) = match outcome {
            AttemptOutcome::Answered => (0.0, 0.0),
            AttemptOutcome::Failed => (1.0, 0.0),
            AttemptOutcome::Full => (0.0, REJECTED_OUTCOME),
            AttemptOutcome::Unknown => return,
        };
        let known = self.failure_shares(now);
        self.failed_share = known.0 + (failed - known.0) * OUTCOME_WEIGHT;
        self.rejected_share = known.1 + (rejected - known.1) * OUTCOME_WEIGHT;
        self.outcome_at = now;
        if outcome == AttemptOutcome::Answered {
            self.consecutive_failures = 0;
            return;
        }
        self.consecutive_failures += 1;
        if self.consecutive_failures >= MIN_FAILURES_TO_AVOID {
            let span = AVOID_SPAN
                .saturating_mul(self.consecutive_failures - MIN_FAILURES_TO_AVOID + 1)
                .min(MAX_AVOID_SPAN);
            self.avoid_until = now.after(span);
        }
    }
}

/// Returns the number that identifies the process of an entry.
fn process_id(info: &ListedUpstream) -> u32 {
    let version = info.version.as_ref().map_or("", SoftwareVersion::as_str);
    let text = format!("{} {} {version}", info.address, info.started_at.unwrap_or_default());
    let [a, b, c, d, ..] = xxh3_64(text.as_bytes()).to_be_bytes();
    u32::from_be_bytes([a, b, c, d])
}

/// Returns the parts that other requests may share: all but the last.
pub(crate) fn shared_parts(parts: &[PromptPart]) -> &[PromptPart] {
    parts.split_last().map_or(&[], |(_, rest)| rest)
}
