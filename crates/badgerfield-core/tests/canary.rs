//! Tests of the versions that get requests during a rollout.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use badgerfield_core::amount::{Percent, Time};
use badgerfield_core::evacuation::DomainChange;
use badgerfield_core::ids::{Service, SoftwareVersion, UpstreamId, VersionTag, VmId};
use badgerfield_core::residency::EVERYWHERE;
use badgerfield_core::rollout::{Allowance, RolloutRule, RolloutRules};
use badgerfield_core::upstream_list::{
    ListedUpstream, UpstreamEntry, UpstreamList, UpstreamListChanges,
};
use badgerfield_core::upstream_table::{
    AttemptOutcome, PromptPart, UpstreamCriteria, UpstreamTable,
};
use badgerfield_core::warm_up::{Senders, WarmUp, WarmUpBound};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A time at which both versions have been listed for long enough.
const LATER: Time = Time::from_millis(60_000);

fn service() -> Service {
    "pool".parse().expect("the name is valid")
}

fn version(name: &str) -> SoftwareVersion {
    name.parse().expect("the name is valid")
}

fn entry(version_name: &str, n: usize) -> UpstreamEntry {
    let info = ListedUpstream {
        id: format!("{version_name}-{n}").parse().expect("the name is valid"),
        service: service(),
        address: format!("10.0.0.{n}:80").parse().expect("the address is valid"),
        domain: "d".parse().expect("the name is valid"),
        version: Some(version(version_name)),
        slots: 8,
        leaving: false,
        started_at: None,
    };
    UpstreamEntry { revision: 1, info, warm_in: Duration::ZERO }
}

/// Returns a table with `old` upstreams of the old version, listed first, and `new` of the new one.
fn table(old: usize, new: usize) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    let entries = (1..=old).map(|n| entry("v1", n)).collect();
    table.apply_list(Time::default(), UpstreamList { revision: 1, entries });
    table.apply_changes(Time::default(), added(2, (1..=new).map(|n| entry("v2", n)).collect()));
    table
}

fn added(revision: u64, written: Vec<UpstreamEntry>) -> UpstreamListChanges {
    UpstreamListChanges { revision, written, gone: Vec::new() }
}

fn rule(target: &str, allowance: Allowance) -> RolloutRule {
    RolloutRule { service: service(), revision: 7, target: version(target), allowance }
}

fn share(percent: u64) -> Allowance {
    Allowance::Share(Percent::new(percent).expect("a share"))
}

/// Sends a request that is answered at once; returns its upstream.
fn send(
    table: &mut UpstreamTable,
    now: Time,
    criteria: &UpstreamCriteria<'_>,
) -> Option<UpstreamId> {
    let id = table.choose(now, criteria)?.id;
    table.start_request(now, &id, criteria.parts);
    table.record_sent(now, criteria, &id);
    table.end_request(now, &id, AttemptOutcome::Answered);
    Some(id)
}

struct TestRequest {
    service: Service,
    route: &'static str,
    parts: Vec<PromptPart>,
    tried: Vec<UpstreamId>,
    bound_version: Option<VersionTag>,
}

impl TestRequest {
    fn on_route(route: &'static str) -> Self {
        Self {
            service: service(),
            route,
            parts: Vec::new(),
            tried: Vec::new(),
            bound_version: None,
        }
    }

    fn with_prefix(mut self, prefix: u64) -> Self {
        let part = |id| PromptPart { id, tokens: 500 };
        self.parts = vec![part(prefix), part(1_000_000 + prefix)];
        self
    }

    fn criteria(&self, random: u64) -> UpstreamCriteria<'_> {
        UpstreamCriteria {
            service: &self.service,
            route: self.route,
            parts: &self.parts,
            bytes: 0,
            residency: &EVERYWHERE,
            tried: &self.tried,
            bound_version: self.bound_version,
            is_resumable: false,
            max_connections: 1000,
            random,
            rendezvous_key: None,
        }
    }
}

fn is_new(id: &UpstreamId) -> bool {
    id.as_str().starts_with("v2")
}

/// Sends `requests` requests without a prompt; returns how many went to each version.
fn count_by_version(table: &mut UpstreamTable, now: Time, requests: usize) -> (usize, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let request = TestRequest::on_route("r");
    let ids: Vec<_> =
        (0..requests).filter_map(|_| send(table, now, &request.criteria(rng.next_u64()))).collect();
    let new = ids.iter().filter(|id| is_new(id)).count();
    (ids.len() - new, new)
}

