//! Claims: who may run a request's key.
//!
//! One member, the arbiter, decides about a key under the present view. A claim is
//! remembered by two members of the key's home region before it counts, and every
//! change of the view makes members hand over what others now decide about. The
//! arbiter answers only for keys whose memory it is sure to have.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::amount::Time;
use crate::confirmations::{Confirmations, Confirmed};
use crate::event::Outbox;
use crate::ids::{Epoch, Incarnation, Region, RequestKey, UpstreamId};
use crate::message::{
    ChargeId, ClaimAsk, ClaimRecord, HandoverPart, Message, Progress, SettleAsk, Verdict,
};
use crate::view::{Standing, View};

/// How often unacknowledged hand-overs are sent again.
const RESEND: Duration = Duration::from_millis(500);
/// How many claims one hand-over message carries.
const BATCH: usize = 500;

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
        verdict: Verdict,
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

/// Claims on their way to a member.
#[derive(Debug, Default)]
struct Moving {
    keys: BTreeSet<RequestKey>,
    part: u32,
    sent: Option<Time>,
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
    pub fn complete(&self) -> Epoch {
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

    /// Puts a newer view in force and starts the hand-overs that it asks for.
    pub fn adopt(&mut self, now: Time, view: &Arc<View>, out: &mut Outbox) {
        if view.epoch <= self.view.epoch {
            return;
        }
        let old = std::mem::replace(&mut self.view, Arc::clone(view));
        self.since.push(Arc::clone(view));
        self.confirmations = Confirmations::of(view);
        for doubt in &view.doubts {
            self.doubted.entry(doubt.epoch).or_insert(now);
        }
        self.moving.retain(|id, _| view.has(*id));
        for moving in self.moving.values_mut() {
            moving.sent = None;
            moving.part = 0;
        }
        self.plan_moves(&old);
        self.confirm_own();
        self.resend(now, out);
    }

    /// Returns what a sign of life says about the hand-overs of the view in force.
    #[must_use]
    pub fn confirmed(&self) -> Confirmed {
        Confirmed { complete: self.complete, bits: self.confirmations.bits() }
    }

    /// Takes in what another process says about the hand-overs of an epoch.
    ///
    /// Returns whether that is news which others should hear soon.
    pub fn confirm(&mut self, epoch: Epoch, theirs: &Confirmed) -> bool {
        if epoch != self.view.epoch || self.complete == epoch {
            return false;
        }
        let news = if theirs.complete == epoch {
            self.confirmations.confirm_all();
            true
        } else {
            self.confirmations.merge(&theirs.bits)
        };
        self.check_complete();
        news
    }

    /// Confirms the view for this process once nothing is left to hand over.
    fn confirm_own(&mut self) {
        if self.moving.is_empty() {
            self.confirmations.confirm(&self.view, self.me);
            self.check_complete();
        }
    }

    /// Finds the claims that a new view makes this process hand over.
    fn plan_moves(&mut self, old: &View) {
        let view = &self.view;
        let standing = |v: &View| v.member(self.me).map(|m| m.standing);
        let leaves = standing(view) == Some(Standing::Leaving) && standing(old) != standing(view);
        for entry in self.entries.values() {
            let key = entry.record.key;
            let home = entry.record.home.as_ref();
            let (before, after) = (places(old, key, home), places(view, key, home));
            // The other memory of a claim may have gone, or this one is about to go.
            let alone = after[0] == Some(self.me) && entry.keeper.is_none_or(|k| !view.has(k));
            if before == after && !alone && !leaves {
                continue;
            }
            for place in after.into_iter().flatten().filter(|id| *id != self.me) {
                self.moving.entry(place).or_default().keys.insert(key);
            }
        }
    }

    /// Tells whether everything that this process had to hand over has arrived.
    #[must_use]
    pub fn is_handed_over(&self) -> bool {
        self.moving.is_empty()
    }

    /// Decides about a wish; returns nothing while the second copy is on its way.
    pub fn decide(
        &mut self,
        now: Time,
        from: Incarnation,
        ask: &ClaimAsk,
        out: &mut Outbox,
    ) -> Option<Verdict> {
        if ask.epoch != self.view.epoch || !self.answers_for(ask.key, ask.home.as_ref()) {
            return Some(Verdict::Wait { hint: self.hint(ask.key) });
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
        out.send(keeper, Message::Copy { epoch, claim });
        None
    }

    /// Returns the upstream on which a key may have run, as far as this process knows.
    #[must_use]
    pub fn hint(&self, key: RequestKey) -> Option<UpstreamId> {
        self.entries.get(&key).and_then(|entry| upstream(&entry.record.progress))
    }

    /// Records the wish where it may be granted, and returns any other verdict.
    fn settled_verdict(&mut self, now: Time, from: Incarnation, ask: &ClaimAsk) -> Option<Verdict> {
        let Some(entry) = self.entries.get_mut(&ask.key) else {
            if ask.once && self.is_doubtful(now, ask.key, ask.home.as_ref()) {
                return Some(Verdict::Doubtful);
            }
            self.record(now, from, ask, 0, Progress::Held);
            return None;
        };
        let record = &entry.record;
        if record.owner == from && record.serial == ask.serial {
            return None;
        }
        let ended = matches!(record.progress, Progress::Ended(_));
        let replaces = ask.over == Some((record.owner, record.serial));
        if replaces && !ended {
            let progress = record.progress.clone();
            let (turn, once) = (record.turn + 1, record.once);
            // An unrepeatable request that may have run elsewhere can only be resumed.
            if once && progress == Progress::Held {
                return Some(Verdict::Doubtful);
            }
            self.record(now, from, ask, turn, progress);
            return None;
        }
        let upstream = upstream(&record.progress);
        Some(Verdict::Owned { owner: record.owner, serial: record.serial, upstream, ended })
    }

    fn record(
        &mut self,
        now: Time,
        from: Incarnation,
        ask: &ClaimAsk,
        turn: u32,
        progress: Progress,
    ) {
        let record = ClaimRecord {
            key: ask.key,
            home: ask.home.clone(),
            owner: from,
            serial: ask.serial,
            turn,
            once: ask.once,
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
        let Some(epoch) = self.view.doubts(key, home) else {
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
    pub fn keep(&mut self, now: Time, epoch: Epoch, record: &ClaimRecord) -> bool {
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
    pub fn dispatching(
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
        if matches!(entry.record.progress, Progress::Ended(_)) {
            return;
        }
        entry.record.progress = Progress::Dispatched(to);
        entry.changed = now;
    }

    /// Forgets a claim that its owner gives up: one that has not run, or that may run again.
    pub fn release(&mut self, from: Incarnation, key: RequestKey, serial: u64) {
        let Some(entry) = self.owned(from, key, serial) else {
            return;
        };
        let may = match entry.record.progress {
            Progress::Held => true,
            Progress::Dispatched(_) => !entry.record.once,
            Progress::Ended(_) => false,
        };
        if may {
            self.entries.remove(&key);
        }
    }

    /// Remembers that an own charge was agreed; tells whether the arbiter's word counts.
    ///
    /// A word of an arbiter of another epoch does not count: a new arbiter may not know.
    pub fn agreed(&mut self, now: Time, epoch: Epoch, record: &ClaimRecord) -> bool {
        let turn = self.entries.get(&record.key).map_or(0, |e| e.record.turn);
        let record = ClaimRecord { turn, ..record.clone() };
        self.keep(now, epoch, &record)
    }

    /// Ends a claim; tells whether the charge is the owner's to bill, once that is sure.
    pub fn settle(
        &mut self,
        now: Time,
        from: Incarnation,
        ask: &SettleAsk,
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
            turn: self.entries.get(&ask.key).map_or(0, |e| e.record.turn),
            once: false,
            progress: Progress::Ended(ask.cost),
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
                let once = entry.record.once;
                *entry = fresh;
                entry.record.once = once;
            }
        }
        let entry = self.entries.get_mut(&ask.key)?;
        entry.asker = from;
        if entry.copied {
            return Some(true);
        }
        if let Some(keeper) = keeper {
            let (epoch, claim) = (self.view.epoch, entry.record.clone());
            out.send(keeper, Message::Copy { epoch, claim });
        }
        None
    }

    /// Takes in claims that another member hands over; tells whether they are for this view.
    pub fn receive(&mut self, now: Time, from: Incarnation, part: &HandoverPart) -> bool {
        for record in &part.claims {
            self.merge(now, from, record);
        }
        part.epoch == self.view.epoch
    }

    /// Notes that a member has everything of a hand-over, and sends what is left.
    pub fn handed_over(
        &mut self,
        now: Time,
        from: Incarnation,
        epoch: Epoch,
        part: u32,
        out: &mut Outbox,
    ) {
        if epoch != self.view.epoch {
            return;
        }
        let Some(moving) = self.moving.get_mut(&from) else {
            return;
        };
        if part != moving.part {
            return;
        }
        for _ in 0..BATCH.min(moving.keys.len()) {
            let key = moving.keys.pop_first();
            if let Some(entry) = key.and_then(|key| self.entries.get_mut(&key)) {
                entry.keeper = Some(from);
            }
        }
        if moving.keys.is_empty() {
            self.moving.remove(&from);
            self.confirm_own();
            return;
        }
        moving.part += 1;
        moving.sent = None;
        self.resend(now, out);
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

    fn resend(&mut self, now: Time, out: &mut Outbox) {
        for (to, moving) in &mut self.moving {
            if moving.sent.is_some_and(|sent| now.since(sent) < RESEND) {
                continue;
            }
            moving.sent = Some(now);
            let claims = moving
                .keys
                .iter()
                .take(BATCH)
                .filter_map(|key| self.entries.get(key))
                .map(|entry| entry.record.clone())
                .collect();
            let part = HandoverPart { epoch: self.view.epoch, part: moving.part, claims };
            out.send(*to, Message::Handover(part));
        }
    }

    /// Takes in a record that another member remembers too, unless a later one is here.
    fn merge(&mut self, now: Time, from: Incarnation, record: &ClaimRecord) {
        let keeper = (from != self.me).then_some(from);
        let rank = |r: &ClaimRecord| (r.turn, r.progress.clone());
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

    fn check_complete(&mut self) {
        if self.view.has(self.me) && self.confirmations.is_complete() {
            self.complete = self.view.epoch;
            self.since = vec![Arc::clone(&self.view)];
        }
    }
}

fn upstream(progress: &Progress) -> Option<UpstreamId> {
    match progress {
        Progress::Dispatched(upstream) => Some(upstream.clone()),
        Progress::Held | Progress::Ended(_) => None,
    }
}

fn granted(record: &ClaimRecord) -> Verdict {
    Verdict::Granted { earlier: upstream(&record.progress), turn: record.turn }
}

/// Returns the arbiter and the second keeper of a key.
fn places(view: &View, key: RequestKey, home: Option<&Region>) -> [Option<Incarnation>; 2] {
    let Some((first, second)) = view.arbiters(key, home) else {
        return [None, None];
    };
    [Some(first.incarnation), second.map(|m| m.incarnation)]
}
