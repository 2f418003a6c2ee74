//! One try of a request at one upstream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::UpstreamId;
use badgerfield_core::routing::Route;
use badgerfield_core::upstream_table::{AttemptOutcome, ChosenUpstream};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderName;
use hyper::http::{request, response};
use hyper::{HeaderMap, Request, StatusCode, header};

use crate::adapter::{ResponseKind, UpstreamHeaders};
use crate::driver::Driver;
use crate::gateway::connections::{Connection, SendError, named_keep};
use crate::gateway::state::Gateway;
use crate::gateway::trial::Trial;

/// The headers that concern one connection only, by RFC 9110, section 7.6.1.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
    header::CONTENT_LENGTH,
];

/// Removes the headers that concern one connection only.
pub(crate) fn strip(head: &mut HeaderMap) {
    let named: Vec<HeaderName> = head
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        head.remove(name);
    }
    for name in &HOP_BY_HOP {
        head.remove(name);
    }
    head.remove("keep-alive");
    head.remove("proxy-connection");
}

/// How a try ends whose request was blocked meanwhile: the upstream is spared what waits there.
pub(crate) const BLOCKED: &str = "blocked";
/// How a try ends whose connection broke.
pub(crate) const BROKEN: &str = "broken";
/// How a try ends whose connection closed in good order before the answer was whole.
pub(crate) const CUT: &str = "cut";
/// How a try ends whose upstream said nothing for too long.
pub(crate) const SILENT: &str = "silent";

/// A request as the caller sent it.
#[derive(Debug)]
pub(crate) struct Original {
    pub(crate) id: String,
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
}

