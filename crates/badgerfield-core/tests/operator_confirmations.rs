//! Which announcements confirm the operators' values at a process, and which contents it keeps.

#[path = "support/lone_node.rs"]
mod lone_node;

use std::collections::BTreeSet;
use std::time::Duration;

use badgerfield_core::Node;
use badgerfield_core::amount::{Percent, Time, Tokens};
use badgerfield_core::event::{Event, OperatorValues, StoreResult};
use badgerfield_core::ids::{Incarnation, Period, TemplateVersion};
use badgerfield_core::message::{Envelope, Heartbeat, Message, OperatorRead, OperatorUpdate};
use badgerfield_core::residency::Residency;
use badgerfield_core::template::{AccountTemplate, BudgetTemplate, KeyDigest, TemplateSet};
use bytes::Bytes;
use lone_node::node;

const PEER: Incarnation = Incarnation(2);

/// Returns a set of templates with one key.
fn set(version: u64, secret: &str) -> TemplateSet {
    let version = TemplateVersion(version);
    let account = AccountTemplate {
        changed: version,
        priority: 1,
        models: BTreeSet::from(["m".parse().expect("the name is valid")]),
        adapters: BTreeSet::new(),
        hardware: BTreeSet::new(),
        services: BTreeSet::new(),
        unrepeatable: BTreeSet::new(),
        home: None,
        spread: Percent::new(80).expect("a share"),
        output_limit: Tokens(100),
        call_cost: Tokens(1),
        queue_wait: Duration::from_secs(5),
        regions: Residency::default(),
    };
    let keys = BTreeSet::from([KeyDigest::from_secret(secret)]);
    let budget = BudgetTemplate { changed: version, limit: Tokens(10), period: Period(1), keys };
    let mut set = TemplateSet { version, ..TemplateSet::default() };
    set.accounts.insert("a".parse().expect("the name is valid"), account);
    set.budgets.insert("a/b".parse().expect("the name is valid"), budget);
    set
}

fn receive(node: &Node, millis: u64, message: Message) {
    let sender_address = ([127, 0, 0, 1], 3).into();
    let envelope = Envelope { from: PEER, sender_address, to: node.id(), message };
    node.handle(Time::from_millis(millis), Event::Peer(envelope));
}

/// Ends a read of the store that has just begun.
fn read(node: &Node, millis: u64, set: &TemplateSet) {
    let templates = Some(Bytes::from(set.encode()));
    let values = OperatorValues { revision: 1, templates, ..OperatorValues::default() };
    let (requested_at, result) = (Time::from_millis(millis), StoreResult::Operators(values));
    node.handle(requested_at, Event::OperatorsRead { requested_at, result });
}

fn confirmed_age(node: &Node, millis: u64) -> Option<Duration> {
    node.template_status(Time::from_millis(millis)).confirmed_age
}

fn accepts(node: &Node, secret: &str) -> bool {
    node.find_account(&KeyDigest::from_secret(secret)).is_some()
}

/// Guards against a set that differs from the store under one version through all later differences.
#[test]
fn other_contents_under_one_version_are_replaced_by_the_stored_ones() {
    let node = node(1);
    receive(&node, 100, Message::Templates(Box::new(set(5, "lost"))));
    assert!(accepts(&node, "lost"));
    read(&node, 200, &set(5, "kept"));
    assert!(accepts(&node, "kept") && !accepts(&node, "lost"));
    // What a peer has under the same version does not replace it.
    receive(&node, 300, Message::Templates(Box::new(set(5, "lost"))));
    assert!(accepts(&node, "kept") && !accepts(&node, "lost"));
}

