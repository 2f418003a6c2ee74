//! The record of blocked requests in the store, by which they outlast the loss of all processes;
//! and the crashes that wait to be sent to the other members.

use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;

use crate::amount::Time;
use crate::event::is_due;
use crate::poison::Crash;
use crate::stored_record::StoredRecord;

/// Maximum number of crashes in the record, of some 150 B each.
const MAX_RECORDED: usize = 256;
/// Maximum time that crashes wait for more of them to be sent together, unless one blocks a
/// request: many requests are running at one crash.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of crashes in one update. Crashes that are left out are known where they were
/// observed.
const MAX_UPDATE_CRASHES: usize = 128;

/// The value in the store is not a record of blocked requests.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("expected a list of crashes, found {0}")]
pub(crate) struct RecordError(String);

/// The state of the record in the store as this process knows it, and the crashes that wait to be
/// sent.
#[derive(Debug, Default)]
pub(crate) struct PoisonRecord {
    pub(crate) stored: StoredRecord,
    pending: Vec<Crash>,
    last_update: Option<Time>,
}

impl PoisonRecord {
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
