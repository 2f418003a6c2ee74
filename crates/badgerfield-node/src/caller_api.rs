//! The HTTP API for callers: chat completions of the OpenAI API, calls of plain services and the
//! directory.

use std::collections::BTreeMap;
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
use hyper::{HeaderMap, Method, Request, Response, StatusCode, header};
use hyper_util::rt::TokioTimer;
use serde_json::{Value, json};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc};

use crate::chat::{self, AnswerBuilder, ChatBody};
use crate::driver::{Driver, IndexedAnswer, StartError};
use crate::http;
use crate::logs::CALLERS;
use crate::serving::{self, Connection};

/// Timeout for receiving the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for fetching the template version of a VM.
const VERSION_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of the buffer for headers.
const MAX_HEADER_BYTES: usize = 64 * 1024;
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 256;

/// A request as it is sent to an upstream.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub(crate) target: Target,
    /// The digest of the secret that authenticates the caller.
    pub(crate) secret: KeyDigest,
}

/// The content of a request, by the kind of upstream.
#[derive(Debug)]
pub(crate) enum Target {
    Chat(Box<ChatBody>),
    Call(ServiceCall),
}

/// A call of a plain service, forwarded unchanged.
#[derive(Debug)]
pub(crate) struct ServiceCall {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) content_type: String,
    pub(crate) body: Bytes,
}

/// The error that ends the body of an answer before it is whole. The connection is closed without
/// the end of the body, so that the caller sees that it is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
enum AnswerCut {
    /// The upstream broke the answer off.
    #[error("the answer broke off: {0}")]
    BrokenOff(Cause),
    /// The core stopped sending the answer.
    #[error("the rest of the answer was not received")]
    Abandoned,
}

/// The body of a response to a caller.
type Body = http::Body<AnswerCut>;

/// Why a request is rejected before it is passed to the core.
#[derive(Debug)]
enum RequestError {
    BodyTooLarge(usize),
    BodyTimeout,
    Key,
    Header(&'static str),
    Chat(chat::ChatError),
    Path,
}

/// Binds the listener for callers and spawns a task that serves them until the process ends.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve(driver: Arc<Driver>) -> Result<(), StartError> {
    let address = driver.settings.caller_address;
    let listener = listen(address).await?;
    let max_connections = Semaphore::MAX_PERMITS;
    serving::spawn_listener(&driver, listener, max_connections, serve_connection);
    Ok(())
}

async fn serve_connection(driver: Arc<Driver>, connection: Connection) {
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    builder.header_read_timeout(HEADER_TIMEOUT);
    builder.max_buf_size(MAX_HEADER_BYTES);
    let respond = |request| handle_request(Arc::clone(&driver), request);
    if let Err(error) = connection.serve(&driver, &builder, || None, respond).await {
        log::debug!(target: CALLERS, "connection with a caller failed: {error}");
    }
}

pub(crate) async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|error| StartError::Listen(address, error))
}

async fn handle_request(driver: Arc<Driver>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/chat/completions") => chat_completion(driver, request).await,
        (&Method::GET, "/v1/vms") => directory_response(&driver, request.headers()),
        (_, path) if path.starts_with("/svc/") => service_call(driver, request).await,
        _ => error_response(&RequestError::Path),
    }
}

async fn chat_completion(driver: Arc<Driver>, request: Request<Incoming>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let body = match read_body(&driver, body).await {
        Ok(body) => body,
        Err(error) => return error_response(&error),
    };
    let parsed = match ChatBody::parse(&body) {
        Ok(parsed) => parsed,
        Err(error) => return error_response(&RequestError::Chat(error)),
    };
    let work = Work::Chat(parsed.chat.clone());
    let format = ChatFormat { stream: parsed.stream, include_usage: parsed.include_usage };
    let target = Target::Chat(Box::new(parsed));
    run_request(driver, &parts.headers, work, target, Some(format)).await
}

