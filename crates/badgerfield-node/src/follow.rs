//! Watches the platform: the values that operators write to the store, and the list of upstreams.

use std::sync::Arc;
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::event::{StoreCall, StoreKey, StoreResult};
use badgerfield_core::ids::{TemplateVersion, UpstreamId};
use badgerfield_core::upstream_list::{PlatformChanges, PlatformList};
use badgerfield_core::upstream_selection::UpstreamSelection;
use badgerfield_core::{Event, TICK_INTERVAL};
use tokio::task::JoinHandle;

use crate::adapter::WatchResult;
use crate::driver::{Driver, UpdateSource};
use crate::gateway::directory;
use crate::gateway::state::Gateway;
use crate::logs::PLATFORM;
use crate::store_calls::CallKind;

/// Delay before the first retry of a failed call.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum delay between two retries.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Delay between two retries in a process that does not probe the platform. The processes that
/// probe it report to the others when it answers again. If no report arrives, this delay plus the
/// time of the call stays close to the smallest `ContactMs` among the users' platforms (3 s).
const FOLLOWER_RETRY_DELAY: Duration = Duration::from_millis(2500);
/// Number of listed upstreams that lengthen the interval between two reads of the complete list by
/// the interval of a short list. A page of the platform holds as many.
const ENTRIES_PER_INTERVAL: usize = 500;
/// Delay between two watches of the list of upstreams.
const WATCH_DELAY: Duration = Duration::from_millis(400);

/// Exponential back-off of failed calls: each delay is twice the previous one.
#[derive(Debug, Clone, Copy)]
struct Backoff(Duration);

impl Default for Backoff {
    fn default() -> Self {
        Self(FIRST_RETRY_DELAY)
    }
}

impl Backoff {
    /// Returns the delay before the next call. The few processes that probe the platform use
    /// short delays; all others use `FOLLOWER_RETRY_DELAY`.
    fn next_delay(&mut self, driver: &Driver) -> Duration {
        if !driver.node.can_probe_store(driver.now()) {
            return FOLLOWER_RETRY_DELAY;
        }
        let delay = self.0;
        self.0 = delay.saturating_mul(2).min(MAX_RETRY_DELAY);
        delay
    }
}

/// Watches the values that operators write, such as the templates and the evacuated failure
/// domains.
///
/// One watch returns the changes of all values. The values are read before the first watch, after
/// a watch that may have missed changes, and when no member is known to have read them for a while:
/// a watch may stall without notice.
pub(crate) async fn watch_operators(driver: Arc<Driver>) {
    let mut revision = 0;
    let mut backoff = Backoff::default();
    loop {
        if !is_operator_watcher(&driver) {
            revision = 0;
            driver.clock.sleep(TICK_INTERVAL).await;
            continue;
        }
        if revision == 0 || driver.node.must_read_operators(driver.now()) {
            let Some(found) = read_operators(&driver).await else {
                driver.clock.sleep(backoff.next_delay(&driver)).await;
                continue;
            };
            revision = revision.max(found);
        }
        driver.metrics.store_calls.count(CallKind::TemplatesWatch);
        let found = tokio::select! {
            found = driver.store.watch_operator_changes(revision) => found,
            () = wait_for_operator_read(&driver) => continue,
        };
        match found {
            WatchResult::Changed(changes) => {
                backoff = Backoff::default();
                revision = revision.max(changes.revision);
                driver.handle_event(Event::OperatorChanges(changes));
            }
            WatchResult::Unchanged(current) => {
                backoff = Backoff::default();
                revision = revision.max(current);
            }
            WatchResult::Failed => driver.clock.sleep(backoff.next_delay(&driver)).await,
            WatchResult::Lost => {
                revision = 0;
                driver.clock.sleep(backoff.next_delay(&driver)).await;
            }
        }
    }
}

/// Reads the values of operators and returns their revision, or `None` if the call fails.
async fn read_operators(driver: &Arc<Driver>) -> Option<u64> {
    let call = StoreCall::Get(StoreKey::Templates);
    driver.metrics.store_calls.count(CallKind::of(&call));
    let requested_at = driver.now();
    let result = driver.store.call(&call).await;
    let revision = match &result {
        // If no templates exist yet, the watch waits for the first ones.
        StoreResult::Value(value) => Some(value.revision),
        StoreResult::Operators(values) => Some(values.revision),
        _ => None,
    };
    driver.handle_event(Event::OperatorsRead { requested_at, result });
    revision
}

/// Waits until no member is known to have read the operators' values for a while.
async fn wait_for_operator_read(driver: &Driver) {
    while !driver.node.must_read_operators(driver.now()) {
        driver.clock.sleep(TICK_INTERVAL).await;
    }
}

