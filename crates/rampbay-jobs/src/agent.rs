//! The agent beside a worker: carries out what the table says, renews leases, reports ends.
//!
//! A process may see several lives of its worker, one after the other or for a while side by
//! side; each has a [`incarnation::Incarnation`] of its own. [`AgentHost`] makes them as heartbeats come and as
//! the table tells of a life from before a restart.

mod ends;
mod held_back;
pub mod incarnation;
mod orders;
mod registering;
mod renewals;
mod room;
mod runs;
mod stops;
mod successor;

use std::cell::RefCell;
use std::cmp::Ordering;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use crate::freshness::Freshness;
use crate::job::{EpochMillis, InstanceId, NodeName};
use crate::record::{KeyedRecord, WorkerRecord, encode};
use crate::store::{AppendError, Store};
use crate::table::JobTable;
use crate::worker::Worker;

use incarnation::Incarnation;

/// Times that an agent goes by.
#[derive(Clone, Copy, Debug)]
pub struct AgentSettings {
    /// Longest lease that a worker gives.
    pub lease: Duration,
    /// Time after the last renewal was sent from which all leases have surely ended.
    pub lease_expiry: Duration,
    /// Oldest table under which leases are renewed.
    pub max_renewal_table_age: Duration,
    /// Oldest table under which runs are started.
    pub max_start_table_age: Duration,
    /// Oldest account of the worker under which runs are started: its room may have shrunk since.
    pub max_heartbeat_age: Duration,
    /// Time without answer after which a worker's leases are no longer renewed.
    pub silence_timeout: Duration,
    /// How long a renewal waits at the worker for an end.
    pub renewal_wait: Duration,
    /// Time between two reports while runs are there.
    pub report_interval: Duration,
    /// Time between two reports of a worker without runs.
    pub idle_report_interval: Duration,
    /// How long a start without answer may take to show among the runs.
    pub unanswered_start_timeout: Duration,
}

/// Makes a client for a life of the worker, given its address and its id.
pub type Connect = Box<dyn Fn(&str, &str) -> Rc<dyn Worker>>;

/// Compares two lives by when they began; `None` for lives of two workers.
pub type CompareIncarnations = fn(&str, &str) -> Option<Ordering>;

/// Tells from its name when a life began, where workers tell that.
pub type IncarnationStart = fn(&str) -> Option<EpochMillis>;

/// What all lives of one process share.
pub struct AgentParts {
    /// Name of this process.
    pub node: NodeName,
    /// The store.
    pub store: Rc<dyn Store>,
    /// The table, which a follower keeps current.
    pub table: Rc<RefCell<JobTable>>,
    /// Age of the table.
    pub freshness: Rc<Freshness>,
    /// Makes a client for a life of the worker.
    pub connect: Connect,
    /// Tells which of two lives of a worker came first.
    pub compare_incarnations: CompareIncarnations,
    /// Tells when a life began.
    pub incarnation_start: IncarnationStart,
    /// Reads the clock.
    pub wall_clock: fn() -> EpochMillis,
    /// Times.
    pub settings: AgentSettings,
}

/// A worker's account of itself.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    /// Its id.
    pub instance: InstanceId,
    /// Rises with every heartbeat of this life.
    pub sequence: u64,
    /// What it says; `node` and `leaves_at` are filled in by the host.
    pub record: WorkerRecord,
    /// Least time until it leaves, while it drains.
    pub remaining: Option<Duration>,
}

/// All lives of one process's worker.
pub struct AgentHost {
    parts: Rc<AgentParts>,
    lives: RefCell<BTreeMap<InstanceId, Rc<Incarnation>>>,
    /// Lives that are over for good, the latest last: a heartbeat of theirs that was held up may still come.
    ended: RefCell<VecDeque<InstanceId>>,
}

/// Ended lives that are remembered. A machine's worker has a handful in a day; a heartbeat of one that was
/// forgotten makes a life that ends with its first call, since another one answers.
const MOST_ENDED: usize = 32;

/// Pause of loops that look for something to do without being told.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

impl AgentHost {
    /// Makes a host without lives.
    #[must_use]
    pub fn new(parts: AgentParts) -> Rc<Self> {
        Rc::new(Self {
            parts: Rc::new(parts),
            lives: RefCell::default(),
            ended: RefCell::default(),
        })
    }

    /// Takes in a heartbeat.
    pub fn heartbeat(self: &Rc<Self>, heartbeat: Heartbeat) {
        if self.is_of_the_past(&heartbeat.instance) {
            log::info!(
                "event=J171 late heartbeat of an ended life worker={} sequence={}",
                heartbeat.instance,
                heartbeat.sequence
            );
            return;
        }
        let mut record = heartbeat.record;
        record.node.clone_from(&self.parts.node);
        if let Some(remaining) = heartbeat.remaining.filter(|_| record.draining) {
            record.leaves_at = (self.parts.wall_clock)() + remaining.as_millis() as u64;
        }
        let life = self.life(&heartbeat.instance, &record);
        life.hear(heartbeat.sequence, record);
    }

