//! Limits on requests that upstreams name, and how a fleet keeps them.
//!
//! An upstream in need names in its answers how many requests a second it takes from all processes
//! together. No process can count what the others send, so a few send to it, chosen by rank over
//! the view, each at its own part of the limit; all others leave it alone from when they know of
//! the limit. Processes tell each other which limits are in force, and which have ended: one that
//! sends nothing gets no answer that says so.
//!
//! The senders may have nothing to send while another process has. So a process that has heard
//! nothing of a limit for a while, and has requests for the upstream all that time, tries one. How
//! long it waits grows with its rank, so that they try one after the other, and the answer to the
//! first is known to the others before the next one tries.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::amount::Time;
use crate::warm_up::{Bucket, SenderShare, Senders};

/// The senders to an upstream whose limit is small.
const MIN_SENDERS: f64 = 2.0;
/// How many requests a second of a limit bring one more sender.
const RATE_PER_SENDER: f64 = 2.0;
/// How many requests one sender may send at once, as the span in which it may send as many.
const BURST_SPAN: Duration = Duration::from_millis(250);
/// The least rate at which a fleet sends, in requests a second, whatever the limit: only an answer
/// tells that a limit has ended.
const MIN_RATE: f64 = 0.1;
/// How long the first process that is no sender waits at the least for news of a limit before it
/// tries the upstream itself.
const MIN_PROBE_DELAY: Duration = Duration::from_secs(6);
/// How many times the span between two requests of one sender it waits at the least.
const PROBE_INTERVALS: f64 = 2.0;
/// For how long processes tell that a limit has ended.
const END_REPORT_SPAN: Duration = Duration::from_secs(20);
/// By how much the age of a note may be off: it grows old on its way.
const MAX_AGE_ERROR: Duration = Duration::from_secs(1);
/// How many limits a message tells of.
pub(crate) const MAX_REPORTS: usize = 8;
/// The units of a limit in a request a second.
const UNITS_PER_REQUEST: f64 = 1000.0;

/// Why a limit cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("expected a decimal number of requests a second, such as 1.5")]
pub struct InvalidLimit;

/// How many requests a second an upstream takes from all processes together, in thousandths; all
/// processes that hear of it have the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RateLimit(u32);

impl RateLimit {
    /// Makes a limit of so many requests a second; one beyond four millions counts as that.
    ///
    /// # Errors
    ///
    /// Refuses what is negative or not finite.
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

    /// Returns how many of so many processes may send.
    fn senders(self, members: usize) -> u32 {
        let members = u32::try_from(members).unwrap_or(u32::MAX).max(1);
        let wanted = MIN_SENDERS + (self.rate() / RATE_PER_SENDER).floor();
        if wanted >= f64::from(members) {
            return members;
        }
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "within range")]
        let senders = wanted as u32;
        senders
    }

    /// Returns what each of so many senders may send.
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

/// What one process tells another of the limit of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Stands for the upstream.
    pub upstream: u32,
    /// Stands for its process: one that starts again has named no limit.
    pub process: u32,
    /// Grows with each statement of the upstream that is heard by one who knows of the last.
    pub version: u32,
    /// The limit; nothing if it names none any more.
    pub limit: Option<RateLimit>,
    /// How long ago the upstream said so, in milliseconds.
    pub age_ms: u32,
}

/// What is known of the limit of one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct KnownLimit {
    /// The limit in force, and what this process may send.
    pacer: Option<Pacer>,
    /// The number of the last statement of the upstream that is known, whoever heard it; 0 before
    /// the first. Times of several processes cannot be ordered.
    version: u32,
    /// When the upstream made that statement.
    announced_at: Time,
    /// When it made the last one in an answer to this process.
    answered_at: Option<Time>,
    /// Until when others are told that a limit has ended.
    report_until: Time,
}

