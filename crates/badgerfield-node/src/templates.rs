//! Template files, in which operators define accounts and budgets, in INI format.

use std::path::Path;
use std::time::Duration;

use badgerfield_core::amount::{Percent, Tokens};
use badgerfield_core::ids::{Account, BudgetId, Period, TemplateVersion};
use badgerfield_core::residency::Residency;
use badgerfield_core::template::{AccountTemplate, BudgetTemplate, KeyDigest, TemplateSet};

use crate::ini_file::{IniError, IniFile};

/// The output limit of a request without one, unless the template sets another.
const DEFAULT_OUTPUT_LIMIT: Tokens = Tokens(1024);
/// The maximum time that a request waits in the queue, unless the template sets another.
const DEFAULT_QUEUE_WAIT: Duration = Duration::from_secs(5);
/// The part of a budget that is held ahead of demand, in percent, unless the template sets another.
const DEFAULT_SPREAD_PERCENT: u64 = 80;

/// Loads a template file and validates it.
///
/// # Errors
///
/// Fails if the file cannot be read or has faults. The error lists every fault.
pub fn load(path: &Path) -> Result<TemplateSet, IniError> {
    from_ini(IniFile::load(path)?)
}

/// Validates a parsed template file.
///
/// # Errors
///
/// Fails if the file has faults. The error lists every fault.
pub fn from_ini(mut file: IniFile) -> Result<TemplateSet, IniError> {
    let mut set = TemplateSet::default();
    for section in file.sections() {
        if let Some(name) = section.strip_prefix("account ") {
            if let Some(id) = parse_name::<Account>(&mut file, &section, name) {
                let template = read_account(&mut file, &section);
                set.accounts.insert(id, template);
            }
            continue;
        }
        let Some(name) = section.strip_prefix("budget ") else {
            continue;
        };
        let id = parse_name::<BudgetId>(&mut file, &section, name);
        let template = read_budget(&mut file, &section);
        if let Some((id, template)) = id.zip(template) {
            set.budgets.insert(id, template);
        }
    }
    for fault in set.errors() {
        file.record_fault("", None, fault.to_string());
    }
    file.finish(|section| section.starts_with("account ") || section.starts_with("budget "))?;
    Ok(set)
}

fn parse_name<T>(file: &mut IniFile, section: &str, name: &str) -> Option<T>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    match name.trim().parse() {
        Ok(id) => Some(id),
        Err(error) => {
            file.record_fault(section, None, format!("{error}"));
            None
        }
    }
}

fn read_account(file: &mut IniFile, section: &str) -> AccountTemplate {
    let home = file.optional_text(section, "home");
    let home = home.and_then(|text| parse_name(file, section, &text));
    let spread = Percent::new(DEFAULT_SPREAD_PERCENT)
        .unwrap_or_else(|_| unreachable!("the default is in range"));
    let zero = Duration::ZERO;
    AccountTemplate {
        changed: TemplateVersion(0),
        priority: file.value_or(section, "priority", 1),
        models: file.list(section, "models").into_iter().collect(),
        adapters: file.list(section, "adapters").into_iter().collect(),
        hardware: file.list(section, "hardware").into_iter().collect(),
        services: file.list(section, "services").into_iter().collect(),
        unrepeatable: file.list(section, "unrepeatable").into_iter().collect(),
        home,
        spread: file.value_or(section, "spread", spread),
        output_limit: file.value_or(section, "output_limit", DEFAULT_OUTPUT_LIMIT),
        call_cost: file.value_or(section, "call_cost", Tokens(1)),
        queue_wait: file.duration_or(
            section,
            "queue_wait",
            DEFAULT_QUEUE_WAIT,
            (zero, Duration::from_mins(2)),
        ),
        regions: read_regions(file, section),
    }
}

/// Reads the regions of an account. A `regions` key without a region is a fault, since it would
/// refuse every request.
fn read_regions(file: &mut IniFile, section: &str) -> Residency {
    let Some(text) = file.optional_text(section, "regions") else {
        return Residency::default();
    };
    if text.is_empty() {
        let message = "expected at least one region; omit the key to allow all".to_owned();
        file.record_fault(section, Some("regions"), message);
    }
    Residency::restricted_to(file.list(section, "regions").into_iter().collect())
}

fn read_budget(file: &mut IniFile, section: &str) -> Option<BudgetTemplate> {
    let limit = file.required_value(section, "limit");
    let period = Period(file.value_or(section, "period", 1));
    let keys: Vec<KeyDigest> = file.list(section, "keys");
    if keys.is_empty() {
        let message =
            "expected the SHA-256 digest of at least one key; see `badgerfield key`".to_owned();
        file.record_fault(section, Some("keys"), message);
    }
    Some(BudgetTemplate {
        changed: TemplateVersion(0),
        limit: limit?,
        period,
        keys: keys.into_iter().collect(),
    })
}
