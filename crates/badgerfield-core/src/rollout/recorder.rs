//! The steps of a rollout's record, as taken by one judge.
//!
//! Each step is one compare-and-swap against the value that the judge last read. Of two concurrent
//! writes, the later one fails, and its judge reads the new value. A write that the store carries
//! out long after the call timed out fails too if the value has changed meanwhile. A judge that was
//! stalled or has an outdated state can therefore waste a call, but cannot overwrite a newer
//! record.

use std::time::Duration;

use super::known_rollouts::refused_after;
use super::plan;
use super::{
    Judge, KnownRollout, RolloutOrder, RolloutPhase, RolloutProgress, RolloutReason, RolloutRecord,
    RolloutState,
};
use crate::amount::Time;
use crate::event::is_due;
use crate::ids::Incarnation;
use crate::seal::FleetClock;

/// Additional delay for each rank of a judge before it takes a step that is due. It is longer than
/// a store call and the update that announces its result take.
const RANK_DELAY: Duration = Duration::from_millis(1500);
/// Minimum time between two writes of evidence in a small fleet.
const EVIDENCE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of members from which writes of evidence, whose size grows with that number, are spaced in
/// proportion to it.
const MEMBERS_PER_SECOND: u32 = 64;
/// Minimum time between two calls of one judge if the first did not return the record.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(500);

/// The input of a step besides the record and the tallies.
#[derive(Debug, Clone, Copy)]
pub struct StepContext<'a> {
    /// The current time.
    pub now: Time,
    /// The order and its progress.
    pub known: &'a KnownRollout,
    /// When this process received the order.
    pub received: Time,
    /// The fleet's clock.
    pub clock: FleetClock,
    /// The maximum duration of a request to the service.
    pub max_duration: Duration,
    /// All members of the view, including those that are leaving.
    pub members: &'a [Incarnation],
    /// When the view that was read last was requested from the store.
    pub view_requested: Option<Time>,
    /// The rank of this process among the judges.
    pub rank: u32,
}

/// A store call of a judge.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecorderCall {
    /// Read the record.
    Read,
    /// Read the view.
    ReadView,
    /// Write the record if the stored one has this revision.
    Write(u64, RolloutRecord),
}

/// The record of one service as a judge knows it, and the evidence on the newest order.
#[derive(Debug, Clone, Default)]
pub struct Recorder {
    /// The evidence on the newest order.
    pub judge: Judge,
    /// The record and its revision; `None` until it has been read.
    stored: Option<(u64, Option<RolloutRecord>)>,
    /// Whether a call for the record is pending.
    is_call_pending: bool,
    /// When the last call was made, unless it returned the record.
    last_call: Option<Time>,
    /// The step that is due, and since when. Judges of a higher rank wait for those of a lower rank
    /// to take it.
    due_step: Option<(RolloutRecord, Time)>,
    /// Since when all known members have confirmed that they have moved.
    all_moved_at: Option<Time>,
    /// Whether the judge has the evidence in the record.
    has_evidence: bool,
    /// When evidence was last written.
    evidence_at: Option<Time>,
}

impl Recorder {
    /// Discards the evidence on the previous order, for a newer one.
    pub fn reset(&mut self) {
        self.judge = Judge::default();
        self.due_step = None;
        self.all_moved_at = None;
        self.has_evidence = false;
    }

    /// Applies the record that a call returned. Returns the progress of the newest order according
    /// to the record.
    pub fn apply_record(
        &mut self,
        revision: u64,
        record: Option<RolloutRecord>,
        known: &KnownRollout,
    ) -> Option<RolloutProgress> {
        self.is_call_pending = false;
        // A stale read returns an older revision, and a removed record has none. In both cases the
        // record is read again, after `MIN_CALL_INTERVAL`.
        let is_stale = self.stored.as_ref().is_some_and(|(newest, _)| revision < *newest);
        if is_stale {
            self.stored = None;
            return self.progress(known);
        }
        // Only calls that did not return the record are spaced.
        self.last_call = None;
        self.stored = Some((revision, record));
        self.apply_evidence(known);
        self.progress(known)
    }

