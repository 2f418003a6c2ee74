//! Applies evacuations: upstreams in an evacuated failure domain receive no new requests.

use badgerfield_core::evacuation::DomainChange;
use badgerfield_core::ids::Incarnation;

use crate::driver::Driver;
use crate::logs::PLATFORM;

impl Driver {
    /// Stops or resumes sending requests to the upstreams of the given domains, and logs each change.
    pub(crate) fn apply_evacuations(&self, from: Option<Incarnation>, changes: &[DomainChange]) {
        let Some(gateway) = self.gateway() else {
            return;
        };
        let now = self.now();
        let from = from.map_or_else(|| "platform".to_owned(), |id| id.to_string());
        for change in changes {
            let affected = gateway.upstreams().apply_evacuations(now, std::slice::from_ref(change));
            let (evacuated, cold) = gateway.upstreams().restricted_counts(now);
            self.metrics.evacuations.inc();
            log::info!(
                target: PLATFORM,
                "domain {} domain={} revision={} from={from} concerned={} evacuated={evacuated} cold={cold}",
                if change.evacuated { "evacuated" } else { "taken back" },
                change.domain,
                change.revision,
                affected.len(),
            );
        }
        // Closes idle connections to upstreams that receive no more requests.
        gateway.sweep(now);
    }

    /// Updates the warm-up rules of services after newer templates have come into force.
    pub(crate) fn update_warm_ups(&self) {
        let Some(gateway) = self.gateway() else {
            return;
        };
        let table = gateway.routes().table;
        let warm_ups = table.warm_ups().map(|(name, warm_up)| (name.clone(), warm_up)).collect();
        gateway.upstreams().set_warm_ups(warm_ups);
    }

    /// Updates the set of processes that may send to cold upstreams after a newer view has come into force.
    pub(crate) fn update_warm_up_senders(&self) {
        if let Some(gateway) = self.gateway() {
            gateway.upstreams().set_senders(self.now(), self.node.warm_up_senders());
        }
    }
}
