//! Simulates a fleet: many nodes in one process, with fakes of the store, the operators, the
//! callers and the upstreams.
//!
//! The simulation is deterministic: time is simulated, events are processed one at a time in a
//! fixed order, and the same seed gives the same history. Messages between nodes are delayed, and
//! may be lost, duplicated or reordered. Nodes may be killed, suspended or partitioned. The store
//! may be down or lose replies. [`Truth`] records what upstreams ran and what was billed.

mod balance;
mod callers;
mod config;
mod crashes;
mod evacuations;
mod link;
mod listing;
mod operators;
mod processes;
mod rollouts;
mod steps;
mod store;
mod streams;
mod truth;
mod upstreams;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use badgerfield_core::amount::{Percent, Time, Tokens};
use badgerfield_core::event::StoreKey;
use badgerfield_core::ids::{Account, BudgetId, Domain, Incarnation, RequestId, TemplateVersion};
use badgerfield_core::refusal::Refusal;
use badgerfield_core::template::TemplateSet;
use badgerfield_core::view::Member;
use badgerfield_core::vm_upstreams::{VmEntry, VmList};
use badgerfield_core::{Event, Node};
use bytes::Bytes;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub use balance::{Balance, EndedProcess};
pub use config::{FleetConfig, RequestSpec, account, engines, member, region_name, secret};
use config::{account_template, budget_template, incoming_request};
pub use link::Link;
pub use listing::Listing;
pub use rollouts::{RolloutTruth, Traffic, VersionFault, service, version};
pub use store::FakeStore;
pub use streams::{SegmentCounts, SegmentFaults, StoredSegments};
pub use truth::{Truth, key_of};
use upstreams::Upstreams;

/// The delay of a message within a region.
const REGION_LATENCY: Duration = Duration::from_millis(1);
/// The delay of a message between regions.
const CROSS_REGION_LATENCY: Duration = Duration::from_millis(15);
/// The upper bound of the random delay that is added to each message, in microseconds.
const MAX_JITTER_US: u64 = 3000;
/// The time that correct wall clocks show at the start, in milliseconds since 1970.
const CLOCK_START_MS: u64 = 1_800_000_000_000;

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The complete answer arrived; it cost this many tokens.
    Complete(Tokens),
    /// The request was refused.
    Refused(Refusal),
    /// The answer ended early.
    Broken(Refusal),
    /// The process of the VM ended.
    Lost,
}

/// A request, as seen by its caller.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// The content of the request.
    pub spec: RequestSpec,
    /// The VM to which the request was sent.
    pub vm: usize,
    /// When the request was sent.
    pub sent_at: Time,
    /// When the head of the answer arrived.
    pub head_at: Option<Time>,
    /// When the request first reached an upstream.
    pub dispatched_at: Option<Time>,
    /// The parts of the answer that have arrived.
    pub data: Vec<u64>,
    /// How and when the request ended.
    pub end: Option<(End, Time)>,
}

/// One VM.
#[derive(Debug)]
struct Vm {
    member: Member,
    node: Option<Node>,
    started: Time,
    is_suspended: bool,
    backlog: Vec<Event>,
    version: TemplateVersion,
    /// The failure domains that are evacuated as far as the process knows.
    evacuated: BTreeSet<Domain>,
    gateway: rollouts::Gateway,
    /// Whether the process receives the announcements of joining processes.
    is_join_host: bool,
    listing: listing::ListState,
    operators: operators::OperatorWatch,
}

/// An action that is scheduled for a later time.
#[derive(Debug)]
enum ScheduledAction {
    Deliver(Incarnation, Event),
    Tick(Incarnation),
    /// The VM checks whether it watches operators' values.
    CheckOperators(Incarnation),
    /// The store answers a read of the list of upstreams, or of its changes since a revision.
    ListRead(Incarnation, Option<u64>),
    ExtendStream(usize),
    StoreCall(
        Incarnation,
        badgerfield_core::ids::StoreCallId,
        badgerfield_core::event::StoreCall,
        Time,
    ),
    /// The store executes a write once more.
    RepeatedWrite(Vec<(StoreKey, Bytes)>, Vec<StoreKey>),
    DeliverVmList,
}

