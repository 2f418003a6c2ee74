//! The event loop of the simulation: runs scheduled actions and executes the commands of nodes.

use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::event::Command;
use badgerfield_core::ids::Incarnation;
use badgerfield_core::message::{Envelope, Message};
use badgerfield_core::{Event, TICK_INTERVAL};
use rand::RngExt;

use super::{CROSS_REGION_LATENCY, Fleet, MAX_JITTER_US, REGION_LATENCY, ScheduledAction, link};

impl Fleet {
    /// Advances the time and runs the actions that are due.
    pub fn advance(&mut self, span: Duration) {
        let until = self.now.after(span);
        while let Some(entry) = self.scheduled.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), action) = entry.remove_entry();
            self.now = self.now.max(at);
            self.run_action(action);
        }
        self.now = until;
    }

    pub(super) fn run_action(&mut self, action: ScheduledAction) {
        match action {
            ScheduledAction::Deliver(to, event) => {
                if let Some(index) = self.index_of(to) {
                    self.deliver(index, event);
                }
            }
            ScheduledAction::Tick(to) => {
                let Some(index) = self.index_of(to).filter(|i| !self.vms[*i].is_suspended) else {
                    return;
                };
                let wall = self.wall_clock(index);
                self.handle_event(index, Event::WallClock(wall));
                self.handle_event(index, Event::Tick);
                self.gateway_tick(index);
                self.join_host_tick(index);
                self.listing_tick(index);
                self.schedule(self.now.after(TICK_INTERVAL), ScheduledAction::Tick(to));
            }
            ScheduledAction::CheckOperators(to) => {
                if let Some(index) = self.index_of(to) {
                    self.check_operators(index);
                }
            }
            ScheduledAction::ListRead(to, since) => {
                if let Some(index) = self.index_of(to).filter(|i| !self.vms[*i].is_suspended) {
                    self.apply_list_answer(index, since);
                }
            }
            ScheduledAction::ExtendStream(stream) => self.extend_stream(stream),
            ScheduledAction::StoreCall(from, id, call, at) => self.apply_call(from, id, &call, at),
            ScheduledAction::RepeatedWrite(put, delete) => {
                self.store.write_all(self.now, &put, &delete);
            }
            ScheduledAction::DeliverVmList => {
                for index in 0..self.vms.len() {
                    self.deliver(index, Event::VmList(self.list.clone()));
                }
            }
        }
    }

    /// Passes an event to a VM, or keeps it while the VM is suspended.
    pub(super) fn deliver(&mut self, index: usize, event: Event) {
        let vm = &mut self.vms[index];
        if vm.is_suspended {
            vm.backlog.push(event);
            return;
        }
        self.handle_event(index, event);
    }

    pub(super) fn handle_event(&mut self, index: usize, event: Event) {
        let vm = &self.vms[index];
        let Some(node) = &vm.node else {
            return;
        };
        let local = Time(self.now.since(vm.started));
        let commands = node.handle(local, event);
        let incarnation = vm.member.incarnation;
        for command in commands {
            self.execute(index, incarnation, command);
        }
        self.check_version(index);
    }

    pub(super) fn execute(&mut self, index: usize, from: Incarnation, command: Command) {
        match command {
            Command::Send(to, message) => {
                // As in a real process, a message is sent only if the peer's address is known.
                let node = self.vms[index].node.as_ref();
                if node.is_some_and(|node| node.peer_address(to).is_some()) {
                    let address = self.vms[index].member.peer;
                    self.send(index, &Envelope { from, sender_address: address, to, message });
                }
            }
            Command::CallStore(call_id, call) => {
                let sent = self.now;
                let direction = (self.region_of(index), link::STORE_REGION);
                let arrives_at = self
                    .send_between_regions(direction, link::call_bytes(&call), None)
                    .unwrap_or(sent);
                let at = arrives_at.after(self.store.call_delay(index));
                self.schedule(at, ScheduledAction::StoreCall(from, call_id, call, sent));
            }
            Command::Dispatch(attempt, dispatch) => self.dispatch(from, attempt, dispatch),
            Command::Cancel(attempt) => self.cancel(from, attempt),
            Command::Answer(id, _, answer) => self.record_answer(id, answer),
            Command::ApplyUpstreamChanges(..)
            | Command::ApplyUpstreamList(..)
            | Command::ConfirmUpstreamList(_)
            | Command::SendUpstreamList(..) => self.execute_list_command(index, command),
            Command::DivideEngines(_)
            | Command::ApplyDelayReports(_)
            | Command::ApplyLimitReports(..)
            | Command::ApplyBrittleReports(..)
            | Command::ApplyVersions(..)
            | Command::BlockRequests(_)
            | Command::Log(_)
            | Command::StopStarted(_)
            | Command::AnswerReserve(..) => {}
            Command::ApplyRolloutRules(set) => self.apply_rules(index, set.rules),
            Command::ApplyEvacuations(_, changes) => self.apply_evacuations(index, &changes),
            Command::Bill(bill) => self.truth.record_bill(&bill),
            Command::Exit => self.end_process(index),
        }
    }

    /// Sends bytes over the link between two regions and returns when they arrive.
    ///
    /// Returns `None` if both regions are the same, the link has no limited bandwidth, or the bytes
    /// would still wait for the link at the time `until`.
    pub(super) fn send_between_regions(
        &mut self,
        direction: (usize, usize),
        bytes: usize,
        until: Option<Time>,
    ) -> Option<Time> {
        let link = self.link.as_mut().filter(|_| direction.0 != direction.1)?;
        link.send(self.now, direction, bytes, until)
    }

    /// Sends bytes over the links of their sender and receiver, where these have limited bandwidth,
    /// and returns when they arrive.
    fn send_over_vm_links(&mut self, direction: (usize, usize), bytes: usize, at: Time) -> Time {
        let (from, to) = direction;
        let left_at = self
            .full_links
            .get_mut(&from)
            .and_then(|link| link.send(at, (link::INSIDE, link::OUTSIDE), bytes, None));
        let at = left_at.unwrap_or(at);
        let arrives_at = self
            .full_links
            .get_mut(&to)
            .and_then(|link| link.send(at, (link::OUTSIDE, link::INSIDE), bytes, None));
        arrives_at.unwrap_or(at)
    }

    pub(super) fn send(&mut self, index: usize, envelope: &Envelope) {
        let kind = envelope.message.kind();
        let bytes = badgerfield_node::peers::encode(std::slice::from_ref(envelope)).len();
        let size = u64::try_from(bytes).unwrap_or(0);
        let entry = self.messages.entry(kind).or_default();
        *entry = (entry.0 + 1, entry.1 + size);
        let Some(to) = self.index_of(envelope.to) else {
            self.record_undeliverable(envelope);
            return;
        };
        if self.lost_paths.contains(&(index, to)) {
            return;
        }
        let (a, b) = (self.region_of(index), self.region_of(to));
        if a != b {
            let entry = self.cross_region_messages.entry(kind).or_default();
            *entry = (entry.0 + 1, entry.1 + size);
        }
        if self.vms[index].member.domain != self.vms[to].member.domain {
            let entry = self.cross_domain_messages.entry(kind).or_default();
            *entry = (entry.0 + 1, entry.1 + size);
        }
        if a != b
            && (self.partitioned_regions.contains(&a) || self.partitioned_regions.contains(&b))
        {
            return;
        }
        let without_link =
            self.now.after(if a == b { REGION_LATENCY } else { CROSS_REGION_LATENCY });
        let base = self.send_between_regions((a, b), bytes, None).unwrap_or(without_link);
        let base = self.send_over_vm_links((index, to), bytes, base);
        let rng = match envelope.message {
            Message::Operators(_) => &mut self.operators_rng,
            _ => &mut self.rng,
        };
        let copies = match rng.random_range(0..1000) {
            n if n < self.config.noise_permille => 0,
            n if n < 2 * self.config.noise_permille => 2,
            _ => 1,
        };
        let delays: Vec<_> = (0..copies)
            .map(|_| Duration::from_micros(rng.random_range(0..MAX_JITTER_US)))
            .collect();
        for delay in delays {
            let at = base.after(delay);
            self.schedule(at, ScheduledAction::Deliver(envelope.to, Event::Peer(envelope.clone())));
        }
    }
}
