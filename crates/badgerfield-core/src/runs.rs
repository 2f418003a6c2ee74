//! Runs: the requests that this process serves, with their answers and listeners.
//!
//! A run is one execution of a request, named by a number. Callers listen to
//! it: a caller that comes with the same key, here or at another process, listens to
//! the same run and gets the same answer from its start.

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

/// The key of a run.
#[derive(Debug, Clone)]
pub(crate) struct RunKey {
    pub(crate) key: RequestKey,
    pub(crate) home: Option<Region>,
}

/// What is known about the claim on a run's key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Claimed {
    /// The run has no key.
    Unneeded,
    /// The arbiter has not answered.
    Open,
    /// The arbiter has granted it to this run, and the key had not run before.
    Fresh,
    /// The arbiter has granted it to this run after another owner.
    Inherited,
    /// The run goes on without an answer of the arbiter.
    Assumed,
}

/// How far a run has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The arbiter was asked.
    Claiming { since: Time, sent: Time },
    /// It waits for tokens.
    Reserving,
    /// It waits for an upstream.
    Queued,
    /// An upstream has it.
    Running { attempt: AttemptId, upstream: UpstreamId, at: Time, started: bool },
    /// Another process has it, and this one passes its answer on.
    Following { owner: Incarnation, serial: u64, ended: bool, sent: Time, heard: Time },
    /// Its answer is whole, or broken off.
    Ended { at: Time },
}

/// Who listens to a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Listener {
    pub(crate) request: RequestId,
    /// The next part that it gets.
    pub(crate) next: usize,
}

/// One request.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) arrival: IncomingRequest,
    pub(crate) account: Account,
    pub(crate) budget: BudgetId,
    pub(crate) period: Period,
    pub(crate) priority: u32,
    pub(crate) keyed: Option<RunKey>,
    /// The regions in which it was let in to be served.
    pub(crate) residency: Residency,
    pub(crate) once: bool,
    pub(crate) claimed: Claimed,
    pub(crate) over: Option<(Incarnation, u64)>,
    /// The upstream on which an earlier owner may have run it.
    pub(crate) earlier: Option<UpstreamId>,
    pub(crate) until: Time,
    pub(crate) bound: Tokens,
    pub(crate) output: Tokens,
    pub(crate) reserved: Tokens,
    pub(crate) stage: Stage,
    pub(crate) tries: u32,
    pub(crate) resumes: u32,
    pub(crate) usage: Option<Usage>,
    /// The answer so far: the head, then data, then the end.
    pub(crate) parts: Vec<PartContent>,
    pub(crate) bytes: usize,
    pub(crate) listeners: Vec<Listener>,
    /// Processes that follow the run, and the next part that each gets.
    pub(crate) followers: BTreeMap<Incarnation, usize>,
}

impl Run {
    /// Tells whether it waits for the word of its key's arbiter.
    pub(crate) fn is_claiming(&self) -> bool {
        matches!(self.stage, Stage::Claiming { .. })
    }

    /// Tells whether the head of the answer has come.
    pub(crate) fn has_head(&self) -> bool {
        matches!(self.parts.first(), Some(PartContent::Head(_)))
    }

    /// Returns the place of the next part of the upstream's stream.
    pub(crate) fn next_chunk(&self) -> u64 {
        let data = self.parts.iter().filter(|p| matches!(p, PartContent::Data(_))).count();
        u64::try_from(data).unwrap_or(u64::MAX)
    }

    /// Adds a part of the answer.
    pub(crate) fn push(&mut self, part: PartContent) {
        if let PartContent::Data(data) = &part {
            self.bytes += data.len();
        }
        self.parts.push(part);
    }

    /// Tells whether the run has ended.
    pub(crate) fn has_ended(&self) -> bool {
        matches!(self.stage, Stage::Ended { .. })
    }
}

/// All runs of this process.
#[derive(Debug)]
pub(crate) struct Runs {
    next: u64,
    next_attempt: u64,
    table: BTreeMap<RunId, Run>,
    keys: HashMap<RequestKey, RunId>,
    requests: HashMap<RequestId, RunId>,
    attempts: HashMap<AttemptId, RunId>,
    kept: usize,
    replay: Duration,
    max_kept: usize,
}

impl Runs {
    /// Makes an empty table that keeps ended answers for a span, up to some bytes.
    pub(crate) fn new(replay: Duration, max_kept: usize) -> Self {
        Self {
            next: 1,
            next_attempt: 1,
            table: BTreeMap::new(),
            keys: HashMap::new(),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            kept: 0,
            replay,
            max_kept,
        }
    }

