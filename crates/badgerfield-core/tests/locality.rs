//! Near first: who callers are sent to, where requests go, and how they spill over and come back.

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
    name.parse().expect("a name")
}

fn region(name: &str) -> Region {
    name.parse().expect("a name")
}

fn member(n: u16, at: &str) -> Member {
    Member {
        vm: format!("vm-{n}").parse().expect("a name"),
        incarnation: Incarnation(n.into()),
        region: region(&at[..1]),
        domain: domain(at),
        peer: ([127, 0, 0, 1], n).into(),
        caller: ([127, 0, 0, 1], n).into(),
        standing: MemberState::Active,
    }
}

fn place(at: &str) -> Location {
    Location { domain: Some(domain(at)), region: Some(region(&at[..1])) }
}

/// A caller whose own domain has too few VMs is sent to those of its region, before all others.
#[test]
fn callers_are_sent_to_their_domain_then_their_region_then_anywhere() {
    let at = ["a-1", "a-1", "a-2", "b-1", "b-2", "c-1"];
    let members: Vec<_> = (0..).zip(at).map(|(n, at)| member(n, at)).collect();
    let sent = |caller: &Location| -> Vec<String> {
        nearest(&members, caller).iter().map(|m| m.domain.to_string()).collect()
    };
    assert_eq!(sent(&place("a-1")), ["a-1", "a-1"]);
    assert_eq!(sent(&place("a-2")), ["a-1", "a-1", "a-2"]);
    assert_eq!(sent(&place("b-1")), ["b-1", "b-2"]);
    assert_eq!(sent(&place("b-9")), ["b-1", "b-2"], "a domain without VMs");
    assert_eq!(sent(&place("c-1")).len(), 6, "one VM is too few");
    assert_eq!(sent(&Location { domain: None, region: Some(region("b")) }), ["b-1", "b-2"]);
    assert_eq!(sent(&Location::default()).len(), 6);
}

const DOMAINS: [&str; 4] = ["a-1", "a-2", "b-1", "b-2"];

fn service() -> Service {
    "pool".parse().expect("a name")
}

