//! The fair queue: whose request goes next.
//!
//! Each account has a counter of the tokens that it was served, divided by its
//! priority; the account with the lowest counter goes next. An account that was idle
//! starts at the lowest counter of those that wait, so that idleness is no hoard.
//! The rule is that of virtual token counters.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::amount::{Time, Tokens};
use crate::ids::{Account, RunId};
use crate::rate_meter::RateMeter;

/// The scale of the counters, so that priorities divide without much rounding.
const SCALE: u64 = 1024;
/// What one end counts in the meter of ends, which only holds whole numbers.
const END: u64 = 1000;

/// A waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The request.
    pub run: RunId,
    /// When it has waited too long.
    pub deadline: Time,
}

#[derive(Debug, Default)]
struct Line {
    served: u64,
    running: u32,
    waiting: VecDeque<QueuedRequest>,
}

/// The waiting requests of all accounts.
#[derive(Debug, Default)]
pub struct Queue {
    lines: BTreeMap<Account, Line>,
    count: usize,
    clock: u64,
    ends: RateMeter,
}

impl Queue {
    /// Returns how many requests wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.count
    }

    /// Tells whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns how many requests of an account wait.
    #[must_use]
    pub fn waiting(&self, account: &Account) -> usize {
        self.lines.get(account).map_or(0, |line| line.waiting.len())
    }

    /// Returns how many accounts have requests waiting.
    #[must_use]
    pub fn accounts(&self) -> usize {
        self.lines.values().filter(|line| !line.waiting.is_empty()).count()
    }

    /// Adds a request at the end of its account's line.
    pub fn push(&mut self, account: &Account, waiting: QueuedRequest) {
        let floor = self.floor();
        let line = self.lines.entry(account.clone()).or_default();
        if !line.is_active() {
            line.served = line.served.max(floor);
        }
        line.waiting.push_back(waiting);
        self.count += 1;
    }

    /// Removes a request; tells whether it was there.
    pub fn remove(&mut self, account: &Account, run: RunId) -> bool {
        let Some(line) = self.lines.get_mut(account) else {
            return false;
        };
        let before = line.waiting.len();
        line.waiting.retain(|w| w.run != run);
        let removed = before - line.waiting.len();
        self.count -= removed;
        removed > 0
    }

    /// Estimates how long a request has still to wait; nothing if it does not wait, or if
    /// nothing has ended yet that would tell.
    ///
    /// The estimate assumes that every account with waiting requests gets an equal turn,
    /// and that requests end as fast as they did of late.
    #[must_use]
    pub fn wait(&self, now: Time, account: &Account, run: RunId) -> Option<Duration> {
        let line = self.lines.get(account)?;
        let place = line.waiting.iter().position(|w| w.run == run)?;
        let turns = u64::try_from(place * self.accounts()).ok()?;
        let ahead = turns.min(u64::try_from(self.count - 1).ok()?);
        let rate = self.ends.rate(now).0;
        let millis = ahead.saturating_mul(1000).saturating_mul(END).checked_div(rate)?;
        Some(Duration::from_millis(millis))
    }

    /// Notes that a request of an account runs.
    pub fn start_request(&mut self, account: &Account) {
        let line = self.lines.entry(account.clone()).or_default();
        line.running += 1;
        self.clock = self.clock.max(line.served);
    }

    /// Notes that a request of an account has ended.
    pub fn finish_request(&mut self, now: Time, account: &Account) {
        self.ends.count(now, Tokens(END));
        let line = self.lines.entry(account.clone()).or_default();
        line.running = line.running.saturating_sub(1);
    }

    /// Counts tokens that an account is served, by its priority.
    pub fn count_tokens(&mut self, account: &Account, priority: u32, tokens: Tokens) {
        let line = self.lines.entry(account.clone()).or_default();
        let weighted = tokens.0.saturating_mul(SCALE) / u64::from(priority.max(1));
        line.served = line.served.saturating_add(weighted);
    }

    /// Returns the first request of each account, the account served least first.
    #[must_use]
    pub fn heads(&self) -> Vec<(Account, QueuedRequest)> {
        let mut heads: Vec<_> = self
            .lines
            .iter()
            .filter_map(|(account, line)| Some((line.served, account, *line.waiting.front()?)))
            .collect();
        heads.sort_by_key(|(served, _, _)| *served);
        heads.into_iter().map(|(_, account, head)| (account.clone(), head)).collect()
    }

    /// Removes and returns the requests that have waited too long.
    pub fn expired(&mut self, now: Time) -> Vec<RunId> {
        let mut expired = Vec::new();
        for line in self.lines.values_mut() {
            line.waiting.retain(|w| {
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

    /// Returns the weighted service of an account, for comparison with others.
    #[must_use]
    pub fn served(&self, account: &Account) -> u64 {
        self.lines.get(account).map_or(0, |line| line.served)
    }

    /// Returns the lowest counter of those that wait or run, else the highest ever reached.
    fn floor(&self) -> u64 {
        let active = self.lines.values().filter(|line| line.is_active());
        active.map(|line| line.served).min().unwrap_or(self.clock)
    }
}

impl Line {
    fn is_active(&self) -> bool {
        self.running > 0 || !self.waiting.is_empty()
    }
}
