//! The steps of a roll-out's record: two judges at once, one that wakes, writes that come late.

use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::Incarnation;
use badgerfield_core::rollout::{
    AnswerCounts, KnownRollout, OrderChange, Recorder, RecorderCall, RolloutOrder, RolloutPhase,
    RolloutProgress, RolloutReason, RolloutRecord, RolloutState, RolloutTally, RouteTally,
    StepContext,
};
use badgerfield_core::seal::FleetClock;

const ME: Incarnation = Incarnation(1);
const PEER: Incarnation = Incarnation(2);

fn known(revision: u64, stage: Option<RolloutProgress>) -> KnownRollout {
    let order =
        RolloutOrder { target: "v2".parse().expect("a version"), span: Duration::from_secs(40) };
    let service = "model".parse().expect("a service");
    KnownRollout { change: OrderChange { service, revision, order: Some(order) }, stage }
}

fn at<'a>(
    known: &'a KnownRollout,
    millis: u64,
    rank: u32,
    members: &'a [Incarnation],
) -> StepContext<'a> {
    StepContext {
        now: Time::from_millis(millis),
        known,
        received: Time::default(),
        clock: FleetClock::default(),
        max_duration: Duration::ZERO,
        members,
        view_requested: Some(Time::from_millis(millis)),
        rank,
    }
}

fn record(order: u64, state: RolloutState, moving: bool) -> RolloutRecord {
    RolloutRecord {
        state,
        target: "v2".parse().expect("a version"),
        order,
        moving,
        began: None,
        reason: RolloutReason::Ordered,
        refused: std::collections::BTreeSet::new(),
    }
}

fn tally(moved: bool, running: u32) -> RolloutTally {
    RolloutTally {
        service: "model".parse().expect("a service"),
        revision: 7,
        routes: Vec::new(),
        upstreams: Vec::new(),
        ready: 2,
        running,
        moved,
    }
}

/// Fails if a judge writes before it has read, or a later judge before its turn.
#[test]
fn a_judge_reads_first_and_waits_for_its_turn() {
    let known = known(7, None);
    let mut recorder = Recorder::default();
    assert_eq!(recorder.next_call(&at(&known, 100, 1, &[])), Some(RecorderCall::Read));
    assert_eq!(recorder.next_call(&at(&known, 5000, 1, &[])), None, "one call at a time");
    assert_eq!(recorder.apply_record(0, None, &known), None);
    assert_eq!(recorder.next_call(&at(&known, 5100, 1, &[])), None, "the first judge's turn");
    let call = recorder.next_call(&at(&known, 6600, 1, &[]));
    assert!(matches!(call, Some(RecorderCall::Write(0, record)) if record.order == 7));
}

/// Fails if a write that got no answer is repeated blind, or if what a judge finds then is
/// written over.
#[test]
fn a_write_without_an_answer_is_looked_up() {
    let known = known(7, None);
    let mut recorder = Recorder::default();
    recorder.next_call(&at(&known, 0, 0, &[]));
    recorder.apply_record(0, None, &known);
    assert!(matches!(
        recorder.next_call(&at(&known, 100, 0, &[])),
        Some(RecorderCall::Write(0, _))
    ));
    recorder.invalidate();
    assert_eq!(recorder.next_call(&at(&known, 700, 0, &[])), Some(RecorderCall::Read));
    let stage = recorder.apply_record(9, Some(record(7, RolloutState::InProgress, false)), &known);
    assert_eq!(stage.map(|stage| stage.phase), Some(RolloutPhase::Canary));
    assert_eq!(recorder.next_call(&at(&known, 1300, 0, &[])), None);
}

/// Fails if the end of a roll-out can be followed by another one, by any judge.
#[test]
fn an_end_is_final() {
    for state in [RolloutState::RolledBack, RolloutState::Completed] {
        let record = record(7, state, true);
        let rejected = RolloutProgress {
            phase: RolloutPhase::Rejected,
            ..RolloutProgress::from_record(&record)
        };
        let known = known(7, Some(rejected));
        let mut recorder = Recorder::default();
        recorder.next_call(&at(&known, 0, 0, &[]));
        recorder.apply_record(3, Some(record), &known);
        assert_eq!(recorder.next_call(&at(&known, 60_000, 0, &[])), None);
    }
}

/// Fails if an order is completed before every member has moved, or on a count from before the
/// rule was in force, or on a view that is older than that.
#[test]
fn the_end_waits_for_every_member_of_a_new_view() {
    let record = record(7, RolloutState::InProgress, true);
    let known = known(7, Some(RolloutProgress::from_record(&record)));
    let members = [ME, PEER];
    let mut recorder = Recorder::default();
    recorder.next_call(&at(&known, 0, 0, &members));
    recorder.apply_record(3, Some(record), &known);
    let age = Duration::from_secs(30);
    recorder.judge.apply_report(ME, tally(true, 0), age);
    recorder.judge.apply_report(PEER, tally(false, 0), age);
    assert_eq!(recorder.next_call(&at(&known, 35_000, 0, &members)), None);
    recorder.judge.apply_report(PEER, tally(true, 1), age);
    assert_eq!(recorder.next_call(&at(&known, 36_000, 0, &members)), None);
    recorder.judge.apply_report(PEER, tally(true, 0), age);
    let old_view = StepContext { view_requested: None, ..at(&known, 37_000, 0, &members) };
    assert_eq!(recorder.next_call(&old_view), Some(RecorderCall::ReadView));
    let call = recorder.next_call(&at(&known, 38_000, 0, &members));
    assert!(
        matches!(call, Some(RecorderCall::Write(3, next)) if next.state == RolloutState::Completed)
    );
}

