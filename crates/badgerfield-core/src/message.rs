//! Messages between the processes of the system.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::amount::Tokens;
use crate::confirmations::ConfirmationReport;
use crate::evacuation::DomainChange;
use crate::ids::{
    Account, BudgetId, Epoch, Incarnation, Period, Region, RequestKey, TemplateVersion, UpstreamId,
};
use crate::ledger::{LedgerOp, LedgerReply};
use crate::poison::Crash;
use crate::queueing_delay::DelayReport;
use crate::rate_limit::LimitReport;
use crate::request_mix::EngineDemand;
use crate::rollout::{KnownRollout, RolloutTally};
use crate::template::{TemplateDelta, TemplateSet};
use crate::upstream_list::{ListVersion, UpstreamList, UpstreamListChanges};
use crate::view::Member;
use crate::view_update::ViewUpdate;

/// One message with its sender and receiver.
///
/// A process drops what is meant for another incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Who sent it.
    pub from: Incarnation,
    /// Where the sender takes messages: the receiver may not know it as a member yet.
    pub sender_address: SocketAddr,
    /// For whom it is.
    pub to: Incarnation,
    /// What it says.
    pub message: Message,
}

/// What one process says to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The sender is alive and has these versions in force.
    Heartbeat(Heartbeat),
    /// Asks a member to write the sender into the view.
    Join(Member),
    /// Asks for the view and for templates newer than a version.
    Fetch {
        /// The epoch that the sender has.
        epoch: Epoch,
        /// The version of the templates that the sender has.
        version: TemplateVersion,
        /// Whether the sender wants the whole set.
        whole: bool,
    },
    /// A newer view, as a difference where the sender knows one.
    View(ViewUpdate),
    /// Newer templates, as a difference.
    TemplateDelta(Box<TemplateDelta>),
    /// Newer templates, whole.
    Templates(Box<TemplateSet>),
    /// Changes of the list of upstreams, passed on to all.
    UpstreamChanges(UpstreamUpdate),
    /// Asks for the list of upstreams.
    FetchUpstreams {
        /// The revision of the list up to which the sender knows every change; 0 for none, which
        /// asks for the whole list.
        since: u64,
    },
    /// The whole list of upstreams.
    Upstreams(UpstreamList),
    /// Failure domains were evacuated or taken back; passed on to all.
    Evacuations(EvacuationUpdate),
    /// All that the sender knows of evacuated domains; asks for what the receiver knows beyond.
    CompareEvacuations(Vec<DomainChange>),
    /// Roll-outs were ordered, or have come further; passed on to all.
    Rollouts(RolloutUpdate),
    /// All that the sender knows of roll-outs; asks for what the receiver knows beyond.
    CompareRollouts(Vec<KnownRollout>),
    /// Upstreams ended under requests, or such requests were served since; passed on to all.
    Crashes(CrashUpdate),
    /// All that the sender knows of blocked requests; asks for what the receiver knows beyond.
    CompareCrashes(Vec<Crash>),
    /// How the requests of the sender went at a service of which the receiver is a judge.
    RolloutReport(RolloutReport),
    /// Asks for changes in the ledger.
    LedgerRequest(Vec<LedgerOp>),
    /// What became of changes in the ledger.
    LedgerReplies(Vec<(BudgetId, Period, LedgerReply)>),
    /// Asks another holder for tokens.
    TokenRequest(TokenRequest),
    /// Answers an [`TokenRequest`] that has nothing to give.
    NoTokens {
        /// The budget.
        budget: BudgetId,
        /// The period.
        period: Period,
        /// How much was asked for; where something may come back to a holder, how much that may
        /// be.
        need: Tokens,
        /// Why there is nothing.
        reason: NoTokensReason,
    },
    /// Hands tokens over; resent until acknowledged.
    Transfer(Transfer),
    /// Acknowledges a transfer.
    TransferAck {
        /// The transfer's sequence number.
        seq: u64,
    },
    /// Sets parked amounts; resent until acknowledged.
    Park(Vec<ParkItem>),
    /// Acknowledges parked amounts.
    ParkAck(Vec<ParkItem>),
    /// Asks the arbiter for the right to run a key.
    ClaimRequest(ClaimRequest),
    /// The arbiter's answer.
    ClaimReply {
        /// The key.
        key: RequestKey,
        /// The serial number of the ask.
        serial: u64,
        /// The arbiter's epoch.
        epoch: Epoch,
        /// What it decided.
        decision: ClaimDecision,
    },
    /// Keeps a second copy of a claim.
    ClaimBackup {
        /// The arbiter's epoch.
        epoch: Epoch,
        /// The claim.
        claim: ClaimRecord,
    },
    /// Acknowledges a copy.
    ClaimBackupAck {
        /// The key.
        key: RequestKey,
        /// The owner's serial number.
        serial: u64,
        /// Whether the copy says that the request has ended.
        ended: bool,
    },
    /// The owner is about to send the request to an upstream.
    Dispatching {
        /// The key.
        key: RequestKey,
        /// The owner's serial number.
        serial: u64,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The owner has not run the request and never will.
    Release {
        /// The key.
        key: RequestKey,
        /// The owner's serial number.
        serial: u64,
    },
    /// The owner's request has ended; asks whether the owner may bill it.
    SettleRequest(SettleRequest),
    /// Tells whether the owner may bill the request.
    SettleReply {
        /// The charge.
        id: ChargeId,
        /// The arbiter's epoch.
        epoch: Epoch,
        /// Whether the charge may be billed.
        billed: bool,
    },
    /// Charges that the sender cannot settle before it ends.
    Charges(Vec<PendingCharge>),
    /// Acknowledges charges that were taken over.
    ChargesAck(Vec<ChargeId>),
    /// Claims that the receiver now decides about or keeps.
    Handover(HandoverPart),
    /// Acknowledges a part of a hand-over.
    HandoverAck {
        /// The view's number.
        epoch: Epoch,
        /// The part's number.
        part: u32,
    },
    /// Asks the owner of a key for the answer from an offset on.
    AnswerRequest {
        /// The key.
        key: RequestKey,
        /// The region that decides about the key.
        home: Option<Region>,
        /// The owner's serial number.
        serial: u64,
        /// The first part that is wanted.
        offset: u64,
    },
    /// A part of an answer.
    AnswerPart(AnswerPart),
    /// The owner is still at it and has nothing new.
    AnswerPending {
        /// The key.
        key: RequestKey,
        /// The owner's serial number.
        serial: u64,
    },
    /// The owner has no such request and will not run it.
    UnknownRequest {
        /// The key.
        key: RequestKey,
        /// The serial number that was asked for.
        serial: u64,
    },
    /// The limits that upstreams name, or have ceased to name, as far as the sender knows.
    LimitReports(Vec<LimitReport>),
}

