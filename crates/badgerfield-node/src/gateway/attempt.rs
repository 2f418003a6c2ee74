//! One attempt to serve a request at one upstream.

use std::error::Error as _;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::answer_record::AnswerEnd;
use badgerfield_core::ids::{UpstreamId, VersionTag};
use badgerfield_core::routing::{Route, ServiceSpec};
use badgerfield_core::upstream_table::{AttemptOutcome, ChosenUpstream};
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::HeaderName;
use hyper::http::{request, response};
use hyper::{HeaderMap, Request, StatusCode, header};
use thiserror::Error;

use crate::adapter::{ResponseKind, UpstreamHeaders};
use crate::driver::Driver;
use crate::gateway::connections::{ConnectError, Connection, SendError, keep_alive_timeout};
use crate::gateway::rollout_sample::RolloutSample;
use crate::gateway::state::Gateway;
use crate::gateway::witness::{Question, ResponseWitness, WitnessGuard};

/// The hop-by-hop headers, by RFC 9110, section 7.6.1.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
    header::CONTENT_LENGTH,
];

/// Removes the hop-by-hop headers.
pub(crate) fn strip_hop_by_hop(head: &mut HeaderMap) {
    let named: Vec<HeaderName> = head
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        head.remove(name);
    }
    for name in &HOP_BY_HOP {
        head.remove(name);
    }
    head.remove("keep-alive");
    head.remove("proxy-connection");
}

/// The outcome of an attempt that was cancelled because its request was blocked. Waiting requests
/// are withdrawn to protect the upstream.
pub(crate) const BLOCKED: &str = "blocked";
/// The outcome of an attempt whose upstream accepts no more requests at present.
pub(crate) const NOT_ADMITTED: &str = "not_admitted";
/// The outcome of an attempt whose connection failed.
pub(crate) const BROKEN: &str = "broken";
/// The outcome of an attempt whose connection closed normally before the response was complete.
pub(crate) const CUT: &str = "cut";
/// The outcome of an attempt whose connection closed normally, without proof that the response was
/// complete.
pub(crate) const UNPROVED: &str = "unproved";
/// The outcome of an attempt whose connection closed normally at an upstream that breaks off
/// responses.
pub(crate) const DOUBTED: &str = "doubted";
/// The outcome of an attempt whose connection closed normally at an upstream that fails requests.
pub(crate) const UNCONFIRMED: &str = "unconfirmed";
/// The outcome of an attempt whose upstream sent nothing within the timeout.
pub(crate) const SILENT: &str = "silent";

/// A request as the caller sent it.
#[derive(Debug)]
pub(crate) struct Original {
    pub(crate) id: String,
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
}

/// The result of an attempt, as soon as it has failed or the head of a response has arrived.
#[derive(Debug)]
pub(crate) enum AttemptEnd {
    /// Nothing was sent, for this reason.
    NotSent(&'static str),
    /// The upstream did not run the request.
    NotRun(StatusCode),
    /// The request may have run, but no response arrived.
    Broken(&'static str),
    /// The head of a response arrived.
    Answered(Box<UpstreamResponse>),
}

/// The error of a response that broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum BodyBroken {
    /// The upstream ended its connection before the end of the response.
    #[error("the upstream broke off its response")]
    Ended,
    /// The connection failed, which may be the fault of a link.
    #[error("the connection of the response failed")]
    Failed,
}

impl BodyBroken {
    fn new(error: &hyper::Error) -> Self {
        let cause = error.source().and_then(|cause| cause.downcast_ref::<std::io::Error>());
        let is_ended = cause.is_some_and(|cause| cause.kind() == ErrorKind::UnexpectedEof);
        if is_ended || error.is_incomplete_message() { Self::Ended } else { Self::Failed }
    }

