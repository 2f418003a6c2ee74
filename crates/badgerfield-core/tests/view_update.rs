//! Updates of the view from peers.

use badgerfield_core::ids::{Epoch, Incarnation};
use badgerfield_core::view::{ArbiterState, RecentArbiter, UncertainKeys, View};
use badgerfield_core::view_update::ViewUpdate;

/// Guards against a view that grows with each update from a peer, until the process exceeds its
/// memory: only a process that writes the view removed old entries.
#[test]
fn view_from_peers_keeps_few_uncertain_keys() {
    let mut view = View::default();
    for epoch in 1..=1000 {
        let gone = RecentArbiter {
            id: Incarnation(epoch),
            region: "r".parse().expect("the name is valid"),
            state: ArbiterState::Gone,
        };
        let update = ViewUpdate {
            base: Epoch(epoch - 1),
            epoch: Epoch(epoch),
            // Half of the epochs are complete some time later.
            complete: Epoch(epoch / 2),
            uncertain_keys: vec![UncertainKeys { epoch: Epoch(epoch), arbiters: vec![gone] }],
            ..ViewUpdate::default()
        };
        view = update.apply(&view).expect("the update fits");
        let entries = view.uncertain_keys.len();
        assert!(entries <= 16, "{entries} entries after {epoch} updates");
    }
}
