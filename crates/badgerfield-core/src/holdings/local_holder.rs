//! This process as a holder: who it is to the ledger, and how it seals tokens.

use std::time::Duration;

use crate::amount::Time;
use crate::ids::{Incarnation, VmId};
use crate::seal::FleetClock;

/// The promise for sealed tokens is renewed only if the ledger has answered within this time.
const MAX_REPLY_AGE: Duration = Duration::from_millis(1100);

/// The data with which a process seals tokens.
#[derive(Debug)]
pub(crate) struct Sealing {
    pub(crate) vm: VmId,
    pub(crate) clock: FleetClock,
    /// When the ledger last answered an operation.
    pub(crate) last_reply: Option<Time>,
}

impl Sealing {
    /// Returns whether the ledger has answered recently, which shows that the store is reachable.
    pub(super) fn is_store_reachable(&self, now: Time) -> bool {
        self.last_reply.is_some_and(|at| now.since(at) < MAX_REPLY_AGE)
    }
}

/// This process as the author of ledger operations.
#[derive(Debug)]
pub(crate) struct LocalHolder {
    pub(crate) me: Incarnation,
    /// `None` if the process parks tokens instead of sealing them.
    pub(crate) sealing: Option<Sealing>,
}

impl LocalHolder {
    /// Returns whether the ledger has answered recently. Without sealing this is never known.
    pub(super) fn is_store_reachable(&self, now: Time) -> bool {
        self.sealing.as_ref().is_some_and(|sealing| sealing.is_store_reachable(now))
    }
}
