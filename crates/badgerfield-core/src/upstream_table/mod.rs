//! The table of the upstreams that routes lead to, and the choice among them.
//!
//! The platform's list names the upstreams and those that are leaving. An upstream may also
//! announce in its answers that it is leaving, that it needs a back-off or that it has a rate limit
//! (`announcements`). Each process also records the outcomes and delays that it observes itself. A
//! request goes to the upstream where the first part of the answer is expected soonest: prompt
//! parts that the upstream has cached need not be read again, and running requests add delay.
//! Upstreams of an evacuated failure domain get no requests. Cold upstreams get few
//! ([`crate::warm_up`]), upstreams that announce a rate limit get no more than it allows
//! ([`crate::rate_limit`]), and those of a brittle service no more than they run at once
//! ([`crate::brittle`]).

mod announcements;
mod answers;
mod brittle;
mod canary;
mod choice;
mod departures;
mod limits;
mod list;
mod probes;
mod rollout;
mod slow_start;
mod upstream;
mod versions;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use self::canary::{Access, Canary};
use self::slow_start::SlowStart;
use self::upstream::Upstream;
use self::versions::VersionHistory;
use crate::amount::Time;
use crate::brittle::Brittleness;
use crate::evacuation::DomainChange;
use crate::ids::{Domain, Service, SoftwareVersion, UpstreamId, VersionTag};
use crate::locality::{CrossingReason, Distance, DistanceCosts, Location};
use crate::queueing_delay::{self, DelayReport};
use crate::request_mix::{
    DEFAULT_MS_PER_TOKEN, EngineDemand, EngineDivision, ObservedTiming, PromptGroup, PromptSize,
    RequestMix, service_hash, to_f64,
};
use crate::residency::{RegionMap, Residency};
use crate::rollout::tally::Tallies;
use crate::warm_up::{Senders, WarmUp, WarmUpBound};
use serde::{Deserialize, Serialize};

pub use self::brittle::{BrittleChange, PlaceCounts};
pub use self::canary::SentCounts;
pub use self::departures::Departure;
pub use self::limits::LimitChange;
pub(crate) use self::upstream::shared_parts;

/// The maximum delay until the entries of a restored domain's upstreams say that these are cold:
/// the platform's upstreams rewrite their entries every 1.2 s.
const MAX_ENTRY_DELAY: Duration = Duration::from_millis(1500);
/// The number of engines from which a service is divided between long and short prompts.
///
/// A division improves the service of 140 engines (docs/POLICY.md) and worsens that of 18: few
/// engines per group even out less load, and each move of the boundary loses cached prompts.
const MIN_DIVIDED_ENGINES: usize = 32;

/// A part of a prompt that several requests may have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// The id of the part.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// The outcome of one attempt at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The upstream answered.
    Answered,
    /// The upstream rejected the request because it is full.
    Full,
    /// The upstream failed, broke off its answer or did not answer.
    Failed,
    /// The caller disconnected first, so the state of the upstream is unknown.
    Unknown,
}

/// The criteria by which an upstream is chosen for a request.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamCriteria<'a> {
    /// The service.
    pub service: &'a Service,
    /// The route on which the request arrived.
    pub route: &'a str,
    /// The parts of the prompt, in order; empty for requests without a prompt.
    pub parts: &'a [PromptPart],
    /// The bytes transferred between this process and the upstream, in both directions together.
    pub bytes: u64,
    /// The regions in which the request may be served.
    pub residency: &'a Residency,
    /// The upstreams to which the request was sent before.
    pub tried: &'a [UpstreamId],
    /// The version that began the stream, if the request resumes one. Only upstreams of this
    /// version can continue it.
    pub bound_version: Option<VersionTag>,
    /// Whether the answer is a stream that its caller may resume.
    pub is_resumable: bool,
    /// The maximum number of connections from this VM to one upstream.
    pub max_connections: u32,
    /// A random number that breaks ties between equal upstreams.
    pub random: u64,
    /// A key by which all VMs choose the same upstream, whatever the cost, for a request under
    /// which an upstream has crashed. If the request is sent again through several VMs, at most one
    /// more upstream crashes, and two requests that were suspects of the same crash are unlikely to
    /// meet at another upstream soon.
    pub rendezvous_key: Option<u64>,
}

impl UpstreamCriteria<'_> {
    /// Returns whether the request begins a stream that may be resumed. Only versions that are open
    /// for streams may begin one.
    fn begins_stream(&self) -> bool {
        self.is_resumable && self.bound_version.is_none()
    }
}

