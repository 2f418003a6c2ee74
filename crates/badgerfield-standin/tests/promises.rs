//! Single guarantees under single faults, and bounds on the figures of the measured cases.

use std::time::Duration;

use badgerfield_core::amount::Tokens;
use badgerfield_standin::fleet::{End, Fleet, Shape, Wish, key_of};
use badgerfield_standin::measure::{Case, Ours, System};

fn wish(budget: usize) -> Wish {
    Wish { budget, key: None, once: false, service: false, prompt: 100, output: 100 }
}

/// Sends 20 requests per second for some seconds, to all usable VMs in turn.
fn load(fleet: &mut Fleet, seconds: u64) {
    for n in 0..seconds * 20 {
        let usable = fleet.usable();
        let vm = usable[usize::try_from(n).unwrap_or(0) % usable.len()];
        fleet.ask(vm, wish(0));
        fleet.advance(Duration::from_millis(50));
    }
}

/// Guards against new requests to an upstream that the list has marked as leaving.
#[test]
fn leaving_upstream_receives_no_new_requests() {
    let mut fleet = Fleet::started(Shape::default());
    load(&mut fleet, 5);
    fleet.mark_upstream_leaving(0);
    // The list reaches the VMs after 3 s.
    load(&mut fleet, 4);
    let leaving = "u-0".parse().expect("the name is valid");
    let before = fleet.truth.dispatches[&leaving].0;
    load(&mut fleet, 20);
    assert_eq!(fleet.truth.dispatches[&leaving].0, before);
    assert_eq!(fleet.faults, Vec::<String>::new());
}

/// Guards against VMs that still use older templates 4 s after a change, in fleets of several
/// sizes.
#[test]
fn template_change_reaches_all_vms_within_four_seconds() {
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
        assert!(behind.is_empty(), "of {} VMs, {behind:?} have older templates", 2 * size);
    }
}

/// Guards against graceful stops that break off answers, bill twice or lose tokens.
#[test]
fn graceful_stops_lose_no_answers_and_no_tokens() {
    let mut fleet = Fleet::started(Shape { limits: vec![1_000_000], ..Shape::default() });
    load(&mut fleet, 10);
    for vm in 0..fleet.size() {
        for n in 0..5 {
            fleet.ask(vm, Wish { key: Some(format!("{vm}-{n}")), ..wish(0) });
        }
        fleet.stop(vm);
        load(&mut fleet, 10);
        assert!(!fleet.runs(vm), "the process of VM {vm} has not ended");
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
    assert_eq!(served + fleet.left(0) + fleet.held(0), 1_000_000, "tokens were lost or created");
}

/// A retry at another VM must get the answer of the running request, also when the first VM is
/// killed, and must not run the request again.
#[test]
fn retry_at_another_vm_attaches_or_resumes() {
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

/// A stream must be resumed after its VM is killed, whichever VM is the arbiter of its key. The
/// arbiter differs between the seeds.
#[test]
fn stream_of_a_killed_vm_is_resumed_with_any_arbiter() {
    for n in 0..30 {
        let shape = Shape { regions: vec![3], noise: 0, seed: n + 1, ..Shape::default() };
        let mut fleet = Fleet::started(shape);
        let wish = Wish { key: Some(format!("key-{n}")), ..wish(0) };
        fleet.ask(0, wish.clone());
        fleet.advance(Duration::from_millis(300));
        fleet.kill(0);
        let retry = fleet.ask(1, wish.clone());
        fleet.advance(Duration::from_secs(10));
        let end = &fleet.asked[&retry].end;
        assert!(matches!(end, Some((End::Whole(_), _))), "{end:?}");
        let key = key_of(&wish).expect("the wish has a key");
        assert_eq!(fleet.truth.runs[&key], 1, "seed {}: the stream ran again", n + 1);
    }
}

/// Guards against overspend, too many refusals and too many store calls in the measured cases.
#[test]
fn measured_cases_stay_within_bounds() {
    for case in Case::all(1) {
        let figures = Ours.run(&case);
        assert_eq!(figures.overspend, 0, "{}", case.name);
        // One in a thousand requests may be refused. In the case "pause" a suspended VM keeps its
        // tokens, so more requests are refused when the budget is nearly spent.
        let max_refused = match case.name {
            "healthy" => 0,
            "pause" => 40,
            "all at once" => 15,
            _ => 7,
        };
        assert!(figures.refused <= max_refused, "{}: {} refused", case.name, figures.refused);
        assert!(figures.kv_calls < 45.0, "{}: {} calls a second", case.name, figures.kv_calls);
    }
    let case = Case::all(1).remove(3);
    assert_eq!(Ours.run(&case), Ours.run(&case), "runs with the same seed differ");
}

/// A VM cannot use tokens that it has parked at a lost peer while the store is down, since the peer
/// cannot be removed from the view. It must refuse requests soon instead of waiting.
#[test]
fn refusals_are_prompt_when_parked_tokens_are_unreachable() {
    for lost in 0..4 {
        let shape = Shape { regions: vec![4], noise: 0, limits: vec![100_000], ..Shape::default() };
        let mut fleet = Fleet::started(shape);
        // Demand at each VM makes it hold a part of the budget and park most of it.
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
            assert!(waited < Duration::from_millis(1500), "VM {lost} lost: {waited:?} {refusal:?}");
        }
    }
}
