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

use crate::platform::{Platform, block_on};
use crate::{CONFLICT, DONE, FAULTY, UNCONFIRMED};

/// How long a change may take to be confirmed everywhere.
const WAIT: Duration = Duration::from_secs(12);
/// How long to wait between two looks.
const PAUSE: Duration = Duration::from_millis(250);
/// How often a write whose reply was lost is looked for.
const LOOKS: u32 = 5;

pub(crate) fn run(args: &ArgMatches) -> Result<u8> {
    let Some((name, args)) = args.subcommand() else {
        return Ok(DONE);
    };
    let platform = Platform::open(args)?;
    match name {
        "apply" => block_on(apply(&platform, args)),
        "show" => block_on(show(&platform)),
        "list" => block_on(list(&platform)),
        _ => block_on(history(&platform)),
    }
}

async fn show(platform: &Platform) -> Result<u8> {
    let (set, _) = platform.templates().await?;
    println!("{}", serde_json::to_string_pretty(&set)?);
    Ok(DONE)
}

async fn list(platform: &Platform) -> Result<u8> {
    let (set, _) = platform.templates().await?;
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

async fn history(platform: &Platform) -> Result<u8> {
    let (set, _) = platform.templates().await?;
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

async fn apply(platform: &Platform, args: &ArgMatches) -> Result<u8> {
    let path: &PathBuf = args.get_one("file").expect("the argument is required");
    let author: &String = args.get_one("author").expect("the argument is required");
    let author: Author = author.parse()?;
    let wanted = templates::load(path)?;
    let (old, revision) = platform.templates().await?;
    let expected = args.get_one::<u64>("expect").copied().map(TemplateVersion);
    if let Some(expected) = expected.filter(|e| *e != old.version) {
        eprintln!("expected {expected} in force, found {}", winner(&old));
        return Ok(CONFLICT);
    }
    let at = SystemTime::now().duration_since(UNIX_EPOCH)?.as_secs();
    let mark = mark()?;
    let next = match old.replace(wanted, author, at, mark.clone()) {
        Ok(next) => next,
        Err(faults) => {
            for fault in faults {
                eprintln!("{}: {fault}", path.display());
            }
            return Ok(FAULTY);
        }
    };
    let lowered = lowered(&old, &next);
    let code = write(platform, revision, &next, &mark).await?;
    if code != DONE {
        return Ok(code);
    }
    println!("{} is accepted", next.version);
    for budget in lowered {
        println!("note: {budget} is lowered; what VMs hold already, they may still spend");
    }
    if args.get_flag("wait") {
        return confirm(platform, next.version).await;
    }
    Ok(DONE)
}

/// Writes the set; finds out what became of a write whose reply was lost.
async fn write(platform: &Platform, expect: u64, next: &TemplateSet, mark: &str) -> Result<u8> {
    let value = Bytes::from(next.encode());
    let call =
        StoreCall::CompareAndSwap { key: StoreKey::Templates, expected_revision: expect, value };
    match platform.kv.call(&call).await {
        StoreResult::Written(_) => return Ok(DONE),
        StoreResult::Refused => {
            bail!("the key-value service refused the write; nothing is changed")
        }
        StoreResult::Conflict(_)
        | StoreResult::Unknown
        | StoreResult::Value(_)
        | StoreResult::Operators(_) => {}
    }
    for _ in 0..LOOKS {
        let (set, revision) = platform.templates().await?;
        if set.history.iter().any(|change| change.mark == mark) {
            return Ok(DONE);
        }
        if revision != expect {
            eprintln!("somebody else was first: {}", winner(&set));
            return Ok(CONFLICT);
        }
        tokio::time::sleep(PAUSE).await;
    }
    bail!(
        "the write got no reply and has had no effect so far; look at `template history` before another try"
    )
}

fn winner(set: &TemplateSet) -> String {
    let by = set.history.last().map(|change: &TemplateChange| format!(" by {}", change.author));
    format!("{}{}", set.version, by.unwrap_or_default())
}

fn lowered(old: &TemplateSet, new: &TemplateSet) -> Vec<String> {
    let mut lowered = Vec::new();
    for (id, budget) in &new.budgets {
        if old.budgets.get(id).is_some_and(|o| o.period == budget.period && o.limit > budget.limit)
        {
            lowered.push(id.to_string());
        }
    }
    lowered
}

/// Waits until every VM of the view has the version in force.
async fn confirm(platform: &Platform, version: TemplateVersion) -> Result<u8> {
    let until = std::time::Instant::now() + WAIT;
    let mut missing = BTreeSet::new();
    while std::time::Instant::now() < until {
        let found = platform.get(StoreKey::View).await?;
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
        tokio::time::sleep(PAUSE).await;
    }
    for vm in &missing {
        eprintln!("not confirmed by {vm}");
    }
    Ok(UNCONFIRMED)
}

fn mark() -> Result<String> {
    let mut bytes = [0; 32];
    getrandom::fill(&mut bytes)?;
    Ok(KeyDigest(bytes).to_string())
}
