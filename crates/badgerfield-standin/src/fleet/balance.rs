//! Accounting of a budget's tokens, and of the tokens that processes held when they ended.

use std::fmt;

use badgerfield_core::amount::Time;
use badgerfield_core::message::{Envelope, Message};

use super::Fleet;

/// The tokens of one budget by state. The states sum to the limit unless there is an excess.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Balance {
    /// The limit of the budget.
    pub limit: u64,
    /// Spent on answers of upstreams.
    pub used: u64,
    /// Remaining in the ledger.
    pub left: u64,
    /// Available at running processes.
    pub free: u64,
    /// Reserved for running requests.
    pub reserved: u64,
    /// Sealed, or sealed and being returned to the ledger.
    pub sealed: u64,
    /// Recorded as unspent at a witness.
    pub parked: u64,
    /// In transit between processes, or free and being returned to the ledger.
    pub in_transit: u64,
    /// In none of the other states.
    pub lost: u64,
    /// The amount by which the sum of all states exceeds the limit.
    pub excess: u64,
}

/// A process that was killed or ended by itself, with the tokens it held then.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedProcess {
    /// The VM of the process.
    pub vm: usize,
    /// When the process ended.
    pub at: Time,
    /// The tokens that it held of each budget: reserved, free, sealed, parked or in transit.
    pub tokens: Vec<u64>,
}

impl fmt::Display for Balance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { limit, used, left, free, reserved, sealed, parked, in_transit, lost, excess } =
            self;
        write!(
            f,
            "limit={limit} used={used} left={left} free={free} reserved={reserved} \
             sealed={sealed} parked={parked} in_transit={in_transit} lost={lost} excess={excess}"
        )
    }
}

impl Fleet {
    /// Computes the balance of a budget.
    ///
    /// Tokens in transit count at their sender until it receives the acknowledgment. Tokens of
    /// running requests count as reserved and as used, so the balance is exact only if few requests
    /// run.
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
            balance.in_transit += figures.in_transit.0 + figures.returning_free.0;
        }
        let Balance { used, left, free, reserved, sealed, parked, in_transit, .. } = balance;
        let known = used + left + free + reserved + sealed + parked + in_transit;
        balance.lost = balance.limit.saturating_sub(known);
        balance.excess = known.saturating_sub(balance.limit);
        balance
    }

    /// Returns the processes that have ended, in order.
    #[must_use]
    pub fn ended_processes(&self) -> &[EndedProcess] {
        &self.ended_processes
    }

    /// Returns how many tokens of a budget were in transfers sent to processes that had ended.
    ///
    /// Such a transfer may be a retry: the receiver may have applied the transfer before it ended.
    #[must_use]
    pub fn sent_to_ended_processes(&self, budget: usize) -> u64 {
        let id = Self::budget(budget);
        self.undeliverable.values().filter(|(of, _)| *of == id).map(|(_, amount)| amount).sum()
    }

    pub(super) fn record_undeliverable(&mut self, envelope: &Envelope) {
        if let Message::Transfer(transfer) = &envelope.message {
            let id = (envelope.from, envelope.to, transfer.seq);
            self.undeliverable.insert(id, (transfer.budget.clone(), transfer.amount.0));
        }
    }

    pub(super) fn record_process_end(&mut self, vm: usize) {
        let Some(node) = self.node(vm) else {
            return;
        };
        let held = (0..self.shape.limits.len()).map(|budget| {
            let figures = node.balance(&Self::budget(budget));
            let spendable = figures.free.0 + figures.reserved.0 + figures.sealed.0;
            spendable
                + figures.returning_sealed.0
                + figures.parked.0
                + figures.in_transit.0
                + figures.returning_free.0
        });
        let tokens = held.collect();
        self.ended_processes.push(EndedProcess { vm, at: self.now, tokens });
    }
}
