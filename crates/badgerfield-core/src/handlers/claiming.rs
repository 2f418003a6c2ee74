//! Claiming: gets the right to run a key, or follows the process that has it.

use std::time::Duration;

use crate::amount::Time;
use crate::claims::Settlement;
use crate::event::Outbox;
use crate::ids::{Epoch, Incarnation, RequestKey, RunId, UpstreamId};
use crate::message::{
    AnswerPart, ChargeId, ClaimDecision, ClaimProgress, ClaimRecord, ClaimRequest, Message,
    PartContent,
};
use crate::node::Node;
use crate::refusal::{Cause, Refusal};
use crate::runs::{Claimed, Run, RunKey, Stage};

/// How often an unanswered ask is sent again.
const RESEND: Duration = Duration::from_millis(150);
/// How long a repeatable request waits for its arbiter.
const ASSUME: Duration = Duration::from_millis(400);
/// How often a follower asks its owner for more.
const FOLLOW: Duration = Duration::from_millis(400);
/// After how long without a word from the owner a follower takes over.
const LOST: Duration = Duration::from_millis(1500);
/// When to come back if nobody can decide about a key.
const UNDECIDED: Duration = Duration::from_secs(2);

impl Node {
    /// Starts a run: its key first, if it has one.
    pub(crate) fn start(&self, now: Time, id: RunId, out: &mut Outbox) {
        {
            let mut runs = self.state.runs();
            let Some(run) = runs.get_mut(id) else {
                return;
            };
            if run.keyed.is_none() {
                drop(runs);
                self.reserve(now, id, out);
                return;
            }
            run.stage = Stage::Claiming { since: now, sent: now };
        }
        self.ask_claim(now, id, out);
    }

    fn ask_claim(&self, now: Time, id: RunId, out: &mut Outbox) {
        let epoch = self.state.claims().epoch();
        let Some((ask, again)) = self.make_ask(now, id, epoch) else {
            return;
        };
        let [arbiter, second] = self.places(&RunKey { key: ask.key, home: ask.home.clone() });
        let Some(arbiter) = arbiter else {
            return;
        };
        // An arbiter that does not answer may be gone; the second may know what ran where.
        if let Some(second) = second.filter(|to| again && *to != self.id()) {
            out.send(second, Message::ClaimRequest(ask.clone()));
        }
        if arbiter != self.id() {
            out.send(arbiter, Message::ClaimRequest(ask));
            return;
        }
        let verdict = self.state.claims().decide(now, arbiter, &ask, out);
        if let Some(verdict) = verdict {
            self.handle_claim_reply(now, arbiter, (ask.key, ask.serial, epoch), verdict, out);
        }
    }

    /// Returns the arbiter and the second keeper of a key.
    pub(crate) fn places(&self, keyed: &RunKey) -> [Option<Incarnation>; 2] {
        let members = self.state.membership();
        let arbiters = members.view.arbiters(keyed.key, keyed.home.as_ref());
        let Some((first, second)) = arbiters else {
            return [None, None];
        };
        [Some(first.incarnation), second.map(|m| m.incarnation)]
    }

    /// Remembers where a key may have run, to resume it there.
    fn hinted(&self, id: RunId, hint: Option<UpstreamId>) {
        let mut runs = self.state.runs();
        if let Some(run) = runs.get_mut(id) {
            run.earlier = hint.or(run.earlier.take());
        }
    }

    fn make_ask(&self, now: Time, id: RunId, epoch: Epoch) -> Option<(ClaimRequest, bool)> {
        let mut runs = self.state.runs();
        let run = runs.get_mut(id)?;
        let Stage::Claiming { since, sent } = &mut run.stage else {
            return None;
        };
        let again = now > *since;
        *sent = now;
        let keyed = run.keyed.clone()?;
        let (once, over) = (run.once, run.over);
        let ask = ClaimRequest {
            key: keyed.key,
            home: keyed.home,
            serial: id.0,
            epoch,
            at_most_once: once,
            replaces: over,
        };
        Some((ask, again))
    }

    /// Answers a process that asks for a key.
    pub(crate) fn handle_claim_request(
        &self,
        now: Time,
        from: Incarnation,
        ask: &ClaimRequest,
        out: &mut Outbox,
    ) {
        let (verdict, epoch) = {
            let mut claims = self.state.claims();
            (claims.decide(now, from, ask, out), claims.epoch())
        };
        if let Some(verdict) = verdict {
            out.send(
                from,
                Message::ClaimReply { key: ask.key, serial: ask.serial, epoch, decision: verdict },
            );
        }
    }

