//! Takes in what is told of the list of upstreams, and tells others.

use std::sync::Arc;

use badgerfield_core::ids::{Incarnation, UpstreamId};
use badgerfield_core::message::{Message, UpstreamUpdate};
use badgerfield_core::upstream_list::{UpstreamList, UpstreamListChanges};
use badgerfield_core::upstream_table::ListGap;
use badgerfield_core::{Command, Event};

use crate::driver::{Driver, UpdateSource};
use crate::gateway::state::Gateway;
use crate::logs::PLATFORM;

/// How many upstreams that have changed a line of the log names.
const LOGGED_UPSTREAMS: usize = 8;

impl Driver {
    /// Takes in changes of the list of upstreams that the platform told.
    pub(crate) fn apply_upstream_changes(self: &Arc<Self>, changes: UpstreamListChanges) {
        let Some(gateway) = self.gateway() else {
            return;
        };
        let news = gateway.replicas().apply_changes(self.now(), changes);
        self.learned(gateway, &news, UpdateSource::Platform);
    }

    /// Takes in changes of the list of upstreams that a peer passed on.
    pub(crate) fn apply_peer_update(self: &Arc<Self>, from: Incarnation, news: UpstreamUpdate) {
        let Some(gateway) = self.gateway() else {
            return;
        };
        let UpstreamUpdate { changes, since, version: mark, .. } = news;
        let (news, lacking) = gateway.replicas().apply_update(self.now(), changes, since, mark);
        self.learned(gateway, &news, UpdateSource::Peer);
        match lacking {
            ListGap::Nothing => {}
            ListGap::Changes => self.feed(Event::UpstreamListGap(from, mark.revision)),
            ListGap::FullList => self.feed(Event::UpstreamListsDiffer(from)),
        }
    }

    /// Takes in a whole list of upstreams.
    pub(crate) fn apply_upstream_list(self: &Arc<Self>, list: UpstreamList, source: UpdateSource) {
        let Some(gateway) = self.gateway() else {
            return;
        };
        let (is_first, news) = {
            let mut replicas = gateway.replicas();
            (replicas.last_update().0 == 0, replicas.apply_list(self.now(), list))
        };
        // What is news to a process that has just started is not news to others.
        let source = if is_first { UpdateSource::Peer } else { source };
        self.learned(gateway, &news, source);
    }

    /// Logs what was news in the list of upstreams, and tells others what the platform told.
    fn learned(self: &Arc<Self>, gateway: &Gateway, news: &[UpstreamId], source: UpdateSource) {
        let (mark, count, (evacuated, cold), started_again) = {
            let mut replicas = gateway.replicas();
            let spared = replicas.restricted_counts(self.now());
            (replicas.list_version(), replicas.len(), spared, replicas.take_restarted())
        };
        gateway.connections.close(&started_again);
        for id in &started_again {
            log::info!(target: PLATFORM, "upstream started again id={id} list={}", mark.revision);
        }
        self.feed(Event::UpstreamListVersion(mark));
        if !news.is_empty() {
            let few: Vec<_> = news.iter().take(LOGGED_UPSTREAMS).map(UpstreamId::as_str).collect();
            log::info!(
                target: PLATFORM,
                "upstreams changed list={} count={count} cold={cold} evacuated={evacuated} changed={} \
                 ids={}",
                mark.revision,
                news.len(),
                few.join(",")
            );
        }
        // In a small fleet everybody passes on what is news to it.
        let is_small = self.node.is_small_fleet();
        if source == UpdateSource::Platform || (is_small && !news.is_empty()) {
            self.announce_changes(gateway, news);
        }
    }

    /// Tells others what has changed in the list of upstreams since they were told last; `news`
    /// is what was news to this process.
    fn announce_changes(self: &Arc<Self>, gateway: &Gateway, news: &[UpstreamId]) {
        let told = self.node.announced_revision();
        let news = {
            // Changes and mark are read together: a mark that is newer claims too much.
            let replicas = gateway.replicas();
            let mark = replicas.list_version();
            let (changes, since) = match replicas.changes_since(self.now(), told) {
                Some(changes) => (changes, told),
                // Others see from the revision that they lack something, and ask for it.
                None => (replicas.changes_of(self.now(), news), mark.revision),
            };
            UpstreamUpdate { changes, since, version: mark, reach: 0 }
        };
        self.feed(Event::UpstreamChanges(news));
    }

    /// Tells a process what has changed in the list of upstreams since a revision, or the whole
    /// list where that is not known.
    pub(crate) fn send_upstream_list(self: &Arc<Self>, to: Incarnation, since: u64) {
        let Some(gateway) = self.gateway() else {
            return;
        };
        let message = {
            let replicas = gateway.replicas();
            if replicas.is_empty() {
                return;
            }
            let changes = replicas.changes_since(self.now(), since).filter(|_| since > 0);
            match changes {
                Some(changes) => {
                    let mark = replicas.list_version();
                    Message::UpstreamChanges(UpstreamUpdate {
                        changes,
                        since,
                        version: mark,
                        reach: 0,
                    })
                }
                None => Message::Upstreams(replicas.list(self.now())),
            }
        };
        self.execute(Command::Send(to, message));
    }
}
