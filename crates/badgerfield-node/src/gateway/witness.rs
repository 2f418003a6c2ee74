//! Connections that witness whether the process of an upstream lives on.
//!
//! The operating system closes all connections of a process that ends. If a connection was open
//! before some time, the response to a request that is sent on it after that time proves that the
//! process has outlived that time. A new connection proves nothing of the kind: it reaches the
//! process that has the address now.
//!
//! All responses without a length of an upstream share one witness at this VM, which is opened when
//! the first of them begins. Responses that end while a health check is under way share the next
//! one.

mod keeper;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::ids::UpstreamId;
use bytes::Bytes;
use futures::future;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use hyper::http::response;
use tokio::sync::watch;

use self::keeper::Keeper;
use crate::adapter::Protocol;
use crate::clock::Clock;
use crate::gateway::connections::{Connection, Connections};
use crate::gateway::upstream_stream::{OpenTime, OpenTimes};
use crate::sync::lock;

/// How long an upstream may take to answer a health check. An upstream that has no place for the
/// check must keep the connection open for that long instead.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a process must outlive the end of a response. One that ends may close its responses some
/// time before it is gone.
const OUTLIVE_TIME: Duration = Duration::from_millis(750);
/// How long an upstream that has outlived the end of a response may take to answer once more.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(200);
/// How much later than another response ends one may end that shares the probe of the address.
const PROBE_SHARING_TIME: Duration = Duration::from_millis(50);
/// How long a response must stay open after its witness was opened. The connections of a process that
/// ends are not all seen to close at the same time.
const OVERLAP: Duration = Duration::from_millis(20);
/// How long after that data of the response must arrive if a connection of the witness was closed, as
/// by a process that ends.
const OVERLAP_AFTER_CLOSE: Duration = Duration::from_millis(250);
/// The time by which the end of an overlap is checked later than it is due.
const OVERLAP_MARGIN: Duration = Duration::from_millis(2);
/// How long a request waits for a known witness to be open.
const OPEN_TIMEOUT: Duration = Duration::from_millis(50);
/// How long a request waits until a witness that is opened for it is open: at an upstream that is not
/// overloaded, a new connection and a check on the one before.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(250);

/// What a witness asks an upstream. Any answer shows that its process lives on.
#[derive(Debug, Clone)]
pub(crate) enum Question {
    /// Its health check. The protocol defines how the answer names the process.
    Health {
        /// The path of the health check.
        path: String,
        /// The formats of headers.
        protocol: Arc<dyn Protocol>,
    },
    /// `OPTIONS *`, which any server may be asked and which names no process.
    ///
    /// Specification: RFC 9110, section 9.3.7.
    Options,
}

impl Question {
    /// Returns the request to an address; `None` if the path is invalid.
    fn request(&self, address: SocketAddr) -> Option<Request<Full<Bytes>>> {
        let request = match self {
            Self::Health { path, .. } => Request::get(path),
            Self::Options => Request::options("*"),
        };
        request.header(HOST, address.to_string()).body(Full::new(Bytes::new())).ok()
    }

    /// Returns whether an idle connection is checked as soon as it is open, and kept open by checks.
    /// A server that serves one connection at a time waits for a request on the one that it has
    /// accepted, and a check of one that closes its connections ends the witness.
    fn is_asked_early(&self) -> bool {
        matches!(self, Self::Health { .. })
    }

    /// Returns the process that the head of an answer names. `id` is that of the upstream.
    fn instance(&self, id: &UpstreamId, head: &response::Parts) -> Instance {
        let named = match self {
            Self::Health { protocol, .. } => protocol.parse_instance(&head.headers),
            Self::Options => None,
        };
        match named {
            Some(named) if named == id.as_str() => Instance::Same,
            Some(_) => Instance::Other,
            None => Instance::Unnamed,
        }
    }
}

/// The process that has answered a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Instance {
    /// It has the id of the upstream.
    Same,
    /// It has another id.
    Other,
    /// It has not named itself.
    Unnamed,
}

/// What a witness has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Testimony {
    /// A health check that was sent after the question has been answered.
    Answered(Instance),
    /// The connection has stayed open without an answer.
    Open,
    /// The connection is closed, or could not be opened.
    Closed,
}

