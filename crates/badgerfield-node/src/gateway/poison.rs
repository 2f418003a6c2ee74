//! Poison requests on routes, and those with a part in their prompts under which upstreams crash: they
//! are refused, or cancelled while they wait.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use badgerfield_core::Event;
use badgerfield_core::amount::Time;
use badgerfield_core::ids::{Account, UpstreamId};
use badgerfield_core::poison::{Fingerprint, PoisonStatus};
use badgerfield_core::refusal::{Cause, Refusal};
use badgerfield_core::routing::Route;
use badgerfield_core::upstream_table::PromptPart;

use crate::adapter::RequestHeaders;
use crate::driver::Driver;
use crate::gateway::attempt::Original;
use crate::gateway::crash_check::{CrashCheck, Progress, crash_count};
use crate::gateway::exchange::Exchange;
use crate::gateway::request_log;
use crate::gateway::unframed_end::{EndLimits, UnframedEnd};
use crate::gateway::witness::ResponseWitness;

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

/// The fingerprints of a request and of the shared parts of its prompt, as far as computed.
type Fingerprints = (OnceLock<Fingerprint>, OnceLock<Vec<Fingerprint>>);

/// Refuses a blocked request before any tokens are reserved for it. Returns its fingerprints if they
/// had to be computed.
pub(super) fn check_blocked(
    driver: &Driver,
    account: Option<&Account>,
    route: &Route,
    headers: &RequestHeaders,
    original: &Original,
) -> Result<Fingerprints, Refusal> {
    if !driver.node.has_suspects() {
        return Ok(Fingerprints::default());
    }
    let request = fingerprint(account, route, headers, original);
    let parts = Fingerprint::of_shared_parts(account, &headers.parts);
    let poison_status = driver.node.prompt_status(driver.now(), request, &parts);
    let PoisonStatus::Blocked { cause, upstreams, age, remaining } = poison_status else {
        return Ok((OnceLock::from(request), OnceLock::from(parts)));
    };
    if cause.is_part() && driver.node.is_trial_due(driver.now(), cause) {
        return Ok((OnceLock::from(request), OnceLock::from(parts)));
    }
    let part = blamed_part(cause, &parts, headers);
    request_log::blocked(&original.id, (cause, part), &upstreams, age);
    Err(Refusal::not_run(Cause::EndsUpstreams).with_retry_after(remaining))
}

/// Returns the id of the part that is blocked, as the caller named it; `None` if it is the request.
fn blamed_part(
    cause: Fingerprint,
    parts: &[Fingerprint],
    headers: &RequestHeaders,
) -> Option<PromptPart> {
    let position = parts.iter().position(|part| *part == cause)?;
    headers.parts.get(position).copied()
}

