//! What happens to a process, and what it wants done: the core's one border.
//!
//! The core takes an [`Event`] with the present time and yields [`Command`]s. Whoever
//! drives it turns orders into input and output, and their outcome into events.

use std::time::Duration;

use bytes::Bytes;

use crate::amount::{Time, TokenRate, Tokens};
use crate::evacuation::DomainChange;
use crate::ids::{
    Account, Adapter, AttemptId, BudgetId, Incarnation, Model, Period, RequestId, RequestKey,
    ReservationId, RunId, Service, StoreCallId, UpstreamId, VmId,
};
use crate::ledger::HoldingPlan;
use crate::message::{Envelope, Head, Message, UpstreamUpdate};
use crate::poison::{Crash, Fingerprint};
use crate::queueing_delay::DelayReport;
use crate::rate_limit::LimitReport;
use crate::refusal::Refusal;
use crate::request_mix::EngineDemand;
use crate::rollout::{OrderChange, RolloutLogEntry, RolloutRules, RolloutTally};
use crate::template::KeyDigest;
use crate::upstream_list::{ListVersion, UpstreamList};
use crate::vm_upstreams::{LoadReport, VmList};

/// Something that happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// The process starts.
    Start,
    /// Some time has passed; sent every [`crate::TICK_INTERVAL`].
    Tick,
    /// A caller's request has arrived.
    RequestArrived(RequestId, Box<IncomingRequest>),
    /// A caller has hung up.
    CallerDisconnected(RequestId),
    /// An upstream has answered.
    Upstream(AttemptId, UpstreamEvent),
    /// An upstream has reported its load.
    Load(UpstreamId, LoadReport),
    /// Another process has sent a message.
    Peer(Envelope),
    /// The key-value service has answered.
    StoreReply(StoreCallId, StoreResult),
    /// The VM list was read.
    VmList(VmList),
    /// The templates were read, or have changed at the platform.
    Templates(Versioned),
    /// All that operators have at the platform was read.
    Operators(OperatorValues),
    /// Operators have changed something at the platform.
    OperatorChanges(OperatorChanges),
    /// A request on a route wants tokens set aside; [`Command::AnswerReserve`] answers.
    Reserve(ReserveRequest),
    /// A request on a route that waits for tokens has gone.
    CancelReserve(ReserveRequest),
    /// A request on a route has ended, and this is what it used.
    ReservationEnded(ReservationEnd),
    /// The time of day, in milliseconds since 1970; one clock's opinion.
    WallClock(u64),
    /// Whether this process serves callers at present.
    Serving(bool),
    /// The list of upstreams was followed; its reach is for the core to set.
    UpstreamChanges(UpstreamUpdate),
    /// Another process knows the list of upstreams up to this revision, and what it told leaves a
    /// gap here.
    UpstreamListGap(Incarnation, u64),
    /// Another process knows as much of the list of upstreams as this one, and its list differs.
    UpstreamListsDiffer(Incarnation),
    /// How much of the list of upstreams is known here.
    UpstreamListVersion(ListVersion),
    /// What the requests of this process need of engines.
    EngineNeeds(Vec<EngineDemand>),
    /// The upstreams at which requests wait.
    DelayReports(Vec<DelayReport>),
    /// What other processes should know of the limits that upstreams name.
    LimitReports(Vec<LimitReport>),
    /// How the requests of this process went at services that are rolled out, told now and then.
    RolloutTallies(Vec<RolloutTally>),
    /// An upstream has ended while a request of this process was there.
    UpstreamCrashed(Crash),
    /// A request that was there when an upstream ended was served whole.
    SuspectServed(Fingerprint),
    /// The process is asked to stop.
    Stop,
}

/// A wish to set tokens aside for a request on a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReserveRequest {
    /// Names the reservation.
    pub id: ReservationId,
    /// The budget.
    pub budget: BudgetId,
    /// The most that the request can cost.
    pub amount: Tokens,
    /// How long the request may wait for an answer.
    pub deadline: Time,
}

