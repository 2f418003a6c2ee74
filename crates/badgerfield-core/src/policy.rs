//! What may be switched off or set otherwise, to measure what each mechanism is worth.
//!
//! The figures stand in the settings' part `[policy]`; docs/POLICY.md says what each was
//! measured to be worth, and where.

use std::time::Duration;

/// How this process decides where there is a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Whether engines are divided between long and short prompts.
    pub divide_engines: bool,
    /// Whether holdings are topped up and sealed anew before they run dry.
    pub top_up: bool,
    /// How much demand, in time, a busy borrower keeps at hand; zero for none.
    ///
    /// It is more than an answer of its lender takes, also where the VM's link is full
    /// (0.5 to 0.8 s by the logs of a busy VM), and little to lose when the process ends.
    pub prefetch_span: Duration,
    /// The part of its objective, in hundredths, that a request waits for tokens.
    ///
    /// An answer may come late as well; a wait of 22 in 100, within what the users count as
    /// an early refusal, measured worse (docs/POLICY.md).
    pub budget_wait_percent: u32,
    /// How many VMs may send to an upstream that is cold; with 0 it gets nothing until it is
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