#[test]
fn many_processes_with_few_requests_reach_the_share_together() {
    // Credits must start at a random fraction. If they start at zero, the target gets 0 of 1,896
    // requests. If they start at a whole request, it gets 331.
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut all, mut new) = (0, 0);
    for _ in 0..72 {
        let mut table = table(60, 60);
        table.set_rollout_rules(vec![rule("v2", share(9))]);
        for route in ["a", "b", "c", "d", "e"] {
            let request = TestRequest::on_route(route);
            for _ in 0..rng.random_range(0..12) {
                let id = send(&mut table, LATER, &request.criteria(rng.next_u64()));
                all += 1;
                new += usize::from(id.as_ref().is_some_and(is_new));
            }
        }
    }
    assert!(all > 1500, "{all}");
    assert!(new * 100 <= all * 9 + 3000, "{new} of {all}");
    assert!(new * 100 >= all * 9 - 3000, "{new} of {all}");
}

/// With one credit for all routes, all or none of a rare route's requests could go to the target.
#[test]
fn each_route_gets_its_share_independently_of_the_others() {
    let mut table = table(60, 60);
    table.set_rollout_rules(vec![rule("v2", share(5))]);
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut new: BTreeMap<&str, usize> = BTreeMap::new();
    for n in 0..10_500 {
        let route = if n % 21 == 0 { "rare" } else { "often" };
        let id = send(&mut table, LATER, &TestRequest::on_route(route).criteria(rng.next_u64()));
        *new.entry(route).or_default() += usize::from(id.as_ref().is_some_and(is_new));
    }
    assert!((24..=26).contains(&new["rare"]), "{new:?}");
    assert!((499..=501).contains(&new["often"]), "{new:?}");
}

#[test]
fn requests_never_exceed_the_share_by_more_than_a_few_at_any_moment() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for percent in [1, 5, 10, 50] {
        let mut table = table(20, 20);
        table.set_rollout_rules(vec![rule("v2", share(percent))]);
        let mut new = 0;
        for all in 1..=3000_u64 {
            // Requests with the same prefix come in bursts, and some prefixes are much more
            // frequent.
            let request = TestRequest::on_route("r")
                .with_prefix(rng.random_range(0..40) * rng.random_range(0..3));
            let id = send(&mut table, LATER, &request.criteria(rng.next_u64()));
            new += u64::from(id.as_ref().is_some_and(is_new));
            assert!(new * 100 <= all * percent + 100, "{new} of {all} with {percent}%");
        }
        assert!(new * 100 + 400 >= 3000 * percent, "{new} of 3000 with {percent}%");
    }
}

/// A refused request can be repeated; a bad answer cannot be taken back.
#[test]
fn a_blocked_version_gets_nothing_when_all_others_are_gone() {
    let mut table = table(3, 3);
    table.set_rollout_rules(vec![rule("v2", Allowance::Nothing)]);
    assert_eq!(count_by_version(&mut table, LATER, 300), (300, 0));
    let gone = (1..=3).map(|n| (entry("v1", n).info.id, 3)).collect();
    table.apply_changes(LATER, UpstreamListChanges { revision: 3, written: Vec::new(), gone });
    let now = LATER.after(Duration::from_secs(40));
    assert_eq!(count_by_version(&mut table, now, 10), (0, 0));
}

/// Without another version there is none to roll out from, and the rule must not stop the service.
#[test]
fn a_service_with_only_the_target_is_served() {
    for allowance in [Allowance::Nothing, share(5), Allowance::All] {
        let mut table = UpstreamTable::default();
        let entries = (1..=3).map(|n| entry("v2", n)).collect();
        table.apply_list(Time::default(), UpstreamList { revision: 1, entries });
        table.set_rollout_rules(vec![rule("v2", allowance)]);
        assert_eq!(count_by_version(&mut table, Time::default(), 50), (0, 50), "{allowance:?}");
    }
}

