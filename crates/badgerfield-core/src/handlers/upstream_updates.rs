//! News of the list of upstreams: passes it on, and compares lists.
//!
//! In a large view, whoever follows the platform tells all by a broadcast, which each member
//! passes on before it looks at it. In a small one everybody follows the platform, and tells
//! the others what was news.

use std::time::Duration;

use crate::amount::Time;
use crate::broadcast;
use crate::event::{Command, Outbox, is_due};
use crate::ids::Incarnation;
use crate::membership::NewerList;
use crate::message::{Message, UpstreamUpdate};
use crate::node::Node;
use crate::rate_limit::LimitReport;
use crate::upstream_list::ListVersion;
use crate::view::MAX_SMALL_VIEW_MEMBERS;

/// The least time between two fetches of what is missing of the list: about as long as an
/// answer takes on a busy VM.
const MIN_FETCH_INTERVAL: Duration = Duration::from_millis(200);
/// The least time between two fetches of the whole list by one that has a list: some 110 B for
/// each upstream are not to be sent for each piece of news that finds the lists different.
const MIN_FULL_FETCH_INTERVAL: Duration = Duration::from_secs(2);
/// How long news that others have may still be under way here: it goes round a fleet of 300 in
/// a tenth of a second. An upstream that leaves gives seconds of notice.
const PROPAGATION_TIME: Duration = Duration::from_millis(250);
/// For how long a list that has not changed needs no confirmation: a fifth or less of the notice
/// of upstreams on the users' sheets (3 s and more where fleets are large), after 0.6 of which
/// others begin to read the list themselves. Several members follow the platform; the first to
/// read it in each such span confirms it for all.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(600);

impl Node {
    /// Returns the last revision of the list up to which all were told every change.
    #[must_use]
    pub fn announced_revision(&self) -> u64 {
        self.state.membership().announced_revision
    }

    /// Tells others what was read from the platform.
    pub(crate) fn announce_upstream_changes(
        &self,
        now: Time,
        found: &UpstreamUpdate,
        out: &mut Outbox,
    ) {
        let UpstreamUpdate { changes, version, .. } = found;
        let has_changes = !changes.written.is_empty() || !changes.gone.is_empty();
        let mut members = self.state.membership();
        let update = |reach| UpstreamUpdate { reach, ..found.clone() };
        if members.view.members.len() <= MAX_SMALL_VIEW_MEMBERS {
            if !has_changes {
                return;
            }
            members.announced_revision = members.announced_revision.max(version.revision);
            for to in members.neighbours() {
                out.send(to, Message::UpstreamChanges(update(0)));
            }
            return;
        }
        if !has_changes && !is_due(now, members.list_confirmed_at, CONFIRM_INTERVAL) {
            return;
        }
        members.list_confirmed_at = Some(now);
        members.announced_revision = members.announced_revision.max(version.revision);
        for (to, reach) in members.broadcast_targets(now, broadcast::full_reach(&members.view)) {
            out.send(to, Message::UpstreamChanges(update(reach)));
        }
    }

    /// Tells the neighbours of the limits that upstreams name.
    pub(crate) fn send_limits(&self, reports: &[LimitReport], out: &mut Outbox) {
        if reports.is_empty() {
            return;
        }
        let neighbours = self.state.membership().neighbours();
        for to in neighbours {
            out.send(to, Message::LimitReports(reports.to_vec()));
        }
    }

    /// Takes in what another process tells, and passes it on to its part of the ring.
    pub(crate) fn receive_upstream_update(
        &self,
        now: Time,
        from: Incarnation,
        update: UpstreamUpdate,
        out: &mut Outbox,
    ) {
        let targets = {
            let mut members = self.state.membership();
            members.list_confirmed_at = Some(now);
            // In a small view each passes on what it has heard, and so tells it itself.
            if members.view.members.len() > MAX_SMALL_VIEW_MEMBERS {
                members.announced_revision =
                    members.announced_revision.max(update.version.revision);
            }
            if update.reach == 0 {
                Vec::new()
            } else {
                members.broadcast_targets(now, update.reach)
            }
        };
        for (to, reach) in targets {
            let update = UpstreamUpdate { reach, ..update.clone() };
            out.send(to, Message::UpstreamChanges(update));
        }
        out.push(Command::ApplyUpstreamChanges(from, update));
    }

    /// Compares what a neighbour knows of the list of upstreams with what is known here.
    pub(crate) fn compare_list_version(
        &self,
        now: Time,
        from: Incarnation,
        peer_version: ListVersion,
        out: &mut Outbox,
    ) {
        {
            let mut members = self.state.membership();
            if peer_version.revision <= members.upstream_list.revision {
                return;
            }
            if peer_version.digest == members.upstream_list.digest {
                members.upstream_list.revision = peer_version.revision;
                out.push(Command::ConfirmUpstreamList(peer_version.revision));
                return;
            }
        }
        self.fetch_missing_upstreams(now, from, peer_version.revision, out);
    }

    /// Takes in that a process knows the list up to a revision, which is beyond what is known
    /// here; asks it for what is missing, unless that comes by itself.
    ///
    /// Of a list of 3,000 upstreams one change takes some hundred bytes, and the whole 330 KB,
    /// which at 300 VMs was most of what they sent each other.
    pub(crate) fn fetch_missing_upstreams(
        &self,
        now: Time,
        from: Incarnation,
        revision: u64,
        out: &mut Outbox,
    ) {
        let since = {
            let mut members = self.state.membership();
            let known = members.upstream_list.revision;
            // No whole list is under way to one that has none, so it asks at once.
            if known > 0 {
                let noticed = members.newer_list.filter(|newer| newer.revision > known);
                let Some(newer) = noticed else {
                    members.newer_list = Some(NewerList { revision, noticed_at: now });
                    return;
                };
                if !is_due(now, Some(newer.noticed_at), PROPAGATION_TIME) {
                    return;
                }
            }
            members.newer_list = None;
            known
        };
        self.request_upstream_list(now, from, since, out);
    }

    /// Takes in that a process knows no more than this one, and its list differs all the same:
    /// asks it for the whole.
    pub(crate) fn fetch_all_upstreams(&self, now: Time, from: Incarnation, out: &mut Outbox) {
        self.request_upstream_list(now, from, 0, out);
    }

    fn request_upstream_list(&self, now: Time, from: Incarnation, since: u64, out: &mut Outbox) {
        let mut members = self.state.membership();
        let interval = if since == 0 && members.upstream_list.revision > 0 {
            MIN_FULL_FETCH_INTERVAL
        } else {
            MIN_FETCH_INTERVAL
        };
        if !is_due(now, members.list_requested_at, interval) {
            return;
        }
        members.list_requested_at = Some(now);
        out.send(from, Message::FetchUpstreams { since });
    }
}
