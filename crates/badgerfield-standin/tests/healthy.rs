//! A fleet without faults must serve all requests completely and bill each once.

use std::time::Duration;

use badgerfield_standin::fleet::{End, Fleet, Shape, Wish};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[test]
fn serves_all_and_bills_once() {
    let mut fleet = Fleet::started(Shape::default());
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for n in 0..2000 {
        let vm = rng.random_range(0..fleet.size());
        let key = rng.random_bool(0.5).then(|| format!("key-{n}"));
        let once = key.is_some() && rng.random_bool(0.3);
        let service = rng.random_bool(0.2);
        let budget = rng.random_range(0..4);
        fleet.ask(vm, Wish { budget, key, once, service, prompt: 100, output: 100 });
        fleet.advance(Duration::from_millis(20));
    }
    fleet.advance(Duration::from_secs(20));
    assert_eq!(fleet.faults, Vec::<String>::new());
    let mut ends = std::collections::BTreeMap::new();
    for asked in fleet.asked.values() {
        let end = match &asked.end {
            Some((End::Whole(_), _)) => "whole".to_owned(),
            other => format!("{other:?}"),
        };
        *ends.entry(end).or_insert(0) += 1;
    }
    assert_eq!(ends.len(), 1, "{ends:?}");
    let served: u64 = fleet.truth.served.values().sum();
    let billed: u64 = fleet.truth.billed.values().sum();
    assert_eq!(served, billed);
    println!(
        "reads {} writes {} conflicts {}",
        fleet.platform.reads, fleet.platform.writes, fleet.platform.conflicts
    );
    println!("{:#?}", fleet.messages());
}
