//! One attempt at an upstream for a peer.

use std::sync::Arc;
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::UpstreamId;
use badgerfield_core::poison::Fingerprint;
use badgerfield_core::residency::Residency;
use badgerfield_core::upstream_table::{ChosenUpstream, UpstreamCriteria};
use http_body_util::BodyExt;
use hyper::http::response;
use quinn::SendStream;

use super::{
    BROKEN_CODE, BrokenReason, CRASHED_CODE, ForwardReply, ForwardedRequest, NotSentReason,
};
use crate::adapter::UpstreamHeaders;
use crate::driver::Driver;
use crate::gateway::attempt::{
    AttemptEnd, BROKEN, Framing, NOT_ADMITTED, Original, SILENT, UpstreamBody, UpstreamGuard,
    UpstreamResponse, attempt,
};
use crate::gateway::crash_check::{self, CrashCheck, Progress};
use crate::gateway::dispatch::{connection_share, transfer_bytes};
use crate::gateway::places::PlaceRequest;
use crate::gateway::request_log;
use crate::gateway::state::Gateway;
use crate::gateway::unframed_end::{AT_ONCE, EndLimits, UnframedEnd};
use crate::peers::calls::{CallError, CallStream, write_frame};

/// The outcome of an attempt that the peer has withdrawn, because its caller left or the request was
/// blocked.
const WITHDRAWN: &str = "withdrawn";

/// A request of a peer, for one attempt.
pub(super) struct PeerRequest {
    driver: Arc<Driver>,
    gateway: Arc<Gateway>,
    request: ForwardedRequest,
    original: Original,
    started: Time,
    deadline: Time,
}

/// Finds out whether a stream has had a whole event.
#[derive(Debug, Default)]
struct EventDetector {
    has_event: bool,
    /// Whether the last line has ended, so that a further line end ends an event.
    at_line_start: bool,
}

impl EventDetector {
    fn push(&mut self, bytes: &[u8]) {
        for byte in bytes.iter().filter(|byte| **byte != b'\r') {
            self.has_event |= *byte == b'\n' && self.at_line_start;
            self.at_line_start = *byte == b'\n';
            if self.has_event {
                return;
            }
        }
    }
}

/// How the body of a response ended.
enum BodyEnd {
    Complete,
    Broken,
    Late,
    Withdrawn,
}

impl PeerRequest {
    pub(super) fn new(
        driver: &Arc<Driver>,
        gateway: &Arc<Gateway>,
        request: ForwardedRequest,
        original: Original,
    ) -> Self {
        let started = driver.now();
        let deadline = started.after(request.remaining);
        let (driver, gateway) = (Arc::clone(driver), Arc::clone(gateway));
        Self { driver, gateway, request, original, started, deadline }
    }

    /// Sends the request to an upstream, and passes the response back.
    ///
    /// At a brittle service it may wait for so long for a place.
    pub(super) async fn run(self, stream: CallStream, wait: Duration) -> Result<(), CallError> {
        let chosen = tokio::select! {
            chosen = self.choose_place(wait) => chosen,
            _ = stream.send.stopped() => {
                self.record_end("-", WITHDRAWN);
                return Ok(());
            }
        };
        let Some(chosen) = chosen else {
            let reason = NotSentReason::NoUpstream;
            self.record_end("-", reason.as_str());
            return stream.answer(&ForwardReply::NotSent { upstream: None, reason }).await;
        };
        let prior_crashes = self.crash_count(&chosen.id);
        let withdrawn = stream.send.stopped();
        let end = tokio::select! {
            end = self.attempt(&chosen) => end,
            _ = withdrawn => {
                self.crash_check(prior_crashes).watch_abandoned(&chosen.id, chosen.address);
                self.record_end(chosen.id.as_str(), WITHDRAWN);
                return Ok(());
            }
        };
        match end {
            AttemptEnd::Answered(response) => {
                self.relay(*response, &chosen, prior_crashes, stream).await
            }
            end => stream.answer(&self.failure(end, chosen, prior_crashes).await).await,
        }
    }

    /// Sends the request to an upstream, and waits for the head of the response.
    async fn attempt(&self, chosen: &ChosenUpstream) -> AttemptEnd {
        let request = &self.request;
        let unshared = request.parts.last().map_or(0, |part| part.tokens);
        let is_engine = request.spec.engine.is_some();
        let engine_tokens = is_engine.then(|| chosen.uncached_tokens.saturating_add(unshared));
        let route = Arc::new(request.route.clone());
        let kind = (&request.spec, &route);
        let guard = UpstreamGuard::new(&self.driver, &self.gateway, chosen, engine_tokens, kind);
        let headers = UpstreamHeaders {
            upstream: &chosen.id,
            remaining: self.deadline.since(self.driver.now()),
            account: request.account.as_ref(),
            rank: request.rank,
            last_event: request.last_event,
            fetch_from: None,
        };
        let timed_out = self.driver.clock.sleep_until(self.deadline);
        // The peer withdraws the request if it is blocked.
        attempt(guard, &self.original, &headers, timed_out, std::future::pending()).await
    }