#[test]
fn other_versions_get_nothing_once_all_requests_go_to_the_target() {
    let mut table = table(3, 3);
    let old: UpstreamId = entry("v1", 1).info.id;
    assert!(table.is_usable(LATER, &old));
    table.set_rollout_rules(vec![rule("v2", Allowance::All)]);
    assert_eq!(count_by_version(&mut table, LATER, 300), (0, 300));
    // A request that was assigned earlier is checked once more before it is sent.
    assert!(!table.is_usable(LATER, &old));
    // The other versions get nothing even when the target is gone, since they may stop at any time.
    let gone = (1..=3).map(|n| (entry("v2", n).info.id, 3)).collect();
    table.apply_changes(LATER, UpstreamListChanges { revision: 3, written: Vec::new(), gone });
    let now = LATER.after(Duration::from_secs(3));
    assert_eq!(count_by_version(&mut table, now, 10), (0, 0));
}

/// The verdict may arrive between the choice of an upstream and the sending of the request.
#[test]
fn a_request_on_its_way_to_a_version_found_bad_is_not_sent() {
    let mut table = table(3, 3);
    let new: UpstreamId = entry("v2", 1).info.id;
    table.set_rollout_rules(vec![rule("v2", share(5))]);
    assert!(table.is_usable(LATER, &new));
    table.set_rollout_rules(vec![rule("v2", Allowance::Nothing)]);
    assert!(!table.is_usable(LATER, &new));
}

/// The list and the order arrive by different watches. Without the delay, a version that is listed
/// before its order arrives would get an unlimited share.
#[test]
fn a_new_version_without_an_order_is_delayed() {
    let mut table = table(3, 3);
    let soon = Time::from_millis(3000);
    assert_eq!(count_by_version(&mut table, soon, 300), (300, 0));
    assert!(!table.is_usable(soon, &entry("v2", 1).info.id));
    let (old, new) = count_by_version(&mut table, LATER, 300);
    assert!(old > 50 && new > 50, "{old} and {new}");
}

#[test]
fn a_new_version_serves_at_once_if_no_other_does() {
    let mut table = table(3, 3);
    let soon = Time::from_millis(3000);
    let leaves = |n| {
        let mut entry = entry("v1", n);
        entry.revision = 3;
        entry.info.leaving = true;
        entry
    };
    table.apply_changes(soon, added(3, (1..=3).map(leaves).collect()));
    assert_eq!(count_by_version(&mut table, soon, 100), (0, 100));
    assert!(table.is_usable(soon, &entry("v2", 1).info.id));
}

#[test]
fn a_process_started_during_a_rollout_delays_the_target_until_the_order() {
    let mut table = UpstreamTable::default();
    // If new versions had access at once, the target would get 125 of 300 requests. Changes from
    // other processes arrive first, and then the full list.
    table.apply_changes(Time::default(), added(0, vec![entry("v2", 1)]));
    let entries = (1..=5).map(|n| entry("v1", n)).chain((1..=4).map(|n| entry("v2", n)));
    let list = UpstreamList { revision: 2, entries: entries.collect() };
    table.apply_list(Time::default(), list);
    assert_eq!(count_by_version(&mut table, Time::from_millis(500), 300), (300, 0));
}

/// Otherwise the upstreams of the target would read nearly all prefixes anew.
#[test]
fn requests_with_the_same_prefixes_go_to_the_target() {
    let mut table = table(60, 60);
    table.set_rollout_rules(vec![rule("v2", share(10))]);
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let mut prefixes: BTreeMap<u64, usize> = BTreeMap::new();
    let mut new = 0;
    for _ in 0..20_000 {
        let prefix = rng.random_range(0..200);
        let request = TestRequest::on_route("r").with_prefix(prefix);
        let id = send(&mut table, LATER, &request.criteria(rng.next_u64()));
        if id.as_ref().is_some_and(is_new) {
            *prefixes.entry(prefix).or_default() += 1;
            new += 1;
        }
    }
    // If any prefix may go to the target, only 388 of 2,000 requests are in the 25 most frequent of
    // 200 prefixes.
    let mut most: Vec<_> = prefixes.values().copied().collect();
    most.sort_unstable_by_key(|count| std::cmp::Reverse(*count));
    let first: usize = most.iter().take(25).sum();
    assert!(first * 10 >= new * 8, "{first} of {new} in 25 of {} prefixes", prefixes.len());
}