/// Fails if the record of an order follows one of a newer order, or leaves out that the target
/// of the last one was never completed.
#[test]
fn a_record_follows_only_older_orders() {
    let newer = record(9, RolloutState::InProgress, false);
    let order = known(7, None);
    let mut recorder = Recorder::default();
    recorder.next_call(&at(&order, 0, 0, &[]));
    recorder.apply_record(3, Some(newer), &order);
    assert_eq!(recorder.next_call(&at(&order, 1000, 0, &[])), None);

    let mut last = record(5, RolloutState::RolledBack, false);
    last.target = "v1-bad".parse().expect("a version");
    let mut recorder = Recorder::default();
    recorder.next_call(&at(&order, 0, 0, &[]));
    recorder.apply_record(3, Some(last.clone()), &order);
    let call = recorder.next_call(&at(&order, 1000, 0, &[]));
    assert!(
        matches!(call, Some(RecorderCall::Write(3, next)) if next.refused.contains(&last.target))
    );
}

/// Fails if a judge writes on and on, without a pause, on a revision that is gone.
#[test]
fn a_record_that_was_removed_is_read_anew_and_written_again() {
    let known = known(7, None);
    let members = [ME];
    let mut recorder = Recorder::default();
    let step =
        |recorder: &mut Recorder, millis| recorder.next_call(&at(&known, millis, 0, &members));
    assert_eq!(step(&mut recorder, 1_000), Some(RecorderCall::Read));
    recorder.apply_record(5, Some(record(3, RolloutState::Completed, true)), &known);
    assert!(matches!(step(&mut recorder, 1_050), Some(RecorderCall::Write(5, _))));
    // Somebody removed it meanwhile.
    recorder.apply_record(0, None, &known);
    assert_eq!(step(&mut recorder, 1_100), None, "it does not ask again at once");
    assert_eq!(step(&mut recorder, 1_600), Some(RecorderCall::Read));
    recorder.apply_record(0, None, &known);
    assert!(matches!(step(&mut recorder, 1_650), Some(RecorderCall::Write(0, _))));
}

/// Makes a judge that has read this record, and the order it is of.
fn reader(record: RolloutRecord, known: &KnownRollout) -> Recorder {
    let mut recorder = Recorder::default();
    recorder.next_call(&at(known, 0, 0, &[]));
    recorder.apply_record(3, Some(record), known);
    recorder
}

/// Makes a tally in which the target answered so many requests, and failed so many.
fn tried(answers: u32, failed: u32) -> RolloutTally {
    let target = AnswerCounts { answers, failed, slow: 0 };
    let others = AnswerCounts { answers: 1000, failed: 0, slow: 0 };
    let routes = vec![RouteTally { route: "chat".into(), target, others }];
    RolloutTally { routes, upstreams: vec![(0, target)], ..tally(false, 0) }
}

/// Fails if all requests move to a version that failed, since nobody found it bad before.
#[test]
fn the_last_look_decides_before_all_requests_move() {
    let tried_record = record(7, RolloutState::InProgress, false);
    for (failed, state, moving) in
        [(29, RolloutState::RolledBack, false), (0, RolloutState::InProgress, true)]
    {
        let known = known(7, Some(RolloutProgress::from_record(&tried_record)));
        let mut recorder = reader(tried_record.clone(), &known);
        recorder.judge.apply_report(ME, tried(29, failed), Duration::from_secs(39));
        let call = recorder.next_call(&at(&known, 39_000, 0, &[ME]));
        let is_next = |next: &RolloutRecord| (next.state, next.moving) == (state, moving);
        assert!(matches!(&call, Some(RecorderCall::Write(3, next)) if is_next(next)), "{call:?}");
    }
}

/// Fails if a version that was found bad keeps a record that is in progress.
#[test]
fn a_rejected_version_is_recorded_as_rolled_back() {
    let open = record(7, RolloutState::InProgress, false);
    let stage = RolloutProgress {
        phase: RolloutPhase::Rejected,
        reason: RolloutReason::Failures,
        ..RolloutProgress::from_record(&open)
    };
    let known = known(7, Some(stage));
    let call = reader(open, &known).next_call(&at(&known, 1000, 0, &[ME]));
    let is_back = |next: &RolloutRecord| {
        (next.state, next.reason) == (RolloutState::RolledBack, RolloutReason::Failures)
    };
    assert!(matches!(&call, Some(RecorderCall::Write(3, next)) if is_back(next)), "{call:?}");
}

/// Fails if the record of an order that was withdrawn stays in progress.
#[test]
fn a_withdrawn_order_is_recorded_as_rolled_back() {
    let mut known = known(9, None);
    known.change.order = None;
    let open = record(7, RolloutState::InProgress, false);
    let call = reader(open, &known).next_call(&at(&known, 1000, 0, &[ME]));
    let is_back = |next: &RolloutRecord| {
        (next.state, next.reason) == (RolloutState::RolledBack, RolloutReason::Withdrawn)
    };
    assert!(matches!(&call, Some(RecorderCall::Write(3, next)) if is_back(next)), "{call:?}");
}
