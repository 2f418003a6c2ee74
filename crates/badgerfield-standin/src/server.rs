//! A small HTTP server, the same for all stand-ins.

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

/// The largest body that a stand-in reads.
const MAX_BODY: usize = 16_000_000;

/// A request that was read whole.
#[derive(Debug)]
pub struct Read {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The query.
    pub query: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Read {
    /// Returns the body as JSON; null if it is none.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns a header as text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns a number of the query.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(k, _)| *k == name)?.1.parse().ok()
    }
}

/// What a stand-in answers; nothing means that the reply is dropped.
pub type Answer = Option<Response<Body>>;

/// Serves requests with a function until the process ends.
///
/// # Errors
///
/// Fails if the address is taken.
pub async fn serve<F, W>(address: SocketAddr, answer: F) -> Result<()>
where
    F: Fn(Read) -> W + Send + Sync + 'static,
    W: Future<Output = Answer> + Send + 'static,
{
    let listener =
        TcpListener::bind(address).await.with_context(|| format!("listen on {address}"))?;
    let answer = Arc::new(answer);
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            // Small parts of a stream must not wait for each other.
            let _ = stream.set_nodelay(true);
            let answer = Arc::clone(&answer);
            tokio::spawn(async move {
                let service = service_fn(move |request| one(Arc::clone(&answer), request));
                // A caller that breaks off needs no answer.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    Ok(())
}

async fn one<F, W>(answer: Arc<F>, request: Request<Incoming>) -> Result<Response<Body>, Dropped>
where
    F: Fn(Read) -> W,
    W: Future<Output = Answer>,
{
    let (parts, body) = request.into_parts();
    let body = http::read_body(body, MAX_BODY).await.ok_or(Dropped)?;
    let path = parts.uri.path().to_owned();
    let query = parts.uri.query().unwrap_or_default().to_owned();
    let read = Read { method: parts.method, path, query, headers: parts.headers, body };
    answer(read).await.ok_or(Dropped)
}

/// Ends a connection without a reply.
#[derive(Debug)]
struct Dropped;

impl std::fmt::Display for Dropped {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the reply is dropped")
    }
}

impl std::error::Error for Dropped {}

impl From<Infallible> for Dropped {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Makes an answer that says "done".
#[must_use]
pub fn ok(value: &Value) -> Answer {
    Some(http::json_response(StatusCode::OK, value))
}

/// Makes an answer with another status.
#[must_use]
pub fn status(code: StatusCode) -> Answer {
    Some(http::json_response(code, &json!({ "error": code.as_str() })))
}