/// The end of a reservation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReservationEnd {
    /// The budget.
    pub budget: BudgetId,
    /// The period in which the tokens were set aside.
    pub period: Period,
    /// What was set aside.
    pub reserved: Tokens,
    /// What was used of it.
    pub used: Tokens,
}

/// What a caller wants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IncomingRequest {
    /// The digest of the caller's secret.
    pub secret_digest: KeyDigest,
    /// The caller's own key for the request, and the region that it names.
    pub key: Option<String>,
    /// Whether the caller forbids a second run.
    pub at_most_once: bool,
    /// What is asked for.
    pub work: Work,
    /// How long the caller allows the request to wait; the template may allow less.
    pub max_wait: Option<Duration>,
}

/// What a request asks an upstream to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Work {
    /// A chat completion of a model engine.
    Chat(Chat),
    /// A call of a plain service.
    Call(Call),
}

/// A chat completion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chat {
    /// The model.
    pub model: Model,
    /// The adapter, if any.
    pub adapter: Option<Adapter>,
    /// The most tokens that the prompt can be.
    pub prompt_tokens: Tokens,
    /// The output limit that the caller set.
    pub output_limit: Option<Tokens>,
    /// Digests of the prompt's prefixes, the shortest first.
    pub prefix_digests: Vec<u64>,
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The service.
    pub service: Service,
    /// The path within the service.
    pub path: String,
}

/// What an upstream did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamEvent {
    /// The head of the answer has come.
    Head(Head),
    /// A part of the answer has come.
    Chunk(Chunk),
    /// The answer has ended well, after this many parts.
    Ended {
        /// How many parts the whole answer has; 0 if it was cancelled.
        parts: u64,
        /// The tokens used, where the upstream says so.
        usage: Option<Usage>,
    },
    /// Nothing reached the upstream: the request cannot have run there.
    NotSent,
    /// The upstream refused the request before running it, and wants nothing more for a span, if it
    /// says so.
    Busy(Option<Duration>),
    /// The upstream does not have the stream that was to be resumed.
    NoStream,
    /// The answer broke off, or never came; the request may have run.
    Broken,
}

/// A part of an upstream's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk {
    /// The part's place in the answer.
    pub offset: u64,
    /// What the caller gets of it.
    pub data: Bytes,
    /// The tokens used so far, where the upstream says so.
    pub usage: Option<Usage>,
}

/// The tokens that a request has used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens generated.
    pub output: Tokens,
}

impl Usage {
    /// Returns what the request costs.
    #[must_use]
    pub fn cost(self) -> Tokens {
        self.prompt.saturating_add(self.output)
    }
}

/// A value of the key-value service with its revision; revision 0 means absent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Versioned {
    /// The value.
    pub value: Option<Bytes>,
    /// The revision.
    pub revision: u64,
}

/// All that operators have at the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OperatorValues {
    /// The platform's revision at which it was read.
    pub revision: u64,
    /// The templates, as the product writes them; nothing if there are none that can be used.
    pub templates: Option<Bytes>,
    /// The failure domains that are evacuated.
    pub evacuated: Vec<DomainChange>,
    /// The roll-outs that are ordered.
    pub rollouts: Vec<OrderChange>,
}

/// What operators have changed at the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OperatorChanges {
    /// The platform's revision up to which every change is known.
    pub revision: u64,
    /// The newest templates, if they have changed and can be used.
    pub templates: Option<Bytes>,
    /// The failure domains that were evacuated or taken back.
    pub domains: Vec<DomainChange>,
    /// The roll-outs that were ordered or withdrawn.
    pub rollouts: Vec<OrderChange>,
}

/// What became of a call to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreResult {
    /// The value that was read.
    Value(Versioned),
    /// The values of operators, where the platform keeps more than templates.
    Operators(OperatorValues),
    /// The value was written under this revision.
    Written(u64),
    /// Another value stands there; nothing was written.
    Conflict(Versioned),
    /// The service did not do it.
    Refused,
    /// No answer came: it may have taken effect.
    Unknown,
}

