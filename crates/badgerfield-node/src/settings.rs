//! The settings of one process.

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
use crate::peers::FleetSecret;

/// The highest price of bytes, in milliseconds per 1,000: it outweighs every delay that a caller
/// waits for.
const MAX_PRICE: f64 = 10_000.0;
/// The sections that a settings file may have.
const SECTIONS: [&str; 14] = [
    "vm", "listen", "gateway", "platform", "keys", "limits", "pacing", "policy", "retries",
    "warm_up", "regions", "locality", "rollout", "log",
];

/// All settings of one process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The VM.
    pub vm: VmId,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub domain: Domain,
    /// Which failure domain lies in which region, its own included.
    pub regions: RegionMap,
    /// What distance costs.
    pub locality: DistanceCosts,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the system's other processes connect.
    pub peer_address: SocketAddr,
    /// The address that they are told, where it is another: behind a relay, for instance.
    pub advertised_address: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Where requests on routes are taken, if they are.
    pub gateway: Option<GatewaySettings>,
    /// The platform.
    pub platform: Platform,
    /// The secret that the system's processes share, for now.
    pub secret: FleetSecret,
    /// Earlier and coming secrets that are accepted too.
    pub accepted: Vec<FleetSecret>,
    /// Limits.
    pub limits: Limits,
    /// How far ahead and how often regular work is done.
    pub pacing: Pacing,
    /// What may be sent twice.
    pub retries: RetryLimits,
    /// What upstreams get that are cold; nothing where the platform bounds that not.
    pub warm_up: Option<WarmUpBound>,
    /// What is logged.
    pub log: LogSettings,
}

/// Where the platform is.
#[derive(Debug, Clone)]
pub struct Platform {
    /// The key-value service.
    pub store_uri: Uri,
    /// What the names of all values begin with.
    pub prefix: String,
    /// How long a call may take.
    pub timeout: Duration,
    /// Which adapter translates for the platform.
    pub adapter: AdapterKind,
    /// The VM list; nothing where the platform has none.
    pub vm_list: Option<Uri>,
    /// How often the list of upstreams on routes is read.
    pub replicas_poll: Duration,
    /// How often the VM list is read.
    pub vm_poll: Duration,
}

/// Where requests on routes are taken.
#[derive(Debug, Clone, Copy)]
pub struct GatewaySettings {
    /// Where callers send requests.
    pub request_address: SocketAddr,
    /// Where callers ask which VMs to use, if this VM answers that.
    pub directory_address: Option<SocketAddr>,
    /// Where the platform asks whether this VM is ready.
    pub ready: SocketAddr,
    /// How long after the order to stop the process is ended at the latest.
    pub grace: Duration,
    /// How many connections of callers are open at once.
    pub connections: usize,
}

/// What translates between the product and its surroundings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdapterKind {
    /// The key-value service by the gateway of etcd, and a VM list.
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

/// Why a text names no adapter.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected etcd or platform, found {0:?}")]
pub struct AdapterKindError(String);

/// Limits of one process.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The largest body of a request, in bytes.
    pub body: usize,
    /// How many requests are open at once.
    pub requests: usize,
    /// How many values the ledger is divided into.
    pub shards: u32,
    /// How long keys are remembered.
    pub remember: Duration,
    /// How long ended answers are kept.
    pub replay: Duration,
    /// How many bytes of ended answers are kept.
    pub replay_bytes: usize,
    /// How long callers keep an answer of the directory.
    pub directory: Duration,
    /// How long an upstream may say nothing before its stream counts as broken.
    pub silence: Duration,
}

/// What is logged.
#[derive(Debug, Clone)]
pub struct LogSettings {
    /// The level of all parts that have none of their own.
    pub level: LevelFilter,
    /// The levels of single parts.
    pub parts: Vec<(String, LevelFilter)>,
    /// Whether lines are JSON.
    pub json: bool,
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Returns every fault of the file.
    pub fn load(path: &Path) -> Result<Self, IniError> {
        Self::from_ini(IniFile::open(path)?)
    }

