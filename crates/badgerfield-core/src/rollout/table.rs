//! All that one process knows of roll-outs, and the rules that follow.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{
    Allowance, Evidence, KnownRollout, KnownRollouts, OrderChange, Recorder, RolloutBound,
    RolloutPhase, RolloutProgress, RolloutReason, RolloutRule, RolloutRules, RolloutTally,
};
use crate::amount::Time;
use crate::ids::{Incarnation, Service, SoftwareVersion};
use crate::message::RolloutReport;

/// How soon bad answers of the target are told again: a judge has to hear of fifty before the
/// platform's bound, some seconds, is over.
const BAD_PACE: Duration = Duration::from_millis(250);
/// How often tallies are told at most while the target has no more bad answers.
const PACE: Duration = Duration::from_millis(500);
/// How many tallies a second one judge should get without bad answers.
const JUDGE_RATE: u32 = 64;
/// How often a process says that it has moved: the last step waits for it.
const CONFIRM: Duration = Duration::from_secs(1);
/// How long after a roll-out nothing goes to versions that it replaced: news that they are gone
/// come by the list of upstreams, within seconds.
const LINGER: Duration = Duration::from_mins(1);
/// How long a process that has started waits at most for a member that knows of roll-outs what
/// it does: some signs of life. Serving late is worse than what is left of the danger then.
const SYNC: Duration = Duration::from_secs(3);

/// What only this process knows of the roll-out of a service.
#[derive(Debug, Default)]
struct Own {
    /// When the order was heard of here.
    heard: Time,
    /// Targets of earlier orders, until a record says which versions get nothing.
    dropped: BTreeSet<SoftwareVersion>,
    /// The order by which this process said that it sends nothing to other versions. It keeps
    /// to that until the record says otherwise, since the platform may end those at any moment.
    promised: Option<(u64, SoftwareVersion)>,
    /// Until when nothing goes to versions that were replaced.
    lingers: Option<Time>,
    /// How requests of this process went by the newest order.
    tally: Option<RolloutTally>,
    /// When and to whom the tally was told last, and what it was.
    told: Option<(Time, Vec<Incarnation>, RolloutTally)>,
    /// What it keeps as a judge.
    recorder: Recorder,
}

/// The state of a roll-out, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStatus {
    /// What is known of the order.
    pub known: KnownRollout,
    /// How long ago it was heard of here.
    pub age: Duration,
    /// What processes told, as far as this one judges.
    pub evidence: Evidence,
}

/// The table of roll-outs.
#[derive(Debug, Default)]
pub(crate) struct Rollouts {
    beliefs: KnownRollouts,
    own: BTreeMap<Service, Own>,
    rules: Vec<RolloutRule>,
    /// How many sets of rules there were.
    turn: u64,
    /// Whether this process has known, since it takes part, what a neighbour does.
    agreed: bool,
    /// Since when it takes part.
    active_at: Option<Time>,
}

impl Rollouts {
    /// Tells whether there is nothing to do.
    pub(crate) fn is_empty(&self) -> bool {
        self.own.is_empty()
    }

    /// Returns what is known of all orders.
    pub(crate) fn all(&self) -> Vec<KnownRollout> {
        self.beliefs.all()
    }

    /// Returns what is known of an order.
    pub(crate) fn known(&self, service: &Service) -> Option<&KnownRollout> {
        self.beliefs.get(service)
    }

    /// Returns a number that stands for all that is known.
    pub(crate) fn digest(&self) -> u64 {
        self.beliefs.digest()
    }

    /// Tells whether callers may be sent here as far as roll-outs go.
    ///
    /// A process that has just started may know an order, and not that all requests have moved
    /// by it; what it sends to other versions would be cut when they end. So it first hears
    /// from a member that knows the same. Where nothing is ordered it waits for nothing.
    pub(crate) fn is_synced(&self) -> bool {
        self.agreed || self.is_empty()
    }

    /// Notes that a member of the view knows the same, while this process takes part.
    pub(crate) fn record_agreement(&mut self, is_active: bool) {
        self.agreed |= is_active && self.beliefs.all().iter().all(|known| known.stage.is_some());
    }

    /// Notes that time passes.
    pub(crate) fn tick(&mut self, now: Time, is_active: bool) {
        if self.agreed || !is_active {
            return;
        }
        // An order that comes while it serves is known as soon as elsewhere.
        let since = *self.active_at.get_or_insert(now);
        self.agreed = self.is_empty() || now.since(since) >= SYNC;
    }

    /// Takes in news; returns what is news here.
    pub(crate) fn apply(&mut self, now: Time, news: Vec<KnownRollout>) -> Vec<KnownRollout> {
        let before = self.before(news.iter().map(|known| &known.change.service));
        let turned = self.beliefs.apply(news);
        self.follow(now, &before, &turned);
        turned
    }

