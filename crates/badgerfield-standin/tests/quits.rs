//! Planned stops during an outage of the store: a process hands over its claims under the view in
//! which it leaves, so it must have left before it quits.

use std::collections::BTreeSet;
use std::time::Duration;

use badgerfield_core::view::MemberState;
use badgerfield_standin::fleet::{Fleet, FleetConfig};

const VMS: usize = 24;
const STOPS: usize = 8;
const OUTAGE: Duration = Duration::from_secs(6);
const STEP: Duration = Duration::from_millis(10);

/// Guards against claims that are lost with a process which quits in the same view in which it
/// leaves: nobody has been asked to take them over by then.
#[test]
fn no_process_quits_before_a_view_in_which_it_leaves() {
    for seed in 1..=3 {
        let config =
            FleetConfig { regions: vec![VMS], seals: true, seed, ..FleetConfig::default() };
        let mut fleet = Fleet::started(config);
        let stopping: Vec<_> =
            (0..STOPS).map(|vm| fleet.node(vm).expect("the VM runs").id()).collect();
        fleet.store.down = true;
        for vm in 0..STOPS {
            fleet.stop(vm);
        }
        fleet.advance(OUTAGE);
        fleet.store.down = false;
        let mut has_left = BTreeSet::new();
        for _ in 0..400 {
            fleet.advance(STEP);
            let view = fleet.store.view();
            let leaving = view.members.iter().filter(|m| m.standing == MemberState::Leaving);
            has_left.extend(leaving.map(|m| m.incarnation));
            for id in stopping.iter().filter(|id| !view.has_member(**id)) {
                assert!(has_left.contains(id), "seed {seed}: {id} quit and had not left");
            }
        }
        let view = fleet.store.view();
        assert!(stopping.iter().all(|id| !view.has_member(*id)), "seed {seed}: a member stayed");
    }
}