/// A version may be bad under load only, so the upstreams that get its requests need about as much
/// load as the others.
#[test]
fn all_processes_send_to_the_same_few_target_upstreams() {
    // With 9% of the requests of 60 upstreams, six target upstreams have about the same load as the
    // others.
    let new_ids = |table: &mut UpstreamTable, seed: u64| -> BTreeSet<UpstreamId> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let request = TestRequest::on_route("r");
        let sent = (0..5000).filter_map(|_| send(table, LATER, &request.criteria(rng.next_u64())));
        sent.filter(is_new).collect()
    };
    let (mut local, mut remote) = (table(60, 60), table(60, 60));
    for table in [&mut local, &mut remote] {
        table.set_rollout_rules(vec![rule("v2", share(9))]);
    }
    let first = new_ids(&mut local, 1);
    assert_eq!(first.len(), 6, "{first:?}");
    assert_eq!(first, new_ids(&mut remote, 2));
    // An upstream that is avoided after failures is replaced.
    let failing = first.first().expect("there are six").clone();
    for _ in 0..3 {
        local.start_request(LATER, &failing, &[]);
        local.end_request(LATER, &failing, AttemptOutcome::Failed);
    }
    let second = new_ids(&mut local, 3);
    assert_eq!(second.len(), 6, "{second:?}");
    assert!(!second.contains(&failing), "{second:?}");
    assert_eq!(second.intersection(&first).count(), 5);
    // Where fewer would do, there are still two, so that a single faulty upstream can be told from
    // a faulty version.
    let mut small = table(7, 7);
    small.set_rollout_rules(vec![rule("v2", share(9))]);
    assert_eq!(new_ids(&mut small, 4).len(), 2);
}

/// A request that failed at one version must not fail at the other too.
#[test]
fn a_retry_adds_credit_but_does_not_go_to_the_target() {
    let mut table = table(10, 10);
    table.set_rollout_rules(vec![rule("v2", share(10))]);
    let mut rng = ChaCha8Rng::seed_from_u64(6);
    let mut retry = TestRequest::on_route("r");
    retry.tried = vec![entry("v1", 1).info.id];
    for _ in 0..100 {
        let id = send(&mut table, LATER, &retry.criteria(rng.next_u64())).expect("an upstream");
        assert!(!is_new(&id), "{id}");
    }
    // The credit that the retries added goes to other requests.
    assert!(count_by_version(&mut table, LATER, 10).1 >= 3);
}

#[test]
fn a_stream_resumes_at_its_version_if_that_is_allowed() {
    let mut table = table(10, 10);
    table.set_rollout_rules(vec![rule("v2", share(50))]);
    let resumed = |table: &mut UpstreamTable, from: &str, random| {
        let mut request = TestRequest::on_route("r");
        request.tried = vec![entry(from, 1).info.id];
        request.bound_version = Some(VersionTag::new(&service(), Some(&version(from))));
        send(table, LATER, &request.criteria(random))
    };
    count_by_version(&mut table, LATER, 9);
    let mut ids = Vec::new();
    for n in 0..40 {
        // New requests add credit; a stream that may not be resumed goes nowhere and adds none.
        count_by_version(&mut table, LATER, 1);
        ids.extend(resumed(&mut table, "v2", n * 7919));
    }
    assert!(ids.iter().all(is_new), "{ids:?}");
    assert!(ids.len() >= 10, "{} of 40 with a share of a half", ids.len());
    let (_, sent) = table.rollout_rules()[0].clone();
    assert!(sent.target * 2 <= sent.all + 2, "{sent:?}");
    for n in 0..20 {
        assert!(!is_new(&resumed(&mut table, "v1", n).expect("an upstream")));
    }
    table.set_rollout_rules(vec![rule("v2", Allowance::Nothing)]);
    assert_eq!(resumed(&mut table, "v2", 1), None);
    assert!(resumed(&mut table, "v1", 1).is_some());
}

#[test]
fn requests_that_reached_no_upstream_do_not_count() {
    let mut table = table(10, 10);
    table.set_rollout_rules(vec![rule("v2", share(10))]);
    let request = TestRequest::on_route("r");
    for random in 0..1000 {
        let criteria = request.criteria(random);
        let id = table.choose(LATER, &criteria).expect("an upstream").id;
        table.start_request(LATER, &id, &[]);
        table.record_sent(LATER, &criteria, &id);
        table.end_request(LATER, &id, AttemptOutcome::Unknown);
        table.undo_sent(&id, "r");
    }
    let (_, sent) = table.rollout_rules()[0].clone();
    assert_eq!((sent.all, sent.target), (0, 0));
    assert!(count_by_version(&mut table, LATER, 9).1 <= 1);
}

