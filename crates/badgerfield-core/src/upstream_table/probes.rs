//! The upstreams to which connections are opened only to learn whether this VM reaches upstreams.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use super::UpstreamTable;
use crate::amount::Time;
use crate::ids::{Domain, UpstreamId};

impl UpstreamTable {
    /// Returns the address of a listed upstream.
    #[must_use]
    pub fn address(&self, id: &UpstreamId) -> Option<SocketAddr> {
        self.upstreams.get(id).map(|upstream| upstream.info.address)
    }

    /// Drops what was learned of upstreams from failed and delayed requests: while this VM was cut
    /// off from them, it was not their fault.
    pub fn forget_failures(&mut self) {
        for upstream in self.upstreams.values_mut() {
            upstream.forget_failures();
        }
    }

    /// Returns up to `count` usable upstreams, in as many failure domains as possible, other than
    /// `except`. Each turn returns other ones.
    #[must_use]
    pub fn probe_targets(
        &self,
        now: Time,
        count: usize,
        turn: usize,
        except: Option<&UpstreamId>,
    ) -> Vec<(UpstreamId, SocketAddr)> {
        let mut domains: BTreeMap<&Domain, VecDeque<(UpstreamId, SocketAddr)>> = BTreeMap::new();
        let usable = self.upstreams.values().filter(|u| u.removed_at.is_none() && u.is_usable(now));
        for upstream in usable.filter(|u| Some(&u.info.id) != except) {
            let target = (upstream.info.id.clone(), upstream.info.address);
            domains.entry(&upstream.info.domain).or_default().push_back(target);
        }
        let mut queues: VecDeque<_> = domains.into_values().collect();
        for queue in &mut queues {
            let start = turn % queue.len();
            queue.rotate_left(start);
        }
        if !queues.is_empty() {
            let start = turn % queues.len();
            queues.rotate_left(start);
        }
        let mut targets = Vec::new();
        while targets.len() < count {
            let Some(mut queue) = queues.pop_front() else {
                break;
            };
            targets.extend(queue.pop_front());
            if !queue.is_empty() {
                queues.push_back(queue);
            }
        }
        targets
    }
}
