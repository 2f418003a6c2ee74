//! The platform's list of upstreams and its changes, as processes send them to each other.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{Domain, Service, SoftwareVersion, UpstreamId};

/// One upstream, as described in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedUpstream {
    /// The id of the upstream, which may stay the same over a restart.
    pub id: UpstreamId,
    /// The service of the upstream.
    pub service: Service,
    /// The address on which the upstream listens.
    pub address: SocketAddr,
    /// The failure domain of the upstream.
    pub domain: Domain,
    /// The version of the upstream's software; `None` if the list does not contain it.
    #[serde(default)]
    pub version: Option<SoftwareVersion>,
    /// Maximum number of requests that the upstream processes concurrently.
    pub slots: u32,
    /// Whether the upstream is leaving.
    pub leaving: bool,
    /// The start of the upstream's process, in milliseconds since 1970; `None` if the list does not
    /// contain it.
    #[serde(rename = "born", default)]
    pub started_at: Option<u64>,
}

/// One entry of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// The revision at which the entry was last written.
    pub revision: u64,
    /// The description of the upstream.
    pub info: ListedUpstream,
    /// The expected time until the upstream is warm; zero if it is warm.
    pub warm_in: Duration,
}

/// An entry of the platform's list, as it was read from the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedEntry {
    /// The revision at which the entry was created. It stays the same while the entry is renewed.
    pub created: u64,
    /// The entry.
    pub entry: UpstreamEntry,
}

/// All entries of the platform's list, as of one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlatformList {
    /// The revision; entries that were written during the read of the list may be newer.
    pub revision: u64,
    /// The entries of the list.
    pub entries: Vec<ListedEntry>,
}

/// Changes of the platform's list up to a revision, as they were read from the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlatformChanges {
    /// The revision of the list up to which the changes are complete.
    pub revision: u64,
    /// The written entries, in the order of their revisions.
    pub written: Vec<ListedEntry>,
    /// The removed upstreams, with the revisions of the removals.
    pub gone: Vec<(UpstreamId, u64)>,
}

/// The upstreams that the fleet uses, as of one revision of the platform's list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamList {
    /// The revision; entries that were written during the read of the list may be newer.
    pub revision: u64,
    /// The entries of the list.
    pub entries: Vec<UpstreamEntry>,
}

/// Changes of the upstreams that the fleet uses, up to a revision of the platform's list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamListChanges {
    /// The revision of the list up to which the changes are complete.
    pub revision: u64,
    /// The written entries, in the order of their revisions.
    pub written: Vec<UpstreamEntry>,
    /// The removed upstreams, with the revisions of the removals.
    pub gone: Vec<(UpstreamId, u64)>,
}

/// The version of the platform's list that a process has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListVersion {
    /// The revision up to which the process has all changes.
    pub revision: u64,
    /// A digest of all entries, for the comparison of lists.
    pub digest: u64,
}

/// Returns a digest of the description of an upstream.
pub(crate) fn description_digest(info: &ListedUpstream) -> u64 {
    // Serialization to JSON cannot fail for these types.
    let text = serde_json::to_vec(info).unwrap_or_default();
    xxh3_64_with_seed(&text, 0)
}
