//! Metrics in the text format of Prometheus.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use badgerfield_core::Status;
use badgerfield_core::event::{Bill, StoreResult};
use badgerfield_core::ids::Service;
use badgerfield_core::locality::{CrossingReason, Distance};
use badgerfield_core::refusal::Refusal;
use badgerfield_core::rollout::{RolloutRule, RolloutTally};
use badgerfield_core::upstream_table::SentCounts;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::buffered_log;
use crate::peer_traffic::PeerTraffic;
use crate::store_calls::StoreCalls;

/// The name of all versions but that which is rolled out.
const OTHERS: &str = "others";

/// The reason of a refusal, and whether the request ran.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabel {
    cause: &'static str,
    outcome: &'static str,
}

/// How a call to the key-value service ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KvLabel {
    result: &'static str,
}

/// Why upstreams get little or nothing.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SparedLabel {
    why: &'static str,
}

/// A budget.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BudgetLabel {
    budget: String,
}

/// Whether a charge was billed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BillLabel {
    billed: &'static str,
}

/// How a request on a route ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabel {
    outcome: String,
}

/// The versions of a service that is rolled out.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct VersionLabel {
    service: String,
    /// The target's name, or `others`.
    version: String,
}

/// The figures of services that are rolled out, as of this process; none while none are.
#[derive(Debug, Default)]
pub(crate) struct RolloutCounts {
    rules: Counter,
    answers: Family<VersionLabel, Gauge<u64, AtomicU64>>,
    failed: Family<VersionLabel, Gauge<u64, AtomicU64>>,
    slow: Family<VersionLabel, Gauge<u64, AtomicU64>>,
    sent: Family<VersionLabel, Gauge<u64, AtomicU64>>,
}

impl RolloutCounts {
    fn register(&self, r: &mut Registry) {
        r.register("rollout_rules", "Changes of what a version may get", self.rules.clone());
        r.register("rollout_answers", "Answers since the order", self.answers.clone());
        r.register("rollout_failed", "Answers that failed", self.failed.clone());
        r.register("rollout_slow", "Answers that came late", self.slow.clone());
        r.register("rollout_sent", "Requests sent since the order", self.sent.clone());
    }

    /// Counts a rule that is new here.
    pub(crate) fn count_rule(&self) {
        self.rules.inc();
    }

    /// Notes what the table of upstreams knows, and forgets what it knew before.
    pub(crate) fn note(&self, rules: &[(RolloutRule, SentCounts)], tallies: &[RolloutTally]) {
        for family in [&self.answers, &self.failed, &self.slow, &self.sent] {
            family.clear();
        }
        for (rule, given) in rules {
            let target = label(&rule.service, rule.target.as_str());
            self.sent.get_or_create(&target).set(given.target);
            let others = label(&rule.service, OTHERS);
            self.sent.get_or_create(&others).set(given.all.saturating_sub(given.target));
            for tally in tallies.iter().filter(|tally| tally.service == rule.service) {
                let (at_target, at_others) = tally.totals();
                for (label, counts) in [(&target, at_target), (&others, at_others)] {
                    self.answers.get_or_create(label).set(counts.answers.into());
                    self.failed.get_or_create(label).set(counts.failed.into());
                    self.slow.get_or_create(label).set(counts.slow.into());
                }
            }
        }
    }
}

fn label(service: &Service, version: &str) -> VersionLabel {
    VersionLabel { service: service.to_string(), version: version.to_owned() }
}

/// How far requests went, and why they left their region.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SentLabel {
    near: &'static str,
    crossed: &'static str,
}

/// The counters of requests on routes.
#[derive(Debug)]
pub(crate) struct GatewayCounts {
    pub(crate) admitted: Counter,
    sent: Family<SentLabel, Counter>,
    /// Answers in which an upstream states something of itself that cannot be read.
    pub(crate) unreadable: Counter,
    ends: Family<EndLabel, Counter>,
    seconds: Histogram,
}

