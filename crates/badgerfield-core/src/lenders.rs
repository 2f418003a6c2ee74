//! Lending: who holds a budget in a large fleet, and who borrows from them.
//!
//! Where processes are many, a part of each budget at every one of them would be smaller than a
//! request, and the ledger would name every process. So a region
//! with more than [`MAX_SMALL_VIEW_MEMBERS`] members leaves each budget to a few of them. All others
//! borrow what one request needs, and give the rest back when it has ended.
//!
//! As many members again stand in for those that do not answer: they borrow as others do, and
//! when nobody lends to them they draw from the ledger. All others never do, so that the ledger
//! names few processes of a budget also when most lenders are gone.
//!
//! Lenders are ranked by their VMs, not by their processes: who starts anew on the VM of a
//! lender has the same budgets, and finds what its predecessor left sealed.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{BudgetId, Domain, Incarnation, Region, rendezvous_weight};
use crate::view::{MAX_SMALL_VIEW_MEMBERS, Member, MemberState, View};

/// One member in so many lends.
const MEMBERS_PER_LENDER: usize = 6;
/// How many members hold one budget.
pub(crate) const HOLDERS: usize = 3;
/// How many more stand in for them.
const SUBSTITUTES: usize = 3;

/// The members of a region that lend; none where everybody holds rights of its own.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Lenders(Vec<Lender>);

#[derive(Debug, Clone, PartialEq, Eq)]
struct Lender {
    id: Incarnation,
    /// What stands for its VM in rankings.
    vm: Incarnation,
    domain: Domain,
}

impl Lenders {
    /// Finds the lenders of a region.
    pub(crate) fn of(view: &View, region: &Region) -> Self {
        let is_near = |m: &&Member| m.standing == MemberState::Active && m.region == *region;
        let mut members: Vec<_> = view.members.iter().filter(is_near).map(Lender::of).collect();
        if members.len() <= MAX_SMALL_VIEW_MEMBERS {
            return Self::default();
        }
        // Each budget wants its holders and as many stand-ins, however small the fleet is.
        let count = members.len().div_ceil(MEMBERS_PER_LENDER).max(HOLDERS + SUBSTITUTES);
        members.sort_by_key(|lender| std::cmp::Reverse(rendezvous_weight(b"lender", lender.vm)));
        members.truncate(count);
        Self(members)
    }

    /// Returns what a process is to a budget.
    pub(crate) fn part(&self, budget: &BudgetId, me: Incarnation) -> Part {
        let subject = budget.as_str().as_bytes();
        let mut ranked = self.0.clone();
        ranked.sort_by_key(|lender| std::cmp::Reverse(rendezvous_weight(subject, lender.vm)));
        ranked = spread_domains(ranked);
        ranked.truncate(HOLDERS + SUBSTITUTES);
        let mut substitutes = ranked.split_off(HOLDERS.min(ranked.len()));
        let is_me = |lender: &Lender| lender.id == me;
        if self.0.is_empty() || ranked.iter().any(is_me) {
            return Part::default();
        }
        let stands_in = substitutes.iter().any(is_me);
        if stands_in {
            substitutes.clear();
        }
        // Each borrower has an order of its own, so that the holders share the work.
        let own = me.0.to_be_bytes();
        ranked.sort_by_key(|lender| std::cmp::Reverse(rendezvous_weight(&own, lender.vm)));
        substitutes.sort_by_key(|lender| std::cmp::Reverse(rendezvous_weight(&own, lender.vm)));
        ranked.append(&mut substitutes);
        Part { lenders: ranked.into_iter().map(|lender| lender.id).collect(), stands_in }
    }

    /// Tells whether a process holds a budget from the ledger, where others borrow it.
    pub(crate) fn holds(&self, budget: &BudgetId, id: Incarnation) -> bool {
        let is_lender = self.0.iter().any(|lender| lender.id == id);
        is_lender && self.part(budget, id) == Part::default()
    }

    /// Tells whether anybody lends.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// What a process is to a budget: it holds rights of its own if it has no lenders.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Part {
    /// Whom it asks for tokens, in this order.
    pub(crate) lenders: Vec<Incarnation>,
    /// Whether it lends to others, and draws from the ledger, when no holder answers.
    pub(crate) stands_in: bool,
}

impl Lender {
    fn of(member: &Member) -> Self {
        let vm = Incarnation(xxh3_64(member.vm.as_str().as_bytes()));
        Self { id: member.incarnation, vm, domain: member.domain.clone() }
    }
}

/// Puts the first of each failure domain before the others, and keeps their order otherwise: what
/// takes one domain down leaves holders in the others.
fn spread_domains(ranked: Vec<Lender>) -> Vec<Lender> {
    let mut seen = BTreeSet::new();
    let is_first = |lender: &Lender| seen.insert(lender.domain.clone());
    let (mut spread, others): (Vec<_>, Vec<_>) = ranked.into_iter().partition(is_first);
    spread.extend(others);
    spread
}
