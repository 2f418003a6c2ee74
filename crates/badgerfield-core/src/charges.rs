//! Charges: what ended requests cost, until their arbiters say who bills them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::amount::Time;
use crate::event::is_due;
use crate::message::{ChargeId, ClaimProgress, ClaimRecord, PendingCharge, SettleRequest};

/// How often an arbiter is asked again whether a charge may be billed.
const RESEND: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Entry {
    note: PendingCharge,
    since: Time,
    sent: Option<Time>,
}

/// The charges that wait for an arbiter's word.
#[derive(Debug, Default)]
pub(crate) struct Charges {
    open: BTreeMap<ChargeId, Entry>,
    /// Charges of others that were taken over, so that none is taken twice.
    taken: BTreeMap<ChargeId, Time>,
    /// When the charges were handed over last.
    handed: Option<Time>,
}

impl Charges {
    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Tells whether a charge waits.
    pub(crate) fn contains(&self, id: ChargeId) -> bool {
        self.open.contains_key(&id)
    }

    /// Adds an own charge.
    pub(crate) fn add(&mut self, now: Time, note: PendingCharge) {
        self.open.insert(note.id, Entry { note, since: now, sent: None });
    }

    /// Takes over charges of a process that stops.
    pub(crate) fn take_over(&mut self, now: Time, notes: Vec<PendingCharge>) {
        for note in notes {
            if self.taken.insert(note.id, now).is_none() {
                self.add(now, note);
            }
        }
    }

    /// Returns what the arbiters are to be asked.
    pub(crate) fn due_requests(&mut self, now: Time) -> Vec<SettleRequest> {
        let mut asks = Vec::new();
        for entry in self.open.values_mut() {
            if !is_due(now, entry.sent, RESEND) {
                continue;
            }
            entry.sent = Some(now);
            let note = &entry.note;
            let (id, key, home, cost) = (note.id, note.key, note.home.clone(), note.cost);
            asks.push(SettleRequest { key, home, id, cost });
        }
        asks
    }

    /// Returns the charges that have waited longer than keys are remembered.
    pub(crate) fn expired(&self, now: Time, keep: Duration) -> Vec<ChargeId> {
        let old = self.open.values().filter(|e| now.since(e.since) >= keep);
        old.map(|e| e.note.id).collect()
    }

    /// Returns what is to be remembered about a charge that is billed.
    pub(crate) fn claim_record(&self, id: ChargeId) -> Option<ClaimRecord> {
        let note = &self.open.get(&id)?.note;
        Some(ClaimRecord {
            key: note.key,
            home: note.home.clone(),
            owner: id.owner,
            serial: id.serial,
            owner_changes: 0,
            at_most_once: false,
            progress: ClaimProgress::Ended(note.cost),
        })
    }

    /// Ends a charge.
    pub(crate) fn remove(&mut self, id: ChargeId) -> Option<PendingCharge> {
        self.open.remove(&id).map(|entry| entry.note)
    }

    /// Returns all charges, to hand them over; nothing if that was done just now.
    pub(crate) fn due_handover(&mut self, now: Time) -> Vec<PendingCharge> {
        if !is_due(now, self.handed, RESEND) {
            return Vec::new();
        }
        self.handed = Some(now);
        self.open.values().map(|entry| entry.note.clone()).collect()
    }

    /// Forgets charges that were taken over so long ago that nobody sends them again.
    pub(crate) fn sweep(&mut self, now: Time, keep: Duration) {
        self.taken.retain(|_, at| now.since(*at) < keep);
    }
}
