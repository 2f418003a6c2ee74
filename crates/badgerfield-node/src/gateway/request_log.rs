//! The log of requests: one line for each decision, with the id of the request, the data that
//! decided it, the age of that data and the outcome.

use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::answer_record::AnswerRecord;
use badgerfield_core::brittle::RejectionTolerance;
use badgerfield_core::ids::{
    Incarnation, Service, SoftwareVersion, TemplateVersion, UpstreamId, VersionTag,
};
use badgerfield_core::locality::CrossingReason;
use badgerfield_core::poison::Fingerprint;
use badgerfield_core::rate_limit::RateLimit;
use badgerfield_core::refusal::{Cause, Refusal};
use badgerfield_core::request_mix::PromptGroup;
use badgerfield_core::residency::ResidencyError;
use badgerfield_core::template_arrival::TemplateStatus;
use badgerfield_core::upstream_table::{
    BrittleChange, ChosenUpstream, LimitChange, PlaceCounts, PromptPart,
};

use crate::adapter::RequestHeaders;
use crate::gateway::stream_origin::{FoundOrigin, KeeperAnswers, LearnedFrom};
use crate::logs::REQUESTS;

/// The maximum number of prompt parts in a log line.
const MAX_LOGGED_PARTS: usize = 8;

/// Logs that a request was admitted, and the stream that it resumes, if any.
pub(crate) fn admitted(
    headers: &RequestHeaders,
    route: &str,
    account: Option<&str>,
    version: TemplateVersion,
) {
    let (id, account) = (&headers.id, account.unwrap_or("-"));
    let resumes = headers.resumes.as_deref().unwrap_or("-");
    let last = headers.last_event.map_or_else(|| "-".to_owned(), |last| last.to_string());
    let parts: Vec<_> =
        headers.parts.iter().take(MAX_LOGGED_PARTS).map(|part| format!("{:x}", part.id)).collect();
    let (parts, part_count) = (parts.join(","), headers.parts.len());
    log::info!(
        target: REQUESTS,
        "admitted id={id} route={route} account={account} templates={version} resumes={resumes} \
         last_event={last} parts={parts} part_count={part_count}"
    );
}

/// Logs that the templates do not have the route or the key of a request, and how current they are.
pub(crate) fn unknown(id: &str, cause: Cause, status: &TemplateStatus) {
    log::info!(target: REQUESTS, "unknown id={id} cause={} {status}", cause.code());
}

/// Logs that a request may not be served in any known region.
pub(crate) fn outside(id: &str, route: &str, fault: &ResidencyError, version: TemplateVersion) {
    log::warn!(target: REQUESTS, "outside id={id} route={route} templates={version} fault={fault:?}");
}

/// Logs how the version was found at which a stream began that a request resumes, or why it is not
/// resumed.
pub(crate) fn origin(
    id: &str,
    resumes: Option<&str>,
    found: Option<&FoundOrigin>,
    answers: &KeeperAnswers,
    refused: Option<Cause>,
) {
    let resumes = resumes.unwrap_or("-");
    let tag = found.map_or_else(|| "-".to_owned(), |found| found.version.to_string());
    let from = match found.map(|found| found.from) {
        Some(LearnedFrom::Peer(peer)) => peer.to_string(),
        Some(from) => from.as_str().to_owned(),
        None => "-".to_owned(),
    };
    let age = millis_or_none(found.map(|found| found.age));
    let KeeperAnswers { asked, answered, .. } = answers;
    let outcome = refused.map_or("bound", Cause::code);
    log::info!(
        target: REQUESTS,
        "origin id={id} resumes={resumes} tag={tag} from={from} age_ms={age} asked={asked} \
         answered={answered} outcome={outcome}"
    );
}

/// Logs the outcome of a token reservation.
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

/// Logs the chosen upstream and the runner-up.
pub(crate) fn chosen(
    id: &str,
    attempt: u32,
    chosen: &ChosenUpstream,
    list: (u64, Option<Time>),
    now: Time,
) {
    let (upstream, cost, weighed) = (&chosen.id, chosen.cost, chosen.candidates);
    let (revision, age) = (list.0, list.1.map_or(0, |at| now.since(at).as_millis()));
    let group = match chosen.group {
        Some((PromptGroup::Short, true)) => "short",
        Some((PromptGroup::Long, true)) => "long",
        Some((PromptGroup::Short, false)) => "short_astray",
        Some((PromptGroup::Long, false)) => "long_astray",
        None => "-",
    };
    let (unread, lag) = (chosen.uncached_tokens, chosen.queueing_delay);
    let version = chosen.version.as_ref().map_or("-", SoftwareVersion::as_str);
    let near = chosen.distance.as_str();
    let why = chosen.crossing.map_or("-", CrossingReason::as_str);
    let (second, second_cost) = match &chosen.runner_up {
        Some((id, cost)) => (id.as_str(), *cost),
        None => ("-", 0.0),
    };
    log::info!(
        target: REQUESTS,
        "chosen id={id} attempt={attempt} upstream={upstream} version={version} cost_ms={cost:.0} \
         group={group} unread={unread} lag_ms={lag:.0} near={near} crossed={why} weighed={weighed} \
         second={second} second_ms={second_cost:.0} list={revision} list_age_ms={age}"
    );
}

