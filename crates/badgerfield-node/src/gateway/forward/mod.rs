//! Requests that go through a peer, because this VM is cut off from upstreams, or has no place at
//! those of a brittle service ([`badgerfield_core::brittle`]).
//!
//! Each attempt is one call to a peer. The peer chooses the upstream by its own table, sends the
//! request and passes the response back as it arrives. It does not send it through another peer.
//! Admission, reservation, retries, settlement and the caller's response stay with the VM that the
//! caller sent the request to ([`origin`]). What an upstream announces applies at the peer, which is
//! the one that sends to it ([`serve`], [`peer_request`]).
//!
//! [`peers`] keeps the peers that reach upstreams, [`place_holders`] those that have places.

pub(super) mod origin;
mod peer_request;
mod peers;
mod place_holders;
pub(crate) mod serve;

use std::net::SocketAddr;
use std::time::Duration;

use badgerfield_core::ids::{Account, Service, SoftwareVersion, UpstreamId, VersionTag};
use badgerfield_core::poison::Fingerprint;
use badgerfield_core::residency::Residency;
use badgerfield_core::routing::{Route, ServiceSpec};
use badgerfield_core::upstream_table::PromptPart;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};

pub(crate) use self::peers::{ForwardPeers, TriedPeers};
pub(crate) use self::place_holders::PlaceHolders;
use crate::gateway::stream_origin::OriginQuery;

/// The maximum size of a call, with the body of a request.
const MAX_CALL_BYTES: usize = 16 << 20;
/// The maximum size of the head of a response.
const MAX_REPLY_BYTES: usize = 256 << 10;
/// The error code with which a stream is reset if the upstream broke off its response.
const BROKEN_CODE: u32 = 1;
/// The error code with which a stream is reset if the upstream crashed.
const CRASHED_CODE: u32 = 2;

/// A call to a peer.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum PeerCall {
    /// Asks which of these upstreams the peer reaches; answered with [`Reached`].
    Reach(Vec<UpstreamId>),
    /// Sends a request to an upstream; answered with a [`ForwardReply`] and the body of the
    /// response.
    Forward(Box<ForwardedRequest>),
    /// Asks at which version a stream began; answered with an [`OriginAnswer`].
    ///
    /// [`OriginAnswer`]: crate::gateway::stream_origin::OriginAnswer
    StreamOrigin(OriginQuery),
    /// Asks for the versions at which streams can have begun; answered with a [`VersionAnswer`].
    ///
    /// [`VersionAnswer`]: crate::versions::VersionAnswer
    Versions,
    /// Like `Forward`, but the peer may wait for so long for a place at an upstream of a brittle
    /// service.
    ForwardToPlace(Box<ForwardedRequest>, Duration),
}

/// The upstreams that a peer reaches, of those that it was asked for.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Reached {
    pub(crate) upstreams: Vec<UpstreamId>,
}

/// One attempt at a request.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ForwardedRequest {
    id: String,
    attempt: u32,
    method: String,
    uri: String,
    headers: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
    route: Route,
    service: Service,
    spec: ServiceSpec,
    account: Option<Account>,
    rank: u8,
    parts: Vec<PromptPart>,
    /// The maximum number of output tokens, if the request is for an engine.
    output_tokens: Option<u64>,
    /// The time left until the deadline.
    remaining: Duration,
    /// The last event that arrived of a stream that is resumed.
    last_event: Option<u64>,
    /// The version that began the stream, if it is resumed.
    bound_version: Option<VersionTag>,
    tried: Vec<UpstreamId>,
    /// The regions in which the request may be served, as far as the sender knows.
    residency: Residency,
    rendezvous_key: Option<u64>,
    fingerprint: Fingerprint,
}

/// The result of an attempt through a peer, up to the head of the response.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum ForwardReply {
    /// Nothing was sent.
    NotSent { upstream: Option<UpstreamId>, reason: NotSentReason },
    /// The upstream did not run the request.
    NotRun { upstream: UpstreamId, status: u16 },
    /// The request may have run, but no response arrived.
    Broken { upstream: UpstreamId, reason: BrokenReason, crashed: bool },
    /// The head of a response arrived; its body follows on the stream.
    Answered {
        upstream: UpstreamId,
        address: SocketAddr,
        version: Option<SoftwareVersion>,
        status: u16,
        headers: Vec<(String, Vec<u8>)>,
    },
}

/// Why a peer has sent nothing to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum NotSentReason {
    /// It sends as many requests for others as it may.
    Busy,
    /// It is cut off itself.
    CutOff,
    /// It is stopping.
    Stopping,
    /// No upstream may get the request.
    NoUpstream,
    /// The upstream that it chose is out of reach.
    Unreachable,
    /// The upstream that it chose accepts no more requests at present.
    NotAdmitted,
    /// The request cannot be read.
    Invalid,
}

impl NotSentReason {
    fn as_str(self) -> &'static str {
        match self {
            Self::Busy => "peer_busy",
            Self::CutOff => "peer_cut_off",
            Self::Stopping => "peer_stopping",
            Self::NoUpstream => "peer_without_upstream",
            Self::Unreachable => "unreachable",
            Self::NotAdmitted => "not_admitted",
            Self::Invalid => "peer_cannot_read",
        }
    }

    /// Returns whether the peer would send no other request either.
    fn is_peer_fault(self) -> bool {
        match self {
            Self::Busy | Self::CutOff | Self::Stopping | Self::Invalid => true,
            Self::NoUpstream | Self::Unreachable | Self::NotAdmitted => false,
        }
    }
}

/// Why no response arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum BrokenReason {
    /// The connection failed.
    Broken,
    /// The response belongs to another request.
    Foreign,
    /// Nothing arrived until the deadline.
    Silent,
}

/// Returns headers in the form in which they are sent to a peer.
fn format_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let fields = headers.iter();
    fields.map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec())).collect()
}

/// Returns the headers of a head, without those that cannot be parsed.
fn parse_headers(headers: &[(String, Vec<u8>)]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        let name = HeaderName::try_from(name.as_str());
        let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) else {
            continue;
        };
        map.append(name, value);
    }
    map
}
