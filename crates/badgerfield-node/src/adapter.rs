//! The border to the surroundings: what an adapter translates, and nothing more.
//!
//! An adapter knows the names and forms that its platform uses. Decisions, state and
//! recovery stay on this side of the border.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use badgerfield_core::event::{OperatorChanges, StoreCall, StoreResult};
use badgerfield_core::ids::{Account, Domain, Region, UpstreamId};
use badgerfield_core::rate_limit::RateLimit;
use badgerfield_core::upstream_list::{UpstreamList, UpstreamListChanges};
use badgerfield_core::upstream_table::PromptPart;
use bytes::Bytes;
use futures::future::BoxFuture;
use hyper::{HeaderMap, StatusCode, Uri};
use thiserror::Error;

/// Everything that one platform needs translated.
#[derive(Debug, Clone)]
pub struct PlatformAdapter {
    /// The platform's key-value service.
    pub store: Arc<dyn KeyValueStore>,
    /// The platform's list of upstreams, and the forms of requests on routes; nothing
    /// where the process takes no requests on routes.
    pub route_adapter: Option<RouteAdapter>,
}

/// What requests on routes need translated.
#[derive(Debug, Clone)]
pub struct RouteAdapter {
    /// The platform's list of upstreams.
    pub discovery: Arc<dyn Discovery>,
    /// The forms of requests, of calls to upstreams and of the directory.
    pub dialect: Arc<dyn Protocol>,
}

/// What came of waiting for a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchResult<T> {
    /// There is a change; its revision is where the next wait goes on.
    Changed(T),
    /// Nothing changed up to this revision of the service.
    Quiet(u64),
    /// The wait failed, or changes may have been missed: what is watched is to be read.
    Lost,
}

/// A key-value service with compare-and-swap.
pub trait KeyValueStore: Debug + Send + Sync {
    /// Carries out a call.
    fn call<'a>(&'a self, call: &'a StoreCall) -> BoxFuture<'a, StoreResult>;

    /// Waits for changes that operators make, after a revision of the service.
    ///
    /// A service without watches never answers.
    fn watch_operator_changes(&self, after: u64) -> BoxFuture<'_, WatchResult<OperatorChanges>>;
}

/// Why the list of upstreams could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DiscoveryError {
    /// The platform did not answer, or not in time.
    #[error("the platform does not answer")]
    NoAnswer,
    /// The platform turned the call away.
    #[error("the platform turned the call away with status {0}")]
    Refused(u16),
    /// The answer cannot be read.
    #[error("expected a list of upstreams, found {0}")]
    Unreadable(String),
}

/// The platform's list of upstreams.
pub trait Discovery: Debug + Send + Sync {
    /// Reads the whole list.
    fn list(&self) -> BoxFuture<'_, Result<UpstreamList, DiscoveryError>>;

    /// Waits for changes of the list after a revision.
    fn watch(&self, after: u64) -> BoxFuture<'_, WatchResult<UpstreamListChanges>>;
}

/// What a caller's head says about its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHeaders {
    /// The caller's name for this request.
    pub id: String,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// The tokens of the prompt, and the most tokens of the answer.
    pub tokens: Option<(u64, u64)>,
    /// The parts of the prompt.
    pub parts: Vec<PromptPart>,
    /// The last event that the caller has, of a stream that it takes up again.
    pub last_event: Option<u64>,
}

/// Why a caller's head cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HeaderError {
    /// A header must be there.
    #[error("expected the header {0}")]
    Missing(&'static str),
    /// A header is there more than once.
    #[error("expected the header {0} once")]
    Twice(&'static str),
    /// A header has another form.
    #[error("expected {expected} in the header {name}")]
    Malformed {
        /// The header.
        name: &'static str,
        /// What it should hold.
        expected: &'static str,
    },
}

/// What one call to an upstream says beside the caller's own head.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamHeaders<'a> {
    /// The upstream that is meant.
    pub upstream: &'a UpstreamId,
    /// How much time is left.
    pub remaining: Duration,
    /// The client account that the request belongs to.
    pub account: Option<&'a Account>,
    /// The rank of the request; 0 goes first.
    pub rank: u8,
    /// The last event that arrived, of a stream that goes on elsewhere.
    pub last_event: Option<u64>,
    /// An upstream that has the shared parts of the prompt in its memory.
    pub fetch_from: Option<SocketAddr>,
}

/// What the head of an upstream's answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// It is the answer to this request.
    Answer,
    /// The upstream did not run the request, and never will.
    NotRun,
    /// It is the answer to another request, or no proper answer.
    Foreign,
}

/// What the head of an upstream's answer says of the upstream itself.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UpstreamAnnouncement {
    /// How many requests a second it takes from all VMs together.
    pub limit: ParsedHeader<RateLimit>,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// For how long it wants nothing more from this VM, if it turns the request away.
    pub back_off: ParsedHeader<Duration>,
}

impl UpstreamAnnouncement {
    /// Tells whether it holds anything that cannot be read.
    pub fn is_unreadable(&self) -> bool {
        self.limit == ParsedHeader::Invalid || self.back_off == ParsedHeader::Invalid
    }
}

/// A value that an upstream may state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ParsedHeader<T> {
    /// It states none.
    #[default]
    Absent,
    /// It states this one.
    Value(T),
    /// It states one that cannot be read.
    Invalid,
}

impl<T> ParsedHeader<T> {
    /// Returns the value, if there is one that can be read.
    pub fn value(self) -> Option<T> {
        match self {
            Self::Value(value) => Some(value),
            Self::Absent | Self::Invalid => None,
        }
    }
}

/// A caller's question which VMs to use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryRequest {
    /// The failure domain that the caller is in or near.
    pub domain: Option<Domain>,
    /// The region that the caller is in.
    pub region: Option<Region>,
}

/// The forms of requests on routes.
pub trait Protocol: Debug + Send + Sync {
    /// Reads what a caller's head says.
    ///
    /// # Errors
    ///
    /// Refuses what is missing, stands twice, or has another form.
    fn read(&self, head: &HeaderMap) -> Result<RequestHeaders, HeaderError>;

    /// Turns a caller's head into that of a call to an upstream.
    fn write_headers(&self, head: &mut HeaderMap, headers: &UpstreamHeaders<'_>);

    /// Tells what the head of an upstream's answer to a request means.
    fn verdict(&self, id: &str, status: StatusCode, head: &HeaderMap) -> ResponseKind;

    /// Reads what the head of an answer says of the upstream that was asked; nothing if another
    /// one has answered in its place.
    fn parse_announcement(
        &self,
        asked: &UpstreamId,
        status: StatusCode,
        head: &HeaderMap,
    ) -> Option<UpstreamAnnouncement>;

    /// Reads a question to the directory; nothing if it is none.
    fn parse_directory_request(&self, uri: &Uri) -> Option<DirectoryRequest>;

    /// Writes the answer of the directory as JSON.
    fn directory_answer(&self, addresses: &[SocketAddr], keep: Duration) -> Bytes;
}