#[test]
fn requests_that_the_target_could_not_take_add_no_credit() {
    // If credits grew while the target is unavailable, a fleet whose new upstreams become available
    // at the same time would send them a burst: 3 of the next 5 requests.
    let mut table = table(10, 0);
    let listed = |revision, leaving| {
        let mut entry = entry("v2", 1);
        entry.revision = revision;
        entry.info.leaving = leaving;
        added(revision, vec![entry])
    };
    table.apply_changes(Time::default(), listed(2, true));
    table.set_rollout_rules(vec![rule("v2", share(10))]);
    assert_eq!(count_by_version(&mut table, LATER, 1000), (1000, 0));
    table.apply_changes(LATER, listed(3, false));
    let new = count_by_version(&mut table, LATER, 5).1;
    assert!(new <= 1, "{new} of 5");
    assert!(count_by_version(&mut table, LATER, 100).1 >= 9);
}

#[test]
fn an_evacuation_and_the_share_are_both_kept() {
    let mut table = table(10, 0);
    let domain = |n: usize| {
        let mut entry = entry("v2", n);
        let name = if n <= 2 { "away" } else { "d" };
        entry.info.domain = name.parse().expect("the name is valid");
        entry
    };
    table.apply_changes(Time::default(), added(2, (1..=4).map(domain).collect()));
    let evacuated = DomainChange {
        domain: "away".parse().expect("the name is valid"),
        revision: 3,
        evacuated: true,
    };
    table.apply_evacuations(LATER, &[evacuated]);
    table.set_rollout_rules(vec![rule("v2", share(10))]);
    let mut rng = ChaCha8Rng::seed_from_u64(9);
    let request = TestRequest::on_route("r");
    let sent: Vec<_> = (0..1000)
        .filter_map(|_| send(&mut table, LATER, &request.criteria(rng.next_u64())))
        .collect();
    let new: BTreeSet<_> = sent.iter().filter(|id| is_new(id)).map(UpstreamId::as_str).collect();
    assert_eq!(new, BTreeSet::from(["v2-3", "v2-4"]));
    let count = sent.iter().filter(|id| is_new(id)).count();
    assert!((98..=101).contains(&count), "{count}");
}

#[test]
fn the_warm_up_limit_and_the_share_are_both_kept() {
    // Two cold upstreams take 5 requests a second each; a share of a half would be 250.
    let bound = WarmUpBound { overshoot: 1.5, extra_requests: 5.0 };
    let slow = WarmUp { span: Duration::from_secs(20), interval: Duration::from_millis(200) };
    let mut table = table(10, 0);
    table.set_warm_up_bound(Some(bound), 1);
    table.set_warm_ups(BTreeMap::from([(service(), slow)]));
    let me: VmId = "vm-0".parse().expect("the name is valid");
    table.set_senders(Time::default(), Senders::new(&me, std::slice::from_ref(&me)));
    let cold = |n| UpstreamEntry { warm_in: Duration::from_secs(100), ..entry("v2", n) };
    table.apply_changes(Time::default(), added(2, (1..=2).map(cold).collect()));
    table.set_rollout_rules(vec![rule("v2", share(50))]);
    let mut rng = ChaCha8Rng::seed_from_u64(10);
    let request = TestRequest::on_route("r");
    let mut new = 0_u64;
    for n in 0..1000 {
        let now = LATER.after(Duration::from_millis(2 * n));
        let id = send(&mut table, now, &request.criteria(rng.next_u64())).expect("an upstream");
        new += u64::from(is_new(&id));
    }
    // The bound allows 12.5 requests a second at each for two seconds, and the content of a bucket.
    assert!((5..=50).contains(&new), "{new}");
    // Requests that the cold upstreams could not take add no credit.
    let warm = |n| UpstreamEntry { revision: 4, ..entry("v2", n) };
    let now = LATER.after(Duration::from_secs(3));
    table.apply_changes(now, added(4, (1..=2).map(warm).collect()));
    let next = count_by_version(&mut table, now, 20).1;
    assert!(next <= 12, "{next} of 20");
}

