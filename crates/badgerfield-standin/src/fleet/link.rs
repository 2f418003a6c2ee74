//! A link with limited bandwidth, between regions or of a single VM. Data waits until everything
//! that was sent earlier in the same direction has been sent.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerfield_core::adaptive_timeout::AdaptiveTimeout;
use badgerfield_core::amount::Time;
use badgerfield_core::event::{StoreCall, StoreResult};
use badgerfield_core::ids::Incarnation;

/// The region of the store.
pub(super) const STORE_REGION: usize = 0;
/// The two ends of the link of a single VM.
pub(super) const INSIDE: usize = 0;
pub(super) const OUTSIDE: usize = 1;
/// The configured timeout of store calls.
const TIMEOUT: Duration = Duration::from_millis(700);
/// The bytes of a call or an answer without its value.
const OVERHEAD_BYTES: usize = 400;
/// The size of an encoded value, in percent of its plain size.
const ENCODED_PERCENT: usize = 134;

/// A link between regions, or between a VM and all others.
#[derive(Debug, Clone)]
pub struct Link {
    /// The latency from one end to the other.
    pub latency: Duration,
    /// The bandwidth of each direction, in bits per second.
    pub bits_per_second: f64,
    /// The time at which everything sent so far has left, by direction.
    free_at: BTreeMap<(usize, usize), Time>,
    /// The timeout of each process for answers of the store.
    timeouts: BTreeMap<Incarnation, AdaptiveTimeout>,
}

impl Link {
    /// Creates an idle link.
    #[must_use]
    pub fn new(latency: Duration, bits_per_second: f64) -> Self {
        Self { latency, bits_per_second, free_at: BTreeMap::new(), timeouts: BTreeMap::new() }
    }

    /// Returns the timeout of a process for answers of the store.
    pub(super) fn timeout_of(&mut self, of: Incarnation) -> &mut AdaptiveTimeout {
        self.timeouts.entry(of).or_insert_with(|| AdaptiveTimeout::new(TIMEOUT))
    }

    /// Sends bytes and returns when they arrive. Returns `None`, and sends nothing, if they would
    /// still wait for the link at the time `until`.
    pub(super) fn send(
        &mut self,
        now: Time,
        direction: (usize, usize),
        bytes: usize,
        until: Option<Time>,
    ) -> Option<Time> {
        let free_at = self.free_at.entry(direction).or_default();
        let start = now.max(*free_at);
        if until.is_some_and(|until| start > until) {
            return None;
        }
        let bits = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX)) * 8.0;
        let sent_at = start.after(Duration::from_secs_f64(bits / self.bits_per_second));
        *free_at = sent_at;
        Some(sent_at.after(self.latency))
    }
}

fn encoded_size(bytes: usize) -> usize {
    OVERHEAD_BYTES + bytes * ENCODED_PERCENT / 100
}

/// Returns the size of a call, in bytes.
pub(super) fn call_bytes(call: &StoreCall) -> usize {
    match call {
        StoreCall::Get(_) | StoreCall::GetCurrent(_) => OVERHEAD_BYTES,
        StoreCall::WriteAll { put, .. } => encoded_size(put.iter().map(|(_, v)| v.len()).sum()),
        StoreCall::CompareAndSwap { value, .. } => encoded_size(value.len()),
    }
}

/// Returns the size of an answer, in bytes.
pub(super) fn answer_bytes(result: &StoreResult) -> usize {
    match result {
        StoreResult::Value(found) | StoreResult::Conflict(found) => {
            encoded_size(found.value.as_ref().map_or(0, bytes::Bytes::len))
        }
        StoreResult::Operators(found) => {
            encoded_size(found.templates.as_ref().map_or(0, bytes::Bytes::len))
        }
        _ => OVERHEAD_BYTES,
    }
}
