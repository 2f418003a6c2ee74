//! The steps of one request, from its head to settlement.
//!
//! 1. Read the head and find the route.
//! 2. Authenticate the caller by its key.
//! 3. Read the body.
//! 4. Reserve the most tokens that the request can cost.
//! 5. Send it to an upstream, and to another one where the route allows retries.
//! 6. Forward the response: in one piece if it is plain, event by event if it is a stream.
//! 7. Settle the cost.
//!
//! Every request ends with one [`request_log::ended`] line. A refusal with the outcome "not run" is
//! only returned if no upstream can have started on the request.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use badgerfield_core::amount::{Time, Tokens};
use badgerfield_core::answer_record::AnswerEnd;
use badgerfield_core::ids::{Service, UpstreamId, VersionTag};
use badgerfield_core::overload;
use badgerfield_core::poison::Fingerprint;
use badgerfield_core::refusal::{Cause, Refusal};
use badgerfield_core::request_mix::ObservedTiming;
use badgerfield_core::residency::Admission;
use badgerfield_core::routing::{Caller, Route, ServiceSpec};
use badgerfield_core::upstream_table::AttemptOutcome;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::http::response;
use hyper::{Request, Response, StatusCode};
use thiserror::Error;

use crate::adapter::RequestHeaders;
use crate::driver::Driver;
use crate::gateway::admit::admit;
use crate::gateway::attempt::{
    BROKEN, BodyBroken, CUT, DOUBTED, Framing, Original, UNPROVED, UpstreamResponse,
};
use crate::gateway::crash_check::Progress;
use crate::gateway::refusals::{record_refused, refusal_response};
use crate::gateway::relay;
use crate::gateway::request_log::{self, Timing};
use crate::gateway::reservation::Reservation;
use crate::gateway::state::{Gateway, OpenRequest};
use crate::gateway::unframed_end::{AT_ONCE, UnframedEnd};

/// The maximum size of a plain response, in bytes.
const MAX_PLAIN_BYTES: usize = 16 << 20;
/// The maximum number of events in flight from an upstream when its response ends early.
pub(super) const MAX_IN_FLIGHT_EVENTS: u64 = 4;
/// How long a caller should wait before retrying while this process cannot serve yet or no upstream
/// is available.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The response ended early. Its connection must not close as if the response were complete.
#[derive(Debug, Clone, Copy, Error)]
#[error("the response ended before it was complete")]
pub(crate) struct ResponseTruncated;

/// The events of an upstream do not fit to those that another version has sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("another version began the stream")]
pub(super) struct OtherVersion;

/// The body of a response.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, ResponseTruncated>;

/// The last dispatch of a request to an upstream.
#[derive(Debug, Clone, Copy)]
pub(super) struct LastDispatch {
    /// When the request was sent.
    pub(super) at: Time,
    /// How many crashes of the upstream under this request were known at that time.
    pub(super) prior_crashes: u32,
    /// Whether it went through a peer.
    pub(super) through_peer: bool,
}

/// The version of upstreams' software that began a stream. Only upstreams of this version can
/// continue it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamVersion {
    /// No event has been passed on.
    NotBegun,
    /// This version sent the first event.
    Begun(VersionTag),
    /// An upstream whose version is not known sent the first event.
    Unknown,
}

impl StreamVersion {
    /// Returns the version that upstreams must have.
    pub(crate) fn bound(self) -> Option<VersionTag> {
        match self {
            Self::Begun(version) => Some(version),
            Self::NotBegun | Self::Unknown => None,
        }
    }
}

/// A request in progress.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) driver: Arc<Driver>,
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) original: Original,
    pub(crate) headers: RequestHeaders,
    pub(crate) route: Arc<Route>,
    pub(crate) spec: ServiceSpec,
    pub(crate) reservation: Option<Reservation>,
    pub(super) service: Service,
    pub(super) caller: Option<Caller>,
    /// The template version and the regions that the request was admitted with.
    pub(super) admission: Admission,
    pub(super) arrived_at: Time,
    pub(super) deadline: Time,
    pub(super) tried: Vec<UpstreamId>,
    pub(super) attempts: u32,
    /// The upstream of the current attempt, until the head of its response arrives.
    pub(super) current_upstream: Option<(UpstreamId, SocketAddr)>,
    /// The last dispatch to an upstream.
    pub(super) last_dispatch: LastDispatch,
    pub(super) may_have_run: bool,
    /// Whether an upstream may have generated output that did not arrive here.
    pub(super) has_unseen_output: bool,
    /// The fingerprint of the request, once computed.
    pub(super) fingerprint: OnceLock<Fingerprint>,
    /// Whether it tries a blocked part of its prompt.
    pub(super) is_trial: AtomicBool,
    /// The fingerprints of the shared parts of its prompt, once computed.
    pub(super) part_fingerprints: OnceLock<Vec<Fingerprint>>,
    pub(super) timing: Timing,
    /// The prompt tokens that the upstream is expected to read.
    pub(super) uncached_tokens: u64,
    /// The version that began the stream.
    pub(super) stream_version: StreamVersion,
    /// Whether the end of the request has been recorded.
    pub(super) ended: bool,
    pub(super) _open_request: OpenRequest,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        if let Some((upstream, address)) = &self.current_upstream {
            self.watch_abandoned(upstream, *address);
        }
        // The caller disconnected before any response. Without this log line its tokens would
        // appear to be reserved forever.
        let upstream = self.tried.last().cloned();
        self.record_end("caller_left", 0, upstream.as_ref(), 0);
    }
}

