//! Template files: what operators write, in INI.

use std::path::Path;
use std::time::Duration;

use badgerfield_core::amount::{Percent, Tokens};
use badgerfield_core::ids::{Account, BudgetId, Period, TemplateVersion};
use badgerfield_core::residency::Residency;
use badgerfield_core::template::{AccountTemplate, BudgetTemplate, KeyDigest, TemplateSet};

use crate::ini_file::{IniError, IniFile};

/// The output limit of a request that names none, unless the template says otherwise.
const OUTPUT_LIMIT: Tokens = Tokens(1024);
/// How long a request may wait, unless the template says otherwise.
const QUEUE_WAIT: Duration = Duration::from_secs(5);
/// How much of a budget is held ahead of demand, unless the template says otherwise.
const SPREAD: u64 = 80;

/// Reads a template file.
///
/// # Errors
///
/// Returns every fault of the file.
pub fn load(path: &Path) -> Result<TemplateSet, IniError> {
    from_ini(IniFile::open(path)?)
}

/// Reads a template file that is open.
///
/// # Errors
///
/// Returns every fault of the file.
pub fn from_ini(mut file: IniFile) -> Result<TemplateSet, IniError> {
    let mut set = TemplateSet::default();
    for section in file.sections() {
        if let Some(name) = section.strip_prefix("account ") {
            if let Some(id) = name_of::<Account>(&mut file, &section, name) {
                let template = account(&mut file, &section);
                set.accounts.insert(id, template);
            }
            continue;
        }
        let Some(name) = section.strip_prefix("budget ") else {
            continue;
        };
        let id = name_of::<BudgetId>(&mut file, &section, name);
        let template = budget(&mut file, &section);
        if let Some((id, template)) = id.zip(template) {
            set.budgets.insert(id, template);
        }
    }
    for fault in set.faults() {
        file.fault("", None, fault.to_string());
    }
    file.finish(|section| section.starts_with("account ") || section.starts_with("budget "))?;
    Ok(set)
}

fn name_of<T>(file: &mut IniFile, section: &str, name: &str) -> Option<T>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    match name.trim().parse() {
        Ok(id) => Some(id),
        Err(error) => {
            file.fault(section, None, format!("{error}"));
            None
        }
    }
}

fn account(file: &mut IniFile, section: &str) -> AccountTemplate {
    let home = file.optional_text(section, "home");
    let home = home.and_then(|text| name_of(file, section, &text));
    let spread = Percent::new(SPREAD).unwrap_or_else(|_| unreachable!("the default is in range"));
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
        output_limit: file.value_or(section, "output_limit", OUTPUT_LIMIT),
        call_cost: file.value_or(section, "call_cost", Tokens(1)),
        queue_wait: file.span_or(section, "queue_wait", QUEUE_WAIT, (zero, Duration::from_mins(2))),
        regions: regions(file, section),
    }
}

/// Reads the regions of an account; a key without a region would refuse every request.
fn regions(file: &mut IniFile, section: &str) -> Residency {
    let Some(text) = file.optional_text(section, "regions") else {
        return Residency::default();
    };
    if text.is_empty() {
        let what = "expected at least one region; leave the key out to allow all".to_owned();
        file.fault(section, Some("regions"), what);
    }
    Residency::within(file.list(section, "regions").into_iter().collect())
}

fn budget(file: &mut IniFile, section: &str) -> Option<BudgetTemplate> {
    let limit = file.value(section, "limit");
    let period = Period(file.value_or(section, "period", 1));
    let keys: Vec<KeyDigest> = file.list(section, "keys");
    if keys.is_empty() {
        let what =
            "expected the SHA-256 digest of at least one key; see `badgerfield key`".to_owned();
        file.fault(section, Some("keys"), what);
    }
    Some(BudgetTemplate {
        changed: TemplateVersion(0),
        limit: limit?,
        period,
        keys: keys.into_iter().collect(),
    })
}
