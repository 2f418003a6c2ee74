//! The versions that may begin streams, as recorded in the store.
//!
//! A process lets a version begin streams only after the record names it, so the record contains
//! every version at which a stream can have begun, and outlasts the loss of all processes. One that
//! starts later still knows whether a service had one version only. A version leaves the record once
//! it has been gone from the list for longer than its streams can be resumed. Few members write the
//! record, unless no version of a service may begin streams.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::amount::Time;
use crate::event::is_due;
use crate::ids::{Service, VersionTag};
use crate::stored_record::StoredRecord;

/// How long a process that needs the record leaves it to the writers and to other members.
const WRITER_DELAY: Duration = Duration::from_secs(3);

/// The versions of each service.
pub type ServiceVersions = BTreeMap<Service, BTreeSet<VersionTag>>;

/// The value in the store is not a record of versions.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("expected versions by service, found {0}")]
pub struct VersionRecordError(String);

/// The content of the record at a revision of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenVersions {
    /// The revision of the record; 0 if there is none.
    pub revision: u64,
    /// The versions that may begin streams.
    pub versions: ServiceVersions,
}

impl OpenVersions {
    /// Returns whether a version of a service may begin streams.
    #[must_use]
    pub fn contains(&self, service: &Service, version: VersionTag) -> bool {
        self.versions.get(service).is_some_and(|versions| versions.contains(&version))
    }
}

/// The versions that a process knows from the list of upstreams.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KnownVersions {
    /// The versions that are listed, and those that left the list while streams that began at them
    /// may still be resumed.
    pub versions: ServiceVersions,
    /// The versions that are to begin streams, and that the record lacks.
    pub to_open: ServiceVersions,
    /// Whether a service has no upstream that may begin streams until the record names one of these.
    pub is_urgent: bool,
    /// Whether there were no other versions when the list was last confirmed.
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
    /// When the pending or last call was requested.
    pub(crate) requested_at: Time,
    /// The content of the record, once it was read.
    content: Option<ServiceVersions>,
    known: KnownVersions,
    /// The versions that this process has known, and whose streams have ended since.
    ended: ServiceVersions,
    /// Since when this process has needed the record to be read or written.
    needed_since: Option<Time>,
    /// Whether this process writes the record.
    may_write: bool,
}

impl VersionRecord {
    /// Sets what this process knows from the list; `is_writer` is whether it is one of the members
    /// that keep the record.
    pub(crate) fn set_known(&mut self, now: Time, known: KnownVersions, is_writer: bool) {
        self.record_ended(&known);
        self.known = known;
        let is_needed = !self.known.is_complete || !self.known.to_open.is_empty();
        self.needed_since = is_needed.then(|| self.needed_since.unwrap_or(now));
        let is_overdue =
            self.needed_since.is_some_and(|since| is_due(now, Some(since), WRITER_DELAY));
        let may_call = is_writer || is_overdue || self.known.is_urgent;
        let is_complete = self.known.is_complete;
        if self.content.is_none() || (may_call && (!is_complete || self.has_reopened())) {
            self.stored.mark_unknown();
        }
        self.may_write = may_call;
        self.mark_changes();
    }

    /// Records which versions are known no more. One that this process has never known may have been
    /// opened by another one.
    fn record_ended(&mut self, known: &KnownVersions) {
        if !known.is_conclusive() {
            self.ended.clear();
            return;
        }
        let has_now = |service: &Service, tag: &VersionTag| {
            known.versions.get(service).is_some_and(|tags| tags.contains(tag))
        };
        for (service, tags) in &self.known.versions {
            let ended = tags.iter().filter(|tag| !has_now(service, tag));
            self.ended.entry(service.clone()).or_default().extend(ended);
        }
        for (service, tags) in &mut self.ended {
            tags.retain(|tag| !has_now(service, tag));
        }
        self.ended.retain(|_, tags| !tags.is_empty());
    }

    /// Returns whether a version is to be opened that the record had when this process read it: it
    /// has been gone from the list for long, and may have left the record since.
    fn has_reopened(&self) -> bool {
        let content = self.content.iter().flatten();
        let mut recorded =
            content.flat_map(|(service, tags)| tags.iter().map(move |tag| (service, tag)));
        recorded.any(|(service, tag)| {
            self.known.to_open.get(service).is_some_and(|tags| tags.contains(tag))
        })
    }

    /// Marks the record as incomplete if it is to have another content.
    fn mark_changes(&mut self) {
        let lacks = |content: &ServiceVersions| *content != self.next_content();
        if self.may_write && self.content.as_ref().is_some_and(lacks) {
            self.stored.mark_dirty();
        }
    }

    /// Returns whether this process lacks what the record says.
    pub(crate) fn must_read(&self) -> bool {
        let lacks_content = !self.known.is_complete || self.has_reopened();
        self.content.is_none() || (self.may_write && lacks_content)
    }

    /// Sets the content that was read or written.
    pub(crate) fn set_content(&mut self, content: ServiceVersions) {
        self.content = Some(content);
        self.mark_changes();
    }

    /// Sets that the record cannot be read: streams may have begun at any versions of the known
    /// services. The next content says so until those streams have ended.
    pub(crate) fn set_unreadable(&mut self) {
        let mut content = self.known.versions.clone();
        for (service, versions) in &self.known.to_open {
            let known = content.entry(service.clone()).or_default();
            known.retain(|tag| !versions.contains(tag));
        }
        for versions in content.values_mut() {
            versions.insert(VersionTag::UNKNOWN);
        }
        self.content = Some(content);
        if self.may_write {
            self.stored.mark_dirty();
        }
    }

    /// Returns the content to write: that of the record with the versions to open, and without
    /// those whose streams have ended.
    pub(crate) fn next_content(&self) -> ServiceVersions {
        let mut next = self.content.clone().unwrap_or_default();
        for (service, ended) in &self.ended {
            if let Some(versions) = next.get_mut(service) {
                versions.retain(|tag| !ended.contains(tag));
            }
        }
        next.retain(|_, versions| !versions.is_empty());
        for (service, versions) in &self.known.to_open {
            next.entry(service.clone()).or_default().extend(versions);
        }
        next
    }
}

/// Returns the version of a service in the record, if there is only one.
#[must_use]
pub fn only_version(content: &ServiceVersions, service: &Service) -> Option<VersionTag> {
    let versions = content.get(service)?;
    versions.first().copied().filter(|tag| versions.len() == 1 && *tag != VersionTag::UNKNOWN)
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
pub fn decode(value: Option<&[u8]>) -> Result<ServiceVersions, VersionRecordError> {
    let Some(bytes) = value else {
        return Ok(ServiceVersions::new());
    };
    serde_json::from_slice(bytes).map_err(|error| VersionRecordError(error.to_string()))
}
