//! What upstreams say of themselves in their answers.

use std::sync::Arc;
use std::time::Duration;

use badgerfield_core::Event;
use badgerfield_core::ids::{Incarnation, UpstreamId};
use badgerfield_core::rate_limit::{LimitReport, RateLimit};
use hyper::{HeaderMap, StatusCode};

use crate::adapter::UpstreamAnnouncement;
use crate::driver::Driver;
use crate::gateway::record;
use crate::gateway::state::Gateway;

impl Driver {
    /// Takes in what the head of an answer says of the upstream that was asked.
    pub(crate) fn hear_upstream(
        self: &Arc<Self>,
        gateway: &Gateway,
        id: &str,
        (upstream, process): (&UpstreamId, u32),
        (status, head): (StatusCode, &HeaderMap),
    ) {
        let Some(statement) = gateway.adapter.dialect.parse_announcement(upstream, status, head)
        else {
            return;
        };
        // The answer of a process that has ended says nothing of the one that has its id now.
        if !gateway.replicas().is_current_process(upstream, process) {
            return;
        }
        if statement.is_unreadable() {
            self.note_unreadable(gateway, upstream);
        }
        let UpstreamAnnouncement { limit, leaving, back_off: rest } = statement;
        if leaving {
            self.hear_leaving(gateway, id, upstream);
        }
        if let Some(rest) = rest.value() {
            gateway.replicas().record_back_off(self.now(), upstream, rest);
            record::asks_rest(id, upstream, rest);
        }
        self.hear_limit(gateway, id, upstream, limit.value());
    }

    fn hear_leaving(&self, gateway: &Gateway, id: &str, upstream: &UpstreamId) {
        let (is_news, (revision, learned)) = {
            let mut replicas = gateway.replicas();
            (replicas.record_leaving(upstream), replicas.last_update())
        };
        if !is_news {
            return;
        }
        let list_age = learned.map_or(Duration::ZERO, |learned| self.now().since(learned));
        record::says_leaving(id, upstream, revision, list_age);
        gateway.connections.close(std::slice::from_ref(upstream));
    }

    fn hear_limit(
        self: &Arc<Self>,
        gateway: &Gateway,
        id: &str,
        upstream: &UpstreamId,
        limit: Option<RateLimit>,
    ) {
        let change = gateway.replicas().record_limit(self.now(), upstream, limit);
        let Some(change) = change else {
            return;
        };
        record::limit_named(id, &change);
        let notes = gateway.replicas().limit_reports(self.now());
        self.feed(Event::LimitReports(notes));
    }

    /// Takes in what another process knows of the limits that upstreams name.
    pub(crate) fn learn_limits(&self, from: Incarnation, notes: &[LimitReport]) {
        let Some(gateway) = self.gateway() else {
            return;
        };
        let changes = gateway.replicas().apply_limit_reports(self.now(), notes);
        for change in &changes {
            record::limit_learned(from, change);
        }
    }

    fn note_unreadable(&self, gateway: &Gateway, upstream: &UpstreamId) {
        self.gateway_counts().unreadable.inc();
        if gateway.replicas().record_unreadable(upstream) {
            record::unreadable_statement(upstream);
        }
    }
}
