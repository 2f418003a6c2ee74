//! Templates: the operators' configuration of accounts, budgets and routes, stored as one
//! versioned value.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::amount::{Percent, Tokens};
use crate::ids::{
    Account, Adapter, Author, BudgetId, Hardware, IdError, Model, Period, Region, Service,
    TemplateVersion,
};
use crate::residency::Residency;
use crate::routing::{RoutePart, Routing, RoutingDelta};

/// The maximum priority of a client account.
pub const MAX_PRIORITY: u32 = 1000;
/// The maximum output limit of a request.
pub const MAX_OUTPUT_TOKENS: Tokens = Tokens(1 << 20);
/// The maximum time that a request may wait in the queue.
pub const MAX_QUEUE_WAIT: Duration = Duration::from_mins(2);
/// The maximum number of changes in the audit trail.
pub const MAX_HISTORY_LEN: usize = 200;
/// The maximum size of an encoded set, which leaves room below the store's limit of 1 MB.
pub const MAX_ENCODED_BYTES: usize = 900_000;

/// The SHA-256 digest of the secret key with which a caller proves that it may use a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest(pub [u8; 32]);

impl KeyDigest {
    /// Returns the digest of a secret.
    #[must_use]
    pub fn from_secret(secret: &str) -> Self {
        Self(Sha256::digest(secret.as_bytes()).into())
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl FromStr for KeyDigest {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let invalid = || IdError::NotHex(text.chars().take(80).collect());
        if text.len() != 64 || !text.is_ascii() {
            return Err(invalid());
        }
        let mut bytes = [0; 32];
        for (i, byte) in bytes.iter_mut().enumerate() {
            let digits = text.get(2 * i..2 * i + 2).ok_or_else(invalid)?;
            *byte = u8::from_str_radix(digits, 16).map_err(|_| invalid())?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self, IdError> {
        text.parse()
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        digest.to_string()
    }
}

/// The operators' settings for one client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountTemplate {
    /// The version of the set in which this template last changed.
    pub changed: TemplateVersion,
    /// The weight of the account in the fair queue.
    pub priority: u32,
    /// The models that the account may use.
    pub models: BTreeSet<Model>,
    /// The adapters that the account may use.
    pub adapters: BTreeSet<Adapter>,
    /// The hardware that the account may use; empty means all.
    pub hardware: BTreeSet<Hardware>,
    /// The plain services that the account may call.
    pub services: BTreeSet<Service>,
    /// The path prefixes of plain services whose calls must not be retried.
    pub unrepeatable: BTreeSet<String>,
    /// The region whose VMs decide about request keys without a region prefix.
    pub home: Option<Region>,
    /// The share of a budget that the VMs hold ahead of demand.
    pub spread: Percent,
    /// The default output limit of a request.
    pub output_limit: Tokens,
    /// The cost of one call of a plain service, in tokens.
    pub call_cost: Tokens,
    /// The maximum time that a request may wait in the queue.
    pub queue_wait: Duration,
    /// The regions in which the account's requests may be served, cached and stored.
    #[serde(default)]
    pub regions: Residency,
}

/// The operators' settings for one prepaid budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetTemplate {
    /// The version of the set in which this template last changed.
    pub changed: TemplateVersion,
    /// The number of tokens that may be spent in the period.
    pub limit: Tokens,
    /// The number of the period; a higher number renews the budget.
    pub period: Period,
    /// The digests of the secret keys that may use this budget.
    pub keys: BTreeSet<KeyDigest>,
}

/// An entry of the audit trail of template changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TemplateChange {
    /// The version that the change created.
    pub version: TemplateVersion,
    /// The author of the change.
    pub author: Author,
    /// The time of the change by the operator's clock, in seconds since 1970; for information only.
    pub at: u64,
    /// An id of the write, chosen by the writer. If the reply to the write was lost, it shows
    /// whether the write took effect.
    pub mark: String,
    /// The differences from the previous version, one per line.
    pub diff: Vec<String>,
}

