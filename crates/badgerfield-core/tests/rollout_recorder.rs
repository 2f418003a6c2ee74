//! The steps of a rollout's record: concurrent judges, lost replies, records that others removed,
//! and final states.

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

fn context<'a>(
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
        evidence: None,
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

/// Fails if a judge writes before it has read the record, or a judge of a higher rank writes while
/// the first judge still has time to.
#[test]
fn a_judge_reads_the_record_first_and_waits_for_its_rank() {
    let known = known(7, None);
    let mut recorder = Recorder::default();
    assert_eq!(recorder.next_call(&context(&known, 100, 1, &[])), Some(RecorderCall::Read));
    assert_eq!(recorder.next_call(&context(&known, 5000, 1, &[])), None, "one call at a time");
    assert_eq!(recorder.apply_record(0, None, &known), None);
    assert_eq!(
        recorder.next_call(&context(&known, 5100, 1, &[])),
        None,
        "the first judge may still write"
    );
    let call = recorder.next_call(&context(&known, 6600, 1, &[]));
    assert!(matches!(call, Some(RecorderCall::Write(0, record)) if record.order == 7));
}

/// Fails if a judge repeats a write whose reply was lost without reading the record, or overwrites
/// the record that it then finds.
#[test]
fn a_write_without_a_reply_is_followed_by_a_read() {
    let known = known(7, None);
    let mut recorder = Recorder::default();
    recorder.next_call(&context(&known, 0, 0, &[]));
    recorder.apply_record(0, None, &known);
    assert!(matches!(
        recorder.next_call(&context(&known, 100, 0, &[])),
        Some(RecorderCall::Write(0, _))
    ));
    recorder.invalidate();
    assert_eq!(recorder.next_call(&context(&known, 700, 0, &[])), Some(RecorderCall::Read));
    let stage = recorder.apply_record(9, Some(record(7, RolloutState::InProgress, false)), &known);
    assert_eq!(stage.map(|stage| stage.phase), Some(RolloutPhase::Canary));
    assert_eq!(recorder.next_call(&context(&known, 1300, 0, &[])), None);
}

/// Fails if any judge replaces a record with a final state.
#[test]
fn a_final_state_is_never_replaced() {
    for state in [RolloutState::RolledBack, RolloutState::Completed] {
        let record = record(7, state, true);
        let rejected = RolloutProgress {
            phase: RolloutPhase::Rejected,
            ..RolloutProgress::from_record(&record)
        };
        let known = known(7, Some(rejected));
        let mut recorder = Recorder::default();
        recorder.next_call(&context(&known, 0, 0, &[]));
        recorder.apply_record(3, Some(record), &known);
        assert_eq!(recorder.next_call(&context(&known, 60_000, 0, &[])), None);
    }
}

/// Fails if an order completes before all members have moved: a member may still have requests at
/// another version, its count may be from before the rule was in force, or the view may be older
/// than the last confirmation and lack a new member.
#[test]
fn completion_waits_for_every_member_of_a_new_view() {
    let record = record(7, RolloutState::InProgress, true);
    let known = known(7, Some(RolloutProgress::from_record(&record)));
    let members = [ME, PEER];
    let mut recorder = Recorder::default();
    recorder.next_call(&context(&known, 0, 0, &members));
    recorder.apply_record(3, Some(record), &known);
    let age = Duration::from_secs(30);
    recorder.judge.apply_report(ME, tally(true, 0), age);
    recorder.judge.apply_report(PEER, tally(false, 0), age);
    assert_eq!(recorder.next_call(&context(&known, 35_000, 0, &members)), None);
    recorder.judge.apply_report(PEER, tally(true, 1), age);
    assert_eq!(recorder.next_call(&context(&known, 36_000, 0, &members)), None);
    recorder.judge.apply_report(PEER, tally(true, 0), age);
    let old_view = StepContext { view_requested: None, ..context(&known, 37_000, 0, &members) };
    assert_eq!(recorder.next_call(&old_view), Some(RecorderCall::ReadView));
    let call = recorder.next_call(&context(&known, 38_000, 0, &members));
    assert!(
        matches!(call, Some(RecorderCall::Write(3, next)) if next.state == RolloutState::Completed)
    );
}

