//! News of the list of upstreams: passes it on, and compares lists.
//!
//! In a large view, whoever follows the platform tells all by a broadcast, which each member
//! passes on before it looks at it. In a small one everybody follows the platform, and tells
//! the others what was news.

use std::time::Duration;

use crate::amount::Time;
use crate::broadcast;
use crate::event::{Order, Outbox, due};
use crate::ids::Incarnation;
use crate::membership::ListFetch;
use crate::message::{Message, UpstreamNews};
use crate::node::Node;
use crate::replica_list::{ListMark, ReplicaChanges};
use crate::view::SMALL_VIEW;

/// The least time between two fetches of the list from one member.
const FETCH: Duration = Duration::from_millis(200);
/// Within which time of a fetch what a member tells counts as its answer: a slow answer that is
/// taken for news costs one more difference, and none a whole list too many.
const ANSWERED: Duration = Duration::from_secs(1);
/// For how long a list that has not changed needs no confirmation: a fifth or less of the notice
/// of upstreams on the users' sheets (3 s and more where fleets are large), after 0.6 of which
/// others begin to read the list themselves. Several members follow the
/// platform; the first to read it in each such span confirms it for all.
const CONFIRM: Duration = Duration::from_millis(600);

impl Node {
    /// Tells others what was read from the platform.
    pub(crate) fn tell_changes(&self, now: Time, changes: &ReplicaChanges, out: &mut Outbox) {
        let is_news = !changes.written.is_empty() || !changes.gone.is_empty();
        let mut members = self.board.members();
        let mark = members.list;
        let news = |reach| UpstreamNews { changes: changes.clone(), mark, reach };
        if members.view.members.len() <= SMALL_VIEW {
            for to in members.neighbours().into_iter().filter(|_| is_news) {
                out.send(to, Message::UpstreamChanges(news(0)));
            }
            return;
        }
        if !is_news && !due(now, members.confirmed_at, CONFIRM) {
            return;
        }
        members.confirmed_at = Some(now);
        for (to, reach) in members.legs(now, broadcast::all(&members.view)) {
            out.send(to, Message::UpstreamChanges(news(reach)));
        }
    }

    /// Takes in what another process tells, and passes it on to its part of the ring.
    pub(crate) fn upstream_news(
        &self,
        now: Time,
        from: Incarnation,
        news: UpstreamNews,
        out: &mut Outbox,
    ) {
        let legs = {
            let mut members = self.board.members();
            members.confirmed_at = Some(now);
            if news.reach == 0 { Vec::new() } else { members.legs(now, news.reach) }
        };
        for (to, reach) in legs {
            let news = UpstreamNews { reach, ..news.clone() };
            out.send(to, Message::UpstreamChanges(news));
        }
        out.push(Order::LearnChanges(from, news.changes, news.mark));
    }

    /// Compares what a neighbour knows of the list of upstreams with what is known here.
    pub(crate) fn compare_lists(
        &self,
        now: Time,
        from: Incarnation,
        theirs: ListMark,
        out: &mut Outbox,
    ) {
        {
            let mut members = self.board.members();
            if theirs.revision <= members.list.revision {
                return;
            }
            if theirs.digest == members.list.digest {
                members.list.revision = theirs.revision;
                out.push(Order::ConfirmUpstreams(theirs.revision));
                return;
            }
        }
        self.fetch_upstreams(now, from, out);
    }

    /// Asks a process for what its list has beyond the one that is known here, unless it was
    /// asked a moment ago.
    ///
    /// Of a list of 3,000 upstreams one change takes some hundred bytes, and the whole 330 KB,
    /// which at 300 VMs was most of what they sent each other.
    pub(crate) fn fetch_upstreams(&self, now: Time, from: Incarnation, out: &mut Outbox) {
        let since = self.board.members().list.revision;
        self.ask_upstreams(now, from, since, out);
    }

    /// Takes in that a process's changes did not lead to its list: some were missed. If they were
    /// all since a revision, the lists differ in what is older, and the whole is asked for.
    pub(crate) fn upstreams_differ(&self, now: Time, from: Incarnation, out: &mut Outbox) {
        let since = {
            let members = self.board.members();
            let asked = members.list_fetches.get(&from);
            let answered =
                asked.is_some_and(|asked| asked.since > 0 && !due(now, Some(asked.at), ANSWERED));
            if answered { 0 } else { members.list.revision }
        };
        self.ask_upstreams(now, from, since, out);
    }

    fn ask_upstreams(&self, now: Time, from: Incarnation, since: u64, out: &mut Outbox) {
        let mut members = self.board.members();
        let asked = members.list_fetches.get(&from).copied();
        let wants_more = asked.is_some_and(|asked| asked.since > 0 && since == 0);
        if !wants_more && !due(now, asked.map(|asked| asked.at), FETCH) {
            return;
        }
        members.list_fetches.insert(from, ListFetch { at: now, since });
        out.send(from, Message::FetchUpstreams { since });
    }
}
