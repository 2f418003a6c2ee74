//! Messages between processes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::amount::Tokens;
use crate::availability::ConditionReport;
use crate::brittle::BrittleReport;
use crate::confirmations::ConfirmationReport;
use crate::evacuation::DomainChange;
use crate::ids::{
    Account, BudgetId, Epoch, Incarnation, Period, Region, RequestKey, TemplateVersion, UpstreamId,
};
use crate::ledger::{LedgerOp, LedgerReply};
pub use crate::operator_update::{OperatorRead, OperatorUpdate};
use crate::poison::Crash;
use crate::queueing_delay::DelayReport;
use crate::rate_limit::LimitReport;
use crate::request_mix::EngineDemand;
use crate::rollout::{KnownRollout, RolloutTally};
use crate::stream_origins::StreamOrigin;
use crate::template::{TemplateDelta, TemplateSet};
use crate::upstream_list::{ListVersion, UpstreamList, UpstreamListChanges};
use crate::view_update::ViewUpdate;

/// A message with its sender and receiver.
///
/// A process discards messages addressed to another incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: Incarnation,
    /// The address at which the sender receives messages; the receiver may not know the sender as a
    /// member yet.
    pub sender_address: SocketAddr,
    /// The receiver.
    pub to: Incarnation,
    /// The content of the message.
    pub message: Message,
}

