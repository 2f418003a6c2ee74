//! The key-value service as the fleet sees it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use badgerfield_core::amount::Time;
use badgerfield_core::evacuation::DomainChange;
use badgerfield_core::event::{Event, OperatorValues, StoreCall, StoreKey, StoreResult, Versioned};
use badgerfield_core::ids::{Domain, Incarnation, StoreCallId};
use badgerfield_core::ledger::LedgerShard;
use badgerfield_core::template::TemplateSet;
use badgerfield_core::view::View;
use bytes::Bytes;

use super::{Fleet, Turn, link};

/// How long a call takes on its way.
const DELAY: Duration = Duration::from_millis(3);
/// After how long a caller gives a call up.
const TIMEOUT: Duration = Duration::from_secs(1);

/// The values and the faults of the key-value service.
#[derive(Debug, Default)]
pub struct Platform {
    /// Whether it gives no answers and does nothing.
    pub down: bool,
    /// How many writes take effect with their replies lost.
    pub lose_replies: u64,
    /// Whether every other read gives the value before the present one.
    pub stale: bool,
    /// How much longer every call takes.
    pub slow: Duration,
    /// Regions that cannot reach it.
    pub cut: BTreeSet<usize>,
    /// VMs that cannot reach it.
    pub cut_vms: BTreeSet<usize>,
    /// Reads so far.
    pub reads: u64,
    /// Writes so far.
    pub writes: u64,
    /// Writes that met another value.
    pub conflicts: u64,
    /// Bytes written so far.
    pub bytes: u64,
    evacuated: BTreeMap<Domain, u64>,
    values: BTreeMap<StoreKey, Versioned>,
    former: BTreeMap<StoreKey, Versioned>,
    revision: u64,
}

impl Platform {
    /// Returns how long a call takes on its way.
    pub(super) fn delay(&self) -> Duration {
        DELAY + self.slow
    }

    /// Returns a shard of the ledger as it stands.
    #[must_use]
    pub fn ledger(&self, shard: u32) -> LedgerShard {
        let value = self.values.get(&StoreKey::Ledger(shard)).and_then(|v| v.value.clone());
        LedgerShard::decode(value.as_deref()).unwrap_or_default()
    }

    /// Returns the view as it stands.
    #[must_use]
    pub fn view(&self) -> View {
        let value = self.values.get(&StoreKey::View).and_then(|v| v.value.clone());
        View::decode(value.as_deref()).unwrap_or_default()
    }

    /// Writes templates as an operator does; fails while the service is down.
    pub(super) fn write_templates(&mut self, set: &TemplateSet) -> bool {
        if self.down {
            return false;
        }
        self.put(StoreKey::Templates, Bytes::from(set.encode()));
        true
    }

    /// Evacuates a domain or takes it back, as an operator does.
    pub(super) fn evacuate(&mut self, domain: &Domain, evacuated: bool) -> DomainChange {
        self.revision += 1;
        let revision = self.revision;
        if evacuated {
            self.evacuated.insert(domain.clone(), revision);
        } else {
            self.evacuated.remove(domain);
        }
        DomainChange { domain: domain.clone(), revision, evacuated }
    }

    /// Counts a change that is kept elsewhere.
    pub(super) fn change(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }

    /// Returns a value as it stands.
    pub fn value(&self, name: &StoreKey) -> Option<Bytes> {
        self.values.get(name)?.value.clone()
    }

    /// Returns all that operators wrote but orders of roll-outs.
    fn operators(&self, templates: Option<Bytes>) -> OperatorValues {
        let evacuated = self.evacuated.iter().map(|(domain, revision)| DomainChange {
            domain: domain.clone(),
            revision: *revision,
            evacuated: true,
        });
        OperatorValues {
            revision: self.revision,
            templates,
            evacuated: evacuated.collect(),
            rollouts: Vec::new(),
        }
    }