    /// Takes in all orders that the platform has; returns what is news here.
    pub(crate) fn apply_snapshot(
        &mut self,
        now: Time,
        revision: u64,
        orders: Vec<OrderChange>,
    ) -> Vec<KnownRollout> {
        let before = self.beliefs.all();
        let before = before.into_iter().map(|k| (k.change.service.clone(), k)).collect();
        let turned = self.beliefs.apply_snapshot(revision, orders);
        self.follow(now, &before, &turned);
        turned
    }

    /// Returns what is known of some services, to be held against what news make of it.
    fn before<'a>(
        &self,
        services: impl Iterator<Item = &'a Service>,
    ) -> BTreeMap<Service, KnownRollout> {
        let known = services.filter_map(|service| Some((service, self.beliefs.get(service)?)));
        known.map(|(service, known)| (service.clone(), known.clone())).collect()
    }

    /// Draws what follows for this process from news; `before` is what was known of them.
    fn follow(
        &mut self,
        now: Time,
        before: &BTreeMap<Service, KnownRollout>,
        turned: &[KnownRollout],
    ) {
        for known in turned {
            let service = &known.change.service;
            let old = before.get(service);
            let own = self.own.entry(service.clone()).or_default();
            if old.is_none_or(|old| old.change.revision != known.change.revision) {
                own.renew(now, old, known);
            }
            if known.stage.is_some() {
                own.dropped.clear();
            }
            own.keep_promise(known);
            // An order that was over when this process heard of it changes nothing here.
            let was_moving = old.and_then(KnownRollout::phase) == Some(RolloutPhase::Moving);
            if known.phase() == Some(RolloutPhase::Completed) && was_moving {
                own.lingers = Some(now.after(LINGER));
            }
        }
    }

    /// Takes in how requests of this process went at services with orders that are known.
    pub(crate) fn record_tallies(&mut self, tallies: Vec<RolloutTally>) {
        for mut tally in tallies {
            let Some((known, own)) =
                self.beliefs.get(&tally.service).zip(self.own.get_mut(&tally.service))
            else {
                continue;
            };
            let (revision, target) = (known.change.revision, known.target());
            let Some(target) = target.filter(|_| tally.revision == revision) else {
                continue;
            };
            // A promise is given while all requests move, and kept from then on.
            let is_promised = own.promised.as_ref().is_some_and(|(order, _)| *order == revision);
            tally.moved &= known.phase() == Some(RolloutPhase::Moving) || is_promised;
            if tally.is_confirmed() {
                own.promised = Some((revision, target.clone()));
            }
            own.tally = Some(tally);
        }
    }

    /// Returns the tallies that are due to be told to the judges of their services.
    pub(crate) fn due_reports(
        &mut self,
        now: Time,
        members: u32,
        judges: impl Fn(&Service) -> Vec<Incarnation>,
    ) -> Vec<(Vec<Incarnation>, RolloutReport)> {
        let pace = PACE.max(Duration::from_secs(1) * members / JUDGE_RATE);
        let mut reports = Vec::new();
        for (service, own) in &mut self.own {
            let is_open = self.beliefs.get(service).is_some_and(is_open);
            let Some(tally) = own.tally.as_ref().filter(|_| is_open) else {
                continue;
            };
            let judges = judges(service);
            if !own.is_due(now, tally, &judges, pace) {
                continue;
            }
            let age = now.since(own.heard);
            reports.push((judges.clone(), RolloutReport { tally: tally.clone(), order_age: age }));
            own.told = Some((now, judges, tally.clone()));
        }
        reports
    }

    /// Takes in what a process tells this one as a judge.
    pub(crate) fn apply_report(&mut self, from: Incarnation, report: RolloutReport) {
        let RolloutReport { tally, order_age: age } = report;
        let revision = self.beliefs.get(&tally.service).map(|known| known.change.revision);
        if revision != Some(tally.revision) {
            return;
        }
        if let Some(own) = self.own.get_mut(&tally.service) {
            own.recorder.judge.apply_report(from, tally, age);
        }
    }

    /// Returns the services whose record may have to be written, or read.
    pub(crate) fn unfinished(&self) -> Vec<(KnownRollout, Time)> {
        self.beliefs
            .all()
            .into_iter()
            .filter(is_open)
            .filter_map(|known| {
                let heard = self.own.get(&known.change.service)?.heard;
                Some((known, heard))
            })
            .collect()
    }

    /// Returns what this process keeps as a judge of a service.
    pub(crate) fn recorder_mut(&mut self, service: &Service) -> Option<&mut Recorder> {
        self.own.get_mut(service).map(|own| &mut own.recorder)
    }

    /// Notes that the target of an order was found to be bad; returns what is news.
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

    /// Returns the rules that follow from what is known, if they are others than the last ones.
    pub(crate) fn changed_rules(
        &mut self,
        now: Time,
        bound: &RolloutBound,
    ) -> Option<RolloutRules> {
        let mut rules = Vec::new();
        for (service, own) in &self.own {
            if let Some(known) = self.beliefs.get(service) {
                own.rules(now, known, bound, &mut rules);
            }
        }
        if rules == self.rules {
            return None;
        }
        self.rules.clone_from(&rules);
        self.turn += 1;
        Some(RolloutRules { sequence: self.turn, rules })
    }

    /// Returns the state of all roll-outs, for operators.
    pub(crate) fn status(&self, now: Time) -> Vec<RolloutStatus> {
        let status = |known: KnownRollout| {
            let own = self.own.get(&known.change.service)?;
            let evidence = own.recorder.judge.evidence().clone();
            Some(RolloutStatus { known, age: now.since(own.heard), evidence })
        };
        self.beliefs.all().into_iter().filter_map(status).collect()
    }
}

