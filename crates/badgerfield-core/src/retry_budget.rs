//! The retry budget: how many requests may go to a second upstream, for the whole fleet.
//!
//! The bound is on what arrives at a service beyond the first of each request, in any
//! window: a ratio of the requests, and an allowance that all VMs share. Each VM keeps
//! to its own part of both, so that no message is needed.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::amount::Time;
use crate::ids::Service;

/// The part of the fleet's allowance that is used, in hundredths; the rest covers VMs
/// that restarted within the window and have forgotten what they sent.
const USED_PERCENT: f64 = 60.0;

/// The bound that operators set for the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond that in one window, for all VMs together.
    pub allowance: f64,
    /// The length of a window.
    pub window: Duration,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self { ratio: 0.1, allowance: 20.0, window: Duration::from_secs(10) }
    }
}

/// What went to one service within the last window.
#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<Time>,
    repeats: VecDeque<Time>,
}

/// One VM's part of the retry budget.
#[derive(Debug)]
pub struct RetryBudget {
    bound: RetryLimits,
    services: HashMap<Service, Window>,
}

impl RetryBudget {
    /// Makes an unused budget.
    #[must_use]
    pub fn new(bound: RetryLimits) -> Self {
        Self { bound, services: HashMap::new() }
    }

    /// Counts a caller's request for a service.
    pub fn count_request(&mut self, now: Time, service: &Service) {
        let span = self.bound.window;
        let window = self.window(now, service);
        window.requests.push_back(now);
        drop_old(&mut window.requests, now, span);
    }

    /// Takes one repeat for a service if the budget allows it; `vms` share it.
    pub fn try_take(&mut self, now: Time, service: &Service, vms: usize) -> bool {
        if self.remaining(now, service, vms) < 1.0 {
            return false;
        }
        self.window(now, service).repeats.push_back(now);
        true
    }

    /// Returns how many repeats are left for a service in this window.
    pub fn remaining(&mut self, now: Time, service: &Service, vms: usize) -> f64 {
        let bound = self.bound;
        let window = self.window(now, service);
        let share = bound.allowance / count(vms.max(1));
        let whole = bound.ratio * count(window.requests.len()) + share;
        whole * USED_PERCENT / 100.0 - count(window.repeats.len())
    }

    fn window(&mut self, now: Time, service: &Service) -> &mut Window {
        let span = self.bound.window;
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Window::default());
        }
        let window = self.services.entry(service.clone()).or_default();
        drop_old(&mut window.requests, now, span);
        drop_old(&mut window.repeats, now, span);
        window
    }
}

fn drop_old(times: &mut VecDeque<Time>, now: Time, span: Duration) {
    while times.front().is_some_and(|at| now.since(*at) > span) {
        times.pop_front();
    }
}

fn count(n: usize) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}
