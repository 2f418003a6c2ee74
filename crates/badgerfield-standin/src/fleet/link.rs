//! A thin link, between regions or of a VM: what crosses waits for what was sent before it.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerfield_core::adaptive_timeout::AdaptiveTimeout;
use badgerfield_core::amount::Time;
use badgerfield_core::event::{StoreCall, StoreResult};
use badgerfield_core::ids::Incarnation;

/// The region in which the key-value service stands.
pub(super) const STORE_REGION: usize = 0;
/// The ends of the link of a single VM.
pub(super) const INSIDE: usize = 0;
pub(super) const OUTSIDE: usize = 1;
/// The time that is set for calls.
const TIMEOUT: Duration = Duration::from_millis(700);
/// The bytes of a call and of an answer beside a value, and by how much encoding makes a
/// value longer, in hundredths.
const HEAD: usize = 400;
const ENCODED_PERCENT: usize = 134;

/// How regions, or a VM and all others, are linked.
#[derive(Debug, Clone)]
pub struct Link {
    /// How long a byte takes from one region to another.
    pub one_way: Duration,
    /// How much crosses each way, in bits a second.
    pub rate: f64,
    /// When what was sent has left, each way.
    free: BTreeMap<(usize, usize), Time>,
    /// How long each process waits for answers of the store.
    patience: BTreeMap<Incarnation, AdaptiveTimeout>,
}

impl Link {
    /// Makes an idle link.
    #[must_use]
    pub fn new(one_way: Duration, rate: f64) -> Self {
        Self { one_way, rate, free: BTreeMap::new(), patience: BTreeMap::new() }
    }

    /// Returns how long a process waits for an answer of the store.
    pub(super) fn patience(&mut self, of: Incarnation) -> &mut AdaptiveTimeout {
        self.patience.entry(of).or_insert_with(|| AdaptiveTimeout::new(TIMEOUT))
    }

    /// Returns when bytes that are sent now arrive; nothing if they were still waiting
    /// when nobody wants them any more.
    pub(super) fn send(
        &mut self,
        now: Time,
        way: (usize, usize),
        bytes: usize,
        until: Option<Time>,
    ) -> Option<Time> {
        let free = self.free.entry(way).or_default();
        let start = now.max(*free);
        if until.is_some_and(|until| start > until) {
            return None;
        }
        let bits = f64::from(u32::try_from(bytes).unwrap_or(u32::MAX)) * 8.0;
        let left = start.after(Duration::from_secs_f64(bits / self.rate));
        *free = left;
        Some(left.after(self.one_way))
    }
}

fn encoded(bytes: usize) -> usize {
    HEAD + bytes * ENCODED_PERCENT / 100
}

/// Returns how long a call is, in bytes.
pub(super) fn call_size(call: &StoreCall) -> usize {
    match call {
        StoreCall::Get(_) => HEAD,
        StoreCall::CompareAndSwap { value, .. } => encoded(value.len()),
    }
}

/// Returns how long an answer is, in bytes.
pub(super) fn answer_size(result: &StoreResult) -> usize {
    match result {
        StoreResult::Value(found) | StoreResult::Conflict(found) => {
            encoded(found.value.as_ref().map_or(0, bytes::Bytes::len))
        }
        StoreResult::Operators(found) => {
            encoded(found.templates.as_ref().map_or(0, bytes::Bytes::len))
        }
        _ => HEAD,
    }
}
