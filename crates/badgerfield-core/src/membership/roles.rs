//! Which values of the store this process reads and watches, for itself and for other members.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Membership, MembershipIntent};
use crate::amount::Time;
use crate::bootstrap;
use crate::ids::{Epoch, Incarnation, TemplateVersion};
use crate::view::{MAX_SMALL_VIEW_MEMBERS, Member, View};

/// Factor by which a process that joins waits longer between reads of the view.
const JOINING_READ_FACTOR: u32 = 3;
/// Step by which a starting process advances in the list of the region's members when it asks the
/// next one for values.
const BOOTSTRAP_PEER_STRIDE: usize = 7;
/// Maximum number of entries that all members together may read if those that usually read a value
/// of the store fail: 450 bytes each, a second of a link of 1 Gbit/s.
pub(super) const MAX_FALLBACK_ENTRIES: usize = 250_000;
impl Membership {
    /// Returns whether this process reads the store's values for its region.
    ///
    /// An isolated process may have been removed, so it reads the store itself to find out.
    pub(crate) fn is_reader(&self, now: Time) -> bool {
        if self.is_isolated(now) || !self.is_member() {
            return true;
        }
        self.ranks.is_reader()
    }

    /// Returns whether this process itself reads from the store the values that it lacks after its
    /// start. Otherwise it asks members of its region for them.
    pub(crate) fn is_bootstrap_reader(&self, now: Time) -> bool {
        let newest = if self.view.epoch > self.stored.epoch { &self.view } else { &self.stored };
        let known = (self.stored_known || self.view.epoch > Epoch(0)).then_some(&**newest);
        let span = now.since(self.large_view_at.unwrap_or_default());
        bootstrap::can_read(Time(span), known, &self.me)
    }

    /// Records when this process first knows that the fleet is large.
    pub(crate) fn record_view_size(&mut self, now: Time, view: &View) {
        if view.members.len() > MAX_SMALL_VIEW_MEMBERS {
            self.large_view_at.get_or_insert(now);
        }
    }

    /// Returns whether this process is starting together with its fleet: the view that it knows is
    /// small and does not contain it yet. Requests to the few members of that view would all come
    /// at the same moment.
    pub(crate) fn is_starting_with_fleet(&self, now: Time) -> bool {
        !self.is_member()
            && self.view.members.len() <= MAX_SMALL_VIEW_MEMBERS
            && now.0 < bootstrap::JOIN_PATIENCE
    }

    /// Returns whether this process takes part in heartbeats. One that has never been a member is
    /// known to none.
    pub(crate) fn sends_heartbeats(&self) -> bool {
        self.is_member() || self.removed || self.intent != MembershipIntent::Join
    }

    /// Returns whether this process reads the record of blocked requests from the store after its
    /// start.
    ///
    /// A process that hears from others gets the record from them, since heartbeats carry its
    /// digest. After the loss of all processes, the first ones in the order of the VMs read it.
    pub(crate) fn reads_poison_record(&self, now: Time) -> bool {
        if self.is_member() && self.view.members.len() <= MAX_SMALL_VIEW_MEMBERS {
            return true;
        }
        let is_heard =
            self.contacts.values().any(|contact| contact.last_heartbeat > Time::default());
        let is_first = self.is_member() && bootstrap::turn_of(&self.view, &self.me) == 0;
        is_first || (!is_heard && self.is_bootstrap_reader(now))
    }

    /// Returns the member of the region to ask next for the values that this process lacks after
    /// its start.
    ///
    /// Every other call, from the first on, returns the parent in the bootstrap tree, if there is
    /// one, because it has the values early. The other calls step through the members of the
    /// region.
    pub(crate) fn next_bootstrap_peer(&mut self) -> Option<Incarnation> {
        self.bootstrap_attempts += 1;
        let parent = bootstrap::tree_parent(&self.view, &self.me)
            .filter(|_| self.bootstrap_attempts % 2 == 1);
        if parent.is_some() {
            return parent;
        }
        let is_candidate = |m: &&Member| m.region == self.me.region && m.incarnation != self.id();
        let mut candidates: Vec<_> =
            self.view.members.iter().filter(is_candidate).map(|m| m.incarnation).collect();
        // Members that joined since this process started are running; others may have ended.
        let running: Vec<_> =
            candidates.iter().copied().filter(|id| self.joining.is_new(*id)).collect();
        if !running.is_empty() {
            candidates = running;
        }
        let index = self.next_peer_index.checked_rem(candidates.len())?;
        let id = candidates.get(index).copied();
        // The stride shares no factor with most region sizes, so that all members are asked.
        self.next_peer_index += BOOTSTRAP_PEER_STRIDE;
        id
    }

