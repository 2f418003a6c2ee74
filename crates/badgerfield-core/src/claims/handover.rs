//! Handovers: members send claims to the arbiters and backups of a newer view.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::arbiter_history::ArbiterHistory;
use super::{Claims, arbiter_and_backup};
use crate::amount::Time;
use crate::confirmations::{ConfirmationReport, Confirmations};
use crate::event::Outbox;
use crate::ids::{Epoch, Incarnation, RequestKey};
use crate::message::{HandoverPart, Message};
use crate::view::{MemberState, View};

/// The interval at which unacknowledged handovers are sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);
/// The maximum number of claims in one handover message.
const MAX_PART_CLAIMS: usize = 500;

/// Claims that a member has not acknowledged.
#[derive(Debug, Default)]
pub(super) struct PendingHandover {
    keys: BTreeSet<RequestKey>,
    part: u32,
    sent_at: Option<Time>,
}

impl Claims {
    /// Applies a newer view and starts the handovers that it requires.
    pub fn apply_view(&mut self, now: Time, view: &Arc<View>, out: &mut Outbox) {
        if view.epoch <= self.view.epoch {
            return;
        }
        let old = std::mem::replace(&mut self.view, Arc::clone(view));
        self.arbiters_since_complete.record(self.me, view);
        self.confirmations = Confirmations::new(view);
        self.uncertain_seen
            .retain(|epoch, _| view.uncertain_keys.iter().any(|k| k.epoch == *epoch));
        for uncertain in &view.uncertain_keys {
            self.uncertain_seen.entry(uncertain.epoch).or_insert(now);
        }
        self.handovers.retain(|id, _| view.has_member(*id));
        for pending in self.handovers.values_mut() {
            pending.sent_at = None;
            pending.part = 0;
        }
        self.plan_handovers(&old);
        self.confirm_own();
        self.resend_handovers(now, out);
    }

    /// Returns the state of the current view's handovers for a heartbeat.
    #[must_use]
    pub fn confirmation_status(&self) -> ConfirmationReport {
        ConfirmationReport { complete: self.complete_epoch, bits: self.confirmations.bits() }
    }

    /// Applies a report of another process about the handovers of an epoch.
    ///
    /// Returns whether it adds confirmations that should be forwarded soon.
    pub fn merge_confirmations(&mut self, epoch: Epoch, report: &ConfirmationReport) -> bool {
        if epoch != self.view.epoch || self.complete_epoch == epoch {
            return false;
        }
        let is_new = if report.complete == epoch {
            self.confirmations.confirm_all();
            true
        } else {
            self.confirmations.merge(&report.bits)
        };
        self.check_complete();
        is_new
    }

    /// Confirms the view for this process once no handover is pending.
    fn confirm_own(&mut self) {
        if self.handovers.is_empty() {
            self.confirmations.confirm(&self.view, self.me);
            self.check_complete();
        }
    }

    /// Determines the claims that this process must hand over under the new view.
    fn plan_handovers(&mut self, old: &View) {
        let view = &self.view;
        let standing = |v: &View| v.member(self.me).map(|m| m.standing);
        let is_leaving_now =
            standing(view) == Some(MemberState::Leaving) && standing(old) != standing(view);
        for entry in self.entries.values() {
            let key = entry.record.key;
            let home = entry.record.home.as_ref();
            let (before, after) =
                (arbiter_and_backup(old, key, home), arbiter_and_backup(view, key, home));
            // A claim is copied again if its other copy may have been on a removed member, or if
            // this process has started to leave.
            let lacks_other_copy =
                after[0] == Some(self.me) && entry.other_copy.is_none_or(|id| !view.has_member(id));
            if before == after && !lacks_other_copy && !is_leaving_now {
                continue;
            }
            for member in after.into_iter().flatten().filter(|id| *id != self.me) {
                self.handovers.entry(member).or_default().keys.insert(key);
            }
        }
    }

    /// Returns whether all handovers of this process are acknowledged.
    #[must_use]
    pub fn is_handover_complete(&self) -> bool {
        self.handovers.is_empty()
    }

    /// Applies claims that another member hands over; returns whether they belong to the current
    /// view.
    pub fn receive_handover(&mut self, now: Time, from: Incarnation, part: &HandoverPart) -> bool {
        for record in &part.claims {
            self.merge(now, from, record);
        }
        part.epoch == self.view.epoch
    }

    /// Records that a member has a part of a handover, and sends the next part.
    pub fn handle_handover_ack(
        &mut self,
        now: Time,
        from: Incarnation,
        epoch: Epoch,
        part: u32,
        out: &mut Outbox,
    ) {
        if epoch != self.view.epoch {
            return;
        }
        let Some(pending) = self.handovers.get_mut(&from) else {
            return;
        };
        if part != pending.part {
            return;
        }
        for _ in 0..MAX_PART_CLAIMS.min(pending.keys.len()) {
            let key = pending.keys.pop_first();
            if let Some(entry) = key.and_then(|key| self.entries.get_mut(&key)) {
                entry.other_copy = Some(from);
            }
        }
        if pending.keys.is_empty() {
            self.handovers.remove(&from);
            self.confirm_own();
            return;
        }
        pending.part += 1;
        pending.sent_at = None;
        self.resend_handovers(now, out);
    }

    pub(super) fn resend_handovers(&mut self, now: Time, out: &mut Outbox) {
        for (to, pending) in &mut self.handovers {
            if pending.sent_at.is_some_and(|sent_at| now.since(sent_at) < RESEND_INTERVAL) {
                continue;
            }
            pending.sent_at = Some(now);
            let claims = pending
                .keys
                .iter()
                .take(MAX_PART_CLAIMS)
                .filter_map(|key| self.entries.get(key))
                .map(|entry| entry.record.clone())
                .collect();
            let part = HandoverPart { epoch: self.view.epoch, index: pending.part, claims };
            out.send(*to, Message::Handover(part));
        }
    }

    fn check_complete(&mut self) {
        if self.view.has_member(self.me) && self.confirmations.is_complete() {
            self.complete_epoch = self.view.epoch;
            self.arbiters_since_complete = ArbiterHistory::default();
            self.arbiters_since_complete.record(self.me, &self.view);
        }
    }
}
