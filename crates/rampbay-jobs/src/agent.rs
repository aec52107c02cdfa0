//! The agent of a worker: starts and stops runs as the job table says, renews leases and reports
//! ended runs.
//!
//! A process may see several incarnations of its worker, one after another or overlapping for a
//! while. Each incarnation is served by an [`incarnation::Incarnation`]. [`AgentHost`] creates them
//! when heartbeats arrive, and for registrations in the table that an earlier process of this agent
//! made.

mod ends;
mod held_back;
pub mod incarnation;
mod leases;
mod orders;
mod registering;
mod renewals;
mod room;
mod runs;
mod stops;
mod successor;
mod unanswered;
mod withheld;

use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::freshness::Freshness;
use crate::job::{EpochMillis, InstanceId, NodeName};
use crate::record::{KeyedRecord, STATE_TOPIC, WorkerRecord, encode};
use crate::store::{AppendError, Store};
use crate::table::JobTable;
use crate::worker::Worker;

use incarnation::Incarnation;

/// Timing settings of an agent.
#[derive(Clone, Copy, Debug)]
pub struct AgentSettings {
    /// Longest lease that a worker grants.
    pub lease: Duration,
    /// Time after the last renewal was sent by which all leases have certainly ended.
    pub lease_expiry: Duration,
    /// Greatest age of the table with which leases are renewed.
    pub max_renewal_table_age: Duration,
    /// Greatest age of the table with which runs are started.
    pub max_start_table_age: Duration,
    /// Greatest age of the worker's last heartbeat with which runs are started: its capacity may
    /// have shrunk since.
    pub max_heartbeat_age: Duration,
    /// Time without an answer or a heartbeat after which a worker's leases are no longer renewed.
    pub silence_timeout: Duration,
    /// How long the worker may hold a renewal open until a run ends.
    pub renewal_wait: Duration,
    /// Time between two progress reports while runs exist.
    pub report_interval: Duration,
    /// Time between two progress reports of a worker without runs.
    pub idle_report_interval: Duration,
    /// How long an unanswered start may take to appear among the worker's runs.
    pub unanswered_start_timeout: Duration,
    /// Longest time after which a call that got no answer is still carried out.
    pub max_call_delay: Duration,
}

/// Creates a client for an incarnation of the worker, given its address and its id.
pub type Connect = Box<dyn Fn(&str, &str) -> Rc<dyn Worker>>;

/// Compares the start times of two incarnations; `None` if they belong to different workers.
pub type CompareIncarnations = fn(&str, &str) -> Option<Ordering>;

/// Returns when the incarnation with this id started; `None` if its worker doesn't report that.
pub type IncarnationStart = fn(&str) -> Option<EpochMillis>;

/// Dependencies shared by all incarnations that one process serves.
pub struct AgentParts {
    /// Name of this process.
    pub node: NodeName,
    /// The store that holds the state.
    pub store: Rc<dyn Store>,
    /// The job table, kept up to date by a follower.
    pub table: Rc<RefCell<JobTable>>,
    /// How up to date the table is.
    pub freshness: Rc<Freshness>,
    /// Creates a client for an incarnation of the worker.
    pub connect: Connect,
    /// Compares the start times of two incarnations of a worker.
    pub compare_incarnations: CompareIncarnations,
    /// Returns when an incarnation started.
    pub incarnation_start: IncarnationStart,
    /// Returns the time of day.
    pub wall_clock: fn() -> EpochMillis,
    /// Timing settings.
    pub settings: AgentSettings,
}

/// A worker's report of its own state.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    /// Id of the worker's incarnation.
    pub instance: InstanceId,
    /// Sequence number; rises with every heartbeat of this incarnation.
    pub sequence: u64,
    /// The reported state; the host fills in `node`, `leaves_at` and `may_be_suspected`.
    pub record: WorkerRecord,
    /// Least time until the worker leaves, while it is draining.
    pub remaining: Option<Duration>,
}

/// All incarnations of the worker that one process serves.
pub struct AgentHost {
    parts: Rc<AgentParts>,
    started_at: Instant,
    incarnations: RefCell<BTreeMap<InstanceId, Rc<Incarnation>>>,
    /// Incarnations that have ended for good, the latest last: delayed heartbeats of theirs may
    /// still arrive.
    ended: RefCell<VecDeque<InstanceId>>,
    /// Whether this process has ceased to renew leases and to order starts.
    has_ceased: Cell<bool>,
}

/// Most ended incarnations that are remembered. A worker has a handful in a day. A delayed
/// heartbeat of a forgotten one creates an incarnation that ends with its first call, because
/// another incarnation answers.
const MAX_REMEMBERED_ENDED: usize = 32;

/// Most incarnations that have only been heard of. Each is called, so it takes descriptors.
const MAX_UNCONFIRMED: usize = 32;

/// Largest plausible difference between a worker's clock and this process's, in milliseconds.
const MAX_CLOCK_SKEW_MS: u64 = 3_600_000;

