//! Counts the messages to other processes by their kind.
//!
//! What a fleet says to itself grows with its size, so an operator must see which mechanism
//! says it.

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

/// The counts of messages since the process started.
#[derive(Debug, Default)]
pub(crate) struct PeerTraffic {
    counts: Family<KindLabel, Counter>,
    /// What the log said last, so that it names only what has grown.
    logged: Mutex<BTreeMap<&'static str, u64>>,
}

impl PeerTraffic {
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register("peer_messages", "Messages sent to peers by kind", self.counts.clone());
    }

    /// Counts a message.
    pub(crate) fn count(&self, message: &Message) {
        let kind = message.kind();
        self.counts.get_or_create(&KindLabel { kind }).inc();
        // The lines of the log name the kinds that are listed here.
        lock(&self.logged).entry(kind).or_default();
    }

    /// Logs in one line how many messages of each kind there were since the last one.
    pub(crate) fn log(&self) {
        let mut grown = Vec::new();
        for (kind, said) in lock(&self.logged).iter_mut() {
            let count = self.counts.get_or_create(&KindLabel { kind }).get();
            if count > *said {
                grown.push(format!("{kind}={}", count - *said));
            }
            *said = count;
        }
        if !grown.is_empty() {
            log::info!(target: NODE, "messages {}", grown.join(" "));
        }
    }
}
