//! Logging setup and the log targets of the parts of the process.

use std::time::SystemTime;

use log::{LevelFilter, Log, SetLoggerError};
use thiserror::Error;

use crate::buffered_log::BufferedLog;
use crate::settings::LogSettings;

/// The log target for membership, templates and shutdown.
pub const NODE: &str = "node";
/// The log target for messages between peers.
pub const PEERS: &str = "peers";
/// The log target for the store and the VM list.
pub const PLATFORM: &str = "platform";
/// The log target for engines and plain services.
pub const UPSTREAMS: &str = "upstreams";
/// The log target for callers and their requests.
pub const CALLERS: &str = "callers";
/// The log target for charges, which records each bill.
pub const BILLS: &str = "bills";

/// The log target for requests on routes, which records the decisions about each request.
pub const REQUESTS: &str = "requests";

/// All log targets.
pub const LOG_TARGETS: [&str; 7] = [NODE, PEERS, PLATFORM, UPSTREAMS, CALLERS, BILLS, REQUESTS];

/// The error for logging that cannot be started.
#[derive(Debug, Error)]
pub enum LogError {
    /// Logging has already been started.
    #[error(transparent)]
    Started(#[from] SetLoggerError),
    /// The writer thread cannot be started.
    #[error("cannot start the log writer thread: {0}")]
    Thread(#[from] std::io::Error),
}

/// Starts logging to standard output from a dedicated thread.
///
/// # Errors
///
/// Fails if logging has already been started or its thread cannot be started.
pub fn start(settings: &LogSettings) -> Result<(), LogError> {
    let json = settings.json;
    let buffered: Box<dyn Log> = Box::new(BufferedLog::start(std::io::stdout())?);
    let mut dispatch = fern::Dispatch::new().level(LevelFilter::Warn).chain(buffered);
    for target in LOG_TARGETS {
        dispatch = dispatch.level_for(target, settings.level);
    }
    for (target, level) in &settings.target_levels {
        dispatch = dispatch.level_for(target.clone(), *level);
    }
    dispatch
        .format(move |out, message, record| {
            let at = humantime::format_rfc3339_millis(SystemTime::now());
            if json {
                let line = serde_json::json!({
                    "at": at.to_string(),
                    "level": record.level().as_str(),
                    "part": record.target(),
                    "text": message.to_string(),
                });
                out.finish(format_args!("{line}"));
                return;
            }
            let (level, target) = (record.level(), record.target());
            out.finish(format_args!("{at} {level:5} {target}: {message}"));
        })
        .apply()?;
    Ok(())
}
