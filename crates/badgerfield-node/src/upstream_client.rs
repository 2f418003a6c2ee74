//! Engines and plain services: sends them requests and reads what they answer.
//!
//! An engine speaks the OpenAI API, streams server-sent events, and keeps a stream
//! under the name in the header `X-Stream`: `GET /v1/streams/NAME?from=N` resumes it
//! from event N, `DELETE /v1/streams/NAME` cancels it and says what it has used, and
//! `GET /load` reports the load. A plain service gets the call as it came.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use badgerfield_core::Event;
use badgerfield_core::event::{Chunk, Dispatch, UpstreamEvent, Usage};
use badgerfield_core::ids::AttemptId;
use badgerfield_core::message::Head;
use badgerfield_core::vm_upstreams::LoadReport;
use bytes::{Buf, Bytes, BytesMut};
use futures::future::join_all;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode, header};
use serde_json::Value;
use tokio::sync::oneshot;

use crate::caller_api::{Outgoing, Target};
use crate::chat;
use crate::driver::Driver;
use crate::http::{self, HttpClient};
use crate::logs::UPSTREAMS;
use crate::sync::lock;

/// The header that names a stream.
pub const STREAM_HEADER: &str = "x-stream";
/// How long a cancelled engine may take to say what it has used.
const CANCEL: Duration = Duration::from_secs(2);
/// How long a report of load may take.
const LOAD: Duration = Duration::from_millis(500);
/// The largest event of a stream, in bytes.
const MAX_EVENT: usize = 1_000_000;

/// The attempts under way.
#[derive(Debug)]
pub struct Upstreams {
    client: HttpClient,
    silence: Duration,
    running: Mutex<HashMap<AttemptId, oneshot::Sender<()>>>,
}

/// What one attempt needs.
struct Attempt {
    id: AttemptId,
    dispatch: Dispatch,
    address: SocketAddr,
    outgoing: Option<Arc<Outgoing>>,
    client: HttpClient,
    silence: Duration,
}

impl Upstreams {
    /// Prepares to call upstreams that may be silent for a span.
    #[must_use]
    pub fn new(silence: Duration) -> Self {
        Self { client: http::client(), silence, running: Mutex::default() }
    }

    /// Sends a request to an upstream, or resumes its stream.
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
        let (client, silence) = (self.client.clone(), self.silence);
        tokio::spawn(async move {
            let last = match address {
                Some(address) if !is_blocked(&driver, &dispatch, outgoing.as_deref()) => {
                    let attempt = Attempt { id, dispatch, address, outgoing, client, silence };
                    attempt.run(&driver, cancelled).await
                }
                Some(_) | None => UpstreamEvent::NotSent,
            };
            driver.forget(id);
            driver.feed(Event::Upstream(id, last));
        });
    }

    /// Stops an attempt.
    pub(crate) fn cancel(&self, id: AttemptId) {
        if let Some(cancel) = self.lock().remove(&id) {
            // An attempt that has just ended needs no cancelling.
            let _ = cancel.send(());
        }
    }

    /// Asks all engines for their load.
    pub(crate) async fn poll_loads(&self, driver: &Arc<Driver>) {
        let calls = driver.node.engine_addresses().into_iter().map(|(id, address)| async move {
            let request =
                Request::get(format!("http://{address}/load")).body(Full::default()).ok()?;
            let value = http::call_json(&self.client, request, LOAD).await.ok()?;
            let report: LoadReport = serde_json::from_value(value).ok()?;
            Some((id, report))
        });
        for (id, report) in join_all(calls).await.into_iter().flatten() {
            driver.feed(Event::Load(id, report));
        }
    }

    pub(crate) fn forget(&self, id: AttemptId) {
        self.lock().remove(&id);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<AttemptId, oneshot::Sender<()>>> {
        lock(&self.running)
    }
}

