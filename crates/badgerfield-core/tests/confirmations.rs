//! Completion of a view's handovers: not before the new arbiters have all claims, and without a
//! message if there are no claims.

use std::sync::Arc;
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::claims::Claims;
use badgerfield_core::event::{Command, Outbox};
use badgerfield_core::ids::{Epoch, Incarnation, RequestKey};
use badgerfield_core::message::{
    ClaimDecision, ClaimProgress, ClaimRecord, ClaimRequest, HandoverPart, Message,
};
use badgerfield_core::view::{Member, MemberState, View};

const NOW: Time = Time(Duration::from_secs(1));

fn view(epoch: u64, members: std::ops::RangeInclusive<u64>) -> Arc<View> {
    let member = |n: u64| Member {
        vm: format!("vm-{n}").parse().expect("a valid name"),
        incarnation: Incarnation(n),
        region: "r".parse().expect("a valid name"),
        domain: "d".parse().expect("a valid name"),
        peer: ([127, 0, 0, 1], 1).into(),
        caller: ([127, 0, 0, 1], 2).into(),
        standing: MemberState::Active,
        link_mbps: 0,
    };
    let members = members.map(member).collect();
    Arc::new(View { epoch: Epoch(epoch), members, ..View::default() })
}

fn claims(me: u64) -> Claims {
    Claims::new(Incarnation(me), Duration::from_secs(900))
}

/// Returns a key that has the given arbiters in two views.
fn key(before: (&View, u64), after: (&View, u64)) -> RequestKey {
    let is_arbiter = |(view, id): (&View, u64), key: RequestKey| {
        view.arbiters(key, None).is_some_and(|(first, _)| first.incarnation == Incarnation(id))
    };
    (0..10_000_u128)
        .map(|n| RequestKey(n.wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835)))
        .find(|key| is_arbiter(before, *key) && is_arbiter(after, *key))
        .expect("a key moves between these members")
}

fn handovers(out: &mut Outbox) -> Vec<(Incarnation, HandoverPart)> {
    let part = |command| match command {
        Command::Send(to, Message::Handover(part)) => Some((to, part)),
        _ => None,
    };
    out.take().into_iter().filter_map(part).collect()
}

/// Members without claims confirm a view without handover messages, and the confirmations reach all
/// members through heartbeats alone.
#[test]
fn members_without_claims_confirm_at_once_and_send_nothing() {
    let view = view(1, 1..=20);
    let mut all: Vec<_> = (1..=20).map(claims).collect();
    let mut out = Outbox::default();
    for claims in &mut all {
        claims.apply_view(NOW, &view, &mut out);
    }
    assert!(out.take().is_empty());
    // Each member sends its confirmations only to the next member of the ring.
    for _ in 0..20 {
        for n in 0..20 {
            let report = all[n].confirmation_status();
            all[(n + 1) % 20].merge_confirmations(Epoch(1), &report);
        }
    }
    assert!(all.iter().all(|claims| claims.complete_epoch() == Epoch(1)));
    assert!(
        all.iter().all(|claims| claims.confirmation_status().bits.is_empty()),
        "the bits must be empty once all members have confirmed"
    );
}

/// A new arbiter that decides before it has the earlier claims would let an at-most-once request
/// run a second time. Confirmations of the other members must not be enough for it to decide.
#[test]
fn a_new_arbiter_decides_nothing_before_the_old_one_has_handed_over() {
    let (old, new) = (view(1, 1..=3), view(2, 1..=4));
    let key = key((&old, 1), (&new, 4));
    let mut out = Outbox::default();
    let (mut first, mut second, mut third, mut fourth) =
        (claims(1), claims(2), claims(3), claims(4));
    let record = ClaimRecord {
        key,
        home: None,
        owner: Incarnation(2),
        serial: 7,
        owner_changes: 0,
        at_most_once: true,
        progress: ClaimProgress::Ended(badgerfield_core::amount::Tokens(5)),
    };
    first.apply_view(NOW, &old, &mut out);
    assert!(first.record_claim(NOW, Epoch(1), &record));
    for claims in [&mut first, &mut second, &mut third, &mut fourth] {
        claims.apply_view(NOW, &new, &mut out);
    }
    let moved: Vec<_> =
        handovers(&mut out).into_iter().filter(|(to, _)| *to == Incarnation(4)).collect();
    let [(_, part)] = moved.as_slice() else { panic!("expected one handover to the new arbiter") };

    let request = ClaimRequest {
        key,
        home: None,
        serial: 9,
        epoch: Epoch(2),
        at_most_once: true,
        replaces: None,
    };
    for report in
        [first.confirmation_status(), second.confirmation_status(), third.confirmation_status()]
    {
        fourth.merge_confirmations(Epoch(2), &report);
    }
    let early = fourth.decide(NOW, Incarnation(3), &request, &mut out);
    assert!(matches!(early, Some(ClaimDecision::Wait { .. })), "{early:?}");

    assert!(fourth.receive_handover(NOW, Incarnation(1), part));
    first.handle_handover_ack(NOW, Incarnation(4), Epoch(2), part.index, &mut out);
    // The backup of the key in the new view may be another member.
    for (to, part) in handovers(&mut out) {
        first.handle_handover_ack(NOW, to, Epoch(2), part.index, &mut out);
    }
    for id in [2, 3] {
        first.handle_handover_ack(NOW, Incarnation(id), Epoch(2), 0, &mut out);
    }
    fourth.merge_confirmations(Epoch(2), &first.confirmation_status());
    assert_eq!(fourth.complete_epoch(), Epoch(2));
    let decision = fourth.decide(NOW, Incarnation(3), &request, &mut out);
    assert!(matches!(decision, Some(ClaimDecision::Owned { ended: true, .. })), "{decision:?}");
}
