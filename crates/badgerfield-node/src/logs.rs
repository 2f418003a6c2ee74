//! Logs: short lines, each with the prefix of its part.

use std::time::SystemTime;

use log::{LevelFilter, Log, SetLoggerError};
use thiserror::Error;

use crate::buffered_log::BufferedLog;
use crate::settings::LogSettings;

/// Membership, templates and stops.
pub const NODE: &str = "node";
/// Messages between the system's processes.
pub const PEERS: &str = "peers";
/// The key-value service and the VM list.
pub const PLATFORM: &str = "platform";
/// Engines and plain services.
pub const UPSTREAMS: &str = "upstreams";
/// Callers.
pub const CALLERS: &str = "callers";
/// Charges; the record of what was billed.
pub const BILLS: &str = "bills";

/// Requests on routes; the record of decisions about each.
pub const REQUESTS: &str = "requests";

/// All parts.
pub const PARTS: [&str; 7] = [NODE, PEERS, PLATFORM, UPSTREAMS, CALLERS, BILLS, REQUESTS];

/// Why logging cannot start.
#[derive(Debug, Error)]
pub enum LogError {
    /// Logging has started already.
    #[error(transparent)]
    Started(#[from] SetLoggerError),
    /// No thread can be started for it.
    #[error("cannot start the thread that writes the log: {0}")]
    Thread(#[from] std::io::Error),
}

/// Starts logging to standard output, by a thread of its own.
///
/// # Errors
///
/// Fails if logging has started already, or its thread cannot be started.
pub fn start(settings: &LogSettings) -> Result<(), LogError> {
    let json = settings.json;
    let lines: Box<dyn Log> = Box::new(BufferedLog::start(std::io::stdout())?);
    let mut dispatch = fern::Dispatch::new().level(LevelFilter::Warn).chain(lines);
    for part in PARTS {
        dispatch = dispatch.level_for(part, settings.level);
    }
    for (part, level) in &settings.parts {
        dispatch = dispatch.level_for(part.clone(), *level);
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
            let (level, part) = (record.level(), record.target());
            out.finish(format_args!("{at} {level:5} {part}: {message}"));
        })
        .apply()?;
    Ok(())
}
