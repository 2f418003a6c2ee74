//! Statistical verdict on a version from counts of answers: is the target worse than the others?
//!
//! Both versions answer requests of the same routes over the same time, so a fault that affects
//! both shows in both. Failures and slow answers are tested separately. Each test compares the
//! likelihood of the counts if the target is worse by one of several effects with their likelihood
//! if the target is like the others. The rate of the others is itself uncertain, and the test takes
//! that into account. The likelihood ratio is a mixture over effects and routes, so by chance it
//! exceeds a bound of 1/E in at most a fraction E of all rollouts of good versions, however often
//! it is evaluated (Ville's inequality).

use super::{AnswerCounts, Evidence, RolloutReason};

/// Share of rollouts of good versions in which the version is judged bad during the canary. The
/// operator has to order such a rollout again.
const FALSE_ALARM_RATE: f64 = 1e-4;
/// The same for the final verdict before all requests move, and before a version that got few
/// requests becomes the only one: there it is better rejected.
const FINAL_FALSE_ALARM_RATE: f64 = 0.02;
/// Odds from which one upstream is considered worse than its siblings, so that the verdict waits
/// for answers of the siblings.
const LIKELY_OUTLIER_ODDS: f64 = 1.0;
/// Odds from which one upstream is so certainly worse that its bad answers do not count against the
/// version, however many they are.
const CERTAIN_OUTLIER_ODDS: f64 = 100.0;
/// Odds from which the siblings are considered bad too.
const BAD_SIBLINGS_ODDS: f64 = 500.0;
/// Minimum number of bad answers before a version is judged bad: a single fault can fail a few
/// requests at once.
const MIN_BAD: u32 = 8;
/// The same for the final verdict on a version that got few requests.
const FINAL_MIN_BAD: u32 = 3;
/// Assumed effects of a bad version: the fraction of otherwise good answers that it makes bad.
const EFFECTS: [f64; 4] = [0.03, 0.1, 0.3, 0.8];
/// Number of kinds of bad answers, failures and slow answers, which share the false-alarm rate.
const KIND_COUNT: f64 = 2.0;
/// Number of bad answers beyond those that the others explain which ends the canary without further
/// proof. The platform's limit is 50; the difference is for answers that are still on their way.
const MANY_BAD_EXCESS: f64 = 30.0;
/// Number of standard deviations by which the bad answers must exceed those that the others
/// explain.
const MANY_BAD_DEVIATIONS: f64 = 4.0;
/// Minimum number of answers of other versions for an estimate of their rate of bad answers.
const MIN_OTHER_ANSWERS: u32 = 30;
/// Minimum number of upstreams at which a worse one can be told from its siblings.
const MIN_UPSTREAMS: usize = 3;
/// Of two upstreams, one is considered the outlier if it has more than this many times the bad
/// answers of the other.
const OUTLIER_FACTOR: u32 = 4;
/// The other must also have more than one answer per this many answers of the outlier, so that both
/// were tried.
const TRIED_DIVISOR: u32 = 4;

/// A kind of bad answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BadKind {
    Failures,
    Slowness,
}

/// A number of answers, and how many of them were bad.
#[derive(Debug, Clone, Copy, Default)]
struct Sample {
    total: u32,
    bad: u32,
}

impl BadKind {
    fn sample(self, counts: AnswerCounts) -> Sample {
        match self {
            Self::Failures => Sample { total: counts.answers, bad: counts.failed },
            Self::Slowness => {
                let total = counts.answers.saturating_sub(counts.failed);
                Sample { total, bad: counts.slow }
            }
        }
    }

    fn reason(self) -> RolloutReason {
        match self {
            Self::Failures => RolloutReason::Failures,
            Self::Slowness => RolloutReason::Slowness,
        }
    }
}

/// How certain a verdict must be.
#[derive(Debug, Clone, Copy)]
struct Criteria {
    /// Share of rollouts of good versions in which the verdict may be that the version is bad.
    false_alarm_rate: f64,
    /// Minimum number of bad answers.
    min_bad: u32,
    /// Whether the verdict can wait for more evidence if there are too few upstreams to tell
    /// whether the version is bad or one of them.
    can_wait: bool,
}

const CANARY_CRITERIA: Criteria =
    Criteria { false_alarm_rate: FALSE_ALARM_RATE, min_bad: MIN_BAD, can_wait: true };
