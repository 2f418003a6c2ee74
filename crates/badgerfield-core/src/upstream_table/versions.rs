//! What the list of upstreams tells about the versions at which streams can have begun.
//!
//! A version begins streams only once the store records it ([`crate::version_record`]).
//!
//! A stream needs no record of its own if its service has had one version for as long as the stream
//! can have lasted. A process knows that only of the time in which it followed the list without
//! gaps. A gap matters once a version can have appeared in it and begun a stream: that takes
//! [`super::canary::ORDER_DELAY`], for which a version that is new to a service gets no requests
//! while others serve.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::UpstreamTable;
use super::canary::{Access, ORDER_DELAY};
use super::upstream::Upstream;
use crate::amount::Time;
use crate::ids::{Service, VersionTag};
use crate::version_record::{self, KnownVersions, OpenVersions, ServiceVersions};

/// The maximum age of a list that lacks no version which another process may already send to.
///
/// The list of another process may be newer by the time that a change takes to arrive here.
const MAX_LIST_AGE: Duration = ORDER_DELAY.saturating_sub(Duration::from_secs(2));
/// The maximum age of a list by which streams begin without copies of their records: a process that
/// hears from the platform is well below it.
const FRESH_LIST_AGE: Duration = Duration::from_secs(3);
/// The maximum number of services and versions that are remembered after they left the list.
const MAX_PAST_VERSIONS: usize = 256;
/// How much longer the store records a version that has left the list than processes let it begin
/// streams again without reading the record anew: they see it leave at different times.
const RECORD_MARGIN: Duration = Duration::from_secs(30);

/// The versions that the list named earlier.
#[derive(Debug, Default)]
pub(super) struct VersionHistory {
    /// When versions that are not in the table any more were last in it.
    past: BTreeMap<Service, BTreeMap<VersionTag, Time>>,
    followed: Followed,
    /// The versions that may begin streams; `None` until the record is known.
    open: Option<OpenVersions>,
    /// All versions that the record named then.
    recorded: ServiceVersions,
}

/// What the upstreams of one service say about the versions that are to begin streams.
#[derive(Debug, Default)]
struct ServiceOpening {
    /// Whether a version that may begin streams serves any request.
    has_open: bool,
    to_open: BTreeSet<VersionTag>,
    delayed: BTreeSet<VersionTag>,
}

/// The time in which a process has followed the list of upstreams without gaps.
#[derive(Debug, Clone, Copy, Default)]
enum Followed {
    /// It has no list yet.
    #[default]
    Never,
    /// Since this time.
    Since(Time),
    /// The versions of the time before are known from another process or from the store.
    Always,
}

impl VersionHistory {
    /// Records that the list was applied or confirmed; `last` is when that last happened.
    pub(super) fn record_contact(&mut self, now: Time, last: Option<Time>) {
        if last.is_none_or(|last| now.since(last) > MAX_LIST_AGE) {
            self.followed = Followed::Since(now);
        }
        if last.is_some_and(|last| now.since(last) > RECORD_MARGIN) {
            // Versions may have left the record and returned to the list meanwhile.
            self.open = None;
        }
    }

    /// Records that an upstream of a version leaves the table.
    pub(super) fn record_past(&mut self, now: Time, service: &Service, version: VersionTag) {
        let count: usize = self.past.values().map(BTreeMap::len).sum();
        if count >= MAX_PAST_VERSIONS {
            // What has been forgotten may matter, so the list counts as unknown before now.
            self.past.clear();
            self.followed = Followed::Since(now);
        }
        self.past.entry(service.clone()).or_default().insert(version, now);
    }

    /// Returns the past versions of a service that were listed at most `span` ago.
    fn past_versions(
        &self,
        now: Time,
        service: &Service,
        span: Duration,
    ) -> impl Iterator<Item = VersionTag> {
        let past = self.past.get(service).into_iter().flatten();
        past.filter(move |(_, last)| now.since(**last) < span).map(|(version, _)| *version)
    }

