//! The operators' interface: health, metrics and state, on an address of its own.

use std::convert::Infallible;
use std::sync::Arc;

use badgerfield_core::Status;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};

use crate::callers::listen;
use crate::driver::{Driver, StartError};
use crate::http::{self, Body};

/// Serves operators until the process ends.
///
/// # Errors
///
/// Fails if the address is taken.
pub async fn serve(driver: Arc<Driver>) -> Result<(), StartError> {
    let listener = listen(driver.settings.operators).await?;
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let driver = Arc::clone(&driver);
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let response = answer(&driver, &request);
                    async move { Ok::<_, Infallible>(response) }
                });
                // A client that breaks off needs no answer.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    Ok(())
}

fn answer(driver: &Driver, request: &Request<Incoming>) -> Response<Body> {
    if request.method() != Method::GET {
        return http::json(StatusCode::METHOD_NOT_ALLOWED, &json!({ "error": "expected GET" }));
    }
    match request.uri().path() {
        "/healthz" => Response::new(http::full("alive\n")),
        "/readyz" => ready(driver),
        "/metrics" => {
            if let Some(gateway) = driver.gateway() {
                driver.metrics.note_spared(gateway.replicas().spared(driver.now()));
            }
            Response::new(http::full(driver.metrics.render(&driver.node.status())))
        }
        "/v1/status" => http::json(StatusCode::OK, &status_json(driver, &driver.node.status())),
        _ => {
            let error = json!({ "error": "expected /healthz, /readyz, /metrics or /v1/status" });
            http::json(StatusCode::NOT_FOUND, &error)
        }
    }
}

fn ready(driver: &Driver) -> Response<Body> {
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
                "free": b.figures.free,
                "reserved": b.figures.reserved,
                "parked": b.figures.parked,
                "sealed": b.figures.sealed,
                "moving": b.figures.moving,
                "banked": b.figures.banked,
                "billed": b.figures.billed,
                "wasted": b.figures.wasted,
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
        "complete": status.complete,
        "templates": status.version,
        "active": status.active,
        "stopping": status.stopping,
        "members": status.members,
        "running": status.running,
        "queued": status.queued,
        "keys": status.claims,
        "charges_open": status.unsettled,
        "excess": status.excess,
        "ledger_writes": status.conflicts.1,
        "ledger_conflicts": status.conflicts.0,
        "evacuated": evacuated,
        "budgets": budgets,
    })
}
