//! Requests that wait until this VM has a free place at an upstream of a brittle service.
//!
//! The most urgent request gets the next place; of equally urgent ones, the first that came.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::Service;
use badgerfield_core::upstream_table::PlaceCounts;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::sync::lock;

/// How often the first request looks for a place: some become free without any request ending.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The part of a route's objective for which a request waits for a place.
const WAIT_DIVISOR: u32 = 4;
/// How long requests of routes without an objective wait.
const DEFAULT_WAIT: Duration = Duration::from_millis(250);

/// The position of a request: its service, its rank and the order of arrival.
type Position = (Service, u8, u64);

/// The requests that wait for a place.
#[derive(Debug, Default)]
pub(crate) struct PlaceQueue {
    waiting: Mutex<BTreeSet<Position>>,
    arrivals: AtomicU64,
    /// Counts the places that have become free.
    freed: watch::Sender<usize>,
}

/// A request in the queue, until this is dropped.
#[derive(Debug)]
struct Ticket {
    queue: Arc<PlaceQueue>,
    position: Position,
}

/// A request that needs a place.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlaceRequest<'a> {
    pub(crate) service: &'a Service,
    /// The rank; 0 is the most urgent.
    pub(crate) rank: u8,
    pub(crate) until: Time,
    /// The places of this VM.
    pub(crate) counts: PlaceCounts,
}

/// Returns how long a request waits for a place, given the objective of its route.
pub(crate) fn place_wait(objective: Duration) -> Duration {
    if objective.is_zero() { DEFAULT_WAIT } else { objective / WAIT_DIVISOR }
}

impl PlaceQueue {
    /// Notifies waiting requests that a place may be free.
    pub(crate) fn notify(&self) {
        self.freed.send_modify(|freed| *freed = freed.wrapping_add(1));
    }

    /// Returns whether a request that comes now has to let others go first.
    pub(crate) fn is_behind(&self, service: &Service, rank: u8) -> bool {
        self.waiting_before(service, rank) > 0
    }

    fn waiting_before(&self, service: &Service, rank: u8) -> usize {
        let range = (service.clone(), 0, 0)..=(service.clone(), rank, u64::MAX);
        lock(&self.waiting).range(range).count()
    }

    /// Waits until `choose` finds a place. Returns `None` if it does not in time, or at once if so
    /// many requests wait before this one that it would wait for longer than a request runs.
    pub(crate) async fn wait<T>(
        self: &Arc<Self>,
        clock: &Clock,
        request: PlaceRequest<'_>,
        mut choose: impl FnMut() -> Option<T>,
    ) -> Option<T> {
        let PlaceRequest { service, rank, until, counts } = request;
        let ahead = u32::try_from(self.waiting_before(service, rank)).unwrap_or(u32::MAX);
        if ahead >= counts.places {
            return None;
        }
        let ticket = self.join(service.clone(), rank);
        let mut freed = self.freed.subscribe();
        loop {
            if ticket.is_first()
                && let Some(chosen) = choose()
            {
                return Some(chosen);
            }
            let now = clock.now();
            if now >= until {
                return None;
            }
            // An error means that the interval has passed.
            let _ = clock.timeout_at(until.min(now.after(CHECK_INTERVAL)), freed.changed()).await;
        }
    }

    fn join(self: &Arc<Self>, service: Service, rank: u8) -> Ticket {
        let position = (service, rank, self.arrivals.fetch_add(1, Ordering::Relaxed));
        lock(&self.waiting).insert(position.clone());
        Ticket { queue: Arc::clone(self), position }
    }
}

impl Ticket {
    fn is_first(&self) -> bool {
        let (service, ..) = &self.position;
        let from = (service.clone(), 0, 0);
        lock(&self.queue.waiting).range(from..).next() == Some(&self.position)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        lock(&self.queue.waiting).remove(&self.position);
        // The next request may have a place as well.
        self.queue.notify();
    }
}
