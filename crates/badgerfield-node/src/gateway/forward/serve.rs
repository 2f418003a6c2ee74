//! Answers the calls of peers that are cut off from upstreams or have no places there: sends their
//! requests, and tells which upstreams this VM reaches.

use std::sync::Arc;
use std::time::Duration;

use badgerfield_core::ids::UpstreamId;
use bytes::Bytes;
use hyper::{Method, Request, Uri};
use thiserror::Error;

use super::peer_request::PeerRequest;
use super::{ForwardReply, ForwardedRequest, MAX_CALL_BYTES, NotSentReason, PeerCall, Reached};
use crate::driver::Driver;
use crate::gateway::attempt::Original;
use crate::gateway::state::Gateway;
use crate::gateway::stream_origin;
use crate::logs::PEERS;
use crate::peers::calls::{CallError, CallStream, read_frame};
use crate::versions;

/// The maximum number of upstreams that are probed for a peer at once.
const MAX_PROBED_UPSTREAMS: usize = 4;

/// Handles a call from a peer.
pub(crate) async fn handle_call(
    driver: Arc<Driver>,
    gateway: Arc<Gateway>,
    mut stream: CallStream,
) {
    let result = match read_frame::<PeerCall>(&mut stream.receive, MAX_CALL_BYTES).await {
        Ok(PeerCall::Reach(upstreams)) => answer_reach(&driver, &gateway, upstreams, stream).await,
        Ok(PeerCall::Forward(request)) => {
            send_for_peer(driver, gateway, (*request, Duration::ZERO), stream).await
        }
        Ok(PeerCall::ForwardToPlace(request, wait)) => {
            send_for_peer(driver, gateway, (*request, wait), stream).await
        }
        Ok(PeerCall::StreamOrigin(query)) => {
            stream_origin::answer_query(&driver, &gateway, query, stream).await
        }
        Ok(PeerCall::Versions) => versions::answer(&driver, &gateway, stream).await,
        Err(error) => Err(error),
    };
    if let Err(error) = result {
        log::debug!(target: PEERS, "call from a peer failed: {error}");
    }
}

/// Tells a peer which upstreams this VM reaches. While it is cut off itself, it reaches none.
async fn answer_reach(
    driver: &Arc<Driver>,
    gateway: &Gateway,
    mut upstreams: Vec<UpstreamId>,
    stream: CallStream,
) -> Result<(), CallError> {
    upstreams.truncate(MAX_PROBED_UPSTREAMS);
    let is_cut_off = gateway.reachability().is_cut_off();
    let reached = if is_cut_off { Vec::new() } else { gateway.reached_upstreams(upstreams).await };
    if !reached.is_empty() {
        gateway.reachability().record_connect(driver.now(), true);
    }
    stream.answer(&Reached { upstreams: reached }).await
}

/// Why a forwarded request cannot be used.
#[derive(Debug, Error)]
#[error("the head of a forwarded request cannot be parsed")]
struct InvalidRequest;

/// Sends a request of a peer to an upstream, and passes the response back. At a brittle service it
/// may wait for so long for a place.
async fn send_for_peer(
    driver: Arc<Driver>,
    gateway: Arc<Gateway>,
    (request, wait): (ForwardedRequest, Duration),
    stream: CallStream,
) -> Result<(), CallError> {
    let permit = gateway.forward_permits.try_acquire().map_err(|_| NotSentReason::Busy);
    let accepted = permit.and_then(|permit| {
        let peer_request = accept(&driver, &gateway, request)?;
        Ok((permit, peer_request))
    });
    match accepted {
        Ok((_permit, peer_request)) => {
            // A process that stops finishes the requests of peers too.
            let _open_request = gateway.track_request();
            peer_request.run(stream, wait).await
        }
        Err(reason) => {
            driver.gateway_counts().count_forwarded("in", reason.as_str());
            stream.answer(&ForwardReply::NotSent { upstream: None, reason }).await
        }
    }
}

/// Accepts a request of a peer, or returns why it is not sent.
fn accept(
    driver: &Arc<Driver>,
    gateway: &Arc<Gateway>,
    mut request: ForwardedRequest,
) -> Result<PeerRequest, NotSentReason> {
    if gateway.reachability().is_cut_off() {
        return Err(NotSentReason::CutOff);
    }
    if gateway.is_stopping() {
        return Err(NotSentReason::Stopping);
    }
    let original = parse_request(&mut request).map_err(|_| NotSentReason::Invalid)?;
    Ok(PeerRequest::new(driver, gateway, request, original))
}

fn parse_request(request: &mut ForwardedRequest) -> Result<Original, InvalidRequest> {
    let method: Method = request.method.parse().map_err(|_| InvalidRequest)?;
    let uri: Uri = request.uri.parse().map_err(|_| InvalidRequest)?;
    let mut parsed = Request::new(());
    *parsed.method_mut() = method;
    *parsed.uri_mut() = uri;
    *parsed.headers_mut() = super::parse_headers(&request.headers);
    let (head, ()) = parsed.into_parts();
    let body = Bytes::from(std::mem::take(&mut request.body));
    Ok(Original { id: request.id.clone(), head, body })
}
