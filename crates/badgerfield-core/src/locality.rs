//! Locality: the distance of an upstream or a VM, and the cost of sending a request to it.
//!
//! Like all costs of upstreams, the cost is in milliseconds of expected delay. It is the sum of the
//! round-trip time and a price for the transferred bytes. The price accounts for the delay that
//! these bytes cause to other traffic on a slow link, and for what the operator pays for them.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::ids::{Domain, Incarnation, Region};
use crate::residency::RegionMap;
use crate::view::Member;

/// Minimum number of VMs that a caller is directed to, so that it has an alternative if one fails.
const MIN_VMS: usize = 2;

/// The distance of an upstream or a VM from this process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// In the same failure domain.
    #[default]
    SameDomain,
    /// In another domain of the same region.
    SameRegion,
    /// In another region, or in an unknown one.
    OtherRegion,
}

impl Distance {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::SameDomain => "domain",
            Self::SameRegion => "region",
            Self::OtherRegion => "far",
        }
    }
}

/// The reason why a request was sent to another region.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CrossingReason {
    /// No upstream in the region could accept the request.
    NoneInRegion,
    /// The upstreams in the region were expected to take longer.
    Cost,
}

impl CrossingReason {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoneInRegion => "none_near",
            Self::Cost => "cost",
        }
    }
}

/// The costs of a distance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DistanceCosts {
    /// The round-trip time to another domain of the region.
    pub domain_round_trip: Duration,
    /// The round-trip time to another region.
    pub region_round_trip: Duration,
    /// The price of bytes to or from another domain of the region, in milliseconds per 1,000 bytes.
    pub domain_price: f64,
    /// The price of bytes to or from another region, in milliseconds per 1,000 bytes.
    pub region_price: f64,
}

impl Default for DistanceCosts {
    fn default() -> Self {
        Self {
            // Round-trip times in the deployments this is built for.
            domain_round_trip: Duration::from_millis(1),
            region_round_trip: Duration::from_millis(24),
            // Bytes between domains delay no other traffic: these links have the bandwidth of a
            // VM's own link.
            domain_price: 0.0,
            // A link of 60 Mbit/s that all VMs share takes 0.13 ms for 1,000 bytes; the rest
            // accounts for what the operator pays. A price of 10 saves more bytes but increases the
            // total cost, because engines read more prompts again (docs/design/regions.md).
            region_price: 3.0,
        }
    }
}

impl DistanceCosts {
    /// Returns the cost of a request over a distance, in milliseconds.
    ///
    /// `bytes` is the total transferred in both directions.
    #[must_use]
    pub fn cost(&self, distance: Distance, bytes: u64) -> f64 {
        let (trip, price) = match distance {
            Distance::SameDomain => return 0.0,
            Distance::SameRegion => (self.domain_round_trip, self.domain_price),
            Distance::OtherRegion => (self.region_round_trip, self.region_price),
        };
        let bytes = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        trip.as_secs_f64() * 1e3 + bytes / 1e3 * price
    }
}

/// The location of a process or a caller.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Location {
    /// The failure domain, if it is known.
    pub domain: Option<Domain>,
    /// The region, if it is known.
    pub region: Option<Region>,
}

impl Location {
    /// Returns the distance of a failure domain.
    ///
    /// If fewer than two regions are known, all domains count as parts of one region.
    #[must_use]
    pub fn distance(&self, domain: &Domain, regions: &RegionMap) -> Distance {
        if self.domain.as_ref() == Some(domain) {
            return Distance::SameDomain;
        }
        let known = regions.region(domain);
        if !regions.has_several_regions() || (known.is_some() && known == self.region.as_ref()) {
            return Distance::SameRegion;
        }
        Distance::OtherRegion
    }
}

/// Returns the VMs that a caller is directed to.
///
/// These are the VMs of the caller's failure domain, or those of its region if the domain has too
/// few, or all VMs if the region has too few.
#[must_use]
pub fn nearest<'a>(members: &'a [Member], caller: &Location) -> Vec<&'a Member> {
    let is_same_domain = |m: &&Member| caller.domain.as_ref() == Some(&m.domain);
    let is_same_region = |m: &&Member| caller.region.as_ref() == Some(&m.region);
    let near: Vec<_> = members.iter().filter(is_same_domain).collect();
    if near.len() >= MIN_VMS {
        return near;
    }
    let near: Vec<_> = members.iter().filter(is_same_region).collect();
    if near.len() >= MIN_VMS {
        return near;
    }
    members.iter().collect()
}

/// Returns the VMs that are not overloaded.
///
/// All of them are returned if fewer than half are not overloaded, or fewer than two: the
/// callers would overload the few that are left.
#[must_use]
pub fn without_overloaded<'a>(
    members: &[&'a Member],
    overloaded: &BTreeSet<Incarnation>,
) -> Vec<&'a Member> {
    let is_fit = |m: &&Member| !overloaded.contains(&m.incarnation);
    let fit: Vec<_> = members.iter().copied().filter(is_fit).collect();
    if fit.len() < MIN_VMS || fit.len() * 2 < members.len() { members.to_vec() } else { fit }
}