/// Fails if the record of an order replaces the record of a newer one, or omits the target of an
/// earlier order that never completed from the refused versions.
#[test]
fn a_record_replaces_only_those_of_older_orders() {
    let newer = record(9, RolloutState::InProgress, false);
    let order = known(7, None);
    let mut recorder = Recorder::default();
    recorder.next_call(&context(&order, 0, 0, &[]));
    recorder.apply_record(3, Some(newer), &order);
    assert_eq!(recorder.next_call(&context(&order, 1000, 0, &[])), None);

    let mut last = record(5, RolloutState::RolledBack, false);
    last.target = "v1-bad".parse().expect("a version");
    let mut recorder = Recorder::default();
    recorder.next_call(&context(&order, 0, 0, &[]));
    recorder.apply_record(3, Some(last.clone()), &order);
    let call = recorder.next_call(&context(&order, 1000, 0, &[]));
    assert!(
        matches!(call, Some(RecorderCall::Write(3, next)) if next.refused.contains(&last.target))
    );
}

/// Fails if a judge keeps writing, without a pause, to a revision that no longer exists because an
/// operator removed the record.
#[test]
fn a_removed_record_is_read_and_written_again() {
    let known = known(7, None);
    let members = [ME];
    let mut recorder = Recorder::default();
    let step =
        |recorder: &mut Recorder, millis| recorder.next_call(&context(&known, millis, 0, &members));
    assert_eq!(step(&mut recorder, 1_000), Some(RecorderCall::Read));
    recorder.apply_record(5, Some(record(3, RolloutState::Completed, true)), &known);
    assert!(matches!(step(&mut recorder, 1_050), Some(RecorderCall::Write(5, _))));
    // An operator has removed it.
    recorder.apply_record(0, None, &known);
    assert_eq!(step(&mut recorder, 1_100), None, "it does not read again at once");
    assert_eq!(step(&mut recorder, 1_600), Some(RecorderCall::Read));
    recorder.apply_record(0, None, &known);
    assert!(matches!(step(&mut recorder, 1_650), Some(RecorderCall::Write(0, _))));
}

/// Returns a recorder that has read this record.
fn recorder_with(record: RolloutRecord, known: &KnownRollout) -> Recorder {
    let mut recorder = Recorder::default();
    recorder.next_call(&context(known, 0, 0, &[]));
    recorder.apply_record(3, Some(record), known);
    recorder
}

/// Returns a tally with this many answers and failed answers of the target.
fn tally_with_answers(answers: u32, failed: u32) -> RolloutTally {
    let target = AnswerCounts { answers, failed, slow: 0 };
    let others = AnswerCounts { answers: 1000, failed: 0, slow: 0 };
    let routes = vec![RouteTally { route: "chat".into(), target, others }];
    RolloutTally { routes, upstreams: vec![(0, target)], ..tally(false, 0) }
}

/// Fails if all requests move to a version that failed but was not judged bad during the canary.
#[test]
fn the_final_verdict_decides_before_all_requests_move() {
    let canary_record = record(7, RolloutState::InProgress, false);
    for (failed, state, moving) in
        [(29, RolloutState::RolledBack, false), (0, RolloutState::InProgress, true)]
    {
        let known = known(7, Some(RolloutProgress::from_record(&canary_record)));
        let mut recorder = recorder_with(canary_record.clone(), &known);
        recorder.judge.apply_report(ME, tally_with_answers(29, failed), Duration::from_secs(39));
        let call = recorder.next_call(&context(&known, 39_000, 0, &[ME]));
        let is_next = |next: &RolloutRecord| (next.state, next.moving) == (state, moving);
        assert!(matches!(&call, Some(RecorderCall::Write(3, next)) if is_next(next)), "{call:?}");
    }
}

/// Fails if the record stays in progress after a judge has found the version bad.
#[test]
fn a_rejected_version_is_recorded_as_rolled_back() {
    let unfinished = record(7, RolloutState::InProgress, false);
    let stage = RolloutProgress {
        phase: RolloutPhase::Rejected,
        reason: RolloutReason::Failures,
        ..RolloutProgress::from_record(&unfinished)
    };
    let known = known(7, Some(stage));
    let call = recorder_with(unfinished, &known).next_call(&context(&known, 1000, 0, &[ME]));
    let is_rolled_back = |next: &RolloutRecord| {
        (next.state, next.reason) == (RolloutState::RolledBack, RolloutReason::Failures)
    };
    assert!(
        matches!(&call, Some(RecorderCall::Write(3, next)) if is_rolled_back(next)),
        "{call:?}"
    );
}

