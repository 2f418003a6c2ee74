//! Applies the rules of rollouts to requests, and reports the results of requests by version.

use std::sync::Arc;
use std::time::Duration;

use badgerfield_core::Event;
use badgerfield_core::rollout::{Allowance, RolloutRules};

use crate::driver::Driver;
use crate::logs::PLATFORM;

/// Interval of reports in the absence of bad answers; other reports about requests have the same
/// interval.
pub(crate) const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Minimum time between two reports that are triggered by bad answers. Results in between are
/// part of the next report. The time is short compared with the seconds within which requests
/// to a bad version must stop.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);

impl Driver {
    /// Divides requests between versions by the given rules, and logs the rules that have changed.
    pub(crate) fn apply_rollout_rules(&self, rules: RolloutRules) {
        let Some(gateway) = self.gateway() else {
            return;
        };
        for rule in gateway.set_rollouts(rules) {
            self.metrics.rollouts.count_rule();
            log::info!(
                target: PLATFORM,
                "rollout rule service={} target={} allowance={} order={}",
                rule.service,
                rule.target,
                format_allowance(rule.allowance),
                rule.revision,
            );
        }
        // Closes idle connections to versions that receive no more requests.
        gateway.sweep(self.now());
    }

    /// Reports results of requests after a bad answer, unless such a report was sent within
    /// `MIN_REPORT_INTERVAL`.
    pub(crate) fn report_bad_answer(self: &Arc<Self>) {
        if self
            .gateway()
            .is_some_and(|gateway| gateway.try_start_report(self.now(), MIN_REPORT_INTERVAL))
        {
            self.report_rollouts();
        }
    }

    /// Reports the results of requests to services with a rollout.
    pub(crate) fn report_rollouts(self: &Arc<Self>) {
        let Some(gateway) = self.gateway().filter(|gateway| gateway.has_rollouts()) else {
            return;
        };
        let tallies = gateway.upstreams().rollout_tallies(self.now());
        self.handle_event(Event::RolloutTallies(tallies));
    }
}

/// Formats the allowance of a version: `nothing`, `all`, or its share of the requests in percent.
pub(crate) fn format_allowance(allowance: Allowance) -> String {
    match allowance {
        Allowance::Nothing => "nothing".to_owned(),
        Allowance::Share(share) => format!("{share}%"),
        Allowance::All => "all".to_owned(),
    }
}
