//! Rate limits that upstreams announce, and how a fleet keeps them.
//!
//! An overloaded upstream announces in its answers how many requests a second it takes from all
//! processes together. No process can count the requests of the others, so only a few processes
//! send to it. They are chosen by rank over the view, and each has its own share of the limit. All
//! others stop sending once they know of the limit. Processes report to each other which limits are
//! in force and which have ended, since a process that sends no requests gets no answer that says
//! so.
//!
//! The senders may have no requests to send while another process has. So a process that has
//! received no announcement or report of a limit for a while, and has had requests for the upstream
//! all that time, sends one as a probe. Its delay grows with its rank: the processes probe one
//! after the other, and the answer to the first probe is known to the others before the next one
//! probes.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::amount::Time;
use crate::warm_up::{SenderShare, Senders, TokenBucket};

/// The number of senders to an upstream with a small limit.
const MIN_SENDERS: f64 = 2.0;
/// The requests a second of a limit that add one more sender.
const RATE_PER_SENDER: f64 = 2.0;
/// The burst of one sender, as the span of its rate that it may send at once.
const BURST_SPAN: Duration = Duration::from_millis(250);
/// The minimum rate of a fleet in requests a second, whatever the limit: only an answer shows that
/// a limit has ended.
const MIN_RATE: f64 = 0.1;
/// The minimum delay, without an announcement or report of the limit, after which the first process
/// that is not a sender probes the upstream.
const MIN_PROBE_DELAY: Duration = Duration::from_secs(6);
/// The minimum of that delay as a multiple of the interval between two requests of one sender.
const PROBE_INTERVALS: f64 = 2.0;
/// How long processes report that a limit has ended.
const END_REPORT_SPAN: Duration = Duration::from_secs(20);
/// The maximum error of the age of a report: the time in transit is not included.
const MAX_AGE_ERROR: Duration = Duration::from_secs(1);
/// The maximum number of limits in a message.
pub(crate) const MAX_REPORTS: usize = 8;
/// The units of a limit that make up one request a second.
const UNITS_PER_REQUEST: f64 = 1000.0;

/// The error for text or numbers that are not a valid limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("expected a decimal number of requests a second, such as 1.5")]
pub struct InvalidLimit;

/// The number of requests a second that an upstream takes from all processes together, in
/// thousandths, so that all processes that receive it have exactly the same value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RateLimit(u32);

impl RateLimit {
    /// Creates a limit of `rate` requests a second; a rate above the maximum of four million is
    /// lowered to that.
    ///
    /// # Errors
    ///
    /// Returns an error if the rate is negative or not finite.
    pub fn per_second(rate: f64) -> Result<Self, InvalidLimit> {
        if !rate.is_finite() || rate < 0.0 {
            return Err(InvalidLimit);
        }
        let units = (rate * UNITS_PER_REQUEST).round().min(f64::from(u32::MAX));
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "within range")]
        let units = units as u32;
        Ok(Self(units))
    }

    /// Returns the requests a second.
    #[must_use]
    pub fn rate(self) -> f64 {
        f64::from(self.0) / UNITS_PER_REQUEST
    }

    /// Returns how many of `members` processes may send.
    fn sender_count(self, members: usize) -> u32 {
        let members = u32::try_from(members).unwrap_or(u32::MAX).max(1);
        let count = MIN_SENDERS + (self.rate() / RATE_PER_SENDER).floor();
        if count >= f64::from(members) {
            return members;
        }
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "within range")]
        let senders = count as u32;
        senders
    }

    /// Returns the share of each of `senders` processes.
    fn share(self, senders: u32) -> SenderShare {
        let rate = self.rate().max(MIN_RATE) / f64::from(senders);
        SenderShare { rate, burst: (rate * BURST_SPAN.as_secs_f64()).max(1.0) }
    }
}

impl FromStr for RateLimit {
    type Err = InvalidLimit;

    fn from_str(text: &str) -> Result<Self, InvalidLimit> {
        Self::per_second(text.trim().parse().map_err(|_| InvalidLimit)?)
    }
}

impl Display for RateLimit {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.rate())
    }
}

/// A report to other processes of the limit of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Identifies the upstream.
    pub upstream: u32,
    /// Identifies its process: an upstream that restarts has announced no limit.
    pub process: u32,
    /// The version of the announcement: one more than the last version known to the process that
    /// received it.
    pub version: u32,
    /// The limit; `None` if it has ended.
    pub limit: Option<RateLimit>,
    /// The age of the announcement in milliseconds.
    pub age_ms: u32,
}

