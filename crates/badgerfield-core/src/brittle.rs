//! Services whose upstreams end if they have to reject too many requests within a second, and how
//! many requests each process may have running there.
//!
//! Such upstreams are brittle, and announce in their answers how many rejections a second they
//! survive. A process that finds out by rejections whether an upstream has room costs that upstream
//! some of them, and hundreds of processes that each do so end it. So while a service is brittle, an
//! upstream gets no more requests than it runs at once. These places are divided among a few
//! processes, chosen by rank over the view as for rate limits ([`crate::warm_up::Senders`]). All
//! others send through these. How many more requests may wait at an upstream does not matter then;
//! that number is not announced and may fall at any moment.
//!
//! What one upstream announces holds for all of its service, also for those that have just started.
//! Processes report it to each other, since most of them get no answer that says so.

use std::collections::VecDeque;
use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::amount::Time;

/// The places of one sender. With more senders, more processes have a place of their own; with
/// fewer, a place is seldom idle while requests wait for another one.
const PLACES_PER_SENDER: u32 = 2;
/// How long no answer must have said that a service is brittle before one without the announcement
/// ends it. Answers of different upstreams arrive out of order.
const END_SPAN: Duration = Duration::from_secs(2);
/// How long processes report that a service is no longer brittle.
const END_REPORT_SPAN: Duration = Duration::from_secs(20);
/// The maximum error of the age of a report: the time in transit is not included.
const MAX_AGE_ERROR: Duration = Duration::from_secs(1);
/// How long the place of an abandoned request stays taken: its upstream notices late that the
/// connection has closed.
const ABANDONED_SPAN: Duration = Duration::from_millis(500);
/// The minimum time without requests to an upstream that has rejected one.
const MIN_PAUSE: Duration = Duration::from_secs(1);
/// The maximum time without requests to an upstream that has rejected one.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// The maximum number of services in a message.
pub(crate) const MAX_REPORTS: usize = 8;

/// The error for text that is not a valid number of rejections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("expected a whole number of rejections a second, at most {}", RejectionTolerance::MAX)]
pub struct InvalidTolerance;

/// The number of rejections in a second that a brittle upstream survives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RejectionTolerance(u32);

impl RejectionTolerance {
    /// The largest number that is accepted. No upstream rejects more than this.
    pub const MAX: u32 = 1_000_000;

    /// Creates a tolerance.
    ///
    /// # Errors
    ///
    /// Returns an error if the number is above [`Self::MAX`].
    pub fn new(rejections: u32) -> Result<Self, InvalidTolerance> {
        if rejections > Self::MAX { Err(InvalidTolerance) } else { Ok(Self(rejections)) }
    }

    /// Returns how long each of some processes sends nothing to an upstream that has rejected a
    /// request of it, so that all of them together stay within the tolerance.
    fn pause(self, senders: u32) -> Duration {
        let span = MIN_PAUSE * senders / self.0.max(1);
        span.clamp(MIN_PAUSE, MAX_PAUSE)
    }
}

impl FromStr for RejectionTolerance {
    type Err = InvalidTolerance;

    fn from_str(text: &str) -> Result<Self, InvalidTolerance> {
        Self::new(text.trim().parse().map_err(|_| InvalidTolerance)?)
    }
}

impl Display for RejectionTolerance {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A report to other processes of whether a service is brittle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittleReport {
    /// The hash of the service.
    pub service: u32,
    /// The version of the state: one more than the last version known to the process that changed
    /// it.
    pub version: u32,
    /// The tolerance; `None` if the service is no longer brittle.
    pub tolerance: Option<RejectionTolerance>,
    /// The time since an answer last said so, or since the end, in milliseconds.
    pub age_ms: u32,
}

/// What this process knows of the brittleness of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Brittleness {
    tolerance: Option<RejectionTolerance>,
    /// The version of the state. Versions are needed because times of different processes cannot be
    /// ordered.
    version: u32,
    /// When an answer last said that the service is brittle, or when it ended.
    announced_at: Time,
    /// Until when the end is reported to others.
    report_until: Time,
}

impl Brittleness {
    /// Returns the tolerance of the upstreams, if they are brittle.
    pub(crate) fn tolerance(&self) -> Option<RejectionTolerance> {
        self.tolerance
    }

    /// Records what an answer announces.
    pub(crate) fn record(&mut self, now: Time, tolerance: Option<RejectionTolerance>) {
        let Some(announced) = tolerance else {
            if self.tolerance.is_some() && now.since(self.announced_at) >= END_SPAN {
                self.change(now, now, None);
            }
            return;
        };
        // Of several upstreams, the one that survives least counts.
        if self.tolerance.is_none_or(|known| announced < known) {
            self.change(now, now, tolerance);
        }
        self.announced_at = now;
    }

    /// Applies a report of another process, if it is newer.
    pub(crate) fn apply_report(&mut self, now: Time, report: &BrittleReport) {
        let age = Duration::from_millis(report.age_ms.into());
        let announced_at = Time(now.0.saturating_sub(age));
        if report.version < self.version {
            // The sender lacks the end.
            if self.tolerance.is_none() && report.tolerance.is_some() {
                self.report_until = now.after(END_REPORT_SPAN);
            }
            return;
        }
        if report.tolerance.is_none() && self.tolerance.is_some() {
            // An answer has said otherwise since then.
            if self.announced_at.since(announced_at) > MAX_AGE_ERROR {
                self.version = report.version.saturating_add(1);
                return;
            }
        }
        // Two processes may have changed the state at once; the stricter state holds then.
        let is_newer = report.version > self.version;
        if is_newer || is_stricter(report.tolerance, self.tolerance) {
            self.change(now, announced_at.max(self.announced_at), report.tolerance);
        } else if announced_at.since(self.announced_at) > MAX_AGE_ERROR {
            // The time in transit makes an announcement seem a little younger with each report, so
            // a smaller difference means nothing.
            self.announced_at = announced_at;
        }
        self.version = report.version;
    }