impl Message {
    /// Names the kind of the message, for counts.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat",
            Self::Fetch { .. } | Self::Join(_) | Self::View(_) => "view",
            Self::TemplateDelta(_) | Self::Templates(_) => "templates",
            Self::LedgerRequest(_) | Self::LedgerReplies(_) => "draw",
            Self::UpstreamChanges(_) | Self::FetchUpstreams { .. } | Self::Upstreams(_) => {
                "upstreams"
            }
            Self::Evacuations(_) | Self::CompareEvacuations(_) => "evacuations",
            Self::Rollouts(_) | Self::CompareRollouts(_) | Self::RolloutReport(_) => "rollouts",
            Self::Crashes(_) | Self::CompareCrashes(_) => "crashes",
            Self::LimitReports(_) => "limits",
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

    /// Tells whether the message may as well be lost, since a newer one follows soon.
    #[must_use]
    pub fn is_repeated(&self) -> bool {
        matches!(self, Self::Heartbeat(_) | Self::LimitReports(_))
    }
}

/// News of the list of upstreams on its way to all members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamUpdate {
    /// What changed; it may be nothing but the revision.
    pub changes: UpstreamListChanges,
    /// Whoever knows every change up to this revision knows, with these, every change up to
    /// that of the mark.
    pub since: u64,
    /// The list to which this leads, at whoever read it from the platform.
    pub version: ListVersion,
    /// To how many members before it in the ring the receiver passes this on.
    pub reach: u32,
}

/// News of evacuated failure domains on its way to all members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationUpdate {
    /// What operators did.
    pub changes: Vec<DomainChange>,
    /// To how many members before it in the ring the receiver passes this on.
    pub reach: u32,
}

/// News of roll-outs on its way to all members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutUpdate {
    /// What is known of the services that the news is about.
    pub known: Vec<KnownRollout>,
    /// To how many members before it in the ring the receiver passes this on.
    pub reach: u32,
}

/// News of upstreams that ended under requests, on its way to all members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// What happened.
    pub crashes: Vec<Crash>,
    /// To how many members before it in the ring the receiver passes this on.
    pub reach: u32,
}

/// How the requests of a process went at a service that is rolled out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// Its counts.
    pub tally: RolloutTally,
    /// For how long it has known the order, and counted.
    pub order_age: Duration,
}

/// The regular sign of life.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The epoch that the sender has.
    pub epoch: Epoch,
    /// What the sender knows of the hand-overs of its epoch.
    pub confirmations: ConfirmationReport,
    /// The version of the templates in force at the sender.
    pub version: TemplateVersion,
    /// Whether the sender serves callers.
    pub serving: bool,
    /// How much the sender knows of the list of upstreams.
    pub upstream_list: ListVersion,
    /// Stands for all that the sender knows of evacuated failure domains.
    pub evacuations_digest: u64,
    /// Stands for all that the sender knows of roll-outs.
    pub rollouts_digest: u64,
    /// Stands for all that the sender knows of blocked requests.
    pub blocked_digest: u64,
    /// The time of day at the sender, in milliseconds since 1970, if it has told it.
    pub wall_ms: Option<u64>,
    /// What the sender takes requests to need of engines, its own and others'.
    pub needs: Vec<EngineDemand>,
    /// The upstreams at which requests wait, as far as the sender knows.
    pub delay_reports: Vec<DelayReport>,
}