impl GatewayCounts {
    fn new(registry: &mut Registry) -> Self {
        let buckets = exponential_buckets(0.005, 2.0, 13);
        let counts = Self {
            admitted: Counter::default(),
            sent: Family::default(),
            unreadable: Counter::default(),
            ends: Family::default(),
            seconds: Histogram::new(buckets),
        };
        let admitted = counts.admitted.clone();
        registry.register("route_requests_admitted", "Requests on routes let in", admitted);
        let sent = counts.sent.clone();
        registry.register("route_requests_sent", "Tries of requests on routes by distance", sent);
        let unreadable = counts.unreadable.clone();
        registry.register(
            "upstream_statements_unreadable",
            "Answers that state of their upstream what cannot be read",
            unreadable,
        );
        let ends = counts.ends.clone();
        registry.register("route_requests_ended", "Ended requests on routes by outcome", ends);
        let seconds = counts.seconds.clone();
        registry.register("route_request_seconds", "Time of requests on routes", seconds);
        counts
    }

    /// Counts a try of a request at an upstream.
    pub(crate) fn count_sent(&self, near: Distance, crossing: Option<CrossingReason>) {
        let crossed = crossing.map_or("-", CrossingReason::as_str);
        self.sent.get_or_create(&SentLabel { near: near.as_str(), crossed }).inc();
    }

    /// Counts the end of a request.
    pub(crate) fn count_end(&self, outcome: &str, took: Duration) {
        self.ends.get_or_create(&EndLabel { outcome: outcome.to_owned() }).inc();
        self.seconds.observe(took.as_secs_f64());
    }
}

/// All metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    pub(crate) gateway: GatewayCounts,
    pub(crate) rollouts: RolloutCounts,
    pub(crate) requests: Counter,
    pub(crate) messages: PeerTraffic,
    pub(crate) calls: StoreCalls,
    pub(crate) bad_templates: Counter,
    pub(crate) evacuations: Counter,
    spared: Family<SparedLabel, Gauge<u64, AtomicU64>>,
    kv_results: Family<KvLabel, Counter>,
    refusals: Family<RefusalLabel, Counter>,
    charges: Family<BillLabel, Counter>,
    tokens: Family<BillLabel, Counter>,
    free: Family<BudgetLabel, Gauge<u64, AtomicU64>>,
    reserved: Family<BudgetLabel, Gauge<u64, AtomicU64>>,
    parked: Family<BudgetLabel, Gauge<u64, AtomicU64>>,
    billed: Family<BudgetLabel, Gauge<u64, AtomicU64>>,
    wasted: Family<BudgetLabel, Gauge<u64, AtomicU64>>,
    running: Gauge<u64, AtomicU64>,
    queued: Gauge<u64, AtomicU64>,
    claims: Gauge<u64, AtomicU64>,
    unsettled: Gauge<u64, AtomicU64>,
    excess: Gauge<u64, AtomicU64>,
    members: Gauge<u64, AtomicU64>,
    epoch: Gauge<u64, AtomicU64>,
    templates: Gauge<u64, AtomicU64>,
    conflicts: Gauge<u64, AtomicU64>,
    dropped_lines: Gauge<u64, AtomicU64>,
}

