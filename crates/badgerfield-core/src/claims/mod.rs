//! Claims: who may run a request's key.
//!
//! One member, the arbiter, decides about a key under the present view. A claim is
//! remembered by two members of the key's home region before it counts, and every
//! change of the view makes members hand over what others now decide about. The
//! arbiter answers only for keys whose memory it is sure to have.

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
use handover::Moving;

/// One remembered claim.
#[derive(Debug, Clone)]
struct Entry {
    record: ClaimRecord,
    /// Who is told once a second copy is kept.
    asker: Incarnation,
    copied: bool,
    /// Who else remembers it, as far as this process knows.
    keeper: Option<Incarnation>,
    changed: Time,
}

/// What a second copy settles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Settlement {
    /// The owner may run the request.
    Granted {
        /// The owner.
        owner: Incarnation,
        /// The arbiter's epoch.
        epoch: Epoch,
        /// What to tell it.
        verdict: ClaimDecision,
    },
    /// The charge is the owner's to bill.
    Billed {
        /// Who asked.
        to: Incarnation,
        /// The charge.
        id: ChargeId,
        /// The arbiter's epoch.
        epoch: Epoch,
    },
}

/// What one process remembers about claims, as arbiter and as keeper.
#[derive(Debug)]
pub struct Claims {
    me: Incarnation,
    keep: Duration,
    entries: HashMap<RequestKey, Entry>,
    view: Arc<View>,
    complete: Epoch,
    since: Vec<Arc<View>>,
    confirmations: Confirmations,
    moving: BTreeMap<Incarnation, Moving>,
    doubted: HashMap<Epoch, Time>,
    swept: Time,
}

impl Claims {
    /// Makes an empty memory that keeps ended claims for a span.
    #[must_use]
    pub fn new(me: Incarnation, keep: Duration) -> Self {
        Self {
            me,
            keep,
            entries: HashMap::new(),
            view: Arc::default(),
            complete: Epoch(0),
            since: Vec::new(),
            confirmations: Confirmations::default(),
            moving: BTreeMap::new(),
            doubted: HashMap::new(),
            swept: Time::default(),
        }
    }

    /// Returns the newest epoch whose hand-overs are all here.
    #[must_use]
    pub fn complete_epoch(&self) -> Epoch {
        self.complete
    }

