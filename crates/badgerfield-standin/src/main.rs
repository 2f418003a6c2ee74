//! The command line of the stand-ins.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context, Result};
use badgerfield_standin::{capacity, engine, kv, load, measure, route, service, vms, whole_fleet};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

fn command() -> Command {
    let listen = || address("listen", "The address that the stand-in listens on");
    let admin = || address("admin", "The address of its admin port");
    let standin = |name: &'static str, about: &'static str| {
        Command::new(name).about(about).arg(listen()).arg(admin())
    };
    Command::new("badgerfield-standin")
        .about("Stand-ins for the systems that badgerfield depends on, for tests and experiments only")
        .subcommand_required(true)
        .subcommand(standin("kv", "The key-value service"))
        .subcommand(
            standin("engine", "A model engine")
                .arg(number("prefill", "20000", "Prompt tokens read per second"))
                .arg(number("decode", "50", "Output tokens of each stream per second"))
                .arg(number("slots", "32", "The maximum number of concurrent streams"))
                .arg(number("cache", "4000", "The number of prefix digests that the cache holds")),
        )
        .subcommand(standin("service", "A plain service"))
        .subcommand(
            Command::new("measure")
                .about("Measures overspend and false refusals against naive baselines")
                .arg(number("seed", "1", "The seed of the arrivals and delays")),
        )
        .subcommand(load_command())
        .subcommand(Command::new("route").about("Compares policies for choosing an upstream").arg(number(
            "seed",
            "1",
            "The seed of the arrivals",
        )))
        .subcommand(
            Command::new("capacity")
                .about("Measures how state, messages, calls and CPU time grow with the size of the fleet")
                .arg(number("seed", "1", "The seed of the arrivals and delays")),
        )
        .subcommand(
            Command::new("fleet")
                .about("Measures the start of a whole fleet, and how fast changes reach all VMs")
                .arg(number("vms", "984", "The number of VMs"))
                .arg(number("domains", "5", "The number of failure domains"))
                .arg(number("upstreams", "10000", "The number of upstreams"))
                .arg(number("budgets", "333", "The number of budgets"))
                .arg(number("seed", "1", "The seed of the delays")),
        )
        .subcommand(
            standin("vms", "The VM list").arg(
                Arg::new("file")
                    .long("file")
                    .required(true)
                    .value_parser(value_parser!(PathBuf))
                    .help("A JSON file with the initial list"),
            ),
        )
}

fn load_command() -> Command {
    let text = |name: &'static str| Arg::new(name).long(name);
    Command::new("load")
        .about(
            "Sends requests as callers do, and compares the answers with what the engines served",
        )
        .arg(address("directory", "The address of a VM that answers directory requests"))
        .arg(text("key").required(true).help("The API key of the caller"))
        .arg(text("model").default_value("land-7b").help("The model of the requests"))
        .arg(
            address("engine", "The admin address of an engine; repeat it for each engine")
                .action(ArgAction::Append),
        )
        .arg(number("limit", "0", "The limit of the budget in tokens"))
        .arg(number("rate", "20", "Requests per second"))
        .arg(number("seconds", "10", "The duration in seconds"))
        .arg(number("output", "60", "The output limit of each request in tokens"))
        .arg(number("shared", "50", "The percentage of requests with a shared prefix"))
        .arg(number("seed", "1", "The seed of the arrivals and prompts"))
        .arg(text("json").action(ArgAction::SetTrue).help("Print the report as JSON"))
}

fn address(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).required(true).value_parser(value_parser!(SocketAddr)).help(help)
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64)).help(help)
}

#[tokio::main]
async fn main() -> Result<()> {
    let matches = command().get_matches();
    let (name, args) = matches.subcommand().context("expected a subcommand")?;
    let is_measurement = ["measure", "capacity", "route"].contains(&name);
    if let Some(seed) = args.try_get_one("seed").ok().flatten().filter(|_| is_measurement) {
        match name {
            "measure" => measure::print(*seed),
            "capacity" => capacity::print(*seed),
            _ => route::print(*seed),
        }
        return Ok(());
    }
    if name == "fleet" {
        whole_fleet::print(fleet_size(args)?);
        return Ok(());
    }
    if name == "load" {
        return load::run(load_plan(args)?, args.get_flag("json")).await;
    }
    let listen = *args.get_one("listen").context("expected --listen")?;
    let admin = *args.get_one("admin").context("expected --admin")?;
    match name {
        "kv" => kv::run(listen, admin).await?,
        "engine" => engine::run(listen, admin, engine_speed(args)?).await?,
        "service" => service::run(listen, admin).await?,
        _ => vms::run(listen, admin, read_list(args)?).await?,
    }
    tokio::signal::ctrl_c().await?;
    Ok(())
}

fn fleet_size(args: &ArgMatches) -> Result<whole_fleet::FleetSize> {
    let get = |name: &str| {
        let value = args.get_one::<u64>(name).copied().context("expected a number")?;
        usize::try_from(value).context("expected a smaller number")
    };
    Ok(whole_fleet::FleetSize {
        vms: get("vms")?,
        domains: get("domains")?,
        upstreams: get("upstreams")?,
        budgets: get("budgets")?,
        seed: *args.get_one("seed").context("expected a number")?,
    })
}

fn load_plan(args: &ArgMatches) -> Result<load::Plan> {
    let get = |name: &str| args.get_one::<u64>(name).copied().context("expected a number");
    let text = |name: &str| args.get_one::<String>(name).cloned().context("expected a text");
    Ok(load::Plan {
        directory: *args.get_one("directory").context("expected --directory")?,
        key: text("key")?,
        model: text("model")?,
        rate: get("rate")?,
        duration: Duration::from_secs(get("seconds")?),
        output_limit: get("output")?,
        shared_percent: get("shared")?,
        seed: get("seed")?,
        engine_admins: args.get_many("engine").into_iter().flatten().copied().collect(),
        budget_limit: get("limit")?,
    })
}

fn engine_speed(args: &ArgMatches) -> Result<engine::Speed> {
    let get = |name: &str| args.get_one::<u64>(name).copied().context("expected a number");
    Ok(engine::Speed {
        prefill: get("prefill")?,
        decode: get("decode")?,
        slots: usize::try_from(get("slots")?)?,
        cache: usize::try_from(get("cache")?)?,
    })
}

fn read_list(args: &ArgMatches) -> Result<serde_json::Value> {
    let path: &PathBuf = args.get_one("file").context("expected --file")?;
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    Ok(serde_json::from_str(&text)?)
}
