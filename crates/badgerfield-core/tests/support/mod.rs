//! Helpers of the tests of holdings: a budget, times and members of a view.

use badgerfield_core::amount::Time;
use badgerfield_core::ids::{BudgetId, Incarnation};
use badgerfield_core::view::{Member, MemberState};

pub(crate) fn budget() -> BudgetId {
    "account/main".parse().expect("the name is valid")
}

pub(crate) fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

pub(crate) fn member(id: u64) -> Member {
    Member {
        vm: format!("vm-{id}").parse().expect("the name is valid"),
        incarnation: Incarnation(id),
        region: "north".parse().expect("the name is valid"),
        domain: "d".parse().expect("the name is valid"),
        peer: ([127, 0, 0, 1], 1).into(),
        caller: ([127, 0, 0, 1], 2).into(),
        standing: MemberState::Active,
        link_mbps: 0,
    }
}
