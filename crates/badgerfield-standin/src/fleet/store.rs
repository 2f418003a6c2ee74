//! A fake of the store, with the operators' values in it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::evacuation::DomainChange;
use badgerfield_core::event::{Event, OperatorValues, StoreCall, StoreKey, StoreResult, Versioned};
use badgerfield_core::ids::{Domain, Incarnation, StoreCallId};
use badgerfield_core::ledger::LedgerShard;
use badgerfield_core::template::TemplateSet;
use badgerfield_core::view::View;
use bytes::Bytes;

use super::{Fleet, ScheduledAction, StoredSegments, link};

/// The delay of a call or an answer.
const DELAY: Duration = Duration::from_millis(3);
/// The time after which a process gives a call up.
const TIMEOUT: Duration = Duration::from_secs(1);

/// The values of the store, and the faults that it shows.
#[derive(Debug, Default)]
pub struct FakeStore {
    /// Whether the store neither executes nor answers calls.
    pub down: bool,
    /// How many of the next writes are executed without a reply.
    pub lose_replies: u64,
    /// Whether every other read returns the previous value.
    pub stale: bool,
    /// Additional delay of each call.
    pub slow: Duration,
    /// Additional delay of announcements of joining processes on their way to hosts.
    pub announcement_delay: Duration,
    /// Additional delay of each call that a VM's process makes, by VM. The call is executed even if
    /// the process has ended meanwhile.
    pub late_vms: BTreeMap<usize, Duration>,
    /// Regions that cannot reach the store.
    pub partitioned_regions: BTreeSet<usize>,
    /// VMs that cannot reach the store.
    pub partitioned_vms: BTreeSet<usize>,
    /// Whether watches have stalled without notice; calls are answered.
    pub watches_stalled: bool,
    /// Reads so far.
    pub reads: u64,
    /// Writes so far, with conflicts.
    pub writes: u64,
    /// Writes that failed because the revision of the value was not the expected one.
    pub conflicts: u64,
    /// Writes of the view so far, with conflicts.
    pub view_writes: u64,
    /// When each VM last read operators' values.
    pub(super) operators_read: BTreeMap<usize, Time>,
    /// Bytes written so far.
    pub bytes: u64,
    /// Segments of records of streams.
    pub segments: StoredSegments,
    evacuated: BTreeMap<Domain, u64>,
    values: BTreeMap<StoreKey, Versioned>,
    previous_values: BTreeMap<StoreKey, Versioned>,
    revision: u64,
}

impl FakeStore {
    /// Returns the current delay of a call or an answer.
    pub(super) fn delay(&self) -> Duration {
        DELAY + self.slow
    }

    /// Returns the stored state of a shard of the ledger.
    #[must_use]
    pub fn ledger(&self, shard: u32) -> LedgerShard {
        let value = self.values.get(&StoreKey::Ledger(shard)).and_then(|v| v.value.clone());
        LedgerShard::decode(value.as_deref()).unwrap_or_default()
    }

    /// Returns the stored view.
    #[must_use]
    pub fn view(&self) -> View {
        let value = self.values.get(&StoreKey::View).and_then(|v| v.value.clone());
        View::decode(value.as_deref()).unwrap_or_default()
    }

    /// Writes templates, as an operator does. Returns `false` if the store is down.
    pub(super) fn write_templates(&mut self, set: &TemplateSet) -> bool {
        if self.down {
            return false;
        }
        self.put(StoreKey::Templates, Bytes::from(set.encode()));
        true
    }

    /// Evacuates or restores a domain, as an operator does.
    pub(super) fn evacuate(&mut self, domain: &Domain, evacuated: bool) -> DomainChange {
        self.revision += 1;
        let revision = self.revision;
        if evacuated {
            self.evacuated.insert(domain.clone(), revision);
        } else {
            self.evacuated.remove(domain);
        }
        DomainChange { domain: domain.clone(), revision, evacuated }
    }

    /// Assigns a revision to a change that is kept elsewhere.
    pub(super) fn next_revision(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }

