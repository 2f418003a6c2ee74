//! The steps of a roll-out's record, as one judge takes them.
//!
//! Each step is one compare-and-swap on what the judge knows to stand there. Of two that are
//! under way at once, one meets another value and takes that in; one that is carried out long
//! after it was given up finds its value gone. So a judge that was paused, or knows little,
//! can waste a call, and break nothing.

use std::time::Duration;

use super::belief::refused_after;
use super::plan;
use super::{
    Judge, KnownRollout, RolloutOrder, RolloutPhase, RolloutProgress, RolloutReason, RolloutRecord,
    RolloutState,
};
use crate::amount::Time;
use crate::event::is_due;
use crate::ids::Incarnation;
use crate::seal::FleetClock;

/// How much longer each further judge waits before it takes a step that is due: more than a
/// call to the platform and the news of it take.
const TURN_WAIT: Duration = Duration::from_millis(1500);
/// The least time between two calls by one judge of which the first told nothing of the record.
const CALL_PAUSE: Duration = Duration::from_millis(500);

/// What a judge knows beside the record and the tallies.
#[derive(Debug, Clone, Copy)]
pub struct StepContext<'a> {
    /// The present time.
    pub now: Time,
    /// What is known of the order.
    pub known: &'a KnownRollout,
    /// When the order was heard of here.
    pub received: Time,
    /// The fleet's time.
    pub clock: FleetClock,
    /// How long a request of the service may run.
    pub max_duration: Duration,
    /// All members of the view, those that leave among them.
    pub members: &'a [Incarnation],
    /// When the platform was asked for the view that was read last.
    pub view_requested: Option<Time>,
    /// The place of this process among the judges.
    pub rank: u32,
}

/// A call that a judge makes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecorderCall {
    /// Read the record.
    Read,
    /// Read the view.
    ReadView,
    /// Write the record where this revision stands.
    Write(u64, RolloutRecord),
}

/// The record of one service as a judge knows it, and the evidence on the newest order.
#[derive(Debug, Clone, Default)]
pub struct Recorder {
    /// The evidence.
    pub judge: Judge,
    /// The record with its revision; nothing until it was read.
    stored: Option<(u64, Option<RolloutRecord>)>,
    /// Whether a call about the record is under way.
    is_calling: bool,
    /// When the last call was made, unless it told what stands in the record.
    called_at: Option<Time>,
    /// The step that is due, and since when: later judges wait for earlier ones to take it.
    wanted: Option<(RolloutRecord, Time)>,
    /// Since when all members that are known here have confirmed.
    moved_at: Option<Time>,
}

impl Recorder {
    /// Begins to judge a newer order.
    pub fn renew(&mut self) {
        self.judge = Judge::default();
        self.wanted = None;
        self.moved_at = None;
    }

    /// Notes what stands in the record; returns how far the newest order has come by it.
    pub fn apply_record(
        &mut self,
        revision: u64,
        record: Option<RolloutRecord>,
        known: &KnownRollout,
    ) -> Option<RolloutProgress> {
        self.is_calling = false;
        // A stale read names an older revision, and one that was removed has none: what stands
        // there is then asked for again, at the pace of calls that told nothing.
        let is_stale = self.stored.as_ref().is_some_and(|(newest, _)| revision < *newest);
        if is_stale {
            self.stored = None;
            return self.stage(known);
        }
        // Only calls that told nothing are spaced.
        self.called_at = None;
        self.stored = Some((revision, record));
        self.stage(known)
    }

    /// Notes that a call did not say what stands in the record; it is looked up next.
    pub fn invalidate(&mut self) {
        self.is_calling = false;
        self.stored = None;
    }

    /// Notes that this process is no judge any more: others write what it knows.
    pub fn stop_judging(&mut self) {
        self.stored = None;
        self.wanted = None;
    }

    /// Returns how far the newest order has come by the record.
    fn stage(&self, known: &KnownRollout) -> Option<RolloutProgress> {
        let (_, record) = self.stored.as_ref()?;
        if known.change.order.is_some() {
            let record = record.as_ref()?;
            return (record.order == known.change.revision).then(|| RolloutProgress::of(record));
        }
        // A withdrawn order is over once the record of the one before it is.
        let record = record.as_ref().filter(|record| record.order < known.change.revision);
        if record.is_some_and(|record| !record.state.is_final()) {
            return None;
        }
        let refused = record.map(|record| refused_after(record, None)).unwrap_or_default();
        Some(RolloutProgress {
            phase: RolloutPhase::RolledBack,
            reason: RolloutReason::Withdrawn,
            refused,
        })
    }

