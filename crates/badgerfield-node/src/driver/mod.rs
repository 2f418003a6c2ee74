//! The driver: passes events to the core and executes the commands that the core returns.
//!
//! Any task may pass an event; the worker threads of the runtime share the node's
//! tables under its lock order. Commands are executed by the task that received them
//! (module `commands`); `log_entries` writes what the core logs, and `ticks` does what is due
//! periodically.

mod commands;
mod log_entries;
mod ticks;

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::event::{Answer, ReserveRequest};
use badgerfield_core::ids::{Incarnation, RequestId, ReservationId};
use badgerfield_core::locality::Location;
use badgerfield_core::view::{Member, MemberState};
use badgerfield_core::vm_upstreams::VmList;
use badgerfield_core::{Config, Event, Node};
use http_body_util::Full;
use hyper::{Request, Uri};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

use crate::adapter::{KeyValueStore, PlatformAdapter};
use crate::caller_api::Outgoing;
use crate::clock::{Clock, SystemClocks, VmClocks};
use crate::follow;
use crate::gateway::forward::serve;
use crate::gateway::reachability;
use crate::gateway::state::Gateway;
use crate::http;
use crate::logs::{NODE, PLATFORM};
use crate::metrics::{GatewayCounts, Metrics};
use crate::peers::{PeerError, PeerTransport};
use crate::reservations::{ReserveResult, WaitingReservations};
use crate::segment_loads::SegmentLoads;
use crate::settings::Settings;
use crate::shutdown::{Shutdown, Use};
use crate::sync::lock;
use crate::upstream_client::UpstreamClient;

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
    pub(crate) segment_loads: SegmentLoads,
    reservations: Mutex<WaitingReservations>,
    next_reservation: AtomicU64,
    pub(crate) shutdown: Shutdown,
    peers: Arc<PeerTransport>,
    upstream_client: UpstreamClient,
    requests: Mutex<HashMap<RequestId, OpenRequest>>,
    next_request: AtomicU64,
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
        let upstream_client = UpstreamClient::new(limits.silence_timeout, &clock);
        Ok(Arc::new(Self {
            node,
            metrics: Metrics::new(),
            clock,
            store,
            gateway,
            segment_loads: SegmentLoads::default(),
            reservations: Mutex::default(),
            next_reservation: AtomicU64::new(1),
            shutdown: Shutdown::new(),
            peers: Arc::new(peers),
            upstream_client,
            requests: Mutex::default(),
            next_request: AtomicU64::new(1),
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
            let call = driver.shutdown.track(Use::Call);
            let handled = serve::handle_call(driver, Arc::clone(&gateway), stream);
            tokio::spawn(async move {
                handled.await;
                drop(call);
            });
        });
    }

    /// Starts a planned stop.
    pub fn stop(self: &Arc<Self>) {
        self.handle_event(Event::Stop);
    }

    /// Returns whether new requests are refused because the process stops.
    pub(crate) fn is_refusing_requests(&self) -> bool {
        let grace =
            self.settings.gateway.map_or(Duration::ZERO, |gateway| gateway.shutdown_timeout);
        self.shutdown.is_refusing(self.now(), grace)
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

    /// Returns an id for a new reservation.
    pub(crate) fn next_reservation(&self) -> ReservationId {
        ReservationId(self.next_reservation.fetch_add(1, Ordering::Relaxed))
    }

    /// Adds a reservation that waits for its result, and returns the receiver of the result.
    pub(crate) fn await_reservation(
        &self,
        request: &ReserveRequest,
    ) -> oneshot::Receiver<ReserveResult> {
        lock(&self.reservations).insert(request)
    }

    pub(crate) fn peers(&self) -> &PeerTransport {
        &self.peers
    }

    pub(crate) fn upstream_client(&self) -> &UpstreamClient {
        &self.upstream_client
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

async fn fetch_vm_list(client: &http::HttpClient, uri: &Uri, timeout: Duration) -> Option<VmList> {
    let request = Request::get(uri.clone()).body(Full::default()).ok()?;
    let value = http::call_json(client, request, timeout).await.ok()?;
    serde_json::from_value(value).ok()
}
