//! The wall clocks of this VM and of the members that it hears from.

use super::Membership;
use crate::amount::Time;
use crate::seal::FleetClock;
use crate::view::MAX_SMALL_VIEW_MEMBERS;

impl Membership {
    /// Sets this VM's wall clock, in milliseconds.
    pub(crate) fn set_wall_ms(&mut self, now: Time, wall_ms: u64) {
        self.wall_offset = Some(wall_ms.saturating_sub(to_millis(now)));
    }

    /// Returns this VM's wall clock in milliseconds, if it is known.
    pub(crate) fn wall_ms(&self, now: Time) -> Option<u64> {
        self.wall_offset.map(|offset| offset.saturating_add(to_millis(now)))
    }

    /// Returns the fleet's clock, from the clocks of this VM and of all members that sent a
    /// heartbeat recently.
    pub(crate) fn fleet_clock(&self, now: Time) -> FleetClock {
        let recent = self
            .contacts
            .values()
            .filter(|contact| now.since(contact.last_heartbeat) < self.unresponsive_after);
        let offsets =
            recent.filter_map(|contact| contact.wall_offset).chain(self.wall_offset).collect();
        FleetClock::from_offsets(offsets, self.clock_quorum())
    }

    /// Returns how many clocks must agree.
    ///
    /// In a small view more than half of all clocks must agree. In a large view, where only some
    /// members send heartbeats to this process, three quarters of the clocks of this process and of
    /// these members must agree.
    fn clock_quorum(&self) -> usize {
        let members = self.view.members.len();
        if members <= MAX_SMALL_VIEW_MEMBERS {
            return members / 2 + 1;
        }
        let clocks = self.watched().count() + 1;
        (clocks * 3).div_ceil(4)
    }
}

/// Returns a time in milliseconds.
pub(super) fn to_millis(now: Time) -> u64 {
    u64::try_from(now.0.as_millis()).unwrap_or(u64::MAX)
}