/// How a witness finds out whether a process outlives the end of a response by a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SecondQuestion {
    /// Whether its connection is checked if it is idle meanwhile, so that the upstream keeps it.
    pub(crate) keeps_open: bool,
    /// Whether a connection that has stayed open is enough, since a rejected check may end the upstream.
    pub(crate) spares_checks: bool,
    /// Whether the address of the upstream is asked for another connection.
    pub(crate) probes: bool,
}

/// What a witness has shown some time after the end of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Survival {
    pub(crate) testimony: Testimony,
    pub(crate) link: Link,
    /// Whether the connection of the witness has been the same since the end of the response.
    pub(crate) is_kept: bool,
    /// Whether the address refuses new connections.
    pub(crate) is_refused: bool,
    /// How long after the end of the response the process was asked.
    pub(crate) span: Duration,
}

impl Survival {
    /// Returns whether a process that had outlived the response still runs.
    ///
    /// On another connection its name tells, or `allows_unnamed`: the upstream announced that it would
    /// close the one before, and its answers never name a process.
    pub(crate) fn is_proved(&self, allows_unnamed: bool) -> bool {
        let is_linked = self.is_kept || self.link == Link::SameProcess;
        match self.testimony {
            Testimony::Answered(Instance::Other) | Testimony::Closed => false,
            Testimony::Answered(Instance::Same) => is_linked || self.link == Link::Unknown,
            Testimony::Answered(Instance::Unnamed) => {
                is_linked || (allows_unnamed && self.link == Link::Unknown)
            }
            Testimony::Open => self.is_kept,
        }
    }
}

/// Whether the connection of a witness is known to lead to the process that sends a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Link {
    /// Both connections were open at the same time.
    SameProcess,
    /// Not known.
    Unknown,
    /// Not known, and the address has closed connections without notice meanwhile.
    Doubtful,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Opening,
    Open,
    Closed,
}

#[derive(Debug, Clone, Copy)]
struct State {
    phase: Phase,
    /// The connection that is open.
    opened: Option<Opened>,
    /// Whether a connection was closed.
    was_closed: bool,
    /// When the upstream last closed a connection without notice.
    closed_at: Option<Time>,
    /// The number of requests and responses that use the witness.
    users: usize,
    /// The number of these whose response has ended.
    ended_users: usize,
    /// The number of ends that are being judged and for which an idle connection is checked.
    checked_ends: usize,
    /// How often the witness was asked.
    questions: u64,
    /// The numbers of the last health checks that were wanted, sent and answered.
    wanted: u64,
    sent: u64,
    answered: u64,
    /// The process that answered last.
    instance: Instance,
    /// The connection on which it answered.
    answered_on: Option<Opened>,
}

/// When a connection was opened, and whether an earlier one had been closed.
#[derive(Debug, Clone, Copy)]
struct Opened {
    at: Time,
    is_repeated: bool,
}

impl State {
    const NEW: Self = Self {
        phase: Phase::Opening,
        opened: None,
        was_closed: false,
        closed_at: None,
        users: 0,
        ended_users: 0,
        checked_ends: 0,
        questions: 0,
        wanted: 0,
        sent: 0,
        answered: 0,
        instance: Instance::Unnamed,
        answered_on: None,
    };

    /// Returns whether the connection is closed for good, or open with all checks answered, so that
    /// it stays open for now.
    fn is_settled(&self) -> bool {
        let is_idle = self.phase == Phase::Open && self.answered == self.sent;
        self.phase == Phase::Closed || is_idle
    }

    fn wants_check(&self) -> bool {
        self.wanted > self.answered
    }

    /// Returns whether a response that uses the witness has not ended.
    fn has_open_responses(&self) -> bool {
        self.users > self.ended_users
    }

