//! Forwards a streamed response event by event, and resumes it at another upstream where the route
//! allows that.

use std::time::Duration;

use badgerfield_core::amount::{Time, Tokens};
use badgerfield_core::answer_record::AnswerEnd;
use badgerfield_core::event_stream::{EventScanner, MAX_EVENT_BYTES, SourceFault, StreamFault};
use badgerfield_core::ids::UpstreamId;
use badgerfield_core::upstream_table::AttemptOutcome;
use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::http::response;
use hyper::{Response, StatusCode};

use crate::gateway::attempt::{
    BLOCKED, BROKEN, CUT, DOUBTED, Framing, SILENT, UNCONFIRMED, UNPROVED, UpstreamBody,
    UpstreamGuard, UpstreamResponse,
};
use crate::gateway::crash_check::Progress;
use crate::gateway::exchange::{
    Exchange, MAX_IN_FLIGHT_EVENTS, OtherVersion, ResponseBody, ResponseTruncated, StreamVersion,
};
use crate::gateway::request_log;
use crate::gateway::unframed_end::{MAX_JUDGE_TIME, UnframedEnd};

/// The timeout for the next event of a resumable stream, in multiples of the route's target for the
/// longest pause between two events.
const PAUSE_TIMEOUT_FACTOR: u32 = 4;

/// The outcome of a stream whose next events come from another version than the one that began it.
const OTHER_VERSION: &str = "other_version";
/// The outcome of a response that ended in good order within an event.
const PARTIAL_EVENT: &str = "partial_event";
/// The outcome of a response that resumed a stream and ended before an event that had arrived.
const ENDS_EARLY: &str = "ends_early";
/// The outcome of a response that resumed a stream within an event and does not contain that event.
const MISSING_EVENT: &str = "missing_event";
/// The outcome of a response whose events went back to an earlier one.
const FALLEN_BACK: &str = "events_go_back";
/// The outcome of a response that should resume a stream and is none, by its head or its text.
const NO_STREAM: &str = "no_stream";

/// A stream that is forwarded to the caller.
#[derive(Debug)]
struct Relay {
    exchange: Exchange,
    source: Option<Source>,
    scanner: EventScanner,
    /// The format of the first response.
    content_type: Option<HeaderValue>,
    status: u16,
    ended: bool,
}

/// The upstream connection that a stream is read from.
#[derive(Debug)]
struct Source {
    body: UpstreamBody,
    framing: Framing,
    guard: UpstreamGuard,
    /// Whether an event has arrived from this upstream.
    has_begun: bool,
    /// The number of events that had been passed on when it resumed the stream; `None` if it began
    /// the stream.
    resumed_at: Option<u64>,
    /// The doubt about the end of the stream of the upstream before, until this one settles it.
    doubt: Option<Doubt>,
}

/// The doubt whether a stream was whole when its upstream ended it.
#[derive(Debug, Clone)]
struct Doubt {
    upstream: UpstreamId,
    /// Whether the stream counts as whole if nobody tells otherwise.
    is_slight: bool,
}

impl Source {
    /// Records how the stream of the upstream before has ended, if that was doubted.
    fn settle_doubt(&mut self, end: AnswerEnd) {
        if let Some(doubt) = self.doubt.take() {
            self.guard.record_end_of_other(&doubt.upstream, end);
        }
    }
}

