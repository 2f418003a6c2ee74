//! Takes connections of callers, and closes them in good order.

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
use crate::gateway::connections::guard;
use crate::gateway::state::Gateway;
use crate::gateway::{directory, flow};

/// The smallest buffer for a head that the HTTP library takes, in bytes.
const LEAST_HEAD: usize = 8 * 1024;
/// How long callers may still come after the order to stop: they keep what the
/// directory said for a while.
const LINGER: Duration = Duration::from_millis(3500);
/// How long accepting rests after it failed, as it does without descriptors.
const PAUSE: Duration = Duration::from_millis(50);

/// Serves requests on routes until the process ends, if the settings ask for that.
///
/// # Errors
///
/// Fails if an address is taken.
pub async fn serve(driver: &Arc<Driver>) -> Result<(), StartError> {
    let Some((gateway, settings)) = driver.gateway().cloned().zip(driver.settings.gateway) else {
        return Ok(());
    };
    directory::serve(driver, &gateway, settings.directory_address, settings.ready).await?;
    let listener = listen(settings.request_address).await?;
    let places = Arc::new(Semaphore::new(settings.connections));
    let driver = Arc::clone(driver);
    tokio::spawn(async move {
        loop {
            let Ok(place) = Arc::clone(&places).acquire_owned().await else {
                return;
            };
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = driver.lingered(LINGER) => return,
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(PAUSE).await;
                continue;
            };
            let (driver, gateway) = (Arc::clone(&driver), Arc::clone(&gateway));
            tokio::spawn(async move {
                connection(driver, gateway, stream).await;
                drop(place);
            });
        }
    });
    Ok(())
}

/// What is known of one connection's use.
#[derive(Debug)]
struct Use {
    started: Time,
    open: AtomicUsize,
    /// When the last request ended, in milliseconds after the start.
    last: AtomicU64,
}

impl Use {
    fn note(&self, now: Time) {
        let millis = u64::try_from(now.since(self.started).as_millis()).unwrap_or(u64::MAX);
        self.last.store(millis, Ordering::Relaxed);
    }

    /// Returns when the connection has rested for too long, if nothing comes.
    fn rests_until(&self, now: Time, idle: Duration) -> Time {
        if self.open.load(Ordering::Relaxed) > 0 {
            return now.after(idle);
        }
        self.started.after(Duration::from_millis(self.last.load(Ordering::Relaxed))).after(idle)
    }
}

async fn connection(driver: Arc<Driver>, gateway: Arc<Gateway>, stream: TcpStream) {
    guard(&stream);
    let used =
        Arc::new(Use { started: driver.now(), open: AtomicUsize::new(0), last: AtomicU64::new(0) });
    let limits = gateway.in_force().table.limits();
    let service = {
        let (driver, gateway, used) =
            (Arc::clone(&driver), Arc::clone(&gateway), Arc::clone(&used));
        service_fn(move |request| {
            let (driver, gateway) = (Arc::clone(&driver), Arc::clone(&gateway));
            let used = Arc::clone(&used);
            async move {
                used.open.fetch_add(1, Ordering::Relaxed);
                let response = flow::serve(Arc::clone(&driver), gateway, request).await;
                used.open.fetch_sub(1, Ordering::Relaxed);
                used.note(driver.now());
                Ok::<_, Infallible>(response)
            }
        })
    };
    let served = http1::Builder::new()
        .max_buf_size(limits.head.max(LEAST_HEAD))
        .serve_connection(TokioIo::new(stream), service);
    let mut served = std::pin::pin!(served);
    loop {
        let idle = gateway.in_force().table.limits().idle;
        let rests_until = used.rests_until(driver.now(), idle);
        tokio::select! {
            // How a connection ends matters to its requests only.
            _ = &mut served => return,
            () = driver.lingered(LINGER) => break,
            () = driver.clock.sleep_until(rests_until) => {
                let now = driver.now();
                if used.rests_until(now, idle) <= now {
                    break;
                }
            }
        }
    }
    served.as_mut().graceful_shutdown();
    let _ = served.await;
}
