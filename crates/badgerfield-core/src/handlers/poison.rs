//! News of requests under which upstreams have ended: takes them in, passes them on, keeps them
//! at the platform, and compares beliefs.
//!
//! A crash that blocks a request is crashes to all at once, any other after a moment in which more
//! may be gathered. What is lost on the way matters only for blocked requests: those are compared
//! by digests in signs of life, and recorded at the platform.

use std::time::Duration;

use crate::amount::Time;
use crate::broadcast;
use crate::event::{
    Command, LogEntry, Outbox, StoreCall, StoreKey, StoreResult, Versioned, is_due,
};
use crate::ids::Incarnation;
use crate::message::{CrashUpdate, Message};
use crate::node::Node;
use crate::pending_calls::Purpose;
use crate::poison::{Crash, Fingerprint};
use crate::poison_record::{self, RecordCall};

/// The least time between two comparisons with one member: all that is known may be 50 KB, and
/// what is new was crashes to all before.
const MIN_COMPARE_INTERVAL: Duration = Duration::from_secs(2);

impl Node {
    /// Takes in that an upstream ended while a request of this process was there.
    pub(crate) fn record_crash(&self, now: Time, crash: Crash, out: &mut Outbox) {
        let request = crash.request;
        let new_crashes = self.state.poison().record_crash(now, crash);
        let blocks = new_crashes.iter().any(|(_, blocks)| *blocks);
        let mut announced: Vec<_> = new_crashes.iter().map(|(crash, _)| crash.clone()).collect();
        if blocks {
            // With what came before, for members that have missed it.
            announced = self.state.poison().crashes_of(now, request);
        }
        self.state.poison_record().enqueue(announced);
        // At once if a caller may come back with it elsewhere.
        self.broadcast_crashes(now, blocks, out);
        if blocks {
            self.state.poison_record().mark_dirty();
        }
        out.push_crashes(None, new_crashes);
        self.start_poison_call(now, out);
    }

    /// Takes in that a request was served whole which was there when an upstream ended.
    pub(crate) fn record_suspect_served(&self, now: Time, request: Fingerprint, out: &mut Outbox) {
        let cleared = self.state.poison().record_served(now, request);
        self.state.poison_record().enqueue(cleared.iter().cloned());
        self.broadcast_crashes(now, false, out);
        out.push_crashes(None, cleared.into_iter().map(|crash| (crash, false)).collect());
    }

    /// Takes in what another process tells, and passes it on to its part of the ring.
    pub(crate) fn receive_crash_update(
        &self,
        now: Time,
        from: Incarnation,
        update: CrashUpdate,
        out: &mut Outbox,
    ) {
        if update.reach > 0 {
            for (to, reach) in self.state.membership().broadcast_targets(now, update.reach) {
                out.send(to, Message::Crashes(CrashUpdate { reach, ..update.clone() }));
            }
        }
        self.apply_crashes(now, Some(from), update.crashes, out);
    }

    /// Tells a neighbour whose digest differs all that is known here, and so asks it for what
    /// it knows beyond that.
    pub(crate) fn compare_crash_digest(
        &self,
        now: Time,
        from: Incarnation,
        peer_digest: u64,
        out: &mut Outbox,
    ) {
        let crashes = {
            let mut members = self.state.membership();
            let known = self.state.poison();
            if known.digest(now) == peer_digest
                || !is_due(now, members.crashes_compared.get(&from).copied(), MIN_COMPARE_INTERVAL)
            {
                return;
            }
            members.crashes_compared.insert(from, now);
            known.blocked_crashes(now)
        };
        out.send(from, Message::CompareCrashes(crashes));
    }

    /// Takes in what a neighbour knows, and answers if more is known here.
    pub(crate) fn reconcile_crashes(
        &self,
        now: Time,
        from: Incarnation,
        peer_crashes: &[Crash],
        out: &mut Outbox,
    ) {
        self.apply_crashes(now, Some(from), peer_crashes.to_vec(), out);
        let crashes = self.state.poison().missing_from(now, peer_crashes);
        if !crashes.is_empty() {
            out.send(from, Message::Crashes(CrashUpdate { crashes, reach: 0 }));
        }
    }

