//! Log entries about rollouts.

use std::fmt;

use super::{AnswerCounts, Evidence, KnownRollout, RolloutReason, RolloutRecord};
use crate::ids::Service;

/// One log entry about a rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RolloutLogEntry {
    /// This process received a new order or new progress of an order.
    Updated(KnownRollout),
    /// This process judged the target of an order bad.
    Rejected {
        /// The service.
        service: Service,
        /// The revision of the order.
        revision: u64,
        /// The reason.
        reason: RolloutReason,
        /// The evidence of the verdict.
        evidence: Evidence,
    },
    /// This process writes the record.
    WritingRecord {
        /// The service.
        service: Service,
        /// The record.
        record: RolloutRecord,
        /// The evidence when it was written.
        evidence: Evidence,
    },
    /// A store call for the record failed, or its outcome is unknown.
    CallFailed {
        /// The service.
        service: Service,
        /// The outcome of the call.
        outcome: &'static str,
    },
}

impl fmt::Display for RolloutLogEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Updated(known) => {
                let service = &known.change.service;
                write!(f, "rollout of {service} order {}", known.change.revision)?;
                match &known.change.order {
                    Some(order) => write!(f, " to {} within {:?}", order.target, order.span)?,
                    None => f.write_str(" withdrawn")?,
                }
                match &known.stage {
                    Some(stage) => write!(f, ": {:?}, {}", stage.phase, stage.reason),
                    None => f.write_str(": no record known"),
                }
            }
            Self::Rejected { service, revision, reason, evidence } => {
                write!(f, "rollout of {service} order {revision} found bad: {reason}; ")?;
                write_evidence(f, evidence)
            }
            Self::WritingRecord { service, record, evidence } => {
                let RolloutRecord { state, target, order, moving, reason, .. } = record;
                write!(f, "rollout of {service} order {order} to {target} written as {state:?}")?;
                write!(f, ", moving {moving}, {reason}; ")?;
                write_evidence(f, evidence)
            }
            Self::CallFailed { service, outcome } => {
                write!(f, "record of the rollout of {service}: {outcome}; reading it next")
            }
        }
    }
}

fn write_evidence(f: &mut fmt::Formatter<'_>, evidence: &Evidence) -> fmt::Result {
    let write_counts = |f: &mut fmt::Formatter<'_>, name: &str, counts: AnswerCounts| {
        write!(
            f,
            "{name} {} answers, {} failed, {} slow",
            counts.answers, counts.failed, counts.slow
        )
    };
    write_counts(f, "target", evidence.target())?;
    write_counts(f, "; others", evidence.others())?;
    write!(f, "; {} upstreams, {} routes", evidence.upstreams.len(), evidence.routes.len())
}
