//! Claims: which process may run the request with a key.
//!
//! Under the current view one member, the arbiter, decides about a key. A claim takes effect
//! once two members of the key's home region have recorded it. After each change of the view,
//! members hand over the claims that other members now decide about. An arbiter decides only
//! about keys for which it has received all earlier claims.

mod arbiter_history;
mod handover;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::amount::Time;
use crate::confirmations::Confirmations;
use crate::event::Outbox;
use crate::ids::{Epoch, Incarnation, Region, RequestKey, UpstreamId};
use crate::message::{
    ChargeId, ClaimDecision, ClaimProgress, ClaimRecord, ClaimRequest, Message, SettleRequest,
};
use crate::view::View;
use arbiter_history::ArbiterHistory;
use handover::PendingHandover;

/// A recorded claim.
#[derive(Debug, Clone)]
struct ClaimEntry {
    record: ClaimRecord,
    /// The member that gets the decision once the backup has recorded the claim.
    requester: Incarnation,
    backed_up: bool,
    /// The member that has the other copy of the claim, as far as this process knows.
    other_copy: Option<Incarnation>,
    updated_at: Time,
}

/// The decision that takes effect when the backup has recorded a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackupOutcome {
    /// The owner may run the request.
    Granted {
        /// The owner.
        owner: Incarnation,
        /// The arbiter's epoch.
        epoch: Epoch,
        /// The decision to send to the owner.
        decision: ClaimDecision,
    },
    /// The owner may bill the charge.
    Billed {
        /// The member that sent the settle request.
        to: Incarnation,
        /// The charge.
        id: ChargeId,
        /// The arbiter's epoch.
        epoch: Epoch,
    },
}

/// The claims that a process has recorded, as arbiter and as backup.
#[derive(Debug)]
pub struct Claims {
    me: Incarnation,
    retention: Duration,
    entries: HashMap<RequestKey, ClaimEntry>,
    view: Arc<View>,
    /// The newest epoch for which all handovers have arrived.
    complete_epoch: Epoch,
    /// The arbiters in the view of `complete_epoch` and in the views applied after it.
    arbiters_since_complete: ArbiterHistory,
    confirmations: Confirmations,
    handovers: BTreeMap<Incarnation, PendingHandover>,
    /// When this process first saw the uncertain keys of an epoch.
    uncertain_seen: HashMap<Epoch, Time>,
    last_sweep: Time,
}

impl Claims {
    /// Creates an empty table that keeps claims for `retention` after their last change.
    #[must_use]
    pub fn new(me: Incarnation, retention: Duration) -> Self {
        Self {
            me,
            retention,
            entries: HashMap::new(),
            view: Arc::default(),
            complete_epoch: Epoch(0),
            arbiters_since_complete: ArbiterHistory::default(),
            confirmations: Confirmations::default(),
            handovers: BTreeMap::new(),
            uncertain_seen: HashMap::new(),
            last_sweep: Time::default(),
        }
    }

    /// Returns the newest epoch for which all handovers have arrived.
    #[must_use]
    pub fn complete_epoch(&self) -> Epoch {
        self.complete_epoch
    }

