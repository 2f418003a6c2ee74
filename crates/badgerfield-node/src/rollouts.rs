//! Carries out roll-outs: divides requests between versions, and tells how they go.

use std::sync::Arc;
use std::time::Duration;

use badgerfield_core::Event;
use badgerfield_core::rollout::{Allowance, RolloutRules};

use crate::driver::Driver;
use crate::logs::PLATFORM;

/// How often a process tells how its requests went, without a bad answer: as often as what else
/// it tells of them.
pub(crate) const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// The least time between two times that a bad answer makes a process tell at once: what comes
/// in between waits for the next turn. It is short against the seconds in which a bad version
/// has to be left alone.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);

impl Driver {
    /// Divides requests between versions by these rules, and says in the log what has changed.
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
                allowance_word(rule.allowance),
                rule.revision,
            );
        }
        // Connections that lie idle at a version that gets nothing are of no more use.
        gateway.sweep(self.now());
    }

    /// Tells how requests went after a bad answer, unless that was told just now.
    pub(crate) fn tell_bad_answer(self: &Arc<Self>) {
        if self.gateway().is_some_and(|gateway| gateway.may_tell(self.now(), MIN_REPORT_INTERVAL)) {
            self.report_rollouts();
        }
    }

    /// Tells how requests went at services that are rolled out.
    pub(crate) fn report_rollouts(self: &Arc<Self>) {
        let Some(gateway) = self.gateway().filter(|gateway| gateway.rolls_out()) else {
            return;
        };
        let tallies = gateway.replicas().rollout_tallies(self.now());
        self.feed(Event::RolloutTallies(tallies));
    }
}

/// Writes what a version may get: nothing, all, or its share in hundredths.
pub(crate) fn allowance_word(allowance: Allowance) -> String {
    match allowance {
        Allowance::Nothing => "nothing".to_owned(),
        Allowance::Share(share) => format!("{share}%"),
        Allowance::All => "all".to_owned(),
    }
}
