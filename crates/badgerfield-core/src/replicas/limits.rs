//! What upstreams name as limits on the requests that all processes send them.

use super::Replicas;
use crate::amount::Time;
use crate::ids::UpstreamId;
use crate::request_limit::RequestLimit;

impl Replicas {
    /// Takes in which limit an upstream names in an answer, if any; returns the one that it named
    /// before, if that has changed.
    pub fn hear_limit(
        &mut self,
        _now: Time,
        id: &UpstreamId,
        limit: Option<RequestLimit>,
    ) -> Option<Option<RequestLimit>> {
        let replica = self.table.get_mut(id)?;
        let before = std::mem::replace(&mut replica.limit, limit);
        (before != limit).then_some(before)
    }

    /// Notes that an upstream states something of itself that cannot be read; tells whether that
    /// is the first time.
    pub fn note_unreadable(&mut self, id: &UpstreamId) -> bool {
        let replica = self.table.get_mut(id);
        replica.is_some_and(|replica| !std::mem::replace(&mut replica.is_unreadable, true))
    }
}
