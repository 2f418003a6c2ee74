//! Events and commands: the interface between the core and its driver.
//!
//! The core takes an [`Event`] with the current time and returns [`Command`]s. The driver performs
//! the I/O that the commands ask for and reports the results as events.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;

use crate::amount::{Time, TokenRate, Tokens};
use crate::availability::ConditionReport;
use crate::brittle::BrittleReport;
use crate::evacuation::DomainChange;
use crate::ids::{
    Account, Adapter, AttemptId, BudgetId, Incarnation, Model, Period, RequestId, RequestKey,
    ReservationId, RunId, Service, StoreCallId, TemplateVersion, UpstreamId, VersionTag, VmId,
};
use crate::ledger::HoldingPlan;
use crate::message::{Envelope, Head, Message, UpstreamUpdate};
use crate::poison::{Crash, Fingerprint};
use crate::queueing_delay::DelayReport;
use crate::rate_limit::LimitReport;
use crate::refusal::Refusal;
use crate::request_mix::EngineDemand;
use crate::rollout::{RolloutLogEntry, RolloutRules, RolloutTally};
use crate::stop_reason::StopReason;
pub use crate::store_call::{
    OperatorChanges, OperatorValues, StoreCall, StoreKey, StoreResult, Versioned,
};
use crate::stream_origins::StreamOrigin;
use crate::stream_segments::{SegmentId, StreamShard};
use crate::template::KeyDigest;
use crate::template_arrival::{TemplateArrival, TemplateStatus};
use crate::upstream_list::{ListVersion, UpstreamList};
use crate::version_record::{KnownVersions, OpenVersions};
use crate::vm_upstreams::{LoadReport, VmList};

/// An input of the core.
#[derive(Debug, Clone)]
pub enum Event {
    /// The process starts.
    Start,
    /// Time has passed; sent every [`crate::TICK_INTERVAL`].
    Tick,
    /// A caller's request has arrived.
    RequestArrived(RequestId, Box<IncomingRequest>),
    /// A caller has disconnected.
    CallerDisconnected(RequestId),
    /// An attempt at an upstream has made progress or has ended.
    Upstream(AttemptId, UpstreamEvent),
    /// An upstream has reported its load.
    Load(UpstreamId, LoadReport),
    /// Another process has sent a message.
    Peer(Envelope),
    /// The store has answered a call.
    StoreReply(StoreCallId, StoreResult),
    /// The VM list was read.
    VmList(VmList),
    /// A read of all values of operators from the store has ended.
    OperatorsRead {
        /// When the read was requested.
        requested_at: Time,
        /// Its result.
        result: StoreResult,
    },
    /// Operators have changed values in the store.
    OperatorChanges(OperatorChanges),
    /// A request on a route needs reserved tokens; answered with [`Command::AnswerReserve`].
    Reserve(ReserveRequest),
    /// A request on a route was cancelled while it waited for tokens.
    CancelReserve(ReserveRequest),
    /// A request on a route that had tokens reserved has ended.
    ReservationEnded(ReservationEnd),
    /// The wall-clock time of this process, in milliseconds since 1970. Clocks of other processes
    /// may differ.
    WallClock(u64),
    /// Whether this process currently serves callers.
    Serving(bool),
    /// Whether this process has more work than it can do.
    Overloaded(bool),
    /// Whether this process is cut off from upstreams.
    CutOff(bool),
    /// Processes have announced themselves in the store, under [`StoreKey::Joiner`].
    Joiners(Vec<Versioned>),
    /// The list of upstreams has changed at the platform. The core sets the update's reach.
    UpstreamChanges(UpstreamUpdate),
    /// Another process knows all changes of the list of upstreams up to this revision, and its
    /// update does not continue the list of this process.
    UpstreamListGap(Incarnation, u64),
    /// Another process has the list of upstreams at the same revision, but with different entries.
    UpstreamListsDiffer(Incarnation),
    /// The version of the list of upstreams of this process, and its number of entries.
    UpstreamListVersion(ListVersion, usize),
    /// The demand for engines of the requests of this process.
    EngineDemand(Vec<EngineDemand>),
    /// The upstreams at which requests of this process are queued.
    DelayReports(Vec<DelayReport>),
    /// Rate limits that upstreams have announced, to be sent to other processes.
    LimitReports(Vec<LimitReport>),
    /// Brittle services, to be reported to other processes.
    BrittleReports(Vec<BrittleReport>),
    /// Outcomes of the requests of this process at services with a rollout; sent periodically.
    RolloutTallies(Vec<RolloutTally>),
    /// The first event of a stream has arrived; sent before the caller gets it.
    StreamBegun {
        /// The record of the stream.
        origin: StreamOrigin,
        /// Whether other processes keep copies of the record.
        copied: bool,
    },
    /// Services have several versions: records of streams that began at one of these need copies.
    StreamsNeedCopies(BTreeSet<VersionTag>),
    /// The records of streams in a shard were read from the store.
    StreamSegments(StreamShard, Vec<(SegmentId, Bytes)>),
    /// The versions that this process knows from the list of upstreams; sent periodically.
    KnownVersions(KnownVersions),
    /// An upstream has crashed while it ran a request of this process: the crash under the request,
    /// and those under the parts of its prompt that it accuses.
    UpstreamCrashed(Vec<Crash>),
    /// A request that an upstream ran when it crashed has been served completely.
    SuspectServed(Fingerprint),
    /// The process is to stop.
    Stop,
}