    /// Drops the versions that left the list longer than `lifetime` ago. If they return, the record
    /// may lack them.
    fn drop_past(
        &mut self,
        now: Time,
        lifetime: Duration,
        is_listed: impl Fn(&Service, VersionTag) -> bool,
    ) {
        let kept = lifetime.saturating_add(RECORD_MARGIN);
        for versions in self.past.values_mut() {
            versions.retain(|_, last| now.since(*last) < kept);
        }
        self.past.retain(|_, versions| !versions.is_empty());
        let Some(open) = &mut self.open else {
            return;
        };
        let past = &self.past;
        for (service, tags) in &mut open.versions {
            tags.retain(|tag| {
                let last = past.get(service).and_then(|versions| versions.get(tag));
                is_listed(service, *tag) || last.is_some_and(|last| now.since(*last) < lifetime)
            });
        }
    }

    /// Returns whether an upstream has a version that may begin streams.
    pub(super) fn is_open(&self, upstream: &Upstream) -> bool {
        let open = self.open.as_ref();
        open.is_some_and(|open| open.contains(&upstream.info.service, upstream.version_tag))
    }

    fn is_complete(&self, now: Time, span: Duration) -> bool {
        match self.followed {
            Followed::Never => false,
            Followed::Since(since) => now.since(since) >= span,
            Followed::Always => true,
        }
    }
}

impl UpstreamTable {
    /// Returns the version at which every stream of a service that can still be resumed has begun,
    /// if the list shows that there is only one. `lifetime` is how long streams can be resumed.
    #[must_use]
    pub fn only_version(
        &self,
        now: Time,
        service: &Service,
        lifetime: Duration,
    ) -> Option<VersionTag> {
        if self.list_age(now)? > MAX_LIST_AGE || !self.versions.is_complete(now, lifetime) {
            return None;
        }
        let known = self.known_versions(now, service, lifetime);
        let only = known.first().copied();
        only.filter(|_| known.len() == 1)
    }

    /// Returns whether the records of streams that begin now at a version need copies at other
    /// processes.
    #[must_use]
    pub fn needs_stream_copies(
        &self,
        now: Time,
        service: &Service,
        version: VersionTag,
        lifetime: Duration,
    ) -> bool {
        self.list_age(now).is_none_or(|age| age > FRESH_LIST_AGE)
            || self.only_version(now, service, lifetime) != Some(version)
    }

    /// Returns whether the list has named another version of a service.
    #[must_use]
    pub fn knows_other_version(
        &self,
        now: Time,
        service: &Service,
        version: VersionTag,
        lifetime: Duration,
    ) -> bool {
        self.known_versions(now, service, lifetime).iter().any(|known| *known != version)
    }

    /// Returns whether an upstream of a service has this version, or had it until recently.
    #[must_use]
    pub fn has_version(&self, service: &Service, version: VersionTag) -> bool {
        let mut in_service = self.upstreams.values().filter(|u| u.info.service == *service);
        in_service.any(|u| u.version_tag == version)
    }

    /// Returns the only version of a service that the record named when it was last read, if there
    /// is one. Another one may have been added since.
    #[must_use]
    pub fn recorded_version(&self, service: &Service) -> Option<VersionTag> {
        version_record::only_version(&self.versions.recorded, service)
    }

    /// Returns the versions that may begin streams; `None` until the record is known.
    #[must_use]
    pub fn open_versions(&self) -> Option<&OpenVersions> {
        self.versions.open.as_ref()
    }

    /// Sets the versions that may begin streams, unless a newer record is known.
    pub fn set_open_versions(&mut self, now: Time, open: OpenVersions) {
        let known = self.versions.open.as_ref();
        if known.is_some_and(|known| known.revision > open.revision) {
            return;
        }
        let OpenVersions { revision, mut versions } = open;
        self.versions.recorded.clone_from(&versions);
        // A version that is listed later may have left the record by then.
        for (service, tags) in &mut versions {
            tags.retain(|tag| self.has_version(service, *tag));
        }
        self.versions.open = Some(OpenVersions { revision, versions });
        self.update_versions(now);
    }

    /// Drops what is known of versions whose streams have ended.
    pub fn drop_past_versions(&mut self, now: Time, lifetime: Duration) {
        let upstreams = &self.upstreams;
        let is_listed = |service: &Service, tag: VersionTag| {
            let mut in_service = upstreams.values().filter(|u| u.info.service == *service);
            in_service.any(|u| u.version_tag == tag)
        };
        self.versions.drop_past(now, lifetime, is_listed);
    }

