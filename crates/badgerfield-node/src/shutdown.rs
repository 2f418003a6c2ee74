//! When and why this process stops.
//!
//! The core starts a stop and names its reason; the driver changes what callers see of it only
//! then, so that the two cannot differ about whether the process stops.

use std::sync::Arc;
use std::time::Duration;

use badgerfield_core::Event;
use badgerfield_core::amount::Time;
use badgerfield_core::event::StopReason;
use tokio::sync::watch;

use crate::driver::Driver;
use crate::logs::NODE;

/// Share of the grace period of a stop, in percent, in which new requests are still accepted:
/// callers cache the answer of the directory for a while.
const ADMISSION_PERCENT: u32 = 30;

/// A stop of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Stop {
    pub(crate) since: Time,
    /// The reason in force: a removal replaces a signal.
    pub(crate) reason: StopReason,
}

/// How far the end of the process has come.
#[derive(Debug)]
pub(crate) struct Shutdown {
    /// The stop; `None` before it starts.
    stop: watch::Sender<Option<Stop>>,
    /// Whether the core has handed over its state.
    handed_over: watch::Sender<bool>,
}

impl Shutdown {
    pub(crate) fn new() -> Self {
        Self { stop: watch::Sender::new(None), handed_over: watch::Sender::new(false) }
    }

    /// Starts the stop, or makes a removal the reason of one that has started. Returns whether
    /// that changed anything.
    pub(crate) fn start(&self, now: Time, reason: StopReason) -> bool {
        self.stop.send_if_modified(|stop| {
            let since = stop.map_or(now, |stop| stop.since);
            let is_removed = stop.is_some_and(|stop| stop.reason == StopReason::Removal);
            let reason = if is_removed { StopReason::Removal } else { reason };
            let next = Some(Stop { since, reason });
            std::mem::replace(stop, next) != next
        })
    }

    /// Returns the stop, or `None` before it starts.
    pub(crate) fn stop(&self) -> Option<Stop> {
        *self.stop.borrow()
    }

    /// Waits until the stop starts.
    pub(crate) async fn started(&self) -> Option<Stop> {
        let mut stop = self.stop.subscribe();
        // The sender lives as long as the driver.
        stop.wait_for(Option::is_some).await.ok().and_then(|stop| *stop)
    }

    /// Records that the core has handed over its state. Returns whether that is new.
    pub(crate) fn record_handover(&self) -> bool {
        !self.handed_over.send_replace(true)
    }

    /// Waits until the core has handed over its state.
    pub(crate) async fn handed_over(&self) {
        // The sender lives as long as the driver.
        let _ = self.handed_over.subscribe().wait_for(|is_over| *is_over).await;
    }

    /// Returns whether new requests are refused: after a removal at once, since what this process
    /// held is written off; after a signal once so much of the grace period has passed that a new
    /// request might not finish before its end.
    pub(crate) fn is_refusing(&self, now: Time, grace: Duration) -> bool {
        let Some(stop) = self.stop() else {
            return false;
        };
        match stop.reason {
            StopReason::Removal => true,
            StopReason::Signal => now.since(stop.since) >= grace * ADMISSION_PERCENT / 100,
        }
    }
}

impl Driver {
    /// Applies a stop that the core has started: this VM is no longer ready and leaves the
    /// directory.
    pub(crate) fn apply_stop(self: &Arc<Self>, reason: StopReason) {
        if !self.shutdown.start(self.now(), reason) {
            return;
        }
        log::info!(target: NODE, "stops reason={}", reason.as_str());
        if let Some(gateway) = self.gateway() {
            gateway.stop();
        }
        self.handle_event(Event::Serving(false));
    }

    /// Records that the core has handed over its state.
    pub(crate) fn apply_handover(&self) {
        if !self.shutdown.record_handover() {
            return;
        }
        let stop = self.shutdown.stop();
        let after = stop.map_or(Duration::ZERO, |stop| self.now().since(stop.since));
        log::info!(target: NODE, "may exit after_ms={}: all state is handed over", after.as_millis());
    }
}