impl Attempt {
    async fn run(&self, driver: &Arc<Driver>, cancelled: oneshot::Receiver<()>) -> UpstreamEvent {
        let upstream = &self.dispatch.upstream;
        let outgoing = self.outgoing.as_deref();
        let life = outgoing.map_or(0, |outgoing| driver.life_of(outgoing, upstream));
        let (last, is_cancelled) = tokio::select! {
            last = self.exchange(driver) => (last, false),
            Ok(()) = cancelled => (self.cancel().await, true),
        };
        match (&last, outgoing) {
            (UpstreamEvent::Broken, Some(outgoing)) => {
                let point = self.dispatch.resume_from.unwrap_or(0);
                let to = (upstream, self.address);
                driver.note_outgoing_broken(outgoing, to, (life, point)).await;
            }
            (UpstreamEvent::Ended { .. }, Some(outgoing)) if !is_cancelled => {
                driver.note_outgoing_whole(outgoing);
            }
            _ => {}
        }
        last
    }

    async fn exchange(&self, driver: &Arc<Driver>) -> UpstreamEvent {
        let Some(request) = self.request() else {
            return UpstreamEvent::NotSent;
        };
        let response = match tokio::time::timeout(self.silence, self.client.request(request)).await
        {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.is_connect() => return UpstreamEvent::NotSent,
            Ok(Err(_)) | Err(_) => return UpstreamEvent::Broken,
        };
        self.report(driver, &response);
        match (self.dispatch.resume_from, response.status()) {
            (_, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) => {
                self.refused(&response)
            }
            (Some(_), StatusCode::NOT_FOUND) => UpstreamEvent::NoStream,
            (resume, StatusCode::OK) if self.is_chat() => {
                self.stream(driver, response, resume).await
            }
            _ => self.whole(driver, response).await,
        }
    }

    /// Takes in that the upstream does not run the request now.
    fn refused(&self, response: &Response<Incoming>) -> UpstreamEvent {
        let upstream = &self.dispatch.upstream;
        let rest = http::retry_after(response.headers());
        if let Ok(Some(rest)) = rest {
            let (run, rest) = (self.dispatch.run.0, rest.as_millis());
            log::info!(target: UPSTREAMS, "rest run={run} upstream={upstream} rest_ms={rest}");
        }
        if rest.is_err() {
            log::warn!(target: UPSTREAMS, "unreadable upstream={upstream} outcome=ignored");
        }
        UpstreamEvent::Busy(rest.unwrap_or_default())
    }

    /// Makes the request; nothing if its body is gone with its caller.
    fn request(&self) -> Option<Request<Full<Bytes>>> {
        let (address, name) = (self.address, &self.dispatch.stream);
        if let Some(from) = self.dispatch.resume_from {
            let uri = format!("http://{address}/v1/streams/{name}?from={from}");
            return Request::get(uri).body(Full::default()).ok();
        }
        let outgoing = self.outgoing.as_ref()?;
        match &outgoing.target {
            Target::Chat(body) => {
                let body = body.for_engine(self.dispatch.output_limit, self.dispatch.priority);
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
                    .header(header::CONTENT_TYPE, call.media.clone())
                    .header(STREAM_HEADER, name)
                    .body(Full::new(call.body.clone()))
                    .ok()
            }
        }
    }

    fn is_chat(&self) -> bool {
        let chat = self.outgoing.as_ref().is_some_and(|o| matches!(o.target, Target::Chat(_)));
        chat || self.dispatch.resume_from.is_some()
    }

    /// Takes in the report of load that travels with an answer.
    fn report(&self, driver: &Arc<Driver>, response: &Response<Incoming>) {
        let report = response.headers().get("x-load").and_then(|v| v.to_str().ok());
        let report = report.and_then(|text| serde_json::from_str::<LoadReport>(text).ok());
        if let Some(report) = report {
            driver.feed(Event::Load(self.dispatch.upstream.clone(), report));
        }
    }

