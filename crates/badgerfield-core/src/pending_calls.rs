//! Calls to the store that await a result, with their purposes.

use std::collections::HashMap;

use crate::event::StoreKey;
use crate::ids::{Service, StoreCallId};
use crate::rollout::RolloutRecord;
use crate::stream_segments::WriteNumber;
use crate::version_record::ServiceVersions;
use crate::view::View;

/// The purpose of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Reads a value that other processes write.
    Read(StoreKey),
    /// Writes the view.
    Write(View),
    /// Writes the view as the first one of the fleet.
    FirstWrite(View),
    /// Writes the announcement of this process.
    Announce,
    /// Reads or writes a shard of the ledger.
    Ledger(u32),
    /// Reads the record of a service's rollout, or writes the given one.
    Rollout(Service, Option<RolloutRecord>),
    /// Reads the record of poison requests.
    PoisonRead,
    /// Writes the record of poison requests.
    PoisonWrite,
    /// Reads the record of versions.
    VersionsRead,
    /// Writes this content of the record of versions.
    VersionsWrite(ServiceVersions),
    /// Writes records of streams' beginnings.
    StreamSegments(WriteNumber),
}

/// The calls that await a result.
#[derive(Debug, Default)]
pub(crate) struct PendingCalls {
    /// The id of the last call.
    last_id: u64,
    calls: HashMap<StoreCallId, Purpose>,
}

impl PendingCalls {
    /// Records a call and returns its id, which is unique within this process.
    pub(crate) fn begin(&mut self, purpose: Purpose) -> StoreCallId {
        self.last_id += 1;
        let id = StoreCallId(self.last_id);
        self.calls.insert(id, purpose);
        id
    }

    /// Removes a call and returns its purpose.
    pub(crate) fn end(&mut self, id: StoreCallId) -> Option<Purpose> {
        self.calls.remove(&id)
    }

    /// Returns whether a read of this key, or a write of the view if that is the key, is pending.
    pub(crate) fn is_pending(&self, key: &StoreKey) -> bool {
        self.calls.values().any(|purpose| match purpose {
            Purpose::Read(k) => k == key,
            Purpose::Write(_) | Purpose::FirstWrite(_) => *key == StoreKey::View,
            Purpose::Announce => matches!(key, StoreKey::Joiner(_)),
            Purpose::Ledger(_)
            | Purpose::Rollout(..)
            | Purpose::PoisonRead
            | Purpose::PoisonWrite
            | Purpose::VersionsRead
            | Purpose::VersionsWrite(_)
            | Purpose::StreamSegments(_) => false,
        })
    }
}
