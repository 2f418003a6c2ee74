//! Dispatch: takes requests from the fair queue and sends them to upstreams.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::amount::{Time, Tokens};
use crate::event::{Command, Dispatch, Outbox, Work};
use crate::ids::{Account, AttemptId, RunId, UpstreamId};
use crate::message::Message;
use crate::node::Node;
use crate::queue::QueuedRequest;
use crate::refusal::{Cause, Refusal};
use crate::runs::{Run, Stage};
use crate::vm_upstreams::{VmUpstreamChoice, VmUpstreamCriteria};

/// Maximum number of times a request is queued again after an upstream did not accept it.
const MAX_TRIES: u32 = 3;
/// Maximum number of times a stream is resumed at its upstream.
const MAX_RESUMES: u32 = 3;
/// Retry delay sent to the caller if no upstream serves a request.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Shortest and longest retry delay sent to callers while the queue is full.
const QUEUE_RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_secs(1), Duration::from_secs(30));

impl Node {
    /// Queues a run, or refuses it if its expected wait extends past its deadline.
    pub(crate) fn enqueue(&self, now: Time, id: RunId, out: &mut Outbox) {
        let (account, deadline) = {
            let mut runs = self.state.runs();
            let Some(run) = runs.get_mut(id) else {
                return;
            };
            run.stage = Stage::Queued;
            (run.account.clone(), run.deadline)
        };
        self.state.queue().push(&account, QueuedRequest { run: id, deadline });
        self.dispatch_queued(now, out);
        let wait = self.state.queue().estimate_wait(now, &account, id);
        let max_wait = deadline.since(now);
        if let Some(wait) = wait.filter(|wait| *wait > max_wait) {
            let after = wait
                .saturating_sub(max_wait)
                .clamp(QUEUE_RETRY_AFTER_RANGE.0, QUEUE_RETRY_AFTER_RANGE.1);
            self.refuse(now, id, Refusal::not_run(Cause::Overloaded).with_retry_after(after), out);
        }
    }

    /// Refuses requests whose deadline has passed in the queue.
    pub(crate) fn tick_queue(&self, now: Time, out: &mut Outbox) {
        let expired = self.state.queue().take_expired(now);
        for id in expired {
            self.refuse(
                now,
                id,
                Refusal::not_run(Cause::Overloaded).with_retry_after(QUEUE_RETRY_AFTER_RANGE.0),
                out,
            );
        }
    }

    /// Sends as many queued requests as upstreams accept, in fair order.
    pub(crate) fn dispatch_queued(&self, now: Time, out: &mut Outbox) {
        let mut blocked = BTreeSet::new();
        loop {
            let heads = self.state.queue().heads();
            let head = heads.into_iter().find(|(account, _)| !blocked.contains(account));
            let Some((account, queued)) = head else {
                return;
            };
            match self.choose_upstream(now, queued.run) {
                Some(VmUpstreamChoice::Selected(upstream)) => {
                    // Other threads may see the same head; only the thread that removes it sends
                    // it.
                    if self.state.queue().remove(&account, queued.run) {
                        self.send_first_attempt(now, queued.run, &upstream, out);
                    }
                }
                Some(VmUpstreamChoice::Full(_)) => {
                    blocked.insert(account);
                }
                Some(VmUpstreamChoice::Unavailable) => {
                    if self.state.queue().remove(&account, queued.run) {
                        let refusal = Refusal::not_run(Cause::NoUpstream)
                            .with_retry_after(NO_UPSTREAM_RETRY_AFTER);
                        self.refuse(now, queued.run, refusal, out);
                    }
                }
                None => {
                    self.state.queue().remove(&account, queued.run);
                }
            }
        }
    }

    fn choose_upstream(&self, now: Time, id: RunId) -> Option<VmUpstreamChoice> {
        let (work, account, residency) = {
            let mut runs = self.state.runs();
            let run = runs.get_mut(id)?;
            (run.arrival.work.clone(), run.account.clone(), run.residency.clone())
        };
        let template = self.state.templates().accounts.get(&account)?.clone();
        let seed = self.config.seed ^ id.0;
        let region = &self.config.member.region;
        let criteria = VmUpstreamCriteria {
            work: &work,
            template: &template,
            residency: &residency,
            region,
            seed,
        };
        Some(self.state.upstreams().choose(now, &criteria))
    }

    fn send_first_attempt(&self, now: Time, id: RunId, upstream: &UpstreamId, out: &mut Outbox) {
        let keyed = {
            let mut runs = self.state.runs();
            runs.get_mut(id).and_then(|run| run.key.clone())
        };
        if let Some(keyed) = keyed {
            self.state.claims().record_dispatch(now, self.id(), keyed.key, id.0, upstream.clone());
            for to in
                self.arbiter_and_backup(&keyed).into_iter().flatten().filter(|to| *to != self.id())
            {
                let (key, serial, upstream) = (keyed.key, id.0, upstream.clone());
                out.send(to, Message::Dispatching { key, serial, upstream });
            }
        }
        self.send_attempt(now, id, upstream, None, out);
    }

    /// Resumes the stream that an earlier owner of the key has started.
    pub(crate) fn resume_earlier(&self, now: Time, id: RunId, out: &mut Outbox) {
        let (earlier, next) = {
            let mut runs = self.state.runs();
            let Some(run) = runs.get_mut(id) else {
                return;
            };
            (run.previous_upstream.clone(), run.next_chunk())
        };
        let resumable = earlier.filter(|earlier| self.can_resume_at(id, earlier));
        let Some(upstream) = resumable else {
            self.handle_no_stream(now, id, out);
            return;
        };
        self.send_attempt(now, id, &upstream, Some(next), out);
    }

