//! Takes callers' jobs in and answers what became of them.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::clock::Moment;
use crate::drained::DrainOrders;
use crate::freshness::Freshness;
use crate::job::{JobId, Submission, WorkspaceName};
use crate::plan::JobStatus;
use crate::record::{Record, STATE_TOPIC};
use crate::routing::{Queue, Routing};
use crate::store::{AppendError, Store};
use crate::table::JobTable;

/// Time before a caller gives up at which it gets its answer; an answer that comes later is lost.
const ANSWER_MARGIN: Duration = Duration::from_millis(40);
/// Time that a caller must have left to be told to come back: the second after which callers are asked to
/// come, and half a second to be served then. A caller with less is waited with.
const LAST_WAIT: Duration = Duration::from_millis(1500);
/// How long a caller who can come back waits while the store is known to be away.
const AWAY_WAIT: Duration = Duration::from_millis(100);
/// Time between two looks whether a table has become current: as long as the shortest gap between reads.
const TABLE_LOOK: Duration = Duration::from_millis(20);
/// Pause before an append that the store didn't take is sent again.
const REPEAT_PAUSE: Duration = Duration::from_millis(150);

/// How a call is refused. Only [`Refusal::Unknown`] leaves open whether the job was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// No configuration, or none known to be current; come back later.
    #[error("the configuration isn't known to be current")]
    NotCurrent,
    /// No queue has this host and path.
    #[error("no such queue")]
    NoQueue,
    /// The key isn't known.
    #[error("the key isn't known")]
    Unauthorized,
    /// The job can't be read or breaks a limit.
    #[error("the job isn't valid")]
    Invalid,
    /// The store took nothing; come back later.
    #[error("the store takes no jobs now")]
    Unavailable,
    /// The store gave no answer: the job may be taken.
    #[error("the store gave no answer")]
    Unknown,
    /// There is no such job.
    #[error("no such job")]
    NoJob,
}

/// Limits of an intake.
#[derive(Clone, Copy, Debug)]
pub struct IntakeLimits {
    /// Oldest configuration under which calls are answered.
    pub configuration_age: Duration,
    /// How long a call waits for a store that isn't known to be away.
    pub usual_wait: Duration,
    /// Age of the table from which on the store is taken to be away.
    pub store_age: Duration,
    /// Calls that may wait for the store at once; more are refused.
    pub max_waiting: usize,
    /// Oldest table out of which a job is said to be unknown, or pending jobs are counted.
    pub table_age: Duration,
}

/// How long a call may wait for the store.
#[derive(Clone, Copy, Debug)]
pub struct WaitBudget {
    /// Until when.
    pub until: Instant,
    /// Whether records are sent to a store that may not answer: then it stays unknown what became of
    /// them.
    pub may_send: bool,
}

/// What an entry knows of what operators want.
#[derive(Debug, Default)]
pub struct CurrentRouting {
    /// The newest version, if any has come.
    pub routing: RefCell<Option<Rc<Routing>>>,
    /// Failure domains that are to get nothing more.
    pub drains: DrainOrders,
    /// How old that knowledge is.
    pub freshness: Rc<Freshness>,
}

impl CurrentRouting {
    /// Returns the newest version.
    #[must_use]
    pub fn get(&self) -> Option<Rc<Routing>> {
        self.routing.borrow().clone()
    }

    /// Takes in a version, unless a newer one is there.
    pub fn set(&self, routing: Routing) {
        let mut current = self.routing.borrow_mut();
        if current.as_ref().is_some_and(|known| known.version >= routing.version) {
            return;
        }
        log::info!(
            "event=J110 configuration version={} queues={} workspaces={}",
            routing.version,
            routing.queues.len(),
            routing.workspaces.len()
        );
        *current = Some(Rc::new(routing));
    }
}

/// Ages of what an intake answers by; `None` before the first read.
#[derive(Clone, Copy, Debug)]
pub struct Ages {
    /// Of the configuration.
    pub configuration: Option<Duration>,
    /// Of the table.
    pub table: Option<Duration>,
}

impl std::fmt::Display for Ages {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let millis = |age: Option<Duration>| age.map_or(-1, |age| age.as_millis() as i128);
        let (configuration, table) = (millis(self.configuration), millis(self.table));
        write!(f, "config_age_ms={configuration} table_age_ms={table}")
    }
}

