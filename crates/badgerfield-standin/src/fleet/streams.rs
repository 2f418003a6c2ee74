//! Records of streams' beginnings: streams begin and are looked up, and the store keeps segments.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::event::{StoreCall, StoreKey, StoreResult};
use badgerfield_core::ids::{Incarnation, VersionTag};
use badgerfield_core::stream_origins::{KnownOrigin, StreamKey, StreamOrigin};
use badgerfield_core::stream_segments::{SegmentId, StreamShard};
use badgerfield_core::{Event, Node};
use bytes::Bytes;

use super::store::FakeStore;
use super::{Fleet, ScheduledAction};

/// The minimum time between two reads of a shard by a process.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// The faults that the store shows for segments.
#[derive(Debug, Clone, Default)]
pub struct SegmentFaults {
    /// How many of ten writes are refused without effect.
    pub refused: u64,
    /// How many of ten writes take effect without a reply.
    pub unanswered: u64,
    /// After which time each write takes effect once more.
    pub repeated_after: Option<Duration>,
    /// By how much reads are behind.
    pub behind: Duration,
}

/// Segments that were written and read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SegmentCounts {
    /// The calls that were to write or remove segments, with those that failed.
    pub writes: u64,
    /// The bytes that were written.
    pub bytes: u64,
    /// The maximum number of segments in the store.
    pub most: usize,
    /// The reads of a shard.
    pub reads: u64,
    /// The bytes that were read.
    pub bytes_read: u64,
}

/// The segments of the store.
#[derive(Debug, Default)]
pub struct StoredSegments {
    /// The faults of the store.
    pub faults: SegmentFaults,
    /// What was written and read so far.
    pub counts: SegmentCounts,
    written_at: BTreeMap<SegmentId, Time>,
    /// When each process last read a shard.
    read_at: BTreeMap<(Incarnation, StreamShard), Time>,
}

impl StoredSegments {
    /// Returns the number of segments in the store.
    #[must_use]
    pub fn len(&self) -> usize {
        self.written_at.len()
    }

    /// Returns whether there are no segments in the store.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.written_at.is_empty()
    }

    /// Returns the processes that wrote the segments in the store.
    #[must_use]
    pub fn writers(&self) -> BTreeSet<Incarnation> {
        self.written_at.keys().map(|id| id.writer()).collect()
    }
}

impl FakeStore {
    /// Handles a call that writes and removes values. Returns its result and whether the reply is
    /// lost.
    pub(super) fn call_write_all(
        &mut self,
        now: Time,
        put: &[(StoreKey, Bytes)],
        delete: &[StoreKey],
    ) -> (StoreResult, bool) {
        self.writes += 1;
        self.segments.counts.writes += 1;
        let SegmentFaults { refused, unanswered, .. } = self.segments.faults;
        // Seven and ten have no common factor, so that all ten remainders occur.
        let turn = self.segments.counts.writes * 7 % 10;
        if turn < refused {
            return (StoreResult::Refused, false);
        }
        let revision = self.write_all(now, put, delete);
        (StoreResult::Written(revision), turn < refused + unanswered)
    }

    /// Writes and removes values. Returns the revision.
    pub(super) fn write_all(
        &mut self,
        now: Time,
        put: &[(StoreKey, Bytes)],
        delete: &[StoreKey],
    ) -> u64 {
        for key in delete {
            self.remove(key);
            if let StoreKey::StreamSegment(id) = key {
                self.segments.written_at.remove(id);
            }
        }
        let mut revision = 0;
        for (key, value) in put {
            let bytes = u64::try_from(value.len()).unwrap_or(0);
            self.bytes += bytes;
            revision = self.put(key.clone(), value.clone());
            if let StoreKey::StreamSegment(id) = key {
                self.segments.counts.bytes += bytes;
                self.segments.written_at.entry(*id).or_insert(now);
            }
        }
        let segments = &mut self.segments;
        segments.counts.most = segments.counts.most.max(segments.written_at.len());
        revision
    }

    /// Returns the segments of a shard.
    fn read_segments(&mut self, now: Time, shard: StreamShard) -> Vec<(SegmentId, Bytes)> {
        let behind = self.segments.faults.behind;
        let written = self.segments.written_at.iter();
        let visible = written.filter(|(id, at)| id.shard() == shard && now.since(**at) >= behind);
        let found = visible.filter_map(|(id, _)| {
            let value = self.value(&StoreKey::StreamSegment(*id))?;
            Some((*id, value))
        });
        let found: Vec<_> = found.collect();
        let bytes: usize = found.iter().map(|(_, value)| value.len()).sum();
        self.segments.counts.reads += 1;
        self.segments.counts.bytes_read += u64::try_from(bytes).unwrap_or(0);
        found
    }
}

impl Fleet {
    /// Begins a stream at a VM; `copied` is whether its record needs copies.
    pub fn begin_stream(&mut self, vm: usize, origin: StreamOrigin, copied: bool) {
        self.handle_event(vm, Event::StreamBegun { origin, copied });
    }

    /// Returns the VMs that a VM asks for the record of a stream.
    #[must_use]
    pub fn stream_keepers(&self, vm: usize, key: StreamKey) -> Vec<usize> {
        let local = self.local_time(vm);
        let keepers = self.node(vm).map(|node| node.stream_keepers(local, key));
        let keepers = keepers.into_iter().flatten();
        keepers.filter_map(|member| self.index_of(member.incarnation)).collect()
    }

    /// Looks up at a VM which version began a stream, as a process does for a request that resumes
    /// it. Returns `None` if no record is found, or if records contradict each other.
    pub fn find_stream(&mut self, vm: usize, key: StreamKey) -> Option<VersionTag> {
        if let Some(known) = self.known_stream(vm, key) {
            return known.version;
        }
        let mut keepers = self.stream_keepers(vm, key);
        if keepers.is_empty() {
            keepers.push(vm);
        }
        let mut found = BTreeSet::new();
        for keeper in keepers {
            if self.known_stream(keeper, key).is_none() {
                self.load_segments(keeper, StreamShard::of(key));
            }
            if let Some(known) = self.known_stream(keeper, key) {
                found.insert(known.version);
            }
        }
        found.pop_first().filter(|_| found.is_empty()).flatten()
    }

    fn known_stream(&self, vm: usize, key: StreamKey) -> Option<KnownOrigin> {
        self.node(vm)?.stream_origin(self.local_time(vm), key)
    }

    /// Lets a process read a shard from the store, unless it has done so lately.
    fn load_segments(&mut self, vm: usize, shard: StreamShard) {
        let is_cut = self.store.partitioned_regions.contains(&self.region_of(vm))
            || self.store.partitioned_vms.contains(&vm);
        let Some(id) = self.node(vm).map(Node::id).filter(|_| !self.store.down && !is_cut) else {
            return;
        };
        let last = self.store.segments.read_at.insert((id, shard), self.now);
        if let Some(last) = last.filter(|last| self.now.since(*last) < RELOAD_INTERVAL) {
            self.store.segments.read_at.insert((id, shard), last);
            return;
        }
        let found = self.store.read_segments(self.now, shard);
        self.handle_event(vm, Event::StreamSegments(shard, found));
    }

    /// Schedules the second execution of a write of segments, if the store repeats them.
    pub(super) fn repeat_segment_write(&mut self, call: &StoreCall) {
        let (StoreCall::WriteAll { put, delete }, Some(delay)) =
            (call, self.store.segments.faults.repeated_after)
        else {
            return;
        };
        let action = ScheduledAction::RepeatedWrite(put.clone(), delete.clone());
        self.schedule(self.now.after(delay), action);
    }
}
