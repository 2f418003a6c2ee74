//! The counts of a process's requests to services with a rollout.

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

fn source(route: &str, is_target: bool) -> AnswerSource<'_> {
    AnswerSource { route, upstream: 3, is_target }
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn counting() -> Tallies {
    let mut tallies = Tallies::default();
    tallies.set_rules(&[rule(7, "v2", share())]);
    tallies
}

/// Records an answer after a wait of `span` milliseconds, with no prompt to read.
fn answer(tallies: &mut Tallies, route: &str, is_target: bool, span: u64) -> AnswerSpeed {
    let (_, tally) = tallies.get_mut(&service()).expect("the service has a rule");
    tally.record_answer(&source(route, is_target), millis(span), Duration::ZERO)
}

fn snapshot(tallies: &Tallies) -> RolloutTally {
    let (rule, tally) = tallies.iter().next().expect("the service has a rule");
    tally.snapshot(rule, 0, 0, false)
}

fn counts(answers: u32, failed: u32, slow: u32) -> AnswerCounts {
    AnswerCounts { answers, failed, slow }
}

/// Fails if answers of a service without a rollout are counted.
#[test]
fn nothing_is_counted_without_a_rule() {
    let mut tallies = Tallies::default();
    assert!(tallies.is_empty());
    assert!(tallies.get_mut(&service()).is_none());
}

/// Fails if answers of a route with long waits count as slow because another route is faster, or if
/// late answers on the faster route do not.
#[test]
fn an_answer_is_slow_only_relative_to_others_on_its_route() {
    let mut tallies = counting();
    for _ in 0..50 {
        answer(&mut tallies, "fast", false, 40);
        answer(&mut tallies, "long", false, 400);
    }
    assert_eq!(answer(&mut tallies, "fast", true, 300), AnswerSpeed::Slow);
    assert_eq!(answer(&mut tallies, "long", true, 300), AnswerSpeed::Normal);
    assert_eq!(answer(&mut tallies, "fast", true, 110), AnswerSpeed::Normal);
    let totals = snapshot(&tallies).totals();
    assert_eq!(totals, (counts(3, 0, 1), counts(100, 0, 0)));
    assert_eq!(snapshot(&tallies).upstreams, vec![(3, counts(3, 0, 1))]);
}

/// Fails if an answer counts as slow before enough answers of other versions show what is normal,
/// or if slow answers of the target make slow ones normal.
#[test]
fn no_answer_is_slow_until_the_normal_wait_is_known() {
    let mut tallies = counting();
    for _ in 0..5 {
        answer(&mut tallies, "r", false, 40);
    }
    assert_eq!(answer(&mut tallies, "r", true, 4000), AnswerSpeed::Normal);
    // The waits of the target never count as normal.
    for _ in 0..50 {
        answer(&mut tallies, "r", true, 4000);
    }
    assert_eq!(answer(&mut tallies, "r", true, 9000), AnswerSpeed::Normal);
}

/// Fails if an answer counts as slow because its upstream does not have the prompt in its cache and
/// reads it first.
#[test]
fn the_time_to_read_a_prompt_is_not_slowness() {
    let mut tallies = counting();
    for _ in 0..50 {
        answer(&mut tallies, "r", false, 40);
    }
    let (_, tally) = tallies.get_mut(&service()).expect("the service has a rule");
    // 160 ms is four times the normal wait, but hardly more than that and the time to read the
    // prompt together.
    let speed = tally.record_answer(&source("r", true), millis(160), millis(100));
    assert_eq!(speed, AnswerSpeed::Normal);
    let speed = tally.record_answer(&source("r", true), millis(160), millis(5));
    assert_eq!(speed, AnswerSpeed::Slow);
}

