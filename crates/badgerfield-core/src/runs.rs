//! Runs: the requests that this process serves, with their answers and listeners.
//!
//! A run is one execution of a request and has a numeric id. The callers' requests that receive its
//! answer are its listeners. A second request with the same key, at this process or at another,
//! becomes a listener of the same run and gets the same answer from the start.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::amount::{Time, Tokens};
use crate::event::{IncomingRequest, Usage};
use crate::ids::{
    Account, AttemptId, BudgetId, Incarnation, Period, Region, RequestId, RequestKey, RunId,
    UpstreamId,
};
use crate::message::PartContent;
use crate::residency::Residency;

/// The key of a run and the key's home region.
#[derive(Debug, Clone)]
pub(crate) struct RunKey {
    pub(crate) key: RequestKey,
    pub(crate) home: Option<Region>,
}

/// The state of the claim on a run's key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ClaimState {
    /// The run has no key.
    Unneeded,
    /// The arbiter has not replied.
    Pending,
    /// The arbiter has granted the key to this run, and no run had it before.
    Fresh,
    /// The arbiter has granted the key to this run after another owner.
    Inherited,
    /// The run continues without a reply from the arbiter.
    Unconfirmed,
}

/// The progress of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Waits for the arbiter's reply to a claim request.
    Claiming { since: Time, sent: Time },
    /// Waits until tokens are reserved.
    Reserving,
    /// Waits for an upstream.
    Queued,
    /// Was sent to an upstream.
    Running { attempt: AttemptId, upstream: UpstreamId, sent_at: Time, started: bool },
    /// Runs at another process; this one forwards the answer.
    Following { owner: Incarnation, serial: u64, ended: bool, sent: Time, last_contact: Time },
    /// Has a complete answer, or one that broke off.
    Ended { at: Time },
}

/// A caller's request that receives the answer of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Listener {
    pub(crate) request: RequestId,
    /// The index of the next part to send.
    pub(crate) next_part: usize,
}

/// The run of one request.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) arrival: IncomingRequest,
    pub(crate) account: Account,
    pub(crate) budget: BudgetId,
    pub(crate) period: Period,
    pub(crate) priority: u32,
    pub(crate) key: Option<RunKey>,
    /// The regions in which the request may be served, as of its admission.
    pub(crate) residency: Residency,
    pub(crate) at_most_once: bool,
    pub(crate) claim: ClaimState,
    /// The owner and serial number of the claim that the next claim request replaces.
    pub(crate) replaces: Option<(Incarnation, u64)>,
    /// The upstream on which an earlier owner may have run the request.
    pub(crate) previous_upstream: Option<UpstreamId>,
    /// The deadline for waiting for a claim, for tokens and for an upstream.
    pub(crate) deadline: Time,
    /// The maximum cost of the request.
    pub(crate) max_cost: Tokens,
    /// The output limit.
    pub(crate) output_limit: Tokens,
    pub(crate) reserved: Tokens,
    pub(crate) stage: Stage,
    /// The number of attempts that no upstream accepted.
    pub(crate) rejections: u32,
    pub(crate) resumes: u32,
    pub(crate) usage: Option<Usage>,
    /// The parts of the answer received so far: the head, then data, then the end.
    pub(crate) parts: Vec<PartContent>,
    /// The size of the data parts.
    pub(crate) answer_bytes: usize,
    pub(crate) listeners: Vec<Listener>,
    /// The processes that follow the run, each with the index of the next part to send.
    pub(crate) followers: BTreeMap<Incarnation, usize>,
}

impl Run {
    /// Returns whether the run waits for the arbiter of its key.
    pub(crate) fn is_claiming(&self) -> bool {
        matches!(self.stage, Stage::Claiming { .. })
    }

    /// Returns whether the head of the answer was received.
    pub(crate) fn has_head(&self) -> bool {
        matches!(self.parts.first(), Some(PartContent::Head(_)))
    }

    /// Returns the index of the next data part of the upstream's stream.
    pub(crate) fn next_chunk(&self) -> u64 {
        let data = self.parts.iter().filter(|p| matches!(p, PartContent::Data(_))).count();
        u64::try_from(data).unwrap_or(u64::MAX)
    }

    /// Appends a part of the answer.
    pub(crate) fn push(&mut self, part: PartContent) {
        if let PartContent::Data(data) = &part {
            self.answer_bytes += data.len();
        }
        self.parts.push(part);
    }

    pub(crate) fn has_ended(&self) -> bool {
        matches!(self.stage, Stage::Ended { .. })
    }
}

/// All runs of this process.
#[derive(Debug)]
pub(crate) struct Runs {
    next_run: u64,
    next_attempt: u64,
    by_id: BTreeMap<RunId, Run>,
    by_key: HashMap<RequestKey, RunId>,
    by_request: HashMap<RequestId, RunId>,
    by_attempt: HashMap<AttemptId, RunId>,
    /// The size of the answers of ended runs.
    kept_bytes: usize,
    answer_retention: Duration,
    max_answer_bytes: usize,
}

