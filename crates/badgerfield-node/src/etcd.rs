//! Client of the store: the JSON gateway of etcd version 3.
//!
//! Reference: <https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/>.

use std::time::Duration;

use badgerfield_core::event::{OperatorChanges, StoreCall, StoreKey, StoreResult, Versioned};
use badgerfield_core::stream_segments::{SegmentId, StreamShard};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::Full;
use hyper::{Request, Uri, header};
use serde_json::{Value, json};

use crate::adapter::{Announcements, KeyValueStore, WatchResult};
use crate::http::{self, CallError, HttpClient};

/// Prefix of the announcements of joining processes, after the prefix of all keys.
const JOINERS_PREFIX: &str = "joining/";
/// Prefix of the segments of streams' records, after the prefix of all keys.
const STREAMS_PREFIX: &str = "streams/";
/// Interval between two reads of the announcements by a process that adds them to the view.
const JOINERS_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// A store in etcd, accessed through its JSON gateway.
#[derive(Debug, Clone)]
pub struct EtcdStore {
    client: HttpClient,
    base: Uri,
    prefix: String,
    timeout: Duration,
}

impl KeyValueStore for EtcdStore {
    fn call<'a>(&'a self, call: &'a StoreCall) -> BoxFuture<'a, StoreResult> {
        Box::pin(async move {
            match call {
                // Reads are linearizable.
                StoreCall::Get(key) | StoreCall::GetCurrent(key) => self.get(key).await,
                StoreCall::WriteAll { put, delete } => self.write_all(put, delete).await,
                StoreCall::CompareAndSwap { key, expected_revision, value } => {
                    self.compare_and_swap(key, *expected_revision, value).await
                }
            }
        })
    }

    fn watch_operator_changes(&self, _after: u64) -> BoxFuture<'_, WatchResult<OperatorChanges>> {
        Box::pin(futures::future::pending())
    }

    fn list_joiners(&self) -> BoxFuture<'_, Option<Announcements>> {
        Box::pin(self.read_joiners())
    }

    fn list_segments(&self, shard: StreamShard) -> BoxFuture<'_, Option<Vec<(SegmentId, Bytes)>>> {
        Box::pin(self.read_segments(shard))
    }

    fn watch_joiners(&self, after: u64) -> BoxFuture<'_, WatchResult<Announcements>> {
        Box::pin(async move {
            tokio::time::sleep(JOINERS_POLL_INTERVAL).await;
            let Some(mut found) = self.read_joiners().await else {
                return WatchResult::Failed;
            };
            found.items.retain(|item| item.revision > after);
            if found.items.is_empty() {
                return WatchResult::Unchanged(found.revision);
            }
            WatchResult::Changed(found)
        })
    }
}

impl EtcdStore {
    /// Creates a client whose keys all start with a prefix.
    #[must_use]
    pub fn new(base: Uri, prefix: String, timeout: Duration) -> Self {
        Self { client: http::client(), base, prefix, timeout }
    }

    async fn get(&self, key: &StoreKey) -> StoreResult {
        let body = json!({ "key": self.encode_key(key) });
        match self.post("/v3/kv/range", &body).await {
            Ok(answer) => parse_range(&answer).map_or(StoreResult::Unknown, StoreResult::Value),
            Err(CallError::Connect(_) | CallError::Status { .. }) => StoreResult::Refused,
            Err(_) => StoreResult::Unknown,
        }
    }

    async fn compare_and_swap(
        &self,
        key: &StoreKey,
        expected_revision: u64,
        value: &Bytes,
    ) -> StoreResult {
        let key = self.encode_key(key);
        let body = json!({
            "compare": [{ "key": key, "target": "MOD", "result": "EQUAL", "mod_revision": expected_revision.to_string() }],
            "success": [{ "request_put": { "key": key, "value": STANDARD.encode(value) } }],
            "failure": [{ "request_range": { "key": key } }],
        });
        let answer = match self.post("/v3/kv/txn", &body).await {
            Ok(answer) => answer,
            Err(CallError::Connect(_)) => return StoreResult::Refused,
            // A rate limit rejects the call before the write is executed. With other statuses the
            // write may have been executed.
            Err(CallError::Status { status, .. }) if status.as_u16() == 429 => {
                return StoreResult::Refused;
            }
            Err(_) => return StoreResult::Unknown,
        };
        if answer["succeeded"].as_bool() == Some(true) {
            return parse_number(&answer["header"]["revision"])
                .map_or(StoreResult::Unknown, StoreResult::Written);
        }
        let range = &answer["responses"][0]["response_range"];
        parse_range(range).map_or(StoreResult::Unknown, StoreResult::Conflict)
    }

