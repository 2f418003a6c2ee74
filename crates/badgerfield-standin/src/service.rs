//! Stand-in for a plain service that counts how often it executed each attempt.
//!
//! The stream header of the gateway identifies an attempt. The reply contains the path, the
//! count, the request body and that identifier.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Result;
use badgerfield_node::sync::lock;
use hyper::{Method, StatusCode};
use serde_json::json;

use badgerfield_node::upstream_client::STREAM_HEADER;

use crate::server::{BufferedRequest, Reply, error_reply, json_reply, serve};

#[derive(Debug, Default)]
struct State {
    execution_counts: BTreeMap<String, u64>,
    delay: Duration,
    drop_replies: u64,
}

/// Starts the stand-in and its admin port; both serve until the process ends.
///
/// # Errors
///
/// Fails if a listener cannot be bound to its address.
pub async fn run(address: SocketAddr, admin: SocketAddr) -> Result<()> {
    let state = Arc::new(Mutex::new(State::default()));
    let admin_state = Arc::clone(&state);
    serve(address, move |request| execute(Arc::clone(&state), request)).await?;
    serve(admin, move |request| {
        let reply = handle_admin_request(&admin_state, &request);
        async move { reply }
    })
    .await
}

async fn execute(state: Arc<Mutex<State>>, request: BufferedRequest) -> Reply {
    let name = request.header(STREAM_HEADER).unwrap_or("unnamed").to_owned();
    let (delay, is_dropped, count) = {
        let mut state = lock(&state);
        let count = state.execution_counts.entry(name.clone()).or_default();
        *count += 1;
        let count = *count;
        let is_dropped = state.drop_replies > 0;
        state.drop_replies = state.drop_replies.saturating_sub(1);
        (state.delay, is_dropped, count)
    };
    tokio::time::sleep(delay).await;
    if is_dropped {
        return None;
    }
    let body = String::from_utf8_lossy(&request.body).into_owned();
    json_reply(&json!({ "path": request.path, "executed": count, "body": body, "key": name }))
}

fn handle_admin_request(state: &Mutex<State>, request: &BufferedRequest) -> Reply {
    let mut state = lock(state);
    match (&request.method, request.path.as_str()) {
        (&Method::POST, "/faults") => {
            let body = request.json();
            state.delay = Duration::from_millis(body["delay_ms"].as_u64().unwrap_or(0));
            state.drop_replies = body["drop_replies"].as_u64().unwrap_or(0);
            json_reply(&json!({ "set": body }))
        }
        (&Method::GET, "/truth") => json_reply(&json!(state.execution_counts)),
        _ => error_reply(StatusCode::NOT_FOUND),
    }
}
