//! Slow start: how many requests an upstream gets while it is cold.
//!
//! An upstream that has just started, or whose failure domain was evacuated, bears few requests
//! a second for a while, and fails under many. The bound is the fleet's: it holds for the
//! requests of all processes together. No process can count what the others send, so a few
//! send to a cold upstream, chosen by rank over the view, each at its own part of the rate. All
//! others leave it alone until it is warm.
//!
//! While a view changes, processes hold two views, and the senders of both may send. So the
//! parts of the senders of one view come to half of the bound. A process that becomes a sender
//! waits for [`HOLD_OFF`] first, by when those that follow the view have learned of it; a third
//! view within that time finds the senders of the first silent.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::amount::Time;
use crate::ids::VmId;

/// How long a process that has become a sender sends nothing: the span in which the bound
/// counts. It was chosen; how late a view reaches the last VM was not measured, and
/// `tests/warm_up.rs` assumes up to 0.9 s.
pub const HOLD_OFF: Duration = Duration::from_secs(1);
/// How many requests one sender may send at once.
const BURST: f64 = 1.0;
/// How many views may be in force at once, at different processes.
const VIEWS: f64 = 2.0;
/// The least rate of a sender, in requests a second; below it an upstream is left alone.
const LEAST_RATE: f64 = 0.1;

/// How upstreams of one service start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmUp {
    /// How long one stays cold from its start.
    pub span: Duration,
    /// How far apart the requests are that a cold one bears.
    pub interval: Duration,
}

impl WarmUp {
    /// Returns how many requests a second a cold upstream bears.
    #[must_use]
    pub fn rate(&self) -> f64 {
        if self.interval.is_zero() { f64::INFINITY } else { self.interval.as_secs_f64().recip() }
    }
}

/// By how much a fleet may go beyond the rate of a cold upstream, in any second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUpBound {
    /// How many times the rate.
    pub overshoot: f64,
    /// How many requests beside that.
    pub extra_requests: f64,
}

impl WarmUpBound {
    /// Returns the most requests that a cold upstream may get in a second.
    #[must_use]
    pub fn max_rate(&self, warm_up: &WarmUp) -> f64 {
        warm_up.rate() * self.overshoot + self.extra_requests
    }
}

/// What one of a few senders may send to an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SenderShare {
    /// Requests a second.
    pub rate: f64,
    /// How many requests at once.
    pub burst: f64,
}

impl SenderShare {
    /// Returns the part of each sender; nothing where so many cannot keep the bound.
    #[must_use]
    pub fn of(warm_up: &WarmUp, bound: &WarmUpBound, senders: usize) -> Option<Self> {
        let senders = f64::from(u32::try_from(senders).ok().filter(|n| *n > 0)?);
        // In any second a sender sends its burst and its rate.
        let rate = bound.max_rate(warm_up) / VIEWS / senders - BURST;
        // What the upstream bears goes before what the fleet is allowed.
        let rate = rate.min(warm_up.rate() / senders);
        (rate >= LEAST_RATE).then_some(Self { rate, burst: BURST })
    }
}

/// The requests that a sender may send at present.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    tokens: f64,
    at: Time,
}

impl Bucket {
    /// Makes an empty bucket that fills from a time on.
    #[must_use]
    pub fn new(from: Time) -> Self {
        Self { tokens: 0.0, at: from }
    }

    /// Tells whether a request may be sent.
    #[must_use]
    pub fn may_send(&self, now: Time, share: SenderShare) -> bool {
        self.filled(now, share) >= 1.0
    }

    /// Takes out one request.
    pub fn take(&mut self, now: Time, share: SenderShare) {
        self.tokens = self.filled(now, share) - 1.0;
        self.at = self.at.max(now);
    }

    fn filled(&self, now: Time, share: SenderShare) -> f64 {
        (self.tokens + now.since(self.at).as_secs_f64() * share.rate).min(share.burst)
    }

    /// Returns how long it takes until a request may be sent.
    #[must_use]
    pub fn wait(&self, now: Time, share: SenderShare) -> Duration {
        let lacking = (1.0 - self.filled(now, share)).max(0.0);
        let filling = Duration::try_from_secs_f64(lacking / share.rate).unwrap_or(Duration::MAX);
        self.at.since(now).saturating_add(filling)
    }
}

/// The order in which VMs may send to each upstream that takes few requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Senders {
    me: Option<u64>,
    others: Vec<u64>,
}

impl Senders {
    /// Makes the order of a view; a process that is not in it sends nothing.
    ///
    /// VMs are ranked and not processes, so that one that starts anew changes no ranks.
    pub fn new<'a>(me: &VmId, members: impl IntoIterator<Item = &'a VmId>) -> Self {
        let number = |vm: &VmId| xxh3_64_with_seed(vm.as_str().as_bytes(), 0);
        let mut order = Self::default();
        for vm in members {
            if vm == me {
                order.me = Some(number(vm));
            } else {
                order.others.push(number(vm));
            }
        }
        order
    }

    /// Returns how many VMs may send to an upstream before this one; nothing if this process
    /// is not in the view.
    #[must_use]
    pub fn rank(&self, upstream: u64) -> Option<usize> {
        let weight = |vm: u64| xxh3_64_with_seed(&vm.to_be_bytes(), upstream);
        let own = weight(self.me?);
        Some(self.others.iter().filter(|vm| weight(**vm) > own).count())
    }

    /// Returns how many VMs the view has, this one included.
    #[must_use]
    pub fn count(&self) -> usize {
        self.others.len().saturating_add(1)
    }
}
