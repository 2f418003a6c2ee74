//! Records of streams' beginnings: which are kept, and which processes keep copies.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::{Account, Epoch, Incarnation, Service, SoftwareVersion, VersionTag};
use badgerfield_core::stream_origins::{
    COPIES, KnownOrigin, OriginSource, StreamKey, StreamOrigin, StreamOrigins, max_lifetime,
};
use badgerfield_core::stream_segments::StreamShard;
use badgerfield_core::view::{Member, MemberState, View};

const NOW: Time = Time::from_millis(60_000);
const TIMEOUT: Duration = Duration::from_secs(4);

fn tag(version: &str) -> VersionTag {
    let service: Service = "pool".parse().expect("the name is valid");
    let version: SoftwareVersion = version.parse().expect("the name is valid");
    VersionTag::new(&service, Some(&version))
}

fn key(account: &str, request: &str) -> StreamKey {
    let account: Account = account.parse().expect("the name is valid");
    StreamKey::new(Some(&account), request)
}

fn origin(request: &str, version: &str) -> StreamOrigin {
    StreamOrigin::new(key("a", request), tag(version), TIMEOUT)
}

fn member(number: u64, incarnation: u64, domains: u64) -> Member {
    Member {
        vm: format!("vm-{number}").parse().expect("the name is valid"),
        incarnation: Incarnation(incarnation),
        region: "r".parse().expect("the name is valid"),
        domain: format!("d-{}", number % domains).parse().expect("the name is valid"),
        peer: SocketAddr::from(([127, 0, 0, 1], 1)),
        caller: SocketAddr::from(([127, 0, 0, 1], 2)),
        standing: MemberState::Active,
        link_mbps: 0,
    }
}

/// Returns a view of members whose incarnations are their numbers.
fn view(epoch: u64, members: u64, domains: u64) -> View {
    let members = (1..=members).map(|n| member(n, n, domains)).collect();
    View { epoch: Epoch(epoch), members, ..View::default() }
}

/// Returns the view of one of several fleets of 30 VMs in 5 domains.
fn fleet_view(epoch: u64, fleet: u64) -> View {
    let members = (1..=30).map(|n| Member {
        vm: format!("vm-{fleet}-{n}").parse().expect("the name is valid"),
        ..member(n, n, 5)
    });
    View { epoch: Epoch(epoch), members: members.collect(), ..View::default() }
}

fn domain(view: &View, id: Incarnation) -> String {
    view.member(id).expect("a member").domain.to_string()
}

/// Guards against a caller that goes on with the stream of another account, or with a request of
/// its own that it did not name.
#[test]
fn a_stream_is_found_by_its_account_and_request_only() {
    let mut origins = StreamOrigins::default();
    origins.record(NOW, origin("x", "v1"), OriginSource::Own);
    let found = origins.find(NOW, key("a", "x"));
    let expected =
        KnownOrigin { version: Some(tag("v1")), source: OriginSource::Own, age: Duration::ZERO };
    assert_eq!(found, Some(expected));
    assert_eq!(origins.find(NOW, key("b", "x")), None);
    assert_eq!(origins.find(NOW, key("a", "y")), None);
    assert_ne!(tag("v1"), tag("v1.1"));
}

/// Guards against a guess between two versions, when a caller has used an id twice.
#[test]
fn records_that_contradict_each_other_name_no_version() {
    let mut origins = StreamOrigins::default();
    let from = OriginSource::Peer(Incarnation(3));
    origins.record(NOW, origin("x", "v1"), OriginSource::Own);
    origins.record(NOW, origin("x", "v1"), from);
    assert!(origins.find(NOW, key("a", "x")).is_some_and(|known| known.version.is_some()));
    origins.record(NOW, origin("x", "v2"), from);
    origins.record(NOW, origin("x", "v1"), from);
    assert!(origins.find(NOW, key("a", "x")).is_some_and(|known| known.version.is_none()));
}

/// Guards against records that end before the last try of a caller, and against ones that stay.
#[test]
fn a_record_lasts_as_long_as_a_stream_and_its_tries() {
    let mut origins = StreamOrigins::default();
    origins.record(NOW, origin("x", "v1"), OriginSource::Own);
    let last = NOW.after(max_lifetime(TIMEOUT));
    origins.sweep(last);
    assert!(origins.find(last, key("a", "x")).is_some());
    let late = last.after(Duration::from_secs(2));
    assert_eq!(origins.find(late, key("a", "x")), None);
    origins.sweep(late);
    assert!(origins.is_empty());
}

/// Guards against memory that grows with the ids that callers send.
#[test]
fn the_number_of_records_is_bounded() {
    let mut origins = StreamOrigins::default();
    for n in 0..140_000 {
        let at = NOW.after(Duration::from_micros(n * 100));
        origins.record(at, origin(&n.to_string(), "v1"), OriginSource::Own);
    }
    assert_eq!(origins.len(), 131_072);
    let now = NOW.after(Duration::from_secs(14));
    assert!(origins.find(NOW, key("a", "1")).is_none(), "the first ones are dropped");
    assert!(origins.find(now, key("a", "139999")).is_some());
}

/// Guards against copies that are lost together with a failure domain, and against ones that a
/// process keeps for itself.
#[test]
fn copies_lie_in_two_failure_domains_at_other_processes() {
    let view = view(1, 9, 3);
    let mut origins = StreamOrigins::default();
    for shard in StreamShard::all() {
        let is_other = |id| id != Incarnation(4);
        let keepers = origins.keepers(shard, &view, is_other);
        // The sender may be one of them.
        assert_eq!(keepers.len(), COPIES + 1);
        assert!(!keepers.contains(&Incarnation(4)));
        assert_ne!(domain(&view, keepers[0]), domain(&view, keepers[1]));
    }
}

/// Guards against copies that cannot be found: the process that asks has another view, since VMs
/// have restarted, and does not ask itself.
#[test]
fn keepers_are_found_after_restarts() {
    let (mut found, mut all) = (0, 0);
    for fleet in 0..64 {
        let before = fleet_view(1, fleet);
        let mut after = fleet_view(2, fleet);
        // A third of the VMs run new processes, which have no records.
        for member in after.members.iter_mut().filter(|m| m.incarnation.0 % 3 == 0) {
            member.incarnation = Incarnation(member.incarnation.0 + 1000);
        }
        after.members.sort_by_key(|member| member.incarnation);
        let (mut writer, mut reader) = (StreamOrigins::default(), StreamOrigins::default());
        for shard in StreamShard::all() {
            let keepers = writer.keepers(shard, &before, |_| true);
            let copies = keepers.into_iter().filter(|id| *id != Incarnation(1)).take(COPIES);
            let asked = reader.asked_keepers(shard, &after, |id| id != Incarnation(2));
            found += usize::from(copies.into_iter().any(|keeper| asked.contains(&keeper)));
            all += 1;
        }
    }
    assert!(found * 100 >= all * 85, "{found} of {all} found");
}

/// Guards against a process that opens connections to all others.
#[test]
fn keepers_of_a_large_fleet_are_few() {
    let view = view(1, 650, 7);
    let mut origins = StreamOrigins::default();
    let mut keepers = BTreeSet::new();
    for shard in StreamShard::all() {
        keepers.extend(origins.keepers(shard, &view, |_| true));
    }
    assert!(keepers.len() <= 48, "{}", keepers.len());
}
