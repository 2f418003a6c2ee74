//! `badgerfield run`.

use std::path::{Path, PathBuf};

use std::num::NonZero;
use std::pin::pin;
use std::sync::Arc;

use anyhow::Result;
use badgerfield_node::adapter::PlatformAdapter;
use badgerfield_node::driver::Driver;
use badgerfield_node::etcd::EtcdStore;
use badgerfield_node::gateway::listener;
use badgerfield_node::settings::AdapterKind;
use badgerfield_node::settings::Settings;
use badgerfield_node::{caller_api, logs, operator_api};
use clap::ArgMatches;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};

use crate::DONE;

pub(crate) fn run(args: &ArgMatches) -> Result<u8> {
    let path: &PathBuf = args.get_one("settings").expect("the argument is required");
    let settings = Settings::load(path)?;
    logs::start(&settings.log)?;
    let result = build_runtime()?.block_on(serve(path, settings));
    log::logger().flush();
    result?;
    Ok(DONE)
}

async fn serve(path: &Path, settings: Settings) -> Result<()> {
    let mut sigterm = signal(SignalKind::terminate())?;
    let mut sigint = signal(SignalKind::interrupt())?;
    let mut sighup = signal(SignalKind::hangup())?;
    let adapter = new_adapter(&settings)?;
    let driver = Driver::new(settings, adapter)?;
    operator_api::serve(std::sync::Arc::clone(&driver)).await?;
    caller_api::serve(std::sync::Arc::clone(&driver)).await?;
    listener::serve(&driver).await?;
    driver.start();
    // One future to the end: a signal must not start over what has begun.
    let mut exit = pin!(driver.wait_for_exit());
    loop {
        tokio::select! {
            _ = sigterm.recv() => driver.stop(),
            _ = sigint.recv() => driver.stop(),
            _ = sighup.recv() => check_settings(path),
            () = &mut exit => return Ok(()),
        }
    }
}

/// Builds the runtime. On a single core it has one thread, since more threads would only add
/// context switches.
fn build_runtime() -> std::io::Result<Runtime> {
    let cores = std::thread::available_parallelism().map_or(1, NonZero::get);
    if cores == 1 {
        return Builder::new_current_thread().enable_all().build();
    }
    Builder::new_multi_thread().enable_all().build()
}

/// Returns the adapter for the platform in the settings.
pub(crate) fn new_adapter(settings: &Settings) -> Result<PlatformAdapter> {
    let platform = &settings.platform;
    match platform.adapter {
        AdapterKind::Etcd => {
            let store = EtcdStore::new(
                platform.store_uri.clone(),
                platform.prefix.clone(),
                platform.timeout,
            );
            Ok(PlatformAdapter { store: Arc::new(store), route_adapter: None })
        }
        AdapterKind::Platform => Ok(badgerfield_platform::new_adapter(platform)?),
    }
}

/// Validates the settings file on SIGHUP and logs the result.
///
/// The settings of the process stay in force until it is restarted, since addresses and keys cannot
/// change under open connections.
fn check_settings(path: &Path) {
    match Settings::load(path) {
        Ok(_) => log::info!(target: logs::NODE, "reload outcome=good; applied at the next start"),
        Err(error) => log::error!(target: logs::NODE, "reload outcome=faulty: {error}"),
    }
}
