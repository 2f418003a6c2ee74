//! Processes of VMs: they start, end, freeze, stop, and are cut off.

use std::time::Duration;

use badgerfield_core::ids::{Incarnation, TemplateVersion};
use badgerfield_core::policy::Policy;
use badgerfield_core::{Config, Event, Node, Pacing};
use rand::RngExt;

use super::{End, Fleet, Turn, WALL};

impl Fleet {
    /// Starts the process of a VM as a new incarnation.
    pub fn start(&mut self, index: usize) {
        let incarnation = Incarnation(self.next_incarnation * 7919 + self.shape.seed);
        self.next_incarnation += 1;
        let seed = self.rng.random();
        let pacing = self.pacing();
        let vm = &mut self.vms[index];
        vm.member.incarnation = incarnation;
        vm.started = self.now;
        vm.frozen = false;
        vm.backlog.clear();
        vm.version = TemplateVersion(0);
        vm.evacuated.clear();
        vm.gateway = super::rollouts::Gateway::default();
        vm.node = Some(Node::new(Config {
            member: vm.member.clone(),
            ledger_shards: self.shape.shards,
            key_retention: Duration::from_mins(15),
            answer_retention: Duration::from_mins(2),
            max_answer_bytes: 1_000_000,
            directory_ttl: Duration::from_secs(2),
            pacing,
            seed,
        }));
        self.owners.insert(incarnation, index);
        self.take(index, Event::VmList(self.list.clone()));
        self.take(index, Event::Start);
        let phase = Duration::from_micros(self.rng.random_range(0..50_000));
        self.at(self.now.after(phase), Turn::Tick(incarnation));
    }

    pub(super) fn pacing(&self) -> Pacing {
        if !self.shape.seals {
            return Pacing::default();
        }
        Pacing {
            hold_ahead: Duration::from_secs(11),
            report_interval: Duration::from_millis(500),
            heartbeat_interval: Duration::from_millis(400),
            return_timeout: Duration::from_secs(1),
            leave_notice: Duration::from_secs(3),
            policy: Policy::default(),
            seal_holdings: true,
            rollout: super::rollouts::bound(),
        }
    }

    /// Returns what the clock of a VM shows; those of a minority are wrong.
    pub(super) fn wall_clock(&self, index: usize) -> u64 {
        let truth = WALL.saturating_add(u64::try_from(self.now.0.as_millis()).unwrap_or(u64::MAX));
        let ahead = self.ahead.get(&index).copied().unwrap_or_default();
        truth.saturating_add_signed(ahead)
    }

    /// Sets the clock of a VM wrong by some milliseconds.
    pub fn step_clock(&mut self, index: usize, millis: i64) {
        self.ahead.insert(index, millis);
    }

    /// Returns how many processes were killed.
    #[must_use]
    pub fn kills(&self) -> u64 {
        self.kills
    }

    /// Kills the process of a VM.
    pub fn kill(&mut self, index: usize) {
        self.kills += 1;
        self.end_process(index);
    }

    pub(super) fn end_process(&mut self, index: usize) {
        self.note_death(index);
        let vm = &mut self.vms[index];
        vm.node = None;
        vm.frozen = false;
        vm.backlog.clear();
        for asked in self.asked.values_mut() {
            if asked.vm == index && asked.end.is_none() {
                asked.end = Some((End::Lost, self.now));
            }
        }
    }

    /// Freezes the process of a VM: nothing reaches it until it thaws.
    pub fn freeze(&mut self, index: usize) {
        self.vms[index].frozen = self.vms[index].node.is_some();
    }

    /// Lets a frozen process go on with all that has reached it meanwhile.
    pub fn thaw(&mut self, index: usize) {
        if !std::mem::replace(&mut self.vms[index].frozen, false) {
            return;
        }
        for event in std::mem::take(&mut self.vms[index].backlog) {
            self.take(index, event);
        }
        let incarnation = self.vms[index].member.incarnation;
        self.at(self.now, Turn::Tick(incarnation));
    }

    /// Asks the process of a VM to stop as planned.
    pub fn stop(&mut self, index: usize) {
        self.deliver(index, Event::Stop);
    }

    /// Cuts a region off from the others, and from the platform if asked.
    pub fn cut(&mut self, region: usize, platform: bool) {
        self.cut.insert(region);
        if platform {
            self.platform.cut.insert(region);
        }
    }

    /// Ends all cuts.
    pub fn heal(&mut self) {
        self.cut.clear();
        self.platform.cut.clear();
    }
}