    /// Reads and checks a file that is open.
    ///
    /// # Errors
    ///
    /// Returns every fault of the file.
    pub fn from_ini(mut file: IniFile) -> Result<Self, IniError> {
        let vm = file.value("vm", "name");
        let region = file.value("vm", "region");
        let domain = file.value("vm", "domain");
        let regions = read_regions(&mut file, domain.as_ref(), region.as_ref());
        let locality = read_locality(&mut file);
        let callers = file.value("listen", "callers");
        let peers = file.value("listen", "peers");
        let operators = file.value("listen", "operators");
        let advertised = match file.optional_text("listen", "advertise") {
            Some(_) => file.value("listen", "advertise"),
            None => peers,
        };
        let gateway = GatewaySettings::read(&mut file);
        let platform = Platform::read(&mut file);
        let secret = file.value("keys", "fleet");
        let accepted = file.list("keys", "accept");
        let limits = Limits::read(&mut file);
        let pacing = read_pacing(&mut file);
        let retries = read_retries(&mut file);
        let warm_up = read_warm_up(&mut file);
        let log = LogSettings::read(&mut file);
        let read = || {
            Some(Self {
                vm: vm?,
                region: region?,
                domain: domain?,
                regions,
                locality,
                callers: callers?,
                peer_address: peers?,
                advertised_address: advertised?,
                operators: operators?,
                gateway,
                platform: platform?,
                secret: secret?,
                accepted,
                limits,
                pacing,
                retries,
                warm_up,
                log,
            })
        };
        let settings = read();
        file.finish(|section| SECTIONS.contains(&section))?;
        // A value that is missing has left a fault.
        settings.ok_or(IniError::Faulty(Vec::new()))
    }
}

impl Platform {
    fn read(file: &mut IniFile) -> Option<Self> {
        let kv = url(file, "kv");
        let adapter = file.value_or("platform", "adapter", AdapterKind::Etcd);
        let listed = adapter == AdapterKind::Etcd;
        let vm_list = if listed { Some(url(file, "vm_list")?) } else { None };
        let prefix =
            file.optional_text("platform", "prefix").unwrap_or_else(|| "badgerfield/".into());
        let millis = Duration::from_millis;
        let timeout =
            file.span_or("platform", "timeout", millis(1000), (millis(50), millis(10_000)));
        let vm_poll =
            file.span_or("platform", "vm_poll", millis(2000), (millis(200), millis(60_000)));
        let replicas_poll =
            file.span_or("platform", "replicas_poll", millis(800), (millis(50), millis(60_000)));
        Some(Self { store_uri: kv?, adapter, prefix, timeout, vm_list, replicas_poll, vm_poll })
    }
}

impl GatewaySettings {
    fn read(file: &mut IniFile) -> Option<Self> {
        if !file.sections().iter().any(|name| name == "gateway") {
            return None;
        }
        let requests = file.value("gateway", "requests");
        let ready = file.value("gateway", "ready");
        let directory = match file.optional_text("gateway", "directory") {
            None => None,
            Some(text) if text.is_empty() => None,
            Some(_) => file.value("gateway", "directory"),
        };
        let secs = Duration::from_secs;
        let grace = file.span_or("gateway", "grace", secs(8), (secs(1), secs(600)));
        let connections = file.value_or("gateway", "connections", 2000);
        Some(Self {
            request_address: requests?,
            directory_address: directory,
            ready: ready?,
            grace,
            connections,
        })
    }
}

/// Reads which failure domain lies in which region; a domain lies in one region only.
fn read_regions(file: &mut IniFile, own: Option<&Domain>, region: Option<&Region>) -> RegionMap {
    let mut domains: BTreeMap<Domain, Region> = BTreeMap::new();
    if let Some((own, region)) = own.zip(region) {
        domains.insert(own.clone(), region.clone());
    }
    for (key, text) in file.entries("regions") {
        let domain = file.read::<Domain>("regions", &key, &key);
        let found = file.read::<Region>("regions", &key, &text);
        let Some((domain, found)) = domain.zip(found) else {
            continue;
        };
        if let Some(known) = domains.get(&domain).filter(|known| **known != found) {
            let what = format!("expected one region for a domain, found {found} beside {known}");
            file.fault("regions", Some(&key), what);
            continue;
        }
        domains.insert(domain, found);
    }
    RegionMap::new(domains)
}