/// Logs the outcome of an attempt without a response.
pub(crate) fn attempt_failed(
    id: &str,
    attempt: u32,
    upstream: Option<&UpstreamId>,
    outcome: &str,
    took: Duration,
) {
    let upstream = upstream.map_or("-", UpstreamId::as_str);
    let took = took.as_millis();
    log::info!(
        target: REQUESTS,
        "attempt id={id} attempt={attempt} upstream={upstream} outcome={outcome} took_ms={took}"
    );
}

/// Logs an attempt through a peer, up to the head of the response.
pub(crate) fn forwarded(
    id: &str,
    attempt: u32,
    peer: Incarnation,
    upstream: Option<&UpstreamId>,
    outcome: &str,
    took: Duration,
) {
    let upstream = upstream.map_or("-", UpstreamId::as_str);
    let took = took.as_millis();
    log::info!(
        target: REQUESTS,
        "forwarded id={id} attempt={attempt} peer={peer} upstream={upstream} outcome={outcome} \
         took_ms={took}"
    );
}

/// Logs the end of an attempt that this VM made for a peer.
pub(crate) fn sent_for_peer(id: &str, attempt: u32, upstream: &str, outcome: &str, took: Duration) {
    let took = took.as_millis();
    log::info!(
        target: REQUESTS,
        "sent_for_peer id={id} attempt={attempt} upstream={upstream} outcome={outcome} \
         took_ms={took}"
    );
}

/// Logs that a request stays at a silent upstream because no other one can be tried now.
pub(crate) fn waits_on(id: &str, attempt: u32, upstream: Option<&UpstreamId>, silent: Duration) {
    let upstream = upstream.map_or("-", UpstreamId::as_str);
    let silent = silent.as_millis();
    log::info!(
        target: REQUESTS,
        "waits_on id={id} attempt={attempt} upstream={upstream} silent_ms={silent}"
    );
}

/// Logs whether the address of an upstream still accepts connections after its connection failed.
/// The address is not probed if this process was stalled in the meantime.
pub(crate) fn broke(id: &str, upstream: &UpstreamId, listening: &str, took: Duration) {
    let took = took.as_millis();
    log::info!(
        target: REQUESTS,
        "broke id={id} upstream={upstream} listening={listening} took_ms={took}"
    );
}

/// What the log says of the end of a response without a length.
#[derive(Debug)]
pub(crate) struct UnframedEndEntry<'a> {
    pub(crate) id: &'a str,
    pub(crate) upstream: &'a UpstreamId,
    /// What the witness showed last.
    pub(crate) evidence: &'static str,
    /// How the connection of the witness is related to the response.
    pub(crate) connection: &'static str,
    /// How long after the end the witness was asked again; `None` if it was not.
    pub(crate) outlived: Option<Duration>,
    /// Whether the address of the upstream refused connections then.
    pub(crate) is_refused: bool,
    /// How the other answers of the upstream ended.
    pub(crate) record: AnswerRecord,
    /// Whether this process was stalled since it had last heard of the upstream.
    pub(crate) has_stalled: bool,
    pub(crate) is_whole: bool,
    pub(crate) took: Duration,
}

/// Logs by which evidence the end of a response without a length was judged.
pub(crate) fn unframed_end(entry: &UnframedEndEntry<'_>) {
    let UnframedEndEntry { id, upstream, evidence, connection, record, .. } = entry;
    let (is_refused, has_stalled, is_whole) = (entry.is_refused, entry.has_stalled, entry.is_whole);
    let outlived =
        entry.outlived.map_or_else(|| "-".to_owned(), |span| span.as_millis().to_string());
    let took = entry.took.as_millis();
    log::info!(
        target: REQUESTS,
        "unframed_end id={id} upstream={upstream} evidence={evidence} connection={connection} outlived_ms={outlived} refused={is_refused} record={record} stalled={has_stalled} whole={is_whole} took_ms={took}"
    );
}

