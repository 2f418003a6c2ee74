//! What the process of an upstream announces about itself in its answers.

use std::time::Duration;

use super::UpstreamTable;
use crate::amount::Time;
use crate::ids::{Service, UpstreamId};
use crate::rate_limit::KnownLimit;

/// The announcements of one process of an upstream; they are reset when the upstream restarts.
#[derive(Debug, Default)]
pub(super) struct Announcements {
    /// The rate limit for all processes together, and the share of this process.
    pub(super) limit: KnownLimit,
    /// Whether it is about to leave.
    pub(super) is_leaving: bool,
    /// The end of the back-off that it requested of this process.
    pub(super) back_off_until: Time,
    /// Whether it has sent an announcement that cannot be parsed.
    is_unreadable: bool,
}

impl Announcements {
    /// Returns whether this process may send it a request.
    pub(super) fn admits(&self, now: Time) -> bool {
        self.back_off_until <= now && self.limit.admits(now)
    }

    /// Returns the time until this process may send it a request; `None` if that is now, or not
    /// known.
    pub(super) fn time_until_admitted(&self, now: Time) -> Option<Duration> {
        let back_off = Some(self.back_off_until.since(now)).filter(|back_off| !back_off.is_zero());
        back_off.max(self.limit.time_until_admitted(now))
    }
}

impl UpstreamTable {
    /// Records that an upstream rejected a request and requested a back-off of this process. A
    /// back-off in force is never shortened.
    pub fn record_back_off(&mut self, now: Time, id: &UpstreamId, span: Duration) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            let until = now.after(span);
            upstream.announced.back_off_until = upstream.announced.back_off_until.max(until);
        }
    }

    /// Returns the time until the first upstream of a service admits a request of this process
    /// again, if all of them have a back-off in force or a rate limit.
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

    /// Records that an upstream announced that it is about to leave; returns whether this is new.
    /// The same process cannot revoke this, whatever the list says.
    pub fn record_leaving(&mut self, id: &UpstreamId) -> bool {
        let upstream = self.upstreams.get_mut(id);
        upstream
            .is_some_and(|upstream| !std::mem::replace(&mut upstream.announced.is_leaving, true))
    }

    /// Records that an upstream sent an announcement that cannot be parsed; returns whether it is
    /// the first.
    pub fn record_unreadable(&mut self, id: &UpstreamId) -> bool {
        let upstream = self.upstreams.get_mut(id);
        upstream
            .is_some_and(|upstream| !std::mem::replace(&mut upstream.announced.is_unreadable, true))
    }
}
