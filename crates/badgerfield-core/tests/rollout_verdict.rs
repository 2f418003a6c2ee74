//! A model of roll-outs by counts alone: which versions the verdict lets through, which good
//! ones it rolls back, and after how many bad answers. Two simpler verdicts stand beside it.

use badgerfield_core::rollout::verdict::{judge, judge_final};
use badgerfield_core::rollout::{AnswerCounts, Evidence, RolloutReason};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Looks at the evidence in a trial, two a second, as in a roll-out of a minute.
const LOOKS: usize = 100;
/// Requests of others between two looks, on each of three routes, and those of the target.
const OTHERS: u32 = 100;
const TARGET: u32 = 8;
const UPSTREAMS: u32 = 4;

/// What a version is like.
#[derive(Debug, Clone, Copy)]
struct Version {
    name: &'static str,
    /// Hundredths that fail, or come late, beyond what others do.
    worse: u32,
    slow: bool,
    only_route: Option<usize>,
    /// From which look on.
    from: usize,
    /// The only upstream that is worse, if one is.
    replica: Option<u32>,
    /// Thousandths that fail on each route at any version.
    base: [u32; 3],
    /// Looks during which half of all requests fail at any version.
    outage: (usize, usize),
}

const GOOD: Version = Version {
    name: "good",
    worse: 0,
    slow: false,
    only_route: None,
    from: 0,
    replica: None,
    base: [4, 4, 4],
    outage: (0, 0),
};

const GOODS: [Version; 4] = [
    GOOD,
    Version { name: "good, 14 in 100 fail on a route", base: [4, 140, 4], ..GOOD },
    Version { name: "good, outage", outage: (20, 30), ..GOOD },
    Version { name: "good, one replica faulty", worse: 30, replica: Some(2), ..GOOD },
];

const BADS: [Version; 9] = [
    Version { name: "3 in 100 fail", worse: 3, ..GOOD },
    Version { name: "10 in 100 fail", worse: 10, ..GOOD },
    Version { name: "30 in 100 fail", worse: 30, ..GOOD },
    Version { name: "all fail", worse: 100, ..GOOD },
    Version { name: "10 in 100 late", worse: 10, slow: true, ..GOOD },
    Version { name: "10 in 100 fail on one route", worse: 10, only_route: Some(1), ..GOOD },
    Version { name: "10 in 100 fail, from the middle on", worse: 10, from: 50, ..GOOD },
    Version { name: "10 in 100 fail, base 14 on a route", worse: 10, base: [4, 140, 4], ..GOOD },
    Version { name: "10 in 100 fail, outage", worse: 10, outage: (20, 30), ..GOOD },
];

type Verdict = fn(&[Evidence], bool) -> bool;

/// The product's verdict.
fn ours(windows: &[Evidence], last: bool) -> bool {
    if last { judge_final(windows).is_some() } else { judge(windows).is_some() }
}

/// More than five in a hundred bad.
fn threshold(windows: &[Evidence], _: bool) -> bool {
    let target = windows[0].target();
    target.answers >= 50 && target.bad() * 20 > target.answers
}

/// Wald's test of ten more bad answers in a hundred, all routes together.
fn sprt(windows: &[Evidence], _: bool) -> bool {
    let (target, others) = (windows[0].target(), windows[0].others());
    let base = f64::from(others.bad() + 1) / f64::from(others.answers + 2);
    let worse = base + 0.1;
    let (bad, all) = (f64::from(target.bad()), f64::from(target.answers));
    bad * (worse / base).ln() + (all - bad) * ((1.0 - worse) / (1.0 - base)).ln() > 1e4_f64.ln()
}

/// What became of a version: whether it was rolled back, after how many answers and bad ones.
struct Trial {
    back: bool,
    answers: u32,
    bad: u32,
}

fn trial(version: &Version, verdict: Verdict, seed: u64) -> Trial {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut evidence = Evidence::default();
    let mut older = Vec::new();
    for look in 0..LOOKS {
        for route in 0..3 {
            for n in 0..OTHERS + TARGET {
                let at_target = n < TARGET;
                let upstream = rng.random_range(0..UPSTREAMS);
                let worse = at_target
                    && look >= version.from
                    && version.only_route.is_none_or(|only| only == route)
                    && version.replica.is_none_or(|replica| replica == upstream)
                    && rng.random_range(0..100) < version.worse;
                let out = (version.outage.0..version.outage.1).contains(&look)
                    && rng.random_range(0..2) == 0;
                let base = rng.random_range(0..1000) < version.base[route] || out;
                let failed = base || worse && !version.slow;
                let count = AnswerCounts {
                    answers: 1,
                    failed: u32::from(failed),
                    slow: u32::from(worse && version.slow && !failed),
                };
                let sums = evidence.routes.entry(format!("route-{route}")).or_default();
                if at_target {
                    sums.0 = sums.0.plus(count);
                    let sum = evidence.upstreams.entry(upstream).or_default();
                    *sum = sum.plus(count);
                } else {
                    sums.1 = sums.1.plus(count);
                }
            }
        }
        let mut windows = vec![evidence.clone()];
        windows.extend(older.iter().rev().take(6).map(|old| evidence.since(old)));
        if look % 10 == 9 {
            older.push(evidence.clone());
        }
        if verdict(&windows, look + 1 == LOOKS) {
            let target = evidence.target();
            return Trial { back: true, answers: target.answers, bad: target.bad() };
        }
    }
    let target = evidence.target();
    Trial { back: false, answers: target.answers, bad: target.bad() }
}

