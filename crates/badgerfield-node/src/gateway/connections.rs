//! Connections to upstreams. Idle ones are kept for later requests; each serves one request at a
//! time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::UpstreamId;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::adapter::Dialer;
use crate::clock::Clock;
use crate::gateway::upstream_stream::{OpenTime, UpstreamStream};
use crate::sync::lock;

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long an idle connection is kept if the upstream announces no timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// How much earlier than the upstream this process closes an idle connection.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(900);
/// The idle time before keepalive probes are sent, and the interval between them.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// How long the address of an upstream may take to accept or refuse a connection after an earlier
/// one failed. A reply takes one round trip, and a caller waits for it.
pub(crate) const LISTEN_TIMEOUT: Duration = Duration::from_millis(150);

/// How long a new connection must stay open before its upstream counts as running. A caller whose
/// response ended early waits for this.
const MIN_OPEN_TIME: Duration = Duration::from_millis(20);

/// How long an upstream is watched for a crash. A poison request crashes an upstream soon, but a
/// busy VM may take longer to close the sockets of the process.
pub(crate) const CRASH_WATCH_TIME: Duration = Duration::from_secs(1);

/// The reason why a connection could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectError {
    /// No process listens at the address: the upstream has exited.
    Refused,
    /// The connection failed for another or an unknown reason.
    Failed,
}

/// The result of probing whether a process listens at an address.
#[derive(Debug)]
pub(crate) enum ProbeResult {
    /// The address accepts connections, such as this one.
    Open(Connection),
    /// No process listens at the address: the upstream has exited.
    Refused,
    /// The address did not reply in time.
    Unknown,
}

impl ProbeResult {
    /// Returns the value for the log.
    pub(crate) fn as_str(&self) -> &'static str {
        match self {
            Self::Open(_) => "open",
            Self::Refused => "refused",
            Self::Unknown => "silent",
        }
    }
}

/// An open connection that is used by one request. It is closed on drop.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    address: SocketAddr,
    /// When it was opened.
    pub(crate) opened_at: Time,
    /// Until when it was open, if it is watched.
    pub(crate) open_time: Arc<OpenTime>,
    /// Whether the connection has served an earlier request.
    pub(crate) reused: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The reason why no head of a response arrived.
#[derive(Debug)]
pub(crate) enum SendError {
    /// Nothing was sent. The request is returned.
    NotSent(Box<Request<Full<Bytes>>>),
    /// The request may have arrived.
    Broken,
}

impl Connection {
    /// Opens a connection.
    async fn open(
        dialer: &dyn Dialer,
        clock: &Arc<Clock>,
        address: SocketAddr,
    ) -> Result<Self, ConnectError> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, dialer.connect(address)).await;
        let stream = stream.map_err(|_| ConnectError::Failed)?.map_err(|error| {
            let is_refused = error.kind() == std::io::ErrorKind::ConnectionRefused;
            if is_refused { ConnectError::Refused } else { ConnectError::Failed }
        })?;
        configure_socket(&stream);
        let stream = UpstreamStream::new(stream, clock);
        let open_time = stream.open_time();
        let handshake =
            http1::Builder::new().max_buf_size(64 * 1024).handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| ConnectError::Failed)?;
        let task = tokio::spawn(async move {
            // The result is ignored: the request on the connection sees the error.
            let _ = connection.await;
        });
        Ok(Self { sender, task, address, opened_at: clock.now(), open_time, reused: false })
    }

    /// Sends a request and waits for the head of its response.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::NotSent(Box::new(request)));
        }
        self.open_time.record_request();
        self.sender.try_send_request(request).await.map_err(|mut error| {
            match error.take_message() {
                Some(request) => SendError::NotSent(Box::new(request)),
                None => SendError::Broken,
            }
        })
    }

    /// Waits until the connection is closed. It cannot be used afterwards.
    pub(crate) async fn wait_until_closed(&mut self) {
        // The task only fails if it is aborted, which closes the connection too.
        let _ = (&mut self.task).await;
    }

    /// Waits until the connection is ready for another request. Returns `false` if it closes.
    async fn becomes_ready(&mut self) -> bool {
        tokio::time::timeout(Duration::from_millis(20), self.sender.ready())
            .await
            .is_ok_and(|ready| ready.is_ok())
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    expires_at: Time,
}

/// The idle connections to all upstreams.
#[derive(Debug)]
pub(crate) struct Connections {
    clock: Arc<Clock>,
    dialer: Arc<dyn Dialer>,
    idle: Mutex<HashMap<UpstreamId, Vec<Idle>>>,
}

impl Connections {
    pub(crate) fn new(clock: Arc<Clock>, dialer: Arc<dyn Dialer>) -> Self {
        Self { clock, dialer, idle: Mutex::default() }
    }

    /// Takes an idle connection to an upstream, or opens a new one.
    pub(crate) async fn take(
        &self,
        id: &UpstreamId,
        address: SocketAddr,
    ) -> Result<Connection, ConnectError> {
        if let Some(connection) = self.take_idle(id, address) {
            return Ok(connection);
        }
        self.open(address).await
    }

    /// Opens a new connection to an upstream.
    pub(crate) async fn open(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        Connection::open(&*self.dialer, &self.clock, address).await
    }

