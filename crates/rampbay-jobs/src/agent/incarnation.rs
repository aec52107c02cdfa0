//! One life of a worker, from the first heartbeat to its certain end.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::clock::Moment;
use crate::fencing::{self, FencingToken};
use crate::job::{InstanceId, Resources};
use crate::record::{ProgressReport, RunProgress, WorkerRecord};
use crate::registrations::RegistrationNumber;
use crate::worker::{Worker, WorkerMillis};

use super::held_back::HeldBack;
use super::runs::{Phase, Runs};
use super::{AgentParts, LOOK_INTERVAL};

/// Time between two calls that show whether a worker that has said good-bye is gone.
const DEPARTURE_LOOK: Duration = Duration::from_millis(100);

/// Why a life is certainly over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LifeEnd {
    /// Another life answers at its address.
    Replaced,
    /// It said good-bye, and is gone.
    Left,
    /// It was silent until all its leases had lapsed; it may be heard again.
    Silent,
}

impl LifeEnd {
    /// Returns its name in logs.
    const fn word(self) -> &'static str {
        match self {
            Self::Replaced => "replaced",
            Self::Left => "left",
            Self::Silent => "silent",
        }
    }
}

/// One life of a worker.
pub struct Incarnation {
    /// The worker's id.
    pub instance: InstanceId,
    pub(super) parts: Rc<AgentParts>,
    pub(super) worker: Rc<dyn Worker>,
    pub(super) runs: RefCell<Runs>,
    pub(super) wake: Notify,
    /// The worker's clock at a time of ours.
    pub(super) clock: Cell<Option<(WorkerMillis, Instant)>>,
    /// Whether the worker's runs have been listed once.
    pub(super) listed: Cell<bool>,
    /// Number of the last end that the store has kept.
    pub(super) last_seen: Cell<u64>,
    /// Number of the last end that the worker was told to forget.
    pub(super) noted: Cell<u64>,
    /// Whether listed ends are on their way to the store.
    pub(super) storing: Cell<bool>,
    /// Number of appends of ends that the store hasn't answered.
    pub(super) storing_ends: Cell<usize>,
    /// When a call that renews was sent last, by a clock that stands still while the worker's may.
    pub(super) lease_sent: Cell<Instant>,
    /// When the worker answered or was heard last.
    pub(super) heard: Cell<Moment>,
    /// When the worker's listing was taken in last.
    pub(super) looked: Cell<Instant>,
    /// When this process first knew of the life.
    pub(super) found: Moment,
    /// When the worker last gave an account of itself to this process.
    pub(super) account_heard: Cell<Option<Moment>>,
    pub(super) record: RefCell<WorkerRecord>,
    /// Number under which the store has kept a registration by this process last.
    pub(super) kept_number: Cell<Option<RegistrationNumber>>,
    /// Number under which this process registers the worker, once it has taken one.
    pub(super) number: Cell<Option<RegistrationNumber>>,
    /// Whether the state held the worker when it was looked at last.
    pub(super) was_registered: Cell<bool>,
    /// Why wanted runs are held back, as the log was told last.
    pub(super) told_held_back: Cell<Option<HeldBack>>,
    sequence: Cell<u64>,
    /// When it was taken to leave. Its leases are never renewed again.
    left_at: Cell<Option<Instant>>,
    /// Whether it has told this process that it ends now.
    said_goodbye: Cell<bool>,
    over: Cell<Option<LifeEnd>>,
    /// The life that has followed, once its name is known.
    pub(super) successor: RefCell<Option<InstanceId>>,
    is_abandoned: Cell<bool>,
    abandoned: Notify,
}

impl Incarnation {
    /// Makes a life whose runs aren't known yet.
    pub(super) fn new(
        parts: Rc<AgentParts>,
        instance: InstanceId,
        record: WorkerRecord,
        worker: Rc<dyn Worker>,
    ) -> Rc<Self> {
        let now = Instant::now();
        let left_at = record.departed.then_some(now);
        Rc::new(Self {
            instance,
            parts,
            worker,
            runs: RefCell::default(),
            wake: Notify::new(),
            clock: Cell::new(None),
            listed: Cell::new(false),
            last_seen: Cell::new(0),
            noted: Cell::new(0),
            storing: Cell::new(false),
            storing_ends: Cell::new(0),
            lease_sent: Cell::new(now),
            heard: Cell::new(Moment::now()),
            looked: Cell::new(now),
            found: Moment::now(),
            account_heard: Cell::new(None),
            record: RefCell::new(record),
            kept_number: Cell::new(None),
            number: Cell::new(None),
            was_registered: Cell::new(false),
            told_held_back: Cell::new(None),
            sequence: Cell::new(0),
            left_at: Cell::new(left_at),
            said_goodbye: Cell::new(false),
            over: Cell::new(None),
            successor: RefCell::default(),
            is_abandoned: Cell::new(false),
            abandoned: Notify::new(),
        })
    }