    /// Returns a stored value.
    pub fn value(&self, name: &StoreKey) -> Option<Bytes> {
        self.values.get(name)?.value.clone()
    }

    /// Answers a VM that reads the operators' values to watch them from then on.
    pub(super) fn read_operators(&mut self, vm: usize, now: Time) -> StoreResult {
        self.reads += 1;
        self.operators_read.insert(vm, now);
        let templates = self.value(&StoreKey::Templates);
        StoreResult::Operators(self.operator_values(templates))
    }

    /// Returns the operators' values, without rollout orders.
    fn operator_values(&self, templates: Option<Bytes>) -> OperatorValues {
        let evacuated = self.evacuated.iter().map(|(domain, revision)| DomainChange {
            domain: domain.clone(),
            revision: *revision,
            evacuated: true,
        });
        OperatorValues {
            revision: self.revision,
            templates,
            evacuated: evacuated.collect(),
            rollouts: Vec::new(),
        }
    }

    pub(super) fn put(&mut self, name: StoreKey, value: Bytes) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let new = Versioned { value: Some(value), revision };
        if let Some(old) = self.values.insert(name.clone(), new) {
            self.previous_values.insert(name, old);
        }
        revision
    }

    pub(super) fn remove(&mut self, name: &StoreKey) {
        self.values.remove(name);
    }

    /// Returns all announcements of joining processes.
    fn announcements(&self) -> Vec<Versioned> {
        let is_joiner = |key: &StoreKey| matches!(key, StoreKey::Joiner(_));
        let found = self.values.iter().filter(|(key, _)| is_joiner(key));
        found.map(|(_, value)| value.clone()).collect()
    }

    /// Returns how long a call of a VM's process takes until it is executed.
    pub(super) fn call_delay(&self, vm: usize) -> Duration {
        self.delay() + self.late_vms.get(&vm).copied().unwrap_or_default()
    }

    /// Executes a call. Returns its result and whether the reply is lost.
    fn execute_call(&mut self, now: Time, call: &StoreCall) -> (StoreResult, bool) {
        match call {
            StoreCall::Get(name) => {
                self.reads += 1;
                let stale = self.stale && self.reads.is_multiple_of(2);
                let values = if stale { &self.previous_values } else { &self.values };
                let found = values.get(name).cloned().unwrap_or_default();
                if *name == StoreKey::Templates {
                    return (StoreResult::Operators(self.operator_values(found.value)), false);
                }
                (StoreResult::Value(found), false)
            }
            StoreCall::GetCurrent(name) => {
                self.writes += 1;
                (StoreResult::Value(self.values.get(name).cloned().unwrap_or_default()), false)
            }
            StoreCall::WriteAll { put, delete } => self.call_write_all(now, put, delete),
            StoreCall::CompareAndSwap { key: name, expected_revision, value } => {
                self.writes += 1;
                self.view_writes += u64::from(*name == StoreKey::View);
                let found = self.values.get(name).cloned().unwrap_or_default();
                if found.revision != *expected_revision {
                    self.conflicts += 1;
                    return (StoreResult::Conflict(found), false);
                }
                self.bytes += u64::try_from(value.len()).unwrap_or(0);
                let revision = self.put(name.clone(), value.clone());
                let lost = self.lose_replies > 0;
                self.lose_replies = self.lose_replies.saturating_sub(1);
                (StoreResult::Written(revision), lost)
            }
        }
    }
}

