//! How far the platform has the requests that are blocked, so that they outlast the loss of all
//! processes; and the news of crashes that wait to be told.

use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;

use crate::amount::Time;
use crate::event::is_due;
use crate::poison::Crash;

/// The least time between two reads of the record by one process: a store that is away is
/// asked again.
const READ: Duration = Duration::from_secs(1);
/// The least time between two writes of it by one process; each tells all that is known then.
const WRITE: Duration = Duration::from_millis(200);
/// How many crashes the record holds at the most, some 150 B each.
const MAX_RECORDED: usize = 256;
/// How long news of crashes may wait for more of them, unless they block a request: many
/// requests are at one crash.
const GATHER: Duration = Duration::from_millis(20);
/// How many crashes one message tells. What is not told is known where it was seen.
const MAX_TOLD: usize = 64;

/// Why the platform's record cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("expected a list of crashes, found {0}")]
pub(crate) struct RecordError(String);

/// What a call about the record is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RecordCall {
    /// Read it.
    Read,
    /// Write it over this revision.
    Write(u64),
}

/// The record at the platform as this process knows it, and news that wait to be told.
#[derive(Debug, Default)]
pub(crate) struct PoisonRecord {
    /// The revision of the record; nothing while it is not known.
    revision: Option<u64>,
    /// Whether more is known here than was written.
    has_more: bool,
    /// Whether a call is under way.
    is_open: bool,
    read_at: Option<Time>,
    wrote_at: Option<Time>,
    waiting: Vec<Crash>,
    told_at: Option<Time>,
}

impl PoisonRecord {
    /// Notes that a request is blocked which the record may not name.
    pub(crate) fn mark_dirty(&mut self) {
        self.has_more = true;
    }

    /// Returns the call that is due, and takes it that it is made.
    pub(crate) fn next_call(&mut self, now: Time) -> Option<RecordCall> {
        let call = match self.revision {
            None => RecordCall::Read,
            Some(revision) if self.has_more => RecordCall::Write(revision),
            Some(_) => return None,
        };
        let (last, pace) = match call {
            RecordCall::Read => (&mut self.read_at, READ),
            RecordCall::Write(_) => (&mut self.wrote_at, WRITE),
        };
        if self.is_open || !is_due(now, *last, pace) {
            return None;
        }
        *last = Some(now);
        self.is_open = true;
        if call != RecordCall::Read {
            self.has_more = false;
        }
        Some(call)
    }

    /// Takes in that the record was read or written, and stands at a revision.
    pub(crate) fn set_revision(&mut self, revision: u64) {
        self.is_open = false;
        self.revision = Some(revision);
    }

    /// Takes in that a call failed: the record may be another one now.
    pub(crate) fn record_failure(&mut self, was_write: bool) {
        self.is_open = false;
        self.has_more |= was_write;
        self.revision = None;
    }

    /// Adds news that are to be told to all.
    pub(crate) fn enqueue(&mut self, crashes: impl IntoIterator<Item = Crash>) {
        self.waiting.extend(crashes);
        // What came last may block a request; of many at one crash the first are dropped.
        let excess = self.waiting.len().saturating_sub(MAX_TOLD);
        self.waiting.drain(..excess);
    }

    /// Takes the news that are to be told now; at once if one of them is urgent.
    pub(crate) fn take_update(&mut self, now: Time, is_urgent: bool) -> Vec<Crash> {
        if self.waiting.is_empty() || !(is_urgent || is_due(now, self.told_at, GATHER)) {
            return Vec::new();
        }
        self.told_at = Some(now);
        std::mem::take(&mut self.waiting)
    }
}

/// Writes the record; of too many crashes those that are freshest.
pub(crate) fn encode(mut crashes: Vec<Crash>) -> Bytes {
    crashes.sort_by_key(|crash| crash.age);
    crashes.truncate(MAX_RECORDED);
    Bytes::from(serde_json::to_vec(&crashes).unwrap_or_default())
}

/// Reads the record. Its ages are of when it was written, which nobody knows: each crash counts
/// as fresh, so that a request is rather blocked too long.
///
/// # Errors
///
/// Fails if the value is no list of crashes.
pub(crate) fn decode(value: Option<&[u8]>) -> Result<Vec<Crash>, RecordError> {
    let Some(bytes) = value else {
        return Ok(Vec::new());
    };
    let crashes: Vec<Crash> =
        serde_json::from_slice(bytes).map_err(|error| RecordError(error.to_string()))?;
    Ok(crashes.into_iter().map(|crash| Crash { age: Duration::ZERO, ..crash }).collect())
}
