//! The table of requests under which upstreams have ended.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Fingerprint;
use super::crash::{Crash, CrashEvidence, UNSURE_PER_CRASH, digest_of, says};
use crate::amount::Time;
use crate::ids::UpstreamId;

/// How long before that others are told no more, so that none hears anew what it has dropped.
const LAST_WORD: Duration = Duration::from_secs(5);
/// How many crashes at one point of the answer block a request: many are at one crash by
/// accident, few at two.
const SAME_POINT: u32 = 2;
/// How many crashes block it, wherever its answer was.
const ANY_POINT: u32 = 3;
/// How many events apart two points of an answer count as one: events may be on their way when
/// an upstream ends.
const NEAR: u64 = 8;
/// How many requests are remembered, each of some 200 B: 0.1 MB.
const MAX_REQUESTS: usize = 512;
/// How many of them may be of one account, so that it crowds no other out.
const MAX_OF_ACCOUNT: usize = 64;
/// How many crashes of one request are remembered: more say nothing more. All processes keep those
/// of the same upstreams, whatever they heard first, or they would never believe the same.
const MAX_CRASHES: usize = 8;

/// What is held against a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PoisonStatus {
    /// Nothing.
    Clear,
    /// An upstream ended while it was there.
    Suspect {
        /// Whether its answer had hardly begun: a stream that had run for a while is less
        /// likely to have been the cause.
        early: bool,
    },
    /// It is sent to no upstream.
    Blocked {
        /// The upstreams that ended under it.
        upstreams: Vec<UpstreamId>,
        /// How long ago the last one did.
        age: Duration,
        /// How much longer it is blocked.
        remaining: Duration,
    },
}

/// A crash as it is remembered.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Known {
    upstream: UpstreamId,
    life: u32,
    evidence: CrashEvidence,
    point: u64,
    cleared: bool,
    /// Until when it is held against the request. A crash may be older than this process.
    until: Time,
    /// Whether this process saw it.
    here: bool,
}

impl Known {
    fn process(&self) -> (&UpstreamId, u32) {
        (&self.upstream, self.life)
    }

    fn age(&self, now: Time) -> Duration {
        self.evidence.keep().saturating_sub(self.until.since(now))
    }
}

#[derive(Debug, Clone, Default)]
struct Record {
    account: u64,
    crashes: Vec<Known>,
}

impl Record {
    fn open(&self, now: Time) -> impl Iterator<Item = &Known> + Clone {
        let counts = move |known: &&Known| !known.cleared && now < known.until;
        self.crashes.iter().filter(counts)
    }

    fn is_blocked(&self, now: Time) -> bool {
        let open = self.open(now);
        let weight = |known: &Known| known.evidence.weight();
        let all: u32 = open.clone().map(weight).sum();
        if all >= ANY_POINT * UNSURE_PER_CRASH {
            return true;
        }
        let is_near = |known: &&Known, point: u64| known.point.abs_diff(point) <= NEAR;
        let near = |point: u64| -> u32 {
            open.clone().filter(|known| is_near(known, point)).map(weight).sum()
        };
        open.clone().any(|known| near(known.point) >= SAME_POINT * UNSURE_PER_CRASH)
    }

    /// Returns how much longer it is blocked, if no more crashes come.
    fn blocked_for(&self, now: Time) -> Duration {
        let ends = self.open(now).map(|known| known.until);
        let ends = ends.filter(|at| !self.is_blocked(*at));
        ends.min().map_or(Duration::ZERO, |at| at.since(now))
    }

    /// Takes in a crash; tells whether it was news.
    fn take(&mut self, now: Time, crash: &Crash) -> bool {
        let until = now.after(crash.evidence.keep().saturating_sub(crash.age));
        let known = self.crashes.iter_mut().find(|known| known.process() == crash.process());
        if let Some(known) = known {
            let clears = crash.cleared && !known.cleared;
            known.cleared |= crash.cleared;
            let is_surer = crash.evidence > known.evidence;
            if is_surer {
                known.evidence = crash.evidence;
                known.until = until;
            }
            return clears || is_surer;
        }
        if !self.make_room(crash.process()) {
            return false;
        }
        self.crashes.push(Known {
            upstream: crash.upstream.clone(),
            life: crash.prior_crashes,
            evidence: crash.evidence,
            point: crash.events_sent,
            cleared: crash.cleared,
            until,
            here: false,
        });
        true
    }

