//! Runs that may be stopped for other work.

use crate::job::{Resources, TaskId};

use super::WorkerIndex;

/// A run that may be stopped for other work.
#[derive(Clone, Debug)]
pub struct RunningTask {
    /// The task.
    pub id: TaskId,
    /// Resources that it holds.
    pub held: Resources,
    /// Its worker.
    pub place: WorkerIndex,
    /// Priority of its queue.
    pub priority: u32,
    /// Number of its run, from 1.
    pub attempt: u32,
    /// Whether it is a member of a gang.
    pub gang: bool,
    /// Whether it saves checkpoints.
    pub checkpointing: bool,
    /// Weight of the resources that it asks for, in thousandths of a core.
    pub weight: u64,
}
