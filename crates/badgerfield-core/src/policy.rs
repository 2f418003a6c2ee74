//! Settings of mechanisms that can be switched off or adjusted to measure their benefit.
//!
//! They are in the section `[policy]` of the settings. `docs/POLICY.md` has the measurements.

use std::time::Duration;

/// Switches and parameters of a process's mechanisms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Whether engines are divided between long and short prompts.
    pub divide_engines: bool,
    /// Whether holdings are topped up, and sealed again, before they are used up.
    pub top_up: bool,
    /// The longest span of future demand for which a busy borrower prefetches tokens; zero to
    /// prefetch none.
    ///
    /// It is longer than a lender takes to answer, even if the VM's network link is saturated (0.5
    /// to 0.8 s on a busy VM). While lenders answer quickly the span is shorter, so that little is
    /// lost when the process ends.
    pub prefetch_span: Duration,
    /// The time that a request may wait for tokens, in percent of its latency objective.
    ///
    /// The default exceeds 100 because an answer may also be late. A wait of 22 percent, at which
    /// users still count a refusal as early, gave worse results (`docs/POLICY.md`).
    pub budget_wait_percent: u32,
    /// The number of VMs that may send requests to a cold upstream; with 0 it gets none until it is
    /// warm.
    pub warm_up_senders: usize,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            divide_engines: true,
            top_up: true,
            prefetch_span: Duration::from_millis(1500),
            budget_wait_percent: 150,
            warm_up_senders: 3,
        }
    }
}
