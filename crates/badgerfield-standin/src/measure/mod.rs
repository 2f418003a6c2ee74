//! Measures overspend and false refusals of badgerfield and of naive baselines.
//!
//! All systems run the same arrivals under the same faults. A refusal is false if an ideal
//! ledger, which sees every reservation and every end without delay, would have admitted the
//! request at that moment.

mod naive;
mod ours;
mod workload;

use std::collections::BTreeMap;
use std::time::Duration;

pub use naive::{Central, Lease, Split};
pub use ours::Ours;
pub use workload::{Arrival, Case, Fault};

/// The results of one system in one case.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CaseResult {
    /// The requests that callers sent.
    pub requests: u64,
    /// The tokens served beyond the prepaid budgets.
    pub overspend: u64,
    /// The false refusals: requests refused although the budget had enough left.
    pub refused: u64,
    /// The requests refused because the budget had too little left.
    pub spent_out: u64,
    /// The false refusals by cause.
    pub causes: BTreeMap<&'static str, u64>,
    /// The requests that ended because their VM was killed.
    pub lost: u64,
    /// The tokens that are left at the end but that no VM can spend.
    pub stranded: u64,
    /// Calls to the key-value service per second.
    pub kv_calls: f64,
    /// The 50th and 99th percentile of the time from arrival to dispatch.
    pub dispatch_delay: (Duration, Duration),
}

/// A system under measurement.
pub trait System {
    /// Returns the name that the table shows.
    fn name(&self) -> &'static str;

    /// Runs one case and returns its results.
    fn run(&self, case: &Case) -> CaseResult;
}

/// Runs all systems in all cases and prints a table for each case.
pub fn print(seed: u64) {
    let systems: [&dyn System; 4] = [&Ours, &Central, &Split, &Lease];
    println!(
        "8 VMs in 2 regions, 10 client accounts, seed {seed}; simulated time, same arrivals for all"
    );
    for case in Case::all(seed) {
        println!();
        println!("{}: {}", case.name, case.description);
        println!(
            "  {:<24} {:>8} {:>9} {:>8} {:>9} {:>6} {:>9} {:>7} {:>8} {:>8}",
            "",
            "requests",
            "overspend",
            "refused",
            "spent out",
            "lost",
            "stranded",
            "kv/s",
            "p50",
            "p99"
        );
        for system in systems {
            let result = system.run(&case);
            println!(
                "  {:<24} {:>8} {:>9} {:>8} {:>9} {:>6} {:>9} {:>7.1} {:>8} {:>8}",
                system.name(),
                result.requests,
                result.overspend,
                result.refused,
                result.spent_out,
                result.lost,
                result.stranded,
                result.kv_calls,
                format_millis(result.dispatch_delay.0),
                format_millis(result.dispatch_delay.1)
            );
            for (cause, count) in &result.causes {
                println!("    of these {cause}: {count}");
            }
        }
    }
    println!();
    println!("refused: refused although an ideal ledger would have admitted the request");
    println!("spent out: refused as by an ideal ledger; lost: ended because the VM was killed");
    println!(
        "stranded: tokens that no VM can spend at the end; p50, p99: from arrival to dispatch"
    );
}

fn format_millis(duration: Duration) -> String {
    format!("{:.1}ms", duration.as_secs_f64() * 1000.0)
}

/// Returns a percentile of sorted durations; zero if there are none.
fn percentile(sorted: &[Duration], percent: usize) -> Duration {
    let last = sorted.len().saturating_sub(1);
    sorted.get(last * percent / 100).copied().unwrap_or_default()
}
