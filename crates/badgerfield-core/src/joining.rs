//! Joining a large fleet, when many processes start at the same time.
//!
//! Each process could write itself into the view. But of concurrent writes only one succeeds, and
//! each success makes all others retry, so that the number of writes grows with the square of the
//! fleet's size. A process whose write has failed with a conflict therefore sends a request to a
//! member that has just joined. That member adds all processes that asked it in one write.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::amount::Time;
use crate::event::is_due;
use crate::ids::{Incarnation, rendezvous_weight};
use crate::view::{Member, View};

/// Number of writes that fail with a conflict before a process asks a member instead.
///
/// One is enough, since the view that caused the conflict names a member that is running.
const MAX_LOST_WRITES: u32 = 1;
/// Interval between requests to a member.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// Number of members that are asked before the process tries to write the view itself again.
const MAX_REQUESTS: u32 = 4;
/// How long a member keeps a request to join.
const REQUEST_TTL: Duration = Duration::from_millis(500);

/// The next step of a process that is joining.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JoinStep {
    /// Write the view with this process added.
    Write,
    /// Send a request to this member.
    RequestFrom(Incarnation),
    /// Wait for the member that was asked.
    Wait,
}

/// This process's own attempts to join, and the requests of other processes to be added.
#[derive(Debug, Default)]
pub(crate) struct Joining {
    /// The members of the first view that this process has read; they may have ended long ago.
    initial_members: Option<BTreeSet<Incarnation>>,
    lost_writes: u32,
    request_count: u32,
    requested_at: Option<Time>,
    /// The processes that asked this one to add them, with the time of the request.
    requests: BTreeMap<Incarnation, (Member, Time)>,
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
    pub(crate) fn record_conflict(&mut self) {
        self.lost_writes += 1;
    }

    /// Returns the next step of this process towards joining the view.
    pub(crate) fn next_step(&mut self, now: Time, view: &View) -> JoinStep {
        let initial_members = self.initial_members.get_or_insert_default();
        let running =
            view.members.iter().map(|m| m.incarnation).filter(|id| !initial_members.contains(id));
        let mut running: Vec<_> = running.collect();
        if self.lost_writes < MAX_LOST_WRITES || running.is_empty() {
            return JoinStep::Write;
        }
        if !is_due(now, self.requested_at, REQUEST_INTERVAL) {
            return JoinStep::Wait;
        }
        if self.request_count >= MAX_REQUESTS {
            self.request_count = 0;
            self.lost_writes = 0;
            return JoinStep::Write;
        }
        // All processes ask the same member first, so that there are few writes.
        running.sort_by_key(|id| std::cmp::Reverse(rendezvous_weight(b"host", *id)));
        let index = usize::try_from(self.request_count).unwrap_or(0) % running.len();
        self.requested_at = Some(now);
        self.request_count += 1;
        running.get(index).map_or(JoinStep::Write, |id| JoinStep::RequestFrom(*id))
    }

    /// Records the request of a process to be added to the view.
    pub(crate) fn add_joiner(&mut self, now: Time, joiner: Member) {
        self.requests.insert(joiner.incarnation, (joiner, now));
    }

    /// Returns the processes that asked recently and are not in the view.
    pub(crate) fn joiners(&mut self, now: Time, view: &View) -> Vec<Member> {
        self.requests.retain(|id, (_, at)| now.since(*at) < REQUEST_TTL && !view.has_member(*id));
        self.requests.values().map(|(joiner, _)| joiner.clone()).collect()
    }
}
