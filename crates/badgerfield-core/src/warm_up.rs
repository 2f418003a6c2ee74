//! Slow start: limits the requests to an upstream while it is cold.
//!
//! An upstream that has just started, or whose failure domain was evacuated, can take only a few
//! requests a second for a while, and fails under more. The bound applies to the requests of all
//! processes of the fleet together, and no process can count the requests of the others. So only
//! a few processes, the senders, send to a cold upstream, each at its share of the rate. They are
//! chosen by rank among the members of the view. All other processes send nothing to the upstream
//! until it is warm.
//!
//! During a view change, some processes have the old view and some the new one, and the senders
//! of both may send. So the shares of the senders of one view add up to half of the bound. A
//! process that becomes a sender first waits for [`SENDER_DELAY`], by which time all processes that
//! follow the view have received it. If a third view comes within that time, the senders of the
//! first view have stopped before those of the third start.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::amount::Time;
use crate::ids::{Region, VmId};

/// How long a process sends nothing after it has become a sender. It equals the second over
/// which the bound applies, and must exceed the time in which a view reaches all VMs. The delay
/// of a view to the last VM is not known exactly; `tests/warm_up.rs` assumes up to 0.9 s.
pub const SENDER_DELAY: Duration = Duration::from_secs(1);
/// The number of requests that a sender may send at once.
const BURST: f64 = 1.0;
/// The number of views that may be in force at once in different processes.
const MAX_VIEWS: f64 = 2.0;
/// The minimum rate of a sender, in requests a second. No sender sends if its share is smaller.
const MIN_RATE: f64 = 0.1;

/// The slow start of the upstreams of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmUp {
    /// How long an upstream stays cold after its start.
    pub span: Duration,
    /// The minimum time between requests that a cold upstream can take.
    pub interval: Duration,
}

impl WarmUp {
    /// Returns how many requests a second a cold upstream can take.
    #[must_use]
    pub fn rate(&self) -> f64 {
        if self.interval.is_zero() { f64::INFINITY } else { self.interval.as_secs_f64().recip() }
    }
}

/// By how much the fleet may exceed the rate of a cold upstream in any second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUpBound {
    /// The factor by which the rate may be exceeded.
    pub overshoot: f64,
    /// The number of requests allowed in addition.
    pub extra_requests: f64,
}

impl WarmUpBound {
    /// Returns the largest number of requests that a cold upstream may receive in a second.
    #[must_use]
    pub fn max_rate(&self, warm_up: &WarmUp) -> f64 {
        warm_up.rate() * self.overshoot + self.extra_requests
    }
}

/// The rate limit of one sender to an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SenderShare {
    /// The rate, in requests a second.
    pub rate: f64,
    /// The number of requests that may be sent at once.
    pub burst: f64,
}

impl SenderShare {
    /// Returns the share of each sender, or `None` if so many senders would exceed the bound.
    #[must_use]
    pub fn new(warm_up: &WarmUp, bound: &WarmUpBound, senders: usize) -> Option<Self> {
        let senders = f64::from(u32::try_from(senders).ok().filter(|n| *n > 0)?);
        // In any second, a sender may send its burst in addition to its rate.
        let rate = bound.max_rate(warm_up) / MAX_VIEWS / senders - BURST;
        // The rate of the upstream is the upper limit, even where the bound allows more.
        let rate = rate.min(warm_up.rate() / senders);
        (rate >= MIN_RATE).then_some(Self { rate, burst: BURST })
    }
}

/// A token bucket that limits the requests of a sender; one token is one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBucket {
    tokens: f64,
    updated_at: Time,
}

impl TokenBucket {
    /// Returns an empty bucket that starts to fill at a given time.
    #[must_use]
    pub fn new(from: Time) -> Self {
        Self { tokens: 0.0, updated_at: from }
    }

    /// Returns whether a request may be sent now.
    #[must_use]
    pub fn can_send(&self, now: Time, share: SenderShare) -> bool {
        self.available(now, share) >= 1.0
    }

    /// Takes one token for a request.
    pub fn take(&mut self, now: Time, share: SenderShare) {
        self.tokens = self.available(now, share) - 1.0;
        self.updated_at = self.updated_at.max(now);
    }

    fn available(&self, now: Time, share: SenderShare) -> f64 {
        (self.tokens + now.since(self.updated_at).as_secs_f64() * share.rate).min(share.burst)
    }

    /// Returns the time until a request may be sent.
    #[must_use]
    pub fn wait(&self, now: Time, share: SenderShare) -> Duration {
        let missing = (1.0 - self.available(now, share)).max(0.0);
        let fill_time = Duration::try_from_secs_f64(missing / share.rate).unwrap_or(Duration::MAX);
        self.updated_at.since(now).saturating_add(fill_time)
    }
}

