//! What the process of an upstream has said of itself in its answers.

use std::time::Duration;

use super::UpstreamTable;
use crate::amount::Time;
use crate::ids::{Service, UpstreamId};
use crate::rate_limit::KnownLimit;

/// What one process of an upstream has said of itself; another one under its id has said nothing.
#[derive(Debug, Default)]
pub(super) struct Announcements {
    /// How many requests a second it takes from all processes, and which of them are this one's.
    pub(super) limit: KnownLimit,
    /// Whether it is about to leave.
    pub(super) is_leaving: bool,
    /// Until when it wants nothing from this process.
    pub(super) back_off_until: Time,
    /// Whether it has said something that cannot be read.
    is_unreadable: bool,
}

impl Announcements {
    /// Tells whether it may get a request of this process.
    pub(super) fn admits(&self, now: Time) -> bool {
        self.back_off_until <= now && self.limit.admits(now)
    }

    /// Returns how long it takes until it may get a request of this process; nothing if that is
    /// now, or not known.
    pub(super) fn time_until_admitted(&self, now: Time) -> Option<Duration> {
        let back_off = Some(self.back_off_until.since(now)).filter(|back_off| !back_off.is_zero());
        back_off.max(self.limit.time_until_admitted(now))
    }
}

impl UpstreamTable {
    /// Takes in that an upstream has turned a request away and wants nothing from this process for
    /// a span. One that it asked for before is not cut short.
    pub fn record_back_off(&mut self, now: Time, id: &UpstreamId, span: Duration) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            let until = now.after(span);
            upstream.announced.back_off_until = upstream.announced.back_off_until.max(until);
        }
    }

    /// Returns when the first upstream of a service may get a request of this process again, if
    /// all of them have asked for rest or have a limit.
    #[must_use]
    pub fn time_until_admitted(&self, now: Time, service: &Service) -> Option<Duration> {
        let usable =
            self.upstreams.values().filter(|u| u.info.service == *service && u.is_usable(now));
        let announced: Vec<_> = usable.map(|upstream| &upstream.announced).collect();
        let is_restricted = |announced: &&Announcements| {
            announced.back_off_until > now || announced.limit.limit().is_some()
        };
        if !announced.iter().all(is_restricted) {
            return None;
        }
        announced.into_iter().filter_map(|announced| announced.time_until_admitted(now)).min()
    }

    /// Takes in that an upstream has said that it is about to leave; tells whether that is news.
    /// Its process takes that back no more, whatever the list says.
    pub fn record_leaving(&mut self, id: &UpstreamId) -> bool {
        let upstream = self.upstreams.get_mut(id);
        upstream
            .is_some_and(|upstream| !std::mem::replace(&mut upstream.announced.is_leaving, true))
    }

    /// Notes that an upstream has said something of itself that cannot be read; tells whether that
    /// is the first time.
    pub fn record_unreadable(&mut self, id: &UpstreamId) -> bool {
        let upstream = self.upstreams.get_mut(id);
        upstream
            .is_some_and(|upstream| !std::mem::replace(&mut upstream.announced.is_unreadable, true))
    }
}
