//! Stand-in for the VM list of the platform.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use anyhow::Result;
use badgerfield_node::sync::lock;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};

use crate::server::{BufferedRequest, Reply, error_reply, json_reply, serve};

/// Starts the stand-in with an initial list, and its admin port; both serve until the
/// process ends.
///
/// # Errors
///
/// Fails if a listener cannot be bound to its address.
pub async fn run(address: SocketAddr, admin: SocketAddr, initial: Value) -> Result<()> {
    let list = Arc::new(Mutex::new(json!({ "version": 1, "vms": initial })));
    let admin_list = Arc::clone(&list);
    serve(address, move |_| {
        let reply = json_reply(&lock(&list));
        async move { reply }
    })
    .await?;
    serve(admin, move |request| {
        let reply = handle_admin_request(&admin_list, &request);
        async move { reply }
    })
    .await
}

/// Replaces the list by the entries in the body of `PUT /vms`, and increments its version.
fn handle_admin_request(list: &Mutex<Value>, request: &BufferedRequest) -> Reply {
    if request.method != Method::PUT || request.path != "/vms" {
        return error_reply(StatusCode::NOT_FOUND);
    }
    let mut list = lock(list);
    let version = list["version"].as_u64().unwrap_or(0) + 1;
    *list = json!({ "version": version, "vms": request.json() });
    json_reply(&list)
}