/// How a try ended, up to the head of an answer.
#[derive(Debug)]
pub(crate) enum AttemptEnd {
    /// Nothing was sent, for this reason.
    NotSent(&'static str),
    /// The upstream did not run the request.
    NotRun(StatusCode),
    /// The request may have run, and no answer to it came.
    Broken(&'static str),
    /// The head of an answer came.
    Answered(Box<Answered>),
}

/// An answer whose head has come.
#[derive(Debug)]
pub(crate) struct Answered {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    /// Whether the protocol tells where the body ends; otherwise its connection's end does.
    pub(crate) framed: bool,
    pub(crate) hold: UpstreamHold,
}

/// An upstream that works for a request; tells the table how it went when dropped.
#[derive(Debug)]
pub(crate) struct UpstreamHold {
    driver: Arc<Driver>,
    gateway: Arc<Gateway>,
    pub(crate) id: UpstreamId,
    pub(crate) address: SocketAddr,
    /// Stands for its process.
    process: u32,
    /// When the request was handed to it.
    sent: Time,
    health: AttemptOutcome,
    connection: Option<Connection>,
    keep: Option<Duration>,
    closes: bool,
    /// How long the first event has been waited for; nothing once it has come, or where that
    /// tells nothing.
    wait: Option<Wait>,
    /// What is told of the answer while its service is rolled out.
    trial: Option<Trial>,
}

/// A wait for the first event of an engine's answer.
#[derive(Debug, Clone, Copy)]
struct Wait {
    since: Time,
    /// The prompt tokens that the engine is expected to read first.
    unread: u64,
}

impl UpstreamHold {
    /// Makes a hold of an upstream; `unread` is what an engine is expected to read.
    pub(crate) fn new(
        driver: &Arc<Driver>,
        gateway: &Arc<Gateway>,
        chosen: &ChosenUpstream,
        unread: Option<u64>,
        route: &Arc<Route>,
    ) -> Self {
        let now = driver.now();
        Self {
            driver: Arc::clone(driver),
            gateway: Arc::clone(gateway),
            id: chosen.id.clone(),
            address: chosen.address,
            process: chosen.process,
            sent: now,
            health: AttemptOutcome::Unknown,
            connection: None,
            keep: None,
            closes: false,
            wait: unread.map(|unread| Wait { since: now, unread }),
            trial: gateway
                .rolls_out()
                .then(|| Trial::new(now, &chosen.id, route, unread.unwrap_or(0))),
        }
    }

    /// Notes that an event of the answer has come; the first one tells how long it took.
    pub(crate) fn note_first_event(&mut self) {
        if let Some(wait) = self.wait.take() {
            self.tell_wait(wait);
        }
        self.tell_trial(Trial::note_answer);
    }

    /// Notes that the answer does not come, or broke off.
    pub(crate) fn note_failed(&mut self) {
        self.note(AttemptOutcome::Failed);
        self.tell_trial(Trial::note_failed);
    }

    /// Notes that nothing of the request was run, so that it tells nothing of a version.
    pub(crate) fn note_unrun(&mut self, health: AttemptOutcome) {
        self.wait = None;
        self.trial = None;
        self.note(health);
    }

    /// Tells what is known of the answer now; of a bad one of the target the process speaks at
    /// once.
    fn tell_trial(&mut self, note: fn(&mut Trial, &Gateway) -> bool) {
        let Some(trial) = &mut self.trial else {
            return;
        };
        if note(trial, &self.gateway) {
            self.driver.tell_bad_answer();
        }
    }

    fn tell_wait(&self, wait: Wait) {
        let now = self.driver.now();
        if !self.gateway.clock.stood_still_since(wait.since) {
            self.gateway.replicas().record_first_event_wait(
                now,
                &self.id,
                now.since(wait.since),
                wait.unread,
            );
        }
    }

    /// Finds out whether the upstream was evacuated, has begun to leave or has named a limit while
    /// a connection to it was opened.
    fn check_usable(&self) -> Result<(), Unsent> {
        let now = self.driver.now();
        let mut replicas = self.gateway.replicas();
        if !replicas.is_usable(now, &self.id) {
            return Err(Unsent::NotSent);
        }
        if !replicas.can_still_send(now, &self.id, self.sent) {
            return Err(Unsent::NotAdmitted);
        }
        Ok(())
    }

    /// Notes how the upstream is doing.
    pub(crate) fn note(&mut self, health: AttemptOutcome) {
        self.health = health;
    }

    /// Ends the work well: the whole answer has come, and the connection may be kept.
    pub(crate) fn finish(mut self) {
        self.health = AttemptOutcome::Answered;
        self.note_first_event();
        let Some(connection) = self.connection.take() else {
            return;
        };
        // A connection to a process that has ended must not serve for the one that has its id now.
        let is_current = self.gateway.replicas().is_current_process(&self.id, self.process);
        if is_current && !self.closes {
            self.gateway.connections.keep(self.id.clone(), connection, self.keep);
        }
    }
}

impl Drop for UpstreamHold {
    fn drop(&mut self) {
        // Whoever gave up has waited at least so long.
        if let Some(wait) = self.wait.take() {
            self.tell_wait(wait);
        }
        self.tell_trial(Trial::note_end);
        // What a process that stood still takes for silence may be its own.
        let is_unsure = self.health == AttemptOutcome::Failed
            && self.gateway.clock.stood_still_since(self.sent);
        let health = if is_unsure { AttemptOutcome::Unknown } else { self.health };
        let now = self.driver.now();
        self.gateway.replicas().end_request(now, &self.id, health);
    }
}

/// Sends a request to an upstream and waits for the head of its answer, until it is given up or
/// blocked.
pub(crate) async fn attempt(
    mut hold: UpstreamHold,
    original: &Original,
    terms: &UpstreamHeaders<'_>,
    given_up: impl Future<Output = ()>,
    blocked: impl Future<Output = ()>,
) -> AttemptEnd {
    let gateway = Arc::clone(&hold.gateway);
    let request = call_of(&gateway, original, terms);
    let sent = tokio::select! {
        sent = send(&hold, request) => sent,
        () = given_up => {
            hold.note_failed();
            return AttemptEnd::Broken(SILENT);
        }
        () = blocked => {
            hold.note_unrun(AttemptOutcome::Unknown);
            return AttemptEnd::Broken(BLOCKED);
        }
    };
    let (mut response, connection) = match sent {
        Ok(found) => found,
        Err(Unsent::NotSent) => {
            hold.note_unrun(AttemptOutcome::Failed);
            return AttemptEnd::NotSent("unreachable");
        }
        Err(Unsent::NotAdmitted) => {
            hold.note_unrun(AttemptOutcome::Unknown);
            return AttemptEnd::NotSent("not_admitted");
        }
        Err(Unsent::Broken) => {
            hold.wait = None;
            hold.note_failed();
            return AttemptEnd::Broken(BROKEN);
        }
    };
    let head = (response.status(), response.headers());
    let dialect = &gateway.adapter.dialect;
    let verdict = dialect.verdict(&original.id, head.0, head.1);
    if verdict != ResponseKind::Foreign {
        let asked = (&hold.id, hold.process);
        hold.driver.hear_upstream(&gateway, &original.id, asked, head);
    }
    match verdict {
        ResponseKind::NotRun => {
            hold.note_unrun(AttemptOutcome::Full);
            return AttemptEnd::NotRun(response.status());
        }
        ResponseKind::Foreign => {
            hold.wait = None;
            hold.note_failed();
            return AttemptEnd::Broken("foreign");
        }
        ResponseKind::Answer => {}
    }
    hold.keep = named_keep(response.headers());
    hold.closes = closes(response.headers());
    hold.connection = Some(connection);
    let framed = is_framed(response.headers());
    strip(response.headers_mut());
    let (head, body) = response.into_parts();
    AttemptEnd::Answered(Box::new(Answered { head, body, framed, hold }))
}

/// Why there is no head of an answer.
enum Unsent {
    NotSent,
    /// The upstream takes no more at present.
    NotAdmitted,
    Broken,
}

async fn send(
    hold: &UpstreamHold,
    request: Request<Full<Bytes>>,
) -> Result<(hyper::Response<Incoming>, Connection), Unsent> {
    let connections = &hold.gateway.connections;
    let address = hold.address;
    let mut connection = connections.take(&hold.id, address).await.map_err(|_| Unsent::NotSent)?;
    hold.check_usable()?;
    let request = match connection.send(request).await {
        Ok(response) => return Ok((response, connection)),
        Err(SendError::Broken) => return Err(Unsent::Broken),
        Err(SendError::NotSent(request)) if connection.reused => request,
        Err(SendError::NotSent(_)) => return Err(Unsent::NotSent),
    };
    // The kept connection was closed before anything was sent on it.
    let mut connection = connections.open(address).await.map_err(|_| Unsent::NotSent)?;
    hold.check_usable()?;
    match connection.send(*request).await {
        Ok(response) => Ok((response, connection)),
        Err(SendError::Broken) => Err(Unsent::Broken),
        Err(SendError::NotSent(_)) => Err(Unsent::NotSent),
    }
}

fn call_of(
    gateway: &Gateway,
    original: &Original,
    terms: &UpstreamHeaders<'_>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(original.body.clone()));
    *request.method_mut() = original.head.method.clone();
    *request.uri_mut() = original.head.uri.clone();
    *request.headers_mut() = original.head.headers.clone();
    gateway.adapter.dialect.write_headers(request.headers_mut(), terms);
    request
}

/// Tells whether a head says where its body ends.
fn is_framed(head: &HeaderMap) -> bool {
    head.contains_key(header::CONTENT_LENGTH) || head.contains_key(header::TRANSFER_ENCODING)
}

fn closes(head: &HeaderMap) -> bool {
    let values = head.get_all(header::CONNECTION);
    values.iter().any(|v| v.to_str().is_ok_and(|v| v.to_ascii_lowercase().contains("close")))
}
