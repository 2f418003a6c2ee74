//! Prompt parts under which upstreams crash.
//!
//! A crash accuses all shared parts of each request that ran there and whose answer had not begun.
//! An answer that begins clears the parts of its prompt. What crashed under three requests that had
//! a part in common, without any answer to that part since the first crash, is found by
//! elimination: the part is blocked.
//!
//! Parts that were accused by the same crashes cannot be told apart yet. A request is blocked only
//! if it has all of them, so that one that has some of them may clear these.
//!
//! A part that is not blocked but accused makes its request a suspect: all VMs send the requests with
//! the same accused parts to the same upstream, away from others.
//!
//! Where many upstreams are lost at once, some of their requests have parts in common by chance. So a
//! part is blocked only if three of its crashes are a good share of all that happened meanwhile, and a
//! blocked part is tried again after a while, by one request of one VM. The delay grows with each
//! crash.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Fingerprint;
use super::crash::UNCONFIRMED_PER_CRASH;
use super::table::{ANY_POINT_CRASHES, KnownCrash, PoisonStatus, PoisonTable, Record};
use crate::amount::Time;

/// The time for which a part is not suspected at this process after an answer to it has begun. It is
/// less than the time in which the fleet has to stop sending, so that a part that has become
/// deadly is found in time.
const BEGUN_SPAN: Duration = Duration::from_secs(2);
/// The maximum number of parts whose answers are remembered, each of some 60 B.
const MAX_BEGUN: usize = 2048;
/// How long before the first and after the last of some crashes others count as having happened
/// meanwhile: it takes up to so long until a crash is noticed.
const MEANWHILE: Duration = Duration::from_secs(1);
/// The number of crashes of a part that are compared with all that happened meanwhile.
const COMPARED_CRASHES: usize = 3;
/// The maximum number of all crashes for each of these. Several parts may be deadly at once.
const MAX_CRASHES_PER_PART_CRASH: usize = 4;
/// The delay after the last crash before a part that was just blocked is tried again.
const MIN_TRIAL_DELAY: Duration = Duration::from_secs(5);
/// The factor by which each further crash extends this delay.
const TRIAL_DELAY_FACTOR: u32 = 4;
/// The time between the trials of two VMs that have requests for a part: the first one's outcome is
/// known to the second.
const TRIAL_STAGGER: Duration = Duration::from_millis(300);
/// The time after which this process tries a part once more, though it heard no outcome.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);

/// The parts to which answers have begun lately at this process.
#[derive(Debug, Default)]
pub(super) struct BegunParts(BTreeMap<Fingerprint, Time>);

impl BegunParts {
    fn record(&mut self, now: Time, parts: &[Fingerprint]) {
        self.0.extend(parts.iter().map(|part| (*part, now)));
        if self.0.len() > MAX_BEGUN {
            self.0.retain(|_, at| now.since(*at) < BEGUN_SPAN);
        }
        while self.0.len() > MAX_BEGUN {
            self.0.pop_first();
        }
    }

    fn is_recent(&self, now: Time, part: Fingerprint) -> bool {
        self.0.get(&part).is_some_and(|at| now.since(*at) < BEGUN_SPAN)
    }
}

impl PoisonTable {
    /// Returns the status of a request by its own crashes and by those of the shared parts of its
    /// prompt.
    #[must_use]
    pub fn status_with_parts(
        &self,
        now: Time,
        request: Fingerprint,
        parts: &[Fingerprint],
    ) -> PoisonStatus {
        let own = self.status(now, request);
        if matches!(own, PoisonStatus::Blocked { .. }) {
            return own;
        }
        let accused: Vec<_> = self.accused(now, parts).collect();
        let blocked = accused.iter().find(|part| self.is_told_apart(now, **part, parts));
        if let Some(part) = blocked {
            return self.part_status(now, *part);
        }
        if own != PoisonStatus::Clear || accused.is_empty() {
            return own;
        }
        let key = accused.iter().fold(0, |key, part| key ^ part.rendezvous_key());
        PoisonStatus::SuspectParts { key }
    }

    /// Records that an answer to a request with these parts has begun. Returns those that are
    /// accused, and are to be cleared.
    pub fn record_begun(&mut self, now: Time, parts: &[Fingerprint]) -> Vec<Fingerprint> {
        self.begun.record(now, parts);
        parts.iter().filter(|part| self.has_crashes(now, **part)).copied().collect()
    }

    fn has_crashes(&self, now: Time, part: Fingerprint) -> bool {
        self.record(part).is_some_and(|record| record.active(now).next().is_some())
    }

