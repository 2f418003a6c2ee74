//! Settings of one process, read from an INI file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use badgerfield_core::Pacing;
use badgerfield_core::amount::Percent;
use badgerfield_core::ids::{Domain, Region, VmId};
use badgerfield_core::locality::DistanceCosts;
use badgerfield_core::policy::Policy;
use badgerfield_core::residency::RegionMap;
use badgerfield_core::retry_budget::RetryLimits;
use badgerfield_core::rollout::RolloutBound;
use badgerfield_core::warm_up::WarmUpBound;
use hyper::Uri;
use log::LevelFilter;

use crate::ini_file::{IniError, IniFile};
use crate::memory::Kilobytes;
use crate::peers::FleetSecret;

/// The maximum price of bytes sent to another domain or region, in milliseconds per 1,000 bytes.
/// This price exceeds every delay that a caller waits for.
const MAX_PRICE_MS: f64 = 10_000.0;
/// The sections that are allowed in a settings file.
const SECTIONS: [&str; 14] = [
    "vm", "listen", "gateway", "platform", "keys", "limits", "pacing", "policy", "retries",
    "warm_up", "regions", "locality", "rollout", "log",
];

/// The settings of one process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The name of the VM.
    pub vm: VmId,
    /// The region of the VM.
    pub region: Region,
    /// The failure domain of the VM.
    pub domain: Domain,
    /// The bandwidth of the VM's link in Mbit/s; 0 if it is unknown.
    pub link_mbps: u32,
    /// The memory that the process may use; `None` if the platform sets no limit.
    pub memory_limit: Option<Kilobytes>,
    /// The region of each failure domain, including that of this VM.
    pub regions: RegionMap,
    /// The costs of sending a request to another failure domain or region.
    pub locality: DistanceCosts,
    /// The listen address for callers.
    pub caller_address: SocketAddr,
    /// The listen address for peers.
    pub peer_address: SocketAddr,
    /// The address that peers connect to. It differs from `peer_address` behind a relay, for
    /// instance.
    pub advertised_address: SocketAddr,
    /// The listen address for operators.
    pub operator_address: SocketAddr,
    /// The settings of the gateway; `None` if this VM serves no requests on routes.
    pub gateway: Option<GatewaySettings>,
    /// The connection to the platform.
    pub platform: PlatformSettings,
    /// The secret that all processes of the fleet currently share.
    pub fleet_secret: FleetSecret,
    /// Previous and next secrets, which are accepted too while the secret is being replaced.
    pub accepted_secrets: Vec<FleetSecret>,
    /// Limits on sizes, counts and retention.
    pub limits: Limits,
    /// Intervals and horizons of periodic work.
    pub pacing: Pacing,
    /// Limits on retries.
    pub retries: RetryLimits,
    /// The bound on requests to cold upstreams; `None` if the platform sets none.
    pub warm_up: Option<WarmUpBound>,
    /// Log levels and format.
    pub log: LogSettings,
}

/// The connection to the platform.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// The address of the store.
    pub store_uri: Uri,
    /// The prefix of all keys in the store.
    pub prefix: String,
    /// The timeout of a call to the store.
    pub timeout: Duration,
    /// The adapter for the platform.
    pub adapter: AdapterKind,
    /// The address of the VM list; `None` if the platform has none.
    pub vm_list: Option<Uri>,
    /// The interval between reads of the list of upstreams on routes.
    pub upstream_poll_interval: Duration,
    /// The interval between reads of the VM list.
    pub vm_poll_interval: Duration,
}

/// The settings of the gateway, which serves requests on routes.
#[derive(Debug, Clone, Copy)]
pub struct GatewaySettings {
    /// The listen address for requests.
    pub request_address: SocketAddr,
    /// The listen address of the directory, which lists the VMs for callers; `None` if this VM
    /// serves no directory.
    pub directory_address: Option<SocketAddr>,
    /// The listen address for readiness checks by the platform.
    pub readiness_address: SocketAddr,
    /// The maximum time from the stop signal until the process exits.
    pub shutdown_timeout: Duration,
    /// The maximum number of open connections from callers.
    pub max_connections: usize,
}

