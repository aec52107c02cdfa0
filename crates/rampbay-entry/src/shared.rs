//! The state that the parts of an entry share.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use prometheus_client::metrics::{
    counter::Counter, family::Family, gauge::Gauge, histogram::Histogram,
};
use rampbay_core::{
    ids::{Incarnation, JobId, ProcessId, WorkspaceId},
    job::Adjacency,
};
use rampbay_node::{
    logs,
    metrics::{Labels, Metrics},
};
use rampbay_table::state::TableState;
use rampbay_wire::{
    clock::Clock,
    event::{Code, Timeline},
    mailbox::{LinkCounts, Outbox},
};
use tokio::task::AbortHandle;

use crate::{jobs::Jobs, keys::Keys, settings::EntrySettings};

/// The state that the parts of an entry share.
#[derive(Debug)]
pub struct Shared {
    /// The settings.
    pub settings: EntrySettings,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The clock of the time line.
    pub clock: Arc<Clock>,
    /// The time line.
    pub timeline: Timeline,
    /// The link to other processes.
    pub outbox: Outbox,
    /// Counts of messages on the link.
    pub link_counts: Arc<LinkCounts>,
    /// The accepted table.
    pub table: RwLock<TableState>,
    /// Records of the requests.
    pub jobs: Jobs,
    /// Keys of callers and operators.
    pub keys: Keys,
    /// Whether the entry is draining and takes no new requests.
    pub draining: AtomicBool,
    /// The metrics.
    pub metrics: EntryMetrics,
    /// Devices of the largest place for each adjacency, used or not, as of the last sync of the
    /// planner with the workers.
    pub largest: RwLock<BTreeMap<Adjacency, u32>>,
    /// The other entries with their mailboxes.
    pub peers: RwLock<Vec<(ProcessId, SocketAddr)>>,
    started: Instant,
    tasks: Mutex<Vec<AbortHandle>>,
}

/// Number of task handles at which those of finished tasks are dropped.
const PRUNE_TASKS_AT: usize = 1_024;

/// The metrics of an entry.
#[derive(Debug, Clone)]
pub struct EntryMetrics {
    /// The registry of all metrics.
    pub all: Metrics,
    /// Requests by workspace, outcome and reason.
    pub outcomes: Family<Labels, Counter>,
    /// Time from arrival until the outcome, by workspace.
    pub completion: Family<Labels, Histogram>,
    /// The table's version.
    pub table_version: Family<Labels, Gauge>,
    /// Requests without an outcome.
    pub open: Family<Labels, Gauge>,
    /// Stale replies and denied retries of the dispatcher, by cause.
    pub dropped: Family<Labels, Gauge>,
    /// Devices by state.
    pub devices: Family<Labels, Gauge>,
    /// Gangs that were started, refused, asked to yield, lost or released, by which of these.
    pub gangs: Family<Labels, Counter>,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        let all = Metrics::default();
        Self {
            outcomes: all.counters("requests", "Requests by workspace, outcome and reason"),
            completion: all
                .seconds("completion", "Time from arrival until the outcome, by workspace"),
            table_version: all.gauges("table_version", "Version of the table in force"),
            open: all.gauges("requests_open", "Requests that have no outcome yet"),
            dropped: all.gauges("messages_dropped", "Messages dropped, by why"),
            devices: all.gauges("devices", "Devices by state as the planner sees them"),
            gangs: all.counters("gangs", "Gangs by what became of them"),
            all,
        }
    }
}

impl Shared {
    /// Creates the shared state of an entry.
    #[must_use]
    pub fn new(
        settings: EntrySettings,
        incarnation: Incarnation,
        clock: Arc<Clock>,
        outbox: Outbox,
        link_counts: Arc<LinkCounts>,
    ) -> Self {
        let limits = settings.limits;
        let keep = Duration::from_millis(settings.times.keep_answer_ms);
        Self {
            incarnation,
            clock,
            timeline: Timeline::new(settings.id.clone(), limits.timeline_events),
            outbox,
            link_counts,
            table: RwLock::default(),
            jobs: Jobs::new(keep, limits.kept_answer_bytes, limits.requests, limits.held_bytes),
            keys: Keys::new(settings.keys.clone()),
            draining: AtomicBool::new(false),
            metrics: EntryMetrics::default(),
            largest: RwLock::default(),
            peers: RwLock::default(),
            started: Instant::now(),
            tasks: Mutex::default(),
            settings,
        }
    }

    /// Spawns a task that is aborted when the entry ends.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let handle = tokio::spawn(task).abort_handle();
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        if tasks.len() >= PRUNE_TASKS_AT {
            tasks.retain(|task| !task.is_finished());
        }
        tasks.push(handle);
    }

    /// Aborts every task.
    pub fn abort_tasks(&self) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        for task in tasks.drain(..) {
            task.abort();
        }
    }

    /// Returns the time since this process started.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Locks the table for reading.
    pub fn table(&self) -> RwLockReadGuard<'_, TableState> {
        self.table.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the table for writing.
    pub fn table_mut(&self) -> RwLockWriteGuard<'_, TableState> {
        self.table.write().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the entry is draining.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Returns the other entries with their mailboxes.
    #[must_use]
    pub fn peers(&self) -> Vec<(ProcessId, SocketAddr)> {
        self.peers.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Records an event on the time line and in the log.
    pub fn event(
        &self,
        code: Code,
        job: Option<&JobId>,
        workspace: Option<&WorkspaceId>,
        detail: impl Into<String>,
    ) {
        logs::event(&self.timeline, &self.clock, code, job, workspace, detail);
    }
}
