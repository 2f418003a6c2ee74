//! The blackboard: every table of the process, and the order of their locks.
//!
//! Controllers read and write these tables; nothing else is shared. A controller that
//! needs two tables at once locks them in the order of the fields below, top first,
//! and holds a lock only for a few steps that neither wait nor call out. Most steps
//! need one table: they change it, let it go, and act on what it said.

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
use crate::template::TemplateSet;
use crate::template_history::TemplateHistory;
use crate::vm_upstreams::VmUpstreams;

/// The tables, in the order in which they may be locked.
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
        }
    }

    /// Locks the membership: the view, signs of life, and calls about them.
    pub(crate) fn membership(&self) -> MutexGuard<'_, Membership> {
        lock(&self.members)
    }

    /// Locks the templates in force.
    pub(crate) fn templates(&self) -> MutexGuard<'_, TemplateSet> {
        lock(&self.templates)
    }

    /// Locks what the last sets of templates held.
    pub(crate) fn template_history(&self) -> MutexGuard<'_, TemplateHistory> {
        lock(&self.template_history)
    }

    /// Locks what is known of evacuated failure domains.
    pub(crate) fn evacuations(&self) -> MutexGuard<'_, Evacuations> {
        lock(&self.evacuations)
    }

    /// Locks what is known of roll-outs.
    pub(crate) fn rollouts(&self) -> MutexGuard<'_, Rollouts> {
        lock(&self.rollouts)
    }

    /// Locks what is known of requests under which upstreams have ended.
    pub(crate) fn poison(&self) -> MutexGuard<'_, PoisonTable> {
        lock(&self.poison)
    }

    /// Locks how far the platform has what is known of them, and what others wait to be told.
    pub(crate) fn poison_record(&self) -> MutexGuard<'_, PoisonRecord> {
        lock(&self.poison_record)
    }

    /// Locks the requests and their answers.
    pub(crate) fn runs(&self) -> MutexGuard<'_, Runs> {
        lock(&self.runs)
    }

    /// Locks the charges that wait for an arbiter's word.
    pub(crate) fn charges(&self) -> MutexGuard<'_, Charges> {
        lock(&self.charges)
    }

    /// Locks the fair queue.
    pub(crate) fn queue(&self) -> MutexGuard<'_, Queue> {
        lock(&self.queue)
    }

    /// Locks the upstreams.
    pub(crate) fn upstreams(&self) -> MutexGuard<'_, VmUpstreams> {
        lock(&self.upstreams)
    }

    /// Locks the claims.
    pub(crate) fn claims(&self) -> MutexGuard<'_, Claims> {
        lock(&self.claims)
    }

    /// Locks the spending rights.
    pub(crate) fn holdings(&self) -> MutexGuard<'_, Holdings> {
        lock(&self.holdings)
    }

    /// Locks the changes that wait for the ledger.
    pub(crate) fn ledger_writer(&self) -> MutexGuard<'_, LedgerWriter> {
        lock(&self.ledger_writer)
    }
}

/// Locks a table; one that a panic left behind is as good as its last step.
fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
