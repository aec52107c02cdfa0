//! Metadata of leases on devices; each part of a gang has one lease.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{FencingToken, JobId, ProcessId, WorkspaceId},
    job::Class,
    shape::Level,
};

/// The metadata that describes what a lease is for.
///
/// The workers store it with the lease, so that the set of running gangs can be read back from
/// them.
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
    /// Whether the gang may be stopped to return its devices to their owner.
    pub reclaimable: bool,
    /// Whether the work can be checkpointed.
    pub checkpointable: bool,
    /// When the gang was committed, on the workers' clock, since the epoch.
    pub started: Duration,
    /// When the caller expects the work to end, if it said so.
    pub expected_end: Option<Duration>,
}
