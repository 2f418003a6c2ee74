//! The command-line program of badgerfield: the daemon and the operators' commands.

mod args;
mod budget;
mod check;
mod keys;
mod rollout;
mod run;
mod store;
mod template;

use std::process::ExitCode;

use badgerfield_node::ini_file::IniError;

/// Exit code: success.
const DONE: u8 = 0;
/// Exit code: the command failed.
const FAILED: u8 = 1;
/// Exit code: a file has faults.
const FAULTY: u8 = 3;
/// Exit code: somebody else has changed the templates.
const CONFLICT: u8 = 4;
/// Exit code: the change was accepted, but not confirmed by every VM in time.
const UNCONFIRMED: u8 = 5;
/// Exit code: a watched rollout was rolled back.
const ROLLED_BACK: u8 = 6;

fn main() -> ExitCode {
    let matches = args::command().get_matches();
    let result = match matches.subcommand() {
        Some(("run", args)) => run::run(args),
        Some(("check", args)) => check::run(args),
        Some(("template", args)) => template::run(args),
        Some(("budget", args)) => budget::run(args),
        Some(("rollout", args)) => rollout::run(args),
        Some(("key", args)) => keys::run(args),
        _ => Ok(FAILED),
    };
    match result {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("{error:#}");
            let is_faulty = error.downcast_ref::<IniError>().is_some();
            ExitCode::from(if is_faulty { FAULTY } else { FAILED })
        }
    }
}
