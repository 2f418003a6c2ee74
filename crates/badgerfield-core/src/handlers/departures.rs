//! Departures from a large view: the notices of a process that leaves or quits, and the work of the
//! hosts that write them.

use crate::amount::Time;
use crate::event::Outbox;
use crate::ids::{Epoch, Incarnation};
use crate::membership::departures;
use crate::message::Message;
use crate::node::Node;

impl Node {
    /// Notifies hosts if this process is to leave or to quit and its view does not show it.
    pub(super) fn notify_hosts(&self, now: Time, out: &mut Outbox) {
        let mut members = self.state.membership();
        let (hosts, quits) = members.departure_notices(now);
        let epoch = members.view.epoch;
        for host in hosts {
            out.send(host, Message::Departure(epoch, quits));
        }
    }

    /// Gathers the departure of a process, or sends the view that shows it already.
    pub(crate) fn handle_departure(
        &self,
        now: Time,
        from: Incarnation,
        epoch: Epoch,
        quits: bool,
        out: &mut Outbox,
    ) {
        let mut members = self.state.membership();
        if !departures::is_shown(&members.view, from, quits) {
            members.departures.record(now, from, quits, epoch);
            return;
        }
        if members.view.epoch > epoch {
            let update = members.view_log.update_since(&members.view, epoch);
            out.send(from, Message::View(update));
        }
    }

    /// Sends the view to the processes whose departures it shows. A process that has quit has no
    /// neighbours that would send it.
    pub(super) fn inform_departed(&self, out: &mut Outbox) {
        let mut members = self.state.membership();
        let view = members.stored.clone();
        for (id, epoch) in members.departures.take_written(&view) {
            let update = members.view_log.update_since(&members.view, epoch);
            out.send(id, Message::View(update));
        }
    }
}
