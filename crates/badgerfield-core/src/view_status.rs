//! How much a view holds.

use crate::ids::Epoch;
use crate::view::View;

/// The size of the view in force at a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ViewStatus {
    /// The epoch of the view.
    pub epoch: Epoch,
    /// The newest epoch whose handovers are complete, as far as the process knows.
    pub complete_epoch: Epoch,
    /// The number of members.
    pub members: usize,
    /// The number of recent arbiters that the view contains.
    pub recent_arbiters: usize,
    /// The number of arbiters in all sets of uncertain keys.
    pub uncertain_arbiters: usize,
    /// The size of the encoded view, in bytes.
    pub encoded_bytes: usize,
}

impl ViewStatus {
    /// Returns the status of a view.
    #[must_use]
    pub fn new(view: &View, complete_epoch: Epoch) -> Self {
        Self {
            epoch: view.epoch,
            complete_epoch,
            members: view.members.len(),
            recent_arbiters: view.recent_arbiters.len(),
            uncertain_arbiters: view.uncertain_keys.iter().map(|keys| keys.arbiters.len()).sum(),
            encoded_bytes: view.encode().len(),
        }
    }
}
