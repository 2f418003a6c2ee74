//! Budgets of a fleet with far more VMs than requests a second: each VM sees each account seldom,
//! and a budget holds few requests.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerfield_standin::fleet::{End, Fleet, FleetConfig, RequestSpec};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const VMS: usize = 120;
/// More than the budgets of which each VM opens a holding when it starts.
const BUDGETS: usize = 260;
/// The limit of each budget: ten requests.
const LIMIT: u64 = 32_000;
/// The most that one request can cost, in tokens.
const REQUEST_COST: u64 = 3_200;

fn fleet(seed: u64) -> Fleet {
    Fleet::started(FleetConfig {
        regions: vec![VMS],
        domains: 5,
        limits: vec![LIMIT; BUDGETS],
        shards: 1,
        engines: 120,
        seals: true,
        noise_permille: 0,
        seed,
        ..FleetConfig::default()
    })
}

fn request(budget: usize) -> RequestSpec {
    RequestSpec {
        budget,
        key: None,
        at_most_once: false,
        service: false,
        prompt: REQUEST_COST - 100,
        output: 100,
    }
}

/// Returns how many requests ended in each way.
fn ends(fleet: &Fleet) -> BTreeMap<String, usize> {
    let mut ends = BTreeMap::new();
    for request in fleet.requests.values() {
        let end = match &request.end {
            Some((End::Complete(_), _)) => "served".to_owned(),
            Some((End::Refused(refusal), _)) => format!("refused: {}", refusal.cause.code()),
            other => format!("{other:?}"),
        };
        *ends.entry(end).or_default() += 1;
    }
    ends
}

/// The first request of each account was refused as held by others: no lender had had a request of
/// the account itself, so none knew that it was one. Of the requests of a fleet of 984 half ended so.
#[test]
fn lenders_that_have_seen_no_request_of_an_account_lend_to_it() {
    let mut fleet = fleet(1);
    for budget in 0..BUDGETS {
        fleet.send_request(budget * 3 % VMS, request(budget));
    }
    fleet.advance(Duration::from_secs(4));
    assert_eq!(ends(&fleet), BTreeMap::from([("served".to_owned(), BUDGETS)]));
}

/// Guards against refusals while most of a budget is left, with one or two requests a second for
/// each account that come through any VM.
#[test]
fn seldom_asked_vms_serve_what_the_budgets_allow() {
    for seed in 1..=2 {
        let mut fleet = fleet(seed);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = BUDGETS * 5;
        for n in 0..count {
            let vm = rng.random_range(0..VMS);
            fleet.send_request(vm, request(n % BUDGETS));
            fleet.advance(Duration::from_millis(4));
        }
        fleet.advance(Duration::from_secs(6));
        let ends = ends(&fleet);
        let served = ends.get("served").copied().unwrap_or_default();
        assert!(served * 100 >= count * 97, "seed {seed}: {ends:?} of {count}");
    }
}
