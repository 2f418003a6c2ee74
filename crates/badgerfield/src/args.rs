//! The arguments of every command.

use std::path::PathBuf;

use badgerfield_core::ids::Service;
use clap::{Arg, ArgAction, Command, value_parser};

const CODES: &str = "Exit codes:
  0  done
  1  failed; the reason is on standard error
  2  the arguments are wrong
  3  a file has faults; each is listed with its place
  4  somebody else changed the templates; nothing was written
  5  accepted, but not every VM has confirmed it in time
  6  a roll-out that was watched was rolled back";

const SETTINGS_HELP: &str = "A settings file has these sections and keys (* must be there):

  [vm]        name*, region*, domain*
  [listen]    callers*, peers*, operators*      addresses such as 10.0.0.1:8080;
              advertise                         the address that peers are told, if another
  [gateway]   requests*, ready*, directory      addresses for requests on routes; the
              grace, connections                section may be left out
  [platform]  kv*, vm_list                      addresses such as http://10.0.0.9:2379
              adapter (etcd or platform; etcd needs vm_list), prefix, timeout, vm_poll,
              replicas_poll
  [keys]      fleet*, accept                    see `badgerfield key --fleet`
  [limits]    body, requests, shards, remember, replay, replay_bytes, directory, silence
  [pacing]    ahead, report, beat, hand_on, notice, seals (true or false)
  [policy]    divide, top_up (true or false), at_hand, budget_wait, warm_up_senders
              (docs/POLICY.md)
  [retries]   ratio, allowance, window
  [warm_up]   overshoot, allowance              what the fleet may send a cold upstream in
              a second: overshoot times its rate, and allowance more
  [rollout]   share, allowance, rollback        what a version that is rolled out may get
              before it is found to be bad: this part of a service's requests, allowance
              more, and how long after
  [regions]   DOMAIN = REGION                   a line for each failure domain
  [locality]  domain_trip, region_trip          round trips to another domain and region;
              domain_price, region_price        ms of delay that 1,000 bytes count for
  [log]       level, format (text or json), and a level for each of
              node, peers, platform, upstreams, callers, bills, requests

A template file has a section for each client account and each of its budgets:

  [account NAME]       priority, models, adapters, hardware, services, unrepeatable,
                       home, spread, output_limit, call_cost, queue_wait,
                       regions (where it may be served and stored; all if left out)
  [budget NAME/BUDGET] limit*, period, keys*    see `badgerfield key`";

/// Returns the whole command line.
pub(crate) fn command() -> Command {
    Command::new("badgerfield")
        .about("Routes model requests against prepaid budgets, as one of several equal VMs")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(run())
        .subcommand(check())
        .subcommand(template())
        .subcommand(budget())
        .subcommand(rollout())
        .subcommand(key())
}

fn run() -> Command {
    Command::new("run")
        .about("Runs the daemon until it is told to stop (SIGTERM or SIGINT)")
        .long_about(
            "Runs the daemon. On SIGTERM or SIGINT it leaves the directory, serves on while \
             callers may still come, ends every stream, gives its holdings back, and exits.",
        )
        .arg(settings())
}

fn check() -> Command {
    Command::new("check")
        .about("Checks a settings file, and a template file, and lists every fault")
        .after_long_help(SETTINGS_HELP)
        .arg(settings().required(false))
        .arg(
            Arg::new("templates")
                .long("templates")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("The template file to check"),
        )
}

fn template() -> Command {
    Command::new("template")
        .about("Writes and reads the templates that drive the system")
        .subcommand_required(true)
        .subcommand(
            Command::new("apply")
                .about("Puts a template file in force, whole or not at all")
                .arg(settings())
                .arg(
                    Arg::new("file")
                        .required(true)
                        .value_name("FILE")
                        .value_parser(value_parser!(PathBuf))
                        .help("The template file; it replaces all templates"),
                )
                .arg(
                    Arg::new("author")
                        .long("author")
                        .required(true)
                        .value_name("NAME")
                        .help("Who makes the change, for the audit trail"),
                )
                .arg(
                    Arg::new("expect")
                        .long("expect")
                        .value_name("VERSION")
                        .value_parser(value_parser!(u64))
                        .help("Write only if this version is in force"),
                )
                .arg(
                    Arg::new("wait")
                        .long("wait")
                        .action(ArgAction::SetTrue)
                        .help("Wait until every VM has confirmed, and name those that have not"),
                ),
        )
        .subcommand(Command::new("show").about("Prints all templates as JSON").arg(settings()))
        .subcommand(Command::new("list").about("Prints one line for each template").arg(settings()))
        .subcommand(Command::new("history").about("Prints the audit trail").arg(settings()))
}

fn budget() -> Command {
    Command::new("budget").about("Reads budgets").subcommand_required(true).subcommand(
        Command::new("show")
            .about("Prints limit, billed, held and left of every budget in the ledger")
            .arg(settings())
            .arg(Arg::new("budget").value_name("BUDGET").help("Print only this one")),
    )
}

fn rollout() -> Command {
    let service = || {
        Arg::new("service")
            .value_name("SERVICE")
            .value_parser(value_parser!(Service))
            .help("Only this service; otherwise all that have an order")
    };
    Command::new("rollout")
        .about("Tells how far services have come that move to another version")
        .subcommand_required(true)
        .subcommand(
            Command::new("status")
                .about("Prints order and record as they stand at the platform, one line a service")
                .arg(settings())
                .arg(service()),
        )
        .subcommand(
            Command::new("watch")
                .about("Prints each change until all have ended")
                .arg(settings())
                .arg(service()),
        )
}

fn key() -> Command {
    Command::new("key")
        .about("Makes a caller's key with its digest, or a fleet's secret")
        .arg(
            Arg::new("fleet")
                .long("fleet")
                .action(ArgAction::SetTrue)
                .help("Make a secret that the system's processes share"),
        )
        .arg(
            Arg::new("digest")
                .long("digest")
                .value_name("KEY")
                .help("Print the digest of this key"),
        )
}

fn settings() -> Arg {
    Arg::new("settings")
        .long("settings")
        .short('s')
        .required(true)
        .env("BADGERFIELD_SETTINGS")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("The settings file")
}