async fn service_call(driver: Arc<Driver>, request: Request<Incoming>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let target = parts.uri.path_and_query().map_or("", |p| p.as_str());
    let target = target.trim_start_matches("/svc/");
    let (name, path) = target.split_once('/').unwrap_or((target, ""));
    let Ok(service) = name.parse() else {
        return error_response(&RequestError::Path);
    };
    let path = path.to_owned();
    let body = match read_body(&driver, body).await {
        Ok(body) => body,
        Err(error) => return error_response(&error),
    };
    let content_type = header_text(&parts.headers, header::CONTENT_TYPE.as_str());
    let content_type = content_type.unwrap_or("application/octet-stream").to_owned();
    let work = Work::Call(Call { service, path: path.clone() });
    let call = ServiceCall { method: parts.method.clone(), path, content_type, body };
    run_request(driver, &parts.headers, work, Target::Call(call), None).await
}

/// The format in which a caller requests the answer of a chat completion.
#[derive(Debug, Clone, Copy)]
struct ChatFormat {
    stream: bool,
    include_usage: bool,
}

/// Passes a request to the core and waits for its answer.
async fn run_request(
    driver: Arc<Driver>,
    headers: &HeaderMap,
    work: Work,
    target: Target,
    format: Option<ChatFormat>,
) -> Response<Body> {
    let request = match parse_request(headers, work) {
        Ok(request) => request,
        Err(error) => return error_response(&error),
    };
    let outgoing = Outgoing { target, secret: request.secret_digest };
    if let Err(refusal) = driver.check_outgoing(&outgoing) {
        // Only the arbiter of the key knows whether a request with this key has run before.
        let outcome = if request.key.is_some() { Outcome::Unknown } else { refusal.outcome };
        let refusal = Refusal { outcome, ..refusal };
        driver.metrics.count_refusal(&refusal);
        return refuse(&refusal);
    }
    let Some((id, receiver)) = driver.open_request(outgoing) else {
        let refusal = Refusal::not_run(Cause::Overloaded).with_retry_after(Duration::from_secs(1));
        driver.metrics.count_refusal(&refusal);
        return refuse(&refusal);
    };
    driver.metrics.requests.inc();
    let answers = AnswerReceiver {
        driver: Arc::clone(&driver),
        id,
        receiver,
        next_index: 0,
        out_of_order: BTreeMap::new(),
    };
    driver.handle_event(Event::RequestArrived(id, Box::new(request)));
    respond(answers, format).await
}

