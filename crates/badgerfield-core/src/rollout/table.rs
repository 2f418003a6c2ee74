//! The table of all rollouts that a process knows, and the rules that follow from them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{
    Allowance, Evidence, KnownRollout, KnownRollouts, OrderChange, Recorder, RolloutBound,
    RolloutPhase, RolloutProgress, RolloutReason, RolloutRule, RolloutRules, RolloutTally,
};
use crate::amount::Time;
use crate::ids::{Incarnation, Service, SoftwareVersion};
use crate::message::RolloutReport;

/// Minimum time between two reports if the target has given more bad answers since: a judge has to
/// receive fifty of them before the platform's limit of a few seconds is over.
const BAD_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between two reports while the target gives no more bad answers.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Intended maximum rate of reports to one judge while there are no more bad answers.
const REPORTS_PER_SECOND: u32 = 64;
/// Time between two reports of a process that has moved: the last step of the rollout waits for
/// them.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(1);
/// Time after a rollout in which no requests go to replaced versions. The list of upstreams shows
/// within seconds that they have been removed.
const EXCLUSION_TIME: Duration = Duration::from_mins(1);
/// Maximum time that a process waits after its start for a member with the same state of rollouts:
/// a few heartbeats. Longer unavailability would do more harm than the requests that may still be
/// cut.
const SYNC_TIMEOUT: Duration = Duration::from_secs(3);

/// The state of a service's rollout that is local to this process.
#[derive(Debug, Default)]
struct LocalState {
    /// When this process received the order.
    received: Time,
    /// Targets of earlier orders, which get no requests until a record says which versions are
    /// refused.
    earlier_targets: BTreeSet<SoftwareVersion>,
    /// The revision and target of the order for which this process confirmed that it sends no
    /// requests to other versions. It keeps to that until the record says otherwise, since the
    /// platform may stop those upstreams at any time.
    confirmed: Option<(u64, SoftwareVersion)>,
    /// Until when no requests go to replaced versions.
    exclude_until: Option<Time>,
    /// The tally of this process for the newest order.
    tally: Option<RolloutTally>,
    /// When and to which judges the tally was last reported, and the tally reported.
    last_report: Option<(Time, Vec<Incarnation>, RolloutTally)>,
    /// The state of this process as a judge.
    recorder: Recorder,
}

/// The status of a rollout, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The order and its progress.
    pub known: KnownRollout,
    /// The time since this process received the order.
    pub age: Duration,
    /// The evidence from the reports that this process received as a judge.
    pub evidence: Evidence,
}

/// The table of rollouts.
#[derive(Debug, Default)]
pub(crate) struct Rollouts {
    known: KnownRollouts,
    local: BTreeMap<Service, LocalState>,
    rules: Vec<RolloutRule>,
    /// The sequence number of the last set of rules.
    sequence: u64,
    /// Whether a member has had the same state as this process since this process became active, or
    /// the wait for one has ended.
    has_agreed: bool,
    /// Since when this process has been active.
    active_since: Option<Time>,
}

