//! Roll-outs: moving the requests of a service to another version of its software.
//!
//! An operator orders it. A bounded share of the requests tries the new version, and what comes
//! of them is compared with the version that is there; then all requests move over, or back.

mod belief;
mod evidence;
mod judge;
mod note;
pub mod plan;
mod record;
mod recorder;
mod table;
pub mod tally;
pub mod verdict;

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::amount::Percent;
use crate::ids::{Service, SoftwareVersion};

pub use belief::{KnownRollout, KnownRollouts, RolloutPhase, RolloutProgress};
pub use evidence::Evidence;
pub use judge::Judge;
pub use note::RolloutLogEntry;
pub use record::{RecordError, RolloutRecord, RolloutState};
pub use recorder::{Recorder, RecorderCall, StepContext};
pub use table::RolloutStatus;
pub(crate) use table::Rollouts;

/// What an operator last ordered for a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderChange {
    /// The service.
    pub service: Service,
    /// The platform's revision at which it was ordered or withdrawn.
    pub revision: u64,
    /// The order; nothing if it was withdrawn.
    pub order: Option<RolloutOrder>,
}

/// An order to move a service to a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The version that all requests should move to.
    pub target: SoftwareVersion,
    /// Within which time of the order.
    pub span: Duration,
}

/// Which requests of a service may go to the version that is rolled out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Allowance {
    /// None: it is not tried yet, or was found to be bad.
    Nothing,
    /// This part of the requests of each route.
    Share(Percent),
    /// All, and none go to other versions.
    All,
}

/// Why a roll-out takes a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutReason {
    /// It was ordered.
    Ordered,
    /// The target does as well as the other versions, by what it answered.
    Good,
    /// The target fails more requests than the other versions.
    Failures,
    /// The target answers more requests late than the other versions.
    Slowness,
    /// The target gave so many bad answers that it is not waited for proof.
    ManyBad,
    /// No upstream of the target took requests in time.
    NoUpstreams,
    /// Requests came, and none of the target was answered in time.
    NoEvidence,
    /// The order was withdrawn.
    Withdrawn,
    /// All members have moved to it.
    Moved,
}

impl fmt::Display for RolloutReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ordered => "ordered",
            Self::Good => "good",
            Self::Failures => "failures",
            Self::Slowness => "slowness",
            Self::ManyBad => "many_bad",
            Self::NoUpstreams => "no_upstreams",
            Self::NoEvidence => "no_evidence",
            Self::Withdrawn => "withdrawn",
            Self::Moved => "moved",
        })
    }
}

/// How the requests of one service divide between versions, as a process believes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRule {
    /// The service.
    pub service: Service,
    /// The revision of the order that the rule follows from.
    pub revision: u64,
    /// The version that is rolled out.
    pub target: SoftwareVersion,
    /// Which requests it may get.
    pub allowance: Allowance,
}

/// All rules at one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RolloutRules {
    /// Rises with each set: threads may carry sets out in another order than they were made.
    pub sequence: u64,
    /// The rules; of what none names, all may go anywhere.
    pub rules: Vec<RolloutRule>,
}

/// How requests went.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerCounts {
    /// Requests that were answered, or ended without the answer that was due.
    pub answers: u32,
    /// Those of them that failed.
    pub failed: u32,
    /// Those that did not fail, and came several times later than expected.
    pub slow: u32,
}

/// How the requests of one route went, at one process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTally {
    /// The route.
    pub route: String,
    /// Those at the version that is rolled out.
    pub target: AnswerCounts,
    /// Those at other versions, in the same time.
    pub others: AnswerCounts,
}

/// How requests went at one process since it learned of an order. Counts only grow, so that a
/// newer tally replaces an older one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutTally {
    /// The service.
    pub service: Service,
    /// The revision of the order.
    pub revision: u64,
    /// By route.
    pub routes: Vec<RouteTally>,
    /// By upstream of the version that is rolled out, under the numbers that stand for
    /// upstreams in messages.
    pub upstreams: Vec<(u32, AnswerCounts)>,
    /// How many upstreams of that version take requests.
    pub ready: u32,
    /// How many requests of this process are under way at other versions.
    pub running: u32,
    /// Whether [`Allowance::All`] was in force for this order when that was counted, so that
    /// none is sent there any more. Both are read in one step: a count of none from before the
    /// rule says nothing.
    pub moved: bool,
}

/// What the platform allows a version that turns out to be bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutBound {
    /// The most of all requests that reach a service which its new version may get.
    pub share: Percent,
    /// How many requests it may get beside that.
    pub extra_requests: u32,
    /// How long after a version was found to be bad it may still be sent requests.
    pub rollback: Duration,
}

impl Default for RolloutBound {
    /// Takes what is usual for canaries, where the platform names nothing.
    fn default() -> Self {
        Self { share: Percent::FIVE, extra_requests: 20, rollback: Duration::from_secs(5) }
    }
}
