//! Counters and latency histograms of a process.

use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::{EncodeLabelSet, text::encode};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

/// Bounds of the latency histograms, in seconds.
const BUCKETS: [f64; 11] = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0];

/// Bounds of the ratios of actual to estimated durations.
const RATIO_BUCKETS: [f64; 12] = [0.25, 0.4, 0.5, 0.65, 0.8, 0.9, 1.1, 1.25, 1.5, 2.0, 3.0, 5.0];

/// Labels of a caller's call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// Method of the call, or `other`.
    pub method: &'static str,
    /// Status of the answer.
    pub status: u16,
}

/// Labels of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreLabels {
    /// Layer at which the calls are counted: `direct` for calls to the store itself, `any` for all calls of the process,
    /// whichever path they take.
    pub way: &'static str,
    /// The operation.
    pub operation: &'static str,
    /// The topic, if the operation has one.
    pub topic: String,
    /// The outcome.
    pub outcome: &'static str,
}

/// Labels of clients that weren't served.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ClientLabels {
    /// What they connected to.
    pub address: &'static str,
    /// `refused`, or `evicted` if their connection was closed.
    pub outcome: &'static str,
}

/// A label that says what happened.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabel {
    /// What happened.
    pub kind: &'static str,
}

/// A label that says what an estimate is based on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct SourceLabel {
    /// `rate` or `forecast`.
    pub source: &'static str,
}

/// A label that says in which state something is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StateLabel {
    /// The state.
    pub state: &'static str,
}

/// A label that says what came of something.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// The outcome.
    pub outcome: &'static str,
}

/// A label for one of the largest shares.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PlaceLabel {
    /// `first`, `second` or `third`.
    pub place: &'static str,
}

/// A label that says why a job was refused.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// The reason.
    pub reason: &'static str,
}

/// The metrics of a process.
pub struct Metrics {
    registry: Registry,
    /// Callers' calls by method and status.
    pub calls: Family<CallLabels, Counter>,
    /// Time to answer a caller.
    pub call_seconds: Histogram,
    /// Calls to the store by way, operation, topic and outcome.
    pub store_calls: Family<StoreLabels, Counter>,
    /// Time of an append, whichever path it took.
    pub append_seconds: Histogram,
    /// The planner's decisions.
    pub decisions: Family<KindLabel, Counter>,
    /// Orders to the worker.
    pub orders: Family<KindLabel, Counter>,
    /// Ends of runs that the agent reported.
    pub ends: Family<KindLabel, Counter>,
    /// Jobs with something left to do.
    pub active_jobs: Gauge,
    /// Drained failure domains, as the leader knows them.
    pub drained_domains: Gauge,
    /// Jobs for which runs were stopped, by what came of them, at the leader.
    pub stops: Family<OutcomeLabel, Counter>,
    /// Jobs that were refused by the leader's outlook, by reason.
    pub refusals: Family<ReasonLabel, Counter>,
    /// Workers that are kept idle for urgent work, at the leader.
    pub reserved_workers: Gauge,
    /// The largest parts of the usage of a workspace in the last 10 s, at the leader.
    pub workspace_share: Family<PlaceLabel, Gauge<f64, AtomicU64>>,
    /// Workspaces of which a waiting step goes after another workspace's because of their shares, at the leader.
    pub workspaces_behind: Gauge,
    /// Machines of maintenance waves, by state, at the leader.
    pub wave_machines: Family<StateLabel, Gauge>,
    /// Time that a round of the planner takes, at the leader.
    pub round_seconds: Histogram,
    /// Workers that the planner examined in search of free capacity, counted each time.
    pub workers_searched: Counter,
    /// Actual over estimated durations of ended runs, at the leader.
    pub estimate_error_ratio: Family<SourceLabel, Histogram>,
    /// Age of the process's views, by kind.
    pub view_age: Family<KindLabel, Gauge<f64, AtomicU64>>,
    /// Number of processes between this one and the store: 0 for the leader.
    pub tree_depth: Gauge,
    /// Number of entries in the state, by kind.
    pub state: Family<KindLabel, Gauge>,
    /// Log lines that were dropped because they weren't read in time.
    pub dropped_lines: Counter,
    /// Clients that were refused or disconnected because others held all that clients may hold.
    pub clients: Family<ClientLabels, Counter>,
}