/// What this process knows of the limit of one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct KnownLimit {
    /// The limit in force, and the requests that this process may send.
    pacer: Option<Pacer>,
    /// The version of the last known announcement of the upstream, whichever process received it; 0
    /// before the first. Versions are needed because times of different processes cannot be
    /// ordered.
    version: u32,
    /// When the upstream made that announcement.
    announced_at: Time,
    /// When an answer to this process last announced a limit, or the lack of one.
    answered_at: Option<Time>,
    /// Until when the end of a limit is reported to others.
    report_until: Time,
}

/// The limit in force at an upstream, and the requests that one process may send there.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Pacer {
    limit: RateLimit,
    /// From when on this process keeps to the limit.
    since: Time,
    /// The rank of this VM and the number of VMs; `None` outside the view.
    rank: Option<(usize, usize)>,
    /// The requests that it may send, if it is a sender.
    bucket: Option<TokenBucket>,
    /// The span in which it had requests for the upstream, without a pause of
    /// [`MIN_PROBE_DELAY`] or longer.
    demand: Option<(Time, Time)>,
    /// When it last sent a probe to the upstream, without being a sender.
    probed_at: Time,
}

impl Pacer {
    fn new(limit: RateLimit, now: Time, rank: Option<(usize, usize)>) -> Self {
        let demand = None;
        let mut pacer = Self { limit, since: now, rank, bucket: None, demand, probed_at: now };
        pacer.choose_role(now);
        pacer
    }

    fn sender_count(&self) -> u32 {
        self.limit.sender_count(self.rank.map_or(1, |(_, members)| members))
    }

    fn share(&self) -> SenderShare {
        self.limit.share(self.sender_count())
    }

    /// Decides by rank whether this process is a sender; a new sender starts at `from` with an
    /// empty bucket.
    fn choose_role(&mut self, from: Time) {
        let senders = usize::try_from(self.sender_count()).unwrap_or(usize::MAX);
        let is_sender = self.rank.is_some_and(|(rank, _)| rank < senders);
        self.bucket = is_sender.then(|| self.bucket.unwrap_or_else(|| TokenBucket::new(from)));
    }

    /// Returns how long this process waits for an announcement or report before it probes the
    /// upstream, if it is not a sender.
    fn probe_delay(&self) -> Option<Duration> {
        let (rank, _) = self.rank?;
        let interval = self.share().rate.recip();
        let min_delay = MIN_PROBE_DELAY.as_secs_f64().max(PROBE_INTERVALS * interval);
        let position = f64::from(u32::try_from(rank).unwrap_or(u32::MAX)) + 1.0;
        let factor = 1.0 + (position / f64::from(self.sender_count())).log2();
        Duration::try_from_secs_f64(min_delay * factor).ok()
    }

    fn can_probe(&self, now: Time, announced_at: Time) -> bool {
        let Some(((from, _), probe_delay)) = self.demand.zip(self.probe_delay()) else {
            return false;
        };
        now.since(from.max(announced_at).max(self.probed_at)) >= probe_delay
    }

    fn admits(&self, now: Time, announced_at: Time) -> bool {
        match &self.bucket {
            Some(bucket) => bucket.can_send(now, self.share()),
            None => self.can_probe(now, announced_at),
        }
    }

    fn record_sent(&mut self, now: Time) {
        let share = self.share();
        match &mut self.bucket {
            Some(bucket) => bucket.take(now, share),
            None => self.probed_at = now,
        }
    }

    fn record_demand(&mut self, now: Time) {
        let kept = self.demand.filter(|(_, last)| now.since(*last) < MIN_PROBE_DELAY);
        self.demand = Some((kept.map_or(now, |(from, _)| from), now));
    }
}

impl KnownLimit {
    /// Returns the limit in force.
    pub(crate) fn limit(&self) -> Option<RateLimit> {
        self.pacer.map(|pacer| pacer.limit)
    }

    /// Records the limit that the upstream announces in an answer to this process, if any.
    pub(crate) fn record(
        &mut self,
        now: Time,
        limit: Option<RateLimit>,
        rank: impl FnOnce() -> Option<(usize, usize)>,
    ) {
        if self.pacer.is_none() && limit.is_none() {
            self.answered_at = Some(now);
            return;
        }
        self.version = self.version.saturating_add(1);
        (self.announced_at, self.answered_at) = (now, Some(now));
        self.set(now, limit, rank);
    }

