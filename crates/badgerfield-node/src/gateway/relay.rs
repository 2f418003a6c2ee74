//! Passes a streamed answer on, event by event, and lets it go on at another upstream
//! where the route allows that.

use badgerfield_core::amount::{Time, Tokens};
use badgerfield_core::event_stream::{EventScanner, MAX_EVENT_BYTES};
use badgerfield_core::upstream_table::AttemptOutcome;
use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::{Frame, Incoming};

use crate::gateway::attempt::{Answered, BLOCKED, BROKEN, CUT, SILENT, UpstreamHold};
use crate::gateway::flow::{AnswerBody, BrokenOff, Exchange, UNDER_WAY};
use crate::gateway::record;

/// How many times the wanted pause a resumable stream waits for one upstream.
const PATIENCE: u32 = 4;

/// A stream on its way to the caller.
#[derive(Debug)]
struct Relay {
    exchange: Exchange,
    source: Option<Source>,
    scanner: EventScanner,
    status: u16,
    ended: bool,
}

/// The upstream that a stream comes from.
#[derive(Debug)]
struct Source {
    body: Incoming,
    framed: bool,
    hold: UpstreamHold,
    /// Whether an event has come from it.
    has_begun: bool,
}

/// What came of waiting for the upstream.
enum Step {
    Data(Bytes),
    End,
    Broken(&'static str),
    OutOfTime,
}

/// Starts to pass a stream on.
pub(crate) fn start(exchange: Exchange, answered: Box<Answered>) -> Response<AnswerBody> {
    let Answered { head, body, framed, hold } = *answered;
    let scanner = EventScanner::resume_after(exchange.terms.last_event);
    let status = head.status.as_u16();
    let source = Some(Source { body, framed, hold, has_begun: false });
    let relay = Relay { exchange, source, scanner, status, ended: false };
    let parts = stream::unfold(relay, |mut relay| async move {
        let part = relay.next().await?;
        Some((part.map(Frame::data), relay))
    });
    Response::from_parts(head, StreamBody::new(parts).boxed_unsync())
}

impl Relay {
    /// Returns the next bytes for the caller, or nothing after the last.
    async fn next(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        loop {
            if self.ended {
                return None;
            }
            match self.step().await {
                Step::Data(bytes) => {
                    let whole = self.scanner.push(&bytes);
                    if self.scanner.partial_event().len() > MAX_EVENT_BYTES {
                        return Some(self.break_off("event_too_large"));
                    }
                    if whole.is_empty() {
                        continue;
                    }
                    self.exchange.note_events();
                    self.note_begun();
                    self.count(0);
                    return Some(Ok(whole));
                }
                // The upstream said that its answer is whole, whatever its form.
                Step::End if self.source.as_ref().is_some_and(|source| source.framed) => {
                    let rest = self.scanner.take_partial();
                    self.finish();
                    return (!rest.is_empty()).then_some(Ok(rest));
                }
                Step::End
                    if self.scanner.partial_event().is_empty()
                        && !self.ends_with_upstream().await =>
                {
                    self.finish();
                    return None;
                }
                Step::End => {
                    if let Some(broken) = self.go_on(CUT).await {
                        return Some(broken);
                    }
                }
                Step::Broken(why) => {
                    if let Some(broken) = self.go_on(why).await {
                        return Some(broken);
                    }
                }
                Step::OutOfTime => return Some(self.break_off("out_of_time")),
            }
        }
    }

    /// Notes that an event has come from the upstream; the first one tells that it runs the request.
    fn note_begun(&mut self) {
        let Some(source) = self.source.as_mut().filter(|source| !source.has_begun) else {
            return;
        };
        source.has_begun = true;
        source.hold.note_first_event();
        let exchange = &self.exchange;
        let (id, took) = (&exchange.original.id, exchange.took());
        record::begun(id, exchange.attempts, &source.hold.id, took);
    }

    /// Waits for the upstream.
    async fn step(&mut self) -> Step {
        let (started, ends) = (self.exchange.now(), self.exchange.ends());
        loop {
            let since = self.exchange.now();
            let until = self.patience(since).min(ends);
            let Some(source) = self.source.as_mut() else {
                return Step::Broken("no_upstream");
            };
            let upstream = &source.hold.id;
            let exchange = &self.exchange;
            let clock = &exchange.driver.clock;
            let frame = clock.timeout_at(until, source.body.frame());
            let waits = !source.has_begun;
            let blocked = async move {
                if waits {
                    exchange.until_blocked().await;
                } else {
                    // What has begun to come is no danger to the upstream that sends it.
                    std::future::pending::<()>().await;
                }
            };
            let frame = tokio::select! {
                frame = frame => frame,
                () = blocked => return Step::Broken(BLOCKED),
            };
            return match frame {
                Ok(Some(Ok(frame))) => Step::Data(frame.into_data().unwrap_or_default()),
                Ok(Some(Err(_))) => Step::Broken(BROKEN),
                Ok(None) => Step::End,
                Err(_) if exchange.now() >= ends => Step::OutOfTime,
                // The upstream may have gone on, and was not heard.
                Err(_) if clock.stood_still_since(since) => continue,
                Err(_) if exchange.has_another(exchange.attempts, true) => Step::Broken(SILENT),
                Err(_) => {
                    // It may go on yet, and nobody else can.
                    let (id, tries) = (&exchange.original.id, exchange.attempts);
                    let silent = exchange.now().since(started);
                    record::waits_on(id, tries, Some(upstream), silent);
                    continue;
                }
            };
        }
    }

