//! Evacuations by an operator, and which VMs have applied them.

use std::time::Duration;

use badgerfield_core::Event;
use badgerfield_core::amount::Time;
use badgerfield_core::evacuation::DomainChange;
use badgerfield_core::event::OperatorChanges;
use badgerfield_core::ids::Domain;

use super::{Fleet, ScheduledAction};

/// The time since a VM last received the list of upstreams. It is shorter than the interval
/// between two reads of the VMs that watch the store.
const LIST_AGE: Duration = Duration::from_millis(400);

impl Fleet {
    /// Evacuates or restores a failure domain, as an operator does. Returns `false` if the store is
    /// down.
    ///
    /// VMs that watch the store receive the change.
    pub fn evacuate(&mut self, domain: &Domain, evacuated: bool) -> bool {
        if self.store.down {
            return false;
        }
        let change = self.store.evacuate(domain, evacuated);
        let at = self.now.after(self.store.delay());
        let is_cut = |vm: &usize| self.store.partitioned_vms.contains(vm);
        let watchers: Vec<_> =
            (0..self.size()).filter(|vm| self.watches(*vm) && !is_cut(vm)).collect();
        for vm in watchers {
            let event = Event::OperatorChanges(OperatorChanges {
                revision: change.revision,
                templates: None,
                domains: vec![change.clone()],
                rollouts: Vec::new(),
            });
            let incarnation = self.vms[vm].member.incarnation;
            self.schedule(at, ScheduledAction::Deliver(incarnation, event));
        }
        true
    }

    /// Returns the number of VMs at which a domain is evacuated.
    #[must_use]
    pub fn evacuated_count(&self, domain: &Domain) -> usize {
        (0..self.size()).filter(|vm| self.is_evacuated_at(*vm, domain)).count()
    }

    /// Returns whether a domain is evacuated as far as a VM knows.
    #[must_use]
    pub fn is_evacuated_at(&self, vm: usize, domain: &Domain) -> bool {
        self.vms[vm].evacuated.contains(domain)
    }

    /// Applies changes of domains that a node has announced to its driver.
    pub(super) fn apply_evacuations(&mut self, vm: usize, changes: &[DomainChange]) {
        let known = &mut self.vms[vm].evacuated;
        for change in changes {
            if change.evacuated {
                known.insert(change.domain.clone());
            } else {
                known.remove(&change.domain);
            }
        }
    }

    pub(super) fn watches(&self, vm: usize) -> bool {
        let region = self.region_of(vm);
        let Some(node) =
            self.node(vm).filter(|_| !self.store.partitioned_regions.contains(&region))
        else {
            return false;
        };
        let local = Time(self.now.since(self.vms[vm].started));
        node.watches_store(local, Some(LIST_AGE))
    }
}
