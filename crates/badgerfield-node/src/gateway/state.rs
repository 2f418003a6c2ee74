//! The state that all requests of the gateway share.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use badgerfield_core::MAX_WAITERS;
use badgerfield_core::amount::Time;
use badgerfield_core::ids::{Incarnation, TemplateVersion, UpstreamId};
use badgerfield_core::reachability::Reachability;
use badgerfield_core::retry_budget::{RetryBudget, RetryLimits};
use badgerfield_core::rollout::{RolloutRule, RolloutRules};
use badgerfield_core::routing::RouteTable;
use badgerfield_core::stream_origins::max_lifetime;
use badgerfield_core::upstream_table::UpstreamTable;
use badgerfield_core::vm_load::VmLoad;
use tokio::sync::{Semaphore, watch};

use crate::adapter::RouteAdapter;
use crate::clock::Clock;
use crate::gateway::connections::Connections;
use crate::gateway::forward::{ForwardPeers, PlaceHolders};
use crate::gateway::places::PlaceQueue;
use crate::gateway::witness::Witnesses;
use crate::sync::lock;

/// The maximum number of upstreams that are watched for a crash at once. Each watch takes a
/// connection, and an overloaded upstream has few of them and closes many early.
const MAX_CRASH_WATCHES: usize = 4;

/// The maximum number of requests that this VM sends for peers at once: the requests of a peer that
/// is as busy as this VM, a few of which may come through each other VM.
const MAX_FORWARDED_REQUESTS: usize = 128;
/// The maximum number of reads of the record of versions at the same time, for streams that are to be
/// resumed.
const MAX_RECORD_READS: usize = 4;
/// The minimum time for which streams count as resumable: callers wait for some 15 s, and the routes
/// that are known may not be all.
const MIN_STREAM_LIFETIME: Duration = Duration::from_secs(60);
/// The number of other upstreams that are probed before a crash of one is reported.
const COMPARED_UPSTREAMS: usize = 3;

/// The routes in force, with the template version that they belong to.
#[derive(Debug, Clone, Default)]
pub(crate) struct RouteSnapshot {
    pub(crate) version: TemplateVersion,
    pub(crate) table: Arc<RouteTable>,
}

/// The tables of the gateway.
///
/// No two of the locks are held at the same time, and none across an `.await`.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) adapter: RouteAdapter,
    pub(crate) connections: Arc<Connections>,
    pub(crate) clock: Arc<Clock>,
    /// The connections that show whether upstreams outlive their responses.
    pub(crate) witnesses: Arc<Witnesses>,
    routes: Mutex<RouteSnapshot>,
    upstreams: Mutex<UpstreamTable>,
    retries: Mutex<RetryBudget>,
    /// The processes that asked for the list of upstreams before this one had any.
    list_waiters: Mutex<BTreeSet<Incarnation>>,
    /// The signs of overload of this VM.
    vm_load: Mutex<VmLoad>,
    /// Whether this VM reaches upstreams.
    reachability: Mutex<Reachability>,
    /// The peers through which requests go while this VM is cut off.
    pub(crate) forward_peers: ForwardPeers,
    /// The peers that have places at the upstreams of brittle services.
    pub(crate) place_holders: PlaceHolders,
    /// The requests that wait for a place at an upstream of a brittle service.
    pub(crate) places: Arc<PlaceQueue>,
    /// Permits for requests of peers.
    pub(crate) forward_permits: Semaphore,
    /// Permits for reads of the record of versions for streams that are to be resumed.
    pub(crate) record_reads: Semaphore,
    /// Counts the rounds of probes. Requests that meet unreachable upstreams wait for the next ones.
    rounds: watch::Sender<usize>,
    open_requests: AtomicUsize,
    stopping: AtomicBool,
    /// Whether this VM was overloaded at the last tick.
    overloaded: AtomicBool,
    /// Whether any service has a rollout.
    has_rollouts: AtomicBool,
    /// Whether a stream could not begin because its version is not recorded yet.
    has_closed_version: AtomicBool,
    /// Whether streams could begin at all services since this process started.
    can_begin_streams: AtomicBool,
    /// The longest time for which streams could be resumed, in milliseconds.
    stream_lifetime_ms: AtomicU64,
    /// When a bad response of a rollout's target was last reported.
    bad_answer_reported_at: Mutex<Option<Time>>,
    /// How many rounds of probes have been started.
    probe_turn: AtomicUsize,
    /// How many delay reports have been prepared for peers.
    delay_report_turn: AtomicUsize,
    /// Permits for watching upstreams for a crash.
    pub(crate) crash_watches: Arc<Semaphore>,
    /// The number of requests blocked so far. Waiting requests check their own status when it
    /// changes.
    blocked: watch::Sender<usize>,
}

