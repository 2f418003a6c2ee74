//! Calls to the platform that are under way, and what each is for.

use std::collections::HashMap;

use crate::event::StoreKey;
use crate::ids::{Service, StoreCallId};
use crate::rollout::RolloutRecord;
use crate::view::View;

/// What a call to the platform is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Reads a value that others wrote.
    Read(StoreKey),
    /// Writes the view.
    Write(View),
    /// Reads or writes a shard of the ledger.
    Draw(u32),
    /// Reads the record of a roll-out, or writes what is named.
    Rollout(Service, Option<RolloutRecord>),
    /// Reads the requests that are blocked.
    PoisonRead,
    /// Writes the requests that are blocked.
    PoisonWrite,
}

/// The calls under way.
#[derive(Debug, Default)]
pub(crate) struct PendingCalls {
    /// How many were made.
    made: u64,
    open: HashMap<StoreCallId, Purpose>,
}

impl PendingCalls {
    /// Notes a call and names it; no two calls of a process have the same name.
    pub(crate) fn begin(&mut self, purpose: Purpose) -> StoreCallId {
        self.made += 1;
        let ticket = StoreCallId(self.made);
        self.open.insert(ticket, purpose);
        ticket
    }

    /// Returns what a call was for, once.
    pub(crate) fn end(&mut self, ticket: StoreCallId) -> Option<Purpose> {
        self.open.remove(&ticket)
    }

    /// Tells whether a call about a value of this kind is under way.
    pub(crate) fn is_open(&self, name: &StoreKey) -> bool {
        self.open.values().any(|purpose| match purpose {
            Purpose::Read(n) => n == name,
            Purpose::Write(_) => *name == StoreKey::View,
            Purpose::Draw(_)
            | Purpose::Rollout(..)
            | Purpose::PoisonRead
            | Purpose::PoisonWrite => false,
        })
    }
}
