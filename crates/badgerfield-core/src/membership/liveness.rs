//! Which members are silent, cannot be used, or are to be removed from the view.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Membership;
use crate::amount::Time;
use crate::availability::{Condition, ConditionReport, Observed};
use crate::event::LogEntry;
use crate::ids::Incarnation;
use crate::view::{MAX_SMALL_VIEW_MEMBERS, Member, MemberState};

/// Silence after which a member is removed from the view.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a member that could not reach the store is not chosen to write the ledger.
const STORE_FAILURE_TTL: Duration = Duration::from_secs(1);
/// How much longer than for its availability a member counts as heard by others for its removal: the
/// reports about it wait on full links. With the time for availability it is less than
/// [`SILENCE_TIMEOUT`], so the removal of an ended member waits for no report.
const HEARD_MARGIN: Duration = Duration::from_secs(5);
/// Additional wait of each further observer before it removes a member.
const REMOVAL_STAGGER: Duration = Duration::from_secs(3);

impl Membership {
    /// Returns the members that this process should remove from the view.
    ///
    /// Removing a member that is still running is safe, but its process ends and its callers have to
    /// find another. A member that others hear is therefore kept: only the messages to this process
    /// are lost. The observers of a member wait for different times, so that usually only one of
    /// them removes it.
    pub(crate) fn members_to_remove(&self, now: Time) -> Vec<Incarnation> {
        let mut to_remove = Vec::new();
        let watched: Vec<_> = self.watched().collect();
        let is_responsive =
            |m: &&Member| self.silence(now, m.incarnation) < self.unresponsive_after;
        let is_cut_off = !watched.iter().any(|(_, m)| is_responsive(m));
        for (position, member) in watched {
            let wait = REMOVAL_STAGGER.saturating_mul(position);
            let silence = self.silence(now, member.incarnation);
            let is_unlisted = self.unlisted_vms.contains(&member.vm)
                && silence >= self.unresponsive_after.saturating_add(wait);
            // If all watched members are silent, this process is more likely to be cut off than to
            // be the only one left.
            let is_silent = self.is_same_region(member)
                && !is_cut_off
                && silence >= SILENCE_TIMEOUT.saturating_add(wait)
                && !self.is_heard_by_others(now, member.incarnation, HEARD_MARGIN);
            if is_unlisted || is_silent {
                to_remove.push(member.incarnation);
            }
        }
        to_remove
    }

    /// Returns the log entry for the removal of a member.
    pub(crate) fn removal_entry(&self, now: Time, id: Incarnation) -> LogEntry {
        let vm = self.view.member(id).map_or_else(|| self.me.vm.clone(), |m| m.vm.clone());
        let (silence, epoch) = (self.silence(now, id), self.stored.epoch);
        LogEntry::RemovesMember { member: id, vm, silence, epoch }
    }

    /// Returns the members to which callers may be directed.
    pub(crate) fn available_members(&self, now: Time) -> Vec<Member> {
        let silent = self.silent_members(now);
        self.view
            .members
            .iter()
            .filter(|m| m.standing == MemberState::Active && !self.leaving_vms.contains(&m.vm))
            .filter(|m| !self.unlisted_vms.contains(&m.vm))
            .filter(|m| {
                !silent.contains(&m.incarnation) && !self.is_not_serving(now, m.incarnation)
            })
            .cloned()
            .collect()
    }

    /// Returns the members that send nothing to any process: those that this process should hear
    /// from, unless others hear them, and those that others have reported.
    pub(crate) fn silent_members(&self, now: Time) -> BTreeSet<Incarnation> {
        let is_heard = |id: &Incarnation| self.is_heard_by_others(now, *id, Duration::ZERO);
        let reported = self.availability.with_condition(now, Condition::Silent);
        let mut silent = self.unheard_members(now);
        silent.retain(|id| reported.contains(id) || !is_heard(id));
        silent
    }

    /// Returns whether others have reported that they heard a member later than this process, and
    /// recently enough, with a margin, to rely on that.
    fn is_heard_by_others(&self, now: Time, id: Incarnation, margin: Duration) -> bool {
        let silence = self.silence(now, id);
        self.availability.is_heard_by_others(now, id, silence, margin)
    }

    /// Returns the members that this process should hear from but does not, and those that others
    /// have reported to be silent.
    pub(super) fn unheard_members(&self, now: Time) -> BTreeSet<Incarnation> {
        let mut unheard = self.availability.with_condition(now, Condition::Silent);
        for (_, member) in self.watched() {
            if self.silence(now, member.incarnation) >= self.unresponsive_after {
                unheard.insert(member.incarnation);
            } else {
                unheard.remove(&member.incarnation);
            }
        }
        unheard
    }

    /// Returns the members that are overloaded.
    pub(crate) fn overloaded_members(&self, now: Time) -> BTreeSet<Incarnation> {
        self.availability.with_condition(now, Condition::Overloaded)
    }

    /// Returns the members that are cut off from upstreams.
    pub(crate) fn cut_off_members(&self, now: Time) -> BTreeSet<Incarnation> {
        self.availability.with_condition(now, Condition::CutOff)
    }

    /// Returns the reports that this process sends to all members now.
    ///
    /// In a small view each member hears from all others, and reports only whether it is cut off
    /// from upstreams itself. A process that hears from few of the members that it watches is more
    /// likely isolated itself, and reports none of them.
    pub(crate) fn condition_reports(&mut self, now: Time) -> Vec<ConditionReport> {
        let members = self.view.members.len();
        if !self.is_member() {
            return Vec::new();
        }
        let me = self.id();
        if members <= MAX_SMALL_VIEW_MEMBERS {
            return self.availability.report_own(now, me, members).into_iter().collect();
        }
        let silent_after = self.unresponsive_after;
        let watched: Vec<_> = self
            .watched()
            .map(|(position, m)| Observed {
                member: m.incarnation,
                position,
                silence: self.silence(now, m.incarnation),
                unheard_for: self.unheard_for(now, m.incarnation),
            })
            .collect();
        let heard = watched.iter().filter(|observed| observed.silence < silent_after).count();
        let mut reports = Vec::new();
        if heard * 2 >= watched.len() {
            reports = self.availability.observe(now, me, watched.into_iter(), silent_after);
        }
        reports.extend(self.availability.report_own(now, me, members));
        reports
    }

    /// Applies another member's report about the condition of a member.
    pub(crate) fn apply_condition_report(&mut self, now: Time, report: ConditionReport) {
        self.availability.apply(now, report, self.unresponsive_after);
    }

    /// Records that a member could not reach the store.
    pub(crate) fn record_store_failure(&mut self, now: Time, id: Incarnation) {
        self.store_failures.retain(|_, at| now.since(*at) < STORE_FAILURE_TTL);
        self.store_failures.insert(id, now);
    }

    /// Returns whether a member recently could not reach the store.
    pub(crate) fn has_store_failure(&self, now: Time, id: Incarnation) -> bool {
        self.store_failures.get(&id).is_some_and(|at| now.since(*at) < STORE_FAILURE_TTL)
    }

    /// Returns whether a recent heartbeat of a member reports that it does not serve callers.
    ///
    /// In a large view most members send no heartbeats to this process, and those that they sent
    /// while the view was small are out of date.
    fn is_not_serving(&self, now: Time, id: Incarnation) -> bool {
        if id == self.id() {
            return !self.serving;
        }
        let contact = self.contacts.get(&id);
        contact.is_some_and(|contact| {
            contact.not_serving && now.since(contact.last_heartbeat) < self.unresponsive_after
        })
    }
}