impl Rollouts {
    /// Returns whether no rollout is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.local.is_empty()
    }

    /// Returns all known rollouts.
    pub(crate) fn all(&self) -> Vec<KnownRollout> {
        self.known.all()
    }

    /// Returns the rollout of a service.
    pub(crate) fn known(&self, service: &Service) -> Option<&KnownRollout> {
        self.known.get(service)
    }

    /// Returns a digest of all known rollouts.
    pub(crate) fn digest(&self) -> u64 {
        self.known.digest()
    }

    /// Returns a digest of the orders that were not withdrawn.
    pub(crate) fn order_digest(&self) -> u64 {
        self.known.order_digest()
    }

    /// Returns whether callers may be routed to this process as far as rollouts are concerned.
    ///
    /// A process that has just started may know an order without knowing that all requests have
    /// moved. Requests that it sends to other versions would be cut when those stop. It therefore
    /// waits for a member with the same state. If no rollout is known it does not wait.
    pub(crate) fn is_synced(&self) -> bool {
        self.has_agreed || self.is_empty()
    }

    /// Records that a member of the view has the same state while this process is active.
    pub(crate) fn record_agreement(&mut self, is_active: bool) {
        self.has_agreed |= is_active && self.known.all().iter().all(|known| known.stage.is_some());
    }

    /// Ends the wait for a member with the same state if no rollout is known, or if the wait has
    /// lasted `SYNC_TIMEOUT`.
    pub(crate) fn tick(&mut self, now: Time, is_active: bool) {
        if self.has_agreed || !is_active {
            return;
        }
        // An order that arrives while this process is active reaches it as early as other members.
        let since = *self.active_since.get_or_insert(now);
        self.has_agreed = self.is_empty() || now.since(since) >= SYNC_TIMEOUT;
    }

    /// Applies updates; returns the rollouts that they change.
    pub(crate) fn apply(&mut self, now: Time, updates: Vec<KnownRollout>) -> Vec<KnownRollout> {
        let before = self.known_before(updates.iter().map(|known| &known.change.service));
        let changed = self.known.apply(updates);
        self.process_changes(now, &before, &changed);
        changed
    }

    /// Applies all orders in the store; returns the rollouts that they change.
    pub(crate) fn apply_snapshot(
        &mut self,
        now: Time,
        revision: u64,
        orders: Vec<OrderChange>,
    ) -> Vec<KnownRollout> {
        let before = self.known.all();
        let before = before.into_iter().map(|k| (k.change.service.clone(), k)).collect();
        let changed = self.known.apply_snapshot(revision, orders);
        self.process_changes(now, &before, &changed);
        changed
    }

    /// Returns the rollouts of some services, for comparison after an update.
    fn known_before<'a>(
        &self,
        services: impl Iterator<Item = &'a Service>,
    ) -> BTreeMap<Service, KnownRollout> {
        let known = services.filter_map(|service| Some((service, self.known.get(service)?)));
        known.map(|(service, known)| (service.clone(), known.clone())).collect()
    }

    /// Updates the local state for changed rollouts; `before` has their earlier states.
    fn process_changes(
        &mut self,
        now: Time,
        before: &BTreeMap<Service, KnownRollout>,
        changed: &[KnownRollout],
    ) {
        for known in changed {
            let service = &known.change.service;
            let old = before.get(service);
            let local = self.local.entry(service.clone()).or_default();
            if old.is_none_or(|old| old.change.revision != known.change.revision) {
                local.reset(now, old, known);
            }
            if known.stage.is_some() {
                local.earlier_targets.clear();
            }
            local.clear_settled_confirmation(known);
            // An order that had already ended when this process received it does not exclude any
            // version.
            let was_moving = old.and_then(KnownRollout::phase) == Some(RolloutPhase::Moving);
            if known.phase() == Some(RolloutPhase::Completed) && was_moving {
                local.exclude_until = Some(now.after(EXCLUSION_TIME));
            }
        }
    }

    /// Records the tallies of this process for the services with known orders.
    pub(crate) fn record_tallies(&mut self, tallies: Vec<RolloutTally>) {
        for mut tally in tallies {
            let Some((known, local)) =
                self.known.get(&tally.service).zip(self.local.get_mut(&tally.service))
            else {
                continue;
            };
            let (revision, target) = (known.change.revision, known.target());
            let Some(target) = target.filter(|_| tally.revision == revision) else {
                continue;
            };
            // A process confirms while all requests move, and the confirmation holds from then on.
            let is_confirmed_order =
                local.confirmed.as_ref().is_some_and(|(order, _)| *order == revision);
            tally.moved &= known.phase() == Some(RolloutPhase::Moving) || is_confirmed_order;
            if tally.is_confirmed() {
                local.confirmed = Some((revision, target.clone()));
            }
            local.tally = Some(tally);
        }
    }

    /// Returns the tallies that are due to be reported, each with the judges of its service.
    pub(crate) fn due_reports(
        &mut self,
        now: Time,
        members: u32,
        judges: impl Fn(&Service) -> Vec<Incarnation>,
    ) -> Vec<(Vec<Incarnation>, RolloutReport)> {
        let interval = REPORT_INTERVAL.max(Duration::from_secs(1) * members / REPORTS_PER_SECOND);
        let mut reports = Vec::new();
        for (service, local) in &mut self.local {
            let is_unfinished = self.known.get(service).is_some_and(is_unfinished);
            let Some(tally) = local.tally.as_ref().filter(|_| is_unfinished) else {
                continue;
            };
            let judges = judges(service);
            if !local.is_due(now, tally, &judges, interval) {
                continue;
            }
            let age = now.since(local.received);
            reports.push((judges.clone(), RolloutReport { tally: tally.clone(), order_age: age }));
            local.last_report = Some((now, judges, tally.clone()));
        }
        reports
    }

    /// Applies a report that this process receives as a judge.
    pub(crate) fn apply_report(&mut self, reporter: Incarnation, report: RolloutReport) {
        let RolloutReport { tally, order_age: age } = report;
        let revision = self.known.get(&tally.service).map(|known| known.change.revision);
        if revision != Some(tally.revision) {
            return;
        }
        if let Some(local) = self.local.get_mut(&tally.service) {
            local.recorder.judge.apply_report(reporter, tally, age);
        }
    }

    /// Returns the unfinished rollouts, whose records may have to be read or written, with the time
    /// when this process received each order.
    pub(crate) fn unfinished(&self) -> Vec<(KnownRollout, Time)> {
        self.known
            .all()
            .into_iter()
            .filter(is_unfinished)
            .filter_map(|known| {
                let received = self.local.get(&known.change.service)?.received;
                Some((known, received))
            })
            .collect()
    }

    /// Returns the recorder of a service.
    pub(crate) fn recorder_mut(&mut self, service: &Service) -> Option<&mut Recorder> {
        self.local.get_mut(service).map(|local| &mut local.recorder)
    }

    /// Records that the target of an order was judged bad; returns the rollouts that this changes.
    pub(crate) fn reject(
        &mut self,
        now: Time,
        known: &KnownRollout,
        reason: RolloutReason,
    ) -> Vec<KnownRollout> {
        let Some(stage) = &known.stage else {
            return Vec::new();
        };
        let stage = RolloutProgress {
            phase: RolloutPhase::Rejected,
            reason,
            refused: stage.refused.clone(),
        };
        self.apply(now, vec![KnownRollout { stage: Some(stage), ..known.clone() }])
    }

    /// Returns the rules that follow from the known rollouts, if they differ from the last ones.
    pub(crate) fn changed_rules(
        &mut self,
        now: Time,
        bound: &RolloutBound,
    ) -> Option<RolloutRules> {
        let mut rules = Vec::new();
        for (service, local) in &self.local {
            if let Some(known) = self.known.get(service) {
                local.push_rules(now, known, bound, &mut rules);
            }
        }
        if rules == self.rules {
            return None;
        }
        self.rules.clone_from(&rules);
        self.sequence += 1;
        Some(RolloutRules { sequence: self.sequence, rules })
    }

    /// Returns the status of all rollouts, for operators.
    pub(crate) fn status(&self, now: Time) -> Vec<RolloutStatus> {
        let status = |known: KnownRollout| {
            let local = self.local.get(&known.change.service)?;
            let evidence = local.recorder.judge.evidence().clone();
            Some(RolloutStatus { known, age: now.since(local.received), evidence })
        };
        self.known.all().into_iter().filter_map(status).collect()
    }
}

