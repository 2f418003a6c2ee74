//! Rollouts: moving the requests of a service to another version of its software.
//!
//! An operator orders a rollout. A bounded share of the requests goes to the new version as a
//! canary, and their outcomes are compared with those of the version in use. Then all requests move
//! to the new version, or all go back to the old one.

mod evidence;
mod judge;
mod known_rollouts;
mod log_entry;
pub mod plan;
mod record;
mod recorded_evidence;
mod recorder;
mod table;
pub mod tally;
pub mod verdict;

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::amount::Percent;
use crate::ids::{Service, SoftwareVersion};

pub use evidence::Evidence;
pub use judge::Judge;
pub use known_rollouts::{KnownRollout, KnownRollouts, RolloutPhase, RolloutProgress};
pub use log_entry::RolloutLogEntry;
pub use record::{RecordError, RolloutRecord, RolloutState};
pub use recorded_evidence::RecordedEvidence;
pub use recorder::{Recorder, RecorderCall, StepContext};
pub use table::RolloutStatus;
pub(crate) use table::Rollouts;

/// The latest change of an operator's order for a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderChange {
    /// The service.
    pub service: Service,
    /// The store's revision at which it was ordered or withdrawn.
    pub revision: u64,
    /// The order; `None` if it was withdrawn.
    pub order: Option<RolloutOrder>,
}

/// An order to move a service to a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The version that all requests are to move to.
    pub target: SoftwareVersion,
    /// The time within which all requests are to move, from the time of the order.
    pub span: Duration,
}

/// Which requests of a service may go to the target of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Allowance {
    /// None: the target is not tried yet, or was judged bad.
    Nothing,
    /// This share of the requests of each route.
    Share(Percent),
    /// All; none go to other versions.
    All,
}

/// The reason for a step of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutReason {
    /// An operator ordered it.
    Ordered,
    /// The answers of the target are as good as those of the other versions.
    Good,
    /// The target fails more requests than the other versions.
    Failures,
    /// More answers of the target are late than of the other versions.
    Slowness,
    /// The target gave so many bad answers that the verdict does not wait for statistical proof.
    ManyBad,
    /// No upstream of the target took requests in time.
    NoUpstreams,
    /// Requests arrived, but the target answered none of them in time.
    NoEvidence,
    /// The operator withdrew the order.
    Withdrawn,
    /// All members have moved their requests to the target.
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

/// The rule by which a process divides the requests of a service between versions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRule {
    /// The service.
    pub service: Service,
    /// The revision of the order that the rule follows from.
    pub revision: u64,
    /// The target of the order.
    pub target: SoftwareVersion,
    /// The requests that the target may get.
    pub allowance: Allowance,
}

/// All rules in force at one time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RolloutRules {
    /// Increases with each set. Threads may apply sets in another order than that in which they
    /// were made; the set with the highest number is in force.
    pub sequence: u64,
    /// The rules. Requests of a service without a rule may go to any version.
    pub rules: Vec<RolloutRule>,
}

/// Counts of answers by their outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerCounts {
    /// Requests that were answered, or ended without a complete answer.
    pub answers: u32,
    /// Answers that failed.
    pub failed: u32,
    /// Answers that did not fail but arrived several times later than expected.
    pub slow: u32,
}

/// The counts of one route at one process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTally {
    /// The route.
    pub route: String,
    /// Answers of the target.
    pub target: AnswerCounts,
    /// Answers of other versions over the same time.
    pub others: AnswerCounts,
}

/// The counts of one process since it received an order. Counts only grow, so a newer tally
/// replaces an older one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutTally {
    /// The service.
    pub service: Service,
    /// The revision of the order.
    pub revision: u64,
    /// The counts of each route.
    pub routes: Vec<RouteTally>,
    /// The counts of each upstream of the target, under the numbers that identify upstreams in
    /// messages.
    pub upstreams: Vec<(u32, AnswerCounts)>,
    /// The number of upstreams of the target that take requests.
    pub ready: u32,
    /// The number of requests of this process that are running at other versions.
    pub running: u32,
    /// Whether [`Allowance::All`] was in force for this order when `running` was counted, so that
    /// no more requests are sent to other versions. Both are read in one step: a count of zero from
    /// before the rule took effect proves nothing.
    pub moved: bool,
}

/// The platform's limits on requests to a version that may turn out to be bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutBound {
    /// The largest share of all requests to a service that its new version may get.
    pub share: Percent,
    /// The number of requests that it may get in addition.
    pub extra_requests: u32,
    /// How long after the verdict requests may still be sent to a bad version.
    pub rollback_time: Duration,
}

impl Default for RolloutBound {
    /// Returns limits that are common for canaries, for platforms that set none.
    fn default() -> Self {
        Self { share: Percent::FIVE, extra_requests: 20, rollback_time: Duration::from_secs(5) }
    }
}
