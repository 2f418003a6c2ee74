//! What the log says of roll-outs.

use std::fmt;

use super::{AnswerCounts, Evidence, KnownRollout, RolloutReason, RolloutRecord};
use crate::ids::Service;

/// One line about a roll-out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RolloutLogEntry {
    /// An order, or how far it has come, is news here.
    Updated(KnownRollout),
    /// This process found the target of an order bad.
    Rejected {
        /// The service.
        service: Service,
        /// The revision of the order.
        revision: u64,
        /// Why.
        reason: RolloutReason,
        /// What it was judged by.
        evidence: Evidence,
    },
    /// This process writes the record.
    WritingRecord {
        /// The service.
        service: Service,
        /// The record.
        record: RolloutRecord,
        /// What was known when it was written.
        evidence: Evidence,
    },
    /// A call about the record did not do what it was made for.
    CallFailed {
        /// The service.
        service: Service,
        /// What came of it.
        outcome: &'static str,
    },
}

impl fmt::Display for RolloutLogEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Updated(known) => {
                let service = &known.change.service;
                write!(f, "roll-out of {service} order {}", known.change.revision)?;
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
                write!(f, "roll-out of {service} order {revision} found bad: {reason}; ")?;
                describe(f, evidence)
            }
            Self::WritingRecord { service, record, evidence } => {
                let RolloutRecord { state, target, order, moving, reason, .. } = record;
                write!(f, "roll-out of {service} order {order} to {target} written as {state:?}")?;
                write!(f, ", moving {moving}, {reason}; ")?;
                describe(f, evidence)
            }
            Self::CallFailed { service, outcome } => {
                write!(f, "record of the roll-out of {service}: {outcome}; it is looked up")
            }
        }
    }
}

fn describe(f: &mut fmt::Formatter<'_>, evidence: &Evidence) -> fmt::Result {
    let show = |f: &mut fmt::Formatter<'_>, name: &str, counts: AnswerCounts| {
        write!(
            f,
            "{name} {} answers, {} failed, {} slow",
            counts.answers, counts.failed, counts.slow
        )
    };
    show(f, "target", evidence.target())?;
    show(f, "; others", evidence.others())?;
    write!(f, "; {} upstreams, {} routes", evidence.upstreams.len(), evidence.routes.len())
}