    /// Returns until when the next bytes of this upstream are waited for, from now on.
    fn patience(&self, now: Time) -> Time {
        let ends = self.exchange.ends();
        let route = &self.exchange.route;
        let Some(pause) = route.pause.filter(|_| self.resumes()) else {
            return ends;
        };
        let span = if self.scanner.event_count() == 0 { route.objective.max(pause) } else { pause };
        now.after(span.saturating_mul(PATIENCE))
    }

    fn resumes(&self) -> bool {
        self.exchange.route.repeat.is_idempotent() && self.exchange.has_tries()
    }

    /// Tells whether an answer whose end only its connection tells ended because its upstream did.
    async fn ends_with_upstream(&self) -> bool {
        let Some(source) = &self.source else {
            return false;
        };
        let (id, address) = (&source.hold.id, source.hold.address);
        self.exchange.note_broken(id, address, self.scanner.last_event_id()).await
    }

    /// Goes on at another upstream; returns the end of the answer if that cannot be.
    async fn go_on(&mut self, why: &'static str) -> Option<Result<Bytes, BrokenOff>> {
        let Some(mut source) = self.source.take() else {
            return Some(self.break_off(why));
        };
        if why == BLOCKED {
            source.hold.note_unrun(AttemptOutcome::Unknown);
        } else {
            source.hold.note_failed();
        }
        let (from, address) = (source.hold.id.clone(), source.hold.address);
        // The earlier upstream stops its work when its connection closes.
        drop(source);
        let is_cut = why == BROKEN || why == CUT;
        let has_ended =
            is_cut && self.exchange.note_broken(&from, address, self.scanner.last_event_id()).await;
        // One that lives may have made more than came here.
        self.exchange.unseen |= !has_ended;
        if !self.resumes() {
            return Some(self.break_off(why));
        }
        self.scanner.discard_partial();
        let last = self.scanner.last_event_id();
        record::resumed(&self.exchange.original.id, &from, last, why);
        match self.exchange.dispatch(last).await {
            Ok(answered) if answered.head.status.is_success() => {
                let Answered { body, framed, hold, .. } = *answered;
                self.source = Some(Source { body, framed, hold, has_begun: false });
                None
            }
            Ok(_) => Some(self.break_off("resume_failed")),
            Err(refusal) => Some(self.break_off(refusal.cause.code())),
        }
    }

    /// Notes what was handed out, with some events that may be on their way.
    fn count(&mut self, under_way: u64) {
        let (prompt, output) = self.exchange.terms.tokens.unwrap_or_default();
        let events = self.scanner.event_count() + under_way;
        let made = events.saturating_mul(self.exchange.stride()).min(output);
        let Some(reservation) = self.exchange.reservation.as_mut() else {
            return;
        };
        reservation.used(Tokens(prompt.saturating_add(made)));
    }

    fn finish(&mut self) {
        self.ended = true;
        let source = self.source.take();
        let upstream = source.as_ref().map(|source| source.hold.id.clone());
        if let Some(source) = source {
            source.hold.finish();
        }
        self.exchange.observe();
        self.exchange.note_whole();
        self.exchange.end("served", self.status, upstream.as_ref(), self.scanner.event_count());
    }

    fn break_off(&mut self, why: &str) -> Result<Bytes, BrokenOff> {
        self.ended = true;
        let upstream = self.source.take().map(|source| source.hold.id.clone());
        self.count(UNDER_WAY);
        self.exchange.end(why, self.status, upstream.as_ref(), self.scanner.event_count());
        Err(BrokenOff)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        // The caller has left; closing the connection tells the upstream.
        self.count(UNDER_WAY);
        let source = self.source.take();
        if let Some(source) = source.as_ref().filter(|source| !source.has_begun) {
            self.exchange.watch_left(&source.hold.id, source.hold.address);
        }
        let upstream = source.map(|source| source.hold.id.clone());
        self.exchange.end(
            "caller_left",
            self.status,
            upstream.as_ref(),
            self.scanner.event_count(),
        );
    }
}
