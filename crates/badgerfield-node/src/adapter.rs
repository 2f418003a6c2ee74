//! The interface between the product and its platform.
//!
//! An adapter translates the names and formats of one platform. Decisions, state and recovery are
//! not part of it.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use badgerfield_core::brittle::RejectionTolerance;
use badgerfield_core::event::{OperatorChanges, StoreCall, StoreResult, Versioned};
use badgerfield_core::ids::{Account, Domain, Region, UpstreamId};
use badgerfield_core::rate_limit::RateLimit;
use badgerfield_core::stream_segments::{SegmentId, StreamShard};
use badgerfield_core::upstream_list::{PlatformChanges, PlatformList};
use badgerfield_core::upstream_table::PromptPart;
use bytes::Bytes;
use futures::future::BoxFuture;
use hyper::{HeaderMap, StatusCode, Uri};
use thiserror::Error;
use tokio::net::TcpStream;

/// The adapter of one platform.
#[derive(Debug, Clone)]
pub struct PlatformAdapter {
    /// The store of the platform.
    pub store: Arc<dyn KeyValueStore>,
    /// The adapter for requests on routes; `None` if the process does not serve them.
    pub route_adapter: Option<RouteAdapter>,
}

/// The parts of an adapter that requests on routes use.
#[derive(Debug, Clone)]
pub struct RouteAdapter {
    /// The list of upstreams of the platform.
    pub discovery: Arc<dyn Discovery>,
    /// The formats of requests, of calls to upstreams and of the directory.
    pub protocol: Arc<dyn Protocol>,
    /// Opens connections to upstreams.
    pub dialer: Arc<dyn Dialer>,
}

/// Opens connections to upstreams.
pub trait Dialer: Debug + Send + Sync {
    /// Opens a TCP connection.
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, std::io::Result<TcpStream>>;
}

/// Opens connections with the sockets of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemDialer;

impl Dialer for SystemDialer {
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, std::io::Result<TcpStream>> {
        Box::pin(TcpStream::connect(address))
    }
}

/// The result of waiting for a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchResult<T> {
    /// A change. Its revision is where the next wait continues.
    Changed(T),
    /// Nothing has changed up to this revision of the store.
    Unchanged(u64),
    /// The wait failed. A later one may continue from the same revision.
    Failed,
    /// Changes may have been missed. The watched values must be read again.
    Lost,
}

impl<T> WatchResult<T> {
    /// Translates a change.
    pub fn map<U>(self, translate: impl FnOnce(T) -> U) -> WatchResult<U> {
        match self {
            Self::Changed(change) => WatchResult::Changed(translate(change)),
            Self::Unchanged(revision) => WatchResult::Unchanged(revision),
            Self::Failed => WatchResult::Failed,
            Self::Lost => WatchResult::Lost,
        }
    }
}

/// The announcements of processes that are joining, up to a revision of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Announcements {
    /// The revision.
    pub revision: u64,
    /// The announcements, with the revisions at which they were written.
    pub items: Vec<Versioned>,
}

/// A key-value store with compare-and-swap.
pub trait KeyValueStore: Debug + Send + Sync {
    /// Executes a call.
    fn call<'a>(&'a self, call: &'a StoreCall) -> BoxFuture<'a, StoreResult>;

    /// Waits for changes by operators after a revision of the store.
    ///
    /// Never returns if the store does not support watches.
    fn watch_operator_changes(&self, after: u64) -> BoxFuture<'_, WatchResult<OperatorChanges>>;

    /// Reads the announcements of processes that are joining; returns `None` if the call fails.
    fn list_joiners(&self) -> BoxFuture<'_, Option<Announcements>>;

    /// Reads the segments of a shard of streams' records; returns `None` if the call fails.
    fn list_segments(&self, shard: StreamShard) -> BoxFuture<'_, Option<Vec<(SegmentId, Bytes)>>>;

    /// Waits for announcements of joining processes after a revision of the store.
    fn watch_joiners(&self, after: u64) -> BoxFuture<'_, WatchResult<Announcements>>;
}

/// The reason why the list of upstreams could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DiscoveryError {
    /// The platform did not respond in time.
    #[error("the platform did not respond")]
    NoAnswer,
    /// The platform rejected the call.
    #[error("the platform rejected the call with status {0}")]
    Refused(u16),
    /// The response cannot be parsed.
    #[error("expected a list of upstreams, found {0}")]
    Unreadable(String),
}

/// The list of upstreams of a platform.
pub trait Discovery: Debug + Send + Sync {
    /// Reads the whole list.
    fn list(&self) -> BoxFuture<'_, Result<PlatformList, DiscoveryError>>;

    /// Waits for changes of the list after a revision.
    fn watch(&self, after: u64) -> BoxFuture<'_, WatchResult<PlatformChanges>>;
}

