//! The definition of the command line.

use std::path::PathBuf;

use badgerfield_core::ids::Service;
use clap::{Arg, ArgAction, Command, value_parser};

const EXIT_CODES: &str = "Exit codes:
  0  success
  1  failure; the reason is on standard error
  2  invalid arguments
  3  a file has faults; each is listed with its line, section and key
  4  somebody else has changed the templates; nothing was written
  5  accepted, but not confirmed by every VM in time
  6  a watched rollout was rolled back";

const SETTINGS_HELP: &str = "A settings file has these sections and keys (* is required):

  [vm]        name*, region*, domain*
              link                              bandwidth of its link in Mbit/s; VMs with wide
                                                links do work for others first
              memory                            MB that the process may use; it warns near them
  [listen]    callers*, peers*, operators*      addresses such as 10.0.0.1:8080;
              advertise                         the address that peers use, if different
  [gateway]   requests*, ready*, directory      addresses for requests on routes; the
              grace, connections                section is optional
  [platform]  kv*, vm_list                      addresses such as http://10.0.0.9:2379
              adapter (etcd or platform; etcd needs vm_list), prefix, timeout, vm_poll,
              replicas_poll
  [keys]      fleet*, accept                    see `badgerfield key --fleet`
  [limits]    body, requests, shards, remember, replay, replay_bytes, directory, silence
  [pacing]    ahead, report, beat, hand_on, notice, seals (true or false)
  [policy]    divide, top_up (true or false), at_hand, budget_wait, warm_up_senders
              (docs/POLICY.md)
  [retries]   ratio, allowance, window
  [warm_up]   overshoot, allowance              the fleet's limit on requests per second to a cold
              upstream: overshoot times its rate, plus allowance
  [rollout]   share, allowance, rollback        the limit on requests to a version before it
              is found bad: share of the service's requests, plus allowance; rollback is how
              long it may still be sent requests after that
  [regions]   DOMAIN = REGION                   one line per failure domain
  [locality]  domain_trip, region_trip          round-trip times to another domain or region;
              domain_price, region_price        price of 1,000 bytes, in ms of delay
  [log]       level, format (text or json), and a level for each of
              node, peers, platform, upstreams, callers, bills, requests

A template file has a section for each client account and for each budget:

  [account NAME]       priority, models, adapters, hardware, services, unrepeatable,
                       home, spread, output_limit, call_cost, queue_wait,
                       regions (where the account may be served and its data stored;
                       all if omitted)
  [budget NAME/BUDGET] limit*, period, keys*    see `badgerfield key`";

/// Returns the command line parser.
pub(crate) fn command() -> Command {
    Command::new("badgerfield")
        .about("Routes model requests against prepaid budgets, on one of several equal VMs")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(run_command())
        .subcommand(check_command())
        .subcommand(template_command())
        .subcommand(budget_command())
        .subcommand(rollout_command())
        .subcommand(key_command())
}

fn run_command() -> Command {
    Command::new("run")
        .about("Runs the daemon until SIGTERM or SIGINT")
        .long_about(
            "Runs the daemon. On SIGTERM or SIGINT it leaves the directory, continues to serve \
             while callers may still send requests, completes every stream, returns its \
             holdings, and exits.",
        )
        .arg(settings_arg())
}

fn check_command() -> Command {
    Command::new("check")
        .about("Validates a settings file or a template file, or both, and lists every fault")
        .after_long_help(SETTINGS_HELP)
        .arg(settings_arg().required(false))
        .arg(
            Arg::new("templates")
                .long("templates")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("The template file to validate"),
        )
}

fn template_command() -> Command {
    Command::new("template")
        .about("Applies and prints the templates that define accounts and budgets")
        .subcommand_required(true)
        .subcommand(
            Command::new("apply")
                .about("Puts all templates of a file in force, or none if it has faults")
                .arg(settings_arg())
                .arg(
                    Arg::new("file")
                        .required(true)
                        .value_name("FILE")
                        .value_parser(value_parser!(PathBuf))
                        .help("The template file, which replaces all templates in force"),
                )
                .arg(
                    Arg::new("author")
                        .long("author")
                        .required(true)
                        .value_name("NAME")
                        .help("The author of the change, for the audit trail"),
                )
                .arg(
                    Arg::new("expect")
                        .long("expect")
                        .value_name("VERSION")
                        .value_parser(value_parser!(u64))
                        .help("Apply only if this version is in force"),
                )
                .arg(Arg::new("wait").long("wait").action(ArgAction::SetTrue).help(
                    "Wait until every VM has confirmed the change, and list those that have not",
                )),
        )
        .subcommand(Command::new("show").about("Prints all templates as JSON").arg(settings_arg()))
        .subcommand(Command::new("list").about("Prints one line per template").arg(settings_arg()))
        .subcommand(Command::new("history").about("Prints the audit trail").arg(settings_arg()))
}

fn budget_command() -> Command {
    Command::new("budget").about("Prints budgets").subcommand_required(true).subcommand(
        Command::new("show")
            .about("Prints the limit and the billed, held and remaining tokens of every budget")
            .arg(settings_arg())
            .arg(Arg::new("budget").value_name("BUDGET").help("Print only this budget")),
    )
}

fn rollout_command() -> Command {
    let service = || {
        Arg::new("service")
            .value_name("SERVICE")
            .value_parser(value_parser!(Service))
            .help("Only this service; otherwise all services with an order")
    };
    Command::new("rollout")
        .about("Prints the progress of rollouts")
        .subcommand_required(true)
        .subcommand(
            Command::new("status")
                .about("Prints the order and the record of each service, one line per service")
                .arg(settings_arg())
                .arg(service()),
        )
        .subcommand(
            Command::new("watch")
                .about("Prints each change until all rollouts have ended")
                .arg(settings_arg())
                .arg(service()),
        )
}

fn key_command() -> Command {
    Command::new("key")
        .about("Generates a caller's key and its digest, or the secret of a fleet")
        .arg(
            Arg::new("fleet")
                .long("fleet")
                .action(ArgAction::SetTrue)
                .help("Generate a secret that the processes of a fleet share"),
        )
        .arg(
            Arg::new("digest")
                .long("digest")
                .value_name("KEY")
                .help("Print the digest of this key"),
        )
}

fn settings_arg() -> Arg {
    Arg::new("settings")
        .long("settings")
        .short('s')
        .required(true)
        .env("BADGERFIELD_SETTINGS")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("The settings file")
}
