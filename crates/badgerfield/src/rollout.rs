//! `badgerfield rollout`.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use badgerfield_core::event::{StoreCall, StoreKey, StoreResult};
use badgerfield_core::ids::Service;
use badgerfield_core::rollout::{OrderChange, RolloutRecord, RolloutState};
use badgerfield_node::adapter::KeyValueStore;
use badgerfield_node::settings::Settings;
use clap::ArgMatches;
use serde_json::{Value, json};

use crate::platform::block_on;
use crate::run::adapter;
use crate::{DONE, ROLLED_BACK};

/// How often a read without an answer is tried: an operator who watches should not be thrown out
/// by a store that is away for a moment.
const TRIES: u32 = 5;
/// How long to wait between two tries.
const PAUSE: Duration = Duration::from_millis(300);
/// How long to wait between two looks: a record changes a few times in a roll-out, and each look
/// is a call to the platform.
const LOOK: Duration = Duration::from_secs(1);

/// What the platform has of one service.
struct Found {
    order: Option<OrderChange>,
    record: Option<RolloutRecord>,
    revision: u64,
}

pub(crate) fn run(args: &ArgMatches) -> Result<u8> {
    let Some((name, args)) = args.subcommand() else {
        return Ok(DONE);
    };
    let path: &PathBuf = args.get_one("settings").expect("the argument is required");
    let settings = Settings::load(path)?;
    let store = adapter(&settings)?.store;
    let service: Option<&Service> = args.get_one("service");
    match name {
        "status" => block_on(status(&store, service)),
        _ => block_on(watch(&store, service)),
    }
}

async fn status(store: &Arc<dyn KeyValueStore>, service: Option<&Service>) -> Result<u8> {
    for (service, found) in look(store, service).await? {
        println!("{}", line(&service, &found));
    }
    Ok(DONE)
}

/// Prints each change until every roll-out has ended.
async fn watch(store: &Arc<dyn KeyValueStore>, service: Option<&Service>) -> Result<u8> {
    let mut printed: BTreeMap<Service, String> = BTreeMap::new();
    loop {
        let all = look(store, service).await?;
        if all.is_empty() {
            return Ok(DONE);
        }
        for (service, found) in &all {
            let line = line(service, found).to_string();
            if printed.get(service) != Some(&line) {
                println!("{line}");
                printed.insert(service.clone(), line);
            }
        }
        if all.values().all(Found::has_ended) {
            let is_back = |found: &Found| found.state() == Some(RolloutState::RolledBack);
            return Ok(if all.values().any(is_back) { ROLLED_BACK } else { DONE });
        }
        tokio::time::sleep(LOOK).await;
    }
}

impl Found {
    fn state(&self) -> Option<RolloutState> {
        self.record.as_ref().map(|record| record.state)
    }

    /// Tells whether nothing more is to come: the record of the newest order has an end, or
    /// there is neither an order nor a record.
    fn has_ended(&self) -> bool {
        let ordered = self.order.as_ref().map(|order| order.revision);
        let Some(record) = &self.record else {
            return ordered.is_none();
        };
        record.state.is_final() && ordered.is_none_or(|revision| revision <= record.order)
    }
}

/// Reads what there is of a service, or of all services with an order.
async fn look(
    store: &Arc<dyn KeyValueStore>,
    only: Option<&Service>,
) -> Result<BTreeMap<Service, Found>> {
    let orders = orders(store).await?;
    let services: Vec<_> = match only {
        Some(service) => vec![service.clone()],
        None => orders.iter().map(|order| order.service.clone()).collect(),
    };
    let mut all = BTreeMap::new();
    for service in services {
        let name = StoreKey::Rollout(service.clone());
        let StoreResult::Value(found) = call(store, name).await? else {
            bail!("expected a record or none of {service}");
        };
        let record = RolloutRecord::decode(found.value.as_deref());
        let record = record.with_context(|| format!("the record of {service}"))?;
        let order = orders.iter().find(|order| order.service == service).cloned();
        all.insert(service, Found { order, record, revision: found.revision });
    }
    Ok(all)
}

/// Reads the orders; a platform whose operators cannot order any has none.
async fn orders(store: &Arc<dyn KeyValueStore>) -> Result<Vec<OrderChange>> {
    match call(store, StoreKey::Templates).await? {
        StoreResult::Operators(found) => Ok(found.rollouts),
        _ => Ok(Vec::new()),
    }
}

async fn call(store: &Arc<dyn KeyValueStore>, name: StoreKey) -> Result<StoreResult> {
    for _ in 0..TRIES {
        let result = store.call(&StoreCall::Get(name.clone())).await;
        if matches!(result, StoreResult::Value(_) | StoreResult::Operators(_)) {
            return Ok(result);
        }
        tokio::time::sleep(PAUSE).await;
    }
    bail!("the platform does not answer a read of {name:?}")
}

fn line(service: &Service, found: &Found) -> Value {
    let order = found.order.as_ref().and_then(|change| {
        let order = change.order.as_ref()?;
        Some(json!({
            "revision": change.revision,
            "target": order.target,
            "span_s": order.span.as_secs_f64(),
        }))
    });
    json!({
        "service": service,
        "order": order,
        "record": found.record,
        "revision": found.revision,
    })
}