    /// Takes in a heartbeat, unless a later one has come.
    pub(super) fn hear(&self, sequence: u64, record: WorkerRecord) {
        self.heard.set(Moment::now());
        if sequence < self.sequence.get() {
            return;
        }
        self.sequence.set(sequence);
        self.account_heard.set(Some(Moment::now()));
        let mut known = self.record.borrow_mut();
        if !known.draining && record.draining {
            log::info!(
                "event=J161 worker drains worker={} leaves_at={}",
                self.instance,
                record.leaves_at
            );
        }
        // A later heartbeat says the same departure in other words; the first one stands.
        let leaves_at = if known.draining { known.leaves_at } else { record.leaves_at };
        let departed = known.departed;
        let draining = departed || record.draining;
        let changed = WorkerRecord { leaves_at, departed, draining, ..record };
        if *known != changed {
            *known = changed;
            drop(known);
            self.parts.freshness.notify();
        }
    }

    /// Compares by when this process first knew of the lives.
    pub(super) fn found_before(&self, other: &Self) -> std::cmp::Ordering {
        self.found.cmp(&other.found)
    }

    /// Takes in that the worker ends now.
    pub(super) fn leave(&self) {
        log::info!("event=J162 worker leaves worker={}", self.instance);
        self.said_goodbye.set(true);
        self.depart();
    }

    /// Takes in that nobody listens at the worker's address. Once the time of its notice is over, it has most likely
    /// gone without good-bye. Its leases are renewed no more then, and the store is told so: should this machine go as
    /// well, the leader gives its runs up by their last lease (6.7 s), not by the agent's silence (22.7 s).
    pub(super) fn note_refused(&self) {
        let is_over = {
            let record = self.record.borrow();
            record.draining && record.leaves_at <= (self.parts.wall_clock)()
        };
        if is_over && self.left_at.get().is_none() {
            log::warn!(
                "event=J178 worker gone after its notice worker={} runs={}",
                self.instance,
                self.runs.borrow().open.len()
            );
            self.depart();
        }
    }

    fn depart(&self) {
        self.left_at.set(Some(Instant::now()));
        {
            let mut record = self.record.borrow_mut();
            record.draining = true;
            record.departed = true;
        }
        self.parts.freshness.notify();
    }

    /// Takes in that another life of the worker has been heard of, by its name if that is known.
    pub(super) fn replace(&self, by: Option<InstanceId>) {
        if by.is_some() {
            self.successor.replace(by);
        }
        self.end(LifeEnd::Replaced);
    }

    /// Takes in that the worker's life is certainly over.
    pub(super) fn end(&self, why: LifeEnd) {
        if self.is_over() {
            return;
        }
        self.over.set(Some(why));
        let names = self.runs.borrow().describe_open();
        log::warn!(
            "event=J163 worker life over worker={} runs={} why={} draining={} heard_ms={} names={names:?}",
            self.instance,
            self.runs.borrow().open.len(),
            why.word(),
            self.is_draining(),
            self.heard.get().elapsed().as_millis()
        );
        self.wake.notify_waiters();
        self.parts.freshness.notify();
    }

    /// Ends all work for the life without telling the store.
    pub(super) fn abandon(&self) {
        self.is_abandoned.set(true);
        self.abandoned.notify_one();
    }

    /// Waits until the life is abandoned.
    pub(super) async fn abandoned(&self) {
        self.abandoned.notified().await;
    }

    /// Returns whether the life is over.
    pub(super) fn is_over(&self) -> bool {
        self.over.get().is_some() || self.is_abandoned.get()
    }

    /// Returns whether no heartbeat of this life counts any more, should one still arrive.
    pub(super) fn is_over_for_good(&self) -> bool {
        matches!(self.over.get(), Some(LifeEnd::Replaced | LifeEnd::Left))
    }

    /// Returns whether nothing is lost if this process ends now: all ends, and a departure, are in
    /// the store.
    pub(super) fn is_settled(&self) -> bool {
        self.left_at.get().is_none() && !self.is_over() && self.storing_ends.get() == 0
    }

