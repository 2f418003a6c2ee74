//! The key-value service, by the JSON gateway of etcd version 3.
//!
//! Source: the service's published API, <https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/>.

use std::time::Duration;

use badgerfield_core::event::{KvCall, KvName, KvResult, OperatorChanges, Versioned};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::Full;
use hyper::{Request, Uri, header};
use serde_json::{Value, json};

use crate::adapter::{KeyValue, Watched};
use crate::http::{self, CallError, HttpClient};

/// A client of the key-value service.
#[derive(Debug, Clone)]
pub struct Kv {
    client: HttpClient,
    base: Uri,
    prefix: String,
    timeout: Duration,
}

impl KeyValue for Kv {
    fn call<'a>(&'a self, call: &'a KvCall) -> BoxFuture<'a, KvResult> {
        Box::pin(async move {
            match call {
                KvCall::Get(name) => self.get(name).await,
                KvCall::Swap { name, expect, value } => self.swap(name, *expect, value).await,
            }
        })
    }

    fn watch_operators(&self, _after: u64) -> BoxFuture<'_, Watched<OperatorChanges>> {
        Box::pin(futures::future::pending())
    }
}

impl Kv {
    /// Makes a client.
    #[must_use]
    pub fn new(base: Uri, prefix: String, timeout: Duration) -> Self {
        Self { client: http::client(), base, prefix, timeout }
    }

    async fn get(&self, name: &KvName) -> KvResult {
        let body = json!({ "key": self.key(name) });
        match self.post("/v3/kv/range", &body).await {
            Ok(answer) => found(&answer).map_or(KvResult::Unknown, KvResult::Value),
            Err(CallError::Connect(_) | CallError::Status { .. }) => KvResult::Refused,
            Err(_) => KvResult::Unknown,
        }
    }

    async fn swap(&self, name: &KvName, expect: u64, value: &Bytes) -> KvResult {
        let key = self.key(name);
        let body = json!({
            "compare": [{ "key": key, "target": "MOD", "result": "EQUAL", "mod_revision": expect.to_string() }],
            "success": [{ "request_put": { "key": key, "value": STANDARD.encode(value) } }],
            "failure": [{ "request_range": { "key": key } }],
        });
        let answer = match self.post("/v3/kv/txn", &body).await {
            Ok(answer) => answer,
            Err(CallError::Connect(_)) => return KvResult::Refused,
            // A rate limit refuses before anything is done; other failures may come later.
            Err(CallError::Status { status, .. }) if status.as_u16() == 429 => {
                return KvResult::Refused;
            }
            Err(_) => return KvResult::Unknown,
        };
        if answer["succeeded"].as_bool() == Some(true) {
            return number(&answer["header"]["revision"])
                .map_or(KvResult::Unknown, KvResult::Written);
        }
        let range = &answer["responses"][0]["response_range"];
        found(range).map_or(KvResult::Unknown, KvResult::Conflict)
    }

    async fn post(&self, path: &str, body: &Value) -> Result<Value, CallError> {
        let uri = format!("{}{path}", self.base.to_string().trim_end_matches('/'));
        let request = Request::post(uri)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::from(body.to_string()))
            .map_err(|_| CallError::Connect(self.base.clone()))?;
        http::call(&self.client, request, self.timeout).await
    }

    fn key(&self, name: &KvName) -> String {
        let name = match name {
            KvName::Templates => "templates".to_owned(),
            KvName::View => "view".to_owned(),
            KvName::Ledger(shard) => format!("ledger/{shard}"),
            KvName::Rollout(service) => format!("rollout/{service}"),
            KvName::Poison => "poison".to_owned(),
        };
        STANDARD.encode(format!("{}{name}", self.prefix))
    }
}

/// Reads the value of a range answer; an answer without a value is an absent one.
fn found(answer: &Value) -> Option<Versioned> {
    let Some(pair) = answer["kvs"].get(0) else {
        return Some(Versioned::default());
    };
    let value = pair["value"].as_str().unwrap_or_default();
    let value = STANDARD.decode(value).ok()?;
    let revision = number(&pair["mod_revision"])?;
    Some(Versioned { value: Some(Bytes::from(value)), revision })
}

/// Reads a number, which the gateway writes as text.
fn number(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| value.as_str()?.parse().ok())
}
