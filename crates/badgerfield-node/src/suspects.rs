//! Detection of poison requests on the caller API.
//!
//! Requests on routes use the same table of suspects, which all VMs share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use badgerfield_core::Event;
use badgerfield_core::ids::UpstreamId;
use badgerfield_core::poison::{Crash, Fingerprint, PoisonStatus};
use badgerfield_core::refusal::{Cause, Refusal};
use tokio::net::TcpStream;

use crate::caller_api::{Outgoing, Target};
use crate::driver::Driver;
use crate::logs::REQUESTS;

/// The timeout for a connection that checks whether a process listens at an address.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

impl Outgoing {
    /// Returns the fingerprint of the request, which is the same whenever the request is sent
    /// again.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        let secret = self.secret.to_string();
        match &self.target {
            Target::Chat(body) => {
                let address = (secret.as_str(), "/v1/chat/completions");
                Fingerprint::new(None, "POST", address, &[], &body.canonical_json())
            }
            Target::Call(call) => {
                let address = (secret.as_str(), call.path.as_str());
                Fingerprint::new(None, call.method.as_str(), address, &[], &call.body)
            }
        }
    }
}

impl Driver {
    /// Refuses a request that is blocked.
    ///
    /// # Errors
    ///
    /// Returns the refusal, with the outcome that the request was not run.
    pub(crate) fn check_outgoing(&self, outgoing: &Outgoing) -> Result<(), Refusal> {
        if !self.node.has_suspects() {
            return Ok(());
        }
        let request = outgoing.fingerprint();
        let status = self.node.request_status(self.now(), request);
        let PoisonStatus::Blocked { upstreams, age, remaining, .. } = status else {
            return Ok(());
        };
        let upstreams: Vec<_> = upstreams.iter().map(UpstreamId::as_str).collect();
        log::warn!(
            target: REQUESTS,
            "blocked fingerprint={request} upstreams={} age_ms={}",
            upstreams.join(","),
            age.as_millis()
        );
        Err(Refusal::not_run(Cause::EndsUpstreams).with_retry_after(remaining))
    }

    /// Returns the number of known crashes of an upstream while serving a request.
    pub(crate) fn crash_count(&self, outgoing: &Outgoing, upstream: &UpstreamId) -> u32 {
        if !self.node.has_suspects() {
            return 0;
        }
        self.node.crash_count(outgoing.fingerprint(), upstream)
    }

    /// Records a crash for a request if the upstream has exited after its connection failed.
    pub(crate) async fn detect_outgoing_crash(
        self: &Arc<Self>,
        outgoing: &Outgoing,
        (upstream, address): (&UpstreamId, SocketAddr),
        (prior_crashes, events_sent): (u32, u64),
    ) {
        if !is_refused(address).await {
            return;
        }
        let account = self.node.find_account(&outgoing.secret);
        let crash = Crash::new(outgoing.fingerprint(), account.as_ref(), upstream, events_sent);
        self.handle_event(Event::UpstreamCrashed(vec![crash.with_prior_crashes(prior_crashes)]));
    }

    /// Records that a request was served completely.
    pub(crate) fn record_outgoing_served(self: &Arc<Self>, outgoing: &Outgoing) {
        if !self.node.has_suspects() {
            return;
        }
        let request = outgoing.fingerprint();
        if self.node.request_status(self.now(), request) != PoisonStatus::Clear {
            self.handle_event(Event::SuspectServed(request));
        }
    }
}

/// Returns whether an address refuses connections.
async fn is_refused(address: SocketAddr) -> bool {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let error = connected.ok().and_then(Result::err);
    error.is_some_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
}