/// A name in the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StoreKey {
    /// The templates.
    Templates,
    /// The membership view.
    View,
    /// A shard of the ledger.
    Ledger(u32),
    /// How far the roll-out of a service has come; operators read it.
    Rollout(Service),
    /// The requests that are blocked since upstreams ended under them.
    Poison,
}

/// A call to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads a value.
    Get(StoreKey),
    /// Writes a value if the present one has the expected revision.
    CompareAndSwap {
        /// What is written to.
        key: StoreKey,
        /// The revision that must stand there; 0 means none.
        expected_revision: u64,
        /// The value.
        value: Bytes,
    },
}

/// What a request sent to an upstream is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// The run.
    pub run: RunId,
    /// The caller's request whose body is sent, unless the stream is resumed.
    pub request: Option<RequestId>,
    /// The upstream.
    pub upstream: UpstreamId,
    /// The name under which the upstream keeps the stream, for resuming it.
    pub stream: String,
    /// The output limit, for engines.
    pub output_limit: Tokens,
    /// The account's priority.
    pub priority: u32,
    /// Resume the stream from this part on, instead of starting it.
    pub resume_from: Option<u64>,
}

/// A part of the answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The head of the answer.
    Head(Head),
    /// Data.
    Data(Bytes),
    /// The whole answer was sent, and its request costs this much.
    End(Tokens),
    /// The answer broke off after its head was sent; what was sent is not whole.
    Broken(Refusal),
    /// The request is refused.
    Refused(Refusal),
}

/// One line about a bill, for the record of charges.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bill {
    /// The account.
    pub account: Account,
    /// The budget that paid.
    pub budget: BudgetId,
    /// The request's key, if it had one.
    pub key: Option<RequestKey>,
    /// The name of the stream at the upstream.
    pub stream: String,
    /// What it cost.
    pub cost: Tokens,
    /// Whether it is billed; otherwise another process bills the same key.
    pub billed: bool,
}

/// Something that the process wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Send a message.
    Send(Incarnation, Message),
    /// Call the key-value service.
    CallStore(StoreCallId, StoreCall),
    /// Send a request to an upstream.
    Dispatch(AttemptId, Dispatch),
    /// Stop what runs at an upstream.
    Cancel(AttemptId),
    /// Pass something to a caller, as the part of its answer with this place.
    Answer(RequestId, usize, Answer),
    /// Tell a request on a route that its tokens are set aside in this period, or why not.
    AnswerReserve(ReservationId, Result<Period, Refusal>),
    /// Take in changes of the list of upstreams that another process passed on.
    ApplyUpstreamChanges(Incarnation, UpstreamUpdate),
    /// Take in the whole list of upstreams of another process.
    ApplyUpstreamList(UpstreamList),
    /// The list of upstreams is still as it is known here, up to a revision.
    ConfirmUpstreamList(u64),
    /// Divide the engines by what the requests of all processes need.
    DivideEngines(Vec<EngineDemand>),
    /// Take in at which upstreams requests of other processes wait.
    ApplyDelayReports(Vec<DelayReport>),
    /// Take in what another process knows of the limits that upstreams name.
    ApplyLimitReports(Incarnation, Vec<LimitReport>),
    /// Stop or begin to use the upstreams of failure domains, as the platform or a process told.
    ApplyEvacuations(Option<Incarnation>, Vec<DomainChange>),
    /// Divide the requests of services between versions by these rules, and by no others.
    ApplyRolloutRules(RolloutRules),
    /// Tell a process what has changed in the list of upstreams since a revision; the whole list
    /// since 0.
    SendUpstreamList(Incarnation, u64),
    /// Some requests are blocked from now on: what runs of them is to be ended.
    BlockRequests(Vec<Fingerprint>),
    /// Record a charge.
    Bill(Bill),
    /// Tell the operator.
    Log(LogEntry),
    /// Everything is handed over: end the process.
    Exit,
}

