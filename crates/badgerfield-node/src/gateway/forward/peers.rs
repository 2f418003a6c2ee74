//! The peers through which requests go while this VM is cut off.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use badgerfield_core::ids::{Incarnation, Region};
use badgerfield_core::residency::Residency;
use badgerfield_core::view::Member;

use crate::sync::lock;

/// The peers that reach upstreams, as of the last time they were asked.
#[derive(Debug, Default)]
pub(crate) struct ForwardPeers {
    peers: Mutex<Vec<ForwardPeer>>,
}

/// A peer that reaches upstreams.
#[derive(Debug, Clone)]
pub(crate) struct ForwardPeer {
    pub(crate) id: Incarnation,
    pub(crate) address: SocketAddr,
    region: Region,
    open: Arc<AtomicUsize>,
}

/// The peers that one request has been sent through.
#[derive(Debug, Default)]
pub(crate) struct TriedPeers {
    tried: Vec<Incarnation>,
    failed: Vec<Incarnation>,
}

impl TriedPeers {
    /// Records that an attempt through a peer was not sent; `failed` is whether the peer would send
    /// no other either.
    pub(crate) fn record_not_sent(&mut self, peer: Incarnation, failed: bool) {
        let peers = if failed { &mut self.failed } else { &mut self.tried };
        peers.push(peer);
    }
}

/// A call to a peer, which counts as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenCall {
    open: Arc<AtomicUsize>,
}

impl ForwardPeer {
    /// Counts a call as open.
    pub(crate) fn start_call(&self) -> OpenCall {
        self.open.fetch_add(1, Ordering::Relaxed);
        OpenCall { open: Arc::clone(&self.open) }
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ForwardPeers {
    /// Replaces the peers by those that reach upstreams, nearest first.
    pub(crate) fn replace(&self, found: &[Member]) {
        let mut peers = lock(&self.peers);
        let known = std::mem::take(&mut *peers);
        let open_calls = |id| known.iter().find(|peer| peer.id == id).map(|p| Arc::clone(&p.open));
        *peers = found
            .iter()
            .map(|member| ForwardPeer {
                id: member.incarnation,
                address: member.peer,
                region: member.region.clone(),
                open: open_calls(member.incarnation).unwrap_or_default(),
            })
            .collect();
    }

    /// Returns the peer with the fewest open calls, the nearest of several; one that was tried
    /// before only if there is no other, and one that has failed not at all. The request must be
    /// allowed in the region of the peer.
    pub(crate) fn choose(&self, tried: &TriedPeers, residency: &Residency) -> Option<ForwardPeer> {
        let peers = lock(&self.peers);
        let candidates = peers
            .iter()
            .filter(|peer| !tried.failed.contains(&peer.id))
            .filter(|peer| residency.allows(Some(&peer.region)));
        let rank = |peer: &&ForwardPeer| {
            (tried.tried.contains(&peer.id), peer.open.load(Ordering::Relaxed))
        };
        candidates.min_by_key(rank).cloned()
    }

    /// Returns the ids of the peers, for the log.
    pub(crate) fn ids(&self) -> Vec<Incarnation> {
        lock(&self.peers).iter().map(|peer| peer.id).collect()
    }
}