impl Exchange {
    /// Returns the fingerprint of the request. It is computed on first use, which most requests
    /// never need.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        let account = self.caller.as_ref().map(|caller| &caller.account);
        let make = || fingerprint(account, &self.route, &self.headers, &self.original);
        *self.fingerprint.get_or_init(make)
    }

    /// Returns the status of the request; that of one that tries a blocked part is suspect.
    fn poison_status(&self) -> PoisonStatus {
        if !self.driver.node.has_suspects() {
            return PoisonStatus::Clear;
        }
        let (now, request) = (self.now(), self.fingerprint());
        let status = self.driver.node.prompt_status(now, request, self.part_fingerprints());
        match status {
            PoisonStatus::Blocked { cause, .. }
                if cause.is_part() && self.is_trial.load(Ordering::Relaxed) =>
            {
                PoisonStatus::SuspectParts { key: cause.rendezvous_key() }
            }
            status => status,
        }
    }

    fn is_request_blocked(&self) -> bool {
        let node = &self.driver.node;
        node.has_suspects()
            && matches!(
                node.request_status(self.now(), self.fingerprint()),
                PoisonStatus::Blocked { .. }
            )
    }

    /// Starts the trial of a blocked part with this request, if one is due.
    fn try_start_trial(&self, part: Fingerprint) -> bool {
        let is_due = part.is_part() && self.driver.node.try_start_trial(self.now(), part);
        if is_due {
            self.is_trial.store(true, Ordering::Relaxed);
        }
        is_due
    }

    /// Returns the fingerprints of the shared parts of the prompt. They are computed on first use.
    fn part_fingerprints(&self) -> &[Fingerprint] {
        let account = self.caller.as_ref().map(|caller| &caller.account);
        let make = || Fingerprint::of_shared_parts(account, &self.headers.parts);
        self.part_fingerprints.get_or_init(make)
    }

    /// Records that the answer to the request has begun, which clears the parts of its prompt.
    pub(super) fn record_begun_parts(&self) {
        let cleared = self.driver.node.record_begun(self.now(), self.part_fingerprints());
        for part in cleared {
            self.driver.handle_event(Event::SuspectServed(part));
        }
    }

    /// Returns the number of known crashes of an upstream while serving the request.
    pub(super) fn crash_count(&self, upstream: &UpstreamId) -> u32 {
        if !self.driver.node.has_suspects() {
            return 0;
        }
        crash_count(&self.driver, self.fingerprint(), self.part_fingerprints(), upstream)
    }

    /// Returns the key by which all VMs choose the same upstream, if an upstream has crashed while
    /// serving the request.
    ///
    /// # Errors
    ///
    /// Fails if the request is blocked.
    pub(super) fn check_poison(&self) -> Result<Option<u64>, Cause> {
        // A trial ends with its first attempt.
        self.is_trial.store(false, Ordering::Relaxed);
        match self.poison_status() {
            PoisonStatus::Clear => Ok(None),
            PoisonStatus::Suspect { early } => {
                let request = self.fingerprint();
                request_log::suspect(&self.original.id, request, self.attempts + 1, early);
                // A stream whose upstreams crashed late is routed by cached prompt parts and load.
                Ok(early.then(|| request.rendezvous_key()))
            }
            PoisonStatus::SuspectParts { key } => {
                request_log::suspect_parts(&self.original.id, self.attempts + 1, key);
                Ok(Some(key))
            }
            PoisonStatus::Blocked { cause, .. } if self.try_start_trial(cause) => {
                request_log::trial(&self.original.id, cause);
                Ok(Some(cause.rendezvous_key()))
            }
            PoisonStatus::Blocked { cause, upstreams, age, .. } => {
                let part = blamed_part(cause, self.part_fingerprints(), &self.headers);
                request_log::blocked(&self.original.id, (cause, part), &upstreams, age);
                Err(Cause::EndsUpstreams)
            }
        }
    }

    /// Returns how much longer the request is blocked, if it is.
    pub(super) fn blocked_for(&self) -> Option<Duration> {
        match self.poison_status() {
            PoisonStatus::Blocked { remaining, .. } => Some(remaining),
            PoisonStatus::Clear
            | PoisonStatus::Suspect { .. }
            | PoisonStatus::SuspectParts { .. } => None,
        }
    }

    /// Waits until the request is blocked. Never returns if that does not happen.
    ///
    /// A blocked part of its prompt does not count: the answers to requests that are under way show
    /// that a part is sound.
    pub(super) async fn until_blocked(&self) {
        let mut changes = self.gateway.subscribe_blocked();
        while !self.is_request_blocked() {
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
            parts: self.part_fingerprints().to_vec(),
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
        progress: Progress,
    ) -> bool {
        self.crash_check().detect(upstream, address, progress).await
    }

    /// Judges the end of a response without a length, and records a crash for the request if the
    /// upstream has crashed.
    pub(super) async fn judge_unframed_end(
        &self,
        (upstream, address): (&UpstreamId, SocketAddr),
        progress: Progress,
        witness: &ResponseWitness,
        (can_confirm, is_brief): (bool, bool),
    ) -> UnframedEnd {
        let limits = EndLimits { deadline: self.deadline, can_confirm, is_brief };
        self.crash_check().judge_unframed_end(upstream, address, progress, witness, limits).await
    }

    /// Watches an upstream that still works on the request after its caller disconnected.
    pub(super) fn watch_abandoned(&self, upstream: &UpstreamId, address: SocketAddr) {
        self.crash_check().watch_abandoned(upstream, address);
    }

    /// Records that the request was served completely, and so caused none of the crashes under it.
    pub(super) fn record_served(&self) {
        if !self.driver.node.has_suspects() {
            return;
        }
        let own_status = self.driver.node.request_status(self.now(), self.fingerprint());
        if own_status != PoisonStatus::Clear {
            self.driver.handle_event(Event::SuspectServed(self.fingerprint()));
        }
    }
}
