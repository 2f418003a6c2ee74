//! The table of upstreams that routes lead to, and the choice among them.
//!
//! The platform's list says which upstreams there are and which are leaving; an upstream may also
//! say in its answers that it leaves, rests or has a limit (`statements`); and what this VM saw of
//! each says how it is doing. A request goes where its first part of the
//! answer is expected soonest: prompt parts that the upstream has read before need not
//! be read again, and work under way delays it. Upstreams of an evacuated failure domain get
//! nothing; those that are cold get little ([`crate::warm_up`]), and those that name a limit no more
//! than that ([`crate::rate_limit`]).

mod announcements;
mod canary;
mod choice;
mod limits;
mod list;
mod rollout;
mod slow_start;
mod upstream;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use self::canary::{Canary, VersionAccess};
use self::slow_start::SlowStart;
use self::upstream::Upstream;
use crate::amount::Time;
use crate::evacuation::DomainChange;
use crate::ids::{Domain, Service, SoftwareVersion, UpstreamId};
use crate::locality::{CrossingReason, Distance, DistanceCosts, Location};
use crate::queueing_delay::{self, DelayReport};
use crate::request_mix::{
    EngineDemand, EngineDivision, ObservedTiming, PromptGroup, PromptSize, READ_MS_PRIOR,
    RequestMix, float, service_number,
};
use crate::residency::{RegionMap, Residency};
use crate::rollout::tally::Tallies;
use crate::warm_up::{Senders, WarmUp, WarmUpBound};
use serde::{Deserialize, Serialize};

pub use self::canary::SentCounts;
pub use self::limits::LimitChange;

/// How long after it was taken back a domain's upstreams may be silent about having turned
/// cold: the platform's upstreams write their entries anew every 1.2 s.
const MAX_ENTRY_DELAY: Duration = Duration::from_millis(1500);
/// From how many engines on a service is divided between long and short prompts.
///
/// Measured by docs/POLICY.md: 140 engines serve better when they are divided, 18 serve worse,
/// since few engines in a group even out less and each move of the border costs prompts that
/// were read before. Where between them it turns was not measured.
const MIN_DIVIDED_ENGINES: usize = 32;

/// A part of a prompt that requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// The part's name.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// How one try at an upstream ended, as far as it tells about the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It answered.
    Answered,
    /// It is full.
    Full,
    /// It failed, broke off or said nothing.
    Failed,
    /// The caller left, which tells nothing.
    Unknown,
}

/// What a request wants of an upstream.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamCriteria<'a> {
    /// The service.
    pub service: &'a Service,
    /// The route that the request came on.
    pub route: &'a str,
    /// The parts of the prompt, in order; empty for plain calls.
    pub parts: &'a [PromptPart],
    /// How many bytes cross between this process and the upstream, both ways together.
    pub bytes: u64,
    /// The regions in which the request may be served.
    pub residency: &'a Residency,
    /// The upstreams that the request was sent to already.
    pub tried: &'a [UpstreamId],
    /// The version that began the stream which the request goes on with, if it does.
    pub resumed_version: Option<&'a SoftwareVersion>,
    /// How many connections this VM may have to one upstream.
    pub max_connections: u32,
    /// A random number, to tell equal upstreams apart.
    pub random: u64,
    /// A number by which all VMs choose the same upstream, whatever it costs: for a request at
    /// which an upstream has ended. Sent again through several VMs, it ends one more at the
    /// most, and two that were at the same crash are not soon at another together.
    pub rendezvous_key: Option<u64>,
}

/// The upstream that was chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct ChosenUpstream {
    /// The upstream.
    pub id: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Stands for its process: one that starts again under the id has another.
    pub process: u32,
    /// The version of its software, where the service has several.
    pub version: Option<SoftwareVersion>,
    /// The expected delay in milliseconds.
    pub cost: f64,
    /// The prompt tokens that it is expected to read.
    pub uncached_tokens: u64,
    /// How long requests wait there at present beyond reading, in milliseconds.
    pub queueing_delay: f64,
    /// The group of the request, where engines are divided, and whether the upstream is
    /// among those that take it.
    pub group: Option<(PromptGroup, bool)>,
    /// How far it is.
    pub distance: Distance,
    /// Why the request leaves its region, if it does.
    pub crossing: Option<CrossingReason>,
    /// How many upstreams were weighed.
    pub candidates: usize,
    /// The upstream that nearly won, with its expected delay.
    pub runner_up: Option<(UpstreamId, f64)>,
}

/// What a process lacks of the list of upstreams after another one has told it something.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListGap {
    /// Nothing that the other one knows.
    Nothing,
    /// Changes before those that it was told.
    Changes,
    /// It knows of every change, and its list is another one all the same.
    FullList,
}

