//! The division of engines between long and short prompts, and the estimated read rate.

use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::Service;
use badgerfield_core::request_mix::{
    EngineDemand, EngineDivision, ObservedTiming, PromptGroup, PromptSize, RequestMix,
};

const SLOTS: u32 = 12;
/// The prompt lengths of the two routes, in tokens.
const LONG_PROMPT: u32 = 9000;
const SHORT_PROMPT: u32 = 800;

fn service() -> Service {
    "pool".parse().expect("the name is valid")
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Records requests of both routes at engines that read a token in `read_ms` milliseconds;
/// returns the time after the last.
fn serve(mix: &mut RequestMix, count: u64, read_ms: f64) -> Time {
    for n in 0..count {
        let now = at(n * 100);
        for (route, prompt) in [("long", LONG_PROMPT), ("short", SHORT_PROMPT)] {
            let prompt = u64::from(prompt);
            // The prompts of a route differ in their unshared parts.
            let unshared = prompt / 3 + (n % 7) * prompt / 20;
            mix.record_arrival(
                now,
                route,
                PromptSize { total_tokens: prompt, unshared_tokens: unshared },
            );
            let wait = 60.0 + f64::from(u32::try_from(unshared).expect("few tokens")) * read_ms;
            let first = Duration::from_secs_f64(wait / 1e3);
            let stream = Duration::from_millis(if route == "long" { 400 } else { 2000 });
            mix.record_timing(
                route,
                &ObservedTiming {
                    uncached_tokens: unshared,
                    time_to_first: first,
                    stream_time: stream,
                },
            );
        }
    }
    at(count * 100)
}

#[test]
fn read_rate_estimate_fits_engines_three_times_slower_or_faster() {
    for read_ms in [0.01, 0.03, 0.09] {
        let mut mix = RequestMix::default();
        serve(&mut mix, 40, read_ms);
        let estimate = mix.ms_per_token();
        assert!(
            (estimate / read_ms - 1.0).abs() < 0.1,
            "estimated {estimate} ms, expected {read_ms} ms"
        );
    }
}

#[test]
fn read_rate_estimate_follows_a_change_within_300_requests() {
    let mut mix = RequestMix::default();
    serve(&mut mix, 150, 0.02);
    serve(&mut mix, 150, 0.06);
    let estimate = mix.ms_per_token();
    assert!(estimate > 0.045, "estimated {estimate} ms after engines became three times slower");
}

/// Two routes whose prompts differ by less than a factor of 2 form a single group.
#[test]
fn prompts_of_similar_length_are_not_divided() {
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

/// Engines are divided only after both groups have received enough requests.
#[test]
fn long_and_short_prompts_are_separated_after_enough_requests() {
    let mut mix = RequestMix::default();
    let now = serve(&mut mix, 3, 0.03);
    assert_eq!(mix.demand(now, &service(), SLOTS).long_threshold, 0, "six requests are too few");
    let now = serve(&mut mix, 30, 0.03);
    let demand = mix.demand(now, &service(), SLOTS);
    let division = EngineDivision::from_demand(&demand).expect("both groups have requests");
    assert_eq!(division.group(f64::from(LONG_PROMPT)), PromptGroup::Long);
    assert_eq!(division.group(f64::from(SHORT_PROMPT)), PromptGroup::Short);
}

#[test]
fn engines_are_divided_by_demand() {
    // With slower reading, long prompts need more engines; with slower answers, short ones do.
    let share = |read_ms| {
        let mut mix = RequestMix::default();
        let now = serve(&mut mix, 60, read_ms);
        EngineDivision::from_demand(&mix.demand(now, &service(), SLOTS))
            .expect("both groups have requests")
            .short_share
    };
    assert!(share(0.1) < share(0.03), "{} {}", share(0.1), share(0.03));
    let demand = EngineDemand { service: 1, short: 1, long: 1_000_000, long_threshold: 5000 };
    let division = EngineDivision::from_demand(&demand).expect("both groups have demand");
    assert!(division.short_share >= 0.1, "a group has too few engines");
}

/// An engine that serves both groups or neither would defeat the division.
#[test]
fn each_engine_takes_one_group() {
    let division = EngineDivision { long_threshold: 3000.0, short_share: 0.4 };
    for position in [0.0, 0.2, 0.39, 0.41, 0.99] {
        let served = [PromptGroup::Short, PromptGroup::Long]
            .map(|group| division.has_engine(group, position));
        assert_ne!(served[0], served[1], "at {position}");
    }
}
