//! A value in the store that a process reads once, and rewrites when it lacks something.

use std::time::Duration;

use crate::amount::Time;
use crate::event::is_due;

/// Minimum time between two reads of the record by one process. A read is repeated while the store
/// is unavailable.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between two writes of the record by one process. Each write contains all that is
/// known at that time.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// The purpose of a call for a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RecordCall {
    /// Read the record.
    Read,
    /// Write the record if the stored one has this revision.
    Write(u64),
}

/// The state of a record in the store as this process knows it.
#[derive(Debug, Default)]
pub(crate) struct StoredRecord {
    /// The revision of the record; `None` while it is unknown.
    revision: Option<u64>,
    /// Whether this process knows something that the record lacks.
    is_dirty: bool,
    /// Whether a call is pending.
    is_call_pending: bool,
    last_read: Option<Time>,
    last_write: Option<Time>,
}

impl StoredRecord {
    /// Marks the record as incomplete.
    pub(crate) fn mark_dirty(&mut self) {
        self.is_dirty = true;
    }

    /// Requests that the record is read again.
    pub(crate) fn mark_unknown(&mut self) {
        self.revision = None;
    }

    /// Returns the call that is due, and marks it as pending. `may_read` is whether this process
    /// reads the record even if it has nothing to write.
    pub(crate) fn next_call(&mut self, now: Time, may_read: bool) -> Option<RecordCall> {
        let call = match self.revision {
            None if !may_read && !self.is_dirty => return None,
            None => RecordCall::Read,
            Some(revision) if self.is_dirty => RecordCall::Write(revision),
            Some(_) => return None,
        };
        let (last, interval) = match call {
            RecordCall::Read => (&mut self.last_read, READ_INTERVAL),
            RecordCall::Write(_) => (&mut self.last_write, WRITE_INTERVAL),
        };
        if self.is_call_pending || !is_due(now, *last, interval) {
            return None;
        }
        *last = Some(now);
        self.is_call_pending = true;
        if call != RecordCall::Read {
            self.is_dirty = false;
        }
        Some(call)
    }

    /// Handles a successful call: the record was read or written and has this revision.
    pub(crate) fn set_revision(&mut self, revision: u64) {
        self.is_call_pending = false;
        self.revision = Some(revision);
    }

    /// Handles a failed call: the record may have changed.
    pub(crate) fn record_failure(&mut self, was_write: bool) {
        self.is_call_pending = false;
        self.is_dirty |= was_write;
        self.revision = None;
    }
}
