//! Bootstrap: decides which starting processes read complete values from the store.
//!
//! All VMs of a region may start at once while the link to the store is slow. The templates and the
//! list of upstreams are tens of kilobytes each. If every VM read them itself, the reads would
//! delay each other until they time out and are repeated. Therefore only a few VMs of each region
//! read, and send the values to the others. If these VMs cannot read, others get a turn, but never
//! more than a few VMs of a region at a time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::amount::Time;
use crate::ids::{Incarnation, VmId};
use crate::view::{MAX_SMALL_VIEW_MEMBERS, Member, View};

/// The number of VMs of a region that read in a turn: the store may reject one of them.
const READERS_PER_TURN: usize = 2;
/// The duration of a turn: time for a response of the store over a congested link, and for two hops
/// between members.
const TURN_DURATION: Duration = Duration::from_secs(1);
/// The maximum number of turns in a cycle. In a larger region more VMs read in each turn, so that a
/// VM that receives no messages from others waits at most 8 s.
const MAX_TURNS: usize = 8;
/// The number of VMs that send their first request to the same VM: sending about 40 KB of templates
/// to each of them takes 0.13 s on the slowest VM link, 10 Mbit/s in the deployments this is
/// built for.
const CHILDREN_PER_PARENT: usize = 4;

/// Returns whether it is a process's turn to read complete values from the store.
///
/// `age` is the time since its start. `stored` is the view in the store, or `None` until it was
/// read; it lists the VMs, including those that have just started and have not joined.
pub(crate) fn can_read(age: Time, stored: Option<&View>, me: &Member) -> bool {
    let Some(view) = stored else {
        return false;
    };
    if view.members.len() <= MAX_SMALL_VIEW_MEMBERS {
        return true;
    }
    let (rank, count) = rank(view, me);
    let turns = count.div_ceil(READERS_PER_TURN).clamp(1, MAX_TURNS);
    let turn = age.0.as_millis() / TURN_DURATION.as_millis();
    usize::try_from(turn).unwrap_or_default() % turns == rank / READERS_PER_TURN % turns
}

/// Returns the member to which a process sends its first request for initial values, or `None` for
/// the first readers. The members form trees with the first readers at the roots, so that each
/// member sends the values to few others.
pub(crate) fn tree_parent(view: &View, me: &Member) -> Option<Incarnation> {
    let others = view.members.iter().filter(|m| m.region == me.region && m.vm != me.vm);
    let order: BTreeMap<u64, Incarnation> =
        others.map(|m| (vm_hash(&m.vm), m.incarnation)).collect();
    let rank = order.range(..vm_hash(&me.vm)).count();
    let parent = rank.checked_sub(READERS_PER_TURN)? / CHILDREN_PER_PARENT;
    order.values().nth(parent).copied()
}

/// Returns the rank of this VM among those of its region, by an order that is the same for all
/// members, and the number of VMs in the region.
fn rank(view: &View, me: &Member) -> (usize, usize) {
    let others = view.members.iter().filter(|m| m.region == me.region && m.vm != me.vm);
    let others: BTreeSet<u64> = others.map(|m| vm_hash(&m.vm)).collect();
    (others.range(..vm_hash(&me.vm)).count(), others.len() + 1)
}

/// Returns the hash that determines the order of VMs.
fn vm_hash(vm: &VmId) -> u64 {
    xxh3_64(vm.as_str().as_bytes())
}