impl LocalState {
    /// Resets the state for a newer order.
    fn reset(&mut self, now: Time, old: Option<&KnownRollout>, new: &KnownRollout) {
        self.received = now;
        self.tally = None;
        self.last_report = None;
        self.exclude_until = None;
        self.recorder.reset();
        let Some(old) = old else {
            return;
        };
        if let Some(stage) = &old.stage {
            self.earlier_targets.extend(stage.refused.iter().cloned());
        }
        if old.phase() != Some(RolloutPhase::Completed) {
            self.earlier_targets.extend(old.target().cloned());
        }
        if let Some(target) = new.target() {
            self.earlier_targets.remove(target);
        }
    }

    /// Clears the confirmation once the record has settled its order, or belongs to a newer one.
    fn clear_settled_confirmation(&mut self, known: &KnownRollout) {
        let Some((order, _)) = &self.confirmed else {
            return;
        };
        let is_settled = match known.phase() {
            Some(RolloutPhase::RolledBack | RolloutPhase::Completed) => {
                known.change.revision >= *order
            }
            Some(_) => known.change.revision > *order,
            None => false,
        };
        if is_settled {
            self.confirmed = None;
        }
    }

    /// Returns whether a tally is to be reported to these judges now.
    fn is_due(
        &self,
        now: Time,
        tally: &RolloutTally,
        judges: &[Incarnation],
        interval: Duration,
    ) -> bool {
        let Some((at, to, last)) = &self.last_report else {
            return true;
        };
        let age = now.since(*at);
        if to != judges {
            return true;
        }
        if tally.is_confirmed() {
            return !last.is_confirmed() || age >= CONFIRM_INTERVAL;
        }
        if tally.bad_answers() > last.bad_answers() && age >= BAD_REPORT_INTERVAL {
            return true;
        }
        // An unchanged tally is repeated too, since a report may be lost; less often, since loss is
        // rare.
        age >= if tally == last { interval.saturating_mul(4) } else { interval }
    }

