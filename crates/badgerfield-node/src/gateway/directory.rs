//! The directory of VMs and the readiness endpoint.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use badgerfield_core::ids::Incarnation;
use badgerfield_core::locality::{Location, nearest, without_overloaded};
use badgerfield_core::view::Member;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::json;
use tokio::sync::Semaphore;

use crate::adapter::DirectoryRequest;
use crate::caller_api::listen;
use crate::driver::{Driver, StartError};
use crate::gateway::state::Gateway;
use crate::http::{self, Body};
use crate::serving::{self, Connection};

/// How long callers cache a response of the directory.
const CACHE_TIME: Duration = Duration::from_secs(1);
/// The maximum number of addresses in one response.
const MAX_ADDRESSES: usize = 64;

/// Serves the directory at one address and the readiness endpoint at another.
///
/// # Errors
///
/// Fails if an address is in use.
pub(crate) async fn serve(
    driver: &Arc<Driver>,
    gateway: &Arc<Gateway>,
    directory: Option<SocketAddr>,
    ready: SocketAddr,
) -> Result<(), StartError> {
    for address in directory.into_iter().chain([ready]) {
        let listener = listen(address).await?;
        let gateway = Arc::clone(gateway);
        let serve =
            move |driver, connection| serve_connection(driver, Arc::clone(&gateway), connection);
        serving::spawn_listener(driver, listener, Semaphore::MAX_PERMITS, serve);
    }
    Ok(())
}

async fn serve_connection(driver: Arc<Driver>, gateway: Arc<Gateway>, connection: Connection) {
    let respond = |request| {
        let response = respond(&driver, &gateway, &request);
        async move { response }
    };
    // A caller that disconnects needs no response.
    let _ = connection.serve(&driver, &http1::Builder::new(), || None, respond).await;
}

/// Returns whether this process can serve callers.
pub(crate) fn is_ready(gateway: &Gateway) -> bool {
    if gateway.routes().version.0 == 0 || gateway.is_stopping() {
        return false;
    }
    !gateway.upstreams().is_empty() && gateway.can_begin_streams()
}

fn respond(driver: &Driver, gateway: &Gateway, request: &Request<Incoming>) -> Response<Body> {
    if request.method() != Method::GET {
        return http::json_response(
            StatusCode::METHOD_NOT_ALLOWED,
            &json!({ "error": "expected GET" }),
        );
    }
    if request.uri().path() == "/readyz" {
        let mut response = Response::new(http::full(""));
        if !is_ready(gateway) {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        return response;
    }
    let Some(query) = gateway.adapter.protocol.parse_directory_request(request.uri()) else {
        return http::json_response(
            StatusCode::NOT_FOUND,
            &json!({ "error": "expected a question" }),
        );
    };
    let now = driver.now();
    let members = driver.node.available_members(now);
    let mut avoided = driver.node.overloaded_members(now);
    avoided.extend(driver.node.cut_off_members(now));
    let caller = caller_location(gateway, query);
    let addresses = choose_addresses(&members, &avoided, &caller);
    if addresses.is_empty() {
        let error = json!({ "error": "no VM is ready; come back later" });
        return http::json_response(StatusCode::SERVICE_UNAVAILABLE, &error);
    }
    let text = gateway.adapter.protocol.format_directory_response(&addresses, CACHE_TIME);
    let mut response = Response::new(http::full(text));
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, json);
    response
}

/// Returns the location of a caller. Without a region in the query, it is that of the failure
/// domain, if known.
fn caller_location(gateway: &Gateway, query: DirectoryRequest) -> Location {
    let DirectoryRequest { domain, region } = query;
    let region_of_domain = || gateway.upstreams().regions().region(domain.as_ref()?).cloned();
    let region = region.or_else(region_of_domain);
    Location { domain, region }
}

/// Returns the addresses of the VMs that are nearest to a caller, without avoided ones unless these
/// are most of them.
fn choose_addresses(
    members: &[Member],
    avoided: &BTreeSet<Incarnation>,
    caller: &Location,
) -> Vec<SocketAddr> {
    let chosen = without_overloaded(&nearest(members, caller), avoided).into_iter();
    chosen.map(|member| member.caller).take(MAX_ADDRESSES).collect()
}
