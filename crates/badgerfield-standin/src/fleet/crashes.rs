//! Reports of upstreams that crash while they process requests, and the VMs that block these
//! requests.

use badgerfield_core::amount::Time;
use badgerfield_core::poison::{Crash, Fingerprint, PoisonStatus};
use badgerfield_core::{Event, Node};

use super::Fleet;

impl Fleet {
    /// Reports to a VM that an upstream crashed while it processed a request of this VM.
    pub fn report_crash(&mut self, vm: usize, crash: Crash) {
        self.handle_event(vm, Event::UpstreamCrashed(crash));
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
