//! Locality: the VMs to which callers are directed, the choice of near upstreams, and the overflow
//! of requests to other regions.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::evacuation::DomainChange;
use badgerfield_core::ids::{Domain, Incarnation, Region, Service, UpstreamId};
use badgerfield_core::locality::{CrossingReason, Distance, DistanceCosts, Location, nearest};
use badgerfield_core::residency::{EVERYWHERE, RegionMap};
use badgerfield_core::upstream_list::{ListedUpstream, UpstreamEntry, UpstreamList};
use badgerfield_core::upstream_table::{
    AttemptOutcome, ChosenUpstream, PromptPart, UpstreamCriteria, UpstreamTable,
};
use badgerfield_core::view::{Member, MemberState};

fn domain(name: &str) -> Domain {
    name.parse().expect("a valid name")
}

fn region(name: &str) -> Region {
    name.parse().expect("a valid name")
}

fn member(n: u16, at: &str) -> Member {
    Member {
        vm: format!("vm-{n}").parse().expect("a valid name"),
        incarnation: Incarnation(n.into()),
        region: region(&at[..1]),
        domain: domain(at),
        peer: ([127, 0, 0, 1], n).into(),
        caller: ([127, 0, 0, 1], n).into(),
        standing: MemberState::Active,
        link_mbps: 0,
    }
}

fn location(at: &str) -> Location {
    Location { domain: Some(domain(at)), region: Some(region(&at[..1])) }
}

/// A caller whose domain has too few VMs is directed to those of its region, and to all VMs only if
/// the region has too few.
#[test]
fn callers_are_directed_to_their_domain_then_region_then_all() {
    let at = ["a-1", "a-1", "a-2", "b-1", "b-2", "c-1"];
    let members: Vec<_> = (0..).zip(at).map(|(n, at)| member(n, at)).collect();
    let domains_for = |caller: &Location| -> Vec<String> {
        nearest(&members, caller).iter().map(|m| m.domain.to_string()).collect()
    };
    assert_eq!(domains_for(&location("a-1")), ["a-1", "a-1"]);
    assert_eq!(domains_for(&location("a-2")), ["a-1", "a-1", "a-2"]);
    assert_eq!(domains_for(&location("b-1")), ["b-1", "b-2"]);
    assert_eq!(domains_for(&location("b-9")), ["b-1", "b-2"], "a domain without VMs");
    assert_eq!(domains_for(&location("c-1")).len(), 6, "one VM is too few");
    assert_eq!(domains_for(&Location { domain: None, region: Some(region("b")) }), ["b-1", "b-2"]);
    assert_eq!(domains_for(&Location::default()).len(), 6);
}

const DOMAINS: [&str; 4] = ["a-1", "a-2", "b-1", "b-2"];

fn service() -> Service {
    "pool".parse().expect("a valid name")
}

/// Returns the table of a process in the domain `own`, with a number of upstreams in each domain.
fn table(own: &str, per_domain: usize) -> UpstreamTable {
    let map = DOMAINS.iter().map(|at| (domain(at), region(&at[..1])));
    let mut table = UpstreamTable::default();
    table.set_regions(RegionMap::new(map.collect()));
    table.set_location(location(own), DistanceCosts::default());
    let entry = |n: usize| {
        let at = DOMAINS[n % DOMAINS.len()];
        let info = ListedUpstream {
            id: format!("{at}.{n}").parse().expect("a valid name"),
            service: service(),
            address: ([127, 0, 0, 1], 9000).into(),
            domain: domain(at),
            version: None,
            slots: 8,
            leaving: false,
            started_at: None,
        };
        UpstreamEntry { revision: 1, info, warm_in: Duration::ZERO }
    };
    let entries = (0..per_domain * DOMAINS.len()).map(entry).collect();
    table.apply_list(Time::default(), UpstreamList { revision: 1, entries });
    table
}

fn at(millis: u64) -> Time {
    Time(Duration::from_millis(millis))
}

fn choose(
    table: &UpstreamTable,
    now: Time,
    parts: &[PromptPart],
    random: u64,
) -> Option<ChosenUpstream> {
    let criteria = UpstreamCriteria {
        service: &service(),
        route: "r",
        parts,
        bytes: 4000,
        residency: &EVERYWHERE,
        tried: &[],
        bound_version: None,
        is_resumable: false,
        max_connections: 100,
        random,
        rendezvous_key: None,
    };
    table.choose(now, &criteria)
}

fn parts(prefix: u64) -> [PromptPart; 2] {
    [PromptPart { id: prefix, tokens: 1000 }, PromptPart { id: 1 << 40 | prefix, tokens: 100 }]
}

