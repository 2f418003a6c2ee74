//! Which processes get the record of a stream that begins, and which of them writes it to the store.

#[path = "support/lone_node.rs"]
mod lone_node;

use std::time::Duration;

use badgerfield_core::Node;
use badgerfield_core::amount::Time;
use badgerfield_core::event::{Command, Event, StoreCall, StoreResult, Versioned};
use badgerfield_core::ids::{Incarnation, Period, VersionTag};
use badgerfield_core::ledger::LedgerReply;
use badgerfield_core::message::{Envelope, Message};
use badgerfield_core::stream_origins::{StreamKey, StreamOrigin, StreamOrigins};
use badgerfield_core::stream_segments::StreamShard;
use badgerfield_core::view::{Member, MemberState, View};
use bytes::Bytes;
use lone_node::node;

const ME: u64 = 1;
const MEMBERS: u64 = 8;
const NOW: Time = Time::from_millis(1000);

/// Returns a process that is a member of a view, and the view.
fn member_node() -> (Node, View) {
    let me = node(ME);
    let member = |id: u64| Member {
        vm: format!("vm-{id}").parse().expect("the name is valid"),
        incarnation: Incarnation(id),
        region: "north".parse().expect("the name is valid"),
        domain: "d".parse().expect("the name is valid"),
        peer: ([127, 0, 0, 1], 1).into(),
        caller: ([127, 0, 0, 1], 2).into(),
        standing: MemberState::Active,
        link_mbps: 0,
    };
    let members: Vec<_> = (1..=MEMBERS).map(member).collect();
    let view = View::default().with_members(members, true);
    let commands = me.handle(NOW, Event::Start);
    let first = commands.iter().find_map(|command| match command {
        Command::CallStore(id, StoreCall::CompareAndSwap { .. }) => Some(*id),
        _ => None,
    });
    let found = Versioned { value: Some(Bytes::from(view.encode())), revision: 5 };
    let conflict = StoreResult::Conflict(found);
    me.handle(NOW, Event::StoreReply(first.expect("a first write"), conflict));
    (me, view)
}

/// Reports that a member could not reach the store.
fn report_failure(me: &Node, from: Incarnation) {
    let budget = "a/b".parse().expect("the name is valid");
    let replies = vec![(budget, Period(1), LedgerReply::StoreUnavailable)];
    let envelope = Envelope {
        from,
        sender_address: ([127, 0, 0, 1], 1).into(),
        to: me.id(),
        message: Message::LedgerReplies(replies),
    };
    me.handle(NOW, Event::Peer(envelope));
}

/// Guards against records that no process writes, because the keepers that get them do not reach the
/// store and the one that does gets none.
#[test]
fn a_keeper_that_reaches_the_store_writes_the_record() {
    let mut checked = 0;
    for n in 0..64 {
        let (me, view) = member_node();
        let key = StreamKey::new(None, &format!("stream-{n}"));
        let shard = StreamShard::of(key);
        let keepers = StreamOrigins::default().keepers(shard, &view, |_| true);
        if keepers.contains(&me.id()) {
            continue;
        }
        checked += 1;
        for keeper in &keepers[..2] {
            report_failure(&me, *keeper);
        }
        let origin = StreamOrigin::new(key, VersionTag::UNKNOWN, Duration::from_secs(4));
        let commands = me.handle(NOW, Event::StreamBegun { origin, copied: true });
        let mut copies = Vec::new();
        let mut writers = Vec::new();
        for command in &commands {
            match command {
                Command::Send(to, Message::StreamOrigins(_)) => copies.push(*to),
                Command::Send(to, Message::StreamOriginsToWrite(_)) => writers.push(*to),
                _ => {}
            }
        }
        assert_eq!(writers, [keepers[2]], "{keepers:?}");
        assert_eq!(copies, [keepers[0]], "{keepers:?}");
    }
    assert!(checked > 10, "{checked}");
}