/// No later verdict follows this one: a version that fails at its only upstream would get all
/// requests.
const FINAL_CRITERIA: Criteria =
    Criteria { false_alarm_rate: FINAL_FALSE_ALARM_RATE, min_bad: FINAL_MIN_BAD, can_wait: false };

/// Returns the reason why the target is bad, if the evidence shows that it is. The first window is
/// the evidence of the whole canary; the others are its latest parts, for versions that turn bad
/// later.
#[must_use]
pub fn judge(windows: &[Evidence]) -> Option<RolloutReason> {
    let found = find_reason(windows, CANARY_CRITERIA);
    found.or_else(|| windows.iter().find_map(find_many_bad))
}

/// Returns the reason why the target is more likely bad than good, for the final verdict.
#[must_use]
pub fn judge_final(windows: &[Evidence]) -> Option<RolloutReason> {
    judge(windows).or_else(|| find_reason(windows, FINAL_CRITERIA))
}

/// Tests the whole canary with half of the false-alarm rate, and its latest parts with the other
/// half.
fn find_reason(windows: &[Evidence], criteria: Criteria) -> Option<RolloutReason> {
    let (whole, parts) = windows.split_first()?;
    let bound = 2.0_f64.ln() - criteria.false_alarm_rate.ln();
    let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
    let part_bound = bound + f64::from(count.max(1)).ln();
    let found = reason_beyond(whole, bound, criteria);
    found.or_else(|| parts.iter().find_map(|part| reason_beyond(part, part_bound, criteria)))
}

/// Returns the reason why the target is bad if the log ratio is at or above `bound` and no single
/// upstream explains it.
fn reason_beyond(evidence: &Evidence, bound: f64, criteria: Criteria) -> Option<RolloutReason> {
    for kind in [BadKind::Failures, BadKind::Slowness] {
        let is_too_few = kind.sample(evidence.target()).bad < criteria.min_bad;
        if is_too_few || log_ratio(evidence, kind) - KIND_COUNT.ln() < bound {
            continue;
        }
        let is_outlier = if evidence.upstreams.len() < MIN_UPSTREAMS {
            is_possible_outlier_of_few(evidence, kind, criteria)
        } else {
            is_outlier_of_many(evidence, kind, LIKELY_OUTLIER_ODDS)
        };
        if !is_outlier {
            return Some(kind.reason());
        }
    }
    None
}

/// Returns a reason if there are so many bad answers that the verdict does not wait for proof.
fn find_many_bad(evidence: &Evidence) -> Option<RolloutReason> {
    for kind in [BadKind::Failures, BadKind::Slowness] {
        let mut excess = 0.0;
        let mut variance = 0.0;
        for (target, others) in evidence.routes.values() {
            let (target, others) = (kind.sample(*target), kind.sample(*others));
            if others.total < MIN_OTHER_ANSWERS {
                continue;
            }
            let rate = f64::from(others.bad) / f64::from(others.total);
            let all = f64::from(target.total);
            excess += f64::from(target.bad) - rate * all;
            variance += rate * (1.0 - rate) * all * (1.0 + all / f64::from(others.total));
        }
        let is_many = excess >= MANY_BAD_EXCESS && excess >= MANY_BAD_DEVIATIONS * variance.sqrt();
        // A single worse upstream among many is left to the checks of single upstreams.
        let is_outlier = evidence.upstreams.len() >= MIN_UPSTREAMS
            && is_outlier_of_many(evidence, kind, CERTAIN_OUTLIER_ODDS);
        if is_many && !is_outlier {
            return Some(RolloutReason::ManyBad);
        }
    }
    None
}

/// Returns the logarithm of the likelihood ratio: the target is worse on all routes or on one
/// route, against not worse on any.
fn log_ratio(evidence: &Evidence, kind: BadKind) -> f64 {
    let pairs = evidence.routes.values().map(|(t, o)| (kind.sample(*t), kind.sample(*o)));
    let by_route: Vec<_> =
        pairs.filter(|(t, _)| t.total > 0).map(|(t, o)| log_ratios(t, o)).collect();
    let count = u32::try_from(by_route.len()).unwrap_or(u32::MAX);
    let mut together = [0.0; EFFECTS.len()];
    for ratios in &by_route {
        for (sum, ratio) in together.iter_mut().zip(ratios) {
            *sum += ratio;
        }
    }
    let all = log_mean_exp(&together);
    let best = by_route.iter().map(log_mean_exp).fold(f64::NEG_INFINITY, f64::max);
    // Each case has half of the weight; the half for one route is divided among the routes.
    (all - 2.0_f64.ln()).max(best - (2.0 * f64::from(count.max(1))).ln())
}