/// Requests must not leave their region while its upstreams are idle. Prompts that cost more to
/// read than to transfer are covered by `a_long_prefix_has_one_upstream_in_the_fleet`.
#[test]
fn requests_stay_in_their_region_at_low_load() {
    for is_call in [true, false] {
        let mut table = table("a-2", 4);
        let mut counts: BTreeMap<Distance, usize> = BTreeMap::new();
        for n in 0..400_u64 {
            let now = at(n * 10);
            let parts = parts(n % 20);
            let parts: &[PromptPart] = if is_call { &[] } else { &parts };
            let chosen = choose(&table, now, parts, n * 7919).expect("an upstream is available");
            *counts.entry(chosen.distance).or_default() += 1;
            assert_eq!(chosen.crossing, None, "request {n}");
            table.start_request(now, &chosen.id, parts);
            table.end_request(now, &chosen.id, AttemptOutcome::Answered);
        }
        assert_eq!(counts.get(&Distance::OtherRegion), None, "{counts:?}");
    }
}

/// A request that leaves its region has the reason: no upstream in the region, or a lower cost.
#[test]
fn a_choice_in_another_region_has_a_reason() {
    let mut table = table("a-1", 2);
    let change =
        |name: &str, evacuated| DomainChange { domain: domain(name), revision: 2, evacuated };
    table.apply_evacuations(at(0), &[change("a-1", true)]);
    let chosen = choose(&table, at(1), &[], 5).expect("an upstream is available");
    assert_eq!((chosen.distance, chosen.crossing), (Distance::SameRegion, None));
    table.apply_evacuations(at(2), &[change("a-2", true)]);
    let chosen = choose(&table, at(3), &[], 5).expect("an upstream is available");
    assert_eq!(
        (chosen.distance, chosen.crossing),
        (Distance::OtherRegion, Some(CrossingReason::NoneInRegion))
    );
    let back = DomainChange { domain: domain("a-2"), revision: 3, evacuated: false };
    table.apply_evacuations(at(4), &[back]);
    for id in ["a-2.1", "a-2.5"] {
        let id: UpstreamId = id.parse().expect("a valid name");
        for _ in 0..8 {
            table.start_request(at(5), &id, &[]);
        }
    }
    let chosen = choose(&table, at(6), &[], 5).expect("an upstream is available");
    assert_eq!(
        (chosen.distance, chosen.crossing),
        (Distance::OtherRegion, Some(CrossingReason::Cost))
    );
}

/// If fewer than two regions are known, all domains count as parts of one region, so that no
/// request pays for the distance to another region.
#[test]
fn domains_count_as_one_region_if_only_one_is_known() {
    let map = RegionMap::new(BTreeMap::from([(domain("a-1"), region("a"))]));
    let own = location("a-1");
    assert_eq!(own.distance(&domain("a-1"), &map), Distance::SameDomain);
    assert_eq!(own.distance(&domain("x"), &map), Distance::SameRegion);
    let map = RegionMap::new(BTreeMap::from([
        (domain("a-1"), region("a")),
        (domain("a-2"), region("a")),
        (domain("b-1"), region("b")),
    ]));
    assert_eq!(own.distance(&domain("a-2"), &map), Distance::SameRegion);
    assert_eq!(own.distance(&domain("b-1"), &map), Distance::OtherRegion);
    assert_eq!(own.distance(&domain("x"), &map), Distance::OtherRegion, "an unknown region is far");
}

/// One process of a fleet, and its running requests with the times at which they end.
struct Sender {
    table: UpstreamTable,
    running: Vec<(Time, UpstreamId)>,
}

