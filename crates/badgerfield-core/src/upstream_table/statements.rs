//! What the process of an upstream has said of itself in its answers.

use std::time::Duration;

use super::UpstreamTable;
use crate::amount::Time;
use crate::ids::{Service, UpstreamId};
use crate::rate_limit::KnownLimit;

/// What one process of an upstream has said of itself; another one under its id has said nothing.
#[derive(Debug, Default)]
pub(super) struct Statements {
    /// How many requests a second it takes from all processes, and which of them are this one's.
    pub(super) limit: KnownLimit,
    /// Whether it is about to leave.
    pub(super) is_leaving: bool,
    /// Until when it wants nothing from this process.
    pub(super) rests_until: Time,
    /// Whether it has said something that cannot be read.
    is_unreadable: bool,
}

impl Statements {
    /// Tells whether it may get a request of this process.
    pub(super) fn admits(&self, now: Time) -> bool {
        self.rests_until <= now && self.limit.admits(now)
    }

    /// Returns how long it takes until it may get a request of this process; nothing if that is
    /// now, or not known.
    pub(super) fn wait(&self, now: Time) -> Option<Duration> {
        let rest = Some(self.rests_until.since(now)).filter(|rest| !rest.is_zero());
        rest.max(self.limit.wait(now))
    }
}

impl UpstreamTable {
    /// Takes in that an upstream has turned a request away and wants nothing from this process for
    /// a span. One that it asked for before is not cut short.
    pub fn record_back_off(&mut self, now: Time, id: &UpstreamId, span: Duration) {
        if let Some(replica) = self.table.get_mut(id) {
            let until = now.after(span);
            replica.said.rests_until = replica.said.rests_until.max(until);
        }
    }

    /// Returns when the first upstream of a service may get a request of this process again, if
    /// all of them have asked for rest or have a limit.
    #[must_use]
    pub fn time_until_admitted(&self, now: Time, service: &Service) -> Option<Duration> {
        let usable = self.table.values().filter(|r| r.info.service == *service && r.is_usable(now));
        let said: Vec<_> = usable.map(|replica| &replica.said).collect();
        let is_held = |said: &&Statements| said.rests_until > now || said.limit.limit().is_some();
        if !said.iter().all(is_held) {
            return None;
        }
        said.into_iter().filter_map(|said| said.wait(now)).min()
    }

    /// Takes in that an upstream has said that it is about to leave; tells whether that is news.
    /// Its process takes that back no more, whatever the list says.
    pub fn record_leaving(&mut self, id: &UpstreamId) -> bool {
        let replica = self.table.get_mut(id);
        replica.is_some_and(|replica| !std::mem::replace(&mut replica.said.is_leaving, true))
    }

    /// Notes that an upstream has said something of itself that cannot be read; tells whether that
    /// is the first time.
    pub fn record_unreadable(&mut self, id: &UpstreamId) -> bool {
        let replica = self.table.get_mut(id);
        replica.is_some_and(|replica| !std::mem::replace(&mut replica.said.is_unreadable, true))
    }
}