/// A request to reserve tokens for a request on a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReserveRequest {
    /// The id of the reservation.
    pub id: ReservationId,
    /// The budget that pays.
    pub budget: BudgetId,
    /// The maximum cost of the request.
    pub amount: Tokens,
    /// The time until which the request may wait for tokens.
    pub deadline: Time,
}

/// The end of a reservation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReservationEnd {
    /// The budget that pays.
    pub budget: BudgetId,
    /// The period in which the tokens were reserved.
    pub period: Period,
    /// The number of tokens that were reserved.
    pub reserved: Tokens,
    /// The number of reserved tokens that were used.
    pub used: Tokens,
}

/// A request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IncomingRequest {
    /// The digest of the caller's secret.
    pub secret_digest: KeyDigest,
    /// The caller's own key for the request, and the region that it names.
    pub key: Option<String>,
    /// Whether the request may run at most once.
    pub at_most_once: bool,
    /// The work to do.
    pub work: Work,
    /// The maximum wait that the caller allows; the template may allow less.
    pub max_wait: Option<Duration>,
}

/// The work that a request asks an upstream to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Work {
    /// A chat completion of a model engine.
    Chat(Chat),
    /// A call of a plain service.
    Call(Call),
}

/// A request for a chat completion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chat {
    /// The requested model.
    pub model: Model,
    /// The requested adapter of the model.
    pub adapter: Option<Adapter>,
    /// An upper bound of the tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// The output limit set by the caller.
    pub output_limit: Option<Tokens>,
    /// Digests of the prompt's prefixes, shortest first.
    pub prefix_digests: Vec<u64>,
}

/// A request to a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The requested service.
    pub service: Service,
    /// The path within the service.
    pub path: String,
}

/// Progress or end of an attempt at an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamEvent {
    /// The head of the answer has arrived.
    Head(Head),
    /// A part of the answer has arrived.
    Chunk(Chunk),
    /// The answer is complete or was cancelled.
    Ended {
        /// The number of parts of the complete answer; 0 if it was cancelled.
        parts: u64,
        /// The tokens used, if the upstream reports them.
        usage: Option<Usage>,
    },
    /// The request was not sent to the upstream, so it cannot have run there.
    NotSent,
    /// The upstream rejected the request before running it, and announced a back-off if a span is
    /// given.
    Busy(Option<Duration>),
    /// The upstream does not have the stream to resume.
    NoStream,
    /// The answer broke off or never arrived; the request may have run.
    Broken,
}

/// A part of an upstream's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// The index of the part in the answer.
    pub offset: u64,
    /// The data for the caller.
    pub data: Bytes,
    /// The tokens used so far, if the upstream reports them.
    pub usage: Option<Usage>,
}

/// The number of tokens that a request has used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens in the prompt.
    pub prompt: Tokens,
    /// Generated tokens.
    pub output: Tokens,
}

impl Usage {
    /// Returns the cost of the request.
    #[must_use]
    pub fn cost(self) -> Tokens {
        self.prompt.saturating_add(self.output)
    }
}