    /// Returns what the error says about the upstream.
    pub(crate) fn answer_end(self) -> AnswerEnd {
        match self {
            Self::Ended => AnswerEnd::BrokenOff,
            Self::Failed => AnswerEnd::Failed,
        }
    }
}

/// The body of an upstream's response.
pub(crate) type UpstreamBody = UnsyncBoxBody<Bytes, BodyBroken>;

/// What determines the end of a response's body.
#[derive(Debug)]
pub(crate) enum Framing {
    /// Its headers do.
    Explicit,
    /// It ends with its connection, as it does if the upstream crashes.
    Connection(ResponseWitness),
}

/// A response whose head has arrived.
#[derive(Debug)]
pub(crate) struct UpstreamResponse {
    pub(crate) head: response::Parts,
    pub(crate) body: UpstreamBody,
    pub(crate) framing: Framing,
    pub(crate) guard: UpstreamGuard,
}

/// An upstream that works on a request. Reports the outcome to the table of upstreams on drop.
#[derive(Debug)]
pub(crate) struct UpstreamGuard {
    driver: Arc<Driver>,
    gateway: Arc<Gateway>,
    pub(crate) id: UpstreamId,
    pub(crate) address: SocketAddr,
    /// The path of its health check.
    health_path: String,
    /// The number that identifies the process of the upstream.
    process: u32,
    /// The version of the upstream's software; `None` if a peer chose one that is unknown here.
    pub(crate) version: Option<VersionTag>,
    /// Whether the request is bound to that version, because it resumes a stream.
    is_bound: bool,
    /// When the request was sent to the upstream.
    sent_at: Time,
    outcome: AttemptOutcome,
    /// Whether the upstream no longer works on the request.
    is_released: bool,
    connection: Option<Connection>,
    keep_alive: Option<Duration>,
    closes_connection: bool,
    /// The wait for the first event; `None` once it has arrived, or if the wait is not to be
    /// recorded.
    wait: Option<FirstEventWait>,
    /// The sample of this attempt, if a rollout is in progress.
    sample: Option<RolloutSample>,
    /// The peer that the request went through, which records the outcome itself.
    peer: Option<PeerVerdict>,
}

/// What a peer has found out about the upstream to which it sent a request for this process.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerVerdict {
    crashed: Arc<AtomicBool>,
}

impl PeerVerdict {
    /// Records that the upstream has crashed.
    pub(crate) fn record_crash(&self) {
        self.crashed.store(true, Ordering::Relaxed);
    }

    /// Returns whether the upstream has crashed.
    pub(crate) fn has_crashed(&self) -> bool {
        self.crashed.load(Ordering::Relaxed)
    }
}

/// A wait for the first event of an engine's response.
#[derive(Debug, Clone, Copy)]
struct FirstEventWait {
    since: Time,
    /// The prompt tokens that the engine is expected to read first.
    uncached_tokens: u64,
}

impl UpstreamGuard {
    /// Creates the guard of a chosen upstream. `uncached_tokens` is the number of prompt tokens
    /// that an engine is expected to read.
    pub(crate) fn new(
        driver: &Arc<Driver>,
        gateway: &Arc<Gateway>,
        chosen: &ChosenUpstream,
        uncached_tokens: Option<u64>,
        (spec, route): (&ServiceSpec, &Arc<Route>),
    ) -> Self {
        let now = driver.now();
        Self {
            driver: Arc::clone(driver),
            gateway: Arc::clone(gateway),
            id: chosen.id.clone(),
            address: chosen.address,
            health_path: spec.health.clone(),
            process: chosen.process,
            version: Some(chosen.version_tag),
            is_bound: chosen.is_bound,
            sent_at: now,
            outcome: AttemptOutcome::Unknown,
            is_released: false,
            connection: None,
            keep_alive: None,
            closes_connection: false,
            wait: uncached_tokens
                .map(|uncached_tokens| FirstEventWait { since: now, uncached_tokens }),
            sample: gateway
                .has_rollouts()
                .then(|| RolloutSample::new(now, &chosen.id, route, uncached_tokens.unwrap_or(0))),
            peer: None,
        }
    }

    /// Creates the guard of an upstream to which a peer has sent the request.
    pub(crate) fn through_peer(
        driver: &Arc<Driver>,
        gateway: &Arc<Gateway>,
        (id, address): (UpstreamId, SocketAddr),
        version: Option<VersionTag>,
        verdict: PeerVerdict,
    ) -> Self {
        Self {
            driver: Arc::clone(driver),
            gateway: Arc::clone(gateway),
            id,
            address,
            health_path: String::new(),
            process: 0,
            version,
            is_bound: false,
            sent_at: driver.now(),
            outcome: AttemptOutcome::Unknown,
            is_released: false,
            connection: None,
            keep_alive: None,
            closes_connection: false,
            wait: None,
            sample: None,
            peer: Some(verdict),
        }
    }