/// Something that an operator should know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogEntry {
    /// A newer view is in force.
    View(crate::ids::Epoch),
    /// Other budgets are held or borrowed here, by the ranks of a view.
    Lending {
        /// The view.
        epoch: crate::ids::Epoch,
        /// How many budgets this process holds.
        held: usize,
        /// How many it borrows from others.
        borrowed: usize,
    },
    /// A holder has left the view, and this process is the witness of what it left untouched.
    ParkedReturned {
        /// The budget.
        budget: BudgetId,
        /// The removed holder.
        holder: Incarnation,
        /// What goes back to the ledger; the rest of its holding is written off.
        amount: Tokens,
        /// The view without the holder.
        epoch: crate::ids::Epoch,
    },
    /// A lender did not answer in time, and is passed over for a while.
    LenderSilent {
        /// The budget.
        budget: BudgetId,
        /// The lender.
        lender: Incarnation,
    },
    /// Newer templates are in force.
    Templates(crate::ids::TemplateVersion),
    /// The value of the templates cannot be used; the last good one stays in force.
    BadTemplates(String),
    /// A value of the platform cannot be used.
    BadValue(StoreKey, String),
    /// This process writes the view without a member that it takes to be gone.
    RemovesMember {
        /// The member.
        member: Incarnation,
        /// Its VM.
        vm: VmId,
        /// How long it has been silent here.
        silence: Duration,
        /// The epoch that the removal builds on.
        epoch: crate::ids::Epoch,
    },
    /// The view was formed without this process; it finishes what runs and ends.
    Removed,
    /// The ledger answered a change of a holding.
    LedgerApplied {
        /// The budget.
        budget: BudgetId,
        /// Its limit.
        limit: Tokens,
        /// What was handed out.
        granted: Tokens,
        /// What is left in the ledger.
        left: Tokens,
        /// What the process holds now, parked, sealed or free.
        held: Tokens,
        /// What of that is sealed.
        sealed: Tokens,
        /// Whether the ledger was promised that the sealed part is not touched.
        promised: bool,
        /// What is set aside for running requests.
        reserved: Tokens,
        /// What is on its way to other processes and not acknowledged.
        moving: Tokens,
        /// How long the ledger took to answer.
        took: Duration,
        /// How the ledger wants the budget held.
        plan: HoldingPlan,
        /// The demand that the process measured.
        rate: TokenRate,
    },
    /// What a borrower has of a budget that is busy there, or that it has on the way back.
    Prefetched {
        /// The budget.
        budget: BudgetId,
        /// Ready to spend.
        free: Tokens,
        /// Set aside for running requests.
        reserved: Tokens,
        /// On its way to other processes and not acknowledged.
        moving: Tokens,
        /// How many requests wait for tokens.
        waiting: usize,
        /// The demand that the process measured.
        rate: TokenRate,
    },
    /// The budget period has ended and a new one is in force.
    BudgetRenewed(BudgetId),
    /// Something about a roll-out.
    Rollout(Box<RolloutLogEntry>),
    /// An upstream ended under a request, or such a request was served whole since.
    Crash {
        /// What happened.
        crash: Crash,
        /// Whether the request is blocked by it.
        blocks: bool,
        /// Who told it; nobody if this process saw it, or read it at the platform.
        from: Option<Incarnation>,
    },
}

/// Collects orders.
#[derive(Debug, Default)]
pub struct Outbox {
    orders: Vec<Command>,
}

impl Outbox {
    /// Adds an order.
    pub fn push(&mut self, order: Command) {
        self.orders.push(order);
    }

    /// Adds a message.
    pub fn send(&mut self, to: Incarnation, message: Message) {
        self.orders.push(Command::Send(to, message));
    }

    /// Adds a part of an answer with its place.
    pub fn answer(&mut self, to: RequestId, place: usize, answer: Answer) {
        self.orders.push(Command::Answer(to, place, answer));
    }

    /// Takes all orders.
    pub fn take(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.orders)
    }
}

/// Tells whether a span has passed since an earlier time, or none is known.
#[must_use]
pub(crate) fn is_due(now: Time, last: Option<Time>, span: Duration) -> bool {
    last.is_none_or(|last| now.since(last) >= span)
}
