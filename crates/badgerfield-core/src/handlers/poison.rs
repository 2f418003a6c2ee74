//! Poison requests: applies crashes of upstreams, broadcasts them, stores them, and compares them
//! with neighbours.
//!
//! A crash that blocks a request is broadcast at once. Others are gathered for a short time and
//! broadcast together. Lost updates matter only for blocked requests: these are compared by
//! digests in heartbeats and recorded in the store.

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
use crate::poison_record;
use crate::stored_record::RecordCall;

/// Minimum time between two comparisons with one member. The known crashes may take 50 KB, and new
/// ones have already been broadcast.
const MIN_COMPARE_INTERVAL: Duration = Duration::from_secs(2);

impl Node {
    /// Records that an upstream crashed while it had a request of this process: the crash under the
    /// request, and those under the parts of its prompt.
    pub(crate) fn record_crashes(&self, now: Time, crashes: Vec<Crash>, out: &mut Outbox) {
        let mut new_crashes = Vec::new();
        let mut announced = Vec::new();
        for crash in crashes {
            let request = crash.request;
            let added = self.state.poison().record_crash(now, crash);
            if added.iter().any(|(_, blocks)| *blocks) {
                // Includes earlier crashes of the request, for members that missed them.
                announced.extend(self.state.poison().crashes_of(now, request));
            } else {
                announced.extend(added.iter().map(|(crash, _)| crash.clone()));
            }
            new_crashes.extend(added);
        }
        let blocks = new_crashes.iter().any(|(_, blocks)| *blocks);
        self.state.poison_record().enqueue(announced);
        // A blocked request is broadcast at once, because its caller may retry it elsewhere.
        self.broadcast_crashes(now, blocks, out);
        if blocks {
            self.state.poison_record().stored.mark_dirty();
        }
        out.push_crashes(None, new_crashes);
        self.start_poison_call(now, out);
    }

    /// Records that a suspect request was served completely.
    pub(crate) fn record_suspect_served(&self, now: Time, request: Fingerprint, out: &mut Outbox) {
        let cleared = self.state.poison().record_served(now, request);
        self.state.poison_record().enqueue(cleared.iter().cloned());
        self.broadcast_crashes(now, false, out);
        out.push_crashes(None, cleared.into_iter().map(|crash| (crash, false)).collect());
    }

    /// Applies a crash update and forwards it to this process's part of the ring.
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

    /// Sends all crashes of blocked requests to a neighbour whose digest differs. The neighbour
    /// replies with those that are missing here.
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

    /// Applies the crashes of a neighbour and replies with those that it is missing.
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

    /// Handles the store's result for a call about the poison record.
    pub(crate) fn handle_poison_result(
        &self,
        now: Time,
        is_write: bool,
        result: StoreResult,
        out: &mut Outbox,
    ) {
        match result {
            StoreResult::Written(revision) => {
                self.state.poison_record().stored.set_revision(revision);
            }
            StoreResult::Value(found) => self.apply_poison_record(now, &found, out),
            StoreResult::Conflict(found) => {
                // The crashes to be written are still known here, so they are written again.
                self.state.poison_record().stored.mark_dirty();
                self.apply_poison_record(now, &found, out);
            }
            _ => self.state.poison_record().stored.record_failure(is_write),
        }
        self.start_poison_call(now, out);
    }

    /// Runs the periodic work of poison requests.
    pub(crate) fn tick_poison(&self, now: Time, out: &mut Outbox) {
        self.state.poison().sweep(now);
        self.broadcast_crashes(now, false, out);
        self.start_poison_call(now, out);
    }

    fn apply_poison_record(&self, now: Time, found: &Versioned, out: &mut Outbox) {
        self.state.poison_record().stored.set_revision(found.revision);
        match poison_record::decode(found.value.as_deref()) {
            Ok(crashes) => self.apply_crashes(now, None, crashes, out),
            // An unreadable record is replaced by the next one.
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
        let (new_crashes, must_record) = {
            let mut poison = self.state.poison();
            let new_crashes = poison.apply(now, crashes);
            // Two crashes of a request may be seen at the same moment by two processes. Each of
            // them then writes the record.
            let must_record =
                new_crashes.iter().any(|(c, blocks)| *blocks && poison.has_seen_crash(c.request));
            (new_crashes, must_record)
        };
        if must_record {
            self.state.poison_record().stored.mark_dirty();
            self.start_poison_call(now, out);
        }
        out.push_crashes(from, new_crashes);
    }

    /// Broadcasts the crashes that are due to be announced.
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

    /// Starts the store call for the poison record that is due.
    fn start_poison_call(&self, now: Time, out: &mut Outbox) {
        let mut members = self.state.membership();
        let may_read = members.reads_poison_record(now);
        let blocked = self.state.poison().blocked_crashes(now);
        let Some(call) = self.state.poison_record().stored.next_call(now, may_read) else {
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
    /// Logs new crashes and ends the runs of requests that are now blocked.
    fn push_crashes(&mut self, from: Option<Incarnation>, crashes: Vec<(Crash, bool)>) {
        let blocked = crashes.iter().filter(|(_, blocks)| *blocks).map(|(crash, _)| crash.request);
        let blocked: Vec<_> = blocked.collect();
        // Crashes that other processes saw are in their logs. Logging all of them here as well
        // would add one line per VM of the fleet for each request at each crash.
        for (crash, blocks) in crashes.into_iter().filter(|(_, blocks)| from.is_none() || *blocks) {
            self.push(Command::Log(LogEntry::Crash { crash, blocks, from }));
        }
        if !blocked.is_empty() {
            self.push(Command::BlockRequests(blocked));
        }
    }
}