/// What one process may send to an upstream with a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Pacer {
    limit: RateLimit,
    /// From when on this process keeps to it.
    since: Time,
    /// How many VMs come before this one, and how many there are; nothing outside the view.
    rank: Option<(usize, usize)>,
    /// What it may send, if it is a sender.
    bucket: Option<Bucket>,
    /// From when to when it had requests for the upstream, without a long pause.
    demand: Option<(Time, Time)>,
    /// When it tried the upstream last without being a sender.
    probed_at: Time,
}

impl Pacer {
    fn new(limit: RateLimit, now: Time, rank: Option<(usize, usize)>) -> Self {
        let demand = None;
        let mut pacer = Self { limit, since: now, rank, bucket: None, demand, probed_at: now };
        pacer.choose_role(now);
        pacer
    }

    fn senders(&self) -> u32 {
        self.limit.senders(self.rank.map_or(1, |(_, members)| members))
    }

    fn share(&self) -> SenderShare {
        self.limit.share(self.senders())
    }

    /// Makes this process a sender or none; a new one begins at a time, with nothing to send.
    fn choose_role(&mut self, from: Time) {
        let senders = usize::try_from(self.senders()).unwrap_or(usize::MAX);
        let is_sender = self.rank.is_some_and(|(rank, _)| rank < senders);
        self.bucket = is_sender.then(|| self.bucket.unwrap_or_else(|| Bucket::new(from)));
    }

    /// Returns how long this process waits for news before it tries the upstream, if it is no
    /// sender.
    fn probe_delay(&self) -> Option<Duration> {
        let (rank, _) = self.rank?;
        let interval = self.share().rate.recip();
        let min_delay = MIN_PROBE_DELAY.as_secs_f64().max(PROBE_INTERVALS * interval);
        let position = f64::from(u32::try_from(rank).unwrap_or(u32::MAX)) + 1.0;
        let factor = 1.0 + (position / f64::from(self.senders())).log2();
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
            Some(bucket) => bucket.may_send(now, self.share()),
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

    /// Takes in what the upstream says in an answer to this process.
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

    /// Takes in what another process tells, if that is newer.
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
                // The sender has missed what is known here.
                self.report_until = now.after(END_REPORT_SPAN);
            }
            return;
        }
        let age = Duration::from_millis(report.age_ms.into());
        let at = Time(now.0.saturating_sub(age));
        if differs
            && self.answered_at.is_some_and(|answered_at| answered_at.since(at) > MAX_AGE_ERROR)
        {
            // The upstream has told this process otherwise since.
            self.version = report.version.saturating_add(1);
            self.report_until = now.after(END_REPORT_SPAN);
            return;
        }
        (self.version, self.announced_at) = (report.version, at);
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

    /// Takes in a newer view; a process that becomes a sender begins at a time.
    pub(crate) fn set_rank(&mut self, from: Time, rank: impl FnOnce() -> Option<(usize, usize)>) {
        if let Some(pacer) = &mut self.pacer {
            pacer.rank = rank();
            pacer.choose_role(from);
        }
    }

    /// Tells whether a request may be sent.
    pub(crate) fn admits(&self, now: Time) -> bool {
        self.pacer.is_none_or(|pacer| pacer.admits(now, self.announced_at))
    }

    /// Tells whether a request that was given the upstream at a time may still be sent. One that
    /// was given it before the limit was known here counts from now on.
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

    /// Notes that there is a request for the upstream's service.
    pub(crate) fn record_demand(&mut self, now: Time) {
        if let Some(pacer) = &mut self.pacer {
            pacer.record_demand(now);
        }
    }

    /// Returns how long it takes until this process may send; nothing if there is no limit, or
    /// others send.
    pub(crate) fn time_until_admitted(&self, now: Time) -> Option<Duration> {
        let pacer = self.pacer.as_ref()?;
        pacer.bucket.map(|bucket| bucket.wait(now, pacer.share()))
    }

    /// Makes a note for other processes, if there is anything that they should know.
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

/// Returns where this process stands among those that may send to an upstream.
pub(crate) fn sender_rank(senders: &Senders, upstream: u64) -> Option<(usize, usize)> {
    senders.rank(upstream).map(|rank| (rank, senders.count()))
}
