//! Accepts the connections of callers of routes.

use std::sync::Arc;

use hyper::server::conn::http1;

use crate::caller_api::listen;
use crate::driver::{Driver, StartError};
use crate::gateway::state::Gateway;
use crate::gateway::{directory, exchange};
use crate::serving::{self, Connection};

/// The smallest buffer for a request head that the HTTP library accepts, in bytes.
const MIN_HEAD_BUFFER_BYTES: usize = 8 * 1024;

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
    let serve =
        move |driver, connection| serve_connection(driver, Arc::clone(&gateway), connection);
    serving::spawn_listener(driver, listener, settings.max_connections, serve);
    Ok(())
}

async fn serve_connection(driver: Arc<Driver>, gateway: Arc<Gateway>, connection: Connection) {
    let limits = gateway.routes().table.limits();
    let mut builder = http1::Builder::new();
    builder.max_buf_size(limits.head.max(MIN_HEAD_BUFFER_BYTES));
    let idle_timeout = || Some(gateway.routes().table.limits().idle);
    let respond = |request| exchange::serve(Arc::clone(&driver), Arc::clone(&gateway), request);
    // The result is ignored: only the requests of the connection depend on it.
    let _ = connection.serve(&driver, &builder, idle_timeout, respond).await;
}