    /// Adds a run with its first listener.
    pub(crate) fn add(&mut self, run: Run, request: RequestId) -> RunId {
        let id = RunId(self.next);
        self.next += 1;
        if let Some(keyed) = &run.keyed {
            self.keys.insert(keyed.key, id);
        }
        self.requests.insert(request, id);
        self.table.insert(id, run);
        id
    }

    /// Adds a listener to a run.
    pub(crate) fn listen(&mut self, id: RunId, request: RequestId) {
        let Some(run) = self.table.get_mut(&id) else {
            return;
        };
        run.listeners.push(Listener { request, next: 0 });
        self.requests.insert(request, id);
    }

    /// Returns the run that has a key.
    pub(crate) fn with_key(&self, key: RequestKey) -> Option<RunId> {
        self.keys.get(&key).copied()
    }

    /// Returns the run to which an attempt belongs, if it is the run's present one.
    pub(crate) fn of_attempt(&mut self, attempt: AttemptId) -> Option<(RunId, &mut Run)> {
        let id = *self.attempts.get(&attempt)?;
        let run = self.table.get_mut(&id)?;
        let present = matches!(&run.stage, Stage::Running { attempt: a, .. } if *a == attempt);
        present.then_some((id, run))
    }

    /// Returns a run.
    pub(crate) fn get_mut(&mut self, id: RunId) -> Option<&mut Run> {
        self.table.get_mut(&id)
    }

    /// Returns all runs.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (RunId, &mut Run)> {
        self.table.iter_mut().map(|(id, run)| (*id, run))
    }

    /// Makes a new attempt for a run.
    pub(crate) fn attempt(&mut self, id: RunId) -> AttemptId {
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        self.attempts.insert(attempt, id);
        attempt
    }

    /// Forgets an attempt.
    pub(crate) fn drop_attempt(&mut self, attempt: AttemptId) {
        self.attempts.remove(&attempt);
    }

    /// Removes a listener; returns its run and how many still listen.
    pub(crate) fn hang_up(&mut self, request: RequestId) -> Option<(RunId, usize)> {
        let id = self.requests.remove(&request)?;
        let run = self.table.get_mut(&id)?;
        run.listeners.retain(|l| l.request != request);
        Some((id, run.listeners.len() + run.followers.len()))
    }

    /// Removes a run with all that points to it.
    pub(crate) fn remove(&mut self, id: RunId) -> Option<Run> {
        let run = self.table.remove(&id)?;
        if run.has_ended() {
            self.kept = self.kept.saturating_sub(run.bytes);
        }
        for listener in &run.listeners {
            self.requests.remove(&listener.request);
        }
        if let Some(keyed) = &run.keyed
            && self.keys.get(&keyed.key) == Some(&id)
        {
            self.keys.remove(&keyed.key);
        }
        Some(run)
    }

    /// Notes that a run has ended; one with a key stays for retries.
    pub(crate) fn end(&mut self, now: Time, id: RunId) {
        let Some(run) = self.table.get_mut(&id) else {
            return;
        };
        if run.has_ended() {
            return;
        }
        run.stage = Stage::Ended { at: now };
        self.kept += run.bytes;
    }

    /// Removes ended runs that are old, beyond the bytes that may be kept, or not to be
    /// stored here.
    pub(crate) fn sweep(&mut self, now: Time, may_store: impl Fn(&Run) -> bool) {
        let mut old = Vec::new();
        let mut kept = self.kept;
        for (id, run) in &self.table {
            let Stage::Ended { at } = run.stage else {
                continue;
            };
            let served = run.listeners.iter().all(|l| l.next >= run.parts.len());
            let needed =
                run.keyed.is_some() && now.since(at) < self.replay && kept <= self.max_kept;
            let needed = needed && may_store(run);
            if needed || !served {
                continue;
            }
            kept = kept.saturating_sub(run.bytes);
            old.push(*id);
        }
        for id in old {
            self.remove(id);
        }
    }

    /// Returns how many runs have not ended.
    pub(crate) fn active_count(&self) -> usize {
        self.table.values().filter(|run| !run.has_ended()).count()
    }

    /// Returns how many bytes of ended answers are kept.
    pub(crate) fn replay_bytes(&self) -> usize {
        self.kept
    }
}
