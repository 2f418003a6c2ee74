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

use crate::run::new_adapter;
use crate::store::block_on;
use crate::{DONE, ROLLED_BACK};

/// The maximum number of attempts of a read, so that a short outage of the store does not end
/// `watch`.
const MAX_ATTEMPTS: u32 = 5;
/// The delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// The interval between reads of `watch`. A record changes only a few times in a rollout, and each
/// read is a call to the store.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The rollout order and record of one service.
struct ServiceRollout {
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
    let store = new_adapter(&settings)?.store;
    let service: Option<&Service> = args.get_one("service");
    match name {
        "status" => block_on(status(&store, service)),
        _ => block_on(watch(&store, service)),
    }
}

async fn status(store: &Arc<dyn KeyValueStore>, service: Option<&Service>) -> Result<u8> {
    for (service, rollout) in read_rollouts(store, service).await? {
        println!("{}", to_json(&service, &rollout));
    }
    Ok(DONE)
}

/// Prints each change until every rollout has ended.
async fn watch(store: &Arc<dyn KeyValueStore>, service: Option<&Service>) -> Result<u8> {
    let mut printed: BTreeMap<Service, String> = BTreeMap::new();
    loop {
        let all = read_rollouts(store, service).await?;
        if all.is_empty() {
            return Ok(DONE);
        }
        for (service, rollout) in &all {
            let line = to_json(service, rollout).to_string();
            if printed.get(service) != Some(&line) {
                println!("{line}");
                printed.insert(service.clone(), line);
            }
        }
        if all.values().all(ServiceRollout::has_ended) {
            let is_rolled_back =
                |rollout: &ServiceRollout| rollout.state() == Some(RolloutState::RolledBack);
            return Ok(if all.values().any(is_rolled_back) { ROLLED_BACK } else { DONE });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

impl ServiceRollout {
    fn state(&self) -> Option<RolloutState> {
        self.record.as_ref().map(|record| record.state)
    }

    /// Returns whether no more changes are expected: the record of the newest order is final, or
    /// there is neither an order nor a record.
    fn has_ended(&self) -> bool {
        let ordered_revision = self.order.as_ref().map(|order| order.revision);
        let Some(record) = &self.record else {
            return ordered_revision.is_none();
        };
        record.state.is_final() && ordered_revision.is_none_or(|revision| revision <= record.order)
    }
}

/// Reads the order and record of one service, or of all services with an order.
async fn read_rollouts(
    store: &Arc<dyn KeyValueStore>,
    selected: Option<&Service>,
) -> Result<BTreeMap<Service, ServiceRollout>> {
    let orders = read_orders(store).await?;
    let services: Vec<_> = match selected {
        Some(service) => vec![service.clone()],
        None => orders.iter().map(|order| order.service.clone()).collect(),
    };
    let mut all = BTreeMap::new();
    for service in services {
        let key = StoreKey::Rollout(service.clone());
        let StoreResult::Value(found) = read(store, key).await? else {
            bail!("expected the rollout record of {service}, found another value");
        };
        let record = RolloutRecord::decode(found.value.as_deref());
        let record = record.with_context(|| format!("the record of {service}"))?;
        let order = orders.iter().find(|order| order.service == service).cloned();
        all.insert(service, ServiceRollout { order, record, revision: found.revision });
    }
    Ok(all)
}

/// Reads the rollout orders. There are none on a platform that does not support them.
async fn read_orders(store: &Arc<dyn KeyValueStore>) -> Result<Vec<OrderChange>> {
    match read(store, StoreKey::Templates).await? {
        StoreResult::Operators(found) => Ok(found.rollouts),
        _ => Ok(Vec::new()),
    }
}

async fn read(store: &Arc<dyn KeyValueStore>, key: StoreKey) -> Result<StoreResult> {
    for _ in 0..MAX_ATTEMPTS {
        let result = store.call(&StoreCall::Get(key.clone())).await;
        if matches!(result, StoreResult::Value(_) | StoreResult::Operators(_)) {
            return Ok(result);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    bail!("the store does not answer a read of {key:?}")
}

fn to_json(service: &Service, rollout: &ServiceRollout) -> Value {
    let order = rollout.order.as_ref().and_then(|change| {
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
        "record": rollout.record,
        "revision": rollout.revision,
    })
}