impl Metrics {
    /// Makes all metrics, each at zero.
    #[must_use]
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("badgerfield");
        let gateway = GatewayCounts::new(&mut registry);
        let mut metrics = Self {
            registry,
            gateway,
            rollouts: RolloutCounts::default(),
            requests: Counter::default(),
            messages: PeerTraffic::default(),
            calls: StoreCalls::default(),
            bad_templates: Counter::default(),
            evacuations: Counter::default(),
            spared: Family::default(),
            kv_results: Family::default(),
            refusals: Family::default(),
            charges: Family::default(),
            tokens: Family::default(),
            free: Family::default(),
            reserved: Family::default(),
            parked: Family::default(),
            billed: Family::default(),
            wasted: Family::default(),
            running: Gauge::default(),
            queued: Gauge::default(),
            claims: Gauge::default(),
            unsettled: Gauge::default(),
            excess: Gauge::default(),
            members: Gauge::default(),
            epoch: Gauge::default(),
            templates: Gauge::default(),
            conflicts: Gauge::default(),
            dropped_lines: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("requests", "Requests taken in", self.requests.clone());
        self.messages.register(r);
        self.calls.register(r);
        self.rollouts.register(r);
        r.register("kv_results", "Ends of calls to the key-value service", self.kv_results.clone());
        r.register("bad_templates", "Reads of unusable templates", self.bad_templates.clone());
        r.register("evacuations", "Domains evacuated or taken back", self.evacuations.clone());
        r.register("upstreams_spared", "Upstreams that get little or nothing", self.spared.clone());
        r.register("refusals", "Refusals by cause", self.refusals.clone());
        r.register("charges", "Charges", self.charges.clone());
        r.register("charged_tokens", "Tokens charged", self.tokens.clone());
        r.register("budget_free", "Tokens ready to spend", self.free.clone());
        r.register("budget_reserved", "Tokens set aside", self.reserved.clone());
        r.register("budget_parked", "Tokens parked with a peer", self.parked.clone());
        r.register("budget_billed", "Tokens billed in the period", self.billed.clone());
        r.register("budget_wasted", "Tokens used without a bill", self.wasted.clone());
        r.register("requests_running", "Requests that have not ended", self.running.clone());
        r.register("requests_queued", "Requests that wait for an upstream", self.queued.clone());
        r.register("keys_remembered", "Request keys remembered", self.claims.clone());
        r.register("charges_open", "Charges without an arbiter's word", self.unsettled.clone());
        r.register("excess_tokens", "Tokens served beyond a reservation", self.excess.clone());
        r.register("members", "Members of the view", self.members.clone());
        r.register("view_epoch", "Number of the view in force", self.epoch.clone());
        r.register(
            "templates_version",
            "Version of the templates in force",
            self.templates.clone(),
        );
        r.register(
            "ledger_conflicts",
            "Ledger writes that met another value",
            self.conflicts.clone(),
        );
        r.register(
            "log_lines_dropped",
            "Lines of the log that nobody took in time",
            self.dropped_lines.clone(),
        );
    }

    pub(crate) fn count_kv(&self, result: &StoreResult) {
        let result = match result {
            StoreResult::Value(_) | StoreResult::Operators(_) => "value",
            StoreResult::Written(_) => "written",
            StoreResult::Conflict(_) => "conflict",
            StoreResult::Refused => "refused",
            StoreResult::Unknown => "unknown",
        };
        self.kv_results.get_or_create(&KvLabel { result }).inc();
    }

    /// Notes how many upstreams get nothing since their domain is evacuated, how many are cold, and
    /// how many name a limit.
    pub(crate) fn note_spared(&self, (evacuated, cold): (usize, usize), limited: usize) {
        for (why, count) in [("evacuated", evacuated), ("cold", cold), ("limited", limited)] {
            let count = u64::try_from(count).unwrap_or(u64::MAX);
            self.spared.get_or_create(&SparedLabel { why }).set(count);
        }
    }

    pub(crate) fn count_refusal(&self, refusal: &Refusal) {
        let label = RefusalLabel { cause: refusal.cause.code(), outcome: refusal.outcome.as_str() };
        self.refusals.get_or_create(&label).inc();
    }

    pub(crate) fn count_bill(&self, bill: &Bill) {
        let label = BillLabel { billed: if bill.billed { "yes" } else { "no" } };
        self.charges.get_or_create(&label).inc();
        self.tokens.get_or_create(&label).inc_by(bill.cost.0);
    }

    /// Returns all metrics as text, with the state of the process in them.
    pub(crate) fn render(&self, status: &Status) -> String {
        let count = |n: usize| u64::try_from(n).unwrap_or(u64::MAX);
        self.running.set(count(status.running));
        self.queued.set(count(status.queued));
        self.claims.set(count(status.remembered_keys));
        self.unsettled.set(count(status.unsettled_charges));
        self.members.set(count(status.members));
        self.excess.set(status.excess_tokens.0);
        self.epoch.set(status.epoch.0);
        self.templates.set(status.template_version.0);
        self.conflicts.set(status.write_counts.0);
        self.dropped_lines.set(buffered_log::dropped_lines());
        for entry in &status.budgets {
            let label = BudgetLabel { budget: entry.budget.to_string() };
            let figures = entry.balance;
            self.free.get_or_create(&label).set(figures.free.0);
            self.reserved.get_or_create(&label).set(figures.reserved.0);
            self.parked.get_or_create(&label).set(figures.parked.0);
            self.billed.get_or_create(&label).set(figures.billed.0);
            self.wasted.get_or_create(&label).set(figures.wasted.0);
        }
        let mut text = String::new();
        // Writing into a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