    /// Returns the call that is due, if one is.
    pub fn next_call(&mut self, at: &StepContext<'_>) -> Option<RecorderCall> {
        if self.is_calling || !is_due(at.now, self.called_at, CALL_PAUSE) {
            return None;
        }
        let Some((revision, record)) = &self.stored else {
            self.is_calling = true;
            self.called_at = Some(at.now);
            return Some(RecorderCall::Read);
        };
        let revision = *revision;
        let next = self.next(at, record.as_ref());
        let completes = next.as_ref().is_some_and(|n| n.state == RolloutState::Completed);
        self.moved_at = if completes { self.moved_at.or(Some(at.now)) } else { None };
        let Some(next) = next else {
            self.wanted = None;
            return None;
        };
        let since = self.due_since(at.now, &next);
        if at.now.since(since) < TURN_WAIT.saturating_mul(at.rank) {
            return None;
        }
        self.called_at = Some(at.now);
        // Who joined meanwhile counts as well. Whoever joins after the view was read meets only
        // members that know that all requests move.
        if self.moved_at.is_some_and(|since| at.view_requested.is_none_or(|asked| asked < since)) {
            return Some(RecorderCall::ReadView);
        }
        self.is_calling = true;
        Some(RecorderCall::Write(revision, next))
    }

    /// Notes that a step is due; returns since when it is, without a break.
    fn due_since(&mut self, now: Time, next: &RolloutRecord) -> Time {
        let is_same = |wanted: &RolloutRecord| {
            (wanted.order, wanted.state, wanted.moving) == (next.order, next.state, next.moving)
        };
        let since = match &self.wanted {
            Some((wanted, since)) if is_same(wanted) => *since,
            _ => now,
        };
        self.wanted = Some((next.clone(), since));
        since
    }

    /// Returns the record that should stand there, if it is another.
    fn next(&self, at: &StepContext<'_>, record: Option<&RolloutRecord>) -> Option<RolloutRecord> {
        let newest = at.known.change.revision;
        let Some(order) = &at.known.change.order else {
            let open = record.filter(|record| record.order < newest && !record.state.is_final())?;
            return Some(end(open, RolloutState::RolledBack, RolloutReason::Withdrawn));
        };
        let Some(record) = record.filter(|record| record.order >= newest) else {
            return Some(begin(at, order, record));
        };
        if record.order > newest || record.state.is_final() {
            return None;
        }
        let stage = at.known.stage.as_ref().filter(|stage| stage.phase == RolloutPhase::Rejected);
        if let Some(stage) = stage {
            return Some(end(record, RolloutState::RolledBack, stage.reason));
        }
        if !record.moving {
            let due = plan::moves_after(order.span, at.max_duration);
            let is_young = self.judge.is_young(order.span);
            let due = if is_young { plan::latest(order.span, due) } else { due };
            if elapsed(at, record) < due {
                return None;
            }
            return Some(match self.judge.last_verdict(order.span) {
                Some(reason) => end(record, RolloutState::RolledBack, reason),
                None => {
                    RolloutRecord { moving: true, reason: RolloutReason::Good, ..record.clone() }
                }
            });
        }
        let all_moved = at.members.iter().all(|id| self.judge.has_confirmed(*id));
        all_moved.then(|| end(record, RolloutState::Completed, RolloutReason::Moved))
    }
}

/// Returns the first record of an order; `last` is that of an earlier one.
fn begin(
    at: &StepContext<'_>,
    order: &RolloutOrder,
    last: Option<&RolloutRecord>,
) -> RolloutRecord {
    let refused = last.map(|last| refused_after(last, Some(&order.target))).unwrap_or_default();
    RolloutRecord {
        state: RolloutState::InProgress,
        target: order.target.clone(),
        order: at.known.change.revision,
        moving: false,
        began: at.clock.time_at(at.received).map(|time| time.0),
        reason: RolloutReason::Ordered,
        refused,
    }
}

fn end(record: &RolloutRecord, state: RolloutState, reason: RolloutReason) -> RolloutRecord {
    RolloutRecord { state, reason, ..record.clone() }
}

/// Returns how long ago the order was made, by this process and by whoever wrote the record.
fn elapsed(at: &StepContext<'_>, record: &RolloutRecord) -> Duration {
    let here = at.now.since(at.received);
    let told = record
        .began
        .zip(at.clock.time_at(at.now))
        .map(|(began, now)| Duration::from_millis(now.0.saturating_sub(began)));
    told.map_or(here, |told| told.max(here))
}
