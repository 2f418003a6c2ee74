//! The views of a fleet in which each VM in turn stops and starts again, too fast for any view to
//! become complete.

use badgerfield_core::ids::Incarnation;
use badgerfield_core::view::{Member, MemberState, View};

/// The number of VMs.
pub(crate) const VMS: u64 = 72;
/// The number of stops: each VM stops four times.
pub(crate) const STOPS: u64 = 4 * VMS;

fn member(vm: u64, life: u64) -> Member {
    Member {
        vm: format!("edge-pnw-{vm}").parse().expect("the name is valid"),
        incarnation: Incarnation((life * VMS + vm + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        region: "pnw".parse().expect("the name is valid"),
        domain: "pnw-puget".parse().expect("the name is valid"),
        peer: ([10, 1, 0, 40], 7340).into(),
        caller: ([10, 1, 0, 40], 8227).into(),
        standing: MemberState::Active,
        link_mbps: 20,
    }
}

/// Returns the views of all stops and starts.
pub(crate) fn views() -> impl Iterator<Item = View> {
    let joiners = (0..VMS).map(|vm| member(vm, 0)).collect();
    let start = View::default().with_announced(joiners, 1, true);
    let stops = (0..STOPS).scan(start, |view, stop| {
        let (vm, life) = (stop % VMS, stop / VMS);
        let id = member(vm, life).incarnation;
        let leaving = view.with_leaving(id, false);
        let without = leaving.without_members(&[id], false);
        let joined = without.with_announced(vec![member(vm, life + 1)], stop + 2, false);
        *view = joined.clone();
        Some([leaving, without, joined])
    });
    stops.flatten()
}
