//! Residency: the regions in which a request may be served, cached and stored.
//!
//! A route and a client account may each name allowed regions. If both do, only the regions that
//! both name are allowed. docs/design/regions.md explains what this means for a VM in another
//! region.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{Domain, Region, TemplateVersion};

/// No restriction: a request may be served in every region.
pub static EVERYWHERE: Residency = Residency(None);

/// The regions in which a request may be served; `None` if they are not restricted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Residency(Option<BTreeSet<Region>>);

/// The reason why a request cannot be served in any region.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ResidencyError {
    /// The route and the account have no allowed region in common, or allow none.
    #[error("no region is allowed")]
    NoRegion,
    /// No known failure domain lies in the allowed regions.
    #[error("no known failure domain lies in {0}")]
    Unknown(Residency),
}

impl Residency {
    /// Restricts to a set of regions; an empty set allows none.
    #[must_use]
    pub fn restricted_to(regions: BTreeSet<Region>) -> Self {
        Self(Some(regions))
    }

    /// Returns whether the regions are restricted.
    #[must_use]
    pub fn is_restricted(&self) -> bool {
        self.0.is_some()
    }

    /// Returns whether no region is allowed.
    #[must_use]
    pub fn allows_none(&self) -> bool {
        self.0.as_ref().is_some_and(BTreeSet::is_empty)
    }

    /// Returns the regions that this restriction and another both allow.
    #[must_use]
    pub fn intersect(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(own), Some(other)) => Self(Some(own.intersection(other).cloned().collect())),
        }
    }

    /// Returns whether a request may be served in a region; `None` is an unknown region.
    #[must_use]
    pub fn allows(&self, region: Option<&Region>) -> bool {
        let Some(regions) = &self.0 else {
            return true;
        };
        region.is_some_and(|region| regions.contains(region))
    }

    /// Checks that at least one known failure domain lies in an allowed region.
    ///
    /// # Errors
    ///
    /// Fails if no region is allowed, or if no allowed region is known.
    pub fn check(&self, regions: &RegionMap) -> Result<(), ResidencyError> {
        let Some(allowed) = &self.0 else {
            return Ok(());
        };
        if self.allows_none() {
            return Err(ResidencyError::NoRegion);
        }
        if allowed.iter().any(|region| regions.has_region(region)) {
            return Ok(());
        }
        Err(ResidencyError::Unknown(self.clone()))
    }
}

impl fmt::Display for Residency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(regions) = &self.0 else {
            return f.write_str("everywhere");
        };
        if regions.is_empty() {
            return f.write_str("nowhere");
        }
        let names: Vec<_> = regions.iter().map(Region::as_str).collect();
        f.write_str(&names.join(","))
    }
}

/// The restriction of a request at its admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admission {
    /// The version of the templates at admission.
    pub version: TemplateVersion,
    /// The regions in which that version allows the request to be served.
    pub residency: Residency,
}

impl Admission {
    /// Returns the regions in which the request may be served if it is sent now.
    ///
    /// Both the version at admission and the newest version restrict it. `newest` returns the
    /// restriction of the newest version, whose number is `version`.
    #[must_use]
    pub fn current_residency(
        &self,
        version: TemplateVersion,
        newest: impl FnOnce() -> Residency,
    ) -> Residency {
        if version == self.version {
            return self.residency.clone();
        }
        self.residency.intersect(&newest())
    }
}

/// The regions of failure domains.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RegionMap(BTreeMap<Domain, Region>);

impl RegionMap {
    /// Returns a map with the regions of domains.
    #[must_use]
    pub fn new(domains: BTreeMap<Domain, Region>) -> Self {
        Self(domains)
    }

    /// Returns the region of a domain, or `None` if it is unknown.
    #[must_use]
    pub fn region(&self, domain: &Domain) -> Option<&Region> {
        self.0.get(domain)
    }

    /// Returns whether domains of more than one region are known.
    #[must_use]
    pub fn has_several_regions(&self) -> bool {
        let mut regions = self.0.values();
        let first = regions.next();
        regions.any(|region| Some(region) != first)
    }

    /// Returns whether a known domain lies in a region.
    #[must_use]
    pub fn has_region(&self, region: &Region) -> bool {
        self.0.values().any(|known| known == region)
    }
}
