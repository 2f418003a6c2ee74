//! The table of requests under which upstreams have crashed.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Fingerprint;
use super::crash::{Crash, CrashEvidence, UNCONFIRMED_PER_CRASH, covers, crash_digest};
use super::parts::BegunParts;
use crate::amount::Time;
use crate::ids::UpstreamId;

/// Crashes that expire within this time are no longer sent to other processes, so that none of
/// them receives a crash that it has already dropped.
const MIN_SHARED_TTL: Duration = Duration::from_secs(5);
/// Number of crashes at one point of the answer that block a request: many requests are running at
/// one crash by accident, few at two.
const SAME_POINT_CRASHES: u32 = 2;
/// Number of crashes that block a request, at any point of its answer.
pub(super) const ANY_POINT_CRASHES: u32 = 3;
/// Maximum distance in events between two points of an answer that count as the same: events may be
/// in transit when an upstream crashes.
const MAX_POINT_DISTANCE: u64 = 8;
/// Maximum number of requests that are kept, and of prompt parts, each of some 200 B: 0.2 MB.
const MAX_REQUESTS: usize = 512;
/// Maximum number of requests of one account, so that it does not displace those of others.
const MAX_REQUESTS_PER_ACCOUNT: usize = 64;
/// Maximum number of prompt parts of one account. A crash accuses several parts of each request.
const MAX_PARTS_PER_ACCOUNT: usize = 256;
/// Maximum number of crashes that are kept for one request; more add no information. All processes
/// keep the crashes of the same upstreams, regardless of the order of arrival. Otherwise their
/// states would never agree.
const MAX_CRASHES_PER_REQUEST: usize = 8;

/// The status of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PoisonStatus {
    /// No crash counts against the request.
    Clear,
    /// An upstream crashed while the request was running there.
    Suspect {
        /// Whether its answer had hardly begun. A stream that had run for a while is less likely to
        /// be the cause.
        early: bool,
    },
    /// Upstreams crashed while requests with the same prompt parts were running there.
    SuspectParts {
        /// The key of the upstream to which requests with these parts are sent.
        key: u64,
    },
    /// The request is sent to no upstream.
    Blocked {
        /// What is blocked: the request, or a part of its prompt.
        cause: Fingerprint,
        /// The upstreams that crashed under the request.
        upstreams: Vec<UpstreamId>,
        /// The time since the last crash.
        age: Duration,
        /// The time for which the request stays blocked.
        remaining: Duration,
    },
}

/// A crash in the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct KnownCrash {
    upstream: UpstreamId,
    prior_crashes: u32,
    pub(super) evidence: CrashEvidence,
    events_sent: u64,
    cleared: bool,
    /// When the crash stops counting against the request. A crash may be older than this process.
    expires_at: Time,
    /// Whether this process observed the crash.
    is_local: bool,
}

impl KnownCrash {
    pub(super) fn process(&self) -> (&UpstreamId, u32) {
        (&self.upstream, self.prior_crashes)
    }

    pub(super) fn happened_at(&self, now: Time) -> Time {
        Time(now.0.saturating_sub(self.age(now)))
    }

    fn age(&self, now: Time) -> Duration {
        self.evidence.ttl().saturating_sub(self.expires_at.since(now))
    }
}

/// The crashes of one request or prompt part.
#[derive(Debug, Clone, Default)]
pub(super) struct Record {
    account: u64,
    is_part: bool,
    crashes: Vec<KnownCrash>,
}

impl Record {
    pub(super) fn is_of_same_account(&self, other: &Self) -> bool {
        self.account == other.account
    }

    /// Returns whether a crash of another record counts here too.
    pub(super) fn has_crash(&self, now: Time, crash: &KnownCrash) -> bool {
        self.active(now).any(|known| known.process() == crash.process())
    }

    /// Returns all crashes, also those that were cleared.
    pub(super) fn all(&self) -> impl Iterator<Item = &KnownCrash> {
        self.crashes.iter()
    }

