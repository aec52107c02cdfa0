//! The workers: devices under leases, granted by compare-and-set and fencing token.

use async_trait::async_trait;
use rampbay_core::{
    ids::{FencingToken, JobId},
    lease::LeaseMeta,
    topology::{DeviceMask, WorkerSpec},
};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// How far a lease has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LeaseState {
    /// Devices are kept for a short time; nothing runs.
    Held,
    /// The part is committed; its task waits for the gate.
    Committed,
    /// The gate is open; the task runs.
    Running,
}

/// One lease on one worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// What it is for.
    pub meta: LeaseMeta,
    /// The devices.
    pub devices: DeviceMask,
    /// How far it has come.
    pub state: LeaseState,
}

/// One worker as it reports itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// What it has.
    pub spec: WorkerSpec,
    /// Counts up with every change; a hold names the version that it was planned on.
    pub version: u64,
    /// Its leases.
    pub leases: Vec<Lease>,
}

/// Workers that changed since a revision.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WorkersPage {
    /// Pass this to see only later changes.
    pub revision: u64,
    /// Workers that changed.
    pub changed: Vec<WorkerReport>,
    /// Workers that are gone.
    pub gone: Vec<rampbay_core::ids::WorkerId>,
}

/// Why a lease ended, told to its holder at renewal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "why")]
pub enum LostLease {
    /// It lapsed or was never there.
    Lapsed {
        /// The gang.
        token: FencingToken,
    },
    /// It gave all its devices on this worker back; the gang runs on with its other parts.
    Shrunk {
        /// The gang.
        token: FencingToken,
    },
    /// It was stopped for another job.
    Stopped {
        /// The gang.
        token: FencingToken,
        /// The job that it gave way to.
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
    /// The worker changed since the version named.
    #[error("worker is at version {version}")]
    Version {
        /// Its version now.
        version: u64,
    },
    /// A device is held by another gang, or doesn't exist.
    #[error("a device is taken")]
    Taken,
    /// A later token was granted a device already.
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
    /// The version that the hold was planned on; absent takes any.
    pub version: Option<u64>,
    /// The devices.
    pub devices: DeviceMask,
    /// What for, with the fencing token.
    pub meta: LeaseMeta,
    /// Time after which the hold ends by itself, in milliseconds.
    pub ttl_ms: u64,
}

/// The workers.
#[async_trait]
pub trait Workers: Send + Sync {
    /// Returns the workers that changed since a revision; 0 for all.
    ///
    /// # Errors
    ///
    /// Returns an error if they can't be asked now.
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

    /// Opens the gate of a committed part: its task may run.
    ///
    /// # Errors
    ///
    /// Returns why it doesn't run, or that no answer came.
    async fn open(&self, worker: &str, token: FencingToken) -> Result<(), WorkerError>;

    /// Renews several leases of one worker; returns those that are lost.
    ///
    /// # Errors
    ///
    /// Returns an error if the worker can't be asked.
    async fn renew(
        &self,
        worker: &str,
        tokens: &[FencingToken],
        lease_ms: u64,
    ) -> Result<Vec<LostLease>, WorkerError>;

    /// Releases a hold or a lease; one that isn't there is released already.
    ///
    /// # Errors
    ///
    /// Returns an error if the worker can't be asked.
    async fn release(&self, worker: &str, token: FencingToken) -> Result<(), WorkerError>;

    /// Leaves a lease only the devices in `keep`.
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
    /// Returns an error if the worker can't be asked.
    async fn stop(
        &self,
        worker: &str,
        token: FencingToken,
        checkpoint: bool,
        for_job: &str,
    ) -> Result<(), WorkerError>;
}
