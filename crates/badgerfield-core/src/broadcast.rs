//! Telling every member something with one message each.
//!
//! Members stand in a ring by number. Whoever has news sends it to members at doubling steps
//! before it, and with it the stretch of the ring that each has to pass it on to. Each member
//! gets it once, after as many steps as the fleet's size has binary digits. The steps lead to
//! those whose signs of life come here, so that one which is silent is passed over. Nothing is
//! acknowledged: what is lost is made up for by comparing digests.

use crate::ids::Incarnation;
use crate::view::View;

/// One member that is sent the news, and how many members before it in the ring it tells.
pub(crate) type Leg = (Incarnation, u32);

/// Returns to whom a process sends news that it has to pass on to `reach` members before it.
pub(crate) fn legs(
    view: &View,
    me: Incarnation,
    reach: u32,
    is_silent: impl Fn(Incarnation) -> bool,
) -> Vec<Leg> {
    let count = view.members.len();
    let Some(place) = view.members.iter().position(|m| m.incarnation == me) else {
        return Vec::new();
    };
    let reach = usize::try_from(reach).unwrap_or(usize::MAX).min(count - 1);
    let mut legs = Vec::new();
    let mut start = 1;
    while start <= reach {
        let end = (start * 2 - 1).min(reach);
        // The first of a stretch that is not known to be silent tells the rest of it.
        for step in start..=end {
            let Some(member) = view.members.get((place + count - step) % count) else {
                continue;
            };
            if is_silent(member.incarnation) && step < end {
                continue;
            }
            legs.push((member.incarnation, u32::try_from(end - step).unwrap_or(u32::MAX)));
            break;
        }
        start *= 2;
    }
    legs
}

/// Returns how many members one that has news itself has to tell.
pub(crate) fn all(view: &View) -> u32 {
    u32::try_from(view.members.len().saturating_sub(1)).unwrap_or(u32::MAX)
}