impl Own {
    /// Begins anew for a newer order.
    fn renew(&mut self, now: Time, old: Option<&KnownRollout>, new: &KnownRollout) {
        self.heard = now;
        self.tally = None;
        self.told = None;
        self.lingers = None;
        self.recorder.renew();
        let Some(old) = old else {
            return;
        };
        if let Some(stage) = &old.stage {
            self.dropped.extend(stage.refused.iter().cloned());
        }
        if old.phase() != Some(RolloutPhase::Completed) {
            self.dropped.extend(old.target().cloned());
        }
        if let Some(target) = new.target() {
            self.dropped.remove(target);
        }
    }

    /// Ends a promise that the record has made void: what it was about is decided.
    fn keep_promise(&mut self, known: &KnownRollout) {
        let Some((order, _)) = &self.promised else {
            return;
        };
        let is_over = match known.phase() {
            Some(RolloutPhase::RolledBack | RolloutPhase::Completed) => {
                known.change.revision >= *order
            }
            Some(_) => known.change.revision > *order,
            None => false,
        };
        if is_over {
            self.promised = None;
        }
    }

    /// Tells whether a tally is to be told to these judges now.
    fn is_due(
        &self,
        now: Time,
        tally: &RolloutTally,
        judges: &[Incarnation],
        pace: Duration,
    ) -> bool {
        let Some((at, to, last)) = &self.told else {
            return true;
        };
        let age = now.since(*at);
        if to != judges {
            return true;
        }
        if tally.is_confirmed() {
            return !last.is_confirmed() || age >= CONFIRM;
        }
        if tally.bad() > last.bad() && age >= BAD_PACE {
            return true;
        }
        // What has not changed is told again as well, since it may have been lost; less often,
        // since it seldom was.
        age >= if tally == last { pace.saturating_mul(4) } else { pace }
    }

    /// Adds the rules of one service.
    fn rules(
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
        if let Some((order, target)) = &self.promised {
            rule(*order, target, Allowance::All);
            return;
        }
        // The rule of the order comes first: it is the one that requests are counted by.
        if let Some((target, allowance)) = self.allowance(now, known, bound) {
            rule(revision, target, allowance);
        }
        let refused: BTreeSet<_> =
            known.stage.iter().flat_map(|stage| &stage.refused).chain(&self.dropped).collect();
        for version in refused.into_iter().filter(|version| known.target() != Some(*version)) {
            rule(revision, version, Allowance::Nothing);
        }
    }

    /// Returns what the target of the newest order may get, if that is bounded at all.
    fn allowance<'a>(
        &self,
        now: Time,
        known: &'a KnownRollout,
        bound: &RolloutBound,
    ) -> Option<(&'a SoftwareVersion, Allowance)> {
        let lingers = self.lingers.is_some_and(|until| now < until);
        let allowance = match known.phase() {
            None | Some(RolloutPhase::Rejected | RolloutPhase::RolledBack) => Allowance::Nothing,
            Some(RolloutPhase::Canary) => Allowance::Share(bound.canary()),
            Some(RolloutPhase::Moving) => Allowance::All,
            Some(RolloutPhase::Completed) if lingers => Allowance::All,
            Some(RolloutPhase::Completed) => return None,
        };
        Some((known.target()?, allowance))
    }
}

/// Tells whether an order has not come to its end.
fn is_open(known: &KnownRollout) -> bool {
    !matches!(known.phase(), Some(RolloutPhase::RolledBack | RolloutPhase::Completed))
}
