//! What is due at each tick: time, load and reports.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use badgerfield_core::amount::Time;
use badgerfield_core::{Event, TICK_INTERVAL};

use super::Driver;
use crate::clock::Stall;
use crate::logs::NODE;
use crate::memory::{self, MemoryWatch};
use crate::rollouts::REPORT_INTERVAL;
use crate::store_calls;

/// Number of ticks between two readings of the wall clock.
const WALL_CLOCK_TICKS: u32 = 4;

impl Driver {
    pub(super) async fn run_ticks(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        let mut logged_at = self.now();
        let mut reported_at = self.now();
        let mut versions_due_at = Time::default();
        let mut ticked_at = self.now();
        let mut memory_read_at = self.now();
        let mut memory = MemoryWatch::new(self.settings.memory_limit);
        let mut count: u32 = 0;
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if let Some(Stall { span, suspended }) = self.clock.tick() {
                log::warn!(
                    target: NODE,
                    "stood still for_ms={} suspended_ms={}",
                    span.as_millis(),
                    suspended.as_millis()
                );
                count = 0;
            }
            if count.is_multiple_of(WALL_CLOCK_TICKS) {
                self.handle_event(Event::WallClock(wall_clock()));
            }
            count = count.wrapping_add(1);
            let now = self.now();
            self.report_load(now, now.since(ticked_at));
            ticked_at = now;
            if now.since(memory_read_at) >= memory::READ_INTERVAL {
                memory_read_at = now;
                self.read_memory(now, &mut memory);
            }
            if now.since(logged_at) >= store_calls::LOG_INTERVAL {
                logged_at = now;
                self.metrics.store_calls.log();
                self.metrics.peer_traffic.log();
                self.metrics.memory.log();
            }
            if now.since(reported_at) >= REPORT_INTERVAL {
                reported_at = now;
                self.report_rollouts();
            }
            if now >= versions_due_at || self.has_closed_version() {
                versions_due_at = now.after(self.report_versions());
            }
            self.handle_event(Event::Tick);
        }
    }

    /// Returns whether a stream could not begin since the last tick because its version is not
    /// recorded yet.
    fn has_closed_version(&self) -> bool {
        self.gateway.as_ref().is_some_and(|gateway| gateway.take_closed_version())
    }

    /// Reads how much memory the process uses and how large its view is.
    fn read_memory(&self, now: Time, watch: &mut MemoryWatch) {
        let view = self.node.view_status();
        let incomplete = watch.record_view(now, &view);
        self.metrics.memory.set_view(&view, incomplete);
        match memory::read_usage() {
            Ok(usage) => {
                self.metrics.memory.set_usage(usage, watch.limit());
                if watch.record_usage(usage) {
                    self.metrics.memory.warn();
                }
            }
            Err(error) => {
                if watch.record_error() {
                    log::warn!(target: NODE, "memory unreadable: {error}");
                }
            }
        }
    }

    /// Notes how late a tick is, and whether this VM has more work than it can do.
    fn report_load(self: &Arc<Self>, now: Time, since_last: Duration) {
        let Some(gateway) = &self.gateway else {
            return;
        };
        let (is_overloaded, lateness) = {
            let mut load = gateway.vm_load();
            load.record_timer(now, TICK_INTERVAL, since_last);
            (load.is_overloaded(now), load.lateness())
        };
        if gateway.set_overloaded(is_overloaded) {
            log::info!(
                target: NODE,
                "load overloaded={is_overloaded} lateness_ms={} open={}",
                lateness.as_millis(),
                gateway.open_count()
            );
        }
        self.handle_event(Event::Overloaded(is_overloaded));
    }
}

/// Returns the wall-clock time in milliseconds since 1970.
fn wall_clock() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
