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
//!
//! A host may read an announcement late, or it may be written late, when its process has ended and a
//! newer one of its VM is a member. An announcement therefore names the earlier processes of its VM,
//! and replaces a member only if it names it. A process that finds another one of its VM in the view
//! names that one too and announces itself again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

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
/// Maximum number of earlier processes that an announcement names: hosts read all announcements. If
/// one more is a member, the process notices that and names it.
const MAX_EARLIER: usize = 8;

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

/// The announcement of a process, as it is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Announcement {
    #[serde(flatten)]
    member: Member,
    /// The earlier processes of the VM that are known to this one, the newest last. Processes of the
    /// version before do not write this field, and ignore it.
    #[serde(default)]
    earlier: Option<Vec<Incarnation>>,
}

/// A process that has announced itself.
#[derive(Debug, Clone)]
struct Joiner {
    announcement: Announcement,
    revision: u64,
}

impl Joiner {
    /// Returns whether this process may become the member of its VM instead of the present one.
    fn may_replace(&self, present: Incarnation) -> bool {
        if present == self.announcement.member.incarnation {
            return false;
        }
        self.announcement.earlier.as_ref().is_none_or(|earlier| earlier.contains(&present))
    }
}

/// This process's own attempts to join, and the announcements of other processes.
#[derive(Debug, Default)]
pub(crate) struct Joining {
    /// The members of the first view that this process has read; they may have ended long ago.
    initial_members: Option<BTreeSet<Incarnation>>,
    lost_writes: u32,
    /// The time before which this process does not write itself into the view again.
    retry_at: Time,
    /// The earlier processes of this VM that are known, the newest last.
    earlier: Vec<Incarnation>,
    /// Those that the announcement names which was written last, maybe without success.
    sent_earlier: Vec<Incarnation>,
    /// Those that the announcement in the store names, if it is one of this process.
    announced_earlier: Option<Vec<Incarnation>>,
    /// The revision of the announcement in the store that this process or an earlier one of this VM
    /// has written.
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
        let of_vm = view.members.iter().filter(|m| m.vm == me.vm);
        self.record_earlier(of_vm.map(|m| m.incarnation), me);
        let is_announced = self.announced_earlier.as_ref() == Some(&self.earlier);
        if is_announced || !is_due(now, self.announced_at, ANNOUNCE_INTERVAL) {
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

    /// Records processes of this VM. They have ended, since this one holds the VM's listener.
    fn record_earlier(&mut self, ids: impl Iterator<Item = Incarnation>, me: &Member) {
        for id in ids {
            if id == me.incarnation || self.earlier.contains(&id) {
                continue;
            }
            self.earlier.push(id);
        }
        let excess = self.earlier.len().saturating_sub(MAX_EARLIER);
        self.earlier.drain(..excess);
    }

    /// Returns the announcement of this process, encoded, and records that it is being written.
    pub(crate) fn announcement(&mut self, me: &Member) -> Vec<u8> {
        self.sent_earlier.clone_from(&self.earlier);
        let announcement =
            Announcement { member: me.clone(), earlier: Some(self.sent_earlier.clone()) };
        // Serialization to JSON cannot fail for this type.
        serde_json::to_vec(&announcement).unwrap_or_default()
    }

    /// Records that the announcement of this process was stored with a revision.
    pub(crate) fn record_announced(&mut self, revision: u64) {
        self.announced_earlier = Some(self.sent_earlier.clone());
        self.known_revision = revision;
    }

    /// Records the announcement that is in the store instead of the one that was written.
    pub(crate) fn record_other_announcement(&mut self, found: &Versioned, me: &Member) {
        self.known_revision = found.revision;
        self.announced_at = None;
        let Some(announcement) = decode(found) else {
            return;
        };
        let earlier = announcement.earlier.unwrap_or_default();
        if announcement.member == *me {
            // A write whose answer was lost has succeeded.
            self.announced_earlier = Some(earlier);
            return;
        }
        // The processes that are known already are members, and may be newer than these.
        let known = std::mem::take(&mut self.earlier);
        let ids = earlier.into_iter().chain([announcement.member.incarnation]).chain(known);
        self.record_earlier(ids, me);
    }

    /// Records announcements that were read from the store.
    pub(crate) fn add_joiners(&mut self, now: Time, view: &View, found: &[Versioned]) {
        for item in found {
            let Some(announcement) = decode(item) else {
                continue;
            };
            let member = &announcement.member;
            if item.revision <= view.joined_revision || view.has_member(member.incarnation) {
                continue;
            }
            // Of two processes of one VM, the one with the older announcement has ended.
            let known = self.joiners.get(&member.vm).map_or(0, |joiner| joiner.revision);
            if item.revision <= known {
                continue;
            }
            let vm = member.vm.clone();
            self.joiners.insert(vm, Joiner { announcement, revision: item.revision });
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
        self.retain_joiners(view);
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
        let members = self.joiners.values().map(|joiner| joiner.announcement.member.clone());
        Some((members.collect(), revision))
    }

    /// Forgets the announced processes that are members, were members before, or have ended before
    /// the member of their VM started.
    fn retain_joiners(&mut self, view: &View) {
        if self.joiners.is_empty() {
            return;
        }
        let present: BTreeMap<_, _> = view.members.iter().map(|m| (&m.vm, m.incarnation)).collect();
        self.joiners.retain(|vm, joiner| {
            joiner.revision > view.joined_revision
                && present.get(vm).is_none_or(|id| joiner.may_replace(*id))
        });
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

/// Decodes the announcement of a process; `None` if it is not one.
fn decode(found: &Versioned) -> Option<Announcement> {
    serde_json::from_slice(found.value.as_ref()?).ok()
}