/// A holder's wish for tokens of another holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The budget.
    pub budget: BudgetId,
    /// The period.
    pub period: Period,
    /// The least that would help.
    pub need: Tokens,
    /// What is wanted beside that: for others who wait, or by a borrower for the requests of its
    /// next moments.
    pub extra: Tokens,
}

/// Why a process has no tokens to give.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum NoTokensReason {
    /// It does not hold the budget, or does not know its period.
    NotHolder,
    /// Something may come back from running requests, or from the ledger, after a while.
    Reserved(Duration),
    /// Nothing is left.
    Spent,
}

/// Tokens on their way from one holder to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// The giver's sequence number towards this receiver.
    pub seq: u64,
    /// Every number up to this one is acknowledged.
    pub acked_seq: u64,
    /// The budget.
    pub budget: BudgetId,
    /// The period.
    pub period: Period,
    /// How many.
    pub amount: Tokens,
    /// Whether the giver may have more in a while.
    pub has_more: bool,
}

/// A parked amount of one budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ParkItem {
    /// The budget.
    pub budget: BudgetId,
    /// The period.
    pub period: Period,
    /// The owner's sequence number for this budget.
    pub seq: u64,
    /// How much is parked from now on.
    pub total: Tokens,
}

/// A wish to run a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The key.
    pub key: RequestKey,
    /// The region that decides about the key, where one does.
    pub home: Option<Region>,
    /// The asker's serial number.
    pub serial: u64,
    /// The asker's epoch.
    pub epoch: Epoch,
    /// Whether the request may run at most once.
    pub at_most_once: bool,
    /// The owner that the asker replaces, because it could not be reached.
    pub replaces: Option<(Incarnation, u64)>,
}

/// What the arbiter decided.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimDecision {
    /// The asker may run the request.
    Granted {
        /// The upstream on which an earlier owner ran it.
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
        /// The upstream, once known.
        upstream: Option<UpstreamId>,
        /// Whether the request has ended.
        ended: bool,
    },
    /// The arbiter has another epoch, waits for hand-overs, or is another.
    Wait {
        /// The upstream on which the key may have run, as far as the answerer knows.
        hint: Option<UpstreamId>,
    },
    /// The key's memory may be lost, so an unrepeatable request is not run.
    Uncertain,
}

/// A wish to bill a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleRequest {
    /// The key.
    pub key: RequestKey,
    /// The region that decides about the key.
    pub home: Option<Region>,
    /// The charge.
    pub id: ChargeId,
    /// What the request cost.
    pub cost: Tokens,
}

/// The name of a charge: the owner of the request and its serial number there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChargeId {
    /// The owner.
    pub owner: Incarnation,
    /// The owner's serial number.
    pub serial: u64,
}

/// What an ended request costs, until its arbiter says who bills it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingCharge {
    /// The name.
    pub id: ChargeId,
    /// The account.
    pub account: Account,
    /// The budget that paid.
    pub budget: BudgetId,
    /// The period in which it paid.
    pub period: Period,
    /// The key.
    pub key: RequestKey,
    /// The region that decides about the key.
    pub home: Option<Region>,
    /// The name of the stream at the upstream.
    pub stream: String,
    /// What the request cost.
    pub cost: Tokens,
}

/// How far a claim has come.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ClaimProgress {
    /// The owner may run the request.
    Held,
    /// The owner was about to send it to this upstream.
    Dispatched(UpstreamId),
    /// The request has ended and is billed at this cost.
    Ended(Tokens),
}

/// One claim as arbiters and keepers remember it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The key.
    pub key: RequestKey,
    /// The region that decides about the key.
    pub home: Option<Region>,
    /// Who may run it.
    pub owner: Incarnation,
    /// The owner's serial number.
    pub serial: u64,
    /// How often the key changed its owner.
    pub owner_changes: u32,
    /// Whether the request may run at most once.
    pub at_most_once: bool,
    /// How far it has come.
    pub progress: ClaimProgress,
}

impl ClaimRecord {
    /// Tells whether the request has ended.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        matches!(self.progress, ClaimProgress::Ended(_))
    }
}

/// A part of an answer that one process passes to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerPart {
    /// The key.
    pub key: RequestKey,
    /// The owner's serial number.
    pub serial: u64,
    /// The part's place in the answer.
    pub offset: u64,
    /// What the part is.
    pub content: PartContent,
}

/// What a part of an answer is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartContent {
    /// The head of the answer.
    Head(Head),
    /// Data, passed on as they are.
    Data(Bytes),
    /// The end of a whole answer.
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

/// One part of the claims that a member hands over; the next follows its acknowledgement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverPart {
    /// The view's number.
    pub epoch: Epoch,
    /// The part's number, from 0 on.
    pub index: u32,
    /// The claims.
    pub claims: Vec<ClaimRecord>,
}
