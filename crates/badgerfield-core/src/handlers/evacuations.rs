//! News of evacuated failure domains: takes them in, passes them on, and compares beliefs.
//!
//! Whoever hears of a change from the platform tells all members by a broadcast. Signs of life
//! carry a digest; members whose digests differ tell each other all that they know, so that one
//! that has just joined, was cut off, or has no platform catches up with its first neighbour.

use std::time::Duration;

use crate::amount::Time;
use crate::broadcast;
use crate::evacuation::DomainChange;
use crate::event::{Command, OperatorChanges, OperatorValues, Outbox, is_due};
use crate::ids::Incarnation;
use crate::message::{EvacuationUpdate, Message};
use crate::node::Node;

/// The least time between two comparisons with one member: shorter than signs of life are
/// apart (0.4 s and more), so that one whose answer was lost is asked again at its next.
pub(super) const COMPARE: Duration = Duration::from_millis(200);

impl Node {
    /// Takes in all that operators have at the platform.
    pub(crate) fn apply_operator_values(&self, now: Time, found: OperatorValues, out: &mut Outbox) {
        let OperatorValues { revision, templates, evacuated, rollouts } = found;
        self.read_orders(now, revision, rollouts, out);
        let turned = self.state.evacuations().apply_snapshot(revision, evacuated);
        self.tell_evacuations(now, &turned, out);
        out.evacuated(None, turned);
        if let Some(bytes) = templates {
            self.decode_templates(now, &bytes, out);
        }
    }

    /// Takes in what operators changed at the platform.
    pub(crate) fn apply_operator_changes(
        &self,
        now: Time,
        found: OperatorChanges,
        out: &mut Outbox,
    ) {
        let OperatorChanges { templates, domains, rollouts, .. } = found;
        self.orders_changed(now, rollouts, out);
        let turned = self.state.evacuations().apply(domains);
        self.tell_evacuations(now, &turned, out);
        out.evacuated(None, turned);
        if let Some(bytes) = templates {
            self.decode_templates(now, &bytes, out);
        }
    }

    /// Takes in what another process tells, and passes it on to its part of the ring.
    pub(crate) fn receive_evacuation_update(
        &self,
        now: Time,
        from: Incarnation,
        news: EvacuationUpdate,
        out: &mut Outbox,
    ) {
        if news.reach > 0 {
            for (to, reach) in self.state.membership().broadcast_targets(now, news.reach) {
                let news = EvacuationUpdate { reach, ..news.clone() };
                out.send(to, Message::Evacuations(news));
            }
        }
        let turned = self.state.evacuations().apply(news.changes);
        out.evacuated(Some(from), turned);
    }

    /// Tells a neighbour whose digest differs all that is known here, and so asks it for what
    /// it knows beyond that.
    pub(crate) fn compare_evacuations(
        &self,
        now: Time,
        from: Incarnation,
        theirs: u64,
        out: &mut Outbox,
    ) {
        let changes = {
            let mut members = self.state.membership();
            let known = self.state.evacuations();
            if known.digest() == theirs
                || !is_due(now, members.evacuations_compared.get(&from).copied(), COMPARE)
            {
                return;
            }
            members.evacuations_compared.insert(from, now);
            known.changes()
        };
        out.send(from, Message::CompareEvacuations(changes));
    }

    /// Takes in what a neighbour knows, and answers if more is known here.
    pub(crate) fn reconcile_evacuations(
        &self,
        from: Incarnation,
        theirs: &[DomainChange],
        out: &mut Outbox,
    ) {
        let (turned, more) = {
            let mut known = self.state.evacuations();
            let turned = known.apply(theirs.iter().cloned());
            let changes = known.changes();
            (turned, (changes != theirs).then_some(changes))
        };
        out.evacuated(Some(from), turned);
        if let Some(changes) = more {
            out.send(from, Message::Evacuations(EvacuationUpdate { changes, reach: 0 }));
        }
    }

    /// Tells all members what the platform said.
    fn tell_evacuations(&self, now: Time, turned: &[DomainChange], out: &mut Outbox) {
        if turned.is_empty() {
            return;
        }
        let members = self.state.membership();
        for (to, reach) in members.broadcast_targets(now, broadcast::full_reach(&members.view)) {
            let news = EvacuationUpdate { changes: turned.to_vec(), reach };
            out.send(to, Message::Evacuations(news));
        }
    }
}

impl Outbox {
    fn evacuated(&mut self, from: Option<Incarnation>, changes: Vec<DomainChange>) {
        if !changes.is_empty() {
            self.push(Command::ApplyEvacuations(from, changes));
        }
    }
}
