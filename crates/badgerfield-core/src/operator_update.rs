//! Updates about operators' values, as members broadcast them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, TemplateVersion};
use crate::template::TemplateDelta;

/// A read of operators' values from the store.
///
/// The time that a message spends on its way is not part of the age. A process therefore counts each
/// read once: otherwise members that tell each other of a read would make it younger each time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorRead {
    /// The process that has read.
    pub reader: Incarnation,
    /// How long that process had run when it requested the read.
    pub uptime: Duration,
    /// The response time of the store.
    pub took: Duration,
    /// The time since the read was requested, as far as the sender knows.
    pub age: Duration,
}

/// An update about operators' values, broadcast to all members. With a read it confirms the values to
/// members that have the same.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorUpdate {
    /// The change of the templates, if they have changed and it is small.
    pub delta: Option<Box<TemplateDelta>>,
    /// The version of the templates in the store.
    pub version: TemplateVersion,
    /// Digest of all operators' values in the store.
    pub digest: u64,
    /// The read that found the values; `None` if a watch has shown the change, which says nothing
    /// about later ones.
    pub read: Option<OperatorRead>,
    /// The number of members before the receiver in the ring to which it forwards the update.
    pub reach: u32,
}
