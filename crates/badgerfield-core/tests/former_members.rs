//! What a process keeps of members that have left.

use std::collections::BTreeSet;
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::confirmations::ConfirmationReport;
use badgerfield_core::ids::{Epoch, Incarnation, TemplateVersion};
use badgerfield_core::message::{Envelope, Heartbeat, Message};
use badgerfield_core::upstream_list::ListVersion;
use badgerfield_core::view::{Member, MemberState};
use badgerfield_core::view_update::ViewUpdate;
use badgerfield_core::{Config, Event, Node, Pacing};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const ME: u64 = 1;
/// The incarnation of the first of the members that come and go.
const FIRST: u64 = 7_000_000_000;
/// The number of members that come and go: 796 start or fail a day, so a week.
const FORMER: u64 = 5_600;
/// The number of former members that may be known: as many as the recent changes of the view, which
/// are kept for members with an older one.
const MAX_KNOWN: usize = 2_048;

fn member(id: u64) -> Member {
    Member {
        vm: format!("vm-{id}").parse().expect("the name is valid"),
        incarnation: Incarnation(id),
        region: "north".parse().expect("the name is valid"),
        domain: "d".parse().expect("the name is valid"),
        peer: ([127, 0, 0, 1], 1).into(),
        caller: ([127, 0, 0, 1], 2).into(),
        standing: MemberState::Active,
        link_mbps: 0,
    }
}

fn node() -> Node {
    Node::new(Config {
        member: member(ME),
        ledger_shards: 1,
        key_retention: Duration::from_secs(900),
        answer_retention: Duration::from_secs(120),
        max_answer_bytes: 1_000_000,
        directory_ttl: Duration::from_secs(3),
        pacing: Pacing::default(),
        seed: 1,
    })
}

fn view(epoch: u64, members: Vec<Member>) -> Message {
    let digest = |m: &Member| xxh3_64_with_seed(&m.incarnation.0.to_be_bytes(), 0);
    let digest = members.iter().fold(0, |sum, m| sum ^ digest(m));
    let (epoch, complete) = (Epoch(epoch), Epoch(epoch - 1));
    Message::View(ViewUpdate { epoch, complete, members, digest, ..ViewUpdate::default() })
}

/// Returns a heartbeat of a process that knows other evacuations, rollouts and blocked requests.
fn heartbeat(epoch: u64) -> Message {
    Message::Heartbeat(Heartbeat {
        epoch: Epoch(epoch),
        confirmations: ConfirmationReport::default(),
        version: TemplateVersion(0),
        operator_read: None,
        operators_digest: 0,
        serving: true,
        upstream_list: ListVersion::default(),
        evacuations_digest: 1,
        rollouts_digest: 1,
        blocked_digest: 1,
        wall_ms: None,
        engine_demand: Vec::new(),
        delay_reports: Vec::new(),
    })
}

fn receive(node: &Node, second: u64, from: Incarnation, message: Message) {
    let to = Incarnation(ME);
    let sender_address = ([127, 0, 0, 1], 1).into();
    let envelope = Envelope { from, sender_address, to, message };
    node.handle(Time::from_millis(second * 1000), Event::Peer(envelope));
}

/// Returns the former members that stand anywhere in the state of a process.
fn known(node: &Node) -> BTreeSet<u64> {
    let text = format!("{node:?}");
    let numbers = text.split(|c: char| !c.is_ascii_digit()).filter_map(|n| n.parse().ok());
    numbers.filter(|id| (FIRST..FIRST + FORMER).contains(id)).collect()
}

/// Guards against a process that grows with each member that leaves, until it exceeds its memory:
/// some tables forgot a member only if nothing came from it after its removal, or never.
#[test]
fn process_forgets_members_that_have_left() {
    let node = node();
    for n in 0..FORMER {
        let (id, epoch) = (Incarnation(FIRST + n), n + 1);
        let newcomer = Member { incarnation: id, ..member(2) };
        receive(&node, 10 * n, id, view(epoch, vec![member(ME), newcomer]));
        receive(&node, 10 * n + 1, id, heartbeat(epoch));
        if n > 0 {
            // Messages of a removed member may be late.
            receive(&node, 10 * n + 2, Incarnation(id.0 - 1), heartbeat(epoch - 1));
        }
    }
    let known = known(&node);
    assert!(known.len() <= MAX_KNOWN, "{} of {FORMER} members are known", known.len());
}