    /// Returns the epoch of the current view.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.view.epoch
    }

    /// Returns the number of recorded claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no claim is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Decides about a claim request.
    ///
    /// Returns `None` if the decision has to wait until the backup has recorded the claim.
    pub fn decide(
        &mut self,
        now: Time,
        from: Incarnation,
        request: &ClaimRequest,
        out: &mut Outbox,
    ) -> Option<ClaimDecision> {
        if request.epoch != self.view.epoch || !self.can_decide(request.key, request.home.as_ref())
        {
            return Some(ClaimDecision::Wait { last_upstream: self.last_upstream(request.key) });
        }
        if let Some(decision) = self.try_claim(now, from, request) {
            return Some(decision);
        }
        let entry = self.entries.get(&request.key)?;
        let claim = entry.record.clone();
        if entry.backed_up {
            return Some(grant_decision(&claim));
        }
        let Some(backup) = self.backup_member(from, request.key, request.home.as_ref()) else {
            return Some(grant_decision(&claim));
        };
        let epoch = self.view.epoch;
        out.send(backup, Message::ClaimBackup { epoch, claim });
        None
    }

    /// Returns the upstream to which the request with this key was last sent, if that is known here
    /// and the claim has not ended.
    #[must_use]
    pub fn last_upstream(&self, key: RequestKey) -> Option<UpstreamId> {
        self.entries.get(&key).and_then(|entry| dispatched_upstream(&entry.record.progress))
    }

    /// Records the claim if it may be granted; otherwise returns the decision.
    fn try_claim(
        &mut self,
        now: Time,
        from: Incarnation,
        request: &ClaimRequest,
    ) -> Option<ClaimDecision> {
        let Some(entry) = self.entries.get_mut(&request.key) else {
            if request.at_most_once && self.is_uncertain(now, request.key, request.home.as_ref()) {
                return Some(ClaimDecision::Uncertain);
            }
            self.insert_claim(now, from, request, 0, ClaimProgress::Held);
            return None;
        };
        let record = &entry.record;
        if record.owner == from && record.serial == request.serial {
            return None;
        }
        let ended = matches!(record.progress, ClaimProgress::Ended(_));
        let replaces = request.replaces == Some((record.owner, record.serial));
        if replaces && !ended {
            let progress = record.progress.clone();
            let (owner_changes, at_most_once) = (record.owner_changes + 1, record.at_most_once);
            // An at-most-once request that may have run can only be resumed at its upstream, and
            // none is recorded.
            if at_most_once && progress == ClaimProgress::Held {
                return Some(ClaimDecision::Uncertain);
            }
            self.insert_claim(now, from, request, owner_changes, progress);
            return None;
        }
        let upstream = dispatched_upstream(&record.progress);
        Some(ClaimDecision::Owned { owner: record.owner, serial: record.serial, upstream, ended })
    }

    fn insert_claim(
        &mut self,
        now: Time,
        from: Incarnation,
        request: &ClaimRequest,
        owner_changes: u32,
        progress: ClaimProgress,
    ) {
        let record = ClaimRecord {
            key: request.key,
            home: request.home.clone(),
            owner: from,
            serial: request.serial,
            owner_changes,
            at_most_once: request.at_most_once,
            progress,
        };
        // A requester in the home region is itself the backup.
        let backed_up = self.backup_member(from, request.key, request.home.as_ref()).is_none();
        let other_copy = (backed_up && from != self.me).then_some(from);
        let entry = ClaimEntry { record, requester: from, backed_up, other_copy, updated_at: now };
        self.entries.insert(request.key, entry);
    }

    /// Returns the member that must record the claim as backup, or `None` if the requester is the
    /// backup or there is no other member.
    fn backup_member(
        &self,
        from: Incarnation,
        key: RequestKey,
        home: Option<&Region>,
    ) -> Option<Incarnation> {
        let is_in_home =
            self.view.member(from).is_some_and(|m| home.is_none_or(|home| &m.region == home));
        if is_in_home && from != self.me {
            return None;
        }
        let (first, second) = self.view.arbiters(key, home)?;
        debug_assert_eq!(first.incarnation, self.me);
        second.map(|m| m.incarnation)
    }

    fn is_uncertain(&self, now: Time, key: RequestKey, home: Option<&Region>) -> bool {
        let Some(epoch) = self.view.uncertain_since(key, home) else {
            return false;
        };
        let first_seen = self.uncertain_seen.get(&epoch).copied().unwrap_or(now);
        now.since(first_seen) < self.retention
    }

    /// Returns whether this process is the arbiter of a key and has all earlier claims on it.
    fn can_decide(&self, key: RequestKey, home: Option<&Region>) -> bool {
        let is_arbiter = |view: &View| arbiter_and_backup(view, key, home)[0] == Some(self.me);
        if !is_arbiter(&self.view) {
            return false;
        }
        self.complete_epoch == self.view.epoch
            || (self.complete_epoch > Epoch(0)
                && self.arbiters_since_complete.always_ranks_first(self.me, key, home))
    }

    /// Records a claim as its requester or backup.
    ///
    /// Returns `false` if the arbiter decided under another epoch.
    pub fn record_claim(&mut self, now: Time, epoch: Epoch, record: &ClaimRecord) -> bool {
        if epoch != self.view.epoch {
            return false;
        }
        self.merge(now, self.me, record);
        true
    }

    /// Records that the backup has a claim; returns the decision that now takes effect.
    pub fn handle_backup_ack(
        &mut self,
        from: Incarnation,
        key: RequestKey,
        serial: u64,
        ended: bool,
    ) -> Option<BackupOutcome> {
        let entry = self.entries.get_mut(&key)?;
        if !self.view.has_member(from) {
            return None;
        }
        let record = &entry.record;
        let is_current = record.serial == serial && record.has_ended() == ended;
        if !is_current || entry.backed_up {
            return None;
        }
        entry.backed_up = true;
        entry.other_copy = Some(from);
        let (owner, epoch) = (record.owner, self.view.epoch);
        if ended {
            let (to, id) = (entry.requester, ChargeId { owner, serial });
            return Some(BackupOutcome::Billed { to, id, epoch });
        }
        Some(BackupOutcome::Granted { owner, epoch, decision: grant_decision(record) })
    }

    /// Records that the owner is about to send the request to an upstream.
    pub fn record_dispatch(
        &mut self,
        now: Time,
        from: Incarnation,
        key: RequestKey,
        serial: u64,
        to: UpstreamId,
    ) {
        let Some(entry) = self.owned_entry(from, key, serial) else {
            return;
        };
        if matches!(entry.record.progress, ClaimProgress::Ended(_)) {
            return;
        }
        entry.record.progress = ClaimProgress::Dispatched(to);
        entry.updated_at = now;
    }

    /// Removes a claim that its owner releases, if the request was not sent or may run again.
    pub fn release(&mut self, from: Incarnation, key: RequestKey, serial: u64) {
        let Some(entry) = self.owned_entry(from, key, serial) else {
            return;
        };
        let is_allowed = match entry.record.progress {
            ClaimProgress::Held => true,
            ClaimProgress::Dispatched(_) => !entry.record.at_most_once,
            ClaimProgress::Ended(_) => false,
        };
        if is_allowed {
            self.entries.remove(&key);
        }
    }

    /// Records that the arbiter has allowed this process to bill a charge.
    ///
    /// Returns `false` if the arbiter decided under another epoch: the new arbiter may not have the
    /// decision.
    pub fn record_agreed_charge(&mut self, now: Time, epoch: Epoch, record: &ClaimRecord) -> bool {
        let owner_changes = self.entries.get(&record.key).map_or(0, |e| e.record.owner_changes);
        let record = ClaimRecord { owner_changes, ..record.clone() };
        self.record_claim(now, epoch, &record)
    }

    /// Ends a claim and returns whether the owner may bill the charge.
    ///
    /// Returns `None` if this process cannot decide, or if the decision has to wait until the
    /// backup has recorded it.
    pub fn settle_charge(
        &mut self,
        now: Time,
        from: Incarnation,
        request: &SettleRequest,
        out: &mut Outbox,
    ) -> Option<bool> {
        let home = request.home.as_ref();
        if !self.can_decide(request.key, home) {
            return None;
        }
        let backup = self.backup_member(from, request.key, home);
        let record = ClaimRecord {
            key: request.key,
            home: request.home.clone(),
            owner: request.id.owner,
            serial: request.id.serial,
            owner_changes: self.entries.get(&request.key).map_or(0, |e| e.record.owner_changes),
            at_most_once: false,
            progress: ClaimProgress::Ended(request.cost),
        };
        let other_copy = (backup.is_none() && from != self.me).then_some(from);
        let backed_up = backup.is_none();
        let new_entry =
            ClaimEntry { record, requester: from, backed_up, other_copy, updated_at: now };
        // Another owner may have billed the charge, and the record of that may be lost.
        let is_known_ended = self.entries.get(&request.key).is_some_and(|e| e.record.has_ended());
        if !is_known_ended && self.is_uncertain(now, request.key, home) {
            return Some(false);
        }
        match self.entries.get_mut(&request.key) {
            None => {
                self.entries.insert(request.key, new_entry);
            }
            Some(entry) if entry.record.has_ended() => {
                let record = &entry.record;
                if record.owner != request.id.owner || record.serial != request.id.serial {
                    return Some(false);
                }
            }
            // The first owner to end bills; the recorded owner has not ended and can still be
            // refused.
            Some(entry) => {
                let at_most_once = entry.record.at_most_once;
                *entry = new_entry;
                entry.record.at_most_once = at_most_once;
            }
        }
        let entry = self.entries.get_mut(&request.key)?;
        entry.requester = from;
        if entry.backed_up {
            return Some(true);
        }
        if let Some(backup) = backup {
            let (epoch, claim) = (self.view.epoch, entry.record.clone());
            out.send(backup, Message::ClaimBackup { epoch, claim });
        }
        None
    }

    /// Resends unacknowledged handovers and removes claims older than the retention period.
    pub fn tick(&mut self, now: Time, out: &mut Outbox) {
        self.resend_handovers(now, out);
        if now.since(self.last_sweep) < Duration::from_secs(1) {
            return;
        }
        self.last_sweep = now;
        let retention = self.retention;
        self.entries.retain(|_, entry| now.since(entry.updated_at) < retention);
    }

    /// Applies a record from another member, unless a record at least as new is present.
    fn merge(&mut self, now: Time, from: Incarnation, record: &ClaimRecord) {
        let other_copy = (from != self.me).then_some(from);
        let rank = |r: &ClaimRecord| (r.owner_changes, r.progress.clone());
        if let Some(entry) = self.entries.get_mut(&record.key)
            && rank(&entry.record) >= rank(record)
        {
            entry.other_copy = entry.other_copy.or(other_copy);
            return;
        }
        let (record, requester) = (record.clone(), record.owner);
        let entry = ClaimEntry { requester, backed_up: true, other_copy, updated_at: now, record };
        self.entries.insert(entry.record.key, entry);
    }

    fn owned_entry(
        &mut self,
        from: Incarnation,
        key: RequestKey,
        serial: u64,
    ) -> Option<&mut ClaimEntry> {
        let entry = self.entries.get_mut(&key)?;
        let is_owner = entry.record.owner == from && entry.record.serial == serial;
        is_owner.then_some(entry)
    }
}

fn dispatched_upstream(progress: &ClaimProgress) -> Option<UpstreamId> {
    match progress {
        ClaimProgress::Dispatched(upstream) => Some(upstream.clone()),
        ClaimProgress::Held | ClaimProgress::Ended(_) => None,
    }
}

fn grant_decision(record: &ClaimRecord) -> ClaimDecision {
    ClaimDecision::Granted {
        previous_upstream: dispatched_upstream(&record.progress),
        owner_changes: record.owner_changes,
    }
}

/// Returns the arbiter and the backup of a key.
fn arbiter_and_backup(
    view: &View,
    key: RequestKey,
    home: Option<&Region>,
) -> [Option<Incarnation>; 2] {
    let Some((first, second)) = view.arbiters(key, home) else {
        return [None, None];
    };
    [Some(first.incarnation), second.map(|m| m.incarnation)]
}
