//! Bootstrap: decides which starting processes read complete values from the store.
//!
//! All VMs of a region may start at once while the link to the store is slow. The templates and the
//! list of upstreams are tens of kilobytes each. If every VM read them itself, the reads would
//! delay each other until they time out and are repeated. Therefore only a few VMs of each region
//! read, and send the values to the others. If these VMs cannot read, others get a turn, twice
//! as many in each.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::amount::Time;
use crate::ids::{Incarnation, VmId};
use crate::view::{MAX_SMALL_VIEW_MEMBERS, Member, View};

/// The number of VMs of a region that read in the first turn: the store may reject one of them.
const FIRST_READERS: usize = 2;
/// The duration of a turn: time for a response of the store over a congested link, and for two hops
/// between members.
const TURN_DURATION: Duration = Duration::from_secs(1);
/// How long a process that is not in the view waits for being added before it reads complete values
/// itself. A fleet that starts is in its view within a second or two.
pub(crate) const JOIN_PATIENCE: Duration = Duration::from_secs(3);
/// The number of turns over which processes that are not in a small view are spread.
const UNLISTED_TURNS: u64 = 8;
/// The number of VMs that send their first request to the same VM: sending about 40 KB of templates
/// to each of them takes 0.13 s on the slowest VM link, 10 Mbit/s in the deployments this is
/// built for.
const CHILDREN_PER_PARENT: usize = 4;
/// The maximum number of members that a process remembers until it has what they asked for. Others
/// ask again.
pub const MAX_WAITERS: usize = 8;

/// Returns whether it is a process's turn to read complete values from the store.
///
/// `age` is the time since its start, or since it knows that the fleet is large. `newest` is the
/// newest view that it knows, or `None` if it knows none; it lists the VMs, including those that
/// have just started and have not joined. In each turn
/// twice as many VMs read as in the one before, so that the number of reads is small while the
/// values arrive, and each VM has had its turn after a number of turns that grows with the
/// logarithm of the region's size.
pub(crate) fn can_read(age: Time, newest: Option<&View>, me: &Member) -> bool {
    let Some(view) = newest else {
        return false;
    };
    let turn = age.0.as_millis() / TURN_DURATION.as_millis();
    if view.members.len() <= MAX_SMALL_VIEW_MEMBERS {
        // The view of a fleet that is starting is small for a moment. If each process read the
        // values meanwhile, the reads of a large fleet would fill the store's link.
        let own_turn = u128::from(vm_hash(&me.vm) % UNLISTED_TURNS);
        let has_waited = age.0 >= JOIN_PATIENCE && turn % u128::from(UNLISTED_TURNS) == own_turn;
        return view.has_member(me.incarnation) || has_waited;
    }
    let turns = turn_of_rank(region_size(view, me) - 1) + 1;
    turn % u128::from(turns) == u128::from(turn_of(view, me))
}

/// Returns the turn of this VM among those of its region, which is 0 for the first two VMs.
pub(crate) fn turn_of(view: &View, me: &Member) -> u32 {
    turn_of_rank(rank(view, me))
}

fn turn_of_rank(rank: usize) -> u32 {
    if rank < FIRST_READERS { 0 } else { (rank / FIRST_READERS).ilog2() + 1 }
}

/// Returns the member to which a process sends its first request for initial values, or `None` for
/// the first readers. The members form trees with the first readers at the roots, so that each
/// member sends the values to few others.
pub(crate) fn tree_parent(view: &View, me: &Member) -> Option<Incarnation> {
    let others = view.members.iter().filter(|m| m.region == me.region && m.vm != me.vm);
    let order: BTreeMap<Position, Incarnation> =
        others.map(|m| (position(m), m.incarnation)).collect();
    let rank = order.range(..position(me)).count();
    let parent = rank.checked_sub(FIRST_READERS)? / CHILDREN_PER_PARENT;
    order.values().nth(parent).copied()
}

/// Returns the rank of this VM among those of its region, by an order that is the same for all
/// members.
fn rank(view: &View, me: &Member) -> usize {
    let own = position(me);
    let others = view.members.iter().filter(|m| m.region == me.region && m.vm != me.vm);
    let before: BTreeSet<Position> = others.map(position).filter(|other| *other < own).collect();
    before.len()
}

/// Returns the number of VMs in the region of a process, with its own.
fn region_size(view: &View, me: &Member) -> usize {
    view.members.iter().filter(|m| m.region == me.region && m.vm != me.vm).count() + 1
}

/// The position of a VM in the order of its region.
type Position = (Reverse<u32>, u64);

/// Returns the position of a member's VM: VMs with the most capacity come first, since they read and
/// send the values to others.
fn position(member: &Member) -> Position {
    (Reverse(member.capacity_class()), vm_hash(&member.vm))
}

/// Returns the hash that determines the order of VMs of one capacity.
fn vm_hash(vm: &VmId) -> u64 {
    xxh3_64(vm.as_str().as_bytes())
}
