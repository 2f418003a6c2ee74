//! Answers: forwards answers of upstreams to callers and followers, complete and in order.

use crate::amount::{Time, Tokens};
use crate::event::{Answer, Chunk, Command, Outbox, UpstreamEvent, Usage, Work};
use crate::ids::{AttemptId, RequestId, RunId, UpstreamId};
use crate::message::{AnswerPart, Head, Message, PartContent};
use crate::node::Node;
use crate::refusal::{Cause, Outcome, Refusal};
use crate::runs::{ClaimState, Run, Stage};

impl Node {
    /// Handles an event of an upstream for an attempt.
    pub(crate) fn handle_upstream_event(
        &self,
        now: Time,
        attempt: AttemptId,
        event: UpstreamEvent,
        out: &mut Outbox,
    ) {
        match event {
            UpstreamEvent::Head(head) => self.handle_head(now, attempt, head, out),
            UpstreamEvent::Chunk(chunk) => self.handle_chunk(now, attempt, chunk, out),
            UpstreamEvent::Ended { parts, usage } => {
                if self.has_all_parts(attempt, parts) {
                    self.handle_end(now, attempt, usage, out);
                } else {
                    self.handle_gap(now, attempt, out);
                }
            }
            UpstreamEvent::NotSent => {
                if let Some((id, upstream)) = self.end_attempt(now, attempt) {
                    self.state.upstreams().record_failure(now, &upstream);
                    self.handle_not_taken(now, id, out);
                }
            }
            UpstreamEvent::Busy(back_off) => {
                if let Some((id, upstream)) = self.end_attempt(now, attempt) {
                    self.state.upstreams().record_failure(now, &upstream);
                    self.state.upstreams().back_off(now, &upstream, back_off.unwrap_or_default());
                    self.handle_not_taken(now, id, out);
                }
            }
            UpstreamEvent::NoStream => {
                if let Some((id, _)) = self.end_attempt(now, attempt) {
                    self.handle_no_stream(now, id, out);
                }
            }
            UpstreamEvent::Broken => {
                if let Some((id, upstream)) = self.end_attempt(now, attempt) {
                    self.state.upstreams().record_failure(now, &upstream);
                    self.resume_broken(now, id, &upstream, out);
                }
            }
        }
    }

    /// Handles a caller that has disconnected.
    pub(crate) fn handle_caller_disconnect(&self, now: Time, request: RequestId, out: &mut Outbox) {
        let (id, attempt) = {
            let mut runs = self.state.runs();
            let Some((id, listening)) = runs.remove_listener(request) else {
                return;
            };
            let Some(run) = runs.get_mut(id) else {
                return;
            };
            // A run with a key continues: its caller may reconnect for the answer.
            let is_needed = listening > 0 || run.has_ended();
            match &run.stage {
                _ if is_needed => return,
                Stage::Running { .. } if run.key.is_some() => return,
                Stage::Running { attempt, .. } => (id, Some(*attempt)),
                _ => (id, None),
            }
        };
        match attempt {
            Some(attempt) => out.push(Command::Cancel(attempt)),
            None => self.refuse(now, id, Refusal::not_run(Cause::BrokenOff), out),
        }
    }

    /// Sends each listener and follower the parts that it does not have yet.
    pub(crate) fn deliver(&self, id: RunId, out: &mut Outbox) {
        let mut runs = self.state.runs();
        let Some(run) = runs.get_mut(id) else {
            return;
        };
        for listener in &mut run.listeners {
            for (index, part) in run.parts.iter().enumerate().skip(listener.next_part) {
                out.answer(listener.request, index, to_answer(part));
            }
            listener.next_part = run.parts.len();
        }
        let Some(keyed) = &run.key else {
            return;
        };
        for (to, next) in &mut run.followers {
            for (index, content) in run.parts.iter().enumerate().skip(*next) {
                let offset = u64::try_from(index).unwrap_or(u64::MAX);
                let (key, serial, content) = (keyed.key, id.0, content.clone());
                out.send(*to, Message::AnswerPart(AnswerPart { key, serial, offset, content }));
            }
            *next = run.parts.len();
        }
    }

