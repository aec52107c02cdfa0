//! Typed reasons for a job's state, shown by `rampctl explain` and in the timeline.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    ids::{JobId, WorkspaceId},
    job::Adjacency,
    shape::Shape,
};

/// The reason for a job's state at the last tick.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "reason")]
pub enum Reason {
    /// The job has just arrived; no tick has considered it yet.
    Queued,
    /// No place has enough free devices.
    NoRoom {
        /// Devices that it needs.
        need: u32,
        /// How close they must be.
        adjacency: Adjacency,
        /// Most devices that are free within one such place.
        best: u32,
    },
    /// Enough devices are free, but with the job on them a guarantee couldn't be reclaimed.
    ProtectsGuarantee {
        /// Cells that would be missing.
        short: Shape,
    },
    /// Its workspace has reached its borrow limit.
    BorrowLimit {
        /// Devices held beyond the guarantee.
        held: u32,
        /// The limit.
        limit: u32,
    },
    /// Its workspace has reached its running limit.
    RunningLimit {
        /// The limit, in gangs.
        limit: u32,
    },
    /// The job would take devices that the owners' `lend_limit`s keep free.
    LendLimit {
        /// Free devices that the owners still lend.
        lendable: u32,
    },
    /// The job isn't reclaimable, so it may not start on borrowed devices.
    NeedsOwnCells,
    /// Free devices are kept for a large gang that has waited longer.
    BehindReservation {
        /// The job that they are kept for.
        job: JobId,
    },
    /// Devices are being reclaimed for the job.
    Reclaiming {
        /// Jobs that shrink, checkpoint or stop for this job.
        from: Vec<JobId>,
    },
    /// Devices are being held and committed on the workers.
    Starting,
    /// The job runs.
    Running {
        /// Devices that it has.
        devices: u32,
        /// Whether part of them is borrowed.
        borrowed: bool,
    },
    /// The job returned some devices and continues on the others.
    ShrunkFor {
        /// The job that needed them.
        job: JobId,
        /// Devices that it has left.
        devices: u32,
    },
    /// The job was checkpointed or stopped to free its devices for another job, and waits again.
    StoppedFor {
        /// The job that needed them.
        job: JobId,
        /// The workspace of that job.
        workspace: WorkspaceId,
    },
    /// A worker refused part of the job's gang; the start is retried.
    StartRefused {
        /// Number of refusals so far.
        times: u32,
    },
    /// The job's gang was lost with a worker or an expired lease, and the job waits again.
    Lost,
    /// No place in this fleet is large enough for the gang.
    Impossible {
        /// Devices that it needs.
        need: u32,
        /// Devices of the largest place.
        largest: u32,
    },
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Queued => f.write_str("waits: has just arrived"),
            Reason::NoRoom { need, adjacency, best } => write!(
                f,
                "waits for {need} devices ({}); at most {best} are free in one such place",
                adjacency_name(*adjacency)
            ),
            Reason::ProtectsGuarantee { short } => {
                write!(f, "waits: starting it would leave guarantees short of {short}")
            }
            Reason::BorrowLimit { held, limit } => {
                write!(f, "waits: its workspace borrows {held} devices of at most {limit}")
            }
            Reason::RunningLimit { limit } => {
                write!(f, "waits: its workspace runs its limit of {limit} gangs")
            }
            Reason::LendLimit { lendable } => {
                write!(f, "waits: owners lend at most {lendable} devices more")
            }
            Reason::NeedsOwnCells => f.write_str(
                "waits for devices of its own guarantee: it can't be stopped, so it may not borrow",
            ),
            Reason::BehindReservation { job } => {
                write!(f, "waits: free devices are reserved for {job}, which has waited longer")
            }
            Reason::Reclaiming { from } => {
                write!(f, "waits while devices come back from {}", from.join(", "))
            }
            Reason::Starting => f.write_str("starts: devices are being held on the workers"),
            Reason::Running { devices, borrowed: false } => {
                write!(f, "runs on {devices} devices of its workspace's guarantee")
            }
            Reason::Running { devices, borrowed: true } => {
                write!(f, "runs on {devices} devices, borrowed")
            }
            Reason::ShrunkFor { job, devices } => {
                write!(f, "shrunk to {devices} devices for {job}")
            }
            Reason::StoppedFor { job, workspace } => {
                write!(f, "waits again: gave its devices back to {job} of {workspace}")
            }
            Reason::StartRefused { times } => {
                write!(f, "waits: a worker refused part of the gang, {times} times so far")
            }
            Reason::Lost => f.write_str("waits again: its gang was lost with a worker or a lease"),
            Reason::Impossible { need, largest } => {
                write!(f, "refused: needs {need} devices, the largest place has {largest}")
            }
        }
    }
}

fn adjacency_name(adjacency: Adjacency) -> &'static str {
    match adjacency {
        Adjacency::Worker => "on one worker",
        Adjacency::Rack => "in one rack",
        Adjacency::FailureDomain => "in one failure domain",
        Adjacency::Any => "anywhere",
    }
}