/// The chosen upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct ChosenUpstream {
    /// The id of the upstream.
    pub id: UpstreamId,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Identifies its process: an upstream that restarts under the same id has another value.
    pub process: u32,
    /// The version of its software; `None` if the list does not contain it.
    pub version: Option<SoftwareVersion>,
    /// The digest of that version.
    pub version_tag: VersionTag,
    /// Whether the request is bound to this version, because it resumes a stream.
    pub is_bound: bool,
    /// The expected delay in milliseconds.
    pub cost: f64,
    /// The number of prompt tokens that the upstream is expected to read.
    pub uncached_tokens: u64,
    /// The present queueing delay at the upstream, in milliseconds.
    pub queueing_delay: f64,
    /// The prompt group of the request and whether the upstream belongs to it, if the engines of
    /// the service are divided.
    pub group: Option<(PromptGroup, bool)>,
    /// The distance to the upstream.
    pub distance: Distance,
    /// The reason why the request leaves its region, if it does.
    pub crossing: Option<CrossingReason>,
    /// The number of candidates that were compared.
    pub candidates: usize,
    /// The candidate with the second lowest cost, and its cost in milliseconds.
    pub runner_up: Option<(UpstreamId, f64)>,
}

/// What this process still lacks of the list of upstreams after an update from another process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListGap {
    /// Nothing that the sender knows of.
    Nothing,
    /// Changes before those in the update.
    Changes,
    /// The full list: this process has seen every change, yet its list differs from the sender's.
    FullList,
}

/// The table of upstreams.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    revision: u64,
    updated_at: Option<Time>,
    /// The revision from which all removals are recorded: those up to it may have been dropped, or
    /// came before the first list.
    dropped_revision: u64,
    upstreams: BTreeMap<UpstreamId, Upstream>,
    /// Since when the list has differed from each list with which it was compared.
    differs_since: Option<Time>,
    /// Restarted upstreams that no caller of `take_restarted` has received yet.
    restarted: Vec<UpstreamId>,
    /// The upstreams that leave and that no caller of `take_departures` has received yet.
    departures: Vec<Departure>,
    /// The observed mix of requests, by service.
    request_mixes: BTreeMap<Service, RequestMix>,
    /// The failure domains that operators have evacuated.
    evacuated: BTreeSet<Domain>,
    /// The region of each failure domain.
    regions: RegionMap,
    /// The location of this process, and the costs of distance from it.
    location: Location,
    distance_costs: DistanceCosts,
    slow_start: SlowStart,
    canary: Canary,
    versions: VersionHistory,
    /// The sequence number of the rollout rules in force.
    rules_sequence: u64,
    /// The outcomes of requests at services with a rollout.
    tallies: Tallies,
    /// The services without engines (plain services) to which this process has sent requests.
    plain_services: BTreeSet<Service>,
    /// Whether any upstream has announced a rate limit.
    has_limits: bool,
    /// When limits were last reported, and the index of the first one in the next report.
    limits_reported_at: Option<Time>,
    limits_offset: usize,
    /// What is known of the services that have been brittle.
    brittle: BTreeMap<Service, Brittleness>,
    /// When brittle services were last reported.
    brittle_reported_at: Option<Time>,
}

impl UpstreamTable {
    /// Returns the revision of the list in force and when it was applied or confirmed.
    #[must_use]
    pub fn last_update(&self) -> (u64, Option<Time>) {
        (self.revision, self.updated_at)
    }

    /// Sets the region of each failure domain.
    pub fn set_regions(&mut self, regions: RegionMap) {
        self.regions = regions;
        self.update_locations();
    }

    /// Sets the location of this process and the costs of distance from it.
    pub fn set_location(&mut self, location: Location, distance_costs: DistanceCosts) {
        (self.location, self.distance_costs) = (location, distance_costs);
        self.update_locations();
    }

    fn update_locations(&mut self) {
        for upstream in self.upstreams.values_mut() {
            upstream.update_location(&self.location, &self.regions);
        }
    }

    /// Returns the region of each failure domain.
    #[must_use]
    pub fn regions(&self) -> &RegionMap {
        &self.regions
    }

    /// Sets the fleet's bound on requests to cold upstreams, and how many VMs send to each.
    pub fn set_warm_up_bound(&mut self, bound: Option<WarmUpBound>, senders: usize) {
        self.slow_start.set_bound(bound, senders);
    }

    /// Sets how the upstreams of each service warm up.
    pub fn set_warm_ups(&mut self, warm_ups: BTreeMap<Service, WarmUp>) {
        self.slow_start.set_warm_ups(warm_ups);
    }

    /// Applies the order of senders that follows from the view in force.
    pub fn set_senders(&mut self, now: Time, senders: Senders) {
        self.slow_start.set_senders(senders);
        for upstream in self.upstreams.values_mut() {
            upstream.apply_senders(now, &self.slow_start);
        }
    }

