//! How the processes of a large fleet get into the view when all start at once.

use std::time::Duration;

use badgerfield_core::Event;
use badgerfield_core::amount::{Time, Tokens};
use badgerfield_core::event::{Command, ReserveRequest, StoreCall, StoreKey, Versioned};
use badgerfield_core::ids::ReservationId;
use badgerfield_standin::fleet::{Fleet, Shape};

const VMS: usize = 80;
/// How many writes to the platform a process may cost, on average.
const WRITES: u64 = 7;

fn fleet() -> Fleet {
    let shape = Shape { regions: vec![VMS], seals: true, noise: 0, ..Shape::default() };
    Fleet::new(shape)
}

fn start_all(fleet: &mut Fleet) {
    for vm in 0..VMS {
        fleet.start(vm);
    }
    fleet.advance(Duration::from_secs(4));
    assert_eq!(fleet.usable().len(), VMS, "not all are in the view");
}

#[test]
fn all_join_with_few_writes() {
    let mut fleet = fleet();
    start_all(&mut fleet);
    // Writes that met another value are counted among them.
    let writes = fleet.platform.writes;
    let most = WRITES * u64::try_from(VMS).expect("few VMs");
    assert!(writes <= most, "{writes} writes for {VMS} processes");
}

#[test]
fn all_join_again_after_all_have_ended() {
    let mut fleet = fleet();
    start_all(&mut fleet);
    let before = fleet.platform.writes;
    for vm in 0..VMS {
        fleet.kill(vm);
    }
    fleet.advance(Duration::from_secs(1));
    start_all(&mut fleet);
    let writes = fleet.platform.writes - before;
    let most = WRITES * u64::try_from(VMS).expect("few VMs");
    assert!(writes <= most, "{writes} writes for {VMS} processes");
}

#[test]
fn everybody_learns_the_whole_view() {
    for seed in 1..=6 {
        let shape = Shape { regions: vec![VMS], seals: true, noise: 0, seed, ..Shape::default() };
        let mut fleet = Fleet::new(shape);
        // Some are members while the fleet is small, and hear from few of the others later.
        for vm in 0..VMS {
            fleet.start(vm);
            if vm == 11 {
                fleet.advance(Duration::from_millis(700));
            }
        }
        fleet.advance(Duration::from_secs(4));
        for vm in 0..VMS {
            let known = fleet.node(vm).map_or(0, |node| node.view().members.len());
            assert_eq!(known, VMS, "seed {seed}: what VM {vm} knows");
        }
    }
}

/// Tells whether an order reads or writes the ledger.
fn is_about_ledger(order: &Command) -> bool {
    match order {
        Command::CallStore(
            _,
            StoreCall::Get(name) | StoreCall::CompareAndSwap { key: name, .. },
        ) => {
            matches!(name, StoreKey::Ledger(_))
        }
        _ => false,
    }
}

#[test]
fn who_has_not_joined_yet_leaves_the_ledger_to_its_writers() {
    let mut fleet = fleet();
    fleet.start(0);
    let node = fleet.node(0).expect("the VM runs");
    let value = Some(fleet.templates.encode().into());
    let at = Time::from_millis;
    node.handle(at(1), Event::Templates(Versioned { value, revision: 1 }));
    let (id, budget) = (ReservationId(1), Fleet::budget(0));
    let ask = ReserveRequest { id, budget, amount: Tokens(100), deadline: at(900) };
    let mut orders = node.handle(at(2), Event::Reserve(ask));
    for tick in 1..=20 {
        orders.extend(node.handle(at(tick * 50), Event::Tick));
    }
    assert!(!orders.iter().any(is_about_ledger), "{orders:?}");
    // It waits for the view, and no longer than it may.
    let refused = orders.iter().any(|o| matches!(o, Command::AnswerReserve(_, Err(_))));
    assert!(refused, "{orders:?}");
}
