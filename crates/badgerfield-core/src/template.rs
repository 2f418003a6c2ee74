//! Templates: what operators write, as one value with a version.

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

/// The largest priority of a client account.
pub const MAX_PRIORITY: u32 = 1000;
/// The largest output limit of a request.
pub const MAX_OUTPUT_TOKENS: Tokens = Tokens(1 << 20);
/// The longest time a request may wait in the queue.
pub const MAX_WAIT: Duration = Duration::from_mins(2);
/// How many changes the audit trail keeps.
pub const MAX_HISTORY: usize = 200;
/// The largest encoded set, with room left below the service's limit of 1 MB.
pub const MAX_ENCODED: usize = 900_000;

/// The SHA-256 digest of the secret with which a caller proves which budget it draws on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest(pub [u8; 32]);

impl KeyDigest {
    /// Digests a secret.
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
        let bad = || IdError::NotHex(text.chars().take(80).collect());
        if text.len() != 64 || !text.is_ascii() {
            return Err(bad());
        }
        let mut bytes = [0; 32];
        for (i, byte) in bytes.iter_mut().enumerate() {
            let digits = text.get(2 * i..2 * i + 2).ok_or_else(bad)?;
            *byte = u8::from_str_radix(digits, 16).map_err(|_| bad())?;
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

/// What operators set for one client account.
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
    /// The path prefixes of plain services whose calls may not be repeated.
    pub unrepeatable: BTreeSet<String>,
    /// The region that decides about keys without a region prefix.
    pub home: Option<Region>,
    /// How much of a budget the VMs hold ahead of demand.
    pub spread: Percent,
    /// The output limit of a request that names none.
    pub output_limit: Tokens,
    /// What one call of a plain service costs.
    pub call_cost: Tokens,
    /// How long a request may wait in the queue.
    pub queue_wait: Duration,
    /// The regions in which its requests may be served, cached and stored.
    #[serde(default)]
    pub regions: Residency,
}

/// What operators set for one prepaid budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetTemplate {
    /// The version of the set in which this template last changed.
    pub changed: TemplateVersion,
    /// The tokens that may be spent in the period.
    pub limit: Tokens,
    /// The period; a higher number renews the budget.
    pub period: Period,
    /// The digests of the secrets that draw on this budget.
    pub keys: BTreeSet<KeyDigest>,
}

/// One line of the audit trail of template changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TemplateChange {
    /// The version that the change made.
    pub version: TemplateVersion,
    /// Who made it.
    pub author: Author,
    /// When, by the operator's clock, in seconds since 1970; for people to read only.
    pub at: u64,
    /// The writer's own mark, by which it finds out whether a lost reply took effect.
    pub mark: String,
    /// What changed, a line each.
    pub diff: Vec<String>,
}

/// All templates with their version and audit trail.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TemplateSet {
    /// The version of the whole set.
    pub version: TemplateVersion,
    /// The templates of the client accounts.
    pub accounts: BTreeMap<Account, AccountTemplate>,
    /// The templates of the budgets.
    pub budgets: BTreeMap<BudgetId, BudgetTemplate>,
    /// The latest changes, oldest first.
    pub history: Vec<TemplateChange>,
    /// The routes and services.
    #[serde(default)]
    pub routing: Routing,
}

/// One fault of a set of templates.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TemplateFault {
    /// A budget's account has no template.
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
    /// The account may use nothing.
    #[error("account {0}: expected at least one model or service")]
    NothingAllowed(Account),
    /// The limit is larger than arithmetic allows.
    #[error("budget {0}: expected a limit of at most {max}, found {1}", max = Tokens::MAX)]
    Limit(BudgetId, Tokens),
    /// Two budgets have the same key.
    #[error("budget {0}: a key also belongs to budget {1}; every key draws on one budget")]
    SharedKey(BudgetId, BudgetId),
    /// A budget went back to an earlier period.
    #[error("budget {id}: expected a period of at least {least}, found {found}")]
    PeriodDecreased {
        /// The budget.
        id: BudgetId,
        /// The period in force.
        least: Period,
        /// The period that was written.
        found: Period,
    },
    /// The encoded set would not fit into one value.
    #[error("expected at most {MAX_ENCODED} bytes encoded, found {0}; remove templates")]
    TooLarge(usize),
}

impl TemplateSet {
    /// Lists every fault of the set.
    #[must_use]
    pub fn faults(&self) -> Vec<TemplateFault> {
        let mut faults = Vec::new();
        for (id, account) in &self.accounts {
            account.faults(id, &mut faults);
        }
        let mut owners = BTreeMap::new();
        for (id, budget) in &self.budgets {
            if self.account_of(id).is_none() {
                let account = account_name(id).to_owned();
                faults.push(TemplateFault::NoAccount(id.clone(), account));
            }
            if budget.limit > Tokens::MAX {
                faults.push(TemplateFault::Limit(id.clone(), budget.limit));
            }
            for key in &budget.keys {
                if let Some(other) = owners.insert(*key, id) {
                    faults.push(TemplateFault::SharedKey(id.clone(), other.clone()));
                }
            }
        }
        faults
    }

    /// Returns the template of the account that owns a budget.
    #[must_use]
    pub fn account_of(&self, id: &BudgetId) -> Option<&AccountTemplate> {
        let account = account_name(id).parse().ok()?;
        self.accounts.get(&account)
    }