fn read_locality(file: &mut IniFile) -> DistanceCosts {
    let other = DistanceCosts::default();
    let (least, most) = (Duration::ZERO, Duration::from_secs(10));
    DistanceCosts {
        domain_trip: file.span_or("locality", "domain_trip", other.domain_trip, (least, most)),
        region_trip: file.span_or("locality", "region_trip", other.region_trip, (least, most)),
        domain_price: read_price(file, "domain_price", other.domain_price),
        region_price: read_price(file, "region_price", other.region_price),
    }
}

/// Reads a price of bytes, in milliseconds per 1,000 of them.
fn read_price(file: &mut IniFile, key: &str, other: f64) -> f64 {
    let price = file.value_or("locality", key, other);
    if (0.0..=MAX_PRICE).contains(&price) {
        return price;
    }
    let what = format!("expected a price from 0 to {MAX_PRICE}, found {price}");
    file.fault("locality", Some(key), what);
    other
}

fn read_pacing(file: &mut IniFile) -> Pacing {
    let other = Pacing::default();
    let (least, most) = (Duration::from_millis(50), Duration::from_secs(86_400));
    Pacing {
        hold_ahead: file.span_or("pacing", "ahead", other.hold_ahead, (least, most)),
        report_interval: file.span_or("pacing", "report", other.report_interval, (least, most)),
        heartbeat_interval: file.span_or("pacing", "beat", other.heartbeat_interval, (least, most)),
        return_timeout: file.span_or("pacing", "hand_on", other.return_timeout, (least, most)),
        leave_notice: file.span_or("pacing", "notice", other.leave_notice, (least, most)),
        seal_holdings: file.value_or("pacing", "seals", other.seal_holdings),
        rollout: read_rollout(file),
        policy: read_policy(file),
    }
}

fn read_policy(file: &mut IniFile) -> Policy {
    let other = Policy::default();
    let (least, most) = (Duration::ZERO, Duration::from_secs(60));
    Policy {
        divide_engines: file.value_or("policy", "divide", other.divide_engines),
        top_up: file.value_or("policy", "top_up", other.top_up),
        prefetch_span: file.span_or("policy", "at_hand", other.prefetch_span, (least, most)),
        budget_wait_percent: file.value_or("policy", "budget_wait", other.budget_wait_percent),
        warm_up_senders: file.value_or("policy", "warm_up_senders", other.warm_up_senders),
    }
}

fn read_retries(file: &mut IniFile) -> RetryLimits {
    let other = RetryLimits::default();
    let (least, most) = (Duration::from_millis(100), Duration::from_secs(3600));
    RetryLimits {
        ratio: file.value_or("retries", "ratio", other.ratio),
        allowance: file.value_or("retries", "allowance", other.allowance),
        window: file.span_or("retries", "window", other.window, (least, most)),
    }
}

/// Reads the bound on cold upstreams; values that are empty, as a template leaves them where
/// the platform has none, count as absent. Of a bound with one value the other allows nothing.
fn read_warm_up(file: &mut IniFile) -> Option<WarmUpBound> {
    let mut read = |key| {
        let text = file.optional_text("warm_up", key).unwrap_or_default();
        if text.is_empty() {
            return None;
        }
        let value: Option<f64> = file.value("warm_up", key);
        if value.is_some_and(|value| !value.is_finite() || value < 0.0) {
            file.fault("warm_up", Some(key), "expected a number that is not negative".to_owned());
        }
        value
    };
    let (overshoot, allowance) = (read("overshoot"), read("allowance"));
    if overshoot.is_none() && allowance.is_none() {
        return None;
    }
    let (overshoot, allowance) = (overshoot.unwrap_or(1.0), allowance.unwrap_or(0.0));
    Some(WarmUpBound { overshoot, extra_requests: allowance })
}

