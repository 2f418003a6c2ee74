//! Announcements of processes that are joining: which process of a VM becomes its member.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::event::{
    Command, Event, LogEntry, StoreCall, StoreKey, StoreResult, Versioned,
};
use badgerfield_core::ids::Incarnation;
use badgerfield_core::view::{Member, MemberState, View};
use badgerfield_core::{Config, Node, Pacing};
use bytes::Bytes;
use serde_json::{Value, json};

const TICK: Duration = Duration::from_millis(50);
/// The incarnation of the process under test.
const ME: u64 = 500;
/// The VM whose processes start and end.
const VM: u64 = 7;
/// The maximum time from an announcement to the view that takes it into account.
const JOIN_TIME: Duration = Duration::from_secs(3);

fn member(vm: u64, id: u64) -> Member {
    Member {
        vm: format!("vm-{vm}").parse().expect("the name is valid"),
        incarnation: Incarnation(id),
        region: "north".parse().expect("the name is valid"),
        domain: "d".parse().expect("the name is valid"),
        peer: ([127, 0, 0, 1], 1).into(),
        caller: ([127, 0, 0, 1], 2).into(),
        standing: MemberState::Active,
        link_mbps: 0,
    }
}

/// Returns an announcement of a process of [`VM`], as it is in the store.
fn announcement(id: u64, earlier: &[u64], revision: u64) -> Versioned {
    let mut value = serde_json::to_value(member(VM, id)).expect("JSON");
    value["earlier"] = json!(earlier);
    stored(&value, revision)
}

fn stored(value: &Value, revision: u64) -> Versioned {
    Versioned { value: Some(Bytes::from(value.to_string())), revision }
}

/// One process, and a store that holds the view and the announcements.
struct Process {
    node: Node,
    now: Time,
    values: BTreeMap<StoreKey, Versioned>,
    revision: u64,
    /// Whether writes of the view succeed.
    accepts_views: bool,
    removed: bool,
}

impl Process {
    /// Starts a process on a VM, before a store with this view and with the announcement that an
    /// earlier process of [`VM`] has left there.
    fn start(vm: u64, view: &View, left_behind: Option<Versioned>) -> Self {
        let node = Node::new(Config {
            member: member(vm, ME),
            ledger_shards: 1,
            key_retention: Duration::from_mins(15),
            answer_retention: Duration::from_mins(2),
            max_answer_bytes: 1_000_000,
            directory_ttl: Duration::from_secs(2),
            pacing: Pacing::default(),
            seed: 1,
        });
        let mut process = Self {
            node,
            now: Time::default(),
            values: BTreeMap::new(),
            revision: 100,
            accepts_views: true,
            removed: false,
        };
        process.put(StoreKey::View, Bytes::from(view.encode()));
        if let Some(value) = left_behind.and_then(|found| found.value) {
            process.put(StoreKey::Joiner(member(VM, 0).vm), value);
        }
        process.handle(Event::Start);
        process
    }

    /// Starts a process that is a host of announcements, in a view with these other members.
    fn host(others: &[Member]) -> Self {
        let mut members = others.to_vec();
        members.push(member(1, ME));
        let view = View::default().with_members(members, true);
        let mut process = Self::start(1, &view, None);
        process.advance(TICK);
        assert!(process.node.is_join_host(), "the process is no host");
        process
    }

    fn put(&mut self, key: StoreKey, value: Bytes) -> u64 {
        self.revision += 1;
        self.values.insert(key, Versioned { value: Some(value), revision: self.revision });
        self.revision
    }

    fn handle(&mut self, event: Event) {
        let commands = self.node.handle(self.now, event);
        for command in commands {
            self.removed |= matches!(command, Command::Log(LogEntry::Removed));
            let Command::CallStore(id, call) = command else {
                continue;
            };
            let result = self.call(call);
            self.handle(Event::StoreReply(id, result));
        }
    }

    fn call(&mut self, call: StoreCall) -> StoreResult {
        match call {
            StoreCall::Get(StoreKey::View) => {
                StoreResult::Value(self.values.get(&StoreKey::View).cloned().unwrap_or_default())
            }
            StoreCall::CompareAndSwap { key, expected_revision, value } => {
                let found = self.values.get(&key).cloned().unwrap_or_default();
                let is_refused = key == StoreKey::View && !self.accepts_views;
                if found.revision != expected_revision || is_refused {
                    return StoreResult::Conflict(found);
                }
                StoreResult::Written(self.put(key, value))
            }
            StoreCall::Get(_) | StoreCall::GetCurrent(_) | StoreCall::WriteAll { .. } => {
                StoreResult::Unknown
            }
        }
    }

    fn advance(&mut self, span: Duration) {
        let until = self.now.after(span);
        while self.now < until {
            self.now = self.now.after(TICK);
            self.handle(Event::Tick);
        }
    }

    fn stored_view(&self) -> View {
        let value = self.values.get(&StoreKey::View).and_then(|found| found.value.clone());
        View::decode(value.as_deref()).expect("a view")
    }

    /// Returns the processes of [`VM`] that are members.
    fn members_of_vm(&self) -> Vec<u64> {
        let vm = member(VM, 0).vm;
        self.stored_view().members.iter().filter(|m| m.vm == vm).map(|m| m.incarnation.0).collect()
    }