    /// Returns what a witness asks the upstream.
    fn question(&self) -> Question {
        Question::Health {
            path: self.health_path.clone(),
            protocol: Arc::clone(&self.gateway.adapter.protocol),
        }
    }

    /// Returns what the peer has found out, if the request went through one.
    pub(crate) fn peer_verdict(&self) -> Option<PeerVerdict> {
        self.peer.clone()
    }

    /// Records the arrival of an event. The first event ends the wait of this attempt.
    pub(crate) fn record_first_event(&mut self) {
        if let Some(wait) = self.wait.take() {
            self.record_wait(wait);
        }
        self.update_sample(RolloutSample::record_answer);
    }

    /// Records how an answer of the upstream has ended. A process that was stalled may have broken it
    /// off itself.
    pub(crate) fn record_answer_end(&self, end: AnswerEnd) {
        if self.peer.is_none() && !self.gateway.clock.has_stalled_since(self.sent_at) {
            self.record_end_of_other(&self.id, end);
        }
    }

    /// Records how an answer of another upstream has ended, which this one has told.
    pub(crate) fn record_end_of_other(&self, upstream: &UpstreamId, end: AnswerEnd) {
        let now = self.driver.now();
        self.gateway.upstreams().record_answer_end(now, upstream, end);
    }

    /// Records that no response arrived or that the response ended early.
    pub(crate) fn record_failure(&mut self) {
        self.set_outcome(AttemptOutcome::Failed);
        self.update_sample(RolloutSample::record_failure);
    }

    /// Records that no part of the request was run. The attempt then says nothing about a version.
    pub(crate) fn record_not_run(&mut self, outcome: AttemptOutcome) {
        self.wait = None;
        self.sample = None;
        self.set_outcome(outcome);
    }

    /// Updates the sample of the attempt, and reports a bad response of the target at once.
    fn update_sample(&mut self, update: fn(&mut RolloutSample, &Gateway) -> bool) {
        let Some(sample) = &mut self.sample else {
            return;
        };
        if update(sample, &self.gateway) {
            self.driver.report_bad_answer();
        }
    }

    fn record_wait(&self, wait: FirstEventWait) {
        let now = self.driver.now();
        if !self.gateway.clock.has_stalled_since(wait.since) {
            self.gateway.upstreams().record_first_event_wait(
                now,
                &self.id,
                now.since(wait.since),
                wait.uncached_tokens,
            );
        }
    }

    /// Checks whether the upstream was evacuated, started to leave or announced a rate limit while
    /// the connection was being opened.
    fn check_usable(&self) -> Result<(), AttemptError> {
        let now = self.driver.now();
        let mut upstreams = self.gateway.upstreams();
        let is_usable = if self.is_bound {
            upstreams.may_continue(now, &self.id)
        } else {
            upstreams.is_usable(now, &self.id)
        };
        if !is_usable {
            return Err(AttemptError::NotSent);
        }
        if !upstreams.can_still_send(now, &self.id, self.sent_at) {
            return Err(AttemptError::NotAdmitted);
        }
        Ok(())
    }

    /// Records how long it took to open a connection, unless an open one was taken.
    fn record_connect(&self, started: Time, taken: Result<&Connection, &ConnectError>) {
        let says_something = match taken {
            Ok(connection) => !connection.reused,
            Err(error) => *error != ConnectError::Refused,
        };
        let now = self.driver.now();
        if says_something {
            self.gateway.vm_load().record_connect(now, now.since(started));
        }
        let opened = taken.is_ok_and(|connection| !connection.reused);
        if opened || taken.is_err() {
            self.gateway.reachability().record_connect(now, opened);
        }
    }

    /// Records that the upstream has ended its response, before the outcome is known.
    pub(crate) fn release(&mut self) {
        if self.peer.is_none() && !std::mem::replace(&mut self.is_released, true) {
            let now = self.driver.now();
            self.gateway.upstreams().release_place(now, &self.id, AttemptOutcome::Answered);
            self.notify_places();
        }
    }

