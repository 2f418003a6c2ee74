//! The crash of an upstream while a request was running there.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Fingerprint;
use crate::ids::{Account, UpstreamId};

/// Time for which a crash counts against its request. After that a blocked request may be tried
/// again: the software of the upstreams may have been fixed.
const CRASH_TTL: Duration = Duration::from_secs(600);
/// The same for an upstream that may not have crashed: a network path to it may have been cut.
const UNCONFIRMED_TTL: Duration = Duration::from_secs(60);
/// Number of unconfirmed crashes that count as much as one confirmed crash.
pub(super) const UNCONFIRMED_PER_CRASH: u32 = 2;

/// The evidence that an upstream has crashed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashEvidence {
    /// Its connection broke, and further connections to its address neither came up nor were
    /// refused.
    Unreachable,
    /// Its address refused connections.
    #[default]
    Ended,
}

impl CrashEvidence {
    /// Returns the time for which the crash counts against its request.
    pub(super) fn ttl(self) -> Duration {
        match self {
            Self::Unreachable => UNCONFIRMED_TTL,
            Self::Ended => CRASH_TTL,
        }
    }

    /// Returns the weight of the crash, in units of an unconfirmed one.
    pub(super) fn weight(self) -> u32 {
        match self {
            Self::Unreachable => 1,
            Self::Ended => UNCONFIRMED_PER_CRASH,
        }
    }

    /// Returns the name of the evidence in the log.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Ended => "ended",
        }
    }
}

/// The crash of an upstream while a request was running there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The request, or a part of its prompt.
    pub request: Fingerprint,
    /// A digest of the request's account.
    pub account: u64,
    /// The upstream.
    pub upstream: UpstreamId,
    /// How many crashes of the upstream under this request were known when the request was sent to
    /// it. An upstream that restarts and crashes again has crashed twice.
    #[serde(rename = "life", default)]
    pub prior_crashes: u32,
    /// The evidence for the crash.
    #[serde(default)]
    pub evidence: CrashEvidence,
    /// Number of events of the answer that the caller had received.
    #[serde(rename = "point")]
    pub events_sent: u64,
    /// Whether the request has completed since.
    pub cleared: bool,
    /// The time since the crash.
    pub age: Duration,
}

impl Crash {
    /// Returns the crash of an upstream that has just ended.
    #[must_use]
    pub fn new(
        request: Fingerprint,
        account: Option<&Account>,
        upstream: &UpstreamId,
        events_sent: u64,
    ) -> Self {
        // Requests and parts of an account take up room of their own in the table.
        let seed = u64::from(request.is_part());
        let account =
            account.map_or(seed, |account| xxh3_64_with_seed(account.as_str().as_bytes(), seed));
        let upstream = upstream.clone();
        Self {
            request,
            account,
            upstream,
            prior_crashes: 0,
            evidence: CrashEvidence::Ended,
            events_sent,
            cleared: false,
            age: Duration::ZERO,
        }
    }

    /// Marks the upstream as only unreachable: its end is not confirmed.
    #[must_use]
    pub fn unconfirmed(self) -> Self {
        Self { evidence: CrashEvidence::Unreachable, ..self }
    }

    /// Sets how many crashes of the upstream under the request were known when the request was
    /// sent.
    #[must_use]
    pub fn with_prior_crashes(self, prior_crashes: u32) -> Self {
        Self { prior_crashes, ..self }
    }

    /// Returns the key of the process that crashed: its upstream and the number of earlier crashes.
    pub(super) fn process(&self) -> (&UpstreamId, u32) {
        (&self.upstream, self.prior_crashes)
    }
}

/// Returns whether `one` contains all information of `other`.
pub(super) fn covers(one: &Crash, other: &Crash) -> bool {
    one.request == other.request
        && one.process() == other.process()
        && (one.cleared || !other.cleared)
        && one.evidence >= other.evidence
}

/// Returns a digest of the crash.
pub(super) fn crash_digest(crash: &Crash) -> u64 {
    let state = u64::from(crash.cleared) | u64::from(crash.evidence.weight()) << 1;
    let seed = crash.request.rendezvous_key() ^ state ^ (u64::from(crash.prior_crashes) << 32);
    xxh3_64_with_seed(crash.upstream.as_str().as_bytes(), seed)
}
