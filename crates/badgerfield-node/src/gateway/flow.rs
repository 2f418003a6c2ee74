//! The steps of one request, from its head to its bill.
//!
//! 1. read the head: what the caller asks for, and which route it takes;
//! 2. check the key: whose request it is;
//! 3. read the body;
//! 4. set aside the most that it can cost;
//! 5. send it to an upstream, and to another where that is allowed;
//! 6. pass the answer on: whole if it is plain, event by event if it is a stream;
//! 7. settle what it cost.
//!
//! Every request ends in one [`record::ended`] line. A refusal that says "not run" is
//! only made while no upstream can have started on the request.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use badgerfield_core::amount::{Time, Tokens};
use badgerfield_core::ids::{Service, SoftwareVersion, UpstreamId};
use badgerfield_core::mix::Observed;
use badgerfield_core::overload;
use badgerfield_core::poison::Fingerprint;
use badgerfield_core::refusal::{Cause, Refusal};
use badgerfield_core::replicas::{Chosen, Wanted};
use badgerfield_core::residency::{Admission, Residency};
use badgerfield_core::routing::{Caller, Route, ServiceSpec};
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::http::response;
use hyper::{Request, Response, StatusCode, header};
use thiserror::Error;

use crate::adapter::{CallTerms, RequestTerms};
use crate::driver::Driver;
use crate::gateway::admit::admit;
use crate::gateway::attempt::{Answered, AttemptEnd, BROKEN, CUT, Original, UpstreamHold, attempt};
use crate::gateway::record::{self, Timing};
use crate::gateway::refusals::{end_refused, refuse};
use crate::gateway::relay;
use crate::gateway::reservation::Reservation;
use crate::gateway::state::{Gateway, OpenRequest};

/// The largest plain answer that is passed on, in bytes.
const MAX_PLAIN: usize = 16 << 20;
/// How many events may be on their way from an upstream when its answer ends early.
pub(super) const UNDER_WAY: u64 = 4;
/// The least time in which an upstream can be asked for anything.
const LEAST_TIME: Duration = Duration::from_millis(15);
/// When to come back if this process cannot serve yet, or no upstream can be had.
pub(super) const COME_BACK: Duration = Duration::from_millis(500);
/// How many upstreams may be unreachable before a request is given up.
const MAX_UNREACHABLE: u32 = 4;
/// How many times the objective an idempotent request waits for one upstream's answer.
const PATIENCE: u32 = 2;
/// The bytes that an answer's token takes with its part of an event's frame: some four letters,
/// and as much around them where an event holds a few tokens.
const TOKEN_BYTES: u64 = 8;
/// The bytes that a plain answer is expected to have, its head included.
const PLAIN_BYTES: u64 = 1000;
/// The part of an upstream's connections, in hundredths, that all VMs together use.
const CONNECTION_PERCENT: u64 = 80;

/// The answer broke off: its connection must not end as if it were whole.
#[derive(Debug, Clone, Copy, Error)]
#[error("the answer broke off before it was whole")]
pub(crate) struct BrokenOff;

/// The body of an answer.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, BrokenOff>;

/// A request's sending to an upstream.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sending {
    /// When it was.
    pub(super) at: Time,
    /// How often the upstream was known to have ended under the request then.
    pub(super) life: u32,
}

/// A request on its way.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) driver: Arc<Driver>,
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) original: Original,
    pub(crate) terms: RequestTerms,
    pub(crate) route: Arc<Route>,
    pub(crate) spec: ServiceSpec,
    pub(crate) reservation: Option<Reservation>,
    pub(super) service: Service,
    pub(super) caller: Option<Caller>,
    /// What bound it when it was let in.
    pub(super) admission: Admission,
    pub(super) arrived: Time,
    pub(super) ends: Time,
    pub(super) tried: Vec<UpstreamId>,
    pub(super) attempts: u32,
    /// The upstream that is tried at present, until the head of its answer has come.
    pub(super) trying: Option<(UpstreamId, SocketAddr)>,
    /// Its last sending to an upstream.
    pub(super) sent: Sending,
    pub(super) may_have_run: bool,
    /// Whether an upstream may have made more of an answer than is known here.
    pub(super) unseen: bool,
    /// What stands for the request, once that was asked.
    pub(super) fingerprint: OnceLock<Fingerprint>,
    pub(super) timing: Timing,
    /// The prompt tokens that the upstream is expected to read.
    pub(super) unread: u64,
    /// The version that answered last, where the service has several.
    pub(super) version: Option<SoftwareVersion>,
    /// Whether its end was recorded.
    pub(super) ended: bool,
    pub(super) _open: OpenRequest,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        if let Some((upstream, address)) = &self.trying {
            self.watch_left(upstream, *address);
        }
        // The caller left before there was any answer; without this line its tokens seem to be
        // set aside for ever.
        let upstream = self.tried.last().cloned();
        self.end("caller_left", 0, upstream.as_ref(), 0);
    }
}

