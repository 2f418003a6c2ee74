//! Step 5 of a request: it is sent to an upstream, and to another one where the route allows
//! retries.

use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::UpstreamId;
use badgerfield_core::refusal::{Cause, Refusal};
use badgerfield_core::residency::Residency;
use badgerfield_core::routing::ServiceSpec;
use badgerfield_core::upstream_table::{ChosenUpstream, UpstreamCriteria};
use hyper::StatusCode;

use crate::adapter::UpstreamHeaders;
use crate::gateway::attempt::{AttemptEnd, BROKEN, UpstreamGuard, UpstreamResponse, attempt};
use crate::gateway::crash_check::Progress;
use crate::gateway::exchange::{Exchange, LastDispatch};
use crate::gateway::forward::TriedPeers;
use crate::gateway::forward::origin::PeerAttempt;
use crate::gateway::request_log;

/// The number of unreachable upstreams after which a request waits until it is known whether this
/// VM is cut off: further ones would be unreachable too.
const UNREACHABLE_IN_DOUBT: u32 = 2;
/// The maximum time for which a request waits for that.
const MAX_FINDING_WAIT: Duration = Duration::from_millis(1500);
/// The minimum time for an attempt: with less time left, no upstream is tried.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(15);
/// The maximum number of unreachable upstreams before a request is refused.
const MAX_UNREACHABLE: u32 = 4;
/// The timeout for the response of one upstream to an idempotent request, in multiples of the
/// objective.
const OBJECTIVE_TIMEOUT_FACTOR: u32 = 2;
/// The bytes of a token in a response, with its share of the event framing: about four letters, and
/// as much framing where an event holds a few tokens.
const BYTES_PER_TOKEN: u64 = 8;
/// The expected size of a plain response with its head, in bytes.
const PLAIN_RESPONSE_BYTES: u64 = 1000;
/// The share of an upstream's connections that all VMs together may use, in percent.
const MAX_CONNECTION_PERCENT: u64 = 80;

/// The result of one attempt.
pub(super) struct AttemptStep {
    /// The upstream, if one was chosen.
    pub(super) upstream: Option<UpstreamId>,
    pub(super) end: AttemptEnd,
    /// Whether the upstream has crashed.
    pub(super) crashed: bool,
}