    /// Resumes an interrupted stream at its upstream, or gives the run up.
    pub(crate) fn resume_broken(
        &self,
        now: Time,
        id: RunId,
        upstream: &UpstreamId,
        out: &mut Outbox,
    ) {
        let next = {
            let mut runs = self.state.runs();
            let Some(run) = runs.get_mut(id) else {
                return;
            };
            run.resumes += 1;
            let can_resume =
                run.resumes <= MAX_RESUMES && matches!(run.arrival.work, Work::Chat(_));
            can_resume.then(|| run.next_chunk())
        };
        let next = next.filter(|_| self.can_resume_at(id, upstream));
        let Some(next) = next else {
            self.give_up(now, id, out);
            return;
        };
        self.send_attempt(now, id, upstream, Some(next), out);
    }

    /// Queues a run again after an upstream did not accept it.
    pub(crate) fn requeue(&self, now: Time, id: RunId, out: &mut Outbox) {
        let (account, tries, deadline) = {
            let mut runs = self.state.runs();
            let Some(run) = runs.get_mut(id) else {
                return;
            };
            run.rejections += 1;
            run.stage = Stage::Queued;
            (run.account.clone(), run.rejections, run.deadline)
        };
        if tries > MAX_TRIES || now >= deadline {
            self.refuse(
                now,
                id,
                Refusal::not_run(Cause::NoUpstream).with_retry_after(NO_UPSTREAM_RETRY_AFTER),
                out,
            );
            return;
        }
        self.state.queue().push(&account, QueuedRequest { run: id, deadline });
    }

    /// Returns whether an upstream is known and lies in a region where the run may be served, both
    /// by the template with which the run was admitted and by the template in force.
    fn can_resume_at(&self, id: RunId, upstream: &UpstreamId) -> bool {
        let found = {
            let mut runs = self.state.runs();
            runs.get_mut(id).map(|run| (run.account.clone(), run.residency.clone()))
        };
        let Some((account, residency)) = found else {
            return false;
        };
        let in_force = {
            let templates = self.state.templates();
            templates.accounts.get(&account).map(|template| template.regions.clone())
        };
        let allowed = residency.intersect(&in_force.unwrap_or_default());
        let upstreams = self.state.upstreams();
        upstreams.get(upstream).is_some_and(|known| allowed.allows(Some(&known.info.region)))
    }

    /// Removes ended runs whose answers must no longer be stored here.
    ///
    /// An answer is stored for retries only if both the template with which its request was
    /// admitted and the template in force allow this region.
    pub(crate) fn sweep_runs(&self, now: Time) {
        let region = &self.config.member.region;
        let excluded: BTreeSet<_> = {
            let templates = self.state.templates();
            let accounts = templates.accounts.iter();
            accounts
                .filter(|(_, template)| !template.regions.allows(Some(region)))
                .map(|(account, _)| account.clone())
                .collect()
        };
        self.state.runs().sweep(now, |run| {
            run.residency.allows(Some(region)) && !excluded.contains(&run.account)
        });
    }

    fn send_attempt(
        &self,
        now: Time,
        id: RunId,
        upstream: &UpstreamId,
        resume: Option<u64>,
        out: &mut Outbox,
    ) {
        let (attempt, dispatch, work, account, priority) = {
            let mut runs = self.state.runs();
            let attempt = runs.new_attempt(id);
            let Some(run) = runs.get_mut(id) else {
                return;
            };
            let at = now;
            run.stage =
                Stage::Running { attempt, upstream: upstream.clone(), sent_at: at, started: false };
            let dispatch = self.new_dispatch(id, run, upstream, resume);
            (attempt, dispatch, run.arrival.work.clone(), run.account.clone(), run.priority)
        };
        {
            let mut queue = self.state.queue();
            queue.start_request(&account);
            if resume.is_none() {
                queue.count_tokens(&account, priority, input_cost(&work));
            }
        }
        self.state.upstreams().record_dispatch(now, upstream, &work);
        out.push(Command::Dispatch(attempt, dispatch));
    }

    fn new_dispatch(
        &self,
        id: RunId,
        run: &Run,
        upstream: &UpstreamId,
        resume: Option<u64>,
    ) -> Dispatch {
        let (request, output, priority) =
            (run.listeners.first().map(|l| l.request), run.output_limit, run.priority);
        let stream = self.stream_name(id, run);
        Dispatch {
            run: id,
            request,
            upstream: upstream.clone(),
            stream,
            output_limit: output,
            priority,
            resume_from: resume,
        }
    }

    /// Returns the name of a run's stream at its upstream. It is the same for all owners of a key.
    pub(crate) fn stream_name(&self, id: RunId, run: &Run) -> String {
        match &run.key {
            Some(keyed) => keyed.key.to_string(),
            None => format!("{}-{}", self.id(), id.0),
        }
    }

    /// Frees the capacity that an attempt occupied at its upstream and in the queue.
    pub(crate) fn release_attempt(
        &self,
        now: Time,
        attempt: AttemptId,
        upstream: &UpstreamId,
        request: (&Account, &Work, bool),
    ) {
        let (account, work, started) = request;
        self.state.runs().drop_attempt(attempt);
        self.state.queue().finish_request(now, account);
        self.state.upstreams().record_end(upstream, work, started);
    }
}

fn input_cost(work: &Work) -> Tokens {
    match work {
        Work::Chat(chat) => chat.prompt_tokens,
        Work::Call(_) => Tokens(1),
    }
}