    /// Keeps a second copy for an arbiter.
    pub(crate) fn record_claim_backup(
        &self,
        now: Time,
        from: Incarnation,
        epoch: Epoch,
        claim: &ClaimRecord,
        out: &mut Outbox,
    ) {
        if self.state.claims().record_claim(now, epoch, claim) {
            let (key, serial, ended) = (claim.key, claim.serial, claim.has_ended());
            out.send(from, Message::ClaimBackupAck { key, serial, ended });
        }
    }

    /// Grants a claim, or agrees to a charge, once its second copy is kept.
    pub(crate) fn handle_claim_backup_ack(
        &self,
        now: Time,
        from: Incarnation,
        about: (RequestKey, RunId, bool),
        out: &mut Outbox,
    ) {
        let (key, id, ended) = about;
        let settlement = self.state.claims().copied(from, key, id.0, ended);
        let serial = id.0;
        match settlement {
            None => {}
            Some(Settlement::Granted { owner, epoch, verdict }) if owner == self.id() => {
                self.handle_claim_reply(now, owner, (key, serial, epoch), verdict, out);
            }
            Some(Settlement::Granted { owner, epoch, verdict }) => {
                out.send(owner, Message::ClaimReply { key, serial, epoch, decision: verdict });
            }
            Some(Settlement::Billed { to, id, epoch }) if to == self.id() => {
                self.handle_settle_reply(now, id, epoch, true, out);
            }
            Some(Settlement::Billed { to, id, epoch }) => {
                out.send(to, Message::SettleReply { id, epoch, billed: true });
            }
        }
    }

    /// Takes in the arbiter's verdict.
    pub(crate) fn handle_claim_reply(
        &self,
        now: Time,
        from: Incarnation,
        about: (RequestKey, u64, Epoch),
        verdict: ClaimDecision,
        out: &mut Outbox,
    ) {
        let (key, serial, epoch) = about;
        let id = RunId(serial);
        if !self.is_claiming(id, key) {
            return;
        }
        match verdict {
            ClaimDecision::Granted { previous_upstream: earlier, owner_changes: turn } => {
                if self.keep_own(now, id, epoch, turn, earlier.as_ref())
                    && self.granted(id, earlier)
                {
                    self.reserve(now, id, out);
                }
            }
            ClaimDecision::Owned { owner, serial, upstream, ended } if owner == self.id() => {
                if ended || upstream.is_some() {
                    self.refuse(now, id, Refusal::may_have_run(Cause::AnswerGone), out);
                    return;
                }
                self.release_at(from, key, serial, out);
            }
            ClaimDecision::Owned { owner, serial, ended, .. } => {
                self.follow(now, id, (owner, serial, ended), out);
            }
            ClaimDecision::Wait { hint } => self.hinted(id, hint),
            ClaimDecision::Uncertain => {
                self.refuse(now, id, Refusal::may_have_run(Cause::KeyLost), out);
            }
        }
    }

    /// Sends asks again, and ends those that took too long.
    pub(crate) fn tick_claims(&self, now: Time, out: &mut Outbox) {
        self.state.claims().tick(now, out);
        let (mut again, mut assume, mut late, mut lost, mut more) =
            (vec![], vec![], vec![], vec![], vec![]);
        for (id, run) in self.state.runs().iter_mut() {
            match run.stage {
                Stage::Claiming { .. } if now >= run.until && run.once => late.push(id),
                Stage::Claiming { since, .. } if !run.once && now.since(since) >= ASSUME => {
                    assume.push(id);
                }
                Stage::Claiming { sent, .. } if now.since(sent) >= RESEND => again.push(id),
                Stage::Following { heard, .. } if now.since(heard) >= LOST => lost.push(id),
                Stage::Following { sent, .. } if now.since(sent) >= FOLLOW => more.push(id),
                _ => {}
            }
        }
        for id in again {
            self.ask_claim(now, id, out);
        }
        for id in assume {
            self.assume(now, id, out);
        }
        for id in late {
            if !self.stops_claiming(id) {
                continue;
            }
            let refusal = Refusal::may_have_run(Cause::KeyUndecided).with_retry_after(UNDECIDED);
            self.refuse(now, id, refusal, out);
        }
        for id in lost {
            self.take_over(now, id, out);
        }
        for id in more {
            self.ask_more(now, id, out);
        }
    }

