//! Accepts the connections of an interface, and serves each to its end.
//!
//! What is accepted while the process ends is answered, or the process waits for it: a caller that
//! gets no answer on an accepted connection cannot tell whether its request has run.

use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use badgerfield_core::amount::Time;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::caller_stream::{CallerStream, LastAnswer, ends_with_connection};
use crate::driver::Driver;
use crate::gateway::connections::configure_socket;
use crate::logs::NODE;
use crate::shutdown::{InUse, Use};

/// The delay after an error of accepting a connection, for example when file descriptors are
/// exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long an accepted connection may stay without its first request once the process has stopped
/// to listen: the request may be on its way.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(200);
/// How long a connection without an open request may take to end once the process has stopped to
/// listen: its caller may read the last answer slowly, or never finish a request that it began. The
/// process has to end within what is left of the grace time of its stop.
const LAST_BYTES_TIME: Duration = Duration::from_secs(3);

/// How long a peer may stall where the operator sets no idle timeout.
const MAX_STALL_TIME: Duration = Duration::from_secs(15);
/// How long a peer may stall however short the idle timeout or the grace time is.
const MIN_STALL_TIME: Duration = Duration::from_secs(3);

/// The activity of one connection.
#[derive(Debug)]
struct Activity {
    started: Time,
    has_request: AtomicBool,
    open_requests: AtomicUsize,
    /// When the last request ended, in milliseconds after the start.
    last_end_ms: AtomicU64,
}

impl Activity {
    /// Returns when the connection has had no open request for so long, if no request arrives.
    fn idle_deadline(&self, now: Time, idle: Duration) -> Time {
        if self.open_requests.load(Ordering::Relaxed) > 0 {
            return now.after(idle);
        }
        self.started
            .after(Duration::from_millis(self.last_end_ms.load(Ordering::Relaxed)))
            .after(idle)
    }
}

/// A request of a connection, open until the last part of its answer was taken or its caller left.
struct OpenRequest {
    driver: Arc<Driver>,
    activity: Arc<Activity>,
}

