//! When the operators' values in force here were last known to be those in the store, and what this
//! process does once that was too long ago.
//!
//! The readers of a region read the values so often that all members hear of a read several times a
//! second. Such a read confirms the values of a member that has what it found. A member whose values
//! nobody confirms reads the store itself. One that knows of a version which does not arrive also
//! asks other members for it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Membership;
use super::roles::MAX_FALLBACK_ENTRIES;
use crate::amount::Time;
use crate::event::is_due;
use crate::ids::{Incarnation, TemplateVersion};
use crate::message::OperatorRead;
use crate::template_arrival::MAX_CHANGE_DELAY;
use crate::view::{MAX_SMALL_VIEW_MEMBERS, Member};

/// The age of the last confirmation at which the first reader reads the values.
const READ_AGE: Duration = Duration::from_millis(300);
/// How much later each further reader reads. A reader that hears of a read need not read itself.
const READER_STEP: Duration = Duration::from_millis(60);
/// The age at which all readers read.
const MAX_READ_AGE: Duration = Duration::from_millis(540);
/// Minimum time between two reads that fail.
const FAILED_READ_INTERVAL: Duration = Duration::from_secs(1);
/// The share, in percent, of the time within which operators' values have to be in force, for which
/// a confirmation holds.
const CURRENT_PERCENT: u32 = 60;
/// The share, in percent, of [`MAX_CHANGE_DELAY`] without a confirmation after which a process that
/// watches the values reads them: its watch may have stalled without notice.
const STALLED_WATCH_PERCENT: u32 = 60;
/// The same share after which a process counts as one that its peers do not keep up to date, and
/// asks members that usually do not inform it.
const SEARCH_PERCENT: u32 = 70;
/// The age up to which members tell each other of a read.
const MAX_TOLD_AGE: Duration = Duration::from_secs(2);
/// How long a process remembers that it knows of a read: much longer than others tell of it.
const READ_MEMORY: Duration = Duration::from_secs(20);

/// When the operators' values in force at this process were confirmed.
#[derive(Debug, Clone, Default)]
pub(crate) struct Freshness {
    /// The latest time at which the store is known to have held nothing newer.
    valid_at: Option<Time>,
    /// When this process learned of a later such time, or got its first values.
    advanced_at: Option<Time>,
    /// The latest read that counted, with its age at that time.
    read: Option<OperatorRead>,
    /// The uptime of each process at its latest read that has counted here, and when it did.
    counted: BTreeMap<Incarnation, (Duration, Time)>,
}

impl Freshness {
    /// Records a read by which the store held the values in force, unless it has counted before.
    fn record(&mut self, now: Time, read: OperatorRead) {
        let OperatorRead { reader, uptime, age, .. } = read;
        if self.counted.get(&reader).is_some_and(|(known, _)| *known >= uptime) {
            return;
        }
        self.counted.retain(|_, (_, at)| now.since(*at) < READ_MEMORY);
        self.counted.insert(reader, (uptime, now));
        let valid_at = Time(now.0.saturating_sub(age));
        if self.valid_at.is_none_or(|known| valid_at > known) {
            self.valid_at = Some(valid_at);
            self.advanced_at = Some(now);
            self.read = Some(read);
        }
    }

    /// Returns the latest read by which the store held the values in force, unless it is too old to
    /// tell others of it.
    fn latest_read(&self, now: Time) -> Option<OperatorRead> {
        let age = now.since(self.valid_at?);
        let read = self.read.filter(|_| age <= MAX_TOLD_AGE)?;
        Some(OperatorRead { age, ..read })
    }

    /// Returns for how long no read has counted, beyond the response time of the store: while that
    /// is long, reads of the same few members are as far apart.
    fn silence(&self, now: Time) -> Duration {
        let took = self.read.map_or(Duration::ZERO, |read| read.took);
        self.advanced_at.map_or(Duration::MAX, |at| now.since(at).saturating_sub(took))
    }
}

impl Membership {
    /// Records a read by which the store held the values in force here, and nothing newer.
    pub(crate) fn confirm_operators(&mut self, now: Time, read: OperatorRead) {
        self.freshness.record(now, read);
    }

    /// Returns the latest such read, to tell others of it.
    pub(crate) fn latest_operator_read(&self, now: Time) -> Option<OperatorRead> {
        self.freshness.latest_read(now)
    }

    /// Records that this process has its first values. Members that are up to date confirm them soon.
    pub(crate) fn begin_confirmations(&mut self, now: Time) {
        self.freshness.advanced_at.get_or_insert(now);
    }

    /// Returns the time since the operators' values in force here were last known to be those in the
    /// store.
    pub(crate) fn confirmed_age(&self, now: Time) -> Option<Duration> {
        self.freshness.valid_at.map(|at| now.since(at))
    }

    /// Returns whether the templates in force here are known to be current: what they do not have
    /// does not exist.
    pub(crate) fn has_current_templates(&self, now: Time) -> bool {
        let wait = self.apply_timeout * CURRENT_PERCENT / 100;
        let is_confirmed = self.confirmed_age(now).is_some_and(|age| age < wait);
        is_confirmed && !self.is_missing_templates(now)
    }