    fn put(&mut self, name: StoreKey, value: Bytes) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let new = Versioned { value: Some(value), revision };
        if let Some(old) = self.values.insert(name.clone(), new) {
            self.former.insert(name, old);
        }
        revision
    }

    /// Carries out a call; returns its result and whether the reply is lost.
    fn call(&mut self, call: &StoreCall) -> (StoreResult, bool) {
        match call {
            StoreCall::Get(name) => {
                self.reads += 1;
                let stale = self.stale && self.reads.is_multiple_of(2);
                let values = if stale { &self.former } else { &self.values };
                let found = values.get(name).cloned().unwrap_or_default();
                if *name == StoreKey::Templates {
                    return (StoreResult::Operators(self.operators(found.value)), false);
                }
                (StoreResult::Value(found), false)
            }
            StoreCall::CompareAndSwap { key: name, expected_revision: expect, value } => {
                self.writes += 1;
                let found = self.values.get(name).cloned().unwrap_or_default();
                if found.revision != *expect {
                    self.conflicts += 1;
                    return (StoreResult::Conflict(found), false);
                }
                self.bytes += u64::try_from(value.len()).unwrap_or(0);
                let revision = self.put(name.clone(), value.clone());
                let lost = self.lose_replies > 0;
                self.lose_replies = self.lose_replies.saturating_sub(1);
                (StoreResult::Written(revision), lost)
            }
        }
    }
}

impl Fleet {
    /// Carries out a call that was sent at a time, and answers it.
    pub(super) fn apply_call(
        &mut self,
        from: Incarnation,
        ticket: StoreCallId,
        call: &StoreCall,
        sent: Time,
    ) {
        let vm = self.owners.get(&from).copied().unwrap_or(0);
        let region = self.region_of(vm);
        let is_cut = self.platform.cut.contains(&region) || self.platform.cut_vms.contains(&vm);
        if self.is_late(from, ticket, call) {
            let event = Event::StoreReply(ticket, StoreResult::Unknown);
            self.at(self.now.after(TIMEOUT), Turn::Event(from, event));
            return;
        }
        let (result, delay) = if self.platform.down || is_cut {
            (StoreResult::Unknown, TIMEOUT)
        } else {
            let (result, is_lost) = self.platform.call(call);
            self.record_written();
            match (self.with_orders(result), is_lost) {
                (_, true) => (StoreResult::Unknown, TIMEOUT),
                (result, false) => (result, self.platform.delay()),
            }
        };
        let size = link::answer_size(&result);
        let (event, at) = match self.answer_over_link(from, region, size, sent) {
            None => (Event::StoreReply(ticket, result), self.now.after(delay)),
            Some(Ok(at)) => (Event::StoreReply(ticket, result), at.after(delay)),
            Some(Err(given_up)) => (Event::StoreReply(ticket, StoreResult::Unknown), given_up),
        };
        self.at(at, Turn::Event(from, event));
    }

    /// Sends an answer of the store over the thin link, if there is one on its way; returns
    /// when it arrives, or when its caller has given it up.
    fn answer_over_link(
        &mut self,
        to: Incarnation,
        region: usize,
        bytes: usize,
        sent: Time,
    ) -> Option<Result<Time, Time>> {
        let now = self.now;
        let link = self.link.as_mut().filter(|_| region != link::STORE_REGION)?;
        let until = sent.after(link.patience(to).current());
        // Nothing is sent to a caller that has given up.
        let at = link.send(now, (link::STORE_REGION, region), bytes, Some(until));
        let arrives = at.filter(|at| *at <= until);
        match arrives {
            Some(at) => link.patience(to).record_answer(at.since(sent)),
            None => link.patience(to).record_timeout(),
        }
        Some(arrives.ok_or(until))
    }

    fn with_orders(&self, result: StoreResult) -> StoreResult {
        let StoreResult::Operators(mut found) = result else {
            return result;
        };
        let orders = self.rollouts.orders.values().filter(|change| change.order.is_some());
        found.rollouts = orders.cloned().collect();
        StoreResult::Operators(found)
    }
}
