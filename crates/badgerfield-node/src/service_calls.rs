//! Connections for calls of plain services, whose answers may have no length.
//!
//! Such an answer ends with its connection, as it does if its upstream dies. It is whole only if its
//! process has provably outlived its end ([`crate::gateway::witness`]). Many of them are short and
//! end before a witness can be opened, so the upstreams that have sent one are remembered: their
//! witness is open before the next request is sent.
//!
//! A process that ends may close an answer some time before it is gone, so it must outlive the end
//! by a while. A whole JSON document shows by itself that nothing is missing, so it need not wait.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::UpstreamId;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::{HeaderMap, Request, Response, Uri};

use crate::adapter::SystemDialer;
use crate::clock::Clock;
use crate::gateway::attempt::closes_connection;
use crate::gateway::connections::{Connection, Connections, SendError, keep_alive_timeout};
use crate::gateway::unframed_end::{AT_ONCE, link_code, proves_running, testimony_code};
use crate::gateway::witness::{Question, SecondQuestion, WitnessGuard, Witnesses};
use crate::logs::UPSTREAMS;
use crate::sync::lock;

/// For how long an upstream that has sent an answer without a length is expected to send another
/// one. The next one after that may be unproved.
const EXPECTED_FOR: Duration = Duration::from_mins(60);

/// How long the end of an answer may be held back until it is proved.
const OUTLIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// The connections for calls, the upstreams that send answers without a length, and their witnesses.
#[derive(Debug)]
pub(crate) struct ServiceCalls {
    clock: Arc<Clock>,
    connections: Arc<Connections>,
    witnesses: Arc<Witnesses>,
    /// When each upstream last sent an answer without a length.
    senders: Mutex<HashMap<UpstreamId, Time>>,
}

/// The connection of one call, with the witness of its answer.
#[derive(Debug)]
pub(crate) struct CallConnection {
    connection: Connection,
    /// The witness that was opened before the call, if the answer is expected to have no length.
    witness: Option<WitnessGuard>,
}

/// A body whose connection has ended in good order.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndedBody {
    /// The number of its parts.
    pub(crate) parts: u64,
    /// Whether it is one whole JSON object or array.
    pub(crate) is_whole_document: bool,
}

impl ServiceCalls {
    pub(crate) fn new(clock: &Arc<Clock>) -> Self {
        let connections = Arc::new(Connections::new(Arc::clone(clock), Arc::new(SystemDialer)));
        let witnesses = Arc::new(Witnesses::new(Arc::clone(clock), Arc::clone(&connections)));
        Self { clock: Arc::clone(clock), connections, witnesses, senders: Mutex::default() }
    }

    /// Sends a call, and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Tells whether the request may have arrived.
    pub(crate) async fn send(
        &self,
        upstream: (&UpstreamId, SocketAddr),
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, CallConnection), SendError> {
        let request = to_origin_form(request);
        let Some(mut call) = self.connect(upstream).await else {
            return Err(SendError::NotSent(Box::new(request)));
        };
        let request = match call.connection.send(request).await {
            Ok(response) => return Ok((response, call)),
            Err(SendError::NotSent(request)) if call.connection.reused => *request,
            Err(error) => return Err(error),
        };
        // The idle connection was closed before the request was sent on it.
        let Ok(connection) = self.connections.open(upstream.1).await else {
            return Err(SendError::NotSent(Box::new(request)));
        };
        call.connection = connection;
        let response = call.connection.send(request).await?;
        Ok((response, call))
    }

    /// Returns a connection for a call, and opens the witness of its answer if that is expected to
    /// have no length.
    async fn connect(&self, (id, address): (&UpstreamId, SocketAddr)) -> Option<CallConnection> {
        if !self.is_expected(id) {
            let connection = self.connections.take(id, address).await.ok()?;
            return Some(CallConnection { connection, witness: None });
        }
        // An upstream may serve one connection at a time, in the order in which they were opened.
        let connection = self.connections.open(address).await.ok()?;
        let witness = self.witnesses.attach(id, address, &Question::Options);
        witness.settle().await;
        Some(CallConnection { connection, witness: Some(witness) })
    }

    /// Returns whether an upstream is expected to send an answer without a length.
    fn is_expected(&self, upstream: &UpstreamId) -> bool {
        let sent_at = lock(&self.senders).get(upstream).copied();
        sent_at.is_some_and(|sent_at| self.clock.now().since(sent_at) <= EXPECTED_FOR)
    }

    /// Keeps the connection of a call whose response was whole for the next one.
    pub(crate) fn finish(&self, upstream: &UpstreamId, call: CallConnection, head: &HeaderMap) {
        if !closes_connection(head) {
            self.connections.keep(upstream.clone(), call.connection, keep_alive_timeout(head));
        }
    }

    /// Reads an answer without a length by the given future, and returns its body if the process
    /// that sent it has provably outlived its end.
    pub(crate) async fn read_unframed(
        &self,
        (id, address): (&UpstreamId, SocketAddr),
        call: CallConnection,
        read: impl Future<Output = Option<EndedBody>>,
    ) -> Option<EndedBody> {
        self.record_sender(id);
        let CallConnection { connection, witness } = call;
        let witness =
            witness.unwrap_or_else(|| self.witnesses.attach(id, address, &Question::Options));
        let witness = witness.watch(&connection);
        let started = self.clock.now();
        let body = read.await?;
        let ended_at = self.clock.now();
        let (testimony, link) = witness.ask().await;
        let has_stalled = witness.has_stalled();
        let is_running = proves_running(testimony, link, has_stalled);
        let is_brief = ended_at.since(started) <= AT_ONCE && !has_stalled;
        if is_running && (body.is_whole_document || is_brief) {
            return Some(body);
        }
        let survival = if is_running {
            let question =
                SecondQuestion { keeps_open: false, spares_checks: false, probes: false };
            Some(witness.ask_later(ended_at, ended_at.after(OUTLIVE_TIMEOUT), question).await)
        } else {
            None
        };
        if survival.is_some_and(|survival| survival.is_proved(true)) {
            return Some(body);
        }
        let evidence = testimony_code(survival.map_or(testimony, |survival| survival.testimony));
        let connection = link_code(link);
        log::warn!(
            target: UPSTREAMS,
            "unproved upstream={id} evidence={evidence} connection={connection} stalled={has_stalled}"
        );
        None
    }

    /// Records that an upstream has sent an answer without a length, and forgets those that have not
    /// done so for long.
    fn record_sender(&self, upstream: &UpstreamId) {
        let now = self.clock.now();
        let mut senders = lock(&self.senders);
        if senders.insert(upstream.clone(), now).is_none() {
            senders.retain(|_, sent_at| now.since(*sent_at) <= EXPECTED_FOR);
        }
    }
}

/// Moves the authority of a request's URI to its header `Host`, as an upstream expects it.
///
/// Specification: RFC 9112, section 3.2.1.
fn to_origin_form(mut request: Request<Full<Bytes>>) -> Request<Full<Bytes>> {
    let uri = request.uri();
    let host = uri.authority().and_then(|host| HeaderValue::from_str(host.as_str()).ok());
    let target = uri.path_and_query().map(|target| Uri::from(target.clone()));
    if let Some(host) = host {
        request.headers_mut().insert(header::HOST, host);
    }
    *request.uri_mut() = target.unwrap_or_default();
    request
}