/// Serves one request of a caller.
pub(crate) async fn serve(
    driver: Arc<Driver>,
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let arrived = driver.now();
    let open = gateway.open();
    let stopping = gateway.is_stopping();
    let admitted = admit(Arc::clone(&driver), gateway, request, arrived, open).await;
    let mut response = match admitted {
        Ok(exchange) => run(exchange).await,
        Err((id, refusal)) => {
            let id = id.as_deref().unwrap_or("-");
            end_refused(id, &refusal, 0, None, driver.now().since(arrived));
            refuse(&refusal)
        }
    };
    if stopping {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Steps 5 to 7: the upstream, the answer and the bill.
async fn run(mut exchange: Exchange) -> Response<AnswerBody> {
    loop {
        let answered = match exchange.dispatch(None).await {
            Ok(answered) => answered,
            Err(refusal) => return exchange.refuse(&refusal),
        };
        if exchange.route.repeat.is_stream() && answered.head.status.is_success() {
            return relay::start(exchange, answered);
        }
        let (upstream, address) = (answered.hold.id.clone(), answered.hold.address);
        match exchange.collect(answered).await {
            Ok((head, body)) => {
                exchange.note_whole();
                exchange.end("served", head.status.as_u16(), Some(&upstream), 0);
                let body = Full::new(body).map_err(|never| match never {}).boxed_unsync();
                return Response::from_parts(head, body);
            }
            Err(why) => {
                // What makes an upstream end may do so in the middle of an answer, too.
                let has_ended = why == CUT
                    || (why == BROKEN && exchange.note_broken(&upstream, address, None).await);
                exchange.unseen |= !has_ended;
                record::attempt_failed(
                    &exchange.original.id,
                    exchange.attempts,
                    &upstream,
                    why,
                    exchange.took(),
                );
                if !exchange.route.repeat.is_idempotent() {
                    return exchange.refuse(&Refusal::unknown(Cause::BrokenOff));
                }
            }
        }
    }
}

impl Exchange {
    /// Returns the present time of the process.
    pub(crate) fn now(&self) -> Time {
        self.driver.now()
    }

    /// Returns how long ago the request came.
    pub(crate) fn took(&self) -> Duration {
        self.now().since(self.arrived)
    }

    /// Returns when the request must have its final answer.
    pub(crate) fn ends(&self) -> Time {
        self.ends
    }

    /// Tells whether another upstream might be tried, as far as the route says.
    pub(crate) fn has_tries(&self) -> bool {
        self.attempts < self.route.attempts
    }

    /// Sends the request to upstreams until one answers.
    ///
    /// # Errors
    ///
    /// Returns the refusal that is the request's final answer.
    pub(crate) async fn dispatch(&mut self, last: Option<u64>) -> Result<Box<Answered>, Refusal> {
        let mut unreachable = 0;
        loop {
            let left = self.ends.since(self.now());
            if left < LEAST_TIME {
                return Err(self.give_up(Cause::OutOfTime));
            }
            if !self.has_tries() || unreachable >= MAX_UNREACHABLE {
                return Err(self.give_up(Cause::TriesSpent));
            }
            let now = self.now();
            let vms = self.driver.node.member_count();
            if self.attempts > 0 && self.gateway.retries().left(now, &self.service, vms) < 1.0 {
                return Err(self.give_up(Cause::TriesSpent));
            }
            let chosen = match self.choose(now, vms, last.is_some()) {
                Ok(chosen) => chosen,
                Err(cause) => return Err(self.give_up(cause)),
            };
            if self.attempts > 0 {
                self.gateway.retries().take(now, &self.service, vms);
            }
            self.tried.push(chosen.id.clone());
            let terms = CallTerms {
                upstream: &chosen.id,
                remaining: left,
                account: self.caller.as_ref().map(|caller| &caller.account),
                rank: self.rank(),
                last_event: last,
                fetch: None,
            };
            self.sent = Sending { at: now, life: self.life_of(&chosen.id) };
            self.unread = chosen.unread.saturating_add(self.own_tokens());
            self.timing.note_sent(self.took());
            // Only engines read prompts; what waits elsewhere is counted as under way.
            let reading = self.spec.engine.as_ref().map(|_| self.unread);
            let (driver, gateway) = (&self.driver, &self.gateway);
            let to = (&chosen.id, chosen.address);
            let hold = UpstreamHold::new(driver, gateway, to, reading, &self.route);
            self.trying = Some((chosen.id.clone(), chosen.address));
            let given_up = self.until_given_up(left, last.is_some());
            let end = attempt(hold, &self.original, &terms, given_up, self.until_blocked()).await;
            self.trying = None;
            let outcome = match end {
                AttemptEnd::Answered(answered) => {
                    self.attempts += 1;
                    self.may_have_run = true;
                    self.timing.head = Some(self.took());
                    self.version.clone_from(&chosen.version);
                    self.note_answered(&chosen.id, self.now().since(now));
                    if answered.head.status.is_server_error() && self.may_try_again(vms) {
                        let mut answered = answered;
                        answered.hold.note_failed();
                        "failed"
                    } else {
                        self.note_prompt(answered.head.status);
                        return Ok(answered);
                    }
                }
                AttemptEnd::NotSent => {
                    unreachable += 1;
                    self.gateway.replicas().refund(&chosen.id, &self.route.name);
                    "unreachable"
                }
                AttemptEnd::NotRun(status) => {
                    self.attempts += 1;
                    self.note_not_run(&chosen.id, status);
                    not_run_word(status)
                }
                AttemptEnd::Broken(why) => {
                    self.attempts += 1;
                    self.may_have_run = true;
                    let has_ended =
                        why == BROKEN && self.note_broken(&chosen.id, chosen.address, last).await;
                    self.unseen |= !has_ended;
                    why
                }
            };
            let id = &self.original.id;
            record::attempt_failed(id, self.attempts, &chosen.id, outcome, self.now().since(now));
            if self.may_have_run && !self.route.repeat.is_idempotent() {
                let late = self.ends <= self.now();
                return Err(self.give_up(if late { Cause::OutOfTime } else { Cause::BrokenOff }));
            }
        }
    }

    /// Returns the regions in which it may be served, by the version that it was let in with
    /// and by the newest.
    fn residency(&self) -> Residency {
        let newest = self.gateway.in_force();
        self.admission.residency_now(newest.version, || {
            // The caller's head may have lost its host: what concerns one connection is dropped.
            let path = self.original.head.uri.path();
            let account = self.caller.as_ref().map(|caller| &caller.account);
            newest.table.residency_at(&self.route.host, path, account)
        })
    }

    fn choose(&self, now: Time, vms: usize, resumes: bool) -> Result<Chosen, Cause> {
        let residency = self.residency();
        // What is chosen is begun under the same lock: what a cold upstream may get is counted.
        let mut replicas = self.gateway.replicas();
        if let Err(fault) = residency.check(replicas.regions()) {
            drop(replicas);
            record::outside(&self.original.id, &self.route.name, &fault, self.admission.version);
            return Err(Cause::RegionUnknown);
        }
        let alike = self.check_standing()?;
        let wanted = self.wanted(&residency, alike, vms, resumes);
        let chosen = replicas.choose(now, &wanted).ok_or(Cause::NoUpstream)?;
        let list = replicas.age();
        replicas.begin(now, &chosen.id, &self.terms.parts);
        replicas.charge(now, &wanted, &chosen.id);
        drop(replicas);
        self.driver.gateway_counts().count_sent(chosen.near, chosen.crossing);
        record::chosen(&self.original.id, self.attempts + 1, &chosen, list, now);
        Ok(chosen)
    }

    /// Returns what is wanted of an upstream.
    fn wanted<'a>(
        &'a self,
        residency: &'a Residency,
        alike: Option<u64>,
        vms: usize,
        resumes: bool,
    ) -> Wanted<'a> {
        let vms = u64::try_from(vms).unwrap_or(u64::MAX).saturating_add(1);
        let connections = u64::from(self.spec.connections) * CONNECTION_PERCENT / 100 / vms;
        Wanted {
            alike,
            service: &self.service,
            route: &self.route.name,
            parts: &self.terms.parts,
            bytes: self.bytes_across(),
            residency,
            tried: &self.tried,
            resumes: self.version.as_ref().filter(|_| resumes),
            connections: u32::try_from(connections).unwrap_or(u32::MAX).max(2),
            draw: rand::random(),
        }
    }

    /// Waits until the upstream of the present try is given up because it says nothing.
    ///
    /// That is of use only if another can be tried then; otherwise the request may stand in the
    /// upstream's queue, and is served late. Giving up without that cost 276 of 326 streams their
    /// answer where few upstreams were left, and their budgets 4.4 million tokens.
    async fn until_given_up(&self, left: Duration, resumes: bool) {
        let (started, tries) = (self.now(), self.attempts + 1);
        let ends = started.after(left);
        let patience = self.route.objective.saturating_mul(PATIENCE);
        let looks = self.route.repeat.is_idempotent() && !patience.is_zero();
        while looks && self.now().after(patience) < ends {
            let since = self.now();
            self.driver.clock.sleep(patience).await;
            if self.driver.clock.stood_still_since(since) {
                // The upstream may have answered, and was not heard.
                continue;
            }
            if self.has_another(tries, resumes) {
                return;
            }
            let silent = self.now().since(started);
            record::waits_on(&self.original.id, tries, self.tried.last(), silent);
        }
        self.driver.clock.sleep_until(ends).await;
    }

    /// Tells whether another upstream can be tried now, after so many tries.
    pub(crate) fn has_another(&self, tries: u32, resumes: bool) -> bool {
        let (now, vms) = (self.now(), self.driver.node.member_count());
        let is_left = self.gateway.retries().left(now, &self.service, vms) >= 1.0;
        if !is_left || tries >= self.route.attempts {
            return false;
        }
        let residency = self.residency();
        let wanted = self.wanted(&residency, None, vms, resumes);
        self.gateway.replicas().choose(now, &wanted).is_some()
    }

    /// Returns the rank of the request: that of its account goes before the route's.
    fn rank(&self) -> u8 {
        let own = self.caller.as_ref().and_then(|caller| caller.rank);
        own.unwrap_or(self.route.rank)
    }

    fn may_try_again(&self, vms: usize) -> bool {
        let now = self.now();
        self.route.repeat.is_idempotent()
            && self.has_tries()
            && self.gateway.retries().left(now, &self.service, vms) >= 1.0
    }

    /// Notes that an upstream has read the prompt.
    fn note_prompt(&mut self, status: StatusCode) {
        let prompt = self.terms.tokens.map_or(0, |(prompt, _)| prompt);
        if let Some(reservation) = self.reservation.as_mut().filter(|_| status.is_success()) {
            reservation.used(Tokens(prompt));
        }
    }

    /// Reads a plain answer whole.
    async fn collect(
        &mut self,
        answered: Box<Answered>,
    ) -> Result<(response::Parts, Bytes), &'static str> {
        let Answered { head, body, framed, mut hold } = *answered;
        let whole = Limited::new(body, MAX_PLAIN).collect();
        match self.driver.clock.timeout_at(self.ends, whole).await {
            // Where only the connection tells where the body ends, an upstream that ends cuts it off
            // in good order.
            Ok(Ok(_)) if !framed && self.note_broken(&hold.id, hold.address, None).await => {
                hold.note_failed();
                Err(CUT)
            }
            Ok(Ok(whole)) => {
                if head.status.is_server_error() {
                    hold.note_failed();
                    drop(hold);
                } else {
                    hold.finish();
                }
                Ok((head, whole.to_bytes()))
            }
            Ok(Err(_)) => {
                hold.note_failed();
                Err(BROKEN)
            }
            Err(_) => {
                hold.note_failed();
                Err("late")
            }
        }
    }

    /// Makes the final refusal: "not run" only if no upstream can have started.
    fn give_up(&mut self, cause: Cause) -> Refusal {
        if self.may_have_run {
            self.count_unseen();
            let cause = if cause == Cause::OutOfTime { cause } else { Cause::BrokenOff };
            return Refusal::unknown(cause);
        }
        let cause = if cause == Cause::OutOfTime { Cause::Overloaded } else { cause };
        let warm_in = self.gateway.replicas().warm_in(self.now(), &self.service);
        let after = match cause {
            Cause::NoUpstream => warm_in,
            Cause::EndsUpstreams => self.blocked_for(),
            _ => None,
        };
        let after = after.unwrap_or_else(|| overload::come_back(rand::random()));
        Refusal::not_run(cause).after(after)
    }

    /// Counts what an upstream may have handed out that did not arrive here: all that is set
    /// aside, unless each upstream that worked on it has ended. Those had sent what they made,
    /// but for a few events on their way.
    fn count_unseen(&mut self) {
        let (prompt, _) = self.terms.tokens.unwrap_or_default();
        let under_way = self.stride().saturating_mul(UNDER_WAY);
        let unseen = self.unseen;
        if let Some(reservation) = self.reservation.as_mut() {
            let all = reservation.reserved();
            let few = Tokens(prompt.saturating_add(under_way));
            reservation.used(if unseen { all } else { few });
        }
    }

    fn refuse(&mut self, refusal: &Refusal) -> Response<AnswerBody> {
        let status = refusal.cause.status();
        self.end(refusal.cause.code(), status, self.tried.last().cloned().as_ref(), 0);
        refuse(refusal)
    }

    /// Records the end of the request.
    pub(crate) fn end(
        &mut self,
        outcome: &str,
        status: u16,
        upstream: Option<&UpstreamId>,
        events: u64,
    ) {
        self.ended = true;
        let reservation = self.reservation.as_ref();
        let tokens = reservation.map_or((0, 0), |r| (r.reserved().0, r.spent().0));
        self.driver.gateway_counts().count_end(outcome, self.took());
        record::ended(&record::End {
            id: &self.original.id,
            outcome,
            status,
            attempts: self.attempts,
            upstream,
            took: self.took(),
            events,
            tokens,
            timing: self.timing,
        });
    }

    /// Returns how many tokens one event of a stream holds.
    pub(crate) fn stride(&self) -> u64 {
        self.spec.engine.as_ref().map_or(1, |engine| engine.stride)
    }

    /// Returns how many bytes are expected to cross between this VM and an upstream: the
    /// request's body and the answer.
    fn bytes_across(&self) -> u64 {
        let body = u64::try_from(self.original.body.len()).unwrap_or(u64::MAX);
        let answer = match self.terms.tokens {
            Some((_, output)) => output.saturating_mul(TOKEN_BYTES),
            None => PLAIN_BYTES,
        };
        body.saturating_add(answer)
    }

    fn own_tokens(&self) -> u64 {
        self.terms.parts.last().map_or(0, |part| part.tokens)
    }

    /// Notes how an engine served a stream whole, for those that come after it.
    pub(crate) fn observe(&self) {
        let Timing { sent: Some(sent), first: Some(first), last: Some(last), .. } = self.timing
        else {
            return;
        };
        // Two engines that shared a stream tell nothing about one.
        if self.attempts != 1 {
            return;
        }
        let seen = Observed {
            unread: self.unread,
            first: first.saturating_sub(sent),
            stream: last.saturating_sub(first),
        };
        self.gateway.replicas().observed(&self.service, &self.route.name, &seen);
    }

    /// Notes that events came from an upstream.
    pub(crate) fn note_events(&mut self) {
        self.timing.note_events(self.took());
    }
}

/// Names why an upstream did not run a request.
fn not_run_word(status: StatusCode) -> &'static str {
    match status {
        StatusCode::MISDIRECTED_REQUEST => "not_run_other_upstream",
        StatusCode::TOO_MANY_REQUESTS => "not_run_too_many",
        StatusCode::SERVICE_UNAVAILABLE => "not_run_full",
        _ => "not_run",
    }
}
