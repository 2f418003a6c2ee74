//! Counts calls to the store by purpose.
//!
//! The store serves a limited rate of calls for the whole fleet and may charge for each call, so
//! operators need to see which mechanism makes them.

use std::time::Duration;

use badgerfield_core::event::{StoreCall, StoreKey};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use crate::logs::PLATFORM;

/// The interval between log lines with the counts.
pub(crate) const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The purpose of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// Reads the membership view.
    ViewRead,
    /// Writes the membership view.
    ViewWrite,
    /// Writes the announcement of a joining process.
    JoinerWrite,
    /// Reads the announcements of joining processes.
    JoinersRead,
    /// Waits for announcements of joining processes.
    JoinersWatch,
    /// Reads a shard of the ledger.
    LedgerRead,
    /// Writes a shard of the ledger.
    LedgerWrite,
    /// Reads the record of a rollout.
    RolloutRead,
    /// Writes the record of a rollout.
    RolloutWrite,
    /// Reads the templates.
    TemplatesRead,
    /// Waits for a change to the templates.
    TemplatesWatch,
    /// Reads the list of upstreams.
    UpstreamsRead,
    /// Waits for a change to the list of upstreams.
    UpstreamsWatch,
    /// Reads the list of blocked requests.
    PoisonRead,
    /// Writes the list of blocked requests.
    PoisonWrite,
    /// Reads the record of versions.
    VersionsRead,
    /// Writes the record of versions.
    VersionsWrite,
    /// Reads records of streams' beginnings.
    StreamsRead,
    /// Writes records of streams' beginnings.
    StreamsWrite,
}

impl CallKind {
    const ALL: [Self; 19] = [
        Self::ViewRead,
        Self::ViewWrite,
        Self::JoinerWrite,
        Self::JoinersRead,
        Self::JoinersWatch,
        Self::LedgerRead,
        Self::LedgerWrite,
        Self::RolloutRead,
        Self::RolloutWrite,
        Self::TemplatesRead,
        Self::TemplatesWatch,
        Self::UpstreamsRead,
        Self::UpstreamsWatch,
        Self::PoisonRead,
        Self::PoisonWrite,
        Self::VersionsRead,
        Self::VersionsWrite,
        Self::StreamsRead,
        Self::StreamsWrite,
    ];

    /// Returns the purpose of a call.
    pub(crate) fn of(call: &StoreCall) -> Self {
        match call {
            StoreCall::Get(key) | StoreCall::GetCurrent(key) => Self::of_read(key),
            StoreCall::CompareAndSwap { key: StoreKey::Joiner(_), .. } => Self::JoinerWrite,
            StoreCall::CompareAndSwap { key: StoreKey::Templates, .. } => Self::TemplatesRead,
            StoreCall::CompareAndSwap { key: StoreKey::Rollout(_), .. } => Self::RolloutWrite,
            StoreCall::CompareAndSwap { key: StoreKey::Poison, .. } => Self::PoisonWrite,
            StoreCall::CompareAndSwap { key: StoreKey::Versions, .. } => Self::VersionsWrite,
            StoreCall::WriteAll { .. }
            | StoreCall::CompareAndSwap { key: StoreKey::StreamSegment(_), .. } => {
                Self::StreamsWrite
            }
            StoreCall::CompareAndSwap { key: StoreKey::View, .. } => Self::ViewWrite,
            StoreCall::CompareAndSwap { key: StoreKey::Ledger(_), .. } => Self::LedgerWrite,
        }
    }

    fn of_read(key: &StoreKey) -> Self {
        match key {
            StoreKey::View => Self::ViewRead,
            StoreKey::Joiner(_) => Self::JoinersRead,
            StoreKey::Templates => Self::TemplatesRead,
            StoreKey::Ledger(_) => Self::LedgerRead,
            StoreKey::Rollout(_) => Self::RolloutRead,
            StoreKey::Poison => Self::PoisonRead,
            StoreKey::Versions => Self::VersionsRead,
            StoreKey::StreamSegment(_) => Self::StreamsRead,
        }
    }

    fn as_str(self) -> &'static str {
        match self {
            Self::ViewRead => "view_read",
            Self::ViewWrite => "view_write",
            Self::JoinerWrite => "joiner_write",
            Self::JoinersRead => "joiners_read",
            Self::JoinersWatch => "joiners_watch",
            Self::LedgerRead => "ledger_read",
            Self::LedgerWrite => "ledger_write",
            Self::RolloutRead => "rollout_read",
            Self::RolloutWrite => "rollout_write",
            Self::TemplatesRead => "templates_read",
            Self::TemplatesWatch => "templates_watch",
            Self::UpstreamsRead => "upstreams_read",
            Self::UpstreamsWatch => "upstreams_watch",
            Self::PoisonRead => "poison_read",
            Self::PoisonWrite => "poison_write",
            Self::VersionsRead => "versions_read",
            Self::VersionsWrite => "versions_write",
            Self::StreamsRead => "streams_read",
            Self::StreamsWrite => "streams_write",
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PurposeLabel {
    purpose: &'static str,
}

/// The counts of store calls since the process started.
#[derive(Debug, Default)]
pub(crate) struct StoreCalls {
    counts: Family<PurposeLabel, Counter>,
}

impl StoreCalls {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Calls to the platform's store by purpose";
        registry.register("kv_calls", help, self.counts.clone());
    }

    pub(crate) fn count(&self, kind: CallKind) {
        self.counts.get_or_create(&PurposeLabel { purpose: kind.as_str() }).inc();
    }

    /// Logs the counts in one line.
    pub(crate) fn log(&self) {
        let count = |kind: CallKind| {
            let label = PurposeLabel { purpose: kind.as_str() };
            format!("{}={}", kind.as_str(), self.counts.get_or_create(&label).get())
        };
        let counts: Vec<_> = CallKind::ALL.into_iter().map(count).collect();
        log::info!(target: PLATFORM, "calls {}", counts.join(" "));
    }
}