    /// Returns how a connection is related to a response whose request was sent at one time and
    /// which was certainly open at others.
    ///
    /// After a close, only data shows anything: the process may have ended with the earlier
    /// connection, and the path may hold back the end of the response.
    fn link(&self, opened: Option<Opened>, sent_at: Time, last: OpenTimes) -> Link {
        let outlasted = |time: Time| last.data.is_some_and(|at| at >= time);
        if let Some(opened) = opened {
            let is_outlasted = if opened.is_repeated {
                outlasted(opened.at.after(OVERLAP_AFTER_CLOSE))
            } else {
                last.open.is_some_and(|at| at >= opened.at.after(OVERLAP))
            };
            if opened.at <= sent_at || is_outlasted {
                return Link::SameProcess;
            }
        }
        let is_doubtful =
            self.closed_at.is_some_and(|at| !outlasted(at.after(OVERLAP_AFTER_CLOSE)));
        if is_doubtful { Link::Doubtful } else { Link::Unknown }
    }

    /// Returns when the connection that is open was opened; `None` if none is.
    fn connection(&self) -> Option<Time> {
        self.opened.map(|opened| opened.at).filter(|_| self.phase == Phase::Open)
    }

    fn set_closed(&mut self) {
        self.phase = Phase::Opening;
        self.opened = None;
        self.was_closed = true;
    }
}

/// A connection that is kept to find out whether the process of an upstream lives on.
#[derive(Debug)]
struct Witness {
    address: SocketAddr,
    state: watch::Sender<State>,
    /// The connections of the responses that use the witness.
    responses: Mutex<Vec<Weak<OpenTime>>>,
    /// When the address was last probed, and whether it refused the connection.
    probe: tokio::sync::Mutex<Option<(Time, bool)>>,
}

impl Witness {
    /// Adds a user unless the witness is closed. Returns whether it was added.
    fn add_user(&self) -> bool {
        self.state.send_if_modified(|state| {
            let is_usable = state.phase != Phase::Closed;
            state.users += usize::from(is_usable);
            is_usable
        })
    }

    /// Closes the witness if it has no users. Returns whether it is closed.
    fn close_unused(&self) -> bool {
        self.state.send_if_modified(|state| {
            if state.users > 0 {
                return false;
            }
            state.phase = Phase::Closed;
            true
        })
    }

    /// Checks after some time which responses are still open.
    fn sample_after(self: &Arc<Self>, clock: &Arc<Clock>, span: Duration) {
        let (witness, clock) = (Arc::clone(self), Arc::clone(clock));
        tokio::spawn(async move {
            clock.sleep(span + OVERLAP_MARGIN).await;
            let mut responses = lock(&witness.responses).clone();
            for open_time in responses.drain(..).filter_map(|response| response.upgrade()) {
                open_time.sample();
            }
        });
    }
}

/// Keeps a witness open.
#[derive(Debug)]
pub(crate) struct WitnessGuard {
    witness: Arc<Witness>,
    clock: Arc<Clock>,
    connections: Arc<Connections>,
}

impl Drop for WitnessGuard {
    fn drop(&mut self) {
        self.witness.state.send_modify(|state| state.users = state.users.saturating_sub(1));
    }
}

impl WitnessGuard {
    /// Waits until the witness is open and no check is under way, so that it serves a request that is
    /// sent then. Gives up after a while.
    pub(crate) async fn settle(&self) {
        let mut state = self.witness.state.subscribe();
        let deadline = self.clock.now().after(SETTLE_TIMEOUT);
        // Without an open witness the end of the response may not be proved.
        let _ = self.clock.timeout_at(deadline, state.wait_for(State::is_settled)).await;
    }

    /// Counts a response as ended until the result is dropped. Meanwhile an idle connection may be
    /// checked, so that the upstream keeps it.
    fn count_ended(&self, may_check: bool) -> EndedUser<'_> {
        self.witness.state.send_modify(|state| {
            state.ended_users += 1;
            state.checked_ends += usize::from(may_check);
        });
        EndedUser { witness: &self.witness, may_check }
    }

    /// Uses the witness for the response that has begun on a connection.
    pub(crate) fn watch(self, connection: &Connection) -> ResponseWitness {
        let open_time = Arc::clone(&connection.open_time);
        {
            let mut responses = lock(&self.witness.responses);
            responses.retain(|response| response.strong_count() > 0);
            responses.push(Arc::downgrade(&open_time));
        }
        open_time.watch();
        self.witness.sample_after(&self.clock, OVERLAP);
        ResponseWitness { user: self, open_time }
    }
}

/// A response that has ended and still uses its witness.
struct EndedUser<'a> {
    witness: &'a Witness,
    may_check: bool,
}

