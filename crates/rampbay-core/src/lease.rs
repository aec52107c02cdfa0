//! What holds devices: a lease for each part of a gang, described by what it is for.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{FencingToken, JobId, ProcessId, WorkspaceId},
    job::Class,
    shape::Level,
};

/// What a lease is for; travels as the lease's metadata, so that the workers themselves are the
/// record of what runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseMeta {
    /// The job.
    pub job: JobId,
    /// Its workspace.
    pub workspace: WorkspaceId,
    /// Its class.
    pub class: Class,
    /// The fencing token, one for all parts of the gang.
    pub token: FencingToken,
    /// The process that renews the lease.
    pub holder: ProcessId,
    /// Devices of the whole gang over all workers.
    pub gang_devices: u32,
    /// Fewest devices that the gang can run with.
    pub min_devices: u32,
    /// The largest level of guaranteed cell that the gang was started in; absent if it borrows.
    pub cell: Option<Level>,
    /// Whether the gang may be stopped for an owner.
    pub reclaimable: bool,
    /// Whether the work can be checkpointed.
    pub checkpointable: bool,
    /// When the gang was committed, on the workers' clock, since the epoch.
    pub started: Duration,
    /// When the caller expects the work to end, if it said so.
    pub expected_end: Option<Duration>,
}