/// The result of reading from the upstream.
enum ReadResult {
    Data(Bytes),
    End,
    Broken(&'static str),
    OutOfTime,
}

/// Starts to forward a stream.
pub(crate) fn start(exchange: Exchange, response: Box<UpstreamResponse>) -> Response<ResponseBody> {
    let UpstreamResponse { head, body, framing, guard } = *response;
    let scanner = EventScanner::resume_after(exchange.headers.last_event);
    let status = head.status.as_u16();
    let source =
        Some(Source { body, framing, guard, has_begun: false, resumed_at: None, doubt: None });
    let content_type = head.headers.get(CONTENT_TYPE).cloned();
    let relay = Relay { exchange, source, scanner, content_type, status, ended: false };
    let parts = stream::unfold(relay, |mut relay| async move {
        let part = relay.next().await?;
        Some((part.map(Frame::data), relay))
    });
    Response::from_parts(head, StreamBody::new(parts).boxed_unsync())
}

/// Returns whether a format is that of a stream of events.
fn is_event_stream(content_type: Option<&HeaderValue>) -> bool {
    let value = content_type.and_then(|value| value.to_str().ok());
    let essence = value.and_then(|value| value.split(';').next());
    essence.is_some_and(|essence| essence.trim().eq_ignore_ascii_case("text/event-stream"))
}

impl Relay {
    /// Returns the next bytes for the caller, or `None` after the last.
    async fn next(&mut self) -> Option<Result<Bytes, ResponseTruncated>> {
        loop {
            if self.ended {
                return None;
            }
            if let Some(fault) = self.scanner.source_fault() {
                let reason = match fault {
                    SourceFault::FallenBack => FALLEN_BACK,
                    SourceFault::LeavesOut => MISSING_EVENT,
                    SourceFault::NoEvents => NO_STREAM,
                };
                if let Some(failure) = self.resume_elsewhere(reason, Some(false)).await {
                    return Some(failure);
                }
                continue;
            }
            match self.read().await {
                ReadResult::Data(bytes) => {
                    let events = self.scanner.push(&bytes);
                    if self.scanner.partial_event().len() > MAX_EVENT_BYTES {
                        return Some(self.fail("event_too_large"));
                    }
                    if events.is_empty() {
                        continue;
                    }
                    self.exchange.record_events();
                    self.record_continued();
                    if self.record_begun().is_err() {
                        return Some(self.fail(OTHER_VERSION));
                    }
                    self.record_usage(0);
                    return Some(Ok(events));
                }
                ReadResult::End => match self.judge_end().await {
                    Ok(()) => {
                        let tail = self.scanner.take_partial();
                        self.finish();
                        return (!tail.is_empty()).then_some(Ok(tail));
                    }
                    Err((reason, has_crashed)) => {
                        if let Some(failure) = self.resume_elsewhere(reason, has_crashed).await {
                            return Some(failure);
                        }
                    }
                },
                ReadResult::Broken(reason) => {
                    if let Some(failure) = self.resume_elsewhere(reason, None).await {
                        return Some(failure);
                    }
                }
                ReadResult::OutOfTime => return Some(self.fail("out_of_time")),
            }
        }
    }

    /// Judges the end of the response of an upstream.
    ///
    /// # Errors
    ///
    /// Returns why the stream is not whole, and whether the upstream has crashed, if that is known.
    async fn judge_end(&mut self) -> Result<(), (&'static str, Option<bool>)> {
        let fault = self.content_fault();
        if self.is_framed() {
            // The upstream has ended its response itself.
            return fault.map_or(Ok(()), |reason| Err((reason, Some(false))));
        }
        let names_other_format = self.content_type.is_some() && !self.has_events();
        if !names_other_format && self.is_within_event() {
            return Err((CUT, None));
        }
        if let Some(reason) = fault {
            return Err((reason, None));
        }
        match self.judge_unframed_end().await {
            UnframedEnd::Whole => Ok(()),
            UnframedEnd::Crashed => Err((CUT, Some(true))),
            UnframedEnd::Unproved => Err((UNPROVED, Some(false))),
            UnframedEnd::Doubted => Err((DOUBTED, Some(false))),
            UnframedEnd::Unconfirmed => Err((UNCONFIRMED, Some(false))),
        }
    }

    /// Returns whether the response is a stream of events.
    fn has_events(&self) -> bool {
        let is_resumed = self.source.as_ref().is_some_and(|source| source.resumed_at.is_some());
        is_resumed || self.scanner.event_count() > 0 || is_event_stream(self.content_type.as_ref())
    }

    /// Returns whether the received bytes end within a line or an event. A comment that has arrived
    /// whole is no part of an event.
    fn is_within_event(&self) -> bool {
        self.scanner.is_within_line() || self.scanner.check_end() == Err(StreamFault::PartialEvent)
    }

    /// Returns why the events show that the stream is not whole. A response in another format is
    /// passed on as it is.
    fn content_fault(&self) -> Option<&'static str> {
        let fault = self.has_events().then(|| self.scanner.check_end().err()).flatten()?;
        Some(match fault {
            StreamFault::PartialEvent => PARTIAL_EVENT,
            StreamFault::EndsEarly => ENDS_EARLY,
            StreamFault::MissingEvent => MISSING_EVENT,
        })
    }

