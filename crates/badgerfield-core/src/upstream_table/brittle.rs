//! Brittle services, in the table of upstreams.

use std::time::Duration;

use super::UpstreamTable;
use super::upstream::Upstream;
use crate::amount::Time;
use crate::brittle::{self, BrittleReport, Places, RejectionTolerance};
use crate::event::is_due;
use crate::ids::{Service, UpstreamId};
use crate::request_mix::service_hash;

/// The minimum time between two reports of brittle services to each neighbour.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// The number of upstreams whose senders a process asks for a place. It bounds the connections
/// between processes.
const ASKED_UPSTREAMS: usize = 6;

/// A service that has become brittle, has another tolerance, or is no longer brittle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrittleChange {
    /// The service.
    pub service: Service,
    /// The tolerance now; `None` if the service is no longer brittle.
    pub tolerance: Option<RejectionTolerance>,
    /// The tolerance before.
    pub before: Option<RejectionTolerance>,
}

/// The places of this process at the upstreams of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlaceCounts {
    /// The number of places, free or taken.
    pub places: u32,
    /// The requests of this process that run there.
    pub running: u32,
}

impl UpstreamTable {
    /// Records whether an upstream announces in an answer that it is brittle; returns the change.
    pub fn record_brittleness(
        &mut self,
        now: Time,
        id: &UpstreamId,
        tolerance: Option<RejectionTolerance>,
    ) -> Option<BrittleChange> {
        if tolerance.is_none() && self.brittle.is_empty() {
            return None;
        }
        let service = self.upstreams.get(id)?.info.service.clone();
        let known = self.brittle.entry(service.clone()).or_default();
        let before = known.tolerance();
        known.record(now, tolerance);
        self.brittle_change(now, service, before)
    }

    /// Applies reports of another process; returns the changes.
    pub fn apply_brittle_reports(
        &mut self,
        now: Time,
        reports: &[BrittleReport],
    ) -> Vec<BrittleChange> {
        let mut changes = Vec::new();
        for report in reports.iter().take(brittle::MAX_REPORTS) {
            let mut upstreams = self.upstreams.values();
            let upstream = upstreams.find(|u| service_hash(&u.info.service) == report.service);
            let Some(service) = upstream.map(|u| u.info.service.clone()) else {
                continue;
            };
            let known = self.brittle.entry(service.clone()).or_default();
            let before = known.tolerance();
            known.apply_report(now, report);
            changes.extend(self.brittle_change(now, service, before));
        }
        changes
    }

    /// Returns the states of services to report to other processes now.
    pub fn brittle_reports(&mut self, now: Time) -> Vec<BrittleReport> {
        if self.brittle.is_empty() || !is_due(now, self.brittle_reported_at, REPORT_INTERVAL) {
            return Vec::new();
        }
        let report = |(service, state): (&Service, &brittle::Brittleness)| {
            state.report(now, service_hash(service))
        };
        let reports: Vec<_> =
            self.brittle.iter().filter_map(report).take(brittle::MAX_REPORTS).collect();
        if !reports.is_empty() {
            self.brittle_reported_at = Some(now);
        }
        reports
    }

    /// Returns the tolerance of a service's upstreams, if they are brittle.
    #[must_use]
    pub fn brittle_tolerance(&self, service: &Service) -> Option<RejectionTolerance> {
        self.brittle.get(service)?.tolerance()
    }

    /// Returns whether a service has an upstream to which a request was not sent yet, whichever
    /// process has places there.
    #[must_use]
    pub fn has_untried(&self, now: Time, service: &Service, tried: &[UpstreamId]) -> bool {
        let mut upstreams = self.upstreams.values();
        upstreams
            .any(|u| u.info.service == *service && u.is_usable(now) && !tried.contains(&u.info.id))
    }

    /// Returns the places of this process at the upstreams of a service.
    #[must_use]
    pub fn place_counts(&self, now: Time, service: &Service) -> PlaceCounts {
        let mut counts = PlaceCounts::default();
        for upstream in self.upstreams.values() {
            if upstream.info.service != *service || !upstream.is_usable(now) {
                continue;
            }
            let places = upstream.places.as_ref().map_or(0, |places| places.count(now));
            counts.places = counts.places.saturating_add(places);
            counts.running = counts.running.saturating_add(upstream.running);
        }
        counts
    }

    /// Returns the VMs that have places at some upstreams of a brittle service, by their hashes
    /// ([`crate::warm_up::Senders::hash`]), once for each of these upstreams. Each process takes other upstreams,
    /// so that the requests of all are spread.
    #[must_use]
    pub fn place_holders(&self, now: Time, service: &Service) -> Vec<u64> {
        let senders = self.slow_start.senders();
        let mut upstreams: Vec<_> = self
            .upstreams
            .values()
            .filter(|u| u.info.service == *service && u.is_usable(now))
            .collect();
        upstreams.sort_by_key(|u| (u.distance, senders.own_weight(u.seed)));
        upstreams.truncate(ASKED_UPSTREAMS);
        let holders = |u: &Upstream| {
            let count = |members| {
                let count = brittle::sender_count(u.info.slots, members);
                usize::try_from(count).unwrap_or(usize::MAX)
            };
            senders.first_near(u.seed, u.region.as_ref(), count)
        };
        upstreams.into_iter().flat_map(holders).collect()
    }

    /// Returns whether any service is brittle.
    #[must_use]
    pub fn has_brittle(&self) -> bool {
        self.brittle.values().any(|state| state.tolerance().is_some())
    }

    /// Returns the number of upstreams of brittle services.
    #[must_use]
    pub fn brittle_count(&self) -> usize {
        self.upstreams.values().filter(|u| u.removed_at.is_none() && u.places.is_some()).count()
    }

    fn brittle_change(
        &mut self,
        now: Time,
        service: Service,
        before: Option<RejectionTolerance>,
    ) -> Option<BrittleChange> {
        let tolerance = self.brittle_tolerance(&service);
        if tolerance == before {
            return None;
        }
        let senders = self.slow_start.senders();
        for upstream in self.upstreams.values_mut().filter(|u| u.info.service == service) {
            upstream.places = match (tolerance, upstream.places.take()) {
                (None, _) => None,
                (Some(_), Some(places)) => Some(places),
                (Some(_), None) => {
                    let rank = senders.rank_near(upstream.seed, upstream.region.as_ref());
                    Some(Places::in_use(now, upstream.info.slots, rank))
                }
            };
        }
        Some(BrittleChange { service, tolerance, before })
    }

    /// Gives an upstream that has just started its places, if its service is brittle.
    pub(super) fn open_places(&mut self, now: Time, id: &UpstreamId) {
        let senders = self.slow_start.senders();
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        let state = self.brittle.get(&upstream.info.service);
        let is_brittle = state.is_some_and(|state| state.tolerance().is_some());
        upstream.places = is_brittle.then(|| {
            let rank = senders.rank_near(upstream.seed, upstream.region.as_ref());
            Places::starting(now, upstream.info.slots, rank)
        });
    }
}
