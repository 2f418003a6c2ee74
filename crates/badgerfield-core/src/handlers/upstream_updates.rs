//! Updates of the list of upstreams: broadcasts them and compares lists.
//!
//! In a large view, the members that watch the platform broadcast changes, and each member
//! forwards an update before it applies it. In a small view, every member watches the platform and
//! sends new changes to the others.

use std::time::Duration;

use crate::amount::Time;
use crate::brittle::BrittleReport;
use crate::broadcast;
use crate::event::{Command, Outbox, is_due};
use crate::ids::Incarnation;
use crate::membership::NewerList;
use crate::message::{Message, UpstreamUpdate};
use crate::node::Node;
use crate::rate_limit::LimitReport;
use crate::upstream_list::ListVersion;
use crate::view::MAX_SMALL_VIEW_MEMBERS;

/// Minimum time between two fetches of missing changes: about as long as a reply takes on a busy
/// VM.
const MIN_FETCH_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum time between two fetches of the complete list by a process that has one. The list takes
/// some 110 B for each upstream, too much to send for each update after which lists differ.
const MIN_FULL_FETCH_INTERVAL: Duration = Duration::from_secs(2);
/// How long an update that others have may still be in transit to this process: it reaches a fleet
/// of 300 in a tenth of a second. An upstream that leaves gives seconds of notice.
const PROPAGATION_TIME: Duration = Duration::from_millis(250);
/// How long an unchanged list needs no confirmation. This is at most a fifth of the notice that
/// upstreams give before they leave (3 s and more in large fleets); after 0.6 of that notice,
/// other members start to read the list themselves. Several members watch the platform; the first
/// one to read the list in each such interval confirms it for all.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(600);

impl Node {
    /// Returns the last revision of the list up to which every change has been announced to all.
    #[must_use]
    pub fn announced_revision(&self) -> u64 {
        self.state.membership().announced_revision
    }

    /// Announces changes that were read from the platform.
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

    /// Sends the rate limits that upstreams announce to the neighbours.
    pub(crate) fn send_limits(&self, reports: &[LimitReport], out: &mut Outbox) {
        if reports.is_empty() {
            return;
        }
        let neighbours = self.state.membership().neighbours();
        for to in neighbours {
            out.send(to, Message::LimitReports(reports.to_vec()));
        }
    }

    /// Sends reports of brittle services to the neighbours.
    pub(crate) fn send_brittle(&self, reports: &[BrittleReport], out: &mut Outbox) {
        if reports.is_empty() {
            return;
        }
        let neighbours = self.state.membership().neighbours();
        for to in neighbours {
            out.send(to, Message::BrittleReports(reports.to_vec()));
        }
    }

    /// Applies an update of the list and forwards it to this process's part of the ring.
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
            // In a small view, every member announces changes itself, so an update from another
            // member does not raise the announced revision.
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

    /// Compares a neighbour's version of the list with the one known here.
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

    /// Fetches missing changes from a process that knows a later revision, unless they may still
    /// be in transit.
    ///
    /// In a list of 3,000 upstreams, one change takes some hundred bytes and the complete list 330
    /// KB. At 300 VMs, complete lists were most of the traffic between members.
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
            // A process without a list is not about to receive one, so it fetches the list at
            // once.
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

    /// Fetches the complete list from a process that knows no later revision, but whose list
    /// differs.
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
