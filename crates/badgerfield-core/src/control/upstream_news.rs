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
use crate::message::{Message, UpstreamNews};
use crate::node::Node;
use crate::replica_list::{ListMark, ReplicaChanges};
use crate::view::SMALL_VIEW;

/// The least time between two fetches of the list from one member.
const FETCH: Duration = Duration::from_millis(200);
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

    /// Asks a process for its whole list, unless it was asked a moment ago.
    pub(crate) fn fetch_upstreams(&self, now: Time, from: Incarnation, out: &mut Outbox) {
        let mut members = self.board.members();
        if due(now, members.list_fetched.get(&from).copied(), FETCH) {
            members.list_fetched.insert(from, now);
            out.send(from, Message::FetchUpstreams);
        }
    }
}
