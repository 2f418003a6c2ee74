//! Opens the connection of a witness, and sends health checks on it.

use std::sync::Arc;
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::UpstreamId;
use http_body_util::{BodyExt, Limited};
use hyper::Version;
use hyper::header::CONNECTION;
use hyper::http::response;

use super::{OVERLAP, OVERLAP_AFTER_CLOSE, Opened, Phase, Question, State, Witness, Witnesses};
use crate::clock::Clock;
use crate::gateway::attempt::closes_connection;
use crate::gateway::connections::{ConnectError, Connection, keep_alive_timeout};

/// The delays before a connection that could not be opened, or was closed, is opened again: the
/// first one, the maximum, and the factor in between.
const FIRST_DELAY: Duration = Duration::from_millis(10);
const MAX_DELAY: Duration = Duration::from_secs(4);
const DELAY_FACTOR: u32 = 4;
/// The minimum time between two health checks, and after a rejected one.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
const REJECTED_INTERVAL: Duration = Duration::from_millis(250);
/// How long an upstream is expected to keep an idle connection if it announces no timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// The minimum time after which an idle connection in use is checked, so that the upstream keeps it.
const MIN_REFRESH: Duration = Duration::from_millis(250);
/// How long the witness of an upstream is kept after its last use.
const UNUSED_TIME: Duration = Duration::from_secs(60);
/// The maximum size of the body of a health check's response, in bytes.
const MAX_HEALTH_BYTES: usize = 64 * 1024;

/// Why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    /// The upstream announced that it would close the connection.
    Announced,
    /// The upstream closed it without notice.
    Closed,
}

/// The result of a health check.
enum CheckResult {
    /// It was answered. The upstream keeps the connection for the given time from now on.
    Answered {
        keep_alive: Duration,
        is_rejected: bool,
    },
    Ended(ConnectionEnd),
}

/// What is known of how an upstream treats connections.
struct Habits {
    /// The idle time after which a connection in use is checked.
    refresh: Duration,
    /// Whether it closed the last connection after an answer.
    closes_after_answer: bool,
}

/// Opens the connection of a witness, and sends health checks on it.
pub(super) struct Keeper {
    pub(super) witnesses: Arc<Witnesses>,
    pub(super) witness: Arc<Witness>,
    pub(super) id: UpstreamId,
    pub(super) question: Question,
}

impl Keeper {
    /// Keeps the witness until it cannot be opened, or has had no users for a while.
    pub(super) async fn run(self) {
        // Without a health check nothing can be proved.
        if self.question.request(self.witness.address).is_some() {
            tokio::select! {
                () = self.keep() => {}
                () = self.wait_until_unused() => {}
            }
        }
        self.witness.state.send_modify(|state| state.phase = Phase::Closed);
        self.witnesses.remove(&self.id, &self.witness);
    }

    /// Waits until the witness has had no users for a while.
    async fn wait_until_unused(&self) {
        let mut state = self.witness.state.subscribe();
        loop {
            // The sender lives as long as this task.
            let _ = state.wait_for(|state| state.users == 0).await;
            tokio::select! {
                () = self.clock().sleep(UNUSED_TIME) => {
                    if self.witness.close_unused() {
                        return;
                    }
                }
                _ = state.wait_for(|state| state.users > 0) => {}
            }
        }
    }

    /// Opens connections, one after the other while there are users, until the address refuses one.
    async fn keep(&self) {
        // A connection that was opened before the request was sent proves most.
        let mut idle = self.witnesses.connections.take_idle(&self.id, self.witness.address);
        let mut delay = FIRST_DELAY;
        let mut habits = Habits { refresh: DEFAULT_KEEP_ALIVE / 2, closes_after_answer: false };
        loop {
            let started = self.clock().now();
            let end = match idle.take() {
                Some(connection) => self.use_connection(connection, &mut habits).await,
                None => match self.witnesses.connections.open(self.witness.address).await {
                    Ok(connection) => self.use_connection(connection, &mut habits).await,
                    Err(ConnectError::Refused) => return,
                    Err(ConnectError::Failed) => ConnectionEnd::Closed,
                },
            };
            self.record_end(end);
            if end == ConnectionEnd::Announced && !self.question.is_asked_early() {
                // The answer that asked last gives the witness up meanwhile.
                self.clock().sleep(CHECK_INTERVAL).await;
            }
            let has_lasted = self.clock().now().since(started) >= OVERLAP_AFTER_CLOSE;
            if end != ConnectionEnd::Closed || has_lasted {
                delay = FIRST_DELAY;
            }
            self.wait_to_reopen(delay).await;
            delay = delay.saturating_mul(DELAY_FACTOR).min(MAX_DELAY);
        }
    }

    fn record_end(&self, end: ConnectionEnd) {
        let now = self.clock().now();
        self.witness.state.send_modify(|state| {
            state.set_closed();
            if end == ConnectionEnd::Closed {
                state.closed_at = Some(now);
            }
        });
    }

    /// Waits until the connection is needed, and for a delay that ends if the witness is asked.
    async fn wait_to_reopen(&self, delay: Duration) {
        let mut state = self.witness.state.subscribe();
        if state.borrow().users == 0 {
            // The sender lives as long as this task.
            let _ = state.wait_for(|state| state.users > 0).await;
            return;
        }
        let questions = state.borrow().questions;
        if !self.question.is_asked_early() {
            // A server that serves one connection at a time would wait for the next question.
            let is_needed =
                |state: &State| state.has_open_responses() || state.questions > questions;
            // The sender lives as long as this task.
            let _ = state.wait_for(is_needed).await;
        }
        let is_asked = state.wait_for(|state| state.questions > questions);
        // The delay is over, or it no longer matters.
        let _ = self.clock().timeout_at(self.clock().now().after(delay), is_asked).await;
    }