    /// Probes whether a process still listens at the address of an upstream after its connection
    /// failed.
    pub(crate) async fn probe_listener(&self, address: SocketAddr) -> ProbeResult {
        match self.probe_once(address).await {
            ProbeResult::Open(mut connection) => {
                // A process that exits may close its connections shortly before it stops listening.
                match tokio::time::timeout(MIN_OPEN_TIME, &mut connection.task).await {
                    Ok(_) => self.probe_once(address).await,
                    Err(_) => ProbeResult::Open(connection),
                }
            }
            other => other,
        }
    }

    /// Returns whether an address accepts a connection, which is closed at once.
    pub(crate) async fn accepts_connection(&self, address: SocketAddr) -> bool {
        matches!(self.probe_once(address).await, ProbeResult::Open(_))
    }

    /// Returns whether an address refuses a connection. One that it accepts is closed at once.
    pub(crate) async fn is_refused(&self, address: SocketAddr) -> bool {
        matches!(self.probe_once(address).await, ProbeResult::Refused)
    }

    async fn probe_once(&self, address: SocketAddr) -> ProbeResult {
        match tokio::time::timeout(LISTEN_TIMEOUT, self.open(address)).await {
            Ok(Ok(connection)) => ProbeResult::Open(connection),
            Ok(Err(ConnectError::Refused)) => ProbeResult::Refused,
            Ok(Err(ConnectError::Failed)) | Err(_) => ProbeResult::Unknown,
        }
    }

    /// Returns whether an upstream exits while it is watched over a connection.
    pub(crate) async fn exits_soon(self: &Arc<Self>, id: &UpstreamId, address: SocketAddr) -> bool {
        match self.take(id, address).await {
            Ok(connection) => self.exits_within(id, address, connection, CRASH_WATCH_TIME).await,
            Err(error) => error == ConnectError::Refused,
        }
    }

    /// Returns whether an upstream that accepted a connection exits within a span. If the
    /// connection stays open, it is kept for the next request.
    pub(crate) async fn exits_within(
        self: &Arc<Self>,
        id: &UpstreamId,
        address: SocketAddr,
        mut connection: Connection,
        span: Duration,
    ) -> bool {
        let deadline = self.clock.now().after(span);
        let mut delay = MIN_OPEN_TIME;
        loop {
            let remaining = deadline.since(self.clock.now());
            if tokio::time::timeout(remaining, &mut connection.task).await.is_err() {
                self.keep(id.clone(), connection, None);
                return false;
            }
            // A process that exits may accept connections until the end, and one that keeps running
            // may close any of them.
            tokio::time::sleep(delay).await;
            delay = delay.saturating_mul(2);
            connection = match self.probe_once(address).await {
                ProbeResult::Open(connection) => connection,
                ProbeResult::Refused => return true,
                ProbeResult::Unknown => return false,
            };
        }
    }

    /// Takes an idle connection to an upstream, if there is one.
    pub(crate) fn take_idle(&self, id: &UpstreamId, address: SocketAddr) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let list = idle.get_mut(id)?;
        let now = self.clock.now();
        while let Some(mut last) = list.pop() {
            if last.expires_at <= now || last.connection.sender.is_closed() {
                continue;
            }
            // An upstream with the same id may have another address by now.
            if !last.connection.sender.is_ready() || last.connection.address != address {
                continue;
            }
            last.connection.reused = true;
            return Some(last.connection);
        }
        None
    }

    /// Keeps the connection of a successful request once it is ready for another one.
    pub(crate) fn keep(
        self: &Arc<Self>,
        id: UpstreamId,
        mut connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        let span =
            keep_alive.map_or(DEFAULT_KEEP_ALIVE, |span| span.saturating_sub(KEEP_ALIVE_MARGIN));
        if span.is_zero() {
            return;
        }
        let connections = Arc::clone(self);
        tokio::spawn(async move {
            if !connection.becomes_ready().await {
                return;
            }
            let expires_at = connections.clock.now().after(span);
            let mut idle = lock(&connections.idle);
            idle.entry(id).or_default().push(Idle { connection, expires_at });
        });
    }

    /// Closes the idle connections to upstreams.
    pub(crate) fn close(&self, ids: &[UpstreamId]) {
        let mut idle = lock(&self.idle);
        for id in ids {
            idle.remove(id);
        }
    }

    /// Closes connections whose idle time is over, and those to upstreams that are not wanted.
    pub(crate) fn sweep(&self, is_wanted: impl Fn(&UpstreamId) -> bool) {
        let now = self.clock.now();
        let mut idle = lock(&self.idle);
        idle.retain(|id, list| {
            list.retain(|i| i.expires_at > now && !i.connection.sender.is_closed());
            !list.is_empty() && is_wanted(id)
        });
    }
}

/// Configures a socket so that it detects the loss of an idle peer.
///
/// It sets no limit for unacknowledged bytes: the operating system also applies that to a peer that
/// is there but does not read. Whoever writes to the socket limits how long that may take.
pub(crate) fn configure_socket(stream: &TcpStream) {
    // A socket without these options still works: timeouts at higher layers detect the loss later.
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let probes =
        TcpKeepalive::new().with_time(PROBE_INTERVAL).with_interval(PROBE_INTERVAL).with_retries(2);
    let _ = socket.set_tcp_keepalive(&probes);
}

/// Parses the time for which an upstream keeps an idle connection open.
pub(crate) fn keep_alive_timeout(head: &hyper::HeaderMap) -> Option<Duration> {
    let text = head.get("keep-alive")?.to_str().ok()?;
    let timeout = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
