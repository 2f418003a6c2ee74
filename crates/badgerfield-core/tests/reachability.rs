//! When a VM counts as cut off from upstreams, and how it returns to direct sending.

use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::reachability::{ProbeRound, ReachChange, Reachability};

/// The time within which a cut must be noticed.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// How long a round takes in which connections get no answer, and peers are asked.
const SLOW_ROUND: Duration = Duration::from_millis(600);
/// The interval at which the VM checks whether a round is due.
const STEP: Duration = Duration::from_millis(100);

const OPEN: ProbeRound = ProbeRound { probed: 4, opened: 4, asked: 0, reached: 0 };
const CUT: ProbeRound = ProbeRound { probed: 4, opened: 0, asked: 3, reached: 3 };

/// Runs the rounds that are due until a time, and returns the changes with their times.
fn run(
    reach: &mut Reachability,
    now: &mut Time,
    until: Time,
    round: ProbeRound,
) -> Vec<(Time, ReachChange)> {
    let mut changes = Vec::new();
    while *now < until {
        if reach.is_round_due(*now) {
            *now = now.after(if round.opened == round.probed { STEP } else { SLOW_ROUND });
            changes.extend(reach.record_round(*now, round).map(|change| (*now, change)));
        }
        *now = now.after(STEP);
    }
    changes
}

fn seconds(seconds: u64) -> Time {
    Time(Duration::from_secs(seconds))
}

/// Returns a VM that has been cut off since a second, with the present time.
fn cut_off() -> (Reachability, Time) {
    let (mut reach, mut now) = (Reachability::default(), Time::default());
    run(&mut reach, &mut now, seconds(5), OPEN);
    run(&mut reach, &mut now, seconds(9), CUT);
    assert!(reach.is_cut_off());
    (reach, now)
}

/// Guards against a cut that is noticed late: with or without requests, at each phase of the probes.
#[test]
fn a_cut_is_noticed_in_time() {
    for phase in 0..20 {
        for has_requests in [false, true] {
            let (mut reach, mut now) = (Reachability::default(), Time::default());
            run(&mut reach, &mut now, Time::from_millis(5_000 + 100 * phase), OPEN);
            let cut_at = now;
            if has_requests {
                reach.record_connect(now, false);
            }
            let changes = run(&mut reach, &mut now, cut_at.after(CONTACT_TIME), CUT);
            assert_eq!(changes.len(), 1, "phase {phase}, requests {has_requests}");
        }
    }
}

/// Guards against upstreams that are down for all VMs, or silent for a moment, being taken for a cut
/// of this VM's own links.
#[test]
fn failures_of_upstreams_are_no_cut() {
    let rounds = [
        // One upstream has ended.
        ProbeRound { probed: 4, opened: 3, asked: 1, reached: 0 },
        // One upstream falls silent for this VM.
        ProbeRound { probed: 4, opened: 3, asked: 1, reached: 1 },
        // All upstreams are down.
        ProbeRound { probed: 4, opened: 0, asked: 3, reached: 0 },
        // Most are down, and peers reach the one that this VM reaches.
        ProbeRound { probed: 4, opened: 1, asked: 3, reached: 0 },
        // No peer answers: the VM's own link may be full.
        ProbeRound { probed: 4, opened: 0, asked: 0, reached: 0 },
        // No upstream is known.
        ProbeRound::default(),
    ];
    for round in rounds {
        let (mut reach, mut now) = (Reachability::default(), Time::default());
        reach.record_connect(now, false);
        assert_eq!(run(&mut reach, &mut now, seconds(20), round), [], "{round:?}");
        assert!(reach.sends_directly(99));
    }
}

/// Guards against a cut from nearly all upstreams that is not noticed because probes now and then
/// meet one of the few that are left.
#[test]
fn a_cut_that_spares_a_few_upstreams_is_noticed() {
    let (mut reach, now) = (Reachability::default(), seconds(1));
    let rounds = [(2, 8), (4, 8), (1, 8)];
    let mut changes = Vec::new();
    for (n, (opened, probed)) in (0..).zip(rounds) {
        let round = ProbeRound { probed, opened, asked: 3, reached: 3 };
        changes.extend(reach.record_round(now.after(SLOW_ROUND * n), round));
    }
    assert_eq!(changes, [ReachChange::CutOff]);
}

/// Guards against requests that leave links of which half work: attempts avoid the others.
#[test]
fn half_of_the_links_are_enough() {
    let half = ProbeRound { probed: 8, opened: 4, asked: 3, reached: 3 };
    let (mut reach, mut now) = (Reachability::default(), Time::default());
    reach.record_connect(now, false);
    assert_eq!(run(&mut reach, &mut now, seconds(20), half), []);
}

/// Guards against a single round, in which a moment's trouble may show, that decides.
#[test]
fn one_round_does_not_decide() {
    let (mut reach, now) = (Reachability::default(), seconds(1));
    assert_eq!(reach.record_round(now, CUT), None);
    assert_eq!(reach.record_round(now.after(STEP), OPEN), None);
    assert_eq!(reach.record_round(now.after(STEP * 2), CUT), None);
    assert!(!reach.is_cut_off());
}

/// Guards against all requests returning at once over links that may fail again.
#[test]
fn requests_return_step_by_step() {
    let (mut reach, mut now) = cut_off();
    assert!(!reach.sends_directly(0));
    let healed_at = now;
    let mut shares = Vec::new();
    let mut last = None;
    while last.is_none() && now < healed_at.after(Duration::from_secs(10)) {
        let until = now.after(STEP);
        for (_, change) in run(&mut reach, &mut now, until, OPEN) {
            last = matches!(change, ReachChange::Returned(_)).then_some(now);
        }
        let share = (0..100).filter(|random| reach.sends_directly(*random)).count();
        if shares.last() != Some(&share) {
            shares.push(share);
        }
    }
    assert_eq!(shares, [0, 25, 50, 100]);
    let took = last.expect("all requests return").since(healed_at);
    assert!(took <= Duration::from_secs(5), "{took:?}");
}

/// Guards against a VM that swings between both ways while its links fail again and again.
#[test]
fn links_that_flap_return_later_each_time() {
    let (mut reach, mut now) = cut_off();
    let mut returns = 0;
    for _ in 0..20 {
        let until = now.after(Duration::from_millis(1500));
        returns += run(&mut reach, &mut now, until, OPEN).len();
        let until = now.after(Duration::from_millis(2500));
        run(&mut reach, &mut now, until, CUT);
    }
    assert!(returns <= 4, "{returns} returns in 80 s");
    assert!(reach.is_cut_off());
}

/// Guards against requests that wait for findings again and again though the links are intact.
#[test]
fn requests_do_not_wait_after_a_recent_finding() {
    let (mut reach, now) = (Reachability::default(), seconds(1));
    reach.record_connect(now, false);
    assert!(reach.awaits_finding(now));
    let down = ProbeRound { probed: 4, opened: 0, asked: 3, reached: 0 };
    reach.record_round(now.after(STEP), down);
    reach.record_connect(now.after(STEP * 2), false);
    assert!(!reach.awaits_finding(now.after(STEP * 3)));
}