    /// Returns whether this process reads and watches operators' values in the store itself.
    ///
    /// The ranks are those of [`Self::watches_store`], but the age of the list of upstreams says
    /// nothing about operators' values.
    pub(crate) fn watches_operators(&self, now: Time) -> bool {
        let is_small = self.view.members.len() <= MAX_SMALL_VIEW_MEMBERS;
        let is_member = self.is_member();
        let is_exposed = is_member && (is_small || self.is_isolated(now));
        is_exposed || self.unconfirmed_for(now) >= self.watch_delay()
    }

    /// Returns whether a process that watches operators' values has to read them now, because it
    /// has not heard of a read for long, or of a version that does not arrive.
    pub(crate) fn must_read_operators(&self, now: Time) -> bool {
        self.unconfirmed_for(now) >= MAX_CHANGE_DELAY * STALLED_WATCH_PERCENT / 100
    }

    /// Returns whether a reader has to read operators' values now.
    pub(crate) fn is_operator_read_due(&self, now: Time) -> bool {
        let order = u32::try_from(self.ranks.reading_order()).unwrap_or(u32::MAX);
        let wait = READ_AGE.saturating_add(READER_STEP.saturating_mul(order)).min(MAX_READ_AGE);
        let has_failed = self.operators_lost_at.is_some();
        let interval = if has_failed { FAILED_READ_INTERVAL } else { wait };
        let is_old = self.confirmed_age(now).is_none_or(|age| age >= wait);
        is_old && is_due(now, self.templates_read_at, interval)
    }

    /// Returns the members to ask for newer values, if those that should inform this process do not:
    /// one of the members that it has heard lately, and one of all members, each by turns.
    pub(crate) fn informed_peers(&mut self, now: Time) -> Vec<Incarnation> {
        let wait = MAX_CHANGE_DELAY * SEARCH_PERCENT / 100;
        let is_searching = self.is_missing_templates(now) || self.hears_few(now);
        if !self.is_member() || !is_searching || self.unconfirmed_for(now) < wait {
            return Vec::new();
        }
        let turn = self.search_turn;
        self.search_turn = turn.wrapping_add(1);
        let members = &self.view.members;
        let is_heard =
            |m: &&Member| self.unheard_for(now, m.incarnation) < self.unresponsive_after / 2;
        let heard: Vec<_> = members.iter().filter(is_heard).map(|m| m.incarnation).collect();
        let near = turn.checked_rem(heard.len()).and_then(|index| heard.get(index)).copied();
        let index = (self.own_index() + 1 + turn).checked_rem(members.len());
        let any = index.and_then(|index| members.get(index)).map(|m| m.incarnation);
        let mut peers: Vec<_> = near.into_iter().chain(any).collect();
        peers.dedup();
        peers.retain(|id| *id != self.id());
        peers
    }

    /// Returns whether this process has no templates though the members that it hears have had some
    /// for long: it has started beside a running fleet, and its requests are not answered.
    pub(crate) fn must_bootstrap_alone(&self, now: Time) -> bool {
        let missing = self.pending_templates.missing(now);
        missing.is_some_and(|(_, span)| span >= self.watch_delay())
    }

    /// Returns whether this process has no templates yet, or waits for newer ones.
    pub(crate) fn expects_templates(&self, now: Time, in_force: TemplateVersion) -> bool {
        in_force == TemplateVersion(0) || self.is_missing_templates(now)
    }

    /// Returns whether this process has not heard most of the members that it watches lately.
    fn hears_few(&self, now: Time) -> bool {
        let silences = self.watched().map(|(_, m)| self.silence(now, m.incarnation));
        let (heard, silent): (Vec<_>, Vec<_>) =
            silences.partition(|silence| *silence < self.unresponsive_after / 2);
        heard.len() < silent.len()
    }

    /// Returns whether a newer version of the templates is known to exist.
    fn is_missing_templates(&self, now: Time) -> bool {
        self.pending_templates.missing(now).is_some()
    }

    /// Returns the time for which nobody has confirmed the operators' values in force here, or for
    /// which a newer version has been known to exist, whichever is longer.
    fn unconfirmed_for(&self, now: Time) -> Duration {
        let missing = self.pending_templates.missing(now).map(|(_, span)| span);
        self.freshness.silence(now).max(missing.unwrap_or_default())
    }

    /// Returns the time without a confirmation after which this process watches operators' values. If
    /// they are too large for all members to read at once, most wait longer in proportion.
    fn watch_delay(&self) -> Duration {
        let delay = MAX_CHANGE_DELAY * self.ranks.watch_delay_percent(false).unwrap_or(100) / 100;
        let entries = self.view.members.len().saturating_mul(self.template_entries);
        if !self.ranks.can_probe() && entries > MAX_FALLBACK_ENTRIES {
            let factor = entries.div_ceil(MAX_FALLBACK_ENTRIES);
            return delay.saturating_mul(u32::try_from(factor).unwrap_or(u32::MAX));
        }
        delay
    }
}
