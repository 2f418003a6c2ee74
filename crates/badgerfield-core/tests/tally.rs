//! What one process counts of the requests at services that are rolled out.

use std::time::Duration;

use badgerfield_core::amount::{Percent, Time};
use badgerfield_core::ids::{Service, UpstreamId};
use badgerfield_core::rollout::tally::{AnswerSource, AnswerSpeed, Tallies};
use badgerfield_core::rollout::{Allowance, AnswerCounts, RolloutRule, RolloutTally};
use badgerfield_core::upstream_list::{ListedUpstream, UpstreamEntry, UpstreamList};
use badgerfield_core::upstream_table::{AttemptOutcome, UpstreamTable};

fn service() -> Service {
    "pool".parse().expect("the name is valid")
}

fn rule(revision: u64, target: &str, allowance: Allowance) -> RolloutRule {
    let target = target.parse().expect("the name is valid");
    RolloutRule { service: service(), revision, target, allowance }
}

fn share() -> Allowance {
    Allowance::Share(Percent::FIVE)
}

fn seen(route: &str, is_target: bool) -> AnswerSource<'_> {
    AnswerSource { route, upstream: 3, is_target }
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn started() -> Tallies {
    let mut tallies = Tallies::default();
    tallies.set_rules(&[rule(7, "v2", share())]);
    tallies
}

/// Notes an answer that took so long, with no prompt to read.
fn answer(tallies: &mut Tallies, route: &str, is_target: bool, span: u64) -> AnswerSpeed {
    let (_, tally) = tallies.get_mut(&service()).expect("it is counted");
    tally.record_answer(&seen(route, is_target), millis(span), Duration::ZERO)
}

fn told(tallies: &Tallies) -> RolloutTally {
    let (rule, tally) = tallies.iter().next().expect("it is counted");
    tally.snapshot(rule, 0, 0, false)
}

fn counts(answers: u32, failed: u32, slow: u32) -> AnswerCounts {
    AnswerCounts { answers, failed, slow }
}

#[test]
fn nothing_is_counted_without_a_rule() {
    let mut tallies = Tallies::default();
    assert!(tallies.is_empty());
    assert!(tallies.get_mut(&service()).is_none());
}

#[test]
fn an_answer_is_slow_against_others_on_its_route_only() {
    let mut tallies = started();
    for _ in 0..50 {
        answer(&mut tallies, "fast", false, 40);
        answer(&mut tallies, "long", false, 400);
    }
    assert_eq!(answer(&mut tallies, "fast", true, 300), AnswerSpeed::Slow);
    assert_eq!(answer(&mut tallies, "long", true, 300), AnswerSpeed::Normal);
    assert_eq!(answer(&mut tallies, "fast", true, 110), AnswerSpeed::Normal);
    let sums = told(&tallies).totals();
    assert_eq!(sums, (counts(3, 0, 1), counts(100, 0, 0)));
    assert_eq!(told(&tallies).upstreams, vec![(3, counts(3, 0, 1))]);
}

#[test]
fn on_few_answers_nothing_is_slow() {
    let mut tallies = started();
    for _ in 0..5 {
        answer(&mut tallies, "r", false, 40);
    }
    assert_eq!(answer(&mut tallies, "r", true, 4000), AnswerSpeed::Normal);
    // What the target does is never what is usual.
    for _ in 0..50 {
        answer(&mut tallies, "r", true, 4000);
    }
    assert_eq!(answer(&mut tallies, "r", true, 9000), AnswerSpeed::Normal);
}

#[test]
fn reading_a_prompt_anew_is_not_slowness() {
    let mut tallies = started();
    for _ in 0..50 {
        answer(&mut tallies, "r", false, 40);
    }
    let (_, tally) = tallies.get_mut(&service()).expect("it is counted");
    // 160 ms is four times what is usual, and what reading and waiting come to together.
    let pace = tally.record_answer(&seen("r", true), millis(160), millis(100));
    assert_eq!(pace, AnswerSpeed::Normal);
    let pace = tally.record_answer(&seen("r", true), millis(160), millis(5));
    assert_eq!(pace, AnswerSpeed::Slow);
}

#[test]
fn what_is_usual_follows_the_load_and_not_single_late_answers() {
    let mut tallies = started();
    for _ in 0..200 {
        answer(&mut tallies, "r", false, 40);
    }
    answer(&mut tallies, "r", false, 4000);
    assert_eq!(answer(&mut tallies, "r", true, 150), AnswerSpeed::Slow);
    for _ in 0..200 {
        answer(&mut tallies, "r", false, 200);
    }
    assert_eq!(answer(&mut tallies, "r", true, 400), AnswerSpeed::Normal);
}

#[test]
fn an_answer_counts_once_however_it_ends() {
    let mut tallies = started();
    for _ in 0..50 {
        answer(&mut tallies, "r", false, 40);
    }
    let target = seen("r", true);
    // Slow, and then broken off.
    let came = answer(&mut tallies, "r", true, 900);
    let (_, tally) = tallies.get_mut(&service()).expect("it is counted");
    tally.record_failure(&target, Some(came));
    assert_eq!(told(&tallies).totals().0, counts(1, 0, 1));
    // In time, and then broken off; and nothing at all.
    let came = answer(&mut tallies, "r", true, 40);
    let (_, tally) = tallies.get_mut(&service()).expect("it is counted");
    tally.record_failure(&target, Some(came));
    tally.record_failure(&target, None);
    assert_eq!(told(&tallies).totals().0, counts(3, 2, 1));
}