/// The adapter between this process and its platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdapterKind {
    /// A store behind the HTTP gateway of etcd, and a VM list.
    Etcd,
    /// The users' platform.
    Platform,
}

impl std::str::FromStr for AdapterKind {
    type Err = AdapterKindError;

    fn from_str(text: &str) -> Result<Self, AdapterKindError> {
        match text {
            "etcd" => Ok(Self::Etcd),
            "platform" => Ok(Self::Platform),
            other => Err(AdapterKindError(other.to_owned())),
        }
    }
}

/// The error for a text that is not the name of an adapter.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected etcd or platform, found {0:?}")]
pub struct AdapterKindError(String);

/// Limits on sizes, counts and retention in one process.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// The maximum number of open requests.
    pub max_requests: usize,
    /// The number of shards of the ledger, each a value in the store.
    pub shards: u32,
    /// The retention period of request keys.
    pub key_retention: Duration,
    /// The retention period of completed answers.
    pub replay_retention: Duration,
    /// The maximum size of all retained completed answers, in bytes.
    pub max_replay_bytes: usize,
    /// How long callers may cache a response of the directory.
    pub directory_ttl: Duration,
    /// The maximum time without data from an upstream before its stream counts as broken.
    pub silence_timeout: Duration,
}

/// Log levels and format.
#[derive(Debug, Clone)]
pub struct LogSettings {
    /// The default level.
    pub level: LevelFilter,
    /// The levels of individual log targets, which override the default.
    pub target_levels: Vec<(String, LevelFilter)>,
    /// Whether log lines are written as JSON.
    pub json: bool,
}

impl Settings {
    /// Loads a settings file and validates it.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or has faults. The error lists every fault.
    pub fn load(path: &Path) -> Result<Self, IniError> {
        Self::from_ini(IniFile::load(path)?)
    }

    /// Reads the settings from a parsed file and validates them.
    ///
    /// # Errors
    ///
    /// Fails if the file has faults. The error lists every fault.
    pub fn from_ini(mut file: IniFile) -> Result<Self, IniError> {
        let vm = file.required_value("vm", "name");
        let region = file.required_value("vm", "region");
        let domain = file.required_value("vm", "domain");
        let link_mbps = read_link(&mut file);
        let memory_limit = read_memory_limit(&mut file);
        let regions = read_regions(&mut file, domain.as_ref(), region.as_ref());
        let locality = read_locality(&mut file);
        let callers = file.required_value("listen", "callers");
        let peers = file.required_value("listen", "peers");
        let operators = file.required_value("listen", "operators");
        let advertised = match file.optional_text("listen", "advertise") {
            Some(_) => file.required_value("listen", "advertise"),
            None => peers,
        };
        let gateway = GatewaySettings::from_ini(&mut file);
        let platform = PlatformSettings::from_ini(&mut file);
        let secret = file.required_value("keys", "fleet");
        let accepted = file.list("keys", "accept");
        let limits = Limits::from_ini(&mut file);
        let pacing = read_pacing(&mut file);
        let retries = read_retries(&mut file);
        let warm_up = read_warm_up(&mut file);
        let log = LogSettings::from_ini(&mut file);
        let build = || {
            Some(Self {
                vm: vm?,
                region: region?,
                domain: domain?,
                link_mbps,
                memory_limit,
                regions,
                locality,
                caller_address: callers?,
                peer_address: peers?,
                advertised_address: advertised?,
                operator_address: operators?,
                gateway,
                platform: platform?,
                fleet_secret: secret?,
                accepted_secrets: accepted,
                limits,
                pacing,
                retries,
                warm_up,
                log,
            })
        };
        let settings = build();
        file.finish(|section| SECTIONS.contains(&section))?;
        // Each missing value has been recorded as a fault, so `finish` has already failed.
        settings.ok_or(IniError::Faulty(Vec::new()))
    }
}