    /// Drops the crash of another process if there are too many; tells whether there is room for
    /// one of this process.
    fn make_room(&mut self, process: (&UpstreamId, u32)) -> bool {
        if self.crashes.len() < MAX_CRASHES {
            return true;
        }
        let last = (0..self.crashes.len()).max_by_key(|n| self.crashes[*n].process());
        let last = last.filter(|n| self.crashes[*n].process() > process);
        if let Some(n) = last {
            self.crashes.remove(n);
        }
        last.is_some()
    }

    /// Returns until when the newest of its crashes counts.
    fn until(&self) -> Time {
        self.crashes.iter().map(|known| known.until).max().unwrap_or_default()
    }

    fn told(&self, now: Time, request: Fingerprint) -> impl Iterator<Item = Crash> {
        self.crashes.iter().map(move |known| Crash {
            request,
            account: self.account,
            upstream: known.upstream.clone(),
            prior_crashes: known.life,
            evidence: known.evidence,
            events_sent: known.point,
            cleared: known.cleared,
            age: known.age(now),
        })
    }
}

/// What a process knows of requests under which upstreams have ended.
#[derive(Debug, Default)]
pub struct PoisonTable {
    records: BTreeMap<Fingerprint, Record>,
}

impl PoisonTable {
    /// Tells whether nothing is held against any request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns how many requests are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns what is held against a request.
    #[must_use]
    pub fn status(&self, now: Time, request: Fingerprint) -> PoisonStatus {
        let Some(record) = self.records.get(&request) else {
            return PoisonStatus::Clear;
        };
        let open: Vec<_> = record.open(now).collect();
        let Some(age) = open.iter().map(|known| known.age(now)).min() else {
            return PoisonStatus::Clear;
        };
        if !record.is_blocked(now) {
            let early = open.iter().any(|known| known.point <= NEAR);
            return PoisonStatus::Suspect { early };
        }
        let upstreams = open.iter().map(|known| known.upstream.clone()).collect();
        PoisonStatus::Blocked { upstreams, age, remaining: record.blocked_for(now) }
    }

    /// Returns how often an upstream is known to have ended under a request.
    #[must_use]
    pub fn crash_count(&self, request: Fingerprint, upstream: &UpstreamId) -> u32 {
        let known = self.records.get(&request).into_iter().flat_map(|record| &record.crashes);
        let lives = known
            .filter(|known| known.upstream == *upstream)
            .map(|known| known.life.saturating_add(1));
        lives.max().unwrap_or(0)
    }

    /// Takes in a crash that this process saw; returns what [`PoisonTable::apply`] does.
    pub fn record_crash(&mut self, now: Time, crash: Crash) -> Vec<(Crash, bool)> {
        let (request, upstream, life) =
            (crash.request, crash.upstream.clone(), crash.prior_crashes);
        let news = self.apply(now, vec![crash]);
        let record = self.records.get_mut(&request).into_iter();
        for known in
            record.flat_map(|r| &mut r.crashes).filter(|k| k.process() == (&upstream, life))
        {
            known.here = true;
        }
        news
    }

    /// Tells whether this process saw any of the crashes of a request.
    #[must_use]
    pub fn has_seen_crash(&self, request: Fingerprint) -> bool {
        self.records.get(&request).is_some_and(|r| r.crashes.iter().any(|known| known.here))
    }

    /// Takes in crashes, in any order; returns those that were news, each with whether its
    /// request is blocked by it.
    pub fn apply(&mut self, now: Time, crashes: Vec<Crash>) -> Vec<(Crash, bool)> {
        let mut news = Vec::new();
        for crash in crashes {
            if crash.age >= crash.evidence.keep() {
                continue;
            }
            let record = self.records.entry(crash.request).or_default();
            record.account = crash.account;
            let was = record.is_blocked(now);
            if !record.take(now, &crash) {
                continue;
            }
            let blocks = !was && record.is_blocked(now);
            let account = crash.account;
            news.push((crash, blocks));
            self.make_room(now, account);
        }
        news
    }

