//! `badgerfield budget`.

use anyhow::Result;
use badgerfield_core::event::StoreKey;
use badgerfield_core::ledger::{BudgetEntry, LedgerShard};
use clap::ArgMatches;
use serde_json::json;

use crate::DONE;
use crate::store::{StoreConnection, block_on};

pub(crate) fn run(args: &ArgMatches) -> Result<u8> {
    let Some(("show", args)) = args.subcommand() else {
        return Ok(DONE);
    };
    let connection = StoreConnection::open(args)?;
    let selected: Option<&String> = args.get_one("budget");
    block_on(async {
        for index in 0..connection.settings.limits.shards {
            let found = connection.get(StoreKey::Ledger(index)).await?;
            let shard = LedgerShard::decode(found.value.as_deref())?;
            for (id, entry) in &shard.budgets {
                if selected.is_none_or(|name| name == id.as_str()) {
                    println!("{}", to_json(id.as_str(), entry));
                }
            }
        }
        Ok(DONE)
    })
}

fn to_json(id: &str, entry: &BudgetEntry) -> serde_json::Value {
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
