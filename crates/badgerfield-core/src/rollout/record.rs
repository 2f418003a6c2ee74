//! The record of a rollout in the store, which alone decides how the rollout ends.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{RecordedEvidence, RolloutReason};
use crate::ids::SoftwareVersion;

/// The state of a rollout, as operators see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// The rollout has not ended.
    InProgress,
    /// No request goes to the target, whose upstreams may be removed.
    RolledBack,
    /// No request goes to other versions, whose upstreams may be removed.
    Completed,
}

impl RolloutState {
    /// Returns whether no other state follows.
    #[must_use]
    pub fn is_final(self) -> bool {
        self != Self::InProgress
    }
}

/// The record of the last rollout of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The state.
    pub state: RolloutState,
    /// The target of the order.
    pub target: SoftwareVersion,
    /// The store's revision of the order.
    pub order: u64,
    /// Whether all requests may go to the target.
    #[serde(default)]
    pub moving: bool,
    /// When the process that created the record received the order, by the fleet's clock in
    /// milliseconds since 1970; `None` if the fleet's clock was not known.
    #[serde(default)]
    pub began: Option<u64>,
    /// The reason for the state.
    pub reason: RolloutReason,
    /// Targets of earlier orders that did not complete. No request goes to them.
    #[serde(default)]
    pub refused: BTreeSet<SoftwareVersion>,
    /// The evidence on the target while the rollout is in progress. It outlasts the processes that
    /// have counted it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evidence: Option<Box<RecordedEvidence>>,
}

/// A value is not a record of a rollout.
#[derive(Debug, Error)]
#[error("expected the record of a rollout: {0}")]
pub struct RecordError(#[from] serde_json::Error);

impl RolloutRecord {
    /// Decodes a record; returns `None` for an absent value.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a record.
    pub fn decode(value: Option<&[u8]>) -> Result<Option<Self>, RecordError> {
        let Some(value) = value else {
            return Ok(None);
        };
        Ok(Some(serde_json::from_slice(value)?))
    }

    /// Encodes the record as JSON.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}
