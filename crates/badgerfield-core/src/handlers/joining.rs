//! Joining the view: the first write of a process, its announcement, and the work of the hosts that
//! add announced processes.

use std::sync::Arc;

use bytes::Bytes;

use crate::amount::Time;
use crate::event::{Command, Outbox, StoreCall, StoreKey, StoreResult, Versioned};
use crate::membership::Membership;
use crate::node::Node;
use crate::pending_calls::Purpose;
use crate::view::{MAX_SMALL_VIEW_MEMBERS, View};

impl Node {
    /// Writes a view with only this process, as if the store had none.
    ///
    /// In a fleet that starts, one process succeeds. The others get the stored view with the
    /// conflict, so that they need not read it first.
    pub(crate) fn start_joining(&self, now: Time, out: &mut Outbox) {
        let mut members = self.state.membership();
        members.view_read_at = Some(now);
        members.view_requested_at = Some(now);
        members.view_written_at = Some(now);
        let view = View::default().with_member(members.me.clone(), false);
        let value = Bytes::from(view.encode());
        let ticket = members.store_calls.begin(Purpose::FirstWrite(view));
        out.push(Command::CallStore(
            ticket,
            StoreCall::CompareAndSwap { key: StoreKey::View, expected_revision: 0, value },
        ));
    }

    /// Handles the result of the first write of the view.
    pub(super) fn handle_first_write(
        &self,
        now: Time,
        view: &View,
        result: StoreResult,
        out: &mut Outbox,
    ) {
        match result {
            StoreResult::Written(revision) => {
                let found = Versioned { value: Some(Bytes::from(view.encode())), revision };
                // The view was empty before, so all members have joined since.
                self.state.membership().joining.record_view(&View::default());
                self.apply_stored_view(now, &found, out);
            }
            StoreResult::Conflict(found) => {
                self.apply_stored_view(now, &found, out);
                let mut members = self.state.membership();
                members.view_written_at = None;
                // A small view without this VM is that of a fleet which starts at this moment: all
                // its processes would write again.
                let is_starting = members.stored.members.len() <= MAX_SMALL_VIEW_MEMBERS
                    && members.stored.members.iter().all(|m| m.vm != members.me.vm);
                if is_starting {
                    members.joining.record_conflict(now, self.config.seed);
                }
                drop(members);
                self.write_view(now, out);
            }
            // Whether the write succeeded is known after a read.
            _ => self.state.membership().view_read_at = None,
        }
    }

    /// Handles the result of the announcement of this process.
    pub(super) fn handle_announced(&self, now: Time, result: &StoreResult, out: &mut Outbox) {
        match result {
            StoreResult::Written(revision) => {
                self.state.membership().joining.record_announced(*revision);
            }
            StoreResult::Conflict(found) => {
                let mut members = self.state.membership();
                let me = members.me.clone();
                members.joining.record_other_announcement(found, &me);
                drop(members);
                self.write_view(now, out);
            }
            // A write without an answer may have succeeded; the next one finds out.
            _ => {}
        }
    }

    /// Returns whether this process watches the announcements of processes that are joining.
    #[must_use]
    pub fn is_join_host(&self) -> bool {
        let members = self.state.membership();
        members.is_member() && members.host_rank().is_some()
    }

    /// Adds processes that have announced themselves, once no further ones arrive.
    pub(crate) fn add_joiners(&self, now: Time, found: &[Versioned], out: &mut Outbox) {
        {
            let mut members = self.state.membership();
            let stored = Arc::clone(&members.stored);
            members.joining.add_joiners(now, &stored, found);
        }
        self.write_view(now, out);
    }
}

/// Writes the announcement of this process over one with a revision.
pub(super) fn announce(members: &mut Membership, expected_revision: u64, out: &mut Outbox) {
    let key = StoreKey::Joiner(members.me.vm.clone());
    if members.store_calls.is_pending(&key) {
        return;
    }
    let me = members.me.clone();
    let value = Bytes::from(members.joining.announcement(&me));
    let ticket = members.store_calls.begin(Purpose::Announce);
    out.push(Command::CallStore(
        ticket,
        StoreCall::CompareAndSwap { key, expected_revision, value },
    ));
}
