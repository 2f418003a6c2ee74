//! What a fleet of hundreds of VMs says to itself and to the platform: nothing may grow with
//! the square of the fleet. Each count is per VM, so that it may be compared between sizes.

use std::time::Duration;

use badgerfield_standin::fleet::{Fleet, Shape, Wish};

const VMS: usize = 300;
/// How long all VMs may take to get into the view, and to know it, when all start at once.
const START: Duration = Duration::from_secs(6);

/// What was sent and called in some span.
#[derive(Debug, Clone, Copy, Default)]
struct Traffic {
    messages: u64,
    bytes: u64,
    handovers: u64,
    views: u64,
    writes: u64,
}

impl Traffic {
    /// Returns what was counted since the fleet was made.
    fn of(fleet: &Fleet) -> Self {
        let mut all = Self { writes: fleet.platform.writes, ..Self::default() };
        for (kind, (messages, bytes)) in fleet.messages() {
            all.messages += messages;
            all.bytes += bytes;
            match *kind {
                "handover" => all.handovers += messages,
                "view" => all.views += bytes,
                _ => {}
            }
        }
        all
    }

    fn since(self, before: Self) -> Self {
        Self {
            messages: self.messages - before.messages,
            bytes: self.bytes - before.bytes,
            handovers: self.handovers - before.handovers,
            views: self.views - before.views,
            writes: self.writes - before.writes,
        }
    }

    /// Divides the counts by the number of VMs.
    fn per_vm(self, vms: usize) -> Self {
        let vms = u64::try_from(vms).expect("few VMs");
        Self {
            messages: self.messages / vms,
            bytes: self.bytes / vms,
            handovers: self.handovers / vms,
            views: self.views / vms,
            writes: self.writes / vms,
        }
    }
}

fn start(vms: usize) -> Fleet {
    let shape = Shape { regions: vec![vms], seals: true, noise: 0, ..Shape::default() };
    let mut fleet = Fleet::new(shape);
    for vm in 0..vms {
        fleet.start(vm);
    }
    fleet.advance(START);
    assert_knows_all(&fleet);
    fleet
}

/// Checks that every VM that runs knows exactly those that run as members.
fn assert_knows_all(fleet: &Fleet) {
    let running = (0..fleet.size()).filter(|vm| fleet.runs(*vm)).count();
    assert_eq!(fleet.usable().len(), running, "not all are in the view");
    for node in (0..fleet.size()).filter_map(|vm| fleet.node(vm)) {
        assert_eq!(node.view().members.len(), running, "what {} knows", node.id());
        assert_eq!(node.view().members, fleet.platform.view().members, "members at {}", node.id());
    }
}

#[test]
fn a_start_of_all_costs_each_vm_little() {
    let fleet = start(VMS);
    let spent = Traffic::of(&fleet).per_vm(VMS);
    println!("start of {VMS}: {spent:?} a VM");
    assert_eq!(Traffic::of(&fleet).handovers, 0, "nobody has claims to hand over");
    assert!(spent.messages <= 250, "{spent:?}");
    assert!(spent.bytes <= 30_000, "{spent:?}");
    assert!(spent.views <= 20_000, "{spent:?}");
    assert!(spent.writes <= 2, "{spent:?}");
}

#[test]
fn a_larger_fleet_says_little_more_a_vm() {
    let (small, large) = (75, VMS);
    let few = Traffic::of(&start(small)).per_vm(small);
    let many = Traffic::of(&start(large)).per_vm(large);
    println!("start of {small}: {few:?}, of {large}: {many:?} a VM");
    // Neighbours stand in doubling steps, so that messages grow with the logarithm.
    assert!(many.messages <= few.messages * 2, "{few:?} {many:?}");
    // Each learns of every other once: bytes may grow with the fleet, but not faster.
    assert!(many.bytes <= few.bytes * 4, "{few:?} {many:?}");
}

