//! How much memory the process uses, and how large the view is, which takes most of it when no view
//! becomes complete.
//!
//! The platform ends a process that exceeds its memory without a word to it, so the process tells
//! beforehand.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::Epoch;
use badgerfield_core::view_status::ViewStatus;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use thiserror::Error;

use crate::logs::NODE;

/// The interval between readings. A process that grows fast reaches its limit within seconds of the
/// warning.
pub(crate) const READ_INTERVAL: Duration = Duration::from_secs(1);
/// The share of the limit, in percent, above which the process warns.
const WARNING_PERCENT: u64 = 80;
/// The file in which the kernel states the memory of the process.
const STATUS_FILE: &str = "/proc/self/status";

/// A size in units of 1,024 bytes, as the kernel states it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Kilobytes(pub u64);

impl Kilobytes {
    /// Converts a size in MB of 1,000,000 bytes, rounded down.
    #[must_use]
    pub fn from_megabytes(megabytes: u64) -> Self {
        Self(megabytes.saturating_mul(1_000_000) / 1024)
    }
}

/// The memory of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MemoryUsage {
    /// The resident memory.
    pub resident: Kilobytes,
    /// The highest resident memory since the process started.
    pub peak: Kilobytes,
}

/// Why the memory of the process is not known.
#[derive(Debug, Error)]
pub enum MemoryError {
    /// The file cannot be read.
    #[error("cannot read {STATUS_FILE}: {0}")]
    Read(#[from] std::io::Error),
    /// The file lacks a value.
    #[error("expected VmRSS and VmHWM in {STATUS_FILE}")]
    Missing,
}

impl MemoryUsage {
    /// Reads the memory from the text that the kernel gives.
    ///
    /// # Errors
    ///
    /// Fails if the text lacks a value.
    pub fn parse(text: &str) -> Result<Self, MemoryError> {
        let value = |name: &str| {
            let line = text.lines().find_map(|line| line.strip_prefix(name))?;
            line.split_whitespace().next()?.parse().ok().map(Kilobytes)
        };
        let resident = value("VmRSS:").ok_or(MemoryError::Missing)?;
        let peak = value("VmHWM:").ok_or(MemoryError::Missing)?;
        Ok(Self { resident, peak })
    }
}

/// Reads the memory of this process.
///
/// # Errors
///
/// Fails if the kernel does not state it.
pub fn read_usage() -> Result<MemoryUsage, MemoryError> {
    MemoryUsage::parse(&std::fs::read_to_string(STATUS_FILE)?)
}

/// Decides what is worth a line of the log.
#[derive(Debug, Default)]
pub struct MemoryWatch {
    limit: Option<Kilobytes>,
    is_above: bool,
    is_unreadable: bool,
    /// The newest complete epoch, and when it was complete last.
    complete: Option<(Epoch, Time)>,
}

impl MemoryWatch {
    /// Creates a watch for a process with a memory limit, if there is one.
    #[must_use]
    pub fn new(limit: Option<Kilobytes>) -> Self {
        Self { limit, ..Self::default() }
    }

    /// Returns the memory limit.
    #[must_use]
    pub fn limit(&self) -> Option<Kilobytes> {
        self.limit
    }

    /// Records a reading. Returns whether the process has passed the share of its limit above which
    /// it warns, since the last reading.
    pub fn record_usage(&mut self, usage: MemoryUsage) -> bool {
        let was_above = self.is_above;
        self.is_above = self.limit.is_some_and(|limit| {
            usage.resident.0.saturating_mul(100) > limit.0.saturating_mul(WARNING_PERCENT)
        });
        self.is_above && !was_above
    }

    /// Records that the memory cannot be read. Returns whether this is the first time.
    pub fn record_error(&mut self) -> bool {
        !std::mem::replace(&mut self.is_unreadable, true)
    }

    /// Records the view. Returns for how long no view has been complete.
    pub fn record_view(&mut self, now: Time, view: &ViewStatus) -> Duration {
        let is_complete = view.complete_epoch == view.epoch;
        match self.complete {
            Some((epoch, at)) if epoch == view.complete_epoch && !is_complete => now.since(at),
            _ => {
                self.complete = Some((view.complete_epoch, now));
                Duration::ZERO
            }
        }
    }
}

type Number = Gauge<u64, AtomicU64>;

/// The gauges of the memory and of the view.
#[derive(Debug, Default)]
pub(crate) struct MemoryMetrics {
    resident: Number,
    peak: Number,
    limit: Number,
    epoch: Number,
    complete_epoch: Number,
    incomplete_ms: Number,
    members: Number,
    arbiters: Number,
    uncertain: Number,
    view_bytes: Number,
}

impl MemoryMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let mut add = |name: &str, help: &str, gauge: &Number| {
            registry.register(name, help, gauge.clone());
        };
        add("memory_resident_kb", "Resident memory", &self.resident);
        add("memory_peak_kb", "Highest resident memory since the start", &self.peak);
        add("memory_limit_kb", "Memory that the process may use; 0: no limit", &self.limit);
        add("view_complete_epoch", "Number of the last complete view", &self.complete_epoch);
        add("view_incomplete_ms", "Time without a complete view", &self.incomplete_ms);
        add("view_arbiters", "Recent arbiters in the view", &self.arbiters);
        add("view_uncertain_arbiters", "Arbiters of uncertain keys in the view", &self.uncertain);
        add("view_bytes", "Size of the encoded view", &self.view_bytes);
    }

    /// Sets the memory of the process.
    pub(crate) fn set_usage(&self, usage: MemoryUsage, limit: Option<Kilobytes>) {
        self.resident.set(usage.resident.0);
        self.peak.set(usage.peak.0);
        self.limit.set(limit.unwrap_or_default().0);
    }

    /// Sets the size of the view, and for how long none has been complete.
    pub(crate) fn set_view(&self, view: &ViewStatus, incomplete: Duration) {
        let count = |n: usize| u64::try_from(n).unwrap_or(u64::MAX);
        self.epoch.set(view.epoch.0);
        self.complete_epoch.set(view.complete_epoch.0);
        self.incomplete_ms.set(u64::try_from(incomplete.as_millis()).unwrap_or(u64::MAX));
        self.members.set(count(view.members));
        self.arbiters.set(count(view.recent_arbiters));
        self.uncertain.set(count(view.uncertain_arbiters));
        self.view_bytes.set(count(view.encoded_bytes));
    }

    /// Logs the last values in one line.
    pub(crate) fn log(&self) {
        log::info!(target: NODE, "memory {}", self.values());
    }

    /// Warns that the process is about to exceed its memory.
    pub(crate) fn warn(&self) {
        log::warn!(target: NODE, "memory near its limit {}", self.values());
    }

    fn values(&self) -> String {
        format!(
            "resident_kb={} peak_kb={} limit_kb={} view=e{} complete=e{} incomplete_ms={} \
             members={} arbiters={} uncertain={} view_bytes={}",
            self.resident.get(),
            self.peak.get(),
            self.limit.get(),
            self.epoch.get(),
            self.complete_epoch.get(),
            self.incomplete_ms.get(),
            self.members.get(),
            self.arbiters.get(),
            self.uncertain.get(),
            self.view_bytes.get()
        )
    }
}
