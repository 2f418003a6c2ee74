//! When a view's hand-overs count as complete: never before every claim that has to move has
//! arrived, and without a message where there are none.

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
        vm: format!("vm-{n}").parse().expect("a name"),
        incarnation: Incarnation(n),
        region: "r".parse().expect("a name"),
        domain: "d".parse().expect("a name"),
        peer: ([127, 0, 0, 1], 1).into(),
        caller: ([127, 0, 0, 1], 2).into(),
        standing: MemberState::Active,
    };
    let members = members.map(member).collect();
    Arc::new(View { epoch: Epoch(epoch), members, ..View::default() })
}

fn claims(me: u64) -> Claims {
    Claims::new(Incarnation(me), Duration::from_secs(900))
}

/// Returns a key about which a member decides in a view, and another did before.
fn key(before: (&View, u64), after: (&View, u64)) -> RequestKey {
    let decides = |(view, id): (&View, u64), key: RequestKey| {
        view.arbiters(key, None).is_some_and(|(first, _)| first.incarnation == Incarnation(id))
    };
    (0..10_000_u128)
        .map(|n| RequestKey(n.wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835)))
        .find(|key| decides(before, *key) && decides(after, *key))
        .expect("some key moves so")
}

fn handovers(out: &mut Outbox) -> Vec<(Incarnation, HandoverPart)> {
    let part = |order| match order {
        Command::Send(to, Message::Handover(part)) => Some((to, part)),
        _ => None,
    };
    out.take().into_iter().filter_map(part).collect()
}

#[test]
fn members_without_claims_confirm_at_once_and_send_nothing() {
    let view = view(1, 1..=20);
    let mut all: Vec<_> = (1..=20).map(claims).collect();
    let mut out = Outbox::default();
    for claims in &mut all {
        claims.apply_view(NOW, &view, &mut out);
    }
    assert!(out.take().is_empty());
    // Word goes round a ring, from each to the next only.
    for _ in 0..20 {
        for n in 0..20 {
            let word = all[n].confirmation_status();
            all[(n + 1) % 20].merge_confirmations(Epoch(1), &word);
        }
    }
    assert!(all.iter().all(|claims| claims.complete_epoch() == Epoch(1)));
    assert!(
        all.iter().all(|claims| claims.confirmation_status().bits.is_empty()),
        "nothing more to say"
    );
}

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
    let [(_, part)] = moved.as_slice() else { panic!("one hand-over to the new arbiter") };

    let ask = ClaimRequest {
        key,
        home: None,
        serial: 9,
        epoch: Epoch(2),
        at_most_once: true,
        replaces: None,
    };
    for word in
        [first.confirmation_status(), second.confirmation_status(), third.confirmation_status()]
    {
        fourth.merge_confirmations(Epoch(2), &word);
    }
    let early = fourth.decide(NOW, Incarnation(3), &ask, &mut out);
    assert!(matches!(early, Some(ClaimDecision::Wait { .. })), "{early:?}");

    assert!(fourth.receive_handover(NOW, Incarnation(1), part));
    first.handle_handover_ack(NOW, Incarnation(4), Epoch(2), part.index, &mut out);
    // The second keeper under the new view may be another member.
    for (to, part) in handovers(&mut out) {
        first.handle_handover_ack(NOW, to, Epoch(2), part.index, &mut out);
    }
    for id in [2, 3] {
        first.handle_handover_ack(NOW, Incarnation(id), Epoch(2), 0, &mut out);
    }
    fourth.merge_confirmations(Epoch(2), &first.confirmation_status());
    assert_eq!(fourth.complete_epoch(), Epoch(2));
    let verdict = fourth.decide(NOW, Incarnation(3), &ask, &mut out);
    assert!(matches!(verdict, Some(ClaimDecision::Owned { ended: true, .. })), "{verdict:?}");
}
