//! Accepts callers' jobs, and answers queries for their status.

mod appends;
mod cancelling;
mod unanswered;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::admission::gate::{AdmissionGate, ForecastRefusal};
use crate::clock::Moment;
use crate::drained::DrainOrders;
use crate::freshness::Freshness;
use crate::job::{JobId, Submission, WorkspaceName};
use crate::metrics::metrics;
use crate::plan::JobStatus;
use crate::record::{KeyedRecord, Record};
use crate::routing::{Queue, Routing};
use crate::store::{Store, StoreLimits};
use crate::table::JobTable;

use appends::Appends;
use unanswered::UnansweredJobs;

/// How long before its caller's timeout a call is answered; a later answer is lost.
const ANSWER_MARGIN: Duration = Duration::from_millis(40);
/// A caller with more time left than this can be told to retry: the second after which callers are asked to
/// retry, and half a second to be served then. With less, the call waits for as long as its caller does.
const MIN_RETRY_TIME: Duration = Duration::from_millis(1500);
/// How long a call whose caller can retry waits while the store is known to be unreachable.
const UNREACHABLE_WAIT: Duration = Duration::from_millis(100);

/// Why a call is refused. Only [`Refusal::Unknown`] leaves open whether the job was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The configuration is missing or isn't known to be current, or the table isn't; retry later.
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
    /// The store accepted nothing; retry later.
    #[error("the store takes no jobs now")]
    Unavailable,
    /// The store gave no answer: the job may have been accepted.
    #[error("the store gave no answer")]
    Unknown,
    /// There is no such job.
    #[error("no such job")]
    NoJob,
    /// The job belongs to another workspace.
    #[error("the job belongs to another workspace")]
    NotOwner,
    /// The caller's workspace has cancelled too many jobs that aren't known; nothing was sent to the store.
    #[error("too many cancellations of unknown jobs")]
    TooManyCancels,
    /// The job is larger than what the store takes as a record; nothing was sent to the store.
    #[error("the job is too large")]
    TooLarge,
    /// The job certainly can't be served now, and nothing was sent to the store.
    #[error("there is no room for the job")]
    NoRoom {
        /// Time after which the caller should come back, in whole seconds.
        retry_after: Duration,
    },
}

/// Limits of an intake.
#[derive(Clone, Copy, Debug)]
pub struct IntakeLimits {
    /// Maximum age of the configuration by which calls are answered.
    pub configuration_age: Duration,
    /// How long a call waits for a store that isn't known to be unreachable.
    pub usual_wait: Duration,
    /// Maximum age of the table before the store counts as unreachable.
    pub store_age: Duration,
    /// Maximum number of calls that wait for the store at a time; more are refused.
    pub max_waiting: usize,
    /// Maximum age of the table by which a job is reported as unknown, or pending jobs are counted.
    pub table_age: Duration,
}

/// How long a call may wait for the store.
#[derive(Clone, Copy, Debug)]
pub struct WaitBudget {
    /// Time until which the call may wait.
    pub until: Instant,
    /// Whether records may be sent to a store that may not answer: then it isn't known whether they
    /// were stored.
    pub may_send: bool,
}

/// The operators' configuration and drain orders, as an entry knows them.
#[derive(Debug, Default)]
pub struct CurrentRouting {
    /// The newest version, if any has come.
    pub routing: RefCell<Option<Rc<Routing>>>,
    /// Orders to drain failure domains.
    pub drains: DrainOrders,
    /// How current the configuration and the orders are.
    pub freshness: Rc<Freshness>,
}

impl CurrentRouting {
    /// Returns the newest version.
    #[must_use]
    pub fn get(&self) -> Option<Rc<Routing>> {
        self.routing.borrow().clone()
    }

