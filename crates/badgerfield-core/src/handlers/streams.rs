//! Records at which version streams began, and sends copies to their keepers and to the store.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;

use crate::amount::Time;
use crate::event::{Command, LogEntry, Outbox, StoreKey};
use crate::ids::{Incarnation, VersionTag};
use crate::message::Message;
use crate::node::Node;
use crate::pending_calls::Purpose;
use crate::stream_origins::{COPIES, KnownOrigin, OriginSource, StreamKey, StreamOrigin};
use crate::stream_segments::{self, SegmentId, StreamShard};
use crate::view::Member;

/// The maximum number of records in one message, of some 15 bytes each.
const MAX_BATCH: usize = 1000;

/// The records to be sent, by receiver and by whether it writes them to the store.
type Batches = BTreeMap<(Incarnation, bool), Vec<StreamOrigin>>;

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
        let shard = StreamShard::of(key);
        let keepers = self.state.stream_origins().asked_keepers(shard, &members.view, is_available);
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
        if copied {
            self.state.stream_origins().record_copied(now, origin);
            self.send_copies(now, vec![origin], out);
        } else {
            self.state.stream_origins().record(now, origin, OriginSource::Own);
        }
    }

    /// Sends copies of the records without any that began at these versions: other versions have
    /// appeared beside them.
    pub(crate) fn copy_streams(
        &self,
        now: Time,
        versions: &BTreeSet<VersionTag>,
        out: &mut Outbox,
    ) {
        let origins = self.state.stream_origins().mark_copied(now, versions);
        self.send_copies(now, origins, out);
    }

    /// Sends the copied records to other processes, because this one stops.
    pub(crate) fn hand_over_streams(&self, now: Time, out: &mut Outbox) {
        let origins = self.state.stream_origins().copied(now);
        self.send_copies(now, origins, out);
    }

    /// Sends records to their keepers. The first keeper of each that is not known to be cut off from
    /// the store also writes it there.
    fn send_copies(&self, now: Time, origins: Vec<StreamOrigin>, out: &mut Outbox) {
        let mut batches = Batches::new();
        {
            let members = self.state.membership();
            let silent = members.silent_members(now);
            let is_available = |id| !silent.contains(&id);
            let mut known = self.state.stream_origins();
            let mut segments = self.state.stream_segments();
            let is_stopping = members.stopping_since.is_some();
            for origin in origins {
                let shard = StreamShard::of(origin.key);
                let mut keepers = known.keepers(shard, &members.view, is_available);
                if is_stopping {
                    keepers.retain(|id| *id != self.id());
                }
                let reaches_store = |id: &&Incarnation| !members.has_store_failure(now, **id);
                let writer = keepers.iter().find(reaches_store).or(keepers.first()).copied();
                if writer.is_none_or(|writer| writer == self.id()) {
                    segments.add(origin);
                }
                keepers.sort_by_key(|id| Some(*id) != writer);
                let others = keepers.into_iter().filter(|id| *id != self.id());
                for to in others.take(COPIES) {
                    batches.entry((to, Some(to) == writer)).or_default().push(origin);
                }
            }
        }
        for ((to, is_writer), batch) in batches {
            for part in batch.chunks(MAX_BATCH) {
                let origins = part.to_vec();
                let message = if is_writer {
                    Message::StreamOriginsToWrite(origins)
                } else {
                    Message::StreamOrigins(origins)
                };
                out.send(to, message);
            }
        }
        self.write_streams(now, out);
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

    /// Keeps the records of another process, and writes them to the store.
    pub(crate) fn write_stream_origins(
        &self,
        now: Time,
        from: Incarnation,
        origins: Vec<StreamOrigin>,
        out: &mut Outbox,
    ) {
        {
            let mut segments = self.state.stream_segments();
            for origin in &origins {
                segments.add(*origin);
            }
        }
        self.keep_stream_origins(now, from, origins);
        self.write_streams(now, out);
    }

    /// Keeps the records of a shard that were read from the store. The first keeper removes their
    /// segments once they have expired, for writers that are gone.
    pub(crate) fn apply_segments(
        &self,
        now: Time,
        shard: StreamShard,
        found: Vec<(SegmentId, Bytes)>,
        out: &mut Outbox,
    ) {
        let mut segments = Vec::new();
        for (id, bytes) in found {
            match stream_segments::decode(&bytes) {
                Ok(origins) => segments.push((id, origins)),
                // A process of another version may be able to read it.
                Err(error) => {
                    let key = StoreKey::StreamSegment(id);
                    out.push(Command::Log(LogEntry::BadValue(key, error.to_string())));
                }
            }
        }
        let members = self.state.membership();
        let silent = members.silent_members(now);
        let mut known = self.state.stream_origins();
        let keepers = known.keepers(shard, &members.view, |id| !silent.contains(&id));
        let is_first = keepers.first() == Some(&self.id());
        drop(members);
        if is_first {
            let mut own = self.state.stream_segments();
            for (id, origins) in &segments {
                own.adopt(*id, now.after(stream_segments::kept_time(origins)));
            }
        }
        for origin in segments.into_iter().flat_map(|(_, origins)| origins) {
            known.record(now, origin, OriginSource::Store);
        }
    }

    /// Writes records to the store if a write is due, and drops those that have expired.
    pub(crate) fn tick_streams(&self, now: Time, out: &mut Outbox) {
        self.state.stream_origins().sweep(now);
        self.write_streams(now, out);
    }

    fn write_streams(&self, now: Time, out: &mut Outbox) {
        let mut members = self.state.membership();
        let mut segments = self.state.stream_segments();
        let dropped = segments.take_dropped();
        if dropped > 0 {
            out.push(Command::Log(LogEntry::StreamsNotWritten(dropped)));
        }
        let Some((number, call)) = segments.next_call(now, self.id()) else {
            return;
        };
        let ticket = members.store_calls.begin(Purpose::StreamSegments(number));
        out.push(Command::CallStore(ticket, call));
    }
}
