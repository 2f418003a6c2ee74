//! Which members callers should not be directed to: members that have fallen silent, and members
//! that have more work than they can do.
//!
//! In a large fleet each member hears from few others, but answers callers for all of them. A
//! member that notices that another one is silent, or that is overloaded itself, therefore tells
//! all members. Reports expire, so that a lost one does no lasting harm, and the number of reports
//! is bounded: a silent member has one reporter as a rule, and no member reports itself overloaded
//! while many others are, since callers have nowhere better to go then.
//!
//! Observers of a member may differ, if some of its messages are lost or wait. A report therefore
//! tells how long ago the member was heard, and the latest time at which anyone heard it decides,
//! in whichever order the reports arrive.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::amount::Time;
use crate::ids::Incarnation;
use crate::view::MAX_SMALL_VIEW_MEMBERS;

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
/// The additional time after which each further observer contradicts a report that a member is
/// silent, if no other one has. A broadcast reaches the other observers in less.
const CONTRADICTION_STAGGER: Duration = Duration::from_millis(150);
/// How long an observer that does not hear a member relies on another one that does. If the
/// observers of a member differ for long, this and the report that it ends with set how often they
/// broadcast.
const RELIANCE_TIME: Duration = Duration::from_secs(5);

/// The condition of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Condition {
    /// It serves callers.
    Available,
    /// It has more work than it can do.
    Overloaded,
    /// It sends nothing.
    Silent,
    /// It has lost its links to upstreams, and sends requests through peers.
    CutOff,
}

impl Condition {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Available => "available",
            Self::Overloaded => "overloaded",
            Self::Silent => "silent",
            Self::CutOff => "cut_off",
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
    /// How long ago the reporter last heard from the member; [`Duration::MAX`] if never.
    pub unheard_for: Duration,
}

/// A member that this process observes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Observed {
    pub(crate) member: Incarnation,
    /// The position of this process among the observers of the member.
    pub(crate) position: u32,
    /// For how long the member should have sent something and has not.
    pub(crate) silence: Duration,
    /// The time since its last message; [`Duration::MAX`] if there was none.
    pub(crate) unheard_for: Duration,
}

/// The reports that a process knows.
#[derive(Debug, Default)]
pub(crate) struct Availability {
    reports: BTreeMap<Incarnation, (ConditionReport, Time)>,
    /// The latest time at which a reporter heard from a member.
    heard_at: BTreeMap<Incarnation, Time>,
    last_serial: u64,
    /// Whether this process has more work than it can do.
    is_overloaded: bool,
    /// Whether this process is cut off from upstreams.
    is_cut_off: bool,
    /// When this process last reported itself overloaded or cut off.
    reported_at: Option<Time>,
}

impl Availability {
    /// Applies a report unless an earlier one is newer, or says that the member was heard within
    /// `unresponsive_after`.
    pub(crate) fn apply(
        &mut self,
        now: Time,
        report: ConditionReport,
        unresponsive_after: Duration,
    ) {
        let known = self.reports.get(&report.member);
        let is_older = known.is_some_and(|(known, _)| {
            known.reporter == report.reporter && known.serial >= report.serial
        });
        if is_older {
            return;
        }
        let heard_at = Time(now.0.saturating_sub(report.unheard_for));
        let last_heard = self.heard_at.entry(report.member).or_default();
        *last_heard = heard_at.max(*last_heard);
        let is_contradicted = now.since(*last_heard) < unresponsive_after;
        if report.condition == Condition::Silent && is_contradicted {
            return;
        }
        self.reports.insert(report.member, (report, now));
    }

