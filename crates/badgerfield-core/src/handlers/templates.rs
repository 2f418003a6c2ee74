//! Templates: applies them from the store and from peers, and never goes back to an older version.

use crate::amount::Time;
use crate::event::{Command, LogEntry, Outbox, Versioned};
use crate::ids::{BudgetId, Incarnation, TemplateVersion};
use crate::ledger::BudgetTerms;
use crate::message::Message;
use crate::node::Node;
use crate::template::{TemplateDelta, TemplateSet};
use crate::template_arrival::TemplateSource;

impl Node {
    /// Applies the templates that were read from the store. Returns their version, if they are valid.
    pub(crate) fn apply_stored_templates(
        &self,
        now: Time,
        found: &Versioned,
        out: &mut Outbox,
    ) -> Option<TemplateVersion> {
        found.value.as_ref().and_then(|bytes| self.apply_encoded_templates(now, bytes, out))
    }

    /// Decodes and applies templates that operators have written. Returns their version, if they are
    /// valid.
    pub(crate) fn apply_encoded_templates(
        &self,
        now: Time,
        bytes: &[u8],
        out: &mut Outbox,
    ) -> Option<TemplateVersion> {
        match TemplateSet::decode(bytes) {
            Ok(set) => {
                let version = set.version;
                self.apply_templates(now, set, TemplateSource::Store, out);
                Some(version)
            }
            Err(error) => {
                out.push(Command::Log(LogEntry::BadTemplates(error.to_string())));
                None
            }
        }
    }

    /// Applies a set of templates if it is valid and newer, or if the store has other contents under
    /// the version in force.
    pub(crate) fn apply_templates(
        &self,
        now: Time,
        set: TemplateSet,
        source: TemplateSource,
        out: &mut Outbox,
    ) {
        let delta = {
            let mut table = self.state.templates();
            let is_from_store = source == TemplateSource::Store;
            let differs = is_from_store && table.differs_from(&set);
            if (set.version <= table.version && !differs) || !set.errors().is_empty() {
                return;
            }
            if differs {
                out.push(Command::Log(LogEntry::TemplatesDiffered(set.version)));
            }
            let base = std::mem::replace(&mut *table, set).version;
            let history = (is_from_store && !differs).then(|| self.state.template_history());
            history.and_then(|history| history.delta(&table, base))
        };
        if let Some(delta) = delta {
            self.broadcast_templates(now, delta, out);
        }
        self.process_template_change(now, source, out);
    }

    /// Applies a delta. If a newer one does not apply, fetches another delta or the complete set.
    pub(crate) fn apply_template_delta(
        &self,
        now: Time,
        from: Incarnation,
        delta: TemplateDelta,
        out: &mut Outbox,
    ) {
        let named = delta.version;
        let (is_newer, needs_full, is_applied, version) = {
            let mut table = self.state.templates();
            let is_newer = named > table.version;
            // A delta with another base does not fit the set here, but the one sent in reply to the
            // fetch may. If one with the right base does not apply, the complete set is needed.
            let needs_full = delta.base == table.version;
            let is_applied = table.apply_delta(delta);
            (is_newer, needs_full, is_applied, table.version)
        };
        if is_applied {
            self.process_template_change(now, TemplateSource::Peer(from), out);
            return;
        }
        if !is_newer {
            return;
        }
        let epoch = {
            let mut members = self.state.membership();
            members.pending_templates.notice(now, named);
            members.pending_templates.record_unapplied();
            members.pending_templates.record_fetch();
            members.view.epoch
        };
        out.send(from, Message::Fetch { epoch, version, full: needs_full });
    }

    /// Updates the terms of a budget, and the share of it that VMs hold ahead of demand, in the
    /// holdings.
    pub(crate) fn update_terms(&self, now: Time, budget: &BudgetId) {
        let terms = {
            let table = self.state.templates();
            let Some((template, account)) = table.budgets.get(budget).zip(table.account_of(budget))
            else {
                return;
            };
            let version = template.changed;
            let (period, limit) = (template.period, template.limit);
            (BudgetTerms { version, period, limit }, account.spread)
        };
        self.state.holdings().update_terms(now, budget, terms.0, terms.1);
    }

    fn process_template_change(&self, now: Time, source: TemplateSource, out: &mut Outbox) {
        let (version, entries) = {
            let table = self.state.templates();
            self.state.template_history().record(&table);
            let entries = table.accounts.len() + table.budgets.len() + table.routing.routes.len();
            (table.version, entries)
        };
        let arrival = {
            let mut members = self.state.membership();
            members.template_entries = entries;
            members.begin_confirmations(now);
            members.pending_templates.finish(now, version, source)
        };
        out.push(Command::Log(LogEntry::Templates(arrival)));
        let budgets: Vec<_> = self.state.holdings().budgets().cloned().collect();
        for budget in budgets {
            let before = self.state.holdings().period(&budget);
            self.update_terms(now, &budget);
            if self.state.holdings().period(&budget) != before {
                out.push(Command::Log(LogEntry::BudgetRenewed(budget)));
            }
        }
        self.send_templates_to_waiters(out);
        self.send_heartbeats(now, out);
    }

    /// Sends the templates to the members that asked for them before they arrived here.
    fn send_templates_to_waiters(&self, out: &mut Outbox) {
        let waiters = self.state.membership().take_template_waiters();
        for (id, version) in waiters {
            self.send_templates(id, version, version == TemplateVersion(0), out);
        }
    }

    /// Sends templates to a process that has a version: the differences, or the complete set.
    pub(crate) fn send_templates(
        &self,
        to: Incarnation,
        version: TemplateVersion,
        needs_full: bool,
        out: &mut Outbox,
    ) {
        let table = self.state.templates();
        if table.version <= version {
            return;
        }
        let delta = self.state.template_history().delta(&table, version).filter(|_| !needs_full);
        let message = match delta {
            Some(delta) => Message::TemplateDelta(Box::new(delta)),
            None => Message::Templates(Box::new(table.clone())),
        };
        out.send(to, message);
    }
}