impl Gateway {
    pub(crate) fn new(adapter: RouteAdapter, limits: RetryLimits, clock: Arc<Clock>) -> Self {
        let connections =
            Arc::new(Connections::new(Arc::clone(&clock), Arc::clone(&adapter.dialer)));
        let witnesses = Witnesses::new(Arc::clone(&clock), Arc::clone(&connections));
        Self {
            adapter,
            connections,
            clock,
            witnesses: Arc::new(witnesses),
            routes: Mutex::default(),
            upstreams: Mutex::default(),
            retries: Mutex::new(RetryBudget::new(limits).with_rounding(rand::random())),
            list_waiters: Mutex::default(),
            vm_load: Mutex::default(),
            reachability: Mutex::default(),
            forward_peers: ForwardPeers::default(),
            place_holders: PlaceHolders::default(),
            places: Arc::default(),
            forward_permits: Semaphore::new(MAX_FORWARDED_REQUESTS),
            record_reads: Semaphore::new(MAX_RECORD_READS),
            rounds: watch::Sender::new(0),
            open_requests: AtomicUsize::new(0),
            stopping: AtomicBool::new(false),
            overloaded: AtomicBool::new(false),
            has_rollouts: AtomicBool::new(false),
            has_closed_version: AtomicBool::new(false),
            can_begin_streams: AtomicBool::new(false),
            stream_lifetime_ms: AtomicU64::new(0),
            bad_answer_reported_at: Mutex::default(),
            probe_turn: AtomicUsize::new(0),
            delay_report_turn: AtomicUsize::new(0),
            crash_watches: Arc::new(Semaphore::new(MAX_CRASH_WATCHES)),
            blocked: watch::Sender::new(0),
        }
    }

    /// Returns the routes in force.
    pub(crate) fn routes(&self) -> RouteSnapshot {
        lock(&self.routes).clone()
    }

    /// Replaces the routes in force unless they have a newer version.
    pub(crate) fn update_routes(&self, version: TemplateVersion, table: RouteTable) {
        let mut routes = lock(&self.routes);
        if version >= routes.version {
            *routes = RouteSnapshot { version, table: Arc::new(table) };
        }
    }

