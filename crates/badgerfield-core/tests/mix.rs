//! How engines are divided between long and short prompts, and what is learned of them.

use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::Service;
use badgerfield_core::request_mix::{
    EngineDemand, EngineDivision, ObservedTiming, PromptGroup, PromptSize, RequestMix,
};

const SLOTS: u32 = 12;
/// Prompt tokens of the two routes.
const LONG: u32 = 9000;
const SHORT: u32 = 800;

fn service() -> Service {
    "pool".parse().expect("the name is valid")
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Lets requests of both routes come and go at engines that read a token in so many
/// milliseconds; returns the time of the last.
fn serve(mix: &mut RequestMix, count: u64, read_ms: f64) -> Time {
    for n in 0..count {
        let now = at(n * 100);
        for (route, prompt) in [("long", LONG), ("short", SHORT)] {
            let prompt = u64::from(prompt);
            // Prompts of one route differ.
            let own = prompt / 3 + (n % 7) * prompt / 20;
            mix.record_arrival(
                now,
                route,
                PromptSize { total_tokens: prompt, unshared_tokens: own },
            );
            let wait = 60.0 + f64::from(u32::try_from(own).expect("few tokens")) * read_ms;
            let first = Duration::from_secs_f64(wait / 1e3);
            let stream = Duration::from_millis(if route == "long" { 400 } else { 2000 });
            mix.record_timing(
                route,
                &ObservedTiming { uncached_tokens: own, time_to_first: first, stream_time: stream },
            );
        }
    }
    at(count * 100)
}

#[test]
fn read_rates_follow_engines_three_times_slower_or_faster() {
    for read_ms in [0.01, 0.03, 0.09] {
        let mut mix = RequestMix::default();
        serve(&mut mix, 40, read_ms);
        let learned = mix.ms_per_token();
        assert!((learned / read_ms - 1.0).abs() < 0.1, "{learned} learned, {read_ms} is true");
    }
}

#[test]
fn a_rate_that_changes_is_learned_within_three_hundred_requests() {
    let mut mix = RequestMix::default();
    serve(&mut mix, 150, 0.02);
    serve(&mut mix, 150, 0.06);
    let learned = mix.ms_per_token();
    assert!(learned > 0.045, "{learned} learned after engines turned three times slower");
}

#[test]
fn one_kind_of_prompts_divides_nothing() {
    let mut mix = RequestMix::default();
    for n in 0..50 {
        let route = if n % 2 == 0 { "a" } else { "b" };
        mix.record_arrival(
            at(n * 50),
            route,
            PromptSize { total_tokens: 1000 + n % 2 * 800, unshared_tokens: 300 },
        );
    }
    assert_eq!(mix.demand(at(2500), &service(), SLOTS).long_threshold, 0);
    assert_eq!(EngineDivision::from_demand(&EngineDemand::default()), None);
}

#[test]
fn long_and_short_prompts_are_told_apart_once_enough_came() {
    let mut mix = RequestMix::default();
    let now = serve(&mut mix, 3, 0.03);
    assert_eq!(mix.demand(now, &service(), SLOTS).long_threshold, 0, "six requests tell nothing");
    let now = serve(&mut mix, 30, 0.03);
    let needs = mix.demand(now, &service(), SLOTS);
    let division = EngineDivision::from_demand(&needs).expect("both kinds came");
    assert_eq!(division.group(f64::from(LONG)), PromptGroup::Long);
    assert_eq!(division.group(f64::from(SHORT)), PromptGroup::Short);
}

#[test]
fn engines_go_to_those_who_need_them() {
    // Slow reading makes long prompts need more, slow answers make short ones need more.
    let share = |read_ms| {
        let mut mix = RequestMix::default();
        let now = serve(&mut mix, 60, read_ms);
        EngineDivision::from_demand(&mix.demand(now, &service(), SLOTS))
            .expect("both kinds came")
            .short_share
    };
    assert!(share(0.1) < share(0.03), "{} {}", share(0.1), share(0.03));
    let needs = EngineDemand { service: 1, short: 1, long: 1_000_000, long_threshold: 5000 };
    let division = EngineDivision::from_demand(&needs).expect("both kinds need engines");
    assert!(division.short_share >= 0.1, "a group was left without engines");
}

#[test]
fn each_engine_takes_one_group() {
    let division = EngineDivision { long_threshold: 3000.0, short_share: 0.4 };
    for place in [0.0, 0.2, 0.39, 0.41, 0.99] {
        let takers =
            [PromptGroup::Short, PromptGroup::Long].map(|group| division.takes(group, place));
        assert_ne!(takers[0], takers[1], "at {place}");
    }
}
