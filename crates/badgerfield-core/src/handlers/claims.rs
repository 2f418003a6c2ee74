//! Claims: obtains the right to run a key, or follows the process that owns it.

use std::time::Duration;

use crate::amount::Time;
use crate::claims::BackupOutcome;
use crate::event::Outbox;
use crate::ids::{Epoch, Incarnation, RequestKey, RunId, UpstreamId};
use crate::message::{
    AnswerPart, ChargeId, ClaimDecision, ClaimProgress, ClaimRecord, ClaimRequest, Message,
    PartContent,
};
use crate::node::Node;
use crate::refusal::{Cause, Refusal};
use crate::runs::{ClaimState, Run, RunKey, Stage};

/// Interval at which an unanswered claim request is resent.
const RESEND_INTERVAL: Duration = Duration::from_millis(150);
/// How long a repeatable request waits for its arbiter.
const ARBITER_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval at which a follower requests further answer parts from the owner.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(400);
/// How long an owner may stay silent before a follower claims its key.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Retry delay sent to the caller if no arbiter decides about a key in time.
const UNDECIDED_RETRY_AFTER: Duration = Duration::from_secs(2);

impl Node {
    /// Starts a run. If it has a key, the key is claimed first.
    pub(crate) fn start(&self, now: Time, id: RunId, out: &mut Outbox) {
        {
            let mut runs = self.state.runs();
            let Some(run) = runs.get_mut(id) else {
                return;
            };
            if run.key.is_none() {
                drop(runs);
                self.reserve(now, id, out);
                return;
            }
            run.stage = Stage::Claiming { since: now, sent: now };
        }
        self.send_claim_request(now, id, out);
    }

    fn send_claim_request(&self, now: Time, id: RunId, out: &mut Outbox) {
        let epoch = self.state.claims().epoch();
        let Some((request, is_retry)) = self.build_claim_request(now, id, epoch) else {
            return;
        };
        let [arbiter, backup] =
            self.arbiter_and_backup(&RunKey { key: request.key, home: request.home.clone() });
        let Some(arbiter) = arbiter else {
            return;
        };
        // An arbiter that does not answer may be gone; the backup may know where the key has run.
        if let Some(backup) = backup.filter(|to| is_retry && *to != self.id()) {
            out.send(backup, Message::ClaimRequest(request.clone()));
        }
        if arbiter != self.id() {
            out.send(arbiter, Message::ClaimRequest(request));
            return;
        }
        let decision = self.state.claims().decide(now, arbiter, &request, out);
        if let Some(decision) = decision {
            self.handle_claim_reply(
                now,
                arbiter,
                (request.key, request.serial, epoch),
                decision,
                out,
            );
        }
    }

    /// Returns the arbiter and the backup of a key.
    pub(crate) fn arbiter_and_backup(&self, keyed: &RunKey) -> [Option<Incarnation>; 2] {
        let members = self.state.membership();
        let arbiters = members.view.arbiters(keyed.key, keyed.home.as_ref());
        let Some((arbiter, backup)) = arbiters else {
            return [None, None];
        };
        [Some(arbiter.incarnation), backup.map(|m| m.incarnation)]
    }

    /// Records the upstream where a key may have run, so that its stream is resumed there.
    fn record_hint(&self, id: RunId, hint: Option<UpstreamId>) {
        let mut runs = self.state.runs();
        if let Some(run) = runs.get_mut(id) {
            run.previous_upstream = hint.or(run.previous_upstream.take());
        }
    }

    fn build_claim_request(
        &self,
        now: Time,
        id: RunId,
        epoch: Epoch,
    ) -> Option<(ClaimRequest, bool)> {
        let mut runs = self.state.runs();
        let run = runs.get_mut(id)?;
        let Stage::Claiming { since, sent } = &mut run.stage else {
            return None;
        };
        let is_retry = now > *since;
        *sent = now;
        let keyed = run.key.clone()?;
        let (once, over) = (run.at_most_once, run.replaces);
        let request = ClaimRequest {
            key: keyed.key,
            home: keyed.home,
            serial: id.0,
            epoch,
            at_most_once: once,
            replaces: over,
        };
        Some((request, is_retry))
    }

