//! Values that operators write: who reads them from the store, and how the others learn of it.
//!
//! A member that reads the values broadcasts what has changed, and otherwise, from time to time,
//! that it has read them, and what it found. That confirms the values of members that have the same;
//! the others fetch newer templates. Members whose values nobody confirms read the store themselves.
//! This does not depend on the list of upstreams: members that confirm the list need not have
//! read the operators' values.

use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use crate::amount::Time;
use crate::broadcast;
use crate::event::{Command, LogEntry, Outbox, StoreResult, is_due};
use crate::handlers::members::fetch_interval;
use crate::ids::{Incarnation, TemplateVersion};
use crate::message::{Message, OperatorRead, OperatorUpdate};
use crate::node::Node;
use crate::template::TemplateDelta;
use crate::template_arrival::TemplateStatus;

/// Minimum time between two broadcasts that announce a read without changes; somewhat less than
/// that between two reads of the first reader.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum encoded size of a difference that is broadcast. A member sends it to as many others as
/// the fleet's size has binary digits; larger ones are fetched.
const MAX_BROADCAST_BYTES: usize = 8 << 10;

impl Node {
    /// Returns whether this process reads and watches operators' values in the store itself.
    #[must_use]
    pub fn watches_operators(&self, now: Time) -> bool {
        self.state.membership().watches_operators(now)
    }

    /// Returns whether a process that watches operators' values has to read them, because no
    /// member has for so long that the watches seem to have stalled.
    #[must_use]
    pub fn must_read_operators(&self, now: Time) -> bool {
        self.state.membership().must_read_operators(now)
    }

    /// Handles the result of a read of operators' values that was requested at a time.
    pub(crate) fn handle_operator_read(
        &self,
        now: Time,
        requested_at: Time,
        result: StoreResult,
        out: &mut Outbox,
    ) {
        self.log_operator_read(now, &result, out);
        let stored = match result {
            StoreResult::Value(found) => self.apply_stored_templates(now, &found, out),
            StoreResult::Operators(found) => self.apply_operator_values(now, found, out),
            _ => return,
        };
        self.announce_operator_read(now, requested_at, stored, out);
    }

    /// Applies an update of operators' values and forwards it to this process's part of the ring.
    pub(crate) fn receive_operator_update(
        &self,
        now: Time,
        from: Incarnation,
        update: OperatorUpdate,
        out: &mut Outbox,
    ) {
        let targets = {
            let mut members = self.state.membership();
            if update.read.is_some() {
                members.operators_announced_at = Some(now);
            }
            if update.reach == 0 {
                Vec::new()
            } else {
                members.broadcast_targets(now, update.reach)
            }
        };
        for (to, reach) in targets {
            out.send(to, Message::Operators(OperatorUpdate { reach, ..update.clone() }));
        }
        match update.delta {
            Some(delta) => self.apply_template_delta(now, from, *delta, out),
            None => self.fetch_newer_templates(now, from, update.version, out),
        }
        if let Some(read) = update.read {
            self.confirm_operators(now, read, update.digest);
        }
    }

    /// Records a read of the store that found values with a digest. This confirms the values in force
    /// here only if they are the same: older ones come from a read before the latest change, or from
    /// one that is stale.
    pub(crate) fn confirm_operators(&self, now: Time, read: OperatorRead, stored: u64) {
        if stored == self.operators_digest() {
            self.state.membership().confirm_operators(now, read);
        }
    }

    /// Returns a digest of the operators' values in force here.
    #[must_use]
    pub fn operators_digest(&self) -> u64 {
        let version = self.state.templates().version;
        let templates = self.state.template_history().content_digest();
        let evacuations = self.state.evacuations().active_digest();
        let orders = self.state.rollouts().order_digest();
        let mut digest = Xxh3::new();
        for part in [version.0, templates, evacuations, orders] {
            digest.update(&part.to_le_bytes());
        }
        digest.digest()
    }

    /// Asks members for newer templates if those that should inform this process do not.
    pub(crate) fn search_newer_templates(&self, now: Time, out: &mut Outbox) {
        let mut members = self.state.membership();
        let interval = fetch_interval(members.view.members.len());
        if !is_due(now, members.fetch_sent_at, interval) {
            return;
        }
        let peers = members.informed_peers(now);
        if peers.is_empty() {
            return;
        }
        members.fetch_sent_at = Some(now);
        members.pending_templates.record_fetch();
        let (epoch, version) = (members.view.epoch, self.state.templates().version);
        for to in peers {
            out.send(to, Message::Fetch { epoch, version, full: false });
        }
    }