/// Many nodes, with fakes of the store, the operators, the callers and the upstreams.
#[derive(Debug)]
pub struct Fleet {
    /// By how many milliseconds the wall clocks of VMs are ahead.
    clock_offsets_ms: BTreeMap<usize, i64>,
    /// The current time.
    pub now: Time,
    /// The store.
    pub store: FakeStore,
    /// What upstreams ran, and what was billed.
    pub truth: Truth,
    /// All requests, by id.
    pub requests: BTreeMap<RequestId, CallerRequest>,
    /// The templates that the operator wrote last.
    pub templates: TemplateSet,
    /// Rollouts, and the requests that versions received.
    pub rollouts: RolloutTruth,
    /// Violations of the product's guarantees that the simulation has found.
    pub violations: Vec<String>,
    /// The link between regions, if its bandwidth is limited.
    pub link: Option<Link>,
    /// The platform's list of upstreams; VMs have tables of it if it has any.
    pub listing: Listing,
    /// Links of single VMs on which answers to callers leave little bandwidth.
    pub full_links: BTreeMap<usize, Link>,
    /// The pairs of VMs between which messages from the first to the second are lost.
    pub lost_paths: BTreeSet<(usize, usize)>,
    config: FleetConfig,
    vms: Vec<Vm>,
    upstreams: Upstreams,
    scheduled: BTreeMap<(Time, u64), ScheduledAction>,
    next_action: u64,
    next_request: u64,
    next_incarnation: u64,
    partitioned_regions: BTreeSet<usize>,
    list: VmList,
    kills: u64,
    ended_processes: Vec<EndedProcess>,
    /// Transfers to processes that had ended, by sender, receiver and sequence number.
    undeliverable: BTreeMap<(Incarnation, Incarnation, u64), (BudgetId, u64)>,
    rng: ChaCha8Rng,
    /// Draws the losses and delays of operators' updates, so that their number does not change the
    /// history of everything else.
    operators_rng: ChaCha8Rng,
    /// The number and the bytes of messages, by kind.
    messages: BTreeMap<&'static str, (u64, u64)>,
    /// The same for messages to another region.
    cross_region_messages: BTreeMap<&'static str, (u64, u64)>,
    /// The same for messages to another failure domain.
    cross_domain_messages: BTreeMap<&'static str, (u64, u64)>,
    vm_of: HashMap<Incarnation, usize>,
}

