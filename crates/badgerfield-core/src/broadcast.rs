//! Broadcasts of an update to all members, with one message to each member.
//!
//! The members of a region form a ring, ordered by incarnation. The origin of an update sends it to
//! the members at the distances 1, 2, 4, 8 and so on before it. Each message carries a reach: the
//! number of members before the receiver to which the receiver forwards the update. The origin also
//! sends the update to one member of each other region, which forwards it to all members of that
//! region.
//!
//! Each member receives the update once, after at most as many hops as the fleet's size has binary
//! digits, and the update crosses to each region once. The members at these distances are those
//! that send heartbeats to this process, so that it does not rely on unresponsive ones to forward
//! the update. These are sent it as well: a member whose own messages wait may still receive, and
//! cannot fetch what it lacks. Messages are not acknowledged: members compare digests to find
//! updates that were lost.

use std::collections::BTreeMap;

use crate::ids::{Incarnation, Region};
use crate::view::{Member, View};

/// A member that is sent an update, and its reach: to how many members before it in the ring of
/// its region it forwards the update.
pub(crate) type BroadcastTarget = (Incarnation, u32);

/// Returns the members to which a process sends an update that has to reach the `reach` members
/// before it.
///
/// If the reach is that of the whole fleet, which only the origin of an update has, the update
/// goes to the other regions as well.
pub(crate) fn targets(
    view: &View,
    me: Incarnation,
    reach: u32,
    is_silent: impl Fn(Incarnation) -> bool,
) -> Vec<BroadcastTarget> {
    let Some(region) = view.member(me).map(|m| &m.region) else {
        return Vec::new();
    };
    let mut rings: BTreeMap<&Region, Vec<&Member>> = BTreeMap::new();
    for member in &view.members {
        rings.entry(&member.region).or_default().push(member);
    }
    let own = rings.remove(region).unwrap_or_default();
    let mut targets = ring_targets(&own, me, reach, &is_silent);
    if reach < full_reach(view) {
        return targets;
    }
    for ring in rings.values() {
        // The entry into the ring depends on the origin's incarnation, so that the members of the
        // region share the work of forwarding.
        let start = ring.partition_point(|m| m.incarnation < me);
        let mut candidates = ring.iter().cycle().skip(start).take(ring.len());
        let first = candidates.clone().next();
        if let Some(member) = candidates.find(|m| !is_silent(m.incarnation)).or(first) {
            targets.push((member.incarnation, to_count(ring.len() - 1)));
        }
    }
    targets
}

/// Returns the members of a ring to which one of them sends an update for the `reach` members
/// before it.
fn ring_targets(
    ring: &[&Member],
    me: Incarnation,
    reach: u32,
    is_silent: impl Fn(Incarnation) -> bool,
) -> Vec<BroadcastTarget> {
    let count = ring.len();
    let Some(index) = ring.iter().position(|m| m.incarnation == me) else {
        return Vec::new();
    };
    let reach = usize::try_from(reach).unwrap_or(usize::MAX).min(count - 1);
    let mut targets = Vec::new();
    let mut start = 1;
    while start <= reach {
        let end = (start * 2 - 1).min(reach);
        // The first member of a range that is not known to be silent forwards to the rest of it. A
        // silent one before it is sent the update too: it may only be unable to send.
        for distance in start..=end {
            let Some(member) = ring.get((index + count - distance) % count) else {
                continue;
            };
            let is_skipped = is_silent(member.incarnation) && distance < end;
            let reach = if is_skipped { 0 } else { to_count(end - distance) };
            targets.push((member.incarnation, reach));
            if !is_skipped {
                break;
            }
        }
        start *= 2;
    }
    targets
}

fn to_count(members: usize) -> u32 {
    u32::try_from(members).unwrap_or(u32::MAX)
}

/// Returns the reach of the origin of an update: all other members.
pub(crate) fn full_reach(view: &View) -> u32 {
    to_count(view.members.len().saturating_sub(1))
}