/// Fails if one late answer hides slow answers that follow it, or if answers count as slow because
/// the load of all versions has grown.
#[test]
fn the_normal_wait_follows_the_load_but_not_single_late_answers() {
    let mut tallies = counting();
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

/// Fails if an answer is counted twice because it was slow or in time and then broke off.
#[test]
fn an_answer_is_counted_once() {
    let mut tallies = counting();
    for _ in 0..50 {
        answer(&mut tallies, "r", false, 40);
    }
    let target = source("r", true);
    // Slow, then broken off.
    let speed = answer(&mut tallies, "r", true, 900);
    let (_, tally) = tallies.get_mut(&service()).expect("the service has a rule");
    tally.record_failure(&target, Some(speed));
    assert_eq!(snapshot(&tallies).totals().0, counts(1, 0, 1));
    // In time, then broken off; and one that never arrived.
    let speed = answer(&mut tallies, "r", true, 40);
    let (_, tally) = tallies.get_mut(&service()).expect("the service has a rule");
    tally.record_failure(&target, Some(speed));
    tally.record_failure(&target, None);
    assert_eq!(snapshot(&tallies).totals().0, counts(3, 2, 1));
}

/// Fails if the target is blamed for callers that disconnect early, or if late answers stay
/// uncounted because the callers do not wait for them.
#[test]
fn an_abandoned_request_counts_only_if_it_was_late() {
    let mut tallies = counting();
    for _ in 0..50 {
        answer(&mut tallies, "r", false, 40);
    }
    let (_, tally) = tallies.get_mut(&service()).expect("the service has a rule");
    assert!(!tally.record_abandoned(&source("r", true), millis(60), Duration::ZERO));
    assert!(tally.record_abandoned(&source("r", true), millis(600), Duration::ZERO));
    assert_eq!(snapshot(&tallies).totals().0, counts(1, 0, 1));
}

/// Fails if the counts are lost when an order reaches its next phase, or if answers from before a
/// new order count for it.
#[test]
fn counts_last_over_all_phases_of_an_order_and_end_with_it() {
    let mut tallies = counting();
    answer(&mut tallies, "r", true, 40);
    tallies.set_rules(&[rule(7, "v2", Allowance::All)]);
    assert_eq!(snapshot(&tallies).totals().0, counts(1, 0, 0));
    // The rule for a version that an earlier order left refused has no effect on the counts.
    let refused = rule(7, "v0", Allowance::Nothing);
    tallies.set_rules(&[refused, rule(7, "v2", share())]);
    assert_eq!(snapshot(&tallies).totals().0, counts(1, 0, 0));
    tallies.set_rules(&[rule(9, "v2", share())]);
    assert_eq!((snapshot(&tallies).revision, snapshot(&tallies).totals().0), (9, counts(0, 0, 0)));
    tallies.set_rules(&[]);
    assert!(tallies.is_empty());
}

/// Fails if the size of a tally, which is sent to the judges, grows with the number of routes and
/// upstreams, or if answers beyond the bounds are lost.
#[test]
fn a_tally_is_bounded_for_any_number_of_routes_and_upstreams() {
    let mut tallies = counting();
    for n in 0..500 {
        let (_, tally) = tallies.get_mut(&service()).expect("the service has a rule");
        let route = format!("route-{n}");
        let source = AnswerSource { route: &route, upstream: n, is_target: true };
        tally.record_answer(&source, millis(40), Duration::ZERO);
    }
    let tally = snapshot(&tallies);
    assert!(tally.routes.len() <= 33 && tally.upstreams.len() <= 64, "{tally:?}");
    assert_eq!(tally.totals().0, counts(500, 0, 0));
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

/// Returns a table with two upstreams of the old version and one of the new version.
fn table(now: Time) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    let entries = vec![upstream("v1", 1), upstream("v1", 2), upstream("v2", 1)];
    table.apply_list(now, UpstreamList { revision: 1, entries });
    table
}

/// Fails if bad answers of the target wait for the next regular report, or if those of other
/// versions are reported at once.
#[test]
fn only_bad_answers_of_the_target_are_reported_at_once() {
    // An outage of the old version must not cause a message for each of its failures.
    let [old, new] = ["v1-1", "v2-1"].map(|id| id.parse::<UpstreamId>().expect("a name"));
    let mut table = table(Time::default());
    assert!(!table.record_failure(&new, "r", None), "there is no rule yet");
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

/// Fails if a process confirms that it has moved while requests are still running at another
/// version, or on a count from before the rule was in force.
#[test]
fn running_requests_are_reported_with_the_rule_in_force() {
    let now = Time::from_millis(100);
    let mut table = table(now);
    let old: UpstreamId = "v1-1".parse().expect("the name is valid");
    table.start_request(now, &old, &[]);
    table.set_rollout_rules(vec![rule(7, "v2", share())]);
    let tally = |table: &UpstreamTable| table.rollout_tallies(now)[0].clone();
    assert_eq!((tally(&table).running, tally(&table).ready, tally(&table).moved), (1, 1, false));
    table.set_rollout_rules(vec![rule(7, "v2", Allowance::All)]);
    assert_eq!((tally(&table).running, tally(&table).moved), (1, true));
    // This also holds when the list no longer has the upstream: a stream there has not ended.
    let entries = vec![upstream("v1", 2), upstream("v2", 1)];
    table.apply_list(Time::from_millis(60_000), UpstreamList { revision: 2, entries });
    assert_eq!(tally(&table).running, 1);
    table.end_request(now, &old, AttemptOutcome::Answered);
    assert_eq!(tally(&table).running, 0);
}