impl Exchange {
    /// Sends the request to upstreams until one responds.
    ///
    /// # Errors
    ///
    /// Returns the refusal that ends the request.
    pub(crate) async fn dispatch(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<Box<UpstreamResponse>, Refusal> {
        let mut unreachable = 0;
        let mut tried_peers = TriedPeers::default();
        let place_deadline = self.place_deadline();
        loop {
            if unreachable >= UNREACHABLE_IN_DOUBT {
                self.await_finding().await;
            }
            let now = self.now();
            let vm_count = self.driver.node.member_count();
            if let Err(cause) = self.check_attempts(now, vm_count, unreachable) {
                return Err(self.final_refusal(cause));
            }
            let is_direct = self.gateway.reachability().sends_directly(rand::random());
            let step = if self.is_service_brittle() {
                self.attempt_with_place(is_direct, last_event, place_deadline).await
            } else if is_direct {
                self.attempt_directly(now, vm_count, last_event).await
            } else {
                self.attempt_elsewhere(now, vm_count, last_event, &mut tried_peers).await
            };
            let AttemptStep { upstream, end, crashed } = match step {
                Ok(step) => step,
                Err(cause) => return Err(self.final_refusal(cause)),
            };
            let outcome = match end {
                AttemptEnd::Answered(response) => {
                    self.attempts += 1;
                    self.may_have_run = true;
                    self.timing.head = Some(self.elapsed());
                    if response.head.status.is_server_error() && self.can_retry(vm_count) {
                        let mut response = response;
                        response.guard.record_failure();
                        "failed"
                    } else {
                        self.record_prompt(response.head.status);
                        return Ok(response);
                    }
                }
                AttemptEnd::NotSent(reason) => {
                    unreachable += 1;
                    reason
                }
                AttemptEnd::NotRun(status) => {
                    self.attempts += 1;
                    not_run_outcome(status)
                }
                AttemptEnd::Broken(reason) => {
                    self.attempts += 1;
                    self.may_have_run = true;
                    self.has_unseen_output |= !crashed;
                    reason
                }
            };
            request_log::attempt_failed(
                &self.original.id,
                self.attempts,
                upstream.as_ref(),
                outcome,
                self.now().since(now),
            );
            if self.may_have_run && !self.route.repeat.is_idempotent() {
                let late = self.deadline <= self.now();
                return Err(self.final_refusal(if late {
                    Cause::OutOfTime
                } else {
                    Cause::BrokenOff
                }));
            }
        }
    }

    /// Waits, if this VM may be cut off from upstreams, until it knows.
    async fn await_finding(&self) {
        let until = self.now().after(MAX_FINDING_WAIT).min(self.deadline);
        let mut rounds = self.gateway.subscribe_rounds();
        while self.gateway.reachability().awaits_finding(self.now()) {
            if self.driver.clock.timeout_at(until, rounds.changed()).await.is_err() {
                return;
            }
        }
    }

    /// Records that a second or later attempt begins.
    pub(super) fn count_retry(&self, now: Time, vm_count: usize) {
        if self.attempts > 0 {
            self.gateway.retries().try_take(now, &self.service, vm_count);
        }
    }

    /// Sends the request through a peer.
    async fn attempt_elsewhere(
        &mut self,
        now: Time,
        vm_count: usize,
        last_event: Option<u64>,
        tried_peers: &mut TriedPeers,
    ) -> Result<AttemptStep, Cause> {
        self.count_retry(now, vm_count);
        self.last_dispatch = LastDispatch { at: now, prior_crashes: 0, through_peer: true };
        self.timing.record_sent(self.elapsed());
        let attempt = self.attempt_through_peer(now, last_event, tried_peers).await?;
        self.tried.extend(attempt.upstream.clone());
        let PeerAttempt { upstream, end, crashed, .. } = attempt;
        Ok(AttemptStep { upstream, end, crashed })
    }

    /// Sends the request to an upstream.
    async fn attempt_directly(
        &mut self,
        now: Time,
        vm_count: usize,
        last_event: Option<u64>,
    ) -> Result<AttemptStep, Cause> {
        let chosen = self.choose(now, vm_count)?;
        Ok(self.attempt_at(chosen, now, last_event).await)
    }

    /// Sends the request to the chosen upstream.
    pub(super) async fn attempt_at(
        &mut self,
        chosen: ChosenUpstream,
        now: Time,
        last_event: Option<u64>,
    ) -> AttemptStep {
        let remaining = self.deadline.since(now);
        self.count_retry(now, self.driver.node.member_count());
        self.tried.push(chosen.id.clone());
        let headers = UpstreamHeaders {
            upstream: &chosen.id,
            remaining,
            account: self.caller.as_ref().map(|caller| &caller.account),
            rank: self.rank(),
            last_event,
            fetch_from: None,
        };
        let prior_crashes = self.crash_count(&chosen.id);
        self.last_dispatch = LastDispatch { at: now, prior_crashes, through_peer: false };
        self.uncached_tokens = chosen.uncached_tokens.saturating_add(self.unshared_tokens());
        self.timing.record_sent(self.elapsed());
        // Only engines read prompts. At plain services, waiting requests count as in flight.
        let engine_tokens = self.spec.engine.as_ref().map(|_| self.uncached_tokens);
        let (driver, gateway) = (&self.driver, &self.gateway);
        let guard =
            UpstreamGuard::new(driver, gateway, &chosen, engine_tokens, (&self.spec, &self.route));
        self.current_upstream = Some((chosen.id.clone(), chosen.address));
        let timed_out = self.wait_until_timeout(remaining);
        let end = attempt(guard, &self.original, &headers, timed_out, self.until_blocked()).await;
        self.current_upstream = None;
        let mut crashed = false;
        let (ended, kind) = (self.now(), (&self.spec, &*self.route));
        match &end {
            AttemptEnd::Answered(_) => {
                self.gateway.record_response_time(ended, kind, &chosen.id, ended.since(now));
            }
            AttemptEnd::NotSent(_) => {
                self.gateway.upstreams().undo_sent(&chosen.id, &self.route.name);
            }
            AttemptEnd::NotRun(status) => {
                self.gateway.record_rejection(ended, kind, &chosen.id, *status);
            }
            AttemptEnd::Broken(reason) => {
                crashed = *reason == BROKEN
                    && self
                        .detect_crash(&chosen.id, chosen.address, Progress::before(last_event))
                        .await;
            }
        }
        AttemptStep { upstream: Some(chosen.id), end, crashed }
    }

    /// Returns whether another upstream may be tried, given the number of unreachable ones so far.
    fn check_attempts(&self, now: Time, vm_count: usize, unreachable: u32) -> Result<(), Cause> {
        if self.deadline.since(now) < MIN_ATTEMPT_TIME {
            return Err(Cause::OutOfTime);
        }
        if !self.has_attempts_left() || unreachable >= MAX_UNREACHABLE {
            return Err(Cause::TriesSpent);
        }
        let is_retry = self.attempts > 0;
        if is_retry && self.gateway.retries().remaining(now, &self.service, vm_count) < 1.0 {
            return Err(Cause::TriesSpent);
        }
        Ok(())
    }

    /// Returns the regions in which the request may be served, by the template version of its
    /// admission and by the newest one.
    pub(super) fn current_residency(&self) -> Residency {
        let newest = self.gateway.routes();
        self.admission.current_residency(newest.version, || {
            // The head may have lost its host, because hop-by-hop headers are removed.
            let path = self.original.head.uri.path();
            let account = self.caller.as_ref().map(|caller| &caller.account);
            newest.table.residency_at(&self.route.host, path, account)
        })
    }

    pub(super) fn choose(&self, now: Time, vm_count: usize) -> Result<ChosenUpstream, Cause> {
        let residency = self.current_residency();
        // Choosing an upstream and starting the request happen under the same lock, because the
        // requests that a cold upstream may get are counted.
        let mut upstreams = self.gateway.upstreams();
        upstreams.record_request(now, &self.service);
        if let Err(fault) = residency.check(upstreams.regions()) {
            drop(upstreams);
            request_log::outside(
                &self.original.id,
                &self.route.name,
                &fault,
                self.admission.version,
            );
            return Err(Cause::RegionUnknown);
        }
        let rendezvous_key = self.check_poison()?;
        let criteria = self.criteria(&residency, rendezvous_key, vm_count);
        let Some(chosen) = upstreams.choose(now, &criteria) else {
            if criteria.is_resumable && upstreams.has_closed(now, &self.service) {
                self.gateway.record_closed_version();
            }
            return Err(Cause::NoUpstream);
        };
        let list = upstreams.last_update();
        upstreams.start_request(now, &chosen.id, &self.headers.parts);
        upstreams.record_sent(now, &criteria, &chosen.id);
        drop(upstreams);
        self.driver.gateway_counts().count_sent(chosen.distance, chosen.crossing);
        request_log::chosen(&self.original.id, self.attempts + 1, &chosen, list, now);
        Ok(chosen)
    }

    /// Returns the criteria for choosing an upstream.
    fn criteria<'a>(
        &'a self,
        residency: &'a Residency,
        rendezvous_key: Option<u64>,
        vm_count: usize,
    ) -> UpstreamCriteria<'a> {
        UpstreamCriteria {
            rendezvous_key,
            service: &self.service,
            route: &self.route.name,
            parts: &self.headers.parts,
            bytes: self.transfer_bytes(),
            residency,
            tried: &self.tried,
            bound_version: self.stream_version.bound(),
            is_resumable: self.route.repeat.is_resumable(),
            max_connections: connection_share(&self.spec, vm_count),
            random: rand::random(),
        }
    }

    /// Waits until the current attempt times out because its upstream is silent.
    ///
    /// A timeout only helps if another upstream can be tried at that time. Otherwise the request
    /// may be queued at the upstream and is served late. Timing out without an alternative cost 276
    /// of 326 streams their response when few upstreams were left, and their budgets 4.4 million
    /// tokens.
    pub(super) async fn wait_until_timeout(&self, remaining: Duration) {
        let (started, attempts) = (self.now(), self.attempts + 1);
        let deadline = started.after(remaining);
        let timeout = self.route.objective.saturating_mul(OBJECTIVE_TIMEOUT_FACTOR);
        let can_time_out = self.route.repeat.is_idempotent() && !timeout.is_zero();
        while can_time_out && self.now().after(timeout) < deadline {
            let wait_start = self.now();
            self.driver.clock.sleep(timeout).await;
            if self.driver.clock.has_stalled_since(wait_start) {
                // The upstream may have responded while this process was stalled.
                continue;
            }
            if self.has_other_upstream(attempts) {
                return;
            }
            let silent = self.now().since(started);
            request_log::waits_on(&self.original.id, attempts, self.tried.last(), silent);
        }
        self.driver.clock.sleep_until(deadline).await;
    }

    /// Returns whether another upstream can be tried now, after `attempts` attempts.
    pub(crate) fn has_other_upstream(&self, attempts: u32) -> bool {
        let (now, vm_count) = (self.now(), self.driver.node.member_count());
        let has_retries = self.gateway.retries().remaining(now, &self.service, vm_count) >= 1.0;
        if !has_retries || attempts >= self.route.attempts {
            return false;
        }
        if self.is_service_brittle() {
            // A peer may have a place where this VM has none.
            return self.gateway.upstreams().has_untried(now, &self.service, &self.tried);
        }
        let residency = self.current_residency();
        let criteria = self.criteria(&residency, None, vm_count);
        self.gateway.upstreams().choose(now, &criteria).is_some()
    }

    /// Returns the rank of the request. The rank of the account overrides that of the route.
    pub(super) fn rank(&self) -> u8 {
        let account_rank = self.caller.as_ref().and_then(|caller| caller.rank);
        account_rank.unwrap_or(self.route.rank)
    }

    fn can_retry(&self, vm_count: usize) -> bool {
        let now = self.now();
        self.route.repeat.is_idempotent()
            && self.has_attempts_left()
            && self.gateway.retries().remaining(now, &self.service, vm_count) >= 1.0
    }

    /// Returns the expected number of bytes between this VM and an upstream.
    fn transfer_bytes(&self) -> u64 {
        let output = self.headers.tokens.map(|(_, output)| output);
        transfer_bytes(self.original.body.len(), output)
    }

    fn unshared_tokens(&self) -> u64 {
        self.headers.parts.last().map_or(0, |part| part.tokens)
    }
}