/// The ranking of the VMs of a view as senders to upstreams that take few requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Senders {
    /// This VM, if it is in the view.
    own: Option<RankedVm>,
    others: Vec<RankedVm>,
}

/// A VM that is ranked.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RankedVm {
    hash: u64,
    region: Option<Region>,
}

impl RankedVm {
    /// Returns the weight for an upstream; the VM with the largest one ranks first.
    fn weight(&self, upstream: u64) -> u64 {
        xxh3_64_with_seed(&self.hash.to_be_bytes(), upstream)
    }

    fn is_in(&self, region: Option<&Region>) -> bool {
        region.is_none() || self.region.as_ref() == region
    }
}

impl Senders {
    /// Returns the ranking of a view whose regions do not matter. A process outside the view sends
    /// nothing.
    ///
    /// The VMs are ranked rather than the processes, so that a restarted process changes no ranks.
    pub fn new<'a>(own: &VmId, members: impl IntoIterator<Item = &'a VmId>) -> Self {
        Self::ranked(own, members.into_iter().map(|vm| (vm, None)))
    }

    /// Returns the ranking of a view, with the region of each VM.
    pub fn with_regions<'a>(
        own: &VmId,
        members: impl IntoIterator<Item = (&'a VmId, &'a Region)>,
    ) -> Self {
        Self::ranked(own, members.into_iter().map(|(vm, region)| (vm, Some(region.clone()))))
    }

    fn ranked<'a>(
        own: &VmId,
        members: impl IntoIterator<Item = (&'a VmId, Option<Region>)>,
    ) -> Self {
        let mut senders = Self::default();
        for (vm, region) in members {
            let ranked = RankedVm { hash: Self::hash(vm), region };
            if vm == own {
                senders.own = Some(ranked);
            } else {
                senders.others.push(ranked);
            }
        }
        senders
    }

    /// Returns the hash by which a VM is ranked.
    #[must_use]
    pub fn hash(vm: &VmId) -> u64 {
        xxh3_64_with_seed(vm.as_str().as_bytes(), 0)
    }

    /// Returns the weight of this VM for an upstream; 0 outside the view.
    #[must_use]
    pub fn own_weight(&self, upstream: u64) -> u64 {
        self.own.as_ref().map_or(0, |own| own.weight(upstream))
    }

    /// Returns how many VMs rank before this one for an upstream, or `None` if this VM is not in
    /// the view.
    #[must_use]
    pub fn rank(&self, upstream: u64) -> Option<usize> {
        let own = self.own.as_ref()?.weight(upstream);
        Some(self.others.iter().filter(|vm| vm.weight(upstream) > own).count())
    }

    /// Returns the same among the VMs in the region of the upstream, and their number. If that has
    /// none, all VMs count.
    #[must_use]
    pub fn rank_near(&self, upstream: u64, region: Option<&Region>) -> Option<(usize, usize)> {
        let region = self.used_region(region);
        let own = self.own.as_ref().filter(|own| own.is_in(region))?.weight(upstream);
        let others = || self.others.iter().filter(|vm| vm.is_in(region));
        let rank = others().filter(|vm| vm.weight(upstream) > own).count();
        Some((rank, others().count().saturating_add(1)))
    }

    /// Returns the hashes of the VMs that rank first for an upstream among those in its region;
    /// `count` maps the number of these to how many count as first.
    #[must_use]
    pub fn first_near(
        &self,
        upstream: u64,
        region: Option<&Region>,
        count: impl Fn(usize) -> usize,
    ) -> Vec<u64> {
        let region = self.used_region(region);
        let all = self.others.iter().chain(&self.own);
        let mut ranked: Vec<_> = all.filter(|vm| vm.is_in(region)).collect();
        ranked.sort_unstable_by_key(|vm| std::cmp::Reverse(vm.weight(upstream)));
        ranked.truncate(count(ranked.len()));
        ranked.into_iter().map(|vm| vm.hash).collect()
    }

    /// Returns the region among whose VMs those for an upstream in `region` are ranked; `None` for
    /// all VMs.
    fn used_region<'a>(&self, region: Option<&'a Region>) -> Option<&'a Region> {
        let mut all = self.others.iter().chain(&self.own);
        region.filter(|region| all.any(|vm| vm.region.as_ref() == Some(*region)))
    }

    /// Returns the number of VMs in the view, including this one.
    #[must_use]
    pub fn count(&self) -> usize {
        self.others.len().saturating_add(1)
    }
}
