//! The callers' interface: HTTP, with the OpenAI API, plain services and the directory.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use badgerfield_core::Event;
use badgerfield_core::event::{Answer, Call, IncomingRequest, Work};
use badgerfield_core::ids::{RequestId, TemplateVersion};
use badgerfield_core::message::Head;
use badgerfield_core::refusal::{Cause, Outcome, Refusal};
use badgerfield_core::template::KeyDigest;
use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, header};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::chat::{self, ChatBody, Whole};
use crate::driver::{Driver, IndexedAnswer, StartError};
use crate::http::{self, Body};
use crate::logs::CALLERS;

/// How long a caller may take to send its headers.
const HEADER_WAIT: Duration = Duration::from_secs(10);
/// How long a caller may take to send its body.
const BODY_WAIT: Duration = Duration::from_secs(30);
/// How long a VM may take to say which templates it has.
const VERSION_WAIT: Duration = Duration::from_millis(500);
/// The largest buffer for headers, in bytes.
const MAX_HEADERS: usize = 64 * 1024;
/// The longest key of a request, in bytes.
const MAX_KEY: usize = 256;

/// What goes to an upstream.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub(crate) target: Target,
    /// The digest of the caller's secret.
    pub(crate) secret: KeyDigest,
}

/// The two kinds of requests.
#[derive(Debug)]
pub(crate) enum Target {
    Chat(Box<ChatBody>),
    Call(ServiceCall),
}

/// A call of a plain service, as it came.
#[derive(Debug)]
pub(crate) struct ServiceCall {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) media: String,
    pub(crate) body: Bytes,
}

/// Why a request is refused before the decisions see it.
#[derive(Debug)]
enum Bad {
    TooLarge(usize),
    Slow,
    Key,
    Number(&'static str),
    Chat(chat::ChatError),
    Path,
}

/// Serves callers until the process ends.
///
/// # Errors
///
/// Fails if the address is taken.
pub async fn serve(driver: Arc<Driver>) -> Result<(), StartError> {
    let address = driver.settings.callers;
    let listener = listen(address).await?;
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            // Small parts of a stream must not wait for each other.
            let _ = stream.set_nodelay(true);
            let driver = Arc::clone(&driver);
            tokio::spawn(async move {
                let service = service_fn(move |request| answer(Arc::clone(&driver), request));
                let served = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(HEADER_WAIT)
                    .max_buf_size(MAX_HEADERS)
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
                if let Err(error) = served {
                    log::debug!(target: CALLERS, "a connection ended: {error}");
                }
            });
        }
    });
    Ok(())
}

pub(crate) async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|error| StartError::Listen(address, error))
}

async fn answer(
    driver: Arc<Driver>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let path = request.uri().path().to_owned();
    let response = match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => chat_completion(driver, request).await,
        (&Method::GET, "/v1/vms") => directory(&driver, request.headers()),
        (_, path) if path.starts_with("/svc/") => service_call(driver, request).await,
        _ => bad(&Bad::Path),
    };
    Ok(response)
}

async fn chat_completion(driver: Arc<Driver>, request: Request<Incoming>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let body = match read_body(&driver, body).await {
        Ok(body) => body,
        Err(error) => return bad(&error),
    };
    let parsed = match ChatBody::parse(&body) {
        Ok(parsed) => parsed,
        Err(error) => return bad(&Bad::Chat(error)),
    };
    let work = Work::Chat(parsed.chat.clone());
    let form = Form { stream: parsed.stream, usage: parsed.usage };
    let target = Target::Chat(Box::new(parsed));
    run(driver, &parts.headers, work, target, Some(form)).await
}

async fn service_call(driver: Arc<Driver>, request: Request<Incoming>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let target = parts.uri.path_and_query().map_or("", |p| p.as_str());
    let rest = target.trim_start_matches("/svc/");
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let Ok(service) = name.parse() else {
        return bad(&Bad::Path);
    };
    let path = path.to_owned();
    let body = match read_body(&driver, body).await {
        Ok(body) => body,
        Err(error) => return bad(&error),
    };
    let media = text(&parts.headers, header::CONTENT_TYPE.as_str());
    let media = media.unwrap_or("application/octet-stream").to_owned();
    let work = Work::Call(Call { service, path: path.clone() });
    let call = ServiceCall { method: parts.method.clone(), path, media, body };
    run(driver, &parts.headers, work, Target::Call(call), None).await
}

/// How a caller wants a chat completion.
#[derive(Debug, Clone, Copy)]
struct Form {
    stream: bool,
    usage: bool,
}

