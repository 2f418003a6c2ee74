//! Stands in for a plain service: counts each execution.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Result;
use badgerfield_node::sync::lock;
use hyper::{Method, StatusCode};
use serde_json::json;

use badgerfield_node::upstream_client::STREAM_HEADER;

use crate::server::{Answer, Read, ok, serve, status};

#[derive(Debug, Default)]
struct State {
    executed: BTreeMap<String, u64>,
    delay: Duration,
    drop_replies: u64,
}

/// Runs the stand-in until the process ends.
///
/// # Errors
///
/// Fails if an address is taken.
pub async fn run(address: SocketAddr, admin: SocketAddr) -> Result<()> {
    let state = Arc::new(Mutex::new(State::default()));
    let other = Arc::clone(&state);
    serve(address, move |read| execute(Arc::clone(&state), read)).await?;
    serve(admin, move |read| {
        let answer = administer(&other, &read);
        async move { answer }
    })
    .await
}

async fn execute(state: Arc<Mutex<State>>, read: Read) -> Answer {
    let name = read.header(STREAM_HEADER).unwrap_or("unnamed").to_owned();
    let (delay, dropped, count) = {
        let mut state = lock(&state);
        let count = state.executed.entry(name.clone()).or_default();
        *count += 1;
        let count = *count;
        let dropped = state.drop_replies > 0;
        state.drop_replies = state.drop_replies.saturating_sub(1);
        (state.delay, dropped, count)
    };
    tokio::time::sleep(delay).await;
    if dropped {
        return None;
    }
    let body = String::from_utf8_lossy(&read.body).into_owned();
    ok(&json!({ "path": read.path, "executed": count, "body": body, "key": name }))
}

fn administer(state: &Mutex<State>, read: &Read) -> Answer {
    let mut state = lock(state);
    match (&read.method, read.path.as_str()) {
        (&Method::POST, "/faults") => {
            let body = read.json();
            state.delay = Duration::from_millis(body["delay_ms"].as_u64().unwrap_or(0));
            state.drop_replies = body["drop_replies"].as_u64().unwrap_or(0);
            ok(&json!({ "set": body }))
        }
        (&Method::GET, "/truth") => ok(&json!(state.executed)),
        _ => status(StatusCode::NOT_FOUND),
    }
}