/// All templates with their version and audit trail.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TemplateSet {
    /// The version of the whole set.
    pub version: TemplateVersion,
    /// The templates of the client accounts, by account.
    pub accounts: BTreeMap<Account, AccountTemplate>,
    /// The templates of the budgets, by budget.
    pub budgets: BTreeMap<BudgetId, BudgetTemplate>,
    /// The latest changes, from oldest to newest.
    pub history: Vec<TemplateChange>,
    /// The routes and services.
    #[serde(default)]
    pub routing: Routing,
}

/// An error in a set of templates.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TemplateError {
    /// The account of a budget has no template.
    #[error("budget {0}: no template for its account; add [account {1}]")]
    NoAccount(BudgetId, String),
    /// The priority is outside its range.
    #[error("account {0}: expected a priority from 1 to {MAX_PRIORITY}, found {1}")]
    Priority(Account, u32),
    /// The output limit is outside its range.
    #[error("account {0}: expected an output limit from 1 to {MAX_OUTPUT_TOKENS}, found {1}")]
    OutputLimit(Account, Tokens),
    /// The queue wait is outside its range.
    #[error("account {0}: expected a queue wait of at most 120s, found {1:?}")]
    QueueWait(Account, Duration),
    /// The account may use no model and no service.
    #[error("account {0}: expected at least one model or service")]
    NothingAllowed(Account),
    /// The limit exceeds the largest amount that arithmetic allows, [`Tokens::MAX`].
    #[error("budget {0}: expected a limit of at most {max}, found {1}", max = Tokens::MAX)]
    Limit(BudgetId, Tokens),
    /// Two budgets have the same key.
    #[error("budget {0}: a key also belongs to budget {1}; every key draws on one budget")]
    SharedKey(BudgetId, BudgetId),
    /// The period of a budget was decreased.
    #[error("budget {id}: expected a period of at least {least}, found {found}")]
    PeriodDecreased {
        /// The id of the budget.
        id: BudgetId,
        /// The period in force.
        least: Period,
        /// The period in the new set.
        found: Period,
    },
    /// The encoded set is larger than [`MAX_ENCODED_BYTES`].
    #[error("expected at most {MAX_ENCODED_BYTES} bytes encoded, found {0}; remove templates")]
    TooLarge(usize),
}

impl TemplateSet {
    /// Returns all errors in the set.
    #[must_use]
    pub fn errors(&self) -> Vec<TemplateError> {
        let mut errors = Vec::new();
        for (id, account) in &self.accounts {
            account.collect_errors(id, &mut errors);
        }
        let mut owners = BTreeMap::new();
        for (id, budget) in &self.budgets {
            if self.account_of(id).is_none() {
                let account = account_name(id).to_owned();
                errors.push(TemplateError::NoAccount(id.clone(), account));
            }
            if budget.limit > Tokens::MAX {
                errors.push(TemplateError::Limit(id.clone(), budget.limit));
            }
            for key in &budget.keys {
                if let Some(other) = owners.insert(*key, id) {
                    errors.push(TemplateError::SharedKey(id.clone(), other.clone()));
                }
            }
        }
        errors
    }

    /// Returns the template of the account that owns a budget.
    #[must_use]
    pub fn account_of(&self, id: &BudgetId) -> Option<&AccountTemplate> {
        let account = account_name(id).parse().ok()?;
        self.accounts.get(&account)
    }

