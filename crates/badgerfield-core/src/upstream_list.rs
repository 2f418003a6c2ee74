//! The platform's list of upstreams, and changes of it, as processes pass them on.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{Domain, Service, SoftwareVersion, UpstreamId};

/// One upstream as the platform's list names it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedUpstream {
    /// The upstream; one that starts again may keep it.
    pub id: UpstreamId,
    /// Its service.
    pub service: Service,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// The version of its software; nothing if the list does not tell.
    #[serde(default)]
    pub version: Option<SoftwareVersion>,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// When its process started, in milliseconds since 1970; nothing if the list does not tell.
    #[serde(rename = "born", default)]
    pub started_at: Option<u64>,
}

/// One entry of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// The revision at which the entry was written last.
    pub revision: u64,
    /// What it says.
    pub info: ListedUpstream,
    /// How much longer the upstream is cold, as far as is known; zero if it is warm.
    pub warm_in: Duration,
}

/// All upstreams, as of one revision of the platform's list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamList {
    /// The revision; entries that were written while the list was read may be newer.
    pub revision: u64,
    /// The entries.
    pub entries: Vec<UpstreamEntry>,
}

/// What changed in the platform's list up to a revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamListChanges {
    /// The revision of the list up to which every change is known.
    pub revision: u64,
    /// Entries that were written, in the order of their revisions.
    pub written: Vec<UpstreamEntry>,
    /// Entries that are gone, with the revision at which they went.
    pub gone: Vec<(UpstreamId, u64)>,
}

/// How much a process knows of the platform's list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListVersion {
    /// The revision up to which every change is known.
    pub revision: u64,
    /// Stands for all entries, so that equal lists are told apart from others.
    pub digest: u64,
}

/// Returns a number that stands for what an entry says.
pub(crate) fn digest_of(info: &ListedUpstream) -> u64 {
    // Plain fields always have a JSON form.
    let text = serde_json::to_vec(info).unwrap_or_default();
    xxh3_64_with_seed(&text, 0)
}