    /// Returns the number of the view in force.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.view.epoch
    }

    /// Returns how many claims are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no claim is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Decides about a wish; returns nothing while the second copy is on its way.
    pub fn decide(
        &mut self,
        now: Time,
        from: Incarnation,
        ask: &ClaimRequest,
        out: &mut Outbox,
    ) -> Option<ClaimDecision> {
        if ask.epoch != self.view.epoch || !self.answers_for(ask.key, ask.home.as_ref()) {
            return Some(ClaimDecision::Wait { hint: self.hint(ask.key) });
        }
        if let Some(verdict) = self.settled_verdict(now, from, ask) {
            return Some(verdict);
        }
        let entry = self.entries.get(&ask.key)?;
        let claim = entry.record.clone();
        if entry.copied {
            return Some(granted(&claim));
        }
        let Some(keeper) = self.keeper(from, ask.key, ask.home.as_ref()) else {
            return Some(granted(&claim));
        };
        let epoch = self.view.epoch;
        out.send(keeper, Message::ClaimBackup { epoch, claim });
        None
    }

    /// Returns the upstream on which a key may have run, as far as this process knows.
    #[must_use]
    pub fn hint(&self, key: RequestKey) -> Option<UpstreamId> {
        self.entries.get(&key).and_then(|entry| upstream(&entry.record.progress))
    }

    /// Records the wish where it may be granted, and returns any other verdict.
    fn settled_verdict(
        &mut self,
        now: Time,
        from: Incarnation,
        ask: &ClaimRequest,
    ) -> Option<ClaimDecision> {
        let Some(entry) = self.entries.get_mut(&ask.key) else {
            if ask.at_most_once && self.is_doubtful(now, ask.key, ask.home.as_ref()) {
                return Some(ClaimDecision::Uncertain);
            }
            self.record(now, from, ask, 0, ClaimProgress::Held);
            return None;
        };
        let record = &entry.record;
        if record.owner == from && record.serial == ask.serial {
            return None;
        }
        let ended = matches!(record.progress, ClaimProgress::Ended(_));
        let replaces = ask.replaces == Some((record.owner, record.serial));
        if replaces && !ended {
            let progress = record.progress.clone();
            let (turn, once) = (record.owner_changes + 1, record.at_most_once);
            // An unrepeatable request that may have run elsewhere can only be resumed.
            if once && progress == ClaimProgress::Held {
                return Some(ClaimDecision::Uncertain);
            }
            self.record(now, from, ask, turn, progress);
            return None;
        }
        let upstream = upstream(&record.progress);
        Some(ClaimDecision::Owned { owner: record.owner, serial: record.serial, upstream, ended })
    }

    fn record(
        &mut self,
        now: Time,
        from: Incarnation,
        ask: &ClaimRequest,
        turn: u32,
        progress: ClaimProgress,
    ) {
        let record = ClaimRecord {
            key: ask.key,
            home: ask.home.clone(),
            owner: from,
            serial: ask.serial,
            owner_changes: turn,
            at_most_once: ask.at_most_once,
            progress,
        };
        // An asker in the home region remembers the claim itself.
        let copied = self.keeper(from, ask.key, ask.home.as_ref()).is_none();
        let keeper = (copied && from != self.me).then_some(from);
        let entry = Entry { record, asker: from, copied, keeper, changed: now };
        self.entries.insert(ask.key, entry);
    }

    /// Returns the member that must keep a copy besides the arbiter and the asker.
    fn keeper(
        &self,
        from: Incarnation,
        key: RequestKey,
        home: Option<&Region>,
    ) -> Option<Incarnation> {
        let near =
            self.view.member(from).is_some_and(|m| home.is_none_or(|home| &m.region == home));
        if near && from != self.me {
            return None;
        }
        let (first, second) = self.view.arbiters(key, home)?;
        debug_assert_eq!(first.incarnation, self.me);
        second.map(|m| m.incarnation)
    }

    fn is_doubtful(&self, now: Time, key: RequestKey, home: Option<&Region>) -> bool {
        let Some(epoch) = self.view.uncertain_since(key, home) else {
            return false;
        };
        let seen = self.doubted.get(&epoch).copied().unwrap_or(now);
        now.since(seen) < self.keep
    }

    /// Tells whether this process decides about a key and has its whole memory.
    fn answers_for(&self, key: RequestKey, home: Option<&Region>) -> bool {
        let first = |view: &View| places(view, key, home)[0] == Some(self.me);
        if !first(&self.view) {
            return false;
        }
        self.complete == self.view.epoch
            || (self.complete > Epoch(0) && self.since.iter().all(|view| first(view)))
    }

    /// Remembers a claim of which this process is the asker, or the second keeper.
    ///
    /// Refuses what an arbiter of another epoch decided.
    pub fn record_claim(&mut self, now: Time, epoch: Epoch, record: &ClaimRecord) -> bool {
        if epoch != self.view.epoch {
            return false;
        }
        self.merge(now, self.me, record);
        true
    }

    /// Notes that a second copy of a claim is kept; returns what that settles.
    pub fn copied(
        &mut self,
        from: Incarnation,
        key: RequestKey,
        serial: u64,
        ended: bool,
    ) -> Option<Settlement> {
        let entry = self.entries.get_mut(&key)?;
        if !self.view.has(from) {
            return None;
        }
        let record = &entry.record;
        let current = record.serial == serial && record.has_ended() == ended;
        if !current || entry.copied {
            return None;
        }
        entry.copied = true;
        entry.keeper = Some(from);
        let (owner, epoch) = (record.owner, self.view.epoch);
        if ended {
            let (to, id) = (entry.asker, ChargeId { owner, serial });
            return Some(Settlement::Billed { to, id, epoch });
        }
        Some(Settlement::Granted { owner, epoch, verdict: granted(record) })
    }

    /// Notes that the owner is about to send the request to an upstream.
    pub fn record_dispatch(
        &mut self,
        now: Time,
        from: Incarnation,
        key: RequestKey,
        serial: u64,
        to: UpstreamId,
    ) {
        let Some(entry) = self.owned(from, key, serial) else {
            return;
        };
        if matches!(entry.record.progress, ClaimProgress::Ended(_)) {
            return;
        }
        entry.record.progress = ClaimProgress::Dispatched(to);
        entry.changed = now;
    }

    /// Forgets a claim that its owner gives up: one that has not run, or that may run again.
    pub fn release(&mut self, from: Incarnation, key: RequestKey, serial: u64) {
        let Some(entry) = self.owned(from, key, serial) else {
            return;
        };
        let may = match entry.record.progress {
            ClaimProgress::Held => true,
            ClaimProgress::Dispatched(_) => !entry.record.at_most_once,
            ClaimProgress::Ended(_) => false,
        };
        if may {
            self.entries.remove(&key);
        }
    }

    /// Remembers that an own charge was agreed; tells whether the arbiter's word counts.
    ///
    /// A word of an arbiter of another epoch does not count: a new arbiter may not know.
    pub fn agreed(&mut self, now: Time, epoch: Epoch, record: &ClaimRecord) -> bool {
        let turn = self.entries.get(&record.key).map_or(0, |e| e.record.owner_changes);
        let record = ClaimRecord { owner_changes: turn, ..record.clone() };
        self.record_claim(now, epoch, &record)
    }

    /// Ends a claim; tells whether the charge is the owner's to bill, once that is sure.
    pub fn settle(
        &mut self,
        now: Time,
        from: Incarnation,
        ask: &SettleRequest,
        out: &mut Outbox,
    ) -> Option<bool> {
        let home = ask.home.as_ref();
        if !self.answers_for(ask.key, home) {
            return None;
        }
        let keeper = self.keeper(from, ask.key, home);
        let record = ClaimRecord {
            key: ask.key,
            home: ask.home.clone(),
            owner: ask.id.owner,
            serial: ask.id.serial,
            owner_changes: self.entries.get(&ask.key).map_or(0, |e| e.record.owner_changes),
            at_most_once: false,
            progress: ClaimProgress::Ended(ask.cost),
        };
        let near = (keeper.is_none() && from != self.me).then_some(from);
        let copied = keeper.is_none();
        let fresh = Entry { record, asker: from, copied, keeper: near, changed: now };
        // The charge may have been billed by somebody whose memory is lost.
        let known = self.entries.get(&ask.key).is_some_and(|e| e.record.has_ended());
        if !known && self.is_doubtful(now, ask.key, home) {
            return Some(false);
        }
        match self.entries.get_mut(&ask.key) {
            None => {
                self.entries.insert(ask.key, fresh);
            }
            Some(entry) if entry.record.has_ended() => {
                let record = &entry.record;
                if record.owner != ask.id.owner || record.serial != ask.id.serial {
                    return Some(false);
                }
            }
            // Whoever ends first bills: an owner that has not ended may still be refused.
            Some(entry) => {
                let once = entry.record.at_most_once;
                *entry = fresh;
                entry.record.at_most_once = once;
            }
        }
        let entry = self.entries.get_mut(&ask.key)?;
        entry.asker = from;
        if entry.copied {
            return Some(true);
        }
        if let Some(keeper) = keeper {
            let (epoch, claim) = (self.view.epoch, entry.record.clone());
            out.send(keeper, Message::ClaimBackup { epoch, claim });
        }
        None
    }

    /// Sends hand-overs again and forgets what is old.
    pub fn tick(&mut self, now: Time, out: &mut Outbox) {
        self.resend(now, out);
        if now.since(self.swept) < Duration::from_secs(1) {
            return;
        }
        self.swept = now;
        let keep = self.keep;
        self.entries.retain(|_, entry| now.since(entry.changed) < keep);
    }

    /// Takes in a record that another member remembers too, unless a later one is here.
    fn merge(&mut self, now: Time, from: Incarnation, record: &ClaimRecord) {
        let keeper = (from != self.me).then_some(from);
        let rank = |r: &ClaimRecord| (r.owner_changes, r.progress.clone());
        if let Some(entry) = self.entries.get_mut(&record.key)
            && rank(&entry.record) >= rank(record)
        {
            entry.keeper = entry.keeper.or(keeper);
            return;
        }
        let (record, asker) = (record.clone(), record.owner);
        let entry = Entry { asker, copied: true, keeper, changed: now, record };
        self.entries.insert(entry.record.key, entry);
    }

    fn owned(&mut self, from: Incarnation, key: RequestKey, serial: u64) -> Option<&mut Entry> {
        let entry = self.entries.get_mut(&key)?;
        let mine = entry.record.owner == from && entry.record.serial == serial;
        mine.then_some(entry)
    }
}

fn upstream(progress: &ClaimProgress) -> Option<UpstreamId> {
    match progress {
        ClaimProgress::Dispatched(upstream) => Some(upstream.clone()),
        ClaimProgress::Held | ClaimProgress::Ended(_) => None,
    }
}

fn granted(record: &ClaimRecord) -> ClaimDecision {
    ClaimDecision::Granted {
        previous_upstream: upstream(&record.progress),
        owner_changes: record.owner_changes,
    }
}

/// Returns the arbiter and the second keeper of a key.
fn places(view: &View, key: RequestKey, home: Option<&Region>) -> [Option<Incarnation>; 2] {
    let Some((first, second)) = view.arbiters(key, home) else {
        return [None, None];
    };
    [Some(first.incarnation), second.map(|m| m.incarnation)]
}