    /// Applies evacuations and restorations of domains; returns the affected upstreams.
    ///
    /// Upstreams of a restored domain count as just started, unless their entries were written
    /// after the restoration.
    pub fn apply_evacuations(&mut self, now: Time, changes: &[DomainChange]) -> Vec<UpstreamId> {
        let mut affected = Vec::new();
        for change in changes {
            if change.evacuated {
                self.evacuated.insert(change.domain.clone());
            } else {
                self.evacuated.remove(&change.domain);
            }
            for upstream in self.upstreams.values_mut().filter(|u| u.info.domain == change.domain) {
                affected.push(upstream.info.id.clone());
                upstream.evacuated = change.evacuated;
                let warm_up = self.slow_start.warm_up(&upstream.info.service);
                let Some(warm_up) = warm_up.filter(|_| !change.evacuated) else {
                    continue;
                };
                if upstream.revision <= change.revision {
                    let until = now.after(warm_up.span.saturating_add(MAX_ENTRY_DELAY));
                    upstream.mark_cold(now, &self.slow_start, change.revision, until);
                }
            }
        }
        affected
    }

    /// Returns the number of upstreams that get no requests because their domain is evacuated, and
    /// the number of cold ones.
    #[must_use]
    pub fn restricted_counts(&self, now: Time) -> (usize, usize) {
        let listed = || self.upstreams.values().filter(|u| u.removed_at.is_none());
        let evacuated = listed().filter(|u| u.evacuated).count();
        let is_cold =
            |u: &&Upstream| u.is_cold(now) && self.slow_start.warm_up(&u.info.service).is_some();
        (evacuated, listed().filter(is_cold).count())
    }

    /// Returns the time until the first cold upstream of a service is warm; `None` if none is cold
    /// or requests to cold upstreams of the service are not limited.
    #[must_use]
    pub fn time_until_warm(&self, now: Time, service: &Service) -> Option<Duration> {
        self.slow_start.warm_up(service)?;
        let usable =
            self.upstreams.values().filter(|u| u.info.service == *service && u.is_usable(now));
        usable.map(|u| u.time_until_warm(now)).filter(|span| !span.is_zero()).min()
    }

    /// Records a request for an engine that arrived on a route.
    pub fn record_arrival(&mut self, now: Time, service: &Service, route: &str, size: PromptSize) {
        self.request_mixes.entry(service.clone()).or_default().record_arrival(now, route, size);
    }

    /// Returns the demand of this process on the engines of each service that has enough engines to
    /// divide.
    pub fn engine_demand(&mut self, now: Time) -> Vec<EngineDemand> {
        let upstreams = &self.upstreams;
        let mut demand = Vec::new();
        for (service, mix) in &mut self.request_mixes {
            let listed = |u: &&Upstream| u.info.service == *service && u.removed_at.is_none();
            let engines = upstreams.values().filter(listed).count();
            let Some(first) =
                upstreams.values().find(listed).filter(|_| engines >= MIN_DIVIDED_ENGINES)
            else {
                continue;
            };
            demand.push(mix.demand(now, service, first.info.slots));
        }
        demand
    }

    /// Divides the engines of each service by the demand of all processes.
    ///
    /// Returns the services whose division changed.
    pub fn divide_engines(&mut self, demand: &[EngineDemand]) -> Vec<(Service, EngineDivision)> {
        let services: BTreeSet<_> =
            self.upstreams.values().map(|u| u.info.service.clone()).collect();
        let mut changed = Vec::new();
        for service in services {
            let number = service_hash(&service);
            let demand = demand.iter().find(|demand| demand.service == number);
            let mix = self.request_mixes.entry(service.clone()).or_default();
            // Without any demand the service is no longer divided.
            let division = mix.divide(&demand.copied().unwrap_or_default());
            changed.extend(division.map(|division| (service, division)));
        }
        changed
    }

    /// Records the timing of a request that an engine answered completely.
    pub fn record_timing(&mut self, service: &Service, route: &str, timing: &ObservedTiming) {
        if let Some(mix) = self.request_mixes.get_mut(service) {
            mix.record_timing(route, timing);
        }
    }