    /// Wakes up requests that wait for a place at a brittle service.
    fn notify_places(&self) {
        if self.gateway.upstreams().has_brittle() {
            self.gateway.places.notify();
        }
    }

    /// Sets the outcome that is reported on drop.
    pub(crate) fn set_outcome(&mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }

    /// Ends the attempt successfully: the response is complete, and the connection may be reused.
    pub(crate) fn finish(mut self) {
        self.outcome = AttemptOutcome::Answered;
        self.record_answer_end(AnswerEnd::Whole);
        self.record_first_event();
        let Some(connection) = self.connection.take() else {
            return;
        };
        // A connection to a process that has exited must not be reused for the process that has its
        // id now.
        let is_current = self.gateway.upstreams().is_current_process(&self.id, self.process);
        if is_current && !self.closes_connection {
            self.gateway.connections.keep(self.id.clone(), connection, self.keep_alive);
        }
    }
}

impl Drop for UpstreamGuard {
    fn drop(&mut self) {
        if self.peer.is_some() {
            return;
        }
        // A wait that was given up lasted at least this long.
        if let Some(wait) = self.wait.take() {
            self.record_wait(wait);
        }
        self.update_sample(RolloutSample::record_end);
        // A process that was stalled may have missed the response itself.
        let is_uncertain = self.outcome == AttemptOutcome::Failed
            && self.gateway.clock.has_stalled_since(self.sent_at);
        let outcome = if is_uncertain { AttemptOutcome::Unknown } else { self.outcome };
        let now = self.driver.now();
        if self.is_released {
            self.gateway.upstreams().record_outcome(now, &self.id, outcome);
            return;
        }
        self.gateway.upstreams().end_request(now, &self.id, outcome);
        self.notify_places();
    }
}

/// Sends a request to an upstream and waits for the head of its response, until the attempt times
/// out or the request is blocked.
pub(crate) async fn attempt(
    mut guard: UpstreamGuard,
    original: &Original,
    headers: &UpstreamHeaders<'_>,
    timed_out: impl Future<Output = ()>,
    blocked: impl Future<Output = ()>,
) -> AttemptEnd {
    let gateway = Arc::clone(&guard.gateway);
    let request = upstream_request(&gateway, original, headers);
    let sent = tokio::select! {
        sent = send(&guard, request) => sent,
        () = timed_out => {
            guard.record_failure();
            return AttemptEnd::Broken(SILENT);
        }
        () = blocked => {
            guard.record_not_run(AttemptOutcome::Unknown);
            return AttemptEnd::Broken(BLOCKED);
        }
    };
    let Sent { mut response, connection, witness } = match sent {
        Ok(sent) => sent,
        Err(AttemptError::NotSent) => {
            guard.record_not_run(AttemptOutcome::Failed);
            return AttemptEnd::NotSent("unreachable");
        }
        Err(AttemptError::NotAdmitted) => {
            guard.record_not_run(AttemptOutcome::Unknown);
            return AttemptEnd::NotSent(NOT_ADMITTED);
        }
        Err(AttemptError::Broken) => {
            guard.wait = None;
            guard.record_answer_end(AnswerEnd::Failed);
            guard.record_failure();
            return AttemptEnd::Broken(BROKEN);
        }
    };
    let head = (response.status(), response.headers());
    let protocol = &gateway.adapter.protocol;
    if !is_final(head.0) {
        guard.wait = None;
        guard.record_answer_end(AnswerEnd::Failed);
        guard.record_failure();
        return AttemptEnd::Broken("invalid_status");
    }
    let kind = protocol.classify_response(&original.id, &guard.id, head.0, head.1);
    if kind != ResponseKind::Foreign {
        let sender = (&guard.id, guard.process);
        guard.driver.apply_announcement(&gateway, &original.id, sender, head);
    }
    match kind {
        ResponseKind::NotRun => {
            guard.record_not_run(AttemptOutcome::Full);
            return AttemptEnd::NotRun(response.status());
        }
        ResponseKind::Foreign => {
            guard.wait = None;
            guard.record_answer_end(AnswerEnd::Failed);
            guard.record_failure();
            return AttemptEnd::Broken("foreign");
        }
        ResponseKind::Answer => {}
    }
    // An upstream that answers so at the deadline has not failed.
    if response.status().is_server_error() && response.status() != StatusCode::GATEWAY_TIMEOUT {
        guard.record_answer_end(AnswerEnd::Failed);
    }
    guard.keep_alive = keep_alive_timeout(response.headers());
    guard.closes_connection = closes_connection(response.headers());
    let is_framed = is_framed(response.headers(), response.body());
    strip_hop_by_hop(response.headers_mut());
    let (head, body) = response.into_parts();
    let body = body.map_err(|error| BodyBroken::new(&error)).boxed_unsync();
    let framing = if is_framed {
        Framing::Explicit
    } else {
        let witnesses = &gateway.witnesses;
        let witness = witness
            .unwrap_or_else(|| witnesses.attach(&guard.id, guard.address, &guard.question()));
        Framing::Connection(witness.watch(&connection))
    };
    guard.connection = Some(connection);
    AttemptEnd::Answered(Box::new(UpstreamResponse { head, body, framing, guard }))
}

