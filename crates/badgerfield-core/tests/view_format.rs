//! The format of the stored view.

use badgerfield_core::ids::Incarnation;
use badgerfield_core::view::{Member, MemberState, View};

fn member(id: u64) -> Member {
    Member {
        vm: format!("edge-accra-{}", id % 100_000).parse().expect("the name is valid"),
        incarnation: Incarnation(id),
        region: "accra".parse().expect("the name is valid"),
        domain: "accra-a".parse().expect("the name is valid"),
        peer: ([10, 1, 0, 40], 7340).into(),
        caller: ([10, 1, 0, 40], 8227).into(),
        standing: MemberState::Active,
        link_mbps: 20,
    }
}

/// Returns a view of some members of which all are known to hold no old claims.
fn view(members: u64) -> View {
    let ids = (1..=members).map(|n| Incarnation(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
    let joiners = ids.map(|id| member(id.0)).collect();
    View::default().with_announced(joiners, 7, true).completed()
}

/// Guards against a view that changes on its way through the store: a process that announced itself
/// would be added twice if the revision of its announcement were lost.
#[test]
fn a_view_is_the_same_after_it_was_stored() {
    let view = view(20);
    let decoded = View::decode(Some(&view.encode())).expect("a view");
    assert_eq!((&decoded, decoded.joined_revision), (&view, 7));
}

/// A store may still hold a view that was written in JSON, in any order of its members.
#[test]
fn a_view_in_json_is_read() {
    let view = view(20);
    let mut reversed = view.clone();
    reversed.members.reverse();
    let json = serde_json::to_vec(&reversed).expect("JSON");
    assert_eq!(View::decode(Some(&json)).expect("a view"), view);
}

/// Guards against bytes that are taken for a view, or end the process.
#[test]
fn other_values_are_an_error() {
    let encoded = view(3).encode();
    for bytes in [&b"{"[..], b"", b"\x02\xff\xff\xff", &encoded[..encoded.len() / 2]] {
        assert!(View::decode(Some(bytes)).is_err(), "{bytes:?}");
    }
}

/// Each VM that starts reads the whole view, so its size is part of the time of a start.
#[test]
fn a_member_takes_few_bytes() {
    let bytes = view(984).encode().len();
    assert!(bytes <= 984 * 80, "{bytes} bytes");
}