    /// Applies a report of another process, if it is newer.
    pub(crate) fn apply_report(
        &mut self,
        now: Time,
        report: &LimitReport,
        rank: impl FnOnce() -> Option<(usize, usize)>,
    ) {
        let limit = report.limit;
        let differs = limit.is_some() != self.pacer.is_some();
        if report.version <= self.version {
            if differs {
                // The reporting process has missed an announcement that is known here.
                self.report_until = now.after(END_REPORT_SPAN);
            }
            return;
        }
        let age = Duration::from_millis(report.age_ms.into());
        let announced_at = Time(now.0.saturating_sub(age));
        if differs
            && self
                .answered_at
                .is_some_and(|answered_at| answered_at.since(announced_at) > MAX_AGE_ERROR)
        {
            // The upstream has announced otherwise to this process since then.
            self.version = report.version.saturating_add(1);
            self.report_until = now.after(END_REPORT_SPAN);
            return;
        }
        (self.version, self.announced_at) = (report.version, announced_at);
        self.set(now, limit, rank);
    }

    fn set(
        &mut self,
        now: Time,
        limit: Option<RateLimit>,
        rank: impl FnOnce() -> Option<(usize, usize)>,
    ) {
        match (limit, &mut self.pacer) {
            (Some(limit), Some(pacer)) if pacer.limit == limit => {}
            (Some(limit), Some(pacer)) => {
                pacer.limit = limit;
                pacer.choose_role(now);
            }
            (Some(limit), None) => self.pacer = Some(Pacer::new(limit, now, rank())),
            (None, Some(_)) => {
                self.pacer = None;
                self.report_until = now.after(END_REPORT_SPAN);
            }
            (None, None) => {}
        }
    }

    /// Applies the rank of a newer view; a process that becomes a sender starts at `from`.
    pub(crate) fn set_rank(&mut self, from: Time, rank: impl FnOnce() -> Option<(usize, usize)>) {
        if let Some(pacer) = &mut self.pacer {
            pacer.rank = rank();
            pacer.choose_role(from);
        }
    }

    /// Returns whether a request may be sent.
    pub(crate) fn admits(&self, now: Time) -> bool {
        self.pacer.is_none_or(|pacer| pacer.admits(now, self.announced_at))
    }

    /// Returns whether a request that was assigned to the upstream at `started` may still be sent.
    /// If that was before the limit was known here, the request is counted now.
    pub(crate) fn admits_started(&mut self, now: Time, started: Time) -> bool {
        if self.pacer.is_none_or(|pacer| pacer.since <= started) {
            return true;
        }
        let admitted = self.admits(now);
        if admitted {
            self.record_sent(now);
        }
        admitted
    }

    /// Counts a request that is sent.
    pub(crate) fn record_sent(&mut self, now: Time) {
        if let Some(pacer) = &mut self.pacer {
            pacer.record_sent(now);
        }
    }

    /// Records a request for the upstream's service.
    pub(crate) fn record_demand(&mut self, now: Time) {
        if let Some(pacer) = &mut self.pacer {
            pacer.record_demand(now);
        }
    }

    /// Returns the time until this process may send; `None` if there is no limit, or if it is not a
    /// sender.
    pub(crate) fn time_until_admitted(&self, now: Time) -> Option<Duration> {
        let pacer = self.pacer.as_ref()?;
        pacer.bucket.map(|bucket| bucket.wait(now, pacer.share()))
    }

    /// Returns a report for other processes, if they need one.
    pub(crate) fn report(&self, now: Time, upstream: u32, process: u32) -> Option<LimitReport> {
        let is_reported = self.pacer.is_some() || now < self.report_until;
        let age_ms = u32::try_from(now.since(self.announced_at).as_millis()).unwrap_or(u32::MAX);
        let limit = self.limit();
        is_reported.then_some(LimitReport {
            upstream,
            process,
            version: self.version,
            limit,
            age_ms,
        })
    }
}

/// Returns the rank of this VM among those that may send to an upstream, and their number.
pub(crate) fn sender_rank(senders: &Senders, upstream: u64) -> Option<(usize, usize)> {
    senders.rank(upstream).map(|rank| (rank, senders.count()))
}