/// A request that was sent and whose response has begun.
struct Sent {
    response: hyper::Response<Incoming>,
    connection: Connection,
    /// The witness that was opened before, if the upstream is known for responses without a length.
    witness: Option<WitnessGuard>,
}

/// The reason why an attempt got no head of a response.
enum AttemptError {
    NotSent,
    /// The upstream accepts no more requests at present.
    NotAdmitted,
    Broken,
}

async fn send(guard: &UpstreamGuard, request: Request<Full<Bytes>>) -> Result<Sent, AttemptError> {
    let connections = &guard.gateway.connections;
    let address = guard.address;
    let started = guard.driver.now();
    let taken = connections.take(&guard.id, address).await;
    guard.record_connect(started, taken.as_ref());
    let mut connection = taken.map_err(|_| AttemptError::NotSent)?;
    let witness = guard.gateway.witnesses.prepare(&guard.id, address).await;
    guard.check_usable()?;
    let request = match connection.send(request).await {
        Ok(response) => return Ok(Sent { response, connection, witness }),
        Err(SendError::Broken) => return Err(AttemptError::Broken),
        Err(SendError::NotSent(request)) if connection.reused => request,
        Err(SendError::NotSent(_)) => return Err(AttemptError::NotSent),
    };
    // The reused connection was closed before the request was sent on it.
    let mut connection = connections.open(address).await.map_err(|_| AttemptError::NotSent)?;
    guard.check_usable()?;
    match connection.send(*request).await {
        Ok(response) => Ok(Sent { response, connection, witness }),
        Err(SendError::Broken) => Err(AttemptError::Broken),
        Err(SendError::NotSent(_)) => Err(AttemptError::NotSent),
    }
}

fn upstream_request(
    gateway: &Gateway,
    original: &Original,
    headers: &UpstreamHeaders<'_>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(original.body.clone()));
    *request.method_mut() = original.head.method.clone();
    *request.uri_mut() = original.head.uri.clone();
    *request.headers_mut() = original.head.headers.clone();
    gateway.adapter.protocol.write_headers(request.headers_mut(), headers);
    request
}

/// Returns whether a status can be that of a final response to a request that asks for no other
/// protocol, by RFC 9110, section 15.
pub(crate) fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns whether a response has no body, or one whose end its headers determine.
///
/// Specification: RFC 9112, section 6.3. A transfer coding takes precedence over a length.
pub(crate) fn is_framed(head: &HeaderMap, body: &Incoming) -> bool {
    body.size_hint().exact().is_some() || is_chunked(head)
}

/// Returns whether the last transfer coding is "chunked".
fn is_chunked(head: &HeaderMap) -> bool {
    let codings = head.get_all(header::TRANSFER_ENCODING).iter().next_back();
    let last = codings.and_then(|codings| codings.to_str().ok()?.rsplit(',').next());
    last.is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked"))
}

/// Returns whether the sender of a head closes the connection after the message.
pub(crate) fn closes_connection(head: &HeaderMap) -> bool {
    let values = head.get_all(header::CONNECTION);
    values.iter().any(|v| v.to_str().is_ok_and(|v| v.to_ascii_lowercase().contains("close")))
}