/// Reads the bandwidth of the VM's link in Mbit/s; fractions are dropped.
fn read_link(file: &mut IniFile) -> u32 {
    let Some(text) = file.optional_text("vm", "link") else {
        return 0;
    };
    let (whole, _) = text.split_once('.').unwrap_or((&text, ""));
    whole.parse().unwrap_or_else(|_| {
        let message = format!("expected a bandwidth in Mbit/s, found {text:?}");
        file.record_fault("vm", Some("link"), message);
        0
    })
}

/// Reads the memory limit, which the platform states in MB; fractions are dropped.
///
/// An empty value counts as absent: a settings file made from a template leaves it empty where the
/// platform sets no limit.
fn read_memory_limit(file: &mut IniFile) -> Option<Kilobytes> {
    let text = file.optional_text("vm", "memory").filter(|text| !text.is_empty())?;
    let (whole, _) = text.split_once('.').unwrap_or((&text, ""));
    let megabytes: Option<u64> = whole.parse().ok().filter(|megabytes| *megabytes > 0);
    if megabytes.is_none() {
        let message = format!("expected a size in MB, found {text:?}");
        file.record_fault("vm", Some("memory"), message);
    }
    megabytes.map(Kilobytes::from_megabytes)
}

impl PlatformSettings {
    fn from_ini(file: &mut IniFile) -> Option<Self> {
        let store_uri = read_http_uri(file, "kv");
        let adapter = file.value_or("platform", "adapter", AdapterKind::Etcd);
        let has_vm_list = adapter == AdapterKind::Etcd;
        let vm_list = if has_vm_list { Some(read_http_uri(file, "vm_list")?) } else { None };
        let prefix =
            file.optional_text("platform", "prefix").unwrap_or_else(|| "badgerfield/".into());
        let millis = Duration::from_millis;
        let timeout =
            file.duration_or("platform", "timeout", millis(1000), (millis(50), millis(10_000)));
        let vm_poll =
            file.duration_or("platform", "vm_poll", millis(2000), (millis(200), millis(60_000)));
        let upstream_poll = file.duration_or(
            "platform",
            "replicas_poll",
            millis(800),
            (millis(50), millis(60_000)),
        );
        Some(Self {
            store_uri: store_uri?,
            adapter,
            prefix,
            timeout,
            vm_list,
            upstream_poll_interval: upstream_poll,
            vm_poll_interval: vm_poll,
        })
    }
}

impl GatewaySettings {
    fn from_ini(file: &mut IniFile) -> Option<Self> {
        if !file.sections().iter().any(|name| name == "gateway") {
            return None;
        }
        let requests = file.required_value("gateway", "requests");
        let ready = file.required_value("gateway", "ready");
        let directory = match file.optional_text("gateway", "directory") {
            None => None,
            Some(text) if text.is_empty() => None,
            Some(_) => file.required_value("gateway", "directory"),
        };
        let secs = Duration::from_secs;
        let grace = file.duration_or("gateway", "grace", secs(8), (secs(1), secs(600)));
        let connections = file.value_or("gateway", "connections", 2000);
        Some(Self {
            request_address: requests?,
            directory_address: directory,
            readiness_address: ready?,
            shutdown_timeout: grace,
            max_connections: connections,
        })
    }
}

/// Reads the region of each failure domain. A domain listed in two regions is a fault.
fn read_regions(
    file: &mut IniFile,
    own_domain: Option<&Domain>,
    own_region: Option<&Region>,
) -> RegionMap {
    let mut domains: BTreeMap<Domain, Region> = BTreeMap::new();
    if let Some((domain, region)) = own_domain.zip(own_region) {
        domains.insert(domain.clone(), region.clone());
    }
    for (key, text) in file.entries("regions") {
        let domain = file.parse_value::<Domain>("regions", &key, &key);
        let found = file.parse_value::<Region>("regions", &key, &text);
        let Some((domain, found)) = domain.zip(found) else {
            continue;
        };
        if let Some(known) = domains.get(&domain).filter(|known| **known != found) {
            let message = format!("expected one region per domain, found {found} and {known}");
            file.record_fault("regions", Some(&key), message);
            continue;
        }
        domains.insert(domain, found);
    }
    RegionMap::new(domains)
}

