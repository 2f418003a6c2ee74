//! Joining a large fleet: how many processes that start at once get into the view.
//!
//! Each of them could write itself into the view, but only one write of many at once wins,
//! and each win makes all others try again: the writes grow with the square of the fleet.
//! So whoever has lost a write asks a member that has just joined, which writes all who
//! asked it in one step.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::amount::Time;
use crate::event::is_due;
use crate::ids::{Incarnation, rendezvous_weight};
use crate::view::{Member, View};

/// After how many lost writes a process asks a member instead: what the write has met names
/// one that is alive.
const LOST: u32 = 1;
/// How often a member is asked.
const ASK: Duration = Duration::from_millis(250);
/// How many members are asked before the process writes for itself again.
const ASKS: u32 = 4;
/// How long an ask is remembered by the member that was asked.
const REMEMBER: Duration = Duration::from_millis(500);

/// What a process that wants to join does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JoinStep {
    /// Write itself into the view.
    Write,
    /// Ask this member.
    RequestFrom(Incarnation),
    /// Wait for the member that was asked.
    Wait,
}

/// Both sides of joining.
#[derive(Debug, Default)]
pub(crate) struct Joining {
    /// The members of the first view that was seen; they may have ended long ago.
    first: Option<BTreeSet<Incarnation>>,
    lost: u32,
    asks: u32,
    asked: Option<Time>,
    /// Those who asked this process, and when.
    guests: BTreeMap<Incarnation, (Member, Time)>,
}

impl Joining {
    /// Notes a view that was read.
    pub(crate) fn record_view(&mut self, view: &View) {
        self.first.get_or_insert_with(|| view.members.iter().map(|m| m.incarnation).collect());
    }

    /// Tells whether a member has joined since the first view that was seen.
    pub(crate) fn is_new(&self, id: Incarnation) -> bool {
        self.first.as_ref().is_some_and(|first| !first.contains(&id))
    }

    /// Notes that another process's write of the view came first.
    pub(crate) fn record_conflict(&mut self) {
        self.lost += 1;
    }

    /// Decides how a process gets into the view.
    pub(crate) fn next_step(&mut self, now: Time, view: &View) -> JoinStep {
        let first = self.first.get_or_insert_default();
        let alive = view.members.iter().map(|m| m.incarnation).filter(|id| !first.contains(id));
        let mut alive: Vec<_> = alive.collect();
        if self.lost < LOST || alive.is_empty() {
            return JoinStep::Write;
        }
        if !is_due(now, self.asked, ASK) {
            return JoinStep::Wait;
        }
        if self.asks >= ASKS {
            self.asks = 0;
            self.lost = 0;
            return JoinStep::Write;
        }
        // All ask the same member, so that few writes are made.
        alive.sort_by_key(|id| std::cmp::Reverse(rendezvous_weight(b"host", *id)));
        let place = usize::try_from(self.asks).unwrap_or(0) % alive.len();
        self.asked = Some(now);
        self.asks += 1;
        alive.get(place).map_or(JoinStep::Write, |id| JoinStep::RequestFrom(*id))
    }

    /// Notes a process that asks to be written into the view.
    pub(crate) fn add_joiner(&mut self, now: Time, guest: Member) {
        self.guests.insert(guest.incarnation, (guest, now));
    }

    /// Returns those who asked a moment ago and are not in the view.
    pub(crate) fn joiners(&mut self, now: Time, view: &View) -> Vec<Member> {
        self.guests.retain(|id, (_, at)| now.since(*at) < REMEMBER && !view.has(*id));
        self.guests.values().map(|(guest, _)| guest.clone()).collect()
    }
}
