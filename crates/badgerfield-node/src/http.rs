//! Helpers for HTTP that servers and clients share.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response, StatusCode, Uri, header};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use thiserror::Error;

/// The body of a response. `E` is the error that ends one before it is whole.
pub type Body<E = Infallible> = UnsyncBoxBody<Bytes, E>;
/// A client for the platform and upstreams.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The idle time before keepalive probes are sent, and the interval between them. They end a long
/// wait soon after the network is cut.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum size of a response that is read into memory, in bytes.
const MAX_RESPONSE_BYTES: usize = 16_000_000;

/// The reason why a call failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection could be opened, and nothing was sent.
    #[error("cannot connect to {0}")]
    Connect(Uri),
    /// The call timed out, or its connection failed.
    #[error("no answer from {0}")]
    Lost(Uri),
    /// The response has a status other than success.
    #[error("{uri} answered {status}")]
    Status {
        /// The address.
        uri: Uri,
        /// The status.
        status: StatusCode,
    },
    /// The response is not JSON.
    #[error("expected JSON from {0}")]
    NotJson(Uri),
}

/// Creates a client.
#[must_use]
pub fn client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    connector.set_keepalive(Some(PROBE_INTERVAL));
    connector.set_keepalive_interval(Some(PROBE_INTERVAL));
    connector.set_keepalive_retries(Some(2));
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(Duration::from_secs(20))
        .build(connector)
}

/// Creates a body from bytes.
#[must_use]
pub fn full<E>(bytes: impl Into<Bytes>) -> Body<E> {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Creates a response with a JSON body.
#[must_use]
pub fn json_response<E>(status: StatusCode, value: &Value) -> Response<Body<E>> {
    let mut response = Response::new(full(value.to_string()));
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

/// Sends a request and parses the JSON response.
///
/// # Errors
///
/// [`CallError::Connect`] means that nothing was sent. After other errors the call may have taken
/// effect.
pub async fn call_json(
    client: &HttpClient,
    request: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<Value, CallError> {
    let uri = request.uri().clone();
    let lost = |_| CallError::Lost(uri.clone());
    let call = async {
        let response = client.request(request).await;
        let response = response.map_err(|error| {
            if error.is_connect() {
                return CallError::Connect(uri.clone());
            }
            CallError::Lost(uri.clone())
        })?;
        let status = response.status();
        let body = read_body(response.into_body(), MAX_RESPONSE_BYTES).await;
        let body = body.ok_or_else(|| CallError::Lost(uri.clone()))?;
        if !status.is_success() {
            return Err(CallError::Status { uri: uri.clone(), status });
        }
        serde_json::from_slice(&body).map_err(|_| CallError::NotJson(uri.clone()))
    };
    tokio::time::timeout(timeout, call).await.map_err(lost)?
}

/// Reads a body up to a limit. Returns `None` if it is longer or ends early.
pub async fn read_body(body: Incoming, limit: usize) -> Option<Bytes> {
    let body = Limited::new(body, limit).collect().await.ok()?;
    Some(body.to_bytes())
}

/// The error for a `retry-after` header that cannot be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("expected seconds in the header retry-after")]
pub struct InvalidRetryAfter;

/// Parses the `retry-after` header in seconds, with or without a fraction. Dates are not supported,
/// because the wall clock of this VM may be off by seconds.
///
/// # Errors
///
/// Fails if the header is not a number or is present more than once.
pub fn retry_after(head: &HeaderMap) -> Result<Option<Duration>, InvalidRetryAfter> {
    let mut values = head.get_all(header::RETRY_AFTER).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(InvalidRetryAfter);
    }
    let seconds = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    let seconds: f64 = seconds.ok_or(InvalidRetryAfter)?;
    Duration::try_from_secs_f64(seconds).map(Some).map_err(|_| InvalidRetryAfter)
}