    /// Returns the reply for an attempt without a response.
    async fn failure(
        &self,
        end: AttemptEnd,
        chosen: ChosenUpstream,
        prior_crashes: u32,
    ) -> ForwardReply {
        let (now, kind) = (self.driver.now(), (&self.request.spec, &self.request.route));
        let upstream = chosen.id.clone();
        match end {
            AttemptEnd::NotRun(status) => {
                self.gateway.record_rejection(now, kind, &upstream, status);
                self.record_end(upstream.as_str(), "not_run");
                ForwardReply::NotRun { upstream, status: status.as_u16() }
            }
            AttemptEnd::NotSent(outcome) => {
                self.gateway.upstreams().undo_sent(&upstream, &self.request.route.name);
                self.record_end(upstream.as_str(), outcome);
                let reason = match outcome {
                    NOT_ADMITTED => NotSentReason::NotAdmitted,
                    _ => NotSentReason::Unreachable,
                };
                ForwardReply::NotSent { upstream: Some(upstream), reason }
            }
            AttemptEnd::Broken(outcome) => {
                let reason = match outcome {
                    BROKEN => BrokenReason::Broken,
                    SILENT => BrokenReason::Silent,
                    _ => BrokenReason::Foreign,
                };
                let crashed = reason == BrokenReason::Broken
                    && self.detect_crash(&chosen, prior_crashes, false).await;
                self.record_end(upstream.as_str(), outcome);
                ForwardReply::Broken { upstream, reason, crashed }
            }
            // A response is passed back by `relay`.
            AttemptEnd::Answered(_) => {
                ForwardReply::Broken { upstream, reason: BrokenReason::Broken, crashed: false }
            }
        }
    }

    /// Passes a response back as it arrives. Only a complete one ends the stream; another one aborts
    /// it.
    async fn relay(
        &self,
        response: UpstreamResponse,
        chosen: &ChosenUpstream,
        prior_crashes: u32,
        mut stream: CallStream,
    ) -> Result<(), CallError> {
        let UpstreamResponse { head, body, framing, mut guard } = response;
        let (now, kind) = (self.driver.now(), (&self.request.spec, &self.request.route));
        let took = now.since(self.started);
        self.gateway.record_response_time(now, kind, &chosen.id, took);
        let is_failure = head.status.is_server_error();
        // The peer may read no further, to send the request to another upstream.
        if is_failure {
            guard.record_failure();
        }
        let reply = answered(chosen, &head);
        let mut events = EventDetector::default();
        let passing_from = self.driver.now();
        let passing = self.pass_response(&mut stream.send, &reply, (body, &mut events), &mut guard);
        let end = passing.await?;
        let is_plain = !self.request.route.repeat.is_stream();
        let is_brief = is_plain && self.driver.now().since(passing_from) <= AT_ONCE;
        let has_begun = events.has_event;
        let (is_whole, has_crashed) = match (end, &framing) {
            (BodyEnd::Withdrawn, _) => {
                self.record_end(chosen.id.as_str(), WITHDRAWN);
                return Ok(());
            }
            (BodyEnd::Late, _) => (false, false),
            (BodyEnd::Broken, _) => {
                (false, self.detect_crash(chosen, prior_crashes, has_begun).await)
            }
            (BodyEnd::Complete, Framing::Explicit) => (true, false),
            (BodyEnd::Complete, Framing::Connection(witness)) => {
                let check = self.crash_check(prior_crashes);
                let progress = Progress { last_event: self.request.last_event, has_begun };
                let (id, address) = (&chosen.id, chosen.address);
                guard.release();
                // Whether the request may be sent again is known to the peer only.
                let limits = EndLimits { deadline: self.deadline, can_confirm: false, is_brief };
                let end = check.judge_unframed_end(id, address, progress, witness, limits).await;
                (end == UnframedEnd::Whole, end == UnframedEnd::Crashed)
            }
        };
        if is_whole {
            if !is_failure {
                guard.finish();
            }
            self.record_end(chosen.id.as_str(), "answered");
            stream.complete().await;
            return Ok(());
        }
        guard.record_failure();
        self.record_end(chosen.id.as_str(), BROKEN);
        stream.abort(if has_crashed { CRASHED_CODE } else { BROKEN_CODE });
        Ok(())
    }

    /// Passes the head and the body of a response back, until the peer withdraws the request or its
    /// deadline passes.
    async fn pass_response(
        &self,
        send: &mut SendStream,
        reply: &ForwardReply,
        (mut body, events): (UpstreamBody, &mut EventDetector),
        guard: &mut UpstreamGuard,
    ) -> Result<BodyEnd, CallError> {
        let withdrawn = send.stopped();
        let passed = async {
            write_frame(send, reply).await?;
            self.pass_body(send, (&mut body, events), guard).await
        };
        tokio::select! {
            passed = passed => passed,
            _ = withdrawn => Ok(BodyEnd::Withdrawn),
            () = self.driver.clock.sleep_until(self.deadline) => Ok(BodyEnd::Late),
        }
    }

