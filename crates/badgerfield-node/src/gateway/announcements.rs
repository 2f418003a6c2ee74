//! Announcements of upstreams in their response headers.

use std::sync::Arc;
use std::time::Duration;

use badgerfield_core::Event;
use badgerfield_core::brittle::{BrittleReport, RejectionTolerance};
use badgerfield_core::ids::{Incarnation, UpstreamId};
use badgerfield_core::rate_limit::{LimitReport, RateLimit};
use hyper::{HeaderMap, StatusCode};

use crate::adapter::UpstreamAnnouncement;
use crate::driver::Driver;
use crate::gateway::request_log;
use crate::gateway::state::Gateway;

impl Driver {
    /// Applies the announcements in the head of a response from `upstream`.
    pub(crate) fn apply_announcement(
        self: &Arc<Self>,
        gateway: &Gateway,
        id: &str,
        (upstream, process): (&UpstreamId, u32),
        (status, head): (StatusCode, &HeaderMap),
    ) {
        let Some(announcement) =
            gateway.adapter.protocol.parse_announcement(upstream, status, head)
        else {
            return;
        };
        // The response of a process that has exited says nothing about the process that has its id
        // now.
        if !gateway.upstreams().is_current_process(upstream, process) {
            return;
        }
        if announcement.has_invalid_header() {
            self.record_invalid_header(gateway, upstream);
        }
        let UpstreamAnnouncement { limit, leaving, back_off, brittle } = announcement;
        if leaving {
            self.record_leaving(gateway, id, upstream);
        }
        if let Some(back_off) = back_off.value() {
            gateway.upstreams().record_back_off(self.now(), upstream, back_off);
            request_log::back_off(id, upstream, back_off);
        }
        self.record_limit(gateway, id, upstream, limit.value());
        self.record_brittleness(gateway, id, upstream, brittle.value());
    }

    fn record_leaving(&self, gateway: &Gateway, id: &str, upstream: &UpstreamId) {
        let (is_new, (revision, updated_at)) = {
            let mut upstreams = gateway.upstreams();
            (upstreams.record_leaving(upstream), upstreams.last_update())
        };
        if !is_new {
            return;
        }
        let list_age = updated_at.map_or(Duration::ZERO, |updated_at| self.now().since(updated_at));
        request_log::leaving(id, upstream, revision, list_age);
        gateway.connections.close(std::slice::from_ref(upstream));
    }

    fn record_limit(
        self: &Arc<Self>,
        gateway: &Gateway,
        id: &str,
        upstream: &UpstreamId,
        limit: Option<RateLimit>,
    ) {
        let change = gateway.upstreams().record_limit(self.now(), upstream, limit);
        let Some(change) = change else {
            return;
        };
        request_log::limit_announced(id, &change);
        let reports = gateway.upstreams().limit_reports(self.now());
        self.handle_event(Event::LimitReports(reports));
    }

    /// Applies the rate limits that another process reported.
    pub(crate) fn apply_limit_reports(&self, from: Incarnation, reports: &[LimitReport]) {
        let Some(gateway) = self.gateway() else {
            return;
        };
        let changes = gateway.upstreams().apply_limit_reports(self.now(), reports);
        for change in &changes {
            request_log::limit_received(from, change);
        }
    }

    fn record_brittleness(
        self: &Arc<Self>,
        gateway: &Gateway,
        id: &str,
        upstream: &UpstreamId,
        tolerance: Option<RejectionTolerance>,
    ) {
        let change = gateway.upstreams().record_brittleness(self.now(), upstream, tolerance);
        let Some(change) = change else {
            return;
        };
        request_log::brittle_announced(id, upstream, &change);
        gateway.places.notify();
        let reports = gateway.upstreams().brittle_reports(self.now());
        self.handle_event(Event::BrittleReports(reports));
    }

    /// Applies the reports of another process of brittle services.
    pub(crate) fn apply_brittle_reports(&self, from: Incarnation, reports: &[BrittleReport]) {
        let Some(gateway) = self.gateway() else {
            return;
        };
        let changes = gateway.upstreams().apply_brittle_reports(self.now(), reports);
        for change in &changes {
            request_log::brittle_received(from, change);
        }
        if !changes.is_empty() {
            gateway.places.notify();
        }
    }

    fn record_invalid_header(&self, gateway: &Gateway, upstream: &UpstreamId) {
        self.gateway_counts().invalid_announcements.inc();
        if gateway.upstreams().record_unreadable(upstream) {
            request_log::invalid_announcement(upstream);
        }
    }
}
