//! How new versions of the templates reach this process, and which one it still lacks.

use std::fmt;
use std::time::Duration;

use crate::amount::Time;
use crate::ids::{Incarnation, TemplateVersion};

/// The time within which a change of the templates is expected to reach every VM.
pub(crate) const MAX_CHANGE_DELAY: Duration = Duration::from_secs(1);

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

/// How current the templates of a process are, as far as it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TemplateStatus {
    /// The version in force.
    pub version: TemplateVersion,
    /// The newest version that a message has named.
    pub newest: TemplateVersion,
    /// The time since a version newer than the one in force was first named.
    pub missing_for: Option<Duration>,
    /// The time since the values in the store were last known to be those in force.
    pub confirmed_age: Option<Duration>,
}

impl fmt::Display for TemplateStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis =
            |span: Option<Duration>| span.map_or_else(|| "-".into(), |s| s.as_millis().to_string());
        let Self { version, newest, missing_for, confirmed_age } = self;
        let (missing, confirmed) = (millis(*missing_for), millis(*confirmed_age));
        write!(
            f,
            "templates={version} newest={newest} missing_ms={missing} confirmed_ms={confirmed}"
        )
    }
}

/// What has happened since a process first heard of a version newer than its own.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PendingArrival {
    /// The newest version that has come into force.
    in_force: TemplateVersion,
    newest: TemplateVersion,
    noticed_at: Option<Time>,
    is_reported: bool,
    fetches: u32,
    unapplied: u32,
}

impl PendingArrival {
    /// Records that a message names a version, if it is newer than the one in force. Another thread
    /// may have put it into force since it was compared.
    pub(crate) fn notice(&mut self, now: Time, version: TemplateVersion) {
        if version <= self.in_force {
            return;
        }
        self.newest = self.newest.max(version);
        self.noticed_at.get_or_insert(now);
    }

    /// Returns the newest version that was named, and the time since one was first named.
    pub(crate) fn missing(&self, now: Time) -> Option<(TemplateVersion, Duration)> {
        self.noticed_at.map(|at| (self.newest, now.since(at)))
    }

    /// Returns whether the version has been missing for longer than [`MAX_CHANGE_DELAY`], once.
    pub(crate) fn report_missing(&mut self, now: Time) -> bool {
        let is_late = self.missing(now).is_some_and(|(_, span)| span >= MAX_CHANGE_DELAY);
        let is_new = is_late && !self.is_reported;
        self.is_reported |= is_new;
        is_new
    }

    /// Records that a newer version was fetched.
    pub(crate) fn record_fetch(&mut self) {
        self.fetches = self.fetches.saturating_add(1);
    }

    /// Records that a delta did not apply.
    pub(crate) fn record_unapplied(&mut self) {
        self.unapplied = self.unapplied.saturating_add(1);
    }

    /// Returns how a version that is now in force arrived, and begins anew. A version that is newer
    /// still remains missing.
    pub(crate) fn finish(
        &mut self,
        now: Time,
        version: TemplateVersion,
        source: TemplateSource,
    ) -> TemplateArrival {
        let Self { in_force, newest, noticed_at, fetches, unapplied, .. } = std::mem::take(self);
        self.in_force = in_force.max(version);
        self.notice(now, newest);
        let delay = noticed_at.map_or(Duration::ZERO, |at| now.since(at));
        TemplateArrival { version, source, delay, fetches, unapplied }
    }
}