    /// Sends health checks on a connection whenever one is wanted, or to keep it open.
    async fn use_connection(
        &self,
        mut connection: Connection,
        habits: &mut Habits,
    ) -> ConnectionEnd {
        let opened_at = connection.opened_at;
        self.witness.state.send_modify(|state| {
            state.phase = Phase::Open;
            state.opened = Some(Opened { at: opened_at, is_repeated: state.was_closed });
        });
        self.witness.sample_after(self.clock(), OVERLAP);
        let mut idle_since = opened_at;
        let mut is_rejecting = false;
        loop {
            // An upstream that rejects checks may be overloaded, and one that closes its connections
            // after them costs a connection each.
            let is_spared = is_rejecting || habits.closes_after_answer;
            let judge_refresh =
                if is_spared { habits.refresh } else { MIN_REFRESH.min(habits.refresh) };
            tokio::select! {
                biased;
                () = connection.wait_until_closed() => {
                    let idle = self.clock().now().since(idle_since);
                    if idle / 2 >= MIN_REFRESH {
                        habits.refresh = habits.refresh.min(idle / 2);
                    }
                    return ConnectionEnd::Closed;
                }
                () = self.wait_until_due(idle_since.after(habits.refresh)) => {}
                () = self.wait_until_judged(idle_since.after(judge_refresh)) => {}
            }
            let spare = self.open_spare(habits).await;
            match self.check(&mut connection, spare.is_some()).await {
                CheckResult::Ended(ConnectionEnd::Announced) => {
                    habits.closes_after_answer = true;
                    let Some(next) = spare else {
                        return ConnectionEnd::Announced;
                    };
                    connection = next;
                    idle_since = self.clock().now();
                    self.clock().sleep(CHECK_INTERVAL).await;
                }
                CheckResult::Ended(end) => return end,
                CheckResult::Answered { keep_alive, is_rejected } => {
                    habits.closes_after_answer = false;
                    habits.refresh = habits.refresh.min(keep_alive / 2).max(MIN_REFRESH);
                    idle_since = self.clock().now();
                    is_rejecting = is_rejected;
                    let interval = if is_rejected { REJECTED_INTERVAL } else { CHECK_INTERVAL };
                    self.clock().sleep(interval).await;
                }
            }
        }
    }

    /// Opens the connection that replaces one that the upstream will close after its answer. Both are
    /// open when it answers, so that they lead to the same process.
    async fn open_spare(&self, habits: &Habits) -> Option<Connection> {
        if !habits.closes_after_answer || !self.question.is_asked_early() {
            return None;
        }
        self.witnesses.connections.open(self.witness.address).await.ok()
    }

    /// Waits until a health check is wanted, or due to keep an idle connection that is in use.
    async fn wait_until_due(&self, deadline: Time) {
        let mut state = self.witness.state.subscribe();
        let wanted = state.wait_for(State::wants_check);
        let is_refreshed = self.question.is_asked_early();
        if self.clock().timeout_at(deadline, wanted).await.is_err() {
            // The sender lives as long as this task.
            let _ = state
                .wait_for(|state| (is_refreshed && state.users > 0) || state.wants_check())
                .await;
        }
    }

    /// Waits until a deadline has passed and the end of a response is being judged. If the upstream
    /// closed the idle connection meanwhile, nothing would be proved.
    async fn wait_until_judged(&self, deadline: Time) {
        if !self.question.is_asked_early() {
            return std::future::pending().await;
        }
        let mut state = self.witness.state.subscribe();
        self.clock().sleep_until(deadline).await;
        // The sender lives as long as this task.
        let _ = state.wait_for(|state| state.checked_ends > 0).await;
    }

    /// Sends a health check. If there is a spare connection, the witness stays open.
    async fn check(&self, connection: &mut Connection, has_spare: bool) -> CheckResult {
        let Some(request) = self.question.request(self.witness.address) else {
            return CheckResult::Ended(ConnectionEnd::Closed);
        };
        let mut number = 0;
        self.witness.state.send_modify(|state| {
            state.sent += 1;
            state.wanted = state.wanted.max(state.sent);
            number = state.sent;
        });
        let Ok(response) = connection.send(request).await else {
            return CheckResult::Ended(ConnectionEnd::Closed);
        };
        let (head, body) = response.into_parts();
        let instance = self.question.instance(&self.id, &head);
        let closes = announces_close(&head);
        self.witness.state.send_modify(|state| {
            state.answered = number;
            state.instance = instance;
            state.answered_on = state.opened;
            if closes && !has_spare {
                state.set_closed();
            }
        });
        let is_read = Limited::new(body, MAX_HEALTH_BYTES).collect().await.is_ok();
        if !is_read || closes {
            return CheckResult::Ended(ConnectionEnd::Announced);
        }
        let keep_alive = keep_alive_timeout(&head.headers).unwrap_or(DEFAULT_KEEP_ALIVE);
        CheckResult::Answered { keep_alive, is_rejected: !head.status.is_success() }
    }

    fn clock(&self) -> &Arc<Clock> {
        &self.witnesses.clock
    }
}

/// Returns whether an upstream closes the connection after a response. A server of HTTP/1.0 does so
/// unless it says otherwise.
///
/// Specification: RFC 9112, section 9.3.
fn announces_close(head: &response::Parts) -> bool {
    let is_kept = head.version != Version::HTTP_10 || {
        let values = head.headers.get_all(CONNECTION);
        values.iter().any(|value| {
            value.to_str().is_ok_and(|value| value.to_ascii_lowercase().contains("keep-alive"))
        })
    };
    !is_kept || closes_connection(&head.headers)
}
