//! Sealed tokens: tokens of a holding that its holder promises not to spend for a while.
//!
//! A process holds tokens ahead of demand for outages of the store. If all processes end at once,
//! no process knows how much of them was spent. Therefore the ledger records how much of a holding
//! is sealed, and since when. The promise decays linearly, so that the holder may have spent all
//! sealed tokens after [`DECAY_SPAN`]. Its successor on the same VM computes how many of them
//! cannot have been spent when it started, and returns them to the ledger.
//!
//! The promise depends on these conditions: only one process runs on a VM at a time; the holder's
//! clock is monotonic; and there is a fleet time on which more than half of the fleet's clocks
//! agree, or in a large fleet three quarters of the clocks from which a process receives
//! heartbeats. If the clocks do not agree, nothing is claimed: this loses tokens but never exceeds
//! a limit.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::amount::{Time, Tokens};
use crate::ids::{Incarnation, VmId};

/// The span over which the promise for sealed tokens decays to zero.
///
/// It is a little shorter than the span of demand that is held ahead, so that the tokens last for
/// an outage of about that length.
///
/// The decay is linear to limit the loss when power fails late in an outage. At 4.5 s, a promise of
/// the whole amount for 3.2 s lost 34,000 and 33,000 of 120,000 tokens of two accounts; linear
/// decay lost 22,000 and 13,000.
pub const DECAY_SPAN: Duration = Duration::from_secs(10);
/// The maximum difference between clocks that agree.
pub const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_millis(250);

/// The percentage of the tokens granted beyond the need that is sealed from the start.
///
/// The rest stays unsealed for the next requests. A holder never leaves a larger part unsealed.
const GRANT_SEALED_PERCENT: u64 = 60;

/// Returns how much of a grant is sealed from the start, for the ledger as for the holder.
///
/// The change that requests the tokens carries the promise, so that the grant is not lost if all
/// processes end before the holder sends another change.
#[must_use]
pub(crate) fn sealed_part(granted: Tokens, need: Tokens) -> Tokens {
    granted.saturating_sub(need).part(GRANT_SEALED_PERCENT, 100)
}

/// A time that the fleet's clocks agree on, in milliseconds since 1970.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FleetTime(pub u64);

/// The holder's statement on its sealed tokens, sent with each change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seal {
    /// The VM of the holder.
    pub vm: VmId,
    /// The amount that is sealed from now on.
    pub amount: Tokens,
    /// The amount that this change unseals.
    pub unsealed: Tokens,
    /// The time of the seal; `None` if the holder promises nothing.
    pub sealed_at: Option<FleetTime>,
    /// The span over which the promise decays, in milliseconds. Holders of older versions do not
    /// send it; nothing is claimed from their seals, since they may have spent the whole amount.
    #[serde(default)]
    pub decay_ms: u64,
    /// The unspent sealed tokens of earlier processes on this VM.
    pub claims: Vec<SealClaim>,
}

/// A claim to the unspent sealed tokens of an earlier process on the same VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealClaim {
    /// The earlier process.
    pub holder: Incarnation,
    /// The number of its sealed tokens that are unspent; the others count as spent.
    pub unspent: Tokens,
}

/// The ledger's record of a holder's sealed tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealRecord {
    /// The VM of the holder.
    #[serde(rename = "v")]
    pub vm: VmId,
    /// The amount that is sealed.
    #[serde(rename = "a")]
    pub amount: Tokens,
    /// The time of the seal.
    #[serde(rename = "t")]
    pub sealed_at: FleetTime,
    /// The span over which the promise decays, in milliseconds; 0 if the holder did not send it.
    #[serde(rename = "f", default)]
    pub decay_ms: u64,
}

impl SealRecord {
    /// Returns the amount that the holder could not have spent at a time.
    #[must_use]
    pub fn unspent_at(&self, at: FleetTime) -> Tokens {
        decayed(self.amount, at.0.saturating_sub(self.sealed_at.0), self.decay_ms)
    }
}

/// Returns how much of a sealed amount is still promised `age_ms` after it was sealed.
fn decayed(amount: Tokens, age_ms: u64, decay_ms: u64) -> Tokens {
    amount.part(decay_ms.saturating_sub(age_ms), decay_ms)
}

/// Returns how much of an amount sealed by this process is still promised at an age.
#[must_use]
pub(crate) fn promised_after(amount: Tokens, age: Duration) -> Tokens {
    decayed(amount, millis(age), decay_span_ms())
}

/// Returns the age at which at most `remaining` of a sealed amount is still promised.
#[must_use]
pub(crate) fn decay_time(amount: Tokens, remaining: Tokens) -> Duration {
    // Rounded up: the promise must not end earlier than declared.
    let decayed_amount = amount.saturating_sub(remaining);
    let millis = decay_span_ms().saturating_mul(decayed_amount.0).div_ceil(amount.0.max(1));
    Duration::from_millis(millis)
}

/// Returns the span over which promises of this process decay, in milliseconds.
#[must_use]
pub(crate) fn decay_span_ms() -> u64 {
    millis(DECAY_SPAN)
}

/// The sealed tokens of an earlier process on the same VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrphanedSeal {
    /// The earlier process.
    pub holder: Incarnation,
    /// The amount that was sealed.
    pub amount: Tokens,
    /// The time of the seal.
    pub sealed_at: FleetTime,
    /// The span over which the promise decays, in milliseconds; 0 if the holder did not send it.
    pub decay_ms: u64,
}

impl OrphanedSeal {
    /// Returns the amount that is unspent if the successor started at this time.
    #[must_use]
    pub fn unspent_at(&self, started: FleetTime) -> Tokens {
        let age_ms =
            started.0.saturating_sub(self.sealed_at.0).saturating_add(millis(MAX_CLOCK_DIFFERENCE));
        decayed(self.amount, age_ms, self.decay_ms)
    }
}

/// The fleet's time, computed from the clocks of members with recent heartbeats.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FleetClock {
    /// The fleet's time at the start of this process.
    pub started_at: Option<FleetTime>,
}

impl FleetClock {
    /// Computes the fleet's time at the start of this process.
    ///
    /// Each offset is a clock's time less the time since this process started; `quorum` is the
    /// number of clocks that must agree.
    #[must_use]
    pub fn from_offsets(mut offsets: Vec<u64>, quorum: usize) -> Self {
        offsets.sort_unstable();
        let Some(median) = offsets.get(offsets.len() / 2).copied() else {
            return Self::default();
        };
        let agreeing =
            offsets.iter().filter(|o| o.abs_diff(median) <= millis(MAX_CLOCK_DIFFERENCE)).count();
        let started = (agreeing >= quorum).then_some(FleetTime(median));
        Self { started_at: started }
    }

    /// Converts a time of this process to the fleet's time.
    #[must_use]
    pub fn time_at(self, now: Time) -> Option<FleetTime> {
        self.started_at.map(|started| FleetTime(started.0.saturating_add(millis(now.0))))
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