/// The content of a message between processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Reports that the sender is alive, and the versions that it has in force.
    Heartbeat(Heartbeat),
    /// Asks for the view and for templates newer than a version.
    Fetch {
        /// The epoch that the sender has.
        epoch: Epoch,
        /// The version of the templates that the sender has.
        version: TemplateVersion,
        /// Whether the sender requests the complete set of templates.
        full: bool,
    },
    /// A newer view, as a difference if the sender has a base for one.
    View(ViewUpdate),
    /// Newer templates, as a difference.
    TemplateDelta(Box<TemplateDelta>),
    /// The complete set of newer templates.
    Templates(Box<TemplateSet>),
    /// Changes of the list of upstreams; broadcast to all members.
    UpstreamChanges(UpstreamUpdate),
    /// Members that are silent or overloaded, or are so no longer; broadcast to all members.
    Conditions(ConditionUpdate),
    /// Asks for changes of the list of upstreams.
    FetchUpstreams {
        /// The revision of the list up to which the sender knows all changes; 0 asks for the
        /// complete list.
        since: u64,
    },
    /// The complete list of upstreams.
    Upstreams(UpstreamList),
    /// Failure domains that were evacuated or restored; broadcast to all members.
    Evacuations(EvacuationUpdate),
    /// All evacuations that the sender knows; asks for those it lacks.
    CompareEvacuations(Vec<DomainChange>),
    /// Rollouts that were ordered or have progressed; broadcast to all members.
    Rollouts(RolloutUpdate),
    /// All rollouts that the sender knows; asks for progress it lacks.
    CompareRollouts(Vec<KnownRollout>),
    /// Crashes of upstreams under requests, and later successes of such requests; broadcast to all
    /// members.
    Crashes(CrashUpdate),
    /// The crashes of all blocked requests that the sender knows; asks for those it lacks.
    CompareCrashes(Vec<Crash>),
    /// Outcomes of the sender's requests at a service for which the receiver is a judge.
    RolloutReport(RolloutReport),
    /// Requests operations on the ledger.
    LedgerRequest(Vec<LedgerOp>),
    /// The results of requested ledger operations.
    LedgerReplies(Vec<(BudgetId, Period, LedgerReply)>),
    /// Asks another holder for tokens.
    TokenRequest(TokenRequest),
    /// Answers a [`TokenRequest`] if no tokens are given.
    NoTokens {
        /// The requested budget.
        budget: BudgetId,
        /// The requested period.
        period: Period,
        /// The requested amount; if a holder may get tokens back, the amount that it may have then.
        need: Tokens,
        /// The reason for the refusal.
        reason: NoTokensReason,
    },
    /// Transfers tokens; resent until acknowledged.
    Transfer(Transfer),
    /// Acknowledges a transfer.
    TransferAck {
        /// The sequence number of the transfer.
        seq: u64,
    },
    /// Sets the amounts parked at the receiver; resent until acknowledged.
    Park(Vec<ParkItem>),
    /// Acknowledges parked amounts.
    ParkAck(Vec<ParkItem>),
    /// Asks the arbiter for the right to run a key.
    ClaimRequest(ClaimRequest),
    /// Answers a [`ClaimRequest`].
    ClaimReply {
        /// The key.
        key: RequestKey,
        /// The serial number of the request.
        serial: u64,
        /// The epoch of the arbiter.
        epoch: Epoch,
        /// The decision of the arbiter.
        decision: ClaimDecision,
    },
    /// Asks the backup to store the second copy of a claim.
    ClaimBackup {
        /// The epoch of the arbiter.
        epoch: Epoch,
        /// The claim to store.
        claim: ClaimRecord,
    },
    /// Acknowledges the second copy of a claim.
    ClaimBackupAck {
        /// The key.
        key: RequestKey,
        /// The owner's serial number.
        serial: u64,
        /// Whether the copied claim is of a request that has ended.
        ended: bool,
    },
    /// Reports that the owner is about to send the request to an upstream.
    Dispatching {
        /// The key.
        key: RequestKey,
        /// The owner's serial number.
        serial: u64,
        /// The upstream to which the request is sent.
        upstream: UpstreamId,
    },
    /// Reports that the owner has not run the request and will not run it.
    Release {
        /// The key.
        key: RequestKey,
        /// The owner's serial number.
        serial: u64,
    },
    /// Asks whether the owner of a request that has ended may bill it.
    SettleRequest(SettleRequest),
    /// Answers a [`SettleRequest`].
    SettleReply {
        /// The id of the charge.
        id: ChargeId,
        /// The epoch of the arbiter.
        epoch: Epoch,
        /// Whether the owner may bill the charge.
        billed: bool,
    },
    /// Transfers charges that the sender cannot settle before it ends.
    Charges(Vec<PendingCharge>),
    /// Acknowledges charges that the sender has taken over.
    ChargesAck(Vec<ChargeId>),
    /// Transfers claims for which the receiver becomes the arbiter or the backup.
    Handover(HandoverPart),
    /// Acknowledges a part of a handover.
    HandoverAck {
        /// The epoch of the view.
        epoch: Epoch,
        /// The index of the part.
        index: u32,
    },
    /// Asks the owner of a key for its answer from an offset on.
    AnswerRequest {
        /// The key.
        key: RequestKey,
        /// The region whose arbiter decides about the key.
        home: Option<Region>,
        /// The owner's serial number.
        serial: u64,
        /// The index of the first requested part.
        offset: u64,
    },
    /// A part of an answer.
    AnswerPart(AnswerPart),
    /// Reports that the owner still runs the request and has no new parts.
    AnswerPending {
        /// The key.
        key: RequestKey,
        /// The owner's serial number.
        serial: u64,
    },
    /// Reports that the sender, asked for an answer, does not have the request and will not run it.
    UnknownRequest {
        /// The key.
        key: RequestKey,
        /// The serial number in the request.
        serial: u64,
    },
    /// Rate limits that upstreams have announced or withdrawn, as known to the sender.
    LimitReports(Vec<LimitReport>),
    /// Operators' values were read from the store; broadcast to all members.
    Operators(OperatorUpdate),
    /// Records of streams that the sender has begun, of which the receiver keeps copies.
    StreamOrigins(Vec<StreamOrigin>),
    /// Services that are brittle or no longer so, as known to the sender.
    BrittleReports(Vec<BrittleReport>),
    /// Asks a host to write that the sender, whose view has this epoch, leaves or (`true`) quits;
    /// repeated until the view shows it.
    Departure(Epoch, bool),
    /// Like [`Message::StreamOrigins`]; the receiver also writes the records to the store.
    StreamOriginsToWrite(Vec<StreamOrigin>),
}

impl Message {
    /// Returns the kind of the message, for metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat",
            Self::Fetch { .. } | Self::View(_) | Self::Departure(..) => "view",
            Self::Conditions(_) => "conditions",
            Self::TemplateDelta(_) | Self::Templates(_) => "templates",
            Self::Operators(_) => "operators",
            Self::LedgerRequest(_) | Self::LedgerReplies(_) => "draw",
            Self::UpstreamChanges(_) | Self::FetchUpstreams { .. } | Self::Upstreams(_) => {
                "upstreams"
            }
            Self::Evacuations(_) | Self::CompareEvacuations(_) => "evacuations",
            Self::Rollouts(_) | Self::CompareRollouts(_) | Self::RolloutReport(_) => "rollouts",
            Self::Crashes(_) | Self::CompareCrashes(_) => "crashes",
            Self::LimitReports(_) => "limits",
            Self::BrittleReports(_) => "brittle",
            Self::StreamOrigins(_) | Self::StreamOriginsToWrite(_) => "streams",
            Self::TokenRequest(_) | Self::NoTokens { .. } => "ask",
            Self::Transfer(_) | Self::TransferAck { .. } => "transfer",
            Self::Park(_) | Self::ParkAck(_) => "park",
            Self::ClaimRequest(_) | Self::ClaimReply { .. } => "claim",
            Self::ClaimBackup { .. } | Self::ClaimBackupAck { .. } => "copy",
            Self::Dispatching { .. } | Self::Release { .. } => "progress",
            Self::SettleRequest(_)
            | Self::SettleReply { .. }
            | Self::Charges(_)
            | Self::ChargesAck(_) => "settle",
            Self::Handover(_) | Self::HandoverAck { .. } => "handover",
            Self::AnswerRequest { .. }
            | Self::AnswerPart(_)
            | Self::AnswerPending { .. }
            | Self::UnknownRequest { .. } => "answer",
        }
    }

    /// Returns whether the message may be lost because a newer one follows soon.
    #[must_use]
    pub fn is_repeated(&self) -> bool {
        matches!(self, Self::Heartbeat(_) | Self::LimitReports(_) | Self::BrittleReports(_))
    }
}

