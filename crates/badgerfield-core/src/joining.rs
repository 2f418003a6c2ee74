//! Joining the fleet, also when all processes start at the same time.
//!
//! Each process could write itself into the view. But of concurrent writes only one succeeds, and
//! each success makes all others retry, so that the number of writes grows with the square of the
//! fleet's size. A process that cannot write at once therefore announces itself under a key of its
//! own in the store. A host, one of the few members that watch these keys, adds all announced
//! processes in one write. No member is sent a message by each process that starts.
//!
//! The view contains the revision of the newest announcement that it takes into account
//! ([`View::joined_revision`]), so that an announcement adds its process at most once, and a
//! process that was removed does not come back.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::amount::Time;
use crate::bootstrap;
use crate::event::{Versioned, is_due};
use crate::ids::{Incarnation, VmId, rendezvous_weight};
use crate::view::{MAX_SMALL_VIEW_MEMBERS, Member, View};

/// Number of members that watch announcements, of all members and of those that joined last.
const HOSTS: usize = 2;
/// Time without a further announcement after which a host adds the announced processes: all VMs of
/// a fleet may start within 0.3 s of each other, and each view costs every member messages.
const QUIET_TIME: Duration = Duration::from_millis(150);
/// Maximum time for which a host waits for further announcements.
const MAX_GATHER_TIME: Duration = Duration::from_secs(1);
/// Additional wait of each further host, so that usually only one of them writes.
const HOST_STAGGER: Duration = Duration::from_millis(400);
/// Duration of a turn, in which some processes write themselves into a large view whose members
/// may all have ended. It is longer than a write and its distribution take.
const TURN_DURATION: Duration = Duration::from_millis(500);
/// Minimum wait of a process whose write has failed before it writes itself again. A host adds it
/// much earlier.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Range of the random delay that is added to [`RETRY_DELAY`], in milliseconds: without it, all
/// processes whose host has ended would write at the same time.
const RETRY_SPREAD_MS: u64 = 2000;
/// Interval between two attempts to announce this process.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(300);

/// The next step of a process that is joining.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JoinStep {
    /// Write the view with this process added.
    Write,
    /// Write the announcement of this process over one with this revision.
    Announce(u64),
    /// Wait for a host, or for this process's turn to write.
    Wait,
}

/// A process that has announced itself.
#[derive(Debug, Clone)]
struct Joiner {
    member: Member,
    revision: u64,
}

/// This process's own attempts to join, and the announcements of other processes.
#[derive(Debug, Default)]
pub(crate) struct Joining {
    /// The members of the first view that this process has read; they may have ended long ago.
    initial_members: Option<BTreeSet<Incarnation>>,
    lost_writes: u32,
    /// The time before which this process does not write itself into the view again.
    retry_at: Time,
    announced: bool,
    /// The revision of the announcement that an earlier process of this VM has left.
    known_revision: u64,
    /// When this process last tried to announce itself.
    announced_at: Option<Time>,
    /// The processes that this process adds to the view if it is a host: the newest one of each VM.
    joiners: BTreeMap<VmId, Joiner>,
    /// When the first and the last of these announcements arrived.
    gathered: Option<(Time, Time)>,
}

impl Joining {
    /// Records a view that was read from the store.
    pub(crate) fn record_view(&mut self, view: &View) {
        self.initial_members
            .get_or_insert_with(|| view.members.iter().map(|m| m.incarnation).collect());
    }

    /// Returns whether a process is not in the first view that was read, and so has joined since.
    pub(crate) fn is_new(&self, id: Incarnation) -> bool {
        self.initial_members.as_ref().is_some_and(|members| !members.contains(&id))
    }

    /// Records that a write of the view failed because another process had written it first.
    pub(crate) fn record_conflict(&mut self, now: Time, random: u64) {
        self.lost_writes += 1;
        let spread = Duration::from_millis(random % RETRY_SPREAD_MS);
        self.retry_at = now.after(RETRY_DELAY.saturating_add(spread));
    }

    /// Returns the next step of this process towards joining the view. Times are counted from the
    /// start of the process.
    pub(crate) fn next_step(&mut self, now: Time, view: &View, me: &Member) -> JoinStep {
        if now >= self.write_at(view, me) {
            return JoinStep::Write;
        }
        if self.announced || !is_due(now, self.announced_at, ANNOUNCE_INTERVAL) {
            return JoinStep::Wait;
        }
        self.announced_at = Some(now);
        JoinStep::Announce(self.known_revision)
    }