    fn change(&mut self, now: Time, at: Time, tolerance: Option<RejectionTolerance>) {
        if tolerance.is_none() && self.tolerance.is_some() {
            self.report_until = now.after(END_REPORT_SPAN);
        }
        self.tolerance = tolerance;
        self.announced_at = at;
        self.version = self.version.saturating_add(1);
    }

    /// Returns a report for other processes, if they need one.
    pub(crate) fn report(&self, now: Time, service: u32) -> Option<BrittleReport> {
        let is_reported = self.tolerance.is_some() || now < self.report_until;
        let age_ms = u32::try_from(now.since(self.announced_at).as_millis()).unwrap_or(u32::MAX);
        let (version, tolerance) = (self.version, self.tolerance);
        is_reported.then_some(BrittleReport { service, version, tolerance, age_ms })
    }
}

/// Returns whether a state restricts more than another one.
fn is_stricter(one: Option<RejectionTolerance>, other: Option<RejectionTolerance>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => one < other,
        (one, other) => one.is_some() && other.is_none(),
    }
}

/// Returns how many processes have places at an upstream with so many slots.
pub(crate) fn sender_count(slots: u32, members: usize) -> u32 {
    let members = u32::try_from(members).unwrap_or(u32::MAX).max(1);
    (slots / PLACES_PER_SENDER).clamp(1, members)
}

/// Returns how many of an upstream's slots are places of the process with a rank among the members
/// of the view; those of all ranks add up to the slots.
fn place_share(slots: u32, rank: Option<(usize, usize)>) -> u32 {
    let Some((rank, members)) = rank else {
        return 0;
    };
    let senders = sender_count(slots, members);
    match u32::try_from(rank) {
        Ok(rank) if rank < senders => slots.max(1) / senders + u32::from(rank < slots % senders),
        _ => 0,
    }
}

/// The places of this process at one upstream.
#[derive(Debug)]
pub(crate) struct Places {
    /// The share of the slots by rank.
    share: u32,
    /// How many processes have a share.
    senders: u32,
    /// How many of the places may be used. It grows with each answer, and falls to what the
    /// upstream has taken when that rejects a request.
    open: u32,
    /// Until when the upstream gets no requests.
    closed_until: Time,
    /// Until when the places of abandoned requests stay taken.
    abandoned: VecDeque<Time>,
}

impl Places {
    /// Returns the places at an upstream that has served requests until now.
    pub(crate) fn in_use(now: Time, slots: u32, rank: Option<(usize, usize)>) -> Self {
        let share = place_share(slots, rank);
        // Requests that other processes have sent before they knew still run.
        Self { open: share.div_ceil(2), ..Self::starting(now, slots, rank) }
    }

    /// Returns the places at an upstream that has just started.
    pub(crate) fn starting(now: Time, slots: u32, rank: Option<(usize, usize)>) -> Self {
        let senders = sender_count(slots, rank.map_or(1, |(_, members)| members));
        let share = place_share(slots, rank);
        Self { share, senders, open: share.min(1), closed_until: now, abandoned: VecDeque::new() }
    }

    /// Applies the rank of a newer view.
    ///
    /// Processes that do not know the view yet still use the places that this one gets. So it
    /// begins with one, and takes the others as the upstream answers.
    pub(crate) fn set_rank(&mut self, slots: u32, rank: Option<(usize, usize)>) {
        self.senders = sender_count(slots, rank.map_or(1, |(_, members)| members));
        self.share = place_share(slots, rank);
        self.open = self.open.max(1).min(self.share);
    }

    /// Returns how many places there are now, free or taken.
    pub(crate) fn count(&self, now: Time) -> u32 {
        if now < self.closed_until {
            return 0;
        }
        // The first request after a pause shows whether there is room again.
        self.open.max(self.share.min(1))
    }

    /// Returns whether a place is free besides those of the running requests.
    pub(crate) fn has_free(&self, now: Time, running: u32) -> bool {
        let abandoned = self.abandoned.iter().filter(|until| **until > now).count();
        let abandoned = u32::try_from(abandoned).unwrap_or(u32::MAX);
        running.saturating_add(abandoned) < self.count(now)
    }

    /// Records that the upstream has answered a request.
    pub(crate) fn record_answered(&mut self, now: Time) {
        if now >= self.closed_until {
            self.open = self.open.saturating_add(1).min(self.share);
        }
    }

    /// Records that the upstream has rejected a request while it ran others of this process.
    pub(crate) fn record_rejected(
        &mut self,
        now: Time,
        running: u32,
        tolerance: RejectionTolerance,
    ) {
        self.open = running.min(self.share);
        self.closed_until = now.after(tolerance.pause(self.senders));
    }

    /// Records that a request was abandoned, and may still run.
    pub(crate) fn record_abandoned(&mut self, now: Time) {
        self.abandoned.retain(|until| *until > now);
        self.abandoned.push_back(now.after(ABANDONED_SPAN));
    }
}
