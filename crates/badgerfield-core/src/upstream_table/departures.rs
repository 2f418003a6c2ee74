//! Records when this process learns from the list that upstreams leave.
//!
//! An upstream accepts requests for a limited time after it has announced that it leaves. Whether a
//! process learned of that in time depends on how old its list was, so both are recorded for the
//! log.

use std::time::Duration;

use super::UpstreamTable;
use crate::amount::Time;
use crate::ids::UpstreamId;

/// The maximum number of departures that are kept until they are taken.
const MAX_DEPARTURES: usize = 8;

/// An upstream of which this process has just learned that it leaves or is gone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Departure {
    /// The id of the upstream.
    pub id: UpstreamId,
    /// Whether its entry was removed; otherwise the entry says that it leaves.
    pub removed: bool,
    /// The revision at which the entry was written or removed.
    pub revision: u64,
    /// The time since the list was last confirmed before; `None` if there was no list.
    pub list_age: Option<Duration>,
    /// The number of requests of this process that run at the upstream.
    pub running: u32,
    /// The time since this process last sent it a request; `None` if it never did.
    pub last_sent: Option<Duration>,
}

impl UpstreamTable {
    /// Records which of the changed upstreams no longer accept requests.
    pub(super) fn record_departures(
        &mut self,
        now: Time,
        changed: &[UpstreamId],
        list_age: Option<Duration>,
    ) {
        for id in changed {
            if self.departures.len() >= MAX_DEPARTURES {
                return;
            }
            let Some(upstream) = self.upstreams.get(id) else {
                continue;
            };
            let removed = upstream.removed_at.is_some();
            if !removed && !upstream.info.leaving {
                continue;
            }
            self.departures.push(Departure {
                id: id.clone(),
                removed,
                revision: upstream.revision,
                list_age,
                running: upstream.running,
                last_sent: upstream.last_sent_at.map(|at| now.since(at)),
            });
        }
    }

    /// Takes the upstreams of which this process has learned since the last call that they leave.
    pub fn take_departures(&mut self) -> Vec<Departure> {
        std::mem::take(&mut self.departures)
    }
}