    /// Ends a run without an answer and sends the refusal to each listener at once.
    pub(crate) fn refuse(&self, now: Time, id: RunId, refusal: Refusal, out: &mut Outbox) {
        let Some(run) = self.state.runs().remove(id) else {
            return;
        };
        let refusal = adjust_outcome(&run, refusal);
        for listener in &run.listeners {
            let has_begun = listener.next_part > 0;
            let answer = if has_begun { Answer::Broken(refusal) } else { Answer::Refused(refusal) };
            out.answer(listener.request, listener.next_part, answer);
        }
        if let Some(keyed) = &run.key {
            let (key, serial) = (keyed.key, id.0);
            for (to, next) in &run.followers {
                if *next == 0 {
                    out.send(*to, Message::UnknownRequest { key, serial });
                    continue;
                }
                let offset = u64::try_from(run.parts.len()).unwrap_or(u64::MAX);
                let content = PartContent::Broken;
                out.send(*to, Message::AnswerPart(AnswerPart { key, serial, offset, content }));
            }
            if !matches!(run.claim, ClaimState::Pending) {
                self.release(keyed, id, out);
            }
        }
        self.state.queue().remove(&run.account, id);
        let mut holdings = self.state.holdings();
        holdings.cancel_request(&run.budget, id);
        if !run.reserved.is_zero() {
            holdings.settle(now, &run.budget, run.period, run.reserved, Tokens::ZERO);
        }
    }

    /// Gives up a run that its upstream may have executed or may still execute.
    ///
    /// All reserved tokens count as used, since the amount served is unknown. Nothing is billed,
    /// because the caller has no complete answer.
    pub(crate) fn give_up(&self, now: Time, id: RunId, out: &mut Outbox) {
        {
            let mut runs = self.state.runs();
            let Some(run) = runs.get_mut(id) else {
                return;
            };
            let reserved = std::mem::take(&mut run.reserved);
            let mut holdings = self.state.holdings();
            holdings.settle(now, &run.budget, run.period, reserved, reserved);
            holdings.record_charge(&run.budget, run.period, reserved, false);
        }
        self.refuse(now, id, Refusal::may_have_run(Cause::BrokenOff), out);
    }

    /// Handles an upstream that does not have the stream: queues the run again if it may be
    /// repeated, and ends it otherwise.
    pub(crate) fn handle_no_stream(&self, now: Time, id: RunId, out: &mut Outbox) {
        let can_requeue = {
            let mut runs = self.state.runs();
            let Some(run) = runs.get_mut(id) else {
                return;
            };
            run.previous_upstream = None;
            !run.at_most_once && run.parts.is_empty()
        };
        if can_requeue {
            self.requeue(now, id, out);
            return;
        }
        let is_once = self
            .state
            .runs()
            .get_mut(id)
            .is_some_and(|run| run.at_most_once && run.parts.is_empty());
        if is_once {
            self.refuse(now, id, Refusal::may_have_run(Cause::KeyLost), out);
            return;
        }
        self.give_up(now, id, out);
    }

    fn handle_not_taken(&self, now: Time, id: RunId, out: &mut Outbox) {
        let (has_begun, is_resumed) = {
            let mut runs = self.state.runs();
            let Some(run) = runs.get_mut(id) else {
                return;
            };
            (!run.parts.is_empty(), run.previous_upstream.is_some() || run.resumes > 0)
        };
        if !has_begun && !is_resumed {
            self.requeue(now, id, out);
            return;
        }
        if is_resumed && !has_begun {
            self.handle_no_stream(now, id, out);
            return;
        }
        self.give_up(now, id, out);
    }

    fn handle_head(&self, now: Time, attempt: AttemptId, head: Head, out: &mut Outbox) {
        let id = {
            let mut runs = self.state.runs();
            let Some((id, run)) = runs.find_by_attempt(attempt) else {
                return;
            };
            if run.has_head() {
                return;
            }
            run.push(PartContent::Head(head));
            id
        };
        let _ = now;
        self.deliver(id, out);
    }

