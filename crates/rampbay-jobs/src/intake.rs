//! Takes callers' jobs in and answers what became of them.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use crate::freshness::Freshness;
use crate::job::{JobId, Submission, WorkspaceName};
use crate::record::{JobStatus, Record, STATE_TOPIC};
use crate::routing::{Queue, Routing};
use crate::store::{AppendError, Store};
use crate::table::JobTable;

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
    /// Oldest table under which the store is taken to be reachable.
    pub store_age: Duration,
    /// Longest time that the store may take to keep a job.
    pub keep_time: Duration,
    /// Oldest table out of which a job is said to be unknown, or pending jobs are counted.
    pub table_age: Duration,
}

/// What an intake knows of the configuration.
#[derive(Debug, Default)]
pub struct CurrentRouting {
    /// The newest version, if any has come.
    pub routing: RefCell<Option<Rc<Routing>>>,
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
        Self { store, table, table_freshness, routing, limits }
    }

    /// Returns the ages of the configuration and of the table, by which calls are answered.
    #[must_use]
    pub fn ages(&self) -> Ages {
        Ages { configuration: self.routing.freshness.age(), table: self.table_freshness.age() }
    }

    /// Checks queue and key of a call.
    ///
    /// # Errors
    ///
    /// Says why the call may not go on.
    pub fn admit(&self, target: CallTarget<'_>) -> Result<Admission, Refusal> {
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
    pub async fn submit(&self, submission: Submission) -> Result<(), Refusal> {
        if self.table.borrow().jobs.contains_key(&submission.id) {
            return Ok(());
        }
        self.keep(&Record::Submitted(Box::new(submission))).await
    }

    /// Cancels a job.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::NoJob`] if there is no such job, or it has ended.
    pub async fn cancel(&self, id: &JobId) -> Result<(), Refusal> {
        match self.known_status(id)? {
            JobStatus::Cancelled => Ok(()),
            JobStatus::Succeeded | JobStatus::Failed => Err(Refusal::NoJob),
            JobStatus::Queued | JobStatus::Running => {
                self.keep(&Record::Cancelled(id.clone())).await
            }
        }
    }

    /// Returns what became of a job.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::NoJob`] if there is none, and [`Refusal::NotCurrent`] if the table is
    /// too old to say so.
    pub fn known_status(&self, id: &JobId) -> Result<JobStatus, Refusal> {
        if let Some(job) = self.table.borrow().jobs.get(id) {
            return Ok(job.status());
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

    async fn keep(&self, record: &Record) -> Result<(), Refusal> {
        if !self.table_freshness.is_within(self.limits.store_age) {
            return Err(Refusal::Unavailable);
        }
        let records = [record.encode()];
        let append = self.store.append(STATE_TOPIC, &records, None);
        match tokio::time::timeout(self.limits.keep_time, append).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(AppendError::Unknown)) | Err(_) => Err(Refusal::Unknown),
            Ok(Err(AppendError::Refused | AppendError::Fenced)) => Err(Refusal::Unavailable),
        }
    }
}
