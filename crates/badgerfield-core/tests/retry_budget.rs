//! The retry budget of a whole fleet against a naive count: whatever the VMs are asked,
//! repeats in any window stay within the ratio and the allowance.

use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::Service;
use badgerfield_core::retry_budget::{RetryBudget, RetryLimits};
use proptest::prelude::*;

const BOUND: RetryLimits =
    RetryLimits { ratio: 0.2, allowance: 50.0, window: Duration::from_secs(10) };
const VMS: usize = 5;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn repeats_stay_within_the_bound(steps in prop::collection::vec((0..VMS, 0_u64..60, any::<bool>()), 1..800)) {
        let service: Service = "pool".parse().expect("the name is valid");
        let mut vms: Vec<_> = (0..VMS).map(|_| RetryBudget::new(BOUND)).collect();
        let (mut now, mut requests, mut repeats) = (0, Vec::new(), Vec::new());
        for (vm, pause, again) in steps {
            now += pause;
            let time = Time::from_millis(now);
            if !again {
                vms[vm].count_request(time, &service);
                requests.push(now);
                continue;
            }
            if vms[vm].try_take(time, &service, VMS) {
                repeats.push(now);
            }
            let within = |times: &[u64]| times.iter().filter(|t| now - **t <= 10_000).count();
            let allowed = BOUND.ratio * f64::from(u32::try_from(within(&requests)).expect("few")) + BOUND.allowance;
            let spent = f64::from(u32::try_from(within(&repeats)).expect("few"));
            prop_assert!(spent <= allowed, "{spent} repeats, {allowed} allowed");
        }
    }
}

#[test]
fn a_fleet_without_requests_has_its_allowance_only() {
    let service: Service = "pool".parse().expect("the name is valid");
    let mut budget = RetryBudget::new(BOUND);
    let taken = (0..100).filter(|_| budget.try_take(Time::default(), &service, VMS)).count();
    assert!(taken >= 1, "some repeats are allowed");
    assert!(taken <= 10, "{taken} of the ten that are this VM's share");
}