/// An update of the list of upstreams, broadcast to all members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamUpdate {
    /// The changes; empty if only the revision has advanced.
    pub changes: UpstreamListChanges,
    /// The revision that the update builds on: a process that knows all changes up to it knows all
    /// changes up to the revision of `version` after applying these.
    pub since: u64,
    /// The version of the list after the changes, at the process that read it from the platform.
    pub version: ListVersion,
    /// The number of members before the receiver in the ring to which it forwards the update.
    pub reach: u32,
}

/// An update about the conditions of members, broadcast to all members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConditionUpdate {
    /// The reports.
    pub reports: Vec<ConditionReport>,
    /// The number of members before the receiver in the ring to which it forwards the update.
    pub reach: u32,
}

/// An update about evacuated failure domains, broadcast to all members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationUpdate {
    /// The domains that operators evacuated or restored.
    pub changes: Vec<DomainChange>,
    /// The number of members before the receiver in the ring to which it forwards the update.
    pub reach: u32,
}

/// An update about rollouts, broadcast to all members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutUpdate {
    /// The state of the rollouts that have changed.
    pub known: Vec<KnownRollout>,
    /// The number of members before the receiver in the ring to which it forwards the update.
    pub reach: u32,
}

/// An update about crashes of upstreams under requests, broadcast to all members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// The crashes and later successes.
    pub crashes: Vec<Crash>,
    /// The number of members before the receiver in the ring to which it forwards the update.
    pub reach: u32,
}

/// Outcomes of the requests of a process at a service with a rollout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// The counts of the process.
    pub tally: RolloutTally,
    /// The time since the process received the order and began to count.
    pub order_age: Duration,
}

/// The regular liveness message of a process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The epoch of the sender's view.
    pub epoch: Epoch,
    /// The members that are known to the sender to have completed the handovers of its epoch.
    pub confirmations: ConfirmationReport,
    /// The version of the templates in force at the sender.
    pub version: TemplateVersion,
    /// The latest read by which the store held the operators' values of the sender.
    pub operator_read: Option<OperatorRead>,
    /// Digest of the operators' values in force at the sender.
    pub operators_digest: u64,
    /// Whether the sender serves callers.
    pub serving: bool,
    /// The version of the list of upstreams at the sender.
    pub upstream_list: ListVersion,
    /// Digest of all evacuations that the sender knows.
    pub evacuations_digest: u64,
    /// Digest of all rollouts that the sender knows.
    pub rollouts_digest: u64,
    /// Digest of all blocked requests that the sender knows.
    pub blocked_digest: u64,
    /// The wall-clock time of the sender, in milliseconds since 1970, if its driver has set one.
    pub wall_ms: Option<u64>,
    /// The demand for engines of all requests, as estimated by the sender.
    pub engine_demand: Vec<EngineDemand>,
    /// The upstreams at which requests are queued, as known to the sender.
    pub delay_reports: Vec<DelayReport>,
}

/// A request of one process for tokens of another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The requested budget.
    pub budget: BudgetId,
    /// The requested period.
    pub period: Period,
    /// The least amount that is useful to the requester.
    pub need: Tokens,
    /// The amount requested beyond `need`: for other waiting requests, or prefetched by a borrower.
    pub extra: Tokens,
}

/// The reason why a process gives no tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum NoTokensReason {
    /// The process does not hold the budget, or does not know the period.
    NotHolder,
    /// No tokens are free, but running requests or the ledger may return some after this time.
    Reserved(Duration),
    /// No tokens remain.
    Spent,
}

/// A transfer of tokens from one holder to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// The sequence number of the transfer, per sender and receiver.
    pub seq: u64,
    /// The sender has received acknowledgements for all transfers up to this number.
    pub acked_seq: u64,
    /// The budget of the tokens.
    pub budget: BudgetId,
    /// The period of the tokens.
    pub period: Period,
    /// The number of tokens.
    pub amount: Tokens,
    /// Whether the sender may have more tokens after a while.
    pub has_more: bool,
}

