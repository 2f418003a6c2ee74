//! Sealed tokens: rights that a process holds and promises not to touch for a while.
//!
//! A process holds tokens ahead for the time in which the platform may be away. Were all
//! processes to end at once, nobody could tell what was spent of them. So the ledger
//! records how much of a holding is sealed, and when that was said. The holder uses sealed
//! tokens at an even pace from then on, so that all may be used after [`FALLS`]; its successor
//! on the same VM knows how much of them cannot have been touched when it started, and gives
//! that back.
//!
//! What the promise rests on: one process at a time on a VM; the steady clock of the
//! holder; and a time that more than half of the fleet's clocks agree on, or in a large
//! fleet three quarters of those that a process hears. Where they do not agree nothing is claimed, which costs tokens and breaks nothing.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::amount::{Time, Tokens};
use crate::ids::{Incarnation, VmId};

/// Over how long what a holder promises not to touch falls to nothing.
///
/// It is a little less than the time for which tokens are held ahead, so that they last an outage
/// that is about as long.
/// Promised whole for 3.2 s and then not at all, what was held was lost where power went late in
/// an outage: 34,000 and 33,000 of 120,000 tokens of two accounts after 4.5 s, against 22,000 and
/// 13,000 so.
pub const FALLS: Duration = Duration::from_secs(10);
/// By how much clocks that agree may differ.
pub const AGREE: Duration = Duration::from_millis(250);

/// The part, in hundredths, of what a change hands out ahead of need that is sealed with it.
///
/// What is needed in the next moments stays free: it is what a holder leaves open at most.
const GRANT_SEALED: u64 = 60;

/// Returns how much of a grant is sealed from the start, by ledger and holder alike.
///
/// The change that draws carries the promise, so that what it hands out is not lost if all
/// processes end before the holder could say more.
#[must_use]
pub(crate) fn sealed_part(granted: Tokens, need: Tokens) -> Tokens {
    granted.saturating_sub(need).part(GRANT_SEALED, 100)
}

/// A time that the fleet's clocks agree on, in milliseconds since 1970.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FleetTime(pub u64);

/// What a holder says about its sealed tokens with each change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seal {
    /// The VM of the holder.
    pub vm: VmId,
    /// How much is sealed from now on.
    pub amount: Tokens,
    /// How much this change unseals.
    pub unsealed: Tokens,
    /// When this was said; nothing if the holder promises nothing.
    pub sealed_at: Option<FleetTime>,
    /// Over how many milliseconds the promise falls; nothing is claimed of a holder that does not
    /// say, since an older one may have touched all of it.
    #[serde(default)]
    pub decay_ms: u64,
    /// Earlier processes of this VM, and whether their sealed tokens go back.
    pub claims: Vec<SealClaim>,
}

/// What a process found of the sealed tokens of an earlier one on its VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealClaim {
    /// The earlier process.
    pub holder: Incarnation,
    /// How many of its sealed tokens are untouched; the others count as spent.
    pub unspent: Tokens,
}

/// What the ledger knows of a holder's sealed tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealRecord {
    /// The VM of the holder.
    #[serde(rename = "v")]
    pub vm: VmId,
    /// How much is sealed.
    #[serde(rename = "a")]
    pub amount: Tokens,
    /// When that was said.
    #[serde(rename = "t")]
    pub sealed_at: FleetTime,
    /// Over how many milliseconds the promise falls, or 0.
    #[serde(rename = "f", default)]
    pub decay_ms: u64,
}

impl SealRecord {
    /// Returns how much its holder had not touched at a time, if it ran so long.
    #[must_use]
    pub fn unspent_at(&self, at: FleetTime) -> Tokens {
        fallen(self.amount, at.0.saturating_sub(self.sealed_at.0), self.decay_ms)
    }
}

/// Returns how much of a sealed amount is still promised, so many milliseconds after it was said.
fn fallen(amount: Tokens, age: u64, falls: u64) -> Tokens {
    amount.part(falls.saturating_sub(age), falls)
}

/// Returns how much of what this process sealed is still promised, so long after it was said.
#[must_use]
pub(crate) fn promised(amount: Tokens, age: Duration) -> Tokens {
    fallen(amount, millis(age), falls_ms())
}

/// Returns how long after it was said no more than `least` is promised of what was sealed.
#[must_use]
pub(crate) fn falls_after(amount: Tokens, least: Tokens) -> Duration {
    // Rounded up: a promise that holds for a moment less than was said would be broken.
    let gone = amount.saturating_sub(least);
    let millis = falls_ms().saturating_mul(gone.0).div_ceil(amount.0.max(1));
    Duration::from_millis(millis)
}

/// Returns over how many milliseconds promises of this process fall.
#[must_use]
pub(crate) fn falls_ms() -> u64 {
    millis(FALLS)
}

/// Sealed tokens of an earlier process of a VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orphan {
    /// The earlier process.
    pub holder: Incarnation,
    /// What was sealed.
    pub amount: Tokens,
    /// When that was said.
    pub at: FleetTime,
    /// Over how many milliseconds the promise falls, or 0.
    pub falls_ms: u64,
}

impl Orphan {
    /// Returns how much is untouched, to a process that started at this time.
    #[must_use]
    pub fn untouched(&self, started: FleetTime) -> Tokens {
        let age = started.0.saturating_sub(self.at.0).saturating_add(millis(AGREE));
        fallen(self.amount, age, self.falls_ms)
    }
}

/// The fleet's time, as the clocks of members that were heard of late tell it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FleetClock {
    /// The fleet's time at the start of this process.
    pub started: Option<FleetTime>,
}

impl FleetClock {
    /// Reads the clock: each entry is a clock's time, less this process's own time since
    /// its start; `quorum` is how many clocks must agree.
    #[must_use]
    pub fn from_offsets(mut offsets: Vec<u64>, quorum: usize) -> Self {
        offsets.sort_unstable();
        let Some(middle) = offsets.get(offsets.len() / 2).copied() else {
            return Self::default();
        };
        let near = offsets.iter().filter(|o| o.abs_diff(middle) <= millis(AGREE)).count();
        let started = (near >= quorum).then_some(FleetTime(middle));
        Self { started }
    }

    /// Returns the fleet's time at a time of this process.
    #[must_use]
    pub fn time_at(self, now: Time) -> Option<FleetTime> {
        self.started.map(|started| FleetTime(started.0.saturating_add(millis(now.0))))
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
