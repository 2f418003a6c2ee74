//! `badgerfield run`.

use std::path::{Path, PathBuf};

use std::num::NonZero;
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
    let served = runtime()?.block_on(serve(path, settings));
    log::logger().flush();
    served?;
    Ok(DONE)
}

async fn serve(path: &Path, settings: Settings) -> Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let mut hup = signal(SignalKind::hangup())?;
    let adapter = adapter(&settings)?;
    let driver = Driver::new(settings, adapter)?;
    operator_api::serve(std::sync::Arc::clone(&driver)).await?;
    caller_api::serve(std::sync::Arc::clone(&driver)).await?;
    listener::serve(&driver).await?;
    driver.start();
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => reload(path),
            () = driver.wait_for_exit() => return Ok(()),
        }
    }
    driver.stop();
    driver.wait_for_exit().await;
    Ok(())
}

/// Makes the runtime: one thread where there is one core, since more would only switch.
fn runtime() -> std::io::Result<Runtime> {
    let cores = std::thread::available_parallelism().map_or(1, NonZero::get);
    if cores == 1 {
        return Builder::new_current_thread().enable_all().build();
    }
    Builder::new_multi_thread().enable_all().build()
}

/// Chooses what translates for this platform.
pub(crate) fn adapter(settings: &Settings) -> Result<PlatformAdapter> {
    let platform = &settings.platform;
    match platform.adapter {
        AdapterKind::Etcd => {
            let kv = EtcdStore::new(
                platform.store_uri.clone(),
                platform.prefix.clone(),
                platform.timeout,
            );
            Ok(PlatformAdapter { store: Arc::new(kv), route_adapter: None })
        }
        AdapterKind::Platform => Ok(badgerfield_platform::new_adapter(platform)?),
    }
}

/// Reads the settings again on SIGHUP, and says whether they are still good.
///
/// What a process was started with stays in force until its next start: addresses and
/// keys cannot change under open connections.
fn reload(path: &Path) {
    match Settings::load(path) {
        Ok(_) => log::info!(target: logs::NODE, "reload outcome=good; in force at the next start"),
        Err(error) => log::error!(target: logs::NODE, "reload outcome=faulty: {error}"),
    }
}