/// The headers of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHeaders {
    /// The id that the caller gave the request.
    pub id: String,
    /// The maximum time that the caller waits for the response.
    pub max_wait: Option<Duration>,
    /// The API key of the caller.
    pub key: Option<String>,
    /// The number of prompt tokens, and the maximum number of output tokens.
    pub tokens: Option<(u64, u64)>,
    /// The parts of the prompt.
    pub parts: Vec<PromptPart>,
    /// The last event that the caller received of a stream that it resumes.
    pub last_event: Option<u64>,
    /// The request that brought the first event of that stream, by the id that the caller gave it.
    pub resumes: Option<String>,
}

/// The reason why the headers of a request cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HeaderError {
    /// A required header is missing.
    #[error("expected the header {0}")]
    Missing(&'static str),
    /// A header is present more than once.
    #[error("expected the header {0} once")]
    Duplicate(&'static str),
    /// A header has an invalid format.
    #[error("expected {expected} in the header {name}")]
    Malformed {
        /// The name of the header.
        name: &'static str,
        /// The expected format.
        expected: &'static str,
    },
}

/// The headers that a call to an upstream has in addition to the caller's own.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamHeaders<'a> {
    /// The upstream that the call is for.
    pub upstream: &'a UpstreamId,
    /// The time left until the deadline.
    pub remaining: Duration,
    /// The client account that the request belongs to.
    pub account: Option<&'a Account>,
    /// The rank of the request; 0 is the highest.
    pub rank: u8,
    /// The last event that arrived of a stream that is resumed at this upstream.
    pub last_event: Option<u64>,
    /// An upstream that has the shared parts of the prompt in its KV cache.
    pub fetch_from: Option<SocketAddr>,
}

/// The meaning of the head of an upstream's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// The response to this request.
    Answer,
    /// The upstream did not run the request, and never will.
    NotRun,
    /// The response to another request, or an invalid response.
    Foreign,
}

/// The announcements of an upstream in the head of its response.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UpstreamAnnouncement {
    /// The rate limit of the upstream for all VMs together.
    pub limit: ParsedHeader<RateLimit>,
    /// Whether the upstream is about to leave.
    pub leaving: bool,
    /// How long the upstream asks this VM to back off, if it rejects the request.
    pub back_off: ParsedHeader<Duration>,
    /// How many rejections in a second the upstreams of the service survive, if they are brittle.
    pub brittle: ParsedHeader<RejectionTolerance>,
}

impl UpstreamAnnouncement {
    /// Returns whether any of the headers cannot be parsed.
    pub fn has_invalid_header(&self) -> bool {
        self.limit == ParsedHeader::Invalid
            || self.back_off == ParsedHeader::Invalid
            || self.brittle == ParsedHeader::Invalid
    }
}

/// The parsed value of an optional header.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ParsedHeader<T> {
    /// The header is absent.
    #[default]
    Absent,
    /// The header has this value.
    Value(T),
    /// The header cannot be parsed.
    Invalid,
}

impl<T> ParsedHeader<T> {
    /// Returns the value, if the header is present and valid.
    pub fn value(self) -> Option<T> {
        match self {
            Self::Value(value) => Some(value),
            Self::Absent | Self::Invalid => None,
        }
    }
}

/// A request to the directory for the VMs to use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryRequest {
    /// The failure domain that the caller is in or near.
    pub domain: Option<Domain>,
    /// The region that the caller is in.
    pub region: Option<Region>,
}

/// The formats that a platform uses for requests on routes.
pub trait Protocol: Debug + Send + Sync {
    /// Parses the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails if a header is missing, duplicated or invalid.
    fn parse_request_headers(&self, head: &HeaderMap) -> Result<RequestHeaders, HeaderError>;

    /// Converts the headers of a caller's request to those of a call to an upstream.
    fn write_headers(&self, head: &mut HeaderMap, headers: &UpstreamHeaders<'_>);

    /// Classifies the response to the request `id` by its head. `expected` is the upstream that the
    /// request was sent to.
    fn classify_response(
        &self,
        id: &str,
        expected: &UpstreamId,
        status: StatusCode,
        head: &HeaderMap,
    ) -> ResponseKind;

    /// Parses the announcements in the head of a response. `expected` is the upstream that the
    /// request was sent to; returns `None` if the response comes from another one.
    fn parse_announcement(
        &self,
        expected: &UpstreamId,
        status: StatusCode,
        head: &HeaderMap,
    ) -> Option<UpstreamAnnouncement>;

    /// Parses the id that an upstream names in the head of its answer to a health check.
    fn parse_instance<'a>(&self, head: &'a HeaderMap) -> Option<&'a str>;

    /// Parses a request to the directory. Returns `None` if the address is not one of the
    /// directory.
    fn parse_directory_request(&self, uri: &Uri) -> Option<DirectoryRequest>;

    /// Formats the response of the directory as JSON. Callers may cache it for `ttl`.
    fn format_directory_response(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;
}