impl Drop for EndedUser<'_> {
    fn drop(&mut self) {
        let checked = usize::from(self.may_check);
        self.witness.state.send_modify(|state| {
            state.ended_users = state.ended_users.saturating_sub(1);
            state.checked_ends = state.checked_ends.saturating_sub(checked);
        });
    }
}

/// The use of a witness by one response without a length.
#[derive(Debug)]
pub(crate) struct ResponseWitness {
    user: WitnessGuard,
    open_time: Arc<OpenTime>,
}

impl ResponseWitness {
    /// Returns whether this process has been stalled since the request was sent.
    pub(crate) fn has_stalled(&self) -> bool {
        self.open_time.has_stalled()
    }

    /// Returns whether the connection of the witness leads to the process that sent the response.
    pub(crate) fn link(&self) -> Link {
        let state = *self.user.witness.state.borrow();
        self.link_to(&state, state.opened)
    }

    fn link_to(&self, state: &State, opened: Option<Opened>) -> Link {
        state.link(opened, self.open_time.sent_at(), self.open_time.last())
    }

    /// Finds out whether the process lives on now that the response has ended.
    pub(crate) async fn ask(&self) -> (Testimony, Link) {
        self.ask_until(self.user.clock.now().after(HEALTH_TIMEOUT)).await
    }

    /// Finds out whether a process that lived on after the response had ended still does some time
    /// later, `deadline` at the latest.
    pub(crate) async fn ask_later(
        &self,
        ended_at: Time,
        deadline: Time,
        question: SecondQuestion,
    ) -> Survival {
        let clock = &self.user.clock;
        let due = ended_at.after(OUTLIVE_TIME).min(deadline);
        let before = self.user.witness.state.borrow().connection();
        {
            let _ended = self.user.count_ended(question.keeps_open);
            self.wait_for_close(due).await;
        }
        let asked_at = clock.now();
        let limit = ended_at.after(HEALTH_TIMEOUT).max(asked_at.after(MIN_ANSWER_TIME));
        let is_kept = || {
            let connection = self.user.witness.state.borrow().connection();
            connection.is_some() && connection == before
        };
        let asked = async {
            if question.spares_checks && is_kept() {
                return (Testimony::Open, self.link());
            }
            self.ask_until(limit.min(deadline.max(asked_at))).await
        };
        let probed = async { question.probes && self.is_refused(asked_at).await };
        let ((testimony, link), is_refused) = future::join(asked, probed).await;
        let is_kept = is_kept();
        Survival { testimony, link, is_kept, is_refused, span: asked_at.since(ended_at) }
    }

    /// Waits until a connection of the witness is closed without notice, or a deadline passes.
    async fn wait_for_close(&self, deadline: Time) {
        let mut state = self.user.witness.state.subscribe();
        let closed_at = state.borrow().closed_at;
        let closed =
            state.wait_for(|state| state.phase == Phase::Closed || state.closed_at != closed_at);
        // Both ends of the wait are followed by the same question.
        let _ = self.user.clock.timeout_at(deadline, closed).await;
    }

    /// Returns whether the address of the upstream refuses connections. Responses that end together
    /// share the answer.
    async fn is_refused(&self, now: Time) -> bool {
        let WitnessGuard { witness, connections, clock } = &self.user;
        let mut probe = witness.probe.lock().await;
        if let Some((at, is_refused)) = *probe
            && at.after(PROBE_SHARING_TIME) >= now
        {
            return is_refused;
        }
        let at = clock.now();
        let is_refused = connections.is_refused(witness.address).await;
        *probe = Some((at, is_refused));
        is_refused
    }

    async fn ask_until(&self, deadline: Time) -> (Testimony, Link) {
        let mut state = self.user.witness.state.subscribe();
        let mut number = 0;
        self.user.witness.state.send_modify(|state| {
            number = state.sent + 1;
            state.questions += 1;
            state.wanted = state.wanted.max(number);
        });
        let testimony = self.wait_for_answer(&mut state, number, deadline).await;
        let last = *state.borrow();
        let opened = match testimony {
            Testimony::Answered(_) => last.answered_on,
            Testimony::Open | Testimony::Closed => last.opened,
        };
        (testimony, self.link_to(&last, opened))
    }

