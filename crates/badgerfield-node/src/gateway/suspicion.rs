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
use crate::gateway::connections::{LISTENS, Listening, WATCH};
use crate::gateway::flow::Exchange;
use crate::gateway::record;

/// Returns what stands for a request, whoever sends it again.
pub(super) fn fingerprint(
    account: Option<&Account>,
    route: &Route,
    terms: &RequestHeaders,
    original: &Original,
) -> Fingerprint {
    let head = &original.head;
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let address = (route.host.as_str(), path);
    Fingerprint::of(account, head.method.as_str(), address, &terms.parts, &original.body)
}

/// Refuses a request under which upstreams have ended, before anything is set aside for it;
/// returns what stands for it, if that had to be made.
pub(super) fn check(
    driver: &Driver,
    account: Option<&Account>,
    route: &Route,
    terms: &RequestHeaders,
    original: &Original,
) -> Result<OnceLock<Fingerprint>, Refusal> {
    if !driver.node.has_suspects() {
        return Ok(OnceLock::new());
    }
    let request = fingerprint(account, route, terms, original);
    let standing = driver.node.request_status(driver.now(), request);
    let PoisonStatus::Blocked { upstreams, age, remaining: left } = standing else {
        return Ok(OnceLock::from(request));
    };
    record::blocked(&original.id, request, &upstreams, age);
    Err(Refusal::not_run(Cause::EndsUpstreams).with_retry_after(left))
}

impl Exchange {
    /// Returns what stands for the request; it is made when it is first needed, which for most
    /// requests is never.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        let account = self.caller.as_ref().map(|caller| &caller.account);
        let make = || fingerprint(account, &self.route, &self.terms, &self.original);
        *self.fingerprint.get_or_init(make)
    }

    fn standing(&self) -> PoisonStatus {
        if !self.driver.node.has_suspects() {
            return PoisonStatus::Clear;
        }
        self.driver.node.request_status(self.now(), self.fingerprint())
    }

    /// Returns how often an upstream is known to have ended under the request.
    pub(super) fn life_of(&self, upstream: &UpstreamId) -> u32 {
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
    pub(super) fn check_standing(&self) -> Result<Option<u64>, Cause> {
        match self.standing() {
            PoisonStatus::Clear => Ok(None),
            PoisonStatus::Suspect { early } => {
                let request = self.fingerprint();
                record::suspect(&self.original.id, request, self.attempts + 1, early);
                // A stream in full flow goes where its parts are and work is least.
                Ok(early.then(|| request.rendezvous_key()))
            }
            PoisonStatus::Blocked { upstreams, age, .. } => {
                record::blocked(&self.original.id, self.fingerprint(), &upstreams, age);
                Err(Cause::EndsUpstreams)
            }
        }
    }

    /// Returns how much longer the request is blocked, if it is.
    pub(super) fn blocked_for(&self) -> Option<Duration> {
        match self.standing() {
            PoisonStatus::Blocked { remaining: left, .. } => Some(left),
            PoisonStatus::Clear | PoisonStatus::Suspect { .. } => None,
        }
    }

    /// Waits until the request is blocked, if that comes to pass.
    pub(super) async fn until_blocked(&self) {
        let mut line = self.gateway.blocked();
        while !matches!(self.standing(), PoisonStatus::Blocked { .. }) {
            if line.changed().await.is_err() {
                // The gateway is gone, and with it whoever could block anything.
                std::future::pending::<()>().await;
            }
        }
    }

    /// Returns when the upstream was last known to be at work on the request.
    fn heard_at(&self) -> Time {
        let heard = self.timing.last.map(|last| self.arrived.after(last));
        heard.map_or(self.sent.at, |at| at.max(self.sent.at))
    }

    /// Finds out whether an upstream that broke off has ended, and holds that against the
    /// request; tells whether it has.
    ///
    /// A connection that breaks alone is no evidence: upstreams that live break some off.
    pub(super) async fn note_broken(
        &self,
        upstream: &UpstreamId,
        address: SocketAddr,
        last: Option<u64>,
    ) -> bool {
        let id = &self.original.id;
        // An upstream that came to a planned end while this process stood still is as silent as
        // one that ended under the request.
        if self.driver.clock.stood_still_since(self.heard_at()) {
            record::broke(id, upstream, "not_asked", Duration::ZERO);
            return false;
        }
        let account = self.caller.as_ref().map(|caller| &caller.account);
        let crash = || {
            Crash::new(self.fingerprint(), account, upstream, last.unwrap_or(0))
                .with_prior_crashes(self.sent.life)
        };
        let connections = &self.gateway.connections;
        let asked = self.now();
        let listening = connections.listening(address).await;
        record::broke(id, upstream, listening.as_str(), self.now().since(asked));
        match listening {
            Listening::Refused => {
                self.driver.feed(Event::UpstreamCrashed(crash()));
                true
            }
            Listening::Open(connection) => {
                // The request goes on meanwhile.
                let (driver, crash) = (Arc::clone(&self.driver), crash());
                let connections = Arc::clone(connections);
                let place = Arc::clone(&self.gateway.watches).try_acquire_owned().ok();
                let span = if place.is_some() { WATCH } else { LISTENS };
                tokio::spawn(async move {
                    let ends = connections
                        .ends_after_all(&crash.upstream, address, connection, span)
                        .await;
                    if ends && !driver.clock.stood_still_since(asked) {
                        driver.feed(Event::UpstreamCrashed(crash));
                    }
                    drop(place);
                });
                false
            }
            // What takes its host with it refuses no connection.
            Listening::Unknown => {
                self.driver.feed(Event::UpstreamCrashed(crash().unconfirmed()));
                false
            }
        }
    }

    /// Watches an upstream for a while that works on the request though its caller has left: it may
    /// end under it yet, and the same caller may come back.
    pub(super) fn watch_left(&self, upstream: &UpstreamId, address: SocketAddr) {
        let watches = Arc::clone(&self.gateway.watches);
        let (Ok(place), Ok(runtime)) = (watches.try_acquire_owned(), Handle::try_current()) else {
            // Of many at once it is enough to watch some; without a runtime the process ends.
            return;
        };
        let account = self.caller.as_ref().map(|caller| &caller.account);
        let crash =
            Crash::new(self.fingerprint(), account, upstream, 0).with_prior_crashes(self.sent.life);
        let (driver, connections) =
            (Arc::clone(&self.driver), Arc::clone(&self.gateway.connections));
        let since = self.now();
        runtime.spawn(async move {
            let ends = connections.ends_soon(&crash.upstream, address).await;
            if ends && !driver.clock.stood_still_since(since) {
                driver.feed(Event::UpstreamCrashed(crash));
            }
            drop(place);
        });
    }

    /// Notes that the request was served whole: no crash that it was at was its doing.
    pub(super) fn note_whole(&self) {
        if self.standing() != PoisonStatus::Clear {
            self.driver.feed(Event::SuspectServed(self.fingerprint()));
        }
    }
}
