//! Locality: how far an upstream or a VM is, and what it costs to go there.
//!
//! The cost is in milliseconds of expected delay, as all costs of upstreams are: the round trip,
//! and a price of the bytes that cross, which stands for what else they delay on a thin link and
//! for what the operator pays for them.

use std::time::Duration;

use crate::ids::{Domain, Region};
use crate::residency::RegionMap;
use crate::view::Member;

/// The least number of VMs that a caller is sent to, so that it has another if one fails.
const LEAST_VMS: usize = 2;

/// How far something is from this process.
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
    /// Returns the word that logs and metrics show.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::SameDomain => "domain",
            Self::SameRegion => "region",
            Self::OtherRegion => "far",
        }
    }
}

/// Why a request left its region.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CrossingReason {
    /// No upstream in the region could take it.
    NoneInRegion,
    /// Those in the region were expected to take longer.
    Cost,
}

impl CrossingReason {
    /// Returns the word that logs and metrics show.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoneInRegion => "none_near",
            Self::Cost => "cost",
        }
    }
}

/// What distance costs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DistanceCosts {
    /// The round trip to another domain of the region.
    pub domain_trip: Duration,
    /// The round trip to another region.
    pub region_trip: Duration,
    /// The price of what crosses to another domain, in milliseconds per 1,000 bytes.
    pub domain_price: f64,
    /// The price of what crosses to another region, in milliseconds per 1,000 bytes.
    pub region_price: f64,
}

impl Default for DistanceCosts {
    fn default() -> Self {
        Self {
            // As the users' sheets list them, there and back.
            domain_trip: Duration::from_millis(1),
            region_trip: Duration::from_millis(24),
            // Bytes between domains delay nobody: those links are as wide as a VM's own.
            domain_price: 0.0,
            // A link of 60 Mbit/s that all VMs share takes 0.13 ms for 1,000 bytes; the rest is
            // what the operator pays. Ten saved more bytes and cost more in prompts that were
            // read again (docs/design/regions.md).
            region_price: 3.0,
        }
    }
}

impl DistanceCosts {
    /// Returns the cost of sending a request so far, of which so many bytes cross both ways
    /// together, in milliseconds.
    #[must_use]
    pub fn cost(&self, distance: Distance, bytes: u64) -> f64 {
        let (trip, price) = match distance {
            Distance::SameDomain => return 0.0,
            Distance::SameRegion => (self.domain_trip, self.domain_price),
            Distance::OtherRegion => (self.region_trip, self.region_price),
        };
        let bytes = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        trip.as_secs_f64() * 1e3 + bytes / 1e3 * price
    }
}

/// Where a process or caller stands.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Location {
    /// Its failure domain, if it is known.
    pub domain: Option<Domain>,
    /// Its region, if it is known.
    pub region: Option<Region>,
}

impl Location {
    /// Returns how far a failure domain is.
    ///
    /// Where nothing is known of regions, all domains count as of one region.
    #[must_use]
    pub fn distance(&self, domain: &Domain, regions: &RegionMap) -> Distance {
        if self.domain.as_ref() == Some(domain) {
            return Distance::SameDomain;
        }
        let known = regions.region(domain);
        if !regions.tells_apart() || (known.is_some() && known == self.region.as_ref()) {
            return Distance::SameRegion;
        }
        Distance::OtherRegion
    }
}

/// Chooses the VMs that a caller is sent to: those of its failure domain, or those of its
/// region if they are too few, or all.
#[must_use]
pub fn nearest<'a>(members: &'a [Member], caller: &Location) -> Vec<&'a Member> {
    let same_domain = |m: &&Member| caller.domain.as_ref() == Some(&m.domain);
    let same_region = |m: &&Member| caller.region.as_ref() == Some(&m.region);
    let near: Vec<_> = members.iter().filter(same_domain).collect();
    if near.len() >= LEAST_VMS {
        return near;
    }
    let near: Vec<_> = members.iter().filter(same_region).collect();
    if near.len() >= LEAST_VMS {
        return near;
    }
    members.iter().collect()
}
