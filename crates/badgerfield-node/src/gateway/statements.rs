//! What upstreams say of themselves in their answers.

use badgerfield_core::ids::UpstreamId;
use badgerfield_core::request_limit::RequestLimit;
use hyper::{HeaderMap, StatusCode};

use crate::adapter::{Stated, UpstreamStatement};
use crate::driver::Driver;
use crate::gateway::record;
use crate::gateway::state::Gateway;

impl Driver {
    /// Takes in what the head of an answer says of the upstream that was asked.
    pub(crate) fn hear_upstream(
        &self,
        gateway: &Gateway,
        id: &str,
        upstream: &UpstreamId,
        (status, head): (StatusCode, &HeaderMap),
    ) {
        let Some(statement) = gateway.adapter.dialect.statement(upstream, status, head) else {
            return;
        };
        let UpstreamStatement { limit } = statement;
        if limit == Stated::Unreadable {
            self.note_unreadable(gateway, upstream);
        }
        self.hear_limit(gateway, id, upstream, limit.value());
    }

    fn hear_limit(
        &self,
        gateway: &Gateway,
        id: &str,
        upstream: &UpstreamId,
        limit: Option<RequestLimit>,
    ) {
        let before = gateway.replicas().hear_limit(self.now(), upstream, limit);
        if let Some(before) = before {
            record::limit_named(id, upstream, limit, before);
        }
    }

    fn note_unreadable(&self, gateway: &Gateway, upstream: &UpstreamId) {
        self.gateway_counts().unreadable.inc();
        if gateway.replicas().note_unreadable(upstream) {
            record::unreadable_statement(upstream);
        }
    }
}
