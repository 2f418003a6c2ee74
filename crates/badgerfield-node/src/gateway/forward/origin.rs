//! Sends an attempt through a peer, and receives its response.

use std::net::SocketAddr;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::{Incarnation, UpstreamId, VersionTag};
use badgerfield_core::refusal::Cause;
use badgerfield_core::residency::Residency;
use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::{Response, StatusCode};
use quinn::{ReadError, RecvStream};

use super::peers::{OpenCall, TriedPeers};
use super::place_holders::PlaceHolder;
use super::{
    BrokenReason, CRASHED_CODE, ForwardReply, ForwardedRequest, MAX_REPLY_BYTES, PeerCall,
};
use crate::gateway::attempt::{
    AttemptEnd, BLOCKED, BROKEN, BodyBroken, Framing, PeerVerdict, SILENT, UpstreamBody,
    UpstreamGuard, UpstreamResponse,
};
use crate::gateway::exchange::Exchange;
use crate::gateway::request_log;
use crate::logs::REQUESTS;
use crate::peers::calls::{CallError, CallStream, read_frame, write_frame};

/// The maximum size of a part of a body that is read at once.
const CHUNK_BYTES: usize = 16 << 10;

/// The result of an attempt through a peer.
#[derive(Debug)]
pub(in crate::gateway) struct PeerAttempt {
    /// The upstream that the peer chose, if it has.
    pub(in crate::gateway) upstream: Option<UpstreamId>,
    pub(in crate::gateway) end: AttemptEnd,
    /// Whether the peer has found that the upstream crashed.
    pub(in crate::gateway) crashed: bool,
    /// Whether the peer sent nothing for a reason that does not depend on the upstream.
    pub(in crate::gateway) is_peer_fault: bool,
}

impl Exchange {
    /// Sends the request through a peer, and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns the cause of the refusal if no peer reaches upstreams, or the request is blocked.
    pub(in crate::gateway) async fn attempt_through_peer(
        &self,
        now: Time,
        last_event: Option<u64>,
        tried_peers: &mut TriedPeers,
    ) -> Result<PeerAttempt, Cause> {
        let rendezvous_key = self.check_poison()?;
        let residency = self.current_residency();
        let peers = &self.gateway.forward_peers;
        let peer = peers.choose(tried_peers, &residency).ok_or(Cause::NoUpstream)?;
        let open_call = peer.start_call();
        let request = self.forwarded_request(now, last_event, rendezvous_key, residency);
        let call = PeerCall::Forward(Box::new(request));
        let attempt = self.call_peer(now, (peer.id, peer.address), call, Some(open_call)).await;
        if let AttemptEnd::NotSent(_) = attempt.end {
            tried_peers.record_not_sent(peer.id, attempt.is_peer_fault);
        }
        Ok(attempt)
    }

    /// Sends the request through a peer that has places at the upstreams of a brittle service. The
    /// peer may wait for one of them until a time.
    ///
    /// # Errors
    ///
    /// Returns the cause of the refusal if the request is blocked.
    pub(in crate::gateway) async fn attempt_through_holder(
        &self,
        now: Time,
        last_event: Option<u64>,
        holder: &PlaceHolder,
        until: Time,
    ) -> Result<PeerAttempt, Cause> {
        let rendezvous_key = self.check_poison()?;
        let residency = self.current_residency();
        let request = self.forwarded_request(now, last_event, rendezvous_key, residency);
        let call = PeerCall::ForwardToPlace(Box::new(request), until.since(now));
        Ok(self.call_peer(now, (holder.id, holder.address), call, None).await)
    }

    async fn call_peer(
        &self,
        now: Time,
        (peer, address): (Incarnation, SocketAddr),
        call: PeerCall,
        open_call: Option<OpenCall>,
    ) -> PeerAttempt {
        let attempt = self.attempts + 1;
        let exchange = async {
            let mut stream = self.driver.peers().call(peer, address).await?;
            write_frame(&mut stream.send, &call).await?;
            let reply = read_frame::<ForwardReply>(&mut stream.receive, MAX_REPLY_BYTES).await?;
            Ok::<_, CallError>((reply, stream))
        };
        let timed_out = self.wait_until_timeout(self.deadline.since(now));
        let (attempt_result, outcome) = tokio::select! {
            result = exchange => self.read_reply(result, open_call),
            () = timed_out => (failed(AttemptEnd::Broken(SILENT)), SILENT),
            () = self.until_blocked() => (failed(AttemptEnd::Broken(BLOCKED)), BLOCKED),
        };
        let upstream = attempt_result.upstream.as_ref();
        let took = self.now().since(now);
        request_log::forwarded(&self.original.id, attempt, peer, upstream, outcome, took);
        self.driver.gateway_counts().count_forwarded("out", outcome);
        attempt_result
    }

