//! At which version of upstreams' software streams began.
//!
//! What two versions write does not fit together, so a stream may be resumed only at the version
//! that began it. Each process records the streams that it begins, before the caller gets the first
//! event. While that version does not follow from the list of upstreams
//! ([`crate::upstream_table::UpstreamTable::only_version`]), the record is also sent to [`COPIES`] other
//! processes, its keepers, and to the store ([`crate::stream_segments`]). The shard of the stream
//! determines them, so that a process that is to resume a stream can ask them.
//!
//! A record is never changed: two that contradict each other cancel out. A stream without a record
//! is resumed only if the list shows that its service has had one version.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::amount::Time;
use crate::ids::{Account, Domain, Epoch, Incarnation, VersionTag};
use crate::stream_segments::StreamShard;
use crate::view::{MemberState, View};

/// The number of processes that keep a copy of a record. They lie in different failure domains if
/// there are several, so that the loss of one domain leaves a copy.
pub const COPIES: usize = 2;
/// The number of processes that are asked for a record. Processes that have joined or fallen silent
/// since the record was made shift the keepers by a few ranks.
const ASKED_KEEPERS: usize = 4;
/// The maximum number of members among which keepers are chosen. It bounds the connections that a
/// process opens for records.
const MAX_CANDIDATES: usize = 64;
/// The maximum number of records of one process, of some 120 bytes each.
const MAX_RECORDS: usize = 131_072;
/// The number of timeouts of its route for which a stream is recorded: its caller may resume it
/// three times.
const TRIES: u32 = 4;

/// Identifies a stream: a digest of its account and of the id of the request that brought its first
/// event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Returns the digest.
    pub(crate) fn digest(self) -> u64 {
        self.0
    }

    /// Returns the key of the stream that a request began.
    #[must_use]
    pub fn new(account: Option<&Account>, request: &str) -> Self {
        let account = account.map_or("", Account::as_str);
        // Identifiers contain no line breaks.
        let text = format!("{account}\n{request}");
        Self(xxh3_64(text.as_bytes()))
    }
}

/// The record of a stream's beginning.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub key: StreamKey,
    /// The version that sent its first event.
    pub version: VersionTag,
    /// How long the record is kept, in seconds.
    pub kept_s: u16,
}

/// Returns for how long a stream on a route with this timeout and the further tries of its caller
/// may last.
#[must_use]
pub fn max_lifetime(timeout: Duration) -> Duration {
    timeout.saturating_mul(TRIES)
}

impl StreamOrigin {
    /// Creates the record of a stream on a route with this timeout.
    #[must_use]
    pub fn new(key: StreamKey, version: VersionTag, timeout: Duration) -> Self {
        let seconds = max_lifetime(timeout).as_secs().saturating_add(1);
        Self { key, version, kept_s: u16::try_from(seconds).unwrap_or(u16::MAX) }
    }
}

/// Where a process has learned of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginSource {
    /// It passed on the first event itself.
    Own,
    /// It keeps a copy for this process.
    Peer(Incarnation),
    /// It was read from the store.
    Store,
}

/// What a process knows of a stream's beginning.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownOrigin {
    /// The version that began the stream; `None` if two records contradict each other.
    pub version: Option<VersionTag>,
    /// Where the first record came from.
    pub source: OriginSource,
    /// The time since then.
    pub age: Duration,
}

#[derive(Debug)]
struct Record {
    version: Option<VersionTag>,
    source: OriginSource,
    /// Whether other processes have copies of the record.
    is_copied: bool,
    recorded_at: Time,
    expires_at: Time,
}

/// The records that a process has, and the members among which it chooses keepers.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    records: HashMap<StreamKey, Record>,
    /// The records by the time at which they expire.
    expiry: BTreeSet<(Time, StreamKey)>,
    candidates: Candidates,
}

impl StreamOrigins {
    /// Adds a record. If there are too many, those that expire first are dropped.
    pub fn record(&mut self, now: Time, origin: StreamOrigin, source: OriginSource) {
        self.insert(now, origin, source, source != OriginSource::Own);
    }

    /// Adds a record of this process of which copies are sent.
    pub fn record_copied(&mut self, now: Time, origin: StreamOrigin) {
        self.insert(now, origin, OriginSource::Own, true);
    }

    fn insert(&mut self, now: Time, origin: StreamOrigin, source: OriginSource, is_copied: bool) {
        let StreamOrigin { key, version, kept_s } = origin;
        let is_stored = source == OriginSource::Store;
        if is_stored && self.records.len() >= MAX_RECORDS && !self.records.contains_key(&key) {
            // What this process has learned from its peers is newer.
            return;
        }
        let expires_at = now.after(Duration::from_secs(u64::from(kept_s)));
        let known = self.records.entry(key).or_insert(Record {
            version: Some(version),
            source,
            is_copied,
            recorded_at: now,
            expires_at,
        });
        if known.version != Some(version) {
            known.version = None;
        }
        known.is_copied |= is_copied;
        self.expiry.remove(&(known.expires_at, key));
        if !is_stored {
            known.expires_at = known.expires_at.max(expires_at);
        }
        self.expiry.insert((known.expires_at, key));
        if self.records.len() > MAX_RECORDS
            && let Some((_, dropped)) = self.expiry.pop_first()
        {
            self.records.remove(&dropped);
        }
    }

