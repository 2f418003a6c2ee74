//! Counts messages to peers by kind.
//!
//! The traffic between peers grows with the size of the fleet, so operators need to see which
//! mechanism causes it.

use std::collections::BTreeMap;
use std::sync::Mutex;

use badgerfield_core::message::Message;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use crate::logs::NODE;
use crate::sync::lock;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabel {
    kind: &'static str,
}

/// The counts of messages to peers since the process started.
#[derive(Debug, Default)]
pub(crate) struct PeerTraffic {
    counts: Family<KindLabel, Counter>,
    /// The counts at the last log line, so that the next one reports only increases.
    logged_counts: Mutex<BTreeMap<&'static str, u64>>,
}

impl PeerTraffic {
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register("peer_messages", "Messages sent to peers by kind", self.counts.clone());
    }

    pub(crate) fn count(&self, message: &Message) {
        let kind = message.kind();
        self.counts.get_or_create(&KindLabel { kind }).inc();
        // Log lines include only the kinds that have an entry here.
        lock(&self.logged_counts).entry(kind).or_default();
    }

    /// Logs the number of messages of each kind since the last log line, in one line.
    pub(crate) fn log(&self) {
        let mut increases = Vec::new();
        for (kind, logged) in lock(&self.logged_counts).iter_mut() {
            let count = self.counts.get_or_create(&KindLabel { kind }).get();
            if count > *logged {
                increases.push(format!("{kind}={}", count - *logged));
            }
            *logged = count;
        }
        if !increases.is_empty() {
            log::info!(target: NODE, "messages {}", increases.join(" "));
        }
    }
}