/// Serves one request of a caller.
pub(crate) async fn serve(
    driver: Arc<Driver>,
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrived_at = driver.now();
    let open_request = gateway.track_request();
    let admitted = admit(Arc::clone(&driver), gateway, request, arrived_at, open_request).await;
    match admitted {
        Ok(exchange) => run(exchange).await,
        Err((id, refusal)) => {
            let id = id.as_deref().unwrap_or("-");
            record_refused(id, &refusal, 0, None, driver.now().since(arrived_at));
            refusal_response(&refusal)
        }
    }
}

/// Runs steps 5 to 7: dispatch, response and settlement.
async fn run(mut exchange: Exchange) -> Response<ResponseBody> {
    if let Err(cause) = exchange.find_stream_version().await {
        let refusal = exchange.final_refusal(cause);
        return exchange.refuse(&refusal);
    }
    loop {
        let response = match exchange.dispatch(None).await {
            Ok(response) => response,
            Err(refusal) => return exchange.refuse(&refusal),
        };
        if exchange.route.repeat.is_stream() && response.head.status.is_success() {
            return relay::start(exchange, response);
        }
        let (upstream, address) = (response.guard.id.clone(), response.guard.address);
        let peer = response.guard.peer_verdict();
        match exchange.collect(response).await {
            Ok((head, body)) => {
                exchange.record_begun_parts();
                exchange.record_served();
                exchange.record_end("served", head.status.as_u16(), Some(&upstream), 0);
                let body = Full::new(body).map_err(|never| match never {}).boxed_unsync();
                return Response::from_parts(head, body);
            }
            Err(reason) => {
                // A poison request may also crash an upstream in the middle of the response.
                let has_crashed = match peer {
                    Some(verdict) => verdict.has_crashed(),
                    None => {
                        reason == CUT
                            || (reason == BROKEN
                                && exchange.detect_crash(&upstream, address, Progress::NONE).await)
                    }
                };
                exchange.has_unseen_output |= !has_crashed;
                request_log::attempt_failed(
                    &exchange.original.id,
                    exchange.attempts,
                    Some(&upstream),
                    reason,
                    exchange.elapsed(),
                );
                if !exchange.route.repeat.is_idempotent() {
                    return exchange.refuse(&Refusal::may_have_run(Cause::BrokenOff));
                }
            }
        }
    }
}

impl Exchange {
    /// Returns the current time of the process.
    pub(crate) fn now(&self) -> Time {
        self.driver.now()
    }

    /// Returns the time since the request arrived.
    pub(crate) fn elapsed(&self) -> Duration {
        self.now().since(self.arrived_at)
    }

    /// Returns the time by which the request must have its final response.
    pub(crate) fn deadline(&self) -> Time {
        self.deadline
    }

    /// Returns whether the attempt limit of the route allows another attempt.
    pub(crate) fn has_attempts_left(&self) -> bool {
        self.attempts < self.route.attempts
    }

    /// Records that an upstream has read the prompt.
    pub(super) fn record_prompt(&mut self, status: StatusCode) {
        let prompt = self.headers.tokens.map_or(0, |(prompt, _)| prompt);
        if let Some(reservation) = self.reservation.as_mut().filter(|_| status.is_success()) {
            reservation.record_used(Tokens(prompt));
        }
    }