/// A parked amount of one budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ParkItem {
    /// The budget of the tokens.
    pub budget: BudgetId,
    /// The period of the tokens.
    pub period: Period,
    /// The sequence number of the owner for this budget.
    pub seq: u64,
    /// The total amount parked, which replaces the previous one.
    pub total: Tokens,
}

/// A request for the right to run a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The key.
    pub key: RequestKey,
    /// The region whose arbiter decides about the key, if a region does.
    pub home: Option<Region>,
    /// The serial number of the requester.
    pub serial: u64,
    /// The epoch of the requester.
    pub epoch: Epoch,
    /// Whether the request may run at most once.
    pub at_most_once: bool,
    /// The unreachable owner that the requester replaces.
    pub replaces: Option<(Incarnation, u64)>,
}

/// The decision of an arbiter on a [`ClaimRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimDecision {
    /// The requester may run the request.
    Granted {
        /// The upstream at which an earlier owner ran the request.
        previous_upstream: Option<UpstreamId>,
        /// How often the key has changed its owner.
        owner_changes: u32,
    },
    /// Another process owns the key.
    Owned {
        /// The owner.
        owner: Incarnation,
        /// The owner's serial number.
        serial: u64,
        /// The upstream that runs the request, if known.
        upstream: Option<UpstreamId>,
        /// Whether the request has ended.
        ended: bool,
    },
    /// The process cannot decide: it has another epoch, waits for handovers, or is not the arbiter.
    Wait {
        /// The upstream at which the request may have run, as known to the process.
        last_upstream: Option<UpstreamId>,
    },
    /// Earlier claims of the key may be lost, so an at-most-once request is not run.
    Uncertain,
}

/// A request for the right to bill a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleRequest {
    /// The key.
    pub key: RequestKey,
    /// The region whose arbiter decides about the key.
    pub home: Option<Region>,
    /// The id of the charge.
    pub id: ChargeId,
    /// The cost of the request.
    pub cost: Tokens,
}

/// The id of a charge: the owner of the request and its serial number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChargeId {
    /// The owner of the request.
    pub owner: Incarnation,
    /// The owner's serial number.
    pub serial: u64,
}

/// The cost of a request that has ended, until its arbiter decides who bills it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingCharge {
    /// The id of the charge.
    pub id: ChargeId,
    /// The account that is charged.
    pub account: Account,
    /// The budget that pays.
    pub budget: BudgetId,
    /// The period of the budget.
    pub period: Period,
    /// The key.
    pub key: RequestKey,
    /// The region whose arbiter decides about the key.
    pub home: Option<Region>,
    /// The id of the stream at the upstream.
    pub stream: String,
    /// The cost of the request.
    pub cost: Tokens,
}

/// The progress of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ClaimProgress {
    /// The owner may run the request.
    Held,
    /// The owner has reported that it is about to send the request to this upstream.
    Dispatched(UpstreamId),
    /// The request has ended and is billed at this cost.
    Ended(Tokens),
}

/// A claim as stored by its arbiter and its backup.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The key.
    pub key: RequestKey,
    /// The region whose arbiter decides about the key.
    pub home: Option<Region>,
    /// The process that may run the request.
    pub owner: Incarnation,
    /// The owner's serial number.
    pub serial: u64,
    /// How often the key has changed its owner.
    pub owner_changes: u32,
    /// Whether the request may run at most once.
    pub at_most_once: bool,
    /// The progress of the request.
    pub progress: ClaimProgress,
}

impl ClaimRecord {
    /// Returns whether the request has ended.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        matches!(self.progress, ClaimProgress::Ended(_))
    }
}

/// A part of an answer that one process sends to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerPart {
    /// The key.
    pub key: RequestKey,
    /// The owner's serial number.
    pub serial: u64,
    /// The index of the part in the answer.
    pub offset: u64,
    /// The content of the part.
    pub content: PartContent,
}

/// The content of a part of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartContent {
    /// The head of the answer.
    Head(Head),
    /// Data of the body, passed on unchanged.
    Data(Bytes),
    /// The end of a complete answer, with the cost of the request.
    End(Tokens),
    /// The answer broke off.
    Broken,
}

/// The head of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
}

/// A part of the claims that a member hands over; the next part is sent after its acknowledgement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverPart {
    /// The epoch of the view.
    pub epoch: Epoch,
    /// The index of the part, starting at 0.
    pub index: u32,
    /// The claims in this part.
    pub claims: Vec<ClaimRecord>,
}