    /// Returns whether the worker drains or has said good-bye.
    pub(super) fn is_draining(&self) -> bool {
        self.record.borrow().draining || self.left_at.get().is_some()
    }

    /// Returns whether operators have drained the worker's failure domain. Held against each start, also
    /// one that was assigned before, or by a leader that didn't know it.
    pub(super) fn is_in_drained_domain(&self) -> bool {
        self.parts.table.borrow().is_in_drained_domain(&self.record.borrow())
    }

    /// Returns whether leases may be renewed.
    pub(super) fn may_renew(&self) -> bool {
        let table = self.parts.table.borrow();
        !table.evicted.contains(&self.instance)
            && self.left_at.get().is_none()
            && self.parts.freshness.is_within(self.parts.settings.max_renewal_table_age)
            && self.heard.get().elapsed() < self.parts.settings.silence_timeout
    }

    /// Returns whether all leases that were ordered have surely ended.
    pub(super) fn leases_have_lapsed(&self) -> bool {
        self.lease_sent.get().elapsed() > self.parts.settings.lease_expiry
    }

    /// Returns the time by the worker's clock until which a lease may last, if it is known.
    pub(super) fn lease_until(&self) -> Option<WorkerMillis> {
        let (clock, at) = self.clock.get()?;
        let now = clock + at.elapsed().as_millis() as u64;
        Some(now + self.parts.settings.lease.as_millis() as u64)
    }

    /// Returns what the worker has in all, by its own account.
    pub(super) fn capacity(&self) -> Resources {
        self.record.borrow().capacity
    }

    /// Returns the fencing token of orders.
    pub(super) fn fencing_token(&self) -> FencingToken {
        self.token_for(&self.instance)
    }

    /// Returns the fencing token of orders for a life of the worker.
    pub(super) fn token_for(&self, instance: &str) -> FencingToken {
        fencing::token(
            (self.parts.incarnation_start)(instance),
            self.parts.table.borrow().leader.epoch,
        )
    }

    /// Returns whether runs may exist.
    #[must_use]
    pub fn has_runs(&self) -> bool {
        !self.runs.borrow().open.is_empty()
    }

    /// Counts the ends that are remembered.
    pub(super) fn remembered_ends(&self) -> usize {
        self.runs.borrow().over.len()
    }

    /// Forgets ends of jobs that the store no longer holds.
    pub(super) fn forget_removed_jobs(&self) {
        let table = self.parts.table.borrow();
        let mut runs = self.runs.borrow_mut();
        runs.over.retain(|(task, _)| table.jobs.contains_key(&task.job));
        runs.never_started.retain(|(task, _)| table.jobs.contains_key(&task.job));
    }

    /// Returns what the agent sees of its worker.
    #[must_use]
    pub fn report(&self) -> ProgressReport {
        let runs = self.runs.borrow();
        let running = runs.open.iter().filter(|(_, run)| run.phase == Phase::Running);
        let runs = running.map(|((task, attempt), run)| RunProgress {
            task: task.clone(),
            attempt: *attempt,
            percent: run.percent,
            ran_ms: (run.listed_at - run.known_since).as_millis() as u64,
            checkpoint: run.checkpoint.clone(),
        });
        let silent_ms = self.heard.get().elapsed().as_millis() as u64;
        ProgressReport { silent_ms, runs: runs.collect() }
    }

    /// Serves the life until it is over and the store knows so.
    pub(super) async fn run(self: &Rc<Self>) {
        tokio::select! {
            () = self.give_orders() => {}
            () = self.renew_for_ever() => {}
            () = self.look_until_listed() => {}
            () = self.register_for_ever() => {}
            () = self.watch_leaving() => {}
        }
        if self.over.get() == Some(LifeEnd::Replaced) {
            self.clear_successor().await;
        }
        self.unregister().await;
    }

    /// Ends the life of a worker that leaves once its leases have surely lapsed, or nobody listens at its address
    /// any more after its good-bye. Without that a refused call is no proof: its runs may outlive its listener.
    async fn watch_leaving(self: &Rc<Self>) {
        while !self.is_over() {
            if self.left_at.get().is_none() {
                tokio::time::sleep(LOOK_INTERVAL).await;
                continue;
            }
            if self.leases_have_lapsed() || (self.said_goodbye.get() && self.nobody_listens().await)
            {
                self.end(LifeEnd::Left);
                return;
            }
            tokio::time::sleep(DEPARTURE_LOOK).await;
        }
    }
}