    async fn stream(
        &self,
        driver: &Arc<Driver>,
        response: Response<Incoming>,
        resume: Option<u64>,
    ) -> UpstreamEvent {
        self.tell(
            driver,
            UpstreamEvent::Head(Head { status: 200, content_type: "text/event-stream".into() }),
        );
        let mut body = response.into_body();
        let mut buffer = BytesMut::new();
        let mut offset = resume.unwrap_or(0);
        let mut used = None;
        loop {
            let frame = tokio::time::timeout(self.silence, body.frame()).await;
            let Ok(Some(Ok(frame))) = frame else {
                return UpstreamEvent::Broken;
            };
            if let Ok(data) = frame.into_data() {
                buffer.extend_from_slice(&data);
            }
            while let Some(event) = next_event(&mut buffer) {
                if event.as_ref() == b"[DONE]" {
                    return UpstreamEvent::Ended { parts: offset, usage: used };
                }
                let usage =
                    serde_json::from_slice(&event).ok().and_then(|v: Value| chat::usage(&v));
                used = usage.or(used);
                self.tell(driver, UpstreamEvent::Chunk(Chunk { offset, data: event, usage }));
                offset += 1;
            }
            if buffer.len() > MAX_EVENT {
                log::warn!(target: UPSTREAMS, "{} sent too large an event", self.dispatch.upstream);
                return UpstreamEvent::Broken;
            }
        }
    }

    /// Passes on an answer that is no stream; an engine's own refusal costs nothing.
    async fn whole(&self, driver: &Arc<Driver>, response: Response<Incoming>) -> UpstreamEvent {
        let status = response.status().as_u16();
        let media = response.headers().get(header::CONTENT_TYPE).and_then(|v| v.to_str().ok());
        let media = media.unwrap_or("application/octet-stream").to_owned();
        self.tell(driver, UpstreamEvent::Head(Head { status, content_type: media }));
        let mut body = response.into_body();
        let mut offset = 0;
        loop {
            match tokio::time::timeout(self.silence, body.frame()).await {
                Ok(None) => {
                    let usage = Some(Usage::default());
                    return UpstreamEvent::Ended { parts: offset, usage };
                }
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.tell(driver, UpstreamEvent::Chunk(Chunk { offset, data, usage: None }));
                    offset += 1;
                }
                Ok(Some(Err(_))) | Err(_) => return UpstreamEvent::Broken,
            }
        }
    }

    /// Cancels the stream and learns what it has used.
    async fn cancel(&self) -> UpstreamEvent {
        let uri = format!("http://{}/v1/streams/{}", self.address, self.dispatch.stream);
        let request = Request::builder().method(Method::DELETE).uri(uri).body(Full::default());
        let Ok(request) = request else {
            return UpstreamEvent::Broken;
        };
        match http::call_json(&self.client, request, CANCEL).await {
            Ok(answer) => UpstreamEvent::Ended { parts: 0, usage: chat::usage(&answer) },
            Err(_) => UpstreamEvent::Broken,
        }
    }

    fn tell(&self, driver: &Arc<Driver>, event: UpstreamEvent) {
        driver.feed(Event::Upstream(self.id, event));
    }
}

/// Tells whether a request that would be run anew is blocked. One that has begun goes on where it is.
fn is_blocked(driver: &Driver, dispatch: &Dispatch, outgoing: Option<&Outgoing>) -> bool {
    let anew = outgoing.filter(|_| dispatch.resume_from.is_none());
    anew.is_some_and(|outgoing| driver.check_outgoing(outgoing).is_err())
}

/// Takes the data of the next server-sent event out of a buffer.
///
/// Source: <https://html.spec.whatwg.org/multipage/server-sent-events.html>.
pub(crate) fn next_event(buffer: &mut BytesMut) -> Option<Bytes> {
    loop {
        let end = buffer.windows(2).position(|w| w == b"\n\n")?;
        let event = buffer.split_to(end).freeze();
        buffer.advance(2);
        let mut data = BytesMut::new();
        for line in event.split(|b| *b == b'\n') {
            let Some(value) = line.strip_prefix(b"data:") else {
                continue;
            };
            data.extend_from_slice(value.strip_prefix(b" ").unwrap_or(value));
        }
        if !data.is_empty() {
            return Some(data.freeze());
        }
    }
}

impl Driver {
    fn forget(&self, id: AttemptId) {
        self.upstreams().forget(id);
    }
}
