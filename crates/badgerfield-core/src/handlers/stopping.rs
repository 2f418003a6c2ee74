//! Stopping: leaves the directory, finishes running requests, returns all holdings, and exits.

use std::time::Duration;

use crate::amount::Time;
use crate::event::{Command, Outbox};
use crate::membership::MembershipIntent;
use crate::node::Node;

/// Maximum time for the handover of charges and holdings after the last run has ended.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(30);
/// Idle time after which pending charges are handed to another process because their arbiters do
/// not answer.
const CHARGES_HANDOVER_DELAY: Duration = Duration::from_secs(3);

impl Node {
    /// Starts a planned stop.
    pub(crate) fn stop(&self, now: Time, out: &mut Outbox) {
        {
            let mut members = self.state.membership();
            if members.stopping_since.is_some() {
                return;
            }
            members.stopping_since = Some(now);
            members.intent = MembershipIntent::Leave;
        }
        self.state.holdings().retire();
        self.hand_over_streams(now, out);
        self.tick_store_reads(now, out);
    }

    /// Takes the next step of a planned stop.
    pub(crate) fn tick_stop(&self, now: Time, out: &mut Outbox) {
        let (since, removed) = {
            let members = self.state.membership();
            let Some(since) = members.stopping_since else {
                return;
            };
            (since, members.removed)
        };
        let is_listed = now.since(since) < self.config.directory_ttl;
        let has_active_runs = self.state.runs().active_count() > 0;
        if (is_listed && !removed) || has_active_runs {
            self.state.membership().idle_since = None;
            return;
        }
        let idle_since = *self.state.membership().idle_since.get_or_insert(now);
        let idle = now.since(idle_since);
        if self.has_quit() {
            out.push(Command::Exit);
            return;
        }
        let is_settled =
            self.state.charges().is_empty() && self.state.claims().is_handover_complete();
        if !is_settled && idle >= CHARGES_HANDOVER_DELAY {
            self.hand_over_charges(now, out);
        }
        if !is_settled && idle < HANDOVER_TIMEOUT {
            return;
        }
        self.return_holdings(now, idle, removed, out);
    }

    /// Returns whether this process has given back everything and its view shows that it has quit.
    ///
    /// Whatever reaches it from then on it can pass on to none: peers ignore the transfers of a
    /// process outside the view, the ledger its operations, and no member acknowledges its
    /// handovers, because it follows no further views. What it held is at others: it asks to quit
    /// only once its claims were handed over and its holdings were closed. A process that is still
    /// in the view must wait, even with nothing left: it is the second copy of the claims of its
    /// last requests, which their arbiters copy elsewhere under the view without it.
    fn has_quit(&self) -> bool {
        let is_gone = {
            let members = self.state.membership();
            members.intent == MembershipIntent::Quit && !members.is_member()
        };
        is_gone && self.state.charges().is_empty()
    }

    fn return_holdings(&self, now: Time, idle: Duration, removed: bool, out: &mut Outbox) {
        let closed = {
            let mut holdings = self.state.holdings();
            holdings.close();
            if idle >= self.config.pacing.return_timeout {
                holdings.hand_over(now, out);
            }
            holdings.is_closed() || removed
        };
        if !closed && idle < HANDOVER_TIMEOUT {
            return;
        }
        let has_left = {
            let mut members = self.state.membership();
            // Claims are handed over under the view in which this process leaves. If it quit before,
            // a host would remove it with claims that nobody else has.
            if members.is_active() && idle < HANDOVER_TIMEOUT {
                return;
            }
            members.intent = MembershipIntent::Quit;
            !members.is_member()
        };
        if has_left || idle >= HANDOVER_TIMEOUT {
            out.push(Command::Exit);
        }
    }
}
