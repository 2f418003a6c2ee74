//! What the directory of a large fleet names.

use std::time::Duration;

use badgerfield_core::Event;
use badgerfield_core::amount::Time;
use badgerfield_standin::fleet::{Fleet, Shape};

const VMS: usize = 48;
/// How many VMs start first, few enough that all hear each other.
const FIRST: usize = 10;

/// Tells the process of a VM whether it serves callers.
fn set_serving(fleet: &Fleet, vm: usize, serving: bool) {
    let node = fleet.node(vm).expect("the VM runs");
    node.handle(Time::from_millis(1), Event::Serving(serving));
}

fn fleet() -> Fleet {
    let shape = Shape { regions: vec![VMS], seals: true, noise: 0, ..Shape::default() };
    Fleet::new(shape)
}

#[test]
fn a_vm_that_did_not_serve_while_the_fleet_was_small_is_named_once_it_does() {
    let mut fleet = fleet();
    for vm in 0..FIRST {
        fleet.start(vm);
        set_serving(&fleet, vm, vm >= FIRST / 2);
    }
    fleet.advance(Duration::from_secs(3));
    for vm in FIRST..VMS {
        fleet.start(vm);
    }
    fleet.advance(Duration::from_secs(4));
    for vm in 0..FIRST {
        set_serving(&fleet, vm, true);
    }
    fleet.advance(Duration::from_secs(8));
    for vm in 0..VMS {
        let named = fleet.directory_of(vm);
        assert_eq!(named.len(), VMS, "VM {vm} names {named:?}");
    }
}
