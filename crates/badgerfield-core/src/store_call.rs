//! Calls to the store, their results, and the values there.

use bytes::Bytes;

use crate::evacuation::DomainChange;
use crate::ids::{Service, VmId};
use crate::rollout::OrderChange;
use crate::stream_segments::SegmentId;

/// A value in the store with its revision; revision 0 means that there is no value.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Versioned {
    /// The stored bytes.
    pub value: Option<Bytes>,
    /// The revision of the value.
    pub revision: u64,
}

/// All values of operators in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OperatorValues {
    /// The revision of the store at which the values were read.
    pub revision: u64,
    /// The templates in the core's format; `None` if there are no valid ones.
    pub templates: Option<Bytes>,
    /// The evacuated failure domains.
    pub evacuated: Vec<DomainChange>,
    /// The ordered rollouts.
    pub rollouts: Vec<OrderChange>,
}

/// Changes of operators' values in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OperatorChanges {
    /// The revision of the store up to which all changes are known.
    pub revision: u64,
    /// The newest templates, if they have changed and are valid.
    pub templates: Option<Bytes>,
    /// The failure domains that were evacuated or restored.
    pub domains: Vec<DomainChange>,
    /// The rollouts that were ordered or withdrawn.
    pub rollouts: Vec<OrderChange>,
}

/// The result of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreResult {
    /// The value that was read.
    Value(Versioned),
    /// All values of operators, from a platform that keeps others besides the templates.
    Operators(OperatorValues),
    /// The value was written with this revision.
    Written(u64),
    /// The stored value has another revision; nothing was written.
    Conflict(Versioned),
    /// The store rejected the call.
    Refused,
    /// No answer arrived: the call may have taken effect.
    Unknown,
}

/// The key of a value in the store.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StoreKey {
    /// The templates.
    Templates,
    /// The membership view.
    View,
    /// The announcement of the process on a VM that is joining.
    Joiner(VmId),
    /// A shard of the ledger.
    Ledger(u32),
    /// The progress of a service's rollout, for operators to read.
    Rollout(Service),
    /// The requests that are blocked because upstreams crashed under them.
    Poison,
    /// The versions that may begin streams.
    Versions,
    /// Records of streams' beginnings.
    StreamSegment(SegmentId),
}

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads a value.
    Get(StoreKey),
    /// Reads a value in a transaction, so that the answer is not from the past.
    GetCurrent(StoreKey),
    /// Writes a value if the stored one has the expected revision.
    CompareAndSwap {
        /// The key to write.
        key: StoreKey,
        /// The expected revision of the stored value; 0 if there must be none.
        expected_revision: u64,
        /// The value to write.
        value: Bytes,
    },
    /// Writes and removes values whatever their revisions, all or none.
    WriteAll {
        /// The values to write.
        put: Vec<(StoreKey, Bytes)>,
        /// The values to remove.
        delete: Vec<StoreKey>,
    },
}