impl Fleet {
    /// Creates a fleet whose processes have not started.
    #[must_use]
    pub fn new(config: FleetConfig) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(config.seed);
        let operators_rng = ChaCha8Rng::seed_from_u64(!config.seed);
        let upstreams = Upstreams::new(config.engines);
        let mut fleet = Self {
            now: Time::from_millis(1000),
            store: FakeStore::default(),
            truth: Truth::default(),
            requests: BTreeMap::new(),
            rollouts: RolloutTruth::new(config.seed),
            templates: TemplateSet::default(),
            violations: Vec::new(),
            link: None,
            listing: Listing::default(),
            full_links: BTreeMap::new(),
            lost_paths: BTreeSet::new(),
            vms: Vec::new(),
            upstreams,
            scheduled: BTreeMap::new(),
            next_action: 0,
            next_request: 1,
            next_incarnation: 1,
            partitioned_regions: BTreeSet::new(),
            list: VmList { version: 1, vms: Vec::new() },
            kills: 0,
            ended_processes: Vec::new(),
            undeliverable: BTreeMap::new(),
            clock_offsets_ms: BTreeMap::new(),
            rng,
            operators_rng,
            messages: BTreeMap::new(),
            cross_region_messages: BTreeMap::new(),
            cross_domain_messages: BTreeMap::new(),
            vm_of: HashMap::new(),
            config,
        };
        fleet.make_templates();
        fleet.make_vms();
        fleet
    }

    /// Creates a fleet, starts all processes and advances the time by five seconds.
    #[must_use]
    pub fn started(config: FleetConfig) -> Self {
        let mut fleet = Self::new(config);
        for vm in 0..fleet.vms.len() {
            fleet.start(vm);
        }
        fleet.advance(Duration::from_secs(5));
        fleet
    }

    /// Returns the number of VMs.
    #[must_use]
    pub fn size(&self) -> usize {
        self.vms.len()
    }

    /// Returns the node of a VM, if its process runs.
    #[must_use]
    pub fn node(&self, vm: usize) -> Option<&Node> {
        self.vms.get(vm)?.node.as_ref()
    }

    /// Returns the VMs whose processes are ready and not suspended.
    #[must_use]
    pub fn usable_vms(&self) -> Vec<usize> {
        let usable = |vm: &Vm| !vm.is_suspended && vm.node.as_ref().is_some_and(Node::is_ready);
        (0..self.vms.len()).filter(|i| usable(&self.vms[*i])).collect()
    }

    /// Returns the VMs that the directory lists, as answered by a VM of a region.
    ///
    /// If no VM of the region is usable, a VM of another region answers.
    #[must_use]
    pub fn directory(&self, region: usize) -> Vec<usize> {
        let usable = self.usable_vms();
        let near = usable.iter().find(|i| self.region_of(**i) == region);
        near.or_else(|| usable.first()).map(|vm| self.directory_of(*vm)).unwrap_or_default()
    }

    /// Returns the VMs that the directory lists, as answered by one VM.
    #[must_use]
    pub fn directory_of(&self, vm: usize) -> Vec<usize> {
        let vm = &self.vms[vm];
        let local = Time(self.now.since(vm.started));
        let members = vm.node.as_ref().map(|n| n.available_members(local)).unwrap_or_default();
        members.iter().filter_map(|m| self.vm_of.get(&m.incarnation).copied()).collect()
    }

    /// Returns whether the process of a VM runs.
    #[must_use]
    pub fn is_running(&self, vm: usize) -> bool {
        self.vms[vm].node.is_some()
    }

    /// Returns the tokens of a budget that remain in the ledger.
    #[must_use]
    pub fn remaining(&self, budget: usize) -> u64 {
        let id = Self::budget(budget);
        let shard = badgerfield_core::ledger::shard_of(&id, self.config.shards);
        self.store.ledger(shard).budgets.get(&id).map_or(0, |entry| entry.remaining().0)
    }

    /// Returns the tokens of a budget that running processes hold.
    #[must_use]
    pub fn held(&self, budget: usize) -> u64 {
        let id = Self::budget(budget);
        let mut held = 0;
        for node in self.vms.iter().filter_map(|vm| vm.node.as_ref()) {
            let balance = node.balance(&id);
            let spendable = balance.free.0 + balance.reserved.0 + balance.sealed.0;
            held += spendable + balance.parked.0 + balance.in_transit.0;
        }
        held
    }

    /// Returns the id of a budget.
    #[must_use]
    pub fn budget(index: usize) -> BudgetId {
        format!("account-{index}/main")
            .parse()
            .unwrap_or_else(|_| unreachable!("the name is valid"))
    }

    /// Returns the number and the bytes of messages sent, by kind.
    #[must_use]
    pub fn messages(&self) -> &BTreeMap<&'static str, (u64, u64)> {
        &self.messages
    }

    /// Returns the number and the bytes of messages sent to another region, by kind.
    #[must_use]
    pub fn cross_region_messages(&self) -> &BTreeMap<&'static str, (u64, u64)> {
        &self.cross_region_messages
    }

    /// Returns the number and the bytes of messages sent to another failure domain, by kind.
    #[must_use]
    pub fn cross_domain_messages(&self) -> &BTreeMap<&'static str, (u64, u64)> {
        &self.cross_domain_messages
    }

    /// Removes a VM from the list of VMs.
    pub fn remove_vm_from_list(&mut self, index: usize) {
        let name = self.vms[index].member.vm.clone();
        self.list.vms.retain(|vm| vm.vm != name);
        self.publish_vm_list();
    }

    /// Adds a VM to the list of VMs again.
    pub fn add_vm_to_list(&mut self, index: usize) {
        let vm = self.vms[index].member.vm.clone();
        self.list.vms.retain(|entry| entry.vm != vm);
        self.list.vms.push(VmEntry { vm, leaving: false, upstream: None });
        self.publish_vm_list();
    }

    /// Marks an upstream as leaving in the list of VMs, which reaches the processes after a delay.
    pub fn mark_upstream_leaving(&mut self, index: usize) {
        for vm in &mut self.list.vms {
            if vm.upstream.as_ref().is_some_and(|u| u.id == Upstreams::id(index)) {
                vm.leaving = true;
            }
        }
        self.publish_vm_list();
    }

    /// Writes changed templates, as an operator does. Returns whether they are valid and the store
    /// accepted them.
    pub fn change_templates(&mut self, change: impl FnOnce(&mut TemplateSet)) -> bool {
        let mut wanted = self.templates.clone();
        change(&mut wanted);
        let author = "operator".parse().unwrap_or_else(|_| unreachable!("the name is valid"));
        let write_id = self.next_action.to_string();
        let Ok(next) = self.templates.replace(wanted, author, 0, write_id) else {
            return false;
        };
        if !self.store.write_templates(&next) {
            return false;
        }
        self.truth.record_limits(&next);
        self.templates = next;
        self.notify_template_watchers();
        true
    }

    fn schedule(&mut self, time: Time, action: ScheduledAction) {
        self.next_action += 1;
        self.scheduled.insert((time.max(self.now), self.next_action), action);
    }

    fn index_of(&self, id: Incarnation) -> Option<usize> {
        let index = *self.vm_of.get(&id)?;
        let vm = &self.vms[index];
        (vm.member.incarnation == id && vm.node.is_some()).then_some(index)
    }

    /// Returns the index of a VM's region.
    #[must_use]
    pub fn region_of(&self, index: usize) -> usize {
        let mut first = 0;
        for (region, size) in self.config.regions.iter().enumerate() {
            first += size;
            if index < first {
                return region;
            }
        }
        0
    }

    fn check_version(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        let Some(node) = &vm.node else {
            return;
        };
        let version = node.template_version();
        if version < vm.version {
            self.violations.push(format!("templates went back from {} to {version}", vm.version));
        }
        vm.version = version;
    }

    fn publish_vm_list(&mut self) {
        self.list.version += 1;
        let delay = Duration::from_secs(3);
        self.schedule(self.now.after(delay), ScheduledAction::DeliverVmList);
    }

    fn make_templates(&mut self) {
        let (limits, routes) = (self.config.limits.clone(), self.config.routes);
        let spread = Percent::new(self.config.spread).unwrap_or_else(|_| unreachable!("a share"));
        self.change_templates(|set| {
            for (i, limit) in limits.iter().enumerate() {
                let account: Account =
                    format!("account-{i}").parse().unwrap_or_else(|_| unreachable!());
                set.accounts.insert(account, account_template(spread));
                set.budgets.insert(Self::budget(i), budget_template(i, *limit));
            }
            set.routing.routes = config::routes(routes);
        });
    }

    fn make_vms(&mut self) {
        self.list.vms = self.upstreams.entries();
        let mut index = 0;
        for (region, size) in self.config.regions.clone().into_iter().enumerate() {
            for offset in 0..size {
                let domain = offset % self.config.domains.max(1);
                let member = member(index, region, domain, Incarnation(0));
                let entry = VmEntry { vm: member.vm.clone(), leaving: false, upstream: None };
                self.list.vms.push(entry);
                self.vms.push(Vm {
                    member,
                    node: None,
                    started: self.now,
                    is_suspended: false,
                    backlog: Vec::new(),
                    version: TemplateVersion(0),
                    evacuated: BTreeSet::new(),
                    gateway: rollouts::Gateway::default(),
                    is_join_host: false,
                    listing: listing::ListState::default(),
                    operators: operators::OperatorWatch::default(),
                });
                index += 1;
            }
        }
    }
}
