//! The types of the planner's interface: commands, errors, settings and views.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{
    ids::{FencingToken, JobId, ProcessId, WorkspaceId},
    lease::LeaseMeta,
    reason::Reason,
    shape::Shape,
    topology::Placement,
};

/// An action that the planner requests. The caller carries it out and reports the result back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Hold and commit every part, then report [`Planner::started`](super::Planner::started) or
    /// [`Planner::start_refused`](super::Planner::start_refused).
    Start {
        /// The job.
        job: JobId,
        /// What the leases are for, with the fencing token.
        meta: LeaseMeta,
        /// Where the gang goes.
        placement: Placement,
    },
    /// Have a running gang yield devices, then report
    /// [`Planner::shrunk`](super::Planner::shrunk) or
    /// [`Planner::stopped`](super::Planner::stopped).
    Yield {
        /// The gang's fencing token.
        token: FencingToken,
        /// Its job.
        job: JobId,
        /// The process that renews its leases.
        holder: ProcessId,
        /// How the gang yields.
        how: YieldKind,
        /// Every part that it has now.
        parts: Placement,
        /// The job that the gang yields to.
        for_job: JobId,
    },
    /// The job's deadline has passed while it waited; the planner has removed the job.
    Expire {
        /// The job.
        job: JobId,
    },
}

/// How a gang yields devices.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum YieldKind {
    /// The gang continues with fewer devices.
    Shrink {
        /// Parts that the gang keeps.
        keep: Placement,
    },
    /// The gang is checkpointed and resumed later.
    Checkpoint,
    /// The gang is stopped and restarted from the beginning later.
    Stop,
}

/// Why a job isn't accepted into the queue. No part of the job has run.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SubmitError {
    /// The table has no such workspace.
    #[error("workspace `{0}` is not in the table")]
    UnknownWorkspace(WorkspaceId),
    /// The job asks for no gang, for zero devices, or for a minimum above its size.
    #[error("gang.devices must be at least 1, and gang.min_devices between 1 and gang.devices")]
    BadGang,
    /// No place in this fleet is large enough for the gang.
    #[error("needs {need} devices, but the largest such place has {largest}")]
    Impossible {
        /// Devices that it needs at least.
        need: u32,
        /// Devices of the largest place.
        largest: u32,
    },
    /// Work that can't be stopped may run on its workspace's own devices only, and the gang doesn't
    /// fit into the guarantee.
    #[error("can't be stopped, so it must fit into the guarantee of {guarantee}")]
    BeyondGuarantee {
        /// The workspace's guarantee.
        guarantee: Shape,
    },
    /// The workspace's queue is full.
    #[error("workspace has reached its queued_limit of {limit} jobs")]
    QueueFull {
        /// The limit in jobs.
        limit: u32,
    },
    /// The workspace has reached its limit of urgent jobs.
    #[error("workspace has reached its urgent_limit of {limit} jobs")]
    UrgentFull {
        /// The limit in jobs.
        limit: u32,
    },
    /// A job with this id is already waiting or running.
    #[error("a job with this id is already waiting or running")]
    Duplicate,
}

/// Why an edit of the table can't be accepted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum GuaranteeError {
    /// The guarantees together don't fit into the fleet.
    #[error("the fleet can't hold all guarantees at once: short of {short}")]
    Infeasible {
        /// Cells that are missing.
        short: Shape,
    },
}

/// Time limits and bounds of the planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlanSettings {
    /// Time after which a gang that finds no place gets a reservation, in milliseconds.
    pub reserve_after_ms: u64,
    /// Most gangs moved in a minute to clear reserved workers.
    pub moves_per_minute: u32,
    /// Time after which a gang that hasn't yielded yet is asked again, in milliseconds.
    pub yield_again_ms: u64,
    /// Longest pause after a refused start, in milliseconds.
    pub refusal_backoff_ms: u64,
    /// Most gangs started in one tick.
    pub starts_per_tick: u32,
}

impl Default for PlanSettings {
    fn default() -> Self {
        Self {
            reserve_after_ms: 30_000,
            moves_per_minute: 6,
            yield_again_ms: 2_000,
            refusal_backoff_ms: 800,
            starts_per_tick: 256,
        }
    }
}

/// The result of [`Planner::explain`](super::Planner::explain) for one job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The job.
    pub job: JobId,
    /// Why it is in its state.
    pub reason: Reason,
    /// Time since it arrived.
    pub age: Duration,
    /// Time since the job last began to wait; zero if it doesn't wait.
    pub waiting: Duration,
    /// Jobs of the same demand that go first.
    pub ahead: u32,
}

/// Counts of one workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceView {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Devices held.
    pub held: u32,
    /// Devices held beyond the guarantee.
    pub borrowed: u32,
    /// Gangs running.
    pub running: u32,
    /// Gangs waiting here.
    pub waiting: u32,
    /// Part of the guarantee that is not in use.
    pub unused: Shape,
}
