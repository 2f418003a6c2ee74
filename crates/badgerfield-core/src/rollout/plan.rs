//! The schedule of a rollout.

use std::time::Duration;

use super::RolloutBound;
use crate::amount::Percent;

/// Time to write the record twice, to announce it to all members and to receive their periodic
/// reports, even if one reply of the store is lost (a call times out after one second).
const PROPAGATION_TIME: Duration = Duration::from_secs(4);
/// Time between the planned end and the deadline: an order may be received late, and the clocks of
/// a fleet agree to within a second.
const DEADLINE_MARGIN: Duration = Duration::from_secs(2);
/// Share of the platform's limit that is sent to the target, in tenths. The rest is left for
/// retries and for routes with few requests, whose share is uneven.
const CANARY_TENTHS: u64 = 7;

impl RolloutBound {
    /// Returns the share of the requests that is sent to the target during the canary.
    #[must_use]
    pub fn canary_share(&self) -> Percent {
        let limit = u64::from(self.share);
        // Seven tenths of a limit of one percent would round down to zero.
        let share = (limit * CANARY_TENTHS / 10).max(u64::from(limit > 0));
        Percent::new(share).unwrap_or(self.share)
    }
}

/// Returns how long after an order all requests should begin to move, so that requests that run
/// elsewhere end in time. A request may run for `max_duration`.
///
/// The limits do not cover a version that turns bad after this time, so the move starts as late as
/// possible.
#[must_use]
pub fn move_start(span: Duration, max_duration: Duration) -> Duration {
    let lead = max_duration.saturating_add(PROPAGATION_TIME).saturating_add(DEADLINE_MARGIN);
    span.saturating_sub(lead.min(span / 2))
}

/// Returns how long after an order its requests begin to move, or go back, at the latest. It
/// applies if there is too little evidence at `move_start`.
#[must_use]
pub fn latest_move_start(span: Duration, move_start: Duration) -> Duration {
    move_start + span.saturating_sub(move_start) / 2
}
