//! What views and processes remember of earlier arbiters, compared with models that keep everything.

use std::sync::Arc;
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::claims::Claims;
use badgerfield_core::confirmations::ConfirmationReport;
use badgerfield_core::event::Outbox;
use badgerfield_core::ids::{Epoch, Incarnation, Region, RequestKey};
use badgerfield_core::message::{ClaimDecision, ClaimRequest};
use badgerfield_core::view::{ArbiterState, Member, MemberState, UncertainKeys, View};
use proptest::prelude::*;

const KEYS: u128 = 40;
const ME: u64 = 0;
/// Stops and starts in a row without a complete view, far more than a view remembers.
const MANY_STOPS: u64 = 6000;

/// A change of the view.
#[derive(Debug, Clone)]
enum Change {
    Join,
    Leave(prop::sample::Index),
    Remove(prop::sample::Index),
    Complete,
}

fn changes() -> impl Strategy<Value = Vec<Change>> {
    let change = prop_oneof![
        4 => Just(Change::Join),
        2 => any::<prop::sample::Index>().prop_map(Change::Leave),
        4 => any::<prop::sample::Index>().prop_map(Change::Remove),
        1 => Just(Change::Complete),
    ];
    prop::collection::vec(change, 1..60)
}

fn region(id: u64) -> Region {
    let name = if id.is_multiple_of(2) { "north" } else { "south" };
    name.parse().expect("the name is valid")
}

fn member(id: u64) -> Member {
    Member {
        vm: format!("vm-{id}").parse().expect("the name is valid"),
        incarnation: Incarnation(id),
        region: region(id),
        domain: "d".parse().expect("the name is valid"),
        peer: ([127, 0, 0, 1], 1).into(),
        caller: ([127, 0, 0, 1], 2).into(),
        standing: MemberState::Active,
        link_mbps: 0,
    }
}

fn first_view() -> View {
    View::default().with_members((0..6).map(member).collect(), true).completed()
}

fn keys() -> impl Iterator<Item = RequestKey> {
    (0..KEYS).map(|n| RequestKey(n.wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835)))
}

/// Returns the next view and whether the change is one of members.
fn apply(view: &View, change: &Change, next_id: &mut u64) -> View {
    let chosen = |index: &prop::sample::Index| {
        let others: Vec<_> =
            view.members.iter().map(|m| m.incarnation).filter(|id| id.0 != ME).collect();
        (!others.is_empty()).then(|| others[index.index(others.len())])
    };
    match change {
        Change::Join => {
            *next_id += 1;
            view.with_member(member(*next_id), false)
        }
        Change::Leave(index) => {
            chosen(index).map_or(view.clone(), |id| view.with_leaving(id, false))
        }
        Change::Remove(index) => {
            chosen(index).map_or(view.clone(), |id| view.without_members(&[id], false))
        }
        Change::Complete => view.completed(),
    }
}

/// Returns the last of all entries that contains a key.
fn uncertain_since(entries: &[UncertainKeys], key: RequestKey) -> Option<Epoch> {
    let view = View { uncertain_keys: entries.to_vec(), ..View::default() };
    view.uncertain_since(key, None)
}

proptest! {
    /// Guards against keys that no longer count as uncertain because the view keeps fewer entries:
    /// a request could run a second time.
    #[test]
    fn compact_view_knows_all_uncertain_keys(changes in changes()) {
        let mut view = first_view();
        let mut next_id = 100;
        let mut entries = Vec::new();
        for change in changes {
            let next = apply(&view, &change, &mut next_id);
            let gone = next.recent_arbiters.iter().filter(|a| a.state == ArbiterState::Gone).count();
            if matches!(change, Change::Remove(_)) && next.epoch > view.epoch && gone > 1 {
                let (epoch, arbiters) = (next.epoch, next.recent_arbiters.clone());
                entries.push(UncertainKeys { epoch, arbiters });
            }
            view = next;
            for key in keys() {
                prop_assert_eq!(view.uncertain_since(key, None), uncertain_since(&entries, key));
            }
        }
    }

    /// Guards against a process that takes itself for the arbiter of a key that another one decided
    /// about since the last complete view, and against one that no longer decides about its keys.
    #[test]
    fn process_decides_only_about_keys_that_were_always_its_own(changes in changes()) {
        let mut claims = Claims::new(Incarnation(ME), Duration::from_secs(900));
        let mut out = Outbox::default();
        let mut view = first_view();
        let mut since_complete: Vec<View> = Vec::new();
        let mut next_id = 100;
        let mut serial = 0;
        for change in std::iter::once(Change::Complete).chain(changes) {
            view = apply(&view, &change, &mut next_id);
            claims.apply_view(Time::from_millis(1), &Arc::new(view.clone()), &mut out);
            if since_complete.last().is_none_or(|last| last.epoch < view.epoch) {
                since_complete.push(view.clone());
            }
            if matches!(change, Change::Complete) {
                let report = ConfirmationReport { complete: view.epoch, ..Default::default() };
                claims.merge_confirmations(view.epoch, &report);
            }
            // A member that is left alone confirms its view by itself.
            if claims.complete_epoch() == view.epoch {
                since_complete = vec![view.clone()];
            }
            for key in keys() {
                serial += 1;
                let key = RequestKey(key.0 ^ u128::from(serial));
                let request = ClaimRequest {
                    key,
                    home: None,
                    serial,
                    epoch: view.epoch,
                    at_most_once: false,
                    replaces: None,
                };
                let decision = claims.decide(Time::from_millis(2), Incarnation(ME), &request, &mut out);
                let waits = matches!(decision, Some(ClaimDecision::Wait { .. }));
                let is_first = |view: &View| {
                    view.arbiters(key, None).is_some_and(|(first, _)| first.incarnation.0 == ME)
                };
                prop_assert_eq!(waits, !since_complete.iter().all(is_first));
            }
        }
    }
}

/// Guards against a stored view that exceeds the largest value of the store if no view is ever
/// complete, and against keys that it no longer counts as uncertain then.
#[test]
fn view_without_completion_stays_within_its_bound_and_doubts_all_keys() {
    let mut view = first_view();
    for stop in 0..MANY_STOPS {
        let id = 1000 + stop;
        view = view.with_member(member(id), false).without_members(&[Incarnation(id)], false);
    }
    let bytes = view.encode().len();
    assert!(bytes <= 128 << 10, "{bytes} bytes");
    assert!(keys().all(|key| view.uncertain_since(key, None).is_some()), "a key is certain");
}