    /// Returns whether the head of a response can be that of the rest of the stream.
    fn continues_stream(&self, head: &response::Parts) -> bool {
        head.status == StatusCode::NO_CONTENT
            || is_event_stream(head.headers.get(CONTENT_TYPE))
            || head
                .headers
                .get(CONTENT_TYPE)
                .is_none_or(|kind| Some(kind) == self.content_type.as_ref())
    }

    /// Records the arrival of events. The first event shows that the upstream runs the request.
    ///
    /// # Errors
    ///
    /// Fails if another version began the stream.
    fn record_begun(&mut self) -> Result<(), OtherVersion> {
        let Some(source) = self.source.as_mut().filter(|source| !source.has_begun) else {
            return Ok(());
        };
        source.has_begun = true;
        source.guard.record_first_event();
        let version = source.guard.version;
        let exchange = &mut self.exchange;
        exchange.record_begun_parts();
        let (id, took) = (&exchange.original.id, exchange.elapsed());
        request_log::begun(id, exchange.attempts, &source.guard.id, version, took);
        exchange.bind_stream(version)
    }

    /// Records that the stream has gone on after an end that was doubted.
    fn record_continued(&mut self) {
        let event_count = self.scanner.event_count();
        let Some(source) = self.source.as_mut() else {
            return;
        };
        if source.resumed_at.is_some_and(|resumed_at| event_count > resumed_at) {
            source.settle_doubt(AnswerEnd::BrokenOff);
        }
    }

    /// Reads the next part of the response from the upstream.
    async fn read(&mut self) -> ReadResult {
        let (started, deadline) = (self.exchange.now(), self.exchange.deadline());
        loop {
            let wait_start = self.exchange.now();
            let read_deadline = self.read_deadline(wait_start).min(deadline);
            let Some(source) = self.source.as_mut() else {
                return ReadResult::Broken("no_upstream");
            };
            let upstream = &source.guard.id;
            let exchange = &self.exchange;
            let clock = &exchange.driver.clock;
            let frame = clock.timeout_at(read_deadline, source.body.frame());
            let is_blockable = !source.has_begun;
            let blocked = async move {
                if is_blockable {
                    exchange.until_blocked().await;
                } else {
                    // Once events arrive, the request is no danger to the upstream that sends them.
                    std::future::pending::<()>().await;
                }
            };
            let frame = tokio::select! {
                frame = frame => frame,
                () = blocked => return ReadResult::Broken(BLOCKED),
            };
            return match frame {
                Ok(Some(Ok(frame))) => ReadResult::Data(frame.into_data().unwrap_or_default()),
                Ok(Some(Err(error))) => {
                    source.guard.record_answer_end(error.answer_end());
                    ReadResult::Broken(BROKEN)
                }
                Ok(None) => ReadResult::End,
                Err(_) if exchange.now() >= deadline => ReadResult::OutOfTime,
                // The upstream may have sent data while this process was stalled.
                Err(_) if clock.has_stalled_since(wait_start) => continue,
                Err(_) if exchange.has_other_upstream(exchange.attempts) => {
                    ReadResult::Broken(SILENT)
                }
                Err(_) => {
                    // The upstream may still continue, and no other one is available.
                    let (id, attempts) = (&exchange.original.id, exchange.attempts);
                    let silent = exchange.now().since(started);
                    request_log::waits_on(id, attempts, Some(upstream), silent);
                    continue;
                }
            };
        }
    }

    /// Returns the deadline for the next bytes of this upstream.
    fn read_deadline(&self, now: Time) -> Time {
        let deadline = self.exchange.deadline();
        let route = &self.exchange.route;
        let Some(pause) = route.pause.filter(|_| self.can_resume()) else {
            return deadline;
        };
        let span = if self.scanner.event_count() == 0 { route.objective.max(pause) } else { pause };
        // A peer holds back the end of a response until it has judged it.
        let is_forwarded =
            self.source.as_ref().is_some_and(|source| source.guard.peer_verdict().is_some());
        let judge_time = if is_forwarded { MAX_JUDGE_TIME } else { Duration::ZERO };
        now.after(span.saturating_mul(PAUSE_TIMEOUT_FACTOR).saturating_add(judge_time))
    }

