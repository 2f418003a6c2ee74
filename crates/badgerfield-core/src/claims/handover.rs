//! Hand-overs: claims move to the members that keep them under a newer view.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::{Claims, places};
use crate::amount::Time;
use crate::confirmations::{ConfirmationReport, Confirmations};
use crate::event::Outbox;
use crate::ids::{Epoch, Incarnation, RequestKey};
use crate::message::{HandoverPart, Message};
use crate::view::{MemberState, View};

/// How often unacknowledged hand-overs are sent again.
const RESEND: Duration = Duration::from_millis(500);
/// How many claims one hand-over message carries.
const BATCH: usize = 500;

/// Claims on their way to a member.
#[derive(Debug, Default)]
pub(super) struct Moving {
    keys: BTreeSet<RequestKey>,
    part: u32,
    sent: Option<Time>,
}

impl Claims {
    /// Puts a newer view in force and starts the hand-overs that it asks for.
    pub fn apply_view(&mut self, now: Time, view: &Arc<View>, out: &mut Outbox) {
        if view.epoch <= self.view.epoch {
            return;
        }
        let old = std::mem::replace(&mut self.view, Arc::clone(view));
        self.since.push(Arc::clone(view));
        self.confirmations = Confirmations::new(view);
        for doubt in &view.uncertain_keys {
            self.doubted.entry(doubt.epoch).or_insert(now);
        }
        self.moving.retain(|id, _| view.has(*id));
        for moving in self.moving.values_mut() {
            moving.sent = None;
            moving.part = 0;
        }
        self.plan_moves(&old);
        self.confirm_own();
        self.resend(now, out);
    }

    /// Returns what a sign of life says about the hand-overs of the view in force.
    #[must_use]
    pub fn confirmation_status(&self) -> ConfirmationReport {
        ConfirmationReport { complete: self.complete, bits: self.confirmations.bits() }
    }

    /// Takes in what another process says about the hand-overs of an epoch.
    ///
    /// Returns whether that is news which others should hear soon.
    pub fn merge_confirmations(&mut self, epoch: Epoch, theirs: &ConfirmationReport) -> bool {
        if epoch != self.view.epoch || self.complete == epoch {
            return false;
        }
        let news = if theirs.complete == epoch {
            self.confirmations.confirm_all();
            true
        } else {
            self.confirmations.merge(&theirs.bits)
        };
        self.check_complete();
        news
    }

    /// Confirms the view for this process once nothing is left to hand over.
    fn confirm_own(&mut self) {
        if self.moving.is_empty() {
            self.confirmations.confirm(&self.view, self.me);
            self.check_complete();
        }
    }

    /// Finds the claims that a new view makes this process hand over.
    fn plan_moves(&mut self, old: &View) {
        let view = &self.view;
        let standing = |v: &View| v.member(self.me).map(|m| m.standing);
        let leaves =
            standing(view) == Some(MemberState::Leaving) && standing(old) != standing(view);
        for entry in self.entries.values() {
            let key = entry.record.key;
            let home = entry.record.home.as_ref();
            let (before, after) = (places(old, key, home), places(view, key, home));
            // The other memory of a claim may have gone, or this one is about to go.
            let alone = after[0] == Some(self.me) && entry.keeper.is_none_or(|k| !view.has(k));
            if before == after && !alone && !leaves {
                continue;
            }
            for place in after.into_iter().flatten().filter(|id| *id != self.me) {
                self.moving.entry(place).or_default().keys.insert(key);
            }
        }
    }

    /// Tells whether everything that this process had to hand over has arrived.
    #[must_use]
    pub fn is_handed_over(&self) -> bool {
        self.moving.is_empty()
    }

    /// Takes in claims that another member hands over; tells whether they are for this view.
    pub fn receive_handover(&mut self, now: Time, from: Incarnation, part: &HandoverPart) -> bool {
        for record in &part.claims {
            self.merge(now, from, record);
        }
        part.epoch == self.view.epoch
    }

    /// Notes that a member has everything of a hand-over, and sends what is left.
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
        let Some(moving) = self.moving.get_mut(&from) else {
            return;
        };
        if part != moving.part {
            return;
        }
        for _ in 0..BATCH.min(moving.keys.len()) {
            let key = moving.keys.pop_first();
            if let Some(entry) = key.and_then(|key| self.entries.get_mut(&key)) {
                entry.keeper = Some(from);
            }
        }
        if moving.keys.is_empty() {
            self.moving.remove(&from);
            self.confirm_own();
            return;
        }
        moving.part += 1;
        moving.sent = None;
        self.resend(now, out);
    }

    pub(super) fn resend(&mut self, now: Time, out: &mut Outbox) {
        for (to, moving) in &mut self.moving {
            if moving.sent.is_some_and(|sent| now.since(sent) < RESEND) {
                continue;
            }
            moving.sent = Some(now);
            let claims = moving
                .keys
                .iter()
                .take(BATCH)
                .filter_map(|key| self.entries.get(key))
                .map(|entry| entry.record.clone())
                .collect();
            let part = HandoverPart { epoch: self.view.epoch, index: moving.part, claims };
            out.send(*to, Message::Handover(part));
        }
    }

    fn check_complete(&mut self) {
        if self.view.has(self.me) && self.confirmations.is_complete() {
            self.complete = self.view.epoch;
            self.since = vec![Arc::clone(&self.view)];
        }
    }
}
