//! The responses of refused requests.

use std::time::Duration;

use badgerfield_core::ids::UpstreamId;
use badgerfield_core::refusal::{Outcome, Refusal};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Response, StatusCode, header};
use serde_json::json;

use crate::gateway::exchange::ResponseBody;
use crate::gateway::request_log::{self, Timing};

/// Logs the end of a request that was refused.
pub(super) fn record_refused(
    id: &str,
    refusal: &Refusal,
    attempts: u32,
    upstream: Option<&UpstreamId>,
    took: Duration,
) {
    request_log::ended(&request_log::RequestEnd {
        id,
        outcome: refusal.cause.code(),
        status: refusal.cause.status(),
        attempts,
        upstream,
        took,
        events: 0,
        tokens: (0, 0),
        timing: Timing::default(),
    });
}

/// Builds the response of a refusal.
pub(super) fn refusal_response(refusal: &Refusal) -> Response<ResponseBody> {
    let cause = refusal.cause;
    let text = json!({
        "error": {
            "code": cause.code(),
            "message": cause.to_string(),
            "outcome": refusal.outcome.as_str(),
        }
    });
    let body = Full::new(Bytes::from(text.to_string())).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    let status = StatusCode::from_u16(cause.status());
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let head = response.headers_mut();
    head.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    let retry_after = refusal.retry_after.filter(|_| refusal.outcome == Outcome::NotRun);
    let retry_after = retry_after.map(|span| format!("{:.3}", span.as_secs_f64()));
    if let Some(value) = retry_after.and_then(|text| text.parse().ok()) {
        head.insert(header::RETRY_AFTER, value);
    }
    response
}