/// The table of upstreams.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    revision: u64,
    updated_at: Option<Time>,
    /// The last revision at which an upstream went that is not remembered any more.
    forgotten_revision: u64,
    upstreams: BTreeMap<UpstreamId, Upstream>,
    /// Upstreams that have started again, of which nobody was told yet.
    restarted: Vec<UpstreamId>,
    /// What was seen of the requests of each service.
    request_mixes: BTreeMap<Service, RequestMix>,
    /// The failure domains that operators have evacuated.
    evacuated: BTreeSet<Domain>,
    /// Which failure domain lies in which region.
    regions: RegionMap,
    /// Where this process stands, and what distance costs it.
    location: Location,
    distance_costs: DistanceCosts,
    slow_start: SlowStart,
    canary: Canary,
    /// The turn of the rules of roll-outs in force.
    rules_sequence: u64,
    /// How requests go at services that are rolled out.
    tallies: Tallies,
    /// The services, without engines, that requests of this process went to.
    plain_services: BTreeSet<Service>,
    /// Whether any upstream has named a limit.
    has_limits: bool,
    /// When others were told of limits last, and with which note the next turn begins.
    limits_reported_at: Option<Time>,
    limits_offset: usize,
}

impl UpstreamTable {
    /// Returns the revision of the list in force, and when it was learned.
    #[must_use]
    pub fn last_update(&self) -> (u64, Option<Time>) {
        (self.revision, self.updated_at)
    }

    /// Sets which failure domain lies in which region.
    pub fn set_regions(&mut self, regions: RegionMap) {
        self.regions = regions;
        self.update_locations();
    }

    /// Sets where this process stands, and what distance costs it.
    pub fn set_location(&mut self, location: Location, distance_costs: DistanceCosts) {
        (self.location, self.distance_costs) = (location, distance_costs);
        self.update_locations();
    }

    fn update_locations(&mut self) {
        for upstream in self.upstreams.values_mut() {
            upstream.update_location(&self.location, &self.regions);
        }
    }

    /// Returns which failure domain lies in which region.
    #[must_use]
    pub fn regions(&self) -> &RegionMap {
        &self.regions
    }

    /// Sets the fleet's bound on what cold upstreams get, and how many VMs send to each.
    pub fn set_warm_up_bound(&mut self, bound: Option<WarmUpBound>, senders: usize) {
        self.slow_start.set_bound(bound, senders);
    }

    /// Sets how the upstreams of each service start.
    pub fn set_warm_ups(&mut self, warm_ups: BTreeMap<Service, WarmUp>) {
        self.slow_start.set_warm_ups(warm_ups);
    }

    /// Takes in who may send to cold upstreams by the view in force.
    pub fn set_senders(&mut self, now: Time, senders: Senders) {
        self.slow_start.set_senders(senders);
        for upstream in self.upstreams.values_mut() {
            upstream.apply_senders(now, &self.slow_start);
        }
    }

    /// Takes in that domains were evacuated or taken back; returns the upstreams concerned.
    ///
    /// Those of a domain that was taken back count as just started, unless they have written
    /// since how it is.
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

    /// Returns how many upstreams get nothing since their domain is evacuated, and how many
    /// are cold.
    #[must_use]
    pub fn restricted_counts(&self, now: Time) -> (usize, usize) {
        let listed = || self.upstreams.values().filter(|u| u.removed_at.is_none());
        let evacuated = listed().filter(|u| u.evacuated).count();
        let is_cold =
            |u: &&Upstream| u.is_cold(now) && self.slow_start.warm_up(&u.info.service).is_some();
        (evacuated, listed().filter(is_cold).count())
    }

    /// Returns when the first cold upstream of a service is warm, if requests may wait for one.
    #[must_use]
    pub fn time_until_warm(&self, now: Time, service: &Service) -> Option<Duration> {
        self.slow_start.warm_up(service)?;
        let usable =
            self.upstreams.values().filter(|u| u.info.service == *service && u.is_usable(now));
        usable.map(|u| u.time_until_warm(now)).filter(|span| !span.is_zero()).min()
    }

    /// Notes that a request for an engine came on a route.
    pub fn record_arrival(&mut self, now: Time, service: &Service, route: &str, size: PromptSize) {
        self.request_mixes.entry(service.clone()).or_default().record_arrival(now, route, size);
    }

    /// Returns what the requests of this process need of the engines of each service that
    /// has enough engines to divide.
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

