//! How the processes of a large fleet get into the view when all start at once.

use std::time::Duration;

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
