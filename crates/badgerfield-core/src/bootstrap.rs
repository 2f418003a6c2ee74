//! Who reads whole values from the platform when a process starts and knows nothing yet.
//!
//! The load that this answers: all VMs of a region start at once, and the platform stands
//! behind a thin link. The templates and the list of upstreams are tens of kilobytes each, and
//! each VM that reads them for itself delays the answers to all others, until these are given
//! up and asked for again. So a few of each region read, and give the rest what they read.
//! Should they be unable to, others have their turn, and never more of a region than a few at a
//! time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::amount::Time;
use crate::ids::{Incarnation, VmId};
use crate::view::{MAX_SMALL_VIEW_MEMBERS, Member, View};

/// How many VMs of a region read at once: one may be turned away by the platform.
const AT_ONCE: usize = 2;
/// How long the turn of these lasts: an answer of the platform over a link that others fill,
/// and two hops between members.
const TURN: Duration = Duration::from_secs(1);
/// The most turns until the first VMs have theirs again. In a larger region more of them read in
/// each turn, so that one which hears no other VM waits 8 s at the most.
const TURNS: usize = 8;
/// How many VMs ask the same one first: the templates of some 40 KB for all of them take 0.13 s
/// of the slowest VM's link, 10 Mbit/s on the users' sheets.
const CHILDREN: usize = 4;

/// Tells whether a process reads whole values for itself, so long after its start.
///
/// `stored` is the view that the platform holds, nothing while that has not been read: it
/// names the VMs, those included that have just started and have not joined.
pub(crate) fn can_read(age: Time, stored: Option<&View>, me: &Member) -> bool {
    let Some(view) = stored else {
        return false;
    };
    if view.members.len() <= MAX_SMALL_VIEW_MEMBERS {
        return true;
    }
    let (place, count) = place(view, me);
    let turns = count.div_ceil(AT_ONCE).clamp(1, TURNS);
    let turn = age.0.as_millis() / TURN.as_millis();
    usize::try_from(turn).unwrap_or_default() % turns == place / AT_ONCE % turns
}

/// Returns the member that a process asks first for what it knows nothing of: those that read
/// at once stand at the root of a tree, in which each member has few to tell.
pub(crate) fn tree_parent(view: &View, me: &Member) -> Option<Incarnation> {
    let near = view.members.iter().filter(|m| m.region == me.region && m.vm != me.vm);
    let order: BTreeMap<u64, Incarnation> = near.map(|m| (number(&m.vm), m.incarnation)).collect();
    let place = order.range(..number(&me.vm)).count();
    let parent = place.checked_sub(AT_ONCE)? / CHILDREN;
    order.values().nth(parent).copied()
}

/// Returns how many VMs of the region come before this one, by an order that all know, and
/// how many there are.
fn place(view: &View, me: &Member) -> (usize, usize) {
    let near = view.members.iter().filter(|m| m.region == me.region && m.vm != me.vm);
    let others: BTreeSet<u64> = near.map(|m| number(&m.vm)).collect();
    (others.range(..number(&me.vm)).count(), others.len() + 1)
}

/// Returns the number by which VMs are ordered.
fn number(vm: &VmId) -> u64 {
    xxh3_64(vm.as_str().as_bytes())
}
