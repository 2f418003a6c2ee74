//! Joining of the view by all processes of a large fleet at once.

use std::time::Duration;

use badgerfield_core::Event;
use badgerfield_core::amount::{Time, Tokens};
use badgerfield_core::event::{
    Command, ReserveRequest, StoreCall, StoreKey, StoreResult, Versioned,
};
use badgerfield_core::ids::ReservationId;
use badgerfield_standin::fleet::{Fleet, FleetConfig};

const VMS: usize = 80;
/// The maximum number of writes to the store per process, on average.
const MAX_WRITES: u64 = 7;

fn fleet() -> Fleet {
    let config = FleetConfig {
        regions: vec![VMS],
        seals: true,
        noise_permille: 0,
        ..FleetConfig::default()
    };
    Fleet::new(config)
}

fn start_all(fleet: &mut Fleet) {
    for vm in 0..VMS {
        fleet.start(vm);
    }
    fleet.advance(Duration::from_secs(4));
    assert_eq!(fleet.usable_vms().len(), VMS, "not all are in the view");
}

/// If each process wrote the view for itself, most writes would conflict and be repeated.
#[test]
fn all_join_with_few_writes() {
    let mut fleet = fleet();
    start_all(&mut fleet);
    // The count includes writes that failed because of a conflict.
    let writes = fleet.store.writes;
    let max = MAX_WRITES * u64::try_from(VMS).expect("few VMs");
    assert!(writes <= max, "{writes} writes for {VMS} processes");
}

/// The same for a restart of all processes, whose former incarnations are still in the view.
#[test]
fn all_join_again_after_all_were_killed() {
    let mut fleet = fleet();
    start_all(&mut fleet);
    let before = fleet.store.writes;
    for vm in 0..VMS {
        fleet.kill(vm);
    }
    fleet.advance(Duration::from_secs(1));
    start_all(&mut fleet);
    let writes = fleet.store.writes - before;
    let max = MAX_WRITES * u64::try_from(VMS).expect("few VMs");
    assert!(writes <= max, "{writes} writes for {VMS} processes");
}

/// Processes that joined while the fleet was small exchange messages with few of the later members,
/// but must receive the whole view too.
#[test]
fn all_members_receive_the_whole_view() {
    for seed in 1..=6 {
        let config = FleetConfig {
            regions: vec![VMS],
            seals: true,
            noise_permille: 0,
            seed,
            ..FleetConfig::default()
        };
        let mut fleet = Fleet::new(config);
        // The first twelve processes are members while the fleet is small, and receive messages
        // from few of the others later.
        for vm in 0..VMS {
            fleet.start(vm);
            if vm == 11 {
                fleet.advance(Duration::from_millis(700));
            }
        }
        fleet.advance(Duration::from_secs(4));
        for vm in 0..VMS {
            let known = fleet.node(vm).map_or(0, |node| node.view().members.len());
            assert_eq!(known, VMS, "seed {seed}: members known to VM {vm}");
        }
    }
}

/// Returns whether a command reads or writes the ledger.
fn is_ledger_call(command: &Command) -> bool {
    match command {
        Command::CallStore(
            _,
            StoreCall::Get(name) | StoreCall::CompareAndSwap { key: name, .. },
        ) => {
            matches!(name, StoreKey::Ledger(_))
        }
        _ => false,
    }
}

/// A process that has not joined does not know the writers of the ledger. If it wrote the ledger
/// itself, a start of all processes would cause many conflicts.
#[test]
fn process_that_has_not_joined_does_not_access_the_ledger() {
    let mut fleet = fleet();
    fleet.start(0);
    let node = fleet.node(0).expect("the VM runs");
    let value = Some(fleet.templates.encode().into());
    let at = Time::from_millis;
    node.handle(
        at(1),
        Event::OperatorsRead {
            requested_at: at(1),
            result: StoreResult::Value(Versioned { value, revision: 1 }),
        },
    );
    let (id, budget) = (ReservationId(1), Fleet::budget(0));
    let request = ReserveRequest { id, budget, amount: Tokens(100), deadline: at(900) };
    let mut commands = node.handle(at(2), Event::Reserve(request));
    for tick in 1..=20 {
        commands.extend(node.handle(at(tick * 50), Event::Tick));
    }
    assert!(!commands.iter().any(is_ledger_call), "{commands:?}");
    // The request waits for the view until its deadline.
    let refused = commands.iter().any(|o| matches!(o, Command::AnswerReserve(_, Err(_))));
    assert!(refused, "{commands:?}");
}
