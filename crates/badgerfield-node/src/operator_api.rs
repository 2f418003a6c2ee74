//! The HTTP API for operators: health, metrics and status, on a separate address.

use std::sync::Arc;

use badgerfield_core::Status;
use badgerfield_core::rollout::{RolloutRule, RolloutStatus};
use badgerfield_core::upstream_table::SentCounts;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::sync::Semaphore;

use crate::caller_api::listen;
use crate::driver::{Driver, StartError};
use crate::http::{self, Body};
use crate::rollouts::format_allowance;
use crate::serving::{self, Connection};

/// Listens for operators and serves them until the process exits.
///
/// # Errors
///
/// Fails if the address is in use.
pub async fn serve(driver: Arc<Driver>) -> Result<(), StartError> {
    let listener = listen(driver.settings.operator_address).await?;
    let max_connections = Semaphore::MAX_PERMITS;
    serving::spawn_listener(&driver, listener, max_connections, serve_connection);
    Ok(())
}

async fn serve_connection(driver: Arc<Driver>, connection: Connection) {
    let respond = |request| {
        let response = respond(&driver, &request);
        async move { response }
    };
    // An error means that the client closed the connection; no response is needed.
    let _ = connection.serve(&driver, &http1::Builder::new(), || None, respond).await;
}

fn respond(driver: &Driver, request: &Request<Incoming>) -> Response<Body> {
    if request.method() != Method::GET {
        return http::json_response(
            StatusCode::METHOD_NOT_ALLOWED,
            &json!({ "error": "expected GET" }),
        );
    }
    match request.uri().path() {
        "/healthz" => Response::new(http::full("alive\n")),
        "/readyz" => readiness_response(driver),
        "/metrics" => {
            if let Some(gateway) = driver.gateway() {
                let upstream_table = gateway.upstreams();
                let now = driver.now();
                driver.metrics.set_restricted_upstreams(
                    upstream_table.restricted_counts(now),
                    (upstream_table.limited_count(), upstream_table.brittle_count()),
                );
                let (rules, tallies) =
                    (upstream_table.rollout_rules(), upstream_table.rollout_tallies(now));
                driver.metrics.rollouts.update(&rules, &tallies);
            }
            Response::new(http::full(driver.metrics.render(&driver.node.status())))
        }
        "/v1/status" => {
            http::json_response(StatusCode::OK, &status_json(driver, &driver.node.status()))
        }
        _ => {
            let error = json!({ "error": "expected /healthz, /readyz, /metrics or /v1/status" });
            http::json_response(StatusCode::NOT_FOUND, &error)
        }
    }
}

fn readiness_response(driver: &Driver) -> Response<Body> {
    if driver.node.is_ready() && driver.node.templates().version.0 > 0 {
        return Response::new(http::full("ready\n"));
    }
    let mut response = Response::new(http::full("not ready\n"));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}

fn status_json(driver: &Driver, status: &Status) -> Value {
    let budgets: Vec<_> = status
        .budgets
        .iter()
        .map(|b| {
            json!({
                "budget": b.budget,
                "free": b.balance.free,
                "reserved": b.balance.reserved,
                "parked": b.balance.parked,
                "sealed": b.balance.sealed,
                "moving": b.balance.in_transit,
                "banked": b.balance.witnessed,
                "billed": b.balance.billed,
                "wasted": b.balance.wasted,
            })
        })
        .collect();
    let evacuations = driver.node.evacuations();
    let evacuated: Vec<_> = evacuations.iter().filter(|change| change.evacuated).collect();
    json!({
        "vm": driver.settings.vm,
        "region": driver.settings.region,
        "incarnation": status.incarnation.to_string(),
        "epoch": status.epoch,
        "complete": status.complete_epoch,
        "templates": status.template_version,
        "active": status.active,
        "stopping": status.stopping,
        "members": status.members,
        "running": status.running,
        "queued": status.queued,
        "keys": status.remembered_keys,
        "charges_open": status.unsettled_charges,
        "excess": status.excess_tokens,
        "ledger_writes": status.write_counts.1,
        "ledger_conflicts": status.write_counts.0,
        "evacuated": evacuated,
        "rollouts": rollouts_json(driver),
        "orders": orders_json(driver),
        "budgets": budgets,
    })
}

/// Returns the rollout rules that this process applies, with the outcomes of its requests.
fn rollouts_json(driver: &Driver) -> Vec<Value> {
    let Some(gateway) = driver.gateway() else {
        return Vec::new();
    };
    let (rules, tallies) = {
        let upstream_table = gateway.upstreams();
        (upstream_table.rollout_rules(), upstream_table.rollout_tallies(driver.now()))
    };
    let entry = |(rule, sent): &(RolloutRule, SentCounts)| {
        json!({
            "service": rule.service,
            "target": rule.target,
            "order": rule.revision,
            "allowance": format_allowance(rule.allowance),
            "sent_to_target": sent.target,
            "sent": sent.all,
            "tally": tallies.iter().find(|tally| tally.service == rule.service),
        })
    };
    rules.iter().map(entry).collect()
}

/// Returns the rollout orders that this process has received, with the state that it has recorded
/// for each.
fn orders_json(driver: &Driver) -> Vec<Value> {
    let entry = |status: RolloutStatus| {
        let RolloutStatus { known, age, evidence } = status;
        let (target, others) = (evidence.target(), evidence.others());
        json!({
            "known": known,
            "age_ms": age.as_millis(),
            "heard_as_judge": { "target": target, "others": others },
        })
    };
    driver.node.rollout_statuses(driver.now()).into_iter().map(entry).collect()
}
