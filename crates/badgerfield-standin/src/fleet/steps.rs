//! Steps of time: whose turn it is, and what the orders of a node come to.

use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::event::Command;
use badgerfield_core::ids::Incarnation;
use badgerfield_core::message::Envelope;
use badgerfield_core::{Event, TICK_INTERVAL};
use rand::RngExt;

use super::{FAR, Fleet, NEAR, SPREAD, Turn, link};

impl Fleet {
    /// Lets time pass.
    pub fn advance(&mut self, span: Duration) {
        let until = self.now.after(span);
        while let Some(entry) = self.turns.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), turn) = entry.remove_entry();
            self.now = self.now.max(at);
            self.turn(turn);
        }
        self.now = until;
    }

    pub(super) fn turn(&mut self, turn: Turn) {
        match turn {
            Turn::Event(to, event) => {
                if let Some(index) = self.index_of(to) {
                    self.deliver(index, event);
                }
            }
            Turn::Tick(to) => {
                let Some(index) = self.index_of(to).filter(|i| !self.vms[*i].frozen) else {
                    return;
                };
                let wall = self.wall_clock(index);
                self.take(index, Event::WallClock(wall));
                self.take(index, Event::Tick);
                self.gateway_tick(index);
                self.at(self.now.after(TICK_INTERVAL), Turn::Tick(to));
            }
            Turn::Step(stream) => self.step(stream),
            Turn::KvApply(from, ticket, call, at) => self.apply_call(from, ticket, &call, at),
            Turn::List => {
                for index in 0..self.vms.len() {
                    self.deliver(index, Event::VmList(self.list.clone()));
                }
            }
        }
    }

    /// Hands an event to a VM, or keeps it while the VM is frozen.
    pub(super) fn deliver(&mut self, index: usize, event: Event) {
        let vm = &mut self.vms[index];
        if vm.frozen {
            vm.backlog.push(event);
            return;
        }
        self.take(index, event);
    }

    pub(super) fn take(&mut self, index: usize, event: Event) {
        let vm = &self.vms[index];
        let Some(node) = &vm.node else {
            return;
        };
        let local = Time(self.now.since(vm.started));
        let orders = node.handle(local, event);
        let incarnation = vm.member.incarnation;
        for order in orders {
            self.carry_out(index, incarnation, order);
        }
        self.check_version(index);
    }

    pub(super) fn carry_out(&mut self, index: usize, from: Incarnation, order: Command) {
        match order {
            Command::Send(to, message) => {
                // As in a process: a message goes only to an address that is known.
                let node = self.vms[index].node.as_ref();
                if node.is_some_and(|node| node.peer_address(to).is_some()) {
                    let address = self.vms[index].member.peer;
                    self.send(index, &Envelope { from, sender_address: address, to, message });
                }
            }
            Command::CallStore(ticket, call) => {
                let sent = self.now;
                let way = (self.region_of(index), link::STORE_REGION);
                let crossed = self.cross(way, link::call_size(&call), None).unwrap_or(sent);
                let at = crossed.after(self.platform.delay());
                self.at(at, Turn::KvApply(from, ticket, call, sent));
            }
            Command::Dispatch(attempt, dispatch) => self.dispatch(from, attempt, dispatch),
            Command::Cancel(attempt) => self.cancel(from, attempt),
            Command::Answer(id, _, answer) => self.answered(id, answer),
            // These fleets have no routes, and so no list of their upstreams.
            Command::ApplyUpstreamChanges(..)
            | Command::ApplyUpstreamList(_)
            | Command::ConfirmUpstreamList(_)
            | Command::DivideEngines(_)
            | Command::ApplyDelayReports(_)
            | Command::ApplyLimitReports(..)
            | Command::SendUpstreamList(..)
            | Command::BlockRequests(_)
            | Command::Log(_)
            | Command::AnswerReserve(..) => {}
            Command::ApplyRolloutRules(set) => self.put_rules(index, set.rules),
            Command::ApplyEvacuations(_, changes) => self.note_evacuated(index, &changes),
            Command::Bill(bill) => self.truth.bill(&bill),
            Command::Exit => self.end_process(index),
        }
    }

    /// Sends bytes over the link between two regions; returns when they arrive, or nothing if
    /// there is no thin link between them or nobody wants them any more.
    pub(super) fn cross(
        &mut self,
        way: (usize, usize),
        bytes: usize,
        until: Option<Time>,
    ) -> Option<Time> {
        let link = self.link.as_mut().filter(|_| way.0 != way.1)?;
        link.send(self.now, way, bytes, until)
    }

    /// Returns when bytes arrive that wait at the links of their sender and receiver, where
    /// these are full.
    fn wait_for_links(&mut self, way: (usize, usize), bytes: usize, at: Time) -> Time {
        let (from, to) = way;
        let left = self
            .full_links
            .get_mut(&from)
            .and_then(|link| link.send(at, (link::INSIDE, link::OUTSIDE), bytes, None));
        let at = left.unwrap_or(at);
        let arrived = self
            .full_links
            .get_mut(&to)
            .and_then(|link| link.send(at, (link::OUTSIDE, link::INSIDE), bytes, None));
        arrived.unwrap_or(at)
    }

    pub(super) fn send(&mut self, index: usize, envelope: &Envelope) {
        let kind = envelope.message.kind();
        let bytes = badgerfield_node::peers::encode(std::slice::from_ref(envelope)).len();
        let size = u64::try_from(bytes).unwrap_or(0);
        let entry = self.messages.entry(kind).or_default();
        *entry = (entry.0 + 1, entry.1 + size);
        let Some(to) = self.index_of(envelope.to) else {
            self.note_stranded(envelope);
            return;
        };
        let (a, b) = (self.region_of(index), self.region_of(to));
        if a != b {
            let entry = self.crossed.entry(kind).or_default();
            *entry = (entry.0 + 1, entry.1 + size);
        }
        if a != b && (self.cut.contains(&a) || self.cut.contains(&b)) {
            return;
        }
        let near = self.now.after(if a == b { NEAR } else { FAR });
        let base = self.cross((a, b), bytes, None).unwrap_or(near);
        let base = self.wait_for_links((index, to), bytes, base);
        let copies = match self.rng.random_range(0..1000) {
            n if n < self.shape.noise => 0,
            n if n < 2 * self.shape.noise => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let late = Duration::from_micros(self.rng.random_range(0..SPREAD));
            let at = base.after(late);
            self.at(at, Turn::Event(envelope.to, Event::Peer(envelope.clone())));
        }
    }
}
