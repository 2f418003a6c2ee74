//! Evacuations as an operator makes them, and what VMs know of them.

use std::time::Duration;

use badgerfield_core::Event;
use badgerfield_core::amount::Time;
use badgerfield_core::evacuation::DomainChange;
use badgerfield_core::event::OperatorChanges;
use badgerfield_core::ids::Domain;

use super::{Fleet, Turn};

/// How long ago a VM heard of the list of upstreams: between two turns of its followers.
const HEARD: Duration = Duration::from_millis(400);

impl Fleet {
    /// Evacuates a failure domain, or takes it back, as an operator does; `false` while the
    /// platform is down.
    ///
    /// Those that follow the platform see it by their watch.
    pub fn evacuate(&mut self, domain: &Domain, evacuated: bool) -> bool {
        if self.platform.down {
            return false;
        }
        let change = self.platform.evacuate(domain, evacuated);
        let at = self.now.after(self.platform.delay());
        let followers: Vec<_> = (0..self.size()).filter(|vm| self.watches(*vm)).collect();
        for vm in followers {
            let event = Event::OperatorChanges(OperatorChanges {
                revision: change.revision,
                templates: None,
                domains: vec![change.clone()],
                rollouts: Vec::new(),
            });
            let incarnation = self.vms[vm].member.incarnation;
            self.at(at, Turn::Event(incarnation, event));
        }
        true
    }

    /// Returns how many running VMs believe a domain to be evacuated.
    #[must_use]
    pub fn evacuated_at(&self, domain: &Domain) -> usize {
        (0..self.size()).filter(|vm| self.believes(*vm, domain)).count()
    }

    /// Tells whether a VM believes a domain to be evacuated.
    #[must_use]
    pub fn believes(&self, vm: usize, domain: &Domain) -> bool {
        self.vms[vm].evacuated.contains(domain)
    }

    /// Takes in what a VM was told to do about domains.
    pub(super) fn note_evacuated(&mut self, vm: usize, changes: &[DomainChange]) {
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
        let Some(node) = self.node(vm).filter(|_| !self.platform.cut.contains(&region)) else {
            return false;
        };
        let local = Time(self.now.since(self.vms[vm].started));
        node.watches_store(local, Some(HEARD))
    }
}
