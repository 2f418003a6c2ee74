//! Finds the version at which a stream began that a request resumes, and records the streams that
//! begin here.

use std::sync::Arc;
use std::time::Duration;

use badgerfield_core::Event;
use badgerfield_core::amount::Time;
use badgerfield_core::ids::{Incarnation, Service, VersionTag};
use badgerfield_core::refusal::Cause;
use badgerfield_core::stream_origins::{KnownOrigin, OriginSource, StreamKey, StreamOrigin};
use badgerfield_core::stream_segments::StreamShard;
use badgerfield_core::view::Member;
use futures::stream::{FuturesUnordered, StreamExt};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::driver::Driver;
use crate::gateway::exchange::{Exchange, OtherVersion, StreamVersion};
use crate::gateway::forward::PeerCall;
use crate::gateway::request_log;
use crate::gateway::state::Gateway;
use crate::logs::REQUESTS;
use crate::peers::calls::{CallError, CallStream, read_frame, write_frame};

/// The maximum time for which a request waits for the answers of keepers, which may have to read the
/// store first.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// The maximum time for which a keeper reads the store before it answers.
const LOAD_TIMEOUT: Duration = Duration::from_millis(600);
/// How much longer a request waits for other answers after one that names a version.
const FURTHER_ANSWERS_TIME: Duration = Duration::from_millis(20);
/// The maximum time for which a request waits until the records in the store can be read, and its
/// share of the time that is left to the request.
const MAX_SEARCH_TIME: Duration = Duration::from_millis(1500);
const SEARCH_TIME_DIVISOR: u32 = 4;
/// The time between two such tries.
const SEARCH_INTERVAL: Duration = Duration::from_millis(150);
/// The maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 64;

/// Asks a keeper at which version a stream began.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct OriginQuery {
    key: StreamKey,
    /// What the sender goes by if there is no record.
    only: Option<OnlyVersion>,
}

/// The only version of a service, as far as a process knows.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct OnlyVersion {
    service: Service,
    version: VersionTag,
    /// How long a stream and the tries of its caller can last.
    lifetime: Duration,
}

/// The answer of a keeper.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum OriginAnswer {
    /// The stream began at this version, as recorded this long ago.
    Recorded { version: VersionTag, age: Duration },
    /// Two records contradict each other.
    Contradictory,
    /// Neither it nor the store has a record, and it knows other versions of the service.
    OtherVersions,
    /// It has no record, and the service has had one version only.
    NoRecord,
    /// It has no record, and could not read those in the store, or does not know all versions.
    NotLoaded,
}

impl OriginAnswer {
    fn from_record(known: KnownOrigin) -> Self {
        let KnownOrigin { version, age, .. } = known;
        version.map_or(Self::Contradictory, |version| Self::Recorded { version, age })
    }
}

/// The records of a stream's shard could not be read from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the records in the store could not be read")]
struct NotLoaded;

/// Where the version of a stream was learned, for the log and the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LearnedFrom {
    /// The record of this process, or its copy of another process's record.
    Record,
    /// The record of a peer.
    Peer(Incarnation),
    /// The record in the store.
    Store,
    /// The list of upstreams, which has named only one version.
    List,
}

impl LearnedFrom {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Record => "record",
            Self::Peer(_) => "peer",
            Self::Store => "store",
            Self::List => "list",
        }
    }
}

/// The version at which a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct FoundOrigin {
    pub(crate) version: VersionTag,
    pub(crate) from: LearnedFrom,
    /// The age of the record or of the list.
    pub(crate) age: Duration,
}

impl FoundOrigin {
    /// Returns what a record of this process says, unless it is contradictory.
    fn from_record(known: KnownOrigin) -> Option<Self> {
        let KnownOrigin { version, source, age } = known;
        let from = match source {
            OriginSource::Own => LearnedFrom::Record,
            OriginSource::Peer(peer) => LearnedFrom::Peer(peer),
            OriginSource::Store => LearnedFrom::Store,
        };
        version.map(|version| Self { version, from, age })
    }
}

