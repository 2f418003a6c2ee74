//! Records of streams' beginnings in the store.
//!
//! Records that need copies ([`crate::stream_origins`]) also go to the store, so that streams can be
//! resumed after the loss of all processes. Streams are divided into [`SHARDS`] shards by their keys.
//! Of the keepers of a shard, the sender of a record names one that writes it: that one gathers
//! records and writes them together, as a *segment* of each shard, so the number of writes depends on
//! the number of shards and not on that of processes or streams. Segments are never changed, so a
//! write that is repeated, late or done twice does no harm. Nothing waits for a write: a stream whose
//! record was not written before all processes were lost is not resumed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::amount::Time;
use crate::event::{StoreCall, StoreKey, StoreResult, is_due};
use crate::ids::{Incarnation, VersionTag};
use crate::stream_origins::{StreamKey, StreamOrigin};

/// The number of shards. A process writes those of which it is the first keeper in one call.
pub const SHARDS: u8 = 16;
/// The minimum time between two new writes of a process.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// The minimum time between two tries of a write that failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// The maximum number of writes that have not succeeded yet. With several, records are written soon
/// also by a slow store.
const MAX_WRITES: usize = 4;
/// The maximum number of records that wait to be written, of some 24 bytes each. Beyond it the
/// oldest are dropped: their streams are not resumed after the loss of all processes.
const MAX_WAITING: usize = 65_536;
/// The maximum number of records of one segment, of some 10 bytes each.
const MAX_SEGMENT_RECORDS: usize = 2000;
/// The maximum number of values that the store writes and removes in one call.
const MAX_CALL_ENTRIES: usize = 32;
/// How long a removal of segments is tried.
const MAX_REMOVAL_TIME: Duration = Duration::from_secs(60);
/// The number of expired segments from which they are removed without a write.
const MIN_REMOVED: usize = 16;

/// A share of all streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamShard(u8);

impl StreamShard {
    /// Returns the shard of a stream.
    #[must_use]
    pub fn of(key: StreamKey) -> Self {
        // The remainder is below 16.
        Self(u8::try_from(key.digest() % u64::from(SHARDS)).unwrap_or(0))
    }

    /// Returns all shards.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SHARDS).map(Self)
    }

    /// Returns the bytes by which the keepers of the shard are ranked.
    pub(crate) fn subject(self) -> [u8; 1] {
        [self.0]
    }
}

impl fmt::Display for StreamShard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// Identifies a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SegmentId {
    shard: StreamShard,
    writer: Incarnation,
    number: u64,
}

impl SegmentId {
    /// Returns the shard of the records.
    #[must_use]
    pub fn shard(self) -> StreamShard {
        self.shard
    }

    /// Returns the process that wrote the segment.
    #[must_use]
    pub fn writer(self) -> Incarnation {
        self.writer
    }
}

/// The text is not the id of a segment.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("expected SHARD/WRITER-NUMBER in hexadecimal digits, found {0}")]
pub struct SegmentIdError(String);

impl fmt::Display for SegmentId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}-{:x}", self.shard, self.writer.0, self.number)
    }
}

impl FromStr for SegmentId {
    type Err = SegmentIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse = || {
            let (shard, rest) = text.split_once('/')?;
            let (writer, number) = rest.split_once('-')?;
            let shard = u8::from_str_radix(shard, 16).ok().filter(|shard| *shard < SHARDS)?;
            let writer = Incarnation(u64::from_str_radix(writer, 16).ok()?);
            let number = u64::from_str_radix(number, 16).ok()?;
            Some(Self { shard: StreamShard(shard), writer, number })
        };
        parse().ok_or_else(|| SegmentIdError(text.to_owned()))
    }
}

/// The value is not a segment.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("expected records of streams, found {0}")]
pub(crate) struct SegmentError(String);

/// Records of one version that are kept equally long.
#[derive(Debug, Serialize, Deserialize)]
struct Group {
    version: VersionTag,
    kept_s: u16,
    keys: Vec<StreamKey>,
}

/// Encodes a segment.
pub(crate) fn encode(origins: &[StreamOrigin]) -> Bytes {
    let mut groups: BTreeMap<(VersionTag, u16), Vec<StreamKey>> = BTreeMap::new();
    for origin in origins {
        groups.entry((origin.version, origin.kept_s)).or_default().push(origin.key);
    }
    let group = |((version, kept_s), keys)| Group { version, kept_s, keys };
    let groups: Vec<_> = groups.into_iter().map(group).collect();
    // Serialization of these types cannot fail.
    Bytes::from(postcard::to_stdvec(&groups).unwrap_or_default())
}

/// Decodes a segment.
///
/// # Errors
///
/// Returns an error if the bytes are not a segment.
pub(crate) fn decode(bytes: &[u8]) -> Result<Vec<StreamOrigin>, SegmentError> {
    let groups: Vec<Group> =
        postcard::from_bytes(bytes).map_err(|error| SegmentError(error.to_string()))?;
    let mut origins = Vec::new();
    for Group { version, kept_s, keys } in groups {
        origins.extend(keys.into_iter().map(|key| StreamOrigin { key, version, kept_s }));
    }
    Ok(origins)
}

/// Identifies a write of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WriteNumber(u64);