/// Fails if the record of a withdrawn order stays in progress.
#[test]
fn a_withdrawn_order_is_recorded_as_rolled_back() {
    let mut known = known(9, None);
    known.change.order = None;
    let unfinished = record(7, RolloutState::InProgress, false);
    let call = recorder_with(unfinished, &known).next_call(&context(&known, 1000, 0, &[ME]));
    let is_rolled_back = |next: &RolloutRecord| {
        (next.state, next.reason) == (RolloutState::RolledBack, RolloutReason::Withdrawn)
    };
    assert!(
        matches!(&call, Some(RecorderCall::Write(3, next)) if is_rolled_back(next)),
        "{call:?}"
    );
}

/// A life of all processes: judges start, get one report of a new process, and may write for a
/// while. Returns the record that they leave.
fn live(
    stored: &mut (u64, RolloutRecord),
    reporter: Incarnation,
    tally: RolloutTally,
    times_ms: std::ops::Range<u64>,
) -> Recorder {
    let known = known(7, Some(RolloutProgress::from_record(&stored.1)));
    let mut recorder = Recorder::default();
    recorder.next_call(&context(&known, times_ms.start, 0, &[reporter]));
    recorder.apply_record(stored.0, Some(stored.1.clone()), &known);
    recorder.judge.apply_report(reporter, tally, Duration::from_secs(20));
    for millis in times_ms.step_by(50) {
        let call = recorder.next_call(&context(&known, millis, 0, &[reporter]));
        if let Some(RecorderCall::Write(revision, next)) = call {
            assert_eq!(revision, stored.0);
            *stored = (revision + 1, next);
            recorder.apply_record(stored.0, Some(stored.1.clone()), &known);
        }
    }
    recorder
}

/// Guards against a bad version to which all requests move because the processes that saw it fail
/// have ended, all at once and several times.
#[test]
fn failures_are_forgotten_when_all_processes_end() {
    let mut stored = (3, record(7, RolloutState::InProgress, false));
    live(&mut stored, Incarnation(1), tally_with_answers(6, 2), 3_000..6_000);
    live(&mut stored, Incarnation(2), tally_with_answers(8, 2), 9_000..12_000);
    live(&mut stored, Incarnation(3), tally_with_answers(8, 2), 15_000..39_000);
    assert_eq!(stored.1.state, RolloutState::RolledBack, "{:?}", stored.1);
}

/// Guards against answers of processes that are still running, which count twice for a judge that
/// finds them in the record as well.
#[test]
fn answers_in_the_record_count_twice() {
    let mut stored = (3, record(7, RolloutState::InProgress, false));
    live(&mut stored, PEER, tally_with_answers(10, 1), 3_000..6_000);
    let known = known(7, Some(RolloutProgress::from_record(&stored.1)));
    let mut recorder = recorder_with(stored.1, &known);
    recorder.judge.apply_report(PEER, tally_with_answers(12, 1), Duration::from_secs(8));
    assert_eq!(recorder.judge.evidence().target().answers, 12);
}

/// Guards against answers from before the end of all processes that are lost to a judge which reads
/// the record after another one has written the newest answers.
#[test]
fn earlier_answers_are_lost_to_a_judge_that_starts_later() {
    let mut stored = (3, record(7, RolloutState::InProgress, false));
    live(&mut stored, Incarnation(1), tally_with_answers(10, 1), 3_000..6_000);
    live(&mut stored, Incarnation(2), tally_with_answers(20, 1), 9_000..12_000);
    let known = known(7, Some(RolloutProgress::from_record(&stored.1)));
    let mut recorder = recorder_with(stored.1, &known);
    recorder.judge.apply_report(Incarnation(2), tally_with_answers(25, 1), Duration::from_secs(8));
    assert_eq!(recorder.judge.evidence().target().answers, 35);
}

/// Guards against a version that turns out to be bad while requests move, before there is proof
/// enough to stop a canary, and is completed all the same.
#[test]
fn failures_while_requests_move_do_not_count() {
    let record = record(7, RolloutState::InProgress, true);
    let known = known(7, Some(RolloutProgress::from_record(&record)));
    for (failed, state) in [(6, RolloutState::RolledBack), (0, RolloutState::Completed)] {
        let mut recorder = recorder_with(record.clone(), &known);
        let tally = RolloutTally { moved: true, ..tally_with_answers(16, failed) };
        recorder.judge.apply_report(ME, tally, Duration::from_secs(30));
        // The first call for a completion reads the view.
        let calls =
            [35_000, 36_000].map(|millis| recorder.next_call(&context(&known, millis, 0, &[ME])));
        let written = calls.into_iter().flatten().find_map(|call| match call {
            RecorderCall::Write(_, next) => Some(next.state),
            _ => None,
        });
        assert_eq!(written, Some(state));
    }
}

