//! The watch of operators' values by the VMs whose role that is.

use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::event::{OperatorChanges, StoreKey, StoreResult};
use badgerfield_core::ids::{Incarnation, TemplateVersion};
use badgerfield_core::{Event, TICK_INTERVAL};
use bytes::Bytes;

use super::{Fleet, ScheduledAction};

/// The interval at which VMs with that role read operators' values.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// The time after which a watch ends without changes.
const WATCH_TIME: Duration = Duration::from_secs(20);
/// The time after which a call is given up.
const TIMEOUT: Duration = Duration::from_millis(700);
/// The time by which the checks of one VM are later than those of the one before.
const PHASE_STEP: Duration = Duration::from_millis(7);

/// How a VM watches operators' values.
#[derive(Debug, Default)]
pub(super) struct OperatorWatch {
    /// When the current watch ends, if there is one.
    watch_until: Option<Time>,
}

impl Fleet {
    /// Returns the VMs that watch operators' values or read them each second.
    #[must_use]
    pub fn operator_readers(&self) -> Vec<usize> {
        let watchers = (0..self.size()).filter(|vm| self.is_watching_operators(*vm));
        self.regular_readers().into_iter().chain(watchers).collect()
    }

    /// Returns the VMs that read operators' values each second.
    #[must_use]
    pub fn regular_readers(&self) -> Vec<usize> {
        let has_read = |vm: &usize| {
            let read_at = self.store.operators_read.get(vm);
            read_at.is_some_and(|at| self.now.since(*at) < READ_INTERVAL * 2)
        };
        (0..self.size()).filter(has_read).collect()
    }

    fn is_watching_operators(&self, vm: usize) -> bool {
        self.vms[vm].operators.watch_until.is_some_and(|until| self.now < until)
    }

    /// Schedules the checks of a VM that has started, if the fleet has a list of upstreams: without
    /// one, no VM watches the store.
    pub(super) fn start_operator_watch(&mut self, vm: usize) {
        self.vms[vm].operators = OperatorWatch::default();
        let steps = u32::try_from(vm).unwrap_or(0) % 7;
        let incarnation = self.vms[vm].member.incarnation;
        let at = self.now.after(PHASE_STEP * steps);
        self.schedule(at, ScheduledAction::CheckOperators(incarnation));
    }

    /// Reads operators' values and begins to watch them, if that is the role of the VM.
    pub(super) fn check_operators(&mut self, vm: usize) {
        let incarnation = self.vms[vm].member.incarnation;
        let next = ScheduledAction::CheckOperators(incarnation);
        if !self.has_to_read_operators(vm) {
            self.schedule(self.now.after(TICK_INTERVAL), next);
            return;
        }
        let requested_at = self.local_time(vm);
        let is_cut = self.store.partitioned_vms.contains(&vm);
        let (result, at) = if self.store.down || is_cut {
            (StoreResult::Unknown, self.now.after(TIMEOUT))
        } else {
            self.vms[vm].operators.watch_until = Some(self.now.after(WATCH_TIME));
            let result = self.store.read_operators(vm, self.now);
            (self.with_orders(result), self.now.after(self.store.delay() * 2))
        };
        let event = Event::OperatorsRead { requested_at, result };
        self.schedule(at, ScheduledAction::Deliver(incarnation, event));
        self.schedule(at.after(TICK_INTERVAL), next);
    }

    fn has_to_read_operators(&self, vm: usize) -> bool {
        let local = self.local_time(vm);
        let Some(node) = self.node(vm).filter(|_| self.listing.upstreams > 0) else {
            return false;
        };
        let is_watcher =
            node.template_version() > TemplateVersion(0) && node.watches_operators(local);
        is_watcher && (!self.is_watching_operators(vm) || node.must_read_operators(local))
    }

    /// Delivers changed templates to the VMs that watch operators' values.
    pub(super) fn notify_template_watchers(&mut self) {
        let found = self.store.value(&StoreKey::Templates);
        let at = self.now.after(self.store.delay());
        if self.store.watches_stalled {
            return;
        }
        for vm in 0..self.size() {
            if self.is_watching_operators(vm) && !self.store.partitioned_vms.contains(&vm) {
                self.deliver_templates(self.vms[vm].member.incarnation, at, found.clone());
            }
        }
    }

    fn deliver_templates(&mut self, to: Incarnation, at: Time, templates: Option<Bytes>) {
        let changes = OperatorChanges { templates, ..OperatorChanges::default() };
        self.schedule(at, ScheduledAction::Deliver(to, Event::OperatorChanges(changes)));
    }
}
