//! Lenders: the members that hold a budget in a large fleet, and from which the others borrow.
//!
//! If each of many processes held a share of each budget, the shares would be smaller than a
//! request and the ledger would list every process. Therefore, in a region with more than
//! [`MAX_SMALL_VIEW_MEMBERS`] members, each budget is held by a few of them, its lenders. All other
//! members borrow the tokens that one request needs, and return the unspent ones when it has ended.
//!
//! Each budget also has as many backup lenders. They borrow as other members do, but draw from the
//! ledger when no lender answers. No other member draws, so the ledger lists few processes for a
//! budget even when most lenders are unavailable.
//!
//! Lenders are ranked by VM, not by process: a new process on the VM of a lender has the same
//! budgets, and claims the tokens that its predecessor left sealed.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{BudgetId, Domain, Incarnation, Region, rendezvous_weight};
use crate::view::{MAX_SMALL_VIEW_MEMBERS, Member, MemberState, View};

/// The number of members in a region for each lender.
const MEMBERS_PER_LENDER: usize = 6;
/// The number of lenders of a budget.
pub(crate) const LENDERS_PER_BUDGET: usize = 3;
/// The number of backup lenders of a budget.
const BACKUP_LENDERS_PER_BUDGET: usize = 3;

/// The lenders of a region; none where every member has holdings of its own.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Lenders(Vec<Lender>);

#[derive(Debug, Clone, PartialEq, Eq)]
struct Lender {
    id: Incarnation,
    /// A hash of the VM's id, for rankings.
    vm_hash: Incarnation,
    domain: Domain,
}

impl Lenders {
    /// Chooses the lenders of a region.
    pub(crate) fn from_view(view: &View, region: &Region) -> Self {
        let is_candidate = |m: &&Member| m.standing == MemberState::Active && m.region == *region;
        let mut members: Vec<_> =
            view.members.iter().filter(is_candidate).map(Lender::of).collect();
        if members.len() <= MAX_SMALL_VIEW_MEMBERS {
            return Self::default();
        }
        // Each budget needs its lenders and backup lenders, however small the fleet is.
        let count = members
            .len()
            .div_ceil(MEMBERS_PER_LENDER)
            .max(LENDERS_PER_BUDGET + BACKUP_LENDERS_PER_BUDGET);
        members
            .sort_by_key(|lender| std::cmp::Reverse(rendezvous_weight(b"lender", lender.vm_hash)));
        members.truncate(count);
        Self(members)
    }

    /// Returns the role of a process for a budget.
    pub(crate) fn role(&self, budget: &BudgetId, me: Incarnation) -> BudgetRole {
        let budget_key = budget.as_str().as_bytes();
        let mut ranked = self.0.clone();
        ranked
            .sort_by_key(|lender| std::cmp::Reverse(rendezvous_weight(budget_key, lender.vm_hash)));
        ranked = spread_domains(ranked);
        ranked.truncate(LENDERS_PER_BUDGET + BACKUP_LENDERS_PER_BUDGET);
        let mut backup_lenders = ranked.split_off(LENDERS_PER_BUDGET.min(ranked.len()));
        let is_me = |lender: &Lender| lender.id == me;
        if self.0.is_empty() || ranked.iter().any(is_me) {
            return BudgetRole::default();
        }
        let stands_in = backup_lenders.iter().any(is_me);
        if stands_in {
            backup_lenders.clear();
        }
        // Each borrower has its own order of lenders, which spreads the load.
        let own_id = me.0.to_be_bytes();
        ranked.sort_by_key(|lender| std::cmp::Reverse(rendezvous_weight(&own_id, lender.vm_hash)));
        backup_lenders
            .sort_by_key(|lender| std::cmp::Reverse(rendezvous_weight(&own_id, lender.vm_hash)));
        ranked.append(&mut backup_lenders);
        BudgetRole {
            lenders: ranked.into_iter().map(|lender| lender.id).collect(),
            is_backup: stands_in,
        }
    }

    /// Returns whether a process is a lender of a budget.
    pub(crate) fn is_lender(&self, budget: &BudgetId, id: Incarnation) -> bool {
        let is_lender = self.0.iter().any(|lender| lender.id == id);
        is_lender && self.role(budget, id) == BudgetRole::default()
    }

    /// Returns whether there are no lenders.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// The role of a process for a budget. A process without lenders has a holding of its own.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct BudgetRole {
    /// The members to request tokens from, in this order.
    pub(crate) lenders: Vec<Incarnation>,
    /// Whether the process is a backup lender: if no lender answers, it draws from the ledger and
    /// lends to others.
    pub(crate) is_backup: bool,
}

impl Lender {
    fn of(member: &Member) -> Self {
        let vm_hash = Incarnation(xxh3_64(member.vm.as_str().as_bytes()));
        Self { id: member.incarnation, vm_hash, domain: member.domain.clone() }
    }
}

/// Moves the first lender of each failure domain to the front and keeps the order otherwise, so
/// that lenders remain when one domain fails.
fn spread_domains(ranked: Vec<Lender>) -> Vec<Lender> {
    let mut seen = BTreeSet::new();
    let is_first = |lender: &Lender| seen.insert(lender.domain.clone());
    let (mut spread, others): (Vec<_>, Vec<_>) = ranked.into_iter().partition(is_first);
    spread.extend(others);
    spread
}