impl Fleet {
    /// Executes a call that was sent at the time `sent`, and schedules its answer.
    pub(super) fn apply_call(
        &mut self,
        from: Incarnation,
        call_id: StoreCallId,
        call: &StoreCall,
        sent: Time,
    ) {
        let vm = self.vm_of.get(&from).copied().unwrap_or(0);
        let region = self.region_of(vm);
        let is_cut = self.store.partitioned_regions.contains(&region)
            || self.store.partitioned_vms.contains(&vm);
        if self.defer_late_write(from, call_id, call) {
            let event = Event::StoreReply(call_id, StoreResult::Unknown);
            self.schedule(self.now.after(TIMEOUT), ScheduledAction::Deliver(from, event));
            return;
        }
        let (result, delay) = if self.store.down || is_cut {
            (StoreResult::Unknown, TIMEOUT)
        } else {
            if *call == StoreCall::Get(StoreKey::Templates) {
                self.store.operators_read.insert(vm, self.now);
            }
            let (result, is_lost) = self.store.execute_call(self.now, call);
            self.repeat_segment_write(call);
            self.check_record_change();
            self.show_announcement(call, &result);
            match (self.with_orders(result), is_lost) {
                (_, true) => (StoreResult::Unknown, TIMEOUT),
                (result, false) => (result, self.store.delay()),
            }
        };
        let size = link::answer_bytes(&result);
        let (event, at) = match self.answer_over_link(from, region, size, sent) {
            None => (Event::StoreReply(call_id, result), self.now.after(delay)),
            Some(Ok(at)) => (Event::StoreReply(call_id, result), at.after(delay)),
            Some(Err(timed_out_at)) => {
                (Event::StoreReply(call_id, StoreResult::Unknown), timed_out_at)
            }
        };
        self.schedule(at, ScheduledAction::Deliver(from, event));
    }

    /// Delivers an announcement of a joining process to the processes that watch for them.
    fn show_announcement(&mut self, call: &StoreCall, result: &StoreResult) {
        let StoreCall::CompareAndSwap { key: StoreKey::Joiner(_), value, .. } = call else {
            return;
        };
        let StoreResult::Written(revision) = result else {
            return;
        };
        let found = Versioned { value: Some(value.clone()), revision: *revision };
        let hosts: Vec<_> = (0..self.size()).filter(|vm| self.vms[*vm].is_join_host).collect();
        for vm in hosts {
            self.deliver_announcements(vm, vec![found.clone()]);
        }
    }

    /// Delivers all announcements to a process that has begun to watch for them.
    pub(super) fn join_host_tick(&mut self, vm: usize) {
        let is_host = self.node(vm).is_some_and(badgerfield_core::Node::is_join_host);
        let was_host = std::mem::replace(&mut self.vms[vm].is_join_host, is_host);
        if is_host && !was_host {
            let found = self.store.announcements();
            self.store.reads += 1;
            self.deliver_announcements(vm, found);
        }
    }

    fn deliver_announcements(&mut self, vm: usize, found: Vec<Versioned>) {
        let is_cut = self.store.partitioned_regions.contains(&self.region_of(vm))
            || self.store.partitioned_vms.contains(&vm);
        if found.is_empty() || self.store.down || is_cut {
            return;
        }
        let incarnation = self.vms[vm].member.incarnation;
        let at = self.now.after(self.store.delay() + self.store.announcement_delay);
        self.schedule(at, ScheduledAction::Deliver(incarnation, Event::Joiners(found)));
    }

    /// Sends an answer of the store over the link between regions, if it has limited bandwidth and
    /// the receiver is in another region. Returns when the answer arrives, or as an error when the
    /// call times out before that.
    fn answer_over_link(
        &mut self,
        to: Incarnation,
        region: usize,
        bytes: usize,
        sent: Time,
    ) -> Option<Result<Time, Time>> {
        let now = self.now;
        let link = self.link.as_mut().filter(|_| region != link::STORE_REGION)?;
        let deadline = sent.after(link.timeout_of(to).current());
        // No answer is sent after the call has timed out.
        let at = link.send(now, (link::STORE_REGION, region), bytes, Some(deadline));
        let arrives = at.filter(|at| *at <= deadline);
        match arrives {
            Some(at) => link.timeout_of(to).record_answer(at.since(sent)),
            None => link.timeout_of(to).record_timeout(),
        }
        Some(arrives.ok_or(deadline))
    }

    /// Adds the orders of rollouts to operators' values that were read.
    pub(super) fn with_orders(&self, result: StoreResult) -> StoreResult {
        let StoreResult::Operators(mut found) = result else {
            return result;
        };
        let orders = self.rollouts.orders.values().filter(|change| change.order.is_some());
        found.rollouts = orders.cloned().collect();
        StoreResult::Operators(found)
    }
}
