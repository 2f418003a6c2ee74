//! HTTP client for engines and plain services.
//!
//! An engine implements the OpenAI API, streams server-sent events, and stores each stream
//! under the name in the header `X-Stream`: `GET /v1/streams/NAME?from=N` resumes it
//! from event N, `DELETE /v1/streams/NAME` cancels it and returns the tokens used, and
//! `GET /load` returns the load. Calls of a plain service are forwarded unchanged.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use badgerfield_core::Event;
use badgerfield_core::event::{Chunk, Dispatch, UpstreamEvent, Usage};
use badgerfield_core::event_stream;
use badgerfield_core::ids::{AttemptId, UpstreamId};
use badgerfield_core::json_document::{DocumentScanner, is_json};
use badgerfield_core::message::Head;
use badgerfield_core::vm_upstreams::LoadReport;
use bytes::{Bytes, BytesMut};
use futures::future::join_all;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, header};
use serde_json::Value;
use tokio::sync::oneshot;

use crate::caller_api::{Outgoing, Target};
use crate::chat;
use crate::clock::Clock;
use crate::driver::Driver;
use crate::gateway::attempt::{is_final, is_framed};
use crate::gateway::connections::SendError;
use crate::http::{self, HttpClient};
use crate::logs::UPSTREAMS;
use crate::service_calls::{CallConnection, EndedBody, ServiceCalls};
use crate::sync::lock;

/// The header that names a stream.
pub const STREAM_HEADER: &str = "x-stream";
/// Timeout for cancelling a stream, which returns the tokens used.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for a load report.
const LOAD_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of an event of a stream.
const MAX_EVENT_BYTES: usize = 1_000_000;

/// Sends attempts to upstreams and keeps track of those that are running.
#[derive(Debug)]
pub struct UpstreamClient {
    client: HttpClient,
    /// Maximum time without data from an upstream.
    idle_timeout: Duration,
    calls: Arc<ServiceCalls>,
    /// The senders that cancel the running attempts.
    running: Mutex<HashMap<AttemptId, oneshot::Sender<()>>>,
}

/// One attempt to send a request to an upstream, or to resume its stream.
struct Attempt {
    id: AttemptId,
    dispatch: Dispatch,
    address: SocketAddr,
    outgoing: Option<Arc<Outgoing>>,
    client: HttpClient,
    idle_timeout: Duration,
    calls: Arc<ServiceCalls>,
}

impl UpstreamClient {
    /// Creates a client that breaks off an attempt if no data arrives within a timeout.
    pub(crate) fn new(idle_timeout: Duration, clock: &Arc<Clock>) -> Self {
        let calls = Arc::new(ServiceCalls::new(clock));
        Self { client: http::client(), idle_timeout, calls, running: Mutex::default() }
    }

    /// Spawns an attempt to send a request to an upstream, or to resume its stream.
    pub(crate) fn dispatch(
        &self,
        driver: Arc<Driver>,
        id: AttemptId,
        dispatch: Dispatch,
        address: Option<SocketAddr>,
        outgoing: Option<Arc<Outgoing>>,
    ) {
        let (cancel, cancelled) = oneshot::channel();
        self.lock().insert(id, cancel);
        let (client, idle_timeout) = (self.client.clone(), self.idle_timeout);
        let calls = Arc::clone(&self.calls);
        tokio::spawn(async move {
            let end_event = match address {
                Some(address) if !is_blocked(&driver, &dispatch, outgoing.as_deref()) => {
                    let attempt =
                        Attempt { id, dispatch, address, outgoing, client, idle_timeout, calls };
                    attempt.run(&driver, cancelled).await
                }
                Some(_) | None => UpstreamEvent::NotSent,
            };
            driver.remove_attempt(id);
            driver.handle_event(Event::Upstream(id, end_event));
        });
    }

    /// Cancels an attempt.
    pub(crate) fn cancel(&self, id: AttemptId) {
        if let Some(cancel) = self.lock().remove(&id) {
            // Sending fails if the attempt has just ended, which needs no cancelling.
            let _ = cancel.send(());
        }
    }