/// Logs what the upstream at which a stream was resumed has added to it, and how that ended.
pub(crate) fn resumption(id: &str, upstream: &UpstreamId, events: u64, outcome: &str) {
    log::info!(
        target: REQUESTS,
        "resumption id={id} upstream={upstream} events={events} outcome={outcome}"
    );
}

/// Logs that a crash is not reported, because this VM reaches no other upstream either.
pub(crate) fn crash_ignored(request: Fingerprint, upstream: &UpstreamId) {
    log::warn!(
        target: REQUESTS,
        "crash ignored fingerprint={request} upstream={upstream} reason=no_upstream_reached"
    );
}

/// Logs that a suspect is sent to an upstream: an upstream has crashed while serving the request.
pub(crate) fn suspect(id: &str, request: Fingerprint, attempt: u32, early: bool) {
    log::info!(
        target: REQUESTS,
        "suspect id={id} attempt={attempt} fingerprint={request} early={early}"
    );
}

/// Logs that a request is sent to the upstream that all VMs choose for its accused prompt parts.
pub(crate) fn suspect_parts(id: &str, attempt: u32, key: u64) {
    log::info!(target: REQUESTS, "suspect_parts id={id} attempt={attempt} key={key:016x}");
}

/// Logs that a request tries a blocked part of its prompt.
pub(crate) fn trial(id: &str, part: Fingerprint) {
    log::warn!(target: REQUESTS, "trial id={id} fingerprint={part}");
}

/// Logs that a request is not sent because upstreams have crashed while serving it, or others with
/// the same part of their prompts.
pub(crate) fn blocked(
    id: &str,
    (cause, part): (Fingerprint, Option<PromptPart>),
    upstreams: &[UpstreamId],
    age: Duration,
) {
    let upstreams: Vec<_> = upstreams.iter().map(UpstreamId::as_str).collect();
    let (upstreams, age) = (upstreams.join(","), age.as_millis());
    let part = part.map_or_else(|| "-".to_owned(), |part| format!("{:x}", part.id));
    log::warn!(
        target: REQUESTS,
        "blocked id={id} fingerprint={cause} part={part} upstreams={upstreams} age_ms={age}"
    );
}

/// Logs that an upstream announced a changed rate limit in its response to a request.
pub(crate) fn limit_announced(id: &str, change: &LimitChange) {
    let LimitChange { upstream, .. } = change;
    let (limit, before) = (format_limit(change.limit), format_limit(change.before));
    log::info!(target: REQUESTS, "limit id={id} upstream={upstream} limit={limit} before={before}");
}

/// Logs a changed rate limit of an upstream that another process reported.
pub(crate) fn limit_received(from: Incarnation, change: &LimitChange) {
    let LimitChange { upstream, .. } = change;
    let (limit, before) = (format_limit(change.limit), format_limit(change.before));
    log::info!(target: REQUESTS, "limit from={from} upstream={upstream} limit={limit} before={before}");
}

/// Logs that an upstream announced in its response to a request that its service is brittle, has
/// another tolerance, or is no longer brittle.
pub(crate) fn brittle_announced(id: &str, upstream: &UpstreamId, change: &BrittleChange) {
    let change = format_brittle(change);
    log::info!(target: REQUESTS, "brittle id={id} upstream={upstream} {change}");
}

/// Logs the same, reported by another process.
pub(crate) fn brittle_received(from: Incarnation, change: &BrittleChange) {
    let change = format_brittle(change);
    log::info!(target: REQUESTS, "brittle from={from} {change}");
}

fn format_brittle(change: &BrittleChange) -> String {
    let format = |tolerance: Option<RejectionTolerance>| {
        tolerance.map_or_else(|| "-".to_owned(), |tolerance| tolerance.to_string())
    };
    let (tolerance, before) = (format(change.tolerance), format(change.before));
    format!("service={} tolerance={tolerance} before={before}", change.service)
}

/// Logs that a brittle service has no place for a request: neither at this VM, nor at the peers that
/// it may ask.
pub(crate) fn without_place(
    id: &str,
    service: &Service,
    tolerance: Option<RejectionTolerance>,
    counts: PlaceCounts,
    waited: Duration,
) {
    let tolerance = tolerance.map_or_else(|| "-".to_owned(), |tolerance| tolerance.to_string());
    let PlaceCounts { places, running } = counts;
    let waited = waited.as_millis();
    log::info!(
        target: REQUESTS,
        "without_place id={id} service={service} tolerance={tolerance} places={places} \
         running={running} waited_ms={waited}"
    );
}

