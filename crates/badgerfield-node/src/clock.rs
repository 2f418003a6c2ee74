//! The time of the process, read from the clocks of its VM.
//!
//! Ages and deadlines use a clock that includes the time during which the VM is suspended. Timers
//! of the runtime do not include it. The first tick after a suspension therefore wakes all tasks
//! that wait here, so that they read the time again.
//! A process may also be stalled while its VM runs. In both cases, missing messages and responses
//! of others during that time are no evidence that they failed.

use std::fmt::Debug;
use std::sync::Mutex;
use std::time::Duration;

use badgerfield_core::amount::Time;
use nix::time::{ClockId, clock_gettime};
use thiserror::Error;
use tokio::sync::watch;

use crate::sync::lock;

/// The minimum increase of the difference between the two clocks of a VM, from one tick to the
/// next, that counts as a suspension.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);
/// The minimum time without a tick after which the process counts as stalled.
const MIN_STALL: Duration = Duration::from_secs(1);

/// The clocks of a VM. Each counts from an arbitrary starting point of its own.
pub trait VmClocks: Debug + Send + Sync {
    /// Reads the clock that includes time during which the VM is suspended.
    fn boottime(&self) -> Duration;

    /// Reads the clock that timers use. It excludes time during which the VM is suspended.
    fn monotonic(&self) -> Duration;
}

/// The clocks of the operating system.
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

fn read(clock: ClockId) -> Duration {
    // Every Linux kernel that the runtime supports has both clocks, so reading them cannot fail.
    clock_gettime(clock).map(Duration::from).unwrap_or_default()
}

/// The error for a future that did not complete before its deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the deadline has passed")]
pub(crate) struct DeadlinePassed;

/// A period during which the process did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Stall {
    /// The time from the last tick before the period to the first tick after it.
    pub(crate) span: Duration,
    /// The part of the period during which the VM was suspended.
    pub(crate) suspended: Duration,
}

/// State derived from the ticks so far.
#[derive(Debug, Clone, Copy, Default)]
struct Ticks {
    /// The time of the last tick; `None` before the first tick.
    last: Option<Time>,
    /// The maximum difference between the clocks of the VM at the last tick.
    max_difference: Duration,
    /// The time of the first tick after the most recent stall or suspension.
    last_resumed: Option<Time>,
    /// The time of the first tick after the most recent suspension.
    last_suspended: Option<Time>,
}

/// Reads the time of the process and provides sleeps and timeouts.
#[derive(Debug)]
pub(crate) struct Clock {
    clocks: Box<dyn VmClocks>,
    started: Duration,
    ticks: Mutex<Ticks>,
    /// The number of times that the VM has resumed after a suspension. Waiting tasks read the time
    /// again when this number changes.
    resume_count: watch::Sender<u64>,
}

impl Clock {
    pub(crate) fn new(clocks: Box<dyn VmClocks>) -> Self {
        let started = clocks.boottime();
        Self { clocks, started, ticks: Mutex::default(), resume_count: watch::Sender::new(0) }
    }

    /// Returns the time since this clock was created.
    pub(crate) fn now(&self) -> Time {
        Time(self.clocks.boottime().saturating_sub(self.started))
    }

    /// Records a tick. Returns the period since the last tick if the process was stalled or the VM
    /// was suspended during that period.
    pub(crate) fn tick(&self) -> Option<Stall> {
        let before = self.clocks.monotonic();
        let boot = self.clocks.boottime();
        let after = self.clocks.monotonic();
        let now = Time(boot.saturating_sub(self.started));
        let mut ticks = lock(&self.ticks);
        let last = ticks.last.replace(now);
        // The process may be delayed between two readings. The minimum difference between the
        // clocks at this tick is therefore compared with the maximum at the last tick.
        let max_difference = boot.saturating_sub(before);
        let suspended = boot.saturating_sub(after).saturating_sub(ticks.max_difference);
        ticks.max_difference = max_difference;
        let span = now.since(last?);
        let is_suspended = suspended >= MIN_SUSPENSION;
        if !is_suspended && span < MIN_STALL {
            return None;
        }
        ticks.last_resumed = Some(now);
        if is_suspended {
            ticks.last_suspended = Some(now);
        }
        drop(ticks);
        if is_suspended {
            self.resume_count.send_modify(|resume_count| *resume_count += 1);
        }
        let suspended = if is_suspended { suspended } else { Duration::ZERO };
        Some(Stall { span, suspended })
    }

    /// Returns whether the process was stalled or suspended at any time since the given time.
    pub(crate) fn has_stalled_since(&self, since: Time) -> bool {
        let ticks = *lock(&self.ticks);
        let is_stalled = ticks.last.is_some_and(|last| self.now().since(last) >= MIN_STALL);
        is_stalled || ticks.last_resumed.is_some_and(|at| at >= since)
    }

    /// Returns whether the VM may have been suspended at any time since the given time. What others
    /// sent meanwhile may not have arrived yet.
    pub(crate) fn may_have_been_suspended_since(&self, since: Time) -> bool {
        let ticks = *lock(&self.ticks);
        // The next tick tells whether a gap was a suspension.
        let is_unknown = ticks.last.is_some_and(|last| self.now().since(last) >= MIN_STALL);
        is_unknown || ticks.last_suspended.is_some_and(|at| at >= since)
    }

    /// Sleeps until a time.
    pub(crate) async fn sleep_until(&self, deadline: Time) {
        let mut resume_count = self.resume_count.subscribe();
        loop {
            let remaining = deadline.since(self.now());
            if remaining.is_zero() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(remaining) => {}
                // An error is not possible: the clock owns the sender.
                _ = resume_count.changed() => {}
            }
        }
    }

    /// Sleeps for a duration.
    pub(crate) async fn sleep(&self, span: Duration) {
        self.sleep_until(self.now().after(span)).await;
    }

    /// Runs a future until it completes or a deadline passes.
    ///
    /// # Errors
    ///
    /// Fails if the deadline passes first.
    pub(crate) async fn timeout_at<F: Future>(
        &self,
        deadline: Time,
        future: F,
    ) -> Result<F::Output, DeadlinePassed> {
        tokio::select! {
            biased;
            output = future => Ok(output),
            () = self.sleep_until(deadline) => Err(DeadlinePassed),
        }
    }
}
