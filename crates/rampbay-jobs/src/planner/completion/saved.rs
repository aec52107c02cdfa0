//! How much of a task's work its checkpoint holds.
//!
//! A checkpoint is opaque. What it holds is taken from the progress that its run had when it was first reported. The
//! reports of an ended run are forgotten after some time, while its task may wait longer, so the share is kept here.

use std::collections::BTreeMap;

use crate::job::{Checkpoint, JobId, TaskId};
use crate::plan::{JobPlan, TaskPlan, TaskStatus};
use crate::planner::progress::{FULL_PERCENT, ProgressTable};

use super::Completion;

/// What the checkpoint of a task holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Saved {
    /// Share of the task's work, in percent; 0 if it isn't known.
    pub percent: u32,
    /// Whether there is a checkpoint, so that a start takes the time of a restart.
    pub has_checkpoint: bool,
}

impl Saved {
    /// Returns the share of the work that is left.
    #[must_use]
    pub fn share_left(self) -> f64 {
        f64::from(FULL_PERCENT.saturating_sub(self.percent)) / f64::from(FULL_PERCENT)
    }
}

/// A checkpoint, and the share of the work that it holds.
#[derive(Clone, Debug)]
pub struct SavedCheckpoint {
    checkpoint: Checkpoint,
    percent: u32,
}

/// Checkpoints of the waiting tasks of one job.
pub type SavedOfJob = BTreeMap<TaskId, SavedCheckpoint>;

/// Checkpoints of waiting tasks.
#[derive(Debug, Default)]
pub struct SavedCheckpoints(BTreeMap<JobId, SavedOfJob>);

impl SavedCheckpoints {
    /// Replaces what is known of some jobs.
    pub fn apply(&mut self, changes: Vec<(JobId, SavedOfJob)>) {
        for (job, saved) in changes {
            if saved.is_empty() {
                self.0.remove(&job);
            } else {
                self.0.insert(job, saved);
            }
        }
    }

    fn percent(&self, task: &TaskId, checkpoint: &Checkpoint) -> Option<u32> {
        let saved = self.0.get(&task.job)?.get(task)?;
        (saved.checkpoint == *checkpoint).then_some(saved.percent)
    }
}

/// Returns the share of the work that a checkpoint holds, in percent, by the progress of the run that saved it. `task`
/// names that run.
fn reported_percent(
    progress: &ProgressTable,
    id: &TaskId,
    task: &TaskPlan,
    checkpoint: &Checkpoint,
) -> Option<u32> {
    let seen = progress.run(&task.instance, id, task.attempt)?;
    // A checkpoint that no report has listed was saved after the last one.
    let is_listed = seen.checkpoint == *checkpoint;
    Some(if is_listed { seen.pace.checkpoint_percent() } else { seen.pace.percent() })
}

impl Completion<'_> {
    /// Returns what the checkpoint of a task holds.
    #[must_use]
    pub fn saved(&self, id: &TaskId, task: &TaskPlan) -> Saved {
        if task.checkpoint.is_empty() {
            return Saved::default();
        }
        let known = self.state.saved.percent(id, &task.checkpoint);
        let reported = || {
            let ended = self.run_before(id, task)?;
            reported_percent(self.inputs.progress, id, ended, &task.checkpoint)
        };
        // A task with all of its work saved would be done.
        let percent = known.or_else(reported).unwrap_or(0).min(FULL_PERCENT - 1);
        Saved { percent, has_checkpoint: true }
    }

    /// Returns the plan of a task at the end of its last run. If the task has started again in this round, that is the
    /// plan at the beginning of the round.
    fn run_before<'t>(&'t self, id: &TaskId, task: &'t TaskPlan) -> Option<&'t TaskPlan> {
        if !task.may_be_running() {
            return Some(task);
        }
        let before = self.inputs.table.jobs.get(&id.job)?.plan.as_ref()?.task(id)?;
        (before.attempt < task.attempt).then_some(before)
    }

    /// Returns what the checkpoints of tasks hold that start together. Members of a gang all continue from the greatest
    /// checkpoint; of other tasks the one with the least decides when the last one ends.
    #[must_use]
    pub fn saved_of<'t>(
        &self,
        is_gang: bool,
        tasks: impl Iterator<Item = (TaskId, &'t TaskPlan)>,
    ) -> Saved {
        if !is_gang {
            return tasks.map(|(id, task)| self.saved(&id, task)).min().unwrap_or_default();
        }
        let members = tasks.map(|(id, task)| (&task.checkpoint, self.saved(&id, task)));
        members.max().map(|(_, saved)| saved).unwrap_or_default()
    }

    /// Lists the checkpoints of the waiting and running tasks of a changed plan, with the shares that are known.
    pub(super) fn saved_of_plan(&self, job: &JobId, plan: &JobPlan) -> SavedOfJob {
        let mut found = SavedOfJob::new();
        for (id, task) in plan.tasks(job).filter(|(_, task)| !task.checkpoint.is_empty()) {
            if matches!(task.status, TaskStatus::Done | TaskStatus::Failed) {
                continue;
            }
            let saved = self.saved(&id, task);
            if saved.percent > 0 {
                let checkpoint = task.checkpoint.clone();
                found.insert(id, SavedCheckpoint { checkpoint, percent: saved.percent });
            }
        }
        found
    }
}
