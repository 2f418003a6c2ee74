//! Which services have upstreams that start slowly, and who may send to them meanwhile.

use std::collections::BTreeMap;

use crate::ids::Service;
use crate::warm_up::{SenderShare, Senders, WarmUp, WarmUpBound};

/// What the table of upstreams needs to know to spare cold ones.
#[derive(Debug, Default)]
pub(super) struct SlowStart {
    warm_ups: BTreeMap<Service, WarmUp>,
    /// The fleet's bound; where there is none, nothing is spared.
    bound: Option<WarmUpBound>,
    senders: Senders,
    /// How many VMs may send to one cold upstream.
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

    /// Returns the order in which processes may send to upstreams that take few requests.
    pub(super) fn senders(&self) -> &Senders {
        &self.senders
    }

    /// Tells whether this process may send to an upstream while it is cold.
    pub(super) fn is_sender(&self, upstream: u64) -> bool {
        self.senders.rank(upstream).is_some_and(|rank| rank < self.sender_count)
    }

    /// Returns how the upstreams of a service start, if they have to be spared.
    pub(super) fn warm_up(&self, service: &Service) -> Option<WarmUp> {
        self.bound?;
        self.warm_ups.get(service).copied()
    }

    /// Returns what one sender may send to a cold upstream of a service.
    pub(super) fn sender_share(&self, service: &Service) -> Option<SenderShare> {
        SenderShare::of(&self.warm_up(service)?, &self.bound?, self.sender_count)
    }
}