    fn forwarded_request(
        &self,
        now: Time,
        last_event: Option<u64>,
        rendezvous_key: Option<u64>,
        residency: Residency,
    ) -> ForwardedRequest {
        let head = &self.original.head;
        ForwardedRequest {
            id: self.original.id.clone(),
            attempt: self.attempts + 1,
            method: head.method.as_str().to_owned(),
            uri: head.uri.to_string(),
            headers: super::format_headers(&head.headers),
            body: self.original.body.to_vec(),
            route: (*self.route).clone(),
            service: self.service.clone(),
            spec: self.spec.clone(),
            account: self.caller.as_ref().map(|caller| caller.account.clone()),
            rank: self.rank(),
            parts: self.headers.parts.clone(),
            output_tokens: self.headers.tokens.map(|(_, output)| output),
            remaining: self.deadline.since(now),
            last_event,
            bound_version: self.stream_version.bound(),
            tried: self.tried.clone(),
            residency,
            rendezvous_key,
            fingerprint: self.fingerprint(),
        }
    }

    /// Returns the result of an attempt, and its outcome for the log.
    fn read_reply(
        &self,
        result: Result<(ForwardReply, CallStream), CallError>,
        call: Option<OpenCall>,
    ) -> (PeerAttempt, &'static str) {
        let (reply, stream) = match result {
            Ok(answer) => answer,
            // No stream was opened, so the peer has not received the request.
            Err(CallError::Connect(_) | CallError::Connection(_)) => {
                let end = AttemptEnd::NotSent("peer_unreachable");
                return (PeerAttempt { is_peer_fault: true, ..failed(end) }, "peer_unreachable");
            }
            // The peer may have sent the request before the call failed.
            Err(error) => {
                log::info!(target: REQUESTS, "call failed id={} reason={error:?}", self.original.id);
                return (failed(AttemptEnd::Broken(BROKEN)), "peer_lost");
            }
        };
        match reply {
            ForwardReply::NotSent { upstream, reason } => {
                let end = AttemptEnd::NotSent(reason.as_str());
                let is_peer_fault = reason.is_peer_fault();
                (PeerAttempt { upstream, is_peer_fault, ..failed(end) }, reason.as_str())
            }
            ForwardReply::NotRun { upstream, status } => {
                let status =
                    StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
                let end = AttemptEnd::NotRun(status);
                (PeerAttempt { upstream: Some(upstream), ..failed(end) }, "not_run")
            }
            ForwardReply::Broken { upstream, reason, crashed } => {
                let reason = match reason {
                    BrokenReason::Broken => BROKEN,
                    BrokenReason::Foreign => "foreign",
                    BrokenReason::Silent => SILENT,
                };
                let end = AttemptEnd::Broken(reason);
                (PeerAttempt { upstream: Some(upstream), crashed, ..failed(end) }, reason)
            }
            ForwardReply::Answered { upstream, address, version, status, headers } => {
                let verdict = PeerVerdict::default();
                let body = response_body(stream, call, verdict.clone());
                let target = (upstream.clone(), address);
                // A peer names no version if the entry of the upstream has none there.
                let version = Some(VersionTag::new(&self.service, version.as_ref()));
                let guard = UpstreamGuard::through_peer(
                    &self.driver,
                    &self.gateway,
                    target,
                    version,
                    verdict,
                );
                let mut response = Response::new(());
                *response.status_mut() =
                    StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
                *response.headers_mut() = super::parse_headers(&headers);
                let (head, ()) = response.into_parts();
                // The end of the stream shows that the response is complete.
                let response = UpstreamResponse { head, body, framing: Framing::Explicit, guard };
                let end = AttemptEnd::Answered(Box::new(response));
                (PeerAttempt { upstream: Some(upstream), ..failed(end) }, "answered")
            }
        }
    }
}

fn failed(end: AttemptEnd) -> PeerAttempt {
    PeerAttempt { upstream: None, end, crashed: false, is_peer_fault: false }
}

/// The part of a call from which the body of a response is read.
struct BodySource {
    stream: CallStream,
    _call: Option<OpenCall>,
    verdict: PeerVerdict,
    ended: bool,
}

/// Returns the body of a response. It is read only as fast as it is consumed.
fn response_body(stream: CallStream, call: Option<OpenCall>, verdict: PeerVerdict) -> UpstreamBody {
    let source = BodySource { stream, _call: call, verdict, ended: false };
    let parts = stream::unfold(source, |mut source| async move {
        if source.ended {
            return None;
        }
        let part = read_part(&mut source.stream.receive, &source.verdict).await;
        source.ended = !matches!(part, Some(Ok(_)));
        Some((part?.map(Frame::data), source))
    });
    StreamBody::new(parts).boxed_unsync()
}

/// Reads the next part of a body; returns `None` after the last.
async fn read_part(
    receive: &mut RecvStream,
    verdict: &PeerVerdict,
) -> Option<Result<Bytes, BodyBroken>> {
    match receive.read_chunk(CHUNK_BYTES, true).await {
        Ok(chunk) => chunk.map(|chunk| Ok(chunk.bytes)),
        Err(error) => {
            if matches!(error, ReadError::Reset(code) if code == CRASHED_CODE.into()) {
                verdict.record_crash();
            }
            Some(Err(BodyBroken::Failed))
        }
    }
}