    /// Decides about a claim request of another process.
    pub(crate) fn handle_claim_request(
        &self,
        now: Time,
        from: Incarnation,
        request: &ClaimRequest,
        out: &mut Outbox,
    ) {
        let (decision, epoch) = {
            let mut claims = self.state.claims();
            (claims.decide(now, from, request, out), claims.epoch())
        };
        if let Some(decision) = decision {
            out.send(
                from,
                Message::ClaimReply { key: request.key, serial: request.serial, epoch, decision },
            );
        }
    }

    /// Stores the second copy of a claim for its arbiter.
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

    /// Grants a claim or confirms a charge once the backup has stored the second copy.
    pub(crate) fn handle_claim_backup_ack(
        &self,
        now: Time,
        from: Incarnation,
        claim: (RequestKey, RunId, bool),
        out: &mut Outbox,
    ) {
        let (key, id, ended) = claim;
        let settlement = self.state.claims().handle_backup_ack(from, key, id.0, ended);
        let serial = id.0;
        match settlement {
            None => {}
            Some(BackupOutcome::Granted { owner, epoch, decision }) if owner == self.id() => {
                self.handle_claim_reply(now, owner, (key, serial, epoch), decision, out);
            }
            Some(BackupOutcome::Granted { owner, epoch, decision }) => {
                out.send(owner, Message::ClaimReply { key, serial, epoch, decision });
            }
            Some(BackupOutcome::Billed { to, id, epoch }) if to == self.id() => {
                self.handle_settle_reply(now, id, epoch, true, out);
            }
            Some(BackupOutcome::Billed { to, id, epoch }) => {
                out.send(to, Message::SettleReply { id, epoch, billed: true });
            }
        }
    }

