//! The driver: hands events to the decisions, and carries out what they order.
//!
//! Any task may hand over an event; the worker threads of the runtime share the node's
//! tables under its lock order. Orders are carried out by the task that got them.

use std::collections::HashMap;
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
use badgerfield_core::view::{Member, MemberState};
use badgerfield_core::vm_upstreams::VmList;
use badgerfield_core::{Command, Config, Event, Node, TICK_INTERVAL};
use http_body_util::Full;
use hyper::{Request, Uri};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot, watch};

use crate::adapter::{KeyValueStore, PlatformAdapter};
use crate::caller_api::Outgoing;
use crate::clock::{Clock, StoodStill, SystemClocks, VmClocks};
use crate::follow;
use crate::gateway::state::Gateway;
use crate::http;
use crate::logs::{BILLS, NODE, PLATFORM, REQUESTS};
use crate::metrics::{GatewayCounts, Metrics};
use crate::peers::{PeerError, PeerTransport};
use crate::rollouts::TELL_EVERY;
use crate::settings::Settings;
use crate::store_calls::{self, CallKind};
use crate::sync::lock;
use crate::upstream_client::Upstreams;

/// The part of the grace of a stop, in hundredths, in which new requests are still taken:
/// callers keep what the directory said for a while.
const TAKING_PERCENT: u32 = 30;
/// After how many ticks the time of day is read.
const CLOCK_TICKS: u32 = 4;

/// Who told something of the list of upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// The platform.
    Platform,
    /// Another process.
    Peer,
}

/// Why a process cannot start.
#[derive(Debug, Error)]
pub enum StartError {
    /// Peers cannot be talked to.
    #[error(transparent)]
    Peers(#[from] PeerError),
    /// An address cannot be listened on.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// The system gives no random bits.
    #[error("the system gives no random bits: {0}")]
    Random(#[from] getrandom::Error),
}

/// A part of an answer with its place.
pub type PlacedAnswer = (usize, Answer);

/// Where the answer to a wish for tokens goes.
type ReservationAnswer = oneshot::Sender<Result<Period, Refusal>>;

/// What the driver keeps for one open request.
#[derive(Debug)]
struct OpenRequest {
    answers: mpsc::UnboundedSender<PlacedAnswer>,
    outgoing: Arc<Outgoing>,
}

/// Runs one process.
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
    /// When the order to stop came.
    stopped: watch::Sender<Option<Time>>,
    peers: Arc<PeerTransport>,
    upstreams: Upstreams,
    requests: Mutex<HashMap<RequestId, OpenRequest>>,
    next_request: AtomicU64,
    exit: watch::Sender<bool>,
}

impl Driver {
    /// Prepares a process.
    ///
    /// # Errors
    ///
    /// Fails if peers cannot be talked to, or the system gives no random bits.
    pub fn new(settings: Settings, adapter: PlatformAdapter) -> Result<Arc<Self>, StartError> {
        Self::with_clocks(settings, adapter, Box::new(SystemClocks))
    }

    /// Prepares a process that goes by given clocks.
    ///
    /// # Errors
    ///
    /// Fails if peers cannot be talked to, or the system gives no random bits.
    pub fn with_clocks(
        settings: Settings,
        adapter: PlatformAdapter,
        clocks: Box<dyn VmClocks>,
    ) -> Result<Arc<Self>, StartError> {
        let incarnation = Incarnation(getrandom::u64()?);
        let seed = getrandom::u64()?;
        let peers =
            PeerTransport::listen(settings.peer_address, &settings.secret, &settings.accepted)?;
        let member = Member {
            vm: settings.vm.clone(),
            incarnation,
            region: settings.region.clone(),
            domain: settings.domain.clone(),
            peer: settings.advertised_address,
            caller: settings.gateway.map_or(settings.callers, |gateway| gateway.request_address),
            standing: MemberState::Active,
        };
        let limits = settings.limits;
        let node = Node::new(Config {
            member,
            ledger_shards: limits.shards,
            key_retention: limits.remember,
            answer_retention: limits.replay,
            max_answer_bytes: limits.replay_bytes,
            directory_ttl: limits.directory,
            pacing: settings.pacing,
            seed,
        });
        let PlatformAdapter { store, route_adapter: routes } = adapter;
        let clock = Arc::new(Clock::new(clocks));
        let gateway = routes
            .map(|routes| Arc::new(Gateway::new(routes, settings.retries, Arc::clone(&clock))));
        if let Some(gateway) = &gateway {
            let senders = settings.pacing.policy.warm_up_senders;
            gateway.replicas().set_warm_up_bound(settings.warm_up, senders);
            let (domain, region) = (settings.domain.clone(), settings.region.clone());
            let place = Location { domain: Some(domain), region: Some(region) };
            let mut replicas = gateway.replicas();
            replicas.set_regions(settings.regions.clone());
            replicas.set_location(place, settings.locality);
        }
        let upstreams = Upstreams::new(limits.silence);
        Ok(Arc::new(Self {
            node,
            metrics: Metrics::new(),
            clock,
            store,
            gateway,
            reservations: Mutex::default(),
            next_reservation: AtomicU64::new(1),
            stopped: watch::channel(None).0,
            peers: Arc::new(peers),
            upstreams,
            requests: Mutex::default(),
            next_request: AtomicU64::new(1),
            exit: watch::channel(false).0,
            settings,
        }))
    }