    /// Requests the load of all engines.
    pub(crate) async fn poll_loads(&self, driver: &Arc<Driver>) {
        let calls = driver.node.engine_addresses().into_iter().map(|(id, address)| async move {
            let request =
                Request::get(format!("http://{address}/load")).body(Full::default()).ok()?;
            let value = http::call_json(&self.client, request, LOAD_TIMEOUT).await.ok()?;
            let report: LoadReport = serde_json::from_value(value).ok()?;
            Some((id, report))
        });
        for (id, report) in join_all(calls).await.into_iter().flatten() {
            driver.handle_event(Event::Load(id, report));
        }
    }

    pub(crate) fn remove_attempt(&self, id: AttemptId) {
        self.lock().remove(&id);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<AttemptId, oneshot::Sender<()>>> {
        lock(&self.running)
    }
}

impl Attempt {
    /// Runs the attempt, reports a crash or a complete response to the driver, and returns the
    /// event that ends the attempt.
    async fn run(&self, driver: &Arc<Driver>, cancelled: oneshot::Receiver<()>) -> UpstreamEvent {
        let upstream = &self.dispatch.upstream;
        let outgoing = self.outgoing.as_deref();
        let prior_crashes = outgoing.map_or(0, |outgoing| driver.crash_count(outgoing, upstream));
        let (end_event, is_cancelled) = tokio::select! {
            event = self.exchange(driver) => (event, false),
            Ok(()) = cancelled => (self.cancel().await, true),
        };
        match (&end_event, outgoing) {
            (UpstreamEvent::Broken, Some(outgoing)) => {
                let events_sent = self.dispatch.resume_from.unwrap_or(0);
                let target = (upstream, self.address);
                driver.detect_outgoing_crash(outgoing, target, (prior_crashes, events_sent)).await;
            }
            (UpstreamEvent::Ended { .. }, Some(outgoing)) if !is_cancelled => {
                driver.record_outgoing_served(outgoing);
            }
            _ => {}
        }
        end_event
    }

    /// Sends the request, passes the response on, and returns the event that ends the attempt.
    async fn exchange(&self, driver: &Arc<Driver>) -> UpstreamEvent {
        let Some(request) = self.build_request() else {
            return UpstreamEvent::NotSent;
        };
        let sent = self.calls.send(self.upstream(), request);
        let (response, call) = match tokio::time::timeout(self.idle_timeout, sent).await {
            Ok(Ok(sent)) => sent,
            Ok(Err(SendError::NotSent(_))) => return UpstreamEvent::NotSent,
            Ok(Err(SendError::Broken)) | Err(_) => return UpstreamEvent::Broken,
        };
        if !is_final(response.status()) {
            let (upstream, status) = (&self.dispatch.upstream, response.status().as_u16());
            log::warn!(target: UPSTREAMS, "invalid_status upstream={upstream} status={status}");
            return UpstreamEvent::Broken;
        }
        self.report_load(driver, &response);
        match (self.dispatch.resume_from, response.status()) {
            (_, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) => {
                self.handle_rejection(&response)
            }
            (Some(_), StatusCode::NOT_FOUND) => UpstreamEvent::NoStream,
            (resume, StatusCode::OK) if self.is_chat() => {
                self.read_stream(driver, response, resume).await
            }
            (Some(_), status) => {
                let upstream = &self.dispatch.upstream;
                log::warn!(target: UPSTREAMS, "not_resumed upstream={upstream} status={status}");
                UpstreamEvent::Broken
            }
            _ => self.read_response(driver, response, call).await,
        }
    }

    fn upstream(&self) -> (&UpstreamId, SocketAddr) {
        (&self.dispatch.upstream, self.address)
    }

