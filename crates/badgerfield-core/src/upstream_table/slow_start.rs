//! Which services need a slow start, and which processes may send to their cold upstreams.

use std::collections::BTreeMap;

use crate::ids::Service;
use crate::warm_up::{SenderShare, Senders, WarmUp, WarmUpBound};

/// The settings and the senders that limit requests to cold upstreams.
#[derive(Debug, Default)]
pub(super) struct SlowStart {
    warm_ups: BTreeMap<Service, WarmUp>,
    /// The fleet's bound; without one, cold upstreams are not limited.
    bound: Option<WarmUpBound>,
    senders: Senders,
    /// The number of VMs that may send to one cold upstream.
    sender_count: usize,
}

impl SlowStart {
    pub(super) fn set_bound(&mut self, bound: Option<WarmUpBound>, sender_count: usize) {
        self.bound = bound;
        self.sender_count = sender_count;
    }

    pub(super) fn set_warm_ups(&mut self, warm_ups: BTreeMap<Service, WarmUp>) {
        self.warm_ups = warm_ups;
    }

    pub(super) fn set_senders(&mut self, senders: Senders) {
        self.senders = senders;
    }

    /// Returns the order in which VMs may send to upstreams that take few requests.
    pub(super) fn senders(&self) -> &Senders {
        &self.senders
    }

    /// Returns whether this process may send to an upstream while it is cold.
    pub(super) fn is_sender(&self, upstream: u64) -> bool {
        self.senders.rank(upstream).is_some_and(|rank| rank < self.sender_count)
    }

    /// Returns how the upstreams of a service warm up, if requests to cold ones are limited.
    pub(super) fn warm_up(&self, service: &Service) -> Option<WarmUp> {
        self.bound?;
        self.warm_ups.get(service).copied()
    }

    /// Returns the share of one sender at a cold upstream of a service.
    pub(super) fn sender_share(&self, service: &Service) -> Option<SenderShare> {
        SenderShare::new(&self.warm_up(service)?, &self.bound?, self.sender_count)
    }
}
