//! Steps 1 to 4 of a request: find its route, authenticate the caller, read the body and reserve
//! tokens.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use badgerfield_core::amount::{Time, Tokens};
use badgerfield_core::ids::Account;
use badgerfield_core::refusal::{Cause, Refusal};
use badgerfield_core::request_mix::PromptSize;
use badgerfield_core::residency::{Admission, Residency, ResidencyError};
use badgerfield_core::routing::{Caller, Route, RouteTable};
use badgerfield_core::template::KeyDigest;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, header};

use crate::adapter::RequestHeaders;
use crate::driver::Driver;
use crate::gateway::attempt::{Original, strip_hop_by_hop};
use crate::gateway::exchange::{Exchange, LastDispatch, RETRY_DELAY, StreamVersion};
use crate::gateway::poison;
use crate::gateway::request_log::{self, Timing};
use crate::gateway::reservation::Reservation;
use crate::gateway::state::{Gateway, OpenRequest, RouteSnapshot};

/// How soon a caller should try another VM when this one is stopping.
const STOPPING_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The id of the request, if its head could be parsed, and the refusal.
pub(super) type AdmitError = (Option<String>, Refusal);

/// Admits a request, or returns the refusal.
pub(super) async fn admit(
    driver: Arc<Driver>,
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
    arrived_at: Time,
    open_request: OpenRequest,
) -> Result<Exchange, AdmitError> {
    let in_force = gateway.routes();
    let not_run = |cause| (None, Refusal::not_run(cause));
    if in_force.version.0 == 0 {
        return Err((None, Refusal::not_run(Cause::NotReady).with_retry_after(RETRY_DELAY)));
    }
    let (mut head, body) = request.into_parts();
    let headers = gateway.adapter.protocol.parse_request_headers(&head.headers);
    let headers = headers.map_err(|error| {
        log::debug!(target: crate::logs::REQUESTS, "rejected request headers: {error}");
        not_run(Cause::BadRequest)
    })?;
    let id = headers.id.clone();
    let not_run = |cause| (Some(id.clone()), Refusal::not_run(cause));
    if driver.is_refusing_requests() {
        return Err((
            Some(id),
            Refusal::not_run(Cause::Stopping).with_retry_after(STOPPING_RETRY_DELAY),
        ));
    }
    let table = &in_force.table;
    let host = request_host(&head.headers, &head.uri);
    let found = find_route(table, &host, head.uri.path(), &headers);
    let (route, caller) = found.map_err(|cause| {
        request_log::unknown(&id, cause, &driver.node.template_status(driver.now()));
        not_run(cause)
    })?;
    let account_id = caller.as_ref().map(|caller| &caller.account);
    let account = account_id.map(Account::as_str);
    let residency = check_residency(&gateway, &in_force, &id, route, account_id)
        .map_err(|refusal| (Some(id.clone()), refusal))?;
    request_log::admitted(&headers, &route.name, account, in_force.version);

    let max_wait = headers.max_wait.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived_at.after(max_wait);
    strip_hop_by_hop(&mut head.headers);
    let body = read_body(&driver, body, table.limits().body, deadline).await.map_err(&not_run)?;
    let timing = Timing { body: driver.now().since(arrived_at), ..Timing::default() };

    let original = Original { id: id.clone(), head, body };
    let (fingerprint, part_fingerprints) =
        poison::check_blocked(&driver, account_id, route, &headers, &original)
            .map_err(|refusal| (Some(id.clone()), refusal))?;

    let service =
        route.choose_service(rand::random()).ok_or_else(|| not_run(Cause::NoUpstream))?.clone();
    let spec = table.service(&service).cloned().ok_or_else(|| not_run(Cause::NoUpstream))?;
    let objective = if route.objective.is_zero() { max_wait } else { route.objective };
    let budget_wait = objective * driver.settings.pacing.policy.budget_wait_percent / 100;
    let reserve_deadline = deadline.min(arrived_at.after(budget_wait));
    let reservation = reserve(&driver, &headers, caller.as_ref(), reserve_deadline).await;
    let reservation = reservation.map_err(|refusal| (Some(id.clone()), refusal))?;
    driver.gateway_counts().admitted.inc();
    let now = driver.now();
    gateway.retries().count_request(now, &service);
    let divides_engines = driver.settings.pacing.policy.divide_engines;
    if let Some(size) = prompt_size(&headers).filter(|_| divides_engines) {
        gateway.upstreams().record_arrival(now, &service, &route.name, size);
    }
    Ok(Exchange {
        route: Arc::clone(route),
        driver,
        original,
        headers,
        spec,
        reservation,
        service,
        caller,
        admission: Admission { version: in_force.version, residency },
        arrived_at,
        deadline,
        tried: Vec::new(),
        attempts: 0,
        current_upstream: None,
        last_dispatch: LastDispatch { at: arrived_at, prior_crashes: 0, through_peer: false },
        may_have_run: false,
        has_unseen_output: false,
        fingerprint,
        part_fingerprints,
        is_trial: AtomicBool::new(false),
        timing,
        uncached_tokens: 0,
        stream_version: StreamVersion::NotBegun,
        gateway,
        ended: false,
        _open_request: open_request,
    })
}

