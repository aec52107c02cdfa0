//! Runs that may be stopped for other work, and the work that a stop loses.

use std::time::Duration;

use crate::job::{Resources, TaskId};

use super::WorkerIndex;
use super::progress::RunsAt;

/// Largest work since the last checkpoint of a run that saves checkpoints.
const MAX_WORK_SINCE_CHECKPOINT: Duration = Duration::from_millis(800);
/// Work that every stop loses in addition, for the repeated start.
const RESTART_WORK: Duration = Duration::from_millis(300);
/// This work for a member of a gang, which needs capacity for all members again.
const GANG_RESTART_WORK: Duration = Duration::from_millis(1000);

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

impl RunningTask {
    /// Returns the work that a stop loses, in thousandths of core-seconds. `runs` are the known runs of its worker.
    /// Estimates are rough, so the work is computed from the time since the run was first seen.
    pub fn lost_work(&self, runs: &RunsAt<'_>) -> u64 {
        let seen = runs.find(&self.id, self.attempt);
        let mut lost = seen.map_or(Duration::ZERO, |seen| seen.first_seen.elapsed());
        if self.checkpointing {
            lost = lost.min(MAX_WORK_SINCE_CHECKPOINT);
        }
        let restart = if self.gang { GANG_RESTART_WORK } else { RESTART_WORK };
        let lost_ms = (lost + restart).as_millis() as u64;
        self.weight.max(1) * lost_ms / 1000
    }
}
