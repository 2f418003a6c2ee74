//! The record of a roll-out in the key-value service: the only truth of how it ends.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::RolloutReason;
use crate::ids::SoftwareVersion;

/// Where a roll-out stands, as operators are told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// It has not ended.
    InProgress,
    /// No request goes to the target; it may be taken away.
    RolledBack,
    /// No request goes to another version; those may be taken away.
    Completed,
}

impl RolloutState {
    /// Tells whether no other state follows.
    #[must_use]
    pub fn is_final(self) -> bool {
        self != Self::InProgress
    }
}

/// What the key-value service keeps of the last roll-out of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// Where it stands.
    pub state: RolloutState,
    /// The version that is rolled out.
    pub target: SoftwareVersion,
    /// The platform's revision of the order.
    pub order: u64,
    /// Whether all requests may go to the target.
    #[serde(default)]
    pub moving: bool,
    /// When the first that wrote it learned of the order, by the fleet's time in milliseconds
    /// since 1970; nothing if that was not known.
    #[serde(default)]
    pub began: Option<u64>,
    /// Why it stands there.
    pub reason: RolloutReason,
    /// Targets of earlier orders that did not complete: no request goes to them.
    #[serde(default)]
    pub refused: BTreeSet<SoftwareVersion>,
}

/// Why a value is no record of a roll-out.
#[derive(Debug, Error)]
#[error("expected the record of a roll-out: {0}")]
pub struct RecordError(#[from] serde_json::Error);

impl RolloutRecord {
    /// Reads a record; an absent value is none.
    ///
    /// # Errors
    ///
    /// Refuses what is no record.
    pub fn decode(value: Option<&[u8]>) -> Result<Option<Self>, RecordError> {
        let Some(value) = value else {
            return Ok(None);
        };
        Ok(Some(serde_json::from_slice(value)?))
    }

    /// Returns the record as it is written.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}