    /// Broadcasts a change of the templates that was read from the store.
    pub(crate) fn broadcast_templates(&self, now: Time, delta: TemplateDelta, out: &mut Outbox) {
        let version = delta.version;
        let size = postcard::to_stdvec(&delta).map_or(usize::MAX, |bytes| bytes.len());
        let delta = (size <= MAX_BROADCAST_BYTES).then(|| Box::new(delta));
        let update = OperatorUpdate { delta, version, digest: 0, read: None, reach: 0 };
        self.broadcast_operator_update(now, &update, out);
    }

    /// Records that this process has read operators' values, and announces it if no member has done
    /// so recently. A stale read confirms nothing.
    fn announce_operator_read(
        &self,
        now: Time,
        requested_at: Time,
        stored: Option<TemplateVersion>,
        out: &mut Outbox,
    ) {
        let version = self.state.templates().version;
        // Templates that cannot be used leave those in force as they are.
        if stored.is_some_and(|stored| stored != version) {
            return;
        }
        let took = now.since(requested_at);
        let read = OperatorRead { reader: self.id(), uptime: requested_at.0, took, age: took };
        {
            let mut members = self.state.membership();
            members.confirm_operators(now, read);
            if !is_due(now, members.operators_announced_at, ANNOUNCE_INTERVAL) {
                return;
            }
        }
        let (read, digest) = (Some(read), self.operators_digest());
        let update = OperatorUpdate { delta: None, version, digest, read, reach: 0 };
        self.broadcast_operator_update(now, &update, out);
    }

    fn broadcast_operator_update(&self, now: Time, update: &OperatorUpdate, out: &mut Outbox) {
        let mut members = self.state.membership();
        if update.read.is_some() {
            members.operators_announced_at = Some(now);
        }
        for (to, reach) in members.broadcast_targets(now, broadcast::full_reach(&members.view)) {
            out.send(to, Message::Operators(OperatorUpdate { reach, ..update.clone() }));
        }
    }

    /// Fetches templates from a process that has newer ones, unless a fetch is in progress.
    pub(crate) fn fetch_newer_templates(
        &self,
        now: Time,
        from: Incarnation,
        version: TemplateVersion,
        out: &mut Outbox,
    ) {
        let mut members = self.state.membership();
        let known = self.state.templates().version;
        // A process that has just started requests its first templates in another way.
        if version <= known || known == TemplateVersion(0) {
            return;
        }
        members.pending_templates.notice(now, version);
        if !is_due(now, members.fetch_sent_at, fetch_interval(members.view.members.len())) {
            return;
        }
        members.fetch_sent_at = Some(now);
        members.pending_templates.record_fetch();
        let epoch = members.view.epoch;
        out.send(from, Message::Fetch { epoch, version: known, full: false });
    }

    /// Returns how current the templates of this process are, as far as it knows.
    #[must_use]
    pub fn template_status(&self, now: Time) -> TemplateStatus {
        let members = self.state.membership();
        let version = self.state.templates().version;
        let missing = members.pending_templates.missing(now);
        TemplateStatus {
            version,
            newest: missing.map_or(version, |(newest, _)| newest),
            missing_for: missing.map(|(_, span)| span),
            confirmed_age: members.confirmed_age(now),
        }
    }

    /// Returns whether the templates in force here are known to be current: what they do not have
    /// does not exist.
    #[must_use]
    pub fn has_current_templates(&self, now: Time) -> bool {
        self.state.membership().has_current_templates(now)
    }

    /// Logs that a newer version of the templates has been missing for long.
    pub(crate) fn report_missing_templates(&self, now: Time, out: &mut Outbox) {
        if self.state.membership().pending_templates.report_missing(now) {
            out.push(Command::Log(LogEntry::TemplatesMissing(self.template_status(now))));
        }
    }

    fn log_operator_read(&self, now: Time, result: &StoreResult, out: &mut Outbox) {
        let is_answered = matches!(result, StoreResult::Value(_) | StoreResult::Operators(_));
        let mut members = self.state.membership();
        if !is_answered && members.operators_lost_at.is_none() {
            members.operators_lost_at = Some(now);
            out.push(Command::Log(LogEntry::OperatorsLost));
        }
        if let Some(lost) = members.operators_lost_at.take_if(|_| is_answered) {
            out.push(Command::Log(LogEntry::OperatorsRegained(now.since(lost))));
        }
    }
}