    /// Returns the present time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Hands over an event and carries out what comes of it.
    pub fn feed(self: &Arc<Self>, event: Event) {
        let orders = self.node.handle(self.now(), event);
        for order in orders {
            self.carry_out(order);
        }
    }

    /// Starts the regular work: ticks, peers and the VM list.
    pub fn start(self: &Arc<Self>) {
        log::info!(target: NODE, "starts as {} on {}", self.node.id(), self.settings.vm);
        self.feed(Event::Start);
        let driver = Arc::clone(self);
        tokio::spawn(async move { driver.tick().await });
        let driver = Arc::clone(self);
        tokio::spawn(async move { driver.receive().await });
        let driver = Arc::clone(self);
        tokio::spawn(async move { driver.poll_vms().await });
        let Some(gateway) = self.gateway.clone() else {
            return;
        };
        let driver = Arc::clone(self);
        tokio::spawn(follow::operators(driver));
        let driver = Arc::clone(self);
        tokio::spawn(follow::upstreams(driver, gateway));
    }

    /// Starts a planned stop.
    pub fn stop(self: &Arc<Self>) {
        log::info!(target: NODE, "stops: leaves the directory and ends what runs");
        if let Some(gateway) = &self.gateway {
            gateway.stop();
        }
        self.stopped.send_replace(Some(self.now()));
        self.feed(Event::Serving(false));
        self.feed(Event::Stop);
    }

    /// Waits until a span has passed since the order to stop.
    pub(crate) async fn lingered(&self, span: Duration) {
        let mut stopped = self.stopped.subscribe();
        // The sender lives as long as the driver.
        let at = stopped.wait_for(Option::is_some).await.ok().and_then(|at| *at);
        if let Some(at) = at {
            self.clock.sleep_until(at.after(span)).await;
        }
    }

    /// Tells whether so much of the grace of a stop has passed that a new request might be
    /// cut off at its end.
    pub(crate) fn refuses_new(&self) -> bool {
        let grace = self.settings.gateway.map_or(Duration::ZERO, |gateway| gateway.grace);
        let stopped = *self.stopped.borrow();
        stopped.is_some_and(|at| self.now().since(at) >= grace * TAKING_PERCENT / 100)
    }

    /// Returns the tables of requests on routes, if this process takes them.
    pub(crate) fn gateway(&self) -> Option<&Arc<Gateway>> {
        self.gateway.as_ref()
    }

    /// Returns the counters of requests on routes.
    pub(crate) fn gateway_counts(&self) -> &GatewayCounts {
        &self.metrics.gateway
    }

    /// Names a reservation and returns the line on which its answer comes.
    pub(crate) fn await_reservation(
        &self,
    ) -> (ReservationId, oneshot::Receiver<Result<Period, Refusal>>) {
        let id = ReservationId(self.next_reservation.fetch_add(1, Ordering::Relaxed));
        let (answer, line) = oneshot::channel();
        lock(&self.reservations).insert(id, answer);
        (id, line)
    }

    pub(crate) fn upstreams(&self) -> &Upstreams {
        &self.upstreams
    }

    /// Waits until the process may end.
    pub async fn wait_for_exit(&self) {
        let mut exit = self.exit.subscribe();
        // The sender lives as long as the driver.
        let _ = exit.wait_for(|ended| *ended).await;
        while self.gateway.as_ref().is_some_and(|gateway| gateway.open_count() > 0) {
            tokio::time::sleep(TICK_INTERVAL).await;
        }
        self.peers.close().await;
    }