fn read_locality(file: &mut IniFile) -> DistanceCosts {
    let default = DistanceCosts::default();
    let (min, max) = (Duration::ZERO, Duration::from_secs(10));
    DistanceCosts {
        domain_round_trip: file.duration_or(
            "locality",
            "domain_trip",
            default.domain_round_trip,
            (min, max),
        ),
        region_round_trip: file.duration_or(
            "locality",
            "region_trip",
            default.region_round_trip,
            (min, max),
        ),
        domain_price: read_price(file, "domain_price", default.domain_price),
        region_price: read_price(file, "region_price", default.region_price),
    }
}

/// Reads a price of bytes, in milliseconds per 1,000 bytes.
fn read_price(file: &mut IniFile, key: &str, default: f64) -> f64 {
    let price = file.value_or("locality", key, default);
    if (0.0..=MAX_PRICE_MS).contains(&price) {
        return price;
    }
    let message = format!("expected a price from 0 to {MAX_PRICE_MS}, found {price}");
    file.record_fault("locality", Some(key), message);
    default
}

fn read_pacing(file: &mut IniFile) -> Pacing {
    let default = Pacing::default();
    let (min, max) = (Duration::from_millis(50), Duration::from_secs(86_400));
    Pacing {
        hold_ahead: file.duration_or("pacing", "ahead", default.hold_ahead, (min, max)),
        report_interval: file.duration_or("pacing", "report", default.report_interval, (min, max)),
        heartbeat_interval: file.duration_or(
            "pacing",
            "beat",
            default.heartbeat_interval,
            (min, max),
        ),
        return_timeout: file.duration_or("pacing", "hand_on", default.return_timeout, (min, max)),
        leave_notice: file.duration_or("pacing", "notice", default.leave_notice, (min, max)),
        apply_timeout: file.duration_or("pacing", "apply", default.apply_timeout, (min, max)),
        seal_holdings: file.value_or("pacing", "seals", default.seal_holdings),
        rollout: read_rollout(file),
        policy: read_policy(file),
    }
}

fn read_policy(file: &mut IniFile) -> Policy {
    let default = Policy::default();
    let (min, max) = (Duration::ZERO, Duration::from_secs(60));
    Policy {
        divide_engines: file.value_or("policy", "divide", default.divide_engines),
        top_up: file.value_or("policy", "top_up", default.top_up),
        prefetch_span: file.duration_or("policy", "at_hand", default.prefetch_span, (min, max)),
        budget_wait_percent: file.value_or("policy", "budget_wait", default.budget_wait_percent),
        warm_up_senders: file.value_or("policy", "warm_up_senders", default.warm_up_senders),
    }
}

fn read_retries(file: &mut IniFile) -> RetryLimits {
    let default = RetryLimits::default();
    let (min, max) = (Duration::from_millis(100), Duration::from_secs(3600));
    RetryLimits {
        ratio: file.value_or("retries", "ratio", default.ratio),
        allowance: file.value_or("retries", "allowance", default.allowance),
        window: file.duration_or("retries", "window", default.window, (min, max)),
    }
}

/// Reads the bound on requests to cold upstreams.
///
/// Empty values count as absent: a settings file made from a template leaves them empty where the
/// platform sets no bound. If only one of the two values is given, the other one allows no excess:
/// `overshoot` is then 1 and `allowance` 0.
fn read_warm_up(file: &mut IniFile) -> Option<WarmUpBound> {
    let mut read_value = |key| {
        let text = file.optional_text("warm_up", key).unwrap_or_default();
        if text.is_empty() {
            return None;
        }
        let value: Option<f64> = file.required_value("warm_up", key);
        if value.is_some_and(|value| !value.is_finite() || value < 0.0) {
            file.record_fault("warm_up", Some(key), "expected a non-negative number".to_owned());
        }
        value
    };
    let (overshoot, allowance) = (read_value("overshoot"), read_value("allowance"));
    if overshoot.is_none() && allowance.is_none() {
        return None;
    }
    let (overshoot, allowance) = (overshoot.unwrap_or(1.0), allowance.unwrap_or(0.0));
    Some(WarmUpBound { overshoot, extra_requests: allowance })
}

