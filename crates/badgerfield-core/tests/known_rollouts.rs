//! Known rollouts: processes that receive the same updates in any order have the same state, and no
//! rollout goes back to an earlier phase.

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
    // Every third revision withdraws the order.
    let order = (!revision.is_multiple_of(3)).then_some(order);
    let refused = BTreeSet::new();
    let stage =
        phase.map(|phase| RolloutProgress { phase, reason: RolloutReason::Ordered, refused });
    KnownRollout { change: OrderChange { service, revision, order }, stage }
}

fn updates() -> impl Strategy<Value = Vec<KnownRollout>> {
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

/// Returns the revision and phase of a service's rollout, which may only increase.
fn revision_and_phase(
    known_rollouts: &KnownRollouts,
    service: u8,
) -> Option<(u64, Option<RolloutPhase>)> {
    let service = format!("service-{service}").parse().expect("a service");
    known_rollouts.get(&service).map(|known| (known.change.revision, known.phase()))
}

proptest! {
    /// Fails if the state depends on the order of updates, or on an update that arrives twice, or
    /// if equal states have different digests.
    #[test]
    fn the_order_of_updates_does_not_matter(updates in updates(), seed in any::<u64>()) {
        let mut one = KnownRollouts::default();
        one.apply(updates.clone());
        let mut shuffled = updates.clone();
        let len = shuffled.len().max(1);
        for n in 0..shuffled.len() {
            let other = usize::try_from(seed.rotate_left(u32::try_from(n).expect("few"))
                % u64::try_from(len).expect("few")).expect("few");
            shuffled.swap(n, other);
        }
        let mut other = KnownRollouts::default();
        for known in shuffled.into_iter().chain(updates) {
            other.apply([known]);
        }
        prop_assert_eq!(one.all(), other.all());
        prop_assert_eq!(one.digest(), other.digest());
    }

    /// Fails if an update or a snapshot takes a process back to an older order or to an earlier
    /// phase.
    #[test]
    fn no_rollout_returns_to_an_earlier_phase(updates in updates(), snapshot_revision in 1..8_u64) {
        let mut known_rollouts = KnownRollouts::default();
        for (n, known) in updates.into_iter().enumerate() {
            let before: Vec<_> =
                (0..3).map(|service| revision_and_phase(&known_rollouts, service)).collect();
            if n % 5 == 4 {
                let orders = known.change.order.is_some().then_some(known.change);
                known_rollouts.apply_snapshot(snapshot_revision, orders.into_iter().collect());
            } else {
                known_rollouts.apply([known]);
            }
            for service in 0..3_u8 {
                prop_assert!(
                    revision_and_phase(&known_rollouts, service) >= before[usize::from(service)]
                );
            }
        }
    }
}

/// Fails if a snapshot of all orders withdraws an order that is newer than the snapshot.
#[test]
fn an_old_snapshot_withdraws_no_newer_order() {
    let mut known_rollouts = KnownRollouts::default();
    known_rollouts.apply([known(0, 5, Some(RolloutPhase::Canary))]);
    assert_eq!(known_rollouts.apply_snapshot(4, Vec::new()), Vec::new());
    let changed = known_rollouts.apply_snapshot(9, Vec::new());
    assert_eq!(changed.len(), 1);
    assert_eq!(changed[0].target(), None);
}