/// Pause before a failed append of the process's stop is retried.
const STOP_RETRY: Duration = Duration::from_millis(100);

/// Pause of loops that poll for work instead of being notified.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

impl AgentHost {
    /// Creates a host without incarnations.
    #[must_use]
    pub fn new(parts: AgentParts) -> Rc<Self> {
        Rc::new(Self {
            parts: Rc::new(parts),
            started_at: Instant::now(),
            incarnations: RefCell::default(),
            ended: RefCell::default(),
            has_ceased: Cell::new(false),
        })
    }

    /// Handles a heartbeat. Returns whether the worker may have sent it: one of an incarnation that starts in the future
    /// comes from another writer.
    pub fn heartbeat(self: &Rc<Self>, heartbeat: Heartbeat) -> bool {
        let started_at = (self.parts.incarnation_start)(&heartbeat.instance);
        let latest_start = (self.parts.wall_clock)().saturating_add(MAX_CLOCK_SKEW_MS);
        if started_at.is_some_and(|started_at| started_at > latest_start) {
            log::warn!(
                "event=J232 heartbeat of an incarnation that starts in the future ignored worker={}",
                heartbeat.instance
            );
            return false;
        }
        if self.is_superseded(&heartbeat.instance) {
            log::info!(
                "event=J171 heartbeat of an ended worker incarnation ignored worker={} sequence={}",
                heartbeat.instance,
                heartbeat.sequence
            );
            return true;
        }
        let mut record = heartbeat.record;
        record.node.clone_from(&self.parts.node);
        record.may_be_suspected = started_at.is_none();
        if let Some(remaining) = heartbeat.remaining.filter(|_| record.draining) {
            let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
            record.leaves_at = (self.parts.wall_clock)().saturating_add(remaining_ms);
        }
        let incarnation = self.get_or_create(&heartbeat.instance, &record);
        incarnation.handle_heartbeat(heartbeat.sequence, record);
        true
    }

    /// Returns whether a heartbeat of an incarnation can be handled: not if it is a new one, and many others have only been
    /// heard of. They are the invention of other writers, or go away once a call to them fails.
    #[must_use]
    pub fn has_room_for(&self, instance: &str) -> bool {
        let incarnations = self.incarnations.borrow();
        let is_unconfirmed = |incarnation: &&Rc<Incarnation>| !incarnation.is_confirmed();
        incarnations.len() < MAX_UNCONFIRMED
            || incarnations.contains_key(instance)
            || incarnations.values().filter(is_unconfirmed).count() < MAX_UNCONFIRMED
    }

    /// Returns whether an incarnation has ended for good, or a later one of its worker has answered.
    fn is_superseded(&self, instance: &str) -> bool {
        let is_earlier = |known: &Rc<Incarnation>| {
            known.is_confirmed()
                && (self.parts.compare_incarnations)(instance, &known.instance)
                    == Some(Ordering::Less)
        };
        self.ended.borrow().iter().any(|ended| ended == instance)
            || self.incarnations.borrow().values().any(is_earlier)
    }

    /// Ends every incarnation that a later one of the same worker has replaced. The later one
    /// rejects calls that are meant for the earlier one instead of answering them, so no call would
    /// show that the earlier one is over. A later one of which only a heartbeat is known may be the invention of
    /// another writer.
    fn end_predecessors(&self) {
        let incarnations = self.incarnations.borrow();
        for incarnation in incarnations.values() {
            let is_later = |other: &&Rc<Incarnation>| {
                other.is_confirmed()
                    && (self.parts.compare_incarnations)(&incarnation.instance, &other.instance)
                        == Some(Ordering::Less)
            };
            if let Some(successor) = incarnations.values().rfind(is_later) {
                incarnation.replace(Some(successor.instance.clone()));
            }
        }
    }

    /// Ends the earlier incarnations of a worker as soon as this one has answered; never returns.
    async fn end_predecessors_of(&self, incarnation: &Incarnation) {
        let mut changes = self.parts.freshness.subscribe();
        while !incarnation.is_confirmed() {
            if changes.changed().await.is_err() {
                break;
            }
        }
        self.end_predecessors();
        std::future::pending::<()>().await;
    }

    /// Handles a deregistration: marks as departed the most recently discovered incarnation that
    /// satisfies `is_meant` and hasn't ended.
    pub fn deregister(&self, is_meant: impl Fn(&str) -> bool) {
        let incarnations = self.incarnations.borrow();
        let meant = incarnations
            .values()
            .filter(|incarnation| is_meant(&incarnation.instance) && !incarnation.has_ended());
        let latest = meant.max_by(|one, other| one.compare_discovery(other)).cloned();
        drop(incarnations);
        if let Some(incarnation) = latest {
            incarnation.deregister();
        }
    }

    /// Adopts incarnations that an earlier process registered, and reports progress; never returns.
    pub async fn run(self: Rc<Self>) {
        tokio::join!(self.adopt_forever(), self.report_forever());
    }