    /// Writes and removes values whatever their revisions.
    async fn write_all(&self, put: &[(StoreKey, Bytes)], delete: &[StoreKey]) -> StoreResult {
        let put = put.iter().map(|(key, value)| {
            json!({ "request_put": { "key": self.encode_key(key), "value": STANDARD.encode(value) } })
        });
        let delete = delete
            .iter()
            .map(|key| json!({ "request_delete_range": { "key": self.encode_key(key) } }));
        let body = json!({ "success": put.chain(delete).collect::<Vec<_>>() });
        match self.post("/v3/kv/txn", &body).await {
            Ok(answer) => parse_number(&answer["header"]["revision"])
                .map_or(StoreResult::Unknown, StoreResult::Written),
            Err(CallError::Connect(_)) => StoreResult::Refused,
            Err(_) => StoreResult::Unknown,
        }
    }

    /// Reads the segments of a shard of streams' records.
    async fn read_segments(&self, shard: StreamShard) -> Option<Vec<(SegmentId, Bytes)>> {
        let prefix = format!("{}{STREAMS_PREFIX}", self.prefix);
        let answer = self.read_prefix(&format!("{prefix}{shard}/")).await?;
        let pairs = answer["kvs"].as_array().map(Vec::as_slice).unwrap_or_default();
        let segment = |pair: &Value| {
            let decode = |name: &str| STANDARD.decode(pair[name].as_str()?).ok();
            let key = String::from_utf8(decode("key")?).ok()?;
            let id = key.strip_prefix(&prefix)?.parse().ok()?;
            Some((id, Bytes::from(decode("value")?)))
        };
        Some(pairs.iter().filter_map(segment).collect())
    }

    /// Reads all values whose keys have a prefix.
    async fn read_prefix(&self, prefix: &str) -> Option<Value> {
        // The range ends before the first key that does not start with the prefix.
        let mut end = prefix.as_bytes().to_vec();
        if let Some(last) = end.last_mut() {
            *last += 1;
        }
        let body = json!({ "key": STANDARD.encode(prefix), "range_end": STANDARD.encode(end) });
        self.post("/v3/kv/range", &body).await.ok()
    }

    /// Reads the announcements of all joining processes.
    async fn read_joiners(&self) -> Option<Announcements> {
        let answer = self.read_prefix(&format!("{}{JOINERS_PREFIX}", self.prefix)).await?;
        let revision = parse_number(&answer["header"]["revision"])?;
        let pairs = answer["kvs"].as_array().map(Vec::as_slice).unwrap_or_default();
        Some(Announcements { revision, items: pairs.iter().filter_map(parse_pair).collect() })
    }

    async fn post(&self, path: &str, body: &Value) -> Result<Value, CallError> {
        let uri = format!("{}{path}", self.base.to_string().trim_end_matches('/'));
        let request = Request::post(uri)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::from(body.to_string()))
            .map_err(|_| CallError::Connect(self.base.clone()))?;
        http::call_json(&self.client, request, self.timeout).await
    }

    fn encode_key(&self, key: &StoreKey) -> String {
        let name = match key {
            StoreKey::Templates => "templates".to_owned(),
            StoreKey::View => "view".to_owned(),
            StoreKey::Joiner(vm) => format!("{JOINERS_PREFIX}{vm}"),
            StoreKey::Ledger(shard) => format!("ledger/{shard}"),
            StoreKey::Rollout(service) => format!("rollout/{service}"),
            StoreKey::Poison => "poison".to_owned(),
            StoreKey::Versions => "versions".to_owned(),
            StoreKey::StreamSegment(id) => format!("{STREAMS_PREFIX}{id}"),
        };
        STANDARD.encode(format!("{}{name}", self.prefix))
    }
}

/// Parses the value in the answer to a range request. An answer without a key-value pair means
/// that the key is absent.
fn parse_range(answer: &Value) -> Option<Versioned> {
    let Some(pair) = answer["kvs"].get(0) else {
        return Some(Versioned::default());
    };
    parse_pair(pair)
}

/// Parses a key-value pair.
fn parse_pair(pair: &Value) -> Option<Versioned> {
    let value = pair["value"].as_str().unwrap_or_default();
    let value = STANDARD.decode(value).ok()?;
    let revision = parse_number(&pair["mod_revision"])?;
    Some(Versioned { value: Some(Bytes::from(value)), revision })
}

/// Parses a number; the gateway encodes 64-bit numbers as strings.
fn parse_number(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| value.as_str()?.parse().ok())
}