#[test]
fn a_calm_fleet_stays_below_the_bytes_that_control_may_take() {
    let mut fleet = start(VMS);
    fleet.advance(Duration::from_secs(4));
    let before = Traffic::of(&fleet);
    fleet.advance(Duration::from_secs(5));
    let spent = Traffic::of(&fleet).since(before).per_vm(VMS);
    println!("5 s of calm: {spent:?} a VM");
    assert!(spent.bytes / 5 <= 2_000, "{spent:?}");
    assert_eq!(spent.handovers, 0, "{spent:?}");
}

#[test]
fn the_view_becomes_complete_in_a_large_fleet() {
    let mut fleet = start(VMS);
    fleet.advance(Duration::from_secs(4));
    let view = fleet.platform.view();
    assert_eq!(view.complete, view.epoch, "the platform's view");
    for node in (0..VMS).filter_map(|vm| fleet.node(vm)) {
        let status = node.status();
        assert_eq!(status.complete_epoch, status.epoch, "{} is not sure of its claims", node.id());
    }
}

#[test]
fn replacing_many_at_once_costs_each_vm_little() {
    let mut fleet = start(VMS);
    fleet.advance(Duration::from_secs(4));
    let before = Traffic::of(&fleet);
    let replaced = VMS * 45 / 100;
    for vm in 0..replaced {
        fleet.kill(vm);
    }
    fleet.advance(Duration::from_secs(1));
    for vm in 0..replaced {
        fleet.start(vm);
    }
    fleet.advance(START);
    assert_knows_all(&fleet);
    let spent = Traffic::of(&fleet).since(before).per_vm(VMS);
    println!("45 in 100 replaced: {spent:?} a VM");
    assert_eq!(spent.handovers, 0, "nobody has claims to hand over");
    assert!(spent.messages <= 300, "{spent:?}");
    assert!(spent.bytes <= 30_000, "{spent:?}");
}

#[test]
fn nobody_is_removed_from_a_calm_fleet() {
    for vms in [17, 75, 120] {
        let mut fleet = start(vms);
        fleet.advance(Duration::from_secs(45));
        assert_knows_all(&fleet);
        assert_eq!(fleet.usable().len(), vms, "{vms}: somebody was removed");
    }
}

#[test]
fn who_comes_to_be_observed_by_others_is_not_taken_for_silent() {
    for vms in [40, 75] {
        let mut fleet = start(vms);
        // Longer than the silence after which a member is removed.
        fleet.advance(Duration::from_secs(45));
        // A process that starts anew has another place in the ring, which moves all others.
        fleet.kill(vms / 2);
        fleet.start(vms / 2);
        fleet.advance(Duration::from_secs(8));
        let running = (0..vms).filter(|vm| fleet.runs(*vm)).count();
        assert_eq!(running, vms, "{vms}: processes have ended by themselves");
        assert_knows_all(&fleet);
    }
}

/// Asks steadily for budgets in turn, at all VMs in turn.
fn ask(fleet: &mut Fleet, vms: usize, requests: usize) {
    for n in 0..requests {
        let (prompt, output) = (60, 40);
        let wish = Wish { budget: n % 4, key: None, once: false, service: false, prompt, output };
        fleet.ask(n * 7 % vms, wish);
        fleet.advance(Duration::from_millis(5));
    }
}

#[test]
fn what_witnesses_are_told_does_not_grow_with_the_fleet() {
    for vms in [72, VMS] {
        let mut fleet = start(vms);
        ask(&mut fleet, vms, 1000);
        let before = fleet.messages().get("park").copied().unwrap_or_default();
        ask(&mut fleet, vms, 2000);
        let after = fleet.messages().get("park").copied().unwrap_or_default();
        let seconds = 10;
        let (messages, bytes) = (after.0 - before.0, after.1 - before.1);
        println!("{vms} VMs: {} messages/s, {} B/s, of all", messages / seconds, bytes / seconds);
        // Three VMs hold each of four budgets, and each is answered; the number of VMs is no
        // part of it.
        assert!(messages / seconds <= 120, "{vms} VMs: {messages} messages in {seconds} s");
    }
}