    /// Returns all crashes that a request was at.
    #[must_use]
    pub fn crashes_of(&self, now: Time, request: Fingerprint) -> Vec<Crash> {
        let record = self.records.get(&request);
        record.map(|record| record.told(now, request).collect()).unwrap_or_default()
    }

    /// Takes in that a request was served whole; returns the crashes that are cleared by that.
    pub fn record_served(&mut self, now: Time, request: Fingerprint) -> Vec<Crash> {
        let all = self.crashes_of(now, request).into_iter();
        let cleared = all
            .filter(|crash| !crash.cleared)
            .map(|crash| Crash { cleared: true, ..crash })
            .collect();
        self.apply(now, cleared).into_iter().map(|(crash, _)| crash).collect()
    }

    /// Forgets what is too old to be held against anybody.
    pub fn sweep(&mut self, now: Time) {
        self.records.retain(|_, record| {
            record.crashes.retain(|known| now < known.until);
            !record.crashes.is_empty()
        });
    }

    /// Returns a number that stands for all blocked requests; 0 if there are none.
    #[must_use]
    pub fn digest(&self, now: Time) -> u64 {
        self.blocked_crashes(now).iter().fold(0, |sum, crash| sum ^ digest_of(crash))
    }

    /// Returns all crashes of blocked requests, for processes that may know less.
    #[must_use]
    pub fn blocked_crashes(&self, now: Time) -> Vec<Crash> {
        let is_told =
            |record: &Record| record.is_blocked(now) && record.until().since(now) > LAST_WORD;
        let told = self.records.iter().filter(|(_, record)| is_told(record));
        told.flat_map(|(request, record)| record.told(now, *request)).collect()
    }

    /// Returns what is known of blocked requests and of those that another process spoke of; nothing
    /// if that is no more than it said.
    #[must_use]
    pub fn missing_from(&self, now: Time, theirs: &[Crash]) -> Vec<Crash> {
        let spoken = theirs.iter().filter_map(|crash| {
            self.records.get(&crash.request).map(|record| (crash.request, record))
        });
        let spoken = spoken.flat_map(|(request, record)| record.told(now, request));
        let all = self.blocked_crashes(now).into_iter().chain(spoken);
        let is_news = |crash: &Crash| !theirs.iter().any(|known| says(known, crash));
        let mut more: Vec<_> = all.filter(is_news).collect();
        more.sort_by(|a, b| (a.request, a.process()).cmp(&(b.request, b.process())));
        more.dedup_by(|a, b| says(a, b));
        more
    }

    /// Drops what says least where an account, or all of them, have too many requests here.
    fn make_room(&mut self, now: Time, account: u64) {
        let count = |wanted: u64| self.records.values().filter(|r| r.account == wanted).count();
        let count = count(account);
        let (from, count) = if count > MAX_OF_ACCOUNT {
            (account, count)
        } else if self.records.len() > MAX_REQUESTS {
            self.largest()
        } else {
            return;
        };
        let own = || self.records.iter().filter(move |(_, record)| record.account == from);
        // Half of the room is for either kind: many bystanders of a crash must not drive out what
        // is blocked, nor many that are blocked the next one that is to be.
        let blocked = own().filter(|(_, record)| record.is_blocked(now)).count();
        let drops_blocked = blocked > count / 2;
        let kind = own().filter(|(_, record)| record.is_blocked(now) == drops_blocked);
        let oldest = kind.min_by_key(|(_, record)| record.until());
        if let Some(request) = oldest.map(|(request, _)| *request) {
            self.records.remove(&request);
        }
    }

    /// Returns the account with the most requests here, and how many those are.
    fn largest(&self) -> (u64, usize) {
        let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
        for record in self.records.values() {
            *counts.entry(record.account).or_default() += 1;
        }
        counts.into_iter().max_by_key(|(_, count)| *count).unwrap_or_default()
    }
}