    /// Tells the arbiter and the keeper that a key was not run and never will be.
    pub(crate) fn release(&self, keyed: &RunKey, id: RunId, out: &mut Outbox) {
        self.state.claims().release(self.id(), keyed.key, id.0);
        for place in self.places(keyed).into_iter().flatten() {
            self.release_at(place, keyed.key, id.0, out);
        }
    }

    fn release_at(&self, place: Incarnation, key: RequestKey, serial: u64, out: &mut Outbox) {
        if place == self.id() {
            self.state.claims().release(self.id(), key, serial);
            return;
        }
        out.send(place, Message::Release { key, serial });
    }

    /// Passes on what a follower lacks.
    pub(crate) fn handle_answer_request(
        &self,
        now: Time,
        from: Incarnation,
        keyed: &RunKey,
        id: RunId,
        offset: u64,
        out: &mut Outbox,
    ) {
        let key = keyed.key;
        let serial = id.0;
        {
            let mut runs = self.state.runs();
            let charge = ChargeId { owner: self.id(), serial };
            let settling = self.state.charges().contains(charge);
            let mine = runs.get_mut(id).filter(|r| r.keyed.as_ref().is_some_and(|k| k.key == key));
            if let Some(run) = mine {
                let next = usize::try_from(offset).unwrap_or(usize::MAX).min(run.parts.len());
                run.followers.insert(from, next);
                let idle = next == run.parts.len();
                if idle {
                    out.send(from, Message::AnswerPending { key, serial });
                }
                drop(runs);
                self.deliver(id, out);
                return;
            }
            out.send(from, Message::UnknownRequest { key, serial });
            if settling {
                return;
            }
        }
        // A claim of a run that is neither here nor settled was never used.
        let _ = now;
        self.release(keyed, id, out);
    }

    /// Takes in a part of an answer that another process passes on.
    pub(crate) fn receive_answer_part(
        &self,
        now: Time,
        from: Incarnation,
        part: AnswerPart,
        out: &mut Outbox,
    ) {
        let id = {
            let mut runs = self.state.runs();
            let Some(id) = runs.with_key(part.key) else {
                return;
            };
            let Some(run) = runs.get_mut(id) else {
                return;
            };
            if !hears(now, run, from, part.serial) {
                return;
            }
            let place = u64::try_from(run.parts.len()).unwrap_or(u64::MAX);
            if part.offset != place {
                return;
            }
            let last = matches!(part.content, PartContent::End(_) | PartContent::Broken);
            run.push(part.content);
            if last {
                runs.end(now, id);
            }
            id
        };
        self.deliver(id, out);
    }

    /// Notes that the owner is still at it.
    pub(crate) fn handle_answer_pending(
        &self,
        now: Time,
        from: Incarnation,
        key: RequestKey,
        serial: u64,
    ) {
        let mut runs = self.state.runs();
        let Some(id) = runs.with_key(key) else {
            return;
        };
        if let Some(run) = runs.get_mut(id) {
            hears(now, run, from, serial);
        }
    }

    /// Asks the arbiter again, because the owner it named has no such run.
    pub(crate) fn handle_unknown_request(
        &self,
        now: Time,
        from: Incarnation,
        key: RequestKey,
        serial: u64,
        out: &mut Outbox,
    ) {
        let (id, ended, begun) = {
            let mut runs = self.state.runs();
            let Some(id) = runs.with_key(key) else {
                return;
            };
            let Some(run) = runs.get_mut(id) else {
                return;
            };
            if !hears(now, run, from, serial) {
                return;
            }
            let ended = matches!(run.stage, Stage::Following { ended: true, .. });
            run.stage = Stage::Claiming { since: now, sent: now };
            (id, ended, !run.parts.is_empty())
        };
        if ended || begun {
            self.refuse(now, id, Refusal::may_have_run(Cause::AnswerGone), out);
        }
    }

    fn follow(&self, now: Time, id: RunId, owner: (Incarnation, u64, bool), out: &mut Outbox) {
        {
            let mut runs = self.state.runs();
            let Some(run) = runs.get_mut(id) else {
                return;
            };
            let (owner, serial, ended) = owner;
            run.over = None;
            run.stage = Stage::Following { owner, serial, ended, sent: now, heard: now };
        }
        self.ask_more(now, id, out);
    }

