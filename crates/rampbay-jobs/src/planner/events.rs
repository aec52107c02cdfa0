//! The changes of runs that a round decides or learns of, as a policy is told of them.

use crate::job::{InstanceId, JobId, TaskId};
use crate::record::EndReason;

use super::policy::Straggler;

/// A change of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunEvent {
    /// The task.
    pub task: TaskId,
    /// Number of the run, from 1.
    pub attempt: u32,
    /// What has changed.
    pub change: RunChange,
}

/// What has changed for a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunChange {
    /// A round has assigned it to a worker.
    Started {
        /// The worker.
        instance: InstanceId,
    },
    /// A round has decided to stop it.
    Stopped(StopReason),
    /// It has ended.
    Ended(EndReason),
}

/// Why a run is stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// More urgent work needs its capacity.
    Preempted {
        /// The job of that work.
        for_job: JobId,
    },
    /// It moves to another worker: its own leaves, or the run has stalled or isn't reported.
    Moved,
    /// It holds up its step, and starts again elsewhere.
    Straggler(Straggler),
    /// Its job is over, or another member of its gang has ended.
    NotNeeded,
}