/// Simulates plain calls at six processes in region `a`. `load` is the number of calls in each
/// second.
///
/// Each upstream runs eight calls of 100 ms at once and rejects others. Returns, for each second,
/// the share of calls that left the region, and the total number of calls that were rejected by all
/// upstreams that they tried.
fn simulate(load: &[u64]) -> (Vec<f64>, usize) {
    let own = ["a-1", "a-2"];
    let mut senders: Vec<_> =
        (0..6).map(|n| Sender { table: table(own[n % 2], 3), running: Vec::new() }).collect();
    let (mut shares, mut rejected, mut random) = (Vec::new(), 0, 1_u64);
    for (second, calls) in (0_u64..).zip(load) {
        let (mut sent, mut crossed) = (0_usize, 0_usize);
        for n in 0..*calls {
            let now = Time(Duration::from_micros(second * 1_000_000 + n * 1_000_000 / calls));
            for sender in &mut senders {
                let table = &mut sender.table;
                sender.running.retain(|(ends, id)| {
                    if *ends <= now {
                        table.end_request(now, id, AttemptOutcome::Answered);
                    }
                    *ends > now
                });
            }
            let index = usize::try_from(n % 6).unwrap_or(0);
            let mut served = false;
            for _ in 0..3 {
                random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                let Some(chosen) = choose(&senders[index].table, now, &[], random >> 16) else {
                    break;
                };
                senders[index].table.start_request(now, &chosen.id, &[]);
                let all = senders.iter().flat_map(|sender| &sender.running);
                if all.filter(|(_, id)| *id == chosen.id).count() >= 8 {
                    senders[index].table.end_request(now, &chosen.id, AttemptOutcome::Full);
                    continue;
                }
                let ends = now.after(Duration::from_millis(100));
                senders[index].running.push((ends, chosen.id.clone()));
                sent += 1;
                crossed += usize::from(chosen.distance == Distance::OtherRegion);
                served = true;
                break;
            }
            rejected += usize::from(!served);
        }
        let count = |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
        shares.push(count(crossed) / count(sent.max(1)));
    }
    (shares, rejected)
}

/// A region whose six upstreams serve 480 calls a second gets 700 a second for ten seconds. The
/// excess must go to other regions and return afterwards. Processes that react to the same load
/// without coordination could make the share that leaves oscillate.
#[test]
fn calls_overflow_to_other_regions_without_oscillation() {
    let load: Vec<u64> = [vec![250; 5], vec![700; 10], vec![250; 10]].concat();
    let (shares, rejected) = simulate(&load);
    println!("{shares:.2?} rejected {rejected}");
    let (before, full, after) = (&shares[..5], &shares[7..15], &shares[18..]);
    assert!(before.iter().all(|share| *share < 0.01), "{shares:.2?}");
    assert!(full.iter().all(|share| (0.2..0.7).contains(share)), "{shares:.2?}");
    let steps = full.windows(2).map(|pair| (pair[1] - pair[0]).abs());
    assert!(steps.fold(0.0, f64::max) < 0.15, "the share oscillates: {shares:.2?}");
    assert!(after.iter().all(|share| *share < 0.01), "{shares:.2?}");
    assert!(rejected < 70, "{rejected} of 10,750 calls were rejected by all tried upstreams");
}

/// A long prompt prefix that each region reads itself takes the engines' cache memory twice, so all
/// regions send it to one upstream. For a short prefix the transfers would save little, so each
/// region has its own upstream.
#[test]
fn a_long_prefix_has_one_upstream_in_the_fleet() {
    for prefix in 0..40 {
        let chosen_ids = |tokens: u64| -> Vec<String> {
            let parts = [
                PromptPart { id: prefix, tokens },
                PromptPart { id: 1 << 40 | prefix, tokens: 50 },
            ];
            let chosen = DOMAINS.map(|own| choose(&table(own, 4), at(0), &parts, prefix * 7919));
            chosen.map(|chosen| chosen.expect("an upstream is available").id.to_string()).to_vec()
        };
        let long = chosen_ids(6000);
        assert!(long.iter().all(|id| *id == long[0]), "{long:?}");
        let short = chosen_ids(600);
        assert_eq!((&short[0], &short[2]), (&short[1], &short[3]), "one upstream in each region");
        assert!(short[0].starts_with('a') && short[2].starts_with('b'), "{short:?}");
    }
}

/// An upstream that rejected requests is soon tried again. An upstream that failed requests is
/// avoided for longer, since each request that probes it may be lost. After 15 s only the first is
/// used again.
#[test]
fn an_upstream_is_tried_sooner_after_rejections_than_after_failures() {
    for (outcome, expected) in [
        (AttemptOutcome::Full, Distance::SameDomain),
        (AttemptOutcome::Failed, Distance::OtherRegion),
    ] {
        let mut table = table("a-1", 1);
        for id in ["a-1.0", "a-2.1"] {
            let id: UpstreamId = id.parse().expect("a valid name");
            for n in 0..3 {
                table.start_request(at(n), &id, &[]);
                table.end_request(at(n), &id, outcome);
            }
        }
        let chosen =
            |millis| choose(&table, at(millis), &[], 5).expect("an upstream is available").distance;
        assert_eq!(
            chosen(2),
            Distance::OtherRegion,
            "{outcome:?}: both upstreams in the region are avoided"
        );
        assert_eq!(chosen(15_000), expected, "{outcome:?}");
        assert_eq!(
            chosen(120_000),
            Distance::SameDomain,
            "{outcome:?}: the upstream is tried again in the end"
        );
    }
}
