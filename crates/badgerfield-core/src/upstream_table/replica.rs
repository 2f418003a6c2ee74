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
use crate::upstream_table::starts::Starts;
use crate::upstream_table::statements::Statements;
use crate::warm_up::{Bucket, HOLD_OFF, SenderShare};

/// The expected delay by each request under way at an engine, in milliseconds.
const RUNNING_MS: f64 = 1.5;
/// The expected delay by each call under way at a plain service, in milliseconds.
const CALL_MS: f64 = 30.0;
/// How long a read prompt part is taken to stay in an engine's memory.
const KEEP_PART: Duration = Duration::from_secs(120);
/// How many prompt parts are remembered for each upstream.
const MAX_PARTS: usize = 4096;
/// After how many failures in a row an upstream rests.
const FAILURES: u32 = 2;
/// How long an upstream rests after failures.
const REST: Duration = Duration::from_secs(2);
/// The longest that an upstream rests.
const MAX_REST: Duration = Duration::from_secs(8);
/// The weight of one outcome in the failing share of an upstream.
const OUTCOME_WEIGHT: f64 = 0.15;
/// What a request that was turned away counts in the share of these: it was not lost, and may
/// still be served elsewhere.
const FULL_OUTCOME: f64 = 0.5;
/// The expected delay by a failing share of one, in milliseconds.
const FAILING_MS: f64 = 2000.0;
/// After how long the share of requests that were turned away as too many counts half. An
/// upstream that is avoided shows nothing new; crowds on the users' sheets last 3 to 9 s.
const FULL_HALF: Duration = Duration::from_secs(3);
/// After how long the share of requests that failed counts half: what fails a part of its
/// requests is seldom mended soon, and each that is sent to find out may be lost.
const FAILING_HALF: Duration = Duration::from_secs(15);
/// How long an upstream may still be used whose entry vanished together with those of all
/// others of its service.
const LAPSE_GRACE: Duration = Duration::from_millis(1300);

/// One upstream, with what this VM saw of it.
#[derive(Debug)]
pub(super) struct Replica {
    pub(super) info: ListedUpstream,
    /// The revision of the list at which it was written or went last.
    pub(super) revision: u64,
    /// The revision up to which all that it says was known. Upstreams write their entries anew
    /// every second, and what says nothing new is not told to others.
    pub(super) changed: u64,
    /// Stands for what the list says of it. Lists are compared with each piece of news: to
    /// reckon it anew for 3,000 upstreams each time took a tenth of a small VM's processor.
    pub(super) digest: u64,
    /// Stands for its process in messages: one that starts again has another.
    pub(super) process: u32,
    pub(super) seed: u64,
    /// Where it stands among the upstreams of its service, from 0 to 1.
    pub(super) place: f64,
    pub(super) running: u32,
    /// When its entry was found gone, if it has not come back since.
    pub(super) vanished: Option<Time>,
    /// Whether all entries of its service vanished at once, as they do when the platform
    /// lets leases lapse; upstreams that leave do so one after the other.
    pub(super) lapsed: bool,
    /// The share of requests that failed there, and of those that it turned away.
    failing: f64,
    full: f64,
    /// When it was seen last how a request ended there.
    noted: Time,
    pub(super) failures: u32,
    pub(super) rests_until: Time,
    pub(super) parts: HashMap<u64, Time>,
    /// How long requests wait there beyond what their prompts take to read.
    pub(super) lag: Lag,
    /// Whether operators have evacuated its failure domain.
    pub(super) evacuated: bool,
    /// Its region, if it is known.
    pub(super) region: Option<Region>,
    /// How far it is from this process.
    pub(super) distance: Distance,
    /// Until when and how it is spared, while it is cold.
    cold: Option<Cold>,
    /// What its process has said of itself in its answers.
    pub(super) said: Statements,
}

/// How an upstream is spared that is not warm yet.
#[derive(Debug, Clone, Copy)]
struct Cold {
    until: Time,
    /// The platform's revision at which it was said to be cold; only what was written later
    /// may say that it is warm.
    since: u64,
    /// What this process may send, if it is among the senders.
    bucket: Option<Bucket>,
}

/// What the costs of upstreams are reckoned with, for one request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Weights {
    /// The time to read a prompt token, in milliseconds.
    read_ms: f64,
    /// How the engines are divided, and the group of the request.
    pub(super) division: Option<(EngineDivision, PromptGroup)>,
    /// What it costs to send the request among those of the other group, in milliseconds:
    /// as much as a long prompt takes to read, since one of the two waits for that.
    apart_ms: f64,
}