    /// Takes in an answer of the key-value service about the record.
    pub(crate) fn handle_poison_result(
        &self,
        now: Time,
        write: bool,
        result: StoreResult,
        out: &mut Outbox,
    ) {
        match result {
            StoreResult::Written(revision) => self.state.poison_record().set_revision(revision),
            StoreResult::Value(found) => self.apply_poison_record(now, &found, out),
            StoreResult::Conflict(found) => {
                // What was to be written is known here still.
                self.state.poison_record().mark_dirty();
                self.apply_poison_record(now, &found, out);
            }
            _ => self.state.poison_record().record_failure(write),
        }
        self.start_poison_call(now, out);
    }

    /// Does what is due.
    pub(crate) fn tick_poison(&self, now: Time, out: &mut Outbox) {
        self.state.poison().sweep(now);
        self.broadcast_crashes(now, false, out);
        self.start_poison_call(now, out);
    }

    fn apply_poison_record(&self, now: Time, found: &Versioned, out: &mut Outbox) {
        self.state.poison_record().set_revision(found.revision);
        match poison_record::decode(found.value.as_deref()) {
            Ok(crashes) => self.apply_crashes(now, None, crashes, out),
            // What nobody can read is replaced by the next record.
            Err(error) => {
                out.push(Command::Log(LogEntry::BadValue(StoreKey::Poison, error.to_string())));
            }
        }
    }

    fn apply_crashes(
        &self,
        now: Time,
        from: Option<Incarnation>,
        crashes: Vec<Crash>,
        out: &mut Outbox,
    ) {
        let (new_crashes, records) = {
            let mut poison = self.state.poison();
            let new_crashes = poison.apply(now, crashes);
            // Two crashes may be seen at one moment by two processes: either writes it down.
            let records =
                new_crashes.iter().any(|(c, blocks)| *blocks && poison.has_seen_crash(c.request));
            (new_crashes, records)
        };
        if records {
            self.state.poison_record().mark_dirty();
            self.start_poison_call(now, out);
        }
        out.push_crashes(from, new_crashes);
    }

    /// Tells all members what waits to be crashes.
    fn broadcast_crashes(&self, now: Time, is_urgent: bool, out: &mut Outbox) {
        let members = self.state.membership();
        let crashes = self.state.poison_record().take_update(now, is_urgent);
        if crashes.is_empty() {
            return;
        }
        for (to, reach) in members.broadcast_targets(now, broadcast::full_reach(&members.view)) {
            let update = CrashUpdate { crashes: crashes.clone(), reach };
            out.send(to, Message::Crashes(update));
        }
    }

    /// Makes the call about the record that is due.
    fn start_poison_call(&self, now: Time, out: &mut Outbox) {
        let mut members = self.state.membership();
        let blocked = self.state.poison().blocked_crashes(now);
        let Some(call) = self.state.poison_record().next_call(now) else {
            return;
        };
        let (purpose, call) = match call {
            RecordCall::Read => (Purpose::PoisonRead, StoreCall::Get(StoreKey::Poison)),
            RecordCall::Write(expect) => {
                let value = poison_record::encode(blocked);
                (
                    Purpose::PoisonWrite,
                    StoreCall::CompareAndSwap {
                        key: StoreKey::Poison,
                        expected_revision: expect,
                        value,
                    },
                )
            }
        };
        let ticket = members.store_calls.begin(purpose);
        out.push(Command::CallStore(ticket, call));
    }
}

impl Outbox {
    /// Says what was news, and has what runs of blocked requests ended.
    fn push_crashes(&mut self, from: Option<Incarnation>, crashes: Vec<(Crash, bool)>) {
        let blocked = crashes.iter().filter(|(_, blocks)| *blocks).map(|(crash, _)| crash.request);
        let blocked: Vec<_> = blocked.collect();
        // What others saw is in their logs: a line here for each request at each crash would be
        // one for every VM of the fleet.
        for (crash, blocks) in crashes.into_iter().filter(|(_, blocks)| from.is_none() || *blocks) {
            self.push(Command::Log(LogEntry::Crash { crash, blocks, from }));
        }
        if !blocked.is_empty() {
            self.push(Command::BlockRequests(blocked));
        }
    }
}
