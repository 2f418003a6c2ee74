//! Where the tokens of a budget are, and which deaths took some of them.

use std::fmt;

use badgerfield_core::amount::Time;
use badgerfield_core::message::{Envelope, Message};

use super::Fleet;

/// Where the tokens of one budget are; the parts sum to the limit unless there is an excess.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Balance {
    /// What the budget may spend.
    pub limit: u64,
    /// What upstreams served.
    pub used: u64,
    /// What the ledger has left.
    pub left: u64,
    /// Ready to spend at processes that run.
    pub free: u64,
    /// Set aside for running requests.
    pub reserved: u64,
    /// Promised not to be touched for a while, or on the way back to the ledger.
    pub sealed: u64,
    /// Known to a witness, too.
    pub parked: u64,
    /// On the way between processes, or back to the ledger.
    pub moving: u64,
    /// In nobody's hands.
    pub lost: u64,
    /// What all parts together have beyond the limit: tokens that were made from nothing.
    pub excess: u64,
}

/// A process that ended, by a kill or of its own, and what it had of each budget then.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Death {
    /// Its VM.
    pub vm: usize,
    /// When.
    pub at: Time,
    /// What it had of each budget: set aside, ready, sealed, parked, or on the way.
    pub had: Vec<u64>,
}

impl fmt::Display for Balance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { limit, used, left, free, reserved, sealed, parked, moving, lost, excess } = self;
        write!(
            f,
            "limit={limit} used={used} left={left} free={free} reserved={reserved} \
             sealed={sealed} parked={parked} moving={moving} lost={lost} excess={excess}"
        )
    }
}

impl Fleet {
    /// Reckons where the tokens of a budget are.
    ///
    /// What is on its way counts at its giver until the giver knows that it arrived, and what
    /// runs counts as set aside and as used; so it is exact when little runs.
    #[must_use]
    pub fn balance(&self, budget: usize) -> Balance {
        let id = Self::budget(budget);
        let mut balance = Balance {
            limit: self.truth.allowed(budget),
            used: self.truth.served.get(&budget).copied().unwrap_or(0),
            left: self.left(budget),
            ..Balance::default()
        };
        for node in self.vms.iter().filter_map(|vm| vm.node.as_ref()) {
            let figures = node.balance(&id);
            balance.free += figures.free.0;
            balance.reserved += figures.reserved.0;
            balance.sealed += figures.sealed.0 + figures.returning_sealed.0;
            balance.parked += figures.parked.0;
            balance.moving += figures.in_transit.0 + figures.returning_free.0;
        }
        let Balance { used, left, free, reserved, sealed, parked, moving, .. } = balance;
        let known = used + left + free + reserved + sealed + parked + moving;
        balance.lost = balance.limit.saturating_sub(known);
        balance.excess = known.saturating_sub(balance.limit);
        balance
    }

    /// Returns the processes that ended, in order.
    #[must_use]
    pub fn deaths(&self) -> &[Death] {
        &self.deaths
    }

    /// Returns how many tokens were sent to processes that had ended; nobody can tell whether
    /// they arrived before.
    #[must_use]
    pub fn sent_to_dead(&self, budget: usize) -> u64 {
        let id = Self::budget(budget);
        self.stranded.values().filter(|(of, _)| *of == id).map(|(_, amount)| amount).sum()
    }

    pub(super) fn note_stranded(&mut self, envelope: &Envelope) {
        if let Message::Transfer(transfer) = &envelope.message {
            let id = (envelope.from, envelope.to, transfer.seq);
            self.stranded.insert(id, (transfer.budget.clone(), transfer.amount.0));
        }
    }

    pub(super) fn note_death(&mut self, vm: usize) {
        let Some(node) = self.node(vm) else {
            return;
        };
        let had = (0..self.shape.limits.len()).map(|budget| {
            let figures = node.balance(&Self::budget(budget));
            let ready = figures.free.0 + figures.reserved.0 + figures.sealed.0;
            ready
                + figures.returning_sealed.0
                + figures.parked.0
                + figures.in_transit.0
                + figures.returning_free.0
        });
        let had = had.collect();
        self.deaths.push(Death { vm, at: self.now, had });
    }
}