/// Reads the headers of a request.
fn parse_request(headers: &HeaderMap, work: Work) -> Result<IncomingRequest, RequestError> {
    let secret = header_text(headers, header::AUTHORIZATION.as_str()).unwrap_or_default();
    let secret = secret.strip_prefix("Bearer ").unwrap_or_default();
    let key = match headers.get("idempotency-key") {
        None => None,
        Some(value) => Some(value.to_str().map_err(|_| RequestError::Key)?.to_owned()),
    };
    if key.as_ref().is_some_and(|k| k.is_empty() || k.len() > MAX_KEY_BYTES) {
        return Err(RequestError::Key);
    }
    let at_most_once = match header_text(headers, "x-run-once") {
        None => false,
        Some(text) => {
            text.parse().map_err(|_| RequestError::Header("X-Run-Once: true or false"))?
        }
    };
    let max_wait = match header_text(headers, "x-max-wait-ms") {
        None => None,
        Some(millis) => {
            let millis: u32 =
                millis.parse().map_err(|_| RequestError::Header("X-Max-Wait-Ms: milliseconds"))?;
            Some(Duration::from_millis(millis.into()))
        }
    };
    Ok(IncomingRequest {
        secret_digest: KeyDigest::from_secret(secret),
        key,
        at_most_once,
        work,
        max_wait,
    })
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

async fn read_body(driver: &Driver, body: Incoming) -> Result<Bytes, RequestError> {
    let limit = driver.settings.limits.max_body_bytes;
    let read = http::read_body(body, limit);
    let body =
        tokio::time::timeout(BODY_TIMEOUT, read).await.map_err(|_| RequestError::BodyTimeout)?;
    body.ok_or(RequestError::BodyTooLarge(limit))
}

/// Receives the parts of the answer to one request and returns them in order.
///
/// Dropping it closes the request; hyper drops it when the caller disconnects.
struct AnswerReceiver {
    driver: Arc<Driver>,
    id: RequestId,
    receiver: mpsc::UnboundedReceiver<IndexedAnswer>,
    next_index: usize,
    /// Parts that arrived before a part with a smaller index.
    out_of_order: BTreeMap<usize, Answer>,
}

impl AnswerReceiver {
    /// Waits for the next part of the answer.
    async fn next(&mut self) -> Option<Answer> {
        loop {
            if let Some(answer) = self.out_of_order.remove(&self.next_index) {
                self.next_index += 1;
                return Some(answer);
            }
            let (index, answer) = self.receiver.recv().await?;
            self.out_of_order.insert(index, answer);
        }
    }
}

impl Drop for AnswerReceiver {
    fn drop(&mut self) {
        self.driver.close_request(self.id);
    }
}

async fn respond(mut answers: AnswerReceiver, format: Option<ChatFormat>) -> Response<Body> {
    match answers.next().await {
        Some(Answer::Head(head)) => respond_with_head(answers, head, format).await,
        Some(Answer::Refused(refusal) | Answer::Broken(refusal)) => refuse(&refusal),
        Some(Answer::Data(_) | Answer::End(_)) | None => {
            refuse(&Refusal::may_have_run(Cause::BrokenOff))
        }
    }
}

/// Responds to a request whose upstream has sent the head of its response.
async fn respond_with_head(
    answers: AnswerReceiver,
    head: Head,
    format: Option<ChatFormat>,
) -> Response<Body> {
    let is_event_stream = head.content_type == "text/event-stream" && head.status == 200;
    match format.filter(|_| is_event_stream) {
        Some(format) if format.stream => stream_events(answers, &head, format),
        Some(_) => collect_answer(answers).await,
        None => forward_body(answers, &head),
    }
}

/// Forwards the events of a chat completion to its caller. If it breaks off, the last event is an
/// error object, and `[DONE]` is missing.
fn stream_events(answers: AnswerReceiver, head: &Head, format: ChatFormat) -> Response<Body> {
    let frames = stream::unfold(Some(answers), move |answers| async move {
        let mut answers = answers?;
        loop {
            let (event, answers) = match answers.next().await {
                Some(Answer::Data(data)) => {
                    match chat::to_caller_event(&data, format.include_usage) {
                        Some(event) => (format_event(&event), Some(answers)),
                        None => continue,
                    }
                }
                Some(Answer::End(_)) => (Bytes::from_static(b"data: [DONE]\n\n"), None),
                Some(Answer::Broken(refusal) | Answer::Refused(refusal)) => {
                    (format_event(error_body(&refusal).to_string().as_bytes()), None)
                }
                Some(Answer::Head(_)) => continue,
                None => return Some((Err(AnswerCut::Abandoned), None)),
            };
            return Some((Ok(Frame::data(event)), answers));
        }
    });
    respond_with(head, StreamBody::new(frames).boxed_unsync())
}

fn format_event(data: &[u8]) -> Bytes {
    let mut event = b"data: ".to_vec();
    event.extend_from_slice(data);
    event.extend_from_slice(b"\n\n");
    Bytes::from(event)
}

/// Collects the events of a chat completion and responds with the complete answer.
async fn collect_answer(mut answers: AnswerReceiver) -> Response<Body> {
    let mut builder = AnswerBuilder::default();
    loop {
        match answers.next().await {
            Some(Answer::Data(data)) => builder.add_event(&data),
            Some(Answer::End(cost)) => {
                let mut response = http::json_response(StatusCode::OK, &builder.into_json());
                response.headers_mut().insert("x-cost", HeaderValue::from(cost.0));
                return response;
            }
            Some(Answer::Broken(refusal) | Answer::Refused(refusal)) => return refuse(&refusal),
            Some(Answer::Head(_)) => {}
            None => return refuse(&Refusal::may_have_run(Cause::BrokenOff)),
        }
    }
}

/// Forwards the body of a response that is no event stream. Nothing is appended to a part of it.
fn forward_body(answers: AnswerReceiver, head: &Head) -> Response<Body> {
    let frames = stream::unfold(Some(answers), |answers| async move {
        let mut answers = answers?;
        loop {
            let cut = match answers.next().await {
                Some(Answer::Data(data)) => return Some((Ok(Frame::data(data)), Some(answers))),
                Some(Answer::Head(_)) => continue,
                Some(Answer::End(_)) => return None,
                Some(Answer::Broken(refusal) | Answer::Refused(refusal)) => {
                    AnswerCut::BrokenOff(refusal.cause)
                }
                None => AnswerCut::Abandoned,
            };
            return Some((Err(cut), None));
        }
    });
    respond_with(head, StreamBody::new(frames).boxed_unsync())
}

fn respond_with(head: &Head, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(content_type) = HeaderValue::from_str(&head.content_type) {
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    }
    response
}

/// Returns the JSON error object for a refusal.
fn error_body(refusal: &Refusal) -> Value {
    let mut error = json!({
        "type": refusal.cause.code(),
        "message": refusal.cause.to_string(),
        "outcome": refusal.outcome.as_str(),
    });
    if let Some(delay) = refusal.retry_after {
        error["retry_after_ms"] = json!(u64::try_from(delay.as_millis()).unwrap_or(u64::MAX));
    }
    json!({ "error": error })
}

fn refuse(refusal: &Refusal) -> Response<Body> {
    let status = StatusCode::from_u16(refusal.cause.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = http::json_response(status, &error_body(refusal));
    if let Some(delay) = refusal.retry_after {
        let seconds = delay.as_millis().div_ceil(1000);
        let value = HeaderValue::from(u64::try_from(seconds).unwrap_or(u64::MAX));
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

fn error_response(error: &RequestError) -> Response<Body> {
    let (status, code, message) = match error {
        RequestError::BodyTooLarge(limit) => {
            let message = format!("expected a whole body of at most {limit} bytes");
            (StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message)
        }
        RequestError::BodyTimeout => (
            StatusCode::REQUEST_TIMEOUT,
            "body_too_slow",
            format!("expected the body within {BODY_TIMEOUT:?}"),
        ),
        RequestError::Key => {
            let message =
                format!("expected an Idempotency-Key of 1 to {MAX_KEY_BYTES} visible characters");
            (StatusCode::BAD_REQUEST, "bad_key", message)
        }
        RequestError::Header(expected) => {
            (StatusCode::BAD_REQUEST, "bad_header", format!("expected {expected}"))
        }
        RequestError::Chat(error) => (StatusCode::BAD_REQUEST, "bad_body", error.to_string()),
        RequestError::Path => {
            let message = "expected /v1/chat/completions, /v1/vms or /svc/SERVICE/PATH".to_owned();
            (StatusCode::NOT_FOUND, "bad_path", message)
        }
    };
    let error = json!({ "type": code, "message": message, "outcome": "not_run" });
    http::json_response(status, &json!({ "error": error }))
}

/// Fetches the version of the templates in force on a VM; `None` if the VM does not answer.
pub async fn fetch_templates_version(address: SocketAddr) -> Option<TemplateVersion> {
    let request = Request::get(format!("http://{address}/v1/vms")).body(Full::default()).ok()?;
    let answer = http::call_json(&http::client(), request, VERSION_TIMEOUT).await.ok()?;
    answer["templates"].as_u64().map(TemplateVersion)
}

/// Responds with the addresses that the caller may use, and how long it may cache them.
fn directory_response(driver: &Driver, headers: &HeaderMap) -> Response<Body> {
    let secret = header_text(headers, header::AUTHORIZATION.as_str()).unwrap_or_default();
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
        "ttl_s": limits.directory_ttl.as_secs(),
        "keys_kept_s": limits.key_retention.as_secs(),
    });
    http::json_response(StatusCode::OK, &answer)
}