/// Returns the size of the prompt, or `None` if the request is not for an engine.
fn prompt_size(headers: &RequestHeaders) -> Option<PromptSize> {
    let unshared = headers.parts.last()?.tokens;
    let prompt = headers.parts.iter().map(|part| part.tokens).sum();
    Some(PromptSize { total_tokens: prompt, unshared_tokens: unshared })
}

/// Returns the regions in which a request may be served, or the refusal if there are none.
///
/// A restriction that leaves no region holds until operators change it, so the caller is not asked
/// to retry. A region without a known failure domain may be part of the next settings.
fn check_residency(
    gateway: &Gateway,
    in_force: &RouteSnapshot,
    id: &str,
    route: &Route,
    account: Option<&Account>,
) -> Result<Residency, Refusal> {
    let residency = in_force.table.residency(route, account);
    let checked = residency.check(gateway.upstreams().regions());
    checked.map_err(|fault| {
        request_log::outside(id, &route.name, &fault, in_force.version);
        match fault {
            ResidencyError::NoRegion => Refusal::not_run(Cause::NoRegionAllowed),
            ResidencyError::Unknown(_) => {
                Refusal::not_run(Cause::RegionUnknown).with_retry_after(RETRY_DELAY)
            }
        }
    })?;
    Ok(residency)
}

fn request_host(head: &HeaderMap, uri: &hyper::Uri) -> String {
    let host = head.get(header::HOST).and_then(|value| value.to_str().ok());
    host.or_else(|| uri.authority().map(hyper::http::uri::Authority::as_str))
        .unwrap_or_default()
        .to_owned()
}

/// Returns the route of a request and its caller, or why the templates do not allow it.
fn find_route<'a>(
    table: &'a RouteTable,
    host: &str,
    path: &str,
    headers: &RequestHeaders,
) -> Result<(&'a Arc<Route>, Option<Caller>), Cause> {
    let route = table.route(host, path).ok_or(Cause::NoRoute)?;
    Ok((route, find_caller(table, route, headers)?))
}

fn find_caller(
    table: &RouteTable,
    route: &Route,
    headers: &RequestHeaders,
) -> Result<Option<Caller>, Cause> {
    if route.anonymous {
        return Ok(None);
    }
    let key = headers.key.as_ref().ok_or(Cause::UnknownCaller)?;
    let caller = table.caller(&KeyDigest::from_secret(key)).ok_or(Cause::UnknownCaller)?;
    Ok(Some(caller.clone()))
}

async fn read_body(
    driver: &Driver,
    body: Incoming,
    limit: usize,
    deadline: Time,
) -> Result<Bytes, Cause> {
    let result = driver.clock.timeout_at(deadline, Limited::new(body, limit).collect()).await;
    match result {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Cause::BodyTooLarge),
        Ok(Err(_)) => Err(Cause::BadRequest),
        Err(_) => Err(Cause::Overloaded),
    }
}

/// Reserves the most tokens that a request can cost, if its account pays in advance.
async fn reserve(
    driver: &Arc<Driver>,
    headers: &RequestHeaders,
    caller: Option<&Caller>,
    reserve_deadline: Time,
) -> Result<Option<Reservation>, Refusal> {
    let Some(caller) = caller.filter(|caller| caller.limit.is_some()) else {
        return Ok(None);
    };
    let Some((prompt, output)) = headers.tokens else {
        return Ok(None);
    };
    let amount = Tokens(prompt.saturating_add(output));
    let started = driver.now();
    let result = Reservation::acquire(driver, &caller.budget, amount, reserve_deadline).await;
    let took = driver.now().since(started);
    let outcome = result.as_ref().map(|_| ());
    request_log::reserved(&headers.id, caller.budget.as_str(), amount.0, took, outcome);
    result.map(Some)
}
