//! How the answers of an upstream have ended lately, and what that says about the next one.

use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::answer_record::{AnswerEnd, AnswerRecord, Reliability};

fn record(ends: &[(AnswerEnd, u32)], at: Time) -> AnswerRecord {
    let mut record = AnswerRecord::default();
    for (end, count) in ends {
        for _ in 0..*count {
            record.record(at, *end);
        }
    }
    record
}

#[test]
fn a_single_broken_answer_is_forgotten() {
    let at = Time::from_millis(60_000);
    let record = record(&[(AnswerEnd::Whole, 3), (AnswerEnd::BrokenOff, 1)], at);
    assert_eq!(record.reliability(at), Reliability::BreaksOff);
    assert_eq!(record.reliability(at.after(Duration::from_secs(9))), Reliability::BreaksOff);
    assert_eq!(record.reliability(at.after(Duration::from_secs(11))), Reliability::Sound);
}

#[test]
fn few_bad_answers_among_many_do_not_count() {
    let at = Time::from_millis(60_000);
    let ends = [(AnswerEnd::Whole, 100), (AnswerEnd::Failed, 2), (AnswerEnd::BrokenOff, 2)];
    assert_eq!(record(&ends, at).reliability(at), Reliability::Sound);
}

#[test]
fn failed_answers_are_not_broken_ones() {
    let at = Time::from_millis(60_000);
    let ends = [(AnswerEnd::Whole, 80), (AnswerEnd::Failed, 20)];
    assert_eq!(record(&ends, at).reliability(at), Reliability::Fails);
    let ends = [(AnswerEnd::Whole, 80), (AnswerEnd::BrokenOff, 20)];
    assert_eq!(record(&ends, at).reliability(at), Reliability::BreaksOff);
}

#[test]
fn nothing_known_counts_as_sound() {
    assert_eq!(AnswerRecord::default().reliability(Time::default()), Reliability::Sound);
}
