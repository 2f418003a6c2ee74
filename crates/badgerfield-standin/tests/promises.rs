//! Single promises under single faults, and the aims that the measurements hold.

use std::time::Duration;

use badgerfield_core::amount::Tokens;
use badgerfield_standin::fleet::{End, Fleet, Shape, Wish, key_of};
use badgerfield_standin::measure::{Case, Ours, System};

fn wish(budget: usize) -> Wish {
    Wish { budget, key: None, once: false, service: false, prompt: 100, output: 100 }
}

/// Lets requests come through all VMs for some seconds, 20 a second.
fn load(fleet: &mut Fleet, seconds: u64) {
    for n in 0..seconds * 20 {
        let usable = fleet.usable();
        let vm = usable[usize::try_from(n).unwrap_or(0) % usable.len()];
        fleet.ask(vm, wish(0));
        fleet.advance(Duration::from_millis(50));
    }
}

#[test]
fn leaving_upstream_gets_nothing_new_after_a_few_seconds() {
    let mut fleet = Fleet::started(Shape::default());
    load(&mut fleet, 5);
    fleet.leave_upstream(0);
    // The simulated fleet applies the change of the list 3 s late.
    load(&mut fleet, 4);
    let leaving = "u-0".parse().expect("the name is valid");
    let before = fleet.truth.dispatches[&leaving].0;
    load(&mut fleet, 20);
    assert_eq!(fleet.truth.dispatches[&leaving].0, before);
    assert_eq!(fleet.faults, Vec::<String>::new());
}

#[test]
fn template_is_in_force_everywhere_within_seconds() {
    for size in [4, 16, 32] {
        let mut fleet = Fleet::started(Shape { regions: vec![size, size], ..Shape::default() });
        let change = |limit: u64| {
            move |set: &mut badgerfield_core::template::TemplateSet| {
                if let Some(budget) = set.budgets.get_mut(&Fleet::budget(0)) {
                    budget.limit = Tokens(limit);
                }
            }
        };
        assert!(fleet.apply(change(7)));
        fleet.advance(Duration::from_secs(4));
        let version = fleet.templates.version;
        let behind = |vm: &usize| fleet.node(*vm).is_none_or(|n| n.template_version() < version);
        let behind: Vec<_> = (0..2 * size).filter(behind).collect();
        assert!(behind.is_empty(), "of {} VMs not in force on {behind:?}", 2 * size);
    }
}

#[test]
fn planned_stop_cuts_nothing_and_strands_nothing() {
    let mut fleet = Fleet::started(Shape { limits: vec![1_000_000], ..Shape::default() });
    load(&mut fleet, 10);
    for vm in 0..fleet.size() {
        for n in 0..5 {
            fleet.ask(vm, Wish { key: Some(format!("{vm}-{n}")), ..wish(0) });
        }
        fleet.stop(vm);
        load(&mut fleet, 10);
        assert!(!fleet.runs(vm), "VM {vm} has not ended");
        fleet.start(vm);
        load(&mut fleet, 5);
    }
    fleet.advance(Duration::from_secs(30));
    for asked in fleet.asked.values() {
        assert!(matches!(asked.end, Some((End::Whole(_), _))), "{asked:?}");
    }
    for (key, bill) in &fleet.truth.bills {
        assert_eq!(bill.0, 1, "{key}");
    }
    let served = fleet.truth.served[&0];
    assert_eq!(served + fleet.left(0) + fleet.held(0), 1_000_000, "nothing is lost or made");
}

#[test]
fn retry_through_another_vm_follows_or_resumes() {
    let mut fleet = Fleet::started(Shape { noise: 0, ..Shape::default() });
    let wish = Wish { key: Some("key".into()), once: true, ..wish(0) };
    let first = fleet.ask(0, wish.clone());
    fleet.advance(Duration::from_millis(300));
    let second = fleet.ask(5, wish.clone());
    fleet.advance(Duration::from_millis(100));
    fleet.kill(0);
    fleet.advance(Duration::from_secs(10));
    assert!(matches!(fleet.asked[&first].end, Some((End::Lost, _))));
    let end = &fleet.asked[&second].end;
    assert!(matches!(end, Some((End::Whole(_), _))), "{end:?}");
    let key = key_of(&wish).expect("the wish has a key");
    assert_eq!(fleet.truth.runs[&key], 1);
    assert_eq!(fleet.truth.bills[&key].0, 1);
    assert_eq!(fleet.faults, Vec::<String>::new());
}

#[test]
fn stream_of_a_killed_vm_is_resumed_wherever_its_key_is_decided() {
    for n in 0..30 {
        let shape = Shape { regions: vec![3], noise: 0, seed: n + 1, ..Shape::default() };
        let mut fleet = Fleet::started(shape);
        let wish = Wish { key: Some(format!("key-{n}")), ..wish(0) };
        fleet.ask(0, wish.clone());
        fleet.advance(Duration::from_millis(300));
        fleet.kill(0);
        let again = fleet.ask(1, wish.clone());
        fleet.advance(Duration::from_secs(10));
        let end = &fleet.asked[&again].end;
        assert!(matches!(end, Some((End::Whole(_), _))), "{end:?}");
        let key = key_of(&wish).expect("the wish has a key");
        assert_eq!(fleet.truth.runs[&key], 1, "seed {}: the stream ran again", n + 1);
    }
}

#[test]
fn measured_cases_keep_their_aims() {
    for case in Case::all(1) {
        let figures = Ours.run(&case);
        assert_eq!(figures.overspend, 0, "{}", case.name);
        // One in a thousand; the frozen VM takes its working part along at the tight end.
        let most = match case.name {
            "healthy" => 0,
            "pause" => 40,
            "all at once" => 15,
            _ => 7,
        };
        assert!(figures.refused <= most, "{}: {} refused", case.name, figures.refused);
        assert!(figures.kv_calls < 45.0, "{}: {} calls a second", case.name, figures.kv_calls);
    }
    let case = Case::all(1).remove(3);
    assert_eq!(Ours.run(&case), Ours.run(&case), "the same seed gives the same figures");
}

#[test]
fn who_cannot_reach_its_parked_tokens_answers_soon() {
    // What a VM parked with a peer is out of its reach when that peer is gone and the platform,
    // which would remove it from the view, does not answer.
    for lost in 0..4 {
        let shape = Shape { regions: vec![4], noise: 0, limits: vec![100_000], ..Shape::default() };
        let mut fleet = Fleet::started(shape);
        // Demand that makes every VM hold a part, and park most of it.
        for round in 0..40 {
            fleet.ask(round % 4, wish(0));
            fleet.advance(Duration::from_millis(250));
        }
        fleet.advance(Duration::from_secs(10));
        fleet.platform.down = true;
        fleet.kill(lost);
        let survivors: Vec<_> = (0..4).filter(|vm| *vm != lost).collect();
        let mut asked = Vec::new();
        for round in 0..400 {
            asked.push(fleet.ask(survivors[round % survivors.len()], wish(0)));
            fleet.advance(Duration::from_millis(50));
        }
        fleet.advance(Duration::from_secs(8));
        for id in asked {
            let request = &fleet.asked[&id];
            let Some((End::Refused(refusal), at)) = &request.end else {
                continue;
            };
            let waited = at.since(request.at);
            assert!(waited < Duration::from_millis(1500), "VM {lost} gone: {waited:?} {refusal:?}");
        }
    }
}
