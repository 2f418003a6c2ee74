//! The HTTP server that all stand-ins use.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::{Context, Result};
use badgerfield_node::http::{self, Body};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;

/// The largest request body, in bytes; a larger one closes the connection.
const MAX_BODY_BYTES: usize = 16_000_000;

/// A request with its body read in full.
#[derive(Debug)]
pub struct BufferedRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path of the URI, without the query.
    pub path: String,
    /// The query of the URI; empty if there is none.
    pub query: String,
    /// The request headers.
    pub headers: HeaderMap,
    /// The whole request body.
    pub body: Bytes,
}

impl BufferedRequest {
    /// Returns the body as JSON; null if it is not valid JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the value of a header, if it is present and text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the value of a query parameter, if it is present and a number.
    #[must_use]
    pub fn query_number(&self, name: &str) -> Option<u64> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(k, _)| *k == name)?.1.parse().ok()
    }
}

/// The reply of a stand-in; `None` closes the connection without a reply.
pub type Reply = Option<Response<Body>>;

/// Listens on an address and answers each request with `handler` until the process ends.
///
/// Returns as soon as the listener is bound.
///
/// # Errors
///
/// Fails if the listener cannot be bound to the address.
pub async fn serve<F, R>(address: SocketAddr, handler: F) -> Result<()>
where
    F: Fn(BufferedRequest) -> R + Send + Sync + 'static,
    R: Future<Output = Reply> + Send + 'static,
{
    let listener =
        TcpListener::bind(address).await.with_context(|| format!("listen on {address}"))?;
    let handler = Arc::new(handler);
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            // Nagle's algorithm would delay the small events of a stream.
            let _ = stream.set_nodelay(true);
            let handler = Arc::clone(&handler);
            tokio::spawn(async move {
                let service =
                    service_fn(move |request| handle_request(Arc::clone(&handler), request));
                // An error means that the caller disconnected, or that the reply is dropped on purpose.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    Ok(())
}

async fn handle_request<F, R>(
    handler: Arc<F>,
    request: Request<Incoming>,
) -> Result<Response<Body>, ReplyDropped>
where
    F: Fn(BufferedRequest) -> R,
    R: Future<Output = Reply>,
{
    let (parts, body) = request.into_parts();
    let body = http::read_body(body, MAX_BODY_BYTES).await.ok_or(ReplyDropped)?;
    let path = parts.uri.path().to_owned();
    let query = parts.uri.query().unwrap_or_default().to_owned();
    let request =
        BufferedRequest { method: parts.method, path, query, headers: parts.headers, body };
    handler(request).await.ok_or(ReplyDropped)
}

/// The error that closes a connection without a reply.
#[derive(Debug)]
struct ReplyDropped;

impl std::fmt::Display for ReplyDropped {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the reply is dropped")
    }
}

impl std::error::Error for ReplyDropped {}

impl From<Infallible> for ReplyDropped {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Returns a reply with status 200 and a JSON body.
#[must_use]
pub fn json_reply(value: &Value) -> Reply {
    Some(http::json_response(StatusCode::OK, value))
}

/// Returns a reply with a status and a JSON body `{"error": code}`.
#[must_use]
pub fn error_reply(code: StatusCode) -> Reply {
    Some(http::json_response(code, &json!({ "error": code.as_str() })))
}
