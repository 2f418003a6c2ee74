//! The note of an upstream that has ended while a request was there.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::Fingerprint;
use crate::ids::{Account, UpstreamId};

/// How long a crash is held against its request. A blocked one may be tried again then: the
/// software of the upstreams may have been mended.
const KEEP: Duration = Duration::from_secs(600);
/// The same where it is not certain that the upstream has ended: a way to it may have been cut.
const KEEP_UNSURE: Duration = Duration::from_secs(60);
/// How many that are not certain weigh as much as one that is.
pub(super) const UNSURE_PER_CRASH: u32 = 2;

/// How certain it is that an upstream has ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashEvidence {
    /// Its connection broke, and no connection to its address came up or was refused.
    Unreachable,
    /// Its address refused connections.
    #[default]
    Ended,
}

impl CrashEvidence {
    /// Returns how long it is held against a request.
    pub(super) fn keep(self) -> Duration {
        match self {
            Self::Unreachable => KEEP_UNSURE,
            Self::Ended => KEEP,
        }
    }

    /// Returns how much it weighs, against one that is not certain.
    pub(super) fn weight(self) -> u32 {
        match self {
            Self::Unreachable => 1,
            Self::Ended => UNSURE_PER_CRASH,
        }
    }

    /// Returns its name in the log.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Ended => "ended",
        }
    }
}

/// An upstream that has ended while a request was there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The request.
    pub request: Fingerprint,
    /// Stands for the request's account.
    pub account: u64,
    /// The upstream.
    pub upstream: UpstreamId,
    /// How often it was known to have ended under this request when the request was sent to it: one
    /// that is back, and ends again, has ended twice.
    #[serde(rename = "life", default)]
    pub prior_crashes: u32,
    /// How certain it is.
    #[serde(default)]
    pub evidence: CrashEvidence,
    /// How many events of the answer the caller had.
    #[serde(rename = "point")]
    pub events_sent: u64,
    /// Whether the request was served whole since.
    pub cleared: bool,
    /// How long ago it was.
    pub age: Duration,
}

impl Crash {
    /// Makes the note of an upstream that has just ended.
    #[must_use]
    pub fn new(
        request: Fingerprint,
        account: Option<&Account>,
        upstream: &UpstreamId,
        point: u64,
    ) -> Self {
        let account = account.map_or(0, |account| xxh3_64(account.as_str().as_bytes()));
        let upstream = upstream.clone();
        Self {
            request,
            account,
            upstream,
            prior_crashes: 0,
            evidence: CrashEvidence::Ended,
            events_sent: point,
            cleared: false,
            age: Duration::ZERO,
        }
    }

    /// Says that the upstream can only not be reached any more.
    #[must_use]
    pub fn unconfirmed(self) -> Self {
        Self { evidence: CrashEvidence::Unreachable, ..self }
    }

    /// Says how often the upstream was known to have ended under the request when that was sent.
    #[must_use]
    pub fn with_prior_crashes(self, life: u32) -> Self {
        Self { prior_crashes: life, ..self }
    }

    /// Names the process that ended.
    pub(super) fn process(&self) -> (&UpstreamId, u32) {
        (&self.upstream, self.prior_crashes)
    }
}

/// Tells whether one says all that the other does.
pub(super) fn says(one: &Crash, other: &Crash) -> bool {
    one.request == other.request
        && one.process() == other.process()
        && (one.cleared || !other.cleared)
        && one.evidence >= other.evidence
}

/// Returns a number that stands for what it says.
pub(super) fn digest_of(crash: &Crash) -> u64 {
    let said = u64::from(crash.cleared) | u64::from(crash.evidence.weight()) << 1;
    let seed = crash.request.rendezvous_key() ^ said ^ (u64::from(crash.prior_crashes) << 32);
    xxh3_64_with_seed(crash.upstream.as_str().as_bytes(), seed)
}