/// A request to be sent to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// The run that the attempt belongs to.
    pub run: RunId,
    /// The caller's request whose body is sent; `None` if a stream is resumed.
    pub request: Option<RequestId>,
    /// The upstream that receives the request.
    pub upstream: UpstreamId,
    /// The id of the stream at the upstream, used to resume it.
    pub stream: String,
    /// The output limit, used by engines only.
    pub output_limit: Tokens,
    /// The priority of the account.
    pub priority: u32,
    /// The index of the part from which to resume the stream; `None` to start it.
    pub resume_from: Option<u64>,
}

/// A part of the answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The head of the answer.
    Head(Head),
    /// Data of the body.
    Data(Bytes),
    /// The end of a complete answer, with the cost of the request.
    End(Tokens),
    /// The answer broke off after its head was sent, so the caller has an incomplete answer.
    Broken(Refusal),
    /// The request was refused before the head was sent.
    Refused(Refusal),
}

/// An entry of the record of charges.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bill {
    /// The account that is charged.
    pub account: Account,
    /// The budget that paid.
    pub budget: BudgetId,
    /// The key of the request, if it has one.
    pub key: Option<RequestKey>,
    /// The id of the stream at the upstream.
    pub stream: String,
    /// The cost of the request.
    pub cost: Tokens,
    /// Whether this process bills the request; if not, another process bills the same key.
    pub billed: bool,
}

/// An action that the core asks its driver to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Sends a message to another process.
    Send(Incarnation, Message),
    /// Calls the store.
    CallStore(StoreCallId, StoreCall),
    /// Sends a request to an upstream.
    Dispatch(AttemptId, Dispatch),
    /// Cancels an attempt at an upstream.
    Cancel(AttemptId),
    /// Sends the part with this index of an answer to a caller.
    Answer(RequestId, usize, Answer),
    /// Sends a request on a route the period in which its tokens are reserved, or the refusal.
    AnswerReserve(ReservationId, Result<Period, Refusal>),
    /// Applies changes of the list of upstreams that another process forwarded.
    ApplyUpstreamChanges(Incarnation, UpstreamUpdate),
    /// Applies the complete list of upstreams of another process.
    ApplyUpstreamList(Incarnation, UpstreamList),
    /// Confirms that the list of upstreams is unchanged up to a revision.
    ConfirmUpstreamList(u64),
    /// Divides the engines by the demand of the requests of all processes.
    DivideEngines(Vec<EngineDemand>),
    /// Applies the queueing delays that other processes reported.
    ApplyDelayReports(Vec<DelayReport>),
    /// Applies the rate limits that another process reported.
    ApplyLimitReports(Incarnation, Vec<LimitReport>),
    /// Apply another process's reports of brittle services.
    ApplyBrittleReports(Incarnation, Vec<BrittleReport>),
    /// Applies evacuations and restorations of failure domains, received from the given process or,
    /// if it is `None`, read from the store.
    ApplyEvacuations(Option<Incarnation>, Vec<DomainChange>),
    /// Divides the requests of services between versions by these rules, which replace all earlier
    /// ones.
    ApplyRolloutRules(RolloutRules),
    /// Sends a process the changes of the list of upstreams since a revision; the complete list for
    /// revision 0.
    SendUpstreamList(Incarnation, u64),
    /// Applies the versions that the store recorded when it was called at this time.
    ApplyVersions(Time, OpenVersions),
    /// Blocks requests and ends their running attempts.
    BlockRequests(Vec<Fingerprint>),
    /// Writes an entry to the record of charges.
    Bill(Bill),
    /// Writes a log entry for operators.
    Log(LogEntry),
    /// Shows callers that this process stops. Repeated if it is removed while it stops.
    StopStarted(StopReason),
    /// Ends the process: it has handed over all its state.
    Exit,
}