    /// Applies the evidence in the record to the judge, if it is on the newest order.
    fn apply_evidence(&mut self, known: &KnownRollout) {
        let (service, order) = (&known.change.service, known.change.revision);
        let record = self.stored.as_ref().and_then(|(_, record)| record.as_ref());
        let evidence =
            record.filter(|record| record.order == order).and_then(|r| r.evidence.as_ref());
        if let Some(evidence) = evidence {
            self.judge.apply_recorded(service, order, evidence);
        }
        self.has_evidence = true;
    }

    /// Handles a call that did not return the record: the record is read next.
    pub fn invalidate(&mut self) {
        self.is_call_pending = false;
        self.stored = None;
    }

    /// Stops judging: other judges write the record.
    pub fn stop_judging(&mut self) {
        self.stored = None;
        self.due_step = None;
    }

    /// Returns the progress of the newest order according to the record.
    fn progress(&self, known: &KnownRollout) -> Option<RolloutProgress> {
        let (_, record) = self.stored.as_ref()?;
        if known.change.order.is_some() {
            let record = record.as_ref()?;
            return (record.order == known.change.revision)
                .then(|| RolloutProgress::from_record(record));
        }
        // A withdrawn order has ended once the record of the order before it has a final state.
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

    /// Returns the call that is due, if there is one.
    pub fn next_call(&mut self, context: &StepContext<'_>) -> Option<RecorderCall> {
        if self.is_call_pending || !is_due(context.now, self.last_call, MIN_CALL_INTERVAL) {
            return None;
        }
        if !self.has_evidence {
            self.apply_evidence(context.known);
        }
        let Some((revision, record)) = &self.stored else {
            self.is_call_pending = true;
            self.last_call = Some(context.now);
            return Some(RecorderCall::Read);
        };
        let revision = *revision;
        let next = self.next_record(context, record.as_ref());
        let is_completion = next.as_ref().is_some_and(|n| n.state == RolloutState::Completed);
        self.all_moved_at =
            if is_completion { self.all_moved_at.or(Some(context.now)) } else { None };
        let Some(next) = next else {
            self.due_step = None;
            return self.evidence_call(context);
        };
        let since = self.due_since(context.now, &next);
        if context.now.since(since) < RANK_DELAY.saturating_mul(context.rank) {
            return None;
        }
        self.last_call = Some(context.now);
        // Members that have joined meanwhile must confirm too, so the view is read again. A process
        // that joins after that read receives its state from members that know that all requests
        // move.
        if self.all_moved_at.is_some_and(|since| {
            context.view_requested.is_none_or(|requested_at| requested_at < since)
        }) {
            return Some(RecorderCall::ReadView);
        }
        self.is_call_pending = true;
        Some(RecorderCall::Write(revision, next))
    }

    /// Returns a write of the evidence, so that it outlasts all processes, if one is due. Judges of
    /// a higher rank know the evidence from the same reports.
    fn evidence_call(&mut self, context: &StepContext<'_>) -> Option<RecorderCall> {
        let (revision, record) = self.stored.as_ref()?;
        let record = record.as_ref().filter(|record| {
            record.order == context.known.change.revision && !record.state.is_final()
        })?;
        let members = u32::try_from(context.members.len()).unwrap_or(u32::MAX);
        let interval = Duration::from_secs(1).saturating_mul(members) / MEMBERS_PER_SECOND;
        let interval = interval.max(EVIDENCE_INTERVAL);
        if context.rank > 0 || !is_due(context.now, self.evidence_at, interval) {
            return None;
        }
        let evidence = self.judge.evidence_to_record(record.evidence.as_deref())?;
        let evidence = Some(Box::new(evidence));
        let call = RecorderCall::Write(*revision, RolloutRecord { evidence, ..record.clone() });
        self.evidence_at = Some(context.now);
        self.last_call = Some(context.now);
        self.is_call_pending = true;
        Some(call)
    }

    /// Records that a step is due, and returns since when it has been due without interruption.
    fn due_since(&mut self, now: Time, next: &RolloutRecord) -> Time {
        let is_same = |step: &RolloutRecord| {
            (step.order, step.state, step.moving) == (next.order, next.state, next.moving)
        };
        let since = match &self.due_step {
            Some((step, since)) if is_same(step) => *since,
            _ => now,
        };
        self.due_step = Some((next.clone(), since));
        since
    }

    /// Returns the record that should be stored, if it differs from the present one.
    fn next_record(
        &self,
        context: &StepContext<'_>,
        record: Option<&RolloutRecord>,
    ) -> Option<RolloutRecord> {
        let newest = context.known.change.revision;
        let Some(order) = &context.known.change.order else {
            let unfinished =
                record.filter(|record| record.order < newest && !record.state.is_final())?;
            return Some(ended_record(
                unfinished,
                RolloutState::RolledBack,
                RolloutReason::Withdrawn,
            ));
        };
        let Some(record) = record.filter(|record| record.order >= newest) else {
            return Some(first_record(context, order, record));
        };
        if record.order > newest || record.state.is_final() {
            return None;
        }
        let stage =
            context.known.stage.as_ref().filter(|stage| stage.phase == RolloutPhase::Rejected);
        if let Some(stage) = stage {
            return Some(ended_record(record, RolloutState::RolledBack, stage.reason));
        }
        if !record.moving {
            let due = plan::move_start(order.span, context.max_duration);
            let has_short_history = self.judge.has_short_history(order.span);
            let due =
                if has_short_history { plan::latest_move_start(order.span, due) } else { due };
            if time_since_order(context, record) < due {
                return None;
            }
            return Some(match self.judge.final_verdict(order.span) {
                Some(reason) => ended_record(record, RolloutState::RolledBack, reason),
                None => {
                    RolloutRecord { moving: true, reason: RolloutReason::Good, ..record.clone() }
                }
            });
        }
        let all_moved = context.members.iter().all(|id| self.judge.has_confirmed(*id));
        if !all_moved {
            return None;
        }
        Some(match self.judge.verdict_after_move() {
            Some(reason) => ended_record(record, RolloutState::RolledBack, reason),
            None => ended_record(record, RolloutState::Completed, RolloutReason::Moved),
        })
    }
}

/// Returns the first record of an order; `last` is the record of an earlier order.
fn first_record(
    context: &StepContext<'_>,
    order: &RolloutOrder,
    last: Option<&RolloutRecord>,
) -> RolloutRecord {
    let refused = last.map(|last| refused_after(last, Some(&order.target))).unwrap_or_default();
    RolloutRecord {
        state: RolloutState::InProgress,
        target: order.target.clone(),
        order: context.known.change.revision,
        moving: false,
        began: context.clock.time_at(context.received).map(|time| time.0),
        reason: RolloutReason::Ordered,
        refused,
        evidence: None,
    }
}

fn ended_record(
    record: &RolloutRecord,
    state: RolloutState,
    reason: RolloutReason,
) -> RolloutRecord {
    RolloutRecord { state, reason, evidence: None, ..record.clone() }
}

/// Returns the time since the order, by the clock of this process or by the time in the record,
/// whichever is longer.
fn time_since_order(context: &StepContext<'_>, record: &RolloutRecord) -> Duration {
    let local = context.now.since(context.received);
    let recorded = record
        .began
        .zip(context.clock.time_at(context.now))
        .map(|(began, now)| Duration::from_millis(now.0.saturating_sub(began)));
    recorded.map_or(local, |recorded| recorded.max(local))
}