    /// Returns when this process writes itself into the view.
    ///
    /// The members of a large view may all have ended. The processes then write in turns, by the
    /// ranks of their VMs, so that two write at first and twice as many in each further turn.
    fn write_at(&self, view: &View, me: &Member) -> Time {
        if self.lost_writes > 0 {
            return self.retry_at;
        }
        if view.members.len() <= MAX_SMALL_VIEW_MEMBERS {
            return Time::default();
        }
        Time::default().after(TURN_DURATION * bootstrap::turn_of(view, me))
    }

    /// Records that this process is announced in the store.
    pub(crate) fn record_announced(&mut self) {
        self.announced = true;
    }

    /// Records the announcement that is in the store instead of the one that was written.
    pub(crate) fn record_other_announcement(&mut self, found: &Versioned, me: &Member) {
        if decode(found).as_ref() == Some(me) {
            self.announced = true;
            return;
        }
        self.known_revision = found.revision;
        self.announced_at = None;
    }

    /// Records announcements that were read from the store.
    pub(crate) fn add_joiners(&mut self, now: Time, view: &View, found: &[Versioned]) {
        for item in found {
            let Some(member) = decode(item) else {
                continue;
            };
            if item.revision <= view.joined_revision || view.has_member(member.incarnation) {
                continue;
            }
            // Of two processes of one VM, the one with the older announcement has ended.
            let known = self.joiners.get(&member.vm).map_or(0, |joiner| joiner.revision);
            if item.revision <= known {
                continue;
            }
            self.joiners.insert(member.vm.clone(), Joiner { member, revision: item.revision });
            let first = self.gathered.map_or(now, |(first, _)| first);
            self.gathered = Some((first, now));
        }
    }

    /// Returns the announced processes that a host of a rank is to add now, and the revision of the
    /// newest of their announcements.
    pub(crate) fn joiners(
        &mut self,
        now: Time,
        view: &View,
        host_rank: usize,
    ) -> Option<(Vec<Member>, u64)> {
        self.joiners.retain(|_, joiner| {
            joiner.revision > view.joined_revision && !view.has_member(joiner.member.incarnation)
        });
        if self.joiners.is_empty() {
            self.gathered = None;
            return None;
        }
        let (first, last) = self.gathered?;
        let stagger = HOST_STAGGER.saturating_mul(u32::try_from(host_rank).unwrap_or(u32::MAX));
        let is_quiet = now.since(last) >= QUIET_TIME.saturating_add(stagger);
        if !is_quiet && now.since(first) < MAX_GATHER_TIME.saturating_add(stagger) {
            return None;
        }
        let revision = self.joiners.values().map(|joiner| joiner.revision).max()?;
        Some((self.joiners.values().map(|joiner| joiner.member.clone()).collect(), revision))
    }

    /// Returns the rank of this process as a host; `None` if it is none.
    ///
    /// The first members by weight are hosts. If the members that were there before this process
    /// started have all ended, those that have joined since are hosts too.
    pub(crate) fn host_rank(&self, view: &View, me: Incarnation) -> Option<usize> {
        let rank_among = |is_candidate: &dyn Fn(Incarnation) -> bool| {
            let weight = rendezvous_weight(b"host", me);
            let ids = view.members.iter().map(|m| m.incarnation).filter(|id| is_candidate(*id));
            ids.filter(|id| rendezvous_weight(b"host", *id) > weight).count()
        };
        let of_all = rank_among(&|_| true);
        let of_new = rank_among(&|id| self.is_new(id));
        Some(of_all.min(of_new)).filter(|rank| *rank < HOSTS)
    }
}

/// Encodes the announcement of a process.
pub(crate) fn encode(member: &Member) -> Vec<u8> {
    // Serialization to JSON cannot fail for this type.
    serde_json::to_vec(member).unwrap_or_default()
}

/// Decodes the announcement of a process; `None` if it is not one.
fn decode(found: &Versioned) -> Option<Member> {
    serde_json::from_slice(found.value.as_ref()?).ok()
}