    /// Returns the condition of a member according to the reports.
    pub(crate) fn condition(&self, now: Time, id: Incarnation) -> Condition {
        let Some((report, at)) = self.reports.get(&id) else {
            return Condition::Available;
        };
        let ttl = match report.condition {
            Condition::Available => return Condition::Available,
            Condition::Overloaded | Condition::CutOff => OVERLOADED_TTL,
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
        self.heard_at.retain(|id, _| is_member(*id));
    }

    /// Returns the reports to send about the members that this process observes.
    ///
    /// A member counts as silent after a silence of `unresponsive_after`.
    pub(crate) fn observe(
        &mut self,
        now: Time,
        me: Incarnation,
        observed: impl Iterator<Item = Observed>,
        unresponsive_after: Duration,
    ) -> Vec<ConditionReport> {
        let mut reports = Vec::new();
        for Observed { member, position, silence, unheard_for } in observed {
            let is_heard = unheard_for < unresponsive_after;
            let reply_delay = CONTRADICTION_STAGGER.saturating_mul(position);
            let stagger = REPORT_STAGGER.saturating_mul(position);
            let condition = match self.condition(now, member) {
                Condition::Silent if is_heard && self.report_age(now, member) >= reply_delay => {
                    Condition::Available
                }
                Condition::Available | Condition::Overloaded | Condition::CutOff
                    if silence >= unresponsive_after.saturating_add(stagger)
                        && !self.is_heard_by_others(now, member, silence, stagger) =>
                {
                    Condition::Silent
                }
                _ => continue,
            };
            reports.push(self.new_report(now, me, (member, unheard_for), condition));
        }
        reports
    }

    /// Returns whether another process has reported that it heard a member later than this one,
    /// whose silence is given, and recently enough, with a margin, to rely on that.
    pub(crate) fn is_heard_by_others(
        &self,
        now: Time,
        member: Incarnation,
        silence: Duration,
        margin: Duration,
    ) -> bool {
        let unheard_for = self.heard_at.get(&member).map(|at| now.since(*at));
        unheard_for.is_some_and(|span| span < silence && span < RELIANCE_TIME + margin)
    }

    /// Returns the time since the last report about a member was received.
    fn report_age(&self, now: Time, id: Incarnation) -> Duration {
        self.reports.get(&id).map_or(Duration::ZERO, |(_, at)| now.since(*at))
    }

    /// Sets whether this process has more work than it can do.
    pub(crate) fn set_overloaded(&mut self, is_overloaded: bool) {
        self.is_overloaded = is_overloaded;
    }

    /// Sets whether this process is cut off from upstreams.
    pub(crate) fn set_cut_off(&mut self, is_cut_off: bool) {
        if self.is_cut_off != is_cut_off {
            self.reported_at = None;
        }
        self.is_cut_off = is_cut_off;
    }

    /// Returns the report to send about this process, given the number of members. In a small view,
    /// callers have nowhere better to go than to a member that is overloaded.
    pub(crate) fn report_own(
        &mut self,
        now: Time,
        me: Incarnation,
        members: usize,
    ) -> Option<ConditionReport> {
        let reported = self.condition(now, me);
        let was_reported = matches!(reported, Condition::Overloaded | Condition::CutOff);
        let is_overloaded = self.is_overloaded && members > MAX_SMALL_VIEW_MEMBERS;
        let condition = match (self.is_cut_off, is_overloaded) {
            (true, _) => Condition::CutOff,
            (false, true) => Condition::Overloaded,
            (false, false) => {
                self.reported_at = None;
                let own = (me, Duration::ZERO);
                return was_reported.then(|| self.new_report(now, me, own, Condition::Available));
            }
        };
        let is_due = self.reported_at.is_none_or(|at| now.since(at) >= OVERLOAD_REPORT_INTERVAL);
        let is_allowed = reported == condition
            || condition == Condition::CutOff
            || self.may_report_overload(now, members);
        if !is_due || !is_allowed {
            return None;
        }
        self.reported_at = Some(now);
        Some(self.new_report(now, me, (me, Duration::ZERO), condition))
    }

    /// Returns whether so few members count as overloaded that another one may.
    fn may_report_overload(&self, now: Time, members: usize) -> bool {
        let overloaded = self.with_condition(now, Condition::Overloaded).len();
        (overloaded + 1) * 100 <= members * MAX_OVERLOADED_PERCENT
    }

    fn new_report(
        &mut self,
        now: Time,
        me: Incarnation,
        (member, unheard_for): (Incarnation, Duration),
        condition: Condition,
    ) -> ConditionReport {
        self.last_serial += 1;
        let serial = self.last_serial;
        let report = ConditionReport { member, condition, reporter: me, serial, unheard_for };
        self.reports.insert(member, (report, now));
        report
    }
}
