//! Judging a version by counts alone: is the target worse than the others?
//!
//! Both versions answer requests of the same routes over the same time, so that trouble which
//! hits both alike shows in both. For failures and for slowness apart, the likelihood of the
//! counts under a target that is worse by one of some effects is held against the likelihood
//! under a target that is as the others are. What the others show is itself uncertain, and
//! counts as such. The ratio is a mixture over effects and routes, so that it passes a bound
//! of 1/E by chance in at most E of all roll-outs of good versions, however often it is looked
//! at (Ville's inequality).

use super::{AnswerCounts, Evidence, RolloutReason};

/// In which part of roll-outs of good versions one is taken for bad while it is tried: an
/// operator has to order it again.
const FALSE_ALARM: f64 = 1e-4;
/// The same for the last look before all requests move, which nothing follows: a bad version
/// that has been tried little is better taken for bad there.
const LAST_ALARM: f64 = 0.02;
/// From which odds on one upstream is taken to be worse than its siblings, so that the verdict
/// waits for these.
const LIKELY_ONE: f64 = 1.0;
/// From which odds on it is taken to be so surely worse that no number of its bad answers says
/// anything of the version.
const SURELY_ONE: f64 = 100.0;
/// From which odds on its siblings are taken to be bad too.
const SIBLINGS_BAD: f64 = 500.0;
/// How many answers must be bad before a version is taken for bad: a few at once may come of a
/// single mishap, which hits many requests.
const LEAST_BAD: u32 = 8;
/// The same at the last look, for a version that has been tried little.
const LEAST_LAST: u32 = 3;
/// By how much the part of bad answers of a bad version is greater, of what is not bad anyway.
const EFFECTS: [f64; 4] = [0.03, 0.1, 0.3, 0.8];
/// How many kinds of bad answers share the weight of a ratio: failures and slowness.
const KINDS: f64 = 2.0;
/// How many bad answers beyond what the others explain end the trial without further proof.
/// The platform's bound is 50; the rest is for those on their way.
const MANY_BAD: f64 = 30.0;
/// By how many standard deviations these must be beyond it.
const MANY_DEVIATIONS: f64 = 4.0;
/// How many answers of others are needed to know what they explain.
const ENOUGH_OTHERS: u32 = 30;
/// From how many upstreams on one that is worse can be told from its siblings.
const ENOUGH_SIBLINGS: usize = 3;
/// Of two upstreams one is taken to be the odd one if it has more than so many times the bad
/// answers of the other.
const ODD_TIMES: u32 = 4;
/// And if the other has more than one in so many of its answers, so that it was tried as well.
const TRIED_PART: u32 = 4;

/// A kind of bad answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Failures,
    Slowness,
}

/// Requests, and how many of them were bad.
#[derive(Debug, Clone, Copy, Default)]
struct Sample {
    all: u32,
    bad: u32,
}