impl Weights {
    pub(super) fn of(mix: Option<&RequestMix>, wanted: &UpstreamCriteria<'_>) -> Self {
        let prompt = float(wanted.parts.iter().map(|part| part.tokens).sum());
        let read_ms = mix.map_or(READ_MS_PRIOR, RequestMix::ms_per_token);
        let division = mix.and_then(RequestMix::division).map(|division| {
            let usual = mix.and_then(|mix| mix.prompt(wanted.route)).unwrap_or(prompt);
            (division, division.group(usual))
        });
        let apart_ms = division.map_or(0.0, |(division, _)| division.long_threshold * read_ms);
        Self { read_ms, division, apart_ms }
    }

    /// Returns how long an engine reads parts of a prompt, in milliseconds.
    pub(super) fn read_ms(&self, parts: &[PromptPart]) -> f64 {
        float(parts.iter().map(|part| part.tokens).sum()) * self.read_ms
    }

    pub(super) fn takes(&self, replica: &Replica) -> bool {
        self.division.is_none_or(|(division, group)| division.takes(group, replica.place))
    }
}

impl Replica {
    pub(super) fn new(info: ListedUpstream, revision: u64) -> Self {
        let seed = xxh3_64_with_seed(info.id.as_str().as_bytes(), 0);
        let (digest, process) = (digest_of(&info), process_of(&info));
        Self {
            info,
            revision,
            changed: revision,
            digest,
            process,
            seed,
            place: 0.0,
            running: 0,
            vanished: None,
            lapsed: false,
            failing: 0.0,
            full: 0.0,
            noted: Time::default(),
            failures: 0,
            rests_until: Time::default(),
            parts: HashMap::new(),
            lag: Lag::default(),
            evacuated: false,
            region: None,
            distance: Distance::default(),
            cold: None,
            said: Statements::default(),
        }
    }

    /// Tells whether an entry speaks of another process than the one that is known here, under the
    /// same id.
    pub(super) fn is_another(&self, info: &ListedUpstream) -> bool {
        let is_later =
            self.info.started_at.zip(info.started_at).is_some_and(|(known, told)| known != told);
        is_later || self.info.address != info.address
    }

    /// Forgets what was seen of an earlier process under its id: a new one has read no prompts,
    /// owes no answers and may be well where the earlier one failed.
    pub(super) fn start_again(&mut self) {
        self.failing = 0.0;
        self.full = 0.0;
        self.failures = 0;
        self.rests_until = Time::default();
        self.parts.clear();
        self.lag = Lag::default();
        self.cold = None;
        self.said = Statements::default();
    }

    /// Returns what the platform's list says of it, for other processes.
    pub(super) fn entry(&self, now: Time) -> UpstreamEntry {
        UpstreamEntry {
            revision: self.revision,
            info: self.info.clone(),
            warm_in: self.warm_in(now),
        }
    }

    /// Takes in where it and this process stand.
    pub(super) fn locate(&mut self, own: &Location, regions: &RegionMap) {
        self.region = regions.region(&self.info.domain).cloned();
        self.distance = own.distance(&self.info.domain, regions);
    }

    /// Returns the number that stands for the upstream in messages.
    pub(super) fn number(&self) -> u32 {
        let [a, b, c, d, ..] = self.seed.to_be_bytes();
        u32::from_be_bytes([a, b, c, d])
    }

    /// Takes in what an entry says of it.
    pub(super) fn describe(&mut self, info: ListedUpstream) {
        self.digest = digest_of(&info);
        self.process = process_of(&info);
        self.info = info;
    }

    pub(super) fn is_usable(&self, now: Time) -> bool {
        if self.info.leaving || self.said.is_leaving || self.evacuated {
            return false;
        }
        match self.vanished {
            None => true,
            Some(at) => self.lapsed && now.since(at) < LAPSE_GRACE,
        }
    }

    /// Returns how much longer it is cold; zero if it is warm.
    pub(super) fn warm_in(&self, now: Time) -> Duration {
        self.cold.map_or(Duration::ZERO, |cold| cold.until.since(now))
    }

    pub(super) fn is_cold(&self, now: Time) -> bool {
        !self.warm_in(now).is_zero()
    }

    /// Takes in what an entry of the list says about how long it stays cold; returns whether
    /// it has turned cold or warm.
    pub(super) fn hear_start(
        &mut self,
        now: Time,
        starts: &Starts,
        revision: u64,
        warm_in: Duration,
    ) -> bool {
        let was = self.is_cold(now);
        if !warm_in.is_zero() {
            self.spare(now, starts, revision, now.after(warm_in));
            return !was;
        }
        if !was || self.cold.is_some_and(|cold| cold.since >= revision) {
            return false;
        }
        self.cold = None;
        true
    }

    /// Counts it as cold until a time, which the platform said at a revision.
    pub(super) fn spare(&mut self, now: Time, starts: &Starts, revision: u64, until: Time) {
        let known = self.cold.filter(|cold| cold.until > now);
        let bucket = match known {
            Some(cold) => cold.bucket,
            None => starts.is_sender(self.seed).then(|| Bucket::new(now)),
        };
        self.cold = Some(Cold { until, since: revision, bucket });
    }