    /// Replaces the configuration by a newer version; other versions are ignored.
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

/// Ages of the data by which an intake answers; `None` before the first read.
#[derive(Clone, Copy, Debug)]
pub struct Ages {
    /// Age of the configuration.
    pub configuration: Option<Duration>,
    /// Age of the table.
    pub table: Option<Duration>,
}

impl std::fmt::Display for Ages {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let millis = |age: Option<Duration>| age.map_or(-1, |age| age.as_millis() as i128);
        let (configuration, table) = (millis(self.configuration), millis(self.table));
        write!(f, "config_age_ms={configuration} table_age_ms={table}")
    }
}

/// Target of a call, and the key of its caller.
#[derive(Clone, Copy, Debug)]
pub struct CallTarget<'a> {
    /// Host that the call names.
    pub host: &'a str,
    /// Path of the call.
    pub path: &'a str,
    /// Key of the caller, if it presents one.
    pub key: Option<&'a str>,
}

/// A call that was admitted.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Its queue.
    pub queue: Queue,
    /// The caller's workspace; empty on a public queue without a key.
    pub workspace: WorkspaceName,
    /// Version of the configuration by which the call was admitted.
    pub version: u64,
}

/// Accepts and cancels jobs, and answers queries for their status.
pub struct Intake {
    appends: Rc<Appends>,
    table: Rc<RefCell<JobTable>>,
    table_freshness: Rc<Freshness>,
    routing: Rc<CurrentRouting>,
    limits: IntakeLimits,
    /// Jobs that an attempt of this entry may still store.
    unanswered: UnansweredJobs,
    /// Refuses jobs by the leader's outlook, if that is wanted.
    gate: Option<AdmissionGate>,
    store_limits: StoreLimits,
}

impl Intake {
    /// Creates an intake over a table and a configuration that are kept current elsewhere.
    #[must_use]
    pub fn new(
        store: Rc<dyn Store>,
        table: Rc<RefCell<JobTable>>,
        table_freshness: Rc<Freshness>,
        routing: Rc<CurrentRouting>,
        limits: IntakeLimits,
    ) -> Self {
        Self {
            appends: Appends::new(store, limits.max_waiting),
            table,
            table_freshness,
            routing,
            limits,
            unanswered: UnansweredJobs::default(),
            gate: None,
            store_limits: StoreLimits::default(),
        }
    }

    /// Sets the sizes that the store takes.
    #[must_use]
    pub fn with_store_limits(self, store_limits: StoreLimits) -> Self {
        Self { store_limits, ..self }
    }

    /// Refuses jobs that certainly can't be served, by the leader's outlook.
    #[must_use]
    pub fn with_gate(self, gate: AdmissionGate) -> Self {
        Self { gate: Some(gate), ..self }
    }

    /// Returns the ages of the configuration and of the table, by which calls are answered.
    #[must_use]
    pub fn ages(&self) -> Ages {
        Ages { configuration: self.routing.freshness.age(), table: self.table_freshness.age() }
    }

    /// Returns how long a call may wait for the store, given how long its caller waits. A caller who
    /// has time to retry is told so soon; otherwise the call waits for as long as its caller does.
    #[must_use]
    pub fn wait_budget(&self, caller_waits: Option<Duration>) -> WaitBudget {
        let left = caller_waits.map_or(self.limits.usual_wait, |w| w.saturating_sub(ANSWER_MARGIN));
        let is_last_attempt = left <= MIN_RETRY_TIME;
        let is_unreachable = !self.table_freshness.is_within(self.limits.store_age);
        let wait = match (is_last_attempt, is_unreachable) {
            (true, _) => left,
            (false, false) => self.limits.usual_wait.min(left),
            (false, true) => UNREACHABLE_WAIT,
        };
        WaitBudget { until: Instant::now() + wait, may_send: is_last_attempt || !is_unreachable }
    }

