//! How the answers of upstreams have ended lately.

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

    /// Returns how the recent answers of an upstream have ended. Nothing is known of one that is not
    /// listed.
    #[must_use]
    pub fn answer_record(&self, now: Time, id: &UpstreamId) -> AnswerRecord {
        self.upstreams.get(id).map(|upstream| upstream.answers.decayed(now)).unwrap_or_default()
    }
}
