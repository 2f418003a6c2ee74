//! Starts, stops, kills, suspends and partitions the processes of VMs.

use std::time::Duration;

use badgerfield_core::ids::{Incarnation, TemplateVersion};
use badgerfield_core::policy::Policy;
use badgerfield_core::{Config, Event, Node, Pacing};
use rand::RngExt;

use super::{CLOCK_START_MS, End, Fleet, ScheduledAction};

/// Factor that is odd, so that different numbers stay different when multiplied by it.
const INCARNATION_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

impl Fleet {
    /// Starts the process of a VM as a new incarnation.
    pub fn start(&mut self, index: usize) {
        let incarnation = self.new_incarnation();
        let seed = self.rng.random();
        let pacing = self.pacing();
        let vm = &mut self.vms[index];
        vm.member.incarnation = incarnation;
        vm.started = self.now;
        vm.is_suspended = false;
        vm.backlog.clear();
        vm.version = TemplateVersion(0);
        vm.evacuated.clear();
        vm.gateway = super::rollouts::Gateway::default();
        vm.is_join_host = false;
        vm.listing = super::listing::ListState::default();
        vm.node = Some(Node::new(Config {
            member: vm.member.clone(),
            ledger_shards: self.config.shards,
            key_retention: Duration::from_mins(15),
            answer_retention: Duration::from_mins(2),
            max_answer_bytes: 1_000_000,
            directory_ttl: Duration::from_secs(2),
            pacing,
            seed,
        }));
        self.vm_of.insert(incarnation, index);
        self.handle_event(index, Event::VmList(self.list.clone()));
        self.handle_event(index, Event::Start);
        self.start_operator_watch(index);
        let phase = Duration::from_micros(self.rng.random_range(0..50_000));
        self.schedule(self.now.after(phase), ScheduledAction::Tick(incarnation));
    }

    fn new_incarnation(&mut self) -> Incarnation {
        let id = self.next_incarnation * 7919 + self.config.seed;
        self.next_incarnation += 1;
        if self.config.unordered_incarnations {
            return Incarnation(id.wrapping_mul(INCARNATION_FACTOR));
        }
        Incarnation(id)
    }

    pub(super) fn pacing(&self) -> Pacing {
        if !self.config.seals {
            return Pacing::default();
        }
        Pacing {
            hold_ahead: Duration::from_secs(11),
            report_interval: Duration::from_millis(500),
            heartbeat_interval: Duration::from_millis(400),
            return_timeout: Duration::from_secs(1),
            leave_notice: Duration::from_secs(3),
            apply_timeout: Duration::from_secs(3),
            policy: Policy::default(),
            seal_holdings: true,
            rollout: super::rollouts::rollout_bound(),
        }
    }

    /// Returns the wall-clock time of a VM, in milliseconds since 1970.
    ///
    /// It is wrong by the offset that [`Fleet::set_clock_offset`] has set.
    pub(super) fn wall_clock(&self, index: usize) -> u64 {
        let truth = CLOCK_START_MS
            .saturating_add(u64::try_from(self.now.0.as_millis()).unwrap_or(u64::MAX));
        let ahead = self.clock_offsets_ms.get(&index).copied().unwrap_or_default();
        truth.saturating_add_signed(ahead)
    }

    /// Sets the offset of a VM's wall clock from the correct time.
    pub fn set_clock_offset(&mut self, index: usize, millis: i64) {
        self.clock_offsets_ms.insert(index, millis);
    }

    /// Returns the incarnation of the process of a VM, if it runs.
    #[must_use]
    pub fn incarnation(&self, index: usize) -> Option<Incarnation> {
        let vm = self.vms.get(index)?;
        vm.node.as_ref().map(|_| vm.member.incarnation)
    }

    /// Returns how many processes were killed.
    #[must_use]
    pub fn kill_count(&self) -> u64 {
        self.kills
    }

    /// Kills the process of a VM.
    pub fn kill(&mut self, index: usize) {
        self.kills += 1;
        self.end_process(index);
    }

    pub(super) fn end_process(&mut self, index: usize) {
        self.record_process_end(index);
        let vm = &mut self.vms[index];
        vm.node = None;
        vm.is_suspended = false;
        vm.backlog.clear();
        for request in self.requests.values_mut() {
            if request.vm == index && request.end.is_none() {
                request.end = Some((End::Lost, self.now));
            }
        }
    }

    /// Suspends the process of a VM. Events wait until the process is resumed.
    pub fn suspend(&mut self, index: usize) {
        self.vms[index].is_suspended = self.vms[index].node.is_some();
    }

    /// Resumes a suspended process, which then handles the events that have waited.
    pub fn resume(&mut self, index: usize) {
        if !std::mem::replace(&mut self.vms[index].is_suspended, false) {
            return;
        }
        for event in std::mem::take(&mut self.vms[index].backlog) {
            self.handle_event(index, event);
        }
        let incarnation = self.vms[index].member.incarnation;
        self.schedule(self.now, ScheduledAction::Tick(incarnation));
    }

    /// Requests a graceful stop of the process of a VM.
    pub fn stop(&mut self, index: usize) {
        self.deliver(index, Event::Stop);
    }

    /// Partitions a region from the others, and also from the store if `from_store` is set.
    pub fn partition(&mut self, region: usize, from_store: bool) {
        self.partitioned_regions.insert(region);
        if from_store {
            self.store.partitioned_regions.insert(region);
        }
    }

    /// Ends all partitions of regions.
    pub fn end_partitions(&mut self) {
        self.partitioned_regions.clear();
        self.store.partitioned_regions.clear();
    }
}
