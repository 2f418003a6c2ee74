//! How this process ends, the same for every reason:
//!
//! 1. It is no longer ready, leaves the directory, and answers with `Connection: close`.
//! 2. After a signal it admits requests for a while and then refuses them. After a removal it
//!    refuses them at once, since what it held is written off.
//! 3. It listens, and refuses, until the core has handed over its state, callers have had time to
//!    learn of the stop, and no request is open: callers that find a closed port learn nothing.
//! 4. All listeners close. The process waits until the last byte of each accepted connection is
//!    written and each call of a peer is over.
//! 5. It closes the connections to peers.
//! 6. It ends, and the log is flushed.
//!
//! The core starts a stop and names its reason; the driver changes what callers see of it only
//! then, so that the two cannot differ about whether the process stops.

use std::sync::Arc;
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::stop_reason::StopReason;
use badgerfield_core::{Event, TICK_INTERVAL};
use tokio::sync::watch;

use crate::clock::Clock;
use crate::driver::Driver;
use crate::logs::NODE;

/// Share of the grace period of a stop, in percent, in which new requests are still accepted:
/// callers cache the answer of the directory for a while.
const ADMISSION_PERCENT: u32 = 30;
/// How long this process listens after it was removed, because callers cache responses of the
/// directory. After a signal, the core waits longer than that before it has handed over.
const LINGER_TIME: Duration = Duration::from_millis(3500);

/// A stop of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Stop {
    pub(crate) since: Time,
    /// The reason in force: a removal replaces a signal.
    pub(crate) reason: StopReason,
}

/// What the process waits for before it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Use {
    /// A listener may still accept connections.
    Listener,
    /// A connection may still carry requests or answers.
    Connection,
    /// A peer waits for the answer to a call.
    Call,
}

/// How many uses of each kind there are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct UseCounts {
    listeners: usize,
    connections: usize,
    calls: usize,
}

impl UseCounts {
    fn total(self) -> usize {
        self.listeners + self.connections + self.calls
    }

    fn count_mut(&mut self, kind: Use) -> &mut usize {
        match kind {
            Use::Listener => &mut self.listeners,
            Use::Connection => &mut self.connections,
            Use::Call => &mut self.calls,
        }
    }
}

/// A use of the process, which does not end before this guard is dropped.
#[derive(Debug)]
pub(crate) struct InUse {
    counts: Arc<watch::Sender<UseCounts>>,
    kind: Use,
}

impl Drop for InUse {
    fn drop(&mut self) {
        self.counts.send_modify(|counts| *counts.count_mut(self.kind) -= 1);
    }
}

/// How far the end of the process has come.
#[derive(Debug)]
pub(crate) struct Shutdown {
    /// The stop; `None` before it starts.
    stop: watch::Sender<Option<Stop>>,
    /// Whether the core has handed over its state.
    handed_over: watch::Sender<bool>,
    /// Whether all listeners close.
    closes_listeners: watch::Sender<bool>,
    uses: Arc<watch::Sender<UseCounts>>,
}

impl Shutdown {
    pub(crate) fn new() -> Self {
        Self {
            stop: watch::Sender::new(None),
            handed_over: watch::Sender::new(false),
            closes_listeners: watch::Sender::new(false),
            uses: Arc::new(watch::Sender::new(UseCounts::default())),
        }
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

    /// Counts a use of the process until the guard is dropped.
    pub(crate) fn track(&self, kind: Use) -> InUse {
        self.uses.send_modify(|counts| *counts.count_mut(kind) += 1);
        InUse { counts: Arc::clone(&self.uses), kind }
    }

    /// Waits until the listeners must close.
    pub(crate) async fn stopped_listening(&self) {
        // The sender lives as long as the driver.
        let _ = self.closes_listeners.subscribe().wait_for(|closes| *closes).await;
    }

    /// Waits until callers have had time to learn of the stop.
    async fn callers_know(&self, clock: &Clock) {
        let Some(stop) = self.started().await else {
            return;
        };
        if stop.reason == StopReason::Removal {
            clock.sleep_until(stop.since.after(LINGER_TIME)).await;
        }
    }

    /// Waits until the counts of uses meet a condition.
    async fn uses_meet(&self, condition: impl Fn(&UseCounts) -> bool) {
        // The sender lives as long as the driver.
        let _ = self.uses.subscribe().wait_for(condition).await;
    }

    /// Waits until the stop starts.
    async fn started(&self) -> Option<Stop> {
        let mut stop = self.stop.subscribe();
        // The sender lives as long as the driver.
        stop.wait_for(Option::is_some).await.ok().and_then(|stop| *stop)
    }

    /// Records that the core has handed over its state. Returns whether that is new.
    pub(crate) fn record_handover(&self) -> bool {
        !self.handed_over.send_replace(true)
    }

    /// Waits until the core has handed over its state.
    async fn handed_over(&self) {
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
        log::info!(target: NODE, "stops: reason={}", reason.as_str());
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
        let after = self.time_since_stop();
        log::info!(target: NODE, "may exit after_ms={}: all state is handed over", after.as_millis());
    }

    /// Waits until the process may exit: its state is handed over, it accepts nothing more, and
    /// what it accepted is done.
    pub async fn wait_for_exit(&self) {
        let shutdown = &self.shutdown;
        shutdown.handed_over().await;
        shutdown.callers_know(&self.clock).await;
        while self.open_request_count() > 0 {
            self.clock.sleep(TICK_INTERVAL).await;
        }
        self.log_closed_listeners();
        shutdown.closes_listeners.send_replace(true);
        shutdown.uses_meet(|counts| counts.calls == 0).await;
        // Both at once: the VM has no listener until the next process starts.
        tokio::join!(self.peers().close(), shutdown.uses_meet(|counts| counts.total() == 0));
        log::info!(
            target: NODE,
            "ends reason={} after_ms={} open={}",
            shutdown.stop().map_or("-", |stop| stop.reason.as_str()),
            self.time_since_stop().as_millis(),
            self.open_request_count() + shutdown.uses.borrow().total()
        );
    }

    fn log_closed_listeners(&self) {
        log::info!(
            target: NODE,
            "listeners close connections={} after_ms={}",
            self.shutdown.uses.borrow().connections,
            self.time_since_stop().as_millis()
        );
    }

    fn time_since_stop(&self) -> Duration {
        self.shutdown.stop().map_or(Duration::ZERO, |stop| self.now().since(stop.since))
    }

    fn open_request_count(&self) -> usize {
        self.gateway().map_or(0, |gateway| gateway.open_count())
    }
}
