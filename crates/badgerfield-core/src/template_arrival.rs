//! How a new version of the templates reached this process, for logs and metrics.

use std::fmt;
use std::time::Duration;

use crate::amount::Time;
use crate::ids::{Incarnation, TemplateVersion};

/// Where templates come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TemplateSource {
    /// A read of the store, or a watch of it.
    Store,
    /// Another process.
    Peer(Incarnation),
}

impl fmt::Display for TemplateSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Peer(id) => id.fmt(f),
        }
    }
}

/// A version of the templates that has come into force, and how it arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TemplateArrival {
    /// The version.
    pub version: TemplateVersion,
    /// Where it comes from.
    pub source: TemplateSource,
    /// The time since the first message that named a version newer than the previous one.
    pub delay: Duration,
    /// The number of fetches sent in this time.
    pub fetches: u32,
    /// The number of deltas received in this time that did not apply.
    pub unapplied: u32,
}

/// What has happened since a process first heard of a version newer than its own.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PendingArrival {
    noticed_at: Option<Time>,
    fetches: u32,
    unapplied: u32,
}

impl PendingArrival {
    /// Records that a message names a newer version.
    pub(crate) fn notice(&mut self, now: Time) {
        self.noticed_at.get_or_insert(now);
    }

    /// Records that a newer version was fetched.
    pub(crate) fn record_fetch(&mut self) {
        self.fetches = self.fetches.saturating_add(1);
    }

    /// Records that a delta did not apply.
    pub(crate) fn record_unapplied(&mut self) {
        self.unapplied = self.unapplied.saturating_add(1);
    }

    /// Returns how a version that is now in force arrived, and begins anew.
    pub(crate) fn finish(
        &mut self,
        now: Time,
        version: TemplateVersion,
        source: TemplateSource,
    ) -> TemplateArrival {
        let Self { noticed_at, fetches, unapplied } = std::mem::take(self);
        let delay = noticed_at.map_or(Duration::ZERO, |at| now.since(at));
        TemplateArrival { version, source, delay, fetches, unapplied }
    }
}