    /// Returns the event for a rejection, with the back-off that the upstream announces.
    fn handle_rejection(&self, response: &Response<Incoming>) -> UpstreamEvent {
        let upstream = &self.dispatch.upstream;
        let back_off = http::retry_after(response.headers());
        if let Ok(Some(back_off)) = back_off {
            let (run, millis) = (self.dispatch.run.0, back_off.as_millis());
            log::info!(target: UPSTREAMS, "rest run={run} upstream={upstream} rest_ms={millis}");
        }
        if back_off.is_err() {
            log::warn!(target: UPSTREAMS, "unreadable upstream={upstream} outcome=ignored");
        }
        UpstreamEvent::Busy(back_off.unwrap_or_default())
    }

    /// Builds the request; `None` if the caller has disconnected, since its body is dropped then.
    fn build_request(&self) -> Option<Request<Full<Bytes>>> {
        let (address, name) = (self.address, &self.dispatch.stream);
        if let Some(from) = self.dispatch.resume_from {
            let uri = format!("http://{address}/v1/streams/{name}?from={from}");
            return Request::get(uri).body(Full::default()).ok();
        }
        let outgoing = self.outgoing.as_ref()?;
        match &outgoing.target {
            Target::Chat(body) => {
                let body = body.to_engine_body(self.dispatch.output_limit, self.dispatch.priority);
                Request::post(format!("http://{address}/v1/chat/completions"))
                    .header(header::CONTENT_TYPE, "application/json")
                    .header(STREAM_HEADER, name)
                    .body(Full::from(body))
                    .ok()
            }
            Target::Call(call) => {
                let uri = format!("http://{address}/{}", call.path.trim_start_matches('/'));
                Request::builder()
                    .method(call.method.clone())
                    .uri(uri)
                    .header(header::CONTENT_TYPE, call.content_type.clone())
                    .header(STREAM_HEADER, name)
                    .body(Full::new(call.body.clone()))
                    .ok()
            }
        }
    }

    fn is_chat(&self) -> bool {
        let is_chat = self.outgoing.as_ref().is_some_and(|o| matches!(o.target, Target::Chat(_)));
        is_chat || self.dispatch.resume_from.is_some()
    }

    /// Passes the load report in the header of a response to the core.
    fn report_load(&self, driver: &Arc<Driver>, response: &Response<Incoming>) {
        let report = response.headers().get("x-load").and_then(|v| v.to_str().ok());
        let report = report.and_then(|text| serde_json::from_str::<LoadReport>(text).ok());
        if let Some(report) = report {
            driver.handle_event(Event::Load(self.dispatch.upstream.clone(), report));
        }
    }

    /// Reads a stream of server-sent events to its end and passes on every event.
    async fn read_stream(
        &self,
        driver: &Arc<Driver>,
        response: Response<Incoming>,
        resume: Option<u64>,
    ) -> UpstreamEvent {
        self.send_event(
            driver,
            UpstreamEvent::Head(Head { status: 200, content_type: "text/event-stream".into() }),
        );
        let mut body = response.into_body();
        let mut buffer = BytesMut::new();
        let mut offset = resume.unwrap_or(0);
        let mut last_usage = None;
        loop {
            let frame = tokio::time::timeout(self.idle_timeout, body.frame()).await;
            let Ok(Some(Ok(frame))) = frame else {
                return UpstreamEvent::Broken;
            };
            if let Ok(data) = frame.into_data() {
                buffer.extend_from_slice(&data);
            }
            while let Some(event) = next_event(&mut buffer) {
                if event.as_ref() == b"[DONE]" {
                    return UpstreamEvent::Ended { parts: offset, usage: last_usage };
                }
                let usage =
                    serde_json::from_slice(&event).ok().and_then(|v: Value| chat::parse_usage(&v));
                last_usage = usage.or(last_usage);
                self.send_event(driver, UpstreamEvent::Chunk(Chunk { offset, data: event, usage }));
                offset += 1;
            }
            if buffer.len() > MAX_EVENT_BYTES {
                log::warn!(target: UPSTREAMS, "{} sent an event that exceeds the size limit", self.dispatch.upstream);
                return UpstreamEvent::Broken;
            }
        }
    }

