//! The time of the process, and the clocks of its VM that it is read from.
//!
//! Ages and deadlines go by a clock that counts the spans in which the VM is suspended. Timers of
//! the runtime do not count them, so whoever waits here is woken by the first tick after one.
//! A process may also stand still while its VM is awake. Either way what it saw of others over
//! that time is no evidence against them.

use std::fmt::Debug;
use std::sync::Mutex;
use std::time::Duration;

use badgerfield_core::amount::Time;
use nix::time::{ClockId, clock_gettime};
use thiserror::Error;
use tokio::sync::watch;

use crate::sync::lock;

/// How far the two clocks of a VM must part between two ticks to count as a suspension.
const SUSPENDED: Duration = Duration::from_millis(50);
/// How long after the last tick the process counts as one that stands still.
const STILL: Duration = Duration::from_secs(1);

/// The clocks of a VM, each as the span since some moment of its own.
pub trait VmClocks: Debug + Send + Sync {
    /// Reads the clock that goes on while the VM is suspended.
    fn boottime(&self) -> Duration;

    /// Reads the clock that timers go by. It stands still while the VM is suspended.
    fn monotonic(&self) -> Duration;
}

/// The clocks of the system that the process runs on.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClocks;

impl VmClocks for SystemClocks {
    fn boottime(&self) -> Duration {
        read(ClockId::CLOCK_BOOTTIME)
    }

    fn monotonic(&self) -> Duration {
        read(ClockId::CLOCK_MONOTONIC)
    }
}

/// Reads a clock of the system.
fn read(clock: ClockId) -> Duration {
    // Both clocks stand in every Linux kernel that the runtime works on: reading cannot fail.
    clock_gettime(clock).map(Duration::from).unwrap_or_default()
}

/// The time given to something was over before it was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the time given to it is over")]
pub(crate) struct TimeOver;

/// A span over which the process did nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StoodStill {
    /// How long it was, from the last tick before it to the first one after it.
    pub(crate) span: Duration,
    /// How much of it the VM was suspended.
    pub(crate) suspended: Duration,
}

/// What is known from the ticks.
#[derive(Debug, Clone, Copy, Default)]
struct Ticks {
    /// When the last one was; nothing before the first.
    last: Option<Time>,
    /// How far the clocks of the VM had parted then, at the most.
    apart: Duration,
    /// When the process went on after it had stood still, the last time.
    went_on: Option<Time>,
}

/// Tells the time of the process, and waits for a time.
#[derive(Debug)]
pub(crate) struct Clock {
    vm: Box<dyn VmClocks>,
    started: Duration,
    ticks: Mutex<Ticks>,
    /// How often the VM woke: those that wait look at the time anew when it changes.
    wakes: watch::Sender<u64>,
}

impl Clock {
    pub(crate) fn new(vm: Box<dyn VmClocks>) -> Self {
        let started = vm.boottime();
        Self { vm, started, ticks: Mutex::default(), wakes: watch::Sender::new(0) }
    }

    /// Returns the present time.
    pub(crate) fn now(&self) -> Time {
        Time(self.vm.boottime().saturating_sub(self.started))
    }

    /// Notes that the process goes on, as it does with every tick; returns the span over which it
    /// did not, if that was long or the VM was suspended meanwhile.
    pub(crate) fn tick(&self) -> Option<StoodStill> {
        let before = self.vm.monotonic();
        let boot = self.vm.boottime();
        let after = self.vm.monotonic();
        let now = Time(boot.saturating_sub(self.started));
        let mut ticks = lock(&self.ticks);
        let last = ticks.last.replace(now);
        // The process may be held up between two readings: the least that the clocks can have
        // parted is compared with the most that they had before.
        let most = boot.saturating_sub(before);
        let suspended = boot.saturating_sub(after).saturating_sub(ticks.apart);
        ticks.apart = most;
        let span = now.since(last?);
        let is_suspended = suspended >= SUSPENDED;
        if !is_suspended && span < STILL {
            return None;
        }
        ticks.went_on = Some(now);
        drop(ticks);
        if is_suspended {
            self.wakes.send_modify(|wakes| *wakes += 1);
        }
        let suspended = if is_suspended { suspended } else { Duration::ZERO };
        Some(StoodStill { span, suspended })
    }

    /// Tells whether the process has stood still at any moment since a time.
    pub(crate) fn stood_still_since(&self, since: Time) -> bool {
        let ticks = *lock(&self.ticks);
        let stands = ticks.last.is_some_and(|last| self.now().since(last) >= STILL);
        stands || ticks.went_on.is_some_and(|at| at >= since)
    }

    /// Waits until a time.
    pub(crate) async fn sleep_until(&self, until: Time) {
        let mut wakes = self.wakes.subscribe();
        loop {
            let left = until.since(self.now());
            if left.is_zero() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(left) => {}
                // The sender lives as long as the clock.
                _ = wakes.changed() => {}
            }
        }
    }

    /// Waits for a span.
    pub(crate) async fn sleep(&self, span: Duration) {
        self.sleep_until(self.now().after(span)).await;
    }

    /// Waits until something is done, and at the longest until a time.
    ///
    /// # Errors
    ///
    /// Fails if it is not done by then.
    pub(crate) async fn timeout_at<F: Future>(
        &self,
        until: Time,
        work: F,
    ) -> Result<F::Output, TimeOver> {
        tokio::select! {
            biased;
            done = work => Ok(done),
            () = self.sleep_until(until) => Err(TimeOver),
        }
    }
}
