//! Metrics of the process, in the text format of Prometheus.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use badgerfield_core::Status;
use badgerfield_core::event::{Bill, StoreResult};
use badgerfield_core::ids::Service;
use badgerfield_core::locality::{CrossingReason, Distance};
use badgerfield_core::refusal::{Cause, Refusal};
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
use crate::gateway::stream_origin::LearnedFrom;
use crate::memory::MemoryMetrics;
use crate::peer_traffic::PeerTraffic;
use crate::store_calls::StoreCalls;

/// The label value for all versions other than the target of a rollout.
const OTHERS: &str = "others";

/// The cause of a refusal, and whether the request ran.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabel {
    cause: &'static str,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StoreResultLabel {
    result: &'static str,
}

/// Why requests to an upstream are restricted.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RestrictedLabel {
    why: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BudgetLabel {
    budget: String,
}

/// Whether a charge was billed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BillLabel {
    billed: &'static str,
}

/// Whether this VM sent the request through a peer, or a peer through this VM, and what came of it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ForwardLabel {
    direction: &'static str,
    outcome: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabel {
    outcome: String,
}

/// A service with a rollout, and the target version or all others.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct VersionLabel {
    service: String,
    /// The target version, or `others`.
    version: String,
}

/// Metrics of the rollouts that this process applies. Gauges exist only while a rollout is active.
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

    /// Counts a new rollout rule.
    pub(crate) fn count_rule(&self) {
        self.rules.inc();
    }

    /// Replaces all gauges with the present rules and tallies of the upstream table.
    pub(crate) fn update(&self, rules: &[(RolloutRule, SentCounts)], tallies: &[RolloutTally]) {
        for family in [&self.answers, &self.failed, &self.slow, &self.sent] {
            family.clear();
        }
        for (rule, sent) in rules {
            let target = label(&rule.service, rule.target.as_str());
            self.sent.get_or_create(&target).set(sent.target);
            let others = label(&rule.service, OTHERS);
            self.sent.get_or_create(&others).set(sent.all.saturating_sub(sent.target));
            for tally in tallies.iter().filter(|tally| tally.service == rule.service) {
                let (target_counts, other_counts) = tally.totals();
                for (label, counts) in [(&target, target_counts), (&others, other_counts)] {
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

/// The distance to the upstream, and why the request left its region.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SentLabel {
    near: &'static str,
    crossed: &'static str,
}

/// Where the version of a resumed stream was learned, and whether it was resumed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResumeLabel {
    from: &'static str,
    outcome: &'static str,
}

/// Metrics of requests on routes.
#[derive(Debug)]
pub(crate) struct GatewayCounts {
    pub(crate) admitted: Counter,
    sent: Family<SentLabel, Counter>,
    /// The number of answers that contain an invalid announcement of the upstream.
    pub(crate) invalid_announcements: Counter,
    ended: Family<EndLabel, Counter>,
    seconds: Histogram,
    forwarded: Family<ForwardLabel, Counter>,
    resumed: Family<ResumeLabel, Counter>,
}

impl GatewayCounts {
    fn new(registry: &mut Registry) -> Self {
        let buckets = exponential_buckets(0.005, 2.0, 13);
        let counts = Self {
            admitted: Counter::default(),
            sent: Family::default(),
            invalid_announcements: Counter::default(),
            ended: Family::default(),
            seconds: Histogram::new(buckets),
            forwarded: Family::default(),
            resumed: Family::default(),
        };
        registry.register(
            "route_requests_forwarded",
            "Attempts through a peer while cut off from upstreams, sent (out) and received (in)",
            counts.forwarded.clone(),
        );
        registry.register(
            "route_streams_resumed",
            "Streams that callers resume, by where their version was learned and by outcome",
            counts.resumed.clone(),
        );
        let admitted = counts.admitted.clone();
        registry.register("route_requests_admitted", "Requests on routes let in", admitted);
        let sent = counts.sent.clone();
        registry.register("route_requests_sent", "Tries of requests on routes by distance", sent);
        let unreadable = counts.invalid_announcements.clone();
        registry.register(
            "upstream_statements_unreadable",
            "Answers that state of their upstream what cannot be read",
            unreadable,
        );
        let ended = counts.ended.clone();
        registry.register("route_requests_ended", "Ended requests on routes by outcome", ended);
        let seconds = counts.seconds.clone();
        registry.register("route_request_seconds", "Time of requests on routes", seconds);
        counts
    }

    /// Counts an attempt through a peer by its outcome.
    pub(crate) fn count_forwarded(&self, direction: &'static str, outcome: &str) {
        let label = ForwardLabel { direction, outcome: outcome.to_owned() };
        self.forwarded.get_or_create(&label).inc();
    }

    /// Counts a stream that a caller resumes.
    pub(crate) fn count_resumed(&self, from: Option<LearnedFrom>, refused: Option<Cause>) {
        let from = from.map_or("-", LearnedFrom::as_str);
        let outcome = refused.map_or("bound", Cause::code);
        self.resumed.get_or_create(&ResumeLabel { from, outcome }).inc();
    }

    /// Counts an attempt to send a request to an upstream.
    pub(crate) fn count_sent(&self, near: Distance, crossing: Option<CrossingReason>) {
        let crossed = crossing.map_or("-", CrossingReason::as_str);
        self.sent.get_or_create(&SentLabel { near: near.as_str(), crossed }).inc();
    }

    /// Counts a completed request and records its duration.
    pub(crate) fn count_end(&self, outcome: &str, duration: Duration) {
        self.ended.get_or_create(&EndLabel { outcome: outcome.to_owned() }).inc();
        self.seconds.observe(duration.as_secs_f64());
    }
}

/// The metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    pub(crate) gateway: GatewayCounts,
    pub(crate) rollouts: RolloutCounts,
    pub(crate) requests: Counter,
    pub(crate) peer_traffic: PeerTraffic,
    pub(crate) store_calls: StoreCalls,
    pub(crate) memory: MemoryMetrics,
    pub(crate) bad_templates: Counter,
    /// The time from the first word of newer templates until they are in force.
    pub(crate) template_delay: Histogram,
    pub(crate) evacuations: Counter,
    restricted_upstreams: Family<RestrictedLabel, Gauge<u64, AtomicU64>>,
    store_results: Family<StoreResultLabel, Counter>,
    refusals: Family<RefusalLabel, Counter>,
    charges: Family<BillLabel, Counter>,
    charged_tokens: Family<BillLabel, Counter>,
    free_tokens: Family<BudgetLabel, Gauge<u64, AtomicU64>>,
    reserved_tokens: Family<BudgetLabel, Gauge<u64, AtomicU64>>,
    parked_tokens: Family<BudgetLabel, Gauge<u64, AtomicU64>>,
    billed_tokens: Family<BudgetLabel, Gauge<u64, AtomicU64>>,
    wasted_tokens: Family<BudgetLabel, Gauge<u64, AtomicU64>>,
    running_requests: Gauge<u64, AtomicU64>,
    queued_requests: Gauge<u64, AtomicU64>,
    remembered_keys: Gauge<u64, AtomicU64>,
    recorded_streams: Gauge<u64, AtomicU64>,
    unsettled_charges: Gauge<u64, AtomicU64>,
    excess_tokens: Gauge<u64, AtomicU64>,
    members: Gauge<u64, AtomicU64>,
    view_epoch: Gauge<u64, AtomicU64>,
    template_version: Gauge<u64, AtomicU64>,
    ledger_conflicts: Gauge<u64, AtomicU64>,
    dropped_lines: Gauge<u64, AtomicU64>,
}

impl Metrics {
    /// Registers all metrics, each at zero.
    #[must_use]
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("badgerfield");
        let gateway = GatewayCounts::new(&mut registry);
        let mut metrics = Self {
            registry,
            gateway,
            rollouts: RolloutCounts::default(),
            requests: Counter::default(),
            peer_traffic: PeerTraffic::default(),
            store_calls: StoreCalls::default(),
            memory: MemoryMetrics::default(),
            bad_templates: Counter::default(),
            template_delay: Histogram::new(exponential_buckets(0.005, 2.0, 13)),
            evacuations: Counter::default(),
            restricted_upstreams: Family::default(),
            store_results: Family::default(),
            refusals: Family::default(),
            charges: Family::default(),
            charged_tokens: Family::default(),
            free_tokens: Family::default(),
            reserved_tokens: Family::default(),
            parked_tokens: Family::default(),
            billed_tokens: Family::default(),
            wasted_tokens: Family::default(),
            running_requests: Gauge::default(),
            queued_requests: Gauge::default(),
            remembered_keys: Gauge::default(),
            recorded_streams: Gauge::default(),
            unsettled_charges: Gauge::default(),
            excess_tokens: Gauge::default(),
            members: Gauge::default(),
            view_epoch: Gauge::default(),
            template_version: Gauge::default(),
            ledger_conflicts: Gauge::default(),
            dropped_lines: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("requests", "Requests taken in", self.requests.clone());
        self.peer_traffic.register(r);
        self.store_calls.register(r);
        self.memory.register(r);
        self.rollouts.register(r);
        r.register(
            "kv_results",
            "Ends of calls to the key-value service",
            self.store_results.clone(),
        );
        r.register("bad_templates", "Reads of unusable templates", self.bad_templates.clone());
        r.register(
            "template_delay_seconds",
            "Time from the first word of newer templates until they are in force",
            self.template_delay.clone(),
        );
        r.register("evacuations", "Domains evacuated or taken back", self.evacuations.clone());
        r.register(
            "upstreams_spared",
            "Upstreams that get little or nothing",
            self.restricted_upstreams.clone(),
        );
        r.register("refusals", "Refusals by cause", self.refusals.clone());
        r.register("charges", "Charges", self.charges.clone());
        r.register("charged_tokens", "Tokens charged", self.charged_tokens.clone());
        r.register("budget_free", "Tokens ready to spend", self.free_tokens.clone());
        r.register("budget_reserved", "Tokens set aside", self.reserved_tokens.clone());
        r.register("budget_parked", "Tokens parked with a peer", self.parked_tokens.clone());
        r.register("budget_billed", "Tokens billed in the period", self.billed_tokens.clone());
        r.register("budget_wasted", "Tokens used without a bill", self.wasted_tokens.clone());
        r.register(
            "requests_running",
            "Requests that have not ended",
            self.running_requests.clone(),
        );
        r.register(
            "requests_queued",
            "Requests that wait for an upstream",
            self.queued_requests.clone(),
        );
        r.register("keys_remembered", "Request keys remembered", self.remembered_keys.clone());
        let streams = self.recorded_streams.clone();
        r.register("streams_recorded", "Streams whose beginning is recorded", streams);
        r.register(
            "charges_open",
            "Charges without an arbiter's word",
            self.unsettled_charges.clone(),
        );
        r.register(
            "excess_tokens",
            "Tokens served beyond a reservation",
            self.excess_tokens.clone(),
        );
        r.register("members", "Members of the view", self.members.clone());
        r.register("view_epoch", "Number of the view in force", self.view_epoch.clone());
        r.register(
            "templates_version",
            "Version of the templates in force",
            self.template_version.clone(),
        );
        r.register(
            "ledger_conflicts",
            "Ledger writes that met another value",
            self.ledger_conflicts.clone(),
        );
        r.register(
            "log_lines_dropped",
            "Lines of the log that nobody took in time",
            self.dropped_lines.clone(),
        );
    }

    pub(crate) fn count_store_result(&self, result: &StoreResult) {
        let result = match result {
            StoreResult::Value(_) | StoreResult::Operators(_) => "value",
            StoreResult::Written(_) => "written",
            StoreResult::Conflict(_) => "conflict",
            StoreResult::Refused => "refused",
            StoreResult::Unknown => "unknown",
        };
        self.store_results.get_or_create(&StoreResultLabel { result }).inc();
    }

    /// Sets the numbers of upstreams that are in an evacuated domain, that are cold, that have
    /// announced a rate limit, and that are brittle.
    pub(crate) fn set_restricted_upstreams(
        &self,
        (evacuated, cold): (usize, usize),
        (limited, brittle): (usize, usize),
    ) {
        let counts =
            [("evacuated", evacuated), ("cold", cold), ("limited", limited), ("brittle", brittle)];
        for (why, count) in counts {
            let count = u64::try_from(count).unwrap_or(u64::MAX);
            self.restricted_upstreams.get_or_create(&RestrictedLabel { why }).set(count);
        }
    }

    pub(crate) fn count_refusal(&self, refusal: &Refusal) {
        let label = RefusalLabel { cause: refusal.cause.code(), outcome: refusal.outcome.as_str() };
        self.refusals.get_or_create(&label).inc();
    }

    pub(crate) fn count_bill(&self, bill: &Bill) {
        let label = BillLabel { billed: if bill.billed { "yes" } else { "no" } };
        self.charges.get_or_create(&label).inc();
        self.charged_tokens.get_or_create(&label).inc_by(bill.cost.0);
    }

    /// Sets the gauges from the state of the process, and returns all metrics as text.
    pub(crate) fn render(&self, status: &Status) -> String {
        let count = |n: usize| u64::try_from(n).unwrap_or(u64::MAX);
        self.running_requests.set(count(status.running));
        self.queued_requests.set(count(status.queued));
        self.remembered_keys.set(count(status.remembered_keys));
        self.recorded_streams.set(count(status.recorded_streams));
        self.unsettled_charges.set(count(status.unsettled_charges));
        self.members.set(count(status.members));
        self.excess_tokens.set(status.excess_tokens.0);
        self.view_epoch.set(status.epoch.0);
        self.template_version.set(status.template_version.0);
        self.ledger_conflicts.set(status.write_counts.0);
        self.dropped_lines.set(buffered_log::dropped_lines());
        for entry in &status.budgets {
            let label = BudgetLabel { budget: entry.budget.to_string() };
            let balance = entry.balance;
            self.free_tokens.get_or_create(&label).set(balance.free.0);
            self.reserved_tokens.get_or_create(&label).set(balance.reserved.0);
            self.parked_tokens.get_or_create(&label).set(balance.parked.0);
            self.billed_tokens.get_or_create(&label).set(balance.billed.0);
            self.wasted_tokens.get_or_create(&label).set(balance.wasted.0);
        }
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