    /// Returns whether a usable upstream of a service has a version that cannot begin streams yet.
    #[must_use]
    pub fn has_closed(&self, now: Time, service: &Service) -> bool {
        self.usable(now, service).any(|upstream| !self.versions.is_open(upstream))
    }

    /// Returns whether streams can begin at every service that has usable upstreams.
    #[must_use]
    pub fn can_begin_streams(&self, now: Time) -> bool {
        self.versions.open.is_some() && !self.versions_to_open(now).1
    }

    /// Returns the versions that may get requests and cannot begin streams yet, and whether a
    /// service has no others.
    fn versions_to_open(&self, now: Time) -> (ServiceVersions, bool) {
        // Without the whole list and the record, it is not known which versions are established.
        if self.revision == 0 || self.versions.open.is_none() {
            return (ServiceVersions::new(), false);
        }
        let mut services: BTreeMap<&Service, ServiceOpening> = BTreeMap::new();
        for upstream in self.upstreams.values().filter(|u| u.is_usable(now)) {
            let opening = services.entry(&upstream.info.service).or_default();
            let tag = upstream.version_tag;
            match (self.canary.access(now, upstream), self.versions.is_open(upstream)) {
                (Access::Unrestricted | Access::Delayed, true) => opening.has_open = true,
                (Access::Unrestricted | Access::Limited, false) => {
                    opening.to_open.insert(tag);
                }
                (Access::Delayed, false) => {
                    opening.delayed.insert(tag);
                }
                (Access::Limited, true) | (Access::Blocked, _) => {}
            }
        }
        let mut to_open = ServiceVersions::new();
        let mut is_urgent = false;
        for (service, opening) in services {
            let ServiceOpening { has_open, to_open: mut tags, delayed } = opening;
            if !has_open && tags.is_empty() {
                tags = delayed;
            }
            if !tags.is_empty() {
                is_urgent |= !has_open;
                to_open.insert(service.clone(), tags);
            }
        }
        (to_open, is_urgent)
    }

    /// Returns the versions of all services at which streams can have begun, and those that are to
    /// begin streams.
    #[must_use]
    pub fn all_known_versions(&self, now: Time, lifetime: Duration) -> KnownVersions {
        let mut known: BTreeMap<&Service, BTreeSet<VersionTag>> = BTreeMap::new();
        for upstream in self.upstreams.values() {
            known.entry(&upstream.info.service).or_default().insert(upstream.version_tag);
        }
        for service in self.versions.past.keys() {
            let kept = lifetime.saturating_add(RECORD_MARGIN);
            let past = self.versions.past_versions(now, service, kept);
            known.entry(service).or_default().extend(past);
        }
        let versions =
            known.into_iter().map(|(service, versions)| (service.clone(), versions)).collect();
        let is_fresh = self.list_age(now).is_some_and(|age| age <= MAX_LIST_AGE);
        let is_complete = self.versions.is_complete(now, lifetime);
        let (to_open, is_urgent) = self.versions_to_open(now);
        KnownVersions { versions, to_open, is_urgent, is_complete, is_fresh }
    }

    /// Adds the versions that were known elsewhere at a time, when there were no others. Returns
    /// whether all versions are known now.
    pub fn apply_versions(
        &mut self,
        now: Time,
        known_at: Time,
        versions: &ServiceVersions,
    ) -> bool {
        for (service, tags) in versions {
            for tag in tags {
                if !self.has_version(service, *tag) {
                    self.versions.record_past(now, service, *tag);
                }
            }
        }
        if let Followed::Since(since) = self.versions.followed
            && since <= known_at
        {
            self.versions.followed = Followed::Always;
        }
        matches!(self.versions.followed, Followed::Always)
    }

    fn known_versions(
        &self,
        now: Time,
        service: &Service,
        lifetime: Duration,
    ) -> BTreeSet<VersionTag> {
        let in_table = self.upstreams.values().filter(|u| u.info.service == *service);
        let past = self.versions.past_versions(now, service, lifetime);
        let open = self.versions.open.iter().filter_map(|open| open.versions.get(service));
        in_table.map(|u| u.version_tag).chain(past).chain(open.flatten().copied()).collect()
    }

    fn list_age(&self, now: Time) -> Option<Duration> {
        self.updated_at.map(|at| now.since(at))
    }
}
