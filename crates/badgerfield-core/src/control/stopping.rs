//! Stopping: leaves the directory, ends what runs, gives everything back, and exits.

use std::time::Duration;

use crate::amount::Time;
use crate::event::{Order, Outbox};
use crate::membership::Wish;
use crate::node::Node;

/// How long the hand-over of charges and holdings may take once nothing runs.
const HAND_OVER: Duration = Duration::from_secs(30);
/// When open charges go to another process because their arbiters do not answer.
const HAND_CHARGES: Duration = Duration::from_secs(3);

impl Node {
    /// Starts a planned stop.
    pub(crate) fn stop(&self, now: Time, out: &mut Outbox) {
        {
            let mut members = self.board.members();
            if members.stopping.is_some() {
                return;
            }
            members.stopping = Some(now);
            members.wish = Wish::Leave;
        }
        self.board.holdings().retire();
        self.read_platform(now, out);
    }

    /// Moves a planned stop on.
    pub(crate) fn tick_stop(&self, now: Time, out: &mut Outbox) {
        let (since, removed) = {
            let members = self.board.members();
            let Some(since) = members.stopping else {
                return;
            };
            (since, members.removed)
        };
        let open = now.since(since) < self.config.directory_ttl;
        let busy = self.board.runs().active_count() > 0;
        if (open && !removed) || busy {
            self.board.members().quiet = None;
            return;
        }
        let quiet = *self.board.members().quiet.get_or_insert(now);
        let idle = now.since(quiet);
        let settled = self.board.charges().is_empty() && self.board.claims().is_handed_over();
        if !settled && idle >= HAND_CHARGES {
            self.hand_charges(now, out);
        }
        if !settled && idle < HAND_OVER {
            return;
        }
        self.hand_back(now, idle, removed, out);
    }

    fn hand_back(&self, now: Time, idle: Duration, removed: bool, out: &mut Outbox) {
        let closed = {
            let mut holdings = self.board.holdings();
            holdings.close();
            if idle >= self.config.pacing.hand_on {
                holdings.hand_over(now, out);
            }
            holdings.is_closed() || removed
        };
        if !closed && idle < HAND_OVER {
            return;
        }
        let gone = {
            let mut members = self.board.members();
            members.wish = Wish::Quit;
            !members.is_member()
        };
        if gone || idle >= HAND_OVER {
            out.push(Order::Exit);
        }
    }
}