    /// Returns whether a life is over for good, or a later one of its worker is known.
    fn is_of_the_past(&self, instance: &str) -> bool {
        let is_earlier = |known: &InstanceId| {
            (self.parts.compare_incarnations)(instance, known) == Some(Ordering::Less)
        };
        self.ended.borrow().iter().any(|ended| ended == instance)
            || self.lives.borrow().keys().any(is_earlier)
    }

    /// Ends the lives that have a later one of the same worker: that one turns their calls away, and doesn't answer them.
    fn end_predecessors(&self) {
        let lives = self.lives.borrow();
        for life in lives.values() {
            let is_later = |other: &&InstanceId| {
                (self.parts.compare_incarnations)(&life.instance, other) == Some(Ordering::Less)
            };
            if let Some(successor) = lives.keys().rfind(is_later) {
                life.replace(Some(successor.clone()));
            }
        }
    }

    /// Takes in that a life is about to end: the latest of those that `is_meant` holds for.
    pub fn deregister(&self, is_meant: impl Fn(&str) -> bool) {
        let lives = self.lives.borrow();
        let meant = lives.values().filter(|life| is_meant(&life.instance) && !life.is_over());
        let latest = meant.max_by(|one, other| one.found_before(other)).cloned();
        drop(lives);
        if let Some(life) = latest {
            life.leave();
        }
    }

    /// Adopts lives from before a restart, and reports progress, for ever.
    pub async fn run(self: Rc<Self>) {
        tokio::join!(self.adopt_for_ever(), self.report_for_ever());
    }

    /// Returns whether nothing is lost if this process ends now: no end and no departure of a
    /// worker is still on its way to the store.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.lives.borrow().values().all(|life| life.is_settled())
    }

    /// Counts the ends that all lives remember, so that none is ordered again.
    #[must_use]
    pub fn remembered_ends(&self) -> usize {
        self.lives.borrow().values().map(|life| life.remembered_ends()).sum()
    }

    /// Drops all lives at once, as the end of the process would.
    pub fn abandon(&self) {
        for life in self.lives.borrow().values() {
            life.abandon();
        }
    }

    fn life(self: &Rc<Self>, instance: &str, record: &WorkerRecord) -> Rc<Incarnation> {
        if let Some(life) = self.lives.borrow().get(instance) {
            return Rc::clone(life);
        }
        let worker = (self.parts.connect)(&record.address, instance);
        let life =
            Incarnation::new(Rc::clone(&self.parts), instance.to_owned(), record.clone(), worker);
        self.lives.borrow_mut().insert(instance.to_owned(), Rc::clone(&life));
        log::info!("event=J160 worker life found worker={instance} address={}", record.address);
        self.end_predecessors();
        let host = Rc::clone(self);
        let running = Rc::clone(&life);
        tokio::task::spawn_local(async move {
            tokio::select! {
                () = running.run() => {}
                () = running.abandoned() => {}
            }
            if running.is_over_for_good() {
                host.remember_ended(&running);
            }
            host.lives.borrow_mut().remove(&running.instance);
        });
        life
    }

    fn remember_ended(&self, life: &Incarnation) {
        let mut ended = self.ended.borrow_mut();
        if ended.len() >= MOST_ENDED {
            ended.pop_front();
        }
        ended.push_back(life.instance.clone());
    }

    async fn adopt_for_ever(self: &Rc<Self>) {
        loop {
            for (instance, record) in self.unknown_lives() {
                self.life(&instance, &record);
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    fn unknown_lives(&self) -> Vec<(InstanceId, WorkerRecord)> {
        let table = self.parts.table.borrow();
        let lives = self.lives.borrow();
        let mine = table.workers.iter().filter(|(instance, worker)| {
            worker.node == self.parts.node && !lives.contains_key(*instance)
        });
        mine.map(|(instance, worker)| (instance.clone(), worker.as_ref().clone())).collect()
    }

    async fn report_for_ever(&self) {
        let settings = &self.parts.settings;
        let mut since_report = settings.idle_report_interval;
        loop {
            let lives: Vec<Rc<Incarnation>> = self.lives.borrow().values().cloned().collect();
            lives.iter().for_each(|life| life.forget_removed_jobs());
            let busy = lives.iter().any(|life| life.has_runs());
            if busy || since_report >= settings.idle_report_interval {
                // One that the store didn't take is followed by another without delay.
                since_report = match self.report(&lives).await {
                    Ok(()) => Duration::ZERO,
                    Err(_) => settings.idle_report_interval,
                };
            }
            tokio::time::sleep(settings.report_interval).await;
            since_report += settings.report_interval;
        }
    }

    async fn report(&self, lives: &[Rc<Incarnation>]) -> Result<(), AppendError> {
        let records: Vec<KeyedRecord> = lives
            .iter()
            .map(|life| KeyedRecord { key: life.instance.clone(), value: encode(&life.report()) })
            .collect();
        if !records.is_empty() {
            self.parts.store.report(&records).await?;
        }
        Ok(())
    }
}
