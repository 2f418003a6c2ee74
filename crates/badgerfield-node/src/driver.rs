//! The driver: passes events to the core and executes the commands that the core returns.
//!
//! Any task may pass an event; the worker threads of the runtime share the node's
//! tables under its lock order. Commands are executed by the task that received them.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use badgerfield_core::amount::Time;
use badgerfield_core::event::{Answer, Bill, Dispatch, LogEntry};
use badgerfield_core::ids::{AttemptId, Incarnation, Period, RequestId, ReservationId};
use badgerfield_core::locality::Location;
use badgerfield_core::message::Envelope;
use badgerfield_core::refusal::Refusal;
use badgerfield_core::request_mix::{EngineDemand, EngineDivision};
use badgerfield_core::template_arrival::TemplateArrival;
use badgerfield_core::view::{Member, MemberState};
use badgerfield_core::vm_upstreams::VmList;
use badgerfield_core::{Command, Config, Event, Node, TICK_INTERVAL};
use http_body_util::Full;
use hyper::{Request, Uri};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot, watch};

use crate::adapter::{KeyValueStore, PlatformAdapter};
use crate::caller_api::Outgoing;
use crate::clock::{Clock, Stall, SystemClocks, VmClocks};
use crate::follow;
use crate::gateway::forward::serve;
use crate::gateway::reachability;
use crate::gateway::state::Gateway;
use crate::http;
use crate::logs::{BILLS, NODE, PLATFORM, REQUESTS};
use crate::metrics::{GatewayCounts, Metrics};
use crate::peers::{PeerError, PeerTransport};
use crate::rollouts::REPORT_INTERVAL;
use crate::settings::Settings;
use crate::store_calls::{self, CallKind};
use crate::sync::lock;
use crate::upstream_client::UpstreamClient;
use crate::versions;

/// Share of the grace period of a stop, in percent, in which new requests are still accepted:
/// callers cache the answer of the directory for a while.
const ADMISSION_PERCENT: u32 = 30;
/// Number of ticks between two readings of the wall clock.
const WALL_CLOCK_TICKS: u32 = 4;

/// Where an update of the list of upstreams comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UpdateSource {
    /// Read from the platform.
    Platform,
    /// Received from another process.
    Peer(Incarnation),
}

impl fmt::Display for UpdateSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform => f.write_str("store"),
            Self::Peer(id) => id.fmt(f),
        }
    }
}