    /// Lets it be sent to by the senders of another view; one that has become a sender waits until
    /// the others have learned of it.
    pub(super) fn change_senders(&mut self, now: Time, starts: &Starts) {
        let from = now.after(HOLD_OFF);
        let seed = self.seed;
        self.said.limit.change_place(from, || rate_limit::place(starts.senders(), seed));
        let Some(cold) = &mut self.cold else {
            return;
        };
        let is_sender = starts.is_sender(self.seed);
        cold.bucket = is_sender.then(|| cold.bucket.unwrap_or_else(|| Bucket::new(from)));
    }

    /// Tells whether a request may be sent there as far as its start allows; `share` is what
    /// each sender may send while it is cold.
    pub(super) fn bears_more(&self, now: Time, share: Option<SenderShare>) -> bool {
        let Some(cold) = self.cold.filter(|cold| cold.until > now) else {
            return true;
        };
        let bucket = cold.bucket.zip(share);
        bucket.is_some_and(|(bucket, share)| bucket.may_send(now, share))
    }

    /// Notes that a request goes there.
    pub(super) fn begin(&mut self, now: Time, share: Option<SenderShare>, parts: &[PromptPart]) {
        self.running += 1;
        self.said.limit.take(now);
        let bucket = self.cold.as_mut().and_then(|cold| cold.bucket.as_mut());
        if let Some((bucket, share)) = bucket.zip(share) {
            bucket.take(now, share);
        }
        if self.parts.len() > MAX_PARTS {
            self.parts.retain(|_, at| now.since(*at) < KEEP_PART / 4);
        }
        for part in shared(parts) {
            self.parts.insert(part.id, now);
        }
    }

    /// Estimates the delay to the first part of an answer, in milliseconds.
    pub(super) fn cost(
        &self,
        now: Time,
        wanted: &UpstreamCriteria<'_>,
        weights: &Weights,
        is_home: bool,
    ) -> f64 {
        let jitter =
            f64::from(u32::try_from((self.seed ^ wanted.random) % 1000).unwrap_or(0)) / 1e3;
        let (failed, full) = self.shares(now);
        let failing = (failed + full) * FAILING_MS;
        let running = f64::from(self.running);
        if wanted.parts.is_empty() {
            return running * CALL_MS + failing + jitter;
        }
        let read = float(self.unread(now, wanted.parts, is_home)) * weights.read_ms;
        let apart = if weights.takes(self) { 0.0 } else { weights.apart_ms };
        read + apart + running * RUNNING_MS + failing + jitter
    }

    /// Returns how many tokens of a prompt's shared parts it is expected to read.
    pub(super) fn unread(&self, now: Time, parts: &[PromptPart], is_home: bool) -> u64 {
        let mut unread = 0;
        let mut known = true;
        for part in shared(parts) {
            let fresh = self.parts.get(&part.id).is_some_and(|at| now.since(*at) < KEEP_PART);
            // All VMs send a chain home, so what another VM sent there is known too.
            known &= fresh || is_home;
            if !known {
                unread += part.tokens;
            }
        }
        unread
    }

    /// Returns the shares of requests that failed and that were turned away, as far as they
    /// still count.
    fn shares(&self, now: Time) -> (f64, f64) {
        let age = now.since(self.noted).as_secs_f64();
        let left = |half: Duration| (-age / half.as_secs_f64()).exp2();
        (self.failing * left(FAILING_HALF), self.full * left(FULL_HALF))
    }

    pub(super) fn note(&mut self, now: Time, health: AttemptOutcome) {
        let (failed, full) = match health {
            AttemptOutcome::Answered => (0.0, 0.0),
            AttemptOutcome::Failed => (1.0, 0.0),
            AttemptOutcome::Full => (0.0, FULL_OUTCOME),
            AttemptOutcome::Unknown => return,
        };
        let known = self.shares(now);
        self.failing = known.0 + (failed - known.0) * OUTCOME_WEIGHT;
        self.full = known.1 + (full - known.1) * OUTCOME_WEIGHT;
        self.noted = now;
        if health == AttemptOutcome::Answered {
            self.failures = 0;
            return;
        }
        self.failures += 1;
        if self.failures >= FAILURES {
            let rest = REST.saturating_mul(self.failures - FAILURES + 1).min(MAX_REST);
            self.rests_until = now.after(rest);
        }
    }
}

/// Returns the number that stands for the process that an entry names.
fn process_of(info: &ListedUpstream) -> u32 {
    let text = format!("{} {}", info.address, info.started_at.unwrap_or_default());
    let [a, b, c, d, ..] = xxh3_64(text.as_bytes()).to_be_bytes();
    u32::from_be_bytes([a, b, c, d])
}

/// Returns the parts that other requests may share: all but the last.
pub(super) fn shared(parts: &[PromptPart]) -> &[PromptPart] {
    parts.split_last().map_or(&[], |(_, rest)| rest)
}