    fn ask_more(&self, now: Time, id: RunId, out: &mut Outbox) {
        let mut runs = self.state.runs();
        let Some(run) = runs.get_mut(id) else {
            return;
        };
        let offset = u64::try_from(run.parts.len()).unwrap_or(u64::MAX);
        let Stage::Following { owner, serial, sent, .. } = &mut run.stage else {
            return;
        };
        *sent = now;
        let Some(keyed) = run.keyed.clone() else {
            return;
        };
        let (key, home) = (keyed.key, keyed.home);
        out.send(*owner, Message::AnswerRequest { key, home, serial: *serial, offset });
    }

    /// Claims a key in place of an owner that does not answer.
    fn take_over(&self, now: Time, id: RunId, out: &mut Outbox) {
        let ended = {
            let mut runs = self.state.runs();
            let Some(run) = runs.get_mut(id) else {
                return;
            };
            let Stage::Following { owner, serial, ended, .. } = run.stage else {
                return;
            };
            run.over = Some((owner, serial));
            run.until = run.until.max(now.after(LOST));
            run.stage = Stage::Claiming { since: now, sent: now };
            ended
        };
        if ended {
            self.refuse(now, id, Refusal::may_have_run(Cause::AnswerGone), out);
            return;
        }
        self.ask_claim(now, id, out);
    }

    /// Lets a repeatable request go on although its arbiter does not answer.
    fn assume(&self, now: Time, id: RunId, out: &mut Outbox) {
        // The arbiter's word may have come since it was found late.
        if !self.stops_claiming(id) {
            return;
        }
        let key = {
            let mut runs = self.state.runs();
            let Some(run) = runs.get_mut(id) else {
                return;
            };
            run.claimed = Claimed::Assumed;
            run.keyed.as_ref().map(|keyed| keyed.key)
        };
        // This process may be the second keeper, and know what ran where.
        let hint = key.and_then(|key| self.state.claims().hint(key));
        self.hinted(id, hint);
        self.reserve(now, id, out);
    }

    fn is_claiming(&self, id: RunId, key: RequestKey) -> bool {
        let mut runs = self.state.runs();
        let Some(run) = runs.get_mut(id) else {
            return false;
        };
        let same = run.keyed.as_ref().is_some_and(|k| k.key == key);
        same && run.is_claiming()
    }

    /// Ends the wait for an arbiter that took too long; tells whether this thread ended it.
    fn stops_claiming(&self, id: RunId) -> bool {
        let mut runs = self.state.runs();
        let Some(run) = runs.get_mut(id).filter(|run| run.is_claiming()) else {
            return false;
        };
        run.stage = Stage::Reserving;
        true
    }

    /// Remembers an own claim, so that a new arbiter can learn of it.
    fn keep_own(
        &self,
        now: Time,
        id: RunId,
        epoch: Epoch,
        turn: u32,
        earlier: Option<&UpstreamId>,
    ) -> bool {
        let record = {
            let mut runs = self.state.runs();
            let Some(run) = runs.get_mut(id) else {
                return false;
            };
            let Some(keyed) = run.keyed.clone() else {
                return false;
            };
            ClaimRecord {
                key: keyed.key,
                home: keyed.home,
                owner: self.id(),
                serial: id.0,
                owner_changes: turn,
                at_most_once: run.once,
                progress: earlier
                    .map_or(ClaimProgress::Held, |id| ClaimProgress::Dispatched(id.clone())),
            }
        };
        self.state.claims().record_claim(now, epoch, &record)
    }

    /// Takes in that the arbiter lets a run go on; tells whether this thread may go on with it.
    /// Another does if the same word came twice, or the wait was over just now.
    fn granted(&self, id: RunId, earlier: Option<UpstreamId>) -> bool {
        if !self.stops_claiming(id) {
            return false;
        }
        let mut runs = self.state.runs();
        let Some(run) = runs.get_mut(id) else {
            return false;
        };
        run.claimed = if run.over.is_some() { Claimed::Inherited } else { Claimed::Fresh };
        run.earlier = earlier;
        true
    }
}

/// Notes a word from the owner; tells whether the run follows it.
fn hears(now: Time, run: &mut Run, from: Incarnation, about: u64) -> bool {
    let Stage::Following { owner, serial, heard, .. } = &mut run.stage else {
        return false;
    };
    if *owner != from || *serial != about {
        return false;
    }
    *heard = now;
    true
}
