//! Members that leave a large view, as gathered by a host and as asked for by a leaving process.
//!
//! If each process wrote its own departure, only one of several concurrent writes would succeed,
//! and each success would make all others retry. Each view also costs every member messages, and
//! handovers that are under way have to be acknowledged again. A process that wants to leave or
//! quit therefore notifies a host, as joining processes announce themselves, and a host writes all
//! departures that it has gathered at once.
//!
//! A notice that is lost, late or received twice does no harm: a process that has begun to leave
//! never becomes active again, one that quits holds nothing, and each notifies further hosts and
//! finally writes for itself until the view shows its departure.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Membership, MembershipIntent};
use crate::amount::Time;
use crate::event::is_due;
use crate::ids::{Epoch, Incarnation, rendezvous_weight};
use crate::view::{MAX_SMALL_VIEW_MEMBERS, MemberState, View};

/// Time without a further notice after which a host writes the departures.
const QUIET_TIME: Duration = Duration::from_millis(150);
/// Maximum time for which a host waits for further notices.
const MAX_GATHER_TIME: Duration = Duration::from_millis(600);
/// Interval between two notices of one process.
const NOTICE_INTERVAL: Duration = Duration::from_millis(400);
/// Notices to the first host alone before each further notice also goes to one more host.
const NOTICES_TO_FIRST_HOST: usize = 2;
/// Maximum number of hosts that one notice goes to.
const MAX_NOTIFIED_HOSTS: usize = 3;
/// Time after which a process writes its departure itself: no host is left, or none reaches the
/// store.
const OWN_WRITE_DELAY: Duration = Duration::from_millis(2500);
/// Range of the delay that is added to [`OWN_WRITE_DELAY`], in milliseconds: without it, all
/// processes whose hosts have ended would write at the same time.
const OWN_WRITE_SPREAD_MS: u64 = 1000;

/// A departure of which a host was notified.
#[derive(Debug, Clone, Copy)]
struct Notice {
    quits: bool,
    /// The epoch of the sender's view.
    epoch: Epoch,
}

/// The departures that a host is to write.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    notices: BTreeMap<Incarnation, Notice>,
    /// When the first and the last of these departures became known.
    gathered: Option<(Time, Time)>,
}

impl Departures {
    /// Records a notice of a process.
    pub(crate) fn record(&mut self, now: Time, id: Incarnation, quits: bool, epoch: Epoch) {
        let old = self.notices.get(&id).copied();
        let quits = quits || old.is_some_and(|notice| notice.quits);
        self.notices.insert(id, Notice { quits, epoch });
        // A repeated notice does not delay the others.
        if old.is_none_or(|old| old.quits != quits) {
            let first = self.gathered.map_or(now, |(first, _)| first);
            self.gathered = Some((first, now));
        }
    }

    /// Removes the notices that a stored view shows. Returns their senders, with the epochs of
    /// their views.
    pub(crate) fn take_written(&mut self, stored: &View) -> Vec<(Incarnation, Epoch)> {
        let is_written = |id: &Incarnation, notice: &Notice| is_shown(stored, *id, notice.quits);
        let written: Vec<_> = self
            .notices
            .iter()
            .filter(|(id, notice)| is_written(id, notice))
            .map(|(id, notice)| (*id, notice.epoch))
            .collect();
        self.notices.retain(|id, notice| !is_written(id, notice));
        if self.notices.is_empty() {
            self.gathered = None;
        }
        written
    }

    /// Returns the stored view with all departures, once no further notices arrive.
    pub(crate) fn due_view(&mut self, now: Time, stored: &View, handed_over: bool) -> Option<View> {
        self.notices.retain(|id, notice| !is_shown(stored, *id, notice.quits));
        if self.notices.is_empty() {
            self.gathered = None;
            return None;
        }
        let (first, last) = self.gathered?;
        if now.since(last) < QUIET_TIME && now.since(first) < MAX_GATHER_TIME {
            return None;
        }
        let quitting: Vec<_> =
            self.notices.iter().filter(|(_, notice)| notice.quits).map(|(id, _)| *id).collect();
        let mut next = stored.without_members(&quitting, handed_over);
        for member in &mut next.members {
            if self.notices.contains_key(&member.incarnation) {
                member.standing = MemberState::Leaving;
            }
        }
        Some(next)
    }
}

/// The notices that this process has sent about its own departure.
#[derive(Debug, Default)]
pub(crate) struct OwnNotices {
    /// Whether they are about quitting, and the time of the first one.
    begun: Option<(bool, Time)>,
    sent: usize,
    sent_at: Option<Time>,
}

impl Membership {
    /// Returns whether this process writes its own departure. In a large view hosts do that, unless
    /// none has for a while.
    pub(crate) fn writes_departure(&self, now: Time) -> bool {
        if self.view.members.len() <= MAX_SMALL_VIEW_MEMBERS {
            return true;
        }
        let Some((_, since)) = self.own_notices.begun else {
            return false;
        };
        let spread = rendezvous_weight(b"departure", self.id()) % OWN_WRITE_SPREAD_MS;
        now.since(since) >= OWN_WRITE_DELAY.saturating_add(Duration::from_millis(spread))
    }

    /// Returns the hosts that this process notifies of its departure now, and whether it quits.
    pub(crate) fn departure_notices(&mut self, now: Time) -> (Vec<Incarnation>, bool) {
        let quits = self.intent == MembershipIntent::Quit;
        let is_needed = self.intent != MembershipIntent::Join
            && self.view.members.len() > MAX_SMALL_VIEW_MEMBERS
            && !is_shown(&self.view, self.id(), quits);
        if !is_needed {
            return (Vec::new(), quits);
        }
        if self.own_notices.begun.is_none_or(|(begun, _)| begun != quits) {
            self.own_notices = OwnNotices { begun: Some((quits, now)), ..OwnNotices::default() };
        }
        if !is_due(now, self.own_notices.sent_at, NOTICE_INTERVAL) {
            return (Vec::new(), quits);
        }
        self.own_notices.sent_at = Some(now);
        self.own_notices.sent += 1;
        let count = self.own_notices.sent.saturating_sub(NOTICES_TO_FIRST_HOST) + 1;
        (self.hosts(now, count.min(MAX_NOTIFIED_HOSTS)), quits)
    }

    /// Returns the first active members by weight as hosts, without silent ones.
    fn hosts(&self, now: Time, count: usize) -> Vec<Incarnation> {
        let silent = self.silent_members(now);
        let is_host = |id: &Incarnation| *id != self.id() && !silent.contains(id);
        let active = self.view.members.iter().filter(|m| m.standing == MemberState::Active);
        let mut ids: Vec<_> = active.map(|m| m.incarnation).filter(is_host).collect();
        ids.sort_by_cached_key(|id| std::cmp::Reverse(rendezvous_weight(b"host", *id)));
        ids.truncate(count);
        ids
    }
}

/// Returns whether a view shows a departure.
pub(crate) fn is_shown(view: &View, id: Incarnation, quits: bool) -> bool {
    view.member(id).is_none_or(|m| !quits && m.standing == MemberState::Leaving)
}
