//! What is known of the ends of upstreams' answers.

use super::UpstreamTable;
use crate::amount::Time;
use crate::answer_record::{AnswerEnd, AnswerRecord};
use crate::ids::UpstreamId;

impl UpstreamTable {
    /// Records how an answer of an upstream has ended.
    pub fn record_answer_end(&mut self, now: Time, id: &UpstreamId, end: AnswerEnd) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.answers.record(now, end);
        }
    }

    /// Returns whether an upstream has said that it is about to leave, or has left the list.
    #[must_use]
    pub fn is_leaving(&self, id: &UpstreamId) -> bool {
        self.upstreams.get(id).is_none_or(|upstream| {
            upstream.info.leaving || upstream.announced.is_leaving || upstream.removed_at.is_some()
        })
    }

    /// Returns how the recent answers of an upstream have ended. Nothing is known of one that is not
    /// listed.
    #[must_use]
    pub fn answer_record(&self, now: Time, id: &UpstreamId) -> AnswerRecord {
        self.upstreams.get(id).map(|upstream| upstream.answers.decayed(now)).unwrap_or_default()
    }
}
