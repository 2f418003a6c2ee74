//! The shared state of a process: all tables, each with its lock.
//!
//! Handlers read and write these tables and share nothing else. A handler that needs several tables
//! at once locks them in the order of the fields of [`SharedState`], from the first to the last. A
//! lock is held for a few steps only, none of which blocks or does I/O. Most steps need one table:
//! they change it, release its lock, and then act on the result.

use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::charges::Charges;
use crate::claims::Claims;
use crate::evacuation::Evacuations;
use crate::holdings::Holdings;
use crate::ledger_writer::LedgerWriter;
use crate::membership::Membership;
use crate::poison::PoisonTable;
use crate::poison_record::PoisonRecord;
use crate::queue::Queue;
use crate::rollout::Rollouts;
use crate::runs::Runs;
use crate::stream_origins::StreamOrigins;
use crate::stream_segments::StreamSegments;
use crate::template::TemplateSet;
use crate::template_history::TemplateHistory;
use crate::version_record::VersionRecord;
use crate::vm_upstreams::VmUpstreams;

/// All tables of the core, in the order in which they may be locked.
#[derive(Debug)]
pub(crate) struct SharedState {
    members: Mutex<Membership>,
    templates: Mutex<TemplateSet>,
    template_history: Mutex<TemplateHistory>,
    evacuations: Mutex<Evacuations>,
    rollouts: Mutex<Rollouts>,
    poison: Mutex<PoisonTable>,
    poison_record: Mutex<PoisonRecord>,
    runs: Mutex<Runs>,
    charges: Mutex<Charges>,
    queue: Mutex<Queue>,
    upstreams: Mutex<VmUpstreams>,
    claims: Mutex<Claims>,
    holdings: Mutex<Holdings>,
    ledger_writer: Mutex<LedgerWriter>,
    stream_origins: Mutex<StreamOrigins>,
    stream_segments: Mutex<StreamSegments>,
    version_record: Mutex<VersionRecord>,
}

impl SharedState {
    pub(crate) fn new(
        members: Membership,
        runs: Runs,
        claims: Claims,
        holdings: Holdings,
        ledger_writer: LedgerWriter,
    ) -> Self {
        Self {
            members: Mutex::new(members),
            templates: Mutex::default(),
            template_history: Mutex::default(),
            evacuations: Mutex::default(),
            rollouts: Mutex::default(),
            poison: Mutex::default(),
            poison_record: Mutex::default(),
            runs: Mutex::new(runs),
            charges: Mutex::default(),
            queue: Mutex::default(),
            upstreams: Mutex::default(),
            claims: Mutex::new(claims),
            holdings: Mutex::new(holdings),
            ledger_writer: Mutex::new(ledger_writer),
            stream_origins: Mutex::default(),
            stream_segments: Mutex::default(),
            version_record: Mutex::default(),
        }
    }

    /// Locks the membership: the view, heartbeats, and store calls about them.
    pub(crate) fn membership(&self) -> MutexGuard<'_, Membership> {
        lock(&self.members)
    }

    /// Locks the templates in force.
    pub(crate) fn templates(&self) -> MutexGuard<'_, TemplateSet> {
        lock(&self.templates)
    }

    /// Locks the digests of the last template sets.
    pub(crate) fn template_history(&self) -> MutexGuard<'_, TemplateHistory> {
        lock(&self.template_history)
    }

    /// Locks the known changes of evacuated failure domains.
    pub(crate) fn evacuations(&self) -> MutexGuard<'_, Evacuations> {
        lock(&self.evacuations)
    }

    /// Locks the known rollouts.
    pub(crate) fn rollouts(&self) -> MutexGuard<'_, Rollouts> {
        lock(&self.rollouts)
    }

    /// Locks the known crashes of upstreams under requests.
    pub(crate) fn poison(&self) -> MutexGuard<'_, PoisonTable> {
        lock(&self.poison)
    }

    /// Locks the record of blocked requests in the store, and the crashes to be sent to other
    /// processes.
    pub(crate) fn poison_record(&self) -> MutexGuard<'_, PoisonRecord> {
        lock(&self.poison_record)
    }

    /// Locks the runs of requests and their answers.
    pub(crate) fn runs(&self) -> MutexGuard<'_, Runs> {
        lock(&self.runs)
    }

    /// Locks the charges that wait for their arbiter's decision.
    pub(crate) fn charges(&self) -> MutexGuard<'_, Charges> {
        lock(&self.charges)
    }

    /// Locks the queue of requests.
    pub(crate) fn queue(&self) -> MutexGuard<'_, Queue> {
        lock(&self.queue)
    }

    /// Locks the upstreams of the VM list.
    pub(crate) fn upstreams(&self) -> MutexGuard<'_, VmUpstreams> {
        lock(&self.upstreams)
    }

    /// Locks the claims of request keys.
    pub(crate) fn claims(&self) -> MutexGuard<'_, Claims> {
        lock(&self.claims)
    }

    /// Locks the holdings of budgets.
    pub(crate) fn holdings(&self) -> MutexGuard<'_, Holdings> {
        lock(&self.holdings)
    }

    /// Locks the pending operations on the ledger.
    pub(crate) fn ledger_writer(&self) -> MutexGuard<'_, LedgerWriter> {
        lock(&self.ledger_writer)
    }

    /// Locks the records of streams' beginnings.
    pub(crate) fn stream_origins(&self) -> MutexGuard<'_, StreamOrigins> {
        lock(&self.stream_origins)
    }

    /// Locks the records of streams' beginnings that this process writes to the store.
    pub(crate) fn stream_segments(&self) -> MutexGuard<'_, StreamSegments> {
        lock(&self.stream_segments)
    }

    /// Locks the record of the versions that may begin streams.
    pub(crate) fn version_record(&self) -> MutexGuard<'_, VersionRecord> {
        lock(&self.version_record)
    }
}

/// Locks a table. If a panic poisoned the lock, the table is used as the last step left it.
fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