/// The answers of the keepers that were asked.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct KeeperAnswers {
    pub(crate) asked: usize,
    pub(crate) answered: usize,
    recorded: Option<FoundOrigin>,
    is_contradictory: bool,
    knows_others: bool,
    /// Whether a keeper has all records of the store.
    is_loaded: bool,
}

impl KeeperAnswers {
    fn add(&mut self, keeper: Incarnation, answer: OriginAnswer) {
        self.answered += 1;
        match answer {
            OriginAnswer::Recorded { version, age } => {
                let known = *self.recorded.get_or_insert(FoundOrigin {
                    version,
                    from: LearnedFrom::Peer(keeper),
                    age,
                });
                self.is_contradictory |= known.version != version;
            }
            OriginAnswer::Contradictory => self.is_contradictory = true,
            OriginAnswer::OtherVersions => {
                self.knows_others = true;
                self.is_loaded = true;
            }
            OriginAnswer::NoRecord => self.is_loaded = true,
            // It knows no more than a process that does not answer.
            OriginAnswer::NotLoaded => self.answered -= 1,
        }
    }
}

impl Exchange {
    /// Finds the version at which the stream began that the request resumes, if it resumes one, and
    /// binds the request to it.
    ///
    /// # Errors
    ///
    /// Returns the cause of the refusal if the version is not known, or has no upstream left.
    pub(super) async fn find_stream_version(&mut self) -> Result<(), Cause> {
        let is_resume = self.headers.resumes.is_some() || self.headers.last_event.is_some();
        if !is_resume || !self.route.repeat.is_stream() {
            return Ok(());
        }
        let key = self.headers.resumes.as_ref().map(|first| self.stream_key(first));
        let own = key.and_then(|key| self.driver.node.stream_origin(self.now(), key));
        let (found, answers) = match own {
            Some(known) => (FoundOrigin::from_record(known), KeeperAnswers::default()),
            None => self.find_origin(key).await,
        };
        let (id, resumes) = (&self.original.id, self.headers.resumes.as_deref());
        let result = found.ok_or(Cause::StreamUnknown).and_then(|found| {
            self.choose_service_of(found.version).map(|service| (found.version, service))
        });
        let cause = result.as_ref().err().copied();
        request_log::origin(id, resumes, found.as_ref(), &answers, cause);
        self.driver.gateway_counts().count_resumed(found.map(|found| found.from), cause);
        let (version, service) = result?;
        self.use_service(service)?;
        self.stream_version = StreamVersion::Begun(version);
        if let (Some(key), Some(LearnedFrom::Peer(_))) = (key, found.map(|found| found.from)) {
            // The next try of the caller may come here, too.
            self.record_origin(key, version, false);
        }
        Ok(())
    }

    /// Binds the stream to the version of the upstream that sends the first event, and records it.
    ///
    /// # Errors
    ///
    /// Fails if another version began the stream.
    pub(super) fn bind_stream(&mut self, version: Option<VersionTag>) -> Result<(), OtherVersion> {
        match (self.stream_version, version) {
            (StreamVersion::NotBegun, Some(version)) => {
                self.stream_version = StreamVersion::Begun(version);
                if self.route.repeat.is_idempotent() {
                    let key = self.stream_key(&self.original.id);
                    self.record_origin(key, version, self.needs_copies(version));
                }
            }
            (StreamVersion::NotBegun, None) => self.stream_version = StreamVersion::Unknown,
            (StreamVersion::Begun(begun), _) if version != Some(begun) => return Err(OtherVersion),
            (StreamVersion::Begun(_) | StreamVersion::Unknown, _) => {}
        }
        Ok(())
    }

    fn stream_key(&self, request: &str) -> StreamKey {
        StreamKey::new(self.caller.as_ref().map(|caller| &caller.account), request)
    }

    /// Returns whether the record of a stream that begins now needs copies. A route with several
    /// services needs them always, since the list does not tell which one began a stream.
    fn needs_copies(&self, version: VersionTag) -> bool {
        let (now, lifetime) = (self.now(), self.gateway.stream_lifetime());
        let upstreams = self.gateway.upstreams();
        self.route.split.len() > 1
            || upstreams.needs_stream_copies(now, &self.service, version, lifetime)
    }

