//! What the process of an upstream has said of itself in its answers.

use super::Replicas;
use crate::ids::UpstreamId;
use crate::request_limit::KnownLimit;

/// What one process of an upstream has said of itself; another one under its id has said nothing.
#[derive(Debug, Default)]
pub(super) struct Statements {
    /// How many requests a second it takes from all processes, and which of them are this one's.
    pub(super) limit: KnownLimit,
    /// Whether it is about to leave.
    pub(super) is_leaving: bool,
    /// Whether it has said something that cannot be read.
    is_unreadable: bool,
}

impl Replicas {
    /// Takes in that an upstream has said that it is about to leave; tells whether that is news.
    /// Its process takes that back no more, whatever the list says.
    pub fn hear_leaving(&mut self, id: &UpstreamId) -> bool {
        let replica = self.table.get_mut(id);
        replica.is_some_and(|replica| !std::mem::replace(&mut replica.said.is_leaving, true))
    }

    /// Notes that an upstream has said something of itself that cannot be read; tells whether that
    /// is the first time.
    pub fn note_unreadable(&mut self, id: &UpstreamId) -> bool {
        let replica = self.table.get_mut(id);
        replica.is_some_and(|replica| !std::mem::replace(&mut replica.said.is_unreadable, true))
    }
}