    /// Adds the rules of the service.
    fn push_rules(
        &self,
        now: Time,
        known: &KnownRollout,
        bound: &RolloutBound,
        rules: &mut Vec<RolloutRule>,
    ) {
        let (service, revision) = (&known.change.service, known.change.revision);
        let mut rule = |revision, target: &SoftwareVersion, allowance| {
            let (service, target) = (service.clone(), target.clone());
            rules.push(RolloutRule { service, revision, target, allowance });
        };
        if let Some((order, target)) = &self.confirmed {
            rule(*order, target, Allowance::All);
            return;
        }
        // The rule of the newest order comes first: requests are counted by it.
        if let Some((target, allowance)) = self.allowance(now, known, bound) {
            rule(revision, target, allowance);
        }
        let refused: BTreeSet<_> = known
            .stage
            .iter()
            .flat_map(|stage| &stage.refused)
            .chain(&self.earlier_targets)
            .collect();
        for version in refused.into_iter().filter(|version| known.target() != Some(*version)) {
            rule(revision, version, Allowance::Nothing);
        }
    }

    /// Returns the target of the newest order and the requests that it may get; `None` if they are
    /// not restricted or the order was withdrawn.
    fn allowance<'a>(
        &self,
        now: Time,
        known: &'a KnownRollout,
        bound: &RolloutBound,
    ) -> Option<(&'a SoftwareVersion, Allowance)> {
        let is_excluding = self.exclude_until.is_some_and(|until| now < until);
        let allowance = match known.phase() {
            None | Some(RolloutPhase::Rejected | RolloutPhase::RolledBack) => Allowance::Nothing,
            Some(RolloutPhase::Canary) => Allowance::Share(bound.canary_share()),
            Some(RolloutPhase::Moving) => Allowance::All,
            Some(RolloutPhase::Completed) if is_excluding => Allowance::All,
            Some(RolloutPhase::Completed) => return None,
        };
        Some((known.target()?, allowance))
    }
}

/// Returns whether an order has not ended.
fn is_unfinished(known: &KnownRollout) -> bool {
    !matches!(known.phase(), Some(RolloutPhase::RolledBack | RolloutPhase::Completed))
}
