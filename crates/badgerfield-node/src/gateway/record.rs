//! The record of decisions: one line for each, with the request's id, what decided it,
//! how old that was, and the outcome.

use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::{UpstreamId, Version};
use badgerfield_core::refusal::Refusal;
use badgerfield_core::replicas::Chosen;

use crate::logs::REQUESTS;

/// Records that a request was let in.
pub(crate) fn admitted(id: &str, route: &str, account: Option<&str>, version: Version) {
    let account = account.unwrap_or("-");
    log::info!(target: REQUESTS, "admitted id={id} route={route} account={account} templates={version}");
}

/// Records what setting tokens aside came to.
pub(crate) fn reserved(
    id: &str,
    budget: &str,
    tokens: u64,
    took: Duration,
    result: Result<(), &Refusal>,
) {
    let outcome = result.map_or_else(|refusal| refusal.cause.code(), |()| "done");
    let took = took.as_millis();
    log::info!(target: REQUESTS, "reserved id={id} budget={budget} tokens={tokens} took_ms={took} outcome={outcome}");
}

/// Records which upstream was chosen, and which nearly was.
pub(crate) fn chosen(
    id: &str,
    attempt: u32,
    chosen: &Chosen,
    list: (u64, Option<Time>),
    now: Time,
) {
    let (upstream, cost, weighed) = (&chosen.id, chosen.cost, chosen.weighed);
    let (revision, age) = (list.0, list.1.map_or(0, |at| now.since(at).as_millis()));
    let (second, second_cost) = match &chosen.second {
        Some((id, cost)) => (id.as_str(), *cost),
        None => ("-", 0.0),
    };
    log::info!(
        target: REQUESTS,
        "chosen id={id} attempt={attempt} upstream={upstream} cost_ms={cost:.0} weighed={weighed} \
         second={second} second_ms={second_cost:.0} list={revision} list_age_ms={age}"
    );
}

/// Records how one try at an upstream ended, if it brought no answer.
pub(crate) fn attempt_failed(
    id: &str,
    attempt: u32,
    upstream: &UpstreamId,
    outcome: &str,
    took: Duration,
) {
    let took = took.as_millis();
    log::info!(
        target: REQUESTS,
        "attempt id={id} attempt={attempt} upstream={upstream} outcome={outcome} took_ms={took}"
    );
}

/// Records that a stream goes on at another upstream.
pub(crate) fn resumed(id: &str, from: &UpstreamId, last: Option<u64>, why: &str) {
    let last = last.map_or_else(|| "-".to_owned(), |last| last.to_string());
    log::info!(target: REQUESTS, "resumed id={id} from={from} last_event={last} why={why}");
}

/// How a request ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct End<'a> {
    pub(crate) id: &'a str,
    pub(crate) outcome: &'a str,
    pub(crate) status: u16,
    pub(crate) attempts: u32,
    pub(crate) upstream: Option<&'a UpstreamId>,
    pub(crate) took: Duration,
    pub(crate) events: u64,
    pub(crate) tokens: (u64, u64),
}

/// Records the end of a request.
pub(crate) fn ended(end: &End<'_>) {
    let End { id, outcome, status, attempts, events, .. } = end;
    let upstream = end.upstream.map_or("-", UpstreamId::as_str);
    let took = end.took.as_millis();
    let (reserved, used) = end.tokens;
    log::info!(
        target: REQUESTS,
        "ended id={id} outcome={outcome} status={status} attempts={attempts} upstream={upstream} \
         took_ms={took} events={events} reserved={reserved} used={used}"
    );
}
