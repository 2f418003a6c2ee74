//! The record of blocked requests in the store, by which they outlast the loss of all processes;
//! and the crashes that wait to be sent to the other members.

use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;

use crate::amount::Time;
use crate::event::is_due;
use crate::poison::Crash;

/// Minimum time between two reads of the record by one process. A read is repeated while the store
/// is unavailable.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between two writes of the record by one process. Each write contains all blocked
/// requests known at that time.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of crashes in the record, of some 150 B each.
const MAX_RECORDED: usize = 256;
/// Maximum time that crashes wait for more of them to be sent together, unless one blocks a
/// request: many requests are running at one crash.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of crashes in one update. Crashes that are left out are known where they were
/// observed.
const MAX_UPDATE_CRASHES: usize = 64;

/// The value in the store is not a record of blocked requests.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("expected a list of crashes, found {0}")]
pub(crate) struct RecordError(String);

/// The purpose of a call for the record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RecordCall {
    /// Read the record.
    Read,
    /// Write the record if the stored one has this revision.
    Write(u64),
}

/// The state of the record in the store as this process knows it, and the crashes that wait to be
/// sent.
#[derive(Debug, Default)]
pub(crate) struct PoisonRecord {
    /// The revision of the record; `None` while it is unknown.
    revision: Option<u64>,
    /// Whether this process knows crashes that it has not written.
    is_dirty: bool,
    /// Whether a call is pending.
    is_call_pending: bool,
    last_read: Option<Time>,
    last_write: Option<Time>,
    pending: Vec<Crash>,
    last_update: Option<Time>,
}

impl PoisonRecord {
    /// Marks the record as incomplete: it may not contain a request that is blocked.
    pub(crate) fn mark_dirty(&mut self) {
        self.is_dirty = true;
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

    /// Queues crashes to be sent to all members.
    pub(crate) fn enqueue(&mut self, crashes: impl IntoIterator<Item = Crash>) {
        self.pending.extend(crashes);
        // The latest crashes may block a request, so the first are dropped if there are too many.
        let excess = self.pending.len().saturating_sub(MAX_UPDATE_CRASHES);
        self.pending.drain(..excess);
    }

    /// Takes the crashes that are due to be sent now; they are sent at once if `is_urgent`.
    pub(crate) fn take_update(&mut self, now: Time, is_urgent: bool) -> Vec<Crash> {
        if self.pending.is_empty() || !(is_urgent || is_due(now, self.last_update, BATCH_DELAY)) {
            return Vec::new();
        }
        self.last_update = Some(now);
        std::mem::take(&mut self.pending)
    }
}

/// Encodes the record. If there are too many crashes, it contains the most recent ones.
pub(crate) fn encode(mut crashes: Vec<Crash>) -> Bytes {
    crashes.sort_by_key(|crash| crash.age);
    crashes.truncate(MAX_RECORDED);
    Bytes::from(serde_json::to_vec(&crashes).unwrap_or_default())
}

/// Decodes the record. The ages of its crashes are as of the time of writing, which is unknown, so
/// each crash counts as new: a request is blocked for too long rather than too briefly.
///
/// # Errors
///
/// Returns an error if the value is not a list of crashes.
pub(crate) fn decode(value: Option<&[u8]>) -> Result<Vec<Crash>, RecordError> {
    let Some(bytes) = value else {
        return Ok(Vec::new());
    };
    let crashes: Vec<Crash> =
        serde_json::from_slice(bytes).map_err(|error| RecordError(error.to_string()))?;
    Ok(crashes.into_iter().map(|crash| Crash { age: Duration::ZERO, ..crash }).collect())
}