/// Watches the announcements of processes that are joining, while this process is one of the few
/// that add them to the view.
///
/// The announcements are read when it becomes one: some may have waited for that.
pub(crate) async fn watch_joiners(driver: Arc<Driver>) {
    let mut revision = 0;
    let mut backoff = Backoff::default();
    loop {
        if !driver.node.is_join_host() {
            revision = 0;
            driver.clock.sleep(TICK_INTERVAL).await;
            continue;
        }
        let found = if revision == 0 {
            driver.metrics.store_calls.count(CallKind::JoinersRead);
            let found = driver.store.list_joiners().await;
            if found.is_none() {
                log::info!(target: PLATFORM, "announcements of joining processes not read");
            }
            found.map_or(WatchResult::Failed, WatchResult::Changed)
        } else {
            driver.metrics.store_calls.count(CallKind::JoinersWatch);
            driver.store.watch_joiners(revision).await
        };
        match found {
            WatchResult::Changed(found) => {
                backoff = Backoff::default();
                revision = revision.max(found.revision);
                driver.handle_event(Event::Joiners(found.items));
            }
            WatchResult::Unchanged(current) => {
                backoff = Backoff::default();
                revision = revision.max(current);
            }
            WatchResult::Failed => driver.clock.sleep(backoff.next_delay(&driver)).await,
            WatchResult::Lost => {
                revision = 0;
                driver.clock.sleep(backoff.next_delay(&driver)).await;
            }
        }
    }
}

/// Watches the list of upstreams, and reports whether this process is ready to serve.
///
/// The complete list is read before the first watch and when changes may have been missed. It is
/// also read at intervals beside the watch, which may return no changes for a while. Upstreams
/// write their entries all the time, so the next watch starts after a delay rather than at once.
pub(crate) async fn watch_upstreams(driver: Arc<Driver>, gateway: Arc<Gateway>) {
    let mut failing_since: Option<Time> = None;
    let mut backoff = Backoff::default();
    loop {
        if !is_list_watcher(&driver) {
            report_state(&driver, &gateway);
            let is_new = gateway.upstreams().is_empty();
            driver.clock.sleep(role_check_interval(is_new)).await;
            continue;
        }
        let Some(followed) = read_list(&driver, &gateway, &mut failing_since).await else {
            wait_for_retry(&driver, &gateway, &mut backoff).await;
            continue;
        };
        backoff = Backoff::default();
        follow_list(&driver, &gateway, followed, &mut backoff).await;
    }
}

/// Follows the list while this process watches it, until changes may have been missed.
async fn follow_list(
    driver: &Arc<Driver>,
    gateway: &Arc<Gateway>,
    mut followed: FollowedList,
    backoff: &mut Backoff,
) {
    let mut check = ListCheck::new(driver);
    while is_list_watcher(driver) {
        report_state(driver, gateway);
        if let Some(list) = check.next(driver, gateway).await {
            let changes = followed.selection.changes_from(list);
            followed.apply_changes(driver, gateway, changes);
        }
        driver.metrics.store_calls.count(CallKind::UpstreamsWatch);
        match gateway.adapter.discovery.watch(followed.revision).await {
            WatchResult::Changed(changes) => {
                followed.revision = followed.revision.max(changes.revision);
                followed.apply_changes(driver, gateway, changes);
            }
            // The next watch starts where this one did: the store may have kept changes from it. If
            // it has dropped its history since then, that watch fails and the list is read again.
            WatchResult::Unchanged(revision) => {
                followed.confirmed = followed.confirmed.max(revision);
                followed.apply_changes(driver, gateway, PlatformChanges::default());
            }
            // What is known of the list stays valid; only later changes are missing.
            WatchResult::Failed => {
                wait_for_retry(driver, gateway, backoff).await;
                continue;
            }
            WatchResult::Lost => return,
        }
        *backoff = Backoff::default();
        driver.clock.sleep(WATCH_DELAY).await;
    }
}

/// Reads the complete list from time to time beside the watch.
///
/// A read of thousands of entries takes seconds on a small VM. If the watch waited for it, the
/// members would hear nothing from the platform meanwhile.
#[derive(Debug)]
struct ListCheck {
    due_at: Time,
    reading: Option<JoinHandle<Option<PlatformList>>>,
}

impl ListCheck {
    fn new(driver: &Driver) -> Self {
        let interval = driver.settings.platform.upstream_poll_interval;
        Self { due_at: driver.now().after(interval), reading: None }
    }

    /// Starts a read if one is due; returns the list that has been read, if a read has ended.
    async fn next(&mut self, driver: &Arc<Driver>, gateway: &Arc<Gateway>) -> Option<PlatformList> {
        if self.reading.is_none() && driver.now() >= self.due_at {
            driver.metrics.store_calls.count(CallKind::UpstreamsRead);
            let discovery = Arc::clone(&gateway.adapter.discovery);
            self.reading = Some(tokio::spawn(async move {
                let logged = |error| log::info!(target: PLATFORM, "list not checked: {error}");
                discovery.list().await.map_err(logged).ok()
            }));
        }
        let reading = self.reading.take_if(|reading| reading.is_finished())?;
        // A task that panicked has read nothing.
        let list = reading.await.ok().flatten();
        let entries = list.as_ref().map_or(0, |list| list.entries.len());
        self.due_at = driver.now().after(read_interval(driver, entries));
        list
    }
}

impl Drop for ListCheck {
    fn drop(&mut self) {
        if let Some(reading) = &self.reading {
            reading.abort();
        }
    }
}