impl Runs {
    /// Creates an empty table that keeps the answers of ended runs for `answer_retention`, up to
    /// `max_answer_bytes`.
    pub(crate) fn new(answer_retention: Duration, max_answer_bytes: usize) -> Self {
        Self {
            next_run: 1,
            next_attempt: 1,
            by_id: BTreeMap::new(),
            by_key: HashMap::new(),
            by_request: HashMap::new(),
            by_attempt: HashMap::new(),
            kept_bytes: 0,
            answer_retention,
            max_answer_bytes,
        }
    }

    /// Adds a run with the request of its first listener.
    pub(crate) fn add(&mut self, run: Run, request: RequestId) -> RunId {
        let id = RunId(self.next_run);
        self.next_run += 1;
        if let Some(keyed) = &run.key {
            self.by_key.insert(keyed.key, id);
        }
        self.by_request.insert(request, id);
        self.by_id.insert(id, run);
        id
    }

    /// Adds a listener to a run.
    pub(crate) fn add_listener(&mut self, id: RunId, request: RequestId) {
        let Some(run) = self.by_id.get_mut(&id) else {
            return;
        };
        run.listeners.push(Listener { request, next_part: 0 });
        self.by_request.insert(request, id);
    }

    /// Returns the run with a key.
    pub(crate) fn find_by_key(&self, key: RequestKey) -> Option<RunId> {
        self.by_key.get(&key).copied()
    }

    /// Returns the run of an attempt, if it is that run's current attempt.
    pub(crate) fn find_by_attempt(&mut self, attempt: AttemptId) -> Option<(RunId, &mut Run)> {
        let id = *self.by_attempt.get(&attempt)?;
        let run = self.by_id.get_mut(&id)?;
        let is_current = matches!(&run.stage, Stage::Running { attempt: a, .. } if *a == attempt);
        is_current.then_some((id, run))
    }

    pub(crate) fn get_mut(&mut self, id: RunId) -> Option<&mut Run> {
        self.by_id.get_mut(&id)
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (RunId, &mut Run)> {
        self.by_id.iter_mut().map(|(id, run)| (*id, run))
    }

    /// Registers a new attempt of a run.
    pub(crate) fn new_attempt(&mut self, id: RunId) -> AttemptId {
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        self.by_attempt.insert(attempt, id);
        attempt
    }

    /// Removes an attempt.
    pub(crate) fn drop_attempt(&mut self, attempt: AttemptId) {
        self.by_attempt.remove(&attempt);
    }

    /// Removes a listener; returns its run and how many listeners and followers remain.
    pub(crate) fn remove_listener(&mut self, request: RequestId) -> Option<(RunId, usize)> {
        let id = self.by_request.remove(&request)?;
        let run = self.by_id.get_mut(&id)?;
        run.listeners.retain(|l| l.request != request);
        Some((id, run.listeners.len() + run.followers.len()))
    }

    /// Removes a run and its index entries, except those of its attempts.
    pub(crate) fn remove(&mut self, id: RunId) -> Option<Run> {
        let run = self.by_id.remove(&id)?;
        if run.has_ended() {
            self.kept_bytes = self.kept_bytes.saturating_sub(run.answer_bytes);
        }
        for listener in &run.listeners {
            self.by_request.remove(&listener.request);
        }
        if let Some(keyed) = &run.key
            && self.by_key.get(&keyed.key) == Some(&id)
        {
            self.by_key.remove(&keyed.key);
        }
        Some(run)
    }

    /// Marks a run as ended. A run with a key is kept, so that retries get its answer.
    pub(crate) fn end(&mut self, now: Time, id: RunId) {
        let Some(run) = self.by_id.get_mut(&id) else {
            return;
        };
        if run.has_ended() {
            return;
        }
        run.stage = Stage::Ended { at: now };
        self.kept_bytes += run.answer_bytes;
    }

    /// Removes ended runs whose listeners have received the whole answer, if they have no key, are
    /// past the retention period, exceed the byte limit or may not be stored here.
    pub(crate) fn sweep(&mut self, now: Time, may_store: impl Fn(&Run) -> bool) {
        let mut expired = Vec::new();
        let mut kept_bytes = self.kept_bytes;
        for (id, run) in &self.by_id {
            let Stage::Ended { at } = run.stage else {
                continue;
            };
            let is_delivered = run.listeners.iter().all(|l| l.next_part >= run.parts.len());
            let is_needed = run.key.is_some()
                && now.since(at) < self.answer_retention
                && kept_bytes <= self.max_answer_bytes;
            let is_needed = is_needed && may_store(run);
            if is_needed || !is_delivered {
                continue;
            }
            kept_bytes = kept_bytes.saturating_sub(run.answer_bytes);
            expired.push(*id);
        }
        for id in expired {
            self.remove(id);
        }
    }

    /// Returns the number of runs that have not ended.
    pub(crate) fn active_count(&self) -> usize {
        self.by_id.values().filter(|run| !run.has_ended()).count()
    }

    /// Returns the size of the kept answers of ended runs, in bytes.
    pub(crate) fn replay_bytes(&self) -> usize {
        self.kept_bytes
    }
}