    /// Records that a member with a version waits for the next templates that this process gets.
    pub(crate) fn add_template_waiter(&mut self, id: Incarnation, version: TemplateVersion) {
        if self.template_waiters.len() < bootstrap::MAX_WAITERS {
            self.template_waiters.insert(id, version);
        }
    }

    /// Takes the members that wait for the next templates that this process gets, with their
    /// versions.
    pub(crate) fn take_template_waiters(&mut self) -> BTreeMap<Incarnation, TemplateVersion> {
        std::mem::take(&mut self.template_waiters)
    }

    /// Returns the interval between reads of the view, which is at least `min_interval`.
    ///
    /// A joining process that has the stored view reads it less often: a host adds it to the view,
    /// and many processes may start at once behind a slow link.
    pub(crate) fn view_read_interval(&self, min_interval: Duration) -> Duration {
        let is_joining =
            self.stored_known && !self.is_member() && self.intent == MembershipIntent::Join;
        if is_joining {
            return min_interval.saturating_mul(JOINING_READ_FACTOR);
        }
        min_interval
    }

    /// Returns whether this process watches the store's values itself.
    ///
    /// `list_age` is the time since it last received an update or a confirmation of the upstream
    /// list, which are frequent. In a small view all members watch the store. In a large view a few
    /// watch it and forward changes, more do so if these seem to be cut off, and all members do so
    /// if no updates arrive at all.
    pub(crate) fn watches_store(&self, now: Time, list_age: Option<Duration>) -> bool {
        let is_member = self.is_member();
        let is_small = self.view.members.len() <= MAX_SMALL_VIEW_MEMBERS;
        if is_member && (is_small || self.is_isolated(now)) {
            return true;
        }
        let is_heavy = self.view.members.len() * self.list_entries > MAX_FALLBACK_ENTRIES;
        let Some(percent) = self.ranks.watch_delay_percent(is_heavy) else {
            return list_age.is_none();
        };
        let wait = self.leave_notice * percent / 100;
        list_age.is_none_or(|age| age >= wait)
    }

    /// Returns the rank of this process among the members that watch the store.
    pub(crate) fn watcher_rank(&self) -> u32 {
        self.ranks.watcher_rank()
    }

    /// Returns whether this process is a watcher or a backup watcher of the store, has no rank, or
    /// hears none of the members that it watches.
    pub(crate) fn can_probe_store(&self, now: Time) -> bool {
        let is_small = self.view.members.len() <= MAX_SMALL_VIEW_MEMBERS;
        is_small || self.ranks.can_probe() || self.is_isolated(now)
    }

    /// Returns the rank of this process among the hosts of joining processes, if it is one.
    pub(crate) fn host_rank(&self) -> Option<usize> {
        self.host_rank
    }

    /// Returns whether no member that this process watches is responsive.
    pub(super) fn is_isolated(&self, now: Time) -> bool {
        self.watched().all(|(_, m)| self.silence(now, m.incarnation) >= self.unresponsive_after)
    }

    /// Returns whether this process marks views as complete in the store.
    pub(crate) fn is_completion_writer(&self) -> bool {
        self.ranks.is_completion_writer()
    }

    /// Returns whether this process has to read the view from the store before it can mark the
    /// epoch `complete` as complete, because it has received the current view from peers only.
    pub(crate) fn must_read_to_complete(&self, complete: Epoch) -> bool {
        complete == self.view.epoch && self.stored.epoch < complete && self.is_completion_writer()
    }
}