/// Guards against confirmations of other values than those in force.
#[test]
fn only_the_same_values_are_confirmed() {
    let node = node(1);
    receive(&node, 100, Message::Templates(Box::new(set(5, "key"))));
    assert_eq!(confirmed_age(&node, 100), None);
    let read = OperatorRead {
        reader: PEER,
        uptime: Duration::from_secs(9),
        took: Duration::ZERO,
        age: Duration::ZERO,
    };
    let heartbeat = |version, operators_digest| {
        let (version, operator_read) = (TemplateVersion(version), Some(read));
        Heartbeat { version, operator_read, operators_digest, ..Heartbeat::default() }
    };
    for version in [4, 5, 6] {
        receive(&node, 200, Message::Heartbeat(heartbeat(version, 7)));
        assert_eq!(confirmed_age(&node, 200), None, "by the heartbeat of v{version}");
        let version = TemplateVersion(version);
        let read = Some(read);
        let update = OperatorUpdate { delta: None, version, digest: 7, read, reach: 0 };
        receive(&node, 200, Message::Operators(update));
        assert_eq!(confirmed_age(&node, 200), None, "by an announcement of {version}");
    }
    let status = node.template_status(Time::from_millis(300));
    assert_eq!(status.newest, TemplateVersion(6));
    assert_eq!(status.missing_for, Some(Duration::from_millis(100)));
    assert!(!node.has_current_templates(Time::from_millis(300)));
}

/// Guards against a stale read that makes an old set count as the newest.
#[test]
fn stale_reads_confirm_nothing() {
    let node = node(1);
    read(&node, 100, &set(5, "new"));
    assert!(node.has_current_templates(Time::from_millis(100)));
    read(&node, 1100, &set(4, "old"));
    assert_eq!(confirmed_age(&node, 1100), Some(Duration::from_secs(1)));
    assert!(accepts(&node, "new"));
    read(&node, 1200, &set(5, "new"));
    assert_eq!(confirmed_age(&node, 1200), Some(Duration::ZERO));
}

/// Guards against members that make a read younger each time they tell each other of it.
#[test]
fn a_read_counts_once() {
    let node = node(1);
    receive(&node, 100, Message::Templates(Box::new(set(5, "key"))));
    let told = |uptime, age| {
        let uptime = Duration::from_millis(uptime);
        let read = OperatorRead { reader: PEER, uptime, took: Duration::ZERO, age };
        Message::Operators(OperatorUpdate {
            delta: None,
            version: TemplateVersion(5),
            digest: node.operators_digest(),
            read: Some(read),
            reach: 0,
        })
    };
    receive(&node, 600, told(7000, Duration::from_millis(100)));
    assert_eq!(confirmed_age(&node, 600), Some(Duration::from_millis(100)));
    // The same read comes again, by a way on which it has not aged, and an earlier one.
    receive(&node, 900, told(7000, Duration::from_millis(100)));
    receive(&node, 900, told(6000, Duration::ZERO));
    assert_eq!(confirmed_age(&node, 900), Some(Duration::from_millis(400)));
    receive(&node, 900, told(7300, Duration::from_millis(50)));
    assert_eq!(confirmed_age(&node, 900), Some(Duration::from_millis(50)));
}

/// Guards against a version that counts as missing after it has come into force.
#[test]
fn versions_in_force_are_not_missing() {
    let node = node(1);
    receive(&node, 100, Message::Templates(Box::new(set(5, "key"))));
    receive(&node, 200, Message::Templates(Box::new(set(4, "key"))));
    for version in [4, 5] {
        let heartbeat = Heartbeat { version: TemplateVersion(version), ..Heartbeat::default() };
        receive(&node, 300, Message::Heartbeat(heartbeat));
        assert_eq!(node.template_status(Time::from_millis(400)).missing_for, None);
    }
    let heartbeat = Heartbeat { version: TemplateVersion(7), ..Heartbeat::default() };
    receive(&node, 500, Message::Heartbeat(heartbeat));
    // A version between the two arrives, so the newest is still missing.
    receive(&node, 600, Message::Templates(Box::new(set(6, "key"))));
    assert!(node.template_status(Time::from_millis(700)).missing_for.is_some());
    receive(&node, 800, Message::Templates(Box::new(set(7, "key"))));
    assert_eq!(node.template_status(Time::from_millis(900)).missing_for, None);
}