    /// Returns the next version of the set, with its templates replaced by the wanted ones.
    ///
    /// An unchanged template keeps the version of its last change. `write_id` identifies the write:
    /// if its reply is lost, the writer looks for this id in the stored history.
    ///
    /// # Errors
    ///
    /// Returns all errors of the new set; no part of an invalid set takes effect.
    pub fn replace(
        &self,
        mut wanted: Self,
        author: Author,
        at: u64,
        write_id: String,
    ) -> Result<Self, Vec<TemplateError>> {
        let version = self.version.next();
        let mut diff = Vec::new();
        for (id, account) in &mut wanted.accounts {
            account.changed = version;
            let Some(old) = self.accounts.get(id) else {
                diff.push(format!("account {id} added"));
                continue;
            };
            account.changed = old.changed;
            if account != old {
                account.changed = version;
                diff.push(format!("account {id} changed"));
            }
        }
        let mut errors = Vec::new();
        for (id, budget) in &mut wanted.budgets {
            budget.changed = version;
            let Some(old) = self.budgets.get(id) else {
                diff.push(format!("budget {id} added: limit {}", budget.limit));
                continue;
            };
            if budget.period < old.period {
                let (least, found) = (old.period, budget.period);
                let id = id.clone();
                errors.push(TemplateError::PeriodDecreased { id, least, found });
                continue;
            }
            budget.changed = old.changed;
            if budget != old {
                budget.changed = version;
                diff.push(describe_change(id, old, budget));
            }
        }
        for id in self.accounts.keys() {
            if !wanted.accounts.contains_key(id) {
                diff.push(format!("account {id} removed"));
            }
        }
        for id in self.budgets.keys() {
            if !wanted.budgets.contains_key(id) {
                diff.push(format!("budget {id} removed"));
            }
        }
        errors.extend(wanted.errors());
        if !errors.is_empty() {
            return Err(errors);
        }
        wanted.version = version;
        wanted.history.clone_from(&self.history);
        wanted.history.push(TemplateChange { version, author, at, mark: write_id, diff });
        let excess = wanted.history.len().saturating_sub(MAX_HISTORY_LEN);
        wanted.history.drain(..excess);
        let size = wanted.encode().len();
        if size > MAX_ENCODED_BYTES {
            return Err(vec![TemplateError::TooLarge(size)]);
        }
        Ok(wanted)
    }

    /// Returns whether another set has the same version with other contents.
    pub(crate) fn differs_from(&self, other: &Self) -> bool {
        let is_same = self.accounts == other.accounts
            && self.budgets == other.budgets
            && self.routing == other.routing;
        self.version == other.version && !is_same
    }

    /// Returns whether every template counts as changed in this version.
    pub(crate) fn is_rewritten(&self) -> bool {
        let accounts = self.accounts.values().all(|t| t.changed == self.version);
        accounts && self.budgets.values().all(|t| t.changed == self.version)
    }

    /// Marks every template as changed in this version.
    fn mark_rewritten(&mut self) {
        for account in self.accounts.values_mut() {
            account.changed = self.version;
        }
        for budget in self.budgets.values_mut() {
            budget.changed = self.version;
        }
    }

    /// Encodes the set as the value that is kept in the store.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // Serialization cannot fail: all map keys are strings and all fields have a JSON form.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes and validates a stored value.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not JSON of the expected form or the set has an error.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let set: Self = serde_json::from_slice(bytes)?;
        let errors = set.errors();
        if let Some(error) = errors.into_iter().next() {
            return Err(DecodeError::Faulty(Box::new(error)));
        }
        Ok(set)
    }

    /// Returns the changes since a version, for a process that has that version.
    #[must_use]
    pub fn delta_since(&self, version: TemplateVersion) -> TemplateDelta {
        let mut delta = TemplateDelta { version: self.version, ..TemplateDelta::default() };
        for (id, account) in &self.accounts {
            if account.changed > version {
                delta.accounts.push((id.clone(), account.clone()));
            }
        }
        for (id, budget) in &self.budgets {
            if budget.changed > version {
                delta.budgets.push((id.clone(), budget.clone()));
            }
        }
        delta.routing = Some(&self.routing).filter(|r| **r != Routing::default()).map(full_delta);
        delta.base = version;
        delta.account_count = self.accounts.len();
        delta.budget_count = self.budgets.len();
        delta
    }

    /// Applies a delta and returns true, or returns false if it cannot be applied.
    ///
    /// A delta cannot be applied if it is not newer, if it is based on another version, if
    /// templates were removed, or if the resulting set is invalid. The caller must then request
    /// the whole set.
    pub fn apply_delta(&mut self, delta: TemplateDelta) -> bool {
        if delta.version <= self.version || delta.base != self.version {
            return false;
        }
        let mut next = self.clone();
        next.accounts.extend(delta.accounts);
        next.budgets.extend(delta.budgets);
        if let Some(routing) = delta.routing {
            let Some(routing) = routing.apply(&next.routing) else {
                return false;
            };
            next.routing = routing;
        }
        next.version = delta.version;
        if delta.is_rewritten {
            next.mark_rewritten();
        }
        let is_complete =
            next.accounts.len() == delta.account_count && next.budgets.len() == delta.budget_count;
        if !is_complete || !next.errors().is_empty() {
            return false;
        }
        *self = next;
        true
    }
}