impl Kind {
    fn of(self, counts: AnswerCounts) -> Sample {
        match self {
            Self::Failures => Sample { all: counts.answers, bad: counts.failed },
            Self::Slowness => {
                let all = counts.answers.saturating_sub(counts.failed);
                Sample { all, bad: counts.slow }
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

/// How sure a look at the evidence must be.
#[derive(Debug, Clone, Copy)]
struct Look {
    /// In which part of roll-outs of good versions it may find them bad.
    alarm: f64,
    /// How many bad answers it takes at least.
    least: u32,
    /// Whether more evidence comes, which one can wait for where upstreams are too few to tell
    /// whether the version is bad or one of them.
    waits: bool,
}

const TRIAL: Look = Look { alarm: FALSE_ALARM, least: LEAST_BAD, waits: true };
/// Nothing follows this look: a version that fails at the only upstream it has would get all
/// requests.
const LAST: Look = Look { alarm: LAST_ALARM, least: LEAST_LAST, waits: false };

/// Tells why the target is bad, if the evidence says so; `windows` is the evidence of the whole
/// trial and of its latest parts, for versions that turn bad later.
#[must_use]
pub fn judge(windows: &[Evidence]) -> Option<RolloutReason> {
    let found = look(windows, TRIAL);
    found.or_else(|| windows.iter().find_map(many_bad))
}

/// Tells why the target is rather bad than good, at the last look.
#[must_use]
pub fn judge_final(windows: &[Evidence]) -> Option<RolloutReason> {
    judge(windows).or_else(|| look(windows, LAST))
}

/// Looks at the whole trial with half of the weight, and at its parts with the other half.
fn look(windows: &[Evidence], look: Look) -> Option<RolloutReason> {
    let (whole, parts) = windows.split_first()?;
    let bound = 2.0_f64.ln() - look.alarm.ln();
    let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
    let of_part = bound + f64::from(count.max(1)).ln();
    let found = beyond(whole, bound, look);
    found.or_else(|| parts.iter().find_map(|part| beyond(part, of_part, look)))
}

/// Tells why the target is bad if the ratio is beyond a bound, and no single upstream explains it.
fn beyond(evidence: &Evidence, bound: f64, look: Look) -> Option<RolloutReason> {
    for kind in [Kind::Failures, Kind::Slowness] {
        let few = kind.of(evidence.target()).bad < look.least;
        if few || ratio(evidence, kind) - KINDS.ln() < bound {
            continue;
        }
        let is_one = if evidence.upstreams.len() < ENOUGH_SIBLINGS {
            may_be_one_of_few(evidence, kind, look)
        } else {
            is_one_of_many(evidence, kind, LIKELY_ONE)
        };
        if !is_one {
            return Some(kind.reason());
        }
    }
    None
}

/// Tells whether so many answers were bad that it is not waited for proof.
fn many_bad(evidence: &Evidence) -> Option<RolloutReason> {
    for kind in [Kind::Failures, Kind::Slowness] {
        let mut excess = 0.0;
        let mut variance = 0.0;
        for (target, others) in evidence.routes.values() {
            let (target, others) = (kind.of(*target), kind.of(*others));
            if others.all < ENOUGH_OTHERS {
                continue;
            }
            let rate = f64::from(others.bad) / f64::from(others.all);
            let all = f64::from(target.all);
            excess += f64::from(target.bad) - rate * all;
            variance += rate * (1.0 - rate) * all * (1.0 + all / f64::from(others.all));
        }
        let is_many = excess >= MANY_BAD && excess >= MANY_DEVIATIONS * variance.sqrt();
        // One of many that is worse is left to those that watch single upstreams.
        let is_one = evidence.upstreams.len() >= ENOUGH_SIBLINGS
            && is_one_of_many(evidence, kind, SURELY_ONE);
        if is_many && !is_one {
            return Some(RolloutReason::ManyBad);
        }
    }
    None
}

/// Returns the logarithm of the ratio of likelihoods: the target is worse on all routes, or on
/// one, against not at all.
fn ratio(evidence: &Evidence, kind: Kind) -> f64 {
    let pairs = evidence.routes.values().map(|(t, o)| (kind.of(*t), kind.of(*o)));
    let single: Vec<_> = pairs.filter(|(t, _)| t.all > 0).map(|(t, o)| effects(t, o)).collect();
    let count = u32::try_from(single.len()).unwrap_or(u32::MAX);
    let mut together = [0.0; EFFECTS.len()];
    for ratios in &single {
        for (sum, ratio) in together.iter_mut().zip(ratios) {
            *sum += ratio;
        }
    }
    let all = mean_exp(&together);
    let best = single.iter().map(mean_exp).fold(f64::NEG_INFINITY, f64::max);
    // Each half of the weight; the half for one route is divided among the routes.
    (all - 2.0_f64.ln()).max(best - (2.0 * f64::from(count.max(1))).ln())
}

/// Returns, for each effect, the logarithm of the ratio of likelihoods on one route.
fn effects(target: Sample, others: Sample) -> [f64; EFFECTS.len()] {
    let (bad, good) = (f64::from(target.bad), f64::from(target.all.saturating_sub(target.bad)));
    // A half more of each is the prior of Jeffreys: no rate is ruled out by few answers.
    let known_bad = f64::from(others.bad) + 0.5;
    let known_good = f64::from(others.all.saturating_sub(others.bad)) + 0.5;
    let alike = ln_beta(known_bad + bad, known_good + good) - ln_beta(known_bad, known_good);
    let base = known_bad / (known_bad + known_good);
    EFFECTS.map(|effect| {
        let rate = base + effect * (1.0 - base);
        bad * rate.ln() + good * (1.0 - rate).ln() - alike
    })
}

/// Tells whether one upstream of the target is worse than its siblings with these odds, and
/// these are not bad.
fn is_one_of_many(evidence: &Evidence, kind: Kind, odds: f64) -> bool {
    let Some((worst, rest)) = worst_and_rest(evidence, kind) else {
        return false;
    };
    if mean_exp(&effects(worst, rest)) < odds.ln() {
        return false;
    }
    let others: Vec<_> = evidence.routes.values().map(|(_, o)| kind.of(*o)).collect();
    mean_exp(&effects(rest, sum(&others))) < SIBLINGS_BAD.ln()
}

/// Tells whether it may be one upstream of one or two that is bad, and not the version.
fn may_be_one_of_few(evidence: &Evidence, kind: Kind, look: Look) -> bool {
    let Some((worst, rest)) = worst_and_rest(evidence, kind) else {
        return false;
    };
    if look.waits && rest.bad == 0 {
        return true;
    }
    let is_odd = worst.bad > rest.bad.saturating_mul(ODD_TIMES);
    is_odd && rest.all > worst.all / TRIED_PART
}

/// Returns what the upstream of the target with the most bad answers got, and what its siblings
/// got together.
fn worst_and_rest(evidence: &Evidence, kind: Kind) -> Option<(Sample, Sample)> {
    let samples: Vec<_> = evidence.upstreams.values().map(|c| kind.of(*c)).collect();
    let all = sum(&samples);
    let worst = samples.iter().max_by_key(|s| s.bad).copied()?;
    Some((worst, Sample { all: all.all - worst.all, bad: all.bad - worst.bad }))
}

fn sum(samples: &[Sample]) -> Sample {
    samples.iter().fold(Sample::default(), |sum, s| Sample {
        all: sum.all.saturating_add(s.all),
        bad: sum.bad.saturating_add(s.bad),
    })
}

/// Returns the logarithm of the mean of what the logarithms stand for.
fn mean_exp(logarithms: &[f64; EFFECTS.len()]) -> f64 {
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

/// Returns the logarithm of the gamma function for a positive number, by Stirling's series.
fn ln_gamma(x: f64) -> f64 {
    let mut shift = 0.0;
    let mut x = x;
    // The series is good to eight digits from here on.
    while x < 8.0 {
        shift += x.ln();
        x += 1.0;
    }
    let series = 1.0 / (12.0 * x) - 1.0 / (360.0 * x.powi(3)) + 1.0 / (1260.0 * x.powi(5));
    (x - 0.5) * x.ln() - x + 0.5 * (2.0 * std::f64::consts::PI).ln() + series - shift
}
