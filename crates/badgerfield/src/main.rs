//! The command line of badgerfield: the daemon and the operators' commands.

mod args;
mod budget;
mod check;
mod keys;
mod platform;
mod rollout;
mod run;
mod template;

use std::process::ExitCode;

use badgerfield_node::ini_file::IniError;

/// The command did what it was asked.
const DONE: u8 = 0;
/// The command failed.
const FAILED: u8 = 1;
/// A file has faults.
const FAULTY: u8 = 3;
/// Somebody else changed the templates.
const CONFLICT: u8 = 4;
/// The change is accepted, but not every VM has confirmed it in time.
const UNCONFIRMED: u8 = 5;
/// A roll-out that was watched was rolled back.
const ROLLED_BACK: u8 = 6;

fn main() -> ExitCode {
    let matches = args::command().get_matches();
    let done = match matches.subcommand() {
        Some(("run", args)) => run::run(args),
        Some(("check", args)) => check::run(args),
        Some(("template", args)) => template::run(args),
        Some(("budget", args)) => budget::run(args),
        Some(("rollout", args)) => rollout::run(args),
        Some(("key", args)) => keys::run(args),
        _ => Ok(FAILED),
    };
    match done {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("{error:#}");
            let faulty = error.downcast_ref::<IniError>().is_some();
            ExitCode::from(if faulty { FAULTY } else { FAILED })
        }
    }
}
