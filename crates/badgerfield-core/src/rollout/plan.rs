//! When a roll-out takes its steps.

use std::time::Duration;

use super::RolloutBound;
use crate::amount::Percent;

/// How long it takes to write the record twice, to tell all members, and to hear from them at
/// their pace, even if one answer of the platform is lost (a call is given up after a second).
const TELL: Duration = Duration::from_secs(4);
/// How much earlier than the deadline everything should be over: an order may be heard of late,
/// and clocks of a fleet agree to a second.
const MARGIN: Duration = Duration::from_secs(2);
/// The part of the platform's share that tries the target, in tenths: the rest is for what is
/// sent again and for routes with few requests, whose share comes out uneven.
const CANARY_TENTHS: u64 = 7;

impl RolloutBound {
    /// Returns which part of the requests tries the target.
    #[must_use]
    pub fn canary(&self) -> Percent {
        let share = u64::from(self.share);
        // A share of one in a hundred has no smaller whole part but none.
        let part = (share * CANARY_TENTHS / 10).max(u64::from(share > 0));
        Percent::new(part).unwrap_or(self.share)
    }
}

/// Returns how long after an order all requests should begin to move, so that those that run
/// elsewhere end in time; `longest` is how long one may run.
///
/// A version that turns bad after that is beyond the bound, so it is as late as can be.
#[must_use]
pub fn moves_after(span: Duration, longest: Duration) -> Duration {
    let lead = longest.saturating_add(TELL).saturating_add(MARGIN);
    span.saturating_sub(lead.min(span / 2))
}

/// Returns how long after an order its end is settled at the latest, where the time for moving
/// came too early for evidence.
#[must_use]
pub fn latest(span: Duration, moves_after: Duration) -> Duration {
    moves_after + span.saturating_sub(moves_after) / 2
}
