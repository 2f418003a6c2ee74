//! Detection of poison requests on routes: crashes of upstreams are recorded for the requests that
//! they served, and blocked requests are refused or cancelled.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use badgerfield_core::Event;
use badgerfield_core::amount::Time;
use badgerfield_core::ids::{Account, UpstreamId};
use badgerfield_core::poison::{Crash, Fingerprint, PoisonStatus};
use badgerfield_core::refusal::{Cause, Refusal};
use badgerfield_core::routing::Route;
use tokio::runtime::Handle;

use crate::adapter::RequestHeaders;
use crate::driver::Driver;
use crate::gateway::attempt::Original;
use crate::gateway::connections::{CRASH_WATCH_TIME, LISTEN_TIMEOUT, ProbeResult};
use crate::gateway::exchange::Exchange;
use crate::gateway::request_log;
use crate::gateway::state::Gateway;

/// Returns the fingerprint of a request, which is the same whenever the request is sent again.
pub(super) fn fingerprint(
    account: Option<&Account>,
    route: &Route,
    headers: &RequestHeaders,
    original: &Original,
) -> Fingerprint {
    let head = &original.head;
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let address = (route.host.as_str(), path);
    Fingerprint::new(account, head.method.as_str(), address, &headers.parts, &original.body)
}

/// Refuses a blocked request before any tokens are reserved for it. Returns its fingerprint if it
/// had to be computed.
pub(super) fn check_blocked(
    driver: &Driver,
    account: Option<&Account>,
    route: &Route,
    headers: &RequestHeaders,
    original: &Original,
) -> Result<OnceLock<Fingerprint>, Refusal> {
    if !driver.node.has_suspects() {
        return Ok(OnceLock::new());
    }
    let request = fingerprint(account, route, headers, original);
    let poison_status = driver.node.request_status(driver.now(), request);
    let PoisonStatus::Blocked { upstreams, age, remaining } = poison_status else {
        return Ok(OnceLock::from(request));
    };
    request_log::blocked(&original.id, request, &upstreams, age);
    Err(Refusal::not_run(Cause::EndsUpstreams).with_retry_after(remaining))
}

/// Reports a crash of an upstream to the fleet, unless this VM reaches no other upstream either: then
/// its own links have probably failed. Returns whether the crash was reported.
async fn report_crash(driver: &Arc<Driver>, gateway: &Gateway, crash: Crash) -> bool {
    if !gateway.reaches_another(driver.now(), &crash.upstream).await {
        request_log::crash_ignored(crash.request, &crash.upstream);
        return false;
    }
    driver.handle_event(Event::UpstreamCrashed(crash));
    true
}

impl Exchange {
    /// Returns the fingerprint of the request. It is computed on first use, which most requests
    /// never need.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        let account = self.caller.as_ref().map(|caller| &caller.account);
        let make = || fingerprint(account, &self.route, &self.headers, &self.original);
        *self.fingerprint.get_or_init(make)
    }

    fn poison_status(&self) -> PoisonStatus {
        if !self.driver.node.has_suspects() {
            return PoisonStatus::Clear;
        }
        self.driver.node.request_status(self.now(), self.fingerprint())
    }

    /// Returns the number of known crashes of an upstream while serving the request.
    pub(super) fn crash_count(&self, upstream: &UpstreamId) -> u32 {
        if !self.driver.node.has_suspects() {
            return 0;
        }
        self.driver.node.crash_count(self.fingerprint(), upstream)
    }

    /// Returns the key by which all VMs choose the same upstream, if an upstream has crashed while
    /// serving the request.
    ///
    /// # Errors
    ///
    /// Fails if the request is blocked.
    pub(super) fn check_poison(&self) -> Result<Option<u64>, Cause> {
        match self.poison_status() {
            PoisonStatus::Clear => Ok(None),
            PoisonStatus::Suspect { early } => {
                let request = self.fingerprint();
                request_log::suspect(&self.original.id, request, self.attempts + 1, early);
                // A stream whose upstreams crashed late is routed by cached prompt parts and load.
                Ok(early.then(|| request.rendezvous_key()))
            }
            PoisonStatus::Blocked { upstreams, age, .. } => {
                request_log::blocked(&self.original.id, self.fingerprint(), &upstreams, age);
                Err(Cause::EndsUpstreams)
            }
        }
    }

    /// Returns how much longer the request is blocked, if it is.
    pub(super) fn blocked_for(&self) -> Option<Duration> {
        match self.poison_status() {
            PoisonStatus::Blocked { remaining, .. } => Some(remaining),
            PoisonStatus::Clear | PoisonStatus::Suspect { .. } => None,
        }
    }

    /// Waits until the request is blocked. Never returns if that does not happen.
    pub(super) async fn until_blocked(&self) {
        let mut changes = self.gateway.subscribe_blocked();
        while !matches!(self.poison_status(), PoisonStatus::Blocked { .. }) {
            if changes.changed().await.is_err() {
                // The gateway was dropped, so no request can be blocked any more.
                std::future::pending::<()>().await;
            }
        }
    }

    /// Returns when the upstream was last known to work on the request.
    fn last_contact(&self) -> Time {
        let last_event = self.timing.last.map(|last| self.arrived_at.after(last));
        last_event.map_or(self.last_dispatch.at, |at| at.max(self.last_dispatch.at))
    }

    fn crash_check(&self) -> CrashCheck {
        CrashCheck {
            driver: Arc::clone(&self.driver),
            gateway: Arc::clone(&self.gateway),
            id: self.original.id.clone(),
            account: self.caller.as_ref().map(|caller| caller.account.clone()),
            request: self.fingerprint(),
            prior_crashes: self.last_dispatch.prior_crashes,
            last_contact: self.last_contact(),
        }
    }

    /// Detects whether an upstream has crashed after its connection failed, and records a crash for
    /// the request. Returns whether it has crashed.
    pub(super) async fn detect_crash(
        &self,
        upstream: &UpstreamId,
        address: SocketAddr,
        last_event: Option<u64>,
    ) -> bool {
        self.crash_check().detect(upstream, address, last_event).await
    }

    /// Watches an upstream that still works on the request after its caller disconnected.
    pub(super) fn watch_abandoned(&self, upstream: &UpstreamId, address: SocketAddr) {
        self.crash_check().watch_abandoned(upstream, address);
    }

    /// Records that the request was served completely, and so caused none of the crashes under it.
    pub(super) fn record_served(&self) {
        if self.poison_status() != PoisonStatus::Clear {
            self.driver.handle_event(Event::SuspectServed(self.fingerprint()));
        }
    }
}

