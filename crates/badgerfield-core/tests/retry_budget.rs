//! Tests of the retry budget: in any window, the repeats of the whole fleet stay within the ratio
//! and the allowance.

use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::Service;
use badgerfield_core::retry_budget::{RetryBudget, RetryLimits};
use proptest::prelude::*;

const LIMITS: RetryLimits =
    RetryLimits { ratio: 0.2, allowance: 50.0, window: Duration::from_secs(10) };
const VMS: usize = 5;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against repeats beyond the limits for the fleet, when requests and repeats are
    /// distributed unevenly over the VMs. Compares with a count over the whole fleet.
    #[test]
    fn repeats_stay_within_the_bound(steps in prop::collection::vec((0..VMS, 0_u64..60, any::<bool>()), 1..800)) {
        let service: Service = "pool".parse().expect("the name is valid");
        let mut vms: Vec<_> = (0..VMS).map(|_| RetryBudget::new(LIMITS)).collect();
        let (mut now, mut requests, mut repeats) = (0, Vec::new(), Vec::new());
        for (vm, delay, is_repeat) in steps {
            now += delay;
            let time = Time::from_millis(now);
            if !is_repeat {
                vms[vm].count_request(time, &service);
                requests.push(now);
                continue;
            }
            if vms[vm].try_take(time, &service, VMS) {
                repeats.push(now);
            }
            let within = |times: &[u64]| times.iter().filter(|t| now - **t <= 10_000).count();
            let allowed = LIMITS.ratio * f64::from(u32::try_from(within(&requests)).expect("few")) + LIMITS.allowance;
            let spent = f64::from(u32::try_from(within(&repeats)).expect("few"));
            prop_assert!(spent <= allowed, "{spent} repeats, {allowed} allowed");
        }
    }
}

/// Guards against a VM that uses more than its part of the allowance, or none, while there are no
/// requests.
#[test]
fn a_fleet_without_requests_has_its_allowance_only() {
    let service: Service = "pool".parse().expect("the name is valid");
    let mut budget = RetryBudget::new(LIMITS);
    let taken = (0..100).filter(|_| budget.try_take(Time::default(), &service, VMS)).count();
    assert!(taken >= 1, "some repeats are allowed");
    assert!(taken <= 10, "{taken} repeats; this VM's part of the allowance is 10");
}

/// Guards against a budget that shrinks as the fleet grows because each VM rounds its part down:
/// with 2,000 VMs no VM could repeat anything.
#[test]
fn the_parts_of_many_vms_add_up_to_the_limit() {
    let service: Service = "pool".parse().expect("the name is valid");
    let limits = RetryLimits { ratio: 0.2, allowance: 1040.0, window: Duration::from_secs(10) };
    for vms in [100_u32, 984, 2000] {
        let (mut taken, requests) = (0.0, 3);
        for vm in 0..vms {
            let rounding = f64::from(vm * 7919 % vms) / f64::from(vms);
            let mut budget = RetryBudget::new(limits).with_rounding(rounding);
            for _ in 0..requests {
                budget.count_request(Time::default(), &service);
            }
            let count = usize::try_from(vms).expect("few VMs");
            while budget.try_take(Time::default(), &service, count) {
                taken += 1.0;
            }
        }
        let allowed = 0.2 * f64::from(requests * vms) + 1040.0;
        assert!(taken <= allowed, "{vms} VMs: {taken} of {allowed}");
        assert!(taken >= allowed * 0.55, "{vms} VMs: {taken} of {allowed}");
    }
}