    pub(super) fn active(&self, now: Time) -> impl Iterator<Item = &KnownCrash> + Clone {
        let is_active = move |known: &&KnownCrash| !known.cleared && now < known.expires_at;
        self.crashes.iter().filter(is_active)
    }

    pub(super) fn is_blocked(&self, now: Time) -> bool {
        let active = self.active(now);
        let weight = |known: &KnownCrash| known.evidence.weight();
        let all: u32 = active.clone().map(weight).sum();
        if all >= ANY_POINT_CRASHES * UNCONFIRMED_PER_CRASH {
            return true;
        }
        // Each request has several parts, and each crash accuses those of several requests.
        if self.is_part {
            return false;
        }
        let is_near = |known: &&KnownCrash, point: u64| {
            known.events_sent.abs_diff(point) <= MAX_POINT_DISTANCE
        };
        let near = |point: u64| -> u32 {
            active.clone().filter(|known| is_near(known, point)).map(weight).sum()
        };
        active
            .clone()
            .any(|known| near(known.events_sent) >= SAME_POINT_CRASHES * UNCONFIRMED_PER_CRASH)
    }

    /// Returns the time for which the request stays blocked if no more crashes arrive.
    fn blocked_for(&self, now: Time) -> Duration {
        let expiries = self.active(now).map(|known| known.expires_at);
        let expiries = expiries.filter(|at| !self.is_blocked(*at));
        expiries.min().map_or(Duration::ZERO, |at| at.since(now))
    }

    /// Applies a crash; returns whether it added information.
    fn add(&mut self, now: Time, crash: &Crash) -> bool {
        let expires_at = now.after(crash.evidence.ttl().saturating_sub(crash.age));
        let known = self.crashes.iter_mut().find(|known| known.process() == crash.process());
        if let Some(known) = known {
            let clears = crash.cleared && !known.cleared;
            known.cleared |= crash.cleared;
            let has_more_evidence = crash.evidence > known.evidence;
            if has_more_evidence {
                known.evidence = crash.evidence;
                known.expires_at = expires_at;
            }
            return clears || has_more_evidence;
        }
        if !self.make_room(crash.process()) {
            return false;
        }
        self.crashes.push(KnownCrash {
            upstream: crash.upstream.clone(),
            prior_crashes: crash.prior_crashes,
            evidence: crash.evidence,
            events_sent: crash.events_sent,
            cleared: crash.cleared,
            expires_at,
            is_local: false,
        });
        true
    }

    /// Makes room for a crash of `process` if the limit is reached: removes the crash whose process
    /// is the last in order, unless `process` comes after it. Returns whether there is room.
    fn make_room(&mut self, process: (&UpstreamId, u32)) -> bool {
        if self.crashes.len() < MAX_CRASHES_PER_REQUEST {
            return true;
        }
        let last = (0..self.crashes.len()).max_by_key(|n| self.crashes[*n].process());
        let last = last.filter(|n| self.crashes[*n].process() > process);
        if let Some(n) = last {
            self.crashes.remove(n);
        }
        last.is_some()
    }

    /// Returns when the last of its crashes expires.
    fn latest_expiry(&self) -> Time {
        self.crashes.iter().map(|known| known.expires_at).max().unwrap_or_default()
    }

    fn crashes(&self, now: Time, request: Fingerprint) -> impl Iterator<Item = Crash> {
        self.crashes.iter().map(move |known| Crash {
            request,
            account: self.account,
            upstream: known.upstream.clone(),
            prior_crashes: known.prior_crashes,
            evidence: known.evidence,
            events_sent: known.events_sent,
            cleared: known.cleared,
            age: known.age(now),
        })
    }
}

/// The poison requests and suspects that a process knows.
#[derive(Debug, Default)]
pub struct PoisonTable {
    records: BTreeMap<Fingerprint, Record>,
    /// The parts to which answers have begun lately at this process.
    pub(super) begun: BegunParts,
    /// When this process last tried a blocked part.
    pub(super) trials: BTreeMap<Fingerprint, Time>,
}