/// Why a process cannot start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The endpoint for peers cannot be set up.
    #[error(transparent)]
    Peers(#[from] PeerError),
    /// A listener cannot be bound to its address.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// The operating system provides no random numbers.
    #[error("cannot get random numbers from the operating system: {0}")]
    Random(#[from] getrandom::Error),
}

/// A part of an answer with its index in the answer.
pub type IndexedAnswer = (usize, Answer);

/// Sends the result of a reservation to the task that waits for it.
type ReservationAnswer = oneshot::Sender<Result<Period, Refusal>>;

/// A request whose caller has not yet received the complete answer.
#[derive(Debug)]
struct OpenRequest {
    answers: mpsc::UnboundedSender<IndexedAnswer>,
    outgoing: Arc<Outgoing>,
}

/// The core of one process together with its sockets, clocks and tables of open requests.
#[derive(Debug)]
pub struct Driver {
    pub(crate) node: Node,
    pub(crate) settings: Settings,
    pub(crate) metrics: Metrics,
    pub(crate) clock: Arc<Clock>,
    pub(crate) store: Arc<dyn KeyValueStore>,
    gateway: Option<Arc<Gateway>>,
    reservations: Mutex<HashMap<ReservationId, ReservationAnswer>>,
    next_reservation: AtomicU64,
    /// When the planned stop started; `None` before it.
    stopping_since: watch::Sender<Option<Time>>,
    peers: Arc<PeerTransport>,
    upstream_client: UpstreamClient,
    requests: Mutex<HashMap<RequestId, OpenRequest>>,
    next_request: AtomicU64,
    exit: watch::Sender<bool>,
}

impl Driver {
    /// Creates a driver that uses the clocks of the system.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint for peers cannot be set up or the system provides no random numbers.
    pub fn new(settings: Settings, adapter: PlatformAdapter) -> Result<Arc<Self>, StartError> {
        Self::with_clocks(settings, adapter, Box::new(SystemClocks))
    }

    /// Creates a driver that uses the given clocks.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint for peers cannot be set up or the system provides no random numbers.
    pub fn with_clocks(
        settings: Settings,
        adapter: PlatformAdapter,
        clocks: Box<dyn VmClocks>,
    ) -> Result<Arc<Self>, StartError> {
        let incarnation = Incarnation(getrandom::u64()?);
        let seed = getrandom::u64()?;
        let peers = PeerTransport::listen(
            settings.peer_address,
            &settings.fleet_secret,
            &settings.accepted_secrets,
        )?;
        let member = Member {
            vm: settings.vm.clone(),
            incarnation,
            region: settings.region.clone(),
            domain: settings.domain.clone(),
            peer: settings.advertised_address,
            caller: settings
                .gateway
                .map_or(settings.caller_address, |gateway| gateway.request_address),
            standing: MemberState::Active,
            link_mbps: settings.link_mbps,
        };
        let limits = settings.limits;
        let node = Node::new(Config {
            member,
            ledger_shards: limits.shards,
            key_retention: limits.key_retention,
            answer_retention: limits.replay_retention,
            max_answer_bytes: limits.max_replay_bytes,
            directory_ttl: limits.directory_ttl,
            pacing: settings.pacing,
            seed,
        });
        let PlatformAdapter { store, route_adapter } = adapter;
        let clock = Arc::new(Clock::new(clocks));
        let gateway = route_adapter
            .map(|adapter| Arc::new(Gateway::new(adapter, settings.retries, Arc::clone(&clock))));
        if let Some(gateway) = &gateway {
            let senders = settings.pacing.policy.warm_up_senders;
            gateway.upstreams().set_warm_up_bound(settings.warm_up, senders);
            let (domain, region) = (settings.domain.clone(), settings.region.clone());
            let location = Location { domain: Some(domain), region: Some(region) };
            let mut upstreams = gateway.upstreams();
            upstreams.set_regions(settings.regions.clone());
            upstreams.set_location(location, settings.locality);
        }
        let upstream_client = UpstreamClient::new(limits.silence_timeout);
        Ok(Arc::new(Self {
            node,
            metrics: Metrics::new(),
            clock,
            store,
            gateway,
            reservations: Mutex::default(),
            next_reservation: AtomicU64::new(1),
            stopping_since: watch::channel(None).0,
            peers: Arc::new(peers),
            upstream_client,
            requests: Mutex::default(),
            next_request: AtomicU64::new(1),
            exit: watch::channel(false).0,
            settings,
        }))
    }

    /// Returns the current time of this process.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Passes an event to the core and executes the commands that it returns.
    pub fn handle_event(self: &Arc<Self>, event: Event) {
        let commands = self.node.handle(self.now(), event);
        for command in commands {
            self.execute(command);
        }
    }

    /// Spawns the tasks that run until the process ends: ticks, messages from peers, the VM
    /// list and the watches of the platform.
    pub fn start(self: &Arc<Self>) {
        log::info!(target: NODE, "starts as {} on {}", self.node.id(), self.settings.vm);
        self.handle_event(Event::Start);
        let driver = Arc::clone(self);
        tokio::spawn(async move { driver.run_ticks().await });
        let driver = Arc::clone(self);
        tokio::spawn(async move { driver.receive_messages().await });
        let driver = Arc::clone(self);
        tokio::spawn(async move { driver.poll_vms().await });
        let driver = Arc::clone(self);
        tokio::spawn(follow::watch_joiners(driver));
        let Some(gateway) = self.gateway.clone() else {
            return;
        };
        let driver = Arc::clone(self);
        tokio::spawn(follow::watch_operators(driver));
        let driver = Arc::clone(self);
        tokio::spawn(follow::watch_upstreams(driver, Arc::clone(&gateway)));
        let driver = Arc::clone(self);
        tokio::spawn(reachability::watch(driver, Arc::clone(&gateway)));
        self.handle_calls(gateway);
    }

    /// Handles the calls of peers that are cut off from upstreams.
    fn handle_calls(self: &Arc<Self>, gateway: Arc<Gateway>) {
        let driver = Arc::downgrade(self);
        self.peers.set_call_handler(move |stream| {
            let Some(driver) = driver.upgrade() else {
                return;
            };
            tokio::spawn(serve::handle_call(driver, Arc::clone(&gateway), stream));
        });
    }

    /// Starts a planned stop.
    pub fn stop(self: &Arc<Self>) {
        log::info!(target: NODE, "stops: leaves the directory and finishes running requests");
        if let Some(gateway) = &self.gateway {
            gateway.stop();
        }
        self.stopping_since.send_replace(Some(self.now()));
        self.handle_event(Event::Serving(false));
        self.handle_event(Event::Stop);
    }

    /// Waits until a span has passed since the planned stop started.
    pub(crate) async fn sleep_until_stopped_for(&self, span: Duration) {
        let mut stopping_since = self.stopping_since.subscribe();
        // The sender lives as long as the driver.
        let started =
            stopping_since.wait_for(Option::is_some).await.ok().and_then(|started| *started);
        if let Some(started) = started {
            self.clock.sleep_until(started.after(span)).await;
        }
    }

    /// Returns whether so much of the grace period of a stop has passed that a new request
    /// might not finish before its end.
    pub(crate) fn is_refusing_requests(&self) -> bool {
        let grace =
            self.settings.gateway.map_or(Duration::ZERO, |gateway| gateway.shutdown_timeout);
        let stopping_since = *self.stopping_since.borrow();
        stopping_since
            .is_some_and(|started| self.now().since(started) >= grace * ADMISSION_PERCENT / 100)
    }

    /// Returns whether this VM is cut off from upstreams, so that requests go through peers.
    pub fn is_cut_off(&self) -> bool {
        self.gateway.as_ref().is_some_and(|gateway| gateway.reachability().is_cut_off())
    }

    /// Returns the gateway, if this process accepts requests on routes.
    pub(crate) fn gateway(&self) -> Option<&Arc<Gateway>> {
        self.gateway.as_ref()
    }

    /// Returns the counters of requests on routes.
    pub(crate) fn gateway_counts(&self) -> &GatewayCounts {
        &self.metrics.gateway
    }

    /// Assigns an id to a new reservation and returns the receiver of its result.
    pub(crate) fn register_reservation(
        &self,
    ) -> (ReservationId, oneshot::Receiver<Result<Period, Refusal>>) {
        let id = ReservationId(self.next_reservation.fetch_add(1, Ordering::Relaxed));
        let (answer, receiver) = oneshot::channel();
        lock(&self.reservations).insert(id, answer);
        (id, receiver)
    }

    pub(crate) fn peers(&self) -> &PeerTransport {
        &self.peers
    }

    pub(crate) fn upstream_client(&self) -> &UpstreamClient {
        &self.upstream_client
    }

    /// Waits until the process may exit: the core has handed over its state and no request on a
    /// route is open.
    pub async fn wait_for_exit(&self) {
        let mut exit = self.exit.subscribe();
        // The sender lives as long as the driver.
        let _ = exit.wait_for(|may_exit| *may_exit).await;
        while self.gateway.as_ref().is_some_and(|gateway| gateway.open_count() > 0) {
            tokio::time::sleep(TICK_INTERVAL).await;
        }
        self.peers.close().await;
    }

    /// Registers a request and returns its id and the receiver of its answer; `None` if the
    /// limit of open requests is reached.
    pub(crate) fn open_request(
        &self,
        outgoing: Outgoing,
    ) -> Option<(RequestId, mpsc::UnboundedReceiver<IndexedAnswer>)> {
        let mut requests = lock(&self.requests);
        if requests.len() >= self.settings.limits.max_requests {
            return None;
        }
        let id = RequestId(self.next_request.fetch_add(1, Ordering::Relaxed));
        let (answers, receiver) = mpsc::unbounded_channel();
        let outgoing = Arc::new(outgoing);
        requests.insert(id, OpenRequest { answers, outgoing });
        Some((id, receiver))
    }

    /// Removes a request whose caller has received its answer or has disconnected.
    pub(crate) fn close_request(self: &Arc<Self>, id: RequestId) {
        lock(&self.requests).remove(&id);
        self.handle_event(Event::CallerDisconnected(id));
    }

    pub(crate) fn execute(self: &Arc<Self>, command: Command) {
        match command {
            Command::Send(to, message) => {
                let Some(address) = self.node.peer_address(to) else {
                    return;
                };
                let from = self.node.id();
                self.metrics.peer_traffic.count(&message);
                let envelope = Envelope {
                    from,
                    sender_address: self.settings.advertised_address,
                    to,
                    message,
                };
                self.peers.send(address, envelope);
            }
            Command::CallStore(id, call) => {
                let driver = Arc::clone(self);
                self.metrics.store_calls.count(CallKind::of(&call));
                tokio::spawn(async move {
                    let result = driver.store.call(&call).await;
                    driver.metrics.count_store_result(&result);
                    driver.handle_event(Event::StoreReply(id, result));
                });
            }
            Command::Dispatch(attempt, dispatch) => self.dispatch(attempt, dispatch),
            Command::Cancel(attempt) => self.upstream_client.cancel(attempt),
            Command::Answer(id, index, answer) => {
                if let Answer::Refused(refusal) | Answer::Broken(refusal) = &answer {
                    self.metrics.count_refusal(refusal);
                    log_refusal(id, refusal);
                }
                if let Some(request) = lock(&self.requests).get(&id) {
                    // Sending fails if the caller has disconnected; `close_request` reports that.
                    let _ = request.answers.send((index, answer));
                }
            }
            Command::AnswerReserve(id, result) => {
                let answer = lock(&self.reservations).remove(&id);
                // Sending fails if the request has ended; the gateway returns its reserved tokens.
                let _ = answer.map(|answer| answer.send(result));
            }
            Command::ApplyUpstreamChanges(from, update) => self.apply_peer_update(from, update),
            Command::ApplyUpstreamList(from, list) => {
                self.apply_upstream_list(list, UpdateSource::Peer(from));
            }
            Command::ConfirmUpstreamList(revision) => {
                if let Some(gateway) = &self.gateway {
                    gateway.upstreams().confirm_revision(self.now(), revision);
                }
            }
            Command::DivideEngines(demand) => self.divide_engines(&demand),
            Command::ApplyDelayReports(reports) => {
                if let Some(gateway) = &self.gateway {
                    gateway.upstreams().apply_delay_reports(self.now(), &reports);
                }
            }
            Command::ApplyLimitReports(from, reports) => self.apply_limit_reports(from, &reports),
            Command::ApplyEvacuations(from, changes) => self.apply_evacuations(from, &changes),
            Command::ApplyRolloutRules(rules) => self.apply_rollout_rules(rules),
            Command::SendUpstreamList(to, since) => self.send_upstream_list(to, since),
            Command::ApplyVersions(known_at, versions) => {
                self.apply_versions(known_at, &versions, "store");
            }
            Command::BlockRequests(requests) => {
                if let Some(gateway) = &self.gateway {
                    gateway.notify_blocked(requests.len());
                }
            }
            Command::Bill(bill) => self.log_bill(&bill),
            Command::Log(entry) => self.handle_log_entry(&entry),
            Command::Exit => {
                log::info!(target: NODE, "all state is handed over; the process may exit");
                self.exit.send_replace(true);
            }
        }
    }

    /// Divides the engines between long and short prompts.
    fn divide_engines(&self, demand: &[EngineDemand]) {
        let Some(gateway) = &self.gateway else {
            return;
        };
        let changed = gateway.upstreams().divide_engines(demand);
        for (service, EngineDivision { long_threshold, short_share }) in changed {
            log::info!(
                target: NODE,
                "engines divided service={service} short_share={short_share:.2} \
                 long_from={long_threshold:.0}"
            );
        }
    }

    fn dispatch(self: &Arc<Self>, attempt: AttemptId, dispatch: Dispatch) {
        let outgoing = dispatch.request.and_then(|id| {
            let requests = lock(&self.requests);
            requests.get(&id).map(|request| Arc::clone(&request.outgoing))
        });
        let address = self.node.upstream_address(&dispatch.upstream);
        let driver = Arc::clone(self);
        self.upstream_client.dispatch(driver, attempt, dispatch, address, outgoing);
    }

    fn log_bill(&self, bill: &Bill) {
        let key = bill.key.map_or_else(|| "-".to_owned(), |key| key.to_string());
        let result = if bill.billed { "billed" } else { "not billed, another VM bills the key" };
        let (budget, cost, stream) = (&bill.budget, bill.cost, &bill.stream);
        log::info!(target: BILLS, "{budget} key {key} stream {stream} cost {cost}: {result}");
        self.metrics.count_bill(bill);
    }

    /// Writes an entry to the log and updates the tables outside the core that depend on it.
    fn handle_log_entry(&self, entry: &LogEntry) {
        match entry {
            LogEntry::View(epoch) => {
                log::info!(target: NODE, "view {epoch} in force");
                let view = self.node.view();
                self.peers.retain_peers(|id| view.has_member(id));
                self.update_warm_up_senders();
            }
            LogEntry::Templates(arrival) => self.handle_new_templates(arrival),
            LogEntry::OperatorsLost => {
                log::info!(target: PLATFORM, "operators' values not read");
            }
            LogEntry::OperatorsRegained(away) => log::info!(
                target: PLATFORM,
                "operators' values read again away_ms={}",
                away.as_millis()
            ),
            LogEntry::BadTemplates(error) => {
                self.metrics.bad_templates.inc();
                log::error!(target: NODE, "templates are invalid, the previous templates stay in force: {error}");
            }
            LogEntry::BadValue(key, error) => {
                log::error!(target: PLATFORM, "invalid value of {key:?}: {error}");
            }
            LogEntry::RemovesMember { member, vm, silence, epoch } => log::warn!(
                target: NODE,
                "removes member={member} vm={vm} silent_ms={} view={epoch}",
                silence.as_millis()
            ),
            LogEntry::Condition(report) => log::info!(
                target: NODE,
                "reports member={} condition={}",
                report.member,
                report.condition.as_str()
            ),
            LogEntry::Removed => log::error!(target: NODE, "removed from view; exits when idle"),
            LogEntry::LedgerApplied {
                budget,
                limit,
                granted,
                remaining: left,
                held,
                sealed,
                promised,
                reserved,
                in_transit: moving,
                took,
                plan,
                rate,
            } => log::info!(
                target: NODE,
                "drawn budget={budget} limit={limit} granted={granted} left={left} held={held} \
                 sealed={sealed} promised={promised} reserved={reserved} moving={moving} \
                 took_ms={} plan={plan} rate={rate}",
                took.as_millis()
            ),
            LogEntry::Prefetched {
                budget,
                free,
                reserved,
                in_transit: moving,
                waiting,
                rate,
                answer_time,
            } => log::info!(
                target: NODE,
                "at hand budget={budget} free={free} reserved={reserved} moving={moving} \
                 waiting={waiting} rate={rate} answer_ms={}",
                answer_time.map_or_else(|| "-".to_owned(), |time| time.as_millis().to_string())
            ),
            LogEntry::Lending { epoch, held, borrowed } => {
                log::info!(target: NODE, "lending view={epoch} held={held} borrowed={borrowed}");
            }
            LogEntry::ParkedReturned { budget, holder, amount, epoch } => log::warn!(
                target: NODE,
                "untouched budget={budget} holder={holder} amount={amount} view={epoch}: \
                 returned for a removed holder"
            ),
            LogEntry::LenderSilent { budget, lender } => {
                log::warn!(target: NODE, "lender silent budget={budget} lender={lender}");
            }
            LogEntry::Crash { crash, blocks, from } => {
                let from = from.map_or_else(|| "-".to_owned(), |id| id.to_string());
                log::warn!(
                    target: REQUESTS,
                    "crash fingerprint={} upstream={} life={} evidence={} point={} cleared={} \
                     age_ms={} blocks={blocks} from={from}",
                    crash.request,
                    crash.upstream,
                    crash.prior_crashes,
                    crash.evidence.as_str(),
                    crash.events_sent,
                    crash.cleared,
                    crash.age.as_millis()
                );
            }
            LogEntry::Rollout(entry) => log::info!(target: NODE, "{entry}"),
            LogEntry::BudgetRenewed(budget) => log::info!(target: NODE, "budget {budget} renewed"),
        }
    }

    /// Routes requests by newer templates, and logs how they arrived.
    fn handle_new_templates(&self, arrival: &TemplateArrival) {
        if let Some(gateway) = &self.gateway {
            let (version, table) = self.node.route_table();
            gateway.update_routes(version, table);
            self.update_warm_ups();
        }
        self.metrics.template_delay.observe(arrival.delay.as_secs_f64());
        let TemplateArrival { version, source, delay, fetches, unapplied } = arrival;
        log::info!(
            target: NODE,
            "templates {version} in force from={source} delay_ms={} fetches={fetches} \
             unapplied={unapplied}",
            delay.as_millis()
        );
    }

    async fn run_ticks(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        let mut logged_at = self.now();
        let mut reported_at = self.now();
        let mut versions_reported_at = Time::default();
        let mut ticked_at = self.now();
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
            if now.since(logged_at) >= store_calls::LOG_INTERVAL {
                logged_at = now;
                self.metrics.store_calls.log();
                self.metrics.peer_traffic.log();
            }
            if now.since(reported_at) >= REPORT_INTERVAL {
                reported_at = now;
                self.report_rollouts();
            }
            if now.since(versions_reported_at) >= versions::REPORT_INTERVAL {
                versions_reported_at = now;
                self.report_versions();
            }
            self.handle_event(Event::Tick);
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

    async fn receive_messages(self: Arc<Self>) {
        let driver = Arc::clone(&self);
        self.peers.receive(move |envelope| driver.handle_event(Event::Peer(envelope))).await;
    }

    async fn poll_vms(self: Arc<Self>) {
        let Some(uri) = &self.settings.platform.vm_list else {
            return;
        };
        let client = http::client();
        let interval = self.settings.platform.vm_poll_interval;
        loop {
            match fetch_vm_list(&client, uri, self.settings.platform.timeout).await {
                Some(list) => {
                    self.handle_event(Event::VmList(list));
                    self.upstream_client.poll_loads(&self).await;
                }
                None => log::warn!(target: PLATFORM, "cannot read the VM list from {uri}"),
            }
            self.clock.sleep(interval).await;
        }
    }
}

/// Returns the wall-clock time in milliseconds since 1970.
fn wall_clock() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

async fn fetch_vm_list(client: &http::HttpClient, uri: &Uri, timeout: Duration) -> Option<VmList> {
    let request = Request::get(uri.clone()).body(Full::default()).ok()?;
    let value = http::call_json(client, request, timeout).await.ok()?;
    serde_json::from_value(value).ok()
}

/// Logs that a request to the caller API ended with a refusal instead of its answer.
fn log_refusal(id: RequestId, refusal: &Refusal) {
    let (cause, outcome) = (refusal.cause.code(), refusal.outcome.as_str());
    let retry_after =
        refusal.retry_after.map_or_else(|| "-".to_owned(), |span| span.as_millis().to_string());
    log::info!(target: REQUESTS, "refused request={} outcome={cause} run={outcome} come_back_ms={retry_after}", id.0);
}
