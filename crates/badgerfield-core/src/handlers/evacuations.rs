//! Evacuations of failure domains: applies them, broadcasts them, and compares them with
//! neighbours.
//!
//! A member that reads a change from the store broadcasts it to all members. Heartbeats carry a
//! digest, and members whose digests differ exchange all evacuations that they know. A member that
//! has just joined, was cut off, or cannot reach the store is thus up to date after its first
//! exchange with a neighbour.

use std::time::Duration;

use crate::amount::Time;
use crate::broadcast;
use crate::evacuation::DomainChange;
use crate::event::{Command, OperatorChanges, OperatorValues, Outbox, is_due};
use crate::ids::{Incarnation, TemplateVersion};
use crate::message::{EvacuationUpdate, Message};
use crate::node::Node;

/// Minimum time between two comparisons with one member. It is shorter than the heartbeat interval
/// (0.4 s and more), so that a member whose reply was lost is asked again at its next heartbeat.
pub(super) const MIN_COMPARE_INTERVAL: Duration = Duration::from_millis(200);

impl Node {
    /// Applies a snapshot of all values that operators have written to the store. Returns the version
    /// of the templates, if there are valid ones.
    pub(crate) fn apply_operator_values(
        &self,
        now: Time,
        found: OperatorValues,
        out: &mut Outbox,
    ) -> Option<TemplateVersion> {
        let OperatorValues { revision, templates, evacuated, rollouts } = found;
        self.apply_order_snapshot(now, revision, rollouts, out);
        let new_changes = self.state.evacuations().apply_snapshot(revision, evacuated);
        self.broadcast_evacuations(now, &new_changes, out);
        out.push_evacuations(None, new_changes);
        templates.and_then(|bytes| self.apply_encoded_templates(now, &bytes, out))
    }

    /// Applies changes that operators have written to the store.
    pub(crate) fn apply_operator_changes(
        &self,
        now: Time,
        found: OperatorChanges,
        out: &mut Outbox,
    ) {
        let OperatorChanges { templates, domains, rollouts, .. } = found;
        self.apply_order_changes(now, rollouts, out);
        let new_changes = self.state.evacuations().apply(domains);
        self.broadcast_evacuations(now, &new_changes, out);
        out.push_evacuations(None, new_changes);
        if let Some(bytes) = templates {
            self.apply_encoded_templates(now, &bytes, out);
        }
    }

    /// Applies an evacuation update and forwards it to this process's part of the ring.
    pub(crate) fn receive_evacuation_update(
        &self,
        now: Time,
        from: Incarnation,
        update: EvacuationUpdate,
        out: &mut Outbox,
    ) {
        if update.reach > 0 {
            for (to, reach) in self.state.membership().broadcast_targets(now, update.reach) {
                let update = EvacuationUpdate { reach, ..update.clone() };
                out.send(to, Message::Evacuations(update));
            }
        }
        let new_changes = self.state.evacuations().apply(update.changes);
        out.push_evacuations(Some(from), new_changes);
    }

    /// Sends all known evacuations to a neighbour whose digest differs. The neighbour replies if
    /// it knows more.
    pub(crate) fn compare_evacuation_digest(
        &self,
        now: Time,
        from: Incarnation,
        peer_digest: u64,
        out: &mut Outbox,
    ) {
        let changes = {
            let mut members = self.state.membership();
            let known = self.state.evacuations();
            if known.digest() == peer_digest
                || !is_due(
                    now,
                    members.evacuations_compared.get(&from).copied(),
                    MIN_COMPARE_INTERVAL,
                )
            {
                return;
            }
            members.evacuations_compared.insert(from, now);
            known.changes()
        };
        out.send(from, Message::CompareEvacuations(changes));
    }

    /// Applies the evacuations of a neighbour and replies if this process knows more.
    pub(crate) fn reconcile_evacuations(
        &self,
        from: Incarnation,
        peer_changes: &[DomainChange],
        out: &mut Outbox,
    ) {
        let (new_changes, reply) = {
            let mut known = self.state.evacuations();
            let new_changes = known.apply(peer_changes.iter().cloned());
            let changes = known.changes();
            (new_changes, (changes != peer_changes).then_some(changes))
        };
        out.push_evacuations(Some(from), new_changes);
        if let Some(changes) = reply {
            out.send(from, Message::Evacuations(EvacuationUpdate { changes, reach: 0 }));
        }
    }

    /// Broadcasts evacuations that have changed in the store.
    fn broadcast_evacuations(&self, now: Time, new_changes: &[DomainChange], out: &mut Outbox) {
        if new_changes.is_empty() {
            return;
        }
        let members = self.state.membership();
        for (to, reach) in members.broadcast_targets(now, broadcast::full_reach(&members.view)) {
            let update = EvacuationUpdate { changes: new_changes.to_vec(), reach };
            out.send(to, Message::Evacuations(update));
        }
    }
}

impl Outbox {
    fn push_evacuations(&mut self, from: Option<Incarnation>, changes: Vec<DomainChange>) {
        if !changes.is_empty() {
            self.push(Command::ApplyEvacuations(from, changes));
        }
    }
}