/// Reads the bound on rollouts.
///
/// Empty values and a unit without a number count as absent: a settings file made from a template
/// contains them where the platform sets no bound.
fn read_rollout(file: &mut IniFile) -> RolloutBound {
    let default = RolloutBound::default();
    let is_blank = |file: &mut IniFile, key| {
        let text = file.optional_text("rollout", key).unwrap_or_default();
        text.is_empty() || text == "ms"
    };
    let share =
        if is_blank(file, "share") { None } else { file.required_value("rollout", "share") };
    if share.is_some_and(|share: f64| !(0.0..=1.0).contains(&share)) {
        file.record_fault("rollout", Some("share"), "expected a fraction from 0 to 1".to_owned());
    }
    let allowance = if is_blank(file, "allowance") {
        default.extra_requests
    } else {
        file.value_or("rollout", "allowance", default.extra_requests)
    };
    let (min, max) = (Duration::from_millis(100), Duration::from_secs(3600));
    let rollback = if is_blank(file, "rollback") {
        default.rollback_time
    } else {
        file.duration_or("rollout", "rollback", default.rollback_time, (min, max))
    };
    RolloutBound {
        share: share.map_or(default.share, Percent::from_fraction),
        extra_requests: allowance,
        rollback_time: rollback,
    }
}

impl Limits {
    fn from_ini(file: &mut IniFile) -> Self {
        let secs = Duration::from_secs;
        Self {
            max_body_bytes: read_limit(file, "body", 1_000_000, (1_000, 64_000_000)),
            max_requests: read_limit(file, "requests", 4_000, (1, 100_000)),
            shards: u32::try_from(read_limit(file, "shards", 4, (1, 256))).unwrap_or(4),
            key_retention: file.duration_or(
                "limits",
                "remember",
                secs(900),
                (secs(10), secs(86_400)),
            ),
            replay_retention: file.duration_or(
                "limits",
                "replay",
                secs(120),
                (secs(1), secs(3_600)),
            ),
            max_replay_bytes: read_limit(file, "replay_bytes", 32_000_000, (0, 4_000_000_000)),
            directory_ttl: file.duration_or("limits", "directory", secs(10), (secs(1), secs(300))),
            silence_timeout: file.duration_or("limits", "silence", secs(10), (secs(1), secs(300))),
        }
    }
}

impl LogSettings {
    fn from_ini(file: &mut IniFile) -> Self {
        let level = file.value_or("log", "level", LevelFilter::Info);
        let json = match file.optional_text("log", "format").as_deref() {
            None | Some("text") => false,
            Some("json") => true,
            Some(other) => {
                let message = format!("expected text or json, found {other:?}");
                file.record_fault("log", Some("format"), message);
                false
            }
        };
        let mut target_levels = Vec::new();
        for target in crate::logs::LOG_TARGETS {
            if let Some(level) = file.optional_text("log", target) {
                if let Ok(level) = level.parse() {
                    target_levels.push((target.to_owned(), level));
                } else {
                    let message =
                        format!("expected off, error, warn, info, debug or trace, found {level:?}");
                    file.record_fault("log", Some(target), message);
                }
            }
        }
        Self { level, target_levels, json }
    }
}

fn read_http_uri(file: &mut IniFile, key: &str) -> Option<Uri> {
    let uri: Uri = file.required_value("platform", key)?;
    if uri.scheme_str() != Some("http") || uri.authority().is_none() {
        let message = format!("expected an HTTP address such as http://10.0.0.1:2379, found {uri}");
        file.record_fault("platform", Some(key), message);
        return None;
    }
    Some(uri)
}

fn read_limit(file: &mut IniFile, key: &str, default: usize, bounds: (usize, usize)) -> usize {
    let Some(text) = file.optional_text("limits", key) else {
        return default;
    };
    let found = text.replace('_', "").parse::<usize>().ok();
    match found {
        Some(number) if number >= bounds.0 && number <= bounds.1 => number,
        _ => {
            let message =
                format!("expected a number from {} to {}, found {text:?}", bounds.0, bounds.1);
            file.record_fault("limits", Some(key), message);
            default
        }
    }
}
