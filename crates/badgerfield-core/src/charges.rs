//! Charges: the costs of ended requests for which the arbiter has not yet decided who bills them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::amount::Time;
use crate::event::is_due;
use crate::message::{ChargeId, ClaimProgress, ClaimRecord, PendingCharge, SettleRequest};

/// The interval at which settle requests and handovers are sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct ChargeEntry {
    charge: PendingCharge,
    added_at: Time,
    sent_at: Option<Time>,
}

/// The charges that wait for an arbiter's decision.
#[derive(Debug, Default)]
pub(crate) struct Charges {
    pending: BTreeMap<ChargeId, ChargeEntry>,
    /// When each charge of another process was taken over, so that none is taken over twice.
    taken_over: BTreeMap<ChargeId, Time>,
    /// When the charges were last handed over.
    last_handover: Option<Time>,
}

impl Charges {
    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns whether a charge is pending.
    pub(crate) fn contains(&self, id: ChargeId) -> bool {
        self.pending.contains_key(&id)
    }

    /// Adds a charge.
    pub(crate) fn add(&mut self, now: Time, charge: PendingCharge) {
        self.pending.insert(charge.id, ChargeEntry { charge, added_at: now, sent_at: None });
    }

    /// Takes over the charges of a process that stops.
    pub(crate) fn take_over(&mut self, now: Time, charges: Vec<PendingCharge>) {
        for charge in charges {
            if self.taken_over.insert(charge.id, now).is_none() {
                self.add(now, charge);
            }
        }
    }

    /// Returns the settle requests that are due, and marks them as sent.
    pub(crate) fn due_requests(&mut self, now: Time) -> Vec<SettleRequest> {
        let mut requests = Vec::new();
        for entry in self.pending.values_mut() {
            if !is_due(now, entry.sent_at, RESEND_INTERVAL) {
                continue;
            }
            entry.sent_at = Some(now);
            let charge = &entry.charge;
            let (id, key, home, cost) = (charge.id, charge.key, charge.home.clone(), charge.cost);
            requests.push(SettleRequest { key, home, id, cost });
        }
        requests
    }

    /// Returns the charges that have been pending for longer than keys are kept.
    pub(crate) fn expired(&self, now: Time, retention: Duration) -> Vec<ChargeId> {
        let expired = self.pending.values().filter(|e| now.since(e.added_at) >= retention);
        expired.map(|e| e.charge.id).collect()
    }

    /// Returns the claim record of a charge that is billed.
    pub(crate) fn claim_record(&self, id: ChargeId) -> Option<ClaimRecord> {
        let charge = &self.pending.get(&id)?.charge;
        Some(ClaimRecord {
            key: charge.key,
            home: charge.home.clone(),
            owner: id.owner,
            serial: id.serial,
            owner_changes: 0,
            at_most_once: false,
            progress: ClaimProgress::Ended(charge.cost),
        })
    }

    /// Removes and returns a charge.
    pub(crate) fn remove(&mut self, id: ChargeId) -> Option<PendingCharge> {
        self.pending.remove(&id).map(|entry| entry.charge)
    }

    /// Returns all charges if a handover is due.
    pub(crate) fn due_handover(&mut self, now: Time) -> Vec<PendingCharge> {
        if !is_due(now, self.last_handover, RESEND_INTERVAL) {
            return Vec::new();
        }
        self.last_handover = Some(now);
        self.pending.values().map(|entry| entry.charge.clone()).collect()
    }

    /// Removes taken-over charges that are old enough that no process sends them again.
    pub(crate) fn sweep(&mut self, now: Time, retention: Duration) {
        self.taken_over.retain(|_, taken_at| now.since(*taken_at) < retention);
    }
}