    /// Waits until a health check is answered, the witness is closed, or the time is over.
    async fn wait_for_answer(
        &self,
        state: &mut watch::Receiver<State>,
        number: u64,
        mut deadline: Time,
    ) -> Testimony {
        let clock = &self.user.clock;
        let span = deadline.since(clock.now());
        loop {
            let started = clock.now();
            let ended =
                state.wait_for(|state| state.answered >= number || state.phase == Phase::Closed);
            let is_late = clock.timeout_at(deadline, ended).await.is_err();
            // The end of the connection may not have arrived while this process was stalled.
            if is_late && clock.has_stalled_since(started) {
                deadline = clock.now().after(span);
                continue;
            }
            let last = *state.borrow();
            return match last.phase {
                _ if last.answered >= number => Testimony::Answered(last.instance),
                Phase::Open => Testimony::Open,
                Phase::Opening | Phase::Closed => Testimony::Closed,
            };
        }
    }
}

/// The witnesses of this VM, one for each upstream that has sent responses without a length lately.
#[derive(Debug)]
pub(crate) struct Witnesses {
    clock: Arc<Clock>,
    connections: Arc<Connections>,
    table: Mutex<HashMap<UpstreamId, Arc<Witness>>>,
}

impl Witnesses {
    pub(crate) fn new(clock: Arc<Clock>, connections: Arc<Connections>) -> Self {
        Self { clock, connections, table: Mutex::default() }
    }

    /// Opens the witness of an upstream before a request is sent, if the upstream has sent responses
    /// without a length lately.
    pub(crate) async fn prepare(
        &self,
        id: &UpstreamId,
        address: SocketAddr,
    ) -> Option<WitnessGuard> {
        let user = self.find(&lock(&self.table), id, address)?;
        let mut state = user.witness.state.subscribe();
        let is_open = state.wait_for(|state| state.phase != Phase::Opening);
        // Without an open witness the request is sent all the same.
        let _ = self.clock.timeout_at(self.clock.now().after(OPEN_TIMEOUT), is_open).await;
        Some(user)
    }

    /// Returns the witness of an upstream that has sent the head of a response without a length.
    /// Opens one that asks the given question if there is none.
    pub(crate) fn attach(
        self: &Arc<Self>,
        id: &UpstreamId,
        address: SocketAddr,
        question: &Question,
    ) -> WitnessGuard {
        let mut table = lock(&self.table);
        if let Some(user) = self.find(&table, id, address) {
            return user;
        }
        let witness = self.start(id, address, question);
        table.insert(id.clone(), Arc::clone(&witness));
        self.guard(witness)
    }

    /// Returns the handle of one of the users of a witness.
    fn guard(&self, witness: Arc<Witness>) -> WitnessGuard {
        let (clock, connections) = (Arc::clone(&self.clock), Arc::clone(&self.connections));
        WitnessGuard { witness, clock, connections }
    }

    fn find(
        &self,
        table: &HashMap<UpstreamId, Arc<Witness>>,
        id: &UpstreamId,
        address: SocketAddr,
    ) -> Option<WitnessGuard> {
        let known = table.get(id).filter(|known| known.address == address && known.add_user())?;
        Some(self.guard(Arc::clone(known)))
    }

    /// Starts a witness with one user.
    fn start(
        self: &Arc<Self>,
        id: &UpstreamId,
        address: SocketAddr,
        question: &Question,
    ) -> Arc<Witness> {
        let state = State { wanted: u64::from(question.is_asked_early()), ..State::NEW };
        let state = watch::Sender::new(state);
        let witness = Arc::new(Witness {
            address,
            state,
            responses: Mutex::default(),
            probe: tokio::sync::Mutex::default(),
        });
        witness.add_user();
        let keeper = Keeper {
            witnesses: Arc::clone(self),
            witness: Arc::clone(&witness),
            id: id.clone(),
            question: question.clone(),
        };
        tokio::spawn(keeper.run());
        witness
    }

    fn remove(&self, id: &UpstreamId, witness: &Arc<Witness>) {
        let mut table = lock(&self.table);
        if table.get(id).is_some_and(|current| Arc::ptr_eq(current, witness)) {
            table.remove(id);
        }
    }
}
