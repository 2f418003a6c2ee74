//! The versions at which streams can have begun, as recorded in the store.
//!
//! The record outlasts the loss of all processes: one that starts later then still knows whether a
//! service had one version only. It contains the versions that are listed, and those that left the
//! list while streams that began at them may still be resumed. Few members write it, and only when
//! the versions change.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use thiserror::Error;

use crate::amount::Time;
use crate::ids::{Service, VersionTag};
use crate::stored_record::StoredRecord;

/// The versions of each service.
pub type ServiceVersions = BTreeMap<Service, BTreeSet<VersionTag>>;

/// The value in the store is not a record of versions.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("expected versions by service, found {0}")]
pub(crate) struct VersionRecordError(String);

/// The versions that a process knows from the list of upstreams.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KnownVersions {
    /// The versions at which streams that can still be resumed may have begun.
    pub versions: ServiceVersions,
    /// Whether there were no others when the list was last confirmed.
    pub is_complete: bool,
    /// Whether the list was confirmed so lately that there are no others now.
    pub is_fresh: bool,
}

impl KnownVersions {
    /// Returns whether there are no other versions now.
    #[must_use]
    pub fn is_conclusive(&self) -> bool {
        self.is_complete && self.is_fresh
    }
}

/// The record of versions as this process knows it.
#[derive(Debug, Default)]
pub(crate) struct VersionRecord {
    pub(crate) stored: StoredRecord,
    /// When the pending or last read was requested.
    pub(crate) requested_at: Time,
    /// The content of the record, once it was read.
    content: Option<ServiceVersions>,
    known: KnownVersions,
}

impl VersionRecord {
    /// Sets what this process knows from the list.
    pub(crate) fn set_known(&mut self, known: KnownVersions) {
        self.known = known;
        let value = self.next_content();
        if self.content.as_ref().is_some_and(|content| *content != value) {
            self.stored.mark_dirty();
        }
    }

    /// Returns whether this process lacks what the record says.
    pub(crate) fn must_read(&self) -> bool {
        !self.known.is_complete || self.content.is_none()
    }

    /// Sets the content that was read or written.
    pub(crate) fn set_content(&mut self, content: ServiceVersions) {
        self.content = Some(content);
    }

    /// Returns the content to write: what is known here and, unless that is conclusive, what the
    /// record contains besides.
    pub(crate) fn next_content(&self) -> ServiceVersions {
        let mut next = self.known.versions.clone();
        if self.known.is_conclusive() {
            return next;
        }
        for (service, versions) in self.content.iter().flatten() {
            next.entry(service.clone()).or_default().extend(versions);
        }
        next
    }
}

/// Encodes the content of the record.
pub(crate) fn encode(content: &ServiceVersions) -> Bytes {
    // Serialization to JSON cannot fail for these types.
    Bytes::from(serde_json::to_vec(content).unwrap_or_default())
}

/// Decodes the content of the record. Without a record no stream has begun yet.
///
/// # Errors
///
/// Returns an error if the value is not a record of versions.
pub(crate) fn decode(value: Option<&[u8]>) -> Result<ServiceVersions, VersionRecordError> {
    let Some(bytes) = value else {
        return Ok(ServiceVersions::new());
    };
    serde_json::from_slice(bytes).map_err(|error| VersionRecordError(error.to_string()))
}