/// A write that has not succeeded yet.
#[derive(Debug)]
struct Write {
    put: Vec<(SegmentId, Vec<StreamOrigin>)>,
    delete: Vec<SegmentId>,
    is_pending: bool,
    called_at: Option<Time>,
    gathered_at: Time,
}

impl Write {
    /// Returns whether all its records have expired.
    fn has_expired(&self, now: Time) -> bool {
        let kept = self.put.iter().map(|(_, origins)| kept_time(origins)).max();
        now.since(self.gathered_at) >= kept.unwrap_or(MAX_REMOVAL_TIME)
    }

    fn call(&self) -> StoreCall {
        let put = self.put.iter();
        let put = put.map(|(id, origins)| (StoreKey::StreamSegment(*id), encode(origins)));
        let delete = self.delete.iter().map(|id| StoreKey::StreamSegment(*id));
        StoreCall::WriteAll { put: put.collect(), delete: delete.collect() }
    }
}

/// The records that this process writes, and the segments that it removes.
#[derive(Debug, Default)]
pub(crate) struct StreamSegments {
    waiting: VecDeque<StreamOrigin>,
    /// The number of records that were dropped because too many waited.
    dropped: u64,
    writes: BTreeMap<WriteNumber, Write>,
    gathered_at: Option<Time>,
    last_number: u64,
    /// The segments in the store that this process removes.
    own: BTreeSet<SegmentId>,
    /// The same, by the time at which they expire.
    expiry: BTreeSet<(Time, SegmentId)>,
}

impl StreamSegments {
    /// Adds a record to be written.
    pub(crate) fn add(&mut self, origin: StreamOrigin) {
        self.waiting.push_back(origin);
        if self.waiting.len() > MAX_WAITING {
            self.waiting.pop_front();
            self.dropped += 1;
        }
    }

    /// Returns how many records were dropped since the last call.
    pub(crate) fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    /// Takes over the removal of a segment whose records are kept until a time.
    pub(crate) fn adopt(&mut self, id: SegmentId, expires_at: Time) {
        if self.own.insert(id) {
            self.expiry.insert((expires_at, id));
        }
    }

    /// Returns the write that is due: one that failed, or a new one.
    pub(crate) fn next_call(
        &mut self,
        now: Time,
        me: Incarnation,
    ) -> Option<(WriteNumber, StoreCall)> {
        self.writes.retain(|_, write| write.is_pending || !write.has_expired(now));
        let mut failed = self.writes.iter_mut();
        let is_retry =
            |write: &Write| !write.is_pending && is_due(now, write.called_at, RETRY_INTERVAL);
        if let Some((number, write)) = failed.find(|(_, write)| is_retry(write)) {
            write.is_pending = true;
            write.called_at = Some(now);
            return Some((*number, write.call()));
        }
        if self.writes.len() >= MAX_WRITES || !is_due(now, self.gathered_at, WRITE_INTERVAL) {
            return None;
        }
        let write = self.gather(now, me)?;
        self.gathered_at = Some(now);
        let (number, call) = (WriteNumber(self.last_number), write.call());
        self.writes.insert(number, write);
        Some((number, call))
    }

    /// Gathers what waits into segments.
    fn gather(&mut self, now: Time, me: Incarnation) -> Option<Write> {
        let expired = self.expiry.iter().take_while(|(at, _)| *at <= now);
        let delete: Vec<_> =
            expired.take(MAX_CALL_ENTRIES - usize::from(SHARDS)).copied().collect();
        if self.waiting.is_empty() && delete.len() < MIN_REMOVED {
            return None;
        }
        let mut shards: BTreeMap<StreamShard, Vec<StreamOrigin>> = BTreeMap::new();
        let mut left = VecDeque::new();
        for origin in self.waiting.drain(..) {
            let segment = shards.entry(StreamShard::of(origin.key)).or_default();
            if segment.len() < MAX_SEGMENT_RECORDS {
                segment.push(origin);
            } else {
                left.push_back(origin);
            }
        }
        self.waiting = left;
        self.last_number += 1;
        let number = self.last_number;
        let id = |shard| SegmentId { shard, writer: me, number };
        let put = shards.into_iter().map(|(shard, origins)| (id(shard), origins)).collect();
        for expired in &delete {
            self.expiry.remove(expired);
            self.own.remove(&expired.1);
        }
        let delete = delete.into_iter().map(|(_, id)| id).collect();
        Some(Write { put, delete, is_pending: true, called_at: Some(now), gathered_at: now })
    }

    /// Handles the store's result for a write. One that may have failed is repeated.
    pub(crate) fn handle_result(&mut self, now: Time, number: WriteNumber, result: &StoreResult) {
        if !matches!(result, StoreResult::Written(_)) {
            if let Some(write) = self.writes.get_mut(&number) {
                write.is_pending = false;
            }
            return;
        }
        for (id, origins) in self.writes.remove(&number).into_iter().flat_map(|write| write.put) {
            self.adopt(id, now.after(kept_time(&origins)));
        }
    }
}

/// Returns how long the records of a segment are kept.
pub(crate) fn kept_time(origins: &[StreamOrigin]) -> Duration {
    let longest = origins.iter().map(|origin| origin.kept_s).max().unwrap_or(0);
    Duration::from_secs(u64::from(longest))
}