impl Metrics {
    fn new() -> Self {
        let histogram = || Histogram::new(BUCKETS);
        let mut metrics = Self {
            registry: Registry::with_prefix("rampbay"),
            calls: Family::default(),
            call_seconds: histogram(),
            store_calls: Family::default(),
            append_seconds: histogram(),
            decisions: Family::default(),
            orders: Family::default(),
            ends: Family::default(),
            active_jobs: Gauge::default(),
            drained_domains: Gauge::default(),
            stops: Family::default(),
            refusals: Family::default(),
            reserved_workers: Gauge::default(),
            workspace_share: Family::default(),
            workspaces_behind: Gauge::default(),
            wave_machines: Family::default(),
            round_seconds: histogram(),
            workers_searched: Counter::default(),
            estimate_error_ratio: Family::new_with_constructor(|| Histogram::new(RATIO_BUCKETS)),
            view_age: Family::default(),
            tree_depth: Gauge::default(),
            state: Family::default(),
            dropped_lines: Counter::default(),
            clients: Family::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("calls", "Callers' calls", self.calls.clone());
        let seconds = Unit::Seconds;
        let round = self.round_seconds.clone();
        registry.register_with_unit("round", "Time of a planner's round", seconds.clone(), round);
        let searched = self.workers_searched.clone();
        registry.register("workers_searched", "Workers looked at in search of room", searched);
        let ratio = self.estimate_error_ratio.clone();
        registry.register("estimate_error_ratio", "Actual over estimated durations", ratio);
        let age = self.view_age.clone();
        registry.register_with_unit("view_age", "Age of what is known", seconds.clone(), age);
        let depth = self.tree_depth.clone();
        registry.register("tree_depth", "Processes between this one and the store", depth);
        registry.register("state", "What the state holds", self.state.clone());
        registry.register_with_unit(
            "call",
            "Time to answer a caller",
            seconds.clone(),
            self.call_seconds.clone(),
        );
        registry.register("store_calls", "Calls to the store", self.store_calls.clone());
        registry.register_with_unit(
            "append",
            "Time of an append",
            seconds,
            self.append_seconds.clone(),
        );
        registry.register("decisions", "Decisions of the planner", self.decisions.clone());
        registry.register("orders", "Orders to the worker", self.orders.clone());
        registry.register("ends", "Ends of runs reported", self.ends.clone());
        registry.register("active_jobs", "Jobs with something to do", self.active_jobs.clone());
        let drained = self.drained_domains.clone();
        registry.register("drained_domains", "Failure domains that get nothing more", drained);
        registry.register("stops", "Jobs that runs were stopped for", self.stops.clone());
        let refusals = self.refusals.clone();
        registry.register("refusals", "Jobs refused by the outlook", refusals);
        let reserved = self.reserved_workers.clone();
        registry.register("reserved_workers", "Workers kept idle for urgent work", reserved);
        let share = self.workspace_share.clone();
        registry.register("workspace_share", "Largest parts of the usage of a workspace", share);
        let behind = self.workspaces_behind.clone();
        registry.register("workspaces_behind", "Workspaces that wait for others' shares", behind);
        let machines = self.wave_machines.clone();
        registry.register("wave_machines", "Machines of maintenance waves", machines);
        registry.register("dropped_log_lines", "Log lines dropped", self.dropped_lines.clone());
        let clients = self.clients.clone();
        registry.register("clients_unserved", "Clients refused or disconnected", clients);
    }

    /// Counts a decision.
    pub fn count_decision(&self, kind: &'static str) {
        self.decisions.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a job for which runs were stopped, by what came of it.
    pub fn count_stops(&self, outcome: &'static str) {
        self.stops.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Sets one of the largest shares, in thousandths of the usage.
    pub fn set_workspace_share(&self, place: &'static str, permille: u64) {
        let share = permille as f64 / 1000.0;
        self.workspace_share.get_or_create(&PlaceLabel { place }).set(share);
    }

    /// Counts a job that was refused by the leader's outlook.
    pub fn count_refusal(&self, reason: &'static str) {
        self.refusals.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a client that wasn't served.
    pub fn count_client(&self, address: &'static str, outcome: &'static str) {
        self.clients.get_or_create(&ClientLabels { address, outcome }).inc();
    }

    /// Counts an order.
    pub fn count_order(&self, kind: &'static str) {
        self.orders.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts an end.
    pub fn count_end(&self, kind: &'static str) {
        self.ends.get_or_create(&KindLabel { kind }).inc();
    }

    /// Records the ratio of an actual to an estimated duration.
    pub fn observe_estimate_error(&self, source: &'static str, ratio: f64) {
        self.estimate_error_ratio.get_or_create(&SourceLabel { source }).observe(ratio);
    }

    /// Sets the age of a view.
    pub fn set_view_age(&self, kind: &'static str, age: Duration) {
        self.view_age.get_or_create(&KindLabel { kind }).set(age.as_secs_f64());
    }

    /// Sets the number of entries of a kind in the state.
    pub fn set_state(&self, kind: &'static str, count: usize) {
        self.state.get_or_create(&KindLabel { kind }).set(count as i64);
    }

    /// Sets the number of machines of maintenance waves in a state.
    pub fn set_wave_machines(&self, state: &'static str, count: usize) {
        self.wave_machines.get_or_create(&StateLabel { state }).set(count as i64);
    }

    /// Counts a caller's call.
    pub fn record_call(&self, method: &str, status: u16, took: Duration) {
        let labels = CallLabels { method: known_method(method), status };
        self.calls.get_or_create(&labels).inc();
        self.call_seconds.observe(took.as_secs_f64());
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, labels: &StoreLabels) {
        self.store_calls.get_or_create(labels).inc();
    }

    /// Writes all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        // Writing into a string can't fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// Methods that are counted by name. A label keeps each of its values for good, so callers don't
/// choose them.
const KNOWN_METHODS: [&str; 7] = ["GET", "POST", "DELETE", "PUT", "HEAD", "OPTIONS", "PATCH"];

fn known_method(method: &str) -> &'static str {
    KNOWN_METHODS.into_iter().find(|known| *known == method).unwrap_or("other")
}

/// Returns the metrics of this process.
pub fn metrics() -> &'static Metrics {
    static METRICS: OnceLock<Metrics> = OnceLock::new();
    METRICS.get_or_init(Metrics::new)
}