    fn can_resume(&self) -> bool {
        self.exchange.route.repeat.is_idempotent()
            && self.exchange.has_attempts_left()
            && self.exchange.stream_version != StreamVersion::Unknown
            && self.scanner.is_resumable()
    }

    fn is_framed(&self) -> bool {
        self.source.as_ref().is_some_and(|source| matches!(source.framing, Framing::Explicit))
    }

    /// Judges the end of a response without a length.
    async fn judge_unframed_end(&mut self) -> UnframedEnd {
        let can_confirm =
            self.can_resume() && self.exchange.has_other_upstream(self.exchange.attempts);
        let Some(Source { framing: Framing::Connection(witness), guard, has_begun, .. }) =
            &mut self.source
        else {
            return UnframedEnd::Unproved;
        };
        guard.release();
        let progress = Progress { last_event: self.scanner.last_event_id(), has_begun: *has_begun };
        let upstream = (&guard.id, guard.address);
        self.exchange.judge_unframed_end(upstream, progress, witness, (can_confirm, false)).await
    }

    /// Resumes the stream at another upstream. `has_crashed` tells whether the earlier upstream has
    /// crashed, if that is known. Returns the final error if the stream cannot be resumed.
    async fn resume_elsewhere(
        &mut self,
        reason: &'static str,
        has_crashed: Option<bool>,
    ) -> Option<Result<Bytes, ResponseTruncated>> {
        let Some(mut source) = self.source.take() else {
            return Some(self.fail(reason));
        };
        self.log_resumption(&source, reason);
        match reason {
            BLOCKED => source.guard.record_not_run(AttemptOutcome::Unknown),
            // It may be whole.
            DOUBTED | UNCONFIRMED => source.guard.set_outcome(AttemptOutcome::Unknown),
            _ => source.guard.record_failure(),
        }
        if let Some(end) = self.proved_end(reason) {
            source.guard.record_answer_end(end);
        }
        let (from, address) = (source.guard.id.clone(), source.guard.address);
        let (peer, has_begun) = (source.guard.peer_verdict(), source.has_begun);
        let pending = source.doubt.take().filter(|_| self.scanner.check_end().is_ok());
        // The earlier upstream stops its work when the connection closes.
        drop(source);
        let is_disconnected = reason == BROKEN || reason == CUT;
        let progress = Progress { last_event: self.scanner.last_event_id(), has_begun };
        let has_crashed = match (has_crashed, peer) {
            (Some(has_crashed), _) => has_crashed,
            (None, Some(verdict)) => verdict.has_crashed(),
            (None, None) => {
                is_disconnected && self.exchange.detect_crash(&from, address, progress).await
            }
        };
        // An upstream that has not crashed may have generated more than arrived here.
        self.exchange.has_unseen_output |= !has_crashed;
        let doubt = match reason {
            DOUBTED => Some(Doubt { upstream: from.clone(), is_slight: false }),
            UNCONFIRMED => Some(Doubt { upstream: from.clone(), is_slight: true }),
            _ => pending,
        };
        if !self.can_resume() {
            return self.give_up(reason, doubt);
        }
        self.scanner.start_source();
        let last = self.scanner.last_event_id();
        request_log::resumed(&self.exchange.original.id, &from, last, reason);
        self.dispatch_rest(last, doubt).await
    }

    /// Sends the request to upstreams until one sends the rest of the stream. Returns the final error
    /// if none does.
    async fn dispatch_rest(
        &mut self,
        last: Option<u64>,
        doubt: Option<Doubt>,
    ) -> Option<Result<Bytes, ResponseTruncated>> {
        loop {
            let response = match self.exchange.dispatch(last).await {
                Ok(response) if response.head.status.is_success() => response,
                Ok(_) => return self.give_up("resume_failed", doubt),
                Err(refusal) => return self.give_up(refusal.cause.code(), doubt),
            };
            if self.continues_stream(&response.head) {
                let UpstreamResponse { body, framing, guard, .. } = *response;
                let resumed_at = Some(self.scanner.event_count());
                let has_begun = false;
                self.source = Some(Source { body, framing, guard, has_begun, resumed_at, doubt });
                return None;
            }
            let mut guard = response.guard;
            guard.record_answer_end(AnswerEnd::Failed);
            guard.record_failure();
            let (exchange, elapsed) = (&self.exchange, self.exchange.elapsed());
            let (id, attempts) = (&exchange.original.id, exchange.attempts);
            request_log::attempt_failed(id, attempts, Some(&guard.id), NO_STREAM, elapsed);
            if !self.can_resume() {
                return self.give_up(NO_STREAM, doubt);
            }
        }
    }