    /// Reads a plain response to its end.
    async fn collect(
        &mut self,
        response: Box<UpstreamResponse>,
    ) -> Result<(response::Parts, Bytes), &'static str> {
        let UpstreamResponse { head, body, framing, mut guard } = *response;
        let started = self.now();
        let body = Limited::new(body, MAX_PLAIN_BYTES).collect();
        match self.driver.clock.timeout_at(self.deadline, body).await {
            Ok(Ok(body)) => {
                if let Framing::Connection(witness) = &framing {
                    guard.release();
                    let upstream = (&guard.id, guard.address);
                    let kind = (false, self.now().since(started) <= AT_ONCE);
                    let end =
                        self.judge_unframed_end(upstream, Progress::NONE, witness, kind).await;
                    let failure = match end {
                        UnframedEnd::Whole | UnframedEnd::Unconfirmed => None,
                        UnframedEnd::Crashed => Some(CUT),
                        UnframedEnd::Unproved => Some(UNPROVED),
                        UnframedEnd::Doubted => Some(DOUBTED),
                    };
                    if let Some(failure) = failure {
                        if failure == DOUBTED {
                            // It may be whole.
                            guard.set_outcome(AttemptOutcome::Unknown);
                        } else {
                            guard.record_failure();
                        }
                        return Err(failure);
                    }
                }
                if head.status.is_server_error() {
                    guard.record_failure();
                    drop(guard);
                } else {
                    guard.finish();
                }
                Ok((head, body.to_bytes()))
            }
            Ok(Err(error)) => {
                let broken = error.downcast_ref::<BodyBroken>();
                let end = broken.map_or(AnswerEnd::Failed, |broken| broken.answer_end());
                guard.record_answer_end(end);
                guard.record_failure();
                Err(BROKEN)
            }
            Err(_) => {
                guard.record_failure();
                Err("late")
            }
        }
    }

    /// Returns the final refusal. Its outcome is "not run" only if no upstream can have started.
    pub(super) fn final_refusal(&mut self, cause: Cause) -> Refusal {
        if self.may_have_run {
            self.charge_unseen();
            let cause = if cause == Cause::OutOfTime { cause } else { Cause::BrokenOff };
            return Refusal::may_have_run(cause);
        }
        let cause = if cause == Cause::OutOfTime { Cause::Overloaded } else { cause };
        let retry_after = match cause {
            Cause::NoUpstream => self.time_until_upstream(),
            Cause::EndsUpstreams => self.blocked_for(),
            _ => None,
        };
        let retry_after = retry_after.unwrap_or_else(|| overload::retry_delay(rand::random()));
        Refusal::not_run(cause).with_retry_after(retry_after)
    }

    /// Returns the time until the first upstream that is cold, backing off or rate-limited accepts
    /// a request again, if it is known. A random delay spreads the callers that wait for the last
    /// two.
    fn time_until_upstream(&self) -> Option<Duration> {
        let now = self.now();
        let (until_warm, until_admitted) = {
            let upstreams = self.gateway.upstreams();
            (
                upstreams.time_until_warm(now, &self.service),
                upstreams.time_until_admitted(now, &self.service),
            )
        };
        let spread = overload::retry_delay(rand::random());
        let until_admitted = until_admitted.map(|span| span.saturating_add(spread));
        until_warm.into_iter().chain(until_admitted).min()
    }

    /// Records the tokens that upstreams may have generated without their arriving here.
    ///
    /// This is the whole reservation, unless every upstream that worked on the request has crashed:
    /// a crashed upstream had sent all its output except for a few events in flight.
    fn charge_unseen(&mut self) {
        let (prompt, _) = self.headers.tokens.unwrap_or_default();
        let in_flight = self.tokens_per_event().saturating_mul(MAX_IN_FLIGHT_EVENTS);
        let has_unseen_output = self.has_unseen_output;
        if let Some(reservation) = self.reservation.as_mut() {
            let reserved = reservation.reserved();
            let prompt_and_in_flight = Tokens(prompt.saturating_add(in_flight));
            reservation.record_used(if has_unseen_output {
                reserved
            } else {
                prompt_and_in_flight
            });
        }
    }

    fn refuse(&mut self, refusal: &Refusal) -> Response<ResponseBody> {
        let status = refusal.cause.status();
        self.record_end(refusal.cause.code(), status, self.tried.last().cloned().as_ref(), 0);
        refusal_response(refusal)
    }

    /// Records the end of the request.
    pub(crate) fn record_end(
        &mut self,
        outcome: &str,
        status: u16,
        upstream: Option<&UpstreamId>,
        events: u64,
    ) {
        self.ended = true;
        let reservation = self.reservation.as_ref();
        let tokens = reservation.map_or((0, 0), |r| (r.reserved().0, r.used().0));
        self.driver.gateway_counts().count_end(outcome, self.elapsed());
        request_log::ended(&request_log::RequestEnd {
            id: &self.original.id,
            outcome,
            status,
            attempts: self.attempts,
            upstream,
            took: self.elapsed(),
            events,
            tokens,
            timing: self.timing,
        });
    }

    /// Returns the number of tokens in one event of a stream.
    pub(crate) fn tokens_per_event(&self) -> u64 {
        self.spec.engine.as_ref().map_or(1, |engine| engine.stride)
    }

    /// Records the timing of a stream that an engine served completely, for the requests that
    /// follow.
    pub(crate) fn record_stream_timing(&self) {
        let Timing { sent: Some(sent), first: Some(first), last: Some(last), .. } = self.timing
        else {
            return;
        };
        // The timing of a stream that two engines shared describes neither of them, and only a peer
        // knows which part of the prompt its upstream had cached.
        if self.attempts != 1 || self.last_dispatch.through_peer {
            return;
        }
        let timing = ObservedTiming {
            uncached_tokens: self.uncached_tokens,
            time_to_first: first.saturating_sub(sent),
            stream_time: last.saturating_sub(first),
        };
        self.gateway.upstreams().record_timing(&self.service, &self.route.name, &timing);
    }

    /// Records the arrival of events from an upstream.
    pub(crate) fn record_events(&mut self) {
        self.timing.record_events(self.elapsed());
    }
}
