//! Reports of upstreams that crash while they process requests, and the VMs that block these
//! requests.

use badgerfield_core::amount::Time;
use badgerfield_core::poison::{Crash, Fingerprint, PoisonStatus};
use badgerfield_core::{Event, Node};

use super::Fleet;

impl Fleet {
    /// Reports to a VM that an upstream crashed while it processed a request of this VM.
    pub fn report_crash(&mut self, vm: usize, crash: Crash) {
        self.report_crashes(vm, vec![crash]);
    }

    /// Reports to a VM that an upstream crashed while it processed a request of this VM, with the
    /// crashes under the parts of its prompt.
    pub fn report_crashes(&mut self, vm: usize, crashes: Vec<Crash>) {
        self.handle_event(vm, Event::UpstreamCrashed(crashes));
    }

    /// Returns which parts of a prompt a crash accuses, as a VM sees it.
    #[must_use]
    pub fn accusable_parts(&self, vm: usize, parts: &[Fingerprint]) -> Vec<Fingerprint> {
        let local = Time(self.now.since(self.vms[vm].started));
        self.node(vm).map_or_else(Vec::new, |node| node.accusable_parts(local, parts))
    }

    /// Starts the trial of a blocked part at a VM, if one is due; returns whether it is.
    #[must_use]
    pub fn try_start_trial(&self, vm: usize, part: Fingerprint) -> bool {
        let local = Time(self.now.since(self.vms[vm].started));
        self.node(vm).is_some_and(|node| node.try_start_trial(local, part))
    }

    /// Reports to a VM that the answer to a request whose prompt has these parts has begun.
    pub fn report_begun(&mut self, vm: usize, parts: &[Fingerprint]) {
        let local = Time(self.now.since(self.vms[vm].started));
        let cleared = self.node(vm).map(|node| node.record_begun(local, parts));
        for part in cleared.unwrap_or_default() {
            self.handle_event(vm, Event::SuspectServed(part));
        }
    }

    /// Returns the status at a VM of a request whose prompt has these parts; `None` if the VM does
    /// not run.
    #[must_use]
    pub fn prompt_status(
        &self,
        vm: usize,
        request: Fingerprint,
        parts: &[Fingerprint],
    ) -> Option<PoisonStatus> {
        let local = Time(self.now.since(self.vms[vm].started));
        self.node(vm).map(|node| node.prompt_status(local, request, parts))
    }

    /// Reports to a VM that a suspect request was served completely.
    pub fn report_suspect_served(&mut self, vm: usize, request: Fingerprint) {
        self.handle_event(vm, Event::SuspectServed(request));
    }

    /// Returns how many running VMs block a request.
    #[must_use]
    pub fn blocking_vm_count(&self, request: Fingerprint) -> usize {
        let blocks = |vm: &usize| {
            let local = Time(self.now.since(self.vms[*vm].started));
            let status = |node: &Node| node.request_status(local, request);
            self.node(*vm).is_some_and(|n| matches!(status(n), PoisonStatus::Blocked { .. }))
        };
        (0..self.size()).filter(blocks).count()
    }
}
