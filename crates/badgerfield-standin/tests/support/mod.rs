//! A fleet in which few VMs hold each budget and the others borrow.

use std::time::Duration;

use badgerfield_standin::fleet::{Fleet, FleetConfig, RequestSpec};

pub(crate) const VMS: usize = 48;

pub(crate) fn config(limit: u64) -> FleetConfig {
    FleetConfig {
        regions: vec![VMS],
        limits: vec![limit; 2],
        shards: 1,
        engines: 12,
        seals: true,
        noise_permille: 0,
        ..FleetConfig::default()
    }
}

pub(crate) fn fleet(limit: u64) -> Fleet {
    Fleet::started(config(limit))
}

/// Returns the VMs that have tokens of the first budget available.
pub(crate) fn vms_with_tokens(fleet: &Fleet) -> Vec<usize> {
    let free = |vm: &usize| fleet.node(*vm).map_or(0, |n| n.balance(&Fleet::budget(0)).free.0);
    (0..VMS).filter(|vm| free(vm) > 0).collect()
}

pub(crate) fn request() -> RequestSpec {
    RequestSpec {
        budget: 0,
        key: None,
        at_most_once: false,
        service: false,
        prompt: 60,
        output: 40,
    }
}

/// Sends requests at a constant rate, to all running VMs in turn.
pub(crate) fn load(fleet: &mut Fleet, requests: usize) {
    for n in 0..requests {
        let vm = n * 7 % VMS;
        if fleet.is_running(vm) {
            fleet.send_request(vm, request());
        }
        fleet.advance(Duration::from_millis(20));
    }
}

/// Sends requests at a constant rate to one VM.
pub(crate) fn load_vm(fleet: &mut Fleet, vm: usize, requests: usize) {
    for _ in 0..requests {
        fleet.send_request(vm, request());
        fleet.advance(Duration::from_millis(20));
    }
}
