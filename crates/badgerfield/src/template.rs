//! `badgerfield template`.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Result, bail};
use badgerfield_core::event::{StoreCall, StoreKey, StoreResult};
use badgerfield_core::ids::{Author, TemplateVersion};
use badgerfield_core::template::{KeyDigest, TemplateChange, TemplateSet};
use badgerfield_core::view::View;
use badgerfield_node::adapter::KeyValueStore;
use badgerfield_node::templates;
use bytes::Bytes;
use clap::ArgMatches;

use crate::store::{StoreConnection, block_on};
use crate::{CONFLICT, DONE, FAULTY, UNCONFIRMED};

/// The maximum time for all VMs to confirm a change.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(12);
/// The interval between two reads.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// The maximum number of reads that check whether a write without a reply took effect.
const MAX_READS: u32 = 5;

pub(crate) fn run(args: &ArgMatches) -> Result<u8> {
    let Some((name, args)) = args.subcommand() else {
        return Ok(DONE);
    };
    let connection = StoreConnection::open(args)?;
    match name {
        "apply" => block_on(apply(&connection, args)),
        "show" => block_on(show(&connection)),
        "list" => block_on(list(&connection)),
        _ => block_on(history(&connection)),
    }
}

async fn show(connection: &StoreConnection) -> Result<u8> {
    let (set, _) = connection.templates().await?;
    println!("{}", serde_json::to_string_pretty(&set)?);
    Ok(DONE)
}

async fn list(connection: &StoreConnection) -> Result<u8> {
    let (set, _) = connection.templates().await?;
    println!("version {}", set.version);
    for (id, account) in &set.accounts {
        println!("account {id} priority {} since {}", account.priority, account.changed);
    }
    for (id, budget) in &set.budgets {
        let (limit, period, changed) = (budget.limit, budget.period, budget.changed);
        println!("budget {id} limit {limit} period {period} since {changed}");
    }
    Ok(DONE)
}

async fn history(connection: &StoreConnection) -> Result<u8> {
    let (set, _) = connection.templates().await?;
    for change in &set.history {
        let at = UNIX_EPOCH + Duration::from_secs(change.at);
        let at = humantime::format_rfc3339_seconds(at);
        println!("{} {at} by {}", change.version, change.author);
        for line in &change.diff {
            println!("    {line}");
        }
    }
    Ok(DONE)
}

async fn apply(connection: &StoreConnection, args: &ArgMatches) -> Result<u8> {
    let path: &PathBuf = args.get_one("file").expect("the argument is required");
    let author: &String = args.get_one("author").expect("the argument is required");
    let author: Author = author.parse()?;
    let wanted = templates::load(path)?;
    let (old, revision) = connection.templates().await?;
    let expected = args.get_one::<u64>("expect").copied().map(TemplateVersion);
    if let Some(expected) = expected.filter(|e| *e != old.version) {
        eprintln!("expected {expected} in force, found {}", describe_current(&old));
        return Ok(CONFLICT);
    }
    let at = SystemTime::now().duration_since(UNIX_EPOCH)?.as_secs();
    let mark = random_mark()?;
    let next = match old.replace(wanted, author, at, mark.clone()) {
        Ok(next) => next,
        Err(faults) => {
            for fault in faults {
                eprintln!("{}: {fault}", path.display());
            }
            return Ok(FAULTY);
        }
    };
    let lowered = lowered_budgets(&old, &next);
    let code = write_templates(connection, revision, &next, &mark).await?;
    if code != DONE {
        return Ok(code);
    }
    println!("{} is accepted", next.version);
    for budget in lowered {
        println!(
            "note: the limit of {budget} is lowered; VMs may still spend the tokens that they hold"
        );
    }
    if args.get_flag("wait") {
        return confirm(connection, next.version).await;
    }
    Ok(DONE)
}

/// Writes the templates. If the reply is lost, reads the store to find out whether the write took
/// effect.
async fn write_templates(
    connection: &StoreConnection,
    expected_revision: u64,
    next: &TemplateSet,
    mark: &str,
) -> Result<u8> {
    let value = Bytes::from(next.encode());
    let call = StoreCall::CompareAndSwap { key: StoreKey::Templates, expected_revision, value };
    match connection.store.call(&call).await {
        StoreResult::Written(_) => return Ok(DONE),
        StoreResult::Refused => {
            bail!("the store refused the write; nothing has changed")
        }
        StoreResult::Conflict(_)
        | StoreResult::Unknown
        | StoreResult::Value(_)
        | StoreResult::Operators(_) => {}
    }
    for _ in 0..MAX_READS {
        let (set, revision) = connection.templates().await?;
        if set.history.iter().any(|change| change.mark == mark) {
            return Ok(DONE);
        }
        if revision != expected_revision {
            eprintln!("somebody else has changed the templates: {}", describe_current(&set));
            return Ok(CONFLICT);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    bail!(
        "the write got no reply and has had no effect so far; check `template history` before a retry"
    )
}

fn describe_current(set: &TemplateSet) -> String {
    let by = set.history.last().map(|change: &TemplateChange| format!(" by {}", change.author));
    format!("{}{}", set.version, by.unwrap_or_default())
}

fn lowered_budgets(old: &TemplateSet, new: &TemplateSet) -> Vec<String> {
    let mut lowered = Vec::new();
    for (id, budget) in &new.budgets {
        if old.budgets.get(id).is_some_and(|o| o.period == budget.period && o.limit > budget.limit)
        {
            lowered.push(id.to_string());
        }
    }
    lowered
}

/// Waits until the version is in force on every VM of the view.
async fn confirm(connection: &StoreConnection, version: TemplateVersion) -> Result<u8> {
    let deadline = std::time::Instant::now() + CONFIRM_TIMEOUT;
    let mut missing = BTreeSet::new();
    while std::time::Instant::now() < deadline {
        let found = connection.get(StoreKey::View).await?;
        let view = View::decode(found.value.as_deref())?;
        missing.clear();
        for member in &view.members {
            let seen = badgerfield_node::caller_api::fetch_templates_version(member.caller).await;
            if seen.is_none_or(|seen| seen < version) {
                missing.insert(member.vm.to_string());
            }
        }
        if missing.is_empty() {
            println!("{version} is in force on {} VMs", view.members.len());
            return Ok(DONE);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    for vm in &missing {
        eprintln!("not confirmed by {vm}");
    }
    Ok(UNCONFIRMED)
}

fn random_mark() -> Result<String> {
    let mut bytes = [0; 32];
    getrandom::fill(&mut bytes)?;
    Ok(KeyDigest(bytes).to_string())
}
