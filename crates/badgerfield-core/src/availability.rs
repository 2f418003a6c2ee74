//! Which members callers should not be directed to: members that have fallen silent, and members
//! that have more work than they can do.
//!
//! In a large fleet each member hears from few others, but answers callers for all of them. A
//! member that notices that another one is silent, or that is overloaded itself, therefore tells
//! all members. Reports expire, so that a lost one does no lasting harm, and the number of reports
//! is bounded: a silent member has one reporter as a rule, and no member reports itself overloaded
//! while many others are, since callers have nowhere better to go then.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::amount::Time;
use crate::ids::Incarnation;

/// How long a member counts as silent after the report. The observers of a silent member remove it
/// from the view after this time.
const SILENT_TTL: Duration = Duration::from_secs(20);
/// How long a member counts as overloaded after its report, which it repeats while it is.
const OVERLOADED_TTL: Duration = Duration::from_secs(6);
/// How often an overloaded member repeats its report.
pub(crate) const OVERLOAD_REPORT_INTERVAL: Duration = Duration::from_secs(3);
/// The share of the members, in percent, that may count as overloaded at a time.
const MAX_OVERLOADED_PERCENT: usize = 12;
/// The additional time after which each further observer of a silent member reports it, if no
/// other one has.
const REPORT_STAGGER: Duration = Duration::from_millis(400);

/// The condition of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Condition {
    /// It serves callers.
    Available,
    /// It has more work than it can do.
    Overloaded,
    /// It sends nothing.
    Silent,
}

impl Condition {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Available => "available",
            Self::Overloaded => "overloaded",
            Self::Silent => "silent",
        }
    }
}

/// A report about a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConditionReport {
    /// The member that the report is about.
    pub member: Incarnation,
    /// Its condition.
    pub condition: Condition,
    /// The member that reports: the member itself, or one that hears from it.
    pub reporter: Incarnation,
    /// The number of the report among those of the reporter.
    pub serial: u64,
}

/// The reports that a process knows.
#[derive(Debug, Default)]
pub(crate) struct Availability {
    reports: BTreeMap<Incarnation, (ConditionReport, Time)>,
    last_serial: u64,
    /// Whether this process has more work than it can do.
    is_overloaded: bool,
    /// When this process last reported itself overloaded.
    overloaded_at: Option<Time>,
}

impl Availability {
    /// Applies a report; returns whether it is new.
    pub(crate) fn apply(&mut self, now: Time, report: ConditionReport) -> bool {
        let known = self.reports.get(&report.member);
        let is_older = known.is_some_and(|(known, _)| {
            known.reporter == report.reporter && known.serial >= report.serial
        });
        if is_older {
            return false;
        }
        self.reports.insert(report.member, (report, now));
        true
    }

    /// Returns the condition of a member according to the reports.
    pub(crate) fn condition(&self, now: Time, id: Incarnation) -> Condition {
        let Some((report, at)) = self.reports.get(&id) else {
            return Condition::Available;
        };
        let ttl = match report.condition {
            Condition::Available => return Condition::Available,
            Condition::Overloaded => OVERLOADED_TTL,
            Condition::Silent => SILENT_TTL,
        };
        if now.since(*at) < ttl { report.condition } else { Condition::Available }
    }

    /// Returns the members that have a condition.
    pub(crate) fn with_condition(&self, now: Time, wanted: Condition) -> BTreeSet<Incarnation> {
        let ids = self.reports.keys().copied();
        ids.filter(|id| self.condition(now, *id) == wanted).collect()
    }

    /// Removes the reports about processes that are no members any more.
    pub(crate) fn retain(&mut self, is_member: impl Fn(Incarnation) -> bool) {
        self.reports.retain(|id, _| is_member(*id));
    }

    /// Returns the reports to send about the members that this process observes.
    ///
    /// `observed` are these members, each with this process's position among its observers, the
    /// time since its last message, and the silence after which it counts as silent.
    pub(crate) fn observe(
        &mut self,
        now: Time,
        me: Incarnation,
        observed: impl Iterator<Item = (Incarnation, u32, Duration)>,
        unresponsive_after: Duration,
    ) -> Vec<ConditionReport> {
        let mut reports = Vec::new();
        for (member, position, silence) in observed {
            let known = self.condition(now, member);
            let wait = unresponsive_after.saturating_add(REPORT_STAGGER.saturating_mul(position));
            let condition = match known {
                Condition::Silent if silence < unresponsive_after => Condition::Available,
                Condition::Available | Condition::Overloaded if silence >= wait => {
                    Condition::Silent
                }
                _ => continue,
            };
            reports.push(self.new_report(now, me, member, condition));
        }
        reports
    }

    /// Sets whether this process has more work than it can do.
    pub(crate) fn set_overloaded(&mut self, is_overloaded: bool) {
        self.is_overloaded = is_overloaded;
    }

    /// Returns the report to send about this process, given the number of members.
    pub(crate) fn report_own(
        &mut self,
        now: Time,
        me: Incarnation,
        members: usize,
    ) -> Option<ConditionReport> {
        let was_reported = self.condition(now, me) == Condition::Overloaded;
        if !self.is_overloaded {
            self.overloaded_at = None;
            return was_reported.then(|| self.new_report(now, me, me, Condition::Available));
        }
        let is_due = self.overloaded_at.is_none_or(|at| now.since(at) >= OVERLOAD_REPORT_INTERVAL);
        let overloaded = self.with_condition(now, Condition::Overloaded).len();
        let is_allowed = was_reported || (overloaded + 1) * 100 <= members * MAX_OVERLOADED_PERCENT;
        if !is_due || !is_allowed {
            return None;
        }
        self.overloaded_at = Some(now);
        Some(self.new_report(now, me, me, Condition::Overloaded))
    }

    fn new_report(
        &mut self,
        now: Time,
        me: Incarnation,
        member: Incarnation,
        condition: Condition,
    ) -> ConditionReport {
        self.last_serial += 1;
        let report = ConditionReport { member, condition, reporter: me, serial: self.last_serial };
        self.reports.insert(member, (report, now));
        report
    }
}
