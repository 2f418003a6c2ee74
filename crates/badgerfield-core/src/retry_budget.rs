//! The retry budget: limits how many requests the whole fleet sends to a second upstream.
//!
//! In any window, the repeats that arrive at a service are limited to a ratio of its requests plus
//! an allowance that all VMs share. Each VM applies the ratio to its own requests and uses an equal
//! part of the allowance, so the VMs need not exchange messages. In a fleet of hundreds a VM's part
//! is one or two repeats, or less than one. Each VM therefore adds its own fraction before it
//! rounds down, so that the parts of all VMs add up to the limit of the fleet.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::amount::Time;
use crate::ids::Service;

/// The percentage of the limit that is used. The rest is a margin for VMs that restart within a
/// window and lose their counts.
const USED_PERCENT: f64 = 60.0;

/// The limits that operators set for the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// The number of repeats for each request.
    pub ratio: f64,
    /// The number of further repeats in a window, for all VMs together.
    pub allowance: f64,
    /// The length of a window.
    pub window: Duration,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self { ratio: 0.1, allowance: 20.0, window: Duration::from_secs(10) }
    }
}

/// The requests and repeats that were sent to a service within the last window.
#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<Time>,
    repeats: VecDeque<Time>,
}

/// One VM's part of the retry budget.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    /// What this VM adds to its part before it is rounded down, from 0 to 1.
    rounding: f64,
    services: HashMap<Service, Window>,
}

impl RetryBudget {
    /// Creates an unused budget that rounds its part down.
    #[must_use]
    pub fn new(limits: RetryLimits) -> Self {
        Self { limits, rounding: 0.0, services: HashMap::new() }
    }

    /// Sets the fraction that is added before the part is rounded down; it should be a random
    /// number from 0 to 1 that differs between VMs.
    #[must_use]
    pub fn with_rounding(self, rounding: f64) -> Self {
        Self { rounding: rounding.clamp(0.0, 1.0), ..self }
    }

    /// Counts a caller's request for a service.
    pub fn count_request(&mut self, now: Time, service: &Service) {
        let max_age = self.limits.window;
        let window = self.window(now, service);
        window.requests.push_back(now);
        remove_expired(&mut window.requests, now, max_age);
    }

    /// Takes one repeat for a service if the budget allows it; `vms` is the number of VMs that
    /// share the allowance.
    pub fn try_take(&mut self, now: Time, service: &Service, vms: usize) -> bool {
        if self.remaining(now, service, vms) < 1.0 {
            return false;
        }
        self.window(now, service).repeats.push_back(now);
        true
    }

    /// Returns the number of repeats that are left for a service in this window.
    pub fn remaining(&mut self, now: Time, service: &Service, vms: usize) -> f64 {
        let (limits, rounding) = (self.limits, self.rounding);
        let window = self.window(now, service);
        let allowance = limits.allowance / to_f64(vms.max(1));
        let limit = limits.ratio * to_f64(window.requests.len()) + allowance;
        limit * USED_PERCENT / 100.0 + rounding - to_f64(window.repeats.len())
    }

    fn window(&mut self, now: Time, service: &Service) -> &mut Window {
        let max_age = self.limits.window;
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Window::default());
        }
        let window = self.services.entry(service.clone()).or_default();
        remove_expired(&mut window.requests, now, max_age);
        remove_expired(&mut window.repeats, now, max_age);
        window
    }
}

fn remove_expired(times: &mut VecDeque<Time>, now: Time, max_age: Duration) {
    while times.front().is_some_and(|at| now.since(*at) > max_age) {
        times.pop_front();
    }
}

fn to_f64(n: usize) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}
