//! The limits that upstreams name, in the table of upstreams.

use std::time::Duration;

use super::UpstreamTable;
use super::replica::Replica;
use crate::amount::Time;
use crate::event::is_due;
use crate::ids::{Service, UpstreamId};
use crate::rate_limit::{LimitReport, MAX_NOTES, RateLimit, place};

/// The least time between two messages about limits to each neighbour.
const TELL_PACE: Duration = Duration::from_millis(200);

/// A limit that has changed.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitChange {
    /// The upstream that names it.
    pub upstream: UpstreamId,
    /// The limit; nothing if it names none.
    pub limit: Option<RateLimit>,
    /// The one before.
    pub before: Option<RateLimit>,
}

impl UpstreamTable {
    /// Takes in which limit an upstream names in an answer, if any; returns what has changed.
    pub fn record_limit(
        &mut self,
        now: Time,
        id: &UpstreamId,
        limit: Option<RateLimit>,
    ) -> Option<LimitChange> {
        let senders = self.starts.senders();
        let replica = self.table.get_mut(id)?;
        let (before, seed) = (replica.said.limit.limit(), replica.seed);
        replica.said.limit.hear(now, limit, || place(senders, seed));
        self.has_limits |= limit.is_some();
        change_of(replica, before)
    }

    /// Takes in what another process tells of limits; returns what has changed.
    pub fn apply_limit_reports(&mut self, now: Time, notes: &[LimitReport]) -> Vec<LimitChange> {
        let senders = self.starts.senders();
        let mut changes = Vec::new();
        for replica in self.table.values_mut() {
            let number = replica.number();
            let note = notes.iter().find(|note| note.upstream == number);
            let Some(note) = note.filter(|note| note.process == replica.process) else {
                continue;
            };
            let (before, seed) = (replica.said.limit.limit(), replica.seed);
            replica.said.limit.learn(now, note, || place(senders, seed));
            self.has_limits |= note.limit.is_some();
            changes.extend(change_of(replica, before));
        }
        changes
    }

    /// Returns what other processes should be told of limits now, another few at each turn where
    /// there are many.
    pub fn limit_reports(&mut self, now: Time) -> Vec<LimitReport> {
        if !is_due(now, self.limits_told, TELL_PACE) {
            return Vec::new();
        }
        let note = |r: &Replica| r.said.limit.note(now, r.number(), r.process);
        let all: Vec<_> = self.table.values().filter_map(note).collect();
        if all.is_empty() {
            return all;
        }
        self.limits_told = Some(now);
        let start = self.limits_turn % all.len();
        self.limits_turn = self.limits_turn.wrapping_add(MAX_NOTES);
        all.iter().cycle().skip(start).take(all.len().min(MAX_NOTES)).copied().collect()
    }

    /// Notes that there is a request for a service, whose upstreams may have limits.
    pub fn record_request(&mut self, now: Time, service: &Service) {
        if !self.has_limits {
            return;
        }
        for replica in self.table.values_mut().filter(|r| r.info.service == *service) {
            replica.said.limit.want(now);
        }
    }

    /// Tells whether a request that was given an upstream at a time may still be sent there.
    pub fn can_still_send(&mut self, now: Time, id: &UpstreamId, begun: Time) -> bool {
        let replica = self.table.get_mut(id);
        replica.is_none_or(|replica| {
            replica.said.rests_until <= now && replica.said.limit.admits_begun(now, begun)
        })
    }

    /// Returns how many upstreams have a limit.
    #[must_use]
    pub fn limited_count(&self) -> usize {
        let listed = self.table.values().filter(|r| r.vanished.is_none());
        listed.filter(|r| r.said.limit.limit().is_some()).count()
    }
}

fn change_of(replica: &Replica, before: Option<RateLimit>) -> Option<LimitChange> {
    let limit = replica.said.limit.limit();
    let upstream = || replica.info.id.clone();
    (before != limit).then(|| LimitChange { upstream: upstream(), limit, before })
}
