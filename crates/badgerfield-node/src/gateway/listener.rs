//! Accepts connections of callers and shuts them down gracefully.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use badgerfield_core::amount::Time;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use crate::caller_api::listen;
use crate::driver::{Driver, StartError};
use crate::gateway::connections::configure_socket;
use crate::gateway::state::Gateway;
use crate::gateway::{directory, exchange};

/// The smallest buffer for a request head that the HTTP library accepts, in bytes.
const MIN_HEAD_BUFFER_BYTES: usize = 8 * 1024;
/// How long connections are still accepted after the process begins to stop, because callers
/// cache responses of the directory.
const LINGER_TIME: Duration = Duration::from_millis(3500);
/// The delay after an error of accepting a connection, for example when file descriptors are
/// exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves requests on routes until the process exits, if the settings enable them.
///
/// # Errors
///
/// Fails if an address is in use.
pub async fn serve(driver: &Arc<Driver>) -> Result<(), StartError> {
    let Some((gateway, settings)) = driver.gateway().cloned().zip(driver.settings.gateway) else {
        return Ok(());
    };
    directory::serve(driver, &gateway, settings.directory_address, settings.readiness_address)
        .await?;
    let listener = listen(settings.request_address).await?;
    let connection_slots = Arc::new(Semaphore::new(settings.max_connections));
    let driver = Arc::clone(driver);
    tokio::spawn(async move {
        loop {
            let Ok(slot) = Arc::clone(&connection_slots).acquire_owned().await else {
                return;
            };
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = driver.sleep_until_stopped_for(LINGER_TIME) => return,
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let (driver, gateway) = (Arc::clone(&driver), Arc::clone(&gateway));
            tokio::spawn(async move {
                serve_connection(driver, gateway, stream).await;
                drop(slot);
            });
        }
    });
    Ok(())
}

/// The activity of one connection.
#[derive(Debug)]
struct ConnectionActivity {
    started: Time,
    open_requests: AtomicUsize,
    /// When the last request ended, in milliseconds after the start.
    last_end_ms: AtomicU64,
}

impl ConnectionActivity {
    fn record_end(&self, now: Time) {
        let millis = u64::try_from(now.since(self.started).as_millis()).unwrap_or(u64::MAX);
        self.last_end_ms.store(millis, Ordering::Relaxed);
    }

    /// Returns when the connection reaches its idle timeout if no request arrives.
    fn idle_deadline(&self, now: Time, idle: Duration) -> Time {
        if self.open_requests.load(Ordering::Relaxed) > 0 {
            return now.after(idle);
        }
        self.started
            .after(Duration::from_millis(self.last_end_ms.load(Ordering::Relaxed)))
            .after(idle)
    }
}

async fn serve_connection(driver: Arc<Driver>, gateway: Arc<Gateway>, stream: TcpStream) {
    configure_socket(&stream);
    let activity = Arc::new(ConnectionActivity {
        started: driver.now(),
        open_requests: AtomicUsize::new(0),
        last_end_ms: AtomicU64::new(0),
    });
    let limits = gateway.routes().table.limits();
    let service = {
        let (driver, gateway, activity) =
            (Arc::clone(&driver), Arc::clone(&gateway), Arc::clone(&activity));
        service_fn(move |request| {
            let (driver, gateway) = (Arc::clone(&driver), Arc::clone(&gateway));
            let activity = Arc::clone(&activity);
            async move {
                activity.open_requests.fetch_add(1, Ordering::Relaxed);
                let response = exchange::serve(Arc::clone(&driver), gateway, request).await;
                activity.open_requests.fetch_sub(1, Ordering::Relaxed);
                activity.record_end(driver.now());
                Ok::<_, Infallible>(response)
            }
        })
    };
    let served = http1::Builder::new()
        .max_buf_size(limits.head.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut served = std::pin::pin!(served);
    loop {
        let idle = gateway.routes().table.limits().idle;
        let idle_deadline = activity.idle_deadline(driver.now(), idle);
        tokio::select! {
            // The result is ignored: only the requests of the connection depend on it.
            _ = &mut served => return,
            () = driver.sleep_until_stopped_for(LINGER_TIME) => break,
            () = driver.clock.sleep_until(idle_deadline) => {
                let now = driver.now();
                if activity.idle_deadline(now, idle) <= now {
                    break;
                }
            }
        }
    }
    served.as_mut().graceful_shutdown();
    let _ = served.await;
}