impl OpenRequest {
    fn new(driver: &Arc<Driver>, activity: &Arc<Activity>) -> Self {
        activity.has_request.store(true, Ordering::Relaxed);
        activity.open_requests.fetch_add(1, Ordering::Relaxed);
        Self { driver: Arc::clone(driver), activity: Arc::clone(activity) }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let span = self.driver.now().since(self.activity.started);
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        self.activity.last_end_ms.store(millis, Ordering::Relaxed);
        self.activity.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The body of an answer, with the request that it belongs to.
struct AnswerBody<B> {
    body: B,
    /// The state of the answer if it ends with its connection.
    last_answer: Option<Arc<LastAnswer>>,
    _request: OpenRequest,
}

impl<B: Body + Unpin> Body for AnswerBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        // A body that says that it has ended is not polled again.
        let has_ended = match &frame {
            Some(frame) => frame.is_ok() && self.body.is_end_stream(),
            None => true,
        };
        if has_ended && let Some(last_answer) = &self.last_answer {
            last_answer.finish();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// An accepted connection. The process does not end before it is dropped.
pub(crate) struct Connection {
    stream: TcpStream,
    _in_use: InUse,
    _slot: Option<OwnedSemaphorePermit>,
}

/// Spawns a task that accepts connections until the process stops to listen.
pub(crate) fn spawn_listener<S, F>(
    driver: &Arc<Driver>,
    listener: TcpListener,
    max_connections: usize,
    serve: S,
) where
    S: Fn(Arc<Driver>, Connection) -> F + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let driver = Arc::clone(driver);
    let listening = driver.shutdown.track(Use::Listener);
    let slots = Arc::new(Semaphore::new(max_connections));
    tokio::spawn(async move {
        let spawn = |stream, slot| {
            configure_socket(&stream);
            let in_use = driver.shutdown.track(Use::Connection);
            let connection = Connection { stream, _in_use: in_use, _slot: slot };
            tokio::spawn(serve(Arc::clone(&driver), connection));
        };
        loop {
            let accepted = tokio::select! {
                accepted = accept(&listener, &slots) => accepted,
                () = driver.shutdown.stopped_listening() => break,
            };
            match accepted {
                Ok((stream, slot)) => spawn(stream, slot),
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
        for stream in close(listener) {
            spawn(stream, None);
        }
        drop(listening);
    });
}

async fn accept(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
) -> std::io::Result<(TcpStream, Option<OwnedSemaphorePermit>)> {
    // The semaphore is never closed.
    let slot = Arc::clone(slots).acquire_owned().await.ok();
    let (stream, _) = listener.accept().await?;
    Ok((stream, slot))
}

/// Closes a listener and returns the connections that the operating system had accepted for it: it
/// would reset them.
fn close(listener: TcpListener) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!(target: NODE, "a listener was closed with connections: {error}");
            return streams;
        }
    };
    // The listener does not block, so the first error says that no connection is left.
    while let Ok((stream, _)) = listener.accept() {
        let adopted = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        match adopted {
            Ok(stream) => streams.push(stream),
            Err(error) => log::warn!(target: NODE, "an accepted connection was lost: {error}"),
        }
    }
    streams
}

/// Returns how long a peer may stall: as long as its connection may be idle, and so that a process
/// that stops is rid of it within three quarters of the grace time.
fn stall_limit(driver: &Driver, idle: Option<Duration>) -> Duration {
    let idle = idle.unwrap_or(MAX_STALL_TIME);
    let grace = driver.settings.gateway.map(|gateway| gateway.shutdown_timeout);
    let limit = grace.map_or(idle, |grace| idle.min(grace * 3 / 4));
    limit.max(MIN_STALL_TIME)
}

/// Limits how long the peer may read nothing while bytes are to be sent, or leave them
/// unacknowledged.
fn limit_stalls(stream: &TcpStream, limit: Duration) {
    if let Err(error) = SockRef::from(stream).set_tcp_user_timeout(Some(limit)) {
        log::warn!(target: NODE, "a connection has no limit for stalls: {error}");
    }
}

impl Connection {
    /// Serves the requests of the connection until its last byte is written.
    ///
    /// # Errors
    ///
    /// Fails if the connection does, for example because its caller left.
    pub(crate) async fn serve<R, F, B>(
        self,
        driver: &Arc<Driver>,
        builder: &http1::Builder,
        idle_timeout: impl Fn() -> Option<Duration>,
        respond: R,
    ) -> hyper::Result<()>
    where
        R: Fn(Request<Incoming>) -> F,
        F: Future<Output = Response<B>>,
        B: Body<Data = Bytes> + Unpin + 'static,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        let Self { stream, _in_use, _slot } = self;
        limit_stalls(&stream, stall_limit(driver, idle_timeout()));
        let activity = Arc::new(Activity {
            started: driver.now(),
            has_request: AtomicBool::new(false),
            open_requests: AtomicUsize::new(0),
            last_end_ms: AtomicU64::new(0),
        });
        let last_answer = Arc::new(LastAnswer::default());
        let service = service_fn(|request: Request<Incoming>| {
            let open_request = OpenRequest::new(driver, &activity);
            let (version, method) = (request.version(), request.method().clone());
            let last_answer = Arc::clone(&last_answer);
            let response = respond(request);
            async move {
                let mut response = response.await;
                if open_request.driver.shutdown.stop().is_some() {
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                let last_answer =
                    ends_with_connection(version, &method, &response).then_some(last_answer);
                if let Some(last_answer) = &last_answer {
                    last_answer.begin();
                }
                let body = |body| AnswerBody { body, last_answer, _request: open_request };
                Ok::<_, Infallible>(response.map(body))
            }
        });
        let stream = CallerStream::new(stream, Arc::clone(&last_answer));
        let mut served = pin!(builder.serve_connection(stream, service));
        let clock = &driver.clock;
        loop {
            let idle = idle_timeout().unwrap_or(Duration::MAX);
            let idle_deadline = activity.idle_deadline(driver.now(), idle);
            tokio::select! {
                result = &mut served => return result,
                () = driver.shutdown.stopped_listening() => break,
                () = clock.sleep_until(idle_deadline) => {
                    let now = driver.now();
                    if activity.idle_deadline(now, idle) <= now {
                        break;
                    }
                }
            }
        }
        if !activity.has_request.load(Ordering::Relaxed) {
            tokio::select! {
                result = &mut served => return result,
                () = clock.sleep(FIRST_REQUEST_TIME) => {}
            }
        }
        served.as_mut().graceful_shutdown();
        let closing_since = driver.now();
        loop {
            tokio::select! {
                result = &mut served => return result,
                () = clock.sleep(LAST_BYTES_TIME) => {
                    let now = driver.now();
                    let quiet_since = activity.idle_deadline(now, Duration::ZERO);
                    if now.since(quiet_since.max(closing_since)) >= LAST_BYTES_TIME {
                        return Ok(());
                    }
                }
            }
        }
    }
}