/// Returns the table of a process in a domain, with so many upstreams in each domain.
fn table(own: &str, each: usize) -> UpstreamTable {
    let map = DOMAINS.iter().map(|at| (domain(at), region(&at[..1])));
    let mut table = UpstreamTable::default();
    table.set_regions(RegionMap::new(map.collect()));
    table.set_location(place(own), DistanceCosts::default());
    let entry = |n: usize| {
        let at = DOMAINS[n % DOMAINS.len()];
        let info = ListedUpstream {
            id: format!("{at}.{n}").parse().expect("a name"),
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
    let replicas = (0..each * DOMAINS.len()).map(entry).collect();
    table.apply_list(Time::default(), UpstreamList { revision: 1, entries: replicas });
    table
}

fn at(millis: u64) -> Time {
    Time(Duration::from_millis(millis))
}

fn choose(
    table: &UpstreamTable,
    now: Time,
    parts: &[PromptPart],
    draw: u64,
) -> Option<ChosenUpstream> {
    let wanted = UpstreamCriteria {
        service: &service(),
        route: "r",
        parts,
        bytes: 4000,
        residency: &EVERYWHERE,
        tried: &[],
        resumed_version: None,
        max_connections: 100,
        random: draw,
        rendezvous_key: None,
    };
    table.choose(now, &wanted)
}

fn parts(chain: u64) -> [PromptPart; 2] {
    [PromptPart { id: chain, tokens: 1000 }, PromptPart { id: 1 << 40 | chain, tokens: 100 }]
}

/// Prompts that cost more to read than to cross are left out here: the test of homes has them.
#[test]
fn requests_stay_in_their_region_while_it_is_calm() {
    for is_call in [true, false] {
        let mut table = table("a-2", 4);
        let mut counts: BTreeMap<Distance, usize> = BTreeMap::new();
        for n in 0..400_u64 {
            let now = at(n * 10);
            let parts = parts(n % 20);
            let parts: &[PromptPart] = if is_call { &[] } else { &parts };
            let chosen = choose(&table, now, parts, n * 7919).expect("somebody serves");
            *counts.entry(chosen.distance).or_default() += 1;
            assert_eq!(chosen.crossing, None, "request {n}");
            table.start_request(now, &chosen.id, parts);
            table.end_request(now, &chosen.id, AttemptOutcome::Answered);
        }
        assert_eq!(counts.get(&Distance::OtherRegion), None, "{counts:?}");
    }
}

#[test]
fn a_request_says_why_it_left_its_region() {
    let mut table = table("a-1", 2);
    let change =
        |name: &str, evacuated| DomainChange { domain: domain(name), revision: 2, evacuated };
    table.apply_evacuations(at(0), &[change("a-1", true)]);
    let chosen = choose(&table, at(1), &[], 5).expect("somebody serves");
    assert_eq!((chosen.distance, chosen.crossing), (Distance::SameRegion, None));
    table.apply_evacuations(at(2), &[change("a-2", true)]);
    let chosen = choose(&table, at(3), &[], 5).expect("somebody serves");
    assert_eq!(
        (chosen.distance, chosen.crossing),
        (Distance::OtherRegion, Some(CrossingReason::NoneInRegion))
    );
    let back = DomainChange { domain: domain("a-2"), revision: 3, evacuated: false };
    table.apply_evacuations(at(4), &[back]);
    for id in ["a-2.1", "a-2.5"] {
        let id: UpstreamId = id.parse().expect("a name");
        for _ in 0..8 {
            table.start_request(at(5), &id, &[]);
        }
    }
    let chosen = choose(&table, at(6), &[], 5).expect("somebody serves");
    assert_eq!(
        (chosen.distance, chosen.crossing),
        (Distance::OtherRegion, Some(CrossingReason::Cost))
    );
}

/// Where nothing is known of regions, domains are of one region: nobody pays for distance.
#[test]
fn without_a_map_all_domains_are_of_one_region() {
    let map = RegionMap::new(BTreeMap::from([(domain("a-1"), region("a"))]));
    let own = place("a-1");
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

/// One of the processes of a fleet, and its requests under way with their ends.
struct Sender {
    table: UpstreamTable,
    under_way: Vec<(Time, UpstreamId)>,
}

/// Plain calls come to region `a` in each second as its load says, at six processes; each
/// upstream runs eight calls of 100 ms at once and turns others away. Returns the share of each
/// second's calls that left the region, and how many were turned away by all that were tried.
fn replay(seconds: &[u64]) -> (Vec<f64>, usize) {
    let own = ["a-1", "a-2"];
    let mut senders: Vec<_> =
        (0..6).map(|n| Sender { table: table(own[n % 2], 3), under_way: Vec::new() }).collect();
    let (mut shares, mut lost, mut draw) = (Vec::new(), 0, 1_u64);
    for (second, calls) in (0_u64..).zip(seconds) {
        let (mut sent, mut far) = (0_usize, 0_usize);
        for n in 0..*calls {
            let now = Time(Duration::from_micros(second * 1_000_000 + n * 1_000_000 / calls));
            for sender in &mut senders {
                let table = &mut sender.table;
                sender.under_way.retain(|(ends, id)| {
                    if *ends <= now {
                        table.end_request(now, id, AttemptOutcome::Answered);
                    }
                    *ends > now
                });
            }
            let place = usize::try_from(n % 6).unwrap_or(0);
            let mut served = false;
            for _ in 0..3 {
                draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                let Some(chosen) = choose(&senders[place].table, now, &[], draw >> 16) else {
                    break;
                };
                senders[place].table.start_request(now, &chosen.id, &[]);
                let all = senders.iter().flat_map(|sender| &sender.under_way);
                if all.filter(|(_, id)| *id == chosen.id).count() >= 8 {
                    senders[place].table.end_request(now, &chosen.id, AttemptOutcome::Full);
                    continue;
                }
                let ends = now.after(Duration::from_millis(100));
                senders[place].under_way.push((ends, chosen.id.clone()));
                sent += 1;
                far += usize::from(chosen.distance == Distance::OtherRegion);
                served = true;
                break;
            }
            lost += usize::from(!served);
        }
        let count = |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
        shares.push(count(far) / count(sent.max(1)));
    }
    (shares, lost)
}

/// Six upstreams of a region serve 480 calls a second; 700 come for ten seconds.
#[test]
fn calls_spill_over_while_the_region_is_full_and_come_back_without_swinging() {
    let load: Vec<u64> = [vec![250; 5], vec![700; 10], vec![250; 10]].concat();
    let (shares, lost) = replay(&load);
    println!("{shares:.2?} lost {lost}");
    let (calm, full, after) = (&shares[..5], &shares[7..15], &shares[18..]);
    assert!(calm.iter().all(|share| *share < 0.01), "{shares:.2?}");
    assert!(full.iter().all(|share| (0.2..0.7).contains(share)), "{shares:.2?}");
    let steps = full.windows(2).map(|pair| (pair[1] - pair[0]).abs());
    assert!(steps.fold(0.0, f64::max) < 0.15, "it swings: {shares:.2?}");
    assert!(after.iter().all(|share| *share < 0.01), "{shares:.2?}");
    assert!(lost < 70, "{lost} of 10,750 were served by nobody");
}

/// Long chains that each region reads for itself take the engines' memory twice; short ones that
/// all regions send to one upstream cross for little.
#[test]
fn a_chain_has_one_home_where_reading_costs_more_than_crossing() {
    for chain in 0..40 {
        let homes = |tokens: u64| -> Vec<String> {
            let parts =
                [PromptPart { id: chain, tokens }, PromptPart { id: 1 << 40 | chain, tokens: 50 }];
            let chosen = DOMAINS.map(|own| choose(&table(own, 4), at(0), &parts, chain * 7919));
            chosen.map(|chosen| chosen.expect("somebody serves").id.to_string()).to_vec()
        };
        let long = homes(6000);
        assert!(long.iter().all(|id| *id == long[0]), "{long:?}");
        let short = homes(600);
        assert_eq!((&short[0], &short[2]), (&short[1], &short[3]), "one in each region");
        assert!(short[0].starts_with('a') && short[2].starts_with('b'), "{short:?}");
    }
}

/// An upstream that turned requests away is soon asked again; one that failed them is not, since
/// each request that is sent to find out may be lost. Fifteen seconds later only the first is back.
#[test]
fn being_turned_away_is_forgotten_sooner_than_a_failure() {
    for (health, near) in [
        (AttemptOutcome::Full, Distance::SameDomain),
        (AttemptOutcome::Failed, Distance::OtherRegion),
    ] {
        let mut table = table("a-1", 1);
        for id in ["a-1.0", "a-2.1"] {
            let id: UpstreamId = id.parse().expect("a name");
            for n in 0..3 {
                table.start_request(at(n), &id, &[]);
                table.end_request(at(n), &id, health);
            }
        }
        let chosen = |millis| choose(&table, at(millis), &[], 5).expect("somebody serves").distance;
        assert_eq!(chosen(2), Distance::OtherRegion, "{health:?}: both near ones are avoided");
        assert_eq!(chosen(15_000), near, "{health:?}");
        assert_eq!(
            chosen(120_000),
            Distance::SameDomain,
            "{health:?}: in the end it is tried again"
        );
    }
}