    async fn pass_body(
        &self,
        send: &mut SendStream,
        (body, events): (&mut UpstreamBody, &mut EventDetector),
        guard: &mut UpstreamGuard,
    ) -> Result<BodyEnd, CallError> {
        let mut has_begun = !self.request.route.repeat.is_stream();
        while let Some(frame) = body.frame().await {
            let frame = match frame {
                Ok(frame) => frame,
                Err(error) => {
                    guard.record_answer_end(error.answer_end());
                    return Ok(BodyEnd::Broken);
                }
            };
            // Trailers are not passed on, as for requests that are sent directly.
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            if !std::mem::replace(&mut has_begun, true) {
                guard.record_first_event();
            }
            if self.request.route.repeat.is_stream() {
                events.push(&bytes);
            }
            send.write_chunk(bytes).await?;
        }
        Ok(BodyEnd::Complete)
    }

    /// Chooses an upstream. At a brittle service it may wait for so long for a place there.
    async fn choose_place(&self, wait: Duration) -> Option<ChosenUpstream> {
        let ForwardedRequest { service, rank, .. } = &self.request;
        let is_brittle = self.gateway.upstreams().brittle_tolerance(service).is_some();
        let (service, rank) = (service, *rank);
        if !is_brittle {
            return self.choose();
        }
        let places = &self.gateway.places;
        if !places.is_behind(service, rank)
            && let Some(chosen) = self.choose()
        {
            return Some(chosen);
        }
        let counts = self.gateway.upstreams().place_counts(self.started, service);
        let until = self.started.after(wait).min(self.deadline);
        let request = PlaceRequest { service, rank, until, counts };
        places.wait(&self.driver.clock, request, || self.choose()).await
    }

    fn choose(&self) -> Option<ChosenUpstream> {
        let now = self.driver.now();
        let request = &self.request;
        let vm_count = self.driver.node.member_count();
        let residency = self.residency();
        let mut upstreams = self.gateway.upstreams();
        upstreams.record_request(now, &request.service);
        residency.check(upstreams.regions()).ok()?;
        let criteria = UpstreamCriteria {
            rendezvous_key: request.rendezvous_key,
            service: &request.service,
            route: &request.route.name,
            parts: &request.parts,
            bytes: transfer_bytes(self.original.body.len(), request.output_tokens),
            residency: &residency,
            tried: &request.tried,
            bound_version: request.bound_version,
            is_resumable: request.route.repeat.is_resumable(),
            max_connections: connection_share(&request.spec, vm_count),
            random: rand::random(),
        };
        let chosen = upstreams.choose(now, &criteria)?;
        let list = upstreams.last_update();
        upstreams.start_request(now, &chosen.id, &request.parts);
        upstreams.record_sent(now, &criteria, &chosen.id);
        drop(upstreams);
        self.driver.gateway_counts().count_sent(chosen.distance, chosen.crossing);
        request_log::chosen(&request.id, request.attempt, &chosen, list, now);
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
        crash_check::crash_count(&self.driver, self.request.fingerprint, &self.parts(), upstream)
    }

    /// Returns the fingerprints of the shared parts of the prompt.
    fn parts(&self) -> Vec<Fingerprint> {
        Fingerprint::of_shared_parts(self.request.account.as_ref(), &self.request.parts)
    }

    fn crash_check(&self, prior_crashes: u32) -> CrashCheck {
        CrashCheck {
            driver: Arc::clone(&self.driver),
            gateway: Arc::clone(&self.gateway),
            id: self.request.id.clone(),
            account: self.request.account.clone(),
            request: self.request.fingerprint,
            parts: self.parts(),
            prior_crashes,
            last_contact: self.started,
        }
    }

    async fn detect_crash(
        &self,
        chosen: &ChosenUpstream,
        prior_crashes: u32,
        has_begun: bool,
    ) -> bool {
        let check = self.crash_check(prior_crashes);
        let progress = Progress { last_event: self.request.last_event, has_begun };
        check.detect(&chosen.id, chosen.address, progress).await
    }

    fn record_end(&self, upstream: &str, outcome: &str) {
        let took = self.driver.now().since(self.started);
        let request = &self.request;
        request_log::sent_for_peer(&request.id, request.attempt, upstream, outcome, took);
        self.driver.gateway_counts().count_forwarded("in", outcome);
    }
}

/// Returns the reply for a response whose head has arrived.
fn answered(chosen: &ChosenUpstream, head: &response::Parts) -> ForwardReply {
    ForwardReply::Answered {
        upstream: chosen.id.clone(),
        address: chosen.address,
        version: chosen.version.clone(),
        status: head.status.as_u16(),
        headers: super::format_headers(&head.headers),
    }
}
