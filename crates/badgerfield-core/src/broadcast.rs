//! Telling every member something with one message each.
//!
//! The members of a region stand in a ring by number. Whoever has news sends it to the members 1,
//! 2, 4, 8 and so on places before it, and tells each how many members before that one it has to
//! pass the news on to: its reach. One member of each other region is sent it too, and passes it
//! on to the whole of that region. Each member gets it once, after as many steps as the fleet's
//! size has binary digits, and it crosses to each region once. The steps lead to those whose signs
//! of life come here, so that one which is silent is passed over. Nothing is acknowledged: what is lost is made up for by comparing digests.

use std::collections::BTreeMap;

use crate::ids::{Incarnation, Region};
use crate::view::{Member, View};

/// One member that is sent the news, and how many members of its region before it in the ring
/// it tells.
pub(crate) type Leg = (Incarnation, u32);

/// Returns to whom a process sends news that it has to pass on to `reach` members before it.
///
/// A reach of the whole fleet, which only one that has news itself is given, leads to the other
/// regions as well.
pub(crate) fn legs(
    view: &View,
    me: Incarnation,
    reach: u32,
    is_silent: impl Fn(Incarnation) -> bool,
) -> Vec<Leg> {
    let Some(region) = view.member(me).map(|m| &m.region) else {
        return Vec::new();
    };
    let mut rings: BTreeMap<&Region, Vec<&Member>> = BTreeMap::new();
    for member in &view.members {
        rings.entry(&member.region).or_default().push(member);
    }
    let own = rings.remove(region).unwrap_or_default();
    let mut legs = legs_within(&own, me, reach, &is_silent);
    if reach < full_reach(view) {
        return legs;
    }
    for ring in rings.values() {
        // Whoever has the news is some way round the ring, so that regions share the work.
        let start = ring.partition_point(|m| m.incarnation < me);
        let mut order = ring.iter().cycle().skip(start).take(ring.len());
        let first = order.clone().next();
        if let Some(member) = order.find(|m| !is_silent(m.incarnation)).or(first) {
            legs.push((member.incarnation, count_of(ring.len() - 1)));
        }
    }
    legs
}

/// Returns to whom a member of a ring sends news for `reach` members before it.
fn legs_within(
    ring: &[&Member],
    me: Incarnation,
    reach: u32,
    is_silent: impl Fn(Incarnation) -> bool,
) -> Vec<Leg> {
    let count = ring.len();
    let Some(place) = ring.iter().position(|m| m.incarnation == me) else {
        return Vec::new();
    };
    let reach = usize::try_from(reach).unwrap_or(usize::MAX).min(count - 1);
    let mut legs = Vec::new();
    let mut start = 1;
    while start <= reach {
        let end = (start * 2 - 1).min(reach);
        // The first of a stretch that is not known to be silent tells the rest of it.
        for step in start..=end {
            let Some(member) = ring.get((place + count - step) % count) else {
                continue;
            };
            if is_silent(member.incarnation) && step < end {
                continue;
            }
            legs.push((member.incarnation, count_of(end - step)));
            break;
        }
        start *= 2;
    }
    legs
}

fn count_of(members: usize) -> u32 {
    u32::try_from(members).unwrap_or(u32::MAX)
}

/// Returns the reach of one that has news itself: all members but it.
pub(crate) fn full_reach(view: &View) -> u32 {
    count_of(view.members.len().saturating_sub(1))
}