impl PoisonTable {
    /// Returns whether no request is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of requests that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub(super) fn record(&self, request: Fingerprint) -> Option<&Record> {
        self.records.get(&request)
    }

    pub(super) fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Returns the records of prompt parts.
    pub(super) fn part_records(&self) -> impl Iterator<Item = (Fingerprint, &Record)> {
        let parts = self.records.iter().filter(|(_, record)| record.is_part);
        parts.map(|(part, record)| (*part, record))
    }

    /// Returns the status of a request or a prompt part by its own crashes.
    #[must_use]
    pub fn status(&self, now: Time, request: Fingerprint) -> PoisonStatus {
        let Some(record) = self.records.get(&request) else {
            return PoisonStatus::Clear;
        };
        let active: Vec<_> = record.active(now).collect();
        let Some(age) = active.iter().map(|known| known.age(now)).min() else {
            return PoisonStatus::Clear;
        };
        if !record.is_blocked(now) {
            let early = active.iter().any(|known| known.events_sent <= MAX_POINT_DISTANCE);
            return PoisonStatus::Suspect { early };
        }
        let upstreams = active.iter().map(|known| known.upstream.clone()).collect();
        let remaining = record.blocked_for(now);
        PoisonStatus::Blocked { cause: request, upstreams, age, remaining }
    }

    /// Returns how many crashes of an upstream under a request are known.
    #[must_use]
    pub fn crash_count(&self, request: Fingerprint, upstream: &UpstreamId) -> u32 {
        let known = self.records.get(&request).into_iter().flat_map(|record| &record.crashes);
        let counts = known
            .filter(|known| known.upstream == *upstream)
            .map(|known| known.prior_crashes.saturating_add(1));
        counts.max().unwrap_or(0)
    }

    /// Records a crash that this process observed; returns the same as [`PoisonTable::apply`].
    pub fn record_crash(&mut self, now: Time, crash: Crash) -> Vec<(Crash, bool)> {
        let (request, upstream, prior_crashes) =
            (crash.request, crash.upstream.clone(), crash.prior_crashes);
        let added = self.apply(now, vec![crash]);
        let record = self.records.get_mut(&request).into_iter();
        for known in record
            .flat_map(|r| &mut r.crashes)
            .filter(|k| k.process() == (&upstream, prior_crashes))
        {
            known.is_local = true;
        }
        added
    }

    /// Returns whether this process observed any of the crashes of a request.
    #[must_use]
    pub fn has_seen_crash(&self, request: Fingerprint) -> bool {
        self.records.get(&request).is_some_and(|r| r.crashes.iter().any(|known| known.is_local))
    }

    /// Applies crashes, which may arrive in any order. Returns those that added information, each
    /// with whether it caused its request to be blocked.
    pub fn apply(&mut self, now: Time, crashes: Vec<Crash>) -> Vec<(Crash, bool)> {
        let mut added = Vec::new();
        for crash in crashes {
            if crash.age >= crash.evidence.ttl() {
                continue;
            }
            let record = self.records.entry(crash.request).or_default();
            record.account = crash.account;
            record.is_part = crash.request.is_part();
            let was_blocked = record.is_blocked(now);
            if !record.add(now, &crash) {
                continue;
            }
            let blocks = !was_blocked && record.is_blocked(now);
            let (account, is_part) = (crash.account, crash.request.is_part());
            added.push((crash, blocks));
            self.make_room(now, account, is_part);
        }
        added
    }

    /// Returns all crashes of a request.
    #[must_use]
    pub fn crashes_of(&self, now: Time, request: Fingerprint) -> Vec<Crash> {
        let record = self.records.get(&request);
        record.map(|record| record.crashes(now, request).collect()).unwrap_or_default()
    }

    /// Records that a request completed; returns the crashes that this clears.
    pub fn record_served(&mut self, now: Time, request: Fingerprint) -> Vec<Crash> {
        let all = self.crashes_of(now, request).into_iter();
        let cleared = all
            .filter(|crash| !crash.cleared)
            .map(|crash| Crash { cleared: true, ..crash })
            .collect();
        self.apply(now, cleared).into_iter().map(|(crash, _)| crash).collect()
    }

    /// Removes expired crashes.
    pub fn sweep(&mut self, now: Time) {
        self.records.retain(|_, record| {
            record.crashes.retain(|known| now < known.expires_at);
            !record.crashes.is_empty()
        });
    }

    /// Returns a digest of all blocked requests; 0 if there are none.
    #[must_use]
    pub fn digest(&self, now: Time) -> u64 {
        self.blocked_crashes(now).iter().fold(0, |sum, crash| sum ^ crash_digest(crash))
    }

    /// Returns all crashes of blocked requests, to send them to other processes. Requests whose
    /// crashes expire within `MIN_SHARED_TTL` are left out.
    #[must_use]
    pub fn blocked_crashes(&self, now: Time) -> Vec<Crash> {
        let is_shared = |record: &Record| {
            record.is_blocked(now) && record.latest_expiry().since(now) > MIN_SHARED_TTL
        };
        let shared = self.records.iter().filter(|(_, record)| is_shared(record));
        shared.flat_map(|(request, record)| record.crashes(now, *request)).collect()
    }

    /// Returns the crashes of blocked requests, and of the requests in `theirs`, that another
    /// process lacks; empty if `theirs` contains all of them.
    #[must_use]
    pub fn missing_from(&self, now: Time, theirs: &[Crash]) -> Vec<Crash> {
        let mentioned = theirs.iter().filter_map(|crash| {
            self.records.get(&crash.request).map(|record| (crash.request, record))
        });
        let mentioned = mentioned.flat_map(|(request, record)| record.crashes(now, request));
        let all = self.blocked_crashes(now).into_iter().chain(mentioned);
        let is_missing = |crash: &Crash| !theirs.iter().any(|known| covers(known, crash));
        let mut missing: Vec<_> = all.filter(is_missing).collect();
        missing.sort_by(|a, b| (a.request, a.process()).cmp(&(b.request, b.process())));
        missing.dedup_by(|a, b| covers(a, b));
        missing
    }

    /// Removes one request, or one part, if `account`, or all accounts together, have too many. It
    /// is the one that expires first among the blocked ones or among the suspects, whichever take
    /// more than half of the room.
    fn make_room(&mut self, now: Time, account: u64, is_part: bool) {
        let of_kind = || self.records.values().filter(|r| r.is_part == is_part);
        let count = of_kind().filter(|r| r.account == account).count();
        let max_count = if is_part { MAX_PARTS_PER_ACCOUNT } else { MAX_REQUESTS_PER_ACCOUNT };
        let (from, count) = if count > max_count {
            (account, count)
        } else if of_kind().count() > MAX_REQUESTS {
            self.largest_account(is_part)
        } else {
            return;
        };
        let of_account = || self.records.iter().filter(move |(_, record)| record.account == from);
        // Blocked requests and suspects each have half of the room. Many suspects of one crash must
        // not displace blocked requests, and many blocked requests must not displace the next one
        // to be blocked.
        let blocked = of_account().filter(|(_, record)| record.is_blocked(now)).count();
        let removes_blocked = blocked > count / 2;
        let kind = of_account().filter(|(_, record)| record.is_blocked(now) == removes_blocked);
        let oldest = kind.min_by_key(|(_, record)| record.latest_expiry());
        if let Some(request) = oldest.map(|(request, _)| *request) {
            self.records.remove(&request);
        }
    }

    /// Returns the account with the most requests, or parts, and their number.
    fn largest_account(&self, is_part: bool) -> (u64, usize) {
        let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
        for record in self.records.values().filter(|record| record.is_part == is_part) {
            *counts.entry(record.account).or_default() += 1;
        }
        counts.into_iter().max_by_key(|(_, count)| *count).unwrap_or_default()
    }
}
