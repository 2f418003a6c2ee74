//! Acknowledges claims that other members hand over.

use crate::amount::Time;
use crate::event::Outbox;
use crate::ids::{Epoch, Incarnation};
use crate::message::{HandoverPart, Message};
use crate::node::Node;

impl Node {
    /// Stores claims that another member hands over, and acknowledges them under its view.
    ///
    /// A part that comes before its view is acknowledged when the view comes. Otherwise its sender
    /// would wait for the time after which it sends again, and in a series of changes of the view
    /// the next one comes earlier, so that a process that stops would never be done.
    pub(crate) fn handle_handover(
        &self,
        now: Time,
        from: Incarnation,
        part: &HandoverPart,
        out: &mut Outbox,
    ) {
        let (epoch, index) = (part.epoch, part.index);
        if self.state.claims().receive_handover(now, from, part) {
            out.send(from, Message::HandoverAck { epoch, index });
            return;
        }
        let mut members = self.state.membership();
        if epoch > members.view.epoch {
            members.early_handovers.insert(from, (epoch, index));
        }
    }

    /// Acknowledges the handovers that came before the view that has just been applied.
    pub(super) fn acknowledge_early_handovers(&self, view: Epoch, out: &mut Outbox) {
        let mut members = self.state.membership();
        for (from, (epoch, index)) in &members.early_handovers {
            if *epoch == view {
                out.send(*from, Message::HandoverAck { epoch: *epoch, index: *index });
            }
        }
        members.early_handovers.retain(|_, (epoch, _)| *epoch > view);
    }
}
