//! Follows what the platform says: what operators write there, and the list of upstreams.

use std::sync::Arc;
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::event::{StoreCall, StoreKey, StoreResult};
use badgerfield_core::ids::TemplateVersion;
use badgerfield_core::upstream_list::UpstreamListChanges;
use badgerfield_core::{Event, TICK_INTERVAL};

use crate::adapter::WatchResult;
use crate::driver::{Driver, UpdateSource};
use crate::gateway::directory;
use crate::gateway::state::Gateway;
use crate::logs::PLATFORM;
use crate::store_calls::CallKind;

/// How long a call rests that failed once.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// How long a call rests at the most that failed again and again.
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// The same at a process that others tell when the platform is back. With the call itself it
/// stays close to the least `ContactMs` of the sheets (3 s), should nobody tell.
const LONG_PAUSE: Duration = Duration::from_millis(2500);
/// How long the list of upstreams is left alone between two watches.
const WATCH_PACE: Duration = Duration::from_millis(400);

/// The rests between calls that fail; each is twice as long as the one before.
#[derive(Debug, Clone, Copy)]
struct Pause(Duration);

impl Default for Pause {
    fn default() -> Self {
        Self(FIRST_PAUSE)
    }
}

impl Pause {
    /// Returns how long to rest before the next call: a short while at the few that try the
    /// platform often.
    fn next(&mut self, driver: &Driver) -> Duration {
        if !driver.node.probes_platform() {
            return LONG_PAUSE;
        }
        let span = self.0;
        self.0 = span.saturating_mul(2).min(MAX_PAUSE);
        span
    }
}

/// Follows what operators write, the templates and the evacuated failure domains: every change
/// comes by one watch, and a read goes beside it.
pub(crate) async fn operators(driver: Arc<Driver>) {
    let mut after = 0;
    let mut pause = Pause::default();
    loop {
        if !follows_templates(&driver) {
            after = 0;
            driver.clock.sleep(pace(driver.node.template_version() == TemplateVersion(0))).await;
            continue;
        }
        if after == 0 {
            let call = StoreCall::Get(StoreKey::Templates);
            driver.metrics.calls.count(CallKind::of(&call));
            // Where there are none yet, the watch waits for the first.
            match driver.store.call(&call).await {
                StoreResult::Value(found) => {
                    after = found.revision;
                    driver.feed(Event::Templates(found));
                }
                StoreResult::Operators(found) => {
                    after = found.revision;
                    driver.feed(Event::Operators(found));
                }
                _ => {
                    driver.clock.sleep(pause.next(&driver)).await;
                    continue;
                }
            }
        }
        driver.metrics.calls.count(CallKind::TemplatesWatch);
        match driver.store.watch_operator_changes(after).await {
            WatchResult::Changed(found) => {
                pause = Pause::default();
                after = after.max(found.revision);
                driver.feed(Event::OperatorChanges(found));
            }
            WatchResult::Quiet(revision) => {
                pause = Pause::default();
                after = after.max(revision);
            }
            WatchResult::Lost => {
                after = 0;
                driver.clock.sleep(pause.next(&driver)).await;
            }
        }
    }
}

/// Follows the list of upstreams, and tells peers whether this process can serve.
///
/// The list is read whole at first, when changes may have been missed, and now and then
/// beside the watch, which may hear nothing for a while. Upstreams write their entries all
/// the time, so the watch is asked at a pace rather than again at once.
pub(crate) async fn upstreams(driver: Arc<Driver>, gateway: Arc<Gateway>) {
    let every = driver.settings.platform.replicas_poll;
    let mut away: Option<Time> = None;
    let mut pause = Pause::default();
    loop {
        if !is_on_duty(&driver) {
            refresh(&driver, &gateway);
            let is_new = gateway.replicas().is_empty();
            driver.clock.sleep(pace(is_new)).await;
            continue;
        }
        let Some(mut after) = read_list(&driver, &gateway, &mut away).await else {
            let until = driver.now().after(pause.next(&driver));
            while driver.now() < until && is_on_duty(&driver) {
                refresh(&driver, &gateway);
                driver.clock.sleep(FIRST_PAUSE).await;
            }
            continue;
        };
        pause = Pause::default();
        let until = driver.now().after(every);
        while driver.now() < until && is_on_duty(&driver) {
            refresh(&driver, &gateway);
            driver.clock.sleep(WATCH_PACE).await;
            driver.metrics.calls.count(CallKind::UpstreamsWatch);
            let watched = gateway.adapter.discovery.watch(after);
            match driver.clock.timeout_at(until, watched).await {
                Ok(WatchResult::Changed(changes)) => {
                    after = after.max(changes.revision);
                    driver.apply_upstream_changes(changes);
                }
                Ok(WatchResult::Quiet(revision)) => {
                    after = after.max(revision);
                    let changes =
                        UpstreamListChanges { revision, ..UpstreamListChanges::default() };
                    driver.apply_upstream_changes(changes);
                }
                Ok(WatchResult::Lost) | Err(_) => break,
            }
        }
    }
}

/// Returns how long to wait before looking again whether this process follows the platform;
/// one that knows nothing yet looks often.
fn pace(is_new: bool) -> Duration {
    if is_new { TICK_INTERVAL } else { WATCH_PACE }
}

/// Reads the whole list; returns its revision, or nothing if it cannot be read.
async fn read_list(
    driver: &Arc<Driver>,
    gateway: &Gateway,
    away: &mut Option<Time>,
) -> Option<u64> {
    driver.metrics.calls.count(CallKind::UpstreamsRead);
    let list = match gateway.adapter.discovery.list().await {
        Ok(list) => list,
        Err(error) => {
            if away.is_none() {
                log::warn!(target: PLATFORM, "list of upstreams lost: {error}");
                *away = Some(driver.now());
            }
            return None;
        }
    };
    if let Some(since) = away.take() {
        let away = driver.now().since(since).as_millis();
        log::info!(target: PLATFORM, "list of upstreams regained away_ms={away}");
    }
    let revision = list.revision;
    driver.apply_upstream_list(list, UpdateSource::Platform);
    Some(revision)
}

/// Tells whether this process follows the list of upstreams itself, and does not only hear of
/// it.
fn is_on_duty(driver: &Driver) -> bool {
    let Some(gateway) = driver.gateway() else {
        return true;
    };
    let (_, learned) = gateway.replicas().last_update();
    let now = driver.now();
    let Some(learned) = learned else {
        return driver.node.is_bootstrap_reader(now);
    };
    driver.node.watches_platform(now, Some(now.since(learned)))
}

/// Tells whether this process follows the templates itself: whenever it follows the list of
/// upstreams. The first ones are read together with the view.
fn follows_templates(driver: &Driver) -> bool {
    driver.node.template_version() > TemplateVersion(0) && is_on_duty(driver)
}

/// Closes what is of no more use, and tells what requests need and whether this process
/// can serve.
fn refresh(driver: &Arc<Driver>, gateway: &Gateway) {
    let now = driver.now();
    gateway.sweep(now);
    let (needs, lags, limits) = {
        let mut replicas = gateway.replicas();
        let lags = replicas.delay_reports(now, gateway.next_turn());
        (replicas.engine_demand(now), lags, replicas.limit_reports(now))
    };
    driver.feed(Event::LimitReports(limits));
    driver.feed(Event::EngineNeeds(needs));
    driver.feed(Event::DelayReports(lags));
    driver.feed(Event::Serving(directory::is_ready(gateway)));
}