/// Returns how many of some trials were rolled back, and the 99th of 100 in bad answers and
/// the middle one in answers.
fn trials(version: &Version, verdict: Verdict, seeds: usize) -> (usize, u32, u32) {
    let all: Vec<_> = (0..).take(seeds).map(|seed| trial(version, verdict, seed)).collect();
    let mut bad: Vec<_> = all.iter().map(|t| t.bad).collect();
    let mut answers: Vec<_> = all.iter().map(|t| t.answers).collect();
    bad.sort_unstable();
    answers.sort_unstable();
    let back = all.iter().filter(|t| t.back).count();
    (back, bad[bad.len() * 99 / 100], answers[answers.len() / 2])
}

/// Reads a number from the environment, for longer runs than CI's.
fn seeds() -> usize {
    std::env::var("BADGERFIELD_CASES").ok().and_then(|t| t.parse().ok()).unwrap_or(40)
}

#[test]
fn a_good_version_is_rarely_rolled_back() {
    for version in &GOODS {
        let (back, ..) = trials(version, ours, seeds());
        let most = seeds() / 50;
        assert!(back <= most, "{}: {back} of {} rolled back", version.name, seeds());
    }
}

#[test]
fn a_bad_version_is_found_before_its_fiftieth_bad_answer() {
    for version in &BADS {
        let (back, bad, _) = trials(version, ours, seeds());
        let least = seeds() * 98 / 100;
        assert!(back >= least, "{}: only {back} of {} rolled back", version.name, seeds());
        // Where the others fail too, only those beyond that count.
        if version.outage == GOOD.outage && version.base == GOOD.base && version.from == 0 {
            assert!(bad < 50, "{}: {bad} bad answers", version.name);
        }
    }
}

/// Makes evidence of one route, with so many answers of the target's upstreams, and bad ones.
fn evidence(upstreams: &[(u32, u32)], others: u32) -> Evidence {
    let mut evidence = Evidence::default();
    let mut target = AnswerCounts::default();
    for (number, (answers, failed)) in (0..).zip(upstreams) {
        let counts = AnswerCounts { answers: *answers, failed: *failed, slow: 0 };
        evidence.upstreams.insert(number, counts);
        target = target.plus(counts);
    }
    let others = AnswerCounts { answers: others, failed: 0, slow: 0 };
    evidence.routes.insert("route".into(), (target, others));
    evidence
}

/// Fails if all requests move to a version that fails, because its upstreams are too few to
/// tell whether the version is bad or one of them.
#[test]
fn a_version_with_few_upstreams_is_found_bad_at_the_last_look() {
    for upstreams in [&[(29, 29)][..], &[(5, 5)], &[(29, 29), (3, 0)], &[(20, 20), (0, 0)]] {
        let windows = [evidence(upstreams, 1000)];
        assert_eq!(judge_final(&windows), Some(RolloutReason::Failures), "{upstreams:?}");
    }
    // One that is worse than a sibling which was tried as much is not the version's fault.
    let windows = [evidence(&[(20, 18), (20, 0)], 1000)];
    assert_eq!(judge_final(&windows), None);
    assert_eq!(judge_final(&[evidence(&[(29, 0)], 1000)]), None);
}

/// Fails if an only upstream that is bad gets fifty bad answers, which no sibling can explain.
#[test]
fn an_only_upstream_ends_the_trial_before_its_fiftieth_bad_answer() {
    let first = (1..50).find(|bad| judge(&[evidence(&[(*bad, *bad)], 1000)]).is_some());
    assert!(first.is_some(), "fifty bad answers, and no verdict");
}

/// Prints the table of the design note; it checks nothing.
#[test]
#[ignore = "prints a table for the design note"]
fn table() {
    let rules: [(&str, Verdict); 3] = [("ratio", ours), ("threshold", threshold), ("sprt", sprt)];
    for (name, rule) in rules {
        for version in GOODS.iter().chain(&BADS) {
            let (back, bad, answers) = trials(version, rule, seeds());
            println!("| {name} | {} | {back} of {} | {bad} | {answers} |", version.name, seeds());
        }
    }
}
