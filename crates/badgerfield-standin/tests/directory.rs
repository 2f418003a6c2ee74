//! The directory of a large fleet must list all VMs that serve callers.

use std::time::Duration;

use badgerfield_core::Event;
use badgerfield_core::amount::Time;
use badgerfield_standin::fleet::{Fleet, Shape};

const VMS: usize = 48;
/// The number of VMs that start first. It is so small that all exchange heartbeats with each other.
const FIRST_VMS: usize = 10;

/// Sets whether the process of a VM serves callers.
fn set_serving(fleet: &Fleet, vm: usize, serving: bool) {
    let node = fleet.node(vm).expect("the VM runs");
    node.handle(Time::from_millis(1), Event::Serving(serving));
}

fn fleet() -> Fleet {
    let shape = Shape { regions: vec![VMS], seals: true, noise: 0, ..Shape::default() };
    Fleet::new(shape)
}

/// Members know from heartbeats which VMs do not serve callers. In a larger fleet they exchange
/// heartbeats with few members, but must still list a VM when it has begun to serve.
#[test]
fn vm_that_starts_to_serve_after_the_fleet_has_grown_is_listed() {
    let mut fleet = fleet();
    for vm in 0..FIRST_VMS {
        fleet.start(vm);
        set_serving(&fleet, vm, vm >= FIRST_VMS / 2);
    }
    fleet.advance(Duration::from_secs(3));
    for vm in FIRST_VMS..VMS {
        fleet.start(vm);
    }
    fleet.advance(Duration::from_secs(4));
    for vm in 0..FIRST_VMS {
        set_serving(&fleet, vm, true);
    }
    fleet.advance(Duration::from_secs(8));
    for vm in 0..VMS {
        let listed = fleet.directory_of(vm);
        assert_eq!(listed.len(), VMS, "VM {vm} lists {listed:?}");
    }
}
