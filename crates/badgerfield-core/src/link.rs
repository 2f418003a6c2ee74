//! The VM's link, as a queue of the bytes that this process sends.
//!
//! A process cannot see how long its bytes wait at a full link, but it knows how many it
//! sends and how fast the link is. When more comes than the link takes, every answer is
//! late; refusing some requests at once keeps the others in time.

use std::time::Duration;

use crate::amount::Time;

/// The part of the link's rate that carries bytes of messages, in hundredths; the rest is
/// headers of packets that no process sees.
const USED_PERCENT: f64 = 95.0;
/// What one message takes beside its own bytes: headers of TCP, IP and the link.
const OVERHEAD: u64 = 66;
/// How long bytes may wait before requests of rank 0 are refused.
///
/// The users count a stream as late when an event is held for 120 to 200 ms.
const LONGEST: Duration = Duration::from_millis(160);
/// The rate of one megabit a second, in bytes a second.
const MEGABIT: f64 = 125_000.0;

/// Bytes that wait at the VM's link.
#[derive(Debug, Default)]
pub struct LinkQueue {
    /// Bytes a second; zero if the link's rate is not known.
    rate: f64,
    backlog: f64,
    at: Time,
}

impl LinkQueue {
    /// Makes an empty queue of a link with so many megabits a second; zero if that is not
    /// known.
    #[must_use]
    pub fn new(megabits: f64) -> Self {
        let rate = megabits.max(0.0) * MEGABIT * USED_PERCENT / 100.0;
        Self { rate, ..Self::default() }
    }

    /// Notes that a message is sent.
    pub fn send(&mut self, now: Time, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX).saturating_add(OVERHEAD);
        self.backlog = self.left(now) + f64::from(u32::try_from(bytes).unwrap_or(u32::MAX));
        self.at = now;
    }

    /// Returns how long a byte that is sent now waits.
    #[must_use]
    pub fn wait(&self, now: Time) -> Duration {
        if self.rate <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(self.left(now) / self.rate).unwrap_or(Duration::MAX)
    }

    /// Tells whether a stream may begin; those of lower rank give way sooner.
    #[must_use]
    pub fn admits(&self, now: Time, rank: u8) -> bool {
        self.wait(now) <= LONGEST / (u32::from(rank) + 1)
    }

    fn left(&self, now: Time) -> f64 {
        (self.backlog - now.since(self.at).as_secs_f64() * self.rate).max(0.0)
    }
}