/// Returns the logarithm of the likelihood ratio on one route for each effect.
fn log_ratios(target: Sample, others: Sample) -> [f64; EFFECTS.len()] {
    let (bad, good) = (f64::from(target.bad), f64::from(target.total.saturating_sub(target.bad)));
    // Jeffreys prior: half an answer is added to each count, so few answers rule out no rate.
    let known_bad = f64::from(others.bad) + 0.5;
    let known_good = f64::from(others.total.saturating_sub(others.bad)) + 0.5;
    let unchanged = ln_beta(known_bad + bad, known_good + good) - ln_beta(known_bad, known_good);
    let base = known_bad / (known_bad + known_good);
    EFFECTS.map(|effect| {
        let rate = base + effect * (1.0 - base);
        bad * rate.ln() + good * (1.0 - rate).ln() - unchanged
    })
}

/// Returns whether one upstream of the target is worse than its siblings with these odds, and the
/// siblings are not bad.
fn is_outlier_of_many(evidence: &Evidence, kind: BadKind, odds: f64) -> bool {
    let Some((worst, rest)) = worst_and_rest(evidence, kind) else {
        return false;
    };
    if log_mean_exp(&log_ratios(worst, rest)) < odds.ln() {
        return false;
    }
    let others: Vec<_> = evidence.routes.values().map(|(_, o)| kind.sample(*o)).collect();
    log_mean_exp(&log_ratios(rest, sum(&others))) < BAD_SIBLINGS_ODDS.ln()
}

/// Returns whether the bad answers may come from one of at most two upstreams rather than from the
/// version.
fn is_possible_outlier_of_few(evidence: &Evidence, kind: BadKind, criteria: Criteria) -> bool {
    let Some((worst, rest)) = worst_and_rest(evidence, kind) else {
        return false;
    };
    if criteria.can_wait && rest.bad == 0 {
        return true;
    }
    let has_more_bad = worst.bad > rest.bad.saturating_mul(OUTLIER_FACTOR);
    has_more_bad && rest.total > worst.total / TRIED_DIVISOR
}

/// Returns the sample of the target's upstream with the most bad answers, and the sum of the
/// samples of its siblings.
fn worst_and_rest(evidence: &Evidence, kind: BadKind) -> Option<(Sample, Sample)> {
    let samples: Vec<_> = evidence.upstreams.values().map(|c| kind.sample(*c)).collect();
    let all = sum(&samples);
    let worst = samples.iter().max_by_key(|s| s.bad).copied()?;
    Some((worst, Sample { total: all.total - worst.total, bad: all.bad - worst.bad }))
}

fn sum(samples: &[Sample]) -> Sample {
    samples.iter().fold(Sample::default(), |sum, s| Sample {
        total: sum.total.saturating_add(s.total),
        bad: sum.bad.saturating_add(s.bad),
    })
}

/// Returns the logarithm of the mean of values that are given as logarithms.
fn log_mean_exp(logarithms: &[f64; EFFECTS.len()]) -> f64 {
    let most = logarithms.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    if !most.is_finite() {
        return most;
    }
    let sum: f64 = logarithms.iter().map(|l| (l - most).exp()).sum();
    let count: f64 = logarithms.iter().map(|_| 1.0).sum();
    most + (sum / count).ln()
}

/// Returns the logarithm of the beta function.
fn ln_beta(a: f64, b: f64) -> f64 {
    ln_gamma(a) + ln_gamma(b) - ln_gamma(a + b)
}

/// Returns the logarithm of the gamma function of a positive number, by Stirling's series.
fn ln_gamma(x: f64) -> f64 {
    let mut shift = 0.0;
    let mut x = x;
    // The series is accurate to eight digits from here on.
    while x < 8.0 {
        shift += x.ln();
        x += 1.0;
    }
    let series = 1.0 / (12.0 * x) - 1.0 / (360.0 * x.powi(3)) + 1.0 / (1260.0 * x.powi(5));
    (x - 0.5) * x.ln() - x + 0.5 * (2.0 * std::f64::consts::PI).ln() + series - shift
}
