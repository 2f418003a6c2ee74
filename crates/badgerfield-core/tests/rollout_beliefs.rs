//! Beliefs about roll-outs: whatever the order in which news arrives, all believe the same, and
//! nobody takes a step back.

use std::collections::BTreeSet;
use std::time::Duration;

use badgerfield_core::rollout::{
    KnownRollout, KnownRollouts, OrderChange, RolloutOrder, RolloutPhase, RolloutProgress,
    RolloutReason,
};
use proptest::prelude::*;

fn known(service: u8, revision: u64, phase: Option<RolloutPhase>) -> KnownRollout {
    let order = RolloutOrder {
        target: format!("v{revision}").parse().expect("a version"),
        span: Duration::from_secs(60),
    };
    let service = format!("service-{service}").parse().expect("a service");
    // Every third order withdraws the one before.
    let order = (!revision.is_multiple_of(3)).then_some(order);
    let refused = BTreeSet::new();
    let stage =
        phase.map(|phase| RolloutProgress { phase, reason: RolloutReason::Ordered, refused });
    KnownRollout { change: OrderChange { service, revision, order }, stage }
}

fn news() -> impl Strategy<Value = Vec<KnownRollout>> {
    let phase = prop_oneof![
        Just(None),
        Just(Some(RolloutPhase::Canary)),
        Just(Some(RolloutPhase::Moving)),
        Just(Some(RolloutPhase::Rejected)),
        Just(Some(RolloutPhase::RolledBack)),
        Just(Some(RolloutPhase::Completed)),
    ];
    let one = (0..3_u8, 1..6_u64, phase).prop_map(|(s, r, p)| known(s, r, p));
    proptest::collection::vec(one, 0..20)
}

/// Returns what a process knows of a service, in the order in which it may only grow.
fn place(beliefs: &KnownRollouts, service: u8) -> Option<(u64, Option<RolloutPhase>)> {
    let service = format!("service-{service}").parse().expect("a service");
    beliefs.get(&service).map(|known| (known.change.revision, known.phase()))
}

proptest! {
    /// Fails if the order of arrival matters, if what was heard twice counts twice, or if a
    /// digest does not stand for what is known.
    #[test]
    fn all_believe_the_same_in_the_end(news in news(), seed in any::<u64>()) {
        let mut one = KnownRollouts::default();
        one.apply(news.clone());
        let mut shuffled = news.clone();
        let len = shuffled.len().max(1);
        for n in 0..shuffled.len() {
            let other = usize::try_from(seed.rotate_left(u32::try_from(n).expect("few"))
                % u64::try_from(len).expect("few")).expect("few");
            shuffled.swap(n, other);
        }
        let mut other = KnownRollouts::default();
        for known in shuffled.into_iter().chain(news) {
            other.apply([known]);
        }
        prop_assert_eq!(one.all(), other.all());
        prop_assert_eq!(one.digest(), other.digest());
    }

    /// Fails if a process goes back to an older order, or to an earlier phase of one.
    #[test]
    fn nothing_steps_back(news in news(), whole in 1..8_u64) {
        let mut beliefs = KnownRollouts::default();
        for (n, known) in news.into_iter().enumerate() {
            let before: Vec<_> = (0..3).map(|service| place(&beliefs, service)).collect();
            if n % 5 == 4 {
                let orders = known.change.order.is_some().then_some(known.change);
                beliefs.apply_snapshot(whole, orders.into_iter().collect());
            } else {
                beliefs.apply([known]);
            }
            for service in 0..3_u8 {
                prop_assert!(place(&beliefs, service) >= before[usize::from(service)]);
            }
        }
    }
}

/// Fails if a read of all orders that is older than an order withdraws that.
#[test]
fn an_old_read_withdraws_nothing_newer() {
    let mut beliefs = KnownRollouts::default();
    beliefs.apply([known(0, 5, Some(RolloutPhase::Canary))]);
    assert_eq!(beliefs.apply_snapshot(4, Vec::new()), Vec::new());
    let turned = beliefs.apply_snapshot(9, Vec::new());
    assert_eq!(turned.len(), 1);
    assert_eq!(turned[0].target(), None);
}