/// Who calls, and where.
#[derive(Clone, Copy, Debug)]
pub struct CallTarget<'a> {
    /// Host that the call names.
    pub host: &'a str,
    /// Path of the call.
    pub path: &'a str,
    /// Key of the caller, if it shows one.
    pub key: Option<&'a str>,
}

/// A call that may go on.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Its queue.
    pub queue: Queue,
    /// The caller's workspace; empty on a public queue without a key.
    pub workspace: WorkspaceName,
    /// Version of the configuration that said so.
    pub version: u64,
}

/// Takes jobs in.
pub struct Intake {
    store: Rc<dyn Store>,
    table: Rc<RefCell<JobTable>>,
    table_freshness: Rc<Freshness>,
    routing: Rc<CurrentRouting>,
    limits: IntakeLimits,
    waiting: Cell<usize>,
}

impl Intake {
    /// Makes an intake over a table and a configuration that are kept current elsewhere.
    #[must_use]
    pub fn new(
        store: Rc<dyn Store>,
        table: Rc<RefCell<JobTable>>,
        table_freshness: Rc<Freshness>,
        routing: Rc<CurrentRouting>,
        limits: IntakeLimits,
    ) -> Self {
        Self { store, table, table_freshness, routing, limits, waiting: Cell::new(0) }
    }

    /// Returns the ages of the configuration and of the table, by which calls are answered.
    #[must_use]
    pub fn ages(&self) -> Ages {
        Ages { configuration: self.routing.freshness.age(), table: self.table_freshness.age() }
    }

    /// Returns how long a call may wait for the store, given how long its caller waits. A caller who
    /// has time to come back is told so soon; one who hasn't is waited with to the end.
    #[must_use]
    pub fn wait_budget(&self, caller_waits: Option<Duration>) -> WaitBudget {
        let left = caller_waits.map_or(self.limits.usual_wait, |w| w.saturating_sub(ANSWER_MARGIN));
        let is_last = left <= LAST_WAIT;
        let is_away = !self.table_freshness.is_within(self.limits.store_age);
        let wait = match (is_last, is_away) {
            (true, _) => left,
            (false, false) => self.limits.usual_wait.min(left),
            (false, true) => AWAY_WAIT,
        };
        WaitBudget { until: Instant::now() + wait, may_send: is_last || !is_away }
    }

    /// Checks queue and key of a call. Waits for a configuration that is known to be current.
    ///
    /// # Errors
    ///
    /// Says why the call may not go on.
    pub async fn admit(
        &self,
        target: CallTarget<'_>,
        budget: WaitBudget,
    ) -> Result<Admission, Refusal> {
        let mut changes = self.routing.freshness.subscribe();
        loop {
            changes.borrow_and_update();
            match self.admit_now(target) {
                Err(Refusal::NotCurrent) => {}
                settled => return settled,
            }
            let _guard = self.wait_for_store().ok_or(Refusal::NotCurrent)?;
            if tokio::time::timeout_at(budget.until, changes.changed()).await.is_err() {
                return Err(Refusal::NotCurrent);
            }
        }
    }