/// The list of upstreams as a process that watches the platform follows it.
#[derive(Debug)]
struct FollowedList {
    /// The revision up to which all changes are known, after which the next watch starts.
    revision: u64,
    /// The revision up to which the latest watch has heard of no changes.
    confirmed: u64,
    selection: UpstreamSelection,
}

impl FollowedList {
    fn apply_changes(&mut self, driver: &Arc<Driver>, gateway: &Gateway, changes: PlatformChanges) {
        let basis = driver.node.selection_basis(driver.now());
        let used = gateway.upstreams().listed_ids();
        let is_used = |id: &UpstreamId| used.contains(id);
        let mut changes = self.selection.apply_changes(changes, is_used, &basis, driver.now());
        // What a read of the whole list shows is announced as of the watch, which is further on.
        changes.revision = changes.revision.max(self.revision).max(self.confirmed);
        driver.apply_upstream_changes(changes);
    }
}

/// Returns the interval until the complete list is read again.
///
/// It grows with the list: a list of thousands of upstreams takes a noticeable part of a VM's link
/// and processor.
fn read_interval(driver: &Driver, entries: usize) -> Duration {
    let pages = u32::try_from(entries / ENTRIES_PER_INTERVAL).unwrap_or(u32::MAX);
    driver.settings.platform.upstream_poll_interval.saturating_mul(pages.saturating_add(1))
}

/// Waits before a failed call is repeated, and reports the state of this process meanwhile.
async fn wait_for_retry(driver: &Arc<Driver>, gateway: &Gateway, backoff: &mut Backoff) {
    let until = driver.now().after(backoff.next_delay(driver));
    while driver.now() < until && is_list_watcher(driver) {
        report_state(driver, gateway);
        driver.clock.sleep(FIRST_RETRY_DELAY).await;
    }
}

/// Returns the delay before checking again whether this process watches the platform; it is
/// shorter for a process that has no values yet.
fn role_check_interval(is_new: bool) -> Duration {
    if is_new { TICK_INTERVAL } else { WATCH_DELAY }
}

/// Reads the complete list and applies the selected part of it; returns `None` if the call fails.
async fn read_list(
    driver: &Arc<Driver>,
    gateway: &Gateway,
    failing_since: &mut Option<Time>,
) -> Option<FollowedList> {
    driver.metrics.store_calls.count(CallKind::UpstreamsRead);
    let list = match gateway.adapter.discovery.list().await {
        Ok(list) => list,
        Err(error) => {
            if failing_since.is_none() {
                log::warn!(target: PLATFORM, "list of upstreams lost: {error}");
                *failing_since = Some(driver.now());
            }
            return None;
        }
    };
    if let Some(since) = failing_since.take() {
        let away_ms = driver.now().since(since).as_millis();
        log::info!(target: PLATFORM, "list of upstreams regained away_ms={away_ms}");
    }
    let revision = list.revision;
    let mut selection = UpstreamSelection::default();
    let basis = driver.node.selection_basis(driver.now());
    let used = gateway.upstreams().listed_ids();
    let selected = selection.apply_list(list, |id| used.contains(id), &basis, driver.now());
    let (listed, count) = selection.counts();
    if listed > count {
        log::info!(
            target: PLATFORM,
            "upstreams selected list={revision} listed={listed} selected={count} rank={}",
            basis.watcher_rank
        );
    }
    driver.apply_upstream_list(selected, UpdateSource::Platform);
    Some(FollowedList { revision, confirmed: revision, selection })
}

/// Returns whether this process watches the list of upstreams itself instead of only receiving
/// updates from peers.
fn is_list_watcher(driver: &Driver) -> bool {
    let Some(gateway) = driver.gateway() else {
        return true;
    };
    let (_, updated) = gateway.upstreams().last_update();
    let now = driver.now();
    let Some(updated) = updated else {
        return driver.node.is_bootstrap_reader(now);
    };
    driver.node.watches_store(now, Some(now.since(updated)))
}

/// Returns whether this process watches the operators' values itself. The first ones are read
/// together with the view.
fn is_operator_watcher(driver: &Driver) -> bool {
    driver.node.template_version() > TemplateVersion(0)
        && driver.node.watches_operators(driver.now())
}

/// Closes unused connections, and reports rate limits, the demand for engines, queueing delays
/// and whether this process is ready to serve.
fn report_state(driver: &Arc<Driver>, gateway: &Gateway) {
    let now = driver.now();
    gateway.sweep(now);
    let (demand, delays, limits, brittle) = {
        let mut upstreams = gateway.upstreams();
        let delays = upstreams.delay_reports(now, gateway.next_delay_report());
        let limits = upstreams.limit_reports(now);
        (upstreams.engine_demand(now), delays, limits, upstreams.brittle_reports(now))
    };
    driver.handle_event(Event::LimitReports(limits));
    driver.handle_event(Event::BrittleReports(brittle));
    driver.handle_event(Event::EngineDemand(demand));
    driver.handle_event(Event::DelayReports(delays));
    driver.handle_event(Event::Serving(directory::is_ready(gateway)));
}