    /// Returns the announcement of this process, if the store has one.
    fn announced(&self) -> Option<Value> {
        let found = self.values.get(&StoreKey::Joiner(member(VM, 0).vm))?;
        serde_json::from_slice(found.value.as_ref()?).ok()
    }
}

/// Guards against a live process that is not added because a dead one of its VM has the larger
/// incarnation.
#[test]
fn newest_announcement_of_a_vm_wins() {
    for (dead, live) in [(9, 3), (3, 9)] {
        let mut host = Process::host(&[]);
        let found = vec![announcement(dead, &[], 201), announcement(live, &[dead], 202)];
        host.handle(Event::Joiners(found));
        host.advance(JOIN_TIME);
        assert_eq!(host.members_of_vm(), [live], "{dead} ended before {live} started");
    }
}

/// The same for announcements that a host learns of in the wrong order.
#[test]
fn newest_announcement_of_a_vm_wins_when_it_is_read_first() {
    let mut host = Process::host(&[]);
    host.handle(Event::Joiners(vec![announcement(3, &[9], 202)]));
    host.handle(Event::Joiners(vec![announcement(9, &[], 201)]));
    host.advance(JOIN_TIME);
    assert_eq!(host.members_of_vm(), [3]);
}

/// Guards against a live member that is replaced by a dead process of its VM: it had written itself
/// into the view, and a host read the older announcement late.
#[test]
fn announcement_of_a_dead_process_replaces_no_live_member() {
    for (dead, live) in [(9, 3), (3, 9)] {
        let mut host = Process::host(&[member(VM, live)]);
        host.handle(Event::Joiners(vec![announcement(dead, &[1], 201)]));
        host.advance(JOIN_TIME);
        assert_eq!(host.members_of_vm(), [live], "{dead} ended before {live} started");
    }
}

/// Guards against the same while a further announcement raises the joined revision: the dead process
/// must not be added later either.
#[test]
fn announcement_of_a_dead_process_is_dropped_for_good() {
    let mut host = Process::host(&[member(VM, 3)]);
    host.handle(Event::Joiners(vec![announcement(9, &[], 202)]));
    host.advance(JOIN_TIME);
    let without = host.stored_view().without_members(&[Incarnation(3)], true);
    host.put(StoreKey::View, Bytes::from(without.encode()));
    host.advance(JOIN_TIME);
    assert!(host.members_of_vm().is_empty(), "{:?}", host.members_of_vm());
}

/// Guards against a process that is never added because its ended predecessor is still a member.
#[test]
fn announced_process_replaces_the_member_before_it() {
    for (dead, live) in [(9, 3), (3, 9)] {
        let mut host = Process::host(&[member(VM, dead)]);
        host.handle(Event::Joiners(vec![announcement(live, &[dead], 201)]));
        host.advance(JOIN_TIME);
        assert_eq!(host.members_of_vm(), [live], "{dead} ended before {live} started");
    }
}

/// Guards against processes of the version before that are not added: their announcements do not
/// say which processes ended before them.
#[test]
fn announcement_in_the_format_of_the_version_before_is_accepted() {
    let mut host = Process::host(&[member(VM, 9)]);
    let value = serde_json::to_value(member(VM, 3)).expect("JSON");
    host.handle(Event::Joiners(vec![stored(&value, 201)]));
    host.advance(JOIN_TIME);
    assert_eq!(host.members_of_vm(), [3]);
}

/// Returns a view of a large fleet, whose members may have ended, with these processes of [`VM`].
fn large_view(of_vm: &[u64]) -> View {
    let others = (100..160).map(|n| member(n, n));
    let own = of_vm.iter().map(|id| member(VM, *id));
    View::default().with_members(others.chain(own).collect(), true)
}

/// Guards against a live process that hosts take for the older one: its announcement names the
/// member of its VM, and the process whose announcement it replaces with all before that.
#[test]
fn announcement_names_the_processes_that_ended_before() {
    let left_behind = announcement(9, &[2], 0);
    let mut process = Process::start(VM, &large_view(&[3]), Some(left_behind));
    process.accepts_views = false;
    process.advance(JOIN_TIME);
    let announced = process.announced().expect("the process announces itself");
    assert_eq!(announced["incarnation"], json!(ME));
    assert_eq!(announced["earlier"], json!([2, 9, 3]), "{announced}");
}

/// Guards against a live process that waits for a host in vain: an earlier process of its VM was
/// added after it had announced itself.
#[test]
fn process_announces_again_when_an_earlier_one_becomes_a_member() {
    let mut process = Process::start(VM, &large_view(&[]), None);
    process.accepts_views = false;
    process.advance(JOIN_TIME);
    let announced = process.announced().expect("the process announces itself");
    assert_eq!(announced["earlier"], json!([]), "{announced}");
    let view = process.stored_view().with_member(member(VM, 3), true);
    process.put(StoreKey::View, Bytes::from(view.encode()));
    process.advance(JOIN_TIME + JOIN_TIME);
    let announced = process.announced().expect("the process announces itself");
    assert_eq!(announced["earlier"], json!([3]), "{announced}");
    assert!(!process.removed);
}