    /// Returns what is known of a stream.
    #[must_use]
    pub fn find(&self, now: Time, key: StreamKey) -> Option<KnownOrigin> {
        let record = self.records.get(&key).filter(|record| now < record.expires_at)?;
        let Record { version, source, recorded_at, .. } = *record;
        Some(KnownOrigin { version, source, age: now.since(recorded_at) })
    }

    /// Drops the records that have expired.
    pub fn sweep(&mut self, now: Time) {
        while let Some((expires_at, key)) = self.expiry.first().copied()
            && expires_at <= now
        {
            self.expiry.pop_first();
            self.records.remove(&key);
        }
    }

    /// Returns the records of which there are copies, for processes that keep them from now on; not
    /// those that were read from the store.
    #[must_use]
    pub fn copied(&self, now: Time) -> Vec<StreamOrigin> {
        let is_sent = |record: &Record| record.is_copied && record.source != OriginSource::Store;
        let copied = self.records.iter().filter(|(_, record)| is_sent(record));
        let origin = |(key, record): (&StreamKey, &Record)| {
            let remaining = record.expires_at.since(now);
            let kept_s = u16::try_from(remaining.as_secs()).unwrap_or(u16::MAX);
            record.version.map(|version| StreamOrigin { key: *key, version, kept_s })
        };
        copied.filter_map(origin).collect()
    }

    /// Marks the records without copies of streams that began at these versions as copied, and
    /// returns them.
    pub fn mark_copied(&mut self, now: Time, versions: &BTreeSet<VersionTag>) -> Vec<StreamOrigin> {
        let mut marked = Vec::new();
        for (key, record) in &mut self.records {
            let Some(version) = record.version.filter(|version| versions.contains(version)) else {
                continue;
            };
            if record.is_copied || record.expires_at <= now {
                continue;
            }
            record.is_copied = true;
            let remaining = record.expires_at.since(now);
            let kept_s = u16::try_from(remaining.as_secs()).unwrap_or(u16::MAX);
            marked.push(StreamOrigin { key: *key, version, kept_s });
        }
        marked
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the processes that keep the records of a shard, by their rank: one more than there
    /// are copies, since one of them may be the sender.
    pub fn keepers(
        &mut self,
        shard: StreamShard,
        view: &View,
        is_available: impl Fn(Incarnation) -> bool,
    ) -> Vec<Incarnation> {
        let mut keepers = self.candidates.ranked(shard, view, is_available);
        keepers.truncate(COPIES + 1);
        keepers
    }

    /// Returns the processes to ask for a record, those that are most likely to have it first.
    pub fn asked_keepers(
        &mut self,
        shard: StreamShard,
        view: &View,
        is_available: impl Fn(Incarnation) -> bool,
    ) -> Vec<Incarnation> {
        let mut asked = self.candidates.ranked(shard, view, is_available);
        asked.truncate(ASKED_KEEPERS);
        asked
    }
}

/// A member that may keep records for others.
#[derive(Debug)]
struct Candidate {
    id: Incarnation,
    /// A hash of the id of its VM, which stays the same when the process restarts.
    vm_hash: u64,
    domain: Domain,
}

/// The members among which keepers are chosen, by the view of an epoch.
#[derive(Debug, Default)]
struct Candidates {
    epoch: Epoch,
    members: Vec<Candidate>,
}

impl Candidates {
    /// Returns the available candidates by their rank for a shard. The second one lies in another
    /// failure domain than the first if there is one.
    fn ranked(
        &mut self,
        shard: StreamShard,
        view: &View,
        is_available: impl Fn(Incarnation) -> bool,
    ) -> Vec<Incarnation> {
        self.update(view);
        let available = self.members.iter().filter(|member| is_available(member.id));
        let mut ranked: Vec<_> = available.collect();
        let weight = |member: &&Candidate| xxh3_64_with_seed(&shard.subject(), member.vm_hash);
        ranked.sort_by_cached_key(|member| std::cmp::Reverse(weight(member)));
        let first_domain = ranked.first().map(|first| &first.domain);
        let other = ranked.iter().position(|member| Some(&member.domain) != first_domain);
        if let Some(other) = other {
            let second = ranked.remove(other);
            ranked.insert(1, second);
        }
        ranked.into_iter().map(|member| member.id).collect()
    }

    fn update(&mut self, view: &View) {
        if self.epoch == view.epoch {
            return;
        }
        self.epoch = view.epoch;
        let vm_hash = |vm: &str| xxh3_64_with_seed(vm.as_bytes(), 0);
        let active = view.members.iter().filter(|m| m.standing == MemberState::Active);
        let mut members: Vec<_> = active
            .map(|member| {
                let (id, domain) = (member.incarnation, member.domain.clone());
                let candidate = Candidate { id, vm_hash: vm_hash(member.vm.as_str()), domain };
                (std::cmp::Reverse(member.capacity_class()), candidate)
            })
            .collect();
        // The VMs with the most capacity come first: the work of a candidate grows with the fleet.
        members.sort_by_key(|(class, candidate)| (*class, candidate.vm_hash));
        members.truncate(MAX_CANDIDATES);
        self.members = members.into_iter().map(|(_, candidate)| candidate).collect();
    }
}
