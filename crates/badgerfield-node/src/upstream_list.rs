//! Applies updates of the list of upstreams and announces them to other processes.

use std::sync::Arc;
use std::time::Duration;

use badgerfield_core::ids::{Incarnation, UpstreamId};
use badgerfield_core::message::{Message, UpstreamUpdate};
use badgerfield_core::upstream_list::{UpstreamList, UpstreamListChanges};
use badgerfield_core::upstream_table::{Departure, ListGap};
use badgerfield_core::{Command, Event};

use crate::driver::{Driver, UpdateSource};
use crate::gateway::state::Gateway;
use crate::logs::PLATFORM;

/// Maximum number of changed upstreams that one log line names.
const MAX_LOGGED_UPSTREAMS: usize = 8;

impl Driver {
    /// Applies changes of the list of upstreams that were read from the platform.
    pub(crate) fn apply_upstream_changes(self: &Arc<Self>, changes: UpstreamListChanges) {
        let Some(gateway) = self.gateway() else {
            return;
        };
        let updated = gateway.upstreams().apply_changes(self.now(), changes);
        self.handle_list_update(gateway, &updated, UpdateSource::Platform);
    }

    /// Applies changes of the list of upstreams that a peer announced, and requests earlier
    /// changes or the complete list if they are missing here.
    pub(crate) fn apply_peer_update(self: &Arc<Self>, from: Incarnation, update: UpstreamUpdate) {
        let Some(gateway) = self.gateway() else {
            return;
        };
        let UpstreamUpdate { changes, since, version, .. } = update;
        let (updated, gap) = gateway.upstreams().apply_update(self.now(), changes, since, version);
        self.handle_list_update(gateway, &updated, UpdateSource::Peer(from));
        match gap {
            ListGap::Nothing => {}
            ListGap::Changes => self.handle_event(Event::UpstreamListGap(from, version.revision)),
            ListGap::FullList => self.handle_event(Event::UpstreamListsDiffer(from)),
        }
    }

    /// Applies a complete list of upstreams.
    pub(crate) fn apply_upstream_list(self: &Arc<Self>, list: UpstreamList, source: UpdateSource) {
        let Some(gateway) = self.gateway() else {
            return;
        };
        let (is_first, updated) = {
            let mut upstreams = gateway.upstreams();
            (upstreams.last_update().0 == 0, upstreams.apply_list(self.now(), list))
        };
        self.record_list_update(gateway, &updated, source);
        // The first list of a process that has just started contains nothing new for others.
        let is_news = source == UpdateSource::Platform && !is_first;
        self.announce_new_changes(gateway, &updated, is_news);
    }

    fn handle_list_update(
        self: &Arc<Self>,
        gateway: &Gateway,
        updated: &[UpstreamId],
        source: UpdateSource,
    ) {
        self.record_list_update(gateway, updated, source);
        self.announce_new_changes(gateway, updated, source == UpdateSource::Platform);
    }

    /// Closes connections to restarted upstreams, and logs the changed upstreams and those that
    /// leave.
    fn record_list_update(
        self: &Arc<Self>,
        gateway: &Gateway,
        updated: &[UpstreamId],
        source: UpdateSource,
    ) {
        let (version, count, (evacuated, cold), restarted, departures) = {
            let mut upstreams = gateway.upstreams();
            let restricted = upstreams.restricted_counts(self.now());
            let (restarted, departures) = (upstreams.take_restarted(), upstreams.take_departures());
            (upstreams.list_version(), upstreams.len(), restricted, restarted, departures)
        };
        gateway.connections.close(&restarted);
        for id in &restarted {
            log::info!(target: PLATFORM, "upstream started again id={id} list={}", version.revision);
        }
        self.handle_event(Event::UpstreamListVersion(version, count));
        if count > 0 {
            for waiter in gateway.take_list_waiters() {
                self.send_upstream_list(waiter, 0);
            }
        }
        if !updated.is_empty() {
            let logged: Vec<_> =
                updated.iter().take(MAX_LOGGED_UPSTREAMS).map(UpstreamId::as_str).collect();
            log::info!(
                target: PLATFORM,
                "upstreams changed list={} count={count} cold={cold} evacuated={evacuated} changed={} \
                 ids={}",
                version.revision,
                updated.len(),
                logged.join(",")
            );
        }
        for departure in &departures {
            log_departure(departure, version.revision, source);
        }
    }

    /// Announces an update to other processes if it comes from the platform. In a small fleet it
    /// also announces changes that come from a peer and are new here.
    fn announce_new_changes(
        self: &Arc<Self>,
        gateway: &Gateway,
        updated: &[UpstreamId],
        is_from_platform: bool,
    ) {
        let is_small = self.node.is_small_fleet();
        if is_from_platform || (is_small && !updated.is_empty()) {
            self.announce_changes(gateway, updated);
        }
    }

    /// Announces the changes of the list of upstreams since the last announcement; `updated` are
    /// the upstreams that this update has changed.
    fn announce_changes(self: &Arc<Self>, gateway: &Gateway, updated: &[UpstreamId]) {
        let announced = self.node.announced_revision();
        let update = {
            // Changes and version are read under one lock: a newer version would claim changes
            // that the update does not contain.
            let upstreams = gateway.upstreams();
            let version = upstreams.list_version();
            let (changes, since) = upstreams.announcement(self.now(), announced, updated);
            UpstreamUpdate { changes, since, version, reach: 0 }
        };
        self.handle_event(Event::UpstreamChanges(update));
    }

    /// Sends a process the changes of the list of upstreams since a revision, or the complete list
    /// if these changes are not known.
    pub(crate) fn send_upstream_list(self: &Arc<Self>, to: Incarnation, since: u64) {
        let Some(gateway) = self.gateway() else {
            return;
        };
        let message = {
            let upstreams = gateway.upstreams();
            if upstreams.is_empty() {
                drop(upstreams);
                // It gets the list as soon as one arrives here.
                gateway.add_list_waiter(to);
                return;
            }
            let changes = upstreams.changes_since(self.now(), since).filter(|_| since > 0);
            match changes {
                Some(changes) => {
                    let version = upstreams.list_version();
                    Message::UpstreamChanges(UpstreamUpdate { changes, since, version, reach: 0 })
                }
                None => Message::Upstreams(upstreams.list(self.now())),
            }
        };
        self.execute(Command::Send(to, message));
    }
}

/// Logs that an upstream leaves: from whom this process learned it, how old its list was until
/// then, and what it has sent to the upstream.
fn log_departure(departure: &Departure, list: u64, source: UpdateSource) {
    let Departure { id, removed, revision, list_age, running, last_sent } = departure;
    let sign = if *removed { "removed" } else { "leaving" };
    let millis = |span: &Option<Duration>| {
        span.map_or_else(|| "-".to_owned(), |span| span.as_millis().to_string())
    };
    log::info!(
        target: PLATFORM,
        "upstream leaves id={id} sign={sign} entry={revision} list={list} from={source} \
         list_age_ms={} running={running} last_sent_ms={}",
        millis(list_age),
        millis(last_sent)
    );
}