    /// Handles the arbiter's decision on a claim.
    pub(crate) fn handle_claim_reply(
        &self,
        now: Time,
        from: Incarnation,
        claim: (RequestKey, u64, Epoch),
        decision: ClaimDecision,
        out: &mut Outbox,
    ) {
        let (key, serial, epoch) = claim;
        let id = RunId(serial);
        if !self.is_claiming(id, key) {
            return;
        }
        match decision {
            ClaimDecision::Granted { previous_upstream: earlier, owner_changes } => {
                if self.record_own_claim(now, id, epoch, owner_changes, earlier.as_ref())
                    && self.apply_grant(id, earlier)
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
            ClaimDecision::Wait { last_upstream: hint } => self.record_hint(id, hint),
            ClaimDecision::Uncertain => {
                self.refuse(now, id, Refusal::may_have_run(Cause::KeyLost), out);
            }
        }
    }

    /// Resends unanswered requests and ends those that have timed out.
    pub(crate) fn tick_claims(&self, now: Time, out: &mut Outbox) {
        self.state.claims().tick(now, out);
        let (mut resend, mut assume, mut expired, mut lost, mut poll) =
            (vec![], vec![], vec![], vec![], vec![]);
        for (id, run) in self.state.runs().iter_mut() {
            match run.stage {
                Stage::Claiming { .. } if now >= run.deadline && run.at_most_once => {
                    expired.push(id);
                }
                Stage::Claiming { since, .. }
                    if !run.at_most_once && now.since(since) >= ARBITER_TIMEOUT =>
                {
                    assume.push(id);
                }
                Stage::Claiming { sent, .. } if now.since(sent) >= RESEND_INTERVAL => {
                    resend.push(id);
                }
                Stage::Following { last_contact: heard, .. }
                    if now.since(heard) >= OWNER_TIMEOUT =>
                {
                    lost.push(id);
                }
                Stage::Following { sent, .. } if now.since(sent) >= FOLLOW_INTERVAL => {
                    poll.push(id);
                }
                _ => {}
            }
        }
        for id in resend {
            self.send_claim_request(now, id, out);
        }
        for id in assume {
            self.assume_claim(now, id, out);
        }
        for id in expired {
            if !self.end_claiming(id) {
                continue;
            }
            let refusal =
                Refusal::may_have_run(Cause::KeyUndecided).with_retry_after(UNDECIDED_RETRY_AFTER);
            self.refuse(now, id, refusal, out);
        }
        for id in lost {
            self.take_over(now, id, out);
        }
        for id in poll {
            self.request_answer_parts(now, id, out);
        }
    }

    /// Notifies the arbiter and the backup that a key has not run and will not run here.
    pub(crate) fn release(&self, keyed: &RunKey, id: RunId, out: &mut Outbox) {
        self.state.claims().release(self.id(), keyed.key, id.0);
        for holder in self.arbiter_and_backup(keyed).into_iter().flatten() {
            self.release_at(holder, keyed.key, id.0, out);
        }
    }

    fn release_at(&self, holder: Incarnation, key: RequestKey, serial: u64, out: &mut Outbox) {
        if holder == self.id() {
            self.state.claims().release(self.id(), key, serial);
            return;
        }
        out.send(holder, Message::Release { key, serial });
    }

    /// Sends a follower the parts of an answer from `offset` on.
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
            let own_run = runs.get_mut(id).filter(|r| r.key.as_ref().is_some_and(|k| k.key == key));
            if let Some(run) = own_run {
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
        // The run is neither known nor being settled, so its claim was never used.
        let _ = now;
        self.release(keyed, id, out);
    }

    /// Appends a part of an answer that the owner forwards.
    pub(crate) fn receive_answer_part(
        &self,
        now: Time,
        from: Incarnation,
        part: AnswerPart,
        out: &mut Outbox,
    ) {
        let id = {
            let mut runs = self.state.runs();
            let Some(id) = runs.find_by_key(part.key) else {
                return;
            };
            let Some(run) = runs.get_mut(id) else {
                return;
            };
            if !record_owner_contact(now, run, from, part.serial) {
                return;
            }
            let next_offset = u64::try_from(run.parts.len()).unwrap_or(u64::MAX);
            if part.offset != next_offset {
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

    /// Records that the owner is still working on the answer.
    pub(crate) fn handle_answer_pending(
        &self,
        now: Time,
        from: Incarnation,
        key: RequestKey,
        serial: u64,
    ) {
        let mut runs = self.state.runs();
        let Some(id) = runs.find_by_key(key) else {
            return;
        };
        if let Some(run) = runs.get_mut(id) {
            record_owner_contact(now, run, from, serial);
        }
    }

    /// Claims the key again, because the owner that the arbiter named has no such run.
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
            let Some(id) = runs.find_by_key(key) else {
                return;
            };
            let Some(run) = runs.get_mut(id) else {
                return;
            };
            if !record_owner_contact(now, run, from, serial) {
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
            run.replaces = None;
            run.stage = Stage::Following { owner, serial, ended, sent: now, last_contact: now };
        }
        self.request_answer_parts(now, id, out);
    }

    fn request_answer_parts(&self, now: Time, id: RunId, out: &mut Outbox) {
        let mut runs = self.state.runs();
        let Some(run) = runs.get_mut(id) else {
            return;
        };
        let offset = u64::try_from(run.parts.len()).unwrap_or(u64::MAX);
        let Stage::Following { owner, serial, sent, .. } = &mut run.stage else {
            return;
        };
        *sent = now;
        let Some(keyed) = run.key.clone() else {
            return;
        };
        let (key, home) = (keyed.key, keyed.home);
        out.send(*owner, Message::AnswerRequest { key, home, serial: *serial, offset });
    }

    /// Claims a key whose owner does not answer.
    fn take_over(&self, now: Time, id: RunId, out: &mut Outbox) {
        let ended = {
            let mut runs = self.state.runs();
            let Some(run) = runs.get_mut(id) else {
                return;
            };
            let Stage::Following { owner, serial, ended, .. } = run.stage else {
                return;
            };
            run.replaces = Some((owner, serial));
            run.deadline = run.deadline.max(now.after(OWNER_TIMEOUT));
            run.stage = Stage::Claiming { since: now, sent: now };
            ended
        };
        if ended {
            self.refuse(now, id, Refusal::may_have_run(Cause::AnswerGone), out);
            return;
        }
        self.send_claim_request(now, id, out);
    }

    /// Continues a repeatable request although its arbiter does not answer.
    fn assume_claim(&self, now: Time, id: RunId, out: &mut Outbox) {
        // The arbiter may have answered after the timeout was detected.
        if !self.end_claiming(id) {
            return;
        }
        let key = {
            let mut runs = self.state.runs();
            let Some(run) = runs.get_mut(id) else {
                return;
            };
            run.claim = ClaimState::Unconfirmed;
            run.key.as_ref().map(|keyed| keyed.key)
        };
        // This process may be the backup and know where the key has run.
        let hint = key.and_then(|key| self.state.claims().last_upstream(key));
        self.record_hint(id, hint);
        self.reserve(now, id, out);
    }

    fn is_claiming(&self, id: RunId, key: RequestKey) -> bool {
        let mut runs = self.state.runs();
        let Some(run) = runs.get_mut(id) else {
            return false;
        };
        let same = run.key.as_ref().is_some_and(|k| k.key == key);
        same && run.is_claiming()
    }

    /// Ends the wait for the arbiter. Returns whether this thread ended it.
    fn end_claiming(&self, id: RunId) -> bool {
        let mut runs = self.state.runs();
        let Some(run) = runs.get_mut(id).filter(|run| run.is_claiming()) else {
            return false;
        };
        run.stage = Stage::Reserving;
        true
    }

    /// Records a claim of this process, so that it can be reported to a new arbiter.
    fn record_own_claim(
        &self,
        now: Time,
        id: RunId,
        epoch: Epoch,
        owner_changes: u32,
        earlier: Option<&UpstreamId>,
    ) -> bool {
        let record = {
            let mut runs = self.state.runs();
            let Some(run) = runs.get_mut(id) else {
                return false;
            };
            let Some(keyed) = run.key.clone() else {
                return false;
            };
            ClaimRecord {
                key: keyed.key,
                home: keyed.home,
                owner: self.id(),
                serial: id.0,
                owner_changes,
                at_most_once: run.at_most_once,
                progress: earlier
                    .map_or(ClaimProgress::Held, |id| ClaimProgress::Dispatched(id.clone())),
            }
        };
        self.state.claims().record_claim(now, epoch, &record)
    }

    /// Applies a grant of the arbiter. Returns whether this thread may continue the run: another
    /// thread does if the grant was received twice or the wait has just timed out.
    fn apply_grant(&self, id: RunId, earlier: Option<UpstreamId>) -> bool {
        if !self.end_claiming(id) {
            return false;
        }
        let mut runs = self.state.runs();
        let Some(run) = runs.get_mut(id) else {
            return false;
        };
        run.claim = if run.replaces.is_some() { ClaimState::Inherited } else { ClaimState::Fresh };
        run.previous_upstream = earlier;
        true
    }
}

/// Records a message from the owner. Returns whether the run follows that owner.
fn record_owner_contact(now: Time, run: &mut Run, from: Incarnation, owner_serial: u64) -> bool {
    let Stage::Following { owner, serial, last_contact: heard, .. } = &mut run.stage else {
        return false;
    };
    if *owner != from || *serial != owner_serial {
        return false;
    }
    *heard = now;
    true
}