    /// Locks the table of upstreams.
    pub(crate) fn upstreams(&self) -> MutexGuard<'_, UpstreamTable> {
        lock(&self.upstreams)
    }

    /// Locks the retry budget.
    pub(crate) fn retries(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.retries)
    }

    /// Records that a process waits for the first list of upstreams that this one gets.
    pub(crate) fn add_list_waiter(&self, id: Incarnation) {
        let mut waiters = lock(&self.list_waiters);
        if waiters.len() < MAX_WAITERS {
            waiters.insert(id);
        }
    }

    /// Takes the processes that wait for the first list of upstreams that this one gets.
    pub(crate) fn take_list_waiters(&self) -> BTreeSet<Incarnation> {
        std::mem::take(&mut *lock(&self.list_waiters))
    }

    /// Locks the signs of overload of this VM.
    pub(crate) fn vm_load(&self) -> MutexGuard<'_, VmLoad> {
        lock(&self.vm_load)
    }

    /// Locks what this VM knows about its links to upstreams.
    pub(crate) fn reachability(&self) -> MutexGuard<'_, Reachability> {
        lock(&self.reachability)
    }

    /// Notifies waiting requests that a round of probes has ended.
    pub(crate) fn notify_round(&self) {
        self.rounds.send_modify(|rounds| *rounds = rounds.wrapping_add(1));
    }

    /// Returns a receiver that is notified when a round of probes has ended.
    pub(crate) fn subscribe_rounds(&self) -> watch::Receiver<usize> {
        self.rounds.subscribe()
    }

    /// Returns the number of the next round of probes.
    pub(crate) fn next_probe_turn(&self) -> usize {
        self.probe_turn.fetch_add(1, Ordering::Relaxed)
    }

    /// Counts a request as open until the guard is dropped.
    pub(crate) fn track_request(self: &Arc<Self>) -> OpenRequest {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        OpenRequest { gateway: Arc::clone(self) }
    }

    /// Returns the number of open requests.
    pub(crate) fn open_count(&self) -> usize {
        self.open_requests.load(Ordering::Relaxed)
    }

    /// Returns the sequence number of the next delay report.
    pub(crate) fn next_delay_report(&self) -> usize {
        self.delay_report_turn.fetch_add(1, Ordering::Relaxed)
    }

    /// Notifies waiting requests that `count` more requests are blocked.
    pub(crate) fn notify_blocked(&self, count: usize) {
        self.blocked.send_modify(|blocked| *blocked += count);
    }

    /// Returns a receiver that is notified when more requests are blocked.
    pub(crate) fn subscribe_blocked(&self) -> watch::Receiver<usize> {
        self.blocked.subscribe()
    }

    /// Returns whether any service has a rollout. Without one, no responses are counted.
    pub(crate) fn has_rollouts(&self) -> bool {
        self.has_rollouts.load(Ordering::Relaxed)
    }

    /// Returns whether a bad response may be reported now, at least `interval` after the last
    /// report, and records the report if so.
    pub(crate) fn try_start_report(&self, now: Time, interval: Duration) -> bool {
        let mut reported_at = lock(&self.bad_answer_reported_at);
        let is_due = reported_at.is_none_or(|at| now.since(at) >= interval);
        if is_due {
            *reported_at = Some(now);
        }
        is_due
    }

    /// Replaces the rules that divide requests between versions. Returns the rules that are new or
    /// have changed.
    pub(crate) fn set_rollouts(&self, rules: RolloutRules) -> Vec<RolloutRule> {
        let mut upstreams = self.upstreams();
        let changed = upstreams.apply_rule_set(rules);
        self.has_rollouts.store(!upstreams.rollout_rules().is_empty(), Ordering::Relaxed);
        changed
    }

    /// Returns for how long streams that began in the time of this process can be resumed: by the
    /// longest timeout of a route so far.
    pub(crate) fn stream_lifetime(&self) -> Duration {
        let present = max_lifetime(self.routes().table.max_stream_timeout());
        let millis = u64::try_from(present.as_millis()).unwrap_or(u64::MAX);
        let earlier = self.stream_lifetime_ms.fetch_max(millis, Ordering::Relaxed);
        Duration::from_millis(earlier.max(millis)).max(MIN_STREAM_LIFETIME)
    }

    /// Records that streams can begin. Later they may have to wait for a service whose versions are
    /// all replaced, while others are served.
    pub(crate) fn record_open_versions(&self) {
        self.can_begin_streams.store(true, Ordering::Relaxed);
    }

    /// Returns whether that was recorded.
    pub(crate) fn can_begin_streams(&self) -> bool {
        self.can_begin_streams.load(Ordering::Relaxed)
    }

    /// Records that no upstream may begin a stream.
    pub(crate) fn record_closed_version(&self) {
        self.has_closed_version.store(true, Ordering::Relaxed);
    }

    /// Returns whether that was recorded since the last call.
    pub(crate) fn take_closed_version(&self) -> bool {
        self.has_closed_version.swap(false, Ordering::Relaxed)
    }

    /// Returns whether the process is stopping.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Sets whether this VM is overloaded; returns whether that has changed.
    pub(crate) fn set_overloaded(&self, is_overloaded: bool) -> bool {
        self.overloaded.swap(is_overloaded, Ordering::Relaxed) != is_overloaded
    }

    /// Marks the process as stopping.
    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Closes idle connections that will not be reused.
    pub(crate) fn sweep(&self, now: Time) {
        self.connections.sweep(|id| self.is_usable(now, id));
    }

    /// Returns whether this VM can open a connection to an upstream other than the given one, or
    /// there is no other.
    pub(crate) async fn reaches_another(&self, now: Time, upstream: &UpstreamId) -> bool {
        let turn = self.next_probe_turn();
        let others = self.upstreams().probe_targets(now, COMPARED_UPSTREAMS, turn, Some(upstream));
        if others.is_empty() {
            return true;
        }
        let probes =
            others.iter().map(|(_, address)| self.connections.accepts_connection(*address));
        futures::future::join_all(probes).await.into_iter().any(|is_open| is_open)
    }

    /// Returns those of the given upstreams to which a connection can be opened.
    pub(crate) async fn reached_upstreams(&self, ids: Vec<UpstreamId>) -> Vec<UpstreamId> {
        let probes = ids.into_iter().map(|id| async move {
            let address = self.upstreams().address(&id)?;
            self.connections.accepts_connection(address).await.then_some(id)
        });
        futures::future::join_all(probes).await.into_iter().flatten().collect()
    }

    /// Returns whether an upstream may still receive requests.
    pub(crate) fn is_usable(&self, now: Time, id: &UpstreamId) -> bool {
        self.upstreams().is_usable(now, id)
    }
}

/// An open request, which is counted until this guard is dropped.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    gateway: Arc<Gateway>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.gateway.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}