    /// Opens a request: gives it a number and a line for its answers.
    pub(crate) fn open(
        &self,
        outgoing: Outgoing,
    ) -> Option<(RequestId, mpsc::UnboundedReceiver<PlacedAnswer>)> {
        let mut requests = lock(&self.requests);
        if requests.len() >= self.settings.limits.requests {
            return None;
        }
        let id = RequestId(self.next_request.fetch_add(1, Ordering::Relaxed));
        let (answers, line) = mpsc::unbounded_channel();
        let outgoing = Arc::new(outgoing);
        requests.insert(id, OpenRequest { answers, outgoing });
        Some((id, line))
    }

    /// Closes a request whose caller has its answer or is gone.
    pub(crate) fn close(self: &Arc<Self>, id: RequestId) {
        lock(&self.requests).remove(&id);
        self.feed(Event::CallerDisconnected(id));
    }

    pub(crate) fn carry_out(self: &Arc<Self>, order: Command) {
        match order {
            Command::Send(to, message) => {
                let Some(address) = self.node.peer_address(to) else {
                    return;
                };
                let from = self.node.id();
                self.metrics.messages.count(&message);
                let envelope = Envelope {
                    from,
                    sender_address: self.settings.advertised_address,
                    to,
                    message,
                };
                self.peers.send(address, envelope);
            }
            Command::CallStore(ticket, call) => {
                let driver = Arc::clone(self);
                self.metrics.calls.count(CallKind::of(&call));
                tokio::spawn(async move {
                    let result = driver.store.call(&call).await;
                    driver.metrics.count_kv(&result);
                    driver.feed(Event::StoreReply(ticket, result));
                });
            }
            Command::Dispatch(attempt, dispatch) => self.dispatch(attempt, dispatch),
            Command::Cancel(attempt) => self.upstreams.cancel(attempt),
            Command::Answer(id, place, answer) => {
                if let Answer::Refused(refusal) | Answer::Broken(refusal) = &answer {
                    self.metrics.count_refusal(refusal);
                    log_refusal(id, refusal);
                }
                if let Some(request) = lock(&self.requests).get(&id) {
                    // A caller that has gone away is told about elsewhere.
                    let _ = request.answers.send((place, answer));
                }
            }
            Command::AnswerReserve(id, result) => {
                let answer = lock(&self.reservations).remove(&id);
                // A request that has gone meanwhile settles what it was given.
                let _ = answer.map(|answer| answer.send(result));
            }
            Command::ApplyUpstreamChanges(from, news) => self.hear_changes(from, news),
            Command::ApplyUpstreamList(list) => self.learn_list(list, Source::Peer),
            Command::ConfirmUpstreamList(revision) => {
                if let Some(gateway) = &self.gateway {
                    gateway.replicas().confirm_revision(self.now(), revision);
                }
            }
            Command::DivideEngines(needs) => self.divide_engines(&needs),
            Command::ApplyDelayReports(notes) => {
                if let Some(gateway) = &self.gateway {
                    gateway.replicas().apply_delay_reports(self.now(), &notes);
                }
            }
            Command::ApplyLimitReports(from, notes) => self.learn_limits(from, &notes),
            Command::ApplyEvacuations(from, changes) => self.evacuate(from, &changes),
            Command::ApplyRolloutRules(rules) => self.divide_versions(rules),
            Command::SendUpstreamList(to, since) => self.tell_upstreams(to, since),
            Command::BlockRequests(requests) => {
                if let Some(gateway) = &self.gateway {
                    gateway.note_blocked(requests.len());
                }
            }
            Command::Bill(bill) => self.record(&bill),
            Command::Log(note) => self.note(&note),
            Command::Exit => {
                log::info!(target: NODE, "everything is handed over");
                self.exit.send_replace(true);
            }
        }
    }

