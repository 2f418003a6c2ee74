//! Finds out whether an upstream has crashed after its connection failed, and reports the crash for the
//! request that it ran and the parts of its prompt.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use badgerfield_core::Event;
use badgerfield_core::amount::Time;
use badgerfield_core::ids::{Account, UpstreamId};
use badgerfield_core::poison::{Crash, Fingerprint};
use tokio::runtime::Handle;

use crate::driver::Driver;
use crate::gateway::connections::{CRASH_WATCH_TIME, LISTEN_TIMEOUT, ProbeResult};
use crate::gateway::request_log;
use crate::gateway::state::Gateway;

/// How far the answer of an upstream had come.
#[derive(Debug, Clone, Copy)]
pub(super) struct Progress {
    /// The last event that the caller has received, from this or an earlier upstream.
    pub(super) last_event: Option<u64>,
    /// Whether this upstream's answer had begun: with its first event, or as a whole if it is plain.
    pub(super) has_begun: bool,
}

impl Progress {
    /// Nothing has arrived.
    pub(super) const NONE: Self = Self { last_event: None, has_begun: false };

    /// Nothing has arrived of an answer that goes on after an event.
    pub(super) fn before(last_event: Option<u64>) -> Self {
        Self { last_event, has_begun: false }
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
    /// The shared parts of its prompt.
    pub(super) parts: Vec<Fingerprint>,
    /// How many crashes of the upstream under the request were known when it was sent.
    pub(super) prior_crashes: u32,
    /// When the upstream was last known to work on the request.
    pub(super) last_contact: Time,
}

/// A crash of an upstream, under a request and the parts of its prompt that it accuses.
#[derive(Debug)]
struct Crashes {
    request: Crash,
    parts: Vec<Crash>,
}

impl Crashes {
    /// Marks the upstream as only unreachable: its end is not confirmed.
    fn unconfirmed(self) -> Self {
        let parts = self.parts.into_iter().map(Crash::unconfirmed).collect();
        Self { request: self.request.unconfirmed(), parts }
    }
}

/// Returns how many crashes of an upstream under a request, or any part of its prompt, are known.
pub(super) fn crash_count(
    driver: &Driver,
    request: Fingerprint,
    parts: &[Fingerprint],
    upstream: &UpstreamId,
) -> u32 {
    let all = std::iter::once(&request).chain(parts);
    all.map(|one| driver.node.crash_count(*one, upstream)).max().unwrap_or(0)
}

impl CrashCheck {
    /// Returns the crash of an upstream. If the answer had begun, no part of the prompt is accused.
    fn crashes(&self, upstream: &UpstreamId, progress: Progress) -> Crashes {
        let crash = |request, events_sent| {
            Crash::new(request, self.account.as_ref(), upstream, events_sent)
                .with_prior_crashes(self.prior_crashes)
        };
        let request = crash(self.request, progress.last_event.unwrap_or(0));
        if progress.has_begun {
            return Crashes { request, parts: Vec::new() };
        }
        let accused = self.driver.node.accusable_parts(self.driver.now(), &self.parts);
        Crashes { request, parts: accused.into_iter().map(|part| crash(part, 0)).collect() }
    }

    /// Detects whether an upstream has crashed after its connection failed, and records a crash for
    /// the request. Returns whether it has crashed.
    ///
    /// A failed connection alone is no evidence: running upstreams close some connections early.
    pub(super) async fn detect(
        &self,
        upstream: &UpstreamId,
        address: SocketAddr,
        progress: Progress,
    ) -> bool {
        let (driver, gateway) = (&self.driver, &self.gateway);
        // While this process was stalled, the upstream may have been stopped as planned, which
        // looks the same as a crash.
        if driver.clock.has_stalled_since(self.last_contact) {
            request_log::broke(&self.id, upstream, "not_asked", Duration::ZERO);
            return false;
        }
        let crashes = self.crashes(upstream, progress);
        let probed_at = driver.now();
        let probe_result = gateway.connections.probe_listener(address).await;
        let took = driver.now().since(probed_at);
        request_log::broke(&self.id, upstream, probe_result.as_str(), took);
        match probe_result {
            ProbeResult::Refused => report_crash(driver, gateway, crashes).await,
            ProbeResult::Open(connection) => {
                // The request continues in the meantime.
                let (driver, gateway) = (Arc::clone(driver), Arc::clone(gateway));
                let permit = Arc::clone(&gateway.crash_watches).try_acquire_owned().ok();
                let span = if permit.is_some() { CRASH_WATCH_TIME } else { LISTEN_TIMEOUT };
                tokio::spawn(async move {
                    let upstream = &crashes.request.upstream;
                    let watch =
                        gateway.connections.exits_within(upstream, address, connection, span);
                    if watch.await && !driver.clock.has_stalled_since(probed_at) {
                        report_crash(&driver, &gateway, crashes).await;
                    }
                    drop(permit);
                });
                false
            }
            // A failure of the whole host refuses no connection, so the crash is recorded as
            // unconfirmed.
            ProbeResult::Unknown => {
                report_crash(driver, gateway, crashes.unconfirmed()).await;
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
        let crashes = self.crashes(upstream, Progress::NONE);
        let (driver, gateway) = (Arc::clone(&self.driver), Arc::clone(&self.gateway));
        let since = driver.now();
        runtime.spawn(async move {
            let has_exited =
                gateway.connections.exits_soon(&crashes.request.upstream, address).await;
            if has_exited && !driver.clock.has_stalled_since(since) {
                report_crash(&driver, &gateway, crashes).await;
            }
            drop(permit);
        });
    }
}

/// Reports a crash of an upstream to the fleet, unless this VM reaches no other upstream either: then
/// its own links have probably failed. Returns whether the crash was reported.
async fn report_crash(driver: &Arc<Driver>, gateway: &Gateway, crashes: Crashes) -> bool {
    let Crashes { request, parts } = crashes;
    if !gateway.reaches_another(driver.now(), &request.upstream).await {
        request_log::crash_ignored(request.request, &request.upstream);
        return false;
    }
    let all = std::iter::once(request).chain(parts).collect();
    driver.handle_event(Event::UpstreamCrashed(all));
    true
}
