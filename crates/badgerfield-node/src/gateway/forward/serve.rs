//! Sends requests for peers that are cut off from upstreams, and tells peers which upstreams this VM
//! reaches.

use std::sync::Arc;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::UpstreamId;
use badgerfield_core::residency::Residency;
use badgerfield_core::upstream_table::{ChosenUpstream, UpstreamCriteria};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Method, Request, Uri};
use quinn::SendStream;
use thiserror::Error;

use super::{
    BROKEN_CODE, BrokenReason, CRASHED_CODE, ForwardReply, ForwardedRequest, MAX_CALL_BYTES,
    NotSentReason, PeerCall, Reached,
};
use crate::adapter::UpstreamHeaders;
use crate::driver::Driver;
use crate::gateway::attempt::{
    AttemptEnd, BROKEN, Original, SILENT, UpstreamBody, UpstreamGuard, UpstreamResponse, attempt,
};
use crate::gateway::dispatch::{connection_share, transfer_bytes};
use crate::gateway::poison::CrashCheck;
use crate::gateway::request_log;
use crate::gateway::state::Gateway;
use crate::logs::PEERS;
use crate::peers::calls::{CallError, CallStream, read_frame, write_frame};

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
        Ok(PeerCall::Forward(request)) => send_for_peer(driver, gateway, *request, stream).await,
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
    mut stream: CallStream,
) -> Result<(), CallError> {
    upstreams.truncate(MAX_PROBED_UPSTREAMS);
    let is_cut_off = gateway.reachability().is_cut_off();
    let reached = if is_cut_off { Vec::new() } else { gateway.reached_upstreams(upstreams).await };
    let opened = !reached.is_empty();
    if opened {
        gateway.reachability().record_connect(driver.now(), true);
    }
    write_frame(&mut stream.send, &Reached { upstreams: reached }).await?;
    let _ = stream.send.finish();
    Ok(())
}

/// Why a forwarded request cannot be used.
#[derive(Debug, Error)]
#[error("the head of a forwarded request cannot be parsed")]
struct InvalidRequest;

/// A request of a peer, for one attempt.
struct PeerRequest {
    driver: Arc<Driver>,
    gateway: Arc<Gateway>,
    request: ForwardedRequest,
    original: Original,
    started: Time,
    deadline: Time,
}