    /// Divides the engines between long and short prompts.
    fn divide_engines(&self, needs: &[EngineDemand]) {
        let Some(gateway) = &self.gateway else {
            return;
        };
        let news = gateway.replicas().divide_engines(needs);
        for (service, EngineDivision { long_threshold: long_from, short_share }) in news {
            log::info!(
                target: NODE,
                "engines divided service={service} short_share={short_share:.2} \
                 long_from={long_from:.0}"
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
        self.upstreams.dispatch(driver, attempt, dispatch, address, outgoing);
    }

    fn record(&self, bill: &Bill) {
        let key = bill.key.map_or_else(|| "-".to_owned(), |key| key.to_string());
        let word = if bill.billed { "billed" } else { "not billed, another VM bills the key" };
        let (budget, cost, stream) = (&bill.budget, bill.cost, &bill.stream);
        log::info!(target: BILLS, "{budget} key {key} stream {stream} cost {cost}: {word}");
        self.metrics.count_bill(bill);
    }

    fn note(&self, note: &LogEntry) {
        match note {
            LogEntry::View(epoch) => {
                log::info!(target: NODE, "view {epoch} in force");
                let view = self.node.view();
                self.peers.keep(|id| view.has(id));
                self.learn_senders();
            }
            LogEntry::Templates(version) => {
                if let Some(gateway) = &self.gateway {
                    let (version, table) = self.node.route_table();
                    gateway.put_in_force(version, table);
                    self.learn_warm_ups();
                }
                log::info!(target: NODE, "templates {version} in force");
            }
            LogEntry::BadTemplates(error) => {
                self.metrics.bad_templates.inc();
                log::error!(target: NODE, "templates not used, the last good ones stay: {error}");
            }
            LogEntry::BadValue(name, error) => {
                log::error!(target: PLATFORM, "cannot use {name:?}: {error}");
            }
            LogEntry::RemovesMember { member, vm, silence, epoch } => log::warn!(
                target: NODE,
                "removes member={member} vm={vm} silent_ms={} view={epoch}",
                silence.as_millis()
            ),
            LogEntry::Removed => log::error!(target: NODE, "removed from the view; ends when idle"),
            LogEntry::LedgerApplied {
                budget,
                limit,
                granted,
                left,
                held,
                sealed,
                promised,
                reserved,
                moving,
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
            LogEntry::Prefetched { budget, free, reserved, moving, waiting, rate } => log::info!(
                target: NODE,
                "at hand budget={budget} free={free} reserved={reserved} moving={moving} \
                 waiting={waiting} rate={rate}"
            ),
            LogEntry::Lending { epoch, held, borrowed } => {
                log::info!(target: NODE, "lending view={epoch} held={held} borrowed={borrowed}");
            }
            LogEntry::ParkedReturned { budget, holder, amount, epoch } => log::warn!(
                target: NODE,
                "untouched budget={budget} holder={holder} amount={amount} view={epoch}: \
                 given back for a removed holder"
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
            LogEntry::Rollout(note) => log::info!(target: NODE, "{note}"),
            LogEntry::BudgetRenewed(budget) => log::info!(target: NODE, "budget {budget} renewed"),
        }
    }

    async fn tick(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        let mut logged = self.now();
        let mut told = self.now();
        let mut count: u32 = 0;
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if let Some(StoodStill { span, suspended }) = self.clock.tick() {
                log::warn!(
                    target: NODE,
                    "stood still for_ms={} suspended_ms={}",
                    span.as_millis(),
                    suspended.as_millis()
                );
                count = 0;
            }
            if count.is_multiple_of(CLOCK_TICKS) {
                self.feed(Event::WallClock(wall_clock()));
            }
            count = count.wrapping_add(1);
            let now = self.now();
            if now.since(logged) >= store_calls::LOG_EVERY {
                logged = now;
                self.metrics.calls.log();
                self.metrics.messages.log();
            }
            if now.since(told) >= TELL_EVERY {
                told = now;
                self.tell_rollouts();
            }
            self.feed(Event::Tick);
        }
    }

    async fn receive(self: Arc<Self>) {
        let driver = Arc::clone(&self);
        self.peers.receive(move |envelope| driver.feed(Event::Peer(envelope))).await;
    }

    async fn poll_vms(self: Arc<Self>) {
        let Some(uri) = &self.settings.platform.vm_list else {
            return;
        };
        let client = http::client();
        let every = self.settings.platform.vm_poll;
        loop {
            match read_vms(&client, uri, self.settings.platform.timeout).await {
                Some(list) => {
                    self.feed(Event::VmList(list));
                    self.upstreams.poll_loads(&self).await;
                }
                None => log::warn!(target: PLATFORM, "no usable VM list from {uri}"),
            }
            self.clock.sleep(every).await;
        }
    }
}

/// Returns the time of day in milliseconds since 1970.
fn wall_clock() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

async fn read_vms(client: &http::HttpClient, uri: &Uri, timeout: Duration) -> Option<VmList> {
    let request = Request::get(uri.clone()).body(Full::default()).ok()?;
    let value = http::call_json(client, request, timeout).await.ok()?;
    serde_json::from_value(value).ok()
}

/// Records that a request on the product's own interface ends without its answer.
fn log_refusal(id: RequestId, refusal: &Refusal) {
    let (cause, outcome) = (refusal.cause.code(), refusal.outcome.as_str());
    let after =
        refusal.retry_after.map_or_else(|| "-".to_owned(), |span| span.as_millis().to_string());
    log::info!(target: REQUESTS, "refused request={} outcome={cause} run={outcome} come_back_ms={after}", id.0);
}