/// Guards against answers that count twice for good because a judge writes them before it has heard
/// the processes that counted them, which still run.
#[test]
fn answers_of_processes_that_are_not_heard_yet_count_twice() {
    let mut stored = (3, record(7, RolloutState::InProgress, false));
    live(&mut stored, PEER, tally_with_answers(10, 1), 3_000..6_000);
    let mut judge = live(&mut stored, Incarnation(3), tally_with_answers(1, 0), 6_000..9_000);
    judge.judge.apply_report(PEER, tally_with_answers(10, 1), Duration::from_secs(8));
    assert_eq!(judge.judge.evidence().target().answers, 11);
    let known = known(7, Some(RolloutProgress::from_record(&stored.1)));
    let mut next = recorder_with(stored.1, &known);
    next.judge.apply_report(PEER, tally_with_answers(12, 1), Duration::from_secs(9));
    assert_eq!(next.judge.evidence().target().answers, 13);
}

/// Guards against two judges that both hold themselves first and add to each other's evidence
/// without end.
#[test]
fn two_first_judges_write_without_end() {
    let mut stored = (3, record(7, RolloutState::InProgress, false));
    let known = known(7, Some(RolloutProgress::from_record(&stored.1)));
    let mut judges = [ME, PEER].map(|id| {
        let mut recorder = recorder_with(stored.1.clone(), &known);
        recorder.judge.apply_report(id, tally_with_answers(10, 1), Duration::from_secs(8));
        recorder
    });
    let mut writes = 0;
    for millis in (1_000..15_000).step_by(50) {
        for recorder in &mut judges {
            let call = recorder.next_call(&context(&known, millis, 0, &[ME, PEER]));
            if let Some(RecorderCall::Write(revision, next)) = call {
                if revision == stored.0 {
                    writes += 1;
                    stored = (revision + 1, next);
                }
                recorder.apply_record(stored.0, Some(stored.1.clone()), &known);
            }
        }
    }
    assert_eq!(writes, 2);
    let answers = judges.map(|recorder| recorder.judge.evidence().target().answers);
    assert_eq!(answers, [10, 20]);
}

/// Guards against failures that are lost with all processes because no other answer came with them.
#[test]
fn failures_of_answers_that_were_counted_before_are_not_written() {
    let mut stored = (3, record(7, RolloutState::InProgress, false));
    let known = known(7, Some(RolloutProgress::from_record(&stored.1)));
    let mut recorder = recorder_with(stored.1.clone(), &known);
    for (failed, millis) in [(0, 3_000), (8, 6_000)] {
        recorder.judge.apply_report(ME, tally_with_answers(10, failed), Duration::from_secs(8));
        let call = recorder.next_call(&context(&known, millis, 0, &[ME]));
        let Some(RecorderCall::Write(revision, next)) = call else {
            panic!("{call:?}");
        };
        stored = (revision + 1, next);
        recorder.apply_record(stored.0, Some(stored.1.clone()), &known);
    }
    let bytes = stored.1.encode();
    let read = RolloutRecord::decode(Some(&bytes)).expect("it is a record").expect("it is there");
    let next = recorder_with(read, &known);
    assert_eq!(next.judge.evidence().target().failed, 8);
}

/// Guards against a store that is called each time a version answers, by each judge, or for answers
/// that it knows.
#[test]
fn each_answer_is_written() {
    let stored = record(7, RolloutState::InProgress, false);
    let known = known(7, Some(RolloutProgress::from_record(&stored)));
    for (rank, grows, wanted) in [(0, true, 18..=21), (0, false, 1..=1), (1, true, 0..=0)] {
        let mut recorder = recorder_with(stored.clone(), &known);
        let mut revision = 3;
        let mut writes = 0;
        for step in 0..400_u32 {
            let answers = if grows { step + 1 } else { 1 };
            recorder.judge.apply_report(ME, tally_with_answers(answers, 0), Duration::ZERO);
            let millis = 1_000 + 50 * u64::from(step);
            let call = recorder.next_call(&context(&known, millis, rank, &[ME]));
            if let Some(RecorderCall::Write(_, next)) = call {
                writes += 1;
                revision += 1;
                recorder.apply_record(revision, Some(next), &known);
            }
        }
        assert!(wanted.contains(&writes), "{writes} writes by the judge of rank {rank}");
    }
}