    /// Counts a call as waiting, unless too many wait already.
    fn wait_for_store(&self) -> Option<Waiting<'_>> {
        let waiting = self.waiting.get();
        if waiting >= self.limits.max_waiting {
            return None;
        }
        self.waiting.set(waiting + 1);
        Some(Waiting(&self.waiting))
    }

    fn admit_now(&self, target: CallTarget<'_>) -> Result<Admission, Refusal> {
        let routing = self.routing.get().ok_or(Refusal::NotCurrent)?;
        if !self.routing.freshness.is_within(self.limits.configuration_age) {
            return Err(Refusal::NotCurrent);
        }
        let queue = routing.queue(target.host, target.path).ok_or(Refusal::NoQueue)?;
        let workspace = target.key.and_then(|key| routing.workspace_of(key));
        if workspace.is_none() && !queue.public {
            return Err(Refusal::Unauthorized);
        }
        let workspace = workspace.map(|workspace| workspace.name.clone()).unwrap_or_default();
        Ok(Admission { queue: queue.clone(), workspace, version: routing.version })
    }

    /// Keeps a job. A job that is known already is accepted again and stays as it was.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Unavailable`] if the job surely isn't kept, and [`Refusal::Unknown`]
    /// if it may be.
    pub async fn submit(&self, submission: Submission, budget: WaitBudget) -> Result<(), Refusal> {
        if self.table.borrow().jobs.contains_key(&submission.id) {
            return Ok(());
        }
        self.keep(&Record::Submitted(Box::new(submission)), budget).await
    }

    /// Cancels a job.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::NoJob`] if there is no such job, or it has ended, and [`Refusal::NotCurrent`] if
    /// that couldn't be learnt in the call's time.
    pub async fn cancel(&self, id: &JobId, budget: WaitBudget) -> Result<(), Refusal> {
        let known = self.table.borrow().status(id);
        let status = match known {
            Some(status) => status,
            None => self.current_status(id, budget).await?,
        };
        match status {
            JobStatus::Cancelled => Ok(()),
            JobStatus::Succeeded | JobStatus::Failed => Err(Refusal::NoJob),
            JobStatus::Queued | JobStatus::Running => {
                self.keep(&Record::Cancelled(id.clone()), budget).await
            }
        }
    }

    /// Returns what became of a job, as of a moment after the call came. A caller who is told that there
    /// is no such job takes it as cancelled: in a table from before the call it may be missing although
    /// another entry has accepted it, and it would run on.
    async fn current_status(&self, id: &JobId, budget: WaitBudget) -> Result<JobStatus, Refusal> {
        let asked = Moment::now();
        let _guard = self.wait_for_store().ok_or(Refusal::NotCurrent)?;
        loop {
            if let Some(status) = self.table.borrow().status(id) {
                return Ok(status);
            }
            if self.table_freshness.is_within(asked.elapsed()) {
                return Err(Refusal::NoJob);
            }
            if Instant::now() >= budget.until {
                return Err(Refusal::NotCurrent);
            }
            tokio::time::sleep_until((Instant::now() + TABLE_LOOK).min(budget.until)).await;
        }
    }

    /// Returns what became of a job.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::NoJob`] if there is none, and [`Refusal::NotCurrent`] if the table is
    /// too old to say so.
    pub fn known_status(&self, id: &JobId) -> Result<JobStatus, Refusal> {
        if let Some(status) = self.table.borrow().status(id) {
            return Ok(status);
        }
        if self.table_freshness.is_within(self.limits.table_age) {
            return Err(Refusal::NoJob);
        }
        Err(Refusal::NotCurrent)
    }

    /// Counts a queue's jobs none of whose tasks has begun.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::NotCurrent`] if the table is too old to say so.
    pub fn pending(&self, queue: &str) -> Result<usize, Refusal> {
        if !self.table_freshness.is_within(self.limits.table_age) {
            return Err(Refusal::NotCurrent);
        }
        Ok(self.table.borrow().pending(queue))
    }

    /// Appends a record, again and again until the store has it or the call's time is over.
    async fn keep(&self, record: &Record, budget: WaitBudget) -> Result<(), Refusal> {
        let _guard = self.wait_for_store().ok_or(Refusal::Unavailable)?;
        if !budget.may_send {
            // Nothing is sent, so that the caller may be told that nothing was kept.
            let regained = tokio::time::timeout_at(budget.until, self.store.recovered());
            regained.await.map_err(|_| Refusal::Unavailable)?;
        }
        let records = [record.encode()];
        let mut refusal = Refusal::Unavailable;
        loop {
            let append = self.store.append(STATE_TOPIC, &records, None);
            match tokio::time::timeout_at(budget.until, append).await {
                Ok(Ok(_)) => return Ok(()),
                Ok(Err(AppendError::Unknown)) => refusal = Refusal::Unknown,
                Ok(Err(AppendError::Refused | AppendError::Fenced)) => {}
                Err(_) => return Err(Refusal::Unknown),
            }
            let again = (Instant::now() + REPEAT_PAUSE).min(budget.until);
            let _ = tokio::time::timeout_at(again, self.store.recovered()).await;
            if Instant::now() >= budget.until {
                return Err(refusal);
            }
        }
    }
}

/// Counts a call that waits for the store until it is dropped.
struct Waiting<'a>(&'a Cell<usize>);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
