//! Records at which version streams began, and sends copies to their keepers.

use std::collections::BTreeMap;

use crate::amount::Time;
use crate::event::Outbox;
use crate::ids::Incarnation;
use crate::message::Message;
use crate::node::Node;
use crate::stream_origins::{KnownOrigin, OriginSource, StreamKey, StreamOrigin};
use crate::view::Member;

/// The maximum number of records in one message, of some 15 bytes each.
const MAX_BATCH: usize = 1000;

impl Node {
    /// Returns what this process knows of a stream's beginning.
    #[must_use]
    pub fn stream_origin(&self, now: Time, key: StreamKey) -> Option<KnownOrigin> {
        self.state.stream_origins().find(now, key)
    }

    /// Returns the processes to ask for the beginning of a stream.
    #[must_use]
    pub fn stream_keepers(&self, now: Time, key: StreamKey) -> Vec<Member> {
        let members = self.state.membership();
        let silent = members.silent_members(now);
        let is_available = |id| id != self.id() && !silent.contains(&id);
        let keepers = self.state.stream_origins().asked_keepers(key, &members.view, is_available);
        keepers.into_iter().filter_map(|id| members.view.member(id).cloned()).collect()
    }

    /// Records the beginning of a stream of this process, and sends copies if `copied` is set.
    pub(crate) fn record_stream(
        &self,
        now: Time,
        origin: StreamOrigin,
        copied: bool,
        out: &mut Outbox,
    ) {
        let members = self.state.membership();
        let mut origins = self.state.stream_origins();
        if !copied {
            origins.record(now, origin, OriginSource::Own);
            return;
        }
        origins.record_copied(now, origin);
        let silent = members.silent_members(now);
        let is_available = |id| id != self.id() && !silent.contains(&id);
        for to in origins.copy_targets(origin.key, &members.view, is_available) {
            out.send(to, Message::StreamOrigins(vec![origin]));
        }
    }

    /// Sends the copied records to other processes, because this one stops.
    pub(crate) fn hand_over_streams(&self, now: Time, out: &mut Outbox) {
        let members = self.state.membership();
        let mut origins = self.state.stream_origins();
        let silent = members.silent_members(now);
        let is_available = |id| id != self.id() && !silent.contains(&id);
        let mut batches: BTreeMap<Incarnation, Vec<StreamOrigin>> = BTreeMap::new();
        for origin in origins.copied(now) {
            for to in origins.copy_targets(origin.key, &members.view, is_available) {
                batches.entry(to).or_default().push(origin);
            }
        }
        for (to, batch) in batches {
            for part in batch.chunks(MAX_BATCH) {
                out.send(to, Message::StreamOrigins(part.to_vec()));
            }
        }
    }

    /// Keeps the records of another process.
    pub(crate) fn keep_stream_origins(
        &self,
        now: Time,
        from: Incarnation,
        origins: Vec<StreamOrigin>,
    ) {
        let mut known = self.state.stream_origins();
        for origin in origins {
            known.record(now, origin, OriginSource::Peer(from));
        }
    }

    /// Drops records that have expired.
    pub(crate) fn sweep_stream_origins(&self, now: Time) {
        self.state.stream_origins().sweep(now);
    }
}
