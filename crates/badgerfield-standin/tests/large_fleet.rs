//! Bounds on the messages and the store writes of fleets with hundreds of VMs. Counts are per VM,
//! so that they can be compared between fleet sizes. No total may grow with the square of the
//! number of VMs.

use std::time::Duration;

use badgerfield_standin::fleet::{Fleet, Shape, Wish};

const VMS: usize = 300;
/// The time within which all VMs must be in the view and know it when all start at once.
const START_TIMEOUT: Duration = Duration::from_secs(6);

/// Counts of messages and of writes to the store.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    messages: u64,
    bytes: u64,
    handovers: u64,
    views: u64,
    writes: u64,
}

impl Counts {
    /// Returns the counts since the fleet was created.
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
    fleet.advance(START_TIMEOUT);
    assert_views_match_running_vms(&fleet);
    fleet
}

/// Checks that each running VM has exactly the running VMs in its view.
fn assert_views_match_running_vms(fleet: &Fleet) {
    let running = (0..fleet.size()).filter(|vm| fleet.runs(*vm)).count();
    assert_eq!(fleet.usable().len(), running, "not all are in the view");
    for node in (0..fleet.size()).filter_map(|vm| fleet.node(vm)) {
        assert_eq!(node.view().members.len(), running, "members known to {}", node.id());
        assert_eq!(node.view().members, fleet.platform.view().members, "members at {}", node.id());
    }
}

/// Guards against a start of all VMs at once in which each VM sends many messages or much of the
/// view, or writes the store several times.
#[test]
fn start_of_all_vms_needs_few_messages_and_writes() {
    let fleet = start(VMS);
    let spent = Counts::of(&fleet).per_vm(VMS);
    println!("start of {VMS}: {spent:?} per VM");
    assert_eq!(Counts::of(&fleet).handovers, 0, "no VM has claims to hand over");
    assert!(spent.messages <= 250, "{spent:?}");
    assert!(spent.bytes <= 30_000, "{spent:?}");
    assert!(spent.views <= 20_000, "{spent:?}");
    assert!(spent.writes <= 2, "{spent:?}");
}

/// Guards against messages or bytes per VM that grow too fast with the size of the fleet.
#[test]
fn messages_per_vm_grow_slowly_with_the_fleet() {
    let (small, large) = (75, VMS);
    let few = Counts::of(&start(small)).per_vm(small);
    let many = Counts::of(&start(large)).per_vm(large);
    println!("start of {small}: {few:?}, of {large}: {many:?} per VM");
    // Neighbors are at doubling distances in the ring, so messages per VM grow with the logarithm
    // of the number of VMs.
    assert!(many.messages <= few.messages * 2, "{few:?} {many:?}");
    // Each VM receives the entry of each other VM once, so bytes per VM may grow linearly with the
    // number of VMs.
    assert!(many.bytes <= few.bytes * 4, "{few:?} {many:?}");
}

/// Guards against a fleet that sends more than 2,000 bytes per VM and second without requests.
#[test]
fn idle_fleet_sends_few_bytes() {
    let mut fleet = start(VMS);
    fleet.advance(Duration::from_secs(4));
    let before = Counts::of(&fleet);
    fleet.advance(Duration::from_secs(5));
    let spent = Counts::of(&fleet).since(before).per_vm(VMS);
    println!("5 s without requests: {spent:?} per VM");
    assert!(spent.bytes / 5 <= 2_000, "{spent:?}");
    assert_eq!(spent.handovers, 0, "{spent:?}");
}

/// Guards against a view that never becomes complete: claims of earlier epochs would stay
/// uncertain.
#[test]
fn the_view_becomes_complete_in_a_large_fleet() {
    let mut fleet = start(VMS);
    fleet.advance(Duration::from_secs(4));
    let view = fleet.platform.view();
    assert_eq!(view.complete, view.epoch, "the platform's view");
    for node in (0..VMS).filter_map(|vm| fleet.node(vm)) {
        let status = node.status();
        assert_eq!(
            status.complete_epoch,
            status.epoch,
            "the claims of {} are not complete",
            node.id()
        );
    }
}

/// Guards against many messages when 45 percent of the VMs are replaced at once.
#[test]
fn replacing_many_vms_needs_few_messages() {
    let mut fleet = start(VMS);
    fleet.advance(Duration::from_secs(4));
    let before = Counts::of(&fleet);
    let replaced = VMS * 45 / 100;
    for vm in 0..replaced {
        fleet.kill(vm);
    }
    fleet.advance(Duration::from_secs(1));
    for vm in 0..replaced {
        fleet.start(vm);
    }
    fleet.advance(START_TIMEOUT);
    assert_views_match_running_vms(&fleet);
    let spent = Counts::of(&fleet).since(before).per_vm(VMS);
    println!("45 percent replaced: {spent:?} per VM");
    assert_eq!(spent.handovers, 0, "no VM has claims to hand over");
    assert!(spent.messages <= 300, "{spent:?}");
    assert!(spent.bytes <= 30_000, "{spent:?}");
}

/// Guards against the removal of live members although no fault has occurred.
#[test]
fn no_member_is_removed_without_faults() {
    for vms in [17, 75, 120] {
        let mut fleet = start(vms);
        fleet.advance(Duration::from_secs(45));
        assert_views_match_running_vms(&fleet);
        assert_eq!(fleet.usable().len(), vms, "{vms}: a member was removed");
    }
}

/// When a process restarts, the positions in the ring change and members get other observers. An
/// observer that has not received heartbeats of a member so far must not treat it as silent.
#[test]
fn members_with_new_observers_are_not_removed() {
    for vms in [40, 75] {
        let mut fleet = start(vms);
        // Longer than the silence after which a member is removed.
        fleet.advance(Duration::from_secs(45));
        // A restarted process has another position in the ring, which shifts all others.
        fleet.kill(vms / 2);
        fleet.start(vms / 2);
        fleet.advance(Duration::from_secs(8));
        let running = (0..vms).filter(|vm| fleet.runs(*vm)).count();
        assert_eq!(running, vms, "{vms}: processes exited after their removal");
        assert_views_match_running_vms(&fleet);
    }
}

/// Sends requests at a constant rate, to all VMs and for all budgets in turn.
fn load(fleet: &mut Fleet, vms: usize, requests: usize) {
    for n in 0..requests {
        let (prompt, output) = (60, 40);
        let wish = Wish { budget: n % 4, key: None, once: false, service: false, prompt, output };
        fleet.ask(n * 7 % vms, wish);
        fleet.advance(Duration::from_millis(5));
    }
}

/// Guards against reports to witnesses from all VMs instead of only from the holders of a budget.
#[test]
fn messages_to_witnesses_do_not_grow_with_the_fleet() {
    for vms in [72, VMS] {
        let mut fleet = start(vms);
        load(&mut fleet, vms, 1000);
        let before = fleet.messages().get("park").copied().unwrap_or_default();
        load(&mut fleet, vms, 2000);
        let after = fleet.messages().get("park").copied().unwrap_or_default();
        let seconds = 10;
        let (messages, bytes) = (after.0 - before.0, after.1 - before.1);
        println!("{vms} VMs: {} messages/s, {} B/s, of all", messages / seconds, bytes / seconds);
        // Each of four budgets has three holders, and each message is acknowledged. The number of
        // VMs has no influence.
        assert!(messages / seconds <= 120, "{vms} VMs: {messages} messages in {seconds} s");
    }
}