    /// Makes the set that follows this one, with the wanted templates in force.
    ///
    /// Templates that did not change keep the version in which they last did.
    ///
    /// # Errors
    ///
    /// Returns every fault of the new set; nothing of it is in force then.
    pub fn replace(
        &self,
        mut wanted: Self,
        author: Author,
        at: u64,
        mark: String,
    ) -> Result<Self, Vec<TemplateFault>> {
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
        let mut faults = Vec::new();
        for (id, budget) in &mut wanted.budgets {
            budget.changed = version;
            let Some(old) = self.budgets.get(id) else {
                diff.push(format!("budget {id} added: limit {}", budget.limit));
                continue;
            };
            if budget.period < old.period {
                let (least, found) = (old.period, budget.period);
                let id = id.clone();
                faults.push(TemplateFault::PeriodDecreased { id, least, found });
                continue;
            }
            budget.changed = old.changed;
            if budget != old {
                budget.changed = version;
                diff.push(describe(id, old, budget));
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
        faults.extend(wanted.faults());
        if !faults.is_empty() {
            return Err(faults);
        }
        wanted.version = version;
        wanted.history.clone_from(&self.history);
        wanted.history.push(TemplateChange { version, author, at, mark, diff });
        let excess = wanted.history.len().saturating_sub(MAX_HISTORY);
        wanted.history.drain(..excess);
        let size = wanted.encode().len();
        if size > MAX_ENCODED {
            return Err(vec![TemplateFault::TooLarge(size)]);
        }
        Ok(wanted)
    }

    /// Tells whether every template counts as changed in this version.
    pub(crate) fn is_rewritten(&self) -> bool {
        let accounts = self.accounts.values().all(|t| t.changed == self.version);
        accounts && self.budgets.values().all(|t| t.changed == self.version)
    }

    /// Marks every template as changed in this version.
    fn rewrite(&mut self) {
        for account in self.accounts.values_mut() {
            account.changed = self.version;
        }
        for budget in self.budgets.values_mut() {
            budget.changed = self.version;
        }
    }

    /// Encodes the set as the value that the platform keeps.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // A map with typed text keys and plain fields always has a JSON form.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes and checks a value.
    ///
    /// # Errors
    ///
    /// Refuses what is not JSON of this shape, and a set with faults.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let set: Self = serde_json::from_slice(bytes)?;
        let faults = set.faults();
        if let Some(fault) = faults.into_iter().next() {
            return Err(DecodeError::Faulty(Box::new(fault)));
        }
        Ok(set)
    }

    /// Returns what changed after a version, for a process that has that version.
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
        delta.routing = Some(&self.routing).filter(|r| **r != Routing::default()).map(whole);
        delta.base = version;
        delta.account_count = self.accounts.len();
        delta.budget_count = self.budgets.len();
        delta
    }

    /// Puts a delta in force; tells whether it fitted.
    ///
    /// A delta does not fit if it is not newer, starts elsewhere, or if templates
    /// were removed; the whole set is asked for then.
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
            next.rewrite();
        }
        let complete =
            next.accounts.len() == delta.account_count && next.budgets.len() == delta.budget_count;
        if !complete || !next.faults().is_empty() {
            return false;
        }
        *self = next;
        true
    }
}

impl AccountTemplate {
    fn faults(&self, id: &Account, faults: &mut Vec<TemplateFault>) {
        if self.priority == 0 || self.priority > MAX_PRIORITY {
            faults.push(TemplateFault::Priority(id.clone(), self.priority));
        }
        if self.output_limit.is_zero() || self.output_limit > MAX_OUTPUT_TOKENS {
            faults.push(TemplateFault::OutputLimit(id.clone(), self.output_limit));
        }
        if self.queue_wait > MAX_WAIT {
            faults.push(TemplateFault::QueueWait(id.clone(), self.queue_wait));
        }
        if self.models.is_empty() && self.services.is_empty() {
            faults.push(TemplateFault::NothingAllowed(id.clone()));
        }
    }
}

/// What changed between two versions of a set, as processes pass it on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TemplateDelta {
    /// The version that the receiver must have.
    pub base: TemplateVersion,
    /// The version that the delta leads to.
    pub version: TemplateVersion,
    /// The account templates that changed.
    pub accounts: Vec<(Account, AccountTemplate)>,
    /// The budget templates that changed.
    pub budgets: Vec<(BudgetId, BudgetTemplate)>,
    /// How routes and services differ, if they do.
    pub routing: Option<RoutingDelta>,
    /// Whether every template counts as changed in this version, as where a platform writes
    /// them whole.
    pub is_rewritten: bool,
    /// How many account templates there are, to notice removals.
    pub account_count: usize,
    /// How many budget templates there are, to notice removals.
    pub budget_count: usize,
}

/// Why a value is not a set of templates.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The value is not JSON of the expected shape.
    #[error("expected a set of templates in JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The value has a fault.
    #[error("the set of templates is faulty: {0}")]
    Faulty(Box<TemplateFault>),
}

/// Describes a whole routing to a process of which nothing is known.
fn whole(routing: &Routing) -> RoutingDelta {
    let parts = routing.routes.iter().map(|r| RoutePart::New(Box::new(r.clone()))).collect();
    let rest = Routing { routes: Vec::new(), ..routing.clone() };
    RoutingDelta { parts, rest: Some(rest) }
}

/// Returns the account part of a budget's name.
#[must_use]
pub fn account_name(id: &BudgetId) -> &str {
    let text = id.as_str();
    text.split_once('/').map_or(text, |(account, _)| account)
}

fn describe(id: &BudgetId, old: &BudgetTemplate, new: &BudgetTemplate) -> String {
    if old.period != new.period {
        return format!("budget {id} renewed: period {}, limit {}", new.period, new.limit);
    }
    if old.limit != new.limit {
        return format!("budget {id}: limit {} to {}", old.limit, new.limit);
    }
    format!("budget {id}: keys changed")
}