#[test]
fn a_new_order_starts_without_credit_of_the_last_one() {
    let mut table = table(10, 10);
    table.set_rollout_rules(vec![rule("v2", share(10))]);
    count_by_version(&mut table, LATER, 100);
    let next = RolloutRule { revision: 8, ..rule("v1", share(10)) };
    let changed = table.set_rollout_rules(vec![next.clone()]);
    assert_eq!(changed, vec![next.clone()]);
    assert_eq!(table.set_rollout_rules(vec![next]), Vec::new());
    let (old, new) = count_by_version(&mut table, LATER, 100);
    assert!((9..=11).contains(&old), "{old} and {new}");
}

/// Upstreams of a rejected version may still be listed during the next rollout.
#[test]
fn rejected_versions_get_nothing_beside_the_next_target() {
    let mut table = table(5, 5);
    table.apply_changes(Time::default(), added(3, (1..=5).map(|n| entry("v3", n)).collect()));
    table.set_rollout_rules(vec![rule("v2", Allowance::Nothing), rule("v3", share(10))]);
    let mut rng = ChaCha8Rng::seed_from_u64(8);
    let request = TestRequest::on_route("r");
    let mut seen: BTreeMap<String, usize> = BTreeMap::new();
    for _ in 0..1000 {
        let id = send(&mut table, LATER, &request.criteria(rng.next_u64())).expect("an upstream");
        *seen.entry(id.as_str()[..2].to_owned()).or_default() += 1;
    }
    assert_eq!(seen.get("v2"), None, "{seen:?}");
    assert!((98..=101).contains(&seen["v3"]), "{seen:?}");
}

#[test]
fn without_an_order_and_with_one_version_nothing_changes() {
    let (mut with, mut without) = (table(10, 0), table(10, 0));
    with.set_rollout_rules(vec![rule("v2", share(5))]);
    with.set_rollout_rules(Vec::new());
    for random in 0..200 {
        let request = TestRequest::on_route("r").with_prefix(random % 7);
        let criteria = request.criteria(random * 7919);
        assert_eq!(send(&mut with, LATER, &criteria), send(&mut without, LATER, &criteria));
    }
}

#[test]
fn upstreams_that_name_no_version_count_as_another() {
    // Upstreams without a version were ignored: the target beside them was taken for the only
    // version and got requests without a limit.
    let mut table = UpstreamTable::default();
    let unnamed = (1..=4).map(|n| {
        let UpstreamEntry { revision, info, warm_in } = entry("old", n);
        UpstreamEntry { revision, info: ListedUpstream { version: None, ..info }, warm_in }
    });
    table.apply_list(Time::default(), UpstreamList { revision: 1, entries: unnamed.collect() });
    table.apply_changes(Time::default(), added(2, (1..=4).map(|n| entry("v2", n)).collect()));
    for allowance in [Allowance::Nothing, share(10)] {
        table.set_rollout_rules(vec![rule("v2", allowance)]);
        let request = TestRequest::on_route("r");
        let sent = (0..200)
            .filter_map(|n| send(&mut table, Time::from_millis(n), &request.criteria(n * 7919)));
        let new = sent.filter(is_new).count();
        assert!(new <= 21, "{allowance:?}: {new} of 200");
        assert!(allowance != Allowance::Nothing || new == 0, "{new} of 200");
    }
}

#[test]
fn older_rules_that_are_applied_late_are_ignored() {
    // Two threads applied rules out of order: the older rule with the share came after the rule
    // that ended it, so that the target got requests again.
    let mut table = table(4, 4);
    let rules = |sequence, allowance| RolloutRules { sequence, rules: vec![rule("v2", allowance)] };
    table.apply_rule_set(rules(2, Allowance::Nothing));
    assert!(table.apply_rule_set(rules(1, share(50))).is_empty());
    let request = TestRequest::on_route("r");
    let sent = (0..200)
        .filter_map(|n| send(&mut table, Time::from_millis(n), &request.criteria(n * 7919)));
    assert_eq!(sent.filter(is_new).count(), 0);
}

#[test]
fn a_delayed_version_gets_nothing_while_all_others_back_off() {
    let mut table = table(2, 2);
    let now = Time::from_millis(10);
    for n in 1..=2 {
        let id = format!("v1-{n}").parse().expect("the name is valid");
        table.record_back_off(now, &id, Duration::from_secs(1));
    }
    assert_eq!(send(&mut table, now, &TestRequest::on_route("chat").criteria(1)), None);
    let later = Time::from_millis(1010);
    assert!(
        send(&mut table, later, &TestRequest::on_route("chat").criteria(1))
            .is_some_and(|id| !is_new(&id))
    );
}
