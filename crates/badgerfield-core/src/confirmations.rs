//! Confirmations of a view: which members have completed the handovers that it requires.
//!
//! A member confirms a view once all claims that it had to hand over have been acknowledged. A
//! member without claims confirms at once, without a message of its own. Confirmations are part
//! of heartbeats, one bit for each member, and each receiver merges and forwards them. All members
//! therefore receive all confirmations within a few heartbeats, whatever the size of the fleet.
//!
//! Within a view confirmations are only added, and the epoch determines the members, so that lost,
//! repeated or reordered messages do no harm.

use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, Incarnation};
use crate::view::View;

/// Members for each byte of the bitmap.
const MEMBERS_PER_BYTE: usize = 8;

/// The confirmations in a heartbeat.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmationReport {
    /// The newest epoch that all members of its view have confirmed.
    pub complete: Epoch,
    /// The members that have confirmed the sender's epoch: a bit for each member, in the order of
    /// the view. Empty if all have confirmed.
    pub bits: Vec<u8>,
}

/// The members that are known to have confirmed the current view.
#[derive(Debug, Default)]
pub(crate) struct Confirmations {
    bits: Vec<u8>,
    members: usize,
    missing: usize,
}

impl Confirmations {
    /// Returns the confirmations of a view that no member has confirmed yet.
    pub(crate) fn new(view: &View) -> Self {
        let members = view.members.len();
        Self { bits: vec![0; members.div_ceil(MEMBERS_PER_BYTE)], members, missing: members }
    }

    /// Returns whether every member has confirmed.
    pub(crate) fn is_complete(&self) -> bool {
        self.missing == 0 && self.members > 0
    }

    /// Records that a member has confirmed.
    pub(crate) fn confirm(&mut self, view: &View, id: Incarnation) {
        let Some(index) = view.members.iter().position(|m| m.incarnation == id) else {
            return;
        };
        if let Some(byte) = self.bits.get_mut(index / MEMBERS_PER_BYTE) {
            *byte |= 1 << (index % MEMBERS_PER_BYTE);
        }
        self.update_missing();
    }

    /// Records that all members have confirmed.
    pub(crate) fn confirm_all(&mut self) {
        self.bits.fill(u8::MAX);
        self.missing = 0;
    }

    /// Merges the confirmations that another process has for the same view.
    ///
    /// Returns whether any of them are new.
    pub(crate) fn merge(&mut self, bits: &[u8]) -> bool {
        if bits.len() != self.bits.len() {
            return false;
        }
        for (own, other) in self.bits.iter_mut().zip(bits) {
            *own |= other;
        }
        let missing_before = self.missing;
        self.update_missing();
        self.missing < missing_before
    }

    /// Returns the bits for a heartbeat, empty if all members have confirmed.
    pub(crate) fn bits(&self) -> Vec<u8> {
        if self.missing == 0 { Vec::new() } else { self.bits.clone() }
    }

    /// Updates the number of missing confirmations; bits beyond the last member are ignored.
    fn update_missing(&mut self) {
        let is_set = |index: &usize| {
            let byte = self.bits.get(index / MEMBERS_PER_BYTE).copied().unwrap_or_default();
            byte & (1 << (index % MEMBERS_PER_BYTE)) != 0
        };
        self.missing = self.members - (0..self.members).filter(is_set).count();
    }
}
