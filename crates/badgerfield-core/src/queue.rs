//! The fair queue: the order in which waiting requests are dispatched.
//!
//! Each account has a counter of the tokens that it was served, divided by its priority. The
//! account with the lowest counter is next. The counter of an account that was idle is raised to
//! the lowest counter of the active accounts, so that an account gains no credit while idle. This
//! is the virtual token counter algorithm.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::amount::{Time, Tokens};
use crate::ids::{Account, RunId};
use crate::rate_meter::RateMeter;

/// The scale of the counters, which keeps the rounding error of the division by priority small.
const COUNTER_SCALE: u64 = 1024;
/// The amount that one ended request adds to the rate meter, which returns whole numbers only.
const END_WEIGHT: u64 = 1000;

/// A request in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The run of the request.
    pub run: RunId,
    /// The time at which the request expires.
    pub deadline: Time,
}

#[derive(Debug, Default)]
struct AccountQueue {
    /// The counter of served tokens.
    served: u64,
    running: u32,
    waiting: VecDeque<QueuedRequest>,
}

/// The queued requests of all accounts.
#[derive(Debug, Default)]
pub struct Queue {
    queues: BTreeMap<Account, AccountQueue>,
    count: usize,
    /// The highest counter of an account that has started a request.
    max_counter: u64,
    end_rate: RateMeter,
}

impl Queue {
    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns the number of queued requests of an account.
    #[must_use]
    pub fn waiting(&self, account: &Account) -> usize {
        self.queues.get(account).map_or(0, |queue| queue.waiting.len())
    }

    /// Returns the number of accounts with queued requests.
    #[must_use]
    pub fn accounts(&self) -> usize {
        self.queues.values().filter(|queue| !queue.waiting.is_empty()).count()
    }

    /// Adds a request at the end of its account's queue.
    pub fn push(&mut self, account: &Account, waiting: QueuedRequest) {
        let min_counter = self.min_counter();
        let queue = self.queues.entry(account.clone()).or_default();
        if !queue.is_active() {
            queue.served = queue.served.max(min_counter);
        }
        queue.waiting.push_back(waiting);
        self.count += 1;
    }

    /// Removes a request; returns whether it was queued.
    pub fn remove(&mut self, account: &Account, run: RunId) -> bool {
        let Some(queue) = self.queues.get_mut(account) else {
            return false;
        };
        let before = queue.waiting.len();
        queue.waiting.retain(|w| w.run != run);
        let removed = before - queue.waiting.len();
        self.count -= removed;
        removed > 0
    }

    /// Estimates the remaining wait of a request; returns `None` if it is not queued, or if no
    /// request has ended recently.
    ///
    /// The estimate assumes that all accounts with queued requests are served equally often, and
    /// that requests end at the recent rate.
    #[must_use]
    pub fn estimate_wait(&self, now: Time, account: &Account, run: RunId) -> Option<Duration> {
        let queue = self.queues.get(account)?;
        let position = queue.waiting.iter().position(|w| w.run == run)?;
        let turns = u64::try_from(position * self.accounts()).ok()?;
        let ahead = turns.min(u64::try_from(self.count - 1).ok()?);
        let rate = self.end_rate.rate(now).0;
        let millis = ahead.saturating_mul(1000).saturating_mul(END_WEIGHT).checked_div(rate)?;
        Some(Duration::from_millis(millis))
    }

    /// Records that a request of an account has started.
    pub fn start_request(&mut self, account: &Account) {
        let queue = self.queues.entry(account.clone()).or_default();
        queue.running += 1;
        self.max_counter = self.max_counter.max(queue.served);
    }

    /// Records that a request of an account has ended.
    pub fn finish_request(&mut self, now: Time, account: &Account) {
        self.end_rate.count(now, Tokens(END_WEIGHT));
        let queue = self.queues.entry(account.clone()).or_default();
        queue.running = queue.running.saturating_sub(1);
    }

    /// Adds served tokens, divided by the priority, to the counter of an account.
    pub fn count_tokens(&mut self, account: &Account, priority: u32, tokens: Tokens) {
        let queue = self.queues.entry(account.clone()).or_default();
        let weighted = tokens.0.saturating_mul(COUNTER_SCALE) / u64::from(priority.max(1));
        queue.served = queue.served.saturating_add(weighted);
    }

    /// Returns the first request of each account, in ascending order of the accounts' counters.
    #[must_use]
    pub fn heads(&self) -> Vec<(Account, QueuedRequest)> {
        let mut heads: Vec<_> = self
            .queues
            .iter()
            .filter_map(|(account, queue)| Some((queue.served, account, *queue.waiting.front()?)))
            .collect();
        heads.sort_by_key(|(served, _, _)| *served);
        heads.into_iter().map(|(_, account, head)| (account.clone(), head)).collect()
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn take_expired(&mut self, now: Time) -> Vec<RunId> {
        let mut expired = Vec::new();
        for queue in self.queues.values_mut() {
            queue.waiting.retain(|w| {
                if w.deadline > now {
                    return true;
                }
                expired.push(w.run);
                false
            });
        }
        self.count -= expired.len();
        expired
    }

    /// Returns the counter of an account, for comparison with those of other accounts.
    #[must_use]
    pub fn served(&self, account: &Account) -> u64 {
        self.queues.get(account).map_or(0, |queue| queue.served)
    }

    /// Returns the lowest counter of the accounts with queued or running requests; if there are
    /// none, the highest counter of any account that has started a request.
    fn min_counter(&self) -> u64 {
        let active = self.queues.values().filter(|queue| queue.is_active());
        active.map(|queue| queue.served).min().unwrap_or(self.max_counter)
    }
}

impl AccountQueue {
    fn is_active(&self) -> bool {
        self.running > 0 || !self.waiting.is_empty()
    }
}