    /// Ends a stream that no upstream resumes. With no more than a slight doubt it counts as whole.
    fn give_up(
        &mut self,
        reason: &str,
        doubt: Option<Doubt>,
    ) -> Option<Result<Bytes, ResponseTruncated>> {
        let Some(doubt) = doubt.filter(|doubt| doubt.is_slight) else {
            return Some(self.fail(reason));
        };
        self.finish_at(Some(&doubt.upstream));
        None
    }

    /// Returns how the response of an upstream has provably ended.
    fn proved_end(&self, reason: &str) -> Option<AnswerEnd> {
        match reason {
            PARTIAL_EVENT | FALLEN_BACK => Some(AnswerEnd::BrokenOff),
            CUT if self.is_within_event() => Some(AnswerEnd::BrokenOff),
            ENDS_EARLY | MISSING_EVENT | NO_STREAM => Some(AnswerEnd::Failed),
            _ => None,
        }
    }

    /// Logs what an upstream that resumed the stream has added to it.
    fn log_resumption(&self, source: &Source, outcome: &str) {
        let Some(resumed_at) = source.resumed_at else {
            return;
        };
        let events = self.scanner.event_count().saturating_sub(resumed_at);
        request_log::resumption(&self.exchange.original.id, &source.guard.id, events, outcome);
    }

    /// Records the tokens that were generated, including `in_flight` events that may not have
    /// arrived.
    fn record_usage(&mut self, in_flight: u64) {
        let (prompt, output) = self.exchange.headers.tokens.unwrap_or_default();
        let events = self.scanner.event_count() + in_flight;
        let generated = events.saturating_mul(self.exchange.tokens_per_event()).min(output);
        let Some(reservation) = self.exchange.reservation.as_mut() else {
            return;
        };
        reservation.record_used(Tokens(prompt.saturating_add(generated)));
    }

    fn finish(&mut self) {
        let source = self.source.take();
        let upstream = source.as_ref().map(|source| source.guard.id.clone());
        if let Some(mut source) = source {
            self.log_resumption(&source, "served");
            source.settle_doubt(AnswerEnd::Whole);
            source.guard.finish();
        }
        self.exchange.record_stream_timing();
        self.finish_at(upstream.as_ref());
    }

    /// Records that the stream is whole, by its last upstream.
    fn finish_at(&mut self, upstream: Option<&UpstreamId>) {
        self.ended = true;
        self.exchange.record_served();
        self.exchange.record_end("served", self.status, upstream, self.scanner.event_count());
    }

    fn fail(&mut self, reason: &str) -> Result<Bytes, ResponseTruncated> {
        self.ended = true;
        let source = self.source.take();
        if let Some(source) = &source {
            self.log_resumption(source, reason);
        }
        let upstream = source.map(|source| source.guard.id.clone());
        self.record_usage(MAX_IN_FLIGHT_EVENTS);
        self.exchange.record_end(
            reason,
            self.status,
            upstream.as_ref(),
            self.scanner.event_count(),
        );
        Err(ResponseTruncated)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        // The caller disconnected. The upstream is notified by closing its connection.
        self.record_usage(MAX_IN_FLIGHT_EVENTS);
        let source = self.source.take();
        // A peer watches the upstreams to which it has sent a request itself.
        let is_watched =
            |source: &&Source| !source.has_begun && source.guard.peer_verdict().is_none();
        if let Some(source) = source.as_ref().filter(is_watched) {
            self.exchange.watch_abandoned(&source.guard.id, source.guard.address);
        }
        let upstream = source.map(|source| source.guard.id.clone());
        self.exchange.record_end(
            "caller_left",
            self.status,
            upstream.as_ref(),
            self.scanner.event_count(),
        );
    }
}