    /// Returns whether nothing is lost if this process ends now: no end of a run and no departure
    /// of a worker is still to be written to the store.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.incarnations.borrow().values().all(|incarnation| incarnation.is_settled())
    }

    /// Ceases to renew leases and to order starts, and stores that, so that the leader gives the runs up as soon as their
    /// leases have ended, unless a later process takes them over. To be called before this process ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the store doesn't confirm the record within `timeout`. It may still be stored later, which
    /// does no harm.
    pub async fn cease(&self, timeout: Duration) -> Result<(), AppendError> {
        self.has_ceased.set(true);
        let records: Vec<KeyedRecord> = {
            let incarnations = self.incarnations.borrow();
            incarnations.values().for_each(|incarnation| incarnation.cease());
            incarnations.values().filter_map(|incarnation| incarnation.stop_record()).collect()
        };
        if records.is_empty() {
            return Ok(());
        }
        let store = async {
            while self.parts.store.append(STATE_TOPIC, &records, None).await.is_err() {
                tokio::time::sleep(STOP_RETRY).await;
            }
        };
        tokio::time::timeout(timeout, store).await.map_err(|_| AppendError::Unknown)
    }

    /// Counts the ended runs that all incarnations remember so as not to start them again.
    #[must_use]
    pub fn remembered_ends(&self) -> usize {
        self.incarnations.borrow().values().map(|incarnation| incarnation.remembered_ends()).sum()
    }

    /// Drops all incarnations at once, as the end of the process would.
    pub fn abandon(&self) {
        for incarnation in self.incarnations.borrow().values() {
            incarnation.abandon();
        }
    }

    fn get_or_create(self: &Rc<Self>, instance: &str, record: &WorkerRecord) -> Rc<Incarnation> {
        if let Some(incarnation) = self.incarnations.borrow().get(instance) {
            return Rc::clone(incarnation);
        }
        let worker = (self.parts.connect)(&record.address, instance);
        let parts = Rc::clone(&self.parts);
        let incarnation =
            Incarnation::new(parts, self.started_at, instance.to_owned(), record.clone(), worker);
        if self.has_ceased.get() {
            incarnation.cease();
        }
        self.incarnations.borrow_mut().insert(instance.to_owned(), Rc::clone(&incarnation));
        log::info!(
            "event=J160 worker incarnation discovered worker={instance} address={}",
            record.address
        );
        self.end_predecessors();
        let host = Rc::clone(self);
        let running = Rc::clone(&incarnation);
        tokio::task::spawn_local(async move {
            tokio::select! {
                () = running.run() => {}
                () = running.abandoned() => {}
                () = host.end_predecessors_of(&running) => {}
            }
            if running.has_ended_for_good() {
                host.remember_ended(&running);
            }
            host.incarnations.borrow_mut().remove(&running.instance);
        });
        incarnation
    }

    fn remember_ended(&self, incarnation: &Incarnation) {
        let mut ended = self.ended.borrow_mut();
        if ended.len() >= MAX_REMEMBERED_ENDED {
            ended.pop_front();
        }
        ended.push_back(incarnation.instance.clone());
    }

    async fn adopt_forever(self: &Rc<Self>) {
        loop {
            for (instance, record) in self.unserved_incarnations() {
                self.get_or_create(&instance, &record);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn unserved_incarnations(&self) -> Vec<(InstanceId, WorkerRecord)> {
        let table = self.parts.table.borrow();
        let incarnations = self.incarnations.borrow();
        let mine = table.workers.iter().filter(|(instance, worker)| {
            worker.node == self.parts.node && !incarnations.contains_key(*instance)
        });
        mine.map(|(instance, worker)| (instance.clone(), worker.as_ref().clone())).collect()
    }

    async fn report_forever(&self) {
        let settings = &self.parts.settings;
        let mut since_report = settings.idle_report_interval;
        loop {
            let incarnations: Vec<Rc<Incarnation>> =
                self.incarnations.borrow().values().cloned().collect();
            incarnations.iter().for_each(|incarnation| incarnation.forget_removed_jobs());
            let busy = incarnations.iter().any(|incarnation| incarnation.has_runs());
            if busy || since_report >= settings.idle_report_interval {
                // A report that the store didn't take is sent again without waiting for the idle
                // interval.
                since_report = match self.report(&incarnations).await {
                    Ok(()) => Duration::ZERO,
                    Err(_) => settings.idle_report_interval,
                };
            }
            tokio::time::sleep(settings.report_interval).await;
            since_report += settings.report_interval;
        }
    }

    async fn report(&self, incarnations: &[Rc<Incarnation>]) -> Result<(), AppendError> {
        let records: Vec<KeyedRecord> = incarnations
            .iter()
            .map(|incarnation| KeyedRecord {
                key: incarnation.instance.clone(),
                value: encode(&incarnation.report()),
            })
            .collect();
        if !records.is_empty() {
            self.parts.store.report(&records).await?;
        }
        Ok(())
    }
}