async fn run(
    driver: Arc<Driver>,
    headers: &HeaderMap,
    work: Work,
    target: Target,
    form: Option<Form>,
) -> Response<Body> {
    let arrival = match arrival(headers, work) {
        Ok(arrival) => arrival,
        Err(error) => return bad(&error),
    };
    let outgoing = Outgoing { target, secret: arrival.secret_digest };
    if let Err(refusal) = driver.check_outgoing(&outgoing) {
        // Whether a key has run before is known to its arbiter only.
        let outcome = if arrival.key.is_some() { Outcome::Unknown } else { refusal.outcome };
        let refusal = Refusal { outcome, ..refusal };
        driver.metrics.count_refusal(&refusal);
        return refuse(&refusal);
    }
    let Some((id, answers)) = driver.open_request(outgoing) else {
        let refusal = Refusal::not_run(Cause::Overloaded).with_retry_after(Duration::from_secs(1));
        driver.metrics.count_refusal(&refusal);
        return refuse(&refusal);
    };
    driver.metrics.requests.inc();
    let line = Line { driver: Arc::clone(&driver), id, answers, next: 0, early: BTreeMap::new() };
    driver.feed(Event::RequestArrived(id, Box::new(arrival)));
    respond(line, form).await
}

fn arrival(headers: &HeaderMap, work: Work) -> Result<IncomingRequest, Bad> {
    let secret = text(headers, header::AUTHORIZATION.as_str()).unwrap_or_default();
    let secret = secret.strip_prefix("Bearer ").unwrap_or_default();
    let key = match headers.get("idempotency-key") {
        None => None,
        Some(value) => Some(value.to_str().map_err(|_| Bad::Key)?.to_owned()),
    };
    if key.as_ref().is_some_and(|k| k.is_empty() || k.len() > MAX_KEY) {
        return Err(Bad::Key);
    }
    let once = match text(headers, "x-run-once") {
        None => false,
        Some(text) => text.parse().map_err(|_| Bad::Number("X-Run-Once: true or false"))?,
    };
    let patience = match text(headers, "x-max-wait-ms") {
        None => None,
        Some(millis) => {
            let millis: u32 =
                millis.parse().map_err(|_| Bad::Number("X-Max-Wait-Ms: milliseconds"))?;
            Some(Duration::from_millis(millis.into()))
        }
    };
    Ok(IncomingRequest {
        secret_digest: KeyDigest::from_secret(secret),
        key,
        at_most_once: once,
        work,
        max_wait: patience,
    })
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

async fn read_body(driver: &Driver, body: Incoming) -> Result<Bytes, Bad> {
    let limit = driver.settings.limits.body;
    let read = http::read_body(body, limit);
    let body = tokio::time::timeout(BODY_WAIT, read).await.map_err(|_| Bad::Slow)?;
    body.ok_or(Bad::TooLarge(limit))
}

/// The answers to one request, in order.
struct Line {
    driver: Arc<Driver>,
    id: RequestId,
    answers: mpsc::UnboundedReceiver<IndexedAnswer>,
    next: usize,
    early: BTreeMap<usize, Answer>,
}

impl Line {
    async fn next(&mut self) -> Option<Answer> {
        loop {
            if let Some(answer) = self.early.remove(&self.next) {
                self.next += 1;
                return Some(answer);
            }
            let (place, answer) = self.answers.recv().await?;
            self.early.insert(place, answer);
        }
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        self.driver.close_request(self.id);
    }
}

async fn respond(mut line: Line, form: Option<Form>) -> Response<Body> {
    match line.next().await {
        Some(Answer::Head(head)) => begin(line, head, form).await,
        Some(Answer::Refused(refusal) | Answer::Broken(refusal)) => refuse(&refusal),
        Some(Answer::Data(_) | Answer::End(_)) | None => {
            refuse(&Refusal::may_have_run(Cause::BrokenOff))
        }
    }
}

async fn begin(line: Line, head: Head, form: Option<Form>) -> Response<Body> {
    let events = head.content_type == "text/event-stream" && head.status == 200;
    match form.filter(|_| events) {
        Some(form) if form.stream => stream_events(line, &head, form),
        Some(_) => whole_chat(line).await,
        None => pass_through(line, &head),
    }
}

fn stream_events(line: Line, head: &Head, form: Form) -> Response<Body> {
    let frames = stream::unfold(Some(line), move |line| async move {
        let mut line = line?;
        loop {
            let frame = match line.next().await {
                Some(Answer::Data(data)) => match chat::for_caller(&data, form.usage) {
                    Some(event) => (event_of(&event), Some(line)),
                    None => continue,
                },
                Some(Answer::End(_)) => (Bytes::from_static(b"data: [DONE]\n\n"), None),
                Some(Answer::Broken(refusal) | Answer::Refused(refusal)) => {
                    (event_of(error_of(&refusal).to_string().as_bytes()), None)
                }
                Some(Answer::Head(_)) => continue,
                None => return None,
            };
            return Some((Ok(Frame::data(frame.0)), frame.1));
        }
    });
    respond_with(head, StreamBody::new(frames).boxed_unsync())
}

fn event_of(data: &[u8]) -> Bytes {
    let mut event = b"data: ".to_vec();
    event.extend_from_slice(data);
    event.extend_from_slice(b"\n\n");
    Bytes::from(event)
}

async fn whole_chat(mut line: Line) -> Response<Body> {
    let mut whole = Whole::default();
    loop {
        match line.next().await {
            Some(Answer::Data(data)) => whole.add(&data),
            Some(Answer::End(cost)) => {
                let mut response = http::json_response(StatusCode::OK, &whole.into_json());
                response.headers_mut().insert("x-cost", HeaderValue::from(cost.0));
                return response;
            }
            Some(Answer::Broken(refusal) | Answer::Refused(refusal)) => return refuse(&refusal),
            Some(Answer::Head(_)) => {}
            None => return refuse(&Refusal::may_have_run(Cause::BrokenOff)),
        }
    }
}

/// Passes on an answer of a plain service; one that breaks off ends the connection.
fn pass_through(line: Line, head: &Head) -> Response<Body> {
    let frames = stream::unfold(Some(line), |line| async move {
        let mut line = line?;
        loop {
            match line.next().await {
                Some(Answer::Data(data)) => return Some((Ok(Frame::data(data)), Some(line))),
                Some(Answer::Head(_)) => {}
                Some(Answer::End(_)) | None => return None,
                Some(Answer::Broken(refusal) | Answer::Refused(refusal)) => {
                    let text = format!("\n{}\n", error_of(&refusal));
                    return Some((Ok(Frame::data(Bytes::from(text))), None));
                }
            }
        }
    });
    respond_with(head, StreamBody::new(frames).boxed_unsync())
}

fn respond_with(head: &Head, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(media) = HeaderValue::from_str(&head.content_type) {
        response.headers_mut().insert(header::CONTENT_TYPE, media);
    }
    response
}

fn error_of(refusal: &Refusal) -> Value {
    let mut error = json!({
        "type": refusal.cause.code(),
        "message": refusal.cause.to_string(),
        "outcome": refusal.outcome.as_str(),
    });
    if let Some(after) = refusal.retry_after {
        error["retry_after_ms"] = json!(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
    }
    json!({ "error": error })
}

fn refuse(refusal: &Refusal) -> Response<Body> {
    let status = StatusCode::from_u16(refusal.cause.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = http::json_response(status, &error_of(refusal));
    if let Some(after) = refusal.retry_after {
        let seconds = after.as_millis().div_ceil(1000);
        let value = HeaderValue::from(u64::try_from(seconds).unwrap_or(u64::MAX));
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

fn bad(error: &Bad) -> Response<Body> {
    let (status, code, message) = match error {
        Bad::TooLarge(limit) => {
            let message = format!("expected a whole body of at most {limit} bytes");
            (StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message)
        }
        Bad::Slow => (
            StatusCode::REQUEST_TIMEOUT,
            "body_too_slow",
            format!("expected the body within {BODY_WAIT:?}"),
        ),
        Bad::Key => {
            let message =
                format!("expected an Idempotency-Key of 1 to {MAX_KEY} visible characters");
            (StatusCode::BAD_REQUEST, "bad_key", message)
        }
        Bad::Number(what) => (StatusCode::BAD_REQUEST, "bad_header", format!("expected {what}")),
        Bad::Chat(error) => (StatusCode::BAD_REQUEST, "bad_body", error.to_string()),
        Bad::Path => {
            let message = "expected /v1/chat/completions, /v1/vms or /svc/SERVICE/PATH".to_owned();
            (StatusCode::NOT_FOUND, "bad_path", message)
        }
    };
    let error = json!({ "type": code, "message": message, "outcome": "not_run" });
    http::json_response(status, &json!({ "error": error }))
}

/// Asks a VM which version of the templates it has in force.
pub async fn fetch_templates_version(address: SocketAddr) -> Option<TemplateVersion> {
    let request = Request::get(format!("http://{address}/v1/vms")).body(Full::default()).ok()?;
    let answer = http::call_json(&http::client(), request, VERSION_WAIT).await.ok()?;
    answer["templates"].as_u64().map(TemplateVersion)
}

/// Answers which addresses to use, and for how long.
fn directory(driver: &Driver, headers: &HeaderMap) -> Response<Body> {
    let secret = text(headers, header::AUTHORIZATION.as_str()).unwrap_or_default();
    let secret = secret.strip_prefix("Bearer ").map(KeyDigest::from_secret);
    let members = driver.node.directory(driver.now(), secret.as_ref());
    let vms: Vec<_> = members
        .iter()
        .map(|m| json!({ "address": m.caller.to_string(), "region": m.region, "vm": m.vm }))
        .collect();
    let limits = driver.settings.limits;
    let answer = json!({
        "templates": driver.node.templates().version,
        "vms": vms,
        "ttl_s": limits.directory.as_secs(),
        "keys_kept_s": limits.remember.as_secs(),
    });
    http::json_response(StatusCode::OK, &answer)
}