    fn record_origin(&self, key: StreamKey, version: VersionTag, copied: bool) {
        let origin = StreamOrigin::new(key, version, self.route.timeout);
        self.driver.handle_event(Event::StreamBegun { origin, copied });
    }

    /// Finds the version at which a stream began that this process has no record of. While neither
    /// the keepers nor this process can read the records in the store, that is tried again.
    async fn find_origin(&self, key: Option<StreamKey>) -> (Option<FoundOrigin>, KeeperAnswers) {
        let started = self.now();
        let remaining = self.deadline().since(started);
        let until = started.after(MAX_SEARCH_TIME.min(remaining / SEARCH_TIME_DIVISOR));
        loop {
            let (found, answers) = self.ask_keepers(key).await;
            let is_final = found.is_some() || answers.is_loaded || answers.is_contradictory;
            if key.is_none() || is_final || self.now() >= until {
                return (found, answers);
            }
            self.driver.clock.sleep(SEARCH_INTERVAL).await;
        }
    }

    /// Asks keepers for a record. If none has one, the version follows from the list if that has
    /// named only one, here and at each keeper that answers.
    async fn ask_keepers(&self, key: Option<StreamKey>) -> (Option<FoundOrigin>, KeeperAnswers) {
        let now = self.now();
        let only = self.only_version(now);
        if key.is_none() && only.is_none() {
            return (self.read_recorded_version().await, KeeperAnswers::default());
        }
        let key = key.unwrap_or_else(|| self.stream_key(&self.original.id));
        let only_version = |found: FoundOrigin| OnlyVersion {
            service: self.service.clone(),
            version: found.version,
            lifetime: self.gateway.stream_lifetime(),
        };
        let query = OriginQuery { key, only: only.map(only_version) };
        let keepers = self.driver.node.stream_keepers(now, key);
        let mut answers = ask(&self.driver, &keepers, &query).await;
        if answers.is_contradictory {
            return (None, answers);
        }
        if answers.recorded.is_none() && !answers.is_loaded && only.is_none() {
            let loaded = load_origin(&self.driver, key).await;
            answers.is_loaded = loaded.is_ok();
            answers.recorded = loaded.ok().flatten().and_then(FoundOrigin::from_record);
        }
        if answers.recorded.is_none() && answers.is_loaded && only.is_none() {
            answers.recorded = self.read_recorded_version().await;
        }
        // Without an answer this VM may be behind a cut, and its list may lack a version.
        let is_connected = keepers.is_empty() || answers.answered > 0;
        let only = only.filter(|_| is_connected && !answers.knows_others);
        (answers.recorded.or(only), answers)
    }

    /// Returns the version at which the stream began because the record in the store names no other
    /// one, though the list does: versions are recorded before streams begin at them.
    async fn read_recorded_version(&self) -> Option<FoundOrigin> {
        let is_likely = self.route.split.len() == 1
            && self.gateway.upstreams().recorded_version(&self.service).is_some();
        if !is_likely {
            return None;
        }
        let _permit = self.gateway.record_reads.try_acquire().ok()?;
        let reading = self.driver.read_only_version(&self.service);
        let version = tokio::time::timeout(LOAD_TIMEOUT, reading).await.ok()??;
        Some(FoundOrigin { version, from: LearnedFrom::Store, age: Duration::ZERO })
    }

    /// Returns the only version of the route's service, if the list has named only one.
    fn only_version(&self, now: Time) -> Option<FoundOrigin> {
        if self.route.split.len() > 1 {
            return None;
        }
        let lifetime = self.gateway.stream_lifetime();
        let upstreams = self.gateway.upstreams();
        let version = upstreams.only_version(now, &self.service, lifetime)?;
        let age = upstreams.last_update().1.map_or(Duration::ZERO, |at| now.since(at));
        Some(FoundOrigin { version, from: LearnedFrom::List, age })
    }

