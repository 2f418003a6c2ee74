//! Residency: the regions in which a request may be served, cached and stored.
//!
//! A route and a client account may each name regions; where both do, only the regions that
//! both name are left. What the words mean for a VM outside stands in docs/design/regions.md.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{Domain, Region, TemplateVersion};

/// No bound: a request may be served in every region.
pub static EVERYWHERE: Residency = Residency(None);

/// The regions in which a request may be served; nothing where that is not bound.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Residency(Option<BTreeSet<Region>>);

/// Why a request can be served in no region at present.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ResidencyError {
    /// Whatever is known of failure domains, no region is left.
    #[error("the bounds leave no region")]
    NoRegion,
    /// No failure domain that is known here lies in the regions.
    #[error("no known failure domain lies in {0}")]
    Unknown(Residency),
}

impl Residency {
    /// Binds to some regions; an empty set allows none.
    #[must_use]
    pub fn within(regions: BTreeSet<Region>) -> Self {
        Self(Some(regions))
    }

    /// Tells whether anything is bound at all.
    #[must_use]
    pub fn is_restricted(&self) -> bool {
        self.0.is_some()
    }

    /// Tells whether no region at all is allowed.
    #[must_use]
    pub fn allows_none(&self) -> bool {
        self.0.as_ref().is_some_and(BTreeSet::is_empty)
    }

    /// Returns the bound that holds where this one and another hold.
    #[must_use]
    pub fn intersect(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(own), Some(others)) => Self(Some(own.intersection(others).cloned().collect())),
        }
    }

    /// Tells whether a request may be served in a region; nothing stands for an unknown one.
    #[must_use]
    pub fn allows(&self, region: Option<&Region>) -> bool {
        let Some(regions) = &self.0 else {
            return true;
        };
        region.is_some_and(|region| regions.contains(region))
    }

    /// Checks that a known failure domain lies in an allowed region.
    ///
    /// # Errors
    ///
    /// Fails if no region is allowed, or none that is known.
    pub fn check(&self, regions: &RegionMap) -> Result<(), ResidencyError> {
        let Some(allowed) = &self.0 else {
            return Ok(());
        };
        if self.allows_none() {
            return Err(ResidencyError::NoRegion);
        }
        if allowed.iter().any(|region| regions.has(region)) {
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

/// What bound a request when it was let in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admission {
    /// The version of the templates that it was let in with.
    pub version: TemplateVersion,
    /// The regions in which that version lets it be served.
    pub residency: Residency,
}

impl Admission {
    /// Returns the regions in which a request may be served that is sent now: both the version
    /// that it was let in with and the newest one bind it.
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

/// Which failure domain lies in which region.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RegionMap(BTreeMap<Domain, Region>);

impl RegionMap {
    /// Makes a map of domains and their regions.
    #[must_use]
    pub fn new(domains: BTreeMap<Domain, Region>) -> Self {
        Self(domains)
    }

    /// Returns the region of a domain, if it is known.
    #[must_use]
    pub fn region(&self, domain: &Domain) -> Option<&Region> {
        self.0.get(domain)
    }

    /// Tells whether domains of more than one region are known.
    #[must_use]
    pub fn tells_apart(&self) -> bool {
        let mut regions = self.0.values();
        let first = regions.next();
        regions.any(|region| Some(region) != first)
    }

    /// Tells whether a known domain lies in a region.
    #[must_use]
    pub fn has(&self, region: &Region) -> bool {
        self.0.values().any(|known| known == region)
    }
}