    fn handle_chunk(&self, now: Time, attempt: AttemptId, chunk: Chunk, out: &mut Outbox) {
        let (id, first_token, served) = {
            let mut runs = self.state.runs();
            let Some((id, run)) = runs.find_by_attempt(attempt) else {
                return;
            };
            let next = run.next_chunk();
            // Drops a part that was already forwarded.
            if chunk.offset < next {
                return;
            }
            if chunk.offset > next {
                drop(runs);
                self.handle_gap(now, attempt, out);
                return;
            }
            let before = run.usage.unwrap_or_default().output;
            run.usage = chunk.usage.or(run.usage);
            let served = run.usage.unwrap_or_default().output.saturating_sub(before);
            run.push(PartContent::Data(chunk.data));
            let Stage::Running { upstream, sent_at: at, started, .. } = &mut run.stage else {
                return;
            };
            let is_first = !std::mem::replace(started, true);
            let first_token =
                is_first.then(|| (upstream.clone(), now.since(*at), run.arrival.work.clone()));
            (id, first_token, (run.account.clone(), run.priority, served))
        };
        if let Some((upstream, delay, work)) = first_token {
            self.state.upstreams().record_first_token(&upstream, &work, delay);
        }
        let (account, priority, tokens) = served;
        self.state.queue().count_tokens(&account, priority, tokens);
        self.deliver(id, out);
    }

    /// Returns whether all parts of a finished answer have arrived.
    fn has_all_parts(&self, attempt: AttemptId, parts: u64) -> bool {
        let mut runs = self.state.runs();
        runs.find_by_attempt(attempt).is_none_or(|(_, run)| run.next_chunk() >= parts)
    }

    /// Resumes the stream to fetch parts that were lost in transit. The upstream keeps the stream
    /// running meanwhile.
    fn handle_gap(&self, now: Time, attempt: AttemptId, out: &mut Outbox) {
        if let Some((id, upstream)) = self.end_attempt(now, attempt) {
            self.resume_broken(now, id, &upstream, out);
        }
    }

    fn handle_end(&self, now: Time, attempt: AttemptId, usage: Option<Usage>, out: &mut Outbox) {
        let Some((id, _)) = self.end_attempt(now, attempt) else {
            return;
        };
        let cost = {
            let mut runs = self.state.runs();
            let Some(run) = runs.get_mut(id) else {
                return;
            };
            let usage = usage.or(run.usage);
            // If an upstream does not report usage, the maximum cost is charged.
            let cost = match run.arrival.work {
                Work::Chat(_) => usage.map_or(run.max_cost, Usage::cost),
                Work::Call(_) => run.max_cost,
            };
            run.push(PartContent::End(cost));
            runs.end(now, id);
            cost
        };
        self.deliver(id, out);
        self.charge(now, id, cost, out);
    }

    /// Ends an attempt. Returns its run and upstream if it was the run's current attempt.
    fn end_attempt(&self, now: Time, attempt: AttemptId) -> Option<(RunId, UpstreamId)> {
        let (id, upstream, account, work, started) = {
            let mut runs = self.state.runs();
            let (id, run) = runs.find_by_attempt(attempt)?;
            let Stage::Running { upstream, started, .. } = &run.stage else {
                return None;
            };
            (id, upstream.clone(), run.account.clone(), run.arrival.work.clone(), *started)
        };
        self.release_attempt(now, attempt, &upstream, (&account, &work, started));
        Some((id, upstream))
    }
}

fn to_answer(part: &PartContent) -> Answer {
    match part {
        PartContent::Head(head) => Answer::Head(head.clone()),
        PartContent::Data(data) => Answer::Data(data.clone()),
        PartContent::End(cost) => Answer::End(*cost),
        PartContent::Broken => Answer::Broken(Refusal::may_have_run(Cause::BrokenOff)),
    }
}

/// Reports "not run" only if the key is known not to have run before.
///
/// A repeatable request may have run without its arbiter's decision on a process that is cut off.
/// A fresh claim therefore proves that only for an at-most-once request.
fn adjust_outcome(run: &Run, refusal: Refusal) -> Refusal {
    let is_certain = match run.claim {
        ClaimState::Unneeded => true,
        ClaimState::Fresh => run.at_most_once,
        ClaimState::Pending | ClaimState::Inherited | ClaimState::Unconfirmed => false,
    };
    if is_certain {
        return refusal;
    }
    Refusal { outcome: Outcome::Unknown, ..refusal }
}