    /// Records how long a request has waited for the first event of its answer, whether or not that
    /// has arrived, at an engine that was expected to read `uncached` tokens first.
    pub fn record_first_event_wait(
        &mut self,
        now: Time,
        id: &UpstreamId,
        wait: Duration,
        uncached: u64,
    ) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        let read_ms = self
            .request_mixes
            .get(&upstream.info.service)
            .map_or(DEFAULT_MS_PER_TOKEN, RequestMix::ms_per_token);
        let read_time = Duration::from_secs_f64(to_f64(uncached) * read_ms / 1e3);
        upstream.queueing_delay.record(now, wait.saturating_sub(read_time));
    }

    /// Records the response time of a request at an upstream of a plain service; a rejected request
    /// is recorded with the time that it counts for.
    pub fn record_response_time(&mut self, now: Time, id: &UpstreamId, elapsed: Duration) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        upstream.queueing_delay.record(now, elapsed);
        if !self.plain_services.contains(&upstream.info.service) {
            self.plain_services.insert(upstream.info.service.clone());
        }
    }

    /// Returns the queueing delays to report to other processes; if there are more than fit into
    /// one report, each round takes the next ones.
    #[must_use]
    pub fn delay_reports(&self, now: Time, round: usize) -> Vec<DelayReport> {
        let report = |u: &Upstream| {
            u.queueing_delay.delay_report(
                now,
                u.short_id(),
                self.plain_services.contains(&u.info.service),
            )
        };
        let all: Vec<_> = self.upstreams.values().filter_map(report).collect();
        let start =
            if all.is_empty() { 0 } else { round * queueing_delay::MAX_REPORTS % all.len() };
        all.iter()
            .cycle()
            .skip(start)
            .take(all.len().min(queueing_delay::MAX_REPORTS))
            .copied()
            .collect()
    }

    /// Applies queueing delays that another process reported.
    pub fn apply_delay_reports(&mut self, now: Time, reports: &[DelayReport]) {
        for upstream in self.upstreams.values_mut() {
            let short_id = upstream.short_id();
            if let Some(report) = reports.iter().find(|report| report.upstream == short_id) {
                upstream.queueing_delay.apply_report(now, *report);
            }
        }
    }

    /// Records that a request is sent to an upstream.
    pub fn start_request(&mut self, now: Time, id: &UpstreamId, parts: &[PromptPart]) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        let share = self.slow_start.sender_share(&upstream.info.service);
        upstream.start_request(now, share, parts);
    }

    /// Records the outcome of a request at an upstream.
    pub fn end_request(&mut self, now: Time, id: &UpstreamId, outcome: AttemptOutcome) {
        self.release_place(now, id, outcome);
        self.record_outcome(now, id, outcome);
    }

    /// Records that an upstream no longer works on a request, whose outcome may be found out later. At
    /// a brittle service, its place there is free.
    pub fn release_place(&mut self, now: Time, id: &UpstreamId, outcome: AttemptOutcome) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        upstream.running = upstream.running.saturating_sub(1);
        let tolerance = self.brittle.get(&upstream.info.service).and_then(Brittleness::tolerance);
        if let Some(tolerance) = tolerance {
            upstream.record_place_outcome(now, outcome, tolerance);
        }
    }

    /// Records what the outcome of a request says about an upstream.
    pub fn record_outcome(&mut self, now: Time, id: &UpstreamId, outcome: AttemptOutcome) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.record_outcome(now, outcome);
        }
    }

    /// Returns whether any upstream of a service is usable.
    #[must_use]
    pub fn serves(&self, now: Time, service: &Service) -> bool {
        self.upstreams.values().any(|u| u.info.service == *service && u.is_usable(now))
    }

    /// Returns whether an upstream may still get requests.
    #[must_use]
    pub fn is_usable(&self, now: Time, id: &UpstreamId) -> bool {
        let Some(upstream) = self.upstreams.get(id).filter(|u| u.is_usable(now)) else {
            return false;
        };
        match self.canary.access(now, upstream) {
            Access::Unrestricted | Access::Limited => true,
            Access::Delayed => !self.has_unrestricted(now, &upstream.info.service),
            Access::Blocked => false,
        }
    }

    /// Returns whether an upstream may still get a request that resumes a stream of its version.
    ///
    /// A version that is delayed gets no new requests, but continues what it began.
    #[must_use]
    pub fn may_continue(&self, now: Time, id: &UpstreamId) -> bool {
        let upstream = self.upstreams.get(id).filter(|u| u.is_usable(now));
        upstream.is_some_and(|upstream| self.canary.access(now, upstream) != Access::Blocked)
    }

    /// Returns the version of an upstream's software, if the upstream is known.
    #[must_use]
    pub fn version_tag(&self, id: &UpstreamId) -> Option<VersionTag> {
        self.upstreams.get(id).map(|upstream| upstream.version_tag)
    }

    /// Returns whether the table still has this process of an upstream.
    #[must_use]
    pub fn is_current_process(&self, id: &UpstreamId, process: u32) -> bool {
        self.upstreams.get(id).is_some_and(|upstream| upstream.process == process)
    }

    /// Returns the ids of all listed upstreams.
    #[must_use]
    pub fn listed_ids(&self) -> BTreeSet<UpstreamId> {
        let listed = self.upstreams.iter().filter(|(_, u)| u.removed_at.is_none());
        listed.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the number of listed upstreams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.upstreams.values().filter(|u| u.removed_at.is_none()).count()
    }

    /// Returns whether no upstream is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
