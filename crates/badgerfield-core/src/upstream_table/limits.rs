//! The rate limits that upstreams announce, in the table of upstreams.

use std::time::Duration;

use super::UpstreamTable;
use super::upstream::Upstream;
use crate::amount::Time;
use crate::event::is_due;
use crate::ids::{Service, UpstreamId};
use crate::rate_limit::{LimitReport, MAX_REPORTS, RateLimit, sender_rank};

/// The minimum time between two reports of limits to each neighbour.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// A changed rate limit.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitChange {
    /// The upstream that announced it.
    pub upstream: UpstreamId,
    /// The limit now in force; `None` if the limit has ended.
    pub limit: Option<RateLimit>,
    /// The previous limit.
    pub before: Option<RateLimit>,
}

impl UpstreamTable {
    /// Records the limit that an upstream announces in an answer, if any; returns the change.
    pub fn record_limit(
        &mut self,
        now: Time,
        id: &UpstreamId,
        limit: Option<RateLimit>,
    ) -> Option<LimitChange> {
        let senders = self.slow_start.senders();
        let upstream = self.upstreams.get_mut(id)?;
        let (before, seed) = (upstream.announced.limit.limit(), upstream.seed);
        upstream.announced.limit.record(now, limit, || sender_rank(senders, seed));
        self.has_limits |= limit.is_some();
        limit_change(upstream, before)
    }

    /// Applies limits that another process reported; returns the changes.
    pub fn apply_limit_reports(&mut self, now: Time, reports: &[LimitReport]) -> Vec<LimitChange> {
        let senders = self.slow_start.senders();
        let mut changes = Vec::new();
        for upstream in self.upstreams.values_mut() {
            let short_id = upstream.short_id();
            let report = reports.iter().find(|report| report.upstream == short_id);
            let Some(report) = report.filter(|report| report.process == upstream.process) else {
                continue;
            };
            let (before, seed) = (upstream.announced.limit.limit(), upstream.seed);
            upstream.announced.limit.apply_report(now, report, || sender_rank(senders, seed));
            self.has_limits |= report.limit.is_some();
            changes.extend(limit_change(upstream, before));
        }
        changes
    }

    /// Returns the limits to report to other processes now; if there are more than fit into one
    /// report, each report takes the next ones.
    pub fn limit_reports(&mut self, now: Time) -> Vec<LimitReport> {
        if !is_due(now, self.limits_reported_at, REPORT_INTERVAL) {
            return Vec::new();
        }
        let report = |u: &Upstream| u.announced.limit.report(now, u.short_id(), u.process);
        let all: Vec<_> = self.upstreams.values().filter_map(report).collect();
        if all.is_empty() {
            return all;
        }
        self.limits_reported_at = Some(now);
        let start = self.limits_offset % all.len();
        self.limits_offset = self.limits_offset.wrapping_add(MAX_REPORTS);
        all.iter().cycle().skip(start).take(all.len().min(MAX_REPORTS)).copied().collect()
    }

    /// Records a request for a service, whose upstreams may have limits.
    pub fn record_request(&mut self, now: Time, service: &Service) {
        if !self.has_limits {
            return;
        }
        for upstream in self.upstreams.values_mut().filter(|u| u.info.service == *service) {
            upstream.announced.limit.record_demand(now);
        }
    }

    /// Returns whether a request that was assigned to an upstream at `started` may still be sent
    /// there.
    pub fn can_still_send(&mut self, now: Time, id: &UpstreamId, started: Time) -> bool {
        let upstream = self.upstreams.get_mut(id);
        upstream.is_none_or(|upstream| {
            upstream.announced.back_off_until <= now
                && upstream.announced.limit.admits_started(now, started)
        })
    }

    /// Returns the number of upstreams with a limit.
    #[must_use]
    pub fn limited_count(&self) -> usize {
        let listed = self.upstreams.values().filter(|u| u.removed_at.is_none());
        listed.filter(|u| u.announced.limit.limit().is_some()).count()
    }
}

fn limit_change(upstream: &Upstream, before: Option<RateLimit>) -> Option<LimitChange> {
    let limit = upstream.announced.limit.limit();
    let id = || upstream.info.id.clone();
    (before != limit).then(|| LimitChange { upstream: id(), limit, before })
}