#[test]
fn a_caller_that_leaves_early_says_nothing_and_one_that_waited_long_does() {
    let mut tallies = started();
    for _ in 0..50 {
        answer(&mut tallies, "r", false, 40);
    }
    let (_, tally) = tallies.get_mut(&service()).expect("it is counted");
    assert!(!tally.record_abandoned(&seen("r", true), millis(60), Duration::ZERO));
    assert!(tally.record_abandoned(&seen("r", true), millis(600), Duration::ZERO));
    assert_eq!(told(&tallies).totals().0, counts(1, 0, 1));
}

#[test]
fn counts_go_on_over_the_steps_of_an_order_and_begin_anew_with_the_next() {
    let mut tallies = started();
    answer(&mut tallies, "r", true, 40);
    tallies.set_rules(&[rule(7, "v2", Allowance::All)]);
    assert_eq!(told(&tallies).totals().0, counts(1, 0, 0));
    // A version that an earlier order left refused beside it counts for nothing.
    let refused = rule(7, "v0", Allowance::Nothing);
    tallies.set_rules(&[refused, rule(7, "v2", share())]);
    assert_eq!(told(&tallies).totals().0, counts(1, 0, 0));
    tallies.set_rules(&[rule(9, "v2", share())]);
    assert_eq!((told(&tallies).revision, told(&tallies).totals().0), (9, counts(0, 0, 0)));
    tallies.set_rules(&[]);
    assert!(tallies.is_empty());
}

#[test]
fn a_tally_stays_small_whatever_routes_and_upstreams_there_are() {
    let mut tallies = started();
    for n in 0..500 {
        let (_, tally) = tallies.get_mut(&service()).expect("it is counted");
        let route = format!("route-{n}");
        let seen = AnswerSource { route: &route, upstream: n, is_target: true };
        tally.record_answer(&seen, millis(40), Duration::ZERO);
    }
    let told = told(&tallies);
    assert!(told.routes.len() <= 33 && told.upstreams.len() <= 64, "{told:?}");
    assert_eq!(told.totals().0, counts(500, 0, 0));
}

fn upstream(name: &str, n: u32) -> UpstreamEntry {
    UpstreamEntry {
        revision: 1,
        info: ListedUpstream {
            id: format!("{name}-{n}").parse().expect("the name is valid"),
            service: service(),
            address: "10.0.0.1:80".parse().expect("the address is valid"),
            domain: "d".parse().expect("the name is valid"),
            version: Some(name.parse().expect("the name is valid")),
            slots: 8,
            leaving: false,
            started_at: None,
        },
        warm_in: Duration::ZERO,
    }
}

/// Returns a table with two old upstreams and a new one.
fn table(now: Time) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    let replicas = vec![upstream("v1", 1), upstream("v1", 2), upstream("v2", 1)];
    table.apply_list(now, UpstreamList { revision: 1, entries: replicas });
    table
}

#[test]
fn only_bad_answers_of_the_target_are_told_at_once() {
    // An outage of the old version must not make each of its failures a message.
    let [old, new] = ["v1-1", "v2-1"].map(|id| id.parse::<UpstreamId>().expect("a name"));
    let mut table = table(Time::default());
    assert!(!table.record_failure(&new, "r", None), "nobody asks yet");
    table.set_rollout_rules(vec![rule(7, "v2", share())]);
    assert!(!table.record_failure(&old, "r", None));
    assert!(table.record_failure(&new, "r", None));
    for _ in 0..20 {
        assert_eq!(
            table.record_answer(&old, "r", millis(40), 0),
            Some((AnswerSpeed::Normal, false))
        );
    }
    assert_eq!(table.record_answer(&old, "r", millis(900), 0), Some((AnswerSpeed::Slow, false)));
    assert_eq!(table.record_answer(&new, "r", millis(900), 0), Some((AnswerSpeed::Slow, true)));
    assert!(!table.record_abandoned(&old, "r", millis(900), 0));
    assert!(table.record_abandoned(&new, "r", millis(900), 0));
}

#[test]
fn what_is_under_way_elsewhere_is_told_with_the_rule_that_lets_nothing_more_go_there() {
    let now = Time::from_millis(100);
    let mut table = table(now);
    let old: UpstreamId = "v1-1".parse().expect("the name is valid");
    table.start_request(now, &old, &[]);
    table.set_rollout_rules(vec![rule(7, "v2", share())]);
    let told = |table: &UpstreamTable| table.rollout_tallies(now)[0].clone();
    assert_eq!((told(&table).running, told(&table).ready, told(&table).moved), (1, 1, false));
    table.set_rollout_rules(vec![rule(7, "v2", Allowance::All)]);
    assert_eq!((told(&table).running, told(&table).moved), (1, true));
    // Also when the list names it no longer: a stream there has not ended.
    let replicas = vec![upstream("v1", 2), upstream("v2", 1)];
    table.apply_list(Time::from_millis(60_000), UpstreamList { revision: 2, entries: replicas });
    assert_eq!(told(&table).running, 1);
    table.end_request(now, &old, AttemptOutcome::Answered);
    assert_eq!(told(&table).running, 0);
}