/// What the detection of a crash needs to know about a request that an upstream was running.
#[derive(Debug)]
pub(super) struct CrashCheck {
    pub(super) driver: Arc<Driver>,
    pub(super) gateway: Arc<Gateway>,
    /// The id of the request.
    pub(super) id: String,
    pub(super) account: Option<Account>,
    pub(super) request: Fingerprint,
    /// How many crashes of the upstream under the request were known when it was sent.
    pub(super) prior_crashes: u32,
    /// When the upstream was last known to work on the request.
    pub(super) last_contact: Time,
}

impl CrashCheck {
    fn crash(&self, upstream: &UpstreamId, events_sent: u64) -> Crash {
        Crash::new(self.request, self.account.as_ref(), upstream, events_sent)
            .with_prior_crashes(self.prior_crashes)
    }

    /// Detects whether an upstream has crashed after its connection failed, and records a crash for
    /// the request. Returns whether it has crashed.
    ///
    /// A failed connection alone is no evidence: running upstreams close some connections early.
    pub(super) async fn detect(
        &self,
        upstream: &UpstreamId,
        address: SocketAddr,
        last_event: Option<u64>,
    ) -> bool {
        let (driver, gateway) = (&self.driver, &self.gateway);
        // While this process was stalled, the upstream may have been stopped as planned, which
        // looks the same as a crash.
        if driver.clock.has_stalled_since(self.last_contact) {
            request_log::broke(&self.id, upstream, "not_asked", Duration::ZERO);
            return false;
        }
        let crash = self.crash(upstream, last_event.unwrap_or(0));
        let probed_at = driver.now();
        let probe_result = gateway.connections.probe_listener(address).await;
        let took = driver.now().since(probed_at);
        request_log::broke(&self.id, upstream, probe_result.as_str(), took);
        match probe_result {
            ProbeResult::Refused => report_crash(driver, gateway, crash).await,
            ProbeResult::Open(connection) => {
                // The request continues in the meantime.
                let (driver, gateway) = (Arc::clone(driver), Arc::clone(gateway));
                let permit = Arc::clone(&gateway.crash_watches).try_acquire_owned().ok();
                let span = if permit.is_some() { CRASH_WATCH_TIME } else { LISTEN_TIMEOUT };
                tokio::spawn(async move {
                    let upstream = &crash.upstream;
                    let watch =
                        gateway.connections.exits_within(upstream, address, connection, span);
                    if watch.await && !driver.clock.has_stalled_since(probed_at) {
                        report_crash(&driver, &gateway, crash).await;
                    }
                    drop(permit);
                });
                false
            }
            // A failure of the whole host refuses no connection, so the crash is recorded as
            // unconfirmed.
            ProbeResult::Unknown => {
                report_crash(driver, gateway, crash.unconfirmed()).await;
                false
            }
        }
    }

    /// Watches an upstream that still works on the request after its caller disconnected. It may
    /// crash under the request later, and the caller may send the request again.
    pub(super) fn watch_abandoned(&self, upstream: &UpstreamId, address: SocketAddr) {
        let crash_watches = Arc::clone(&self.gateway.crash_watches);
        let (Ok(permit), Ok(runtime)) = (crash_watches.try_acquire_owned(), Handle::try_current())
        else {
            // With many callers leaving at once, watching some upstreams is enough. Without a
            // runtime, the process is exiting.
            return;
        };
        let crash = self.crash(upstream, 0);
        let (driver, gateway) = (Arc::clone(&self.driver), Arc::clone(&self.gateway));
        let since = driver.now();
        runtime.spawn(async move {
            let has_exited = gateway.connections.exits_soon(&crash.upstream, address).await;
            if has_exited && !driver.clock.has_stalled_since(since) {
                report_crash(&driver, &gateway, crash).await;
            }
            drop(permit);
        });
    }
}
