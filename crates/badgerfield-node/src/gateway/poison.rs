//! What is held against a request on its way: whether it may be sent, what comes of an upstream
//! that breaks off under it, and word that it is blocked meanwhile.

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

/// Returns what stands for a request, whoever sends it again.
pub(super) fn fingerprint(
    account: Option<&Account>,
    route: &Route,
    headers: &RequestHeaders,
    original: &Original,
) -> Fingerprint {
    let head = &original.head;
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let address = (route.host.as_str(), path);
    Fingerprint::of(account, head.method.as_str(), address, &headers.parts, &original.body)
}

/// Refuses a request under which upstreams have ended, before anything is set aside for it;
/// returns what stands for it, if that had to be made.
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

impl Exchange {
    /// Returns what stands for the request; it is made when it is first needed, which for most
    /// requests is never.
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

    /// Returns how often an upstream is known to have ended under the request.
    pub(super) fn crash_count(&self, upstream: &UpstreamId) -> u32 {
        if !self.driver.node.has_suspects() {
            return 0;
        }
        self.driver.node.crash_count(self.fingerprint(), upstream)
    }

    /// Returns the number by which all VMs choose alike for the request, if an upstream has
    /// ended while it was there.
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
                // A stream in full flow goes where its parts are and work is least.
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

    /// Waits until the request is blocked, if that comes to pass.
    pub(super) async fn until_blocked(&self) {
        let mut changes = self.gateway.subscribe_blocked();
        while !matches!(self.poison_status(), PoisonStatus::Blocked { .. }) {
            if changes.changed().await.is_err() {
                // The gateway is gone, and with it whoever could block anything.
                std::future::pending::<()>().await;
            }
        }
    }

    /// Returns when the upstream was last known to be at work on the request.
    fn last_contact(&self) -> Time {
        let last_event = self.timing.last.map(|last| self.arrived_at.after(last));
        last_event.map_or(self.last_dispatch.at, |at| at.max(self.last_dispatch.at))
    }

    /// Finds out whether an upstream that broke off has ended, and holds that against the
    /// request; tells whether it has.
    ///
    /// A connection that breaks alone is no evidence: upstreams that live break some off.
    pub(super) async fn detect_crash(
        &self,
        upstream: &UpstreamId,
        address: SocketAddr,
        last: Option<u64>,
    ) -> bool {
        let id = &self.original.id;
        // An upstream that came to a planned end while this process stood still is as silent as
        // one that ended under the request.
        if self.driver.clock.stood_still_since(self.last_contact()) {
            request_log::broke(id, upstream, "not_asked", Duration::ZERO);
            return false;
        }
        let account = self.caller.as_ref().map(|caller| &caller.account);
        let crash = || {
            Crash::new(self.fingerprint(), account, upstream, last.unwrap_or(0))
                .with_prior_crashes(self.last_dispatch.prior_crashes)
        };
        let connections = &self.gateway.connections;
        let probed_at = self.now();
        let probe_result = connections.probe_listener(address).await;
        request_log::broke(id, upstream, probe_result.as_str(), self.now().since(probed_at));
        match probe_result {
            ProbeResult::Refused => {
                self.driver.feed(Event::UpstreamCrashed(crash()));
                true
            }
            ProbeResult::Open(connection) => {
                // The request goes on meanwhile.
                let (driver, crash) = (Arc::clone(&self.driver), crash());
                let connections = Arc::clone(connections);
                let permit = Arc::clone(&self.gateway.crash_watches).try_acquire_owned().ok();
                let span = if permit.is_some() { CRASH_WATCH_TIME } else { LISTEN_TIMEOUT };
                tokio::spawn(async move {
                    let has_exited =
                        connections.exits_within(&crash.upstream, address, connection, span).await;
                    if has_exited && !driver.clock.stood_still_since(probed_at) {
                        driver.feed(Event::UpstreamCrashed(crash));
                    }
                    drop(permit);
                });
                false
            }
            // What takes its host with it refuses no connection.
            ProbeResult::Unknown => {
                self.driver.feed(Event::UpstreamCrashed(crash().unconfirmed()));
                false
            }
        }
    }

    /// Watches an upstream for a while that works on the request though its caller has left: it may
    /// end under it yet, and the same caller may come back.
    pub(super) fn watch_abandoned(&self, upstream: &UpstreamId, address: SocketAddr) {
        let crash_watches = Arc::clone(&self.gateway.crash_watches);
        let (Ok(permit), Ok(runtime)) = (crash_watches.try_acquire_owned(), Handle::try_current())
        else {
            // Of many at once it is enough to watch some; without a runtime the process ends.
            return;
        };
        let account = self.caller.as_ref().map(|caller| &caller.account);
        let crash = Crash::new(self.fingerprint(), account, upstream, 0)
            .with_prior_crashes(self.last_dispatch.prior_crashes);
        let (driver, connections) =
            (Arc::clone(&self.driver), Arc::clone(&self.gateway.connections));
        let since = self.now();
        runtime.spawn(async move {
            let has_exited = connections.exits_soon(&crash.upstream, address).await;
            if has_exited && !driver.clock.stood_still_since(since) {
                driver.feed(Event::UpstreamCrashed(crash));
            }
            drop(permit);
        });
    }

    /// Notes that the request was served whole: no crash that it was at was its doing.
    pub(super) fn record_served(&self) {
        if self.poison_status() != PoisonStatus::Clear {
            self.driver.feed(Event::SuspectServed(self.fingerprint()));
        }
    }
}