/// Sends a request of a peer to an upstream, and passes the response back.
async fn send_for_peer(
    driver: Arc<Driver>,
    gateway: Arc<Gateway>,
    mut request: ForwardedRequest,
    mut stream: CallStream,
) -> Result<(), CallError> {
    let counts = driver.gateway_counts();
    let refuse = |reason| ForwardReply::NotSent { upstream: None, reason };
    let Ok(_permit) = gateway.forward_permits.try_acquire() else {
        counts.count_forwarded("in", NotSentReason::Busy.as_str());
        return write_frame(&mut stream.send, &refuse(NotSentReason::Busy)).await;
    };
    if gateway.reachability().is_cut_off() {
        counts.count_forwarded("in", NotSentReason::CutOff.as_str());
        return write_frame(&mut stream.send, &refuse(NotSentReason::CutOff)).await;
    }
    if gateway.is_stopping() {
        counts.count_forwarded("in", NotSentReason::Stopping.as_str());
        return write_frame(&mut stream.send, &refuse(NotSentReason::Stopping)).await;
    }
    // A process that stops finishes the requests of peers too.
    let _open_request = gateway.track_request();
    let Ok(original) = parse_request(&mut request) else {
        counts.count_forwarded("in", NotSentReason::Invalid.as_str());
        return write_frame(&mut stream.send, &refuse(NotSentReason::Invalid)).await;
    };
    let started = driver.now();
    let deadline = started.after(request.remaining);
    let (driver, gateway) = (Arc::clone(&driver), Arc::clone(&gateway));
    let peer_request = PeerRequest { driver, gateway, request, original, started, deadline };
    peer_request.run(stream).await
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

impl PeerRequest {
    async fn run(self, mut stream: CallStream) -> Result<(), CallError> {
        let Some(chosen) = self.choose() else {
            self.record_end("-", NotSentReason::NoUpstream.as_str());
            let reason = NotSentReason::NoUpstream;
            return write_frame(
                &mut stream.send,
                &ForwardReply::NotSent { upstream: None, reason },
            )
            .await;
        };
        let unshared = self.request.parts.last().map_or(0, |part| part.tokens);
        let is_engine = self.request.spec.engine.is_some();
        let engine_tokens = is_engine.then(|| chosen.uncached_tokens.saturating_add(unshared));
        let route = Arc::new(self.request.route.clone());
        let guard = UpstreamGuard::new(&self.driver, &self.gateway, &chosen, engine_tokens, &route);
        let headers = UpstreamHeaders {
            upstream: &chosen.id,
            remaining: self.request.remaining,
            account: self.request.account.as_ref(),
            rank: self.request.rank,
            last_event: self.request.last_event,
            fetch_from: None,
        };
        let timed_out = self.driver.clock.sleep_until(self.deadline);
        let prior_crashes = self.crash_count(&chosen.id);
        // The sender withdraws the request if it is blocked or its caller leaves.
        let withdrawn = stream.send.stopped();
        let end = tokio::select! {
            end = attempt(guard, &self.original, &headers, timed_out, std::future::pending()) => end,
            _ = withdrawn => {
                self.crash_check(prior_crashes).watch_abandoned(&chosen.id, chosen.address);
                self.record_end(chosen.id.as_str(), "withdrawn");
                return Ok(());
            }
        };
        self.reply(end, &chosen, prior_crashes, stream).await
    }

    /// Passes the result of the attempt back.
    async fn reply(
        &self,
        end: AttemptEnd,
        chosen: &ChosenUpstream,
        prior_crashes: u32,
        mut stream: CallStream,
    ) -> Result<(), CallError> {
        let upstream = chosen.id.clone();
        let (ended, kind) = (self.driver.now(), (&self.request.spec, &self.request.route));
        let reply = match end {
            AttemptEnd::Answered(response) => {
                let took = ended.since(self.started);
                self.gateway.record_response_time(ended, kind, &upstream, took);
                return self.relay(*response, chosen, prior_crashes, stream).await;
            }
            AttemptEnd::NotSent(outcome) => {
                self.gateway.upstreams().undo_sent(&chosen.id, &self.request.route.name);
                self.record_end(upstream.as_str(), outcome);
                let reason = match outcome {
                    "not_admitted" => NotSentReason::NotAdmitted,
                    _ => NotSentReason::Unreachable,
                };
                ForwardReply::NotSent { upstream: Some(upstream), reason }
            }
            AttemptEnd::NotRun(status) => {
                self.gateway.record_rejection(ended, kind, &upstream, status);
                self.record_end(upstream.as_str(), "not_run");
                ForwardReply::NotRun { upstream, status: status.as_u16() }
            }
            AttemptEnd::Broken(outcome) => {
                let reason = match outcome {
                    BROKEN => BrokenReason::Broken,
                    SILENT => BrokenReason::Silent,
                    _ => BrokenReason::Foreign,
                };
                let crashed = reason == BrokenReason::Broken
                    && self.detect_crash(chosen, prior_crashes, self.request.last_event).await;
                self.record_end(upstream.as_str(), outcome);
                ForwardReply::Broken { upstream, reason, crashed }
            }
        };
        write_frame(&mut stream.send, &reply).await?;
        let _ = stream.send.finish();
        Ok(())
    }

    /// Passes a response back as it arrives. Only a complete one ends the stream; another one resets
    /// it.
    async fn relay(
        &self,
        response: UpstreamResponse,
        chosen: &ChosenUpstream,
        prior_crashes: u32,
        mut stream: CallStream,
    ) -> Result<(), CallError> {
        let UpstreamResponse { head, mut body, framed, mut guard } = response;
        // The sender may read no further, to send the request to another upstream.
        if head.status.is_server_error() {
            guard.record_failure();
        }
        let headers = head.headers.iter();
        let reply = ForwardReply::Answered {
            upstream: chosen.id.clone(),
            address: chosen.address,
            version: chosen.version.clone(),
            status: head.status.as_u16(),
            headers: headers
                .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
                .collect(),
        };
        let withdrawn = stream.send.stopped();
        let passed = async {
            write_frame(&mut stream.send, &reply).await?;
            self.pass_body(&mut stream.send, &mut body, &mut guard).await
        };
        let deadline = self.driver.clock.sleep_until(self.deadline);
        let is_complete = tokio::select! {
            passed = passed => passed?,
            _ = withdrawn => {
                self.record_end(chosen.id.as_str(), "withdrawn");
                return Ok(());
            }
            () = deadline => false,
        };
        let is_late = self.driver.now() >= self.deadline;
        let has_crashed = (!is_complete || !framed)
            && !is_late
            && self.detect_crash(chosen, prior_crashes, self.request.last_event).await;
        if is_complete && !has_crashed {
            if !head.status.is_server_error() {
                guard.finish();
            }
            self.record_end(chosen.id.as_str(), "answered");
            let _ = stream.send.finish();
            // The connection must not be closed before the end of the response has arrived.
            let _ = stream.send.stopped().await;
            return Ok(());
        }
        guard.record_failure();
        self.record_end(chosen.id.as_str(), BROKEN);
        let code = if has_crashed { CRASHED_CODE } else { BROKEN_CODE };
        let _ = stream.send.reset(code.into());
        Ok(())
    }

    /// Passes the body back. Returns whether it is complete.
    async fn pass_body(
        &self,
        send: &mut SendStream,
        body: &mut UpstreamBody,
        guard: &mut UpstreamGuard,
    ) -> Result<bool, CallError> {
        let mut has_begun = false;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return Ok(false);
            };
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            if !has_begun && self.request.route.repeat.is_stream() {
                has_begun = true;
                guard.record_first_event();
            }
            send.write_chunk(bytes).await?;
        }
        Ok(true)
    }

    fn choose(&self) -> Option<ChosenUpstream> {
        let request = &self.request;
        let vm_count = self.driver.node.member_count();
        let residency = self.residency();
        let mut upstreams = self.gateway.upstreams();
        upstreams.record_request(self.started, &request.service);
        residency.check(upstreams.regions()).ok()?;
        let criteria = UpstreamCriteria {
            rendezvous_key: request.rendezvous_key,
            service: &request.service,
            route: &request.route.name,
            parts: &request.parts,
            bytes: transfer_bytes(self.original.body.len(), request.output_tokens),
            residency: &residency,
            tried: &request.tried,
            resumed_version: request.version.as_ref(),
            max_connections: connection_share(&request.spec, vm_count),
            random: rand::random(),
        };
        let chosen = upstreams.choose(self.started, &criteria)?;
        let list = upstreams.last_update();
        upstreams.start_request(self.started, &chosen.id, &request.parts);
        upstreams.record_sent(self.started, &criteria, &chosen.id);
        drop(upstreams);
        self.driver.gateway_counts().count_sent(chosen.distance, chosen.crossing);
        request_log::chosen(&request.id, request.attempt, &chosen, list, self.started);
        Some(chosen)
    }

    /// Returns the regions that both the sender and the newest templates here allow.
    fn residency(&self) -> Residency {
        let newest = self.gateway.routes();
        let (route, path) = (&self.request.route, self.original.head.uri.path());
        let here = newest.table.residency_at(&route.host, path, self.request.account.as_ref());
        self.request.residency.intersect(&here)
    }

    fn crash_count(&self, upstream: &UpstreamId) -> u32 {
        if !self.driver.node.has_suspects() {
            return 0;
        }
        self.driver.node.crash_count(self.request.fingerprint, upstream)
    }

    fn crash_check(&self, prior_crashes: u32) -> CrashCheck {
        CrashCheck {
            driver: Arc::clone(&self.driver),
            gateway: Arc::clone(&self.gateway),
            id: self.request.id.clone(),
            account: self.request.account.clone(),
            request: self.request.fingerprint,
            prior_crashes,
            last_contact: self.started,
        }
    }

    async fn detect_crash(
        &self,
        chosen: &ChosenUpstream,
        prior_crashes: u32,
        last_event: Option<u64>,
    ) -> bool {
        self.crash_check(prior_crashes).detect(&chosen.id, chosen.address, last_event).await
    }

    fn record_end(&self, upstream: &str, outcome: &str) {
        let took = self.driver.now().since(self.started);
        let request = &self.request;
        request_log::sent_for_peer(&request.id, request.attempt, upstream, outcome, took);
        self.driver.gateway_counts().count_forwarded("in", outcome);
    }
}
