//! Whether this VM has more work than it can do.
//!
//! The load pattern that this handles: one account sends a third of all requests and keeps to one
//! small VM, whose processor or link then delays everything, while its neighbours are idle. The VM
//! notices that its own timers fire late, or that most connections to upstreams open late or not at
//! all, and asks callers to go elsewhere ([`crate::availability`]). One slow upstream is no such
//! sign.

use std::collections::VecDeque;
use std::time::Duration;

use crate::amount::Time;

/// The average lateness of timers from which the VM counts as overloaded. A VM whose quota of
/// processor time is spent in each period of 100 ms fires its timers half a period late.
const LATE_TIMERS: Duration = Duration::from_millis(35);
/// The half-life of the average lateness of timers.
const LATENESS_HALF_LIFE: Duration = Duration::from_millis(500);
/// The time from which a connection to an upstream counts as opened late. Upstreams are a few
/// milliseconds away, even those of another region.
const LATE_CONNECTION: Duration = Duration::from_millis(100);
/// The span whose connections count.
const CONNECTION_SPAN: Duration = Duration::from_secs(1);
/// The minimum number of connections in that span from which they say something.
const MIN_CONNECTIONS: usize = 8;
/// The maximum number of connections that are recorded.
const MAX_CONNECTIONS: usize = 64;
/// How long the VM must be without signs of overload before it counts as able to serve more.
const RECOVERY_TIME: Duration = Duration::from_secs(2);

/// The signs of overload of this VM.
#[derive(Debug, Default)]
pub struct VmLoad {
    lateness_ms: f64,
    measured_at: Option<Time>,
    /// The latest connections, with whether they were late.
    connections: VecDeque<(Time, bool)>,
    /// When the last sign of overload was seen; `None` if the VM is not overloaded.
    last_sign: Option<Time>,
}

impl VmLoad {
    /// Records that a timer was to fire after `planned` and fired after `actual`.
    pub fn record_timer(&mut self, now: Time, planned: Duration, actual: Duration) {
        let late_ms = actual.saturating_sub(planned).as_secs_f64() * 1e3;
        let age = self.measured_at.map_or(Duration::MAX, |at| now.since(at));
        let kept = (-age.as_secs_f64() / LATENESS_HALF_LIFE.as_secs_f64()).exp2();
        self.lateness_ms = self.lateness_ms * kept + late_ms * (1.0 - kept);
        self.measured_at = Some(now);
    }

    /// Records how long it took to open a connection to an upstream, or until that was given up.
    pub fn record_connect(&mut self, now: Time, elapsed: Duration) {
        self.connections.push_back((now, elapsed >= LATE_CONNECTION));
        if self.connections.len() > MAX_CONNECTIONS {
            self.connections.pop_front();
        }
    }

    /// Returns the average lateness of timers.
    #[must_use]
    pub fn lateness(&self) -> Duration {
        Duration::from_secs_f64(self.lateness_ms / 1e3)
    }

    /// Returns whether the VM is overloaded.
    pub fn is_overloaded(&mut self, now: Time) -> bool {
        self.connections.retain(|(at, _)| now.since(*at) < CONNECTION_SPAN);
        let (late, all) = (
            self.connections.iter().filter(|(_, is_late)| *is_late).count(),
            self.connections.len(),
        );
        let is_link_full = all >= MIN_CONNECTIONS && late * 2 > all;
        if is_link_full || self.lateness() >= LATE_TIMERS {
            self.last_sign = Some(now);
        }
        self.last_sign = self.last_sign.filter(|at| now.since(*at) < RECOVERY_TIME);
        self.last_sign.is_some()
    }
}