/// Returns the expected number of bytes between a VM and an upstream: the body of the request and
/// the response, for which an engine has a maximum number of tokens.
pub(super) fn transfer_bytes(body: usize, output_tokens: Option<u64>) -> u64 {
    let body = u64::try_from(body).unwrap_or(u64::MAX);
    let response = match output_tokens {
        Some(output) => output.saturating_mul(BYTES_PER_TOKEN),
        None => PLAIN_RESPONSE_BYTES,
    };
    body.saturating_add(response)
}

/// Returns how many connections a VM may have to one upstream, given the number of VMs.
pub(super) fn connection_share(spec: &ServiceSpec, vm_count: usize) -> u32 {
    let vm_count = u64::try_from(vm_count).unwrap_or(u64::MAX).saturating_add(1);
    let connections = u64::from(spec.connections) * MAX_CONNECTION_PERCENT / 100 / vm_count;
    u32::try_from(connections).unwrap_or(u32::MAX).max(2)
}

/// Returns the log value for the reason why an upstream did not run a request.
fn not_run_outcome(status: StatusCode) -> &'static str {
    match status {
        StatusCode::MISDIRECTED_REQUEST => "not_run_other_upstream",
        StatusCode::TOO_MANY_REQUESTS => "not_run_too_many",
        StatusCode::SERVICE_UNAVAILABLE => "not_run_full",
        _ => "not_run",
    }
}