/// Reads the bound on versions that are rolled out; values that are empty, or a unit alone, as a
/// template leaves them where the platform has none, count as absent.
fn read_rollout(file: &mut IniFile) -> RolloutBound {
    let other = RolloutBound::default();
    let is_blank = |file: &mut IniFile, key| {
        let text = file.optional_text("rollout", key).unwrap_or_default();
        text.is_empty() || text == "ms"
    };
    let share = if is_blank(file, "share") { None } else { file.value("rollout", "share") };
    if share.is_some_and(|share: f64| !(0.0..=1.0).contains(&share)) {
        file.fault("rollout", Some("share"), "expected a part from 0 to 1".to_owned());
    }
    let allowance = if is_blank(file, "allowance") {
        other.extra_requests
    } else {
        file.value_or("rollout", "allowance", other.extra_requests)
    };
    let (least, most) = (Duration::from_millis(100), Duration::from_secs(3600));
    let rollback = if is_blank(file, "rollback") {
        other.rollback
    } else {
        file.span_or("rollout", "rollback", other.rollback, (least, most))
    };
    RolloutBound {
        share: share.map_or(other.share, Percent::from_fraction),
        extra_requests: allowance,
        rollback,
    }
}

impl Limits {
    fn read(file: &mut IniFile) -> Self {
        let secs = Duration::from_secs;
        Self {
            body: number(file, "body", 1_000_000, (1_000, 64_000_000)),
            requests: number(file, "requests", 4_000, (1, 100_000)),
            shards: u32::try_from(number(file, "shards", 4, (1, 256))).unwrap_or(4),
            remember: file.span_or("limits", "remember", secs(900), (secs(10), secs(86_400))),
            replay: file.span_or("limits", "replay", secs(120), (secs(1), secs(3_600))),
            replay_bytes: number(file, "replay_bytes", 32_000_000, (0, 4_000_000_000)),
            directory: file.span_or("limits", "directory", secs(10), (secs(1), secs(300))),
            silence: file.span_or("limits", "silence", secs(10), (secs(1), secs(300))),
        }
    }
}

impl LogSettings {
    fn read(file: &mut IniFile) -> Self {
        let level = file.value_or("log", "level", LevelFilter::Info);
        let json = match file.optional_text("log", "format").as_deref() {
            None | Some("text") => false,
            Some("json") => true,
            Some(other) => {
                let what = format!("expected text or json, found {other:?}");
                file.fault("log", Some("format"), what);
                false
            }
        };
        let mut parts = Vec::new();
        for part in crate::logs::PARTS {
            if let Some(level) = file.optional_text("log", part) {
                if let Ok(level) = level.parse() {
                    parts.push((part.to_owned(), level));
                } else {
                    let what =
                        format!("expected off, error, warn, info, debug or trace, found {level:?}");
                    file.fault("log", Some(part), what);
                }
            }
        }
        Self { level, parts, json }
    }
}

fn url(file: &mut IniFile, key: &str) -> Option<Uri> {
    let uri: Uri = file.value("platform", key)?;
    if uri.scheme_str() != Some("http") || uri.authority().is_none() {
        let what = format!("expected an address such as http://10.0.0.1:2379, found {uri}");
        file.fault("platform", Some(key), what);
        return None;
    }
    Some(uri)
}

fn number(file: &mut IniFile, key: &str, other: usize, bounds: (usize, usize)) -> usize {
    let Some(text) = file.optional_text("limits", key) else {
        return other;
    };
    let found = text.replace('_', "").parse::<usize>().ok();
    match found {
        Some(number) if number >= bounds.0 && number <= bounds.1 => number,
        _ => {
            let what =
                format!("expected a number from {} to {}, found {text:?}", bounds.0, bounds.1);
            file.fault("limits", Some(key), what);
            other
        }
    }
}