    /// Divides the engines of each service by what all processes need.
    ///
    /// Returns the services that are divided anew.
    pub fn divide_engines(&mut self, demand: &[EngineDemand]) -> Vec<(Service, EngineDivision)> {
        let services: BTreeSet<_> =
            self.upstreams.values().map(|u| u.info.service.clone()).collect();
        let mut changed = Vec::new();
        for service in services {
            let number = service_number(&service);
            let demand = demand.iter().find(|demand| demand.service == number);
            let mix = self.request_mixes.entry(service.clone()).or_default();
            // A service that nobody has needs of is divided no more.
            let division = mix.divide(&demand.copied().unwrap_or_default());
            changed.extend(division.map(|division| (service, division)));
        }
        changed
    }

    /// Notes how a request went that an engine answered whole.
    pub fn record_timing(&mut self, service: &Service, route: &str, seen: &ObservedTiming) {
        if let Some(mix) = self.request_mixes.get_mut(service) {
            mix.record_timing(route, seen);
        }
    }

    /// Notes how long a request has waited for the first event of its answer, be it there or
    /// not, at an engine that was expected to read so many tokens first.
    pub fn record_first_event_wait(
        &mut self,
        now: Time,
        id: &UpstreamId,
        span: Duration,
        uncached: u64,
    ) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        let read_ms = self
            .request_mixes
            .get(&upstream.info.service)
            .map_or(READ_MS_PRIOR, RequestMix::ms_per_token);
        let reading = Duration::from_secs_f64(float(uncached) * read_ms / 1e3);
        upstream.queueing_delay.observe(now, span.saturating_sub(reading));
    }

    /// Notes how long a request took at a plain upstream, or counts for that was turned away
    /// there.
    pub fn record_response_time(&mut self, now: Time, id: &UpstreamId, span: Duration) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        upstream.queueing_delay.observe(now, span);
        if !self.plain_services.contains(&upstream.info.service) {
            self.plain_services.insert(upstream.info.service.clone());
        }
    }

    /// Returns the upstreams with a lag that other processes should know of, another few at
    /// each turn where there are many.
    #[must_use]
    pub fn delay_reports(&self, now: Time, round: usize) -> Vec<DelayReport> {
        let report = |u: &Upstream| {
            u.queueing_delay.note(now, u.short_id(), self.plain_services.contains(&u.info.service))
        };
        let all: Vec<_> = self.upstreams.values().filter_map(report).collect();
        let start = if all.is_empty() { 0 } else { round * queueing_delay::MAX_NOTES % all.len() };
        all.iter()
            .cycle()
            .skip(start)
            .take(all.len().min(queueing_delay::MAX_NOTES))
            .copied()
            .collect()
    }

    /// Takes in what another process knows of lags.
    pub fn apply_delay_reports(&mut self, now: Time, reports: &[DelayReport]) {
        for upstream in self.upstreams.values_mut() {
            let number = upstream.short_id();
            if let Some(report) = reports.iter().find(|report| report.upstream == number) {
                upstream.queueing_delay.hear(now, *report);
            }
        }
    }

    /// Notes that a request goes to an upstream.
    pub fn start_request(&mut self, now: Time, id: &UpstreamId, parts: &[PromptPart]) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        let share = self.slow_start.sender_share(&upstream.info.service);
        upstream.start_request(now, share, parts);
    }

    /// Notes how a request at an upstream ended.
    pub fn end_request(&mut self, now: Time, id: &UpstreamId, outcome: AttemptOutcome) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        upstream.running = upstream.running.saturating_sub(1);
        upstream.record_outcome(now, outcome);
    }

    /// Tells whether any upstream of a service may be used.
    #[must_use]
    pub fn serves(&self, now: Time, service: &Service) -> bool {
        self.upstreams.values().any(|u| u.info.service == *service && u.is_usable(now))
    }

    /// Tells whether an upstream may still get requests.
    #[must_use]
    pub fn is_usable(&self, now: Time, id: &UpstreamId) -> bool {
        let Some(upstream) = self.upstreams.get(id).filter(|u| u.is_usable(now)) else {
            return false;
        };
        match self.canary.access(now, upstream) {
            VersionAccess::Unrestricted | VersionAccess::Limited => true,
            VersionAccess::Delayed => !self.has_unrestricted(now, &upstream.info.service),
            VersionAccess::Blocked => false,
        }
    }

    /// Tells whether the list still names a process of an upstream.
    #[must_use]
    pub fn is_current_process(&self, id: &UpstreamId, process: u32) -> bool {
        self.upstreams.get(id).is_some_and(|upstream| upstream.process == process)
    }

    /// Returns how many upstreams the list names.
    #[must_use]
    pub fn len(&self) -> usize {
        self.upstreams.values().filter(|u| u.removed_at.is_none()).count()
    }

    /// Tells whether the list names no upstream.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
