//! Reports of members that are silent or overloaded: sends them to all members and applies them.

use crate::amount::Time;
use crate::broadcast;
use crate::event::{Command, LogEntry, Outbox};
use crate::message::{ConditionUpdate, Message};
use crate::node::Node;

impl Node {
    /// Reports members that have fallen silent or are heard from again, and whether this process is
    /// overloaded.
    pub(crate) fn tick_availability(&self, now: Time, out: &mut Outbox) {
        let reports = self.state.membership().condition_reports(now);
        if reports.is_empty() {
            return;
        }
        for report in &reports {
            out.push(Command::Log(LogEntry::Condition(*report)));
        }
        let members = self.state.membership();
        let reach = broadcast::full_reach(&members.view);
        for (to, reach) in members.report_targets(now, reach, &reports) {
            let update = ConditionUpdate { reports: reports.clone(), reach };
            out.send(to, Message::Conditions(update));
        }
    }

    /// Applies reports and forwards them to this process's part of the ring.
    pub(crate) fn receive_conditions(&self, now: Time, update: ConditionUpdate, out: &mut Outbox) {
        let ConditionUpdate { reports, reach } = update;
        let mut members = self.state.membership();
        for report in &reports {
            members.apply_condition_report(now, *report);
        }
        if reach == 0 {
            return;
        }
        for (to, reach) in members.report_targets(now, reach, &reports) {
            let update = ConditionUpdate { reports: reports.clone(), reach };
            out.send(to, Message::Conditions(update));
        }
    }
}