    /// Returns the parts that a crash of an upstream accuses: those to which no answer has begun
    /// lately here.
    #[must_use]
    pub fn accusable(&self, now: Time, parts: &[Fingerprint]) -> Vec<Fingerprint> {
        parts.iter().filter(|part| !self.begun.is_recent(now, **part)).copied().collect()
    }

    /// Returns whether a blocked part may be tried by one request now, at the VM with this rank among
    /// those that may do so.
    #[must_use]
    pub fn is_trial_due(&self, now: Time, part: Fingerprint, rank: usize) -> bool {
        let started = self.trials.get(&part);
        let is_running = started.is_some_and(|at| now.since(*at) < TRIAL_TIMEOUT);
        !is_running && self.trial_at(now, part, rank).is_some_and(|at| at <= now)
    }

    /// Starts the trial of a blocked part if it is due; returns whether it is.
    pub fn try_start_trial(&mut self, now: Time, part: Fingerprint, rank: usize) -> bool {
        let is_due = self.is_trial_due(now, part, rank);
        if is_due {
            self.trials.retain(|_, at| now.since(*at) < TRIAL_TIMEOUT);
            self.trials.insert(part, now);
        }
        is_due
    }

    /// Returns when a blocked part is tried again, at the VM with this rank.
    fn trial_at(&self, now: Time, part: Fingerprint, rank: usize) -> Option<Time> {
        let record = self.record(part)?;
        let last = record.active(now).map(|known| known.happened_at(now)).max()?;
        let weight: u32 = record.active(now).map(|known| known.evidence.weight()).sum();
        let further = (weight / UNCONFIRMED_PER_CRASH).saturating_sub(ANY_POINT_CRASHES);
        let delay = MIN_TRIAL_DELAY.saturating_mul(TRIAL_DELAY_FACTOR.saturating_pow(further));
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        Some(last.after(delay).after(TRIAL_STAGGER.saturating_mul(rank)))
    }

    /// Returns the status of a blocked part. It may be served again once it is tried.
    fn part_status(&self, now: Time, part: Fingerprint) -> PoisonStatus {
        let status = self.status(now, part);
        let PoisonStatus::Blocked { cause, upstreams, age, remaining } = status else {
            return status;
        };
        let until_trial = self.trial_at(now, part, 1).map_or(remaining, |at| at.since(now));
        let remaining = remaining.min(until_trial.max(TRIAL_STAGGER));
        PoisonStatus::Blocked { cause, upstreams, age, remaining }
    }

    fn accused(&self, now: Time, parts: &[Fingerprint]) -> impl Iterator<Item = Fingerprint> {
        let accused = parts.iter().filter(move |part| self.has_crashes(now, **part));
        accused.filter(move |part| !self.begun.is_recent(now, **part)).copied()
    }

    /// Returns whether a part is blocked, and a request with these parts has all those that the same
    /// crashes accuse.
    fn is_told_apart(&self, now: Time, part: Fingerprint, parts: &[Fingerprint]) -> bool {
        let Some(record) = self.record(part).filter(|record| record.is_blocked(now)) else {
            return false;
        };
        if !self.explains_crashes(now, record) {
            return false;
        }
        let is_companion = |other: &Record| {
            other.is_of_same_account(record) && record.active(now).all(|c| other.has_crash(now, c))
        };
        let mut companions = self.part_records().filter(|(_, other)| is_companion(other));
        companions.all(|(other, _)| parts.contains(&other))
    }

    /// Returns whether some successive crashes of a part are a good share of all that happened
    /// meanwhile. When many upstreams are lost at once, some of their requests have parts in common
    /// by chance. Crashes long after those of the part say nothing about it.
    fn explains_crashes(&self, now: Time, part: &Record) -> bool {
        let mut times: Vec<_> = part.active(now).map(|known| known.happened_at(now)).collect();
        times.sort_unstable();
        times.windows(COMPARED_CRASHES).any(|compared| {
            let [first, .., last] = compared else {
                return false;
            };
            let all = self.crashes_between(now, *first, *last);
            all <= compared.len() * MAX_CRASHES_PER_PART_CRASH
        })
    }

    /// Returns how many processes of upstreams have crashed in a span, or shortly before or after.
    fn crashes_between(&self, now: Time, first: Time, last: Time) -> usize {
        let span = Time(first.0.saturating_sub(MEANWHILE))..=last.after(MEANWHILE);
        let known = self.records().flat_map(Record::all);
        let meanwhile = known.filter(|known| span.contains(&known.happened_at(now)));
        meanwhile.map(KnownCrash::process).collect::<BTreeSet<_>>().len()
    }
}
