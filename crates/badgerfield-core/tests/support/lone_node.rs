//! A process that knows no others.

use std::time::Duration;

use badgerfield_core::ids::Incarnation;
use badgerfield_core::view::{Member, MemberState};
use badgerfield_core::{Config, Node, Pacing};

/// Returns a process with an empty view.
pub(crate) fn node(id: u64) -> Node {
    Node::new(Config {
        member: Member {
            vm: format!("vm-{id}").parse().expect("the name is valid"),
            incarnation: Incarnation(id),
            region: "north".parse().expect("the name is valid"),
            domain: "d".parse().expect("the name is valid"),
            peer: ([127, 0, 0, 1], 1).into(),
            caller: ([127, 0, 0, 1], 2).into(),
            standing: MemberState::Active,
            link_mbps: 0,
        },
        ledger_shards: 1,
        key_retention: Duration::from_mins(15),
        answer_retention: Duration::from_mins(2),
        max_answer_bytes: 1_000_000,
        directory_ttl: Duration::from_secs(2),
        pacing: Pacing::default(),
        seed: 1,
    })
}
