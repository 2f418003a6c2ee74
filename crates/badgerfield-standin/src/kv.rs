//! Stand-in for the key-value service: the JSON gateway of etcd version 3.
//!
//! It implements the calls that badgerfield uses: a read of one key, and a transaction
//! that compares the revision of one key, then writes the key if the revision matches and
//! reads it otherwise.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Result;
use badgerfield_node::sync::lock;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};

use crate::server::{BufferedRequest, Reply, error_reply, json_reply, serve};

/// The faults that `POST /faults` on the admin port sets.
#[derive(Debug, Clone, Copy, Default)]
struct Faults {
    /// Answer every call with status 503.
    down: bool,
    /// Ignore calls and close their connections without a reply.
    silent: bool,
    /// The number of next writes that are applied but get no reply.
    drop_replies: u64,
    /// The delay before every call.
    delay: Duration,
}

#[derive(Debug, Default)]
struct Store {
    values: HashMap<String, (String, u64)>,
    revision: u64,
    faults: Faults,
    call_counts: BTreeMap<&'static str, u64>,
}

type SharedStore = Arc<Mutex<Store>>;

/// Starts the stand-in and its admin port; both serve until the process ends.
///
/// # Errors
///
/// Fails if a listener cannot be bound to its address.
pub async fn run(address: SocketAddr, admin: SocketAddr) -> Result<()> {
    let store = SharedStore::default();
    let admin_store = Arc::clone(&store);
    serve(address, move |request| handle_call(Arc::clone(&store), request)).await?;
    serve(admin, move |request| {
        let reply = handle_admin_request(&admin_store, &request);
        async move { reply }
    })
    .await
}

async fn handle_call(store: SharedStore, request: BufferedRequest) -> Reply {
    let faults = lock(&store).faults;
    tokio::time::sleep(faults.delay).await;
    if faults.silent {
        return None;
    }
    if faults.down {
        return error_reply(StatusCode::SERVICE_UNAVAILABLE);
    }
    let body = request.json();
    match (request.method, request.path.as_str()) {
        (Method::POST, "/v3/kv/range") => json_reply(&lock(&store).read_key(&body, "reads")),
        (Method::POST, "/v3/kv/txn") => lock(&store).run_transaction(&body),
        _ => error_reply(StatusCode::NOT_FOUND),
    }
}

impl Store {
    fn count_call(&mut self, kind: &'static str) {
        *self.call_counts.entry(kind).or_default() += 1;
    }

    fn read_key(&mut self, body: &Value, kind: &'static str) -> Value {
        self.count_call(kind);
        let key = body["key"].as_str().unwrap_or_default();
        let header = json!({ "revision": self.revision.to_string() });
        let Some((value, revision)) = self.values.get(key) else {
            return json!({ "header": header });
        };
        let pair = json!({ "key": key, "value": value, "mod_revision": revision.to_string() });
        json!({ "header": header, "kvs": [pair], "count": "1" })
    }

    fn run_transaction(&mut self, body: &Value) -> Reply {
        self.count_call("writes");
        let compare = &body["compare"][0];
        let key = compare["key"].as_str().unwrap_or_default().to_owned();
        let expected_revision =
            compare["mod_revision"].as_str().and_then(|r| r.parse().ok()).unwrap_or(0);
        let current_revision = self.values.get(&key).map_or(0, |(_, revision)| *revision);
        if current_revision != expected_revision {
            self.count_call("conflicts");
            let range = self.read_key(&json!({ "key": key }), "reads_after_conflict");
            let header = range["header"].clone();
            return json_reply(
                &json!({ "header": header, "responses": [{ "response_range": range }] }),
            );
        }
        let value = body["success"][0]["request_put"]["value"].as_str().unwrap_or_default();
        self.revision += 1;
        self.values.insert(key, (value.to_owned(), self.revision));
        if self.faults.drop_replies > 0 {
            self.faults.drop_replies -= 1;
            return None;
        }
        json_reply(
            &json!({ "header": { "revision": self.revision.to_string() }, "succeeded": true }),
        )
    }
}

fn handle_admin_request(store: &SharedStore, request: &BufferedRequest) -> Reply {
    let mut store = lock(store);
    match (&request.method, request.path.as_str()) {
        (&Method::POST, "/faults") => {
            let body = request.json();
            let flag = |name: &str| body[name].as_bool().unwrap_or(false);
            store.faults = Faults {
                down: flag("down"),
                silent: flag("silent"),
                drop_replies: body["drop_replies"].as_u64().unwrap_or(0),
                delay: Duration::from_millis(body["delay_ms"].as_u64().unwrap_or(0)),
            };
            json_reply(&json!({ "set": body }))
        }
        (&Method::GET, "/calls") => json_reply(&json!(store.call_counts)),
        _ => error_reply(StatusCode::NOT_FOUND),
    }
}
