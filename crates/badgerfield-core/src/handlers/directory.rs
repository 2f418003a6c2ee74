//! The directory: which VMs a caller should use.
//!
//! A client account is directed to a small subset of the VMs, spread over failure domains and the
//! same for all callers with its keys. Only a few VMs then hold its budget and cache its prefixes.
//! The subset grows with the account's priority.

use std::collections::BTreeSet;

use crate::amount::Time;
use crate::node::Node;
use crate::template::{KeyDigest, account_name};
use crate::view::Member;

/// Minimum number of VMs to which an account is directed.
const MIN_SUBSET_SIZE: usize = 2;

impl Node {
    /// Returns the VMs that a caller should use, best first.
    #[must_use]
    pub fn directory(&self, now: Time, secret: Option<&KeyDigest>) -> Vec<Member> {
        let mut members = self.available_members(now);
        let Some((account, size)) = secret.and_then(|s| self.find_subset(s)) else {
            return members;
        };
        let region = &self.config.member.region;
        let rank = |m: &Member| crate::ids::rendezvous_weight(account.as_bytes(), m.incarnation);
        members.sort_by_key(|m| (&m.region != region, std::cmp::Reverse(rank(m))));
        spread_over_domains(members, size)
    }

    fn find_subset(&self, secret: &KeyDigest) -> Option<(String, usize)> {
        let templates = self.state.templates();
        let (id, _) = templates.budgets.iter().find(|(_, b)| b.keys.contains(secret))?;
        let size = usize::try_from(templates.account_of(id)?.priority).ok()?;
        Some((account_name(id).to_owned(), size.max(MIN_SUBSET_SIZE)))
    }
}

/// Takes the best members, one from each failure domain before any second one.
fn spread_over_domains(members: Vec<Member>, size: usize) -> Vec<Member> {
    let mut domains = BTreeSet::new();
    let (mut first, mut rest) = (Vec::new(), Vec::new());
    for member in members {
        if domains.insert(member.domain.clone()) {
            first.push(member);
        } else {
            rest.push(member);
        }
    }
    first.extend(rest);
    first.truncate(size);
    first
}