/// An entry for the operators' log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogEntry {
    /// A newer view is in force.
    View(crate::ids::Epoch),
    /// So many records of streams were not written to the store, because too many waited.
    StreamsNotWritten(u64),
    /// The view has changed the budgets that this process holds or borrows.
    Lending {
        /// The epoch of the view.
        epoch: crate::ids::Epoch,
        /// The number of budgets that this process holds.
        held: usize,
        /// The number of budgets that it borrows from lenders.
        borrowed: usize,
    },
    /// A holder has left the view; this process is the witness of its parked tokens.
    ParkedReturned {
        /// The budget of the parked tokens.
        budget: BudgetId,
        /// The removed holder.
        holder: Incarnation,
        /// The parked tokens, which return to the ledger; the rest of the holding is written off.
        amount: Tokens,
        /// The epoch of the view without the holder.
        epoch: crate::ids::Epoch,
    },
    /// A lender did not answer in time, and is skipped for a while.
    LenderSilent {
        /// The budget that was requested.
        budget: BudgetId,
        /// The lender that did not answer.
        lender: Incarnation,
    },
    /// This process reports the condition of a member to all others.
    Condition(ConditionReport),
    /// Newer templates are in force.
    Templates(TemplateArrival),
    /// The templates in force had other contents than the store under this version; they are
    /// replaced.
    TemplatesDiffered(TemplateVersion),
    /// A newer version of the templates is known to exist and has not arrived for long.
    TemplatesMissing(TemplateStatus),
    /// A read of operators' values from the store failed, after one that succeeded.
    OperatorsLost,
    /// A read of operators' values succeeded again, this long after the first one that failed.
    OperatorsRegained(Duration),
    /// The stored templates are invalid; the last valid ones stay in force.
    BadTemplates(String),
    /// A stored value is invalid.
    BadValue(StoreKey, String),
    /// This process writes a view without a member that it considers failed.
    RemovesMember {
        /// The member to be removed.
        member: Incarnation,
        /// The VM of the member.
        vm: VmId,
        /// The time since this process last received a message from the member.
        silence: Duration,
        /// The epoch of the view that the new one replaces.
        epoch: crate::ids::Epoch,
    },
    /// The new view does not contain this process; it finishes its running requests and ends.
    Removed,
    /// The ledger has applied an operation of this holder.
    LedgerApplied {
        /// The budget of the holding.
        budget: BudgetId,
        /// The limit of the budget.
        limit: Tokens,
        /// The tokens that the ledger granted.
        granted: Tokens,
        /// The tokens that remain in the ledger.
        remaining: Tokens,
        /// The tokens that the process holds now: parked, sealed or free.
        held: Tokens,
        /// The sealed tokens among those held.
        sealed: Tokens,
        /// Whether the process has promised the ledger not to spend the sealed tokens.
        promised: bool,
        /// The tokens reserved for running requests.
        reserved: Tokens,
        /// The tokens in transit to other processes and not acknowledged.
        in_transit: Tokens,
        /// The time that the ledger took to answer.
        took: Duration,
        /// The ledger's plan for the holding.
        plan: HoldingPlan,
        /// The demand measured by the process.
        rate: TokenRate,
    },
    /// The tokens that a borrower has of a budget for which it prefetches tokens, or of which it
    /// has tokens in transit.
    Prefetched {
        /// The borrowed budget.
        budget: BudgetId,
        /// The tokens that can be spent.
        free: Tokens,
        /// The tokens reserved for running requests.
        reserved: Tokens,
        /// The tokens in transit to other processes and not acknowledged.
        in_transit: Tokens,
        /// The number of requests that wait for tokens.
        waiting: usize,
        /// The demand measured by the process.
        rate: TokenRate,
        /// How long a lender may take to answer, if that is known.
        answer_time: Option<Duration>,
    },
    /// A new budget period is in force.
    BudgetRenewed(BudgetId),
    /// Progress of a rollout.
    Rollout(Box<RolloutLogEntry>),
    /// An upstream crashed under a request, or such a request was served completely afterwards.
    Crash {
        /// The crash, or the later success.
        crash: Crash,
        /// Whether the request is blocked because of it.
        blocks: bool,
        /// The process that reported it; `None` if this process observed it or read it from the
        /// store.
        from: Option<Incarnation>,
    },
}

/// Collects the commands of one event.
#[derive(Debug, Default)]
pub struct Outbox {
    commands: Vec<Command>,
}

impl Outbox {
    /// Adds a command.
    pub fn push(&mut self, command: Command) {
        self.commands.push(command);
    }

    /// Adds a command that sends a message.
    pub fn send(&mut self, to: Incarnation, message: Message) {
        self.commands.push(Command::Send(to, message));
    }

    /// Adds a command that sends the part of an answer with this index.
    pub fn answer(&mut self, to: RequestId, index: usize, answer: Answer) {
        self.commands.push(Command::Answer(to, index, answer));
    }

    /// Removes and returns all commands.
    pub fn take(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }
}

/// Returns whether at least `span` has passed since `last`, or `last` is `None`.
#[must_use]
pub(crate) fn is_due(now: Time, last: Option<Time>, span: Duration) -> bool {
    last.is_none_or(|last| now.since(last) >= span)
}