impl AccountTemplate {
    fn collect_errors(&self, id: &Account, errors: &mut Vec<TemplateError>) {
        if self.priority == 0 || self.priority > MAX_PRIORITY {
            errors.push(TemplateError::Priority(id.clone(), self.priority));
        }
        if self.output_limit.is_zero() || self.output_limit > MAX_OUTPUT_TOKENS {
            errors.push(TemplateError::OutputLimit(id.clone(), self.output_limit));
        }
        if self.queue_wait > MAX_QUEUE_WAIT {
            errors.push(TemplateError::QueueWait(id.clone(), self.queue_wait));
        }
        if self.models.is_empty() && self.services.is_empty() {
            errors.push(TemplateError::NothingAllowed(id.clone()));
        }
    }
}

/// The changes between two versions of a set, as sent between processes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TemplateDelta {
    /// The version to which the delta applies.
    pub base: TemplateVersion,
    /// The version that results from the delta.
    pub version: TemplateVersion,
    /// The account templates that changed.
    pub accounts: Vec<(Account, AccountTemplate)>,
    /// The budget templates that changed.
    pub budgets: Vec<(BudgetId, BudgetTemplate)>,
    /// The changes of routes and services, if any.
    pub routing: Option<RoutingDelta>,
    /// Whether every template counts as changed in this version, as with a platform that always
    /// writes the whole set.
    pub is_rewritten: bool,
    /// The number of account templates in the new version, to detect removals.
    pub account_count: usize,
    /// The number of budget templates in the new version, to detect removals.
    pub budget_count: usize,
}

/// The error of decoding a set of templates.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The value is not JSON of the expected form.
    #[error("expected a set of templates in JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The set has an error.
    #[error("invalid set of templates: {0}")]
    Faulty(Box<TemplateError>),
}

/// Returns a delta that contains all routes and services, and so applies to any older routing.
fn full_delta(routing: &Routing) -> RoutingDelta {
    let parts = routing.routes.iter().map(|r| RoutePart::New(Box::new(r.clone()))).collect();
    let rest = Routing { routes: Vec::new(), ..routing.clone() };
    RoutingDelta { parts, rest: Some(rest) }
}

/// Returns the account part of a budget id.
#[must_use]
pub fn account_name(id: &BudgetId) -> &str {
    let text = id.as_str();
    text.split_once('/').map_or(text, |(account, _)| account)
}

/// Returns the line of the audit trail for a changed budget.
fn describe_change(id: &BudgetId, old: &BudgetTemplate, new: &BudgetTemplate) -> String {
    if old.period != new.period {
        return format!("budget {id} renewed: period {}, limit {}", new.period, new.limit);
    }
    if old.limit != new.limit {
        return format!("budget {id}: limit {} to {}", old.limit, new.limit);
    }
    format!("budget {id}: keys changed")
}
