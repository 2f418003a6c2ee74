//! What lenders and borrowers seal stays unspent as long as the ledger counts on it.

mod support;

use std::collections::BTreeMap;

use badgerfield_core::seal::FleetTime;
use badgerfield_standin::fleet::Fleet;
use support::{VMS, fleet, load, load_vm, vms_with_tokens};

/// The time at which simulated clocks start, in milliseconds since 1970.
const CLOCK_START_MS: u64 = 1_800_000_000_000;

/// The time and the amount of a seal of a VM's tokens, as recorded in the ledger.
type SealedAmount = (FleetTime, u64);

/// Returns the seals in force for which a VM has too few sealed tokens now.
///
/// A reply of the ledger may be in transit, so a single finding is not a failure.
fn broken_seals(fleet: &Fleet) -> BTreeMap<usize, SealedAmount> {
    let ledger = fleet.store.ledger(0);
    let entry = ledger.budgets.get(&Fleet::budget(0));
    let mut broken = BTreeMap::new();
    for vm in 0..VMS {
        let Some((entry, node)) = entry.zip(fleet.node(vm)) else {
            continue;
        };
        let Some(holder) = entry.holders.get(&node.id()) else {
            continue;
        };
        let Some(record) = &holder.seal else {
            continue;
        };
        // Tokens that a pending operation returns stay unspent until the ledger has applied it, and
        // tokens that it grants until its reply arrives.
        let balance = node.balance(&Fleet::budget(0));
        let granted = if balance.op_pending { holder.granted.0 } else { 0 };
        let sealed = balance.sealed.0 + balance.returning_sealed.0 + granted;
        let now = CLOCK_START_MS + u64::try_from(fleet.now.0.as_millis()).expect("a short run");
        if record.unspent_at(FleetTime(now)).0 > sealed {
            broken.insert(vm, (record.decays_from, record.amount.0));
        }
    }
    broken
}

/// Sends requests to one VM. Fails if a VM has too few sealed tokens for the same seal for 0.2 s.
fn load_and_check_seals(fleet: &mut Fleet, vm: usize, requests: usize) {
    let mut before = BTreeMap::new();
    for n in 0..requests {
        load_vm(fleet, vm, 1);
        if n % 10 != 9 {
            continue;
        }
        let broken = broken_seals(fleet);
        for (vm, seal) in &broken {
            assert_ne!(before.get(vm), Some(seal), "VM {vm} spent tokens that it had sealed");
        }
        before = broken;
    }
}

/// The successor of a crashed process returns the tokens that the ledger has on record as sealed.
/// If the process had spent some of them before their seal expired, they would be spent twice.
#[test]
fn sealed_tokens_are_not_spent() {
    let mut first = fleet(1_000_000);
    load(&mut first, 60);
    let vm = (0..VMS).find(|vm| !vms_with_tokens(&first).contains(vm)).expect("most VMs borrow");
    let mut fleet = fleet(1_000_000);
    load_and_check_seals(&mut fleet, vm, 800);
    for _ in 0..3 {
        // The outage is longer than seals hold: sealed tokens are spent, and operations are sent
        // again.
        fleet.store.down = true;
        load_vm(&mut fleet, vm, 400);
        fleet.store.down = false;
        load_and_check_seals(&mut fleet, vm, 300);
    }
}

/// The ledger had applied the seal of the first sending. The operation was sent again without the
/// fleet's time, and its reply was taken as the reply to an operation without a seal.
#[test]
fn seal_holds_if_clocks_disagree_before_the_reply_arrives() {
    for round in 0..6 {
        let mut first = fleet(1_000_000);
        load(&mut first, 60);
        let vm =
            (0..VMS).find(|vm| !vms_with_tokens(&first).contains(vm)).expect("most VMs borrow");
        let mut fleet = fleet(1_000_000);
        load_and_check_seals(&mut fleet, vm, 400 + 37 * round);
        fleet.store.lose_replies = 4;
        load_vm(&mut fleet, vm, 20 + 5 * round);
        for other in 0..VMS {
            let offset_ms = i64::try_from(other).expect("few VMs") * 20_000;
            fleet.set_clock_offset(other, offset_ms);
        }
        // Until operations are sent again and answered, the ledger has applied operations whose
        // replies have not reached the holders.
        load_vm(&mut fleet, vm, 75);
        load_and_check_seals(&mut fleet, vm, 60);
    }
}
