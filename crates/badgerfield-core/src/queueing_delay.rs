//! The queueing delay of each upstream: the time that requests wait there beyond the time to
//! read their prompts.
//!
//! A single process of hundreds sends to an upstream about every 30 s, too rarely to notice that
//! it has become slow or overloaded. All processes together send to it several times a second.
//! So each process includes in its heartbeats the largest delays that it has observed or received
//! from others. The latest observation counts, and its value halves with time, so that a few
//! requests soon try an avoided upstream again.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::amount::Time;

/// The time in which a delay loses half of its value. Upstream faults last 3 to 9 s in the
/// deployments this is built for.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// The weight of a new observation against the current value.
const SAMPLE_WEIGHT: f64 = 0.6;
/// The range of the random factor by which each request scales a delay.
const SCALE_RANGE: (f64, f64) = (0.5, 1.5);
/// The delay that is always tolerated, in milliseconds. Several long prompts that arrive together
/// delay an engine briefly. Such a delay ends before the next request arrives, and another engine
/// would have to read the shared parts of that request's prompt again. With 60 ms, small fleets
/// served half the value that they serve with this bound (docs/POLICY.md).
const TOLERATED_MS: f64 = 500.0;
/// The tolerated delay as a multiple of the median delay of the service's upstreams. Where all
/// upstreams are overloaded, none is avoided.
const TOLERATED_RATIO: f64 = 4.0;
/// The minimum delay of an engine that is reported to other processes, in milliseconds.
const MIN_REPORTED_MS: f64 = 400.0;
/// The minimum delay of an upstream of a plain service that is reported, in milliseconds. The
/// objectives of plain services are 300 ms and more in the deployments this is built for, and
/// delays begin to matter at half of that ([`crate::overload`]).
const MIN_REPORTED_PLAIN_MS: f64 = 100.0;
/// The maximum number of reports per heartbeat. They take some 60 B, or 1.2 KB/s at 20 heartbeats
/// a second, and only while so many upstreams are delayed.
pub(crate) const MAX_REPORTS: usize = 8;
/// The unit of [`DelayReport::delay`], in milliseconds.
const DELAY_UNIT_MS: f64 = 10.0;

/// Returns the tolerated delay of a service, in milliseconds, from the delays of its upstreams.
pub(crate) fn tolerated_delay(mut delays: Vec<f64>) -> f64 {
    let middle = delays.len() / 2;
    if delays.is_empty() {
        return TOLERATED_MS;
    }
    let (_, median, _) = delays.select_nth_unstable_by(middle, f64::total_cmp);
    (*median * TOLERATED_RATIO).max(TOLERATED_MS)
}

/// The delay of one upstream as reported in a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DelayReport {
    /// A hash of the upstream's id.
    pub upstream: u32,
    /// The delay when it was observed, in units of 10 ms.
    #[serde(rename = "lag")]
    pub delay: u16,
    /// The time since the observation, in milliseconds.
    pub age: u16,
}

/// The queueing delay of one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct QueueingDelay {
    /// The delay at `observed_at`, in milliseconds.
    observed_ms: f64,
    /// The time of the last observation by any process.
    observed_at: Option<Time>,
}

impl QueueingDelay {
    /// Returns the delay in milliseconds, decayed by its age.
    pub(crate) fn current_ms(&self, now: Time) -> f64 {
        let Some(observed_at) = self.observed_at else {
            return 0.0;
        };
        let halvings = now.since(observed_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.observed_ms * (-halvings).exp2()
    }

    /// Returns by how many milliseconds the delay exceeds the tolerated delay of the service.
    ///
    /// Each request scales the delay by a random factor from 0.5 to 1.5. As a delay decays, a few
    /// requests try the upstream before all others do, and their observations are reported to
    /// the other processes.
    pub(crate) fn excess_ms(&self, now: Time, tolerated: f64, random: u64) -> f64 {
        let [byte, ..] = random.to_be_bytes();
        let (min, max) = SCALE_RANGE;
        let scale = min + (max - min) * f64::from(byte) / f64::from(u8::MAX);
        (self.current_ms(now) * scale - tolerated).max(0.0)
    }

    /// Records how long a request waited beyond the time to read its prompt.
    pub(crate) fn record(&mut self, now: Time, delay: Duration) {
        let current = self.current_ms(now);
        self.observed_ms = current + (delay.as_secs_f64() * 1e3 - current) * SAMPLE_WEIGHT;
        self.observed_at = Some(now);
    }

    /// Applies another process's report if its observation is newer.
    pub(crate) fn apply_report(&mut self, now: Time, report: DelayReport) {
        let age = Duration::from_millis(report.age.into());
        let is_newer = self.observed_at.is_none_or(|at| now.since(at) > age);
        if is_newer {
            self.observed_ms = f64::from(report.delay) * DELAY_UNIT_MS;
            self.observed_at = Some(Time(now.0.saturating_sub(age)));
        }
    }

    /// Returns a report for other processes if the delay is large enough to be reported.
    pub(crate) fn delay_report(
        &self,
        now: Time,
        upstream: u32,
        is_plain: bool,
    ) -> Option<DelayReport> {
        let min_ms = if is_plain { MIN_REPORTED_PLAIN_MS } else { MIN_REPORTED_MS };
        let observed_at = self.observed_at.filter(|_| self.current_ms(now) >= min_ms)?;
        let age = u16::try_from(now.since(observed_at).as_millis()).ok()?;
        let units = (self.observed_ms / DELAY_UNIT_MS).min(f64::from(u16::MAX));
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "within range")]
        let delay = units as u16;
        Some(DelayReport { upstream, delay, age })
    }
}
