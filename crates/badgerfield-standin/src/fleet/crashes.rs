//! Upstreams that end under requests, and what VMs know of them.

use badgerfield_core::amount::Time;
use badgerfield_core::poison::{Crash, Fingerprint, PoisonStatus};
use badgerfield_core::{Event, Node};

use super::Fleet;

impl Fleet {
    /// Has a VM see that an upstream ended while a request of its was there.
    pub fn crash(&mut self, vm: usize, crash: Crash) {
        self.take(vm, Event::UpstreamCrashed(crash));
    }

    /// Has a VM see that a request was served whole.
    pub fn served_whole(&mut self, vm: usize, request: Fingerprint) {
        self.take(vm, Event::SuspectServed(request));
    }

    /// Returns how many running VMs send a request to no upstream.
    #[must_use]
    pub fn blocked_at(&self, request: Fingerprint) -> usize {
        let blocks = |vm: &usize| {
            let local = Time(self.now.since(self.vms[*vm].started));
            let standing = |node: &Node| node.request_status(local, request);
            self.node(*vm).is_some_and(|n| matches!(standing(n), PoisonStatus::Blocked { .. }))
        };
        (0..self.size()).filter(blocks).count()
    }
}
