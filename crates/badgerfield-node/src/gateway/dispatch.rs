//! Step 5 of a request: it is sent to an upstream, and to another where that is allowed.

use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::refusal::{Cause, Refusal};
use badgerfield_core::residency::Residency;
use badgerfield_core::upstream_table::{ChosenUpstream, UpstreamCriteria};
use hyper::StatusCode;

use crate::adapter::UpstreamHeaders;
use crate::gateway::attempt::{Answered, AttemptEnd, BROKEN, UpstreamHold, attempt};
use crate::gateway::flow::{Exchange, Sending};
use crate::gateway::record;

/// The least time in which an upstream can be asked for anything.
const LEAST_TIME: Duration = Duration::from_millis(15);
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

impl Exchange {
    /// Sends the request to upstreams until one answers.
    ///
    /// # Errors
    ///
    /// Returns the refusal that is the request's final answer.
    pub(crate) async fn dispatch(&mut self, last: Option<u64>) -> Result<Box<Answered>, Refusal> {
        let mut unreachable = 0;
        loop {
            let now = self.now();
            let vms = self.driver.node.member_count();
            if let Err(cause) = self.check_tries(now, vms, unreachable) {
                return Err(self.give_up(cause));
            }
            let left = self.ends.since(now);
            let chosen = match self.choose(now, vms, last.is_some()) {
                Ok(chosen) => chosen,
                Err(cause) => return Err(self.give_up(cause)),
            };
            if self.attempts > 0 {
                self.gateway.retries().try_take(now, &self.service, vms);
            }
            self.tried.push(chosen.id.clone());
            let terms = UpstreamHeaders {
                upstream: &chosen.id,
                remaining: left,
                account: self.caller.as_ref().map(|caller| &caller.account),
                rank: self.rank(),
                last_event: last,
                fetch_from: None,
            };
            self.sent = Sending { at: now, life: self.life_of(&chosen.id) };
            self.unread = chosen.uncached_tokens.saturating_add(self.own_tokens());
            self.timing.note_sent(self.took());
            // Only engines read prompts; what waits elsewhere is counted as under way.
            let reading = self.spec.engine.as_ref().map(|_| self.unread);
            let (driver, gateway) = (&self.driver, &self.gateway);
            let hold = UpstreamHold::new(driver, gateway, &chosen, reading, &self.route);
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
                AttemptEnd::NotSent(why) => {
                    unreachable += 1;
                    self.gateway.replicas().undo_sent(&chosen.id, &self.route.name);
                    why
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

    /// Tells whether another upstream may be tried, after so many that could not be reached.
    fn check_tries(&self, now: Time, vms: usize, unreachable: u32) -> Result<(), Cause> {
        if self.ends.since(now) < LEAST_TIME {
            return Err(Cause::OutOfTime);
        }
        if !self.has_tries() || unreachable >= MAX_UNREACHABLE {
            return Err(Cause::TriesSpent);
        }
        let is_repeat = self.attempts > 0;
        if is_repeat && self.gateway.retries().remaining(now, &self.service, vms) < 1.0 {
            return Err(Cause::TriesSpent);
        }
        Ok(())
    }

    /// Returns the regions in which it may be served, by the version that it was let in with
    /// and by the newest.
    fn residency(&self) -> Residency {
        let newest = self.gateway.in_force();
        self.admission.current_residency(newest.version, || {
            // The caller's head may have lost its host: what concerns one connection is dropped.
            let path = self.original.head.uri.path();
            let account = self.caller.as_ref().map(|caller| &caller.account);
            newest.table.residency_at(&self.route.host, path, account)
        })
    }

    fn choose(&self, now: Time, vms: usize, resumes: bool) -> Result<ChosenUpstream, Cause> {
        let residency = self.residency();
        // What is chosen is begun under the same lock: what a cold upstream may get is counted.
        let mut replicas = self.gateway.replicas();
        replicas.record_request(now, &self.service);
        if let Err(fault) = residency.check(replicas.regions()) {
            drop(replicas);
            record::outside(&self.original.id, &self.route.name, &fault, self.admission.version);
            return Err(Cause::RegionUnknown);
        }
        let alike = self.check_standing()?;
        let wanted = self.wanted(&residency, alike, vms, resumes);
        let chosen = replicas.choose(now, &wanted).ok_or(Cause::NoUpstream)?;
        let list = replicas.last_update();
        replicas.start_request(now, &chosen.id, &self.terms.parts);
        replicas.record_sent(now, &wanted, &chosen.id);
        drop(replicas);
        self.driver.gateway_counts().count_sent(chosen.distance, chosen.crossing);
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
    ) -> UpstreamCriteria<'a> {
        let vms = u64::try_from(vms).unwrap_or(u64::MAX).saturating_add(1);
        let connections = u64::from(self.spec.connections) * CONNECTION_PERCENT / 100 / vms;
        UpstreamCriteria {
            rendezvous_key: alike,
            service: &self.service,
            route: &self.route.name,
            parts: &self.terms.parts,
            bytes: self.bytes_across(),
            residency,
            tried: &self.tried,
            resumed_version: self.version.as_ref().filter(|_| resumes),
            max_connections: u32::try_from(connections).unwrap_or(u32::MAX).max(2),
            random: rand::random(),
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
        let is_left = self.gateway.retries().remaining(now, &self.service, vms) >= 1.0;
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
            && self.gateway.retries().remaining(now, &self.service, vms) >= 1.0
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