    /// Returns the service of the route that has upstreams of a version.
    fn choose_service_of(&self, version: VersionTag) -> Result<Service, Cause> {
        let upstreams = self.gateway.upstreams();
        let mut services = self.route.split.iter().map(|split| &split.service);
        let service = services.find(|service| upstreams.has_version(service, version));
        service.cloned().ok_or(Cause::VersionGone)
    }

    /// Sends the request to another service of its route.
    fn use_service(&mut self, service: Service) -> Result<(), Cause> {
        if service == self.service {
            return Ok(());
        }
        let routes = self.gateway.routes();
        self.spec = routes.table.service(&service).cloned().ok_or(Cause::NoUpstream)?;
        self.service = service;
        Ok(())
    }
}

/// Asks keepers at the same time, and waits for their answers. Once one names a version, the others
/// have little time left.
async fn ask(driver: &Driver, keepers: &[Member], query: &OriginQuery) -> KeeperAnswers {
    let calls = keepers.iter().map(|keeper| async move {
        match ask_keeper(driver, keeper, query).await {
            Ok(answer) => Some((keeper.incarnation, answer)),
            Err(error) => {
                log::debug!(target: REQUESTS, "keeper {} not asked: {error}", keeper.incarnation);
                None
            }
        }
    });
    let mut calls: FuturesUnordered<_> = calls.collect();
    let mut answers = KeeperAnswers { asked: keepers.len(), ..KeeperAnswers::default() };
    let mut until = driver.now().after(ANSWER_TIMEOUT);
    while let Ok(Some(answer)) = driver.clock.timeout_at(until, calls.next()).await {
        let Some((keeper, answer)) = answer else {
            continue;
        };
        answers.add(keeper, answer);
        if answers.recorded.is_some() {
            until = until.min(driver.now().after(FURTHER_ANSWERS_TIME));
        }
    }
    answers
}

async fn ask_keeper(
    driver: &Driver,
    keeper: &Member,
    query: &OriginQuery,
) -> Result<OriginAnswer, CallError> {
    let mut stream = driver.peers().call(keeper.incarnation, keeper.peer).await?;
    write_frame(&mut stream.send, &PeerCall::StreamOrigin(query.clone())).await?;
    read_frame(&mut stream.receive, MAX_ANSWER_BYTES).await
}

/// Answers the query of a process that is to resume a stream.
pub(crate) async fn answer_query(
    driver: &Arc<Driver>,
    gateway: &Gateway,
    query: OriginQuery,
    stream: CallStream,
) -> Result<(), CallError> {
    let answer = find_answer(driver, gateway, query).await;
    stream.answer(&answer).await
}

async fn find_answer(driver: &Arc<Driver>, gateway: &Gateway, query: OriginQuery) -> OriginAnswer {
    let now = driver.now();
    let OriginQuery { key, only } = query;
    if let Some(known) = driver.node.stream_origin(now, key) {
        return OriginAnswer::from_record(known);
    }
    if let Some(OnlyVersion { service, version, lifetime }) = only {
        let upstreams = gateway.upstreams();
        if upstreams.only_version(now, &service, lifetime) == Some(version) {
            return OriginAnswer::NoRecord;
        }
        let knows_other = upstreams.knows_other_version(now, &service, version, lifetime);
        drop(upstreams);
        if !knows_other {
            return OriginAnswer::NotLoaded;
        }
    }
    match load_origin(driver, key).await {
        Ok(Some(known)) => OriginAnswer::from_record(known),
        Ok(None) => OriginAnswer::OtherVersions,
        Err(NotLoaded) => OriginAnswer::NotLoaded,
    }
}

/// Returns the record of a stream, which is read from the store if this process has none.
///
/// # Errors
///
/// Fails if the store cannot be read in time.
async fn load_origin(
    driver: &Arc<Driver>,
    key: StreamKey,
) -> Result<Option<KnownOrigin>, NotLoaded> {
    let loading = driver.load_segments(StreamShard::of(key));
    let is_loaded = tokio::time::timeout(LOAD_TIMEOUT, loading).await.unwrap_or(false);
    let known = driver.node.stream_origin(driver.now(), key);
    if known.is_some() || is_loaded { Ok(known) } else { Err(NotLoaded) }
}
