//! The workers: devices under leases, granted by compare-and-set and fencing token.

use async_trait::async_trait;
use rampbay_core::{
    ids::{FencingToken, JobId},
    lease::LeaseMeta,
    topology::{DeviceMask, WorkerSpec},
};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The state of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LeaseState {
    /// The devices are reserved for a short time; nothing runs.
    Held,
    /// The part is committed; its task waits for its gate to be opened ([`Workers::open`]).
    Committed,
    /// The gate is open; the task runs.
    Running,
}

/// One lease on one worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// What the lease is for.
    pub meta: LeaseMeta,
    /// The devices.
    pub devices: DeviceMask,
    /// The lease's state.
    pub state: LeaseState,
}

/// One worker as it reports itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The worker's specification.
    pub spec: WorkerSpec,
    /// Counts up with every change; a hold names the version that it was planned on.
    pub version: u64,
    /// Its leases.
    pub leases: Vec<Lease>,
}

/// Workers that changed since a revision.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WorkersPage {
    /// The revision to pass to the next [`Workers::list`] to get only later changes.
    pub revision: u64,
    /// Workers that changed.
    pub changed: Vec<WorkerReport>,
    /// Workers that are gone.
    pub gone: Vec<rampbay_core::ids::WorkerId>,
}

/// Why a lease ended, reported to its holder at renewal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "why")]
pub enum LostLease {
    /// The lease expired or never existed.
    Lapsed {
        /// The gang.
        token: FencingToken,
    },
    /// The lease was shrunk to no devices on this worker; the gang continues with its other
    /// parts.
    Shrunk {
        /// The gang.
        token: FencingToken,
    },
    /// The task was stopped for another job.
    Stopped {
        /// The gang.
        token: FencingToken,
        /// The job for which the task was stopped.
        for_job: JobId,
        /// Whether its work was checkpointed.
        checkpointed: bool,
    },
}

impl LostLease {
    /// Returns the gang's token.
    #[must_use]
    pub const fn token(&self) -> FencingToken {
        match self {
            LostLease::Lapsed { token }
            | LostLease::Shrunk { token }
            | LostLease::Stopped { token, .. } => *token,
        }
    }
}

/// Why a worker refused.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "error")]
pub enum WorkerError {
    /// The worker changed since the version that the hold names.
    #[error("worker is at version {version}")]
    Version {
        /// The worker's current version.
        version: u64,
    },
    /// A device is held by another gang, or doesn't exist.
    #[error("a device is taken")]
    Taken,
    /// One of the devices was already granted to a later token.
    #[error("token is fenced off")]
    Fenced,
    /// There is no such lease.
    #[error("no such lease")]
    NoLease,
    /// There is no such worker.
    #[error("no such worker")]
    NoWorker,
    /// No answer came; the call may have taken effect.
    #[error("worker gave no answer: {message}")]
    NoAnswer {
        /// What went wrong.
        message: String,
    },
}

/// A hold of devices for a gang.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldRequest {
    /// The worker's version that the hold was planned on; `None` accepts any version.
    pub version: Option<u64>,
    /// The devices.
    pub devices: DeviceMask,
    /// What the devices are held for, with the fencing token.
    pub meta: LeaseMeta,
    /// Time after which the hold expires, in milliseconds.
    pub ttl_ms: u64,
}

/// The workers.
#[async_trait]
pub trait Workers: Send + Sync {
    /// Returns the workers that changed since a revision; 0 for all.
    ///
    /// # Errors
    ///
    /// Returns an error if the workers can't be reached now.
    async fn list(&self, since: u64) -> Result<WorkersPage, WorkerError>;

    /// Holds devices; returns the worker's new version.
    ///
    /// # Errors
    ///
    /// Returns why nothing is held, or that no answer came.
    async fn hold(&self, worker: &str, req: HoldRequest) -> Result<u64, WorkerError>;

    /// Commits a hold under a lease of `lease_ms`.
    ///
    /// # Errors
    ///
    /// Returns why nothing is committed, or that no answer came.
    async fn commit(
        &self,
        worker: &str,
        token: FencingToken,
        lease_ms: u64,
    ) -> Result<(), WorkerError>;

    /// Opens the gate of a committed part, so that its task may run.
    ///
    /// # Errors
    ///
    /// Returns why it doesn't run, or that no answer came.
    async fn open(&self, worker: &str, token: FencingToken) -> Result<(), WorkerError>;

    /// Renews several leases of one worker; returns those that are lost.
    ///
    /// # Errors
    ///
    /// Returns an error if the worker can't be reached.
    async fn renew(
        &self,
        worker: &str,
        tokens: &[FencingToken],
        lease_ms: u64,
    ) -> Result<Vec<LostLease>, WorkerError>;

    /// Releases a hold or a lease; succeeds also if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if the worker can't be reached.
    async fn release(&self, worker: &str, token: FencingToken) -> Result<(), WorkerError>;

    /// Shrinks a lease to those of its devices that are in `keep`.
    ///
    /// # Errors
    ///
    /// Returns why it didn't shrink, or that no answer came.
    async fn shrink(
        &self,
        worker: &str,
        token: FencingToken,
        keep: DeviceMask,
    ) -> Result<(), WorkerError>;

    /// Stops the task of a lease, after a checkpoint if asked, and ends the lease.
    ///
    /// # Errors
    ///
    /// Returns an error if the worker can't be reached.
    async fn stop(
        &self,
        worker: &str,
        token: FencingToken,
        checkpoint: bool,
        for_job: &str,
    ) -> Result<(), WorkerError>;
}