    /// Reads a response that is not a stream and passes on its body. The reported usage is zero: an
    /// engine that rejects a request itself uses no tokens.
    async fn read_response(
        &self,
        driver: &Arc<Driver>,
        response: Response<Incoming>,
        call: CallConnection,
    ) -> UpstreamEvent {
        let status = response.status().as_u16();
        let content_type =
            response.headers().get(header::CONTENT_TYPE).and_then(|v| v.to_str().ok());
        let content_type = content_type.unwrap_or("application/octet-stream").to_owned();
        self.send_event(driver, UpstreamEvent::Head(Head { status, content_type }));
        let is_framed = is_framed(response.headers(), response.body());
        let (head, body) = response.into_parts();
        let reading = self.read_body(driver, body, has_json(&head.headers));
        let ended = if is_framed {
            let ended = reading.await;
            if ended.is_some() {
                self.calls.finish(&self.dispatch.upstream, call, &head.headers);
            }
            ended
        } else {
            self.calls.read_unframed(self.upstream(), call, reading).await
        };
        let usage = Some(Usage::default());
        ended
            .map_or(UpstreamEvent::Broken, |body| UpstreamEvent::Ended { parts: body.parts, usage })
    }

    /// Reads a body to its end, and passes on its parts; returns `None` if it broke off.
    async fn read_body(
        &self,
        driver: &Arc<Driver>,
        mut body: Incoming,
        is_json: bool,
    ) -> Option<EndedBody> {
        let mut offset = 0;
        let mut document = DocumentScanner::default();
        loop {
            match tokio::time::timeout(self.idle_timeout, body.frame()).await {
                Ok(None) => {
                    let is_whole_document = is_json && document.is_whole();
                    return Some(EndedBody { parts: offset, is_whole_document });
                }
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    if is_json {
                        document.push(&data);
                    }
                    self.send_event(
                        driver,
                        UpstreamEvent::Chunk(Chunk { offset, data, usage: None }),
                    );
                    offset += 1;
                }
                Ok(Some(Err(_))) | Err(_) => return None,
            }
        }
    }

    /// Cancels the stream and returns the tokens used.
    async fn cancel(&self) -> UpstreamEvent {
        let uri = format!("http://{}/v1/streams/{}", self.address, self.dispatch.stream);
        let request = Request::builder().method(Method::DELETE).uri(uri).body(Full::default());
        let Ok(request) = request else {
            return UpstreamEvent::Broken;
        };
        match http::call_json(&self.client, request, CANCEL_TIMEOUT).await {
            Ok(answer) => UpstreamEvent::Ended { parts: 0, usage: chat::parse_usage(&answer) },
            Err(_) => UpstreamEvent::Broken,
        }
    }

    fn send_event(&self, driver: &Arc<Driver>, event: UpstreamEvent) {
        driver.handle_event(Event::Upstream(self.id, event));
    }
}

/// Returns whether the body of a response is one JSON document, without any coding.
fn has_json(head: &HeaderMap) -> bool {
    let is_coded =
        head.contains_key(header::CONTENT_ENCODING) || head.contains_key(header::TRANSFER_ENCODING);
    let content_type = head.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    !is_coded && content_type.is_some_and(is_json)
}

/// Returns whether a request is blocked. A stream that is resumed is never blocked, since the
/// request is already running.
fn is_blocked(driver: &Driver, dispatch: &Dispatch, outgoing: Option<&Outgoing>) -> bool {
    let new_request = outgoing.filter(|_| dispatch.resume_from.is_none());
    new_request.is_some_and(|outgoing| driver.check_outgoing(outgoing).is_err())
}

/// Removes the next complete server-sent event from a buffer and returns its data.
///
/// Specification: <https://html.spec.whatwg.org/multipage/server-sent-events.html>.
pub(crate) fn next_event(buffer: &mut BytesMut) -> Option<Bytes> {
    while let Some(event) = event_stream::split_event(buffer) {
        let data = event_stream::event_data(&event);
        if !data.is_empty() {
            return Some(data);
        }
    }
    None
}

impl Driver {
    fn remove_attempt(&self, id: AttemptId) {
        self.upstream_client().remove_attempt(id);
    }
}