/// Logs that an upstream announced in its response to a request that it is leaving, and the age of
/// the known list of upstreams.
pub(crate) fn leaving(id: &str, upstream: &UpstreamId, list: u64, list_age: Duration) {
    let age = list_age.as_millis();
    log::info!(
        target: REQUESTS,
        "leaving id={id} upstream={upstream} list={list} list_age_ms={age}"
    );
}

/// Logs that an upstream rejected a request and asked this VM to back off.
pub(crate) fn back_off(id: &str, upstream: &UpstreamId, span: Duration) {
    let millis = span.as_millis();
    log::info!(target: REQUESTS, "rest id={id} upstream={upstream} rest_ms={millis}");
}

/// Formats a limit in requests per second.
fn format_limit(limit: Option<RateLimit>) -> String {
    limit.map_or_else(|| "-".to_owned(), |limit| limit.to_string())
}

/// Logs that an announcement of an upstream cannot be parsed.
pub(crate) fn invalid_announcement(upstream: &UpstreamId) {
    log::warn!(target: REQUESTS, "unreadable upstream={upstream} outcome=ignored");
}

/// Logs the arrival of the first event of a stream and the time since the request arrived. From
/// then on, the tokens reserved for the prompt count as used.
pub(crate) fn begun(
    id: &str,
    attempt: u32,
    upstream: &UpstreamId,
    version: Option<VersionTag>,
    took: Duration,
) {
    let version = version.map_or_else(|| "-".to_owned(), |version| version.to_string());
    let took = took.as_millis();
    log::info!(
        target: REQUESTS,
        "begun id={id} attempt={attempt} upstream={upstream} tag={version} took_ms={took}"
    );
}

/// Logs that a stream is resumed at another upstream.
pub(crate) fn resumed(id: &str, from: &UpstreamId, last: Option<u64>, why: &str) {
    let last = last.map_or_else(|| "-".to_owned(), |last| last.to_string());
    log::info!(target: REQUESTS, "resumed id={id} from={from} last_event={last} why={why}");
}

/// The end of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestEnd<'a> {
    pub(crate) id: &'a str,
    pub(crate) outcome: &'a str,
    pub(crate) status: u16,
    pub(crate) attempts: u32,
    pub(crate) upstream: Option<&'a UpstreamId>,
    pub(crate) took: Duration,
    pub(crate) events: u64,
    pub(crate) tokens: (u64, u64),
    pub(crate) timing: Timing,
}

/// The times of the steps of a request, measured from its arrival.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Timing {
    /// When the complete body had been read.
    pub(crate) body: Duration,
    /// When the request was first sent to an upstream.
    pub(crate) sent: Option<Duration>,
    /// When the head of the last upstream's response arrived.
    pub(crate) head: Option<Duration>,
    /// When the first event arrived.
    pub(crate) first: Option<Duration>,
    /// When the last event arrived.
    pub(crate) last: Option<Duration>,
    /// The longest pause between two events.
    pub(crate) longest_pause: Duration,
}

impl Timing {
    /// Records that the request is sent to an upstream, `at` after its arrival.
    pub(crate) fn record_sent(&mut self, at: Duration) {
        self.sent.get_or_insert(at);
    }

    /// Records that events arrived, `at` after the request.
    pub(crate) fn record_events(&mut self, at: Duration) {
        if let Some(last) = self.last {
            self.longest_pause = self.longest_pause.max(at.saturating_sub(last));
        }
        self.first.get_or_insert(at);
        self.last = Some(at);
    }
}

/// Formats a span in milliseconds, or `-` if there is none.
fn millis_or_none(span: Option<Duration>) -> String {
    span.map_or_else(|| "-".to_owned(), |span| span.as_millis().to_string())
}

/// Logs the end of a request.
pub(crate) fn ended(end: &RequestEnd<'_>) {
    let RequestEnd { id, outcome, status, attempts, events, .. } = end;
    let upstream = end.upstream.map_or("-", UpstreamId::as_str);
    let took = end.took.as_millis();
    let (reserved, used) = end.tokens;
    let timing = &end.timing;
    let (body, pause) = (timing.body.as_millis(), timing.longest_pause.as_millis());
    let [sent, head, first] = [timing.sent, timing.head, timing.first].map(millis_or_none);
    log::info!(
        target: REQUESTS,
        "ended id={id} outcome={outcome} status={status} attempts={attempts} upstream={upstream} \
         took_ms={took} body_ms={body} sent_ms={sent} head_ms={head} first_ms={first} \
         pause_ms={pause} events={events} reserved={reserved} used={used}"
    );
}
