//! Sealed tokens: tokens of a holding that its holder promises not to spend for a while.
//!
//! A process holds tokens ahead of demand for outages of the store. If all processes end at once,
//! no process knows how much of them was spent. Therefore the ledger records how much of a holding
//! is sealed, and how the promise decays: it covers all of the amount until the holder has probably
//! spent its unsealed tokens, then decays linearly, and has ended after [`PROMISE_SPAN`]. The
//! holder's successor on the same VM computes how many of the sealed tokens cannot have been spent
//! when it started, and returns them to the ledger.
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

/// The age at which a promise has ended.
///
/// It is a little shorter than the span of demand that is held ahead, so that the tokens last for
/// an outage of about that length.
///
/// The decay is linear, so that less is lost when power fails late in an outage than by a promise
/// of the whole amount that ends at once.
pub const PROMISE_SPAN: Duration = Duration::from_secs(10);
/// The longest time after which a promise begins to decay. A holder spends only unsealed tokens in
/// this time, and leaves about two seconds of demand unsealed.
pub(crate) const MAX_DECAY_DELAY: Duration = Duration::from_millis(2500);
/// The maximum difference between clocks that agree.
pub const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_millis(250);

/// The percentage of the tokens granted beyond the need that is sealed from the start.
///
/// The rest stays unsealed for the next requests. It is the largest part that a holder leaves
/// unsealed for its demand.
const GRANT_SEALED_PERCENT: u64 = 60;

/// Returns how much of a grant is sealed from the start, for the ledger as for the holder.
///
/// The operation that requests the tokens carries the promise, so that the grant is not lost if all
/// processes end before the holder sends another operation.
#[must_use]
pub(crate) fn sealed_part(granted: Tokens, need: Tokens) -> Tokens {
    granted.saturating_sub(need).part(GRANT_SEALED_PERCENT, 100)
}

/// A time that the fleet's clocks agree on, in milliseconds since 1970.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FleetTime(pub u64);

/// The holder's statement on its sealed tokens, sent with each operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seal {
    /// The VM of the holder.
    pub vm: VmId,
    /// The amount that is promised to stay unspent.
    pub amount: Tokens,
    /// The amount that this operation unseals.
    pub unsealed: Tokens,
    /// The time at which the promise begins to decay; `None` if the holder promises nothing.
    pub decays_from: Option<FleetTime>,
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
    /// The time at which the promise begins to decay.
    #[serde(rename = "t")]
    pub decays_from: FleetTime,
    /// The span over which the promise decays, in milliseconds; 0 if the holder did not send it.
    #[serde(rename = "f", default)]
    pub decay_ms: u64,
}

impl SealRecord {
    /// Returns the amount that the holder could not have spent at a time.
    #[must_use]
    pub fn unspent_at(&self, at: FleetTime) -> Tokens {
        decayed(self.amount, at.0.saturating_sub(self.decays_from.0), self.decay_ms)
    }
}

/// Returns how much of a sealed amount is still promised `elapsed_ms` after its promise has begun to
/// decay.
fn decayed(amount: Tokens, elapsed_ms: u64, decay_ms: u64) -> Tokens {
    amount.part(decay_ms.saturating_sub(elapsed_ms), decay_ms)
}

/// Returns how much of an amount is still promised some time after its promise has begun to decay.
#[must_use]
pub(crate) fn promised_after(amount: Tokens, elapsed: Duration, decay_span: Duration) -> Tokens {
    decayed(amount, millis(elapsed), millis(decay_span))
}

/// Returns how long a promise must decay until at most `remaining` of its amount is left.
#[must_use]
pub(crate) fn decay_time(amount: Tokens, remaining: Tokens, decay_span: Duration) -> Duration {
    // Rounded up: the promise must not end earlier than declared.
    let decayed_amount = amount.saturating_sub(remaining);
    let millis = millis(decay_span).saturating_mul(decayed_amount.0).div_ceil(amount.0.max(1));
    Duration::from_millis(millis)
}

/// The sealed tokens of an earlier process on the same VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrphanedSeal {
    /// The earlier process.
    pub holder: Incarnation,
    /// The amount that was sealed.
    pub amount: Tokens,
    /// The time at which the promise begins to decay.
    pub decays_from: FleetTime,
    /// The span over which the promise decays, in milliseconds; 0 if the holder did not send it.
    pub decay_ms: u64,
}

impl OrphanedSeal {
    /// Returns the amount that is unspent if the successor started at this time.
    #[must_use]
    pub fn unspent_at(&self, started: FleetTime) -> Tokens {
        let latest_start = started.0.saturating_add(millis(MAX_CLOCK_DIFFERENCE));
        let elapsed_ms = latest_start.saturating_sub(self.decays_from.0);
        decayed(self.amount, elapsed_ms, self.decay_ms)
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

pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
