//! Steps 1 to 4 of a request: find its route, authenticate the caller, read the body and reserve
//! tokens.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use badgerfield_core::amount::{Time, Tokens};
use badgerfield_core::ids::Account;
use badgerfield_core::refusal::{Cause, Refusal};
use badgerfield_core::request_mix::PromptSize;
use badgerfield_core::residency::Admission;
use badgerfield_core::routing::Caller;
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
use crate::gateway::route_lookup::{FoundRoute, RouteLookup};
use crate::gateway::state::{Gateway, OpenRequest};

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
    let not_run = |cause| (None, Refusal::not_run(cause));
    if gateway.routes().version.0 == 0 {
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
    let host = request_host(&head.headers, &head.uri);
    let lookup = RouteLookup { id: &id, host: &host, path: head.uri.path(), headers: &headers };
    let found = lookup.run(&driver, &gateway).await;
    let FoundRoute { in_force, route, caller, residency } =
        found.map_err(|refusal| (Some(id.clone()), refusal))?;
    let table = &in_force.table;
    let account_id = caller.as_ref().map(|caller| &caller.account);
    let account = account_id.map(Account::as_str);
    request_log::admitted(&headers, &route.name, account, in_force.version);

    let max_wait = headers.max_wait.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived_at.after(max_wait);
    strip_hop_by_hop(&mut head.headers);
    let body = read_body(&driver, body, table.limits().body, deadline).await.map_err(&not_run)?;
    let timing = Timing { body: driver.now().since(arrived_at), ..Timing::default() };

    let original = Original { id: id.clone(), head, body };
    let (fingerprint, part_fingerprints) =
        poison::check_blocked(&driver, account_id, &route, &headers, &original)
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
        route: Arc::clone(&route),
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

fn request_host(head: &HeaderMap, uri: &hyper::Uri) -> String {
    let host = head.get(header::HOST).and_then(|value| value.to_str().ok());
    host.or_else(|| uri.authority().map(hyper::http::uri::Authority::as_str))
        .unwrap_or_default()
        .to_owned()
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
