//! `badgerfield budget`.

use anyhow::Result;
use badgerfield_core::event::StoreKey;
use badgerfield_core::ledger::{BudgetEntry, LedgerShard};
use clap::ArgMatches;
use serde_json::json;

use crate::DONE;
use crate::platform::{Platform, block_on};

pub(crate) fn run(args: &ArgMatches) -> Result<u8> {
    let Some(("show", args)) = args.subcommand() else {
        return Ok(DONE);
    };
    let platform = Platform::open(args)?;
    let only: Option<&String> = args.get_one("budget");
    block_on(async {
        for shard in 0..platform.settings.limits.shards {
            let found = platform.get(StoreKey::Ledger(shard)).await?;
            let value = LedgerShard::decode(found.value.as_deref())?;
            for (id, entry) in &value.budgets {
                if only.is_none_or(|o| o == id.as_str()) {
                    println!("{}", line(id.as_str(), entry));
                }
            }
        }
        Ok(DONE)
    })
}

fn line(id: &str, entry: &BudgetEntry) -> serde_json::Value {
    let held: u64 = entry.holders.values().map(|h| h.held.0).sum();
    json!({
        "budget": id,
        "period": entry.terms.period,
        "limit": entry.terms.limit,
        "billed": entry.total_billed(),
        "left": entry.remaining(),
        "held_by_vms": held,
        "holders": entry.holders.len(),
    })
}