    /// Checks queue and key of a call. Waits for a configuration that is known to be current.
    ///
    /// # Errors
    ///
    /// Returns why the call is refused.
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
                outcome => return outcome,
            }
            let _guard = self.appends.wait_for_store().ok_or(Refusal::NotCurrent)?;
            if tokio::time::timeout_at(budget.until, changes.changed()).await.is_err() {
                return Err(Refusal::NotCurrent);
            }
        }
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

    /// Stores a job. A job that is known already is accepted again and stays as it was.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::TooLarge`] if the store doesn't take as much, [`Refusal::NoRoom`] if the job certainly can't be
    /// served, [`Refusal::Unavailable`] if it certainly wasn't stored, and [`Refusal::Unknown`] if it may have been.
    pub async fn submit(&self, submission: Submission, budget: WaitBudget) -> Result<(), Refusal> {
        if self.is_known(&submission.id) {
            return Ok(());
        }
        let record = Record::Submitted(Box::new(submission.clone())).encode();
        if !self.store_limits.allow_record(&record) {
            return Err(self.refusal_of_submission(&submission.id, Refusal::TooLarge));
        }
        let Some(gate) = &self.gate else {
            return self.store_job(&submission.id, record, budget).await;
        };
        let _call = gate.enter(&submission.id);
        let asked = Moment::now();
        if gate.refusal(&submission, submission.submitted_at).is_some() {
            let is_current = self.confirm_view(gate, asked, budget).await;
            // Another entry may have stored the job before the call arrived.
            if self.is_known(&submission.id) {
                return Ok(());
            }
            let waited_ms = asked.elapsed().as_millis() as u64;
            let refusal = gate.refusal(&submission, submission.submitted_at + waited_ms);
            if let Some(refusal) = refusal.filter(|_| is_current) {
                return Err(report_refusal(&submission.id, &refusal));
            }
        }
        gate.note_sent(&submission.id);
        let sent = Instant::now();
        let stored = self.store_job(&submission.id, record, budget).await;
        gate.note_append(stored == Err(Refusal::Unknown), sent.elapsed());
        stored
    }

    /// Appends the record of a job that the table doesn't hold.
    async fn store_job(
        &self,
        id: &JobId,
        record: KeyedRecord,
        budget: WaitBudget,
    ) -> Result<(), Refusal> {
        let attempt = self.unanswered.begin(id);
        let stored = self.appends.append(record, budget).await;
        if stored != Err(Refusal::Unknown) {
            attempt.settle();
        }
        stored.map(|_| ()).map_err(|refusal| self.refusal_of_submission(id, refusal))
    }

    /// Returns how a submission is refused by which nothing was done: it isn't known whether the job runs if an earlier
    /// attempt may still be carried out.
    #[must_use]
    pub fn refusal_of_submission(&self, id: &JobId, refusal: Refusal) -> Refusal {
        match refusal {
            Refusal::NotCurrent | Refusal::Unavailable if self.unanswered.may_be_stored(id) => {
                Refusal::Unknown
            }
            other => other,
        }
    }

    fn is_known(&self, id: &JobId) -> bool {
        self.table.borrow().jobs.contains_key(id)
    }

    /// Waits until the table holds all that the store had acknowledged when a call arrived. Returns whether it does.
    async fn confirm_view(&self, gate: &AdmissionGate, asked: Moment, budget: WaitBudget) -> bool {
        let Some(_guard) = self.appends.wait_for_store() else { return false };
        gate.confirm_view(asked, budget.until).await
    }

    /// Returns the status of a job, by the table.
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

    /// Counts a queue's jobs none of whose tasks has started.
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
}

/// Draws when a refused caller should come back, and logs and counts the refusal.
fn report_refusal(job: &JobId, refusal: &ForecastRefusal) -> Refusal {
    let retry_after = refusal.retry_after.draw(&mut rand::rng());
    let reason = refusal.reason.label();
    metrics().count_refusal(reason);
    log::info!(
        "event=J204 job refused job={job} reason={reason} outlook_age_ms={} expected_ms={} retry_after_s={}",
        refusal.outlook_age.as_millis(),
        refusal.expected_ms.map_or(-1, i128::from),
        retry_after.as_secs()
    );
    Refusal::NoRoom { retry_after }
}
